"""Tests that a suspension for silence ends when the members answer again."""

import asyncio
import math
import time

from returns import result

from tamarackpier import codes, failures, metrics
from tamarackpier.daemon import probing
from tamarackpier.fleet import fleet_view, model
from tamarackpier.traffic import stream_attempts
from tests import (
    deployment_fixtures,
    exchange_fixtures,
    hosted_fixtures,
    silence_fixtures,
)

# Time after a silence from which all instances serve again.
SERVED_AFTER_S = 0.5
KEY = model.ReplicaKey("r1", 1)
# Time by which a message from one instance to another is late.
TRANSIT_S = 0.03


async def _check_served_again(deployment):
    """Checks that the only replica serves again soon after a silence."""
    tasks = await silence_fixtures.start_streams(
        deployment, 1, is_resumable=False
    )
    answers_again_at = time.monotonic() + silence_fixtures.SILENCE_S
    await silence_fixtures.silence_leads(deployment.platform)
    await asyncio.sleep(0.8 * silence_fixtures.SILENCE_S)
    assert deployment.serving() == [0] * len(deployment.instances)
    await asyncio.sleep(answers_again_at + SERVED_AFTER_S - time.monotonic())
    responses = await asyncio.gather(
        *(
            deployment.post("/draft/1", f"again-{index}", index)
            for index in range(len(deployment.instances))
        )
    )
    assert [response.status for response, _ in responses] == [200] * len(
        deployment.instances
    )
    for answer in await asyncio.gather(*tasks):
        assert answer == (200, silence_fixtures.WHOLE_ANSWER)


def test_a_replica_that_answers_again_is_not_refused_at_any_instance():
    deployment_fixtures.run(_check_served_again, count=3)


class _Instances:
    """Instances that probe one replica and exchange messages when told to.

    Attributes:
        now: Time on the clock of all instances, in seconds.
        silent: IDs of the engines that do not answer.
        broken: IDs of the engines that answer that they are broken.
        nodes: The instances.
    """

    def __init__(self, count):
        self.now = 100.0
        self.silent = set()
        self.broken = set()
        self.nodes = [
            exchange_fixtures.Node(index, (), lambda: self.now)
            for index in range(count)
        ]
        for node in self.nodes:
            node.statuses.prober = probing.Prober(
                node.fleet,
                self,
                stream_attempts.StreamAttempts(),
                metrics.Metrics(),
                lambda: self.now,
            )

    async def report(self, engine, timeout_s):
        """Returns an engine's report."""
        if engine.id in self.silent:
            return failures.failure(codes.UPSTREAM_UNREACHABLE, "silent")
        membership = engine.membership
        if engine.id in self.broken:
            membership = hosted_fixtures.with_state(
                engine, model.MemberState.BROKEN
            ).membership
        return result.Success(
            model.EngineReport(engine.id, membership, 0, 0, 1.0)
        )

    async def probe(self, index):
        """Lets an instance probe the replica; takes some time."""
        prober = self.nodes[index].statuses.prober
        probe_task = prober.probe(KEY, "test")
        await asyncio.sleep(0)
        self.now += 0.14
        return await probe_task

    def tell(self, index, other, message=None):
        """Passes an instance's message, or an older one, to another."""
        message = message or self.nodes[index].statuses.build_request()
        self.now += TRANSIT_S
        self.nodes[other].statuses.receive(message)

    def serving(self):
        """Returns whether each instance sends requests to the replica."""
        return [
            bool(node.fleet.serving("drafts", "large")) for node in self.nodes
        ]


def _with_instances(check, count=3):
    async def run():
        await check(_Instances(count))

    asyncio.run(run())


def test_an_older_suspension_that_a_peer_passes_on_does_not_come_back():
    async def check(instances):
        instances.silent = {"r1-0"}
        await instances.probe(0)
        for index in (1, 2):
            instances.tell(0, index)
        assert instances.serving() == [False, False, False]
        instances.silent = set()
        await instances.probe(0)
        instances.tell(0, 1)
        assert instances.serving() == [True, True, False]
        for _ in range(20):
            for other in (0, 1):
                instances.tell(2, other)
            assert instances.serving() == [True, True, False]
        instances.tell(1, 2)
        assert instances.serving() == [True, True, True]

    _with_instances(check)


def test_copies_that_go_round_do_not_make_a_suspension_later():
    async def check(instances):
        instances.silent = {"r1-0"}
        await instances.probe(0)
        instances.tell(0, 1)
        instances.silent = set()
        for _ in range(10):
            instances.tell(1, 2)
            instances.tell(2, 1)
        answered_at = instances.nodes[0].fleet.suspended[KEY].silent_at + 0.2
        for node in instances.nodes:
            node.statuses.prober.receive_healthy(KEY, answered_at, "test")
        assert not instances.nodes[1].fleet.suspended
        assert not instances.nodes[2].fleet.suspended

    _with_instances(check)


def test_a_silence_after_the_members_answered_suspends_again():
    async def check(instances):
        instances.silent = {"r1-0"}
        await instances.probe(0)
        instances.tell(0, 1)
        instances.silent = set()
        instances.now += 0.1
        await instances.probe(0)
        instances.tell(0, 1)
        instances.silent = {"r1-1"}
        instances.now += 0.1
        await instances.probe(0)
        instances.tell(0, 1)
        assert instances.serving() == [False, False]

    _with_instances(check, 2)


def test_answers_to_a_peer_end_no_suspension_for_proof():
    async def check(instances):
        instances.silent = {"r1-0"}
        await instances.probe(0)
        instances.tell(0, 1)
        instances.broken = {"r1-1"}
        await instances.probe(0)
        instances.tell(0, 1)
        instances.silent = instances.broken = set()
        instances.now += 0.1
        await instances.probe(2)
        for node in instances.nodes:
            node.statuses.prober.receive_healthy(KEY, instances.now, "test")
        instances.nodes[0].fleet.silent.clear()
        assert instances.serving() == [False, False, True]

    _with_instances(check)


def test_a_replica_that_a_planner_gave_up_does_not_serve_again():
    async def check(instances):
        instances.silent = {"r1-0"}
        await instances.probe(0)
        instances.tell(0, 1)
        instances.nodes[0].statuses.prober.make_lasting(KEY)
        instances.silent = set()
        await instances.probe(1)
        assert instances.nodes[1].fleet.suspended == {}
        for _ in range(3):
            instances.tell(1, 0)
            instances.tell(0, 1)
            await instances.probe(1)
            await instances.probe(0)
            assert instances.serving() == [False, False]

    _with_instances(check, 2)


def test_a_suspension_by_an_earlier_build_stays_until_its_end():
    async def check(instances):
        instances.silent = {"r1-0"}
        await instances.probe(0)
        message = instances.nodes[0].statuses.build_request()
        message.suspended[0].ClearField("silent_ms")
        instances.silent = set()
        instances.tell(0, 1, message)
        await instances.probe(1)
        assert instances.serving()[1] is False
        instances.now += 1.5
        instances.nodes[1].fleet.expire(instances.now)
        assert instances.serving()[1] is True

    _with_instances(check, 2)


def test_a_lost_message_about_answers_is_made_up_for():
    async def check(instances):
        instances.silent = {"r1-0"}
        await instances.probe(0)
        instances.tell(0, 1)
        instances.silent = set()
        await instances.probe(0)
        instances.now += 1.0
        instances.tell(0, 1)
        assert instances.serving() == [True, True]

    _with_instances(check, 2)


def test_what_is_kept_of_answers_is_bounded_and_expires():
    fleet = fleet_view.FleetView()
    for number in range(5000):
        fleet.record_healthy(model.ReplicaKey("r", number), 1.0)
    assert len(fleet.healthy) < 5000
    fleet.expire(1.0 + fleet_view.HEALTHY_KEEP_S)
    assert not fleet.healthy


def test_a_silence_that_is_found_again_extends_a_suspension():
    fleet = fleet_view.FleetView()
    for until, silent_at in ((3.0, 0.0), (4.0, 1.0), (3.5, 0.5)):
        fleet.suspend(
            fleet_view.Suspension(KEY, until, ("r1-0",), "silent", silent_at)
        )
    assert fleet.suspended[KEY].until == 4.0
    assert fleet.suspended[KEY].silent_at == 1.0
    assert not fleet.record_healthy(KEY, 1.0)
    assert fleet.record_healthy(KEY, 1.1)


async def _check_given_up(deployment):
    """Checks that no instance uses a replica after its planner gave it up."""
    await deployment.until(
        lambda: deployment.serving() == [1] * len(deployment.instances)
    )
    instances = deployment.instances
    key = instances[0].fleet.serving("drafts", "large")[0].key
    given_up_at = math.inf

    def is_given_up(instance):
        return any(
            planner.needs_no_check(key)
            for controller in instance.zone_controllers.values()
            for planner in controller.planners.values()
        )

    async def post(index):
        response, _ = await deployment.post(
            "/draft/1", f"silent-{index}", index
        )
        return response.status

    for lead in silence_fixtures.members(deployment.platform, rank=0):
        deployment.platform.silence(lead, 2 * silence_fixtures.SILENCE_S)
    tasks = [
        asyncio.ensure_future(post(index)) for index in range(len(instances))
    ]
    ends_at = time.monotonic() + 4 * silence_fixtures.SILENCE_S
    while time.monotonic() < ends_at:
        now = time.monotonic()
        for instance in instances:
            if is_given_up(instance):
                given_up_at = min(given_up_at, now)
                suspension = instance.fleet.suspended.get(key)
                assert suspension is None or suspension.silent_at is None
                assert key not in _serving_keys(instance)
        if now - given_up_at > SERVED_AFTER_S:
            for instance in instances:
                assert key not in _serving_keys(instance)
        await asyncio.sleep(0.01)
    assert given_up_at < math.inf
    await asyncio.gather(*tasks)


def _serving_keys(instance):
    return [
        replica.key for replica in instance.fleet.serving("drafts", "large")
    ]


def test_no_instance_uses_a_silent_replica_that_its_planner_gave_up():
    deployment_fixtures.run(_check_given_up, count=3)
