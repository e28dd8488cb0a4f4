"""Whether the store answers this instance, by all of its calls.

A long poll alone shows late that the store was away: it may wait for an answer
that never comes, and afterwards for a change. Any other call shows it within
its own time limit, so all calls are recorded here, whatever they are for.
"""

import math

__all__ = ["StoreContact"]


class StoreContact:
    """When the store last answered, and whether it is away.

    All times are in seconds on the monotonic clock.

    Attributes:
        away_since: Send time of the first call that failed since the store
            last answered; None while it answers.
        returned_at: Time at which an answer last showed that the store is back;
            -inf if it never was away.
        away_s: How long it had been away then, in seconds.
    """

    def __init__(self) -> None:
        self.away_since: float | None = None
        self.returned_at = -math.inf
        self.away_s = 0.0
        self._answered_call_sent_at = -math.inf
        self._failed_call_sent_at = -math.inf

    def record_answer(self, sent_at: float, now: float) -> bool:
        """Records an answer; returns whether it shows that the store is back.

        An answer may have been on its way while the store was away, so only
        that to a call sent after the last one that failed shows a return.

        Args:
            sent_at: Send time of the call.
            now: Current time.
        """
        self._answered_call_sent_at = max(self._answered_call_sent_at, sent_at)
        if self.away_since is None or sent_at <= self._failed_call_sent_at:
            return False
        self.returned_at = now
        self.away_s = now - self.away_since
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
