"""Strategies for plain services: at-most-once and idempotent requests."""

import asyncio
import contextlib

from tamarackpier import codes
from tamarackpier.routing import model as routing_model
from tamarackpier.traffic import attempt, caller
from tamarackpier.traffic import relay as relay_lib
from tamarackpier.traffic import run as run_lib

__all__: list[str] = []

# Share of the latency objective after which a slow request is hedged.
_HEDGE_DELAY_SHARE = 0.7


@relay_lib.STRATEGIES.register(routing_model.RouteKind.ONCE.value)
async def _run_once(
    relay: relay_lib.Relay, run: run_lib.Run, connection: caller.Caller
) -> None:
    """Runs a request at most once.

    Retries it only if it is proved that no engine has run it.
    """
    while True:
        candidate = relay.select_upstream(run)
        try:
            answer = await attempt.fetch_answer(relay, run, candidate)
            break
        except run_lib.AttemptFailedError as error:
            if run.may_have_run:
                raise run_lib.RefusedError(
                    codes.fault(codes.OUTCOME_UNKNOWN, run.last_failure)
                ) from error
            if not relay.may_retry(run, error.reason):
                raise run_lib.refusal(
                    codes.UPSTREAM_REFUSED,
                    run.last_failure,
                    relay_lib.RETRY_AFTER_REFUSAL_S,
                ) from error
    await attempt.deliver(connection, answer)


@relay_lib.STRATEGIES.register(routing_model.RouteKind.IDEMPOTENT.value)
async def _run_idempotent(
    relay: relay_lib.Relay, run: run_lib.Run, connection: caller.Caller
) -> None:
    """Runs a request that may run more than once.

    Retries it at another engine if one fails. If the first engine is slow, the
    request is hedged: it is also sent to a second engine, and the first answer
    with a status below 500 is passed on.
    """
    tasks: set[asyncio.Task[attempt.CompleteAnswer]] = set()
    failed_answer: attempt.CompleteAnswer | None = None
    last_error: run_lib.AttemptFailedError | None = None
    hedge_delay_s: float | None = run.route.objective_s * _HEDGE_DELAY_SHARE
    try:
        tasks.add(_start_attempt(relay, run))
        while tasks:
            done, _ = await asyncio.wait(
                tasks,
                timeout=hedge_delay_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            reason = "slow"
            for task in done:
                tasks.discard(task)
                try:
                    answer = task.result()
                except run_lib.AttemptFailedError as error:
                    last_error = error
                    reason = error.reason
                    if error.is_not_run:
                        run.counted_attempts -= 1
                    continue
                if answer.status < 500:
                    await attempt.deliver(connection, answer)
                    return
                failed_answer = answer
                reason = "engine_failed"
            # Only the first wait has a timeout: there is at most one hedge.
            hedge_delay_s = None
            with contextlib.suppress(run_lib.RefusedError):
                if relay.may_retry(run, reason):
                    tasks.add(_start_attempt(relay, run))
        if failed_answer is not None:
            await attempt.deliver(connection, failed_answer)
            return
    finally:
        for task in tasks:
            task.cancel()
    if (
        last_error is not None
        and last_error.is_not_run
        and not run.counted_attempts
    ):
        raise run_lib.refusal(
            codes.UPSTREAM_REFUSED,
            run.last_failure,
            relay_lib.RETRY_AFTER_REFUSAL_S,
        )
    raise run_lib.RefusedError(
        codes.fault(codes.UPSTREAM_FAILED, run.last_failure)
    )


def _start_attempt(
    relay: relay_lib.Relay, run: run_lib.Run
) -> "asyncio.Task[attempt.CompleteAnswer]":
    """Starts an attempt and returns its task.

    Raises:
        run_lib.RefusedError: No engine can take the request.
    """
    candidate = relay.select_upstream(run)
    run.counted_attempts += 1
    return asyncio.ensure_future(attempt.fetch_answer(relay, run, candidate))
