"""Bounds what callers' connections hold in the memory of an instance together.

Each request has limits of its own, but many callers that stay within them, or
that don't read their answers, could still exhaust the memory. What counts are
bytes that have arrived and were not parsed, headers, bodies until the answer
ends, and answers that were not sent.
"""

import math
import resource
from typing import Protocol

from tamarackpier import logs, metrics

__all__ = [
    "CallerMemory",
    "Holder",
    "max_bytes",
    "max_connections",
    "most_bytes",
]

# Memory of the smallest instances, which is assumed where it is not known.
_LEAST_MEMORY_MB = 200
_BYTES_PER_MB = 1_000_000
# A body is copied once more when it is sent to an engine. With answers of
# engines, which have a sixth of the memory, half of it is left for the rest.
DEFAULT_SHARE = 1 / 6
# From this share of the limit on, large requests are refused as they arrive, so
# that a quarter is left for small ones.
_LARGE_REFUSED_FROM = 0.75
_LARGE_SHARE = 1 / 64
# Share of the memory up to which the limit is raised if the configuration
# allows requests that would not fit otherwise.
_MOST_SHARE = 1 / 4
# A connection with a request takes up 19 KB, an idle one 7 KB, as measured with
# 1,500 of them.
_CONNECTION_BYTES = 16_000
_CONNECTION_SHARE = 1 / 8
_LEAST_CONNECTIONS = 64


class Holder(Protocol):
    """A connection that holds memory."""

    @property
    def is_refusable(self) -> bool:
        """Whether its request has not run and can still be refused."""


def max_bytes(memory_mb: int, share: float = DEFAULT_SHARE) -> int:
    """Returns the limit for an instance with that memory; 0 if not known."""
    return int((memory_mb or _LEAST_MEMORY_MB) * _BYTES_PER_MB * share)


def most_bytes(memory_mb: int) -> int:
    """Returns up to which the limit may be raised for large requests."""
    return max_bytes(memory_mb, _MOST_SHARE)


def max_connections(divisor: int = 2, memory_mb: int = 0) -> int:
    """Returns how many connections a listener may have.

    Args:
        divisor: Part of the descriptors that the process may open.
        memory_mb: Memory of the process, in megabytes; 0 if it is not known.
    """
    count = resource.getrlimit(resource.RLIMIT_NOFILE)[0] // divisor
    if memory_mb:
        memory_bytes = memory_mb * _BYTES_PER_MB * _CONNECTION_SHARE
        count = min(count, int(memory_bytes / _CONNECTION_BYTES))
    return max(_LEAST_CONNECTIONS, count)


class CallerMemory:
    """Counts the bytes that connections hold and chooses which gives up.

    Attributes:
        max_bytes: Limit of all together.
        least_bytes: The limit unless requests may be large beside it.
        most_bytes: Largest limit.
        metrics: Counters of what limits did; None to count nothing.
        total: Bytes that all hold.
        sizes: Bytes that each holds; those that hold nothing are left out.
    """

    def __init__(
        self,
        max_bytes: int,
        counts: metrics.Metrics | None = None,
        most_bytes: int = 0,
    ) -> None:
        self.max_bytes = max_bytes
        self.least_bytes = max_bytes
        self.most_bytes = max(max_bytes, most_bytes)
        self.metrics = counts
        self._request_bytes = 0
        self.total = 0
        self.sizes: dict[Holder, int] = {}

    def fit(self, request_bytes: int) -> None:
        """Fits the limit to the largest request, which is served if alone.

        Args:
            request_bytes: Bytes that the largest request that is allowed
                makes a connection hold.
        """
        if request_bytes == self._request_bytes:
            return
        self._request_bytes = request_bytes
        needed_bytes = math.ceil(request_bytes / _LARGE_REFUSED_FROM)
        self.max_bytes = max(
            self.least_bytes, min(needed_bytes, self.most_bytes)
        )
        if needed_bytes > self.most_bytes:
            logs.event(
                "largest requests are refused",
                request_bytes=request_bytes,
                needed_bytes=needed_bytes,
                limit_bytes=self.max_bytes,
            )

    def update(self, holder: Holder, size: int) -> None:
        """Records how many bytes a connection holds now."""
        self.total += size - self.sizes.get(holder, 0)
        if size:
            self.sizes[holder] = size
        else:
            self.sizes.pop(holder, None)

    def victim(self, grown: Holder) -> Holder | None:
        """Returns the connection that is to give up what it holds, or None.

        If the limit is exceeded, this is the largest. One whose request has not
        run comes first, unless it holds less than half as much: a refusal says
        that the caller may send it again, and a close says nothing.

        Args:
            grown: The connection that holds more than before.
        """
        if self.total <= self.max_bytes * _LARGE_REFUSED_FROM:
            return None
        is_large = self.sizes.get(grown, 0) >= self.max_bytes * _LARGE_SHARE
        if is_large and grown.is_refusable:
            return grown
        if self.total <= self.max_bytes:
            return None
        sizes = self.sizes
        largest = max(sizes, key=sizes.__getitem__)
        refusable = max(
            (holder for holder in sizes if holder.is_refusable),
            key=sizes.__getitem__,
            default=largest,
        )
        return refusable if 2 * sizes[refusable] >= sizes[largest] else largest
