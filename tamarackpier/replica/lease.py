"""Leases with fencing numbers, stored as rows of the table service.

A fencing number rises with each change of the lease holder, so that a receiver
can reject requests of an earlier holder.

Clocks are never compared between instances. A contender takes a lease over
once the row has been unchanged, on the contender's monotonic clock, for the
lease's duration plus a bound on the clock rate error. The holder
counts the duration from before its request, less the same bound. The lease has
therefore expired on the holder's clock before any contender can take it over.
(Gray and Cheriton, "Leases", SOSP 1989, without their synchronized clocks.)
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
    "is_older",
    "observe",
    "readable",
    "release",
    "renew",
    "lease_after",
    "number_above",
    "take_over",
]

# Bound on the relative error of an instance's clock rate.
CLOCK_RATE_ERROR = 0.01
# Number of fencing numbers for orders under one lease.
FENCES_PER_LEASE = 1 << 20
# Highest number of a lease; its fencing numbers stay exact in JSON.
_MAX_NUMBER = (1 << 53) // FENCES_PER_LEASE
# Share of a lease's duration after which the holder renews it.
_RENEW_AFTER_SHARE = 0.45


@dataclasses.dataclass(frozen=True)
class LeaseObservation:
    """A contender's observation of a lease row.

    Attributes:
        key: Key of the row.
        row: Row as last read.
        unchanged_since: Time after the first read of the row at this version,
            in seconds on the contender's monotonic clock.
    """

    key: str
    row: interfaces.Row
    unchanged_since: float


@dataclasses.dataclass(frozen=True)
class HeldLease:
    """A lease that this process has acquired and may still hold.

    Times are in seconds on the monotonic clock.

    Attributes:
        key: Key of the row.
        holder: Name of this process, unique for each start.
        number: Fencing number; rises with each change of the holder.
        row_version: Version of the row after the last renewal.
        valid_until: Time at which the lease expires.
        renew_at: Time from which the lease is to be renewed.
        acquired_at: Time at which this process took the lease over.
    """

    key: str
    holder: str
    number: int
    row_version: int
    valid_until: float
    renew_at: float
    acquired_at: float


class StepKind(enum.Enum):
    """Kind of action on a lease."""

    WAIT = "wait"
    READ = "read"
    ACQUIRE = "acquire"
    RENEW = "renew"


@dataclasses.dataclass(frozen=True)
class Step:
    """The next action on a lease.

    Attributes:
        kind: Action to take.
        transaction: Transaction to commit for `ACQUIRE` and `RENEW`.
        number: Fencing number of the lease if the transaction commits.
    """

    kind: StepKind
    transaction: interfaces.Transaction | None = None
    number: int = 0


def observe(
    previous: LeaseObservation | None, row: interfaces.Row, now: float
) -> LeaseObservation:
    """Returns the observation after a read that ended at `now`."""
    if previous is not None and previous.row.version == row.version:
        return previous
    return LeaseObservation(row.key, row, now)


def readable(row: interfaces.Row, max_duration_s: float) -> interfaces.Row:
    """Returns a lease row, without its value if another writer left that.

    A lease is taken over from such a row as from an absent one, on condition
    that it has not changed.

    Args:
        row: Row as read.
        max_duration_s: Longest duration of a lease, in seconds.
    """
    if row.value and _is_lease(row.value, max_duration_s):
        return row
    return dataclasses.replace(row, value=None)


def _is_lease(value: Any, max_duration_s: float) -> bool:
    if not isinstance(value, dict) or not isinstance(value.get("holder"), str):
        return False
    number, duration_s = value.get("number"), value.get("duration_s")
    return (
        isinstance(number, int)
        and 0 <= number <= _MAX_NUMBER
        and isinstance(duration_s, int | float)
        and 0 <= duration_s <= max_duration_s
    )


def holds(held_lease: HeldLease | None, now: float) -> bool:
    """Returns whether the lease exists and has not expired at `now`."""
    return held_lease is not None and now < held_lease.valid_until


def decide(
    observation: LeaseObservation | None,
    held_lease: HeldLease | None,
    holder: str,
    duration_s: float,
    now: float,
    takeover_delay_s: float = 0.0,
    min_number: int = 0,
) -> Step:
    """Returns the next action on a lease.

    Args:
        observation: Last observation of the row; None before the first read.
        held_lease: Lease of this process; None if it has none.
        holder: Name of this process.
        duration_s: Duration of the lease to request, in seconds.
        now: Current time on the monotonic clock, in seconds.
        takeover_delay_s: Additional wait before taking over, in seconds, so
            that preferred contenders go first.
        min_number: Lowest fencing number to take the lease over with.
    """
    if held_lease is not None and holds(held_lease, now):
        if now < held_lease.renew_at:
            return Step(StepKind.WAIT)
        return renew(held_lease, duration_s, now)
    if observation is None:
        return Step(StepKind.READ)
    if (
        now - observation.unchanged_since
        < _expiry_wait_s(observation) + takeover_delay_s
    ):
        return Step(StepKind.READ)
    return take_over(observation, holder, duration_s, now, min_number)


def take_over(
    observation: LeaseObservation,
    holder: str,
    duration_s: float,
    now: float,
    min_number: int = 0,
) -> Step:
    """Returns the step that takes a lease over from any holder.

    This is safe only once the holder's lease has expired, or its process is
    known to have ended. The number is at least `min_number`, since that of the
    row goes back with a store that is restored from a copy.
    """
    return _write(
        StepKind.ACQUIRE,
        observation.key,
        holder,
        max(_lease_number(observation.row) + 1, min_number),
        duration_s,
        observation.row.version,
        now,
    )


def renew(held_lease: HeldLease, duration_s: float, now: float) -> Step:
    """Returns the step that renews a lease.

    The transaction checks the row's version, which shows whether another
    process has taken the lease over, so this is safe even after the lease has
    expired.
    """
    return _write(
        StepKind.RENEW,
        held_lease.key,
        held_lease.holder,
        held_lease.number,
        duration_s,
        held_lease.row_version,
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
        step: Committed step.
        key: Key of the row.
        holder: Name of this process.
        row_version: Version of the row after the commit.
        duration_s: Duration of the lease, in seconds.
        requested_at: Time before the commit was requested, in seconds on the
            monotonic clock.
        acquired_at: Time at which the lease was taken over, in seconds on the
            monotonic clock.
    """
    valid_s = duration_s * (1 - CLOCK_RATE_ERROR)
    return HeldLease(
        key,
        holder,
        step.number,
        row_version,
        requested_at + valid_s,
        requested_at + duration_s * _RENEW_AFTER_SHARE,
        acquired_at,
    )


def is_written_by(row: interfaces.Row, step: Step) -> bool:
    """Returns whether a row has exactly the value that a step writes.

    This tells whether a step with a lost answer has committed: the value
    includes the holder, the fencing number and the time on the holder's
    clock, a combination that no other step writes.
    """
    if step.transaction is None:
        return False
    return row.value == step.transaction.writes[0].value


def is_held_by(row: interfaces.Row, held_lease: HeldLease) -> bool:
    """Returns whether a row still has the lease's holder and number."""
    value = row.value
    if not value:
        return False
    return (
        value["holder"] == held_lease.holder
        and value["number"] == held_lease.number
    )


def is_older(row: interfaces.Row, held_lease: HeldLease) -> bool:
    """Returns whether a row is from before a lease, since its store lost it."""
    return _lease_number(row) < held_lease.number


def release(held_lease: HeldLease) -> interfaces.Transaction:
    """Returns the transaction that releases a lease before it expires."""
    value = {"holder": "", "number": held_lease.number, "duration_s": 0.0}
    return interfaces.Transaction(
        (interfaces.Check(held_lease.key, held_lease.row_version),),
        (interfaces.Write(held_lease.key, value),),
    )


def fence_base(number: int) -> int:
    """Returns the lowest fencing number for orders under a lease.

    Args:
        number: Fencing number of the lease.
    """
    return number * FENCES_PER_LEASE


def number_above(fence: int) -> int:
    """Returns the lowest number whose fencing numbers are all above one."""
    return fence // FENCES_PER_LEASE + 1


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


def _lease_number(row: interfaces.Row) -> int:
    return row.value["number"] if row.value else 0


def _expiry_wait_s(observation: LeaseObservation) -> float:
    value = observation.row.value
    if not value or not value["holder"]:
        return 0.0
    return value["duration_s"] * (1 + CLOCK_RATE_ERROR)
