"""Runs jobs in the background.

A failed run neither prevents later runs nor brings them forward.
"""

import asyncio
import dataclasses
import random
from collections.abc import Awaitable, Callable

from absl import logging

from tamarackpier import metrics

__all__ = ["SingleFlight", "PeriodicJob", "run_forever"]

_JITTER = 0.2  # Largest deviation of a period, as a share of it.


@dataclasses.dataclass(frozen=True)
class PeriodicJob:
    """A job that runs periodically.

    Attributes:
        name: Name in counters and logs.
        period_s: Mean pause between two runs, in seconds.
        work: Runs the job once.
    """

    name: str
    period_s: float
    work: Callable[[], Awaitable[None]]


class SingleFlight:
    """Runs jobs in tasks of their own, at most one of each name at a time.

    A job that waits for a slow service therefore delays no other job.

    Attributes:
        metrics: Counts failed runs.
        running: The running tasks, by name.
    """

    def __init__(self, counts: metrics.Metrics) -> None:
        self.metrics = counts
        self.running: dict[str, asyncio.Task[None]] = {}

    def start(self, name: str, work: Callable[[], Awaitable[object]]) -> bool:
        """Starts a job unless one of that name is still running.

        Args:
            name: Name of the job. Failures are counted by the part before the
                first colon.
            work: Runs the job.

        Returns:
            Whether the job was started.
        """
        if name in self.running:
            return False
        self.running[name] = asyncio.ensure_future(self._run(name, work))
        return True

    def cancel(self) -> None:
        """Cancels all running jobs."""
        for task in self.running.values():
            task.cancel()

    async def _run(
        self, name: str, work: Callable[[], Awaitable[object]]
    ) -> None:
        try:
            await work()
        except Exception:
            self.metrics.count("work_error", name.split(":")[0])
            logging.exception("job %s failed", name)
        finally:
            self.running.pop(name, None)


async def run_forever(
    job: PeriodicJob, counts: metrics.Metrics, rng: random.Random
) -> None:
    """Runs a job until it is cancelled.

    Periods are jittered, so that instances that start at the same time, or
    see the platform recover at the same time, do not stay synchronized.
    """
    while True:
        try:
            await job.work()
        except Exception:
            counts.count("loop_error", job.name)
            logging.exception("periodic job %s failed", job.name)
        jitter_factor = rng.uniform(1 - _JITTER, 1 + _JITTER)
        await asyncio.sleep(job.period_s * jitter_factor)
