"""Streams at engines that fall silent and go on."""

import asyncio
import dataclasses

import aiohttp

from tests import deployment_fixtures

SILENCE_S = 1.2
EVENT_COUNT = 60  # An answer takes 0.6 s.
STREAM_COUNT = 6
ONLY_LARGE = dataclasses.replace(
    deployment_fixtures.FAST_SPEC, models=deployment_fixtures.FAST_MODELS[:1]
)
WHOLE_ANSWER = b"".join(
    b"id: %d\ndata: e%d\n\n" % (number, number)
    for number in range(1, EVENT_COUNT + 1)
)


def services(engine_spec):
    """Returns the services, the model service with a specification."""
    drafts = deployment_fixtures.SERVICES["drafts"]
    return {
        **deployment_fixtures.SERVICES,
        "drafts": dataclasses.replace(drafts, engine=engine_spec),
    }


def members(platform, rank):
    """Returns the IDs of the engines that have a rank in their replica."""
    return sorted(
        name
        for name, engine in platform.fabric.engines.items()
        if engine.membership is not None and engine.membership.rank == rank
    )


async def answer(deployment, request_id):
    """Returns the status and body of an answer; no body if it is cut off."""
    try:
        response, body = await deployment.post(
            "/draft/1", request_id, count=EVENT_COUNT
        )
    except aiohttp.ClientPayloadError:
        return 200, None
    return response.status, body


async def start_streams(
    deployment, domain_count, engine_spec=ONLY_LARGE, **route_changes
):
    """Returns the tasks of streams that have begun."""
    platform = deployment.platform
    stream_route, *others = deployment_fixtures.ROUTES
    routes = (dataclasses.replace(stream_route, **route_changes), *others)
    platform.configure(
        deployment_fixtures.configuration(
            2, routes=routes, services=services(engine_spec)
        )
    )
    await deployment.until(
        lambda: (
            deployment.serving() == [domain_count] * len(deployment.instances)
            and all(
                instance.relay.routing.configuration.routes == routes
                for instance in deployment.instances
            )
        )
    )
    tasks = [
        asyncio.ensure_future(answer(deployment, f"r{index}"))
        for index in range(STREAM_COUNT)
    ]
    await deployment.until(
        lambda: all(platform.ran[f"r{index}"] for index in range(STREAM_COUNT))
    )
    await asyncio.sleep(0.1)
    return tasks


async def silence_leads(platform):
    """Lets the leads of all replicas stand still for `SILENCE_S`."""
    for lead in members(platform, rank=0):
        platform.silence(lead, SILENCE_S)
