"""Data model of a caller's request."""

import dataclasses

from tamarackpier.upstream import gateway

__all__ = ["Request"]


@dataclasses.dataclass(frozen=True)
class Request:
    """A request whose head has arrived.

    Attributes:
        id: ID that the caller gave to this request; a retry by the caller has
            another one.
        method: HTTP method.
        host: Host that the caller addressed.
        path: Path as it was sent.
        target: Path and query, byte for byte.
        headers: Headers that are passed on to the engine.
        key: API key of the caller; None if it sent none.
        arrived_at: Time at which the head arrived, in seconds on the monotonic
            clock.
        deadline: Time at which the caller stops waiting, on the same clock.
        model: Requested model; empty for plain services.
        prompt_tokens: Number of prompt tokens.
        answer_tokens: Maximum number of tokens to generate.
        last_event_id: ID of the event after which the stream resumes; empty
            for the start.
        prompt_parts: IDs of the parts of the prompt that other requests may
            share, in order.
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
    prompt_parts: tuple[str, ...] = ()
