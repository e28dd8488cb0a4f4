"""Takes a request from its arrival to its end."""

import asyncio
import dataclasses
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
    registry,
)
from tamarackpier.fleet import fleet_view
from tamarackpier.fleet import model as fleet_model
from tamarackpier.routing import model as routing_model
from tamarackpier.routing import table
from tamarackpier.traffic import (
    budget,
    caller,
    choose,
    flight,
    load,
    model,
    score,
)
from tamarackpier.traffic import run as run_lib
from tamarackpier.upstream import gateway

__all__ = ["FULL_RETRY_S", "STRATEGIES", "Relay", "RelaySettings"]

_MOST_SENDS = 4  # Of one request, whatever its route allows.
_BODY_TIMEOUT_S = 10.0
_LOWEST_PRIORITY = 9
_ANSWER_SLACK_S = 0.02  # To tell a caller before it stops waiting.
FULL_RETRY_S = 0.3
_ASSUMED_INSTANCES = 16  # Sharing the retry budget, before any is heard of.
_LEAST_RETURN_S = 0.7
_MOST_RETURN_S = 1.8
_NEW_INSTANCE_RETRY_S = 0.3


@dataclasses.dataclass(frozen=True)
class RelaySettings:
    """What bounds the requests of this instance.

    Attributes:
        availability_zone: Its availability zone.
        retry_ratio: Repeats for each request of a service.
        retry_extra: Repeats beside, over all instances.
        retry_window_s: Window of both.
        chooser: Name of the choice of upstreams.
    """

    availability_zone: str
    retry_ratio: float
    retry_extra: float
    retry_window_s: float
    chooser: str = "soonest"


T = TypeVar("T")
Strategy = Callable[["Relay", run_lib.Run, caller.Caller], Awaitable[None]]
STRATEGIES: registry.Registry[Strategy] = registry.Registry("strategy")


class Relay:
    """Runs requests against engines.

    Attributes:
        settings: What bounds them.
        fleet: What is known of engines.
        gateway: Calls engines.
        metrics: Counts and times.
        routing: The configuration in force; None before there is one.
        flights: Streams under way.
        replica_loads: Requests by replica.
        engine_loads: Requests by engine of plain services.
        scores: How engines of plain services answer.
        replica_scores: How replicas answer.
        budgets: Repeats by service.
        invariants: Checks of what must always hold.
        rows_read_at: Returns when the engines' rows were last read.
        on_trouble: Called with a replica whose lead failed an attempt.
        in_flight: Requests that have no final answer yet.
    """

    def __init__(
        self,
        settings: RelaySettings,
        fleet: fleet_view.FleetView,
        engines: gateway.Gateway,
        counts: metrics.Metrics,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self.settings = settings
        self.fleet = fleet
        self.gateway = engines
        self.metrics = counts
        self.rng = rng
        self.clock = clock
        self.routing: table.Routing | None = None
        self.flights = flight.Flights()
        self.replica_loads: load.Loads[fleet_model.ReplicaKey] = load.Loads()
        self.engine_loads: load.Loads[str] = load.Loads()
        self.scores = score.Scores()
        self.replica_scores = score.Scores()
        self.budgets: dict[str, budget.WindowBudget] = {}
        self.invariants = invariants.Invariants()
        self.rows_read_at: Callable[[], float] = clock
        self.on_trouble: Callable[[fleet_model.ReplicaKey], object] = (
            lambda key: None
        )
        self.instances = _ASSUMED_INSTANCES
        self.started_at = clock()
        self.in_flight = 0

    async def handle(
        self, request: model.Request, to: caller.Caller
    ) -> result.Result[None, codes.Fault]:
        """Answers a request; returns the fault that is still to be told.

        Raises:
            asyncio.CancelledError: The caller has gone.
        """
        self.in_flight += 1
        run = None
        try:
            run = await self._admit(request, to)
            strategy = STRATEGIES.get(run.route.kind.value)
            async with asyncio.timeout_at(run.ends_at):
                await strategy(self, run, to)
        except run_lib.RefusedError as error:
            self._check_refusal(run, error.fault)
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
            return failures.failure(code, f"no answer in time; {run.last}")
        finally:
            self.in_flight -= 1
        return result.Success(None)

    def _check_refusal(
        self, run: run_lib.Run | None, fault: codes.Fault
    ) -> None:
        """A status that says "not run" is told only where that is proved."""
        if run is None or run.route.is_repeatable:
            return
        self.invariants.hold(
            "refusal_is_true",
            fault.code.outcome is not codes.Outcome.NOT_RUN
            or not run.may_have_run,
            lambda: f"{run.request.id}: {fault} after {run.tried}",
        )

    def use(self, routing: table.Routing) -> None:
        """Takes a configuration into force."""
        self.routing = routing
        self.fleet.set_services(routing.configuration.services)

    def budget(self, service: str) -> budget.WindowBudget:
        """Returns the repeats allowed to a service."""
        found = self.budgets.get(service)
        if found is None:
            found = budget.WindowBudget(
                self.settings.retry_ratio,
                self.settings.retry_extra,
                self.settings.retry_window_s,
                self.started_at,
            )
            self.budgets[service] = found
        found.instances = self.instances
        return found

    async def _admit(
        self, request: model.Request, to: caller.Caller
    ) -> run_lib.Run:
        routing = self.routing
        limits = routing_model.Limits()
        if routing is not None:
            limits = routing.configuration.limits
        body = await to.body(limits.body_bytes, _BODY_TIMEOUT_S)
        if routing is None:
            raise run_lib.refused(
                codes.NOT_CONFIGURED,
                "no configuration has been read yet",
                _NEW_INSTANCE_RETRY_S,
            )
        route = _value(routing.match(request.host, request.path))
        account = _value(routing.account(route, request.key))
        priority = route.priority
        if account is not None and account.priority is not None:
            priority = account.priority
        service = table.pick_service(route, self.rng)
        self.budget(service).request(self.clock())
        ends_at = min(
            request.deadline - _ANSWER_SLACK_S,
            request.arrived_at + route.timeout_s,
        )
        return run_lib.Run(
            request,
            route,
            service,
            account.name if account else "",
            min(_LOWEST_PRIORITY, max(0, priority)),
            body,
            ends_at,
            routing.version,
        )

    def running_by_model(self) -> dict[str, int]:
        """Returns the requests that run at replicas, over all instances."""
        found: dict[str, int] = {}
        for key, replica in self.fleet.replicas().items():
            running = self.replica_loads.usage(key).running
            found[replica.model] = found.get(replica.model, 0) + running
        return found

    def spec(self, service: str) -> routing_model.EngineSpec | None:
        """Returns how a service's engines work; None for a plain one."""
        if self.routing is None:
            return None
        found = self.routing.configuration.services.get(service)
        return found.engine if found else None

    def pick(self, run: run_lib.Run) -> choose.Option:
        """Returns where to send the next attempt.

        Raises:
            run_lib.RefusedError: No engine can take it.
        """
        now = self.clock()
        request = run.request
        wish = choose.Wish(
            self.settings.availability_zone,
            request.prompt_tokens,
            run.route.objective_s,
        )
        spec = self.spec(run.service)
        if spec is not None and request.model:
            options = choose.replica_options(
                self.fleet.serving(run.service, request.model),
                spec,
                lambda key: self.replica_loads.usage(key),
                lambda key: self.replica_scores.latency_s(
                    key.replica, 1.0, now
                ),
                wish,
            )
        else:
            options = choose.engine_options(
                self.fleet.engines_of_service(run.service),
                lambda name: self.engine_loads.usage(name),
                lambda name: self.scores.latency_s(
                    name, run.route.objective_s / 4, now
                ),
                lambda name: self.scores.failing(name, now),
            )
        untried = [each for each in options if each.upstream not in run.tried]
        roomy = [each for each in untried if each.has_room or run.may_have_run]
        if roomy:
            chooser = choose.CHOOSERS.get(self.settings.chooser)
            return chooser(roomy, wish, self.rng)
        if untried:
            raise run_lib.refused(
                codes.UPSTREAMS_FULL,
                _load_of(untried),
                self._return_s(),
            )
        code = codes.NO_REPLICA if spec is not None else codes.NO_UPSTREAM
        raise run_lib.refused(
            code,
            f"{len(options)} known, {len(run.tried)} tried",
            self._return_s(),
        )

    def _return_s(self) -> float:
        """Returns when a refused caller should come back.

        A replica that was lost stands again after one to two seconds; the
        spread keeps those that were refused together from coming together.
        """
        return self.rng.uniform(_LEAST_RETURN_S, _MOST_RETURN_S)

    def forward(
        self, run: run_lib.Run, option: choose.Option, last_event_id: str
    ) -> gateway.Forward:
        """Returns what is sent to an engine."""
        request = run.request
        left_s = min(request.deadline, run.ends_at) - self.clock()
        return gateway.Forward(
            request.id,
            option.engine,
            request.method,
            request.target,
            request.host,
            request.headers,
            run.body,
            max(left_s, 0.001),
            run.account,
            run.priority,
            last_event_id,
        )

    def log_sent(
        self, run: run_lib.Run, option: choose.Option, last_event_id: str
    ) -> None:
        """Logs an attempt with what decided it."""
        logs.decision(
            "sent",
            request=run.request.id,
            engine=option.engine.id,
            replica=option.key.replica if option.key else "",
            expected_s=round(option.expected_s, 4),
            running=option.usage.running,
            after=last_event_id,
            version=run.version,
            rows_age_s=round(self.clock() - self.rows_read_at(), 3),
            left_s=round(run.ends_at - self.clock(), 3),
        )

    def may_repeat(self, run: run_lib.Run, reason: str) -> bool:
        """Decides whether a request may be sent once more, and counts it."""
        if len(run.tried) >= _MOST_SENDS:
            self.metrics.count("not_repeated", "most_sends")
            return False
        if run.counted >= run.route.max_attempts:
            self.metrics.count("not_repeated", "attempts")
            return False
        if not self.budget(run.service).spend(self.clock()):
            self.metrics.count("not_repeated", "budget")
            return False
        self.metrics.count("repeated", reason)
        logs.decision(
            "repeat",
            request=run.request.id,
            reason=reason,
            after=run.last,
            tried=run.tried,
        )
        return True


def _load_of(options: list[choose.Option]) -> str:
    """Returns how full each of some upstreams is."""
    loads = ", ".join(
        f"{each.usage.running}/{each.slots}" for each in options[:12]
    )
    return f"all {len(options)} are full or would be late: {loads}"


def _value(found: result.Result[T, codes.Fault]) -> T:
    if not pipeline.is_successful(found):
        raise run_lib.RefusedError(found.failure())
    return found.unwrap()
