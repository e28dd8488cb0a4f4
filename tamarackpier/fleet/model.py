"""Engines as they describe themselves, and replicas made up of them."""

import dataclasses
import enum

__all__ = [
    "EngineRecord",
    "EngineReport",
    "ReplicaKey",
    "MemberState",
    "Membership",
    "Order",
    "OrderKind",
    "OrderOutcome",
    "Replica",
]


class MemberState(enum.Enum):
    """How far an engine is in its replica."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True, order=True)
class ReplicaKey:
    """Names one life of a replica.

    Attributes:
        replica: The replica's name.
        fence: Its fencing number.
    """

    replica: str
    fence: int


@dataclasses.dataclass(frozen=True)
class Membership:
    """An engine's place in a replica.

    Attributes:
        key: The replica.
        rank: 0 for the lead, which takes the requests.
        state: How far the engine is.
    """

    key: ReplicaKey
    rank: int
    state: MemberState


@dataclasses.dataclass(frozen=True)
class EngineRecord:
    """An engine, as its row in the platform's store has it.

    Attributes:
        id: Unique name, mostly new with each start.
        service: The service it belongs to.
        address: IP and port.
        availability_zone: Where it is.
        domain: Its fabric domain; empty for a plain service's engine.
        slots: Requests that it runs at once.
        is_leaving: Whether it has announced that it goes.
        incarnation: Unix milliseconds of its start.
        model: The model that it has in use; empty for none.
        staged: Models whose weights are on its host.
        membership: Its replica, if it is in one.
    """

    id: str
    service: str
    address: str
    availability_zone: str
    domain: str
    slots: int
    is_leaving: bool
    incarnation: int
    model: str
    staged: tuple[str, ...]
    membership: Membership | None


@dataclasses.dataclass(frozen=True)
class EngineReport:
    """What an engine answered when it was asked.

    Attributes:
        id: The engine that was asked.
        membership: Its replica, if it is in one.
        running: Requests that run.
        queued: Requests that wait.
        pace: Over 1 where it works slower than usual.
        incarnation: Unix milliseconds of its start; 0 if it did not say.
        model: The model that it has in use; empty for none.
        staged: Models whose weights are on its host.
    """

    id: str
    membership: Membership | None
    running: int
    queued: int
    pace: float
    incarnation: int = 0
    model: str = ""
    staged: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class Replica:
    """The engines that name the same replica and fencing number.

    Attributes:
        key: Its name and fencing number.
        model: The model.
        span: Members that a whole replica has.
        members: Engines by rank; a rank that nobody reports is absent.
    """

    key: ReplicaKey
    model: str
    span: int
    members: tuple[tuple[int, EngineRecord], ...]

    @property
    def lead(self) -> EngineRecord | None:
        """The engine that takes requests, if it is known."""
        if self.members and self.members[0][0] == 0:
            return self.members[0][1]
        return None

    @property
    def lead_state(self) -> MemberState | None:
        """The lead's state, if it is known."""
        lead = self.lead
        return lead.membership.state if lead and lead.membership else None

    @property
    def is_complete(self) -> bool:
        """Whether every rank is there."""
        return len(self.members) == self.span and self.span > 0

    @property
    def is_ready(self) -> bool:
        """Whether every rank is there and ready."""
        if not self.is_complete:
            return False
        return all(
            each.membership is not None
            and each.membership.state
            in (MemberState.READY, MemberState.OPEN, MemberState.CLOSING)
            for _, each in self.members
        )

    @property
    def is_stable(self) -> bool:
        """Whether it is whole and none of its members is leaving."""
        return self.is_ready and not self.leaving

    @property
    def leaving(self) -> tuple[EngineRecord, ...]:
        """The members that have announced that they go."""
        return tuple(each for _, each in self.members if each.is_leaving)

    @property
    def is_open(self) -> bool:
        """Whether it serves, as far as its members say.

        A member that is leaving stays while its lead has work, so only a
        leaving lead ends that.
        """
        lead = self.lead
        return (
            self.lead_state is MemberState.OPEN
            and self.is_ready
            and lead is not None
            and not lead.is_leaving
        )


class OrderKind(enum.Enum):
    """What an engine is told to do."""

    JOIN = "join"
    OPEN = "open"
    CLOSE = "close"
    LEAVE = "leave"
    STAGE = "stage"


@dataclasses.dataclass(frozen=True)
class Order:
    """An order to one engine.

    Attributes:
        kind: What to do.
        engine: The engine.
        reason: Why, for the log.
        key: The replica; None for `STAGE`.
        model: The model, for `JOIN` and `STAGE`.
        members: Engines by rank, for `JOIN`.
    """

    kind: OrderKind
    engine: EngineRecord
    reason: str
    key: ReplicaKey | None = None
    model: str = ""
    members: tuple[str, ...] = ()


class OrderOutcome(enum.Enum):
    """What became of an order."""

    ACCEPTED = "accepted"
    NOT_NOW = "not_now"
    SUPERSEDED = "superseded"
    OTHER_ENGINE = "other_engine"
    REFUSED = "refused"
    UNKNOWN = "unknown"
