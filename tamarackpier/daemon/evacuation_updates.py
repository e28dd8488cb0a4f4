"""Applies evacuations of zones from the store and from peers."""

import collections
import math
from collections.abc import Callable, Iterable

from tamarackpier import logs, metrics
from tamarackpier.fleet import evacuations, fleet_view
from tamarackpier.peer import evacuation_codec
from tamarackpier.platform import interfaces, wire
from tamarackpier.wire import entry_pb2

__all__ = ["EvacuationUpdates"]

_STORE = "store"  # Source of what no peer has passed on.
# Time for which a peer that asks for changes is answered at once: it may have
# been between two calls when they came, which are up to 0.1 s apart.
_RECENT_S = 0.5
# Number of versions that are noted for the delay in the log, one a round.
_NOTED_VERSIONS = 64


class EvacuationUpdates:
    """Keeps the evacuations of the fleet view up to date.

    Attributes:
        fleet: View of the engines, with the evacuations.
        metrics: Counts zones that were evacuated and returned, by source.
        clock: Returns the monotonic time, in seconds.
        on_change: Called when a zone was evacuated or returned.
    """

    def __init__(
        self,
        fleet: fleet_view.FleetView,
        counts: metrics.Metrics,
        clock: Callable[[], float],
    ) -> None:
        self.fleet = fleet
        self.metrics = counts
        self.clock = clock
        self.on_change: Callable[[], None] = lambda: None
        self._changed_at = -math.inf
        self._noted: collections.deque[tuple[float, int]] = collections.deque(
            maxlen=_NOTED_VERSIONS
        )

    def note_version(self, version: int) -> None:
        """Notes a version that the store has reached, by any table."""
        self._noted.append((self.clock(), version))

    def is_recent(self) -> bool:
        """Returns whether peers may have missed the latest change."""
        return self.clock() - self._changed_at < _RECENT_S

    def apply_snapshot(self, changes: interfaces.Changes) -> None:
        """Applies all rows of the operator's table."""
        versions = {
            state.zone: state.version
            for state in _states(changes)
            if not state.is_ended
        }
        known = self.fleet.evacuations
        self._report(known.apply_snapshot(versions, changes.version), _STORE)

    def apply_changes(self, changes: interfaces.Changes) -> None:
        """Applies changes of the operator's table."""
        known = self.fleet.evacuations
        changed = known.apply_changes(_states(changes), changes.version)
        self._report(changed, _STORE)

    def receive(
        self, messages: Iterable[entry_pb2.Evacuation], peer_id: str
    ) -> None:
        """Applies what a peer knows."""
        known = self.fleet.evacuations
        changed = [
            state
            for state in evacuation_codec.from_wire(messages)
            if known.merge(state)
        ]
        self._report(changed, f"peer {peer_id}")

    def to_send(self) -> list[entry_pb2.Evacuation]:
        """Returns what a message to a peer carries."""
        return evacuation_codec.to_wire(self.fleet.evacuations)

    def _report(
        self, changed: Iterable[evacuations.Evacuation], source: str
    ) -> None:
        if not self.fleet.evacuations.is_in_force:
            return
        now = self.clock()
        for state in changed:
            self._changed_at = now
            if state.is_ended:
                self.fleet.mark_returned_cold(state.zone, now)
            event = "ended" if state.is_ended else "begun"
            self.metrics.count("evacuation", event)
            logs.event(
                "evacuation ended" if state.is_ended else "zone evacuated",
                zone=state.zone,
                version=state.version,
                source=source,
                delay_s=round(self._delay_s(state.version, now), 3),
            )
        if self._changed_at == now:
            self.on_change()

    def _delay_s(self, version: int, now: float) -> float:
        """Returns for how long the store is known to be past a version.

        Rows carry no time. The versions of other tables' rows, which this
        instance and its peers read, show a part of the delay.
        """
        since = (at for at, noted in self._noted if noted >= version)
        return now - next(since, now)


def _states(changes: interfaces.Changes) -> list[evacuations.Evacuation]:
    """Returns what rows say of zones."""
    prefix = wire.Field.EVACUATION_PREFIX.value
    return [
        evacuations.Evacuation(
            row.key.removeprefix(prefix), row.version, row.data is None
        )
        for row in changes.rows
        if row.key.startswith(prefix) and row.key != prefix
    ]
