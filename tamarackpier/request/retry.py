"""Retry budgets, jittered exponential backoff and circuit breakers.

A budget limits retries to a fraction of first attempts. In an outage the load
on the remaining upstreams therefore grows by at most that fraction,
regardless of the number of callers.
"""

import dataclasses
import random

__all__ = ["Backoff", "Breakers", "RetryBudget"]


class RetryBudget:
    """A budget of retries, to which each first attempt adds a fraction of one.

    Attributes:
        share: Retries that each first attempt adds.
        max_balance: Maximum number of retries that can accumulate.
        balance: Retries currently available.
    """

    def __init__(self, share: float, max_balance: float = 10.0) -> None:
        self.share = share
        self.max_balance = max_balance
        self.balance = max_balance

    def count_first_attempt(self) -> None:
        """Adds the retries that a first attempt allows."""
        self.balance = min(self.max_balance, self.balance + self.share)

    @property
    def has_retry(self) -> bool:
        """Whether a retry is available."""
        return self.balance >= 1

    def spend(self) -> bool:
        """Takes one retry and returns whether one was available."""
        if not self.has_retry:
            return False
        self.balance -= 1
        return True


@dataclasses.dataclass(frozen=True)
class Backoff:
    """Exponential backoff with full jitter.

    Attributes:
        initial_s: Maximum delay in seconds before the first retry; doubled
            for each further one.
        max_s: Maximum delay in seconds before any retry.
    """

    initial_s: float = 0.05
    max_s: float = 2.0

    def delay_s(self, retry_number: int, rng: random.Random) -> float:
        """Returns the delay before a retry, in seconds.

        Args:
            retry_number: Number of the retry; the first is 1.
            rng: Source of the random part of the delay.
        """
        # The exponent is limited because a huge power has no float value.
        max_delay_s = min(
            self.max_s, self.initial_s * 2 ** min(retry_number - 1, 30)
        )
        return rng.uniform(0, max_delay_s)


@dataclasses.dataclass
class _Breaker:
    """State of one circuit breaker.

    Attributes:
        failures: Number of failures since the last success, except those
            while the breaker was open.
        open_until: Monotonic time in seconds until which the upstream is not
            tried.
    """

    failures: int = 0
    open_until: float = 0.0


class Breakers:
    """Circuit breakers, one per upstream.

    Attributes:
        failure_threshold: Consecutive failures that open a breaker.
        open_s: Maximum time in seconds that a breaker stays open the first
            time; doubled by every failure after it has been open.
        max_open_s: Maximum time in seconds that a breaker stays open.
        breakers: State of the breakers by upstream.
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
        """Returns whether an upstream may be tried.

        Args:
            upstream: ID of the upstream.
            now: Monotonic time in seconds.
        """
        breaker = self.breakers.get(upstream)
        return breaker is None or now >= breaker.open_until

    def record_success(self, upstream: str) -> None:
        """Records a success, which closes the breaker."""
        self.breakers.pop(upstream, None)

    def record_failure(
        self, upstream: str, now: float, rng: random.Random
    ) -> None:
        """Records a failure, which may open the breaker.

        Args:
            upstream: ID of the upstream.
            now: Monotonic time in seconds.
            rng: Source of the random part of the time that it stays open.
        """
        breaker = self.breakers.setdefault(upstream, _Breaker())
        if now < breaker.open_until:
            # The request was sent before the breaker opened, so its failure
            # has the same cause and does not count again.
            return
        breaker.failures += 1
        extra_failures = breaker.failures - self.failure_threshold
        if extra_failures >= 0:
            # The exponent is limited because a huge power has no float value.
            backoff_s = min(
                self.max_open_s, self.open_s * 2 ** min(extra_failures, 30)
            )
            breaker.open_until = now + backoff_s * rng.uniform(0.5, 1.0)
