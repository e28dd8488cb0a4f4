"""Requests in flight at each upstream, as far as this instance knows."""

import binascii
import dataclasses
from collections.abc import Mapping
from typing import Generic, TypeVar

__all__ = ["Loads", "Usage", "name_hash"]

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


def name_hash(name: str) -> int:
    """Returns the hash by which messages name an account."""
    return binascii.crc32(name.encode())


@dataclasses.dataclass(frozen=True)
class _Observation:
    """Requests in flight at an upstream, as it said itself.

    Attributes:
        running: Number of requests of all instances.
        own_running: Those of this instance at that time, as it knows them.
        at: Time of the answer, in seconds on the monotonic clock.
    """

    running: int
    own_running: int
    at: float


class Loads(Generic[K]):
    """Requests in flight by upstream, of this instance and of its peers.

    Attributes:
        own_usages: Requests of this instance, by upstream.
        peers: By peer ID, the time of its last report, in seconds on the
            monotonic clock, and the requests in the report by upstream.
        peer_totals: Sum of the peers' requests, by upstream.
        observed: What upstreams said of their loads since the reports that are
            known, by upstream.
        observed_s: Time for which that holds: the age of reports, in seconds.
    """

    def __init__(self) -> None:
        self.own_usages: dict[K, Usage] = {}
        self.peers: dict[str, tuple[float, Mapping[K, Usage]]] = {}
        self.peer_totals: dict[K, Usage] = {}
        self.observed: dict[K, _Observation] = {}
        self.observed_s = 0.25

    def observe(self, upstream: K, running: int, now: float) -> None:
        """Records the load that an upstream said in an answer.

        Args:
            upstream: Upstream that answered.
            running: Its requests, the waiting ones included.
            now: Time of the answer, in seconds on the monotonic clock.
        """
        own = self.own_usages.get(upstream, _NO_USAGE).running
        # Requests of this instance that are still on their way are not in it.
        self.observed[upstream] = _Observation(max(running, own), own, now)

    def totals(self) -> dict[K, int]:
        """Returns the number of requests by upstream, over all instances."""
        return {
            upstream: self.usage(upstream).running
            for upstream in {*self.own_usages, *self.peer_totals}
        }

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
        own = self.own_usages.get(upstream, _NO_USAGE)
        usage = own.plus(self.peer_totals.get(upstream, _NO_USAGE))
        observed = self.observed.get(upstream)
        if observed is None:
            return usage
        # Reports that come meanwhile are older than the answer, so only the
        # own requests are counted on.
        running = observed.running + own.running - observed.own_running
        return dataclasses.replace(usage, running=max(running, own.running))

    def expire(self, now: float) -> None:
        """Forgets reports and answers that are stale."""
        for upstream, observed in list(self.observed.items()):
            if now - observed.at >= self.observed_s:
                del self.observed[upstream]
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
