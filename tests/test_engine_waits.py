"""Tests of engines that ask an instance to send nothing for a while."""

import asyncio
import contextlib
import dataclasses
import itertools
import time

import aiohttp
import hypothesis
from hypothesis import strategies
from returns import pipeline

from tamarackpier import codes
from tamarackpier.platform import decode, wire
from tamarackpier.standin import rough_engine
from tamarackpier.traffic import engine_waits
from tests import deployment_fixtures, hosted_fixtures, relay_fixtures

# The platform's bound: from so long after the answer to the end of the time,
# an engine gets so many requests from the instance.
KNOWN_AFTER_S = 0.5
MAX_REQUESTS = 2
# Longest time in which a request that fits nowhere is refused.
AT_ONCE_S = 0.3
ENGINE = hosted_fixtures.record("e1")
FUZZ = hypothesis.settings(derandomize=True, database=None, deadline=None)
# Time until the next request, in seconds; its time on the way to the engine,
# and that of the answer; the wait that the engine asks for, or None if it runs
# the request.
EXCHANGES = strategies.lists(
    strategies.tuples(
        strategies.floats(0, 1.0),
        strategies.floats(0, 0.2),
        strategies.floats(0, 0.29),
        strategies.none() | strategies.floats(0, 20.0),
    ),
    max_size=60,
)


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
        # So slow that requests go to all engines.
        platform.plain_answer_s = 0.25
        platform.retry_after["o1"] = "2.5"
        await callers.send("/order/1", 6, 45)
        _check_waits(platform, "o1")
        # It is asked again when its time is over.
        assert len(platform.turned_away["o1"]) >= 2
        assert callers.statuses() == {200}

    deployment_fixtures.run(check, count=1, order_engine_count=2)


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
        faults = [outcome.failure() for outcome in outcomes]
        assert {fault.code for fault in faults} == {codes.UPSTREAMS_WAITING}
        assert all(fault.retry_after_s >= 5 for fault in faults)

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


@FUZZ
@hypothesis.given(EXCHANGES)
def test_an_engine_gets_no_more_than_the_bound_in_any_time_it_asked_for(
    exchanges,
):
    waits = engine_waits.EngineWaits()
    now = 0.0
    arrivals = []
    answers = []
    unread = []
    for gap_s, way_s, answer_s, wait_s in exchanges:
        now += gap_s
        for read_at, asked_s in sorted(unread):
            if read_at <= now:
                waits.record(ENGINE, asked_s, read_at)
        unread = [entry for entry in unread if entry[0] > now]
        waits.take_ended({ENGINE.id: ENGINE}, now)
        if waits.wait_s(ENGINE, now) > 0:
            continue
        arrivals.append(now + way_s)
        if wait_s is not None:
            answers.append((now + way_s, wait_s))
            unread.append((now + way_s + answer_s, wait_s))
    for answered_at, wait_s in answers:
        meanwhile = [
            at
            for at in arrivals
            if answered_at + KNOWN_AFTER_S < at < answered_at + wait_s
        ]
        assert len(meanwhile) <= MAX_REQUESTS


def test_the_latest_end_holds_of_several_answers():
    waits = engine_waits.EngineWaits()
    assert waits.record(ENGINE, 5.0, 10.0)
    assert not waits.record(ENGINE, 1.0, 10.1)
    assert waits.wait_s(ENGINE, 10.0) == 5.0
    assert not waits.record(ENGINE, 8.0, 10.2)
    assert waits.wait_s(ENGINE, 18.0) > 0
    assert waits.wait_s(ENGINE, 18.3) == 0
    assert waits.record(ENGINE, 1.0, 20.0)
    assert waits.wait_s(ENGINE, 21.5) == 0


def test_another_start_of_an_engine_is_not_waited_for():
    waits = engine_waits.EngineWaits()
    waits.record(ENGINE, 5.0, 10.0)
    restarted = dataclasses.replace(ENGINE, incarnation=2)
    assert waits.wait_s(restarted, 11.0) == 0
    assert waits.take_ended({ENGINE.id: restarted}, 11.0) == [ENGINE.id]
    assert not waits.waits


def test_a_wait_outlives_the_row_of_its_engine():
    waits = engine_waits.EngineWaits()
    waits.record(ENGINE, 5.0, 10.0)
    assert waits.take_ended({}, 11.0) == []
    assert waits.wait_s(ENGINE, 11.0) == 4.0
    assert waits.take_ended({}, 15.0) == [ENGINE.id]


def test_waits_are_bounded_in_number_and_length():
    waits = engine_waits.EngineWaits()
    for number in range(10_000):
        engine = hosted_fixtures.record(f"e{number}")
        waits.record(engine, 1e300, 10.0)
    assert len(waits.waits) == 4096
    assert waits.wait_s(engine, 10.0) == engine_waits.MAX_WAIT_S


def test_callers_that_are_refused_together_return_at_different_times():
    waits = engine_waits.EngineWaits()
    other = hosted_fixtures.record("e2")
    waits.record(ENGINE, 3.0, 10.0)
    waits.record(other, 2.0, 10.0)
    promises = [
        waits.promise_s([ENGINE, other], 10.0, step / 10) for step in range(11)
    ]
    assert promises[0] == 2.0
    assert len(set(promises)) == 11
    assert max(promises) == 3.0


def test_only_seconds_are_waits():
    for text, wait_s in (
        ("2", 2.0),
        ("0.25", 0.25),
        ("0", 0.0),
        (None, None),
        ("", None),
        ("-1", None),
        ("nan", None),
        ("inf", None),
        ("soon", None),
        ("Sat, 05 Dec 2026 02:00:00 GMT", None),
    ):
        assert decode.retry_after_s(text) == wait_s


def test_an_unreadable_wait_is_no_wait():
    async def check():
        for text in ("-5", "nan", "Sat, 05 Dec 2026 02:00:00 GMT", "0"):
            async with (
                rough_engine.serve_script(_refusing(text)) as (address, came),
                relay_fixtures.serve_relay(
                    [relay_fixtures.plain_engine("o1", address)]
                ) as request_relay,
            ):
                await _handle(request_relay, "/order/1", "/order/1")
            assert len(came) == 2, text

    asyncio.run(check())


def test_an_answer_to_another_request_asks_for_no_wait():
    async def answer(arrival):
        arrival.head = arrival.head.replace("req-1", "req-2")
        await _refusing("30")(arrival)

    async def check():
        async with (
            rough_engine.serve_script(answer) as (address, came),
            relay_fixtures.serve_relay(
                [relay_fixtures.plain_engine("o1", address)]
            ) as request_relay,
        ):
            await _handle(request_relay, "/order/1", "/order/1")
        assert len(came) == 2

    asyncio.run(check())


def test_a_stream_resumes_where_no_engine_asked_to_wait():
    async def cut_off_or_refuse(arrival):
        name = arrival.header(wire.Header.EXPECT_ENGINE)
        if name in refusing:
            await _refusing("30")(arrival)
            return
        after = int(arrival.header(wire.Header.LAST_EVENT_ID) or 0)
        refusing.add(name)
        # The first attempt is cut off; the one that resumes is complete.
        data = relay_fixtures.events(after + 1, 6 if after else 3)
        await arrival.write(
            rough_engine.encode_answer(
                arrival, data, length=None if after else 9999
            )
        )

    refusing = {"r1-0", "r2-0"}

    async def check():
        async with (
            rough_engine.serve_script(cut_off_or_refuse) as (address, came),
            relay_fixtures.serve_relay(
                [
                    record
                    for name in ("r1", "r2", "r3", "r4")
                    for record in relay_fixtures.replica(name, address)
                ]
            ) as request_relay,
        ):
            for name in ("r1", "r2"):
                record = request_relay.fleet.engines[f"{name}-0"]
                request_relay.waits.record(record, 30.0, request_relay.clock())
            (outcome,) = await _handle(request_relay, "/draft/1")
        assert pipeline.is_successful(outcome)
        names = [arrival.header(wire.Header.EXPECT_ENGINE) for arrival in came]
        assert sorted(names) == ["r3-0", "r4-0"]

    asyncio.run(check())
