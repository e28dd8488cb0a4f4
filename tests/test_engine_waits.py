"""Tests of engines that ask an instance to send nothing for a while."""

import asyncio
import contextlib
import itertools
import time

import aiohttp
from returns import pipeline

from tamarackpier import codes
from tamarackpier.platform import wire
from tamarackpier.standin import rough_engine
from tests import deployment_fixtures, relay_fixtures

# The platform's bound: from so long after the answer to the end of the time,
# an engine gets so many requests from the instance.
KNOWN_AFTER_S = 0.5
MAX_REQUESTS = 2
# Longest time in which a request that fits nowhere is refused.
AT_ONCE_S = 0.3


class _Callers:
    """Callers that send requests to the only instance.

    Attributes:
        deployment: The deployment.
        answers: HTTP status, headers, body and duration in seconds of each.
    """

    def __init__(self, deployment):
        self.deployment = deployment
        self.answers = []
        self._numbers = itertools.count()

    async def post(self, path):
        """Sends a request and records its answer."""
        number = next(self._numbers)
        started_at = time.monotonic()
        with contextlib.suppress(aiohttp.ClientError):
            response, data = await self.deployment.post(
                path, f"request-{id(self)}-{number}", 0, b"%d" % number
            )
            took_s = time.monotonic() - started_at
            self.answers.append(
                (response.status, response.headers, data, took_s)
            )

    async def send(self, path, seconds, per_s=30):
        """Sends requests at a rate, without waiting for answers."""
        tasks = []
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            tasks.append(asyncio.ensure_future(self.post(path)))
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*tasks)

    def statuses(self):
        """Returns the HTTP statuses of all answers."""
        return {status for status, *_ in self.answers}


def _check_waits(platform, *names):
    """Checks the bound of the platform for engines that turn away."""
    most = {}
    for name in names:
        times = platform.turned_away[name]
        wait_s = float(platform.retry_after[name])
        most[name] = max(
            sum(start + KNOWN_AFTER_S < at < start + wait_s for at in times)
            for start in times
        )
    assert max(most.values()) <= MAX_REQUESTS, f"requests meanwhile: {most}"


def test_an_engine_that_asks_to_wait_gets_nothing_meanwhile():
    async def check(deployment):
        await deployment.until(lambda: all(deployment.serving()))
        platform = deployment.platform
        callers = _Callers(deployment)
        platform.retry_after["o1"] = "2.5"
        await asyncio.gather(
            callers.send("/order/1", 6), callers.send("/status/1", 6)
        )
        _check_waits(platform, "o1")
        # It is asked again when its time is over.
        assert len(platform.turned_away["o1"]) >= 2
        assert callers.statuses() == {200}

    deployment_fixtures.run(check, count=1, order_engine_count=3)


def test_leads_that_ask_to_wait_get_nothing_meanwhile():
    async def check(deployment):
        await deployment.until(lambda: min(deployment.serving()) >= 2)
        platform = deployment.platform
        (instance,) = deployment.instances
        leads = [
            replica.lead.id
            for replica in instance.fleet.serving("drafts", "large")
        ]
        platform.retry_after.update(dict.fromkeys(leads, "2.5"))
        callers = _Callers(deployment)
        await callers.send("/draft/1", 2)
        _check_waits(platform, *leads)
        assert instance.fleet.serving("drafts", "large")
        platform.retry_after.clear()
        await asyncio.sleep(2.5)
        callers.answers.clear()
        await callers.send("/draft/1", 1)
        assert callers.statuses() == {200}

    deployment_fixtures.run(check, count=1, engine_count=9, domain_count=2)


def test_requests_are_refused_with_the_time_to_return_if_all_ask_to_wait():
    async def check(deployment):
        await deployment.until(lambda: all(deployment.serving()))
        platform = deployment.platform
        callers = _Callers(deployment)
        platform.retry_after.update({"o0": "2.5", "o1": "2.5"})
        asked_at = time.monotonic()
        await callers.send("/order/1", 1.5)
        _check_waits(platform, "o0", "o1")
        platform.retry_after.clear()
        status, headers, data, took_s = callers.answers[-1]
        assert status == 503
        assert codes.UPSTREAMS_WAITING.name.encode() in data
        assert took_s < AT_ONCE_S
        # A caller that returns when it was told to is served.
        retry_after_s = float(headers[wire.Header.RETRY_AFTER])
        assert time.monotonic() + retry_after_s > asked_at + 2.5
        await asyncio.sleep(retry_after_s)
        callers.answers.clear()
        await callers.post("/order/1")
        assert callers.statuses() == {200}

    deployment_fixtures.run(check, count=1, order_engine_count=2)


def _refusing(retry_after, headers=f"{wire.Header.NOT_RUN}: 1\r\n"):
    """Returns a script that turns requests away with 503."""

    async def refuse(arrival):
        wait = f"{wire.Header.RETRY_AFTER}: {retry_after}\r\n"
        await arrival.write(
            rough_engine.encode_answer(arrival, b"", "503 Busy", headers + wait)
        )

    return refuse


async def _handle(request_relay, *paths):
    """Returns the outcomes of requests, one after the other."""
    return [
        await request_relay.handle(
            relay_fixtures.request(path), relay_fixtures.RecordingCaller()
        )
        for path in paths
    ]


def test_an_engine_that_asks_to_wait_is_not_taken_for_faulty():
    async def check():
        probed = []
        async with (
            rough_engine.serve_script(_refusing("30")) as (address, arrivals),
            relay_fixtures.serve_relay(
                [
                    relay_fixtures.plain_engine("o1", address),
                    *relay_fixtures.replica("r1", address),
                ]
            ) as request_relay,
        ):
            request_relay.on_attempt_failed = probed.append
            outcomes = await _handle(
                request_relay, "/order/1", "/draft/1", "/order/1", "/draft/1"
            )
        assert len(arrivals) == 2
        assert not probed
        assert not request_relay.engine_scores.scores
        assert not request_relay.fleet.suspended
        assert not request_relay.quarantine.crashes
        assert all(
            outcome.failure().code.outcome is codes.Outcome.NOT_RUN
            for outcome in outcomes[2:]
        )

    asyncio.run(check())


def test_an_engine_that_states_no_refusal_may_ask_to_wait_too():
    async def check():
        async with (
            rough_engine.serve_script(_refusing("30", "")) as (address, came),
            relay_fixtures.serve_relay(
                [relay_fixtures.plain_engine("o1", address)]
            ) as request_relay,
        ):
            outcomes = await _handle(request_relay, "/order/1", "/order/1")
        assert len(came) == 1
        assert outcomes[0].failure().code is codes.OUTCOME_UNKNOWN

    asyncio.run(check())


def test_an_engine_that_asked_to_wait_is_used_again_at_the_end():
    async def refuse_first(arrival):
        if len(arrivals) == 1:
            await _refusing("0.4")(arrival)
            return
        await arrival.write(rough_engine.encode_answer(arrival, b"done"))

    arrivals = []

    async def check():
        nonlocal arrivals
        async with (
            rough_engine.serve_script(refuse_first) as (address, arrivals),
            relay_fixtures.serve_relay(
                [relay_fixtures.plain_engine("o1", address)]
            ) as request_relay,
        ):
            refused, waiting = await _handle(
                request_relay, "/order/1", "/order/1"
            )
            await asyncio.sleep(0.45)
            (served,) = await _handle(request_relay, "/order/1")
        assert not pipeline.is_successful(refused)
        assert not pipeline.is_successful(waiting)
        assert pipeline.is_successful(served)
        assert len(arrivals) == 2

    asyncio.run(check())
