"""An entry instance on the platform: its components, start and stop."""

import asyncio
import dataclasses
import random
import time
from collections.abc import Callable
from typing import Any

import aiohttp
from absl import logging

from tamarackpier import features, hosted_settings, logs, metrics
from tamarackpier.daemon import (
    caller_app,
    carriage,
    catch_up,
    crash_checks,
    entry_peers,
    evacuation_updates,
    hosted_apps,
    link_checks,
    linked_gateway,
    loops,
    peer_status,
    poll_waits,
    probing,
    quarantine_store,
    registration,
    relay_settings,
    row_cache,
    row_source,
    store_contact,
    store_outages,
    store_watch,
    zone_controller,
)
from tamarackpier.fleet import fleet_view, model
from tamarackpier.peer import isolation, membership, propagation, pulls
from tamarackpier.peer import roster as roster_lib
from tamarackpier.platform import contracts, engines, interfaces, store, wire
from tamarackpier.routing import table
from tamarackpier.traffic import (
    caller_connection,
    cold_limits,
    factory,
    rate_limits,
    reach,
    stopping,
)
from tamarackpier.wire import carriage_pb2_grpc, entry_pb2_grpc

__all__ = ["HostedInstance", "create_instance"]

_TICK_S = 0.025
_PEER_ROUND_PERIOD_S = 0.25
_PLAN_PERIOD_S = 0.1
_QUARANTINE_PERIOD_S = 0.1
# Time after its start in which an instance learns of its peers, if it has any.
_PEERS_KNOWN_S = 10.0
_PLANNER_READ_INTERVAL_S = 0.05
# Reads of the store are charged. This is a fifth of the time in which an
# instance must learn that an engine drains.
_FOLLOWER_READ_INTERVAL_S = 0.4
_PEER_READ_INTERVAL_S = 0.1  # Batches the rows that change meanwhile.
_CONFIGURATION_READ_INTERVAL_S = 0.1
_MS_PER_S = 1000


class HostedInstance:
    """One entry instance.

    Attributes:
        settings: Settings of the instance.
        metrics: Counters and latencies.
        fleet: The local view of engines.
        features: Parts of the product that the deployment asks for.
        relay: Runs requests.
        roster: The known instances.
        is_leaving: Whether a planned stop has begun.
    """

    def __init__(
        self,
        settings: hosted_settings.HostedSettings,
        gateway: engines.HttpGateway,
        rows: store.RowStore,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.settings = settings
        self.gateway = gateway
        self.rows = rows
        self.rng = rng
        self.clock = clock
        self.metrics = metrics.Metrics()
        self.fleet = fleet_view.FleetView(settings.bounds.drain_ms / _MS_PER_S)
        self.fleet.evacuations.is_in_force = settings.bounds.evacuate_ms > 0
        self.features = contracts.features(settings.instance.contracts)
        self.is_leaving = False
        self.zone_controllers: dict[str, zone_controller.ZoneController] = {}
        self._tasks: list[asyncio.Task[Any]] = []
        self._next_peer_round_at = 0.0
        self._next_plan_at = 0.0
        self._build_request_path()
        self._build_peer_exchange(int(wall_clock() * _MS_PER_S))
        self.crash_checker = crash_checks.CrashChecker(
            self.relay.crash_watch,
            self.fleet,
            self.prober,
            self.clock,
        )
        self.quarantine_store = quarantine_store.QuarantineStore(
            self.relay.quarantine,
            self.rows,
            self.metrics,
            self.clock,
            wall_clock,
        )
        self.quarantine_store.found_deaths = self.relay.crash_watch.deaths.keys
        self.relay.knows_suspects = lambda: (
            self.quarantine_store.was_loaded or bool(self.statuses.states)
        )
        self.relay.crash_watch.on_repeated = lambda: self.peers.start_exchanges(
            is_urgent=True
        )
        self._build_followers()
        self._build_listeners()
        self.rows.on_restored = self._on_store_restored
        self.rows.on_answered = self.store_outages.record_answer
        self.rows.on_failed = self.store_outages.record_failure

    def _build_request_path(self) -> None:
        self.reach = reach.Reach()
        self.peer_engines = carriage.PeerEngines(
            lambda: self.statuses.peers_with_links(),
            lambda peer_id: self.statuses.requests_in_flight(peer_id),
            self.settings.instance.availability_zone,
            self.metrics,
            self.rng,
        )
        self.linked_gateway = linked_gateway.LinkedGateway(
            self.gateway, self.peer_engines, self.reach, self.clock
        )
        self.relay = factory.create_relay(
            relay_settings.create(self.settings),
            self.fleet,
            self.linked_gateway,
            self.metrics,
            self.rng,
            self.clock,
        )
        self.prober = probing.Prober(
            self.fleet,
            self.linked_gateway,
            self.relay.streams,
            self.metrics,
            self.clock,
        )
        self.relay.limits.cold_limit = self._cold_limit
        self.gateway.on_cold = self._on_cold
        self.relay.quarantine.may_try = self._may_try
        self.relay.on_attempt_failed = self.prober.probe_after_failure
        self.relay.is_doubted = self.prober.is_doubted

    def _build_peer_exchange(self, incarnation: int) -> None:
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
            self._apply_routing, self.metrics, self.relay.invariants, self.clock
        )
        self.evacuations = evacuation_updates.EvacuationUpdates(
            self.fleet, self.metrics, self.clock
        )
        self.evacuations.on_change = self._on_evacuations_changed
        self.configuration.on_snapshot = self.evacuations.apply_snapshot
        self.configuration.on_changes = self.evacuations.apply_changes
        self.statuses = peer_status.PeerStatuses(
            self.roster,
            self.relay,
            self.fleet,
            self.prober,
            lambda: self.configuration.version,
            lambda: self.engine_rows.version,
            lambda: [
                controller
                for controller in self.zone_controllers.values()
                if controller.is_planning
            ],
            self.clock,
        )
        self.statuses.loads.sends_offered = bool(
            self.features
            & {features.Feature.ADMISSION, features.Feature.OFFERED_LOAD}
        )
        # The contacts in the settings name another port of the instances. All
        # instances serve their peers on the same port.
        contacts = tuple(
            f"{contact.rpartition(':')[0]}:{port}"
            for contact in listen.contacts
        )
        self.peers = entry_peers.EntryPeers(
            self.statuses,
            contacts,
            self.metrics,
            self.clock,
            self.rng,
        )
        self.prober.on_suspended = lambda suspension: (
            self.peers.start_exchanges(is_urgent=True)
        )
        self.prober.on_suspension_ended = lambda key: (
            self.peers.start_exchanges(is_urgent=True)
        )
        self.registration = registration.Registration(
            self.roster.own_presence,
            self.rows,
            self.rng,
            self._add_contacts,
        )
        self.statuses.on_evacuations = self.evacuations.receive
        self.statuses.has_links = lambda: not self.reach.is_cut
        self.link_checker = link_checks.LinkChecker(
            self.reach,
            self.fleet,
            self.gateway,
            self.peer_engines,
            self.metrics,
            self.clock,
            self.rng,
        )
        self.link_checker.on_changed = self._on_links_changed
        self.prober.confirm_links = self.link_checker.confirm_links
        self.prober.links_lost_at = lambda: (
            self.reach.changed_at if self.reach.is_cut else None
        )
        self.carriage = carriage.CarriageService(
            self.fleet,
            self.gateway,
            self.link_checker.confirm_links,
            lambda: not self.reach.is_cut and not self.is_leaving,
            self.metrics,
            self.clock,
        )
        self.carriage.wait_s = lambda engine: self.relay.waits.wait_s(
            engine, self.clock()
        )
        self.carriage.record_wait = self.relay.record_wait

    def _build_followers(self) -> None:
        own = self.roster.own_presence
        self.store_outages = store_outages.StoreOutages(
            store_contact.StoreContact(
                peer_status.incarnation_hash(own.id, own.incarnation)
            ),
            self.fleet,
            self.metrics,
            self.clock,
        )
        self.store_outages.on_returned = lambda: self.peers.start_exchanges(
            is_urgent=True
        )
        self.statuses.return_to_tell = self.store_outages.return_to_tell
        self.statuses.on_return = self.store_outages.receive_return
        self.statuses.service_to_tell = self.store_outages.service_to_tell
        self.statuses.on_service = self.store_outages.contact.record_service
        self.engine_rows = row_cache.EngineRowCache(
            self.fleet, self._plan_zones, self.metrics, self.clock
        )
        self.relay.rows_read = lambda: model.RowsRead(
            self.followers[1].read_at,
            self.engine_rows.version,
            self.row_source.source,
        )
        missing_change = pulls.MissingVersion(
            self.statuses.newest_engines_change,
            lambda: self.engine_rows.version,
            self.clock,
        )
        self.row_source = row_source.RowSource(
            self.rows,
            self.peers,
            self.roster,
            self._is_planning,
            missing_change,
            self._propagation_times,
            self.metrics,
            self.clock,
        )
        self.engine_rows.logs_rows = lambda: (
            self._is_planning() or self.row_source.reads_store
        )
        self.row_source.on_configuration = lambda data, peer_id: (
            self.configuration.apply(data, f"peer {peer_id}")
        )
        self.followers = (
            store_watch.TableFollower(
                wire.Field.OPERATOR_TABLE,
                self.rows,
                self.configuration.apply_snapshot,
                self.configuration.apply_rows,
                lambda: None,
                lambda: None,
                lambda: _CONFIGURATION_READ_INTERVAL_S,
                self.metrics,
                self.rng,
                self.clock,
            ),
            store_watch.TableFollower(
                wire.Field.ENGINES_TABLE,
                self.row_source,
                self.engine_rows.apply_snapshot,
                self.engine_rows.apply_changes,
                self._on_rows_lost,
                self.store_outages.mark_rows_returned,
                self._engine_read_interval_s,
                self.metrics,
                self.rng,
                self.clock,
            ),
        )
        self.store_outages.followers = self.followers
        waits = poll_waits.PollWaits(
            self.roster, lambda: self.settings.bounds, self.clock
        )
        self.followers[0].max_wait_s = waits.max_operator_wait_s
        self.followers[1].max_wait_s = waits.max_wait_s
        for follower in self.followers:
            follower.max_backoff_s = waits.max_backoff_s
        self.followers[0].is_covered = lambda: (
            self.configuration.version > 0
            and self.row_source.passes_configuration
        )
        self.catch_up = catch_up.CatchUp(
            self.statuses,
            self.peers,
            self.configuration,
            self.engine_rows,
            self.followers[1],
            self.followers[0],
            missing_change,
            self.metrics,
            self._propagation_times,
            self.rng,
            self.clock,
        )
        self.statuses.engines_change = lambda: self.engine_rows.change_version
        self.catch_up.reads_store = lambda: self.row_source.reads_store
        self.catch_up.is_store_away = lambda: (
            self.store_outages.contact.away_since is not None
        )
        self.relay.may_be_outdated = self._may_be_outdated
        self.statuses.on_news = lambda: self.catch_up.note_news(self.clock())
        self.entry_service = entry_peers.EntryService(
            self.statuses,
            self.configuration,
            self.engine_rows,
            lambda: (
                self.fleet.may_be_stale(self.clock())
                or self.followers[0].is_lost
            ),
        )
        self.entry_service.has_updates = self.evacuations.is_recent
        self.entry_service.evacuations = self.evacuations.to_send

    def _build_listeners(self) -> None:
        self.caller_app = caller_app.CallerApp(
            self.relay, self.metrics, self.clock
        )
        self.listeners = hosted_apps.create_listeners(
            self.settings,
            self.caller_app,
            lambda: self.is_ready,
            self.addresses,
            self.address_keep_s,
            self.metrics_text,
            self.metrics,
        )
        self.caller_listener = self.listeners[0]

    @property
    def is_ready(self) -> bool:
        """Whether callers may be directed to this instance."""
        return (
            self.configuration.routing is not None
            and self.engine_rows.is_loaded
            and not self.is_leaving
        )

    def addresses(self) -> list[str]:
        """Returns the addresses that callers may connect to."""
        return self.roster.caller_addresses(
            self.clock(), self.statuses.instances_without_links()
        )

    def address_keep_s(self) -> float:
        """Returns for how many seconds callers may keep an address."""
        return self.settings.bounds.address_keep_s

    def metrics_text(self) -> str:
        """Returns all metrics as text."""
        gauges = {
            "in_flight": self.relay.in_flight,
            "carrying": self.carriage.running,
            "configuration_version": self.configuration.version,
            "store_calls": self.rows.calls,
            "probes": self.gateway.probes,
            "links_lost": int(self.reach.is_cut),
            "cold_engines": len(self.fleet.cold.engines),
            "evacuated_zones": len(self.fleet.evacuations.zones()),
            "caller_bytes": self.caller_listener.owner.memory.total,
            "processor_seconds": time.process_time(),
        }
        invariants = self.relay.invariants
        for name, count in invariants.checks.items():
            gauges[f"invariant_checked_{name}"] = count
            gauges[f"invariant_broken_{name}"] = invariants.breaches[name]
        phases = self.caller_listener.owner.count_by_phase()
        for name, count in phases.items():
            gauges[f"connections_{name}"] = count
        for name, value in gauges.items():
            self.metrics.gauge(name, value)
        return self.metrics.text()

    async def start(self) -> None:
        """Opens the listeners and starts the background tasks."""
        for listener in self.listeners:
            await listener.listen()
        self.peer_server = carriage.create_server()
        entry_pb2_grpc.add_EntryServicer_to_server(
            self.entry_service, self.peer_server
        )
        carriage_pb2_grpc.add_CarriageServicer_to_server(
            self.carriage, self.peer_server
        )
        self.peer_server.add_insecure_port(
            self.roster.own_presence.peer_address
        )
        await self.peer_server.start()
        self.start_tasks()
        logs.event(
            "started",
            callers=self.settings.listen.callers,
            incarnation=self.roster.own_presence.incarnation,
        )

    def start_tasks(self) -> None:
        """Starts the background tasks, which need no listener."""
        for follower in self.followers:
            self._tasks.append(asyncio.ensure_future(follower.run()))
        quarantine_job = loops.PeriodicJob(
            "quarantine", _QUARANTINE_PERIOD_S, self.quarantine_store.update
        )
        self._tasks.append(
            asyncio.ensure_future(
                loops.run_forever(quarantine_job, self.metrics, self.rng)
            )
        )
        self.registration.start()
        self._tasks.append(asyncio.ensure_future(self._run_ticks()))

    async def leave(self) -> None:
        """Stops gracefully: directs callers to other instances and drains.

        Requests in flight get their final answer before the end of the grace
        period; streams that have begun are cut off, and may be resumed
        elsewhere.
        """
        grace_s = self.settings.bounds.stop_grace_s
        started_at = self.clock()
        self.is_leaving = True
        self.caller_app.closes_connections = True
        self.relay.stop_at(stopping.answer_by(started_at, grace_s))
        self.roster.beat(self.is_ready, self.is_leaving)
        self.peers.start_exchanges(is_urgent=True)
        logs.event("leaving", in_flight=self.relay.in_flight)
        release = asyncio.ensure_future(self._release_zones())
        phase = stopping.StopPhase.SERVES
        while phase is not stopping.StopPhase.ENDS:
            await asyncio.sleep(_TICK_S)
            phase = stopping.stop_phase(
                self.clock() - started_at,
                grace_s,
                self.relay.in_flight
                + self.carriage.running
                + (not release.done()),
            )
            if phase is not stopping.StopPhase.SERVES:
                self.relay.refuses_requests = True
        release.cancel()
        logs.event(
            "stopped",
            cut_off=self.relay.in_flight,
            took_s=round(self.clock() - started_at, 3),
        )

    async def _release_zones(self) -> None:
        """Lets other instances plan the zones that this one plans."""
        outcomes = await asyncio.gather(
            *(
                controller.release()
                for controller in self.zone_controllers.values()
            ),
            return_exceptions=True,
        )
        for outcome in outcomes:
            if isinstance(outcome, Exception):
                self.metrics.count("work_error", "release")
                logging.error("lease not released: %r", outcome)

    async def close(self) -> None:
        """Closes the listeners and cancels all tasks."""
        for listener in self.listeners:
            listener.close()
            listener.close_idle()
        for task in self._tasks:
            task.cancel()
        self.registration.close()
        self.link_checker.close()
        self.prober.close()
        self.crash_checker.close()
        self.catch_up.close()
        for controller in self.zone_controllers.values():
            controller.close()
        await self.peer_engines.close()
        await self.peers.close()
        await self.peer_server.stop(0)

    def reload(self, settings: hosted_settings.HostedSettings) -> None:
        """Applies the bounds of changed settings."""
        self.settings = settings
        self.fleet.evacuations.is_in_force = settings.bounds.evacuate_ms > 0
        self.relay.apply_settings(
            dataclasses.replace(
                relay_settings.create(settings),
                availability_zone=self.relay.settings.availability_zone,
            )
        )
        logs.event("reloaded")

    def _apply_routing(self, routing: table.RoutingTable) -> None:
        self.relay.apply_configuration(routing)
        self.engine_rows.notify_waiters()
        limits = routing.configuration.limits
        self.caller_listener.set_limits(
            limits.header_bytes,
            limits.body_bytes,
            caller_connection.Limits(
                limits.idle_timeout_s,
                limits.header_timeout_s,
                unread_s=self.settings.callers.unread_s,
            ),
        )

    def _is_planning(self) -> bool:
        """Returns whether this instance plans a zone."""
        return any(
            controller.is_planning
            for controller in self.zone_controllers.values()
        )

    def _on_rows_lost(self) -> None:
        self.store_outages.mark_rows_lost()
        self.engine_rows.notify_waiters()

    def _add_contacts(self, addresses: set[str]) -> None:
        self.peers.contacts = tuple({*self.peers.contacts, *addresses})

    def _on_evacuations_changed(self) -> None:
        self.engine_rows.notify_waiters()
        self.peers.start_exchanges(is_urgent=True)

    def _cold_limit(
        self, engine: model.EngineRecord, now: float
    ) -> rate_limits.Limit | None:
        bounds = self.settings.bounds
        return cold_limits.cold_limit(
            self.fleet, bounds.cold_overrun, bounds.cold_slack, engine, now
        )

    def _on_cold(self, engine: model.EngineRecord, left_s: float) -> None:
        """Records that an engine says that it is cold, and tells peers."""
        if self.fleet.cold.record(
            engine.id, engine.incarnation, left_s, self.clock(), is_told=True
        ):
            self.metrics.count("engine_cold", "answer")
            logs.event(
                "engine cold",
                engine=engine.id,
                incarnation=engine.incarnation,
                left_s=left_s,
                source="answer",
            )
            self.peers.start_exchanges(is_urgent=True)

    def _on_links_changed(self) -> None:
        """Tells peers; what failed on lost links says nothing of engines."""
        if self.reach.is_cut:
            self.fleet.silent.clear()
        self.peers.start_exchanges(is_urgent=True)

    def _on_store_restored(self) -> None:
        """Distrusts engine rows and writes again what the store may have lost.

        The rows of the copy may be older.
        """
        logs.event("store restored", era=self.rows.era)
        self.metrics.count("store_restored")
        self.fleet.mark_rows_restored(self.clock())
        self.quarantine_store.forget_stored()
        self.registration.start()

    def _engine_read_interval_s(self) -> float:
        if (
            self.row_source.parent() is not None
            or self.row_source.is_reader_of_large_fleet
        ):
            return _PEER_READ_INTERVAL_S
        if self._is_planning():
            return _PLANNER_READ_INTERVAL_S
        return _FOLLOWER_READ_INTERVAL_S

    def _plan_zones(self) -> None:
        """Creates a controller for each zone with model engines, and plans."""
        routing = self.configuration.routing
        if routing is None:
            return
        zones_to_plan: set[str] = set()
        for service in routing.configuration.services.values():
            if service.engine is not None:
                zones_to_plan |= self.fleet.zones_of_service(service.name)
        for zone in zones_to_plan - set(self.zone_controllers):
            self.zone_controllers[zone] = zone_controller.ZoneController(
                zone,
                self.rows,
                self.fleet,
                self.linked_gateway,
                self.prober,
                self.roster,
                lambda: self.configuration.routing,
                lambda: len(
                    self.zone_controllers.keys()
                    - self.fleet.evacuations.zones()
                ),
                lambda: self.relay.running_by_model(),
                self.relay.replica_loads.usage,
                self.metrics,
                self.clock,
                self.features,
                self.relay.offered.totals,
            )
        for controller in self.zone_controllers.values():
            if controller.is_planning:
                controller.plan()

    async def _run_ticks(self) -> None:
        while True:
            try:
                self.tick()
            except Exception:
                # The instance continues to serve; the next tick tries again.
                self.metrics.count("loop_error", "tick")
                logging.exception("periodic tick failed")
            slept_from = self.clock()
            await asyncio.sleep(_TICK_S)
            self.metrics.record(
                "loop_delay", self.clock() - slept_from - _TICK_S
            )

    def tick(self) -> None:
        """Runs the periodic work that is due."""
        now = self.clock()
        self.link_checker.tick()
        self.prober.probe_silent_replicas()
        expired = self.fleet.expire(now)
        if expired:
            logs.event("engines gone", engines=expired)
        if now >= self.catch_up.due_at:
            self.catch_up.tick(now)
        if now >= self._next_plan_at:
            self._next_plan_at = now + _PLAN_PERIOD_S
            self.crash_checker.tick()
            self._plan_zones()
            claims = self.statuses.zone_claims()
            for controller in self.zone_controllers.values():
                controller.tick(claims)
        if now >= self._next_peer_round_at:
            self._next_peer_round_at = now + _PEER_ROUND_PERIOD_S
            self._run_peer_round(now)

    def _run_peer_round(self, now: float) -> None:
        self.roster.beat(self.is_ready, self.is_leaving)
        self.roster.expire(now)
        if self.registration.count:
            live_count = 1 + len(self.roster.live(now))
            self.relay.instances = max(live_count, self.registration.count)
        self.relay.limits.set_members(
            self.roster.own_presence.id, self._limit_members(now)
        )
        self.relay.limits.keep_only(self.fleet.engines, now)
        self.fleet.cold.expire(self.fleet.engines, now)
        self.relay.forget_ended_waits()
        self.relay.expire_loads(now)
        self.relay.offered.expire(now)
        self.relay.streams.keep_only(set(self.fleet.replicas()))
        self.relay.engine_scores.keep_only(set(self.fleet.engines))
        self.gateway.keep_only(self.fleet.engines)
        self.statuses.expire()
        self.peer_engines.keep_only(
            {peer.peer_address for peer in self.roster.live(now)}
        )
        self._learn_era_from_peers()
        self.peers.start_exchanges()
        self.store_outages.renew_overdue_polls()
        self.catch_up.tick(now)

    def _propagation_times(self) -> propagation.PropagationTimes:
        bounds = self.settings.bounds
        bound_ms = min(bounds.drain_ms, bounds.config_apply_ms)
        return propagation.create(bound_ms / _MS_PER_S)

    def _may_be_outdated(self) -> bool:
        contact = self.store_outages.contact
        return self.catch_up.may_be_outdated(
            isolation.Contact(
                contact.service.at,
                contact.away_since is not None,
                self.statuses.heard_at,
                bool(self.roster.others),
            ),
            self.clock(),
        )

    def _learn_era_from_peers(self) -> None:
        """Notices a restore of the store while own calls wait for changes."""
        version = self.statuses.newest_engines_version()
        self.evacuations.note_version(max(version, self.engine_rows.version))
        if self.rows.era is not None:
            self.rows.observe_era(interfaces.era_of(version))

    def _may_try(self, suspect: str) -> bool:
        """Returns whether this is the instance that tries a suspect again."""
        limits = self.relay.limits
        ranked = membership.rendezvous(suspect, limits.members)
        return ranked[:1] == [limits.own_id]

    def _limit_members(self, now: float) -> set[str]:
        """Returns the IDs of the instances that share the engines' limits.

        Before an instance that has just started knows its peers, they hold all
        shares.
        """
        members = self.roster.possible_senders()
        is_alone = members == {self.roster.own_presence.id}
        may_have_peers = self.registration.count != 1 and (
            now - self.relay.started_at < _PEERS_KNOWN_S
        )
        return set() if is_alone and may_have_peers else members


def create_instance(
    settings: hosted_settings.HostedSettings,
    store_session: aiohttp.ClientSession,
    engine_session: aiohttp.ClientSession,
) -> HostedInstance:
    """Returns an entry instance on the platform."""
    gateway = engines.HttpGateway(engine_session)
    rows = store.RowStore(
        store_session, settings.store.address, settings.store.timeout_s
    )
    instance = HostedInstance(settings, gateway, rows, random.Random())
    gateway.observe(instance.metrics, lambda: instance.relay.instances)
    return instance
