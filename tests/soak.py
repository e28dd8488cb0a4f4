"""Long random runs of whole nodes, with everything that must hold checked.

`make soak SEED=n` runs one seed; the tests run fixed ones.
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
_START_S = 12.0
_HEAL_S = 60.0
_TRAFFIC_PERIOD_S = 0.4


@dataclasses.dataclass(frozen=True)
class SoakReport:
    """What came of one run.

    Attributes:
        violations: Promises that were broken.
        steps: Messages that nodes sent or took.
        virtual_s: How long it was on the virtual clock.
        drafts: Drafts by outcome.
        orders: How many orders were sent.
        checks: How often each invariant was checked inside the nodes.
    """

    violations: list[str]
    steps: int
    virtual_s: float
    drafts: dict[str, int]
    orders: int
    checks: dict[str, int]


def random_faults(rng: random.Random, count: int) -> Iterator[faults.Fault]:
    """Yields faults of all kinds."""
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
    coming: Iterable[faults.Fault],
    least_steps: int = 0,
    plant: Callable[[world_lib.World], None] | None = None,
    spec: spec_lib.WorldSpec | None = None,
) -> SoakReport:
    """Runs a world through faults, heals it and judges it.

    Args:
        seed: Of all chance in the world.
        coming: The faults.
        least_steps: Faults go on until this many steps, drawn from the seed.
        plant: Puts a deliberate fault into the nodes.
        spec: What the world begins with.
    """
    return virtual.run(
        _run(seed, coming, least_steps, plant, spec or spec_lib.WorldSpec())
    )


async def _run(
    seed: int,
    coming: Iterable[faults.Fault],
    least_steps: int,
    plant: Callable[[world_lib.World], None] | None,
    spec: spec_lib.WorldSpec,
) -> SoakReport:
    world = world_lib.World(spec, seed)
    world.start()
    await asyncio.sleep(4.0)
    assert await world.submit(REPLICAS, SPAN)
    await asyncio.sleep(_START_S)
    if plant is not None:
        plant(world)
    traffic = asyncio.ensure_future(_traffic(world))
    endings = []
    for fault in coming:
        endings.append(faults.inject(world, fault))
        await _pass_time(world, fault.gap_s)
    rng = random.Random(seed)
    while world.ledger.steps < least_steps:
        for fault in random_faults(rng, 5):
            endings.append(faults.inject(world, fault))
            await _pass_time(world, fault.gap_s)
    for ending in endings:
        ending.cancel()
    world.end_all_faults()
    await _pass_time(world, _HEAL_S)
    traffic.cancel()
    return _report(world)


async def _pass_time(world: world_lib.World, seconds: float) -> None:
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
            # Callers send orders again, soon and late.
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
                f"{name} sees {world.serving(name)} replicas after healing"
            )
        for check, count in entry.node.invariants.checks.items():
            checks[check] = checks.get(check, 0) + count
    if len(versions) != 1:
        violations.append(f"versions in force differ: {sorted(versions)}")
    if not world.ledger.drafts["whole"]:
        violations.append("no draft was answered")
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
@click.option("--steps", type=int, default=50_000, help="Steps at least.")
def main(seed: int, steps: int) -> None:
    """Runs one seed and shows what was broken."""
    logging.set_verbosity("fatal")
    found = run(seed, (), steps)
    for line in found.violations:
        click.echo(f"BROKEN {line}")
    click.echo(dataclasses.replace(found, violations=[]))
    raise SystemExit(1 if found.violations else 0)


if __name__ == "__main__":
    main()
