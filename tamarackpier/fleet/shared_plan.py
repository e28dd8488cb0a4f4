"""Ranks the weight loads of all zones from what all planners know.

The view is built from rows and from the engines that are known to be silent,
without what only the planner of a zone knows: formations whose orders it has
just sent, members that it has released. So all planners get the same ranking,
but for the time that a row takes to arrive.
"""

import collections
import dataclasses
from collections.abc import Mapping, Sequence

from tamarackpier.fleet import (
    engine_choice,
    fleet_view,
    model,
    packing,
    rebalancing,
    staging,
    worth,
)

__all__ = ["Plan", "View", "create_plan", "create_view"]

_Place = tuple[str, str]
# Time for which the load of a spare must be planned before it starts, in
# seconds: longer than the loss of a member and its repair by a spare take to
# be known, which changes what spares are needed.
_SPARE_SETTLE_S = 1.5


@dataclasses.dataclass
class View:
    """Engines of a service in all zones, as every planner sees them.

    Attributes:
        domains: Fabric domains, in order of zone and name.
        free: Engines in no replica that can serve, by zone and domain.
        counts: Number of replicas that serve or form, by model.
        candidates: Replicas that may be retired.
        closing_count: Number of replicas that are closing.
    """

    domains: list[packing.Domain]
    free: dict[_Place, list[model.EngineRecord]]
    counts: collections.Counter[str]
    candidates: list[rebalancing.Candidate]
    closing_count: int


@dataclasses.dataclass(frozen=True)
class Plan:
    """The plan for all zones.

    Attributes:
        placements: Replicas to form, in order.
        packed: Domains with the placements.
        urgent: Loads for models without a replica, or for their last one.
        others: The other loads, the most valuable first.
    """

    placements: list[packing.Placement]
    packed: list[packing.Domain]
    urgent: list[staging.RankedLoad]
    others: list[staging.RankedLoad]


def create_view(
    fleet: fleet_view.FleetView, service: str, loads: staging.Staging
) -> View:
    """Returns the view of a service's engines.

    Args:
        fleet: View of the engines.
        service: Name of the service. Its engines in evacuated zones are left
            out.
        loads: The loads that run in this zone, and are assumed in others.
    """
    view = View([], {}, collections.Counter(), [], 0)
    in_replicas: set[str] = set()
    for key, replica in sorted(fleet.replicas().items()):
        lead = replica.members[0][1]
        if lead.service != service or not _can_serve(replica, fleet):
            continue
        if fleet.is_evacuated(lead):
            continue
        if replica.lead_state is model.MemberState.CLOSING:
            view.closing_count += 1
        elif key not in fleet.suspended:
            view.counts[replica.model] += 1
            if replica.is_open:
                view.candidates.append(
                    rebalancing.Candidate(
                        key,
                        replica.model,
                        lead.availability_zone,
                        lead.domain,
                    )
                )
        in_replicas |= {engine.id for _, engine in replica.members}
    domains: dict[_Place, packing.Domain] = {}
    for engine in sorted(fleet.engines.values(), key=lambda engine: engine.id):
        if engine.service != service or not engine.domain:
            continue
        if engine.is_leaving or engine.id in fleet.silent:
            continue
        if fleet.is_evacuated(engine):
            continue
        place = (engine.availability_zone, engine.domain)
        domain = domains.get(place)
        if domain is None:
            domain = packing.Domain(engine.domain, engine.availability_zone)
            domains[place] = domain
        if engine.id in in_replicas:
            domain.in_replicas[engine.model] += 1
            continue
        view.free.setdefault(place, []).append(engine)
        name = loads.model_of(engine)
        if name:
            domain.holders[name] += 1
        else:
            domain.blank += 1
    view.domains = [domains[place] for place in sorted(domains)]
    return view


def create_plan(
    view: View, needs: Sequence[packing.Need], loads: staging.Staging
) -> Plan:
    """Returns the plan for all zones.

    Args:
        view: View of the engines; changed.
        needs: All models.
        loads: The loads that run in this zone, and are assumed in others.
    """
    by_name = {need.spec.name: need for need in needs}
    guards = _guards(view, by_name, loads)
    placements, packed = packing.place(view.domains, needs, "worth")
    first: list[staging.RankedLoad] = []
    others: list[staging.RankedLoad] = []
    counts = {need.spec.name: need.replicas for need in needs}
    for placement in placements:
        name = placement.model
        free = view.free.get((placement.zone, placement.domain), [])
        chosen = engine_choice.choose(placement, free, loads)
        need = by_name[name]
        reason = (
            f"replica {counts[name] + 1} of {need.needed:.1f} that {name}"
            f" needs lacks {placement.loads} loads"
        )
        ranked = others if counts[name] else first
        for engine in chosen:
            free.remove(engine)
            if loads.model_of(engine) != name:
                ranked.append(staging.RankedLoad(engine, name, reason))
        counts[name] += 1
    planned_needs = [
        dataclasses.replace(need, replicas=counts[need.spec.name])
        for need in needs
    ]
    spares = [
        staging.RankedLoad(engine, name, "spare", _SPARE_SETTLE_S)
        for domain in packed
        for engine, name in engine_choice.spare_loads(
            domain,
            view.free.get((domain.zone, domain.name), []),
            planned_needs,
            loads,
            worth.spare_weights,
        )
    ]
    return Plan(placements, packed, [*first, *guards], [*others, *spares])


def _guards(
    view: View,
    needs: Mapping[str, packing.Need],
    loads: staging.Staging,
) -> list[staging.RankedLoad]:
    """Returns the loads of spares for last replicas; takes their engines."""
    guards = []
    for domain, name in worth.guards(view.domains, needs):
        free = view.free[domain.zone, domain.name]
        blank = [engine for engine in free if not loads.model_of(engine)]
        if not blank:
            continue
        guard = max(blank, key=lambda engine: engine.id)
        free.remove(guard)
        domain.blank -= 1
        guards.append(
            staging.RankedLoad(guard, name, f"guards the only {name} replica")
        )
    return guards


def _can_serve(replica: model.Replica, fleet: fleet_view.FleetView) -> bool:
    """Returns whether a replica serves, or will once it has formed."""
    return (
        replica.is_complete
        and not replica.leaving
        and not any(engine.id in fleet.silent for _, engine in replica.members)
        and all(
            engine.membership is not None
            and engine.membership.state is not model.MemberState.BROKEN
            for _, engine in replica.members
        )
    )
