"""Tests of membership, caller addresses and messages between peers."""

import collections

import hypothesis
from hypothesis import strategies

from tamarackpier import quarantine
from tamarackpier.peer import (
    addresses,
    codec,
    crash_codec,
    interest,
    membership,
)
from tamarackpier.wire import peer_pb2
from tests import fixtures

LIVE = membership.Liveness.LIVE


def _members():
    return membership.Members(fixtures.record("me"), suspect_s=3.0)


def _update_liveness_at(members, times):
    for now in times:
        members.update_liveness(now)


def test_silent_peer_is_suspected_then_gone_and_can_return():
    members = _members()
    members.merge([fixtures.record("p")], 0.0)
    members.record_message("p", 0.0)
    _update_liveness_at(members, (0.0, 3.0))
    assert members.liveness("p", 3.0) is LIVE
    members.update_liveness(3.1)
    assert members.own_record.id not in members.silent
    assert members.liveness("p", 3.1) is membership.Liveness.SUSPECTED
    members.record_message("p", 4.0)
    members.update_liveness(4.0)
    assert members.liveness("p", 4.0) is LIVE
    _update_liveness_at(members, (7.1, 16.2))
    assert "p" not in members.peers
    members.merge([fixtures.record("p", revision=2)], 17.0)
    members.update_liveness(17.0)
    assert members.liveness("p", 17.0) is LIVE


def test_single_monitor_cannot_make_peer_suspected():
    members = _members()
    peers = [fixtures.record(name) for name in ("p", "q", "r")]
    members.merge(peers, 0.0)
    for now in (0.0, 2.0, 4.0):
        for name in ("q", "r"):
            members.record_message(name, now)
        members.update_liveness(now)
    assert members.silent == {"p@1"}
    assert members.liveness("p", 4.0) is LIVE
    reporter_record = fixtures.record("q", 2, silent=frozenset({"p@1"}))
    members.merge([reporter_record], 4.1)
    members.record_message("q", 4.1)
    members.record_message("r", 4.1)
    members.update_liveness(4.1)
    assert members.liveness("p", 4.1) is membership.Liveness.SUSPECTED
    members.merge([fixtures.record("q", 3)], 4.2)
    members.update_liveness(4.2)
    assert members.liveness("p", 4.2) is LIVE


def test_peers_that_fail_together_are_suspected():
    members = _members()
    peers = [fixtures.record(name) for name in ("p", "q", "r")]
    members.merge(peers, 0.0)
    _update_liveness_at(members, (0.0, 3.1))
    assert members.live(3.1) == []


def test_paused_instance_does_not_suspect_its_peers():
    members = _members()
    members.merge([fixtures.record("p")], 0.0)
    members.update_liveness(0.0)
    members.update_liveness(60.0, was_paused=True)
    assert members.liveness("p", 60.0) is LIVE


def test_each_instance_monitors_three_peers_and_has_three_monitors():
    names = [f"entry-{number}" for number in range(50)]
    monitor_counts = collections.Counter()
    for name in names:
        members = membership.Members(fixtures.record(name), 3.0)
        members.merge(map(fixtures.record, names), 0.0)
        assert len(members.monitored()) == 3
        monitor_counts.update(members.monitored())
    assert set(monitor_counts.values()) == {3}


def test_leaving_peer_accepts_no_new_callers():
    members = _members()
    members.merge([fixtures.record("p", is_leaving=True)], 0.0)
    assert [record.id for record in members.serving(0.0)] == ["me"]
    members.merge([fixtures.record("q")], 0.0)
    members.listed_leaving = frozenset({"q"})
    assert [record.id for record in members.serving(0.0)] == ["me"]


def test_peer_is_sent_only_records_that_it_lacks():
    members = _members()
    members.merge([fixtures.record("p", 5)], 0.0)
    members.merge([fixtures.record("q", 2)], 100.0)

    def newer_ids(known, is_full):
        records = members.newer_records(known, is_full, 100.0)
        return sorted(record.id for record in records)

    all_known = {"p": (1, 5), "q": (1, 2), "me": (1, 1)}
    assert newer_ids(all_known, True) == []
    assert newer_ids(all_known | {"p": (1, 4)}, True) == ["p"]
    assert newer_ids({"me": (1, 1)}, False) == ["q"]


def test_domain_status_outlives_its_planner():
    members = _members()
    status = membership.DomainStatus("d", "z", 5, 5, {}, 2)
    members.merge([fixtures.record("p", domains=(status,))], 0.0)
    members.merge([fixtures.record("p", revision=2, is_leaving=True)], 1.0)
    assert members.statuses["d"] == status
    older_status = membership.DomainStatus("d", "z", 5, 1, {}, 1)
    members.merge([fixtures.record("q", domains=(older_status,))], 2.0)
    assert members.statuses["d"] == status


def test_callers_spread_evenly_and_keep_their_first_address():
    serving = [fixtures.record(f"entry-{number}") for number in range(8)]
    first_counts = collections.Counter(
        addresses.answer(f"caller-{number}", "", serving, 10.0).addresses[0]
        for number in range(2000)
    )
    assert max(first_counts.values()) < 1.3 * 2000 / 8
    moved = 0
    for number in range(2000):
        before = addresses.answer(f"caller-{number}", "", serving, 10.0)
        after = addresses.answer(f"caller-{number}", "", serving[1:], 10.0)
        moved += before.addresses[0] != after.addresses[0]
    assert moved == first_counts["entry-0:1"]


def test_addresses_in_zone_of_caller_come_first():
    serving = [
        fixtures.record("entry-1"),
        fixtures.record("entry-2", availability_zone="zone-b"),
    ]
    for number in range(20):
        answer = addresses.answer(f"caller-{number}", "zone-b", serving, 10.0)
        assert answer.addresses == ("entry-2:1", "entry-1:1")


def test_record_is_unchanged_by_encoding_and_decoding():
    status = membership.DomainStatus("d", "z", 5, 4, {("m", "v", 4): 1}, 2)
    record = fixtures.record(
        "p",
        revision=9,
        is_leaving=True,
        sheet_version=3,
        demand={"a": membership.AccountDemand(2.5, 1.0)},
        domains=(status,),
        leaving_engines=frozenset({"e1"}),
    )
    assert codec.record_from_wire(codec.record_to_wire(record)) == record


def test_decoded_event_is_never_later_than_the_event():
    evidence = fixtures.evidence(at=10.0)
    message = codec.evidence_to_wire(evidence, now=12.5)
    # The request was sent before the reply was built.
    assert codec.evidence_from_wire(message, asked_at=12.4).at <= 9.9
    crash = quarantine.Crash("f", "r@1", 10.0)
    message = crash_codec.crash_to_wire(crash, now=12.5)
    assert crash_codec.crash_from_wire(message, asked_at=12.4).at <= 9.9


@hypothesis.settings(derandomize=True, database=None)
@hypothesis.given(strategies.binary(max_size=120))
def test_any_bytes_from_peer_give_a_record_or_value_error(data):
    message = peer_pb2.PeerRecord()
    try:
        message.ParseFromString(data)
    except Exception as error:
        assert type(error).__name__ == "DecodeError"
        return
    try:
        codec.record_from_wire(message)
    except ValueError:
        return
    assert message.id


def test_instance_uses_few_of_many_domains_but_reaches_every_kind():
    common, rare = ("draft", "v1", 16), ("rare", "v1", 4)
    holding = {f"d{number}": [common] for number in range(97)}
    holding["d5"] = [common, rare]
    use_counts = collections.Counter()
    for number in range(330):
        domains = interest.used_domains(f"entry-{number}", holding, 8)
        assert "d5" in domains
        assert 8 <= len(domains) <= 9
        use_counts.update(domains)
    assert len(use_counts) == 97
    few_domains = {"d1": [common], "d2": []}
    assert interest.used_domains("entry-1", few_domains, 8) == ["d1", "d2"]
