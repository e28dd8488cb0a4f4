"""Whether an instance is out of touch with all that could tell it a change.

An isolated instance stays ready and serves by what it knows: routes, keys and
engines that it knows are most likely still right, and callers that can reach no
other instance are served. It gives no final refusal for a route or a key that
it doesn't know, since a later configuration may hold it.
"""

import dataclasses

__all__ = ["Contact", "is_isolated"]


@dataclasses.dataclass(frozen=True)
class Contact:
    """When an instance last heard of the store and of its peers.

    Times are in seconds on the monotonic clock.

    Attributes:
        store_answered_at: Time of the last answer of the store, to this
            instance or to a peer that told it.
        is_store_away: Whether a call to the store has failed since.
        peer_heard_at: Time of the last message of a peer.
        has_peers: Whether any peer is known.
    """

    store_answered_at: float
    is_store_away: bool
    peer_heard_at: float
    has_peers: bool


def is_isolated(contact: Contact, bound_s: float, now: float) -> bool:
    """Returns whether changes may be in force that this instance can't know.

    A quiet store answers seldom, so its silence alone shows nothing, unless all
    peers are silent as well.

    Args:
        contact: When the instance last heard of others.
        bound_s: Time in which a change must be in force, in seconds.
        now: Time in seconds on the monotonic clock.
    """
    heard_at = max(contact.store_answered_at, contact.peer_heard_at)
    return now - heard_at > bound_s and (
        contact.is_store_away or contact.has_peers
    )
