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

_CONTENDERS_PER_DOMAIN = 3
_INTEREST_S = 5.0
_PARALLEL_LOADS = 8


class DomainKeeper:
    """Watches domains, contends for the right to plan them, and plans.

    Attributes:
        settings: The settings of the instance.
        tools: What watchers and planners share.
        policy: Weighs downtime against stranding.
        members: The peers.
        gate: Says which replicas may serve.
        work: Runs slow work, each kind of it one at a time.
        listed: Returns the platform's list, as last read.
        sheets: Returns the keeper of the sheet in force.
        is_leaving: Returns whether the instance leaves.
        watchers: The domains watched from here.
        planners: The domains contended for from here.
        interest: When each domain was last asked about by a peer.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        tools: domains.Tools,
        weighing: policy.Policy,
        members: membership.Members,
        replicas: gate.Gate,
        work: loops.SingleFlight,
        listed: Callable[[], Mapping[str, interfaces.ListedInstance]],
        sheet_keeper: Callable[[], sheets.SheetKeeper],
        is_leaving: Callable[[], bool],
        holder: str,
        clock: Callable[[], float],
        wall: Callable[[], float],
    ) -> None:
        self.settings = settings
        self.tools = tools
        self.policy = weighing
        self.members = members
        self.gate = replicas
        self.work = work
        self.listed = listed
        self.sheets = sheet_keeper
        self.is_leaving = is_leaving
        self.holder = holder
        self.clock = clock
        self.wall = wall
        self.started_at = clock()
        self.watchers: dict[str, domains.DomainWatcher] = {}
        self.planners: dict[str, domains.DomainPlanner] = {}
        self.interest: dict[str, float] = {}
        self._divided: tuple[object, object] | None = None
        self._division: dict[str, tuple[model.Target, ...]] = {}

    def evidence_of(
        self, domain: str
    ) -> tuple[list[gate.Evidence], list[model.Replica]]:
        """Returns what is known of a domain, and begins to watch it."""
        self.interest[domain] = self.clock()
        watcher = self.watchers.get(domain)
        return watcher.evidence() if watcher else ([], [])

    def capacities(self) -> list[schedule.DomainCapacity]:
        """Returns each listed domain's capacity, as its planner says."""
        self.members.note_statuses(self.statuses())
        listed = domains.by_domain(self.listed().values())
        statuses = self.members.statuses
        return [
            schedule.DomainCapacity(
                each.domain,
                each.availability_zone,
                each.listed,
                each.usable,
                each.holding,
            )
            for domain, each in sorted(statuses.items())
            if domain in listed
        ]

    def scheduled(self) -> tuple[schedule.ScheduledDemand, ...]:
        """Returns when the loads of each demand begin."""
        objective = self.settings.objective
        budget = schedule.LoadBudget(
            objective.load_s, _PARALLEL_LOADS, objective.lead_s
        )
        return schedule.schedule_loads(self.sheets().sheet.demands(), budget)

    def shortfalls(self) -> tuple[schedule.Shortfall, ...]:
        """Returns the events that will lack replicas."""
        return schedule.shortfalls(
            self.scheduled(), self.capacities(), self.wall()
        )

    async def watch(self) -> None:
        """Probes what is to be watched from here."""
        now = self.clock()
        for domain, engines in self._engines().items():
            is_wanted = self._should_watch(domain, now)
            if is_wanted:
                if domain not in self.watchers:
                    watcher = domains.DomainWatcher(domain, self.tools)
                    self.watchers[domain] = watcher
                self.watchers[domain].engines = engines
            elif not is_wanted and domain in self.watchers:
                self.watchers.pop(domain).close()
                self.planners.pop(domain, None)
        for watcher in self.watchers.values():
            watcher.start_probes()
            self._watch_domain(watcher)

    async def plan(self) -> None:
        """Keeps leases and plans the domains that are held."""
        targets = self._targets()
        if self.is_leaving():
            return
        for domain in self.watchers:
            self._plan_domain(domain, targets.get(domain))

    def well_watched(self) -> list[str]:
        """Returns the watched domains whose rows are known as they are now.

        Peers are asked about the others: an instance that the table does not
        answer would not know of replicas that were healed since.
        """
        return [
            domain
            for domain, watcher in self.watchers.items()
            if watcher.has_fresh_rows()
        ]

    def statuses(self) -> list[membership.DomainStatus]:
        """Returns the status of each domain that is planned here."""
        return [
            self._domain_status(planner)
            for planner in self.planners.values()
            if planner.is_holder and planner.watcher.has_settled()
        ]

    def _engines(self) -> dict[str, dict[str, interfaces.ListedInstance]]:
        """Returns the listed engines by domain, with what peers know.

        An instance that is cut off from the platform so learns from its
        peers which engines are leaving.
        """
        leaving = self.members.leaving_engines(self.clock())
        return domains.by_domain(
            dataclasses.replace(each, is_leaving=True)
            if each.id in leaving
            else each
            for each in self.listed().values()
        )

    def _watch_domain(self, watcher: domains.DomainWatcher) -> None:
        planner = self.planners.get(watcher.domain)
        is_planned_here = planner is not None and planner.is_holder
        period_s = 2 * self.settings.timing.probe_period_s
        if not is_planned_here and watcher.rows_are_due(period_s):
            self.work.start(f"rows:{watcher.domain}", watcher.refresh_rows)
        whole, broken = watcher.evidence()
        for each in whole:
            self.gate.add(each)
        now = self.clock()
        for lost in broken:
            self.gate.close(lost.replica_id, lost.fence, now)

    def _should_watch(self, domain: str, now: float) -> bool:
        planner = self.planners.get(domain)
        if planner is not None and planner.is_holder:
            return True
        if now - self.interest.get(domain, float("-inf")) < _INTEREST_S:
            return True
        return self._rank(domain, now) < gossip.WATCHERS_PER_DOMAIN

    def _rank(self, domain: str, now: float) -> int:
        ids = [each.id for each in self.members.live(now)]
        if not self.is_leaving():
            ids.append(self.members.own.id)
        ranked = membership.rendezvous(domain, ids)
        own = self.members.own.id
        return ranked.index(own) if own in ranked else len(ranked)

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
                self.tools,
            )
            self.planners[domain] = planner
        eagerness_s = rank * self.settings.timing.lease_s / 4
        self.work.start(
            f"lease:{domain}",
            functools.partial(planner.keep_lease, eagerness_s),
        )
        # A planner that has just begun knows neither peers nor sheet well.
        has_settled = now - self.started_at > self.settings.timing.suspect_s
        if has_settled and self.sheets().sheet.version and targets is not None:
            self.work.start(
                f"plan:{domain}", functools.partial(planner.run, targets)
            )

    def _targets(self) -> dict[str, tuple[model.Target, ...]]:
        """Returns what each domain should hold now.

        The division is made anew only when what it depends on has changed,
        since it takes long where there are many domains.
        """
        wanted = schedule.wanted_at(self.scheduled(), self.wall())
        inputs = (wanted, self.capacities())
        if inputs != self._divided:
            self._divided = inputs
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
        found = watcher.view((), {})
        zones = [each.availability_zone for each in watcher.engines.values()]
        held = planner.held
        return membership.DomainStatus(
            watcher.domain,
            zones[0] if zones else "",
            len(watcher.engines),
            found.usable_count(self.policy.absence_timeout_s(span)),
            holding,
            held.number if held is not None else 0,
        )
