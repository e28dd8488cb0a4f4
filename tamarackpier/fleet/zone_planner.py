"""Plans the replicas of a service in one availability zone.

A planner keeps no state that it could not derive again from the engines' rows:
its successor keeps open replicas, retires all others and continues.
The fencing number makes this safe: it rises with every replica and with every
planner, so an engine refuses orders with a lower number than it has seen.
"""

import collections
import math
from collections.abc import Mapping

from tamarackpier.fleet import demand, fleet_view, model, retirement, staging
from tamarackpier.fleet import formation as formation_lib
from tamarackpier.routing import model as routing_model

__all__ = ["ZonePlanner"]

# Free engines that a domain keeps while the load is covered.
_RESERVED_ENGINES = 2
# Time that a formation may take beyond the join and load times of its model.
_JOIN_SLACK_S = 3.0

# Refusals of an order for a reason other than the engine's present state.
_REFUSAL_OUTCOMES = (
    model.OrderOutcome.SUPERSEDED,
    model.OrderOutcome.OTHER_ENGINE,
    model.OrderOutcome.REFUSED,
)


class ZonePlanner:
    """Forms, retires and stages the replicas of a service in one zone.

    Attributes:
        service: Name of the service.
        zone: Availability zone.
        spec: Capacity and timing of the service's engines.
        holder: Short name of the lease holder; part of the replicas' names.
        first_fence: Lowest fencing number of this planner's replicas.
        next_fence: Fencing number of the next replica.
        formations: Replicas that are being formed, by key.
        retirements: Replicas that are being retired, and released members.
        staging: Weight loads of free engines.
        unconfirmed: IDs of the engines that would be ordered to join if they
            said that they are in no replica.
        demand: Estimate of the replicas that the load needs.
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
        self.first_fence = first_fence
        self.next_fence = first_fence
        self.formations: dict[model.ReplicaKey, formation_lib.Formation] = {}
        self.retirements = retirement.Retirements(spec)
        self.staging = staging.Staging(spec, max(1, planner_count), now)
        self.unconfirmed: set[str] = set()
        self.demand = demand.Demand(spec, now)
        self._replicas: Mapping[model.ReplicaKey, model.Replica] = {}
        self._free: Mapping[str, list[model.EngineRecord]] = {}
        # Whether unconfirmed engines would load weights when they join.
        self._awaits_loads = False

    def reconfigure(
        self, spec: routing_model.EngineSpec, planner_count: int
    ) -> None:
        """Applies a new specification of the engines and planner count."""
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
        """Updates the plan and returns the orders to send now.

        Args:
            fleet: View of the engines.
            running: Number of running requests by model, over all instances.
            now: Current time, in seconds on the monotonic clock.
        """
        self.demand.record(running, now)
        self.staging.refill(now)
        replicas = self._zone_replicas(fleet)
        self._replicas = replicas
        self.unconfirmed = set()
        self._awaits_loads = False
        self.retirements.prune(replicas)
        for replica in replicas.values():
            self._review(replica, fleet, now)
        orders = self.retirements.orders(fleet, now)
        for formation in list(self.formations.values()):
            orders += self._advance(formation, fleet, now)
        free = self._free_engines(fleet, now)
        self._free = free
        for domain in sorted(free):
            orders += self._form_replicas(free[domain], fleet, now)
        self.staging.prune(fleet, now)
        if not (self._awaits_loads or self._is_any_formation_loading()):
            orders += self.staging.orders(
                free,
                self._engines_in_replicas(replicas, fleet),
                self._models_by_coverage(fleet),
                self._short_models(fleet),
                now,
            )
        return orders

    def record_outcome(
        self, order: model.Order, outcome: model.OrderOutcome
    ) -> None:
        """Records the outcome of an order."""
        if order.key is None:
            if (
                outcome in _REFUSAL_OUTCOMES
                or outcome is model.OrderOutcome.NOT_NOW
            ):
                self.staging.loading.pop(order.engine.id, None)
            return
        self.retirements.record_outcome(order, outcome)
        formation = self.formations.get(order.key)
        if formation is None or order.kind is not model.OrderKind.JOIN:
            return
        if outcome is model.OrderOutcome.ACCEPTED:
            formation.joined.add(order.engine.id)
        elif outcome in _REFUSAL_OUTCOMES:
            self._abort(formation)

    def record_answer(self, report: model.EngineReport) -> None:
        """Records that an engine was asked, and has answered."""
        membership = report.membership
        if membership is not None and membership.key not in self.formations:
            self.retirements.take_back(report.id, membership.key)

    def confirm_failed(self, key: model.ReplicaKey) -> None:
        """Records that the failure of a replica has been confirmed."""
        self.retirements.confirmed_failed.add(key)

    def forming_engines(self) -> set[str]:
        """Returns the IDs of the engines that are forming a replica."""
        return {
            engine_id
            for formation in self.formations.values()
            for engine_id in formation.members
        }

    def awaited_engines(self) -> set[str]:
        """Returns the IDs of the engines whose state this planner awaits."""
        engine_ids = self.forming_engines()
        for retiring in self.retirements.active.values():
            engine_ids |= {engine.id for _, engine in retiring.replica.members}
        return engine_ids

    def needs_no_check(self, key: model.ReplicaKey) -> bool:
        """Returns whether a replica needs no further check.

        That is so once its failure is confirmed or its retirement has begun.
        """
        retirements = self.retirements
        return (
            key in retirements.confirmed_failed
            or key in retirements.active
            or key in retirements.completed
        )

    def summary(self, fleet: fleet_view.FleetView) -> dict[str, object]:
        """Returns the state of the zone after the last tick, for the log."""
        serving: collections.Counter[str] = collections.Counter()
        for key, replica in self._replicas.items():
            if replica.is_open and key not in self.retirements.active:
                serving[replica.model] += 1
        retirements = self.retirements.active.values()
        return {
            "serving": dict(serving),
            "forming": [
                formation.spec.name for formation in self.formations.values()
            ],
            "retiring": [retiring.reason for retiring in retirements],
            "free": {
                domain: [self.staging.model_of(engine) for engine in engines]
                for domain, engines in sorted(self._free.items())
                if engines
            },
            "loading": len(self.staging.loading),
            "silent": len(fleet.silent),
        }

    def _zone_replicas(
        self, fleet: fleet_view.FleetView
    ) -> dict[model.ReplicaKey, model.Replica]:
        return {
            key: replica
            for key, replica in fleet.replicas().items()
            if self._is_in_scope(replica.members[0][1])
        }

    def _is_in_scope(self, engine: model.EngineRecord) -> bool:
        """Returns whether an engine is of this planner's service and zone."""
        return (
            engine.service == self.service
            and engine.availability_zone == self.zone
        )

    def _review(
        self, replica: model.Replica, fleet: fleet_view.FleetView, now: float
    ) -> None:
        """Adopts an own replica that is ready, or retires one if need be.

        It retires no replica while the present state of a member is unknown,
        unless the failure of the replica is confirmed.
        """
        key = replica.key
        if key in self.formations:
            return
        is_ready = replica.lead_state is model.MemberState.READY
        is_abandoned = key in self.retirements.active or _are_all_released(
            self.retirements, replica
        )
        is_failed = key in self.retirements.confirmed_failed
        is_own = key.fence >= self.first_fence
        if (
            replica.is_stable
            and is_ready
            and is_own
            and not (is_abandoned or is_failed)
        ):
            self._adopt(replica, now)
            return

        if key not in self.retirements.confirmed_failed and not all(
            fleet.is_current(engine.id, now) for _, engine in replica.members
        ):
            return

        def count_spares(target: model.Replica) -> int:
            domain = target.members[0][1].domain
            return sum(
                1
                for engine in self._free_engines(fleet, now).get(domain, [])
                if target.model in engine.staged
            )

        self.retirements.review(replica, count_spares, now)

    def _adopt(self, replica: model.Replica, now: float) -> None:
        """Continues the formation of a replica that was taken for open."""
        spec = self.spec.model(replica.model)
        if spec is None:
            return
        engines = [engine for _, engine in replica.members]
        for engine in engines:
            # A released engine may have joined again by an order that it
            # carried out late.
            self.retirements.released.pop(engine.id, None)
        self.formations[replica.key] = formation_lib.Formation(
            replica.key,
            spec,
            tuple(engine.id for engine in engines),
            tuple(engine.incarnation for engine in engines),
            now,
            _JOIN_SLACK_S,
            joined={engine.id for engine in engines},
        )

    def _advance(
        self,
        formation: formation_lib.Formation,
        fleet: fleet_view.FleetView,
        now: float,
    ) -> list[model.Order]:
        """Returns the orders to send for a formation; ends it if it is over."""
        if formation.is_open(fleet):
            del self.formations[formation.key]
            return []
        orders = formation.orders(fleet, now)
        if orders is None:
            self._abort(formation)
            return []
        self.unconfirmed |= formation.unconfirmed
        return orders

    def _abort(self, formation: formation_lib.Formation) -> None:
        """Aborts the formation of a replica; its members have to leave it."""
        self.formations.pop(formation.key, None)
        self.retirements.confirmed_failed.add(formation.key)

    def _free_engines(
        self, fleet: fleet_view.FleetView, now: float
    ) -> dict[str, list[model.EngineRecord]]:
        """Returns the engines that may join a replica, by domain."""
        forming_ids = self.forming_engines()
        free = collections.defaultdict(list)
        for engine in fleet.engines.values():
            if not self._is_in_scope(engine) or not engine.domain:
                continue
            if engine.is_leaving or engine.id in forming_ids:
                continue
            if not fleet.is_current(engine.id, now):
                continue
            if engine.id in fleet.silent or engine.id in fleet.pending_removals:
                continue
            if self.retirements.is_released(engine):
                free[engine.domain].append(engine)
        return free

    def _form_replicas(
        self,
        free: list[model.EngineRecord],
        fleet: fleet_view.FleetView,
        now: float,
    ) -> list[model.Order]:
        """Starts formations from the free engines of a domain.

        The chosen engines are asked first whether they are free.

        Args:
            free: Free engines of the domain; those chosen are removed.
            fleet: View of the engines.
            now: Current time, in seconds on the monotonic clock.

        Returns:
            The orders to send for the formations.
        """
        orders: list[model.Order] = []
        while True:
            choice = self._choose(free, fleet)
            if choice is None:
                return orders
            spec, engines, load_count = choice
            for engine in engines:
                free.remove(engine)
            unconfirmed_ids = {
                engine.id
                for engine in engines
                if not fleet.has_answered_free(engine.id, -math.inf, now)
            }
            if unconfirmed_ids:
                self.unconfirmed |= unconfirmed_ids
                self._awaits_loads |= load_count > 0
                return orders
            formation = self._start_formation(spec, engines, load_count, now)
            for engine in engines:
                self.staging.loading.pop(engine.id, None)
            orders += self._advance(formation, fleet, now)

    def _start_formation(
        self,
        spec: routing_model.ModelSpec,
        engines: list[model.EngineRecord],
        load_count: int,
        now: float,
    ) -> formation_lib.Formation:
        timeout_s = _JOIN_SLACK_S + spec.warm_s
        if load_count:
            concurrent_loads = self.staging.planner_count * spec.span
            timeout_s += spec.load_s * self.staging.slowdown(concurrent_loads)
        self.staging.tokens -= load_count
        key = model.ReplicaKey(
            f"{self.zone}-{self.holder}-{self.next_fence}", self.next_fence
        )
        self.next_fence += 1
        formation = formation_lib.Formation(
            key,
            spec,
            tuple(engine.id for engine in engines),
            tuple(engine.incarnation for engine in engines),
            now,
            timeout_s,
            load_count,
        )
        self.formations[key] = formation
        return formation

    def _choose(
        self, free: list[model.EngineRecord], fleet: fleet_view.FleetView
    ) -> tuple[routing_model.ModelSpec, list[model.EngineRecord], int] | None:
        """Chooses the next replica to form in a domain.

        Engines without weights join only before the first requests, when loads
        are quick and no other formation of this zone is loading weights.

        Returns:
            The model, the engines, and the number of engines that have to load
            weights; None if no replica can or need be formed.
        """
        is_cold = (
            self.demand.is_before_first_request
            and not any(self.staging.model_of(engine) for engine in free)
            and not self._is_any_formation_loading()
        )
        for spec in self._models_by_coverage(fleet):
            engines = sorted(
                free,
                key=lambda engine: (_join_effort(engine, spec.name), engine.id),
            )[: spec.span]
            if len(engines) < spec.span:
                continue
            is_short = self._coverage(spec, fleet) < 1
            if len(free) - spec.span < _RESERVED_ENGINES and not is_short:
                continue
            load_count = sum(
                1 for engine in engines if spec.name not in engine.staged
            )
            if not load_count or is_cold:
                return spec, engines, load_count
        return None

    def _coverage(
        self, spec: routing_model.ModelSpec, fleet: fleet_view.FleetView
    ) -> float:
        """Returns the ratio of a model's replicas to those its load needs."""
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
            for formation in self.formations.values()
            if formation.spec.name == spec.name
        )
        return self.demand.coverage(spec, count)

    def _models_by_coverage(
        self, fleet: fleet_view.FleetView
    ) -> list[routing_model.ModelSpec]:
        """Returns the models in order of coverage, lowest first."""
        return sorted(
            self.spec.models,
            key=lambda spec: (self._coverage(spec, fleet), -spec.share),
        )

    def _short_models(self, fleet: fleet_view.FleetView) -> set[str]:
        """Returns the names of the models with too few replicas."""
        return {
            spec.name
            for spec in self.spec.models
            if self._coverage(spec, fleet) < 1
        }

    def _engines_in_replicas(
        self,
        replicas: Mapping[model.ReplicaKey, model.Replica],
        fleet: fleet_view.FleetView,
    ) -> dict[str, dict[str, int]]:
        """Returns the number of engines in replicas, by domain and model."""
        counts: dict[str, collections.Counter[str]] = collections.defaultdict(
            collections.Counter
        )
        for replica in replicas.values():
            domain = replica.members[0][1].domain
            counts[domain][replica.model] += len(replica.members)
        for formation in self.formations.values():
            lead = fleet.engines.get(formation.members[0])
            if lead is not None:
                counts[lead.domain][formation.spec.name] += formation.spec.span
        return {domain: dict(by_model) for domain, by_model in counts.items()}

    def _is_any_formation_loading(self) -> bool:
        """Returns whether members of a formation have to load weights."""
        return any(
            formation.load_count for formation in self.formations.values()
        )


def _are_all_released(
    retirements: retirement.Retirements, replica: model.Replica
) -> bool:
    """Returns whether all known members of a replica have been released."""
    return all(retirements.is_released(engine) for _, engine in replica.members)


def _join_effort(engine: model.EngineRecord, name: str) -> int:
    """Returns the effort for an engine to join a replica; 0 is the least.

    The effort is 0 if the model is in use and its weights are on the host, 1 if
    only the latter is so, 2 if no weights are on the host, and 3 if only
    weights of other models are.
    """
    if engine.model == name and name in engine.staged:
        return 0
    if name in engine.staged:
        return 1
    return 2 if not engine.staged else 3
