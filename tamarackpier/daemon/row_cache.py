"""Caches the configuration and the engine rows that the store holds."""

import asyncio
import collections
import contextlib
from collections.abc import Callable

from returns import pipeline

from tamarackpier import invariants, logs, metrics
from tamarackpier.fleet import fleet_view, model
from tamarackpier.platform import decode, interfaces, wire
from tamarackpier.routing import table

__all__ = ["ConfigurationCache", "EngineRowCache"]

_MAX_HISTORY_LENGTH = 2000
_STORE = "store"  # Source of a configuration that no peer has passed on.


class ConfigurationCache:
    """Caches the newest configuration; its version never decreases.

    Attributes:
        on_change: Called with the routing table of each new configuration.
        metrics: Counters of this instance.
        invariants: Runtime checks of this instance.
        clock: Returns the monotonic time, in seconds.
        routing: Routing table of the configuration in force; None before the
            first configuration.
        data: The configuration in force as encoded by the operator; empty
            before the first configuration.
        on_snapshot: Called with all rows of the operators' table.
        on_changes: Called with the rows of that table that changed.
        from_peer_at: Time at which a peer has passed on the configuration in
            force, in seconds on the monotonic clock; None if the store has.
    """

    def __init__(
        self,
        on_change: Callable[[table.RoutingTable], None],
        counts: metrics.Metrics,
        checks: invariants.Invariants,
        clock: Callable[[], float],
    ) -> None:
        self.on_change = on_change
        self.metrics = counts
        self.invariants = checks
        self.clock = clock
        self.routing: table.RoutingTable | None = None
        self.data = b""
        self.on_snapshot: Callable[[interfaces.Changes], None] = _ignore
        self.on_changes: Callable[[interfaces.Changes], None] = _ignore
        self.from_peer_at: float | None = None

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 if there is none yet."""
        return self.routing.version if self.routing else 0

    def apply_snapshot(self, changes: interfaces.Changes) -> None:
        """Applies all rows of the operators' table."""
        self.on_snapshot(changes)
        self._apply_configuration_row(changes)

    def apply_rows(self, changes: interfaces.Changes) -> None:
        """Applies the rows of the operators' table that changed."""
        self.on_changes(changes)
        self._apply_configuration_row(changes)

    def _apply_configuration_row(self, changes: interfaces.Changes) -> None:
        for row in changes.rows:
            if row.key == wire.Field.CONFIGURATION_KEY and row.data:
                self.apply(row.data, _STORE)

    def apply(self, data: bytes, source: str) -> None:
        """Applies an encoded configuration if it is newer.

        Args:
            data: The encoded configuration.
            source: Name of the store or peer it comes from, for the log.
        """
        decoded = decode.configuration(data)
        if not pipeline.is_successful(decoded):
            self.metrics.count("configuration", "unreadable")
            logs.event(
                "configuration unreadable",
                source=source,
                detail=str(decoded.failure()),
            )
            return
        configuration = decoded.unwrap()
        if configuration.version <= self.version:
            self.metrics.count("configuration", "older")
            return
        previous_version = self.version
        self.invariants.hold(
            "configuration_never_back",
            configuration.version > previous_version,
            lambda: f"{configuration.version} after {previous_version}",
        )
        self.from_peer_at = None if source == _STORE else self.clock()
        self.routing = table.create_routing(configuration)
        self.data = data
        self.metrics.count("configuration", "in_force")
        logs.event(
            "configuration in force",
            version=configuration.version,
            before=previous_version,
            source=source,
            routes=len(configuration.routes),
        )
        self.on_change(self.routing)


class EngineRowCache:
    """Caches engine rows and their latest changes.

    Attributes:
        fleet: The local view of engines; updated from the rows.
        on_change: Called after each update.
        logs_rows: Returns whether to log each engine that changes. Instances
            that follow a peer leave that to the one that reads the store.
        metrics: Counters of this instance.
        clock: Returns the monotonic time, in seconds.
        is_loaded: Whether a snapshot has been applied.
        rows: Encoded rows by engine ID, for peers.
        version: Version of the store up to which rows were read; 0 before the
            first snapshot.
        change_version: Version of the latest change among them, or of the
            latest snapshot.
        history: Latest row changes, oldest first, for peers.
    """

    def __init__(
        self,
        fleet: fleet_view.FleetView,
        on_change: Callable[[], None],
        counts: metrics.Metrics,
        clock: Callable[[], float],
    ) -> None:
        self.fleet = fleet
        self.on_change = on_change
        self.metrics = counts
        self.clock = clock
        self.logs_rows: Callable[[], bool] = lambda: True
        self.is_loaded = False
        self.rows: dict[str, bytes] = {}
        self.version = 0
        self.change_version = 0
        self.history: collections.deque[interfaces.Change] = collections.deque(
            maxlen=_MAX_HISTORY_LENGTH
        )
        self._history_start_version = 0
        self._changed = asyncio.Event()

    def apply_snapshot(self, changes: interfaces.Changes) -> None:
        """Replaces all rows by those of a snapshot."""
        now = self.clock()
        decoded = [self._decode(row) for row in changes.rows]
        records = [record for record in decoded if record is not None]
        for record in records:
            self._record_cold(record, now)
        self.fleet.replace(records, now)
        self.rows = {row.key: row.data for row in changes.rows if row.data}
        self.version = changes.version
        self.change_version = changes.version
        self.history.clear()
        self._history_start_version = changes.version
        self.is_loaded = True
        self.notify_waiters()
        logs.decision("engines read", known=len(self.fleet.engines))
        self.on_change()

    def apply_changes(self, changes: interfaces.Changes) -> None:
        """Applies the rows that changed.

        A peer's snapshot may have been newer than what is read next.
        """
        now = self.clock()
        is_logged = self.logs_rows()
        known_version = self.version
        self.version = max(known_version, changes.version)
        for row in changes.rows:
            if row.version <= known_version:
                continue
            if len(self.history) == _MAX_HISTORY_LENGTH:
                self._history_start_version = self.history[0].version
            self.history.append(row)
            self.change_version = max(self.change_version, row.version)
            if row.data is None:
                self.rows.pop(row.key, None)
            else:
                self.rows[row.key] = row.data
            record = self._decode(row) if row.data is not None else None
            if record is None:
                self._remove_engine(row.key, is_logged, now)
            else:
                self._record_cold(record, now)
                self._update_engine(record, is_logged)
        self.notify_waiters()
        self.on_change()

    def notify_waiters(self) -> None:
        """Wakes all calls of `wait_for_change`."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, wait_s: float) -> None:
        """Waits for a change, for `wait_s` seconds at most."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._changed.wait(), wait_s)

    def changes_after(self, version: int) -> interfaces.Changes | None:
        """Returns the changes after a version of the store.

        Args:
            version: The version.

        Returns:
            The changes; None if the history does not reach back to it.
        """
        if version < self._history_start_version:
            return None
        rows = tuple(
            change for change in self.history if change.version > version
        )
        return interfaces.Changes(rows, self.version)

    def _record_cold(self, record: model.EngineRecord, now: float) -> None:
        if self.fleet.cold.record(
            record.id, record.incarnation, record.cold_left_s, now
        ):
            self.metrics.count("engine_cold", "row")

    def _update_engine(
        self, record: model.EngineRecord, is_logged: bool
    ) -> None:
        known_record = self.fleet.engines.get(record.id)
        self.fleet.put(record)
        record = self.fleet.engines[record.id]
        if known_record == record or not is_logged:
            return
        membership = record.membership
        logs.decision(
            "engine changed",
            engine=record.id,
            is_new=known_record is None,
            leaving=record.is_leaving,
            staged=record.staged,
            replica=membership.key.replica if membership else "",
            rank=membership.rank if membership else -1,
            state=membership.state.value if membership else "",
        )

    def _remove_engine(
        self, engine_id: str, is_logged: bool, now: float
    ) -> None:
        is_known = engine_id in self.fleet.engines
        self.fleet.remove(engine_id, now)
        if not is_known:
            return
        self.metrics.count("engine_row", "gone")
        due_at = self.fleet.pending_removals.get(engine_id)
        if due_at is not None:
            self.metrics.count("engine_row", "kept")
        if is_logged:
            logs.decision(
                "engine row gone",
                engine=engine_id,
                kept_s=round(due_at - now, 3) if due_at is not None else 0.0,
                rows_back_by_s=round(self.fleet.rows_back_by - now, 3),
            )

    def _decode(self, row: interfaces.Change) -> model.EngineRecord | None:
        decoded = decode.engine_record(row.key, row.data or b"")
        if pipeline.is_successful(decoded):
            return decoded.unwrap()
        self.metrics.count("engine_row", "unreadable")
        logs.decision(
            "engine row unreadable",
            engine=row.key,
            detail=str(decoded.failure())[:200],
        )
        return None


def _ignore(changes: interfaces.Changes) -> None:
    """Does nothing."""
