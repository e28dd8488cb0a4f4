"""Evacuated zones in the messages between entry instances."""

from collections.abc import Iterable, Iterator

from tamarackpier.fleet import evacuations
from tamarackpier.wire import entry_pb2

__all__ = ["from_wire", "to_wire"]

_MAX_VERSION = (1 << 63) - 1
_MAX_NAME_CHARACTERS = 200  # Longest key of the store's rows.


def to_wire(known: evacuations.Evacuations) -> list[entry_pb2.Evacuation]:
    """Returns all known states of zones; none if they are not in force."""
    if not known.is_in_force:
        return []
    return [
        entry_pb2.Evacuation(
            zone=state.zone, version=state.version, is_ended=state.is_ended
        )
        for state in known.by_zone.values()
    ]


def from_wire(
    messages: Iterable[entry_pb2.Evacuation],
) -> Iterator[evacuations.Evacuation]:
    """Yields the valid states among those of a peer."""
    for message in messages:
        is_name = 0 < len(message.zone) <= _MAX_NAME_CHARACTERS
        if is_name and 0 < message.version <= _MAX_VERSION:
            yield evacuations.Evacuation(
                message.zone, message.version, message.is_ended
            )
