"""The command that generates load on a deployment."""

import asyncio
import dataclasses
import json
import pathlib
import random
from collections.abc import Callable

import aiohttp
import click

from tamarackpier import codes
from tamarackpier.cli import api
from tamarackpier.load import client as client_lib
from tamarackpier.load import generator

__all__ = ["load"]


@dataclasses.dataclass(frozen=True)
class _LoadOptions:
    """The options of the command.

    Attributes:
        seeds: Addresses of the entry instances that are asked for addresses.
        account_key: Key of the client account.
        model: Name of the model.
        rate: Mean number of drafts sent per second.
        duration_s: Duration of the load, in seconds.
        max_tokens: Maximum number of tokens in a draft's answer.
        callers: Number of simulated callers.
        seed: Seed of the random arrival times.
    """

    seeds: tuple[str, ...]
    account_key: str
    model: str
    rate: float
    duration_s: float
    max_tokens: int
    callers: int
    seed: int


@click.command()
@click.option(
    "--seed-address",
    "seeds",
    multiple=True,
    required=True,
    metavar="HOST:PORT",
    help="Entry instance to ask for addresses; repeatable.",
)
@click.option(
    "--account-key",
    envvar="TAMARACKPIER_ACCOUNT_KEY",
    required=True,
    help="Key of the client account.",
)
@click.option("--model", required=True, help="Name of the model.")
@click.option("--rate", type=float, default=5.0, help="Drafts per second.")
@click.option(
    "--duration-s", type=float, default=10.0, help="Duration, in seconds."
)
@click.option(
    "--max-tokens", type=int, default=64, help="Maximum tokens per draft."
)
@click.option("--callers", type=int, default=10, help="Number of callers.")
@click.option("--seed", type=int, default=1, help="Seed of the arrival times.")
@click.option(
    "--plot",
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    help="Plot the latencies to this PNG file; requires matplotlib.",
)
def load(plot: pathlib.Path | None, **options: object) -> None:
    """Generates an open-loop load of drafts.

    Each draft is sent at its scheduled time, even while others are in flight.
    Prints a report as one line of JSON. Latencies count from the first attempt
    to send a draft.
    """
    draw = None if plot is None else _create_plotter()
    report = asyncio.run(
        _run(_LoadOptions(**options))  # type: ignore[arg-type]
    )
    click.echo(json.dumps(dataclasses.asdict(report)))
    if draw is not None:
        draw(report, plot)


def _create_plotter() -> Callable[
    [generator.LoadReport, pathlib.Path | None], None
]:
    """Returns a function that plots a report to a file.

    Exits the process before any load is generated if matplotlib is missing.
    """
    try:
        import matplotlib
    except ImportError:
        detail = "--plot requires matplotlib: install tamarackpier[bench]"
        api.fail(codes.fault(codes.COMMAND_BAD_ARGUMENT, detail))
    matplotlib.use("Agg")
    from matplotlib import pyplot

    def draw(report: generator.LoadReport, path: pathlib.Path | None) -> None:
        figure, axis = pyplot.subplots()
        for name, values in report.curves.items():
            axis.plot(
                values, generator.CURVE_PERCENTILES, marker="o", label=name
            )
        axis.set(xscale="log", xlabel="seconds", ylabel="percentile")
        axis.set_title(f"{report.whole} of {report.sent} drafts complete")
        axis.legend()
        figure.savefig(path)

    return draw


async def _run(options: _LoadOptions) -> generator.LoadReport:
    rng = random.Random(options.seed)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        clients = [
            client_lib.Client(
                session,
                options.seeds,
                options.account_key,
                name=f"load-{index}",
            )
            for index in range(options.callers)
        ]
        return await generator.run(
            clients,
            options.model,
            generator.arrivals(options.rate, options.duration_s, rng),
            options.max_tokens,
            lambda index: [{"role": "user", "content": f"draft {index}"}],
        )
