"""Tests of engines that limit the requests a second that they take."""

import asyncio
import collections
import contextlib
import itertools
import time

import aiohttp

from tamarackpier import codes
from tamarackpier.platform import wire
from tests import deployment_fixtures, limit_checks

# Longest time in which a request that fits nowhere is refused.
AT_ONCE_S = 0.3
PATH = "/draft/1"
DEPLOYMENT = {"count": 3, "engine_count": 9, "domain_count": 4}


def _limit_model_engines(platform, per_s):
    """Limits all engines of models, also those that lead a replica later."""
    for name, engine in platform.fabric.engines.items():
        if engine.record.service == "drafts":
            platform.request_rates[name] = per_s


def _busiest(platform):
    """Returns the ID of the engine that ran the most requests."""
    runs = collections.Counter(
        name for names in platform.ran.values() for name in names
    )
    return runs.most_common(1)[0][0]


class _Callers:
    """Callers that send requests to all instances in turn.

    Attributes:
        deployment: The deployment.
        answers: HTTP status, headers, body and duration in seconds of each.
    """

    def __init__(self, deployment):
        self.deployment = deployment
        self.answers = []
        self._numbers = itertools.count()
        self._tasks = set()

    async def post(self, path=PATH):
        """Sends a request and records its answer."""
        number = next(self._numbers)
        started_at = time.monotonic()
        with contextlib.suppress(aiohttp.ClientError):
            response, data = await self.deployment.post(
                path,
                f"request-{number}",
                number % len(self.deployment.instances),
                b"%d" % number,
            )
            took_s = time.monotonic() - started_at
            self.answers.append(
                (response.status, response.headers, data, took_s)
            )

    async def send(self, seconds, per_s, path=PATH):
        """Sends requests at a rate, without waiting for answers."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            task = asyncio.ensure_future(self.post(path))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*self._tasks)

    def statuses(self):
        """Returns the HTTP statuses of all answers."""
        return [status for status, *_ in self.answers]


def _check_arrivals(platform):
    """Checks the bound for each engine that had a limit."""
    assert platform.limited_arrivals
    assert not limit_checks.excesses(platform)


def test_a_limit_holds_for_the_sum_over_all_instances():
    async def check(deployment):
        await deployment.until(lambda: min(deployment.serving()) >= 3)
        callers = _Callers(deployment)
        await callers.send(2, 25)
        deployment.platform.request_rates[_busiest(deployment.platform)] = 1.0
        await callers.send(12, 25)
        _check_arrivals(deployment.platform)
        assert set(callers.statuses()) == {200}

    deployment_fixtures.run(check, **DEPLOYMENT)


def test_a_limit_holds_while_instances_come_and_go():
    async def check(deployment):
        async def replace_instances():
            for _ in range(4):
                await asyncio.sleep(2.0)
                await deployment.instances[0].leave()
                await deployment.replace_instance(0)

        await deployment.until(lambda: min(deployment.serving()) >= 3)
        platform = deployment.platform
        _limit_model_engines(platform, 1.5)
        await asyncio.gather(
            _Callers(deployment).send(16, 25), replace_instances()
        )
        _check_arrivals(platform)

    deployment_fixtures.run(check, **DEPLOYMENT)


def test_a_limit_of_an_engine_of_a_plain_service_holds():
    async def check(deployment):
        await deployment.until(lambda: all(deployment.serving()))
        callers = _Callers(deployment)
        await callers.send(2, 15, "/status/1")
        deployment.platform.request_rates[_busiest(deployment.platform)] = 1.0
        await asyncio.gather(
            callers.send(10, 15, "/order/1"), callers.send(10, 15, "/status/1")
        )
        _check_arrivals(deployment.platform)
        assert set(callers.statuses()) == {200}

    deployment_fixtures.run(check, count=3, order_engine_count=3)


def test_what_fits_nowhere_is_refused_at_once_with_the_time_to_return():
    async def check(deployment):
        await deployment.until(lambda: min(deployment.serving()) >= 3)
        platform = deployment.platform
        _limit_model_engines(platform, 0.5)
        callers = _Callers(deployment)
        await callers.send(8, 25)
        _check_arrivals(platform)
        refused = [answer for answer in callers.answers if answer[0] != 200]
        assert refused
        for status, headers, data, took_s in refused:
            assert status == 503
            assert codes.UPSTREAMS_LIMITED.name.encode() in data
            assert took_s < AT_ONCE_S
            assert 0 < float(headers[wire.Header.RETRY_AFTER]) < 10
        # A caller that returns when it was told to is served.
        _, headers, _, _ = refused[-1]
        await asyncio.sleep(float(headers[wire.Header.RETRY_AFTER]))
        callers.answers.clear()
        await callers.post()
        assert callers.statuses() == [200]

    deployment_fixtures.run(check, **(DEPLOYMENT | {"count": 2}))


def test_a_limit_ends_for_all_instances_when_answers_name_none():
    async def check(deployment):
        await deployment.until(lambda: min(deployment.serving()) >= 3)
        platform = deployment.platform
        _limit_model_engines(platform, 0.5)
        callers = _Callers(deployment)
        await callers.send(4, 25)
        assert 503 in callers.statuses()
        platform.request_rates.clear()
        await callers.send(6, 10)
        callers.answers.clear()
        await callers.send(3, 25)
        assert set(callers.statuses()) == {200}

    deployment_fixtures.run(check, **DEPLOYMENT)
