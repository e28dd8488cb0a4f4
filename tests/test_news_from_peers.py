"""Tests that news reaches instances that neither the store nor a peer tells."""

import contextlib

from tamarackpier.wire import entry_pb2
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


def _cut_zone(fleet):
    """Lets the store refuse zone-1; returns the zone's instances."""
    ids = fleet_soak.zone_ids(fleet, "zone-1")
    fleet.store.begin_outage(ids, virtual_fleet.Outage.REFUSES)
    return [
        instance
        for instance in fleet.instances
        if instance.settings.instance.id in ids
    ]


def _asked_in_vain(instance):
    counters = instance.metrics.counters
    return counters["peer_lacks:configuration"], counters[
        "peer_lacks:engine_rows"
    ]


def test_a_peer_that_reports_versions_it_lacks_is_asked_no_more_for_a_while():
    """Guards against asks of one liar while others have the change."""
    with contextlib.closing(fleet_soak.create_fleet(7, 1)) as fleet:
        cut = _cut_zone(fleet)
        liar = fleet.instances[6].statuses
        liar.version = lambda: fleet.version + 100
        liar.engines_change = lambda: fleet.store.version + 100
        liar.engines_version = liar.engines_change
        fleet.wait(2.0)
        assert all(min(_asked_in_vain(one)) >= 1 for one in cut)
        fleet.configure()
        fleet.put_engine("new")
        fleet.until(
            lambda: (
                not fleet.behind("", fleet.version)
                and all("new" in one.fleet.engines for one in fleet.instances)
            ),
            fleet.bound_s,
        )
        fleet.wait(12.0)
        assert all(max(_asked_in_vain(one)) <= 5 for one in cut)


def test_an_unreadable_configuration_of_a_peer_is_taken_from_the_next_one():
    """Guards against a configuration that only one peer can't pass on."""
    for index in (0, 2, 3, 5, 6):
        with contextlib.closing(fleet_soak.create_fleet(7, 1)) as fleet:
            _cut_zone(fleet)
            broken = fleet.instances[index].entry_service

            async def fetch(request, context):
                return entry_pb2.FetchConfigurationReply(configuration=b"{")

            broken.FetchConfiguration = fetch
            fleet.wait(2.0)
            fleet.configure()
            fleet.until(
                lambda fleet=fleet: not fleet.behind("", fleet.version),
                fleet.bound_s,
            )
