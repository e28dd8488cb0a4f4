"""Retires replicas that can no longer serve and releases their members.

A member is released for another replica only after it has left itself. The lead
leaves first if it can be reached. One that cannot be reached may still be
running, with its replica open; one that has left may join and open again by
orders that it carries out late.
"""

import dataclasses
from collections.abc import Callable, Mapping

from tamarackpier.fleet import fleet_view, model
from tamarackpier.fleet import sent_orders as sent_orders_lib
from tamarackpier.routing import model as routing_model

__all__ = ["Retirement", "Retirements"]

# Time for which a replica of another planner may be unready before it is
# retired; a complete one has the time to join in addition.
_ADOPTION_GRACE_S = 1.5
_DRAIN_TIMEOUT_S = 6.0  # Longest wait for a lead to finish its requests.
# Longest wait of an open replica with a leaving member for spares; the platform
# grants a leaving member 10 s while there is work.
_LEAVE_TIMEOUT_S = 6.0
# Failed or retired replicas that are remembered; rows or answers may name them
# much later.
_MAX_PAST_REPLICAS = 4096

# Outcomes of an order to leave after which the engine is not in the replica.
_LEFT_OUTCOMES = (
    model.OrderOutcome.ACCEPTED,
    model.OrderOutcome.OTHER_ENGINE,
    model.OrderOutcome.SUPERSEDED,
)
# States of a lead that may have running requests.
_SERVING_STATES = (model.MemberState.OPEN, model.MemberState.CLOSING)


@dataclasses.dataclass
class Retirement:
    """A replica that is being retired.

    Attributes:
        replica: The replica as of the decision to retire it.
        reason: Reason for the retirement, for the log.
        started_at: Time of the decision, in seconds on the monotonic clock.
        is_graceful: Whether the lead may finish its running requests.
        has_lead_left: Whether the lead has confirmed that it left.
        sent_orders: Orders sent for this retirement.
    """

    replica: model.Replica
    reason: str
    started_at: float
    is_graceful: bool
    has_lead_left: bool = False
    sent_orders: sent_orders_lib.SentOrders = dataclasses.field(
        default_factory=sent_orders_lib.SentOrders
    )


class Retirements:
    """Replicas that are being retired, and the members released so far.

    Attributes:
        spec: Capacity and timing of the engines.
        active: Retirements under way, by replica.
        released: Key of the replica that each released engine left, by engine
            ID; the engine's row may still name that replica.
        confirmed_failed: Replicas confirmed not to be ready, by a check of
            their members or by an aborted formation.
        completed: Replicas whose retirement is complete while rows still name
            them.
    """

    def __init__(self, spec: routing_model.EngineSpec) -> None:
        self.spec = spec
        self.active: dict[model.ReplicaKey, Retirement] = {}
        self.released: dict[str, model.ReplicaKey] = {}
        self.confirmed_failed: set[model.ReplicaKey] = set()
        self.completed: set[model.ReplicaKey] = set()
        self._retired: set[model.ReplicaKey] = set()
        self._unready_since: dict[model.ReplicaKey, float] = {}
        self._leaving_since: dict[model.ReplicaKey, float] = {}

    def prune(self, replicas: Mapping[model.ReplicaKey, model.Replica]) -> None:
        """Forgets the replicas that no row names any more.

        Failed and retired ones may be named later; the oldest of too many are
        forgotten.

        Args:
            replicas: Replicas that a row names, by key.
        """
        self.completed &= set(replicas)
        self.confirmed_failed = _newest(self.confirmed_failed)
        self._retired = _newest(self._retired)
        for since_by_key in (self._unready_since, self._leaving_since):
            for key in [key for key in since_by_key if key not in replicas]:
                del since_by_key[key]

    def is_released(self, engine: model.EngineRecord) -> bool:
        """Returns whether an engine may join another replica.

        Its row may still name the replica that it was released from.
        """
        membership = engine.membership
        if membership is None:
            return True
        return self.released.get(engine.id) == membership.key

    def review(
        self,
        replica: model.Replica,
        count_spares: Callable[[model.Replica], int],
        now: float,
    ) -> None:
        """Starts to retire a replica if there is a reason to.

        Args:
            replica: A replica that is not being formed.
            count_spares: Returns the number of free engines in a replica's
                domain that hold its weights.
            now: Current time, in seconds on the monotonic clock.
        """
        if replica.key in self.active:
            return
        if all(self.is_released(engine) for _, engine in replica.members):
            return
        decision = self._decide(replica, count_spares, now)
        if decision is not None:
            reason, is_graceful = decision
            self.active[replica.key] = Retirement(
                replica, reason, now, is_graceful
            )

    def retire(self, replica: model.Replica, reason: str, now: float) -> None:
        """Starts to retire a replica that serves, gracefully.

        Args:
            replica: The replica.
            reason: Reason for the retirement, for the log.
            now: Current time, in seconds on the monotonic clock.
        """
        if replica.key not in self.active:
            self.active[replica.key] = Retirement(replica, reason, now, True)

    def orders(
        self, fleet: fleet_view.FleetView, now: float
    ) -> list[model.Order]:
        """Returns the orders to send now to the members of retiring replicas.

        The members of a replica are ordered to leave once its lead has left,
        or cannot be reached.
        """
        orders = []
        for retirement in list(self.active.values()):
            orders += self._advance(retirement, fleet, now)
        return orders

    def record_outcome(
        self, order: model.Order, outcome: model.OrderOutcome
    ) -> None:
        """Records the outcome of an order; only `LEAVE` matters here."""
        if order.key is None or order.kind is not model.OrderKind.LEAVE:
            return
        retirement = self.active.get(order.key)
        if retirement is None or outcome not in _LEFT_OUTCOMES:
            return
        self.released[order.engine.id] = order.key
        lead = retirement.replica.lead
        if lead is not None and lead.id == order.engine.id:
            retirement.has_lead_left = True

    def take_back(self, engine_id: str, key: model.ReplicaKey) -> None:
        """Retires a replica again if an engine is still, or again, in it.

        An order to join that was carried out late has this effect, or one whose
        effect was not visible when the replica was retired.
        """
        if key in self._retired:
            self.confirmed_failed.add(key)
        if self.released.get(engine_id) == key:
            del self.released[engine_id]
            self.confirmed_failed.add(key)

    def _decide(
        self,
        replica: model.Replica,
        count_spares: Callable[[model.Replica], int],
        now: float,
    ) -> tuple[str, bool] | None:
        """Decides whether to retire a replica.

        Returns:
            The reason, and whether the retirement is graceful; None if the
            replica stays.
        """
        if replica.key in self.confirmed_failed:
            return "a member does not answer", False
        if replica.is_open:
            if replica.leaving and self._can_retire_now(
                replica, count_spares, now
            ):
                return "a member is leaving", True
            return None
        if replica.lead_state is model.MemberState.BROKEN:
            return "broken", False
        if replica.leaving and replica.is_complete:
            return "a member is leaving", True
        if replica.lead_state in _SERVING_STATES:
            if replica.is_outdated:
                return "its model is not configured", True
            if not replica.is_complete:
                return "a member is gone", False
            if replica.lead_state is model.MemberState.CLOSING:
                return "closing", True
            return None
        if replica.is_stable:
            # An earlier planner may have ordered a member to join another
            # replica, with a higher number, and the engine may yet do so.
            return "its planner is gone", False
        since = self._unready_since.setdefault(replica.key, now)
        if now - since > _ADOPTION_GRACE_S + self._join_time_s(replica):
            return "stays incomplete", False
        return None

    def _can_retire_now(
        self,
        replica: model.Replica,
        count_spares: Callable[[model.Replica], int],
        now: float,
    ) -> bool:
        """Returns whether to retire an open replica with a leaving member.

        The replica continues to serve until there are enough spares to replace
        the leaving members, or until `_LEAVE_TIMEOUT_S` has passed, after
        which they may stop.
        """
        since = self._leaving_since.setdefault(replica.key, now)
        if now - since > _LEAVE_TIMEOUT_S:
            return True
        return count_spares(replica) >= len(replica.leaving)

    def _join_time_s(self, replica: model.Replica) -> float:
        """Returns the time that a replica's members may still take to join.

        Returns:
            The time in seconds; 0 for an incomplete replica or unknown model.
        """
        spec = self.spec.model(replica.model)
        return spec.warm_s if spec and replica.is_complete else 0.0

    def _advance(
        self, retirement: Retirement, fleet: fleet_view.FleetView, now: float
    ) -> list[model.Order]:
        """Returns the orders for a retirement; completes it if it is over."""
        key = retirement.replica.key
        lead = retirement.replica.lead
        current_lead = _current_member(lead, key, fleet)
        if (
            retirement.has_lead_left
            or current_lead is None
            or current_lead.id in fleet.silent
        ):
            return self._order_members_to_leave(retirement, fleet, now)
        kind = model.OrderKind.LEAVE
        if self._is_draining(retirement, current_lead, now):
            if _member_state(current_lead) is not model.MemberState.OPEN:
                return []
            kind = model.OrderKind.CLOSE
        order = model.Order(kind, current_lead, retirement.reason, key)
        return retirement.sent_orders.take_if_due(order, now)

    def _is_draining(
        self, retirement: Retirement, lead: model.EngineRecord, now: float
    ) -> bool:
        """Returns whether the lead may still finish its running requests."""
        return (
            retirement.is_graceful
            and retirement.replica.key not in self.confirmed_failed
            and now - retirement.started_at < _DRAIN_TIMEOUT_S
            and _member_state(lead) in _SERVING_STATES
        )

    def _order_members_to_leave(
        self, retirement: Retirement, fleet: fleet_view.FleetView, now: float
    ) -> list[model.Order]:
        """Returns orders to leave for each member that has not left.

        Completes the retirement if no reachable member is left in the replica.
        """
        key = retirement.replica.key
        remaining = []
        for _, member in retirement.replica.members:
            engine = _current_member(member, key, fleet)
            if engine is None or engine.id in fleet.silent:
                continue
            if self.released.get(engine.id) != key:
                remaining.append(engine)
        if not remaining:
            self._complete(key)
            return []
        orders = []
        for engine in remaining:
            order = model.Order(
                model.OrderKind.LEAVE, engine, retirement.reason, key
            )
            orders += retirement.sent_orders.take_if_due(order, now)
        return orders

    def _complete(self, key: model.ReplicaKey) -> None:
        """Ends a retirement after each member that can be reached has left."""
        del self.active[key]
        self.confirmed_failed.discard(key)
        self.completed.add(key)
        self._retired.add(key)


def _newest(keys: set[model.ReplicaKey]) -> set[model.ReplicaKey]:
    """Returns the replicas with the highest fencing numbers."""
    if len(keys) <= _MAX_PAST_REPLICAS:
        return keys
    by_fence = sorted(keys, key=lambda key: key.fence)
    return set(by_fence[-_MAX_PAST_REPLICAS:])


def _member_state(engine: model.EngineRecord) -> model.MemberState | None:
    return engine.membership.state if engine.membership else None


def _current_member(
    engine: model.EngineRecord | None,
    key: model.ReplicaKey,
    fleet: fleet_view.FleetView,
) -> model.EngineRecord | None:
    """Returns an engine's current record; None if it is not in the replica."""
    current = fleet.engines.get(engine.id) if engine else None
    if current is None or current.membership is None:
        return None
    return current if current.membership.key == key else None
