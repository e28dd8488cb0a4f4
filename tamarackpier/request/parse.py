"""Reads the bodies of model calls."""

import dataclasses
import json
import math
from typing import Any

from returns import result

from tamarackpier import codes
from tamarackpier.request import model, quarantine

__all__ = ["RequestContext", "model_call"]

_DEFAULT_MAX_TOKENS = 256
_MOST_TOKENS = 131_072
_CHARACTERS_PER_TOKEN = 4
_PREFIX_CHARACTERS = 256
_SAMPLING_KEYS = (
    "temperature",
    "top_p",
    "seed",
    "stop",
    "presence_penalty",
    "frequency_penalty",
)


@dataclasses.dataclass(frozen=True)
class RequestContext:
    """What is known of a request besides its body.

    Attributes:
        request_id: Names the request.
        account: Who sent it.
        received_at: Monotonic time of arrival.
        deadline: Monotonic time after which nobody waits.
    """

    request_id: str
    account: str
    received_at: float
    deadline: float


class _BodyError(ValueError):
    """A body is not what the endpoint expects."""


def model_call(
    body: bytes, kind: model.CallKind, arrival: RequestContext
) -> result.Result[model.ModelCall, codes.Fault]:
    """Reads the body of a chat or completion call."""
    try:
        return result.Success(_read(body, kind, arrival))
    except _BodyError as error:
        return result.Failure(codes.fault(codes.BAD_BODY, str(error)))


def _read(
    body: bytes, kind: model.CallKind, arrival: RequestContext
) -> model.ModelCall:
    document = _document(body)
    name = document.get("model")
    if not isinstance(name, str) or not name:
        raise _BodyError("expected a string 'model'")
    is_chat = kind is model.CallKind.CHAT
    content = _messages(document) if is_chat else _prompt(document)
    max_tokens = _max_tokens(document)
    is_streamed = document.get("stream", False)
    if not isinstance(is_streamed, bool):
        raise _BodyError("expected true or false in 'stream'")
    text = json.dumps(content, ensure_ascii=False)
    prompt_tokens = math.ceil(len(text) / _CHARACTERS_PER_TOKEN)
    fingerprint = quarantine.fingerprint(arrival.account, body)
    return model.ModelCall(
        arrival.request_id,
        arrival.account,
        kind,
        name,
        content,
        max_tokens,
        {key: document[key] for key in _SAMPLING_KEYS if key in document},
        is_streamed,
        fingerprint,
        text[:_PREFIX_CHARACTERS],
        float(prompt_tokens + max_tokens),
        arrival.received_at,
        arrival.deadline,
    )


def _document(body: bytes) -> dict[str, Any]:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise _BodyError(f"not JSON: {error}") from error
    if not isinstance(document, dict):
        raise _BodyError("expected a JSON object")
    return document


def _messages(document: dict[str, Any]) -> list[dict[str, Any]]:
    messages = document.get("messages")
    if not isinstance(messages, list) or not messages:
        raise _BodyError("expected a list 'messages' with an entry")
    for index, message in enumerate(messages):
        if not isinstance(message, dict):
            raise _BodyError(f"messages[{index}] is not an object")
        for key in ("role", "content"):
            if not isinstance(message.get(key), str):
                raise _BodyError(f"messages[{index}] has no string {key!r}")
    return messages


def _prompt(document: dict[str, Any]) -> str:
    prompt = document.get("prompt")
    if not isinstance(prompt, str) or not prompt:
        raise _BodyError("expected a string 'prompt'")
    return prompt


def _max_tokens(document: dict[str, Any]) -> int:
    value = document.get("max_tokens", _DEFAULT_MAX_TOKENS)
    is_whole = isinstance(value, int) and not isinstance(value, bool)
    if not is_whole or not 1 <= value <= _MOST_TOKENS:
        raise _BodyError(f"expected 'max_tokens' from 1 to {_MOST_TOKENS}")
    return value
