"""Policies for spares and for replicas that cannot be healed.

A policy answers two questions: how many free instances of a domain to keep
loaded on standby, and which broken replicas to give up when there are fewer
spares than lost members, so that their members heal the others.
"""

import dataclasses
import math
from typing import Protocol

from tamarackpier import registry
from tamarackpier.replica import view as view_lib

__all__ = ["POLICIES", "Objective", "Policy", "Shortage", "create"]


@dataclasses.dataclass(frozen=True)
class Objective:
    """What downtime and stranding cost in a deployment.

    Attributes:
        downtime_weight: Cost of a second in which a replica can't serve.
        stranding_weight: Cost of a stranded accelerator-second.
        form_s: Time in which free instances that stand by form a replica.
    """

    downtime_weight: float = 1.0
    stranding_weight: float = 0.1
    form_s: float = 10.0


@dataclasses.dataclass(frozen=True)
class Shortage:
    """Broken replicas of one kind that spares can't heal all at once.

    Attributes:
        broken: Their conditions, fewest lost members first.
        free: Free instances that could replace members.
    """

    broken: tuple[view_lib.ReplicaHealth, ...]
    free: int


class Policy(Protocol):
    """Decides on spares, on waiting and on giving up."""

    def absence_timeout_s(self, span: int) -> float:
        """Returns how long a domain counts on an absent instance's return.

        Args:
            span: Instances in each replica of the domain.
        """

    def standby_count(self, free: int) -> int:
        """Returns how many of the free instances to keep loaded."""

    def dissolve(self, shortage: Shortage) -> tuple[str, ...]:
        """Returns the replicas to give up."""


POLICIES: registry.Registry[type] = registry.Registry("replica policy")


def create(name: str, objective: Objective) -> Policy:
    """Returns the policy of that name.

    Raises:
        KeyError: There is no such policy.
    """
    return POLICIES.get(name)(objective)


@POLICIES.register("no-spares")
class NoSpares:
    """Loads nothing ahead and holds broken replicas until members return."""

    def __init__(self, objective: Objective) -> None:
        self.objective = objective

    def absence_timeout_s(self, span: int) -> float:
        """Returns infinity: an absent instance is always waited for."""
        return math.inf

    def standby_count(self, free: int) -> int:
        """Returns 0."""
        return 0

    def dissolve(self, shortage: Shortage) -> tuple[str, ...]:
        """Gives nothing up."""
        return ()


@POLICIES.register("fixed-spares")
class FixedSpares(NoSpares):
    """Keeps one loaded spare per domain and holds broken replicas."""

    def standby_count(self, free: int) -> int:
        """Returns 1, or 0 when nothing is free."""
        return min(1, free)


@POLICIES.register("objective")
class ObjectiveDriven(NoSpares):
    """Minimises the weighted sum of downtime and stranding.

    Free instances cost nothing while they stand by, so all are loaded. In a
    shortage it gives up the replicas that need the most members, as long as
    that lowers the cost that goes on accruing: each replica healed saves its
    downtime and its healthy members' stranding.
    """

    def absence_timeout_s(self, span: int) -> float:
        """Returns when waiting has cost as much as forming elsewhere.

        Waiting costs a replica's downtime and the stranding of its other
        members; forming elsewhere costs its downtime while free instances
        that stand by form. Leaving
        at the break-even point costs at most twice the best choice made in
        hindsight (the ski-rental rule; Karlin et al., "Competitive Snoopy
        Caching", Algorithmica 1988).
        """
        objective = self.objective
        waiting = objective.downtime_weight
        waiting += (span - 1) * objective.stranding_weight
        if waiting == 0:
            return math.inf
        return objective.form_s * objective.downtime_weight / waiting

    def standby_count(self, free: int) -> int:
        """Returns all that are free."""
        return free

    def dissolve(self, shortage: Shortage) -> tuple[str, ...]:
        """Gives up the fewest replicas that save the most."""
        best: tuple[str, ...] = ()
        best_cost = self._cost_rate(shortage, 0)
        for count in range(1, len(shortage.broken)):
            cost = self._cost_rate(shortage, count)
            if cost < best_cost:
                best_cost = cost
                given_up = shortage.broken[-count:]
                best = tuple(each.replica.replica_id for each in given_up)
        return best

    def _cost_rate(self, shortage: Shortage, given_up: int) -> float:
        """Returns the cost a second once `given_up` replicas are dissolved."""
        kept = shortage.broken[: len(shortage.broken) - given_up]
        spares = shortage.free + sum(
            len(each.healthy) for each in shortage.broken[len(kept) :]
        )
        cost = given_up * self.objective.downtime_weight
        for each in kept:
            needed = len(each.lost) + len(each.leaving)
            if needed <= spares:
                spares -= needed
                continue
            cost += self.objective.downtime_weight
            cost += len(each.healthy) * self.objective.stranding_weight
        return cost + spares * self.objective.stranding_weight
