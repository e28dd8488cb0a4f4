"""Sends calls to plain services, at most once unless they are repeatable."""

import asyncio
import dataclasses
import random
import secrets
from collections.abc import Callable

from returns import pipeline, result

from tamarackpier import (
    codes,
    invariants,
    logs,
    metrics,
    quarantine,
    settings,
)
from tamarackpier.platform import interfaces
from tamarackpier.request import model, records, retry
from tamarackpier.upstream import service

__all__ = ["ServiceRelay"]

_MAX_RETRIES = 4
_MAX_UNSETTLED_OUTCOMES = 10_000
# Long, since only a changed call or upstream helps.
_SUSPECT_RETRY_AFTER_S = 60.0

Answer = result.Result[service.ServiceAnswer, codes.Fault]


@dataclasses.dataclass(frozen=True)
class _Claim:
    """A STARTED record that this instance wrote and must replace.

    Attributes:
        key: Table key of the record.
        record: The record as written.
        row_version: Row version of the record; 0 while it is not known.
    """

    key: str
    record: records.Record
    row_version: int


class ServiceRelay:
    """Calls of plain services from one entry instance.

    Attributes:
        services: Settings of the services by name.
        table: Table that stores the records.
        client: Client that sends one call to one upstream.
        owner: Identifier of this entry instance and its incarnation.
        is_owner_live: Function that returns whether another owner may still
            be sending.
        unsettled: Outcomes that are not yet written to the table, by record
            key; None for a record that must be deleted.
        claims: Claims of this instance by record key.
        quarantine: Requests that are suspected of crashing upstreams.
        in_flight: Number of calls being handled by this instance.
    """

    def __init__(
        self,
        services: dict[str, settings.ServiceSettings],
        table: interfaces.Table,
        client: service.ServiceClient,
        owner: str,
        is_owner_live: Callable[[str], bool],
        budget: retry.RetryBudget,
        breakers: retry.Breakers,
        backoff: retry.Backoff,
        counts: metrics.Metrics,
        checks: invariants.Invariants,
        rng: random.Random,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        crash_quarantine: quarantine.Quarantine,
    ) -> None:
        self.services = services
        self.table = table
        self.client = client
        self.owner = owner
        self.is_owner_live = is_owner_live
        self.budget = budget
        self.breakers = breakers
        self.backoff = backoff
        self.metrics = counts
        self.invariants = checks
        self.rng = rng
        self.clock = clock
        self.wall_clock = wall_clock
        self.quarantine = crash_quarantine
        self.unsettled: dict[str, records.Record | None] = {}
        self.claims: dict[str, _Claim] = {}
        self.in_flight = 0

    async def run(self, call: model.ServiceCall) -> Answer:
        """Runs a call and returns its answer or a fault."""
        if call.service not in self.services:
            known_services = ", ".join(sorted(self.services))
            detail = (
                f"{call.service!r} is not a configured service;"
                f" expected one of: {known_services}"
            )
            return result.Failure(codes.fault(codes.NO_SUCH_SERVICE, detail))
        self.in_flight += 1
        try:
            if call.is_repeatable:
                return await self._run_repeatable(call)
            if call.idempotency_key:
                return await self._run_recorded(call)
            return await self._send_once(call)
        finally:
            self.in_flight -= 1

    async def look_up(
        self, call: model.ServiceCall
    ) -> result.Result[records.Record | None, codes.Fault]:
        """Returns the record of a call by its idempotency key, None if absent.

        An outcome not yet written to the table takes precedence.
        """
        key = records.record_key(call)
        unsettled_record = self.unsettled.get(key)
        if unsettled_record is not None:
            return result.Success(unsettled_record)
        read_result = await self.table.read((key,))
        if not pipeline.is_successful(read_result):
            return result.Failure(read_result.failure())
        return result.Success(
            records.record_from_row(read_result.unwrap()[key])
        )

    async def write_unsettled(self) -> None:
        """Writes unsettled outcomes until the first write that fails."""
        for key, record in list(self.unsettled.items()):
            claim = self.claims.get(key)
            if claim is None or await self._write_outcome(claim, record):
                self.unsettled.pop(key, None)
                self.claims.pop(key, None)
            else:
                return

    async def _run_repeatable(self, call: model.ServiceCall) -> Answer:
        self.budget.count_first_attempt()
        attempt = 0
        while True:
            attempt += 1
            answer = await self._send_to_first_reachable(call)
            if pipeline.is_successful(answer):
                return answer
            fault = answer.failure()
            if fault.code is codes.CRASH_SUSPECT:
                return answer
            if attempt > _MAX_RETRIES or not self.budget.spend():
                return answer
            delay_s = self.backoff.delay_s(attempt, self.rng)
            if self.clock() + delay_s >= call.deadline:
                return answer
            self.metrics.count("retry", f"service_{fault.code.name}")
            await asyncio.sleep(delay_s)

    async def _run_recorded(self, call: model.ServiceCall) -> Answer:
        key = records.record_key(call)
        digest = records.request_digest(call)
        known_answer = await self._known_outcome(key, digest)
        if known_answer is not None:
            return known_answer
        claim_result = await self._claim(key, digest)
        if not pipeline.is_successful(claim_result):
            return result.Failure(claim_result.failure())
        decision = claim_result.unwrap()
        if isinstance(decision, records.Replay):
            self.metrics.count("replayed")
            return result.Success(decision.answer)
        if isinstance(decision, records.Refuse):
            return result.Failure(decision.fault)
        return await self._run_claimed(call, self.claims[key])

    async def _run_claimed(
        self, call: model.ServiceCall, claim: _Claim
    ) -> Answer:
        try:
            answer = await self._send_once(call)
        except asyncio.CancelledError:
            # The caller disconnected, but the upstream may run the call.
            await asyncio.shield(
                self._write_or_queue_outcome(
                    claim, _unknown_outcome(claim, self)
                )
            )
            raise
        await self._write_or_queue_outcome(claim, self._outcome(claim, answer))
        return answer

    async def _known_outcome(self, key: str, digest: str) -> Answer | None:
        """Returns the outcome of a call that this instance has claimed.

        It covers outcomes that are not yet in the table.

        Returns:
            The answer or a fault; None if this instance has no claim.
        """
        if key not in self.claims:
            return None
        record = self.unsettled.get(key, self.claims[key].record)
        if record is None:
            # The call did not run, but its record is not yet deleted.
            detail = "the record of an earlier attempt is being deleted"
            fault = codes.fault(
                codes.RECORD_UNAVAILABLE, detail, retry_after_s=1.0
            )
            return result.Failure(fault)
        row = interfaces.Row(key, 1, record.value())
        decision = records.decide(row, digest, is_owner_live=True)
        if isinstance(decision, records.Replay):
            return result.Success(decision.answer)
        assert isinstance(decision, records.Refuse)
        return result.Failure(decision.fault)

    async def _claim(
        self, key: str, digest: str
    ) -> result.Result[records.Decision, codes.Fault]:
        """Writes the STARTED record of a call, unless a record forbids it.

        Returns:
            `Begin` if the record was written, `Replay` or `Refuse` if a record
            forbids sending the call, or a fault if the table failed or this
            instance is sending the call already.
        """
        read_result = await self.table.read((key,))
        if not pipeline.is_successful(read_result):
            return result.Failure(
                self._unavailable_fault(read_result.failure())
            )
        row = read_result.unwrap()[key]
        decision = self._decide(row, digest)
        if not isinstance(decision, records.Begin):
            return result.Success(decision)
        if key in self.claims:
            # A concurrent send of the same call claimed it during the read.
            fault = codes.fault(
                codes.IN_FLIGHT,
                "this instance is sending the call",
                retry_after_s=1.0,
            )
            return result.Failure(fault)
        record = records.Record(
            records.RecordState.STARTED,
            self.owner,
            secrets.token_hex(8),
            digest,
            self.wall_clock(),
        )
        return await self._write_claim(key, record, decision)

    async def _write_claim(
        self, key: str, record: records.Record, begin: records.Begin
    ) -> result.Result[records.Decision, codes.Fault]:
        self.claims[key] = _Claim(key, record, 0)
        write_result = await self.table.transact(
            interfaces.Transaction(
                (interfaces.Check(key, begin.row_version),),
                (interfaces.Write(key, record.value()),),
            )
        )
        if pipeline.is_successful(write_result):
            version = write_result.unwrap()[key]
            self.claims[key] = _Claim(key, record, version)
            return result.Success(begin)
        fault = write_result.failure()
        if fault.code is codes.TABLE_ANSWER_LOST:
            return await self._recover_claim(key, record, begin)
        del self.claims[key]
        if fault.code is codes.TABLE_CONFLICT:
            return await self._claim(key, record.digest)
        return result.Failure(self._unavailable_fault(fault))

    async def _recover_claim(
        self, key: str, record: records.Record, begin: records.Begin
    ) -> result.Result[records.Decision, codes.Fault]:
        """Reads a record back after the reply to its write was lost.

        Returns:
            The same as `_claim`.
        """
        read_result = await self.table.read((key,))
        if not pipeline.is_successful(read_result):
            # The call was not sent, so the record must be deleted if the
            # write took effect.
            self._add_unsettled(key, None)
            return result.Failure(
                self._unavailable_fault(read_result.failure())
            )
        row = read_result.unwrap()[key]
        stored_record = records.record_from_row(row)
        if stored_record is not None and stored_record.nonce == record.nonce:
            self.claims[key] = _Claim(key, record, row.version)
            return result.Success(begin)
        if stored_record is None:
            # The write may still take effect later, so delete it as well.
            self._add_unsettled(key, None)
            detail = "no reply to the write of the record"
            fault = codes.fault(codes.TABLE_ANSWER_LOST, detail)
            return result.Failure(self._unavailable_fault(fault))
        del self.claims[key]
        return result.Success(self._decide(row, record.digest))

    def _decide(self, row: interfaces.Row, digest: str) -> records.Decision:
        record = records.record_from_row(row)
        is_owner_live = (
            record is not None
            and record.owner != self.owner
            and self.is_owner_live(record.owner)
        )
        return records.decide(row, digest, is_owner_live)

    async def _send_once(self, call: model.ServiceCall) -> Answer:
        """Sends a call that must not run twice; logs a failure."""
        answer = await self._send_to_first_reachable(call)
        if not pipeline.is_successful(answer):
            fault = answer.failure()
            self.metrics.count("service_failed", fault.code.name)
            logs.event(
                "service call failed",
                request=call.request_id,
                account=call.account,
                service=call.service,
                code=fault.code.number,
                detail=fault.detail,
            )
        return answer

    async def _send_to_first_reachable(self, call: model.ServiceCall) -> Answer:
        """Tries upstreams in random order until one may have got the call.

        Upstreams with an open circuit breaker are tried last. Only a failure
        to connect moves on to the next upstream. A call that is suspected of
        crashing upstreams is not sent.
        """
        fingerprint = _fingerprint(call)
        if self._is_suspect(fingerprint):
            return result.Failure(
                codes.fault(
                    codes.CRASH_SUSPECT,
                    f"fingerprint {fingerprint} was running when several"
                    " upstreams ended",
                    retry_after_s=_SUSPECT_RETRY_AFTER_S,
                )
            )
        service_settings = self.services[call.service]
        upstreams = list(service_settings.upstreams)
        self.rng.shuffle(upstreams)
        upstreams.sort(
            key=lambda upstream: (
                not self.breakers.allows(upstream, self.clock())
            )
        )
        answer: Answer = result.Failure(
            codes.fault(
                codes.UPSTREAM_UNREACHABLE,
                "the deadline passed before an upstream was tried",
            )
        )
        for upstream in upstreams:
            timeout_s = min(
                service_settings.timeout_s, call.deadline - self.clock()
            )
            if timeout_s <= 0:
                break
            answer = await self.client.call(upstream, call, timeout_s)
            if pipeline.is_successful(answer):
                self.breakers.record_success(upstream)
                self.quarantine.complete(fingerprint, self.clock())
                return answer
            self.breakers.record_failure(upstream, self.clock(), self.rng)
            if answer.failure().code is not codes.UPSTREAM_UNREACHABLE:
                await self._check_crash(call, fingerprint, upstream)
                break
        return answer

    def _is_suspect(self, fingerprint: str) -> bool:
        verdict = self.quarantine.verdict(fingerprint, self.clock())
        return verdict in (
            quarantine.Verdict.WAIT,
            quarantine.Verdict.REFUSE,
        )

    async def _check_crash(
        self, call: model.ServiceCall, fingerprint: str, upstream: str
    ) -> None:
        """Makes a call a suspect if its upstream ended while it ran."""
        if not await self.client.has_ended(upstream):
            return
        now = self.clock()
        # Instances give one death the same identifier, by the second of it. An
        # upstream takes longer to start again.
        death = f"{upstream}@{int(self.wall_clock())}"
        self.quarantine.add([quarantine.Crash(fingerprint, death, now)])
        self.metrics.count("crash_suspect")
        logs.event(
            "crash suspect",
            request=call.request_id,
            account=call.account,
            fingerprint=fingerprint,
            death=death,
            verdict=self.quarantine.verdict(fingerprint, now).value,
        )

    def _outcome(self, claim: _Claim, answer: Answer) -> records.Record | None:
        """Returns the record of an outcome; None if the call did not run."""
        if pipeline.is_successful(answer):
            return dataclasses.replace(
                claim.record,
                state=records.RecordState.DONE,
                written_at=self.wall_clock(),
                answer=answer.unwrap(),
            )
        if answer.failure().code.outcome is codes.Outcome.NOT_RUN:
            return None
        return _unknown_outcome(claim, self)

    async def _write_or_queue_outcome(
        self, claim: _Claim, record: records.Record | None
    ) -> None:
        if await self._write_outcome(claim, record):
            self.claims.pop(claim.key, None)
        else:
            self._add_unsettled(claim.key, record)

    async def _write_outcome(
        self, claim: _Claim, record: records.Record | None
    ) -> bool:
        """Replaces a claim by its outcome.

        Args:
            claim: The claim.
            record: Record of the outcome; None deletes the record.

        Returns:
            Whether the outcome is settled, so that no retry is needed.
        """
        version = claim.row_version
        if not version:
            read_result = await self.table.read((claim.key,))
            if not pipeline.is_successful(read_result):
                return False
            row = read_result.unwrap()[claim.key]
            stored_record = records.record_from_row(row)
            if (
                stored_record is None
                or stored_record.nonce != claim.record.nonce
            ):
                return True
            version = row.version
        value = record.value() if record is not None else None
        write_result = await self.table.transact(
            interfaces.Transaction(
                (interfaces.Check(claim.key, version),),
                (interfaces.Write(claim.key, value),),
            )
        )
        if pipeline.is_successful(write_result):
            return True
        # A conflict means that an earlier attempt took effect.
        return write_result.failure().code is codes.TABLE_CONFLICT

    def _add_unsettled(self, key: str, record: records.Record | None) -> None:
        self.metrics.count("record_unsettled")
        if len(self.unsettled) < _MAX_UNSETTLED_OUTCOMES:
            self.unsettled[key] = record
        else:
            self.metrics.count("record_dropped")

    def _unavailable_fault(self, fault: codes.Fault) -> codes.Fault:
        self.metrics.count("record_unavailable", fault.code.name)
        return codes.fault(
            codes.RECORD_UNAVAILABLE,
            f"the call was not sent: {fault.detail}",
            retry_after_s=2.0,
        )


def _fingerprint(call: model.ServiceCall) -> str:
    content = b"\0".join(
        (
            call.service.encode(),
            call.method.encode(),
            call.path.encode(),
            call.body,
        )
    )
    return quarantine.fingerprint(call.account, content)


def _unknown_outcome(claim: _Claim, relay: ServiceRelay) -> records.Record:
    return dataclasses.replace(
        claim.record,
        state=records.RecordState.UNKNOWN,
        written_at=relay.wall_clock(),
    )
