"""Streams, which may go on at another replica."""

import asyncio
import contextlib
from collections.abc import Iterator

from tamarackpier import codes
from tamarackpier.fleet import model as fleet_model
from tamarackpier.routing import model as routing_model
from tamarackpier.traffic import attempt, caller, choose, events, flight
from tamarackpier.traffic import relay as relay_lib
from tamarackpier.traffic import run as run_lib
from tamarackpier.upstream import gateway

__all__: list[str] = []

_RESUME_WAIT_S = 1.7  # Callers give a stream up after 2 s of silence.
_RESUME_POLL_S = 0.05


@relay_lib.STRATEGIES.register(routing_model.RouteKind.STREAM.value)
async def _run_stream(
    relay: relay_lib.Relay, run: run_lib.Run, to: caller.Caller
) -> None:
    """Passes on a stream, going on at another replica where that is allowed."""
    stream = events.EventStream(run.request.last_event_id)
    while True:
        option = await _pick_for_stream(relay, run, to)
        try:
            await _stream_attempt(relay, run, option, stream, to)
            return
        except run_lib.AttemptFailedError as error:
            run.last = f"{option.engine.id}: {error}"
            await _after_failed_stream(relay, run, error, to)
            stream.resume()


async def _pick_for_stream(
    relay: relay_lib.Relay, run: run_lib.Run, to: caller.Caller
) -> choose.Option:
    """Returns where a stream goes on; one that began waits for a replica."""
    give_up_at = relay.clock() + _RESUME_WAIT_S
    while True:
        try:
            return relay.pick(run)
        except run_lib.RefusedError as error:
            if not to.is_started and not run.may_have_run:
                raise
            if relay.clock() >= give_up_at:
                raise run_lib.RefusedError(
                    codes.fault(codes.STREAM_INCOMPLETE, str(error))
                ) from error
        await asyncio.sleep(_RESUME_POLL_S)


async def _after_failed_stream(
    relay: relay_lib.Relay,
    run: run_lib.Run,
    error: run_lib.AttemptFailedError,
    to: caller.Caller,
) -> None:
    """Returns if the stream may go on elsewhere.

    Raises:
        run_lib.RefusedError: It may not.
    """
    # A replica that lost a member has not begun what it was sent since.
    has_stood_still = error.reason == "moved" and not run.has_begun
    if not error.is_not_run and not has_stood_still:
        run.counted += 1
    allowed = run.route.is_resumable or error.is_not_run
    if allowed and relay.may_repeat(run, error.reason):
        return
    if to.is_started or run.may_have_run:
        raise run_lib.RefusedError(
            codes.fault(codes.STREAM_INCOMPLETE, run.last)
        ) from error
    raise run_lib.refused(
        codes.UPSTREAM_REFUSED, run.last, relay_lib.FULL_RETRY_S
    ) from error


@contextlib.contextmanager
def _flight(
    relay: relay_lib.Relay,
    run: run_lib.Run,
    option: choose.Option,
    scope: asyncio.Timeout,
) -> Iterator[flight.Flight]:
    """Counts an attempt of a stream in and out.

    An engine of a plain service has no members to be asked about, so its
    streams are not watched for silence.
    """
    spec = relay.spec(run.service)
    kind = spec.model(run.request.model) if spec else None
    reading_s = pass_s = 0.0
    if spec is not None and kind is not None:
        reading = option.usage.reading_tokens + run.request.prompt_tokens
        reading_s = kind.pace * reading / spec.prefill_tokens_per_s
        pass_s = choose.pass_s(spec, kind)
    found = flight.Flight(
        run.request.id,
        option.key or fleet_model.ReplicaKey(option.engine.id, 0),
        option.engine.id,
        scope,
        relay.clock(),
        pass_s,
        reading_s,
    )
    if option.key is None:
        yield found
        return
    relay.flights.add(found)
    try:
        yield found
    finally:
        relay.flights.remove(found)


async def _stream_attempt(
    relay: relay_lib.Relay,
    run: run_lib.Run,
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
        reason = "stuck" if found.moved == flight.STUCK else "moved"
        raise run_lib.AttemptFailedError(reason, found.moved, False) from None


async def _pass_on(
    relay: relay_lib.Relay,
    run: run_lib.Run,
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
        answer = await attempt.send(relay, run, option, stream.last_id)
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
        raise run_lib.AttemptFailedError(
            "cut_off", str(error), False
        ) from error
    except events.StreamGapError as error:
        raise run_lib.AttemptFailedError("gap", str(error), False) from error
    except run_lib.AttemptFailedError as error:
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
    relay: relay_lib.Relay,
    run: run_lib.Run,
    answer: gateway.Answer,
    to: caller.Caller,
) -> None:
    """Passes on an engine's own failure, or lets another engine try."""
    parts = []
    while data := await answer.read():
        parts.append(data)
    whole = attempt.Whole(answer.status, answer.headers, b"".join(parts))
    can_repeat = run.route.is_resumable and (
        run.counted + 1 < run.route.max_attempts
    )
    if answer.status >= 500 and can_repeat or to.is_started:
        raise run_lib.AttemptFailedError(
            "engine_failed", f"HTTP {answer.status}", False
        )
    await attempt.deliver(to, whole)
