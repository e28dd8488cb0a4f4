"""Polls engines for their state while their rows may be stale."""

import functools
from collections.abc import Callable, Iterable

from returns import pipeline

from tamarackpier import metrics
from tamarackpier.daemon import loops
from tamarackpier.fleet import fleet_view, model
from tamarackpier.upstream import gateway

__all__ = ["EnginePoller"]

# Period for engines that a planner awaits. Orders take effect after 0.2 s or
# more.
_AWAITED_PERIOD_S = 0.15
# Less than `fleet_view.OBSERVATION_FRESH_S`, so that free engines stay usable.
_DEFAULT_PERIOD_S = 0.5
_POLL_TIMEOUT_S = 0.1  # An answer takes 5 ms.


class EnginePoller:
    """Keeps the view of engines fresh while the store does not answer.

    Attributes:
        fleet: The local view of engines; updated with their reports.
        gateway: Client for calls to engines.
        metrics: Counts polls by whether the engine answered.
        on_silent: Called with the replica's key for each member that did not
            answer.
    """

    def __init__(
        self,
        fleet: fleet_view.FleetView,
        engine_gateway: gateway.Gateway,
        counts: metrics.Metrics,
        clock: Callable[[], float],
        on_silent: Callable[[model.ReplicaKey], None],
    ) -> None:
        self.fleet = fleet
        self.gateway = engine_gateway
        self.metrics = counts
        self.clock = clock
        self.on_silent = on_silent
        self._polled_at: dict[str, float] = {}
        self._polls = loops.SingleFlight(counts)

    def poll(
        self, engines: Iterable[model.EngineRecord], awaited_ids: set[str]
    ) -> None:
        """Polls each engine that is due; awaited engines are due more often.

        Args:
            engines: The engines to poll.
            awaited_ids: IDs of the engines whose state a planner waits for.
        """
        now = self.clock()
        for engine in engines:
            if engine.id in self.fleet.silent:
                continue
            period_s = (
                _AWAITED_PERIOD_S
                if engine.id in awaited_ids
                else _DEFAULT_PERIOD_S
            )
            polled_at = self._polled_at.get(engine.id, float("-inf"))
            poll_engine = functools.partial(self._poll_engine, engine, now)
            if now - polled_at >= period_s and self._polls.start(
                f"observe:{engine.id}", poll_engine
            ):
                self._polled_at[engine.id] = now

    def reset(self) -> None:
        """Forgets the poll times; called while rows are not stale."""
        self._polled_at.clear()

    def close(self) -> None:
        """Ends all polls."""
        self._polls.cancel()

    async def _poll_engine(
        self, engine: model.EngineRecord, polled_at: float
    ) -> None:
        report_result = await self.gateway.report(engine, _POLL_TIMEOUT_S)
        if pipeline.is_successful(report_result):
            self.metrics.count("observed", "answered")
            self.fleet.record_answer(report_result.unwrap(), polled_at, engine)
            return
        self.metrics.count("observed", "silent")
        if engine.membership is not None:
            self.on_silent(engine.membership.key)
