"""Schedules weight loads for events and divides replicas over domains.

Loads are scheduled backwards from the start of each event, at the rate of the
weight store. Events are processed from the last start to the first. The loads
of an event must end by the earlier of two times: its start less the slack, and
the time at which the loads of the following event begin. (This is
earliest-deadline-first scheduling run backwards.) All functions are pure.
"""

import collections
import dataclasses
from collections.abc import Iterable, Mapping

from tamarackpier.replica import model
from tamarackpier.sheet import model as sheet_model

__all__ = [
    "DomainCapacity",
    "ReplicaKind",
    "LoadBudget",
    "ScheduledDemand",
    "Shortfall",
    "apportion",
    "schedule_loads",
    "shortfalls",
    "wanted_at",
]

# Model, version and span (number of instances in each replica).
ReplicaKind = tuple[str, str, int]


@dataclasses.dataclass(frozen=True)
class LoadBudget:
    """Rate at which weights can be loaded, and slack before an event.

    Attributes:
        load_s: Time that one engine takes to load the weights, in seconds.
        parallel_loads: Number of loads that the weight store sustains at once.
        lead_s: Slack before the start of an event for failures while loading,
            in seconds.
    """

    load_s: float
    parallel_loads: int
    lead_s: float


@dataclasses.dataclass(frozen=True)
class ScheduledDemand:
    """A demand with the time at which its loads begin.

    Attributes:
        demand: Scheduled demand.
        load_from: Time at which the loads begin, in seconds since the Unix
            epoch.
    """

    demand: sheet_model.Demand
    load_from: float


@dataclasses.dataclass(frozen=True)
class DomainCapacity:
    """Capacity of a fabric domain for replicas.

    Attributes:
        domain: Name of the fabric domain.
        availability_zone: Availability zone of the domain.
        listed: Number of instances that the platform lists.
        usable: Number of listed instances that replicas can be placed on.
        holding: Number of open replicas, by kind.
    """

    domain: str
    availability_zone: str
    listed: int
    usable: int
    holding: Mapping[ReplicaKind, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Shortfall:
    """A demand that the usable instances cannot satisfy.

    Attributes:
        demand: Unsatisfied demand.
        possible: Number of replicas that can be provided.
        reason: Why no more can be provided.
    """

    demand: sheet_model.Demand
    possible: int
    reason: str


def schedule_loads(
    demands: Iterable[sheet_model.Demand], budget: LoadBudget
) -> tuple[ScheduledDemand, ...]:
    """Returns when the loads of each demand must begin.

    Args:
        demands: Demands in any order.
        budget: Rate at which weights can be loaded, and slack before an event.

    Returns:
        The scheduled demands, in ascending order of their start.
    """
    scheduled = []
    next_load_from = float("inf")
    latest_first = sorted(
        demands,
        key=lambda demand: (demand.starts_at, demand.event, demand.model),
        reverse=True,
    )
    for demand in latest_first:
        loads = demand.replicas * demand.span
        rounds = -(-loads // budget.parallel_loads)
        loaded_by = min(demand.starts_at - budget.lead_s, next_load_from)
        load_from = loaded_by - rounds * budget.load_s
        scheduled.append(ScheduledDemand(demand, load_from))
        next_load_from = load_from
    return tuple(reversed(scheduled))


def wanted_at(
    scheduled: Iterable[ScheduledDemand], wall_s: float
) -> dict[ReplicaKind, int]:
    """Returns the number of replicas of each kind that are wanted at a time.

    The demands of overlapping events add up, since each event needs its own
    capacity.

    Args:
        scheduled: Demands with the start of their loads.
        wall_s: Time in seconds since the Unix epoch.
    """
    wanted: dict[ReplicaKind, int] = collections.defaultdict(int)
    for scheduled_demand in scheduled:
        demand = scheduled_demand.demand
        if scheduled_demand.load_from <= wall_s < demand.ends_at:
            kind = (demand.model, demand.version, demand.span)
            wanted[kind] += demand.replicas
    return dict(wanted)


def apportion(
    wanted: Mapping[ReplicaKind, int], capacities: Iterable[DomainCapacity]
) -> dict[str, tuple[model.Target, ...]]:
    """Divides the wanted replicas over the fabric domains.

    Existing replicas stay in their domain as far as it has room for them, so
    that a loss in one domain moves no replicas in another. Each further
    replica goes to the domain whose availability zone has the fewest replicas
    of its kind and, among equals, to the one with the most listed instances
    left.

    Every planner computes this from the same sheet and the capacities that
    instances exchange, so planners need no agreement. While their inputs
    differ, the table rows still prevent two replicas from sharing an instance.

    Args:
        wanted: Number of wanted replicas, by kind.
        capacities: Capacity of every fabric domain.

    Returns:
        Targets of each domain, by domain.
    """
    domains = {capacity.domain: capacity for capacity in capacities}
    division = _Division(domains)
    # Kinds with the most instances are assigned first, since smaller replicas
    # fit more easily into the remaining room.
    kinds = sorted(wanted, key=lambda kind: (-kind[2], kind))
    for kind in kinds:
        division.assign_existing(kind, wanted[kind])
    for kind in kinds:
        division.assign_remaining(kind, wanted[kind])
    return division.targets()


class _Division:
    """Replicas assigned to each domain so far, and the remaining room.

    Attributes:
        domains: Capacity of each domain, by domain.
        room: Number of usable instances that remain, by domain.
        counts: Number of assigned replicas of each kind, by domain.
        instance_counts: Number of instances of assigned replicas, by domain.
        zone_counts: Number of assigned replicas, by availability zone and kind.
    """

    def __init__(self, domains: Mapping[str, DomainCapacity]) -> None:
        self.domains = domains
        self.room = {
            name: capacity.usable for name, capacity in domains.items()
        }
        self.counts: dict[str, collections.Counter[ReplicaKind]] = {
            name: collections.Counter() for name in domains
        }
        self.instance_counts: collections.Counter[str] = collections.Counter()
        self.zone_counts: collections.Counter[tuple[str, ReplicaKind]] = (
            collections.Counter()
        )

    def assign_existing(self, kind: ReplicaKind, wanted: int) -> None:
        """Assigns existing replicas to their domains, evenly over zones."""
        for _ in range(wanted):
            candidates = [
                name
                for name, capacity in self.domains.items()
                if self.counts[name][kind] < capacity.holding.get(kind, 0)
            ]
            if not self._assign_one(kind, candidates):
                return

    def assign_remaining(self, kind: ReplicaKind, wanted: int) -> None:
        """Assigns the replicas that are still wanted."""
        assigned = sum(counts[kind] for counts in self.counts.values())
        for _ in range(wanted - assigned):
            if not self._assign_one(kind, list(self.domains)):
                return

    def targets(self) -> dict[str, tuple[model.Target, ...]]:
        """Returns the targets of each domain."""
        return {
            name: tuple(
                model.Target(*kind, count)
                for kind, count in sorted(counts.items())
            )
            for name, counts in self.counts.items()
        }

    def _assign_one(self, kind: ReplicaKind, candidates: list[str]) -> bool:
        """Assigns one replica to the best of some domains.

        Args:
            kind: Kind of the replica; its last element is the span.
            candidates: Names of the domains to choose from.

        Returns:
            Whether a candidate had room for the replica.
        """
        with_room = [name for name in candidates if self.room[name] >= kind[2]]
        if not with_room:
            return False

        def rank(name: str) -> tuple[int, int, str]:
            capacity = self.domains[name]
            zone_count = self.zone_counts[(capacity.availability_zone, kind)]
            return (
                zone_count,
                self.instance_counts[name] - capacity.listed,
                name,
            )

        domain = min(with_room, key=rank)
        self.room[domain] -= kind[2]
        self.instance_counts[domain] += kind[2]
        self.counts[domain][kind] += 1
        zone = self.domains[domain].availability_zone
        self.zone_counts[(zone, kind)] += 1
        return True


def shortfalls(
    scheduled: Iterable[ScheduledDemand],
    capacities: Iterable[DomainCapacity],
    wall_s: float,
) -> tuple[Shortfall, ...]:
    """Returns the demands of future or running events that will lack replicas.

    Args:
        scheduled: Demands with the start of their loads.
        capacities: Capacity of every fabric domain.
        wall_s: Current time in seconds since the Unix epoch.
    """
    all_scheduled = tuple(scheduled)
    domains = tuple(capacities)
    unsatisfied = []
    for scheduled_demand in all_scheduled:
        demand = scheduled_demand.demand
        if demand.ends_at <= wall_s:
            continue
        checked_at = max(demand.starts_at, wall_s)
        wanted = wanted_at(all_scheduled, checked_at)
        kind = (demand.model, demand.version, demand.span)
        provided = sum(
            target.count
            for targets in apportion(wanted, domains).values()
            for target in targets
            if (target.model, target.version, target.span) == kind
        )
        lacking = wanted.get(kind, 0) - provided
        if lacking > 0:
            possible = max(demand.replicas - lacking, 0)
            unsatisfied.append(
                Shortfall(demand, possible, "too few usable instances")
            )
    return tuple(unsatisfied)
