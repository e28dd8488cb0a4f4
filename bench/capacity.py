"""Measures how the cost of control work grows with the size of a deployment.

Each cost is measured at four or more sizes, and a line is fitted by least
squares. The residual is the largest distance of a measurement from the line,
relative to the largest measurement. The results file contains all measurements
that docs/CAPACITY.md quotes, from which it derives the cost at the two-year
size.
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

_OUTPUT_PATH = pathlib.Path("docs/capacity.json")
_PROBING_DURATION_S = 5.0
_REPEATS = 20


@dataclasses.dataclass(frozen=True)
class Slope:
    """A line fitted to measurements at several sizes.

    Attributes:
        name: Measured quantity.
        of: Quantity whose size was varied.
        unit: Unit of the measured values.
        sizes: Sizes at which the quantity was measured.
        values: Measured value at each size.
        base: Value of the line at size 0.
        slope: Increase of the line per unit of size.
        residual: Largest distance of a value from the line, divided by the
            largest absolute value.
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
        """Returns the value of the line at a size."""
        return self.base + self.slope * size


def fit(
    name: str, of: str, unit: str, sizes: list[float], values: list[float]
) -> Slope:
    """Fits a line to measured values by least squares."""
    slope, base = np.polyfit(np.array(sizes), np.array(values), 1)
    fitted = base + slope * np.array(sizes)
    max_distance = float(np.max(np.abs(fitted - np.array(values))))
    residual = max_distance / max(max(map(abs, values)), 1e-12)
    return Slope(
        name,
        of,
        unit,
        sizes,
        [float(f"{value:.5g}") for value in values],
        float(f"{base:.4g}"),
        float(f"{slope:.4g}"),
        round(residual, 3),
    )


def _min_cpu_s(
    function: Callable[[], object], repeats: int = _REPEATS
) -> float:
    """Returns the minimum CPU time of several calls, in seconds."""
    minimum_s = float("inf")
    for _ in range(repeats):
        started_at = time.process_time()
        function()
        minimum_s = min(minimum_s, time.process_time() - started_at)
    return minimum_s


def _listed_engines(
    count: int, address: str = "http://x"
) -> dict[str, interfaces.ListedInstance]:
    return {
        f"d-e{number:04d}": interfaces.ListedInstance(
            f"d-e{number:04d}", "engine", "zone-a", "d", address
        )
        for number in range(count)
    }


def _ready_report(instance_id: str) -> model.EngineReport:
    return model.EngineReport(
        instance_id,
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
    """Measures the CPU time to plan as many replicas as fit in a domain."""
    sizes = [16.0, 64.0, 128.0, 256.0, 512.0]
    objective_policy = policy.create("objective", policy.Objective())
    values = []
    for size in sizes:
        engines = _listed_engines(int(size))
        snapshot = view.DomainView(
            "d",
            100.0,
            engines,
            {name: _ready_report(name) for name in engines},
            {},
            {},
            (model.Target("draft", "v1", 16, int(size) // 16),),
            2.5,
        )
        values.append(
            1e6
            * _min_cpu_s(
                functools.partial(planner.plan, snapshot, objective_policy)
            )
        )
    return fit("plan", "engines in a domain", "us", sizes, values)


def apportion_slope() -> Slope:
    """Measures the CPU time to divide replicas over domains."""
    sizes = [4.0, 16.0, 48.0, 97.0]
    values = []
    for size in sizes:
        holding = {("draft", "v1", 16): 4}
        capacities = [
            schedule.DomainCapacity(
                f"d{number:03d}", f"z{number % 6}", 64, 64, holding
            )
            for number in range(int(size))
        ]
        wanted = {("draft", "v1", 16): int(size) * 4}
        apportion = functools.partial(schedule.apportion, wanted, capacities)
        values.append(1e3 * _min_cpu_s(apportion, 3))
    return fit("apportion", "domains", "ms", sizes, values)


def evidence_slopes() -> list[Slope]:
    """Measures the size, CPU time and memory of evidence of replicas."""
    sizes = [24.0, 96.0, 388.0, 776.0]
    wire_bytes, cpu_ms, memory_kib = [], [], []
    for size in sizes:
        items = [
            gate.Evidence(
                f"fabric-{number // 4:03d}.{number + 2**21}",
                f"fabric-{number // 4:03d}",
                f"zone-{number % 6}",
                "draft",
                "v1",
                number + 2**21,
                True,
                16,
                f"fabric-{number // 4:03d}-e{number % 64:02d}",
                f"http://10.{number // 250}.0.{number % 250}:8000",
                9,
                64,
                1.0,
            )
            for number in range(int(size))
        ]

        def transfer(items: list[gate.Evidence] = items) -> gate.Gate:
            reply = peer_pb2.ExchangeReply(
                evidence=[codec.evidence_to_wire(item, 2.0) for item in items]
            )
            data = reply.SerializeToString()
            parsed = peer_pb2.ExchangeReply.FromString(data)
            receiver = gate.Gate(2.5)
            for message in parsed.evidence:
                receiver.add(codec.evidence_from_wire(message, 2.0))
            return receiver

        wire_bytes.append(
            float(
                peer_pb2.ExchangeReply(
                    evidence=[
                        codec.evidence_to_wire(item, 2.0) for item in items
                    ]
                ).ByteSize()
            )
        )
        cpu_ms.append(1e3 * _min_cpu_s(transfer))
        memory_kib.append(_memory_kib(transfer))
    return [
        fit("evidence on the wire", "replicas", "bytes", sizes, wire_bytes),
        fit(
            "evidence, written, read and kept", "replicas", "ms", sizes, cpu_ms
        ),
        fit("evidence kept", "replicas", "KiB", sizes, memory_kib),
    ]


def member_slopes() -> list[Slope]:
    """Measures memory and wire size of peer records, and an update's time."""
    sizes = [10.0, 100.0, 330.0, 660.0]
    memory_kib, cpu_ms, wire_bytes = [], [], []
    for size in sizes:

        def build(count: int = int(size)) -> membership.Members:
            local_record = _peer_record(0)
            members = membership.Members(local_record, 3.0)
            members.merge(map(_peer_record, range(1, count)), 1.0)
            members.update_liveness(1.0)
            return members

        members = build()
        memory_kib.append(_memory_kib(build))
        cpu_ms.append(
            1e3 * _min_cpu_s(functools.partial(members.update_liveness, 2.0))
        )
        request = peer_pb2.ExchangeRequest(
            known=[
                peer_pb2.Known(
                    id=peer_id, incarnation=freshness[0], revision=freshness[1]
                )
                for peer_id, freshness in members.freshness_by_id().items()
            ]
        )
        wire_bytes.append(float(request.ByteSize()))
    return [
        fit("records kept", "entry instances", "KiB", sizes, memory_kib),
        fit("review", "entry instances", "ms", sizes, cpu_ms),
        fit(
            "full exchange's list",
            "entry instances",
            "bytes",
            sizes,
            wire_bytes,
        ),
    ]


def _peer_record(number: int) -> membership.PeerRecord:
    demand = {
        f"account-{index}": membership.AccountDemand(500.0, 2.0)
        for index in range(10)
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
    """Measures the CPU time to update shares and to admit requests."""
    sizes = [10.0, 100.0, 400.0, 1000.0]
    update_ms, admission_ms = [], []
    for size in sizes:
        shares = admit.AccountShares()
        capacities = {
            f"account-{number}": admit.AccountCapacity(100.0, 10.0, 1)
            for number in range(int(size))
        }
        peers = [_peer_record(number) for number in range(1, 33)]
        update_ms.append(
            1e3
            * _min_cpu_s(
                functools.partial(shares.update, capacities, peers, 1.0)
            )
        )

        def admit_requests(
            shares: admit.AccountShares = shares, count: int = int(size)
        ) -> None:
            for number in range(1000):
                shares.admit(f"account-{number % count}", 10.0, 2.0)

        admission_ms.append(1e3 * _min_cpu_s(admit_requests))
    return [
        fit("update of shares", "accounts", "ms", sizes, update_ms),
        fit("1000 admissions", "accounts", "ms", sizes, admission_ms),
    ]


def _memory_kib(build: Callable[[], object]) -> float:
    """Returns the memory that a new object occupies, in KiB."""
    gc.collect()
    tracemalloc.start()
    built = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert built is not None
    return size / 1024


async def _probe_slopes() -> list[Slope]:
    """Measures the CPU share of probing engines over HTTP without load."""
    sizes = [16.0, 64.0, 128.0, 256.0]
    cpu_shares = []
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
            cpu_shares.append(
                await _probe_cpu_share(watcher, timing.probe_period_s)
            )
            watcher.close()
    return [fit("probing", "engines watched", "core", sizes, cpu_shares)]


async def _probe_cpu_share(
    watcher: domains.DomainWatcher, period_s: float
) -> float:
    """Returns the share of a core that a watcher's probes use."""
    for _ in range(4):
        watcher.start_probes()
        await asyncio.sleep(period_s)
    cpu_before, started_at = time.process_time(), time.monotonic()
    while time.monotonic() - started_at < _PROBING_DURATION_S:
        watcher.start_probes()
        watcher.evidence()
        await asyncio.sleep(period_s)
    assert len(watcher.reports) == len(watcher.engines)
    return (time.process_time() - cpu_before) / (time.monotonic() - started_at)


def spread_slopes(sizes: tuple[int, ...]) -> list[Slope]:
    """Measures the cost of idle instances and the delay of new sheets.

    All entry instances run in one process and communicate over gRPC.
    """
    measurements = [
        asyncio.run(spread.measure("push-and-pull", size)) for size in sizes
    ]
    instance_counts = [float(size) for size in sizes]

    def fit_field(name: str, field: str, unit: str) -> Slope:
        values = [
            float(getattr(measurement, field)) for measurement in measurements
        ]
        return fit(name, "entry instances", unit, instance_counts, values)

    return [
        fit_field("peers at rest", "bytes_per_s", "bytes/s"),
        fit_field("peers at rest", "cpu_share", "core"),
        fit_field("peers at rest", "messages_per_s", "messages/s"),
        fit_field("in force, slowest instance", "max_s", "s"),
    ]


def _revision() -> str:
    """Returns the abbreviated Git commit hash of HEAD, or "unknown"."""
    head = pathlib.Path(".git/HEAD").read_text().strip()
    if head.startswith("ref: "):
        path = pathlib.Path(".git") / head.removeprefix("ref: ")
        head = path.read_text().strip() if path.exists() else "unknown"
    return head[:12]


@click.command()
@click.option("--seed", type=int, default=1, help="Seed of all random numbers.")
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
    for slope in slopes:
        click.echo(json.dumps(dataclasses.asdict(slope)))
    document = {
        "seed": seed,
        "revision": _revision(),
        "slopes": [dataclasses.asdict(slope) for slope in slopes],
    }
    _OUTPUT_PATH.write_text(json.dumps(document, indent=1) + "\n")


if __name__ == "__main__":
    main()
