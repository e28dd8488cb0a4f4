"""Builds the transaction that commits a planned change.

Every change of a member's row also writes the row of its replica, and every
transaction checks the lease's row. The rows of unchanged members therefore
need no check of their own, and healing writes one row for each added or removed
member, plus the replica's row.
"""

from tamarackpier.platform import interfaces
from tamarackpier.replica import lease, model, planner
from tamarackpier.replica import view as view_lib

__all__ = ["transaction"]


def transaction(
    change: planner.Change,
    view: view_lib.DomainView,
    held_lease: lease.HeldLease,
    fence: int,
) -> interfaces.Transaction:
    """Returns the transaction that commits a change.

    Args:
        change: Change to commit.
        view: Snapshot of the domain that the change was planned on.
        held_lease: Lease on the domain.
        fence: Fencing number that has not been used before.
    """
    builder = _Builder(view, held_lease, fence)
    if isinstance(change, planner.Form):
        builder.form(change)
    elif isinstance(change, planner.Heal):
        builder.heal(change)
    elif isinstance(change, planner.Drain):
        builder.drain(change)
    else:
        builder.release(change)
    return interfaces.Transaction(tuple(builder.checks), tuple(builder.writes))


class _Builder:
    """Collects the checks and writes of one transaction."""

    def __init__(
        self, view: view_lib.DomainView, held_lease: lease.HeldLease, fence: int
    ) -> None:
        self.view = view
        self.fence = fence
        self.checks = [interfaces.Check(held_lease.key, held_lease.row_version)]
        self.writes: list[interfaces.Write] = []

    def form(self, change: planner.Form) -> None:
        replica_id = f"{self.view.domain}.{self.fence}"
        replica = model.Replica(
            replica_id,
            self.view.domain,
            change.target.model,
            change.target.version,
            change.members,
            self.fence,
        )
        self._write_replica(replica)
        for member in change.members:
            self._assign(member, replica_id)

    def heal(self, change: planner.Heal) -> None:
        old_replica = change.replica
        new_replica = model.Replica(
            old_replica.replica_id,
            old_replica.domain,
            old_replica.model,
            old_replica.version,
            change.members,
            self.fence,
            model.ReplicaState.OPEN,
            old_replica.row_version,
        )
        self._write_replica(new_replica)
        for member in set(old_replica.members) - set(change.members):
            self._assign(member, "")
        for member in set(change.members) - set(old_replica.members):
            self._assign(member, old_replica.replica_id)

    def drain(self, change: planner.Drain) -> None:
        replica = change.replica
        value = replica.value() | {"state": model.ReplicaState.DRAINING.value}
        self._write(self._replica_key(replica), replica.row_version, value)

    def release(self, change: planner.Release) -> None:
        replica = change.replica
        self._write(self._replica_key(replica), replica.row_version, None)
        for member in replica.members:
            self._assign(member, "")

    def _write_replica(self, replica: model.Replica) -> None:
        key = self._replica_key(replica)
        self._write(key, replica.row_version, replica.value())

    def _assign(self, instance_id: str, replica_id: str) -> None:
        old_assignment = self.view.assignment(instance_id)
        new_assignment = model.Assignment(instance_id, replica_id, self.fence)
        self._write(
            model.assignment_key(instance_id),
            old_assignment.row_version,
            new_assignment.value(),
        )

    def _write(
        self, key: str, row_version: int, value: interfaces.Value | None
    ) -> None:
        self.checks.append(interfaces.Check(key, row_version))
        self.writes.append(interfaces.Write(key, value))

    def _replica_key(self, replica: model.Replica) -> str:
        return model.replica_key(replica.domain, replica.replica_id)
