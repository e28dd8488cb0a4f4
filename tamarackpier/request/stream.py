"""Reassembles an engine's stream by sequence number.

An engine sends an answer as server-sent events, called pieces, each with its
sequence number in `id`. Pieces are delivered in order and exactly once, even
if they arrive out of order or more than once. The answer is complete only
after the piece `[DONE]` was delivered.
"""

import json

from tamarackpier.request import model

__all__ = ["Assembler", "StreamError", "answer_text"]

_PIECE_END = b"\n\n"
_ID_FIELD = b"id: "
_DONE_FIELD = b"data: [DONE]"
_MAX_OUT_OF_ORDER_PIECES = 256
_MAX_PARTIAL_PIECE_BYTES = 1 << 20


class StreamError(ValueError):
    """The stream violates the engine protocol."""


class Assembler:
    """Delivers the pieces of one answer in order.

    Attributes:
        next_sequence: Sequence number of the next piece to deliver.
        is_done: Whether the last piece was delivered.
        delivered: Pieces delivered so far, without their separators.
        out_of_order: Pieces held until their predecessors arrive, by sequence
            number.
        duplicates: Number of duplicate pieces that were dropped.
    """

    def __init__(self) -> None:
        self.next_sequence = 0
        self.is_done = False
        self.delivered: list[bytes] = []
        self.out_of_order: dict[int, bytes] = {}
        self.duplicates = 0
        self._partial_piece = b""

    @property
    def delivered_count(self) -> int:
        """Number of pieces delivered."""
        return self.next_sequence

    def restart(self) -> None:
        """Discards a partial piece when a new connection is opened."""
        self._partial_piece = b""

    def feed(self, data: bytes) -> bytes:
        """Processes bytes from the connection.

        Returns:
            The pieces that can be delivered now; empty if there are none.

        Raises:
            StreamError: The bytes violate the engine protocol.
        """
        data = self._partial_piece + data
        end = data.rfind(_PIECE_END) + len(_PIECE_END)
        if end < len(_PIECE_END):
            end = 0
        self._partial_piece = data[end:]
        if len(self._partial_piece) > _MAX_PARTIAL_PIECE_BYTES:
            raise StreamError("piece exceeds the maximum length")
        ready: list[bytes] = []
        for piece in data[:end].split(_PIECE_END):
            if piece:
                self._process_piece(piece, ready)
        if not ready:
            return b""
        self.delivered += ready
        ready.append(b"")
        return _PIECE_END.join(ready)

    def _process_piece(self, piece: bytes, ready: list[bytes]) -> None:
        if piece.startswith(b":"):
            # A comment of the event stream, which is not a piece.
            return
        sequence = _parse_sequence(piece)
        if sequence == self.next_sequence and not self.is_done:
            self._deliver(piece, ready)
            while self.out_of_order and self.next_sequence in self.out_of_order:
                self._deliver(self.out_of_order.pop(self.next_sequence), ready)
        elif sequence < self.next_sequence or sequence in self.out_of_order:
            self.duplicates += 1
        elif self.is_done:
            raise StreamError(f"piece {sequence} received after the last piece")
        else:
            self._hold_out_of_order(sequence, piece)

    def _deliver(self, piece: bytes, ready: list[bytes]) -> None:
        ready.append(piece)
        self.next_sequence += 1
        if piece.endswith(_DONE_FIELD):
            self.is_done = True

    def _hold_out_of_order(self, sequence: int, piece: bytes) -> None:
        if len(self.out_of_order) >= _MAX_OUT_OF_ORDER_PIECES:
            raise StreamError(
                f"piece {self.next_sequence} missing: too many later pieces"
            )
        self.out_of_order[sequence] = piece


def answer_text(pieces: list[bytes], kind: model.CallKind) -> str:
    """Returns the text of an answer.

    Args:
        pieces: Delivered pieces in order.
        kind: Kind of the call.

    Raises:
        StreamError: A piece violates the engine protocol.
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
        except (
            ValueError,
            KeyError,
            IndexError,
            RecursionError,
            TypeError,
        ) as error:
            raise StreamError(f"malformed piece: {error}") from error
    return "".join(parts)


def _parse_sequence(piece: bytes) -> int:
    line, _, _ = piece.partition(b"\n")
    if not line.startswith(_ID_FIELD):
        raise StreamError("piece has no sequence number in its first line")
    try:
        sequence = int(line[len(_ID_FIELD) :])
    except ValueError as error:
        raise StreamError(
            "sequence number of piece is not an integer"
        ) from error
    if sequence < 0:
        raise StreamError("sequence number of piece is negative")
    return sequence
