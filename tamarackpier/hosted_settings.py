"""The settings of a hosted instance: INI, typed, and checked as a whole."""

import dataclasses
import pathlib
from typing import Any

from returns import result

from tamarackpier import codes, ini

__all__ = [
    "BoundSettings",
    "EntrySettings",
    "HostedSettings",
    "ListenSettings",
    "StoreSettings",
    "from_text",
    "load",
]


@dataclasses.dataclass(frozen=True)
class EntrySettings:
    """Who this entry instance is.

    Attributes:
        id: Unique name of the instance.
        availability_zone: Its availability zone.
        region: Its region.
        ip: Its IP address.
        log_level: debug, info, warning or error.
    """

    id: str = ini.key(pattern=ini.NAME)
    availability_zone: str = ini.key(pattern=ini.NAME)
    region: str = ini.key(pattern=ini.NAME)
    ip: str = ini.key()
    log_level: str = ini.key(
        default="info", one_of=("debug", "info", "warning", "error")
    )


@dataclasses.dataclass(frozen=True)
class ListenSettings:
    """Where it listens.

    Attributes:
        callers: For callers' requests.
        addresses: For callers that ask where to connect.
        readiness: For the platform's readiness checks.
        first_internal_port: Peers; the next port serves metrics.
        contacts: Other instances to begin with.
    """

    callers: str = ini.key(pattern=ini.ADDRESS)
    addresses: str = ini.key(pattern=ini.ADDRESS)
    readiness: str = ini.key(pattern=ini.ADDRESS)
    first_internal_port: int = ini.key(low=1, high=65534)
    contacts: tuple[str, ...] = ini.key(default=(), may_be_empty=True)


@dataclasses.dataclass(frozen=True)
class StoreSettings:
    """The platform's row store.

    Attributes:
        address: IP and port.
        timeout_s: Longest wait for an answer.
    """

    address: str = ini.key(pattern=ini.ADDRESS)
    timeout_s: float = ini.key(default=1.0, low=0.05, high=60)


@dataclasses.dataclass(frozen=True)
class BoundSettings:
    """Bounds that the operator of the platform sets.

    Attributes:
        retry_ratio: Repeats allowed for each request of a service.
        retry_extra: Repeats allowed beside, over all instances.
        retry_window_s: Window of both.
        stop_grace_s: Time from SIGTERM to the end of the process.
        address_keep_s: How long callers may keep an address.
    """

    retry_ratio: float = ini.key(default=0.2, low=0, high=10)
    retry_extra: float = ini.key(default=100.0, low=0, high=1e6)
    retry_window_s: float = ini.key(default=10.0, low=0.1, high=3600)
    stop_grace_s: float = ini.key(default=8.0, low=0.1, high=3600)
    address_keep_s: float = ini.key(default=2.0, low=0.1, high=3600)


@dataclasses.dataclass(frozen=True)
class HostedSettings:
    """All settings of a hosted instance."""

    instance: EntrySettings
    listen: ListenSettings
    store: StoreSettings
    bounds: BoundSettings


_SECTIONS: dict[str, type] = {
    "instance": EntrySettings,
    "listen": ListenSettings,
    "store": StoreSettings,
    "bounds": BoundSettings,
}


def load(
    path: pathlib.Path,
) -> result.Result[HostedSettings, tuple[codes.Fault, ...]]:
    """Reads and checks a settings file."""
    return ini.read_text(path).bind(lambda text: from_text(text, str(path)))


def from_text(
    text: str, source: str = "settings"
) -> result.Result[HostedSettings, tuple[codes.Fault, ...]]:
    """Checks settings that were read already."""
    return ini.parse(text, source).bind(_read)


def _read(
    reader: ini.Reader,
) -> result.Result[HostedSettings, tuple[codes.Fault, ...]]:
    reader.check_sections(lambda section: section in _SECTIONS, _SECTIONS)
    parts: dict[str, Any] = {
        name: reader.section(name, kind) for name, kind in _SECTIONS.items()
    }
    if reader.faults:
        return result.Failure(tuple(reader.faults))
    return result.Success(HostedSettings(**parts))
