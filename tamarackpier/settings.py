"""The settings of a daemon: INI, typed, and checked as a whole.

Every section is a frozen dataclass; the type of a field decides how its text
is read, and its metadata bounds the value. All faults of a file are reported
in one run, each with file, section and key.
"""

import dataclasses
import pathlib
import re
from typing import Any

from returns import result

from tamarackpier import codes, ini
from tamarackpier.replica import policy
from tamarackpier.request import place

__all__ = [
    "AccountSettings",
    "InstanceSettings",
    "LimitSettings",
    "ObjectiveSettings",
    "PlatformSettings",
    "ServiceSettings",
    "Settings",
    "TimingSettings",
    "from_text",
    "load",
]

_KEY_HASH = re.compile(r"[0-9a-f]{64}")


@dataclasses.dataclass(frozen=True)
class InstanceSettings:
    """Who this entry instance is and where it listens.

    Attributes:
        id: Unique name of the instance.
        availability_zone: Its availability zone.
        region: Its region.
        caller_address: IP and port for callers and operators.
        peer_address: IP and port for other entry instances.
        log_level: debug, info, warning or error.
    """

    id: str = ini.key(pattern=ini.NAME)
    availability_zone: str = ini.key(pattern=ini.NAME)
    caller_address: str = ini.key(pattern=ini.ADDRESS)
    peer_address: str = ini.key(pattern=ini.ADDRESS)
    region: str = ini.key(default="region-1", pattern=ini.NAME)
    log_level: str = ini.key(
        default="info", one_of=("debug", "info", "warning", "error")
    )


@dataclasses.dataclass(frozen=True)
class PlatformSettings:
    """Where the platform's services are.

    Attributes:
        url: Base address of table, objects and instance list.
        timeout_s: Longest wait for one answer.
    """

    url: str = ini.key(pattern=re.compile(r"https?://\S+"))
    timeout_s: float = ini.key(default=2.0, low=0.05, high=60)


@dataclasses.dataclass(frozen=True)
class LimitSettings:
    """Bounds on what callers may send and on what waits.

    Attributes:
        max_body_bytes: Largest body of a request.
        max_sheet_bytes: Largest morning sheet.
        body_timeout_s: Longest wait for a body to arrive.
        queue_length: Most requests that wait for a replica.
        default_deadline_s: Deadline of a request that names none.
        max_deadline_s: Longest deadline a caller may ask for.
        progress_timeout_s: Longest silence of a stream.
        retry_share: Retries allowed per first attempt.
        domains_used: Fabric domains that requests of one model go to from
            one entry instance; the evidence it pulls grows with it.
        placement: Policy that chooses a request's replica.
        quarantine_crashes: Crashes after which a request is refused.
        quarantine_s: How long it is refused.
    """

    max_body_bytes: int = ini.key(default=1_048_576, low=1024, high=1 << 28)
    max_sheet_bytes: int = ini.key(default=8_388_608, low=1024, high=1 << 28)
    body_timeout_s: float = ini.key(default=10.0, low=0.1, high=300)
    queue_length: int = ini.key(default=256, low=0, high=100_000)
    default_deadline_s: float = ini.key(default=60.0, low=0.1, high=3600)
    max_deadline_s: float = ini.key(default=600.0, low=0.1, high=86_400)
    progress_timeout_s: float = ini.key(default=5.0, low=0.1, high=300)
    retry_share: float = ini.key(default=0.2, low=0, high=1)
    domains_used: int = ini.key(default=8, low=1, high=10_000)
    placement: str = ini.key(
        default="prefix-bounded", one_of=tuple(place.POLICIES)
    )
    quarantine_crashes: int = ini.key(default=2, low=1, high=100)
    quarantine_s: float = ini.key(default=600.0, low=1, high=86_400)


@dataclasses.dataclass(frozen=True)
class TimingSettings:
    """Periods and bounds of the control work, in seconds.

    Attributes:
        peer_period_s: Between exchanges with peers.
        peer_fanout: Peers asked at random in each exchange, besides those
            that are monitored.
        suspect_s: Silence after which a peer is suspected.
        probe_period_s: Between probes of an engine.
        evidence_bound_s: Oldest evidence on which a replica serves.
        lease_s: Length of a lease.
        order_flight_s: Longest time an order is in flight.
        sheet_poll_s: Between reads of the accepted version.
        instance_poll_s: Between reads of the instance list.
        address_keep_s: How long callers may keep an address.
        drain_s: Longest wait of a planned stop for what is in flight.
    """

    peer_period_s: float = ini.key(default=0.5, low=0.01, high=60)
    peer_fanout: int = ini.key(default=1, low=1, high=64)
    suspect_s: float = ini.key(default=3.0, low=0.1, high=600)
    probe_period_s: float = ini.key(default=0.5, low=0.01, high=60)
    evidence_bound_s: float = ini.key(default=2.5, low=0.1, high=60)
    lease_s: float = ini.key(default=6.0, low=0.2, high=600)
    order_flight_s: float = ini.key(default=2.0, low=0.05, high=60)
    sheet_poll_s: float = ini.key(default=5.0, low=0.05, high=600)
    instance_poll_s: float = ini.key(default=2.0, low=0.05, high=600)
    address_keep_s: float = ini.key(default=10.0, low=0.1, high=3600)
    drain_s: float = ini.key(default=600.0, low=0.1, high=86_400)


@dataclasses.dataclass(frozen=True)
class ObjectiveSettings:
    """What the replica planner weighs.

    Attributes:
        policy: Name of the policy in the registry.
        downtime_weight: Cost of a second in which a replica can't serve.
        stranding_weight: Cost of a stranded accelerator-second.
        load_s: Expected time for an engine to load a model's weights.
        form_s: Expected time for engines with weights to form a replica.
        lead_s: Slack before an event's start, for failures while loading.
    """

    policy: str = ini.key(default="objective", one_of=tuple(policy.POLICIES))
    downtime_weight: float = ini.key(default=1.0, low=0, high=1e6)
    stranding_weight: float = ini.key(default=0.1, low=0, high=1e6)
    load_s: float = ini.key(default=60.0, low=0, high=86_400)
    form_s: float = ini.key(default=10.0, low=0, high=86_400)
    lead_s: float = ini.key(default=60.0, low=0, high=86_400)


@dataclasses.dataclass(frozen=True)
class AccountSettings:
    """The key of a client account or operator.

    Attributes:
        key_sha256: SHA-256 of the key, in hexadecimal.
    """

    key_sha256: str = ini.key(pattern=_KEY_HASH)


@dataclasses.dataclass(frozen=True)
class ServiceSettings:
    """A plain service that calls are routed to.

    Attributes:
        upstreams: Base addresses of its instances.
        repeatable_methods: HTTP methods that are idempotent.
        timeout_s: Longest wait for one answer.
        record_keep_s: How long a call's outcome is kept.
    """

    upstreams: tuple[str, ...] = ini.key()
    repeatable_methods: tuple[str, ...] = ini.key(default=("GET", "HEAD"))
    timeout_s: float = ini.key(default=10.0, low=0.05, high=600)
    record_keep_s: float = ini.key(default=172_800.0, low=1, high=1e8)


@dataclasses.dataclass(frozen=True)
class Settings:
    """All settings of one daemon."""

    instance: InstanceSettings
    platform: PlatformSettings
    limits: LimitSettings
    timing: TimingSettings
    objective: ObjectiveSettings
    accounts: dict[str, AccountSettings]
    operators: dict[str, AccountSettings]
    services: dict[str, ServiceSettings]


_SINGLE: dict[str, type] = {
    "instance": InstanceSettings,
    "platform": PlatformSettings,
    "limits": LimitSettings,
    "timing": TimingSettings,
    "objective": ObjectiveSettings,
}
_NAMED: dict[str, tuple[str, type]] = {
    "account": ("accounts", AccountSettings),
    "operator": ("operators", AccountSettings),
    "service": ("services", ServiceSettings),
}


def load(
    path: pathlib.Path,
) -> result.Result[Settings, tuple[codes.Fault, ...]]:
    """Reads and checks a settings file."""
    return ini.read_text(path).bind(lambda text: from_text(text, str(path)))


def from_text(
    text: str, source: str = "settings"
) -> result.Result[Settings, tuple[codes.Fault, ...]]:
    """Checks settings that were read already.

    Args:
        text: The INI text.
        source: What to call it in faults.
    """
    return ini.parse(text, source).bind(_read)


def _read(
    reader: ini.Reader,
) -> result.Result[Settings, tuple[codes.Fault, ...]]:
    known = [*_SINGLE, *(f"{prefix}:NAME" for prefix in _NAMED)]
    reader.check_sections(_is_known, known)
    parts: dict[str, Any] = {
        name: reader.section(name, kind) for name, kind in _SINGLE.items()
    }
    for prefix, (group, kind) in _NAMED.items():
        parts[group] = {
            section.removeprefix(f"{prefix}:"): reader.section(section, kind)
            for section in reader.parser.sections()
            if section.startswith(f"{prefix}:") and _is_known(section)
        }
    if not reader.faults:
        _check_together(parts, reader)
    if reader.faults:
        return result.Failure(tuple(reader.faults))
    return result.Success(Settings(**parts))


def _is_known(section: str) -> bool:
    prefix, _, name = section.partition(":")
    return section in _SINGLE or (
        prefix in _NAMED and ini.NAME.fullmatch(name) is not None
    )


def _check_together(parts: dict[str, Any], reader: ini.Reader) -> None:
    timing = parts["timing"]
    if timing.evidence_bound_s < 2 * timing.probe_period_s:
        reader.fault(
            codes.SETTINGS_BAD_VALUE,
            "must be at least twice probe_period_s, or every replica "
            "stops serving between two probes",
            "timing",
            "evidence_bound_s",
        )
    if not parts["operators"]:
        reader.fault(
            codes.SETTINGS_MISSING_KEY,
            "at least one operator is needed",
            "operator:NAME",
        )
