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
        replica: Replica as the view of the plan shows it.
        members: New list of instances, lead first.
    """

    replica: model.Replica
    members: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Drain:
    """Stops new requests to a replica.

    Attributes:
        replica: Replica as the view of the plan shows it.
    """

    replica: model.Replica


@dataclasses.dataclass(frozen=True)
class Release:
    """Deletes a replica and frees all its members.

    Attributes:
        replica: Replica as the view of the plan shows it.
        reason: Why the replica is released, for the log.
    """

    replica: model.Replica
    reason: str


Change = Form | Heal | Drain | Release
# Model, version and span of replicas.
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
        replicas_by_kind: dict[_Kind, list[view_lib.ReplicaHealth]] = {
            kind: [] for kind in targets
        }
        for replica_id in sorted(self.view.replicas):
            replica = self.view.replicas[replica_id]
            health = view_lib.replica_health(self.view, replica)
            replicas_by_kind.setdefault(_replica_kind(replica), []).append(
                health
            )
        # Kinds without a target come first, so that the changes that free
        # their instances are committed first.
        for kind in sorted(
            replicas_by_kind, key=lambda key: (key in targets, key)
        ):
            self._plan_kind(targets.get(kind), replicas_by_kind[kind])
        return tuple(self.changes)

    def _plan_kind(
        self,
        target: model.Target | None,
        replicas: list[view_lib.ReplicaHealth],
    ) -> None:
        target_count = target.count if target else 0
        open_replicas = [
            health
            for health in replicas
            if health.replica.state is model.ReplicaState.OPEN
        ]
        draining_replicas = [
            health for health in replicas if health not in open_replicas
        ]
        kept_replicas = self._drop_surplus(open_replicas, target_count)
        kept_replicas = self._drain_leaving(kept_replicas)
        missing_count = target_count - len(kept_replicas)
        missing_count -= self._finish_drains(draining_replicas, missing_count)
        self._heal([health for health in kept_replicas if health.lost])
        if target is not None:
            self._form(target, missing_count)

    def _drop_surplus(
        self, open_replicas: list[view_lib.ReplicaHealth], target_count: int
    ) -> list[view_lib.ReplicaHealth]:
        """Drains or releases surplus replicas; returns the others."""
        ranked_replicas = sorted(
            open_replicas,
            key=lambda health: (
                len(health.lost) + len(health.leaving),
                -self.view.running(health.replica),
                health.replica.replica_id,
            ),
        )
        for health in ranked_replicas[target_count:]:
            if health.lost:
                self._release(health, "surplus replica with lost members")
            else:
                self.changes.append(Drain(health.replica))
        return ranked_replicas[:target_count]

    def _drain_leaving(
        self, kept_replicas: list[view_lib.ReplicaHealth]
    ) -> list[view_lib.ReplicaHealth]:
        """Drains replicas with leaving members; returns the others."""
        remaining_replicas = []
        for health in kept_replicas:
            if health.leaving and not health.lost:
                self.changes.append(Drain(health.replica))
            else:
                remaining_replicas.append(health)
        return remaining_replicas

    def _finish_drains(
        self,
        draining_replicas: list[view_lib.ReplicaHealth],
        missing_count: int,
    ) -> int:
        """Reopens or releases drained replicas.

        Args:
            draining_replicas: Replicas that are draining.
            missing_count: Number of replicas that the target still lacks.

        Returns:
            Number of replicas that are reopened.
        """
        reopened_count = 0
        for health in draining_replicas:
            if not self._is_drained(health):
                continue
            members = None
            if reopened_count < missing_count:
                members = self._members_after_heal(health)
            if members is None:
                self._release(health, "drained")
            else:
                self.changes.append(Heal(health.replica, members))
                reopened_count += 1
        return reopened_count

    def _is_drained(self, health: view_lib.ReplicaHealth) -> bool:
        """Returns whether a draining replica has no requests in flight.

        A replica with lost members counts as drained. Otherwise the lead must
        have reported no requests in flight after the time by which entry
        instances stop sending new requests.
        """
        if health.lost:
            return True
        draining_since = self.view.draining_since.get(health.replica.replica_id)
        if (
            draining_since is None
            or self.view.now - draining_since < self.view.drain_settle_s
        ):
            return False
        lead_report = self.view.reports.get(health.replica.members[0])
        has_current_report = (
            lead_report is not None
            and lead_report.asked_at
            >= (draining_since + self.view.drain_settle_s)
        )
        return has_current_report and self.view.running(health.replica) == 0

    def _heal(self, broken_replicas: list[view_lib.ReplicaHealth]) -> None:
        """Heals broken replicas; in a shortage releases some of them."""
        replicas_by_need = sorted(
            broken_replicas,
            key=lambda health: (
                len(health.lost) + len(health.leaving),
                health.replica.replica_id,
            ),
        )
        needed_count = sum(
            len(health.lost) + len(health.leaving)
            for health in replicas_by_need
        )
        dissolved_ids: tuple[str, ...] = ()
        if needed_count > len(self.free):
            shortage = policy_lib.Shortage(
                tuple(replicas_by_need), len(self.free)
            )
            dissolved_ids = self.policy.dissolve(shortage)
        for health in replicas_by_need:
            if health.replica.replica_id in dissolved_ids:
                self._release(health, "dissolved to heal other replicas")
        for health in replicas_by_need:
            if health.replica.replica_id in dissolved_ids:
                continue
            members = self._members_after_heal(health)
            if members is not None:
                self.changes.append(Heal(health.replica, members))

    def _form(self, target: model.Target, missing_count: int) -> None:
        for _ in range(missing_count):
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
        outgoing_members = set(health.lost) | set(health.leaving)
        spares = self._take(
            len(outgoing_members), replica.model, replica.version
        )
        if spares is None:
            return None
        remaining_spares = iter(spares)
        return tuple(
            next(remaining_spares) if member in outgoing_members else member
            for member in replica.members
        )

    def _take(
        self, count: int, model_name: str, version: str
    ) -> tuple[str, ...] | None:
        """Takes free instances, first those that have loaded the model.

        Returns:
            The instances taken, or None if there are too few.
        """
        if count > len(self.free):
            return None
        ranked_instances = sorted(
            self.free,
            key=lambda instance_id: (
                not self._has_loaded(instance_id, model_name, version)
            ),
        )
        self.free = ranked_instances[count:]
        return tuple(ranked_instances[:count])

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
