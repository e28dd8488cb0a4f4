"""Who plans an availability zone: a lease, and what goes on without the store.

A holder that the store does not answer goes on in overtime, and where there
is no holder one stands in: fencing numbers make engines refuse the orders of
whoever planned before. Both end as soon as a peer plans the zone under a
lease, or fewer than half of the instances are heard.
"""

import asyncio
import dataclasses
from collections.abc import Callable

from returns import pipeline

from tamarackpier import clocks, codes, logs, metrics
from tamarackpier.fleet import beliefs
from tamarackpier.peer import roster as roster_lib
from tamarackpier.peer import zone_claims
from tamarackpier.platform import interfaces
from tamarackpier.replica import lease

__all__ = ["ZoneLease"]

_LEASE_TABLE = "lease"
_LEASE_S = 3.0
_MARGIN_S = 0.3  # No order is sent so shortly before the lease ends.
_RANK_DELAY_S = 0.8  # Between preferred contenders.
_CONTEND_EVERY_S = 0.5
_HAND_OVER_S = 2.0  # For a holder in overtime to hear of its successor.
_STAND_IN_AFTER_S = 1.0  # Beyond what makes a silent peer count as gone.
_FENCE_MARGIN = 4096  # Replicas formed since a peer's claim was made.
_LEAST_SUSPENSION_S = 0.05  # Below it, the clocks were read apart.
_UNKNOWN_VERSION = -1

_UNREACHABLE = (
    codes.TABLE_UNAVAILABLE,
    codes.TABLE_ANSWER_LOST,
    codes.TABLE_THROTTLED,
)


class ZoneLease:
    """The lease of one zone, as this instance has or wants it.

    Attributes:
        zone: The availability zone.
        holder: This instance and its start, as rows name it.
        held: The lease, if it is held.
        is_overtime: Whether the zone is planned without the store.
        first_fence: From where fencing numbers may be used.
        is_stopping: Whether this instance is about to stop.
        on_lost: Called when the zone is planned here no more.
        next_fence: Returns a fencing number above all that were used here.
    """

    def __init__(
        self,
        zone: str,
        rows: interfaces.Table,
        fleet: beliefs.Fleet,
        roster: roster_lib.Roster,
        counts: metrics.Metrics,
        clock: Callable[[], float],
        on_lost: Callable[[], None],
        next_fence: Callable[[], int],
        suspended_s: Callable[[], float] = clocks.suspended_s,
    ) -> None:
        own = roster.own
        self.zone = zone
        self.key = f"{_LEASE_TABLE}/{zone}"
        self.holder = f"{own.id}/{own.incarnation}"
        self.rows = rows
        self.fleet = fleet
        self.roster = roster
        self.metrics = counts
        self.clock = clock
        self.on_lost = on_lost
        self.next_fence = next_fence
        self.suspended_s = suspended_s
        self.held: lease.Held | None = None
        self.is_overtime = False
        self.first_fence = 0
        self.is_stopping = False
        self._doubter = f"lease of {zone}"
        self._suspended_s = suspended_s()
        self._watch: lease.Watch | None = None
        self._contend_at = 0.0
        self._absent_since: float | None = None
        self._has_rival = False
        self._task: asyncio.Task[None] | None = None

    @property
    def is_held(self) -> bool:
        """Whether this instance plans the zone now."""
        return self.is_overtime or lease.holds(self.held, self.clock())

    @property
    def may_send_orders(self) -> bool:
        """Whether orders may be sent now."""
        if self.held is None or self.is_stopping or self._has_rival:
            return False
        left_s = self.held.valid_until - self.clock()
        return self.is_overtime or left_s >= _MARGIN_S

    def tick(self, claims: zone_claims.ZoneClaims) -> None:
        """Does what is due."""
        now = self.clock()
        self._count_suspension()
        self._note_absence(claims, now)
        is_idle = self._task is None or self._task.done()
        if is_idle and self._is_due(claims, now):
            self._task = asyncio.ensure_future(self._step())
        self._review_overtime(claims, now)
        self._has_rival = self._waits_for_rival(claims, now)

    async def release(self) -> None:
        """Lets another instance plan the zone at once."""
        self.is_stopping = True
        held, self.held = self.held, None
        self.is_overtime = False
        self.on_lost()
        if held is not None and lease.holds(held, self.clock()):
            await self.rows.transact(lease.release(held))

    def _count_suspension(self) -> None:
        """Takes the time that the monotonic clock missed off the lease."""
        missed_s = self.suspended_s() - self._suspended_s
        self._suspended_s += missed_s
        if self.held is not None and missed_s > _LEAST_SUSPENSION_S:
            self.held = dataclasses.replace(
                self.held,
                valid_until=self.held.valid_until - missed_s,
                renew_at=self.held.renew_at - missed_s,
            )

    def _note_absence(self, claims: zone_claims.ZoneClaims, now: float) -> None:
        if self.zone in claims.leased or self.zone in claims.overtime:
            self._absent_since = None
        elif self._absent_since is None:
            self._absent_since = now

    def _is_due(self, claims: zone_claims.ZoneClaims, now: float) -> bool:
        if self.is_stopping:
            return False
        if self.held is not None:
            return now >= max(self.held.renew_at, self._contend_at)
        if self.zone in claims.leased:
            self._watch = None
            return False
        if self.zone in claims.overtime:
            # A holder in overtime is followed by whom the store answers.
            return not self.fleet.doubters and now >= self._contend_at
        return now >= max(self._contend_at, self._turn(now))

    def _turn(self, now: float) -> float:
        """Returns when it is this instance's turn, by its rank."""
        since = now if self._absent_since is None else self._absent_since
        return since + self._rank(now) * _RANK_DELAY_S

    def _rank(self, now: float) -> int:
        """Returns how many live instances contend before this one."""
        own = self.roster.own
        peers = [each for each in self.roster.live(now) if not each.is_leaving]
        ranked = sorted(
            [own, *peers],
            key=lambda each: (each.availability_zone != self.zone, each.id),
        )
        return ranked.index(own)

    def _review_overtime(
        self, claims: zone_claims.ZoneClaims, now: float
    ) -> None:
        """Begins or ends overtime, or loses a lease that has lapsed."""
        if self.held is None:
            if self._may_stand_in(claims, now):
                self._stand_in(claims.fences[self.zone], now)
            return
        if lease.holds(self.held, now):
            self.is_overtime = False
            return
        reason = ""
        if self._doubter not in self.fleet.doubters:
            reason = "lapsed"
        elif self.zone in claims.leased:
            reason = "a peer plans it"
        elif self._is_superseded(claims, now):
            reason = "a peer stands in"
        elif not self._hears_half(now):
            reason = "too few peers are heard"
        if reason:
            self._lose(reason)
        elif not self.is_overtime:
            self.is_overtime = True
            logs.event("zone overtime", zone=self.zone)

    def _is_superseded(
        self, claims: zone_claims.ZoneClaims, now: float
    ) -> bool:
        """Returns whether a peer that plans without the store goes first."""
        if self.zone not in claims.overtime:
            return False
        fence = claims.fences.get(self.zone, 0)
        own = self.next_fence()
        return fence > own or (fence == own and self._rank(now) > 0)

    def _may_stand_in(self, claims: zone_claims.ZoneClaims, now: float) -> bool:
        """Returns whether nobody plans and the store tells nobody who may."""
        return (
            not self.is_stopping
            and self._absent_since is not None
            and bool(self.fleet.doubters)
            and self.zone in claims.fences
            and self._hears_half(now)
            and now >= self._turn(now) + _STAND_IN_AFTER_S
        )

    def _stand_in(self, fence: int, now: float) -> None:
        self.held = lease.Held(
            self.key, self.holder, 0, _UNKNOWN_VERSION, now, now, now
        )
        self.first_fence = max(self.first_fence, fence + _FENCE_MARGIN)
        self.is_overtime = True
        self.fleet.store_lost(self._doubter)
        logs.event("zone stood in", zone=self.zone, fence=self.first_fence)

    def _hears_half(self, now: float) -> bool:
        known = 1 + len(self.roster.others)
        return 2 * (1 + len(self.roster.live(now))) > known

    def _waits_for_rival(
        self, claims: zone_claims.ZoneClaims, now: float
    ) -> bool:
        """Returns whether somebody else may still plan the zone."""
        if self.held is None:
            return False
        if self._is_standing_in() and self._watch is not None:
            # The store answers again; whose lease it is is not known yet.
            return True
        if self.is_overtime or self.zone not in claims.overtime:
            return False
        return now - self.held.acquired_at < _HAND_OVER_S

    def _is_standing_in(self) -> bool:
        return (
            self.held is not None and self.held.row_version == _UNKNOWN_VERSION
        )

    async def _step(self) -> None:
        """Takes one step towards holding the lease."""
        now = self.clock()
        self._contend_at = now + _CONTEND_EVERY_S
        if self.held is not None and not self._is_standing_in():
            await self._write(lease.renew(self.held, _LEASE_S, now), now)
            return
        step = lease.decide(self._watch, None, self.holder, _LEASE_S, now)
        watch = self._watch
        has_ended = self._holder_has_ended()
        if step.kind is lease.StepKind.READ and watch and has_ended:
            step = lease.take_over(watch, self.holder, _LEASE_S, now)
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
        before = self._watch
        row = found.unwrap()[self.key]
        self._watch = lease.observe(before, row, self.clock())
        if self._is_standing_in() and before not in (None, self._watch):
            self._lose("a peer renews it")

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
        if self.held is not None and fault.code in _UNREACHABLE:
            self.fleet.store_lost(self._doubter)
        if fault.code in (codes.TABLE_ANSWER_LOST, codes.TABLE_CONFLICT):
            await self._settle(step, asked_at)

    async def _settle(self, step: lease.Step, asked_at: float) -> None:
        """Reads what became of a write whose effect is not known.

        An earlier write of our own may have taken effect late, too.
        """
        found = await self.rows.read((self.key,))
        if not pipeline.is_successful(found):
            return
        row = found.unwrap()[self.key]
        held = self.held
        if lease.is_written_by(row, step):
            self._hold(step, row.version, asked_at)
        elif held is not None and row.version != held.row_version:
            if lease.is_held_by(row, held):
                self.held = dataclasses.replace(held, row_version=row.version)
            else:
                self._lose("taken over")

    def _hold(
        self, step: lease.Step, row_version: int, asked_at: float
    ) -> None:
        held = self.held
        is_new = held is None or self._is_standing_in()
        self.fleet.store_returned(self._doubter, self.clock())
        self.held = lease.settled(
            step,
            self.key,
            self.holder,
            row_version,
            _LEASE_S,
            asked_at,
            held.acquired_at if held else asked_at,
        )
        self.first_fence = max(self.first_fence, lease.fence_base(step.number))
        if is_new:
            # Others may have planned, with the store away, since rows said
            # what they say.
            self.fleet.distrust(self.clock())
            logs.event("zone taken", zone=self.zone, number=step.number)

    def _lose(self, reason: str) -> None:
        logs.event("zone lost", zone=self.zone, reason=reason)
        self.held = None
        self.is_overtime = False
        self._watch = None
        self._absent_since = None
        self.fleet.store_returned(self._doubter, self.clock())
        self.on_lost()
