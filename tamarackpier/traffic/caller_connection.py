"""The phases of a caller's connection and the time limit of each.

Works on times that it is given, and does not touch the network.
"""

import dataclasses
import enum

__all__ = [
    "Cause",
    "Connection",
    "Limits",
    "Phase",
    "TimeLimits",
    "UnreadAnswer",
]

# Time after which callers know an idle limit that is in force here: the
# platform's bound of 2 s, and what a request may take to arrive.
CALLERS_KNOW_S = 2.5


class Phase(enum.Enum):
    """What a connection is doing.

    `WAITING` is a connection without a request so far, `IDLE` one between two
    requests.
    """

    WAITING = "waiting"
    READING_HEAD = "reading_head"
    READING_BODY = "reading_body"
    ANSWERING = "answering"
    IDLE = "idle"
    CLOSING = "closing"


class Cause(enum.Enum):
    """Why a connection was closed.

    `ANSWERED` is an answer that asked for it, `BROKEN_OFF` a request or an
    answer that was given up, `MEMORY` the limit of what all connections hold,
    `CONNECTIONS` that of their number, `UNREAD` an answer that is not read.
    """

    CALLER = "caller"
    ANSWERED = "answered"
    BROKEN_OFF = "broken_off"
    IDLE = "idle"
    HEAD_LATE = "head_late"
    HEAD_TOO_LARGE = "head_too_large"
    BODY_LATE = "body_late"
    MALFORMED = "malformed"
    STOP = "stop"
    TRAILERS_TOO_LARGE = "trailers_too_large"
    FRAMING_TOO_LARGE = "framing_too_large"
    UNREAD = "unread"
    MEMORY = "memory"
    CONNECTIONS = "connections"


@dataclasses.dataclass(frozen=True)
class Limits:
    """Time limits of connections, in seconds.

    Attributes:
        idle_s: Time without a request, also before the first one.
        head_s: Time in which a head arrives, from its first byte.
        body_s: Time after an answer in which the rest of the request's body
            arrives. Until the answer, the application limits the body.
        unread_s: Time in which a caller takes some bytes of what was written.
    """

    idle_s: float
    head_s: float = 10.0
    body_s: float = 30.0
    unread_s: float = 15.0


_CAUSES = {
    Phase.WAITING: Cause.IDLE,
    Phase.IDLE: Cause.IDLE,
    Phase.READING_HEAD: Cause.HEAD_LATE,
    Phase.READING_BODY: Cause.BODY_LATE,
}


class TimeLimits:
    """The limits in force, and older idle limits that callers may go by.

    Attributes:
        current: The limits in force.
    """

    def __init__(self, current: Limits) -> None:
        self.current = current
        # Older idle limits, and until when callers may go by them.
        self._older_idle: list[tuple[float, float]] = []

    def change(self, limits: Limits, now: float) -> bool:
        """Puts limits in force and returns whether they are others."""
        self._older_idle = [
            (idle_s, until) for idle_s, until in self._older_idle if until > now
        ]
        if limits == self.current:
            return False
        self._older_idle.append((self.current.idle_s, now + CALLERS_KNOW_S))
        self.current = limits
        return True

    def idle_due(self, since: float) -> float:
        """Returns when a connection that is idle since then is closed.

        A lowered limit holds once no caller can go by the older one.
        """
        due = since + self.current.idle_s
        for idle_s, until in self._older_idle:
            due = max(due, min(since + idle_s, until))
        return due


class UnreadAnswer:
    """Tells callers that read slowly from those that don't read.

    Attributes:
        since: When a byte was taken last.
        unsent_bytes: Bytes that had not been taken then.
    """

    __slots__ = ("since", "unsent_bytes")

    def __init__(self, now: float, unsent_bytes: int) -> None:
        self.since = now
        self.unsent_bytes = unsent_bytes

    def is_overdue(self, now: float, unsent_bytes: int, limit_s: float) -> bool:
        """Returns whether nothing was taken for so long.

        Args:
            now: The time, in seconds.
            unsent_bytes: Bytes that have not been taken now.
            limit_s: Time in which some byte must be taken, in seconds.
        """
        if unsent_bytes < self.unsent_bytes:
            self.since = now
        self.unsent_bytes = unsent_bytes
        return now - self.since >= limit_s


class Connection:
    """The state of one connection; all times come from the same clock.

    Attributes:
        phase: The current phase.
        since: When the phase began.
        cause: Why the connection was or is being closed; None if it is open.
    """

    __slots__ = (
        "_has_open_body",
        "_has_open_head",
        "_idle_phase",
        "_unanswered",
        "cause",
        "phase",
        "since",
    )

    def __init__(self, now: float) -> None:
        self.phase = Phase.WAITING
        self.since = now
        self.cause: Cause | None = None
        self._idle_phase = Phase.WAITING
        self._has_open_head = False
        self._has_open_body = False
        self._unanswered = 0

    @property
    def is_idle(self) -> bool:
        """Whether the connection has no request."""
        return self.phase in (Phase.WAITING, Phase.IDLE)

    def receive(self, now: float) -> None:
        """Records that bytes arrived; they begin a head unless one is open."""
        if not self._has_open_body and not self._has_open_head:
            self.begin_head(now)

    def begin_head(self, now: float) -> None:
        """Records that a head began."""
        self._has_open_head = True
        self._update(now)

    def end_head(self, now: float) -> None:
        """Records that a head arrived completely."""
        self._has_open_head = False
        self._has_open_body = True
        self._idle_phase = Phase.IDLE
        self._unanswered += 1
        self._update(now)

    def end_body(self, now: float) -> None:
        """Records that a request arrived completely."""
        self._has_open_body = False
        self._update(now)

    def end_answer(self, now: float) -> None:
        """Records that an answer was sent completely."""
        self._unanswered -= 1
        if self._has_open_body and not self._unanswered:
            self.since = now
        self._update(now)

    def close(self, cause: Cause, now: float) -> None:
        """Records a close; only the first cause counts."""
        if self.cause is None:
            self.cause = cause
            self._update(now)

    def due(self, limits: TimeLimits) -> float | None:
        """Returns when the time limit of the phase ends; None without one."""
        match self.phase:
            case Phase.WAITING | Phase.IDLE:
                return limits.idle_due(self.since)
            case Phase.READING_HEAD:
                return self.since + limits.current.head_s
            case Phase.READING_BODY if not self._unanswered:
                return self.since + limits.current.body_s
        return None

    def overdue(self, limits: TimeLimits, now: float) -> Cause | None:
        """Returns why the connection is to be closed now; None if it isn't."""
        due = self.due(limits)
        if due is None or now < due:
            return None
        return _CAUSES[self.phase]

    def _update(self, now: float) -> None:
        if self.cause is not None:
            phase = Phase.CLOSING
        elif self._has_open_body and self._unanswered <= 1:
            phase = Phase.READING_BODY
        elif self._unanswered:
            phase = Phase.ANSWERING
        elif self._has_open_head:
            phase = Phase.READING_HEAD
        else:
            phase = self._idle_phase
        if phase is not self.phase:
            self.phase = phase
            self.since = now
