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
# Lower bounds that keep ratios finite, for a model with a share of 0.
_LEAST_NEEDED = 0.1
_LEAST_SHARE = 0.01
_PEAK_HALF_LIFE_S = 10.0
# Time from the first request after which the load is known well enough to
# divide the engines by it alone.
_LOAD_KNOWN_S = 10.0


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
        self._first_request_at: float | None = None

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
        if self._first_request_at is None and not self.is_before_first_request:
            self._first_request_at = now

    def needed(self, model_spec: routing_model.ModelSpec) -> float:
        """Returns the number of replicas that a model's load needs."""
        peak = self.peaks.get(model_spec.name, 0.0)
        return max(
            _MIN_REPLICAS * model_spec.share,
            _HEADROOM * peak / max(1, self.spec.slots),
            _LEAST_NEEDED,
        )

    def engine_shares(self) -> dict[str, float]:
        """Returns the share of the engines that each model's load calls for.

        The shares of the specification hold before the first request, and those
        of the observed load `_LOAD_KNOWN_S` later; in between, both count.
        """
        engines = {
            spec.name: self.needed(spec) * spec.span
            for spec in self.spec.models
        }
        total = sum(engines.values())
        total_share = sum(spec.share for spec in self.spec.models)
        known = 0.0
        if self._first_request_at is not None:
            known_s = self._updated_at - self._first_request_at
            known = min(1.0, known_s / _LOAD_KNOWN_S)
        return {
            spec.name: max(
                _LEAST_SHARE,
                known * engines[spec.name] / total
                + (1 - known) * spec.share / max(total_share, _LEAST_SHARE),
            )
            for spec in self.spec.models
        }
