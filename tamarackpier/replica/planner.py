"""Plans one fabric domain: which replicas to form, heal, drain or release.

The plan is a pure function of a `DomainView` and a policy. It is made anew
on every tick from rows and reports, so a planner that dies or loses its
lease leaves nothing behind that its successor needs.
"""

import dataclasses
from collections.abc import Iterable

from tamarackpier.replica import model
from tamarackpier.replica import policy as policy_lib
from tamarackpier.replica import view as view_lib

__all__ = ["Change", "Drain", "Form", "Heal", "Release", "plan"]


@dataclasses.dataclass(frozen=True)
class Form:
    """Make a new replica."""

    target: model.Target
    members: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Heal:
    """Replace members of a replica and open it again."""

    replica: model.Replica
    members: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Drain:
    """Send no new requests to a replica."""

    replica: model.Replica


@dataclasses.dataclass(frozen=True)
class Release:
    """Free all members of a replica."""

    replica: model.Replica
    reason: str


Change = Form | Heal | Drain | Release
_Kind = tuple[str, str, int]


def plan(
    view: view_lib.DomainView, policy: policy_lib.Policy
) -> tuple[Change, ...]:
    """Returns the changes that bring a domain towards its targets."""
    return _Planner(view, policy).plan()


class _Planner:
    """One pass over a view.

    Attributes:
        free: Healthy instances that this plan has not used yet.
    """

    def __init__(
        self, view: view_lib.DomainView, policy: policy_lib.Policy
    ) -> None:
        self.view = view
        self.policy = policy
        self.free = list(view.free())
        self.changes: list[Change] = []

    def plan(self) -> tuple[Change, ...]:
        targets = {_target_kind(each): each for each in self.view.targets}
        by_kind: dict[_Kind, list[view_lib.ReplicaHealth]] = {
            kind: [] for kind in targets
        }
        for replica_id in sorted(self.view.replicas):
            replica = self.view.replicas[replica_id]
            found = view_lib.replica_health(self.view, replica)
            by_kind.setdefault(_replica_kind(replica), []).append(found)
        # Unwanted kinds come first, since what they free is of use at once.
        for kind in sorted(by_kind, key=lambda each: (each in targets, each)):
            self._plan_kind(targets.get(kind), by_kind[kind])
        return tuple(self.changes)

    def _plan_kind(
        self,
        target: model.Target | None,
        conditions: list[view_lib.ReplicaHealth],
    ) -> None:
        wanted = target.count if target else 0
        is_open = [
            each
            for each in conditions
            if each.replica.state is model.ReplicaState.OPEN
        ]
        draining = [each for each in conditions if each not in is_open]
        kept = self._drop_surplus(is_open, wanted)
        kept = self._drain_leaving(kept)
        missing = wanted - len(kept)
        missing -= self._finish_drains(draining, missing)
        self._heal([each for each in kept if each.lost])
        if target is not None:
            self._form(target, missing)

    def _drop_surplus(
        self, is_open: list[view_lib.ReplicaHealth], wanted: int
    ) -> list[view_lib.ReplicaHealth]:
        ranked = sorted(
            is_open,
            key=lambda each: (
                len(each.lost) + len(each.leaving),
                -self.view.running(each.replica),
                each.replica.replica_id,
            ),
        )
        for each in ranked[wanted:]:
            if each.lost:
                self._release(each, "surplus and not whole")
            else:
                self.changes.append(Drain(each.replica))
        return ranked[:wanted]

    def _drain_leaving(
        self, kept: list[view_lib.ReplicaHealth]
    ) -> list[view_lib.ReplicaHealth]:
        staying = []
        for each in kept:
            if each.leaving and not each.lost:
                self.changes.append(Drain(each.replica))
            else:
                staying.append(each)
        return staying

    def _finish_drains(
        self, draining: list[view_lib.ReplicaHealth], missing: int
    ) -> int:
        """Ends drains whose requests are done; returns how many reopened."""
        reopened = 0
        for each in draining:
            if not self._is_drained(each):
                continue
            members = None
            if reopened < missing:
                members = self._replacement(each)
            if members is None:
                self._release(each, "drained")
            else:
                self.changes.append(Heal(each.replica, members))
                reopened += 1
        return reopened

    def _is_drained(self, found: view_lib.ReplicaHealth) -> bool:
        if found.lost:
            return True
        since = self.view.draining_since.get(found.replica.replica_id)
        if since is None or self.view.now - since < self.view.drain_settle_s:
            return False
        lead = self.view.reports.get(found.replica.members[0])
        is_current = lead is not None and lead.asked_at >= (
            since + self.view.drain_settle_s
        )
        return is_current and self.view.running(found.replica) == 0

    def _heal(self, broken: list[view_lib.ReplicaHealth]) -> None:
        by_need = sorted(
            broken,
            key=lambda each: (
                len(each.lost) + len(each.leaving),
                each.replica.replica_id,
            ),
        )
        needed = sum(len(each.lost) + len(each.leaving) for each in by_need)
        given_up: tuple[str, ...] = ()
        if needed > len(self.free):
            shortage = policy_lib.Shortage(tuple(by_need), len(self.free))
            given_up = self.policy.dissolve(shortage)
        for each in by_need:
            if each.replica.replica_id in given_up:
                self._release(each, "given up to heal others")
        for each in by_need:
            if each.replica.replica_id in given_up:
                continue
            members = self._replacement(each)
            if members is not None:
                self.changes.append(Heal(each.replica, members))

    def _form(self, target: model.Target, missing: int) -> None:
        for _ in range(missing):
            members = self._take(target.span, target.model, target.version)
            if members is None:
                return
            self.changes.append(Form(target, members))

    def _replacement(
        self, found: view_lib.ReplicaHealth
    ) -> tuple[str, ...] | None:
        """Returns the members with every gone one replaced, or None."""
        replica = found.replica
        gone = set(found.lost) | set(found.leaving)
        spares = self._take(len(gone), replica.model, replica.version)
        if spares is None:
            return None
        supply = iter(spares)
        return tuple(
            next(supply) if member in gone else member
            for member in replica.members
        )

    def _take(
        self, count: int, name: str, version: str
    ) -> tuple[str, ...] | None:
        if count > len(self.free):
            return None
        ranked = sorted(
            self.free, key=lambda each: not self._holds(each, name, version)
        )
        self.free = ranked[count:]
        return tuple(ranked[:count])

    def _holds(self, instance_id: str, name: str, version: str) -> bool:
        report = self.view.reports[instance_id]
        return (
            report.model == name
            and report.version == version
            and report.state is not model.EngineState.LOADING
        )

    def _release(self, found: view_lib.ReplicaHealth, reason: str) -> None:
        self.changes.append(Release(found.replica, reason))
        # The members are used in this plan's later steps only after the next
        # read of the rows, since the release may yet lose a race.


def _target_kind(target: model.Target) -> _Kind:
    return (target.model, target.version, target.span)


def _replica_kind(replica: model.Replica) -> _Kind:
    return (replica.model, replica.version, len(replica.members))


def standby(
    view: view_lib.DomainView, policy: policy_lib.Policy
) -> Iterable[tuple[str, model.Target]]:
    """Yields the free instances to keep loaded, and with which model."""
    targets = [each for each in view.targets if each.count > 0]
    if not targets:
        return
    free = list(view.free())
    for index, instance_id in enumerate(
        free[: policy.standby_count(len(free))]
    ):
        yield instance_id, targets[index % len(targets)]
