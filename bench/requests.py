"""The request pipeline under load and faults, policies side by side.

Whole nodes among fakes, on a virtual clock: the same arrivals meet each
variant. Engines slow down with load, remember a few prompt prefixes and
report their load late.
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

_OUT = pathlib.Path("bench/out")
_READY_S = 120.0
_GROUPS = 48
_CALM, _FLOOD = spec_lib.ACCOUNTS


@dataclasses.dataclass(frozen=True)
class Sample:
    """One call as its caller saw it.

    Attributes:
        account: Who sent it.
        first_s: Time to the first piece; None if none came.
        total_s: Time to the end.
        reason: Empty when whole, else the result code's name.
    """

    account: str
    first_s: float | None
    total_s: float
    reason: str


@dataclasses.dataclass(frozen=True)
class Offer:
    """Arrivals of one account.

    Attributes:
        account: Who sends.
        rate_per_s: Calls a second.
        tokens: Tokens to ask for.
        deadline_s: Deadline of each call.
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
        assert world.clock() < _READY_S
    return world


async def _offer(
    world: world_lib.World, offers: list[Offer], duration_s: float, seed: int
) -> list[Sample]:
    """Sends all arrivals at their times and waits for the answers."""
    rng = random.Random(seed)
    moments = [
        (arrival.at_s, offer)
        for offer in offers
        for arrival in generator.arrivals(offer.rate_per_s, duration_s, rng)
    ]
    moments.sort(key=lambda each: each[0])
    began = world.clock()
    tasks = []
    for at_s, offer in moments:
        await asyncio.sleep(max(0.0, began + at_s - world.clock()))
        group = min(int(rng.paretovariate(0.8)) - 1, _GROUPS - 1)
        content = f"group-{group:02d}{'.' * 24}{rng.random()}"
        entry = world.rng.choice(world.live_entries())
        tasks.append(asyncio.ensure_future(_send(world, entry, offer, content)))
    return list(await asyncio.gather(*tasks))


async def _send(
    world: world_lib.World, entry: world_lib.Entry, offer: Offer, content: str
) -> Sample:
    node = entry.node
    messages = [{"role": "user", "content": content}]
    began = world.clock()
    call = spec_lib.make_call(
        world.rng, messages, offer.tokens, offer.account, began
    )
    call = dataclasses.replace(call, deadline=began + offer.deadline_s)
    version = node.version_for(offer.account, "draft")
    started = await node.relay.start(call, version)
    if not pipeline.is_successful(started):
        fault = started.failure()
        passed = world.clock() - began
        return Sample(offer.account, None, passed, fault.code.name)
    run = started.unwrap()
    first_s = world.clock() - began
    reason = ""
    try:
        while await run.read():
            pass
    except relay.RunFailedError as error:
        reason = error.fault.code.name
    finally:
        run.close()
    return Sample(offer.account, first_s, world.clock() - began, reason)


def _quantile(values: list[float], share: float) -> float:
    if not values:
        return math.nan
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(len(ordered) * share))], 4)


def placement(seed: int, duration_s: float) -> list[dict[str, object]]:
    """Compares placement policies over report lag, with one straggler."""
    rows = []
    for lag_s in (0.0, 0.5, 2.0):
        for name in place.POLICIES:
            row = virtual.run(_placement(seed, duration_s, lag_s, name))
            rows.append(row)
            click.echo(json.dumps(row))
    return rows


async def _placement(
    seed: int, duration_s: float, lag_s: float, name: str
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
        placement=name,
        load_s=1.0,
    )
    world = await _prepare(spec, seed, 12, 1, 1e6)
    world.farm.engines["d0-e0"].slowdown = 4.0
    # About two thirds of what 12 leads with 8 slots can carry.
    samples = await _offer(world, [Offer(_CALM, 38.0, 16)], duration_s, seed)
    firsts = [each.first_s for each in samples if each.first_s is not None]
    hits = world.farm.prefix_hits
    return {
        "bench": "placement",
        "lag_s": lag_s,
        "policy": name,
        "calls": len(samples),
        "failed": sum(1 for each in samples if each.reason),
        "first_p50_s": _quantile(firsts, 0.5),
        "first_p95_s": _quantile(firsts, 0.95),
        "first_p99_s": _quantile(firsts, 0.99),
        "prefix_hit_share": round(
            hits / max(1, hits + world.farm.prefix_misses), 3
        ),
    }


def admission(seed: int, duration_s: float) -> list[dict[str, object]]:
    """Compares admission with none at several times the capacity."""
    rows = []
    for times in (1, 2, 5, 10):
        for is_on in (True, False):
            row = virtual.run(_admission(seed, duration_s, times, is_on))
            rows.append(row)
            click.echo(json.dumps(row))
    return rows


async def _admission(
    seed: int, duration_s: float, times: int, is_on: bool
) -> dict[str, object]:
    spec = spec_lib.WorldSpec(slots=8, token_s=0.05, load_s=1.0)
    # Two leads with 8 slots, 20 tokens of 50 ms: about 15 calls a second.
    capacity = 15.0
    world = await _prepare(spec, seed, 2, 4, tokens_per_s=180.0)
    if not is_on:
        for entry in world.entries.values():
            _take_admission_away(entry.node.dispatcher)
    calm = Offer(_CALM, 0.25 * capacity, 20, 5.0)
    flood = Offer(_FLOOD, (times - 0.25) * capacity, 20, 5.0)
    offers = [calm, flood]
    if not is_on:
        offers = [dataclasses.replace(each, deadline_s=1e6) for each in offers]
    samples = await _offer(world, offers, duration_s, seed)
    good = [each for each in samples if not each.reason and each.total_s <= 5.0]
    calm_good = [each for each in good if each.account == _CALM]
    calm_sent = sum(1 for each in samples if each.account == _CALM)
    reasons = collections.Counter(
        each.reason for each in samples if each.reason
    )
    refusal_s = [each.total_s for each in samples if each.reason]
    return {
        "bench": "admission",
        "times": times,
        "admission": "on" if is_on else "off",
        "goodput_per_s": round(len(good) / duration_s, 2),
        "calm_good_share": round(len(calm_good) / max(1, calm_sent), 3),
        "admitted_total_p95_s": _quantile(
            [each.total_s for each in good], 0.95
        ),
        "refusal_p95_s": _quantile(refusal_s, 0.95),
        "refusals": dict(reasons),
    }


def _take_admission_away(dispatcher) -> None:
    """First come, first served, however long the queue and the wait."""

    def admit_all(account: str, cost: float, now: float) -> admit.Ticket:
        return admit.Ticket(account, 0, 0, 0.0)

    dispatcher.shares.admit = admit_all
    dispatcher.queue_length = 10**9


def quarantine(seed: int) -> list[dict[str, object]]:
    """Counts replicas of 16 lost to one request that its caller repeats."""
    rows = []
    for needed in (2, 10**6):
        row = virtual.run(_quarantine(seed, needed))
        rows.append(row)
        click.echo(json.dumps(row))
    return rows


async def _quarantine(seed: int, needed: int) -> dict[str, object]:
    domains = tuple(
        spec_lib.DomainSpec(f"d{number}", f"zone-{number % 3}", 34)
        for number in range(4)
    )
    spec = spec_lib.WorldSpec(domains=domains, load_s=1.0)
    world = await _prepare(spec, seed, 8, 16, 1e6)
    for entry in world.entries.values():
        entry.node.quarantine.crash_threshold = needed
    neighbours = asyncio.ensure_future(
        _offer(world, [Offer(_CALM, 20.0, 60)], 60.0, seed)
    )
    await asyncio.sleep(5.0)
    deadly = Offer(_FLOOD, 0.0, 10)
    reasons = []
    for _ in range(10):
        entry = world.rng.choice(world.live_entries())
        found = await _send(world, entry, deadly, engine.CRASH_MARKER)
        reasons.append(found.reason)
        await asyncio.sleep(3.0)
    samples = await neighbours
    return {
        "bench": "quarantine",
        "crashes_needed": needed,
        "sent": len(reasons),
        "replicas_lost": world.ledger.crashes_by_request,
        "neighbours": len(samples),
        "neighbours_quarantined": sum(
            1 for each in samples if each.reason == "quarantined"
        ),
        "neighbours_failed": sum(1 for each in samples if each.reason),
    }


def retries(seed: int) -> list[dict[str, object]]:
    """Measures dispatches per call while engines fail a share of calls."""
    rows = []
    for share in (0.2, 0.5, 0.9):
        for is_on in (True, False):
            row = virtual.run(_retries(seed, share, is_on))
            rows.append(row)
            click.echo(json.dumps(row))
    return rows


async def _retries(seed: int, share: float, is_on: bool) -> dict[str, object]:
    world = await _prepare(spec_lib.WorldSpec(load_s=1.0), seed, 2, 4, 1e6)
    if not is_on:
        for entry in world.entries.values():
            entry.node.relay.budget.spend = lambda: True
    world.failing_share = share
    before = world.ledger.dispatches
    samples = await _offer(world, [Offer(_CALM, 10.0, 10)], 30.0, seed)
    return {
        "bench": "retries",
        "failing_share": share,
        "budget": "on" if is_on else "off",
        "dispatches_per_call": round(
            (world.ledger.dispatches - before) / len(samples), 2
        ),
        "whole_share": round(
            sum(1 for each in samples if not each.reason) / len(samples), 3
        ),
    }


def _plot(
    placed: list[dict[str, object]], admitted: list[dict[str, object]]
) -> None:
    _OUT.mkdir(exist_ok=True)
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(11, 4))
    for name in place.POLICIES:
        rows = [each for each in placed if each["policy"] == name]
        left.plot(
            [each["lag_s"] for each in rows],
            [each["first_p95_s"] for each in rows],
            marker="o",
            label=name,
        )
    left.set(xlabel="report lag, s", ylabel="first piece p95, s")
    left.legend()
    for state in ("on", "off"):
        rows = [each for each in admitted if each["admission"] == state]
        right.plot(
            [each["times"] for each in rows],
            [each["goodput_per_s"] for each in rows],
            marker="o",
            label=f"admission {state}",
        )
    right.set(xlabel="load over capacity", ylabel="good answers a second")
    right.legend()
    figure.tight_layout()
    figure.savefig(_OUT / "requests.png")


@click.command()
@click.option("--seed", type=int, default=1, help="Seed of all chance.")
@click.option("--duration-s", type=float, default=40.0, help="Of each run.")
def main(seed: int, duration_s: float) -> None:
    """Runs all comparisons; one JSON line each, and a plot."""
    logging.set_verbosity("fatal")
    placed = placement(seed, duration_s)
    admitted = admission(seed, duration_s)
    quarantine(seed)
    retries(seed)
    _plot(placed, admitted)


if __name__ == "__main__":
    main()
