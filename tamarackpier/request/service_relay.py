"""Sends calls to plain services: at most once where that is asked for."""

import asyncio
import dataclasses
import random
import secrets
from collections.abc import Callable

from returns import pipeline, result

from tamarackpier import codes, invariants, logs, metrics, settings
from tamarackpier.platform import interfaces
from tamarackpier.request import model, records, retry
from tamarackpier.upstream import service

__all__ = ["ServiceRelay"]

_MOST_REPEATS = 4
_MOST_UNSETTLED = 10_000

Answer = result.Result[service.ServiceAnswer, codes.Fault]


@dataclasses.dataclass(frozen=True)
class _Claim:
    """A record that this instance wrote and must settle."""

    key: str
    record: records.Record
    row_version: int


class ServiceRelay:
    """Calls of plain services from one entry instance.

    Attributes:
        services: The services by name.
        table: Where records are kept.
        client: Sends one call.
        owner: This entry instance and its start.
        is_owner_live: Tells whether another owner may still be sending.
        unsettled: Outcomes that the table has not taken yet, by key; None
            stands for a record that must go.
        in_flight: Keys of calls that are being sent from here.
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
        wall: Callable[[], float],
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
        self.wall = wall
        self.unsettled: dict[str, records.Record | None] = {}
        self.claims: dict[str, _Claim] = {}
        self.in_flight = 0

    async def run(self, call: model.ServiceCall) -> Answer:
        """Runs a call and returns its answer, or why there is none."""
        if call.service not in self.services:
            known = ", ".join(sorted(self.services))
            detail = f"{call.service!r}; known: {known}"
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
        """Returns the record of a call by its idempotency key."""
        key = records.record_key(call)
        known = self.unsettled.get(key)
        if known is not None:
            return result.Success(known)
        read = await self.table.read((key,))
        if not pipeline.is_successful(read):
            return result.Failure(read.failure())
        return result.Success(records.record_from_row(read.unwrap()[key]))

    async def write_unsettled(self) -> None:
        """Writes outcomes that the table could not take before."""
        for key, record in list(self.unsettled.items()):
            claim = self.claims.get(key)
            if claim is None or await self._write_outcome(claim, record):
                self.unsettled.pop(key, None)
                self.claims.pop(key, None)
            else:
                return

    async def _run_repeatable(self, call: model.ServiceCall) -> Answer:
        self.budget.earn()
        attempt = 0
        while True:
            attempt += 1
            answer = await self._send_to_any(call)
            if pipeline.is_successful(answer):
                return answer
            fault = answer.failure()
            if attempt > _MOST_REPEATS or not self.budget.spend():
                return answer
            delay_s = self.backoff.delay_s(attempt, self.rng)
            if self.clock() + delay_s >= call.deadline:
                return answer
            self.metrics.count("retry", f"service_{fault.code.name}")
            await asyncio.sleep(delay_s)

    async def _run_recorded(self, call: model.ServiceCall) -> Answer:
        key = records.record_key(call)
        digest = records.request_digest(call)
        known = await self._known_outcome(key, digest)
        if known is not None:
            return known
        claimed = await self._claim(key, digest)
        if not pipeline.is_successful(claimed):
            return result.Failure(claimed.failure())
        decision = claimed.unwrap()
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
            # The caller is gone, but what was sent may run.
            await asyncio.shield(self._finish(claim, _unknown(claim, self)))
            raise
        await self._finish(claim, self._outcome(claim, answer))
        return answer

    async def _known_outcome(self, key: str, digest: str) -> Answer | None:
        """Returns what this instance knows that the table does not yet."""
        if key not in self.claims:
            return None
        record = self.unsettled.get(key, self.claims[key].record)
        if record is None:
            # It did not run, but its record can't be taken away yet.
            detail = "an earlier record is being cleared"
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
        read = await self.table.read((key,))
        if not pipeline.is_successful(read):
            return result.Failure(self._unavailable(read.failure()))
        row = read.unwrap()[key]
        decision = self._decide(row, digest)
        if not isinstance(decision, records.Begin):
            return result.Success(decision)
        if key in self.claims:
            # Another send of the same call came first while this one read.
            fault = codes.fault(
                codes.IN_FLIGHT, "sent from here", retry_after_s=1.0
            )
            return result.Failure(fault)
        record = records.Record(
            records.RecordState.STARTED,
            self.owner,
            secrets.token_hex(8),
            digest,
            self.wall(),
        )
        return await self._write_claim(key, record, decision)

    async def _write_claim(
        self, key: str, record: records.Record, begin: records.Begin
    ) -> result.Result[records.Decision, codes.Fault]:
        self.claims[key] = _Claim(key, record, 0)
        written = await self.table.transact(
            interfaces.Transaction(
                (interfaces.Check(key, begin.row_version),),
                (interfaces.Write(key, record.value()),),
            )
        )
        if pipeline.is_successful(written):
            version = written.unwrap()[key]
            self.claims[key] = _Claim(key, record, version)
            return result.Success(begin)
        fault = written.failure()
        if fault.code is codes.TABLE_ANSWER_LOST:
            return await self._recover_claim(key, record, begin)
        del self.claims[key]
        if fault.code is codes.TABLE_CONFLICT:
            return await self._claim(key, record.digest)
        return result.Failure(self._unavailable(fault))

    async def _recover_claim(
        self, key: str, record: records.Record, begin: records.Begin
    ) -> result.Result[records.Decision, codes.Fault]:
        """Reads back a record whose write was not answered."""
        read = await self.table.read((key,))
        if not pipeline.is_successful(read):
            # Nothing was sent, so a record that did get written must go.
            self._keep_unsettled(key, None)
            return result.Failure(self._unavailable(read.failure()))
        row = read.unwrap()[key]
        found = records.record_from_row(row)
        if found is not None and found.nonce == record.nonce:
            self.claims[key] = _Claim(key, record, row.version)
            return result.Success(begin)
        if found is None:
            # The write may still be under way, so it is taken back too.
            self._keep_unsettled(key, None)
            detail = "the record's write was not answered"
            fault = codes.fault(codes.TABLE_ANSWER_LOST, detail)
            return result.Failure(self._unavailable(fault))
        del self.claims[key]
        return result.Success(self._decide(row, record.digest))

    def _decide(self, row: interfaces.Row, digest: str) -> records.Decision:
        record = records.record_from_row(row)
        is_live = (
            record is not None
            and record.owner != self.owner
            and self.is_owner_live(record.owner)
        )
        return records.decide(row, digest, is_live)

    async def _send_once(self, call: model.ServiceCall) -> Answer:
        """Sends a call until some upstream may have run it."""
        answer = await self._send_to_any(call)
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

    async def _send_to_any(self, call: model.ServiceCall) -> Answer:
        """Tries upstreams in random order while no byte has been sent."""
        wanted = self.services[call.service]
        upstreams = list(wanted.upstreams)
        self.rng.shuffle(upstreams)
        upstreams.sort(
            key=lambda each: not self.breakers.allows(each, self.clock())
        )
        answer: Answer = result.Failure(
            codes.fault(codes.UPSTREAM_UNREACHABLE, "no time left")
        )
        for upstream in upstreams:
            left_s = min(wanted.timeout_s, call.deadline - self.clock())
            if left_s <= 0:
                break
            answer = await self.client.call(upstream, call, left_s)
            if pipeline.is_successful(answer):
                self.breakers.record_success(upstream)
                return answer
            self.breakers.record_failure(upstream, self.clock(), self.rng)
            if answer.failure().code is not codes.UPSTREAM_UNREACHABLE:
                break
        return answer

    def _outcome(self, claim: _Claim, answer: Answer) -> records.Record | None:
        """Returns the record of an outcome; None when it did not run."""
        if pipeline.is_successful(answer):
            return dataclasses.replace(
                claim.record,
                state=records.RecordState.DONE,
                written_at=self.wall(),
                answer=answer.unwrap(),
            )
        if answer.failure().code.outcome is codes.Outcome.NOT_RUN:
            return None
        return _unknown(claim, self)

    async def _finish(
        self, claim: _Claim, record: records.Record | None
    ) -> None:
        if await self._write_outcome(claim, record):
            self.claims.pop(claim.key, None)
        else:
            self._keep_unsettled(claim.key, record)

    async def _write_outcome(
        self, claim: _Claim, record: records.Record | None
    ) -> bool:
        """Replaces a claim by its outcome; returns whether that is settled."""
        version = claim.row_version
        if not version:
            read = await self.table.read((claim.key,))
            if not pipeline.is_successful(read):
                return False
            row = read.unwrap()[claim.key]
            found = records.record_from_row(row)
            if found is None or found.nonce != claim.record.nonce:
                return True
            version = row.version
        value = record.value() if record is not None else None
        written = await self.table.transact(
            interfaces.Transaction(
                (interfaces.Check(claim.key, version),),
                (interfaces.Write(claim.key, value),),
            )
        )
        if pipeline.is_successful(written):
            return True
        # A conflict means that an earlier try took effect.
        return written.failure().code is codes.TABLE_CONFLICT

    def _keep_unsettled(self, key: str, record: records.Record | None) -> None:
        self.metrics.count("record_unsettled")
        if len(self.unsettled) < _MOST_UNSETTLED:
            self.unsettled[key] = record
        else:
            self.metrics.count("record_dropped")

    def _unavailable(self, fault: codes.Fault) -> codes.Fault:
        self.metrics.count("record_unavailable", fault.code.name)
        return codes.fault(
            codes.RECORD_UNAVAILABLE,
            f"the call was not sent: {fault.detail}",
            retry_after_s=2.0,
        )


def _unknown(claim: _Claim, relay: ServiceRelay) -> records.Record:
    return dataclasses.replace(
        claim.record,
        state=records.RecordState.UNKNOWN,
        written_at=relay.wall(),
    )
