"""Random faults from outside on real entry processes."""

import asyncio
import pathlib
import signal
import tempfile

from nose2.tools import params

from tests import process_soak

SHORT_S = 6.0
INSTANCES = 3


# 422: an instance that had just started let a crashing request run.
@params((1, False), (422, False), (2, True))
def test_real_processes_keep_their_promises_under_random_faults(seed, restores):
    report = process_soak.run(seed, SHORT_S, INSTANCES, restores)
    assert not report.violations, report.violations
    assert report.outcomes["draft 200"] and report.outcomes["order 200"]


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
