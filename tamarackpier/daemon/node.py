"""Assembles the parts of an entry instance and runs its periodic work."""

import asyncio
import dataclasses
import math
import random
import time
from collections.abc import Callable

import aiohttp
from returns import pipeline

from tamarackpier import invariants, logs, metrics, quarantine
from tamarackpier import settings as settings_lib
from tamarackpier.daemon import (
    domain_keeper,
    domains,
    gossip,
    loops,
    peers,
    quarantine_store,
    sheets,
)
from tamarackpier.peer import addresses, membership
from tamarackpier.platform import http as platform_http
from tamarackpier.platform import interfaces
from tamarackpier.replica import gate, policy
from tamarackpier.request import (
    admit,
    dispatch,
    expiry,
    loads,
    place,
    relay,
    retry,
    service_relay,
)
from tamarackpier.sheet import store
from tamarackpier.upstream import engine
from tamarackpier.upstream import service as service_lib

__all__ = ["Node", "create_node"]

# Number of poll periods after which the list of instances is stale.
_LIST_FRESH_POLL_PERIODS = 3
_REQUEST_MAINTENANCE_PERIOD_S = 0.1
_SWEEP_PERIOD_S = 30.0
_MS_PER_S = 1000
_MIN_RECORD_UPDATE_PERIOD_S = 2.0
_RECORD_UPDATE_PERIOD_S_PER_PEER = 0.05
_MIN_REPORTED_TOKENS_PER_S = 1.0


class Node:
    """One entry instance.

    Attributes:
        settings: The settings of the instance.
        instances: The platform's list of instances.
        rng: Random source.
        clock: Returns the monotonic time, in seconds.
        wall_clock: Returns the wall-clock time, in seconds since the epoch.
        metrics: Counters and latencies.
        invariants: The runtime checks of the instance.
        started_at: Monotonic time of the start, in seconds.
        incarnation: Wall-clock time of the start, in milliseconds since the
            epoch.
        members: The membership view of the peers.
        gate: Decides which replicas may serve.
        quarantine: Requests that are suspected of crashing upstreams.
        peer_client: Sends calls to peers.
        peer_service: Serves the calls of peers.
        policy: Weighs downtime against stranded instances.
        dependencies: The dependencies that watchers and planners share.
        shares: The accounts' shares of the capacity.
        loads: The loads of the replicas.
        breakers: The circuit breakers of the replicas.
        dispatcher: Assigns requests to replicas.
        sheets: Holds the sheet in force.
        gossip: Exchanges state with peers.
        relay: Relays model calls.
        services: Relays calls of plain services.
        sweeper: Deletes expired records.
        domains: The domains that this instance watches and plans.
        listed: The instances that the platform listed last, by ID.
        listed_at: Monotonic time of the last read of that list, in seconds.
        refuses_new: Whether new requests are refused because the instance is
            shutting down.
        connections_by_phase: Returns the number of callers' open connections
            in each phase.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        table: interfaces.Table,
        objects: interfaces.Objects,
        instances: interfaces.InstanceList,
        engines: engine.EngineClient,
        services: service_lib.ServiceClient,
        transport: peers.Transport,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
        strict: bool = False,
    ) -> None:
        self.settings = settings
        self.instances = instances
        self.rng = rng
        self.clock = clock
        self.wall_clock = wall_clock
        self.metrics = metrics.Metrics()
        self.invariants = invariants.Invariants(strict)
        self.started_at = self.clock()
        self.listed: dict[str, interfaces.ListedInstance] = {}
        self.listed_at = self.started_at
        self.refuses_new = False
        self.connections_by_phase: Callable[[], dict[str, int]] = dict
        self._revision = 0
        self._revised_at = self.started_at
        self._is_leaving = False
        self._tasks: list[asyncio.Task[None]] = []
        self._work = loops.SingleFlight(self.metrics)
        self._build_peers(transport)
        self._build_domains(table, engines)
        self._build_requests(table, engines, services)
        self.sheets = sheets.SheetKeeper(
            store.SheetStore(table, objects, settings.accounts),
            self._announce_sheet,
            self._update_shares,
            self.metrics,
            self.invariants,
            self.wall_clock,
        )
        self.gossip = gossip.Gossip(
            settings.timing,
            settings.limits.domains_used,
            self.members,
            self.peer_client,
            self.sheets,
            lambda: self.listed.values(),
            lambda: self.domains.domains_with_fresh_rows(),
            self._update_record,
            self.rng,
            self.clock,
        )

    def _build_peers(self, transport: peers.Transport) -> None:
        timing = self.settings.timing
        self.incarnation = int(self.wall_clock() * _MS_PER_S)
        self.members = membership.Members(self._record(), timing.suspect_s)
        self.gate = gate.Gate(timing.evidence_bound_s)
        self.quarantine = quarantine.Quarantine(
            self.settings.limits.quarantine_crashes,
            self.settings.limits.quarantine_s,
        )
        self.peer_client = peers.PeerClient(
            self.members,
            self.gate,
            self.quarantine,
            transport,
            self.metrics,
            self.clock,
        )
        self.peer_service = peers.PeerService(
            self.members,
            self.quarantine,
            lambda domain: self.domains.evidence_of(domain),
            lambda: (self.sheets.sheet.version, self.sheets.encoded),
            lambda version, base_version, patch: (
                self.sheets.handle_announcement(version, base_version, patch)
            ),
            self.metrics,
            self.clock,
        )

    def _build_domains(
        self, table: interfaces.Table, engines: engine.EngineClient
    ) -> None:
        objective = self.settings.objective
        self.policy = policy.create(
            objective.policy,
            policy.Objective(
                objective.downtime_weight,
                objective.stranding_weight,
                objective.form_s,
            ),
        )
        self.dependencies = domains.Dependencies(
            table,
            engines,
            self.settings.timing,
            self.policy,
            self.metrics,
            self.invariants,
            self.clock,
        )
        self.domains = domain_keeper.DomainKeeper(
            self.settings,
            self.dependencies,
            self.policy,
            self.members,
            self.gate,
            self._work,
            lambda: self.listed,
            lambda: self.sheets,
            lambda: self._is_leaving,
            f"{self.members.own_record.id}/{self.incarnation}",
            self.clock,
            self.wall_clock,
        )

    def _build_requests(
        self,
        table: interfaces.Table,
        engines: engine.EngineClient,
        services: service_lib.ServiceClient,
    ) -> None:
        limits = self.settings.limits
        self.shares = admit.AccountShares()
        self.loads = loads.ReplicaLoads()
        self.breakers = retry.Breakers()
        self.dispatcher = dispatch.Dispatcher(
            self.gate,
            self.loads,
            self.shares,
            self.quarantine,
            self.breakers,
            place.POLICIES.get(limits.placement),
            self.settings.instance.availability_zone,
            limits.queue_length,
            self.metrics,
            self.invariants,
            self.rng,
            self.clock,
        )
        self.relay = relay.Relay(
            self.dispatcher,
            engines,
            retry.RetryBudget(limits.retry_share),
            retry.Backoff(),
            limits.progress_timeout_s,
            self.metrics,
            self.invariants,
            self.rng,
            self.clock,
        )
        self.sweeper = expiry.RecordSweeper(
            table,
            self.settings.accounts,
            self.settings.services,
            self.metrics,
        )
        self.services = service_relay.ServiceRelay(
            self.settings.services,
            table,
            services,
            f"{self.settings.instance.id}/{self.incarnation}",
            self._is_owner_live,
            retry.RetryBudget(limits.retry_share),
            retry.Breakers(),
            retry.Backoff(),
            self.metrics,
            self.invariants,
            self.rng,
            self.clock,
            self.wall_clock,
            self.quarantine,
        )
        self.quarantine_store = quarantine_store.QuarantineStore(
            self.quarantine,
            table,
            self.metrics,
            self.clock,
            self.wall_clock,
        )

    def start(self) -> None:
        """Starts the periodic jobs."""
        timing = self.settings.timing
        jobs = (
            loops.PeriodicJob(
                "instances", timing.instance_poll_s, self._refresh_listed
            ),
            loops.PeriodicJob("peers", timing.peer_period_s, self._exchange),
            loops.PeriodicJob("sheet", timing.sheet_poll_s, self._poll_sheet),
            loops.PeriodicJob(
                "watch", timing.probe_period_s, lambda: self.domains.watch()
            ),
            loops.PeriodicJob(
                "plan", timing.probe_period_s, lambda: self.domains.plan()
            ),
            loops.PeriodicJob(
                "requests",
                _REQUEST_MAINTENANCE_PERIOD_S,
                self._maintain_requests,
            ),
            loops.PeriodicJob("records", 1.0, self.services.write_unsettled),
            loops.PeriodicJob(
                "quarantine",
                _REQUEST_MAINTENANCE_PERIOD_S,
                self.quarantine_store.update,
            ),
            loops.PeriodicJob("sweep", _SWEEP_PERIOD_S, self._sweep),
        )
        for job in jobs:
            task = asyncio.ensure_future(
                loops.run_forever(job, self.metrics, self.rng)
            )
            self._tasks.append(task)

    async def leave(self) -> None:
        """Shuts down gracefully, draining the requests in flight.

        Callers may cache the address of this instance for `address_keep_s`, so
        it accepts new requests for that time after its peers have stopped
        including it in address answers.
        """
        timing = self.settings.timing
        self._is_leaving = True
        self._update_record()
        logs.event("leaving")
        for planner in self.domains.planners.values():
            await planner.release_lease()
        await self.gossip.exchange_with_all()
        await asyncio.sleep(timing.address_keep_s + timing.peer_period_s)
        self.refuses_new = True
        deadline = self.clock() + timing.drain_s
        while self.in_flight() and self.clock() < deadline:
            await asyncio.sleep(0.05)
        if self.in_flight():
            self.metrics.count("cut_by_stop", amount=self.in_flight())
        await self.services.write_unsettled()

    async def stop(self) -> None:
        """Stops the periodic jobs, the watchers and the peer client."""
        self.cancel_work()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for watcher in self.domains.watchers.values():
            watcher.close()
        await self.peer_client.close()

    def cancel_work(self) -> None:
        """Cancels the periodic jobs and the work that they started."""
        for task in self._tasks:
            task.cancel()
        self._work.cancel()
        self.gossip.cancel()

    def in_flight(self) -> int:
        """Returns the number of requests in flight."""
        return len(self.relay.runs) + self.services.in_flight

    def addresses_for(
        self, caller: str, availability_zone: str
    ) -> addresses.AddressAnswer:
        """Returns the addresses of the entry instances for a caller.

        Args:
            caller: Key that identifies the caller.
            availability_zone: The availability zone of the caller; empty if
                unknown.
        """
        now = self.clock()
        serving = self.members.serving(now) or [self.members.own_record]
        return addresses.answer(
            caller,
            availability_zone,
            serving,
            self.settings.timing.address_keep_s,
        )

    def version_for(self, account: str, model_name: str) -> str | None:
        """Returns the version of a model that an account gets now.

        Without a row of its own, an account gets the version of the first
        active row of the model; None means that no row is active.
        """
        fallback = None
        for row in self.sheets.sheet.active(self.wall_clock()):
            if row.model == model_name:
                if row.account == account:
                    return row.version
                fallback = fallback or row.version
        return fallback

    async def _refresh_listed(self) -> None:
        list_result = await self.instances.list()
        if not pipeline.is_successful(list_result):
            self.metrics.count("list_failed", list_result.failure().code.name)
            return
        self.listed = {
            instance.id: instance for instance in list_result.unwrap()
        }
        self.listed_at = self.clock()
        self.members.listed_leaving = frozenset(
            instance.id
            for instance in self.listed.values()
            if instance.kind == interfaces.InstanceKind.ENTRY
            and instance.is_leaving
        )

    def _leaving_engines(self) -> frozenset[str]:
        """Returns the IDs of the engines that are listed as leaving.

        Returns an empty set if the list is stale.
        """
        age_s = self.clock() - self.listed_at
        if (
            age_s
            > _LIST_FRESH_POLL_PERIODS * self.settings.timing.instance_poll_s
        ):
            return frozenset()
        return frozenset(
            instance.id
            for instance in self.listed.values()
            if instance.is_leaving
            and instance.kind == interfaces.InstanceKind.ENGINE
        )

    async def _exchange(self) -> None:
        if await self.gossip.exchange():
            self._update_shares()

    def _announce_sheet(
        self, version: int, base_version: int, patch: bytes
    ) -> "asyncio.Future[None]":
        live_addresses = [
            peer.peer_address for peer in self.members.live(self.clock())
        ]
        return asyncio.ensure_future(
            self.peer_client.announce(
                live_addresses, version, base_version, patch
            )
        )

    async def _poll_sheet(self) -> None:
        await self.sheets.poll()

    async def _maintain_requests(self) -> None:
        self.relay.watch()
        now = self.clock()
        self.gate.drop_before(now - 20 * self.gate.max_evidence_age_s)
        self.loads.drop_idle_except(set(self.gate.evidence))

    async def _sweep(self) -> None:
        # Rendezvous hashing selects one of the live instances for the work.
        peer_ids = [peer.id for peer in self.members.live(self.clock())]
        own_id = self.members.own_record.id
        if membership.rendezvous("sweep", [*peer_ids, own_id])[0] == own_id:
            await self.sweeper.sweep(self.wall_clock())

    def _update_shares(self) -> None:
        now = self.clock()
        active_rows = self.sheets.sheet.active(self.wall_clock())
        self.shares.update(
            admit.account_capacities(active_rows), self.members.live(now), now
        )

    def _update_record(self) -> None:
        """Gives the record of this instance a new revision if it has changed.

        Fields that peers act on at once are published at once. Demand and the
        sheet version are published at most once per update period, which
        grows with the number of peers.
        """
        now = self.clock()
        published_record = self.members.own_record
        record = self._record()
        update_period_s = max(
            _MIN_RECORD_UPDATE_PERIOD_S,
            _RECORD_UPDATE_PERIOD_S_PER_PEER * len(self.members.peers),
        )
        if self._revision and now - self._revised_at < update_period_s:
            record = dataclasses.replace(
                record,
                demand=published_record.demand,
                sheet_version=published_record.sheet_version,
            )
        if record != dataclasses.replace(
            published_record, revision=record.revision
        ):
            self._revision += 1
            self._revised_at = now
            record = dataclasses.replace(record, revision=self._revision)
            self.members.update_own_record(record)

    def _record(self) -> membership.PeerRecord:
        instance = self.settings.instance
        # The constructor calls this method before the other parts exist.
        is_built = hasattr(self, "sheets")
        return membership.PeerRecord(
            instance.id,
            self.incarnation,
            self._revision,
            instance.availability_zone,
            instance.region,
            instance.caller_address,
            instance.peer_address,
            self._is_leaving,
            self.sheets.sheet.version if is_built else 0,
            self._rounded_demand() if is_built else {},
            tuple(self.domains.statuses()) if is_built else (),
            self._leaving_engines() if is_built else frozenset(),
            self.members.silent if is_built else frozenset(),
        )

    def _rounded_demand(self) -> dict[str, membership.AccountDemand]:
        """Returns the demand of each account, rounded to a half power of two.

        Exact figures would change the record with every request.
        """
        return {
            account: membership.AccountDemand(
                _rounded(demand.tokens_per_s), _rounded(demand.requests_per_s)
            )
            for account, demand in self.shares.demand(self.clock()).items()
            if demand.tokens_per_s >= _MIN_REPORTED_TOKENS_PER_S
        }

    def _is_owner_live(self, owner: str) -> bool:
        """Returns whether the process that wrote a record may still be running.

        Args:
            owner: Instance ID and incarnation of the process, as "ID/NUMBER".
        """
        instance_id, _, incarnation = owner.partition("/")
        if instance_id == self.members.own_record.id:
            return incarnation == str(self.incarnation)
        peer = self.members.peers.get(instance_id)
        if peer is None or peer.record.incarnation != int(incarnation):
            return False
        now = self.clock()
        liveness = self.members.liveness(instance_id, now)
        return liveness is not membership.Liveness.GONE


def _rounded(value: float) -> float:
    """Returns a value rounded to the nearest half power of two."""
    if value <= 0:
        return 0.0
    return 2.0 ** (round(2 * math.log2(value)) / 2)


def create_node(
    settings: settings_lib.Settings,
    session: aiohttp.ClientSession,
    unpooled_session: aiohttp.ClientSession,
) -> Node:
    """Returns a node that reaches the platform and engines over HTTP.

    Args:
        settings: The settings of the instance.
        session: Session that reuses connections.
        unpooled_session: Session that opens a new connection for each call.
    """
    platform = settings.platform
    endpoint = (session, platform.url, platform.timeout_s)
    timing = settings.timing
    return Node(
        settings,
        platform_http.HttpTable(*endpoint),
        platform_http.HttpObjects(*endpoint),
        platform_http.HttpInstanceList(*endpoint),
        engine.HttpEngineClient(
            session,
            engine.PROBE_TIMEOUT_PERIODS * timing.probe_period_s,
            timing.order_flight_s,
        ),
        service_lib.HttpServiceClient(unpooled_session),
        peers.GrpcTransport(),
        random.Random(),
    )
