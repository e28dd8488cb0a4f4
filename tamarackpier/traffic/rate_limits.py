"""Keeps upstreams within the requests a second that they take.

A limit holds for the sum over all instances. No instance asks another before it
sends: each engine's limit is divided into equal shares, which a hash of the
engine and the instance assigns, so that all instances that know of the same
members agree on who has one. A small limit has few shares, because a share
saves up one request, and many saved ones would come at once.

The limit of a cold engine is divided in the same way. It names the requests
that the engine bears in any one second, so that the shares, which may each send
a saved request, and the rate together stay below that.

A member that has gone silent keeps its shares until it is known to have ended:
it may be cut off from its peers and go on sending.
"""

import dataclasses
import math
from collections.abc import Callable, Iterable, Mapping

from tamarackpier.fleet import model
from tamarackpier.peer import membership

__all__ = ["Limit", "UpstreamLimits"]

# Number of shares of a limit: per request a second, and in addition. Each share
# may save up one request, and the platform tolerates 4 s of a limit, half of
# that again and 5 requests in any 4 s.
_SHARES_PER_RATE = 2.0
_EXTRA_SHARES = 3
# Time for which a large share may save up requests, since they don't come at
# even intervals.
_SAVE_S = 0.25
# Lower bound of a limit. An engine that gets no request can't raise its limit.
_MIN_RATE = 0.2
# Part of the requests that an engine bears in a second that instances send in
# one; the rest is for requests that bunch in transit.
_WINDOW_MARGIN = 0.7
# Least part of them that is rate, when many members want shares.
_LEAST_RATE_PART = 0.5
# Time for which peers are told that a limit has ended.
_SEND_ENDED_S = 10.0
_MAX_SENT = 64
# Greatest difference between two instances' times of one answer: they estimate
# it from its age in a message.
_TIME_TOLERANCE_S = 1.0
# Share of a request from which it counts as saved, for rounding.
_SAVED = 0.999
# Longest wait that is promised to a caller.
_MAX_PROMISE_S = 5.0


@dataclasses.dataclass(frozen=True)
class Limit:
    """The limit that an engine named, or the end of one.

    Attributes:
        engine_id: ID of the engine.
        incarnation: Incarnation of the engine.
        rate: Requests a second from all instances together; None if the engine
            has no limit any more.
        at: Time of the answer that said so, in seconds on the monotonic clock.
        most_per_s: Requests that the engine bears in any one second; None for
            the limits that engines name, which hold over some seconds.
    """

    engine_id: str
    incarnation: int
    rate: float | None
    at: float
    most_per_s: float | None = None


@dataclasses.dataclass
class _Share:
    """What this instance may send to one limited engine.

    Attributes:
        limit: The engine's limit.
        saved: Requests that may be sent now.
        saved_at: Time up to which `saved` was computed, in seconds on the
            monotonic clock.
        own_rate: Requests a second that this instance may send; None until it
            has been computed for the present members.
    """

    limit: Limit
    saved: float
    saved_at: float
    own_rate: float | None = None


class UpstreamLimits:
    """Limits of engines and this instance's shares of them.

    The argument `now` of the methods is the current time, in seconds on the
    monotonic clock.

    Attributes:
        own_id: ID of this instance.
        members: IDs of the instances that may be sending, this one among them.
        shares: The share of this instance, by engine ID.
        cold_shares: The same for engines that are cold.
        cold_limit: Returns the limit of an engine at a time if it is cold,
            else None.
        promised_at: Time for which a refused caller was last told to return,
            by what it asked for.
    """

    def __init__(self, own_id: str = "") -> None:
        self.own_id = own_id
        self.members: tuple[str, ...] = (own_id,)
        self.shares: dict[str, _Share] = {}
        self.cold_shares: dict[str, _Share] = {}
        self.cold_limit: Callable[[model.EngineRecord, float], Limit | None] = (
            lambda engine, now: None
        )
        self.promised_at: dict[str, float] = {}

    def set_members(self, own_id: str, members: Iterable[str]) -> None:
        """Replaces the members among which limits are divided.

        Args:
            own_id: ID of this instance.
            members: IDs of the instances that may be sending.
        """
        new_members = tuple(sorted(members))
        if (own_id, new_members) == (self.own_id, self.members):
            return
        self.own_id, self.members = own_id, new_members
        for share in (*self.shares.values(), *self.cold_shares.values()):
            share.own_rate = None

    def record(self, limit: Limit) -> bool:
        """Records a limit, from an answer or from a peer.

        Returns:
            Whether it is newer than the known one and differs from it.
        """
        share = self.shares.get(limit.engine_id)
        if share is None:
            if limit.rate is None:
                return False
            self.shares[limit.engine_id] = _Share(limit, 0.0, limit.at)
            return True
        known = share.limit
        if limit.incarnation != known.incarnation:
            if limit.incarnation < known.incarnation:
                return False
            self.shares[limit.engine_id] = _Share(limit, 0.0, limit.at)
            return limit.rate != known.rate
        # The time of an unchanged limit is kept: peers send its age, so each
        # exchange would otherwise shift it.
        margin_s = _TIME_TOLERANCE_S if limit.rate == known.rate else 0.0
        if limit.at <= known.at + margin_s:
            return False
        share.limit = limit
        share.own_rate = None
        return limit.rate != known.rate

    def rate(self, engine: model.EngineRecord) -> float | None:
        """Returns the limit of an engine; None if it has none."""
        share = self.shares.get(engine.id)
        if share is None or share.limit.incarnation != engine.incarnation:
            return None
        return share.limit.rate

    def wait_s(self, engine: model.EngineRecord, now: float) -> float:
        """Returns after how many seconds a request may be sent to an engine.

        Returns 0 if one may be sent now. Without a share, returns the time in
        which the shares of the others admit one. All limits of the engine hold.
        """
        self._update_cold_share(engine, now)
        return max(
            (self._share_wait_s(one, now) for one in self._shares_of(engine)),
            default=0.0,
        )

    def take(self, engine: model.EngineRecord) -> None:
        """Counts a request that is sent to an engine, as `wait_s` admitted."""
        for share in self._shares_of(engine):
            share.saved -= 1.0

    def describe(self, engine: model.EngineRecord) -> str:
        """Returns the engine's ID and the limits on the requests to it."""
        limits = [share.limit for share in self._shares_of(engine)]
        rates = [
            f"{limit.rate}"
            if limit.most_per_s is None
            else f"{limit.rate} cold"
            for limit in limits
        ]
        return f"{engine.id} {' and '.join(rates)}"

    def promise_s(
        self, asked: str, engines: Iterable[model.EngineRecord], now: float
    ) -> float:
        """Returns after how many seconds a refused caller should return.

        Callers that are refused together are told different times, as far apart
        as this instance may send their requests.

        Args:
            asked: What the caller asked for, for example a model.
            engines: The limited engines that could take the request.
            now: Current time.
        """
        waits = []
        total_rate = 0.0
        for engine in engines:
            waits.append(self.wait_s(engine, now))
            total_rate += min(
                (self._own_rate(one) for one in self._shares_of(engine)),
                default=0.0,
            )
        interval_s = 1.0 / max(total_rate, _MIN_RATE)
        promised_at = max(
            now + min(waits, default=0.0),
            self.promised_at.get(asked, now) + interval_s,
        )
        promised_at = min(promised_at, now + _MAX_PROMISE_S)
        self.promised_at[asked] = promised_at
        return promised_at - now

    def to_send(self, now: float) -> list[Limit]:
        """Returns the limits that a message to a peer carries, newest first."""
        limits = [
            share.limit
            for share in self.shares.values()
            if share.limit.rate is not None
            or now - share.limit.at < _SEND_ENDED_S
        ]
        limits.sort(key=lambda limit: limit.at, reverse=True)
        return limits[:_MAX_SENT]

    def keep_only(
        self, engines: Mapping[str, model.EngineRecord], now: float
    ) -> None:
        """Forgets limits that have ended and those of engines that are gone."""
        for engine_id, share in list(self.shares.items()):
            has_ended = (
                share.limit.rate is None
                and now - share.limit.at >= _SEND_ENDED_S
            )
            if has_ended or engine_id not in engines:
                del self.shares[engine_id]
        for engine_id in self.cold_shares.keys() - engines.keys():
            del self.cold_shares[engine_id]
        for asked, promised_at in list(self.promised_at.items()):
            if promised_at <= now:
                del self.promised_at[asked]

    def _shares_of(self, engine: model.EngineRecord) -> list[_Share]:
        """Returns the shares of the limits that an engine has now."""
        shares = []
        if self.rate(engine) is not None:
            shares.append(self.shares[engine.id])
        cold = self.cold_shares.get(engine.id)
        if cold is not None and cold.limit.incarnation == engine.incarnation:
            shares.append(cold)
        return shares

    def _update_cold_share(
        self, engine: model.EngineRecord, now: float
    ) -> None:
        """Begins or ends the share of an engine that is or was cold."""
        limit = self.cold_limit(engine, now)
        share = self.cold_shares.get(engine.id)
        if limit is None:
            if share is not None:
                del self.cold_shares[engine.id]
            return
        if share is not None and share.limit.incarnation == limit.incarnation:
            bounds = (limit.rate, limit.most_per_s)
            if bounds != (share.limit.rate, share.limit.most_per_s):
                share.limit, share.own_rate = limit, None
            return
        self.cold_shares[engine.id] = _Share(limit, 0.0, now)

    def _share_wait_s(self, share: _Share, now: float) -> float:
        """Returns after how many seconds a share admits a request."""
        limit = share.limit
        own_rate = self._own_rate(share)
        if not own_rate:
            return 1.0 / max(limit.rate or 0.0, _MIN_RATE)
        save_s = _SAVE_S if limit.most_per_s is None else 0.0
        elapsed_s = max(0.0, now - share.saved_at)
        share.saved = min(
            max(1.0, save_s * own_rate), share.saved + elapsed_s * own_rate
        )
        share.saved_at = now
        if share.saved >= _SAVED:
            return 0.0
        return (1.0 - share.saved) / own_rate

    def _own_rate(self, share: _Share) -> float:
        """Returns this instance's share of a limit, in requests a second."""
        if share.own_rate is None:
            rate, share_count = _division(share.limit, len(self.members))
            ranked = membership.rendezvous(share.limit.engine_id, self.members)
            holders = ranked[:share_count]
            share.own_rate = (
                rate / share_count if self.own_id in holders else 0.0
            )
        return share.own_rate


def _division(limit: Limit, member_count: int) -> tuple[float, int]:
    """Returns the rate that instances share, and the number of shares.

    In any second, the holders of a limit with `most_per_s` send at most the
    rate and one saved request for each share.
    """
    rate = max(limit.rate or 0.0, _MIN_RATE)
    if limit.most_per_s is None:
        share_count = math.floor(rate * _SHARES_PER_RATE) + _EXTRA_SHARES
        return rate, min(member_count, share_count)
    sent = max(1.0 + _MIN_RATE, _WINDOW_MARGIN * limit.most_per_s)
    rate = min(rate, max(_LEAST_RATE_PART * sent, sent - member_count))
    share_count = max(1, math.floor(sent - rate))
    return rate, min(member_count, share_count)
