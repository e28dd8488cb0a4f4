"""Parsed requests of callers."""

import dataclasses
import enum
from typing import Any

__all__ = ["CallKind", "ModelCall", "ServiceCall"]


class CallKind(enum.Enum):
    """Kind of a model call."""

    CHAT = "chat"
    COMPLETION = "completion"


@dataclasses.dataclass(frozen=True)
class ModelCall:
    """A call of a model. Model calls are idempotent.

    Attributes:
        request_id: ID of the request in logs and responses.
        account: Client account of the caller.
        kind: Chat or plain completion.
        model: Name of the requested model.
        content: Messages or prompt as sent by the caller.
        max_tokens: Maximum number of tokens to generate.
        sampling: Sampling parameters that are passed on to the engine.
        is_streamed: Whether the caller asked for a streamed answer.
        fingerprint: Hash of account and content, for quarantine.
        part_fingerprints: Hash of the account and of each message but the last,
            which other calls of the account may share.
        prefix_key: Start of the content, for placement by prefix.
        cost: Maximum number of tokens of the call, prompt included.
        received_at: Monotonic time in seconds of arrival.
        deadline: Monotonic time in seconds after which the caller no longer
            waits.
    """

    request_id: str
    account: str
    kind: CallKind
    model: str
    content: Any
    max_tokens: int
    sampling: dict[str, Any]
    is_streamed: bool
    fingerprint: str
    part_fingerprints: tuple[str, ...]
    prefix_key: str
    cost: float
    received_at: float
    deadline: float


@dataclasses.dataclass(frozen=True)
class ServiceCall:
    """A call of a plain service.

    Attributes:
        request_id: ID of the request in logs and responses.
        account: Client account of the caller.
        service: Name of the service.
        method: HTTP method.
        path: Path below the service, with the query string.
        body: Request body.
        content_type: Content type of the body.
        idempotency_key: Idempotency key of the caller; empty if none was sent.
        is_repeatable: Whether the call may be sent more than once.
        deadline: Monotonic time in seconds after which the caller no longer
            waits.
    """

    request_id: str
    account: str
    service: str
    method: str
    path: str
    body: bytes
    content_type: str
    idempotency_key: str
    is_repeatable: bool
    deadline: float
