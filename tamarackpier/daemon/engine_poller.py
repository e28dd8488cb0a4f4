"""Asks engines for their state while their rows may be out of date."""

import functools
from collections.abc import Callable, Iterable

from returns import pipeline

from tamarackpier import metrics
from tamarackpier.daemon import loops
from tamarackpier.fleet import beliefs, model
from tamarackpier.upstream import gateway

__all__ = ["EnginePoller"]

_BUSY_PERIOD_S = 0.15  # Orders take effect within 0.2 s and more.
_PERIOD_S = 0.5  # Below beliefs.FRESH_S, so that free engines stay usable.
_ANSWER_S = 0.1  # An answer takes 5 ms.


class EnginePoller:
    """Keeps the beliefs of a planner fresh without the store.

    Attributes:
        fleet: What is believed; changed by what engines answer.
        gateway: Calls engines.
        metrics: Counts answers and silences.
        on_silent: Told of each member of a replica that did not answer.
    """

    def __init__(
        self,
        fleet: beliefs.Fleet,
        engines: gateway.Gateway,
        counts: metrics.Metrics,
        clock: Callable[[], float],
        on_silent: Callable[[model.Key], None],
    ) -> None:
        self.fleet = fleet
        self.gateway = engines
        self.metrics = counts
        self.clock = clock
        self.on_silent = on_silent
        self._asked_at: dict[str, float] = {}
        self._work = loops.SingleFlight(counts)

    def poll(
        self, engines: Iterable[model.EngineRecord], busy: set[str]
    ) -> None:
        """Asks each engine that is due; `busy` ones are due more often."""
        now = self.clock()
        for engine in engines:
            if engine.id in self.fleet.silent:
                continue
            period_s = _BUSY_PERIOD_S if engine.id in busy else _PERIOD_S
            asked_at = self._asked_at.get(engine.id, float("-inf"))
            ask = functools.partial(self._ask, engine, now)
            if now - asked_at >= period_s and self._work.start(
                f"observe:{engine.id}", ask
            ):
                self._asked_at[engine.id] = now

    def reset(self) -> None:
        """Forgets when engines were asked, once rows are to be trusted."""
        self._asked_at.clear()

    async def _ask(self, engine: model.EngineRecord, asked_at: float) -> None:
        found = await self.gateway.report(engine, _ANSWER_S)
        if pipeline.is_successful(found):
            self.metrics.count("observed", "answered")
            self.fleet.observe(found.unwrap(), asked_at)
            return
        self.metrics.count("observed", "silent")
        if engine.membership is not None:
            self.on_silent(engine.membership.key)
