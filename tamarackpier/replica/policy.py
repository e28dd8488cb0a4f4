"""Policies for spare instances and for replicas with lost members.

A policy decides how long a domain waits for an absent instance to return, how
many free instances of a domain to keep loaded on standby, and which broken
replicas to dissolve when there are fewer spares than lost members, so that
their members can heal the others.
"""

import dataclasses
import math
from typing import Protocol

from tamarackpier import registry
from tamarackpier.replica import view as view_lib

__all__ = ["POLICIES", "Objective", "Policy", "Shortage", "create"]


@dataclasses.dataclass(frozen=True)
class Objective:
    """Cost weights of downtime and stranded instances in a deployment.

    An instance is stranded while it is healthy but serves no requests.

    Attributes:
        downtime_weight: Cost of a second in which one replica cannot serve.
        stranding_weight: Cost of a stranded accelerator-second.
        form_s: Time that instances on standby take to form a replica, in
            seconds.
    """

    downtime_weight: float = 1.0
    stranding_weight: float = 0.1
    form_s: float = 10.0


@dataclasses.dataclass(frozen=True)
class Shortage:
    """Broken replicas of one kind that need more spares than there are.

    Attributes:
        broken: Health of the broken replicas, in ascending order of members
            to replace.
        free: Number of free instances that could replace members.
    """

    broken: tuple[view_lib.ReplicaHealth, ...]
    free: int


class Policy(Protocol):
    """Decides on spares, on absence timeouts and on dissolving replicas."""

    def absence_timeout_s(self, span: int) -> float:
        """Returns how long a domain waits for an absent instance.

        Args:
            span: Number of instances in each replica of the domain.

        Returns:
            Time in seconds, after which the instance no longer counts as
            usable capacity of the domain.
        """

    def standby_count(self, free: int) -> int:
        """Returns how many of the free instances to keep loaded."""

    def dissolve(self, shortage: Shortage) -> tuple[str, ...]:
        """Returns the identifiers of the replicas to dissolve."""


POLICIES: registry.Registry[type] = registry.Registry("replica policy")


def create(name: str, objective: Objective) -> Policy:
    """Returns a new policy.

    Args:
        name: Name under which the policy is registered.
        objective: Cost weights for the policy.

    Raises:
        KeyError: No policy is registered under the name.
    """
    return POLICIES.get(name)(objective)


@POLICIES.register("no-spares")
class NoSpares:
    """Loads no spares and keeps broken replicas until members return."""

    def __init__(self, objective: Objective) -> None:
        self.objective = objective

    def absence_timeout_s(self, span: int) -> float:
        """Returns infinity: the policy waits for every absent instance."""
        return math.inf

    def standby_count(self, free: int) -> int:
        """Returns 0."""
        return 0

    def dissolve(self, shortage: Shortage) -> tuple[str, ...]:
        """Returns nothing, since the policy dissolves no replicas."""
        return ()


@POLICIES.register("fixed-spares")
class FixedSpares(NoSpares):
    """Keeps one loaded spare per domain and keeps broken replicas."""

    def standby_count(self, free: int) -> int:
        """Returns 1, or 0 if no instance is free."""
        return min(1, free)


@POLICIES.register("objective")
class ObjectiveDriven(NoSpares):
    """Minimizes the weighted sum of downtime and stranded instances.

    All free instances are loaded, since standby costs nothing. In a shortage,
    the policy dissolves as many replicas, those that need the most new members
    first, as makes the cost rate lowest: each healed replica saves its downtime
    and the stranding of its healthy members.
    """

    def absence_timeout_s(self, span: int) -> float:
        """Returns the time after which waiting costs as much as a new replica.

        Waiting costs the replica's downtime and the stranding of its other
        members. Forming a replica elsewhere costs its downtime until instances
        on standby have formed it. Switching at the break-even point costs at
        most twice as much as the best choice in hindsight (the ski-rental
        rule; Karlin et al., "Competitive Snoopy Caching", Algorithmica 1988).
        """
        objective = self.objective
        waiting_cost_rate = objective.downtime_weight
        waiting_cost_rate += (span - 1) * objective.stranding_weight
        if waiting_cost_rate == 0:
            return math.inf
        return objective.form_s * objective.downtime_weight / waiting_cost_rate

    def standby_count(self, free: int) -> int:
        """Returns the number of free instances."""
        return free

    def dissolve(self, shortage: Shortage) -> tuple[str, ...]:
        """Returns the fewest replicas that give the lowest cost rate."""
        best_ids: tuple[str, ...] = ()
        best_cost = self._cost_rate(shortage, 0)
        for count in range(1, len(shortage.broken)):
            cost = self._cost_rate(shortage, count)
            if cost < best_cost:
                best_cost = cost
                dissolved_replicas = shortage.broken[-count:]
                best_ids = tuple(
                    health.replica.replica_id for health in dissolved_replicas
                )
        return best_ids

    def _cost_rate(self, shortage: Shortage, dissolved_count: int) -> float:
        """Returns the cost per second after dissolving some replicas.

        Args:
            shortage: Broken replicas and number of free instances.
            dissolved_count: Number of replicas to dissolve, from the end of
                `shortage.broken`.
        """
        kept_replicas = shortage.broken[
            : len(shortage.broken) - dissolved_count
        ]
        spare_count = shortage.free + sum(
            len(health.healthy)
            for health in shortage.broken[len(kept_replicas) :]
        )
        cost = dissolved_count * self.objective.downtime_weight
        for health in kept_replicas:
            needed_count = len(health.lost) + len(health.leaving)
            if needed_count <= spare_count:
                spare_count -= needed_count
                continue
            cost += self.objective.downtime_weight
            cost += len(health.healthy) * self.objective.stranding_weight
        return cost + spare_count * self.objective.stranding_weight
