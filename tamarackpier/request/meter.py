"""An exponentially smoothed rate, which decays while nothing is counted."""

import math

__all__ = ["RateMeter"]


class RateMeter:
    """Exponentially smoothed amount per second.

    Attributes:
        time_constant_s: Seconds in which a past amount decays to 1/e.
        rate: Amount per second as of the last update.
        updated_at: Monotonic time in seconds of the last update.
    """

    def __init__(self, time_constant_s: float, now: float) -> None:
        self.time_constant_s = time_constant_s
        self.rate = 0.0
        self.updated_at = now

    def add(self, amount: float, now: float) -> None:
        """Adds an amount that was counted at `now`."""
        self.rate = self.rate_at(now) + amount / self.time_constant_s
        self.updated_at = now

    def rate_at(self, now: float) -> float:
        """Returns the amount per second, decayed to `now`."""
        elapsed_s = max(0.0, now - self.updated_at)
        return self.rate * math.exp(-elapsed_s / self.time_constant_s)
