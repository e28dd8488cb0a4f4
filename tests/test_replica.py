"""Leases, plans, orders, the gate and the schedule, as pure decisions."""

import dataclasses

import hypothesis
from hypothesis import strategies

from tamarackpier.platform import interfaces
from tamarackpier.replica import (
    commit,
    gate,
    lease,
    model,
    orders,
    planner,
    policy,
    schedule,
    view,
)
from tamarackpier.sheet import model as sheet_model
from tamarackpier.standin import memory
from tests import fixtures

KEY = "lease/domain/d"
LEASE_S = 6.0


def _acquire(table, holder, now, watch=None):
    row = table.rows.get(KEY, interfaces.Row(KEY, 0, None))
    watch = lease.observe(watch, row, now)
    step = lease.decide(watch, None, holder, LEASE_S, now)
    if step.kind is not lease.StepKind.ACQUIRE:
        return watch, None
    versions = table.commit(step.transaction).unwrap()
    held = lease.lease_after(
        step, KEY, holder, versions[KEY], LEASE_S, now, now
    )
    return watch, held


def test_lease_ends_for_its_holder_before_another_can_take_it():
    table = memory.MemoryTable()
    _, first = _acquire(table, "one", 0.0)
    watch, none = _acquire(table, "two", 0.1)
    assert none is None
    now = 0.1
    while none is None:
        now += 0.05
        watch, none = _acquire(table, "two", now, watch)
    assert first.valid_until < now
    assert none.number == first.number + 1


def test_renewal_starts_the_wait_anew_and_a_lapsed_holder_stops():
    table = memory.MemoryTable()
    _, held = _acquire(table, "one", 0.0)
    watch, _ = _acquire(table, "two", 0.1)
    step = lease.decide(None, held, "one", LEASE_S, 3.0)
    assert step.kind is lease.StepKind.RENEW
    table.commit(step.transaction)
    _, none = _acquire(table, "two", 6.5, watch)
    assert none is None
    assert lease.holds(held, held.valid_until - 0.01)
    assert not lease.holds(held, held.valid_until)


@hypothesis.settings(derandomize=True, database=None)
@hypothesis.given(
    strategies.floats(0.991, 1.009), strategies.floats(0.991, 1.009)
)
def test_clock_rates_may_differ_by_the_stated_bound(one_rate, two_rate):
    table = memory.MemoryTable()
    _, first = _acquire(table, "one", 0.0)
    watch = None
    for tick in range(200):
        true_time = tick * 0.05
        watch, second = _acquire(table, "two", true_time * two_rate, watch)
        if second is not None:
            assert not lease.holds(first, true_time * one_rate)
            return
    raise AssertionError("the lease was never taken over")


def test_a_lost_answer_is_known_by_its_nonce():
    table = memory.MemoryTable()
    watch = lease.observe(None, interfaces.Row(KEY, 0, None), 1.0)
    step = lease.decide(watch, None, "one", LEASE_S, 1.0)
    table.commit(step.transaction)
    assert lease.is_written_by(table.rows[KEY], step)
    other = lease.decide(watch, None, "one", LEASE_S, 1.5)
    assert not lease.is_written_by(table.rows[KEY], other)


def _view(count=5, targets=(("draft", 4, 1),), replicas=(), **changes):
    engines = {
        f"e{index}": interfaces.ListedInstance(
            f"e{index}", "engine", "zone-a", "d", f"http://e{index}"
        )
        for index in range(count)
    }
    reports = {
        name: fixtures.report(
            name,
            state=model.EngineState.IDLE,
            replica_id="",
            fence=0,
            members=(),
            model="",
            version="",
            asked_at=100.0,
        )
        for name in engines
    }
    wanted = tuple(
        model.Target(name, "v1", span, number) for name, span, number in targets
    )
    assignments = {
        member: model.Assignment(member, each.replica_id, each.fence, 1)
        for each in replicas
        for member in each.members
    }
    found = view.DomainView(
        "d",
        100.0,
        engines,
        reports,
        assignments,
        {each.replica_id: each for each in replicas},
        wanted,
        2.5,
    )
    return dataclasses.replace(found, **changes)


def _replica(name, members, **changes):
    values = {"fence": 7, "row_version": 1} | changes
    return model.Replica(name, "d", "draft", "v1", tuple(members), **values)


def _plan(found, name="objective"):
    return planner.plan(found, policy.create(name, policy.Objective()))


def _lose(found, *names):
    reports = dict(found.reports)
    for name in names:
        reports[name] = dataclasses.replace(reports[name], asked_at=90.0)
    return dataclasses.replace(found, reports=reports)


def test_forms_what_is_wanted_and_no_more_than_fits():
    changes = _plan(_view(targets=(("draft", 4, 3),)))
    assert [type(each) for each in changes] == [planner.Form]
    assert len(set(changes[0].members)) == 4


def test_heals_from_a_spare_and_keeps_the_places_of_the_others():
    one = _replica("r", ["e0", "e1", "e2", "e3"])
    found = _lose(_view(replicas=[one]), "e1")
    (change,) = _plan(found)
    assert change.members == ("e0", "e4", "e2", "e3")


def test_lends_members_of_one_broken_replica_to_another():
    replicas = [
        _replica("r1", ["e0", "e1", "e2", "e3"]),
        _replica("r2", ["e4", "e5", "e6", "e7"]),
    ]
    found = _view(8, (("draft", 4, 2),), replicas)
    found = _lose(found, "e0", "e4", "e5")
    changes = _plan(found)
    assert [type(each).__name__ for each in changes] == ["Release"]
    assert changes[0].replica.replica_id == "r2"
    assert _plan(found, "fixed-spares") == ()


def test_a_lone_broken_replica_is_not_given_up():
    found = _view(4, replicas=[_replica("r", ["e0", "e1", "e2", "e3"])])
    assert _plan(_lose(found, "e2")) == ()


def test_drains_surplus_and_releases_it_only_when_idle():
    one = _replica("r", ["e0", "e1", "e2", "e3"])
    found = _view(targets=(), replicas=[one])
    assert [type(each) for each in _plan(found)] == [planner.Drain]
    draining = dataclasses.replace(one, state=model.ReplicaState.DRAINING)
    found = _view(targets=(), replicas=[draining], draining_since={"r": 90.0})
    busy = fixtures.report("e0", replica_id="r", running=1, asked_at=100.0)
    reports = dict(found.reports) | {"e0": busy}
    assert _plan(dataclasses.replace(found, reports=reports)) == ()
    reports["e0"] = dataclasses.replace(busy, running=0)
    done = _plan(dataclasses.replace(found, reports=reports))
    assert [type(each) for each in done] == [planner.Release]


def test_a_leaving_member_is_drained_and_then_replaced():
    one = _replica("r", ["e0", "e1", "e2", "e3"])
    found = _view(replicas=[one])
    engines = dict(found.engines)
    engines["e1"] = dataclasses.replace(engines["e1"], is_leaving=True)
    found = dataclasses.replace(found, engines=engines)
    assert [type(each) for each in _plan(found)] == [planner.Drain]
    draining = dataclasses.replace(one, state=model.ReplicaState.DRAINING)
    found = dataclasses.replace(
        found, replicas={"r": draining}, draining_since={"r": 90.0}
    )
    (healed,) = _plan(found)
    assert isinstance(healed, planner.Heal)
    assert "e1" not in healed.members


def test_a_commit_needs_the_lease_and_every_row_it_changes():
    table = memory.MemoryTable()
    _, held = _acquire(table, "one", 0.0)
    found = _view()
    (change,) = _plan(found)
    first = commit.transaction(change, found, held, 11)
    again = commit.transaction(change, found, held, 12)
    table.commit(first).unwrap()
    assert table.commit(again).failure().detail.startswith("instance/")
    _acquire(table, "two", 20.0, lease.observe(None, table.rows[KEY], 5.0))
    late = commit.transaction(change, found, held, 13)
    assert table.commit(late).failure().detail == KEY


def test_an_engine_that_ignores_fencing_is_protected_by_time():
    held = lease.HeldLease(KEY, "one", 1, 1, 10.0, 2.0, acquired_at=4.0)
    order = model.Order("e", "a", model.OrderKind.JOIN, 1)
    ignoring = dataclasses.replace(order, checks_fencing=False)
    assert orders.may_send(order, held, 4.1, 2.0)
    assert not orders.may_send(ignoring, held, 5.9, 2.0)
    assert orders.may_send(ignoring, held, 6.1, 2.0)
    assert not orders.may_send(ignoring, held, 8.1, 2.0)
    assert not orders.may_send(order, held, 10.0, 2.0)


def test_orders_follow_rows_and_stop_once_reported():
    one = _replica("r", ["e0", "e1", "e2", "e3"])
    found = _view(replicas=[one])
    held = lease.HeldLease(KEY, "one", 1, 1, 200.0, 200.0, 0.0)
    objective = policy.create("objective", policy.Objective())
    due = list(orders.due(found, objective, held, {}, 2.0))
    kinds = {each.instance_id: each.kind.value for each in due}
    assert kinds == {
        "e0": "join",
        "e1": "join",
        "e2": "join",
        "e3": "join",
        "e4": "standby",
    }
    assert not list(
        orders.due(found, objective, held, dict.fromkeys(kinds, 99.0), 2.0)
    )


def test_evidence_needs_every_member_with_the_right_number():
    row = model.Replica("d.1", "d", "draft", "v1", ("a", "b"), 7)
    good = {"a": fixtures.report("a"), "b": fixtures.report("b", asked_at=-1.0)}
    found = gate.verify(row, good, "zone-a", "address")
    assert found.at == -1.0
    for changes, problem in (
        ({"fence": 6}, "fencing number 6"),
        ({"replica_id": "d.2"}, "belongs to replica 'd.2'"),
        ({"members": ("a", "c")}, "different members"),
        ({"state": model.EngineState.LOADING}, "is in state loading"),
        ({"version": "v2"}, "has loaded model draft/v2"),
    ):
        bad = good | {"b": fixtures.report("b", **changes)}
        assert problem in gate.verify(row, bad, "zone-a", "address")
    assert "never" in gate.verify(row, {"a": good["a"]}, "zone-a", "x")


def test_gate_opens_on_current_evidence_only():
    found = gate.Gate(2.5)
    assert not found.check("d.1", 0.0).is_open
    found.add(fixtures.evidence(at=10.0))
    assert found.check("d.1", 12.5).is_open
    assert not found.check("d.1", 12.6).is_open
    found.close("d.1", 7, 10.5)
    assert not found.check("d.1", 11.0).is_open
    found.add(fixtures.evidence(at=10.4))
    assert not found.check("d.1", 11.0).is_open
    found.add(fixtures.evidence(at=10.6))
    assert found.check("d.1", 11.0).is_open


def test_gate_believes_the_watcher_that_knows_of_a_drain():
    found = gate.Gate(2.5)
    found.add(fixtures.evidence(at=10.0, is_open=False))
    found.add(fixtures.evidence(at=10.1))
    assert found.check("d.1", 10.2).reason == "draining"
    found.add(fixtures.evidence(at=12.6))
    assert found.check("d.1", 12.7).is_open


def test_gate_never_goes_back_to_an_older_fencing_number():
    found = gate.Gate(2.5)
    found.add(fixtures.evidence(fence=8, at=10.0))
    found.add(fixtures.evidence(fence=7, at=11.0))
    assert found.evidence["d.1"].fence == 8


def _demand(event, start, replicas=2, span=4, minutes=60):
    return sheet_model.Demand(
        event, "draft", "v1", replicas, span, start, start + minutes * 60
    )


def test_loads_are_scheduled_backwards_from_the_start():
    budget = schedule.LoadBudget(load_s=10.0, parallel_loads=4, lead_s=30.0)
    (late,) = schedule.schedule_loads([_demand("b", 1000.0)], budget)
    assert late.load_from == 1000.0 - 30.0 - 2 * 10.0
    early, late = schedule.schedule_loads(
        [_demand("b", 1000.0), _demand("a", 960.0)], budget
    )
    assert early.demand.event == "a"
    assert early.load_from == min(960.0 - 30.0, late.load_from) - 20.0


def test_overlapping_events_add_up():
    budget = schedule.LoadBudget(0.0, 1, 0.0)
    found = schedule.schedule_loads(
        [_demand("a", 0.0), _demand("b", 1800.0)], budget
    )
    kind = ("draft", "v1", 4)
    assert schedule.wanted_at(found, 1799.0) == {kind: 2}
    assert schedule.wanted_at(found, 1800.0) == {kind: 4}
    assert schedule.wanted_at(found, 3600.0) == {kind: 2}


def _capacity(name, zone, usable, holding=0, listed=None):
    held = {("draft", "v1", 4): holding} if holding else {}
    return schedule.DomainCapacity(
        name, zone, usable if listed is None else listed, usable, held
    )


def _counts(found):
    return {
        domain: sum(each.count for each in targets)
        for domain, targets in found.items()
    }


def test_replicas_are_spread_over_zones():
    wanted = {("draft", "v1", 4): 3}
    domains = [
        _capacity("a1", "zone-a", 8),
        _capacity("a2", "zone-a", 8),
        _capacity("b1", "zone-b", 8),
    ]
    found = _counts(schedule.apportion(wanted, domains))
    assert found["b1"] >= 1
    assert sum(found.values()) == 3


def test_a_loss_in_one_domain_moves_nothing_in_another():
    wanted = {("draft", "v1", 4): 3}
    whole = [_capacity("a", "zone-a", 9, 2), _capacity("b", "zone-b", 9, 1)]
    hurt = [
        _capacity("a", "zone-a", 8, 2, listed=9),
        _capacity("b", "zone-b", 9, 1),
    ]
    assert schedule.apportion(wanted, whole) == schedule.apportion(wanted, hurt)
    dark = [
        _capacity("a", "zone-a", 0, 2, listed=9),
        _capacity("b", "zone-b", 9, 1),
    ]
    assert _counts(schedule.apportion(wanted, dark)) == {"a": 0, "b": 2}


def test_a_shortfall_is_told_long_before():
    budget = schedule.LoadBudget(10.0, 4, 30.0)
    found = schedule.schedule_loads(
        [_demand("rush", 10_000.0, replicas=5)], budget
    )
    domains = [_capacity("a", "zone-a", 9), _capacity("b", "zone-b", 7)]
    (lack,) = schedule.shortfalls(found, domains, 0.0)
    assert lack.possible == 3
    assert not schedule.shortfalls(
        schedule.schedule_loads(
            [_demand("rush", 10_000.0, replicas=3)], budget
        ),
        domains,
        0.0,
    )


def test_patience_weighs_waiting_against_forming_elsewhere():
    sialkot = policy.create("objective", policy.Objective(1.0, 0.02, 10.0))
    kaya = policy.create("objective", policy.Objective(0.2, 1.0, 10.0))
    assert kaya.absence_timeout_s(4) < sialkot.absence_timeout_s(4) <= 10.0
    never = policy.create("no-spares", policy.Objective())
    assert never.absence_timeout_s(4) == float("inf")


def test_the_first_order_does_not_wait_whatever_the_clock_says():
    found = _view(replicas=[_replica("r", ["e0", "e1", "e2", "e3"])])
    reports = {
        name: dataclasses.replace(each, asked_at=-50.0)
        for name, each in found.reports.items()
    }
    found = dataclasses.replace(found, now=-50.0, reports=reports)
    held = lease.HeldLease(KEY, "one", 1, 1, 200.0, 200.0, -60.0)
    chosen = policy.create("no-spares", policy.Objective())
    assert len(list(orders.due(found, chosen, held, {}, 2.0))) == 4


def test_a_loss_of_old_members_does_not_close_a_healed_replica():
    found = gate.Gate(2.5)
    found.add(fixtures.evidence(fence=8, at=10.0))
    found.close("d.1", 7, 11.0)
    assert found.check("d.1", 11.0).is_open
    found.close("d.1", 8, 10.5)
    assert found.check("d.1", 11.0).reason == "observed to be broken"
    found.close("d.1", 7, 12.0)
    assert found.check("d.1", 11.0).reason == "observed to be broken"
