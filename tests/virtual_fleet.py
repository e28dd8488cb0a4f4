"""Whole hosted instances on a virtual clock, without sockets.

The store and the messages between instances are simulated; everything else is
the program. A store that is unavailable to an instance never answers the
calls of that instance that wait for a change, as the platform's does.
"""

import asyncio
import random

import aiohttp
import grpc

from tamarackpier import codes, failures, hosted_settings, logs
from tamarackpier.daemon import hosted as hosted_lib
from tamarackpier.fleet import model
from tamarackpier.platform import encode, store, wire
from tamarackpier.standin import hosted_platform, virtual
from tests import hosted_fixtures

STORE_LATENCY_S = 0.004
PEER_LATENCY_S = 0.001
ZONES = 3


class Outage:
    """Ways in which the store is unavailable to an instance."""

    SILENT = "silent"
    REFUSES = "refuses"
    THROTTLES = "throttles"
    RESETS = "resets"
    # Serves, but each answer takes longer.
    SLOW = "slow"


ALL_OUTAGES = (
    Outage.SILENT,
    Outage.REFUSES,
    Outage.THROTTLES,
    Outage.RESETS,
)
SLOW_FACTOR = 50.0


class VirtualStore(hosted_platform.RowStoreStandin):
    """A row store on the virtual clock.

    Attributes:
        outages: Outage of each instance that the store is unavailable to.
        latency_s: Time that an answer takes, in seconds.
        calls: Number of calls so far.
    """

    def __init__(self):
        super().__init__()
        self.outages = {}
        self.latency_s = STORE_LATENCY_S
        self.calls = 0
        self._outage_counts = {}

    def begin_outage(self, instance_ids, outage):
        """Makes the store unavailable to some instances."""
        for instance_id in instance_ids:
            self.outages[instance_id] = outage
            if outage != Outage.SLOW:
                count = self._outage_counts.get(instance_id, 0)
                self._outage_counts[instance_id] = count + 1

    def end_outage(self, instance_ids):
        """Makes the store available to some instances again."""
        for instance_id in instance_ids:
            self.outages.pop(instance_id, None)

    def _lost_count(self, instance_id):
        return self._outage_counts.get(instance_id, 0)

    async def serve(self, instance_id, path, query, body, timeout_s):
        """Returns status and document; raises as an HTTP client does."""
        self.calls += 1
        count = self._lost_count(instance_id)
        async with asyncio.timeout(timeout_s):
            await asyncio.sleep(self.latency_s)
            outage = self.outages.get(instance_id)
            if outage == Outage.RESETS:
                raise aiohttp.ClientOSError("reset")
            if outage == Outage.REFUSES:
                return 503, {}
            if outage == Outage.THROTTLES:
                return 429, {}
            if outage == Outage.SILENT:
                await asyncio.sleep(2.0 * timeout_s)
            if outage == Outage.SLOW:
                await asyncio.sleep((SLOW_FACTOR - 1.0) * self.latency_s)
            if path == wire.Path.ROWS_CHANGE:
                return self._apply_change(body)
            if path == wire.Path.ROWS_GET:
                return 200, self._read(query)
            answer = await self._feed(query)
            if count != self._lost_count(instance_id):
                await asyncio.sleep(2.0 * timeout_s)
            return answer

    async def _feed(self, query):
        after = int(query["after"])
        now = asyncio.get_running_loop().time
        ends_at = now() + int(query["wait_ms"]) / 1e3
        while True:
            rows = [
                encode.row(table, key, version, data)
                for version, table, key, data in reversed(self.history)
                if version > after and table == query["table"]
            ]
            left_s = ends_at - now()
            if rows or left_s <= 1e-6:
                return 200, {"rows": rows[::-1], "ver": self.version}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue


class _Rows(store.RowStore):
    """The client of the store, with the simulated store behind it."""

    def __init__(self, fleet, instance_id):
        super().__init__(None, "store", 1.0, fleet.loop.time)
        self.fleet = fleet
        self.instance_id = instance_id

    async def _send(self, method, path, timeout_s, query, body):
        document = store.json.loads(body) if body else None
        status, answer = await self.fleet.store.serve(
            self.instance_id, path, query, document, timeout_s
        )
        data = store.json.dumps(answer).encode()
        return store._Response(status, data, 0)


class _Gateway:
    """Engines that answer each question, and take no order."""

    def __init__(self):
        self.probes = 0
        self.on_leaving = lambda departure, source: None

    def keep_only(self, engines):
        """Keeps no connections."""

    async def report(self, engine, timeout_s):
        await asyncio.sleep(PEER_LATENCY_S)
        return failures.failure(codes.ANSWER_BROKEN, "no report")

    async def order(self, order, timeout_s):
        await asyncio.sleep(PEER_LATENCY_S)
        return model.OrderOutcome.REFUSED


class _Channel:
    """A channel of one instance to the address of another."""

    def __init__(self, fleet, caller_id, address):
        self.fleet = fleet
        self.caller_id = caller_id
        self.address = address

    def unary_unary(
        self, method, request_serializer, response_deserializer, **options
    ):
        name = method.rpartition("/")[2]

        async def call(request, timeout):
            try:
                async with asyncio.timeout(timeout):
                    return await self._serve(name, request)
            except TimeoutError:
                raise grpc.aio.AioRpcError(
                    grpc.StatusCode.DEADLINE_EXCEEDED,
                    grpc.aio.Metadata(),
                    grpc.aio.Metadata(),
                    "Deadline Exceeded",
                ) from None

        return call

    async def _serve(self, name, request):
        await asyncio.sleep(self.fleet.peer_latency_s())
        target = self.fleet.by_address.get(self.address)
        if target is None or self.fleet.is_lost(name, self.caller_id):
            await asyncio.sleep(3600.0)
        target_id = target.settings.instance.id
        if not self.fleet.has_link(self.caller_id, target_id):
            await asyncio.sleep(3600.0)
        await self._wait_if_still(target_id)
        received = type(request).FromString(request.SerializeToString())
        reply = await getattr(target.entry_service, name)(received, None)
        await asyncio.sleep(self.fleet.peer_latency_s())
        await self._wait_if_still(target_id)
        return type(reply).FromString(reply.SerializeToString())

    async def _wait_if_still(self, target_id):
        if {self.caller_id, target_id} & self.fleet.still:
            await asyncio.sleep(3600.0)

    async def close(self):
        pass


def instance_id(index):
    """Returns the ID of the instance with an index."""
    return f"entry-{index:03}"


class Fleet:
    """Instances that share a store, on a virtual clock.

    Attributes:
        loop: The event loop.
        store: The simulated store.
        instances: All instances, in the order of their IDs.
        by_address: The instances by the address for their peers.
        bound_s: Time in which a change must have taken effect, in seconds.
        stable_window_s: Time after an outage from which that holds.
        peer_latency_s: Returns the time that a message takes, in seconds.
        has_link: Returns whether an instance reaches another, by their IDs.
        is_lost: Returns whether a call of an instance to a peer is lost, by the
            name of the method and the instance's ID.
        still: IDs of the instances that stand still, as seen by all others.
        evacuate_s: Time in which an evacuation must be in force, in seconds;
            0 if zones are not evacuated.
        version: Version of the latest configuration.
        key: API key that the latest configuration holds.
    """

    def __init__(
        self,
        count,
        bound_s=2.0,
        stable_window_s=3.0,
        seed=1,
        engine_count=6,
        evacuate_s=0.0,
    ):
        logs.logging.set_verbosity("fatal")
        self.loop = virtual.VirtualLoop()
        self.rng = random.Random(seed)
        self.store = VirtualStore()
        self.by_address = {}
        self.bound_s = bound_s
        self.stable_window_s = stable_window_s
        self.evacuate_s = evacuate_s
        self.peer_latency_s = lambda: PEER_LATENCY_S
        self.has_link = lambda caller_id, callee_id: True
        self.is_lost = lambda method, caller_id: False
        self.still = frozenset()
        self.version = 0
        self.instances = []
        self.configure()
        for index in range(engine_count):
            self.put_engine(f"o{index}")
        for zone in range(ZONES):
            self.put_engine(f"m{zone}", "drafts", f"zone-{zone}")

        async def start():
            for index in range(count):
                self.start_instance(index)
                await asyncio.sleep(0.01)

        self.loop.run_until_complete(start())

    def start_instance(self, index):
        """Starts an instance; the event loop has to run."""
        own_id = instance_id(index)
        settings = hosted_settings.from_text(
            f"""
[instance]
id = {own_id}
availability_zone = zone-{index % ZONES}
region = region-1
ip = 10.0.{index}.1
[listen]
callers = 10.0.{index}.1:80
readiness = 10.0.{index}.1:81
addresses = 10.0.{index}.1:82
first_internal_port = 90
contacts = 10.0.0.1:90, 10.0.1.1:90, 10.0.2.1:90
[store]
address = 10.9.0.1:80
[bounds]
drain_ms = {1e3 * self.bound_s}
config_apply_ms = {1e3 * self.bound_s}
stable_window_ms = {1e3 * self.stable_window_s}
evacuate_ms = {1e3 * self.evacuate_s}
"""
        ).unwrap()
        instance = hosted_lib.HostedInstance(
            settings,
            _Gateway(),
            _Rows(self, own_id),
            random.Random(self.rng.random()),
            self.loop.time,
            lambda: 1.0e9 + self.loop.time(),
        )
        instance.peers.open_channel = lambda address: _Channel(
            self, own_id, address
        )
        self.by_address[instance.roster.own_presence.peer_address] = instance
        self.instances.append(instance)
        instance.start_tasks()
        return instance

    def ids(self, share=1.0):
        """Returns the IDs of a random share of the instances."""
        ids = [instance.settings.instance.id for instance in self.instances]
        return sorted(self.rng.sample(ids, round(share * len(ids))))

    def stand_still(self, ids):
        """Lets instances stand still: nothing is heard of them from now on."""
        self.still = frozenset(ids)
        self.store.begin_outage(ids, Outage.SILENT)

    def go_on(self):
        """Lets the instances that stand still go on."""
        self.store.end_outage(self.still)
        self.still = frozenset()

    def moving(self):
        """Returns the instances that don't stand still."""
        return [
            instance
            for instance in self.instances
            if instance.settings.instance.id not in self.still
        ]

    def wait(self, seconds):
        """Lets virtual time pass."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def until(self, check, seconds):
        """Waits until `check` returns true; returns the time that it took.

        Raises:
            AssertionError: It did not within `seconds`.
        """
        began_at = self.loop.time()
        while not check():
            passed_s = self.loop.time() - began_at
            assert passed_s < seconds, f"not within {seconds} s"
            self.wait(0.02)
        return self.loop.time() - began_at

    def settle(self, seconds=12.0):
        """Waits until all know each other and every first poll has ended."""
        self.wait(seconds)
        count = len(self.instances)
        for instance in self.instances:
            assert instance.is_ready
            assert len(instance.roster.live(self.loop.time())) == count - 1

    def configure(self):
        """Writes the next configuration, in which the former key is gone."""
        self.version += 1
        accounts = {
            f"key-{self.version}": hosted_fixtures.routing_model.Account(
                "clerks", 1
            )
        }
        self.store.put(
            wire.Field.OPERATOR_TABLE,
            wire.Field.CONFIGURATION_KEY,
            encode.configuration(
                hosted_fixtures.configuration(self.version, accounts=accounts)
            ),
        )

    def put_engine(self, name, service="orders", zone="zone-0", **changes):
        """Writes the row of an engine."""
        record = hosted_fixtures.record(
            name, service=service, availability_zone=zone, **changes
        )
        self.store.put(
            wire.Field.ENGINES_TABLE, name, encode.engine_row(record)
        )

    def evacuate(self, zone, is_ended=False):
        """Evacuates a zone, or ends that."""
        key = f"{wire.Field.EVACUATION_PREFIX}{zone}"
        data = None if is_ended else b"{}"
        self.store.put(wire.Field.OPERATOR_TABLE, key, data)

    def drop_engine(self, name):
        """Removes the row of an engine."""
        self.store.put(wire.Field.ENGINES_TABLE, name, None)

    def behind(self, name, version):
        """Returns the instances that lack a departure or a configuration.

        Args:
            name: Name of the engine that leaves; empty for none.
            version: Version of the configuration.
        """
        return [
            instance
            for instance in self.moving()
            if instance.configuration.version < version
            or (
                name in instance.fleet.engines
                and not instance.fleet.engines[name].is_leaving
            )
        ]

    def close(self):
        """Ends all tasks."""

        async def end():
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        self.loop.run_until_complete(end())
        self.loop.close()
