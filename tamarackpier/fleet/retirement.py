"""Takes back the members of replicas that can't serve any more.

A member joins another replica only after the lead has left, or after it has
left itself: an engine that nobody reaches may live, with its replica open.
"""

import dataclasses
from collections.abc import Callable, Mapping

from tamarackpier.fleet import fleet_view, model
from tamarackpier.fleet import sent_orders as sent_orders_lib
from tamarackpier.routing import model as routing_model

__all__ = ["Retirements", "Retirement"]

_ADOPT_S = 1.5  # How long a replica of another planner may stay incomplete.
_DRAIN_S = 6.0  # Longest wait for a lead to finish its requests.
_LEAVE_S = 6.0  # The platform grants a leaving member 10 s while there is work.

_LEFT = (
    model.OrderOutcome.ACCEPTED,
    model.OrderOutcome.OTHER_ENGINE,
    model.OrderOutcome.SUPERSEDED,
)
_SERVING = (model.MemberState.OPEN, model.MemberState.CLOSING)


@dataclasses.dataclass
class Retirement:
    """A replica whose members are taken back.

    Attributes:
        replica: As it was when it was decided.
        reason: Why.
        since: Since when.
        is_graceful: Whether its lead may finish what it runs.
        has_lead_left: Whether the lead has confirmed that it left.
        sends: Orders sent.
    """

    replica: model.Replica
    reason: str
    since: float
    is_graceful: bool
    has_lead_left: bool = False
    sent_orders: sent_orders_lib.SentOrders = dataclasses.field(
        default_factory=sent_orders_lib.SentOrders
    )


class Retirements:
    """Replicas that are taken back, and the members that this has freed.

    Attributes:
        spec: How the engines work.
        retiring: Replicas that are taken back, by key.
        released: Freed engines, with the replica that their rows may still
            name.
        confirmed: Replicas that were found not to be whole.
        ended: Replicas that were taken back while rows still name them.
    """

    def __init__(self, spec: routing_model.EngineSpec) -> None:
        self.spec = spec
        self.active: dict[model.ReplicaKey, Retirement] = {}
        self.released: dict[str, model.ReplicaKey] = {}
        self.confirmed_failed: set[model.ReplicaKey] = set()
        self.completed: set[model.ReplicaKey] = set()
        self._incomplete_since: dict[model.ReplicaKey, float] = {}
        self._leaving_since: dict[model.ReplicaKey, float] = {}

    def prune(self, known: Mapping[model.ReplicaKey, model.Replica]) -> None:
        """Forgets replicas that no row names any more."""
        self.completed &= set(known)
        for table in (self._incomplete_since, self._leaving_since):
            for key in [each for each in table if each not in known]:
                del table[key]

    def is_released(self, engine: model.EngineRecord) -> bool:
        """Returns whether an engine is free, whatever its row says."""
        membership = engine.membership
        if membership is None:
            return True
        return self.released.get(engine.id) == membership.key

    def review(
        self,
        replica: model.Replica,
        spares: Callable[[model.Replica], int],
        now: float,
    ) -> None:
        """Decides whether a replica is to be taken back.

        Args:
            replica: One that is not forming.
            spares: Returns the free engines that hold a replica's weights in
                its domain.
            now: The monotonic clock.
        """
        if replica.key in self.active:
            return
        if all(self.is_released(each) for _, each in replica.members):
            return
        found = self._reason(replica, spares, now)
        if found is not None:
            reason, is_graceful = found
            self.active[replica.key] = Retirement(
                replica, reason, now, is_graceful
            )

    def orders(
        self, fleet: fleet_view.FleetView, now: float
    ) -> list[model.Order]:
        """Returns the orders that take replicas back."""
        found = []
        for retiring in list(self.active.values()):
            found += self._retire(retiring, fleet, now)
        return found

    def record_outcome(
        self, order: model.Order, outcome: model.OrderOutcome
    ) -> None:
        """Takes what became of an order to leave."""
        if order.key is None or order.kind is not model.OrderKind.LEAVE:
            return
        retiring = self.active.get(order.key)
        if retiring is None or outcome not in _LEFT:
            return
        self.released[order.engine.id] = order.key
        lead = retiring.replica.lead
        if lead is not None and lead.id == order.engine.id:
            retiring.has_lead_left = True

    def _reason(
        self,
        replica: model.Replica,
        spares: Callable[[model.Replica], int],
        now: float,
    ) -> tuple[str, bool] | None:
        """Returns why a replica ends, and whether gracefully; None if not."""
        if replica.key in self.confirmed_failed:
            return "a member does not answer", False
        if replica.is_open:
            if replica.leaving and self._may_end(replica, spares, now):
                return "a member is leaving", True
            return None
        if replica.lead_state is model.MemberState.BROKEN:
            return "broken", False
        if replica.leaving and replica.is_complete:
            return "a member is leaving", True
        if replica.lead_state in _SERVING:
            if not replica.is_complete:
                return "a member is gone", False
            if replica.lead_state is model.MemberState.CLOSING:
                return "closing", True
            return None
        since = self._incomplete_since.setdefault(replica.key, now)
        if now - since > _ADOPT_S + self._joining_s(replica):
            return "stays incomplete", False
        return None

    def _may_end(
        self,
        replica: model.Replica,
        spares: Callable[[model.Replica], int],
        now: float,
    ) -> bool:
        """Decides whether a replica with a leaving member ends now.

        It serves on until another can stand in its place, or until the member
        may stop.
        """
        since = self._leaving_since.setdefault(replica.key, now)
        if now - since > _LEAVE_S:
            return True
        return spares(replica) >= len(replica.leaving)

    def _joining_s(self, replica: model.Replica) -> float:
        spec = self.spec.model(replica.model)
        return spec.warm_s if spec and replica.is_complete else 0.0

    def _retire(
        self, retiring: Retirement, fleet: fleet_view.FleetView, now: float
    ) -> list[model.Order]:
        key = retiring.replica.key
        lead = retiring.replica.lead
        if retiring.has_lead_left or _has_left(lead, key, fleet):
            return self._release(retiring, fleet)
        current = _current(lead, key, fleet)
        if current is None or current.id in fleet.silent:
            return self._leave_one_by_one(retiring, fleet, now)
        kind = model.OrderKind.LEAVE
        if self._is_patient(retiring, current, now):
            if _state(current) is not model.MemberState.OPEN:
                return []
            kind = model.OrderKind.CLOSE
        order = model.Order(kind, current, retiring.reason, key)
        return retiring.sent_orders.due(order, now)

    def _is_patient(
        self, retiring: Retirement, lead: model.EngineRecord, now: float
    ) -> bool:
        """Returns whether the lead may still finish what it runs."""
        return (
            retiring.is_graceful
            and retiring.replica.key not in self.confirmed_failed
            and now - retiring.since < _DRAIN_S
            and _state(lead) in _SERVING
        )

    def _leave_one_by_one(
        self, retiring: Retirement, fleet: fleet_view.FleetView, now: float
    ) -> list[model.Order]:
        """Has each member leave whose lead can't be told to."""
        key = retiring.replica.key
        staying = []
        for _, member in retiring.replica.members:
            engine = _current(member, key, fleet)
            if engine is None or engine.id in fleet.silent:
                continue
            if self.released.get(engine.id) != key:
                staying.append(engine)
        if not staying:
            return self._release(retiring, fleet)
        orders = []
        for each in staying:
            order = model.Order(
                model.OrderKind.LEAVE, each, retiring.reason, key
            )
            orders += retiring.sent_orders.due(order, now)
        return orders

    def _release(
        self, retiring: Retirement, fleet: fleet_view.FleetView
    ) -> list[model.Order]:
        """Frees the members of a replica that its lead, or each, has left."""
        key = retiring.replica.key
        for _, member in retiring.replica.members:
            current = _current(member, key, fleet)
            if current is not None and current.id not in fleet.silent:
                self.released[member.id] = key
        del self.active[key]
        self.confirmed_failed.discard(key)
        self.completed.add(key)
        return []


def _state(engine: model.EngineRecord) -> model.MemberState | None:
    return engine.membership.state if engine.membership else None


def _current(
    engine: model.EngineRecord | None,
    key: model.ReplicaKey,
    fleet: fleet_view.FleetView,
) -> model.EngineRecord | None:
    """Returns an engine's row while it is still in that replica."""
    found = fleet.engines.get(engine.id) if engine else None
    if found is None or found.membership is None:
        return None
    return found if found.membership.key == key else None


def _has_left(
    lead: model.EngineRecord | None,
    key: model.ReplicaKey,
    fleet: fleet_view.FleetView,
) -> bool:
    """Returns whether a lead itself says that it is in the replica no more.

    A row that is gone says nothing: its engine may live, cut off from the
    store, with its replica open.
    """
    found = fleet.engines.get(lead.id) if lead else None
    if found is None or found.id in fleet.silent:
        return False
    return found.membership is None or found.membership.key != key
