"""Initial state of a simulated world: its size, settings and calls."""

import dataclasses
import random

from tamarackpier import settings
from tamarackpier.request import identify, parse
from tamarackpier.request import model as request_model

__all__ = [
    "ACCOUNTS",
    "DomainSpec",
    "SERVICE",
    "WALL_CLOCK_START_S",
    "WorldSpec",
    "make_call",
    "node_settings",
    "timing",
]

# Wall-clock time at which the virtual clock reads 0, in Unix seconds.
WALL_CLOCK_START_S = 1_800_000_000.0
SERVICE = "orders"
ACCOUNTS = ("clerks-a", "clerks-b")


@dataclasses.dataclass(frozen=True)
class DomainSpec:
    """One fabric domain.

    Attributes:
        name: Name of the domain.
        zone: Availability zone of the domain.
        engines: Number of engines.
        checks_fencing: Whether the engines refuse old fencing numbers.
    """

    name: str
    zone: str
    engines: int
    checks_fencing: bool = True


@dataclasses.dataclass(frozen=True)
class WorldSpec:
    """Initial state of a simulated world.

    Attributes:
        entries: Number of entry instances.
        domains: Fabric domains.
        load_s: Time in which one engine loads a model, in seconds.
        token_s: Time between two tokens, in seconds.
        latency_s: One-way latency between any two processes, in seconds.
        policy: Name of the replica policy.
        slots: Number of requests that a replica runs at once.
        report_lag_s: Age of the load that engines report, in seconds.
        first_token_s: Time to the first token, in seconds.
        load_slowdown: Relative increase of the time per token when all slots
            are in use.
        cached_prefixes: Number of prompt prefixes that each lead caches.
        placement: Name of the placement policy.
    """

    entries: int = 3
    domains: tuple[DomainSpec, ...] = (
        DomainSpec("d1", "zone-a", 5),
        DomainSpec("d2", "zone-b", 5, checks_fencing=False),
    )
    load_s: float = 2.0
    token_s: float = 0.05
    latency_s: float = 0.0015
    policy: str = "objective"
    slots: int = 16
    report_lag_s: float = 0.0
    first_token_s: float = 0.05
    load_slowdown: float = 0.0
    cached_prefixes: int = 0
    placement: str = "prefix-bounded"


def timing() -> settings.TimingSettings:
    """Returns the timing settings of all nodes of a world."""
    return settings.TimingSettings(address_keep_s=2.0)


def node_settings(
    name: str, number: int, zone: str, spec: WorldSpec
) -> settings.Settings:
    """Returns the settings of one entry instance of a world.

    Args:
        name: Instance ID.
        number: Number of the instance.
        zone: Availability zone of the instance.
        spec: Initial state of the world.
    """
    return settings.Settings(
        settings.InstanceSettings(name, zone, f"{name}:caller", f"{name}:peer"),
        settings.PlatformSettings("http://platform"),
        settings.LimitSettings(
            default_deadline_s=30.0, placement=spec.placement
        ),
        timing(),
        settings.ObjectiveSettings(
            policy=spec.policy, load_s=spec.load_s, lead_s=5.0
        ),
        {account: _account_settings(account) for account in ACCOUNTS},
        {"operator": _account_settings("operator")},
        {SERVICE: settings.ServiceSettings(("upstream-1", "upstream-2"))},
    )


def _account_settings(name: str) -> settings.AccountSettings:
    return settings.AccountSettings(identify.hash_key(f"{name}-key"))


def make_call(
    rng: random.Random,
    messages: list[dict[str, str]],
    tokens: int,
    account: str,
    now: float,
) -> request_model.ModelCall:
    """Returns a chat call as the HTTP endpoint creates it.

    Args:
        rng: Random source of the request ID.
        messages: Messages of the chat.
        tokens: Maximum number of tokens to generate.
        account: Client account that sends the call.
        now: Time of arrival, in seconds on the monotonic clock.
    """
    content = " / ".join(message["content"] for message in messages)
    return request_model.ModelCall(
        f"req-{rng.random()}",
        account,
        request_model.CallKind.CHAT,
        "draft",
        messages,
        tokens,
        {},
        True,
        f"{account}/{content}",
        parse.part_fingerprints(account, messages),
        content[:8],
        float(tokens + 4),
        now,
        now + 30.0,
    )
