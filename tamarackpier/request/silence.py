"""Decides what becomes of an attempt whose replica has fallen silent.

A healthy engine may stand still for a second or so and go on, so its silence is
no reason to end an answer. An attempt ends only if its call can go on elsewhere
now, or if it is known that waiting is of no use; otherwise it is held.
"""

import dataclasses
import enum

from tamarackpier.replica import gate

__all__ = ["SilentAttempt", "Step", "decide", "is_answering"]

# Time in which an engine that answers again sends the pieces that are due.
_CATCH_UP_S = 1.0


class Step(enum.Enum):
    """What becomes of an attempt.

    Attributes:
        HOLD: It waits on.
        MOVE: It ends, and its call goes on in a slot that is reserved.
        END: It ends, since the replica will not go on or the time is over.
    """

    HOLD = "hold"
    MOVE = "move"
    END = "end"


@dataclasses.dataclass(frozen=True)
class SilentAttempt:
    """An attempt that has received nothing for longer than the limit.

    Attributes:
        replica_id: Replica that runs the call.
        fence: Fencing number under which the call was sent.
        answering_since: Monotonic time in seconds of the first evidence of the
            replica after the silence exceeded the limit; None if there is none.
        deadline: Monotonic time in seconds after which the caller no longer
            waits.
    """

    replica_id: str
    fence: int
    answering_since: float | None
    deadline: float


def is_answering(
    attempt: SilentAttempt, evidence: gate.Evidence | None
) -> bool:
    """Returns whether the replica answers although its attempt is silent.

    Then the connection is at fault, and the call can go on at the replica.

    Args:
        attempt: The silent attempt.
        evidence: Latest evidence of its replica.
    """
    if evidence is None or evidence.fence < attempt.fence:
        return False
    return evidence.fence > attempt.fence or (
        attempt.answering_since is not None
        and evidence.at >= attempt.answering_since + _CATCH_UP_S
    )


def decide(
    attempt: SilentAttempt,
    evidence: gate.Evidence | None,
    can_move: bool,
    now: float,
) -> Step:
    """Decides about a silent attempt.

    Args:
        attempt: The silent attempt.
        evidence: Latest evidence of its replica.
        can_move: Whether a retry is allowed and has a slot.
        now: Monotonic time in seconds.
    """
    if can_move:
        return Step.MOVE
    # An engine ends the streams of an earlier formation when it goes on.
    is_replaced = evidence is not None and evidence.fence > attempt.fence
    if is_replaced or now >= attempt.deadline:
        return Step.END
    return Step.HOLD
