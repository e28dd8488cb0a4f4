"""A simulated world: entry instances among fakes, on one event loop and clock.

The nodes run the code of the daemon. The platform, the engines, the services
and the network between processes are fakes. On a virtual clock, scenarios and
long random runs use such a world. It is not a model of a cluster: what it
measures is the behaviour of the nodes' own code.
"""

import asyncio
import collections
import dataclasses
import random
from typing import Any

from returns import pipeline

from tamarackpier import codes
from tamarackpier.daemon import node as node_lib
from tamarackpier.platform import interfaces
from tamarackpier.replica import model as replica_model
from tamarackpier.request import model as request_model
from tamarackpier.sheet import model as sheet_model
from tamarackpier.sheet import parse
from tamarackpier.standin import engine, ledger, links, memory
from tamarackpier.standin import spec as spec_lib

__all__ = ["Entry", "World"]

# Time after which an entry instance that can learn of a leaving engine must not
# send to it any more.
_LEAVING_NOTICE_S = 5.0
# Time after which an engine that was crashed by a request restarts.
_CRASH_RESTART_S = 10.0
_MESSAGE_SEPARATOR = " / "
# Placeholder for the node of an entry: the node's links need the entry first.
_NODE_NOT_CREATED: Any = None


@dataclasses.dataclass
class Entry:
    """One entry instance of a world.

    Attributes:
        name: Instance ID.
        node: Node of the instance.
        runnable: Set while the process runs; cleared while it is paused and
            after it was killed.
        is_killed: Whether the process was killed or has stopped.
        callers: Tasks of callers that wait for an answer of the instance.
    """

    name: str
    node: node_lib.Node
    runnable: asyncio.Event
    is_killed: bool = False
    callers: set["asyncio.Task[None]"] = dataclasses.field(default_factory=set)


class World:
    """Entry instances, the fakes around them and the faults in force.

    Attributes:
        spec: Initial state of the world.
        rng: Random source from which all others are derived.
        clock: Returns the virtual time, in seconds.
        faults: Faults of the table and of the object store.
        table: Table that all nodes share.
        objects: Object store that all nodes share.
        listed: Current list of instances of the platform.
        frozen_list: Outdated list that the platform shows; None while it shows
            the current one.
        farm: All engines.
        entries: Entry instances by name.
        cuts: Pairs of processes that cannot reach each other.
        ledger: Record of events and violations.
        leaving_since: Time at which the platform announced that an engine
            leaves, by instance.
        uninformed_at: Last time at which an entry instance could not learn of
            leaving engines, by name.
        streams: Open streams from engines to entry instances.
        crashing_requests: Callers that send a request which crashes engines.
        service_mode: State of the plain service: good, down or loses-answers.
        failing_share: Share of calls that engines fail although they report
            that they are ready.
    """

    def __init__(self, spec: spec_lib.WorldSpec, seed: int) -> None:
        self.spec = spec
        self.rng = random.Random(seed)
        self.clock = asyncio.get_running_loop().time
        self.faults = memory.Faults()
        self.table = memory.MemoryTable(self.faults)
        self.objects = memory.MemoryObjects(self.faults)
        self.listed = memory.MemoryInstanceList()
        self.frozen_list: tuple[interfaces.ListedInstance, ...] | None = None
        self.entries: dict[str, Entry] = {}
        self.cuts: set[frozenset[str]] = set()
        self.ledger = ledger.Ledger()
        self.leaving_since: dict[str, float] = {}
        self.uninformed_at: dict[str, float] = {}
        self.streams: list[links.FakeStream] = []
        self.crashing_requests: list[asyncio.Task[None]] = []
        self.service_mode = "good"
        self.failing_share = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        self._versions: dict[str, int] = {}
        self._loads: dict[str, collections.deque[tuple[float, int]]] = {}
        self._build_engines()
        self.table.on_commit.append(self._check_rows)

    def _build_engines(self) -> None:
        weights = engine.WeightStore(self.spec.load_s, parallel_loads=8)
        engines = {}
        for domain in self.spec.domains:
            for index in range(domain.engines):
                spec = engine.EngineSpec(
                    f"{domain.name}-e{index}",
                    domain.name,
                    domain.zone,
                    domain.checks_fencing,
                    self.spec.slots,
                )
                engines[spec.instance_id] = engine.FakeEngine(spec, weights)
                self._list_engine(spec, is_leaving=False)
        self.farm = engine.EngineCluster(
            engines,
            self.spec.token_s,
            self.spec.first_token_s,
            self.spec.load_slowdown,
            self.spec.cached_prefixes,
        )
        self.farm.on_crash = self._handle_crash_by_request

    def _handle_crash_by_request(self, lead: engine.FakeEngine) -> None:
        self.ledger.crashes_by_request += 1
        asyncio.get_running_loop().call_later(
            _CRASH_RESTART_S, lambda: lead.restart(self.clock())
        )

    def delayed_load(self, report: replica_model.EngineReport) -> int:
        """Returns the load of an engine as it was `report_lag_s` ago.

        Args:
            report: Report with the current load, which is stored for later
                calls.
        """
        now = self.clock()
        history = self._loads.setdefault(
            report.instance_id, collections.deque()
        )
        history.append((now, report.running))
        while len(history) > 1 and history[1][0] <= now - (
            self.spec.report_lag_s
        ):
            history.popleft()
        return history[0][1]

    def retain_task(self, task: "asyncio.Task[None]") -> None:
        """Keeps a task from being garbage collected before it is done."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def wall_clock(self) -> float:
        """Returns the wall-clock time, in Unix seconds; all nodes share it."""
        return spec_lib.WALL_CLOCK_START_S + self.clock()

    def start_entry(self, name: str) -> None:
        """Starts an entry instance, or restarts one that was killed."""
        number = int(name.rsplit("-", 1)[1])
        zone = self.spec.domains[number % len(self.spec.domains)].zone
        entry = Entry(name, _NODE_NOT_CREATED, asyncio.Event())
        entry.runnable.set()
        link = links.Link(self, entry)
        entry.node = node_lib.Node(
            spec_lib.node_settings(name, number, zone, self.spec),
            links.LinkedTable(link),
            self.objects,
            links.LinkedList(link),
            links.LinkedEngines(link),
            links.LinkedServices(link),
            links.LinkedPeers(link),
            random.Random(self.rng.random()),
            self.clock,
            self.wall_clock,
        )
        self.entries[name] = entry
        self.listed.instances[name] = interfaces.ListedInstance(
            name,
            interfaces.InstanceKind.ENTRY,
            zone,
            "",
            f"{name}:caller",
            f"{name}:peer",
        )
        entry.node.start()

    def start(self) -> None:
        """Starts all entry instances."""
        for number in range(1, self.spec.entries + 1):
            self.start_entry(f"entry-{number}")

    def kill_entry(self, name: str) -> None:
        """Kills an entry instance; its callers' connections break."""
        entry = self.entries[name]
        entry.is_killed = True
        entry.runnable.clear()
        entry.node.cancel_work()
        for task in entry.callers:
            task.cancel()

    def stop_entry(self, name: str) -> None:
        """Starts the graceful shutdown of an entry instance."""
        entry = self.entries[name]

        async def leave() -> None:
            await entry.node.leave()
            if entry.callers:
                self.ledger.violations.append(
                    f"{name} stopped with {len(entry.callers)} callers waiting"
                )
            await entry.node.stop()
            entry.is_killed = True

        self.retain_task(asyncio.ensure_future(leave()))

    def pause_entry(self, name: str) -> None:
        """Pauses an entry instance wherever it next sends or receives."""
        self.entries[name].runnable.clear()

    def resume_entry(self, name: str) -> None:
        """Resumes a paused entry instance, unless it was killed."""
        if not self.entries[name].is_killed:
            self.entries[name].runnable.set()

    def live_entries(self) -> list[Entry]:
        """Returns the entry instances that are neither killed nor paused."""
        return [
            entry
            for entry in self.entries.values()
            if not entry.is_killed and entry.runnable.is_set()
        ]

    def announce_leaving(self, instance_id: str) -> None:
        """Marks an engine as leaving in the platform's list."""
        self.leaving_since.setdefault(instance_id, self.clock())
        self._list_engine(self.farm.engines[instance_id].spec, is_leaving=True)

    def withdraw_leaving(self, instance_id: str) -> None:
        """Removes the mark that an engine leaves from the platform's list."""
        self.leaving_since.pop(instance_id, None)
        spec = self.farm.engines[instance_id].spec
        self._list_engine(spec, is_leaving=False)

    def freeze_list(self) -> None:
        """Freezes the list that the platform shows as it is now."""
        self.frozen_list = tuple(self.listed.instances.values())

    def cut(self, first: str, second: str) -> None:
        """Cuts two processes off from each other."""
        self.cuts.add(frozenset((first, second)))

    def heal_network(self) -> None:
        """Lets all processes reach each other again."""
        self.cuts.clear()

    def is_cut(self, first: str, second: str) -> bool:
        """Returns whether two processes are cut off from each other."""
        return frozenset((first, second)) in self.cuts

    def silence_streams(self) -> None:
        """Silences every open stream permanently; new streams work."""
        for stream in self.streams:
            stream.is_silent = True

    def end_all_faults(self) -> None:
        """Ends all faults in force and stops requests that crash engines."""
        for request_task in self.crashing_requests:
            request_task.cancel()
        self.heal_network()
        self.faults.kind = memory.TableFault.NONE
        self.faults.delay_s = 0.0
        self.frozen_list = None
        self.service_mode = "good"
        for entry in list(self.entries.values()):
            if entry.is_killed:
                self.start_entry(entry.name)
            entry.runnable.set()
        for fake_engine in self.farm.engines.values():
            fake_engine.is_silent = False
            fake_engine.slowdown = 1.0
            if fake_engine.health is not engine.Health.UP:
                fake_engine.restart(self.clock())
        for instance_id in list(self.leaving_since):
            self.withdraw_leaving(instance_id)

    async def submit(
        self,
        replicas: int,
        span: int,
        version: str = "v1",
        via: str = "",
        tokens_per_s: float = 2000.0,
    ) -> bool:
        """Submits a sheet with one event that has already begun.

        Args:
            replicas: Number of replicas.
            span: Number of instances of each replica.
            version: Version of the model.
            via: Entry instance that receives the sheet; empty for a random
                one.
            tokens_per_s: Expected tokens per second of each client account.

        Returns:
            Whether the sheet was accepted.
        """
        entry = self._choose_entry(via)
        rows = [
            sheet_model.SheetRow(
                "event",
                spec_lib.WALL_CLOCK_START_S - 60,
                spec_lib.WALL_CLOCK_START_S + 500_040,
                "draft",
                version,
                replicas,
                span,
                account,
                tokens_per_s,
                1000.0,
                1,
            )
            for account in spec_lib.ACCOUNTS
        ]
        sheet = sheet_model.empty().with_rows(1, rows)
        data = parse.to_csv(sheet).encode()
        result = await entry.node.sheets.submit(data, "operator", None, False)
        return pipeline.is_successful(result)

    def draft(
        self,
        content: str,
        tokens: int,
        account: str = spec_lib.ACCOUNTS[0],
        via: str = "",
        max_attempts: int = 4,
    ) -> "asyncio.Task[None]":
        """Starts a caller that sends a draft and checks the answer.

        Args:
            content: Contents of the messages, separated by " / ".
            tokens: Number of tokens to generate.
            account: Client account of the caller.
            via: Entry instance of the first attempt; empty for a random one.
            max_attempts: Number of attempts after which the caller gives up.
        """
        entry = self._choose_entry(via)
        task = asyncio.ensure_future(
            self._draft(entry, content, tokens, account, max_attempts)
        )
        entry.callers.add(task)
        task.add_done_callback(entry.callers.discard)
        return task

    def order(self, reference: str, via: str = "") -> "asyncio.Task[None]":
        """Starts a caller that sends an order once.

        Args:
            reference: Text of the order and its idempotency key.
            via: Entry instance to send to; empty for a random one.
        """
        entry = self._choose_entry(via)
        task = asyncio.ensure_future(self._order(entry, reference))
        entry.callers.add(task)
        task.add_done_callback(entry.callers.discard)
        return task

    def serving(self, name: str) -> int:
        """Returns the number of replicas that an entry instance may send to."""
        node = self.entries[name].node
        version = node.version_for(spec_lib.ACCOUNTS[0], "draft")
        if version is None:
            return 0
        return len(node.gate.serving("draft", version, self.clock()))

    def find_violations(self) -> list[str]:
        """Returns all violations so far, those of node invariants included."""
        violations = self.ledger.find_violations()
        for entry in self.entries.values():
            for name, count in entry.node.invariants.breaches.items():
                violations.append(
                    f"{entry.name}: invariant {name} violated {count} times"
                )
        return violations

    def record_uninformed_entries(self) -> None:
        """Records which entry instances cannot learn of leaving engines now.

        An instance can learn of them if it runs, if it reaches the platform or
        a running peer that reaches the platform, and if the list is current.
        """
        now = self.clock()
        informed = {
            entry.name
            for entry in self.live_entries()
            if not self.is_cut(entry.name, links.PLATFORM)
        }
        for name, entry in self.entries.items():
            is_informed = name in informed or any(
                not self.is_cut(name, peer) for peer in informed
            )
            if (
                self.frozen_list is not None
                or not is_informed
                or entry.is_killed
                or not entry.runnable.is_set()
            ):
                self.uninformed_at[name] = now

    def check_versions(self) -> None:
        """Checks that the version in force has not decreased on any node.

        This also records which entry instances cannot learn of leaving engines.
        """
        self.record_uninformed_entries()
        for entry in self.entries.values():
            node = entry.node
            key = f"{entry.name}/{node.incarnation}"
            version = node.sheets.sheet.version
            if version < self._versions.get(key, 0):
                self.ledger.violations.append(
                    f"{key}: version in force decreased"
                )
            self._versions[key] = version

    def record_dispatch(
        self, sender: str, lead: engine.FakeEngine, replica_id: str
    ) -> None:
        """Counts a call that reached a lead and checks the lead's replica.

        Args:
            sender: Entry instance that sent the call.
            lead: Lead that the call reached.
            replica_id: Replica that the call was sent to.
        """
        now = self.clock()
        self.ledger.dispatches += 1
        bound_s = spec_lib.timing().evidence_bound_s + 4 * self.spec.latency_s
        for member in lead.members:
            fake_engine = self.farm.engines[member]
            is_ready = fake_engine.is_ready(replica_id, lead.fence, now)
            # A lead that has moved to another replica, for example by a late
            # order, was in a whole replica until then.
            broken_at = max(fake_engine.changed_at, lead.changed_at)
            if not is_ready and now - broken_at > bound_s:
                self.ledger.violations.append(
                    f"{now:.2f}: sent to {replica_id} but {member} has not "
                    f"been ready in it since {broken_at:.2f}"
                )
            since = self.leaving_since.get(member, now)
            known_since = max(since, self.uninformed_at.get(sender, since))
            if now - known_since > _LEAVING_NOTICE_S:
                self.ledger.violations.append(
                    f"{now:.2f}: sent to {replica_id} but {member} has been "
                    f"leaving since {since:.2f}"
                )

    def _choose_entry(self, name: str) -> Entry:
        """Returns the named entry instance, or a random one.

        An instance that runs and accepts new requests is preferred to one
        that only runs, and that one to any other.

        Args:
            name: Instance ID; empty for a random instance.
        """
        if name:
            return self.entries[name]
        live = self.live_entries() or list(self.entries.values())
        accepting = [entry for entry in live if not entry.node.refuses_new]
        return self.rng.choice(accepting or live)

    async def _draft(
        self,
        entry: Entry,
        content: str,
        tokens: int,
        account: str,
        max_attempts: int,
    ) -> None:
        messages = [
            {"role": "user", "content": text}
            for text in content.split(_MESSAGE_SEPARATOR)
        ]
        for _ in range(max_attempts):
            retry_s = await self._attempt_draft(
                entry, messages, tokens, account
            )
            if retry_s is None:
                return
            await asyncio.sleep(retry_s)
            entry = self._choose_entry("")
        self.ledger.drafts["given_up"] += 1

    async def _attempt_draft(
        self,
        entry: Entry,
        messages: list[dict[str, str]],
        tokens: int,
        account: str,
    ) -> float | None:
        """Sends a draft once and checks the answer if it is complete.

        Returns:
            Time to wait before the next attempt, in seconds; None if no
            further attempt is of use.
        """
        node = entry.node
        call = spec_lib.make_call(
            self.rng, messages, tokens, account, self.clock()
        )
        version = node.version_for(account, call.model)
        if version is None:
            return 1.0
        started = await node.relay.start(call, version)
        if not pipeline.is_successful(started):
            fault = started.failure()
            self.ledger.drafts[fault.code.name] += 1
            return fault.retry_after_s
        run = started.unwrap()
        try:
            while await run.read():
                pass
        except Exception as error:
            self.ledger.drafts[type(error).__name__] += 1
            return 1.0
        finally:
            run.close()
        self._check_draft(run.assembler.delivered, messages, tokens)
        return None

    def _check_draft(
        self, pieces: list[bytes], messages: list[dict[str, str]], tokens: int
    ) -> None:
        seed = engine.text_seed(messages)
        expected = [engine.token_text(seed, index) for index in range(tokens)]
        delivered = [
            piece.split(b'"content": "', 1)[1].split(b'"', 1)[0].decode()
            for piece in pieces[:-1]
        ]
        if delivered != expected:
            self.ledger.violations.append(
                f"draft {messages[0]['content']!r} was reported complete but "
                "differs from the expected text"
            )
        self.ledger.drafts["whole"] += 1

    async def _order(self, entry: Entry, reference: str) -> None:
        outcomes = self.ledger.order_outcomes.setdefault(reference, [])
        position = len(outcomes)
        # The outcome is unknown to the caller until an answer arrives.
        outcomes.append(codes.Outcome.UNKNOWN)
        call = request_model.ServiceCall(
            f"req-{self.rng.random()}",
            spec_lib.ACCOUNTS[0],
            spec_lib.SERVICE,
            "POST",
            "orders",
            reference.encode(),
            "text/plain",
            reference,
            False,
            self.clock() + 20.0,
        )
        answer = await entry.node.services.run(call)
        if pipeline.is_successful(answer):
            outcomes[position] = codes.Outcome.COMPLETE
        else:
            outcomes[position] = answer.failure().code.outcome

    def _list_engine(self, spec: engine.EngineSpec, is_leaving: bool) -> None:
        self.listed.instances[spec.instance_id] = interfaces.ListedInstance(
            spec.instance_id,
            interfaces.InstanceKind.ENGINE,
            spec.availability_zone,
            spec.domain,
            spec.instance_id,
            is_leaving=is_leaving,
            checks_fencing=spec.checks_fencing,
        )

    def _check_rows(self, transaction: interfaces.Transaction) -> None:
        """Checks after a commit that no engine is in two replicas."""
        owners: dict[str, str] = {}
        for key, row in self.table.rows.items():
            if not key.startswith("replica/") or row.value is None:
                continue
            for member in row.value["members"]:
                if member in owners:
                    self.ledger.violations.append(
                        f"{member} is a member of {owners[member]} and of {key}"
                    )
                owners[member] = key
