"""Tests of the questions to engines that are to join a replica."""

import asyncio
import dataclasses
import types

from returns import result

from tamarackpier import codes, failures, metrics
from tamarackpier.daemon import join_questions
from tamarackpier.fleet import fleet_view, model, zone_planner
from tests import hosted_fixtures

# With a second model, engines of one domain would load its weights.
LARGE_ONLY = dataclasses.replace(
    hosted_fixtures.SPEC, models=hosted_fixtures.SPEC.models[:1]
)
SPAN = 4


class _Prober:
    """Engines that are asked; each answers when it is let.

    Attributes:
        pending: Futures of the answers that are awaited, by engine ID.
        counts: Number of questions, by engine ID.
        has_links: Whether silence is that of engines.
    """

    def __init__(self):
        self.pending = {}
        self.counts = {}
        self.has_links = True

    async def probe_engine(self, engine):
        self.counts[engine.id] = self.counts.get(engine.id, 0) + 1
        self.pending[engine.id] = asyncio.get_running_loop().create_future()
        return await self.pending[engine.id]

    async def confirm_links(self, since):
        return self.has_links

    def answer(self, engine, incarnation=None):
        report = model.EngineReport(
            engine.id,
            None,
            0,
            0,
            1.0,
            engine.incarnation if incarnation is None else incarnation,
            engine.model,
            engine.staged,
        )
        self.pending.pop(engine.id).set_result(result.Success(report))

    def stay_silent(self, engine):
        self.pending.pop(engine.id).set_result(
            failures.failure(codes.UPSTREAM_UNREACHABLE, engine.id)
        )


def _run(check, domains=1):
    """Runs a check with a planner of engines that may form replicas."""

    async def run():
        state = types.SimpleNamespace(now=1.0, answered=0)

        def count_answered():
            state.answered += 1

        fleet = fleet_view.FleetView()
        fleet.set_services(hosted_fixtures.services())
        fleet.replace(
            [
                hosted_fixtures.record(
                    f"d{domain}-{index}",
                    domain=f"d{domain}",
                    staged=("large",),
                )
                for domain in range(domains)
                for index in range(SPAN)
            ],
            0.0,
        )
        state.fleet = fleet
        state.prober = _Prober()
        state.planner = zone_planner.ZonePlanner(
            "drafts", "zone-a", LARGE_ONLY, "entry-1", 1, 1, 0.0
        )
        state.questions = join_questions.JoinQuestions(
            fleet,
            state.prober,
            metrics.Metrics(),
            lambda: state.now,
            count_answered,
        )
        await check(state)

    asyncio.run(run())


async def _settle():
    for _ in range(10):
        await asyncio.sleep(0)


async def _tick(state):
    orders = state.planner.tick(state.fleet, {"large": 1000}, state.now)
    state.questions.ask(state.planner)
    await _settle()
    return orders


def _engines(state, domain=0):
    return [state.fleet.engines[f"d{domain}-{index}"] for index in range(SPAN)]


def test_an_engine_that_answers_late_does_not_make_the_answers_of_others_old():
    async def check(state):
        await _tick(state)
        engines = _engines(state)
        for engine in engines[1:]:
            state.prober.answer(engine)
        await _settle()
        state.now += 0.2
        state.prober.answer(engines[0])
        await _settle()
        orders = state.planner.tick(state.fleet, {}, state.now)
        assert {order.engine.id for order in orders} == {
            engine.id for engine in engines
        }

    _run(check)


def test_an_engine_is_not_asked_again_while_its_answer_is_awaited():
    async def check(state):
        for _ in range(10):
            await _tick(state)
            state.now += 0.2
        assert set(state.prober.counts.values()) == {1}

    _run(check)


def test_no_more_engines_are_asked_at_once_than_a_slow_instance_can_handle():
    async def check(state):
        asked = set()
        while len(asked) < domains * SPAN:
            await _tick(state)
            pending = list(state.prober.pending)
            asked.update(pending)
            assert 0 < len(pending) <= 24
            for engine_id in pending:
                state.prober.answer(state.fleet.engines[engine_id])
            await _settle()
            # A slow instance needs this long for the answers.
            state.now += 0.15

    domains = 20
    _run(check, domains)


def test_a_silent_member_does_not_end_the_formation_of_its_replica():
    async def check(state):
        await _tick(state)
        engines = _engines(state)
        for engine in engines:
            state.prober.answer(engine)
        await _settle()
        assert len(await _tick(state)) == SPAN
        for order in state.planner.tick(state.fleet, {}, state.now):
            state.planner.record_outcome(order, model.OrderOutcome.UNKNOWN)
        state.now += 0.5
        assert await _tick(state) == []
        assert set(state.prober.pending) == {engine.id for engine in engines}
        state.prober.stay_silent(engines[0])
        for engine in engines[1:]:
            state.prober.answer(engine)
        await _settle()
        state.now += 0.05
        orders = await _tick(state)
        assert {(order.kind, order.engine.id) for order in orders} == {
            (model.OrderKind.JOIN, engine.id) for engine in engines[1:]
        }
        assert state.planner.formations
        assert not state.fleet.silent

    _run(check)


def test_a_free_engine_that_does_not_answer_is_silent():
    async def check(state):
        await _tick(state)
        state.prober.stay_silent(_engines(state)[0])
        await _settle()
        assert set(state.fleet.silent) == {"d0-0"}

    _run(check)


def test_no_engine_is_silent_to_an_instance_that_has_lost_its_links():
    async def check(state):
        state.prober.has_links = False
        await _tick(state)
        state.prober.stay_silent(_engines(state)[0])
        await _settle()
        assert not state.fleet.silent

    _run(check)


def test_an_engine_that_has_started_again_does_not_block_its_domain():
    async def check(state):
        spare = hosted_fixtures.record("d0-spare", staged=("large",))
        state.fleet.put(spare)
        await _tick(state)
        engines = _engines(state)
        state.prober.answer(engines[0], incarnation=2)
        for engine in engines[1:]:
            state.prober.answer(engine)
        await _settle()
        assert set(state.fleet.silent) == {"d0-0"}
        state.now += 0.05
        await _tick(state)
        state.prober.answer(spare)
        await _settle()
        orders = await _tick(state)
        assert {order.engine.id for order in orders} == {
            "d0-1",
            "d0-2",
            "d0-3",
            "d0-spare",
        }

    _run(check)
