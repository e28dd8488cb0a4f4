"""Learns the part of the first event's delay that the specification omits."""

__all__ = ["FixedDelays"]

# Weights of a longer and of a shorter delay than the known one. Load only adds
# to the delay, so shorter ones tell more.
_LONGER_WEIGHT = 0.05
_SHORTER_WEIGHT = 0.2
_MAX_DELAY_S = 5.0
# Models that are kept, several times those in use.
_MAX_MODELS = 64


class FixedDelays:
    """Time to the first event beyond the specified one, by model.

    Attributes:
        delays_s: Delay in seconds, by service and model.
    """

    def __init__(self) -> None:
        self.delays_s: dict[tuple[str, str], float] = {}

    def record(self, service: str, model: str, excess_s: float) -> None:
        """Records a first event at a replica that had a free slot.

        Args:
            service: Name of the service.
            model: Name of the model.
            excess_s: Measured less specified time, in seconds.
        """
        key = (service, model)
        excess_s = min(max(0.0, excess_s), _MAX_DELAY_S)
        known_s = self.delays_s.get(key)
        if known_s is None:
            if len(self.delays_s) < _MAX_MODELS:
                self.delays_s[key] = excess_s
            return
        is_longer = excess_s > known_s
        weight = _LONGER_WEIGHT if is_longer else _SHORTER_WEIGHT
        self.delays_s[key] = known_s + weight * (excess_s - known_s)

    def delay_s(self, service: str, model: str) -> float:
        """Returns the delay of a model; 0 if none has been recorded."""
        return self.delays_s.get((service, model), 0.0)
