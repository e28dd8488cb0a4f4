"""Tests of limits on the requests a second that engines take."""

import dataclasses
import random

import hypothesis
from hypothesis import strategies

from tamarackpier.platform import decode
from tamarackpier.traffic import rate_limits
from tests import hosted_fixtures

ENGINE = hosted_fixtures.record("e1")
RATES = strategies.floats(0.0, 50.0)
FUZZ = hypothesis.settings(derandomize=True, database=None, deadline=None)


def _limit(rate=2.0, at=10.0, engine=ENGINE):
    return rate_limits.Limit(engine.id, engine.incarnation, rate, at)


def _limits(count=1, rate=2.0):
    """Returns the limits of several instances that know one another."""
    names = [f"entry-{number}" for number in range(count)]
    instances = []
    for name in names:
        limits = rate_limits.UpstreamLimits()
        limits.set_members(name, names)
        limits.record(_limit(rate))
        instances.append(limits)
    return instances


def _send_all(limits, now):
    """Sends as many requests as a limit admits; returns their number."""
    count = 0
    while limits.wait_s(ENGINE, now) == 0 and count < 1000:
        limits.take(ENGINE)
        count += 1
    return count


@FUZZ
@hypothesis.given(strategies.integers(1, 400), RATES, strategies.integers(0, 9))
def test_the_sum_over_instances_stays_in_the_bound_of_the_platform(
    count, rate, seed
):
    instances = _limits(count, rate)
    rng = random.Random(seed)
    idle_until = 10.0 + rng.uniform(0, 60)
    sent = 0
    for step in range(9):
        for limits in instances:
            sent += _send_all(limits, idle_until + step * 0.5)
    # 4 s, after a time without requests in which all shares saved up.
    assert sent <= 1.5 * max(rate, 0.2) * 4 + 5


@FUZZ
@hypothesis.given(strategies.integers(1, 12), strategies.floats(1.0, 50.0))
def test_the_shares_of_all_instances_make_up_the_limit(count, rate):
    instances = _limits(count, rate)
    sent = sum(
        _send_all(limits, 10.0 + step * 0.02)
        for limits in instances
        for step in range(1, 1001)
    )
    assert 0.9 * rate * 20 - count <= sent <= rate * 20 + count


def test_a_member_that_leaves_passes_its_share_on():
    stays, leaves = _limits(2, 4.0)
    assert stays.wait_s(ENGINE, 10.0) == 0.5
    stays.set_members("entry-0", ["entry-0"])
    leaves.set_members("entry-1", ["entry-0"])
    assert stays.wait_s(ENGINE, 10.0) == 0.25
    # Only the others send; it says when they may.
    assert leaves.wait_s(ENGINE, 100.0) == 0.25


def test_an_instance_without_members_sends_nothing_to_a_limited_engine():
    (limits,) = _limits(1, 4.0)
    limits.set_members("entry-0", [])
    assert limits.wait_s(ENGINE, 100.0) > 0


def test_another_incarnation_of_an_engine_has_no_limit():
    (limits,) = _limits()
    restarted = dataclasses.replace(ENGINE, incarnation=2)
    assert limits.wait_s(restarted, 10.0) == 0
    assert limits.record(_limit(3.0, 11.0, restarted))
    assert not limits.record(_limit(2.0, 12.0))
    assert limits.rate(restarted) == 3.0


def test_the_newest_word_on_a_limit_wins_in_any_order():
    words = [_limit(2.0, 10.0), _limit(None, 12.0), _limit(4.0, 14.0)]
    for seed in range(6):
        random.Random(seed).shuffle(words)
        limits = rate_limits.UpstreamLimits()
        for limit in words:
            limits.record(limit)
        assert limits.rate(ENGINE) == 4.0


def test_exchanges_of_an_unchanged_limit_do_not_make_it_newer():
    (limits,) = _limits()
    for number in range(1000):
        limits.record(_limit(2.0, 10.0 + number * 1e-3))
    assert limits.record(_limit(None, 10.5))
    assert limits.rate(ENGINE) is None


def test_callers_that_are_refused_together_return_one_after_the_other():
    (limits,) = _limits(1, 2.0)
    waits = [limits.promise_s("m", [ENGINE], 10.0) for _ in range(20)]
    assert waits[:3] == [0.5, 1.0, 1.5]
    assert max(waits) <= 5.0
    limits.keep_only({ENGINE.id: ENGINE}, 30.0)
    assert not limits.promised_at


def test_limits_that_ended_or_whose_engine_is_gone_are_forgotten():
    (limits,) = _limits()
    limits.record(_limit(None, 20.0))
    assert limits.to_send(21.0)
    assert not limits.to_send(31.0)
    limits.keep_only({ENGINE.id: ENGINE}, 31.0)
    assert not limits.shares
    limits.record(_limit(2.0, 32.0))
    limits.keep_only({}, 32.0)
    assert not limits.shares


def test_messages_carry_a_bounded_number_of_limits():
    limits = rate_limits.UpstreamLimits()
    for number in range(1000):
        engine = hosted_fixtures.record(f"e{number}")
        limits.record(_limit(2.0, 10.0 + number, engine))
    assert len(limits.to_send(2000.0)) == 64


def test_only_numbers_are_limits():
    for text, rate in (
        ("2.5", 2.5),
        ("0", 0.0),
        (None, None),
        ("", None),
        ("many", None),
        ("-1", None),
        ("nan", None),
        ("inf", None),
    ):
        assert decode.request_rate(text) == rate
