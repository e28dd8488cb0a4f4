"""Invariant checks that also run in production.

A breach is counted and logged, and the check returns False so that the caller
can take the safe branch. In tests and soak runs, a breach raises.
"""

import collections
import dataclasses
from collections.abc import Callable

from absl import logging

__all__ = ["Breach", "BreachError", "Invariants"]


@dataclasses.dataclass(frozen=True)
class Breach:
    """One violation of an invariant.

    Attributes:
        name: The invariant's name.
        detail: Description of the observed state.
    """

    name: str
    detail: str


class BreachError(AssertionError):
    """Raised on a breach, after it is counted, by a strict `Invariants`."""


class Invariants:
    """Checks invariants and counts checks and breaches of each.

    Attributes:
        strict: Whether a breach raises `BreachError`.
        checks: Number of checks, by invariant.
        breaches: Number of breaches, by invariant.
        last_breach: The most recent breach, or None.
    """

    def __init__(self, strict: bool = False) -> None:
        self.strict = strict
        self.checks: collections.Counter[str] = collections.Counter()
        self.breaches: collections.Counter[str] = collections.Counter()
        self.last_breach: Breach | None = None

    def hold(self, name: str, ok: bool, detail: Callable[[], str]) -> bool:
        """Checks one invariant and returns `ok`.

        Args:
            name: The invariant's name.
            ok: Whether it holds.
            detail: Returns the description; called only on a breach, so that
                a check stays cheap.

        Raises:
            BreachError: The invariant does not hold and `strict` is set.
        """
        self.checks[name] += 1
        if not ok:
            self._breach(Breach(name, detail()))
        return ok

    def _breach(self, breach: Breach) -> None:
        self.breaches[breach.name] += 1
        self.last_breach = breach
        logging.error("invariant %s broken: %s", breach.name, breach.detail)
        if self.strict:
            raise BreachError(f"{breach.name}: {breach.detail}")
