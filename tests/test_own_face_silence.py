"""Tests of engines that fall silent and go on, on the product's own face."""

import asyncio
import dataclasses
import random
from unittest import mock

import aiohttp
from nose2.tools import params
from returns import pipeline, result

from tamarackpier import codes, invariants, metrics, quarantine
from tamarackpier.replica import gate
from tamarackpier.request import admit, dispatch, loads, place, relay, retry
from tamarackpier.standin import engine as fake_engine
from tamarackpier.standin import rough_engine, spec, virtual
from tamarackpier.standin import world as world_lib
from tamarackpier.upstream import engine
from tests import fixtures

_TICK_S = 0.1
_TOKEN_S = 0.05
_TOKENS = 20
_PROGRESS_TIMEOUT_S = 0.3
_SILENCE_STARTS_AT = 0.5
_SILENCE_S = 1.2
_NEVER = float("inf")
_RETRY_DENIED = retry.RetryBudget(0.0, max_balance=0.0)


class _Stream(engine.EngineStream):
    """An answer of an engine that may stand still meanwhile."""

    def __init__(self, engines, address, call, after):
        self.engines = engines
        self.address = address
        self.request = fake_engine.GenerationRequest(
            call.request_id, True, call.content, call.max_tokens, after
        )
        self.next_piece = after
        self.closed = asyncio.Event()

    async def read(self):
        piece = asyncio.ensure_future(self._piece())
        close = asyncio.ensure_future(self.closed.wait())
        await asyncio.wait((piece, close), return_when="FIRST_COMPLETED")
        close.cancel()
        if not piece.done():
            piece.cancel()
            raise engine.BrokenStreamError("closed")
        return piece.result()

    async def _piece(self):
        await asyncio.sleep(_TOKEN_S)
        await self.engines.wait_while_silent(self.address)
        number = self.next_piece
        self.next_piece += 1
        if number == self.request.max_tokens:
            return b"id: %d\ndata: [DONE]\n\n" % number
        return fake_engine.encode_piece(self.request, number, f"w{number} ")

    def close(self):
        self.closed.set()


class _Engines(engine.EngineClient):
    """Engines that answer nothing while they are silent, and then go on.

    A call that is sent to a silent engine waits in its socket.
    """

    def __init__(self, silences):
        self.silences = silences
        self.opened = []
        self.cancelled = []

    def is_silent(self, address):
        now = asyncio.get_running_loop().time()
        first, last = self.silences.get(address, (_NEVER, _NEVER))
        return first <= now < last

    async def wait_while_silent(self, address):
        while self.is_silent(address):
            await asyncio.sleep(0.01)

    async def open(self, address, dispatch_request):
        self.opened.append(address)
        await self.wait_while_silent(address)
        return result.Success(
            _Stream(
                self,
                address,
                dispatch_request.call,
                dispatch_request.delivered_pieces,
            )
        )

    async def cancel(self, address, request_id):
        self.cancelled.append(address)


class _Face:
    """A relay whose replicas have evidence while their engines answer."""

    def __init__(self, silences, slots, budget=None, backoff=None):
        self.clock = asyncio.get_running_loop().time
        self.slots = slots
        self.engines = _Engines(silences)
        self.gate = gate.Gate(2.5)
        checks = invariants.Invariants(strict=True)
        self.metrics = metrics.Metrics()
        dispatcher = dispatch.Dispatcher(
            self.gate,
            loads.ReplicaLoads(),
            admit.AccountShares(),
            quarantine.Quarantine(3, 600.0),
            retry.Breakers(),
            place.POLICIES.get("two-choices"),
            "zone-a",
            100,
            self.metrics,
            checks,
            random.Random(1),
            self.clock,
        )
        self.relay = relay.Relay(
            dispatcher,
            self.engines,
            budget or retry.RetryBudget(0.2),
            backoff or retry.Backoff(),
            _PROGRESS_TIMEOUT_S,
            self.metrics,
            checks,
            random.Random(1),
            self.clock,
        )

    async def tick(self):
        while True:
            self.verify()
            self.relay.watch()
            await asyncio.sleep(_TICK_S)

    def verify(self):
        for replica_id, slots in self.slots.items():
            evidence = fixtures.evidence(
                replica_id,
                slots=slots,
                at=self.clock() - 0.001,
                running=len(self.relay.dispatcher.loads.requests(replica_id)),
            )
            if not self.engines.is_silent(evidence.address):
                self.gate.add(evidence)

    async def answer(self, number=0, timeout_s=30.0, attempts=0):
        """Returns the delivered pieces, or the fault of the call."""
        call = spec.make_call(
            random.Random(number),
            [{"role": "user", "content": f"letter {number}"}],
            _TOKENS,
            "clerks-a",
            self.clock(),
        )
        call = dataclasses.replace(call, deadline=self.clock() + timeout_s)
        started = await self.relay.start(call, "v1")
        if not pipeline.is_successful(started):
            return started.failure()
        run = started.unwrap()
        run.attempts = max(run.attempts, attempts)
        try:
            while await run.read():
                pass
        except relay.RunFailedError as error:
            return error.fault
        finally:
            run.close()
        return run.assembler.delivered_count


async def _answers(face, *calls):
    ticking = asyncio.ensure_future(face.tick())
    await asyncio.sleep(0)
    try:
        async with asyncio.timeout(120.0):
            return await asyncio.gather(*calls)
    finally:
        ticking.cancel()


def _silence(last=_SILENCE_STARTS_AT + _SILENCE_S):
    return (_SILENCE_STARTS_AT, last)


@params(
    ("one replica", {}, {}),
    ("attempts used up", {}, {"attempts": 6}),
    ("retry budget used up", {"budget": _RETRY_DENIED}, {"attempts": 2}),
    (
        "no time for a retry",
        {"backoff": retry.Backoff(1e6, 1e6)},
        {"timeout_s": 5.0},
    ),
)
def test_silence_ends_no_answer_that_cannot_go_on_elsewhere(
    _, limits, call_limits
):
    async def check():
        face = _Face({"http://d.1": _silence()}, {"d.1": 4}, **limits)
        answers = await _answers(face, face.answer(**call_limits))
        assert answers == [_TOKENS + 1], answers
        assert face.engines.opened == ["http://d.1"]

    virtual.run(check())


def test_silence_ends_no_answer_while_the_other_replicas_have_no_room():
    async def check():
        face = _Face({"http://d.1": _silence()}, {"d.1": 16})
        calls = [face.answer(number) for number in range(8)]
        asyncio.get_running_loop().call_later(
            0.3, lambda: face.slots.update({"d.2": 1})
        )
        answers = await _answers(face, *calls)
        assert answers == [_TOKENS + 1] * 8, answers
        # The slot is free once more before the silence ends.
        assert face.engines.opened == ["http://d.1"] * 8 + ["http://d.2"] * 2, (
            face.engines.opened
        )

    virtual.run(check())


def test_one_retry_that_is_left_ends_only_one_silent_stream():
    async def check():
        budget = retry.RetryBudget(0.0, max_balance=1.0)
        face = _Face({"http://d.1": _silence()}, {"d.1": 16}, budget)
        calls = [face.answer(number, attempts=2) for number in range(8)]
        asyncio.get_running_loop().call_later(
            0.3, lambda: face.slots.update({"d.2": 16})
        )
        answers = await _answers(face, *calls)
        assert answers == [_TOKENS + 1] * 8, answers

    virtual.run(check())


def test_a_stream_of_a_silent_engine_goes_on_at_another_replica():
    async def check():
        face = _Face({"http://d.1": _silence(_NEVER)}, {"d.1": 4})
        asyncio.get_running_loop().call_later(
            0.3, lambda: face.slots.update({"d.2": 4})
        )
        answers = await _answers(face, face.answer())
        assert answers == [_TOKENS + 1], answers
        assert face.engines.opened == ["http://d.1", "http://d.2"]
        assert face.clock() < 3.0

    virtual.run(check())


def test_a_held_stream_ends_with_an_error_at_its_deadline():
    async def check():
        face = _Face({"http://d.1": _silence(_NEVER)}, {"d.1": 4})
        answers = await _answers(face, face.answer(timeout_s=4.0, attempts=6))
        assert answers[0].code is codes.STREAM_SILENT
        assert 3.9 < face.clock() < 4.3

    virtual.run(check())


def test_a_held_stream_ends_once_its_replica_was_formed_anew():
    async def check():
        face = _Face({"http://d.1": _silence(_NEVER)}, {"d.1": 4})
        anew = fixtures.evidence("d.1", fence=8, address="http://d.9", at=2.0)
        asyncio.get_running_loop().call_later(2.0, lambda: face.gate.add(anew))
        answers = await _answers(face, face.answer(attempts=6))
        assert answers[0].code is codes.STREAM_SILENT
        assert 1.9 < face.clock() < 2.3

    virtual.run(check())


def test_an_engine_that_is_silent_before_its_answer_leaves_no_call_unanswered():
    async def check():
        face = _Face({"http://d.1": (0.01, _NEVER)}, {"d.1": 4})

        async def later():
            await asyncio.sleep(0.02)
            return await face.answer(timeout_s=4.0)

        answers = await _answers(face, later())
        assert answers[0].code is codes.UPSTREAM_FAILED
        assert 3.9 < face.clock() < 4.5

    virtual.run(check())


def test_a_call_at_an_engine_silent_before_its_answer_goes_on_elsewhere():
    async def check():
        face = _Face({"http://d.1": (0.01, _NEVER)}, {"d.1": 4})

        async def later():
            await asyncio.sleep(0.02)
            return await face.answer()

        asyncio.get_running_loop().call_later(
            0.3, lambda: face.slots.update({"d.2": 4})
        )
        answers = await _answers(face, later())
        assert answers == [_TOKENS + 1], answers
        assert face.engines.opened == ["http://d.1", "http://d.2"]
        assert face.engines.cancelled == ["http://d.1"]
        assert face.clock() < 3.0

    virtual.run(check())


async def _answer_over_http(script, timeout_s):
    async with (
        rough_engine.serve_script(script) as (address, arrivals),
        aiohttp.ClientSession() as session,
    ):
        face = _Face({}, {})
        face.relay.engines = engine.HttpEngineClient(session, 1.0, 1.0)
        face.gate.add(
            fixtures.evidence(address=f"http://{address}", at=face.clock())
        )
        answers = await _answers(face, face.answer(timeout_s=timeout_s))
        await asyncio.sleep(0.1)
        paths = [arrival.head.split()[1] for arrival in arrivals]
    return answers[0], paths


def test_a_call_that_an_engine_accepts_and_never_answers_ends_in_time():
    async def script(request):
        await request.reader.read()

    async def check():
        fault, paths = await _answer_over_http(script, 1.0)
        assert fault.code is codes.UPSTREAM_FAILED
        assert paths == ["/generate", "/cancel"]

    asyncio.run(asyncio.wait_for(check(), 5.0))


def test_an_engine_silent_for_a_second_before_its_answer_answers_the_call():
    async def script(request):
        await asyncio.sleep(_SILENCE_S)
        body = b"id: 0\ndata: [DONE]\n\n"
        call_id = request.header(engine.CALL_ID_HEADER)
        headers = f"{engine.CALL_ID_HEADER}: {call_id}\r\n"
        await request.write(
            rough_engine.encode_answer(request, body, extra_headers=headers)
        )

    async def check():
        answer, paths = await _answer_over_http(script, 5.0)
        assert (answer, paths) == (1, ["/generate"])

    asyncio.run(asyncio.wait_for(check(), 5.0))


async def _world_with_replica(seed):
    """Returns a world with one replica of four members, and its lead."""
    world = world_lib.World(spec.WorldSpec(), seed)
    world.start()
    await asyncio.sleep(4.0)
    assert await world.submit(1, 4)
    await asyncio.sleep(12.0)
    lead = next(
        name
        for name, fake in world.farm.engines.items()
        if fake.replica_id and fake.members[0] == name
    )
    return world, lead


async def _check_short_silence(seed, silent_count):
    """Lets members be silent for a second; checks that nothing changes."""
    world, lead = await _world_with_replica(seed)
    for number in range(8):
        world.draft(f"letter {number}", 100, max_attempts=1)
    await asyncio.sleep(1.0)
    silent = world.farm.engines[lead].members[:silent_count]
    for name in silent:
        world.farm.engines[name].pause(world.clock())
    await asyncio.sleep(_SILENCE_S)
    for name in silent:
        world.farm.engines[name].restart(world.clock())
    await asyncio.sleep(20.0)
    assert dict(world.ledger.drafts) == {"whole": 8}
    assert not world.find_violations()
    for entry in world.entries.values():
        counters = entry.node.metrics.counters
        assert not counters["replica_change:heal"]
        assert not counters["replica_change:release"]


@params((1, 1), (2, 1), (3, 1), (1, 4), (2, 4))
def test_engines_silent_for_a_second_are_not_replaced_by_the_planner(
    seed, silent_count
):
    virtual.run(_check_short_silence(seed, silent_count))


@params((0.1, 2.5), (0.1, 0.5), (0.5, 1.0))
def test_short_limits_make_no_planner_take_a_second_of_silence_for_a_loss(
    probe_period_s, evidence_bound_s
):
    timing = dataclasses.replace(
        spec.timing(),
        probe_period_s=probe_period_s,
        evidence_bound_s=evidence_bound_s,
    )
    with mock.patch.object(spec, "timing", lambda: timing):
        virtual.run(_check_short_silence(1, 1))


@params((0.1, 2.5), (0.5, 2.5))
def test_crashed_engines_are_replaced_without_waiting_out_a_silence(
    probe_period_s, evidence_bound_s
):
    timing = dataclasses.replace(
        spec.timing(),
        probe_period_s=probe_period_s,
        evidence_bound_s=evidence_bound_s,
    )

    async def check():
        world, lead = await _world_with_replica(1)
        world.farm.engines[lead].crash(world.clock())
        await asyncio.sleep(1.5)
        assert sum(
            entry.node.metrics.counters["replica_change:heal"]
            for entry in world.entries.values()
        )

    with mock.patch.object(spec, "timing", lambda: timing):
        virtual.run(check())
