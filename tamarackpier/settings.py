"""The settings of a daemon: typed INI, validated as a whole.

Every section is a frozen dataclass; the type of a field determines how its
text is converted, and the field's metadata constrains the value. All faults of
a file are reported in one run, each with file, section and key.
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
    """Identity and listening addresses of this entry instance.

    Attributes:
        id: Unique identifier of the instance.
        availability_zone: Availability zone that the instance runs in.
        region: Region that the instance runs in.
        caller_address: IP and port for callers and operators.
        peer_address: IP and port for other entry instances.
        log_level: Lowest level that is logged: debug, info, warning or error.
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
    """Connection to the platform's services.

    Attributes:
        url: Base URL of the table, the object store and the instance list.
        timeout_s: Longest wait for one response, in seconds.
    """

    url: str = ini.key(pattern=re.compile(r"https?://\S+"))
    timeout_s: float = ini.key(default=2.0, low=0.05, high=60)


@dataclasses.dataclass(frozen=True)
class LimitSettings:
    """Limits on callers' requests, queueing and retries.

    Attributes:
        max_body_bytes: Largest request body, in bytes.
        max_sheet_bytes: Largest morning sheet, in bytes.
        body_timeout_s: Longest wait for a request body, in seconds.
        queue_length: Largest number of requests queued for a replica.
        default_deadline_s: Deadline of a request that sets none, in seconds.
        max_deadline_s: Longest deadline that a caller may set, in seconds.
        progress_timeout_s: Time without progress, in seconds, after which a
            call goes on at another replica if it can.
        retry_share: Retries allowed per first attempt.
        domains_used: Number of fabric domains to which one entry instance
            sends the requests of one model; the amount of evidence that it
            pulls from its peers grows with this number.
        placement: Name of the policy that selects a request's replica.
        quarantine_crashes: Number of upstream crashes after which a request
            that was running in each of them is refused.
        quarantine_s: Time that a quarantined request is refused, in seconds.
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
    """Periods and time limits of the control loops, in seconds.

    Attributes:
        peer_period_s: Interval between exchanges with peers.
        peer_fanout: Number of peers contacted at random in each exchange,
            in addition to the peers that this instance monitors.
        suspect_s: Time without an answer after which a peer is suspected.
        probe_period_s: Interval between probes of an engine.
        evidence_bound_s: Greatest age of the evidence on which a replica
            serves.
        lease_s: Duration of a lease.
        order_flight_s: Longest time that an order to an engine is in flight.
        sheet_poll_s: Interval between reads of the accepted sheet's version.
        instance_poll_s: Interval between reads of the instance list.
        address_keep_s: Time that callers may cache an address.
        drain_s: Longest time that a planned stop waits for work in flight.
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
    """Cost weights and expected times used by the replica planner.

    Attributes:
        policy: Name of the policy in the registry.
        downtime_weight: Cost per second in which a replica can't serve.
        stranding_weight: Cost per stranded accelerator-second; an accelerator
            is stranded while it is healthy but serves no requests.
        load_s: Expected time for an engine to load a model's weights, in
            seconds.
        form_s: Expected time for engines with loaded weights to form a
            replica, in seconds.
        lead_s: Slack before an event's start that covers failures while
            loading, in seconds.
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
        upstreams: Base URLs of the service's instances.
        repeatable_methods: HTTP methods that are idempotent.
        timeout_s: Longest wait for one response, in seconds.
        record_keep_s: Time that a call's outcome is kept, in seconds.
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


# Types of the sections that occur once, by the name of the section and of its
# field in `Settings`.
_SINGLE_SECTIONS: dict[str, type] = {
    "instance": InstanceSettings,
    "platform": PlatformSettings,
    "limits": LimitSettings,
    "timing": TimingSettings,
    "objective": ObjectiveSettings,
}
# Field in `Settings` and type of the sections PREFIX:NAME, by prefix.
_NAMED_SECTIONS: dict[str, tuple[str, type]] = {
    "account": ("accounts", AccountSettings),
    "operator": ("operators", AccountSettings),
    "service": ("services", ServiceSettings),
}


def load(
    path: pathlib.Path,
) -> result.Result[Settings, tuple[codes.Fault, ...]]:
    """Reads and validates a settings file.

    Returns:
        The settings, or all faults of the file.
    """
    return ini.read_text(path).bind(lambda text: from_text(text, str(path)))


def from_text(
    text: str, source: str = "settings"
) -> result.Result[Settings, tuple[codes.Fault, ...]]:
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
) -> result.Result[Settings, tuple[codes.Fault, ...]]:
    known_sections = [
        *_SINGLE_SECTIONS,
        *(f"{prefix}:NAME" for prefix in _NAMED_SECTIONS),
    ]
    reader.check_sections(_is_known, known_sections)
    sections: dict[str, Any] = {
        name: reader.section(name, section_type)
        for name, section_type in _SINGLE_SECTIONS.items()
    }
    for prefix, (field_name, section_type) in _NAMED_SECTIONS.items():
        sections[field_name] = {
            section.removeprefix(f"{prefix}:"): reader.section(
                section, section_type
            )
            for section in reader.parser.sections()
            if section.startswith(f"{prefix}:") and _is_known(section)
        }
    if not reader.faults:
        _check_across_sections(sections, reader)
    if reader.faults:
        return result.Failure(tuple(reader.faults))
    return result.Success(Settings(**sections))


def _is_known(section: str) -> bool:
    prefix, _, name = section.partition(":")
    return section in _SINGLE_SECTIONS or (
        prefix in _NAMED_SECTIONS and ini.NAME.fullmatch(name) is not None
    )


def _check_across_sections(
    sections: dict[str, Any], reader: ini.Reader
) -> None:
    timing = sections["timing"]
    if timing.evidence_bound_s < 2 * timing.probe_period_s:
        reader.add_fault(
            codes.SETTINGS_BAD_VALUE,
            "expected at least twice probe_period_s, or every replica "
            "stops serving between two probes",
            "timing",
            "evidence_bound_s",
        )
    if not sections["operators"]:
        reader.add_fault(
            codes.SETTINGS_MISSING_KEY,
            "at least one operator is required",
            "operator:NAME",
        )
