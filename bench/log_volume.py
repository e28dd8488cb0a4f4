"""Lines, bytes and processor time of the log, by load, of a real process.

Plays streams and orders on one entry process before the stand-in platform, at
the usual load of an instance and at ten times that, with and without the log.
"""

import asyncio
import os
import pathlib
import random

import click

from tests import process_soak

_USUAL_PER_S = 12.0  # Requests of one of seven instances on a played day.
_TIMES = (1, 10)
_ENGINES = 24
_PLAY_S = 12.0
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def _processor_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / _TICKS_PER_S


async def _load(soak: process_soak.Soak, per_s: float) -> None:
    rng = random.Random(1)
    sent = []
    address = soak.entries[0].caller_address
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + _PLAY_S
    while loop.time() < ends_at:
        path = rng.choice(("/draft/", "/draft/", "/order/"))
        sent.append(asyncio.ensure_future(soak.send(path, address)))
        await asyncio.sleep(rng.expovariate(per_s))
    await asyncio.gather(*sent)


async def _play(level: str, per_s: float) -> dict[str, float]:
    async with process_soak.single_instance(7, _ENGINES, level) as soak:
        entry = soak.entries[0]
        before = entry.output.read_bytes()
        served = sum(soak.report.outcomes.values())
        processor_s = _processor_s(entry.process.pid)
        await _load(soak, per_s)
        processor_s = _processor_s(entry.process.pid) - processor_s
        await asyncio.sleep(0.5)
        written = entry.output.read_bytes()[len(before) :]
    requests = sum(soak.report.outcomes.values()) - served
    return {
        "requests_per_s": requests / _PLAY_S,
        "core": processor_s / _PLAY_S,
        "lines_per_s": written.count(b"\n") / _PLAY_S,
        "bytes_per_s": len(written) / _PLAY_S,
    }


@click.command()
def main() -> None:
    """Measures and prints a row for each load."""
    for times in _TIMES:
        found = {
            level: asyncio.run(_play(level, times * _USUAL_PER_S))
            for level in ("info", "error")
        }
        logged, silent = found["info"], found["error"]
        click.echo(
            f"| {times} | {logged['requests_per_s']:.1f} "
            f"| {logged['lines_per_s']:.1f} | {logged['bytes_per_s']:.0f} "
            f"| {logged['core']:.3f} | {silent['core']:.3f} |"
        )


if __name__ == "__main__":
    main()
