"""Tests which replicas the free engines of all domains are to form."""

import collections
from unittest import mock

from tamarackpier.fleet import packing
from tamarackpier.routing import model as routing_model


def _need(name, span, replicas=0, needed=2.0, share=0.5):
    spec = routing_model.ModelSpec(name, span, share, 1.0, 16.0, 1.6)
    return packing.Need(spec, share, needed, replicas)


def _domain(name="d0", zone="zone-a", in_replicas=(), holders=(), blank=0):
    return packing.Domain(
        name,
        zone,
        collections.Counter(dict(in_replicas)),
        collections.Counter(dict(holders)),
        blank,
    )


def _blank_domains(count, size):
    return [
        _domain(f"d{index}", f"zone-{index}", blank=size)
        for index in range(count)
    ]


def _count_by_model(placements):
    return collections.Counter(placement.model for placement in placements)


def test_both_models_stand_where_a_domain_holds_only_one_wide_replica():
    needs = [_need("large", 16), _need("small", 4)]
    placements, packed = packing.place(_blank_domains(5, 20), needs)
    counts = _count_by_model(placements)
    assert counts["large"] >= 2
    assert counts["small"] >= 8
    assert all(domain.free >= 2 for domain in packed)


def test_engines_are_divided_by_load_and_not_by_count_of_replicas():
    needs = [_need("large", 32), _need("small", 8)]
    placements, packed = packing.place(_blank_domains(15, 73), needs)
    counts = _count_by_model(placements)
    assert 0.8 <= 32 * counts["large"] / (8 * counts["small"]) <= 1.25
    assert all(domain.free >= domain.reserve for domain in packed)


def test_survivors_of_a_replica_get_a_newcomer_for_the_member_they_lost():
    domain = _domain(
        in_replicas={"small": 2}, holders={"large": 3, "small": 1}, blank=1
    )
    needs = [_need("large", 4, 3, 2.0), _need("small", 2, 5, 2.0)]
    placements, _ = packing.place([domain], needs)
    assert placements == [
        packing.Placement("zone-a", "d0", "large", 3, loads=1, reloads=())
    ]


def test_one_missing_replica_uses_the_spares_of_one_zone_only():
    domains = [
        _domain(zone=zone, in_replicas={"large": 4, "small": 2}, blank=2)
        for zone in ("zone-a", "zone-b", "zone-c")
    ]
    needs = [_need("large", 4, 3, 1.0), _need("small", 2, 3, 3.5)]
    placements, _ = packing.place(domains, needs)
    assert _count_by_model(placements) == {"small": 1}


def test_some_spares_of_a_replica_keep_its_weights_while_a_model_is_short():
    needs = [_need("large", 4, 1), _need("small", 3)]
    for spare_count, reloads in ((4, []), (5, [(("large", 3),)])):
        domain = _domain(
            in_replicas={"large": 4}, holders={"large": spare_count}
        )
        placements, _ = packing.place([domain], needs)
        small = [
            placement for placement in placements if placement.model == "small"
        ]
        assert [placement.reloads for placement in small] == reloads


def test_spares_follow_the_members_that_may_fail():
    needs = [_need("large", 4, 6, 2.0), _need("small", 2, 6, 4.0)]
    domain = _domain(in_replicas={"large": 4, "small": 2}, blank=2)
    assert packing.spare_weights(domain, needs, 2) == ["large", "small"]
    domain = _domain(
        in_replicas={"large": 4, "small": 2}, holders={"large": 2}, blank=1
    )
    assert packing.spare_weights(domain, needs, 1) == ["small"]


def test_replica_that_needs_no_load_precedes_one_that_takes_its_engines():
    domain = _domain(holders={"large": 5, "small": 1})
    needs = [_need("large", 4, 4, 3.0), _need("small", 2, 2, 4.0)]
    placements, _ = packing.place([domain], needs)
    assert [(placement.model, placement.loads) for placement in placements] == [
        ("large", 0)
    ]


def test_short_wide_replica_is_rebuilt_with_the_last_spare_of_another_model():
    domain = _domain(in_replicas={"small": 2}, holders={"large": 3, "small": 1})
    needs = [_need("large", 4, 1, 3.0), _need("small", 2, 8, 5.0)]
    placements, _ = packing.place([domain], needs)
    assert [
        (placement.model, placement.reloads) for placement in placements
    ] == [("large", (("small", 1),))]


def test_model_that_is_hardly_worse_off_takes_no_idle_engines_of_another():
    domain = _domain(holders={"large": 3, "small": 1})
    needs = [_need("large", 4, 3, 3.0), _need("small", 2, 5, 5.5)]
    placements, _ = packing.place([domain], needs)
    assert "small" not in _count_by_model(placements)


def test_what_can_be_served_is_served_in_odd_deployments():
    cases = [
        # Domains of one engine.
        (_blank_domains(3, 1), [_need("large", 2), _need("small", 1)], "small"),
        # A model wider than every domain.
        (_blank_domains(2, 8), [_need("large", 9), _need("small", 4)], "small"),
        # A model without a share of the load.
        (
            _blank_domains(1, 4),
            [_need("large", 4, share=1.0), _need("small", 2, share=0.01)],
            "large",
        ),
    ]
    for domains, needs, served in cases:
        placements, _ = packing.place(domains, needs)
        assert _count_by_model(placements)[served] >= 1


def test_work_of_packing_does_not_grow_with_domains_times_replicas():
    calls = 0

    def count_calls(*arguments):
        nonlocal calls
        calls += 1
        return placement_in(*arguments)

    needs = [_need("large", 16), _need("small", 4)]
    placement_in = packing._placement
    with mock.patch.object(packing, "_placement", count_calls):
        placements, _ = packing.place(_blank_domains(84, 73), needs)
    assert len(placements) > 400
    assert calls < 20 * len(placements)


def test_model_wider_than_every_domain_is_named_and_the_other_is_placed():
    needs = [_need("wide", 12), _need("narrow", 2)]
    domains = _blank_domains(2, 8)
    models = [need.spec for need in needs]
    assert packing.too_wide(domains, models) == ("wide",)
    placements, _ = packing.place(domains, needs)
    assert _count_by_model(placements).keys() == {"narrow"}


def test_models_of_equal_span_share_the_domains():
    needs = [_need("one", 4), _need("two", 4)]
    placements, _ = packing.place(_blank_domains(4, 4), needs)
    assert _count_by_model(placements) == {"one": 2, "two": 2}
