"""Decodes callers' requests and encodes answers of our own."""

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
    "decode_request",
    "fault_answer",
]

READY_PATH = wire.Path.READY
RESOLVE_PATH = wire.Path.RESOLVE

_DEFAULT_DEADLINE_S = 30.0  # For requests that name none.
_MS = 1e-3
_OWN = frozenset(
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
_CONNECTION = frozenset(
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
        scope: The scope; its header names are in lower case.
        target: Path and query as they were sent.
        now: The monotonic clock.
    """
    found: dict[bytes, bytes] = {}
    for name, value in scope["headers"]:
        found.setdefault(name, value)
    listed = found.get(b"connection", b"").lower().split(b",")
    dropped = _CONNECTION | _OWN | {each.strip() for each in listed}
    prompt, answer = _counts(_text(found, wire.Header.TOKEN_COUNT))
    return model.Request(
        _text(found, wire.Header.REQUEST_ID),
        scope["method"],
        found.get(b"host", b"").decode("latin-1"),
        scope["raw_path"].decode("latin-1"),
        target,
        tuple(
            (name, value)
            for name, value in scope["headers"]
            if name not in dropped
        ),
        _key(_text(found, wire.Header.AUTHORIZATION)),
        now,
        now + _deadline_s(_text(found, wire.Header.DEADLINE_MS)),
        _text(found, wire.Header.MODEL),
        prompt,
        answer,
        _text(found, wire.Header.LAST_EVENT_ID),
    )


def _text(found: Mapping[bytes, bytes], name: str) -> str:
    return found.get(name.encode(), b"").decode("latin-1")


def _key(text: str) -> str | None:
    if not text.startswith(wire.Scheme.KEY):
        return None
    return text[len(wire.Scheme.KEY) :].strip()


def _deadline_s(text: str) -> float:
    return int(text) * _MS if text.isdigit() else _DEFAULT_DEADLINE_S


def _counts(text: str) -> tuple[int, int]:
    prompt, _, answer = text.partition(",")
    if not prompt.isdigit() or not answer.isdigit():
        return 0, 0
    return int(prompt), int(answer)


def answer_headers(
    request_id: str, retry_after_s: float | None
) -> list[tuple[bytes, bytes]]:
    """Returns the headers of an answer of our own."""
    found = [(b"content-type", b"application/json")]
    if request_id:
        found.append(
            (wire.Header.REQUEST_ID.encode(), request_id.encode("latin-1"))
        )
    if retry_after_s is not None:
        found.append(
            (wire.Header.RETRY_AFTER.encode(), b"%.3f" % retry_after_s)
        )
    return found


def fault_answer(fault: codes.Fault) -> bytes:
    """Returns the body that tells of a fault."""
    return json.dumps(
        {
            "code": fault.code.number,
            "name": fault.code.name,
            "detail": fault.detail,
        }
    ).encode()


def address_answer(addresses: Iterable[str], keep_s: float) -> dict[str, Any]:
    """Returns the answer to a caller that asks where to connect."""
    return {"addresses": list(addresses), "ttl_s": keep_s}
