"""Converts local times to ages in messages, and back.

Two instances never compare their clocks.
"""

__all__ = ["MAX_AGE_MS", "age_ms", "local_time"]

MAX_AGE_MS = (1 << 32) - 1  # Messages carry ages in 32 bits.
_MS_PER_S = 1000


def age_ms(at: float, now: float) -> int:
    """Returns the age of an event in whole milliseconds, rounded up.

    A peer may have reported an event with the greatest age of all.

    Args:
        at: Time of the event, in seconds.
        now: Current time on the same clock, in seconds.
    """
    return min(MAX_AGE_MS, max(0, int((now - at) * _MS_PER_S) + 1))


def local_time(age: int, asked_at: float) -> float:
    """Returns the earliest local time of an event that a peer reported.

    The age is subtracted from the time at which the request was sent, so the
    clocks of the two instances are not compared.

    Args:
        age: Age of the event in milliseconds, as the peer sent it.
        asked_at: Time at which the request was sent, in seconds.
    """
    return asked_at - age / _MS_PER_S
