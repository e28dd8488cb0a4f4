"""Tests of what probes cost an instance that has little processor time."""

import asyncio
import collections
import time
import types

from returns import result

from tamarackpier import metrics
from tamarackpier.daemon import probing
from tamarackpier.fleet import fleet_view, model
from tamarackpier.routing import model as routing_model
from tamarackpier.traffic import stream_attempts
from tests import hosted_fixtures

SPAN = 16
# Processor time of one probe, and time until the engine has answered.
PROBE_S = 0.004
ANSWER_S = 0.005


class _Gateway:
    """Engines that all answer at once; counts the probes of each."""

    def __init__(self):
        self.counts = collections.Counter()

    async def report(self, engine, timeout_s):
        self.counts[engine.id] += 1
        time.sleep(PROBE_S)
        await asyncio.sleep(ANSWER_S)
        return result.Success(
            model.EngineReport(
                engine.id, engine.membership, 0, 0, 1.0, engine.incarnation
            )
        )


def test_an_instance_that_lags_does_not_ask_engines_again_that_have_answered():
    async def check():
        fleet = fleet_view.FleetView()
        spec = types.SimpleNamespace(name="large", span=SPAN)
        engine_spec = types.SimpleNamespace(models=(spec,))
        fleet.set_services(
            {"drafts": routing_model.ServiceSpec("drafts", engine_spec)}
        )
        fleet.replace(hosted_fixtures.replica_records(span=SPAN), 0.0)
        gateway = _Gateway()
        prober = probing.Prober(
            fleet,
            gateway,
            stream_attempts.StreamAttempts(),
            metrics.Metrics(),
            time.monotonic,
        )
        probe_result = await prober.probe(model.ReplicaKey("r1", 1), "test")
        assert not probe_result.reason
        assert set(gateway.counts.values()) == {1}

    asyncio.run(check())
