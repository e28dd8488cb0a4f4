"""Pulls from peers what neither the store nor the followed peer delivers."""

import math
import random
from collections.abc import Callable

from returns import pipeline, result

from tamarackpier import codes, logs, metrics
from tamarackpier.daemon import (
    entry_peers,
    peer_asks,
    peer_status,
    row_cache,
    store_watch,
)
from tamarackpier.peer import contacts, isolation, propagation, pulls

__all__ = ["CatchUp"]

# Time for which a peer must have had newer engine rows, and for which an own
# call must have waited, until the call is taken for lost. Versions also rise
# with other tables, so a peer that is ahead proves no change.
_BEHIND_S = 0.8
_LOST_CALL_S = 3.0
# Time between two checks while a change is missing.
_CHECK_S = 0.05
# Time without the store after which engine rows are pulled from a peer that has
# read further, and the time between two such pulls.
_STORE_LOST_S = 0.5
_READ_FURTHER_INTERVAL_S = 0.25


class CatchUp:
    """Pulls the configuration and the engine rows from peers.

    Attributes:
        statuses: Statuses of the peers, with the versions that they have.
        peers: Client for calls to peers.
        configuration: Cache of the configuration; updated.
        engines: Cache of the engine rows; updated.
        follower: Follows the engine rows in the store.
        configuration_follower: Follows the operators' table in the store.
        missing_change: The change of the engine rows that a peer has and this
            instance lacks.
        missing_configuration: The same for the configuration.
        metrics: Counts calls to peers and renewed polls.
        times: Returns the limits for the steps of a change.
        reads_store: Returns whether the rows are read from the store and not
            from a peer.
        is_store_away: Returns whether the store has left a call unanswered
            since it last answered one.
        due_at: Time of the next check beside those of each round, in seconds
            on the monotonic clock; infinity while nothing is missing.
        peers_ahead_since: Time since which a live peer has read further than
            this instance, in seconds on the monotonic clock; None if none has.
    """

    def __init__(
        self,
        statuses: peer_status.PeerStatuses,
        peers: entry_peers.EntryPeers,
        configuration: row_cache.ConfigurationCache,
        engines: row_cache.EngineRowCache,
        follower: store_watch.TableFollower,
        configuration_follower: store_watch.TableFollower,
        missing_change: pulls.MissingVersion,
        counts: metrics.Metrics,
        times: Callable[[], propagation.PropagationTimes],
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self.statuses = statuses
        self.peers = peers
        self.configuration = configuration
        self.engines = engines
        self.follower = follower
        self.configuration_follower = configuration_follower
        self.missing_change = missing_change
        self.missing_configuration = pulls.MissingVersion(
            statuses.newest_configuration_version,
            lambda: configuration.version,
            clock,
        )
        self.metrics = counts
        self.times = times
        self.reads_store: Callable[[], bool] = lambda: False
        self.is_store_away: Callable[[], bool] = lambda: False
        self.due_at = math.inf
        self.peers_ahead_since: float | None = None
        self._read_further_at = -math.inf
        self._configuration_asks = peer_asks.PeerAsks(
            contacts.News.CONFIGURATION,
            self._ask_configuration,
            lambda: configuration.version,
            statuses.contacts,
            counts,
            rng,
            clock,
        )
        self._row_asks = peer_asks.PeerAsks(
            contacts.News.ENGINE_ROWS,
            self._ask_rows,
            lambda: engines.version,
            statuses.contacts,
            counts,
            rng,
            clock,
        )

    def may_be_outdated(self, contact: isolation.Contact, now: float) -> bool:
        """Returns whether a newer configuration than the own may be in force.

        Args:
            contact: When this instance last heard of others.
            now: Time in seconds on the monotonic clock.
        """
        return (
            self.missing_configuration.since() is not None
            or isolation.is_isolated(contact, self.times().bound_s, now)
        )

    def note_news(self, now: float) -> None:
        """Notes that a peer has something newer, and when to act on it."""
        due_at = self._next_due_at(
            self.missing_configuration.since(), self.missing_change.since(), now
        )
        self.due_at = min(self.due_at, due_at)

    def tick(self, now: float) -> None:
        """Asks peers and renews polls where that is due."""
        configuration_since = self.missing_configuration.since()
        rows_since = self.missing_change.since()
        self._update_peers_ahead(now)
        self._pull_configuration(configuration_since, now)
        self._pull_rows(rows_since, now)
        if self._has_lost_call(rows_since, now):
            self.metrics.count("poll_renewed", "peers are ahead")
            self.follower.renew(was_away=False)
        if self._has_lost_configuration_call(configuration_since, now):
            self.metrics.count("poll_renewed", "a peer had the configuration")
            logs.event(
                "poll renewed",
                table=self.configuration_follower.table,
                reason="a peer had the configuration",
                waited_s=round(self.configuration_follower.waited_s(), 3),
            )
            self.configuration_follower.renew(was_away=False)
        self.due_at = self._next_due_at(configuration_since, rows_since, now)
        self._gauge_lag("configuration_missing_s", configuration_since, now)
        self._gauge_lag("engine_rows_missing_s", rows_since, now)

    def close(self) -> None:
        """Gives up all calls to peers."""
        self._configuration_asks.stop()
        self._row_asks.stop()

    def _pull_configuration(self, since: float | None, now: float) -> None:
        if since is None:
            self._configuration_asks.stop()
        elif now >= self._configuration_due_at(since):
            version = self.missing_configuration.version
            self._configuration_asks.advance(
                version,
                self.statuses.configuration_holders(version),
                self.times(),
            )

    def _pull_rows(self, since: float | None, now: float) -> None:
        if since is not None:
            if now - since < self._delivery_s():
                return
            version = self.missing_change.version
        elif self._may_read_further(now):
            self._read_further_at = now
            version = self.engines.version + 1
        else:
            if self.peers_ahead_since is None:
                self._row_asks.stop()
            return
        self._row_asks.advance(
            version, self.statuses.engines_holders(version), self.times()
        )

    def _may_read_further(self, now: float) -> bool:
        """Returns whether a version without a known change is pulled, too."""
        return (
            self.peers_ahead_since is not None
            and self.follower.is_lost
            and now - self.follower.read_at > _STORE_LOST_S
            and now - self._read_further_at >= _READ_FURTHER_INTERVAL_S
        )

    def _next_due_at(
        self,
        configuration_since: float | None,
        rows_since: float | None,
        now: float,
    ) -> float:
        """Returns the time of the next check beside those of each round.

        While something is missing, checks follow one another closely: what one
        starts may fail, and the times of all that is waited for add up.

        Returns:
            The time in seconds on the monotonic clock; infinity if nothing is
            missing.
        """
        due_at = math.inf
        if rows_since is not None:
            due_at = rows_since + self._delivery_s()
        if configuration_since is not None:
            configuration_due_at = self._configuration_due_at(
                configuration_since
            )
            due_at = min(due_at, configuration_due_at)
        return due_at if due_at > now else now + _CHECK_S

    def _configuration_due_at(self, since: float) -> float:
        """Returns from when on a missing configuration is asked for."""
        if self.configuration.routing is None:
            return since
        return since + self.times().delivery_s

    def _delivery_s(self) -> float:
        """Returns the time for a change of the rows to be delivered."""
        if self.reads_store() and self.is_store_away():
            return 0.0
        return self.times().delivery_s

    def _update_peers_ahead(self, now: float) -> None:
        if self.statuses.newest_engines_version() <= self.engines.version:
            self.peers_ahead_since = None
        elif self.peers_ahead_since is None:
            self.peers_ahead_since = now

    def _has_lost_call(self, since: float | None, now: float) -> bool:
        """Returns whether the poll in flight is not going to be answered."""
        polled_at = self.follower.polled_at
        if self._lacks_change(since, now) and self.follower.is_waiting:
            return polled_at is not None
        return (
            self.peers_ahead_since is not None
            and now - self.peers_ahead_since > _BEHIND_S
            and polled_at is not None
            and now - polled_at > _LOST_CALL_S
        )

    def _lacks_change(self, since: float | None, now: float) -> bool:
        """Returns whether a change that a peer has is missing for too long."""
        if since is None:
            return False
        limit_s = self.times().parent_lag_s
        if self.reads_store():
            limit_s = self._delivery_s()
        return now - since >= limit_s

    def _has_lost_configuration_call(
        self, since: float | None, now: float
    ) -> bool:
        """Returns whether a peer had what the poll in flight has missed."""
        had_at = self.configuration.from_peer_at if since is None else since
        polled_at = self.configuration_follower.polled_at
        return (
            had_at is not None
            and polled_at is not None
            and self.configuration_follower.is_waiting
            and polled_at < had_at
            and now - had_at >= self.times().delivery_s
        )

    async def _ask_configuration(
        self, ask: pulls.Ask
    ) -> result.Result[None, codes.Fault]:
        fetch_result = await self.peers.fetch_configuration(
            ask.peer_id, ask.limit_s
        )
        if pipeline.is_successful(fetch_result) and fetch_result.unwrap():
            self.configuration.apply(
                fetch_result.unwrap(), f"peer {ask.peer_id}"
            )
        return fetch_result.map(lambda data: None)

    async def _ask_rows(
        self, ask: pulls.Ask
    ) -> result.Result[None, codes.Fault]:
        """Applies the changes that a peer has, or all of its rows."""
        if self.engines.is_loaded:
            changes_result = await self.peers.fetch_engine_changes(
                ask.peer_id, self.engines.version, ask.limit_s
            )
            if pipeline.is_successful(changes_result):
                self._apply_changes(changes_result.unwrap(), ask.peer_id)
                return result.Success(None)
            fault = changes_result.failure()
            if fault.code is not codes.TABLE_HISTORY_LOST:
                return result.Failure(fault)
        version = self.engines.version
        fetch_result = await self.peers.fetch_engines(
            ask.peer_id, version, ask.limit_s
        )
        if pipeline.is_successful(fetch_result):
            snapshot = fetch_result.unwrap()
            if snapshot.rows and snapshot.version > self.engines.version:
                self.metrics.count("engines_from_peer", "all")
                self.engines.apply_snapshot(snapshot)
        return fetch_result.map(lambda changes: None)

    def _apply_changes(
        self, followed: entry_peers.Followed, peer_id: str
    ) -> None:
        if followed.changes.version > self.engines.version:
            self.metrics.count("engines_from_peer", "changes")
            self.engines.apply_changes(followed.changes)
        if followed.configuration:
            self.configuration.apply(followed.configuration, f"peer {peer_id}")

    def _gauge_lag(self, name: str, since: float | None, now: float) -> None:
        """Sets for how long what a peer has has been missing here."""
        lag_s = 0.0 if since is None else round(now - since, 3)
        self.metrics.gauge(name, lag_s)
