"""Tests that what one instance learns takes effect at all in time."""

import contextlib

from tests import fleet_soak, virtual_fleet


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
    late, _ = fleet_soak.play(7, 28)
    assert not late, late
