"""Reads engines' rows from a peer that reads them too, or from the store.

Reads of the store are paid for and its rate is shared, while bytes within an
availability zone are free. So one instance of each zone reads the store, and
the others follow one another; whoever plans a zone reads the store itself.
"""

from collections.abc import Callable

from returns import pipeline, result

from tamarackpier import codes, logs, metrics
from tamarackpier.daemon import entry_peers
from tamarackpier.peer import partners, roster
from tamarackpier.platform import interfaces

__all__ = ["RowSource"]

_PEER_WAIT_S = 0.7  # A peer that went silent is noticed soon after.
_MOST_BEHIND_S = 0.8  # Less than half of what drains allow.
_DISTRUST_S = 3.0  # After a peer's failure; rows are read from the store.


class RowSource(interfaces.Watch):
    """A watch that prefers a peer.

    Attributes:
        store: Reads the store.
        peers: Calls peers.
        roster: Who is there.
        reads_store: Returns whether this instance has to read the store.
        own_version: Returns the version that was read.
        newest: Returns the newest version that any peer has read.
        metrics: Counts reads by source.
    """

    def __init__(
        self,
        store: interfaces.Watch,
        peers: entry_peers.EntryPeers,
        instances: roster.Roster,
        reads_store: Callable[[], bool],
        own_version: Callable[[], int],
        newest: Callable[[], int],
        counts: metrics.Metrics,
        clock: Callable[[], float],
    ) -> None:
        self.store = store
        self.peers = peers
        self.roster = instances
        self.reads_store = reads_store
        self.own_version = own_version
        self.newest_version = newest
        self.metrics = counts
        self.clock = clock
        self._distrusted_until = 0.0
        self._awaited: tuple[int, float] | None = None

    async def snapshot(
        self, table: str
    ) -> result.Result[interfaces.Changes, codes.Fault]:
        """Returns all rows of a table."""
        self.metrics.count("rows_read", "store")
        return await self.store.snapshot(table)

    async def changes(
        self, table: str, after: int, wait_s: float
    ) -> result.Result[interfaces.Changes, codes.Fault]:
        """Returns what changed after a version, waiting for a first change."""
        parent = self.parent()
        if parent is not None:
            found = await self.peers.follow_engines(
                parent, after, min(wait_s, _PEER_WAIT_S)
            )
            is_current = not self._is_behind()
            if pipeline.is_successful(found) and is_current:
                self.metrics.count("rows_read", "peer")
                return found.map(lambda changes: _not_back(changes, after))
            self._distrust(parent, found)
        self.metrics.count("rows_read", "store")
        return await self.store.changes(table, after, wait_s)

    def parent(self) -> str | None:
        """Returns the peer to follow now; None for the store."""
        now = self.clock()
        if self.reads_store() or now < self._distrusted_until:
            return None
        found = partners.parent(self.roster.own, self.roster.live(now))
        return found.id if found else None

    def _is_behind(self) -> bool:
        """Returns whether a peer has long read what we have not."""
        now = self.clock()
        if self._awaited is not None and self.own_version() >= self._awaited[0]:
            self._awaited = None
        if self._awaited is None:
            newest = self.newest_version()
            if newest > self.own_version():
                self._awaited = (newest, now)
            return False
        return now - self._awaited[1] > _MOST_BEHIND_S

    def _distrust(
        self,
        parent: str,
        found: result.Result[interfaces.Changes, codes.Fault],
    ) -> None:
        self._distrusted_until = self.clock() + _DISTRUST_S
        self._awaited = None
        reason = "is behind"
        if not pipeline.is_successful(found):
            reason = str(found.failure())[:200]
        self.metrics.count("rows_peer_failed")
        logs.event("rows from the store", peer=parent, reason=reason)


def _not_back(changes: interfaces.Changes, after: int) -> interfaces.Changes:
    """Returns changes whose version never goes back: peers may be behind."""
    if changes.version >= after:
        return changes
    return interfaces.Changes((), after)
