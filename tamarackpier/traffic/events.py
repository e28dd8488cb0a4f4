"""Passes on the complete events of a stream, each once and in order."""

import re

__all__ = ["EventStream", "StreamCutError", "StreamGapError"]

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_ID = re.compile(rb"^id:[ ]?(.*?)\r?$", re.MULTILINE)
# Blank lines and lines that start with a colon.
_COMMENT = re.compile(rb"(?:(?::[^\r\n]*)?\r?\n)*")
_MAX_EVENT_BYTES = 1 << 18
# Comments and repeated events that may follow an event.
_MAX_EXTRA_BYTES = 1 << 16
_MAX_EVENT_END_BYTES = 4


class StreamCutError(Exception):
    """An engine ended a stream before it was complete."""


class StreamGapError(Exception):
    """An engine skipped an event, or sent something else in its place."""


class EventStream:
    """The events of one answer, to which several engines may contribute.

    An engine may stop in the middle of an event, so only complete events are
    passed on; the engine that resumes the stream starts with the first event
    that is missing.

    Attributes:
        last_id: ID of the last event that the caller has; empty for none.
    """

    def __init__(self, last_id: str = "") -> None:
        self.last_id = last_id
        self._partial = b""
        self._extra_bytes = 0
        self._is_resumed = bool(last_id)
        self._has_new_event = False
        self._error: StreamGapError | None = None

    def feed(self, data: bytes) -> bytes:
        """Returns the events that `data` completes, without repeated ones.

        Raises:
            StreamGapError: The next event is missing, too large or no event,
                or too much arrived since the last new one. If `data` completes
                events before that, they are returned, and `check` raises.
        """
        self.check()
        searched = max(0, len(self._partial) - _MAX_EVENT_END_BYTES)
        data = self._partial + data
        events = []
        start = 0
        for match in _EVENT_END.finditer(data, searched):
            event = data[start : match.end()]
            start = match.end()
            try:
                if self._take(event):
                    events.append(event)
            except StreamGapError as error:
                if not events:
                    raise
                self._error = error
                return b"".join(events)
        self._partial = data[start:]
        if len(self._partial) > _MAX_EVENT_BYTES:
            raise StreamGapError("event exceeds the size limit without an end")
        return b"".join(events)

    def check(self) -> None:
        """Checks that what follows the events returned so far is valid.

        Raises:
            StreamGapError: It isn't.
        """
        if self._error is not None:
            raise self._error

    def take_remainder(self, is_framed: bool = True) -> bytes:
        """Returns and clears what follows the answer's last complete event.

        Args:
            is_framed: Whether the answer's framing shows that it is complete;
                if not, it ended with its connection.

        Raises:
            StreamCutError: The answer ended inside an event, or without
                framing before any new event.
        """
        remainder, self._partial = self._partial, b""
        if remainder.strip():
            raise StreamCutError(
                f"ended inside an event, {len(remainder)} bytes after event"
                f" {self.last_id or 'none'}"
            )
        if not is_framed and not self._has_new_event:
            raise StreamCutError(
                "ended with its connection, without an event after event"
                f" {self.last_id or 'none'}"
            )
        return remainder

    def resume(self) -> None:
        """Drops the partial event, since another engine resumes the stream."""
        self._partial = b""
        self._extra_bytes = 0
        self._is_resumed = True
        self._has_new_event = False
        self._error = None

    def _take(self, event: bytes) -> bool:
        """Returns whether to pass an event on; counts what is no new event.

        Raises:
            StreamGapError: An event before this one is missing, this is none,
                or too much arrived since the last new one.
        """
        last_id = self.last_id
        is_passed_on = self._accept(event)
        self._extra_bytes += len(event)
        if self.last_id != last_id:
            self._extra_bytes = 0
            self._has_new_event = True
        if self._extra_bytes > _MAX_EXTRA_BYTES:
            raise StreamGapError(
                f"{self._extra_bytes} bytes without a new event"
            )
        return is_passed_on

    def _accept(self, event: bytes) -> bool:
        """Returns whether to pass an event on, and updates `last_id` if so.

        An event that was passed on before is not passed on again.

        Raises:
            StreamGapError: An event before this one is missing, or this is
                none.
        """
        match = _EVENT_ID.search(event)
        if match is None:
            if _COMMENT.fullmatch(event):
                return True
            raise StreamGapError(f"{len(event)} bytes that are no event")
        event_id = match.group(1).decode("latin-1").strip()
        if event_id.isdigit() and self.last_id.isdigit():
            if int(event_id) <= int(self.last_id):
                return False
            if self._is_resumed and int(event_id) > int(self.last_id) + 1:
                raise StreamGapError(
                    f"event {event_id} came after event {self.last_id}"
                )
        self.last_id = event_id
        return True
