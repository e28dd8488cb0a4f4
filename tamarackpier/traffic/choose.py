"""Chooses the upstream of an attempt, free of I/O.

Answers uneven load: a request goes where its first event is expected soonest,
and nowhere that already has as much as it can bear.
"""

import dataclasses
import random
from collections.abc import Callable, Iterable

from tamarackpier import registry
from tamarackpier.fleet import model
from tamarackpier.routing import model as routing_model
from tamarackpier.traffic import load

__all__ = [
    "CHOOSERS",
    "Option",
    "Wish",
    "engine_options",
    "first_event_s",
    "pass_s",
    "replica_options",
]

_QUEUE_FACTOR = 1.5  # Requests per slot that a plain engine may hold.
_ON_TIME_SHARE = 0.8  # Of the objective, for what is expected; rest is slack.
_CALM_SHARE = 0.6  # Of its slots, below which a replica takes any request.
_FAR_S = 0.003  # Round trip to another availability zone, from the sheet.
_JITTER = 0.15  # Keeps instances with the same view from the same choice.
_FAILING_WEIGHT = 10.0


@dataclasses.dataclass(frozen=True)
class Option:
    """An upstream that could take the request.

    Attributes:
        engine: The engine to send to.
        key: Its replica; None for a plain service's engine.
        usage: What it runs, as far as is known.
        slots: Requests that it runs at once.
        expected_s: Expected time to the first event or the answer.
        has_room: Whether it may be given the request.
        failing: Share of its answers that failed lately.
    """

    engine: model.EngineRecord
    key: model.ReplicaKey | None
    usage: load.Usage
    slots: int
    expected_s: float
    has_room: bool
    failing: float = 0.0

    @property
    def upstream(self) -> str:
        """What an attempt is made at: a replica, or a plain engine.

        A replica that formed anew under the same lead is another upstream.
        """
        return self.key.replica if self.key is not None else self.engine.id


@dataclasses.dataclass(frozen=True)
class Wish:
    """What the request brings to the choice.

    Attributes:
        availability_zone: Zone of this instance.
        prompt_tokens: Tokens to read.
        objective_s: Latency objective of the first event.
    """

    availability_zone: str
    prompt_tokens: int = 0
    objective_s: float = 1.0


Chooser = Callable[[list[Option], Wish, random.Random], Option]
CHOOSERS: registry.Registry[Chooser] = registry.Registry("chooser")


@CHOOSERS.register("soonest")
def _soonest(options: list[Option], wish: Wish, rng: random.Random) -> Option:
    def cost(option: Option) -> float:
        is_far = option.engine.availability_zone != wish.availability_zone
        expected_s = option.expected_s + (_FAR_S if is_far else 0.0)
        expected_s *= 1 + _FAILING_WEIGHT * option.failing
        return expected_s * rng.uniform(1, 1 + _JITTER)

    return min(options, key=cost)


@CHOOSERS.register("random")
def _random(options: list[Option], wish: Wish, rng: random.Random) -> Option:
    return rng.choice(options)


def replica_options(
    replicas: Iterable[model.Replica],
    spec: routing_model.EngineSpec,
    usage_of: Callable[[model.ReplicaKey], load.Usage],
    slowness_of: Callable[[model.ReplicaKey], float],
    wish: Wish,
) -> list[Option]:
    """Returns the replicas as options, with their expected first event.

    A replica that would be late already takes no more: whoever is refused at
    once loses nothing that waiting would have given, and the others stay on
    time.
    """
    options = []
    for replica in replicas:
        lead = replica.lead
        kind = spec.model(replica.model)
        if lead is None or kind is None:
            continue
        usage = usage_of(replica.key)
        expected_s = first_event_s(spec, kind, usage, wish.prompt_tokens)
        expected_s *= slowness_of(replica.key)
        is_calm = usage.running < _CALM_SHARE * lead.slots
        is_on_time = expected_s <= _ON_TIME_SHARE * wish.objective_s
        options.append(
            Option(
                lead,
                replica.key,
                usage,
                lead.slots,
                expected_s,
                is_calm or is_on_time,
            )
        )
    return options


def pass_s(
    spec: routing_model.EngineSpec, kind: routing_model.ModelSpec
) -> float:
    """Returns the time of one pass of a replica with all slots in use."""
    step_s = spec.step_s + spec.slots * spec.step_s_per_sequence
    return kind.pace * spec.stride * step_s


def first_event_s(
    spec: routing_model.EngineSpec,
    kind: routing_model.ModelSpec,
    usage: load.Usage,
    prompt_tokens: int,
) -> float:
    """Returns the expected time to a first event at a replica."""
    running = min(usage.running + 1, spec.slots)
    step_s = spec.step_s + running * spec.step_s_per_sequence
    reading_s = (
        usage.reading_tokens + prompt_tokens
    ) / spec.prefill_tokens_per_s
    expected_s = kind.pace * (1.5 * spec.stride * step_s + reading_s)
    excess = usage.running + 1 - spec.slots
    if excess > 0:
        # A slot frees once in the mean time of an answer over all slots.
        answer_s = kind.pace * step_s * spec.mean_answer_tokens
        expected_s += excess * answer_s / spec.slots
    return expected_s


def engine_options(
    engines: Iterable[model.EngineRecord],
    usage_of: Callable[[str], load.Usage],
    latency_of: Callable[[str], float],
    failing_of: Callable[[str], float],
) -> list[Option]:
    """Returns a plain service's engines as options."""
    options = []
    for each in engines:
        usage = usage_of(each.id)
        rounds = 1 + usage.running / max(1, each.slots)
        expected_s = latency_of(each.id) * rounds
        options.append(
            Option(
                each,
                None,
                usage,
                each.slots,
                expected_s,
                usage.running < each.slots * _QUEUE_FACTOR,
                failing_of(each.id),
            )
        )
    return options
