"""The way back to a caller."""

from typing import Protocol

from tamarackpier.upstream import gateway

__all__ = ["Caller"]


class Caller(Protocol):
    """Takes an answer.

    Attributes:
        is_started: Whether the head of an answer was sent.
    """

    is_started: bool

    async def body(self, max_bytes: int, timeout_s: float) -> bytes:
        """Returns the whole body of the request.

        Raises:
            FaultError: It is too large or did not arrive in time.
        """

    async def start(self, status: int, headers: gateway.Headers) -> None:
        """Sends the head."""

    async def write(self, data: bytes) -> None:
        """Sends a part of the body, waiting for a slow caller."""

    async def end(self) -> None:
        """Marks the answer as whole."""
