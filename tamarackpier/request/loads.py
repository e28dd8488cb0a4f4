"""What this entry instance has in flight, by replica.

A report of a replica's load lags. The correction kept here is the change of
this instance's own requests in flight since the moment of the report.
"""

import collections
import dataclasses

__all__ = ["InFlightRequest", "ReplicaLoads"]

_SLOWNESS_WEIGHT = 0.1
_LEAST_SLOWNESS = 1.0
_MOST_SLOWNESS = 20.0
_FIRST_FULL_S = 0.05
_MOST_DOUBLINGS = 4


@dataclasses.dataclass(frozen=True)
class InFlightRequest:
    """A request that runs on a replica."""

    request_id: str
    fingerprint: str
    replica_id: str
    fence: int


@dataclasses.dataclass
class _ReplicaLoad:
    requests: dict[str, InFlightRequest] = dataclasses.field(
        default_factory=dict
    )
    count_history: collections.deque[tuple[float, int]] = dataclasses.field(
        default_factory=collections.deque
    )
    token_interval_s: float | None = None
    full_until: float = float("-inf")
    consecutive_refusals: int = 0


class ReplicaLoads:
    """The requests in flight from this entry instance."""

    def __init__(self) -> None:
        self.replicas: dict[str, _ReplicaLoad] = {}

    def begin(self, request: InFlightRequest, now: float) -> None:
        """Notes that a request was sent."""
        load = self.replicas.setdefault(request.replica_id, _ReplicaLoad())
        load.requests[request.request_id] = request
        load.count_history.append((now, len(load.requests)))

    def end(self, request: InFlightRequest, now: float) -> None:
        """Notes that a request no longer runs."""
        load = self.replicas.get(request.replica_id)
        if load is not None and request.request_id in load.requests:
            del load.requests[request.request_id]
            load.count_history.append((now, len(load.requests)))

    def sent_since(self, replica_id: str, reported_at: float) -> int:
        """Returns the change of requests in flight since a report."""
        load = self.replicas.get(replica_id)
        if load is None:
            return 0
        history = load.count_history
        # The last entry before the report says what the report could see.
        while len(history) >= 2 and history[1][0] <= reported_at:
            history.popleft()
        before = (
            history[0][1] if history and history[0][0] <= reported_at else 0
        )
        return len(load.requests) - before

    def requests(self, replica_id: str) -> list[InFlightRequest]:
        """Returns the requests in flight on a replica."""
        load = self.replicas.get(replica_id)
        return list(load.requests.values()) if load else []

    def record_full(self, replica_id: str, now: float) -> None:
        """Notes that a replica refused a request for want of a slot.

        Its reports lag, so they are not believed for a while, and for longer
        each time that it refuses again.
        """
        load = self.replicas.setdefault(replica_id, _ReplicaLoad())
        wait_s = _FIRST_FULL_S * 2 ** min(
            load.consecutive_refusals, _MOST_DOUBLINGS
        )
        load.full_until = now + wait_s
        load.consecutive_refusals += 1

    def record_accepted(self, replica_id: str) -> None:
        """Notes that a replica took a request."""
        load = self.replicas.get(replica_id)
        if load is not None:
            load.consecutive_refusals = 0

    def is_full(self, replica_id: str, now: float) -> bool:
        """Returns whether a replica lately refused for want of a slot."""
        load = self.replicas.get(replica_id)
        return load is not None and now < load.full_until

    def record_token_interval(self, replica_id: str, token_s: float) -> None:
        """Takes the time between tokens of one finished answer."""
        load = self.replicas.setdefault(replica_id, _ReplicaLoad())
        if load.token_interval_s is None:
            load.token_interval_s = token_s
        load.token_interval_s += _SLOWNESS_WEIGHT * (
            token_s - load.token_interval_s
        )

    def expected_run_s(self, tokens: int) -> float:
        """Returns how long an answer takes on the median replica.

        It is 0 while no answer has been seen.
        """
        paces = self._paces()
        return tokens * paces[len(paces) // 2] if paces else 0.0

    def slowness(self, replica_id: str) -> float:
        """Returns a replica's pace over that of the median replica."""
        paces = self._paces()
        load = self.replicas.get(replica_id)
        if not paces or load is None or load.token_interval_s is None:
            return 1.0
        ratio = load.token_interval_s / max(paces[len(paces) // 2], 1e-6)
        return min(_MOST_SLOWNESS, max(_LEAST_SLOWNESS, ratio))

    def _paces(self) -> list[float]:
        return sorted(
            load.token_interval_s
            for load in self.replicas.values()
            if load.token_interval_s is not None
        )

    def forget(self, replica_ids: set[str]) -> None:
        """Drops idle replicas that no longer exist."""
        for replica_id in list(self.replicas):
            is_idle = not self.replicas[replica_id].requests
            if is_idle and replica_id not in replica_ids:
                del self.replicas[replica_id]
