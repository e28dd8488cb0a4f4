"""HTTP servers of a hosted instance: uvicorn's protocol without its server.

uvicorn's server closes keep-alive connections as soon as a stop is requested
and does not limit the size of a request's head. Here the daemon decides when
listeners and connections are closed.
"""

import asyncio
import logging as std_logging
from collections.abc import Callable
from typing import Any

import uvicorn
from uvicorn import server as uvicorn_server
from uvicorn.protocols.http import httptools_impl

from tamarackpier import codes
from tamarackpier.daemon import http
from tamarackpier.upstream import gateway

__all__ = ["AsgiCaller", "HttpListener"]

_BACKLOG = 2048
_HEAD_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"connection: close\r\ncontent-length: 0\r\n\r\n"
)
# Key of the request target, as it was sent, in the state of the ASGI scope.
TARGET_KEY = "target"


class _Protocol(httptools_impl.HttpToolsProtocol):
    """Keeps the target of a request as it was sent, and limits its head.

    Attributes:
        head_bytes: Bytes received so far of the head of the current request.
        max_head_bytes: Maximum size of a head, in bytes, on all listeners.
        is_in_body: Whether the head of the current request has ended.
    """

    head_bytes = 0
    max_head_bytes = 1 << 16
    is_in_body = False

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        super().connection_made(transport)
        # A connection that never sends a request is closed like an idle one.
        self.timeout_keep_alive_task = self.loop.call_later(
            self.timeout_keep_alive, self.timeout_keep_alive_handler
        )

    def data_received(self, data: bytes) -> None:
        if not self.is_in_body:
            self.head_bytes += len(data)
        super().data_received(data)
        is_reading_head = not self.is_in_body and self.head_bytes > 0
        if is_reading_head and self.head_bytes > self.max_head_bytes:
            self.transport.write(_HEAD_TOO_LARGE)
            self.transport.close()

    def on_headers_complete(self) -> None:
        self.is_in_body = True
        self.scope["state"][TARGET_KEY] = self.url
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        self.is_in_body = False
        self.head_bytes = 0
        super().on_message_complete()


class HttpListener:
    """An HTTP server on one listening address.

    Attributes:
        host: Host name or address to listen on.
        port: Port to listen on.
        config: Configuration of uvicorn.
        state: Open connections and running requests.
        server: The server; None before `listen` and after `close`.
    """

    def __init__(self, app: Any, address: str, idle_timeout_s: float) -> None:
        self.host, _, port_text = address.rpartition(":")
        self.port = int(port_text)
        self.config = uvicorn.Config(
            app,
            http=_Protocol,
            ws="none",
            loop="asyncio",
            lifespan="off",
            log_config=None,
            access_log=False,
            proxy_headers=False,
            server_header=False,
            date_header=False,
            timeout_keep_alive=idle_timeout_s,  # type: ignore[arg-type]
        )
        self.config.load()
        self.state = uvicorn_server.ServerState()
        self.server: asyncio.Server | None = None
        # uvicorn's errors are not logged: the code that cuts off an answer
        # logs that itself.
        std_logging.getLogger("uvicorn.error").setLevel(std_logging.CRITICAL)

    async def listen(self) -> None:
        """Opens the listening socket."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            self._protocol, self.host.strip("[]"), self.port, backlog=_BACKLOG
        )

    def set_limits(self, head_bytes: int, idle_timeout_s: float) -> None:
        """Sets the limits of connections.

        Args:
            head_bytes: Maximum size of a request's head in bytes, for all
                connections of all listeners.
            idle_timeout_s: Time after which an idle connection is closed, in
                seconds; for new connections of this listener.
        """
        _Protocol.max_head_bytes = head_bytes
        self.config.timeout_keep_alive = idle_timeout_s  # type: ignore[assignment]

    def close(self) -> None:
        """Stops listening; open connections stay."""
        if self.server is not None:
            self.server.close()
            self.server = None

    def close_idle(self) -> None:
        """Closes idle connections, and others once their request has ended."""
        for connection in list(self.state.connections):
            connection.shutdown()  # type: ignore[union-attr]

    def _protocol(self) -> asyncio.Protocol:
        return _Protocol(self.config, self.state, {})


class AsgiCaller:
    """A caller behind an ASGI server.

    Attributes:
        scope: ASGI scope of the request.
        receive: Receives ASGI messages of the request.
        send: Sends ASGI messages of the answer.
        closes_connection: Returns whether the connection is to be closed after
            the answer.
        is_started: Whether the head of the answer was sent.
        is_ended: Whether the answer was sent completely.
        body_read: Set when the whole request has arrived.
        status: HTTP status that was sent; 0 before it is sent.
    """

    def __init__(
        self,
        scope: http.Scope,
        receive: http.Receive,
        send: http.Send,
        closes_connection: Callable[[], bool],
    ) -> None:
        self.scope = scope
        self.receive = receive
        self.send = send
        self.closes_connection = closes_connection
        self.is_started = False
        self.is_ended = False
        self.body_read = asyncio.Event()
        self.status = 0

    async def body(self, max_bytes: int, timeout_s: float) -> bytes:
        """Returns the whole body of the request.

        Raises:
            http.FaultError: The body is larger than `max_bytes`, or did not
                arrive within `timeout_s` seconds.
            asyncio.CancelledError: The caller disconnected.
        """
        length_text = dict(self.scope["headers"]).get(b"content-length", b"0")
        if length_text.isdigit() and int(length_text) > max_bytes:
            raise _too_large(max_bytes)
        chunks = []
        size = 0
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    message = await self.receive()
                    if message["type"] == "http.disconnect":
                        raise asyncio.CancelledError
                    chunks.append(message["body"])
                    size += len(message["body"])
                    if size > max_bytes:
                        raise _too_large(max_bytes)
                    if not message["more_body"]:
                        break
        except TimeoutError:
            fault = codes.fault(
                codes.BODY_TIMEOUT,
                f"request body did not arrive within {timeout_s} s",
            )
            raise http.FaultError(fault) from None
        self.body_read.set()
        return b"".join(chunks)

    async def wait_closed(self) -> None:
        """Waits until the caller disconnects; the body must have been read."""
        await http.wait_for_disconnect(self.receive)

    async def start(self, status: int, headers: gateway.Headers) -> None:
        """Sends the head of the answer."""
        self.is_started = True
        self.status = status
        sent_headers = list(headers)
        if self.closes_connection() or not self.body_read.is_set():
            sent_headers.append((b"connection", b"close"))
        await self.send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": sent_headers,
            }
        )

    async def write(self, data: bytes) -> None:
        """Sends a part of the answer's body."""
        if data:
            await self.send(
                {"type": "http.response.body", "body": data, "more_body": True}
            )

    async def end(self) -> None:
        """Completes the answer."""
        self.is_ended = True
        await self.send(
            {"type": "http.response.body", "body": b"", "more_body": False}
        )


def _too_large(max_bytes: int) -> http.FaultError:
    fault = codes.fault(
        codes.BODY_TOO_LARGE,
        f"request body exceeds the limit of {max_bytes} bytes",
    )
    return http.FaultError(fault)
