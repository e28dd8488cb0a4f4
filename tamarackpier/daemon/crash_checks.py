"""Probes upstreams at which attempts failed, to find out which have ended."""

from collections.abc import Callable

from returns import pipeline

from tamarackpier import tasks
from tamarackpier.daemon import linked_gateway, probing
from tamarackpier.fleet import fleet_view, model
from tamarackpier.traffic import crash_watch

__all__ = ["CrashChecker"]


class CrashChecker:
    """Decides what became of upstreams at which attempts failed.

    Attributes:
        watch: Attempts whose upstream may have ended.
        fleet: The local view of engines.
        prober: Probes engines and replicas.
        clock: Returns the monotonic time, in seconds.
    """

    def __init__(
        self,
        watch: crash_watch.CrashWatch,
        fleet: fleet_view.FleetView,
        prober: probing.Prober,
        clock: Callable[[], float],
    ) -> None:
        self.watch = watch
        self.fleet = fleet
        self.prober = prober
        self.clock = clock
        self._tasks = tasks.Tasks()
        self._probing: set[str] = set()  # While a probe runs.
        prober.on_probed = self._apply_replica_probe

    def tick(self) -> None:
        """Runs the checks that are due."""
        now = self.clock()
        self.watch.confirm_known(now)
        self.watch.check_rows(self.fleet.engines, now)
        for upstream in self.watch.due_for_probe(now):
            if upstream.key is not None:
                self.prober.probe(upstream.key, "an attempt broke off")
            else:
                self._tasks.start(self._probe_engine(upstream))

    def close(self) -> None:
        """Ends all probes."""
        self._tasks.cancel()

    def _apply_replica_probe(
        self,
        key: model.ReplicaKey,
        probe_result: probing.ProbeResult,
        started_at: float,
    ) -> None:
        self.watch.apply_probe(
            crash_watch.replica_death(key),
            probe_result.ended,
            not probe_result.silent and not probe_result.ended,
            started_at,
            self.clock(),
        )

    async def _probe_engine(self, upstream: crash_watch.Upstream) -> None:
        engine = upstream.engines[0]
        if engine.id in self._probing:
            return
        self._probing.add(engine.id)
        started_at = self.clock()
        try:
            report_result = await self.prober.probe_engine(engine)
        finally:
            self._probing.discard(engine.id)
        is_silent = not linked_gateway.is_answered(report_result)
        if is_silent and not await self.prober.confirm_links(started_at):
            return
        has_ended = probing.has_ended(engine, report_result)
        self.watch.apply_probe(
            upstream.death,
            (engine.id,) if has_ended else (),
            pipeline.is_successful(report_result) and not has_ended,
            started_at,
            self.clock(),
        )
