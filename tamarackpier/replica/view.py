"""What the planner of one fabric domain sees at one moment."""

import dataclasses
from collections.abc import Iterator, Mapping

from tamarackpier.platform import interfaces
from tamarackpier.replica import model

__all__ = ["ReplicaHealth", "DomainView", "replica_health"]


@dataclasses.dataclass(frozen=True)
class DomainView:
    """Everything a plan for one fabric domain depends on.

    Attributes:
        domain: The fabric domain.
        now: The planner's monotonic clock.
        engines: The domain's listed engines by instance.
        reports: The latest report of each engine that ever answered.
        assignments: Instance rows by instance.
        replicas: Replica rows by replica.
        targets: What the domain should hold now.
        max_report_age_s: Age at which a report no longer counts.
        draining_since: When each draining replica was first seen so.
        drain_settle_s: Time after which no entry instance sends to a draining
            replica any more.
        unreachable: Engines whose last probes failed, which need not be waited
            for until their last report is old.
    """

    domain: str
    now: float
    engines: Mapping[str, interfaces.ListedInstance]
    reports: Mapping[str, model.EngineReport]
    assignments: Mapping[str, model.Assignment]
    replicas: Mapping[str, model.Replica]
    targets: tuple[model.Target, ...]
    max_report_age_s: float
    draining_since: Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )
    drain_settle_s: float = 5.0
    unreachable: frozenset[str] = frozenset()

    def is_healthy(self, instance_id: str) -> bool:
        """Returns whether an engine answered a probe lately."""
        report = self.reports.get(instance_id)
        return (
            report is not None
            and instance_id not in self.unreachable
            and self.now - report.asked_at <= self.max_report_age_s
        )

    def is_leaving(self, instance_id: str) -> bool:
        """Returns whether the platform is taking the instance away."""
        engine = self.engines.get(instance_id)
        return engine is not None and engine.is_leaving

    def assignment(self, instance_id: str) -> model.Assignment:
        """Returns an instance's row; an absent one is free."""
        found = self.assignments.get(instance_id)
        return found or model.Assignment(instance_id)

    def free(self) -> Iterator[str]:
        """Yields healthy instances that no replica has, in name order."""
        for instance_id in sorted(self.engines):
            if (
                not self.assignment(instance_id).replica_id
                and self.is_healthy(instance_id)
                and not self.is_leaving(instance_id)
            ):
                yield instance_id

    def usable_count(self, absence_timeout_s: float) -> int:
        """Returns how many instances the domain can place in replicas.

        Args:
            absence_timeout_s: How long an instance that stopped answering
                counts.
        """
        oldest = self.now - max(absence_timeout_s, self.max_report_age_s)
        return sum(
            1
            for instance_id in self.engines
            if instance_id in self.reports
            and self.reports[instance_id].asked_at >= oldest
            and not self.is_leaving(instance_id)
        )

    def running(self, replica: model.Replica) -> int:
        """Returns the requests that a replica's lead says it runs."""
        report = self.reports.get(replica.members[0])
        if report is None or report.replica_id != replica.replica_id:
            return 0
        return report.running


@dataclasses.dataclass(frozen=True)
class ReplicaHealth:
    """The members of a replica by state.

    Attributes:
        replica: The replica.
        lost: Members that do not answer.
        leaving: Members that answer and are being taken away.
    """

    replica: model.Replica
    lost: tuple[str, ...]
    leaving: tuple[str, ...]

    @property
    def healthy(self) -> tuple[str, ...]:
        """The members that can stay."""
        gone = set(self.lost) | set(self.leaving)
        return tuple(
            member for member in self.replica.members if member not in gone
        )


def replica_health(view: DomainView, replica: model.Replica) -> ReplicaHealth:
    """Returns which members of a replica can't stay."""
    lost = []
    leaving = []
    for member in replica.members:
        if not view.is_healthy(member):
            lost.append(member)
        elif view.is_leaving(member):
            leaving.append(member)
    return ReplicaHealth(replica, tuple(lost), tuple(leaving))
