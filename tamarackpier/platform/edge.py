"""Decodes callers' requests and encodes responses made by the instance."""

import json
from collections.abc import Iterable, Mapping
from typing import Any

from tamarackpier import codes
from tamarackpier.platform import wire
from tamarackpier.traffic import model

__all__ = [
    "READY_PATH",
    "RESOLVE_PATH",
    "address_answer",
    "answer_headers",
    "check_forwardable",
    "decode_request",
    "fault_answer",
]

READY_PATH = wire.Path.READY
RESOLVE_PATH = wire.Path.RESOLVE

# Time to the deadline of a request without a valid deadline header.
_DEFAULT_TIMEOUT_S = 30.0
_S_PER_MS = 1e-3
_MAX_PROMPT_PARTS = 64
# Headers that the instance handles itself and does not forward as they are.
_CONSUMED_HEADERS = frozenset(
    name.encode()
    for name in (
        wire.Header.REQUEST_ID,
        wire.Header.DEADLINE_MS,
        wire.Header.LAST_EVENT_ID,
        wire.Header.ACCOUNT,
        wire.Header.EXPECT_ENGINE,
        wire.Header.EXPECT_VERSION,
        wire.Header.PRIORITY,
        wire.Header.AUTHORIZATION,
    )
)
# Other headers that are not forwarded; most concern only the connection to the
# caller.
_UNFORWARDED_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"host",
        b"expect",
    )
)


def decode_request(
    scope: Mapping[str, Any], target: bytes, now: float
) -> model.Request:
    """Returns the request that an ASGI scope describes.

    Args:
        scope: The ASGI scope; its header names are in lower case.
        target: Path and query, undecoded, as the caller sent them.
        now: Current time on the monotonic clock, in seconds.
    """
    headers: dict[bytes, bytes] = {}
    for name, value in scope["headers"]:
        headers.setdefault(name, value)
    connection_options = headers.get(b"connection", b"").lower().split(b",")
    dropped_headers = (
        _UNFORWARDED_HEADERS
        | _CONSUMED_HEADERS
        | {option.strip() for option in connection_options}
    )
    prompt_tokens, answer_tokens = _token_counts(
        _header_text(headers, wire.Header.TOKEN_COUNT)
    )
    return model.Request(
        _header_text(headers, wire.Header.REQUEST_ID),
        scope["method"],
        headers.get(b"host", b"").decode("latin-1"),
        scope["raw_path"].decode("latin-1"),
        target,
        tuple(
            (name, value)
            for name, value in scope["headers"]
            if name not in dropped_headers
        ),
        _api_key(_header_text(headers, wire.Header.AUTHORIZATION)),
        now,
        now + _timeout_s(_header_text(headers, wire.Header.DEADLINE_MS)),
        _header_text(headers, wire.Header.MODEL),
        prompt_tokens,
        answer_tokens,
        _header_text(headers, wire.Header.LAST_EVENT_ID),
        _shared_prompt_parts(_header_text(headers, wire.Header.PROMPT_PARTS)),
    )


def check_forwardable(scope: Mapping[str, Any], target: bytes) -> None:
    """Checks that a request reaches an engine as the caller sent it.

    Args:
        scope: The ASGI scope.
        target: Path and query, undecoded, as the caller sent them.

    Raises:
        ValueError: The HTTP client would change the request.
    """
    if b"#" in target:
        raise ValueError("the request target has a fragment")
    for name, value in scope["headers"]:
        try:
            value.decode()
        except UnicodeDecodeError as error:
            raise ValueError(
                f"header {name.decode('latin-1')} is not UTF-8"
            ) from error


def _header_text(headers: Mapping[bytes, bytes], name: str) -> str:
    return headers.get(name.encode(), b"").decode("latin-1")


def _api_key(text: str) -> str | None:
    """Returns the API key; None if the header has another scheme."""
    if not text.startswith(wire.Scheme.KEY):
        return None
    return text[len(wire.Scheme.KEY) :].strip()


def _timeout_s(text: str) -> float:
    """Returns the seconds to the deadline that a header states."""
    return int(text) * _S_PER_MS if text.isdigit() else _DEFAULT_TIMEOUT_S


def _token_counts(text: str) -> tuple[int, int]:
    """Returns the numbers of prompt and answer tokens; 0 if invalid."""
    prompt_tokens, _, answer_tokens = text.partition(",")
    if not prompt_tokens.isdigit() or not answer_tokens.isdigit():
        return 0, 0
    return int(prompt_tokens), int(answer_tokens)


def _shared_prompt_parts(text: str) -> tuple[str, ...]:
    """Returns the IDs of all parts but the last, which no request shares.

    Args:
        text: Comma-separated entries ID:TOKENS.
    """
    entries = text.split(",", _MAX_PROMPT_PARTS)[:_MAX_PROMPT_PARTS]
    part_ids = (entry.partition(":")[0].strip() for entry in entries[:-1])
    return tuple(part_id for part_id in part_ids if part_id)


def answer_headers(
    request_id: str, retry_after_s: float | None
) -> list[tuple[bytes, bytes]]:
    """Returns the headers of a response made by the instance.

    Args:
        request_id: ID of the request; empty if it has none.
        retry_after_s: Time after which the caller may retry, in seconds; None
            for no such header.
    """
    headers = [(b"content-type", b"application/json")]
    if request_id:
        headers.append(
            (wire.Header.REQUEST_ID.encode(), request_id.encode("latin-1"))
        )
    if retry_after_s is not None:
        headers.append(
            (wire.Header.RETRY_AFTER.encode(), b"%.3f" % retry_after_s)
        )
    return headers


def fault_answer(fault: codes.Fault) -> bytes:
    """Returns the JSON body of a response that reports a fault."""
    return json.dumps(
        {
            "code": fault.code.number,
            "name": fault.code.name,
            "detail": fault.detail,
        }
    ).encode()


def address_answer(addresses: Iterable[str], keep_s: float) -> dict[str, Any]:
    """Returns the response to a caller that resolves instance addresses.

    Args:
        addresses: Addresses to which the caller may connect.
        keep_s: Time for which the caller may cache them, in seconds.
    """
    return {"addresses": list(addresses), "ttl_s": keep_s}
