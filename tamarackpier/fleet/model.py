"""Engines, the replicas that they form, and the orders that they receive."""

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
    "RowsRead",
]


class MemberState(enum.Enum):
    """State of an engine as a member of its replica.

    A `JOINING` engine is not yet able to serve; a `READY` one is. The lead is
    `OPEN` while it accepts requests, and `CLOSING` while it finishes the
    running ones and accepts no more. A `BROKEN` engine reports that its replica
    cannot serve any more.
    """

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True, order=True)
class ReplicaKey:
    """Identifies one formation of a replica.

    Attributes:
        replica: Name of the replica.
        fence: Fencing number, which rises with every formation.
    """

    replica: str
    fence: int


@dataclasses.dataclass(frozen=True)
class Membership:
    """Place of an engine in a replica.

    Attributes:
        key: Key of the replica.
        rank: Position in the replica; 0 is the lead, which takes the requests.
        state: State of the engine as a member.
    """

    key: ReplicaKey
    rank: int
    state: MemberState


@dataclasses.dataclass(frozen=True)
class EngineRecord:
    """An engine, as described by its row in the platform's store.

    Attributes:
        id: Unique ID, usually new with each start.
        service: Name of the service that it belongs to.
        address: IP address and port.
        availability_zone: Availability zone that it runs in.
        domain: Fabric domain, within which engines form replicas; empty for an
            engine of a plain service, which forms none.
        slots: Number of requests that it runs concurrently.
        is_leaving: Whether it has announced its shutdown.
        incarnation: Start time, in Unix milliseconds, which tells a restarted
            engine from the earlier one.
        model: Name of the model in use; empty for none.
        staged: Names of the models whose weights are on its host.
        membership: Place in its replica; None if it is in none.
        cold_left_s: Time for which the engine was still cold when it wrote the
            row, in seconds. Rows that differ in nothing else are equal.
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
    cold_left_s: float = dataclasses.field(default=0.0, compare=False)


@dataclasses.dataclass(frozen=True)
class EngineReport:
    """Answer of an engine to a probe.

    Attributes:
        id: ID of the engine that was probed.
        membership: Place in its replica; None if it is in none.
        running: Number of running requests.
        queued: Number of queued requests.
        pace: Factor on its usual processing times; above 1 if it is slow.
        incarnation: Start time, in Unix milliseconds; 0 if not reported.
        model: Name of the model in use; empty for none.
        staged: Names of the models whose weights are on its host.
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
    """The engines that report the same replica name and fencing number.

    Attributes:
        key: Name and fencing number.
        model: Name of the model.
        span: Number of members in a complete replica; 0 if unknown.
        members: Pairs of rank and engine, in order of rank; a rank that no
            engine reports is absent.
    """

    key: ReplicaKey
    model: str
    span: int
    members: tuple[tuple[int, EngineRecord], ...]

    @property
    def lead(self) -> EngineRecord | None:
        """The member with rank 0, which takes the requests; None if unknown."""
        if self.members and self.members[0][0] == 0:
            return self.members[0][1]
        return None

    @property
    def lead_state(self) -> MemberState | None:
        """The state of the lead; None if unknown."""
        lead = self.lead
        return lead.membership.state if lead and lead.membership else None

    @property
    def is_complete(self) -> bool:
        """Whether an engine is known for every rank."""
        return len(self.members) == self.span and self.span > 0

    @property
    def is_outdated(self) -> bool:
        """Whether no configured model has so many members.

        A replica whose model is not known isn't.
        """
        return bool(self.model) and len(self.members) > self.span

    @property
    def lacks_member(self) -> bool:
        """Whether no engine is known for some rank."""
        return len(self.members) < self.span

    @property
    def is_ready(self) -> bool:
        """Whether the replica is complete and every member is ready."""
        if not self.is_complete:
            return False
        return all(
            engine.membership is not None
            and engine.membership.state
            in (MemberState.READY, MemberState.OPEN, MemberState.CLOSING)
            for _, engine in self.members
        )

    @property
    def is_stable(self) -> bool:
        """Whether the replica is ready and no member is leaving."""
        return self.is_ready and not self.leaving

    @property
    def leaving(self) -> tuple[EngineRecord, ...]:
        """The members that have announced their shutdown."""
        return tuple(engine for _, engine in self.members if engine.is_leaving)

    @property
    def is_open(self) -> bool:
        """Whether the replica accepts requests, by its members' records.

        A leaving lead closes the replica; any other leaving member stays while
        the lead has work.
        """
        lead = self.lead
        return (
            self.lead_state is MemberState.OPEN
            and self.is_ready
            and lead is not None
            and not lead.is_leaving
        )


class OrderKind(enum.Enum):
    """Action that an order asks of an engine.

    `JOIN` is to become a member of a replica, and to load the weights if they
    are not on the host. `OPEN` and `CLOSE` go to the lead: to accept requests,
    and to finish the running ones and accept no more. `LEAVE` is to end the
    membership. `STAGE` is to load the weights of a model without joining.
    """

    JOIN = "join"
    OPEN = "open"
    CLOSE = "close"
    LEAVE = "leave"
    STAGE = "stage"


@dataclasses.dataclass(frozen=True)
class Order:
    """An order to one engine.

    Attributes:
        kind: Action to take.
        engine: Engine that receives the order.
        reason: Reason for the order, for the log.
        key: Key of the replica; None for `STAGE`.
        model: Name of the model, for `JOIN` and `STAGE`; otherwise empty.
        members: Engine IDs in order of rank, for `JOIN`; otherwise empty.
    """

    kind: OrderKind
    engine: EngineRecord
    reason: str
    key: ReplicaKey | None = None
    model: str = ""
    members: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class RowsRead:
    """What an instance has read of the engines' rows.

    Attributes:
        at: Time of the last answer, in seconds on the monotonic clock.
        version: Version of the store up to which rows were read.
        source: The store, or the ID of the peer that passed them on.
    """

    at: float
    version: int
    source: str


class OrderOutcome(enum.Enum):
    """Outcome of an order.

    `ACCEPTED` also covers orders that needed no change. `NOT_NOW` is a refusal
    because of the engine's present state, `SUPERSEDED` because it has seen a
    higher fencing number, `OTHER_ENGINE` because a different engine runs at the
    address, and `REFUSED` for any other reason. With `UNKNOWN`, the call failed
    or timed out, and the engine may carry out the order or not.
    """

    ACCEPTED = "accepted"
    NOT_NOW = "not_now"
    SUPERSEDED = "superseded"
    OTHER_ENGINE = "other_engine"
    REFUSED = "refused"
    UNKNOWN = "unknown"
