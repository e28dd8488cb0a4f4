"""Answers without end, and an engine that sends them."""

import asyncio

from tamarackpier.platform import encode, wire
from tamarackpier.standin import rough_engine
from tests import hosted_fixtures

STREAM_HEAD = (
    "HTTP/1.1 200 OK\r\n"
    f"{wire.Header.REQUEST_ID}: {{id}}\r\n"
    f"{wire.Header.PROOF}: proof\r\n"
    "Content-Type: text/event-stream\r\n"
)
FRAMED = "Transfer-Encoding: chunked\r\n\r\n"
UNFRAMED = "Connection: close\r\n\r\n"
FILLER = b"x" * 65_536
# Starts of answers, and what follows them without end.
ANSWERS = {
    "status line": (b"", FILLER),
    "header line": (b"HTTP/1.1 200 OK\r\nx-a: ", FILLER),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"x-a: 1\r\n" * 1000),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
    "chunks": (
        STREAM_HEAD.format(id="req-1").encode() + FRAMED.encode(),
        b"10000\r\n" + FILLER + b"\r\n",
    ),
    "body without length": (
        STREAM_HEAD.format(id="req-1").encode() + UNFRAMED.encode(),
        FILLER,
    ),
    "blank lines": (
        STREAM_HEAD.format(id="req-1").encode() + UNFRAMED.encode(),
        b"\n\n" * 10_000,
    ),
    "comments": (
        STREAM_HEAD.format(id="req-1").encode() + UNFRAMED.encode(),
        b": keep-alive\n\n" * 1000,
    ),
    "one event again": (
        STREAM_HEAD.format(id="req-1").encode() + UNFRAMED.encode(),
        b"id: 1\ndata: e1\n\n" * 1000,
    ),
    "chunk size": (
        STREAM_HEAD.format(id="req-1").encode() + FRAMED.encode(),
        b"0" * 65_536,
    ),
    "chunk extension": (
        STREAM_HEAD.format(id="req-1").encode() + FRAMED.encode() + b"5;",
        FILLER,
    ),
    "trailers": (
        STREAM_HEAD.format(id="req-1").encode() + FRAMED.encode() + b"0\r\n",
        b"x-a: 1\r\n" * 1000,
    ),
    "error answer": (
        STREAM_HEAD.format(id="req-1").replace("200 OK", "500 Oops").encode()
        + UNFRAMED.encode(),
        FILLER,
    ),
    "declared length": (
        STREAM_HEAD.format(id="req-1").encode()
        + b"Content-Length: 99999999999\r\n\r\n",
        FILLER,
    ),
}
# An engine may send this much before its connection is closed: the limit of an
# answer, and what the sockets buffer.
MAX_BYTES = 16 << 20


def send_without_end(first, following, sent, pause_s=0.0):
    """Returns a script that sends bytes until the connection is closed.

    Args:
        first: Start of the answer.
        following: What is sent again and again.
        sent: List to which the size of what each connection took is added.
        pause_s: Time between two writes, in seconds.
    """

    async def script(arrival):
        if wire.Path.REPORT in arrival.head:
            engine_id = arrival.header(wire.Header.EXPECT_ENGINE)
            name, _, rank = engine_id.partition("-")
            record = hosted_fixtures.replica_records(name)[int(rank)]
            body = encode.report(record, 0)
            await arrival.write(rough_engine.encode_answer(arrival, body))
            return
        size = len(first)
        try:
            await arrival.write(first)
            while not arrival.reader.at_eof():
                await arrival.write(following)
                size += len(following)
                await asyncio.sleep(pause_s)
        finally:
            sent.append(size)

    return script
