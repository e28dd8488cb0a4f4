"""Plans which free engines load the weights of which model.

The weight store serves few loads at a time, so loads limit how soon replicas
are complete again after the loss of many engines. Loads that complete a replica
come first, those with the fewest missing engines first; then come loads of
spares, which are free engines that hold the weights of a replica in their
domain and can replace a member of it without a load.
"""

import collections
import math
from collections.abc import Collection, Mapping, Sequence

from tamarackpier.fleet import fleet_view, model
from tamarackpier.routing import model as routing_model

__all__ = ["PlannedLoad", "Staging"]

# Longest wait for a load to complete before the engine may get a new order.
_LOAD_TIMEOUT_S = 40.0
# Free engines that keep the weights of a model with a replica in their domain
# while another model is short of replicas.
_MIN_SPARES = 2
# Sort key of a domain in which no load would help to form a replica; follows
# every number of loads.
_LAST_SORT_KEY = 99

# An engine, and the name of the model whose weights it is to load.
PlannedLoad = tuple[model.EngineRecord, str]


class Staging:
    """Weight loads under way, and those to start.

    A token bucket limits the rate at which loads start; each planner gets an
    equal share of the weight store's rate.

    Attributes:
        spec: Capacity and timing of the engines.
        planner_count: Number of planners that share the weight store.
        loading: Model and start time of the load of each loading engine, by
            engine ID; the time is in seconds on the monotonic clock.
        tokens: Number of loads that may start now.
    """

    def __init__(
        self, spec: routing_model.EngineSpec, planner_count: int, now: float
    ) -> None:
        self.spec = spec
        self.planner_count = planner_count
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

    def slowdown(self, concurrent_loads: int) -> float:
        """Returns the factor on the load time for so many concurrent loads."""
        return max(1.0, concurrent_loads / max(1, self.spec.loads_at_once))

    def orders(
        self,
        free: Mapping[str, Sequence[model.EngineRecord]],
        in_replicas: Mapping[str, Mapping[str, int]],
        models: Sequence[routing_model.ModelSpec],
        short: Collection[str],
        now: float,
    ) -> list[model.Order]:
        """Returns the orders for the loads to start now.

        Args:
            free: Free engines by domain.
            in_replicas: Number of engines in replicas, by domain and model.
            models: Models in order of coverage, which is the ratio of their
                replicas to those that the load needs; lowest first.
            short: Names of the models with fewer replicas than that; if there
                are any, loads complete only replicas of these.
            now: Current time, in seconds on the monotonic clock.
        """
        short_models = [spec for spec in models if spec.name in short]
        kept_spares = _MIN_SPARES if short_models else math.inf
        planned_loads: list[PlannedLoad] = []
        for domain in sorted(free, key=lambda name: self._sort_key(free[name])):
            engine_counts = in_replicas.get(domain, {})
            completions = self._completions(
                free[domain], engine_counts, short_models or models, kept_spares
            )
            planned_loads += completions
            planned_loads += self._spares(
                free[domain], engine_counts, completions
            )
        orders = []
        for engine, name in planned_loads:
            if self.tokens < 1 or len(self.loading) >= self._max_loads():
                break
            self.tokens -= 1
            self.loading[engine.id] = (name, now)
            orders.append(
                model.Order(model.OrderKind.STAGE, engine, "spare", model=name)
            )
        return orders

    def _max_loads(self) -> int:
        """Returns the number of loads that this planner runs concurrently.

        More of them would slow each other down and finish no sooner.
        """
        return max(1, self.spec.loads_at_once // self.planner_count)

    def _max_tokens(self) -> float:
        return max(2.0, self.spec.loads_per_s)

    def _sort_key(self, free: Sequence[model.EngineRecord]) -> tuple[int, int]:
        """Returns the sort key of a domain; the lowest is served first.

        The domain that needs the fewest loads to form a replica comes first;
        among equals, the one with the most free engines.
        """
        missing_counts = [
            spec.span
            - sum(1 for engine in free if self.model_of(engine) == spec.name)
            for spec in self.spec.models
            if spec.span <= len(free)
        ]
        needed_counts = [count for count in missing_counts if count > 0]
        return (min(needed_counts, default=_LAST_SORT_KEY), -len(free))

    def _completions(
        self,
        free: Sequence[model.EngineRecord],
        engine_counts: Mapping[str, int],
        models: Sequence[routing_model.ModelSpec],
        kept_spares: float,
    ) -> list[PlannedLoad]:
        """Returns the fewest loads with which free engines form a replica.

        Args:
            free: Free engines of a domain.
            engine_counts: Number of engines in the domain's replicas, by model.
            models: Models in order of coverage, lowest first.
            kept_spares: Number of spares of a model that keep its weights.

        Returns:
            The loads; empty if no replica can be completed, or if the free
            engines can already form one without a load.
        """
        best: list[PlannedLoad] | None = None
        for spec in models:
            holders = [
                engine for engine in free if self.model_of(engine) == spec.name
            ]
            missing = spec.span - len(holders)
            if missing <= 0:
                return []
            candidates = self._reloadable(
                free, holders, engine_counts, kept_spares
            )[:missing]
            if len(candidates) < missing:
                continue
            if best is None or missing < len(best):
                best = [(engine, spec.name) for engine in candidates]
        return best or []

    def _reloadable(
        self,
        free: Sequence[model.EngineRecord],
        holders: Collection[model.EngineRecord],
        engine_counts: Mapping[str, int],
        kept_spares: float,
    ) -> list[model.EngineRecord]:
        """Returns the free engines that may load other weights.

        `kept_spares` spares of each model with a replica in their domain keep
        their weights.

        Returns:
            The engines; those without weights come first.
        """
        spare_counts: collections.Counter[str] = collections.Counter()
        candidates = []
        for engine in sorted(free, key=lambda engine: engine.id):
            name = self.model_of(engine)
            spare_counts[name] += 1
            is_kept = (
                engine_counts.get(name) and spare_counts[name] <= kept_spares
            )
            if not (is_kept or engine in holders or engine.id in self.loading):
                candidates.append(engine)
        return sorted(
            candidates, key=lambda engine: (bool(engine.staged), engine.id)
        )

    def _spares(
        self,
        free: Sequence[model.EngineRecord],
        engine_counts: Mapping[str, int],
        planned_loads: Sequence[PlannedLoad],
    ) -> list[PlannedLoad]:
        """Returns the loads that provide spares for a domain's replicas.

        Args:
            free: Free engines of the domain.
            engine_counts: Number of engines in the domain's replicas, by model.
            planned_loads: Loads of the domain that are already planned.
        """
        if not engine_counts:
            return []
        planned_ids = {engine.id for engine, _ in planned_loads}
        spare_counts = collections.Counter(
            self.model_of(engine) for engine in free
        )
        spare_counts.update(name for _, name in planned_loads)
        spares = []
        for engine in free:
            if self.model_of(engine) or engine.id in planned_ids:
                continue
            name = max(
                engine_counts,
                key=lambda name: engine_counts[name] / (1 + spare_counts[name]),
            )
            spare_counts[name] += 1
            spares.append((engine, name))
        return spares
