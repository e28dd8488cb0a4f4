"""Bounds repeats to a share of the requests of a sliding window.

Answers an outage: when much fails at once, repeats may add only a fixed share
to the load on what is left. All instances share one bound; each keeps to its
own requests and an even part of the constant, so none has to ask another. What
a former life of the process spent is not known, so the constant part comes
back only over the first window.
"""

import collections

__all__ = ["RetryBudget"]

_STEPS = 20  # Buckets in a window; a bucket is dropped whole.
_SAFETY = 0.8  # Part of the bound used, since instances' windows differ.


class RetryBudget:
    """Repeats allowed to one service from this instance.

    Attributes:
        ratio: Repeats for each request.
        extra: Repeats that are allowed beside, over all instances.
        window_s: Length of the window.
        started_at: When the process started.
        instances: Instances that share `extra`.
    """

    def __init__(
        self, ratio: float, extra: float, window_s: float, started_at: float
    ) -> None:
        self.ratio = ratio
        self.extra = extra
        self.window_s = window_s
        self.started_at = started_at
        self.instances = 1
        self._step_s = window_s / _STEPS
        self._buckets: collections.deque[list[float]] = collections.deque()

    def count_request(self, now: float) -> None:
        """Counts a request that came for the service."""
        self._bucket(now)[1] += 1

    def spend(self, now: float) -> bool:
        """Takes one repeat; returns whether there was one."""
        bucket = self._bucket(now)
        requests = sum(each[1] for each in self._buckets)
        repeats = sum(each[2] for each in self._buckets)
        regained = min(1.0, (now - self.started_at) / self.window_s)
        extra = self.extra * regained / self.instances
        allowed = self.ratio * requests + extra
        if repeats + 1 > _SAFETY * allowed:
            return False
        bucket[2] += 1
        return True

    def _bucket(self, now: float) -> list[float]:
        start = now // self._step_s
        while self._buckets and self._buckets[0][0] <= start - _STEPS - 1:
            self._buckets.popleft()
        if not self._buckets or self._buckets[-1][0] < start:
            self._buckets.append([start, 0, 0])
        return self._buckets[-1]
