"""Formation of a replica: its members join, then its lead opens."""

import dataclasses
import math

from tamarackpier.fleet import fleet_view, model
from tamarackpier.fleet import sent_orders as sent_orders_lib
from tamarackpier.routing import model as routing_model

__all__ = ["Formation"]


# Factor on the time limit up to which a formation that makes progress goes on.
_MAX_PATIENCE = 4.0


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
        progress: Numbers of members that are ready, and that have joined.
        progressed_at: Time at which that last grew, in seconds on the
            monotonic clock; None before it did.
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
    progress: tuple[int, int] = (0, 0)
    progressed_at: float | None = None

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
            The orders; None if the formation has failed: a member is no longer
            available, or `timeout_s` has passed without progress, or several
            times that in all.
        """
        self.unconfirmed.clear()
        engines = self._available_members(fleet)
        if engines is None:
            return None
        states = [_member_state(engine, self.key) for engine in engines]
        self._record_progress(engines, states, now)
        if self._is_late(now):
            return None
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

    def _record_progress(
        self,
        engines: list[model.EngineRecord],
        states: list[model.MemberState | None],
        now: float,
    ) -> None:
        ready = sum(state is model.MemberState.READY for state in states)
        joined = sum(
            state is not None or engine.id in self.joined
            for engine, state in zip(engines, states, strict=True)
        )
        if ready > self.progress[0] or joined > self.progress[1]:
            self.progressed_at = now
        self.progress = (
            max(ready, self.progress[0]),
            max(joined, self.progress[1]),
        )

    def _is_late(self, now: float) -> bool:
        """Returns whether the formation is given up.

        One whose members join late goes on from where it is: a new one would
        be as late, and begin with none.
        """
        since = self.started_at
        if self.progressed_at is not None:
            since = self.progressed_at
        return (
            now - since > self.timeout_s
            or now - self.started_at > _MAX_PATIENCE * self.timeout_s
        )

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
