"""Long random runs in which everything that must hold is checked."""

from unittest import mock

import hypothesis
from absl import logging
from hypothesis import strategies
from nose2.tools import params

from tamarackpier.replica import gate, model
from tamarackpier.standin import faults
from tests import soak

LEAST_STEPS = 10_000

FAULT = strategies.builds(
    faults.Fault,
    strategies.sampled_from(list(faults.FAULTS)),
    strategies.integers(0, 999),
    strategies.sampled_from((0.3, 1.0, 3.0, 8.0, 20.0)),
    strategies.sampled_from((0.1, 0.5, 1.0, 2.0, 4.0)),
)


@params(11, 12, 13)
def test_everything_holds_over_many_steps(seed):
    logging.set_verbosity("fatal")
    found = soak.run(seed, (), LEAST_STEPS)
    assert found.steps >= LEAST_STEPS
    assert found.violations == []
    for name in ("dispatch_needs_evidence", "instance_in_one_replica"):
        assert found.checks[name] > 0


@hypothesis.settings(
    max_examples=8,
    deadline=None,
    derandomize=True,
    database=None,
    phases=[hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(strategies.lists(FAULT, min_size=3, max_size=12))
def test_everything_holds_through_chosen_faults(coming):
    logging.set_verbosity("fatal")
    assert soak.run(5, coming).violations == []


def _skip_evidence(world):
    """Serves on any evidence, however old and whatever was seen since."""
    for entry in world.entries.values():
        entry.node.gate.check = lambda replica_id, now: gate.Verdict(True)


def _retry_after_dispatch(world):
    """Sends an order again whose first sending may have run it."""
    for entry in world.entries.values():
        relay = entry.node.services
        relay._run_recorded = relay._run_repeatable


def _truncated_is_whole(world):
    """Calls an answer whole when its connection ends."""

    def lose(run, detail):
        run.assembler.is_done = True
        run._close_stream()

    for entry in world.entries.values():
        relay = entry.node.relay
        original = relay.start

        async def start(call, version, original=original):
            started = await original(call, version)
            return started.map(with_fault)

        def with_fault(run):
            run._record_broken_stream = lambda detail: lose(run, detail)
            return run

        relay.start = start


def _crash(instance_id_choice, duration_s, gap_s):
    return faults.Fault("engine-crashes", instance_id_choice, duration_s, gap_s)


def _broken_by(plant, coming):
    logging.set_verbosity("fatal")
    return " ".join(soak.run(7, coming, plant=plant).violations)


def test_skipping_the_evidence_check_is_caught():
    coming = [_crash(choice, 8.0, 4.0) for choice in range(10)]
    assert _broken_by(None, coming) == ""
    assert "dispatch_needs_evidence" in _broken_by(_skip_evidence, coming)


def test_sending_orders_again_is_caught():
    coming = [faults.Fault("service-loses-answers", 0, 15.0, 20.0)]
    assert _broken_by(None, coming) == ""
    assert "times" in _broken_by(_retry_after_dispatch, coming)


def test_taking_a_truncated_stream_for_whole_is_caught():
    coming = [_crash(choice, 8.0, 4.0) for choice in range(10)]
    found = _broken_by(_truncated_is_whole, coming)
    assert "was reported complete but differs from" in found


def test_skipping_the_fencing_number_is_caught():
    # A replica heals, so its members know two numbers; then an order with the
    # old one arrives late while no planner can put it right.
    coming = [
        _crash(6, 30.0, 8.0),
        faults.Fault("planner-pauses", 1, 12.0, 0.1),
        *(
            faults.Fault("order-arrives-late", choice, 0.0, 0.1)
            for choice in range(5, 9)
        ),
        faults.Fault("list-lags", 0, 1.0, 9.0),
    ]
    assert _broken_by(None, coming) == ""
    with mock.patch.object(gate, "_problem", _any_fence):
        assert "has not been ready in it since" in _broken_by(None, coming)


def _any_fence(replica, report):
    """Takes a member's word for any fencing number and any members."""
    if report is None or report.state is not model.EngineState.READY:
        return "not ready"
    return ""
