"""Limits and tracks the loads of weights onto free engines.

The weight store serves few loads at a time, so loads limit how soon replicas
are complete again after the loss of many engines. Before the first request of a
deployment there is no limit. Which engine loads what is decided by the packing
of the domains.
"""

from collections.abc import Iterable

from tamarackpier.fleet import fleet_view, model
from tamarackpier.routing import model as routing_model

__all__ = ["PlannedLoad", "Staging"]

# Longest wait for a load to complete before the engine may get a new order.
_LOAD_TIMEOUT_S = 40.0

# An engine, and the name of the model whose weights it is to load.
PlannedLoad = tuple[model.EngineRecord, str]


class Staging:
    """Weight loads under way, and those to start.

    A token bucket limits the rate at which loads start; each planner gets an
    equal share of the weight store's rate.

    Attributes:
        spec: Capacity and timing of the engines.
        planner_count: Number of planners that share the weight store.
        active_count: Number of those that have loads to do, as far as this one
            knows.
        loading: Model and start time of the load of each loading engine, by
            engine ID; the time is in seconds on the monotonic clock.
        tokens: Number of loads that may start now.
    """

    def __init__(
        self, spec: routing_model.EngineSpec, planner_count: int, now: float
    ) -> None:
        self.spec = spec
        self.planner_count = planner_count
        self.active_count = planner_count
        self.loading: dict[str, tuple[str, float]] = {}
        self.tokens = self._max_tokens()
        self._refilled_at = now

    def refill(self, now: float) -> None:
        """Adds the tokens for the time since the last refill."""
        rate = self.spec.loads_per_s / self.planner_count
        self.tokens = min(
            self._max_tokens(), self.tokens + (now - self._refilled_at) * rate
        )
        self._refilled_at = now

    def prune(self, fleet: fleet_view.FleetView, now: float) -> None:
        """Forgets loads that are complete, timed out, or of lost engines."""
        for engine_id, (model_name, started_at) in list(self.loading.items()):
            engine = fleet.engines.get(engine_id)
            if (
                engine is None
                or engine_id in fleet.silent
                or model_name in engine.staged
                or now - started_at > _LOAD_TIMEOUT_S
            ):
                del self.loading[engine_id]

    def model_of(self, engine: model.EngineRecord) -> str:
        """Returns the model whose weights an engine has or is loading.

        Returns:
            The name of the model; empty for none. For an engine with several,
            the last one staged.
        """
        load = self.loading.get(engine.id)
        if load is not None:
            return load[0]
        return engine.staged[-1] if engine.staged else ""

    def orders(
        self,
        planned_loads: Iterable[PlannedLoad],
        is_unlimited: bool,
        now: float,
    ) -> list[model.Order]:
        """Returns the orders for the loads to start now.

        Args:
            planned_loads: The loads, the most urgent first.
            is_unlimited: Whether the weight store's limits don't apply yet.
            now: Current time, in seconds on the monotonic clock.
        """
        orders = []
        for engine, name in planned_loads:
            if not is_unlimited:
                if not self.has_room:
                    break
                self.tokens -= 1
            self.loading[engine.id] = (name, now)
            orders.append(
                model.Order(model.OrderKind.STAGE, engine, "spare", model=name)
            )
        return orders

    @property
    def has_room(self) -> bool:
        """Whether another load may start now."""
        return self.tokens >= 1 and len(self.loading) < self._max_loads()

    def _max_loads(self) -> int:
        """Returns the number of loads that this planner runs concurrently.

        More of them would slow each other down and finish no sooner.
        """
        return max(1, self.spec.loads_at_once // self.active_count)

    def _max_tokens(self) -> float:
        return max(2.0, self.spec.loads_per_s)
