"""Quarantine for requests that crash the upstreams that run them.

When an upstream crashes, every request that was running on it is a suspect of
its death; a `Crash` pairs one suspect with one death. A request that is a
suspect of enough deaths is refused, unless another request is a suspect of
all the same deaths. In that case the cause is ambiguous, and each of them may
run only on an upstream that runs no other such suspect: the next death caused
by the faulty request then has no other suspect, and a harmless request
completes and is cleared.

A request that crashes upstreams never completes. Many callers may send equal
requests, so a completion clears a fingerprint and protects it for a while:
several upstreams that end at once would otherwise incriminate it.

Crashes are exchanged between entry instances as sets, so merging them is
idempotent and independent of order. A request that would be refused waits
until recent crashes have had time to propagate.
"""

import collections
import dataclasses
import enum
import hashlib
import heapq
from collections.abc import Iterable

__all__ = ["Crash", "Quarantine", "Verdict", "fingerprint"]


_PROPAGATION_S = 2.0
# Time after a completion in which deaths don't incriminate the request.
_COMPLETION_PROTECTS_S = 60.0
# Greatest difference between two instances' times of one crash: they estimate
# it from its age in a message, which takes up to 0.4 s.
_TIME_TOLERANCE_S = 1.0
# Time in which a new crash or completion reaches all peers, also through others
# and when a message is lost.
_SEND_S = 5.0
# Number of deaths of one suspect that all messages carry, so that an instance
# that has just started learns of it.
_REPEATED = 2
_MAX_SENT = 64
_MAX_SUSPECTS = 4096
_MAX_DEATHS_PER_SUSPECT = 16
_MAX_COMPLETIONS = 2048


class Verdict(enum.Enum):
    """Whether and how a request may run.

    Attributes:
        RUN: It may run on any replica.
        ALONE: It may run on a replica that runs no other suspect.
        WAIT: It must wait until recent crashes have propagated.
        REFUSE: It must not run.
    """

    RUN = "run"
    ALONE = "alone"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True)
class Crash:
    """One request that was running on a replica when it crashed.

    Attributes:
        fingerprint: Fingerprint of the request's content.
        death: Identifier of the death: replica ID and fencing number.
        at: Monotonic time of the death, in seconds.
    """

    fingerprint: str
    death: str
    at: float


def fingerprint(account: str, content: bytes) -> str:
    """Returns a short hash of a request's content.

    The hash includes the account, so that one account cannot get another
    account's request refused by sending the same content.
    """
    digest = hashlib.blake2b(content, digest_size=12)
    digest.update(b"\0" + account.encode())
    return digest.hexdigest()


class Quarantine:
    """Suspects of upstream crashes, as known to this entry instance.

    Attributes:
        crash_threshold: Number of deaths from which a suspect is refused or
            runs only where no other suspect runs.
        keep_s: Seconds for which a death counts.
        crashes: Monotonic time in seconds of each death, by fingerprint and
            death.
        suspects: Fingerprints of the suspects, by death.
        cleared: Monotonic time in seconds up to which deaths don't count, by
            fingerprint: its last completion or release by an operator.
        completed: Monotonic time in seconds of recent completions, by
            fingerprint, oldest first.
        repeated: Fingerprints of the suspects of several deaths.
        new_crashes: Monotonic time in seconds of the last new death of each
            suspect, while messages have to carry it, by fingerprint.
        new_clearances: The same for clearances.
    """

    def __init__(self, crash_threshold: int, keep_s: float) -> None:
        self.crash_threshold = crash_threshold
        self.keep_s = keep_s
        self.crashes: dict[str, dict[str, float]] = {}
        self.suspects: dict[str, set[str]] = {}
        self.cleared: dict[str, float] = {}
        self.completed: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self.repeated: set[str] = set()
        self.new_crashes: dict[str, float] = {}
        self.new_clearances: dict[str, float] = {}

    def add(self, crashes: Iterable[Crash]) -> None:
        """Merges crashes observed by this instance or received from a peer."""
        for crash in crashes:
            deaths = self.crashes.setdefault(crash.fingerprint, {})
            if len(deaths) >= _MAX_DEATHS_PER_SUSPECT:
                continue
            # The first known time is kept. Peers send the age of a crash, so
            # each exchange would otherwise shift the time.
            if crash.death in deaths:
                continue
            deaths[crash.death] = crash.at
            self.new_crashes[crash.fingerprint] = crash.at
            if len(deaths) >= min(_REPEATED, self.crash_threshold):
                self.repeated.add(crash.fingerprint)
            self.suspects.setdefault(crash.death, set()).add(crash.fingerprint)
            if self.is_protected(crash.fingerprint, crash.at):
                self.clear(crash.fingerprint, crash.at + _TIME_TOLERANCE_S)
        if len(self.crashes) > _MAX_SUSPECTS:
            self._drop_least_suspect()

    def clear(self, request_fingerprint: str, at: float) -> bool:
        """Clears a request that completed or that an operator released.

        Args:
            request_fingerprint: Fingerprint of the request.
            at: Monotonic time of the completion or release, in seconds.

        Returns:
            Whether the request was a suspect.
        """
        if request_fingerprint not in self.crashes:
            return False
        if at > self.cleared.get(request_fingerprint, float("-inf")):
            self.cleared[request_fingerprint] = at
            self.new_clearances[request_fingerprint] = at
        return True

    def complete(self, request_fingerprint: str, at: float) -> None:
        """Records that an upstream ran a request to its end.

        Args:
            request_fingerprint: Fingerprint of the request.
            at: Monotonic time of the completion, in seconds.
        """
        self.completed[request_fingerprint] = at
        self.completed.move_to_end(request_fingerprint)
        if len(self.completed) > _MAX_COMPLETIONS:
            self.completed.popitem(last=False)
        self.clear(request_fingerprint, at)

    def is_protected(self, request_fingerprint: str, at: float) -> bool:
        """Returns whether a completion keeps a death from counting.

        Args:
            request_fingerprint: Fingerprint of the request.
            at: Monotonic time of the death, in seconds.
        """
        completed_at = self.completed.get(request_fingerprint, float("-inf"))
        return completed_at > at - _COMPLETION_PROTECTS_S

    def verdict(self, request_fingerprint: str, now: float) -> Verdict:
        """Returns whether and how a request may run now.

        Args:
            request_fingerprint: Fingerprint of the request.
            now: Monotonic time in seconds.
        """
        if request_fingerprint not in self.crashes:
            return Verdict.RUN
        deaths = self.counted_deaths(request_fingerprint, now)
        if len(deaths) < self.crash_threshold:
            return Verdict.RUN
        common_suspects = set.intersection(
            *(self.suspects[death] for death in deaths)
        )
        if any(
            deaths <= self.counted_deaths(other_fingerprint, now)
            for other_fingerprint in common_suspects - {request_fingerprint}
        ):
            return Verdict.ALONE
        last_death_at = max(
            self.crashes[request_fingerprint][death] for death in deaths
        )
        return (
            Verdict.WAIT
            if now - last_death_at < _PROPAGATION_S
            else Verdict.REFUSE
        )

    def refused_fingerprints(self, now: float) -> list[str]:
        """Returns the fingerprints of requests that are refused now."""
        return sorted(
            request_fingerprint
            for request_fingerprint in self.repeated
            if self.verdict(request_fingerprint, now) is Verdict.REFUSE
        )

    def counted_deaths(self, request_fingerprint: str, now: float) -> set[str]:
        """Returns the recent deaths since the request was last cleared."""
        counted_since = max(
            now - self.keep_s,
            self.cleared.get(request_fingerprint, float("-inf")),
        )
        deaths = self.crashes.get(request_fingerprint, {})
        return {death for death, at in deaths.items() if at > counted_since}

    def crashes_to_send(self, now: float) -> list[Crash]:
        """Returns the crashes that a message to a peer carries.

        They are the new ones and those of repeated suspects that were not
        cleared, up to a limit; suspects of the most deaths come first.
        """
        return [
            Crash(request_fingerprint, death, at)
            for request_fingerprint in self._fingerprints_to_send(now)
            for death, at in self.crashes[request_fingerprint].items()
        ][:_MAX_SENT]

    def cleared_to_send(self, now: float) -> dict[str, float]:
        """Returns the clearances that a message to a peer carries.

        They are the new ones and those of the suspects that it carries.

        Returns:
            Time up to which deaths don't count, by fingerprint.
        """
        fingerprints = [
            *self._fingerprints_to_send(now),
            *heapq.nlargest(
                _MAX_SENT,
                (
                    request_fingerprint
                    for request_fingerprint, at in self.new_clearances.items()
                    if now - at < _SEND_S
                ),
                key=lambda name: self.new_clearances[name],
            ),
        ]
        return {
            request_fingerprint: self.cleared[request_fingerprint]
            for request_fingerprint in fingerprints
            if request_fingerprint in self.cleared
        }

    def expire(self, now: float) -> None:
        """Drops deaths that no longer count, and old completions."""
        for request_fingerprint, deaths in list(self.crashes.items()):
            expired = [
                death for death, at in deaths.items() if at <= now - self.keep_s
            ]
            for death in expired:
                self._drop_death(request_fingerprint, death)
            cleared_at = self.cleared.get(request_fingerprint, now)
            is_clear = cleared_at < now - _SEND_S and not self.counted_deaths(
                request_fingerprint, now
            )
            if not deaths or is_clear:
                self._drop_suspect(request_fingerprint)
        for times in (self.new_crashes, self.new_clearances):
            for request_fingerprint, at in list(times.items()):
                if at <= now - _SEND_S:
                    del times[request_fingerprint]
        while self.completed:
            oldest = next(iter(self.completed))
            if self.completed[oldest] > now - _COMPLETION_PROTECTS_S:
                break
            del self.completed[oldest]

    def _fingerprints_to_send(self, now: float) -> list[str]:
        return heapq.nlargest(
            _MAX_SENT,
            {
                request_fingerprint
                for request_fingerprint in self.repeated
                if self.counted_deaths(request_fingerprint, now)
            }.union(
                request_fingerprint
                for request_fingerprint, at in self.new_crashes.items()
                if now - at < _SEND_S
            ),
            key=self._suspicion,
        )

    def _suspicion(self, request_fingerprint: str) -> tuple[int, float]:
        deaths = self.crashes[request_fingerprint]
        return len(deaths), max(deaths.values(), default=0.0)

    def _drop_least_suspect(self) -> None:
        """Drops an eighth of the suspects, so that this is done rarely."""
        for request_fingerprint in heapq.nsmallest(
            len(self.crashes) - _MAX_SUSPECTS * 7 // 8,
            self.crashes,
            key=self._suspicion,
        ):
            self._drop_suspect(request_fingerprint)

    def _drop_suspect(self, request_fingerprint: str) -> None:
        for death in list(self.crashes[request_fingerprint]):
            self._drop_death(request_fingerprint, death)
        del self.crashes[request_fingerprint]
        self.repeated.discard(request_fingerprint)
        for times in (self.cleared, self.new_crashes, self.new_clearances):
            times.pop(request_fingerprint, None)

    def _drop_death(self, request_fingerprint: str, death: str) -> None:
        del self.crashes[request_fingerprint][death]
        suspects = self.suspects[death]
        suspects.discard(request_fingerprint)
        if not suspects:
            del self.suspects[death]
