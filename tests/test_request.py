"""Unit tests of the request pipeline's parts, without network or engines."""

import asyncio
import json
import random

import hypothesis
from hypothesis import strategies
from returns import pipeline

from tamarackpier import codes, metrics, quarantine, settings
from tamarackpier.platform import interfaces
from tamarackpier.request import (
    admit,
    expiry,
    identify,
    loads,
    model,
    parse,
    place,
    records,
    retry,
    stream,
)
from tamarackpier.standin import engine, memory
from tamarackpier.upstream import service
from tests import fixtures

CONTEXT = parse.RequestContext("req-1", "clerks-a", 0.0, 30.0)


def _pieces(count):
    job = engine.GenerationRequest("req-1", True, "x", count, 0)
    pieces = [
        engine.encode_piece(job, index, f"w{index} ") for index in range(count)
    ]
    return [*pieces, b"id: %d\ndata: [DONE]\n\n" % count]


@hypothesis.settings(derandomize=True, database=None)
@hypothesis.given(
    strategies.permutations(list(range(9))),
    strategies.lists(strategies.integers(0, 8), max_size=6),
    strategies.integers(1, 60),
)
def test_pieces_are_delivered_in_order_and_exactly_once(
    order, repeated, chunk_size
):
    pieces = _pieces(8)
    order = [
        *order[:4],
        *(number for number in repeated if number in order[:4]),
    ]
    order += [number for number in range(9) if number not in order]
    data = b"".join(pieces[number] for number in order)
    assembler = stream.Assembler()
    delivered = b""
    for start in range(0, len(data), chunk_size):
        delivered += assembler.feed(data[start : start + chunk_size])
    assert delivered == b"".join(pieces)
    assert assembler.is_done


def test_stream_without_last_piece_is_not_done():
    assembler = stream.Assembler()
    assembler.feed(b"".join(_pieces(5)[:-1]))
    assert not assembler.is_done
    assembler.restart()
    assembler.feed(_pieces(5)[-1])
    assert assembler.is_done


@hypothesis.settings(derandomize=True, database=None)
@hypothesis.given(strategies.binary(max_size=200))
def test_arbitrary_bytes_give_stream_error_or_incomplete_answer(data):
    assembler = stream.Assembler()
    try:
        assembler.feed(data + b"\n\n")
    except stream.StreamError:
        return
    assert not assembler.is_done


def test_out_of_order_pieces_are_bounded():
    assembler = stream.Assembler()
    try:
        for number in range(1, 1000):
            assembler.feed(b"id: %d\ndata: {}\n\n" % number)
    except stream.StreamError as error:
        assert "piece 0 missing: too many later pieces" in str(error)
    assert len(assembler.out_of_order) <= 256


@hypothesis.settings(derandomize=True, database=None)
@hypothesis.given(
    strategies.one_of(
        strategies.binary(max_size=300),
        strategies.recursive(
            strategies.none()
            | strategies.booleans()
            | strategies.floats()
            | strategies.text(max_size=10),
            lambda children: (
                strategies.lists(children, max_size=3)
                | strategies.dictionaries(
                    strategies.sampled_from(
                        ["model", "messages", "max_tokens", "stream", "role"]
                    ),
                    children,
                    max_size=4,
                )
            ),
            max_leaves=12,
        ).map(lambda document: json.dumps(document).encode()),
    )
)
def test_any_body_gives_a_call_or_bad_body(body):
    parsed = parse.model_call(body, model.CallKind.CHAT, CONTEXT)
    if not pipeline.is_successful(parsed):
        assert parsed.failure().code is codes.BAD_BODY


def test_valid_body_is_parsed():
    body = json.dumps(
        {
            "model": "draft",
            "messages": [{"role": "user", "content": "hello"}],
            "max_tokens": 7,
            "temperature": 0.5,
        }
    ).encode()
    call = parse.model_call(body, model.CallKind.CHAT, CONTEXT).unwrap()
    assert (call.model, call.max_tokens) == ("draft", 7)
    assert call.sampling == {"temperature": 0.5}
    assert call.cost > 7


def test_keys_are_identified_by_hash():
    ring = identify.KeyRing(fixtures.sample_settings().accounts, False)
    assert ring.identify("Bearer clerks-b-key").unwrap().name == "clerks-b"
    for header, code in (
        (None, codes.NO_KEY),
        ("Basic x", codes.NO_KEY),
        ("Bearer clerks-b", codes.UNKNOWN_KEY),
    ):
        assert ring.identify(header).failure().code is code


def _shares(capacity=100.0, peers=()):
    shares = admit.AccountShares()
    capacities = {"a": admit.AccountCapacity(capacity, 1000.0, 1)}
    shares.update(capacities, peers, 0.0)
    return shares


def test_requests_above_share_borrow():
    shares = _shares()
    ranks = [shares.admit("a", 50.0, 0.0).rank for _ in range(6)]
    assert ranks == [0, 0, 0, 0, 1, 1]
    assert shares.admit("a", 50.0, 1.0).rank == 0
    assert shares.admit("stranger", 1.0, 0.0).rank == 1


def test_unused_tokens_are_refunded():
    shares = _shares()
    tickets = [shares.admit("a", 100.0, 0.0) for _ in range(2)]
    assert shares.admit("a", 50.0, 0.0).rank == 1
    shares.refund(tickets[0], 10.0)
    assert shares.admit("a", 50.0, 0.0).rank == 0


def test_share_follows_demand_between_instances():
    demand = {"a": fixtures.membership.AccountDemand(300.0, 3.0)}
    busy = fixtures.record("entry-2", demand=demand)
    idle = fixtures.record("entry-2")
    shares = _shares(peers=[busy])
    assert shares.fractions["a"] < 0.5
    shares.admit("a", 600.0, 0.0)
    shares.update(shares.capacities, [idle], 0.0)
    assert shares.fractions["a"] > 0.7


def test_fractions_of_all_instances_sum_to_at_most_one():
    rng = random.Random(4)
    for _ in range(50):
        demands = [rng.choice((0.0, 1.0, 50.0)) for _ in range(5)]
        total = 0.0
        for local_index in range(5):
            peers = [
                fixtures.record(
                    f"entry-{index}",
                    demand={
                        "a": fixtures.membership.AccountDemand(demand, 1.0)
                    },
                )
                for index, demand in enumerate(demands)
                if index != local_index
            ]
            shares = admit.AccountShares()
            shares.meters["a"] = admit.DemandMeter(0.0)
            shares.meters["a"].tokens.rate = demands[local_index]
            shares.update(
                {"a": admit.AccountCapacity(100.0, 1.0, 1)}, peers, 0.0
            )
            total += shares.fractions["a"]
        assert total <= 1.0 + 1e-9


def _ticket(account="a", rank=0, priority=1, cost=10.0):
    return admit.Ticket(account, rank, priority, cost)


def _drain(queue):
    request_ids = []
    while (entry := queue.peek()) is not None:
        queue.dequeue(entry, len(request_ids) * 0.1)
        request_ids.append(entry.request_id)
    return request_ids


def test_queue_serves_guaranteed_first_then_by_priority():
    queue = admit.WaitQueue(10)
    for name, ticket in (
        ("borrowed", _ticket(rank=1, priority=0)),
        ("low", _ticket(priority=5)),
        ("high", _ticket(priority=1)),
    ):
        queue.enqueue(name, ticket, 100.0, 50.0, 0.0)
    assert _drain(queue) == ["high", "low", "borrowed"]


def test_flooding_account_waits_behind_its_own_requests():
    queue = admit.WaitQueue(100)
    for number in range(20):
        queue.enqueue(f"flood-{number}", _ticket("flood"), 100.0, 50.0, 0.0)
    for number in range(3):
        queue.enqueue(f"calm-{number}", _ticket("calm"), 100.0, 50.0, 0.0)
    served_ids = _drain(queue)
    assert served_ids.index("calm-2") < 8


def test_full_queue_evicts_worst_entry():
    queue = admit.WaitQueue(2)
    queue.enqueue("one", _ticket(rank=1), 1.0, 50.0, 0.0)
    queue.enqueue("two", _ticket(rank=1), 1.0, 50.0, 0.0)
    enqueue_result = queue.enqueue(
        "three", _ticket("b", rank=1, cost=99.0), 1.0, 50.0, 0
    )
    assert enqueue_result.failure().code is codes.QUEUE_FULL
    assert enqueue_result.failure().retry_after_s > 0
    evicted = queue.enqueue("four", _ticket(rank=0), 1.0, 50.0, 0.0).unwrap()
    assert [entry.request_id for entry in evicted] == ["two"]


def test_request_that_cannot_start_before_deadline_is_refused():
    queue = admit.WaitQueue(100)
    for number in range(30):
        queue.enqueue(f"r-{number}", _ticket(), 1.0, 50.0, 0.0)
    for number in range(10):
        queue.dequeue(queue.peek(), 0.5 * number)
    late_result = queue.enqueue("late", _ticket(cost=99.0), 1.0, 6.0, 5.0)
    assert late_result.failure().code is codes.DEADLINE_TOO_NEAR
    assert pipeline.is_successful(
        queue.enqueue("patient", _ticket(cost=99.0), 1.0, 60.0, 5.0)
    )


def test_expired_requests_are_removed_from_queue():
    queue = admit.WaitQueue(10)
    queue.enqueue("one", _ticket(), 1.0, 5.0, 0.0)
    assert [entry.request_id for entry in queue.pop_expired(5.0)] == ["one"]
    assert queue.peek() is None


def _candidates(*loads_and_slots):
    return [
        place.Candidate(f"r{index}", "zone-a", *load)
        for index, load in enumerate(loads_and_slots)
    ]


def test_two_choices_counts_requests_sent_since_report_and_slowness():
    rng = random.Random(1)
    policy = place.POLICIES.get("two-choices")
    hints = place.Hints("zone-a")
    uneven = _candidates((2, 6, 16), (4, 0, 16))
    assert policy.choose(uneven, hints, rng).replica_id == "r1"
    straggling = _candidates((2, 0, 16, 8.0), (4, 0, 16, 1.0))
    assert policy.choose(straggling, hints, rng).replica_id == "r1"
    least_reported = place.POLICIES.get("least-reported")
    assert least_reported.choose(uneven, hints, rng).replica_id == "r0"


def test_prefix_placement_is_sticky_until_replica_is_overloaded():
    rng = random.Random(1)
    policy = place.POLICIES.get("prefix-bounded")
    hints = place.Hints("zone-a", "the same start")
    equal_candidates = _candidates(*[(4, 0, 16)] * 6)
    preferred_id = policy.choose(equal_candidates, hints, rng).replica_id
    assert {
        policy.choose(equal_candidates, hints, rng).replica_id for _ in range(9)
    } == {preferred_id}
    loaded_candidates = [
        place.Candidate(
            candidate.replica_id,
            "zone-a",
            16 if candidate.replica_id == preferred_id else 4,
            0,
            16,
        )
        for candidate in equal_candidates
    ]
    assert (
        policy.choose(loaded_candidates, hints, rng).replica_id != preferred_id
    )


def test_loads_count_change_in_flight_since_report():
    replica_loads = loads.ReplicaLoads()
    for number, at in enumerate((1.0, 2.0, 3.0)):
        replica_loads.begin(
            loads.InFlightRequest(f"q{number}", "f", (), "r", 1), at
        )
    assert replica_loads.in_flight_change_since("r", 2.5) == 1
    replica_loads.end(loads.InFlightRequest("q0", "f", (), "r", 1), 4.0)
    assert replica_loads.in_flight_change_since("r", 3.5) == -1
    assert replica_loads.in_flight_change_since("other", 0.0) == 0


def test_retries_are_limited_by_first_attempts():
    budget = retry.RetryBudget(0.2, max_balance=2.0)
    assert [budget.spend() for _ in range(3)] == [True, True, False]
    for _ in range(5):
        budget.count_first_attempt()
    assert [budget.spend() for _ in range(2)] == [True, False]


def test_breakers_open_after_failures_and_close_on_success():
    rng = random.Random(1)
    breakers = retry.Breakers(failure_threshold=3, open_s=1.0)
    for _ in range(2):
        breakers.record_failure("u", 0.0, rng)
    assert breakers.allows("u", 0.0)
    breakers.record_failure("u", 0.0, rng)
    assert not breakers.allows("u", 0.4)
    assert breakers.allows("u", 1.1)
    breakers.record_success("u")
    breakers.record_failure("u", 2.0, rng)
    assert breakers.allows("u", 2.0)


def _quarantine(*crashes):
    crash_quarantine = quarantine.Quarantine(crash_threshold=2, keep_s=100.0)
    crash_quarantine.add(
        quarantine.Crash(request, death, 10.0 + index)
        for index, (request, death) in enumerate(crashes)
    )
    return crash_quarantine


def test_only_suspect_of_two_deaths_is_refused():
    crash_quarantine = _quarantine(("bad", "r1"), ("bad", "r2"), ("good", "r1"))
    assert crash_quarantine.verdict("bad", 12.0) is quarantine.Verdict.WAIT
    assert crash_quarantine.verdict("bad", 20.0) is quarantine.Verdict.REFUSE
    assert crash_quarantine.verdict("good", 20.0) is quarantine.Verdict.RUN
    assert crash_quarantine.verdict("bad", 200.0) is quarantine.Verdict.RUN


def test_suspects_of_same_deaths_run_alone_until_one_is_cleared():
    crash_quarantine = _quarantine(
        ("bad", "r1"), ("good", "r1"), ("bad", "r2"), ("good", "r2")
    )
    assert crash_quarantine.verdict("bad", 20.0) is quarantine.Verdict.ALONE
    assert crash_quarantine.verdict("good", 20.0) is quarantine.Verdict.ALONE
    crash_quarantine.clear("good", 21.0)
    assert crash_quarantine.verdict("good", 22.0) is quarantine.Verdict.RUN
    assert crash_quarantine.verdict("bad", 22.0) is quarantine.Verdict.REFUSE


def test_merging_crashes_is_idempotent_and_independent_of_order():
    crashes = [("bad", "r1"), ("good", "r1"), ("bad", "r2")]
    source = _quarantine(*crashes)
    target = _quarantine()
    sent = source.crashes_to_send(12.0)
    for crash in [*sent, *reversed(sent)]:
        target.add([crash])
    assert target.crashes == source.crashes
    target.expire(1000.0)
    assert not target.crashes


def _row(state, digest="d", owner="entry-1/1"):
    answer = None
    if state is records.RecordState.DONE:
        answer = service.ServiceAnswer(201, "text/plain", b"booked")
    record = records.Record(state, owner, "nonce", digest, 0.0, answer)
    return interfaces.Row("call/a", 3, record.value())


def test_record_decides_whether_call_is_sent_again():
    state = records.RecordState
    absent = interfaces.Row("call/a", 0, None)
    assert records.decide(absent, "d", True) == records.Begin(0)
    decision = records.decide(_row(state.DONE), "d", False)
    assert decision.answer.body == b"booked"
    for row, is_owner_live, code in (
        (_row(state.STARTED), True, codes.IN_FLIGHT),
        (_row(state.STARTED), False, codes.OUTCOME_UNKNOWN),
        (_row(state.UNKNOWN), True, codes.OUTCOME_UNKNOWN),
        (_row(state.DONE, digest="other"), True, codes.KEY_REUSED),
    ):
        assert records.decide(row, "d", is_owner_live).fault.code is code


def test_records_are_deleted_only_after_retention_period():
    table = memory.MemoryTable()
    service_settings = settings.ServiceSettings(("u",), record_keep_s=1000.0)
    sweeper = expiry.RecordSweeper(
        table, ["a"], {"orders": service_settings}, metrics.Metrics()
    )
    for key, written_at in (("old", 100.0), ("young", 900.0)):
        record = records.Record(
            records.RecordState.UNKNOWN, "entry-1/1", "n", "d", written_at
        )
        write = interfaces.Write(f"call/a/orders/{key}", record.value())
        table.commit(interfaces.Transaction((), (write,)))
    asyncio.run(sweeper.sweep(1699.0))
    assert len(table.rows) == 2
    asyncio.run(sweeper.sweep(1701.0))
    assert list(table.rows) == ["call/a/orders/young"]


def test_concurrent_failures_count_only_until_breaker_opens():
    rng = random.Random(1)
    breakers = retry.Breakers(failure_threshold=3, open_s=1.0, max_open_s=60.0)
    for _ in range(16):
        breakers.record_failure("u", 0.0, rng)
    assert breakers.allows("u", 1.0)
