"""Plans availability zones and carries out what their planners decide."""

from collections.abc import Callable, Iterable, Mapping

from tamarackpier import logs, metrics, tasks
from tamarackpier.daemon import engine_poller, probing, zone_lease
from tamarackpier.fleet import beliefs, form, model
from tamarackpier.peer import roster as roster_lib
from tamarackpier.peer import zone_claims
from tamarackpier.platform import interfaces
from tamarackpier.routing import table
from tamarackpier.upstream import gateway

__all__ = ["ZoneController"]

_ORDER_S = 0.3  # An order is answered within 10 ms; 35 times that.
_VERIFY_EVERY_S = 1.0  # Between rounds of questions on one suspension.
_MOST_NAME = 40


class ZoneController:
    """The planners of one zone, while this instance plans it.

    Attributes:
        zone: The availability zone.
        lease: Says whether this instance plans the zone.
        planners: A planner for each model service.
    """

    def __init__(
        self,
        zone: str,
        rows: interfaces.Table,
        fleet: beliefs.Fleet,
        engines: gateway.Gateway,
        prober: probing.Prober,
        roster: roster_lib.Roster,
        routing: Callable[[], table.Routing | None],
        zone_count: Callable[[], int],
        running: Callable[[], Mapping[str, int]],
        counts: metrics.Metrics,
        clock: Callable[[], float],
    ) -> None:
        self.zone = zone
        self.fleet = fleet
        self.gateway = engines
        self.prober = prober
        self.routing = routing
        self.zone_count = zone_count
        self.running = running
        self.metrics = counts
        self.clock = clock
        self.lease = zone_lease.ZoneLease(
            zone,
            rows,
            fleet,
            roster,
            counts,
            clock,
            self._forget,
            lambda: self.next_fence,
        )
        self.engine_poller = engine_poller.EnginePoller(
            fleet, engines, counts, clock, prober.attempt_failed
        )
        self.planners: dict[str, form.ZonePlanner] = {}
        self._summaries: dict[str, dict[str, object]] = {}
        self._tasks = tasks.Tasks()
        self._verifying: set[model.Key] = set()
        self._verified_at: dict[model.Key, float] = {}

    @property
    def is_planning(self) -> bool:
        """Whether this instance plans the zone now."""
        return self.lease.is_held

    @property
    def is_overtime(self) -> bool:
        """Whether it does so without the store."""
        return self.lease.is_overtime

    @property
    def next_fence(self) -> int:
        """A fencing number above all that were used here."""
        used = [each.next_fence for each in self.planners.values()]
        return max([self.lease.first_fence, *used])

    def tick(self, claims: zone_claims.ZoneClaims) -> None:
        """Does what is due."""
        self.lease.tick(claims)
        if self.is_planning:
            self._observe(self.clock())
            self._verify()
            self.plan()

    def plan(self) -> None:
        """Lets the planners decide and sends their orders."""
        now = self.clock()
        routing = self.routing()
        if routing is None or not self.lease.may_send_orders:
            return
        for service in routing.configuration.services.values():
            if service.engine is None:
                continue
            planner = self.planners.get(service.name)
            if planner is None:
                planner = form.ZonePlanner(
                    service.name,
                    self.zone,
                    service.engine,
                    self._short_holder(),
                    self.lease.first_fence,
                    self.zone_count(),
                    now,
                )
                self.planners[service.name] = planner
            planner.use(service.engine, self.zone_count())
            planner.next_fence = max(planner.next_fence, self.lease.first_fence)
            orders = planner.tick(self.fleet, self.running(), now)
            summary = planner.summary(self.fleet)
            if summary != self._summaries.get(service.name):
                self._summaries[service.name] = summary
                logs.event("zone", zone=self.zone, **summary)
            for order in orders:
                self._tasks.start(self._carry_out(planner, order))

    async def release(self) -> None:
        """Lets another instance plan the zone at once."""
        await self.lease.release()

    def _forget(self) -> None:
        """Ends planning; no fencing number is ever used twice."""
        self.lease.first_fence = self.next_fence
        self.planners.clear()

    def _observe(self, now: float) -> None:
        """Asks the zone's model engines, while rows are doubtful."""
        routing = self.routing()
        if routing is None or not self.fleet.is_doubtful(now):
            self.engine_poller.reset()
            return
        busy: set[str] = set()
        for planner in self.planners.values():
            busy |= planner.busy()
        self.engine_poller.poll(self._own_engines(routing), busy)

    def _own_engines(
        self, routing: table.Routing
    ) -> Iterable[model.EngineRecord]:
        for service in routing.configuration.services.values():
            if service.engine is not None:
                for engine in self.fleet.of_service(service.name):
                    if engine.availability_zone == self.zone:
                        yield engine

    def _short_holder(self) -> str:
        return self.lease.holder.rpartition("/")[0][-_MOST_NAME:]

    def _verify(self) -> None:
        """Asks about replicas that were suspended, here or by a peer."""
        now = self.clock()
        for key in set(self._verified_at) - set(self.fleet.suspended):
            del self._verified_at[key]
        for key, suspension in self.fleet.suspended.items():
            replica = self.fleet.replicas().get(key)
            if replica is None or key in self._verifying:
                continue
            first = replica.members[0][1]
            planner = self.planners.get(first.service)
            if planner is None or first.availability_zone != self.zone:
                continue
            if planner.is_settled(key):
                continue
            since = now - self._verified_at.get(key, float("-inf"))
            if since < _VERIFY_EVERY_S:
                continue
            self._verified_at[key] = now
            self._verifying.add(key)
            self._tasks.start(self._confirm(planner, key, suspension.reason))

    async def _confirm(
        self, planner: form.ZonePlanner, key: model.Key, reason: str
    ) -> None:
        try:
            verdict = await self.prober.probe(key, f"suspended: {reason}")
            if verdict is not None and verdict.must_reform:
                planner.confirm(key)
                self.plan()
        finally:
            self._verifying.discard(key)

    async def _carry_out(
        self, planner: form.ZonePlanner, order: model.Order
    ) -> None:
        started_at = self.clock()
        outcome = await self.gateway.order(order, _ORDER_S)
        now = self.clock()
        self.metrics.count("order", f"{order.kind.value}.{outcome.value}")
        self.metrics.record("order", now - started_at)
        logs.event(
            "order",
            kind=order.kind.value,
            engine=order.engine.id,
            replica=order.key.replica if order.key else "",
            fence=order.key.fence if order.key else 0,
            model=order.model,
            reason=order.reason,
            outcome=outcome.value,
            took_s=round(now - started_at, 4),
        )
        planner.settle(order, outcome)
        if order.kind is model.OrderKind.LEAVE and self.is_planning:
            self.plan()
