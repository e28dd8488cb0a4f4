"""Tests parts of a hosted instance: routing, decoding, retries, probes."""

import asyncio
import json
import random

import hypothesis
from hypothesis import strategies
from returns import pipeline

from tamarackpier import codes, hosted_settings, invariants, metrics
from tamarackpier.daemon import probing, row_cache
from tamarackpier.fleet import fleet_view, model
from tamarackpier.peer import roster as roster_lib
from tamarackpier.platform import decode, edge, interfaces, wire
from tamarackpier.routing import table
from tamarackpier.traffic import (
    budget,
    events,
    load,
    score,
    selection,
    stopping,
    stream_attempts,
)
from tests import fixtures, hosted_fixtures

FUZZ = hypothesis.settings(
    derandomize=True, database=None, max_examples=200, deadline=None
)
JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(max_size=8), inner)
    ),
    max_leaves=12,
)

SETTINGS = """
[instance]
id = front-1
availability_zone = zone-a
region = region-1
ip = 10.1.0.40
[listen]
callers = 10.1.0.40:8227
readiness = 10.1.0.40:8220
addresses = 10.1.0.40:8224
first_internal_port = 7340
contacts = 10.1.0.40:8229,10.2.0.29:8229
[store]
address = 10.200.1.7:8223
"""


def test_a_request_takes_the_route_with_the_longest_prefix_of_its_host():
    routes = (
        hosted_fixtures.route(name="short", prefix="/a/"),
        hosted_fixtures.route(name="long", prefix="/a/b/"),
        hosted_fixtures.route(name="other", host="b.example", prefix="/"),
    )
    routing = table.create_routing(hosted_fixtures.configuration(1, routes))
    assert routing.match("A.example", "/a/b/c").unwrap().name == "long"
    assert routing.match("a.example:80", "/a/bc").unwrap().name == "short"
    assert routing.match("b.example", "/x").unwrap().name == "other"
    match_result = routing.match("a.example", "/x")
    assert match_result.failure().code is codes.NO_ROUTE


def test_all_but_public_routes_require_a_known_key():
    routing = table.create_routing(hosted_fixtures.configuration())
    private_route = hosted_fixtures.route()
    public_route = hosted_fixtures.route(is_public=True)
    assert routing.account(private_route, "key-1").unwrap().name == "clerks"
    assert (
        routing.account(private_route, "x").failure().code is codes.UNKNOWN_KEY
    )
    assert routing.account(private_route, None).failure().code is codes.NO_KEY
    assert routing.account(public_route, None).unwrap() is None


def _configuration_document(version):
    return {
        "version": version,
        "routes": [
            {
                "name": "r",
                "host": "a.example",
                "path_prefix": "/d/",
                "kind": "streaming",
                "timeout_ms": 8000,
                "target_latency_ms": 300,
                "priority": 1,
                "service": "s",
                "max_attempts": 2,
                "resume_streams": True,
                "gap_target_ms": 300,
            }
        ],
        "services": [{"name": "s"}],
        "limits": {"max_body_bytes": 10},
        "tenants": [{"name": "t", "api_keys": ["k"], "priority": 1}],
    }


def test_an_older_configuration_is_never_applied():
    applied_versions = []
    cache = row_cache.ConfigurationCache(
        lambda routing: applied_versions.append(routing.version),
        metrics.Metrics(),
        invariants.Invariants(strict=True),
        lambda: 0.0,
    )

    def apply_configuration(document):
        cache.apply_rows(
            interfaces.Changes(
                (
                    hosted_fixtures.change(
                        wire.Field.CONFIGURATION_KEY, document
                    ),
                ),
                1,
            )
        )

    apply_configuration(_configuration_document(5))
    apply_configuration(_configuration_document(3))
    apply_configuration({"version": "no"})
    apply_configuration(_configuration_document(9))
    assert applied_versions == [5, 9]
    assert cache.version == 9
    route = cache.routing.match("a.example", "/d/1").unwrap()
    assert (route.timeout_s, route.objective_s) == (8.0, 0.3)
    assert route.is_repeatable


@FUZZ
@hypothesis.given(JSON)
def test_any_configuration_is_decoded_or_refused_with_a_code(value):
    decoded = decode.configuration(json.dumps(value).encode())
    if not pipeline.is_successful(decoded):
        assert decoded.failure().code is codes.BAD_CONFIGURATION


@FUZZ
@hypothesis.given(strategies.binary(max_size=60), JSON, JSON)
def test_any_engine_row_is_decoded_or_refused_with_a_code(data, group, state):
    row = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "z",
        "slots": 3,
        "state": "ready",
        "group": group,
        "staged": state,
    }
    for encoded in (data, json.dumps(row).encode()):
        decoded = decode.engine_record("e", encoded)
        if not pipeline.is_successful(decoded):
            assert decoded.failure().code is codes.BAD_UPSTREAM_DATA


@FUZZ
@hypothesis.example({"running": float("inf")})
@hypothesis.example({"models": {}, "staged": 1})
@hypothesis.given(
    strategies.fixed_dictionaries(
        {},
        optional={
            name: JSON
            for name in ("group", "running", "queued", "pace", "born")
            + ("models", "staged")
        },
    )
)
def test_any_engine_report_is_decoded_or_refused_with_a_code(value):
    decoded = decode.engine_report("e1", json.dumps(value).encode())
    if not pipeline.is_successful(decoded):
        assert decoded.failure().code is codes.BAD_UPSTREAM_DATA


def test_an_engine_row_is_decoded_into_a_record():
    row = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "z",
        "slots": 13,
        "state": "draining",
        "born": 17,
        "models": [{"name": "m"}],
        "domain": "d",
        "staged": ["m"],
        "group": {"name": "g", "epoch": 4, "rank": 1, "state": "ready"},
    }
    record = decode.engine_record("e", json.dumps(row).encode()).unwrap()
    assert record.is_leaving
    assert record.incarnation == 17
    assert record.membership == model.Membership(
        model.ReplicaKey("g", 4), 1, model.MemberState.READY
    )
    row["state"] = "odd"
    assert not pipeline.is_successful(
        decode.engine_record("e", json.dumps(row).encode())
    )


@FUZZ
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from((b"host", b"connection", b"x")),
            strategies.binary(max_size=12),
        ),
        max_size=6,
    ),
    strategies.binary(max_size=12),
)
def test_any_request_head_is_decoded(headers, deadline_text):
    headers = [*headers, (wire.Header.DEADLINE_MS.encode(), deadline_text)]
    scope = {"method": "GET", "raw_path": b"/a", "headers": headers}
    request = edge.decode_request(scope, b"/a?b", 10.0)
    assert request.deadline > 10.0 or deadline_text.strip().isdigit()


def test_the_last_part_of_a_prompt_is_not_one_that_requests_share():
    for text, shared in (
        (b"", ()),
        (b"5c:800", ()),
        (b"5c:800,91:410, e4:250", ("5c", "91")),
        (b",:3,5c,e4", ("5c",)),
        (b"a:1," * 20_000, ("a",) * 63),
    ):
        headers = [(wire.Header.PROMPT_PARTS.encode(), text)]
        scope = {"method": "GET", "raw_path": b"/a", "headers": headers}
        request = edge.decode_request(scope, b"/a", 0.0)
        assert request.prompt_parts == shared
        assert request.headers == tuple(headers)


def test_internal_and_hop_by_hop_headers_of_callers_are_dropped():
    headers = [
        (wire.Header.ACCOUNT.encode(), b"forged"),
        (wire.Header.EXPECT_ENGINE.encode(), b"forged"),
        (wire.Header.AUTHORIZATION.encode(), b"Token secret"),
        (b"connection", b"x-hop"),
        (b"x-hop", b"1"),
        (b"x-kept", b"1"),
    ]
    scope = {"method": "GET", "raw_path": b"/a", "headers": headers}
    request = edge.decode_request(scope, b"/a", 0.0)
    assert request.headers == ((b"x-kept", b"1"),)
    assert request.key == "secret"


@FUZZ
@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.floats(0, 0.4), strategies.booleans()),
        max_size=300,
    )
)
def test_retries_never_exceed_the_budget_in_any_window(steps):
    retry_budget = budget.RetryBudget(0.2, 7.0, 10.0, -10.0)
    now = 0.0
    request_times, retry_times = [], []
    for pause_s, is_retry in steps:
        now += pause_s
        if is_retry:
            if retry_budget.spend(now):
                retry_times.append(now)
        else:
            retry_budget.count_request(now)
            request_times.append(now)
    for end in retry_times:
        window_retries = [at for at in retry_times if end - 10 < at <= end]
        window_requests = [at for at in request_times if end - 20 < at <= end]
        assert len(window_retries) <= 0.2 * len(window_requests) + 7.0


def test_instances_share_the_extra_retries():
    retry_count = 0
    for _ in range(4):
        retry_budget = budget.RetryBudget(0.2, 100.0, 10.0, -10.0)
        retry_budget.instances = 4
        while retry_budget.spend(0.0):
            retry_count += 1
    assert retry_count <= 100


def test_retries_count_against_changed_limits_of_the_budget():
    for window_s in (5.0, 10.0, 20.0):
        retry_budget = budget.RetryBudget(0.2, 100.0, 10.0, -60.0)
        for _ in range(40):
            assert retry_budget.spend(0.0)
        retry_budget.set_limits(0.2, 40.0, window_s)
        assert not retry_budget.spend(0.1)
        retry_budget.set_limits(0.2, 100.0, window_s)
        assert retry_budget.usage(0.2).retries == 40


def test_a_newly_started_process_has_a_small_retry_budget():
    retry_budget = budget.RetryBudget(0.2, 100.0, 10.0, 0.0)
    retry_count = 0
    while retry_budget.spend(1.0):
        retry_count += 1
    assert retry_count <= 10


@FUZZ
@hypothesis.given(
    strategies.integers(1, 12),
    strategies.lists(strategies.integers(0, 200), max_size=4),
    strategies.integers(1, 40),
)
def test_events_arrive_complete_once_and_in_order_across_any_cuts(
    count, cuts, chunk_bytes
):
    sent_events = [
        b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(1, count + 1)
    ]
    stream = events.EventStream()
    output = b""
    for cut in [*cuts, None]:
        received_count = int(stream.last_id or 0)
        data = b"".join(sent_events[received_count:])[:cut]
        for start in range(0, len(data), chunk_bytes):
            output += stream.feed(data[start : start + chunk_bytes])
        stream.resume()
    assert output == b"".join(sent_events)


def test_a_gap_after_a_resume_is_detected():
    stream = events.EventStream("4")
    stream.resume()
    try:
        stream.feed(b"id: 6\ndata: x\n\n")
    except events.StreamGapError as error:
        assert "event 6 came after event 4" in str(error)
    else:
        raise AssertionError("the gap was not detected")
    assert stream.feed(b"id: 4\ndata: again\n\n") == b""


def test_loads_of_peers_count_until_they_expire():
    loads = load.Loads()
    loads.begin("e1", 100)
    loads.update_peer("p", {"e1": load.Usage(3, 50)}, 10.0)
    assert loads.usage("e1") == load.Usage(4, 150)
    loads.expire(20.0)
    assert loads.usage("e1") == load.Usage(1, 100)
    loads.finish_reading("e1", 100)
    loads.end("e1")
    assert loads.own_usages == {}


def test_a_request_goes_to_the_replica_with_the_soonest_first_event():
    replicas = []
    for name in ("busy", "calm", "slow"):
        records = hosted_fixtures.replica_records(name)
        members = tuple(enumerate(records))
        replicas.append(
            model.Replica(model.ReplicaKey(name, 1), "large", 4, members)
        )
    usages = {"busy": load.Usage(12, 8000)}
    criteria = selection.SelectionCriteria("zone-a", 1000)
    candidates = selection.replica_candidates(
        replicas,
        hosted_fixtures.SPEC,
        lambda key: usages.get(key.replica, load.Usage()),
        lambda key: 6.0 if key.replica == "slow" else 1.0,
        criteria,
    )
    for name in ("soonest", "few_choices"):
        choose = selection.CHOOSERS.get(name)
        for seed in range(20):
            candidate = choose(candidates, criteria, random.Random(seed))
            assert candidate.key.replica == "calm"
    assert all(candidate.has_capacity for candidate in candidates)


def test_a_replica_that_would_miss_the_objective_has_no_capacity():
    records = hosted_fixtures.replica_records("r")
    replica = model.Replica(
        model.ReplicaKey("r", 1), "large", 4, tuple(enumerate(records))
    )

    def has_capacity(running, slowness=1.0):
        candidates = selection.replica_candidates(
            [replica],
            hosted_fixtures.SPEC,
            lambda key: load.Usage(running, 0),
            lambda key: slowness,
            selection.SelectionCriteria("zone-a", 1000, 0.3),
        )
        return candidates[0].has_capacity

    assert has_capacity(12)
    assert has_capacity(13)
    assert not has_capacity(16)
    assert has_capacity(5, 9.0)
    assert not has_capacity(9, 9.0)


def test_scores_decay_so_that_a_recovered_engine_is_tried_again():
    scores = score.Scores()
    for _ in range(10):
        scores.record_failure("e", 0.0)
    assert scores.failure_rate("e", 0.0) > 0.9
    assert scores.failure_rate("e", 15.0) < 0.05
    scores.record_success("s", 1.0, 0.0)
    assert scores.latency("s", 0.1, 0.0) == 1.0
    assert scores.latency("s", 0.1, 30.0) < 0.11


def test_configuration_of_a_model_without_engines_is_unreadable():
    for size in (0, -4):
        engine = {"models": [{"name": "large", "size": size}]}
        document = {
            "version": 1,
            "services": [{"name": "drafts", "engine": engine}],
        }
        decoded = decode.configuration(json.dumps(document).encode())
        assert decoded.failure().code is codes.BAD_CONFIGURATION
        assert "large" in str(decoded.failure())


def test_needless_probe_rounds_make_an_instance_more_patient():
    async def check():
        async with asyncio.timeout(None) as timeout_scope:
            streams = stream_attempts.StreamAttempts()
            key = model.ReplicaKey("r", 1)
            attempt = stream_attempts.StreamAttempt(
                "q", key, "e", timeout_scope, 0.0, 0.04, 0.0
            )
            streams.add(attempt, 0.0)
            assert streams.silent(0.15)
            for _ in range(20):
                streams.record_needless_round(0.0)
            assert streams.silent(0.6) == []
            # A replica is stuck after 1.5 s, which a round has to find.
            assert streams.silent(1.0)
            attempt.waiting_since = 99.9
            assert streams.silent(100.04) == []
            assert streams.silent(100.1)

    asyncio.run(check())


def test_only_a_replica_whose_streams_are_all_silent_is_reported():
    async def check():
        async with asyncio.timeout(None) as timeout_scope:
            streams = stream_attempts.StreamAttempts()
            key = model.ReplicaKey("r", 1)
            stream_attempt = stream_attempts.StreamAttempt(
                "q", key, "e", timeout_scope, 0.0, 0.04, 0.05
            )
            streams.add(stream_attempt, 0.0)
            assert streams.silent(0.2) == []
            assert streams.silent(0.25)[0][0] == key
            streams.record_data(key, 0.2)
            assert streams.silent(0.25) == []
            stream_attempt.waiting_since = None
            assert streams.silent(9.0) == []
            streams.remove(stream_attempt)
            assert streams.by_key == {}

    asyncio.run(check())


def test_a_probe_round_names_the_member_that_failed():
    records = hosted_fixtures.replica_records()
    replica = model.Replica(
        model.ReplicaKey("r1", 1), "large", 4, tuple(enumerate(records))
    )

    def healthy_report(engine):
        return probing.result.Success(
            model.EngineReport(engine.id, engine.membership, 0, 0, 1.0)
        )

    reports = {member.id: healthy_report(member) for member in records}
    assert probing.evaluate(replica, reports).reason == ""
    reports["r1-2"] = probing.failures.failure(codes.UPSTREAM_UNREACHABLE, "x")
    probe_result = probing.evaluate(replica, reports)
    assert probe_result.silent == ("r1-2",)
    other_membership = model.Membership(
        model.ReplicaKey("r9", 2), 0, model.MemberState.READY
    )
    reports["r1-2"] = probing.result.Success(
        model.EngineReport("r1-2", other_membership, 0, 0, 1.0)
    )
    assert "r9" in probing.evaluate(replica, reports).reason


def _presence(instance_id, incarnation=1, beat=1, **overrides):
    fields = {
        "availability_zone": "zone-a",
        "caller_address": f"{instance_id}:1",
        "peer_address": f"{instance_id}:2",
        "is_ready": True,
        "is_leaving": False,
    }
    return roster_lib.Presence(
        instance_id, incarnation, beat, **(fields | overrides)
    )


def test_addresses_omit_instances_that_are_silent_leaving_or_not_ready():
    roster = roster_lib.Roster(_presence("a"))
    roster.merge(
        [
            _presence("b"),
            _presence("c", is_leaving=True),
            _presence("d", is_ready=False),
            _presence("e"),
        ],
        0.0,
    )
    assert roster.caller_addresses(0.5) == ["a:1", "b:1", "e:1"]
    roster.refuse("e", 0.5)
    assert roster.caller_addresses(0.6) == ["a:1", "b:1"]
    roster.merge([_presence("e", beat=2)], 1.0)
    assert roster.caller_addresses(1.5) == ["a:1", "e:1"]


def test_a_repeated_beat_does_not_make_a_peer_live():
    roster = roster_lib.Roster(_presence("a"))
    roster.merge([_presence("b", beat=7)], 0.0)
    roster.merge([_presence("b", beat=7)], 5.0)
    assert roster.live(5.1) == []


def test_a_restart_after_the_clock_was_set_back_is_accepted():
    roster = roster_lib.Roster(_presence("a"))
    roster.merge([_presence("b", incarnation=9_000, beat=50)], 0.0)
    roster.merge([_presence("b", incarnation=7_000, beat=1)], 0.5)
    assert roster.others["b"][0].incarnation == 9_000
    roster.merge([_presence("b", incarnation=7_000, beat=4)], 2.0)
    assert [peer.incarnation for peer in roster.live(2.1)] == [7_000]


def test_only_a_newer_incarnation_proves_that_a_process_has_ended():
    roster = roster_lib.Roster(_presence("a", incarnation=5))
    roster.merge([_presence("b", incarnation=3)], 0.0)
    assert not roster.has_ended("b", 3)
    assert not roster.has_ended("unknown", 1)
    roster.merge([_presence("b", incarnation=4)], 1.0)
    assert roster.has_ended("b", 3)
    assert roster.has_ended("a", 4)


def test_suspensions_expire():
    fleet = fleet_view.FleetView()
    key = model.ReplicaKey("r", 1)
    assert fleet.suspend(fleet_view.Suspension(key, 2.0, (), "x"))
    assert not fleet.suspend(fleet_view.Suspension(key, 1.0, (), "x"))
    fleet.expire(2.5)
    assert fleet.suspended == {}


def test_settings_of_a_hosted_instance_are_checked():
    settings = hosted_settings.from_text(SETTINGS).unwrap()
    assert settings.listen.contacts == ("10.1.0.40:8229", "10.2.0.29:8229")
    assert settings.bounds.retry_ratio == 0.2
    text_without_contacts = SETTINGS.replace(
        "10.1.0.40:8229,10.2.0.29:8229", ""
    )
    assert (
        hosted_settings.from_text(text_without_contacts)
        .unwrap()
        .listen.contacts
        == ()
    )
    invalid_text = SETTINGS.replace("ip = 10.1.0.40\n", "").replace(
        "7340", "many"
    )
    settings = hosted_settings.from_text(invalid_text + "[other]\nx = 1\n")
    assert fixtures.failure_numbers(settings) == [1002, 1005, 1004]


def test_a_closing_lead_suspends_its_replica_without_reforming_it():
    records = hosted_fixtures.replica_records(state=model.MemberState.CLOSING)
    replica = model.Replica(
        model.ReplicaKey("r1", 1), "large", 4, tuple(enumerate(records))
    )
    reports = {
        member.id: probing.result.Success(
            model.EngineReport(member.id, member.membership, 0, 0, 1.0)
        )
        for member in records
    }
    probe_result = probing.evaluate(replica, reports)
    assert probe_result.reason == "r1-0 is closing"
    assert not probe_result.must_reform


def test_many_failed_attempts_probe_each_member_once():
    probed_ids = []

    class FakeGateway:
        async def report(self, engine, timeout_s):
            probed_ids.append(engine.id)
            return probing.result.Success(
                model.EngineReport(engine.id, engine.membership, 0, 0, 1.0)
            )

    async def check():
        fleet = fleet_view.FleetView()
        fleet.set_services(hosted_fixtures.services())
        fleet.replace(hosted_fixtures.replica_records(), 0.0)
        prober = probing.Prober(
            fleet,
            FakeGateway(),
            stream_attempts.StreamAttempts(),
            metrics.Metrics(),
            lambda: 5.0,
        )
        for _ in range(10):
            prober.probe_after_failure(model.ReplicaKey("r1", 1))
            await asyncio.sleep(0.01)

    asyncio.run(check())
    assert sorted(probed_ids) == ["r1-0", "r1-1", "r1-2", "r1-3"]


def test_only_needless_rounds_for_silence_make_an_instance_patient():
    class FakeGateway:
        async def report(self, engine, timeout_s):
            return probing.result.Success(
                model.EngineReport(engine.id, engine.membership, 0, 1, 1.0)
            )

    async def check():
        fleet = fleet_view.FleetView()
        fleet.set_services(hosted_fixtures.services())
        fleet.replace(hosted_fixtures.replica_records(), 0.0)
        streams = stream_attempts.StreamAttempts()
        prober = probing.Prober(
            fleet, FakeGateway(), streams, metrics.Metrics(), lambda: 5.0
        )
        key = model.ReplicaKey("r1", 1)
        await prober.probe(key, "an attempt failed")
        assert streams.current_patience(5.0) == 1.0
        async with asyncio.timeout(None) as timeout_scope:
            streams.add(
                stream_attempts.StreamAttempt(
                    "q", key, "e", timeout_scope, 4.0, 0.04, 0.0
                ),
                4.0,
            )
            streams.probed_at.clear()
            prober.probe_silent_replicas()
            await prober.running_probes[key]
            await asyncio.sleep(0)
        assert streams.current_patience(5.0) > 1.0

    asyncio.run(check())


def test_requests_queued_at_the_lead_do_not_make_a_replica_stuck():
    async def check(queued):
        class FakeGateway:
            async def report(self, engine, timeout_s):
                return probing.result.Success(
                    model.EngineReport(
                        engine.id, engine.membership, 13, queued, 1.0
                    )
                )

        fleet = fleet_view.FleetView()
        fleet.set_services(hosted_fixtures.services())
        fleet.replace(hosted_fixtures.replica_records(), 0.0)
        streams = stream_attempts.StreamAttempts()
        prober = probing.Prober(
            fleet, FakeGateway(), streams, metrics.Metrics(), lambda: 10.0
        )
        key = model.ReplicaKey("r1", 1)
        stream_attempt = stream_attempts.StreamAttempt(
            "q", key, "e", FakeTimeout(), 8.0, 0.04, 0.0
        )
        streams.add(stream_attempt, 0.0)
        return await prober.probe(key, "silent"), stream_attempt.move_reason

    class FakeTimeout:
        def reschedule(self, when):
            self.when = when

    probe_result, move_reason = asyncio.run(check(queued=3))
    assert (probe_result.reason, move_reason) == ("", "")
    probe_result, move_reason = asyncio.run(check(queued=0))
    assert (probe_result.reason, move_reason) == (
        "nothing moves",
        "nothing moves",
    )


def test_a_stop_serves_then_refuses_then_ends():
    phases = [
        stopping.stop_phase(since_s, 8.0, in_flight).value
        for since_s, in_flight in (
            (0.1, 0),
            (3.0, 5),
            (3.05, 5),
            (3.5, 5),
            (4.5, 5),
            (4.5, 0),
            (7.7, 5),
        )
    ]
    assert phases == [
        "serves",
        "serves",
        "refuses",
        "refuses",
        "refuses",
        "ends",
        "ends",
    ]
