"""Time limits of the steps by which a change reaches every instance.

A change is acknowledged by the store and read by a few instances, status
messages announce its version, and an instance that has not got it in the usual
way pulls it from peers. The limits of these steps are shares of the time in
which the change must be in force, so that their sum stays below it:

    announced, then delivered or late, then pulled from up to four peers

The share for announcements is several rounds of messages, so that a few of them
may be lost. That for pulls bears three peers that do not answer.
"""

import dataclasses
import functools

__all__ = ["PropagationTimes", "create"]

_ANNOUNCE_SHARE = 0.5
_DELIVERY_SHARE = 0.15
_PULL_SHARE = 0.3
# Number of peers that are asked, one after the other, in the share for pulls.
_ASKED_PEERS = 4
_PARENT_LAG_SHARE = 0.4
# Callers gain nothing by a longer wait where the bound is long.
_MAX_DELIVERY_S = 0.6
_MAX_ASK_INTERVAL_S = 0.3
_MAX_PARENT_LAG_S = 0.8


@dataclasses.dataclass(frozen=True)
class PropagationTimes:
    """Time limits in seconds.

    Attributes:
        bound_s: Time in which a change must be in force.
        announce_s: Time in which all instances hear of a version.
        delivery_s: Time in which a change that was heard of is usually
            delivered. After it, a poll of the store is taken for lost, and
            peers are asked.
        ask_interval_s: Time without an answer after which one more peer is
            asked.
        parent_lag_s: Time for which a change may be missing at an instance that
            follows a peer, until it reads the store instead.
    """

    bound_s: float
    announce_s: float
    delivery_s: float
    ask_interval_s: float
    parent_lag_s: float

    @property
    def longest_s(self) -> float:
        """Longest time for a change if all peers but the last asked fail."""
        return (
            self.announce_s
            + self.delivery_s
            + _ASKED_PEERS * self.ask_interval_s
        )


@functools.lru_cache(maxsize=16)
def create(bound_s: float) -> PropagationTimes:
    """Returns the limits for a bound.

    Args:
        bound_s: Time in which a change must be in force, in seconds.
    """
    return PropagationTimes(
        bound_s,
        _ANNOUNCE_SHARE * bound_s,
        min(_MAX_DELIVERY_S, _DELIVERY_SHARE * bound_s),
        min(_MAX_ASK_INTERVAL_S, _PULL_SHARE * bound_s / _ASKED_PEERS),
        min(_MAX_PARENT_LAG_S, _PARENT_LAG_SHARE * bound_s),
    )
