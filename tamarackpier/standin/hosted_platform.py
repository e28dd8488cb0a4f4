"""A stand-in for the users' platform on loopback: a row store and engines.

Rows are written by whoever may, watched, and lost on request; engines form
replicas by the rules of `fabric`, stream numbered events and run plain
requests once, keeping account of what ran.
"""

import asyncio
import base64
import collections
import dataclasses
import json
import random
import time
import urllib.parse
from collections.abc import Awaitable, Callable
from typing import Any

from tamarackpier.daemon import serving
from tamarackpier.fleet import model
from tamarackpier.platform import encode, wire
from tamarackpier.routing import model as routing_model
from tamarackpier.standin import fabric as fabric_lib

__all__ = ["HostedPlatform", "RowStoreStandin"]

_TICK_S = 0.02
_EVENT_S = 0.01
_IDLE_S = 60.0
_LATE_S = (1.0, 6.0)

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


async def _body(receive: Receive) -> bytes:
    parts = []
    while True:
        message = await receive()
        parts.append(message.get("body", b""))
        if not message.get("more_body"):
            return b"".join(parts)


async def _answer(
    send: Send,
    status: int,
    body: bytes = b"",
    headers: tuple[tuple[str, str], ...] = (),
) -> None:
    found = [(name.encode(), value.encode()) for name, value in headers]
    found.append((b"content-length", b"%d" % len(body)))
    await send(
        {"type": "http.response.start", "status": status, "headers": found}
    )
    await send({"type": "http.response.body", "body": body})


class RowStoreStandin:
    """The platform's row store, in memory.

    Attributes:
        rows: Data and version by table and key.
        version: Rises with each change.
        history: Changes, oldest first.
        refuses: Whether every call is answered 503.
        drops_answers: Whether changes are made but not answered.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self.version = 0
        self.history: collections.deque[tuple[int, str, str, bytes | None]] = (
            collections.deque(maxlen=1000)
        )
        self.refuses = False
        self.drops_answers = False
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, data: bytes | None) -> None:
        """Writes a row, or removes it."""
        if data is None and (table, key) not in self.rows:
            return
        self.version += 1
        if data is None:
            del self.rows[table, key]
        else:
            self.rows[table, key] = (data, self.version)
        self.history.append((self.version, table, key, data))
        self._changed.set()
        self._changed = asyncio.Event()

    def drop_history(self) -> None:
        """Drops the history, as the platform may."""
        self.history.clear()
        self.version += 1

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answers one call."""
        body = await _body(receive)
        if self.refuses:
            await _answer(send, 503)
            return
        query = dict(urllib.parse.parse_qsl(scope["query_string"].decode()))
        if scope["path"] == wire.Path.ROWS_CHANGE:
            status, found = self._change(json.loads(body))
            if self.drops_answers:
                await asyncio.sleep(3600)
        elif scope["path"] == wire.Path.ROWS_GET:
            status, found = 200, self._get(query)
        else:
            status, found = await self._feed(query)
        await _answer(send, status, json.dumps(found).encode())

    def _change(self, asked: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for each in asked.get("expected_rev", ()):
            known = self.rows.get((each["table"], each["key"]))
            if (known[1] if known else 0) != each["ver"]:
                return 412, {"rows": []}
        for each in asked.get("puts", ()):
            data = base64.b64decode(each["value"])
            self.put(each["table"], each["key"], data)
        for each in asked.get("remove", ()):
            self.put(each["table"], each["key"], None)
        return 200, {"ver": self.version, "now_ms": 0}

    def _get(self, query: dict[str, str]) -> dict[str, Any]:
        found = [
            encode.row(table, key, version, data)
            for (table, key), (data, version) in sorted(self.rows.items())
            if table == query["table"] and key >= query.get("from", "")
        ]
        limit = int(query.get("limit", 500))
        return {
            "rows": found[:limit],
            "has_more": len(found) > limit,
            "ver": self.version,
        }

    async def _feed(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after = int(query["after"])
        wait_s = int(query.get("wait_ms", 0)) / 1e3
        deadline = time.monotonic() + wait_s
        while True:
            oldest = self.history[0][0] if self.history else self.version + 1
            if after < self.version and after + 1 < oldest:
                return 410, {}
            found = [
                encode.row(table, key, version, data)
                for version, table, key, data in self.history
                if version > after and table == query["table"]
            ]
            left_s = deadline - time.monotonic()
            if found or left_s <= 0:
                return 200, {"rows": found, "ver": self.version}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue


class _EngineApp:
    """One engine's HTTP face."""

    def __init__(self, platform: "HostedPlatform", name: str) -> None:
        self.platform = platform
        self.name = name
        self.running = 0

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        body = await _body(receive)
        engine = self.platform.fabric.engines[self.name]
        if not self.platform.fabric.is_reachable(self.name):
            await asyncio.sleep(3600)
        headers = {
            name.decode(): value.decode() for name, value in scope["headers"]
        }
        named = (wire.Header.ENGINE, self.name)
        if headers.get(wire.Header.EXPECT_ENGINE, self.name) != self.name:
            await _answer(send, 421, headers=(named,))
        elif scope["path"] == wire.Path.REPORT:
            found = encode.report(engine.record, self.running)
            await _answer(send, 200, found, (named,))
        elif scope["path"] == wire.Path.ORDER:
            await self._order(body, engine.record, send)
        else:
            await self._request(headers, engine, send)

    async def _order(
        self, body: bytes, record: model.EngineRecord, send: Send
    ) -> None:
        platform = self.platform
        order = encode.order(body, record)
        if platform.rng.random() < platform.delayed_order_share:
            late_at = platform.fabric.now + platform.rng.uniform(*_LATE_S)
            platform.fabric.delayed_orders.append((late_at, order))
            await asyncio.sleep(3600)
        try:
            outcome = platform.fabric.order(order)
        except fabric_lib.FabricInvariantError as error:
            platform.breaches.append(str(error))
            outcome = model.OrderOutcome.REFUSED
        statuses = {
            model.OrderOutcome.ACCEPTED: 202,
            model.OrderOutcome.NOT_NOW: 409,
            model.OrderOutcome.SUPERSEDED: 412,
        }
        await _answer(send, statuses.get(outcome, 400))

    async def _request(
        self,
        headers: dict[str, str],
        engine: fabric_lib.FabricEngine,
        send: Send,
    ) -> None:
        request_id = headers.get(wire.Header.REQUEST_ID, "")
        marks = (
            (wire.Header.REQUEST_ID, request_id),
            (wire.Header.PROOF, f"proof-{self.name}"),
        )
        membership = engine.membership
        is_model = bool(engine.record.domain)
        if is_model and (membership is None or membership.rank != 0):
            await _answer(send, 421, headers=(*marks, ("x", "not a lead")))
            return
        if is_model and engine.membership is not None:
            if engine.membership.state is not model.MemberState.OPEN:
                not_run = (wire.Header.NOT_RUN, "not open")
                await _answer(send, 503, headers=(*marks, not_run))
                return
            self.platform.check_whole(engine)
        self.platform.ran[request_id].append(self.name)
        if not is_model:
            await asyncio.sleep(_EVENT_S)
            await _answer(send, 200, b"ran " + request_id.encode(), marks)
            return
        await self._stream(headers, engine, marks, send)

    async def _stream(
        self,
        headers: dict[str, str],
        engine: fabric_lib.FabricEngine,
        marks: tuple[tuple[str, str], ...],
        send: Send,
    ) -> None:
        count = int(headers[wire.Header.TOKEN_COUNT].partition(",")[2])
        begin = int(headers.get(wire.Header.LAST_EVENT_ID) or 0) + 1
        found = [(name.encode(), value.encode()) for name, value in marks]
        found.append((b"content-type", b"text/event-stream"))
        await send(
            {"type": "http.response.start", "status": 200, "headers": found}
        )
        self.running += 1
        try:
            for number in range(begin, count + 1):
                while engine.stalled_at is not None or not engine.is_alive:
                    await asyncio.sleep(_EVENT_S)
                await asyncio.sleep(_EVENT_S)
                body = b"id: %d\ndata: e%d\n\n" % (number, number)
                await send(
                    {
                        "type": "http.response.body",
                        "body": body,
                        "more_body": True,
                    }
                )
            await send({"type": "http.response.body", "body": b""})
        finally:
            self.running -= 1


class HostedPlatform:
    """The store and the engines.

    Attributes:
        store: The row store.
        fabric: The engines and their replicas.
        ran: Engines that began to run each request.
        breaches: What must never be asked of engines, and was.
        delayed_order_share: Share of orders that are carried out seconds later.
        rng: Decides which.
        address: Where the store listens.
    """

    def __init__(
        self, spec: routing_model.EngineSpec, ports: Callable[[], int]
    ) -> None:
        self.store = RowStoreStandin()
        self.fabric = fabric_lib.Fabric(spec)
        self.ran: dict[str, list[str]] = collections.defaultdict(list)
        self.breaches: list[str] = []
        self.delayed_order_share = 0.0
        self.rng = random.Random(0)
        self.ports = ports
        self.listeners: list[serving.HttpListener] = []
        self.address = f"127.0.0.1:{ports()}"
        self._rows: dict[str, bytes] = {}
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Opens the listeners and lets engines work."""
        await self._listen(self.store, self.address)
        self._task = asyncio.ensure_future(self._work())

    async def add_engine(
        self, name: str, service: str, zone: str, domain: str
    ) -> None:
        """Adds an empty engine, or a plain service's one."""
        address = f"127.0.0.1:{self.ports()}"
        self.fabric.add(name, service, zone, domain)
        engine = self.fabric.engines[name]
        engine.record = dataclasses.replace(engine.record, address=address)
        await self._listen(_EngineApp(self, name), address)

    def check_whole(self, lead: fabric_lib.FabricEngine) -> None:
        """Notes a breach if a lead serves whose members were not all ready."""
        if lead.membership is None:
            return
        ready = self.fabric.ready_engines.get(lead.membership.key, set())
        missing = [each for each in lead.members if each not in ready]
        if missing:
            self.breaches.append(f"{lead.record.id} serves without {missing}")

    def configure(self, configuration: routing_model.Configuration) -> None:
        """Writes a configuration, as the operator does."""
        self.store.put(
            wire.Field.OPERATOR_TABLE,
            wire.Field.CONFIGURATION_KEY,
            encode.configuration(configuration),
        )

    async def stop(self) -> None:
        """Ends everything."""
        if self._task is not None:
            self._task.cancel()
        for listener in self.listeners:
            listener.close()
            for each in list(listener.state.connections):
                each.transport.abort()  # type: ignore[union-attr]

    async def _listen(self, app: Any, address: str) -> None:
        listener = serving.HttpListener(app, address, _IDLE_S)
        await listener.listen()
        self.listeners.append(listener)

    async def _work(self) -> None:
        while True:
            try:
                self.fabric.advance(time.monotonic())
            except fabric_lib.FabricInvariantError as error:
                self.breaches.append(str(error))
            self._write_rows()
            await asyncio.sleep(_TICK_S)

    def _write_rows(self) -> None:
        rows = {each.id: encode.engine_row(each) for each in self.fabric.rows()}
        for name, data in rows.items():
            if self._rows.get(name) != data:
                self.store.put(wire.Field.ENGINES_TABLE, name, data)
        for name in set(self._rows) - set(rows):
            self.store.put(wire.Field.ENGINES_TABLE, name, None)
        self._rows = rows
