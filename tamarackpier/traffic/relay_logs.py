"""Log lines of a relay's attempts."""

from tamarackpier import logs
from tamarackpier.traffic import relay as relay_lib
from tamarackpier.traffic import run as run_lib
from tamarackpier.traffic import selection

__all__ = ["log_attempt", "log_failed_attempt"]


def log_attempt(
    relay: relay_lib.Relay,
    run: run_lib.Run,
    candidate: selection.Candidate,
    last_event_id: str,
) -> None:
    """Logs an attempt with the values that decided the selection.

    An engine without a row is kept for a while where the row may have lapsed.
    """
    now = relay.clock()
    rows = relay.rows_read()
    due_at = relay.fleet.pending_removals.get(candidate.engine.id)
    logs.decision(
        "sent",
        request=run.request.id,
        fingerprint=run.fingerprint,
        prompt_parts=run.request.prompt_parts,
        engine=candidate.engine.id,
        replica=candidate.key.replica if candidate.key else "",
        expected_s=round(candidate.expected_s, 4),
        running=candidate.usage.running,
        after=last_event_id,
        version=run.version,
        rows_age_s=round(now - rows.at, 3),
        rows_version=rows.version,
        rows_source=rows.source,
        left_s=round(run.ends_at - now, 3),
        **({"kept_s": round(due_at - now, 3)} if due_at is not None else {}),
        **({"admission": run.admission} if run.admission else {}),
    )


def log_failed_attempt(
    relay: relay_lib.Relay,
    run: run_lib.Run,
    candidate: selection.Candidate,
    error: run_lib.AttemptFailedError,
) -> None:
    """Logs how an attempt failed, and of which start of the engine."""
    relay.metrics.count("attempt_failed", error.reason)
    logs.failure(
        "attempt failed",
        request=run.request.id,
        fingerprint=run.fingerprint,
        prompt_parts=run.request.prompt_parts,
        engine=candidate.engine.id,
        incarnation=candidate.engine.incarnation,
        replica=candidate.key.replica if candidate.key else "",
        reason=error.reason,
        detail=str(error),
        not_run=error.is_not_run,
        counted=run.counted_attempts,
        max_attempts=run.route.max_attempts,
    )
