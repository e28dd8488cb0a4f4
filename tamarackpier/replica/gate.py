"""The serving gate: a replica serves only on current evidence.

Evidence says that every member of a replica reported the replica, its
fencing number and its members, and when the oldest of these probes was sent.
It is spread to entry instances in answers to their pulls, and its age is
counted from before the pull was sent, so that no clocks are compared and an
age is never too small.
"""

import dataclasses
from collections.abc import Mapping

from tamarackpier.replica import model

__all__ = ["Evidence", "Gate", "Loss", "Verdict", "verify"]


@dataclasses.dataclass(frozen=True)
class Evidence:
    """Proof that a replica was whole at a moment.

    Attributes:
        replica_id: The replica.
        domain: Its fabric domain.
        availability_zone: Where it is.
        model: The model it serves.
        version: Version of the model.
        fence: Fencing number that every member reported.
        is_open: Whether its row asks for new requests.
        member_count: How many members were verified.
        lead: The instance that takes its requests.
        address: Base URL of the lead.
        running: Requests that the lead said it runs.
        slots: Requests it can run at once.
        at: Monotonic time at which every member was still whole.
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
    """A replica that was seen broken.

    Attributes:
        fence: The fencing number of the members that were not all there.
        at: Monotonic time at which that was seen.
    """

    fence: int
    at: float


@dataclasses.dataclass(frozen=True)
class Verdict:
    """Whether a replica may be sent a request, and if not, why not."""

    is_open: bool
    reason: str = ""


def verify(
    replica: model.Replica,
    reports: Mapping[str, model.EngineReport],
    availability_zone: str,
    address: str,
) -> Evidence | str:
    """Returns evidence from members' reports, or what is missing."""
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
    if report is None:
        return "never reported"
    if report.replica_id != replica.replica_id:
        return f"is in replica {report.replica_id!r}"
    if report.fence != replica.fence:
        return f"has fencing number {report.fence}, not {replica.fence}"
    if report.members != replica.members:
        return "has other members"
    if (report.model, report.version) != (replica.model, replica.version):
        return f"holds {report.model}/{report.version}"
    if report.state is not model.EngineState.READY:
        return f"is {report.state.value}"
    return ""


class Gate:
    """The evidence that one entry instance holds.

    Attributes:
        max_evidence_age_s: Oldest evidence on which a replica serves.
        evidence: The newest evidence by replica.
        losses: The last time that each replica was seen broken.
        draining_evidence: The newest evidence that the replica is draining, by
            replica.
    """

    def __init__(self, max_evidence_age_s: float) -> None:
        self.max_evidence_age_s = max_evidence_age_s
        self.evidence: dict[str, Evidence] = {}
        self.losses: dict[str, Loss] = {}
        self.draining_evidence: dict[str, Evidence] = {}

    def add(self, evidence: Evidence) -> None:
        """Takes evidence, unless newer evidence or a later loss is known."""
        if not evidence.is_open:
            self.draining_evidence[evidence.replica_id] = evidence
        held = self.evidence.get(evidence.replica_id)
        if held is not None:
            before = (held.fence, held.at)
            if (evidence.fence, evidence.at) < before:
                return
        self.evidence[evidence.replica_id] = evidence

    def close(self, replica_id: str, fence: int, at: float) -> None:
        """Notes that a replica was seen broken at a moment.

        Only evidence of a later moment, or of a later fencing number, opens
        it again. A watcher whose rows are old calls a replica broken that has
        long been healed; the number shows that it means the old members.
        """
        loss = Loss(fence, at)
        known = self.losses.get(replica_id, loss)
        self.losses[replica_id] = max(known, loss)

    def check(self, replica_id: str, now: float) -> Verdict:
        """Returns whether a request may be sent to a replica at `now`."""
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
        if self._is_shut(evidence, now):
            return Verdict(False, "draining")
        return Verdict(True)

    def _is_shut(self, evidence: Evidence, now: float) -> bool:
        """Returns whether any watcher asks for no new requests.

        Watchers may differ while one of them is behind. The one that knows
        of a drain or a leaving member is believed.
        """
        shut = self.draining_evidence.get(evidence.replica_id)
        return (
            shut is not None
            and shut.fence >= evidence.fence
            and now - shut.at <= self.max_evidence_age_s
        )

    def serving(
        self, model_name: str, version: str, now: float
    ) -> list[Evidence]:
        """Returns the evidence of all replicas that may serve a model."""
        return [
            each
            for replica_id, each in self.evidence.items()
            if each.model == model_name
            and each.version == version
            and self.check(replica_id, now).is_open
        ]

    def forget(self, before: float) -> None:
        """Drops evidence and losses older than a moment."""
        self.evidence = {
            replica_id: each
            for replica_id, each in self.evidence.items()
            if each.at >= before
        }
        self.draining_evidence = {
            replica_id: each
            for replica_id, each in self.draining_evidence.items()
            if each.at >= before
        }
        self.losses = {
            replica_id: each
            for replica_id, each in self.losses.items()
            if each.at >= before
        }
