"""Long random runs of a simulated world in which all invariants are checked.

`make soak SEED=n` runs one seed; the tests run fixed seeds.
"""

import asyncio
import dataclasses
import random
from collections.abc import Callable, Iterable, Iterator

import click
from absl import logging

from tamarackpier.standin import faults, virtual
from tamarackpier.standin import spec as spec_lib
from tamarackpier.standin import world as world_lib

REPLICAS = 2
SPAN = 4
# Time in which the replicas are formed before the first fault.
_STARTUP_S = 12.0
# Time in which the world recovers after the last fault.
_RECOVERY_S = 60.0
_TRAFFIC_PERIOD_S = 0.4


@dataclasses.dataclass(frozen=True)
class SoakReport:
    """Result of one run.

    Attributes:
        violations: Descriptions of the violations.
        steps: Number of messages that nodes sent or received.
        virtual_s: Duration of the run on the virtual clock, in seconds.
        drafts: Number of drafts by outcome.
        orders: Number of different orders that were sent.
        checks: Number of checks that the nodes made, by invariant.
    """

    violations: list[str]
    steps: int
    virtual_s: float
    drafts: dict[str, int]
    orders: int
    checks: dict[str, int]


def random_faults(rng: random.Random, count: int) -> Iterator[faults.Fault]:
    """Yields `count` random faults of all kinds."""
    kinds = list(faults.FAULTS)
    for _ in range(count):
        yield faults.Fault(
            rng.choice(kinds),
            rng.randrange(1000),
            rng.choice((0.3, 1.0, 3.0, 8.0, 20.0)),
            rng.choice((0.1, 0.5, 1.0, 2.0, 4.0)),
        )


def run(
    seed: int,
    planned_faults: Iterable[faults.Fault],
    min_steps: int = 0,
    plant_bug: Callable[[world_lib.World], None] | None = None,
    spec: spec_lib.WorldSpec | None = None,
) -> SoakReport:
    """Runs a world under faults, ends the faults and checks the world.

    Args:
        seed: Seed of the world's random source.
        planned_faults: Faults to inject first, in order.
        min_steps: Number of steps up to which random faults, drawn from the
            seed, are injected afterwards.
        plant_bug: Introduces a deliberate bug into the nodes of the world.
        spec: Initial state of the world; None for the default.
    """
    return virtual.run(
        _run(
            seed,
            planned_faults,
            min_steps,
            plant_bug,
            spec or spec_lib.WorldSpec(),
        )
    )


async def _run(
    seed: int,
    planned_faults: Iterable[faults.Fault],
    min_steps: int,
    plant_bug: Callable[[world_lib.World], None] | None,
    spec: spec_lib.WorldSpec,
) -> SoakReport:
    world = world_lib.World(spec, seed)
    world.start()
    await asyncio.sleep(4.0)
    assert await world.submit(REPLICAS, SPAN)
    await asyncio.sleep(_STARTUP_S)
    if plant_bug is not None:
        plant_bug(world)
    traffic = asyncio.ensure_future(_traffic(world))
    end_tasks = []
    for fault in planned_faults:
        end_tasks.append(faults.inject(world, fault))
        await _advance(world, fault.gap_s)
    rng = random.Random(seed)
    while world.ledger.steps < min_steps:
        for fault in random_faults(rng, 5):
            end_tasks.append(faults.inject(world, fault))
            await _advance(world, fault.gap_s)
    for end_task in end_tasks:
        end_task.cancel()
    world.end_all_faults()
    await _advance(world, _RECOVERY_S)
    traffic.cancel()
    return _report(world)


async def _advance(world: world_lib.World, seconds: float) -> None:
    until = world.clock() + seconds
    while world.clock() < until:
        await asyncio.sleep(min(0.1, until - world.clock()))
        world.check_versions()


async def _traffic(world: world_lib.World) -> None:
    number = 0
    while True:
        number += 1
        world.draft(f"draft {number}", 12, spec_lib.ACCOUNTS[number % 2])
        world.order(f"order {number}")
        if number % 3 == 0:
            # Callers repeat recent orders: this one or one of the last two.
            world.order(f"order {number - world.rng.randrange(3)}")
        await asyncio.sleep(_TRAFFIC_PERIOD_S)


def _report(world: world_lib.World) -> SoakReport:
    violations = world.find_violations()
    versions = set()
    checks: dict[str, int] = {}
    for name, entry in world.entries.items():
        versions.add(entry.node.sheets.sheet.version)
        if world.serving(name) != REPLICAS:
            violations.append(
                f"{name} sees {world.serving(name)} replicas after recovery"
            )
        for check, count in entry.node.invariants.checks.items():
            checks[check] = checks.get(check, 0) + count
    if len(versions) != 1:
        violations.append(f"versions in force differ: {sorted(versions)}")
    if not world.ledger.drafts["whole"]:
        violations.append("no draft was answered completely")
    return SoakReport(
        violations,
        world.ledger.steps,
        world.clock(),
        dict(world.ledger.drafts),
        len(world.ledger.order_outcomes),
        checks,
    )


@click.command()
@click.option("--seed", type=int, default=1, help="Seed of the run.")
@click.option(
    "--steps", type=int, default=50_000, help="Minimum number of steps."
)
def main(seed: int, steps: int) -> None:
    """Runs one seed and prints violations and the report."""
    logging.set_verbosity("fatal")
    report = run(seed, (), steps)
    for violation in report.violations:
        click.echo(f"BROKEN {violation}")
    click.echo(dataclasses.replace(report, violations=[]))
    raise SystemExit(1 if report.violations else 0)


if __name__ == "__main__":
    main()
