"""Hands waiting requests to whole replicas as slots come free."""

import asyncio
import dataclasses
import random
from collections.abc import Callable

from returns import pipeline, result

from tamarackpier import codes, invariants, metrics
from tamarackpier.replica import gate as gate_lib
from tamarackpier.request import admit, model, place, retry
from tamarackpier.request import loads as loads_lib
from tamarackpier.request import quarantine as quarantine_lib

__all__ = ["Dispatcher", "Slot"]

_BORROWED_SLOT_SHARE = 0.9
_RESUMED_RANK = -1
_STARTING_RETRY_S = 2.0
_VERDICT_POLL_S = 0.25


@dataclasses.dataclass(frozen=True)
class Slot:
    """A place on a replica that a request has taken.

    Attributes:
        evidence: The evidence on which the replica serves.
        in_flight: The request, as it counts in the loads.
    """

    evidence: gate_lib.Evidence
    in_flight: loads_lib.InFlightRequest


@dataclasses.dataclass(frozen=True)
class _Waiter:
    call: model.ModelCall
    version: str
    is_isolated: bool
    avoided_replicas: frozenset[str]
    future: "asyncio.Future[result.Result[Slot, codes.Fault]]"


class Dispatcher:
    """The queues of one entry instance, one per model and version.

    Attributes:
        gate: Says which replicas may serve.
        loads: What is in flight.
        shares: The accounts' shares.
        quarantine: Requests that crash upstreams.
        breakers: Circuit breakers by lead.
        policy: Chooses among replicas with room.
        availability_zone: Zone of this entry instance.
        queue_length: Most requests that wait for one model.
    """

    def __init__(
        self,
        gate: gate_lib.Gate,
        loads: loads_lib.ReplicaLoads,
        shares: admit.AccountShares,
        quarantine: quarantine_lib.Quarantine,
        breakers: retry.Breakers,
        policy: place.PlacementPolicy,
        availability_zone: str,
        queue_length: int,
        counts: metrics.Metrics,
        checks: invariants.Invariants,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self.gate = gate
        self.loads = loads
        self.shares = shares
        self.quarantine = quarantine
        self.breakers = breakers
        self.policy = policy
        self.availability_zone = availability_zone
        self.queue_length = queue_length
        self.metrics = counts
        self.invariants = checks
        self.rng = rng
        self.clock = clock
        self.queues: dict[tuple[str, str], admit.WaitQueue] = {}
        self.waiters: dict[str, _Waiter] = {}

    async def acquire(
        self,
        call: model.ModelCall,
        version: str,
        ticket: admit.Ticket,
        avoided_replicas: frozenset[str] = frozenset(),
        is_resumed: bool = False,
    ) -> result.Result[Slot, codes.Fault]:
        """Waits for a slot on a whole replica.

        Args:
            call: The call.
            version: Version of its model.
            ticket: Its place in the order of service.
            avoided_replicas: Replicas not to use if there is another.
            is_resumed: Whether it ran already, and so goes first.
        """
        verdict = await self._settled_verdict(call)
        now = self.clock()
        if verdict is quarantine_lib.Verdict.REFUSE:
            detail = "it was running at several upstream crashes"
            return result.Failure(codes.fault(codes.QUARANTINED, detail))
        waiter = _Waiter(
            call,
            version,
            verdict is quarantine_lib.Verdict.ALONE,
            avoided_replicas,
            asyncio.get_running_loop().create_future(),
        )
        # Most requests find a free slot and never touch the queue.
        queue = self._queue(call.model, version)
        if not queue.entries or is_resumed:
            slot = self._take(waiter, ticket, now)
            if slot is not None:
                return result.Success(slot)
        return await self._wait(queue, waiter, ticket, is_resumed)

    def release(self, slot: Slot) -> None:
        """Gives a slot back."""
        self.loads.end(slot.in_flight, self.clock())
        self.dispatch_waiting()

    def dispatch_waiting(self) -> None:
        """Starts what can start and refuses what is too late."""
        now = self.clock()
        for queue in self.queues.values():
            for entry in queue.pop_expired(now):
                self._refuse(
                    entry.name,
                    self._lateness(entry.name, queue.retry_after_s(now)),
                )
            self._start(queue, now)

    def waiting_count(self) -> int:
        """Returns how many requests wait."""
        return len(self.waiters)

    async def _settled_verdict(
        self, call: model.ModelCall
    ) -> quarantine_lib.Verdict:
        """Returns how a call may run, once that can be told."""
        while True:
            now = self.clock()
            verdict = self.quarantine.verdict(call.fingerprint, now)
            is_settled = verdict is not quarantine_lib.Verdict.WAIT
            if is_settled or now >= call.deadline:
                return verdict
            await asyncio.sleep(_VERDICT_POLL_S)

    def _queue(self, name: str, version: str) -> admit.WaitQueue:
        key = (name, version)
        if key not in self.queues:
            self.queues[key] = admit.WaitQueue(self.queue_length)
        return self.queues[key]

    async def _wait(
        self,
        queue: admit.WaitQueue,
        waiter: _Waiter,
        ticket: admit.Ticket,
        is_resumed: bool,
    ) -> result.Result[Slot, codes.Fault]:
        call = waiter.call
        name = call.request_id
        if is_resumed:
            ticket = dataclasses.replace(ticket, rank=_RESUMED_RANK)
        capacity = self.shares.capacities.get(call.account)
        weight = capacity.tokens_per_s if capacity else 0.0
        # What begins too late to end in time is work for nobody.
        run_s = self.loads.expected_run_s(call.max_tokens)
        entered = queue.enqueue(
            name, ticket, weight, call.deadline - run_s, self.clock()
        )
        if not pipeline.is_successful(entered):
            return result.Failure(entered.failure())
        self.waiters[name] = waiter
        for evicted in entered.unwrap():
            fault = codes.fault(
                codes.QUEUE_FULL,
                "a request with a better claim took the place",
                retry_after_s=queue.retry_after_s(self.clock()),
            )
            self._refuse(evicted.name, fault)
        try:
            return await waiter.future
        finally:
            queue.remove(name)
            self.waiters.pop(name, None)
            self._drop_unclaimed(waiter)

    def _drop_unclaimed(self, waiter: _Waiter) -> None:
        """Frees a slot whose request was cancelled as it was handed over."""
        future = waiter.future
        if not future.done():
            future.cancel()
            return
        task = asyncio.current_task()
        is_cancelled = task is not None and task.cancelling() > 0
        if is_cancelled and not future.cancelled():
            answer = future.result()
            if pipeline.is_successful(answer):
                self.loads.end(answer.unwrap().in_flight, self.clock())

    def _start(self, queue: admit.WaitQueue, now: float) -> None:
        while True:
            entry = queue.peek()
            if entry is None:
                return
            waiter = self.waiters[entry.name]
            if waiter.future.done():
                # Its caller has gone and its task has not run since.
                queue.remove(entry.name)
                continue
            slot = self._take(waiter, entry.ticket, now)
            if slot is None:
                return
            queue.dequeue(entry, now)
            self.metrics.record("queue_wait", now - waiter.call.received_at)
            waiter.future.set_result(result.Success(slot))

    def _refuse(self, name: str, fault: codes.Fault) -> None:
        waiter = self.waiters.get(name)
        if waiter is not None and not waiter.future.done():
            waiter.future.set_result(result.Failure(fault))

    def _lateness(self, name: str, retry_after_s: float) -> codes.Fault:
        waiter = self.waiters.get(name)
        if waiter is not None and not self._serving(waiter):
            return codes.fault(
                codes.NO_REPLICA,
                f"no whole replica of {waiter.call.model} came in time",
                retry_after_s=max(retry_after_s, _STARTING_RETRY_S),
            )
        return codes.fault(
            codes.DEADLINE_TOO_NEAR,
            "the deadline came while the request waited",
            retry_after_s=retry_after_s,
        )

    def _serving(self, waiter: _Waiter) -> list[gate_lib.Evidence]:
        return self.gate.serving(
            waiter.call.model, waiter.version, self.clock()
        )

    def _take(
        self, waiter: _Waiter, ticket: admit.Ticket, now: float
    ) -> Slot | None:
        serving = {
            each.replica_id: each
            for each in self._serving(waiter)
            if self.breakers.allows(each.lead, now)
        }
        candidates = [
            candidate
            for candidate in map(self._candidate, serving.values())
            if self._has_room(candidate, ticket)
            and self._suits(candidate, waiter, now)
            and not self.loads.is_full(candidate.replica_id, now)
        ]
        preferred = [
            each
            for each in candidates
            if each.replica_id not in waiter.avoided_replicas
        ]
        candidates = preferred or candidates
        if not candidates:
            return None
        hints = place.Hints(self.availability_zone, waiter.call.prefix_key)
        chosen = self.policy.choose(candidates, hints, self.rng)
        evidence = serving[chosen.replica_id]
        in_flight = loads_lib.InFlightRequest(
            waiter.call.request_id,
            waiter.call.fingerprint,
            chosen.replica_id,
            evidence.fence,
        )
        self.loads.begin(in_flight, now)
        return Slot(evidence, in_flight)

    def _candidate(self, evidence: gate_lib.Evidence) -> place.Candidate:
        replica_id = evidence.replica_id
        return place.Candidate(
            replica_id,
            evidence.availability_zone,
            evidence.running,
            self.loads.sent_since(replica_id, evidence.at),
            evidence.slots,
            self.loads.slowness(replica_id),
        )

    def _has_room(
        self, candidate: place.Candidate, ticket: admit.Ticket
    ) -> bool:
        if ticket.rank <= 0:
            return candidate.has_room
        usable = max(1.0, candidate.slots * _BORROWED_SLOT_SHARE)
        return (
            candidate.reported_running + candidate.sent_since_report + 1
            <= usable
        )

    def _suits(
        self, candidate: place.Candidate, waiter: _Waiter, now: float
    ) -> bool:
        if not waiter.is_isolated:
            return True
        return not any(
            self.quarantine.verdict(other.fingerprint, now)
            is not quarantine_lib.Verdict.RUN
            for other in self.loads.requests(candidate.replica_id)
        )
