"""Passes on whole events of a stream, each once and in order."""

import re

__all__ = ["EventStream", "StreamGapError"]

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"^id:[ ]?(.*?)\r?$", re.MULTILINE)
_MOST_EVENT_BYTES = 1 << 20


class StreamGapError(Exception):
    """An engine went on at the wrong event."""


class EventStream:
    """The events of one answer, which several engines may have made.

    An engine may stop in the middle of an event, so only whole ones are
    passed on; whoever goes on then begins with the first that is missing.

    Attributes:
        last_id: Id of the last event that was passed on; empty for none.
    """

    def __init__(self, last_id: str = "") -> None:
        self.last_id = last_id
        self._partial = b""
        self._is_resumed = False

    def feed(self, data: bytes) -> bytes:
        """Returns the whole events that `data` completes.

        Raises:
            StreamGapError: An event is missing or too large.
        """
        data = self._partial + data
        ready = []
        start = 0
        for match in _END.finditer(data):
            event = data[start : match.end()]
            start = match.end()
            if self._accept(event):
                ready.append(event)
        self._partial = data[start:]
        if len(self._partial) > _MOST_EVENT_BYTES:
            raise StreamGapError("an event without an end")
        return b"".join(ready)

    def take_remainder(self) -> bytes:
        """Returns what follows the last whole event of a whole answer."""
        rest, self._partial = self._partial, b""
        return rest

    def resume(self) -> None:
        """Forgets a partial event, since another engine goes on."""
        self._partial = b""
        self._is_resumed = True

    def _accept(self, event: bytes) -> bool:
        found = _ID.search(event)
        if found is None:
            return True
        name = found.group(1).decode("latin-1").strip()
        if self._is_resumed and name.isdigit() and self.last_id.isdigit():
            if int(name) <= int(self.last_id):
                return False
            if int(name) > int(self.last_id) + 1:
                raise StreamGapError(
                    f"event {name} came after event {self.last_id}"
                )
        self.last_id = name
        return True
