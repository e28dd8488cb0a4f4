"""Passes on the complete events of a stream, each once and in order."""

import re

__all__ = ["EventStream", "StreamCutError", "StreamGapError"]

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_ID = re.compile(rb"^id:[ ]?(.*?)\r?$", re.MULTILINE)
_MAX_EVENT_BYTES = 1 << 18
# Comments and repeated events that may follow an event.
_MAX_EXTRA_BYTES = 1 << 16
_MAX_EVENT_END_BYTES = 4


class StreamCutError(Exception):
    """An engine ended a stream inside an event."""


class StreamGapError(Exception):
    """An engine skipped an event, or sent too much that is no new event."""


class EventStream:
    """The events of one answer, to which several engines may contribute.

    An engine may stop in the middle of an event, so only complete events are
    passed on; the engine that resumes the stream starts with the first event
    that is missing.

    Attributes:
        last_id: ID of the last event that was passed on; empty for none.
    """

    def __init__(self, last_id: str = "") -> None:
        self.last_id = last_id
        self._partial = b""
        self._extra_bytes = 0
        self._is_resumed = False

    def feed(self, data: bytes) -> bytes:
        """Returns the events that `data` completes, without repeated ones.

        Raises:
            StreamGapError: An event is missing or too large, or too much
                arrived since the last new one.
        """
        searched = max(0, len(self._partial) - _MAX_EVENT_END_BYTES)
        data = self._partial + data
        events = []
        start = 0
        for match in _EVENT_END.finditer(data, searched):
            event = data[start : match.end()]
            start = match.end()
            last_id = self.last_id
            if self._accept(event):
                events.append(event)
            self._extra_bytes += len(event)
            if self.last_id != last_id:
                self._extra_bytes = 0
            if self._extra_bytes > _MAX_EXTRA_BYTES:
                raise StreamGapError(
                    f"{self._extra_bytes} bytes without a new event"
                )
        self._partial = data[start:]
        if len(self._partial) > _MAX_EVENT_BYTES:
            raise StreamGapError("event exceeds the size limit without an end")
        return b"".join(events)

    def take_remainder(self) -> bytes:
        """Returns and clears what follows the answer's last complete event.

        Raises:
            StreamCutError: The answer ended inside an event.
        """
        remainder, self._partial = self._partial, b""
        if remainder.strip():
            raise StreamCutError(
                f"ended inside an event, {len(remainder)} bytes after event"
                f" {self.last_id or 'none'}"
            )
        return remainder

    def resume(self) -> None:
        """Drops the partial event, since another engine resumes the stream."""
        self._partial = b""
        self._extra_bytes = 0
        self._is_resumed = True

    def _accept(self, event: bytes) -> bool:
        """Returns whether to pass an event on, and updates `last_id` if so.

        An event that was passed on before is not passed on again.

        Raises:
            StreamGapError: An event before this one is missing.
        """
        match = _EVENT_ID.search(event)
        if match is None:
            return True
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
