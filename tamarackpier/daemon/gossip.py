"""Whom an entry instance exchanges messages with, and when."""

import asyncio
import dataclasses
import functools
import random
from collections.abc import Callable, Collection, Iterable

from tamarackpier import settings
from tamarackpier.daemon import domains, loops, peers, sheets
from tamarackpier.peer import interest, membership
from tamarackpier.platform import interfaces

__all__ = ["Gossip", "WATCHERS_PER_DOMAIN"]

WATCHERS_PER_DOMAIN = 2
_SLEPT_PERIODS = 4
_MANY_PEERS = 32
_MANY_PERIODS = 1.5
_NEIGHBOURS = 8
_FULL_PERIOD_S = 10.0


@dataclasses.dataclass(frozen=True)
class _Call:
    """An exchange to make.

    Attributes:
        address: Where the peer hears others.
        domains: Domains to ask evidence of.
        is_full: Whether to ask for everything that is newer.
    """

    address: str
    domains: tuple[str, ...]
    is_full: bool


class Gossip:
    """Pulls from monitored peers, watchers of used domains, and a few others.

    Attributes:
        timing: Periods.
        domains_used: Domains to use for each kind of replica.
        members: The peers.
        client: Asks one peer.
        sheets: The sheet in force.
        listed: Returns the platform's list, as last read.
        watched: Returns the domains that are watched from here.
        revise: Gives this instance's record a new revision if it changed.
    """

    def __init__(
        self,
        timing: settings.TimingSettings,
        domains_used: int,
        members: membership.Members,
        client: peers.PeerClient,
        sheet_keeper: sheets.SheetKeeper,
        listed: Callable[[], Iterable[interfaces.ListedInstance]],
        watched: Callable[[], Collection[str]],
        revise: Callable[[], None],
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self.timing = timing
        self.domains_used = domains_used
        self.members = members
        self.client = client
        self.sheets = sheet_keeper
        self.listed = listed
        self.watched = watched
        self.revise = revise
        self.rng = rng
        self.clock = clock
        self._reviewed_at = clock()
        self._full_at = float("-inf")
        self._turn = 0
        self._work = loops.SingleFlight(client.metrics)

    async def exchange(self) -> bool:
        """Exchanges with a few peers; returns whether it was time to."""
        now = self.clock()
        period_s = self.timing.peer_period_s
        has_slept = now - self._reviewed_at > _SLEPT_PERIODS * period_s
        is_many = len(self.members.seen) > _MANY_PEERS
        if is_many and now - self._reviewed_at < _MANY_PERIODS * period_s:
            return False
        self._reviewed_at = now
        self.members.review(now, has_slept)
        self.revise()
        is_full = has_slept or now - self._full_at > _FULL_PERIOD_S
        if is_full:
            self._full_at = now
        for call in self._calls(is_full):
            # Each peer has a task of its own: one that does not answer must
            # not hold up the evidence that others have.
            self._work.start(call.address, functools.partial(self._ask, call))
        await self._catch_up()
        return True

    async def tell_all(self) -> None:
        """Exchanges with every live peer at once."""
        live = self.members.live(self.clock())
        await asyncio.gather(
            *(self._ask(_Call(each.peer_address, (), False)) for each in live)
        )

    def cancel(self) -> None:
        """Cancels the exchanges under way."""
        self._work.cancel()

    def _targets(self) -> list[str]:
        now = self.clock()
        own = self.members.own
        known = self._neighbours(now)
        listed = [
            each.peer_address
            for each in self.listed()
            if each.kind == interfaces.InstanceKind.ENTRY
            and each.id != own.id
            and each.id not in self.members.seen
        ]
        fanout = self.timing.peer_fanout
        targets = set(self.rng.sample(known, min(fanout, len(known))))
        targets.update(
            self.members.seen[peer_id].record.peer_address
            for peer_id in self.members.monitored()
        )
        # Listed instances that are not known yet, or no longer, are how an
        # instance first meets others and how two halves find back.
        targets.update(self.rng.sample(listed, min(fanout, len(listed))))
        return sorted(targets)

    def _neighbours(self, now: float) -> list[str]:
        """Returns the peers to draw from at random.

        Where there are many, they are always the same few, so that
        connections need not be opened to all in turn.
        """
        live = {each.id: each.peer_address for each in self.members.live(now)}
        ids = sorted(live)
        if len(live) > _MANY_PEERS:
            own = self.members.own.id
            ids = membership.rendezvous(own, ids)[:_NEIGHBOURS]
        return [live[each] for each in ids]

    def _calls(self, is_full: bool) -> list[_Call]:
        """Returns whom to ask, for which domains, and whether in full."""
        targets = self._targets()
        wanted: dict[str, list[str]] = {target: [] for target in targets}
        for domain, watchers in self._foreign_watchers().items():
            for address in watchers:
                wanted.setdefault(address, []).append(domain)
        # One full exchange at a time is enough to find what was missed.
        full = self.rng.choice(targets) if is_full and targets else ""
        return [
            _Call(address, tuple(found), address == full)
            for address, found in wanted.items()
        ]

    async def _ask(self, call: _Call) -> None:
        await self.client.exchange(call.address, call.domains, call.is_full)

    def _foreign_watchers(self) -> dict[str, list[str]]:
        """Returns whom to ask about each domain not watched from here."""
        found = {}
        live = {each.id: each for each in self.members.live(self.clock())}
        watched = self.watched()
        candidates = [*live, self.members.own.id]
        for domain in self._used_domains():
            if domain in watched:
                continue
            ranked = membership.rendezvous(domain, candidates)
            watchers = [
                live[each].peer_address
                for each in ranked[:WATCHERS_PER_DOMAIN]
                if each in live
            ]
            if len(live) > _MANY_PEERS and watchers:
                # Calls cost more than what they carry, so watchers are asked
                # in turn where there are many instances.
                watchers = [watchers[self._turn % len(watchers)]]
            found[domain] = watchers
        self._turn += 1
        return found

    def _used_domains(self) -> list[str]:
        """Returns the domains that this instance sends requests to."""
        holding = {
            domain: list(status.holding)
            for domain, status in self.members.statuses.items()
        }
        return interest.used_domains(
            self.members.own.id,
            {
                domain: holding.get(domain, [])
                for domain in domains.by_domain(self.listed())
            },
            self.domains_used,
        )

    async def _catch_up(self) -> None:
        """Pulls the newest sheet that some peer has."""
        version = self.sheets.sheet.version
        ahead = [
            address
            for address, theirs in self.client.versions.items()
            if theirs > version
        ]
        if ahead:
            address = self.rng.choice(ahead)
            data = await self.client.fetch_sheet(address, version)
            if data:
                self.sheets.adopt_encoded(data)
            else:
                self.client.versions.pop(address, None)
