"""Calls to engines over HTTP: requests, reports and orders."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator

import aiohttp
import yarl
from returns import result

from tamarackpier import codes, failures
from tamarackpier.fleet import model
from tamarackpier.platform import decode, wire
from tamarackpier.upstream import gateway

__all__ = ["HttpGateway", "create_session"]

_OUTCOMES = {
    200: model.OrderOutcome.ACCEPTED,
    202: model.OrderOutcome.ACCEPTED,
    409: model.OrderOutcome.NOT_NOW,
    412: model.OrderOutcome.SUPERSEDED,
    421: model.OrderOutcome.OTHER_ENGINE,
}
_OPERATIONS = {
    model.OrderKind.JOIN: "join",
    model.OrderKind.OPEN: "open",
    model.OrderKind.CLOSE: "close",
    model.OrderKind.LEAVE: "leave",
    model.OrderKind.STAGE: "stage",
}
_UNMARKED = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
_CONNECTION_HEADERS = frozenset(
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
_CONNECT_S = 1.0  # An engine in another zone answers within 3 ms.


class _SentTwiceError(aiohttp.ClientError):
    """The HTTP library was about to send a request a second time."""


class _Once:
    """Middleware for one request that lets it be sent once."""

    def __init__(self) -> None:
        self.is_sent = False

    async def __call__(
        self,
        request: aiohttp.ClientRequest,
        handler: aiohttp.ClientHandlerType,
    ) -> aiohttp.ClientResponse:
        if self.is_sent:
            raise _SentTwiceError("the connection closed without an answer")
        self.is_sent = True
        return await handler(request)


def create_session() -> aiohttp.ClientSession:
    """Returns a session that uses each connection once and adds nothing."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, force_close=True),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=_UNMARKED,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=_CONNECT_S),
        max_line_size=65_536,
        max_field_size=65_536,
    )


class HttpAnswer(gateway.Answer):
    """An answer over HTTP."""

    def __init__(
        self, response: aiohttp.ClientResponse, request_id: str
    ) -> None:
        self.response = response
        self.status = response.status
        dropped = _dropped(response)
        self.headers = tuple(
            (name.lower(), value)
            for name, value in response.raw_headers
            if name.lower() not in dropped
        )
        found = response.headers
        self.has_proof = wire.Header.PROOF in found
        self.matches_request = found.get(wire.Header.REQUEST_ID) == request_id
        self.is_not_run = wire.Header.NOT_RUN in found or response.status == 421
        # Without a length only the way a connection ends tells a whole body
        # from one that was cut off.
        connection = response.connection
        protocol = connection.protocol if connection else None
        is_framed = (
            response.content_length is not None
            or "chunked" in found.get("Transfer-Encoding", "")
        )
        self._closed = None
        if protocol is not None and not is_framed:
            self._closed = protocol.closed

    async def read(self) -> bytes:
        """Returns the next bytes; none at the end of a whole body."""
        try:
            data = await self.response.content.readany()
            if not data and self._closed is not None:
                await self._closed
        except (aiohttp.ClientError, OSError) as error:
            raise gateway.AnswerBrokenError(
                failures.describe(error), True
            ) from error
        return data

    def close(self) -> None:
        """Ends the connection."""
        self.response.close()


class HttpGateway(gateway.Gateway):
    """Calls to engines, each over a connection of its own.

    Attributes:
        session: Opens the connections.
        probes: Reports asked for, since each is priced.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.session = session
        self.probes = 0

    async def send(self, forward: gateway.ForwardedRequest) -> gateway.Answer:
        """Sends one attempt, once."""
        once = _Once()
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
                middlewares=(once,),
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
                failures.describe(error), True
            ) from error
        return HttpAnswer(response, forward.request_id)

    async def report(
        self, engine: model.EngineRecord, timeout_s: float
    ) -> result.Result[model.EngineReport, codes.Fault]:
        """Asks an engine about itself."""
        self.probes += 1
        url = f"http://{engine.address}{wire.Path.REPORT}"
        headers = {wire.Header.EXPECT_ENGINE: engine.id}
        try:
            async with self._call("GET", url, headers, timeout_s) as response:
                data = await response.read()
                named = response.headers.get(wire.Header.ENGINE, engine.id)
                status = response.status
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return failures.failure(
                codes.UPSTREAM_UNREACHABLE, failures.describe(error)
            )
        if status != 200 or named != engine.id:
            return failures.failure(
                codes.BAD_UPSTREAM_DATA, f"HTTP {status} from {named}"
            )
        return decode.engine_report(engine.id, data)

    async def order(
        self, order: model.Order, timeout_s: float
    ) -> model.OrderOutcome:
        """Sends an order."""
        url = f"http://{order.engine.address}{wire.Path.ORDER}"
        headers = {
            "Content-Type": "application/json",
            wire.Header.EXPECT_ENGINE: order.engine.id,
        }
        body = json.dumps(_order(order)).encode()
        try:
            async with self._call(
                "POST", url, headers, timeout_s, body
            ) as response:
                await response.read()
                return _OUTCOMES.get(
                    response.status, model.OrderOutcome.REFUSED
                )
        except (TimeoutError, aiohttp.ClientError, OSError):
            return model.OrderOutcome.UNKNOWN

    @contextlib.asynccontextmanager
    async def _call(
        self,
        method: str,
        url: str,
        headers: dict[str, str],
        timeout_s: float,
        body: bytes | None = None,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        async with asyncio.timeout(timeout_s):
            async with self.session.request(
                method,
                url,
                headers=headers,
                data=body,
                allow_redirects=False,
                middlewares=(_Once(),),
            ) as response:
                yield response


def _order(order: model.Order) -> dict[str, object]:
    found: dict[str, object] = {"operation": _OPERATIONS[order.kind]}
    if order.key is not None:
        found["group"] = order.key.replica
        found["epoch"] = order.key.fence
    if order.model:
        found["model"] = order.model
    if order.members:
        found["members"] = list(order.members)
    if order.kind is model.OrderKind.CLOSE:
        found["strategy"] = "wait"
    return found


def _request_headers(
    forward: gateway.ForwardedRequest,
) -> list[tuple[str, str]]:
    found = [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in forward.headers
    ]
    found.append(("Host", forward.host))
    found.append((wire.Header.REQUEST_ID, forward.request_id))
    left_ms = max(1, int(forward.timeout_s * 1e3))
    found.append((wire.Header.DEADLINE_MS, str(left_ms)))
    found.append((wire.Header.EXPECT_ENGINE, forward.engine.id))
    found.append((wire.Header.PRIORITY, str(forward.priority)))
    if forward.account:
        found.append((wire.Header.ACCOUNT, forward.account))
    if forward.last_event_id:
        found.append((wire.Header.LAST_EVENT_ID, forward.last_event_id))
    return found


def _dropped(response: aiohttp.ClientResponse) -> frozenset[bytes]:
    listed = response.headers.get("Connection", "")
    named = {each.strip().lower().encode() for each in listed.split(",")}
    return _CONNECTION_HEADERS | named
