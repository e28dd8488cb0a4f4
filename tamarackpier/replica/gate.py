"""Admits requests to replicas whose members were verified recently.

Evidence states that every member of a replica reported the replica, its
fencing number and its members, and when the oldest of these probes was sent.
Entry instances pull evidence from each other. Its age is counted from before
the pull was sent, so that clocks are never compared between instances and the
age is never underestimated.
"""

import dataclasses
from collections.abc import Mapping

from tamarackpier.replica import model

__all__ = ["Evidence", "Gate", "Loss", "Verdict", "verify"]


@dataclasses.dataclass(frozen=True)
class Evidence:
    """Proof that all members of a replica were ready at a given time.

    Attributes:
        replica_id: Verified replica.
        domain: Fabric domain of the replica.
        availability_zone: Availability zone of the replica.
        model: Served model.
        version: Version of the model.
        fence: Fencing number that every member reported.
        is_open: Whether the replica accepts new requests; false while it is
            draining or a member is leaving.
        member_count: Number of verified members.
        lead: Instance that receives the replica's requests.
        address: Base URL of the lead.
        running: Number of requests in flight that the lead reported.
        slots: Maximum number of requests in flight.
        at: Time at which the oldest probe of a member was sent, in seconds on
            the monotonic clock.
    """

    replica_id: str
    domain: str
    availability_zone: str
    model: str
    version: str
    fence: int
    is_open: bool
    member_count: int
    lead: str
    address: str
    running: int
    slots: int
    at: float


@dataclasses.dataclass(frozen=True, order=True)
class Loss:
    """An observation that a replica is broken.

    Attributes:
        fence: Fencing number of the membership that was observed.
        at: Time of the observation, in seconds on the monotonic clock.
    """

    fence: int
    at: float


@dataclasses.dataclass(frozen=True)
class Verdict:
    """Whether a request may be sent to a replica.

    Attributes:
        is_open: Whether the request may be sent.
        reason: Why it may not; empty if it may.
    """

    is_open: bool
    reason: str = ""


def verify(
    replica: model.Replica,
    reports: Mapping[str, model.EngineReport],
    availability_zone: str,
    address: str,
) -> Evidence | str:
    """Verifies a replica against the reports of its members.

    Args:
        replica: Replica to verify.
        reports: Latest report of each engine, by instance.
        availability_zone: Availability zone of the replica.
        address: Base URL of the lead.

    Returns:
        The evidence, or the member that failed verification and why.
    """
    for member in replica.members:
        problem = _problem(replica, reports.get(member))
        if problem:
            return f"{member} {problem}"
    lead = reports[replica.members[0]]
    at = min(reports[member].asked_at for member in replica.members)
    return Evidence(
        replica.replica_id,
        replica.domain,
        availability_zone,
        replica.model,
        replica.version,
        replica.fence,
        replica.state is model.ReplicaState.OPEN,
        len(replica.members),
        replica.members[0],
        address,
        lead.running,
        lead.slots,
        at,
    )


def _problem(replica: model.Replica, report: model.EngineReport | None) -> str:
    """Returns why a member fails verification; empty if it passes."""
    if report is None:
        return "has never reported"
    if report.replica_id != replica.replica_id:
        return f"belongs to replica {report.replica_id!r}"
    if report.fence != replica.fence:
        return f"has fencing number {report.fence}, expected {replica.fence}"
    if report.members != replica.members:
        return "reports different members than the replica's row"
    if (report.model, report.version) != (replica.model, replica.version):
        return f"has loaded model {report.model}/{report.version}"
    if report.state is not model.EngineState.READY:
        return f"is in state {report.state.value}"
    return ""


class Gate:
    """Decides from evidence which replicas one entry instance may use.

    Attributes:
        max_evidence_age_s: Age above which evidence is stale, in seconds.
        evidence: Latest evidence, by replica.
        losses: Last observation that the replica is broken, by replica.
        draining_evidence: Last evidence received that permits no new requests,
            by replica.
    """

    def __init__(self, max_evidence_age_s: float) -> None:
        self.max_evidence_age_s = max_evidence_age_s
        self.evidence: dict[str, Evidence] = {}
        self.losses: dict[str, Loss] = {}
        self.draining_evidence: dict[str, Evidence] = {}

    def add(self, evidence: Evidence) -> None:
        """Stores evidence, unless the stored evidence is newer."""
        if not evidence.is_open:
            self.draining_evidence[evidence.replica_id] = evidence
        stored_evidence = self.evidence.get(evidence.replica_id)
        if stored_evidence is not None:
            stored_key = (stored_evidence.fence, stored_evidence.at)
            if (evidence.fence, evidence.at) < stored_key:
                return
        self.evidence[evidence.replica_id] = evidence

    def close(self, replica_id: str, fence: int, at: float) -> None:
        """Records that a replica was observed to be broken.

        Only evidence of a later time or with a higher fencing number opens the
        replica again. An instance that reads the rows late may report a
        replica as broken that has been healed since; the fencing number shows
        that the report is about the previous members.

        Args:
            replica_id: Broken replica.
            fence: Fencing number of the observed membership.
            at: Time of the observation, in seconds on the monotonic clock.
        """
        loss = Loss(fence, at)
        last_loss = self.losses.get(replica_id, loss)
        self.losses[replica_id] = max(last_loss, loss)

    def check(self, replica_id: str, now: float) -> Verdict:
        """Returns whether a request may be sent to a replica at `now`.

        It may be if the evidence is recent, shows no drain, and is newer than
        the last observation that the replica is broken, unless that concerns
        an earlier membership.
        """
        evidence = self.evidence.get(replica_id)
        if evidence is None:
            return Verdict(False, "no evidence")
        if now - evidence.at > self.max_evidence_age_s:
            return Verdict(False, "evidence too old")
        loss = self.losses.get(replica_id)
        if (
            loss is not None
            and loss.fence >= evidence.fence
            and evidence.at <= loss.at
        ):
            return Verdict(False, "seen broken")
        if self._is_draining(evidence, now):
            return Verdict(False, "draining")
        return Verdict(True)

    def _is_draining(self, evidence: Evidence, now: float) -> bool:
        """Returns whether any recent evidence permits no new requests.

        Evidence from two instances may differ while one of them has older
        information. Evidence that shows a drain or a leaving member takes
        precedence.
        """
        draining_evidence = self.draining_evidence.get(evidence.replica_id)
        return (
            draining_evidence is not None
            and draining_evidence.fence >= evidence.fence
            and now - draining_evidence.at <= self.max_evidence_age_s
        )

    def serving(
        self, model_name: str, version: str, now: float
    ) -> list[Evidence]:
        """Returns the evidence of all replicas that may serve the model."""
        return [
            evidence
            for replica_id, evidence in self.evidence.items()
            if evidence.model == model_name
            and evidence.version == version
            and self.check(replica_id, now).is_open
        ]

    def drop_before(self, before: float) -> None:
        """Drops old evidence and losses.

        Args:
            before: Time before which they are dropped, in seconds on the
                monotonic clock.
        """
        self.evidence = {
            replica_id: evidence
            for replica_id, evidence in self.evidence.items()
            if evidence.at >= before
        }
        self.draining_evidence = {
            replica_id: evidence
            for replica_id, evidence in self.draining_evidence.items()
            if evidence.at >= before
        }
        self.losses = {
            replica_id: loss
            for replica_id, loss in self.losses.items()
            if loss.at >= before
        }
