"""Tests of the decision whether an instance has lost its links to engines."""

import random

from tamarackpier.traffic import reach as reach_lib
from tests import hosted_fixtures

ENGINES = ("e1", "e2", "e3", "e4")


def _check(answered=(), answered_peers=(), at=0.0, asked=ENGINES):
    return reach_lib.LinkCheck(
        at, asked, answered, dict.fromkeys(answered_peers, "peer")
    )


def _cut_reach():
    reach = reach_lib.Reach()
    assert reach.apply(_check(answered_peers=["e1"]), 0.2)
    return reach


def test_engines_that_answer_only_peers_mean_lost_links():
    assert _cut_reach().is_cut


def test_few_engines_within_reach_do_not_hide_that_links_are_lost():
    reach = reach_lib.Reach()
    assert reach.apply(_check(["e4"], ["e1", "e2"]), 0.2)
    assert reach.is_cut


def test_few_engines_that_answer_only_peers_are_no_loss_of_all_links():
    reach = reach_lib.Reach()
    assert not reach.apply(_check(["e4"], ["e1"]), 0.2)
    assert not reach.apply(_check(["e3", "e4"], ["e1", "e2"]), 0.2)
    assert not reach.apply(_check(["e4"]), 0.2)
    assert not reach.is_cut


def test_engines_that_answer_nobody_are_no_loss_of_links():
    reach = reach_lib.Reach()
    assert not reach.apply(_check(), 0.2)
    assert not reach.is_cut


def test_links_work_again_once_all_asked_engines_answer():
    reach = _cut_reach()
    assert not reach.apply(_check(["e1"], asked=("e1", "e2")), 1.0)
    assert not reach.apply(_check(asked=()), 1.5)
    assert reach.apply(_check(["e1", "e2"], asked=("e1", "e2")), 2.0)
    assert not reach.is_cut
    assert not reach.was_cut_at(1.0)


def test_links_count_as_lost_only_since_they_were_found_lost():
    reach = _cut_reach()
    assert not reach.was_cut_at(0.1)
    assert reach.was_cut_at(0.2)


def test_an_answer_to_an_earlier_contact_does_not_clear_a_failure():
    reach = reach_lib.Reach()
    lived_on = reach.begin(1.0)
    failed = reach.begin(2.0)
    reach.fail(failed)
    reach.answer(lived_on)
    assert reach.is_check_due(2.3)
    reach.answer(reach.begin(2.2))
    assert not reach.is_check_due(2.3)


def test_repeated_failures_do_not_put_off_the_check():
    reach = reach_lib.Reach()
    reach.answer(reach.begin(0.0))
    for step in range(1, 10):
        reach.fail(reach.begin(step * 0.1))
    assert reach.is_check_due(0.9)


def test_a_request_without_an_answer_is_checked_unless_a_later_one_has_one():
    reach = reach_lib.Reach()
    slow = reach.begin(1.0)
    assert not reach.is_check_due(1.3)
    assert reach.is_check_due(1.5)
    reach.answer(reach.begin(1.4))
    assert not reach.is_check_due(1.5)
    reach.abandon(slow)
    assert not reach.is_check_due(9.0)


def test_checks_are_sparing_while_no_engine_answers():
    reach = reach_lib.Reach()
    reach.fail(reach.begin(0.0))
    now = 0.0
    checks = 0
    while now < 10.0:
        now += 0.025
        if reach.is_check_due(now):
            checks += 1
            reach.apply(_check(at=now), now)
    assert checks <= 20


def test_a_check_asks_engines_with_little_in_common():
    engines = [
        engine
        for index in range(3)
        for engine in hosted_fixtures.replica_records(f"r{index}", index)
    ]
    engines.append(hosted_fixtures.record("o1", service="orders"))
    for seed in range(20):
        targets = reach_lib.check_targets(engines, 4, random.Random(seed))
        assert len(targets) == 4
        assert "orders" in [engine.service for engine in targets[:2]]
        keys = {
            engine.membership.key if engine.membership else engine.id
            for engine in targets
        }
        assert len(keys) == 4


def test_a_check_asks_any_member_of_a_replica():
    engines = hosted_fixtures.replica_records()
    ranks = {
        reach_lib.check_targets(engines, 4, random.Random(seed))[
            0
        ].membership.rank
        for seed in range(50)
    }
    assert ranks == {0, 1, 2, 3}


def test_a_silence_of_all_engines_is_an_outage_only_after_some_time():
    reach = reach_lib.Reach()
    for at in (1.0, 1.5, 2.0, 2.5):
        reach.apply(_check(at=at), at + 0.1)
        assert reach.is_check_due(at + 0.7)
        assert not reach.is_outage(at + 0.1)
    assert reach.is_outage(3.1)
    reach.answer(reach.begin(3.2))
    assert not reach.is_outage(3.3)
    assert not reach.is_check_due(9.0)
    reach.apply(_check(at=4.0), 4.1)
    assert not reach.is_outage(4.2)
    reach.apply(_check(["e1"], at=4.5), 4.6)
    assert not reach.is_outage(9.0)
