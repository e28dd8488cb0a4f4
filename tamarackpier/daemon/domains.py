"""Watches fabric domains and plans their replicas under a lease."""

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

__all__ = ["Dependencies", "DomainPlanner", "DomainWatcher"]

# Age of the cached rows at which a planner reads them again.
_ROWS_REFRESH_PROBE_PERIODS = 8
# Age of the cached rows at which they count as stale.
_ROWS_FRESH_PROBE_PERIODS = 12
# Margin added to the maximum age of evidence, after which no entry instance
# sends new requests to a draining replica.
_DRAIN_SETTLE_MARGIN_S = 1.0
# Time from the start of a watcher in which each live engine can answer a probe.
_SETTLE_PROBE_PERIODS = 4
# Number of consecutive failed probes after which an engine counts as lost.
_LOST_AFTER_FAILED_PROBES = 2
# Time for which an engine may stand still and go on.
_PATIENCE_S = 2.0
# Share of its timeout that a probe without an answer takes at least.
_TIMEOUT_SHARE = 0.9


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """Dependencies that the watchers and planners of all domains share.

    Attributes:
        table: The platform's table.
        engines: Client for the engines.
        timing: Periods and time limits.
        policy: Weighs downtime against stranded instances.
        metrics: The counters of the instance.
        invariants: The runtime checks of the instance.
        clock: Returns the monotonic time, in seconds.
    """

    table: interfaces.Table
    engines: engine.EngineClient
    timing: settings.TimingSettings
    policy: policy.Policy
    metrics: metrics.Metrics
    invariants: invariants.Invariants
    clock: Callable[[], float]


class DomainWatcher:
    """Probes the engines of a domain and caches its table rows.

    A watcher writes nothing, so any entry instance may watch any domain.

    Attributes:
        domain: The fabric domain.
        dependencies: The shared dependencies.
        engines: The listed engines of the domain, by instance ID.
        reports: The latest report of each engine that has answered a probe,
            by instance ID.
        failed_probes: Number of consecutive failed probes, by instance ID.
        silent_since: Monotonic time at which the first of consecutive probes
            without an answer was sent, in seconds, by instance ID; absent if
            the last probe was answered or refused.
        replicas: The replica rows, by replica ID.
        assignments: The assignment rows, by instance ID.
        rows_read_at: Monotonic time of the last read of the rows, in
            seconds; None if they must be read again.
        started_at: Monotonic time at which watching began, in seconds.
    """

    def __init__(self, domain: str, dependencies: Dependencies) -> None:
        self.domain = domain
        self.dependencies = dependencies
        self.engines: dict[str, interfaces.ListedInstance] = {}
        self.reports: dict[str, model.EngineReport] = {}
        self.failed_probes: collections.Counter[str] = collections.Counter()
        self.silent_since: dict[str, float] = {}
        self.replicas: dict[str, model.Replica] = {}
        self.assignments: dict[str, model.Assignment] = {}
        self.rows_read_at: float | None = None
        self.started_at = dependencies.clock()
        self._probes = loops.SingleFlight(dependencies.metrics)
        self._read_lock = asyncio.Lock()

    def start_probes(self) -> None:
        """Starts a probe of each engine that has none in flight."""
        for instance_id in self.engines:
            self._probes.start(
                instance_id, functools.partial(self._probe, instance_id)
            )

    async def refresh_rows(self) -> bool:
        """Reads the rows of the domain; returns whether that succeeded."""
        async with self._read_lock:
            return await self._read_rows()

    async def _read_rows(self) -> bool:
        requested_at = self.dependencies.clock()
        table = self.dependencies.table
        keys = tuple(
            model.assignment_key(instance_id) for instance_id in self.engines
        )
        scan_result = await table.scan(model.replica_prefix(self.domain))
        if not pipeline.is_successful(scan_result):
            self._count_table_failure(scan_result.failure())
            return False
        read_result = await table.read(keys)
        if not pipeline.is_successful(read_result):
            self._count_table_failure(read_result.failure())
            return False
        replicas = map(model.replica_from_row, scan_result.unwrap().values())
        self.replicas = {replica.replica_id: replica for replica in replicas}
        assignments = map(
            model.assignment_from_row, read_result.unwrap().values()
        )
        self.assignments = {
            assignment.instance_id: assignment for assignment in assignments
        }
        self.rows_read_at = requested_at
        self._check_exclusive()
        return True

    def has_settled(self) -> bool:
        """Returns whether each live engine has had time to answer a probe."""
        watched_s = self.dependencies.clock() - self.started_at
        return (
            watched_s
            >= _SETTLE_PROBE_PERIODS * self.dependencies.timing.probe_period_s
        )

    def has_fresh_rows(self) -> bool:
        """Returns whether the cached rows are recent enough to rely on."""
        return not self.rows_are_due(
            _ROWS_FRESH_PROBE_PERIODS * self.dependencies.timing.probe_period_s
        )

    def rows_are_due(self, period_s: float) -> bool:
        """Returns whether the rows are to be read again.

        Args:
            period_s: Age from which the rows are due, in seconds.
        """
        return (
            self.rows_read_at is None
            or self.dependencies.clock() - self.rows_read_at >= period_s
        )

    def evidence(self) -> tuple[list[gate.Evidence], list[model.Replica]]:
        """Returns evidence of the intact replicas, and the broken replicas.

        A replica is broken if its lead instance is not listed, if the last
        probe of a member failed, or if the reports of its members do not
        confirm its row.
        """
        intact = []
        broken = []
        for replica in self.replicas.values():
            lead = self.engines.get(replica.members[0])
            verification: gate.Evidence | str = "lead instance is not listed"
            if lead is not None and not self.failed_probes.keys() & set(
                replica.members
            ):
                verification = gate.verify(
                    replica,
                    self.reports,
                    lead.availability_zone,
                    lead.address,
                )
            if isinstance(verification, str):
                broken.append(replica)
            elif any(map(self._is_leaving, replica.members)):
                # Closed to new requests, even before the planner has recorded
                # that in the row of the replica.
                intact.append(dataclasses.replace(verification, is_open=False))
            else:
                intact.append(verification)
        return intact, broken

    def view(
        self,
        targets: tuple[model.Target, ...],
        draining_since: Mapping[str, float],
    ) -> view.DomainView:
        """Returns the current state of the domain as input for the planner.

        Args:
            targets: The replicas that the domain should hold.
            draining_since: Monotonic time at which each draining replica was
                first seen as draining, in seconds, by replica ID.
        """
        timing = self.dependencies.timing
        return view.DomainView(
            self.domain,
            self.dependencies.clock(),
            self.engines,
            self.reports,
            self.assignments,
            self.replicas,
            targets,
            max(timing.evidence_bound_s, _PATIENCE_S),
            draining_since,
            timing.evidence_bound_s + _DRAIN_SETTLE_MARGIN_S,
            frozenset(
                instance_id
                for instance_id, count in self.failed_probes.items()
                if count >= _LOST_AFTER_FAILED_PROBES
                and not self._may_go_on(instance_id)
            ),
        )

    def _may_go_on(self, instance_id: str) -> bool:
        """Returns whether an engine is only silent, and not for long."""
        silent_since = self.silent_since.get(instance_id)
        return (
            silent_since is not None
            and self.dependencies.clock() - silent_since < _PATIENCE_S
        )

    def close(self) -> None:
        """Cancels the probes in flight."""
        self._probes.cancel()

    def _is_leaving(self, instance_id: str) -> bool:
        instance = self.engines.get(instance_id)
        return instance is not None and instance.is_leaving

    async def _probe(self, instance_id: str) -> None:
        address = self.engines[instance_id].address
        requested_at = self.dependencies.clock()
        report_result = await self.dependencies.engines.report(
            address, instance_id, requested_at
        )
        if pipeline.is_successful(report_result):
            self.reports[instance_id] = report_result.unwrap()
            self.failed_probes.pop(instance_id, None)
            self.silent_since.pop(instance_id, None)
        else:
            self.dependencies.metrics.count(
                "probe_failed", report_result.failure().code.name
            )
            self.failed_probes[instance_id] += 1
            self._record_unanswered(instance_id, requested_at)

    def _record_unanswered(self, instance_id: str, requested_at: float) -> None:
        """Records whether a failed probe shows more than silence.

        A probe that fails sooner than its timeout was refused, so the engine
        has ended.
        """
        dependencies = self.dependencies
        timeout_s = (
            engine.PROBE_TIMEOUT_PERIODS * dependencies.timing.probe_period_s
        )
        if dependencies.clock() - requested_at < _TIMEOUT_SHARE * timeout_s:
            self.silent_since.pop(instance_id, None)
        else:
            self.silent_since.setdefault(instance_id, requested_at)

    def _check_exclusive(self) -> None:
        owners: dict[str, str] = {}
        for replica in self.replicas.values():
            for member in replica.members:
                owner = owners.setdefault(member, replica.replica_id)
                self.dependencies.invariants.hold(
                    "instance_in_one_replica",
                    owner == replica.replica_id,
                    lambda m=member, a=owner, b=replica: (  # type: ignore[misc]
                        f"{m} is in replicas {a} and {b.replica_id}"
                    ),
                )

    def _count_table_failure(self, fault: codes.Fault) -> None:
        self.dependencies.metrics.count("table_failed", fault.code.name)


class DomainPlanner:
    """Contends for the lease of a domain and plans the domain under it.

    Attributes:
        watcher: The watcher of the domain.
        holder: Name of this process as a lease holder, unique per start.
        dependencies: The shared dependencies.
        key: Key of the lease row.
        observation: The latest observation of the lease row.
        held_lease: The lease, if this process holds it as far as it knows.
        draining_since: Monotonic time at which each draining replica was
            first seen as draining, in seconds, by replica ID.
        last_sent: Monotonic time of the last order to each instance, in
            seconds, by instance ID.
    """

    def __init__(
        self, watcher: DomainWatcher, holder: str, dependencies: Dependencies
    ) -> None:
        self.watcher = watcher
        self.holder = holder
        self.dependencies = dependencies
        self.key = f"lease/domain/{watcher.domain}"
        self.observation: lease.LeaseObservation | None = None
        self.held_lease: lease.HeldLease | None = None
        self.draining_since: dict[str, float] = {}
        self.last_sent: dict[str, float] = {}
        self._next_fence = 0
        # Serializes renewals and commits: both depend on the version of the
        # lease row.
        self._write_lock = asyncio.Lock()
        self._tasks = tasks.Tasks()

    @property
    def is_holder(self) -> bool:
        """Whether this process holds the lease now."""
        return lease.holds(self.held_lease, self.dependencies.clock())

    async def keep_lease(self, takeover_delay_s: float) -> None:
        """Reads, acquires or renews the lease, whichever is due.

        Args:
            takeover_delay_s: Time to wait beyond the expiry of the lease before
                acquiring it, in seconds.
        """
        now = self.dependencies.clock()
        duration_s = self.dependencies.timing.lease_s
        if self.held_lease is not None and not lease.holds(
            self.held_lease, now
        ):
            self.dependencies.metrics.count("lease_lapsed")
            self.held_lease = None
            self.observation = None
        step = lease.decide(
            self.observation,
            self.held_lease,
            self.holder,
            duration_s,
            now,
            takeover_delay_s,
        )
        if step.kind is lease.StepKind.READ:
            await self._read_lease()
        elif step.kind is not lease.StepKind.WAIT:
            await self._write_lease_exclusively(takeover_delay_s)

    async def release_lease(self) -> None:
        """Releases the lease, so that a successor need not wait for expiry."""
        if self.held_lease is not None:
            await self.dependencies.table.transact(
                lease.release(self.held_lease)
            )
            self.held_lease = None

    async def run(self, targets: tuple[model.Target, ...]) -> None:
        """Plans the domain, commits the changes and sends orders, once.

        Does nothing if the lease is not held or the watcher has not settled.

        Args:
            targets: The replicas that the domain should hold.
        """
        watcher = self.watcher
        if not self.is_holder or not watcher.has_settled():
            return
        period_s = (
            self.dependencies.timing.probe_period_s
            * _ROWS_REFRESH_PROBE_PERIODS
        )
        is_due = watcher.rows_are_due(period_s)
        if is_due and not await watcher.refresh_rows():
            # The read failed: send orders from the cached rows.
            self._send_orders(targets)
            return
        self._update_draining_since()
        domain_view = watcher.view(targets, self.draining_since)
        for change in planner.plan(domain_view, self.dependencies.policy):
            if not await self._commit(change, domain_view):
                watcher.rows_read_at = None
                return
        if watcher.rows_read_at is None and not await watcher.refresh_rows():
            return
        self._send_orders(targets)

    async def _read_lease(self) -> None:
        read_result = await self.dependencies.table.read((self.key,))
        if pipeline.is_successful(read_result):
            row = read_result.unwrap()[self.key]
            self.observation = lease.observe(
                self.observation, row, self.dependencies.clock()
            )

    async def _write_lease_exclusively(self, takeover_delay_s: float) -> None:
        async with self._write_lock:
            # Decide again: a commit may have changed the lease row meanwhile.
            now = self.dependencies.clock()
            duration_s = self.dependencies.timing.lease_s
            step = lease.decide(
                self.observation,
                self.held_lease,
                self.holder,
                duration_s,
                now,
                takeover_delay_s,
            )
            if step.transaction is not None:
                await self._write_lease(step, now)

    async def _write_lease(self, step: lease.Step, requested_at: float) -> None:
        assert step.transaction is not None
        write_result = await self.dependencies.table.transact(step.transaction)
        if pipeline.is_successful(write_result):
            self._set_held_lease(
                step, write_result.unwrap()[self.key], requested_at
            )
            return
        fault = write_result.failure()
        self.dependencies.metrics.count("lease_write_failed", fault.code.name)
        if fault.code is codes.TABLE_ANSWER_LOST:
            await self._recover_lease(step, requested_at)
        elif fault.code is codes.TABLE_CONFLICT:
            self.held_lease = None
            self.observation = None

    async def _recover_lease(
        self, step: lease.Step, requested_at: float
    ) -> None:
        read_result = await self.dependencies.table.read((self.key,))
        if not pipeline.is_successful(read_result):
            return
        row = read_result.unwrap()[self.key]
        if lease.is_written_by(row, step):
            self._set_held_lease(step, row.version, requested_at)

    def _set_held_lease(
        self, step: lease.Step, row_version: int, requested_at: float
    ) -> None:
        is_new = self.held_lease is None
        acquired_at = (
            self.dependencies.clock()
            if self.held_lease is None
            else self.held_lease.acquired_at
        )
        self.held_lease = lease.lease_after(
            step,
            self.key,
            self.holder,
            row_version,
            self.dependencies.timing.lease_s,
            requested_at,
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
        self, change: planner.Change, domain_view: view.DomainView
    ) -> bool:
        async with self._write_lock:
            return await self._commit_exclusively(change, domain_view)

    async def _commit_exclusively(
        self, change: planner.Change, domain_view: view.DomainView
    ) -> bool:
        held_lease = self.held_lease
        if held_lease is None or not self.is_holder:
            return False
        fence = self._next_fence
        self._next_fence += 1
        transaction = commit.transaction(change, domain_view, held_lease, fence)
        commit_result = await self.dependencies.table.transact(transaction)
        change_name = type(change).__name__.lower()
        if not pipeline.is_successful(commit_result):
            code = commit_result.failure().code
            self.dependencies.metrics.count("commit_failed", code.name)
            return False
        self.dependencies.metrics.count("replica_change", change_name)
        self.watcher.rows_read_at = None
        logs.event(
            f"replica {change_name}", domain=domain_view.domain, fence=fence
        )
        return True

    def _update_draining_since(self) -> None:
        now = self.dependencies.clock()
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
        if self.held_lease is None:
            return
        due_orders = orders.due(
            self.watcher.view(targets, self.draining_since),
            self.dependencies.policy,
            self.held_lease,
            self.last_sent,
            self.dependencies.timing.order_flight_s,
        )
        for order in due_orders:
            self.last_sent[order.instance_id] = self.dependencies.clock()
            self._tasks.start(self._send(order))

    async def _send(self, order: model.Order) -> None:
        now = self.dependencies.clock()
        flight_s = self.dependencies.timing.order_flight_s
        if not orders.may_send(order, self.held_lease, now, flight_s):
            self.dependencies.metrics.count("order_held_back")
            self.last_sent.pop(order.instance_id, None)
            return
        self.dependencies.invariants.hold(
            "order_within_lease",
            self.is_holder,
            lambda: f"{order.kind.value} to {order.instance_id}",
        )
        order_result = await self.dependencies.engines.order(order)
        if pipeline.is_successful(order_result):
            self.dependencies.metrics.count("order_sent", order.kind.value)
        else:
            self.dependencies.metrics.count(
                "order_failed", order_result.failure().code.name
            )


def by_domain(
    listed: Iterable[interfaces.ListedInstance],
) -> dict[str, dict[str, interfaces.ListedInstance]]:
    """Returns the listed engines by fabric domain, then by instance ID."""
    engines: dict[str, dict[str, interfaces.ListedInstance]] = {}
    for instance in listed:
        if instance.kind == interfaces.InstanceKind.ENGINE:
            engines.setdefault(instance.domain, {})[instance.id] = instance
    return engines
