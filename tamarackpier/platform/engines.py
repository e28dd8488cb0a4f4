"""HTTP client for engines: forwarded requests, reports and orders."""

import asyncio
import contextlib
import dataclasses
import json
from collections.abc import AsyncIterator, Callable, Mapping

import aiohttp
import yarl
from returns import result

from tamarackpier import codes, failures, logs, metrics
from tamarackpier.fleet import departures, model
from tamarackpier.platform import decode, wire
from tamarackpier.upstream import bounded_http, gateway, kept_connections

__all__ = ["HttpGateway", "create_session"]

_OK = 200
_OTHER_ENGINE = 421
_UNAVAILABLE = 503
_OUTCOME_BY_STATUS = {
    _OK: model.OrderOutcome.ACCEPTED,
    202: model.OrderOutcome.ACCEPTED,
    409: model.OrderOutcome.NOT_NOW,
    412: model.OrderOutcome.SUPERSEDED,
    _OTHER_ENGINE: model.OrderOutcome.OTHER_ENGINE,
}
_OPERATIONS = {
    model.OrderKind.JOIN: "join",
    model.OrderKind.OPEN: "open",
    model.OrderKind.CLOSE: "close",
    model.OrderKind.LEAVE: "leave",
    model.OrderKind.STAGE: "stage",
}
# Headers that the HTTP library would add to requests.
_SKIPPED_AUTO_HEADERS = (
    "User-Agent",
    "Accept",
    "Accept-Encoding",
    "Content-Type",
)
_HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
# Errors that show that no head of a final answer arrived but other bytes.
_INVALID_ERRORS = (
    aiohttp.ClientResponseError,
    bounded_http.InvalidStatusError,
)
# Engines in other availability zones answer within 3 ms.
_CONNECT_TIMEOUT_S = 1.0
# Maximum size of an answer to a probe or an order; usual are some 100 bytes.
_MAX_CALL_ANSWER_BYTES = 1 << 18
# Reading of an answer pauses at twice as much that its caller has not taken.
# The library's default held 1.5 MB for each stream that isn't read.
_READ_BUFFER_BYTES = 32_768


class _ResendError(aiohttp.ClientError):
    """The HTTP library was about to resend a request on its own."""


class _SendOnce:
    """Middleware for one request that rejects a second send of it.

    Attributes:
        call: Call to which the request belongs; None if its connection is not
            kept.
        is_sent: Whether it was sent.
    """

    def __init__(self, call: kept_connections.Call | None = None) -> None:
        self.call = call
        self.is_sent = False

    async def __call__(
        self,
        request: aiohttp.ClientRequest,
        handler: aiohttp.ClientHandlerType,
    ) -> aiohttp.ClientResponse:
        if self.is_sent:
            raise _ResendError(
                "connection closed before a response was received"
            )
        self.is_sent = True
        if isinstance(request, kept_connections.EngineRequest):
            request.call = self.call
        return await handler(request)


def create_session(
    policy: kept_connections.Policy | None = None,
) -> aiohttp.ClientSession:
    """Returns a session for engines, without cookies or added headers.

    Args:
        policy: Decides which connections are kept; None to keep none.
    """
    connector = bounded_http.BoundedConnector(limit=0, force_close=True)
    if policy is not None:
        connector = kept_connections.KeptConnector(policy, limit=0)
    return aiohttp.ClientSession(
        connector=connector,
        request_class=kept_connections.EngineRequest,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=_SKIPPED_AUTO_HEADERS,
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=_CONNECT_TIMEOUT_S
        ),
        max_line_size=65_536,
        max_field_size=65_536,
        read_bufsize=_READ_BUFFER_BYTES,
    )


class HttpAnswer(gateway.Answer):
    """The response of an engine to a forwarded request, over HTTP."""

    def __init__(
        self, response: aiohttp.ClientResponse, request_id: str
    ) -> None:
        self.response = response
        self.status = response.status
        dropped_headers = _headers_to_drop(response)
        self.headers = tuple(
            (name.lower(), value)
            for name, value in response.raw_headers
            if name.lower() not in dropped_headers
        )
        response_headers = response.headers
        self.has_proof = wire.Header.PROOF in response_headers
        self.matches_request = (
            response_headers.get(wire.Header.REQUEST_ID) == request_id
        )
        self.is_not_run = (
            wire.Header.NOT_RUN in response_headers or response.status == 421
        )
        self.max_request_rate = decode.request_rate(
            response_headers.get(wire.Header.REQUEST_RATE)
        )
        self.requested_wait_s = None
        if response.status == _UNAVAILABLE:
            self.requested_wait_s = _requested_wait_s(response, request_id)
        self.is_framed = bounded_http.is_framed(response)
        self._connection_closed = bounded_http.unframed_end(response)

    async def read(self) -> bytes:
        """Returns the next bytes of the body, or no bytes at its end.

        Raises:
            AnswerBrokenError: The connection failed before the body ended.
        """
        try:
            data = await self.response.content.readany()
            if not data and self._connection_closed is not None:
                await self._connection_closed
        except (aiohttp.ClientError, OSError) as error:
            raise gateway.AnswerBrokenError(
                failures.describe(error), True
            ) from error
        return data

    def close(self) -> None:
        """Closes the connection."""
        self.response.close()


class HttpGateway(gateway.Gateway):
    """Calls engines, with a new connection for each call or with kept ones.

    Attributes:
        session: HTTP session that opens the connections.
        kept: Keeps connections; None if each call opens one.
        probes: Number of reports requested; the platform charges for each.
        on_leaving: See `gateway.Gateway`.
        on_cold: Called with an engine that says in an answer that it is cold,
            and the seconds for which it is.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.session = session
        connector = session.connector
        self.kept: kept_connections.KeptConnector | None = None
        if isinstance(connector, kept_connections.KeptConnector):
            self.kept = connector
        self.probes = 0
        self.on_leaving: Callable[[departures.Departure, str], object] = (
            lambda departure, source: None
        )
        self.on_cold: Callable[[model.EngineRecord, float], object] = (
            lambda engine, left_s: None
        )

    def observe(
        self, counts: metrics.Metrics, instances: Callable[[], int]
    ) -> None:
        """Sets where connections are counted and who shares the engines.

        Args:
            counts: Counters of this instance.
            instances: Returns the number of instances.
        """
        if self.kept is not None:
            self.kept.metrics = counts
            self.kept.instances = instances

    def keep_only(self, engines: Mapping[str, model.EngineRecord]) -> None:
        """Closes kept connections to engines that are gone or leave.

        Args:
            engines: The known engines, by ID.
        """
        if self.kept is not None:
            self.kept.keep_only(engines)

    async def send(self, forward: gateway.ForwardedRequest) -> gateway.Answer:
        """Sends one attempt to an engine and never resends it.

        Raises:
            AnswerBrokenError: The connection failed before the response
                headers were complete.
        """
        call = None
        if self.kept is not None:
            call = kept_connections.Call(
                forward.engine,
                forward.request_id,
                forward.is_repeatable,
                forward.on_reused,
            )
        try:
            return await self._send(forward, call)
        except BaseException:
            # Also if it was given up because no answer came: the engine's
            # other connections may be silent or closed as well.
            if self.kept and call is not None and call.is_unanswered:
                self.kept.close_engine(forward.engine.id, "unanswered")
            raise

    async def _send(
        self,
        forward: gateway.ForwardedRequest,
        call: kept_connections.Call | None,
    ) -> gateway.Answer:
        """Sends one attempt to an engine.

        Raises:
            AnswerBrokenError: See `send`.
        """
        send_once = _SendOnce(call)
        url = yarl.URL(
            f"http://{forward.engine.address}{forward.target.decode('latin-1')}",
            encoded=True,
        )
        try:
            response = await self.session.request(
                forward.method,
                url,
                data=forward.body or None,
                headers=_request_headers(forward),
                allow_redirects=False,
                middlewares=(send_once,),
            )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise gateway.AnswerBrokenError(
                failures.describe(error), False
            ) from error
        except (aiohttp.ClientError, OSError) as error:
            raise gateway.AnswerBrokenError(
                failures.describe(error),
                True,
                was_kept=call is not None and call.is_unanswered,
                is_invalid=isinstance(error, _INVALID_ERRORS),
            ) from error
        answer = HttpAnswer(response, forward.request_id)
        if answer.matches_request:
            self._note_cold(response, forward.engine)
            if _says_leaving(response, forward.engine):
                self._on_leaving(forward.engine, forward.request_id)
        return answer

    async def report(
        self, engine: model.EngineRecord, timeout_s: float
    ) -> result.Result[model.EngineReport, codes.Fault]:
        """Requests an engine's report of its state."""
        self.probes += 1
        url = f"http://{engine.address}{wire.Path.REPORT}"
        headers = {wire.Header.EXPECT_ENGINE: engine.id}
        try:
            async with self._call("GET", url, headers, timeout_s) as response:
                data = await bounded_http.read_body(
                    response, _MAX_CALL_ANSWER_BYTES
                )
                reporting_engine = response.headers.get(
                    wire.Header.ENGINE, engine.id
                )
                status = response.status
                says_leaving = _says_leaving(response, engine)
                self._note_cold(response, engine)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            is_port_closed = isinstance(
                error, aiohttp.ClientConnectorError
            ) and isinstance(error.os_error, ConnectionRefusedError)
            return failures.failure(
                codes.CONNECTION_REFUSED
                if is_port_closed
                else codes.UPSTREAM_UNREACHABLE,
                failures.describe(error),
            )
        if status == _OTHER_ENGINE or reporting_engine != engine.id:
            return failures.failure(
                codes.UPSTREAM_REPLACED,
                f"HTTP {status} from engine {reporting_engine}",
            )
        if status != _OK:
            return failures.failure(
                codes.BAD_UPSTREAM_DATA,
                f"HTTP {status} from engine {reporting_engine}",
            )
        report_result = decode.engine_report(engine.id, data)
        if says_leaving:
            # The engine may have started again since its row was read.
            incarnation = report_result.map(
                lambda report: report.incarnation
            ).value_or(engine.incarnation)
            self._on_leaving(
                dataclasses.replace(engine, incarnation=incarnation), "report"
            )
        return report_result

    async def order(
        self, order: model.Order, timeout_s: float
    ) -> model.OrderOutcome:
        """Sends an order to an engine and returns its outcome.

        The outcome is `UNKNOWN` if the call fails or times out.
        """
        url = f"http://{order.engine.address}{wire.Path.ORDER}"
        headers = {
            "Content-Type": "application/json",
            wire.Header.EXPECT_ENGINE: order.engine.id,
        }
        body = json.dumps(_order_document(order)).encode()
        try:
            async with self._call(
                "POST", url, headers, timeout_s, body
            ) as response:
                self._note_cold(response, order.engine)
                if _says_leaving(response, order.engine):
                    self._on_leaving(order.engine, "order")
                await bounded_http.read_body(response, _MAX_CALL_ANSWER_BYTES)
                return _OUTCOME_BY_STATUS.get(
                    response.status, model.OrderOutcome.REFUSED
                )
        except (TimeoutError, aiohttp.ClientError, OSError):
            return model.OrderOutcome.UNKNOWN

    def _note_cold(
        self, response: aiohttp.ClientResponse, engine: model.EngineRecord
    ) -> None:
        left_s = decode.cold_left_s(response.headers.get(wire.Header.COLD_MS))
        if left_s and _is_from(response, engine):
            self.on_cold(engine, left_s)

    def _on_leaving(self, engine: model.EngineRecord, source: str) -> None:
        if self.kept is not None:
            self.kept.close_engine(engine.id, "leaving")
        departure = departures.Departure(engine.id, engine.incarnation)
        self.on_leaving(departure, source)

    @contextlib.asynccontextmanager
    async def _call(
        self,
        method: str,
        url: str,
        headers: dict[str, str],
        timeout_s: float,
        body: bytes | None = None,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        if self.kept is not None:
            headers = {**headers, "Connection": "close"}
        async with asyncio.timeout(timeout_s):
            async with self.session.request(
                method,
                url,
                headers=headers,
                data=body,
                allow_redirects=False,
                middlewares=(_SendOnce(),),
            ) as response:
                yield response


def _says_leaving(
    response: aiohttp.ClientResponse, engine: model.EngineRecord
) -> bool:
    """Returns whether the called engine says in a response that it leaves."""
    return _is_from(response, engine) and decode.is_leaving(
        response.headers.get(wire.Header.LEAVING)
    )


def _is_from(
    response: aiohttp.ClientResponse, engine: model.EngineRecord
) -> bool:
    """Returns whether a response is one of the called engine.

    Whoever answers 421 may be another engine, unless it says who it is.
    """
    unnamed = "" if response.status == _OTHER_ENGINE else engine.id
    responding = response.headers.get(wire.Header.ENGINE, unnamed)
    return bool(responding == engine.id)


def _requested_wait_s(
    response: aiohttp.ClientResponse, request_id: str
) -> float | None:
    """Returns the wait that a response asks for; None if there is none."""
    text = response.headers.get(wire.Header.RETRY_AFTER)
    wait_s = decode.retry_after_s(text)
    if text is not None and wait_s is None:
        logs.decision(
            "wait unreadable", request=request_id, retry_after=text[:100]
        )
    return wait_s


def _order_document(order: model.Order) -> dict[str, object]:
    document: dict[str, object] = {"operation": _OPERATIONS[order.kind]}
    if order.key is not None:
        document["group"] = order.key.replica
        document["epoch"] = order.key.fence
    if order.model:
        document["model"] = order.model
    if order.members:
        document["members"] = list(order.members)
    if order.kind is model.OrderKind.CLOSE:
        document["strategy"] = "wait"
    return document


def _request_headers(
    forward: gateway.ForwardedRequest,
) -> list[tuple[str, str]]:
    headers = [
        (name.decode("latin-1"), _decode_value(value))
        for name, value in forward.headers
    ]
    headers.append(("Host", forward.host))
    headers.append((wire.Header.REQUEST_ID, forward.request_id))
    remaining_ms = max(1, int(forward.timeout_s * 1e3))
    headers.append((wire.Header.DEADLINE_MS, str(remaining_ms)))
    headers.append((wire.Header.EXPECT_ENGINE, forward.engine.id))
    headers.append((wire.Header.PRIORITY, str(forward.priority)))
    if forward.account:
        headers.append((wire.Header.ACCOUNT, forward.account))
    if forward.last_event_id:
        headers.append((wire.Header.LAST_EVENT_ID, forward.last_event_id))
    return headers


def _decode_value(value: bytes) -> str:
    """Returns a header's value as text; the HTTP client writes UTF-8."""
    try:
        return value.decode()
    except UnicodeDecodeError:
        return value.decode("latin-1")


def _headers_to_drop(response: aiohttp.ClientResponse) -> frozenset[bytes]:
    """Returns the names of headers that hold for one connection only."""
    connection_header = response.headers.get("Connection", "")
    connection_options = {
        option.strip().lower().encode()
        for option in connection_header.split(",")
    }
    return _HOP_BY_HOP_HEADERS | connection_options
