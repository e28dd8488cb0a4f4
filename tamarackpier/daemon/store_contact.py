"""Whether the store answers this instance, by all of its calls.

A long poll alone shows late that the store was away: it may wait for an answer
that never comes, and afterwards for a change. Any other call shows it within
its own time limit, so all calls are recorded here, whatever they are for. An
instance without other calls learns of a return from its peers.
"""

import dataclasses
import math

__all__ = ["StoreContact", "StoreReturn", "StoreService"]

# Longest time between two answers of the store, to whichever instance, in which
# no engine's row lapses.
_MAX_PAUSE_S = 1.5


@dataclasses.dataclass(frozen=True)
class StoreReturn:
    """A return of the store after an outage.

    Attributes:
        observer: Hash of the incarnation of the instance that saw it.
        count: Number of returns that this instance had seen then.
        at: Time of the answer that showed it, in seconds on the monotonic
            clock.
        away_s: How long the store had been away for the observer, in seconds.
    """

    observer: int
    count: int
    at: float
    away_s: float

    def is_copy_of(self, other: "StoreReturn") -> bool:
        """Returns whether both were seen by the same instance at once.

        The times of copies differ by the time that messages took.
        """
        return (self.observer, self.count) == (other.observer, other.count)


@dataclasses.dataclass(frozen=True)
class StoreService:
    """A time in which the store answered some instance without a pause.

    Attributes:
        observer: Hash of the incarnation of the instance that got the latest
            answer.
        count: Number of answers that this instance had got then.
        since: Time of the first answer, in seconds on the monotonic clock.
        at: Time of the latest answer, in seconds on the monotonic clock.
    """

    observer: int
    count: int
    since: float
    at: float

    def is_copy_of(self, other: "StoreService") -> bool:
        """Returns whether the latest answer of both is the same one."""
        return (self.observer, self.count) == (other.observer, other.count)

    def joined(self, other: "StoreService") -> "StoreService":
        """Returns the later of two times, extended by the other if they meet.

        Args:
            other: Another time, as this or another instance knows it.
        """
        earlier, later = sorted((self, other), key=lambda service: service.at)
        if later.since - earlier.at > _MAX_PAUSE_S:
            return later
        return dataclasses.replace(later, since=min(later.since, earlier.since))


class StoreContact:
    """When the store last answered, and whether it is away.

    All times are in seconds on the monotonic clock.

    Attributes:
        observer: Hash of this instance's incarnation.
        away_since: Send time of the first call that failed since the store
            last answered; None while it answers.
        latest_return: Latest return that this instance or a peer has seen.
        service: Time in which the store has answered this instance or a peer.
    """

    def __init__(self, observer: int = 0) -> None:
        self.observer = observer
        self.away_since: float | None = None
        self.latest_return = StoreReturn(observer, 0, -math.inf, 0.0)
        self.service = StoreService(observer, 0, -math.inf, -math.inf)
        self._return_count = 0
        self._answer_count = 0
        self._answered_call_sent_at = -math.inf
        self._failed_call_sent_at = -math.inf

    @property
    def returned_at(self) -> float:
        """Time of the latest return; -inf if the store never was away."""
        return self.latest_return.at

    @property
    def away_s(self) -> float:
        """How long the store had been away then, in seconds."""
        return self.latest_return.away_s

    def record_answer(self, sent_at: float, now: float) -> bool:
        """Records an answer; returns whether it shows that the store is back.

        An answer may have been on its way while the store was away, so only
        that to a call sent after the last one that failed shows a return.

        Args:
            sent_at: Send time of the call.
            now: Current time.
        """
        self._answer_count += 1
        self.service = self.service.joined(
            StoreService(self.observer, self._answer_count, now, now)
        )
        self._answered_call_sent_at = max(self._answered_call_sent_at, sent_at)
        if self.away_since is None or sent_at <= self._failed_call_sent_at:
            return False
        self._return_count += 1
        self.latest_return = StoreReturn(
            self.observer, self._return_count, now, now - self.away_since
        )
        self.away_since = None
        return True

    def record_failure(self, sent_at: float) -> bool:
        """Records a call without an answer; returns whether that shows a loss.

        A call that was sent before one that was answered shows none.

        Args:
            sent_at: Send time of the call.
        """
        if sent_at <= self._answered_call_sent_at:
            return False
        self._failed_call_sent_at = max(self._failed_call_sent_at, sent_at)
        if self.away_since is not None:
            return False
        self.away_since = sent_at
        return True

    def record_service(self, service: StoreService) -> None:
        """Records what a peer knows of the store's answers."""
        if not service.is_copy_of(self.service):
            self.service = self.service.joined(service)

    def served_since(self, now: float) -> float:
        """Returns since when the store has answered some instance.

        Returns infinity if no answer is known that is recent enough.
        """
        if now - self.service.at > _MAX_PAUSE_S:
            return math.inf
        return self.service.since

    def record_return(self, store_return: StoreReturn) -> bool:
        """Records a return that a peer has seen or passed on.

        Returns:
            Whether it is later than all that are known.
        """
        known = self.latest_return
        if store_return.is_copy_of(known) or store_return.at <= known.at:
            return False
        self.latest_return = store_return
        return True
