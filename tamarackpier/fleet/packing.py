"""Decides which replicas the free engines of all fabric domains should form.

All planners of a service pack the same rows in the same way, each for all
availability zones, and act on their own zone. So a model that lacks one replica
gets one, and not one in each zone.

Among equally urgent replicas, the model with the fewest engines for its load
comes first. It gets the domain in which the fewest engines have to load
weights; among equals the one with the least room, so that room for the widest
model is kept (best fit).

Domains keep some engines as spares, since a wide replica that loses a member
leaves all others idle until another engine holds its weights.
"""

import collections
import dataclasses
import heapq
import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

from tamarackpier import registry
from tamarackpier.routing import model as routing_model

__all__ = [
    "ENGINES_PER_SPARE",
    "POLICIES",
    "Domain",
    "Need",
    "Placement",
    "Policy",
    "place",
    "is_rebuilt",
    "leaves_spares",
    "spare_weights",
    "too_wide",
]

# Engines of a domain for each that it keeps as a spare, and the least number of
# spares of a domain.
ENGINES_PER_SPARE = 16
_MIN_SPARES = 2
# Spares of a model with a replica in their domain that keep its weights while
# another model is short of replicas.
_KEPT_SPARES = 2
# Coverage below which a model gets idle engines that hold other weights. A load
# takes longer than the load takes to rise, so it starts before the model is
# short.
_RELOAD_COVERAGE = 1.5
# Ratio of its coverage to that of the other model below which a model gets
# engines that hold the other one's weights, unless most of a replica are there.
_RELOAD_RATIO = 0.75


@dataclasses.dataclass(frozen=True)
class Need:
    """What a model has and needs, over all availability zones.

    Attributes:
        spec: The model.
        engine_share: Share of the engines that its load calls for.
        needed: Number of replicas that its load needs.
        replicas: Number of replicas that it has or that are being formed.
        busy: Slots that its offered load keeps busy; 0 if that isn't known.
        slots: Slots of a replica.
        service_s: Time that a full replica takes for a request, in seconds.
        loads_at_once: Number of concurrent weight loads of all models.
        lost_share: Share of the engines that are lost while a load runs.
    """

    spec: routing_model.ModelSpec
    engine_share: float
    needed: float
    replicas: int
    busy: float = 0.0
    slots: int = 1
    service_s: float = 1.0
    loads_at_once: int = 1
    lost_share: float = 0.0

    @property
    def coverage(self) -> float:
        """Ratio of the replicas to those that the load needs."""
        return self.replicas / self.needed

    @property
    def survival(self) -> float:
        """Share of the replicas that lose no engine while a load runs."""
        return (1 - self.lost_share) ** self.spec.span

    @property
    def balance(self) -> float:
        """Ratio of the engines to the share that the load calls for."""
        return self.replicas * self.spec.span / self.engine_share


@dataclasses.dataclass
class Domain:
    """Engines of a fabric domain.

    Attributes:
        name: Name of the domain.
        zone: Availability zone.
        in_replicas: Number of engines in replicas, by model.
        holders: Number of free engines that hold or load weights, by model.
        blank: Number of free engines without weights.
        expected: Number of engines that have yet to appear.
    """

    name: str
    zone: str
    in_replicas: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    holders: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    blank: int = 0
    expected: int = 0

    @property
    def free(self) -> int:
        """Number of engines in no replica, expected ones included."""
        return self.holders.total() + self.blank + self.expected

    @property
    def size(self) -> int:
        """Number of all engines, expected ones included."""
        return self.free + self.in_replicas.total()

    @property
    def is_blank(self) -> bool:
        """Whether no engine is in a replica, or holds or loads weights."""
        return self.size == self.blank + self.expected

    @property
    def reserve(self) -> int:
        """Number of free engines to keep as spares."""
        return max(_MIN_SPARES, math.ceil(self.size / ENGINES_PER_SPARE))


@dataclasses.dataclass(frozen=True)
class Placement:
    """A replica that the free engines of a domain should form.

    Attributes:
        zone: Availability zone of the domain.
        domain: Name of the domain.
        model: Name of the model.
        held: Number of free engines that hold or load its weights already.
        loads: Number of engines that have to load them.
        reloads: Pairs of another model and the number of its weights' holders
            among the latter.
    """

    zone: str
    domain: str
    model: str
    held: int
    loads: int
    reloads: tuple[tuple[str, int], ...]

    @property
    def reload_count(self) -> int:
        """Number of engines that exchange weights of other models."""
        return sum(count for _, count in self.reloads)


@dataclasses.dataclass(frozen=True)
class Policy:
    """Rules that decide which replicas are formed, and in which order.

    Attributes:
        sort_key: Returns the sort key of a placement without its domain's
            name; the lowest is first. Takes the model, the domain, the
            placement and all models.
        may_place: Returns whether a placement is allowed; takes the same.
        reloadable: Returns how many holders of another model in a domain may
            load a model's weights. Takes the domain, the model, all models and
            the name of the other one.
        reserve: Returns the number of free engines that a domain keeps.
    """

    sort_key: Callable[
        ["Need", Domain, "Placement", Mapping[str, "Need"]], tuple[Any, ...]
    ]
    may_place: Callable[
        ["Need", Domain, "Placement", Mapping[str, "Need"]], bool
    ]
    reloadable: Callable[[Domain, "Need", Mapping[str, "Need"], str], int]
    reserve: Callable[[Domain], int]


POLICIES: registry.Registry[Policy] = registry.Registry("packing policy")


def too_wide(
    domains: Iterable[Domain], models: Iterable[routing_model.ModelSpec]
) -> tuple[str, ...]:
    """Returns the names of the models whose replicas fit into no domain."""
    widest = max((domain.size for domain in domains), default=0)
    return tuple(spec.name for spec in models if spec.span > widest)


def place(
    domains: Iterable[Domain], needs: Sequence[Need], policy: str = "shares"
) -> tuple[list[Placement], list[Domain]]:
    """Returns the replicas to form, in order, and the domains with them.

    Args:
        domains: All domains of the service.
        needs: All models of the service.
        policy: Name of the registered policy.

    Returns:
        The placements, and copies of the domains in which the engines of the
        placements count as engines in replicas.
    """
    rules = POLICIES.get(policy)
    packed = [_copy(domain) for domain in domains]
    groups = _DomainGroups(packed)
    remaining = {need.spec.name: need for need in needs}
    placements: list[Placement] = []
    while True:
        choice = _next_placement(groups.firsts(), remaining, rules)
        if choice is None:
            return placements, packed
        domain, placement = choice
        placements.append(placement)
        groups.remove_first(domain)
        _occupy(domain, placement)
        groups.add(domain)
        need = remaining[placement.model]
        remaining[placement.model] = dataclasses.replace(
            need, replicas=need.replicas + 1
        )


def spare_weights(
    domain: Domain, needs: Sequence[Need], count: int
) -> list[str]:
    """Returns the models whose weights a domain's blank engines should load.

    A spare replaces a member of a replica, so there are as many spares of a
    model, in proportion, as members that may fail.

    Args:
        domain: The domain.
        needs: All models.
        count: Number of blank engines.
    """
    spares = collections.Counter(domain.holders)
    weights: list[str] = []
    candidates = [need for need in needs if domain.in_replicas[need.spec.name]]
    while candidates and len(weights) < count:
        name = min(
            candidates,
            key=lambda need: (
                (1 + spares[need.spec.name])
                / domain.in_replicas[need.spec.name],
                spares[need.spec.name],
                need.coverage,
            ),
        ).spec.name
        spares[name] += 1
        weights.append(name)
    return weights


class _DomainGroups:
    """Groups of domains whose engines are in the same states.

    A placement goes to the first domain of a group if to any, so that the
    others need not be looked at. Domains of a large deployment are mostly
    alike.
    """

    def __init__(self, domains: Iterable[Domain]) -> None:
        self._groups: dict[object, list[tuple[str, str, int, Domain]]] = {}
        self._added_count = 0
        for domain in domains:
            self.add(domain)

    def add(self, domain: Domain) -> None:
        """Adds a domain to the group of its engines' states."""
        self._added_count += 1
        heapq.heappush(
            self._groups.setdefault(_states(domain), []),
            (domain.zone, domain.name, self._added_count, domain),
        )

    def remove_first(self, domain: Domain) -> None:
        """Removes the first domain of a group."""
        group = self._groups[_states(domain)]
        heapq.heappop(group)
        if not group:
            del self._groups[_states(domain)]

    def firsts(self) -> list[Domain]:
        """Returns the first domain of each group."""
        return [group[0][-1] for group in self._groups.values()]


def _states(domain: Domain) -> tuple[object, ...]:
    """Returns what decides on placements in a domain, its name aside."""
    return (
        frozenset((+domain.in_replicas).items()),
        frozenset((+domain.holders).items()),
        domain.blank,
        domain.expected,
    )


def _next_placement(
    domains: Sequence[Domain], needs: Mapping[str, Need], policy: Policy
) -> tuple[Domain, Placement] | None:
    """Returns the next replica to form; None if none can or should be."""
    candidates = [
        (need, domain, placement)
        for need in needs.values()
        for domain in domains
        if (placement := _placement(domain, need, needs, policy)) is not None
    ]
    if not candidates:
        return None
    _, domain, placement = min(
        candidates,
        key=lambda candidate: (
            policy.sort_key(candidate[0], candidate[1], candidate[2], needs),
            _preference(candidate[1], candidate[2], policy),
        ),
    )
    return domain, placement


def _sort_by_shares(
    need: Need,
    domain: Domain,
    placement: Placement,
    needs: Mapping[str, Need],
) -> tuple[Any, ...]:
    return _urgency(need, placement), need.balance, -need.spec.span


def _urgency(need: Need, placement: Placement) -> tuple[bool, ...]:
    """Returns the first part of a placement's sort key; the lowest is first.

    A model without any replica comes first, then what needs no load, then
    models that are short, then replicas that are rebuilt.
    """
    return (
        need.replicas > 0,
        placement.loads > 0,
        need.coverage >= 1,
        not is_rebuilt(placement),
    )


def is_rebuilt(placement: Placement) -> bool:
    """Returns whether most engines hold the weights already.

    They are idle until the replica is complete, and of no use as spares.
    """
    return 2 * placement.held > placement.held + placement.loads


def _preference(
    domain: Domain, placement: Placement, policy: Policy
) -> tuple[bool, int, int, str, str]:
    """Returns the sort key of a placement; the lowest is preferred."""
    return (
        not leaves_spares(domain, placement, policy.reserve(domain)),
        placement.loads,
        domain.free,
        domain.zone,
        domain.name,
    )


def leaves_spares(domain: Domain, placement: Placement, reserve: int) -> bool:
    """Returns whether a placement takes no spares that its domain keeps.

    The first replica of a domain may take them, and one that is rebuilt.
    """
    span = placement.held + placement.loads
    return (
        not domain.in_replicas.total()
        or domain.free - span >= reserve
        or is_rebuilt(placement)
    )


def _placement(
    domain: Domain, need: Need, needs: Mapping[str, Need], policy: Policy
) -> Placement | None:
    """Returns the placement of a replica in a domain; None if there is none."""
    spec = need.spec
    if domain.free < spec.span:
        return None
    held = min(spec.span, domain.holders[spec.name])
    loads = spec.span - held
    left = max(0, loads - domain.blank - domain.expected)
    reloads: list[tuple[str, int]] = []
    if left:
        by_count = sorted(domain.holders.items(), key=lambda item: -item[1])
        for name, _ in by_count:
            taken = min(left, policy.reloadable(domain, need, needs, name))
            if taken:
                reloads.append((name, taken))
                left -= taken
    if left:
        return None
    placement = Placement(
        domain.zone, domain.name, spec.name, held, loads, tuple(reloads)
    )
    if policy.may_place(need, domain, placement, needs):
        return placement
    return None


def _may_take_spares(
    need: Need,
    domain: Domain,
    placement: Placement,
    needs: Mapping[str, Need],
) -> bool:
    """Returns whether a replica may be formed.

    Only a model that is short may take the spares of a domain.
    """
    return need.coverage < 1 or leaves_spares(domain, placement, domain.reserve)


def _reloadable(
    domain: Domain, need: Need, needs: Mapping[str, Need], holder: str
) -> int:
    """Returns how many holders of another model may load a model's weights.

    Args:
        domain: The domain.
        need: The model to load.
        needs: All models.
        holder: Name of the model whose weights they hold.
    """
    if holder == need.spec.name:
        return 0
    other = needs.get(holder)
    if other is None:
        return domain.holders[holder]
    has_most = 2 * domain.holders[need.spec.name] > need.spec.span
    limit = other.coverage * (1 if has_most else _RELOAD_RATIO)
    is_worse = need.coverage < limit or (
        has_most and need.coverage == other.coverage
    )
    if need.coverage >= _RELOAD_COVERAGE or not is_worse:
        return 0
    kept = 0
    if domain.in_replicas[holder] and not (has_most and need.coverage < 1):
        kept = _KEPT_SPARES
    return max(0, domain.holders[holder] - kept)


def _occupy(domain: Domain, placement: Placement) -> None:
    """Counts the engines of a placement as engines in a replica."""
    domain.holders[placement.model] -= placement.held
    loads = placement.loads - placement.reload_count
    taken = min(loads, domain.blank)
    domain.blank -= taken
    domain.expected -= loads - taken
    for name, count in placement.reloads:
        domain.holders[name] -= count
    span = placement.held + placement.loads
    domain.in_replicas[placement.model] += span


def _copy(domain: Domain) -> Domain:
    return dataclasses.replace(
        domain,
        in_replicas=collections.Counter(domain.in_replicas),
        holders=collections.Counter(domain.holders),
    )


POLICIES.register("shares")(
    Policy(
        _sort_by_shares,
        _may_take_spares,
        _reloadable,
        lambda domain: domain.reserve,
    )
)
