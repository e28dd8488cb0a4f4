"""Runs periodic work so that one failure neither stops nor floods it."""

import asyncio
import dataclasses
import random
from collections.abc import Awaitable, Callable

from absl import logging

from tamarackpier import metrics

__all__ = ["SingleFlight", "PeriodicJob", "run_forever"]

_JITTER = 0.2


@dataclasses.dataclass(frozen=True)
class PeriodicJob:
    """Work that is done again and again.

    Attributes:
        name: For counters and logs.
        period_s: Mean time between two runs.
        work: Does it once.
    """

    name: str
    period_s: float
    work: Callable[[], Awaitable[None]]


class SingleFlight:
    """Runs work in tasks of its own, each kind of it one at a time.

    Work that waits for a slow service so holds up nothing else.

    Attributes:
        metrics: Counts work that fails.
        running: The tasks under way by name.
    """

    def __init__(self, counts: metrics.Metrics) -> None:
        self.metrics = counts
        self.running: dict[str, asyncio.Task[None]] = {}

    def start(self, name: str, work: Callable[[], Awaitable[object]]) -> bool:
        """Starts work unless the last of that name still runs."""
        if name in self.running:
            return False
        self.running[name] = asyncio.ensure_future(self._run(name, work))
        return True

    def cancel(self) -> None:
        """Cancels all work."""
        for task in self.running.values():
            task.cancel()

    async def _run(
        self, name: str, work: Callable[[], Awaitable[object]]
    ) -> None:
        try:
            await work()
        except Exception:
            self.metrics.count("work_error", name.split(":")[0])
            logging.exception("work %s failed", name)
        finally:
            self.running.pop(name, None)


async def run_forever(
    job: PeriodicJob, counts: metrics.Metrics, rng: random.Random
) -> None:
    """Runs a job until it is cancelled.

    Periods are jittered, so that instances which start together, or see the
    platform come back together, do not stay in step.
    """
    while True:
        try:
            await job.work()
        except Exception:
            counts.count("loop_error", job.name)
            logging.exception("loop %s failed", job.name)
        spread = rng.uniform(1 - _JITTER, 1 + _JITTER)
        await asyncio.sleep(job.period_s * spread)
