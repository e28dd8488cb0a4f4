"""What an instance takes for true about the store, before and after outages.

The store may return without any sign of it: a poll that was sent before is
never answered, and rows need not change. So each return that an instance sees
is told to its peers, and a poll that was sent before a return is renewed, as is
one that has waited for longer than it may. Engines whose rows lapsed during the
outage are kept for a while, counted from the return.
"""

from collections.abc import Callable, Sequence

from tamarackpier import logs, metrics
from tamarackpier.daemon import store_contact, store_watch
from tamarackpier.fleet import fleet_view

__all__ = ["StoreOutages"]

# Time between a follower's decision to call the store and its call.
_SAME_CALL_S = 0.02
# Outage from which what the store answered before it is doubted. Engine rows
# lapse after 3.6 s without a write.
_MIN_AWAY_S = 1.0
# Age up to which peers are told of a return. Outlasts all copies of messages.
_TELL_S = 10.0
# Name under which the fleet view records that engine rows cannot be read.
_ROWS_COMPONENT = "engines' rows"


class StoreOutages:
    """Notices outages of the store and their ends.

    Attributes:
        contact: Whether the store answers.
        fleet: View of the engines.
        followers: Followers of the store's tables.
        metrics: Counts outages and renewed polls.
        clock: Returns the monotonic time, in seconds.
        on_returned: Called when a call of this instance showed a return.
    """

    def __init__(
        self,
        contact: store_contact.StoreContact,
        fleet: fleet_view.FleetView,
        counts: metrics.Metrics,
        clock: Callable[[], float],
    ) -> None:
        self.contact = contact
        self.fleet = fleet
        self.followers: Sequence[store_watch.TableFollower] = ()
        self.metrics = counts
        self.clock = clock
        self.on_returned: Callable[[], None] = lambda: None
        fleet.served_since = lambda: contact.served_since(clock())

    def record_failure(self, sent_at: float) -> None:
        """Records a call that the store did not serve, by its send time."""
        if self.contact.record_failure(sent_at):
            self.metrics.count("store_away")

    def record_answer(self, sent_at: float) -> None:
        """Records a call that the store answered, by its send time.

        If that shows a return, older polls are renewed.
        """
        contact = self.contact
        if not contact.record_answer(sent_at, self.clock()):
            return
        logs.event("store answers again", away_s=round(contact.away_s, 3))
        # The call that was answered may be the follower's own.
        self._renew_polls(
            sent_at - _SAME_CALL_S,
            contact.away_s > _MIN_AWAY_S,
            "the store returned",
        )
        self.on_returned()

    def receive_return(
        self, store_return: store_contact.StoreReturn, peer_id: str
    ) -> None:
        """Applies that a peer has seen the store return."""
        if not self.contact.record_return(store_return):
            return
        logs.event(
            "store answers a peer again",
            peer=peer_id,
            age_s=round(self.clock() - store_return.at, 3),
            away_s=round(store_return.away_s, 3),
        )
        if store_return.away_s > _MIN_AWAY_S:
            self.fleet.keep_engines_without_row(store_return.at)
        self._renew_polls(store_return.at, False, "a peer saw a return")

    def return_to_tell(self) -> store_contact.StoreReturn | None:
        """Returns the latest return of the store; None if it is long ago."""
        latest = self.contact.latest_return
        return latest if self.clock() - latest.at < _TELL_S else None

    def service_to_tell(self) -> store_contact.StoreService | None:
        """Returns since when the store has answered; None if not lately."""
        service = self.contact.service
        return service if self.clock() - service.at < _TELL_S else None

    def renew_overdue_polls(self) -> None:
        """Renews polls that wait for longer than this instance may now wait.

        An instance whose polls become the shortest of the fleet has sent the
        ones in flight before.
        """
        now = self.clock()
        for follower in self.followers:
            if follower.is_overdue(now):
                self._renew(follower, False, "overdue")

    def mark_rows_lost(self) -> None:
        """Records that engine rows cannot be read."""
        self.fleet.mark_store_unreachable(_ROWS_COMPONENT)

    def mark_rows_returned(self) -> None:
        """Records that engine rows can be read again."""
        # A poll that was lost in an earlier outage may fail long after it.
        self.fleet.mark_store_reachable(
            _ROWS_COMPONENT, self.clock(), self.contact.returned_at
        )

    def _renew_polls(
        self, sent_before: float, was_away: bool, reason: str
    ) -> None:
        for follower in self.followers:
            polled_at = follower.polled_at
            if polled_at is None and follower.is_lost:
                # It pauses after a failure, possibly for seconds.
                self._renew(follower, False, reason)
            elif polled_at is not None and polled_at < sent_before:
                self._renew(follower, was_away, reason)

    def _renew(
        self,
        follower: store_watch.TableFollower,
        was_away: bool,
        reason: str,
    ) -> None:
        self.metrics.count("poll_renewed", reason)
        logs.event(
            "poll renewed",
            table=follower.table,
            reason=reason,
            waited_s=round(follower.waited_s(), 3),
        )
        follower.renew(was_away)
