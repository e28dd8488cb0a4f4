"""Decides which instance plans an availability zone, by a lease in the store.

While the store does not answer, a zone is planned in overtime: the lease
holder continues after its lease has expired, and a zone without a planner is
taken over by an instance without a lease (an unleased takeover). Fencing
numbers make engines refuse the orders of the previous planner. Overtime ends
as soon as a peer plans the zone under a lease, or this instance no longer
hears a majority of the known instances.

An instance that has lost its links to engines neither plans nor contends while
another one has links.
"""

import asyncio
import dataclasses
from collections.abc import Callable

from returns import pipeline

from tamarackpier import clocks, codes, logs, metrics, tasks
from tamarackpier.fleet import fleet_view
from tamarackpier.peer import roster as roster_lib
from tamarackpier.peer import zone_claims
from tamarackpier.platform import interfaces
from tamarackpier.replica import lease

__all__ = ["ZoneLease"]

_LEASE_TABLE = "lease"
_LEASE_S = 3.0
# Longest lease in a row that is waited for; leaves room for other releases.
_MAX_LEASE_S = 10 * _LEASE_S
_ORDER_MARGIN_S = 0.3  # No order is sent this close to the end of the lease.
# Time between the attempts of contenders of adjacent ranks.
_RANK_DELAY_S = 0.8
# Time between two lease operations, unless the lease is free.
_STEP_INTERVAL_S = 0.5
# Time between two reads while a peer plans the zone in overtime, and the
# longest one between reads that fail. Reads are charged.
_OVERTIME_READ_INTERVAL_S = 1.0
_MAX_READ_INTERVAL_S = 2.0
# Time for a holder in overtime to learn of its successor.
_HANDOVER_DELAY_S = 2.0
# Additional wait before an unleased takeover, from the time at which the silent
# planner counts as gone.
_UNLEASED_TAKEOVER_DELAY_S = 1.0
# Covers the replicas that the previous planner formed after its last claim.
_FENCE_MARGIN = 4096
_MIN_SUSPENSION_S = 0.05  # Smaller differences come from reading two clocks.
# Higher numbers in engine rows were not given out by any planner.
_MAX_FENCE = 1 << 52
_UNKNOWN_VERSION = -1  # Row version of the record of an unleased takeover.

# Faults after which the store counts as unreachable.
_UNREACHABLE_CODES = (
    codes.TABLE_UNAVAILABLE,
    codes.TABLE_ANSWER_LOST,
    codes.TABLE_THROTTLED,
)


class ZoneLease:
    """Acquires, renews and releases the lease of one zone.

    Attributes:
        zone: The availability zone.
        key: Key of the lease row.
        holder: This instance and its incarnation, as stored in lease rows.
        held: The lease that this instance holds, or the record of an
            unleased takeover; None if it does not plan the zone.
        is_overtime: Whether the zone is planned in overtime.
        first_fence: The lowest fencing number that may be used.
        is_stopping: Whether this instance is about to stop.
        on_lost: Called when this instance stops planning the zone.
        next_fence: Returns a fencing number above all that this instance
            has used.
        suspended_s: Returns the seconds that the machine has been suspended
            since boot.
    """

    def __init__(
        self,
        zone: str,
        rows: interfaces.Table,
        fleet: fleet_view.FleetView,
        roster: roster_lib.Roster,
        counts: metrics.Metrics,
        clock: Callable[[], float],
        on_lost: Callable[[], None],
        next_fence: Callable[[], int],
        suspended_s: Callable[[], float] = clocks.suspended_s,
    ) -> None:
        own_presence = roster.own_presence
        self.zone = zone
        self.key = f"{_LEASE_TABLE}/{zone}"
        self.holder = f"{own_presence.id}/{own_presence.incarnation}"
        self.rows = rows
        self.fleet = fleet
        self.roster = roster
        self.metrics = counts
        self.clock = clock
        self.on_lost = on_lost
        self.next_fence = next_fence
        self.suspended_s = suspended_s
        self.held: lease.HeldLease | None = None
        self.is_overtime = False
        self.first_fence = 0
        self.is_stopping = False
        # Name under which the fleet view records that the store is unreachable.
        self._component = f"lease of {zone}"
        self._last_suspended_s = suspended_s()
        self._observation: lease.LeaseObservation | None = None
        self._next_step_at = 0.0
        self._read_interval_s = _STEP_INTERVAL_S
        self._unplanned_since: float | None = None
        # Time since when no peer has claimed the lease itself.
        self._unleased_since: float | None = None
        self._must_wait = False
        self._claims = zone_claims.ZoneClaims()
        self._tasks = tasks.Tasks()
        self._task: asyncio.Task[None] | None = None

    @property
    def is_planning(self) -> bool:
        """Whether this instance currently plans the zone."""
        return self.is_overtime or lease.holds(self.held, self.clock())

    @property
    def may_send_orders(self) -> bool:
        """Whether orders may currently be sent."""
        if self.held is None or self.is_stopping or self._must_wait:
            return False
        remaining_s = self.held.valid_until - self.clock()
        return self.is_overtime or remaining_s >= _ORDER_MARGIN_S

    def tick(self, claims: zone_claims.ZoneClaims) -> None:
        """Starts the next lease operation if due and updates overtime."""
        now = self.clock()
        self._claims = claims
        self._subtract_suspension()
        if self.held is not None and not self._may_plan():
            self._hand_over(self.held)
        self._update_unplanned_since(claims, now)
        is_idle = self._task is None or self._task.done()
        if is_idle and self._is_due(claims, now):
            self._task = asyncio.ensure_future(self._step())
        self._update_overtime(claims, now)
        self._must_wait = self._must_wait_for_rival(claims, now)

    def _may_plan(self) -> bool:
        return self.roster.own_presence.id not in self._claims.without_links

    def _hand_over(self, held: lease.HeldLease) -> None:
        """Stops planning and releases the lease to another instance."""
        is_valid = lease.holds(held, self.clock())
        self._lose_lease("no links to engines")
        if is_valid and held.row_version != _UNKNOWN_VERSION:
            self._tasks.start(self.rows.transact(lease.release(held)))

    async def release(self) -> None:
        """Releases the lease so that another instance can plan at once."""
        self.is_stopping = True
        held, self.held = self.held, None
        self.is_overtime = False
        self.on_lost()
        if held is not None and lease.holds(held, self.clock()):
            await self.rows.transact(lease.release(held))

    def _subtract_suspension(self) -> None:
        """Shortens the lease by the time that the machine was suspended.

        The monotonic clock does not advance during a suspension.
        """
        missed_s = self.suspended_s() - self._last_suspended_s
        self._last_suspended_s += missed_s
        if self.held is not None and missed_s > _MIN_SUSPENSION_S:
            self.held = dataclasses.replace(
                self.held,
                valid_until=self.held.valid_until - missed_s,
                renew_at=self.held.renew_at - missed_s,
            )

    def _update_unplanned_since(
        self, claims: zone_claims.ZoneClaims, now: float
    ) -> None:
        if self.zone in claims.leased or self.zone in claims.overtime:
            self._unplanned_since = None
        elif self._unplanned_since is None:
            self._unplanned_since = now
        if self.zone in claims.leased:
            self._unleased_since = None
        elif self._unleased_since is None:
            self._unleased_since = now

    def _is_due(self, claims: zone_claims.ZoneClaims, now: float) -> bool:
        """Returns whether the next lease operation may start."""
        if self.is_stopping or not self._may_plan():
            return False
        if self.held is not None:
            return now >= max(self.held.renew_at, self._next_step_at)
        if self.zone in claims.leased:
            self._observation = None
            return False
        if self.zone in claims.overtime:
            # An instance that reaches the store takes over from a holder in
            # overtime. They try one after the other: the zone is planned, and
            # calls to the store are charged.
            since = (
                now if self._unleased_since is None else self._unleased_since
            )
            return (
                not self.fleet.store_unreachable_for
                and now >= self._next_step_at
                and now >= since + self._rank(now) * _RANK_DELAY_S
            )
        return now >= max(self._next_step_at, self._contend_time(now))

    def _contend_time(self, now: float) -> float:
        """Returns the time from which this instance contends, by its rank."""
        unplanned_since = (
            now if self._unplanned_since is None else self._unplanned_since
        )
        return unplanned_since + self._rank(now) * _RANK_DELAY_S

    def _rank(self, now: float) -> int:
        """Returns how many live instances contend before this one.

        Instances of the zone come first, then the order is by ID.
        """
        own_presence = self.roster.own_presence
        peers = [
            instance
            for instance in self.roster.live(now)
            if not instance.is_leaving
            and instance.id not in self._claims.without_links
        ]
        ranked = sorted(
            [own_presence, *peers],
            key=lambda instance: (
                instance.availability_zone != self.zone,
                instance.id,
            ),
        )
        return ranked.index(own_presence)

    def _update_overtime(
        self, claims: zone_claims.ZoneClaims, now: float
    ) -> None:
        """Starts or ends overtime, or drops a lease that has expired."""
        if self.held is None:
            if self._may_take_over_unleased(claims, now):
                self._take_over_unleased(claims.fences[self.zone], now)
            return
        if lease.holds(self.held, now):
            self.is_overtime = False
            return
        reason = ""
        if self._component not in self.fleet.store_unreachable_for:
            reason = "lapsed"
        elif self.zone in claims.leased:
            reason = "a peer plans it"
        elif self._is_superseded(claims, now):
            reason = "a peer stands in"
        elif not self._has_quorum(now):
            reason = "too few peers are heard"
        if reason:
            self._lose_lease(reason)
        elif not self.is_overtime:
            self.is_overtime = True
            logs.event("zone overtime", zone=self.zone)

    def _is_superseded(
        self, claims: zone_claims.ZoneClaims, now: float
    ) -> bool:
        """Returns whether a peer in overtime takes precedence.

        The higher fencing number wins; on a tie, the instance of rank 0.
        """
        if self.zone not in claims.overtime:
            return False
        peer_fence = claims.fences.get(self.zone, 0)
        own_fence = self.next_fence()
        return peer_fence > own_fence or (
            peer_fence == own_fence and self._rank(now) > 0
        )

    def _may_take_over_unleased(
        self, claims: zone_claims.ZoneClaims, now: float
    ) -> bool:
        """Returns whether an unleased takeover is allowed.

        That is when nobody plans the zone and the store does not answer.
        """
        return (
            not self.is_stopping
            and self._may_plan()
            and self._unplanned_since is not None
            and bool(self.fleet.store_unreachable_for)
            and self.zone in claims.fences
            and self._has_quorum(now)
            and now >= self._contend_time(now) + _UNLEASED_TAKEOVER_DELAY_S
        )

    def _take_over_unleased(self, fence: int, now: float) -> None:
        self.held = lease.HeldLease(
            self.key, self.holder, 0, _UNKNOWN_VERSION, now, now, now
        )
        self.first_fence = max(self.first_fence, fence + _FENCE_MARGIN)
        self.is_overtime = True
        self.fleet.mark_store_unreachable(self._component)
        logs.event(
            "zone stood in",
            zone=self.zone,
            fence=self.first_fence,
        )

    def _has_quorum(self, now: float) -> bool:
        known_count = 1 + len(self.roster.others)
        return 2 * (1 + len(self.roster.live(now))) > known_count

    def _must_wait_for_rival(
        self, claims: zone_claims.ZoneClaims, now: float
    ) -> bool:
        """Returns whether another instance may still plan the zone."""
        if self.held is None:
            return False
        if self._is_unleased() and self._observation is not None:
            # The store answers again, but the lease holder is not known yet.
            return True
        if self.is_overtime or self.zone not in claims.overtime:
            return False
        return now - self.held.acquired_at < _HANDOVER_DELAY_S

    def _is_unleased(self) -> bool:
        """Returns whether the zone is planned after an unleased takeover."""
        return (
            self.held is not None and self.held.row_version == _UNKNOWN_VERSION
        )

    async def _step(self) -> None:
        """Performs one lease operation: renews, reads or acquires."""
        now = self.clock()
        self._next_step_at = now + _STEP_INTERVAL_S
        if self.held is not None and not self._is_unleased():
            await self._write(lease.renew(self.held, _LEASE_S, now), now)
            return
        min_number = lease.number_above(self._highest_fence())
        step = lease.decide(
            self._observation,
            None,
            self.holder,
            _LEASE_S,
            now,
            min_number=min_number,
        )
        observation = self._observation
        has_ended = self._holder_has_ended()
        if step.kind is lease.StepKind.READ and observation and has_ended:
            step = lease.take_over(
                observation, self.holder, _LEASE_S, now, min_number
            )
        if step.kind is lease.StepKind.READ:
            if self.zone in self._claims.overtime:
                self._next_step_at = now + _OVERTIME_READ_INTERVAL_S
            await self._read()
            if self._is_free():
                self._next_step_at = self.clock()
            return
        await self._write(step, now)

    def _highest_fence(self) -> int:
        """Returns the highest fencing number that is known to be in use.

        Engines refuse lower ones, and the number in the lease row may have gone
        back with the store.
        """
        fences = [
            engine.membership.key.fence
            for engine in self.fleet.engines.values()
            if engine.membership is not None
            and engine.availability_zone == self.zone
            and engine.membership.key.fence <= _MAX_FENCE
        ]
        claimed_fence = self._claims.fences.get(self.zone, 0)
        return max([claimed_fence - 1, self.next_fence() - 1, 0, *fences])

    def _is_free(self) -> bool:
        """Returns whether the lease can be acquired at once."""
        observation = self._observation
        if observation is None:
            return False
        value = observation.row.value
        return not value or not value["holder"] or self._holder_has_ended()

    def _holder_has_ended(self) -> bool:
        """Returns whether the holder's process is known to have ended."""
        observation = self._observation
        if observation is None or not observation.row.value:
            return False
        name, _, incarnation = observation.row.value["holder"].rpartition("/")
        if not name or not incarnation.isdigit():
            return False
        return self.roster.has_ended(name, int(incarnation))

    async def _read(self) -> None:
        """Reads the lease row.

        After an unleased takeover, a row that changes between two reads shows
        that a peer holds the lease.
        """
        read_result = await self.rows.read((self.key,))
        if not pipeline.is_successful(read_result):
            self.metrics.count("lease_error", read_result.failure().code.name)
            self._next_step_at = self.clock() + self._read_interval_s
            self._read_interval_s = min(
                _MAX_READ_INTERVAL_S, 2.0 * self._read_interval_s
            )
            return
        self._read_interval_s = _STEP_INTERVAL_S
        previous_observation = self._observation
        row = lease.readable(read_result.unwrap()[self.key], _MAX_LEASE_S)
        self._observation = lease.observe(
            previous_observation, row, self.clock()
        )
        if self._is_unleased() and previous_observation not in (
            None,
            self._observation,
        ):
            self._lose_lease("a peer renews it")

    async def _write(self, step: lease.Step, requested_at: float) -> None:
        """Commits a step.

        Args:
            step: Step to commit.
            requested_at: Time before the commit was requested, in seconds on
                the monotonic clock.
        """
        if step.transaction is None:
            return
        write_result = await self.rows.transact(step.transaction)
        if pipeline.is_successful(write_result):
            self._set_held(step, write_result.unwrap()[self.key], requested_at)
            return
        fault = write_result.failure()
        self.metrics.count("lease_error", fault.code.name)
        self._observation = None
        if self.held is not None and fault.code in _UNREACHABLE_CODES:
            self.fleet.mark_store_unreachable(self._component)
        if fault.code in (codes.TABLE_ANSWER_LOST, codes.TABLE_CONFLICT):
            await self._resolve_write(step, requested_at)

    async def _resolve_write(
        self, step: lease.Step, requested_at: float
    ) -> None:
        """Reads the lease row after a write with an unknown outcome.

        An earlier write of this instance may also have taken effect late.
        """
        read_result = await self.rows.read((self.key,))
        if not pipeline.is_successful(read_result):
            return
        row = lease.readable(read_result.unwrap()[self.key], _MAX_LEASE_S)
        held = self.held
        if lease.is_written_by(row, step):
            self._set_held(step, row.version, requested_at)
        elif held is not None and row.version != held.row_version:
            if lease.is_held_by(row, held):
                self.held = dataclasses.replace(held, row_version=row.version)
            elif self._was_lost_by_store(row, held):
                logs.event("lease lost by store", zone=self.zone)
                # Renewing it writes it again.
                now = self.clock()
                self.held = dataclasses.replace(
                    held, row_version=row.version, renew_at=now
                )
                self._next_step_at = now
            else:
                self._lose_lease("taken over")

    def _was_lost_by_store(
        self, row: interfaces.Row, held: lease.HeldLease
    ) -> bool:
        """Returns whether the row is from before a lease that is still valid.

        Until the lease has expired nobody else may have taken it over since.
        """
        return (
            lease.is_older(row, held)
            and lease.holds(held, self.clock())
            and self.zone not in self._claims.leased
        )

    def _set_held(
        self, step: lease.Step, row_version: int, requested_at: float
    ) -> None:
        held = self.held
        is_new = held is None or self._is_unleased()
        self.fleet.mark_store_reachable(self._component, self.clock())
        self.held = lease.lease_after(
            step,
            self.key,
            self.holder,
            row_version,
            _LEASE_S,
            requested_at,
            held.acquired_at if held else requested_at,
        )
        self.first_fence = max(self.first_fence, lease.fence_base(step.number))
        if is_new:
            # While the store was unreachable, another instance may have
            # planned the zone, so the engine rows may be stale.
            self.fleet.mark_rows_stale(self.clock())
            logs.event("zone taken", zone=self.zone, number=step.number)

    def _lose_lease(self, reason: str) -> None:
        logs.event("zone lost", zone=self.zone, reason=reason)
        self.held = None
        self.is_overtime = False
        self._observation = None
        self._unplanned_since = None
        self.fleet.mark_store_reachable(self._component, self.clock())
        self.on_lost()
