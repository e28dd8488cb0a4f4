"""Tests of state exchange between entry instances, and of row sources."""

import asyncio
import random
import tracemalloc
import types

import grpc
import hypothesis
from hypothesis import strategies
from returns import result

from tamarackpier import codes, failures, metrics, quarantine
from tamarackpier.daemon import (
    entry_peers,
    peer_status,
    row_cache,
    row_source,
    zone_lease,
)
from tamarackpier.fleet import departures, fleet_view, model
from tamarackpier.peer import partners, propagation, pulls, zone_claims
from tamarackpier.peer import roster as roster_lib
from tamarackpier.platform import interfaces
from tamarackpier.traffic import load, rate_limits
from tamarackpier.wire import entry_pb2, entry_pb2_grpc
from tests import exchange_fixtures

MAX_GROWTH_BYTES = 1_000_000
# Target for control traffic of an instance at the two-year fleet size.
MAX_BYTES_PER_S = 29_000
# Bound by which all instances know of a crash.
KNOWN_AFTER_S = 3.0
# Time after which an engine that leaves gets no requests.
DRAIN_S = 2.0


def test_in_small_fleet_every_pair_exchanges():
    own = exchange_fixtures.presence(0)
    live = [exchange_fixtures.presence(index) for index in range(1, 8)]
    selected = partners.choose(own, live, (), 1, False, random.Random(1))
    assert selected == {peer.peer_address for peer in live}


def test_every_instance_learns_of_all_live_and_silent_peers():
    for count in (7, 69):
        fleet = exchange_fixtures.Fleet(count)
        fleet.run(24)
        assert set(fleet.live_counts()) == {count - 1}
        for _ in range(20):
            fleet.run(1)
            assert set(fleet.live_counts()) == {count - 1}
        fleet.dead = set(sorted(fleet.nodes)[:3])
        fleet.run(14)
        assert set(fleet.live_counts()) == {count - 4}


def test_traffic_between_zones_stays_small_in_large_fleet():
    fleet = exchange_fixtures.Fleet(69)
    fleet.run(24)
    fleet.bytes = fleet.far_bytes = 0
    fleet.run(8)
    assert (
        fleet.far_bytes / (8 * exchange_fixtures.ROUND_S) / 69 < MAX_BYTES_PER_S
    )


def test_status_exchanges_of_large_fleet_stay_within_traffic_target():
    fleet = exchange_fixtures.Fleet(69)
    key = model.ReplicaKey("r1", 1)
    for node in fleet.nodes.values():
        node.relay.replica_loads.begin(key, 500)
    fleet.run(24)
    fleet.bytes = 0
    fleet.run(8)
    assert fleet.bytes / (8 * exchange_fixtures.ROUND_S) / 69 < MAX_BYTES_PER_S


def test_exchanges_pass_on_no_state_that_the_partner_has():
    fleet = exchange_fixtures.Fleet(69)
    fleet.run(24)
    fleet.counts_states = True
    fleet.run(8)
    # Every beat of every instance reaches every other one, once.
    assert fleet.passed_on >= 69 * 68
    assert fleet.repeated == 0


def test_limits_and_their_ends_are_known_to_all_of_a_fleet():
    fleet = exchange_fixtures.Fleet(69)
    fleet.run(12)
    nodes = list(fleet.nodes.values())
    engine = nodes[0].fleet.engines["r1-0"]
    for number, rate in ((7, 2.5), (60, None)):
        nodes[number].relay.limits.record(
            rate_limits.Limit(engine.id, engine.incarnation, rate, fleet.now)
        )
        fleet.run(int(KNOWN_AFTER_S / exchange_fixtures.ROUND_S))
        assert {node.relay.limits.rate(engine) for node in nodes} == {rate}


def test_a_departure_that_one_instance_heard_is_known_to_all_of_a_fleet():
    fleet = exchange_fixtures.Fleet(69)
    fleet.run(12)
    nodes = list(fleet.nodes.values())
    nodes[7].fleet.record_departure(departures.Departure("r1-0", 1))
    fleet.run(int(DRAIN_S / exchange_fixtures.ROUND_S))
    assert all(node.fleet.engines["r1-0"].is_leaving for node in nodes)


def test_crashes_found_by_different_instances_are_known_to_all_of_a_fleet():
    fleet = exchange_fixtures.Fleet(69)
    fleet.run(12)
    nodes = list(fleet.nodes.values())
    for number in range(3):
        nodes[20 * number].relay.quarantine.add(
            [quarantine.Crash("f", f"o{number}@1", fleet.now)]
        )
    late = fleet.nodes[nodes[68].roster.own_presence.peer_address]
    fleet.dead.add(late.roster.own_presence.peer_address)
    fleet.run(int(KNOWN_AFTER_S / exchange_fixtures.ROUND_S))
    for node in nodes[:68]:
        verdict = node.relay.quarantine.verdict("f", fleet.now)
        assert verdict is quarantine.Verdict.REFUSE
    # An instance that comes back later learns of it as well.
    fleet.run(40)
    fleet.dead.clear()
    fleet.run(12)
    verdict = late.relay.quarantine.verdict("f", fleet.now)
    assert verdict is quarantine.Verdict.REFUSE


def test_usage_and_claims_reach_instances_that_are_not_partners():
    fleet = exchange_fixtures.Fleet(69)
    first = next(iter(fleet.nodes.values()))
    key = model.ReplicaKey("r1", 1)
    first.relay.replica_loads.begin(key, 500)
    first.version = 7
    keeper = types.SimpleNamespace(
        zone="zone-0", is_overtime=True, next_fence=77
    )
    first.keepers = [keeper]
    fleet.run(24)
    for node in fleet.nodes.values():
        if node is not first:
            usage = node.relay.replica_loads.usage(key)
            assert usage == load.Usage(1, 500)
            claims = node.statuses.zone_claims()
            assert claims.overtime == {"zone-0"}
            assert not claims.leased
            assert claims.fences == {"zone-0": 77}
            holders = node.statuses.configuration_holders(7)
            assert [one.id for one in holders] == [first.roster.own_presence.id]
    first.relay.replica_loads.end(key, 500)
    fleet.run(8)
    for node in fleet.nodes.values():
        assert node.relay.replica_loads.usage(key) == load.Usage()


def test_state_of_earlier_incarnation_is_ignored():
    fleet = exchange_fixtures.Fleet(2)
    fleet.run(4)
    first, second = fleet.nodes.values()
    old_status = entry_pb2.EntryStatus.FromString(
        second.statuses.build_request().SerializeToString()
    )
    second.roster.own_presence = exchange_fixtures.presence(1, incarnation=2)
    second.version = 9
    fleet.run(2)
    first.statuses.receive(old_status)
    assert first.roster.others["entry-001"][0].incarnation == 2
    assert first.statuses.claims["entry-001"].configuration_version == 9


def test_observation_reaches_peer_with_stale_rows():
    fleet = exchange_fixtures.Fleet(2)
    fleet.run(2)
    first, second = fleet.nodes.values()
    record = first.fleet.engines["r1-1"]
    for node in (first, second):
        node.fleet.mark_store_unreachable("rows")
    report = model.EngineReport(
        "r1-1", None, 0, 0, 1.0, record.incarnation, "large", ("large",)
    )
    first.fleet.observe(report, fleet.now)
    fleet.run(1)
    assert second.fleet.engines["r1-1"].membership is None
    assert second.fleet.serving("drafts", "large") == []


class _Table:
    """A table that commits every transaction."""

    async def read(self, keys):
        return result.Success(
            {key: interfaces.Row(key, 3, None) for key in keys}
        )

    async def transact(self, transaction):
        return result.Success({write.key: 4 for write in transaction.writes})


def test_new_planner_of_zone_asks_engines_before_trusting_rows():
    node = exchange_fixtures.Node(0, (), lambda: 1.0)

    async def check():
        lease = zone_lease.ZoneLease(
            "zone-0",
            _Table(),
            node.fleet,
            node.roster,
            metrics.Metrics(),
            lambda: 1.0,
            lambda: None,
            lambda: 0,
        )
        assert not node.fleet.may_be_stale(1.0)
        while not lease.is_planning:
            lease.tick(zone_claims.ZoneClaims())
            await asyncio.sleep(0)
        assert node.fleet.may_be_stale(3.0)
        assert not node.fleet.may_be_stale(4.0)
        assert not node.fleet.is_current("r1-0", 1.1)

    asyncio.run(check())


def test_instances_of_zone_follow_one_another_in_tree():
    zone = [exchange_fixtures.presence(index, zones=1) for index in range(23)]
    children = {}
    for own in zone:
        live = [peer for peer in zone if peer is not own]
        parent = partners.parent(own, live, is_planning=False)
        children.setdefault(parent.id if parent else "", []).append(own.id)
    assert children.pop("") == ["entry-000"]
    assert max(len(ids) for ids in children.values()) == 4
    other = exchange_fixtures.presence(1)
    assert (
        partners.parent(
            other,
            [exchange_fixtures.presence(0), exchange_fixtures.presence(2)],
            is_planning=False,
        )
        is None
    )


TEXT = strategies.text(max_size=12)
NUMBER = strategies.integers(0, 2**32 - 1)
NUMBERS = strategies.lists(NUMBER, max_size=4)
PRESENCE = strategies.builds(
    entry_pb2.Presence,
    id=TEXT,
    incarnation=NUMBER,
    beat=NUMBER,
    availability_zone=TEXT,
    caller_address=TEXT,
    peer_address=TEXT | strategies.just("10.0.0.9:1"),
    is_ready=strategies.booleans(),
)
STATE = strategies.builds(
    entry_pb2.EntryState,
    instance=NUMBER,
    beat=NUMBER,
    planned_zones=strategies.lists(TEXT, max_size=3),
    planned_fences=NUMBERS,
    overtime_zones=strategies.lists(TEXT, max_size=3),
    replicas=NUMBERS,
    running=NUMBERS,
    reading_tokens=NUMBERS,
    engines=NUMBERS,
    engines_running=NUMBERS,
)
OBSERVED = strategies.builds(
    entry_pb2.Observed,
    engine=TEXT | strategies.just("r1-1"),
    incarnation=strategies.integers(0, 2),
    age_ms=NUMBER,
    replica=TEXT,
    rank=NUMBER,
    state=TEXT | strategies.just("open"),
)
SUSPENDED = strategies.builds(
    entry_pb2.Suspended,
    replica=TEXT | strategies.just("r1"),
    fence=strategies.integers(0, 2),
    left_ms=NUMBER,
    silent=strategies.lists(TEXT, max_size=3),
    silent_ms=NUMBER,
)
HEALTHY = strategies.builds(
    entry_pb2.Healthy,
    replica=TEXT | strategies.just("r1"),
    fence=strategies.integers(0, 2),
    age_ms=NUMBER,
)
LIMIT = strategies.builds(
    entry_pb2.RateLimit,
    engine=TEXT | strategies.just("r1-0"),
    incarnation=strategies.integers(0, 2),
    rate=strategies.none() | strategies.floats(),
    age_ms=NUMBER,
)
DEPARTURE = strategies.builds(
    entry_pb2.Departure,
    engine=TEXT | strategies.just("r1-0"),
    incarnation=strategies.integers(0, 2**64 - 1),
)
STATUS = strategies.builds(
    entry_pb2.EntryStatus,
    sender=PRESENCE,
    introduced=strategies.lists(PRESENCE, max_size=3),
    states=strategies.lists(STATE, max_size=3),
    suspended=strategies.lists(SUSPENDED, max_size=2),
    healthy=strategies.lists(HEALTHY, max_size=2),
    observed=strategies.lists(OBSERVED, max_size=2),
    limits=strategies.lists(LIMIT, max_size=3),
    departures=strategies.lists(DEPARTURE, max_size=3),
    known_instances=NUMBERS,
    known_beats=NUMBERS,
)


@hypothesis.settings(
    derandomize=True, database=None, max_examples=300, deadline=None
)
@hypothesis.given(STATUS)
def test_any_well_formed_message_is_accepted(status):
    node = exchange_fixtures.Node(0, (), lambda: 5.0)
    node.fleet.mark_store_unreachable("rows")
    status.states[:1] and setattr(
        status.states[0],
        "instance",
        peer_status.incarnation_hash(
            status.sender.id, status.sender.incarnation
        ),
    )
    node.statuses.receive(status)
    node.statuses.receive(status)
    node.statuses.build_request().SerializeToString()
    node.statuses.build_reply(status).SerializeToString()
    node.statuses.expire()
    node.partners(5.0)


def test_the_greatest_age_in_a_message_can_be_passed_on():
    node = exchange_fixtures.Node(0, [], lambda: 10.0)
    message = entry_pb2.EntryStatus(
        limits=[
            entry_pb2.RateLimit(
                engine="r1-0", incarnation=1, rate=0, age_ms=(1 << 32) - 1
            )
        ]
    )
    node.statuses.receive(message)
    (limit,) = node.statuses.build_request().limits
    assert limit.age_ms == (1 << 32) - 1


def test_messages_from_invented_peers_use_bounded_memory():
    node = exchange_fixtures.Node(0, (), lambda: 5.0)

    def flood(numbers):
        for number in numbers:
            sender = entry_pb2.Presence(
                id=f"p{number}", incarnation=1, beat=1, peer_address="h:1"
            )
            state = entry_pb2.EntryState(
                instance=peer_status.incarnation_hash(sender.id, 1),
                beat=1,
                planned_zones=[f"z{number}"],
                planned_fences=[number],
                replicas=[number],
                running=[1],
                reading_tokens=[1],
            )
            node.statuses.receive(
                entry_pb2.EntryStatus(sender=sender, states=[state])
            )

    flood(range(6000))
    tracemalloc.start()
    flood(range(6000, 12_000))
    growth, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert growth < MAX_GROWTH_BYTES


class _CountingStore:
    """A store that counts the reads from it, and keeps their longest waits."""

    def __init__(self):
        self.reads = 0
        self.waits = []

    async def snapshot(self, table):
        self.reads += 1
        return result.Success(interfaces.Changes((), 1))

    async def changes(self, table, after, wait_s):
        self.reads += 1
        self.waits.append(wait_s)
        return result.Success(interfaces.Changes((), after + 1))


class _Peers:
    """Peers that return a given answer."""

    def __init__(self, answer):
        self.answer = answer
        self.asked = 0

    async def follow_engines(self, name, after, wait_s):
        self.asked += 1
        return self.answer


def _followed(version, configuration_version=0, configuration=b""):
    return result.Success(
        entry_peers.Followed(
            interfaces.Changes((), version),
            configuration_version,
            configuration,
        )
    )


def _source(answer, newest=0, is_planning=False, zones=1, others=(0,)):
    roster = roster_lib.Roster(exchange_fixtures.presence(1, zones=zones))
    roster.merge(
        [exchange_fixtures.presence(index, zones=zones) for index in others],
        0.0,
    )
    store = _CountingStore()
    clock = types.SimpleNamespace(now=0.0)
    source = row_source.RowSource(
        store,
        _Peers(answer),
        roster,
        lambda: is_planning,
        pulls.MissingVersion(lambda: newest, lambda: 5, lambda: clock.now),
        lambda: propagation.create(DRAIN_S),
        metrics.Metrics(),
        lambda: clock.now,
    )
    return source, store, clock


def test_rows_come_from_peer_and_version_never_decreases():
    answer = _followed(3)
    source, store, _ = _source(answer)
    changes = asyncio.run(source.changes("engines", 5, 1.0)).unwrap()
    assert changes.version == 5
    assert store.reads == 0


def test_rows_come_from_store_when_peer_fails_and_for_a_while_after():
    failure = failures.failure(codes.PEER_UNAVAILABLE, "entry-000")
    source, store, clock = _source(failure)
    asyncio.run(source.changes("engines", 5, 1.0))
    assert store.reads == 1
    source.peers.answer = _followed(6)
    asyncio.run(source.changes("engines", 5, 1.0))
    assert store.reads == 2
    source.roster.record_beat("entry-000", 9, True, False, 3.5)
    clock.now = 3.6
    asyncio.run(source.changes("engines", 5, 1.0))
    assert store.reads == 2


def test_a_peer_that_failed_once_is_asked_again_soon_and_later_more_rarely():
    """At the start of a fleet, peers have no rows to pass on for a moment."""
    failure = failures.failure(codes.PEER_UNAVAILABLE, "entry-000")
    source, store, clock = _source(failure)
    asked_at = []
    for step in range(1, 120):
        clock.now = step * 0.1
        source.roster.record_beat("entry-000", step, True, False, clock.now)
        asks = source.peers.asked
        asyncio.run(source.changes("engines", 5, 1.0))
        if source.peers.asked > asks:
            asked_at.append(clock.now)
    pauses = [
        round(later - earlier, 1)
        for earlier, later in zip(asked_at, asked_at[1:], strict=False)
    ]
    assert pauses[:4] == [0.4, 0.8, 1.6, 3.0]
    source.peers.answer = _followed(6)
    clock.now += 3.1
    source.roster.record_beat("entry-000", 500, True, False, clock.now)
    reads = store.reads
    asyncio.run(source.changes("engines", 5, 1.0))
    assert store.reads == reads


def test_rows_come_from_store_when_peer_stays_behind():
    answer = _followed(5)
    source, store, clock = _source(answer, newest=9)
    for step in range(5):
        clock.now = step * 0.2
        source.roster.record_beat("entry-000", step + 1, True, False, clock.now)
        asyncio.run(source.changes("engines", 5, 1.0))
        assert store.reads == 0
    clock.now = 1.1
    source.roster.record_beat("entry-000", 9, True, False, clock.now)
    asyncio.run(source.changes("engines", 5, 1.0))
    assert store.reads == 1


def test_planner_reads_rows_from_store():
    answer = _followed(6)
    source, store, _ = _source(answer, is_planning=True)
    asyncio.run(source.changes("engines", 5, 1.0))
    assert store.reads == 1


def test_only_one_instance_of_a_large_fleet_reads_the_store():
    fleet = [exchange_fixtures.presence(index, zones=5) for index in range(60)]
    readers = []
    for own in fleet:
        live = [peer for peer in fleet if peer is not own]
        for is_planning in (False, True):
            if partners.parent(own, live, is_planning) is None:
                readers.append(own.id)
    assert set(readers) == {"entry-000"}


def test_followed_peer_passes_on_the_configuration():
    received = []
    source, _, clock = _source(_followed(6, 3, b"new"))
    source.on_configuration = lambda data, peer_id: received.append(data)
    assert not source.passes_configuration
    asyncio.run(source.changes("engines", 5, 1.0))
    assert received == [b"new"]
    assert source.passes_configuration
    clock.now = 1.5
    assert not source.passes_configuration


def test_peer_of_an_earlier_build_does_not_vouch_for_the_configuration():
    source, _, _ = _source(_followed(6))
    asyncio.run(source.changes("engines", 5, 1.0))
    assert not source.passes_configuration


def test_peer_of_another_zone_does_not_vouch_for_the_configuration():
    others = [index for index in range(12) if index != 1]
    source, store, _ = _source(_followed(6, 3), zones=3, others=others)
    asyncio.run(source.changes("engines", 5, 1.0))
    assert source.parent() == "entry-000"
    assert store.reads == 0
    assert not source.passes_configuration


def test_instance_that_others_follow_soon_notices_a_silent_store():
    for others, wait_s in ((range(2, 12), 1.0), (range(2, 4), 20.0)):
        source, store, _ = _source(_followed(6), others=others)
        asyncio.run(source.changes("engines", 5, 20.0))
        assert store.waits == [wait_s]


def _follow(own_version, known_version):
    """Returns the reply to a caller that names a configuration version."""

    async def check():
        configuration = types.SimpleNamespace(version=own_version, data=b"new")
        engines = types.SimpleNamespace(
            version=5, changes_after=lambda version: interfaces.Changes((), 5)
        )
        waits = []

        async def wait_for_change(wait_s):
            waits.append(wait_s)

        engines.wait_for_change = wait_for_change
        service = entry_peers.EntryService(
            None, configuration, engines, lambda: False
        )
        request = entry_pb2.FollowEnginesRequest(
            after_version=5, wait_ms=700, configuration_version=known_version
        )
        reply = await service.FollowEngines(request, None)
        return reply, waits

    return asyncio.run(check())


def test_follower_gets_a_newer_configuration_at_once():
    reply, waits = _follow(7, 6)
    assert (reply.configuration_version, reply.configuration) == (7, b"new")
    assert not waits


def test_follower_of_an_earlier_build_waits_and_gets_no_configuration():
    reply, waits = _follow(7, 0)
    assert reply.configuration == b""
    assert waits == [0.7]


def test_table_is_read_again_when_no_peer_vouches_for_it():
    async def check():
        store = _CountingStore()
        follower = exchange_fixtures.table_follower(store, lambda: 0.0)
        await follower.step()
        reads = store.reads
        follower.is_covered = lambda: True
        await follower.step()
        assert store.reads == reads
        follower.is_covered = lambda: False
        await follower.step()
        assert store.reads == reads + 1

    asyncio.run(check())


class _SilentPeer(entry_pb2_grpc.EntryServicer):
    """A peer that does not reply within the duration of the test."""

    async def FollowEngines(self, request, context):  # noqa: N802
        await asyncio.sleep(30)


def test_closing_channel_fails_its_calls_but_does_not_cancel_caller():
    async def check():
        server = grpc.aio.server()
        entry_pb2_grpc.add_EntryServicer_to_server(_SilentPeer(), server)
        port = server.add_insecure_port("127.0.0.1:0")
        await server.start()
        node = exchange_fixtures.Node(0, (), lambda: 0.0)
        peer = exchange_fixtures.presence(1, peer_address=f"127.0.0.1:{port}")
        node.roster.merge([peer], 0.0)
        peers = entry_peers.EntryPeers(
            node.statuses, (), metrics.Metrics(), lambda: 0.0, random.Random(1)
        )
        call = asyncio.ensure_future(peers.follow_engines(peer.id, 0, 20.0))
        await asyncio.sleep(0.3)
        await peers.close()
        reply = await call
        assert reply.failure().code is codes.PEER_UNAVAILABLE
        await server.stop(0)

    asyncio.run(check())


def test_follower_gets_each_change_once_or_learns_that_history_is_lost():
    cache = row_cache.EngineRowCache(
        fleet_view.FleetView(), lambda: None, metrics.Metrics(), lambda: 0.0
    )
    cache.apply_snapshot(interfaces.Changes((), 10))
    assert cache.changes_after(9) is None
    rows = tuple(
        interfaces.Change(f"e{index}", 11 + index, None) for index in range(3)
    )
    cache.apply_changes(interfaces.Changes(rows, 20))
    assert cache.changes_after(10) == interfaces.Changes(rows, 20)
    assert cache.changes_after(12) == interfaces.Changes(rows[2:], 20)
    many = tuple(
        interfaces.Change("e0", 21 + index, None) for index in range(2500)
    )
    cache.apply_changes(interfaces.Changes(many, 3000))
    assert cache.changes_after(12) is None
    assert len(cache.changes_after(2520).rows) == 0
    assert len(cache.changes_after(2000).rows) == 520
