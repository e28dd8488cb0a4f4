"""Quarantine for requests that crash the upstreams that run them.

The cause may be a whole request, or a part of its prompt that other requests
share; each has a fingerprint. When an upstream crashes, every request that was
running on it and every shared part of its prompt is a suspect of the death; a
`Crash` pairs one suspect with one death. A request is refused if it or one of
its parts is a suspect of enough deaths, unless other suspects of enough deaths,
which the request doesn't contain, may have caused these. In that case the cause
is ambiguous, and the request may run only on an upstream that runs no other
such suspect: the next death that a faulty request causes then has no other
suspect, and a harmless one completes and is cleared with all its parts.

Engines may have ended by chance, and what is refused can't complete. So each
suspect is tried again a few times, long apart, by one instance.

Instances may all end at any time. So a suspect of enough deaths runs, alone or
as a trial, only once a store keeps its deaths, and each trial is claimed there.

A request that crashes upstreams never completes. Many callers may send equal
requests or share parts, so a completion clears a fingerprint and protects it
for a while: several upstreams that end at once would otherwise incriminate it.

Crashes are exchanged between entry instances as sets, so merging them is
idempotent and independent of order. A request that would be refused waits
until recent crashes have had time to propagate.
"""

import collections
import dataclasses
import enum
import hashlib
import heapq
from collections.abc import Callable, Collection, Iterable

__all__ = [
    "Crash",
    "Quarantine",
    "Verdict",
    "fingerprint",
    "part_fingerprint",
]


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
# Share of a message that suspects of several deaths may fill, and the number of
# deaths of each in it; the rest is for new crashes.
_MAX_REPEATED_SENT = 48
_MAX_DEATHS_SENT = 4
# Number of other suspects that together may have caused a suspect's deaths.
_MAX_EXPLANATIONS = 2
# Time from the last death or trial of a suspect until its first trial, and the
# factor on it for each further one.
_TRIAL_AFTER_S = 30.0
_TRIAL_FACTOR = 10.0
# The platform accepts three late requests of a suspect.
_MAX_TRIALS = 2
_MAX_SUSPECTS = 4096
_MAX_DEATHS_PER_SUSPECT = 16
_MAX_COMPLETIONS = 2048


class Verdict(enum.Enum):
    """Whether and how a request may run, the most lenient first.

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


_STRICTNESS = list(Verdict)


@dataclasses.dataclass(frozen=True)
class _Trials:
    """Trials of one suspect by this instance.

    Attributes:
        count: Number of trials.
        last_at: Monotonic time in seconds of the last one.
    """

    count: int
    last_at: float


@dataclasses.dataclass(frozen=True)
class Crash:
    """One suspect that was running on a replica when it crashed.

    Attributes:
        fingerprint: Fingerprint of the request's content, or of a part of its
            prompt.
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


def part_fingerprint(account: str, part: bytes) -> str:
    """Returns a short hash of a part of a prompt that requests may share.

    The hash includes the account, so that an account that names parts that
    others use gets only its own requests refused.

    Args:
        account: Name of the client account.
        part: Content or ID of the part.
    """
    digest = hashlib.blake2b(part, digest_size=12, person=b"prompt part")
    digest.update(b"\0" + account.encode())
    return digest.hexdigest()


_NO_TRIALS = _Trials(0, float("-inf"))


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
        may_try: Returns whether this instance may let a suspect run again to
            see whether it is harmless.
        trials: Trials by this instance, and earlier ones that the store has,
            by fingerprint.
        is_kept: Returns whether the deaths of a suspect outlast the instances.
        has_claim: Returns whether the next trial of a suspect is claimed.
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
        self.may_try: Callable[[str], bool] = lambda suspect: False
        self.trials: dict[str, _Trials] = {}
        self.is_kept: Callable[[str], bool] = lambda suspect: True
        self.has_claim: Callable[[str], bool] = lambda suspect: True

    def add(self, crashes: Iterable[Crash]) -> None:
        """Merges crashes observed by this instance or received from a peer."""
        for crash in crashes:
            deaths = self.crashes.setdefault(crash.fingerprint, {})
            # The first known time is kept. Peers send the age of a crash, so
            # each exchange would otherwise shift the time.
            if crash.death in deaths:
                continue
            if len(deaths) >= _MAX_DEATHS_PER_SUSPECT and not (
                self._drop_cleared_death(crash.fingerprint)
            ):
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

    def clear(self, suspect: str, at: float) -> bool:
        """Clears a suspect that completed or that an operator released.

        Args:
            suspect: Fingerprint of the request or part.
            at: Monotonic time of the completion or release, in seconds.

        Returns:
            Whether it was a suspect.
        """
        if suspect not in self.crashes:
            return False
        if at > self.cleared.get(suspect, float("-inf")):
            self.cleared[suspect] = at
            self.new_clearances[suspect] = at
        return True

    def complete(self, suspect: str, at: float) -> None:
        """Records that a request, or one that contains a part, completed.

        Args:
            suspect: Fingerprint of the request or part.
            at: Monotonic time of the completion, in seconds.
        """
        self.completed[suspect] = at
        self.completed.move_to_end(suspect)
        if len(self.completed) > _MAX_COMPLETIONS:
            self.completed.popitem(last=False)
        self.clear(suspect, at)

    def is_protected(self, suspect: str, at: float) -> bool:
        """Returns whether a completion keeps a death from counting.

        Args:
            suspect: Fingerprint of the request or part.
            at: Monotonic time of the death, in seconds.
        """
        completed_at = self.completed.get(suspect, float("-inf"))
        return completed_at > at - _COMPLETION_PROTECTS_S

    def verdict(
        self,
        request_fingerprint: str,
        now: float,
        parts: Collection[str] = (),
    ) -> Verdict:
        """Returns whether and how a request may run now.

        Args:
            request_fingerprint: Fingerprint of the request.
            now: Monotonic time in seconds.
            parts: Fingerprints of the shared parts of its prompt.
        """
        contained = {request_fingerprint, *parts}
        verdicts = {
            self._verdict_of_suspect(suspect, contained, now)
            for suspect in contained
            if suspect in self.crashes
        }
        return max(verdicts, key=_STRICTNESS.index, default=Verdict.RUN)

    def _verdict_of_suspect(
        self, suspect: str, contained: set[str], now: float
    ) -> Verdict:
        """Returns the verdict on a request because of one suspect.

        Args:
            suspect: Fingerprint of the suspect.
            contained: All fingerprints of the request, the suspect among them.
            now: Monotonic time in seconds.
        """
        deaths = self.counted_deaths(suspect, now)
        if len(deaths) < self.crash_threshold:
            return Verdict.RUN
        unexplained = self._unexplained_deaths(
            deaths, contained, now, min(_REPEATED, self.crash_threshold)
        )
        # One death by chance, of an upstream that ran the suspect without the
        # others, must not incriminate it.
        if len(unexplained) < max(1, self.crash_threshold - 1):
            return Verdict.ALONE if self.is_kept(suspect) else Verdict.WAIT
        last_death_at = self._last_death_at(suspect, deaths)
        if now - last_death_at < _PROPAGATION_S:
            return Verdict.WAIT
        if self._is_trial_due(suspect, last_death_at, now) and self.has_claim(
            suspect
        ):
            return Verdict.ALONE
        return Verdict.REFUSE

    def begin_run(self, fingerprints: Iterable[str], now: float) -> None:
        """Records that a request begins to run, which may be a trial.

        Args:
            fingerprints: All fingerprints of the request.
            now: Monotonic time in seconds.
        """
        for suspect in fingerprints:
            deaths = self.counted_deaths(suspect, now)
            if len(deaths) < self.crash_threshold:
                continue
            last_death_at = self._last_death_at(suspect, deaths)
            if self._is_trial_due(suspect, last_death_at, now):
                count = self.trials.get(suspect, _NO_TRIALS).count
                self.trials[suspect] = _Trials(count + 1, now)

    def due_trials(self, now: float) -> list[str]:
        """Returns the suspects that this instance may try again."""
        return [
            suspect
            for suspect in self.grave_suspects(now)
            if self._is_trial_due(
                suspect,
                self._last_death_at(suspect, self.counted_deaths(suspect, now)),
                now,
            )
        ]

    def record_trials(self, suspect: str, count: int, last_at: float) -> None:
        """Records earlier trials of a suspect.

        Args:
            suspect: Fingerprint of the request or part.
            count: Number of trials.
            last_at: Monotonic time of the last one, in seconds.
        """
        if count > self.trials.get(suspect, _NO_TRIALS).count:
            self.trials[suspect] = _Trials(count, last_at)

    def trial_count(self, suspect: str) -> int:
        """Returns the number of trials of a suspect."""
        return self.trials.get(suspect, _NO_TRIALS).count

    def _is_trial_due(
        self, suspect: str, last_death_at: float, now: float
    ) -> bool:
        trials = self.trials.get(suspect, _NO_TRIALS)
        delay_s = _TRIAL_AFTER_S * _TRIAL_FACTOR**trials.count
        return (
            trials.count < _MAX_TRIALS
            and now - max(last_death_at, trials.last_at) >= delay_s
            and self.may_try(suspect)
        )

    def _unexplained_deaths(
        self,
        deaths: set[str],
        contained: set[str],
        now: float,
        min_explained: int,
    ) -> set[str]:
        """Returns the deaths that no few suspects outside a request explain.

        One part explains more deaths than each of the many requests that
        contain it; these must not excuse it together.

        Args:
            deaths: Deaths of a suspect that the request contains.
            contained: All fingerprints of the request.
            now: Monotonic time in seconds.
            min_explained: Number of deaths from which a suspect explains them.
        """
        others = set().union(*(self.suspects[death] for death in deaths))
        explanations = [
            other_deaths
            for other in (others & self.repeated) - contained
            if len(other_deaths := self.counted_deaths(other, now))
            >= min_explained
        ]
        unexplained = deaths
        for _ in range(min(_MAX_EXPLANATIONS, len(explanations))):
            unexplained = min(
                (unexplained - other_deaths for other_deaths in explanations),
                key=len,
            )
        return unexplained

    def _last_death_at(self, suspect: str, deaths: set[str]) -> float:
        return max(self.crashes[suspect][death] for death in deaths)

    def lasting_suspects(self, now: float) -> list[str]:
        """Returns the suspects of enough deaths that no completion cleared.

        Requests that contain one are refused or run alone.
        """
        return [
            suspect
            for suspect in self.grave_suspects(now)
            if now
            - self._last_death_at(suspect, self.counted_deaths(suspect, now))
            >= _PROPAGATION_S
        ]

    def grave_suspects(self, now: float) -> list[str]:
        """Returns the suspects of enough deaths, also of recent ones."""
        return sorted(
            suspect
            for suspect in self.repeated
            if len(self.counted_deaths(suspect, now)) >= self.crash_threshold
        )

    def counted_deaths(self, suspect: str, now: float) -> set[str]:
        """Returns the recent deaths since a suspect was last cleared."""
        counted_since = max(
            now - self.keep_s,
            self.cleared.get(suspect, float("-inf")),
        )
        deaths = self.crashes.get(suspect, {})
        return {death for death, at in deaths.items() if at > counted_since}

    def crashes_to_send(self, now: float) -> list[Crash]:
        """Returns the crashes that a message to a peer carries.

        They are those of repeated suspects that were not cleared, suspects of
        the most deaths first, and the new ones, newest first, up to a limit.
        """
        repeated = [
            Crash(suspect, death, at)
            for suspect in self._repeated_to_send(now)
            for death, at in self._deaths_to_send(suspect, now)
        ]
        new = [
            Crash(suspect, death, at)
            for suspect in self._new_to_send(now)
            for death, at in self.crashes[suspect].items()
            if now - at < _SEND_S
        ]
        crashes = dict.fromkeys([*repeated[:_MAX_REPEATED_SENT], *new])
        return list(crashes)[:_MAX_SENT]

    def cleared_to_send(self, now: float) -> dict[str, float]:
        """Returns the clearances that a message to a peer carries.

        They are the new ones and those of the suspects that it carries.

        Returns:
            Time up to which deaths don't count, by fingerprint.
        """
        fingerprints = [
            *self._repeated_to_send(now),
            *self._new_to_send(now),
            *heapq.nlargest(
                _MAX_SENT,
                (
                    suspect
                    for suspect, at in self.new_clearances.items()
                    if now - at < _SEND_S
                ),
                key=lambda name: self.new_clearances[name],
            ),
        ]
        return {
            suspect: self.cleared[suspect]
            for suspect in fingerprints
            if suspect in self.cleared
        }

    def expire(self, now: float) -> None:
        """Drops deaths that no longer count, and old completions."""
        for suspect, deaths in list(self.crashes.items()):
            expired = [
                death for death, at in deaths.items() if at <= now - self.keep_s
            ]
            for death in expired:
                self._drop_death(suspect, death)
            cleared_at = self.cleared.get(suspect, now)
            is_clear = cleared_at < now - _SEND_S and not self.counted_deaths(
                suspect, now
            )
            if not deaths or is_clear:
                self._drop_suspect(suspect)
        for times in (self.new_crashes, self.new_clearances):
            for suspect, at in list(times.items()):
                if at <= now - _SEND_S:
                    del times[suspect]
        while self.completed:
            oldest = next(iter(self.completed))
            if self.completed[oldest] > now - _COMPLETION_PROTECTS_S:
                break
            del self.completed[oldest]

    def _repeated_to_send(self, now: float) -> list[str]:
        return heapq.nlargest(
            _MAX_REPEATED_SENT,
            (
                suspect
                for suspect in self.repeated
                if self.counted_deaths(suspect, now)
            ),
            key=self._suspicion,
        )

    def _new_to_send(self, now: float) -> list[str]:
        return heapq.nlargest(
            _MAX_SENT,
            (
                suspect
                for suspect, at in self.new_crashes.items()
                if now - at < _SEND_S
            ),
            key=lambda suspect: self.new_crashes[suspect],
        )

    def _deaths_to_send(
        self, suspect: str, now: float
    ) -> list[tuple[str, float]]:
        """Returns counted deaths of a suspect, with their times.

        Those that other suspects don't explain come first: without them, the
        receiver's verdict would be more lenient. A suspect of few deaths may
        be in the same request, and then explains none.
        """
        deaths = self.counted_deaths(suspect, now)
        unexplained = self._unexplained_deaths(
            deaths, {suspect}, now, self.crash_threshold
        )
        times = self.crashes[suspect]
        return heapq.nsmallest(
            _MAX_DEATHS_SENT,
            ((death, times[death]) for death in deaths),
            key=lambda death: (death[0] not in unexplained, death[1], death[0]),
        )

    def _suspicion(self, suspect: str) -> tuple[int, float]:
        deaths = self.crashes[suspect]
        return len(deaths), max(deaths.values(), default=0.0)

    def _drop_least_suspect(self) -> None:
        """Drops an eighth of the suspects, so that this is done rarely."""
        for suspect in heapq.nsmallest(
            len(self.crashes) - _MAX_SUSPECTS * 7 // 8,
            self.crashes,
            key=self._suspicion,
        ):
            self._drop_suspect(suspect)

    def _drop_suspect(self, suspect: str) -> None:
        for death in list(self.crashes[suspect]):
            self._drop_death(suspect, death)
        del self.crashes[suspect]
        self.repeated.discard(suspect)
        for times in (self.cleared, self.new_crashes, self.new_clearances):
            times.pop(suspect, None)
        self.trials.pop(suspect, None)

    def _drop_cleared_death(self, suspect: str) -> bool:
        """Drops the oldest death if it was cleared; returns whether it was."""
        deaths = self.crashes[suspect]
        oldest = min(deaths, key=lambda death: (deaths[death], death))
        if deaths[oldest] > self.cleared.get(suspect, float("-inf")):
            return False
        self._drop_death(suspect, oldest)
        return True

    def _drop_death(self, suspect: str, death: str) -> None:
        del self.crashes[suspect][death]
        suspects = self.suspects[death]
        suspects.discard(suspect)
        if not suspects:
            del self.suspects[death]
