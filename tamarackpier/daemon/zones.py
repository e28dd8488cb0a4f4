"""Contends for zones and carries out what their planners decide."""

import asyncio
from collections.abc import Callable, Mapping

from returns import pipeline

from tamarackpier import codes, logs, metrics
from tamarackpier.daemon import evidence
from tamarackpier.fleet import beliefs, form, model
from tamarackpier.peer import roster as roster_lib
from tamarackpier.platform import interfaces
from tamarackpier.replica import lease
from tamarackpier.routing import table
from tamarackpier.upstream import gateway

__all__ = ["ZoneKeeper"]

_LEASE_TABLE = "lease"
_LEASE_S = 3.0
_ORDER_S = 0.3  # An order is answered within 10 ms; 35 times that.
_RANK_DELAY_S = 0.8  # Between preferred contenders.
_CONTEND_EVERY_S = 0.5
_VERIFY_EVERY_S = 1.0  # Between rounds of questions on one suspension.
_MOST_NAME = 40


class ZoneKeeper:
    """The lease of one zone, and its planners while it is held.

    Attributes:
        zone: The availability zone.
        held: The lease, if it is held.
        planners: A planner for each model service.
    """

    def __init__(
        self,
        zone: str,
        rows: interfaces.Table,
        fleet: beliefs.Fleet,
        engines: gateway.Gateway,
        prober: evidence.Prober,
        roster: roster_lib.Roster,
        routing: Callable[[], table.Routing | None],
        zone_count: Callable[[], int],
        running: Callable[[], Mapping[str, int]],
        counts: metrics.Metrics,
        clock: Callable[[], float],
    ) -> None:
        self.zone = zone
        self.key = f"{_LEASE_TABLE}/{zone}"
        self.rows = rows
        self.fleet = fleet
        self.gateway = engines
        self.prober = prober
        self.roster = roster
        self.routing = routing
        self.zone_count = zone_count
        self.running = running
        self.metrics = counts
        self.clock = clock
        own = roster.own
        self.holder = f"{own.id}/{own.incarnation}"
        self.held: lease.Held | None = None
        self.planners: dict[str, form.ZonePlanner] = {}
        self.is_stopping = False
        self._watch: lease.Watch | None = None
        self._summaries: dict[str, dict[str, object]] = {}
        self._contend_at = 0.0
        self._absent_since: float | None = None
        self._lease_task: asyncio.Task[None] | None = None
        self._orders: set[asyncio.Task[None]] = set()
        self._verifying: set[model.Key] = set()
        self._verified_at: dict[model.Key, float] = {}

    @property
    def is_holding(self) -> bool:
        """Whether this instance plans the zone now."""
        return lease.holds(self.held, self.clock())

    def tick(self, claimed: set[str]) -> None:
        """Does what is due; `claimed` are the zones that peers plan."""
        now = self.clock()
        is_idle = self._lease_task is None or self._lease_task.done()
        if is_idle and self._is_due(claimed, now):
            self._lease_task = asyncio.ensure_future(self._step())
        if self.is_holding:
            self._verify()
            self.plan()
        elif self.held is not None:
            self._lose("lapsed")

    def plan(self) -> None:
        """Lets the planners decide and sends their orders."""
        now = self.clock()
        routing = self.routing()
        held = self.held
        if routing is None or held is None or self.is_stopping:
            return
        if held.valid_until - now < _ORDER_S:
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
                    lease.fence_base(held.number),
                    self.zone_count(),
                    now,
                )
                self.planners[service.name] = planner
            planner.use(service.engine, self.zone_count())
            orders = planner.tick(self.fleet, self.running(), now)
            summary = planner.summary(self.fleet)
            if summary != self._summaries.get(service.name):
                self._summaries[service.name] = summary
                logs.event("zone", zone=self.zone, **summary)
            for order in orders:
                task = asyncio.ensure_future(self._carry_out(planner, order))
                self._orders.add(task)
                task.add_done_callback(self._orders.discard)

    async def give_up(self) -> None:
        """Lets another instance plan the zone at once."""
        self.is_stopping = True
        held, self.held = self.held, None
        self.planners.clear()
        if lease.holds(held, self.clock()) and held is not None:
            await self.rows.transact(lease.release(held))

    def _short_holder(self) -> str:
        return self.holder.rpartition("/")[0][-_MOST_NAME:]

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
            task = asyncio.ensure_future(
                self._confirm(planner, key, suspension.reason)
            )
            self._orders.add(task)
            task.add_done_callback(self._orders.discard)

    async def _confirm(
        self, planner: form.ZonePlanner, key: model.Key, reason: str
    ) -> None:
        try:
            verdict = await self.prober.doubt(key, f"suspended: {reason}")
            if verdict is not None and verdict.is_lost:
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
        if order.kind is model.OrderKind.LEAVE and self.is_holding:
            self.plan()

    def _is_due(self, claimed: set[str], now: float) -> bool:
        if self.is_stopping:
            return False
        if self.held is not None:
            return now >= self.held.renew_at
        if self.zone in claimed:
            self._absent_since = None
            self._watch = None
            return False
        if self._absent_since is None:
            self._absent_since = now
        wait_s = self._rank(now) * _RANK_DELAY_S
        return now >= max(self._contend_at, self._absent_since + wait_s)

    def _rank(self, now: float) -> int:
        """Returns how many live instances contend before this one."""
        own = self.roster.own
        peers = [each for each in self.roster.live(now) if not each.is_leaving]
        ranked = sorted(
            [own, *peers],
            key=lambda each: (each.availability_zone != self.zone, each.id),
        )
        return ranked.index(own)

    async def _step(self) -> None:
        """Takes one step towards holding the lease."""
        now = self.clock()
        self._contend_at = now + _CONTEND_EVERY_S
        step = lease.decide(self._watch, self.held, self.holder, _LEASE_S, now)
        watch = self._watch
        has_ended = self._holder_has_ended()
        if step.kind is lease.StepKind.READ and watch and has_ended:
            step = lease.take_over(watch, self.holder, _LEASE_S, now)
        if step.kind is lease.StepKind.WAIT:
            return
        if step.kind is lease.StepKind.READ:
            await self._read()
            if self._is_free():
                self._contend_at = self.clock()
            return
        await self._write(step, now)

    def _is_free(self) -> bool:
        watch = self._watch
        if watch is None:
            return False
        value = watch.row.value
        return not value or not value["holder"] or self._holder_has_ended()

    def _holder_has_ended(self) -> bool:
        watch = self._watch
        if watch is None or not watch.row.value:
            return False
        name, _, incarnation = watch.row.value["holder"].rpartition("/")
        if not name or not incarnation.isdigit():
            return False
        return self.roster.has_ended(name, int(incarnation))

    async def _read(self) -> None:
        found = await self.rows.read((self.key,))
        if not pipeline.is_successful(found):
            self.metrics.count("lease_error", found.failure().code.name)
            return
        row = found.unwrap()[self.key]
        self._watch = lease.observe(self._watch, row, self.clock())

    async def _write(self, step: lease.Step, asked_at: float) -> None:
        if step.transaction is None:
            return
        found = await self.rows.transact(step.transaction)
        if pipeline.is_successful(found):
            self._hold(step, found.unwrap()[self.key], asked_at)
            return
        fault = found.failure()
        self.metrics.count("lease_error", fault.code.name)
        self._watch = None
        if fault.code is codes.TABLE_CONFLICT:
            self._lose("conflict")
        elif fault.code is codes.TABLE_ANSWER_LOST:
            await self._settle(step, asked_at)

    async def _settle(self, step: lease.Step, asked_at: float) -> None:
        """Reads whether a write whose answer was lost took effect."""
        found = await self.rows.read((self.key,))
        if not pipeline.is_successful(found):
            return
        row = found.unwrap()[self.key]
        if lease.is_written_by(row, step):
            self._hold(step, row.version, asked_at)
        elif self.held is not None and row.version != self.held.row_version:
            self._lose("taken over")

    def _hold(
        self, step: lease.Step, row_version: int, asked_at: float
    ) -> None:
        held = self.held
        self.held = lease.settled(
            step,
            self.key,
            self.holder,
            row_version,
            _LEASE_S,
            asked_at,
            held.acquired_at if held else asked_at,
        )
        if held is None:
            logs.event("zone taken", zone=self.zone, number=step.number)

    def _lose(self, reason: str) -> None:
        if self.held is not None:
            logs.event("zone lost", zone=self.zone, reason=reason)
        self.held = None
        self.planners.clear()
