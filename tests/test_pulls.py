"""Tests of whom to ask for a change that is missing, without a network."""

import collections
import random

from tamarackpier.peer import contacts, propagation, pulls

TIMES = propagation.create(2.0)
_RANKS = contacts.Standing


def _holders(*standings, near=()):
    return [
        pulls.Holder(f"p{index}", standing, index in near)
        for index, standing in enumerate(standings)
    ]


def _asked(pull, holders, seconds, on_ask=lambda ask, now: None):
    """Returns the times and peers of the asks in a span of time."""
    asked = []
    for step in range(round(seconds / 0.025) + 1):
        now = step * 0.025
        ask = pull.choose(holders, TIMES, now)
        if ask is not None:
            asked.append((round(now, 3), ask.peer_id))
            on_ask(ask, now)
    return asked


def test_peers_that_answer_are_asked_before_unknown_and_silent_ones():
    standings = (_RANKS.SILENT, _RANKS.UNKNOWN, _RANKS.ANSWERS)
    asked = _asked(pulls.Pull(random.Random(1)), _holders(*standings), 1.0)
    assert [peer_id for _, peer_id in asked] == ["p2", "p1", "p0"]


def test_no_peer_is_asked_first_by_all_instances():
    first = collections.Counter(
        pulls.Pull(random.Random(seed))
        .choose(_holders(*[_RANKS.ANSWERS] * 4), TIMES, 0.0)
        .peer_id
        for seed in range(400)
    )
    assert len(first) == 4
    assert max(first.values()) < 200


def test_near_peers_are_asked_before_others_that_answer():
    holders = _holders(*[_RANKS.ANSWERS] * 3, near=(1,))
    ask = pulls.Pull(random.Random(1)).choose(holders, TIMES, 0.0)
    assert ask.peer_id == "p1"


def test_few_peers_are_asked_at_once_and_each_for_longer_than_the_pause():
    pull = pulls.Pull(random.Random(1))
    asked = _asked(pull, _holders(*[_RANKS.ANSWERS] * 9), 3.0)
    assert len(asked) == len(pull.in_flight) == 4
    pauses = [
        later - earlier
        for (earlier, _), (later, _) in zip(asked, asked[1:], strict=False)
    ]
    assert min(pauses) >= TIMES.ask_interval_s
    assert asked[-1][0] <= 4 * TIMES.ask_interval_s


def test_a_peer_that_fails_at_once_is_followed_by_the_next_one_soon():
    pull = pulls.Pull(random.Random(1))

    def fail(ask, now):
        pull.record_failure(ask.peer_id, TIMES, now)

    asked = _asked(pull, _holders(*[_RANKS.ANSWERS] * 4), 0.3, fail)
    assert {peer_id for _, peer_id in asked} == {"p0", "p1", "p2", "p3"}


def test_asks_become_rare_where_nobody_answers():
    pull = pulls.Pull(random.Random(1))
    in_flight = {}

    def note(ask, now):
        in_flight[ask.peer_id] = now + ask.limit_s

    asked = []
    holders = _holders(*[_RANKS.SILENT] * 9)
    for step in range(2400):
        now = step * 0.025
        for peer_id, ends_at in list(in_flight.items()):
            if ends_at <= now:
                del in_flight[peer_id]
                pull.record_failure(peer_id, TIMES, now)
        ask = pull.choose(holders, TIMES, now)
        if ask is not None:
            note(ask, now)
            asked.append(now)
    assert sum(at >= 50.0 for at in asked) <= 10.0 / TIMES.ask_interval_s / 2


def test_the_limits_of_all_steps_fit_into_any_bound():
    for bound_s in (0.1, 0.5, 2.0, 3.0, 4.0, 30.0):
        times = propagation.create(bound_s)
        assert times.longest_s < bound_s
        assert 0.0 < times.ask_interval_s < times.delivery_s


def test_a_long_bound_is_no_reason_to_ask_peers_later():
    longest = propagation.create(30.0)
    usual = propagation.create(4.0)
    assert longest.delivery_s == usual.delivery_s
    assert longest.ask_interval_s == usual.ask_interval_s
    assert longest.parent_lag_s == usual.parent_lag_s


def test_what_no_live_peer_has_any_more_is_not_missing():
    newest, own = [9], [5]
    missing = pulls.MissingVersion(
        lambda: newest[0], lambda: own[0], lambda: 1.0
    )
    assert (missing.since(), missing.version) == (1.0, 9)
    newest[0] = 7
    assert (missing.since(), missing.version) == (1.0, 7)
    newest[0] = 5
    assert (missing.since(), missing.version) == (None, 0)


def test_the_time_of_a_missing_version_is_kept_while_newer_ones_come():
    newest, own, now = [6], [5], [1.0]
    missing = pulls.MissingVersion(
        lambda: newest[0], lambda: own[0], lambda: now[0]
    )
    assert missing.since() == 1.0
    newest[0], now[0] = 8, 2.0
    assert (missing.since(), missing.version) == (1.0, 6)
    own[0] = 6
    assert (missing.since(), missing.version) == (2.0, 8)


def test_a_peer_counts_as_silent_until_it_answers_or_for_a_while():
    peers = contacts.PeerContacts()
    assert peers.standing("p", 0.0) is _RANKS.UNKNOWN
    peers.record_call("p", 0.0)
    assert peers.standing("p", 0.05) is _RANKS.UNKNOWN
    assert peers.standing("p", 0.5) is _RANKS.SILENT
    peers.record_answer("p", 0.6)
    assert peers.standing("p", 0.7) is _RANKS.ANSWERS
    peers.record_failure("p", 0.8)
    assert peers.standing("p", 0.8) is _RANKS.SILENT
    assert peers.standing("p", 9.0) is _RANKS.UNKNOWN
    peers.keep_only(())
    assert not peers.unanswered_since


def test_distrust_ends_and_counts_for_one_kind_of_news():
    peers = contacts.PeerContacts()
    peers.distrust("p", contacts.News.CONFIGURATION, 1.0)
    assert peers.distrusted(contacts.News.CONFIGURATION, 2.0) == {"p"}
    assert not peers.distrusted(contacts.News.ENGINE_ROWS, 2.0)
    assert not peers.distrusted(contacts.News.CONFIGURATION, 9.0)
