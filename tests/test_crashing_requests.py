"""Tests of requests that crash every engine that runs them."""

import asyncio
import contextlib
import time

import aiohttp

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


async def _check_crashing_request(deployment, path, crash_after):
    """Checks the bound for one path, and that other requests are served."""
    await deployment.until(lambda: all(deployment.serving()))
    deployment.platform.crashing_bodies[CRASHING_BODY] = crash_after
    await _send_repeatedly(deployment, path, 10.0)
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


def test_a_crashing_order_stops_reaching_engines():
    async def check(deployment):
        await _check_crashing_request(deployment, "/order/1", 0)

    deployment_fixtures.run(check, count=3, order_engine_count=6)
