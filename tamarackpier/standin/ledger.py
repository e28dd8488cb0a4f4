"""Records the events of a simulated world and checks them as a whole."""

import collections
import dataclasses

from tamarackpier import codes

__all__ = ["Ledger"]


@dataclasses.dataclass
class Ledger:
    """Events of a simulated world, as observed from outside its processes.

    Attributes:
        violations: Descriptions of the violations that were observed.
        service_runs: Number of times that each order ran, by reference.
        order_outcomes: Outcomes that callers received of each order, by
            reference.
        drafts: Number of drafts by outcome.
        dispatches: Number of calls that reached a lead, late ones not
            included.
        late_dispatches: Number of calls whose sender was paused between its
            decision and the sending.
        steps: Number of messages that nodes sent or received.
        crashes_by_request: Number of leads that a request crashed.
    """

    violations: list[str] = dataclasses.field(default_factory=list)
    service_runs: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    order_outcomes: dict[str, list[codes.Outcome]] = dataclasses.field(
        default_factory=dict
    )
    drafts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    dispatches: int = 0
    late_dispatches: int = 0
    steps: int = 0
    crashes_by_request: int = 0

    def find_violations(self) -> list[str]:
        """Returns all violations so far, those of order outcomes included."""
        violations = list(self.violations)
        for reference, count in self.service_runs.items():
            if count > 1:
                violations.append(f"order {reference} ran {count} times")
        for reference, outcomes in self.order_outcomes.items():
            runs = self.service_runs[reference]
            if runs and set(outcomes) == {codes.Outcome.NOT_RUN}:
                violations.append(
                    f"order {reference} ran but was reported as not run"
                )
            if not runs and codes.Outcome.COMPLETE in outcomes:
                violations.append(
                    f"order {reference} did not run but was reported complete"
                )
        return violations
