"""Reads engine rows from a peer that follows them, or from the store.

Reads of the store are charged for and share a rate limit. So few instances read
the store, and the others follow one another. What a peer passes on includes the
configuration in force.
"""

import math
from collections.abc import Callable

from returns import pipeline, result

from tamarackpier import codes, logs, metrics
from tamarackpier.daemon import entry_peers
from tamarackpier.peer import partners, propagation, pulls, roster
from tamarackpier.platform import interfaces

__all__ = ["STORE", "RowSource"]

STORE = "store"  # Source of rows that no peer has passed on.

_MAX_PEER_WAIT_S = 0.7  # A silent peer goes unnoticed no longer than this.
# Age up to which an answer of the followed peer vouches for the configuration;
# a quiet peer answers after `_MAX_PEER_WAIT_S`.
_CONFIGURATION_AGE_S = 1.2
# Longest wait of the reader of a large fleet for a change. If an answer of the
# store is lost, all others know nothing new until the wait ends.
_READER_WAIT_S = 1.0
# Time for which the store is read after a peer failed, the first time and at
# most. At the start of a fleet a peer has rows to pass on a moment later.
_MIN_PEER_BACKOFF_S = 0.4
_MAX_PEER_BACKOFF_S = 3.0


class RowSource(interfaces.Watch):
    """A watch that reads from a peer where possible.

    Attributes:
        store: Watch of the store.
        peers: Client for calls to peers.
        roster: The known instances.
        is_planning: Returns whether this instance plans a zone.
        missing: The newest change that a peer has read and this instance has
            not.
        times: Returns the limits for the steps of a change.
        metrics: Counts reads by source.
        on_configuration: Called with an encoded configuration, and the ID of
            the peer that has passed it on.
        source: Source of the last read: `STORE`, or the ID of a peer.
    """

    def __init__(
        self,
        store: interfaces.Watch,
        peers: entry_peers.EntryPeers,
        instances: roster.Roster,
        is_planning: Callable[[], bool],
        missing: pulls.MissingVersion,
        times: Callable[[], propagation.PropagationTimes],
        counts: metrics.Metrics,
        clock: Callable[[], float],
    ) -> None:
        self.store = store
        self.peers = peers
        self.roster = instances
        self.is_planning = is_planning
        self.missing = missing
        self.times = times
        self.metrics = counts
        self.clock = clock
        self.on_configuration: Callable[[bytes, str], None] = (
            lambda data, peer_id: None
        )
        self.source = STORE
        self._backoff_until = 0.0
        self._backoff_s = _MIN_PEER_BACKOFF_S
        self._configuration_passed_at = -math.inf

    async def snapshot(
        self, table: str
    ) -> result.Result[interfaces.Changes, codes.Fault]:
        """Returns all rows of a table."""
        self.metrics.count("rows_read", "store")
        return await self.store.snapshot(table)

    async def changes(
        self, table: str, after: int, wait_s: float
    ) -> result.Result[interfaces.Changes, codes.Fault]:
        """Returns the changes after a version.

        Waits up to `wait_s` seconds for the first change, but no longer than
        `_MAX_PEER_WAIT_S` if a peer is asked.
        """
        parent = self.parent()
        if parent is not None and self._is_behind():
            self._start_backoff(parent, "is behind")
            parent = None
        if parent is not None:
            follow_result = await self.peers.follow_engines(
                parent, after, min(wait_s, _MAX_PEER_WAIT_S)
            )
            is_current = not self._is_behind()
            if pipeline.is_successful(follow_result) and is_current:
                self._backoff_s = _MIN_PEER_BACKOFF_S
                self.metrics.count("rows_read", "peer")
                self.source = parent
                followed = follow_result.unwrap()
                self._pass_on_configuration(followed, parent)
                return result.Success(_clamp_version(followed.changes, after))
            reason = "is behind"
            if not pipeline.is_successful(follow_result):
                reason = str(follow_result.failure())[:200]
            self._start_backoff(parent, reason)
        self.metrics.count("rows_read", "store")
        self.source = STORE
        if self.is_reader_of_large_fleet:
            wait_s = min(wait_s, _READER_WAIT_S)
        return await self.store.changes(table, after, wait_s)

    @property
    def reads_store(self) -> bool:
        """Whether the last read was one of the store."""
        return self.source == STORE

    def parent(self) -> str | None:
        """Returns the ID of the peer to follow; None to read the store."""
        now = self.clock()
        if now < self._backoff_until:
            return None
        parent = partners.parent(
            self.roster.own_presence, self.roster.live(now), self.is_planning()
        )
        return parent.id if parent else None

    @property
    def is_reader_of_large_fleet(self) -> bool:
        """Whether a large fleet follows this instance."""
        return partners.is_reader_of_large_fleet(
            self.roster.own_presence, self.roster.live(self.clock())
        )

    @property
    def passes_configuration(self) -> bool:
        """Whether a peer of this zone passes on the configuration in force.

        The first instance of each zone reads it itself, so that no lost answer
        of the store keeps it from all.
        """
        return (
            self.clock() - self._configuration_passed_at < _CONFIGURATION_AGE_S
        )

    def _pass_on_configuration(
        self, followed: entry_peers.Followed, parent: str
    ) -> None:
        peer = self.roster.others.get(parent)
        own_zone = self.roster.own_presence.availability_zone
        is_near = peer is not None and peer[0].availability_zone == own_zone
        if followed.configuration_version and is_near:
            self._configuration_passed_at = self.clock()
        if followed.configuration:
            self.on_configuration(followed.configuration, parent)

    def _missing_s(self) -> float:
        """Returns for how long a change that a peer has was missing here."""
        since = self.missing.since()
        return 0.0 if since is None else self.clock() - since

    def _is_behind(self) -> bool:
        """Returns whether this instance lags behind a peer for too long."""
        return self._missing_s() > self.times().parent_lag_s

    def _start_backoff(self, parent: str, reason: str) -> None:
        self._backoff_until = self.clock() + self._backoff_s
        self._backoff_s = min(_MAX_PEER_BACKOFF_S, 2.0 * self._backoff_s)
        self.metrics.count("rows_peer_failed")
        logs.event(
            "rows from the store",
            peer=parent,
            reason=reason,
            missing_s=round(self._missing_s(), 3),
        )


def _clamp_version(
    changes: interfaces.Changes, after: int
) -> interfaces.Changes:
    """Returns the changes, or none if their version is older than `after`.

    A peer may have read less than this instance.
    """
    if changes.version >= after:
        return changes
    return interfaces.Changes((), after)
