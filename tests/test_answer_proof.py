"""Tests that no more of an answer is believed than its engine proved."""

import asyncio
import json
import time

import aiohttp
from returns import pipeline

from tamarackpier import codes
from tamarackpier.platform import wire
from tamarackpier.replica import model as replica_model
from tamarackpier.request import model as request_model
from tamarackpier.standin import rough_engine
from tamarackpier.upstream import bounded_http, engine, service
from tests import endless, relay_fixtures

_NOT_RUN_LINE = f"{wire.Header.NOT_RUN}: full\r\n"
_PATHS = ("/order/1", "/status/1", "/draft/1")


def _run(check):
    asyncio.run(check())


def _records(address):
    return [
        *(
            relay_fixtures.plain_engine(f"o{number}", address)
            for number in range(3)
        ),
        *relay_fixtures.replica("r1", address),
        *relay_fixtures.replica("r2", address),
    ]


async def _handle(script, request, records=_records):
    """Returns the outcome, the caller, the arrivals, and the relay's metrics.

    Args:
        script: What each engine does.
        request: The request.
        records: Returns the engines at an address.
    """
    async with (
        rough_engine.serve_script(script) as (address, arrivals),
        relay_fixtures.serve_relay(records(address)) as request_relay,
    ):
        caller = relay_fixtures.RecordingCaller()
        outcome = await request_relay.handle(request, caller)
    return outcome, caller, arrivals


def _is_not_run(outcome):
    return not pipeline.is_successful(
        outcome
    ) and outcome.failure().code.outcome in (
        codes.Outcome.NOT_RUN,
        codes.Outcome.REFUSED_BY_UPSTREAM,
    )


def _answer(status, extra_headers="", other_id=None):
    """Returns a script that always gives one answer."""

    async def script(arrival):
        data = rough_engine.encode_answer(arrival, b"", status, extra_headers)
        if other_id is not None:
            own_id = arrival.header(wire.Header.REQUEST_ID)
            data = data.replace(own_id.encode(), other_id.encode())
        await arrival.write(data)

    return script


def test_a_refusal_of_another_request_is_not_believed():
    async def check():
        for status in ("503 Full", "429 Busy", "421 Other", "400 No ID"):
            for path in _PATHS:
                script = _answer(status, _NOT_RUN_LINE, other_id="other-7")
                outcome, caller, arrivals = await _handle(
                    script, relay_fixtures.request(path)
                )
                assert not _is_not_run(outcome), (status, path)
                assert not caller.is_started
                if path == "/order/1":
                    assert len(arrivals) == 1, status

    _run(check)


def test_a_success_that_claims_not_to_have_run_is_not_repeated():
    async def check():
        for status in ("200 OK", "302 Found", "500 Failed", "504 Late"):
            outcome, caller, arrivals = await _handle(
                _answer(status, _NOT_RUN_LINE),
                relay_fixtures.request("/order/1"),
            )
            assert not _is_not_run(outcome), status
            assert len(arrivals) == 1, status
            assert not caller.is_started

    _run(check)


def test_a_refusal_without_proof_that_nothing_ran_is_no_promise():
    async def check():
        for status in ("408 Late", "429 Busy", "503 Full"):
            for path in _PATHS:
                outcome, caller, arrivals = await _handle(
                    _answer(status), relay_fixtures.request(path)
                )
                assert caller.status not in (408, 421, 429, 503)
                assert not _is_not_run(outcome), (status, path)
                if path == "/order/1":
                    assert len(arrivals) == 1

    _run(check)


def test_an_interim_status_is_no_answer():
    async def check():
        outcome, caller, _ = await _handle(
            _answer("101 Switching Protocols"),
            relay_fixtures.request("/order/1"),
        )
        assert outcome.failure().code is codes.OUTCOME_UNKNOWN
        assert not caller.is_started

    _run(check)


def _events_then(after_first, after_resumed=b"", is_framed=False, last=3):
    """Returns a script whose first attempt breaks off and resumes elsewhere.

    Args:
        after_first: What follows the third event in the first attempt.
        after_resumed: What precedes the events of resumed attempts.
        is_framed: Whether answers have chunks; else they end with the
            connection.
        last: Number of the last event of the first attempt.
    """

    async def script(arrival):
        after = int(arrival.header(wire.Header.LAST_EVENT_ID) or 0)
        head = endless.STREAM_HEAD.format(id="req-1")
        data = relay_fixtures.events(1, last) + after_first
        if after:
            data = after_resumed + relay_fixtures.events(after + 1, 6)
        if is_framed:
            head += "Transfer-Encoding: chunked\r\n"
            data = relay_fixtures.chunk(data) + b"0\r\n\r\n"
        await arrival.write(f"{head}\r\n".encode() + data)

    return script


_NO_EVENTS = (
    b"HTTP/1.1 503 Full\r\nContent-Type: text/plain\r\n\r\n",
    b'{"error": "overloaded"}\n\n',
    b"data: error\n\n",
    b"event: error\ndata: overloaded\n\n",
)


def test_what_is_no_event_is_not_passed_on_inside_a_stream():
    async def check():
        for text in _NO_EVENTS:
            for is_framed in (True, False):
                outcome, caller, arrivals = await _handle(
                    _events_then(text, is_framed=is_framed),
                    relay_fixtures.request(),
                )
                assert pipeline.is_successful(outcome), text
                assert caller.data == relay_fixtures.events(1, 6)
                assert caller.is_complete
                assert len(arrivals) == 2

    _run(check)


def test_what_is_no_event_does_not_end_a_resumed_stream_as_complete():
    async def check():
        for text in _NO_EVENTS:
            outcome, caller, _ = await _handle(
                _events_then(b"id: 4\nda", text), relay_fixtures.request()
            )
            assert outcome.failure().code is codes.STREAM_INCOMPLETE, text
            assert caller.data == relay_fixtures.events(1, 3)
            assert not caller.is_complete

    _run(check)


def test_comments_in_a_stream_are_passed_on():
    async def check():
        _, caller, arrivals = await _handle(
            _events_then(b": ping\n\n" + relay_fixtures.events(4, 6)),
            relay_fixtures.request(),
        )
        assert caller.data == (
            relay_fixtures.events(1, 3)
            + b": ping\n\n"
            + relay_fixtures.events(4, 6)
        )
        assert caller.is_complete
        assert len(arrivals) == 1

    _run(check)


def test_a_stream_that_ends_with_its_connection_before_any_event_is_broken():
    async def first_is_empty(arrival):
        head = endless.STREAM_HEAD.format(id="req-1")
        is_first = arrival.header(wire.Header.EXPECT_ENGINE) not in seen
        seen.append(arrival.header(wire.Header.EXPECT_ENGINE))
        data = (
            b"" if is_first and len(seen) == 1 else relay_fixtures.events(1, 3)
        )
        await arrival.write(f"{head}\r\n".encode() + data)

    seen: list[str] = []

    async def check():
        outcome, caller, arrivals = await _handle(
            first_is_empty, relay_fixtures.request()
        )
        assert pipeline.is_successful(outcome)
        assert caller.data == relay_fixtures.events(1, 3)
        assert len(arrivals) == 2

    _run(check)


def test_a_resumed_stream_that_ends_with_its_connection_at_once_is_incomplete():
    async def script(arrival):
        head = endless.STREAM_HEAD.format(id="req-1")
        data = relay_fixtures.events(1, 3) + b"id: 4\nda"
        if arrival.header(wire.Header.LAST_EVENT_ID):
            data = b""
        await arrival.write(f"{head}\r\n".encode() + data)

    async def check():
        outcome, caller, _ = await _handle(script, relay_fixtures.request())
        assert outcome.failure().code is codes.STREAM_INCOMPLETE
        assert caller.data == relay_fixtures.events(1, 3)
        assert not caller.is_complete

    _run(check)


def test_a_stream_that_its_caller_resumed_lacks_no_event():
    async def skip(arrival):
        head = endless.STREAM_HEAD.format(id="req-1")
        first = 6 if len(seen) == 0 else 4
        seen.append(first)
        data = relay_fixtures.events(first, 8)
        await arrival.write(f"{head}\r\n".encode() + data)

    seen: list[int] = []

    async def check():
        outcome, caller, _ = await _handle(
            skip, relay_fixtures.request(last_event_id="3")
        )
        assert pipeline.is_successful(outcome)
        assert caller.data == relay_fixtures.events(4, 8)

    _run(check)


def _cut_heads():
    """Yields the starts of a whole head, each a few bytes longer."""
    head = endless.STREAM_HEAD.format(id="req-1") + "Content-Length: 0\r\n\r\n"
    for length in range(1, len(head), 5):
        yield head[:length].encode()
    yield head[:-1].encode()


def _cut_head(head, resets):
    async def script(arrival):
        await arrival.write(head)
        if resets:
            await asyncio.sleep(0.01)
            arrival.reset()

    return script


def test_an_answer_that_ends_inside_its_head_is_no_answer():
    async def check():
        for head in _cut_heads():
            for resets in (False, True):
                outcome, caller, arrivals = await _handle(
                    _cut_head(head, resets), relay_fixtures.request("/order/1")
                )
                assert outcome.failure().code is codes.OUTCOME_UNKNOWN, head
                assert not caller.is_started
                assert len(arrivals) == 1

    _run(check)


def test_a_resumed_stream_is_not_ended_by_an_answer_cut_inside_its_head():
    async def check():
        for head in _cut_heads():

            async def script(arrival, head=head):
                if arrival.header(wire.Header.LAST_EVENT_ID):
                    await arrival.write(head)
                    return
                data = relay_fixtures.events(1, 3) + b"id: 4\nda"
                start = endless.STREAM_HEAD.format(id="req-1")
                await arrival.write(f"{start}\r\n".encode() + data)

            outcome, caller, _ = await _handle(script, relay_fixtures.request())
            assert outcome.failure().code is codes.STREAM_INCOMPLETE
            assert caller.data == relay_fixtures.events(1, 3)
            assert not caller.is_complete

    _run(check)


async def _call_service(script, is_repeatable=False):
    """Returns the answer of a plain service on the product's own face."""
    async with (
        rough_engine.serve_script(script) as (address, arrivals),
        aiohttp.ClientSession(
            connector=bounded_http.BoundedConnector(limit=0, force_close=True)
        ) as session,
    ):
        client = service.HttpServiceClient(session)
        call = request_model.ServiceCall(
            "req-1",
            "clerks",
            "orders",
            "POST",
            "book",
            b"order",
            "text/plain",
            "",
            is_repeatable,
            time.monotonic() + 5.0,
        )
        answer = await client.call(f"http://{address}", call, 2.0)
    return answer, len(arrivals)


def test_a_service_answer_that_ends_inside_its_head_is_no_answer():
    async def check():
        for head in _cut_heads():
            for resets in (False, True):
                answer, _ = await _call_service(_cut_head(head, resets))
                assert answer.failure().code is codes.OUTCOME_UNKNOWN, head

    _run(check)


def test_a_service_answer_without_length_that_is_reset_is_incomplete():
    async def script(arrival):
        await arrival.write(b"HTTP/1.1 200 OK\r\n\r\nbooked 3 of")
        await asyncio.sleep(0.05)
        arrival.reset()

    async def check():
        answer, _ = await _call_service(script)
        assert answer.failure().code is codes.OUTCOME_UNKNOWN

    _run(check)


def test_a_service_answer_without_length_ends_with_its_connection():
    async def script(arrival):
        await arrival.write(b"HTTP/1.1 200 OK\r\n\r\nbooked 3 of 3")

    async def check():
        answer, _ = await _call_service(script)
        assert answer.unwrap().body == b"booked 3 of 3"

    _run(check)


def test_a_service_call_is_not_sent_on_to_where_an_answer_redirects():
    async def script(arrival):
        location = f"http://{arrival.header('Host')}/elsewhere"
        await arrival.write(
            f"HTTP/1.1 307 Moved\r\nLocation: {location}\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )

    async def check():
        answer, arrival_count = await _call_service(script)
        assert answer.unwrap().status == 307
        assert arrival_count == 1

    _run(check)


_REPORT = json.dumps(
    {
        "instance_id": "e1",
        "boot_id": "b1",
        "state": "ready",
        "replica_id": "r1",
        "fence": 1,
        "members": ["e1"],
        "model": "large",
        "version": "1",
        "running": 0,
        "slots": 4,
    }
).encode()


def _encode_reply(arrival, status, body=b""):
    """Returns an engine's answer to a call on the product's own face."""
    call_id = arrival.header(engine.CALL_ID_HEADER)
    return (
        f"HTTP/1.1 {status}\r\n{engine.CALL_ID_HEADER}: {call_id}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def _repeat_first_answer(status, body):
    """Returns a script that gives its first answer again to a later call."""

    async def script(arrival):
        first_answer = _encode_reply(arrival, status, body)
        await arrival.write(first_answer)
        await arrival.reader.readuntil(b"\r\n\r\n")
        await arrival.write(first_answer)

    return script


async def _call_twice(script, call):
    """Returns the results of two calls of an engine on one connection."""
    async with (
        rough_engine.serve_script(script) as (address, arrivals),
        aiohttp.ClientSession(
            connector=bounded_http.BoundedConnector(limit=0)
        ) as session,
    ):
        client = engine.HttpEngineClient(session, 1.0, 1.0)
        results = [await call(client, f"http://{address}") for _ in range(2)]
    assert len(arrivals) == 1  # The connection was kept.
    return results


def _dispatch():
    call = request_model.ModelCall(
        request_id="req-1",
        account="clerks",
        kind=request_model.CallKind.CHAT,
        model="large",
        content="hello",
        max_tokens=4,
        sampling={},
        is_streamed=True,
        cost=8.0,
        received_at=0.0,
        deadline=5.0,
        fingerprint="f1",
        part_fingerprints=(),
        prefix_key="p1",
    )
    return engine.Dispatch(call, "r1", 1, 0)


def test_an_earlier_refusal_on_a_kept_connection_does_not_refuse_a_call():
    async def check():
        for status in ("409 Conflict", "429 Busy", "503 Full"):
            first, second = await _call_twice(
                _repeat_first_answer(status, b"full"),
                lambda client, address: client.open(address, _dispatch()),
            )
            assert first.failure().code in (
                codes.REPLICA_NOT_WHOLE,
                codes.UPSTREAM_REFUSED,
            )
            assert second.failure().code is codes.UPSTREAM_FAILED, status

    _run(check)


def test_an_earlier_report_on_a_kept_connection_is_no_new_evidence():
    async def check():
        first, second = await _call_twice(
            _repeat_first_answer("200 OK", _REPORT),
            lambda client, address: client.report(address, "e1", 0.0),
        )
        assert pipeline.is_successful(first)
        assert second.failure().code is codes.UPSTREAM_UNREACHABLE

    _run(check)


def test_an_earlier_acceptance_on_a_kept_connection_accepts_no_order():
    async def check():
        def order(client, address):
            return client.order(
                replica_model.Order(
                    "e1", address, replica_model.OrderKind.RELEASE, 1
                )
            )

        first, second = await _call_twice(
            _repeat_first_answer("200 OK", b""), order
        )
        assert pipeline.is_successful(first)
        assert second.failure().code is codes.UPSTREAM_UNREACHABLE

    _run(check)
