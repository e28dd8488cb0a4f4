"""Client for model engines over HTTP, as docs/UPSTREAMS.md describes them."""

import asyncio
import dataclasses
import json
import secrets
from typing import Any, Protocol

import aiohttp
from returns import result

from tamarackpier import codes, failures
from tamarackpier.replica import model as replica_model
from tamarackpier.request import model as request_model
from tamarackpier.upstream import bounded_http

__all__ = [
    "CALL_ID_HEADER",
    "PROBE_TIMEOUT_PERIODS",
    "BrokenStreamError",
    "Dispatch",
    "EngineClient",
    "EngineStream",
    "HttpEngineClient",
    "report_from_json",
]

# Header with the ID of a call, which engines send back in their answer.
CALL_ID_HEADER = "X-Call-Id"
# Timeout of a probe, in probe periods.
PROBE_TIMEOUT_PERIODS = 2
_OK = 200
_CONFLICT = 409
_TOO_MANY_REQUESTS = 429
_SERVICE_UNAVAILABLE = 503
_NOT_RUN_STATUSES = (_CONFLICT, _TOO_MANY_REQUESTS, _SERVICE_UNAVAILABLE)
_CONNECT_TIMEOUT_S = 1.0
# Time for the body of an answer that refuses a call; its head has arrived.
_REFUSAL_TIMEOUT_S = 1.0
# Maximum size of a report or of a refusal's body.
_MAX_CALL_BYTES = 1 << 18
_MAX_DETAIL_BYTES = 200


class BrokenStreamError(Exception):
    """A stream broke off before it was complete."""


@dataclasses.dataclass(frozen=True)
class Dispatch:
    """A model call as it is sent to a replica's lead.

    Attributes:
        call: The call.
        replica_id: ID of the replica; any other replica has to refuse the call.
        fence: Fencing number of the replica.
        priority: Priority; lower values run first.
        delivered_pieces: Number of pieces of the answer that were already
            delivered to the caller.
        delivered_text: Text of these pieces, for a replica that did not
            generate them.
    """

    call: request_model.ModelCall
    replica_id: str
    fence: int
    priority: int
    delivered_pieces: int = 0
    delivered_text: str = ""


class EngineStream(Protocol):
    """An answer that is being generated."""

    async def read(self) -> bytes:
        """Returns the data since the last read; empty at the end.

        Raises:
            BrokenStreamError: The connection broke.
        """

    def close(self) -> None:
        """Closes the connection; a pending read raises."""


class EngineClient(Protocol):
    """Interface of entry instances to engines."""

    async def report(
        self, address: str, instance_id: str, now: float
    ) -> result.Result[replica_model.EngineReport, codes.Fault]:
        """Asks an engine for a report of its state.

        Args:
            address: Base URL of the engine.
            instance_id: Instance ID that the report has to carry.
            now: Current time, in seconds on the monotonic clock.

        Returns:
            The report, or a fault if none arrived or it is invalid.
        """

    async def order(
        self, order: replica_model.Order
    ) -> result.Result[None, codes.Fault]:
        """Sends an order to an engine.

        Returns:
            Nothing if the engine accepted the order. `ORDER_REFUSED` if it
            refused it, `UPSTREAM_UNREACHABLE` if no answer arrived; in the
            latter case, the engine may have received the order.
        """

    async def open(
        self, address: str, dispatch: Dispatch
    ) -> result.Result[EngineStream, codes.Fault]:
        """Starts a call and returns its answer's stream.

        The outcome of a fault tells whether the call may have run.
        """

    async def cancel(self, address: str, request_id: str) -> None:
        """Tells a lead that no caller waits for a call any more."""


class HttpEngineStream(EngineStream):
    """A stream of server-sent events over HTTP.

    Attributes:
        response: Response whose body is the stream.
    """

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self.response = response

    async def read(self) -> bytes:
        """Returns the data since the last read; empty at the end."""
        try:
            return await self.response.content.readany()
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise BrokenStreamError(str(error)) from error

    def close(self) -> None:
        """Closes the connection."""
        self.response.close()


class HttpEngineClient(EngineClient):
    """Client for engines over HTTP.

    Connections are kept, so what arrives on one may belong to an earlier call;
    an answer counts only with the ID of the call.

    Attributes:
        session: HTTP session for all calls; it reuses connections.
        probe_timeout: Timeout of a request for a report and of a cancellation.
        order_timeout: Timeout of an order, so that none is in flight longer.
        open_timeout: Timeout for starting a call. It limits only the
            connection set-up.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        probe_s: float,
        order_flight_s: float,
    ) -> None:
        self.session = session
        self.probe_timeout = aiohttp.ClientTimeout(total=probe_s)
        self.order_timeout = aiohttp.ClientTimeout(total=order_flight_s)
        self.open_timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=_CONNECT_TIMEOUT_S
        )

    async def report(
        self, address: str, instance_id: str, now: float
    ) -> result.Result[replica_model.EngineReport, codes.Fault]:
        """Asks an engine for a report of its state."""
        call_id = _new_call_id()
        try:
            async with self.session.get(
                f"{address}/report",
                headers={CALL_ID_HEADER: call_id},
                allow_redirects=False,
                timeout=self.probe_timeout,
            ) as response:
                _check_call_id(response, call_id)
                if response.status != _OK:
                    return failures.failure(
                        codes.UPSTREAM_UNREACHABLE, f"HTTP {response.status}"
                    )
                document = json.loads(
                    await bounded_http.read_body(response, _MAX_CALL_BYTES)
                )
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return failures.failure(
                codes.UPSTREAM_UNREACHABLE, failures.describe(error)
            )
        except (RecursionError, ValueError) as error:
            return failures.failure(codes.BAD_UPSTREAM_DATA, str(error))
        return report_from_json(document, instance_id, now)

    async def order(
        self, order: replica_model.Order
    ) -> result.Result[None, codes.Fault]:
        """Sends an order to an engine."""
        body = {
            "kind": order.kind.value,
            "fence": order.fence,
            "replica_id": order.replica_id,
            "members": order.members,
            "model": order.model,
            "version": order.version,
        }
        call_id = _new_call_id()
        try:
            async with self.session.post(
                f"{order.address}/orders",
                json=body,
                headers={CALL_ID_HEADER: call_id},
                allow_redirects=False,
                timeout=self.order_timeout,
            ) as response:
                _check_call_id(response, call_id)
                if response.status == _OK:
                    return result.Success(None)
                detail = await _read_detail(response)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return failures.failure(
                codes.UPSTREAM_UNREACHABLE, failures.describe(error)
            )
        return failures.failure(codes.ORDER_REFUSED, detail)

    async def open(
        self, address: str, dispatch: Dispatch
    ) -> result.Result[EngineStream, codes.Fault]:
        """Starts a call."""
        call = dispatch.call
        body = {
            "request_id": call.request_id,
            "replica_id": dispatch.replica_id,
            "fence": dispatch.fence,
            "kind": call.kind.value,
            "content": call.content,
            "max_tokens": call.max_tokens,
            "sampling": call.sampling,
            "priority": dispatch.priority,
            "after": dispatch.delivered_pieces,
            "delivered_text": dispatch.delivered_text,
        }
        call_id = _new_call_id()
        try:
            response = await self.session.post(
                f"{address}/generate",
                json=body,
                headers={CALL_ID_HEADER: call_id},
                allow_redirects=False,
                timeout=self.open_timeout,
            )
            _check_call_id(response, call_id)
        except aiohttp.ClientConnectorError as error:
            return failures.failure(codes.UPSTREAM_UNREACHABLE, str(error))
        except aiohttp.ConnectionTimeoutError as error:
            return failures.failure(codes.UPSTREAM_UNREACHABLE, str(error))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return failures.failure(
                codes.UPSTREAM_FAILED, failures.describe(error)
            )
        if response.status == _OK:
            return result.Success(HttpEngineStream(response))
        return await _refusal(response)

    async def cancel(self, address: str, request_id: str) -> None:
        """Tells a lead that no caller waits for a call any more."""
        try:
            async with self.session.post(
                f"{address}/cancel",
                json={"request_id": request_id},
                timeout=self.probe_timeout,
            ):
                pass
        except (TimeoutError, aiohttp.ClientError, OSError):
            # The engine stops the call by itself when it can't write.
            return


def report_from_json(
    document: Any, instance_id: str, asked_at: float
) -> result.Result[replica_model.EngineReport, codes.Fault]:
    """Decodes and checks an engine's report.

    Args:
        document: Decoded JSON of the report.
        instance_id: Instance ID that the report has to carry.
        asked_at: Time at which the engine was asked, in seconds on the
            monotonic clock.

    Returns:
        The report, or a fault with `BAD_UPSTREAM_DATA`.
    """
    try:
        report = replica_model.EngineReport(
            instance_id=_string(document["instance_id"]),
            boot_id=_string(document["boot_id"]),
            state=replica_model.EngineState(document["state"]),
            replica_id=_string(document["replica_id"]),
            fence=_non_negative_integer(document["fence"]),
            members=tuple(_string(member) for member in document["members"]),
            model=_string(document["model"]),
            version=_string(document["version"]),
            running=_non_negative_integer(document["running"]),
            slots=_non_negative_integer(document["slots"]),
            asked_at=asked_at,
        )
    except (KeyError, TypeError, ValueError) as error:
        return failures.failure(
            codes.BAD_UPSTREAM_DATA, f"engine report is invalid: {error!r}"
        )
    if report.instance_id != instance_id:
        detail = f"{instance_id} sent the report of {report.instance_id}"
        return failures.failure(codes.BAD_UPSTREAM_DATA, detail)
    if report.slots < 1:
        return failures.failure(
            codes.BAD_UPSTREAM_DATA,
            "engine report has no slots, expected 1 or more",
        )
    return result.Success(report)


def _new_call_id() -> str:
    return secrets.token_hex(8)


def _check_call_id(response: aiohttp.ClientResponse, call_id: str) -> None:
    """Checks that a response answers a call; closes its connection if not.

    Raises:
        aiohttp.ClientError: It does not.
    """
    answered_id = response.headers.get(CALL_ID_HEADER)
    if answered_id != call_id:
        response.close()
        raise aiohttp.ClientError(
            f"answer has the call ID {answered_id!r}, expected {call_id!r}"
        )


async def _refusal(
    response: aiohttp.ClientResponse,
) -> result.Result[EngineStream, codes.Fault]:
    """Returns the fault for an answer whose status is not 200."""
    status = response.status
    try:
        async with asyncio.timeout(_REFUSAL_TIMEOUT_S):
            detail = await _read_detail(response)
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        detail = failures.describe(error)
    if status == _CONFLICT:
        return failures.failure(codes.REPLICA_NOT_WHOLE, detail)
    if status in _NOT_RUN_STATUSES:
        return failures.failure(codes.UPSTREAM_REFUSED, detail)
    return failures.failure(codes.UPSTREAM_FAILED, f"HTTP {status}: {detail}")


async def _read_detail(response: aiohttp.ClientResponse) -> str:
    """Returns the start of a response's body as text."""
    body = await bounded_http.read_body(response, _MAX_CALL_BYTES)
    return body[:_MAX_DETAIL_BYTES].decode(errors="replace")


def _string(value: Any) -> str:
    if not isinstance(value, str):
        raise ValueError(f"expected a string, got {value!r}")
    return value


def _non_negative_integer(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise ValueError(f"expected a non-negative integer, got {value!r}")
    return value
