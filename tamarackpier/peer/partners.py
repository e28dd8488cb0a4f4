"""Selects gossip partners, and the peer to follow for engine rows.

In a small fleet, every instance exchanges state with every other. In a large
one, each instance exchanges with a few peers in its own availability zone each
round, and less often with one in another zone, since traffic between zones is
charged for. Updates spread by gossip (Demers et al., "Epidemic algorithms for
replicated database maintenance", 1987). Partners are chosen from a small fixed
set, so that few connections are open.
"""

import random
from collections.abc import Iterable

from tamarackpier.peer import membership, roster

__all__ = ["choose", "is_reader_of_large_fleet", "parent"]

# Number of fixed partners in the same availability zone.
_NEAR_PARTNERS = 6
# Number of fixed partners in other availability zones.
_FAR_PARTNERS = 3
_NEAR_PER_ROUND = 2
_FAR_EVERY_ROUNDS = 4
# Rounds between exchanges with silent addresses. These exchanges reunite
# the fleet after a network partition.
_SILENT_EVERY_ROUNDS = 8
_NEAR_PER_URGENT_ROUND = 4
_MAX_CHILDREN = 4


def choose(
    own_presence: roster.Presence,
    live: Iterable[roster.Presence],
    candidate_addresses: Iterable[str],
    round_number: int,
    is_urgent: bool,
    rng: random.Random,
) -> set[str]:
    """Returns the addresses of the peers to exchange with in a round.

    Args:
        own_presence: Presence of this instance.
        live: Presences of the live peers.
        candidate_addresses: Addresses at which instances may listen, live
            peers included.
        round_number: Number of the round; increases with each round.
        is_urgent: Whether there is an update that should spread at once.
        rng: Random source for the choice among partners.
    """
    by_id = {peer.id: peer for peer in live}
    live_addresses = {peer.peer_address for peer in by_id.values()}
    known_addresses = live_addresses | {own_presence.peer_address}
    silent_addresses = [
        address
        for address in candidate_addresses
        if address not in known_addresses
    ]
    if len(live_addresses) + len(silent_addresses) <= roster.MAX_DIRECT_PEERS:
        return live_addresses.union(silent_addresses)
    near: list[str] = []
    far: list[str] = []
    for peer in by_id.values():
        is_near = peer.availability_zone == own_presence.availability_zone
        (near if is_near else far).append(peer.id)
    near = membership.rendezvous(own_presence.id, near)[:_NEAR_PARTNERS]
    far = membership.rendezvous(own_presence.id, far)[:_FAR_PARTNERS]
    count = _NEAR_PER_URGENT_ROUND if is_urgent else _NEAR_PER_ROUND
    peer_ids = rng.sample(near, min(count, len(near)))
    if far and (is_urgent or round_number % _FAR_EVERY_ROUNDS == 0):
        peer_ids.append(rng.choice(far))
    selected = {by_id[peer_id].peer_address for peer_id in peer_ids}
    if silent_addresses and (
        not near or round_number % _SILENT_EVERY_ROUNDS == 0
    ):
        selected.update(
            rng.sample(
                silent_addresses, min(_NEAR_PER_ROUND, len(silent_addresses))
            )
        )
    return selected


def parent(
    own_presence: roster.Presence,
    live: Iterable[roster.Presence],
    is_planning: bool,
) -> roster.Presence | None:
    """Returns the peer to follow for engine rows, or None to read the store.

    The instances of an availability zone form a tree in the order of their IDs.
    Its root reads the store; so does an instance that plans a zone. In a large
    fleet both follow the first instance of all, which alone reads the store.
    Leaving peers are left out.

    Args:
        own_presence: Presence of this instance.
        live: Presences of the live peers.
        is_planning: Whether this instance plans a zone.
    """
    instances = _staying(own_presence, live)
    zone_instances = sorted(
        (
            instance
            for instance in instances
            if instance.availability_zone == own_presence.availability_zone
        ),
        key=lambda instance: instance.id,
    )
    position = next(
        index
        for index, instance in enumerate(zone_instances)
        if instance.id == own_presence.id
    )
    if position and not is_planning:
        return zone_instances[(position - 1) // _MAX_CHILDREN]
    first = _first(instances)
    if not _is_large(instances) or first.id == own_presence.id:
        return None
    return first


def is_reader_of_large_fleet(
    own_presence: roster.Presence, live: Iterable[roster.Presence]
) -> bool:
    """Returns whether a large fleet follows this instance for engine rows."""
    instances = _staying(own_presence, live)
    return _is_large(instances) and _first(instances).id == own_presence.id


def _staying(
    own_presence: roster.Presence, live: Iterable[roster.Presence]
) -> list[roster.Presence]:
    """Returns this instance and the live peers that aren't leaving."""
    return [own_presence, *(peer for peer in live if not peer.is_leaving)]


def _first(instances: Iterable[roster.Presence]) -> roster.Presence:
    return min(instances, key=lambda instance: instance.id)


def _is_large(instances: list[roster.Presence]) -> bool:
    """Returns whether so many instances share the reads of one."""
    return len(instances) > roster.MAX_DIRECT_PEERS + 1
