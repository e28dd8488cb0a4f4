"""Formation of a replica: its members join, then its lead opens."""

import dataclasses
import math

from tamarackpier.fleet import fleet_view, model
from tamarackpier.fleet import sent_orders as sent_orders_lib
from tamarackpier.routing import model as routing_model

__all__ = ["Formation"]


@dataclasses.dataclass
class Formation:
    """A replica that is being formed.

    Attributes:
        key: Name and fencing number of the replica.
        spec: Model of the replica.
        members: Engine IDs in order of rank.
        incarnations: Incarnations of the members when they were chosen.
        started_at: Start of the formation, in seconds on the monotonic clock.
        timeout_s: Maximum duration of the formation, in seconds.
        asked_since: Time after which the members must have been asked whether
            they are free, in seconds on the monotonic clock.
        joined: IDs of the members that have accepted their order to join.
        sent_orders: Orders sent for this formation.
        unconfirmed: IDs of the members that have to say that they are in no
            replica before their order to join is sent again.
    """

    key: model.ReplicaKey
    spec: routing_model.ModelSpec
    members: tuple[str, ...]
    incarnations: tuple[int, ...]
    started_at: float
    timeout_s: float
    asked_since: float = -math.inf
    joined: set[str] = dataclasses.field(default_factory=set)
    sent_orders: sent_orders_lib.SentOrders = dataclasses.field(
        default_factory=sent_orders_lib.SentOrders
    )
    unconfirmed: set[str] = dataclasses.field(default_factory=set)

    def is_open(self, fleet: fleet_view.FleetView) -> bool:
        """Returns whether the lead is known to accept requests."""
        lead = fleet.engines.get(self.members[0])
        if lead is None:
            return False
        return _member_state(lead, self.key) is model.MemberState.OPEN

    def orders(
        self, fleet: fleet_view.FleetView, now: float
    ) -> list[model.Order] | None:
        """Returns the orders to send now.

        Returns:
            The orders; None if the formation has failed, because a member is
            no longer available or `timeout_s` has passed.
        """
        self.unconfirmed.clear()
        engines = self._available_members(fleet)
        if engines is None or now - self.started_at > self.timeout_s:
            return None
        states = [_member_state(engine, self.key) for engine in engines]
        if states[0] is model.MemberState.OPEN:
            return []
        if all(state is model.MemberState.READY for state in states):
            order = model.Order(
                model.OrderKind.OPEN, engines[0], "all ready", self.key
            )
            return self.sent_orders.take_if_due(order, now)
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
                orders += self._take_join_if_due(order, fleet, now)
        return orders

    def _take_join_if_due(
        self, order: model.Order, fleet: fleet_view.FleetView, now: float
    ) -> list[model.Order]:
        """Returns an order to join if it is due, and the engine is free.

        The engine may have joined another replica since it was chosen, or since
        an earlier order to join, which was not answered. So it is asked again.
        """
        engine_id = order.engine.id
        sent_at = self.sent_orders.last_sent_at(engine_id, order.kind)
        since = self.asked_since if sent_at is None else sent_at
        if fleet.has_answered_free(engine_id, since, now):
            return self.sent_orders.take_if_due(order, now)
        if self.sent_orders.is_due(order, now):
            self.unconfirmed.add(engine_id)
        return []

    def _available_members(
        self, fleet: fleet_view.FleetView
    ) -> list[model.EngineRecord] | None:
        """Returns the members; None if any of them is not available.

        A member is not available if it is unknown, leaving or silent, or if it
        has restarted since it was chosen.
        """
        engines = []
        for engine_id, incarnation in zip(
            self.members, self.incarnations, strict=True
        ):
            engine = fleet.engines.get(engine_id)
            if engine is None or engine.is_leaving or engine_id in fleet.silent:
                return None
            if engine.incarnation != incarnation:
                return None
            engines.append(engine)
        return engines


def _member_state(
    engine: model.EngineRecord, key: model.ReplicaKey
) -> model.MemberState | None:
    """Returns an engine's state in a replica; None if it is not a member."""
    membership = engine.membership
    if membership is None or membership.key != key:
        return None
    return membership.state
