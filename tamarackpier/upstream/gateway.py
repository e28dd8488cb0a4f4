"""Interface through which requests, probes and orders reach engines."""

import dataclasses
from collections.abc import Callable
from typing import Protocol

from returns import result

from tamarackpier import codes
from tamarackpier.fleet import departures, model

__all__ = [
    "Answer",
    "AnswerBrokenError",
    "ForwardedRequest",
    "Gateway",
    "Headers",
]

Headers = tuple[tuple[bytes, bytes], ...]


class AnswerBrokenError(Exception):
    """An engine's answer did not arrive, or ended before it was complete.

    Attributes:
        is_sent: Whether the engine may have received the request.
        was_kept: Whether the request was sent on a connection that had been
            kept and that closed before one byte of the answer. That says
            nothing of the engine's health: it may close idle connections.
        is_invalid: Whether something else than the head of a final answer
            arrived.
    """

    def __init__(
        self,
        detail: str,
        is_sent: bool,
        was_kept: bool = False,
        is_invalid: bool = False,
    ) -> None:
        super().__init__(detail)
        self.is_sent = is_sent
        self.was_kept = was_kept
        self.is_invalid = is_invalid


def _ignore() -> None:
    """Does nothing."""


@dataclasses.dataclass(frozen=True)
class ForwardedRequest:
    """A request as it is sent to one engine, in one attempt.

    Attributes:
        request_id: Request ID, as the caller sent it.
        engine: Engine that may run the request; any other has to refuse it.
        method: HTTP method, as the caller sent it.
        target: Path and query, byte for byte.
        host: Host header, as the caller sent it.
        headers: Other headers that are passed on.
        body: Complete body.
        timeout_s: Time that the engine may take, in seconds.
        account: Name of the client account; empty for none.
        priority: Priority; 0 is the most urgent.
        last_event_id: ID of the event after which the stream resumes; empty
            for the start.
        is_repeatable: Whether this attempt may be repeated if it ends without
            an answer, so that it may use a kept connection.
        on_reused: Called when the attempt is about to use one.
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
    is_repeatable: bool = False
    on_reused: Callable[[], object] = dataclasses.field(
        default=_ignore, compare=False
    )


class Answer(Protocol):
    """An engine's answer, whose body is read as it arrives.

    Attributes:
        status: HTTP status.
        headers: Headers that are passed on to the caller unchanged.
        has_proof: Whether the answer carries the header that proves that an
            engine sent it.
        matches_request: Whether the answer carries the ID of the request that
            was sent.
        is_not_run: Whether the engine states that it did not run the request;
            which request, only `matches_request` tells.
        max_request_rate: Requests a second that the engine takes from all
            instances together; None if it names no limit.
        requested_wait_s: Seconds for which the engine, which is turning the
            request away, wants nothing more from this instance; None if it
            doesn't say.
        is_framed: Whether the body has a length or chunks; else it ends with
            its connection.
    """

    status: int
    headers: Headers
    has_proof: bool
    matches_request: bool
    is_not_run: bool
    max_request_rate: float | None
    requested_wait_s: float | None
    is_framed: bool

    async def read(self) -> bytes:
        """Returns the next bytes of the body; empty at its end.

        Raises:
            AnswerBrokenError: The answer ended before it was complete.
        """

    def close(self) -> None:
        """Closes the connection; an engine still at work then stops."""


class Gateway(Protocol):
    """Client for calls to engines.

    Attributes:
        on_leaving: Called with each answer in which an engine says that it
            leaves: with its departure, and the ID of the request or the name
            of the call that it answered.
    """

    on_leaving: Callable[[departures.Departure, str], object]

    async def send(self, forward: ForwardedRequest) -> Answer:
        """Sends a request exactly once and returns the head of its answer.

        Raises:
            AnswerBrokenError: No answer arrived.
        """

    async def report(
        self, engine: model.EngineRecord, timeout_s: float
    ) -> result.Result[model.EngineReport, codes.Fault]:
        """Asks an engine for a report of its state.

        Args:
            engine: Engine to ask.
            timeout_s: Maximum time to wait for the report, in seconds.

        Returns:
            The report. A fault if the engine did not answer in time, if another
            engine answered, or if the answer is invalid; `CONNECTION_REFUSED`
            if nothing listens at its address, `UPSTREAM_REPLACED` if another
            engine does.
        """

    async def order(
        self, order: model.Order, timeout_s: float
    ) -> model.OrderOutcome:
        """Sends an order to an engine.

        Args:
            order: Order, which names the engine.
            timeout_s: Maximum time to wait for the outcome, in seconds.

        Returns:
            The outcome; `UNKNOWN` if the call failed or timed out.
        """
