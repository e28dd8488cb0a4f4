"""Puts an engine's stream together by sequence number.

An engine sends server-sent events, each with its number in `id`. Pieces are
delivered in order and once, whatever order and however often they come; the
answer is whole only when the piece `[DONE]` was delivered.
"""

import json

from tamarackpier.request import model

__all__ = ["Assembler", "StreamError", "answer_text"]

_PIECE_END = b"\n\n"
_ID_FIELD = b"id: "
_DONE_FIELD = b"data: [DONE]"
_MOST_EARLY_PIECES = 256
_MOST_TAIL_BYTES = 1 << 20


class StreamError(ValueError):
    """The stream is not what an engine may send."""


class Assembler:
    """Delivers the pieces of one answer.

    Attributes:
        next_sequence: Number of the next piece to deliver.
        is_done: Whether the last piece was delivered.
        delivered: The pieces delivered so far, as they came.
        early: Pieces that came before their turn.
        duplicates: Pieces that came again and were dropped.
    """

    def __init__(self) -> None:
        self.next_sequence = 0
        self.is_done = False
        self.delivered: list[bytes] = []
        self.out_of_order: dict[int, bytes] = {}
        self.duplicates = 0
        self._tail = b""

    @property
    def delivered_count(self) -> int:
        """How many pieces were delivered."""
        return self.next_sequence

    def restart(self) -> None:
        """Forgets half a piece when a new connection begins."""
        self._tail = b""

    def feed(self, data: bytes) -> bytes:
        """Takes bytes off the connection; returns what to deliver now.

        Raises:
            StreamError: The bytes are not an engine's stream.
        """
        data = self._tail + data
        end = data.rfind(_PIECE_END) + len(_PIECE_END)
        if end < len(_PIECE_END):
            end = 0
        self._tail = data[end:]
        if len(self._tail) > _MOST_TAIL_BYTES:
            raise StreamError("a piece is too long")
        ready: list[bytes] = []
        for piece in data[:end].split(_PIECE_END):
            if piece:
                self._take(piece, ready)
        if not ready:
            return b""
        self.delivered += ready
        ready.append(b"")
        return _PIECE_END.join(ready)

    def _take(self, piece: bytes, ready: list[bytes]) -> None:
        if piece.startswith(b":"):
            return
        sequence = _sequence(piece)
        if sequence == self.next_sequence and not self.is_done:
            self._deliver(piece, ready)
            while self.out_of_order and self.next_sequence in self.out_of_order:
                self._deliver(self.out_of_order.pop(self.next_sequence), ready)
        elif sequence < self.next_sequence or sequence in self.out_of_order:
            self.duplicates += 1
        elif self.is_done:
            raise StreamError(f"piece {sequence} after the last one")
        else:
            self._keep_early(sequence, piece)

    def _deliver(self, piece: bytes, ready: list[bytes]) -> None:
        ready.append(piece)
        self.next_sequence += 1
        if piece.endswith(_DONE_FIELD):
            self.is_done = True

    def _keep_early(self, sequence: int, piece: bytes) -> None:
        if len(self.out_of_order) >= _MOST_EARLY_PIECES:
            raise StreamError(f"piece {self.next_sequence} never came")
        self.out_of_order[sequence] = piece


def answer_text(pieces: list[bytes], kind: model.CallKind) -> str:
    """Returns the text that delivered pieces make up.

    Raises:
        StreamError: A piece is not what an engine may send.
    """
    parts = []
    for piece in pieces:
        _, _, body = piece.partition(b"\ndata: ")
        if body == b"[DONE]":
            continue
        try:
            choice = json.loads(body)["choices"][0]
            if kind is model.CallKind.CHAT:
                parts.append(choice["delta"].get("content", ""))
            else:
                parts.append(choice["text"])
        except (ValueError, KeyError, IndexError, TypeError) as error:
            raise StreamError(f"unreadable piece: {error}") from error
    return "".join(parts)


def _sequence(piece: bytes) -> int:
    line, _, _ = piece.partition(b"\n")
    if not line.startswith(_ID_FIELD):
        raise StreamError("a piece without its number")
    try:
        sequence = int(line[len(_ID_FIELD) :])
    except ValueError as error:
        raise StreamError("a piece with a bad number") from error
    if sequence < 0:
        raise StreamError("a piece with a negative number")
    return sequence
