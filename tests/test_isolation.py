"""Tests of instances that can't know which configuration is in force."""

import contextlib

from tamarackpier import codes
from tamarackpier.peer import isolation
from tamarackpier.traffic import refusals
from tests import fleet_soak, virtual_fleet

BOUND_S = 2.0


def test_an_instance_is_isolated_only_without_news_from_anybody():
    for store_at, is_away, peer_at, has_peers, is_isolated in (
        (9.0, False, 0.0, False, False),
        (0.0, False, 9.0, True, False),
        (0.0, True, 9.0, True, False),
        (9.0, True, 0.0, False, False),
        # A quiet store, and no peer that could have told.
        (0.0, False, 0.0, False, False),
        (0.0, False, 0.0, True, True),
        (0.0, True, 0.0, False, True),
        (0.0, True, 0.0, True, True),
    ):
        contact = isolation.Contact(store_at, is_away, peer_at, has_peers)
        assert isolation.is_isolated(contact, BOUND_S, 10.0) == is_isolated, (
            contact
        )


def test_a_missing_route_is_refused_for_good_only_by_who_knows():
    fault = codes.fault(codes.NO_ROUTE, "no route")
    assert refusals.not_allowed(fault, False).fault.code is codes.NO_ROUTE
    refused = refusals.not_allowed(fault, True).fault
    assert refused.code is codes.CONFIGURATION_OUTDATED
    assert refused.code.status == 503
    assert refused.retry_after_s > 0.0


def test_an_isolated_instance_knows_it_and_stays_ready():
    with contextlib.closing(fleet_soak.create_fleet(7, 1)) as fleet:
        alone = fleet.instances[4]
        alone_id = alone.settings.instance.id
        others = [one for one in fleet.instances if one is not alone]
        assert not any(one.relay.may_be_outdated() for one in fleet.instances)
        fleet.stand_still([alone_id])
        fleet.until(alone.relay.may_be_outdated, 2.0 * fleet.bound_s)
        fleet.configure()
        fleet.wait(fleet.bound_s)
        assert alone.is_ready
        assert not any(one.relay.may_be_outdated() for one in others)
        fleet.go_on()
        fleet.until(lambda: not alone.relay.may_be_outdated(), 5.0)
        assert alone.configuration.version == fleet.version


def test_an_instance_knows_that_a_peer_has_a_newer_configuration():
    with contextlib.closing(fleet_soak.create_fleet(7, 1)) as fleet:
        behind = fleet.instances[1]
        fleet.store.begin_outage(
            fleet_soak.zone_ids(fleet, "zone-1"), virtual_fleet.Outage.REFUSES
        )
        fleet.is_lost = lambda method, caller_id: (
            method in ("FetchConfiguration", "FollowEngines")
            and caller_id == behind.settings.instance.id
        )
        fleet.wait(2.0)
        fleet.configure()
        fleet.until(behind.relay.may_be_outdated, fleet.bound_s)
        assert behind.configuration.version < fleet.version
        fleet.is_lost = lambda method, caller_id: False
        fleet.until(lambda: behind.configuration.version == fleet.version, 5.0)
        assert not behind.relay.may_be_outdated()
