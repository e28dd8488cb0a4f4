"""Which free engines load which weights.

The weight store serves few loads at a time, so loads are what limits how soon
replicas stand again after many engines were lost: those that complete a
replica come first, the fewest missing first, then spares for what serves.
"""

import collections
from collections.abc import Collection, Mapping, Sequence

from tamarackpier.fleet import fleet_view, model
from tamarackpier.routing import model as routing_model

__all__ = ["Staging", "PlannedLoad"]

_STAGE_S = 40.0  # Longest wait for weights before they are ordered again.
_NEVER = 99

PlannedLoad = tuple[model.EngineRecord, str]


class Staging:
    """Loads under way, and those to begin.

    Attributes:
        spec: How the engines work.
        planner_count: Planners that share the weight store.
        loading: Engines that load, with the model and since when.
        tokens: Loads that may begin now.
    """

    def __init__(
        self, spec: routing_model.EngineSpec, planner_count: int, now: float
    ) -> None:
        self.spec = spec
        self.planner_count = planner_count
        self.loading: dict[str, tuple[str, float]] = {}
        self.tokens = self._most_tokens()
        self._at = now

    def refill(self, now: float) -> None:
        """Lets more loads begin as time passes."""
        rate = self.spec.loads_per_s / self.planner_count
        self.tokens = min(
            self._most_tokens(), self.tokens + (now - self._at) * rate
        )
        self._at = now

    def prune(self, fleet: fleet_view.FleetView, now: float) -> None:
        """Drops loads that ended, and those that nothing is heard of."""
        for name, (model_name, since) in list(self.loading.items()):
            engine = fleet.engines.get(name)
            if (
                engine is None
                or name in fleet.silent
                or model_name in engine.staged
                or now - since > _STAGE_S
            ):
                del self.loading[name]

    def model_of(self, engine: model.EngineRecord) -> str:
        """Returns the model that an engine has, or is loading."""
        pending = self.loading.get(engine.id)
        if pending is not None:
            return pending[0]
        return engine.staged[-1] if engine.staged else ""

    def slowdown(self, loads: int) -> float:
        """Returns how much slower loads are when many run."""
        return max(1.0, loads / max(1, self.spec.loads_at_once))

    def orders(
        self,
        free: Mapping[str, Sequence[model.EngineRecord]],
        exposed: Mapping[str, Mapping[str, int]],
        wanted: Sequence[routing_model.ModelSpec],
        now: float,
    ) -> list[model.Order]:
        """Returns the loads to begin.

        Args:
            free: Free engines by domain.
            exposed: Engines in replicas, by domain and model.
            wanted: The models, the one that lacks most first.
            now: The monotonic clock.
        """
        wishes: list[PlannedLoad] = []
        for domain in sorted(free, key=lambda each: self._urgency(free[each])):
            held = exposed.get(domain, {})
            found = self._completions(free[domain], held, wanted)
            wishes += found
            wishes += self._spares(free[domain], held, found)
        orders = []
        for engine, name in wishes:
            if self.tokens < 1 or len(self.loading) >= self._at_once():
                break
            self.tokens -= 1
            self.loading[engine.id] = (name, now)
            orders.append(
                model.Order(model.OrderKind.STAGE, engine, "spare", model=name)
            )
        return orders

    def _at_once(self) -> int:
        """Returns how many loads this planner keeps under way.

        More at a time would only slow each other down, and finish no sooner.
        """
        return max(1, self.spec.loads_at_once // self.planner_count)

    def _most_tokens(self) -> float:
        return max(2.0, self.spec.loads_per_s)

    def _urgency(self, free: Sequence[model.EngineRecord]) -> tuple[int, int]:
        """Ranks domains by how few loads let them form a replica."""
        missing = [
            spec.span
            - sum(1 for each in free if self.model_of(each) == spec.name)
            for spec in self.spec.models
            if spec.span <= len(free)
        ]
        needed = [each for each in missing if each > 0]
        return (min(needed, default=_NEVER), -len(free))

    def _completions(
        self,
        free: Sequence[model.EngineRecord],
        exposed: Mapping[str, int],
        wanted: Sequence[routing_model.ModelSpec],
    ) -> list[PlannedLoad]:
        """Returns the loads that let a domain's free engines form a replica."""
        best: list[PlannedLoad] | None = None
        for spec in wanted:
            have = [each for each in free if self.model_of(each) == spec.name]
            missing = spec.span - len(have)
            if missing <= 0:
                return []
            others = self._loadable(free, have, exposed)[:missing]
            if len(others) < missing:
                continue
            if best is None or missing < len(best):
                best = [(each, spec.name) for each in others]
        return best or []

    def _loadable(
        self,
        free: Sequence[model.EngineRecord],
        have: Collection[model.EngineRecord],
        exposed: Mapping[str, int],
    ) -> list[model.EngineRecord]:
        """Returns engines to load anew, empty ones first.

        Those that are a spare of a replica in their domain stay one.
        """
        found = [
            each
            for each in free
            if each not in have
            and each.id not in self.loading
            and not exposed.get(self.model_of(each))
        ]
        return sorted(found, key=lambda each: (bool(each.staged), each.id))

    def _spares(
        self,
        free: Sequence[model.EngineRecord],
        exposed: Mapping[str, int],
        wishes: Sequence[PlannedLoad],
    ) -> list[PlannedLoad]:
        """Returns the loads that give a domain's replicas spares."""
        if not exposed:
            return []
        taken = {each.id for each, _ in wishes}
        held = collections.Counter(self.model_of(each) for each in free)
        held.update(name for _, name in wishes)
        found = []
        for each in free:
            if self.model_of(each) or each.id in taken:
                continue
            name = max(
                exposed, key=lambda name: exposed[name] / (1 + held[name])
            )
            held[name] += 1
            found.append((each, name))
        return found
