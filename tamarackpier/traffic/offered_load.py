"""Load that callers offer to each model, whether it is served or refused.

Each instance counts the requests that reach its admission, in counts that decay
over some seconds, and sends the rates to its peers.

A refused caller may come back once, to any instance, with a new request ID. No
instance can tell such a request from a first one without state shared by all,
so `Offered.demand_rate` discounts returns from the ratio of the two rates.
"""

import dataclasses
import math
from collections.abc import Mapping

from tamarackpier import codes
from tamarackpier.routing import model as routing_model
from tamarackpier.traffic import run as run_lib

__all__ = ["Key", "Offered", "OfferedLoads"]

# Time constant of the decay. Shares move within 10 s; at 35 requests a second
# over all instances, 4 s of them give a standard error of 8 in 100.
_TIME_CONSTANT_S = 4.0
# Shortest time over which a rate is measured after the first request. A shorter
# one makes two requests at once look like a high rate.
_MIN_MEASURED_S = 1.0
# Rate below which a model is forgotten: less than a message can state.
_MIN_RATE = 0.5 / 60
# Age at which the last report of a peer is stale: six report periods.
_PEER_EXPIRY_S = 1.5

# Ends of requests that their model's upstreams had no room for, or that took
# longer than their callers wait.
_UNSERVED_CODES = (
    codes.DEADLINE_TOO_NEAR,
    codes.NO_REPLICA,
    codes.UPSTREAMS_FULL,
    codes.UPSTREAMS_LIMITED,
    codes.UPSTREAMS_WAITING,
    codes.OUTCOME_UNKNOWN,
    codes.UPSTREAM_REFUSED,
)

# Name of a service and of a model.
Key = tuple[str, str]


@dataclasses.dataclass(frozen=True)
class Offered:
    """Load that callers offer to a model.

    Attributes:
        rate: Requests a second that arrive, returns after refusals included.
        unserved_rate: Those that are refused for lack of room or whose callers
            give up, in requests a second.
        prompt_tokens: Mean number of prompt tokens.
    """

    rate: float = 0.0
    unserved_rate: float = 0.0
    prompt_tokens: float = 0.0

    @property
    def demand_rate(self) -> float:
        """Requests a second without the returns of refused callers.

        If a share `f` of the arrivals is refused and each first refusal brings
        one return, then `rate` is `demand_rate` times `1 + f`.
        """
        if self.rate <= 0:
            return 0.0
        return self.rate / (1 + min(1.0, self.unserved_rate / self.rate))

    def plus(self, other: "Offered") -> "Offered":
        """Returns the sum of this load and the other."""
        rate = self.rate + other.rate
        tokens = 0.0
        if rate > 0:
            tokens = (
                self.rate * self.prompt_tokens
                + other.rate * other.prompt_tokens
            ) / rate
        return Offered(rate, self.unserved_rate + other.unserved_rate, tokens)


@dataclasses.dataclass
class _Counts:
    """Decaying counts of a model's requests.

    Attributes:
        requests: Number of requests.
        unserved: Number of those that were not served.
        prompt_tokens: Sum of their prompt tokens.
        updated_at: Time up to which the counts have decayed, in seconds on the
            monotonic clock.
    """

    requests: float
    unserved: float
    prompt_tokens: float
    updated_at: float

    def decay(self, now: float) -> None:
        """Lets the counts decay until a time."""
        factor = math.exp(-max(0.0, now - self.updated_at) / _TIME_CONSTANT_S)
        self.requests *= factor
        self.unserved *= factor
        self.prompt_tokens *= factor
        self.updated_at = max(now, self.updated_at)


class OfferedLoads:
    """Offered load by model, of this instance and of its peers.

    Attributes:
        peers: By peer ID, the time of its last report, in seconds on the
            monotonic clock, and the loads in the report.
    """

    def __init__(self) -> None:
        self.peers: dict[str, tuple[float, Mapping[Key, Offered]]] = {}
        self._counts: dict[Key, _Counts] = {}
        self._first_at: float | None = None
        self._latest_at = 0.0

    def record(
        self,
        service: str,
        model: str,
        prompt_tokens: int,
        is_served: bool,
        now: float,
    ) -> None:
        """Counts a request that was admitted or refused for lack of room.

        Args:
            service: Name of the service.
            model: Name of the model; only configured ones, since each is kept.
            prompt_tokens: Number of prompt tokens.
            is_served: Whether it was admitted.
            now: Current time, in seconds on the monotonic clock.
        """
        counts = self._decayed((service, model), now)
        counts.requests += 1
        counts.unserved += not is_served
        counts.prompt_tokens += prompt_tokens

    def record_unserved(self, service: str, model: str, now: float) -> None:
        """Counts an admitted request as unserved after all."""
        self._decayed((service, model), now).unserved += 1

    def record_run(
        self,
        run: run_lib.Run | None,
        spec: routing_model.EngineSpec | None,
        fault: codes.Fault | None,
        now: float,
    ) -> None:
        """Counts a request when it is admitted or ends in a fault.

        Args:
            run: State of the request; None if it was not matched to a route.
            spec: Specification of its service's engines; None for a plain
                service, whose requests are not counted.
            fault: The fault that ends it; None if it is admitted now.
            now: Current time, in seconds on the monotonic clock.
        """
        if run is None or spec is None or not spec.model(run.request.model):
            return
        if fault is not None and fault.code not in _UNSERVED_CODES:
            return
        if not run.tried:
            self.record(
                run.service,
                run.request.model,
                run.request.prompt_tokens,
                fault is None,
                now,
            )
        elif fault is not None:
            self.record_unserved(run.service, run.request.model, now)

    def own(self, now: float) -> dict[Key, Offered]:
        """Returns the load that callers offer to this instance.

        Args:
            now: Current time, in seconds on the monotonic clock.
        """
        if self._first_at is None:
            return {}
        self._latest_at = max(now, self._latest_at)
        measured_s = max(_MIN_MEASURED_S, now - self._first_at)
        weight_s = _TIME_CONSTANT_S * -math.expm1(
            -measured_s / _TIME_CONSTANT_S
        )
        loads = {}
        for key, counts in list(self._counts.items()):
            counts.decay(now)
            rate = counts.requests / weight_s
            if rate < _MIN_RATE:
                del self._counts[key]
                continue
            loads[key] = Offered(
                rate,
                min(rate, counts.unserved / weight_s),
                counts.prompt_tokens / counts.requests,
            )
        return loads

    def totals(self) -> dict[Key, Offered]:
        """Returns the offered load by model, over all instances.

        Own loads are as of the last call with a time.
        """
        totals = self.own(self._latest_at)
        for _, loads in self.peers.values():
            for key, offered in loads.items():
                totals[key] = totals.get(key, Offered()).plus(offered)
        return totals

    def update_peer(
        self, peer_id: str, loads: Mapping[Key, Offered], now: float
    ) -> None:
        """Replaces the loads of a peer by those of its new report.

        Args:
            peer_id: ID of the peer.
            loads: Loads in the report, by service and model.
            now: Time of the report, in seconds on the monotonic clock.
        """
        self.peers[peer_id] = (now, loads)

    def expire(self, now: float) -> None:
        """Forgets peers whose last report is stale."""
        self._latest_at = max(now, self._latest_at)
        self.peers = {
            peer_id: report
            for peer_id, report in self.peers.items()
            if now - report[0] < _PEER_EXPIRY_S
        }

    def _decayed(self, key: Key, now: float) -> _Counts:
        """Returns the counts of a model, decayed to a time."""
        if self._first_at is None:
            self._first_at = now
        self._latest_at = max(now, self._latest_at)
        counts = self._counts.setdefault(key, _Counts(0.0, 0.0, 0.0, now))
        counts.decay(now)
        return counts
