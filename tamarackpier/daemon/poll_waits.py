"""How long an instance's calls to the store may wait or pause.

The answer to a poll may be lost. What it would have said is known only after
the poll has failed, so the waits of a few instances are short enough for the
times in which a change must be in force. Calls are charged, so while the store
is away few instances of each zone ask often whether it is back.
"""

from collections.abc import Callable, Iterable

from tamarackpier import hosted_settings
from tamarackpier.daemon import store_watch
from tamarackpier.peer import roster as roster_lib

__all__ = ["PollWaits"]

_MS_PER_S = 1000
# Time in which an evacuation spreads from one instance to all of a large fleet.
_SPREAD_S = 1.5
# Ratio of the time in which an instance that is first of no zone notices a lost
# poll to that of the others. An unstable store stretches the bound by as much.
_OTHERS_RATIO = 2.0
# Instances of each zone that ask an unavailable store often. The store may turn
# some instances away and serve others.
_ASKING_PER_ZONE = 1
# Longest pause of the others. They learn of a return from their peers, or,
# without peers, early enough in the stable window.
_MAX_BACKOFF_S = 3.0


class PollWaits:
    """Longest waits and pauses of this instance's polls.

    Attributes:
        roster: Known instances.
        bounds: Returns the bounds in force.
        clock: Returns the monotonic time, in seconds.
    """

    def __init__(
        self,
        instances: roster_lib.Roster,
        bounds: Callable[[], hosted_settings.BoundSettings],
        clock: Callable[[], float],
    ) -> None:
        self.roster = instances
        self.bounds = bounds
        self.clock = clock

    def max_wait_s(self) -> float:
        """Returns for how long a poll may wait for a change, in seconds.

        One instance of the fleet waits no longer than a change may take to be
        in force, and notices in the stable window that a poll is lost: an
        outage that no other call meets is noticed by one and told to all.
        """
        if not self._is_first_of(self.roster.live(self.clock())):
            return store_watch.MAX_WAIT_S
        bounds = self.bounds()
        return min(
            bounds.drain_ms / _MS_PER_S,
            bounds.config_apply_ms / _MS_PER_S,
            store_watch.noticing_wait_s(bounds.stable_window_ms / _MS_PER_S),
        )

    def max_operator_wait_s(self) -> float:
        """Returns the same for the operator's table, with evacuations.

        The first instance of each zone waits no longer than a lost poll may go
        unnoticed, since the first of all may be cut off from the store. The
        others depend on peers only while all of those are cut off, so
        that these may take longer; each call of the store is charged for.
        """
        wait_s = self.max_wait_s()
        bound_s = self.bounds().evacuate_ms / _MS_PER_S
        if not bound_s:
            return wait_s
        own_zone = self.roster.own_presence.availability_zone
        if not self._is_first_of(
            peer
            for peer in self.roster.live(self.clock())
            if peer.availability_zone == own_zone
        ):
            bound_s *= _OTHERS_RATIO
        return min(wait_s, store_watch.noticing_wait_s(bound_s - _SPREAD_S))

    def max_backoff_s(self) -> float:
        """Returns the longest pause between calls to an unavailable store.

        Returns:
            The pause in seconds; short for the first instances of each zone,
            which tell the others of the store's return.
        """
        own = self.roster.own_presence
        before = sum(
            peer.availability_zone == own.availability_zone
            and peer.is_ready
            and not peer.is_leaving
            and peer.id < own.id
            for peer in self.roster.live(self.clock())
        )
        if before < _ASKING_PER_ZONE:
            return store_watch.MAX_BACKOFF_S
        stable_window_s = self.bounds().stable_window_ms / _MS_PER_S
        return max(
            store_watch.MAX_BACKOFF_S,
            min(_MAX_BACKOFF_S, store_watch.noticing_wait_s(stable_window_s)),
        )

    def _is_first_of(self, live: Iterable[roster_lib.Presence]) -> bool:
        """Returns whether this instance is first among it and ready peers."""
        own_id = self.roster.own_presence.id
        return own_id <= min(
            (peer.id for peer in live if peer.is_ready), default=own_id
        )
