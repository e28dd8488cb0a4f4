"""A small language for scenarios of whole nodes under faults.

A scenario sets up a world, says what happens when, and what must then hold;
docs/SCENARIOS.md describes it. Times are in virtual seconds. At its end the
world's verdict must be clean, whatever else the scenario expects.
"""

import asyncio
import dataclasses
import pathlib
from collections.abc import Callable
from typing import Any

import lark

from tamarackpier import registry
from tamarackpier.standin import engine, faults, memory, virtual
from tamarackpier.standin import spec as spec_lib
from tamarackpier.standin import world as world_lib

__all__ = ["Scenario", "ScenarioError", "parse", "run"]

_GRAMMAR = pathlib.Path(__file__).with_name("scenario.lark")
_CHECK_PERIOD_S = 0.1

Action = Callable[["world_lib.World", list[str]], Any]
Expectation = Callable[["world_lib.World", list[str]], object]

ACTIONS: registry.Registry[Action] = registry.Registry("action")
EXPECTATIONS: registry.Registry[Expectation] = registry.Registry("expectation")


class ScenarioError(AssertionError):
    """Something that a scenario expects does not hold."""


@dataclasses.dataclass(frozen=True)
class Call:
    """An action or expectation with its arguments."""

    name: str
    arguments: list[str]


@dataclasses.dataclass(frozen=True)
class Step:
    """What happens or must hold.

    Attributes:
        kind: at, within or throughout.
        first_s: When it happens; the longest wait for `within`.
        last_s: Until when it must hold, for `throughout`.
        call: The action or expectation.
    """

    kind: str
    first_s: float
    last_s: float
    call: Call


@dataclasses.dataclass(frozen=True)
class Scenario:
    """A scenario that was read."""

    title: str
    spec: spec_lib.WorldSpec
    seed: int
    steps: tuple[Step, ...]


def parse(text: str) -> Scenario:
    """Reads a scenario.

    Raises:
        lark.exceptions.LarkError: It is not well-formed; the message has
            line and column.
    """
    tree = _parser().parse(text.strip() + "\n")
    return _Reader().read(tree)


def run(scenario: Scenario) -> world_lib.World:
    """Runs a scenario on virtual time.

    Returns:
        The world at the end.

    Raises:
        ScenarioError: Something expected does not hold.
    """
    return virtual.run(_run(scenario))


def _parser() -> lark.Lark:
    return lark.Lark(_GRAMMAR.read_text(), parser="earley")


class _Reader:
    """Turns a tree into a scenario."""

    def __init__(self) -> None:
        self.values: dict[str, Any] = {}
        self.domains: list[spec_lib.DomainSpec] = []
        self.steps: list[Step] = []
        self.seed = 1

    def read(self, tree: lark.Tree) -> Scenario:
        title = _texts(tree.children[0])[0]
        for statement in tree.children[1:]:
            assert isinstance(statement, lark.Tree)
            self._take(statement.children[0])
        if self.domains:
            self.values["domains"] = tuple(self.domains)
        spec = spec_lib.WorldSpec(**self.values)
        return Scenario(title, spec, self.seed, tuple(self.steps))

    def _take(self, part: Any) -> None:
        if part.data in ("at", "within"):
            self.steps.append(_step(part, 1))
        elif part.data == "throughout":
            self.steps.append(_step(part, 2))
        elif part.data == "domain":
            name, zone, count, *fencing = _texts(part)
            spec = spec_lib.DomainSpec(name, zone, int(count), not fencing)
            self.domains.append(spec)
        elif part.data == "seed":
            self.seed = int(_texts(part)[0])
        elif part.data == "load":
            self.values["load_s"] = float(_texts(part)[0])
        else:
            text = _texts(part)[0]
            is_number = part.data in ("entries", "slots")
            self.values[part.data] = int(text) if is_number else text


def _step(part: Any, times: int) -> Step:
    moments = [float(each) for each in part.children[:times]]
    called = part.children[times]
    call = Call(str(called.data), _texts(called))
    if called.data == "expect":
        inner = called.children[0]
        call = Call(str(inner.data), _texts(inner))
    return Step(str(part.data), moments[0], moments[-1], call)


def _texts(tree: Any) -> list[str]:
    return [
        str(each).strip('"')
        for each in tree.children
        if isinstance(each, lark.Token)
    ]


async def _run(scenario: Scenario) -> world_lib.World:
    world = world_lib.World(scenario.spec, scenario.seed)
    world.start()
    for step in scenario.steps:
        if step.kind == "at":
            await _wait_until(world, step.first_s)
            await _do(world, step.call)
        elif step.kind == "within":
            await _hold_within(world, step)
        else:
            await _hold_throughout(world, step)
    world.check_versions()
    broken = world.find_violations()
    if broken:
        raise ScenarioError("; ".join(broken[:5]))
    return world


async def _wait_until(world: "world_lib.World", at_s: float) -> None:
    if world.clock() > at_s:
        raise ScenarioError(f"it is {world.clock():.1f}, past {at_s:g}")
    while world.clock() < at_s:
        await asyncio.sleep(min(_CHECK_PERIOD_S, at_s - world.clock()))
        world.check_versions()


async def _do(world: "world_lib.World", call: Call) -> None:
    if call.name in EXPECTATIONS.entries:
        _expect(world, call)
        return
    done = ACTIONS.get(call.name)(world, call.arguments)
    if asyncio.iscoroutine(done):
        await done


async def _hold_within(world: "world_lib.World", step: Step) -> None:
    deadline = world.clock() + step.first_s
    while not _holds(world, step.call):
        if world.clock() >= deadline:
            _expect(world, step.call)
        await asyncio.sleep(_CHECK_PERIOD_S)
        world.check_versions()


async def _hold_throughout(world: "world_lib.World", step: Step) -> None:
    await _wait_until(world, step.first_s)
    while world.clock() < step.last_s:
        _expect(world, step.call)
        await asyncio.sleep(_CHECK_PERIOD_S)


def _holds(world: "world_lib.World", call: Call) -> bool:
    return EXPECTATIONS.get(call.name)(world, call.arguments) is True


def _expect(world: "world_lib.World", call: Call) -> None:
    found = EXPECTATIONS.get(call.name)(world, call.arguments)
    if found is not True:
        wanted = " ".join([call.name, *call.arguments])
        raise ScenarioError(
            f"at {world.clock():.1f}: expected {wanted}, found {found}"
        )


def _engines(world: "world_lib.World", name: str) -> list[engine.FakeEngine]:
    """Returns one engine, or all of a domain."""
    if name in world.farm.engines:
        return [world.farm.engines[name]]
    found = [
        each for each in world.farm.engines.values() if each.spec.domain == name
    ]
    if not found:
        raise ScenarioError(f"no engine or domain {name!r}")
    return found


@ACTIONS.register("submit")
async def _submit(world: "world_lib.World", arguments: list[str]) -> None:
    count, span, *via = arguments
    is_accepted = await world.submit(
        int(count), int(span), via=via[0] if via else ""
    )
    if not is_accepted:
        raise ScenarioError("the sheet was not accepted")


@ACTIONS.register("strike")
def _strike(world: "world_lib.World", arguments: list[str]) -> None:
    kind, choice, lasts = arguments
    faults.inject(world, faults.Fault(kind, int(choice), float(lasts), 0.0))


@ACTIONS.register("crash")
def _crash(world: "world_lib.World", arguments: list[str]) -> None:
    for each in _engines(world, arguments[0]):
        each.crash(world.clock())


@ACTIONS.register("pause")
def _pause(world: "world_lib.World", arguments: list[str]) -> None:
    if arguments[0] in world.entries:
        world.pause_entry(arguments[0])
        return
    for each in _engines(world, arguments[0]):
        each.pause(world.clock())


@ACTIONS.register("restart")
def _restart(world: "world_lib.World", arguments: list[str]) -> None:
    name = arguments[0]
    if name not in world.entries:
        for each in _engines(world, name):
            each.restart(world.clock())
    elif world.entries[name].is_killed:
        world.start_entry(name)
    else:
        world.resume_entry(name)


@ACTIONS.register("leave")
def _leave(world: "world_lib.World", arguments: list[str]) -> None:
    world.announce_leaving(arguments[0])


@ACTIONS.register("kill")
def _kill(world: "world_lib.World", arguments: list[str]) -> None:
    world.kill_entry(arguments[0])


@ACTIONS.register("stop")
def _stop(world: "world_lib.World", arguments: list[str]) -> None:
    world.stop_entry(arguments[0])


@ACTIONS.register("cut")
def _cut(world: "world_lib.World", arguments: list[str]) -> None:
    world.cut(*arguments)


@ACTIONS.register("heal")
def _heal(world: "world_lib.World", arguments: list[str]) -> None:
    world.heal_network()


@ACTIONS.register("table")
def _table(world: "world_lib.World", arguments: list[str]) -> None:
    kind = arguments[0].replace("-", "_")
    world.faults.delay_s = 0.0
    world.faults.kind = (
        memory.TableFault.NONE if kind == "up" else memory.TableFault(kind)
    )


@ACTIONS.register("slow_table")
def _slow_table(world: "world_lib.World", arguments: list[str]) -> None:
    world.faults.delay_s = float(arguments[0])


@ACTIONS.register("freeze")
def _freeze(world: "world_lib.World", arguments: list[str]) -> None:
    world.freeze_list()


@ACTIONS.register("silence")
def _silence(world: "world_lib.World", arguments: list[str]) -> None:
    world.silence_streams()


@ACTIONS.register("service")
def _service(world: "world_lib.World", arguments: list[str]) -> None:
    world.service_mode = arguments[0]


@ACTIONS.register("draft")
def _draft(world: "world_lib.World", arguments: list[str]) -> None:
    content, tokens, *rest = arguments
    via = next((each for each in rest if each in world.entries), "")
    times = next((int(each) for each in rest if each.isdigit()), 1)
    for number in range(times):
        text = content if times == 1 else f"{content} {number}"
        world.draft(text, int(tokens), via=via)


@ACTIONS.register("order")
def _order(world: "world_lib.World", arguments: list[str]) -> None:
    reference, *via = arguments
    world.order(reference, via=via[0] if via else "")


def _serving_counts(
    world: "world_lib.World", arguments: list[str]
) -> dict[str, int]:
    names = arguments[1:] or [each.name for each in world.live_entries()]
    return {name: world.serving(name) for name in names}


@EXPECTATIONS.register("serving")
def _serving(world: "world_lib.World", arguments: list[str]) -> object:
    found = _serving_counts(world, arguments)
    return set(found.values()) == {int(arguments[0])} or found


@EXPECTATIONS.register("not_serving")
def _not_serving(world: "world_lib.World", arguments: list[str]) -> object:
    found = _serving_counts(world, arguments)
    return int(arguments[0]) not in found.values() or found


@EXPECTATIONS.register("version")
def _version(world: "world_lib.World", arguments: list[str]) -> object:
    found = {
        each.name: each.node.sheets.sheet.version
        for each in world.live_entries()
    }
    return set(found.values()) == {int(arguments[0])} or found


@EXPECTATIONS.register("drafts")
def _drafts(world: "world_lib.World", arguments: list[str]) -> object:
    outcome, count = arguments
    found = dict(world.ledger.drafts)
    return found.get(outcome, 0) == int(count) or found


@EXPECTATIONS.register("told")
def _told(world: "world_lib.World", arguments: list[str]) -> object:
    reference, *outcomes = arguments
    told = [
        each.value for each in world.ledger.order_outcomes.get(reference, [])
    ]
    return sorted(told) == sorted(outcomes) or told


@EXPECTATIONS.register("ran")
def _ran(world: "world_lib.World", arguments: list[str]) -> object:
    reference, count = arguments
    found = world.ledger.service_runs[reference]
    return found == int(count) or found


@EXPECTATIONS.register("counter")
def _counter(world: "world_lib.World", arguments: list[str]) -> object:
    name, least = arguments
    found = sum(
        each.node.metrics.counters[name] for each in world.entries.values()
    )
    return found >= int(least) or found


@EXPECTATIONS.register("planner")
def _planner(world: "world_lib.World", arguments: list[str]) -> object:
    domain, name = arguments
    found = [
        each.name
        for each in world.live_entries()
        if domain in each.node.domains.planners
        and each.node.domains.planners[domain].is_holder
    ]
    return found == [name] or found


@EXPECTATIONS.register("quarantined")
def _quarantined(world: "world_lib.World", arguments: list[str]) -> object:
    found = {
        each.name: len(each.node.quarantine.refused(world.clock()))
        for each in world.live_entries()
    }
    return set(found.values()) == {int(arguments[0])} or found


@EXPECTATIONS.register("breakers")
def _breakers(world: "world_lib.World", arguments: list[str]) -> object:
    found = sum(
        len(each.node.breakers.breakers) for each in world.live_entries()
    )
    return found == int(arguments[0]) or found
