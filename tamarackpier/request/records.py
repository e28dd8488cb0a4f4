"""Idempotency records, which prevent a call from running twice.

A call that is not repeatable and carries an idempotency key is recorded in
the table before it is sent. A repeated send of the call, through any entry
instance, finds the record. The states of a record are:

* started: the call is about to be sent or was sent; only the entry instance
  that wrote the record knows which;
* done: the answer is stored and is replayed;
* unknown: the call was sent but no answer arrived; it is never sent again.

The record of a call that provably did not run is deleted.
"""

import base64
import dataclasses
import enum
import hashlib
from collections.abc import Mapping
from typing import Any

from tamarackpier import codes
from tamarackpier.platform import interfaces
from tamarackpier.request import model
from tamarackpier.upstream import service

__all__ = [
    "Begin",
    "Decision",
    "Record",
    "RecordState",
    "Refuse",
    "Replay",
    "decide",
    "record_key",
    "record_from_row",
    "request_digest",
]

_IN_FLIGHT_RETRY_S = 1.0


class RecordState(enum.Enum):
    """State of a recorded call, as described at the head of the module."""

    STARTED = "started"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class Record:
    """A recorded call.

    Attributes:
        state: State of the call.
        owner: Identifier of the entry instance that sends the call, and of
            its incarnation.
        nonce: Unique value of the attempt to write the record.
        digest: Hash of the call, to detect a different call with the same
            idempotency key.
        written_at: Wall-clock time of the last change, in Unix seconds.
        answer: Stored answer if the state is DONE, otherwise None.
    """

    state: RecordState
    owner: str
    nonce: str
    digest: str
    written_at: float
    answer: service.ServiceAnswer | None = None

    def value(self) -> dict[str, Any]:
        """Returns the record as a row value."""
        value: dict[str, Any] = {
            "state": self.state.value,
            "owner": self.owner,
            "nonce": self.nonce,
            "digest": self.digest,
            "written_at": self.written_at,
        }
        if self.answer is not None:
            value["status"] = self.answer.status
            value["type"] = self.answer.content_type
            value["body"] = base64.b64encode(self.answer.body).decode()
        return value


@dataclasses.dataclass(frozen=True)
class Begin:
    """The call is new: record it, then send it.

    Attributes:
        row_version: Row version at which to write the record.
    """

    row_version: int


@dataclasses.dataclass(frozen=True)
class Replay:
    """The call is done: replay its answer.

    Attributes:
        answer: The stored answer.
    """

    answer: service.ServiceAnswer


@dataclasses.dataclass(frozen=True)
class Refuse:
    """The call must not be sent.

    Attributes:
        fault: The fault to report to the caller.
    """

    fault: codes.Fault


Decision = Begin | Replay | Refuse


def record_key(call: model.ServiceCall) -> str:
    """Returns the table key of a call's record."""
    key_sha256 = hashlib.sha256(call.idempotency_key.encode()).hexdigest()
    return f"call/{call.account}/{call.service}/{key_sha256}"


def request_digest(call: model.ServiceCall) -> str:
    """Returns a hash of the call's method, path, content type and body."""
    digest = hashlib.sha256()
    for part in (call.method, call.path, call.content_type):
        digest.update(part.encode() + b"\0")
    digest.update(call.body)
    return digest.hexdigest()


def decide(row: interfaces.Row, digest: str, is_owner_live: bool) -> Decision:
    """Decides whether to send, replay or refuse a call.

    Args:
        row: Row of the call's record; its value is None if there is none.
        digest: Hash of the call.
        is_owner_live: Whether the record's owner may still be sending the
            call.
    """
    record = record_from_row(row)
    if record is None:
        return Begin(row.version)
    if record.digest != digest:
        detail = "the idempotency key was used for a different request"
        return Refuse(codes.fault(codes.KEY_REUSED, detail))
    if record.state is RecordState.DONE and record.answer is not None:
        return Replay(record.answer)
    if record.state is RecordState.STARTED and is_owner_live:
        return Refuse(
            codes.fault(
                codes.IN_FLIGHT,
                f"{record.owner} is sending the call",
                retry_after_s=_IN_FLIGHT_RETRY_S,
            )
        )
    detail = (
        "the call may have run and is not sent again; check with the service"
    )
    return Refuse(codes.fault(codes.OUTCOME_UNKNOWN, detail))


def record_from_row(row: interfaces.Row) -> Record | None:
    """Returns the record in a row, or None if the row is absent."""
    if row.value is None:
        return None
    value: Mapping[str, Any] = row.value
    state = RecordState(value["state"])
    answer = None
    if state is RecordState.DONE:
        body = base64.b64decode(value["body"])
        answer = service.ServiceAnswer(value["status"], value["type"], body)
    return Record(
        state,
        value["owner"],
        value["nonce"],
        value["digest"],
        value["written_at"],
        answer,
    )
