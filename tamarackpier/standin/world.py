"""Whole entry instances among fakes, on one event loop and one clock.

The nodes are the daemon's own; only what lies outside them is fake: the
platform, engines, services and the network between processes. On a virtual
clock this runs scenarios and long random runs; it is no model of a cluster,
and what it measures is what the nodes' own code does.
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

_LEAVING_BOUND_S = 5.0
_RESTART_S = 10.0
_UNBUILT: Any = None


@dataclasses.dataclass
class Entry:
    """One entry instance and what the world does to it."""

    name: str
    node: node_lib.Node
    awake: asyncio.Event
    is_killed: bool = False
    callers: set["asyncio.Task[None]"] = dataclasses.field(default_factory=set)


class World:
    """Nodes, fakes and the faults between them.

    Attributes:
        spec: What it began with.
        rng: The only source of chance.
        table: The table, shared by all nodes.
        objects: The object store.
        listed: The platform's list as it really is.
        frozen_list: What the list shows while it lags; None when current.
        farm: All engines.
        entries: The entry instances by name.
        cuts: Pairs of processes that can't reach each other.
        deadly: Callers that send a request which crashes upstreams.
        service_mode: good, down or loses-answers.
        failing_share: Share of calls that engines fail though they report
            to be well.
        ledger: What happened.
        blind_at: When each entry instance last could not learn of leaving
            engines.
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
        self.blind_at: dict[str, float] = {}
        self.streams: list[links.FakeStream] = []
        self.deadly: list[asyncio.Task[None]] = []
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
        self.farm = engine.Farm(
            engines,
            self.spec.token_s,
            self.spec.first_token_s,
            self.spec.load_slowdown,
            self.spec.cached_prefixes,
        )
        self.farm.on_crash = self._crashed_by_request

    def _crashed_by_request(self, lead: engine.FakeEngine) -> None:
        self.ledger.crashes_by_request += 1
        asyncio.get_running_loop().call_later(
            _RESTART_S, lambda: lead.restart(self.clock())
        )

    def lagging_load(self, report: replica_model.EngineReport) -> int:
        """Returns the load that an engine reports, which lies behind."""
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

    def keep(self, task: "asyncio.Task[None]") -> None:
        """Keeps a task from being collected while it runs."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def wall_clock(self) -> float:
        """Returns the wall clock, which all nodes happen to agree on."""
        return spec_lib.WALL_START + self.clock()

    def start_entry(self, name: str) -> None:
        """Starts an entry instance, or starts it anew."""
        number = int(name.rsplit("-", 1)[1])
        zone = self.spec.domains[number % len(self.spec.domains)].zone
        found = Entry(name, _UNBUILT, asyncio.Event())
        found.awake.set()
        link = links.Link(self, found)
        found.node = node_lib.Node(
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
        self.entries[name] = found
        self.listed.instances[name] = interfaces.ListedInstance(
            name,
            interfaces.InstanceKind.ENTRY,
            zone,
            "",
            f"{name}:caller",
            f"{name}:peer",
        )
        found.node.start()

    def start(self) -> None:
        """Starts all entry instances."""
        for number in range(1, self.spec.entries + 1):
            self.start_entry(f"entry-{number}")

    def kill_entry(self, name: str) -> None:
        """Kills an entry instance; its callers' connections break."""
        entry = self.entries[name]
        entry.is_killed = True
        entry.awake.clear()
        entry.node.cancel_work()
        for task in entry.callers:
            task.cancel()

    def stop_entry(self, name: str) -> None:
        """Has an entry instance leave gracefully."""
        entry = self.entries[name]

        async def leave() -> None:
            await entry.node.leave()
            if entry.callers:
                self.ledger.violations.append(
                    f"{name} stopped with {len(entry.callers)} callers"
                )
            await entry.node.stop()
            entry.is_killed = True

        self.keep(asyncio.ensure_future(leave()))

    def pause_entry(self, name: str) -> None:
        """Freezes an entry instance wherever it waits."""
        self.entries[name].awake.clear()

    def resume_entry(self, name: str) -> None:
        """Lets a frozen entry instance go on."""
        if not self.entries[name].is_killed:
            self.entries[name].awake.set()

    def live_entries(self) -> list[Entry]:
        """Returns the entry instances that run."""
        return [
            each
            for each in self.entries.values()
            if not each.is_killed and each.awake.is_set()
        ]

    def engine_leaves(self, instance_id: str) -> None:
        """Has the platform announce that it takes an engine away."""
        self.leaving_since.setdefault(instance_id, self.clock())
        self._list_engine(self.farm.engines[instance_id].spec, is_leaving=True)

    def engine_stays(self, instance_id: str) -> None:
        """Takes such an announcement back."""
        self.leaving_since.pop(instance_id, None)
        spec = self.farm.engines[instance_id].spec
        self._list_engine(spec, is_leaving=False)

    def freeze_list(self) -> None:
        """Lets the platform's list fall behind from now on."""
        self.frozen_list = tuple(self.listed.instances.values())

    def cut(self, one: str, other: str) -> None:
        """Cuts two processes off from each other."""
        self.cuts.add(frozenset((one, other)))

    def heal_network(self) -> None:
        """Ends all cuts."""
        self.cuts.clear()

    def is_cut(self, one: str, other: str) -> bool:
        """Returns whether two processes can't reach each other."""
        return frozenset((one, other)) in self.cuts

    def silence_streams(self) -> None:
        """Makes every open stream silent for good; new ones work."""
        for stream in self.streams:
            stream.is_mute = True

    def heal_everything(self) -> None:
        """Ends all faults that are under way, deadly requests too."""
        for sending in self.deadly:
            sending.cancel()
        self.heal_network()
        self.faults.kind = memory.TableFault.NONE
        self.faults.delay_s = 0.0
        self.frozen_list = None
        self.service_mode = "good"
        for entry in list(self.entries.values()):
            if entry.is_killed:
                self.start_entry(entry.name)
            entry.awake.set()
        for each in self.farm.engines.values():
            each.is_silent = False
            each.slowdown = 1.0
            if each.health is not engine.Health.UP:
                each.restart(self.clock())
        for instance_id in list(self.leaving_since):
            self.engine_stays(instance_id)

    async def submit(
        self,
        replicas: int,
        span: int,
        version: str = "v1",
        via: str = "",
        tokens_per_s: float = 2000.0,
    ) -> bool:
        """Submits a sheet for an event that has begun; returns success."""
        entry = self._entry(via)
        rows = [
            sheet_model.SheetRow(
                "event",
                spec_lib.WALL_START - 60,
                spec_lib.WALL_START + 500_040,
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
        done = await entry.node.sheets.submit(data, "operator", None, False)
        return pipeline.is_successful(done)

    def draft(
        self,
        content: str,
        tokens: int,
        account: str = spec_lib.ACCOUNTS[0],
        via: str = "",
        tries: int = 4,
    ) -> "asyncio.Task[None]":
        """Has a caller send a draft and judge the answer."""
        entry = self._entry(via)
        task = asyncio.ensure_future(
            self._draft(entry, content, tokens, account, tries)
        )
        entry.callers.add(task)
        task.add_done_callback(entry.callers.discard)
        return task

    def order(self, reference: str, via: str = "") -> "asyncio.Task[None]":
        """Has a caller send an order under its reference as key."""
        entry = self._entry(via)
        task = asyncio.ensure_future(self._order(entry, reference))
        entry.callers.add(task)
        task.add_done_callback(entry.callers.discard)
        return task

    def serving(self, name: str) -> int:
        """Returns how many replicas an entry instance would send to."""
        node = self.entries[name].node
        version = node.version_for(spec_lib.ACCOUNTS[0], "draft")
        if version is None:
            return 0
        return len(node.gate.serving("draft", version, self.clock()))

    def verdict(self) -> list[str]:
        """Returns every promise that was broken so far."""
        found = self.ledger.verdict()
        for entry in self.entries.values():
            for name, count in entry.node.invariants.breaches.items():
                found.append(f"{entry.name}: {name} broken {count} times")
        return found

    def note_blindness(self) -> None:
        """Notes which entry instances can't learn of leaving engines now.

        An instance can if it runs and reaches the platform, or a peer that
        runs and reaches the platform, and the list is current.
        """
        now = self.clock()
        informed = {
            each.name
            for each in self.live_entries()
            if not self.is_cut(each.name, links.PLATFORM)
        }
        for name, entry in self.entries.items():
            is_told = name in informed or any(
                not self.is_cut(name, other) for other in informed
            )
            if (
                self.frozen_list is not None
                or not is_told
                or entry.is_killed
                or not entry.awake.is_set()
            ):
                self.blind_at[name] = now

    def check_versions(self) -> None:
        """Checks that no version in force has fallen."""
        self.note_blindness()
        for entry in self.entries.values():
            node = entry.node
            key = f"{entry.name}/{node.incarnation}"
            version = node.sheets.sheet.version
            if version < self._versions.get(key, 0):
                self.ledger.violations.append(f"{key}: version fell")
            self._versions[key] = version

    def note_dispatch(
        self, sender: str, lead: engine.FakeEngine, replica_id: str
    ) -> None:
        """Checks a call that arrived at a lead."""
        now = self.clock()
        self.ledger.dispatches += 1
        bound_s = spec_lib.timing().evidence_bound_s + 4 * self.spec.latency_s
        for member in lead.members:
            each = self.farm.engines[member]
            is_right = each.is_ready(replica_id, lead.fence, now)
            # A lead that was moved to another group, by a late order say,
            # was in a whole one until then.
            broken_at = max(each.changed_at, lead.changed_at)
            if not is_right and now - broken_at > bound_s:
                self.ledger.violations.append(
                    f"{now:.2f}: sent to {replica_id} though {member} is gone "
                    f"since {broken_at:.2f}"
                )
            since = self.leaving_since.get(member, now)
            known_since = max(since, self.blind_at.get(sender, since))
            if now - known_since > _LEAVING_BOUND_S:
                self.ledger.violations.append(
                    f"{now:.2f}: sent to {replica_id} though {member} leaves "
                    f"since {since:.2f}"
                )

    def _entry(self, name: str) -> Entry:
        if name:
            return self.entries[name]
        live = self.live_entries() or list(self.entries.values())
        staying = [each for each in live if not each.node.refuses_new]
        return self.rng.choice(staying or live)

    async def _draft(
        self, entry: Entry, content: str, tokens: int, account: str, tries: int
    ) -> None:
        messages = [{"role": "user", "content": content}]
        for _ in range(tries):
            retry_s = await self._try_draft(entry, messages, tokens, account)
            if retry_s is None:
                return
            await asyncio.sleep(retry_s)
            entry = self._entry("")
        self.ledger.drafts["given_up"] += 1

    async def _try_draft(
        self,
        entry: Entry,
        messages: list[dict[str, str]],
        tokens: int,
        account: str,
    ) -> float | None:
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
        self._judge_draft(run.assembler.delivered, messages, tokens)
        return None

    def _judge_draft(
        self, pieces: list[bytes], messages: list[dict[str, str]], tokens: int
    ) -> None:
        seed = engine.text_seed(messages)
        right = [engine.word(seed, index) for index in range(tokens)]
        found = [
            piece.split(b'"content": "', 1)[1].split(b'"', 1)[0].decode()
            for piece in pieces[:-1]
        ]
        if found != right:
            self.ledger.violations.append(
                f"draft {messages[0]['content']!r} is told whole and is not"
            )
        self.ledger.drafts["whole"] += 1

    async def _order(self, entry: Entry, reference: str) -> None:
        told = self.ledger.told.setdefault(reference, [])
        position = len(told)
        # Until an answer comes, the caller knows nothing.
        told.append(codes.Outcome.UNKNOWN)
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
            told[position] = codes.Outcome.COMPLETE
        else:
            told[position] = answer.failure().code.outcome

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
        owners: dict[str, str] = {}
        for key, row in self.table.rows.items():
            if not key.startswith("replica/") or row.value is None:
                continue
            for member in row.value["members"]:
                if member in owners:
                    self.ledger.violations.append(
                        f"{member} is in {owners[member]} and {key}"
                    )
                owners[member] = key
