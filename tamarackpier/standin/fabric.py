"""A stand-in for engines that form replicas, on a clock of the caller's.

It keeps the promises that engines make about orders and fencing numbers, and
none about when an order arrives: one can be lost, or carried out much later.
What no planner may cause is checked on every order.
"""

import dataclasses
import random

from tamarackpier.fleet import model
from tamarackpier.routing import model as routing_model

__all__ = ["Fabric", "FabricBreachError", "create_fabric"]

_REJOIN_S = 0.2
_FORM_S = 0.3
_STALL_S = 6.0
_ROW_LAPSE_S = 3.6


class FabricBreachError(AssertionError):
    """A planner caused what must never be."""


@dataclasses.dataclass
class FabricEngine:
    """One engine.

    Attributes:
        record: Its row as it would write it.
        is_alive: Whether it answers.
        died_at: When it stopped answering.
        cut_at: Since when it lives but reaches and answers nobody.
        fence_seen: Highest fencing number of a join.
        members: Engines of its replica, by rank.
        ready_at: When it finishes joining; None when it is not joining.
        open_at: When it begins to serve; None when it was not told to.
        stalled_at: When a lead lost a member; None while it is whole.
        loading: The model that it loads, and until when.
    """

    record: model.EngineRecord
    is_alive: bool = True
    died_at: float = 0.0
    cut_at: float | None = None
    fence_seen: int = 0
    members: tuple[str, ...] = ()
    ready_at: float | None = None
    open_at: float | None = None
    stalled_at: float | None = None
    loading: tuple[str, float] | None = None

    @property
    def membership(self) -> model.Membership | None:
        """Its place in a replica."""
        return self.record.membership


class Fabric:
    """Engines of one service.

    Attributes:
        spec: How they work.
        engines: The engines by id.
        now: The time.
        was_ready: Engines that were ready, by replica.
        delayed_orders: Orders that are carried out later, with when.
        load_starts: When loads began.
    """

    def __init__(self, spec: routing_model.EngineSpec) -> None:
        self.spec = spec
        self.engines: dict[str, FabricEngine] = {}
        self.now = 0.0
        self.was_ready: dict[model.ReplicaKey, set[str]] = {}
        self.delayed_orders: list[tuple[float, model.Order]] = []
        self.load_starts: list[float] = []

    def add(self, name: str, service: str, zone: str, domain: str) -> None:
        """Adds an empty engine."""
        record = model.EngineRecord(
            name,
            service,
            f"{name}:1",
            zone,
            domain,
            self.spec.slots,
            False,
            1,
            "",
            (),
            None,
        )
        self.engines[name] = FabricEngine(record)

    def kill(self, name: str) -> None:
        """Ends an engine for good."""
        engine = self.engines[name]
        if engine.is_alive:
            engine.is_alive = False
            engine.died_at = self.now
            self._note_loss(name)

    def cut(self, name: str) -> None:
        """Cuts an engine off; it lives on."""
        self.engines[name].cut_at = self.now

    def heal(self) -> None:
        """Ends all cuts."""
        for each in self.engines.values():
            each.cut_at = None

    def rows(self) -> list[model.EngineRecord]:
        """Returns what the platform's store lists."""
        return [
            each.record
            for each in self.engines.values()
            if self.now - self._silent_since(each) < _ROW_LAPSE_S
        ]

    def _silent_since(self, engine: FabricEngine) -> float:
        if not engine.is_alive:
            return engine.died_at
        return self.now if engine.cut_at is None else engine.cut_at

    def is_reachable(self, name: str) -> bool:
        """Returns whether an engine answers when it is asked."""
        engine = self.engines[name]
        return engine.is_alive and engine.cut_at is None

    def serving(self, name: str) -> int:
        """Returns the replicas of a model that serve."""
        return sum(1 for each in self._leads() if each.record.model == name)

    def advance(self, now: float) -> None:
        """Lets time pass."""
        self.now = now
        due = [each for each in self.delayed_orders if each[0] <= now]
        self.delayed_orders = [
            each for each in self.delayed_orders if each[0] > now
        ]
        for _, order in due:
            self.order(order)
        for engine in self.engines.values():
            if engine.is_alive:
                self._progress(engine)

    def order(self, order: model.Order) -> model.OrderOutcome:
        """Carries out an order."""
        engine = self.engines[order.engine.id]
        if not self.is_reachable(order.engine.id):
            return model.OrderOutcome.UNKNOWN
        if order.kind is model.OrderKind.STAGE:
            return self._stage(engine, order.model)
        if order.key is None:
            return model.OrderOutcome.REFUSED
        if order.kind is model.OrderKind.JOIN:
            return self._join(engine, order, order.key)
        if engine.membership is None or engine.membership.key != order.key:
            return model.OrderOutcome.ACCEPTED
        if order.kind is model.OrderKind.LEAVE:
            self._set(engine, None)
            self._note_loss(order.engine.id)
            return model.OrderOutcome.ACCEPTED
        if order.kind is model.OrderKind.OPEN:
            return self._open(engine, order.key)
        self._set_state(engine, model.MemberState.READY)
        return model.OrderOutcome.ACCEPTED

    def _stage(self, engine: FabricEngine, name: str) -> model.OrderOutcome:
        spec = self.spec.model(name)
        if spec is None or engine.loading is not None:
            return model.OrderOutcome.NOT_NOW
        self.load_starts.append(self.now)
        engine.loading = (name, self.now + spec.load_s)
        return model.OrderOutcome.ACCEPTED

    def _join(
        self, engine: FabricEngine, order: model.Order, key: model.ReplicaKey
    ) -> model.OrderOutcome:
        if key.fence < engine.fence_seen:
            return model.OrderOutcome.SUPERSEDED
        membership = engine.membership
        if membership is not None and membership.key == key:
            return model.OrderOutcome.ACCEPTED
        self._check_alone(engine, key)
        spec = self.spec.model(order.model)
        if spec is None:
            return model.OrderOutcome.REFUSED
        needs_s = spec.warm_s
        if engine.record.model == order.model:
            needs_s = _REJOIN_S
        elif order.model not in engine.record.staged:
            needs_s = spec.load_s
            self.load_starts.append(self.now)
        engine.fence_seen = key.fence
        engine.members = order.members
        engine.ready_at = self.now + needs_s
        engine.open_at = None
        engine.stalled_at = None
        rank = order.members.index(engine.record.id)
        engine.record = dataclasses.replace(
            engine.record,
            model=order.model,
            staged=(order.model,),
            membership=model.Membership(key, rank, model.MemberState.JOINING),
        )
        return model.OrderOutcome.ACCEPTED

    def _open(
        self, engine: FabricEngine, key: model.ReplicaKey
    ) -> model.OrderOutcome:
        membership = engine.membership
        if membership is None or membership.state is not (
            model.MemberState.READY
        ):
            return model.OrderOutcome.NOT_NOW
        ready = self.was_ready.get(key, set())
        missing = [each for each in engine.members if each not in ready]
        if missing:
            raise FabricBreachError(f"{key} opened without {missing}")
        engine.open_at = self.now + _FORM_S
        return model.OrderOutcome.ACCEPTED

    def _check_alone(self, engine: FabricEngine, key: model.ReplicaKey) -> None:
        membership = engine.membership
        if membership is None or membership.key == key:
            return
        for lead in self.engines.values():
            place = lead.membership
            if place is None or place.key != membership.key or place.rank:
                continue
            is_open = place.state is model.MemberState.OPEN
            if lead.is_alive and is_open:
                raise FabricBreachError(
                    f"{engine.record.id} joins {key} while {place.key} is open"
                )

    def _progress(self, engine: FabricEngine) -> None:
        if engine.loading is not None and engine.loading[1] <= self.now:
            engine.record = dataclasses.replace(
                engine.record, staged=(engine.loading[0],)
            )
            engine.loading = None
        membership = engine.membership
        if membership is None:
            return
        if engine.ready_at is not None and engine.ready_at <= self.now:
            engine.ready_at = None
            self._set_state(engine, model.MemberState.READY)
            ready = self.was_ready.setdefault(membership.key, set())
            ready.add(engine.record.id)
        if engine.open_at is not None and engine.open_at <= self.now:
            engine.open_at = None
            self._set_state(engine, model.MemberState.OPEN)
        stalled = engine.stalled_at
        if stalled is not None and self.now - stalled >= _STALL_S:
            self._set_state(engine, model.MemberState.BROKEN)

    def _leads(self) -> list[FabricEngine]:
        return [
            each
            for each in self.engines.values()
            if each.is_alive
            and each.membership is not None
            and each.membership.rank == 0
            and each.membership.state is model.MemberState.OPEN
            and each.stalled_at is None
        ]

    def _note_loss(self, name: str) -> None:
        for lead in self._leads():
            if name in lead.members and name != lead.record.id:
                lead.stalled_at = self.now

    def _set(
        self, engine: FabricEngine, membership: model.Membership | None
    ) -> None:
        engine.record = dataclasses.replace(
            engine.record, membership=membership
        )

    def _set_state(
        self, engine: FabricEngine, state: model.MemberState
    ) -> None:
        membership = engine.membership
        if membership is not None:
            self._set(engine, dataclasses.replace(membership, state=state))


def create_fabric(
    spec: routing_model.EngineSpec,
    domains: int,
    engines: int,
    rng: random.Random,
) -> Fabric:
    """Returns a zone of domains with empty engines."""
    fabric = Fabric(spec)
    for domain in range(domains):
        for index in range(engines):
            fabric.add(
                f"e{domain}-{index}-{rng.randrange(1 << 16):04x}",
                "drafts",
                "zone-a",
                f"d{domain}",
            )
    return fabric
