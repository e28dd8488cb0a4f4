"""Which orders are due, from the rows and what the engines report.

Orders are idempotent and are sent again until a report shows that they were
taken. An engine that reports another replica or fencing number than its row
gets the order that its row implies.
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
    held: lease.HeldLease,
    last_sent: Mapping[str, float],
    resend_s: float,
) -> Iterator[model.Order]:
    """Yields the orders to send now.

    Args:
        view: The domain.
        policy: Says which free instances to load ahead.
        held: The lease on the domain.
        last_sent: When each instance was last sent an order.
        resend_s: Time between two orders to one instance.
    """
    standby = dict(planner.standby(view, policy))
    for instance_id in sorted(view.engines):
        if not view.is_healthy(instance_id):
            continue
        if view.now - last_sent.get(instance_id, -math.inf) < resend_s:
            continue
        replica_id = view.assignment(instance_id).replica_id
        replica = view.replicas.get(replica_id)
        if replica is not None:
            order = _join(view, replica, instance_id)
        elif not replica_id:
            order = _free(view, held, instance_id, standby.get(instance_id))
        else:
            # The two reads of the rows straddled a commit.
            order = None
        if order is not None:
            yield order


def may_send(
    order: model.Order,
    held: lease.HeldLease | None,
    now: float,
    max_flight_s: float,
) -> bool:
    """Returns whether an order may be sent under a lease.

    An engine that ignores fencing numbers is protected by time alone: the
    order must arrive within the lease, and the holder must have waited for
    orders of its predecessor to arrive.
    """
    if held is None or not lease.holds(held, now):
        return False
    if order.checks_fencing:
        return True
    arrives_within = now + max_flight_s < held.valid_until
    predecessor_done = now >= held.acquired_at + max_flight_s
    return arrives_within and predecessor_done


def _join(
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


def _free(
    view: view_lib.DomainView,
    held: lease.HeldLease,
    instance_id: str,
    standby: model.Target | None,
) -> model.Order | None:
    report = view.reports[instance_id]
    engine = view.engines[instance_id]
    fence = max(
        view.assignment(instance_id).fence,
        lease.fence_base(held.number),
        report.fence,
    )
    if report.replica_id:
        kind, wanted = model.OrderKind.RELEASE, ("", "")
    elif standby is not None:
        kind, wanted = (
            model.OrderKind.STANDBY,
            (
                standby.model,
                standby.version,
            ),
        )
        if (report.model, report.version) == wanted:
            return None
    else:
        return None
    return model.Order(
        instance_id,
        engine.address,
        kind,
        fence,
        model=wanted[0],
        version=wanted[1],
        checks_fencing=engine.checks_fencing,
    )
