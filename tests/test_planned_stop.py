"""Tests that a planned stop of an instance cuts off no request."""

import asyncio
import time

import aiohttp

from tamarackpier.platform import wire
from tests import deployment_fixtures

GRACE_S = 2.0  # As in the settings of the deployment's instances.
REFUSED_STATUS = 503
OUTCOME_UNKNOWN_STATUS = 504
# A little longer than an instance still runs when it begins to refuse.
LONG_ANSWER_S = 1.4
ARRIVALS = tuple(index * 0.1 for index in range(20))


def _headers(request_id, count=5):
    return {
        "Host": "a.example",
        "Authorization": "Token key-1",
        wire.Header.REQUEST_ID: request_id,
        wire.Header.DEADLINE_MS: "5000",
        wire.Header.MODEL: "large",
        wire.Header.TOKEN_COUNT: f"100,{count}",
    }


async def _end(instance):
    """Stops an instance as planned, and cuts off what is then unanswered."""
    await instance.leave()
    await instance.close()
    for connection in list(instance.caller_listener.state.connections):
        connection.transport.abort()


async def _send(deployment, instance, path, request_id, is_kept, **options):
    """Returns the status and body of an answer.

    The status is None if none began, and the body if it isn't complete.
    """
    callers = instance.settings.listen.callers
    session = deployment.client
    if not is_kept:
        session = aiohttp.ClientSession()
    try:
        async with session.post(
            f"http://{callers}{path}",
            headers=_headers(request_id, **options),
            data=b"{}",
        ) as response:
            try:
                return response.status, await response.read()
            except aiohttp.ClientError:
                return response.status, None
    except (aiohttp.ClientError, OSError):
        return None, None
    finally:
        if not is_kept:
            await session.close()


def _check_requests_throughout_a_stop(path):
    """Checks the answers to requests that arrive throughout the grace."""

    async def check(deployment):
        await deployment.until(lambda: all(deployment.serving()))
        platform = deployment.platform
        platform.plain_answer_s = LONG_ANSWER_S
        leaving = deployment.instances.pop(0)
        stop = asyncio.ensure_future(_end(leaving))

        async def send_after(delay_s, is_kept):
            await asyncio.sleep(delay_s)
            request_id = f"r{delay_s:.1f}-{is_kept}"
            status, body = await _send(
                deployment, leaving, path, request_id, is_kept
            )
            return request_id, status, body

        answers = await asyncio.gather(
            *(
                send_after(delay_s, is_kept)
                for delay_s in ARRIVALS
                for is_kept in (False, True)
            )
        )
        await stop
        statuses = set()
        for request_id, status, body in answers:
            ran = platform.ran[request_id]
            statuses.add(status)
            if status is None or status == REFUSED_STATUS:
                assert ran == [], request_id
            else:
                assert status in (200, OUTCOME_UNKNOWN_STATUS), request_id
                assert body is not None, request_id
                assert len(ran) == 1 or path == "/status/1", request_id
        assert statuses >= {200, REFUSED_STATUS, OUTCOME_UNKNOWN_STATUS}

    deployment_fixtures.run(check)


def test_a_planned_stop_passes_on_and_cuts_off_no_order():
    _check_requests_throughout_a_stop("/order/1")


def test_a_planned_stop_passes_on_and_cuts_off_no_idempotent_request():
    _check_requests_throughout_a_stop("/status/1")


def test_a_request_whose_body_ends_late_in_a_stop_is_not_run():
    async def check(deployment):
        platform = deployment.platform
        await deployment.until(lambda: all(deployment.serving()))
        platform.plain_answer_s = LONG_ANSWER_S
        leaving = deployment.instances.pop(0)
        host, _, port = leaving.settings.listen.callers.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = "POST /order/1 HTTP/1.1\r\nContent-Length: 2\r\n"
        for name, value in _headers("late").items():
            head += f"{name}: {value}\r\n"
        stop = asyncio.ensure_future(_end(leaving))
        await asyncio.sleep(0.3 * GRACE_S)
        writer.write(f"{head}\r\n{{".encode())
        await asyncio.sleep(0.3 * GRACE_S)
        writer.write(b"}")
        answer = await reader.read()
        await stop
        assert answer.startswith(b"HTTP/1.1 503 ")
        assert platform.ran["late"] == []
        writer.close()

    deployment_fixtures.run(check)


def test_a_stream_that_would_outlast_a_stop_is_not_begun():
    async def check(deployment):
        await deployment.until(lambda: all(deployment.serving()))
        platform = deployment.platform
        leaving = deployment.instances.pop(0)
        stop = asyncio.ensure_future(_end(leaving))
        await asyncio.sleep(0.1 * GRACE_S)
        status, body = await _send(
            deployment, leaving, "/draft/1", "long", False, count=500
        )
        assert (status, platform.ran["long"]) == (REFUSED_STATUS, [])
        assert body
        status, body = await _send(
            deployment, leaving, "/draft/1", "short", False, count=20
        )
        assert status == 200
        assert body.count(b"data:") == 20
        await stop

    deployment_fixtures.run(check)


def test_a_slow_store_does_not_delay_a_planned_stop():
    async def check(deployment):
        await deployment.until(lambda: all(deployment.serving()))
        planner = next(
            each
            for each in deployment.instances
            if any(
                controller.is_planning
                for controller in each.zone_controllers.values()
            )
        )
        deployment.instances.remove(planner)
        deployment.platform.store.drops_answers = True
        started_at = time.monotonic()
        stop = asyncio.ensure_future(_end(planner))
        await asyncio.sleep(0.46 * GRACE_S)
        status, _ = await _send(deployment, planner, "/order/1", "o1", False)
        assert status == REFUSED_STATUS, status
        assert deployment.platform.ran["o1"] == []
        await stop
        assert time.monotonic() - started_at < GRACE_S

    deployment_fixtures.run(check)
