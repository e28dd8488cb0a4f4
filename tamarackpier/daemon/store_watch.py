"""Follows tables of the store that the operator and the engines write.

A long poll that was sent before the store was away may never be answered, and
one sent to a store that is back is answered only when something changes. So a
poll is renewed when something else shows that the store was away, or that a
peer knows more; and after a failure the store is asked without a wait, which
shows at once that it is back.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable

from absl import logging
from returns import pipeline, result

from tamarackpier import codes, logs, metrics
from tamarackpier.platform import interfaces

__all__ = [
    "MAX_BACKOFF_S",
    "MAX_WAIT_S",
    "TableFollower",
    "noticing_wait_s",
]

# Longest wait for a change; the store allows 30 s.
MAX_WAIT_S = 20.0
_COVERED_S = 0.2  # Time after which is_covered is asked again.
_MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.5  # Half of the time in which a change must be in force.
# Ratio of the longest pause to the first one, at most.
_MAX_BACKOFF_RATIO = 1.5
# Time that an answer of a slow store takes.
_SLOW_ANSWER_S = 0.4
_MIN_WAIT_S = 0.2


class TableFollower:
    """Follows one table of the platform's store, with backoff on failures.

    Attributes:
        table: Name of the table.
        watch: Reads the table.
        on_snapshot: Called with all rows.
        on_changes: Called with the rows that changed.
        on_lost: Called when the store stops answering.
        on_return: Called when the store answers again.
        read_interval_s: Returns the pause between two reads, in seconds.
        metrics: Counts failures by code.
        is_lost: Whether reads fail; a lost history does not count.
        read_at: Time of the last successful read, in seconds on the monotonic
            clock; before the first one, the time of creation.
        is_covered: Returns whether the changes come by another way, so that
            the table need not be read.
        max_wait_s: Returns the longest wait for a change, in seconds.
        max_backoff_s: Returns the longest pause between two calls while the
            store does not answer, in seconds.
        polled_at: Time at which the call in flight was sent; None if there is
            none.
        is_waiting: Whether that call waits for a change. One that doesn't is
            answered or fails soon.
    """

    def __init__(
        self,
        table: str,
        watch: interfaces.Watch,
        on_snapshot: Callable[[interfaces.Changes], None],
        on_changes: Callable[[interfaces.Changes], None],
        on_lost: Callable[[], None],
        on_return: Callable[[], None],
        read_interval_s: Callable[[], float],
        counts: metrics.Metrics,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self.table = table
        self.watch = watch
        self.on_snapshot = on_snapshot
        self.on_changes = on_changes
        self.on_lost = on_lost
        self.on_return = on_return
        self.read_interval_s = read_interval_s
        self.metrics = counts
        self.rng = rng
        self.clock = clock
        self.is_covered: Callable[[], bool] = lambda: False
        self.max_wait_s: Callable[[], float] = lambda: MAX_WAIT_S
        self.max_backoff_s: Callable[[], float] = lambda: MAX_BACKOFF_S
        self.polled_at: float | None = None
        self.is_waiting = False
        self.is_lost = False
        self.read_at = clock()
        self._last_version: int | None = None
        self._backoff_s = _MIN_BACKOFF_S
        self._renewed = asyncio.Event()
        self._asks_at_once = False

    def renew(self, was_away: bool) -> None:
        """Gives up the call in flight and asks again without a wait.

        Args:
            was_away: Whether the store was away, so that what it answered
                before is no longer known to hold.
        """
        if was_away:
            self._set_lost("another call showed it")
        self._asks_at_once = True
        self._renewed.set()

    def waited_s(self) -> float:
        """Returns for how long the call in flight has waited, in seconds."""
        if self.polled_at is None:
            return 0.0
        return self.clock() - self.polled_at

    def is_overdue(self, now: float) -> bool:
        """Returns whether a wait for changes is longer than it may now be.

        A snapshot of many rows takes its time.
        """
        return (
            self._last_version is not None
            and self.polled_at is not None
            and now - self.polled_at
            > self.max_wait_s() + interfaces.FEED_TIMEOUT_MARGIN_S
        )

    async def run(self) -> None:
        """Follows the table until it is cancelled."""
        while True:
            try:
                await self.step()
            except Exception:
                # Changes may have been applied in part, so a snapshot is read.
                self.metrics.count("loop_error", self.table)
                logging.exception(
                    "failed to follow table %r; reading a snapshot",
                    self.table,
                )
                self._last_version = None
                await asyncio.sleep(MAX_BACKOFF_S)

    async def step(self) -> None:
        """Reads the changes once and applies them."""
        if self._last_version is not None and self.is_covered():
            await asyncio.sleep(_COVERED_S)
            return
        is_snapshot = self._last_version is None
        read_result = await self._read()
        if read_result is None:
            return
        apply = self.on_snapshot if is_snapshot else self.on_changes
        if not pipeline.is_successful(read_result):
            await self._handle_failure(read_result)
            return
        self._handle_success()
        changes = read_result.unwrap()
        apply(changes)
        self._last_version = changes.version
        await asyncio.sleep(self.read_interval_s())

    async def _read(
        self,
    ) -> result.Result[interfaces.Changes, codes.Fault] | None:
        """Reads a snapshot or the changes; returns None if it is renewed."""
        self._renewed.clear()
        wait_s = self.max_wait_s()
        if self.is_lost or self._asks_at_once:
            wait_s = 0.0
        self._asks_at_once = False
        self.is_waiting = wait_s > 0.0
        if self._last_version is None:
            read = self.watch.snapshot(self.table)
        else:
            read = self.watch.changes(self.table, self._last_version, wait_s)
        self.polled_at = self.clock()
        call = asyncio.ensure_future(read)
        renewed = asyncio.ensure_future(self._renewed.wait())
        try:
            await asyncio.wait(
                (call, renewed), return_when=asyncio.FIRST_COMPLETED
            )
            return await call if call.done() else None
        finally:
            self.polled_at = None
            call.cancel()
            renewed.cancel()

    async def _handle_failure(
        self, read_result: result.Result[interfaces.Changes, codes.Fault]
    ) -> None:
        fault = read_result.failure()
        self.metrics.count("store_error", fault.code.name)
        has_position = self._last_version is not None
        if fault.code is codes.TABLE_HISTORY_LOST and has_position:
            logs.event(
                "history lost",
                table=self.table,
                after=self._last_version,
            )
            self._last_version = None
            return
        self._set_lost(str(fault)[:200])
        longest_s = self.max_backoff_s()
        self._backoff_s = max(self._backoff_s, longest_s / _MAX_BACKOFF_RATIO)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(
                self._renewed.wait(),
                self._backoff_s * self.rng.uniform(0.5, 1.0),
            )
        self._backoff_s = min(longest_s, self._backoff_s * 2)

    def _set_lost(self, detail: str) -> None:
        if not self.is_lost:
            self.is_lost = True
            logs.event("store lost", table=self.table, detail=detail)
            self.on_lost()

    def _handle_success(self) -> None:
        now = self.clock()
        if self.is_lost:
            logs.event(
                "store regained",
                table=self.table,
                away_s=round(now - self.read_at, 3),
            )
            self.is_lost = False
            self.on_return()
        self.read_at = now
        self._backoff_s = _MIN_BACKOFF_S


def noticing_wait_s(bound_s: float) -> float:
    """Returns the longest wait with which a lost poll is noticed in time.

    The poll fails, and the next one, which waits for nothing, is answered
    within the bound.

    Args:
        bound_s: Longest time from the store's return until it is noticed, in
            seconds.
    """
    return max(
        _MIN_WAIT_S,
        bound_s
        - interfaces.FEED_TIMEOUT_MARGIN_S
        - _MIN_BACKOFF_S
        - _SLOW_ANSWER_S,
    )
