"""HTTP servers of a hosted instance: uvicorn's protocol without its server.

uvicorn's server closes keep-alive connections as soon as a stop is requested
and does not limit the size of a request's head. Here the daemon decides when
listeners and connections are closed.
"""

import array
import asyncio
import collections
import fcntl
import logging as std_logging
import termios
from collections.abc import Callable
from typing import Any

import httptools
import uvicorn
from uvicorn import server as uvicorn_server
from uvicorn.protocols.http import httptools_impl

from tamarackpier import codes, logs, metrics
from tamarackpier.daemon import http
from tamarackpier.platform import edge
from tamarackpier.traffic import caller_connection
from tamarackpier.upstream import gateway

__all__ = ["AsgiCaller", "ConnectionOwner", "HttpListener"]

_BACKLOG = 2048
_HEAD_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"connection: close\r\ncontent-length: 0\r\n\r\n"
)
# Key of the request target, as it was sent, in the state of the ASGI scope.
TARGET_KEY = "target"
# Headers that offer another protocol, and options of `Connection` that name
# them.
_OFFER_HEADERS = frozenset({b"upgrade", b"http2-settings"})
# Time in which the event loop reads what has arrived at a socket.
_READ_PASS_S = 0.001
# Closes that may cross a request that is on its way.
_CROSSING_CAUSES = frozenset(
    {
        caller_connection.Cause.IDLE,
        caller_connection.Cause.HEAD_LATE,
        caller_connection.Cause.BODY_LATE,
        caller_connection.Cause.STOP,
    }
)


class ConnectionOwner:
    """Owns the callers' connections of one listening address.

    Attributes:
        limits: The time limits of connections.
        metrics: Counters and ages of closes; None to count nothing.
        connections: The open connections.
        fault_body: Returns the JSON body of an answer that reports a fault.
    """

    def __init__(
        self,
        limits: caller_connection.Limits,
        counts: metrics.Metrics | None = None,
        fault_body: Callable[[codes.Fault], bytes] = edge.fault_answer,
    ) -> None:
        self.limits = caller_connection.TimeLimits(limits)
        self.metrics = counts
        self.connections: set[_Protocol] = set()
        self.fault_body = fault_body

    def create_protocol(
        self,
        config: uvicorn.Config,
        server_state: uvicorn_server.ServerState,
        app_state: dict[str, Any],
        _loop: asyncio.AbstractEventLoop | None = None,
    ) -> asyncio.Protocol:
        """Returns the protocol of a new connection; uvicorn calls this."""
        return _Protocol(self, config, server_state, app_state, _loop)

    def change_limits(self, limits: caller_connection.Limits) -> None:
        """Puts time limits in force, also for open connections."""
        now = asyncio.get_running_loop().time()
        if self.limits.change(limits, now):
            for protocol in self.connections:
                protocol.update_timer()

    def record_close(
        self,
        connection: caller_connection.Connection,
        closed_in: caller_connection.Phase,
        age_s: float,
        unread_bytes: int,
    ) -> None:
        """Counts a closed connection, and logs it if a request may cross.

        Args:
            connection: The connection.
            closed_in: Phase in which it was closed.
            age_s: Time since it was opened, in seconds.
            unread_bytes: Number of bytes that had arrived and were not read.
        """
        cause = connection.cause
        if self.metrics is None or cause is None:
            return
        self.metrics.count("connection_closed", cause.value)
        self.metrics.record("connection_age", age_s)
        if cause in _CROSSING_CAUSES:
            if unread_bytes:
                self.metrics.count("close_crossed_request", cause.value)
            logs.decision(
                "connection closed",
                cause=cause.value,
                phase=closed_in.value,
                age_s=round(age_s, 3),
                unread_bytes=unread_bytes,
            )

    def count_by_phase(self) -> dict[str, int]:
        """Returns the number of open connections in each phase."""
        counts = collections.Counter(
            protocol.connection.phase for protocol in self.connections
        )
        return {phase.value: counts[phase] for phase in caller_connection.Phase}


class _Protocol(httptools_impl.HttpToolsProtocol):
    """Keeps a request's target as it was sent, and the connection's limits.

    Attributes:
        owner: The owner of the connection.
        connection: The state of the connection.
        head_bytes: Bytes received so far of the head of the current request.
        max_head_bytes: Maximum size of a head, in bytes, on all listeners.
        is_in_body: Whether the head of the current request has ended.

    Offers of another protocol are ignored. The parser would end a request with
    an offer at its head, so such a head is parsed again without the offer.
    """

    head_bytes = 0
    max_head_bytes = 1 << 16
    is_in_body = False

    def __init__(
        self,
        owner: ConnectionOwner,
        config: uvicorn.Config,
        server_state: uvicorn_server.ServerState,
        app_state: dict[str, Any],
        loop: asyncio.AbstractEventLoop | None = None,
    ) -> None:
        super().__init__(config, server_state, app_state, loop)
        self.owner = owner
        self._opened_at = self.loop.time()
        self.connection = caller_connection.Connection(self._opened_at)
        self._closed_in = self.connection.phase
        self._timer: asyncio.TimerHandle | None = None
        self._is_put_off = False

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        super().connection_made(transport)
        self.owner.connections.add(self)
        self.update_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        self._note_close(
            caller_connection.Cause.BROKEN_OFF
            if exc is None
            else caller_connection.Cause.CALLER
        )
        self.owner.connections.discard(self)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        # The socket is still open, but is no longer read.
        self.owner.record_close(
            self.connection,
            self._closed_in,
            self.loop.time() - self._opened_at,
            _unread_bytes(self.transport),
        )
        super().connection_lost(exc)

    def eof_received(self) -> None:
        self._note_close(caller_connection.Cause.CALLER)
        super().eof_received()

    def data_received(self, data: bytes) -> None:
        self.connection.receive(self.loop.time())
        if not self.is_in_body:
            self.head_bytes += len(data)
        self._feed(data)
        is_reading_head = not self.is_in_body and self.head_bytes > 0
        if is_reading_head and self.head_bytes > self.max_head_bytes:
            self._note_close(caller_connection.Cause.HEAD_TOO_LARGE)
            self.transport.write(_HEAD_TOO_LARGE)
            self.transport.close()
        self.update_timer()

    def _feed(self, data: bytes) -> None:
        """Parses bytes that arrived."""
        while data:
            try:
                self.parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as offer:
                rest = data[offer.args[0] :]
            except httptools.HttpParserError:
                self.send_400_response("Invalid HTTP request received.")
                return
            method = self.parser.get_method()
            if method == b"CONNECT":
                self.send_400_response("CONNECT is not supported.")
                return
            version = self.parser.get_http_version().encode()
            data = self._head_without_offer(method, version) + rest
            self.parser = httptools.HttpRequestParser(self)
            self.parser.set_dangerous_leniencies(lenient_data_after_close=True)

    def _head_without_offer(self, method: bytes, version: bytes) -> bytes:
        """Returns the head that was parsed, without the offered protocol."""
        lines = [method + b" " + self.url + b" HTTP/" + version]
        for name, value in self.headers:
            if name == b"connection":
                options = [option.strip() for option in value.split(b",")]
                value = b", ".join(
                    option
                    for option in options
                    if option.lower() not in _OFFER_HEADERS
                )
            if name not in _OFFER_HEADERS:
                lines.append(name + b": " + value)
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def on_message_begin(self) -> None:
        self.connection.begin_head(self.loop.time())
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        if self.parser.should_upgrade():
            return
        self.is_in_body = True
        self._is_put_off = False
        self.connection.end_head(self.loop.time())
        self.scope["state"][TARGET_KEY] = self.url
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        if self.parser.should_upgrade():
            return
        self.is_in_body = False
        self.head_bytes = 0
        self.connection.end_body(self.loop.time())
        super().on_message_complete()

    def on_response_complete(self) -> None:
        self.connection.end_answer(self.loop.time())
        if self.transport.is_closing():
            self._note_close(caller_connection.Cause.ANSWERED)
        super().on_response_complete()
        # The timer of this class replaces uvicorn's.
        self._unset_keepalive_if_required()
        self.update_timer()

    def send_400_response(self, msg: str) -> None:
        self._note_close(caller_connection.Cause.MALFORMED)
        super().send_400_response(msg)

    def shutdown(self) -> None:
        super().shutdown()
        if self.transport.is_closing():
            self._note_close(caller_connection.Cause.STOP)

    def update_timer(self) -> None:
        """Arms the timer, unless one ends earlier and then arms it again."""
        due = self.connection.due(self.owner.limits)
        if due is None or (
            self._timer is not None and self._timer.when() <= due
        ):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self.loop.call_at(due, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        cause = self.connection.overdue(self.owner.limits, self.loop.time())
        if cause is None:
            self.update_timer()
            return
        # The loop reads what has arrived before the timer ends again. Once is
        # enough for a head: its bytes could put off the close for ever.
        is_idle = cause is caller_connection.Cause.IDLE
        if (is_idle or not self._is_put_off) and _unread_bytes(self.transport):
            self._is_put_off = not is_idle
            if self.owner.metrics is not None:
                self.owner.metrics.count("close_put_off", cause.value)
            self._timer = self.loop.call_later(_READ_PASS_S, self._on_timer)
            return
        self._note_close(cause)
        if cause is caller_connection.Cause.HEAD_LATE:
            self.transport.write(self._head_refusal())
        self.transport.close()

    def _note_close(self, cause: caller_connection.Cause) -> None:
        if self.connection.cause is None:
            self._closed_in = self.connection.phase
            self.connection.close(cause, self.loop.time())

    def _head_refusal(self) -> bytes:
        limit_s = self.owner.limits.current.head_s
        fault = codes.fault(
            codes.HEAD_TIMEOUT,
            f"request head did not arrive within {limit_s:g} s; "
            "the request has not run",
        )
        if self.owner.metrics is not None:
            self.owner.metrics.count("refused", fault.code.name)
        body = self.owner.fault_body(fault)
        return (
            b"HTTP/1.1 408 Request Timeout\r\n"
            b"content-type: application/json\r\n"
            b"content-length: %d\r\nconnection: close\r\n\r\n" % len(body)
        ) + body


def _unread_bytes(transport: asyncio.Transport) -> int:
    """Returns how many bytes have arrived that the loop has not read."""
    descriptor = transport.get_extra_info("socket").fileno()
    if descriptor < 0:
        return 0
    count = array.array("i", [0])
    fcntl.ioctl(descriptor, termios.FIONREAD, count)
    return count[0]


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
    ) -> None:
        self.host, _, port_text = address.rpartition(":")
        self.port = int(port_text)
        self.owner = ConnectionOwner(
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
        self, head_bytes: int, limits: caller_connection.Limits
    ) -> None:
        """Sets the limits of connections.

        Args:
            head_bytes: Maximum size of a request's head in bytes, for all
                connections of all listeners.
            limits: Time limits of this listener's connections.
        """
        _Protocol.max_head_bytes = head_bytes
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
