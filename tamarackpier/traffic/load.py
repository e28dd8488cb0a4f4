"""What runs where, as far as this instance knows."""

import dataclasses
from collections.abc import Mapping
from typing import Generic, TypeVar

__all__ = ["Loads", "Usage"]

K = TypeVar("K")
_PEER_AGE_S = 1.5  # Six exchanges; older loads say nothing.


@dataclasses.dataclass(frozen=True)
class Usage:
    """Requests at one upstream.

    Attributes:
        running: Requests sent and not ended.
        reading_tokens: Prompt tokens of those that have no event yet.
    """

    running: int = 0
    reading_tokens: int = 0

    def plus(self, other: "Usage") -> "Usage":
        """Returns the sum."""
        return Usage(
            self.running + other.running,
            self.reading_tokens + other.reading_tokens,
        )

    def minus(self, other: "Usage") -> "Usage":
        """Returns the difference."""
        return Usage(
            self.running - other.running,
            self.reading_tokens - other.reading_tokens,
        )


_NONE = Usage()


class Loads(Generic[K]):
    """Requests by upstream, our own and what peers say of theirs.

    Attributes:
        own: This instance's requests.
        peers: Each peer's requests, with when it told.
        told: The sum of what peers told, by upstream.
    """

    def __init__(self) -> None:
        self.own: dict[K, Usage] = {}
        self.peers: dict[str, tuple[float, Mapping[K, Usage]]] = {}
        self.peer_totals: dict[K, Usage] = {}

    def begin(self, upstream: K, prompt_tokens: int = 0) -> None:
        """Counts a request that is sent."""
        self._add(upstream, Usage(1, prompt_tokens))

    def finish_reading(self, upstream: K, prompt_tokens: int) -> None:
        """Notes that a request's prompt has been read."""
        self._add(upstream, Usage(0, -prompt_tokens))

    def end(self, upstream: K, prompt_tokens: int = 0) -> None:
        """Counts a request out; `prompt_tokens` if they are still unread."""
        self._add(upstream, Usage(-1, -prompt_tokens))

    def update_peer(
        self, name: str, usage: Mapping[K, Usage], now: float
    ) -> None:
        """Takes what a peer says of its requests."""
        self._forget(name)
        self.peers[name] = (now, usage)
        for upstream, each in usage.items():
            self.peer_totals[upstream] = self.peer_totals.get(
                upstream, _NONE
            ).plus(each)

    def usage(self, upstream: K) -> Usage:
        """Returns the requests at an upstream."""
        told = self.peer_totals.get(upstream, _NONE)
        return self.own.get(upstream, _NONE).plus(told)

    def expire(self, now: float) -> None:
        """Forgets peers that have not told for long."""
        old = [
            name
            for name, (at, _) in self.peers.items()
            if now - at >= _PEER_AGE_S
        ]
        for name in old:
            self._forget(name)

    def _forget(self, name: str) -> None:
        _, usage = self.peers.pop(name, (0.0, {}))
        for upstream, each in usage.items():
            left = self.peer_totals[upstream].minus(each)
            if left == _NONE:
                del self.peer_totals[upstream]
            else:
                self.peer_totals[upstream] = left

    def _add(self, upstream: K, change: Usage) -> None:
        found = self.own.get(upstream, _NONE).plus(change)
        if found.running <= 0 and found.reading_tokens <= 0:
            self.own.pop(upstream, None)
        else:
            self.own[upstream] = found
