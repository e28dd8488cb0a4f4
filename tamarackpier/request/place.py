"""Chooses the replica for a request, over reports that lag.

A policy sees candidates whose load is what the lead last reported, plus what
this entry instance has sent since. Policies are looked up by name.
"""

import dataclasses
import random
from collections.abc import Sequence
from typing import Protocol

from tamarackpier import registry
from tamarackpier.peer import membership

__all__ = ["POLICIES", "Candidate", "Hints", "PlacementPolicy"]

_BOUNDED_LOAD_FACTOR = 1.25
_ZONE_PENALTY = 0.05


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A whole replica that may take the request.

    Attributes:
        replica_id: The replica.
        availability_zone: Where it is.
        reported: Requests running, as last reported.
        sent: Requests this instance sent that the report cannot hold yet.
        slots: Requests it can run at once.
        slowness: Its time between tokens over that of the median replica.
    """

    replica_id: str
    availability_zone: str
    reported_running: int
    sent_since_report: int
    slots: int
    slowness: float = 1.0

    @property
    def load(self) -> float:
        """Share of its slots in use, with what was sent since."""
        return (self.reported_running + self.sent_since_report) / self.slots

    @property
    def has_room(self) -> bool:
        """Whether a slot is free as far as is known."""
        return self.reported_running + self.sent_since_report < self.slots


@dataclasses.dataclass(frozen=True)
class Hints:
    """What about the request matters to placement.

    Attributes:
        availability_zone: Zone of this entry instance.
        prefix_key: Identifies the start of the prompt.
    """

    availability_zone: str
    prefix_key: str = ""


class PlacementPolicy(Protocol):
    """Chooses among candidates that have room."""

    def choose(
        self, candidates: Sequence[Candidate], hints: Hints, rng: random.Random
    ) -> Candidate:
        """Returns one of `candidates`, which is not empty."""


POLICIES: registry.Registry[PlacementPolicy] = registry.Registry(
    "placement policy"
)


def _cost(candidate: Candidate, hints: Hints) -> float:
    is_far = candidate.availability_zone != hints.availability_zone
    cost = (candidate.load + 1 / candidate.slots) * candidate.slowness
    return cost + (_ZONE_PENALTY if is_far else 0.0)


class _Random:
    """Ignores load."""

    def choose(
        self, candidates: Sequence[Candidate], hints: Hints, rng: random.Random
    ) -> Candidate:
        """Returns any candidate."""
        return rng.choice(candidates)


class _LeastReported:
    """Takes the reports at their word."""

    def choose(
        self, candidates: Sequence[Candidate], hints: Hints, rng: random.Random
    ) -> Candidate:
        """Returns the candidate with the least reported load."""
        return min(
            candidates,
            key=lambda each: (
                each.reported_running / each.slots,
                each.replica_id,
            ),
        )


class _TwoChoices:
    """Draws two and takes the better (Mitzenmacher, 2001).

    The load counts what was sent since the report, and a straggler's load
    counts for more, so that it gets less.
    """

    def choose(
        self, candidates: Sequence[Candidate], hints: Hints, rng: random.Random
    ) -> Candidate:
        """Returns the better of two random candidates."""
        if len(candidates) <= 2:
            drawn = list(candidates)
        else:
            drawn = rng.sample(candidates, 2)
        return min(drawn, key=lambda each: _cost(each, hints))


class _PrefixBounded:
    """Sends equal prefixes to one replica while its load is bounded.

    This is consistent hashing with bounded loads (Mirrokni, Thorup and
    Zadimoghaddam, 2018) over rendezvous hashing. It needs no cache events:
    all entry instances agree on the order of replicas for a prefix.
    """

    def choose(
        self, candidates: Sequence[Candidate], hints: Hints, rng: random.Random
    ) -> Candidate:
        """Returns the prefix's first replica that is not overloaded."""
        if not hints.prefix_key:
            return TWO_CHOICES.choose(candidates, hints, rng)
        mean = sum(each.load for each in candidates) / len(candidates)
        by_id = {each.replica_id: each for each in candidates}
        for replica_id in membership.rendezvous(hints.prefix_key, by_id):
            each = by_id[replica_id]
            bound = _BOUNDED_LOAD_FACTOR * mean + 1 / each.slots
            if each.load * each.slowness <= bound:
                return each
        return TWO_CHOICES.choose(candidates, hints, rng)


TWO_CHOICES = _TwoChoices()
POLICIES.register("random")(_Random())
POLICIES.register("least-reported")(_LeastReported())
POLICIES.register("two-choices")(TWO_CHOICES)
POLICIES.register("prefix-bounded")(_PrefixBounded())
