"""Tests when a deployment counts as starting, and what is expected then."""

import collections

from tamarackpier.fleet import deployment_start, packing
from tamarackpier.routing import model as routing_model

MODELS = (
    routing_model.ModelSpec("large", 16, 0.5, 1.0, 16.0, 1.6),
    routing_model.ModelSpec("small", 4, 0.5, 0.6, 12.0, 1.1),
)


def _domain(zone="zone-a", blank=0, **holders):
    return packing.Domain(
        "d0", zone, holders=collections.Counter(holders), blank=blank
    )


def test_loads_wait_until_engines_stop_to_appear():
    start = deployment_start.DeploymentStart("zone-a", 0.0)
    for step in range(10):
        start.update([_domain(blank=step + 1)], True, MODELS, step * 0.1)
        assert start.awaits_engines(step * 0.1)
    start.update([_domain(blank=10)], True, MODELS, 2.0)
    assert start.is_starting
    assert not start.awaits_engines(2.0)


def test_loads_do_not_wait_for_engines_that_never_stop_to_appear():
    start = deployment_start.DeploymentStart("zone-a", 0.0)
    for step in range(50):
        start.update([_domain(blank=step + 1)], True, MODELS, step * 0.1)
    assert start.is_starting
    assert not start.awaits_engines(4.9)


def test_domains_are_expected_to_hold_the_widest_replica_and_its_spares():
    start = deployment_start.DeploymentStart("zone-a", 0.0)
    domains = [_domain(blank=1), _domain("zone-b", blank=20)]
    start.update(domains, True, MODELS, 0.0)
    assert [domain.size for domain in domains] == [20, 20]
    domain = _domain(blank=1)
    start.update([domain], True, MODELS, 0.1)
    assert domain.size == 17


def test_a_planner_that_takes_over_does_not_take_silence_for_a_start():
    start = deployment_start.DeploymentStart("zone-a", 0.0)
    start.update([_domain(blank=3, large=1)], True, MODELS, 0.0)
    assert not start.is_starting
    start.update([_domain(blank=3)], True, MODELS, 0.1)
    assert not start.is_starting


def test_the_start_ends_with_the_first_request():
    start = deployment_start.DeploymentStart("zone-a", 0.0)
    start.update([_domain(blank=3)], True, MODELS, 0.0)
    start.update([_domain(blank=3)], False, MODELS, 0.1)
    start.update([_domain(blank=4)], True, MODELS, 0.2)
    assert not start.is_starting
