"""Phases of a planned stop.

Callers keep an instance's address for a while. The instance therefore goes on
serving until they have learned other addresses, then refuses new requests, and
ends once no request is in flight. It begins only requests that it can expect to
finish, and answers all others in time.
"""

import enum

__all__ = ["StopPhase", "answer_by", "is_too_late", "stop_phase"]

# Shares of the grace period that have passed when a phase may begin. At the end
# of the grace period, the platform kills the process. With 8 s of it, requests
# are refused after 3 s, longer than the 2 s for which callers keep addresses;
# the last ones before have 4 s.
_REFUSE_SHARE = 0.375
_EARLIEST_END_SHARE = 0.5
# Share after which requests in flight are answered without their engine, so
# that their answers are sent before the end.
_LAST_ANSWER_SHARE = 0.9
_LATEST_END_SHARE = 0.95


class StopPhase(enum.Enum):
    """Phase of a planned stop.

    Attributes:
        SERVES: The instance serves as before.
        REFUSES: It refuses new requests and completes those in flight.
        ENDS: The process ends.
    """

    SERVES = "serves"
    REFUSES = "refuses"
    ENDS = "ends"


def answer_by(started_at: float, grace_s: float) -> float:
    """Returns the time by which all requests have their final answer.

    Args:
        started_at: Time at which the stop was requested, in seconds.
        grace_s: Grace period, in seconds.
    """
    return started_at + _LAST_ANSWER_SHARE * grace_s


def is_too_late(expected_s: float, now: float, stops_at: float) -> bool:
    """Returns whether a request can't be expected to finish before a stop.

    Args:
        expected_s: Expected duration of the request, in seconds.
        now: Present time, in seconds.
        stops_at: Time by which requests have their final answer; infinite if
            no stop is planned.
    """
    return now + expected_s > stops_at


def stop_phase(elapsed_s: float, grace_s: float, in_flight: int) -> StopPhase:
    """Returns the phase of a planned stop.

    Args:
        elapsed_s: Time since the stop was requested, in seconds.
        grace_s: Grace period: time from the request to stop until the process
            is killed, in seconds.
        in_flight: Number of requests without a final answer, and of other
            work that the instance has to finish.
    """
    share = elapsed_s / grace_s
    if share > _LATEST_END_SHARE or (
        share > _EARLIEST_END_SHARE and in_flight == 0
    ):
        return StopPhase.ENDS
    if share > _REFUSE_SHARE:
        return StopPhase.REFUSES
    return StopPhase.SERVES
