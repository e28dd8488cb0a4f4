"""Decides whether a surplus replica is retired for a model that is short.

That pays only where engines are scarce: if a blank engine could load the
weights instead, a retirement gains nothing. All planners decide alike from the
same rows; the planner of the replica's zone carries the decision out.
"""

import collections
import dataclasses
from collections.abc import Mapping, Sequence

from tamarackpier.fleet import model, packing, worth

__all__ = ["Candidate", "Decision", "MAX_ACTIVE", "decide", "short_models"]

# Retirements under way in all zones. Each takes a replica away for tens of
# seconds, and what it gains is known only afterwards.
MAX_ACTIVE = 2
# Coverage below which a model is short enough for a retirement, and coverage
# that a model must keep after one. The distance between the two keeps replicas
# from going back and forth.
_SHORT_COVERAGE = 0.8
_KEPT_COVERAGE = 1.25
# Longest wait for the running requests of a replica that retires, in seconds.
_DRAIN_S = 6.0
# Ratio of the gain to the loss over the horizon from which a retirement pays.
_MIN_RATIO = 1.5


@dataclasses.dataclass(frozen=True)
class Candidate:
    """An open replica whose members' state is known.

    Attributes:
        key: Key of the replica.
        model: Name of its model.
        zone: Availability zone.
        domain: Fabric domain.
    """

    key: model.ReplicaKey
    model: str
    zone: str
    domain: str


@dataclasses.dataclass(frozen=True)
class Decision:
    """A replica to retire.

    Attributes:
        candidate: The replica.
        short_model: Name of the model that gets its engines.
        reason: Reason for the log.
    """

    candidate: Candidate
    short_model: str
    reason: str


def short_models(
    needs: Sequence[packing.Need], placements: Sequence[packing.Placement]
) -> list[packing.Need]:
    """Returns the models that are short and for which no engines are free.

    A model with a placement gets engines without any retirement.
    """
    placed = {placement.model for placement in placements}
    return [
        need
        for need in needs
        if need.spec.name not in placed
        and (not need.replicas or need.coverage < _SHORT_COVERAGE)
    ]


def decide(
    short: Sequence[packing.Need],
    needs: Mapping[str, packing.Need],
    domains: Sequence[packing.Domain],
    candidates: Sequence[Candidate],
    active_count: int,
) -> Decision | None:
    """Returns the next replica to retire; None if none should be.

    Args:
        short: Models that have been short for a while, from `short_models`.
        needs: All models, by name.
        domains: All domains, with the placements.
        candidates: Replicas that may be retired.
        active_count: Number of retirements under way in all zones.
    """
    if active_count >= MAX_ACTIVE:
        return None
    by_domain: dict[tuple[str, str], list[Candidate]] = collections.defaultdict(
        list
    )
    for candidate in sorted(candidates, key=lambda candidate: candidate.key):
        by_domain[candidate.zone, candidate.domain].append(candidate)
    ranked = sorted(
        short,
        key=lambda need: (
            need.replicas > 0,
            -worth.gain_per_s(need) / need.spec.span,
            need.spec.name,
        ),
    )
    for need in ranked:
        options = []
        for domain in domains:
            chosen = _choose(
                need, needs, domain, by_domain[domain.zone, domain.name]
            )
            if chosen and _pays(need, needs, domain, chosen):
                options.append(
                    (len(chosen), -domain.free, domain.zone, domain.name)
                )
        if not options:
            continue
        count, _, zone, name = min(options)
        host = next(
            domain
            for domain in domains
            if (domain.zone, domain.name) == (zone, name)
        )
        chosen = _choose(need, needs, host, by_domain[zone, name])
        first = chosen[0]
        return Decision(
            first,
            need.spec.name,
            f"surplus: {need.spec.name} has {need.replicas} of"
            f" {need.needed:.1f} replicas, {first.model}"
            f" {needs[first.model].replicas} of"
            f" {needs[first.model].needed:.1f}; first of {count}",
        )
    return None


def _choose(
    need: packing.Need,
    needs: Mapping[str, packing.Need],
    domain: packing.Domain,
    candidates: Sequence[Candidate],
) -> list[Candidate]:
    """Returns the surplus replicas that make room for a model in a domain.

    Returns:
        The replicas, the one that frees most first; none if they don't
        suffice.
    """
    left = {name: other.replicas for name, other in needs.items()}
    free = domain.free
    chosen: list[Candidate] = []
    by_span = sorted(
        (
            candidate
            for candidate in candidates
            if candidate.model in needs and candidate.model != need.spec.name
        ),
        key=lambda candidate: -needs[candidate.model].spec.span,
    )
    for candidate in by_span:
        if free >= need.spec.span:
            break
        other = needs[candidate.model]
        remaining = left[candidate.model] - 1
        # For a model without any replica, another may become short itself.
        kept = _KEPT_COVERAGE * other.needed if need.replicas else 1
        if remaining < max(1, kept):
            continue
        left[candidate.model] = remaining
        free += other.spec.span
        chosen.append(candidate)
    return chosen if free >= need.spec.span else []


def _pays(
    need: packing.Need,
    needs: Mapping[str, packing.Need],
    domain: packing.Domain,
    chosen: Sequence[Candidate],
) -> bool:
    """Returns whether retirements gain more requests than they cost."""
    if not need.replicas:
        return True
    loads = max(0, need.spec.span - domain.holders[need.spec.name])
    gained_s = worth.HORIZON_S - _DRAIN_S - worth.ready_s(need, loads)
    cost = sum(
        worth.gain_per_s(_without_one(needs[candidate.model]))
        for candidate in chosen
    )
    gain = worth.gain_per_s(need) * gained_s
    return gain > _MIN_RATIO * cost * worth.HORIZON_S


def _without_one(need: packing.Need) -> packing.Need:
    return dataclasses.replace(need, replicas=need.replicas - 1)
