"""The HTTP protocol of connections that this instance accepts, with its limits.

uvicorn's protocol parses all that arrives at once and starts to read again
whenever an answer ends, so that few callers can make it hold any number of
requests and trailers. Here a connection has one request at a time; what arrives
after it stays unparsed, and is not read from a certain size on.
"""

import array
import asyncio
import collections
import contextlib
import fcntl
import termios
from collections.abc import Callable
from typing import Any

import httptools
import uvicorn
from uvicorn import server as uvicorn_server
from uvicorn.protocols.http import flow_control, httptools_impl

from tamarackpier import codes, logs, metrics
from tamarackpier.daemon import caller_memory
from tamarackpier.platform import edge
from tamarackpier.traffic import caller_connection

__all__ = [
    "TARGET_KEY",
    "ConnectionOwner",
    "max_held_bytes",
    "set_max_head_bytes",
]

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
        caller_connection.Cause.CONNECTIONS,
    }
)
_HEAD_END = b"\r\n\r\n"
# Bytes behind the current request from which a connection is not read. Below
# that it is, so that the end of a caller is noticed.
_MAX_UNPARSED_BYTES = 16_384
# Largest read; one read more may follow the bytes above.
_MAX_READ_BYTES = 65_536
# Unsent bytes from which no more of an answer is written.
_MAX_UNSENT_BYTES = 16_384
# What a header takes up beside its bytes: a pair, and two objects.
_HEADER_OVERHEAD_BYTES = 130
_LEAST_HEADER_BYTES = 4  # A name of one byte, a colon and the end of the line.
# Framing of a chunked body, for each byte of it. A chunk of one byte takes five
# bytes of framing, and more with padded sizes or extensions.
_MAX_FRAMING_RATIO = 16
# What connections to engines buffer of an answer that isn't read: twice the
# size at which the library pauses reading (platform/engines.py).
_HELD_BACK_BYTES = 131_072
_RETRY_AFTER_S = 0.5


class _FlowControl(flow_control.FlowControl):
    """uvicorn's flow control, which doesn't resume reading while held back.

    Attributes:
        is_held: Whether the connection is not read whoever asks for it.
    """

    is_held = False

    def resume_reading(self) -> None:
        if not self.is_held:
            super().resume_reading()


class ConnectionOwner:
    """Owns the callers' connections of one listening address.

    Attributes:
        limits: The time limits of connections.
        metrics: Counters and ages of closes; None to count nothing.
        connections: The open connections.
        fault_body: Returns the JSON body of an answer that reports a fault.
        memory: Counts what connections hold.
        max_connections: Number of connections from which a further one takes
            the place of an idle one, or is closed.
    """

    def __init__(
        self,
        limits: caller_connection.Limits,
        counts: metrics.Metrics | None = None,
        fault_body: Callable[[codes.Fault], bytes] = edge.fault_answer,
        memory: caller_memory.CallerMemory | None = None,
        max_connections: int | None = None,
    ) -> None:
        self.limits = caller_connection.TimeLimits(limits)
        self.metrics = counts
        self.connections: set[_Protocol] = set()
        self.fault_body = fault_body
        self.memory = memory or caller_memory.CallerMemory(
            caller_memory.max_bytes(0), counts
        )
        self.max_connections = (
            max_connections or caller_memory.max_connections()
        )

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

    def record_limit(
        self,
        cause: caller_connection.Cause,
        protocol: "_Protocol",
        is_refused: bool = False,
    ) -> None:
        """Counts and logs that a limit closes a connection.

        Args:
            cause: The limit.
            protocol: The connection.
            is_refused: Whether its request is refused as not run.
        """
        if self.memory.metrics is not None:
            self.memory.metrics.count("caller_limit", cause.value)
        logs.decision(
            "caller limited",
            cause=cause.value,
            phase=protocol.connection.phase.value,
            peer=protocol.client,
            held_bytes=protocol.held_bytes,
            all_held_bytes=self.memory.total,
            connections=len(self.connections),
            is_refused=is_refused,
        )

    def make_room(self) -> bool:
        """Closes the longest idle connection; returns whether there is one."""
        idle = [
            protocol
            for protocol in self.connections
            if protocol.connection.is_idle
        ]
        if not idle:
            return False
        min(idle, key=lambda protocol: protocol.connection.since).close_for(
            caller_connection.Cause.CONNECTIONS
        )
        return True

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
        max_head_bytes: Maximum size of a head, in bytes, on all listeners, and
            of trailers.
        is_in_body: Whether the head of the current request has ended.
        held_bytes: Bytes that the connection holds.

    Offers of another protocol are ignored. The parser would end a request with
    an offer at its head, so such a head is parsed again without the offer.
    """

    head_bytes = 0
    max_head_bytes = 1 << 16
    is_in_body = False
    held_bytes = 0
    # The request line isn't part of the head that is limited, and has the same
    # limit for itself.
    _is_in_line = True
    _line_bytes = 0
    # State of the current request's body: what is left if it has a length, else
    # None; bytes of it so far; of its framing, its trailers, and what arrived
    # since the last byte of it.
    _body_left: int | None = None
    _body_bytes = 0
    _framing_bytes = 0
    _trailer_bytes = 0
    _quiet_bytes = 0
    # Last bytes that were parsed, which may begin the end of a head.
    _tail = b""
    _unread: caller_connection.UnreadAnswer | None = None
    _unread_timer: asyncio.TimerHandle | None = None

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
        # What arrived after the current request.
        self._unparsed = bytearray()

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        super().connection_made(transport)
        self.flow: _FlowControl = _FlowControl(transport)
        transport.set_write_buffer_limits(high=_MAX_UNSENT_BYTES)
        # The size of asyncio's reads, which is no part of its interface.
        transport.max_size = _MAX_READ_BYTES  # type: ignore[attr-defined]
        owner = self.owner
        is_full = len(owner.connections) >= owner.max_connections
        has_room = not is_full or owner.make_room()
        owner.connections.add(self)
        if has_room:
            self.update_timer()
        else:
            self.close_for(caller_connection.Cause.CONNECTIONS)

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
        self._stop_unread_timer()
        # The socket is still open, but is no longer read.
        self.owner.record_close(
            self.connection,
            self._closed_in,
            self.loop.time() - self._opened_at,
            _unread_bytes(self.transport) + len(self._unparsed),
        )
        super().connection_lost(exc)
        self._release()

    def eof_received(self) -> None:
        self._note_close(caller_connection.Cause.CALLER)
        super().eof_received()

    def data_received(self, data: bytes) -> None:
        self.connection.receive(self.loop.time())
        if self._unparsed:
            self._unparsed += data
            self._parse_rest()
        else:
            parsed = self._parse(data)
            if parsed < len(data):
                self._unparsed += data[parsed:]
            self._hold_reading()
        self.count_held()
        self.update_timer()

    def _parse_rest(self) -> None:
        """Parses what arrived after the request before, if it has ended."""
        if self._unparsed and (parsed := self._parse(self._unparsed)):
            del self._unparsed[:parsed]
        self._hold_reading()

    def _hold_reading(self) -> None:
        """Reads the connection only while little of it is unparsed."""
        flow = self.flow
        is_held = len(self._unparsed) >= _MAX_UNPARSED_BYTES
        if is_held == flow.is_held or self.transport.is_closing():
            return
        flow.is_held = is_held
        if is_held:
            flow.pause_reading()
        elif (
            self.cycle is None
            or len(self.cycle.body) <= flow_control.HIGH_WATER_LIMIT
        ):
            flow.resume_reading()

    def _may_parse(self) -> bool:
        """Returns whether bytes may be parsed.

        A request begins when the one before was answered, and the caller has
        read so much that answers can be sent.
        """
        if self.transport.is_closing():
            return False
        return self.is_in_body or (
            not self.flow.write_paused
            and (self.cycle is None or self.cycle.response_complete)
        )

    def _parse(self, data: bytes | bytearray) -> int:
        """Parses bytes up to the end of the current request.

        Returns:
            The number of bytes that were parsed.
        """
        start = 0
        while start < len(data) and self._may_parse():
            end = self._piece_end(data, start)
            piece = bytes(data[start:end])
            start = end
            if self.is_in_body:
                self._feed_body(piece)
                continue
            self.head_bytes += len(piece)
            if self._is_in_line:
                line_end = piece.find(b"\n") + 1
                self._is_in_line = not line_end
                self._line_bytes += line_end or len(piece)
            line_bytes = min(self._line_bytes, self.max_head_bytes)
            if self.head_bytes - line_bytes > self.max_head_bytes:
                self._refuse_head(caller_connection.Cause.HEAD_TOO_LARGE)
            else:
                self._feed(piece)
        return start

    def _piece_end(self, data: bytes | bytearray, start: int) -> int:
        """Returns where a piece ends that ends at most one head or body.

        Heads, chunked bodies and trailers all end with the same bytes.
        """
        if self.is_in_body and self._body_left is not None:
            return min(len(data), start + self._body_left)
        if self._tail:
            joined = self._tail + data[start : start + len(_HEAD_END) - 1]
            at = joined.find(_HEAD_END)
            if at >= 0:
                end = start + at + len(_HEAD_END) - len(self._tail)
                self._tail = b""
                return end
        at = data.find(_HEAD_END, start)
        if at >= 0:
            self._tail = b""
            return at + len(_HEAD_END)
        last = bytes(data[max(start, len(data) - len(_HEAD_END) + 1) :])
        self._tail = (self._tail + last)[-len(_HEAD_END) + 1 :]
        return len(data)

    def _feed_body(self, piece: bytes) -> None:
        """Parses a piece of a body and bounds the framing of chunks."""
        if self._body_left is not None:
            self._feed(piece)
            return
        earlier_bytes = self._body_bytes
        self._feed(piece)
        if not self.is_in_body:
            return
        body_bytes = self._body_bytes - earlier_bytes
        self._quiet_bytes = 0 if body_bytes else self._quiet_bytes + len(piece)
        self._framing_bytes += len(piece) - body_bytes
        max_framing_bytes = (
            self.max_head_bytes + _MAX_FRAMING_RATIO * self._body_bytes
        )
        if (
            self._quiet_bytes > self.max_head_bytes
            or self._framing_bytes > max_framing_bytes
        ):
            self._refuse_head(caller_connection.Cause.FRAMING_TOO_LARGE)

    def _refuse_head(self, cause: caller_connection.Cause) -> None:
        """Refuses a head, trailers or framing, and closes the connection."""
        if self.transport.is_closing():
            return
        if cause is not caller_connection.Cause.HEAD_TOO_LARGE:
            self.owner.record_limit(cause, self, self.is_refusable)
        self._note_close(cause)
        if not self.is_in_body or self.is_refusable:
            self.transport.write(_HEAD_TOO_LARGE)
        self._give_up_request()

    def _give_up_request(self) -> None:
        """Closes the connection and ends the request that is being read."""
        self.transport.close()
        if self.cycle is not None and not self.cycle.response_complete:
            self.cycle.disconnected = True
            self.cycle.message_event.set()
        self._release()

    @property
    def is_refusable(self) -> bool:
        """Whether the request has not arrived whole and has no answer.

        Applications run a request only when its body has arrived.
        """
        return (
            self.is_in_body
            and not self.cycle.response_started
            and not self.transport.is_closing()
        )

    def count_held(self) -> None:
        """Counts what the connection holds; the largest may be closed."""
        size = 0
        if not self.transport.is_closing():
            size = len(self._unparsed) + self.head_bytes
            if self.headers:
                size += _HEADER_OVERHEAD_BYTES * len(self.headers)
            if self.cycle is not None and not self.cycle.response_complete:
                size += self._body_bytes
        if self.flow.write_paused:
            # The application holds what is being written, too.
            size += 2 * self.transport.get_write_buffer_size()
            if self.cycle is not None and not self.cycle.response_complete:
                size += _HELD_BACK_BYTES
        if size == self.held_bytes:
            return
        memory = self.owner.memory
        has_grown = size > self.held_bytes
        self.held_bytes = size
        memory.update(self, size)
        while has_grown and (victim := memory.victim(self)) is not None:
            assert isinstance(victim, _Protocol)
            victim.give_up_memory()

    def give_up_memory(self) -> None:
        """Refuses the request if it has not run, else closes the connection."""
        cause = caller_connection.Cause.MEMORY
        is_refused = self.is_refusable
        self.owner.record_limit(cause, self, is_refused)
        self._note_close(cause)
        if not is_refused:
            self._release()
            self.transport.abort()
            return
        self.transport.write(self._memory_refusal())
        self._give_up_request()

    def close_for(self, cause: caller_connection.Cause) -> None:
        """Closes a connection without a request because of a limit."""
        self.owner.record_limit(cause, self)
        self._note_close(cause)
        self.transport.close()

    def _release(self) -> None:
        self._unparsed = bytearray()
        self.held_bytes = 0
        self.owner.memory.update(self, 0)

    def _feed(self, data: bytes) -> None:
        """Parses bytes that arrived."""
        while data:
            try:
                self.parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as offer:
                rest = data[offer.args[0] :]
            except httptools.HttpParserError:
                if self._trailer_bytes > self.max_head_bytes:
                    cause = caller_connection.Cause.TRAILERS_TOO_LARGE
                    self._refuse_head(cause)
                else:
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

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.is_in_body:
            # As in uvicorn's class, without a further call for each header.
            name = name.lower()
            value = value.rstrip(b" \t")
            if name == b"expect" and value.lower() == b"100-continue":
                self.expect_100_continue = True
            self.headers.append((name, value))
            return
        # Trailers are no headers, so that they can't replace any.
        self._trailer_bytes += len(name) + len(value) + 4
        if self._trailer_bytes > self.max_head_bytes:
            raise ValueError("trailers exceed the limit of a head")

    def on_headers_complete(self) -> None:
        if self.parser.should_upgrade():
            return
        self.is_in_body = True
        self._body_left = None
        self._body_bytes = self._framing_bytes = 0
        self._trailer_bytes = self._quiet_bytes = 0
        for name, value in self.headers:
            if name == b"content-length":
                self._body_left = int(value)
        self._is_put_off = False
        self.connection.end_head(self.loop.time())
        self.scope["state"][TARGET_KEY] = self.url
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        self._body_bytes += len(body)
        if self._body_left is not None:
            self._body_left -= len(body)
        super().on_body(body)

    def on_message_complete(self) -> None:
        if self.parser.should_upgrade():
            return
        self.is_in_body = False
        self._tail = b""
        self._is_in_line = True
        self.head_bytes = self._line_bytes = 0
        self.connection.end_body(self.loop.time())
        super().on_message_complete()

    def on_response_complete(self) -> None:
        self.connection.end_answer(self.loop.time())
        if self.transport.is_closing():
            self._note_close(caller_connection.Cause.ANSWERED)
        super().on_response_complete()
        # The timer of this class replaces uvicorn's.
        self._unset_keepalive_if_required()
        if not self.is_in_body:
            self.headers = []
        self._parse_rest()
        self.count_held()
        self.update_timer()

    def pause_writing(self) -> None:
        super().pause_writing()
        self._start_unread_timer()
        self.count_held()

    def resume_writing(self) -> None:
        super().resume_writing()
        if not self.transport.is_closing():
            self._stop_unread_timer()
            self._parse_rest()
        self.count_held()
        self.update_timer()

    def _start_unread_timer(self) -> None:
        """Begins to watch whether the caller reads what was written."""
        if self._unread_timer is None:
            self._unread = caller_connection.UnreadAnswer(
                _unsent_bytes(self.transport)
            )
            self._arm_unread_timer()

    def _arm_unread_timer(self) -> None:
        self._unread_timer = self.loop.call_later(
            self.owner.limits.current.unread_s / caller_connection.UNREAD_LOOKS,
            self._on_unread_timer,
        )

    def _stop_unread_timer(self) -> None:
        if self._unread_timer is not None:
            self._unread_timer.cancel()
            self._unread_timer = None

    def _on_unread_timer(self) -> None:
        if self._unread is None or not self._unread.is_given_up(
            _unsent_bytes(self.transport)
        ):
            self._arm_unread_timer()
            return
        self._unread_timer = None
        self.owner.record_limit(caller_connection.Cause.UNREAD, self)
        self._note_close(caller_connection.Cause.UNREAD)
        self._stop_unread_timer()
        self.transport.abort()

    def _start_asgi_task(
        self, cycle: httptools_impl.RequestResponseCycle, app: Any
    ) -> None:
        task = self.loop.create_task(cycle.run_asgi(app))
        task.add_done_callback(self._on_task_done)
        self.tasks.add(task)

    def _on_task_done(self, task: "asyncio.Task[None]") -> None:
        """Watches also a connection that is closed without an answer."""
        self.tasks.discard(task)
        if self.transport.is_closing():
            self._note_close(caller_connection.Cause.BROKEN_OFF)

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
        is_waiting = self._unparsed and not self._may_parse()
        if cause is caller_connection.Cause.HEAD_LATE and is_waiting:
            # The head has arrived, and answers before it are not read.
            self.connection.since = self.loop.time()
            self.update_timer()
            return
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
            # A transport that is closed waits until all was sent.
            self._start_unread_timer()

    def _memory_refusal(self) -> bytes:
        fault = codes.fault(
            codes.CALLER_MEMORY,
            f"requests and answers take up {self.owner.memory.total} bytes, "
            "and this request is one of the largest; it has not run",
            retry_after_s=_RETRY_AFTER_S,
        )
        return self._refusal(
            b"503 Service Unavailable\r\nretry-after: %g" % _RETRY_AFTER_S,
            fault,
        )

    def _head_refusal(self) -> bytes:
        limit_s = self.owner.limits.current.head_s
        fault = codes.fault(
            codes.HEAD_TIMEOUT,
            f"request head did not arrive within {limit_s:g} s; "
            "the request has not run",
        )
        return self._refusal(b"408 Request Timeout", fault)

    def _refusal(self, status: bytes, fault: codes.Fault) -> bytes:
        """Returns an answer that reports a fault, and counts it.

        Args:
            status: Status and reason, and lines that follow them.
            fault: The fault.
        """
        if self.owner.metrics is not None:
            self.owner.metrics.count("refused", fault.code.name)
        body = self.owner.fault_body(fault)
        return (
            b"HTTP/1.1 %s\r\ncontent-type: application/json\r\n"
            b"content-length: %d\r\nconnection: close\r\n\r\n"
            % (status, len(body))
        ) + body


def max_held_bytes(head_bytes: int, body_bytes: int) -> int:
    """Returns how much the largest request makes a connection hold, in bytes.

    Args:
        head_bytes: Maximum size of a request's head.
        body_bytes: Maximum size of a request's body.
    """
    headers = head_bytes // _LEAST_HEADER_BYTES
    unparsed_bytes = _MAX_UNPARSED_BYTES + _MAX_READ_BYTES
    return (
        head_bytes
        + headers * _HEADER_OVERHEAD_BYTES
        + body_bytes
        + unparsed_bytes
    )


def set_max_head_bytes(max_bytes: int) -> None:
    """Sets the maximum size of a head and of trailers, on all listeners."""
    _Protocol.max_head_bytes = max_bytes


def _unread_bytes(transport: asyncio.Transport) -> int:
    """Returns how many bytes have arrived that the loop has not read."""
    descriptor = transport.get_extra_info("socket").fileno()
    if descriptor < 0:
        return 0
    count = array.array("i", [0])
    fcntl.ioctl(descriptor, termios.FIONREAD, count)
    return count[0]


def _unsent_bytes(transport: asyncio.Transport) -> int:
    """Returns how many bytes were written that the caller has not taken."""
    size = transport.get_write_buffer_size()
    descriptor = transport.get_extra_info("socket").fileno()
    if descriptor >= 0:
        count = array.array("i", [0])
        # Not every platform tells; then only what was not written counts.
        with contextlib.suppress(OSError):
            fcntl.ioctl(descriptor, termios.TIOCOUTQ, count)
        size += count[0]
    return size
