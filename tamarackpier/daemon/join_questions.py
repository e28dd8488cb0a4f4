"""Asks engines for their place in a replica before they are ordered to join."""

import asyncio
import collections
from collections.abc import Callable

from returns import pipeline

from tamarackpier import logs, metrics, tasks
from tamarackpier.daemon import probing
from tamarackpier.fleet import fleet_view, model, zone_planner

__all__ = ["JoinQuestions"]

_ASK_INTERVAL_S = 0.1  # Time between two questions to an engine.
# Engines that are asked at once. An instance with little processor time handles
# the answers of a wide replica of 16 engines within the time for which an
# answer counts, but not those of a whole zone.
_MAX_ASKED = 24
_MAX_LOGGED = 200  # Characters of a fault that are logged.


class JoinQuestions:
    """Asks the engines that a planner would order to join.

    The engines of one domain are asked together, as they form a replica.

    Attributes:
        fleet: Local view of the engines; takes the answers.
        prober: Asks an engine.
        metrics: Counts the answers.
        clock: Returns the monotonic time, in seconds.
        on_answered: Called when the engines of a domain have been asked.
    """

    def __init__(
        self,
        fleet: fleet_view.FleetView,
        prober: probing.Prober,
        counts: metrics.Metrics,
        clock: Callable[[], float],
        on_answered: Callable[[], object],
    ) -> None:
        self.fleet = fleet
        self.prober = prober
        self.metrics = counts
        self.clock = clock
        self.on_answered = on_answered
        self._tasks = tasks.Tasks()
        # IDs of the engines whose answer is awaited.
        self._asking: set[str] = set()
        # Time of the last question to each engine, by ID.
        self._asked_at: dict[str, float] = {}

    def ask(self, planner: zone_planner.ZonePlanner) -> None:
        """Starts to ask engines that a planner would order to join."""
        now = self.clock()
        for engine_id, asked_at in list(self._asked_at.items()):
            if now - asked_at >= _ASK_INTERVAL_S:
                del self._asked_at[engine_id]
        by_domain = collections.defaultdict(list)
        for engine_id in sorted(planner.unconfirmed):
            engine = self.fleet.engines.get(engine_id)
            is_asked = engine_id in self._asking or engine_id in self._asked_at
            if engine is not None and not is_asked:
                by_domain[engine.domain].append(engine)
        for _, engines in sorted(by_domain.items()):
            if self._asking and len(self._asking) + len(engines) > _MAX_ASKED:
                return
            for engine in engines:
                self._asking.add(engine.id)
                self._asked_at[engine.id] = now
            self._tasks.start(self._ask_all(planner, engines))

    def close(self) -> None:
        """Ends all questions."""
        self._tasks.cancel()

    async def _ask_all(
        self,
        planner: zone_planner.ZonePlanner,
        engines: list[model.EngineRecord],
    ) -> None:
        await asyncio.gather(
            *(self._ask_one(planner, engine) for engine in engines)
        )
        self.on_answered()

    async def _ask_one(
        self, planner: zone_planner.ZonePlanner, engine: model.EngineRecord
    ) -> None:
        """Asks an engine and records its answer as soon as it arrives.

        An engine that has started again since its row was read counts as
        silent, since its row says nothing of it. So does one that does not
        answer, unless it is forming a replica, which has its own time limit.
        """
        asked_at = self.clock()
        try:
            report_result = await self.prober.probe_engine(engine)
        finally:
            self._asking.discard(engine.id)
        detail = "it has started again"
        if pipeline.is_successful(report_result):
            report = report_result.unwrap()
            self.metrics.count("asked", "answered")
            if report.incarnation == engine.incarnation:
                self.fleet.record_answer(report, asked_at, engine)
                planner.record_answer(report)
                return
        else:
            self.metrics.count("asked", "silent")
            detail = str(report_result.failure())[:_MAX_LOGGED]
            if engine.id in planner.forming_engines():
                return
            if not await self.prober.confirm_links(asked_at):
                return
        logs.event("free engine silent", engine=engine.id, detail=detail)
        self.fleet.silent.setdefault(engine.id, self.clock())
