"""Availability zones that the operator has evacuated.

An evacuation is a row of the operator's table, which any instance may learn of
by several ways and in any order. So each zone has the version of the store at
which it was evacuated or returned, and the newest version counts. Ended
evacuations are kept, or a peer that knows less would revive them.
"""

import dataclasses
from collections.abc import Mapping

__all__ = ["MAX_ZONES", "Evacuation", "Evacuations"]

# Several times the zones of a platform. Beyond it, what ended longest ago is
# forgotten first.
MAX_ZONES = 256


@dataclasses.dataclass(frozen=True)
class Evacuation:
    """Whether a zone is evacuated, as of a version of the store.

    Attributes:
        zone: Name of the availability zone.
        version: Version of the store.
        is_ended: Whether the zone is not, or no longer, evacuated.
    """

    zone: str
    version: int
    is_ended: bool = False


class Evacuations:
    """The newest known state of each zone that was ever evacuated.

    Attributes:
        is_in_force: Whether evacuations have an effect; they are recorded in
            any case.
        by_zone: Newest state by zone.
        read_version: Version up to which this instance has read the operator's
            table itself; 0 if it has not.
    """

    def __init__(self) -> None:
        self.is_in_force = False
        self.by_zone: dict[str, Evacuation] = {}
        self.read_version = 0
        self._zones: frozenset[str] = frozenset()

    def zones(self) -> frozenset[str]:
        """Returns the zones whose engines may get no requests."""
        return self._zones if self.is_in_force else frozenset()

    def apply_snapshot(
        self, versions: Mapping[str, int], version: int
    ) -> list[Evacuation]:
        """Applies all rows of the store; ends the evacuations that they lack.

        Args:
            versions: Versions of the rows, by zone.
            version: Version of the store as of which the rows were read.

        Returns:
            The states of the zones that were evacuated or returned by it.
        """
        states = [Evacuation(zone, versions[zone]) for zone in versions]
        states += [
            Evacuation(zone, version, is_ended=True)
            for zone in self.by_zone
            if zone not in versions
        ]
        return self.apply_changes(states, version)

    def apply_changes(
        self, states: list[Evacuation], version: int
    ) -> list[Evacuation]:
        """Applies changes of rows, oldest first.

        Args:
            states: What the changed rows say.
            version: Version up to which all changes have been read.

        Returns:
            The states of the zones that were evacuated or returned by them.
        """
        changed = [state for state in states if self._record(state)]
        self.read_version = max(self.read_version, version)
        return changed

    def merge(self, state: Evacuation) -> bool:
        """Applies what a peer knows; returns whether it changes the zone.

        A row that this instance has not found, although it has read beyond
        its version, has been removed since.
        """
        known = self.by_zone.get(state.zone)
        is_unknown = known is None or known.is_ended
        if (
            is_unknown
            and not state.is_ended
            and state.version <= self.read_version
        ):
            state = Evacuation(state.zone, self.read_version, is_ended=True)
        return self._record(state)

    def _record(self, state: Evacuation) -> bool:
        """Records a state unless a newer one is known.

        Returns:
            Whether the zone is evacuated now and was not before, or vice versa.
        """
        known = self.by_zone.get(state.zone)
        if known is not None and state.version <= known.version:
            return False
        self.by_zone[state.zone] = state
        if len(self.by_zone) > MAX_ZONES:
            oldest = min(
                self.by_zone.values(),
                key=lambda one: (not one.is_ended, one.version),
            )
            del self.by_zone[oldest.zone]
        self._zones = frozenset(
            one.zone for one in self.by_zone.values() if not one.is_ended
        )
        was_evacuated = known is not None and not known.is_ended
        return was_evacuated == state.is_ended
