"""Interface through which a request's body is read and its answer is sent."""

from typing import Protocol

from tamarackpier.upstream import gateway

__all__ = ["Caller"]


class Caller(Protocol):
    """Connection to the caller of one request.

    Attributes:
        is_started: Whether the head of an answer was sent.
    """

    is_started: bool

    async def body(self, max_bytes: int, timeout_s: float) -> bytes:
        """Returns the complete body of the request.

        Args:
            max_bytes: Maximum size of the body.
            timeout_s: Maximum time until the body is complete, in seconds.

        Raises:
            daemon.http.FaultError: The body is too large or did not arrive in
                time.
            asyncio.CancelledError: The caller has disconnected.
        """

    async def start(self, status: int, headers: gateway.Headers) -> None:
        """Sends the head of the answer."""

    async def write(self, data: bytes) -> None:
        """Sends a part of the body; waits while the caller reads slowly."""

    async def end(self) -> None:
        """Marks the answer as complete."""
