"""When to begin loading for an event, and what each domain should hold.

Loads are scheduled backwards from each event's start through the weight
store's rate: the events are taken from the last start to the first, and the
loads of each must end by the later of its start less the slack and the
moment at which the loads of the next one begin. (This is earliest-deadline
scheduling run backwards.) Everything here is pure.
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

# Model, version and span.
ReplicaKind = tuple[str, str, int]


@dataclasses.dataclass(frozen=True)
class LoadBudget:
    """How fast weights can be loaded.

    Attributes:
        load_s: Time of one engine's load.
        parallel_loads: Loads that the weight store carries at once.
        lead_s: Slack before a start, for failures while loading.
    """

    load_s: float
    parallel_loads: int
    lead_s: float


@dataclasses.dataclass(frozen=True)
class ScheduledDemand:
    """A demand with the moment at which its loads begin.

    Attributes:
        demand: The demand.
        load_from: Wall-clock time in seconds since the Unix epoch.
    """

    demand: sheet_model.Demand
    load_from: float


@dataclasses.dataclass(frozen=True)
class DomainCapacity:
    """What a fabric domain can place in replicas.

    Attributes:
        domain: The domain.
        availability_zone: Its availability zone.
        listed: Instances on the platform's list.
        usable: Those that can be counted on.
        holding: Open replicas by kind.
    """

    domain: str
    availability_zone: str
    listed: int
    usable: int
    holding: Mapping[ReplicaKind, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Shortfall:
    """An event that will not have what it wants at its start.

    Attributes:
        demand: The demand.
        possible: Replicas that can be ready.
        reason: Why there are no more.
    """

    demand: sheet_model.Demand
    possible: int
    reason: str


def schedule_loads(
    demands: Iterable[sheet_model.Demand], budget: LoadBudget
) -> tuple[ScheduledDemand, ...]:
    """Returns when the loads of each demand must begin, by rising start."""
    scheduled = []
    busy_from = float("inf")
    ordered = sorted(
        demands,
        key=lambda each: (each.starts_at, each.event, each.model),
        reverse=True,
    )
    for demand in ordered:
        loads = demand.replicas * demand.span
        rounds = -(-loads // budget.parallel_loads)
        ends = min(demand.starts_at - budget.lead_s, busy_from)
        load_from = ends - rounds * budget.load_s
        scheduled.append(ScheduledDemand(demand, load_from))
        busy_from = load_from
    return tuple(reversed(scheduled))


def wanted_at(
    scheduled: Iterable[ScheduledDemand], wall_s: float
) -> dict[ReplicaKind, int]:
    """Returns how many replicas of each kind are wanted at a moment.

    Events that overlap add up, since each needs its own capacity.
    """
    wanted: dict[ReplicaKind, int] = collections.defaultdict(int)
    for each in scheduled:
        demand = each.demand
        if each.load_from <= wall_s < demand.ends_at:
            kind = (demand.model, demand.version, demand.span)
            wanted[kind] += demand.replicas
    return dict(wanted)


def apportion(
    wanted: Mapping[ReplicaKind, int], capacities: Iterable[DomainCapacity]
) -> dict[str, tuple[model.Target, ...]]:
    """Divides wanted replicas over the fabric domains.

    What a domain holds and has room for stays there, so that a loss in one
    domain moves nothing in another. Each further replica goes to the domain
    whose zone has the fewest of its kind, then to the largest. Every planner
    computes this from the same sheet and spread capacities, and so needs no
    agreement; where views differ for a while, rows still keep instances
    exclusive.
    """
    domains = {each.domain: each for each in capacities}
    division = _Division(domains)
    # Wide replicas go first, since narrow ones fit into what they leave.
    kinds = sorted(wanted, key=lambda each: (-each[2], each))
    for kind in kinds:
        division.keep(kind, wanted[kind])
    for kind in kinds:
        division.spread(kind, wanted[kind])
    return division.targets()


class _Division:
    """Replicas given to each domain so far, and the room that is left."""

    def __init__(self, domains: Mapping[str, DomainCapacity]) -> None:
        self.domains = domains
        self.room = {name: each.usable for name, each in domains.items()}
        self.counts: dict[str, collections.Counter[ReplicaKind]] = {
            name: collections.Counter() for name in domains
        }
        self.placed: collections.Counter[str] = collections.Counter()
        self.in_zone: collections.Counter[tuple[str, ReplicaKind]] = (
            collections.Counter()
        )

    def keep(self, kind: ReplicaKind, wanted: int) -> None:
        """Gives domains what they hold already, evenly over zones."""
        for _ in range(wanted):
            holders = [
                name
                for name, each in self.domains.items()
                if self.counts[name][kind] < each.holding.get(kind, 0)
            ]
            if not self._place(kind, holders):
                return

    def spread(self, kind: ReplicaKind, wanted: int) -> None:
        """Gives domains what is still wanted."""
        placed = sum(counts[kind] for counts in self.counts.values())
        for _ in range(wanted - placed):
            if not self._place(kind, list(self.domains)):
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

    def _place(self, kind: ReplicaKind, candidates: list[str]) -> bool:
        fits = [name for name in candidates if self.room[name] >= kind[2]]
        if not fits:
            return False

        def rank(name: str) -> tuple[int, int, str]:
            each = self.domains[name]
            in_zone = self.in_zone[(each.availability_zone, kind)]
            return (in_zone, self.placed[name] - each.listed, name)

        chosen = min(fits, key=rank)
        self.room[chosen] -= kind[2]
        self.placed[chosen] += kind[2]
        self.counts[chosen][kind] += 1
        zone = self.domains[chosen].availability_zone
        self.in_zone[(zone, kind)] += 1
        return True


def shortfalls(
    scheduled: Iterable[ScheduledDemand],
    capacities: Iterable[DomainCapacity],
    wall_s: float,
) -> tuple[Shortfall, ...]:
    """Returns the coming or running events that will lack replicas."""
    everything = tuple(scheduled)
    domains = tuple(capacities)
    found = []
    for each in everything:
        demand = each.demand
        if demand.ends_at <= wall_s:
            continue
        at = max(demand.starts_at, wall_s)
        wanted = wanted_at(everything, at)
        kind = (demand.model, demand.version, demand.span)
        placed = sum(
            target.count
            for targets in apportion(wanted, domains).values()
            for target in targets
            if (target.model, target.version, target.span) == kind
        )
        lacking = wanted.get(kind, 0) - placed
        if lacking > 0:
            possible = max(demand.replicas - lacking, 0)
            found.append(
                Shortfall(demand, possible, "too few usable instances")
            )
    return tuple(found)
