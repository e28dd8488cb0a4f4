"""Streams under way, and which replicas have stopped moving.

All streams of one lead fall silent together when a member is lost, long before
anything else tells of it. Silence alone proves nothing: it starts one round of
questions to the members.
"""

import asyncio
import collections
import dataclasses

from tamarackpier.fleet import model

__all__ = ["STUCK", "Flight", "Flights"]

# All members answer, and yet the lead sends nothing: unlike one that lost a
# member, it may have begun what it was sent.
STUCK = "nothing moves"

_PASSES = 2.5  # Passes without an event, before members are asked.
_LEAST_SILENCE_S = 0.03  # Two round trips between zones, and a busy loop.
_READING_FACTOR = 2.0  # Allows for reading that other callers asked for.
_RECHECK_S = 0.6  # After members were found to be well.


@dataclasses.dataclass(eq=False)
class Flight:
    """One attempt of a stream.

    Attributes:
        request_id: The request.
        key: The replica that it runs on.
        engine: Id of the lead.
        scope: Ends the attempt when it is rescheduled.
        waiting_since: When it began to wait for bytes; None while it writes.
        pass_s: Time of one pass of the replica, which sends one event.
        reading_s: Expected time of reading prompts at the replica.
        moved: Why it has to go on elsewhere; empty while it has not.
    """

    request_id: str
    key: model.ReplicaKey
    engine: str
    scope: asyncio.Timeout
    waiting_since: float | None
    pass_s: float
    reading_s: float
    moved: str = ""

    def interrupt(self, reason: str) -> None:
        """Ends the attempt, so that the stream goes on elsewhere."""
        if not self.moved:
            self.moved = reason
            self.scope.reschedule(asyncio.get_running_loop().time())


class Flights:
    """All attempts under way, by replica.

    Attributes:
        by_key: The attempts.
        progress: When each replica last sent anything.
        checked: When each replica's members were last asked.
    """

    def __init__(self) -> None:
        self.by_key: dict[model.ReplicaKey, set[Flight]] = (
            collections.defaultdict(set)
        )
        self.progress: dict[model.ReplicaKey, float] = {}
        self.checked: dict[model.ReplicaKey, float] = {}

    def add(self, flight: Flight) -> None:
        """Counts an attempt in."""
        self.by_key[flight.key].add(flight)

    def remove(self, flight: Flight) -> None:
        """Counts an attempt out."""
        found = self.by_key[flight.key]
        found.discard(flight)
        if not found:
            del self.by_key[flight.key]

    def moved(self, key: model.ReplicaKey, now: float) -> None:
        """Notes that a replica sent something."""
        self.progress[key] = now

    def silent(self, now: float) -> list[tuple[model.ReplicaKey, float]]:
        """Returns the replicas to ask about, with how long they are silent."""
        found = []
        for key, flights in self.by_key.items():
            if now - self.checked.get(key, -1e9) < _RECHECK_S:
                continue
            silence_s = max(self._excess_s(each, now) for each in flights)
            if silence_s > 0:
                found.append((key, silence_s))
        return found

    def interrupt(self, key: model.ReplicaKey, reason: str) -> int:
        """Ends all attempts at a replica; returns how many."""
        flights = list(self.by_key.get(key, ()))
        for each in flights:
            each.interrupt(reason)
        return len(flights)

    def expire(self, known: set[model.ReplicaKey]) -> None:
        """Forgets replicas that are gone."""
        for table in (self.progress, self.checked):
            for key in [each for each in table if each not in known]:
                del table[key]

    def _excess_s(self, flight: Flight, now: float) -> float:
        if flight.waiting_since is None:
            return -1.0
        since = max(flight.waiting_since, self.progress.get(flight.key, 0.0))
        patience_s = (
            _LEAST_SILENCE_S
            + _PASSES * flight.pass_s
            + _READING_FACTOR * flight.reading_s
        )
        return now - since - patience_s
