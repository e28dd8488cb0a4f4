"""Tests that engines get whole requests only, and unchanged."""

import asyncio
import contextlib
import dataclasses

import httptools
import hypothesis
import uvicorn
from hypothesis import strategies
from uvicorn import server as uvicorn_server

from tamarackpier import codes
from tamarackpier.daemon import http, serving
from tamarackpier.platform import wire
from tamarackpier.standin import rough_engine
from tamarackpier.traffic import caller_connection
from tests import deployment_fixtures

OFFER = (
    "Connection: Upgrade, HTTP2-Settings\r\n"
    "Upgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQAAP__\r\n"
)


def _request(request_id, body, extra="", path="/order/new"):
    return (
        f"POST {path} HTTP/1.1\r\nHost: a.example\r\n"
        "Authorization: Token key-1\r\n"
        f"{wire.Header.REQUEST_ID}: {request_id}\r\n"
        f"{wire.Header.DEADLINE_MS}: 4000\r\n{extra}"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode("latin-1") + body


async def _answer(request):
    await request.write(rough_engine.encode_answer(request, b"done"))


def _run(check):
    """Runs a check with a function that sends packets, and what engines got."""

    async def run_check(deployment):
        platform = deployment.platform
        instance = deployment.instances[0]
        async with rough_engine.serve_script(_answer) as (address, received):
            await platform.add_engine("o0", "orders", "zone-a", "")
            engine = platform.fabric.engines["o0"]
            engine.record = dataclasses.replace(engine.record, address=address)
            await deployment.until(
                lambda: any(
                    known.address == address
                    for known in instance.fleet.engines.values()
                )
            )
            await check(
                lambda *packets: _send(
                    instance.settings.listen.callers, packets
                ),
                received,
            )

    deployment_fixtures.run(
        run_check, count=1, engine_count=0, order_engine_count=0
    )


async def _send(address, packets):
    """Sends packets of their own on a new connection; returns what comes."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    answer = b""
    with contextlib.suppress(TimeoutError, OSError):
        for packet in packets:
            writer.write(packet)
            await writer.drain()
            await asyncio.sleep(0.1)
        async with asyncio.timeout(1.0):
            while data := await reader.read(65_536):
                answer += data
    writer.close()
    return answer


def _bodies(received):
    return {
        request.header(wire.Header.REQUEST_ID): request.body
        for request in received
    }


def test_a_request_that_offers_another_protocol_keeps_its_body():
    async def check(send, received):
        for number, offer in enumerate(
            (OFFER, OFFER.replace("h2c", "websocket"))
        ):
            answer = await send(
                _request(f"order-{number}", b'{"lots": 2}', offer)
            )
            assert answer.startswith(b"HTTP/1.1 200 "), answer
        assert _bodies(received) == {
            "order-0": b'{"lots": 2}',
            "order-1": b'{"lots": 2}',
        }
        for request in received:
            assert not request.header("Upgrade")
            assert not request.header("HTTP2-Settings")

    _run(check)


def test_a_body_after_an_offer_is_not_read_as_a_request():
    async def check(send, received):
        inner = _request("inner", b"{}")
        outer = _request("outer", inner, OFFER)
        head_length = len(outer) - len(inner)
        await send(outer[:head_length], outer[head_length:])
        assert _bodies(received) == {"outer": inner}

    _run(check)


def test_requests_beside_one_with_an_offer_on_its_connection_are_whole():
    async def check(send, received):
        packet = b"".join(
            _request(f"order-{number}", b"%d" % number, offer)
            for number, offer in enumerate(("", OFFER, "", OFFER))
        )
        answer = await send(packet)
        assert answer.count(b"HTTP/1.1 200 ") == 4, answer
        assert _bodies(received) == {
            f"order-{number}": b"%d" % number for number in range(4)
        }

    _run(check)


def test_connect_is_refused_and_its_connection_closed():
    async def check(send, received):
        head = b"CONNECT a.example:80 HTTP/1.1\r\nHost: a.example\r\n\r\n"
        answer = await send(head + _request("inner", b"{}"))
        assert answer.startswith(b"HTTP/1.1 400 "), answer
        assert answer.count(b"HTTP/1.1") == 1
        assert not received

    _run(check)


def test_what_the_client_would_change_is_refused_or_passed_on_unchanged():
    async def check(send, received):
        for request in (
            _request("fragment", b"{}", path="/order/new#part"),
            _request("latin", b"{}", "X-Name: M\xfcller\r\n"),
        ):
            answer = await send(request)
            assert answer.startswith(b"HTTP/1.1 400 "), answer
            assert b"3013" in answer
        assert not received
        name = "Müller".encode().decode("latin-1")
        answer = await send(_request("utf-8", b"{}", f"X-Name: {name}\r\n"))
        assert answer.startswith(b"HTTP/1.1 200 "), answer
        assert received[0].header("X-Name").encode("latin-1").decode() in (
            "Müller",
            name,
        )

    _run(check)


def test_a_body_shorter_than_announced_is_not_whole():
    async def receive():
        return {"type": "http.request", "body": b"half", "more_body": False}

    async def check():
        caller = serving.AsgiCaller(
            {"headers": [(b"content-length", b"8")]}, receive, None, bool
        )
        try:
            await caller.body(1000, 1.0)
        except http.FaultError as error:
            assert error.faults[0].code is codes.REQUEST_UNREADABLE
        else:
            raise AssertionError("a body that isn't whole was taken")

    asyncio.run(check())


class _Recorder:
    """An ASGI application that records targets and bodies.

    Attributes:
        requests: Pairs of target and body.
    """

    def __init__(self):
        self.requests = []

    async def __call__(self, scope, receive, send):
        body = b""
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return
            body += message["body"]
            if not message["more_body"]:
                break
        self.requests.append((scope["state"][serving.TARGET_KEY], body))
        headers = [(b"content-length", b"0")]
        await send(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )
        await send({"type": "http.response.body", "body": b""})


@hypothesis.settings(max_examples=150, deadline=None)
@hypothesis.given(
    sent=strategies.lists(
        strategies.tuples(
            strategies.booleans(), strategies.binary(max_size=60)
        ),
        min_size=1,
        max_size=4,
    ),
    cuts=strategies.lists(strategies.integers(0, 1200), max_size=6),
)
def test_requests_in_any_pieces_are_read_as_they_were_sent(sent, cuts):
    """Offers, bodies and the borders of packets change nothing."""
    data = b"".join(
        _request(f"r{number}", body, OFFER if has_offer else "", f"/{number}")
        for number, (has_offer, body) in enumerate(sent)
    )
    recorder = _Recorder()

    async def check():
        owner = serving.ConnectionOwner(caller_connection.Limits(60.0))
        config = uvicorn.Config(
            recorder, ws="none", lifespan="off", log_config=None
        )
        config.load()
        server = await asyncio.get_running_loop().create_server(
            lambda: owner.create_protocol(
                config, uvicorn_server.ServerState(), {}
            ),
            "127.0.0.1",
            0,
        )
        port = server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        start = 0
        for end in [*sorted(cuts), len(data)]:
            writer.write(data[start:end])
            await writer.drain()
            await asyncio.sleep(0)
            start = max(start, min(end, len(data)))
        for _ in sent:
            await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5.0)
        writer.close()
        server.close()

    asyncio.run(check())
    assert recorder.requests == [
        (b"/%d" % number, body) for number, (_, body) in enumerate(sent)
    ]


def test_the_parser_ends_a_request_with_an_offer_at_its_head():
    """Shows why such a head is parsed again."""
    ended = []

    class Request:
        def on_message_complete(self):
            ended.append(True)

    parser = httptools.HttpRequestParser(Request())
    data = _request("order", b'{"lots": 2}', OFFER)
    try:
        parser.feed_data(data)
    except httptools.HttpParserUpgrade as offer:
        assert data[offer.args[0] :] == b'{"lots": 2}'
    assert ended
