"""Selection and timing of the exchanges between entry instances."""

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
_PAUSE_PERIODS = 4  # A process without a round for longer was paused.
_LARGE_FLEET_PEERS = 32  # A fleet with more peers than this is large.
_LARGE_FLEET_PERIODS = 1.5  # Minimum periods between rounds in a large fleet.
_MAX_NEIGHBOURS = 8  # Peers to choose from at random in a large fleet.
_FULL_EXCHANGE_PERIOD_S = 10.0


@dataclasses.dataclass(frozen=True)
class _Exchange:
    """An exchange to make with one peer.

    Attributes:
        address: Peer address to call.
        domains: Domains to request evidence about.
        is_full: Whether to request every newer record.
    """

    address: str
    domains: tuple[str, ...]
    is_full: bool


class Gossip:
    """Pulls records and evidence from other entry instances.

    Each round calls the monitored peers, watchers of the domains that this
    instance uses but does not watch, and a few peers chosen at random.

    Attributes:
        timing: Periods and fan-out of the exchanges.
        domains_used: Number of domains to use for each kind of replica.
        members: Known peers.
        client: Client for calls to peers.
        sheets: Holds the sheet in force.
        listed: Returns the instances in the platform's list, as last read.
        watched: Returns the domains that this instance watches and whose
            cached rows are fresh.
        update_record: Gives this instance's record a new revision if the
            record changed.
        rng: Source of the random choice of peers.
        clock: Returns the monotonic time, in seconds.
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
        update_record: Callable[[], None],
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
        self.update_record = update_record
        self.rng = rng
        self.clock = clock
        self._round_started_at = clock()
        self._full_exchange_at = float("-inf")
        self._round_number = 0
        self._exchange_tasks = loops.SingleFlight(client.metrics)

    async def exchange(self) -> bool:
        """Starts a round of exchanges; returns False if none is due yet."""
        now = self.clock()
        period_s = self.timing.peer_period_s
        was_paused = now - self._round_started_at > _PAUSE_PERIODS * period_s
        is_large_fleet = len(self.members.peers) > _LARGE_FLEET_PEERS
        if (
            is_large_fleet
            and now - self._round_started_at < _LARGE_FLEET_PERIODS * period_s
        ):
            return False
        self._round_started_at = now
        self.members.update_liveness(now, was_paused)
        self.update_record()
        is_full = (
            was_paused or now - self._full_exchange_at > _FULL_EXCHANGE_PERIOD_S
        )
        if is_full:
            self._full_exchange_at = now
        for exchange in self._exchanges(is_full):
            # Each peer has its own task, so that one that does not answer does
            # not delay evidence from the others.
            self._exchange_tasks.start(
                exchange.address, functools.partial(self._pull, exchange)
            )
        await self._pull_newer_sheet()
        return True

    async def exchange_with_all(self) -> None:
        """Exchanges with all live peers in parallel."""
        live = self.members.live(self.clock())
        await asyncio.gather(
            *(
                self._pull(_Exchange(peer.peer_address, (), False))
                for peer in live
            )
        )

    def cancel(self) -> None:
        """Cancels the exchanges in flight."""
        self._exchange_tasks.cancel()

    def _targets(self) -> list[str]:
        """Returns the addresses of the peers to pull records from, sorted."""
        now = self.clock()
        own_record = self.members.own_record
        neighbours = self._neighbours(now)
        unknown_addresses = [
            instance.peer_address
            for instance in self.listed()
            if instance.kind == interfaces.InstanceKind.ENTRY
            and instance.id != own_record.id
            and instance.id not in self.members.peers
        ]
        fanout = self.timing.peer_fanout
        targets = set(self.rng.sample(neighbours, min(fanout, len(neighbours))))
        targets.update(
            self.members.peers[peer_id].record.peer_address
            for peer_id in self.members.monitored()
        )
        # Calling listed instances that are not known, or no longer known, is
        # how a new instance joins and how a partition heals.
        targets.update(
            self.rng.sample(
                unknown_addresses, min(fanout, len(unknown_addresses))
            )
        )
        return sorted(targets)

    def _neighbours(self, now: float) -> list[str]:
        """Returns the addresses of the peers to choose from at random.

        In a large fleet the choice is limited to a fixed few peers, so that
        connections need not be opened to all peers in turn.
        """
        addresses = {
            peer.id: peer.peer_address for peer in self.members.live(now)
        }
        ids = sorted(addresses)
        if len(addresses) > _LARGE_FLEET_PEERS:
            own_id = self.members.own_record.id
            ids = membership.rendezvous(own_id, ids)[:_MAX_NEIGHBOURS]
        return [addresses[peer_id] for peer_id in ids]

    def _exchanges(self, is_full: bool) -> list[_Exchange]:
        """Returns the exchanges of this round, one for each peer address."""
        targets = self._targets()
        domains_by_address: dict[str, list[str]] = {
            target: [] for target in targets
        }
        for domain, watchers in self._watchers_to_ask().items():
            for address in watchers:
                domains_by_address.setdefault(address, []).append(domain)
        # One full exchange per round is enough to find missed records.
        full_target = self.rng.choice(targets) if is_full and targets else ""
        return [
            _Exchange(address, tuple(exchange_domains), address == full_target)
            for address, exchange_domains in domains_by_address.items()
        ]

    async def _pull(self, exchange: _Exchange) -> None:
        await self.client.exchange(
            exchange.address, exchange.domains, exchange.is_full
        )

    def _watchers_to_ask(self) -> dict[str, list[str]]:
        """Returns the watchers to ask about domains.

        Returns:
            Peer addresses by domain, for the domains that this instance uses
            and that are not among `watched`.
        """
        addresses = {}
        live = {peer.id: peer for peer in self.members.live(self.clock())}
        watched = self.watched()
        candidates = [*live, self.members.own_record.id]
        for domain in self._used_domains():
            if domain in watched:
                continue
            ranked = membership.rendezvous(domain, candidates)
            watchers = [
                live[peer_id].peer_address
                for peer_id in ranked[:WATCHERS_PER_DOMAIN]
                if peer_id in live
            ]
            if len(live) > _LARGE_FLEET_PEERS and watchers:
                # A call costs more than the evidence it carries, so a large
                # fleet asks only one watcher per round, in turn.
                watchers = [watchers[self._round_number % len(watchers)]]
            addresses[domain] = watchers
        self._round_number += 1
        return addresses

    def _used_domains(self) -> list[str]:
        """Returns the domains to which this instance sends requests."""
        holding = {
            domain: list(status.holding)
            for domain, status in self.members.statuses.items()
        }
        return interest.used_domains(
            self.members.own_record.id,
            {
                domain: holding.get(domain, [])
                for domain in domains.by_domain(self.listed())
            },
            self.domains_used,
        )

    async def _pull_newer_sheet(self) -> None:
        """Pulls the sheet from a random peer that reported a newer version."""
        version = self.sheets.sheet.version
        newer_addresses = [
            address
            for address, peer_version in self.client.versions.items()
            if peer_version > version
        ]
        if newer_addresses:
            address = self.rng.choice(newer_addresses)
            data = await self.client.fetch_sheet(address, version)
            if data:
                self.sheets.adopt_encoded(data)
            else:
                self.client.versions.pop(address, None)
