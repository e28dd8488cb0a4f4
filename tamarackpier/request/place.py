"""Placement policies, which choose a replica from stale load reports.

A policy sees candidate replicas whose load is the lead instance's last report
plus the requests that this entry instance has sent since. Policies are looked
up by name.
"""

import dataclasses
import random
from collections.abc import Sequence
from typing import Protocol

from tamarackpier import registry
from tamarackpier.peer import membership

__all__ = ["POLICIES", "Candidate", "Hints", "PlacementPolicy"]

# Multiple of the mean load up to which a replica is sent its prefixes.
_BOUNDED_LOAD_FACTOR = 1.25
# Cost of a replica in another availability zone, as a fraction of its slots.
_ZONE_PENALTY = 0.05


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A replica that may run the request and whose members are all verified.

    Attributes:
        replica_id: ID of the replica.
        availability_zone: Availability zone of the replica.
        reported_running: Running requests in the last report.
        in_flight_change: Change in this instance's requests in flight that
            the report does not include yet.
        slots: Number of requests the replica can run concurrently.
        slowness: Time between tokens relative to the median replica.
    """

    replica_id: str
    availability_zone: str
    reported_running: int
    in_flight_change: int
    slots: int
    slowness: float = 1.0

    @property
    def load(self) -> float:
        """Fraction of the slots in use, with the change since the report."""
        return (self.reported_running + self.in_flight_change) / self.slots

    @property
    def has_room(self) -> bool:
        """Whether the replica is estimated to have a free slot."""
        return self.reported_running + self.in_flight_change < self.slots


@dataclasses.dataclass(frozen=True)
class Hints:
    """What placement takes into account besides the candidates.

    Attributes:
        availability_zone: Availability zone of this entry instance.
        prefix_key: Start of the prompt; empty if unknown.
    """

    availability_zone: str
    prefix_key: str = ""


class PlacementPolicy(Protocol):
    """Chooses among candidates that have a free slot."""

    def choose(
        self, candidates: Sequence[Candidate], hints: Hints, rng: random.Random
    ) -> Candidate:
        """Returns one of `candidates`, which must not be empty."""


POLICIES: registry.Registry[PlacementPolicy] = registry.Registry(
    "placement policy"
)


def _cost(candidate: Candidate, hints: Hints) -> float:
    """Returns the load with the request, weighted by slowness and zone."""
    is_remote_zone = candidate.availability_zone != hints.availability_zone
    cost = (candidate.load + 1 / candidate.slots) * candidate.slowness
    return cost + (_ZONE_PENALTY if is_remote_zone else 0.0)


class _Random:
    """Chooses uniformly at random, regardless of load."""

    def choose(
        self, candidates: Sequence[Candidate], hints: Hints, rng: random.Random
    ) -> Candidate:
        """Returns a random candidate."""
        return rng.choice(candidates)


class _LeastReported:
    """Chooses by reported load, not corrected for requests sent since."""

    def choose(
        self, candidates: Sequence[Candidate], hints: Hints, rng: random.Random
    ) -> Candidate:
        """Returns the candidate with the least reported load."""
        return min(
            candidates,
            key=lambda candidate: (
                candidate.reported_running / candidate.slots,
                candidate.replica_id,
            ),
        )


class _TwoChoices:
    """Takes the better of two random candidates (Mitzenmacher, 2001).

    The load includes requests sent since the report. It is weighted by the
    replica's slowness, so that stragglers get fewer requests.
    """

    def choose(
        self, candidates: Sequence[Candidate], hints: Hints, rng: random.Random
    ) -> Candidate:
        """Returns the better of two random candidates."""
        if len(candidates) <= 2:
            sampled = list(candidates)
        else:
            sampled = rng.sample(candidates, 2)
        return min(sampled, key=lambda candidate: _cost(candidate, hints))


class _PrefixBounded:
    """Sends equal prefixes to the same replica while its load is bounded.

    This is consistent hashing with bounded loads (Mirrokni, Thorup and
    Zadimoghaddam, 2018) over rendezvous hashing. It needs no events from
    the engines' prefix caches, because all entry instances agree on the order
    of replicas for a prefix.
    """

    def choose(
        self, candidates: Sequence[Candidate], hints: Hints, rng: random.Random
    ) -> Candidate:
        """Returns the first replica for the prefix that is not overloaded."""
        if not hints.prefix_key:
            return TWO_CHOICES.choose(candidates, hints, rng)
        mean_load = sum(candidate.load for candidate in candidates) / len(
            candidates
        )
        by_id = {candidate.replica_id: candidate for candidate in candidates}
        for replica_id in membership.rendezvous(hints.prefix_key, by_id):
            candidate = by_id[replica_id]
            max_load = _BOUNDED_LOAD_FACTOR * mean_load + 1 / candidate.slots
            if candidate.load * candidate.slowness <= max_load:
                return candidate
        return TWO_CHOICES.choose(candidates, hints, rng)


TWO_CHOICES = _TwoChoices()
POLICIES.register("random")(_Random())
POLICIES.register("least-reported")(_LeastReported())
POLICIES.register("two-choices")(TWO_CHOICES)
POLICIES.register("prefix-bounded")(_PrefixBounded())
