"""Assigns queued requests to whole replicas as slots become free.

A replica is whole while all its members are verified by current evidence;
see `tamarackpier.replica.gate`.
"""

import asyncio
import dataclasses
import random
from collections.abc import Callable

from returns import pipeline, result

from tamarackpier import codes, invariants, metrics
from tamarackpier import quarantine as quarantine_lib
from tamarackpier.replica import gate as gate_lib
from tamarackpier.request import admit, model, place, retry
from tamarackpier.request import loads as loads_lib

__all__ = ["Dispatcher", "Slot"]

# Fraction of a replica's slots that may be in use once a borrowing request has
# started; the other slots are kept for guaranteed requests.
_BORROWED_SLOT_FRACTION = 0.9
_RESUMED_RANK = -1
_NO_REPLICA_RETRY_S = 2.0
_VERDICT_POLL_S = 0.25


@dataclasses.dataclass(frozen=True)
class Slot:
    """A request slot that is reserved on a replica.

    Attributes:
        evidence: Evidence under which the replica serves.
        in_flight: The request as counted in the replica's load.
    """

    evidence: gate_lib.Evidence
    in_flight: loads_lib.InFlightRequest


@dataclasses.dataclass(frozen=True)
class _Waiter:
    """A request that waits for a slot.

    Attributes:
        call: The model call.
        version: Version of the model.
        is_isolated: Whether it may run only on a replica that runs no other
            suspect of a crash.
        avoided_replicas: IDs of replicas to use only if no other has room.
        future: Receives the reserved slot, or the fault with which the request
            is refused.
        excluded_replicas: IDs of replicas not to use.
    """

    call: model.ModelCall
    version: str
    is_isolated: bool
    avoided_replicas: frozenset[str]
    future: "asyncio.Future[result.Result[Slot, codes.Fault]]"
    excluded_replicas: frozenset[str] = frozenset()


class Dispatcher:
    """Queues and slot assignment of one entry instance.

    Attributes:
        gate: Serving gate, which knows the replicas that may serve.
        loads: Requests in flight from this instance, by replica.
        shares: This instance's shares of the accounts' capacity.
        quarantine: Requests that are suspected of crashing upstreams.
        breakers: Circuit breakers by lead instance.
        policy: Placement policy that chooses among replicas with a free slot.
        availability_zone: Availability zone of this entry instance.
        queue_length: Maximum number of queued requests per model and version.
        queues: Queues by model and version.
        waiters: Queued requests by request ID.
        metrics: Counters and timings.
        invariants: Checks of conditions that must always hold.
        rng: Source of randomness for the placement policy.
        clock: Returns the time, in seconds on the monotonic clock.
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
            call: The model call.
            version: Version of the model.
            ticket: Rank and priority of the call.
            avoided_replicas: IDs of replicas to use only if no other has room.
            is_resumed: Whether the call has already run and so goes ahead of
                queued calls.

        Returns:
            The reserved slot, or the fault with which the call is refused.
        """
        verdict = await self._wait_for_verdict(call)
        now = self.clock()
        if verdict is quarantine_lib.Verdict.REFUSE:
            detail = "the request was running during several upstream crashes"
            return result.Failure(codes.fault(codes.QUARANTINED, detail))
        waiter = _Waiter(
            call,
            version,
            verdict is quarantine_lib.Verdict.ALONE,
            avoided_replicas,
            asyncio.get_running_loop().create_future(),
        )
        # Fast path: most requests get a free slot without queueing.
        queue = self._queue(call.model, version)
        if not queue.entries or is_resumed:
            slot = self._reserve_slot(waiter, ticket, now)
            if slot is not None:
                return result.Success(slot)
        return await self._wait(queue, waiter, ticket, is_resumed)

    def reserve(
        self,
        call: model.ModelCall,
        version: str,
        ticket: admit.Ticket,
        avoided_replicas: frozenset[str],
        excluded_replicas: frozenset[str],
    ) -> Slot | None:
        """Reserves a slot for a call that runs, ahead of queued calls.

        Args:
            call: The model call.
            version: Version of the model.
            ticket: Rank and priority of the call.
            avoided_replicas: IDs of replicas to use only if no other has room.
            excluded_replicas: IDs of replicas not to use.

        Returns:
            The slot; None if none is free now or the call may not be sent.
        """
        now = self.clock()
        verdict = self.quarantine.verdict(
            call.fingerprint, now, call.part_fingerprints
        )
        if verdict not in (
            quarantine_lib.Verdict.RUN,
            quarantine_lib.Verdict.ALONE,
        ):
            return None
        waiter = _Waiter(
            call,
            version,
            verdict is quarantine_lib.Verdict.ALONE,
            avoided_replicas,
            asyncio.get_running_loop().create_future(),
            excluded_replicas,
        )
        return self._reserve_slot(waiter, ticket, now)

    def release(self, slot: Slot) -> None:
        """Releases a slot and dispatches queued requests."""
        self.loads.end(slot.in_flight, self.clock())
        self.dispatch_waiting()

    def dispatch_waiting(self) -> None:
        """Dispatches queued requests and refuses expired ones."""
        now = self.clock()
        for queue in self.queues.values():
            for entry in queue.pop_expired(now):
                self._refuse(
                    entry.request_id,
                    self._timeout_fault(
                        entry.request_id, queue.retry_after_s(now)
                    ),
                )
            self._dispatch_queue(queue, now)

    def waiting_count(self) -> int:
        """Returns the number of queued requests."""
        return len(self.waiters)

    async def _wait_for_verdict(
        self, call: model.ModelCall
    ) -> quarantine_lib.Verdict:
        """Returns the quarantine verdict once it is not WAIT.

        WAIT is returned only if the call's deadline passes first.
        """
        while True:
            now = self.clock()
            verdict = self.quarantine.verdict(
                call.fingerprint, now, call.part_fingerprints
            )
            is_final = verdict is not quarantine_lib.Verdict.WAIT
            if is_final or now >= call.deadline:
                return verdict
            await asyncio.sleep(_VERDICT_POLL_S)

    def _queue(self, model_name: str, version: str) -> admit.WaitQueue:
        key = (model_name, version)
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
        request_id = call.request_id
        if is_resumed:
            ticket = dataclasses.replace(ticket, rank=_RESUMED_RANK)
        capacity = self.shares.capacities.get(call.account)
        weight = capacity.tokens_per_s if capacity else 0.0
        # The queue's deadline is the latest start: a call that starts too late
        # to finish by its own deadline is wasted work.
        run_s = self.loads.expected_run_s(call.max_tokens)
        enqueue_result = queue.enqueue(
            request_id, ticket, weight, call.deadline - run_s, self.clock()
        )
        if not pipeline.is_successful(enqueue_result):
            return result.Failure(enqueue_result.failure())
        self.waiters[request_id] = waiter
        for evicted in enqueue_result.unwrap():
            fault = codes.fault(
                codes.QUEUE_FULL,
                "evicted from the full queue by a request that runs earlier",
                retry_after_s=queue.retry_after_s(self.clock()),
            )
            self._refuse(evicted.request_id, fault)
        try:
            return await waiter.future
        finally:
            queue.remove(request_id)
            self.waiters.pop(request_id, None)
            self._release_unclaimed(waiter)

    def _release_unclaimed(self, waiter: _Waiter) -> None:
        """Releases a slot that a request was given while it was cancelled."""
        future = waiter.future
        if not future.done():
            future.cancel()
            return
        task = asyncio.current_task()
        is_cancelled = task is not None and task.cancelling() > 0
        if is_cancelled and not future.cancelled():
            slot_result = future.result()
            if pipeline.is_successful(slot_result):
                self.loads.end(slot_result.unwrap().in_flight, self.clock())

    def _dispatch_queue(self, queue: admit.WaitQueue, now: float) -> None:
        while True:
            entry = queue.peek()
            if entry is None:
                return
            waiter = self.waiters[entry.request_id]
            if waiter.future.done():
                # The caller disconnected; its task has not yet run to clean up.
                queue.remove(entry.request_id)
                continue
            slot = self._reserve_slot(waiter, entry.ticket, now)
            if slot is None:
                return
            queue.dequeue(entry, now)
            self.metrics.record("queue_wait", now - waiter.call.received_at)
            waiter.future.set_result(result.Success(slot))

    def _refuse(self, request_id: str, fault: codes.Fault) -> None:
        waiter = self.waiters.get(request_id)
        if waiter is not None and not waiter.future.done():
            waiter.future.set_result(result.Failure(fault))

    def _timeout_fault(
        self, request_id: str, retry_after_s: float
    ) -> codes.Fault:
        """Returns the fault of a request whose queue entry has expired."""
        waiter = self.waiters.get(request_id)
        if waiter is not None and not self._serving_evidence(waiter):
            return codes.fault(
                codes.NO_REPLICA,
                f"no replica of {waiter.call.model} was ready before the"
                " deadline",
                retry_after_s=max(retry_after_s, _NO_REPLICA_RETRY_S),
            )
        return codes.fault(
            codes.DEADLINE_TOO_NEAR,
            "the deadline passed while the request was queued",
            retry_after_s=retry_after_s,
        )

    def _serving_evidence(self, waiter: _Waiter) -> list[gate_lib.Evidence]:
        return self.gate.serving(
            waiter.call.model, waiter.version, self.clock()
        )

    def _reserve_slot(
        self, waiter: _Waiter, ticket: admit.Ticket, now: float
    ) -> Slot | None:
        """Reserves a slot on a replica; returns None if none has room."""
        serving = {
            evidence.replica_id: evidence
            for evidence in self._serving_evidence(waiter)
            if self.breakers.allows(evidence.lead, now)
            and evidence.replica_id not in waiter.excluded_replicas
        }
        candidates = [
            candidate
            for candidate in map(self._candidate, serving.values())
            if self._has_room(candidate, ticket)
            and self._meets_isolation(candidate, waiter, now)
            and not self.loads.is_full(candidate.replica_id, now)
        ]
        preferred = [
            candidate
            for candidate in candidates
            if candidate.replica_id not in waiter.avoided_replicas
        ]
        candidates = preferred or candidates
        if not candidates:
            return None
        hints = place.Hints(self.availability_zone, waiter.call.prefix_key)
        replica = self.policy.choose(candidates, hints, self.rng)
        evidence = serving[replica.replica_id]
        in_flight = loads_lib.InFlightRequest(
            waiter.call.request_id,
            waiter.call.fingerprint,
            waiter.call.part_fingerprints,
            replica.replica_id,
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
            self.loads.in_flight_change_since(replica_id, evidence.at),
            evidence.slots,
            self.loads.slowness(replica_id),
        )

    def _has_room(
        self, candidate: place.Candidate, ticket: admit.Ticket
    ) -> bool:
        """Returns whether a replica has a free slot that a ticket may use."""
        if ticket.rank <= 0:
            return candidate.has_room
        usable_slots = max(1.0, candidate.slots * _BORROWED_SLOT_FRACTION)
        return (
            candidate.reported_running + candidate.in_flight_change + 1
            <= usable_slots
        )

    def _meets_isolation(
        self, candidate: place.Candidate, waiter: _Waiter, now: float
    ) -> bool:
        """Returns whether a replica's other requests let a waiter run there."""
        if not waiter.is_isolated:
            return True
        return not any(
            self.quarantine.verdict(
                in_flight.fingerprint, now, in_flight.part_fingerprints
            )
            is not quarantine_lib.Verdict.RUN
            for in_flight in self.loads.requests(candidate.replica_id)
        )
