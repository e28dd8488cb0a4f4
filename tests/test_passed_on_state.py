"""Tests that what one instance learns takes effect at all in time."""

import contextlib
import math

from tamarackpier import metrics
from tamarackpier.daemon import row_cache, store_contact
from tamarackpier.fleet import fleet_view
from tamarackpier.platform import encode, interfaces
from tests import fleet_soak, hosted_fixtures, virtual_fleet


def _cut_from_peer(fleet, instance, until, seconds):
    """Cuts an instance off the peer that it follows until a condition holds."""
    instance_id = instance.settings.instance.id
    parent_id = instance.row_source.parent()
    assert parent_id is not None
    fleet.has_link = lambda caller_id, callee_id: (
        (caller_id, callee_id) != (instance_id, parent_id)
    )
    fleet.until(until, seconds)
    fleet.has_link = lambda caller_id, callee_id: True


def test_an_engine_is_left_in_time_where_a_return_is_noticed_late():
    """Guards against requests to an engine that has left.

    An instance that follows a peer may call the store again only long after
    an outage; the engine that leaves then is taken for one whose row lapsed.
    """
    with contextlib.closing(fleet_soak.create_fleet(6, 1)) as fleet:
        follower = fleet.instances[5]
        rows = follower.followers[1]
        fleet.store.begin_outage(["entry-005"], virtual_fleet.Outage.REFUSES)
        _cut_from_peer(fleet, follower, lambda: rows.is_lost, 2.0)
        fleet.until(lambda: not rows.is_lost, 5.0)
        fleet.store.end_outage(["entry-005"])
        fleet.wait(fleet.stable_window_s)
        _cut_from_peer(
            fleet,
            follower,
            lambda: follower.row_source.reads_store and rows.waited_s() > 0.5,
            5.0,
        )
        fleet.drop_engine("o1")
        fleet.until(lambda: not fleet.behind("o1", 0), fleet.bound_s)


def test_changes_are_in_force_in_time_after_random_outages():
    for count, seed, rounds in ((7, 28, 6), (69, 1, 2)):
        late, _ = fleet_soak.play(count, seed, rounds)
        assert not late, late


def test_times_of_service_are_joined_only_where_they_meet():
    def service(since, at, count=1):
        return store_contact.StoreService(1, count, since, at)

    for first, second, since in (
        (service(10.0, 20.0), service(21.0, 22.0), 10.0),
        (service(10.0, 20.0), service(15.0, 22.0), 10.0),
        (service(10.0, 20.0), service(5.0, 22.0), 5.0),
        (service(10.0, 20.0), service(24.0, 25.0), 24.0),
    ):
        for one, other in ((first, second), (second, first)):
            joined = one.joined(other)
            assert joined.since == since
            assert joined.at == second.at


def test_service_of_the_store_long_ago_tells_nothing():
    contact = store_contact.StoreContact(1)
    assert contact.served_since(10.0) == math.inf
    contact.record_answer(10.0, 10.1)
    contact.record_service(store_contact.StoreService(2, 5, 3.0, 10.2))
    assert contact.served_since(11.0) == 3.0
    assert contact.served_since(14.0) == math.inf


def test_a_configuration_is_in_force_in_time_where_a_poll_was_lost():
    """Guards against an old configuration where fetches take too long.

    A store that throttles an instance loses its poll without a failed call.
    """
    with contextlib.closing(fleet_soak.create_fleet(6, 1)) as fleet:
        fleet.is_lost = lambda method, caller_id: method == "FetchConfiguration"
        fleet.store.begin_outage(["entry-001"], virtual_fleet.Outage.THROTTLES)
        fleet.wait(0.5)
        fleet.store.end_outage(["entry-001"])
        fleet.wait(fleet.stable_window_s)
        fleet.configure()
        fleet.until(lambda: not fleet.behind("", fleet.version), fleet.bound_s)


def test_a_peer_that_misses_nothing_is_followed_on():
    """Guards against reads of the store whenever nothing changes."""
    with contextlib.closing(fleet_soak.create_fleet(6, 1)) as fleet:
        follower = fleet.instances[5]
        counts = follower.metrics.counters
        before = counts.copy()
        fleet.wait(20.0)
        assert counts["rows_read:store"] == before["rows_read:store"]
        assert counts["rows_read:peer"] > before["rows_read:peer"]


def test_what_is_learned_reaches_instances_that_a_silent_store_leaves_out():
    """Guards against rows that wait for the limits of several calls."""
    with contextlib.closing(fleet_soak.create_fleet(6, 2)) as fleet:
        lags = fleet_soak.spread_lags(fleet, virtual_fleet.Outage.SILENT)
        assert max(lags.values()) <= fleet.bound_s, lags


def test_news_reaches_instances_without_the_store_in_time_if_all_is_slow():
    """Guards against engines left late by the sum of the waits of a chain."""
    for count, seed in ((6, 33), (7, 39), (7, 53), (8, 12)):
        with contextlib.closing(fleet_soak.create_fleet(count, seed)) as fleet:
            fleet_soak.slow_down(fleet, 0.08)
            lags = fleet_soak.spread_lags(fleet, virtual_fleet.Outage.SILENT)
            assert max(lags.values()) <= fleet.bound_s, (count, seed, lags)


def test_a_change_older_than_a_peers_snapshot_takes_nothing_back():
    """Guards against an engine that has left and comes back."""
    view = fleet_view.FleetView()
    cache = row_cache.EngineRowCache(
        view, lambda: None, metrics.Metrics(), lambda: 0.0
    )
    leaving = hosted_fixtures.record("e1", is_leaving=True)
    data = encode.engine_row(leaving)
    cache.apply_snapshot(
        interfaces.Changes((interfaces.Change("e1", 9, data),), 9)
    )
    older = encode.engine_row(hosted_fixtures.record("e1"))
    cache.apply_changes(
        interfaces.Changes((interfaces.Change("e1", 7, older),), 8)
    )
    assert view.engines["e1"].is_leaving
    assert cache.version == 9
