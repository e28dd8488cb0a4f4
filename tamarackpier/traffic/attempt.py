"""Sends one attempt of a request to one engine."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable, Iterator

from tamarackpier.traffic import caller, crash_watch, relay_logs, selection
from tamarackpier.traffic import relay as relay_lib
from tamarackpier.traffic import run as run_lib
from tamarackpier.upstream import answer_memory, bounded_http, gateway

__all__ = [
    "BAD_ANSWER",
    "KEPT_CLOSED",
    "NO_FAULT_REASONS",
    "CompleteAnswer",
    "WatchedAttempt",
    "deliver",
    "fetch_answer",
    "read_body",
    "send",
    "watched_for_crash",
]

# Reason of a failure in which an engine with a limit ran nothing; it isn't
# faulty.
_LIMITED = "limited"
# Reason of a failure in which an engine ran nothing and asked for a pause.
_ASKED_TO_WAIT = "asked_to_wait"
# Reason of a failure in which a kept connection closed without an answer. The
# engine may have run the request, but it may also have closed the connection
# because it was idle.
KEPT_CLOSED = "kept_closed"
# Reasons of failures that say nothing of the engine's health.
NO_FAULT_REASONS = (_LIMITED, _ASKED_TO_WAIT, KEPT_CLOSED)
# Reason of a failure in which something else than a valid answer arrived.
BAD_ANSWER = "bad_answer"
# Reasons of failures after which the engine may have ended. One that crashes
# may still send an error page.
_BROKEN_REASONS = ("no_answer", "cut_off", BAD_ANSWER)
# Statuses with which engines refuse a request that they do not run.
_REFUSAL_STATUSES = (400, 421, 429, 503)
# Statuses that promise callers that the request did not run and never will.
_PROMISE_STATUSES = (408, 421, 429, 503)


def _check_answer(answer: gateway.Answer) -> str:
    """Returns why an answer is invalid; empty if it is valid."""
    if not answer.matches_request:
        return "answer carries the id of another request"
    if not bounded_http.is_final(answer.status):
        # Also from a peer that carries requests and runs an earlier build.
        return f"HTTP {answer.status} is no final answer"
    if answer.is_not_run:
        if answer.status in _REFUSAL_STATUSES:
            return ""
        return f"HTTP {answer.status} states that the request did not run"
    if answer.status in _PROMISE_STATUSES:
        return (
            f"HTTP {answer.status} without proof that the request did not run"
        )
    if answer.status < 300 and not answer.has_proof:
        return "answer lacks the header that proves an engine sent it"
    if any(name == b"content-encoding" for name, _ in answer.headers):
        return "answer has a Content-Encoding, expected none"
    return ""


@dataclasses.dataclass(frozen=True)
class CompleteAnswer:
    """An answer whose body was read to its end.

    Attributes:
        status: HTTP status.
        headers: Headers to pass on to the caller.
        body: The complete body.
    """

    status: int
    headers: gateway.Headers
    body: bytes


@dataclasses.dataclass
class WatchedAttempt:
    """An attempt that the crash watch observes.

    Attributes:
        is_completed: Whether the engine ran the request to a successful end.
    """

    is_completed: bool = False


@contextlib.contextmanager
def watched_for_crash(
    relay: relay_lib.Relay, run: run_lib.Run, candidate: selection.Candidate
) -> Iterator[WatchedAttempt]:
    """Reports to the relay's crash watch how an attempt ends.

    Yields:
        The attempt, in which the caller records its success.
    """
    upstream = relay.upstream_of(candidate)
    suspects = (run.fingerprint, *run.part_fingerprints.values())
    is_isolated = run.is_isolated
    watched = WatchedAttempt()

    def record(is_broken: bool) -> None:
        now = relay.clock()
        attempt = crash_watch.EndedAttempt(
            run.request.id,
            run.fingerprint,
            upstream,
            is_broken,
            now,
            run.part_fingerprints,
        )
        relay.crash_watch.record(attempt, now)

    relay.quarantine.begin_run(suspects, relay.clock())
    relay.isolated_runs += is_isolated
    try:
        yield watched
    except run_lib.AttemptFailedError as error:
        if error.reason in _BROKEN_REASONS:
            record(is_broken=True)
        elif error.reason == KEPT_CLOSED:
            # No reason to probe the engine. If it is found to have ended, the
            # request may be why.
            record(is_broken=False)
        raise
    except asyncio.CancelledError:
        # Also for streams that leave a replica that lost a member.
        record(is_broken=False)
        raise
    finally:
        relay.isolated_runs -= is_isolated
    if watched.is_completed:
        for suspect in suspects:
            relay.quarantine.complete(suspect, relay.clock())


async def send(
    relay: relay_lib.Relay,
    run: run_lib.Run,
    candidate: selection.Candidate,
    last_event_id: str = "",
    on_reused: Callable[[], object] | None = None,
) -> gateway.Answer:
    """Sends an attempt and returns the engine's answer, its body unread.

    Args:
        relay: The relay.
        run: State of the request.
        candidate: Upstream to send to.
        last_event_id: ID of the event after which a stream resumes; empty for
            its start.
        on_reused: Called when the attempt is about to use a kept connection.

    Raises:
        run_lib.AttemptFailedError: No answer arrived, the answer is invalid,
            or the engine did not run the request.
    """
    relay.invariants.hold(
        "sent_once",
        run.route.is_repeatable or not run.may_have_run,
        lambda: f"{run.request.id} sent again after attempts at {run.tried}",
    )
    run.tried.append(candidate.upstream)
    run.left.discard(candidate.upstream)
    run.possible_runs += 1
    relay.metrics.count("attempt", run.route.kind.value)
    relay_logs.log_attempt(relay, run, candidate, last_event_id)
    forward = relay.forwarded_request(run, candidate, last_event_id)
    if on_reused is not None:
        forward = dataclasses.replace(forward, on_reused=on_reused)
    try:
        answer = await relay.gateway.send(forward)
    except gateway.AnswerBrokenError as error:
        if error.was_kept:
            # A new connection to the same upstream may work.
            run.left.add(candidate.upstream)
            raise _failed_attempt_error(
                run, KEPT_CLOSED, str(error), False
            ) from error
        reason = "no_answer" if error.is_sent else "no_connection"
        raise _failed_attempt_error(
            run,
            BAD_ANSWER if error.is_invalid else reason,
            str(error),
            not error.is_sent,
        ) from error
    if answer.matches_request:
        relay.record_limit(run, candidate, answer.max_request_rate)
        relay.record_wait(
            run.request.id, candidate.engine, answer.requested_wait_s
        )
    problem = _check_answer(answer)
    if problem:
        answer.close()
        raise _failed_attempt_error(run, BAD_ANSWER, problem, False)
    if answer.is_not_run:
        answer.close()
        detail = f"the engine did not run the request: HTTP {answer.status}"
        raise _failed_attempt_error(run, _refusal_reason(answer), detail, True)
    return answer


def _refusal_reason(answer: gateway.Answer) -> str:
    """Returns the short name of why an engine did not run a request."""
    if answer.requested_wait_s:
        return _ASKED_TO_WAIT
    return "not_run" if answer.max_request_rate is None else _LIMITED


def _failed_attempt_error(
    run: run_lib.Run, reason: str, detail: str, is_not_run: bool
) -> run_lib.AttemptFailedError:
    """Returns the error of an attempt without a valid answer.

    Subtracts the attempt from `run.possible_runs` if it is proved that the
    engine did not run the request.
    """
    if is_not_run:
        run.possible_runs -= 1
    return run_lib.AttemptFailedError(reason, detail, is_not_run)


async def fetch_answer(
    relay: relay_lib.Relay, run: run_lib.Run, candidate: selection.Candidate
) -> CompleteAnswer:
    """Runs one attempt at a plain service and returns its answer.

    Raises:
        run_lib.AttemptFailedError: No complete and valid answer arrived.
    """
    engine_id = candidate.engine.id
    started_at = relay.clock()
    relay.engine_loads.begin(engine_id)
    try:
        with watched_for_crash(relay, run, candidate) as watched:
            answer = await send(relay, run, candidate)
            body = await read_body(answer, relay.answer_memory)
            watched.is_completed = answer.status < 500
        now = relay.clock()
        if answer.status >= 500:
            relay.engine_scores.record_failure(engine_id, now)
        else:
            relay.engine_scores.record_success(engine_id, now - started_at, now)
        return CompleteAnswer(answer.status, answer.headers, body)
    except run_lib.AttemptFailedError as error:
        run.last_failure = f"{engine_id}: {error}"
        relay_logs.log_failed_attempt(relay, run, candidate, error)
        if error.reason not in NO_FAULT_REASONS:
            relay.engine_scores.record_failure(engine_id, relay.clock())
        raise
    finally:
        relay.engine_loads.end(engine_id)


async def read_body(
    answer: gateway.Answer, memory: answer_memory.AnswerMemory
) -> bytes:
    """Returns the complete body of an answer, and closes it.

    Args:
        answer: The answer.
        memory: Counts the bytes of all answers that are read.

    Raises:
        run_lib.AttemptFailedError: The answer was cut off, or is too large.
    """
    try:
        with memory.hold() as held:
            while data := await answer.read():
                held.add(data)
            return held.body()
    except answer_memory.TooLargeError as error:
        raise run_lib.AttemptFailedError(
            BAD_ANSWER, str(error), False
        ) from error
    except gateway.AnswerBrokenError as error:
        raise run_lib.AttemptFailedError(
            "cut_off", str(error), False
        ) from error
    finally:
        answer.close()


async def deliver(connection: caller.Caller, answer: CompleteAnswer) -> None:
    """Sends a complete answer to the caller."""
    headers = [
        header for header in answer.headers if header[0] != b"content-length"
    ]
    headers.append((b"content-length", b"%d" % len(answer.body)))
    await connection.start(answer.status, tuple(headers))
    await connection.write(answer.body)
    await connection.end()
