"""Takes from peers what the store does not tell this instance."""

from returns import pipeline

from tamarackpier import metrics
from tamarackpier.daemon import (
    entry_peers,
    loops,
    peer_status,
    row_cache,
    store_watch,
)

__all__ = ["CatchUp"]

_FETCH_PATIENCE_S = 0.3  # The store usually tells within 50 ms.
_ROWS_PATIENCE_S = 0.5  # Without the store, before peers' rows are taken.


class CatchUp:
    """Fetches the configuration and the engines' rows from peers.

    Attributes:
        book: Knows which peers are ahead.
        peers: Calls them.
        configuration: Takes configurations.
        engines: Takes engines' rows.
        follower: Follows the engines' rows in the store.
        metrics: Counts what was fetched, and failures.
    """

    def __init__(
        self,
        book: peer_status.PeerStatuses,
        peers: entry_peers.EntryPeers,
        configuration: row_cache.ConfigurationCache,
        engines: row_cache.EngineRowCache,
        follower: store_watch.TableFollower,
        counts: metrics.Metrics,
    ) -> None:
        self.statuses = book
        self.peers = peers
        self.configuration = configuration
        self.engines = engines
        self.follower = follower
        self.metrics = counts
        self._behind_since: float | None = None
        self._work = loops.SingleFlight(counts)

    def tick(self, now: float) -> None:
        """Fetches what is due."""
        if self._is_behind(now):
            self._work.start("configuration", self._fetch_configuration)
        if self._is_without_rows(now):
            self._work.start("engines", self._fetch_engines)

    def _is_behind(self, now: float) -> bool:
        """Returns whether a peer has stayed ahead in its configuration."""
        if (
            self.statuses.newer_configuration_peer(self.configuration.version)
            is None
        ):
            self._behind_since = None
            return False
        if self._behind_since is None:
            self._behind_since = now
        if self.configuration.routing is None:
            return True
        return now - self._behind_since >= _FETCH_PATIENCE_S

    def _is_without_rows(self, now: float) -> bool:
        """Returns whether the store turns this instance away."""
        if not self.follower.is_lost:
            return False
        return now - self.follower.read_at > _ROWS_PATIENCE_S

    async def _fetch_configuration(self) -> None:
        name = self.statuses.newer_configuration_peer(
            self.configuration.version
        )
        if name is None:
            return
        found = await self.peers.fetch_configuration(name)
        if not pipeline.is_successful(found):
            self.metrics.count("fetch_error", found.failure().code.name)
        elif found.unwrap():
            self.configuration.apply(found.unwrap(), f"peer {name}")

    async def _fetch_engines(self) -> None:
        version = self.engines.version
        name = self.statuses.newer_engines_peer(version)
        if name is None:
            return
        found = await self.peers.fetch_engines(name, version)
        if not pipeline.is_successful(found):
            self.metrics.count("fetch_error", found.failure().code.name)
            return
        changes = found.unwrap()
        if changes.rows and changes.version > self.engines.version:
            self.metrics.count("engines_from_peer")
            self.engines.snapshot(changes)
