"""Phases of a planned stop.

Callers keep an instance's address for a while. The instance therefore serves on
until they have learned other addresses, then refuses new requests, and ends
once nothing is in flight.
"""

import enum

__all__ = ["StopPhase", "stop_phase"]

# Shares of the grace period, at whose end the platform kills the process.
_REFUSE_SHARE = 0.42
_EARLIEST_END_SHARE = 0.5
_LATEST_END_SHARE = 0.95


class StopPhase(enum.Enum):
    """Phase of a planned stop."""

    SERVES = "serves"
    REFUSES = "refuses"
    ENDS = "ends"


def stop_phase(elapsed_s: float, grace_s: float, in_flight: int) -> StopPhase:
    """Returns the phase of a planned stop.

    Args:
        elapsed_s: Time since the stop was requested, in seconds.
        grace_s: Time from the request until the process is killed, in seconds.
        in_flight: Number of requests without a final answer.
    """
    share = elapsed_s / grace_s
    if share > _LATEST_END_SHARE or (
        share > _EARLIEST_END_SHARE and in_flight == 0
    ):
        return StopPhase.ENDS
    if share > _REFUSE_SHARE:
        return StopPhase.REFUSES
    return StopPhase.SERVES
