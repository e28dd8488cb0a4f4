"""A caller's request and how it ended."""

import dataclasses

from tamarackpier.upstream import gateway

__all__ = ["Request"]


@dataclasses.dataclass(frozen=True)
class Request:
    """A request whose head has arrived.

    Attributes:
        id: The caller's name for this attempt of its own.
        method: HTTP method.
        host: Host that the caller named.
        path: Path as it was sent.
        target: Path and query, byte for byte.
        headers: Headers that are passed on.
        key: The caller's key; None if it sent none.
        arrived_at: When the head arrived, on the monotonic clock.
        deadline: When the caller stops waiting.
        model: The model asked for; empty for plain services.
        prompt_tokens: Tokens to read.
        answer_tokens: Most tokens to write.
        last_event_id: The stream goes on after this event.
    """

    id: str
    method: str
    host: str
    path: str
    target: bytes
    headers: gateway.Headers
    key: str | None
    arrived_at: float
    deadline: float
    model: str
    prompt_tokens: int
    answer_tokens: int
    last_event_id: str
