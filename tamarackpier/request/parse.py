"""Parses and validates the bodies of model calls."""

import dataclasses
import json
import math
from typing import Any

from returns import result

from tamarackpier import codes, quarantine
from tamarackpier.request import model

__all__ = ["RequestContext", "model_call", "part_fingerprints"]

_DEFAULT_MAX_TOKENS = 256
_MAX_TOKENS_LIMIT = 131_072
# Average from which the number of prompt tokens is estimated.
_CHARACTERS_PER_TOKEN = 4
# Length of the start of the content by which requests are placed.
_PREFIX_CHARACTERS = 256
_MAX_PARTS = 64  # Messages of a call that are known to the quarantine.
# Parameters that are passed on to the engine unchanged.
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
    """Data of a request that does not come from its body.

    Attributes:
        request_id: ID of the request.
        account: Client account of the caller.
        received_at: Monotonic time of arrival.
        deadline: Monotonic time after which the caller no longer waits.
    """

    request_id: str
    account: str
    received_at: float
    deadline: float


class _BodyError(ValueError):
    """A request body is invalid."""


def model_call(
    body: bytes, kind: model.CallKind, context: RequestContext
) -> result.Result[model.ModelCall, codes.Fault]:
    """Parses the body of a chat or completion call.

    Args:
        body: Request body as received.
        kind: Kind of call that the endpoint expects.
        context: Data of the request that does not come from the body.

    Returns:
        The call, or a BAD_BODY fault that says what was expected.
    """
    try:
        return result.Success(_parse_call(body, kind, context))
    except _BodyError as error:
        return result.Failure(codes.fault(codes.BAD_BODY, str(error)))


def _parse_call(
    body: bytes, kind: model.CallKind, context: RequestContext
) -> model.ModelCall:
    document = _parse_object(body)
    model_name = document.get("model")
    if not isinstance(model_name, str) or not model_name:
        raise _BodyError("expected a non-empty string in 'model'")
    is_chat = kind is model.CallKind.CHAT
    content: Any = _messages(document) if is_chat else _prompt(document)
    max_tokens = _max_tokens(document)
    is_streamed = document.get("stream", False)
    if not isinstance(is_streamed, bool):
        raise _BodyError("expected true or false in 'stream'")
    text = json.dumps(content, ensure_ascii=False)
    prompt_tokens = math.ceil(len(text) / _CHARACTERS_PER_TOKEN)
    fingerprint = quarantine.fingerprint(context.account, body)
    return model.ModelCall(
        context.request_id,
        context.account,
        kind,
        model_name,
        content,
        max_tokens,
        {key: document[key] for key in _SAMPLING_KEYS if key in document},
        is_streamed,
        fingerprint,
        part_fingerprints(context.account, content) if is_chat else (),
        text[:_PREFIX_CHARACTERS],
        float(prompt_tokens + max_tokens),
        context.received_at,
        context.deadline,
    )


def part_fingerprints(
    account: str, messages: list[dict[str, Any]]
) -> tuple[str, ...]:
    """Returns the fingerprints of the messages that other calls may share."""
    return tuple(
        quarantine.part_fingerprint(
            account, json.dumps(message, sort_keys=True).encode()
        )
        for message in messages[:-1][:_MAX_PARTS]
    )


def _parse_object(body: bytes) -> dict[str, Any]:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise _BodyError(f"body is not valid JSON: {error}") from error
    if not isinstance(document, dict):
        raise _BodyError("expected a JSON object as body")
    return document


def _messages(document: dict[str, Any]) -> list[dict[str, Any]]:
    messages = document.get("messages")
    if not isinstance(messages, list) or not messages:
        raise _BodyError("expected a non-empty list in 'messages'")
    for index, message in enumerate(messages):
        if not isinstance(message, dict):
            raise _BodyError(f"expected messages[{index}] to be an object")
        for key in ("role", "content"):
            if not isinstance(message.get(key), str):
                raise _BodyError(
                    f"expected messages[{index}] to have a string in {key!r}"
                )
    return messages


def _prompt(document: dict[str, Any]) -> str:
    prompt = document.get("prompt")
    if not isinstance(prompt, str) or not prompt:
        raise _BodyError("expected a non-empty string in 'prompt'")
    return prompt


def _max_tokens(document: dict[str, Any]) -> int:
    value = document.get("max_tokens", _DEFAULT_MAX_TOKENS)
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if not is_integer or not 1 <= value <= _MAX_TOKENS_LIMIT:
        raise _BodyError(f"expected 'max_tokens' from 1 to {_MAX_TOKENS_LIMIT}")
    return value
