"""Selects the upstream of an attempt; does no I/O.

The default chooser balances the load: a request goes to the one of a few
upstreams, drawn at random, whose first event is expected soonest. The
candidates tell which upstreams have no capacity for the request; the relay
offers these to a chooser only for a request that may have run already.
"""

import dataclasses
import math
import random
from collections.abc import Callable, Iterable

from tamarackpier import registry
from tamarackpier.fleet import model
from tamarackpier.peer import membership
from tamarackpier.routing import model as routing_model
from tamarackpier.traffic import load

__all__ = [
    "CHOOSERS",
    "Candidate",
    "SelectionCriteria",
    "engine_candidates",
    "event_interval_s",
    "first_event_s",
    "replica_candidates",
]

# Requests per slot that an engine of a plain service may hold.
_MAX_REQUESTS_PER_SLOT = 1.5
# Share of the latency objective that the expected first event may use; the
# rest is slack.
_ON_TIME_SHARE = 0.8
# Share of its slots in use below which a replica takes any request.
_LIGHT_LOAD_SHARE = 0.6
# Round trip to another availability zone, as the platform specifies it.
_CROSS_ZONE_RTT_S = 0.003
# Largest random share that is added to a cost, so that instances with the same
# view choose differently.
_JITTER = 0.15
# Maximum number of upstreams that are compared for a request, and of those in
# the instance's own zone. All are of one zone if there is only one.
_CHOICES = 3
_NEAR_CHOICES = 2
# Ratio to the lowest cost above which an upstream isn't drawn.
_MAX_COST_RATIO = 2.0
# Difference from the least delay above which an upstream isn't drawn, and the
# largest random delay that is added, so that instances choose differently.
_MAX_DELAY_DIFFERENCE_S = 0.02
_DELAY_JITTER_S = 0.01
# Least number of upstreams of its own zone that an instance prefers, so that it
# sends to each often enough to use a connection again before it is closed; and
# number of instances that prefer each of them, for even use.
_MIN_PREFERRED = 3
_PREFERRED_BY = 4
# Ratios of a preferred one's cost to the lowest of all, and of its requests to
# their mean, up to which it is taken.
_MAX_PREFERRED_COST_RATIO = 1.25
_MAX_PREFERRED_LOAD_RATIO = 0.9
# Increase of an upstream's cost at a failure rate of 1, as a multiple of its
# expected time.
_FAILURE_WEIGHT = 10.0


@dataclasses.dataclass(frozen=True)
class Candidate:
    """An upstream that could take the request.

    Attributes:
        engine: Engine to send to; the lead of a replica.
        key: Key of the replica; None for an engine of a plain service.
        usage: Requests known to be in flight at the upstream.
        slots: Number of requests that the upstream runs at once.
        expected_s: Expected time to the first event or the answer, in seconds.
        has_capacity: Whether the upstream has capacity for the request.
        failure_rate: Recent share of its answers that failed, 0 to 1.
        reading_s: Time that reading the request's prompt takes there, in
            seconds.
    """

    engine: model.EngineRecord
    key: model.ReplicaKey | None
    usage: load.Usage
    slots: int
    expected_s: float
    has_capacity: bool
    failure_rate: float = 0.0
    reading_s: float = 0.0

    @property
    def upstream(self) -> str:
        """ID of the replica, or of the engine of a plain service.

        A replica that formed again under the same lead is another upstream.
        """
        return self.key.replica if self.key is not None else self.engine.id


@dataclasses.dataclass(frozen=True)
class SelectionCriteria:
    """Properties of a request and its instance that decide the selection.

    Attributes:
        availability_zone: Availability zone of this instance.
        prompt_tokens: Number of prompt tokens.
        objective_s: Latency objective of the first event, in seconds.
        instance_id: ID of this instance.
        instances: Number of instances.
    """

    availability_zone: str
    prompt_tokens: int = 0
    objective_s: float = 1.0
    instance_id: str = ""
    instances: int = 1


Chooser = Callable[
    [list[Candidate], SelectionCriteria, random.Random], Candidate
]
CHOOSERS: registry.Registry[Chooser] = registry.Registry("chooser")


def _cost(candidate: Candidate, criteria: SelectionCriteria) -> float:
    """Returns the time that a request is expected to take, with failures."""
    is_other_zone = (
        candidate.engine.availability_zone != criteria.availability_zone
    )
    expected_s = candidate.expected_s + (
        _CROSS_ZONE_RTT_S if is_other_zone else 0.0
    )
    return expected_s * (1 + _FAILURE_WEIGHT * candidate.failure_rate)


@CHOOSERS.register("few_choices")
def _few_choices(
    candidates: list[Candidate], criteria: SelectionCriteria, rng: random.Random
) -> Candidate:
    """Returns the best of a few that are drawn from all but the worst.

    Many instances learn of the same loads late, so the upstream that seems
    best to one seems best to all (Mitzenmacher, "How useful is old
    information?", 2000). Loads in the own zone are known sooner, so more are
    drawn from it.
    """
    costs = [_cost(candidate, criteria) for candidate in candidates]
    max_cost = _MAX_COST_RATIO * min(costs)
    drawn = _draw_few(candidates, costs, max_cost, criteria, rng)
    chosen = min(
        drawn, key=lambda index: costs[index] * rng.uniform(1, 1 + _JITTER)
    )
    return candidates[chosen]


@CHOOSERS.register("preferred_first")
def _preferred_first(
    candidates: list[Candidate], criteria: SelectionCriteria, rng: random.Random
) -> Candidate:
    """Returns one of a few fixed upstreams, or one of all if these are worse.

    Each instance of a large fleet sends few requests a second, so that spread
    over all upstreams hardly any finds a connection that is still open. The
    fixed ones differ between instances by a hash, so that upstreams are
    preferred by equally many. Answers to loads that are known to be uneven:
    a preferred upstream with more requests than the others is left out.
    """
    near = [
        candidate
        for candidate in candidates
        if candidate.engine.availability_zone == criteria.availability_zone
    ]
    by_upstream = {candidate.upstream: candidate for candidate in near}
    names = membership.rendezvous(criteria.instance_id, by_upstream)
    # The zones have about equally many upstreams and instances.
    count = max(
        _MIN_PREFERRED,
        math.ceil(_PREFERRED_BY * len(candidates) / criteria.instances),
    )
    preferred = [by_upstream[name] for name in names[:count]]
    if preferred:
        mean = sum(one.usage.running for one in candidates) / len(candidates)
        best = min(
            rng.sample(preferred, min(_NEAR_CHOICES, len(preferred))),
            key=lambda one: (
                one.usage.running + rng.random(),
                _cost(one, criteria),
            ),
        )
        lowest = min(_cost(one, criteria) for one in candidates)
        if (
            _cost(best, criteria) <= _MAX_PREFERRED_COST_RATIO * lowest
            and best.usage.running <= mean * _MAX_PREFERRED_LOAD_RATIO
        ):
            return best
    return _few_choices(candidates, criteria, rng)


def _draw_few(
    candidates: list[Candidate],
    costs: list[float],
    max_cost: float,
    criteria: SelectionCriteria,
    rng: random.Random,
) -> list[int]:
    """Returns the indexes of a few upstreams that cost at most `max_cost`."""
    near: list[int] = []
    far: list[int] = []
    for index, candidate in enumerate(candidates):
        if costs[index] <= max_cost:
            zone = candidate.engine.availability_zone
            (near if zone == criteria.availability_zone else far).append(index)
    drawn = rng.sample(near, min(_NEAR_CHOICES, len(near)))
    far_count = min(_CHOICES - len(drawn), len(far))
    return drawn + rng.sample(far, far_count)


@CHOOSERS.register("least_delay")
def _least_delay(
    candidates: list[Candidate], criteria: SelectionCriteria, rng: random.Random
) -> Candidate:
    """Returns the one of a few at which the request delays least.

    The delay is that of this request, and the pause that reading its prompt
    puts into the streams that run there: a long prompt goes where few run, a
    short one where no long one is being read. The fixed part of the delay is
    the same everywhere, so differences are compared instead of ratios.
    """
    delays_s = [
        _cost(candidate, criteria)
        + candidate.reading_s
        * max(0, candidate.usage.running)
        / max(1, candidate.slots)
        for candidate in candidates
    ]
    max_delay_s = min(delays_s) + _MAX_DELAY_DIFFERENCE_S
    drawn = _draw_few(candidates, delays_s, max_delay_s, criteria, rng)
    chosen = min(
        drawn,
        key=lambda index: delays_s[index] + rng.uniform(0, _DELAY_JITTER_S),
    )
    return candidates[chosen]


@CHOOSERS.register("soonest")
def _soonest(
    candidates: list[Candidate], criteria: SelectionCriteria, rng: random.Random
) -> Candidate:
    return min(
        candidates,
        key=lambda candidate: (
            _cost(candidate, criteria) * rng.uniform(1, 1 + _JITTER)
        ),
    )


@CHOOSERS.register("random")
def _random(
    candidates: list[Candidate], criteria: SelectionCriteria, rng: random.Random
) -> Candidate:
    return rng.choice(candidates)


def replica_candidates(
    replicas: Iterable[model.Replica],
    spec: routing_model.EngineSpec,
    usage_of: Callable[[model.ReplicaKey], load.Usage],
    slowness_of: Callable[[model.ReplicaKey], float],
    criteria: SelectionCriteria,
) -> list[Candidate]:
    """Returns the replicas as candidates, with the expected first-event time.

    A replica whose first event would miss the objective takes no more requests
    unless its load is light: a caller that is refused at once is no worse off
    than one whose answer is late, and the requests that the replica runs stay
    on time.

    Args:
        replicas: Replicas that serve the model.
        spec: Capacity and timing of the service's engines.
        usage_of: Returns the requests known to be in flight at a replica.
        slowness_of: Returns the factor by which a replica is slower than
            expected.
        criteria: Properties of the request.
    """
    candidates = []
    for replica in replicas:
        lead = replica.lead
        model_spec = spec.model(replica.model)
        if lead is None or model_spec is None:
            continue
        usage = usage_of(replica.key)
        expected_s = first_event_s(
            spec, model_spec, usage, criteria.prompt_tokens
        )
        expected_s *= slowness_of(replica.key)
        is_lightly_loaded = usage.running < _LIGHT_LOAD_SHARE * lead.slots
        is_on_time = expected_s <= _ON_TIME_SHARE * criteria.objective_s
        candidates.append(
            Candidate(
                lead,
                replica.key,
                usage,
                lead.slots,
                expected_s,
                is_lightly_loaded or is_on_time,
                reading_s=model_spec.pace
                * criteria.prompt_tokens
                / spec.prefill_tokens_per_s,
            )
        )
    return candidates


def event_interval_s(
    spec: routing_model.EngineSpec, model_spec: routing_model.ModelSpec
) -> float:
    """Returns the time between a stream's events, in seconds.

    All slots are assumed to be in use. A replica runs `spec.stride` token steps
    in one pass and sends one event of each stream after it.
    """
    step_s = spec.step_s + spec.slots * spec.step_s_per_sequence
    return model_spec.pace * spec.stride * step_s


def answer_s(
    spec: routing_model.EngineSpec,
    model_spec: routing_model.ModelSpec,
    answer_tokens: int,
) -> float:
    """Returns the time from a stream's first event to its end, in seconds.

    All slots are assumed to be in use.

    Args:
        spec: Capacity and timing of the service's engines.
        model_spec: Model that answers.
        answer_tokens: Tokens to generate; 0 if the request does not say.
    """
    tokens = answer_tokens or spec.mean_answer_tokens
    return event_interval_s(spec, model_spec) / spec.stride * tokens


def first_event_s(
    spec: routing_model.EngineSpec,
    model_spec: routing_model.ModelSpec,
    usage: load.Usage,
    prompt_tokens: int,
) -> float:
    """Returns the expected time to the first event at a replica, in seconds.

    Args:
        spec: Capacity and timing of the replica's engines.
        model_spec: Model that the replica serves.
        usage: Requests known to be in flight at the replica.
        prompt_tokens: Prompt tokens of the request.
    """
    running = min(usage.running + 1, spec.slots)
    step_s = spec.step_s + running * spec.step_s_per_sequence
    reading_s = (
        usage.reading_tokens + prompt_tokens
    ) / spec.prefill_tokens_per_s
    expected_s = model_spec.pace * (1.5 * spec.stride * step_s + reading_s)
    queued = usage.running + 1 - spec.slots
    if queued > 0:
        # With n slots, one becomes free every 1/n of the mean answer time.
        answer_s = model_spec.pace * step_s * spec.mean_answer_tokens
        expected_s += queued * answer_s / spec.slots
    return expected_s


def engine_candidates(
    engines: Iterable[model.EngineRecord],
    usage_of: Callable[[str], load.Usage],
    latency_of: Callable[[str], float],
    failure_rate_of: Callable[[str], float],
) -> list[Candidate]:
    """Returns the engines of a plain service as candidates.

    Args:
        engines: Engines of the service.
        usage_of: Returns the requests known to be in flight at an engine.
        latency_of: Returns the expected latency of an engine, in seconds.
        failure_rate_of: Returns the recent failure rate of an engine.
    """
    candidates = []
    for engine in engines:
        usage = usage_of(engine.id)
        latency_factor = 1 + usage.running / max(1, engine.slots)
        expected_s = latency_of(engine.id) * latency_factor
        candidates.append(
            Candidate(
                engine,
                None,
                usage,
                engine.slots,
                expected_s,
                usage.running < engine.slots * _MAX_REQUESTS_PER_SLOT,
                failure_rate_of(engine.id),
            )
        )
    return candidates
