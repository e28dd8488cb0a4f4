"""A replica on its way: its members join, then its lead opens."""

import dataclasses

from tamarackpier.fleet import fleet_view, model
from tamarackpier.fleet import sent_orders as sent_orders_lib
from tamarackpier.routing import model as routing_model

__all__ = ["Formation"]


@dataclasses.dataclass
class Formation:
    """A replica on its way.

    Attributes:
        key: Its name and fencing number.
        spec: Its model.
        members: Engines by rank.
        incarnations: Their lives, as they were chosen.
        since: Since when.
        limit_s: How long it may take.
        loads: Members that have to load weights.
        may_be_open: Whether somebody may have told its lead to open.
        joined: Members that have accepted their order to join.
        sends: Orders sent.
    """

    key: model.ReplicaKey
    spec: routing_model.ModelSpec
    members: tuple[str, ...]
    incarnations: tuple[int, ...]
    since: float
    limit_s: float
    loads: int = 0
    may_be_open: bool = False
    joined: set[str] = dataclasses.field(default_factory=set)
    sent_orders: sent_orders_lib.SentOrders = dataclasses.field(
        default_factory=sent_orders_lib.SentOrders
    )

    def is_open(self, fleet: fleet_view.FleetView) -> bool:
        """Returns whether its lead serves."""
        lead = fleet.engines.get(self.members[0])
        if lead is None:
            return False
        return _state(lead, self.key) is model.MemberState.OPEN

    def orders(
        self, fleet: fleet_view.FleetView, now: float
    ) -> list[model.Order] | None:
        """Returns the orders to send now; None if it won't come about."""
        engines = self._present(fleet)
        if engines is None or now - self.since > self.limit_s:
            return None
        states = [_state(each, self.key) for each in engines]
        if states[0] is model.MemberState.OPEN:
            return []
        if all(each is model.MemberState.READY for each in states):
            order = model.Order(
                model.OrderKind.OPEN, engines[0], "all ready", self.key
            )
            return self.sent_orders.due(order, now)
        orders = []
        for engine, state in zip(engines, states, strict=True):
            if state is None and engine.id not in self.joined:
                order = model.Order(
                    model.OrderKind.JOIN,
                    engine,
                    "forming",
                    self.key,
                    self.spec.name,
                    self.members,
                )
                orders += self.sent_orders.due(order, now)
        return orders

    def _present(
        self, fleet: fleet_view.FleetView
    ) -> list[model.EngineRecord] | None:
        """Returns the members' rows; None if any can't be counted on."""
        found = []
        for name, incarnation in zip(
            self.members, self.incarnations, strict=True
        ):
            engine = fleet.engines.get(name)
            if engine is None or engine.is_leaving or name in fleet.silent:
                return None
            if engine.incarnation != incarnation:
                return None
            found.append(engine)
        return found


def _state(
    engine: model.EngineRecord, key: model.ReplicaKey
) -> model.MemberState | None:
    membership = engine.membership
    if membership is None or membership.key != key:
        return None
    return membership.state
