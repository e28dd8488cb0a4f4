"""Determines which orders are due, from table rows and engine reports.

Orders are idempotent and are sent again until a report shows that the engine
has accepted them. An engine whose report differs from its row in the replica,
its members or the fencing number gets the order that its row implies.
"""

import math
from collections.abc import Iterator, Mapping

from tamarackpier.replica import lease, model, planner
from tamarackpier.replica import policy as policy_lib
from tamarackpier.replica import view as view_lib

__all__ = ["due", "may_send"]


def due(
    view: view_lib.DomainView,
    policy: policy_lib.Policy,
    held_lease: lease.HeldLease,
    last_sent: Mapping[str, float],
    resend_s: float,
) -> Iterator[model.Order]:
    """Yields the orders to send now.

    Args:
        view: Snapshot of the domain.
        policy: Decides how many free instances to keep on standby.
        held_lease: Lease on the domain.
        last_sent: Time of the last order to each instance, by instance, in
            seconds on the monotonic clock.
        resend_s: Minimum time between two orders to one instance, in seconds.
    """
    standby_targets = dict(planner.standby(view, policy))
    for instance_id in sorted(view.engines):
        if not view.is_healthy(instance_id):
            continue
        if view.now - last_sent.get(instance_id, -math.inf) < resend_s:
            continue
        replica_id = view.assignment(instance_id).replica_id
        replica = view.replicas.get(replica_id)
        if replica is not None:
            order = _join_order(view, replica, instance_id)
        elif not replica_id:
            order = _free_instance_order(
                view, held_lease, instance_id, standby_targets.get(instance_id)
            )
        else:
            # A transaction was committed between the reads of the instance
            # rows and the replica rows; the next tick decides on the order.
            order = None
        if order is not None:
            yield order


def may_send(
    order: model.Order,
    held_lease: lease.HeldLease | None,
    now: float,
    max_flight_s: float,
) -> bool:
    """Returns whether an order may be sent under a lease.

    For an engine that ignores fencing numbers, only time keeps the orders of
    two lease holders apart: the order must arrive before the lease expires,
    and the holder must have waited until its predecessor's orders have
    arrived.

    Args:
        order: Order to send.
        held_lease: Lease on the domain; None if this process has none.
        now: Current time on the monotonic clock, in seconds.
        max_flight_s: Longest time that an order is in flight, in seconds.
    """
    if held_lease is None or not lease.holds(held_lease, now):
        return False
    if order.checks_fencing:
        return True
    arrives_in_time = now + max_flight_s < held_lease.valid_until
    predecessor_orders_arrived = now >= held_lease.acquired_at + max_flight_s
    return arrives_in_time and predecessor_orders_arrived


def _join_order(
    view: view_lib.DomainView, replica: model.Replica, instance_id: str
) -> model.Order | None:
    report = view.reports[instance_id]
    if (
        report.replica_id == replica.replica_id
        and report.fence == replica.fence
        and report.members == replica.members
    ):
        return None
    engine = view.engines[instance_id]
    return model.Order(
        instance_id,
        engine.address,
        model.OrderKind.JOIN,
        replica.fence,
        replica.replica_id,
        replica.members,
        replica.model,
        replica.version,
        engine.checks_fencing,
    )


def _free_instance_order(
    view: view_lib.DomainView,
    held_lease: lease.HeldLease,
    instance_id: str,
    standby_target: model.Target | None,
) -> model.Order | None:
    report = view.reports[instance_id]
    engine = view.engines[instance_id]
    fence = max(
        view.assignment(instance_id).fence,
        lease.fence_base(held_lease.number),
        report.fence,
    )
    if report.replica_id:
        kind, model_version = model.OrderKind.RELEASE, ("", "")
    elif standby_target is not None:
        kind, model_version = (
            model.OrderKind.STANDBY,
            (
                standby_target.model,
                standby_target.version,
            ),
        )
        if (report.model, report.version) == model_version:
            return None
    else:
        return None
    return model.Order(
        instance_id,
        engine.address,
        kind,
        fence,
        model=model_version[0],
        version=model_version[1],
        checks_fencing=engine.checks_fencing,
    )
