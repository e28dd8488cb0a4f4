"""Registry of the faults that can be injected into a simulated world.

A fault starts, lasts for a given time and ends. A number selects its target,
so that any random source can drive the injection.
"""

import asyncio
import dataclasses
from collections.abc import Callable

from tamarackpier import registry
from tamarackpier.standin import engine, memory
from tamarackpier.standin import world as world_lib

__all__ = ["FAULTS", "Fault", "inject"]

EndFault = Callable[[], None]
# Starts a fault in a world on the target that the number selects.
BeginFault = Callable[["world_lib.World", int], EndFault]

FAULTS: registry.Registry[BeginFault] = registry.Registry("fault")


@dataclasses.dataclass(frozen=True)
class Fault:
    """One fault to inject.

    Attributes:
        kind: Name of the fault in the registry.
        selector: Number that selects the target.
        duration_s: Time from the start to the end of the fault, in seconds.
        gap_s: Time from the start of the fault to the start of the next, in
            seconds.
    """

    kind: str
    selector: int
    duration_s: float
    gap_s: float


def inject(world: "world_lib.World", fault: Fault) -> "asyncio.Task[None]":
    """Starts a fault and returns the task that ends it later."""
    end = FAULTS.get(fault.kind)(world, fault.selector)

    async def end_later() -> None:
        await asyncio.sleep(fault.duration_s)
        end()

    return asyncio.ensure_future(end_later())


def _engine(world: "world_lib.World", selector: int) -> engine.FakeEngine:
    names = sorted(world.farm.engines)
    return world.farm.engines[names[selector % len(names)]]


def _entry_name(world: "world_lib.World", selector: int) -> str:
    names = sorted(world.entries)
    return names[selector % len(names)]


@FAULTS.register("engine-crashes")
def _engine_crashes(world: "world_lib.World", selector: int) -> EndFault:
    target = _engine(world, selector)
    target.crash(world.clock())
    return lambda: target.restart(world.clock())


@FAULTS.register("engine-pauses")
def _engine_pauses(world: "world_lib.World", selector: int) -> EndFault:
    target = _engine(world, selector)
    if target.health is not engine.Health.UP:
        return lambda: None
    target.pause(world.clock())

    def resume() -> None:
        if target.health is engine.Health.PAUSED:
            target.restart(world.clock())

    return resume


@FAULTS.register("engine-straggles")
def _engine_straggles(world: "world_lib.World", selector: int) -> EndFault:
    target = _engine(world, selector)
    target.slowdown = 8.0

    def recover() -> None:
        target.slowdown = 1.0

    return recover


@FAULTS.register("engine-leaves")
def _engine_leaves(world: "world_lib.World", selector: int) -> EndFault:
    instance_id = _engine(world, selector).spec.instance_id
    world.announce_leaving(instance_id)
    return lambda: world.withdraw_leaving(instance_id)


@FAULTS.register("order-arrives-late")
def _order_arrives_late(world: "world_lib.World", selector: int) -> EndFault:
    """Delivers the order before an engine's last one again.

    A planner that was paused while it held the lease may send such an order
    after the pause.
    """
    target = _engine(world, selector)
    if len(target.orders) > 1 and target.health is engine.Health.UP:
        target.order(target.orders[-2], world.clock())
    return lambda: None


@FAULTS.register("domain-dark")
def _domain_dark(world: "world_lib.World", selector: int) -> EndFault:
    domains = world.spec.domains
    name = domains[selector % len(domains)].name
    targets = [
        target
        for target in world.farm.engines.values()
        if target.spec.domain == name
    ]
    for target in targets:
        target.crash(world.clock())

    def restart_all() -> None:
        for target in targets:
            target.restart(world.clock())

    return restart_all


@FAULTS.register("entry-dies")
def _entry_dies(world: "world_lib.World", selector: int) -> EndFault:
    name = _entry_name(world, selector)
    if len(world.live_entries()) < 2 or world.entries[name].is_killed:
        return lambda: None
    world.kill_entry(name)

    def start_again() -> None:
        if world.entries[name].is_killed:
            world.start_entry(name)

    return start_again


@FAULTS.register("entry-pauses")
def _entry_pauses(world: "world_lib.World", selector: int) -> EndFault:
    name = _entry_name(world, selector)
    if len(world.live_entries()) < 2:
        return lambda: None
    world.pause_entry(name)
    return lambda: world.resume_entry(name)


def _planner_name(world: "world_lib.World", selector: int) -> str:
    """Returns the instance that holds a domain's lease; empty if none."""
    domains = world.spec.domains
    domain = domains[selector % len(domains)].name
    for entry in world.live_entries():
        planner = entry.node.domains.planners.get(domain)
        if planner is not None and planner.is_holder:
            return entry.name
    return ""


@FAULTS.register("planner-pauses")
def _planner_pauses(world: "world_lib.World", selector: int) -> EndFault:
    name = _planner_name(world, selector)
    if not name or len(world.live_entries()) < 2:
        return lambda: None
    world.pause_entry(name)
    return lambda: world.resume_entry(name)


@FAULTS.register("planner-cut-from-platform")
def _planner_cut_from_platform(
    world: "world_lib.World", selector: int
) -> EndFault:
    name = _planner_name(world, selector)
    return _cut(world, name, "platform") if name else lambda: None


@FAULTS.register("operators-race")
def _operators_race(world: "world_lib.World", selector: int) -> EndFault:
    names = sorted(entry.name for entry in world.live_entries())
    for index, name in enumerate(names[:2]):
        task = asyncio.ensure_future(
            world.submit(2, 4, f"v{selector % 3 + 1}-{index}", via=name)
        )
        _SUBMISSIONS.add(task)
        task.add_done_callback(_SUBMISSIONS.discard)
    return lambda: None


# Submissions under way. The references keep the tasks from being garbage
# collected.
_SUBMISSIONS: set["asyncio.Task[bool]"] = set()


def _cut(world: "world_lib.World", first: str, second: str) -> EndFault:
    world.cut(first, second)
    return lambda: world.cuts.discard(frozenset((first, second)))


@FAULTS.register("entries-cut")
def _entries_cut(world: "world_lib.World", selector: int) -> EndFault:
    return _cut(
        world,
        _entry_name(world, selector),
        _entry_name(world, selector // 7 + 1),
    )


@FAULTS.register("entry-cut-from-platform")
def _entry_cut_from_platform(
    world: "world_lib.World", selector: int
) -> EndFault:
    return _cut(world, _entry_name(world, selector), "platform")


@FAULTS.register("entry-cut-from-engines")
def _entry_cut_from_engines(
    world: "world_lib.World", selector: int
) -> EndFault:
    return _cut(world, _entry_name(world, selector), "engines")


def _table(world: "world_lib.World", kind: memory.TableFault) -> EndFault:
    world.faults.kind = kind

    def end() -> None:
        if world.faults.kind is kind:
            world.faults.kind = memory.TableFault.NONE

    return end


@FAULTS.register("table-down")
def _table_down(world: "world_lib.World", selector: int) -> EndFault:
    return _table(world, memory.TableFault.DOWN)


@FAULTS.register("table-loses-answers")
def _table_loses_answers(world: "world_lib.World", selector: int) -> EndFault:
    return _table(world, memory.TableFault.ANSWER_LOST)


@FAULTS.register("table-throttles")
def _table_throttles(world: "world_lib.World", selector: int) -> EndFault:
    return _table(world, memory.TableFault.THROTTLED)


@FAULTS.register("table-slow")
def _table_slow(world: "world_lib.World", selector: int) -> EndFault:
    world.faults.delay_s = (0.5, 1.9, 3.0)[selector % 3]

    def end() -> None:
        world.faults.delay_s = 0.0

    return end


@FAULTS.register("list-lags")
def _list_lags(world: "world_lib.World", selector: int) -> EndFault:
    world.freeze_list()

    def end() -> None:
        world.frozen_list = None

    return end


@FAULTS.register("streams-silent")
def _streams_silent(world: "world_lib.World", selector: int) -> EndFault:
    world.silence_streams()
    return lambda: None


@FAULTS.register("service-down")
def _service_down(world: "world_lib.World", selector: int) -> EndFault:
    return _service(world, "down")


@FAULTS.register("service-loses-answers")
def _service_loses_answers(world: "world_lib.World", selector: int) -> EndFault:
    return _service(world, "loses-answers")


def _service(world: "world_lib.World", mode: str) -> EndFault:
    world.service_mode = mode

    def end() -> None:
        world.service_mode = "good"

    return end


@FAULTS.register("deadly-request")
def _crashing_request(world: "world_lib.World", selector: int) -> EndFault:
    request_task = world.draft(f"{engine.CRASH_MARKER} {selector}", 10)
    world.crashing_requests.append(request_task)
    return lambda: None
