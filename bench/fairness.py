"""Who is served when there is too much: shares by account, size and session.

Plays more than one replica bears on one entry process before the
stand-in platform, with a few large accounts, prompts and answers of very
different sizes, and sessions of several requests. A row says which share of
a class's requests was answered in full, and the share of all.
"""

import asyncio
import collections
import dataclasses
import random

import aiohttp
import click

from tamarackpier.platform import wire
from tamarackpier.routing import model as routing_model
from tests import hosted_fixtures, process_fixtures, process_soak

_PER_S = 120.0
_PLAY_S = 25.0
_ACCOUNTS = 10
_ENGINES = 4
_SIZES = {"small": (200, 8), "middle": (1400, 25), "large": (4000, 75)}
_SESSION_LENGTHS = (1, 2, 8)
_ROUTES = tuple(
    hosted_fixtures.route(name=f"p{rank}", prefix=f"/p{rank}/", priority=rank)
    for rank in (1, 2)
)


@dataclasses.dataclass(frozen=True)
class Asked:
    """One request, by what could make a difference."""

    account: str
    size: str
    session: str
    kind: str


def _configuration() -> routing_model.Configuration:
    accounts = {
        f"key-{index}": routing_model.Account(f"account-{index}", 5)
        for index in range(_ACCOUNTS)
    }
    return hosted_fixtures.configuration(
        3, _ROUTES, accounts=accounts, services=process_fixtures.SERVICES
    )


def _asks(rng: random.Random) -> Asked:
    """Returns one request; the first accounts ask most."""
    index = min(int(rng.expovariate(0.4)), _ACCOUNTS - 1)
    return Asked(
        f"account {index}",
        rng.choice(sorted(_SIZES)),
        f"of a session of {rng.choice(_SESSION_LENGTHS)}",
        f"priority {rng.choice((1, 2))}",
    )


async def _send(
    client: aiohttp.ClientSession, address: str, number: int, asked: Asked
) -> bool:
    prompt, answer = _SIZES[asked.size]
    headers = {
        "Host": "a.example",
        "Authorization": f"Token key-{asked.account.split()[1]}",
        wire.Header.REQUEST_ID: f"f{number}",
        wire.Header.DEADLINE_MS: "5000",
        wire.Header.MODEL: "large",
        wire.Header.TOKEN_COUNT: f"{prompt},{answer}",
    }
    try:
        async with client.post(
            f"http://{address}/p{asked.kind.split()[1]}/1",
            headers=headers,
            data=b"{}",
            timeout=aiohttp.ClientTimeout(total=6),
        ) as response:
            body = await response.read()
    except (aiohttp.ClientError, TimeoutError):
        return False
    return response.status == 200 and body.count(b"id:") == answer


async def _play() -> list[tuple[Asked, bool]]:
    rng = random.Random(1)
    async with process_soak.single_instance(8, _ENGINES) as soak:
        entry = soak.entries[0]
        soak.platform.configure(_configuration())
        while not await _send(
            soak.client, entry.caller_address, -1, _asks(rng)
        ):
            await asyncio.sleep(0.3)
        sent = []
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + _PLAY_S
        while loop.time() < ends_at:
            asked = _asks(rng)
            work = _send(soak.client, entry.caller_address, len(sent), asked)
            sent.append((asked, asyncio.ensure_future(work)))
            await asyncio.sleep(rng.expovariate(_PER_S))
        return [(asked, await task) for asked, task in sent]


@click.command()
def main() -> None:
    """Plays the load and prints a row for each class."""
    found = asyncio.run(_play())
    overall = sum(is_served for _, is_served in found) / len(found)
    click.echo(f"| all | {len(found)} | {overall:.2f} | 1.00 |")
    classes = collections.defaultdict(list)
    for asked, is_served in found:
        for name in dataclasses.astuple(asked):
            classes[name].append(is_served)
    for name, served in sorted(classes.items()):
        share = sum(served) / len(served)
        ratio = share / overall if overall else 0.0
        click.echo(f"| {name} | {len(served)} | {share:.2f} | {ratio:.2f} |")


if __name__ == "__main__":
    main()
