"""Admits requests, selects upstreams for them and bounds their retries."""

import asyncio
import dataclasses
import math
import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

from returns import pipeline, result

from tamarackpier import (
    codes,
    failures,
    invariants,
    logs,
    metrics,
    quarantine,
    registry,
)
from tamarackpier import features as features_lib
from tamarackpier.fleet import departures, fleet_view
from tamarackpier.fleet import model as fleet_model
from tamarackpier.routing import model as routing_model
from tamarackpier.routing import table
from tamarackpier.traffic import (
    admission,
    admission_gate,
    budget,
    caller,
    candidates,
    crash_watch,
    engine_waits,
    load,
    model,
    offered_load,
    rate_limits,
    refusals,
    score,
    selection,
    stopping,
    stream_attempts,
)
from tamarackpier.traffic import run as run_lib
from tamarackpier.upstream import answer_memory, gateway

__all__ = [
    "LEAVING_RETRY_AFTER_S",
    "RETRY_AFTER_REFUSAL_S",
    "STRATEGIES",
    "Relay",
    "RelaySettings",
]

# Maximum size of an answer that is read to its end before it is passed on.
_MAX_ANSWER_BYTES = 4 << 20
# Maximum number of attempts of one request, even if its route allows more.
_MAX_SENDS = 4
_BODY_TIMEOUT_S = 10.0
_LOWEST_PRIORITY = 9
# Time reserved for sending a fault before the caller stops waiting.
_ANSWER_SLACK_S = 0.02
RETRY_AFTER_REFUSAL_S = 0.3
# Short, because another instance accepts the request at once.
LEAVING_RETRY_AFTER_S = 0.05
# Number of instances that share the retry budget until peers are known.
_ASSUMED_INSTANCES = 16
_NOT_CONFIGURED_RETRY_AFTER_S = 0.3
# Number of upstream deaths that make a suspect. Engines end for other reasons
# too, so the same request may be running on two of them by chance.
_CRASH_THRESHOLD = 3
# Time for which a death counts: a day's traffic.
_QUARANTINE_S = 86_400.0
# Long, since only a changed request or engine helps.
_SUSPECT_RETRY_AFTER_S = 60.0
# Time in which completions elsewhere are known here, which may clear a suspect.
_VERDICT_RETRY_AFTER_S = 2.0


@dataclasses.dataclass(frozen=True)
class RelaySettings:
    """Settings of the relay.

    Attributes:
        availability_zone: Availability zone of this instance.
        retry_ratio: Retries allowed per request of a service.
        retry_extra: Retries allowed in addition per window, over all
            instances.
        retry_window_s: Length of the window for both, in seconds.
        chooser: Name of the registered chooser that selects upstreams.
        features: Parts of the product that the deployment asks for.
    """

    availability_zone: str
    retry_ratio: float
    retry_extra: float
    retry_window_s: float
    chooser: str = "few_choices"
    features: frozenset[features_lib.Feature] = frozenset()


_NOT_RUN_OUTCOMES = (codes.Outcome.NOT_RUN, codes.Outcome.REFUSED_BY_UPSTREAM)

T = TypeVar("T")
Strategy = Callable[["Relay", run_lib.Run, caller.Caller], Awaitable[None]]
STRATEGIES: registry.Registry[Strategy] = registry.Registry("strategy")


class Relay:
    """Runs callers' requests at engines.

    Attributes:
        settings: Settings of the relay.
        fleet: Known engines and replicas.
        gateway: Client for calls to engines.
        metrics: Counters and timings.
        rng: Source of randomness for selection, routing and retry times.
        clock: Returns the time, in seconds on the monotonic clock.
        routing: Configuration in force; None until one has been read.
        streams: Stream attempts in flight at replicas.
        replica_loads: Requests in flight by replica.
        engine_loads: Requests in flight by engine of a plain service.
        offered: Load that callers offer to each model.
        engine_scores: Latency and failure rate of engines of plain services.
        replica_scores: Slowness of replicas: the ratio of the measured to the
            expected time to the first event.
        quarantine: Requests that are suspected of crashing upstreams.
        crash_watch: Finds out which failed attempts ended with their upstream.
        limits: Limits of engines on the requests a second that they take.
        waits: Engines that want nothing from this instance for a while.
        budgets: Retry budgets by service.
        invariants: Checks of conditions that must always hold.
        rows_read: Returns what was read of the engines' rows, for the log.
        answer_memory: Counts the bytes of the answers that are being read.
        knows_suspects: Returns whether it is known which requests crash
            upstreams; until then none is admitted.
        may_be_outdated: Returns whether a newer configuration than the own may
            be in force.
        admission: Decides which requests get the capacity that there is; None
            unless the deployment asks for it.
        candidates: Finds the upstreams that can take a request.
        is_doubted: Returns whether it is being found out if a replica still
            serves.
        on_attempt_failed: Called with the key of a replica whose lead failed
            an attempt.
        instances: Number of instances that share the retry budgets.
        started_at: Start of the process, in seconds on the relay's clock.
        in_flight: Number of requests without a final answer.
        isolated_runs: Number of attempts in flight of suspects that may not
            run beside others.
        stops_at: Time by which all requests have their final answer, since
            this instance stops then, in seconds on the relay's clock; infinite
            if no stop is planned.
        moving: Requests whose move to another upstream was reserved and that
            have not been sent there yet, by service and model.
        refuses_requests: Whether requests that no engine runs yet are refused,
            because this instance stops.
    """

    def __init__(
        self,
        settings: RelaySettings,
        fleet: fleet_view.FleetView,
        engine_gateway: gateway.Gateway,
        counts: metrics.Metrics,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self.settings = settings
        self.fleet = fleet
        self.gateway = engine_gateway
        self.metrics = counts
        self.rng = rng
        self.clock = clock
        self.routing: table.RoutingTable | None = None
        self.streams = stream_attempts.StreamAttempts()
        self.replica_loads: load.Loads[fleet_model.ReplicaKey] = load.Loads()
        self.engine_loads: load.Loads[str] = load.Loads()
        self.offered = offered_load.OfferedLoads()
        self.engine_scores = score.Scores()
        self.replica_scores = score.Scores()
        self.quarantine = quarantine.Quarantine(_CRASH_THRESHOLD, _QUARANTINE_S)
        self.crash_watch = crash_watch.CrashWatch(self.quarantine, counts)
        self.limits = rate_limits.UpstreamLimits()
        self.waits = engine_waits.EngineWaits()
        self.candidates = candidates.CandidateFinder(
            fleet,
            self.replica_loads,
            self.engine_loads,
            self.replica_scores,
            self.engine_scores,
            self.limits,
            self.waits,
            rng,
        )
        self.admission: admission.AdmissionControl | None = None
        if features_lib.Feature.ADMISSION in settings.features:
            self.admission = admission.AdmissionControl()
            self.candidates.gate = admission_gate.AdmissionGate(
                self.admission,
                lambda: self.limits.own_id,
                lambda: self.instances,
                counts,
                rng,
            )
            self.candidates.gate.offered = self.offered.totals
        self.candidates.is_doubted = lambda key: self.is_doubted(key)
        self.budgets: dict[str, budget.RetryBudget] = {}
        self.answer_memory = answer_memory.AnswerMemory(_MAX_ANSWER_BYTES)
        self.invariants = invariants.Invariants()
        self.rows_read: Callable[[], fleet_model.RowsRead]
        self.rows_read = lambda: fleet_model.RowsRead(clock(), 0, "")
        self.knows_suspects: Callable[[], bool] = lambda: True
        self.may_be_outdated: Callable[[], bool] = lambda: False
        self.is_doubted: Callable[[fleet_model.ReplicaKey], bool]
        self.is_doubted = lambda key: False
        self.on_attempt_failed: Callable[[fleet_model.ReplicaKey], object] = (
            lambda key: None
        )
        self.instances = _ASSUMED_INSTANCES
        self.started_at = clock()
        self.in_flight = 0
        self.isolated_runs = 0
        self.stops_at = math.inf
        self.refuses_requests = False
        self.moving: dict[tuple[str, str], set[run_lib.Run]] = {}
        self._time_limits: dict[run_lib.Run, asyncio.Timeout] = {}
        engine_gateway.on_leaving = self.record_departure

    async def handle(
        self, request: model.Request, connection: caller.Caller
    ) -> result.Result[None, codes.Fault]:
        """Runs a request and sends its answer to the caller.

        Returns:
            Nothing if an answer was sent; else the fault that has still to be
            sent to the caller.

        Raises:
            asyncio.CancelledError: The caller has disconnected.
            daemon.http.FaultError: The request's body is too large or did not
                arrive in time.
        """
        self.in_flight += 1
        run = None
        try:
            run = await self._admit(request, connection)
            strategy = STRATEGIES.get(run.route.kind.value)
            async with asyncio.timeout_at(run.ends_at) as time_limit:
                self._time_limits[run] = time_limit
                await strategy(self, run, connection)
        except run_lib.RefusedError as error:
            self._check_refusal(run, error.fault)
            self._record_offer(run, error.fault)
            return result.Failure(error.fault)
        except TimeoutError:
            if run is None:
                raise
            self.metrics.count("timeout", run.route.kind.value)
            code = (
                codes.OUTCOME_UNKNOWN
                if run.may_have_run
                else codes.DEADLINE_TOO_NEAR
            )
            self._record_offer(run, codes.fault(code, ""))
            return failures.failure(
                code,
                f"no answer before the timeout; {run.last_failure}",
            )
        except asyncio.CancelledError:
            if not connection.is_started:
                self._record_offer(
                    run, codes.fault(codes.DEADLINE_TOO_NEAR, "")
                )
            raise
        finally:
            self.in_flight -= 1
            if run is not None:
                self._time_limits.pop(run, None)
                self._end_move(run)
                if self.admission is not None and run.has_share:
                    self.admission.accounts.end(load.name_hash(run.account))
        return result.Success(None)

    def stop_at(self, stops_at: float) -> None:
        """Limits the time of all requests, those in flight included.

        Args:
            stops_at: Time by which they have their final answer, in seconds on
                the relay's clock.
        """
        self.stops_at = stops_at
        for run, time_limit in self._time_limits.items():
            if run.ends_at > stops_at:
                run.ends_at = stops_at
                time_limit.reschedule(stops_at)

    def _check_refusal(
        self, run: run_lib.Run | None, fault: codes.Fault
    ) -> None:
        """Checks that a fault that says that nothing ran is true.

        It may be sent only if it is proved that no engine has run the request.
        Requests that may run more than once need no proof.
        """
        if run is None or run.route.is_repeatable:
            return
        self.invariants.hold(
            "refusal_is_true",
            fault.code.outcome not in _NOT_RUN_OUTCOMES or not run.may_have_run,
            lambda: f"{run.request.id}: {fault} after attempts at {run.tried}",
        )

    def _record_offer(
        self, run: run_lib.Run | None, fault: codes.Fault | None = None
    ) -> None:
        """Counts a request that is admitted, or that a fault ends."""
        spec = self.engine_spec(run.service) if run else None
        self.offered.record_run(run, spec, fault, self.clock())

    def apply_configuration(self, routing: table.RoutingTable) -> None:
        """Puts a configuration into force."""
        self.routing = routing
        self.fleet.set_services(routing.configuration.services)

    def apply_settings(self, settings: RelaySettings) -> None:
        """Puts changed settings into force."""
        self.settings = settings
        for service_budget in self.budgets.values():
            service_budget.set_limits(
                settings.retry_ratio,
                settings.retry_extra,
                settings.retry_window_s,
            )

    def retry_budget(self, service: str) -> budget.RetryBudget:
        """Returns the retry budget of a service."""
        service_budget = self.budgets.get(service)
        if service_budget is None:
            service_budget = budget.RetryBudget(
                self.settings.retry_ratio,
                self.settings.retry_extra,
                self.settings.retry_window_s,
                self.started_at,
            )
            self.budgets[service] = service_budget
        service_budget.instances = self.instances
        return service_budget

    async def _admit(
        self, request: model.Request, connection: caller.Caller
    ) -> run_lib.Run:
        """Reads a request's body and returns the state of the admitted request.

        Raises:
            run_lib.RefusedError: No configuration is in force, no route
                matches, or the API key is not accepted.
            daemon.http.FaultError: The body is too large or did not arrive in
                time.
        """
        routing = self.routing
        limits = routing_model.Limits()
        if routing is not None:
            limits = routing.configuration.limits
        body = await connection.body(limits.body_bytes, _BODY_TIMEOUT_S)
        if self.refuses_requests:
            raise run_lib.refusal(
                codes.LEAVING,
                "the request arrived completely when the instance was already"
                " shutting down",
                LEAVING_RETRY_AFTER_S,
            )
        if routing is None or not self.knows_suspects():
            lacking = "suspects" if routing else "a configuration"
            raise run_lib.refusal(
                codes.NOT_CONFIGURED,
                f"this instance has not read {lacking} yet",
                _NOT_CONFIGURED_RETRY_AFTER_S,
            )
        route = self._permitted(routing.match(request.host, request.path))
        account = self._permitted(routing.account(route, request.key))
        priority = route.priority
        if account is not None and account.priority is not None:
            priority = account.priority
        service = table.pick_service(route, self.rng)
        self.retry_budget(service).count_request(self.clock())
        ends_at = min(
            request.deadline - _ANSWER_SLACK_S,
            request.arrived_at + route.timeout_s,
            self.stops_at,
        )
        account_name = account.name if account else ""
        content = b"\0".join((request.host.encode(), request.target, body))
        return run_lib.Run(
            request,
            route,
            service,
            account_name,
            min(_LOWEST_PRIORITY, max(0, priority)),
            body,
            quarantine.fingerprint(account_name, content),
            {
                part_id: quarantine.part_fingerprint(
                    account_name, part_id.encode("latin-1")
                )
                for part_id in request.prompt_parts
            },
            ends_at,
            routing.version,
        )

    def _permitted(self, outcome: result.Result[T, codes.Fault]) -> T:
        """Returns what the configuration has for a request.

        Raises:
            run_lib.RefusedError: It has nothing.
        """
        if not pipeline.is_successful(outcome):
            raise refusals.not_allowed(
                outcome.failure(), self.may_be_outdated()
            )
        return outcome.unwrap()

    def upstream_of(
        self, candidate: selection.Candidate
    ) -> crash_watch.Upstream:
        """Returns the upstream of a candidate, with all engines it needs."""
        replica = (
            self.fleet.replicas().get(candidate.key) if candidate.key else None
        )
        members: tuple[fleet_model.EngineRecord, ...] = (candidate.engine,)
        if replica is not None:
            members = tuple(engine for _, engine in replica.members)
        return crash_watch.Upstream(candidate.key, members)

    def running_by_model(self) -> dict[str, int]:
        """Returns the requests in flight by model, over all instances."""
        totals: dict[str, int] = {}
        for key, replica in self.fleet.replicas().items():
            running = self.replica_loads.usage(key).running
            totals[replica.model] = totals.get(replica.model, 0) + running
        return totals

    def engine_spec(self, service: str) -> routing_model.EngineSpec | None:
        """Returns the spec of a service's engines; None for a plain service."""
        if self.routing is None:
            return None
        service_spec = self.routing.configuration.services.get(service)
        return service_spec.engine if service_spec else None

    def _is_configured(self, service: str) -> bool:
        """Returns whether the configuration in force has a service."""
        return self.routing is not None and (
            service in self.routing.configuration.services
        )

    def select_upstream(self, run: run_lib.Run) -> selection.Candidate:
        """Returns the upstream of the next attempt.

        A request that may have run already is sent to an upstream without
        capacity too, and to one that is doubted only if there is no other.

        Raises:
            run_lib.RefusedError: No untried upstream can take the request, or
                it is suspected of crashing upstreams.
        """
        now = self.clock()
        verdict = self._check_suspicion(run, now)
        run.is_isolated = verdict is quarantine.Verdict.ALONE
        criteria = selection.SelectionCriteria(
            self.settings.availability_zone,
            run.request.prompt_tokens,
            run.route.objective_s,
            self.limits.own_id,
            self.instances,
        )
        available = self._available(run, criteria, verdict, now)
        if run.may_have_run:
            available = self.candidates.undoubted(available) or available
        chooser = selection.CHOOSERS.get(self.settings.chooser)
        chosen = chooser(available, criteria, self.rng)
        self._check_time_left(run, chosen, self.engine_spec(run.service), now)
        self.limits.take(chosen.engine)
        self._record_offer(run)
        self._end_move(run)
        if self.admission is not None and not run.has_share:
            run.has_share = True
            self.admission.accounts.begin(load.name_hash(run.account))
        return chosen

    def _available(
        self,
        run: run_lib.Run,
        criteria: selection.SelectionCriteria,
        verdict: quarantine.Verdict,
        now: float,
    ) -> list[selection.Candidate]:
        """Returns the upstreams that can take a request.

        Raises:
            run_lib.RefusedError: There are none.
        """
        is_alone = verdict is quarantine.Verdict.ALONE
        return self.candidates.available(
            run,
            self.engine_spec(run.service),
            self._is_configured(run.service),
            criteria,
            self.isolated_runs if is_alone else None,
            now,
        )

    def _check_time_left(
        self,
        run: run_lib.Run,
        chosen: selection.Candidate,
        spec: routing_model.EngineSpec | None,
        now: float,
    ) -> None:
        """Checks that a request can be expected to end before a planned stop.

        Raises:
            run_lib.RefusedError: It can't, and no engine has run it.
        """
        if run.may_have_run or self.stops_at == math.inf:
            return
        expected_s = chosen.expected_s
        model_spec = spec.model(run.request.model) if spec else None
        if spec is not None and model_spec is not None:
            expected_s += selection.answer_s(
                spec, model_spec, run.request.answer_tokens
            )
        if stopping.is_too_late(expected_s, now, self.stops_at):
            raise run_lib.refusal(
                codes.LEAVING,
                f"instance ends in {self.stops_at - now:.1f} s, and the request"
                f" would take {expected_s:.1f} s",
                LEAVING_RETRY_AFTER_S,
            )

    def _check_suspicion(
        self, run: run_lib.Run, now: float
    ) -> quarantine.Verdict:
        """Returns the quarantine's verdict if it lets a request run.

        Raises:
            run_lib.RefusedError: The request may not run.
        """
        parts = run.part_fingerprints
        verdict = self.quarantine.verdict(run.fingerprint, now, parts.values())
        if verdict in (quarantine.Verdict.RUN, quarantine.Verdict.ALONE):
            return verdict
        suspects = {
            f"fingerprint {run.fingerprint}": run.fingerprint,
            **{f"prompt part {part_id}": parts[part_id] for part_id in parts},
        }
        deaths_by_name = {
            name: self.quarantine.counted_deaths(suspect, now)
            for name, suspect in suspects.items()
        }
        name = max(suspects, key=lambda name: len(deaths_by_name[name]))
        deaths = deaths_by_name[name]
        raise run_lib.refusal(
            codes.CRASH_SUSPECT,
            f"{name} was running when {len(deaths)} upstreams ended:"
            f" {', '.join(sorted(deaths))}",
            _VERDICT_RETRY_AFTER_S
            if verdict is quarantine.Verdict.WAIT
            else _SUSPECT_RETRY_AFTER_S,
        )

    def forwarded_request(
        self,
        run: run_lib.Run,
        candidate: selection.Candidate,
        last_event_id: str,
    ) -> gateway.ForwardedRequest:
        """Returns the request to send to a candidate's engine."""
        request = run.request
        return gateway.ForwardedRequest(
            request.id,
            candidate.engine,
            request.method,
            request.target,
            request.host,
            request.headers,
            run.body,
            max(min(request.deadline, run.ends_at) - self.clock(), 0.001),
            run.account,
            run.priority,
            last_event_id,
            run.may_reuse and not self._retry_obstacle(run, 1),
        )

    def record_limit(
        self,
        run: run_lib.Run,
        candidate: selection.Candidate,
        max_rate: float | None,
    ) -> None:
        """Records the limit that an engine named in an answer, or that none.

        Args:
            run: State of the request.
            candidate: Upstream that answered.
            max_rate: Requests a second; None for no limit.
        """
        engine = candidate.engine
        limit = rate_limits.Limit(
            engine.id, engine.incarnation, max_rate, self.clock()
        )
        if self.limits.record(limit):
            self.metrics.count("limit_changed")
            logs.event(
                "upstream limited" if max_rate is not None else "limit ended",
                request=run.request.id,
                engine=engine.id,
                requests_per_s=max_rate,
                members=len(self.limits.members),
            )

    def record_load(
        self, candidate: selection.Candidate, answer: gateway.Answer
    ) -> None:
        """Records the load that an engine's answer states.

        It is more recent than the reports of peers. A 421 may come from
        another engine.
        """
        stated = answer.load
        if self.admission is None or stated is None or answer.status == 421:
            return
        # A request that was turned away is counted here until its end.
        running = stated.running + stated.waiting + answer.is_not_run
        self.metrics.count("load_stated")
        if candidate.key is not None:
            self.replica_loads.observe(candidate.key, running, self.clock())
        else:
            self.engine_loads.observe(
                candidate.engine.id, running, self.clock()
            )

    def expire_loads(self, now: float) -> None:
        """Forgets stale loads; `now` is in seconds on the relay's clock."""
        self.replica_loads.expire(now)
        self.engine_loads.expire(now)
        if self.admission is not None:
            self.admission.accounts.expire(now)
            age_s = admission.report_age_s(self.instances)
            self.replica_loads.observed_s = age_s
            self.engine_loads.observed_s = age_s

    def record_wait(
        self,
        request_id: str,
        engine: fleet_model.EngineRecord,
        wait_s: float | None,
    ) -> None:
        """Records that an engine asked this instance to wait, if it did.

        Args:
            request_id: ID of the request that it answered.
            engine: Engine that answered.
            wait_s: Seconds for which it wants no requests; None for no wait.
        """
        if not wait_s:
            return
        if self.waits.record(engine, wait_s, self.clock()):
            self.metrics.count("engine_wait")
            logs.event(
                "engine asks to wait",
                request=request_id,
                engine=engine.id,
                incarnation=engine.incarnation,
                wait_s=wait_s,
            )

    def forget_ended_waits(self) -> None:
        """Forgets waits that have ended."""
        for engine_id in self.waits.take_ended(
            self.fleet.engines, self.clock()
        ):
            logs.event("engine wait ended", engine=engine_id)

    def record_departure(
        self, departure: departures.Departure, source: str
    ) -> None:
        """Records that an engine said that it leaves.

        Args:
            departure: The engine that said so.
            source: Who heard it, for the log: the request that it answered,
                the call to it, or the peer that passed it on.
        """
        if self.fleet.record_departure(departure):
            self.metrics.count("engine_leaves")
            logs.event(
                "engine leaves",
                engine=departure.engine_id,
                incarnation=departure.incarnation,
                source=source,
            )

    def is_bound(self, run: run_lib.Run, is_counted: bool) -> bool:
        """Returns whether a running stream can't go on at another upstream.

        Args:
            run: State of the request.
            is_counted: Whether its present attempt counts against the route's
                `max_attempts` if it ends now.
        """
        counted_attempts = run.counted_attempts + is_counted
        return not run.route.is_resumable or bool(
            self._retry_obstacle(run, counted_attempts)
        )

    def reserve_move(self, run: run_lib.Run, needs_room: bool = True) -> bool:
        """Takes the retry with which a running stream goes on elsewhere.

        Args:
            run: State of the request.
            needs_room: Whether an upstream needs a free slot to take it over.

        Returns:
            Whether an upstream that is not doubted could take over the stream,
            beside those whose moves are reserved.
        """
        now = self.clock()
        criteria = selection.SelectionCriteria(
            self.settings.availability_zone,
            run.request.prompt_tokens,
            run.route.objective_s,
            self.limits.own_id,
            self.instances,
        )
        try:
            verdict = self._check_suspicion(run, now)
            available = self._available(run, criteria, verdict, now)
        except run_lib.RefusedError:
            return False
        undoubted = self.candidates.undoubted(available)
        key = (run.service, run.request.model)
        moving = self.moving.get(key, set())
        free_slots = sum(
            max(0, candidate.slots - candidate.usage.running)
            for candidate in undoubted
        )
        has_room = free_slots > len(moving - {run})
        if not undoubted or (needs_room and not has_room):
            return False
        if not run.has_reserved_retry:
            run.has_reserved_retry = self.retry_budget(run.service).spend(now)
        if run.has_reserved_retry:
            self.moving.setdefault(key, set()).add(run)
        return run.has_reserved_retry

    def may_return(self, run: run_lib.Run) -> bool:
        """Returns whether a replica that a stream left may still go on."""
        for key, replica in self.fleet.replicas().items():
            suspension = self.fleet.suspended.get(key)
            is_given_up = (
                suspension and suspension.silent_at is None
            ) or self.fleet.is_evacuated(replica.members[0][1])
            if key.replica in run.left and not is_given_up:
                return True
        return False

    def _end_move(self, run: run_lib.Run) -> None:
        """Frees the room that was reserved for a request's move."""
        key = (run.service, run.request.model)
        moving = self.moving.get(key)
        if moving is None:
            return
        moving.discard(run)
        if not moving:
            del self.moving[key]

    def _retry_obstacle(self, run: run_lib.Run, counted_attempts: int) -> str:
        """Returns the short name of why a request may not be retried.

        It is empty if the request may be.

        Args:
            run: State of the request.
            counted_attempts: Attempts that count against the route's
                `max_attempts`.
        """
        now = self.clock()
        try:
            self._check_suspicion(run, now)
        except run_lib.RefusedError:
            return "crash_suspect"
        if run.is_isolated and run.may_have_run:
            # Whether it has ended its upstream is not known yet.
            return "crash_suspect"
        if len(run.tried) >= _MAX_SENDS:
            return "most_sends"
        if counted_attempts >= run.route.max_attempts:
            return "attempts"
        service_budget = self.retry_budget(run.service)
        if not run.has_reserved_retry and not service_budget.has_left(now):
            return "budget"
        return ""

    def may_retry(self, run: run_lib.Run, reason: str) -> bool:
        """Returns whether a request may be retried.

        If so, takes the retry from the retry budget.

        Args:
            run: State of the request.
            reason: Short name of the failure, for counters and logs.
        """
        obstacle = self._retry_obstacle(run, run.counted_attempts)
        if obstacle:
            self.metrics.count("not_repeated", obstacle)
            return False
        service_budget = self.retry_budget(run.service)
        if not run.has_reserved_retry:
            service_budget.spend(self.clock())
        run.has_reserved_retry = False
        self.metrics.count("repeated", reason)
        usage = service_budget.usage(self.clock())
        logs.decision(
            "repeat",
            request=run.request.id,
            fingerprint=run.fingerprint,
            reason=reason,
            after=run.last_failure,
            tried=run.tried,
            counted=run.counted_attempts,
            max_attempts=run.route.max_attempts,
            budget_used=usage.retries,
            budget_limit=round(usage.limit, 1),
        )
        return True
