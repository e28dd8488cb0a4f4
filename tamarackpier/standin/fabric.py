"""Fake engines that form replicas, on a clock that the caller passes in.

The engines keep the platform's guarantees about orders and fencing numbers.
There is no guarantee about the delivery of an order: it can be lost, or carried
out much later. Two invariants, which no planner may violate, are checked with
every order: a replica opens only after all its members have become ready, and
an engine joins no other replica while its present one is open.
"""

import dataclasses
import random

from tamarackpier.fleet import model
from tamarackpier.routing import model as routing_model

__all__ = ["Fabric", "FabricInvariantError", "create_fabric"]

# Time that an engine takes to join a replica of the model that it already uses.
_REJOIN_S = 0.2
# Time that a ready replica takes to open.
_OPEN_S = 0.3
# Time after which a lead that lost a member reports its replica as broken.
_BROKEN_AFTER_S = 6.0
# Time after which the store drops the row of an engine that is down or cut off.
_ROW_EXPIRY_S = 3.6


class FabricInvariantError(AssertionError):
    """An order violated an invariant that planners must keep."""


@dataclasses.dataclass
class FabricEngine:
    """State of one engine.

    All times are in seconds on the caller's clock.

    Attributes:
        record: Row of the engine, as the engine would write it now.
        is_alive: Whether its process runs.
        killed_at: Time at which its process ended; 0 while it runs.
        cut_at: Time at which it was cut off from the network; None if it is
            not cut off.
        stored_at: Time at which it was cut off from the store; None if it
            writes its row.
        stored_record: Its row in the store while it is cut off from it.
        highest_fence: Highest fencing number of the joins that it accepted.
        members: IDs of the engines of its replica, in order of rank.
        ready_at: Time at which it finishes joining; None if it is not joining.
        open_at: Time at which it opens; None if it is not opening.
        stalled_at: For a lead, time at which its open replica lost a member;
            None while the replica can serve.
        loading: Model whose weights it loads for a `STAGE` order, and the time
            at which the load ends; None if it loads none.
        running: Number of streams that it runs as a lead.
    """

    record: model.EngineRecord
    is_alive: bool = True
    killed_at: float = 0.0
    cut_at: float | None = None
    stored_at: float | None = None
    stored_record: model.EngineRecord | None = None
    highest_fence: int = 0
    members: tuple[str, ...] = ()
    ready_at: float | None = None
    open_at: float | None = None
    stalled_at: float | None = None
    loading: tuple[str, float] | None = None
    running: int = 0

    @property
    def membership(self) -> model.Membership | None:
        """Place of the engine in its replica; None if it is in none."""
        return self.record.membership


class Fabric:
    """Fake engines and the replicas that they form.

    All times are in seconds on the caller's clock.

    Attributes:
        spec: Capacity, timing and models of the engines.
        engines: Engines by ID.
        now: Current time.
        ready_engines: IDs of the engines that have become ready, by replica.
        delayed_orders: Orders that are carried out later, each in a pair that
            begins with the time at which it is due.
        load_starts: Times at which loads from the weight store began.
        load_factor: Factor on the times of loads; they are quicker before the
            first request of a deployment.
    """

    def __init__(self, spec: routing_model.EngineSpec) -> None:
        self.spec = spec
        self.engines: dict[str, FabricEngine] = {}
        self.now = 0.0
        self.ready_engines: dict[model.ReplicaKey, set[str]] = {}
        self.delayed_orders: list[tuple[float, model.Order]] = []
        self.load_starts: list[float] = []
        self.load_factor = 1.0

    def add(self, name: str, service: str, zone: str, domain: str) -> None:
        """Adds an engine without a model or a replica."""
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
        """Ends an engine's process."""
        engine = self.engines[name]
        if engine.is_alive:
            engine.is_alive = False
            engine.killed_at = self.now
            self._stall_replicas_of(name)

    def restart(self, name: str) -> None:
        """Starts the process of a killed engine again, under the same ID.

        The engine knows nothing of before; its host keeps the staged weights.
        """
        record = self.engines[name].record
        self.engines[name] = FabricEngine(
            dataclasses.replace(
                record,
                incarnation=record.incarnation + 1,
                model="",
                membership=None,
            )
        )

    def cut(self, name: str) -> None:
        """Cuts an engine off from the network; it keeps running."""
        self.engines[name].cut_at = self.now

    def cut_from_store(self, name: str) -> None:
        """Cuts an engine off from the store only."""
        engine = self.engines[name]
        if engine.stored_at is None:
            engine.stored_at = self._last_reachable_at(engine)
            engine.stored_record = engine.record

    def heal(self) -> None:
        """Reconnects all engines that are cut off."""
        for engine in self.engines.values():
            engine.cut_at = None
            engine.stored_at = None
            engine.stored_record = None

    def rows(self) -> list[model.EngineRecord]:
        """Returns the engine rows that the platform's store holds."""
        return [
            engine.stored_record or engine.record
            for engine in self.engines.values()
            if self.now - self._last_reachable_at(engine) < _ROW_EXPIRY_S
        ]

    def _last_reachable_at(self, engine: FabricEngine) -> float:
        """Returns the time at which an engine could last write its row."""
        times = [
            at for at in (engine.cut_at, engine.stored_at) if at is not None
        ]
        if not engine.is_alive:
            times.append(engine.killed_at)
        return min(times, default=self.now)

    def is_reachable(self, name: str) -> bool:
        """Returns whether an engine answers probes, orders and requests."""
        engine = self.engines[name]
        return engine.is_alive and engine.cut_at is None

    def serving(self, model_name: str) -> int:
        """Returns the number of replicas of a model that serve."""
        return sum(
            1
            for lead in self._serving_leads()
            if lead.record.model == model_name
        )

    def advance(self, now: float) -> None:
        """Advances the clock, and carries out delayed orders that are due.

        Engines finish loading, joining and opening when their times have come.

        Raises:
            FabricInvariantError: A delayed order violates an invariant.
        """
        self.now = now
        due_orders = [
            delayed for delayed in self.delayed_orders if delayed[0] <= now
        ]
        self.delayed_orders = [
            delayed for delayed in self.delayed_orders if delayed[0] > now
        ]
        for _, order in due_orders:
            self.order(order)
        for engine in self.engines.values():
            if engine.is_alive:
                self._advance_engine(engine)

    def order(self, order: model.Order) -> model.OrderOutcome:
        """Carries out an order.

        Returns:
            The engine's response; `UNKNOWN` if the engine is not reachable.

        Raises:
            FabricInvariantError: The order violates an invariant.
        """
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
            # The order is for a replica that the engine is not in, and has no
            # effect.
            return model.OrderOutcome.ACCEPTED
        if order.kind is model.OrderKind.LEAVE:
            self._set_membership(engine, None)
            self._stall_replicas_of(order.engine.id)
            return model.OrderOutcome.ACCEPTED
        if order.kind is model.OrderKind.OPEN:
            return self._open(engine, order.key)
        # The remaining kind is CLOSE. Running streams are finished first.
        is_running = engine.running > 0
        self._set_state(
            engine,
            model.MemberState.CLOSING
            if is_running
            else model.MemberState.READY,
        )
        return model.OrderOutcome.ACCEPTED

    def _stage(
        self, engine: FabricEngine, model_name: str
    ) -> model.OrderOutcome:
        model_spec = self.spec.model(model_name)
        if model_spec is None or engine.loading is not None:
            return model.OrderOutcome.NOT_NOW
        self.load_starts.append(self.now)
        load_s = model_spec.load_s * self.load_factor
        engine.loading = (model_name, self.now + load_s)
        return model.OrderOutcome.ACCEPTED

    def _join(
        self, engine: FabricEngine, order: model.Order, key: model.ReplicaKey
    ) -> model.OrderOutcome:
        if key.fence < engine.highest_fence:
            return model.OrderOutcome.SUPERSEDED
        membership = engine.membership
        if membership is not None and membership.key == key:
            return model.OrderOutcome.ACCEPTED
        self._check_previous_replica_closed(engine, key)
        model_spec = self.spec.model(order.model)
        if model_spec is None:
            return model.OrderOutcome.REFUSED
        join_s = model_spec.warm_s
        if engine.record.model == order.model:
            join_s = _REJOIN_S
        elif order.model not in engine.record.staged:
            join_s = model_spec.load_s * self.load_factor
            self.load_starts.append(self.now)
        engine.highest_fence = key.fence
        engine.members = order.members
        engine.ready_at = self.now + join_s
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
        ready_ids = self.ready_engines.get(key, set())
        unready_ids = [
            member for member in engine.members if member not in ready_ids
        ]
        if unready_ids:
            raise FabricInvariantError(
                f"{key} opened although members were never ready: {unready_ids}"
            )
        engine.open_at = self.now + _OPEN_S
        return model.OrderOutcome.ACCEPTED

    def _check_previous_replica_closed(
        self, engine: FabricEngine, key: model.ReplicaKey
    ) -> None:
        membership = engine.membership
        if membership is None or membership.key == key:
            return
        for lead in self.engines.values():
            lead_membership = lead.membership
            if (
                lead_membership is None
                or lead_membership.key != membership.key
                or lead_membership.rank
            ):
                continue
            is_open = lead_membership.state in (
                model.MemberState.OPEN,
                model.MemberState.CLOSING,
            )
            if lead.is_alive and is_open:
                raise FabricInvariantError(
                    f"{engine.record.id} joins {key} "
                    f"while {lead_membership.key} is open"
                )

    def _advance_engine(self, engine: FabricEngine) -> None:
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
            ready_ids = self.ready_engines.setdefault(membership.key, set())
            ready_ids.add(engine.record.id)
        if engine.open_at is not None and engine.open_at <= self.now:
            engine.open_at = None
            self._set_state(engine, model.MemberState.OPEN)
        if membership.state is model.MemberState.CLOSING and not engine.running:
            self._set_state(engine, model.MemberState.READY)
        stalled_at = engine.stalled_at
        if stalled_at is not None and self.now - stalled_at >= _BROKEN_AFTER_S:
            self._set_state(engine, model.MemberState.BROKEN)

    def _serving_leads(self) -> list[FabricEngine]:
        return [
            engine
            for engine in self.engines.values()
            if engine.is_alive
            and engine.membership is not None
            and engine.membership.rank == 0
            and engine.membership.state
            in (model.MemberState.OPEN, model.MemberState.CLOSING)
            and engine.stalled_at is None
        ]

    def _stall_replicas_of(self, name: str) -> None:
        """Stalls the serving replicas that an engine is in without leading."""
        for lead in self._serving_leads():
            if name in lead.members and name != lead.record.id:
                lead.stalled_at = self.now

    def _set_membership(
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
            self._set_membership(
                engine, dataclasses.replace(membership, state=state)
            )


def create_fabric(
    spec: routing_model.EngineSpec,
    domains: int,
    engines: int,
    rng: random.Random,
) -> Fabric:
    """Returns the engines of one availability zone, all without a model.

    Args:
        spec: Capacity, timing and models of the engines.
        domains: Number of fabric domains in the zone.
        engines: Number of engines in each domain.
        rng: Source of the random part of engine IDs.
    """
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
