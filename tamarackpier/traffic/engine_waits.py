"""Engines that asked this instance to send them nothing for a while.

An engine that turns a request away says for how long it wants nothing more from
the instance that sent it. That says nothing of other instances, so it isn't
shared.
"""

import dataclasses
from collections.abc import Iterable, Mapping

from tamarackpier.fleet import model

__all__ = ["MAX_WAIT_S", "EngineWaits"]

# Longest wait that is kept, in seconds. An engine that gets no request can't
# take back a time that it named by mistake.
MAX_WAIT_S = 3600.0
# Longest wait that is promised to a caller, in seconds: others may serve it.
_MAX_PROMISE_S = 5.0
# Several times the engines of the largest deployment; the oldest is dropped.
_MAX_KEPT = 4096
# Time, in seconds, over which callers that are refused together return.
_SPREAD_S = 1.0


@dataclasses.dataclass(frozen=True)
class _Wait:
    """What an engine asked for.

    Attributes:
        incarnation: Incarnation of the engine.
        until: End of the wait, in seconds on the monotonic clock.
    """

    incarnation: int
    until: float


class EngineWaits:
    """The waits that engines asked for.

    The argument `now` of the methods is the current time, in seconds on the
    monotonic clock.

    Attributes:
        waits: Wait by engine ID.
    """

    def __init__(self) -> None:
        self.waits: dict[str, _Wait] = {}

    def record(
        self, engine: model.EngineRecord, wait_s: float, now: float
    ) -> bool:
        """Records that an engine asked for a wait.

        Of several answers, the latest end holds: requests that were sent
        together are answered one after the other, and each answer asks for
        nothing until its own end.

        Args:
            engine: The engine.
            wait_s: Seconds from now for which it wants no requests.
            now: Current time.

        Returns:
            Whether the engine wasn't waited for before.
        """
        is_waited_for = self.wait_s(engine, now) > 0
        until = now + min(wait_s, MAX_WAIT_S)
        if is_waited_for:
            until = max(until, self.waits[engine.id].until)
        elif len(self.waits) >= _MAX_KEPT:
            del self.waits[next(iter(self.waits))]
        self.waits[engine.id] = _Wait(engine.incarnation, until)
        return not is_waited_for

    def wait_s(self, engine: model.EngineRecord, now: float) -> float:
        """Returns after how many seconds an engine may be sent requests."""
        wait = self.waits.get(engine.id)
        if wait is None or wait.incarnation != engine.incarnation:
            return 0.0
        return max(0.0, wait.until - now)

    def promise_s(
        self,
        engines: Iterable[model.EngineRecord],
        now: float,
        fraction: float,
    ) -> float:
        """Returns after how many seconds a refused caller should return.

        Args:
            engines: The engines that could take the request; all ask to wait.
            now: Current time.
            fraction: Random number between 0 and 1, which spreads callers that
                are refused together.
        """
        first_s = min(
            (self.wait_s(engine, now) for engine in engines), default=0.0
        )
        return min(first_s, _MAX_PROMISE_S) + fraction * _SPREAD_S

    def take_ended(
        self, engines: Mapping[str, model.EngineRecord], now: float
    ) -> list[str]:
        """Forgets waits that have ended, and those of earlier incarnations.

        A wait outlives the engine's row, which may come back.

        Args:
            engines: Known engines by ID.
            now: Current time.

        Returns:
            IDs of the engines.
        """
        ended = []
        for engine_id, wait in self.waits.items():
            engine = engines.get(engine_id)
            has_restarted = (
                engine is not None and engine.incarnation > wait.incarnation
            )
            if wait.until <= now or has_restarted:
                ended.append(engine_id)
        for engine_id in ended:
            del self.waits[engine_id]
        return ended
