"""Streams under way, and which replicas have stopped moving.

All streams of one lead fall silent together when a member is lost, long before
anything else tells of it. Silence alone proves nothing: it starts one round of
questions to the members.
"""

import asyncio
import collections
import dataclasses

from tamarackpier.fleet import model

__all__ = ["STUCK", "StreamAttempt", "StreamAttempts"]

# All members answer, and yet the lead sends nothing: unlike one that lost a
# member, it may have begun what it was sent.
STUCK = "nothing moves"

_PASSES = 2.5  # Passes without an event, before members are asked.
_LEAST_SILENCE_S = 0.03  # Two round trips between zones, and a busy loop.
_READING_FACTOR = 2.0  # Allows for reading that other callers asked for.
_RECHECK_S = 0.6  # After members were found to be well.


@dataclasses.dataclass(eq=False)
class StreamAttempt:
    """One attempt of a stream.

    Attributes:
        request_id: The request.
        key: The replica that it runs on.
        engine: Id of the lead.
        scope: Ends the attempt when it is rescheduled.
        waiting_since: When it began to wait for bytes; None while it writes.
        pass_s: Time of one pass of the replica, which sends one event.
        reading_s: Expected time of reading prompts at the replica.
        move_reason: Why it has to go on elsewhere; empty while it has not.
    """

    request_id: str
    key: model.Key
    engine: str
    scope: asyncio.Timeout
    waiting_since: float | None
    event_interval_s: float
    reading_s: float
    move_reason: str = ""

    def interrupt(self, reason: str) -> None:
        """Ends the attempt, so that the stream goes on elsewhere."""
        if not self.move_reason:
            self.move_reason = reason
            self.scope.reschedule(asyncio.get_running_loop().time())


class StreamAttempts:
    """All attempts under way, by replica.

    Attributes:
        by_key: The attempts.
        progress: When each replica last sent anything.
        checked: When each replica's members were last asked.
    """

    def __init__(self) -> None:
        self.by_key: dict[model.Key, set[StreamAttempt]] = (
            collections.defaultdict(set)
        )
        self.last_data_at: dict[model.Key, float] = {}
        self.probed_at: dict[model.Key, float] = {}

    def add(self, flight: StreamAttempt) -> None:
        """Counts an attempt in."""
        self.by_key[flight.key].add(flight)

    def remove(self, flight: StreamAttempt) -> None:
        """Counts an attempt out."""
        found = self.by_key[flight.key]
        found.discard(flight)
        if not found:
            del self.by_key[flight.key]

    def record_data(self, key: model.Key, now: float) -> None:
        """Notes that a replica sent something."""
        self.last_data_at[key] = now

    def silent(self, now: float) -> list[tuple[model.Key, float]]:
        """Returns the replicas to ask about, with how long they are silent."""
        found = []
        for key, flights in self.by_key.items():
            if now - self.probed_at.get(key, -1e9) < _RECHECK_S:
                continue
            silence_s = max(self._excess_s(each, now) for each in flights)
            if silence_s > 0:
                found.append((key, silence_s))
        return found

    def interrupt(self, key: model.Key, reason: str) -> int:
        """Ends all attempts at a replica; returns how many."""
        flights = list(self.by_key.get(key, ()))
        for each in flights:
            each.interrupt(reason)
        return len(flights)

    def expire(self, known: set[model.Key]) -> None:
        """Forgets replicas that are gone."""
        for table in (self.last_data_at, self.probed_at):
            for key in [each for each in table if each not in known]:
                del table[key]

    def _excess_s(self, flight: StreamAttempt, now: float) -> float:
        if flight.waiting_since is None:
            return -1.0
        since = max(
            flight.waiting_since, self.last_data_at.get(flight.key, 0.0)
        )
        patience_s = (
            _LEAST_SILENCE_S
            + _PASSES * flight.event_interval_s
            + _READING_FACTOR * flight.reading_s
        )
        return now - since - patience_s
