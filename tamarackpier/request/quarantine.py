"""Refuses requests that crash the upstreams that run them.

When a replica dies, every request that ran on it is a suspect of that death.
A request that was at enough deaths is refused, unless another suspect was at
all of them too: then nobody can tell which one it was, and each of them may
run only where no other such suspect runs. The guilty one's next death is not
shared, and an innocent one completes and is cleared. Facts are spread
between entry instances as sets, so merging is idempotent and in any order;
until they have had time to arrive, a request that would be refused waits.
"""

import dataclasses
import enum
import hashlib
from collections.abc import Iterable

__all__ = ["Crash", "Quarantine", "Verdict", "fingerprint"]


_SPREAD_S = 2.0


class Verdict(enum.Enum):
    """How a request may run."""

    RUN = "run"
    ALONE = "alone"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True)
class Crash:
    """One request that ran on a replica when it died.

    Attributes:
        fingerprint: What identifies the request's content.
        death: Identifies the death: replica and fencing number.
        at: Monotonic time of the death.
    """

    fingerprint: str
    death: str
    at: float


def fingerprint(account: str, content: bytes) -> str:
    """Returns a short hash of a request's content.

    The account is part of it, so that nobody can have another's request
    refused by sending the same content.
    """
    hashed = hashlib.blake2b(content, digest_size=12)
    hashed.update(b"\0" + account.encode())
    return hashed.hexdigest()


class Quarantine:
    """What is known of requests that crash upstreams.

    Attributes:
        crashes_needed: Deaths after which a request is a strong suspect.
        keep_s: How long a death counts.
        crashes: The time of each death, by fingerprint and death.
        cleared: When each fingerprint last completed or was lifted.
    """

    def __init__(self, crash_threshold: int, keep_s: float) -> None:
        self.crash_threshold = crash_threshold
        self.keep_s = keep_s
        self.crashes: dict[str, dict[str, float]] = {}
        self.cleared: dict[str, float] = {}

    def add(self, crashes: Iterable[Crash]) -> None:
        """Takes facts, this instance's own or a peer's."""
        for crash in crashes:
            deaths = self.crashes.setdefault(crash.fingerprint, {})
            # The first moment stays, or relaying would shift it each time.
            deaths.setdefault(crash.death, crash.at)

    def clear(self, request: str, at: float) -> bool:
        """Notes that a request completed, or that an operator lifted it.

        Returns:
            Whether the request was a suspect.
        """
        if request not in self.crashes:
            return False
        self.cleared[request] = max(at, self.cleared.get(request, at))
        return True

    def verdict(self, request: str, now: float) -> Verdict:
        """Returns how a request may run now."""
        if request not in self.crashes:
            return Verdict.RUN
        deaths = self._current(request, now)
        if len(deaths) < self.crash_threshold:
            return Verdict.RUN
        for other in self.crashes:
            if other != request and deaths <= self._current(other, now):
                return Verdict.ALONE
        last_at = max(self.crashes[request][death] for death in deaths)
        return Verdict.WAIT if now - last_at < _SPREAD_S else Verdict.REFUSE

    def refused(self, now: float) -> list[str]:
        """Returns the fingerprints that are refused now."""
        return sorted(
            request
            for request in self.crashes
            if self.verdict(request, now) is Verdict.REFUSE
        )

    def all_crashes(self) -> list[Crash]:
        """Returns every fact, to be spread."""
        return [
            Crash(request, death, at)
            for request, deaths in self.crashes.items()
            for death, at in deaths.items()
        ]

    def expire(self, now: float) -> None:
        """Drops what no longer counts."""
        for request, deaths in list(self.crashes.items()):
            kept = {
                death: at
                for death, at in deaths.items()
                if at > now - self.keep_s
            }
            if kept:
                self.crashes[request] = kept
            else:
                del self.crashes[request]
                self.cleared.pop(request, None)

    def _current(self, request: str, now: float) -> set[str]:
        since = max(now - self.keep_s, self.cleared.get(request, float("-inf")))
        deaths = self.crashes[request]
        return {death for death, at in deaths.items() if at > since}
