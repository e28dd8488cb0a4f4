"""A rate that is smoothed over time and decays while nothing happens."""

import math

__all__ = ["RateMeter"]


class RateMeter:
    """What is counted for each second, over the last few.

    Attributes:
        time_s: Time in which a past amount fades to 1/e.
        rate: Amount a second, as of the last update.
        updated_at: Monotonic time of the last update.
    """

    def __init__(self, time_constant_s: float, now: float) -> None:
        self.time_constant_s = time_constant_s
        self.rate = 0.0
        self.updated_at = now

    def add(self, amount: float, now: float) -> None:
        """Counts an amount."""
        self.rate = self.rate_at(now) + amount / self.time_constant_s
        self.updated_at = now

    def rate_at(self, now: float) -> float:
        """Returns the rate at a moment."""
        passed_s = max(0.0, now - self.updated_at)
        return self.rate * math.exp(-passed_s / self.time_constant_s)
