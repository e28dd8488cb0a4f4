"""Takes a request from its arrival to its end."""

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import Awaitable, Callable, Iterator
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
from tamarackpier.fleet import beliefs
from tamarackpier.fleet import model as fleet_model
from tamarackpier.routing import model as routing_model
from tamarackpier.routing import table
from tamarackpier.traffic import (
    budget,
    caller,
    choose,
    events,
    flight,
    load,
    model,
    score,
)
from tamarackpier.upstream import gateway

__all__ = ["RefusedError", "Relay", "RelaySettings"]

_MOST_SENDS = 4  # Of one request, whatever its route allows.
_BODY_TIMEOUT_S = 10.0
_KEPT_BODY_BYTES = 1 << 18  # Answers up to this size are passed on whole.
_DEFAULT_PRIORITY = 5
_LOWEST_PRIORITY = 9
_ANSWER_SLACK_S = 0.02  # To tell a caller before it stops waiting.
_HEDGE_SHARE = 0.7  # Of the objective, before a second engine is asked.
_FULL_RETRY_S = 0.3
_ASSUMED_INSTANCES = 16  # Sharing the retry budget, before any is heard of.
_RESUME_WAIT_S = 1.7  # Callers give a stream up after 2 s of silence.
_RESUME_POLL_S = 0.05
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


class RefusedError(Exception):
    """Ends a request with an answer of our own.

    Attributes:
        fault: Why.
    """

    def __init__(self, fault: codes.Fault) -> None:
        super().__init__(str(fault))
        self.fault = fault


@dataclasses.dataclass(eq=False)
class Run:
    """A request on its way.

    Attributes:
        request: The request.
        route: Its route.
        service: The service that runs it.
        account: What engines are told of the caller.
        priority: 0 is the most urgent.
        body: Its body.
        ends_at: When it gets its final answer at the latest.
        version: Version of the configuration that decided.
        tried: Upstreams that it was sent to.
        counted: Of these, the ones that may have run it and still live.
        unproved: Sends of which it is not proved that they did not run.
        has_begun: Whether the last attempt at a stream brought any event.
        last: What the last attempt came to, for the log.
    """

    request: model.Request
    route: routing_model.Route
    service: str
    account: str
    priority: int
    body: bytes
    ends_at: float
    version: int
    tried: list[str] = dataclasses.field(default_factory=list)
    counted: int = 0
    unproved: int = 0
    has_begun: bool = False
    last: str = ""

    @property
    def may_have_run(self) -> bool:
        """Whether any engine may have run it."""
        return self.unproved > 0


T = TypeVar("T")
Strategy = Callable[["Relay", Run, caller.Caller], Awaitable[None]]
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
        fleet: beliefs.Fleet,
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
        self.replica_loads: load.Loads[fleet_model.Key] = load.Loads()
        self.engine_loads: load.Loads[str] = load.Loads()
        self.scores = score.Scores()
        self.replica_scores = score.Scores()
        self.budgets: dict[str, budget.WindowBudget] = {}
        self.invariants = invariants.Invariants()
        self.rows_read_at: Callable[[], float] = clock
        self.on_trouble: Callable[[fleet_model.Key], None] = lambda key: None
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
        except RefusedError as error:
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

    def _check_refusal(self, run: Run | None, fault: codes.Fault) -> None:
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
        self.fleet.use_services(routing.configuration.services)

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

    async def _admit(self, request: model.Request, to: caller.Caller) -> Run:
        routing = self.routing
        limits = routing_model.Limits()
        if routing is not None:
            limits = routing.configuration.limits
        body = await to.body(limits.body_bytes, _BODY_TIMEOUT_S)
        if routing is None:
            raise _refused(
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
        return Run(
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
        now = self.clock()
        found: dict[str, int] = {}
        for key, replica in self.fleet.replicas().items():
            running = self.replica_loads.usage(key, now).running
            found[replica.model] = found.get(replica.model, 0) + running
        return found

    def spec(self, service: str) -> routing_model.EngineSpec | None:
        """Returns how a service's engines work; None for a plain one."""
        if self.routing is None:
            return None
        found = self.routing.configuration.services.get(service)
        return found.engine if found else None

    def pick(self, run: Run) -> choose.Option:
        """Returns where to send the next attempt.

        Raises:
            RefusedError: No engine can take it.
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
                lambda key: self.replica_loads.usage(key, now),
                lambda key: self.replica_scores.latency_s(
                    key.replica, 1.0, now
                ),
                wish,
            )
        else:
            options = choose.engine_options(
                self.fleet.of_service(run.service),
                lambda name: self.engine_loads.usage(name, now),
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
            raise _refused(
                codes.UPSTREAMS_FULL,
                _load_of(untried),
                self._return_s(),
            )
        code = codes.NO_REPLICA if spec is not None else codes.NO_UPSTREAM
        raise _refused(
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
        self, run: Run, option: choose.Option, last_event_id: str
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
        self, run: Run, option: choose.Option, last_event_id: str
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

    def may_repeat(self, run: Run, reason: str) -> bool:
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


def _refused(
    code: codes.ResultCode, detail: str, retry_after_s: float
) -> RefusedError:
    return RefusedError(codes.fault(code, detail, retry_after_s=retry_after_s))


def _load_of(options: list[choose.Option]) -> str:
    """Returns how full each of some upstreams is."""
    loads = ", ".join(
        f"{each.usage.running}/{each.slots}" for each in options[:12]
    )
    return f"all {len(options)} are full or would be late: {loads}"


def _value(found: result.Result[T, codes.Fault]) -> T:
    if not pipeline.is_successful(found):
        raise RefusedError(found.failure())
    return found.unwrap()


def _check_answer(answer: gateway.Answer) -> str:
    """Returns why an answer can't be the engine's own; empty if it can."""
    if answer.is_not_run:
        return ""
    if not answer.is_own:
        return "the answer names another request"
    if answer.status < 300 and not answer.is_proved:
        return "the answer bears no proof"
    if any(name == b"content-encoding" for name, _ in answer.headers):
        return "the answer is encoded"
    return ""


class _AttemptFailedError(Exception):
    """An attempt that gives the caller nothing.

    Attributes:
        reason: For counters.
        is_not_run: Whether it is proved that the engine did not run it.
    """

    def __init__(self, reason: str, detail: str, is_not_run: bool) -> None:
        super().__init__(f"{reason}: {detail}")
        self.reason = reason
        self.is_not_run = is_not_run


@dataclasses.dataclass(frozen=True)
class _Whole:
    """An answer that was read to its end."""

    status: int
    headers: gateway.Headers
    body: bytes


async def _send(
    relay: Relay, run: Run, option: choose.Option, last_event_id: str = ""
) -> gateway.Answer:
    """Sends an attempt; returns an answer that is the engine's own."""
    relay.invariants.hold(
        "sent_once",
        run.route.is_repeatable or not run.may_have_run,
        lambda: f"{run.request.id} sent again after {run.tried}",
    )
    run.tried.append(option.upstream)
    run.unproved += 1
    relay.metrics.count("attempt", run.route.kind.value)
    relay.log_sent(run, option, last_event_id)
    try:
        answer = await relay.gateway.send(
            relay.forward(run, option, last_event_id)
        )
    except gateway.AnswerBrokenError as error:
        raise _attempt_failed(
            run,
            "no_answer" if error.is_sent else "no_connection",
            str(error),
            not error.is_sent,
        ) from error
    problem = _check_answer(answer)
    if problem:
        answer.close()
        raise _attempt_failed(run, "bad_answer", problem, False)
    if answer.is_not_run:
        answer.close()
        detail = f"the engine answered {answer.status}"
        raise _attempt_failed(run, "not_run", detail, True)
    return answer


def _attempt_failed(
    run: Run, reason: str, detail: str, is_not_run: bool
) -> _AttemptFailedError:
    """Returns the error of an attempt that got no answer of the engine's."""
    if is_not_run:
        run.unproved -= 1
    return _AttemptFailedError(reason, detail, is_not_run)


async def _whole_answer(
    relay: Relay, run: Run, option: choose.Option
) -> _Whole:
    """Runs one attempt of a plain request."""
    name = option.engine.id
    started_at = relay.clock()
    relay.engine_loads.begin(name)
    try:
        answer = await _send(relay, run, option)
        try:
            parts = []
            while data := await answer.read():
                parts.append(data)
        except gateway.AnswerBrokenError as error:
            raise _AttemptFailedError("cut_off", str(error), False) from error
        finally:
            answer.close()
        now = relay.clock()
        if answer.status >= 500:
            relay.scores.fail(name, now)
        else:
            relay.scores.succeed(name, now - started_at, now)
        return _Whole(answer.status, answer.headers, b"".join(parts))
    except _AttemptFailedError as error:
        run.last = f"{name}: {error}"
        relay.scores.fail(name, relay.clock())
        raise
    finally:
        relay.engine_loads.end(name)


async def _deliver(to: caller.Caller, whole: _Whole) -> None:
    headers = [each for each in whole.headers if each[0] != b"content-length"]
    headers.append((b"content-length", b"%d" % len(whole.body)))
    await to.start(whole.status, tuple(headers))
    await to.write(whole.body)
    await to.end()


@STRATEGIES.register(routing_model.RouteKind.ONCE.value)
async def _run_once(relay: Relay, run: Run, to: caller.Caller) -> None:
    """Sends a request again only where it is proved that it has not run."""
    while True:
        option = relay.pick(run)
        try:
            whole = await _whole_answer(relay, run, option)
            break
        except _AttemptFailedError as error:
            if run.may_have_run:
                raise RefusedError(
                    codes.fault(codes.OUTCOME_UNKNOWN, run.last)
                ) from error
            if not relay.may_repeat(run, error.reason):
                raise _refused(
                    codes.UPSTREAM_REFUSED, run.last, _FULL_RETRY_S
                ) from error
    await _deliver(to, whole)


@STRATEGIES.register(routing_model.RouteKind.IDEMPOTENT.value)
async def _run_idempotent(relay: Relay, run: Run, to: caller.Caller) -> None:
    """Asks a second engine when the first fails or is slow."""
    tasks: set[asyncio.Task[_Whole]] = set()
    failed: _Whole | None = None
    error: _AttemptFailedError | None = None
    patience_s: float | None = run.route.objective_s * _HEDGE_SHARE
    try:
        tasks.add(_attempt(relay, run))
        while tasks:
            done, _ = await asyncio.wait(
                tasks,
                timeout=patience_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            reason = "slow"
            for task in done:
                tasks.discard(task)
                try:
                    whole = task.result()
                except _AttemptFailedError as raised:
                    error = raised
                    reason = raised.reason
                    if raised.is_not_run:
                        run.counted -= 1
                    continue
                if whole.status < 500:
                    await _deliver(to, whole)
                    return
                failed = whole
                reason = "engine_failed"
            patience_s = None
            with contextlib.suppress(RefusedError):
                if relay.may_repeat(run, reason):
                    tasks.add(_attempt(relay, run))
        if failed is not None:
            await _deliver(to, failed)
            return
    finally:
        for task in tasks:
            task.cancel()
    if error is not None and error.is_not_run and not run.counted:
        raise _refused(codes.UPSTREAM_REFUSED, run.last, _FULL_RETRY_S)
    raise RefusedError(codes.fault(codes.UPSTREAM_FAILED, run.last))


def _attempt(relay: Relay, run: Run) -> "asyncio.Task[_Whole]":
    option = relay.pick(run)
    run.counted += 1
    return asyncio.ensure_future(_whole_answer(relay, run, option))


@STRATEGIES.register(routing_model.RouteKind.STREAM.value)
async def _run_stream(relay: Relay, run: Run, to: caller.Caller) -> None:
    """Passes on a stream, going on at another replica where that is allowed."""
    stream = events.EventStream(run.request.last_event_id)
    while True:
        option = await _pick_for_stream(relay, run, to)
        try:
            await _stream_attempt(relay, run, option, stream, to)
            return
        except _AttemptFailedError as error:
            run.last = f"{option.engine.id}: {error}"
            await _after_failed_stream(relay, run, error, to)
            stream.resume()


async def _pick_for_stream(
    relay: Relay, run: Run, to: caller.Caller
) -> choose.Option:
    """Returns where a stream goes on; one that began waits for a replica."""
    give_up_at = relay.clock() + _RESUME_WAIT_S
    while True:
        try:
            return relay.pick(run)
        except RefusedError as error:
            if not to.is_started and not run.may_have_run:
                raise
            if relay.clock() >= give_up_at:
                raise RefusedError(
                    codes.fault(codes.STREAM_INCOMPLETE, str(error))
                ) from error
        await asyncio.sleep(_RESUME_POLL_S)


async def _after_failed_stream(
    relay: Relay, run: Run, error: _AttemptFailedError, to: caller.Caller
) -> None:
    """Returns if the stream may go on elsewhere.

    Raises:
        RefusedError: It may not.
    """
    # A replica that stands still has not begun what it was sent since.
    has_stood_still = error.reason == "moved" and not run.has_begun
    if not error.is_not_run and not has_stood_still:
        run.counted += 1
    allowed = run.route.is_resumable or error.is_not_run
    if allowed and relay.may_repeat(run, error.reason):
        return
    if to.is_started or run.may_have_run:
        raise RefusedError(
            codes.fault(codes.STREAM_INCOMPLETE, run.last)
        ) from error
    raise _refused(codes.UPSTREAM_REFUSED, run.last, _FULL_RETRY_S) from error


@contextlib.contextmanager
def _flight(
    relay: Relay, run: Run, option: choose.Option, scope: asyncio.Timeout
) -> Iterator[flight.Flight]:
    """Counts an attempt of a stream in and out."""
    if option.key is None:
        raise _AttemptFailedError(
            "no_replica", "the engine has no replica", True
        )
    spec = relay.spec(run.service)
    kind = spec.model(run.request.model) if spec else None
    reading_s = pass_s = 0.0
    if spec is not None and kind is not None:
        reading = option.usage.reading_tokens + run.request.prompt_tokens
        reading_s = kind.pace * reading / spec.read_tokens_per_s
        pass_s = choose.pass_s(spec, kind)
    found = flight.Flight(
        run.request.id,
        option.key,
        option.engine.id,
        scope,
        relay.clock(),
        pass_s,
        reading_s,
    )
    relay.flights.add(found)
    try:
        yield found
    finally:
        relay.flights.remove(found)


async def _stream_attempt(
    relay: Relay,
    run: Run,
    option: choose.Option,
    stream: events.EventStream,
    to: caller.Caller,
) -> None:
    """Runs one attempt of a stream to the end of the answer."""
    try:
        async with asyncio.timeout(None) as scope:
            with _flight(relay, run, option, scope) as found:
                await _pass_on(relay, run, option, stream, to, found)
    except TimeoutError:
        if not found.moved:
            raise
        raise _AttemptFailedError("moved", found.moved, False) from None


async def _pass_on(
    relay: Relay,
    run: Run,
    option: choose.Option,
    stream: events.EventStream,
    to: caller.Caller,
    found: flight.Flight,
) -> None:
    key = found.key
    unread = run.request.prompt_tokens
    run.has_begun = False
    sent_at = relay.clock()
    relay.replica_loads.begin(key, unread)
    answer = None
    try:
        answer = await _send(relay, run, option, stream.last_id)
        if answer.status >= 300:
            await _pass_on_failure(relay, run, answer, to)
            return
        while True:
            found.waiting_since = relay.clock()
            data = await answer.read()
            now = relay.clock()
            relay.flights.moved(key, now)
            found.waiting_since = None
            run.has_begun = run.has_begun or bool(data)
            if unread and data:
                relay.replica_loads.begun(key, unread)
                unread = 0
                relay.metrics.record("first_event", now - sent_at)
                slowness = (now - sent_at) / max(option.expected_s, 1e-3)
                relay.replica_scores.succeed(key.replica, slowness, now)
            await _write(stream, data, answer, to)
            if not data:
                return
    except gateway.AnswerBrokenError as error:
        relay.on_trouble(key)
        raise _AttemptFailedError("cut_off", str(error), False) from error
    except events.StreamGapError as error:
        raise _AttemptFailedError("gap", str(error), False) from error
    except _AttemptFailedError as error:
        if error.reason != "bad_answer":
            relay.on_trouble(key)
        raise
    finally:
        relay.replica_loads.end(key, unread)
        if answer is not None:
            answer.close()


async def _write(
    stream: events.EventStream,
    data: bytes,
    answer: gateway.Answer,
    to: caller.Caller,
) -> None:
    """Passes on what an engine sent; no data marks the end."""
    ready = stream.feed(data) if data else stream.rest()
    if ready or not data:
        if not to.is_started:
            # Ours is made up of whole events, however the engine framed its.
            headers = [
                each for each in answer.headers if each[0] != b"content-length"
            ]
            await to.start(answer.status, tuple(headers))
        if ready:
            await to.write(ready)
    if not data:
        await to.end()


async def _pass_on_failure(
    relay: Relay, run: Run, answer: gateway.Answer, to: caller.Caller
) -> None:
    """Passes on an engine's own failure, or lets another engine try."""
    parts = []
    while data := await answer.read():
        parts.append(data)
    whole = _Whole(answer.status, answer.headers, b"".join(parts))
    can_repeat = run.route.is_resumable and (
        run.counted + 1 < run.route.max_attempts
    )
    if answer.status >= 500 and can_repeat or to.is_started:
        raise _AttemptFailedError(
            "engine_failed", f"HTTP {answer.status}", False
        )
    await _deliver(to, whole)
