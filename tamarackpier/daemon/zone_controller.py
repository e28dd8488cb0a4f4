"""Plans an availability zone and sends the orders of its planners."""

from collections.abc import Callable, Iterable, Mapping

from tamarackpier import codes, features, logs, metrics, tasks
from tamarackpier.daemon import (
    engine_poller,
    join_questions,
    probing,
    zone_lease,
)
from tamarackpier.fleet import fleet_view, model, zone_planner
from tamarackpier.peer import roster as roster_lib
from tamarackpier.peer import zone_claims
from tamarackpier.platform import interfaces
from tamarackpier.routing import table
from tamarackpier.traffic import load, offered_load, stream_attempts
from tamarackpier.upstream import gateway

__all__ = ["ZoneController"]

_ORDER_TIMEOUT_S = 0.3  # 30 times the 10 ms that an answer takes.
_VERIFY_INTERVAL_S = 1.0  # Time between probe rounds for one suspension.
# The same for a silent replica that is kept for requests that are bound to it.
_KEPT_VERIFY_INTERVAL_S = 0.25
# Characters of the instance ID that names of replicas include.
_MAX_ID_CHARACTERS = 40


class ZoneController:
    """Runs the planners of one zone while this instance holds the zone.

    Attributes:
        zone: The availability zone.
        lease: The zone's lease, which decides whether this instance plans it.
        planners: Planners by the name of their model service.
        routing: Returns the routing in force; None before the first
            configuration.
        zone_count: Returns the number of zones with model engines.
        running: Returns the number of requests in flight at replicas, over all
            instances, by model.
        usage_at: Returns the requests in flight at a replica, over all
            instances.
        features: Parts of the product that the deployment asks for.
        offered: Returns the load that callers offer, over all instances, by
            service and model.
    """

    def __init__(
        self,
        zone: str,
        rows: interfaces.Table,
        fleet: fleet_view.FleetView,
        engine_gateway: gateway.Gateway,
        prober: probing.Prober,
        roster: roster_lib.Roster,
        routing: Callable[[], table.RoutingTable | None],
        zone_count: Callable[[], int],
        running: Callable[[], Mapping[str, int]],
        usage_at: Callable[[model.ReplicaKey], load.Usage],
        counts: metrics.Metrics,
        clock: Callable[[], float],
        asked: frozenset[features.Feature] = frozenset(),
        offered: Callable[
            [], Mapping[offered_load.Key, offered_load.Offered]
        ] = dict,
    ) -> None:
        self.zone = zone
        self.fleet = fleet
        self.gateway = engine_gateway
        self.prober = prober
        self.routing = routing
        self.zone_count = zone_count
        self.running = running
        self.usage_at = usage_at
        self.metrics = counts
        self.clock = clock
        self.features = asked
        self.offered = offered
        self.lease = zone_lease.ZoneLease(
            zone,
            rows,
            fleet,
            roster,
            counts,
            clock,
            self._on_lease_lost,
            lambda: self.next_fence,
        )
        self.engine_poller = engine_poller.EnginePoller(
            fleet, engine_gateway, counts, clock, prober.probe_after_failure
        )
        self.join_questions = join_questions.JoinQuestions(
            fleet, prober, counts, clock, self._plan_with_answers
        )
        self.planners: dict[str, zone_planner.ZonePlanner] = {}
        self._summaries: dict[str, dict[str, object]] = {}
        self._too_wide: dict[str, tuple[str, ...]] = {}
        self._tasks = tasks.Tasks()
        self._verifications: set[model.ReplicaKey] = set()
        self._verified_at: dict[model.ReplicaKey, float] = {}
        self._silent_since: dict[model.ReplicaKey, float] = {}

    @property
    def is_planning(self) -> bool:
        """Whether this instance currently plans the zone."""
        return self.lease.is_planning

    @property
    def is_overtime(self) -> bool:
        """Whether the zone is planned in overtime, without the store."""
        return self.lease.is_overtime

    @property
    def next_fence(self) -> int:
        """A fencing number above all that this instance has used."""
        planner_fences = [
            planner.next_fence for planner in self.planners.values()
        ]
        return max([self.lease.first_fence, *planner_fences])

    def tick(self, claims: zone_claims.ZoneClaims) -> None:
        """Updates the lease and, while planning, the engines and the plan."""
        self.lease.tick(claims)
        if self.is_planning:
            self._poll_engines(self.clock())
            self._verify_suspensions()
            self.plan()

    def plan(self) -> None:
        """Runs the planners and sends their orders."""
        now = self.clock()
        routing = self.routing()
        if routing is None or not self.lease.may_send_orders:
            return
        for service in routing.configuration.services.values():
            if service.engine is None:
                continue
            planner = self.planners.get(service.name)
            if planner is None:
                planner = zone_planner.ZonePlanner(
                    service.name,
                    self.zone,
                    service.engine,
                    self._short_holder(),
                    self.lease.first_fence,
                    self.zone_count(),
                    now,
                    self.features,
                )
                self.planners[service.name] = planner
            planner.reconfigure(service.engine, self.zone_count())
            planner.next_fence = max(planner.next_fence, self.lease.first_fence)
            known = set(planner.surplus_retired)
            orders = planner.tick(
                self.fleet, self.running(), now, self._offered(service.name)
            )
            self._log_too_wide(planner)
            self._log_surplus(planner, known)
            summary = planner.summary(self.fleet)
            if summary != self._summaries.get(service.name):
                self._summaries[service.name] = summary
                logs.event("zone", zone=self.zone, **summary)
            for order in orders:
                self._tasks.start(self._send_order(planner, order))
            self.join_questions.ask(planner)

    def _offered(self, service: str) -> dict[str, offered_load.Offered]:
        """Returns the load that callers offer to a service, by model."""
        return {
            name: offered
            for (asked_service, name), offered in self.offered().items()
            if asked_service == service
        }

    def _log_surplus(
        self, planner: zone_planner.ZonePlanner, known: set[model.ReplicaKey]
    ) -> None:
        """Logs retirements of surplus replicas that have begun since."""
        for key, reason in planner.surplus_retired.items():
            if key not in known:
                self.metrics.count("surplus_retired")
                logs.event(
                    "surplus replica retired",
                    zone=self.zone,
                    replica=key.replica,
                    fence=key.fence,
                    reason=reason,
                )

    def _log_too_wide(self, planner: zone_planner.ZonePlanner) -> None:
        """Logs which models can't be served, when that has changed."""
        known = self._too_wide.get(planner.service, ())
        if planner.too_wide == known:
            return
        self._too_wide[planner.service] = planner.too_wide
        code = codes.REPLICA_TOO_WIDE
        self.metrics.count(code.name)
        logs.event(
            "models fit no fabric domain",
            code=code.number,
            service=planner.service,
            zone=self.zone,
            models=planner.too_wide,
        )

    async def release(self) -> None:
        """Releases the lease so that another instance can plan at once."""
        await self.lease.release()

    def close(self) -> None:
        """Ends all orders, polls and checks."""
        self._tasks.cancel()
        self.engine_poller.close()
        self.join_questions.close()

    def _on_lease_lost(self) -> None:
        """Discards the planners, but not the fencing number they reached.

        No fencing number is ever used twice.
        """
        self.lease.first_fence = self.next_fence
        self.planners.clear()

    def _poll_engines(self, now: float) -> None:
        """Polls the zone's model engines while their rows may be stale."""
        routing = self.routing()
        if routing is None or not self.fleet.may_be_stale(now):
            self.engine_poller.reset()
            return
        awaited_ids: set[str] = set()
        for planner in self.planners.values():
            awaited_ids |= planner.awaited_engines()
        self.engine_poller.poll(self._zone_engines(routing), awaited_ids)

    def _zone_engines(
        self, routing: table.RoutingTable
    ) -> Iterable[model.EngineRecord]:
        """Yields the zone's engines of all model services."""
        for service in routing.configuration.services.values():
            if service.engine is not None:
                for engine in self.fleet.staying_engines(service.name):
                    if engine.availability_zone == self.zone:
                        yield engine

    def _short_holder(self) -> str:
        """Returns the end of this instance's ID, without the incarnation."""
        return self.lease.holder.rpartition("/")[0][-_MAX_ID_CHARACTERS:]

    def _plan_with_answers(self) -> None:
        """Plans once engines have said whether they are in a replica."""
        if self.is_planning:
            self.plan()

    def _verify_suspensions(self) -> None:
        """Probes suspended replicas, whether suspended here or by a peer."""
        now = self.clock()
        for key in set(self._verified_at) - set(self.fleet.suspended):
            del self._verified_at[key]
        for key in set(self._silent_since) - set(self.fleet.suspended):
            del self._silent_since[key]
        for key, suspension in list(self.fleet.suspended.items()):
            replica = self.fleet.replicas().get(key)
            if replica is None or key in self._verifications:
                continue
            lead = replica.members[0][1]
            planner = self.planners.get(lead.service)
            if planner is None or lead.availability_zone != self.zone:
                continue
            if planner.needs_no_check(key):
                continue
            elapsed_s = now - self._verified_at.get(key, float("-inf"))
            interval_s = _VERIFY_INTERVAL_S
            if key in self._silent_since:
                interval_s = _KEPT_VERIFY_INTERVAL_S
                if not self.usage_at(key).running:
                    interval_s = 0.0
            if elapsed_s < interval_s:
                continue
            self._verified_at[key] = now
            self._verifications.add(key)
            self._tasks.start(
                self._confirm_suspension(planner, key, suspension.reason)
            )

    async def _confirm_suspension(
        self,
        planner: zone_planner.ZonePlanner,
        key: model.ReplicaKey,
        reason: str,
    ) -> None:
        try:
            probe_result = await self.prober.probe(key, f"suspended: {reason}")
            if probe_result is None or not probe_result.must_reform:
                self._silent_since.pop(key, None)
            elif self._may_go_on(planner, key, probe_result):
                usage = self.usage_at(key)
                logs.event(
                    "silent replica kept",
                    replica=key.replica,
                    fence=key.fence,
                    running=usage.running,
                    bound=usage.bound,
                    found=probe_result.reason,
                )
            else:
                self._give_up(planner, key)
                self.plan()
        finally:
            self._verifications.discard(key)

    def _give_up(
        self, planner: zone_planner.ZonePlanner, key: model.ReplicaKey
    ) -> None:
        """Confirms a replica's failure; from then on no answer revives it."""
        planner.confirm_failed(key)
        self.prober.make_lasting(key)

    def _may_go_on(
        self,
        planner: zone_planner.ZonePlanner,
        key: model.ReplicaKey,
        probe_result: probing.ProbeResult,
    ) -> bool:
        """Returns whether a silent replica is kept, as it may go on.

        It is if it has requests that can't be sent to another replica, or if
        no other would stand sooner than its silence ends.
        """
        usage = self.usage_at(key)
        replica = self.fleet.replicas().get(key)
        if probe_result.is_lost or replica is None:
            return False
        if not usage.bound and planner.can_replace_soon(
            replica, max(1, len(probe_result.silent))
        ):
            return False
        now = self.clock()
        kept_since = self._silent_since.setdefault(key, now)
        silent_since = min(
            (
                self.fleet.silent.get(engine_id, now)
                for engine_id in probe_result.silent
            ),
            default=kept_since,
        )
        return now - silent_since < stream_attempts.MAX_KEPT_SILENCE_S

    async def _send_order(
        self, planner: zone_planner.ZonePlanner, order: model.Order
    ) -> None:
        started_at = self.clock()
        outcome = await self.gateway.order(order, _ORDER_TIMEOUT_S)
        now = self.clock()
        previous = order.engine.membership
        self.metrics.count("order", f"{order.kind.value}.{outcome.value}")
        self.metrics.record("order", now - started_at)
        logs.event(
            "order",
            kind=order.kind.value,
            engine=order.engine.id,
            replica=order.key.replica if order.key else "",
            fence=order.key.fence if order.key else 0,
            model=order.model,
            known_replica=previous.key.replica if previous else "",
            known_state=previous.state.value if previous else "",
            reason=order.reason,
            outcome=outcome.value,
            took_s=round(now - started_at, 4),
        )
        planner.record_outcome(order, outcome)
        if order.kind is model.OrderKind.LEAVE and self.is_planning:
            self.plan()
