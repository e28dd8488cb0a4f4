"""Tests of faulty upstreams on the product's own face, on loopback."""

import asyncio
import dataclasses
import random
import time

import aiohttp
from nose2.tools import params
from returns import pipeline, result

from tamarackpier import codes, invariants, metrics, quarantine, settings
from tamarackpier.request import model, retry, service_relay
from tamarackpier.standin import memory, rough_engine
from tamarackpier.upstream import bounded_http, engine, service
from tests import endless

CRASHING_BODY = b"crashes"


class _CrashingService:
    """Upstreams that end when they run `CRASHING_BODY`, and start again."""

    def __init__(self):
        self.ended_until = {}
        self.crash_count = 0

    async def call(self, address, call, timeout_s):
        if await self.has_ended(address):
            return _failure(codes.UPSTREAM_UNREACHABLE)
        if call.body == CRASHING_BODY:
            self.crash_count += 1
            self.ended_until[address] = time.monotonic() + 1.0
            return _failure(codes.OUTCOME_UNKNOWN)
        return result.Success(service.ServiceAnswer(200, "text/plain", b"done"))

    async def has_ended(self, address):
        return time.monotonic() < self.ended_until.get(address, 0.0)


def _failure(code):
    return result.Failure(codes.fault(code, "broken"))


def _service_relay(client, crash_quarantine):
    upstreams = tuple(f"http://127.0.0.1:{port}" for port in (1, 2, 3, 4))
    return service_relay.ServiceRelay(
        {"orders": settings.ServiceSettings(upstreams=upstreams)},
        memory.MemoryTable(),
        client,
        "entry-1/1",
        lambda owner: True,
        retry.RetryBudget(0.2, max_balance=1000.0),
        retry.Breakers(),
        retry.Backoff(0.01, 0.05),
        metrics.Metrics(),
        invariants.Invariants(strict=True),
        random.Random(1),
        time.monotonic,
        time.time,
        crash_quarantine,
    )


def _call(number, body, is_repeatable):
    return model.ServiceCall(
        f"req-{number}",
        "clerks",
        "orders",
        "POST",
        "book",
        body,
        "text/plain",
        "" if is_repeatable else f"key-{number}",
        is_repeatable,
        time.monotonic() + 5.0,
    )


def test_a_service_call_that_crashes_upstreams_is_refused():
    async def check():
        for is_repeatable in (True, False):
            client = _CrashingService()
            suspects = quarantine.Quarantine(3, 600.0)
            relay = _service_relay(client, suspects)
            codes_seen = set()
            for number in range(30):
                answer = await relay.run(
                    _call(number, CRASHING_BODY, is_repeatable)
                )
                codes_seen.add(answer.failure().code)
                await asyncio.sleep(0.1)
            assert client.crash_count == 3
            assert codes.CRASH_SUSPECT in codes_seen
            harmless = await relay.run(_call("other", b"fine", is_repeatable))
            assert pipeline.is_successful(harmless)

    asyncio.run(check())


def test_endless_are_bounded_on_the_own_face():
    async def check():
        for first, following in endless.ANSWERS.values():
            sent = []
            script = endless.send_without_end(first, following, sent)
            async with (
                rough_engine.serve_script(script) as (address, _),
                aiohttp.ClientSession(
                    connector=bounded_http.BoundedConnector(limit=0)
                ) as session,
            ):
                client = service.HttpServiceClient(session)
                started_at = time.monotonic()
                answer = await client.call(
                    f"http://{address}", _call(1, b"x", True), 5.0
                )
                assert answer.failure().code is codes.OUTCOME_UNKNOWN
                engines = engine.HttpEngineClient(session, 5.0, 5.0)
                report = await engines.report(f"http://{address}", "e1", 0.0)
                assert not pipeline.is_successful(report)
                assert time.monotonic() - started_at < 2.0
                await asyncio.sleep(0.05)
            assert max(sent) < endless.MAX_BYTES

    asyncio.run(check())


def _run_at_silent_service(silence_s, call):
    """Returns the result of a call and the number of times it was sent."""

    async def script(request):
        await asyncio.sleep(silence_s)
        await request.write(rough_engine.encode_answer(request, b"done"))

    async def run():
        async with (
            rough_engine.serve_script(script) as (address, arrivals),
            aiohttp.ClientSession(
                connector=bounded_http.BoundedConnector(limit=0)
            ) as session,
        ):
            relay = _service_relay(
                service.HttpServiceClient(session),
                quarantine.Quarantine(3, 600.0),
            )
            relay.services["orders"] = settings.ServiceSettings(
                upstreams=(f"http://{address}",)
            )
            relay.budget = retry.RetryBudget(0.0, max_balance=0.0)
            answer = await relay.run(call)
            return answer, len(arrivals)

    return asyncio.run(run())


@params(True, False)
def test_a_silent_service_that_goes_on_answers_its_calls(is_repeatable):
    answer, sent_count = _run_at_silent_service(
        1.2, _call(1, b"fine", is_repeatable)
    )
    assert answer.unwrap().body == b"done"
    assert sent_count == 1


@params(True, False)
def test_a_call_of_a_silent_service_ends_at_its_deadline(is_repeatable):
    call = _call(1, b"fine", is_repeatable)
    call = dataclasses.replace(call, deadline=time.monotonic() + 0.5)
    answer, sent_count = _run_at_silent_service(1.2, call)
    assert answer.failure().code is codes.OUTCOME_UNKNOWN
    assert sent_count == 1
