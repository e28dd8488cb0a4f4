"""Recent latency and failure rate of each upstream.

Detects upstreams that are slow or fail part of their requests although their
health checks pass. Scores decay, so that an upstream that has recovered is
tried again.
"""

import dataclasses

__all__ = ["Scores"]

# Half-life of failure rates, and of differences from the usual latency.
_HALF_LIFE_S = 3.0
# Weight of a new observation in the moving average.
_NEW_WEIGHT = 0.25


@dataclasses.dataclass
class _Score:
    """Moving averages of one upstream.

    Attributes:
        failure_rate: Share of failed attempts, 0 to 1.
        failure_rate_at: Time up to which the failure rate has decayed, in
            seconds on the monotonic clock.
        latency: Latency of answers; 0 if none has been recorded.
        latency_at: Time of the last recorded latency, in seconds on the
            monotonic clock.
    """

    failure_rate: float = 0.0
    failure_rate_at: float = 0.0
    latency: float = 0.0
    latency_at: float = 0.0


class Scores:
    """Latency and failure rate by upstream.

    All latencies of an instance have one unit: seconds, or for example the
    ratio of the measured to the expected time. The argument `now` of the
    methods is the current time, in seconds on the monotonic clock.

    Attributes:
        scores: Scores by the ID of the upstream.
    """

    def __init__(self) -> None:
        self.scores: dict[str, _Score] = {}

    def record_success(self, upstream: str, latency: float, now: float) -> None:
        """Records an answer and its latency."""
        score = self._score(upstream, now)
        score.failure_rate *= 1 - _NEW_WEIGHT
        if score.latency == 0:
            score.latency = latency
        score.latency += _NEW_WEIGHT * (latency - score.latency)
        score.latency_at = now

    def record_failure(self, upstream: str, now: float) -> None:
        """Records a failed attempt."""
        score = self._score(upstream, now)
        score.failure_rate += _NEW_WEIGHT * (1 - score.failure_rate)

    def failure_rate(self, upstream: str, now: float) -> float:
        """Returns the recent share of failed attempts, 0 to 1."""
        if upstream not in self.scores:
            return 0.0
        return self._score(upstream, now).failure_rate

    def latency(self, upstream: str, usual: float, now: float) -> float:
        """Returns the expected latency, in the unit of the recorded ones.

        It decays from the last observations to `usual`, which is returned for
        an upstream without observations.
        """
        score = self.scores.get(upstream)
        if score is None or score.latency == 0:
            return usual
        decay = 0.5 ** ((now - score.latency_at) / _HALF_LIFE_S)
        return usual + (score.latency - usual) * decay

    def keep_only(self, upstreams: set[str]) -> None:
        """Forgets the upstreams that are not in `upstreams`."""
        for upstream in [name for name in self.scores if name not in upstreams]:
            del self.scores[upstream]

    def _score(self, upstream: str, now: float) -> _Score:
        """Returns the score of an upstream, with its failure rate up to date.

        Adds a score if the upstream has none.
        """
        score = self.scores.setdefault(upstream, _Score(failure_rate_at=now))
        decay = 0.5 ** ((now - score.failure_rate_at) / _HALF_LIFE_S)
        score.failure_rate *= decay
        score.failure_rate_at = now
        return score
