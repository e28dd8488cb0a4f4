"""Tests the row store's client and follower, and the engine client."""

import asyncio
import json
import random

import aiohttp
import hypothesis
from hypothesis import strategies
from returns import pipeline

from tamarackpier import codes, metrics
from tamarackpier.daemon import store_watch
from tamarackpier.platform import engines, interfaces, store
from tamarackpier.standin import rough_engine
from tests import hosted_fixtures

TABLE_CODES = (
    codes.TABLE_UNAVAILABLE,
    codes.TABLE_THROTTLED,
    codes.TABLE_CONFLICT,
    codes.TABLE_HISTORY_LOST,
    codes.TABLE_ANSWER_LOST,
)
JSON_VALUES = strategies.recursive(
    strategies.none() | strategies.integers() | strategies.text(max_size=5),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(("rows", "ver", "key", "value", "x")),
            inner,
        )
    ),
    max_leaves=8,
)


async def _call_row_store(status, body):
    """Returns the results of all calls to a store that sends one response."""

    async def send_response(arrival):
        head = f"HTTP/1.1 {status} X\r\nConnection: close\r\n"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        await arrival.write(head.encode() + body)

    async with (
        rough_engine.serve_script(send_response) as (address, _),
        aiohttp.ClientSession() as session,
    ):
        row_store = store.RowStore(session, address, 1.0)
        write = interfaces.Write("lease/z", {"a": 1})
        return (
            await row_store.read(("lease/z",)),
            await row_store.snapshot("servers"),
            await row_store.changes("servers", 3, 0.1),
            await row_store.transact(interfaces.Transaction((), (write,))),
        )


@hypothesis.settings(
    derandomize=True, database=None, max_examples=60, deadline=None
)
@hypothesis.given(
    strategies.sampled_from((200, 404, 410, 412, 429, 503)),
    JSON_VALUES.map(lambda value: json.dumps(value).encode())
    | strategies.binary(max_size=20),
)
def test_any_response_gives_success_or_a_table_code(status, body):
    for call_result in asyncio.run(_call_row_store(status, body)):
        if not pipeline.is_successful(call_result):
            assert call_result.failure().code in TABLE_CODES


def test_reset_connection_leaves_outcome_of_write_unknown():
    async def check():
        async def reset_connection(arrival):
            arrival.reset()

        async with (
            rough_engine.serve_script(reset_connection) as (address, _),
            aiohttp.ClientSession() as session,
        ):
            row_store = store.RowStore(session, address, 1.0)
            write = interfaces.Write("lease/z", {"a": 1})
            return await row_store.transact(
                interfaces.Transaction((), (write,))
            )

    call_result = asyncio.run(check())
    assert call_result.failure().code is codes.TABLE_ANSWER_LOST


def test_follower_continues_after_an_exception_in_its_callback():
    applied_versions = []

    def apply_changes(changes):
        applied_versions.append(changes.version)
        if len(applied_versions) == 1:
            raise RuntimeError("injected callback failure")

    class FakeStore:
        async def snapshot(self, table):
            return _snapshot_success(len(applied_versions))

        async def changes(self, table, after, wait_s):
            await asyncio.sleep(3600)

    async def check():
        metrics_registry = metrics.Metrics()
        follower = store_watch.TableFollower(
            "servers",
            FakeStore(),
            apply_changes,
            apply_changes,
            lambda: None,
            lambda: None,
            lambda: 0.0,
            metrics_registry,
            random.Random(1),
            lambda: 0.0,
        )
        task = asyncio.ensure_future(follower.run())
        while len(applied_versions) < 2:
            await asyncio.sleep(0.05)
        task.cancel()
        return metrics_registry.counters["loop_error:servers"]

    assert asyncio.run(check()) == 1


def _snapshot_success(version):
    return store.result.Success(interfaces.Changes((), version))


def test_engine_that_closes_without_a_response_is_unreachable():
    async def close_connection(reader, writer):
        await reader.read(1)
        writer.close()

    async def check():
        server = await asyncio.start_server(close_connection, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        engine = hosted_fixtures.record("e1", address=f"127.0.0.1:{port}")
        async with engines.create_session() as session:
            report = await engines.HttpGateway(session).report(engine, 1.0)
        assert report.failure().code is codes.UPSTREAM_UNREACHABLE
        server.close()

    asyncio.run(check())
