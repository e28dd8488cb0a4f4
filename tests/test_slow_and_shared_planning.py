"""Tests of formations with late members, and of several services in a zone."""

import asyncio
import dataclasses
import random

from tamarackpier import codes, metrics
from tamarackpier.daemon import carriage, probing
from tamarackpier.fleet import fleet_view, formation, model, zone_planner
from tamarackpier.peer import roster
from tamarackpier.routing import model as routing_model
from tamarackpier.traffic import stream_attempts
from tests import deployment_fixtures, hosted_fixtures

KEY = model.ReplicaKey("r1", 7)
TIMEOUT_S = 3.6
SPAN = 4
MODEL_SERVICES = ("drafts", "letters", "summaries", "replies")


def _form(join_interval_s, limit_s):
    """Lets members join one after the other; returns when the lead opens.

    Returns:
        The time in seconds; None if the formation was given up before.
    """
    engines = [
        hosted_fixtures.record(f"e{rank}", staged=("large",))
        for rank in range(SPAN)
    ]
    fleet = fleet_view.FleetView()
    fleet.set_services(hosted_fixtures.services())
    fleet.replace(engines, 0.0)
    forming = formation.Formation(
        KEY,
        hosted_fixtures.MODELS[0],
        tuple(engine.id for engine in engines),
        tuple(engine.incarnation for engine in engines),
        0.0,
        TIMEOUT_S,
    )
    now = 0.0
    while now < limit_s:
        for rank in range(min(SPAN, int(now / join_interval_s))):
            member = dataclasses.replace(
                engines[rank],
                membership=model.Membership(KEY, rank, model.MemberState.READY),
            )
            fleet.put(member)
        orders = forming.orders(fleet, now)
        if orders is None:
            return None
        if any(order.kind is model.OrderKind.OPEN for order in orders):
            return now
        now += 0.1
    return None


def test_a_formation_whose_members_join_late_is_continued():
    for join_interval_s in (0.2, 1.0, 2.0, 3.5):
        opened_at = _form(join_interval_s, 60.0)
        assert opened_at is not None, join_interval_s
        assert opened_at <= SPAN * join_interval_s + 0.3


def test_a_formation_without_progress_is_given_up():
    assert _form(4.0, 60.0) is None


def test_planners_of_several_services_name_no_replica_alike():
    spec = hosted_fixtures.SPEC
    keys = []
    for service in MODEL_SERVICES:
        planner = zone_planner.ZonePlanner(
            service, "zone-a", spec, "entry-0", 1, 1, 0.0
        )
        engines = [hosted_fixtures.record(f"{service}-{n}") for n in range(4)]
        keys.append(
            planner._start_formation(spec.models[0], engines, 0.0, 0.0).key
        )
    assert len(set(keys)) == len(MODEL_SERVICES)


def test_several_services_of_models_in_a_zone_are_all_served():
    names = MODEL_SERVICES

    async def check(deployment):
        platform = deployment.platform
        services = dict(deployment_fixtures.SERVICES)
        routes = []
        for name in names:
            services[name] = routing_model.ServiceSpec(
                name, deployment_fixtures.FAST_SPEC
            )
            routes.append(
                hosted_fixtures.route(
                    name=name,
                    prefix=f"/{name}/",
                    choices=(routing_model.ServiceChoice(name, 1.0),),
                )
            )
            for index in range(SPAN):
                await platform.add_engine(
                    f"{name}-{index}", name, "zone-a", f"d-{name}"
                )
        platform.configure(
            deployment_fixtures.configuration(
                2, services=services, routes=tuple(routes)
            )
        )
        for name in names:
            await deployment.until(
                lambda name=name: all(
                    instance.fleet.serving(name, "large")
                    for instance in deployment.instances
                ),
                30.0,
            )
        for number in range(3):
            for name in names:
                response, _ = await deployment.post(
                    f"/{name}/1", f"{name}-{number}", number % 2
                )
                assert response.status == 200, name

    deployment_fixtures.run(check, count=2, engine_count=0)


def test_an_instance_that_ends_leaves_no_probe_running():
    class Gateway:
        async def report(self, engine, timeout_s):
            await asyncio.sleep(60.0)

    async def check():
        fleet = fleet_view.FleetView()
        fleet.set_services(hosted_fixtures.services())
        fleet.replace(hosted_fixtures.replica_records(), 0.0)
        prober = probing.Prober(
            fleet,
            Gateway(),
            stream_attempts.StreamAttempts(),
            metrics.Metrics(),
            asyncio.get_running_loop().time,
        )
        prober.probe(model.ReplicaKey("r1", 1), "test")
        await asyncio.sleep(0.01)
        assert len(asyncio.all_tasks()) > 1
        prober.close()
        await asyncio.sleep(0.05)
        assert len(asyncio.all_tasks()) == 1

    asyncio.run(check())


def test_a_silent_channel_to_a_carrying_peer_is_replaced():
    async def check():
        connections = []

        async def stay_silent(reader, writer):
            connections.append(writer)
            await asyncio.sleep(60.0)

        server = await asyncio.start_server(stay_silent, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        peer = roster.Presence(
            "entry-1", 1, 0, "zone-a", "", f"127.0.0.1:{port}", True, False
        )
        counts = metrics.Metrics()
        peers = carriage.PeerEngines(
            lambda: [peer], lambda peer_id: 0, "zone-a", counts, random.Random()
        )
        channels = []
        for _ in range(3):
            answer = await peers.ask("entry-1", hosted_fixtures.record(), 0.05)
            assert answer.failure().code is codes.PEER_UNAVAILABLE
            channels.append(peers._channels.get(peer.peer_address))
        assert counts.counters["channel_replaced"] == 1
        first, after_second, after_third = channels
        assert after_second is None
        assert after_third not in (None, first)
        for writer in connections:
            writer.close()
        await peers.close()
        server.close()

    asyncio.run(check())
