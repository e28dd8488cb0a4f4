"""Streams of a small deployment, with callers that may read slowly."""

import asyncio
import dataclasses
import re
import socket
import time

import harness_2 as harness

from tamarackpier.platform import wire
from tamarackpier.routing import model as routing_model
from tamarackpier.standin import hosted_platform

_EVENT = re.compile(rb"id: (\d+)\n")
_END = b"\r\n0\r\n\r\n"
# A slow caller reads that much, and pauses.
_SLOW_READ_BYTES = 1400
_SLOW_PAUSE_S = 0.1
PREFIX = "/draft/"
TOKENS_PER_EVENT = 7


@dataclasses.dataclass(frozen=True)
class Shape:
    """What the streams of a case are like.

    Attributes:
        events: Number of events, unless a request asks for another.
        event_bytes: Size of each.
        interval_s: Time between two of them, in seconds.
        deadline_ms: Time limit of the callers, in milliseconds.
        slow_s: Time for which slow callers read slowly, in seconds.
    """

    events: int
    event_bytes: int
    interval_s: float
    deadline_ms: int
    slow_s: float


@dataclasses.dataclass(frozen=True)
class Answer:
    """What a caller got.

    Attributes:
        request_id: ID of its request.
        status: HTTP status; 0 for none.
        numbers: Numbers of the events, in the order of their arrival.
        is_complete: Whether the answer ended as complete.
        ended_at: When it ended, in seconds on the monotonic clock.
        is_in_time: Whether it ended before the caller's time limit.
    """

    request_id: str
    status: int
    numbers: list[int]
    is_complete: bool
    ended_at: float
    is_in_time: bool


def create_platform(shape, record):
    """Returns a platform whose engines send streams of a shape."""

    class Engine(hosted_platform._EngineApp):
        async def _stream(self, headers, engine, engine_headers, _, send):
            first = int(headers.get(wire.Header.LAST_EVENT_ID) or 0) + 1
            tokens = int(headers[wire.Header.TOKEN_COUNT].partition(",")[2])
            events = tokens // TOKENS_PER_EVENT
            request_id = headers[wire.Header.REQUEST_ID]
            record.note(f"{self.name} runs {request_id} from event {first} on")
            replica = engine.membership.key
            raw_headers = [
                (name.encode(), value.encode())
                for name, value in engine_headers
            ]
            self.running += 1
            engine.running += 1
            try:
                await send(
                    {
                        "type": "http.response.start",
                        "status": 200,
                        "headers": raw_headers,
                    }
                )
                for number in range(first, events + 1):
                    await asyncio.sleep(shape.interval_s)
                    await self.platform.wait_while_silent(self.name)
                    while engine.stalled_at is not None or not engine.is_alive:
                        await asyncio.sleep(shape.interval_s)
                        present = self.platform.fabric.engines[self.name]
                        if present is not engine:
                            return
                    membership = engine.membership
                    if membership is None or membership.key != replica:
                        return
                    text = b"x" * shape.event_bytes
                    await send(
                        {
                            "type": "http.response.body",
                            "body": b"id: %d\ndata: %s\n\n" % (number, text),
                            "more_body": True,
                        }
                    )
                await send({"type": "http.response.body", "body": b""})
                record.note(f"{self.name} has sent all of {request_id}")
            finally:
                self.running -= 1
                engine.running -= 1

    hosted_platform._EngineApp = Engine
    platform = harness.platform(harness.spec())
    platform.fabric.load_factor = 0.1
    return platform


async def start(platform, deployment, engines=9, **changes):
    """Starts a deployment with two groups of engines that serve."""
    await platform.start()
    for index in range(engines):
        await platform.add_engine(f"e{index}", "drafts", "zone-0", "d0")
    platform.configure(
        harness.configuration(
            [
                harness.route(
                    routing_model.RouteKind.STREAM, PREFIX, "drafts", **changes
                )
            ],
            [routing_model.ServiceSpec("drafts", platform.fabric.spec)],
        )
    )
    await deployment.start(lambda: platform.fabric.serving(harness.MODEL) >= 2)


async def ask(address, request_id, shape, record, is_slow=False, events=None):
    """Sends a request and reads its answer."""
    loop = asyncio.get_running_loop()
    events = events or shape.events
    body = b"{}"
    request = (
        harness.head(
            "POST",
            f"{PREFIX}x",
            request_id,
            shape.deadline_ms,
            body,
            **{
                wire.Header.MODEL: harness.MODEL,
                wire.Header.TOKEN_COUNT: f"100,{TOKENS_PER_EVENT * events}",
            },
        )
        + body
    )
    connection = socket.socket()
    if is_slow:
        # As on a slow link: small windows and packets.
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1400)
    data = bytearray()
    is_in_time = False
    started_at = time.monotonic()
    record.note(
        f"{request_id} sent{' by a slow caller' if is_slow else ''},"
        f" for {events} events"
    )
    try:
        async with asyncio.timeout(shape.deadline_ms / 1e3):
            connection.setblocking(False)
            await loop.sock_connect(connection, address)
            await loop.sock_sendall(connection, request)
            while not data.endswith(_END):
                size = 65536
                if is_slow and time.monotonic() - started_at < shape.slow_s:
                    await asyncio.sleep(_SLOW_PAUSE_S)
                    size = _SLOW_READ_BYTES
                part = await loop.sock_recv(connection, size)
                if not part:
                    break
                data += part
            is_in_time = True
    except TimeoutError:
        record.note(f"{request_id}: time limit")
    except OSError as error:
        is_in_time = True
        record.note(f"{request_id}: {error!r}")
    finally:
        connection.close()
    answer = Answer(
        request_id,
        int(data[9:12]) if data[9:12].isdigit() else 0,
        [int(number) for number in _EVENT.findall(data)],
        data.endswith(_END),
        time.monotonic(),
        is_in_time,
    )
    record.note(
        f"{request_id}: status {answer.status}, {len(answer.numbers)} events,"
        f" {'complete' if answer.is_complete else 'cut off'}"
    )
    return answer
