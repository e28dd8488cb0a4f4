"""Forms, retires and stages the replicas of one availability zone.

A planner keeps nothing that it could not derive again from the engines' rows:
a successor adopts whole replicas, takes back incomplete ones and goes on. What
makes that safe is the fencing number: it rises with every replica and with
every planner, so an engine refuses whatever is older than what it has seen.
"""

import collections
from collections.abc import Mapping

from tamarackpier.fleet import demand, fleet_view, model, retirement, staging
from tamarackpier.fleet import formation as formation_lib
from tamarackpier.routing import model as routing_model

__all__ = ["ZonePlanner"]

_RESERVE = 2  # Free engines that a domain keeps while the load is covered.
_JOIN_SLACK_S = 3.0  # What joining may take beyond the model's own time.

_REFUSED = (
    model.OrderOutcome.SUPERSEDED,
    model.OrderOutcome.OTHER_ENGINE,
    model.OrderOutcome.REFUSED,
)


class ZonePlanner:
    """Decides on the replicas of one service in one availability zone.

    Attributes:
        service: The service.
        zone: The availability zone.
        spec: How its engines work.
        next_fence: The fencing number of the next replica.
        forming: Replicas on their way, by key.
        retirements: Replicas that are taken back.
        staging: Loads of weights.
        demand: What the load needs.
    """

    def __init__(
        self,
        service: str,
        zone: str,
        spec: routing_model.EngineSpec,
        holder: str,
        first_fence: int,
        planner_count: int,
        now: float,
    ) -> None:
        self.service = service
        self.zone = zone
        self.spec = spec
        self.holder = holder
        self.next_fence = first_fence
        self.formations: dict[model.ReplicaKey, formation_lib.Formation] = {}
        self.retirements = retirement.Retirements(spec)
        self.staging = staging.Staging(spec, max(1, planner_count), now)
        self.demand = demand.Demand(spec, now)
        self._mine: Mapping[model.ReplicaKey, model.Replica] = {}
        self._spare: Mapping[str, list[model.EngineRecord]] = {}

    def reconfigure(
        self, spec: routing_model.EngineSpec, planner_count: int
    ) -> None:
        """Takes a changed configuration, or another number of planners."""
        self.spec = spec
        self.retirements.spec = spec
        self.demand.spec = spec
        self.staging.spec = spec
        self.staging.planner_count = max(1, planner_count)

    def tick(
        self,
        fleet: fleet_view.FleetView,
        running: Mapping[str, int],
        now: float,
    ) -> list[model.Order]:
        """Returns the orders to send now.

        Args:
            fleet: What is known of engines.
            running: Requests that run, by model, over all instances.
            now: The monotonic clock.
        """
        self.demand.record(running, now)
        self.staging.refill(now)
        mine = self._own_replicas(fleet)
        self._mine = mine
        self.retirements.prune(mine)
        for replica in mine.values():
            self._review(replica, fleet, now)
        orders = self.retirements.orders(fleet, now)
        for forming in list(self.formations.values()):
            orders += self._advance(forming, fleet, now)
        free = self._free(fleet, now)
        self._spare = free
        for domain in sorted(free):
            orders += self._form(free[domain], fleet, now)
        self.staging.prune(fleet, now)
        if not self._loads_in_joins():
            orders += self.staging.orders(
                free, self._exposed(mine, fleet), self._wanted(fleet), now
            )
        return orders

    def record_outcome(
        self, order: model.Order, outcome: model.OrderOutcome
    ) -> None:
        """Takes what became of an order."""
        if order.key is None:
            if outcome in _REFUSED or outcome is model.OrderOutcome.NOT_NOW:
                self.staging.loading.pop(order.engine.id, None)
            return
        self.retirements.record_outcome(order, outcome)
        forming = self.formations.get(order.key)
        if forming is None or order.kind is not model.OrderKind.JOIN:
            return
        if outcome is model.OrderOutcome.ACCEPTED:
            forming.joined.add(order.engine.id)
        elif outcome in _REFUSED:
            self._give_up(forming)

    def confirm_failed(self, key: model.ReplicaKey) -> None:
        """Notes that a replica was found not to be whole."""
        self.retirements.confirmed_failed.add(key)

    def awaited_engines(self) -> set[str]:
        """Returns the engines whose state this planner waits for."""
        found = {
            name for each in self.formations.values() for name in each.members
        }
        for retiring in self.retirements.active.values():
            found |= {each.id for _, each in retiring.replica.members}
        return found

    def is_decided(self, key: model.ReplicaKey) -> bool:
        """Returns whether nothing more need be found out of a replica."""
        found = self.retirements
        return (
            key in found.confirmed_failed
            or key in found.active
            or key in found.completed
        )

    def summary(self, fleet: fleet_view.FleetView) -> dict[str, object]:
        """Returns what the zone has after the last tick, for the log."""
        serving: collections.Counter[str] = collections.Counter()
        for key, replica in self._mine.items():
            if replica.is_open and key not in self.retirements.active:
                serving[replica.model] += 1
        retiring = self.retirements.active.values()
        return {
            "serving": dict(serving),
            "forming": [each.spec.name for each in self.formations.values()],
            "retiring": [each.reason for each in retiring],
            "free": {
                domain: [self.staging.model_of(each) for each in own]
                for domain, own in sorted(self._spare.items())
                if own
            },
            "loading": len(self.staging.loading),
            "silent": len(fleet.silent),
        }

    def _own_replicas(
        self, fleet: fleet_view.FleetView
    ) -> dict[model.ReplicaKey, model.Replica]:
        return {
            key: replica
            for key, replica in fleet.replicas().items()
            if self._is_own(replica.members[0][1])
        }

    def _is_own(self, engine: model.EngineRecord) -> bool:
        return (
            engine.service == self.service
            and engine.availability_zone == self.zone
        )

    def _review(
        self, replica: model.Replica, fleet: fleet_view.FleetView, now: float
    ) -> None:
        """Adopts a whole replica, or has it taken back."""
        key = replica.key
        if key in self.formations:
            return
        is_ready = replica.lead_state is model.MemberState.READY
        is_left = key in self.retirements.active or _are_all_released(
            self.retirements, replica
        )
        is_doubted = key in self.retirements.confirmed_failed
        if replica.is_stable and is_ready and not (is_left or is_doubted):
            self._adopt(replica, now)
            return

        if key not in self.retirements.confirmed_failed and not all(
            fleet.is_current(each.id, now) for _, each in replica.members
        ):
            return

        def spares(found: model.Replica) -> int:
            domain = found.members[0][1].domain
            return sum(
                1
                for each in self._free(fleet, now).get(domain, [])
                if found.model in each.staged
            )

        self.retirements.review(replica, spares, now)

    def _adopt(self, replica: model.Replica, now: float) -> None:
        spec = self.spec.model(replica.model)
        if spec is None:
            return
        engines = [each for _, each in replica.members]
        for each in engines:
            # One that had left joined again by an order carried out late.
            self.retirements.released.pop(each.id, None)
        self.formations[replica.key] = formation_lib.Formation(
            replica.key,
            spec,
            tuple(each.id for each in engines),
            tuple(each.incarnation for each in engines),
            now,
            _JOIN_SLACK_S,
            may_be_open=True,
            joined={each.id for each in engines},
        )

    def _advance(
        self,
        forming: formation_lib.Formation,
        fleet: fleet_view.FleetView,
        now: float,
    ) -> list[model.Order]:
        if forming.is_open(fleet):
            del self.formations[forming.key]
            return []
        orders = forming.orders(fleet, now)
        if orders is None:
            self._give_up(forming)
            return []
        return orders

    def _give_up(self, forming: formation_lib.Formation) -> None:
        """Ends an attempt to form a replica.

        Its members are free at once if it was never told to open; otherwise
        the lead has to leave first, as with any replica.
        """
        self.formations.pop(forming.key, None)
        was_told = forming.sent_orders.was_sent(
            forming.members[0], model.OrderKind.OPEN
        )
        if was_told or forming.may_be_open:
            self.retirements.confirmed_failed.add(forming.key)
            return
        for engine_id in forming.members:
            self.retirements.released[engine_id] = forming.key

    def _free(
        self, fleet: fleet_view.FleetView, now: float
    ) -> dict[str, list[model.EngineRecord]]:
        """Returns the engines of each domain that no replica has."""
        busy = {
            name for each in self.formations.values() for name in each.members
        }
        free = collections.defaultdict(list)
        for engine in fleet.engines.values():
            if not self._is_own(engine) or not engine.domain:
                continue
            if engine.is_leaving or engine.id in busy:
                continue
            if not fleet.is_current(engine.id, now):
                continue
            if engine.id in fleet.silent or engine.id in fleet.pending_removals:
                continue
            if self.retirements.is_released(engine):
                free[engine.domain].append(engine)
        return free

    def _form(
        self,
        free: list[model.EngineRecord],
        fleet: fleet_view.FleetView,
        now: float,
    ) -> list[model.Order]:
        orders: list[model.Order] = []
        while True:
            chosen = self._choose(free, fleet)
            if chosen is None:
                return orders
            spec, engines, loads = chosen
            forming = self._begin(spec, engines, loads, now)
            for each in engines:
                free.remove(each)
                self.staging.loading.pop(each.id, None)
            orders += self._advance(forming, fleet, now)

    def _begin(
        self,
        spec: routing_model.ModelSpec,
        engines: list[model.EngineRecord],
        loads: int,
        now: float,
    ) -> formation_lib.Formation:
        limit_s = _JOIN_SLACK_S + spec.warm_s
        if loads:
            others = self.staging.planner_count * spec.span
            limit_s += spec.load_s * self.staging.slowdown(others)
        self.staging.tokens -= loads
        key = model.ReplicaKey(
            f"{self.zone}-{self.holder}-{self.next_fence}", self.next_fence
        )
        self.next_fence += 1
        forming = formation_lib.Formation(
            key,
            spec,
            tuple(each.id for each in engines),
            tuple(each.incarnation for each in engines),
            now,
            limit_s,
            loads,
        )
        self.formations[key] = forming
        return forming

    def _choose(
        self, free: list[model.EngineRecord], fleet: fleet_view.FleetView
    ) -> tuple[routing_model.ModelSpec, list[model.EngineRecord], int] | None:
        """Returns the model to form next, its engines, and their loads.

        Engines without weights join only before the first requests, when
        loads are quick and no other of this zone's joins is loading.
        """
        is_cold = (
            self.demand.is_idle
            and not any(self.staging.model_of(each) for each in free)
            and not self._loads_in_joins()
        )
        for spec in self._wanted(fleet):
            ranked = sorted(
                free, key=lambda each: (_readiness(each, spec.name), each.id)
            )[: spec.span]
            if len(ranked) < spec.span:
                continue
            is_short = self._coverage(spec, fleet) < 1
            if len(free) - spec.span < _RESERVE and not is_short:
                continue
            loads = sum(1 for each in ranked if spec.name not in each.staged)
            if not loads or is_cold:
                return spec, ranked, loads
        return None

    def _coverage(
        self, spec: routing_model.ModelSpec, fleet: fleet_view.FleetView
    ) -> float:
        """Returns a model's replicas over those that its load needs."""
        count = sum(
            1
            for key, replica in fleet.replicas().items()
            if replica.model == spec.name
            and replica.is_stable
            and key not in self.retirements.active
            and key not in self.formations
            and key not in fleet.suspended
        )
        count += sum(
            1
            for each in self.formations.values()
            if each.spec.name == spec.name
        )
        return self.demand.coverage(spec, count)

    def _wanted(
        self, fleet: fleet_view.FleetView
    ) -> list[routing_model.ModelSpec]:
        """Returns the models, the one that lacks most first."""
        return sorted(
            self.spec.models,
            key=lambda each: (self._coverage(each, fleet), -each.share),
        )

    def _exposed(
        self,
        mine: Mapping[model.ReplicaKey, model.Replica],
        fleet: fleet_view.FleetView,
    ) -> dict[str, dict[str, int]]:
        """Returns the engines in replicas, by domain and model."""
        found: dict[str, collections.Counter[str]] = collections.defaultdict(
            collections.Counter
        )
        for replica in mine.values():
            domain = replica.members[0][1].domain
            found[domain][replica.model] += len(replica.members)
        for forming in self.formations.values():
            lead = fleet.engines.get(forming.members[0])
            if lead is not None:
                found[lead.domain][forming.spec.name] += forming.spec.span
        return {domain: dict(counts) for domain, counts in found.items()}

    def _loads_in_joins(self) -> bool:
        return any(each.load_count for each in self.formations.values())


def _are_all_released(
    retirements: retirement.Retirements, replica: model.Replica
) -> bool:
    """Returns whether all members that rows name have been freed."""
    return all(retirements.is_released(each) for _, each in replica.members)


def _readiness(engine: model.EngineRecord, name: str) -> int:
    """Ranks an engine by how soon it can join a replica of a model."""
    if engine.model == name and name in engine.staged:
        return 0
    if name in engine.staged:
        return 1
    return 2 if not engine.staged else 3
