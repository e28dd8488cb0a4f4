"""The fabric domains that an entry instance watches and contends for."""

import dataclasses
import functools
from collections.abc import Callable, Mapping

from tamarackpier import settings as settings_lib
from tamarackpier.daemon import domains, gossip, loops, sheets
from tamarackpier.peer import membership
from tamarackpier.platform import interfaces
from tamarackpier.replica import gate, model, policy, schedule

__all__ = ["DomainKeeper"]

# Number of instances that contend for the lease of a domain.
_CONTENDERS_PER_DOMAIN = 3
# Time for which a domain is watched after a peer's query about it.
_WATCH_AFTER_QUERY_S = 5.0
# Number of weight loads that the store sustains at once.
_PARALLEL_LOADS = 8


class DomainKeeper:
    """Watches domains, contends for the right to plan them, and plans.

    Attributes:
        settings: The settings of the instance.
        dependencies: The dependencies that watchers and planners share.
        policy: Weighs downtime against stranded instances.
        members: The membership view of the peers.
        gate: Decides which replicas may serve.
        work: Runs slow work, with at most one run per key in flight.
        listed: Returns the instances that the platform listed last, by ID.
        sheets: Returns the keeper of the sheet in force.
        is_leaving: Returns whether this instance is shutting down.
        holder: Name of this process as a lease holder; differs for each start.
        clock: Returns the monotonic time, in seconds.
        wall_clock: Returns the wall-clock time, in seconds since the epoch.
        started_at: Monotonic time of the start, in seconds.
        watchers: The watchers of this instance, by domain.
        planners: The planners of this instance, by domain.
        queried_at: Monotonic time of the last query by a peer about each
            domain, in seconds, by domain.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        dependencies: domains.Dependencies,
        replica_policy: policy.Policy,
        members: membership.Members,
        replica_gate: gate.Gate,
        work: loops.SingleFlight,
        listed: Callable[[], Mapping[str, interfaces.ListedInstance]],
        sheet_keeper: Callable[[], sheets.SheetKeeper],
        is_leaving: Callable[[], bool],
        holder: str,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ) -> None:
        self.settings = settings
        self.dependencies = dependencies
        self.policy = replica_policy
        self.members = members
        self.gate = replica_gate
        self.work = work
        self.listed = listed
        self.sheets = sheet_keeper
        self.is_leaving = is_leaving
        self.holder = holder
        self.clock = clock
        self.wall_clock = wall_clock
        self.started_at = clock()
        self.watchers: dict[str, domains.DomainWatcher] = {}
        self.planners: dict[str, domains.DomainPlanner] = {}
        self.queried_at: dict[str, float] = {}
        self._division_inputs: tuple[object, object] | None = None
        self._division: dict[str, tuple[model.Target, ...]] = {}

    def evidence_of(
        self, domain: str
    ) -> tuple[list[gate.Evidence], list[model.Replica]]:
        """Returns the evidence about a domain that a peer queries.

        The domain is watched for some time after the query.

        Returns:
            Evidence of the intact replicas, and the broken replicas; both
            empty until the domain is watched.
        """
        self.queried_at[domain] = self.clock()
        watcher = self.watchers.get(domain)
        return watcher.evidence() if watcher else ([], [])

    def capacities(self) -> list[schedule.DomainCapacity]:
        """Returns the capacity that planners report, per listed domain."""
        self.members.note_statuses(self.statuses())
        listed_domains = domains.by_domain(self.listed().values())
        statuses = self.members.statuses
        return [
            schedule.DomainCapacity(
                status.domain,
                status.availability_zone,
                status.listed,
                status.usable,
                status.holding,
            )
            for domain, status in sorted(statuses.items())
            if domain in listed_domains
        ]

    def scheduled(self) -> tuple[schedule.ScheduledDemand, ...]:
        """Returns each demand with the time at which its weight loads begin."""
        objective = self.settings.objective
        budget = schedule.LoadBudget(
            objective.load_s, _PARALLEL_LOADS, objective.lead_s
        )
        return schedule.schedule_loads(self.sheets().sheet.demands(), budget)

    def shortfalls(self) -> tuple[schedule.Shortfall, ...]:
        """Returns the demands that the usable instances cannot satisfy."""
        return schedule.shortfalls(
            self.scheduled(), self.capacities(), self.wall_clock()
        )

    async def watch(self) -> None:
        """Updates the set of watched domains and starts their probes."""
        now = self.clock()
        for domain, engines in self._engines().items():
            is_wanted = self._should_watch(domain, now)
            if is_wanted:
                if domain not in self.watchers:
                    watcher = domains.DomainWatcher(domain, self.dependencies)
                    self.watchers[domain] = watcher
                self.watchers[domain].engines = engines
            elif not is_wanted and domain in self.watchers:
                self.watchers.pop(domain).close()
                self.planners.pop(domain, None)
        for watcher in self.watchers.values():
            watcher.start_probes()
            self._watch_domain(watcher)

    async def plan(self) -> None:
        """Contends for leases and plans the domains whose lease is held."""
        targets = self._targets()
        if self.is_leaving():
            return
        for domain in self.watchers:
            self._plan_domain(domain, targets.get(domain))

    def domains_with_fresh_rows(self) -> list[str]:
        """Returns the watched domains whose cached rows are fresh.

        Peers are asked about the other domains: an instance that cannot reach
        the table does not know of replicas that were repaired since its last
        read.
        """
        return [
            domain
            for domain, watcher in self.watchers.items()
            if watcher.has_fresh_rows()
        ]

    def statuses(self) -> list[membership.DomainStatus]:
        """Returns the status of each domain that this instance plans."""
        return [
            self._domain_status(planner)
            for planner in self.planners.values()
            if planner.is_holder and planner.watcher.has_settled()
        ]

    def _engines(self) -> dict[str, dict[str, interfaces.ListedInstance]]:
        """Returns the listed engines by domain, then by instance ID.

        Engines that peers report as leaving are marked so. This is how an
        instance that cannot reach the platform learns of them.
        """
        leaving_ids = self.members.leaving_engines(self.clock())
        return domains.by_domain(
            dataclasses.replace(instance, is_leaving=True)
            if instance.id in leaving_ids
            else instance
            for instance in self.listed().values()
        )

    def _watch_domain(self, watcher: domains.DomainWatcher) -> None:
        planner = self.planners.get(watcher.domain)
        is_planned_here = planner is not None and planner.is_holder
        period_s = 2 * self.settings.timing.probe_period_s
        if not is_planned_here and watcher.rows_are_due(period_s):
            self.work.start(f"rows:{watcher.domain}", watcher.refresh_rows)
        intact, broken = watcher.evidence()
        for evidence in intact:
            self.gate.add(evidence)
        now = self.clock()
        for replica in broken:
            self.gate.close(replica.replica_id, replica.fence, now)

    def _should_watch(self, domain: str, now: float) -> bool:
        planner = self.planners.get(domain)
        if planner is not None and planner.is_holder:
            return True
        if (
            now - self.queried_at.get(domain, float("-inf"))
            < _WATCH_AFTER_QUERY_S
        ):
            return True
        return self._rank(domain, now) < gossip.WATCHERS_PER_DOMAIN

    def _rank(self, domain: str, now: float) -> int:
        """Returns the rank of this instance for a domain, from 0.

        Rendezvous hashing ranks the live instances. A leaving instance ranks
        behind all others.
        """
        instance_ids = [peer.id for peer in self.members.live(now)]
        if not self.is_leaving():
            instance_ids.append(self.members.own_record.id)
        ranked = membership.rendezvous(domain, instance_ids)
        own_id = self.members.own_record.id
        return ranked.index(own_id) if own_id in ranked else len(ranked)

    def _plan_domain(
        self, domain: str, targets: tuple[model.Target, ...] | None
    ) -> None:
        now = self.clock()
        rank = self._rank(domain, now)
        planner = self.planners.get(domain)
        if planner is None:
            if rank >= _CONTENDERS_PER_DOMAIN:
                return
            planner = domains.DomainPlanner(
                self.watchers[domain],
                self.holder,
                self.dependencies,
            )
            self.planners[domain] = planner
        takeover_delay_s = rank * self.settings.timing.lease_s / 4
        self.work.start(
            f"lease:{domain}",
            functools.partial(planner.keep_lease, takeover_delay_s),
        )
        # Just after the start, the views of the peers and of the sheet are
        # still incomplete.
        has_settled = now - self.started_at > self.settings.timing.suspect_s
        if has_settled and self.sheets().sheet.version and targets is not None:
            self.work.start(
                f"plan:{domain}", functools.partial(planner.run, targets)
            )

    def _targets(self) -> dict[str, tuple[model.Target, ...]]:
        """Returns the replicas that each domain should hold now, by domain.

        The division of the demand among the domains is cached until its
        inputs change, since it is slow where there are many domains.
        """
        wanted_replicas = schedule.wanted_at(
            self.scheduled(), self.wall_clock()
        )
        inputs = (wanted_replicas, self.capacities())
        if inputs != self._division_inputs:
            self._division_inputs = inputs
            self._division = schedule.apportion(*inputs)
        return self._division

    def _domain_status(
        self, planner: domains.DomainPlanner
    ) -> membership.DomainStatus:
        watcher = planner.watcher
        holding: dict[tuple[str, str, int], int] = {}
        for replica in watcher.replicas.values():
            if replica.state is model.ReplicaState.OPEN:
                kind = (replica.model, replica.version, len(replica.members))
                holding[kind] = holding.get(kind, 0) + 1
        span = max((kind[2] for kind in holding), default=1)
        domain_view = watcher.view((), {})
        zones = [
            engine.availability_zone for engine in watcher.engines.values()
        ]
        held_lease = planner.held_lease
        return membership.DomainStatus(
            watcher.domain,
            zones[0] if zones else "",
            len(watcher.engines),
            domain_view.usable_count(self.policy.absence_timeout_s(span)),
            holding,
            held_lease.number if held_lease is not None else 0,
        )
