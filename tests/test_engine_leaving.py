"""Tests of engines that say in their answers that they leave."""

import asyncio
import collections
import contextlib
import itertools
import time

import aiohttp
from returns import pipeline

from tamarackpier import codes
from tamarackpier.fleet import departures, fleet_view
from tamarackpier.fleet import model as fleet_model
from tamarackpier.platform import decode, wire
from tamarackpier.standin import rough_engine
from tests import deployment_fixtures, hosted_fixtures, relay_fixtures

# Time after which an engine that said so gets nothing more, as the platform
# states it.
DRAIN_S = 2.0
# Longest time in which a request that fits nowhere is refused.
AT_ONCE_S = 0.3
LEAVING = f"{wire.Header.LEAVING}: 1\r\n"
NOT_RUN = f"{wire.Header.NOT_RUN}: 1\r\n"
STREAMS = {"count": 2, "engine_count": 9, "domain_count": 4}


class _Callers:
    """Callers that send requests to some instances in turn.

    Attributes:
        deployment: The deployment.
        instances: Indexes of the instances.
        answers: HTTP status, body and duration in seconds of each answer.
    """

    def __init__(self, deployment, *instances):
        self.deployment = deployment
        self.instances = instances or range(len(deployment.instances))
        self.answers = []
        self._numbers = itertools.count()

    async def _post(self, path, number, instance):
        started_at = time.monotonic()
        with contextlib.suppress(aiohttp.ClientError):
            response, data = await self.deployment.post(
                path, f"request-{id(self)}-{number}", instance, b"%d" % number
            )
            took_s = time.monotonic() - started_at
            self.answers.append((response.status, data, took_s))

    async def send(self, path, seconds, per_s=30):
        """Sends requests at a rate, without waiting for answers."""
        tasks = []
        ends_at = time.monotonic() + seconds
        turns = itertools.cycle(self.instances)
        while time.monotonic() < ends_at:
            number = next(self._numbers)
            tasks.append(
                asyncio.ensure_future(self._post(path, number, next(turns)))
            )
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*tasks)

    def statuses(self):
        """Returns the HTTP statuses of all answers."""
        return {status for status, *_ in self.answers}


def _check_drained(platform, *names):
    """Checks that no request reached a leaving engine too late."""
    late = {
        name: sum(
            at > platform.said_leaving_at[name] + DRAIN_S
            for at in platform.leaving_arrivals[name]
        )
        for name in names
    }
    assert not any(late.values()), f"late requests: {late}"


async def _busiest_lead(deployment, callers):
    """Sends requests and returns the ID of the lead that ran the most."""
    await deployment.until(lambda: min(deployment.serving()) >= 3)
    await callers.send("/draft/1", 1.5, 60)
    runs = collections.Counter(
        name for names in deployment.platform.ran.values() for name in names
    )
    return runs.most_common(1)[0][0]


def test_an_engine_that_answers_that_it_leaves_gets_nothing_after_the_drain():
    async def check(deployment):
        await deployment.until(lambda: all(deployment.serving()))
        platform = deployment.platform
        callers = _Callers(deployment)
        platform.leaving_engines.add("o1")
        await asyncio.gather(
            callers.send("/order/1", 4.5), callers.send("/status/1", 4.5)
        )
        _check_drained(platform, "o1")
        assert callers.statuses() == {200}

    deployment_fixtures.run(check, count=2, order_engine_count=3)


def test_a_lead_that_answers_that_it_leaves_gets_nothing_after_the_drain():
    async def check(deployment):
        platform = deployment.platform
        callers = _Callers(deployment)
        lead = await _busiest_lead(deployment, callers)
        platform.leaving_engines.add(lead)
        await callers.send("/draft/1", 4.5, 60)
        _check_drained(platform, lead)
        assert callers.statuses() == {200}

    deployment_fixtures.run(check, **STREAMS)


def test_an_engine_that_leaves_while_the_store_is_away_gets_nothing_late():
    async def check(deployment):
        platform = deployment.platform
        callers = _Callers(deployment)
        lead = await _busiest_lead(deployment, callers)
        platform.store.refuses = True
        platform.leaving_engines.update({lead, "o1"})
        await asyncio.gather(
            callers.send("/draft/1", 4.5, 60), callers.send("/status/1", 4.5)
        )
        platform.store.refuses = False
        await asyncio.gather(
            callers.send("/draft/1", 3.5, 60), callers.send("/status/1", 3.5)
        )
        _check_drained(platform, lead, "o1")

    deployment_fixtures.run(check, order_engine_count=3, **STREAMS)


def test_requests_are_refused_at_once_if_the_only_engine_leaves():
    async def check(deployment):
        await deployment.until(lambda: all(deployment.serving()))
        platform = deployment.platform
        callers = _Callers(deployment)
        platform.leaving_engines.add("o0")
        await callers.send("/order/1", 3.5)
        _check_drained(platform, "o0")
        status, data, took_s = callers.answers[-1]
        assert status == 503
        assert codes.NO_UPSTREAM.name.encode() in data
        assert took_s < AT_ONCE_S

    deployment_fixtures.run(check, count=1, order_engine_count=1)


def test_an_instance_without_requests_hears_that_an_engine_leaves():
    async def check(deployment):
        await deployment.until(lambda: all(deployment.serving()))
        deployment.platform.leaving_engines.add("o0")
        await _Callers(deployment, 0).send("/order/1", 0.2)
        other = deployment.instances[1]
        await deployment.until(
            lambda: other.fleet.engines["o0"].is_leaving, DRAIN_S
        )

    deployment_fixtures.run(check, count=2)


def test_planners_replace_a_lead_that_answers_that_it_leaves():
    async def check(deployment):
        platform = deployment.platform
        callers = _Callers(deployment)
        lead = await _busiest_lead(deployment, callers)
        platform.leaving_engines.add(lead)
        await callers.send("/draft/1", 1.0, 60)
        await deployment.until(
            lambda: platform.fabric.engines[lead].membership is None
        )
        assert platform.breaches == []

    deployment_fixtures.run(check, **STREAMS)


def test_an_engine_that_started_again_is_not_leaving_any_more():
    async def check(deployment):
        await deployment.until(lambda: all(deployment.serving()))
        platform = deployment.platform
        platform.leaving_engines.add("o0")
        callers = _Callers(deployment)
        await callers.send("/order/1", 0.5)
        assert 503 in callers.statuses()
        platform.leaving_engines.clear()
        platform.fabric.restart("o0")
        await deployment.until(
            lambda: all(
                instance.fleet.engines_of_service("orders")
                for instance in deployment.instances
            ),
            DRAIN_S,
        )
        callers.answers.clear()
        await callers.send("/order/1", 0.5)
        assert callers.statuses() == {200}

    deployment_fixtures.run(check, count=2)


def test_an_engine_says_in_any_answer_to_a_request_that_it_leaves():
    async def check():
        for status, headers in (
            ("200 OK", ""),
            ("503 Busy", NOT_RUN),
            ("500 Oops", ""),
            ("404 Not Found", ""),
        ):
            await _check_one_request(status, headers)

    asyncio.run(check())


async def _check_one_request(status, headers):
    """Checks that each engine gets one request, answered with a status."""

    async def answer(arrival):
        await arrival.write(
            rough_engine.encode_answer(arrival, b"", status, headers + LEAVING)
        )

    for path in ("/order/1", "/status/1", "/draft/1"):
        async with rough_engine.serve_script(answer) as (address, arrivals):
            records = [
                relay_fixtures.plain_engine("o1", address),
                *relay_fixtures.replica("r1", address),
            ]
            async with relay_fixtures.serve_relay(records) as request_relay:
                for _ in range(3):
                    outcome = await request_relay.handle(
                        relay_fixtures.request(path),
                        relay_fixtures.RecordingCaller(),
                    )
        assert len(arrivals) == 1, (status, path)
        fault = outcome.failure()
        assert fault.code.outcome is codes.Outcome.NOT_RUN


def test_an_engine_says_in_reports_and_to_orders_that_it_leaves():
    async def answer(arrival):
        body = b'{"operation": "join", "born": 1}'
        await arrival.write(
            rough_engine.encode_answer(arrival, body, "200 OK", LEAVING)
        )

    async def check():
        for name in ("report", "order"):
            async with rough_engine.serve_script(answer) as (address, _):
                engine = relay_fixtures.plain_engine("o1", address)
                async with relay_fixtures.serve_relay([engine]) as relay:
                    if name == "report":
                        await relay.gateway.report(engine, 1.0)
                    else:
                        order = fleet_model.Order(
                            fleet_model.OrderKind.STAGE, engine, "", model="m"
                        )
                        await relay.gateway.order(order, 1.0)
                    assert relay.fleet.engines["o1"].is_leaving, name

    asyncio.run(check())


def test_a_stream_does_not_resume_at_a_lead_that_said_it_leaves():
    async def cut_off(arrival):
        await arrival.write(
            rough_engine.encode_answer(
                arrival, relay_fixtures.events(1, 3), "200 OK", LEAVING, 9999
            )
        )

    async def check():
        async with (
            rough_engine.serve_script(cut_off) as (address, arrivals),
            relay_fixtures.serve_relay(
                relay_fixtures.replica("r1", address)
            ) as request_relay,
        ):
            for _ in range(2):
                outcome = await request_relay.handle(
                    relay_fixtures.request(), relay_fixtures.RecordingCaller()
                )
        assert not pipeline.is_successful(outcome)
        assert len(arrivals) == 1

    asyncio.run(check())


def test_what_another_engine_at_the_address_says_is_no_leaving():
    async def answer(arrival):
        headers = f"{wire.Header.ENGINE}: other\r\n{LEAVING}"
        await arrival.write(
            rough_engine.encode_answer(arrival, b"", "421 Other", headers)
        )

    async def check():
        async with rough_engine.serve_script(answer) as (address, _):
            engine = relay_fixtures.plain_engine("o1", address)
            async with relay_fixtures.serve_relay([engine]) as request_relay:
                await request_relay.handle(
                    relay_fixtures.request("/order/1"),
                    relay_fixtures.RecordingCaller(),
                )
                await request_relay.gateway.report(engine, 1.0)
                assert not request_relay.fleet.engines["o1"].is_leaving

    asyncio.run(check())


def _fleet_that_heard(incarnation=5):
    """Returns a fleet with an engine that said that it leaves."""
    fleet = fleet_view.FleetView()
    fleet.replace([hosted_fixtures.record("e1", incarnation=incarnation)], 0.0)
    departure = departures.Departure("e1", incarnation)
    assert fleet.record_departure(departure)
    assert not fleet.record_departure(departure)
    return fleet


def test_no_row_takes_back_that_an_engine_said_it_leaves():
    row = hosted_fixtures.record("e1", incarnation=5, staged=("large",))
    for vanishes, is_restored in itertools.product((False, True), repeat=2):
        fleet = _fleet_that_heard()
        if vanishes:
            fleet.remove("e1", 1.0)
        if is_restored:
            fleet.mark_rows_restored(1.0)
        fleet.replace([row], 2.0)
        for now in (2.0, 3.0, 4.0, 60.0):
            fleet.expire(now)
            assert not fleet.engines_of_service("drafts")
        assert fleet.engines["e1"].is_leaving
        assert fleet.engines["e1"].staged == ("large",)


def test_no_observation_takes_back_that_an_engine_said_it_leaves():
    fleet = _fleet_that_heard()
    row = hosted_fixtures.record("e1", incarnation=5)
    fleet.mark_store_unreachable("rows")
    report = fleet_model.EngineReport("e1", None, 0, 0, 1.0, 5)
    fleet.observe(report, 1.0)
    fleet.put(row)
    fleet.mark_store_reachable("rows", 2.0)
    for now in (2.0, 5.0, 60.0):
        fleet.expire(now)
        assert fleet.engines["e1"].is_leaving


def test_only_a_later_start_of_an_engine_is_not_leaving():
    fleet = _fleet_that_heard()
    fleet.put(hosted_fixtures.record("e1", incarnation=6))
    assert not fleet.engines["e1"].is_leaving
    assert not fleet.record_departure(departures.Departure("e1", 5))
    assert not fleet.engines["e1"].is_leaving
    # Heard before the row of that start.
    assert fleet.record_departure(departures.Departure("e1", 7))
    fleet.put(hosted_fixtures.record("e1", incarnation=7))
    assert fleet.engines["e1"].is_leaving


def test_a_replica_serves_on_with_a_member_that_said_it_leaves():
    fleet = fleet_view.FleetView()
    fleet.set_services(hosted_fixtures.services())
    fleet.replace(hosted_fixtures.replica_records(), 0.0)
    fleet.record_departure(departures.Departure("r1-2", 1))
    (replica,) = fleet.serving("drafts", "large")
    assert [engine.id for engine in replica.leaving] == ["r1-2"]
    fleet.record_departure(departures.Departure("r1-0", 1))
    assert not fleet.serving("drafts", "large")


def test_departures_are_bounded_in_memory_and_in_messages():
    heard = departures.Departures()
    for number in range(10_000):
        assert heard.record(departures.Departure(f"e{number}", number))
    assert len(heard.incarnations) == 4096
    known = {f"e{number}" for number in range(9000, 9900)}
    sent = heard.latest_of(known)
    assert len(sent) == departures.MAX_SENT
    assert sent[0] == departures.Departure("e9899", 9899)
    for incarnation in (-1, 1 << 63):
        assert not heard.record(departures.Departure("e", incarnation))


def test_only_a_one_says_that_an_engine_leaves():
    for text, says_leaving in (
        ("1", True),
        (" 1 ", True),
        ("0", False),
        ("", False),
        ("no", False),
        (None, False),
    ):
        assert decode.is_leaving(text) is says_leaving
