"""Estimates how many replicas of each model the load needs.

Load can move between models, so the estimate follows the recent peak of
running requests per model, with headroom. Where the offered load is known, it
counts instead: requests that a model without capacity refuses don't run.
"""

from collections.abc import Mapping
from typing import Protocol

from tamarackpier.routing import model as routing_model

__all__ = ["Demand", "OfferedDemand", "OfferedLoad"]

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
# Slots needed per busy slot of offered load. Arrivals vary, and above eight
# tenths of use first events are late.
_OFFERED_HEADROOM = 1.25
# The offered rate decays by itself; this half-life only bridges short gaps, so
# that a pause of some seconds retires nothing.
_OFFERED_HALF_LIFE_S = 5.0
# Prompt tokens of a request until some were seen.
_ASSUMED_PROMPT_TOKENS = 500.0


class OfferedLoad(Protocol):
    """Load that callers offer to a model, as `traffic.offered_load` has it."""

    @property
    def demand_rate(self) -> float:
        """Requests a second without the returns of refused callers."""

    @property
    def prompt_tokens(self) -> float:
        """Mean number of prompt tokens."""


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


class OfferedDemand(Demand):
    """Demand by the load that callers offer, refused requests included.

    The peaks are of busy slots: requests a second times the time that a full
    replica takes for one.

    Attributes:
        prompt_tokens: Mean number of prompt tokens by name of the model.
    """

    def __init__(self, spec: routing_model.EngineSpec, now: float) -> None:
        super().__init__(spec, now)
        self.prompt_tokens: dict[str, float] = {}
        self._offered_at = now

    def record_offered(
        self,
        offered: Mapping[str, OfferedLoad],
        running: Mapping[str, int],
        now: float,
    ) -> None:
        """Updates the peaks.

        Instances of an earlier build report only running requests, which are
        a lower bound of the load.

        Args:
            offered: Offered load by name of the model.
            running: Number of running requests by name of the model.
            now: Current time, in seconds on the monotonic clock.
        """
        decay = 0.5 ** ((now - self._offered_at) / _OFFERED_HALF_LIFE_S)
        self._offered_at = now
        busy = {}
        for model_spec in self.spec.models:
            name = model_spec.name
            load = offered.get(name)
            slots = float(running.get(name, 0))
            if load is not None and load.demand_rate > 0:
                self.prompt_tokens[name] = load.prompt_tokens
                slots = max(
                    slots, load.demand_rate * self.service_s(model_spec)
                )
            busy[name] = max(self.peaks.get(name, 0.0) * decay, slots)
        # Values too small to count would never let the peaks be zero again.
        self.peaks = {
            name: slots if slots >= _LEAST_SHARE else 0.0
            for name, slots in busy.items()
        }
        self._updated_at = now
        if self._first_request_at is None and any(self.peaks.values()):
            self._first_request_at = now

    @property
    def is_before_first_request(self) -> bool:
        """Whether no request is known to have been offered."""
        return self._first_request_at is None

    def service_s(self, model_spec: routing_model.ModelSpec) -> float:
        """Returns the time that a full replica takes for a request."""
        spec = self.spec
        step_s = spec.step_s + spec.slots * spec.step_s_per_sequence
        prompt_tokens = self.prompt_tokens.get(
            model_spec.name, _ASSUMED_PROMPT_TOKENS
        )
        reading_s = prompt_tokens / max(1.0, spec.prefill_tokens_per_s)
        answer_s = step_s * (spec.mean_answer_tokens + spec.stride)
        return max(0.01, model_spec.pace * (reading_s + answer_s))

    def needed(self, model_spec: routing_model.ModelSpec) -> float:
        """Returns the number of replicas that a model's load needs.

        Each model needs one, and before the first request its share.
        """
        if self.is_before_first_request:
            return max(1.0, _MIN_REPLICAS * model_spec.share)
        peak = self.peaks.get(model_spec.name, 0.0)
        return max(1.0, _OFFERED_HEADROOM * peak / max(1, self.spec.slots))
