"""Finds the upstreams that can take a request."""

import random
from collections.abc import Callable

from tamarackpier import codes
from tamarackpier.fleet import fleet_view
from tamarackpier.fleet import model as fleet_model
from tamarackpier.routing import model as routing_model
from tamarackpier.traffic import (
    admission_gate,
    engine_waits,
    load,
    rate_limits,
    refusals,
    score,
    selection,
)
from tamarackpier.traffic import run as run_lib

__all__ = ["CandidateFinder", "retry_after_s"]

_MIN_RETRY_AFTER_S = 0.7
_MAX_RETRY_AFTER_S = 1.8
_MAX_DESCRIBED = 12  # Upstreams that the detail of a refusal names.


class CandidateFinder:
    """Finds the upstreams that can take a request.

    The argument `now` of the methods is the current time, in seconds on the
    monotonic clock.

    Attributes:
        fleet: Known engines and replicas.
        replica_loads: Requests in flight by replica.
        engine_loads: Requests in flight by engine of a plain service.
        replica_scores: Slowness of replicas.
        engine_scores: Latency and failure rate of engines of plain services.
        limits: Limits of engines on the requests a second that they take.
        waits: Engines that want nothing from this instance for a while.
        rng: Source of randomness for retry times.
        is_doubted: Returns whether it is being found out if a replica still
            serves.
        gate: Asks admission control about requests; None without it.
    """

    def __init__(
        self,
        fleet: fleet_view.FleetView,
        replica_loads: load.Loads[fleet_model.ReplicaKey],
        engine_loads: load.Loads[str],
        replica_scores: score.Scores,
        engine_scores: score.Scores,
        limits: rate_limits.UpstreamLimits,
        waits: engine_waits.EngineWaits,
        rng: random.Random,
    ) -> None:
        self.fleet = fleet
        self.replica_loads = replica_loads
        self.engine_loads = engine_loads
        self.replica_scores = replica_scores
        self.engine_scores = engine_scores
        self.limits = limits
        self.waits = waits
        self.rng = rng
        self.is_doubted: Callable[[fleet_model.ReplicaKey], bool]
        self.is_doubted = lambda key: False
        self.gate: admission_gate.AdmissionGate | None = None

    def available(
        self,
        run: run_lib.Run,
        spec: routing_model.EngineSpec | None,
        is_configured: bool,
        criteria: selection.SelectionCriteria,
        isolated_runs: int | None,
        now: float,
    ) -> list[selection.Candidate]:
        """Returns the untried upstreams that can take a request.

        If there are none, those that it left although they may go on.

        Args:
            run: State of the request.
            spec: Specification of the service's engines; None for a plain
                service.
            is_configured: Whether the configuration in force has the service.
            criteria: Properties of the request.
            isolated_runs: Attempts in flight of suspects that may not run
                beside others; None unless the request is such a suspect.
            now: Current time.

        Raises:
            run_lib.RefusedError: There are none.
        """
        candidates = []
        if is_configured:
            candidates = self._known(run, spec, criteria, now)
            candidates = self._admitted(run, spec, candidates, now)
        untried = [
            candidate
            for candidate in candidates
            if candidate.upstream not in run.tried
        ] or [
            candidate
            for candidate in candidates
            if candidate.upstream in run.left
        ]
        if candidates:
            admitting = self._without_wait(untried or candidates, now)
            if untried:
                untried = self._within_limits(run, admitting, now)
        if isolated_runs is not None:
            untried = self._isolated(run, untried, isolated_runs)
        available = [
            candidate
            for candidate in untried
            if candidate.has_capacity or run.may_have_run
        ]
        if available:
            return available
        if untried:
            raise refusals.full(untried, self._retry_after_s(run, now))
        raise refusals.no_upstream(
            run,
            self.fleet,
            spec is not None,
            len(candidates),
            self._retry_after_s(run, now),
        )

    def _retry_after_s(self, run: run_lib.Run, now: float) -> float:
        """Returns after how many seconds a refused caller should retry."""
        wait_s = retry_after_s(self.rng)
        if self.gate is None:
            return wait_s
        longest_s = self.gate.longest_return_s(run, now)
        return min(wait_s, longest_s * self.rng.uniform(0.5, 1.0))

    def undoubted(
        self, candidates: list[selection.Candidate]
    ) -> list[selection.Candidate]:
        """Returns the candidates that are not doubted."""
        return [
            candidate
            for candidate in candidates
            if candidate.key is None or not self.is_doubted(candidate.key)
        ]

    def _admitted(
        self,
        run: run_lib.Run,
        spec: routing_model.EngineSpec | None,
        candidates: list[selection.Candidate],
        now: float,
    ) -> list[selection.Candidate]:
        """Returns the candidates of a request that admission control admits.

        Raises:
            run_lib.RefusedError: It refuses the request.
        """
        if self.gate is None:
            return candidates
        if spec is None or not run.request.model:
            self.gate.check_plain(run, candidates, now)
            return candidates
        candidates = self.gate.with_free_slots(run, candidates)
        self.gate.check_model(run, spec, candidates, now)
        return candidates

    def _known(
        self,
        run: run_lib.Run,
        spec: routing_model.EngineSpec | None,
        criteria: selection.SelectionCriteria,
        now: float,
    ) -> list[selection.Candidate]:
        """Returns all upstreams that serve what a request asks for."""
        model = run.request.model
        if spec is not None and model:
            return selection.replica_candidates(
                self.fleet.serving(run.service, model),
                spec,
                lambda key: self.replica_loads.usage(key),
                lambda key: self.replica_scores.latency(key.replica, 1.0, now),
                criteria,
            )
        return selection.engine_candidates(
            self.fleet.engines_of_service(run.service),
            lambda engine_id: self.engine_loads.usage(engine_id),
            lambda engine_id: self.engine_scores.latency(
                engine_id, run.route.objective_s / 4, now
            ),
            lambda engine_id: self.engine_scores.failure_rate(engine_id, now),
        )

    def _without_wait(
        self, candidates: list[selection.Candidate], now: float
    ) -> list[selection.Candidate]:
        """Returns the upstreams that didn't ask this instance to wait.

        Raises:
            run_lib.RefusedError: There are none.
        """
        admitting = [
            candidate
            for candidate in candidates
            if self.waits.wait_s(candidate.engine, now) == 0
        ]
        if admitting:
            return admitting
        engines = [candidate.engine for candidate in candidates]
        waits = ", ".join(
            f"{engine.id} {self.waits.wait_s(engine, now):.2f} s"
            for engine in engines[:_MAX_DESCRIBED]
        )
        raise run_lib.refusal(
            codes.UPSTREAMS_WAITING,
            f"all {len(candidates)} upstreams asked this instance to wait:"
            f" {waits}",
            self.waits.promise_s(engines, now, self.rng.random()),
        )

    def _within_limits(
        self,
        run: run_lib.Run,
        candidates: list[selection.Candidate],
        now: float,
    ) -> list[selection.Candidate]:
        """Returns the upstreams whose limits admit another request.

        Raises:
            run_lib.RefusedError: There are none.
        """
        admitting = [
            candidate
            for candidate in candidates
            if self.limits.wait_s(candidate.engine, now) == 0
        ]
        if admitting:
            return admitting
        engines = [candidate.engine for candidate in candidates]
        wait_s = min(self.limits.wait_s(engine, now) for engine in engines)
        if not run.tried:
            asked = f"{run.service}/{run.request.model}"
            wait_s = self.limits.promise_s(asked, engines, now)
        rates = ", ".join(
            self.limits.describe(engine) for engine in engines[:_MAX_DESCRIBED]
        )
        raise run_lib.refusal(
            codes.UPSTREAMS_LIMITED,
            f"all {len(candidates)} upstreams have limits on requests a second"
            f" that are used up: {rates}",
            wait_s,
        )

    def _isolated(
        self,
        run: run_lib.Run,
        candidates: list[selection.Candidate],
        isolated_runs: int,
    ) -> list[selection.Candidate]:
        """Returns the upstreams at which a suspect may run.

        These are the idle ones; or all, while no other suspect is running.

        Raises:
            run_lib.RefusedError: There are none.
        """
        idle = [
            candidate for candidate in candidates if not candidate.usage.running
        ]
        if idle or not isolated_runs or not candidates:
            return idle or candidates
        raise run_lib.refusal(
            codes.CRASH_SUSPECT,
            f"fingerprint {run.fingerprint} may not run beside other suspects,"
            " and no upstream is idle",
            retry_after_s(self.rng),
        )


def retry_after_s(rng: random.Random) -> float:
    """Returns after how many seconds a refused caller should retry.

    A lost replica is replaced within one to two seconds. The random spread
    keeps callers that were refused together from retrying together.
    """
    return rng.uniform(_MIN_RETRY_AFTER_S, _MAX_RETRY_AFTER_S)
