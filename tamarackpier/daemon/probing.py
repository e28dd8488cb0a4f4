"""Asks members of replicas whether they are there, when there is doubt."""

import asyncio
import dataclasses
from collections.abc import Callable

from returns import pipeline, result

from tamarackpier import codes, failures, logs, metrics, tasks
from tamarackpier.fleet import beliefs, model
from tamarackpier.traffic import flight
from tamarackpier.upstream import gateway

__all__ = ["Prober", "ProbeResult", "evaluate"]

_TRIES = 3
_STAGGER_S = 0.03  # An answer takes 5 ms; a lost packet a second.
_TRY_S = 0.07
_MOST_LAG_S = 0.04  # Of this process; beyond it, no answer proves nothing.
_MOST_ROUNDS = 3
_SUSPEND_S = 3.0  # The platform drops a dead engine's row after 3.6 s.
_STUCK_S = 1.5  # Silence that is no slowness, though all members answer.
_RECHECK_SILENT_S = 0.7
_DOUBT_GAP_S = 0.3  # Between rounds of questions that failures ask for.


@dataclasses.dataclass(frozen=True)
class ProbeResult:
    """What a round of questions to a replica's members found.

    Attributes:
        silent: Members that did not answer.
        reason: Why the replica can't serve; empty if nothing speaks against.
        is_lost: Whether it has to be formed anew.
        queued: Requests that wait at its lead for a slot.
        pace: The slowest member's pace.
    """

    silent: tuple[str, ...]
    reason: str
    must_reform: bool
    pace: float
    queued: int = 0


ReportResult = result.Result[model.EngineReport, codes.Fault]


def evaluate(
    replica: model.Replica, found: dict[str, ReportResult]
) -> ProbeResult:
    """Decides from its members' answers whether a replica can serve."""
    silent = []
    reason = ""
    closing = ""
    pace = 1.0
    queued = 0
    for rank, member in replica.members:
        answer = found[member.id]
        if not pipeline.is_successful(answer):
            silent.append(member.id)
            continue
        report = answer.unwrap()
        pace = max(pace, report.pace)
        queued += report.queued if rank == 0 else 0
        membership = report.membership
        if membership is None:
            reason = f"{member.id} is in no replica"
        elif membership.key != replica.key:
            reason = f"{member.id} is in {membership.key.replica}"
        elif membership.state is model.MemberState.BROKEN:
            reason = f"{member.id} is broken"
        elif membership.state is model.MemberState.CLOSING:
            closing = f"{member.id} is closing"
    if silent:
        reason = f"{', '.join(silent)} did not answer"
    return ProbeResult(
        tuple(silent), reason or closing, bool(reason), pace, queued
    )


class Prober:
    """Settles doubts about replicas.

    Attributes:
        fleet: What is believed; changed by what is found.
        gateway: Calls engines.
        flights: Streams, which are moved off replicas that can't serve.
        on_suspended: Told of each new suspension, to spread it.
        checking: Replicas that are being asked about.
    """

    def __init__(
        self,
        fleet: beliefs.Fleet,
        engines: gateway.Gateway,
        flights: flight.Flights,
        counts: metrics.Metrics,
        clock: Callable[[], float],
    ) -> None:
        self.fleet = fleet
        self.gateway = engines
        self.flights = flights
        self.metrics = counts
        self.clock = clock
        self.on_suspended: Callable[[beliefs.Suspension], None] = (
            lambda suspension: None
        )
        self.running_probes: dict[
            model.Key, asyncio.Task[ProbeResult | None]
        ] = {}
        self._rechecked: dict[str, float] = {}
        self._tasks = tasks.Tasks()

    def probe_silent_replicas(self) -> None:
        """Starts a round of questions for each replica that is silent."""
        now = self.clock()
        for key, silence_s in self.flights.silent(now):
            self.probe(key, f"silent for {silence_s:.2f} s too long")
        for name, since in list(self.fleet.silent.items()):
            if now - self._rechecked.get(name, since) > _RECHECK_SILENT_S:
                self._rechecked[name] = now
                self._tasks.start(self._recheck(name))

    def probe(
        self, key: model.Key, reason: str
    ) -> "asyncio.Task[ProbeResult | None]":
        """Asks a replica's members; returns the task that does."""
        found = self.running_probes.get(key)
        if found is None:
            found = asyncio.ensure_future(self._check(key, reason))
            self.running_probes[key] = found
            found.add_done_callback(
                lambda _: self.running_probes.pop(key, None)
            )
        return found

    def attempt_failed(self, key: model.Key) -> None:
        """Doubts a replica whose lead failed an attempt, but not for each."""
        since = self.clock() - self.flights.checked.get(key, float("-inf"))
        if since > _DOUBT_GAP_S:
            self.probe(key, "an attempt failed")

    def suspend(self, suspension: beliefs.Suspension, source: str) -> bool:
        """Takes a suspension; moves streams if it is news."""
        if not self.fleet.suspend(suspension):
            return False
        moved = self.flights.interrupt(suspension.key, suspension.reason)
        self.metrics.count("suspended", source)
        logs.event(
            "replica suspended",
            replica=suspension.key.replica,
            fence=suspension.key.fence,
            reason=suspension.reason,
            source=source,
            streams_moved=moved,
        )
        return True

    async def _check(self, key: model.Key, reason: str) -> ProbeResult | None:
        replica = self.fleet.replicas().get(key)
        now = self.clock()
        self.flights.checked[key] = now
        if replica is None:
            self.flights.interrupt(key, "the replica is gone")
            return None
        self.metrics.count("doubt")
        names = [member.id for _, member in replica.members]
        answers = await asyncio.gather(
            *(self._ask(member) for _, member in replica.members)
        )
        verdict = evaluate(replica, dict(zip(names, answers, strict=True)))
        now = self.clock()
        self.flights.checked[key] = now
        if not replica.is_complete and not verdict.reason:
            verdict = dataclasses.replace(
                verdict, reason="a member is gone", must_reform=True
            )
        if not verdict.reason and self._is_stuck(key, verdict, now):
            verdict = dataclasses.replace(
                verdict, reason=flight.STUCK, must_reform=True
            )
        for name in verdict.silent:
            self.fleet.silent.setdefault(name, now)
        logs.event(
            "replica asked",
            replica=key.replica,
            fence=key.fence,
            why=reason,
            found=verdict.reason or "all well",
            pace=verdict.pace,
        )
        if verdict.reason:
            suspension = beliefs.Suspension(
                key, now + _SUSPEND_S, verdict.silent, verdict.reason
            )
            if self.suspend(suspension, "asked"):
                self.on_suspended(suspension)
        return verdict

    def _is_stuck(
        self, key: model.Key, verdict: ProbeResult, now: float
    ) -> bool:
        """Returns whether nothing came for long, though all members answer.

        Where requests queue, ours may be among them, and its silence says
        nothing of those that run.
        """
        if verdict.queued:
            return False
        waiting = [
            each.waiting_since
            for each in self.flights.by_key.get(key, ())
            if each.waiting_since is not None
        ]
        if not waiting:
            return False
        since = max(min(waiting), self.flights.progress.get(key, 0.0))
        return now - since > _STUCK_S * max(1.0, verdict.pace)

    async def _ask(self, engine: model.EngineRecord) -> ReportResult:
        """Asks one engine; a round in which this process stalled is void."""
        for _ in range(_MOST_ROUNDS):
            started_at = self.clock()
            found = await self._ask_round(engine)
            took_s = self.clock() - started_at
            limit_s = (_TRIES - 1) * _STAGGER_S + _TRY_S + _MOST_LAG_S
            if pipeline.is_successful(found) or took_s < limit_s:
                break
        return found

    async def _ask_round(self, engine: model.EngineRecord) -> ReportResult:
        """Asks again and again without waiting for lost packets."""
        tries = [
            asyncio.ensure_future(self._try(engine, index * _STAGGER_S))
            for index in range(_TRIES)
        ]
        found: ReportResult = failures.failure(
            codes.UPSTREAM_UNREACHABLE, engine.id
        )
        try:
            for task in asyncio.as_completed(tries):
                found = await task
                if pipeline.is_successful(found):
                    break
        finally:
            for each in tries:
                each.cancel()
        return found

    async def _try(
        self, engine: model.EngineRecord, delay_s: float
    ) -> ReportResult:
        await asyncio.sleep(delay_s)
        return await self.gateway.report(engine, _TRY_S)

    async def _recheck(self, name: str) -> None:
        engine = self.fleet.engines.get(name)
        if engine is None:
            self.fleet.silent.pop(name, None)
            self._rechecked.pop(name, None)
            return
        found = await self.gateway.report(engine, _TRY_S)
        if pipeline.is_successful(found):
            self.fleet.silent.pop(name, None)
            self._rechecked.pop(name, None)
            logs.event("engine answers again", engine=name)
