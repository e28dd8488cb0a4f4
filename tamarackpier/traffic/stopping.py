"""What a planned stop does when.

Answers callers that keep an address for a while: the instance serves on until
they have heard of others, then refuses, and ends once nothing is in flight.
"""

import enum

__all__ = ["StopPhase", "stop_phase"]

# Shares of the grace of a stop; the platform kills at its end.
_REFUSE_SHARE = 0.42
_LEAST_SHARE = 0.5
_MOST_SHARE = 0.95


class StopPhase(enum.Enum):
    """How far a planned stop is."""

    SERVES = "serves"
    REFUSES = "refuses"
    ENDS = "ends"


def stop_phase(since_s: float, grace_s: float, in_flight: int) -> StopPhase:
    """Returns how far a stop is.

    Args:
        since_s: Time since it was asked for.
        grace_s: Time until the process is killed.
        in_flight: Requests without a final answer.
    """
    share = since_s / grace_s
    if share > _MOST_SHARE or (share > _LEAST_SHARE and in_flight == 0):
        return StopPhase.ENDS
    if share > _REFUSE_SHARE:
        return StopPhase.REFUSES
    return StopPhase.SERVES
