"""Retry budgets, jittered back-off and the state of each upstream.

A budget ties retries to first attempts, so that in an outage the load on
what is left grows by a fixed share at most, however many callers there are.
"""

import dataclasses
import random

__all__ = ["Backoff", "Breakers", "RetryBudget"]


class RetryBudget:
    """Retries allowed, earned by first attempts.

    Attributes:
        share: Retries earned by each first attempt.
        most: Retries that can be saved up.
        balance: Retries allowed now.
    """

    def __init__(self, share: float, max_balance: float = 10.0) -> None:
        self.share = share
        self.max_balance = max_balance
        self.balance = max_balance

    def earn(self) -> None:
        """Counts a first attempt."""
        self.balance = min(self.max_balance, self.balance + self.share)

    def spend(self) -> bool:
        """Takes one retry; returns whether there was one."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True


@dataclasses.dataclass(frozen=True)
class Backoff:
    """Exponential back-off with full jitter.

    Attributes:
        first_s: Longest wait before the first retry.
        most_s: Longest wait before any retry.
    """

    initial_s: float = 0.05
    max_s: float = 2.0

    def delay_s(self, attempt: int, rng: random.Random) -> float:
        """Returns the wait before a retry; `attempt` counts from 1."""
        longest = min(self.max_s, self.initial_s * 2 ** min(attempt - 1, 30))
        return rng.uniform(0, longest)


@dataclasses.dataclass
class _Breaker:
    failures: int = 0
    open_until: float = 0.0


class Breakers:
    """Circuit breakers, one per upstream.

    Attributes:
        failures_needed: Failures in a row that open a breaker.
        open_s: How long it stays open at first; doubles while the one
            request let through after it fails too.
        most_open_s: Longest time that it stays open.
    """

    def __init__(
        self,
        failure_threshold: int = 3,
        open_s: float = 0.5,
        max_open_s: float = 10.0,
    ) -> None:
        self.failure_threshold = failure_threshold
        self.open_s = open_s
        self.max_open_s = max_open_s
        self.breakers: dict[str, _Breaker] = {}

    def allows(self, upstream: str, now: float) -> bool:
        """Returns whether an upstream may be tried now."""
        breaker = self.breakers.get(upstream)
        return breaker is None or now >= breaker.open_until

    def record_success(self, upstream: str) -> None:
        """Notes a success, which closes the breaker."""
        self.breakers.pop(upstream, None)

    def record_failure(
        self, upstream: str, now: float, rng: random.Random
    ) -> None:
        """Notes a failure."""
        breaker = self.breakers.setdefault(upstream, _Breaker())
        if now < breaker.open_until:
            # It was sent before the breaker opened, for the same cause.
            return
        breaker.failures += 1
        excess = breaker.failures - self.failure_threshold
        if excess >= 0:
            longest = min(self.max_open_s, self.open_s * 2 ** min(excess, 30))
            breaker.open_until = now + longest * rng.uniform(0.5, 1.0)
