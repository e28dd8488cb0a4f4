"""Admission control: per-account shares and a bounded queue for replicas.

The sheet reserves capacity for each client account. The capacity is divided
among the entry instances in proportion to the account's demand at each of them,
so no table write is needed. A request within its account's share is guaranteed.
A request above the share borrows capacity that other accounts leave unused: it
waits behind all guaranteed requests and is shed first.
"""

import dataclasses
import heapq
import itertools
from collections.abc import Iterable, Mapping

from returns import result

from tamarackpier import codes
from tamarackpier.peer import membership
from tamarackpier.request import meter
from tamarackpier.sheet import model as sheet_model

__all__ = [
    "AccountCapacity",
    "DemandMeter",
    "AccountShares",
    "Ticket",
    "WaitQueue",
    "account_capacities",
]

_BUCKET_DEPTH_S = 2.0
_DEMAND_TIME_CONSTANT_S = 3.0
_SERVICE_RATE_TIME_CONSTANT_S = 3.0
_MIN_RETRY_AFTER_S = 0.5
_MAX_RETRY_AFTER_S = 30.0
_MIN_SHARE_FACTOR = 0.5
_BORROWED_RANK = 1
_GUARANTEED_RANK = 0


@dataclasses.dataclass(frozen=True)
class AccountCapacity:
    """Capacity that the sheet currently reserves for a client account.

    Attributes:
        tokens_per_s: Reserved tokens per second.
        requests_per_s: Reserved requests per second.
        priority: Priority of the account; lower values run first.
    """

    tokens_per_s: float
    requests_per_s: float
    priority: int


def account_capacities(
    rows: Iterable[sheet_model.SheetRow],
) -> dict[str, AccountCapacity]:
    """Returns the capacity by account, summed over rows of the sheet.

    An account with several rows gets the most urgent of their priorities.

    Args:
        rows: Rows of the active events.
    """
    capacities: dict[str, AccountCapacity] = {}
    for row in rows:
        capacity = capacities.get(
            row.account, AccountCapacity(0, 0, row.priority)
        )
        capacities[row.account] = AccountCapacity(
            capacity.tokens_per_s + row.tokens_per_s,
            capacity.requests_per_s + row.requests_per_s,
            min(capacity.priority, row.priority),
        )
    return capacities


class DemandMeter:
    """Smoothed demand of one account at this instance.

    Attributes:
        tokens: Meter of requested tokens per second.
        requests: Meter of requests per second.
    """

    def __init__(self, now: float) -> None:
        self.tokens = meter.RateMeter(_DEMAND_TIME_CONSTANT_S, now)
        self.requests = meter.RateMeter(_DEMAND_TIME_CONSTANT_S, now)

    def add(self, tokens: float, now: float) -> None:
        """Counts one request of `tokens` tokens."""
        self.tokens.add(tokens, now)
        self.requests.add(1, now)


@dataclasses.dataclass
class _TokenBucket:
    tokens: float
    requests: float
    updated_at: float


class AccountShares:
    """This instance's share of every account's capacity.

    Attributes:
        capacities: Capacity in the sheet, by account.
        meters: Demand at this instance, by account.
        fractions: This instance's fraction of the capacity, 0 to 1, by account.
        instance_count: Number of entry instances that share the capacities.
    """

    def __init__(self) -> None:
        self.capacities: Mapping[str, AccountCapacity] = {}
        self.meters: dict[str, DemandMeter] = {}
        self.fractions: dict[str, float] = {}
        self.instance_count = 1
        self._buckets: dict[str, _TokenBucket] = {}

    def update(
        self,
        capacities: Mapping[str, AccountCapacity],
        peers: Iterable[membership.PeerRecord],
        now: float,
    ) -> None:
        """Updates the capacities and this instance's fractions of them.

        Args:
            capacities: Capacity in the sheet, by account.
            peers: Records of the live peers, with their demand.
            now: Monotonic time in seconds.
        """
        records = list(peers)
        self.capacities = capacities
        self.instance_count = len(records) + 1
        for account in capacities:
            local_demand = self._demand(account, now)
            peer_demand = sum(
                record.demand[account].tokens_per_s
                for record in records
                if account in record.demand
            )
            self.fractions[account] = self._fraction(local_demand, peer_demand)

    def demand(self, now: float) -> dict[str, membership.AccountDemand]:
        """Returns this instance's demand by account, to publish to peers."""
        return {
            account: membership.AccountDemand(
                demand_meter.tokens.rate_at(now),
                demand_meter.requests.rate_at(now),
            )
            for account, demand_meter in self.meters.items()
        }

    def admit(self, account: str, cost: float, now: float) -> "Ticket":
        """Charges a request to its account and returns its ticket.

        A request above the account's share is admitted too, but as a borrower.

        Args:
            account: Client account of the request.
            cost: Tokens that the request may use at most.
            now: Monotonic time in seconds.
        """
        self.meters.setdefault(account, DemandMeter(now)).add(cost, now)
        capacity = self.capacities.get(account)
        if capacity is None:
            return Ticket(account, _BORROWED_RANK, _LOWEST_PRIORITY, cost)
        bucket = self._bucket(account, capacity, now)
        if bucket.tokens >= cost and bucket.requests >= 1:
            bucket.tokens -= cost
            bucket.requests -= 1
            return Ticket(account, _GUARANTEED_RANK, capacity.priority, cost)
        return Ticket(account, _BORROWED_RANK, capacity.priority, cost)

    def refund(self, ticket: "Ticket", used_tokens: float) -> None:
        """Credits the unused part of a guaranteed cost back to the account."""
        bucket = self._buckets.get(ticket.account)
        if bucket is not None and ticket.rank == _GUARANTEED_RANK:
            bucket.tokens += max(0.0, ticket.cost - used_tokens)

    def _demand(self, account: str, now: float) -> float:
        demand_meter = self.meters.get(account)
        return demand_meter.tokens.rate_at(now) if demand_meter else 0.0

    def _fraction(self, local_demand: float, peer_demand: float) -> float:
        """Returns this instance's fraction of one account's capacity, 0 to 1.

        An instance without demand from the account keeps part of an even
        share, so that the account's first requests there need not borrow.
        """
        even_share = 1 / self.instance_count
        if local_demand + peer_demand <= 0:
            return even_share
        min_share = _MIN_SHARE_FACTOR * even_share
        return min_share + (1 - _MIN_SHARE_FACTOR) * local_demand / (
            local_demand + peer_demand
        )

    def _bucket(
        self, account: str, capacity: AccountCapacity, now: float
    ) -> _TokenBucket:
        fraction = self.fractions.get(account, 1 / self.instance_count)
        token_rate = capacity.tokens_per_s * fraction
        request_rate = capacity.requests_per_s * fraction
        max_tokens = token_rate * _BUCKET_DEPTH_S
        max_requests = max(1.0, request_rate * _BUCKET_DEPTH_S)
        bucket = self._buckets.get(account)
        if bucket is None:
            bucket = _TokenBucket(max_tokens, max_requests, now)
            self._buckets[account] = bucket
        elapsed_s = now - bucket.updated_at
        bucket.tokens = min(max_tokens, bucket.tokens + elapsed_s * token_rate)
        bucket.requests = min(
            max_requests, bucket.requests + elapsed_s * request_rate
        )
        bucket.updated_at = now
        return bucket


_LOWEST_PRIORITY = 9


@dataclasses.dataclass(frozen=True)
class Ticket:
    """The rank, priority and cost with which a request was admitted.

    Attributes:
        account: Client account of the request.
        rank: 0 if the request is within the account's share, 1 if it borrows,
            -1 if it has already run and is resumed; lower values run first.
        priority: Priority of the account; lower values run first.
        cost: Tokens charged to the account's share.
    """

    account: str
    rank: int
    priority: int
    cost: float


@dataclasses.dataclass(order=True)
class QueueEntry:
    """A queued request; entries sort in the order in which they should run.

    Attributes:
        rank: Rank of the ticket; lower values run first.
        priority: Priority of the ticket; lower values run first.
        virtual_finish: Virtual finish time of start-time fair queueing.
        deadline: Monotonic time by which the request must start.
        sequence: Arrival number, which breaks ties.
        request_id: ID of the request.
        ticket: Ticket of the request.
    """

    rank: int
    priority: int
    virtual_finish: float
    deadline: float
    sequence: int
    request_id: str = dataclasses.field(compare=False)
    ticket: Ticket = dataclasses.field(compare=False)


class WaitQueue:
    """A bounded priority queue of requests that wait for a replica.

    Entries of equal rank and priority are ordered by start-time fair queueing
    (Goyal, Vin and Cheng, 1996) over the cost of their requests, so an
    account that floods the queue waits behind its own requests.

    Attributes:
        max_length: Maximum number of queued requests.
        entries: Queued requests by request ID.
        service_rates: Requests dequeued per second, by rank. The wait of a
            rank is estimated from its own rate, which already reflects that
            a rank gets only the capacity that better ranks leave unused.
    """

    def __init__(self, max_length: int) -> None:
        self.max_length = max_length
        self.entries: dict[str, QueueEntry] = {}
        self.service_rates: dict[int, meter.RateMeter] = {}
        self._heap: list[QueueEntry] = []
        self._next_sequence = itertools.count()
        self._last_finish: dict[str, float] = {}
        self._virtual_time = 0.0

    def enqueue(
        self,
        request_id: str,
        ticket: Ticket,
        weight: float,
        deadline: float,
        now: float,
    ) -> result.Result[tuple[QueueEntry, ...], codes.Fault]:
        """Adds a request, and evicts the worst entry of a full queue.

        Args:
            request_id: ID of the request.
            ticket: Ticket of the request.
            weight: Weight of the account in fair queueing, in tokens per
                second.
            deadline: Monotonic time by which the request must start.
            now: Monotonic time in seconds.

        Returns:
            The evicted entries, which the caller must refuse, or the fault
            with which this request is refused.
        """
        virtual_start = max(
            self._virtual_time, self._last_finish.get(ticket.account, 0.0)
        )
        virtual_finish = virtual_start + ticket.cost / max(weight, 1.0)
        entry = QueueEntry(
            ticket.rank,
            ticket.priority,
            virtual_finish,
            deadline,
            next(self._next_sequence),
            request_id,
            ticket,
        )
        deadline_fault = self._deadline_fault(entry, deadline, now)
        if deadline_fault is not None:
            return result.Failure(deadline_fault)
        evicted: tuple[QueueEntry, ...] = ()
        if len(self.entries) >= self.max_length:
            worst = max(self.entries.values(), default=None)
            if worst is None or worst < entry:
                return result.Failure(
                    codes.fault(
                        codes.QUEUE_FULL,
                        f"{self.max_length} requests are already queued",
                        retry_after_s=self.retry_after_s(now),
                    )
                )
            self.remove(worst.request_id)
            evicted = (worst,)
        self._last_finish[ticket.account] = virtual_finish
        self.entries[request_id] = entry
        heapq.heappush(self._heap, entry)
        return result.Success(evicted)

    def remove(self, request_id: str) -> None:
        """Removes a request; does nothing if it is not queued."""
        self.entries.pop(request_id, None)

    def peek(self) -> QueueEntry | None:
        """Returns the entry to run next without removing it; None if empty."""
        while (
            self._heap
            and self.entries.get(self._heap[0].request_id)
            is not (self._heap[0])
        ):
            heapq.heappop(self._heap)
        if not self._heap:
            self._last_finish.clear()
            self._virtual_time = 0.0
            return None
        return self._heap[0]

    def dequeue(self, entry: QueueEntry, now: float) -> None:
        """Removes an entry whose request starts to run."""
        self.remove(entry.request_id)
        self._virtual_time = max(self._virtual_time, entry.virtual_finish)
        rank = entry.rank
        if rank not in self.service_rates:
            self.service_rates[rank] = meter.RateMeter(
                _SERVICE_RATE_TIME_CONSTANT_S, now
            )
        self.service_rates[rank].add(1, now)

    def pop_expired(self, now: float) -> list[QueueEntry]:
        """Removes and returns the entries whose deadline has passed."""
        expired_entries = [
            entry for entry in self.entries.values() if entry.deadline <= now
        ]
        for entry in expired_entries:
            self.remove(entry.request_id)
        return expired_entries

    def retry_after_s(self, now: float) -> float:
        """Returns the delay in seconds after which a caller should retry."""
        rate = sum(
            service_rate.rate_at(now)
            for service_rate in self.service_rates.values()
        )
        if rate <= 0:
            return _MIN_RETRY_AFTER_S
        wait_s = len(self.entries) / rate
        return min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, wait_s))

    def _expected_wait_s(self, entry: QueueEntry, now: float) -> float:
        """Returns an entry's wait in seconds at its rank's service rate.

        It is 0 while the rate is unknown.
        """
        ahead = [queued for queued in self.entries.values() if queued < entry]
        service_rate = self.service_rates.get(entry.rank)
        rate = service_rate.rate_at(now) if service_rate else 0.0
        if not ahead or rate <= 0:
            return 0.0
        return sum(1 for queued in ahead if queued.rank == entry.rank) / rate

    def _deadline_fault(
        self, entry: QueueEntry, deadline: float, now: float
    ) -> codes.Fault | None:
        """Returns a fault if an entry is expected to start too late."""
        wait_s = self._expected_wait_s(entry, now)
        if now + wait_s < deadline:
            return None
        remaining_s = deadline - now
        return codes.fault(
            codes.DEADLINE_TOO_NEAR,
            f"expected wait is {wait_s:.1f} s but the deadline is in"
            f" {remaining_s:.1f} s",
            retry_after_s=self.retry_after_s(now),
        )
