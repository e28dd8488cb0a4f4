"""Slopes of control work, fitted, and what they give at the two-year size.

Each slope is measured at four sizes or more and fitted by least squares; the
residual is the largest relative distance of a measurement from its fit. The
results file holds everything that docs/CAPACITY.md quotes.
"""

import asyncio
import dataclasses
import functools
import gc
import json
import pathlib
import random
import time
import tracemalloc
from collections.abc import Callable

import aiohttp
import click
import numpy as np
from absl import logging

from bench import spread
from tamarackpier import invariants, metrics, settings
from tamarackpier.daemon import domains
from tamarackpier.peer import codec, membership
from tamarackpier.platform import interfaces
from tamarackpier.replica import gate, model, planner, policy, schedule, view
from tamarackpier.request import admit
from tamarackpier.standin import memory
from tamarackpier.upstream import engine
from tamarackpier.wire import peer_pb2

_OUT = pathlib.Path("docs/capacity.json")
_PROBE_S = 5.0
_REPEATS = 20


@dataclasses.dataclass(frozen=True)
class Slope:
    """A line through measurements.

    Attributes:
        name: What was measured.
        of: What it was measured against.
        unit: Unit of the measured value.
        sizes: Where it was measured.
        values: What was measured.
        base: Value of the line at 0.
        slope: Its rise for each unit of size.
        residual: Largest distance of a value from the line, over the largest
            value.
    """

    name: str
    of: str
    unit: str
    sizes: list[float]
    values: list[float]
    base: float
    slope: float
    residual: float

    def at(self, size: float) -> float:
        """Returns the line's value at a size."""
        return self.base + self.slope * size


def fit(
    name: str, of: str, unit: str, sizes: list[float], values: list[float]
) -> Slope:
    """Fits a line by least squares."""
    slope, base = np.polyfit(np.array(sizes), np.array(values), 1)
    line = base + slope * np.array(sizes)
    worst = float(np.max(np.abs(line - np.array(values))))
    residual = worst / max(max(map(abs, values)), 1e-12)
    return Slope(
        name,
        of,
        unit,
        sizes,
        [float(f"{each:.5g}") for each in values],
        float(f"{base:.4g}"),
        float(f"{slope:.4g}"),
        round(residual, 3),
    )


def _timed(work: Callable[[], object], repeats: int = _REPEATS) -> float:
    """Returns the least CPU time of some work, in seconds."""
    best = float("inf")
    for _ in range(repeats):
        began = time.process_time()
        work()
        best = min(best, time.process_time() - began)
    return best


def _listed(
    count: int, address: str = "http://x"
) -> dict[str, interfaces.ListedInstance]:
    return {
        f"d-e{number:04d}": interfaces.ListedInstance(
            f"d-e{number:04d}", "engine", "zone-a", "d", address
        )
        for number in range(count)
    }


def _report(name: str) -> model.EngineReport:
    return model.EngineReport(
        name,
        "boot",
        model.EngineState.READY,
        "",
        0,
        (),
        "draft",
        "v1",
        0,
        16,
        100.0,
    )


def plan_slope() -> Slope:
    """Measures one plan of a domain that forms all it can."""
    sizes = [16.0, 64.0, 128.0, 256.0, 512.0]
    chosen = policy.create("objective", policy.Objective())
    values = []
    for size in sizes:
        engines = _listed(int(size))
        found = view.DomainView(
            "d",
            100.0,
            engines,
            {name: _report(name) for name in engines},
            {},
            {},
            (model.Target("draft", "v1", 16, int(size) // 16),),
            2.5,
        )
        values.append(
            1e6 * _timed(functools.partial(planner.plan, found, chosen))
        )
    return fit("plan", "engines in a domain", "us", sizes, values)


def apportion_slope() -> Slope:
    """Measures the division of replicas over domains."""
    sizes = [4.0, 16.0, 48.0, 97.0]
    values = []
    for size in sizes:
        held = {("draft", "v1", 16): 4}
        capacities = [
            schedule.DomainCapacity(f"d{n:03d}", f"z{n % 6}", 64, 64, held)
            for n in range(int(size))
        ]
        wanted = {("draft", "v1", 16): int(size) * 4}
        work = functools.partial(schedule.apportion, wanted, capacities)
        values.append(1e3 * _timed(work, 3))
    return fit("apportion", "domains", "ms", sizes, values)


def evidence_slopes() -> list[Slope]:
    """Measures evidence of replicas: bytes, CPU time and memory."""
    sizes = [24.0, 96.0, 388.0, 776.0]
    sent, took, kept = [], [], []
    for size in sizes:
        items = [
            gate.Evidence(
                f"fabric-{n // 4:03d}.{n + 2**21}",
                f"fabric-{n // 4:03d}",
                f"zone-{n % 6}",
                "draft",
                "v1",
                n + 2**21,
                True,
                16,
                f"fabric-{n // 4:03d}-e{n % 64:02d}",
                f"http://10.{n // 250}.0.{n % 250}:8000",
                9,
                64,
                1.0,
            )
            for n in range(int(size))
        ]

        def carry(items: list[gate.Evidence] = items) -> gate.Gate:
            reply = peer_pb2.ExchangeReply(
                evidence=[codec.evidence_to_wire(each, 2.0) for each in items]
            )
            data = reply.SerializeToString()
            again = peer_pb2.ExchangeReply.FromString(data)
            found = gate.Gate(2.5)
            for each in again.evidence:
                found.add(codec.evidence_from_wire(each, 2.0))
            return found

        sent.append(
            float(
                peer_pb2.ExchangeReply(
                    evidence=[codec.evidence_to_wire(e, 2.0) for e in items]
                ).ByteSize()
            )
        )
        took.append(1e3 * _timed(carry))
        kept.append(_memory_kib(carry))
    return [
        fit("evidence on the wire", "replicas", "bytes", sizes, sent),
        fit("evidence, written, read and kept", "replicas", "ms", sizes, took),
        fit("evidence kept", "replicas", "KiB", sizes, kept),
    ]


def member_slopes() -> list[Slope]:
    """Measures the peers' records: bytes, memory, time of an update."""
    sizes = [10.0, 100.0, 330.0, 660.0]
    kept, took, sent = [], [], []
    for size in sizes:

        def build(count: int = int(size)) -> membership.Members:
            own = _record(0)
            found = membership.Members(own, 3.0)
            found.merge(map(_record, range(1, count)), 1.0)
            found.update_liveness(1.0)
            return found

        found = build()
        kept.append(_memory_kib(build))
        took.append(1e3 * _timed(functools.partial(found.update_liveness, 2.0)))
        known = peer_pb2.ExchangeRequest(
            known=[
                peer_pb2.Known(id=name, incarnation=each[0], revision=each[1])
                for name, each in found.freshness_by_id().items()
            ]
        )
        sent.append(float(known.ByteSize()))
    return [
        fit("records kept", "entry instances", "KiB", sizes, kept),
        fit("review", "entry instances", "ms", sizes, took),
        fit("full exchange's list", "entry instances", "bytes", sizes, sent),
    ]


def _record(number: int) -> membership.PeerRecord:
    demand = {
        f"account-{each}": membership.AccountDemand(500.0, 2.0)
        for each in range(10)
    }
    return membership.PeerRecord(
        f"entry-{number}",
        1_800_000_000_000,
        7,
        f"zone-{number % 6}",
        "region-1",
        f"10.0.{number // 250}.{number % 250}:8441",
        f"10.0.{number // 250}.{number % 250}:8451",
        demand=demand,
    )


def admission_slopes() -> list[Slope]:
    """Measures shares of accounts."""
    sizes = [10.0, 100.0, 400.0, 1000.0]
    updates, admits = [], []
    for size in sizes:
        shares = admit.AccountShares()
        found = {
            f"account-{n}": admit.AccountCapacity(100.0, 10.0, 1)
            for n in range(int(size))
        }
        peers = [_record(number) for number in range(1, 33)]
        updates.append(
            1e3 * _timed(functools.partial(shares.update, found, peers, 1.0))
        )

        def admit_all(
            shares: admit.AccountShares = shares, count: int = int(size)
        ) -> None:
            for number in range(1000):
                shares.admit(f"account-{number % count}", 10.0, 2.0)

        admits.append(1e3 * _timed(admit_all))
    return [
        fit("update of shares", "accounts", "ms", sizes, updates),
        fit("1000 admissions", "accounts", "ms", sizes, admits),
    ]


def _memory_kib(build: Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    kept = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert kept is not None
    return size / 1024


async def _probe_slopes() -> list[Slope]:
    """Measures probing over HTTP: CPU share and bytes, at rest."""
    sizes = [16.0, 64.0, 128.0, 256.0]
    shares = []
    timing = settings.TimingSettings()
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        for size in sizes:
            dependencies = domains.Dependencies(
                memory.MemoryTable(),
                engine.HttpEngineClient(session, 1.0, 2.0),
                timing,
                policy.create("objective", policy.Objective()),
                metrics.Metrics(),
                invariants.Invariants(),
                time.monotonic,
            )
            watcher = domains.DomainWatcher("d", dependencies)
            for number in range(int(size)):
                domain = 1 + number // 128
                name = f"fabric-{domain}-e{number % 128}"
                watcher.engines[name] = interfaces.ListedInstance(
                    name,
                    "engine",
                    "zone-a",
                    "d",
                    f"http://127.0.0.1:{8610 + domain}/engines/{name}",
                )
            shares.append(await _probe(watcher, timing.probe_period_s))
            watcher.close()
    return [fit("probing", "engines watched", "core", sizes, shares)]


async def _probe(watcher: domains.DomainWatcher, period_s: float) -> float:
    for _ in range(4):
        watcher.start_probes()
        await asyncio.sleep(period_s)
    cpu, began = time.process_time(), time.monotonic()
    while time.monotonic() - began < _PROBE_S:
        watcher.start_probes()
        watcher.evidence()
        await asyncio.sleep(period_s)
    assert len(watcher.reports) == len(watcher.engines)
    return (time.process_time() - cpu) / (time.monotonic() - began)


def spread_slopes(sizes: tuple[int, ...]) -> list[Slope]:
    """Measures what peers cost at rest, in one process over gRPC."""
    found = [
        asyncio.run(spread.measure("push-and-pull", size)) for size in sizes
    ]
    places = [float(size) for size in sizes]

    def line(name: str, field: str, unit: str) -> Slope:
        values = [float(getattr(each, field)) for each in found]
        return fit(name, "entry instances", unit, places, values)

    return [
        line("peers at rest", "bytes_per_s", "bytes/s"),
        line("peers at rest", "cpu_share", "core"),
        line("peers at rest", "messages_per_s", "messages/s"),
        line("in force, slowest instance", "max_s", "s"),
    ]


def _revision() -> str:
    """Returns the revision that was measured."""
    head = pathlib.Path(".git/HEAD").read_text().strip()
    if head.startswith("ref: "):
        path = pathlib.Path(".git") / head.removeprefix("ref: ")
        head = path.read_text().strip() if path.exists() else "unknown"
    return head[:12]


@click.command()
@click.option("--seed", type=int, default=1, help="Seed of all chance.")
def main(seed: int) -> None:
    """Measures all slopes and writes docs/capacity.json."""
    logging.set_verbosity("fatal")
    random.seed(seed)
    slopes = [
        *asyncio.run(_probe_slopes()),
        *spread_slopes((8, 16, 25, 32)),
        *spread_slopes((40, 60, 80, 100)),
        plan_slope(),
        apportion_slope(),
        *evidence_slopes(),
        *member_slopes(),
        *admission_slopes(),
    ]
    for each in slopes:
        click.echo(json.dumps(dataclasses.asdict(each)))
    document = {
        "seed": seed,
        "revision": _revision(),
        "slopes": [dataclasses.asdict(each) for each in slopes],
    }
    _OUT.write_text(json.dumps(document, indent=1) + "\n")


if __name__ == "__main__":
    main()
