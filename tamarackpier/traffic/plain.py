"""Requests of plain services: those that run once at most, and the others."""

import asyncio
import contextlib

from tamarackpier import codes
from tamarackpier.routing import model as routing_model
from tamarackpier.traffic import attempt, caller
from tamarackpier.traffic import relay as relay_lib
from tamarackpier.traffic import run as run_lib

__all__: list[str] = []

_HEDGE_SHARE = 0.7  # Of the objective, before a second engine is asked.


@relay_lib.STRATEGIES.register(routing_model.RouteKind.ONCE.value)
async def _run_once(
    relay: relay_lib.Relay, run: run_lib.Run, to: caller.Caller
) -> None:
    """Sends a request again only where it is proved that it has not run."""
    while True:
        option = relay.select_upstream(run)
        try:
            whole = await attempt.fetch_answer(relay, run, option)
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
    await attempt.deliver(to, whole)


@relay_lib.STRATEGIES.register(routing_model.RouteKind.IDEMPOTENT.value)
async def _run_idempotent(
    relay: relay_lib.Relay, run: run_lib.Run, to: caller.Caller
) -> None:
    """Asks a second engine when the first fails or is slow."""
    tasks: set[asyncio.Task[attempt.CompleteAnswer]] = set()
    failed: attempt.CompleteAnswer | None = None
    error: run_lib.AttemptFailedError | None = None
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
                except run_lib.AttemptFailedError as raised:
                    error = raised
                    reason = raised.reason
                    if raised.is_not_run:
                        run.counted_attempts -= 1
                    continue
                if whole.status < 500:
                    await attempt.deliver(to, whole)
                    return
                failed = whole
                reason = "engine_failed"
            patience_s = None
            with contextlib.suppress(run_lib.RefusedError):
                if relay.may_retry(run, reason):
                    tasks.add(_attempt(relay, run))
        if failed is not None:
            await attempt.deliver(to, failed)
            return
    finally:
        for task in tasks:
            task.cancel()
    if error is not None and error.is_not_run and not run.counted_attempts:
        raise run_lib.refusal(
            codes.UPSTREAM_REFUSED,
            run.last_failure,
            relay_lib.RETRY_AFTER_REFUSAL_S,
        )
    raise run_lib.RefusedError(
        codes.fault(codes.UPSTREAM_FAILED, run.last_failure)
    )


def _attempt(
    relay: relay_lib.Relay, run: run_lib.Run
) -> "asyncio.Task[attempt.CompleteAnswer]":
    option = relay.select_upstream(run)
    run.counted_attempts += 1
    return asyncio.ensure_future(attempt.fetch_answer(relay, run, option))
