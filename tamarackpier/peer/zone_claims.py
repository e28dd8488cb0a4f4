"""Availability zones that peers claim to plan."""

import dataclasses
from collections.abc import Mapping

__all__ = ["ZoneClaims"]


@dataclasses.dataclass(frozen=True)
class ZoneClaims:
    """Planning claims of all live peers.

    Attributes:
        leased: Availability zones that peers plan under a valid lease.
        overtime: Availability zones that peers still plan although the lease
            has lapsed, because the store does not answer.
        fences: Highest fencing number reported by peers, by availability zone.
        without_links: IDs of the live instances, this one among them, that
            have lost their links to engines; empty if no instance has links.
    """

    leased: frozenset[str] = frozenset()
    overtime: frozenset[str] = frozenset()
    fences: Mapping[str, int] = dataclasses.field(default_factory=dict)
    without_links: frozenset[str] = frozenset()
