"""Limits the retries in a sliding window.

During an outage, when many requests fail at once, retries may add only a
limited load to the remaining engines. The limit is a share of the requests in
the window plus a constant. All instances share it: each counts only its own
requests and uses an equal part of the constant, so no instance has to ask
another. How many retries the process sent before a restart is not known, so
the constant grows from zero over the first window after the start.
"""

import collections
import dataclasses

__all__ = ["BudgetUsage", "RetryBudget"]

# Number of buckets in which a window is counted; counts expire by the bucket.
_BUCKETS_PER_WINDOW = 20
# Share of the limit that may be used. The windows of the instances are not
# aligned, so the limit needs a margin.
_LIMIT_SHARE = 0.8


@dataclasses.dataclass(frozen=True)
class BudgetUsage:
    """State of a retry budget in the current window.

    Attributes:
        retries: Number of retries taken.
        limit: Number of retries that may be taken.
    """

    retries: int
    limit: float


class RetryBudget:
    """Retries that this instance may send to one service.

    The argument `now` of the methods is the current time, in seconds on the
    monotonic clock.

    Attributes:
        ratio: Retries allowed per request.
        extra: Retries allowed in addition per window, over all instances.
        window_s: Length of the window, in seconds.
        started_at: Start of the process, in seconds on the monotonic clock.
        instances: Number of instances that share `extra`.
    """

    def __init__(
        self, ratio: float, extra: float, window_s: float, started_at: float
    ) -> None:
        self.ratio = ratio
        self.extra = extra
        self.window_s = window_s
        self.started_at = started_at
        self.instances = 1
        self._bucket_s = window_s / _BUCKETS_PER_WINDOW
        # Each bucket is [index, requests, retries].
        self._buckets: collections.deque[list[float]] = collections.deque()

    def set_limits(self, ratio: float, extra: float, window_s: float) -> None:
        """Changes the limits; what was counted stays counted."""
        self.ratio = ratio
        self.extra = extra
        self.window_s = window_s
        old_bucket_s = self._bucket_s
        self._bucket_s = window_s / _BUCKETS_PER_WINDOW
        if self._bucket_s == old_bucket_s:
            return
        buckets, self._buckets = self._buckets, collections.deque()
        for index, requests, retries in buckets:
            new_index = index * old_bucket_s // self._bucket_s
            if not self._buckets or self._buckets[-1][0] < new_index:
                self._buckets.append([new_index, 0, 0])
            self._buckets[-1][1] += requests
            self._buckets[-1][2] += retries

    def count_request(self, now: float) -> None:
        """Counts a request to the service."""
        self._bucket(now)[1] += 1

    def has_left(self, now: float) -> bool:
        """Returns whether a retry is left in the budget."""
        usage = self.usage(now)
        return usage.retries + 1 <= usage.limit

    def spend(self, now: float) -> bool:
        """Takes one retry from the budget; returns whether one was left."""
        if not self.has_left(now):
            return False
        self._bucket(now)[2] += 1
        return True

    def usage(self, now: float) -> BudgetUsage:
        """Returns the state of the budget in the current window."""
        self._bucket(now)
        requests = sum(counts[1] for counts in self._buckets)
        retries = sum(counts[2] for counts in self._buckets)
        extra_share = min(1.0, (now - self.started_at) / self.window_s)
        extra = self.extra * extra_share / self.instances
        limit = _LIMIT_SHARE * (self.ratio * requests + extra)
        return BudgetUsage(int(retries), limit)

    def _bucket(self, now: float) -> list[float]:
        """Drops the expired buckets and returns the current one."""
        index = now // self._bucket_s
        while (
            self._buckets
            and self._buckets[0][0] <= index - _BUCKETS_PER_WINDOW - 1
        ):
            self._buckets.popleft()
        if not self._buckets or self._buckets[-1][0] < index:
            self._buckets.append([index, 0, 0])
        return self._buckets[-1]
