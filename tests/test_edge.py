"""Tests of the HTTP endpoints of a node in a simulated world."""

import asyncio
import contextlib
import json

import hypothesis
from absl import logging
from falcon import testing
from hypothesis import strategies

from tamarackpier.daemon import http, main
from tamarackpier.standin import engine, virtual
from tamarackpier.standin import spec as spec_lib
from tamarackpier.standin import world as world_lib

CALLER = {"Authorization": "Bearer clerks-a-key"}
OPERATOR = {"Authorization": "Bearer operator-key"}
MESSAGES = [{"role": "user", "content": "hello"}]
DRAFT = {"model": "draft", "messages": MESSAGES, "max_tokens": 5}


@contextlib.asynccontextmanager
async def _edge(is_ready=True):
    """Yields an HTTP client of one node and the simulated world.

    Args:
        is_ready: Whether to submit events and wait until replicas serve them.
    """
    logging.set_verbosity("fatal")
    world = world_lib.World(spec_lib.WorldSpec(entries=2), 1)
    world.start()
    await asyncio.sleep(4.0)
    if is_ready:
        assert await world.submit(2, 4)
        await asyncio.sleep(12.0)
    app = main.create_app(world.entries["entry-1"].node)
    connection = _Connection(app)
    async with testing.ASGIConductor(connection) as client:
        yield client, world


class _Connection:
    """Wraps an application in connections that stay open until broken.

    The connections of the test conductor would end on the real clock.
    """

    def __init__(self, app):
        self.app = app
        self.is_broken = asyncio.Event()

    async def __call__(self, scope, receive, send):
        scope[http.RECEIVE_KEY] = self._receive
        await self.app(scope, receive, send)

    async def _receive(self):
        await self.is_broken.wait()
        return {"type": "http.disconnect"}


def _run(check, is_ready=True):
    async def run():
        async with _edge(is_ready) as (client, world):
            await check(client, world)

    virtual.run(run())


def _error(response):
    return response.json["error"]


def test_chat_call_returns_the_complete_answer():
    async def check(client, world):
        response = await client.simulate_post(
            "/v1/chat/completions", json=DRAFT, headers=CALLER
        )
        assert response.status_code == 200
        text = response.json["choices"][0]["message"]["content"]
        assert text == engine.expected_text(MESSAGES, 5)
        assert response.json["usage"]["completion_tokens"] == 5

    _run(check)


def test_streamed_chat_call_ends_with_the_done_event():
    async def check(client, world):
        response = await client.simulate_post(
            "/v1/chat/completions",
            json=DRAFT | {"stream": True},
            headers=CALLER,
        )
        assert response.headers["content-type"] == "text/event-stream"
        assert response.text.endswith("data: [DONE]\n\n")
        assert response.text.count("data: ") == 6
        node = world.entries["entry-1"].node
        assert node.in_flight() == 0

    _run(check)


def test_disconnect_of_the_caller_cancels_the_upstream_call():
    async def check(client, world):
        request_task = asyncio.ensure_future(
            client.simulate_post(
                "/v1/chat/completions",
                json=DRAFT | {"stream": True, "max_tokens": 500},
                headers=CALLER,
            )
        )
        await asyncio.sleep(1.0)
        client.app.is_broken.set()
        await request_task
        node = world.entries["entry-1"].node
        assert node.in_flight() == 0
        assert node.metrics.counters["cancelled_upstream"] == 1
        await asyncio.sleep(1.0)
        assert not any(
            replica.running for replica in world.farm.engines.values()
        )

    _run(check)


def test_completion_call_returns_a_completion_document():
    async def check(client, world):
        body = {"model": "draft", "prompt": "hello", "max_tokens": 3}
        response = await client.simulate_post(
            "/v1/completions", json=body, headers=CALLER
        )
        text = response.json["choices"][0]["text"]
        assert text == engine.expected_text("hello", 3)

    _run(check)


def test_refusals_have_code_outcome_and_status():
    async def check(client, world):
        post = client.simulate_post
        path = "/v1/chat/completions"
        for response, status, number in (
            (await post(path, json=DRAFT), 401, 3001),
            (await post(path, json=DRAFT, headers=OPERATOR), 401, 3002),
            (await post(path, body=b"{", headers=CALLER), 400, 3004),
            (
                await post(
                    path, json=DRAFT | {"model": "other"}, headers=CALLER
                ),
                404,
                3007,
            ),
            (
                await post(path, body=b"x" * 2_000_000, headers=CALLER),
                413,
                3005,
            ),
            (await client.simulate_get("/nowhere"), 404, 3006),
            (
                await post("/v1/services/none", json={}, headers=CALLER),
                404,
                3008,
            ),
            (await client.simulate_get("/operator/status"), 401, 3001),
            (
                await client.simulate_get("/operator/status", headers=CALLER),
                401,
                3002,
            ),
        ):
            assert (response.status_code, _error(response)["code"]) == (
                status,
                number,
            ), response.text
            assert _error(response)["outcome"] == "not_run"
        counters = world.entries["entry-1"].node.metrics.counters
        assert counters["refused:bad_body"] == 1

    _run(check)


def test_call_without_a_healthy_replica_gets_retry_after():
    async def check(client, world):
        for domain in ("d1", "d2"):
            for replica in world.farm.engines.values():
                if replica.spec.domain == domain:
                    replica.crash(world.clock())
        await asyncio.sleep(3.0)
        response = await client.simulate_post(
            "/v1/chat/completions",
            json=DRAFT,
            headers=CALLER | {"X-Deadline-S": "2"},
        )
        assert response.status_code == 503
        assert _error(response)["type"] == "no_replica"
        assert int(response.headers["retry-after"]) >= 1

    _run(check)


def test_repeated_idempotency_key_replays_the_recorded_answer():
    async def check(client, world):
        headers = CALLER | {"Idempotency-Key": "k-1"}
        path = "/v1/services/orders/orders"
        first = await client.simulate_post(path, body=b"brass", headers=headers)
        repeat = await client.simulate_post(
            path, body=b"brass", headers=headers
        )
        assert (first.status_code, repeat.status_code) == (201, 201)
        assert first.content == repeat.content
        assert world.ledger.service_runs["brass"] == 1
        reused = await client.simulate_post(path, body=b"zinc", headers=headers)
        assert _error(reused)["type"] == "key_reused"
        outcome = await client.simulate_get(
            "/v1/outcomes/orders/k-1", headers=CALLER
        )
        assert outcome.json["state"] == "done"
        unknown = await client.simulate_get(
            "/v1/outcomes/orders/k-2", headers=CALLER
        )
        assert _error(unknown)["type"] == "no_such_request"

    _run(check)


def test_caller_and_operator_documents_are_served():
    async def check(client, world):
        addresses = await client.simulate_get("/v1/addresses", headers=CALLER)
        assert len(addresses.json["addresses"]) == 2
        assert addresses.json["keep_s"] == 2.0
        assert (await client.simulate_get("/health")).status_code == 200
        models = await client.simulate_get("/v1/models", headers=CALLER)
        assert [model["id"] for model in models.json["data"]] == ["draft"]
        for name in ("status", "counters", "replicas", "events", "sheet"):
            response = await client.simulate_get(
                f"/operator/{name}", headers=OPERATOR
            )
            assert response.status_code == 200, name
        quarantine = await client.simulate_get(
            "/operator/quarantine", headers=OPERATOR
        )
        assert quarantine.json == {"refused": []}

    _run(check)


def test_invalid_sheet_reports_every_fault_and_changes_nothing():
    async def check(client, world):
        sheet = await client.simulate_get("/operator/sheet", headers=OPERATOR)
        text = sheet.json["csv"].replace("UTC", "Mars").replace(",4,", ",x,")
        for path in ("/operator/sheet", "/operator/sheet/check"):
            response = await client.simulate_post(
                path, body=text.encode(), headers=OPERATOR
            )
            assert response.status_code == 400
            assert len(response.json["errors"]) == 4
        after = await client.simulate_get("/operator/sheet", headers=OPERATOR)
        assert after.json == sheet.json

    _run(check)


def test_leaving_instance_refuses_new_requests():
    async def check(client, world):
        await world.entries["entry-1"].node.leave()
        response = await client.simulate_post(
            "/v1/chat/completions", json=DRAFT, headers=CALLER
        )
        assert _error(response)["type"] == "leaving"
        assert (await client.simulate_get("/health")).status_code == 503

    _run(check)


def test_arbitrary_requests_get_a_numbered_fault_or_an_answer():
    paths = strategies.sampled_from(
        [
            "/v1/chat/completions",
            "/v1/completions",
            "/v1/services/orders/x",
            "/v1/addresses",
            "/operator/sheet",
            "/operator/sheet/check",
        ]
    )
    headers = strategies.dictionaries(
        strategies.sampled_from(
            ["X-Deadline-S", "Idempotency-Key", "X-Availability-Zone"]
        ),
        strategies.text("0123456789.-einfa", max_size=300),
        max_size=2,
    )
    status_codes = []

    @hypothesis.settings(
        max_examples=30,
        deadline=None,
        derandomize=True,
        database=None,
        phases=[hypothesis.Phase.generate],
    )
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(paths, headers, strategies.binary(max_size=80)),
            min_size=10,
            max_size=10,
        )
    )
    def send(requests):
        async def check(client, world):
            for path, extra, body in requests:
                key = OPERATOR if path.startswith("/operator") else CALLER
                response = await client.simulate_post(
                    path, body=body, headers=key | extra
                )
                status_codes.append(response.status_code)
                if response.status_code >= 300:
                    assert _error(response)["code"] > 1000, response.text
                    assert response.status_code != 504, response.text

        _run(check, is_ready=False)

    send()
    assert len(set(status_codes)) > 1
    assert json.dumps(status_codes)
