"""HTTP servers of a hosted instance: uvicorn's protocol without its server.

uvicorn's server closes keep-alive connections as soon as a stop is requested.
Here the daemon decides when listeners and connections are closed.
"""

import asyncio
import logging as std_logging
from collections.abc import Callable
from typing import Any

import uvicorn
from uvicorn import server as uvicorn_server

from tamarackpier import codes, metrics
from tamarackpier.daemon import caller_protocol, http
from tamarackpier.traffic import caller_connection
from tamarackpier.upstream import gateway

__all__ = ["TARGET_KEY", "AsgiCaller", "ConnectionOwner", "HttpListener"]

_BACKLOG = 2048
TARGET_KEY = caller_protocol.TARGET_KEY
ConnectionOwner = caller_protocol.ConnectionOwner


class HttpListener:
    """An HTTP server on one listening address.

    Attributes:
        host: Host name or address to listen on.
        port: Port to listen on.
        config: Configuration of uvicorn.
        state: Open connections and running requests.
        owner: Owner of the connections.
        server: The server; None before `listen` and after `close`.
    """

    def __init__(
        self,
        app: Any,
        address: str,
        idle_timeout_s: float,
        counts: metrics.Metrics | None = None,
        owner: caller_protocol.ConnectionOwner | None = None,
    ) -> None:
        self.host, _, port_text = address.rpartition(":")
        self.port = int(port_text)
        self.owner = owner or ConnectionOwner(
            caller_connection.Limits(idle_timeout_s), counts
        )
        self.config = uvicorn.Config(
            app,
            http=self.owner.create_protocol,  # type: ignore[arg-type]
            ws="none",
            loop="asyncio",
            lifespan="off",
            log_config=None,
            access_log=False,
            proxy_headers=False,
            server_header=False,
            date_header=False,
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

    def set_limits(
        self,
        head_bytes: int,
        body_bytes: int,
        limits: caller_connection.Limits,
    ) -> None:
        """Sets the limits of connections.

        Args:
            head_bytes: Maximum size of a request's head in bytes, for all
                connections of all listeners.
            body_bytes: Maximum size of a request's body in bytes.
            limits: Time limits of this listener's connections.
        """
        caller_protocol.set_max_head_bytes(head_bytes)
        self.owner.memory.fit(
            caller_protocol.max_held_bytes(head_bytes, body_bytes)
        )
        self.owner.change_limits(limits)

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
        return self.owner.create_protocol(self.config, self.state, {})


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
            http.FaultError: The body is larger than `max_bytes`, did not arrive
                within `timeout_s` seconds, or has another length than its head
                says.
            asyncio.CancelledError: The caller disconnected.
        """
        length_text = dict(self.scope["headers"]).get(b"content-length", b"")
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
        http.check_length(
            size, int(length_text) if length_text.isdigit() else None
        )
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
