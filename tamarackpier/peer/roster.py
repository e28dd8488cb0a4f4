"""Gossip-style failure detection among entry instances.

Each instance increments its own heartbeat counter (`beat`) and passes on the
newest counter of every other instance. An instance whose counter has not risen
for a while is left out of address answers. (See van Renesse, Minsky and Hayden,
"A gossip-style failure detection service", 1998.)
"""

import dataclasses
from collections.abc import Collection, Iterable

__all__ = ["MAX_DIRECT_PEERS", "Presence", "Roster"]

# Time without a new beat after which a peer is not live, if every pair of
# instances exchanges directly: four exchange rounds.
_DIRECT_SILENCE_S = 1.0
# The same time in a larger fleet, where a beat takes several rounds to reach
# all instances.
_GOSSIP_SILENCE_S = 2.5
# Largest number of known peers at which every pair of instances exchanges
# directly.
MAX_DIRECT_PEERS = 8
# Time without a new beat after which a peer is removed.
_EXPIRE_S = 60.0
_MAX_PEERS = 4096


@dataclasses.dataclass(frozen=True)
class Presence:
    """Address and state of an entry instance, as it reports them.

    Attributes:
        id: Unique ID of the instance.
        incarnation: Number that increases with each start of the instance.
        beat: Heartbeat counter, incremented in each exchange round.
        availability_zone: Availability zone of the instance.
        caller_address: Address at which it accepts callers.
        peer_address: Address at which it accepts peers.
        is_ready: Whether it accepts requests.
        is_leaving: Whether it is about to stop.
    """

    id: str
    incarnation: int
    beat: int
    availability_zone: str
    caller_address: str
    peer_address: str
    is_ready: bool
    is_leaving: bool

    @property
    def recency(self) -> tuple[int, int]:
        """Incarnation and beat; the newest presence has the highest pair."""
        return (self.incarnation, self.beat)


class Roster:
    """The entry instances that this instance knows.

    Attributes:
        own_presence: Presence of this instance.
        others: Presence of each peer, with the time in seconds at which its
            beat last rose, by ID.
        refused: Time in seconds since which a peer's address has refused
            connections, by ID.
    """

    def __init__(self, own_presence: Presence) -> None:
        self.own_presence = own_presence
        self.others: dict[str, tuple[Presence, float]] = {}
        self.refused: dict[str, float] = {}

    def beat(self, is_ready: bool, is_leaving: bool) -> None:
        """Increments this instance's beat and updates its state."""
        self.own_presence = dataclasses.replace(
            self.own_presence,
            beat=self.own_presence.beat + 1,
            is_ready=is_ready,
            is_leaving=is_leaving,
        )

    @property
    def silent_s(self) -> float:
        """Seconds without a new beat after which a peer is not live."""
        return (
            _DIRECT_SILENCE_S
            if len(self.others) <= MAX_DIRECT_PEERS
            else _GOSSIP_SILENCE_S
        )

    def possible_senders(self) -> set[str]:
        """Returns the IDs of the instances that may be sending requests.

        A silent one may go on sending, unless it announced that it leaves or
        its address refuses connections.
        """
        presences = [
            self.own_presence,
            *(presence for presence, _ in self.others.values()),
        ]
        return {
            presence.id
            for presence in presences
            if not presence.is_leaving and presence.id not in self.refused
        }

    def record_beat(
        self,
        peer_id: str,
        beat: int,
        is_ready: bool,
        is_leaving: bool,
        now: float,
    ) -> None:
        """Applies a newer beat from the known incarnation of a known peer."""
        known = self.others[peer_id][0]
        if beat > known.beat:
            updated = dataclasses.replace(
                known, beat=beat, is_ready=is_ready, is_leaving=is_leaving
            )
            self.others[peer_id] = (updated, now)
            self.refused.pop(peer_id, None)

    def merge(self, presences: Iterable[Presence], now: float) -> None:
        """Adds unknown peers and newer presences received from a peer."""
        for presence in presences:
            if presence.id == self.own_presence.id:
                continue
            known = self.others.get(presence.id)
            if known is None and len(self.others) >= _MAX_PEERS:
                continue
            # If a peer's clock was set back, its new incarnation has a lower
            # number. A silent presence is therefore replaced by any other.
            if (
                known is None
                or presence.recency > known[0].recency
                or (
                    now - known[1] > self.silent_s
                    and presence.recency != known[0].recency
                )
            ):
                self.others[presence.id] = (presence, now)
                self.refused.pop(presence.id, None)

    def refuse(self, peer_id: str, now: float) -> None:
        """Records that a peer's address refused a connection."""
        self.refused.setdefault(peer_id, now)

    def live(self, now: float) -> list[Presence]:
        """Returns the live peers.

        The beat of a live peer rose recently, and its address has not refused
        a connection since.
        """
        silent_s = self.silent_s
        return [
            peer
            for peer, beat_at in self.others.values()
            if now - beat_at < silent_s and peer.id not in self.refused
        ]

    def expire(self, now: float) -> None:
        """Removes peers whose beat has not risen within the expiry time."""
        expired = [
            peer_id
            for peer_id, (_, beat_at) in self.others.items()
            if now - beat_at > _EXPIRE_S
        ]
        for peer_id in expired:
            del self.others[peer_id]
            self.refused.pop(peer_id, None)

    def caller_addresses(
        self, now: float, without_links: Collection[str] = ()
    ) -> list[str]:
        """Returns the addresses of instances that accept callers, sorted.

        Instances without links to engines serve through the others. They are
        left out, unless more than half of all instances would be: the rest
        could not take all callers.

        Args:
            now: Time in seconds on the monotonic clock.
            without_links: IDs of the instances without links.
        """
        accepting = [
            instance
            for instance in (self.own_presence, *self.live(now))
            if instance.is_ready and not instance.is_leaving
        ]
        linked = [
            instance
            for instance in accepting
            if instance.id not in without_links
        ]
        chosen = linked if 2 * len(linked) >= len(accepting) else accepting
        return sorted(instance.caller_address for instance in chosen)

    def has_ended(self, peer_id: str, incarnation: int) -> bool:
        """Returns whether an incarnation is known to have ended."""
        if peer_id == self.own_presence.id:
            return incarnation != self.own_presence.incarnation
        known = self.others.get(peer_id)
        return known is not None and known[0].incarnation > incarnation
