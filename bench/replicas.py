"""Replica policies over the same recorded day of failures.

A list of failures is drawn from a seed and fed to the pure planner through
the fakes: engines in memory and a table in memory, no processes and no
network. Between failures time jumps.
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

_OUT = pathlib.Path("bench/out")
_TICK_S = 1.0
_LOAD_S = 60.0
_LOST_AFTER_S = 2.5
_RESEND_S = 2.0
_QUIET_TICKS = 6
_DAY_S = 86_400.0
_POLICIES = ("no-spares", "fixed-spares", "objective")


@dataclasses.dataclass(frozen=True)
class Deployment:
    """One deployment's size, rates and objective.

    Attributes:
        name: What to call it.
        domains: Engines in each fabric domain.
        span: Instances in a replica.
        wanted: Replicas wanted all day.
        failures: Failures on a day, repaired after about an hour.
        restarts: Restarts on a day, of a few minutes.
        rack_losses: Losses of 16 or more instances on a day.
        days: How many days.
        objective: Its weights.
        parallel_loads: Loads that the weight store carries at once.
    """

    name: str
    domains: tuple[int, ...]
    span: int
    wanted: int
    failures: float
    restarts: float
    rack_losses: float
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
    """Engines that go and come back."""

    at_s: float
    back_s: float
    engines: tuple[tuple[int, int], ...]


@dataclasses.dataclass(frozen=True)
class Result:
    """What one policy made of the recorded outages.

    Attributes:
        downtime_s: Replica-seconds in which a wanted replica did not serve.
        stranded_s: Accelerator-seconds of healthy accelerators that were
            idle because a wanted replica was incomplete.
        cost: Both, by the deployment's weights.
        outages: How many outages there were.
        plan_ms: Mean time of one plan.
        plans: How many plans were made.
        reads_per_s: Table reads a second in the busiest minute.
        writes_per_s: Table transactions a second in the busiest minute.
    """

    downtime_s: float
    stranded_s: float
    cost: float
    outages: int
    plan_ms: float
    plans: int
    reads_per_s: float
    writes_per_s: float


def record(deployment: Deployment, seed: int) -> list[Outage]:
    """Returns the outages of all days, by time."""
    rng = random.Random(seed)
    found: list[Outage] = []
    every = [
        (domain, index)
        for domain, count in enumerate(deployment.domains)
        for index in range(count)
    ]
    end_s = deployment.days * _DAY_S

    def times(per_day: float) -> Iterator[float]:
        at_s = rng.expovariate(per_day / _DAY_S)
        while at_s < end_s:
            yield at_s
            at_s += rng.expovariate(per_day / _DAY_S)

    for at_s in times(deployment.failures):
        back_s = at_s + rng.expovariate(1 / 3600.0)
        found.append(Outage(at_s, back_s, (rng.choice(every),)))
    for at_s in times(deployment.restarts):
        back_s = at_s + rng.uniform(60.0, 300.0)
        found.append(Outage(at_s, back_s, (rng.choice(every),)))
    for at_s in times(deployment.rack_losses):
        domain = rng.randrange(len(deployment.domains))
        hit = tuple(each for each in every if each[0] == domain)[:16]
        found.append(Outage(at_s, at_s + 1800.0, hit))
    return sorted(found, key=lambda each: each.at_s)


class _Domain:
    """One fabric domain: fakes, rows and what its planner remembers."""

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
        self.held = self._take_lease()
        self.fence = lease.fence_base(1)
        self.quiet = 0
        self.last_serving = self.last_idle = 0
        self.last_capacity = schedule.DomainCapacity(self.name, "", 0, 0)

    def _take_lease(self) -> lease.HeldLease:
        key = f"lease/domain/{self.name}"
        value = {"holder": "bench", "number": 1, "duration_s": 1e9}
        done = self.run.table.commit(
            interfaces.Transaction((), (interfaces.Write(key, value),))
        )
        return lease.HeldLease(
            key, "bench", 1, done.unwrap()[key], 1e12, 1e12, 0.0
        )

    def has_absent(self) -> bool:
        """Returns whether any engine is away."""
        return any(
            each.health is not engine.Health.UP
            for each in self.engines.values()
        )

    def capacity(self, now: float) -> schedule.DomainCapacity:
        holding: dict[schedule.ReplicaKind, int] = {}
        for each in self.replicas.values():
            if each.state is model.ReplicaState.OPEN:
                kind = (each.model, each.version, len(each.members))
                holding[kind] = holding.get(kind, 0) + 1
        patience_s = self.run.policy.absence_timeout_s(self.run.deployment.span)
        return schedule.DomainCapacity(
            self.name,
            self.zone,
            len(self.listed),
            self.view((), now).usable_count(patience_s),
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
            _LOST_AFTER_S,
            self.draining,
            3.5,
        )

    def probe(self, now: float) -> None:
        for name, each in self.engines.items():
            if each.health is engine.Health.UP:
                self.reports[name] = each.report(now, now)

    def tick(self, targets: tuple[model.Target, ...], now: float) -> bool:
        """Plans once; returns whether anything changed or was ordered."""
        self.draining = {
            name: self.draining.get(name, now)
            for name, each in self.replicas.items()
            if each.state is model.ReplicaState.DRAINING
        }
        found = self.view(targets, now)
        began = time.perf_counter()
        changes = planner.plan(found, self.run.policy)
        self.run.plan_s += time.perf_counter() - began
        self.run.plans += 1
        for change in changes:
            self.fence += 1
            transaction = commit.transaction(
                change, found, self.held, self.fence
            )
            self.run.table.commit(transaction).unwrap()
            self.run.note_write(now)
        if changes:
            self._read_rows(now)
        due = list(
            orders.due(
                self.view(targets, now),
                self.run.policy,
                self.held,
                self.last_sent,
                _RESEND_S,
            )
        )
        for order in due:
            target = self.engines[order.instance_id]
            if target.health is engine.Health.UP:
                target.order(order, now)
            self.last_sent[order.instance_id] = now
        return bool(changes or due or self.draining)

    def _read_rows(self, now: float) -> None:
        rows = self.run.table.rows
        prefix = model.replica_prefix(self.name)
        self.replicas = {}
        for key in [key for key in rows if key.startswith(prefix)]:
            each = model.replica_from(rows[key])
            self.replicas[each.replica_id] = each
        keys = map(model.assignment_key, self.listed)
        found = (
            model.assignment_from(rows[key]) for key in keys if key in rows
        )
        self.assignments = {each.instance_id: each for each in found}
        self.run.note_read(now, 2)

    def serving(self, now: float) -> int:
        return sum(
            all(
                self.engines[member].is_ready(name, each.fence, now)
                for member in each.members
            )
            for name, each in self.replicas.items()
            if each.state is model.ReplicaState.OPEN
        )

    def idle(self, now: float) -> int:
        """Returns healthy accelerators that serve nothing."""
        up = sum(
            each.health is engine.Health.UP for each in self.engines.values()
        )
        return up - self.serving(now) * self.run.deployment.span


class _Run:
    """One policy over one list of outages."""

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

    def note_write(self, now: float) -> None:
        self.writes[int(now // 60)] = self.writes.get(int(now // 60), 0) + 1

    def note_read(self, now: float, count: int) -> None:
        minute = int(now // 60)
        self.reads[minute] = self.reads.get(minute, 0) + count

    def run(self, outages: list[Outage]) -> Result:
        """Feeds the outages and integrates what they cost."""
        self._settle(-7200.0, -10.0)
        assert sum(each.serving(-10.0) for each in self.domains) == (
            self.deployment.wanted
        )
        self.plan_s, self.plans = 0.0, 0
        self.writes, self.reads = {}, {}
        self.downtime_s = self.stranded_s = 0.0
        self._feed(outages)
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

    def _feed(self, outages: list[Outage]) -> None:
        counter = itertools.count()
        moments: list[tuple[float, int, str, Outage]] = []
        for each in outages:
            heapq.heappush(moments, (each.at_s, next(counter), "lose", each))
        now = 0.0
        while moments:
            at_s, _, verb, outage = heapq.heappop(moments)
            now = self._settle(now, at_s)
            for domain, index in outage.engines:
                name = list(self.domains[domain].engines)[index]
                target = self.domains[domain].engines[name]
                if verb == "lose" and target.health is engine.Health.UP:
                    target.crash(at_s)
                    heapq.heappush(
                        moments,
                        (
                            outage.back_s,
                            next(counter),
                            "return",
                            Outage(0, 0, ((domain, index),)),
                        ),
                    )
                elif verb == "return":
                    target.restart(at_s)
                self.domains[domain].quiet = 0
        self._settle(now, self.deployment.days * _DAY_S)

    def _settle(self, now: float, until: float) -> float:
        """Ticks while anything moves, then jumps to `until`."""
        absent = True
        while now < until:
            moving = [
                each for each in self.domains if each.quiet < _QUIET_TICKS
            ]
            if not moving and not absent:
                self._integrate(now, until)
                return until
            if not moving:
                # Patience may run out while an engine is absent.
                step = min(until, self._next_patience(now))
                self._integrate(now, step)
                now = step
                absent = step < until
                if absent:
                    for each in self.domains:
                        if each.has_absent():
                            each.quiet = 0
                    absent = False
                continue
            step = min(until, now + _TICK_S)
            self._integrate(now, step)
            now = step
            self._tick(moving, now)
        return now

    def _next_patience(self, now: float) -> float:
        patience_s = self.policy.absence_timeout_s(self.deployment.span)
        ends = [
            each.reports[name].asked_at + patience_s + _TICK_S
            for each in self.domains
            for name, one in each.engines.items()
            if one.health is not engine.Health.UP and name in each.reports
        ]
        return min((end for end in ends if end > now), default=float("inf"))

    def _tick(self, moving: list[_Domain], now: float) -> None:
        for each in moving:
            each.probe(now)
            each.last_capacity = each.capacity(now)
        wanted = {self.kind: self.deployment.wanted}
        capacities = [each.last_capacity for each in self.domains]
        if capacities != self.capacities:
            self.capacities = capacities
            before = self.targets
            self.targets = schedule.apportion(wanted, capacities)
            moving = [
                each
                for each in self.domains
                if each in moving
                or self.targets.get(each.name) != before.get(each.name)
            ]
        targets = self.targets
        for each in moving:
            each.probe(now)
            is_moving = each.tick(targets.get(each.name, ()), now)
            busy = any(
                one.state is model.EngineState.LOADING
                for one in each.engines.values()
            )
            each.quiet = 0 if is_moving or busy else each.quiet + 1

    def _integrate(self, now: float, until: float) -> None:
        middle = min(until, now + _TICK_S / 2)
        for each in self.domains:
            if each.quiet < _QUIET_TICKS or until - now > _TICK_S:
                each.last_serving = each.serving(middle)
                each.last_idle = each.idle(middle)
        serving = sum(each.last_serving for each in self.domains)
        missing = max(0, self.deployment.wanted - serving)
        if missing:
            idle = sum(each.last_idle for each in self.domains)
            most = missing * self.deployment.span
            self.downtime_s += missing * (until - now)
            self.stranded_s += min(idle, most) * (until - now)


def slopes(seed: int) -> list[dict[str, float]]:
    """Returns planning time and table load at several sizes."""
    rows = []
    for count in (4, 16, 48, 97):
        deployment = dataclasses.replace(
            TWO_YEARS,
            domains=(64,) * count,
            wanted=int(count * 4 * 0.96),
            failures=82.0 * count / 97,
            restarts=890.0 * count / 97,
            parallel_loads=64,
        )
        outages = record(deployment, seed)[: max(10, count)]
        run = _Run(deployment, "objective")
        found = run.run(outages)
        rows.append(
            {
                "engines": sum(deployment.domains),
                "plan_ms_per_domain": round(found.plan_ms, 3),
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
    "--policy", "names", multiple=True, default=_POLICIES, help="To compare."
)
@click.option("--no-slopes", is_flag=True, help="Leave the slopes out.")
def main(
    seed: int, only: tuple[str, ...], names: tuple[str, ...], no_slopes: bool
) -> None:
    """Compares the policies and writes a table and a plot."""
    results: dict[str, dict[str, Result]] = {}
    for deployment in (SIALKOT, KAYA, TWO_YEARS):
        if deployment.name not in only:
            continue
        outages = record(deployment, seed)
        results[deployment.name] = {}
        for name in names:
            found = _Run(deployment, name).run(outages)
            results[deployment.name][name] = found
            line = {"deployment": deployment.name, "policy": name}
            click.echo(json.dumps(line | dataclasses.asdict(found)))
    _show(results)
    for row in [] if no_slopes else slopes(seed):
        click.echo(json.dumps(row))
    if names == _POLICIES:
        _plot(results)


def _show(results: dict[str, dict[str, Result]]) -> None:
    header = ("deployment", "policy", "downtime s", "stranded s", "cost")
    rows = [
        (
            deployment,
            name,
            round(each.downtime_s),
            round(each.stranded_s),
            round(each.cost),
        )
        for deployment, found in results.items()
        for name, each in found.items()
    ]
    click.echo(tables.grid(header, rows))


def _plot(results: dict[str, dict[str, Result]]) -> None:
    _OUT.mkdir(exist_ok=True)
    figure, axes = pyplot.subplots(1, len(results), squeeze=False)
    figure.set_size_inches(5 * len(results), 4)
    places = np.arange(len(_POLICIES))
    for axis, (name, found) in zip(axes[0], results.items(), strict=True):
        downtime = [found[each].downtime_s for each in _POLICIES]
        stranded = [found[each].stranded_s for each in _POLICIES]
        axis.bar(places - 0.2, downtime, 0.4, label="downtime, replica-s")
        axis.bar(places + 0.2, stranded, 0.4, label="stranded, accelerator-s")
        axis.set_xticks(places, _POLICIES)
        axis.set_yscale("log")
        axis.set_title(name)
        axis.legend(fontsize="small")
    figure.tight_layout()
    figure.savefig(_OUT / "replicas.png")


if __name__ == "__main__":
    main()
