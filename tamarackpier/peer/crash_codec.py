"""Converts suspects of upstream crashes to wire messages and back."""

from typing import Any, Protocol

from tamarackpier import quarantine as quarantine_lib
from tamarackpier.peer import ages
from tamarackpier.wire import crash_pb2

__all__ = [
    "CrashMessage",
    "add_crashes",
    "crash_from_wire",
    "crash_to_wire",
    "merge_crashes",
]

_MAX_NAME_LENGTH = 256


class CrashMessage(Protocol):
    """A message that carries crashes and clearances."""

    @property
    def crashes(self) -> Any:
        """The crashes, as `Crash` messages."""

    @property
    def cleared(self) -> Any:
        """The clearances, as `Cleared` messages."""


def add_crashes(
    quarantine: quarantine_lib.Quarantine,
    message: CrashMessage,
    now: float,
) -> None:
    """Adds the known crashes and cleared fingerprints to a message.

    Args:
        quarantine: The known crashes and cleared fingerprints.
        message: The message to which they are added.
        now: Monotonic time in seconds.
    """
    message.crashes.extend(
        crash_to_wire(crash, now) for crash in quarantine.crashes_to_send(now)
    )
    message.cleared.extend(
        crash_pb2.Cleared(
            fingerprint=fingerprint, age_ms=ages.age_ms(cleared_at, now)
        )
        for fingerprint, cleared_at in quarantine.cleared_to_send(now).items()
    )


def merge_crashes(
    quarantine: quarantine_lib.Quarantine,
    message: CrashMessage,
    asked_at: float,
) -> None:
    """Merges the crashes and cleared fingerprints of a message.

    Args:
        quarantine: The quarantine to which they are added.
        message: The received message.
        asked_at: Earliest time at which the message, or the request that it
            answers, was sent, in seconds.

    Raises:
        ValueError: The message is malformed.
    """
    crashes = [crash_from_wire(crash, asked_at) for crash in message.crashes]
    quarantine.add(crashes)
    for cleared in message.cleared:
        quarantine.clear(
            cleared.fingerprint, ages.local_time(cleared.age_ms, asked_at)
        )


def crash_to_wire(crash: quarantine_lib.Crash, now: float) -> crash_pb2.Crash:
    """Returns the wire message for a crash, with its age at `now`."""
    return crash_pb2.Crash(
        fingerprint=crash.fingerprint,
        death=crash.death,
        age_ms=ages.age_ms(crash.at, now),
    )


def crash_from_wire(
    message: crash_pb2.Crash, asked_at: float
) -> quarantine_lib.Crash:
    """Returns the crash in a wire message.

    Args:
        message: The wire message.
        asked_at: Earliest time at which the message, or the request that it
            answers, was sent, in seconds.

    Raises:
        ValueError: The message is malformed.
    """
    for name in ("fingerprint", "death"):
        if not 0 < len(getattr(message, name)) <= _MAX_NAME_LENGTH:
            raise ValueError(
                f"{name} of a crash has {len(getattr(message, name))}"
                f" characters, expected 1 to {_MAX_NAME_LENGTH}"
            )
    return quarantine_lib.Crash(
        message.fingerprint,
        message.death,
        ages.local_time(message.age_ms, asked_at),
    )
