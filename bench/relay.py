"""Compares the daemon's relay with a bare one: CPU cost and added latency.

Both relay streams of the same stand-in engines in the same run; the bare relay,
`bench.bare`, only passes bytes on. CPU time is that of the relay's process
alone, measured while all streams are open.
"""

import asyncio
import dataclasses
import datetime
import json
import os
import pathlib
import statistics
import time

import aiohttp
import click

from samples import demo
from tamarackpier.platform import interfaces

_PLATFORM_URL = "http://127.0.0.1:8500"
_ENTRY_ADDRESS = "127.0.0.1:8541"
_BARE_ADDRESS = "127.0.0.1:8540"
_ENGINE_ADDRESS = "127.0.0.1:8511"
_ACCOUNT_KEY = "clerks-a-key"
# End of a piece, which is a server-sent event. A stream has a piece for each
# token and the last piece `[DONE]`.
_PIECE_END = b"\n\n"
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_REPLICAS = 3
# Number of calls of one token, and of callers that make them concurrently.
_SHORT_CALLS = 2000
_SHORT_CALLERS = 16


@dataclasses.dataclass(frozen=True)
class Measurement:
    """One measurement of concurrent streams through one relay.

    Attributes:
        relay: Name of the relay: `ours` for the daemon's, or `bare`.
        streams: Number of concurrent streams.
        tokens_per_cpu_s: Pieces relayed per second of CPU time.
        tokens_per_s: Pieces relayed per second.
        first_p50_s: Median time to the first piece.
        first_p95_s: 95th percentile of the time to the first piece.
        failed: Number of streams that ended before they were complete.
    """

    relay: str
    streams: int
    tokens_per_cpu_s: float
    tokens_per_s: float
    first_p50_s: float
    first_p95_s: float
    failed: int


@click.group()
def main() -> None:
    """Runs the steps of the bench."""


@main.command("settings")
@click.argument("folder", type=click.Path(path_type=pathlib.Path))
def write_settings(folder: pathlib.Path) -> None:
    """Writes the daemon's settings into FOLDER."""
    text = pathlib.Path("samples/tamarackpierd.ini").read_text()
    for old, new in (
        (":8400", ":8500"),
        (":8441", ":8541"),
        (":8451", ":8551"),
        ("load_s = 60.0", "load_s = 0.1"),
        ("lead_s = 60.0", "lead_s = 5.0"),
        ("queue_length = 256", "queue_length = 4096"),
    ):
        text = text.replace(old, new)
    (folder / "entry.ini").write_text(text)


@main.command()
@click.argument("folder", type=click.Path(path_type=pathlib.Path))
@click.option("--tokens", type=int, default=300, help="Tokens per stream.")
@click.option("--streams", type=int, multiple=True, default=(50, 200, 400))
@click.option(
    "--rounds", type=int, default=2, help="Runs per relay and stream count."
)
def run(
    folder: pathlib.Path, tokens: int, streams: tuple[int, ...], rounds: int
) -> None:
    """Measures both relays at each number of streams.

    FOLDER has the files daemon.pid and bare.pid with the process IDs.
    """
    asyncio.run(_run(folder, tokens, streams, rounds))


async def _run(
    folder: pathlib.Path,
    tokens: int,
    stream_counts: tuple[int, ...],
    rounds: int,
) -> None:
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=120)
    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout
    ) as session:
        fences = await _start_replicas(session)
        pid = int((folder / "daemon.pid").read_text())
        await _measure_short_calls(session, pid, fences)
        for count in stream_counts:
            measurements: dict[str, list[Measurement]] = {
                "bare": [],
                "ours": [],
            }
            for _ in range(rounds):
                for relay in ("bare", "ours"):
                    process = "daemon" if relay == "ours" else "bare"
                    pid = int((folder / f"{process}.pid").read_text())
                    measurement = await _measure_streams(
                        session, relay, pid, count, tokens, fences
                    )
                    measurements[relay].append(measurement)
            _print_comparison(count, measurements)


def _print_comparison(
    count: int, measurements: dict[str, list[Measurement]]
) -> None:
    """Prints the means of both relays, and how they compare, as JSON.

    Args:
        count: Number of concurrent streams.
        measurements: Measurements by name of the relay.
    """

    def mean(relay: str, field: str) -> float:
        return statistics.mean(
            getattr(measurement, field) for measurement in measurements[relay]
        )

    comparison: dict[str, object] = {"streams": count}
    for relay in ("bare", "ours"):
        for field in ("tokens_per_cpu_s", "tokens_per_s"):
            comparison[f"{relay}_{field}"] = round(mean(relay, field))
        comparison[f"{relay}_failed"] = sum(
            measurement.failed for measurement in measurements[relay]
        )
    ratio = mean("ours", "tokens_per_cpu_s") / mean("bare", "tokens_per_cpu_s")
    comparison["tokens_per_cpu_s_ratio"] = round(ratio, 3)
    for field in ("first_p50_s", "first_p95_s"):
        added_s = mean("ours", field) - mean("bare", field)
        comparison[f"added_{field}"] = round(added_s, 4)
    click.echo(json.dumps(comparison))


async def _start_replicas(session: aiohttp.ClientSession) -> dict[str, int]:
    """Submits a sheet and waits until its replicas serve.

    Returns:
        Fencing numbers of the replicas, by replica ID.
    """
    await demo._wait_port(8541)
    await demo._wait_port(8540)
    entry = interfaces.ListedInstance(
        "entry-1",
        interfaces.InstanceKind.ENTRY,
        "zone-a",
        "",
        _ENTRY_ADDRESS,
        "127.0.0.1:8551",
    )
    body = dataclasses.asdict(entry)
    async with session.post(f"{_PLATFORM_URL}/instances", json=body):
        pass
    start = datetime.datetime.now(datetime.UTC)
    sheet = pathlib.Path("samples/morning.csv").read_text()
    sheet = sheet.replace("2026-12-07 08:30", f"{start:%Y-%m-%d %H:%M:%S}")
    sheet = sheet.replace("Europe/Berlin", "UTC")
    # Each replica is one engine, and the rates reserved for the account are
    # above those of the bench.
    sheet = sheet.replace(",2,4,", f",{_REPLICAS},1,")
    sheet = sheet.replace(",600,20,", ",1000000,10000,")
    headers = {"Authorization": "Bearer operator-key"}
    url = f"http://{_ENTRY_ADDRESS}/operator/sheet"
    async with session.post(url, data=sheet, headers=headers) as response:
        assert response.status == 200, await response.text()
    url = f"http://{_ENTRY_ADDRESS}/operator/replicas"
    while True:
        async with session.get(url, headers=headers) as response:
            replicas = (await response.json())["replicas"]
        serving = [replica for replica in replicas if replica["is_serving"]]
        if len(serving) == _REPLICAS:
            return {
                replica["replica_id"]: replica["fence"] for replica in serving
            }
        await asyncio.sleep(0.2)


async def _measure_streams(
    session: aiohttp.ClientSession,
    relay: str,
    pid: int,
    count: int,
    tokens: int,
    fences: dict[str, int],
) -> Measurement:
    """Measures concurrent streams through a relay.

    Args:
        session: HTTP session of the callers.
        relay: Name of the relay, `ours` or `bare`.
        pid: Process ID of the relay.
        count: Number of concurrent streams.
        tokens: Number of tokens of each stream.
        fences: Fencing numbers by replica ID.
    """
    piece_counts = [0] * count
    first_piece_delays_s: list[float] = []
    failed_indices: list[int] = []
    replica_ids = iter(sorted(fences) * count)

    async def read_stream(index: int) -> None:
        replica_id = next(replica_ids)
        began_at = time.monotonic()
        async with _request(
            session, relay, index, tokens, replica_id, fences
        ) as response:
            tail = b""
            async for data in response.content.iter_any():
                if not piece_counts[index]:
                    first_piece_delays_s.append(time.monotonic() - began_at)
                piece_counts[index] += data.count(_PIECE_END)
                tail = (tail + data)[-20:]
        if piece_counts[index] != tokens + 1 or b"[DONE]" not in tail:
            failed_indices.append(index)

    # The streams start evenly over half a second. All of them are open when the
    # window begins, half a second later.
    tasks = []
    for index in range(count):
        tasks.append(asyncio.ensure_future(read_stream(index)))
        await asyncio.sleep(0.5 / count)
    await asyncio.sleep(0.5)
    cpu_s, relayed_pieces, began_at = (
        _cpu_s(pid),
        sum(piece_counts),
        time.monotonic(),
    )
    # An engine sends a piece every 20 ms. The window is 60 % of a stream's
    # duration, so that no stream of 300 tokens ends in it.
    await asyncio.sleep(tokens * 0.02 * 0.6)
    cpu_s, relayed_pieces = (
        _cpu_s(pid) - cpu_s,
        sum(piece_counts) - relayed_pieces,
    )
    elapsed_s = time.monotonic() - began_at
    await asyncio.gather(*tasks)
    first_piece_delays_s.sort()
    return Measurement(
        relay,
        count,
        relayed_pieces / max(cpu_s, 1e-9),
        relayed_pieces / elapsed_s,
        first_piece_delays_s[len(first_piece_delays_s) // 2],
        first_piece_delays_s[int(len(first_piece_delays_s) * 0.95)],
        len(failed_indices),
    )


async def _measure_short_calls(
    session: aiohttp.ClientSession, pid: int, fences: dict[str, int]
) -> None:
    """Prints the daemon's CPU time per call of one token, and call durations.

    Args:
        session: HTTP session of the callers.
        pid: Process ID of the daemon.
        fences: Fencing numbers by replica ID.
    """
    call_numbers = iter(range(_SHORT_CALLS))
    replica_id = sorted(fences)[0]
    durations_s: list[float] = []

    async def run_caller() -> None:
        for index in call_numbers:
            began_at = time.monotonic()
            async with _request(
                session, "ours", index, 1, replica_id, fences
            ) as response:
                await response.read()
            durations_s.append(time.monotonic() - began_at)

    cpu_s, began_at = _cpu_s(pid), time.monotonic()
    await asyncio.gather(*(run_caller() for _ in range(_SHORT_CALLERS)))
    idle_cores = 0.01  # Cores that the daemon uses while it gets no calls.
    cpu_s = _cpu_s(pid) - cpu_s - idle_cores * (time.monotonic() - began_at)
    durations_s.sort()
    result = {
        "calls": _SHORT_CALLS,
        "cpu_ms_per_call": round(1000 * cpu_s / _SHORT_CALLS, 3),
        "call_p95_s": round(durations_s[int(len(durations_s) * 0.95)], 4),
    }
    click.echo(json.dumps(result))


def _request(
    session: aiohttp.ClientSession,
    relay: str,
    index: int,
    tokens: int,
    replica_id: str,
    fences: dict[str, int],
):
    """Returns the context manager of a call that streams through a relay.

    The daemon chooses the replica itself. For the bare relay, the upstream has
    the index of the replica among the sorted replica IDs.
    """
    messages = [{"role": "user", "content": f"letter {index}"}]
    if relay == "ours":
        body = {
            "model": "draft",
            "messages": messages,
            "max_tokens": tokens,
            "stream": True,
        }
        return session.post(
            f"http://{_ENTRY_ADDRESS}/v1/chat/completions",
            json=body,
            headers={"Authorization": f"Bearer {_ACCOUNT_KEY}"},
        )
    body = {
        "request_id": f"bare-{index}-{time.monotonic()}",
        "replica_id": replica_id,
        "fence": fences[replica_id],
        "kind": "chat",
        "content": messages,
        "max_tokens": tokens,
        "after": 0,
    }
    upstream_index = sorted(fences).index(replica_id)
    return session.post(
        f"http://{_BARE_ADDRESS}/generate",
        json=body,
        headers={"X-Upstream": str(upstream_index)},
    )


def _cpu_s(pid: int) -> float:
    """Returns the CPU time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / _TICKS_PER_S


if __name__ == "__main__":
    main()
