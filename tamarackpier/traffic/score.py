"""How well each upstream has answered lately.

Answers upstreams that are slow, or fail part of their requests, while their
health looks good. A score fades, so that one that has recovered is tried again.
"""

import dataclasses

__all__ = ["Scores"]

_HALF_LIFE_S = 3.0
_WEIGHT = 0.25  # Of a new observation in the moving average.


@dataclasses.dataclass
class _Score:
    failure_rate: float = 0.0
    failing_at: float = 0.0
    latency_s: float = 0.0
    latency_at: float = 0.0


class Scores:
    """Failures and latency by upstream.

    Attributes:
        scores: The scores by upstream's id.
    """

    def __init__(self) -> None:
        self.scores: dict[str, _Score] = {}

    def record_success(
        self, upstream: str, latency_s: float, now: float
    ) -> None:
        """Notes an answer."""
        score = self._score(upstream, now)
        score.failure_rate *= 1 - _WEIGHT
        if score.latency_s == 0:
            score.latency_s = latency_s
        score.latency_s += _WEIGHT * (latency_s - score.latency_s)
        score.latency_at = now

    def record_failure(self, upstream: str, now: float) -> None:
        """Notes a failure."""
        score = self._score(upstream, now)
        score.failure_rate += _WEIGHT * (1 - score.failure_rate)

    def failure_rate(self, upstream: str, now: float) -> float:
        """Returns the share of failures lately, 0 to 1."""
        if upstream not in self.scores:
            return 0.0
        return self._score(upstream, now).failure_rate

    def latency_s(self, upstream: str, usual_s: float, now: float) -> float:
        """Returns the latency to expect; the usual one if none is known."""
        score = self.scores.get(upstream)
        if score is None or score.latency_s == 0:
            return usual_s
        fade = 0.5 ** ((now - score.latency_at) / _HALF_LIFE_S)
        return usual_s + (score.latency_s - usual_s) * fade

    def keep_only(self, upstreams: set[str]) -> None:
        """Forgets upstreams that are gone."""
        for name in [each for each in self.scores if each not in upstreams]:
            del self.scores[name]

    def _score(self, upstream: str, now: float) -> _Score:
        score = self.scores.setdefault(upstream, _Score(failing_at=now))
        fade = 0.5 ** ((now - score.failing_at) / _HALF_LIFE_S)
        score.failure_rate *= fade
        score.failing_at = now
        return score
