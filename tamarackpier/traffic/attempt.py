"""One attempt at one engine."""

import dataclasses

from tamarackpier.traffic import caller, selection
from tamarackpier.traffic import relay as relay_lib
from tamarackpier.traffic import run as run_lib
from tamarackpier.upstream import gateway

__all__ = ["CompleteAnswer", "deliver", "send", "fetch_answer"]


def _check_answer(answer: gateway.Answer) -> str:
    """Returns why an answer can't be the engine's own; empty if it can."""
    if answer.is_not_run:
        return ""
    if not answer.matches_request:
        return "the answer names another request"
    if answer.status < 300 and not answer.has_proof:
        return "the answer bears no proof"
    if any(name == b"content-encoding" for name, _ in answer.headers):
        return "the answer is encoded"
    return ""


@dataclasses.dataclass(frozen=True)
class CompleteAnswer:
    """An answer that was read to its end.

    Attributes:
        status: HTTP status.
        headers: Headers for the caller.
        body: The whole body.
    """

    status: int
    headers: gateway.Headers
    body: bytes


async def send(
    relay: relay_lib.Relay,
    run: run_lib.Run,
    option: selection.Candidate,
    last_event_id: str = "",
) -> gateway.Answer:
    """Sends an attempt; returns an answer that is the engine's own."""
    relay.invariants.hold(
        "sent_once",
        run.route.is_repeatable or not run.may_have_run,
        lambda: f"{run.request.id} sent again after {run.tried}",
    )
    run.tried.append(option.upstream)
    run.possibly_run += 1
    relay.metrics.count("attempt", run.route.kind.value)
    relay.log_attempt(run, option, last_event_id)
    try:
        answer = await relay.gateway.send(
            relay.forwarded_request(run, option, last_event_id)
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
    run: run_lib.Run, reason: str, detail: str, is_not_run: bool
) -> run_lib.AttemptFailedError:
    """Returns the error of an attempt that got no answer of the engine's."""
    if is_not_run:
        run.possibly_run -= 1
    return run_lib.AttemptFailedError(reason, detail, is_not_run)


async def fetch_answer(
    relay: relay_lib.Relay, run: run_lib.Run, option: selection.Candidate
) -> CompleteAnswer:
    """Runs one attempt of a plain request."""
    name = option.engine.id
    started_at = relay.clock()
    relay.engine_loads.begin(name)
    try:
        answer = await send(relay, run, option)
        try:
            parts = []
            while data := await answer.read():
                parts.append(data)
        except gateway.AnswerBrokenError as error:
            raise run_lib.AttemptFailedError(
                "cut_off", str(error), False
            ) from error
        finally:
            answer.close()
        now = relay.clock()
        if answer.status >= 500:
            relay.engine_scores.record_failure(name, now)
        else:
            relay.engine_scores.record_success(name, now - started_at, now)
        return CompleteAnswer(answer.status, answer.headers, b"".join(parts))
    except run_lib.AttemptFailedError as error:
        run.last_failure = f"{name}: {error}"
        relay.engine_scores.record_failure(name, relay.clock())
        raise
    finally:
        relay.engine_loads.end(name)


async def deliver(to: caller.Caller, whole: CompleteAnswer) -> None:
    """Passes a whole answer on."""
    headers = [each for each in whole.headers if each[0] != b"content-length"]
    headers.append((b"content-length", b"%d" % len(whole.body)))
    await to.start(whole.status, tuple(headers))
    await to.write(whole.body)
    await to.end()
