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

MIN_STEPS = 10_000

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
    """Admits requests on any evidence, however old or outdated by a loss."""
    for entry in world.entries.values():
        entry.node.gate.check = lambda replica_id, now: gate.Verdict(True)


def _repeat_orders_after_dispatch(world):
    """Repeats an order although its first dispatch may have run it."""
    for entry in world.entries.values():
        relay = entry.node.services
        relay._run_recorded = relay._run_repeatable


def _report_truncated_as_complete(world):
    """Reports an answer as complete when its connection breaks."""

    def complete_stream(run, detail):
        run.assembler.is_done = True
        run._close_stream()

    for entry in world.entries.values():
        relay = entry.node.relay
        original = relay.start

        async def start(call, version, original=original):
            started = await original(call, version)
            return started.map(with_bug)

        def with_bug(run):
            run._record_broken_stream = lambda detail: complete_stream(
                run, detail
            )
            return run

        relay.start = start


def _crash(selector, duration_s, gap_s):
    return faults.Fault("engine-crashes", selector, duration_s, gap_s)


def _violations_of(plant_bug, planned_faults):
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
    assert "times" in _violations_of(
        _repeat_orders_after_dispatch, planned_faults
    )


def test_reporting_a_truncated_stream_as_complete_is_detected():
    planned_faults = [_crash(selector, 8.0, 4.0) for selector in range(10)]
    violations = _violations_of(_report_truncated_as_complete, planned_faults)
    assert "was reported complete but differs from" in violations


def test_skipping_the_fencing_check_is_detected():
    # After a replica was healed, its members have received two fencing
    # numbers. An order with the old number then arrives late, while no planner
    # can correct it.
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
    """Accepts any fencing number and members that an engine reports."""
    if report is None or report.state is not model.EngineState.READY:
        return "not ready"
    return ""
