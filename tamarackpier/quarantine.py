"""Quarantine for requests that crash the upstreams that run them.

When a replica crashes, every request that was running on it is a suspect of
its death; a `Crash` pairs one suspect with one death. A request that is a
suspect of enough deaths is refused, unless another request is a suspect of
all the same deaths. In that case the cause is ambiguous, and each of them may
run only on a replica that runs no other such suspect: the next death caused
by the faulty request then has no other suspect, and a harmless request
completes and is cleared.

Crashes are exchanged between entry instances as sets, so merging them is
idempotent and independent of order. A request that would be refused waits
until recent crashes have had time to propagate.
"""

import dataclasses
import enum
import hashlib
from collections.abc import Iterable

__all__ = ["Crash", "Quarantine", "Verdict", "fingerprint"]


_PROPAGATION_S = 2.0


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
        cleared: Monotonic time in seconds at which the request with each
            fingerprint last completed or was released by an operator.
    """

    def __init__(self, crash_threshold: int, keep_s: float) -> None:
        self.crash_threshold = crash_threshold
        self.keep_s = keep_s
        self.crashes: dict[str, dict[str, float]] = {}
        self.cleared: dict[str, float] = {}

    def add(self, crashes: Iterable[Crash]) -> None:
        """Merges crashes observed by this instance or received from a peer."""
        for crash in crashes:
            deaths = self.crashes.setdefault(crash.fingerprint, {})
            # The first known time is kept. Peers send the age of a crash, so
            # each exchange would otherwise shift the time.
            deaths.setdefault(crash.death, crash.at)

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
        self.cleared[request_fingerprint] = max(
            at, self.cleared.get(request_fingerprint, at)
        )
        return True

    def verdict(self, request_fingerprint: str, now: float) -> Verdict:
        """Returns whether and how a request may run now.

        Args:
            request_fingerprint: Fingerprint of the request.
            now: Monotonic time in seconds.
        """
        if request_fingerprint not in self.crashes:
            return Verdict.RUN
        deaths = self._counted_deaths(request_fingerprint, now)
        if len(deaths) < self.crash_threshold:
            return Verdict.RUN
        for other_fingerprint in self.crashes:
            if (
                other_fingerprint != request_fingerprint
                and deaths <= self._counted_deaths(other_fingerprint, now)
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
            for request_fingerprint in self.crashes
            if self.verdict(request_fingerprint, now) is Verdict.REFUSE
        )

    def all_crashes(self) -> list[Crash]:
        """Returns all known crashes, to publish to peers."""
        return [
            Crash(request_fingerprint, death, at)
            for request_fingerprint, deaths in self.crashes.items()
            for death, at in deaths.items()
        ]

    def expire(self, now: float) -> None:
        """Drops deaths that no longer count."""
        for request_fingerprint, deaths in list(self.crashes.items()):
            remaining_deaths = {
                death: at
                for death, at in deaths.items()
                if at > now - self.keep_s
            }
            if remaining_deaths:
                self.crashes[request_fingerprint] = remaining_deaths
            else:
                del self.crashes[request_fingerprint]
                self.cleared.pop(request_fingerprint, None)

    def _counted_deaths(self, request_fingerprint: str, now: float) -> set[str]:
        """Returns the recent deaths since the request was last cleared."""
        counted_since = max(
            now - self.keep_s,
            self.cleared.get(request_fingerprint, float("-inf")),
        )
        deaths = self.crashes[request_fingerprint]
        return {death for death, at in deaths.items() if at > counted_since}
