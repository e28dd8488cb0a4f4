"""Runs a model call on replicas until its answer is whole or has failed.

An answer that breaks off is resumed after the last piece delivered: on the
same replica over a new connection while that replica is whole, else on
another one. A call has one further try of its own, since losing a replica
breaks all its streams at once; each later try costs a retry from the budget
that all calls share. What can't be completed ends in a fault, never as a
clean end.
"""

import asyncio
import dataclasses
import random
from collections.abc import Callable

from returns import pipeline, result

from tamarackpier import codes, invariants, logs, metrics, tasks
from tamarackpier.request import admit, dispatch, model, retry, stream
from tamarackpier.request import quarantine as quarantine_lib
from tamarackpier.upstream import engine

__all__ = ["ModelRun", "Relay", "RunFailedError"]

_MOST_ATTEMPTS = 6
_FREE_ATTEMPTS = 2
_CONFIRM_TRIES = 20
_CONFIRM_PERIOD_S = 0.1


class RunFailedError(Exception):
    """A call ended without a whole answer.

    Attributes:
        fault: Why.
    """

    def __init__(self, fault: codes.Fault) -> None:
        super().__init__(str(fault))
        self.fault = fault


@dataclasses.dataclass(frozen=True)
class SuspectedCrash:
    """A stream that broke: its replica may have died with it."""

    fingerprint: str
    replica_id: str
    fence: int
    at: float


class Relay:
    """What all model calls of an entry instance share.

    Attributes:
        runs: The calls under way by request.
        suspicions: Broken streams whose replica's death is not settled.
        progress_timeout_s: Longest silence of a stream.
    """

    def __init__(
        self,
        dispatcher: dispatch.Dispatcher,
        engines: engine.EngineClient,
        budget: retry.RetryBudget,
        backoff: retry.Backoff,
        progress_timeout_s: float,
        counts: metrics.Metrics,
        checks: invariants.Invariants,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self.dispatcher = dispatcher
        self.engines = engines
        self.budget = budget
        self.backoff = backoff
        self.progress_timeout_s = progress_timeout_s
        self.metrics = counts
        self.invariants = checks
        self.rng = rng
        self.clock = clock
        self.runs: dict[str, ModelRun] = {}
        self.suspected_crashes: list[SuspectedCrash] = []

    async def start(
        self, call: model.ModelCall, version: str
    ) -> result.Result["ModelRun", codes.Fault]:
        """Runs a call up to its first piece.

        Until then every failure can still be told by a status of its own.
        """
        ticket = self.dispatcher.shares.admit(
            call.account, call.cost, self.clock()
        )
        run = ModelRun(self, call, version, ticket)
        self.runs[call.request_id] = run
        try:
            await run.wait_for_first_piece()
        except RunFailedError as error:
            run.close()
            return result.Failure(error.fault)
        except BaseException:
            run.close()
            raise
        return result.Success(run)

    def watch(self) -> None:
        """Breaks streams that made no progress, and settles suspicions."""
        now = self.clock()
        for run in list(self.runs.values()):
            if run.is_stalled(now):
                self.metrics.count("stream_silent")
                run.abort_stream()
        self.suspected_crashes = [
            each
            for each in self.suspected_crashes
            if not self._is_settled(each, now)
        ]
        self.dispatcher.dispatch_waiting()

    def _is_settled(self, suspicion: SuspectedCrash, now: float) -> bool:
        gate = self.dispatcher.gate
        evidence = gate.evidence.get(suspicion.replica_id)
        is_same = evidence is not None and evidence.fence == suspicion.fence
        loss = gate.losses.get(suspicion.replica_id)
        is_fresh = evidence is not None and (now - evidence.at <= gate.bound_s)
        has_died = not is_same or not is_fresh
        has_died = has_died or (
            loss is not None
            and loss.fence >= suspicion.fence
            and loss.at >= suspicion.at - gate.bound_s
        )
        if has_died:
            death = f"{suspicion.replica_id}@{suspicion.fence}"
            crash = quarantine_lib.Crash(
                suspicion.fingerprint, death, suspicion.at
            )
            self.dispatcher.quarantine.add([crash])
            self.metrics.count("crash_suspect")
            return True
        # Evidence from after the break shows that the replica lived on.
        return evidence is not None and evidence.at > suspicion.at


class ModelRun:
    """One model call on its way.

    Attributes:
        call: The call.
        assembler: Puts the answer together.
        attempts: Tries so far.
        first_piece_at: When the first piece came.
    """

    def __init__(
        self,
        relay: Relay,
        call: model.ModelCall,
        version: str,
        ticket: admit.Ticket,
    ) -> None:
        self.relay = relay
        self.call = call
        self.version = version
        self.ticket = ticket
        self.assembler = stream.Assembler()
        self.attempts = 0
        self.first_piece_at: float | None = None
        self.last_progress_at = relay.clock()
        self.slot: dispatch.Slot | None = None
        self.engine_stream: engine.EngineStream | None = None
        self.is_silent = False
        self.has_run = False
        self.avoided_replicas: frozenset[str] = frozenset()
        self.broken_streams = 0
        self.first_data = b""
        self.last_replica_id = ""
        self.lead = ""

    async def wait_for_first_piece(self) -> None:
        """Waits for the first piece.

        Raises:
            RunFailedError: There will be none.
        """
        self.relay.budget.earn()
        self.first_data = await self._advance()
        self.first_piece_at = self.relay.clock()
        self.relay.metrics.record(
            "first_piece", self.first_piece_at - self.call.received_at
        )

    async def read(self) -> bytes:
        """Returns the next pieces in order; empty when the answer is whole.

        Raises:
            RunFailedError: The answer can't be completed.
        """
        if self.first_data:
            data, self.first_data = self.first_data, b""
            return data
        return await self._advance()

    def close(self) -> None:
        """Ends the run, whole or not; the engine is told if it still works."""
        relay = self.relay
        relay.runs.pop(self.call.request_id, None)
        if self.engine_stream is not None and not self.assembler.is_done:
            relay.metrics.count("cancelled_upstream")
            self._cancel_upstream()
        self._drop_stream()
        if self.assembler.is_done:
            relay.dispatcher.quarantine.clear(
                self.call.fingerprint, relay.clock()
            )
            self._settle()

    def is_stalled(self, now: float) -> bool:
        """Returns whether an open stream has been silent for too long."""
        return (
            self.engine_stream is not None
            and not self.is_silent
            and now - self.last_progress_at > self.relay.progress_timeout_s
        )

    def abort_stream(self) -> None:
        """Drops a silent connection, so that the pending read fails."""
        self.is_silent = True
        if self.engine_stream is not None:
            self.engine_stream.close()

    async def _advance(self) -> bytes:
        while True:
            if self.assembler.is_done:
                return b""
            if self.engine_stream is None:
                await self._connect()
            ready = await self._receive()
            if ready:
                return ready

    async def _receive(self) -> bytes:
        assert self.engine_stream is not None
        try:
            data = await self.engine_stream.read()
            ready = self.assembler.feed(data) if data else b""
        except engine.BrokenStreamError as error:
            self._lose(str(error))
            return b""
        except stream.StreamError as error:
            raise RunFailedError(
                codes.fault(codes.BAD_UPSTREAM_DATA, str(error))
            ) from error
        if not data:
            self._lose("the connection ended")
            return b""
        self.last_progress_at = self.relay.clock()
        return ready

    async def _connect(self) -> None:
        """Opens a stream on some replica, with as many tries as allowed."""
        while True:
            await self._pay_for_try()
            slot = await self._acquire()
            opened = await self._open(slot)
            if pipeline.is_successful(opened):
                self.engine_stream = opened.unwrap()
                self.relay.dispatcher.loads.record_accepted(
                    slot.evidence.replica_id
                )
                self.last_progress_at = self.relay.clock()
                self.is_silent = False
                self.has_run = True
                self.assembler.restart()
                return
            self._note_refusal(slot, opened.failure())
            if opened.failure().code is codes.UPSTREAM_REFUSED:
                # It only waits on; nothing was tried and nothing failed.
                self.attempts -= 1

    async def _pay_for_try(self) -> None:
        self.attempts += 1
        if self.attempts == 1:
            return
        relay = self.relay
        if self.attempts > _MOST_ATTEMPTS:
            raise RunFailedError(self._final_fault("too many tries"))
        is_free = self.attempts <= _FREE_ATTEMPTS
        if not is_free and not relay.budget.spend():
            relay.metrics.count("retry_denied", "budget")
            raise RunFailedError(self._final_fault("the retry budget is spent"))
        await self._confirm_deaths()
        delay_s = relay.backoff.delay_s(self.attempts - 1, relay.rng)
        if relay.clock() + delay_s >= self.call.deadline:
            raise RunFailedError(self._final_fault("the deadline is too near"))
        await asyncio.sleep(delay_s)

    async def _confirm_deaths(self) -> None:
        """After a second broken stream, waits until its cause is known.

        A request that crashes what runs it must not be sent to a third
        replica before the first two deaths count.
        """
        if (
            self.broken_streams
            < self.relay.dispatcher.quarantine.crash_threshold
        ):
            return
        for _ in range(_CONFIRM_TRIES):
            fingerprints = {
                each.fingerprint for each in self.relay.suspected_crashes
            }
            if self.call.fingerprint not in fingerprints:
                return
            await asyncio.sleep(_CONFIRM_PERIOD_S)

    async def _acquire(self) -> dispatch.Slot:
        acquired = await self.relay.dispatcher.acquire(
            self.call,
            self.version,
            self.ticket,
            self.avoided_replicas,
            is_resumed=self.has_run,
        )
        if pipeline.is_successful(acquired):
            return acquired.unwrap()
        fault = acquired.failure()
        if self.has_run and fault.code is not codes.QUARANTINED:
            raise RunFailedError(self._final_fault(fault.detail))
        raise RunFailedError(fault)

    async def _open(
        self, slot: dispatch.Slot
    ) -> result.Result[engine.EngineStream, codes.Fault]:
        relay = self.relay
        evidence = slot.evidence
        gate = relay.dispatcher.gate
        # Checked again here, since the wait for a slot may have been long.
        verdict = gate.check(evidence.replica_id, relay.clock())
        if not verdict.is_open:
            relay.dispatcher.release(slot)
            fault = codes.fault(codes.REPLICA_NOT_WHOLE, verdict.reason)
            return result.Failure(fault)
        relay.invariants.hold(
            "dispatch_needs_evidence",
            relay.clock() - evidence.at <= gate.bound_s,
            lambda: f"{evidence.replica_id} at {evidence.at}",
        )
        self.slot = slot
        self.last_replica_id = evidence.replica_id
        self.lead = evidence.lead
        sent = engine.Dispatch(
            self.call,
            evidence.replica_id,
            evidence.fence,
            self.ticket.priority,
            self.assembler.delivered_count,
            stream.answer_text(self.assembler.delivered, self.call.kind),
        )
        opened = await relay.engines.open(evidence.address, sent)
        if not pipeline.is_successful(opened):
            self._drop_stream()
        return opened

    def _note_refusal(self, slot: dispatch.Slot, fault: codes.Fault) -> None:
        relay = self.relay
        relay.metrics.count("retry", fault.code.name)
        if fault.code is codes.REPLICA_NOT_WHOLE:
            relay.dispatcher.gate.close(
                slot.evidence.replica_id,
                slot.evidence.fence,
                slot.evidence.at,
            )
        if fault.code is codes.UPSTREAM_REFUSED:
            relay.dispatcher.loads.record_full(
                slot.evidence.replica_id, relay.clock()
            )
            return
        self.avoided_replicas |= {slot.evidence.replica_id}
        if fault.code is codes.UPSTREAM_FAILED:
            self.has_run = True
        if fault.code in (codes.UPSTREAM_UNREACHABLE, codes.UPSTREAM_FAILED):
            relay.dispatcher.breakers.record_failure(
                slot.evidence.lead, relay.clock(), relay.rng
            )

    def _lose(self, detail: str) -> None:
        """Notes that the stream broke, and why as far as is known."""
        relay = self.relay
        slot = self.slot
        assert slot is not None
        reason = "silent" if self.is_silent else "broken"
        logs.event(
            f"stream {reason}",
            request=self.call.request_id,
            account=self.call.account,
            replica=slot.evidence.replica_id,
            upstream=slot.evidence.lead,
            delivered=self.assembler.delivered_count,
            detail=detail,
        )
        relay.metrics.count("retry", f"stream_{reason}")
        if not self.is_silent:
            self.broken_streams += 1
            self.avoided_replicas |= {slot.evidence.replica_id}
            relay.suspected_crashes.append(
                SuspectedCrash(
                    self.call.fingerprint,
                    slot.evidence.replica_id,
                    slot.evidence.fence,
                    relay.clock(),
                )
            )
            relay.dispatcher.breakers.record_failure(
                slot.evidence.lead, relay.clock(), relay.rng
            )
        elif self.attempts > 1:
            # A second silence on a fresh connection speaks against the lead.
            self.avoided_replicas |= {slot.evidence.replica_id}
        self._drop_stream()

    def _drop_stream(self) -> None:
        if self.engine_stream is not None:
            self.engine_stream.close()
            self.engine_stream = None
        if self.slot is not None:
            self.relay.dispatcher.release(self.slot)
            self.slot = None

    def _cancel_upstream(self) -> None:
        assert self.slot is not None
        address = self.slot.evidence.address
        _CANCELS.start(self.relay.engines.cancel(address, self.call.request_id))

    def _final_fault(self, detail: str) -> codes.Fault:
        if self.assembler.delivered_count:
            code = (
                codes.STREAM_SILENT
                if self.is_silent
                else codes.STREAM_INCOMPLETE
            )
        elif self.has_run:
            code = codes.UPSTREAM_FAILED
        else:
            code = codes.UPSTREAM_UNREACHABLE
        return codes.fault(code, detail, retry_after_s=1.0)

    def _settle(self) -> None:
        relay = self.relay
        tokens = max(0, self.assembler.delivered_count - 1)
        prompt = self.call.cost - self.call.max_tokens
        relay.dispatcher.shares.refund(self.ticket, prompt + tokens)
        relay.metrics.count("tokens", amount=tokens)
        if (
            self.first_piece_at is not None
            and tokens > 1
            and self.attempts == 1
        ):
            pace = (self.last_progress_at - self.first_piece_at) / (tokens - 1)
            relay.dispatcher.loads.record_token_interval(
                self.last_replica_id, pace
            )
        relay.metrics.count("answers_whole")
        relay.dispatcher.breakers.record_success(self.lead)


_CANCELS = tasks.Tasks()
