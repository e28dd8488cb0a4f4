"""Requests in flight at each upstream, as far as this instance knows."""

import dataclasses
from collections.abc import Mapping
from typing import Generic, TypeVar

__all__ = ["Loads", "Usage"]

K = TypeVar("K")
# Age at which the last report of a peer is stale: six report periods.
_PEER_EXPIRY_S = 1.5


@dataclasses.dataclass(frozen=True)
class Usage:
    """Requests in flight at one upstream.

    Attributes:
        running: Number of requests sent and not ended.
        reading_tokens: Prompt tokens of the requests without an event yet,
            whose prompts the upstream is still reading.
        bound: Number of requests that can't be sent to another upstream.
    """

    running: int = 0
    reading_tokens: int = 0
    bound: int = 0

    def plus(self, other: "Usage") -> "Usage":
        """Returns the sum of this usage and the other."""
        return Usage(
            self.running + other.running,
            self.reading_tokens + other.reading_tokens,
            self.bound + other.bound,
        )

    def minus(self, other: "Usage") -> "Usage":
        """Returns the difference of this usage and the other."""
        return Usage(
            self.running - other.running,
            self.reading_tokens - other.reading_tokens,
            self.bound - other.bound,
        )


_NO_USAGE = Usage()


class Loads(Generic[K]):
    """Requests in flight by upstream, of this instance and of its peers.

    Attributes:
        own_usages: Requests of this instance, by upstream.
        peers: By peer ID, the time of its last report, in seconds on the
            monotonic clock, and the requests in the report by upstream.
        peer_totals: Sum of the peers' requests, by upstream.
    """

    def __init__(self) -> None:
        self.own_usages: dict[K, Usage] = {}
        self.peers: dict[str, tuple[float, Mapping[K, Usage]]] = {}
        self.peer_totals: dict[K, Usage] = {}

    def begin(self, upstream: K, prompt_tokens: int = 0) -> None:
        """Counts a request that was sent."""
        self._add(upstream, Usage(1, prompt_tokens))

    def finish_reading(self, upstream: K, prompt_tokens: int) -> None:
        """Records that the upstream has read a request's prompt."""
        self._add(upstream, Usage(0, -prompt_tokens))

    def end(self, upstream: K, prompt_tokens: int = 0) -> None:
        """Removes a request that has ended.

        Args:
            upstream: Upstream that it was sent to.
            prompt_tokens: Its prompt tokens if they were not read; else 0.
        """
        self._add(upstream, Usage(-1, -prompt_tokens))

    def bind(self, upstream: K) -> None:
        """Counts a request that can't be sent to another upstream."""
        self._add(upstream, Usage(bound=1))

    def unbind(self, upstream: K) -> None:
        """Removes a request that was counted by `bind`."""
        self._add(upstream, Usage(bound=-1))

    def update_peer(
        self, peer_id: str, usages: Mapping[K, Usage], now: float
    ) -> None:
        """Replaces the requests of a peer by those of its new report.

        Args:
            peer_id: ID of the peer.
            usages: Requests in the report, by upstream.
            now: Time of the report, in seconds on the monotonic clock.
        """
        self._forget_peer(peer_id)
        self.peers[peer_id] = (now, usages)
        for upstream, usage in usages.items():
            self.peer_totals[upstream] = self.peer_totals.get(
                upstream, _NO_USAGE
            ).plus(usage)

    def usage(self, upstream: K) -> Usage:
        """Returns the requests at an upstream, over all instances."""
        peer_total = self.peer_totals.get(upstream, _NO_USAGE)
        return self.own_usages.get(upstream, _NO_USAGE).plus(peer_total)

    def expire(self, now: float) -> None:
        """Forgets peers whose last report is stale."""
        stale_peer_ids = [
            peer_id
            for peer_id, (reported_at, _) in self.peers.items()
            if now - reported_at >= _PEER_EXPIRY_S
        ]
        for peer_id in stale_peer_ids:
            self._forget_peer(peer_id)

    def _forget_peer(self, peer_id: str) -> None:
        _, usages = self.peers.pop(peer_id, (0.0, {}))
        for upstream, usage in usages.items():
            total = self.peer_totals[upstream].minus(usage)
            if total == _NO_USAGE:
                del self.peer_totals[upstream]
            else:
                self.peer_totals[upstream] = total

    def _add(self, upstream: K, change: Usage) -> None:
        usage = self.own_usages.get(upstream, _NO_USAGE).plus(change)
        if max(usage.running, usage.reading_tokens, usage.bound) <= 0:
            self.own_usages.pop(upstream, None)
        else:
            self.own_usages[upstream] = usage
