"""Strategy for streams, which may resume at another replica."""

import asyncio
import contextlib
from collections.abc import Iterator

from tamarackpier import codes, logs
from tamarackpier.fleet import model as fleet_model
from tamarackpier.routing import model as routing_model
from tamarackpier.traffic import (
    attempt,
    caller,
    events,
    relay_logs,
    selection,
    stream_attempts,
)
from tamarackpier.traffic import relay as relay_lib
from tamarackpier.traffic import run as run_lib
from tamarackpier.upstream import gateway

__all__: list[str] = []

# Callers abandon a stream after this silence at the earliest.
_LEAST_CALLER_PATIENCE_S = 2.0
# Multiples of a route's objectives after which callers abandon a stream if that
# is longer.
_PATIENCE_OBJECTIVES = 4.0
_PATIENCE_GAP_OBJECTIVES = 8.0
# Part of that time which passes before a lost upstream is noticed.
_NOTICE_S = 0.3
_RESUME_POLL_S = 0.05
# Reason of a failed attempt that no engine has begun to run.
_MOVED_BEFORE_START = "moved_before_start"


@relay_lib.STRATEGIES.register(routing_model.RouteKind.STREAM.value)
async def _run_stream(
    relay: relay_lib.Relay, run: run_lib.Run, connection: caller.Caller
) -> None:
    """Runs a stream; resumes it at another upstream if the route allows it."""
    stream = events.EventStream(run.request.last_event_id)
    while True:
        candidate = await _select_upstream(relay, run, connection)
        try:
            await _run_attempt(relay, run, candidate, stream, connection)
            return
        except run_lib.AttemptFailedError as error:
            run.last_failure = f"{candidate.engine.id}: {error}"
            relay_logs.log_failed_attempt(relay, run, candidate, error)
            await _check_resume(relay, run, error, connection)
            stream.resume()


async def _select_upstream(
    relay: relay_lib.Relay, run: run_lib.Run, connection: caller.Caller
) -> selection.Candidate:
    """Returns the upstream at which a stream starts or resumes.

    A stream that has started, or that may have run, waits for an upstream that
    can take it as long as its caller does, unless it is suspected of crashing
    upstreams. One that was moved waits to its end while a replica that it left
    may go on, as it would have waited there.

    Raises:
        run_lib.RefusedError: No upstream can take the stream, or none could
            before the wait ended.
    """
    give_up_at = relay.clock() + _resume_timeout_s(run.route)
    while True:
        try:
            return relay.select_upstream(run)
        except run_lib.RefusedError as error:
            if not connection.is_started and not run.may_have_run:
                raise
            is_suspect = error.fault.code is codes.CRASH_SUSPECT
            is_over = relay.clock() >= give_up_at
            if is_suspect or (is_over and not relay.may_return(run)):
                raise run_lib.RefusedError(
                    codes.fault(codes.STREAM_INCOMPLETE, str(error))
                ) from error
        await asyncio.sleep(_RESUME_POLL_S)


def _resume_timeout_s(route: routing_model.Route) -> float:
    """Returns how long a broken stream waits for an upstream, in seconds."""
    patience_s = max(
        _LEAST_CALLER_PATIENCE_S,
        _PATIENCE_OBJECTIVES * route.objective_s,
        _PATIENCE_GAP_OBJECTIVES * route.gap_objective_s,
    )
    return patience_s - _NOTICE_S


async def _check_resume(
    relay: relay_lib.Relay,
    run: run_lib.Run,
    error: run_lib.AttemptFailedError,
    connection: caller.Caller,
) -> None:
    """Checks that a stream may be sent to another upstream after a failure.

    Raises:
        run_lib.RefusedError: The stream may not be sent again.
    """
    if not error.is_not_run and error.reason != _MOVED_BEFORE_START:
        run.counted_attempts += 1
    may_resume = run.route.is_resumable or error.is_not_run
    if may_resume and relay.may_retry(run, error.reason):
        return
    if connection.is_started or run.may_have_run:
        raise run_lib.RefusedError(
            codes.fault(codes.STREAM_INCOMPLETE, run.last_failure)
        ) from error
    raise run_lib.refusal(
        codes.UPSTREAM_REFUSED,
        run.last_failure,
        relay_lib.RETRY_AFTER_REFUSAL_S,
    ) from error


@contextlib.contextmanager
def _tracked_attempt(
    relay: relay_lib.Relay,
    run: run_lib.Run,
    candidate: selection.Candidate,
    scope: asyncio.Timeout,
) -> Iterator[stream_attempts.StreamAttempt]:
    """Adds a stream attempt to the attempts in flight while it runs.

    An engine of a plain service has no members to probe, so its streams are
    not watched for silence and are not added.

    Yields:
        The stream attempt.
    """
    spec = relay.engine_spec(run.service)
    model_spec = spec.model(run.request.model) if spec else None
    reading_s = event_interval_s = 0.0
    if spec is not None and model_spec is not None:
        unread_tokens = (
            candidate.usage.reading_tokens + run.request.prompt_tokens
        )
        reading_s = model_spec.pace * unread_tokens / spec.prefill_tokens_per_s
        event_interval_s = selection.event_interval_s(spec, model_spec)
    stream_attempt = stream_attempts.StreamAttempt(
        run.request.id,
        candidate.key or fleet_model.ReplicaKey(candidate.engine.id, 0),
        candidate.engine.id,
        scope,
        relay.clock(),
        event_interval_s,
        reading_s,
        sent_at=relay.clock(),
    )
    if candidate.key is None:
        yield stream_attempt
        return

    def set_bound(is_bound: bool) -> None:
        if is_bound and not stream_attempt.is_bound:
            relay.replica_loads.bind(stream_attempt.key)
        elif stream_attempt.is_bound and not is_bound:
            relay.replica_loads.unbind(stream_attempt.key)
        stream_attempt.is_bound = is_bound

    def can_move(reason: str) -> bool:
        if reason == stream_attempts.SILENT_CONNECTION:
            # A new connection to the same replica may work.
            run.left.add(candidate.upstream)
        is_counted = _move_name(stream_attempt, reason) != _MOVED_BEFORE_START
        set_bound(relay.is_bound(run, is_counted))
        held_s = 0.0
        if stream_attempt.held_reason:
            held_s = relay.clock() - stream_attempt.held_at
        # While the replica may go on, a full one is no better place.
        needs_room = held_s < stream_attempts.MAX_KEPT_SILENCE_S
        if not stream_attempt.is_bound and relay.reserve_move(run, needs_room):
            return True
        if not stream_attempt.held_reason:
            stream_attempt.held_at = relay.clock()
            relay.metrics.count("stream_held")
            logs.decision(
                "stream held",
                request=run.request.id,
                engine=candidate.engine.id,
                replica=stream_attempt.key.replica,
                reason=reason,
                may_be_sent_again=not stream_attempt.is_bound,
            )
        return False

    stream_attempt.can_move = can_move
    relay.streams.add(stream_attempt, relay.clock())
    set_bound(relay.is_bound(run, is_counted=True))
    try:
        yield stream_attempt
    finally:
        relay.streams.remove(stream_attempt)
        set_bound(False)


async def _run_attempt(
    relay: relay_lib.Relay,
    run: run_lib.Run,
    candidate: selection.Candidate,
    stream: events.EventStream,
    connection: caller.Caller,
) -> None:
    """Runs one attempt of a stream to the end of the answer.

    Raises:
        run_lib.AttemptFailedError: The attempt failed, or was interrupted
            because its replica can't serve.
    """
    try:
        async with asyncio.timeout(None) as scope:
            with (
                _tracked_attempt(
                    relay, run, candidate, scope
                ) as stream_attempt,
                attempt.watched_for_crash(relay, run, candidate) as watched,
            ):
                watched.is_completed = await _pass_on(
                    relay, run, candidate, stream, connection, stream_attempt
                )
    except TimeoutError:
        if not stream_attempt.move_reason:
            raise
        if stream_attempt.may_go_on:
            run.left.add(candidate.upstream)
        raise run_lib.AttemptFailedError(
            _move_name(stream_attempt, stream_attempt.move_reason),
            stream_attempt.move_reason,
            False,
        ) from None


def _move_name(
    stream_attempt: stream_attempts.StreamAttempt, reason: str
) -> str:
    """Returns the short name of the reason why an attempt is moved."""
    if reason == stream_attempts.STUCK:
        return "stuck"
    # A replica that has lost a member starts none of the requests that it gets
    # later.
    if (
        stream_attempt.was_stalled_at_start
        and not stream_attempt.has_received_data
    ):
        return _MOVED_BEFORE_START
    return "moved"


async def _pass_on(
    relay: relay_lib.Relay,
    run: run_lib.Run,
    candidate: selection.Candidate,
    stream: events.EventStream,
    connection: caller.Caller,
    stream_attempt: stream_attempts.StreamAttempt,
) -> bool:
    """Sends an attempt and passes on the events of its answer.

    Returns:
        Whether the engine ran the request to a successful end.

    Raises:
        run_lib.AttemptFailedError: The answer is missing, invalid or cut off.
    """
    key = stream_attempt.key
    unread_tokens = run.request.prompt_tokens
    sent_at = relay.clock()
    relay.replica_loads.begin(key, unread_tokens)
    answer = None
    try:
        answer = await attempt.send(
            relay,
            run,
            candidate,
            stream.last_id,
            stream_attempt.mark_reused,
        )
        if answer.status >= 300:
            await _pass_on_failure(relay, run, answer, connection)
            return False
        while True:
            data = await answer.read()
            stream_attempt.has_received_data |= bool(data)
            last_id = stream.last_id
            if data:
                output = stream.feed(data)
            else:
                output = stream.take_remainder(answer.is_framed)
            if data and stream.last_id == last_id:
                # What is no new event must not hide that the replica stalls.
                await _write(output, answer, connection)
                stream.check()
                continue
            now = relay.clock()
            relay.streams.record_data(key, now)
            if stream_attempt.held_reason:
                logs.decision(
                    "held stream goes on",
                    request=run.request.id,
                    engine=candidate.engine.id,
                    after_s=round(now - stream_attempt.held_at, 3),
                )
            stream_attempt.receive()
            if unread_tokens and data:
                relay.replica_loads.finish_reading(key, unread_tokens)
                unread_tokens = 0
                relay.metrics.record("first_event", now - sent_at)
                relay.metrics.record(
                    "first_event_excess", now - sent_at - candidate.expected_s
                )
                slowness = (now - sent_at) / max(candidate.expected_s, 1e-3)
                relay.replica_scores.record_success(key.replica, slowness, now)
            await _write(output, answer, connection, is_end=not data)
            stream.check()
            if not data:
                return True
            stream_attempt.waiting_since = relay.clock()
    except (gateway.AnswerBrokenError, events.StreamCutError) as error:
        relay.on_attempt_failed(key)
        raise run_lib.AttemptFailedError(
            "cut_off", str(error), False
        ) from error
    except events.StreamGapError as error:
        raise run_lib.AttemptFailedError("gap", str(error), False) from error
    except run_lib.AttemptFailedError as error:
        if error.reason not in (
            attempt.BAD_ANSWER,
            *attempt.NO_FAULT_REASONS,
        ):
            relay.on_attempt_failed(key)
        raise
    finally:
        relay.replica_loads.end(key, unread_tokens)
        if answer is not None:
            answer.close()


async def _write(
    output: bytes,
    answer: gateway.Answer,
    connection: caller.Caller,
    is_end: bool = False,
) -> None:
    """Passes on complete events, and the end of the answer."""
    if output or is_end:
        if not connection.is_started:
            # Events are passed on whole and not repeated, so the length may
            # differ from that of this engine's answer.
            headers = [
                header
                for header in answer.headers
                if header[0] != b"content-length"
            ]
            await connection.start(answer.status, tuple(headers))
        if output:
            await connection.write(output)
    if is_end:
        await connection.end()


async def _pass_on_failure(
    relay: relay_lib.Relay,
    run: run_lib.Run,
    answer: gateway.Answer,
    connection: caller.Caller,
) -> None:
    """Passes on an engine's answer with an error status.

    Raises:
        run_lib.AttemptFailedError: Another engine may still be tried, or an
            answer has been started.
    """
    complete_answer = attempt.CompleteAnswer(
        answer.status,
        answer.headers,
        await attempt.read_body(answer, relay.answer_memory),
    )
    can_retry = run.route.is_resumable and (
        run.counted_attempts + 1 < run.route.max_attempts
    )
    if answer.status >= 500 and can_retry or connection.is_started:
        raise run_lib.AttemptFailedError(
            "engine_failed", f"HTTP {answer.status}", False
        )
    await attempt.deliver(connection, complete_answer)
