"""Chooses the engines that carry out the packing of a domain."""

import collections
from collections.abc import Callable, Sequence

from tamarackpier.fleet import model, packing, staging

__all__ = ["choose", "spare_loads"]


def choose(
    placement: packing.Placement,
    free: Sequence[model.EngineRecord],
    loads: staging.Staging,
) -> list[model.EngineRecord]:
    """Returns the engines of a placement, as far as they are free.

    Args:
        placement: The placement.
        free: Free engines of its domain.
        loads: The loads under way.
    """
    by_weights = collections.defaultdict(list)
    for engine in sorted(free, key=lambda engine: engine.id):
        by_weights[loads.model_of(engine)].append(engine)
    holders = sorted(
        by_weights[placement.model],
        key=lambda engine: (
            loads.is_loading(engine.id),
            _join_effort(engine, placement.model),
            engine.id,
        ),
    )
    blank_count = placement.loads - placement.reload_count
    chosen = holders[: placement.held] + by_weights[""][:blank_count]
    for name, count in placement.reloads:
        others = [
            engine
            for engine in by_weights[name]
            if not loads.is_loading(engine.id)
        ]
        chosen += others[:count]
    return chosen


def spare_loads(
    domain: packing.Domain,
    free: Sequence[model.EngineRecord],
    needs: Sequence[packing.Need],
    loads: staging.Staging,
    choose_weights: Callable[
        [packing.Domain, Sequence[packing.Need], int], list[str]
    ] = packing.spare_weights,
) -> list[staging.PlannedLoad]:
    """Returns the loads of a domain's engines that remain as spares.

    Args:
        domain: The domain, with its placements.
        free: Its free engines that are in no placement.
        needs: All models.
        loads: The loads under way.
        choose_weights: Chooses the models whose weights they load.
    """
    blank = sorted(
        (engine for engine in free if not loads.model_of(engine)),
        key=lambda engine: engine.id,
    )
    weights = choose_weights(domain, needs, len(blank))
    return list(zip(blank, weights, strict=False))


def _join_effort(engine: model.EngineRecord, name: str) -> int:
    """Returns the effort for a holder to join a replica; 0 is the least.

    The effort is 0 if the model is in use, 1 if its weights are on the host,
    and 2 if they are being loaded.
    """
    if name not in engine.staged:
        return 2
    return 0 if engine.model == name else 1
