"""Which peers to ask for a change that is missing, and when.

Peers report which versions they have, and a change is pulled from any of them
that has it, as segments of a stream are in Zhang et al., "CoolStreaming/DONet"
(2005). No peer is preferred by all instances. While there is no answer, further
peers are asked beside the first ones ("hedged requests" in Dean and Barroso,
"The tail at scale", 2013).
"""

import dataclasses
import math
import random
from collections.abc import Callable, Iterable

from tamarackpier.peer import contacts, propagation

__all__ = ["Ask", "Holder", "MissingVersion", "Pull"]

_MAX_AT_ONCE = 4
# Number of asks after which the interval between them doubles, and how often it
# does so.
_ASKS_PER_INTERVAL = 8
_MAX_DOUBLINGS = 3
# Share of the interval after which the next peer is asked if an ask fails.
_FAILED_SHARE = 0.25


@dataclasses.dataclass(frozen=True)
class Holder:
    """A peer that has what is missing.

    Attributes:
        id: ID of the peer.
        standing: Whether it answers.
        is_near: Whether it is in the availability zone of this instance.
    """

    id: str
    standing: contacts.Standing
    is_near: bool


@dataclasses.dataclass(frozen=True)
class Ask:
    """A call to make.

    Attributes:
        peer_id: ID of the peer to ask.
        limit_s: Time for which to wait for the answer, in seconds.
    """

    peer_id: str
    limit_s: float


class Pull:
    """Chooses whom to ask for one thing, and how many at once.

    Attributes:
        rng: Source of the random choice among equal peers.
        in_flight: IDs of the peers that have been asked and have not answered.
        next_at: Time from which a further peer may be asked, in seconds on the
            monotonic clock.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.in_flight: set[str] = set()
        self.next_at = -math.inf
        self._asks: dict[str, int] = {}

    def choose(
        self,
        holders: Iterable[Holder],
        times: propagation.PropagationTimes,
        now: float,
    ) -> Ask | None:
        """Returns whom to ask now; None to wait.

        Peers that answer are asked before others, and of those the ones that
        have been asked least often and are near.

        Args:
            holders: The peers that have what is missing.
            times: The limits in force.
            now: Time in seconds on the monotonic clock.
        """
        if now < self.next_at or len(self.in_flight) >= _MAX_AT_ONCE:
            return None
        candidates = [
            holder for holder in holders if holder.id not in self.in_flight
        ]
        if not candidates:
            return None
        chosen = min(
            candidates,
            key=lambda holder: (
                holder.standing,
                self._asks.get(holder.id, 0),
                not holder.is_near,
                self.rng.random(),
            ),
        )
        interval_s = self._interval_s(times)
        self._asks[chosen.id] = self._asks.get(chosen.id, 0) + 1
        self.in_flight.add(chosen.id)
        self.next_at = now + interval_s
        return Ask(chosen.id, _MAX_AT_ONCE * interval_s)

    def record_failure(
        self, peer_id: str, times: propagation.PropagationTimes, now: float
    ) -> None:
        """Records that an ask brought nothing; the next one follows soon."""
        self.in_flight.discard(peer_id)
        soon = now + _FAILED_SHARE * self._interval_s(times)
        self.next_at = min(self.next_at, soon)

    def reset(self) -> None:
        """Forgets all asks: nothing is missing any more."""
        self.in_flight.clear()
        self._asks.clear()
        self.next_at = -math.inf

    def _interval_s(self, times: propagation.PropagationTimes) -> float:
        doublings = sum(self._asks.values()) // _ASKS_PER_INTERVAL
        return times.ask_interval_s * 2.0 ** min(_MAX_DOUBLINGS, doublings)


class MissingVersion:
    """The newest version that peers have and this instance lacks.

    Attributes:
        newest: Returns the newest version that any peer reports; 0 for none.
        own: Returns the version that this instance has.
        clock: Returns the monotonic time, in seconds.
        version: The version that is missing; 0 for none. Later ones are noted
            once this one is there.
    """

    def __init__(
        self,
        newest: Callable[[], int],
        own: Callable[[], int],
        clock: Callable[[], float],
    ) -> None:
        self.newest = newest
        self.own = own
        self.clock = clock
        self.version = 0
        self._since = 0.0

    def since(self) -> float | None:
        """Returns since when a peer has had something that is missing here.

        Returns:
            The time in seconds on the monotonic clock; None if nothing is
            missing, or no peer has it any more.
        """
        own_version = self.own()
        newest_version = self.newest()
        if newest_version <= own_version:
            self.version = 0
            return None
        if self.version <= own_version:
            self.version = newest_version
            self._since = self.clock()
        self.version = min(self.version, newest_version)
        return self._since
