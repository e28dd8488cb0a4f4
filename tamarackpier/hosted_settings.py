"""The settings of a hosted instance: typed INI, validated as a whole."""

import dataclasses
import pathlib
from typing import Any

from returns import result

from tamarackpier import codes, ini

__all__ = [
    "BoundSettings",
    "CallerSettings",
    "EntrySettings",
    "HostedSettings",
    "ListenSettings",
    "StoreSettings",
    "from_text",
    "load",
]


@dataclasses.dataclass(frozen=True)
class EntrySettings:
    """Identity of this entry instance.

    Attributes:
        id: Unique identifier of the instance.
        availability_zone: Availability zone that the instance runs in.
        region: Region that the instance runs in.
        ip: IP address of the instance.
        log_level: Lowest level that is logged: debug, info, warning or error.
        memory_mb: Memory that the process may use, in megabytes; 0 if it is
            not known.
        contracts: Parts of the platform's rules that are in force.
    """

    id: str = ini.key(pattern=ini.NAME)
    availability_zone: str = ini.key(pattern=ini.NAME)
    region: str = ini.key(pattern=ini.NAME)
    ip: str = ini.key()
    log_level: str = ini.key(
        default="info", one_of=("debug", "info", "warning", "error")
    )
    memory_mb: int = ini.key(default=0, low=0, high=1 << 24)
    contracts: tuple[str, ...] = ini.key(default=(), may_be_empty=True)


@dataclasses.dataclass(frozen=True)
class ListenSettings:
    """Listening addresses, and the first peers to contact.

    Attributes:
        callers: IP and port for callers' requests.
        addresses: IP and port for callers that look up an address to
            connect to.
        readiness: IP and port for the platform's readiness checks.
        first_internal_port: Port for peers; the next port serves metrics.
        contacts: Addresses of other entry instances to contact at the start.
    """

    callers: str = ini.key(pattern=ini.ADDRESS)
    addresses: str = ini.key(pattern=ini.ADDRESS)
    readiness: str = ini.key(pattern=ini.ADDRESS)
    first_internal_port: int = ini.key(low=1, high=65534)
    contacts: tuple[str, ...] = ini.key(default=(), may_be_empty=True)


@dataclasses.dataclass(frozen=True)
class StoreSettings:
    """Connection to the platform's row store.

    Attributes:
        address: IP and port of the store.
        timeout_s: Longest wait for a response, in seconds.
    """

    address: str = ini.key(pattern=ini.ADDRESS)
    timeout_s: float = ini.key(default=1.0, low=0.05, high=60)


@dataclasses.dataclass(frozen=True)
class BoundSettings:
    """Limits set by the operator of the platform.

    Attributes:
        retry_ratio: Retries allowed per request of a service.
        retry_extra: Retries allowed in addition per window, over all entry
            instances.
        retry_window_s: Length of the window in which both retry limits apply,
            in seconds.
        stop_grace_s: Time from SIGTERM to the end of the process, in seconds.
        address_keep_s: Time that callers may cache an address, in seconds.
        drain_ms: Time after which no request may reach an engine that is gone,
            in milliseconds.
        config_apply_ms: Time in which a configuration must be in force, in
            milliseconds.
        stable_window_ms: Time after an outage of the store from which its
            answers bind the instances, in milliseconds.
        evacuate_ms: Time after which no request may reach an engine of an
            evacuated availability zone, in milliseconds; 0 if zones are not
            evacuated.
        cold_overrun: Ratio of the requests that a cold engine may get in a
            second to its rate.
        cold_slack: Requests that it may get in addition in that second.
    """

    retry_ratio: float = ini.key(default=0.2, low=0, high=10)
    retry_extra: float = ini.key(default=100.0, low=0, high=1e6)
    retry_window_s: float = ini.key(default=10.0, low=0.1, high=3600)
    stop_grace_s: float = ini.key(default=8.0, low=0.1, high=3600)
    address_keep_s: float = ini.key(default=2.0, low=0.1, high=3600)
    drain_ms: float = ini.key(default=2000.0, low=100, high=3.6e6)
    config_apply_ms: float = ini.key(default=2000.0, low=100, high=3.6e6)
    stable_window_ms: float = ini.key(default=3000.0, low=100, high=3.6e6)
    evacuate_ms: float = ini.key(default=0.0, low=0, high=3.6e6)
    cold_overrun: float = ini.key(default=1.0, low=1, high=100)
    cold_slack: float = ini.key(default=0.0, low=0, high=1e6)


@dataclasses.dataclass(frozen=True)
class CallerSettings:
    """Limits of what callers may make an instance hold.

    Attributes:
        memory_share: Share of the instance's memory that the connections of
            all callers may hold together.
        unread_s: Time in which a caller must take some byte of an answer, in
            seconds.
        max_connections: Number of callers' connections; 0 for half of the
            descriptors that the process may open, and no more than an eighth
            of its memory takes.
    """

    memory_share: float = ini.key(default=1 / 6, low=0.05, high=0.5)
    unread_s: float = ini.key(default=15.0, low=1, high=3600)
    max_connections: int = ini.key(default=0, low=0, high=1 << 20)


@dataclasses.dataclass(frozen=True)
class HostedSettings:
    """All settings of a hosted instance."""

    instance: EntrySettings
    listen: ListenSettings
    store: StoreSettings
    bounds: BoundSettings
    callers: CallerSettings


_SECTIONS: dict[str, type] = {
    "instance": EntrySettings,
    "listen": ListenSettings,
    "store": StoreSettings,
    "bounds": BoundSettings,
    "callers": CallerSettings,
}


def load(
    path: pathlib.Path,
) -> result.Result[HostedSettings, tuple[codes.Fault, ...]]:
    """Reads and validates a settings file.

    Returns:
        The settings, or all faults of the file.
    """
    return ini.read_text(path).bind(lambda text: from_text(text, str(path)))


def from_text(
    text: str, source: str = "settings"
) -> result.Result[HostedSettings, tuple[codes.Fault, ...]]:
    """Parses and validates the text of a settings file.

    Args:
        text: The INI text.
        source: Name of the text in faults, such as its path.

    Returns:
        The settings, or all faults of the text.
    """
    return ini.parse(text, source).bind(_read)


def _read(
    reader: ini.Reader,
) -> result.Result[HostedSettings, tuple[codes.Fault, ...]]:
    reader.check_sections(lambda section: section in _SECTIONS, _SECTIONS)
    sections: dict[str, Any] = {
        name: reader.section(name, section_type)
        for name, section_type in _SECTIONS.items()
    }
    if reader.faults:
        return result.Failure(tuple(reader.faults))
    return result.Success(HostedSettings(**sections))
