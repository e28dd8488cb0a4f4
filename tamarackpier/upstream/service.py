"""Client for plain services over HTTP."""

import asyncio
import dataclasses
from typing import Protocol

import aiohttp
import yarl
from returns import result

from tamarackpier import codes, failures
from tamarackpier.request import model
from tamarackpier.upstream import answer_memory, bounded_http

__all__ = ["HttpServiceClient", "ServiceAnswer", "ServiceClient"]

_CONNECT_TIMEOUT_S = 1.0
_PROBE_TIMEOUT_S = 0.25
# Maximum size of an answer, which is read to its end before it is passed on.
_MAX_ANSWER_BYTES = 4 << 20
_DEFAULT_CONTENT_TYPE = "application/octet-stream"


@dataclasses.dataclass(frozen=True)
class ServiceAnswer:
    """A plain service's complete answer.

    Attributes:
        status: HTTP status.
        content_type: Value of the Content-Type header.
        body: Complete body.
    """

    status: int
    content_type: str
    body: bytes


class ServiceClient(Protocol):
    """Interface of entry instances to plain services."""

    async def call(
        self, address: str, call: model.ServiceCall, timeout_s: float
    ) -> result.Result[ServiceAnswer, codes.Fault]:
        """Sends a call exactly once.

        Args:
            address: Base URL of the service.
            call: The call.
            timeout_s: Maximum time until the answer is complete, in seconds.

        Returns:
            The complete answer, whatever its status. A fault if none arrived:
            `UPSTREAM_UNREACHABLE` if no byte of the call was sent,
            `OUTCOME_UNKNOWN` if the call may have run.
        """

    async def has_ended(self, address: str) -> bool:
        """Returns whether nothing listens at the address of a service."""


class HttpServiceClient(ServiceClient):
    """Client for plain services over HTTP.

    Every call uses a new connection. On a reused connection whose peer is gone,
    a call would hang or fail after its bytes were sent, and it would be unknown
    whether it ran.

    Attributes:
        session: HTTP session; it must not reuse connections.
        answer_memory: Counts the bytes of the answers that are being read.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.session = session
        self.answer_memory = answer_memory.AnswerMemory(_MAX_ANSWER_BYTES)

    async def call(
        self, address: str, call: model.ServiceCall, timeout_s: float
    ) -> result.Result[ServiceAnswer, codes.Fault]:
        """Sends a call exactly once."""
        headers = {"X-Request-Id": call.request_id}
        if call.content_type:
            headers["Content-Type"] = call.content_type
        if call.idempotency_key:
            headers["Idempotency-Key"] = call.idempotency_key
        try:
            async with self.session.request(
                call.method,
                f"{address.rstrip('/')}/{call.path}",
                data=call.body or None,
                allow_redirects=False,
                headers=headers,
                timeout=aiohttp.ClientTimeout(
                    total=timeout_s, sock_connect=_CONNECT_TIMEOUT_S
                ),
            ) as response:
                body = await bounded_http.read_body(
                    response, _MAX_ANSWER_BYTES, self.answer_memory
                )
                content_type = response.headers.get(
                    "Content-Type", _DEFAULT_CONTENT_TYPE
                )
                return result.Success(
                    ServiceAnswer(response.status, content_type, body)
                )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
            aiohttp.InvalidURL,
        ) as error:
            return failures.failure(
                codes.UPSTREAM_UNREACHABLE, failures.describe(error)
            )
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return failures.failure(
                codes.OUTCOME_UNKNOWN, failures.describe(error)
            )

    async def has_ended(self, address: str) -> bool:
        """Returns whether nothing listens at the address of a service."""
        url = yarl.URL(address)
        try:
            async with asyncio.timeout(_PROBE_TIMEOUT_S):
                _, writer = await asyncio.open_connection(url.host, url.port)
        except ConnectionRefusedError:
            return True
        except (TimeoutError, OSError):
            return False
        writer.close()
        return False
