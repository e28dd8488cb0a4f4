"""How many replicas of each model the load needs.

Answers a load that moves between models: the highest number of requests seen
lately, with headroom, says what each model should have.
"""

from collections.abc import Mapping

from tamarackpier.routing import model as routing_model

__all__ = ["Demand"]

_HEADROOM = 1.8  # Slots for each running request; full replicas are slow.
_LEAST_REPLICAS = 4.0  # Over all models, while nothing runs yet.
_PEAK_HALF_LIFE_S = 10.0


class Demand:
    """Requests by model, at their highest lately.

    Attributes:
        spec: The models and their slots.
        peaks: Highest number of running requests by model, fading.
    """

    def __init__(self, spec: routing_model.EngineSpec, now: float) -> None:
        self.spec = spec
        self.peaks: dict[str, float] = {}
        self._at = now

    @property
    def is_idle(self) -> bool:
        """Whether nothing has run yet."""
        return not any(self.peaks.values())

    def record(self, running: Mapping[str, int], now: float) -> None:
        """Takes the requests that run now, by model."""
        fade = 0.5 ** ((now - self._at) / _PEAK_HALF_LIFE_S)
        self._at = now
        for spec in self.spec.models:
            faded = self.peaks.get(spec.name, 0.0) * fade
            self.peaks[spec.name] = max(faded, running.get(spec.name, 0))

    def coverage(self, spec: routing_model.ModelSpec, count: int) -> float:
        """Returns a number of replicas over those that the load needs."""
        running = self.peaks.get(spec.name, 0.0)
        needed = max(
            _LEAST_REPLICAS * spec.share,
            _HEADROOM * running / max(1, self.spec.slots),
        )
        return count / needed
