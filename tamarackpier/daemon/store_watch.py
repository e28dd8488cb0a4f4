"""Follows the rows that the operator and the engines write."""

import asyncio
import random
from collections.abc import Callable

from absl import logging
from returns import pipeline, result

from tamarackpier import codes, logs, metrics
from tamarackpier.platform import interfaces

__all__ = ["TableFollower"]

_WAIT_S = 20.0  # Longest wait for a first change; the most allowed is 30 s.
_FIRST_DELAY_S = 0.1
_MOST_DELAY_S = 0.5  # Half of what a change may take to be in force.


class TableFollower:
    """Follows one table of the platform's store.

    Attributes:
        table: The table.
        watch: Reads it.
        on_snapshot: Takes all rows.
        on_changes: Takes the rows that changed.
        on_lost: Called when the store stops answering.
        on_return: Called when the store answers again.
        gap_s: Returns the least time between two reads.
        metrics: Counts failures by reason.
        is_lost: Whether the last read failed.
        read_at: When the last read succeeded.
    """

    def __init__(
        self,
        table: str,
        watch: interfaces.Watch,
        on_snapshot: Callable[[interfaces.Changes], None],
        on_changes: Callable[[interfaces.Changes], None],
        on_lost: Callable[[], None],
        on_return: Callable[[], None],
        gap_s: Callable[[], float],
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
        self.read_interval_s = gap_s
        self.metrics = counts
        self.rng = rng
        self.clock = clock
        self.is_lost = False
        self.read_at = clock()
        self._after: int | None = None
        self._delay_s = _FIRST_DELAY_S

    async def run(self) -> None:
        """Follows the table until it is cancelled."""
        while True:
            try:
                await self.step()
            except Exception:
                # What was read may be half taken, so it is read anew.
                self.metrics.count("loop_error", self.table)
                logging.exception("following table %r failed", self.table)
                self._after = None
                await asyncio.sleep(_MOST_DELAY_S)

    async def step(self) -> None:
        """Reads what changed once, and takes it."""
        if self._after is None:
            found = await self.watch.snapshot(self.table)
            take = self.on_snapshot
        else:
            found = await self.watch.changes(self.table, self._after, _WAIT_S)
            take = self.on_changes
        if not pipeline.is_successful(found):
            await self._failed(found)
            return
        self._regained()
        changes = found.unwrap()
        take(changes)
        self._after = changes.version
        await asyncio.sleep(self.read_interval_s())

    async def _failed(
        self, found: result.Result[interfaces.Changes, codes.Fault]
    ) -> None:
        fault = found.failure()
        self.metrics.count("store_error", fault.code.name)
        if fault.code is codes.TABLE_HISTORY_LOST:
            logs.event("history lost", table=self.table, after=self._after)
            self._after = None
            return
        if not self.is_lost:
            self.is_lost = True
            logs.event("store lost", table=self.table, detail=str(fault)[:200])
            self.on_lost()
        await asyncio.sleep(self._delay_s * self.rng.uniform(0.5, 1.0))
        self._delay_s = min(_MOST_DELAY_S, self._delay_s * 2)

    def _regained(self) -> None:
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
        self._delay_s = _FIRST_DELAY_S
