"""Limits and tracks the loads of weights onto free engines.

The weight store serves few loads at a time, so loads limit how soon replicas
are complete again after the loss of many engines. Before the first request of a
deployment there is no limit. Which engine loads what is decided by the packing
of the domains.

Where loads are ranked over all zones, every planner goes through the same list,
and starts those of its own zone that are among the first `loads_at_once`. Rows
don't tell which engines load. So a planner assumes of a load of another zone
that it starts when its turn comes, as that zone's planner has the same list.
"""

import collections
import dataclasses
from collections.abc import Collection, Iterable

from tamarackpier.fleet import fleet_view, model
from tamarackpier.routing import model as routing_model

__all__ = ["PlannedLoad", "RankedLoad", "Staging"]

# Longest wait for a load to complete before the engine may get a new order.
_LOAD_TIMEOUT_S = 40.0

# Longest time that a load in another zone is assumed to take, as a multiple of
# its usual time, and the extra for orders and rows to arrive.
_ASSUMED_FACTOR = 1.25
_ASSUMED_SLACK_S = 3.0
# Time for which an engine of another zone is assumed not to load, after a load
# that was assumed did not complete: its zone may have no planner.
_DISREGARD_S = 30.0

# Time for which a load must be among the first before it starts. Planners see
# formations of other zones some 100 ms later, and rank differently until then.
_SETTLE_S = 0.35

# A model without any replica comes first with one in so many of the concurrent
# loads. A wide replica that lacks all weights takes them all for more than half
# a minute, and at a high rate of losses is seldom complete then.
_URGENT_LANE_DIVISOR = 1

# An engine, and the name of the model whose weights it is to load.
PlannedLoad = tuple[model.EngineRecord, str]


@dataclasses.dataclass(frozen=True)
class RankedLoad:
    """A load in the ranking of all zones.

    Attributes:
        engine: The engine.
        model: Name of the model whose weights it is to load.
        reason: Reason for the load, for the log.
        settle_s: Time for which it must be among the first before it starts.
    """

    engine: model.EngineRecord
    model: str
    reason: str
    settle_s: float = _SETTLE_S


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
        assumed: The same for loads that engines of other zones are assumed to
            run.
        tokens: Number of loads that may start now.
    """

    def __init__(
        self, spec: routing_model.EngineSpec, planner_count: int, now: float
    ) -> None:
        self.spec = spec
        self.planner_count = planner_count
        self.active_count = planner_count
        self.loading: dict[str, tuple[str, float]] = {}
        self.assumed: dict[str, tuple[str, float]] = {}
        self.tokens = self._max_tokens()
        self._disregarded_until: dict[str, float] = {}
        # Time since which each load is among the first that may start.
        self._first_since: dict[tuple[str, str], float] = {}
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
        self._prune_assumed(fleet, now)

    def _prune_assumed(self, fleet: fleet_view.FleetView, now: float) -> None:
        """Forgets loads of other zones that must be complete or have failed."""
        for engine_id, (model_name, started_at) in list(self.assumed.items()):
            engine = fleet.engines.get(engine_id)
            spec = self.spec.model(model_name)
            load_s = spec.load_s if spec else 0.0
            is_late = (
                now - started_at > _ASSUMED_FACTOR * load_s + _ASSUMED_SLACK_S
            )
            if (
                engine is None
                or engine.is_leaving
                or engine_id in fleet.silent
                or fleet.is_evacuated(engine)
                or model_name in engine.staged
                or engine.membership is not None
                or is_late
            ):
                del self.assumed[engine_id]
                if is_late:
                    self._disregarded_until[engine_id] = now + _DISREGARD_S
        self._disregarded_until = {
            engine_id: until
            for engine_id, until in self._disregarded_until.items()
            if until > now
        }

    def is_loading(self, engine_id: str) -> bool:
        """Returns whether an engine loads weights, as far as is known."""
        return engine_id in self.loading or engine_id in self.assumed

    def model_of(self, engine: model.EngineRecord) -> str:
        """Returns the model whose weights an engine has or is loading.

        Returns:
            The name of the model; empty for none. For an engine with several,
            the last one staged.
        """
        load = self.loading.get(engine.id) or self.assumed.get(engine.id)
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

    def with_urgent_first(
        self, urgent: Iterable[RankedLoad], others: Iterable[RankedLoad]
    ) -> list[RankedLoad]:
        """Returns loads with the urgent ones first, as far as they have lanes.

        Args:
            urgent: Loads of models without a replica, or for their last one.
            others: The other loads.
        """
        running = collections.Counter(
            name for name, _ in (*self.loading.values(), *self.assumed.values())
        )
        first = []
        later = []
        lanes = max(1, self.spec.loads_at_once // _URGENT_LANE_DIVISOR)
        for load in urgent:
            running[load.model] += 1
            if running[load.model] <= lanes:
                first.append(load)
            else:
                later.append(load)
        return [*first, *others, *later]

    def ranked_orders(
        self,
        ranked: Iterable[RankedLoad],
        zone: str,
        own_ids: Collection[str],
        is_unlimited: bool,
        now: float,
    ) -> list[model.Order]:
        """Returns the orders for the loads of a zone to start now.

        Args:
            ranked: The loads of all zones, the most valuable first.
            zone: Availability zone of this planner.
            own_ids: IDs of its engines that may load.
            is_unlimited: Whether the weight store's limits don't apply yet.
            now: Current time, in seconds on the monotonic clock.
        """
        if is_unlimited:
            first = [
                load for load in ranked if load.engine.availability_zone == zone
            ]
        else:
            first = self._settled_first(ranked, now)
        orders = []
        for load in first:
            engine = load.engine
            if engine.availability_zone != zone:
                self.assumed[engine.id] = (load.model, now)
                continue
            if engine.id not in own_ids:
                continue
            if not is_unlimited:
                if self.tokens < 1:
                    continue
                self.tokens -= 1
            self.loading[engine.id] = (load.model, now)
            orders.append(
                model.Order(
                    model.OrderKind.STAGE,
                    engine,
                    load.reason,
                    model=load.model,
                )
            )
        return orders

    def _settled_first(
        self, ranked: Iterable[RankedLoad], now: float
    ) -> list[RankedLoad]:
        """Returns the first loads that there is room for, if they are so yet.

        Args:
            ranked: The loads of all zones, the most valuable first.
            now: Current time, in seconds on the monotonic clock.
        """
        room = self.spec.loads_at_once - len(self.loading) - len(self.assumed)
        # The next ones settle while others still run.
        first = [
            load
            for load in ranked
            if load.engine.id not in self._disregarded_until
        ][: self.spec.loads_at_once]
        self._first_since = {
            (load.engine.id, load.model): self._first_since.get(
                (load.engine.id, load.model), now
            )
            for load in first
        }
        return [
            load
            for load in first[: max(0, room)]
            if now - self._first_since[load.engine.id, load.model]
            >= load.settle_s
        ]

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
