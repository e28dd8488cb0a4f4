"""Rates of events by key, from counts that decay."""

import math
from typing import Generic, TypeVar

__all__ = ["Rates"]

K = TypeVar("K")
# A small instance gets about two requests a second, so the mix of its requests
# is known only over some seconds.
_HALF_LIFE_S = 4.0
# Count below which a key is forgotten.
_MIN_COUNT = 0.01


class Rates(Generic[K]):
    """Rates of events by key, with a bound on the number of keys.

    The argument `now` of the methods is the current time, in seconds on the
    monotonic clock.

    Attributes:
        max_keys: Number of keys above which the rarest is forgotten.
    """

    def __init__(self, max_keys: int) -> None:
        self.max_keys = max_keys
        self._counts: dict[K, float] = {}
        self._counted_at = 0.0
        self._began_at: float | None = None

    def record(self, key: K, now: float) -> None:
        """Counts an event."""
        if self._began_at is None:
            self._began_at = self._counted_at = now
        self._decay(now)
        self._counts[key] = self._counts.get(key, 0.0) + 1.0
        if len(self._counts) > self.max_keys:
            del self._counts[min(self._counts, key=self._counts.__getitem__)]

    def all(self, now: float) -> dict[K, float]:
        """Returns the events a second by key."""
        if self._began_at is None:
            return {}
        self._decay(now)
        # Counts of the time before the first event are missing.
        seen = 1 - 0.5 ** (max(1.0, now - self._began_at) / _HALF_LIFE_S)
        per_count = math.log(2) / _HALF_LIFE_S / seen
        return {key: count * per_count for key, count in self._counts.items()}

    def _decay(self, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self._counted_at) / _HALF_LIFE_S)
        self._counted_at = max(now, self._counted_at)
        self._counts = {
            key: count * factor
            for key, count in self._counts.items()
            if count * factor >= _MIN_COUNT
        }
