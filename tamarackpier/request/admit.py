"""Shares of client accounts, and the bounded queue in front of replicas.

Each account's capacity in the sheet is divided over entry instances in
proportion to what it asks of each, so no table write is needed. A request
within its account's share is guaranteed; one above it borrows what others
leave, waits behind all guaranteed ones and is the first to be refused.
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

_BUCKET_S = 2.0
_DEMAND_TIME_S = 3.0
_SERVICE_TIME_S = 3.0
_SHORTEST_RETRY_S = 0.5
_LONGEST_RETRY_S = 30.0
_LEAST_SHARE_FACTOR = 0.5
_BORROWED = 1
_GUARANTEED = 0


@dataclasses.dataclass(frozen=True)
class AccountCapacity:
    """What the sheet keeps for an account now.

    Attributes:
        tokens_per_s: Tokens a second.
        requests_per_s: Requests a second.
        priority: Lower runs first.
    """

    tokens_per_s: float
    requests_per_s: float
    priority: int


def account_capacities(
    rows: Iterable[sheet_model.SheetRow],
) -> dict[str, AccountCapacity]:
    """Returns each account's capacity from the rows of running events."""
    found: dict[str, AccountCapacity] = {}
    for row in rows:
        known = found.get(row.account, AccountCapacity(0, 0, row.priority))
        found[row.account] = AccountCapacity(
            known.tokens_per_s + row.tokens_per_s,
            known.requests_per_s + row.requests_per_s,
            min(known.priority, row.priority),
        )
    return found


class DemandMeter:
    """What one account asks of this instance, smoothed over time.

    Attributes:
        tokens: Tokens a second.
        requests: Requests a second.
    """

    def __init__(self, now: float) -> None:
        self.tokens = meter.RateMeter(_DEMAND_TIME_S, now)
        self.requests = meter.RateMeter(_DEMAND_TIME_S, now)

    def add(self, tokens: float, now: float) -> None:
        """Counts one request."""
        self.tokens.add(tokens, now)
        self.requests.add(1, now)


@dataclasses.dataclass
class _Bucket:
    tokens: float
    requests: float
    updated_at: float


class AccountShares:
    """This instance's part of every account's capacity.

    Attributes:
        capacities: What the sheet keeps for each account.
        meters: What each account asks of this instance.
        fractions: This instance's fraction of each account's capacity.
        instance_count: Entry instances that share the capacities.
    """

    def __init__(self) -> None:
        self.capacities: Mapping[str, AccountCapacity] = {}
        self.meters: dict[str, DemandMeter] = {}
        self.fractions: dict[str, float] = {}
        self.instance_count = 1
        self._buckets: dict[str, _Bucket] = {}

    def update(
        self,
        found: Mapping[str, AccountCapacity],
        peers: Iterable[membership.PeerRecord],
        now: float,
    ) -> None:
        """Takes the sheet's capacities and the peers' demand."""
        records = list(peers)
        self.capacities = found
        self.instance_count = len(records) + 1
        for account in found:
            own = self._demand(account, now)
            others = sum(
                record.demand[account].tokens_per_s
                for record in records
                if account in record.demand
            )
            self.fractions[account] = self._fraction(own, others)

    def demand(self, now: float) -> dict[str, membership.AccountDemand]:
        """Returns what each account asks of this instance, to be spread."""
        return {
            account: membership.AccountDemand(
                found.tokens.rate_at(now), found.requests.rate_at(now)
            )
            for account, found in self.meters.items()
        }

    def admit(self, account: str, cost: float, now: float) -> "Ticket":
        """Counts a request and returns its place in the order of service."""
        self.meters.setdefault(account, DemandMeter(now)).add(cost, now)
        capacity = self.capacities.get(account)
        if capacity is None:
            return Ticket(account, _BORROWED, _LOWEST_PRIORITY, cost)
        bucket = self._bucket(account, capacity, now)
        if bucket.tokens >= cost and bucket.requests >= 1:
            bucket.tokens -= cost
            bucket.requests -= 1
            return Ticket(account, _GUARANTEED, capacity.priority, cost)
        return Ticket(account, _BORROWED, capacity.priority, cost)

    def refund(self, ticket: "Ticket", used: float) -> None:
        """Gives back the part of a guaranteed cost that was not used."""
        bucket = self._buckets.get(ticket.account)
        if bucket is not None and ticket.rank == _GUARANTEED:
            bucket.tokens += max(0.0, ticket.cost - used)

    def _demand(self, account: str, now: float) -> float:
        found = self.meters.get(account)
        return found.tokens.rate_at(now) if found else 0.0

    def _fraction(self, own: float, others: float) -> float:
        """Returns this instance's fraction of one account's capacity.

        An instance that the account has not asked yet keeps part of an even
        share, so that its first requests there need not borrow.
        """
        even = 1 / self.instance_count
        if own + others <= 0:
            return even
        least = _LEAST_SHARE_FACTOR * even
        return least + (1 - _LEAST_SHARE_FACTOR) * own / (own + others)

    def _bucket(
        self, account: str, capacity: AccountCapacity, now: float
    ) -> _Bucket:
        fraction = self.fractions.get(account, 1 / self.instance_count)
        token_rate = capacity.tokens_per_s * fraction
        request_rate = capacity.requests_per_s * fraction
        most_tokens = token_rate * _BUCKET_S
        most_requests = max(1.0, request_rate * _BUCKET_S)
        bucket = self._buckets.get(account)
        if bucket is None:
            bucket = _Bucket(most_tokens, most_requests, now)
            self._buckets[account] = bucket
        passed = now - bucket.updated_at
        bucket.tokens = min(most_tokens, bucket.tokens + passed * token_rate)
        bucket.requests = min(
            most_requests, bucket.requests + passed * request_rate
        )
        bucket.updated_at = now
        return bucket


_LOWEST_PRIORITY = 9


@dataclasses.dataclass(frozen=True)
class Ticket:
    """A request's place in the order of service.

    Attributes:
        account: The client account.
        rank: 0 when within the account's share, 1 when borrowing.
        priority: The account's priority; lower runs first.
        cost: Tokens that were counted.
    """

    account: str
    rank: int
    priority: int
    cost: float


@dataclasses.dataclass(order=True)
class QueueEntry:
    """An entry of the queue; entries order by when they should run."""

    rank: int
    priority: int
    virtual_finish: float
    deadline: float
    sequence: int
    name: str = dataclasses.field(compare=False)
    ticket: Ticket = dataclasses.field(compare=False)


class WaitQueue:
    """Requests that wait for a replica, best first and bounded.

    Within a rank and priority, accounts take turns by start-time fair
    queueing (Goyal, Vin and Cheng, 1996) over the cost of their requests, so
    an account that sends much waits behind its own requests.

    Attributes:
        length_limit: Most requests that wait.
        waiting: The requests by name.
        served: Requests that began to run each second, by rank. The rate of
            a rank tells how long its requests wait, since it holds what
            better ranks leave.
    """

    def __init__(self, max_length: int) -> None:
        self.max_length = max_length
        self.entries: dict[str, QueueEntry] = {}
        self.service_rates: dict[int, meter.RateMeter] = {}
        self._heap: list[QueueEntry] = []
        self._order = itertools.count()
        self._finish: dict[str, float] = {}
        self._virtual = 0.0

    def enqueue(
        self,
        name: str,
        ticket: Ticket,
        weight: float,
        deadline: float,
        now: float,
    ) -> result.Result[tuple[QueueEntry, ...], codes.Fault]:
        """Adds a request.

        Returns:
            Requests that must be refused to make room, or why this one is
            refused at once.
        """
        start = max(self._virtual, self._finish.get(ticket.account, 0.0))
        finish = start + ticket.cost / max(weight, 1.0)
        entry = QueueEntry(
            ticket.rank,
            ticket.priority,
            finish,
            deadline,
            next(self._order),
            name,
            ticket,
        )
        late = self._lateness(entry, deadline, now)
        if late is not None:
            return result.Failure(late)
        evicted: tuple[QueueEntry, ...] = ()
        if len(self.entries) >= self.max_length:
            worst = max(self.entries.values(), default=None)
            if worst is None or worst < entry:
                return result.Failure(
                    codes.fault(
                        codes.QUEUE_FULL,
                        f"{self.max_length} requests wait already",
                        retry_after_s=self.retry_after_s(now),
                    )
                )
            self.remove(worst.name)
            evicted = (worst,)
        self._finish[ticket.account] = finish
        self.entries[name] = entry
        heapq.heappush(self._heap, entry)
        return result.Success(evicted)

    def remove(self, name: str) -> None:
        """Removes a request that no longer waits."""
        self.entries.pop(name, None)

    def peek(self) -> QueueEntry | None:
        """Returns the request to run next, without removing it."""
        while (
            self._heap
            and self.entries.get(self._heap[0].name) is not (self._heap[0])
        ):
            heapq.heappop(self._heap)
        if not self._heap:
            self._finish.clear()
            self._virtual = 0.0
            return None
        return self._heap[0]

    def dequeue(self, entry: QueueEntry, now: float) -> None:
        """Removes a request because it begins to run."""
        self.remove(entry.name)
        self._virtual = max(self._virtual, entry.virtual_finish)
        rank = entry.rank
        if rank not in self.service_rates:
            self.service_rates[rank] = meter.RateMeter(_SERVICE_TIME_S, now)
        self.service_rates[rank].add(1, now)

    def pop_expired(self, now: float) -> list[QueueEntry]:
        """Removes and returns the requests whose deadline has come."""
        found = [each for each in self.entries.values() if each.deadline <= now]
        for each in found:
            self.remove(each.name)
        return found

    def retry_after_s(self, now: float) -> float:
        """Returns when a refused caller should come back."""
        rate = sum(each.rate_at(now) for each in self.service_rates.values())
        if rate <= 0:
            return _SHORTEST_RETRY_S
        wait_s = len(self.entries) / rate
        return min(_LONGEST_RETRY_S, max(_SHORTEST_RETRY_S, wait_s))

    def _expected_wait_s(self, entry: QueueEntry, now: float) -> float:
        """Returns how long a request would wait, as things go now."""
        ahead = [each for each in self.entries.values() if each < entry]
        served = self.service_rates.get(entry.rank)
        rate = served.rate_at(now) if served else 0.0
        if not ahead or rate <= 0:
            return 0.0
        return sum(1 for each in ahead if each.rank == entry.rank) / rate

    def _lateness(
        self, entry: QueueEntry, deadline: float, now: float
    ) -> codes.Fault | None:
        wait_s = self._expected_wait_s(entry, now)
        if now + wait_s < deadline:
            return None
        left_s = deadline - now
        return codes.fault(
            codes.DEADLINE_TOO_NEAR,
            f"would wait {wait_s:.1f} s, the deadline is in {left_s:.1f} s",
            retry_after_s=self.retry_after_s(now),
        )
