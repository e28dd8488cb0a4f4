"""An entry instance on the platform: the parts put together, start and stop."""

import asyncio
import os
import pathlib
import random
import signal
import socket
import sys
import time
from collections.abc import Callable
from typing import Any

import aiohttp
import click
import falcon.asgi
import grpc
from returns import pipeline

from tamarackpier import hosted_settings, logs, metrics
from tamarackpier.daemon import (
    beliefs_intake,
    entry_peers,
    evidence,
    front,
    http,
    serving,
    store_watch,
    zones,
)
from tamarackpier.fleet import beliefs
from tamarackpier.peer import roster as roster_lib
from tamarackpier.platform import edge, engines, interfaces, store, wire
from tamarackpier.routing import table
from tamarackpier.traffic import relay
from tamarackpier.wire import entry_pb2_grpc

__all__ = ["Hosted", "create_hosted", "main"]

_SETTINGS_VARIABLE = "TAMARACKPIER_SETTINGS"
_TICK_S = 0.025
_PEER_PERIOD_S = 0.25
_PLAN_PERIOD_S = 0.1
_FANOUT = 8
_PLANNER_GAP_S = 0.05
_FOLLOWER_GAP_S = 0.4  # Each read is priced; a fifth of what drains allow.
_CONFIGURATION_GAP_S = 0.1
_FETCH_PATIENCE_S = 0.3
_ROWS_PATIENCE_S = 0.5  # Without the store, before peers' rows are taken.
_KEEPALIVE_S = 1
_STORE_CONNECTIONS = 16
_INSTANCES_TABLE = "instance"
_MS_PER_S = 1000
# Shares of the grace of a planned stop; the platform kills at its end.
_REFUSE_SHARE = 0.42
_LEAST_STOP_SHARE = 0.5
_MOST_STOP_SHARE = 0.95


class Hosted:
    """One entry instance.

    Attributes:
        settings: Its settings.
        metrics: Counters and latencies.
        fleet: What is known of engines.
        relay: Runs requests.
        roster: The peers.
        is_leaving: Whether a planned stop has begun.
    """

    def __init__(
        self,
        settings: hosted_settings.HostedSettings,
        gateway: engines.HttpGateway,
        rows: store.RowStore,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.settings = settings
        self.gateway = gateway
        self.rows = rows
        self.rng = rng
        self.clock = clock
        self.metrics = metrics.Metrics()
        self.fleet = beliefs.Fleet()
        self.is_leaving = False
        self.keepers: dict[str, zones.ZoneKeeper] = {}
        self._tasks: list[asyncio.Task[Any]] = []
        self._next_round = 0.0
        self._enlisted = 0
        self._next_plan = 0.0
        self._behind_since: float | None = None
        self._fetching: asyncio.Task[None] | None = None
        self._fetching_engines: asyncio.Task[None] | None = None
        self._build_requests()
        self._build_peers(int(wall() * _MS_PER_S))
        self._build_followers()
        self._build_listeners()

    def _build_requests(self) -> None:
        bounds = self.settings.bounds
        self.relay = relay.Relay(
            relay.RelaySettings(
                self.settings.instance.availability_zone,
                bounds.retry_ratio,
                bounds.retry_extra,
                bounds.retry_window_s,
            ),
            self.fleet,
            self.gateway,
            self.metrics,
            self.rng,
            self.clock,
        )
        self.prober = evidence.Prober(
            self.fleet,
            self.gateway,
            self.relay.flights,
            self.metrics,
            self.clock,
        )
        self.relay.on_trouble = self.prober.attempt_failed

    def _build_peers(self, incarnation: int) -> None:
        instance = self.settings.instance
        listen = self.settings.listen
        port = listen.first_internal_port
        self.roster = roster_lib.Roster(
            roster_lib.Presence(
                instance.id,
                incarnation,
                0,
                instance.availability_zone,
                listen.callers,
                f"{instance.ip}:{port}",
                False,
                False,
            )
        )
        self.configuration = beliefs_intake.ConfigurationIntake(
            self._use, self.metrics, self.relay.invariants, self.clock
        )
        self.book = entry_peers.StatusBook(
            self.roster,
            self.relay,
            self.fleet,
            self.prober,
            lambda: self.configuration.version,
            lambda: self.engine_intake.version,
            lambda: [
                zone for zone, each in self.keepers.items() if each.is_holding
            ],
            self.clock,
        )
        # Contacts name another service of the same instances; ports are the
        # same on all of them.
        contacts = tuple(
            f"{each.rpartition(':')[0]}:{port}" for each in listen.contacts
        )
        self.peers = entry_peers.EntryPeers(
            self.book,
            contacts,
            _FANOUT,
            self.metrics,
            self.clock,
            self.rng.shuffle,
        )
        self.prober.on_suspended = lambda suspension: self.peers.round()

    def _build_followers(self) -> None:
        self.engine_intake = beliefs_intake.EngineIntake(
            self.fleet, self._on_engines, self.metrics, self.clock
        )
        self.relay.rows_read_at = lambda: self.followers[1].read_at
        self.followers = (
            store_watch.TableFollower(
                wire.Field.OPERATOR_TABLE,
                self.rows,
                self.configuration.rows,
                self.configuration.rows,
                lambda: None,
                lambda: _CONFIGURATION_GAP_S,
                self.metrics,
                self.rng,
                self.clock,
            ),
            store_watch.TableFollower(
                wire.Field.ENGINES_TABLE,
                self.rows,
                self.engine_intake.snapshot,
                self.engine_intake.changes,
                lambda: self.fleet.store_returned(self.clock()),
                self._engine_gap_s,
                self.metrics,
                self.rng,
                self.clock,
            ),
        )

    def _build_listeners(self) -> None:
        listen = self.settings.listen
        instance = self.settings.instance
        self.front = front.Front(self.relay, self.metrics, self.clock)
        self.front_listener = serving.HttpListener(
            self.front, listen.callers, 60.0
        )
        metrics_port = listen.first_internal_port + 1
        self.listeners = (
            self.front_listener,
            serving.HttpListener(_ready_app(self), listen.readiness, 60.0),
            serving.HttpListener(_address_app(self), listen.addresses, 60.0),
            serving.HttpListener(
                _metrics_app(self), f"{instance.ip}:{metrics_port}", 60.0
            ),
        )

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        return (
            self.configuration.routing is not None
            and self.engine_intake.is_loaded
            and not self.is_leaving
        )

    async def start(self) -> None:
        """Opens the listeners and starts the periodic work."""
        for listener in self.listeners:
            await listener.listen()
        self.peer_server = grpc.aio.server()
        entry_pb2_grpc.add_EntryServicer_to_server(
            entry_peers.EntryService(
                self.book,
                lambda: self.configuration.data,
                lambda: self.engine_intake.rows,
            ),
            self.peer_server,
        )
        self.peer_server.add_insecure_port(self.roster.own.peer_address)
        await self.peer_server.start()
        for follower in self.followers:
            self._tasks.append(asyncio.ensure_future(follower.run()))
        self._tasks.append(asyncio.ensure_future(self._enlist()))
        self._tasks.append(asyncio.ensure_future(self._run_ticks()))
        logs.event(
            "started",
            callers=self.settings.listen.callers,
            incarnation=self.roster.own.incarnation,
        )

    async def leave(self) -> None:
        """Stops gracefully: callers are led elsewhere, nothing is cut off."""
        grace_s = self.settings.bounds.stop_grace_s
        started_at = self.clock()
        self.is_leaving = True
        self.front.state.closes = True
        self.peers.round()
        logs.event("leaving", in_flight=self.relay.in_flight)
        await asyncio.gather(
            *(each.give_up() for each in self.keepers.values())
        )
        while True:
            await asyncio.sleep(_TICK_S)
            share = (self.clock() - started_at) / grace_s
            if share > _REFUSE_SHARE:
                self.front.state.refuses = True
            is_idle = self.relay.in_flight == 0
            if share > _MOST_STOP_SHARE:
                break
            if share > _LEAST_STOP_SHARE and is_idle:
                break
        logs.event(
            "stopped",
            cut_off=self.relay.in_flight,
            took_s=round(self.clock() - started_at, 3),
        )

    async def close(self) -> None:
        """Ends all work."""
        for listener in self.listeners:
            listener.close()
            listener.close_idle()
        for task in self._tasks:
            task.cancel()
        await self.peers.close()
        await self.peer_server.stop(0)

    def reload(self, settings: hosted_settings.HostedSettings) -> None:
        """Takes the bounds of changed settings into force."""
        self.settings = settings
        bounds = settings.bounds
        self.relay.settings = relay.RelaySettings(
            self.relay.settings.availability_zone,
            bounds.retry_ratio,
            bounds.retry_extra,
            bounds.retry_window_s,
        )
        self.relay.budgets.clear()
        logs.event("reloaded")

    def _use(self, routing: table.Routing) -> None:
        self.relay.use(routing)
        limits = routing.configuration.limits
        self.front_listener.use_limits(
            limits.header_bytes, limits.idle_timeout_s
        )

    def _engine_gap_s(self) -> float:
        is_planner = any(each.is_holding for each in self.keepers.values())
        return _PLANNER_GAP_S if is_planner else _FOLLOWER_GAP_S

    def _on_engines(self) -> None:
        """Gives each zone with model engines a keeper, and lets them plan."""
        routing = self.configuration.routing
        if routing is None:
            return
        wanted = {
            each.availability_zone
            for each in self.fleet.engines.values()
            if self.relay.spec(each.service) is not None
        }
        for zone in wanted - set(self.keepers):
            self.keepers[zone] = zones.ZoneKeeper(
                zone,
                self.rows,
                self.fleet,
                self.gateway,
                self.prober,
                self.roster,
                lambda: self.configuration.routing,
                lambda: len(self.keepers),
                lambda: self.relay.running_by_model(),
                self.metrics,
                self.clock,
            )
        for keeper in self.keepers.values():
            if keeper.is_holding:
                keeper.plan()

    async def _run_ticks(self) -> None:
        while True:
            self.tick()
            await asyncio.sleep(_TICK_S)

    def tick(self) -> None:
        """Does what is due now."""
        now = self.clock()
        self.prober.watch()
        gone = self.fleet.expire(now)
        if gone:
            logs.event("engines gone", engines=gone)
        if now >= self._next_plan:
            self._next_plan = now + _PLAN_PERIOD_S
            self._on_engines()
            claimed = self.book.claimed_zones()
            for keeper in self.keepers.values():
                keeper.tick(claimed)
        if now >= self._next_round:
            self._next_round = now + _PEER_PERIOD_S
            self._round(now)

    def _round(self, now: float) -> None:
        self.roster.beat(self.is_ready, self.is_leaving)
        self.roster.expire(now)
        if self._enlisted:
            live = 1 + len(self.roster.live(now))
            self.relay.instances = max(live, self._enlisted)
        self.relay.replica_loads.expire(now)
        self.relay.engine_loads.expire(now)
        self.relay.flights.expire(set(self.fleet.replicas()))
        self.relay.scores.keep_only(set(self.fleet.engines))
        self.peers.round()
        self._catch_up(now)
        self._catch_up_engines(now)

    def _catch_up(self, now: float) -> None:
        """Fetches the configuration from a peer that stays ahead."""
        if self.book.ahead(self.configuration.version) is None:
            self._behind_since = None
            return
        if self._behind_since is None:
            self._behind_since = now
        is_first = self.configuration.routing is None
        if not is_first and now - self._behind_since < _FETCH_PATIENCE_S:
            return
        if self._fetching is None or self._fetching.done():
            self._fetching = asyncio.ensure_future(self._fetch())

    def _catch_up_engines(self, now: float) -> None:
        """Takes engines' rows from a peer while the store turns us away."""
        follower = self.followers[1]
        is_late = now - follower.read_at > _ROWS_PATIENCE_S
        if not (follower.is_lost and is_late):
            return
        if self._fetching_engines is None or self._fetching_engines.done():
            self._fetching_engines = asyncio.ensure_future(
                self._fetch_engines()
            )

    async def _fetch_engines(self) -> None:
        version = self.engine_intake.version
        name = self.book.ahead_in_engines(version)
        if name is None:
            return
        found = await self.peers.fetch_engines(name, version)
        if not pipeline.is_successful(found):
            self.metrics.count("fetch_error", found.failure().code.name)
            return
        changes = found.unwrap()
        if changes.rows and changes.version > self.engine_intake.version:
            self.metrics.count("engines_from_peer")
            self.engine_intake.snapshot(changes)

    async def _fetch(self) -> None:
        name = self.book.ahead(self.configuration.version)
        if name is None:
            return
        found = await self.peers.fetch(name)
        if not pipeline.is_successful(found):
            self.metrics.count("fetch_error", found.failure().code.name)
        elif found.unwrap():
            self.configuration.offer(found.unwrap(), f"peer {name}")

    async def _enlist(self) -> None:
        """Makes this instance known in the store and reads who else is."""
        own = self.roster.own
        key = f"{_INSTANCES_TABLE}/{own.id}"
        value = {"peer_address": own.peer_address}
        write = interfaces.Transaction((), (interfaces.Write(key, value),))
        while True:
            done = await self.rows.transact(write)
            found = await self.rows.scan(f"{_INSTANCES_TABLE}/")
            if pipeline.is_successful(done) and pipeline.is_successful(found):
                break
            await asyncio.sleep(self.rng.uniform(0.2, 0.6))
        self._enlisted = len(found.unwrap())
        self.peers.contacts = tuple(
            {
                *self.peers.contacts,
                *(
                    str(row.value["peer_address"])
                    for row in found.unwrap().values()
                    if row.value
                ),
            }
        )


def _ready_app(hosted: Hosted) -> Any:
    class Readiness:
        async def on_get(
            self,
            request: falcon.asgi.Request,
            response: falcon.asgi.Response,
        ) -> None:
            response.status = 200 if hosted.is_ready else 503

    app = falcon.asgi.App()
    app.add_route(edge.READY_PATH, Readiness())
    return app


def _address_app(hosted: Hosted) -> Any:
    class Addresses:
        async def on_get(
            self,
            request: falcon.asgi.Request,
            response: falcon.asgi.Response,
        ) -> None:
            found = hosted.roster.caller_addresses(hosted.clock())
            if not found:
                response.status = 503
                return
            keep_s = hosted.settings.bounds.address_keep_s
            http.write_json(response, edge.address_answer(found, keep_s))

    app = falcon.asgi.App()
    app.add_route(edge.RESOLVE_PATH, Addresses())
    return app


def _metrics_app(hosted: Hosted) -> Any:
    class Metrics:
        async def on_get(
            self,
            request: falcon.asgi.Request,
            response: falcon.asgi.Response,
        ) -> None:
            hosted.metrics.gauge("in_flight", hosted.relay.in_flight)
            hosted.metrics.gauge(
                "configuration_version", hosted.configuration.version
            )
            hosted.metrics.gauge("store_calls", hosted.rows.calls)
            hosted.metrics.gauge("probes", hosted.gateway.probes)
            checks = hosted.relay.invariants
            for name, count in checks.checks.items():
                broken = checks.breaches[name]
                hosted.metrics.gauge(f"invariant_checked_{name}", count)
                hosted.metrics.gauge(f"invariant_broken_{name}", broken)
            response.content_type = "text/plain; version=0.0.4"
            response.text = hosted.metrics.text()

    app = falcon.asgi.App()
    app.add_route("/metrics", Metrics())
    return app


def _store_socket(info: aiohttp.AddrInfoType) -> socket.socket:
    """Returns a socket that notices a silent connection by itself."""
    family, kind, protocol, _, _ = info
    found = socket.socket(family, kind, protocol)
    found.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    found.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_S)
    found.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_S)
    found.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
    found.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2 * _MS_PER_S)
    return found


def create_hosted(
    settings: hosted_settings.HostedSettings,
    store_session: aiohttp.ClientSession,
    engine_session: aiohttp.ClientSession,
) -> Hosted:
    """Returns an entry instance on the platform."""
    return Hosted(
        settings,
        engines.HttpGateway(engine_session),
        store.RowStore(
            store_session, settings.store.address, settings.store.timeout_s
        ),
        random.Random(),
    )


async def _serve(path: pathlib.Path) -> None:
    settings = _load(path)
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, stop.set)
    store_session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=_STORE_CONNECTIONS, socket_factory=_store_socket
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
    )
    async with store_session, engines.create_session() as engine_session:
        hosted = create_hosted(settings, store_session, engine_session)

        def reload() -> None:
            found = hosted_settings.load(path)
            if pipeline.is_successful(found):
                hosted.reload(found.unwrap())
            else:
                logs.event("settings refused", faults=str(found.failure()))

        loop.add_signal_handler(signal.SIGHUP, reload)
        await hosted.start()
        await stop.wait()
        await hosted.leave()
        await hosted.close()
    logs.flush()


def _load(path: pathlib.Path) -> hosted_settings.HostedSettings:
    loaded = hosted_settings.load(path)
    if not pipeline.is_successful(loaded):
        faults = loaded.failure()
        for fault in faults:
            click.echo(str(fault), err=True)
        sys.exit(faults[0].code.exit_status)
    return loaded.unwrap()


@click.command()
@click.option(
    "--settings",
    "path",
    type=click.Path(path_type=pathlib.Path),
    help=f"INI file with the settings; else what ${_SETTINGS_VARIABLE} names.",
)
@click.option(
    "--check-settings", is_flag=True, help="Check the settings and stop."
)
def main(path: pathlib.Path | None, check_settings: bool) -> None:
    """Serves one entry instance on the platform until SIGTERM."""
    named = path or pathlib.Path(os.environ.get(_SETTINGS_VARIABLE, ""))
    settings = _load(named)
    if check_settings:
        click.echo(f"{named}: settings are good")
        return
    logs.configure(settings.instance.id, settings.instance.log_level)
    asyncio.run(_serve(named))


if __name__ == "__main__":
    main()
