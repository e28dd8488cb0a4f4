"""A stand-in for the hosted platform on loopback: a row store and engines.

The row store accepts writes, serves changes to watchers, and can be made
unavailable or lose its answers and history. Engines form replicas by the rules
of `fabric`, stream numbered events, run each plain request once, and record
which requests they ran.
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

__all__ = ["HostedPlatform", "RowStoreStandin", "StoreCopy"]

_TICK_S = 0.02
_EVENT_INTERVAL_S = 0.01
_IDLE_TIMEOUT_S = 60.0
# Engines and the store take any number of large requests at once.
_MAX_CALLER_BYTES = 1 << 30
_ORDER_DELAY_RANGE_S = (1.0, 6.0)
# Time after which an engine that a request crashed starts again.
_RESTART_DELAY_S = 1.0
_SILENT_RESTART_DELAY_S = 5.0  # Longer than its row is kept.

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


_NEVER_S = 3600.0  # Outlasts every run.


async def _read_body(receive: Receive) -> bytes:
    parts = []
    while True:
        message = await receive()
        parts.append(message.get("body", b""))
        if not message.get("more_body"):
            return b"".join(parts)


async def _send_answer(
    send: Send,
    status: int,
    body: bytes = b"",
    headers: tuple[tuple[str, str], ...] = (),
) -> None:
    raw_headers = [(name.encode(), value.encode()) for name, value in headers]
    raw_headers.append((b"content-length", b"%d" % len(body)))
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": raw_headers,
        }
    )
    await send({"type": "http.response.body", "body": body})


def _sending_header(send: Send, name: str, value: str) -> Send:
    """Returns a function that sends an answer with another header."""

    async def send_with_header(message: dict[str, Any]) -> None:
        if message["type"] == "http.response.start":
            header = (name.encode(), value.encode())
            message = {**message, "headers": [*message["headers"], header]}
        await send(message)

    return send_with_header


def _abort_connections(listener: serving.HttpListener) -> None:
    for connection in list(listener.state.connections):
        connection.transport.abort()  # type: ignore[union-attr]


@dataclasses.dataclass(frozen=True)
class StoreCopy:
    """A copy of a row store, from which it can be restored.

    Attributes:
        rows: Data and version of each row, by table and key.
        version: Version of the most recent change.
        history: Changes, oldest first.
    """

    rows: dict[tuple[str, str], tuple[bytes, int]]
    version: int
    history: tuple[tuple[int, str, str, bytes | None], ...]


class RowStoreStandin:
    """The platform's row store, in memory.

    Attributes:
        rows: Data and version of each row, by table and key.
        version: Version of the most recent change.
        history: Most recent changes, oldest first, each with its version,
            table, key and data; the data None stands for a removal.
        era: Number of times that the store was restored from a copy.
        refuses: Whether every call is answered with status 503.
        drops_answers: Whether changes are applied but not answered.
        is_silent: Whether no call is answered; calls that come meanwhile, or
            wait for a change then, are never answered.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self.version = 0
        self.history: collections.deque[tuple[int, str, str, bytes | None]] = (
            collections.deque(maxlen=1000)
        )
        self.era = 0
        self.refuses = False
        self.drops_answers = False
        self.is_silent = False
        self._silences = 0
        self._changed = asyncio.Event()

    def set_silent(self, is_silent: bool) -> None:
        """Begins or ends a silence."""
        self.is_silent = is_silent
        self._silences += is_silent

    def put(self, table: str, key: str, data: bytes | None) -> None:
        """Writes a row, or removes it if the data is None."""
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
        """Drops the history, which the platform may do at any time."""
        self.history.clear()
        self.version += 1

    def copy(self) -> StoreCopy:
        """Returns a copy of the store."""
        return StoreCopy(dict(self.rows), self.version, tuple(self.history))

    def restore(self, copy: StoreCopy) -> None:
        """Returns to a copy; what was written since is lost.

        Versions go back and are given out again. Calls that wait for a change
        are never answered.
        """
        self.rows = dict(copy.rows)
        self.version = copy.version
        self.history.clear()
        self.history.extend(copy.history)
        self.era += 1

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answers one call."""
        body = await _read_body(receive)
        silences = self._silences
        if self.is_silent:
            await asyncio.sleep(_NEVER_S)
        if self.refuses:
            await self._answer(send, 503)
            return
        query = dict(urllib.parse.parse_qsl(scope["query_string"].decode()))
        if scope["path"] == wire.Path.ROWS_CHANGE:
            status, document = self._apply_change(json.loads(body))
            if self.drops_answers:
                await asyncio.sleep(_NEVER_S)
        elif scope["path"] == wire.Path.ROWS_GET:
            status, document = 200, self._read(query)
        else:
            status, document = await self._read_changes(query)
        if self.is_silent or silences != self._silences:
            await asyncio.sleep(_NEVER_S)
        await self._answer(send, status, json.dumps(document).encode())

    async def _answer(self, send: Send, status: int, body: bytes = b"") -> None:
        headers = ((wire.Header.STORE_ERA, str(self.era)),)
        await _send_answer(send, status, body, headers)

    def _apply_change(
        self, change: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        for check in change.get("expected_rev", ()):
            row = self.rows.get((check["table"], check["key"]))
            if (row[1] if row else 0) != check["ver"]:
                return 412, {"rows": []}
        for write in change.get("puts", ()):
            data = base64.b64decode(write["value"])
            self.put(write["table"], write["key"], data)
        for removal in change.get("remove", ()):
            self.put(removal["table"], removal["key"], None)
        return 200, {"ver": self.version, "now_ms": 0}

    def _read(self, query: dict[str, str]) -> dict[str, Any]:
        rows = [
            encode.row(table, key, version, data)
            for (table, key), (data, version) in sorted(self.rows.items())
            if table == query["table"] and key >= query.get("from", "")
        ]
        limit = int(query.get("limit", 500))
        return {
            "rows": rows[:limit],
            "has_more": len(rows) > limit,
            "ver": self.version,
        }

    async def _read_changes(
        self, query: dict[str, str]
    ) -> tuple[int, dict[str, Any]]:
        after = int(query["after"])
        wait_s = int(query.get("wait_ms", 0)) / 1e3
        deadline = time.monotonic() + wait_s
        era = self.era
        while True:
            if self.era != era:
                await asyncio.sleep(_NEVER_S)
            oldest = self.history[0][0] if self.history else self.version + 1
            is_lost = after < self.version and after + 1 < oldest
            if is_lost or after > self.version:
                return 410, {}
            rows = [
                encode.row(table, key, version, data)
                for version, table, key, data in self.history
                if version > after and table == query["table"]
            ]
            remaining_s = deadline - time.monotonic()
            if rows or remaining_s <= 0:
                return 200, {"rows": rows, "ver": self.version}
            try:
                await asyncio.wait_for(self._changed.wait(), remaining_s)
            except TimeoutError:
                continue


class _EngineApp:
    """The HTTP application of one engine."""

    def __init__(self, platform: "HostedPlatform", name: str) -> None:
        self.platform = platform
        self.name = name
        self.running = 0

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        body = await _read_body(receive)
        engine = self.platform.fabric.engines[self.name]
        if self.name in self.platform.leaving_engines:
            send = _sending_header(send, wire.Header.LEAVING, "1")
            self.platform.said_leaving_at.setdefault(
                self.name, time.monotonic()
            )
        cold_left_s = self.platform.cold_left_s(self.name)
        if cold_left_s > 0:
            left_ms = str(round(cold_left_s * 1e3))
            send = _sending_header(send, wire.Header.COLD_MS, left_ms)
        if not self.platform.fabric.is_reachable(self.name):
            await asyncio.sleep(_NEVER_S)
        await self.platform.wait_while_silent(self.name)
        headers = {
            name.decode(): value.decode() for name, value in scope["headers"]
        }
        crash_after = self._crash_after(
            body, headers.get(wire.Header.PROMPT_PARTS, "")
        )
        engine_header = (wire.Header.ENGINE, self.name)
        if headers.get(wire.Header.EXPECT_ENGINE, self.name) != self.name:
            request_id = headers.get(wire.Header.REQUEST_ID, "")
            id_header = (wire.Header.REQUEST_ID, request_id)
            await _send_answer(send, 421, headers=(engine_header, id_header))
        elif scope["path"] == wire.Path.REPORT:
            report = encode.report(engine.record, self.running)
            await _send_answer(send, 200, report, (engine_header,))
        elif scope["path"] == wire.Path.ORDER:
            await self._order(body, engine.record, send)
        else:
            await self._request(headers, engine, crash_after, send)

    def _crash_after(self, body: bytes, prompt_parts: str) -> int | None:
        """Returns after how many events a request crashes its engine."""
        for entry in prompt_parts.split(","):
            part_id = entry.partition(":")[0]
            if part_id in self.platform.crashing_parts:
                return self.platform.crashing_parts[part_id]
        return self.platform.crashing_bodies.get(body)

    async def _order(
        self, body: bytes, record: model.EngineRecord, send: Send
    ) -> None:
        platform = self.platform
        order = encode.order(body, record)
        if platform.rng.random() < platform.delayed_order_share:
            due_at = platform.fabric.now + platform.rng.uniform(
                *_ORDER_DELAY_RANGE_S
            )
            platform.fabric.delayed_orders.append((due_at, order))
            await asyncio.sleep(_NEVER_S)
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
        await _send_answer(send, statuses.get(outcome, 400))

    async def _request(
        self,
        headers: dict[str, str],
        engine: fabric_lib.FabricEngine,
        crash_after: int | None,
        send: Send,
    ) -> None:
        request_id = headers.get(wire.Header.REQUEST_ID, "")
        engine_headers: tuple[tuple[str, str], ...] = (
            (wire.Header.REQUEST_ID, request_id),
            (wire.Header.PROOF, f"proof-{self.name}"),
        )
        if self.platform.cold_left_s(self.name) > 0:
            self.platform.cold_arrivals[self.name].append(time.monotonic())
        max_rate = self.platform.request_rates.get(self.name)
        if max_rate is not None:
            self.platform.limited_arrivals[self.name].append(time.monotonic())
            engine_headers += ((wire.Header.REQUEST_RATE, str(max_rate)),)
        if self.name in self.platform.leaving_engines:
            self.platform.leaving_arrivals[self.name].append(time.monotonic())
        retry_after = self.platform.retry_after.get(self.name)
        if retry_after is not None:
            self.platform.turned_away[self.name].append(time.monotonic())
            engine_headers += (
                (wire.Header.NOT_RUN, "turned away"),
                (wire.Header.RETRY_AFTER, retry_after),
            )
            await _send_answer(send, 503, headers=engine_headers)
            return
        membership = engine.membership
        serves_models = bool(engine.record.domain)
        if serves_models and (membership is None or membership.rank != 0):
            await _send_answer(
                send, 421, headers=(*engine_headers, ("x", "not a lead"))
            )
            return
        if serves_models and engine.membership is not None:
            if engine.membership.state is not model.MemberState.OPEN:
                not_run = (wire.Header.NOT_RUN, "not open")
                await _send_answer(
                    send, 503, headers=(*engine_headers, not_run)
                )
                return
            self.platform.check_members_ready(engine)
        self.platform.ran[request_id].append(self.name)
        if crash_after == 0:
            self.platform.crash(self.name, request_id)
            if (
                self.platform.crashes_silently
                and not self.platform.sends_error_pages
            ):
                await asyncio.sleep(_NEVER_S)
            return
        if not serves_models:
            await asyncio.sleep(
                max(_EVENT_INTERVAL_S, self.platform.plain_answer_s)
            )
            await self.platform.wait_while_silent(self.name)
            if not engine.is_alive:
                return
            await _send_answer(
                send, 200, b"ran " + request_id.encode(), engine_headers
            )
            return
        await self._stream(headers, engine, engine_headers, crash_after, send)

    async def _stream(
        self,
        headers: dict[str, str],
        engine: fabric_lib.FabricEngine,
        engine_headers: tuple[tuple[str, str], ...],
        crash_after: int | None,
        send: Send,
    ) -> None:
        event_count = int(headers[wire.Header.TOKEN_COUNT].partition(",")[2])
        first_number = int(headers.get(wire.Header.LAST_EVENT_ID) or 0) + 1
        raw_headers = [
            (name.encode(), value.encode()) for name, value in engine_headers
        ]
        raw_headers.append((b"content-type", b"text/event-stream"))
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": raw_headers,
            }
        )
        self.running += 1
        engine.running += 1
        replica = engine.membership.key if engine.membership else None
        try:
            for number in range(first_number, event_count + 1):
                while engine.stalled_at is not None or not engine.is_alive:
                    await asyncio.sleep(_EVENT_INTERVAL_S)
                    if self.platform.fabric.engines[self.name] is not engine:
                        return
                await asyncio.sleep(_EVENT_INTERVAL_S)
                await self.platform.wait_while_silent(self.name)
                if engine.membership is None or (
                    engine.membership.key != replica
                ):
                    return
                if crash_after is not None and number > crash_after:
                    self.platform.crash(
                        self.name, headers[wire.Header.REQUEST_ID]
                    )
                    return
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
            engine.running -= 1


class HostedPlatform:
    """The row store and the engines.

    Attributes:
        store: Row store.
        fabric: Engines and their replicas.
        ran: IDs of the engines that started to run each request, by request
            ID.
        plain_answer_s: Least time of an answer of a plain service, in seconds.
        renames_engines: Whether an engine that a request crashed has another
            ID after its restart, at the same address.
        crashes_silently: Whether an engine that a request crashed answers
            nothing, instead of closing its port and connections.
        sends_error_pages: Whether the HTTP server of an engine that a request
            crashed silently answers this request with an error page, which
            carries no request ID.
        crashing_bodies: Number of events after which an engine crashes that
            runs a request with this body, by body; 0 for before its answer.
        crashing_parts: The same by ID of a part of the prompt.
        crashes: Time, in seconds on the monotonic clock, and request ID of
            each crash by such a request.
        cold_until: Time until which each engine is cold, by its name, in
            seconds on the monotonic clock.
        cold_arrivals: Times, on the same clock, of the requests at each cold
            engine, by its name.
        request_rates: Requests a second that an engine says it takes, by its
            ID.
        limited_arrivals: Times, in seconds on the monotonic clock, of the
            requests that came to an engine while it had such a limit.
        leaving_engines: IDs of the engines that say in all their answers that
            they leave; their rows don't.
        said_leaving_at: Time, in seconds on the monotonic clock, of the first
            such answer of an engine, by its ID.
        leaving_arrivals: Times, in seconds on the monotonic clock, of the
            requests that came to an engine while it said so.
        retry_after: Seconds, as text, for which an engine that turns all
            requests away wants no more, by its ID.
        turned_away: Times, in seconds on the monotonic clock, of the requests
            that an engine turned away so.
        silent_until: Time, in seconds on the monotonic clock, until which an
            engine stands still, by its ID; it loses nothing and then goes on.
        breaches: Descriptions of the invariant breaches so far.
        delayed_order_share: Share of orders that are carried out seconds later
            and not answered.
        rng: Source of the choice of these orders and of their delays.
        ports: Returns a free port at each call.
        listeners: Listeners of the store and the engines.
        engine_listeners: Listener of each engine, by ID.
        address: Host and port on which the store listens.
    """

    def __init__(
        self, spec: routing_model.EngineSpec, ports: Callable[[], int]
    ) -> None:
        self.store = RowStoreStandin()
        self.fabric = fabric_lib.Fabric(spec)
        self.ran: dict[str, list[str]] = collections.defaultdict(list)
        self.plain_answer_s = 0.0
        self.renames_engines = False
        self.crashes_silently = False
        self.sends_error_pages = False
        self.crashing_bodies: dict[bytes, int] = {}
        self.crashing_parts: dict[str, int] = {}
        self.crashes: list[tuple[float, str]] = []
        self.cold_until: dict[str, float] = {}
        self.cold_arrivals: dict[str, list[float]] = collections.defaultdict(
            list
        )
        self.request_rates: dict[str, float] = {}
        self.limited_arrivals: dict[str, list[float]] = collections.defaultdict(
            list
        )
        self.leaving_engines: set[str] = set()
        self.said_leaving_at: dict[str, float] = {}
        self.leaving_arrivals: dict[str, list[float]] = collections.defaultdict(
            list
        )
        self.retry_after: dict[str, str] = {}
        self.turned_away: dict[str, list[float]] = collections.defaultdict(list)
        self.silent_until: dict[str, float] = {}
        self.breaches: list[str] = []
        self.delayed_order_share = 0.0
        self.rng = random.Random(0)
        self.ports = ports
        self.listeners: list[serving.HttpListener] = []
        self.engine_listeners: dict[str, serving.HttpListener] = {}
        self.address = f"127.0.0.1:{ports()}"
        self._written_rows: dict[str, bytes] = {}
        self._task: asyncio.Task[None] | None = None
        self._restarts: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Starts the row store and the engines."""
        await self._listen(self.store, self.address)
        self._task = asyncio.ensure_future(self._run())

    def cold_left_s(self, name: str) -> float:
        """Returns for how many seconds an engine is still cold."""
        return self.cold_until.get(name, 0.0) - time.monotonic()

    async def add_engine(
        self, name: str, service: str, zone: str, domain: str
    ) -> None:
        """Adds an engine; without a domain it belongs to a plain service."""
        address = f"127.0.0.1:{self.ports()}"
        self.fabric.add(name, service, zone, domain)
        engine = self.fabric.engines[name]
        engine.record = dataclasses.replace(engine.record, address=address)
        self.engine_listeners[name] = await self._listen(
            _EngineApp(self, name), address
        )

    def crash(self, name: str, request_id: str) -> None:
        """Ends an engine because of a request; it restarts a little later."""
        self.crashes.append((time.monotonic(), request_id))
        self.fabric.kill(name)
        if not self.crashes_silently:
            listener = self.engine_listeners[name]
            listener.close()
            _abort_connections(listener)
        restart = asyncio.ensure_future(self._restart(name))
        self._restarts.add(restart)
        restart.add_done_callback(self._restarts.discard)

    def silence(self, name: str, duration_s: float) -> None:
        """Lets an engine stand still for some seconds; nothing is lost."""
        self.silent_until[name] = time.monotonic() + duration_s

    async def wait_while_silent(self, name: str) -> None:
        """Returns when an engine doesn't stand still."""
        while (end := self.silent_until.get(name, 0.0)) > time.monotonic():
            await asyncio.sleep(end - time.monotonic())

    async def _restart(self, name: str) -> None:
        if self.crashes_silently:
            await asyncio.sleep(_SILENT_RESTART_DELAY_S)
            self.fabric.restart(name)
            return
        await asyncio.sleep(_RESTART_DELAY_S)
        if not self.renames_engines:
            self.fabric.restart(name)
            await self.engine_listeners[name].listen()
            return
        ended = self.fabric.engines[name].record
        new_name = f"{name}+"
        self.fabric.add(
            new_name, ended.service, ended.availability_zone, ended.domain
        )
        engine = self.fabric.engines[new_name]
        engine.record = dataclasses.replace(
            engine.record, address=ended.address, staged=ended.staged
        )
        self.engine_listeners[new_name] = await self._listen(
            _EngineApp(self, new_name), ended.address
        )

    def check_members_ready(self, lead: fabric_lib.FabricEngine) -> None:
        """Records a breach if a lead serves though a member was never ready."""
        if lead.membership is None:
            return
        ready_ids = self.fabric.ready_engines.get(lead.membership.key, set())
        unready_ids = [
            member for member in lead.members if member not in ready_ids
        ]
        if unready_ids:
            self.breaches.append(
                f"{lead.record.id} serves although members were never ready: "
                f"{unready_ids}"
            )

    def configure(self, configuration: routing_model.Configuration) -> None:
        """Writes a configuration to the store, as an operator does."""
        self.store.put(
            wire.Field.OPERATOR_TABLE,
            wire.Field.CONFIGURATION_KEY,
            encode.configuration(configuration),
        )

    def restore(self, copy: StoreCopy) -> None:
        """Restores the store; engines write again what it lost of theirs."""
        self.store.restore(copy)
        self._written_rows = {
            key: data
            for (table, key), (data, _) in copy.rows.items()
            if table == wire.Field.ENGINES_TABLE
        }

    async def stop(self) -> None:
        """Stops the engines, and closes all listeners and connections."""
        if self._task is not None:
            self._task.cancel()
        for restart in self._restarts:
            restart.cancel()
        for listener in self.listeners:
            listener.close()
            _abort_connections(listener)

    async def _listen(self, app: Any, address: str) -> serving.HttpListener:
        listener = serving.HttpListener(app, address, _IDLE_TIMEOUT_S)
        listener.owner.memory.max_bytes = _MAX_CALLER_BYTES
        await listener.listen()
        self.listeners.append(listener)
        return listener

    async def _run(self) -> None:
        while True:
            try:
                self.fabric.advance(time.monotonic())
            except fabric_lib.FabricInvariantError as error:
                self.breaches.append(str(error))
            self._write_rows()
            await asyncio.sleep(_TICK_S)

    def _write_rows(self) -> None:
        rows = {
            record.id: encode.engine_row(record)
            for record in self.fabric.rows()
        }
        for name, data in rows.items():
            if self._written_rows.get(name) != data:
                self.store.put(wire.Field.ENGINES_TABLE, name, data)
        for name in set(self._written_rows) - set(rows):
            self.store.put(wire.Field.ENGINES_TABLE, name, None)
        self._written_rows = rows
