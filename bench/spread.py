"""Measures how fast a sheet reaches all instances and what idle ones cost.

The entry instances run as nodes in one process and call each other with real
gRPC over loopback; the platform is a stand-in in memory. Three ways to
distribute a sheet are compared:

* `push-and-pull`, which the product uses: the instance that accepted the sheet
  pushes it to its peers, and the other instances also pull newer sheets.
* `pull`: instances pull newer sheets from their peers.
* `table`: instances only poll the table, which they also do in the other ways.
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
# Time between the start of the instances and the first measurement. It is
# longer by 1 s for every 25 instances.
_WARM_UP_S = 4.0
_STEADY_STATE_S = 8.0
# Number of sheets that are submitted in a measurement.
_CHANGES = 12
# Time after which the wait for a sheet ends. It is also the delay that counts
# for an instance that does not have the sheet by then.
_ARRIVAL_TIMEOUT_S = 12.0
_WAYS = ("push-and-pull", "pull", "table")


@dataclasses.dataclass(frozen=True)
class Measurement:
    """Delay and cost of distributing sheets among a number of instances.

    Attributes:
        way: How sheets were distributed, one of `_WAYS`.
        nodes: Number of entry instances.
        p50_s: Median time from the acceptance of a sheet until an instance has
            it in force, over all changes and instances.
        p95_s: 95th percentile of that time.
        max_s: Longest such time.
        bytes_per_s: Bytes sent and received by an instance per second, without
            changes of the sheet.
        messages_per_s: Calls made and answered by an instance per second,
            without changes of the sheet.
        cpu_share: Cores used by an instance without changes of the sheet.
        table_reads_per_s: Table reads of all instances per second, without
            changes of the sheet.
        kib_per_node: Resident memory per instance, in KiB.
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
    """Entry instances in one process, without engines.

    Attributes:
        table: Table of the platform, in memory.
        objects: Object store of the platform, in memory.
        instance_list: The platform's list of instances.
        accounts: Client accounts, each with a row in every sheet.
        nodes: The nodes of the instances.
        servers: gRPC servers of the nodes, in the same order.
        count: Number of instances.
    """

    def __init__(self, count: int, accounts: int = 10) -> None:
        faults = memory.Faults()
        self.table = memory.MemoryTable(faults)
        self.objects = memory.MemoryObjects(faults)
        self.instance_list = memory.MemoryInstanceList()
        self.accounts = tuple(f"account-{index}" for index in range(accounts))
        self.nodes: list[node_lib.Node] = []
        self.servers: list[grpc.aio.Server] = []
        self.count = count

    async def start(self) -> None:
        """Starts the instances."""
        for number in range(self.count):
            node = self._create_node(number)
            server = grpc.aio.server()
            peer_pb2_grpc.add_PeerServicer_to_server(node.peer_service, server)
            server.add_insecure_port(node.settings.instance.peer_address)
            await server.start()
            self.nodes.append(node)
            self.servers.append(server)
            node.start()

    async def stop(self) -> None:
        """Stops the instances."""
        for node in self.nodes:
            await node.stop()
        for server in self.servers:
            await server.stop(0)

    def sheet(self, tokens_per_s: float) -> bytes:
        """Returns a CSV sheet with one row per account.

        Args:
            tokens_per_s: Reserved rate of generated tokens in each row.
        """
        starts_at = float(int(time.time()) // 60 * 60)
        rows = [
            sheet_model.SheetRow(
                "event",
                starts_at,
                starts_at + 3600,
                "draft",
                "v1",
                2,
                4,
                account,
                tokens_per_s,
                10.0,
                1,
            )
            for account in self.accounts
        ]
        sheet = sheet_model.empty().with_rows(1, rows)
        return parse.to_csv(sheet).encode()

    def _create_node(self, number: int) -> node_lib.Node:
        """Adds an instance to the platform's list and returns its node."""
        name = f"entry-{number}"
        address = f"127.0.0.1:{_FIRST_PORT + number}"
        self.instance_list.instances[name] = interfaces.ListedInstance(
            name, "entry", f"zone-{number % 6}", "", f"{name}:1", address
        )
        key = settings.AccountSettings("0" * 64)
        node_settings = settings.Settings(
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
            node_settings,
            self.table,
            self.objects,
            self.instance_list,
            None,
            None,
            peers.GrpcTransport(),
            random.Random(number),
        )


async def measure(way: str, count: int) -> Measurement:
    """Measures one way of distributing sheets.

    Args:
        way: One of `_WAYS`.
        count: Number of entry instances.
    """
    gc.collect()
    initial_kib = _resident_kib()
    cluster = Cluster(count)
    await cluster.start()
    await asyncio.sleep(_WARM_UP_S + count / 25)
    kib_per_node = (_resident_kib() - initial_kib) / count
    for node in cluster.nodes:
        _disable_other_ways(node, way)
    steady_state = await _measure_steady_state(cluster)
    delays_s: list[float] = []
    for number in range(_CHANGES):
        delays_s += await _measure_change(cluster, number)
    await cluster.stop()
    delays_s.sort()
    return Measurement(
        way,
        count,
        round(statistics.median(delays_s), 4),
        round(delays_s[int(len(delays_s) * 0.95)], 4),
        round(delays_s[-1], 4),
        *steady_state,
        kib_per_node=round(kib_per_node, 1),
    )


def _disable_other_ways(node: node_lib.Node, way: str) -> None:
    """Disables all other ways of distributing sheets on a node."""

    async def do_nothing(*_: object) -> None:
        return

    if way != "push-and-pull":
        node.sheets.announce = lambda *_: asyncio.ensure_future(do_nothing())
    if way == "table":
        node.gossip._pull_newer_sheet = do_nothing


async def _measure_steady_state(
    cluster: Cluster,
) -> tuple[float, float, float, float]:
    """Measures the cost of the nodes without changes of the sheet.

    Returns:
        Bytes, messages and processor seconds of one instance per second, and
        table reads of all instances per second.
    """
    names = ("peer_bytes", "peer_bytes_sent", "peer_messages")

    def total(name: str) -> int:
        return sum(node.metrics.counters[name] for node in cluster.nodes)

    initial_totals = {name: total(name) for name in names}
    initial_reads, initial_cpu_s = (
        cluster.table.read_count,
        time.process_time(),
    )
    began_at = time.monotonic()
    await asyncio.sleep(_STEADY_STATE_S)
    # Measured time, added up over all instances.
    instance_s = (time.monotonic() - began_at) * cluster.count
    rates = {
        name: (total(name) - initial_totals[name]) / instance_s
        for name in names
    }
    # The counters cover only the calls that an instance makes. It also answers
    # as many calls of its peers on average, so the rates are doubled.
    bytes_per_s = 2 * (rates["peer_bytes"] + rates["peer_bytes_sent"])
    return (
        round(bytes_per_s, 1),
        round(2 * rates["peer_messages"], 2),
        round((time.process_time() - initial_cpu_s) / instance_s, 5),
        round(
            (cluster.table.read_count - initial_reads)
            * cluster.count
            / instance_s,
            2,
        ),
    )


async def _measure_change(cluster: Cluster, number: int) -> list[float]:
    """Submits a sheet and returns its delay on each instance, in seconds.

    Args:
        cluster: Entry instances.
        number: Number of sheets that were submitted before.
    """
    arrivals: dict[str, float] = {}

    for node in cluster.nodes:
        name = node.settings.instance.id

        def record_arrival(name: str = name) -> None:
            arrivals[name] = time.monotonic()

        node.sheets.on_change = record_arrival
    acceptor = cluster.nodes[number % cluster.count]
    data = cluster.sheet(100.0 + number)
    submission = await acceptor.sheets.submit(data, "operator", None, False)
    assert submission.unwrap().sheet.version == number + 1
    accepted_at = time.monotonic()
    deadline = accepted_at + _ARRIVAL_TIMEOUT_S
    while len(arrivals) < cluster.count and time.monotonic() < deadline:
        await asyncio.sleep(0.005)
    timeout_delays_s = [_ARRIVAL_TIMEOUT_S] * (cluster.count - len(arrivals))
    # The acceptor has the sheet in force before its submission returns.
    return [
        max(0.0, arrived_at - accepted_at) for arrived_at in arrivals.values()
    ] + timeout_delays_s


def _resident_kib() -> float:
    """Returns the resident memory of this process, assuming 4 KiB pages."""
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * 4.0


@click.command()
@click.option("--nodes", type=int, multiple=True, default=(3, 8, 25, 50, 100))
@click.option("--way", "ways", multiple=True, default=_WAYS)
def main(nodes: tuple[int, ...], ways: tuple[str, ...]) -> None:
    """Prints a JSON line for each way and number of nodes."""
    logging.set_verbosity("fatal")
    for way in ways:
        for count in nodes:
            measurement = asyncio.run(measure(way, count))
            click.echo(json.dumps(dataclasses.asdict(measurement)))


if __name__ == "__main__":
    main()
