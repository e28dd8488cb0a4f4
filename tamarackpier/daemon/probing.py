"""Probes the members of replicas that may have failed.

A probe round asks every member of a replica for a report. A replica that
cannot serve is suspended, and its streams move to other replicas.
"""

import asyncio
import dataclasses
import math
from collections.abc import Awaitable, Callable, Iterable, Sequence

from absl import logging
from returns import pipeline, result

from tamarackpier import codes, failures, logs, metrics, tasks
from tamarackpier.fleet import fleet_view, model
from tamarackpier.traffic import stream_attempts
from tamarackpier.upstream import gateway

__all__ = ["Prober", "ProbeResult", "evaluate"]

# Faults that show that an engine's process has ended.
_ENDED_CODES = (codes.CONNECTION_REFUSED, codes.UPSTREAM_REPLACED)
_TRY_COUNT = 3
# Delay between two tries. An answer takes 5 ms; a lost packet delays it by 1 s.
_STAGGER_S = 0.03
_TRY_TIMEOUT_S = 0.07
# If the event loop lags more, a missing answer proves nothing.
_MAX_LOOP_LAG_S = 0.04
_MAX_SERIES = 3  # Maximum number of series of tries for one engine.
_SUSPENSION_S = 3.0  # The platform drops a dead engine's row after 3.6 s.
# Time between two checks whether streams held at silent replicas can move.
_HELD_CHECK_S = 0.2
# Time between two probes of an engine that did not answer.
_RECHECK_INTERVAL_S = 0.7
# The same while the engine's replica is suspended for its silence.
_SUSPENDED_RECHECK_INTERVAL_S = 0.15
# Time by which two peers' copies of one suspension may differ, since they don't
# pass it on at once.
_COPY_TOLERANCE_S = 0.25
# Time after a probe round during which failed attempts and polls start none.
_FAILURE_PROBE_INTERVAL_S = 0.3
# Age of a replica's data up to which it contradicts a peer that found members
# silent. Own streams show a loss within this time.
_RECENT_DATA_S = 0.3


@dataclasses.dataclass(frozen=True)
class ProbeResult:
    """Result of a probe round on a replica.

    Attributes:
        silent: IDs of the members that did not answer.
        reason: Why the replica cannot serve; empty if it can.
        must_reform: Whether the replica has to be formed anew.
        pace: Slowdown factor of the slowest member; at least 1.
        queued: Number of requests that wait for a slot at the replica's lead.
        ended: IDs of the members whose process has ended: their port is closed,
            or they have started again.
        is_lost: Whether it is proved that the replica won't go on. Silence
            proves nothing.
    """

    silent: tuple[str, ...]
    reason: str
    must_reform: bool
    pace: float
    queued: int = 0
    ended: tuple[str, ...] = ()
    is_lost: bool = False


ReportResult = result.Result[model.EngineReport, codes.Fault]


def evaluate(
    replica: model.Replica, reports: dict[str, ReportResult]
) -> ProbeResult:
    """Decides from the answers of its members whether a replica can serve.

    Args:
        replica: The replica.
        reports: Report of each member, or the fault instead, by engine ID.
    """
    silent = []
    ended = []
    reason = ""
    closing_reason = ""
    pace = 1.0
    queued = 0
    for rank, member in replica.members:
        report_result = reports[member.id]
        if has_ended(member, report_result):
            ended.append(member.id)
        if not pipeline.is_successful(report_result):
            silent.append(member.id)
            continue
        report = report_result.unwrap()
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
            closing_reason = f"{member.id} is closing"
    is_lost = bool(ended or reason)
    if silent:
        reason = f"{', '.join(silent)} did not answer"
    return ProbeResult(
        tuple(silent),
        reason or closing_reason,
        bool(reason),
        pace,
        queued,
        tuple(ended),
        is_lost,
    )


def has_ended(engine: model.EngineRecord, report_result: ReportResult) -> bool:
    """Returns whether a probe shows that an engine's process has ended.

    Args:
        engine: The engine, as it was known before.
        report_result: Its report, or the fault instead.
    """
    if not pipeline.is_successful(report_result):
        return report_result.failure().code in _ENDED_CODES
    return report_result.unwrap().incarnation > engine.incarnation


class Prober:
    """Probes replicas and suspends those that cannot serve.

    Attributes:
        fleet: The local view of engines; updated with probe results.
        gateway: Client for calls to engines.
        streams: Streams in flight; moved off replicas that cannot serve.
        on_suspended: Called with each new suspension, to notify peers.
        on_suspension_ended: Called with the key of a replica whose members
            answer again, to notify peers.
        on_probed: Called with the key of a replica after a probe, the result,
            and the start of the probe in seconds on the monotonic clock.
        confirm_links: Returns whether the silence of engines that were asked
            at a time, in seconds on the monotonic clock, is not that of own
            links.
        links_lost_at: Returns since when own links to engines are known to be
            lost, in seconds on the monotonic clock; None while they work.
        running_probes: The running probe of each replica, by key.
    """

    def __init__(
        self,
        fleet: fleet_view.FleetView,
        engine_gateway: gateway.Gateway,
        streams: stream_attempts.StreamAttempts,
        counts: metrics.Metrics,
        clock: Callable[[], float],
    ) -> None:
        self.fleet = fleet
        self.gateway = engine_gateway
        self.streams = streams
        self.metrics = counts
        self.clock = clock
        self.on_suspended: Callable[[fleet_view.Suspension], None] = (
            lambda suspension: None
        )
        self.on_suspension_ended: Callable[[model.ReplicaKey], None] = (
            lambda key: None
        )
        self.on_probed: Callable[
            [model.ReplicaKey, ProbeResult, float], None
        ] = lambda key, probe_result, started_at: None
        self.confirm_links: Callable[[float], Awaitable[bool]] = _confirm
        self.links_lost_at: Callable[[], float | None] = lambda: None
        self.running_probes: dict[
            model.ReplicaKey, asyncio.Task[ProbeResult | None]
        ] = {}
        self._rechecked_at: dict[str, float] = {}
        self._held_checked_at = 0.0
        self._tasks = tasks.Tasks()

    def close(self) -> None:
        """Ends all probes."""
        self._tasks.cancel()
        for probe_task in self.running_probes.values():
            probe_task.cancel()

    def probe_silent_replicas(self) -> None:
        """Starts a probe round for each silent replica and rechecks engines."""
        now = self.clock()
        if now - self._held_checked_at > _HELD_CHECK_S:
            self._held_checked_at = now
            self.streams.move_held()
        links_lost_at = self.links_lost_at()
        for key, silence_s in self.streams.silent(now):
            if links_lost_at is not None and self.streams.interrupt(
                key, stream_attempts.LINKS_LOST, sent_before=links_lost_at
            ):
                continue
            is_running = key in self.running_probes
            round_task = self.probe(
                key, f"silent for {silence_s:.2f} s too long"
            )
            if not is_running:
                round_task.add_done_callback(self._record_round_for_silence)
        for engine_id, silent_since in list(self.fleet.silent.items()):
            interval_s = _RECHECK_INTERVAL_S
            if self._suspension_for_silence(engine_id) is not None:
                interval_s = _SUSPENDED_RECHECK_INTERVAL_S
            if (
                now - self._rechecked_at.get(engine_id, silent_since)
                > interval_s
            ):
                self._rechecked_at[engine_id] = now
                self._tasks.start(self._recheck(engine_id))

    def _record_round_for_silence(
        self, round_task: "asyncio.Task[ProbeResult | None]"
    ) -> None:
        if round_task.cancelled():
            return
        error = round_task.exception()
        if error is not None:
            self.metrics.count("work_error", "probe round")
            logging.error("probe round failed: %r", error)
            return
        probe_result = round_task.result()
        if probe_result is not None and not probe_result.reason:
            self.streams.record_needless_round(self.clock())

    def probe(
        self, key: model.ReplicaKey, reason: str
    ) -> "asyncio.Task[ProbeResult | None]":
        """Starts a probe of a replica, or joins the running one.

        Returns:
            The task of the probe; its result is None if the replica is gone.
        """
        probe_task = self.running_probes.get(key)
        if probe_task is None:
            probe_task = asyncio.ensure_future(self._probe_replica(key, reason))
            self.running_probes[key] = probe_task
            probe_task.add_done_callback(
                lambda _: self.running_probes.pop(key, None)
            )
        return probe_task

    def probe_after_failure(self, key: model.ReplicaKey) -> None:
        """Probes a replica after a failed attempt or poll; rate-limited."""
        elapsed_s = self.clock() - self.streams.probed_at.get(
            key, float("-inf")
        )
        if elapsed_s > _FAILURE_PROBE_INTERVAL_S:
            self.probe(key, "an attempt failed")

    def suspend(self, suspension: fleet_view.Suspension, source: str) -> bool:
        """Applies a suspension; moves the replica's streams if it is new.

        Args:
            suspension: The suspension.
            source: Origin of the suspension, for metrics and the log.

        Returns:
            Whether the suspension is new.
        """
        return self.suspend_all([suspension], source) > 0

    def suspend_all(
        self, suspensions: Iterable[fleet_view.Suspension], source: str
    ) -> int:
        """Applies suspensions together, and then moves the streams.

        Args:
            suspensions: The suspensions; a stream moves to none of their
                replicas.
            source: Origin of the suspensions, for metrics and the log.

        Returns:
            The number of new suspensions.
        """
        new = [
            suspension
            for suspension in suspensions
            if self.fleet.suspend(suspension)
        ]
        for suspension in new:
            moved_count = self.streams.interrupt(
                suspension.key, suspension.reason
            )
            self.metrics.count("suspended", source)
            logs.event(
                "replica suspended",
                replica=suspension.key.replica,
                fence=suspension.key.fence,
                reason=suspension.reason,
                source=source,
                streams_moved=moved_count,
            )
        return len(new)

    def is_doubted(self, key: model.ReplicaKey) -> bool:
        """Returns whether it is being found out if a replica still serves."""
        return key in self.running_probes or self.streams.is_overdue(
            key, self.clock()
        )

    def make_lasting(self, key: model.ReplicaKey) -> None:
        """Suspends a replica that is given up, even if it answers again."""
        suspension = self.fleet.suspended.get(key)
        if suspension is not None and suspension.silent_at is None:
            return
        now = self.clock()
        lasting = fleet_view.Suspension(
            key,
            now + _SUSPENSION_S,
            suspension.silent if suspension is not None else (),
            suspension.reason if suspension is not None else "given up",
        )
        self.suspend(lasting, "given up")
        self.on_suspended(lasting)

    def end_suspension(
        self, key: model.ReplicaKey, asked_at: float, source: str
    ) -> bool:
        """Ends a suspension for silence, as all members answer again.

        Args:
            key: Key of the replica.
            asked_at: Time at which the members were asked, in seconds on the
                monotonic clock.
            source: Origin of the answers, for metrics and the log.

        Returns:
            Whether a suspension ended.
        """
        if not self.fleet.record_healthy(key, asked_at):
            return False
        self.metrics.count("suspension_ended", source)
        logs.event(
            "suspension ended",
            replica=key.replica,
            fence=key.fence,
            source=source,
        )
        return True

    def receive_healthy(
        self, key: model.ReplicaKey, asked_at: float, peer_id: str
    ) -> None:
        """Applies that a replica's members answered a peer after a silence.

        Members that are silent to this instance remain so until they have
        answered it; they are asked at once.
        """
        known_at = self.fleet.healthy.get(key)
        if known_at is not None and asked_at < known_at + _COPY_TOLERANCE_S:
            asked_at = min(asked_at, known_at)
        if self.end_suspension(key, asked_at, f"peer {peer_id}"):
            for _, member in self.fleet.replicas()[key].members:
                if member.id in self.fleet.silent:
                    self._rechecked_at[member.id] = -math.inf

    def receive_suspensions(
        self, suspensions: Iterable[fleet_view.Suspension], peer_id: str
    ) -> None:
        """Applies a peer's suspensions, unless own streams contradict them.

        A peer that has lost its links takes all engines for silent. A replica
        that sends data here is probed instead.
        """
        self.suspend_all(
            [
                self._with_known_silence(suspension)
                for suspension in suspensions
                if not self._contradicts(suspension)
            ],
            f"peer {peer_id}",
        )

    def _contradicts(self, suspension: fleet_view.Suspension) -> bool:
        """Returns whether own streams contradict a peer's suspension."""
        key = suspension.key
        data_age_s = self.clock() - self.streams.last_data_at.get(
            key, float("-inf")
        )
        if not suspension.silent or data_age_s >= _RECENT_DATA_S:
            return False
        self.metrics.count("suspension_doubted")
        self.probe_after_failure(key)
        return True

    def _with_known_silence(
        self, suspension: fleet_view.Suspension
    ) -> fleet_view.Suspension:
        """Returns a copy of a suspension with the time that is known.

        Each copy seems later by the time that the message took.
        """
        known = self.fleet.suspended.get(suspension.key)
        if (
            known is not None
            and known.silent_at is not None
            and suspension.silent_at is not None
            and suspension.silent_at < known.silent_at + _COPY_TOLERANCE_S
        ):
            return dataclasses.replace(suspension, silent_at=known.silent_at)
        return suspension

    async def _probe_replica(
        self, key: model.ReplicaKey, reason: str
    ) -> ProbeResult | None:
        replica = self.fleet.replicas().get(key)
        started_at = self.clock()
        self.streams.probed_at[key] = started_at
        if replica is None:
            self.streams.interrupt(key, "the replica is gone")
            return None
        self.metrics.count("doubt")
        engine_ids = [member.id for _, member in replica.members]
        report_results = await asyncio.gather(
            *(self.probe_engine(member) for _, member in replica.members)
        )
        probe_result = evaluate(
            replica, dict(zip(engine_ids, report_results, strict=True))
        )
        now = self.clock()
        self.streams.probed_at[key] = now
        if await self._is_inconclusive(report_results, started_at):
            self.metrics.count("probe_inconclusive")
            return None
        now = self.clock()
        if replica.lacks_member and not probe_result.reason:
            probe_result = dataclasses.replace(
                probe_result, reason="a member is gone", must_reform=True
            )
        is_stuck = self._is_stuck(key, probe_result, now)
        if not probe_result.reason and is_stuck and self.links_lost_at():
            # The peer that carries the streams may be what is stuck.
            self.streams.interrupt(key, stream_attempts.STUCK)
            is_stuck = False
        if not probe_result.reason and is_stuck:
            probe_result = dataclasses.replace(
                probe_result, reason=stream_attempts.STUCK, must_reform=True
            )
        for engine_id in probe_result.silent:
            self.fleet.silent.setdefault(engine_id, now)
        logs.event(
            "replica asked",
            replica=key.replica,
            fence=key.fence,
            why=reason,
            found=probe_result.reason or "all well",
            pace=probe_result.pace,
        )
        if probe_result.reason:
            # Also within a suspension: data may have come since it began.
            self.streams.interrupt(
                key, probe_result.reason, is_lost=probe_result.is_lost
            )
            suspension = fleet_view.Suspension(
                key,
                now + _SUSPENSION_S,
                probe_result.silent,
                probe_result.reason,
                started_at
                if probe_result.silent and not probe_result.is_lost
                else None,
            )
            if self.suspend(suspension, "asked"):
                self.on_suspended(suspension)
        else:
            self._record_healthy(replica, started_at)
            self.streams.move_unanswered(key, now, probe_result.queued > 0)
        self.on_probed(key, probe_result, started_at)
        return probe_result

    def _record_healthy(self, replica: model.Replica, asked_at: float) -> None:
        """Records that all members of a replica answered that they are well."""
        for _, member in replica.members:
            if self.fleet.silent.get(member.id, math.inf) < asked_at:
                del self.fleet.silent[member.id]
                self._rechecked_at.pop(member.id, None)
        suspension = self.fleet.suspended.get(replica.key)
        if (
            suspension is not None
            and suspension.silent_at is not None
            and self.end_suspension(replica.key, asked_at, "asked")
        ):
            self.on_suspension_ended(replica.key)

    def _suspension_for_silence(
        self, engine_id: str
    ) -> fleet_view.Suspension | None:
        """Returns the suspension of an engine's replica, if for silence."""
        engine = self.fleet.engines.get(engine_id)
        if engine is None or engine.membership is None:
            return None
        suspension = self.fleet.suspended.get(engine.membership.key)
        if suspension is None or suspension.silent_at is None:
            return None
        return suspension

    async def _is_inconclusive(
        self, report_results: Sequence[ReportResult], started_at: float
    ) -> bool:
        """Returns whether the silence of members may be that of own links.

        It is not if any member answers, unless links were found lost meanwhile:
        from then on peers ask, so that some members answer.
        """
        fault_codes = [
            report_result.failure().code
            for report_result in report_results
            if not pipeline.is_successful(report_result)
        ]
        if codes.PEER_UNAVAILABLE in fault_codes:
            return True
        links_lost_at = self.links_lost_at()
        if (
            fault_codes
            and links_lost_at is not None
            and links_lost_at > started_at
        ):
            return True
        if len(fault_codes) < len(report_results):
            return False
        return not await self.confirm_links(started_at)

    def _is_stuck(
        self, key: model.ReplicaKey, probe_result: ProbeResult, now: float
    ) -> bool:
        """Returns whether a replica makes no progress though members answer.

        If requests queue at the lead, the silent streams of this instance may
        be among them, and their silence says nothing about running requests.
        """
        if probe_result.queued:
            return False
        silence_s = now - self.streams.progress_at(key)
        stuck_after_s = stream_attempts.STUCK_AFTER_S
        return silence_s > stuck_after_s * max(1.0, probe_result.pace)

    async def probe_engine(self, engine: model.EngineRecord) -> ReportResult:
        """Probes one engine; repeats the tries if this process stalled."""
        for _ in range(_MAX_SERIES):
            started_at = self.clock()
            report_result = await self._request_report(engine)
            took_s = self.clock() - started_at
            limit_s = (
                (_TRY_COUNT - 1) * _STAGGER_S + _TRY_TIMEOUT_S + _MAX_LOOP_LAG_S
            )
            if pipeline.is_successful(report_result) or took_s < limit_s:
                break
        return report_result

    async def _request_report(self, engine: model.EngineRecord) -> ReportResult:
        """Requests a report with staggered tries, to hide lost packets."""
        request_tasks = [
            asyncio.ensure_future(
                self._request_after(engine, index * _STAGGER_S)
            )
            for index in range(_TRY_COUNT)
        ]
        report_result: ReportResult = failures.failure(
            codes.UPSTREAM_UNREACHABLE, engine.id
        )
        try:
            for completed in asyncio.as_completed(request_tasks):
                report_result = await completed
                if pipeline.is_successful(report_result):
                    break
        finally:
            for request_task in request_tasks:
                request_task.cancel()
        return report_result

    async def _request_after(
        self, engine: model.EngineRecord, delay_s: float
    ) -> ReportResult:
        due_at = self.clock() + delay_s
        await asyncio.sleep(delay_s)
        lag_s = self.clock() - due_at
        if delay_s and lag_s > 0:
            # The answer to an earlier try may have arrived meanwhile.
            await asyncio.sleep(min(lag_s, _MAX_LOOP_LAG_S))
        return await self.gateway.report(engine, _TRY_TIMEOUT_S)

    async def _recheck(self, engine_id: str) -> None:
        """Probes a silent engine; it is no longer silent if it answers."""
        engine = self.fleet.engines.get(engine_id)
        if engine is None:
            self.fleet.silent.pop(engine_id, None)
            self._rechecked_at.pop(engine_id, None)
            return
        report_result = await self.gateway.report(engine, _TRY_TIMEOUT_S)
        if pipeline.is_successful(report_result):
            self.fleet.silent.pop(engine_id, None)
            self._rechecked_at.pop(engine_id, None)
            logs.event("engine answers again", engine=engine_id)
            suspension = self._suspension_for_silence(engine_id)
            if suspension is not None and not any(
                silent_id in self.fleet.silent
                for silent_id in suspension.silent
            ):
                self.probe(suspension.key, f"{engine_id} answers again")


async def _confirm(asked_at: float) -> bool:
    """Confirms without a check that own links work."""
    return True
