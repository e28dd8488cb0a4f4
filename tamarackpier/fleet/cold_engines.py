"""Engines that take few requests a second for a while, as they are cold.

An engine's row and its answers say for how long. The longer time counts, and
each start of an engine counts for itself. Peers are told of what came by an
answer; rows reach all instances anyway.
"""

import collections
import dataclasses
from collections.abc import Container

from tamarackpier.fleet import model

__all__ = ["MAX_SENT", "ColdEngine", "ColdEngines"]

# A message to a peer names at most so many engines, the longest cold first.
MAX_SENT = 64
# Several times the engines of the largest deployment; the oldest is dropped.
_MAX_KEPT = 4096
# Longest time for which an engine is taken for cold by one statement.
_MAX_LEFT_S = 60.0
# Time by which a peer's statement must be longer than what is known. Its time
# left grows by the transit of each message, so copies would never end.
_PEER_TOLERANCE_S = 1.0
# Time after its end for which a statement is kept, against copies of it.
_KEEP_S = 10.0


@dataclasses.dataclass(frozen=True)
class ColdEngine:
    """What is known of a cold engine.

    Attributes:
        incarnation: Incarnation of the engine.
        until: End of the time, in seconds on the monotonic clock.
        is_told: Whether peers are told of it.
    """

    incarnation: int
    until: float
    is_told: bool


class ColdEngines:
    """Cold engines by ID.

    Attributes:
        engines: Known engines, those that were recorded last at the end.
    """

    def __init__(self) -> None:
        self.engines: collections.OrderedDict[str, ColdEngine] = (
            collections.OrderedDict()
        )

    def left_s(self, engine: model.EngineRecord, now: float) -> float:
        """Returns for how many seconds an engine is cold; 0 if it isn't."""
        known = self.engines.get(engine.id)
        if known is None or known.incarnation != engine.incarnation:
            return 0.0
        return max(0.0, known.until - now)

    def record(
        self,
        engine_id: str,
        incarnation: int,
        left_s: float,
        now: float,
        is_told: bool = False,
    ) -> bool:
        """Records what a row or an answer says; the longer time counts.

        Args:
            engine_id: ID of the engine.
            incarnation: Its incarnation.
            left_s: Seconds for which it is cold.
            now: Current time, in seconds on the monotonic clock.
            is_told: Whether peers have to be told, as no row says it.

        Returns:
            Whether the engine was not known as cold.
        """
        until = now + min(left_s, _MAX_LEFT_S)
        known = self.engines.get(engine_id)
        is_same = known is not None and known.incarnation == incarnation
        if until <= now or (known and known.incarnation > incarnation):
            return False
        if known is not None and is_same and known.until >= until:
            return False
        self.engines[engine_id] = ColdEngine(incarnation, until, is_told)
        self.engines.move_to_end(engine_id)
        if len(self.engines) > _MAX_KEPT:
            self.engines.popitem(last=False)
        return known is None or not is_same or known.until <= now

    def merge(
        self, engine_id: str, incarnation: int, left_s: float, now: float
    ) -> bool:
        """Records what a peer says, unless it is a copy of what is known.

        Returns:
            Whether the engine was not known as cold.
        """
        known = self.engines.get(engine_id)
        if (
            known is not None
            and known.incarnation == incarnation
            and now + left_s < known.until + _PEER_TOLERANCE_S
        ):
            return False
        return self.record(engine_id, incarnation, left_s, now, is_told=True)

    def to_send(self, now: float) -> list[tuple[str, ColdEngine]]:
        """Returns the engines that a message to a peer names, by ID."""
        told = [
            (engine_id, known)
            for engine_id, known in self.engines.items()
            if known.is_told and known.until > now
        ]
        told.sort(key=lambda entry: entry[1].until, reverse=True)
        return told[:MAX_SENT]

    def expire(self, engine_ids: Container[str], now: float) -> None:
        """Forgets engines that are gone or have been warm for some time."""
        for engine_id, known in list(self.engines.items()):
            if known.until + _KEEP_S <= now or engine_id not in engine_ids:
                del self.engines[engine_id]
