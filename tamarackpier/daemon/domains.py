"""Watches fabric domains and, under a lease, plans them."""

import asyncio
import collections
import dataclasses
import functools
from collections.abc import Callable, Iterable, Mapping

from returns import pipeline

from tamarackpier import codes, invariants, logs, metrics, settings, tasks
from tamarackpier.daemon import loops
from tamarackpier.platform import interfaces
from tamarackpier.replica import (
    commit,
    gate,
    lease,
    model,
    orders,
    planner,
    policy,
    view,
)
from tamarackpier.upstream import engine

__all__ = ["DomainPlanner", "DomainWatcher", "Tools"]

_ROWS_PERIOD_FACTOR = 8
_FRESH_ROWS_FACTOR = 12
_SETTLE_MARGIN_S = 1.0
_SETTLE_PROBES = 4
_REFUSALS_LOST = 2


@dataclasses.dataclass(frozen=True)
class Tools:
    """What watchers and planners of all domains share."""

    table: interfaces.Table
    engines: engine.EngineClient
    timing: settings.TimingSettings
    policy: policy.Policy
    metrics: metrics.Metrics
    invariants: invariants.Invariants
    clock: Callable[[], float]


class DomainWatcher:
    """Probes a domain's engines and keeps a copy of its rows.

    It writes nothing, so any entry instance may watch any domain.

    Attributes:
        domain: The fabric domain.
        engines: Its listed engines by instance.
        reports: The latest report of each engine that ever answered.
        refusals: Probes that failed in a row, by engine.
        replicas: Replica rows by replica.
        assignments: Instance rows by instance.
        rows_read_at: When the rows were read; None when they must be.
        started_at: When the watch began.
    """

    def __init__(self, domain: str, tools: Tools) -> None:
        self.domain = domain
        self.tools = tools
        self.engines: dict[str, interfaces.ListedInstance] = {}
        self.reports: dict[str, model.EngineReport] = {}
        self.failed_probes: collections.Counter[str] = collections.Counter()
        self.replicas: dict[str, model.Replica] = {}
        self.assignments: dict[str, model.Assignment] = {}
        self.rows_read_at: float | None = None
        self.started_at = tools.clock()
        self._probes = loops.SingleFlight(tools.metrics)
        self._reading = asyncio.Lock()

    def start_probes(self) -> None:
        """Probes every engine whose last probe has ended."""
        for instance_id in self.engines:
            self._probes.start(
                instance_id, functools.partial(self._probe, instance_id)
            )

    async def refresh_rows(self) -> bool:
        """Reads the domain's rows; returns whether the copy is current."""
        async with self._reading:
            return await self._read_rows()

    async def _read_rows(self) -> bool:
        asked_at = self.tools.clock()
        table = self.tools.table
        keys = tuple(model.assignment_key(each) for each in self.engines)
        scanned = await table.scan(model.replica_prefix(self.domain))
        if not pipeline.is_successful(scanned):
            self._count_failure(scanned.failure())
            return False
        read = await table.read(keys)
        if not pipeline.is_successful(read):
            self._count_failure(read.failure())
            return False
        replicas = map(model.replica_from, scanned.unwrap().values())
        self.replicas = {each.replica_id: each for each in replicas}
        assignments = map(model.assignment_from, read.unwrap().values())
        self.assignments = {each.instance_id: each for each in assignments}
        self.rows_read_at = asked_at
        self._check_exclusive()
        return True

    def has_settled(self) -> bool:
        """Returns whether every engine that lives has had time to answer."""
        watched_s = self.tools.clock() - self.started_at
        return watched_s >= _SETTLE_PROBES * self.tools.timing.probe_period_s

    def has_fresh_rows(self) -> bool:
        """Returns whether the rows were read lately."""
        return not self.rows_are_due(
            _FRESH_ROWS_FACTOR * self.tools.timing.probe_period_s
        )

    def rows_are_due(self, period_s: float) -> bool:
        """Returns whether the rows should be read again."""
        return (
            self.rows_read_at is None
            or self.tools.clock() - self.rows_read_at >= period_s
        )

    def evidence(self) -> tuple[list[gate.Evidence], list[model.Replica]]:
        """Returns evidence of whole replicas, and the replicas seen broken."""
        whole = []
        broken = []
        for replica in self.replicas.values():
            lead = self.engines.get(replica.members[0])
            found: gate.Evidence | str = "its lead is not listed"
            if lead is not None and not self.failed_probes.keys() & set(
                replica.members
            ):
                found = gate.verify(
                    replica,
                    self.reports,
                    lead.availability_zone,
                    lead.address,
                )
            if isinstance(found, str):
                broken.append(replica)
            elif any(map(self._is_leaving, replica.members)):
                # Its row will say so too, once its planner has seen it.
                whole.append(dataclasses.replace(found, is_open=False))
            else:
                whole.append(found)
        return whole, broken

    def view(
        self,
        targets: tuple[model.Target, ...],
        draining_since: Mapping[str, float],
    ) -> view.DomainView:
        """Returns what a planner sees now."""
        timing = self.tools.timing
        return view.DomainView(
            self.domain,
            self.tools.clock(),
            self.engines,
            self.reports,
            self.assignments,
            self.replicas,
            targets,
            timing.evidence_bound_s,
            draining_since,
            timing.evidence_bound_s + _SETTLE_MARGIN_S,
            frozenset(
                instance_id
                for instance_id, count in self.failed_probes.items()
                if count >= _REFUSALS_LOST
            ),
        )

    def close(self) -> None:
        """Stops the probes under way."""
        self._probes.cancel()

    def _is_leaving(self, instance_id: str) -> bool:
        listed = self.engines.get(instance_id)
        return listed is not None and listed.is_leaving

    async def _probe(self, instance_id: str) -> None:
        address = self.engines[instance_id].address
        asked_at = self.tools.clock()
        found = await self.tools.engines.report(address, instance_id, asked_at)
        if pipeline.is_successful(found):
            self.reports[instance_id] = found.unwrap()
            self.failed_probes.pop(instance_id, None)
        else:
            self.tools.metrics.count("probe_failed", found.failure().code.name)
            self.failed_probes[instance_id] += 1

    def _check_exclusive(self) -> None:
        owners: dict[str, str] = {}
        for replica in self.replicas.values():
            for member in replica.members:
                other = owners.setdefault(member, replica.replica_id)
                self.tools.invariants.hold(
                    "instance_in_one_replica",
                    other == replica.replica_id,
                    lambda m=member, a=other, b=replica: (  # type: ignore[misc]
                        f"{m} is in {a} and {b.replica_id}"
                    ),
                )

    def _count_failure(self, fault: codes.Fault) -> None:
        self.tools.metrics.count("table_failed", fault.code.name)


class DomainPlanner:
    """Holds a domain's lease, or tries to, and plans under it.

    Attributes:
        watcher: What is known of the domain.
        holder: This process's name, unique per start.
        watch: The view of the lease's row.
        held: The lease, if it is held as far as is known.
        draining_since: When each draining replica was first seen so.
        last_sent: When each instance was last sent an order.
    """

    def __init__(
        self, watcher: DomainWatcher, holder: str, tools: Tools
    ) -> None:
        self.watcher = watcher
        self.holder = holder
        self.tools = tools
        self.key = f"lease/domain/{watcher.domain}"
        self.watch: lease.LeaseObservation | None = None
        self.held: lease.HeldLease | None = None
        self.draining_since: dict[str, float] = {}
        self.last_sent: dict[str, float] = {}
        self._next_fence = 0
        # A renewal and a commit both depend on the lease row's version.
        self._writing = asyncio.Lock()
        self._tasks = tasks.Tasks()

    @property
    def is_holder(self) -> bool:
        """Whether the lease is held now."""
        return lease.holds(self.held, self.tools.clock())

    async def keep_lease(self, eagerness_s: float) -> None:
        """Reads, takes or renews the lease, as it stands.

        Args:
            eagerness_s: How much longer than needed to wait.
        """
        now = self.tools.clock()
        duration_s = self.tools.timing.lease_s
        if self.held is not None and not lease.holds(self.held, now):
            self.tools.metrics.count("lease_lapsed")
            self.held = None
            self.watch = None
        step = lease.decide(
            self.watch, self.held, self.holder, duration_s, now, eagerness_s
        )
        if step.kind is lease.StepKind.READ:
            await self._read_lease()
        elif step.kind is not lease.StepKind.WAIT:
            await self._write_lease_alone(eagerness_s)

    async def release_lease(self) -> None:
        """Releases the lease, so that a successor need not wait."""
        if self.held is not None:
            await self.tools.table.transact(lease.release(self.held))
            self.held = None

    async def run(self, targets: tuple[model.Target, ...]) -> None:
        """Plans, commits and gives orders once, if the lease is held."""
        watcher = self.watcher
        if not self.is_holder or not watcher.has_settled():
            return
        period_s = self.tools.timing.probe_period_s * _ROWS_PERIOD_FACTOR
        is_due = watcher.rows_are_due(period_s)
        if is_due and not await watcher.refresh_rows():
            # Orders still go out from the rows that are known.
            self._send_orders(targets)
            return
        self._note_draining()
        found = watcher.view(targets, self.draining_since)
        for change in planner.plan(found, self.tools.policy):
            if not await self._commit(change, found):
                watcher.rows_read_at = None
                return
        if watcher.rows_read_at is None and not await watcher.refresh_rows():
            return
        self._send_orders(targets)

    async def _read_lease(self) -> None:
        read = await self.tools.table.read((self.key,))
        if pipeline.is_successful(read):
            row = read.unwrap()[self.key]
            self.watch = lease.observe(self.watch, row, self.tools.clock())

    async def _write_lease_alone(self, eagerness_s: float) -> None:
        async with self._writing:
            # Decided again, since a commit may have gone before.
            now = self.tools.clock()
            duration_s = self.tools.timing.lease_s
            step = lease.decide(
                self.watch, self.held, self.holder, duration_s, now, eagerness_s
            )
            if step.transaction is not None:
                await self._write_lease(step, now)

    async def _write_lease(self, step: lease.Step, asked_at: float) -> None:
        assert step.transaction is not None
        answer = await self.tools.table.transact(step.transaction)
        if pipeline.is_successful(answer):
            self._take(step, answer.unwrap()[self.key], asked_at)
            return
        fault = answer.failure()
        self.tools.metrics.count("lease_write_failed", fault.code.name)
        if fault.code is codes.TABLE_ANSWER_LOST:
            await self._recover_lease(step, asked_at)
        elif fault.code is codes.TABLE_CONFLICT:
            self.held = None
            self.watch = None

    async def _recover_lease(self, step: lease.Step, asked_at: float) -> None:
        read = await self.tools.table.read((self.key,))
        if not pipeline.is_successful(read):
            return
        row = read.unwrap()[self.key]
        if lease.is_written_by(row, step):
            self._take(step, row.version, asked_at)

    def _take(
        self, step: lease.Step, row_version: int, asked_at: float
    ) -> None:
        is_new = self.held is None
        acquired_at = (
            self.tools.clock() if self.held is None else self.held.acquired_at
        )
        self.held = lease.lease_after(
            step,
            self.key,
            self.holder,
            row_version,
            self.tools.timing.lease_s,
            asked_at,
            acquired_at,
        )
        if is_new:
            self._next_fence = lease.fence_base(step.number) + 1
            self.watcher.rows_read_at = None
            self.draining_since = {}
            logs.event(
                "lease taken", domain=self.watcher.domain, number=step.number
            )

    async def _commit(
        self, change: planner.Change, found: view.DomainView
    ) -> bool:
        async with self._writing:
            return await self._commit_alone(change, found)

    async def _commit_alone(
        self, change: planner.Change, found: view.DomainView
    ) -> bool:
        held = self.held
        if held is None or not self.is_holder:
            return False
        fence = self._next_fence
        self._next_fence += 1
        transaction = commit.transaction(change, found, held, fence)
        answer = await self.tools.table.transact(transaction)
        name = type(change).__name__.lower()
        if not pipeline.is_successful(answer):
            code = answer.failure().code
            self.tools.metrics.count("commit_failed", code.name)
            return False
        self.tools.metrics.count("replica_change", name)
        self.watcher.rows_read_at = None
        logs.event(f"replica {name}", domain=found.domain, fence=fence)
        return True

    def _note_draining(self) -> None:
        now = self.tools.clock()
        draining = {
            replica_id
            for replica_id, replica in self.watcher.replicas.items()
            if replica.state is model.ReplicaState.DRAINING
        }
        self.draining_since = {
            replica_id: self.draining_since.get(replica_id, now)
            for replica_id in draining
        }

    def _send_orders(self, targets: tuple[model.Target, ...]) -> None:
        if self.held is None:
            return
        due = orders.due(
            self.watcher.view(targets, self.draining_since),
            self.tools.policy,
            self.held,
            self.last_sent,
            self.tools.timing.order_flight_s,
        )
        for order in due:
            self.last_sent[order.instance_id] = self.tools.clock()
            self._tasks.start(self._send(order))

    async def _send(self, order: model.Order) -> None:
        now = self.tools.clock()
        flight_s = self.tools.timing.order_flight_s
        if not orders.may_send(order, self.held, now, flight_s):
            self.tools.metrics.count("order_held_back")
            self.last_sent.pop(order.instance_id, None)
            return
        self.tools.invariants.hold(
            "order_within_lease",
            self.is_holder,
            lambda: f"{order.kind.value} to {order.instance_id}",
        )
        answer = await self.tools.engines.order(order)
        if pipeline.is_successful(answer):
            self.tools.metrics.count("order_sent", order.kind.value)
        else:
            self.tools.metrics.count("order_failed", answer.failure().code.name)


def by_domain(
    listed: Iterable[interfaces.ListedInstance],
) -> dict[str, dict[str, interfaces.ListedInstance]]:
    """Groups the listed engines by fabric domain."""
    found: dict[str, dict[str, interfaces.ListedInstance]] = {}
    for each in listed:
        if each.kind == interfaces.InstanceKind.ENGINE:
            found.setdefault(each.domain, {})[each.id] = each
    return found
