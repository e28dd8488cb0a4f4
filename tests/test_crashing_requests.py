"""Tests of requests that crash every engine that runs them."""

import asyncio
import contextlib
import time

import aiohttp

from tamarackpier import codes
from tests import deployment_fixtures

# Number of crashes after which a request may not run again, the time until all
# instances know of them, and the number of later attempts that are accepted.
# All three are bounds that the platform states.
MAX_CRASHES = 3
KNOWN_AFTER_S = 3.0
MAX_LATE_ATTEMPTS = 3
CRASHING_BODY = b'{"prompt": "crashes engines"}'


async def _send_repeatedly(deployment, path, seconds):
    """Sends the crashing request from callers that don't give up.

    Returns:
        The HTTP status of each answer; 0 for a broken one.
    """
    statuses = []
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        number = len(statuses)
        status = 0
        with contextlib.suppress(aiohttp.ClientError):
            response, _ = await deployment.post(
                path,
                f"crashing-{number}",
                number % len(deployment.instances),
                CRASHING_BODY,
            )
            status = response.status
        statuses.append(status)
        await asyncio.sleep(0.1)
    return statuses


def _late_attempts(deployment):
    """Returns how often engines ran the request after its crashes were known.

    In the stand-in, each run of the crashing request is one crash.
    """
    crashes = deployment.platform.crashes
    assert len(crashes) >= MAX_CRASHES
    known_at = crashes[MAX_CRASHES - 1][0] + KNOWN_AFTER_S
    return sum(at > known_at for at, _ in crashes)


async def _wait_until_refused(deployment, path):
    """Sends the crashing request until it is refused; returns the response."""
    deployment.platform.crashing_bodies[CRASHING_BODY] = 0
    number = 0
    while True:
        with contextlib.suppress(aiohttp.ClientError):
            response, data = await deployment.post(
                path, f"first-{number}", body=CRASHING_BODY
            )
            if codes.CRASH_SUSPECT.name.encode() in data:
                return response
        number += 1
        assert number < 50
        await asyncio.sleep(0.1)


async def _check_crashing_request(deployment, path, crash_after, seconds=10.0):
    """Checks the bound for one path, and that other requests are served."""
    await deployment.until(lambda: all(deployment.serving()))
    deployment.platform.crashing_bodies[CRASHING_BODY] = crash_after
    await _send_repeatedly(deployment, path, seconds)
    late_attempts = _late_attempts(deployment)
    assert late_attempts <= MAX_LATE_ATTEMPTS, (
        f"{len(deployment.platform.crashes)} crashes, {late_attempts} late"
    )
    await deployment.until(lambda: all(deployment.serving()))
    response, _ = await deployment.post(path, "harmless")
    assert response.status == 200


def test_a_crashing_stream_stops_reaching_replicas():
    async def check(deployment):
        await _check_crashing_request(deployment, "/draft/1", 2)

    deployment_fixtures.run(check, count=3, engine_count=5, domain_count=3)


def test_a_stream_that_crashes_before_its_answer_stops_reaching_replicas():
    async def check(deployment):
        await _check_crashing_request(deployment, "/draft/1", 0)

    deployment_fixtures.run(check, count=3, engine_count=5, domain_count=3)


def test_a_crashing_idempotent_request_stops_reaching_engines():
    async def check(deployment):
        await _check_crashing_request(deployment, "/status/1", 0)

    deployment_fixtures.run(check, count=3, order_engine_count=6)


def test_a_crashing_request_is_found_when_engines_return_under_new_ids():
    async def check(deployment):
        deployment.platform.renames_engines = True
        await _check_crashing_request(deployment, "/status/1", 0)

    deployment_fixtures.run(check, count=3, order_engine_count=6)


def test_a_request_that_silences_replicas_stops_reaching_them():
    async def check(deployment):
        deployment.platform.crashes_silently = True
        await _check_crashing_request(deployment, "/draft/1", 2, 20.0)

    deployment_fixtures.run(check, count=3, engine_count=5, domain_count=3)


def test_an_idempotent_request_that_silences_engines_stops_reaching_them():
    async def check(deployment):
        deployment.platform.crashes_silently = True
        await _check_crashing_request(deployment, "/status/1", 0, 20.0)

    deployment_fixtures.run(check, count=3, order_engine_count=6)


def test_a_request_that_leaves_error_pages_of_silent_engines_stops_too():
    async def check(deployment):
        deployment.platform.crashes_silently = True
        deployment.platform.sends_error_pages = True
        await _check_crashing_request(deployment, "/status/1", 0, 20.0)

    deployment_fixtures.run(check, count=3, order_engine_count=6)


def test_a_crashing_order_stops_reaching_engines():
    async def check(deployment):
        await _check_crashing_request(deployment, "/order/1", 0)

    deployment_fixtures.run(check, count=3, order_engine_count=6)


def test_a_crashing_request_is_refused_by_an_instance_that_never_ran_it():
    async def check(deployment):
        await deployment.until(lambda: all(deployment.serving()))
        response = await _wait_until_refused(deployment, "/status/1")
        assert response.status == 503
        assert float(response.headers["Retry-After"]) > 0
        await asyncio.sleep(KNOWN_AFTER_S)
        crash_count = len(deployment.platform.crashes)
        for instance in range(3):
            response, _ = await deployment.post(
                "/status/1", f"other-{instance}", instance, CRASHING_BODY
            )
            assert response.status == 503
        assert len(deployment.platform.crashes) == crash_count

    deployment_fixtures.run(check, count=3, order_engine_count=6)


def test_a_crashing_request_stays_refused_after_a_restart_of_one_or_all():
    async def check(deployment):
        async def is_refused(request_id):
            await deployment.until(lambda: all(deployment.serving()))
            for instance in range(2):
                response, _ = await deployment.post(
                    "/status/1",
                    f"{request_id}-{instance}",
                    instance,
                    CRASHING_BODY,
                )
                if response.status != 503:
                    return False
            return True

        await deployment.until(lambda: all(deployment.serving()))
        await _wait_until_refused(deployment, "/status/1")
        await deployment.until(
            lambda: all(
                instance.quarantine_store.stored
                for instance in deployment.instances
            )
        )
        crash_count = len(deployment.platform.crashes)
        await deployment.replace_instance(0)
        assert await is_refused("one")
        for _ in range(2):
            await deployment.replace_instance(0)
        assert await is_refused("all")
        assert len(deployment.platform.crashes) == crash_count

    deployment_fixtures.run(check, count=2, order_engine_count=6)


def test_equal_requests_of_many_callers_are_served_after_engines_end_at_once():
    async def check(deployment):
        await deployment.until(lambda: all(deployment.serving()))
        platform = deployment.platform
        names = [name for name in platform.fabric.engines if name[0] == "o"]
        for count in range(3):
            response, _ = await deployment.post("/status/1", f"before-{count}")
            assert response.status == 200
        # Runs of the same request are in flight at all engines.
        platform.plain_answer_s = 5.0
        in_flight = [
            asyncio.ensure_future(
                deployment.post("/status/1", f"during-{index}", index % 2)
            )
            for index in range(8)
        ]
        await asyncio.sleep(0.3)
        for name in names:
            platform.crash(name, "")
        await asyncio.gather(*in_flight, return_exceptions=True)
        platform.plain_answer_s = 0.0
        await asyncio.sleep(3.0)
        for index in range(6):
            response, _ = await deployment.post(
                "/status/1", f"after-{index}", index % 2
            )
            assert response.status == 200

    deployment_fixtures.run(check, count=2, order_engine_count=4)
