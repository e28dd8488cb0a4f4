"""What a world of nodes begins with: sizes, settings and calls."""

import dataclasses
import random

from tamarackpier import settings
from tamarackpier.request import identify
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

WALL_CLOCK_START_S = 1_800_000_000.0
SERVICE = "orders"
ACCOUNTS = ("clerks-a", "clerks-b")


@dataclasses.dataclass(frozen=True)
class DomainSpec:
    """One fabric domain."""

    name: str
    zone: str
    engines: int
    checks_fencing: bool = True


@dataclasses.dataclass(frozen=True)
class WorldSpec:
    """What a world begins with.

    Attributes:
        entries: How many entry instances.
        domains: The fabric domains.
        load_s: Time of one engine's load.
        token_s: Time between tokens.
        latency_s: One way between any two processes.
        policy: Name of the replica policy.
        slots: Requests that a replica runs at once.
        report_lag_s: How far reported load lies behind.
        first_token_s: Time to the first token.
        load_slowdown: How much longer a token takes with all slots in use.
        cached_prefixes: Prompt prefixes that each lead remembers.
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
    """Returns the timing of all nodes of a world."""
    return settings.TimingSettings(address_keep_s=2.0)


def node_settings(
    name: str, number: int, zone: str, spec: WorldSpec
) -> settings.Settings:
    """Returns the settings of one entry instance of a world."""
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
        {account: _key_of(account) for account in ACCOUNTS},
        {"operator": _key_of("operator")},
        {SERVICE: settings.ServiceSettings(("upstream-1", "upstream-2"))},
    )


def _key_of(name: str) -> settings.AccountSettings:
    return settings.AccountSettings(identify.hash_key(f"{name}-key"))


def make_call(
    rng: random.Random,
    messages: list[dict[str, str]],
    tokens: int,
    account: str,
    now: float,
) -> request_model.ModelCall:
    """Returns a chat call as the HTTP endpoint would make it."""
    content = messages[0]["content"]
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
        content[:8],
        float(tokens + 4),
        now,
        now + 30.0,
    )
