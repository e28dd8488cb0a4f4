"""Takes rows of the store into what this instance believes."""

import asyncio
import collections
import contextlib
from collections.abc import Callable

from returns import pipeline

from tamarackpier import invariants, logs, metrics
from tamarackpier.fleet import beliefs, model
from tamarackpier.platform import decode, interfaces, wire
from tamarackpier.routing import table

__all__ = ["ConfigurationCache", "EngineRowCache"]

_MOST_CHANGES = 2000


class ConfigurationCache:
    """Keeps the newest configuration; it never goes back.

    Attributes:
        routing: What is in force; None before the first.
        data: Its bytes, as the operator wrote them.
        on_new: Called with each new one.
    """

    def __init__(
        self,
        on_new: Callable[[table.Routing], None],
        counts: metrics.Metrics,
        checks: invariants.Invariants,
        clock: Callable[[], float],
    ) -> None:
        self.on_change = on_new
        self.metrics = counts
        self.invariants = checks
        self.clock = clock
        self.routing: table.Routing | None = None
        self.data = b""

    @property
    def version(self) -> int:
        """The version in force; 0 before the first."""
        return self.routing.version if self.routing else 0

    def rows(self, changes: interfaces.Changes) -> None:
        """Takes rows of the operator's table."""
        for row in changes.rows:
            if row.key == wire.Field.CONFIGURATION_KEY and row.data:
                self.apply(row.data, "store")

    def apply(self, data: bytes, source: str) -> None:
        """Takes a configuration if it is newer."""
        found = decode.configuration(data)
        if not pipeline.is_successful(found):
            self.metrics.count("configuration", "unreadable")
            logs.event(
                "configuration unreadable",
                source=source,
                detail=str(found.failure()),
            )
            return
        configuration = found.unwrap()
        if configuration.version <= self.version:
            self.metrics.count("configuration", "older")
            return
        before = self.version
        self.invariants.hold(
            "configuration_never_back",
            configuration.version > before,
            lambda: f"{configuration.version} after {before}",
        )
        self.routing = table.create_routing(configuration)
        self.data = data
        self.metrics.count("configuration", "in_force")
        logs.event(
            "configuration in force",
            version=configuration.version,
            before=before,
            source=source,
            routes=len(configuration.routes),
        )
        self.on_change(self.routing)


class EngineRowCache:
    """Keeps what engines' rows say.

    Attributes:
        fleet: What is believed.
        on_change: Called after each change.
        is_loaded: Whether the rows were read once.
        rows: The rows' bytes by engine, for peers.
        version: Version of the store up to which they were read.
        history: Latest changes, oldest first, for peers.
    """

    def __init__(
        self,
        fleet: beliefs.Fleet,
        on_change: Callable[[], None],
        counts: metrics.Metrics,
        clock: Callable[[], float],
    ) -> None:
        self.fleet = fleet
        self.on_change = on_change
        self.metrics = counts
        self.clock = clock
        self.is_loaded = False
        self.rows: dict[str, bytes] = {}
        self.version = 0
        self.history: collections.deque[interfaces.Change] = collections.deque(
            maxlen=_MOST_CHANGES
        )
        self._begins_after = 0
        self._changed = asyncio.Event()

    def snapshot(self, changes: interfaces.Changes) -> None:
        """Takes all rows."""
        now = self.clock()
        records = [self._decode(each) for each in changes.rows]
        self.fleet.replace([each for each in records if each], now)
        self.rows = {each.key: each.data for each in changes.rows if each.data}
        self.version = changes.version
        self.history.clear()
        self._begins_after = changes.version
        self.is_loaded = True
        self.notify_waiters()
        logs.decision("engines read", known=len(self.fleet.engines))
        self.on_change()

    def changes(self, changes: interfaces.Changes) -> None:
        """Takes the rows that changed."""
        now = self.clock()
        self.version = changes.version
        for each in changes.rows:
            if len(self.history) == _MOST_CHANGES:
                self._begins_after = self.history[0].version
            self.history.append(each)
            if each.data is None:
                self.rows.pop(each.key, None)
            else:
                self.rows[each.key] = each.data
            record = self._decode(each) if each.data is not None else None
            if record is None:
                self._gone(each.key, now)
            else:
                self._put(record)
        self.notify_waiters()
        self.on_change()

    def notify_waiters(self) -> None:
        """Lets peers that wait for a change look again."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait(self, wait_s: float) -> None:
        """Waits for a change."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._changed.wait(), wait_s)

    def changes_after(self, version: int) -> interfaces.Changes | None:
        """Returns the changes after a version; None if some are forgotten."""
        if version < self._begins_after:
            return None
        rows = tuple(each for each in self.history if each.version > version)
        return interfaces.Changes(rows, self.version)

    def _put(self, record: model.EngineRecord) -> None:
        known = self.fleet.engines.get(record.id)
        self.fleet.put(record)
        if known == record:
            return
        membership = record.membership
        logs.decision(
            "engine changed",
            engine=record.id,
            is_new=known is None,
            leaving=record.is_leaving,
            staged=record.staged,
            replica=membership.key.replica if membership else "",
            rank=membership.rank if membership else -1,
            state=membership.state.value if membership else "",
        )

    def _gone(self, engine_id: str, now: float) -> None:
        if engine_id in self.fleet.engines:
            self.metrics.count("engine_row", "gone")
            logs.decision("engine row gone", engine=engine_id)
        self.fleet.remove(engine_id, now)

    def _decode(self, row: interfaces.Change) -> model.EngineRecord | None:
        found = decode.engine_record(row.key, row.data or b"")
        if pipeline.is_successful(found):
            return found.unwrap()
        self.metrics.count("engine_row", "unreadable")
        logs.decision(
            "engine row unreadable",
            engine=row.key,
            detail=str(found.failure())[:200],
        )
        return None
