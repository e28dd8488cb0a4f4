"""Tests of leases, plans, orders, the gate and the schedule."""

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


def _try_acquire(table, holder, now, previous=None):
    row = table.rows.get(KEY, interfaces.Row(KEY, 0, None))
    previous = lease.observe(previous, row, now)
    step = lease.decide(previous, None, holder, LEASE_S, now)
    if step.kind is not lease.StepKind.ACQUIRE:
        return previous, None
    versions = table.commit(step.transaction).unwrap()
    held = lease.lease_after(
        step, KEY, holder, versions[KEY], LEASE_S, now, now
    )
    return previous, held


def test_lease_expires_for_its_holder_before_takeover():
    table = memory.MemoryTable()
    _, first = _try_acquire(table, "one", 0.0)
    observation, second = _try_acquire(table, "two", 0.1)
    assert second is None
    now = 0.1
    while second is None:
        now += 0.05
        observation, second = _try_acquire(table, "two", now, observation)
    assert first.valid_until < now
    assert second.number == first.number + 1


def test_renewal_restarts_the_takeover_wait():
    table = memory.MemoryTable()
    _, held = _try_acquire(table, "one", 0.0)
    observation, _ = _try_acquire(table, "two", 0.1)
    step = lease.decide(None, held, "one", LEASE_S, 3.0)
    assert step.kind is lease.StepKind.RENEW
    table.commit(step.transaction)
    _, taken_over = _try_acquire(table, "two", 6.5, observation)
    assert taken_over is None
    assert lease.holds(held, held.valid_until - 0.01)
    assert not lease.holds(held, held.valid_until)


@hypothesis.settings(derandomize=True, database=None)
@hypothesis.given(
    strategies.floats(0.991, 1.009), strategies.floats(0.991, 1.009)
)
def test_lease_is_exclusive_within_the_clock_rate_error(one_rate, two_rate):
    table = memory.MemoryTable()
    _, first = _try_acquire(table, "one", 0.0)
    observation = None
    for tick in range(200):
        true_time = tick * 0.05
        observation, second = _try_acquire(
            table, "two", true_time * two_rate, observation
        )
        if second is not None:
            assert not lease.holds(first, true_time * one_rate)
            return
    raise AssertionError("the lease was never taken over")


def test_commit_with_lost_answer_is_recognized_by_its_nonce():
    table = memory.MemoryTable()
    observation = lease.observe(None, interfaces.Row(KEY, 0, None), 1.0)
    step = lease.decide(observation, None, "one", LEASE_S, 1.0)
    table.commit(step.transaction)
    assert lease.is_written_by(table.rows[KEY], step)
    later_step = lease.decide(observation, None, "one", LEASE_S, 1.5)
    assert not lease.is_written_by(table.rows[KEY], later_step)


def _view(count=5, targets=(("draft", 4, 1),), replicas=(), **changes):
    engines = {
        f"e{index}": interfaces.ListedInstance(
            f"e{index}", "engine", "zone-a", "d", f"http://e{index}"
        )
        for index in range(count)
    }
    reports = {
        instance_id: fixtures.report(
            instance_id,
            state=model.EngineState.IDLE,
            replica_id="",
            fence=0,
            members=(),
            model="",
            version="",
            asked_at=100.0,
        )
        for instance_id in engines
    }
    model_targets = tuple(
        model.Target(model_name, "v1", span, replica_count)
        for model_name, span, replica_count in targets
    )
    assignments = {
        member: model.Assignment(member, replica.replica_id, replica.fence, 1)
        for replica in replicas
        for member in replica.members
    }
    domain_view = view.DomainView(
        "d",
        100.0,
        engines,
        reports,
        assignments,
        {replica.replica_id: replica for replica in replicas},
        model_targets,
        2.5,
    )
    return dataclasses.replace(domain_view, **changes)


def _replica(name, members, **changes):
    values = {"fence": 7, "row_version": 1} | changes
    return model.Replica(name, "d", "draft", "v1", tuple(members), **values)


def _plan(domain_view, policy_name="objective"):
    return planner.plan(
        domain_view, policy.create(policy_name, policy.Objective())
    )


def _with_lost(domain_view, *instance_ids):
    reports = dict(domain_view.reports)
    for instance_id in instance_ids:
        reports[instance_id] = dataclasses.replace(
            reports[instance_id], asked_at=90.0
        )
    return dataclasses.replace(domain_view, reports=reports)


def test_forms_only_as_many_replicas_as_fit():
    changes = _plan(_view(targets=(("draft", 4, 3),)))
    assert [type(change) for change in changes] == [planner.Form]
    assert len(set(changes[0].members)) == 4


def test_heal_keeps_the_order_of_the_other_members():
    replica = _replica("r", ["e0", "e1", "e2", "e3"])
    domain_view = _with_lost(_view(replicas=[replica]), "e1")
    (change,) = _plan(domain_view)
    assert change.members == ("e0", "e4", "e2", "e3")


def test_dissolves_one_broken_replica_to_heal_another():
    replicas = [
        _replica("r1", ["e0", "e1", "e2", "e3"]),
        _replica("r2", ["e4", "e5", "e6", "e7"]),
    ]
    domain_view = _view(8, (("draft", 4, 2),), replicas)
    domain_view = _with_lost(domain_view, "e0", "e4", "e5")
    changes = _plan(domain_view)
    assert [type(change).__name__ for change in changes] == ["Release"]
    assert changes[0].replica.replica_id == "r2"
    assert _plan(domain_view, "fixed-spares") == ()


def test_single_broken_replica_is_not_dissolved():
    domain_view = _view(4, replicas=[_replica("r", ["e0", "e1", "e2", "e3"])])
    assert _plan(_with_lost(domain_view, "e2")) == ()


def test_surplus_replica_is_drained_and_released_when_idle():
    replica = _replica("r", ["e0", "e1", "e2", "e3"])
    domain_view = _view(targets=(), replicas=[replica])
    assert [type(change) for change in _plan(domain_view)] == [planner.Drain]
    draining = dataclasses.replace(replica, state=model.ReplicaState.DRAINING)
    domain_view = _view(
        targets=(), replicas=[draining], draining_since={"r": 90.0}
    )
    busy = fixtures.report("e0", replica_id="r", running=1, asked_at=100.0)
    reports = dict(domain_view.reports) | {"e0": busy}
    assert _plan(dataclasses.replace(domain_view, reports=reports)) == ()
    reports["e0"] = dataclasses.replace(busy, running=0)
    changes = _plan(dataclasses.replace(domain_view, reports=reports))
    assert [type(change) for change in changes] == [planner.Release]


def test_replica_with_leaving_member_is_drained_then_healed():
    replica = _replica("r", ["e0", "e1", "e2", "e3"])
    domain_view = _view(replicas=[replica])
    engines = dict(domain_view.engines)
    engines["e1"] = dataclasses.replace(engines["e1"], is_leaving=True)
    domain_view = dataclasses.replace(domain_view, engines=engines)
    assert [type(change) for change in _plan(domain_view)] == [planner.Drain]
    draining = dataclasses.replace(replica, state=model.ReplicaState.DRAINING)
    domain_view = dataclasses.replace(
        domain_view, replicas={"r": draining}, draining_since={"r": 90.0}
    )
    (heal,) = _plan(domain_view)
    assert isinstance(heal, planner.Heal)
    assert "e1" not in heal.members


def test_commit_checks_the_lease_and_every_changed_row():
    table = memory.MemoryTable()
    _, held = _try_acquire(table, "one", 0.0)
    domain_view = _view()
    (change,) = _plan(domain_view)
    first = commit.transaction(change, domain_view, held, 11)
    repeated = commit.transaction(change, domain_view, held, 12)
    table.commit(first).unwrap()
    assert table.commit(repeated).failure().detail.startswith("instance/")
    _try_acquire(table, "two", 20.0, lease.observe(None, table.rows[KEY], 5.0))
    after_takeover = commit.transaction(change, domain_view, held, 13)
    assert table.commit(after_takeover).failure().detail == KEY


def test_orders_without_fencing_are_kept_apart_by_time():
    held = lease.HeldLease(KEY, "one", 1, 1, 10.0, 2.0, acquired_at=4.0)
    order = model.Order("e", "a", model.OrderKind.JOIN, 1)
    unfenced_order = dataclasses.replace(order, checks_fencing=False)
    assert orders.may_send(order, held, 4.1, 2.0)
    assert not orders.may_send(unfenced_order, held, 5.9, 2.0)
    assert orders.may_send(unfenced_order, held, 6.1, 2.0)
    assert not orders.may_send(unfenced_order, held, 8.1, 2.0)
    assert not orders.may_send(order, held, 10.0, 2.0)


def test_orders_follow_rows_and_are_not_resent_early():
    replica = _replica("r", ["e0", "e1", "e2", "e3"])
    domain_view = _view(replicas=[replica])
    held = lease.HeldLease(KEY, "one", 1, 1, 200.0, 200.0, 0.0)
    objective_policy = policy.create("objective", policy.Objective())
    due = list(orders.due(domain_view, objective_policy, held, {}, 2.0))
    kind_by_instance = {order.instance_id: order.kind.value for order in due}
    assert kind_by_instance == {
        "e0": "join",
        "e1": "join",
        "e2": "join",
        "e3": "join",
        "e4": "standby",
    }
    assert not list(
        orders.due(
            domain_view,
            objective_policy,
            held,
            dict.fromkeys(kind_by_instance, 99.0),
            2.0,
        )
    )


def test_evidence_requires_matching_reports_of_all_members():
    replica = model.Replica("d.1", "d", "draft", "v1", ("a", "b"), 7)
    reports = {
        "a": fixtures.report("a"),
        "b": fixtures.report("b", asked_at=-1.0),
    }
    evidence = gate.verify(replica, reports, "zone-a", "address")
    assert evidence.at == -1.0
    for changes, problem in (
        ({"fence": 6}, "fencing number 6"),
        ({"replica_id": "d.2"}, "belongs to replica 'd.2'"),
        ({"members": ("a", "c")}, "different members"),
        ({"state": model.EngineState.LOADING}, "is in state loading"),
        ({"version": "v2"}, "has loaded model draft/v2"),
    ):
        mismatched = reports | {"b": fixtures.report("b", **changes)}
        assert problem in gate.verify(replica, mismatched, "zone-a", "address")
    assert "never" in gate.verify(replica, {"a": reports["a"]}, "zone-a", "x")


def test_gate_opens_only_on_current_evidence():
    serving_gate = gate.Gate(2.5)
    assert not serving_gate.check("d.1", 0.0).is_open
    serving_gate.add(fixtures.evidence(at=10.0))
    assert serving_gate.check("d.1", 12.5).is_open
    assert not serving_gate.check("d.1", 12.6).is_open
    serving_gate.close("d.1", 7, 10.5)
    assert not serving_gate.check("d.1", 11.0).is_open
    serving_gate.add(fixtures.evidence(at=10.4))
    assert not serving_gate.check("d.1", 11.0).is_open
    serving_gate.add(fixtures.evidence(at=10.6))
    assert serving_gate.check("d.1", 11.0).is_open


def test_evidence_of_a_drain_takes_precedence():
    serving_gate = gate.Gate(2.5)
    serving_gate.add(fixtures.evidence(at=10.0, is_open=False))
    serving_gate.add(fixtures.evidence(at=10.1))
    assert serving_gate.check("d.1", 10.2).reason == "draining"
    serving_gate.add(fixtures.evidence(at=12.6))
    assert serving_gate.check("d.1", 12.7).is_open


def test_gate_rejects_evidence_with_an_older_fencing_number():
    serving_gate = gate.Gate(2.5)
    serving_gate.add(fixtures.evidence(fence=8, at=10.0))
    serving_gate.add(fixtures.evidence(fence=7, at=11.0))
    assert serving_gate.evidence["d.1"].fence == 8


def _demand(event, start, replicas=2, span=4, minutes=60):
    return sheet_model.Demand(
        event, "draft", "v1", replicas, span, start, start + minutes * 60
    )


def test_loads_are_scheduled_backwards_from_event_starts():
    budget = schedule.LoadBudget(load_s=10.0, parallel_loads=4, lead_s=30.0)
    (late,) = schedule.schedule_loads([_demand("b", 1000.0)], budget)
    assert late.load_from == 1000.0 - 30.0 - 2 * 10.0
    early, late = schedule.schedule_loads(
        [_demand("b", 1000.0), _demand("a", 960.0)], budget
    )
    assert early.demand.event == "a"
    assert early.load_from == min(960.0 - 30.0, late.load_from) - 20.0


def test_demands_of_overlapping_events_add_up():
    budget = schedule.LoadBudget(0.0, 1, 0.0)
    scheduled = schedule.schedule_loads(
        [_demand("a", 0.0), _demand("b", 1800.0)], budget
    )
    kind = ("draft", "v1", 4)
    assert schedule.wanted_at(scheduled, 1799.0) == {kind: 2}
    assert schedule.wanted_at(scheduled, 1800.0) == {kind: 4}
    assert schedule.wanted_at(scheduled, 3600.0) == {kind: 2}


def _capacity(name, zone, usable, holding=0, listed=None):
    open_replicas = {("draft", "v1", 4): holding} if holding else {}
    return schedule.DomainCapacity(
        name, zone, usable if listed is None else listed, usable, open_replicas
    )


def _replica_counts(targets_by_domain):
    return {
        domain: sum(target.count for target in targets)
        for domain, targets in targets_by_domain.items()
    }


def test_replicas_are_spread_over_availability_zones():
    wanted = {("draft", "v1", 4): 3}
    domains = [
        _capacity("a1", "zone-a", 8),
        _capacity("a2", "zone-a", 8),
        _capacity("b1", "zone-b", 8),
    ]
    counts = _replica_counts(schedule.apportion(wanted, domains))
    assert counts["b1"] >= 1
    assert sum(counts.values()) == 3


def test_loss_in_one_domain_moves_no_replica_in_another():
    wanted = {("draft", "v1", 4): 3}
    complete = [_capacity("a", "zone-a", 9, 2), _capacity("b", "zone-b", 9, 1)]
    one_lost = [
        _capacity("a", "zone-a", 8, 2, listed=9),
        _capacity("b", "zone-b", 9, 1),
    ]
    assert schedule.apportion(wanted, complete) == schedule.apportion(
        wanted, one_lost
    )
    all_lost = [
        _capacity("a", "zone-a", 0, 2, listed=9),
        _capacity("b", "zone-b", 9, 1),
    ]
    assert _replica_counts(schedule.apportion(wanted, all_lost)) == {
        "a": 0,
        "b": 2,
    }


def test_shortfall_is_reported_before_the_event():
    budget = schedule.LoadBudget(10.0, 4, 30.0)
    scheduled = schedule.schedule_loads(
        [_demand("rush", 10_000.0, replicas=5)], budget
    )
    domains = [_capacity("a", "zone-a", 9), _capacity("b", "zone-b", 7)]
    (shortfall,) = schedule.shortfalls(scheduled, domains, 0.0)
    assert shortfall.possible == 3
    assert not schedule.shortfalls(
        schedule.schedule_loads(
            [_demand("rush", 10_000.0, replicas=3)], budget
        ),
        domains,
        0.0,
    )


def test_absence_timeout_weighs_waiting_against_forming_anew():
    costly_downtime = policy.create(
        "objective", policy.Objective(1.0, 0.02, 10.0)
    )
    costly_stranding = policy.create(
        "objective", policy.Objective(0.2, 1.0, 10.0)
    )
    assert (
        costly_stranding.absence_timeout_s(4)
        < costly_downtime.absence_timeout_s(4)
        <= 10.0
    )
    no_spares = policy.create("no-spares", policy.Objective())
    assert no_spares.absence_timeout_s(4) == float("inf")


def test_first_order_is_due_at_negative_monotonic_time():
    domain_view = _view(replicas=[_replica("r", ["e0", "e1", "e2", "e3"])])
    reports = {
        instance_id: dataclasses.replace(report, asked_at=-50.0)
        for instance_id, report in domain_view.reports.items()
    }
    domain_view = dataclasses.replace(domain_view, now=-50.0, reports=reports)
    held = lease.HeldLease(KEY, "one", 1, 1, 200.0, 200.0, -60.0)
    no_spares = policy.create("no-spares", policy.Objective())
    assert len(list(orders.due(domain_view, no_spares, held, {}, 2.0))) == 4


def test_loss_of_previous_members_does_not_close_healed_replica():
    serving_gate = gate.Gate(2.5)
    serving_gate.add(fixtures.evidence(fence=8, at=10.0))
    serving_gate.close("d.1", 7, 11.0)
    assert serving_gate.check("d.1", 11.0).is_open
    serving_gate.close("d.1", 8, 10.5)
    assert serving_gate.check("d.1", 11.0).reason == "seen broken"
    serving_gate.close("d.1", 7, 12.0)
    assert serving_gate.check("d.1", 11.0).reason == "seen broken"
