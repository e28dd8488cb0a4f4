"""Compares replica policies on the same simulated outages.

The outages are drawn from a seed and replayed against the planner with
simulated engines and a table in memory, without processes or a network. Once
all domains have settled after an outage, the simulated time jumps ahead.
"""

import dataclasses
import heapq
import itertools
import json
import pathlib
import random
import time
from collections.abc import Iterator

import click
import matplotlib
import numpy as np

from tamarackpier.cli import tables
from tamarackpier.platform import interfaces
from tamarackpier.replica import (
    commit,
    lease,
    model,
    orders,
    planner,
    policy,
    schedule,
    view,
)
from tamarackpier.standin import engine, memory

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

_OUTPUT_DIR = pathlib.Path("bench/out")
_TICK_S = 1.0
_LOAD_S = 60.0
_MAX_REPORT_AGE_S = 2.5
_RESEND_S = 2.0
# Number of ticks in a row without activity after which a domain has settled.
_SETTLED_TICKS = 6
_DAY_S = 86_400.0
_POLICIES = ("no-spares", "fixed-spares", "objective")


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Size, outage rates and objective of a simulated deployment.

    Attributes:
        name: Name in the results and on the command line.
        domains: Number of engines in each fabric domain.
        span: Number of instances in each replica.
        wanted: Number of replicas that are wanted at all times.
        failures_per_day: Mean number of engine failures per day. Repairs take
            an hour on average.
        restarts_per_day: Mean number of engine restarts per day. Each takes a
            few minutes.
        rack_losses_per_day: Mean number of losses of a rack of 16 instances
            per day. Each lasts half an hour.
        days: Number of simulated days.
        objective: Cost weights of downtime and stranded accelerators.
        parallel_loads: Number of loads that the weight store sustains at once.
    """

    name: str
    domains: tuple[int, ...]
    span: int
    wanted: int
    failures_per_day: float
    restarts_per_day: float
    rack_losses_per_day: float
    days: int
    objective: policy.Objective
    parallel_loads: int


SIALKOT = Deployment(
    "sialkot",
    (17, 17, 16),
    4,
    11,
    2.0,
    20.0,
    0.1,
    10,
    policy.Objective(1.0, 0.05, 10.0),
    8,
)
KAYA = Deployment(
    "kaya",
    (17, 17, 16),
    4,
    11,
    2.0,
    20.0,
    0.1,
    10,
    policy.Objective(0.1, 0.5, 10.0),
    8,
)
TWO_YEARS = Deployment(
    "two-years",
    (64,) * 96 + (56,),
    16,
    372,
    82.0,
    890.0,
    1 / 7,
    1,
    policy.Objective(1.0, 0.05, 10.0),
    64,
)


@dataclasses.dataclass(frozen=True)
class Outage:
    """Engines that go down at the same time and come back together.

    Attributes:
        at_s: Time at which the engines go down, in seconds from the start of
            the first day.
        ends_at_s: Time at which the engines come back, on the same clock.
        engines: Number of the domain and index in the domain of each engine.
    """

    at_s: float
    ends_at_s: float
    engines: tuple[tuple[int, int], ...]


@dataclasses.dataclass(frozen=True)
class Result:
    """Measurements of one policy over all outages.

    Attributes:
        downtime_s: Replica-seconds in which a wanted replica did not serve.
        stranded_s: Accelerator-seconds of healthy accelerators that were
            idle because a wanted replica was incomplete.
        cost: Sum of downtime and stranded time, weighted by the objective of
            the deployment.
        outages: Number of outages.
        plan_ms: Mean time to compute a plan, in milliseconds.
        plans: Number of plans.
        reads_per_s: Table reads per second in the busiest minute.
        writes_per_s: Table transactions per second in the busiest minute.
    """

    downtime_s: float
    stranded_s: float
    cost: float
    outages: int
    plan_ms: float
    plans: int
    reads_per_s: float
    writes_per_s: float


def draw_outages(deployment: Deployment, seed: int) -> list[Outage]:
    """Returns random outages for all days, sorted by time."""
    rng = random.Random(seed)
    outages: list[Outage] = []
    locations = [
        (domain, index)
        for domain, count in enumerate(deployment.domains)
        for index in range(count)
    ]
    end_s = deployment.days * _DAY_S

    def arrival_times(per_day: float) -> Iterator[float]:
        at_s = rng.expovariate(per_day / _DAY_S)
        while at_s < end_s:
            yield at_s
            at_s += rng.expovariate(per_day / _DAY_S)

    for at_s in arrival_times(deployment.failures_per_day):
        ends_at_s = at_s + rng.expovariate(1 / 3600.0)
        outages.append(Outage(at_s, ends_at_s, (rng.choice(locations),)))
    for at_s in arrival_times(deployment.restarts_per_day):
        ends_at_s = at_s + rng.uniform(60.0, 300.0)
        outages.append(Outage(at_s, ends_at_s, (rng.choice(locations),)))
    for at_s in arrival_times(deployment.rack_losses_per_day):
        domain = rng.randrange(len(deployment.domains))
        rack = tuple(
            location for location in locations if location[0] == domain
        )[:16]
        outages.append(Outage(at_s, at_s + 1800.0, rack))
    return sorted(outages, key=lambda outage: outage.at_s)


class _Domain:
    """A fabric domain: its engines, its table rows and its planner's state.

    Attributes:
        name: Name of the domain.
        zone: Availability zone of the domain.
        run: Simulation that the domain belongs to.
        engines: Simulated engines, by instance.
        listed: Engines that the platform lists, by instance.
        reports: Latest report of each engine, by instance.
        last_sent: Time of the last order to each instance, by instance.
        draining: Time at which each draining replica was first observed to be
            draining, by replica.
        assignments: Instance rows, by instance.
        replicas: Replica rows, by replica.
        held: Lease on the domain.
        fence: Last fencing number in use.
        inactive_ticks: Number of consecutive ticks without any activity.
        last_serving: Number of replicas that served when last counted.
        last_idle: Number of idle accelerators when last counted.
        last_capacity: Capacity for replicas when last computed.
    """

    def __init__(self, number: int, count: int, run: "_Run") -> None:
        self.name = f"d{number:03d}"
        self.zone = f"zone-{number % 6}"
        self.run = run
        self.engines: dict[str, engine.FakeEngine] = {}
        self.listed: dict[str, interfaces.ListedInstance] = {}
        for index in range(count):
            name = f"{self.name}-e{index:02d}"
            spec = engine.EngineSpec(name, self.name, self.zone, join_s=5.0)
            self.engines[name] = engine.FakeEngine(spec, run.weights)
            self.listed[name] = interfaces.ListedInstance(
                name, "engine", self.zone, self.name, name
            )
        self.reports: dict[str, model.EngineReport] = {}
        self.last_sent: dict[str, float] = {}
        self.draining: dict[str, float] = {}
        self.assignments: dict[str, model.Assignment] = {}
        self.replicas: dict[str, model.Replica] = {}
        self.held = self._acquire_lease()
        self.fence = lease.fence_base(1)
        self.inactive_ticks = 0
        self.last_serving = self.last_idle = 0
        self.last_capacity = schedule.DomainCapacity(self.name, "", 0, 0)

    def _acquire_lease(self) -> lease.HeldLease:
        key = f"lease/domain/{self.name}"
        value = {"holder": "bench", "number": 1, "duration_s": 1e9}
        commit_result = self.run.table.commit(
            interfaces.Transaction((), (interfaces.Write(key, value),))
        )
        return lease.HeldLease(
            key, "bench", 1, commit_result.unwrap()[key], 1e12, 1e12, 0.0
        )

    def has_absent_engine(self) -> bool:
        """Returns whether any engine is not up."""
        return any(
            fake_engine.health is not engine.Health.UP
            for fake_engine in self.engines.values()
        )

    def capacity(self, now: float) -> schedule.DomainCapacity:
        holding: dict[schedule.ReplicaKind, int] = {}
        for replica in self.replicas.values():
            if replica.state is model.ReplicaState.OPEN:
                kind = (replica.model, replica.version, len(replica.members))
                holding[kind] = holding.get(kind, 0) + 1
        absence_timeout_s = self.run.policy.absence_timeout_s(
            self.run.deployment.span
        )
        return schedule.DomainCapacity(
            self.name,
            self.zone,
            len(self.listed),
            self.view((), now).usable_count(absence_timeout_s),
            holding,
        )

    def view(
        self, targets: tuple[model.Target, ...], now: float
    ) -> view.DomainView:
        return view.DomainView(
            self.name,
            now,
            self.listed,
            self.reports,
            self.assignments,
            self.replicas,
            targets,
            _MAX_REPORT_AGE_S,
            self.draining,
            3.5,
        )

    def probe(self, now: float) -> None:
        for name, fake_engine in self.engines.items():
            if fake_engine.health is engine.Health.UP:
                self.reports[name] = fake_engine.report(now, now)

    def tick(self, targets: tuple[model.Target, ...], now: float) -> bool:
        """Plans once, commits the changes and sends the orders that are due.

        Returns:
            Whether there were any changes, orders or draining replicas.
        """
        self.draining = {
            name: self.draining.get(name, now)
            for name, replica in self.replicas.items()
            if replica.state is model.ReplicaState.DRAINING
        }
        snapshot = self.view(targets, now)
        started_at = time.perf_counter()
        changes = planner.plan(snapshot, self.run.policy)
        self.run.plan_s += time.perf_counter() - started_at
        self.run.plans += 1
        for change in changes:
            self.fence += 1
            transaction = commit.transaction(
                change, snapshot, self.held, self.fence
            )
            self.run.table.commit(transaction).unwrap()
            self.run.count_write(now)
        if changes:
            self._read_rows(now)
        due_orders = list(
            orders.due(
                self.view(targets, now),
                self.run.policy,
                self.held,
                self.last_sent,
                _RESEND_S,
            )
        )
        for order in due_orders:
            recipient = self.engines[order.instance_id]
            if recipient.health is engine.Health.UP:
                recipient.order(order, now)
            self.last_sent[order.instance_id] = now
        return bool(changes or due_orders or self.draining)

    def _read_rows(self, now: float) -> None:
        rows = self.run.table.rows
        prefix = model.replica_prefix(self.name)
        self.replicas = {}
        for key in [key for key in rows if key.startswith(prefix)]:
            replica = model.replica_from_row(rows[key])
            self.replicas[replica.replica_id] = replica
        keys = map(model.assignment_key, self.listed)
        assignments = (
            model.assignment_from_row(rows[key]) for key in keys if key in rows
        )
        self.assignments = {
            assignment.instance_id: assignment for assignment in assignments
        }
        self.run.count_reads(now, 2)

    def serving(self, now: float) -> int:
        """Returns the number of open replicas whose members are all ready."""
        return sum(
            all(
                self.engines[member].is_ready(name, replica.fence, now)
                for member in replica.members
            )
            for name, replica in self.replicas.items()
            if replica.state is model.ReplicaState.OPEN
        )

    def idle(self, now: float) -> int:
        """Returns the number of healthy accelerators that serve no replica."""
        up_count = sum(
            fake_engine.health is engine.Health.UP
            for fake_engine in self.engines.values()
        )
        return up_count - self.serving(now) * self.run.deployment.span


class _Run:
    """Simulation of one policy in one deployment.

    Attributes:
        deployment: Simulated deployment.
        policy: Replica policy.
        weights: Store that all engines load weights from.
        table: Table of the platform.
        plan_s: Total time spent on planning, in seconds.
        plans: Number of plans.
        writes: Number of table transactions, by minute.
        reads: Number of table reads, by minute.
        domains: Fabric domains.
        downtime_s: Replica-seconds of downtime up to now.
        stranded_s: Stranded accelerator-seconds up to now.
        capacities: Capacities that the targets were computed from.
        targets: Replicas that each domain should have, by domain.
        kind: Model, version and span of the wanted replicas.
    """

    def __init__(self, deployment: Deployment, policy_name: str) -> None:
        self.deployment = deployment
        self.policy = policy.create(policy_name, deployment.objective)
        self.weights = engine.WeightStore(_LOAD_S, deployment.parallel_loads)
        self.table = memory.MemoryTable()
        self.plan_s = 0.0
        self.plans = 0
        self.writes: dict[int, int] = {}
        self.reads: dict[int, int] = {}
        self.domains = [
            _Domain(number, count, self)
            for number, count in enumerate(deployment.domains)
        ]
        self.downtime_s = 0.0
        self.stranded_s = 0.0
        self.capacities: list[schedule.DomainCapacity] = []
        self.targets: dict[str, tuple[model.Target, ...]] = {}
        self.kind = ("draft", "v1", deployment.span)

    def count_write(self, now: float) -> None:
        self.writes[int(now // 60)] = self.writes.get(int(now // 60), 0) + 1

    def count_reads(self, now: float, count: int) -> None:
        minute = int(now // 60)
        self.reads[minute] = self.reads.get(minute, 0) + count

    def run(self, outages: list[Outage]) -> Result:
        """Simulates all days with the outages and returns the measurements."""
        self._advance(-7200.0, -10.0)
        assert sum(domain.serving(-10.0) for domain in self.domains) == (
            self.deployment.wanted
        )
        self.plan_s, self.plans = 0.0, 0
        self.writes, self.reads = {}, {}
        self.downtime_s = self.stranded_s = 0.0
        self._replay(outages)
        objective = self.deployment.objective
        cost = objective.downtime_weight * self.downtime_s
        cost += objective.stranding_weight * self.stranded_s
        return Result(
            self.downtime_s,
            self.stranded_s,
            cost,
            len(outages),
            self.plan_s / max(1, self.plans) * 1000,
            self.plans,
            max(self.reads.values(), default=0) / 60,
            max(self.writes.values(), default=0) / 60,
        )

    def _replay(self, outages: list[Outage]) -> None:
        counter = itertools.count()
        events: list[tuple[float, int, str, Outage]] = []
        for drawn_outage in outages:
            heapq.heappush(
                events,
                (drawn_outage.at_s, next(counter), "fail", drawn_outage),
            )
        now = 0.0
        while events:
            at_s, _, action, outage = heapq.heappop(events)
            now = self._advance(now, at_s)
            for number, index in outage.engines:
                name = list(self.domains[number].engines)[index]
                fake_engine = self.domains[number].engines[name]
                if action == "fail" and fake_engine.health is engine.Health.UP:
                    fake_engine.crash(at_s)
                    heapq.heappush(
                        events,
                        (
                            outage.ends_at_s,
                            next(counter),
                            "recover",
                            Outage(0, 0, ((number, index),)),
                        ),
                    )
                elif action == "recover":
                    fake_engine.restart(at_s)
                self.domains[number].inactive_ticks = 0
        self._advance(now, self.deployment.days * _DAY_S)

    def _advance(self, now: float, until: float) -> float:
        """Advances the simulated time and returns the new time.

        Domains tick until all have settled, then the time jumps to `until`, or
        first to the next absence timeout if that comes earlier.
        """
        may_time_out = True
        while now < until:
            unsettled = [
                domain
                for domain in self.domains
                if domain.inactive_ticks < _SETTLED_TICKS
            ]
            if not unsettled and not may_time_out:
                self._integrate(now, until)
                return until
            if not unsettled:
                # The absence timeout of an engine may expire before `until`.
                next_time = min(until, self._next_absence_timeout(now))
                self._integrate(now, next_time)
                now = next_time
                may_time_out = next_time < until
                if may_time_out:
                    for domain in self.domains:
                        if domain.has_absent_engine():
                            domain.inactive_ticks = 0
                    may_time_out = False
                continue
            next_time = min(until, now + _TICK_S)
            self._integrate(now, next_time)
            now = next_time
            self._tick(unsettled, now)
        return now

    def _next_absence_timeout(self, now: float) -> float:
        """Returns the time of the tick after the next absence timeout."""
        absence_timeout_s = self.policy.absence_timeout_s(self.deployment.span)
        expiry_times = [
            domain.reports[name].asked_at + absence_timeout_s + _TICK_S
            for domain in self.domains
            for name, fake_engine in domain.engines.items()
            if fake_engine.health is not engine.Health.UP
            and name in domain.reports
        ]
        return min(
            (expires_at for expires_at in expiry_times if expires_at > now),
            default=float("inf"),
        )

    def _tick(self, unsettled: list[_Domain], now: float) -> None:
        for domain in unsettled:
            domain.probe(now)
            domain.last_capacity = domain.capacity(now)
        wanted = {self.kind: self.deployment.wanted}
        capacities = [domain.last_capacity for domain in self.domains]
        if capacities != self.capacities:
            self.capacities = capacities
            previous_targets = self.targets
            self.targets = schedule.apportion(wanted, capacities)
            unsettled = [
                domain
                for domain in self.domains
                if domain in unsettled
                or self.targets.get(domain.name)
                != previous_targets.get(domain.name)
            ]
        targets = self.targets
        for domain in unsettled:
            domain.probe(now)
            is_active = domain.tick(targets.get(domain.name, ()), now)
            is_loading = any(
                fake_engine.state is model.EngineState.LOADING
                for fake_engine in domain.engines.values()
            )
            domain.inactive_ticks = (
                0 if is_active or is_loading else domain.inactive_ticks + 1
            )

    def _integrate(self, now: float, until: float) -> None:
        """Adds the downtime and the stranded time from `now` to `until`."""
        counted_at = min(until, now + _TICK_S / 2)
        for domain in self.domains:
            if domain.inactive_ticks < _SETTLED_TICKS or until - now > _TICK_S:
                domain.last_serving = domain.serving(counted_at)
                domain.last_idle = domain.idle(counted_at)
        serving = sum(domain.last_serving for domain in self.domains)
        missing = max(0, self.deployment.wanted - serving)
        if missing:
            idle = sum(domain.last_idle for domain in self.domains)
            max_stranded = missing * self.deployment.span
            self.downtime_s += missing * (until - now)
            self.stranded_s += min(idle, max_stranded) * (until - now)


def slopes(seed: int) -> list[dict[str, float]]:
    """Measures planning time and table load in deployments of several sizes."""
    rows = []
    for count in (4, 16, 48, 97):
        deployment = dataclasses.replace(
            TWO_YEARS,
            domains=(64,) * count,
            wanted=int(count * 4 * 0.96),
            failures_per_day=82.0 * count / 97,
            restarts_per_day=890.0 * count / 97,
            parallel_loads=64,
        )
        outages = draw_outages(deployment, seed)[: max(10, count)]
        run = _Run(deployment, "objective")
        result = run.run(outages)
        rows.append(
            {
                "engines": sum(deployment.domains),
                "plan_ms_per_domain": round(result.plan_ms, 3),
                "writes_per_outage": round(
                    sum(run.writes.values()) / len(outages), 2
                ),
                "reads_per_outage": round(
                    sum(run.reads.values()) / len(outages), 2
                ),
            }
        )
    return rows


@click.command()
@click.option("--seed", type=int, default=1, help="Seed of the outages.")
@click.option(
    "--only",
    multiple=True,
    default=("sialkot", "kaya", "two-years"),
    help="Deployments to run.",
)
@click.option(
    "--policy",
    "policy_names",
    multiple=True,
    default=_POLICIES,
    help="Policies to compare.",
)
@click.option("--no-slopes", is_flag=True, help="Do not measure the slopes.")
def main(
    seed: int,
    only: tuple[str, ...],
    policy_names: tuple[str, ...],
    no_slopes: bool,
) -> None:
    """Prints the results of each policy and writes a plot."""
    results: dict[str, dict[str, Result]] = {}
    for deployment in (SIALKOT, KAYA, TWO_YEARS):
        if deployment.name not in only:
            continue
        outages = draw_outages(deployment, seed)
        results[deployment.name] = {}
        for policy_name in policy_names:
            result = _Run(deployment, policy_name).run(outages)
            results[deployment.name][policy_name] = result
            labels = {"deployment": deployment.name, "policy": policy_name}
            click.echo(json.dumps(labels | dataclasses.asdict(result)))
    _print_table(results)
    for row in [] if no_slopes else slopes(seed):
        click.echo(json.dumps(row))
    if policy_names == _POLICIES:
        _plot(results)


def _print_table(results: dict[str, dict[str, Result]]) -> None:
    header = ("deployment", "policy", "downtime s", "stranded s", "cost")
    rows = [
        (
            deployment_name,
            policy_name,
            round(result.downtime_s),
            round(result.stranded_s),
            round(result.cost),
        )
        for deployment_name, policy_results in results.items()
        for policy_name, result in policy_results.items()
    ]
    click.echo(tables.grid(header, rows))


def _plot(results: dict[str, dict[str, Result]]) -> None:
    _OUTPUT_DIR.mkdir(exist_ok=True)
    figure, axes = pyplot.subplots(1, len(results), squeeze=False)
    figure.set_size_inches(5 * len(results), 4)
    positions = np.arange(len(_POLICIES))
    for axis, (deployment_name, policy_results) in zip(
        axes[0], results.items(), strict=True
    ):
        downtime = [policy_results[name].downtime_s for name in _POLICIES]
        stranded = [policy_results[name].stranded_s for name in _POLICIES]
        axis.bar(positions - 0.2, downtime, 0.4, label="downtime, replica-s")
        axis.bar(
            positions + 0.2, stranded, 0.4, label="stranded, accelerator-s"
        )
        axis.set_xticks(positions, _POLICIES)
        axis.set_yscale("log")
        axis.set_title(deployment_name)
        axis.legend(fontsize="small")
    figure.tight_layout()
    figure.savefig(_OUTPUT_DIR / "replicas.png")


if __name__ == "__main__":
    main()
