"""Tests that news reaches instances that neither the store nor a peer tells."""

import contextlib

from tests import fleet_soak, virtual_fleet


def _late_lags(cases):
    """Returns the lags over the bound, by case."""
    late = {}
    for count, name, outage in cases:
        with contextlib.closing(fleet_soak.create_fleet(count, 1)) as fleet:
            lags = fleet_soak.spread_lags(
                fleet,
                outage,
                met=fleet_soak.zone_ids(fleet, "zone-1"),
                trouble=fleet_soak.PEER_TROUBLES[name],
            )
            if max(lags.values()) > fleet.bound_s:
                late[count, name, outage] = lags
    return late


def test_news_reaches_instances_without_links_to_the_peer_that_all_would_ask():
    """Guards against an old configuration and old rows for as long."""
    late = _late_lags(
        [
            (7, "links to the highest lost", virtual_fleet.Outage.REFUSES),
            (7, "links to half lost", virtual_fleet.Outage.SILENT),
            (24, "links to the highest lost", virtual_fleet.Outage.SILENT),
            (69, "links to a quarter lost", virtual_fleet.Outage.REFUSES),
        ]
    )
    assert not late, late


def test_news_reaches_instances_whose_peers_stand_still_when_they_are_asked():
    """Guards against changes that wait for one peer after the other."""
    late = _late_lags(
        [
            (7, "half stand still", virtual_fleet.Outage.REFUSES),
            (24, "half stand still", virtual_fleet.Outage.SILENT),
            (24, "the highest half stands still", virtual_fleet.Outage.REFUSES),
            (69, "half stand still", virtual_fleet.Outage.REFUSES),
        ]
    )
    assert not late, late
