"""Shared helpers of the HTTP endpoints: bodies, faults, disconnection."""

import asyncio
import dataclasses
import json
import math
from collections.abc import Awaitable, Callable
from typing import Any

import falcon
import falcon.asgi

from tamarackpier import codes

__all__ = [
    "DisconnectMiddleware",
    "FaultError",
    "check_length",
    "fault_body",
    "fault_document",
    "read_body",
    "write_fault",
    "write_json",
]

# Key of the ASGI scope under which the `receive` callable is stored.
RECEIVE_KEY = "tamarackpier.receive"
_CHUNK_BYTES = 65_536

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


class FaultError(Exception):
    """Ends a request with one or more faults.

    Attributes:
        faults: Faults to report; the first one determines the HTTP status.
        request_id: Request identifier; empty if none is assigned yet.
    """

    def __init__(self, *faults: codes.Fault, request_id: str = "") -> None:
        super().__init__(str(faults[0]))
        self.faults = faults
        self.request_id = request_id


class DisconnectMiddleware:
    """Middleware that lets a handler wait for the caller to disconnect.

    Attributes:
        app: The wrapped ASGI application.
    """

    def __init__(self, app: Any) -> None:
        self.app = app

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Calls the application with `receive` stored in the scope."""
        if scope["type"] == "http":
            scope[RECEIVE_KEY] = receive
        await self.app(scope, receive, send)


async def wait_for_disconnect(receive: Receive) -> None:
    """Waits until the caller disconnects.

    The request body must have been read before, because parts of it that
    arrive now are discarded.

    Args:
        receive: The `receive` callable of the ASGI connection.
    """
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return


async def read_body(
    request: falcon.asgi.Request, max_bytes: int, timeout_s: float
) -> bytes:
    """Returns the whole body of a request.

    Args:
        request: The request.
        max_bytes: Maximum size of the body, in bytes.
        timeout_s: Time in which the whole body must arrive, in seconds.

    Raises:
        FaultError: The body is too large, does not arrive in time or has
            another length than its head says.
    """
    length = request.content_length
    if length is not None and length > max_bytes:
        raise FaultError(_too_large(max_bytes))
    chunks: list[bytes] = []
    size = 0
    try:
        async with asyncio.timeout(timeout_s):
            while True:
                chunk = await request.stream.read(_CHUNK_BYTES)
                if not chunk:
                    check_length(size, length)
                    return b"".join(chunks)
                size += len(chunk)
                if size > max_bytes:
                    raise FaultError(_too_large(max_bytes))
                chunks.append(chunk)
    except TimeoutError as error:
        detail = f"expected the whole body within {timeout_s:g} s"
        raise FaultError(codes.fault(codes.BODY_TIMEOUT, detail)) from error


def check_length(size: int, announced: int | None) -> None:
    """Checks that a body is whole, as one that isn't must not be passed on.

    Args:
        size: Number of bytes that arrived.
        announced: Number of bytes that the head announced; None if it didn't.

    Raises:
        FaultError: Another number of bytes arrived.
    """
    if announced is not None and size != announced:
        detail = f"expected a body of {announced} bytes, got {size}"
        raise FaultError(codes.fault(codes.REQUEST_UNREADABLE, detail))


def fault_document(fault: codes.Fault, request_id: str = "") -> dict[str, Any]:
    """Returns the JSON form of a fault."""
    code = fault.code
    document: dict[str, Any] = {
        "code": code.number,
        "type": code.name,
        "message": fault.detail,
        "outcome": code.outcome.value,
        "retry": code.retry.value,
    }
    if fault.where:
        document["where"] = fault.where
    if fault.retry_after_s is not None:
        document["retry_after_s"] = round(fault.retry_after_s, 3)
    if request_id:
        document["request_id"] = request_id
    return document


def fault_body(fault: codes.Fault) -> bytes:
    """Returns the JSON body of a response that reports one fault."""
    document = fault_document(fault)
    return json.dumps({"error": document, "errors": [document]}).encode()


def write_fault(response: falcon.asgi.Response, error: FaultError) -> None:
    """Writes the faults of an error as the response."""
    first_fault = error.faults[0]
    documents = [
        fault_document(fault, error.request_id) for fault in error.faults
    ]
    write_json(
        response,
        {"error": documents[0], "errors": documents},
        first_fault.code.status,
    )
    if first_fault.retry_after_s is not None:
        retry_after_s = max(1, math.ceil(first_fault.retry_after_s))
        response.set_header("Retry-After", str(retry_after_s))


def write_json(
    response: falcon.asgi.Response, document: Any, status: int = 200
) -> None:
    """Writes a JSON response.

    Data classes become objects. Other values that JSON cannot represent become
    strings.
    """
    response.status = status
    response.content_type = falcon.MEDIA_JSON
    response.data = json.dumps(document, default=_to_json_value).encode()


def _to_json_value(value: object) -> object:
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return dataclasses.asdict(value)
    return str(value)


def _too_large(max_bytes: int) -> codes.Fault:
    return codes.fault(
        codes.BODY_TOO_LARGE, f"expected a body of at most {max_bytes} bytes"
    )
