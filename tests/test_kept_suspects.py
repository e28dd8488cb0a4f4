"""Tests that what crashes upstreams is known after all instances ended."""

import asyncio
import itertools

from tamarackpier import codes, metrics, quarantine
from tamarackpier.daemon import quarantine_store
from tamarackpier.standin import memory
from tamarackpier.traffic import run as run_lib
from tests import deployment_fixtures, hosted_fixtures, relay_fixtures

CRASHING_BODY = b'{"crash": true}'


class _Instance:
    """An instance's quarantine and its store.

    Attributes:
        now: Monotonic time, in seconds; Unix time is 1000 s ahead.
    """

    def __init__(self, table, now=100.0, found=()):
        self.now = now
        self.quarantine = quarantine.Quarantine(3, keep_s=86_400.0)
        self.quarantine.may_try = lambda suspect: True
        self.store = quarantine_store.QuarantineStore(
            self.quarantine,
            table,
            metrics.Metrics(),
            lambda: self.now,
            lambda: self.now + 1000.0,
        )
        self.store.found_deaths = lambda: found
        self.quarantine.is_kept = self.store.is_kept

    def add(self, *crashes):
        self.quarantine.add(
            quarantine.Crash(suspect, death, at)
            for suspect, death, at in crashes
        )

    async def update(self, rounds=3):
        for _ in range(rounds):
            await self.store.update()

    def verdict(self, suspect="bad"):
        return self.quarantine.verdict(suspect, self.now)


def _deaths(suspect="bad", count=3, at=99.9):
    return [(suspect, f"d{number}", at) for number in range(count)]


def test_the_finder_of_a_third_death_stores_it_at_once():
    async def check():
        table = memory.MemoryTable()
        finder, other = _Instance(table, found=("d2",)), _Instance(table)
        for instance in (finder, other):
            instance.add(*_deaths())
            assert instance.verdict() is quarantine.Verdict.WAIT
        await other.update()
        assert not table.rows
        await finder.update()
        assert set(table.rows) == {"quarantine/bad"}
        # One scan at the start of each, and one write.
        assert (table.read_count, table.write_count) == (2, 1)
        other.now += 5.0
        await other.update(5)
        assert (table.read_count, table.write_count) == (3, 1)
        restarted = _Instance(table, 103.0)
        await restarted.update()
        assert restarted.verdict() is quarantine.Verdict.REFUSE

    asyncio.run(check())


def test_a_suspect_does_not_run_alone_before_the_store_has_it():
    async def check():
        table = memory.MemoryTable()
        instance = _Instance(table, found=("d2",))
        # Another suspect of the same deaths makes the cause ambiguous.
        instance.add(*_deaths("bad"), *_deaths("other"))
        assert instance.verdict() is quarantine.Verdict.WAIT
        table.faults.kind = memory.TableFault.DOWN
        await instance.update()
        assert instance.verdict() is quarantine.Verdict.WAIT
        instance.now += 10.0
        await instance.update()
        assert instance.verdict() is quarantine.Verdict.WAIT
        table.faults.kind = memory.TableFault.NONE
        instance.now += 3.0
        await instance.update()
        assert instance.verdict() is quarantine.Verdict.ALONE

    asyncio.run(check())


def test_a_trial_happens_once_for_all_instances_and_after_restarts():
    async def check():
        table = memory.MemoryTable()
        instances = [_Instance(table) for _ in range(3)]
        tried_at = []
        for step in range(120):
            for index, instance in enumerate(instances):
                instance.now = 140.0 + 5.0 * step
                if not step:
                    instance.add(*_deaths(at=100.0))
                await instance.update()
                if instance.verdict() is quarantine.Verdict.ALONE:
                    tried_at.append((index, instance.now))
                    instance.quarantine.begin_run(["bad"], instance.now)
            if step % 7 == 6:
                # All instances end and start again.
                instances = [_Instance(table, instance.now) for _ in range(3)]
        assert len(tried_at) == 2
        (_, first_at), (_, second_at) = tried_at
        assert second_at - first_at >= 300.0

    asyncio.run(check())


def test_no_trial_runs_while_the_store_is_away():
    async def check():
        table = memory.MemoryTable()
        instance = _Instance(table)
        instance.add(*_deaths(at=50.0))
        await instance.update()
        table.faults.kind = memory.TableFault.DOWN
        instance.now += 60.0
        await instance.update()
        # The claim of before the outage, if any, is the only trial.
        verdicts = []
        for _ in range(5):
            verdicts.append(instance.verdict())
            instance.quarantine.begin_run(["bad"], instance.now)
            instance.now += 400.0
            await instance.update()
        assert verdicts.count(quarantine.Verdict.ALONE) <= 1

    asyncio.run(check())


def test_instances_do_not_overwrite_what_they_have_not_read():
    async def check():
        table = memory.MemoryTable()
        first, second = (
            _Instance(table, found=(f"{name}0",)) for name in ("a", "b")
        )
        await first.update()
        await second.update()
        for instance, name in ((first, "a"), (second, "b")):
            instance.add(*(("bad", f"{name}{n}", 99.0) for n in range(3)))
        for _ in range(3):
            await first.update()
            await second.update()
        deaths = table.rows["quarantine/bad"].value["deaths_at_unix_s"]
        assert set(deaths) == {"a0", "a1", "a2", "b0", "b1", "b2"}

    asyncio.run(check())


def test_more_suspects_than_the_store_has_room_for_cost_few_calls():
    async def check():
        table = memory.MemoryTable()
        instance = _Instance(table)
        instance.add(
            *itertools.chain(*(_deaths(f"s{n}", at=90.0) for n in range(300)))
        )
        await instance.update(40)
        assert len(table.rows) == 256
        assert table.read_count <= 2
        assert table.write_count == 256

    asyncio.run(check())


def test_no_request_is_admitted_before_suspects_are_known():
    async def check():
        records = hosted_fixtures.replica_records()
        async with relay_fixtures.serve_relay(records) as relay:
            relay.knows_suspects = lambda: False
            connection = relay_fixtures.RecordingCaller()
            try:
                outcome = await relay.handle(
                    relay_fixtures.request(), connection
                )
            except run_lib.RefusedError as error:
                fault = error.fault
            else:
                fault = outcome.failure()
            assert fault.code is codes.NOT_CONFIGURED

    asyncio.run(check())


def test_a_request_is_refused_though_all_instances_end_after_its_third_crash():
    async def check(deployment):
        platform = deployment.platform
        await deployment.until(lambda: all(deployment.serving()))
        platform.crashing_bodies[CRASHING_BODY] = 0
        numbers = itertools.count()

        async def send(instance):
            return await deployment.post(
                "/status/1", f"bad-{next(numbers)}", instance, CRASHING_BODY
            )

        while len(platform.crashes) < 3:
            await send(len(platform.crashes) % 2)
            await asyncio.sleep(0.1)
        await asyncio.sleep(0.7)
        crash_count = len(platform.crashes)
        ended = deployment.instances[:]
        deployment.instances.clear()
        deployment.links.clear()
        await asyncio.gather(*(instance.close() for instance in ended))
        for instance in ended:
            await deployment.start_instance(instance.settings.instance.id)
        await deployment.until(lambda: all(deployment.serving()))
        for index in (0, 1, 0, 1):
            response, _ = await send(index)
            assert response.status == 503
        assert len(platform.crashes) == crash_count

    deployment_fixtures.run(check, count=2, order_engine_count=6)
