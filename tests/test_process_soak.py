"""Random faults from outside on real entry processes."""

import asyncio
import functools
import pathlib
import signal
import tempfile
import time

import aiohttp
from nose2.tools import params

from tests import process_fixtures, process_planned, process_soak

SHORT_S = 6.0
PLANNED_SECONDS = 8.0
INSTANCES = 3


# 422: an instance that had just started let a crashing request run.
@params((422, False), (2, True))
def test_real_processes_keep_their_promises_under_random_faults(seed, restores):
    report = process_soak.run(seed, SHORT_S, INSTANCES, restores)
    assert not report.violations, report.violations
    assert report.outcomes["draft 200"] and report.outcomes["order 200"]


def test_planned_work_and_silent_engines_after_random_faults_lose_no_request():
    report = process_soak.run(
        1, SHORT_S, INSTANCES, planned_seconds=PLANNED_SECONDS
    )
    assert not report.violations, report.violations
    assert report.outcomes["draft 200"] and report.outcomes["order 200"]
    for path in ("draft", "fixed", "single", "shift", "order", "plain"):
        assert report.outcomes[f"planned {path} 200"], report.outcomes


def test_no_belief_of_real_processes_outlives_the_world():
    report = process_soak.run(5001, 1.0, INSTANCES, tests_beliefs=True)
    assert not report.violations, report.violations
    for event in (
        "offers",
        "silent_store",
        "vanishing_row",
        "killed_after_a_third_crash",
    ):
        assert report.faults[event] == 1


def test_a_soak_notices_requests_without_an_answer_or_a_refusal():
    soak = process_soak.Soak(1, 1, pathlib.Path("."))
    phase = process_planned.Phase(soak)
    now = time.monotonic()
    cut = aiohttp.ClientPayloadError()
    timeout_s = process_fixtures.REQUEST_TIMEOUT_S
    end = functools.partial(phase.check_end, soak.entries[0], "/draft/")
    end("late", 200, now - timeout_s, cut)
    assert not soak.report.violations
    end("cut", 200, now - 1.0, cut)
    end("reset", 0, now - 1.0, aiohttp.ServerDisconnectedError())
    end("silent", 0, now - timeout_s - 2.0, TimeoutError())
    assert [
        violation.partition(" ")[0] for violation in soak.report.violations
    ] == ["cut", "reset", "silent"]


def test_a_lowered_timeout_excuses_only_requests_that_it_may_apply_to():
    phase = process_planned.Phase(process_soak.Soak(1, 1, pathlib.Path(".")))
    adoption_s = process_planned.ADOPTION_S
    phase.timeouts = [(0.0, {"r": 9.0}), (10.0, {"r": 3.0}), (20.0, {"r": 9.0})]
    own_times_s = [
        phase.own_time_s("/draft/", sent_at) + process_planned.CLOCK_MARGIN_S
        for sent_at in (9.0, 11.0, 19.0, 20.0 + adoption_s, 21.0 + adoption_s)
    ]
    deadline_s = process_fixtures.REQUEST_TIMEOUT_S
    assert own_times_s == [deadline_s, 3.0, 3.0, 3.0, deadline_s]


def test_a_reload_that_comes_too_soon_does_not_end_a_process():
    with tempfile.TemporaryDirectory() as folder:
        soak = process_soak.Soak(2, 1, pathlib.Path(folder))
        entry = soak.entries[0]

        async def check():
            await entry.prepare()
            entry.start()
            while not entry.handles_sighup():
                assert entry.process.poll() is None
            assert entry.output.stat().st_size == 0
            entry.signal(signal.SIGHUP)
            while b"started" not in entry.output.read_bytes():
                assert entry.process.poll() is None
                await asyncio.sleep(0.05)
            entry.signal(signal.SIGKILL)
            entry.process.wait()
            await entry.store_link.close()
            await entry.caller_link.close()

        asyncio.run(check())


def test_a_soak_notices_broken_promises():
    soak = process_soak.Soak(1, 1, pathlib.Path("."))
    soak.order_ids = {"a", "b", "c"}
    soak.platform.ran.update({"a": ["e1", "e2"], "b": ["e1"], "c": ["e1"]})
    soak.refused_ids = {"b"}
    soak.platform.breaches.append("served without a member")
    soak.entries.clear()
    soak.check_executions()
    soak.platform.crashes += [
        (float(number), f"1-{kind}{number}")
        for number in range(12)
        for kind in ("crashing", "sharing")
    ]
    soak.check_crashes()
    soak.report.violations.sort()
    assert soak.report.violations.pop() == (
        "sharing requests ran 4 times after their first 5 crashes were known"
    )
    assert soak.report.violations.pop(0) == (
        "crashing requests ran 6 times after their first 3 crashes were known"
    )
    assert soak.report.violations == [
        "order a ran at ['e1', 'e2']",
        "order b was refused and ran",
        "served without a member",
    ]
