"""Tests of suspects of upstream crashes, without network or engines."""

import asyncio
import dataclasses
import random

import hypothesis
from hypothesis import strategies

from tamarackpier import metrics, quarantine
from tamarackpier.daemon import quarantine_store
from tamarackpier.fleet import model
from tamarackpier.peer import crash_codec
from tamarackpier.platform import interfaces
from tamarackpier.standin import memory
from tamarackpier.traffic import crash_watch
from tamarackpier.wire import entry_pb2
from tests import hosted_fixtures

ENGINE = hosted_fixtures.record("o1", service="orders", domain="")


def _quarantine(*crashes, threshold=3):
    suspects = quarantine.Quarantine(threshold, keep_s=1000.0)
    suspects.add(quarantine.Crash(*crash) for crash in crashes)
    return suspects


def _watch():
    return crash_watch.CrashWatch(_quarantine(), metrics.Metrics())


def _ended(engine=ENGINE, at=10.0, **changes):
    upstream = crash_watch.Upstream(None, (engine,))
    values = {"is_broken": True, "at": at} | changes
    return crash_watch.EndedAttempt("req-1", "f", upstream, **values)


def test_three_deaths_without_a_completion_refuse_a_request():
    suspects = _quarantine(("bad", "d1", 10), ("bad", "d2", 11))
    assert suspects.verdict("bad", 20.0) is quarantine.Verdict.RUN
    suspects.add([quarantine.Crash("bad", "d3", 12.0)])
    assert suspects.verdict("bad", 20.0) is quarantine.Verdict.REFUSE


def test_deaths_soon_after_a_completion_do_not_incriminate():
    suspects = _quarantine()
    suspects.complete("common", 5.0)
    for death in ("d1", "d2", "d3"):
        suspects.add([quarantine.Crash("common", death, 6.0)])
    assert suspects.verdict("common", 8.0) is quarantine.Verdict.RUN
    # Long after the completion, an engine of another version may crash.
    for death in ("d4", "d5", "d6"):
        suspects.add([quarantine.Crash("common", death, 100.0)])
    assert suspects.verdict("common", 110.0) is quarantine.Verdict.REFUSE


def test_a_completion_at_one_instance_protects_the_request_at_others():
    first, second = _quarantine(), _quarantine()
    first.complete("common", 5.0)
    second.add(
        quarantine.Crash("common", death, 6.0) for death in ("d1", "d2", "d3")
    )
    for source, target in ((second, first), (first, second)):
        message = entry_pb2.EntryStatus()
        crash_codec.add_crashes(source, message, 7.0)
        crash_codec.merge_crashes(target, message, 7.1)
    assert second.verdict("common", 9.0) is quarantine.Verdict.RUN


def test_cleared_suspects_are_forgotten_by_all_instances():
    nodes = [_quarantine() for _ in range(4)]
    nodes[0].add(
        quarantine.Crash("f", death, 10.0) for death in ("d1", "d2", "d3")
    )
    now = 10.0
    for step in range(100):
        now += 0.25
        if step == 8:
            nodes[1].complete("f", now)
        for source in nodes:
            message = entry_pb2.EntryStatus()
            crash_codec.add_crashes(source, message, now)
            for target in nodes:
                crash_codec.merge_crashes(target, message, now)
            source.expire(now)
    assert [node.crashes for node in nodes] == [{}] * 4


def test_state_and_messages_stay_bounded_and_keep_the_worst_suspects():
    suspects = _quarantine(
        *(("bad", f"d{number}", 10.0 + number) for number in range(100))
    )
    suspects.add(
        quarantine.Crash(f"f{number}", f"e{number}", 200.0)
        for number in range(20_000)
    )
    for number in range(5000):
        suspects.complete(f"c{number}", 200.0)
    assert len(suspects.crashes) <= 4096
    assert len(suspects.suspects) <= 4096 + 16
    assert len(suspects.completed) <= 2048
    assert suspects.verdict("bad", 210.0) is quarantine.Verdict.REFUSE
    message = entry_pb2.EntryStatus()
    crash_codec.add_crashes(suspects, message, 201.0)
    assert message.ByteSize() < 8192
    assert message.crashes[0].fingerprint == "bad"
    suspects.expire(10_000.0)
    assert not suspects.crashes
    assert not suspects.suspects
    assert not suspects.completed


def _crashes(*deaths):
    """Returns the crashes of deaths, each given with its suspects."""
    return [
        (suspect, f"d{number}", 10.0 + number)
        for number, suspects in enumerate(deaths)
        for suspect in suspects
    ]


def test_a_part_that_unequal_requests_share_is_refused():
    suspects = _quarantine(
        *_crashes(("a", "all", "bad"), ("b", "all", "bad"), ("c", "all", "bad"))
    )
    verdict = suspects.verdict("new", 30.0, ("all", "bad"))
    assert verdict is quarantine.Verdict.REFUSE
    # Whether a part that sound requests contain is to blame shows only there.
    assert suspects.verdict("n", 30.0, ("all",)) is quarantine.Verdict.ALONE
    suspects.complete("all", 31.0)
    assert suspects.verdict("n", 32.0, ("all",)) is quarantine.Verdict.RUN
    assert suspects.verdict("n", 32.0, ("bad",)) is quarantine.Verdict.REFUSE


def test_two_bad_parts_and_a_death_by_chance_do_not_incriminate_a_shared_part():
    deaths = [("all", "bad")] * 3 + [("all", "worse")] * 3 + [("all", "sound")]
    suspects = _quarantine(*_crashes(*deaths))
    for part in ("bad", "worse"):
        verdict = suspects.verdict("new", 30.0, ("all", part))
        assert verdict is quarantine.Verdict.REFUSE
    assert suspects.verdict("n", 30.0, ("all",)) is quarantine.Verdict.ALONE
    assert suspects.verdict("n", 30.0, ("sound",)) is quarantine.Verdict.RUN


def test_bad_parts_with_two_deaths_each_do_not_incriminate_a_shared_part():
    deaths = [("all", "bad")] * 2 + [("all", "worse")] * 2
    suspects = _quarantine(*_crashes(*deaths))
    verdict = suspects.verdict("n", 30.0, ("all",))
    assert verdict is not quarantine.Verdict.REFUSE


def test_requests_do_not_excuse_a_part_that_all_of_them_contain():
    deaths = [(name, "bad") for name in "abcd" for _ in range(3)]
    suspects = _quarantine(*_crashes(*deaths))
    verdict = suspects.verdict("new", 40.0, ("bad",))
    assert verdict is quarantine.Verdict.REFUSE


def test_a_cleared_part_that_turns_bad_is_found():
    suspects = _quarantine()
    for number in range(40):
        at = 10.0 + number
        suspects.complete("part", at)
        suspects.add([quarantine.Crash("part", f"d{number}", at)])
    assert suspects.verdict("new", 60.0, ("part",)) is quarantine.Verdict.RUN
    for number in range(3):
        suspects.add([quarantine.Crash("part", f"e{number}", 150.0)])
    verdict = suspects.verdict("new", 160.0, ("part",))
    assert verdict is quarantine.Verdict.REFUSE


def test_new_crashes_are_sent_beside_many_old_ones():
    deaths = [(f"old{number}", "old") for number in range(16)] * 16
    suspects = _quarantine(*_crashes(*deaths))
    suspects.add([quarantine.Crash("new", "e1", 990.0)])
    sent = suspects.crashes_to_send(990.1)
    assert quarantine.Crash("new", "e1", 990.0) in sent
    assert len(sent) <= 64


def test_a_refused_part_is_tried_again_by_one_instance_a_few_times():
    suspects = _quarantine(*_crashes(*[("part",)] * 3))
    is_trier = False
    suspects.may_try = lambda suspect: is_trier
    times = (20.0, 41.0, 43.0, 342.0, 400.0, 5000.0, 80_000.0)
    suspects.keep_s = 86_400.0
    for now in times:
        verdict = suspects.verdict("new", now, ("part",))
        assert verdict is quarantine.Verdict.REFUSE
    is_trier = True
    tried_at = []
    for now in times:
        verdict = suspects.verdict("new", now, ("part",))
        if verdict is quarantine.Verdict.ALONE:
            tried_at.append(now)
            suspects.begin_run(("new", "part"), now)
            # A failed trial is not repeated at once.
            again = suspects.verdict("new", now, ("part",))
            assert again is quarantine.Verdict.REFUSE
    assert tried_at == [43.0, 400.0]


def test_a_trial_that_completes_releases_a_part():
    suspects = _quarantine(*_crashes(*[("part",)] * 3))
    suspects.may_try = lambda suspect: True
    suspects.begin_run(("new", "part"), 43.0)
    suspects.complete("part", 44.0)
    assert suspects.verdict("n", 45.0, ("part",)) is quarantine.Verdict.RUN


def _part_beside_a_request():
    """Returns a quarantine with a bad request and a bad part that share one."""
    deaths = [("whole", "all")] * 4 + [("a", "all", "bad"), ("b", "all", "bad")]
    return _quarantine(*_crashes(*deaths))


def test_a_message_carries_the_deaths_that_decide_the_verdict():
    source, target = _part_beside_a_request(), _quarantine()
    message = entry_pb2.EntryStatus()
    # Later than new crashes are sent.
    crash_codec.add_crashes(source, message, 30.0)
    crash_codec.merge_crashes(target, message, 30.0)
    for suspects in (source, target):
        verdict = suspects.verdict("new", 35.0, ("all", "bad"))
        assert verdict is quarantine.Verdict.REFUSE


def test_the_store_gets_deaths_that_follow():
    async def check():
        table = memory.MemoryTable()
        suspects = _quarantine(*_crashes(*[("whole", "all")] * 4))
        store = _store(table, suspects)
        await store.update()
        suspects.add(
            quarantine.Crash(suspect, death, 90.0)
            for death in ("e1", "e2")
            for suspect in ("all", "bad")
        )
        await store.update()
        restarted = _quarantine()
        await _store(table, restarted).update()
        verdict = restarted.verdict("new", 101.0, ("all", "bad"))
        assert verdict is quarantine.Verdict.REFUSE

    asyncio.run(check())


def test_parts_of_accounts_and_whole_requests_have_different_fingerprints():
    prints = {
        quarantine.fingerprint("a", b"x"),
        quarantine.part_fingerprint("a", b"x"),
        quarantine.part_fingerprint("b", b"x"),
        quarantine.part_fingerprint("a", b"y"),
    }
    assert len(prints) == 4


@hypothesis.settings(derandomize=True, database=None)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from("abcd"),
            strategies.sampled_from(["d1", "d2", "d3", "d4"]),
            strategies.floats(0, 50),
        )
    ),
    strategies.integers(0, 100),
)
def test_instances_agree_whatever_the_order_of_messages(crashes, seed):
    shuffled = list(crashes)
    random.Random(seed).shuffle(shuffled)
    first, second = _quarantine(*crashes), _quarantine(*shuffled)
    for name in "abcd":
        assert first.verdict(name, 60.0) is second.verdict(name, 60.0)


@hypothesis.settings(derandomize=True, database=None)
@hypothesis.given(strategies.binary(max_size=200))
def test_any_message_of_a_peer_leaves_a_usable_quarantine(data):
    message = entry_pb2.EntryStatus()
    try:
        message.ParseFromString(data)
    except Exception as error:
        assert type(error).__name__ == "DecodeError"
        return
    suspects = _quarantine()
    try:
        crash_codec.merge_crashes(suspects, message, 5.0)
    except ValueError:
        return
    for name in [*suspects.crashes, "other"]:
        suspects.verdict(name, 6.0)
    suspects.expire(1e9)
    assert not suspects.crashes


def test_a_broken_connection_to_an_engine_that_lives_is_no_crash():
    watch = _watch()
    watch.record(_ended(), 10.0)
    assert [upstream.engines for upstream in watch.due_for_probe(10.0)] == [
        (ENGINE,)
    ]
    death = watch.due_for_probe(11.0)[0].death
    watch.apply_probe(death, (), True, 11.0, 11.1)
    assert not watch.undecided
    watch.check_rows({}, 12.0)
    assert not watch.quarantine.crashes


def test_a_probe_that_began_before_the_break_decides_nothing():
    watch = _watch()
    watch.record(_ended(at=10.0), 10.0)
    watch.apply_probe("o1@1", (), True, 9.9, 10.1)
    watch.apply_probe("o1@1", ("o1",), False, 10.2, 10.3)
    assert watch.quarantine.crashes["f"] == {"o1@1": 10.3}


def test_an_engine_that_restarted_or_disappeared_is_a_death_of_its_attempts():
    restarted = dataclasses.replace(ENGINE, incarnation=2)
    for rows in ({"o1": restarted}, {}):
        watch = _watch()
        watch.record(_ended(is_broken=False), 10.0)
        watch.check_rows({"o1": ENGINE}, 10.1)
        assert not watch.quarantine.crashes
        watch.check_rows(rows, 13.6)
        assert list(watch.quarantine.crashes["f"]) == ["o1@1"]
        # Another attempt that ends later with the same engine.
        watch.record(
            dataclasses.replace(_ended(at=13.7), fingerprint="g"), 13.7
        )
        assert list(watch.quarantine.crashes["g"]) == ["o1@1"]


def test_an_engine_that_leaves_is_no_death():
    leaving = dataclasses.replace(ENGINE, is_leaving=True)
    watch = _watch()
    watch.record(_ended(), 10.0)
    watch.check_rows({"o1": leaving}, 10.1)
    watch.check_rows({}, 11.0)
    watch.apply_probe("o1@1", ("o1",), False, 11.0, 11.1)
    watch.record(_ended(leaving, at=11.2), 11.2)
    assert not watch.quarantine.crashes
    watch.check_rows({}, 30.0)
    assert not watch.undecided


def test_the_loss_of_any_member_is_the_death_of_the_replica():
    records = hosted_fixtures.replica_records("r1", fence=7)
    key = model.ReplicaKey("r1", 7)
    watch = _watch()
    watch.record(
        crash_watch.EndedAttempt(
            "req-1", "f", crash_watch.Upstream(key, tuple(records)), False, 5.0
        ),
        5.0,
    )
    watch.apply_probe("r1@7", ("r1-2",), False, 5.1, 5.2)
    assert list(watch.quarantine.crashes["f"]) == ["r1@7"]


def test_a_death_that_a_peer_found_counts_for_own_attempts():
    watch = _watch()
    watch.record(_ended(), 10.0)
    watch.quarantine.add([quarantine.Crash("other", "o1@1", 10.1)])
    watch.confirm_known(10.2)
    assert set(watch.quarantine.suspects["o1@1"]) == {"f", "other"}


def test_undecided_attempts_stay_bounded():
    watch = _watch()
    for number in range(1000):
        engine = dataclasses.replace(ENGINE, id=f"o{number}")
        for _ in range(100):
            watch.record(_ended(engine), 10.0)
    assert sum(len(item.attempts) for item in watch.undecided.values()) <= (
        256 * 64
    )
    watch.check_rows(
        {
            f"o{number}": dataclasses.replace(ENGINE, id=f"o{number}")
            for number in range(1000)
        },
        30.0,
    )
    assert not watch.undecided


def _store(table, suspects, now=100.0, unix_now=5000.0):
    return quarantine_store.QuarantineStore(
        suspects, table, metrics.Metrics(), lambda: now, lambda: unix_now
    )


def test_refused_requests_outlive_the_instances_that_saw_the_crashes():
    async def check():
        table = memory.MemoryTable()
        suspects = _quarantine(
            *(("bad", f"d{number}", 90.0) for number in range(3)),
            ("other", "d1", 90.0),
        )
        await _store(table, suspects).update()
        assert list(table.rows) == ["quarantine/bad"]
        # Another process has another monotonic clock.
        restarted = _quarantine()
        await _store(table, restarted, 7.0, 5020.0).update()
        assert restarted.verdict("bad", 8.0) is quarantine.Verdict.REFUSE
        assert restarted.crashes["bad"]["d1"] == 7.0 - 30.0
        restarted.clear("bad", 7.0)
        await _store(table, restarted, 7.0, 5020.0).update()
        rows = [row for row in table.rows.values() if row.value]
        assert not rows

    asyncio.run(check())


def test_a_request_is_kept_while_its_verdict_is_open():
    async def check():
        table = memory.MemoryTable()
        crashes = [("bad", f"d{number}", 90.0) for number in range(3)]
        await _store(table, _quarantine(*crashes)).update()
        restarted = _quarantine()
        store = _store(table, restarted, 5.0, 4990.5)
        await store.update()
        assert restarted.verdict("bad", 5.0) is quarantine.Verdict.WAIT
        assert table.rows["quarantine/bad"].value

    asyncio.run(check())


def test_a_store_that_fails_is_asked_again_later():
    async def check():
        table = memory.MemoryTable()
        table.faults.kind = memory.TableFault.DOWN
        suspects = _quarantine(
            *(("bad", f"d{number}", 90.0) for number in range(3))
        )
        times = iter([100.0] * 6 + [101.0] * 6 + [103.0] * 20)
        store = quarantine_store.QuarantineStore(
            suspects,
            table,
            metrics.Metrics(),
            lambda: next(times),
            lambda: 5000.0,
        )
        await store.update()
        assert not store.is_loaded
        table.faults.kind = memory.TableFault.NONE
        while not store.is_loaded:
            await store.update()
        await store.update()
        assert set(store.stored) == {"bad"}

    asyncio.run(check())


def test_unreadable_rows_of_the_quarantine_are_skipped():
    async def check():
        table = memory.MemoryTable()
        for name, value in (("a", {}), ("b", {"deaths_at_unix_s": 3})):
            write = interfaces.Write(f"quarantine/{name}", value)
            await table.transact(interfaces.Transaction((), (write,)))
        suspects = _quarantine()
        store = _store(table, suspects)
        await store.update()
        assert store.is_loaded
        assert not suspects.crashes

    asyncio.run(check())
