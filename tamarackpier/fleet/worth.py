"""Packs by what a replica is worth over the next minute.

The worth of a replica is the number of requests that it serves on time within
that minute: per engine if its engines hold the weights, and per second of
loading if some have to load them, since the weight store is then the scarcer.
A replica that lacks one load comes before one that lacks three.
"""

import math
from collections.abc import Mapping, Sequence
from typing import Any

from tamarackpier.fleet import packing

__all__ = [
    "HORIZON_S",
    "gain_per_s",
    "guards",
    "is_known",
    "ready_s",
    "spare_weights",
]

HORIZON_S = 60.0
# Share of its slots up to which a replica serves on time.
_USABLE_SHARE = 0.8
# Share of a replica's capacity that one beyond the need counts for, as it
# stands in for others that are lost.
_HEDGE_SHARE = 0.1


def gain_per_s(need: packing.Need) -> float:
    """Returns the requests a second that one more replica serves on time.

    It counts the present replicas that are expected to stand by then.
    """
    usable = _USABLE_SHARE * need.slots
    served = max(_HEDGE_SHARE * usable, min(usable, _unmet(need)))
    return served / need.service_s


def _unmet(need: packing.Need) -> float:
    """Returns the busy slots of the offered load beyond the replicas."""
    usable = _USABLE_SHARE * need.slots
    return need.busy - need.replicas * need.survival * usable


def _is_hedge(need: packing.Need) -> bool:
    """Returns whether one more replica would only stand in for others."""
    return _unmet(need) <= 0


def ready_s(need: packing.Need, loads: int) -> float:
    """Returns the time until a replica that lacks some loads serves."""
    rounds = math.ceil(loads / max(1, need.loads_at_once))
    return rounds * need.spec.load_s + need.spec.warm_s


def is_known(needs: Mapping[str, packing.Need]) -> bool:
    """Returns whether any offered load is known."""
    return any(need.busy for need in needs.values())


def guards(
    domains: Sequence[packing.Domain], needs: Mapping[str, packing.Need]
) -> list[tuple[packing.Domain, str]]:
    """Returns the blank engines that should hold a last replica's weights.

    A model with one replica has none from the loss of a member until another
    engine has loaded its weights. With a spare in the domain this takes only
    the time to join.

    Returns:
        The domain of each, and the model; at most one for each model.
    """
    if not is_known(needs):
        return []
    chosen = []
    for need in needs.values():
        name = need.spec.name
        if need.replicas != 1:
            continue
        lost = math.ceil(need.spec.span * need.lost_share)
        hosts = [domain for domain in domains if domain.in_replicas[name]]
        if not hosts:
            continue
        host = min(hosts, key=lambda domain: (domain.zone, domain.name))
        missing = lost - host.holders[name]
        chosen += [(host, name)] * max(0, min(missing, host.blank))
    return chosen


def spare_weights(
    domain: packing.Domain, needs: Sequence[packing.Need], count: int
) -> list[str]:
    """Returns the models whose weights a domain's blank engines should load.

    A spare replaces a member of a replica in its domain. It is worth what that
    replica serves, for each second of loading, times the number of members
    that may be lost for each spare.

    Args:
        domain: The domain, with its placements.
        needs: All models.
        count: Number of blank engines.
    """
    spares = dict(domain.holders)
    candidates = [need for need in needs if domain.in_replicas[need.spec.name]]
    weights: list[str] = []
    while candidates and len(weights) < count:
        name = max(
            candidates,
            key=lambda need: (
                gain_per_s(need)
                / max(0.1, need.spec.load_s)
                * domain.in_replicas[need.spec.name]
                / (1 + spares.get(need.spec.name, 0)),
                need.spec.name,
            ),
        ).spec.name
        spares[name] = spares.get(name, 0) + 1
        weights.append(name)
    return weights


def _worth(need: packing.Need, placement: packing.Placement) -> float:
    """Returns the worth of a placement, per engine or per second of loading."""
    left_s = max(1.0, HORIZON_S - ready_s(need, placement.loads))
    served = gain_per_s(need) * left_s * need.survival
    if placement.loads:
        return served / (placement.loads * max(0.1, need.spec.load_s))
    return served / need.spec.span


def _sort_key(
    need: packing.Need,
    domain: packing.Domain,
    placement: packing.Placement,
    needs: Mapping[str, packing.Need],
) -> tuple[Any, ...]:
    """Returns the sort key of a placement; the lowest is first.

    A model without any replica comes first, then models whose load is not met,
    then what needs no load, then what is worth most. Without the second rule
    the cheap loads of replicas that only stand in for others took the engines
    that a wide model needed. Before the first request the shares of the
    specification decide.
    """
    return (
        need.replicas > 0,
        is_known(needs) and _is_hedge(need),
        placement.loads > 0,
        -_worth(need, placement) if is_known(needs) else 0.0,
        need.balance,
        -need.spec.span,
    )


def _may_place(
    need: packing.Need,
    domain: packing.Domain,
    placement: packing.Placement,
    needs: Mapping[str, packing.Need],
) -> bool:
    """Returns whether a replica may be formed.

    Beyond the need it doesn't take the last spares of a domain.
    """
    return need.coverage < 1 or packing.leaves_spares(
        domain, placement, _reserve(domain)
    )


def _reloadable(
    domain: packing.Domain,
    need: packing.Need,
    needs: Mapping[str, packing.Need],
    holder: str,
) -> int:
    """Returns how many holders of another model may load a model's weights.

    Of a covered model, all but a spare for its last replica; of one that is
    short too, those that are too few for a replica.
    """
    count = domain.holders[holder]
    if holder == need.spec.name or need.coverage >= 1:
        return 0
    other = needs.get(holder)
    if other is None:
        return count
    if other.coverage >= 1:
        is_last = other.replicas <= 1 and domain.in_replicas[holder] > 0
        return max(0, count - is_last)
    if need.coverage > other.coverage:
        return 0
    return count % other.spec.span


def _reserve(domain: packing.Domain) -> int:
    """Returns the number of free engines to keep as spares.

    One in sixteen; a domain of 7 keeps none, one of 8 to 23 keeps one.
    """
    return (
        domain.size + packing.ENGINES_PER_SPARE // 2
    ) // packing.ENGINES_PER_SPARE


packing.POLICIES.register("worth")(
    packing.Policy(_sort_key, _may_place, _reloadable, _reserve)
)
