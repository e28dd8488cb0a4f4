"""Long random runs in which all invariants are checked.

Bugs planted into the nodes show that the checks find violations.
"""

from unittest import mock

import hypothesis
from absl import logging
from hypothesis import strategies
from nose2.tools import params

from tamarackpier.replica import gate, model
from tamarackpier.standin import faults
from tests import soak

# Minimum number of messages that the nodes of a run send or receive.
MIN_STEPS = 10_000

# Strategy that generates faults from a kind, a selector, a duration and a gap;
# the last two are in seconds.
FAULT = strategies.builds(
    faults.Fault,
    strategies.sampled_from(list(faults.FAULTS)),
    strategies.integers(0, 999),
    strategies.sampled_from((0.3, 1.0, 3.0, 8.0, 20.0)),
    strategies.sampled_from((0.1, 0.5, 1.0, 2.0, 4.0)),
)


@params(11, 12, 13)
def test_no_violation_in_long_random_runs(seed):
    logging.set_verbosity("fatal")
    report = soak.run(seed, (), MIN_STEPS)
    assert report.steps >= MIN_STEPS
    assert report.violations == []
    for name in ("dispatch_needs_evidence", "instance_in_one_replica"):
        assert report.checks[name] > 0


@hypothesis.settings(
    max_examples=8,
    deadline=None,
    derandomize=True,
    database=None,
    phases=[hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(strategies.lists(FAULT, min_size=3, max_size=12))
def test_no_violation_under_generated_faults(planned_faults):
    logging.set_verbosity("fatal")
    assert soak.run(5, planned_faults).violations == []


def _skip_evidence(world):
    """Admits requests to replicas that have old evidence or are broken."""
    for entry in world.entries.values():
        entry.node.gate.check = lambda replica_id, now: gate.Verdict(True)


def _repeat_orders_after_dispatch(world):
    """Sends an order again although a service may have run it already."""
    for entry in world.entries.values():
        service_relay = entry.node.services
        service_relay._run_recorded = service_relay._run_repeatable


def _report_truncated_as_complete(world):
    """Reports an answer as complete when its connection breaks."""

    def complete_stream(run, detail):
        run.assembler.is_done = True
        run._close_stream()

    for entry in world.entries.values():
        relay = entry.node.relay
        original_start = relay.start

        async def start(call, version, original_start=original_start):
            start_result = await original_start(call, version)
            return start_result.map(plant_in_run)

        def plant_in_run(run):
            run._record_broken_stream = lambda detail: complete_stream(
                run, detail
            )
            return run

        relay.start = start


def _crash(selector, duration_s, gap_s):
    return faults.Fault("engine-crashes", selector, duration_s, gap_s)


def _violations_of(plant_bug, planned_faults):
    """Returns the violations of a run in one line, empty if there are none."""
    logging.set_verbosity("fatal")
    return " ".join(soak.run(7, planned_faults, plant_bug=plant_bug).violations)


def test_skipping_the_evidence_check_is_detected():
    planned_faults = [_crash(selector, 8.0, 4.0) for selector in range(10)]
    assert _violations_of(None, planned_faults) == ""
    assert "dispatch_needs_evidence" in _violations_of(
        _skip_evidence, planned_faults
    )


def test_repeating_dispatched_orders_is_detected():
    planned_faults = [faults.Fault("service-loses-answers", 0, 15.0, 20.0)]
    assert _violations_of(None, planned_faults) == ""
    # The violation reads "order ... ran N times".
    assert "times" in _violations_of(
        _repeat_orders_after_dispatch, planned_faults
    )


def test_reporting_a_truncated_stream_as_complete_is_detected():
    planned_faults = [_crash(selector, 8.0, 4.0) for selector in range(10)]
    violations = _violations_of(_report_truncated_as_complete, planned_faults)
    assert "was reported complete but differs from" in violations


def test_skipping_the_fencing_check_is_detected():
    # The crash of a member makes the planner form the replica again, so that
    # the other members have received orders with two fencing numbers. Orders
    # with the old number then arrive late, while the planner is paused and no
    # other planner can correct them.
    planned_faults = [
        _crash(6, 30.0, 8.0),
        faults.Fault("planner-pauses", 1, 12.0, 0.1),
        *(
            faults.Fault("order-arrives-late", selector, 0.0, 0.1)
            for selector in range(5, 9)
        ),
        faults.Fault("list-lags", 0, 1.0, 9.0),
    ]
    assert _violations_of(None, planned_faults) == ""
    with mock.patch.object(gate, "_problem", _accept_any_fence):
        assert "has not been ready in it since" in _violations_of(
            None, planned_faults
        )


def _accept_any_fence(replica, report):
    """Accepts a ready engine, whatever replica and fencing number it reports.

    It does not compare the reported members and model either.
    """
    if report is None or report.state is not model.EngineState.READY:
        return "not ready"
    return ""
