"""Turns a planned change into one transaction.

Every change of a member's row also writes its replica's row, and every
transaction checks the lease's row. So the rows of members that stay need no
check of their own, and healing writes as many rows as members changed, plus
one.
"""

from tamarackpier.platform import interfaces
from tamarackpier.replica import lease, model, planner
from tamarackpier.replica import view as view_lib

__all__ = ["transaction"]


def transaction(
    change: planner.Change,
    view: view_lib.DomainView,
    held: lease.HeldLease,
    fence: int,
) -> interfaces.Transaction:
    """Returns the transaction that commits a change.

    Args:
        change: The change.
        view: The view that the change was planned on.
        held: The lease on the domain.
        fence: A fencing number that was not used before.
    """
    builder = _Builder(view, held, fence)
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
        self, view: view_lib.DomainView, held: lease.HeldLease, fence: int
    ) -> None:
        self.view = view
        self.fence = fence
        self.checks = [interfaces.Check(held.key, held.row_version)]
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
        old = change.replica
        replica = model.Replica(
            old.replica_id,
            old.domain,
            old.model,
            old.version,
            change.members,
            self.fence,
            model.ReplicaState.OPEN,
            old.row_version,
        )
        self._write_replica(replica)
        for member in set(old.members) - set(change.members):
            self._assign(member, "")
        for member in set(change.members) - set(old.members):
            self._assign(member, old.replica_id)

    def drain(self, change: planner.Drain) -> None:
        old = change.replica
        value = old.value() | {"state": model.ReplicaState.DRAINING.value}
        self._write(self._replica_key(old), old.row_version, value)

    def release(self, change: planner.Release) -> None:
        old = change.replica
        self._write(self._replica_key(old), old.row_version, None)
        for member in old.members:
            self._assign(member, "")

    def _write_replica(self, replica: model.Replica) -> None:
        key = self._replica_key(replica)
        self._write(key, replica.row_version, replica.value())

    def _assign(self, instance_id: str, replica_id: str) -> None:
        before = self.view.assignment(instance_id)
        after = model.Assignment(instance_id, replica_id, self.fence)
        self._write(
            model.assignment_key(instance_id),
            before.row_version,
            after.value(),
        )

    def _write(
        self, key: str, version: int, value: interfaces.Value | None
    ) -> None:
        self.checks.append(interfaces.Check(key, version))
        self.writes.append(interfaces.Write(key, value))

    def _replica_key(self, replica: model.Replica) -> str:
        return model.replica_key(replica.domain, replica.replica_id)
