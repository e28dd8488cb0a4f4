"""Runs a model call on replicas until its answer is complete or has failed.

An interrupted answer is resumed after the last delivered piece: on the same
replica over a new connection while all its members are verified, otherwise on
another replica. The first retry of a call does not use the retry budget,
because the loss of a replica breaks all of its streams at once; every later
retry is taken from the budget, which all calls share. An answer that cannot be
completed ends with a fault, never with a clean end of stream.

An attempt whose replica is only silent is interrupted once its call has a
retry and a slot to go on with; see `tamarackpier.request.silence`.
"""

import asyncio
import dataclasses
import random
from collections.abc import Callable

from returns import pipeline, result

from tamarackpier import codes, invariants, logs, metrics, tasks
from tamarackpier import quarantine as quarantine_lib
from tamarackpier.request import (
    admit,
    dispatch,
    model,
    retry,
    silence,
    stream,
)
from tamarackpier.upstream import engine

__all__ = ["ModelRun", "Relay", "RunFailedError"]

_MAX_ATTEMPTS = 6
_UNBUDGETED_ATTEMPTS = 2
_CRASH_VERDICT_POLLS = 20
_CRASH_VERDICT_POLL_S = 0.1


class RunFailedError(Exception):
    """A call ended without a complete answer.

    Attributes:
        fault: The fault to report to the caller.
    """

    def __init__(self, fault: codes.Fault) -> None:
        super().__init__(str(fault))
        self.fault = fault


@dataclasses.dataclass(frozen=True)
class SuspectedCrash:
    """An attempt that broke off, whose replica may have crashed.

    Attributes:
        fingerprint: Fingerprint of the request's content.
        part_fingerprints: Fingerprints of the shared parts of its prompt.
        replica_id: The replica that served the stream.
        fence: Fencing number of the replica.
        at: Monotonic time in seconds at which the stream broke.
    """

    fingerprint: str
    part_fingerprints: tuple[str, ...]
    replica_id: str
    fence: int
    at: float


@dataclasses.dataclass(frozen=True)
class Move:
    """A retry that a call may make, and the slot that is reserved for it.

    Attributes:
        slot: The reserved slot.
        delay_s: Backoff before the retry, in seconds.
    """

    slot: dispatch.Slot
    delay_s: float


class Relay:
    """Runs the model calls of an entry instance and holds their shared state.

    Attributes:
        dispatcher: Assigns replica slots to calls.
        engines: Client for the engines' streams.
        budget: Retry budget that all calls share.
        backoff: Delays between the attempts of a call.
        progress_timeout_s: Seconds without data, or without the start of the
            answer, after which a call moves to another replica if it can.
        runs: Calls in progress by request ID.
        suspected_crashes: Attempts that broke off, as long as it is not known
            whether the replica crashed.
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
        """Runs a call until its first piece arrives.

        Until then a failure can still be reported by its own HTTP status.

        Returns:
            The call in progress, or the fault with which it failed.
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
        """Decides about stalled streams and resolves suspected crashes.

        Slots that are free again are assigned to waiting calls.
        """
        now = self.clock()
        for run in list(self.runs.values()):
            if run.is_stalled(now):
                run.handle_silence(now)
        self.suspected_crashes = [
            suspected_crash
            for suspected_crash in self.suspected_crashes
            if not self._resolve_suspected_crash(suspected_crash, now)
        ]
        self.dispatcher.dispatch_waiting()

    def _resolve_suspected_crash(
        self, suspected_crash: SuspectedCrash, now: float
    ) -> bool:
        """Reports a suspected crash to the quarantine if it is confirmed.

        Returns:
            Whether it is known now that the replica crashed or that it did
            not.
        """
        gate = self.dispatcher.gate
        evidence = gate.evidence.get(suspected_crash.replica_id)
        is_same_fence = (
            evidence is not None and evidence.fence == suspected_crash.fence
        )
        loss = gate.losses.get(suspected_crash.replica_id)
        is_recent = evidence is not None and (
            now - evidence.at <= gate.max_evidence_age_s
        )
        has_crashed = not is_same_fence or not is_recent
        has_crashed = has_crashed or (
            loss is not None
            and loss.fence >= suspected_crash.fence
            and loss.at >= suspected_crash.at - gate.max_evidence_age_s
        )
        if has_crashed:
            death = f"{suspected_crash.replica_id}@{suspected_crash.fence}"
            self.dispatcher.quarantine.add(
                quarantine_lib.Crash(suspect, death, suspected_crash.at)
                for suspect in (
                    suspected_crash.fingerprint,
                    *suspected_crash.part_fingerprints,
                )
            )
            self.metrics.count("crash_suspect")
            return True
        # Evidence from after the stream broke shows that the replica did not
        # crash.
        return evidence is not None and evidence.at > suspected_crash.at


class ModelRun:
    """One model call in progress.

    Attributes:
        relay: State shared with the other calls.
        call: The model call.
        version: Version of the model.
        ticket: Rank and priority of the call.
        assembler: Reassembles the answer from its pieces.
        attempts: Number of attempts so far.
        first_piece_at: Monotonic time in seconds at which the first piece
            arrived; None before.
        last_progress_at: Monotonic time in seconds of the last data or new
            connection.
        waiting_since: Monotonic time in seconds at which the wait for the
            engine began; None while nothing is awaited of it.
        slot: Slot that the current attempt holds.
        opening: Task that waits for the start of the current attempt's answer.
        engine_stream: Open stream of the current attempt.
        answering_since: Monotonic time in seconds of the first evidence of the
            replica after the open stream stalled; None if there is none.
        move: How the call goes on after a stalled stream was aborted; None
            if that was not decided.
        is_held: Whether the current attempt has stalled and is held.
        is_aborted: Whether the current attempt was aborted.
        is_silent: Whether the last stream was aborted because it stalled.
        may_have_run: Whether an engine may have executed part of the call.
        avoided_replicas: IDs of replicas to use only if no other has room.
        broken_attempts: Number of attempts that the engine broke off, before
            its answer or in it.
        unread_pieces: Pieces received but not yet returned by `read`.
        last_replica_id: Replica of the last attempt.
        lead: Lead instance of the last attempt.
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
        self.waiting_since: float | None = None
        self.slot: dispatch.Slot | None = None
        self.opening: (
            asyncio.Task[result.Result[engine.EngineStream, codes.Fault]] | None
        ) = None
        self.engine_stream: engine.EngineStream | None = None
        self.answering_since: float | None = None
        self.move: Move | None = None
        self.is_held = False
        self.is_aborted = False
        self.is_silent = False
        self.may_have_run = False
        self.avoided_replicas: frozenset[str] = frozenset()
        self.broken_attempts = 0
        self.unread_pieces = b""
        self.last_replica_id = ""
        self.lead = ""

    async def wait_for_first_piece(self) -> None:
        """Waits for the first piece.

        Raises:
            RunFailedError: The call failed before its first piece.
        """
        self.relay.budget.count_first_attempt()
        self.unread_pieces = await self._next_pieces()
        self.first_piece_at = self.relay.clock()
        self.relay.metrics.record(
            "first_piece", self.first_piece_at - self.call.received_at
        )

    async def read(self) -> bytes:
        """Returns the next pieces in order; empty once the answer is complete.

        Raises:
            RunFailedError: The answer cannot be completed.
        """
        if self.unread_pieces:
            data, self.unread_pieces = self.unread_pieces, b""
            return data
        return await self._next_pieces()

    def close(self) -> None:
        """Ends the run and cancels the call at the engine if it still runs."""
        relay = self.relay
        relay.runs.pop(self.call.request_id, None)
        if self.engine_stream is not None and not self.assembler.is_done:
            relay.metrics.count("cancelled_upstream")
            assert self.slot is not None
            self._cancel_upstream(self.slot)
        self._close_stream()
        self._release_move()
        if self.assembler.is_done:
            for suspect in (
                self.call.fingerprint,
                *self.call.part_fingerprints,
            ):
                relay.dispatcher.quarantine.complete(suspect, relay.clock())
            self._record_completion()

    def is_stalled(self, now: float) -> bool:
        """Returns whether the attempt exceeded the progress timeout."""
        return (
            self.waiting_since is not None
            and not self.is_aborted
            and (self.opening is None or not self.opening.done())
            and now - self.waiting_since > self.relay.progress_timeout_s
        )

    def handle_silence(self, now: float) -> None:
        """Aborts the stalled attempt, or holds it while that is of no use."""
        assert self.slot is not None and self.waiting_since is not None
        replica_id = self.slot.evidence.replica_id
        evidence = self.relay.dispatcher.gate.evidence.get(replica_id)
        noticed_at = self.waiting_since + self.relay.progress_timeout_s
        if (
            self.answering_since is None
            and evidence is not None
            and evidence.at >= noticed_at
        ):
            self.answering_since = evidence.at
        attempt = silence.SilentAttempt(
            replica_id,
            self.slot.evidence.fence,
            self.answering_since,
            self.call.deadline,
        )
        excluded_replicas = frozenset({replica_id})
        if silence.is_answering(attempt, evidence):
            excluded_replicas = frozenset()
        self.move = self._reserve_move(excluded_replicas, now)
        step = silence.decide(attempt, evidence, self.move is not None, now)
        if step is not silence.Step.HOLD:
            self.relay.metrics.count("stream_silent")
            self._abort_attempt()
        elif not self.is_held:
            self.is_held = True
            self.relay.metrics.count("stream_held")
            logs.event(
                "silent stream held",
                request=self.call.request_id,
                account=self.call.account,
                replica=replica_id,
                upstream=self.slot.evidence.lead,
                delivered=self.assembler.delivered_count,
            )

    def _abort_attempt(self) -> None:
        """Closes a stalled connection so that the wait for it ends."""
        self.is_silent = True
        self.is_aborted = True
        if self.opening is not None:
            self.opening.cancel()
        if self.engine_stream is not None:
            self.engine_stream.close()

    def _reserve_move(
        self, excluded_replicas: frozenset[str], now: float
    ) -> Move | None:
        """Takes a retry and a slot if both can be had now."""
        relay = self.relay
        attempt = self.attempts + 1
        delay_s = relay.backoff.delay_s(attempt - 1, relay.rng)
        is_budgeted = attempt > _UNBUDGETED_ATTEMPTS
        if (
            attempt > _MAX_ATTEMPTS
            or now + delay_s >= self.call.deadline
            or (is_budgeted and not relay.budget.has_retry)
            or self._awaits_crash_verdict()
        ):
            return None
        slot = relay.dispatcher.reserve(
            self.call,
            self.version,
            self.ticket,
            self.avoided_replicas,
            excluded_replicas,
        )
        if slot is None:
            return None
        if is_budgeted:
            relay.budget.spend()
        return Move(slot, delay_s)

    def _release_move(self) -> None:
        if self.move is not None:
            self.relay.dispatcher.release(self.move.slot)
            self.move = None

    async def _next_pieces(self) -> bytes:
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
            data = await self._read_stream(self.engine_stream)
            ready = self.assembler.feed(data) if data else b""
        except engine.BrokenStreamError as error:
            self._record_broken_stream(str(error))
            return b""
        except stream.StreamError as error:
            raise RunFailedError(
                codes.fault(codes.BAD_UPSTREAM_DATA, str(error))
            ) from error
        if not data:
            self._record_broken_stream(
                "connection closed before the end of the answer"
            )
            return b""
        self.last_progress_at = self.relay.clock()
        self.is_held = False
        return ready

    async def _read_stream(self, engine_stream: engine.EngineStream) -> bytes:
        self._begin_wait()
        try:
            return await engine_stream.read()
        finally:
            self.waiting_since = None

    def _begin_wait(self) -> None:
        self.waiting_since = self.relay.clock()
        self.answering_since = None

    async def _connect(self) -> None:
        """Opens a stream on a replica, retrying within the limits."""
        while True:
            slot = await self._next_slot()
            open_result = await self._open(slot)
            if pipeline.is_successful(open_result):
                self.engine_stream = open_result.unwrap()
                self.relay.dispatcher.loads.record_accepted(
                    slot.evidence.replica_id
                )
                self.last_progress_at = self.relay.clock()
                self.is_silent = False
                self.may_have_run = True
                self.assembler.restart()
                return
            if self.is_aborted:
                # The engine may have received the call and run it later.
                self.may_have_run = True
                self._cancel_upstream(slot)
                self._record_broken_stream("no answer began")
                continue
            self._record_refusal(slot, open_result.failure())
            if open_result.failure().code is codes.UPSTREAM_REFUSED:
                # The replica had no free slot. That is not a failed attempt,
                # so the call goes back to waiting.
                self.attempts -= 1

    async def _next_slot(self) -> dispatch.Slot:
        """Returns the slot of the next attempt.

        Raises:
            RunFailedError: No further attempt is allowed, or none has a slot.
        """
        if self.move is None:
            await self._prepare_attempt()
            return await self._acquire()
        self.attempts += 1
        await asyncio.sleep(self.move.delay_s)
        slot = self.move.slot
        self.move = None
        return slot

    async def _prepare_attempt(self) -> None:
        """Counts an attempt, and waits out the backoff before a retry.

        Raises:
            RunFailedError: No further attempt is allowed.
        """
        self.attempts += 1
        if self.attempts == 1:
            return
        relay = self.relay
        if relay.clock() >= self.call.deadline:
            raise RunFailedError(self._terminal_fault("the deadline passed"))
        if self.attempts > _MAX_ATTEMPTS:
            raise RunFailedError(
                self._terminal_fault("maximum number of attempts reached")
            )
        is_unbudgeted = self.attempts <= _UNBUDGETED_ATTEMPTS
        if not is_unbudgeted and not relay.budget.spend():
            relay.metrics.count("retry_denied", "budget")
            raise RunFailedError(self._terminal_fault("retry budget exhausted"))
        await self._wait_for_crash_verdict()
        delay_s = relay.backoff.delay_s(self.attempts - 1, relay.rng)
        if relay.clock() + delay_s >= self.call.deadline:
            raise RunFailedError(
                self._terminal_fault("deadline too near for another attempt")
            )
        await asyncio.sleep(delay_s)

    async def _wait_for_crash_verdict(self) -> None:
        """Waits until the crashes that this call may have caused are resolved.

        The wait is limited to `_CRASH_VERDICT_POLLS` polls. It applies once
        the broken attempts of the call reach the crash threshold of the
        quarantine, two by default: a request that crashes its replicas must
        not be sent to a third one before the first two crashes are counted.
        """
        for _ in range(_CRASH_VERDICT_POLLS):
            if not self._awaits_crash_verdict():
                return
            await asyncio.sleep(_CRASH_VERDICT_POLL_S)

    def _awaits_crash_verdict(self) -> bool:
        """Returns whether crashes that count for this call are unresolved."""
        relay = self.relay
        threshold = relay.dispatcher.quarantine.crash_threshold
        return self.broken_attempts >= threshold and any(
            suspected_crash.fingerprint == self.call.fingerprint
            for suspected_crash in relay.suspected_crashes
        )

    async def _acquire(self) -> dispatch.Slot:
        slot_result = await self.relay.dispatcher.acquire(
            self.call,
            self.version,
            self.ticket,
            self.avoided_replicas,
            is_resumed=self.may_have_run,
        )
        if pipeline.is_successful(slot_result):
            return slot_result.unwrap()
        fault = slot_result.failure()
        if self.may_have_run and fault.code is not codes.QUARANTINED:
            raise RunFailedError(self._terminal_fault(fault.detail))
        raise RunFailedError(fault)

    async def _open(
        self, slot: dispatch.Slot
    ) -> result.Result[engine.EngineStream, codes.Fault]:
        self.is_aborted = False
        relay = self.relay
        evidence = slot.evidence
        gate = relay.dispatcher.gate
        # Check again, since the evidence may have gone stale while the call
        # waited for a slot.
        verdict = gate.check(evidence.replica_id, relay.clock())
        if not verdict.is_open:
            relay.dispatcher.release(slot)
            fault = codes.fault(codes.REPLICA_NOT_WHOLE, verdict.reason)
            return result.Failure(fault)
        relay.invariants.hold(
            "dispatch_needs_evidence",
            relay.clock() - evidence.at <= gate.max_evidence_age_s,
            lambda: f"{evidence.replica_id} has evidence from {evidence.at}",
        )
        self.slot = slot
        self.last_replica_id = evidence.replica_id
        self.lead = evidence.lead
        dispatch_request = engine.Dispatch(
            self.call,
            evidence.replica_id,
            evidence.fence,
            self.ticket.priority,
            self.assembler.delivered_count,
            stream.answer_text(self.assembler.delivered, self.call.kind),
        )
        open_result = await self._wait_for_stream(dispatch_request)
        if not pipeline.is_successful(open_result) and not self.is_aborted:
            self._close_stream()
        return open_result

    async def _wait_for_stream(
        self, dispatch_request: engine.Dispatch
    ) -> result.Result[engine.EngineStream, codes.Fault]:
        """Sends the call and waits for its answer to begin.

        Returns:
            The stream, or the fault; also if the attempt is aborted meanwhile.
        """
        assert self.slot is not None
        opening = asyncio.ensure_future(
            self.relay.engines.open(
                self.slot.evidence.address, dispatch_request
            )
        )
        self.opening = opening
        self._begin_wait()
        try:
            await asyncio.wait((opening,))
        except asyncio.CancelledError:
            opening.cancel()
            opening.add_done_callback(_close_unused)
            raise
        finally:
            self.opening = None
            self.waiting_since = None
        if opening.cancelled():
            return result.Failure(
                codes.fault(codes.UPSTREAM_FAILED, "no answer began")
            )
        self.is_aborted = False
        self.is_held = False
        self._release_move()
        return opening.result()

    def _record_refusal(self, slot: dispatch.Slot, fault: codes.Fault) -> None:
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
            self.may_have_run = True
            self._suspect_crash(slot)
        if fault.code in (codes.UPSTREAM_UNREACHABLE, codes.UPSTREAM_FAILED):
            relay.dispatcher.breakers.record_failure(
                slot.evidence.lead, relay.clock(), relay.rng
            )

    def _record_broken_stream(self, detail: str) -> None:
        """Records that the stream broke or stalled, and closes it.

        Args:
            detail: The error, for the log.
        """
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
            self._suspect_crash(slot)
            self.avoided_replicas |= {slot.evidence.replica_id}
            relay.dispatcher.breakers.record_failure(
                slot.evidence.lead, relay.clock(), relay.rng
            )
        elif self.attempts > 1:
            # A stall on a new connection suggests that the lead instance, not
            # the connection, is the cause.
            self.avoided_replicas |= {slot.evidence.replica_id}
        self._close_stream()

    def _suspect_crash(self, slot: dispatch.Slot) -> None:
        """Records that the replica may have crashed while it ran the call."""
        self.broken_attempts += 1
        self.relay.suspected_crashes.append(
            SuspectedCrash(
                self.call.fingerprint,
                self.call.part_fingerprints,
                slot.evidence.replica_id,
                slot.evidence.fence,
                self.relay.clock(),
            )
        )

    def _close_stream(self) -> None:
        if self.engine_stream is not None:
            self.engine_stream.close()
            self.engine_stream = None
        if self.slot is not None:
            self.relay.dispatcher.release(self.slot)
            self.slot = None

    def _cancel_upstream(self, slot: dispatch.Slot) -> None:
        address = slot.evidence.address
        _CANCEL_TASKS.start(
            self.relay.engines.cancel(address, self.call.request_id)
        )

    def _terminal_fault(self, detail: str) -> codes.Fault:
        if self.assembler.delivered_count:
            code = (
                codes.STREAM_SILENT
                if self.is_silent
                else codes.STREAM_INCOMPLETE
            )
        elif self.may_have_run:
            code = codes.UPSTREAM_FAILED
        else:
            code = codes.UPSTREAM_UNREACHABLE
        return codes.fault(code, detail, retry_after_s=1.0)

    def _record_completion(self) -> None:
        relay = self.relay
        # The last piece marks the end of the answer and holds no token.
        tokens = max(0, self.assembler.delivered_count - 1)
        prompt_tokens = self.call.cost - self.call.max_tokens
        relay.dispatcher.shares.refund(self.ticket, prompt_tokens + tokens)
        relay.metrics.count("tokens", amount=tokens)
        if (
            self.first_piece_at is not None
            and tokens > 1
            and self.attempts == 1
        ):
            token_interval_s = (self.last_progress_at - self.first_piece_at) / (
                tokens - 1
            )
            relay.dispatcher.loads.record_token_interval(
                self.last_replica_id, token_interval_s
            )
        relay.metrics.count("answers_whole")
        relay.dispatcher.breakers.record_success(self.lead)


def _close_unused(
    opening: "asyncio.Task[result.Result[engine.EngineStream, codes.Fault]]",
) -> None:
    """Closes a stream that was opened while its call was cancelled."""
    if opening.cancelled():
        return
    open_result = opening.result()
    if pipeline.is_successful(open_result):
        open_result.unwrap().close()


_CANCEL_TASKS = tasks.Tasks()
