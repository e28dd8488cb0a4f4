"""Tests with a store that comes back from an older copy of itself."""

import asyncio
import contextlib
import dataclasses
import time

import aiohttp
from returns import pipeline

from tamarackpier import codes, failures, metrics, quarantine
from tamarackpier.daemon import (
    quarantine_store,
    serving,
    zone_lease,
)
from tamarackpier.fleet import fleet_view
from tamarackpier.peer import zone_claims
from tamarackpier.platform import encode, interfaces, store, wire
from tamarackpier.standin import hosted_platform
from tests import deployment_fixtures, exchange_fixtures, hosted_fixtures, ports

# Time in which a configuration has to be in force everywhere.
APPLY_S = 2.0
_LEASE_KEY = "lease/zone-0"


@contextlib.asynccontextmanager
async def _serve_store():
    """Yields a stand-in of the store and a client for it."""
    standin = hosted_platform.RowStoreStandin()
    address = f"127.0.0.1:{ports.free_port()}"
    listener = serving.HttpListener(standin, address, 60.0)
    await listener.listen()
    async with aiohttp.ClientSession() as session:
        try:
            yield standin, store.RowStore(session, address, 1.0)
        finally:
            listener.close()
            listener.close_idle()


def _run(check):
    async def run_check():
        async with _serve_store() as (standin, rows):
            await check(standin, rows)

    asyncio.run(run_check())


def _give_out(standin, versions):
    for number in range(versions):
        standin.put("other", "row", b"%d" % number)


def _restore_and_pass(standin, copy, versions):
    """Restores a copy and gives out more versions than were lost."""
    standin.restore(copy)
    _give_out(standin, versions)


def test_a_feed_does_not_continue_in_a_history_that_it_was_not_read_from():
    async def check(standin, rows):
        standin.put("servers", "e1", b"a")
        copy = standin.copy()
        standin.put("servers", "e1", b"b")
        after = (await rows.snapshot("servers")).unwrap().version
        standin.restore(copy)
        standin.put("servers", "e1", b"c")
        standin.put("other", "row", b"1")
        feed = await rows.changes("servers", after, 0.1)
        assert feed.failure().code is codes.TABLE_HISTORY_LOST
        snapshot = (await rows.snapshot("servers")).unwrap()
        assert [row.data for row in snapshot.rows] == [b"c"]
        assert snapshot.version > after

    _run(check)


def test_a_waiting_feed_ends_when_any_answer_shows_that_history_was_lost():
    async def check(standin, rows):
        standin.put("servers", "e1", b"a")
        copy = standin.copy()
        after = (await rows.snapshot("servers")).unwrap().version
        started_at = time.monotonic()
        feed = asyncio.ensure_future(rows.changes("servers", after, 20.0))
        await asyncio.sleep(0.1)
        standin.restore(copy)
        await rows.read((_LEASE_KEY,))
        assert (await feed).failure().code is codes.TABLE_HISTORY_LOST
        assert time.monotonic() - started_at < 5.0

    _run(check)


def test_a_condition_does_not_hold_for_a_version_that_was_given_out_again():
    async def check(standin, rows):
        for is_noticed in (True, False):
            copy = standin.copy()
            written = (await _write(rows, "lease/z", 0, "ours")).unwrap()
            standin.restore(copy)
            standin.put("lease", "z", b'{"holder": "theirs"}')
            if is_noticed:
                await rows.read(("other/row",))
            outcome = await _write(rows, "lease/z", written["lease/z"], "late")
            if not is_noticed:
                assert outcome.failure().code is codes.TABLE_ANSWER_LOST
            else:
                assert outcome.failure().code is codes.TABLE_CONFLICT
                row = (await rows.read(("lease/z",))).unwrap()["lease/z"]
                assert row.value == {"holder": "theirs"}
            standin.put("lease", "z", None)

    _run(check)


async def _write(rows, key, version, holder):
    return await rows.transact(
        interfaces.Transaction(
            (interfaces.Check(key, version),),
            (interfaces.Write(key, {"holder": holder}),),
        )
    )


def test_a_table_is_not_read_from_two_histories():
    async def check(standin, rows):
        for number in range(700):
            standin.put("servers", f"e{number:03}", b"a")
        copy = standin.copy()
        read = standin._read

        def restore_before_second_page(query):
            if standin.era == 0 and query.get("from"):
                standin.restore(copy)
            return read(query)

        standin._read = restore_before_second_page
        snapshot = await rows.snapshot("servers")
        assert snapshot.failure().code is codes.TABLE_HISTORY_LOST
        assert len((await rows.snapshot("servers")).unwrap().rows) == 700

    _run(check)


def _lease(rows, node, clock, fences=None):
    lease = zone_lease.ZoneLease(
        "zone-0",
        rows,
        node.fleet,
        node.roster,
        metrics.Metrics(),
        clock,
        lambda: lost.append(clock()),
        lambda: lease.first_fence,
    )
    lost: list[float] = []
    return lease, lost


async def _until_planning(lease, claims, seconds=5.0):
    deadline = time.monotonic() + seconds
    while not lease.is_planning:
        assert time.monotonic() < deadline, "lease was not acquired in time"
        lease.tick(claims)
        await asyncio.sleep(0.02)


def test_a_lease_that_the_store_lost_is_written_again_by_its_holder():
    async def check(standin, rows):
        node = exchange_fixtures.Node(0, (), time.monotonic)
        gone = b'{"holder": "gone/1", "number": 4, "duration_s": 3.0}'
        free = b'{"holder": "", "number": 4, "duration_s": 0.0}'
        for older, newer in ((None, None), (gone, free)):
            standin.put("lease", "zone-0", older)
            copy = standin.copy()
            standin.put("lease", "zone-0", newer)
            lease, lost = _lease(rows, node, time.monotonic)
            await _until_planning(lease, zone_claims.ZoneClaims())
            number = lease.held.number
            _restore_and_pass(standin, copy, 5)
            ends_at = time.monotonic() + 2.5
            while time.monotonic() < ends_at:
                lease.tick(zone_claims.ZoneClaims())
                assert lease.is_planning
                await asyncio.sleep(0.02)
            row = (await rows.read((_LEASE_KEY,))).unwrap()[_LEASE_KEY]
            assert row.value["holder"] == lease.holder
            assert row.value["number"] >= number
            assert not lost
            await lease.release()
            standin.put("lease", "zone-0", None)

    _run(check)


def test_fencing_numbers_do_not_go_back_with_the_store():
    async def check(standin, rows):
        node = exchange_fixtures.Node(0, (), time.monotonic)
        used = 7 << 20 | 5
        for claims, records in (
            (zone_claims.ZoneClaims(fences={"zone-0": used + 1}), []),
            (
                zone_claims.ZoneClaims(),
                hosted_fixtures.replica_records("r9", used)
                + hosted_fixtures.replica_records("r8", 1 << 80),
            ),
        ):
            node.fleet.replace(
                [
                    dataclasses.replace(record, availability_zone="zone-0")
                    for record in records
                ],
                time.monotonic(),
            )
            standin.put(
                "lease",
                "zone-0",
                b'{"holder": "", "number": 2, "duration_s": 0.0}',
            )
            lease, _ = _lease(rows, node, time.monotonic)
            await _until_planning(lease, claims)
            assert used < lease.first_fence < 1 << 60
            await lease.release()

    _run(check)


def test_suspects_that_the_store_lost_are_written_again():
    async def check(standin, rows):
        suspects = quarantine.Quarantine(3, keep_s=1000.0)
        suspects.add(
            quarantine.Crash("bad", f"d{number}", -10.0) for number in range(3)
        )
        kept = quarantine_store.QuarantineStore(
            suspects, rows, metrics.Metrics(), lambda: 0.0, lambda: 1000.0
        )
        rows.on_restored = kept.forget_stored
        copy = standin.copy()
        await kept.update()
        assert ("quarantine", "bad") in standin.rows
        for _ in range(2):
            _restore_and_pass(standin, copy, 5)
            await rows.read(("other/row",))
            for _ in range(3):
                await kept.update()
            assert ("quarantine", "bad") in standin.rows

    _run(check)


def test_replicas_serve_on_while_a_restored_store_has_older_rows():
    fleet = fleet_view.FleetView()
    fleet.set_services(deployment_fixtures.SERVICES)
    newer = hosted_fixtures.replica_records("r1", 7)
    older = [
        dataclasses.replace(record, membership=None, model="")
        for record in newer
    ]
    for rewritten, count in ((newer, 1), (older, 0)):
        fleet.replace(newer, 10.0)
        fleet.mark_rows_restored(10.0)
        fleet.replace(older, 10.1)
        for record in older:
            assert not fleet.is_current(record.id, 10.2)
        fleet.expire(12.0)
        assert len(fleet.serving("drafts", "large")) == 1
        for record in rewritten:
            fleet.put(record)
        fleet.expire(13.0)
        assert len(fleet.serving("drafts", "large")) == count


def test_what_is_kept_over_a_restore_is_not_passed_on_as_an_answer():
    node = exchange_fixtures.Node(0, (), lambda: 1.0)
    node.fleet.replace([hosted_fixtures.record("e1", incarnation=5)], 0.0)
    node.fleet.mark_rows_restored(0.5)
    node.fleet.put(hosted_fixtures.record("e1", incarnation=5, is_leaving=True))
    assert not node.statuses.build_request().observed


def test_an_engine_that_is_leaving_does_not_return_with_an_older_row():
    fleet = fleet_view.FleetView()
    ready = hosted_fixtures.record("e1", incarnation=5)
    leaving = hosted_fixtures.record("e1", incarnation=5, is_leaving=True)
    fleet.replace([leaving], 0.0)
    fleet.mark_rows_restored(0.5)
    fleet.replace([ready], 1.0)
    fleet.expire(2.9)
    assert fleet.engines["e1"].is_leaving
    assert not fleet.engines_of_service("drafts")
    fleet.put(hosted_fixtures.record("e1", incarnation=6))
    assert not fleet.engines["e1"].is_leaving


def test_an_engine_that_is_gone_returns_only_if_it_is_still_there():
    record = hosted_fixtures.record("e1", incarnation=5)
    for follows, is_back_at_once, is_back_later in (
        (lambda fleet: fleet.put(record), True, True),
        (lambda fleet: fleet.remove("e1", 2.0), False, False),
        (lambda fleet: fleet.replace([record], 2.0), False, True),
        (lambda fleet: fleet.replace([], 2.0), False, False),
    ):
        fleet = fleet_view.FleetView()
        fleet.replace([record], 0.0)
        fleet.replace([], 0.5)
        fleet.mark_rows_restored(1.0)
        fleet.replace([record], 1.1)
        assert not fleet.engines
        follows(fleet)
        fleet.expire(2.1)
        assert bool(fleet.engines) == is_back_at_once
        fleet.expire(3.6)
        assert bool(fleet.engines) == is_back_later


def test_an_engine_that_started_again_is_not_taken_for_the_one_that_is_gone():
    fleet = fleet_view.FleetView()
    fleet.replace([hosted_fixtures.record("e1", incarnation=5)], 0.0)
    fleet.replace([], 0.5)
    fleet.mark_rows_restored(1.0)
    fleet.replace([hosted_fixtures.record("e1", incarnation=6)], 1.1)
    assert fleet.engines["e1"].incarnation == 6


def _routes(*names):
    return tuple(
        hosted_fixtures.route(
            name=name,
            prefix=f"/{name}/",
            kind=deployment_fixtures.ROUTES[2].kind,
            choices=deployment_fixtures.ORDER_CHOICES,
        )
        for name in names
    )


def _configure(deployment, version, *names):
    deployment.platform.configure(
        deployment_fixtures.configuration(
            version, routes=(*deployment_fixtures.ROUTES, *_routes(*names))
        )
    )


async def _statuses(deployment, path):
    """Returns the status that each instance answers."""
    return [
        (await deployment.post(path, f"{path}{index}", index))[0].status
        for index in range(len(deployment.instances))
    ]


def test_every_instance_follows_the_configuration_of_a_restored_store():
    async def check(deployment):
        platform = deployment.platform
        await deployment.until(lambda: all(deployment.serving()))
        _configure(deployment, 5, "kept", "dropped")
        await asyncio.sleep(0.5)
        version = 5
        for loss in range(2):
            copy = platform.store.copy()
            _give_out(platform.store, 20)
            _configure(deployment, version + 1, "kept", "dropped", f"l{loss}")
            await asyncio.sleep(0.5)
            # Versions pass those that were read before anyone asks again.
            platform.restore(copy)
            _configure(deployment, version + 1, "kept", "dropped", f"l{loss}")
            _configure(deployment, version + 4, "kept", f"added{loss}")
            _give_out(platform.store, 50)
            await asyncio.sleep(APPLY_S)
            version += 4
            assert await _statuses(deployment, "/dropped/1") == [404] * 3
            assert await _statuses(deployment, f"/added{loss}/1") == [200] * 3

    deployment_fixtures.run(check, count=3)


def test_a_second_loss_during_the_first_is_followed_as_well():
    async def check(deployment):
        platform = deployment.platform
        await deployment.until(lambda: all(deployment.serving()))
        _configure(deployment, 5, "kept", "dropped")
        await asyncio.sleep(0.5)
        copy = platform.store.copy()
        _give_out(platform.store, 20)
        _configure(deployment, 6, "kept", "dropped", "more")
        await asyncio.sleep(0.5)
        platform.restore(copy)
        _give_out(platform.store, 50)
        await asyncio.sleep(0.05)
        platform.restore(copy)
        _configure(deployment, 9, "kept", "added")
        _give_out(platform.store, 90)
        await deployment.start_instance("entry-new")
        await asyncio.sleep(APPLY_S)
        assert await _statuses(deployment, "/dropped/1") == [404] * 4
        assert await _statuses(deployment, "/added/1") == [200] * 4

    deployment_fixtures.run(check, count=3)


def test_engines_that_a_restored_store_says_are_leaving_get_no_requests():
    async def check(deployment):
        platform = deployment.platform
        await deployment.until(lambda: all(deployment.serving()))
        copy = platform.store.copy()
        for number in range(50):
            platform.store.put("servers", "x", b"%d" % number)
        await asyncio.sleep(0.7)
        platform.restore(copy)
        record = dataclasses.replace(
            platform.fabric.engines["o0"].record, is_leaving=True
        )
        platform.store.put(
            wire.Field.ENGINES_TABLE, "o0", encode.engine_row(record)
        )
        _give_out(platform.store, 90)
        await deployment.until(
            lambda: all(
                instance.fleet.engines["o0"].is_leaving
                for instance in deployment.instances
            ),
            APPLY_S,
        )

    deployment_fixtures.run(check, count=5)


def test_instances_register_again_at_a_store_that_lost_them():
    async def check(deployment):
        store_standin = deployment.platform.store
        empty = store_standin.copy()
        empty = hosted_platform.StoreCopy(
            {
                name: row
                for name, row in empty.rows.items()
                if name[0] != "instance"
            },
            empty.version,
            empty.history,
        )
        await deployment.until(lambda: all(deployment.serving()))
        for _ in range(2):
            deployment.platform.restore(empty)
            await deployment.until(
                lambda: (
                    sum(table == "instance" for table, _ in store_standin.rows)
                    == 2
                ),
                6.0,
            )

    deployment_fixtures.run(check)


def test_a_store_that_is_restored_leaves_exactly_one_planner():
    async def check(deployment):
        platform = deployment.platform
        copy = platform.store.copy()
        await deployment.until(lambda: all(deployment.serving()))
        for _ in range(2):
            platform.restore(copy)
            _give_out(platform.store, 50)
            ends_at = time.monotonic() + 3.0
            while time.monotonic() < ends_at:
                await asyncio.sleep(0.05)
                planners = [
                    instance.zone_controllers["zone-a"].is_planning
                    for instance in deployment.instances
                ]
                assert sum(planners) <= 1
            assert sum(planners) == 1
        assert not platform.breaches, platform.breaches

    deployment_fixtures.run(check, count=3)


def test_an_unconditional_write_succeeds_at_a_restored_store():
    async def check(standin, rows):
        copy = standin.copy()
        write = interfaces.Transaction(
            (), (interfaces.Write("instance/a", {"x": 1}),)
        )
        assert pipeline.is_successful(await rows.transact(write))
        standin.restore(copy)
        assert pipeline.is_successful(await rows.transact(write))
        assert ("instance", "a") in standin.rows

    _run(check)


def test_a_write_that_is_acknowledged_after_a_restore_counts_as_unknown():
    async def check(standin, rows):
        copy = standin.copy()
        apply_change = standin._apply_change

        def apply_and_restore(change):
            outcome = apply_change(change)
            standin.restore(copy)
            rows.observe_era(standin.era)
            standin.era -= 1
            return outcome

        standin._apply_change = apply_and_restore
        write = interfaces.Write("quarantine/bad", {"x": 1})
        outcome = await rows.transact(interfaces.Transaction((), (write,)))
        assert outcome.failure().code is codes.TABLE_ANSWER_LOST
        assert ("quarantine", "bad") not in standin.rows

    _run(check)


def test_an_era_that_is_no_number_makes_no_answer():
    async def check(standin, rows):
        for era in ("x", "-1", "\u00b2", "9" * 30):
            standin.era = era
            snapshot = await rows.snapshot("servers")
            assert snapshot.failure().code is codes.TABLE_UNAVAILABLE, era
        standin.era = 3
        assert pipeline.is_successful(await rows.snapshot("servers"))

    _run(check)


def test_a_follower_does_not_ask_at_once_when_a_snapshot_fails():
    class OtherEra:
        """A store whose answers are all of an earlier era."""

        calls = 0

        async def snapshot(self, table):
            self.calls += 1
            return failures.failure(codes.TABLE_HISTORY_LOST, "era 1")

    async def check():
        watch = OtherEra()
        follower = exchange_fixtures.table_follower(watch, time.monotonic)
        task = asyncio.ensure_future(follower.run())
        await asyncio.sleep(0.5)
        task.cancel()
        assert 2 <= watch.calls < 20

    asyncio.run(check())
