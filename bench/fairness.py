"""Measures which classes of requests are served when there is an overload.

The load on one entry process with a simulated platform exceeds what the
engines can serve. A few client accounts send most of it, and the sizes of
prompts and answers differ widely. For each class of requests, by account,
size, session length and priority, a row states the number of requests, the
share that was answered in full, and the ratio of that share to the share of
all requests.
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

_REQUESTS_PER_S = 120.0
_DURATION_S = 25.0
_ACCOUNT_COUNT = 10
_ENGINE_COUNT = 4
# Tokens of the prompt and of the answer, by size.
_SIZES = {"small": (200, 8), "middle": (1400, 25), "large": (4000, 75)}
_SESSION_LENGTHS = (1, 2, 8)
_ROUTES = tuple(
    hosted_fixtures.route(name=f"p{rank}", prefix=f"/p{rank}/", priority=rank)
    for rank in (1, 2)
)


@dataclasses.dataclass(frozen=True)
class Profile:
    """Classes of one request, as they are printed.

    Attributes:
        account: Client account that sends the request.
        size: Size of the prompt and the answer.
        session: Length of the session. It is only printed; the request does
            not carry it.
        priority: Priority of the request.
    """

    account: str
    size: str
    session: str
    priority: str


def _configuration() -> routing_model.Configuration:
    accounts = {
        f"key-{index}": routing_model.Account(f"account-{index}", 5)
        for index in range(_ACCOUNT_COUNT)
    }
    return hosted_fixtures.configuration(
        3, _ROUTES, accounts=accounts, services=process_fixtures.SERVICES
    )


def _draw_profile(rng: random.Random) -> Profile:
    """Returns a random profile; the first accounts are the most frequent."""
    index = min(int(rng.expovariate(0.4)), _ACCOUNT_COUNT - 1)
    return Profile(
        f"account {index}",
        rng.choice(sorted(_SIZES)),
        f"of a session of {rng.choice(_SESSION_LENGTHS)}",
        f"priority {rng.choice((1, 2))}",
    )


async def _send(
    client: aiohttp.ClientSession, address: str, number: int, profile: Profile
) -> bool:
    """Sends a request and returns whether it was answered in full."""
    prompt_tokens, answer_tokens = _SIZES[profile.size]
    headers = {
        "Host": "a.example",
        "Authorization": f"Token key-{profile.account.split()[1]}",
        wire.Header.REQUEST_ID: f"f{number}",
        wire.Header.DEADLINE_MS: "5000",
        wire.Header.MODEL: "large",
        wire.Header.TOKEN_COUNT: f"{prompt_tokens},{answer_tokens}",
    }
    try:
        async with client.post(
            f"http://{address}/p{profile.priority.split()[1]}/1",
            headers=headers,
            data=b"{}",
            timeout=aiohttp.ClientTimeout(total=6),
        ) as response:
            body = await response.read()
    except (aiohttp.ClientError, TimeoutError):
        return False
    return response.status == 200 and body.count(b"id:") == answer_tokens


async def _run() -> list[tuple[Profile, bool]]:
    """Sends the load; returns each profile and whether it was served."""
    rng = random.Random(1)
    async with process_soak.single_instance(8, _ENGINE_COUNT) as soak:
        entry = soak.entries[0]
        soak.platform.configure(_configuration())
        while not await _send(
            soak.client, entry.caller_address, -1, _draw_profile(rng)
        ):
            await asyncio.sleep(0.3)
        sent = []
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + _DURATION_S
        while loop.time() < ends_at:
            profile = _draw_profile(rng)
            request = _send(
                soak.client, entry.caller_address, len(sent), profile
            )
            sent.append((profile, asyncio.ensure_future(request)))
            await asyncio.sleep(rng.expovariate(_REQUESTS_PER_S))
        return [(profile, await task) for profile, task in sent]


@click.command()
def main() -> None:
    """Sends the load and prints a row for each class."""
    results = asyncio.run(_run())
    overall = sum(is_served for _, is_served in results) / len(results)
    click.echo(f"| all | {len(results)} | {overall:.2f} | 1.00 |")
    classes = collections.defaultdict(list)
    for profile, is_served in results:
        for name in dataclasses.astuple(profile):
            classes[name].append(is_served)
    for name, served in sorted(classes.items()):
        share = sum(served) / len(served)
        ratio = share / overall if overall else 0.0
        click.echo(f"| {name} | {len(served)} | {share:.2f} | {ratio:.2f} |")


if __name__ == "__main__":
    main()
