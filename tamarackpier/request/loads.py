"""Requests in flight from this entry instance, by replica.

A replica's load report is out of date when it is used. It is corrected here by
the change in this instance's own requests in flight since the time of the
report.
"""

import collections
import dataclasses

__all__ = ["InFlightRequest", "ReplicaLoads"]

_TOKEN_INTERVAL_WEIGHT = 0.1
_MIN_SLOWNESS = 1.0
_MAX_SLOWNESS = 20.0
_INITIAL_FULL_S = 0.05
_MAX_FULL_DOUBLINGS = 4


@dataclasses.dataclass(frozen=True)
class InFlightRequest:
    """A request that runs on a replica.

    Attributes:
        request_id: ID of the request.
        fingerprint: Fingerprint of the request's content.
        part_fingerprints: Fingerprints of the shared parts of its prompt.
        replica_id: ID of the replica.
        fence: Fencing number of the replica.
    """

    request_id: str
    fingerprint: str
    part_fingerprints: tuple[str, ...]
    replica_id: str
    fence: int


@dataclasses.dataclass
class _ReplicaLoad:
    """Load and pace of one replica.

    Attributes:
        requests: This instance's requests in flight, by request ID.
        count_history: Monotonic time of each change, and the number of requests
            in flight after it; oldest first.
        token_interval_s: Smoothed time between tokens, in seconds; None until
            an answer has been measured.
        full_until: Monotonic time until which the replica is treated as full.
        consecutive_refusals: Number of refusals since the last accepted
            request.
    """

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
    """Load and pace of the replicas, as seen by this entry instance.

    The argument `now` of the methods is the monotonic time, in seconds.

    Attributes:
        replicas: Load by replica ID.
    """

    def __init__(self) -> None:
        self.replicas: dict[str, _ReplicaLoad] = {}

    def begin(self, request: InFlightRequest, now: float) -> None:
        """Adds a request that is about to be sent."""
        load = self.replicas.setdefault(request.replica_id, _ReplicaLoad())
        load.requests[request.request_id] = request
        load.count_history.append((now, len(load.requests)))

    def end(self, request: InFlightRequest, now: float) -> None:
        """Removes a request; does nothing if it is not in flight."""
        load = self.replicas.get(request.replica_id)
        if load is not None and request.request_id in load.requests:
            del load.requests[request.request_id]
            load.count_history.append((now, len(load.requests)))

    def in_flight_change_since(
        self, replica_id: str, reported_at: float
    ) -> int:
        """Returns the change in requests in flight since a report.

        Args:
            replica_id: ID of the replica.
            reported_at: Monotonic time of the report; must not decrease from
                call to call, since older history is dropped.
        """
        load = self.replicas.get(replica_id)
        if load is None:
            return 0
        history = load.count_history
        # The last entry not later than the report holds the number of requests
        # in flight at the time of the report.
        while len(history) >= 2 and history[1][0] <= reported_at:
            history.popleft()
        reported_count = (
            history[0][1] if history and history[0][0] <= reported_at else 0
        )
        return len(load.requests) - reported_count

    def requests(self, replica_id: str) -> list[InFlightRequest]:
        """Returns the requests in flight on a replica."""
        load = self.replicas.get(replica_id)
        return list(load.requests.values()) if load else []

    def record_full(self, replica_id: str, now: float) -> None:
        """Records that a replica refused a request because no slot was free.

        Its reports are out of date, so they don't show when a slot becomes
        free. The replica is treated as full for a period that doubles with
        every consecutive refusal, up to a limit.
        """
        load = self.replicas.setdefault(replica_id, _ReplicaLoad())
        wait_s = _INITIAL_FULL_S * 2 ** min(
            load.consecutive_refusals, _MAX_FULL_DOUBLINGS
        )
        load.full_until = now + wait_s
        load.consecutive_refusals += 1

    def record_accepted(self, replica_id: str) -> None:
        """Records that a replica accepted a request."""
        load = self.replicas.get(replica_id)
        if load is not None:
            load.consecutive_refusals = 0

    def is_full(self, replica_id: str, now: float) -> bool:
        """Returns whether a replica is treated as full after a refusal."""
        load = self.replicas.get(replica_id)
        return load is not None and now < load.full_until

    def record_token_interval(
        self, replica_id: str, token_interval_s: float
    ) -> None:
        """Updates a replica's smoothed token interval.

        Args:
            replica_id: ID of the replica.
            token_interval_s: Mean time between the tokens of a complete
                answer, in seconds.
        """
        load = self.replicas.setdefault(replica_id, _ReplicaLoad())
        if load.token_interval_s is None:
            load.token_interval_s = token_interval_s
        load.token_interval_s += _TOKEN_INTERVAL_WEIGHT * (
            token_interval_s - load.token_interval_s
        )

    def expected_run_s(self, tokens: int) -> float:
        """Returns the expected time of an answer, in seconds.

        It is the time of `tokens` tokens on the median replica; 0 while no
        answer has been measured.
        """
        intervals_s = self._token_intervals_s()
        return (
            tokens * intervals_s[len(intervals_s) // 2] if intervals_s else 0.0
        )

    def slowness(self, replica_id: str) -> float:
        """Returns a replica's token interval relative to the median replica.

        It is 1 while the replica has not been measured.
        """
        intervals_s = self._token_intervals_s()
        load = self.replicas.get(replica_id)
        if not intervals_s or load is None or load.token_interval_s is None:
            return 1.0
        ratio = load.token_interval_s / max(
            intervals_s[len(intervals_s) // 2], 1e-6
        )
        return min(_MAX_SLOWNESS, max(_MIN_SLOWNESS, ratio))

    def _token_intervals_s(self) -> list[float]:
        return sorted(
            load.token_interval_s
            for load in self.replicas.values()
            if load.token_interval_s is not None
        )

    def drop_idle_except(self, replica_ids: set[str]) -> None:
        """Drops idle replicas that are not among `replica_ids`."""
        for replica_id in list(self.replicas):
            is_idle = not self.replicas[replica_id].requests
            if is_idle and replica_id not in replica_ids:
                del self.replicas[replica_id]
