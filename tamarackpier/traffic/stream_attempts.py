"""Stream attempts in flight, and which replicas have gone silent.

When a replica loses a member, all streams of its lead go silent together, long
before any other sign of the loss. Silence alone proves nothing: it starts one
probe round, in which each member of the replica is asked for a report.
"""

import asyncio
import collections
import dataclasses
import math
from collections.abc import Callable

from tamarackpier.fleet import model

__all__ = [
    "LINKS_LOST",
    "MAX_KEPT_SILENCE_S",
    "SILENT_CONNECTION",
    "STUCK",
    "STUCK_AFTER_S",
    "StreamAttempt",
    "StreamAttempts",
]

# Reason for moving streams off a replica whose members all answer although its
# lead sends nothing. Unlike a replica that lost a member, it may have started
# the requests that it was sent.
STUCK = "nothing moves"

# Reason for moving streams off connections that work no more.
LINKS_LOST = "own links to engines are lost"

# Reason for moving a stream off a kept connection that may be silent for good.
SILENT_CONNECTION = "its kept connection is silent"

# Silence after which a stream moves off a kept connection on which nothing has
# arrived, if the members of its replica answer. Longer than routes allow for
# the first event, so that a slow replica is rarely taken for a connection.
_SILENT_CONNECTION_S = 1.0
# Factor on that silence while requests queue at the replica.
_QUEUED_FACTOR = 2.0

# Silence after which a replica is stuck and not slow, even if members answer.
STUCK_AFTER_S = 1.5

# Silence up to which a replica may go on. The platform's engines may stand
# still for a second or so.
MAX_KEPT_SILENCE_S = 1.3
_MISSED_EVENTS = 2.5  # Event intervals without data before a probe.
# Allowance for two round trips between zones and event loop lag.
_MIN_SILENCE_S = 0.03
# Factor on the expected reading time, since prompts of other callers may be
# read first.
_READING_FACTOR = 2.0
# Time between probe rounds if the last one found all members well.
_REPROBE_S = 0.6
# Factor on the allowed silence after each round that found all members well,
# its upper limit, and the time in which half of the excess is forgotten. An
# instance whose streams are late for another reason would ask all the time.
_PATIENCE_GROWTH = 1.5
_MAX_PATIENCE = 5.0
_PATIENCE_HALF_LIFE_S = 20.0
# Silence up to which patience grows; leaves time for a round before a replica
# counts as stuck.
_MAX_PATIENT_S = 0.8


@dataclasses.dataclass(eq=False)
class StreamAttempt:
    """One attempt of a stream.

    Attributes:
        request_id: ID of the request.
        key: Key of the replica that runs the attempt.
        engine: ID of the replica's lead.
        scope: Timeout around the attempt; rescheduling it ends the attempt.
        waiting_since: Start of the current wait for data, in seconds on the
            relay's clock; None while the attempt writes to the caller.
        event_interval_s: Expected time between events, in seconds.
        reading_s: Expected time of reading prompts at the replica, in seconds.
        move_reason: Why the stream has to resume at another replica; empty
            while it doesn't.
        has_received_data: Whether the engine has sent any data.
        was_stalled_at_start: Whether the replica had stalled when the attempt
            was sent: a stream that it was running was overdue.
        sent_at: Time at which the attempt began, in seconds on the relay's
            clock.
        can_move: Returns whether the stream could go on at another replica if
            its attempt ended for a reason.
        held_reason: Why the stream would move if it could; empty if it needn't.
        held_at: Time from which it has been held, in seconds on the relay's
            clock.
        is_bound: Whether the stream can't go on at any other replica.
        is_lost: Whether it is proved that the replica won't go on.
        is_reused: Whether the attempt was sent on a kept connection.
    """

    request_id: str
    key: model.ReplicaKey
    engine: str
    scope: asyncio.Timeout
    waiting_since: float | None
    event_interval_s: float
    reading_s: float
    move_reason: str = ""
    has_received_data: bool = False
    was_stalled_at_start: bool = False
    sent_at: float = 0.0
    can_move: Callable[[str], bool] = lambda reason: True
    held_reason: str = ""
    held_at: float = 0.0
    is_bound: bool = False
    is_lost: bool = False
    is_reused: bool = False

    @property
    def is_unanswered(self) -> bool:
        """Whether nothing has arrived on a kept connection."""
        return self.is_reused and not self.has_received_data

    @property
    def may_go_on(self) -> bool:
        """Whether the replica may go on, as it is only silent."""
        return not self.is_lost and self.move_reason != STUCK

    def interrupt(self, reason: str, is_lost: bool = False) -> bool:
        """Ends the attempt if the stream can resume at another replica.

        Otherwise the attempt is held: an engine that is silent may go on.

        Args:
            reason: Why the stream should resume elsewhere.
            is_lost: Whether it is proved that the replica won't go on, so that
                the attempt ends in any case.

        Returns:
            Whether the attempt ends.
        """
        self.is_lost |= is_lost
        if not is_lost and not self.move_reason and not self.can_move(reason):
            self.held_reason = reason
            return False
        if not self.move_reason:
            self.move_reason = reason
            self.scope.reschedule(asyncio.get_running_loop().time())
        return True

    def mark_reused(self) -> None:
        """Records that the attempt uses a kept connection."""
        self.is_reused = True

    def receive(self) -> None:
        """Records that data has arrived."""
        self.waiting_since = None
        self.held_reason = ""


class StreamAttempts:
    """The stream attempts in flight, by replica.

    Attributes:
        by_key: Attempts by replica.
        last_data_at: Time at which each replica last sent data, in seconds on
            the relay's clock.
        probed_at: Time of each replica's last probe round, in seconds on the
            relay's clock.
        patience: Factor on the allowed silence, as of `patience_at`; grows with
            needless probe rounds, over all replicas.
        patience_at: Time in seconds on the relay's clock.
    """

    def __init__(self) -> None:
        self.by_key: dict[model.ReplicaKey, set[StreamAttempt]] = (
            collections.defaultdict(set)
        )
        self.last_data_at: dict[model.ReplicaKey, float] = {}
        self.probed_at: dict[model.ReplicaKey, float] = {}
        self.patience = 1.0
        self.patience_at = 0.0

    def record_needless_round(self, now: float) -> None:
        """Records that a probe round for silence found all members well."""
        grown = self.current_patience(now) * _PATIENCE_GROWTH
        self.patience = min(_MAX_PATIENCE, grown)
        self.patience_at = now

    def current_patience(self, now: float) -> float:
        """Returns the factor on the allowed silence; at least 1."""
        age_s = now - self.patience_at
        return 1 + (self.patience - 1) * 0.5 ** (age_s / _PATIENCE_HALF_LIFE_S)

    def add(self, attempt: StreamAttempt, now: float) -> None:
        """Adds an attempt that is about to be sent."""
        attempt.was_stalled_at_start = any(
            other.has_received_data and self._overdue_s(other, now) > 0
            for other in self.by_key.get(attempt.key, ())
        )
        self.by_key[attempt.key].add(attempt)

    def remove(self, attempt: StreamAttempt) -> None:
        """Removes an attempt that has ended."""
        attempts = self.by_key[attempt.key]
        attempts.discard(attempt)
        if not attempts:
            del self.by_key[attempt.key]

    def record_data(self, key: model.ReplicaKey, now: float) -> None:
        """Records that a replica sent data."""
        self.last_data_at[key] = now

    def move_held(self) -> None:
        """Ends the held attempts whose streams can now resume elsewhere."""
        for attempts in self.by_key.values():
            for attempt in attempts:
                if attempt.held_reason:
                    attempt.interrupt(attempt.held_reason)

    def silent(self, now: float) -> list[tuple[model.ReplicaKey, float]]:
        """Returns the silent replicas that are due for a probe round.

        Returns:
            Key of each replica, and the time by which its silence exceeds what
            is normal, in seconds.
        """
        replicas = []
        for key, attempts in self.by_key.items():
            probed_at = self.probed_at.get(key, -1e9)
            stuck_at = self.progress_at(key) + STUCK_AFTER_S
            # A round that ended before the replica counted as stuck did not
            # find that, and the next regular one may come too late.
            if now - probed_at < _REPROBE_S and not probed_at < stuck_at < now:
                continue
            overdue_s = max(
                max(self._overdue_s(attempt, now), _unanswered_s(attempt, now))
                for attempt in attempts
            )
            if overdue_s > 0:
                replicas.append((key, overdue_s))
        return replicas

    def is_overdue(self, key: model.ReplicaKey, now: float) -> bool:
        """Returns whether data of a replica's streams is overdue."""
        return any(
            self._overdue_s(attempt, now) > 0
            for attempt in self.by_key.get(key, ())
        )

    def progress_at(self, key: model.ReplicaKey) -> float:
        """Returns the time of a replica's last sign of progress, in seconds.

        It is that of its last data, or the start of the longest present wait
        for data if that is later; infinite if no stream waits. The silence of
        a kept connection says nothing of the replica.
        """
        longest_wait_since = min(
            (
                attempt.waiting_since
                for attempt in self.by_key.get(key, ())
                if attempt.waiting_since is not None
                and not attempt.is_unanswered
            ),
            default=math.inf,
        )
        return max(longest_wait_since, self.last_data_at.get(key, 0.0))

    def interrupt(
        self,
        key: model.ReplicaKey,
        reason: str,
        sent_before: float = math.inf,
        is_lost: bool = False,
    ) -> int:
        """Ends the attempts at a replica whose streams can resume elsewhere.

        Args:
            key: Key of the replica.
            reason: Why the streams have to resume at another replica.
            sent_before: Time from which attempts have begun that go on, in
                seconds on the relay's clock.
            is_lost: Whether it is proved that the replica won't go on; then
                all attempts end.

        Returns:
            The number of attempts that end.
        """
        attempts = [
            attempt
            for attempt in self.by_key.get(key, ())
            if attempt.sent_at < sent_before
        ]
        return sum(attempt.interrupt(reason, is_lost) for attempt in attempts)

    def move_unanswered(
        self, key: model.ReplicaKey, now: float, has_queue: bool
    ) -> None:
        """Moves streams off kept connections that are silent.

        Args:
            key: Key of a replica whose members have just answered.
            now: Current time, in seconds on the relay's clock.
            has_queue: Whether requests wait for a slot at the replica, among
                which the silent ones may be.
        """
        factor = _QUEUED_FACTOR if has_queue else 1.0
        for attempt in list(self.by_key.get(key, ())):
            if _unanswered_s(attempt, now, factor) > 0:
                attempt.interrupt(SILENT_CONNECTION)

    def keep_only(self, known: set[model.ReplicaKey]) -> None:
        """Forgets the replicas that are not in `known`."""
        for times in (self.last_data_at, self.probed_at):
            for key in [key for key in times if key not in known]:
                del times[key]

    def _overdue_s(self, attempt: StreamAttempt, now: float) -> float:
        """Returns the time by which data is overdue; negative if it is not."""
        if attempt.waiting_since is None:
            return -1.0
        silent_since = max(
            attempt.waiting_since, self.last_data_at.get(attempt.key, 0.0)
        )
        allowed_s = _allowed_s(attempt)
        patient_s = min(
            allowed_s * self.current_patience(now),
            max(allowed_s, _MAX_PATIENT_S),
        )
        return now - silent_since - patient_s


def _allowed_s(attempt: StreamAttempt) -> float:
    """Returns the silence that is normal for an attempt, in seconds."""
    return (
        _MIN_SILENCE_S
        + _MISSED_EVENTS * attempt.event_interval_s
        + _READING_FACTOR * attempt.reading_s
    )


def _unanswered_s(
    attempt: StreamAttempt, now: float, factor: float = 1.0
) -> float:
    """Returns the time by which an answer on a kept connection is overdue.

    Data of other streams of the replica doesn't count.

    Args:
        attempt: The attempt.
        now: Current time, in seconds on the relay's clock.
        factor: Factor on the silence that is allowed.

    Returns:
        Time in seconds; negative if the answer isn't overdue.
    """
    if not attempt.is_unanswered or attempt.waiting_since is None:
        return -1.0
    allowed_s = max(_SILENT_CONNECTION_S, _allowed_s(attempt))
    return now - attempt.waiting_since - factor * allowed_s
