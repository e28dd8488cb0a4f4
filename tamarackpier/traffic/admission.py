"""Decides which requests get the free capacity of a model's replicas.

Instances learn of one another's requests late, so without a common rule all
send requests into the same free slot. Each instance computes how many requests
the replicas can take on time until the next reports, and how many are offered
to all instances meanwhile. If the latter are more, it admits the part that
fits. All apply the same rule to about the same figures, so what they admit
together fits. The module does no I/O; callers pass the time and the chance.
"""

import dataclasses
import enum
import math
from collections.abc import Callable, Iterable, Mapping

import xxhash

from tamarackpier import codes, registry
from tamarackpier.traffic import load, rates

__all__ = [
    "DEFAULT_POLICY",
    "POLICIES",
    "AdmissionControl",
    "Ask",
    "Decision",
    "Policy",
    "Rule",
    "Supply",
    "longest_return_s",
    "max_min_level",
    "report_age_s",
    "supply",
]

DEFAULT_POLICY = "chance"
# Period of the reports among instances.
_REPORT_PERIOD_S = 0.25
# Fleet up to which all instances exchange reports with one another. In a larger
# one each doubling delays reports by about one period.
_DIRECT_INSTANCES = 9
# Share of its slots below which a model's requests are never refused.
_LIGHT_LOAD_SHARE = 0.5
# Multiple of the age of reports in which free slots are filled. Instances act
# on old loads, so the sum overshoots if they fill all free slots at once.
_FILL_AGES = 1.0
# Slots of a replica that are kept free of what others send unseen, as a part of
# the standard deviation of what changes there until the next reports. Without
# them 0.1 of the callers more are late at an offered load of the capacity.
_HEADROOM_DEVIATIONS = 0.45
# Share of the capacity that is expected to become free although the model is
# offered more than it can serve; answers end unevenly.
_MIN_SPARE_SHARE = 0.05
# Part of the requests of a kind that is admitted below which a refused caller
# isn't told to return: it would more probably be refused again.
_MIN_RETURN_PART = 0.6
# Part of its remaining time that a refused caller waits at most, as the
# platform specifies it.
_MAX_RETURN_SHARE = 1 / 3
# Bounds of what is remembered of refused requests.
_MAX_REFUSED = 4096
_KEEP_REFUSED_S = 10.0
# Accounts and models whose rates are kept, several times those in use.
_MAX_ACCOUNTS = 256
_MAX_MODELS = 64
_MIN_RATE = 1e-6
# A configuration may give no processing times.
_MIN_HOLD_S = 1e-3


class Rule(enum.Enum):
    """The rule that decided on a request."""

    LIGHT_LOAD = "light_load"
    FITS = "fits"
    PART = "part"
    OUTRANKED = "outranked"
    OVER_SHARE = "over_share"
    PAST_OBJECTIVE = "past_objective"

    @property
    def code(self) -> codes.ResultCode:
        """Result code of a request that the rule refuses."""
        return _CODES.get(self, codes.CAPACITY_DIVIDED)


_CODES = {
    Rule.OUTRANKED: codes.OUTRANKED,
    Rule.OVER_SHARE: codes.ACCOUNT_AT_SHARE,
    Rule.PAST_OBJECTIVE: codes.PAST_OBJECTIVE,
}


@dataclasses.dataclass(frozen=True)
class Ask:
    """A request, as far as it decides on its admission.

    Attributes:
        service: Name of the service.
        model: Requested model.
        priority: Priority; 0 is the most urgent.
        account: Name of the client account; empty for none.
        fingerprint: Hash that is equal for all attempts of one caller.
        arrived_at: Time of its arrival, in seconds on the monotonic clock.
        deadline: Time at which its caller stops waiting, on the same clock.
        objective_s: Latency objective of the first event, in seconds.
        first_event_s: Time to the first event of a short prompt at an idle
            replica, in seconds. The own prompt doesn't count: the largest
            prompts would always yield to others.
    """

    service: str
    model: str
    priority: int
    account: str
    fingerprint: str
    arrived_at: float
    deadline: float
    objective_s: float
    first_event_s: float


@dataclasses.dataclass(frozen=True)
class Supply:
    """What the replicas of a model can take.

    Attributes:
        running: Requests believed to be in flight there.
        slots: Requests that they run at once.
        rate: Requests a second that they can take on time until the next
            reports.
        full_rate: Requests a second that they end with all slots in use.
        hold_s: Mean time that a request holds a slot, in seconds.
    """

    running: int
    slots: int
    rate: float
    full_rate: float
    hold_s: float


@dataclasses.dataclass(frozen=True)
class Decision:
    """Whether a request is admitted, and why.

    Attributes:
        is_admitted: Whether it is admitted.
        rule: Rule that decided.
        part: Part of the requests of its kind that is admitted, 0 to 1.
        supply: What the model's replicas can take.
        offered_rate: Requests a second offered to all instances.
        retry_after_s: Seconds after which a refused caller may return; None if
            it could only return too late.
    """

    is_admitted: bool
    rule: Rule
    part: float
    supply: Supply
    offered_rate: float
    retry_after_s: float | None = None

    def describe(self) -> str:
        """Returns the rule and its inputs as text."""
        return (
            f"{self.rule.value}: {self.supply.running}/{self.supply.slots}"
            f" slots taken, {self.supply.rate:.1f} requests/s fit,"
            f" {self.offered_rate:.1f}/s offered, {self.part:.2f} of this kind"
            " admitted"
        )


@dataclasses.dataclass(frozen=True)
class _Kind:
    """Requests of a model that are equally entitled, in their order.

    Attributes:
        priority: Priority; 0 is the most urgent.
        is_late: Whether they can no longer be on time.
        is_over_share: Whether their account has more than its share.
    """

    priority: int
    is_late: bool
    is_over_share: bool

    @property
    def order(self) -> tuple[int, bool, bool]:
        """Key by which kinds are served."""
        return (self.priority, self.is_late, self.is_over_share)


@dataclasses.dataclass
class Turn:
    """What a policy remembers of one kind of requests.

    Attributes:
        instance: ID of this instance.
        name: Name of the kind, for hashes.
        credit: Requests that may still be admitted; negative if one was
            admitted early. It starts at random, so that instances differ.
    """

    instance: str
    name: str
    credit: float


# Decides whether a request is in the admitted part of its kind. Arguments: what
# it remembers of the kind, the part, the current time in seconds, and a random
# number from 0 to 1.
Policy = Callable[[Turn, float, float, float], bool]
POLICIES: registry.Registry[Policy] = registry.Registry("admission policy")


@POLICIES.register("everything")
def _admit_all(turn: Turn, part: float, now: float, chance: float) -> bool:
    """Admits all; for comparison."""
    return True


@POLICIES.register("chance")
def _admit_by_chance(
    turn: Turn, part: float, now: float, chance: float
) -> bool:
    return chance < part


@POLICIES.register("credit")
def _admit_by_credit(
    turn: Turn, part: float, now: float, chance: float
) -> bool:
    """Admits each time that the parts add up to a request.

    One instance's admissions then vary less than by chance.
    """
    turn.credit += part
    if turn.credit < 1:
        return False
    turn.credit -= 1
    return True


@POLICIES.register("rotation")
def _admit_in_turn(turn: Turn, part: float, now: float, chance: float) -> bool:
    """Admits all requests in the periods that a hash gives to the instance.

    Clocks of instances differ, so the periods of the share overlap.
    """
    period = math.floor(now / _REPORT_PERIOD_S)
    name = f"{turn.instance}/{turn.name}/{period}"
    return xxhash.xxh64_intdigest(name.encode()) / 2**64 < part


def report_age_s(instances: int) -> float:
    """Returns the mean age of what an instance knows of the others' requests.

    Args:
        instances: Number of instances.
    """
    rounds = 1 + max(0.0, math.log2(max(1, instances) / _DIRECT_INSTANCES))
    return _REPORT_PERIOD_S * rounds


def longest_return_s(deadline: float, now: float) -> float:
    """Returns the longest wait that a refused caller is told, in seconds.

    Args:
        deadline: Time at which the caller stops waiting, in seconds.
        now: Current time, in seconds on the same clock.
    """
    return max(0.0, deadline - now) * _MAX_RETURN_SHARE


def supply(
    upstreams: Iterable[tuple[int, int]], hold_s: float, age_s: float
) -> Supply:
    """Returns what replicas can take.

    Args:
        upstreams: Believed number of requests and number of slots of each
            replica.
        hold_s: Mean time that a request holds a slot, in seconds.
        age_s: Mean age of the believed loads, in seconds.
    """
    hold_s = max(hold_s, _MIN_HOLD_S)
    running = slots = 0
    rate = 0.0
    for replica_running, replica_slots in upstreams:
        running += max(0, replica_running)
        slots += replica_slots
        ending_rate = min(max(0, replica_running), replica_slots) / hold_s
        deviation = math.sqrt(2 * replica_slots * age_s / hold_s)
        headroom = _HEADROOM_DEVIATIONS * deviation
        free = replica_slots - headroom - replica_running
        # A queue takes the next slots that become free.
        rate += max(0.0, free / (_FILL_AGES * age_s) + ending_rate)
    return Supply(running, slots, rate, slots / hold_s, hold_s)


def max_min_level(demands: Iterable[float], capacity: float) -> float:
    """Returns the largest amount that anybody gets under max-min fairness.

    Those who want less get what they want, and the others share what is left
    equally; infinite if all get what they want.

    Args:
        demands: What each of them wants.
        capacity: Sum that is there.
    """
    ascending = sorted(demands)
    left = capacity
    for index, demand in enumerate(ascending):
        level = left / (len(ascending) - index)
        if demand > level:
            return level
        left -= demand
    return math.inf


class AdmissionControl:
    """Admits or refuses requests for models, by what all instances know.

    The argument `now` of the methods is the current time, in seconds on the
    monotonic clock.

    Attributes:
        own_id: ID of this instance.
        policy: Selects the admitted requests of a kind.
        accounts: Requests in flight by account, over all instances.
        offered: Rates of requests by model and kind, at this instance.
        refused: Rates of refused requests by account, at this instance.
    """

    def __init__(self, own_id: str = "", policy: str = DEFAULT_POLICY) -> None:
        self.own_id = own_id
        self.policy = POLICIES.get(policy)
        self.accounts: load.Loads[int] = load.Loads()
        self.offered: dict[tuple[str, str], rates.Rates[_Kind]] = {}
        self.refused: rates.Rates[int] = rates.Rates(_MAX_ACCOUNTS)
        self._turns: dict[tuple[str, str, _Kind], Turn] = {}
        self._refused_at: dict[str, tuple[float, float]] = {}
        self._promised_at: dict[tuple[str, str], float] = {}

    def decide(
        self,
        ask: Ask,
        model_supply: Supply,
        offered_rate: float | None,
        instances: int,
        now: float,
        chance: float,
    ) -> Decision:
        """Decides on a request that has not been sent yet.

        Args:
            ask: The request.
            model_supply: What the model's replicas can take.
            offered_rate: Requests a second for the model that are offered to
                all instances; None if it isn't known.
            instances: Number of instances.
            now: Current time.
            chance: Random number from 0 to 1.
        """
        kind = _Kind(
            ask.priority,
            self._is_late(ask, now),
            self.is_over_share(
                ask.account, instances, model_supply.hold_s, now
            ),
        )
        key = (ask.service, ask.model)
        own = self._own_rates(key)
        own.record(kind, now)
        by_kind = own.all(now)
        own_total = max(sum(by_kind.values()), _MIN_RATE)
        if offered_rate is None:
            offered_rate = own_total * instances
        # The own requests show which part of all is of which kind.
        scale = max(offered_rate, own_total) / own_total
        urgent_rate = scale * sum(
            rate for other, rate in by_kind.items() if other.order < kind.order
        )
        kind_rate = max(scale * by_kind[kind], _MIN_RATE)
        part = (model_supply.rate - urgent_rate) / kind_rate
        part = min(1.0, max(0.0, part))
        is_light = model_supply.running < _LIGHT_LOAD_SHARE * model_supply.slots
        if is_light:
            rule, is_admitted = Rule.LIGHT_LOAD, True
        elif part >= 1:
            rule, is_admitted = Rule.FITS, True
        else:
            turn = self._turn(key, kind, chance)
            is_admitted = self.policy(turn, part, now, chance)
            rule = _rule_of_refusal(kind, by_kind)
        decision = Decision(is_admitted, rule, part, model_supply, offered_rate)
        if is_admitted:
            return decision
        return dataclasses.replace(
            decision,
            retry_after_s=self.refuse(
                ask, model_supply, offered_rate, instances, now, chance, part
            ),
        )

    def refuse(
        self,
        ask: Ask,
        model_supply: Supply,
        offered_rate: float,
        instances: int,
        now: float,
        chance: float,
        part: float = 1.0,
    ) -> float | None:
        """Records a refusal and returns when the caller may return.

        Callers are told times so far apart that they find capacity that nobody
        else is expected to want.

        Args:
            ask: The request.
            model_supply: What the model's replicas can take.
            offered_rate: Requests a second that are offered to all instances.
            instances: Number of instances.
            now: Current time.
            chance: Random number from 0 to 1.
            part: Part of the requests of its kind that is admitted.

        Returns:
            Seconds from now; None if the caller would probably be refused
            again, or could only return too late.
        """
        self.refused.record(load.name_hash(ask.account), now)
        self._remember(ask, now)
        longest_s = longest_return_s(ask.deadline, now)
        spare_rate = max(
            model_supply.full_rate - offered_rate,
            _MIN_SPARE_SHARE * model_supply.full_rate,
            _MIN_RATE,
        )
        key = (ask.service, ask.model)
        # Loads have been reported again by then.
        first_at = now + (0.5 + chance) * report_age_s(instances)
        promised_at = max(
            first_at,
            self._promised_at.get(key, -math.inf) + instances / spare_rate,
        )
        # The present part may be a lucky one.
        usual_part = model_supply.full_rate / max(offered_rate, _MIN_RATE)
        is_hopeless = min(part, usual_part) < _MIN_RETURN_PART
        if promised_at > now + longest_s or is_hopeless:
            return None
        if len(self._promised_at) >= _MAX_MODELS:
            self._promised_at.clear()
        self._promised_at[key] = promised_at
        return promised_at - now

    def is_over_share(
        self, account: str, instances: int, hold_s: float, now: float
    ) -> bool:
        """Returns whether an account has more than its max-min share.

        What an account wants is what it has in flight and what it was refused.

        Args:
            account: Name of the account; empty for none.
            instances: Number of instances.
            hold_s: Mean time that a request holds a slot, in seconds.
            now: Current time.
        """
        running = self.accounts.totals()
        refused = self.refused.all(now)
        wanted: Mapping[int, float] = {
            key: max(0, running.get(key, 0))
            + refused.get(key, 0.0) * instances * hold_s
            for key in {*running, *refused}
        }
        level = max_min_level(wanted.values(), sum(running.values()))
        return running.get(load.name_hash(account), 0) > level

    def _is_late(self, ask: Ask, now: float) -> bool:
        """Returns whether a request can no longer be on time anywhere."""
        arrived_at, _ = self._refused_at.get(
            ask.fingerprint, (ask.arrived_at, 0.0)
        )
        return now - arrived_at + ask.first_event_s > ask.objective_s

    def _remember(self, ask: Ask, now: float) -> None:
        """Keeps when a refused caller first asked."""
        while self._refused_at:
            oldest = next(iter(self._refused_at))
            is_full = len(self._refused_at) >= _MAX_REFUSED
            is_recent = now - self._refused_at[oldest][1] < _KEEP_REFUSED_S
            if is_recent and not is_full:
                break
            del self._refused_at[oldest]
        first_at, _ = self._refused_at.pop(
            ask.fingerprint, (ask.arrived_at, now)
        )
        self._refused_at[ask.fingerprint] = (first_at, now)

    def _own_rates(self, key: tuple[str, str]) -> "rates.Rates[_Kind]":
        if key not in self.offered:
            if len(self.offered) >= _MAX_MODELS:
                self.offered.clear()
                self._turns.clear()
            self.offered[key] = rates.Rates(_MAX_ACCOUNTS)
        return self.offered[key]

    def _turn(self, key: tuple[str, str], kind: _Kind, chance: float) -> Turn:
        turn_key = (*key, kind)
        if turn_key not in self._turns:
            self._turns[turn_key] = Turn(self.own_id, f"{turn_key}", chance)
        return self._turns[turn_key]


def _rule_of_refusal(kind: _Kind, by_kind: Mapping[_Kind, float]) -> Rule:
    """Returns why requests of a kind don't all fit."""
    if kind.is_late:
        return Rule.PAST_OBJECTIVE
    if kind.is_over_share:
        return Rule.OVER_SHARE
    if any(other.priority < kind.priority for other in by_kind):
        return Rule.OUTRANKED
    return Rule.PART
