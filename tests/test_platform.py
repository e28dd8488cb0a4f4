"""Tests the HTTP clients of the platform and the engines over loopback."""

import asyncio
import contextlib
import random
import socket

import aiohttp
import uvicorn
from returns import pipeline

from tamarackpier import codes
from tamarackpier.platform import http, interfaces
from tamarackpier.replica import model
from tamarackpier.standin import engine as fake
from tamarackpier.standin import memory, platform_app, spec, upstream_app
from tamarackpier.upstream import engine

WRITE = interfaces.Transaction(
    (interfaces.Check("a", 0),), (interfaces.Write("a", {"n": 1}),)
)
MESSAGES = [{"role": "user", "content": "hello"}]


@contextlib.asynccontextmanager
async def _serve(app):
    """Serves an application on a free port and yields its base URL."""
    listening_socket = socket.socket()
    listening_socket.bind(("127.0.0.1", 0))
    port = listening_socket.getsockname()[1]
    config = uvicorn.Config(
        app, log_level="critical", lifespan="off", loop="asyncio"
    )
    server = uvicorn.Server(config)
    server.capture_signals = contextlib.nullcontext
    server_task = asyncio.ensure_future(server.serve([listening_socket]))
    while not server.started:
        await asyncio.sleep(0.01)
    try:
        yield f"http://127.0.0.1:{port}"
    finally:
        server.should_exit = True
        server.force_exit = True
        await server_task


def _with_platform(check):
    async def run():
        platform = platform_app.create_platform()
        app = platform_app.create_app(platform)
        async with _serve(app) as url, aiohttp.ClientSession() as session:
            await check(platform, session, url)

    asyncio.run(run())


def test_table_writes_reads_and_version_checks():
    async def check(platform, session, url):
        table = http.HttpTable(session, url, 2.0)
        version = (await table.transact(WRITE)).unwrap()["a"]
        repeated_write = await table.transact(WRITE)
        assert repeated_write.failure().code is codes.TABLE_CONFLICT
        rows = (await table.read(("a", "b"))).unwrap()
        assert rows["a"] == interfaces.Row("a", version, {"n": 1})
        assert rows["b"] == interfaces.Row("b", 0, None)
        assert list((await table.scan("a")).unwrap()) == ["a"]

    _with_platform(check)


def test_table_outages_and_lost_responses_have_different_codes():
    async def check(platform, session, url):
        table = http.HttpTable(session, url, 2.0)
        for kind, code in (
            (memory.TableFault.DOWN, codes.TABLE_UNAVAILABLE),
            (memory.TableFault.THROTTLED, codes.TABLE_THROTTLED),
            (memory.TableFault.ANSWER_LOST, codes.TABLE_ANSWER_LOST),
        ):
            assert not platform.table.rows
            platform.faults.kind = kind
            assert (await table.transact(WRITE)).failure().code is code
        assert "a" in platform.table.rows
        closed_port_table = http.HttpTable(session, "http://127.0.0.1:1", 0.2)
        unreachable = await closed_port_table.transact(WRITE)
        assert unreachable.failure().code is codes.TABLE_UNAVAILABLE

    _with_platform(check)


def test_object_store_and_instance_list():
    async def check(platform, session, url):
        objects = http.HttpObjects(session, url, 2.0)
        assert (await objects.get("x/y")).unwrap() is None
        assert pipeline.is_successful(await objects.put("x/y", b"data"))
        assert (await objects.get("x/y")).unwrap() == b"data"
        entry = interfaces.ListedInstance("e", "engine", "z", "d", "http://e")
        platform.instances.instances["e"] = entry
        instances = http.HttpInstanceList(session, url, 2.0)
        assert (await instances.list()).unwrap() == (entry,)

    _with_platform(check)


def _with_engine(check):
    async def run():
        weights = fake.WeightStore(0.0, 1)
        lead = fake.FakeEngine(
            fake.EngineSpec("e", "d", "z", slots=1, join_s=0.0), weights
        )
        farm = fake.EngineCluster({"e": lead}, token_s=0.0, first_token_s=0.0)
        app = upstream_app.create_app(farm, upstream_app.PlainService())
        async with _serve(app) as url, aiohttp.ClientSession() as session:
            client = engine.HttpEngineClient(session, 1.0, 1.0)
            await check(lead, client, f"{url}/engines/e")

    asyncio.run(run())


def _order(address, fence):
    return model.Order(
        "e", address, model.OrderKind.JOIN, fence, "d.1", ("e",), "draft", "v1"
    )


def _dispatch(fence, after=0):
    call = spec.make_call(random.Random(1), MESSAGES, 6, "clerks-a", 0.0)
    return engine.Dispatch(call, "d.1", fence, 1, after)


async def _read_all(stream):
    data = b""
    while chunk := await stream.read():
        data += chunk
    return data


def test_engine_orders_reports_and_streams():
    async def check(lead, client, address):
        assert pipeline.is_successful(await client.order(_order(address, 7)))
        stale_order = await client.order(_order(address, 6))
        assert stale_order.failure().code is codes.ORDER_REFUSED
        report = (await client.report(address, "e", 1.0)).unwrap()
        assert (report.fence, report.members, report.asked_at) == (
            7,
            ("e",),
            1.0,
        )
        wrong_engine = await client.report(address, "not-e", 1.0)
        assert wrong_engine.failure().code is codes.BAD_UPSTREAM_DATA
        stale_dispatch = await client.open(address, _dispatch(6))
        assert stale_dispatch.failure().code is codes.REPLICA_NOT_WHOLE
        full_stream = await _read_all(
            (await client.open(address, _dispatch(7))).unwrap()
        )
        resumed_stream = (
            await client.open(address, _dispatch(7, after=4))
        ).unwrap()
        assert full_stream.endswith(await _read_all(resumed_stream))
        assert full_stream.count(b"\n\n") == 7
        lead.running = 1
        refused_dispatch = await client.open(address, _dispatch(7))
        assert refused_dispatch.failure().code is codes.UPSTREAM_REFUSED

    _with_engine(check)


def test_broken_streams_and_unreachable_engines():
    async def check(lead, client, address):
        await client.order(_order(address, 7))
        stream = (await client.open(address, _dispatch(7))).unwrap()
        lead.crash()
        try:
            await _read_all(stream)
        except engine.BrokenStreamError:
            pass
        else:
            raise AssertionError(
                "truncated stream ended without BrokenStreamError"
            )
        crashed_dispatch = await client.open(address, _dispatch(7))
        assert crashed_dispatch.failure().code is codes.UPSTREAM_REFUSED
        closed_port_dispatch = await client.open(
            "http://127.0.0.1:1", _dispatch(7)
        )
        assert closed_port_dispatch.failure().code is codes.UPSTREAM_UNREACHABLE

    _with_engine(check)


def test_malformed_reports_give_bad_upstream_data():
    valid_report = {
        "instance_id": "e",
        "boot_id": "b",
        "state": "ready",
        "replica_id": "",
        "fence": 1,
        "members": [],
        "model": "",
        "version": "",
        "running": 0,
        "slots": 1,
    }
    assert pipeline.is_successful(
        engine.report_from_json(valid_report, "e", 0.0)
    )
    for key, value in (
        ("state", "asleep"),
        ("fence", -1),
        ("fence", "7"),
        ("slots", 0),
        ("running", True),
        ("members", [1]),
        ("members", None),
    ):
        malformed = engine.report_from_json(
            valid_report | {key: value}, "e", 0.0
        )
        assert malformed.failure().code is codes.BAD_UPSTREAM_DATA, key
    for document in (None, [], "x", {}):
        malformed = engine.report_from_json(document, "e", 0.0)
        assert malformed.failure().code is codes.BAD_UPSTREAM_DATA
