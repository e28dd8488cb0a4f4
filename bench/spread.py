"""How fast a sheet is in force everywhere, and what peers cost each other.

Nodes run in one process and speak real gRPC over loopback; the platform is in
memory. Three ways to spread are compared: ours (push by the acceptor, pull by
the rest), pull alone, and polling the table alone.
"""

import asyncio
import dataclasses
import gc
import json
import pathlib
import random
import statistics
import time

import click
import grpc
from absl import logging

from tamarackpier import settings
from tamarackpier.daemon import node as node_lib
from tamarackpier.daemon import peers
from tamarackpier.platform import interfaces
from tamarackpier.sheet import model as sheet_model
from tamarackpier.sheet import parse
from tamarackpier.standin import memory
from tamarackpier.wire import peer_pb2_grpc

_FIRST_PORT = 21_000
_WARM_S = 4.0
_STEADY_S = 8.0
_CHANGES = 12
_SETTLE_S = 12.0
_WAYS = ("push-and-pull", "pull", "table")


@dataclasses.dataclass(frozen=True)
class Spread:
    """What spreading cost at one size.

    Attributes:
        way: How sheets were spread.
        nodes: How many entry instances.
        p50_s: Median time from acceptance to in force, over instances.
        p95_s: 95th percentile of it.
        max_s: The longest.
        bytes_per_s: Bytes sent and received by an instance each second.
        messages_per_s: Calls that an instance made each second.
        cpu_share: Part of a core that an instance used at rest.
        table_reads_per_s: Table reads of all instances each second.
        kib_per_node: Memory that one more instance took, in KiB.
    """

    way: str
    nodes: int
    p50_s: float
    p95_s: float
    max_s: float
    bytes_per_s: float
    messages_per_s: float
    cpu_share: float
    table_reads_per_s: float
    kib_per_node: float


class Cluster:
    """Entry instances in one process, without engines."""

    def __init__(self, count: int, accounts: int = 10) -> None:
        faults = memory.Faults()
        self.table = memory.MemoryTable(faults)
        self.objects = memory.MemoryObjects(faults)
        self.listed = memory.MemoryInstanceList()
        self.accounts = tuple(f"account-{each}" for each in range(accounts))
        self.nodes: list[node_lib.Node] = []
        self.servers: list[grpc.aio.Server] = []
        self.count = count

    async def start(self) -> None:
        """Starts the instances."""
        for number in range(self.count):
            found = self._node(number)
            server = grpc.aio.server()
            peer_pb2_grpc.add_PeerServicer_to_server(found.peer_service, server)
            server.add_insecure_port(found.settings.instance.peer_address)
            await server.start()
            self.nodes.append(found)
            self.servers.append(server)
            found.start()

    async def stop(self) -> None:
        """Stops the instances."""
        for found in self.nodes:
            await found.stop()
        for server in self.servers:
            await server.stop(0)

    def sheet(self, tokens: float) -> bytes:
        """Returns a sheet of one row an account."""
        now = float(int(time.time()) // 60 * 60)
        rows = [
            sheet_model.SheetRow(
                "event",
                now,
                now + 3600,
                "draft",
                "v1",
                2,
                4,
                account,
                tokens,
                10.0,
                1,
            )
            for account in self.accounts
        ]
        sheet = sheet_model.empty().with_rows(1, rows)
        return parse.to_csv(sheet).encode()

    def _node(self, number: int) -> node_lib.Node:
        name = f"entry-{number}"
        address = f"127.0.0.1:{_FIRST_PORT + number}"
        self.listed.instances[name] = interfaces.ListedInstance(
            name, "entry", f"zone-{number % 6}", "", f"{name}:1", address
        )
        key = settings.AccountSettings("0" * 64)
        found = settings.Settings(
            settings.InstanceSettings(
                name, f"zone-{number % 6}", f"{name}:1", address
            ),
            settings.PlatformSettings("http://platform"),
            settings.LimitSettings(),
            settings.TimingSettings(),
            settings.ObjectiveSettings(),
            {account: key for account in self.accounts},
            {"operator": key},
            {},
        )
        return node_lib.Node(
            found,
            self.table,
            self.objects,
            self.listed,
            None,
            None,
            peers.GrpcTransport(),
            random.Random(number),
        )


async def measure(way: str, count: int) -> Spread:
    """Measures one way at one size."""
    gc.collect()
    before_kib = _resident_kib()
    cluster = Cluster(count)
    await cluster.start()
    await asyncio.sleep(_WARM_S + count / 25)
    kib = (_resident_kib() - before_kib) / count
    for found in cluster.nodes:
        _limit(found, way)
    steady = await _steady(cluster)
    delays: list[float] = []
    for number in range(_CHANGES):
        delays += await _change(cluster, number)
    await cluster.stop()
    delays.sort()
    return Spread(
        way,
        count,
        round(statistics.median(delays), 4),
        round(delays[int(len(delays) * 0.95)], 4),
        round(delays[-1], 4),
        *steady,
        kib_per_node=round(kib, 1),
    )


def _limit(found: node_lib.Node, way: str) -> None:
    """Takes away the other ways to spread."""

    async def nothing(*_: object) -> None:
        return

    if way != "push-and-pull":
        found.sheets.announce = lambda *_: asyncio.ensure_future(nothing())
    if way == "table":
        found.gossip._pull_newer_sheet = nothing


async def _steady(cluster: Cluster) -> tuple[float, float, float, float]:
    names = ("peer_bytes", "peer_bytes_sent", "peer_messages")

    def total(name: str) -> int:
        return sum(each.metrics.counters[name] for each in cluster.nodes)

    before = {name: total(name) for name in names}
    reads, cpu = cluster.table.read_count, time.process_time()
    began = time.monotonic()
    await asyncio.sleep(_STEADY_S)
    passed = (time.monotonic() - began) * cluster.count
    spent = {name: (total(name) - before[name]) / passed for name in names}
    # What one instance asks for another one answers, so each side counts.
    bytes_per_s = 2 * (spent["peer_bytes"] + spent["peer_bytes_sent"])
    return (
        round(bytes_per_s, 1),
        round(2 * spent["peer_messages"], 2),
        round((time.process_time() - cpu) / passed, 5),
        round((cluster.table.read_count - reads) * cluster.count / passed, 2),
    )


async def _change(cluster: Cluster, number: int) -> list[float]:
    """Accepts one change; returns how late it was on each instance."""
    arrived: dict[str, float] = {}

    for found in cluster.nodes:
        name = found.settings.instance.id

        def note(name: str = name) -> None:
            arrived[name] = time.monotonic()

        found.sheets.on_change = note
    first = cluster.nodes[number % cluster.count]
    data = cluster.sheet(100.0 + number)
    done = await first.sheets.submit(data, "operator", None, False)
    assert done.unwrap().sheet.version == number + 1
    accepted_at = time.monotonic()
    deadline = accepted_at + _SETTLE_S
    while len(arrived) < cluster.count and time.monotonic() < deadline:
        await asyncio.sleep(0.005)
    late = [_SETTLE_S] * (cluster.count - len(arrived))
    return [max(0.0, at - accepted_at) for at in arrived.values()] + late


def _resident_kib() -> float:
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * 4.0


@click.command()
@click.option("--nodes", type=int, multiple=True, default=(3, 8, 25, 50, 100))
@click.option("--way", "ways", multiple=True, default=_WAYS)
def main(nodes: tuple[int, ...], ways: tuple[str, ...]) -> None:
    """Prints one JSON line for each way and size."""
    logging.set_verbosity("fatal")
    for way in ways:
        for count in nodes:
            found = asyncio.run(measure(way, count))
            click.echo(json.dumps(dataclasses.asdict(found)))


if __name__ == "__main__":
    main()
