"""Bounds what unfinished answers take up in the memory of an instance together.

Each answer has a limit of its own, but a faulty upstream may send answers
without end to many requests at once, and all of them are kept until their end.
"""

import contextlib
from collections.abc import Iterator

__all__ = ["AnswerMemory", "HeldAnswer", "TooLargeError"]

# A sixth of the memory of the smallest instances, which have some 200 MB.
MAX_BYTES = 32 << 20


class TooLargeError(Exception):
    """An answer takes up too much memory."""


class HeldAnswer:
    """What has arrived of one answer.

    Attributes:
        size: Number of bytes.
    """

    def __init__(self, memory: "AnswerMemory") -> None:
        self._memory = memory
        self._parts: list[bytes] = []
        self.size = 0

    def add(self, part: bytes) -> None:
        """Adds a part that has arrived.

        Raises:
            TooLargeError: The answer exceeds the limit of one answer; or all
                together exceed theirs, and this one takes up its share of it
                or more.
        """
        memory = self._memory
        self.size += len(part)
        memory.size += len(part)
        if self.size > memory.max_answer_bytes:
            raise TooLargeError(
                f"body exceeds the limit of {memory.max_answer_bytes} bytes"
            )
        share = memory.size / memory.count
        if memory.size > memory.max_bytes and self.size >= share:
            raise TooLargeError(
                f"{memory.count} unfinished answers exceed the limit of"
                f" {memory.max_bytes} bytes, and this one has {self.size}"
            )
        self._parts.append(part)

    def body(self) -> bytes:
        """Returns the whole body."""
        return b"".join(self._parts)


class AnswerMemory:
    """Counts the bytes of all answers that have not ended.

    Attributes:
        max_answer_bytes: Maximum size of one answer.
        max_bytes: Size of all from which large ones are given up.
        size: Bytes of the unfinished answers.
        count: Number of the unfinished answers.
    """

    def __init__(
        self, max_answer_bytes: int, max_bytes: int = MAX_BYTES
    ) -> None:
        self.max_answer_bytes = max_answer_bytes
        self.max_bytes = max_bytes
        self.size = 0
        self.count = 0

    @contextlib.contextmanager
    def hold(self) -> Iterator[HeldAnswer]:
        """Yields an empty answer, which counts until the context is left."""
        held = HeldAnswer(self)
        self.count += 1
        try:
            yield held
        finally:
            self.count -= 1
            self.size -= held.size
