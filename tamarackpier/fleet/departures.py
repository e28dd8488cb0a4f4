"""Engines that said in an answer that they leave."""

import collections
import dataclasses
import itertools
from collections.abc import Container

from tamarackpier.fleet import model

__all__ = ["MAX_SENT", "Departure", "Departures"]

# A message to a peer names at most so many engines, the latest first.
MAX_SENT = 64
# Several times the engines of the largest deployment; the oldest is dropped.
_MAX_KEPT = 4096
_MAX_INCARNATION = (1 << 63) - 1  # Fits into the messages between instances.


@dataclasses.dataclass(frozen=True)
class Departure:
    """The statement of an engine that it leaves.

    Attributes:
        engine_id: ID of the engine.
        incarnation: Incarnation of the engine, in Unix milliseconds.
    """

    engine_id: str
    incarnation: int


class Departures:
    """Engines that said that they leave, each until it starts again.

    A statement outlives the engine's row, because the row may vanish and come
    back, or may still say otherwise.

    Attributes:
        incarnations: Incarnation of each engine that said so, by its ID, the
            latest statement last.
    """

    def __init__(self) -> None:
        self.incarnations: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def record(self, departure: Departure) -> bool:
        """Records that an engine leaves; returns whether that is new."""
        if not 0 <= departure.incarnation <= _MAX_INCARNATION:
            return False
        known = self.incarnations.get(departure.engine_id)
        if known is not None and departure.incarnation <= known:
            return False
        self.incarnations[departure.engine_id] = departure.incarnation
        self.incarnations.move_to_end(departure.engine_id)
        if len(self.incarnations) > _MAX_KEPT:
            self.incarnations.popitem(last=False)
        return True

    def applies_to(self, engine: model.EngineRecord) -> bool:
        """Returns whether an engine, or a later start of it, said it leaves."""
        incarnation = self.incarnations.get(engine.id)
        return incarnation is not None and engine.incarnation <= incarnation

    def latest_of(self, engine_ids: Container[str]) -> list[Departure]:
        """Returns the latest statements of some engines, latest first.

        Args:
            engine_ids: IDs of the engines.

        Returns:
            At most `MAX_SENT` statements.
        """
        statements = (
            Departure(engine_id, incarnation)
            for engine_id, incarnation in reversed(self.incarnations.items())
            if engine_id in engine_ids
        )
        return list(itertools.islice(statements, MAX_SENT))
