"""Measures the lines, bytes and processor time of an entry process's log.

Sends drafts and orders to one entry process on the platform stand-in, at the
normal load of an instance and at ten times that load, with the log at level
info and, for comparison without a log, at level error.
"""

import asyncio
import os
import pathlib
import random

import click

from tests import process_soak

# Mean requests per second of one of seven instances on a simulated day.
_NORMAL_REQUESTS_PER_S = 12.0
_LOAD_FACTORS = (1, 10)
_ENGINES = 24
_DURATION_S = 12.0
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def _processor_s(pid: int) -> float:
    """Returns the processor time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / _TICKS_PER_S


async def _send_requests(
    soak: process_soak.Soak, requests_per_s: float
) -> None:
    """Sends requests at random intervals and awaits their answers."""
    rng = random.Random(1)
    pending = []
    address = soak.entries[0].caller_address
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + _DURATION_S
    while loop.time() < ends_at:
        path = rng.choice(("/draft/", "/draft/", "/order/"))
        pending.append(asyncio.ensure_future(soak.send(path, address)))
        await asyncio.sleep(rng.expovariate(requests_per_s))
    await asyncio.gather(*pending)


async def _measure(level: str, requests_per_s: float) -> dict[str, float]:
    """Returns the request rate and the cost per second at a log level."""
    async with process_soak.single_instance(7, _ENGINES, level) as soak:
        entry = soak.entries[0]
        earlier_output = entry.output.read_bytes()
        earlier_requests = sum(soak.report.outcomes.values())
        first_processor_s = _processor_s(entry.process.pid)
        await _send_requests(soak, requests_per_s)
        processor_s = _processor_s(entry.process.pid) - first_processor_s
        await asyncio.sleep(0.5)
        log = entry.output.read_bytes()[len(earlier_output) :]
    requests = sum(soak.report.outcomes.values()) - earlier_requests
    return {
        "requests_per_s": requests / _DURATION_S,
        "core": processor_s / _DURATION_S,
        "lines_per_s": log.count(b"\n") / _DURATION_S,
        "bytes_per_s": len(log) / _DURATION_S,
    }


@click.command()
def main() -> None:
    """Measures and prints a table row for each load."""
    for factor in _LOAD_FACTORS:
        measurements = {
            level: asyncio.run(_measure(level, factor * _NORMAL_REQUESTS_PER_S))
            for level in ("info", "error")
        }
        info, error = measurements["info"], measurements["error"]
        click.echo(
            f"| {factor} | {info['requests_per_s']:.1f} "
            f"| {info['lines_per_s']:.1f} | {info['bytes_per_s']:.0f} "
            f"| {info['core']:.3f} | {error['core']:.3f} |"
        )


if __name__ == "__main__":
    main()
