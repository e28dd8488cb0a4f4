"""Fetches from peers what this instance cannot read from the store."""

import math
from collections.abc import Callable

from returns import pipeline

from tamarackpier import codes, logs, metrics
from tamarackpier.daemon import (
    entry_peers,
    loops,
    peer_status,
    row_cache,
    row_source,
    store_watch,
)

__all__ = ["CatchUp"]

# Time for the store to deliver a newer configuration before it is fetched from
# a peer. The store usually delivers within 50 ms.
_CONFIGURATION_FETCH_DELAY_S = 0.3
# Time for which a peer must have had newer engine rows, and for which an own
# call must have waited, until the call is taken for lost. Versions also rise
# with other tables, so a peer that is ahead proves no change.
_BEHIND_S = 0.8
_LOST_CALL_S = 3.0
# Time for which a peer must have had a change of the rows that an instance that
# reads the store lacks. The store usually delivers it within 50 ms.
_READER_LAG_S = 0.3
# Time without an answer to a question after which a peer is asked.
_UNANSWERED_S = 0.3
# Time between two checks while a change is missing.
_CHECK_S = 0.1
# Time between two fetches of all rows.
_ENGINES_FETCH_INTERVAL_S = 0.25
# Time without the store after which the engine rows are fetched from peers.
_ENGINES_FETCH_DELAY_S = 0.5


class CatchUp:
    """Fetches the configuration and the engine rows from peers.

    Attributes:
        statuses: Statuses of the peers, with the versions that they have.
        peers: Client for calls to peers.
        configuration: Cache of the configuration; updated.
        engines: Cache of the engine rows; updated.
        follower: Follows the engine rows in the store.
        configuration_follower: Follows the operators' table in the store.
        metrics: Counts fetches and their failures.
        missing_since: Returns since when a peer has had a change of the engine
            rows that is missing here; None if none is missing.
        reads_store: Returns whether the rows are read from the store and not
            from a peer.
        is_store_away: Returns whether the store has left a call unanswered
            since it last answered one.
        due_at: Time of the next check beside those of each round, in seconds
            on the monotonic clock; infinity while no change is missing.
        peers_ahead_since: Time since which a live peer has had newer engine
            rows than this instance, in seconds on the monotonic clock; None if
            none has.
    """

    def __init__(
        self,
        statuses: peer_status.PeerStatuses,
        peers: entry_peers.EntryPeers,
        configuration: row_cache.ConfigurationCache,
        engines: row_cache.EngineRowCache,
        follower: store_watch.TableFollower,
        configuration_follower: store_watch.TableFollower,
        counts: metrics.Metrics,
    ) -> None:
        self.statuses = statuses
        self.peers = peers
        self.configuration = configuration
        self.engines = engines
        self.follower = follower
        self.configuration_follower = configuration_follower
        self.metrics = counts
        self.missing_since: Callable[[], float | None] = lambda: None
        self.reads_store: Callable[[], bool] = lambda: False
        self.is_store_away: Callable[[], bool] = lambda: False
        self.due_at = math.inf
        self.peers_ahead_since: float | None = None
        self._engines_fetched_at = -math.inf
        self._behind_since: float | None = None
        self._fetches = loops.SingleFlight(counts)

    def note_change(self, now: float) -> None:
        """Notes that a peer has a newer change, and when to act on it."""
        self.due_at = min(self.due_at, self._next_due_at(now))

    def tick(self, now: float) -> None:
        """Starts the fetches that are due."""
        if self._is_behind(now):
            self._fetches.start("configuration", self._fetch_configuration)
        if (
            now - self._engines_fetched_at >= _ENGINES_FETCH_INTERVAL_S
            and self._needs_engines(now)
        ):
            self._engines_fetched_at = now
            self._fetches.start("engines", self._fetch_engines)
        self._update_peers_ahead(now)
        if self._has_lost_call(now):
            self.metrics.count("poll_renewed", "peers are ahead")
            self.follower.renew(was_away=False)
        if self._has_lost_configuration_call(now):
            self.metrics.count("poll_renewed", "a peer had the configuration")
            logs.event(
                "poll renewed",
                table=self.configuration_follower.table,
                reason="a peer had the configuration",
                waited_s=round(self.configuration_follower.waited_s(), 3),
            )
            self.configuration_follower.renew(was_away=False)
        self.due_at = self._next_due_at(now)
        self._gauge_lags(now)

    def _next_due_at(self, now: float) -> float:
        """Returns the time of the next check beside those of each round.

        While a change is missing, checks follow one another closely: what one
        starts may fail, and the times of all that is waited for add up.

        Returns:
            The time in seconds on the monotonic clock; infinity if no change is
            missing.
        """
        since = self.missing_since()
        if since is None:
            return math.inf
        due_at = since + self._lag_limit_s()
        return due_at if due_at > now else now + _CHECK_S

    def _update_peers_ahead(self, now: float) -> None:
        if self.statuses.newer_engines_peer(self.engines.version) is None:
            self.peers_ahead_since = None
        elif self.peers_ahead_since is None:
            self.peers_ahead_since = now

    def _has_lost_call(self, now: float) -> bool:
        """Returns whether the poll in flight is not going to be answered."""
        polled_at = self.follower.polled_at
        if self._lacks_change(now) and self.follower.is_waiting:
            return polled_at is not None
        return (
            self.peers_ahead_since is not None
            and now - self.peers_ahead_since > _BEHIND_S
            and polled_at is not None
            and now - polled_at > _LOST_CALL_S
        )

    def _lacks_change(self, now: float) -> bool:
        """Returns whether a change that a peer has is missing for too long."""
        since = self.missing_since()
        return since is not None and now - since >= self._lag_limit_s()

    def _lag_limit_s(self) -> float:
        """Returns for how long a change that a peer has may be missing here."""
        if not self.reads_store():
            return row_source.MAX_LAG_S
        return 0.0 if self.is_store_away() else _READER_LAG_S

    def _needs_engines(self, now: float) -> bool:
        """Returns whether the engine rows have to come from a peer."""
        return (
            self._is_store_unavailable(now)
            or self._is_left_unanswered(now)
            or (
                self.reads_store()
                and self.is_store_away()
                and self._lacks_change(now)
            )
        )

    def _is_left_unanswered(self, now: float) -> bool:
        """Returns whether the question for a missing change has no answer."""
        return (
            self._lacks_change(now)
            and not self.follower.is_waiting
            and self.follower.waited_s() > _UNANSWERED_S
        )

    def _has_lost_configuration_call(self, now: float) -> bool:
        """Returns whether a peer had what the poll in flight has missed."""
        had_at = self._behind_since
        if had_at is None:
            had_at = self.configuration.from_peer_at
        polled_at = self.configuration_follower.polled_at
        return (
            had_at is not None
            and polled_at is not None
            and self.configuration_follower.is_waiting
            and polled_at < had_at
            and now - had_at >= _CONFIGURATION_FETCH_DELAY_S
        )

    def _is_behind(self, now: float) -> bool:
        """Returns whether a peer has had a newer configuration for too long."""
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
        return now - self._behind_since >= _CONFIGURATION_FETCH_DELAY_S

    def _is_store_unavailable(self, now: float) -> bool:
        """Returns whether the store has been unavailable for too long."""
        if not self.follower.is_lost:
            return False
        return now - self.follower.read_at > _ENGINES_FETCH_DELAY_S

    async def _fetch_configuration(self) -> None:
        peer_id = self.statuses.newer_configuration_peer(
            self.configuration.version
        )
        if peer_id is None:
            return
        logs.event(
            "configuration behind",
            version=self.configuration.version,
            peer=peer_id,
            poll_waited_s=round(self.configuration_follower.waited_s(), 3),
        )
        fetch_result = await self.peers.fetch_configuration(peer_id)
        if not pipeline.is_successful(fetch_result):
            self._record_failure(
                "configuration", peer_id, fetch_result.failure()
            )
        elif fetch_result.unwrap():
            self.configuration.apply(fetch_result.unwrap(), f"peer {peer_id}")

    async def _fetch_engines(self) -> None:
        version = self.engines.version
        peer_id = self.statuses.newer_engines_peer(version)
        if peer_id is None:
            return
        fetch_result = await self.peers.fetch_engines(peer_id, version)
        if not pipeline.is_successful(fetch_result):
            self._record_failure("engines", peer_id, fetch_result.failure())
            return
        changes = fetch_result.unwrap()
        if changes.rows and changes.version > self.engines.version:
            self.metrics.count("engines_from_peer")
            self.engines.apply_snapshot(changes)

    def _record_failure(
        self, name: str, peer_id: str, fault: codes.Fault
    ) -> None:
        self.metrics.count("fetch_error", fault.code.name)
        logs.event(
            "fetch from a peer failed",
            fetched=name,
            peer=peer_id,
            detail=str(fault)[:200],
        )

    def _gauge_lags(self, now: float) -> None:
        """Sets for how long what peers have has been missing here."""
        for name, since in (
            ("configuration_missing_s", self._behind_since),
            ("engine_rows_missing_s", self.missing_since()),
        ):
            self.metrics.gauge(
                name, 0.0 if since is None else round(now - since, 3)
            )
