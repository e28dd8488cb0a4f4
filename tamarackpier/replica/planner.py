"""Plans which replicas of one fabric domain to form, heal, drain or release.

The plan is a pure function of a `DomainView` and a policy. It is recomputed
from rows and reports on every tick, so a planner that fails or loses its lease
holds no state that its successor needs.
"""

import dataclasses
from collections.abc import Iterable

from tamarackpier.replica import model
from tamarackpier.replica import policy as policy_lib
from tamarackpier.replica import view as view_lib

__all__ = ["Change", "Drain", "Form", "Heal", "Release", "plan"]


@dataclasses.dataclass(frozen=True)
class Form:
    """Creates a replica.

    Attributes:
        target: Target that the replica counts towards.
        members: Instances of the replica, lead first.
    """

    target: model.Target
    members: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Heal:
    """Replaces members of a replica and opens it again.

    Attributes:
        replica: Replica as it was planned on.
        members: New list of instances, lead first.
    """

    replica: model.Replica
    members: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Drain:
    """Stops new requests to a replica."""

    replica: model.Replica


@dataclasses.dataclass(frozen=True)
class Release:
    """Deletes a replica and frees all its members.

    Attributes:
        replica: Replica as it was planned on.
        reason: Why the replica is released, for the log.
    """

    replica: model.Replica
    reason: str


Change = Form | Heal | Drain | Release
_Kind = tuple[str, str, int]


def plan(
    view: view_lib.DomainView, policy: policy_lib.Policy
) -> tuple[Change, ...]:
    """Returns the changes that move a domain towards its targets."""
    return _Planner(view, policy).plan()


class _Planner:
    """Computes one plan.

    Attributes:
        view: Snapshot of the domain.
        policy: Decides which replicas to dissolve in a shortage.
        free: Healthy free instances that the plan has not used yet.
        changes: Changes planned so far.
    """

    def __init__(
        self, view: view_lib.DomainView, policy: policy_lib.Policy
    ) -> None:
        self.view = view
        self.policy = policy
        self.free = list(view.free())
        self.changes: list[Change] = []

    def plan(self) -> tuple[Change, ...]:
        targets = {_target_kind(target): target for target in self.view.targets}
        by_kind: dict[_Kind, list[view_lib.ReplicaHealth]] = {
            kind: [] for kind in targets
        }
        for replica_id in sorted(self.view.replicas):
            replica = self.view.replicas[replica_id]
            health = view_lib.replica_health(self.view, replica)
            by_kind.setdefault(_replica_kind(replica), []).append(health)
        # Kinds without a target come first, since the instances that they free
        # can be used at once.
        for kind in sorted(by_kind, key=lambda key: (key in targets, key)):
            self._plan_kind(targets.get(kind), by_kind[kind])
        return tuple(self.changes)

    def _plan_kind(
        self,
        target: model.Target | None,
        replicas: list[view_lib.ReplicaHealth],
    ) -> None:
        wanted = target.count if target else 0
        open_replicas = [
            health
            for health in replicas
            if health.replica.state is model.ReplicaState.OPEN
        ]
        draining = [
            health for health in replicas if health not in open_replicas
        ]
        kept = self._drop_surplus(open_replicas, wanted)
        kept = self._drain_leaving(kept)
        missing = wanted - len(kept)
        missing -= self._finish_drains(draining, missing)
        self._heal([health for health in kept if health.lost])
        if target is not None:
            self._form(target, missing)

    def _drop_surplus(
        self, open_replicas: list[view_lib.ReplicaHealth], wanted: int
    ) -> list[view_lib.ReplicaHealth]:
        """Drains or releases surplus replicas; returns those that are kept."""
        ranked = sorted(
            open_replicas,
            key=lambda health: (
                len(health.lost) + len(health.leaving),
                -self.view.running(health.replica),
                health.replica.replica_id,
            ),
        )
        for health in ranked[wanted:]:
            if health.lost:
                self._release(health, "surplus replica with lost members")
            else:
                self.changes.append(Drain(health.replica))
        return ranked[:wanted]

    def _drain_leaving(
        self, kept: list[view_lib.ReplicaHealth]
    ) -> list[view_lib.ReplicaHealth]:
        """Drains replicas with leaving members; returns the others."""
        remaining = []
        for health in kept:
            if health.leaving and not health.lost:
                self.changes.append(Drain(health.replica))
            else:
                remaining.append(health)
        return remaining

    def _finish_drains(
        self, draining: list[view_lib.ReplicaHealth], missing: int
    ) -> int:
        """Reopens or releases drained replicas.

        Args:
            draining: Replicas that are draining.
            missing: Number of replicas that the target still lacks.

        Returns:
            Number of replicas that are reopened.
        """
        reopened = 0
        for health in draining:
            if not self._is_drained(health):
                continue
            members = None
            if reopened < missing:
                members = self._members_after_heal(health)
            if members is None:
                self._release(health, "drained")
            else:
                self.changes.append(Heal(health.replica, members))
                reopened += 1
        return reopened

    def _is_drained(self, health: view_lib.ReplicaHealth) -> bool:
        if health.lost:
            return True
        since = self.view.draining_since.get(health.replica.replica_id)
        if since is None or self.view.now - since < self.view.drain_settle_s:
            return False
        lead = self.view.reports.get(health.replica.members[0])
        is_current = lead is not None and lead.asked_at >= (
            since + self.view.drain_settle_s
        )
        return is_current and self.view.running(health.replica) == 0

    def _heal(self, broken: list[view_lib.ReplicaHealth]) -> None:
        by_need = sorted(
            broken,
            key=lambda health: (
                len(health.lost) + len(health.leaving),
                health.replica.replica_id,
            ),
        )
        needed = sum(
            len(health.lost) + len(health.leaving) for health in by_need
        )
        dissolved: tuple[str, ...] = ()
        if needed > len(self.free):
            shortage = policy_lib.Shortage(tuple(by_need), len(self.free))
            dissolved = self.policy.dissolve(shortage)
        for health in by_need:
            if health.replica.replica_id in dissolved:
                self._release(health, "dissolved to heal other replicas")
        for health in by_need:
            if health.replica.replica_id in dissolved:
                continue
            members = self._members_after_heal(health)
            if members is not None:
                self.changes.append(Heal(health.replica, members))

    def _form(self, target: model.Target, missing: int) -> None:
        for _ in range(missing):
            members = self._take(target.span, target.model, target.version)
            if members is None:
                return
            self.changes.append(Form(target, members))

    def _members_after_heal(
        self, health: view_lib.ReplicaHealth
    ) -> tuple[str, ...] | None:
        """Returns the members after replacing those that are lost or leaving.

        Returns:
            Instances of the replica, lead first, or None if there are too few
            free instances.
        """
        replica = health.replica
        outgoing = set(health.lost) | set(health.leaving)
        spares = self._take(len(outgoing), replica.model, replica.version)
        if spares is None:
            return None
        remaining_spares = iter(spares)
        return tuple(
            next(remaining_spares) if member in outgoing else member
            for member in replica.members
        )

    def _take(
        self, count: int, model_name: str, version: str
    ) -> tuple[str, ...] | None:
        """Takes free instances, those that have loaded the model first."""
        if count > len(self.free):
            return None
        ranked = sorted(
            self.free,
            key=lambda instance_id: (
                not self._has_loaded(instance_id, model_name, version)
            ),
        )
        self.free = ranked[count:]
        return tuple(ranked[:count])

    def _has_loaded(
        self, instance_id: str, model_name: str, version: str
    ) -> bool:
        report = self.view.reports[instance_id]
        return (
            report.model == model_name
            and report.version == version
            and report.state is not model.EngineState.LOADING
        )

    def _release(self, health: view_lib.ReplicaHealth, reason: str) -> None:
        self.changes.append(Release(health.replica, reason))
        # The members are not added to the free instances: the release may
        # still lose a race, so they are used only after the rows are read
        # again.


def _target_kind(target: model.Target) -> _Kind:
    return (target.model, target.version, target.span)


def _replica_kind(replica: model.Replica) -> _Kind:
    return (replica.model, replica.version, len(replica.members))


def standby(
    view: view_lib.DomainView, policy: policy_lib.Policy
) -> Iterable[tuple[str, model.Target]]:
    """Yields the free instances to keep loaded, each with its target."""
    targets = [target for target in view.targets if target.count > 0]
    if not targets:
        return
    free = list(view.free())
    for index, instance_id in enumerate(
        free[: policy.standby_count(len(free))]
    ):
        yield instance_id, targets[index % len(targets)]
