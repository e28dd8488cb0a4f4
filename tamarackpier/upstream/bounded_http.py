"""Limits on what an upstream may send over HTTP.

A faulty upstream may send bytes that make no answer without end: in a head, in
the framing of a body, or as a body. Timeouts of single reads don't end that.
It may also send a status that no final answer has, such as 000, which the HTTP
library takes for one.
"""

import asyncio
import functools
from typing import Any

import aiohttp
from aiohttp import client_proto

from tamarackpier.upstream import answer_memory

__all__ = [
    "BoundedConnector",
    "BoundedResponseHandler",
    "EndlessAnswerError",
    "InvalidStatusError",
    "is_final",
    "is_framed",
    "read_body",
    "unframed_end",
]

# Bytes that may arrive without completing a head or extending a body. Heads and
# the framing of a chunk are much shorter.
_MAX_IDLE_BYTES = 65_536
# Time in which a head must be complete once its first byte has arrived. Lost
# packets may delay it for longer, but then few packets arrive.
_MAX_HEAD_S = 1.0
_MAX_LATE_HEAD_ARRIVALS = 8
_UPGRADE = 101


class EndlessAnswerError(aiohttp.ClientPayloadError):
    """An upstream sent more bytes than its answer may have."""


class InvalidStatusError(aiohttp.ClientPayloadError):
    """An upstream sent a status that no final answer has, and no other."""


def is_final(status: int) -> bool:
    """Returns whether a final answer may have a status."""
    return 200 <= status <= 599


class BoundedResponseHandler(client_proto.ResponseHandler):
    """Closes a connection on which bytes arrive that make no answer.

    Attributes:
        body: Body of the final response; None before its head is complete.
        body_bytes: Size of the body at the last arrival.
        idle_bytes: Bytes that arrived since the last progress.
        arrivals: Number of arrivals of bytes before the head was complete.
        first_arrival_at: Time of the first of them, on the event loop's clock.
        has_interim: Whether an interim response came before the final one.
    """

    body: Any = None
    body_bytes = 0
    idle_bytes = 0
    arrivals = 0
    first_arrival_at = 0.0
    has_interim = False

    def set_response_params(self, **options: Any) -> None:
        """Prepares for the response of the next request."""
        self.body = None
        self.has_interim = False
        self.body_bytes = self.idle_bytes = self.arrivals = 0
        super().set_response_params(**options)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Receives the head and the body of a parsed response."""
        message, body = data
        if is_final(message.code):
            self.body = body
        elif 100 <= message.code < 200 and message.code != _UPGRADE:
            self.has_interim = True
        elif self.body is None:
            # No request asks for an upgrade.
            self._fail(InvalidStatusError(f"HTTP {message.code}"))
            return
        super().feed_data(data, size)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends the response; interim responses alone are none."""
        if self.has_interim and self.body is None:
            self.set_exception(InvalidStatusError("only HTTP 1xx"))
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Receives bytes from the connection."""
        had_head = self.body is not None
        super().data_received(data)
        body_bytes = getattr(self.body, "total_bytes", 0)
        has_head = self.body is not None
        if has_head != had_head or body_bytes != self.body_bytes:
            self.idle_bytes = 0
        else:
            self.idle_bytes += len(data)
        self.body_bytes = body_bytes
        if self.idle_bytes > _MAX_IDLE_BYTES:
            self._fail(
                EndlessAnswerError(f"{self.idle_bytes} bytes made no answer")
            )
        elif data and not has_head:
            self._check_head_time()

    def _check_head_time(self) -> None:
        now = asyncio.get_running_loop().time()
        self.arrivals += 1
        if self.arrivals == 1:
            self.first_arrival_at = now
        elapsed_s = now - self.first_arrival_at
        if elapsed_s > _MAX_HEAD_S and self.arrivals > _MAX_LATE_HEAD_ARRIVALS:
            self._fail(
                EndlessAnswerError(
                    f"head of the answer incomplete after {elapsed_s:.1f} s"
                )
            )

    def _fail(self, error: aiohttp.ClientPayloadError) -> None:
        if self.transport is None:
            return
        self.transport.abort()
        if self.body is None:
            self.set_exception(error)
        elif not self.body.is_eof():
            self.body.set_exception(error)


class BoundedConnector(aiohttp.TCPConnector):
    """A connector whose connections end when bytes make no answer.

    Attributes:
        protocol_class: Class of the connections' protocols.
    """

    protocol_class: type[BoundedResponseHandler] = BoundedResponseHandler

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        # The library has no public option for the class of its protocols.
        self._factory = functools.partial(  # type: ignore[assignment]
            self.protocol_class, loop=asyncio.get_running_loop()
        )


def is_framed(response: aiohttp.ClientResponse) -> bool:
    """Returns whether a body has a length or chunks."""
    return (
        response.content_length is not None
        or "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    )


def unframed_end(
    response: aiohttp.ClientResponse,
) -> asyncio.Future[None] | None:
    """Returns a future that shows whether a body without framing is complete.

    Only the way in which the connection closes tells that: the future raises
    `aiohttp.ClientError` after a reset. It has to be requested before the body
    is read. None if the body is framed, or the connection is closed already.
    """
    if response.connection is None or is_framed(response):
        return None
    protocol = response.connection.protocol
    return protocol.closed if protocol is not None else None


async def read_body(
    response: aiohttp.ClientResponse,
    max_bytes: int,
    memory: answer_memory.AnswerMemory | None = None,
) -> bytes:
    """Returns the complete body of a response.

    Args:
        response: The response.
        max_bytes: Maximum size that the response may announce.
        memory: Counts the bytes of all answers that are read; None to limit
            this one to `max_bytes` alone.

    Raises:
        EndlessAnswerError: The body is too large; the connection is closed.
        aiohttp.ClientError: The connection failed before the body ended.
    """
    end = unframed_end(response)
    memory = memory or answer_memory.AnswerMemory(max_bytes)
    try:
        if (response.content_length or 0) > max_bytes:
            raise answer_memory.TooLargeError(
                f"body exceeds the limit of {max_bytes} bytes"
            )
        with memory.hold() as held:
            while data := await response.content.readany():
                held.add(data)
            if end is not None:
                await end
            return held.body()
    except answer_memory.TooLargeError as error:
        response.close()
        raise EndlessAnswerError(str(error)) from error
