"""Faults that a world can suffer, in a registry that decorators fill.

A fault begins, lasts for a while and ends. What it hits is chosen by a
number, so that any source of chance can drive it.
"""

import asyncio
import dataclasses
from collections.abc import Callable

from tamarackpier import registry
from tamarackpier.standin import engine, memory
from tamarackpier.standin import world as world_lib

__all__ = ["FAULTS", "Fault", "strike"]

End = Callable[[], None]
Begin = Callable[["world_lib.World", int], End]

FAULTS: registry.Registry[Begin] = registry.Registry("fault")


@dataclasses.dataclass(frozen=True)
class Fault:
    """One fault to come.

    Attributes:
        kind: Its name in the registry.
        choice: Chooses what it hits.
        lasts_s: How long it lasts.
        gap_s: Time until the next fault begins.
    """

    kind: str
    choice: int
    lasts_s: float
    gap_s: float


def strike(world: "world_lib.World", fault: Fault) -> "asyncio.Task[None]":
    """Begins a fault; the task ends it."""
    end = FAULTS.get(fault.kind)(world, fault.choice)

    async def end_later() -> None:
        await asyncio.sleep(fault.lasts_s)
        end()

    return asyncio.ensure_future(end_later())


def _engine(world: "world_lib.World", choice: int) -> engine.FakeEngine:
    names = sorted(world.farm.engines)
    return world.farm.engines[names[choice % len(names)]]


def _entry(world: "world_lib.World", choice: int) -> str:
    names = sorted(world.entries)
    return names[choice % len(names)]


@FAULTS.register("engine-crashes")
def _engine_crashes(world: "world_lib.World", choice: int) -> End:
    found = _engine(world, choice)
    found.crash(world.clock())
    return lambda: found.restart(world.clock())


@FAULTS.register("engine-pauses")
def _engine_pauses(world: "world_lib.World", choice: int) -> End:
    found = _engine(world, choice)
    if found.health is not engine.Health.UP:
        return lambda: None
    found.pause(world.clock())

    def resume() -> None:
        if found.health is engine.Health.PAUSED:
            found.restart(world.clock())

    return resume


@FAULTS.register("engine-straggles")
def _engine_straggles(world: "world_lib.World", choice: int) -> End:
    found = _engine(world, choice)
    found.slowdown = 8.0

    def recover() -> None:
        found.slowdown = 1.0

    return recover


@FAULTS.register("engine-leaves")
def _engine_leaves(world: "world_lib.World", choice: int) -> End:
    instance_id = _engine(world, choice).spec.instance_id
    world.engine_leaves(instance_id)
    return lambda: world.engine_stays(instance_id)


@FAULTS.register("order-arrives-late")
def _order_arrives_late(world: "world_lib.World", choice: int) -> End:
    """Delivers an engine's last order but one again, as a paused holder may."""
    found = _engine(world, choice)
    if len(found.orders) > 1 and found.health is engine.Health.UP:
        found.order(found.orders[-2], world.clock())
    return lambda: None


@FAULTS.register("domain-dark")
def _domain_dark(world: "world_lib.World", choice: int) -> End:
    domains = world.spec.domains
    name = domains[choice % len(domains)].name
    hit = [
        each for each in world.farm.engines.values() if each.spec.domain == name
    ]
    for each in hit:
        each.crash(world.clock())

    def light() -> None:
        for each in hit:
            each.restart(world.clock())

    return light


@FAULTS.register("entry-dies")
def _entry_dies(world: "world_lib.World", choice: int) -> End:
    name = _entry(world, choice)
    if len(world.live_entries()) < 2 or world.entries[name].is_killed:
        return lambda: None
    world.kill_entry(name)

    def replace() -> None:
        if world.entries[name].is_killed:
            world.start_entry(name)

    return replace


@FAULTS.register("entry-pauses")
def _entry_pauses(world: "world_lib.World", choice: int) -> End:
    name = _entry(world, choice)
    if len(world.live_entries()) < 2:
        return lambda: None
    world.pause_entry(name)
    return lambda: world.resume_entry(name)


def _planner_of(world: "world_lib.World", choice: int) -> str:
    """Returns the entry instance that plans a domain; empty if none does."""
    domains = world.spec.domains
    domain = domains[choice % len(domains)].name
    for each in world.live_entries():
        planner = each.node.domains.planners.get(domain)
        if planner is not None and planner.is_holder:
            return each.name
    return ""


@FAULTS.register("planner-pauses")
def _planner_pauses(world: "world_lib.World", choice: int) -> End:
    name = _planner_of(world, choice)
    if not name or len(world.live_entries()) < 2:
        return lambda: None
    world.pause_entry(name)
    return lambda: world.resume_entry(name)


@FAULTS.register("planner-cut-from-platform")
def _planner_cut_from_platform(world: "world_lib.World", choice: int) -> End:
    name = _planner_of(world, choice)
    return _cut(world, name, "platform") if name else lambda: None


@FAULTS.register("operators-race")
def _operators_race(world: "world_lib.World", choice: int) -> End:
    names = sorted(each.name for each in world.live_entries())
    for index, name in enumerate(names[:2]):
        task = asyncio.ensure_future(
            world.submit(2, 4, f"v{choice % 3 + 1}-{index}", via=name)
        )
        _RACES.add(task)
        task.add_done_callback(_RACES.discard)
    return lambda: None


_RACES: set["asyncio.Task[bool]"] = set()


def _cut(world: "world_lib.World", one: str, other: str) -> End:
    world.cut(one, other)
    return lambda: world.cuts.discard(frozenset((one, other)))


@FAULTS.register("entries-cut")
def _entries_cut(world: "world_lib.World", choice: int) -> End:
    return _cut(world, _entry(world, choice), _entry(world, choice // 7 + 1))


@FAULTS.register("entry-cut-from-platform")
def _entry_cut_from_platform(world: "world_lib.World", choice: int) -> End:
    return _cut(world, _entry(world, choice), "platform")


@FAULTS.register("entry-cut-from-engines")
def _entry_cut_from_engines(world: "world_lib.World", choice: int) -> End:
    return _cut(world, _entry(world, choice), "engines")


def _table(world: "world_lib.World", kind: memory.TableFault) -> End:
    world.faults.kind = kind

    def end() -> None:
        if world.faults.kind is kind:
            world.faults.kind = memory.TableFault.NONE

    return end


@FAULTS.register("table-down")
def _table_down(world: "world_lib.World", choice: int) -> End:
    return _table(world, memory.TableFault.DOWN)


@FAULTS.register("table-loses-answers")
def _table_loses_answers(world: "world_lib.World", choice: int) -> End:
    return _table(world, memory.TableFault.ANSWER_LOST)


@FAULTS.register("table-throttles")
def _table_throttles(world: "world_lib.World", choice: int) -> End:
    return _table(world, memory.TableFault.THROTTLED)


@FAULTS.register("table-slow")
def _table_slow(world: "world_lib.World", choice: int) -> End:
    world.faults.delay_s = (0.5, 1.9, 3.0)[choice % 3]

    def end() -> None:
        world.faults.delay_s = 0.0

    return end


@FAULTS.register("list-lags")
def _list_lags(world: "world_lib.World", choice: int) -> End:
    world.freeze_list()

    def end() -> None:
        world.frozen_list = None

    return end


@FAULTS.register("streams-silent")
def _streams_silent(world: "world_lib.World", choice: int) -> End:
    world.silence_streams()
    return lambda: None


@FAULTS.register("service-down")
def _service_down(world: "world_lib.World", choice: int) -> End:
    return _service(world, "down")


@FAULTS.register("service-loses-answers")
def _service_loses_answers(world: "world_lib.World", choice: int) -> End:
    return _service(world, "loses-answers")


def _service(world: "world_lib.World", mode: str) -> End:
    world.service_mode = mode

    def end() -> None:
        world.service_mode = "good"

    return end


@FAULTS.register("deadly-request")
def _deadly_request(world: "world_lib.World", choice: int) -> End:
    sending = world.draft(f"{engine.CRASH_MARKER} {choice}", 10)
    world.deadly.append(sending)
    return lambda: None
