"""Estimates how many replicas of each model the load needs.

Load can move between models, so the estimate follows the recent peak of
running requests per model, with headroom.
"""

from collections.abc import Mapping

from tamarackpier.routing import model as routing_model

__all__ = ["Demand"]

# Slots needed per running request, since full replicas are slow.
_HEADROOM = 1.8
# Minimum number of replicas over all models, also if no request has run; each
# model needs its share of it.
_MIN_REPLICAS = 4.0
_PEAK_HALF_LIFE_S = 10.0


class Demand:
    """Decaying peak of the running requests of each model.

    Attributes:
        spec: Models of the service, and the slots of their replicas.
        peaks: Recent peak of running requests by name of the model; it decays
            over time.
    """

    def __init__(self, spec: routing_model.EngineSpec, now: float) -> None:
        self.spec = spec
        self.peaks: dict[str, float] = {}
        self._updated_at = now

    @property
    def is_before_first_request(self) -> bool:
        """Whether no request has run yet."""
        return not any(self.peaks.values())

    def record(self, running: Mapping[str, int], now: float) -> None:
        """Updates the peaks.

        Args:
            running: Number of running requests by name of the model.
            now: Current time, in seconds on the monotonic clock.
        """
        decay = 0.5 ** ((now - self._updated_at) / _PEAK_HALF_LIFE_S)
        self._updated_at = now
        for model_spec in self.spec.models:
            decayed = self.peaks.get(model_spec.name, 0.0) * decay
            self.peaks[model_spec.name] = max(
                decayed, running.get(model_spec.name, 0)
            )

    def coverage(
        self, model_spec: routing_model.ModelSpec, count: int
    ) -> float:
        """Returns the ratio of a replica count to the count the load needs."""
        peak = self.peaks.get(model_spec.name, 0.0)
        needed = max(
            _MIN_REPLICAS * model_spec.share,
            _HEADROOM * peak / max(1, self.spec.slots),
        )
        return count / needed
