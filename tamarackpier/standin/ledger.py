"""What happened in a world, as only somebody who sees everything can tell."""

import collections
import dataclasses

from tamarackpier import codes

__all__ = ["Ledger"]


@dataclasses.dataclass
class Ledger:
    """What happened, as only somebody who sees everything can tell.

    Attributes:
        violations: Promises that were broken.
        service_runs: How often each order ran.
        told: What callers were told of each order.
        drafts: Drafts by outcome.
        dispatches: Calls that arrived at leads.
        late_dispatches: Calls whose sender was paused as it sent them.
        steps: Messages that nodes sent or took.
        crashes_by_request: Leads that a request crashed.
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
        """Returns every promise that was broken so far."""
        found = list(self.violations)
        for reference, count in self.service_runs.items():
            if count > 1:
                found.append(f"order {reference} ran {count} times")
        for reference, outcomes in self.order_outcomes.items():
            runs = self.service_runs[reference]
            if runs and set(outcomes) == {codes.Outcome.NOT_RUN}:
                found.append(f"order {reference} ran, told not run")
            if not runs and codes.Outcome.COMPLETE in outcomes:
                found.append(f"order {reference} is lost, told complete")
        return found
