"""Connections to engines that are used for several requests.

What is kept, for how long and for whom is decided by pure functions from the
facts of an answer. The connector applies the decisions with the pool of the
HTTP library, in which a connection belongs to an engine and its incarnation,
not only to an address: addresses are used again by other engines.
"""

import asyncio
import collections
import dataclasses
import re
import resource
import select
from collections.abc import Callable, Mapping
from typing import Any

import aiohttp
from aiohttp import connector as aiohttp_connector
from aiohttp import http as aiohttp_http

from tamarackpier import metrics
from tamarackpier.fleet import model
from tamarackpier.platform import decode, wire
from tamarackpier.upstream import bounded_http

__all__ = [
    "Call",
    "EndedAnswer",
    "EngineRequest",
    "KeptConnector",
    "Policy",
    "default_policy",
]

# Engines close earlier than a client expects: their time counts from the last
# byte that they sent, and a request has to arrive within it.
_USABLE_SHARE = 0.5
# Engines that name no time close at an unknown one.
_UNNAMED_IDLE_S = 2.0
_MAX_IDLE_S = 30.0
_MAX_IDLE_PER_ENGINE = 2
# Smallest limit on connections, over all instances, of the known engines.
_ENGINE_CONNECTIONS = 700
# Share of an engine's connections that may be idle; the rest is for requests.
_IDLE_SHARE = 0.5
# Share of the process's descriptors that idle connections may take.
_DESCRIPTOR_SHARE = 0.125
_ASSUMED_INSTANCES = 16
_OTHER_ENGINE = 421
_COUNTER = "engine_connection"
_KEEP_ALIVE = re.compile(r"(?:^|[,;\s])(timeout|max)\s*=\s*(\d{1,9})", re.I)
_HEAD_END = b"\r\n\r\n"
_LAST_CHUNK = b"0\r\n\r\n"


@dataclasses.dataclass(frozen=True)
class EndedAnswer:
    """Facts of an answer that has ended, and of its connection.

    Attributes:
        status: HTTP status.
        is_http_1_1: Whether its version is HTTP/1.1.
        is_whole: Whether a length or chunks show that it is complete, and no
            byte preceded or followed it.
        is_request_written: Whether the request has left completely.
        matches_request: Whether it carries the ID of the request, and no other
            engine than the called one sent it.
        says_close: Whether engine or client close the connection.
        says_leaving: Whether the engine said that it leaves.
        keep_alive: Value of the header `Keep-Alive`; empty if it is absent.
    """

    status: int
    is_http_1_1: bool
    is_whole: bool
    is_request_written: bool
    matches_request: bool
    says_close: bool
    says_leaving: bool
    keep_alive: str


@dataclasses.dataclass(frozen=True)
class Policy:
    """Decides which connections are kept.

    Attributes:
        unnamed_idle_s: Time for which a connection is kept if its engine names
            none, in seconds.
        max_idle_per_engine: Idle connections to one engine.
        max_idle: Idle connections to all engines.
        engine_connections: Connections that an engine accepts from all
            instances together.
    """

    unnamed_idle_s: float = _UNNAMED_IDLE_S
    max_idle_per_engine: int = _MAX_IDLE_PER_ENGINE
    max_idle: int = 256
    engine_connections: int = _ENGINE_CONNECTIONS

    def obstacle(self, answer: EndedAnswer) -> str:
        """Returns the short name of why a connection must close, or ""."""
        if answer.says_close or not answer.is_http_1_1:
            return "said"
        if not bounded_http.is_final(answer.status) or not answer.is_whole:
            return "not_whole"
        if not answer.is_request_written:
            return "unwritten"
        if not answer.matches_request:
            return "foreign"
        if answer.says_leaving:
            return "leaving"
        if self.idle_s(answer.keep_alive) <= 0:
            return "said"
        return ""

    def idle_s(self, keep_alive: str) -> float:
        """Returns for how long after an answer a connection may be used.

        Args:
            keep_alive: Value of the header `Keep-Alive`; empty for none.

        Returns:
            Time in seconds; 0 if it may not be.
        """
        named = {
            name.lower(): int(value)
            for name, value in _KEEP_ALIVE.findall(keep_alive)
        }
        if named.get("max") == 0:
            return 0.0
        if "timeout" not in named:
            return self.unnamed_idle_s
        return min(_MAX_IDLE_S, named["timeout"] * _USABLE_SHARE)

    def has_room(self, idle_at_engine: int, idle: int, instances: int) -> bool:
        """Returns whether one more idle connection to an engine is allowed.

        Args:
            idle_at_engine: Idle connections to the engine.
            idle: Idle connections to all engines.
            instances: Number of instances that share the engine.
        """
        share = int(_IDLE_SHARE * self.engine_connections / max(1, instances))
        limit = min(self.max_idle_per_engine, share)
        return idle_at_engine < limit and idle < self.max_idle


def _do_nothing() -> None:
    """Does nothing."""


def default_policy() -> Policy:
    """Returns the policy that fits the descriptors of this process."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        return Policy()
    return Policy(
        max_idle=min(Policy.max_idle, int(soft_limit * _DESCRIPTOR_SHARE))
    )


@dataclasses.dataclass(eq=False)
class Call:
    """A request to an engine whose connection may be kept.

    Attributes:
        engine: Engine that is called.
        request_id: ID that its answer has to carry.
        may_reuse: Whether it may be sent on a kept connection.
        on_reused: Called when it is about to be sent on one.
        protocol: Protocol of its connection; None before there is one.
        is_reused: Whether its connection was kept.
    """

    engine: model.EngineRecord
    request_id: str
    may_reuse: bool
    on_reused: Callable[[], object]
    protocol: "_KeptHandler | None" = None
    is_reused: bool = False

    @property
    def is_unanswered(self) -> bool:
        """Whether it was sent on a kept connection and no byte has come."""
        return (
            self.is_reused
            and self.protocol is not None
            and not self.protocol.received
        )


class EngineRequest(aiohttp.ClientRequest):
    """A request of the HTTP library that may belong to a call.

    Attributes:
        call: The call; None if its connection is not kept.
    """

    call: Call | None = None

    @property
    def connection_key(self) -> Any:
        """Key of the connections that can carry this request."""
        key = super().connection_key
        if self.call is None:
            return key
        engine = self.call.engine
        # The name of a server is used for TLS only, and here for the pool.
        return key._replace(server_hostname=f"{engine.id}@{engine.incarnation}")


class _KeptHandler(bounded_http.BoundedResponseHandler):
    """Protocol of a connection that may be kept.

    The parser reports no bytes that follow an answer in the same packet if
    they make no message, so that the bytes are counted here.

    Attributes:
        call: Latest call on the connection; None if it may not be kept.
        head: Head of the final answer; None before it is complete.
        received: Number of bytes received since the last request was sent.
        is_idle: Whether the connection is kept and no request uses it.
        on_idle_end: Called with a reason when an idle connection has to close.
    """

    call: Call | None = None
    head: Any = None
    received = 0
    is_idle = False
    on_idle_end: Callable[[str], None] = staticmethod(lambda reason: None)
    _has_more_messages = False
    _tail_bytes = b""
    _expiry: asyncio.TimerHandle | None = None

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._head_bytes = bytearray()

    def set_response_params(self, **options: Any) -> None:
        """Prepares for the response of the next request."""
        self.head = None
        self.received = 0
        self._has_more_messages = False
        self._tail_bytes = b""
        self._head_bytes.clear()
        super().set_response_params(**options)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Receives the head and the body of a parsed response."""
        message, _ = data
        if self.head is not None or message.code < 200:
            self._has_more_messages = True
        if message.code >= 200:
            self.head = message
        super().feed_data(data, size)
        self._end_idle("unsolicited")

    def data_received(self, data: bytes) -> None:
        """Receives bytes from the connection."""
        if data and self.is_idle:
            self._end_idle("unsolicited")
            return
        self.received += len(data)
        if self.head is None:
            self._head_bytes += data
        self._tail_bytes = (self._tail_bytes + data[-5:])[-5:]
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forgets the connection."""
        self._end_idle("engine")
        super().connection_lost(exc)

    def eof_received(self) -> None:
        """Forgets a connection that its engine has closed."""
        self._end_idle("engine")
        super().eof_received()

    def start_idle(
        self, idle_s: float, on_idle_end: Callable[[str], None]
    ) -> None:
        """Starts to keep the connection.

        Args:
            idle_s: Time after which it closes, in seconds.
            on_idle_end: Called with the reason when it has to close.
        """
        self.is_idle = True
        self.on_idle_end = on_idle_end
        # An idle connection holds nothing of the request, such as its body.
        self.head = None
        self._head_bytes.clear()
        if self.call is not None:
            self.call.on_reused = _do_nothing
            self.call.protocol = None
        self._expiry = self._loop.call_later(idle_s, self._end_idle, "idle")

    def is_usable(self) -> bool:
        """Returns whether an idle connection can take a request.

        The event loop may be late to end its time or to read what arrived.
        """
        if not self.is_idle or self._expiry is None or self.transport is None:
            return False
        if self._expiry.when() <= self._loop.time():
            return False
        connection_socket = self.transport.get_extra_info("socket")
        if connection_socket is None or not self.is_connected():
            return False
        poll = select.poll()
        poll.register(connection_socket.fileno(), select.POLLIN)
        return not poll.poll(0)

    def stop_idle(self) -> None:
        """Ends the time in which no request uses the connection."""
        self.is_idle = False
        if self._expiry is not None:
            self._expiry.cancel()
            self._expiry = None

    def ended_answer(self) -> EndedAnswer | None:
        """Returns the facts of the last answer; None if there was none."""
        message = self.head
        if message is None or self.call is None or self.transport is None:
            return None
        headers = message.headers
        engine_id = self.call.engine.id
        return EndedAnswer(
            message.code,
            message.version == aiohttp_http.HttpVersion11,
            self._is_whole(),
            not self.transport.get_write_buffer_size(),
            headers.get(wire.Header.REQUEST_ID) == self.call.request_id
            and message.code != _OTHER_ENGINE
            and headers.get(wire.Header.ENGINE, engine_id) == engine_id,
            message.should_close or self.should_close,
            decode.is_leaving(headers.get(wire.Header.LEAVING)),
            headers.get("Keep-Alive", ""),
        )

    def _is_whole(self) -> bool:
        """Returns whether exactly one framed answer has arrived."""
        if self._has_more_messages or self.body is None:
            return False
        if not getattr(self.body, "is_eof", bool)():
            return False
        if self.head.chunked:
            return self._tail_bytes == _LAST_CHUNK
        length = self.head.headers.get("Content-Length", "")
        head_end = self._head_bytes.find(_HEAD_END)
        return (
            length.isdecimal()
            and head_end >= 0
            and self.received == head_end + len(_HEAD_END) + int(length)
        )

    def _end_idle(self, reason: str) -> None:
        if self.is_idle:
            self.stop_idle()
            self.on_idle_end(reason)


class KeptConnector(bounded_http.BoundedConnector):
    """Opens connections to engines and keeps those that a policy allows.

    Attributes:
        policy: Decides which connections are kept.
        metrics: Counts connections by what became of them.
        instances: Returns the number of instances that share the engines.
    """

    protocol_class = _KeptHandler

    def __init__(self, policy: Policy, **options: Any) -> None:
        # Each connection has its own time, which is shorter.
        super().__init__(keepalive_timeout=2 * _MAX_IDLE_S, **options)
        self.policy = policy
        self.metrics = metrics.Metrics()
        self.instances: Callable[[], int] = lambda: _ASSUMED_INSTANCES
        self._idle: dict[_KeptHandler, Any] = {}

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: Any,
        timeout: aiohttp.ClientTimeout,
    ) -> aiohttp_connector.Connection:
        """Returns a kept connection if the request may use one, or a new."""
        call = getattr(req, "call", None)
        if call is not None and call.may_reuse:
            kept = self._take(call, req.connection_key)
            if kept is not None:
                return kept
        connection = await super().connect(req, traces, timeout)
        self.metrics.count(_COUNTER, "opened")
        protocol = connection.protocol
        assert isinstance(protocol, _KeptHandler)
        protocol.call = call
        if call is not None:
            call.protocol = protocol
        return connection

    def idle_engines(self) -> list[model.EngineRecord]:
        """Returns the engine of each idle connection."""
        return [
            protocol.call.engine for protocol in self._idle if protocol.call
        ]

    def close_engine(self, engine_id: str, reason: str) -> None:
        """Closes the idle connections to an engine.

        Args:
            engine_id: ID of the engine, in any incarnation.
            reason: Short name of the reason, for the counter.
        """
        for protocol in list(self._idle):
            if protocol.call and protocol.call.engine.id == engine_id:
                self._close_idle(protocol, reason)

    def keep_only(self, engines: Mapping[str, model.EngineRecord]) -> None:
        """Closes idle connections to engines that are gone or leave.

        Args:
            engines: The known engines, by ID.
        """
        for protocol in list(self._idle):
            assert protocol.call is not None
            engine = engines.get(protocol.call.engine.id)
            if engine is None or not _is_same(protocol, engine):
                self._close_idle(protocol, "gone")
            elif engine.is_leaving:
                self._close_idle(protocol, "leaving")

    async def _get(self, key: Any, traces: Any) -> None:
        """Finds no connection: `connect` decides who may use a kept one."""

    def _take(
        self, call: Call, key: Any
    ) -> aiohttp_connector.Connection | None:
        """Returns an idle connection for a call, the latest used first."""
        for protocol, _ in reversed(self._conns.get(key, ())):
            assert isinstance(protocol, _KeptHandler)
            last_call = protocol.call
            # A late second answer to the same ID couldn't be told apart.
            if last_call is None or last_call.request_id == call.request_id:
                continue
            if not protocol.is_usable():
                continue
            protocol.stop_idle()
            self._forget(protocol)
            self._acquired.add(protocol)
            protocol.call = call
            protocol.received = 0
            call.protocol = protocol
            call.is_reused = True
            self.metrics.count(_COUNTER, "reused")
            call.on_reused()
            return aiohttp_connector.Connection(self, key, protocol, self._loop)
        return None

    def _release(
        self, key: Any, protocol: Any, *, should_close: bool = False
    ) -> None:
        """Keeps the connection of an ended request, or closes it."""
        answer = protocol.ended_answer()
        reason = "unfinished"
        if protocol.call is None:
            reason = "not_kept"
        elif answer is not None and not should_close:
            reason = self.policy.obstacle(answer)
            if not reason and not self._has_room(key):
                reason = "full"
        super()._release(key, protocol, should_close=bool(reason))
        if reason or answer is None or self.closed:
            self.metrics.count(_COUNTER, f"closed_{reason or 'unfinished'}")
            return
        self._idle[protocol] = key
        protocol.start_idle(
            self.policy.idle_s(answer.keep_alive),
            lambda why: self._close_idle(protocol, why),
        )

    def _has_room(self, key: Any) -> bool:
        return self.policy.has_room(
            len(self._conns.get(key, ())), len(self._idle), self.instances()
        )

    def _close_idle(self, protocol: _KeptHandler, reason: str) -> None:
        protocol.stop_idle()
        if self._forget(protocol):
            self.metrics.count(_COUNTER, f"closed_{reason}")
        protocol.close()

    def _forget(self, protocol: _KeptHandler) -> bool:
        """Takes a connection out of the pool; returns whether it was in it."""
        key = self._idle.pop(protocol, None)
        connections = self._conns.get(key) if key is not None else None
        if connections is None:
            return key is not None
        left = collections.deque(
            pair for pair in connections if pair[0] is not protocol
        )
        if left:
            self._conns[key] = left
        else:
            del self._conns[key]
        return True


def _is_same(protocol: _KeptHandler, engine: model.EngineRecord) -> bool:
    """Returns whether a connection leads to an engine as it is known now."""
    if protocol.call is None:
        return False
    known = protocol.call.engine
    return (known.id, known.incarnation, known.address) == (
        engine.id,
        engine.incarnation,
        engine.address,
    )
