"""What the request pipeline and the planners ask of an engine."""

import dataclasses
from typing import Protocol

from returns import result

from tamarackpier import codes
from tamarackpier.fleet import model

__all__ = [
    "Answer",
    "AnswerBrokenError",
    "ForwardedRequest",
    "Gateway",
    "Headers",
]

Headers = tuple[tuple[bytes, bytes], ...]


class AnswerBrokenError(Exception):
    """An engine's answer did not come, or ended before it was whole.

    Attributes:
        is_sent: Whether the engine may have read the request.
    """

    def __init__(self, detail: str, is_sent: bool) -> None:
        super().__init__(detail)
        self.is_sent = is_sent


@dataclasses.dataclass(frozen=True)
class ForwardedRequest:
    """One attempt at one engine.

    Attributes:
        request_id: As the caller sent it.
        engine: The engine that is meant; no other may run it.
        method: As the caller sent it.
        target: Path and query, byte for byte.
        host: As the caller sent it.
        headers: Other headers that are passed on.
        body: The whole body.
        timeout_s: How long the engine may work.
        account: What the engine is told of the caller; empty for nothing.
        priority: 0 is the most urgent.
        last_event_id: Go on after this event; empty for the start.
    """

    request_id: str
    engine: model.EngineRecord
    method: str
    target: bytes
    host: str
    headers: Headers
    body: bytes
    timeout_s: float
    account: str
    priority: int
    last_event_id: str


class Answer(Protocol):
    """An engine's answer, whose body is read as it comes.

    Attributes:
        status: HTTP status.
        headers: Headers that go to the caller unchanged.
        is_proved: Whether it bears the mark of an engine's own answer.
        is_own: Whether it names the request that was sent.
        is_not_run: Whether the engine says that it did not run the request.
    """

    status: int
    headers: Headers
    has_proof: bool
    matches_request: bool
    is_not_run: bool

    async def read(self) -> bytes:
        """Returns the next bytes; none at the end of a whole body.

        Raises:
            AnswerBrokenError: The answer ended before it was whole.
        """

    def close(self) -> None:
        """Ends the connection, which stops an engine that still works."""


class Gateway(Protocol):
    """Calls to engines."""

    async def send(self, forward: ForwardedRequest) -> Answer:
        """Sends one attempt, once, and returns the head of its answer.

        Raises:
            AnswerBrokenError: No answer came.
        """

    async def report(
        self, engine: model.EngineRecord, timeout_s: float
    ) -> result.Result[model.EngineReport, codes.Fault]:
        """Asks an engine about itself."""

    async def order(
        self, order: model.Order, timeout_s: float
    ) -> model.OrderOutcome:
        """Sends an order."""
