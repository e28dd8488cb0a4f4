"""A lease over the table service, with fencing numbers.

No wall clock is compared between instances. A contender takes over once it
has watched the row unchanged, on its own monotonic clock, for the row's
whole duration plus a bound on clock rate difference; a holder counts from
before it asked, less the same bound. So a holder's lease has ended by its
own count before any other can take it. (The scheme is that of Gray and
Cheriton, "Leases", SOSP 1989, without their synchronised clocks.)
"""

import dataclasses
import enum
from typing import Any

from tamarackpier.platform import interfaces

__all__ = [
    "HeldLease",
    "Step",
    "StepKind",
    "LeaseObservation",
    "decide",
    "fence_base",
    "holds",
    "is_held_by",
    "observe",
    "release",
    "renew",
    "lease_after",
    "take_over",
]

CLOCK_RATE_ERROR = 0.01
FENCES_PER_LEASE = 1 << 20
_RENEW_SHARE = 1 / 3


@dataclasses.dataclass(frozen=True)
class LeaseObservation:
    """A contender's view of a lease row.

    Attributes:
        key: Key of the row.
        row: The row as last read.
        unchanged_since: When the row was first read at this version, on the
            contender's monotonic clock, measured after the read.
    """

    key: str
    row: interfaces.Row
    unchanged_since: float


@dataclasses.dataclass(frozen=True)
class HeldLease:
    """A lease that this process holds, as far as it knows.

    Attributes:
        key: Key of the row.
        holder: This process's name, unique per start.
        number: Fencing number; rises with each change of holder.
        row_version: Version of the row after the last renewal.
        valid_until: End of the lease on the monotonic clock.
        renew_at: When to renew.
        acquired_at: When it was taken over from another holder.
    """

    key: str
    holder: str
    number: int
    row_version: int
    valid_until: float
    renew_at: float
    acquired_at: float


class StepKind(enum.Enum):
    """What to do about a lease now."""

    WAIT = "wait"
    READ = "read"
    ACQUIRE = "acquire"
    RENEW = "renew"


@dataclasses.dataclass(frozen=True)
class Step:
    """A decision on a lease.

    Attributes:
        kind: What to do.
        transaction: What to commit for `ACQUIRE` and `RENEW`.
        number: The fencing number that a success gives.
    """

    kind: StepKind
    transaction: interfaces.Transaction | None = None
    number: int = 0


def observe(
    watch: LeaseObservation | None, row: interfaces.Row, now: float
) -> LeaseObservation:
    """Returns the view after a read that ended at `now`."""
    if watch is not None and watch.row.version == row.version:
        return watch
    return LeaseObservation(row.key, row, now)


def holds(held: HeldLease | None, now: float) -> bool:
    """Returns whether the lease is still held at `now`."""
    return held is not None and now < held.valid_until


def decide(
    watch: LeaseObservation | None,
    held: HeldLease | None,
    holder: str,
    duration_s: float,
    now: float,
    takeover_delay_s: float = 0.0,
) -> Step:
    """Decides what to do about a lease.

    Args:
        watch: The view of the row; None before the first read.
        held: The lease, if this process holds it.
        holder: This process's name.
        duration_s: Length of the lease to ask for.
        now: The monotonic clock.
        takeover_delay_s: Additional wait before taking over, so that preferred
            contenders go first.
    """
    if held is not None and holds(held, now):
        if now < held.renew_at:
            return Step(StepKind.WAIT)
        return renew(held, duration_s, now)
    if watch is None:
        return Step(StepKind.READ)
    if now - watch.unchanged_since < _patience(watch) + takeover_delay_s:
        return Step(StepKind.READ)
    return take_over(watch, holder, duration_s, now)


def take_over(
    watch: LeaseObservation, holder: str, duration_s: float, now: float
) -> Step:
    """Returns the step that takes a lease over, whoever has it.

    It is safe only once the holder's time is over, or its process is known
    to have ended.
    """
    return _write(
        StepKind.ACQUIRE,
        watch.key,
        holder,
        _number(watch.row) + 1,
        duration_s,
        watch.row.version,
        now,
    )


def renew(held: HeldLease, duration_s: float, now: float) -> Step:
    """Returns the step that renews a lease.

    The row's version tells whether anybody took it meanwhile, so this is safe
    also once the lease's time is over.
    """
    return _write(
        StepKind.RENEW,
        held.key,
        held.holder,
        held.number,
        duration_s,
        held.row_version,
        now,
    )


def lease_after(
    step: Step,
    key: str,
    holder: str,
    row_version: int,
    duration_s: float,
    requested_at: float,
    acquired_at: float,
) -> HeldLease:
    """Returns the lease after a step that is known to have committed.

    Args:
        step: The step.
        key: Key of the row.
        holder: This process's name.
        row_version: The row's version after the commit.
        duration_s: Length of the lease.
        requested_at: When the commit was asked for.
        acquired_at: When the lease was taken over.
    """
    length_s = duration_s * (1 - CLOCK_RATE_ERROR)
    return HeldLease(
        key,
        holder,
        step.number,
        row_version,
        requested_at + length_s,
        requested_at + duration_s * _RENEW_SHARE,
        acquired_at,
    )


def is_written_by(row: interfaces.Row, step: Step) -> bool:
    """Returns whether a row holds exactly what a step would have written.

    It settles a step whose answer was lost: the value names the holder, the
    number and the moment on the holder's clock, which no other step repeats.
    """
    if step.transaction is None:
        return False
    return row.value == step.transaction.writes[0].value


def is_held_by(row: interfaces.Row, held: HeldLease) -> bool:
    """Returns whether a row still names the holder, with its number."""
    value = row.value
    if not value:
        return False
    return value["holder"] == held.holder and value["number"] == held.number


def release(held: HeldLease) -> interfaces.Transaction:
    """Returns the transaction that gives a lease up at once."""
    value = {"holder": "", "number": held.number, "duration_s": 0.0}
    return interfaces.Transaction(
        (interfaces.Check(held.key, held.row_version),),
        (interfaces.Write(held.key, value),),
    )


def fence_base(number: int) -> int:
    """Returns the first fencing number that orders under a lease may use."""
    return number * FENCES_PER_LEASE


def _write(
    kind: StepKind,
    key: str,
    holder: str,
    number: int,
    duration_s: float,
    row_version: int,
    now: float,
) -> Step:
    value: dict[str, Any] = {
        "holder": holder,
        "number": number,
        "duration_s": duration_s,
        "nonce": now,
    }
    transaction = interfaces.Transaction(
        (interfaces.Check(key, row_version),),
        (interfaces.Write(key, value),),
    )
    return Step(kind, transaction, number)


def _number(row: interfaces.Row) -> int:
    return row.value["number"] if row.value else 0


def _patience(watch: LeaseObservation) -> float:
    value = watch.row.value
    if not value or not value["holder"]:
        return 0.0
    return value["duration_s"] * (1 + CLOCK_RATE_ERROR)
