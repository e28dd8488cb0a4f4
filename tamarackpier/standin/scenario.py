"""A language for scenarios in which simulated nodes meet faults.

A scenario describes a simulated world, the actions to perform at given times
and the expectations to check; docs/SCENARIOS.md describes the language. Times
are in seconds on the virtual clock. At the end of every scenario the world
must have found no violation, whatever else the scenario expects.
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

_GRAMMAR_PATH = pathlib.Path(__file__).with_name("scenario.lark")
_CHECK_PERIOD_S = 0.1

Action = Callable[["world_lib.World", list[str]], Any]
# An expectation returns True if it holds, or else the value observed.
Expectation = Callable[["world_lib.World", list[str]], object]

ACTIONS: registry.Registry[Action] = registry.Registry("action")
EXPECTATIONS: registry.Registry[Expectation] = registry.Registry("expectation")


class ScenarioError(AssertionError):
    """An expectation did not hold or a step could not be performed."""


@dataclasses.dataclass(frozen=True)
class Call:
    """An action or expectation with its arguments.

    Attributes:
        name: Name of the action or expectation in its registry.
        arguments: Arguments as they are written in the scenario, without
            quotes.
    """

    name: str
    arguments: list[str]


@dataclasses.dataclass(frozen=True)
class Step:
    """One step of a scenario.

    Attributes:
        kind: Alias of the step in the grammar: at, within or throughout.
        first_s: Start of the step, in virtual seconds; for `within`, the
            longest wait.
        last_s: End of a `throughout` step, in virtual seconds; equal to
            `first_s` for other steps.
        call: Action to perform or expectation to check.
    """

    kind: str
    first_s: float
    last_s: float
    call: Call


@dataclasses.dataclass(frozen=True)
class Scenario:
    """A parsed scenario.

    Attributes:
        title: Title of the scenario.
        spec: Initial state of the simulated world.
        seed: Seed of the world's random source.
        steps: Steps in the order in which they run.
    """

    title: str
    spec: spec_lib.WorldSpec
    seed: int
    steps: tuple[Step, ...]


def parse(text: str) -> Scenario:
    """Parses a scenario.

    Raises:
        lark.exceptions.LarkError: The text is not well-formed; the message
            states line and column.
    """
    tree = _parser().parse(text.strip() + "\n")
    return _ScenarioBuilder().build(tree)


def run(scenario: Scenario) -> world_lib.World:
    """Runs a scenario on a virtual clock.

    Returns:
        The world at the end of the scenario.

    Raises:
        ScenarioError: An expectation did not hold, a step could not be
            performed, or the world found a violation.
    """
    return virtual.run(_run(scenario))


def _parser() -> lark.Lark:
    return lark.Lark(_GRAMMAR_PATH.read_text(), parser="earley")


class _ScenarioBuilder:
    """Builds a scenario from a parse tree.

    Attributes:
        spec_fields: Fields of the world's specification, by name.
        domains: Fabric domains of the world.
        steps: Steps of the scenario.
        seed: Seed of the world's random source.
    """

    def __init__(self) -> None:
        self.spec_fields: dict[str, Any] = {}
        self.domains: list[spec_lib.DomainSpec] = []
        self.steps: list[Step] = []
        self.seed = 1

    def build(self, tree: lark.Tree) -> Scenario:
        """Returns the scenario of a parse tree."""
        title = _token_texts(tree.children[0])[0]
        for statement in tree.children[1:]:
            assert isinstance(statement, lark.Tree)
            self._add_statement(statement.children[0])
        if self.domains:
            self.spec_fields["domains"] = tuple(self.domains)
        spec = spec_lib.WorldSpec(**self.spec_fields)
        return Scenario(title, spec, self.seed, tuple(self.steps))

    def _add_statement(self, statement: Any) -> None:
        if statement.data in ("at", "within"):
            self.steps.append(_step(statement, 1))
        elif statement.data == "throughout":
            self.steps.append(_step(statement, 2))
        elif statement.data == "domain":
            name, zone, engine_count, *fencing = _token_texts(statement)
            spec = spec_lib.DomainSpec(
                name, zone, int(engine_count), not fencing
            )
            self.domains.append(spec)
        elif statement.data == "seed":
            self.seed = int(_token_texts(statement)[0])
        elif statement.data == "load":
            self.spec_fields["load_s"] = float(_token_texts(statement)[0])
        else:
            text = _token_texts(statement)[0]
            is_number = statement.data in ("entries", "slots")
            self.spec_fields[statement.data] = int(text) if is_number else text


def _step(statement: Any, time_count: int) -> Step:
    """Returns the step of a statement that begins with one or two times."""
    times_s = [float(token) for token in statement.children[:time_count]]
    call_tree = statement.children[time_count]
    call = Call(str(call_tree.data), _token_texts(call_tree))
    if call_tree.data == "expect":
        expectation_tree = call_tree.children[0]
        call = Call(str(expectation_tree.data), _token_texts(expectation_tree))
    return Step(str(statement.data), times_s[0], times_s[-1], call)


def _token_texts(tree: Any) -> list[str]:
    return [
        str(child).strip('"')
        for child in tree.children
        if isinstance(child, lark.Token)
    ]


async def _run(scenario: Scenario) -> world_lib.World:
    world = world_lib.World(scenario.spec, scenario.seed)
    world.start()
    for step in scenario.steps:
        if step.kind == "at":
            await _wait_until(world, step.first_s)
            await _perform(world, step.call)
        elif step.kind == "within":
            await _check_within(world, step)
        else:
            await _check_throughout(world, step)
    world.check_versions()
    violations = world.find_violations()
    if violations:
        raise ScenarioError("; ".join(violations[:5]))
    return world


async def _wait_until(world: "world_lib.World", at_s: float) -> None:
    if world.clock() > at_s:
        raise ScenarioError(
            f"clock is at {world.clock():.1f} s, past the step's time {at_s:g}"
        )
    while world.clock() < at_s:
        await asyncio.sleep(min(_CHECK_PERIOD_S, at_s - world.clock()))
        world.check_versions()


async def _perform(world: "world_lib.World", call: Call) -> None:
    if call.name in EXPECTATIONS.entries:
        _expect(world, call)
        return
    result = ACTIONS.get(call.name)(world, call.arguments)
    if asyncio.iscoroutine(result):
        await result


async def _check_within(world: "world_lib.World", step: Step) -> None:
    deadline = world.clock() + step.first_s
    while not _holds(world, step.call):
        if world.clock() >= deadline:
            _expect(world, step.call)
        await asyncio.sleep(_CHECK_PERIOD_S)
        world.check_versions()


async def _check_throughout(world: "world_lib.World", step: Step) -> None:
    await _wait_until(world, step.first_s)
    while world.clock() < step.last_s:
        _expect(world, step.call)
        await asyncio.sleep(_CHECK_PERIOD_S)


def _holds(world: "world_lib.World", call: Call) -> bool:
    return EXPECTATIONS.get(call.name)(world, call.arguments) is True


def _expect(world: "world_lib.World", call: Call) -> None:
    observed = EXPECTATIONS.get(call.name)(world, call.arguments)
    if observed is not True:
        expected = " ".join([call.name, *call.arguments])
        raise ScenarioError(
            f"at {world.clock():.1f} s: expected {expected}, found {observed}"
        )


def _engines(world: "world_lib.World", name: str) -> list[engine.FakeEngine]:
    """Returns the engine with the given name, or all engines of a domain."""
    if name in world.farm.engines:
        return [world.farm.engines[name]]
    domain_engines = [
        fake_engine
        for fake_engine in world.farm.engines.values()
        if fake_engine.spec.domain == name
    ]
    if not domain_engines:
        raise ScenarioError(f"no engine or domain is named {name!r}")
    return domain_engines


@ACTIONS.register("submit")
async def _submit(world: "world_lib.World", arguments: list[str]) -> None:
    replicas, span, *via = arguments
    is_accepted = await world.submit(
        int(replicas), int(span), via=via[0] if via else ""
    )
    if not is_accepted:
        raise ScenarioError("the sheet was not accepted")


@ACTIONS.register("strike")
def _inject_fault(world: "world_lib.World", arguments: list[str]) -> None:
    kind, selector, duration = arguments
    faults.inject(
        world, faults.Fault(kind, int(selector), float(duration), 0.0)
    )


@ACTIONS.register("crash")
def _crash(world: "world_lib.World", arguments: list[str]) -> None:
    for fake_engine in _engines(world, arguments[0]):
        fake_engine.crash(world.clock())


@ACTIONS.register("pause")
def _pause(world: "world_lib.World", arguments: list[str]) -> None:
    if arguments[0] in world.entries:
        world.pause_entry(arguments[0])
        return
    for fake_engine in _engines(world, arguments[0]):
        fake_engine.pause(world.clock())


@ACTIONS.register("restart")
def _restart(world: "world_lib.World", arguments: list[str]) -> None:
    name = arguments[0]
    if name not in world.entries:
        for fake_engine in _engines(world, name):
            fake_engine.restart(world.clock())
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
    content, tokens, *options = arguments
    via = next((option for option in options if option in world.entries), "")
    count = next((int(option) for option in options if option.isdigit()), 1)
    for number in range(count):
        text = content if count == 1 else f"{content} {number}"
        world.draft(text, int(tokens), via=via)


@ACTIONS.register("order")
def _order(world: "world_lib.World", arguments: list[str]) -> None:
    reference, *via = arguments
    world.order(reference, via=via[0] if via else "")


def _serving_counts(
    world: "world_lib.World", arguments: list[str]
) -> dict[str, int]:
    """Returns the number of serving replicas that each instance sees."""
    names = arguments[1:] or [entry.name for entry in world.live_entries()]
    return {name: world.serving(name) for name in names}


@EXPECTATIONS.register("serving")
def _serving(world: "world_lib.World", arguments: list[str]) -> object:
    counts = _serving_counts(world, arguments)
    return set(counts.values()) == {int(arguments[0])} or counts


@EXPECTATIONS.register("not_serving")
def _not_serving(world: "world_lib.World", arguments: list[str]) -> object:
    counts = _serving_counts(world, arguments)
    return int(arguments[0]) not in counts.values() or counts


@EXPECTATIONS.register("version")
def _version(world: "world_lib.World", arguments: list[str]) -> object:
    versions = {
        entry.name: entry.node.sheets.sheet.version
        for entry in world.live_entries()
    }
    return set(versions.values()) == {int(arguments[0])} or versions


@EXPECTATIONS.register("drafts")
def _drafts(world: "world_lib.World", arguments: list[str]) -> object:
    outcome, count = arguments
    counts = dict(world.ledger.drafts)
    return counts.get(outcome, 0) == int(count) or counts


@EXPECTATIONS.register("told")
def _order_outcomes(world: "world_lib.World", arguments: list[str]) -> object:
    reference, *expected = arguments
    reported = [
        outcome.value
        for outcome in world.ledger.order_outcomes.get(reference, [])
    ]
    return sorted(reported) == sorted(expected) or reported


@EXPECTATIONS.register("ran")
def _ran(world: "world_lib.World", arguments: list[str]) -> object:
    reference, count = arguments
    run_count = world.ledger.service_runs[reference]
    return run_count == int(count) or run_count


@EXPECTATIONS.register("counter")
def _counter(world: "world_lib.World", arguments: list[str]) -> object:
    name, minimum = arguments
    total = sum(
        entry.node.metrics.counters[name] for entry in world.entries.values()
    )
    return total >= int(minimum) or total


@EXPECTATIONS.register("planner")
def _planner(world: "world_lib.World", arguments: list[str]) -> object:
    domain, name = arguments
    planner_names = [
        entry.name
        for entry in world.live_entries()
        if domain in entry.node.domains.planners
        and entry.node.domains.planners[domain].is_holder
    ]
    return planner_names == [name] or planner_names


@EXPECTATIONS.register("quarantined")
def _quarantined(world: "world_lib.World", arguments: list[str]) -> object:
    counts = {
        entry.name: len(entry.node.quarantine.lasting_suspects(world.clock()))
        for entry in world.live_entries()
    }
    return set(counts.values()) == {int(arguments[0])} or counts


@EXPECTATIONS.register("crashes_below")
def _crashes_below(world: "world_lib.World", arguments: list[str]) -> object:
    crash_count = world.ledger.crashes_by_request
    return crash_count < int(arguments[0]) or crash_count


@EXPECTATIONS.register("breakers")
def _breakers(world: "world_lib.World", arguments: list[str]) -> object:
    breaker_count = sum(
        len(entry.node.breakers.breakers) for entry in world.live_entries()
    )
    return breaker_count == int(arguments[0]) or breaker_count
