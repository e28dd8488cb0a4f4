"""Plans the replicas of a service in one availability zone.

A planner keeps no state that it could not derive again from the engines' rows:
its successor keeps open replicas, retires all others and continues.
The fencing number makes this safe: it rises with every replica and with every
planner, so an engine refuses orders with a lower number than it has seen.
"""

import binascii
import collections
import math
from collections.abc import Mapping

from tamarackpier import features as features_lib
from tamarackpier.fleet import (
    demand,
    deployment_start,
    engine_choice,
    fleet_view,
    model,
    packing,
    rebalancing,
    retirement,
    shared_plan,
    staging,
)
from tamarackpier.fleet import formation as formation_lib
from tamarackpier.routing import model as routing_model

__all__ = ["ZonePlanner"]

# Time that a formation may take beyond the join time of its model.
_JOIN_SLACK_S = 3.0
# Age from which an engine's answer that it is in no replica doesn't let it be
# chosen any more. The engines of a wide replica don't all answer at the same
# time; if some answers are too old for an order to join, all are asked again.
_CHOICE_FRESH_S = 1.5

# Time for which a model must be short, without engines that it could use,
# before a replica of another is retired for it.
_SHORT_SETTLE_S = 5.0
# Upper limit of the share of engines that count as lost while a load runs. With
# a higher one, no replica of several engines would be worth its loads.
_MAX_LOST_SHARE = 0.3
_NOTHING_OFFERED: Mapping[str, demand.OfferedLoad] = {}

# Longest time to join of a replacement for which requests of a silent replica
# can wait. Callers abandon a stream after 2 s of silence at the earliest.
_MAX_AWAITED_JOIN_S = 1.7

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
        offered_demand: The same, if it goes by the offered load; else None.
        surplus_retired: Reason of each retirement of a surplus replica that
            rows still name.
        too_wide: Names of the models whose replicas fit into no domain; empty
            while engines still appear.
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
        features: frozenset[features_lib.Feature] = frozenset(),
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
        self.offered_demand: demand.OfferedDemand | None = None
        if features_lib.Feature.OFFERED_LOAD in features:
            self.offered_demand = demand.OfferedDemand(spec, now)
            self.demand = self.offered_demand
        self.surplus_retired: dict[model.ReplicaKey, str] = {}
        self.too_wide: tuple[str, ...] = ()
        self._replicas: Mapping[model.ReplicaKey, model.Replica] = {}
        self._free: Mapping[str, list[model.EngineRecord]] = {}
        self._start = deployment_start.DeploymentStart(zone, now)
        # Time since which each model is short without any placement.
        self._short_since: dict[str, float] = {}

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
        offered: Mapping[str, demand.OfferedLoad] = _NOTHING_OFFERED,
    ) -> list[model.Order]:
        """Updates the plan and returns the orders to send now.

        There are none while the zone is evacuated: its replicas stay as they
        are, for the return.

        Args:
            fleet: View of the engines.
            running: Number of running requests by model, over all instances.
            now: Current time, in seconds on the monotonic clock.
            offered: Load that callers offer by model, over all instances.
        """
        if self.offered_demand is not None:
            self.offered_demand.record_offered(offered, running, now)
        else:
            self.demand.record(running, now)
        self.staging.refill(now)
        replicas = self._zone_replicas(fleet)
        self._replicas = replicas
        self.unconfirmed = set()
        self.retirements.prune(replicas)
        if self.zone in fleet.evacuations.zones():
            self._free = {}
            return []
        for replica in replicas.values():
            self._review(replica, fleet, now)
        orders = self.retirements.orders(fleet, now)
        for formation in list(self.formations.values()):
            orders += self._advance(formation, fleet, now)
        free = self._free_engines(fleet, now)
        self._free = {domain: list(engines) for domain, engines in free.items()}
        self.staging.prune(fleet, now)
        domains = self._domains(free, fleet, now)
        self._start.update(
            domains, self.demand.is_before_first_request, self.spec.models, now
        )
        if domains and not self._start.awaits_engines(now):
            self.too_wide = packing.too_wide(domains, self.spec.models)
        if self.offered_demand is not None:
            return orders + self._plan_by_worth(domains, free, fleet, now)
        needs = self._needs(self._replica_counts(fleet), domains)
        placements, packed = packing.place(domains, needs)
        loads: list[staging.PlannedLoad] = []
        for placement in placements:
            if placement.zone == self.zone:
                orders += self._fill(
                    placement, free[placement.domain], loads, fleet, now
                )
        for domain in packed:
            if domain.zone == self.zone:
                loads += engine_choice.spare_loads(
                    domain, free.get(domain.name, ()), needs, self.staging
                )
        self.staging.active_count = len(
            {self.zone}
            | {placement.zone for placement in placements if placement.loads}
            | {domain.zone for domain in packed if domain.blank}
        )
        if not self._start.awaits_engines(now):
            orders += self.staging.orders(loads, self._start.is_starting, now)
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

    def can_replace_soon(
        self, replica: model.Replica, silent_count: int
    ) -> bool:
        """Returns whether a replica could be formed anew for waiting requests.

        Args:
            replica: The replica.
            silent_count: Number of its members that need a substitute.
        """
        spec = self.spec.model(replica.model)
        if spec is None or spec.warm_s > _MAX_AWAITED_JOIN_S:
            return False
        spares = self._free.get(replica.members[0][1].domain, [])
        holders = [
            engine for engine in spares if replica.model in engine.staged
        ]
        return len(holders) >= silent_count

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

    def _plan_by_worth(
        self,
        domains: list[packing.Domain],
        free: Mapping[str, list[model.EngineRecord]],
        fleet: fleet_view.FleetView,
        now: float,
    ) -> list[model.Order]:
        """Forms replicas in this zone, and loads what the shared plan says.

        Args:
            domains: Domains of all zones, as this planner knows them.
            free: Engines of this zone that may join a replica, by domain;
                those of placements are removed.
            fleet: View of the engines.
            now: Current time, in seconds on the monotonic clock.

        Returns:
            The orders to send now.
        """
        own_ids = {engine.id for engines in free.values() for engine in engines}
        needs = self._needs(self._replica_counts(fleet), domains)
        placements, _ = packing.place(domains, needs, "worth")
        orders = []
        for placement in placements:
            if placement.zone == self.zone:
                orders += self._fill(
                    placement, free[placement.domain], [], fleet, now
                )
        view = shared_plan.create_view(fleet, self.service, self.staging)
        # Expected engines are added to the planner's own domains only.
        if self._start.is_starting:
            for own in domains:
                for domain in view.domains:
                    if (own.zone, own.name) == (domain.zone, domain.name):
                        domain.expected = own.expected
        shared_needs = self._needs(view.counts, view.domains)
        plan = shared_plan.create_plan(view, shared_needs, self.staging)
        self._rebalance(view, shared_needs, plan, fleet, now)
        if self._start.awaits_engines(now):
            return orders
        return orders + self.staging.ranked_orders(
            self.staging.with_urgent_first(plan.urgent, plan.others),
            self.zone,
            own_ids,
            self._start.is_starting,
            now,
        )

    def _rebalance(
        self,
        view: shared_plan.View,
        needs: list[packing.Need],
        plan: shared_plan.Plan,
        fleet: fleet_view.FleetView,
        now: float,
    ) -> None:
        """Retires a surplus replica of this zone if a short model needs it."""
        for key in set(self.surplus_retired) - set(self._replicas):
            del self.surplus_retired[key]
        short = rebalancing.short_models(needs, plan.placements)
        self._short_since = {
            need.spec.name: self._short_since.get(need.spec.name, now)
            for need in short
        }
        if (
            self.demand.is_before_first_request
            or self._start.is_starting
            or fleet.may_be_stale(now)
        ):
            self._short_since.clear()
        settled = [
            need
            for need in short
            if now - self._short_since.get(need.spec.name, now)
            >= _SHORT_SETTLE_S
        ]
        decision = rebalancing.decide(
            settled,
            {need.spec.name: need for need in needs},
            plan.packed,
            [
                candidate
                for candidate in view.candidates
                if candidate.key not in self.retirements.active
            ],
            max(view.closing_count, len(self.surplus_retired)),
        )
        if decision is None or decision.candidate.zone != self.zone:
            return
        key = decision.candidate.key
        if key not in self._replicas or self.needs_no_check(key):
            return
        self.retirements.retire(self._replicas[key], decision.reason, now)
        self.surplus_retired[key] = decision.reason
        self._short_since.clear()

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

    def _domains(
        self,
        free: Mapping[str, list[model.EngineRecord]],
        fleet: fleet_view.FleetView,
        now: float,
    ) -> list[packing.Domain]:
        """Returns the domains of the service in all zones not evacuated.

        Members of a retiring replica count as free engines: they leave it one
        by one, and the first ones are not to load other weights meanwhile.

        Args:
            free: Engines of this zone that may join a replica, by domain.
            fleet: View of the engines.
            now: Current time, in seconds on the monotonic clock.
        """
        forming = {
            engine_id: formation.spec.name
            for formation in self.formations.values()
            for engine_id in formation.members
        }
        free_ids = {
            engine.id for engines in free.values() for engine in engines
        }
        failed = self._failed_elsewhere(fleet)
        domains: dict[tuple[str, str], packing.Domain] = {}
        for engine in fleet.engines.values():
            if engine.service != self.service or not engine.domain:
                continue
            if engine.is_leaving or engine.id in fleet.silent:
                continue
            if fleet.is_evacuated(engine):
                continue
            key = (engine.availability_zone, engine.domain)
            domain = domains.get(key)
            if domain is None:
                domain = packing.Domain(engine.domain, engine.availability_zone)
                domains[key] = domain
            is_own = engine.availability_zone == self.zone
            membership = engine.membership
            if engine.id in forming:
                domain.in_replicas[forming[engine.id]] += 1
            elif (
                engine.id in free_ids
                or (not is_own and membership is None)
                or (
                    membership is not None
                    and (
                        self.needs_no_check(membership.key)
                        or membership.key in failed
                    )
                )
            ):
                name = self.staging.model_of(engine)
                if name:
                    domain.holders[name] += 1
                else:
                    domain.blank += 1
            elif membership is not None:
                domain.in_replicas[engine.model] += 1
        return list(domains.values())

    def _failed_elsewhere(
        self, fleet: fleet_view.FleetView
    ) -> set[model.ReplicaKey]:
        """Returns replicas of other zones that can't serve any more.

        Only with a plan for all zones, which has to count their members as the
        planner of their zone does.
        """
        if self.offered_demand is None:
            return set()
        return {
            key
            for key, replica in fleet.replicas().items()
            if replica.members[0][1].availability_zone != self.zone
            and (
                not replica.is_complete
                or any(
                    engine.id in fleet.silent for _, engine in replica.members
                )
            )
        }

    def _needs(
        self,
        counts: Mapping[str, int],
        domains: list[packing.Domain],
    ) -> list[packing.Need]:
        """Returns what each model has and needs.

        Args:
            counts: Number of replicas by model.
            domains: Domains of all zones.
        """
        shares = self.demand.engine_shares()
        return [
            packing.Need(
                spec,
                shares[spec.name],
                self.demand.needed(spec),
                counts.get(spec.name, 0),
                *self._offered_terms(spec, domains),
            )
            for spec in self.spec.models
        ]

    def _offered_terms(
        self, spec: routing_model.ModelSpec, domains: list[packing.Domain]
    ) -> tuple[float, int, float, int, float]:
        """Returns the part of a model's need that the offered load decides."""
        if self.offered_demand is None:
            return 0.0, 1, 1.0, 1, 0.0
        return (
            self.offered_demand.peaks.get(spec.name, 0.0),
            max(1, self.spec.slots),
            self.offered_demand.service_s(spec),
            max(1, self.spec.loads_at_once),
            self._lost_share(domains),
        )

    def _lost_share(self, domains: list[packing.Domain]) -> float:
        """Returns the share of the engines that are lost while a load runs.

        Lost engines are replaced by blank ones, so it is the share of engines
        that are blank or load weights, wherever a replica has room.
        """
        if self._start.is_starting:
            return _MAX_LOST_SHARE
        least = min((spec.span for spec in self.spec.models), default=1)
        wide = [domain for domain in domains if domain.size >= least]
        size = sum(domain.size for domain in wide)
        blank = sum(domain.blank for domain in wide)
        loading = len(self.staging.loading) + len(self.staging.assumed)
        return min(_MAX_LOST_SHARE, (blank + loading) / max(1, size))

    def _replica_counts(
        self, fleet: fleet_view.FleetView
    ) -> collections.Counter[str]:
        """Returns the number of replicas of each model in all zones.

        Includes those that this or another planner forms, but not suspended or
        retiring ones, and none in evacuated zones.
        """
        counts = collections.Counter(
            formation.spec.name for formation in self.formations.values()
        )
        for key, replica in fleet.replicas().items():
            lead = replica.members[0][1]
            if lead.service != self.service or key in self.formations:
                continue
            if fleet.is_evacuated(lead):
                continue
            if self.needs_no_check(key) or key in fleet.suspended:
                continue
            is_forming_elsewhere = (
                lead.availability_zone != self.zone
                and replica.is_complete
                and replica.lead_state is model.MemberState.JOINING
            )
            if self.offered_demand is not None and (
                replica.lead_state is model.MemberState.CLOSING
                or any(
                    engine.id in fleet.silent for _, engine in replica.members
                )
            ):
                continue
            if replica.is_stable or is_forming_elsewhere:
                counts[replica.model] += 1
        return counts

    def _fill(
        self,
        placement: packing.Placement,
        free: list[model.EngineRecord],
        loads: list[staging.PlannedLoad],
        fleet: fleet_view.FleetView,
        now: float,
    ) -> list[model.Order]:
        """Starts the formation of a placement, or plans the loads for it.

        The chosen engines are asked first whether they are free.

        Args:
            placement: A placement in a domain of this zone.
            free: Free engines of the domain; those chosen are removed.
            loads: Loads that are planned; those of the placement are added.
            fleet: View of the engines.
            now: Current time, in seconds on the monotonic clock.

        Returns:
            The orders to send for the formation.
        """
        spec = self.spec.model(placement.model)
        if spec is None:
            return []
        engines = engine_choice.choose(placement, free, self.staging)
        for engine in engines:
            free.remove(engine)
        missing = [
            engine
            for engine in engines
            if self.staging.model_of(engine) != spec.name
        ]
        loads += [(engine, spec.name) for engine in missing]
        is_staged = all(
            spec.name in engine.staged and engine.id not in self.staging.loading
            for engine in engines
        )
        if len(engines) < spec.span or not is_staged:
            return []
        if not all(
            fleet.has_answered_free(engine.id, -math.inf, now, _CHOICE_FRESH_S)
            for engine in engines
        ):
            # All are asked, so that no answer is much older than the others.
            self.unconfirmed |= {engine.id for engine in engines}
            return []
        are_fresh = all(
            fleet.has_answered_free(engine.id, -math.inf, now)
            for engine in engines
        )
        formation = self._start_formation(
            spec, engines, -math.inf if are_fresh else now, now
        )
        return self._advance(formation, fleet, now)

    def _start_formation(
        self,
        spec: routing_model.ModelSpec,
        engines: list[model.EngineRecord],
        asked_since: float,
        now: float,
    ) -> formation_lib.Formation:
        key = self._next_key()
        self.next_fence += 1
        formation = formation_lib.Formation(
            key,
            spec,
            tuple(engine.id for engine in engines),
            tuple(engine.incarnation for engine in engines),
            now,
            _JOIN_SLACK_S + spec.warm_s,
            asked_since,
        )
        self.formations[key] = formation
        return formation

    def _next_key(self) -> model.ReplicaKey:
        """Returns the key of the next replica.

        The planners of several services in a zone use the same numbers.
        """
        service_hash = binascii.crc32(self.service.encode())
        return model.ReplicaKey(
            f"{self.zone}-{service_hash:08x}-{self.holder}-{self.next_fence}",
            self.next_fence,
        )


def _are_all_released(
    retirements: retirement.Retirements, replica: model.Replica
) -> bool:
    """Returns whether all known members of a replica have been released."""
    return all(retirements.is_released(engine) for _, engine in replica.members)
