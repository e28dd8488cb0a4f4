"""Compares policies of the request pipeline under load and faults.

Complete entry instances run on a virtual clock with a simulated platform and
simulated engines, and each variant of a comparison receives the same arrivals.
The engines slow down with load, cache a few prompt prefixes and report their
load late.
"""

import asyncio
import collections
import dataclasses
import json
import math
import pathlib
import random

import click
import matplotlib
from absl import logging
from returns import pipeline

from tamarackpier.load import generator
from tamarackpier.request import admit, place, relay
from tamarackpier.standin import engine, virtual
from tamarackpier.standin import spec as spec_lib
from tamarackpier.standin import world as world_lib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

_OUTPUT_DIR = pathlib.Path("bench/out")
_READY_TIMEOUT_S = 120.0
# Number of prompt prefixes that calls share.
_PREFIX_COUNT = 48
_STEADY_ACCOUNT, _FLOODING_ACCOUNT = spec_lib.ACCOUNTS


@dataclasses.dataclass(frozen=True)
class Sample:
    """Outcome of one call as its caller observes it.

    Attributes:
        account: Client account that sent the call.
        first_piece_s: Time to the first piece of the answer, in seconds; None
            if no piece arrived.
        total_s: Time to the end of the answer or to the failure, in seconds.
        reason: Name of the result code; empty if the answer was complete.
    """

    account: str
    first_piece_s: float | None
    total_s: float
    reason: str


@dataclasses.dataclass(frozen=True)
class OfferedLoad:
    """Calls that one client account sends at random times.

    Attributes:
        account: Client account that sends the calls.
        rate_per_s: Mean rate, in calls per second.
        tokens: Number of tokens that each call requests.
        deadline_s: Deadline of each call, in seconds after it is sent.
    """

    account: str
    rate_per_s: float
    tokens: int
    deadline_s: float = 30.0


async def _prepare(
    spec: spec_lib.WorldSpec,
    seed: int,
    replicas: int,
    span: int,
    tokens_per_s: float,
) -> world_lib.World:
    world = world_lib.World(spec, seed)
    world.start()
    await asyncio.sleep(4.0)
    assert await world.submit(replicas, span, tokens_per_s=tokens_per_s)
    while any(world.serving(name) < replicas for name in world.entries):
        await asyncio.sleep(1.0)
        assert world.clock() < _READY_TIMEOUT_S
    return world


async def _send_loads(
    world: world_lib.World,
    loads: list[OfferedLoad],
    duration_s: float,
    seed: int,
) -> list[Sample]:
    """Sends every call at its arrival time and waits for the answers."""
    rng = random.Random(seed)
    arrivals = [
        (arrival.at_s, load)
        for load in loads
        for arrival in generator.arrivals(load.rate_per_s, duration_s, rng)
    ]
    arrivals.sort(key=lambda arrival: arrival[0])
    started_at = world.clock()
    tasks = []
    for at_s, load in arrivals:
        await asyncio.sleep(max(0.0, started_at + at_s - world.clock()))
        prefix = min(int(rng.paretovariate(0.8)) - 1, _PREFIX_COUNT - 1)
        content = f"group-{prefix:02d}{'.' * 24}{rng.random()}"
        entry = world.rng.choice(world.live_entries())
        tasks.append(asyncio.ensure_future(_send(world, entry, load, content)))
    return list(await asyncio.gather(*tasks))


async def _send(
    world: world_lib.World,
    entry: world_lib.Entry,
    load: OfferedLoad,
    content: str,
) -> Sample:
    node = entry.node
    messages = [{"role": "user", "content": content}]
    sent_at = world.clock()
    call = spec_lib.make_call(
        world.rng, messages, load.tokens, load.account, sent_at
    )
    call = dataclasses.replace(call, deadline=sent_at + load.deadline_s)
    version = node.version_for(load.account, "draft")
    start_result = await node.relay.start(call, version)
    if not pipeline.is_successful(start_result):
        fault = start_result.failure()
        elapsed_s = world.clock() - sent_at
        return Sample(load.account, None, elapsed_s, fault.code.name)
    run = start_result.unwrap()
    first_piece_s = world.clock() - sent_at
    reason = ""
    try:
        while await run.read():
            pass
    except relay.RunFailedError as error:
        reason = error.fault.code.name
    finally:
        run.close()
    return Sample(load.account, first_piece_s, world.clock() - sent_at, reason)


def _quantile(values: list[float], fraction: float) -> float:
    if not values:
        return math.nan
    ordered = sorted(values)
    return round(
        ordered[min(len(ordered) - 1, int(len(ordered) * fraction))], 4
    )


def placement(seed: int, duration_s: float) -> list[dict[str, object]]:
    """Compares placement policies by report lag, with one slow engine."""
    rows = []
    for lag_s in (0.0, 0.5, 2.0):
        for policy in place.POLICIES:
            row = virtual.run(_placement(seed, duration_s, lag_s, policy))
            rows.append(row)
            click.echo(json.dumps(row))
    return rows


async def _placement(
    seed: int, duration_s: float, lag_s: float, policy: str
) -> dict[str, object]:
    domains = tuple(
        spec_lib.DomainSpec(f"d{number}", f"zone-{number % 3}", 4)
        for number in range(3)
    )
    spec = spec_lib.WorldSpec(
        domains=domains,
        slots=8,
        load_slowdown=1.0,
        cached_prefixes=8,
        first_token_s=0.2,
        report_lag_s=lag_s,
        placement=policy,
        load_s=1.0,
    )
    world = await _prepare(spec, seed, 12, 1, 1e6)
    world.farm.engines["d0-e0"].slowdown = 4.0
    # The rate is about two thirds of the capacity of 12 leads with 8 slots.
    samples = await _send_loads(
        world, [OfferedLoad(_STEADY_ACCOUNT, 38.0, 16)], duration_s, seed
    )
    first_piece_times = [
        sample.first_piece_s
        for sample in samples
        if sample.first_piece_s is not None
    ]
    hits = world.farm.prefix_hits
    return {
        "bench": "placement",
        "lag_s": lag_s,
        "policy": policy,
        "calls": len(samples),
        "failed": sum(1 for sample in samples if sample.reason),
        "first_p50_s": _quantile(first_piece_times, 0.5),
        "first_p95_s": _quantile(first_piece_times, 0.95),
        "first_p99_s": _quantile(first_piece_times, 0.99),
        "prefix_hit_share": round(
            hits / max(1, hits + world.farm.prefix_misses), 3
        ),
    }


def admission(seed: int, duration_s: float) -> list[dict[str, object]]:
    """Compares admission on and off at several multiples of the capacity."""
    rows = []
    for load_factor in (1, 2, 5, 10):
        for has_admission in (True, False):
            row = virtual.run(
                _admission(seed, duration_s, load_factor, has_admission)
            )
            rows.append(row)
            click.echo(json.dumps(row))
    return rows


async def _admission(
    seed: int, duration_s: float, load_factor: int, has_admission: bool
) -> dict[str, object]:
    spec = spec_lib.WorldSpec(slots=8, token_s=0.05, load_s=1.0)
    # Two leads with 8 slots each complete about 15 calls per second of
    # 20 tokens at 50 ms per token.
    capacity_per_s = 15.0
    world = await _prepare(spec, seed, 2, 4, tokens_per_s=180.0)
    if not has_admission:
        for entry in world.entries.values():
            _disable_admission(entry.node.dispatcher)
    steady_load = OfferedLoad(_STEADY_ACCOUNT, 0.25 * capacity_per_s, 20, 5.0)
    flooding_load = OfferedLoad(
        _FLOODING_ACCOUNT, (load_factor - 0.25) * capacity_per_s, 20, 5.0
    )
    loads = [steady_load, flooding_load]
    if not has_admission:
        loads = [dataclasses.replace(load, deadline_s=1e6) for load in loads]
    samples = await _send_loads(world, loads, duration_s, seed)
    good = [
        sample
        for sample in samples
        if not sample.reason and sample.total_s <= 5.0
    ]
    steady_good = [
        sample for sample in good if sample.account == _STEADY_ACCOUNT
    ]
    steady_sent = sum(
        1 for sample in samples if sample.account == _STEADY_ACCOUNT
    )
    reasons = collections.Counter(
        sample.reason for sample in samples if sample.reason
    )
    refusal_times = [sample.total_s for sample in samples if sample.reason]
    return {
        "bench": "admission",
        "times": load_factor,
        "admission": "on" if has_admission else "off",
        "goodput_per_s": round(len(good) / duration_s, 2),
        "calm_good_share": round(len(steady_good) / max(1, steady_sent), 3),
        "admitted_total_p95_s": _quantile(
            [sample.total_s for sample in good], 0.95
        ),
        "refusal_p95_s": _quantile(refusal_times, 0.95),
        "refusals": dict(reasons),
    }


def _disable_admission(dispatcher) -> None:
    """Makes a dispatcher admit every call, in order of arrival.

    Neither the length of the queue nor the wait in it is limited.
    """

    def admit_all(account: str, cost: float, now: float) -> admit.Ticket:
        return admit.Ticket(account, 0, 0, 0.0)

    dispatcher.shares.admit = admit_all
    dispatcher.queue_length = 10**9


def quarantine(seed: int) -> list[dict[str, object]]:
    """Counts replicas of 16 instances that a repeated request crashes."""
    rows = []
    for crash_threshold in (2, 10**6):
        row = virtual.run(_quarantine(seed, crash_threshold))
        rows.append(row)
        click.echo(json.dumps(row))
    return rows


async def _quarantine(seed: int, crash_threshold: int) -> dict[str, object]:
    domains = tuple(
        spec_lib.DomainSpec(f"d{number}", f"zone-{number % 3}", 34)
        for number in range(4)
    )
    spec = spec_lib.WorldSpec(domains=domains, load_s=1.0)
    world = await _prepare(spec, seed, 8, 16, 1e6)
    for entry in world.entries.values():
        entry.node.quarantine.crash_threshold = crash_threshold
    harmless_calls = asyncio.ensure_future(
        _send_loads(world, [OfferedLoad(_STEADY_ACCOUNT, 20.0, 60)], 60.0, seed)
    )
    await asyncio.sleep(5.0)
    crashing_load = OfferedLoad(_FLOODING_ACCOUNT, 0.0, 10)
    reasons = []
    for _ in range(10):
        entry = world.rng.choice(world.live_entries())
        sample = await _send(world, entry, crashing_load, engine.CRASH_MARKER)
        reasons.append(sample.reason)
        await asyncio.sleep(3.0)
    samples = await harmless_calls
    return {
        "bench": "quarantine",
        "crashes_needed": crash_threshold,
        "sent": len(reasons),
        "replicas_lost": world.ledger.crashes_by_request,
        "neighbours": len(samples),
        "neighbours_quarantined": sum(
            1 for sample in samples if sample.reason == "quarantined"
        ),
        "neighbours_failed": sum(1 for sample in samples if sample.reason),
    }


def retries(seed: int) -> list[dict[str, object]]:
    """Measures dispatches per call while engines fail a share of the calls."""
    rows = []
    for failing_share in (0.2, 0.5, 0.9):
        for has_budget in (True, False):
            row = virtual.run(_retries(seed, failing_share, has_budget))
            rows.append(row)
            click.echo(json.dumps(row))
    return rows


async def _retries(
    seed: int, failing_share: float, has_budget: bool
) -> dict[str, object]:
    world = await _prepare(spec_lib.WorldSpec(load_s=1.0), seed, 2, 4, 1e6)
    if not has_budget:
        for entry in world.entries.values():
            entry.node.relay.budget.spend = lambda: True
    world.failing_share = failing_share
    dispatches_before = world.ledger.dispatches
    samples = await _send_loads(
        world, [OfferedLoad(_STEADY_ACCOUNT, 10.0, 10)], 30.0, seed
    )
    return {
        "bench": "retries",
        "failing_share": failing_share,
        "budget": "on" if has_budget else "off",
        "dispatches_per_call": round(
            (world.ledger.dispatches - dispatches_before) / len(samples), 2
        ),
        "whole_share": round(
            sum(1 for sample in samples if not sample.reason) / len(samples), 3
        ),
    }


def _plot(
    placement_rows: list[dict[str, object]],
    admission_rows: list[dict[str, object]],
) -> None:
    _OUTPUT_DIR.mkdir(exist_ok=True)
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(11, 4))
    for policy in place.POLICIES:
        rows = [row for row in placement_rows if row["policy"] == policy]
        left.plot(
            [row["lag_s"] for row in rows],
            [row["first_p95_s"] for row in rows],
            marker="o",
            label=policy,
        )
    left.set(xlabel="report lag, s", ylabel="first piece p95, s")
    left.legend()
    for state in ("on", "off"):
        rows = [row for row in admission_rows if row["admission"] == state]
        right.plot(
            [row["times"] for row in rows],
            [row["goodput_per_s"] for row in rows],
            marker="o",
            label=f"admission {state}",
        )
    right.set(xlabel="load over capacity", ylabel="good answers a second")
    right.legend()
    figure.tight_layout()
    figure.savefig(_OUTPUT_DIR / "requests.png")


@click.command()
@click.option("--seed", type=int, default=1, help="Seed of all random numbers.")
@click.option(
    "--duration-s",
    type=float,
    default=40.0,
    help="Duration of the load in placement and admission runs, in seconds.",
)
def main(seed: int, duration_s: float) -> None:
    """Prints a JSON line for each run and writes a plot."""
    logging.set_verbosity("fatal")
    placement_rows = placement(seed, duration_s)
    admission_rows = admission(seed, duration_s)
    quarantine(seed)
    retries(seed)
    _plot(placement_rows, admission_rows)


if __name__ == "__main__":
    main()
