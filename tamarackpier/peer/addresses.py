"""Selects the entry instances that a caller should connect to."""

import dataclasses
from collections.abc import Iterable

from tamarackpier.peer import membership

__all__ = ["AddressAnswer", "answer"]

_MAX_ADDRESSES = 3


@dataclasses.dataclass(frozen=True)
class AddressAnswer:
    """Addresses returned to a caller.

    Attributes:
        addresses: Addresses of entry instances, in order of preference.
        keep_s: Time for which the caller may cache the answer, in seconds.
    """

    addresses: tuple[str, ...]
    keep_s: float


def answer(
    caller: str,
    availability_zone: str,
    serving: Iterable[membership.PeerRecord],
    keep_s: float,
) -> AddressAnswer:
    """Returns up to three addresses for a caller.

    Instances in the availability zone of the caller come first. Within the
    zone, and among the others, addresses are ordered by rendezvous hashing, so
    a caller keeps its first address while that instance is live, and callers
    spread evenly over the instances.

    Args:
        caller: Key that identifies the caller, such as its account and client
            address.
        availability_zone: Availability zone of the caller; empty if unknown.
        serving: Entry instances that accept new callers.
        keep_s: Time for which the caller may cache the answer, in seconds.
    """
    records = {record.id: record for record in serving}
    ranked = membership.rendezvous(caller, records)
    # Moves the instances of the caller's zone to the front. The sort is stable
    # and so keeps the hash order among them and among the others.
    ranked.sort(
        key=lambda peer_id: (
            records[peer_id].availability_zone != availability_zone
        )
    )
    selected = ranked[:_MAX_ADDRESSES]
    return AddressAnswer(
        tuple(records[peer_id].caller_address for peer_id in selected), keep_s
    )
