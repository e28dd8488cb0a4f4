"""The parts of the request pipeline, as pure decisions."""

import asyncio
import json
import random

import hypothesis
from hypothesis import strategies
from returns import pipeline

from tamarackpier import codes, metrics, settings
from tamarackpier.platform import interfaces
from tamarackpier.request import (
    admit,
    expiry,
    identify,
    loads,
    model,
    parse,
    place,
    quarantine,
    records,
    retry,
    stream,
)
from tamarackpier.standin import engine, memory
from tamarackpier.upstream import service
from tests import fixtures

ARRIVAL = parse.RequestContext("req-1", "clerks-a", 0.0, 30.0)


def _pieces(count):
    job = engine.Job("req-1", True, "x", count, 0)
    found = [engine.piece(job, index, f"w{index} ") for index in range(count)]
    return [*found, b"id: %d\ndata: [DONE]\n\n" % count]


@hypothesis.settings(derandomize=True, database=None)
@hypothesis.given(
    strategies.permutations(list(range(9))),
    strategies.lists(strategies.integers(0, 8), max_size=6),
    strategies.integers(1, 60),
)
def test_pieces_are_delivered_in_order_and_once(order, again, cut):
    pieces = _pieces(8)
    order = [*order[:4], *(each for each in again if each in order[:4])]
    order += [each for each in range(9) if each not in order]
    data = b"".join(pieces[each] for each in order)
    assembler = stream.Assembler()
    out = b""
    for start in range(0, len(data), cut):
        out += assembler.feed(data[start : start + cut])
    assert out == b"".join(pieces)
    assert assembler.is_done


def test_a_stream_without_its_last_piece_is_not_done():
    assembler = stream.Assembler()
    assembler.feed(b"".join(_pieces(5)[:-1]))
    assert not assembler.is_done
    assembler.restart()
    assembler.feed(_pieces(5)[-1])
    assert assembler.is_done


@hypothesis.settings(derandomize=True, database=None)
@hypothesis.given(strategies.binary(max_size=200))
def test_bytes_that_are_no_stream_give_a_typed_error(data):
    assembler = stream.Assembler()
    try:
        assembler.feed(data + b"\n\n")
    except stream.StreamError:
        return
    assert not assembler.is_done


def test_early_pieces_are_bounded():
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
            lambda inner: (
                strategies.lists(inner, max_size=3)
                | strategies.dictionaries(
                    strategies.sampled_from(
                        ["model", "messages", "max_tokens", "stream", "role"]
                    ),
                    inner,
                    max_size=4,
                )
            ),
            max_leaves=12,
        ).map(lambda found: json.dumps(found).encode()),
    )
)
def test_any_body_is_a_call_or_a_numbered_error(body):
    found = parse.model_call(body, model.CallKind.CHAT, ARRIVAL)
    if not pipeline.is_successful(found):
        assert found.failure().code is codes.BAD_BODY


def test_a_good_body_is_understood():
    body = json.dumps(
        {
            "model": "draft",
            "messages": [{"role": "user", "content": "hello"}],
            "max_tokens": 7,
            "temperature": 0.5,
        }
    ).encode()
    call = parse.model_call(body, model.CallKind.CHAT, ARRIVAL).unwrap()
    assert (call.model, call.max_tokens) == ("draft", 7)
    assert call.sampling == {"temperature": 0.5}
    assert call.cost > 7


def test_keys_are_known_by_their_hash_only():
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
    found = {"a": admit.AccountCapacity(capacity, 1000.0, 1)}
    shares.update(found, peers, 0.0)
    return shares


def test_requests_above_the_share_borrow():
    shares = _shares()
    ranks = [shares.admit("a", 50.0, 0.0).rank for _ in range(6)]
    assert ranks == [0, 0, 0, 0, 1, 1]
    assert shares.admit("a", 50.0, 1.0).rank == 0
    assert shares.admit("stranger", 1.0, 0.0).rank == 1


def test_what_was_not_used_is_refunded():
    shares = _shares()
    tickets = [shares.admit("a", 100.0, 0.0) for _ in range(2)]
    assert shares.admit("a", 50.0, 0.0).rank == 1
    shares.refund(tickets[0], 10.0)
    assert shares.admit("a", 50.0, 0.0).rank == 0


def test_a_share_follows_the_callers_between_instances():
    asked = {"a": fixtures.membership.AccountDemand(300.0, 3.0)}
    busy = fixtures.record("entry-2", demand=asked)
    idle = fixtures.record("entry-2")
    shares = _shares(peers=[busy])
    assert shares.fractions["a"] < 0.5
    shares.admit("a", 600.0, 0.0)
    shares.update(shares.capacities, [idle], 0.0)
    assert shares.fractions["a"] > 0.7


def test_the_shares_of_all_instances_never_exceed_the_whole_by_much():
    rng = random.Random(4)
    for _ in range(50):
        demands = [rng.choice((0.0, 1.0, 50.0)) for _ in range(5)]
        total = 0.0
        for own in range(5):
            peers = [
                fixtures.record(
                    f"entry-{index}",
                    demand={
                        "a": fixtures.membership.AccountDemand(demand, 1.0)
                    },
                )
                for index, demand in enumerate(demands)
                if index != own
            ]
            shares = admit.AccountShares()
            shares.meters["a"] = admit.DemandMeter(0.0)
            shares.meters["a"].tokens.rate = demands[own]
            shares.update(
                {"a": admit.AccountCapacity(100.0, 1.0, 1)}, peers, 0.0
            )
            total += shares.fractions["a"]
        assert total <= 1.0 + 1e-9


def _ticket(account="a", rank=0, priority=1, cost=10.0):
    return admit.Ticket(account, rank, priority, cost)


def _order_of(queue):
    names = []
    while (entry := queue.peek()) is not None:
        queue.dequeue(entry, len(names) * 0.1)
        names.append(entry.request_id)
    return names


def test_the_queue_serves_guaranteed_then_by_priority():
    queue = admit.WaitQueue(10)
    for name, ticket in (
        ("borrowed", _ticket(rank=1, priority=0)),
        ("low", _ticket(priority=5)),
        ("high", _ticket(priority=1)),
    ):
        queue.enqueue(name, ticket, 100.0, 50.0, 0.0)
    assert _order_of(queue) == ["high", "low", "borrowed"]


def test_an_account_that_floods_waits_behind_itself():
    queue = admit.WaitQueue(100)
    for number in range(20):
        queue.enqueue(f"flood-{number}", _ticket("flood"), 100.0, 50.0, 0.0)
    for number in range(3):
        queue.enqueue(f"calm-{number}", _ticket("calm"), 100.0, 50.0, 0.0)
    served = _order_of(queue)
    assert served.index("calm-2") < 8


def test_a_full_queue_keeps_the_better_claims():
    queue = admit.WaitQueue(2)
    queue.enqueue("one", _ticket(rank=1), 1.0, 50.0, 0.0)
    queue.enqueue("two", _ticket(rank=1), 1.0, 50.0, 0.0)
    refused = queue.enqueue(
        "three", _ticket("b", rank=1, cost=99.0), 1.0, 50.0, 0
    )
    assert refused.failure().code is codes.QUEUE_FULL
    assert refused.failure().retry_after_s > 0
    evicted = queue.enqueue("four", _ticket(rank=0), 1.0, 50.0, 0.0).unwrap()
    assert [entry.request_id for entry in evicted] == ["two"]


def test_what_can_not_run_in_time_is_refused_early():
    queue = admit.WaitQueue(100)
    for number in range(30):
        queue.enqueue(f"r-{number}", _ticket(), 1.0, 50.0, 0.0)
    for number in range(10):
        queue.dequeue(queue.peek(), 0.5 * number)
    late = queue.enqueue("late", _ticket(cost=99.0), 1.0, 6.0, 5.0)
    assert late.failure().code is codes.DEADLINE_TOO_NEAR
    assert pipeline.is_successful(
        queue.enqueue("patient", _ticket(cost=99.0), 1.0, 60.0, 5.0)
    )


def test_expired_requests_leave_the_queue():
    queue = admit.WaitQueue(10)
    queue.enqueue("one", _ticket(), 1.0, 5.0, 0.0)
    assert [entry.request_id for entry in queue.pop_expired(5.0)] == ["one"]
    assert queue.peek() is None


def _candidates(*values):
    return [
        place.Candidate(f"r{index}", "zone-a", *value)
        for index, value in enumerate(values)
    ]


def test_two_choices_count_what_was_sent_and_avoid_stragglers():
    rng = random.Random(1)
    policy = place.POLICIES.get("two-choices")
    hints = place.Hints("zone-a")
    sent = _candidates((2, 6, 16), (4, 0, 16))
    assert policy.choose(sent, hints, rng).replica_id == "r1"
    slow = _candidates((2, 0, 16, 8.0), (4, 0, 16, 1.0))
    assert policy.choose(slow, hints, rng).replica_id == "r1"
    stale = place.POLICIES.get("least-reported")
    assert stale.choose(sent, hints, rng).replica_id == "r0"


def test_prefix_placement_is_sticky_until_overloaded():
    rng = random.Random(1)
    policy = place.POLICIES.get("prefix-bounded")
    hints = place.Hints("zone-a", "the same start")
    even = _candidates(*[(4, 0, 16)] * 6)
    first = policy.choose(even, hints, rng).replica_id
    assert {policy.choose(even, hints, rng).replica_id for _ in range(9)} == {
        first
    }
    loaded = [
        place.Candidate(
            each.replica_id,
            "zone-a",
            16 if each.replica_id == first else 4,
            0,
            16,
        )
        for each in even
    ]
    assert policy.choose(loaded, hints, rng).replica_id != first


def test_loads_correct_a_report_by_what_changed_since():
    found = loads.ReplicaLoads()
    for number, at in enumerate((1.0, 2.0, 3.0)):
        found.begin(loads.InFlightRequest(f"q{number}", "f", "r", 1), at)
    assert found.sent_since("r", 2.5) == 1
    found.end(loads.InFlightRequest("q0", "f", "r", 1), 4.0)
    assert found.sent_since("r", 3.5) == -1
    assert found.sent_since("other", 0.0) == 0


def test_retries_cost_what_first_attempts_earned():
    budget = retry.RetryBudget(0.2, max_balance=2.0)
    assert [budget.spend() for _ in range(3)] == [True, True, False]
    for _ in range(5):
        budget.earn()
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


def _quarantine(*facts):
    found = quarantine.Quarantine(crash_threshold=2, keep_s=100.0)
    found.add(
        quarantine.Crash(request, death, 10.0 + index)
        for index, (request, death) in enumerate(facts)
    )
    return found


def test_a_lone_suspect_of_two_deaths_is_refused():
    found = _quarantine(("bad", "r1"), ("bad", "r2"), ("good", "r1"))
    assert found.verdict("bad", 12.0) is quarantine.Verdict.WAIT
    assert found.verdict("bad", 20.0) is quarantine.Verdict.REFUSE
    assert found.verdict("good", 20.0) is quarantine.Verdict.RUN
    assert found.verdict("bad", 200.0) is quarantine.Verdict.RUN


def test_two_suspects_of_the_same_deaths_run_alone_until_one_is_cleared():
    found = _quarantine(
        ("bad", "r1"), ("good", "r1"), ("bad", "r2"), ("good", "r2")
    )
    assert found.verdict("bad", 20.0) is quarantine.Verdict.ALONE
    assert found.verdict("good", 20.0) is quarantine.Verdict.ALONE
    found.clear("good", 21.0)
    assert found.verdict("good", 22.0) is quarantine.Verdict.RUN
    assert found.verdict("bad", 22.0) is quarantine.Verdict.REFUSE


def test_facts_may_be_merged_in_any_order_and_often():
    facts = [("bad", "r1"), ("good", "r1"), ("bad", "r2")]
    one = _quarantine(*facts)
    other = _quarantine()
    for crash in [*one.all_crashes(), *reversed(one.all_crashes())]:
        other.add([crash])
    assert other.crashes == one.crashes
    other.expire(1000.0)
    assert not other.crashes


def _row(state, digest="d", owner="entry-1/1"):
    answer = None
    if state is records.RecordState.DONE:
        answer = service.ServiceAnswer(201, "text/plain", b"booked")
    record = records.Record(state, owner, "nonce", digest, 0.0, answer)
    return interfaces.Row("call/a", 3, record.value())


def test_a_record_decides_a_second_send():
    state = records.RecordState
    absent = interfaces.Row("call/a", 0, None)
    assert records.decide(absent, "d", True) == records.Begin(0)
    done = records.decide(_row(state.DONE), "d", False)
    assert done.answer.body == b"booked"
    for row, is_live, code in (
        (_row(state.STARTED), True, codes.IN_FLIGHT),
        (_row(state.STARTED), False, codes.OUTCOME_UNKNOWN),
        (_row(state.UNKNOWN), True, codes.OUTCOME_UNKNOWN),
        (_row(state.DONE, digest="other"), True, codes.KEY_REUSED),
    ):
        assert records.decide(row, "d", is_live).fault.code is code


def test_records_expire_after_their_time_and_not_before():
    table = memory.MemoryTable()
    kept = settings.ServiceSettings(("u",), record_keep_s=1000.0)
    sweeper = expiry.RecordSweeper(
        table, ["a"], {"orders": kept}, metrics.Metrics()
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


def test_failures_of_one_event_open_a_breaker_once():
    rng = random.Random(1)
    breakers = retry.Breakers(failure_threshold=3, open_s=1.0, max_open_s=60.0)
    for _ in range(16):
        breakers.record_failure("u", 0.0, rng)
    assert breakers.allows("u", 1.0)
