"""An entry instance on the platform: the parts put together, start and stop."""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any

import aiohttp
import grpc
from absl import logging
from returns import pipeline

from tamarackpier import hosted_settings, logs, metrics
from tamarackpier.daemon import (
    caller_app,
    catch_up,
    entry_peers,
    hosted_apps,
    peer_status,
    probing,
    row_cache,
    row_source,
    serving,
    store_watch,
    zone_controller,
)
from tamarackpier.fleet import beliefs
from tamarackpier.peer import roster as roster_lib
from tamarackpier.platform import engines, interfaces, store, wire
from tamarackpier.routing import table
from tamarackpier.traffic import factory, relay, stopping
from tamarackpier.wire import entry_pb2_grpc

__all__ = ["HostedInstance", "create_instance"]

_TICK_S = 0.025
_PEER_PERIOD_S = 0.25
_PLAN_PERIOD_S = 0.1
_PLANNER_GAP_S = 0.05
_FOLLOWER_GAP_S = 0.4  # Each read is priced; a fifth of what drains allow.
_PEER_GAP_S = 0.1  # Rows that change meanwhile come in one message.
_CONFIGURATION_GAP_S = 0.1
_INSTANCES_TABLE = "instance"
_ROWS_DOUBTER = "engines' rows"
_MS_PER_S = 1000


class HostedInstance:
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
        self.zone_controllers: dict[str, zone_controller.ZoneController] = {}
        self._tasks: list[asyncio.Task[Any]] = []
        self._next_round = 0.0
        self._enlisted = 0
        self._next_plan = 0.0
        self._build_requests()
        self._build_peers(int(wall() * _MS_PER_S))
        self._build_followers()
        self._build_listeners()

    def _build_requests(self) -> None:
        bounds = self.settings.bounds
        self.relay = factory.create_relay(
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
        self.prober = probing.Prober(
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
        self.configuration = row_cache.ConfigurationCache(
            self._use, self.metrics, self.relay.invariants, self.clock
        )
        self.statuses = peer_status.PeerStatuses(
            self.roster,
            self.relay,
            self.fleet,
            self.prober,
            lambda: self.configuration.version,
            lambda: self.engine_intake.version,
            lambda: [
                each
                for each in self.zone_controllers.values()
                if each.is_planning
            ],
            self.clock,
        )
        # Contacts name another service of the same instances; ports are the
        # same on all of them.
        contacts = tuple(
            f"{each.rpartition(':')[0]}:{port}" for each in listen.contacts
        )
        self.peers = entry_peers.EntryPeers(
            self.statuses,
            contacts,
            self.metrics,
            self.clock,
            self.rng,
        )
        self.prober.on_suspended = lambda suspension: self.peers.round(
            is_urgent=True
        )

    def _build_followers(self) -> None:
        self.engine_intake = row_cache.EngineRowCache(
            self.fleet, self._on_engines, self.metrics, self.clock
        )
        self.relay.rows_read_at = lambda: self.followers[1].read_at
        self.row_source = row_source.RowSource(
            self.rows,
            self.peers,
            self.roster,
            self._reads_store,
            lambda: self.engine_intake.version,
            self.statuses.newest_engines_version,
            self.metrics,
            self.clock,
        )
        self.followers = (
            store_watch.TableFollower(
                wire.Field.OPERATOR_TABLE,
                self.rows,
                self.configuration.rows,
                self.configuration.rows,
                lambda: None,
                lambda: None,
                lambda: _CONFIGURATION_GAP_S,
                self.metrics,
                self.rng,
                self.clock,
            ),
            store_watch.TableFollower(
                wire.Field.ENGINES_TABLE,
                self.row_source,
                self.engine_intake.snapshot,
                self.engine_intake.changes,
                self._rows_lost,
                lambda: self.fleet.store_returned(_ROWS_DOUBTER, self.clock()),
                self._engine_gap_s,
                self.metrics,
                self.rng,
                self.clock,
            ),
        )
        self.catch_up = catch_up.CatchUp(
            self.statuses,
            self.peers,
            self.configuration,
            self.engine_intake,
            self.followers[1],
            self.metrics,
        )

    def _build_listeners(self) -> None:
        listen = self.settings.listen
        instance = self.settings.instance
        self.caller_app = caller_app.CallerApp(
            self.relay, self.metrics, self.clock
        )
        self.caller_listener = serving.HttpListener(
            self.caller_app, listen.callers, 60.0
        )
        metrics_port = listen.first_internal_port + 1
        self.listeners = (
            self.caller_listener,
            serving.HttpListener(
                hosted_apps.ready_app(lambda: self.is_ready),
                listen.readiness,
                60.0,
            ),
            serving.HttpListener(
                hosted_apps.address_app(self.addresses, self.address_keep_s),
                listen.addresses,
                60.0,
            ),
            serving.HttpListener(
                hosted_apps.metrics_app(self.metrics_text),
                f"{instance.ip}:{metrics_port}",
                60.0,
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

    def addresses(self) -> list[str]:
        """Returns where callers may connect."""
        return self.roster.caller_addresses(self.clock())

    def address_keep_s(self) -> float:
        """Returns how long callers may keep an address."""
        return self.settings.bounds.address_keep_s

    def metrics_text(self) -> str:
        """Returns all counters and latencies as text."""
        gauges = {
            "in_flight": self.relay.in_flight,
            "configuration_version": self.configuration.version,
            "store_calls": self.rows.calls,
            "probes": self.gateway.probes,
        }
        checks = self.relay.invariants
        for name, count in checks.checks.items():
            gauges[f"invariant_checked_{name}"] = count
            gauges[f"invariant_broken_{name}"] = checks.breaches[name]
        for name, value in gauges.items():
            self.metrics.gauge(name, value)
        return self.metrics.text()

    async def start(self) -> None:
        """Opens the listeners and starts the periodic work."""
        for listener in self.listeners:
            await listener.listen()
        self.peer_server = grpc.aio.server()
        entry_pb2_grpc.add_EntryServicer_to_server(
            entry_peers.EntryService(
                self.statuses,
                self.configuration,
                self.engine_intake,
                lambda: self.fleet.is_doubtful(self.clock()),
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
        self.caller_app.state.closes_connections = True
        self.roster.beat(self.is_ready, self.is_leaving)
        self.peers.round(is_urgent=True)
        logs.event("leaving", in_flight=self.relay.in_flight)
        await asyncio.gather(
            *(each.release() for each in self.zone_controllers.values())
        )
        phase = stopping.StopPhase.SERVES
        while phase is not stopping.StopPhase.ENDS:
            await asyncio.sleep(_TICK_S)
            phase = stopping.stop_phase(
                self.clock() - started_at, grace_s, self.relay.in_flight
            )
            if phase is not stopping.StopPhase.SERVES:
                self.caller_app.state.refuses_requests = True
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
        self.caller_listener.set_limits(
            limits.header_bytes, limits.idle_timeout_s
        )

    def _reads_store(self) -> bool:
        """Returns whether this instance reads engines' rows in the store."""
        return any(each.is_planning for each in self.zone_controllers.values())

    def _rows_lost(self) -> None:
        self.fleet.store_lost(_ROWS_DOUBTER)
        self.engine_intake.notify_waiters()

    def _engine_gap_s(self) -> float:
        if self._reads_store():
            return _PLANNER_GAP_S
        if self.row_source.parent() is not None:
            return _PEER_GAP_S
        return _FOLLOWER_GAP_S

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
        for zone in wanted - set(self.zone_controllers):
            self.zone_controllers[zone] = zone_controller.ZoneController(
                zone,
                self.rows,
                self.fleet,
                self.gateway,
                self.prober,
                self.roster,
                lambda: self.configuration.routing,
                lambda: len(self.zone_controllers),
                lambda: self.relay.running_by_model(),
                self.metrics,
                self.clock,
            )
        for keeper in self.zone_controllers.values():
            if keeper.is_planning:
                keeper.plan()

    async def _run_ticks(self) -> None:
        while True:
            try:
                self.tick()
            except Exception:
                # The instance goes on serving; the next tick tries again.
                self.metrics.count("loop_error", "tick")
                logging.exception("a tick failed")
            await asyncio.sleep(_TICK_S)

    def tick(self) -> None:
        """Does what is due now."""
        now = self.clock()
        self.prober.probe_silent_replicas()
        gone = self.fleet.expire(now)
        if gone:
            logs.event("engines gone", engines=gone)
        if now >= self._next_plan:
            self._next_plan = now + _PLAN_PERIOD_S
            self._on_engines()
            claims = self.statuses.zone_claims()
            for keeper in self.zone_controllers.values():
                keeper.tick(claims)
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
        self.statuses.expire()
        self.peers.round()
        self.catch_up.tick(now)

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


def create_instance(
    settings: hosted_settings.HostedSettings,
    store_session: aiohttp.ClientSession,
    engine_session: aiohttp.ClientSession,
) -> HostedInstance:
    """Returns an entry instance on the platform."""
    return HostedInstance(
        settings,
        engines.HttpGateway(engine_session),
        store.RowStore(
            store_session, settings.store.address, settings.store.timeout_s
        ),
        random.Random(),
    )
