"""Snapshot of one fabric domain, from which its planner decides."""

import dataclasses
from collections.abc import Iterator, Mapping

from tamarackpier.platform import interfaces
from tamarackpier.replica import model

__all__ = ["ReplicaHealth", "DomainView", "replica_health"]


@dataclasses.dataclass(frozen=True)
class DomainView:
    """Everything that a plan for one fabric domain depends on.

    Attributes:
        domain: Name of the fabric domain.
        now: Time of the snapshot, in seconds on the planner's monotonic clock.
        engines: Engines of the domain that the platform lists, by instance.
        reports: Latest report of each engine that has ever answered, by
            instance.
        assignments: Instance rows, by instance.
        replicas: Replica rows, by replica.
        targets: Replicas that the domain should have now.
        max_report_age_s: Age above which a report is stale, in seconds.
        draining_since: Time at which each draining replica was first observed
            to be draining, by replica, in seconds on the planner's monotonic
            clock.
        drain_settle_s: Time after which no entry instance still sends new
            requests to a draining replica, in seconds.
        unreachable: Instances whose last probes failed; they count as lost
            even while their last report is not yet stale.
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
        """Returns whether an engine is reachable and has a recent report."""
        report = self.reports.get(instance_id)
        return (
            report is not None
            and instance_id not in self.unreachable
            and self.now - report.asked_at <= self.max_report_age_s
        )

    def is_leaving(self, instance_id: str) -> bool:
        """Returns whether the platform is withdrawing the instance."""
        engine = self.engines.get(instance_id)
        return engine is not None and engine.is_leaving

    def assignment(self, instance_id: str) -> model.Assignment:
        """Returns an instance's assignment; without a row it is free."""
        assignment = self.assignments.get(instance_id)
        return assignment or model.Assignment(instance_id)

    def free(self) -> Iterator[str]:
        """Yields the healthy instances without a replica, sorted by name."""
        for instance_id in sorted(self.engines):
            if (
                not self.assignment(instance_id).replica_id
                and self.is_healthy(instance_id)
                and not self.is_leaving(instance_id)
            ):
                yield instance_id

    def usable_count(self, absence_timeout_s: float) -> int:
        """Returns the number of instances that replicas can be placed on.

        Args:
            absence_timeout_s: Time for which an instance that has stopped
                answering is still counted, in seconds.
        """
        min_asked_at = self.now - max(absence_timeout_s, self.max_report_age_s)
        return sum(
            1
            for instance_id in self.engines
            if instance_id in self.reports
            and self.reports[instance_id].asked_at >= min_asked_at
            and not self.is_leaving(instance_id)
        )

    def running(self, replica: model.Replica) -> int:
        """Returns the number of requests in flight that the lead reports."""
        report = self.reports.get(replica.members[0])
        if report is None or report.replica_id != replica.replica_id:
            return 0
        return report.running


@dataclasses.dataclass(frozen=True)
class ReplicaHealth:
    """Health of a replica's members.

    Attributes:
        replica: Replica that was checked.
        lost: Members that do not answer probes.
        leaving: Members that answer and that the platform is withdrawing.
    """

    replica: model.Replica
    lost: tuple[str, ...]
    leaving: tuple[str, ...]

    @property
    def healthy(self) -> tuple[str, ...]:
        """Members that are neither lost nor leaving."""
        outgoing = set(self.lost) | set(self.leaving)
        return tuple(
            member for member in self.replica.members if member not in outgoing
        )


def replica_health(view: DomainView, replica: model.Replica) -> ReplicaHealth:
    """Returns which members of a replica are lost or leaving."""
    lost = []
    leaving = []
    for member in replica.members:
        if not view.is_healthy(member):
            lost.append(member)
        elif view.is_leaving(member):
            leaving.append(member)
    return ReplicaHealth(replica, tuple(lost), tuple(leaving))
