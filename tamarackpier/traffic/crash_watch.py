"""Finds out which failed attempts ended because their upstream ended.

A broken connection alone says nothing: engines also reset connections or break
off answers and go on. An attempt is a suspect of a death only if a process of
its upstream has ended without having announced it: its port is closed, it has
another incarnation, or its row disappears.
"""

import dataclasses
from collections.abc import Callable, Iterable, Mapping

from tamarackpier import logs, metrics
from tamarackpier import quarantine as quarantine_lib
from tamarackpier.fleet import model

__all__ = ["CrashWatch", "EndedAttempt", "Upstream", "replica_death"]

# The platform drops the row of a dead engine after 3.6 s; the rest is for a row
# store or peers that answer late.
_UNDECIDED_S = 10.0
# Time between two probes of an upstream of which the last told nothing.
_PROBE_INTERVAL_S = 0.5
_MAX_UPSTREAMS = 256
_MAX_ATTEMPTS_PER_UPSTREAM = 64


@dataclasses.dataclass(frozen=True)
class Upstream:
    """A replica, or an engine of a plain service, that ran an attempt.

    Attributes:
        key: Key of the replica; None for an engine of a plain service.
        engines: The members of the replica, or the engine, lead first.
    """

    key: model.ReplicaKey | None
    engines: tuple[model.EngineRecord, ...]

    @property
    def death(self) -> str:
        """Identifier of the death of this upstream, equal on all instances."""
        if self.key is not None:
            return replica_death(self.key)
        engine = self.engines[0]
        return f"{engine.id}@{engine.incarnation}"


def replica_death(key: model.ReplicaKey) -> str:
    """Returns the identifier of the death of a replica."""
    return f"{key.replica}@{key.fence}"


@dataclasses.dataclass(frozen=True)
class EndedAttempt:
    """An attempt that ended without a complete answer.

    Attributes:
        request_id: ID of the request.
        fingerprint: Fingerprint of the request.
        upstream: Upstream that may have run it.
        is_broken: Whether the connection broke or the answer was invalid,
            which justifies a probe; otherwise the attempt was given up.
        at: Time at which it ended, in seconds on the monotonic clock.
        part_fingerprints: Fingerprints of the shared parts of its prompt, by
            the part's ID.
    """

    request_id: str
    fingerprint: str
    upstream: Upstream
    is_broken: bool
    at: float
    part_fingerprints: Mapping[str, str] = dataclasses.field(
        default_factory=dict
    )

    @property
    def suspects(self) -> tuple[str, ...]:
        """Fingerprints of the request and of the parts of its prompt."""
        return (self.fingerprint, *self.part_fingerprints.values())


@dataclasses.dataclass
class _Undecided:
    """Attempts at one upstream that may have ended.

    Attributes:
        upstream: The upstream.
        attempts: The attempts.
        probed_at: Start of the last probe, in seconds on the monotonic clock.
        leaving: IDs of its engines that announced that they leave.
    """

    upstream: Upstream
    attempts: list[EndedAttempt]
    probed_at: float = float("-inf")
    leaving: set[str] = dataclasses.field(default_factory=set)


class CrashWatch:
    """Decides which ended attempts are suspects of a death.

    The argument `now` of the methods is the current time, in seconds on the
    monotonic clock.

    Attributes:
        quarantine: Receives a crash for each suspect.
        metrics: Counters of this instance.
        on_repeated: Called when a request is a suspect of another death.
        undecided: Attempts whose upstream may have ended, by its death.
        deaths: Time at which each recent death was found, by death.
    """

    def __init__(
        self, quarantine: quarantine_lib.Quarantine, counts: metrics.Metrics
    ) -> None:
        self.quarantine = quarantine
        self.metrics = counts
        self.on_repeated: Callable[[], object] = lambda: None
        self.undecided: dict[str, _Undecided] = {}
        self.deaths: dict[str, float] = {}

    def record(self, attempt: EndedAttempt, now: float) -> None:
        """Records an attempt that ended without a complete answer."""
        upstream = attempt.upstream
        if not upstream.engines or any(
            engine.is_leaving for engine in upstream.engines
        ):
            return
        if upstream.death in self.deaths:
            self._add_crashes(upstream, [attempt], now)
            return
        undecided = self.undecided.get(upstream.death)
        if undecided is None:
            if len(self.undecided) >= _MAX_UPSTREAMS:
                self.metrics.count("crash_undecided", "dropped")
                return
            undecided = _Undecided(upstream, [])
            self.undecided[upstream.death] = undecided
        if len(undecided.attempts) < _MAX_ATTEMPTS_PER_UPSTREAM:
            undecided.attempts.append(attempt)

    def due_for_probe(self, now: float) -> list[Upstream]:
        """Returns the upstreams to probe, and counts them as probed now."""
        due = [
            undecided
            for undecided in self.undecided.values()
            if now - undecided.probed_at >= _PROBE_INTERVAL_S
            and any(attempt.is_broken for attempt in undecided.attempts)
        ]
        for undecided in due:
            undecided.probed_at = now
        return [undecided.upstream for undecided in due]

    def apply_probe(
        self,
        death: str,
        ended: Iterable[str],
        is_well: bool,
        started_at: float,
        now: float,
    ) -> None:
        """Applies the result of a probe of all engines of an upstream.

        Args:
            death: Identifier of the upstream's death.
            ended: IDs of the engines whose process has ended.
            is_well: Whether all engines answered and none has ended.
            started_at: Start of the probe, in seconds on the monotonic clock.
            now: Current time.
        """
        undecided = self.undecided.get(death)
        if undecided is None:
            return
        undecided.probed_at = max(undecided.probed_at, started_at)
        if set(ended) - undecided.leaving:
            self.confirm(death, "its port is closed or it has restarted", now)
        elif is_well:
            undecided.attempts = [
                attempt
                for attempt in undecided.attempts
                if attempt.at > started_at
            ]
            if not undecided.attempts:
                del self.undecided[death]

    def check_rows(
        self, engines: Mapping[str, model.EngineRecord], now: float
    ) -> None:
        """Decides by the rows of engines, and expires what they don't decide.

        Args:
            engines: The known engines by ID.
            now: Current time.
        """
        for death, undecided in list(self.undecided.items()):
            reason = _ended_by_rows(undecided, engines)
            if reason:
                self.confirm(death, reason, now)
            elif now - undecided.attempts[-1].at > _UNDECIDED_S:
                self.metrics.count("crash_undecided", "expired")
                del self.undecided[death]
        for death, found_at in list(self.deaths.items()):
            if now - found_at > _UNDECIDED_S:
                del self.deaths[death]

    def confirm(self, death: str, reason: str, now: float) -> None:
        """Makes the attempts at an upstream that ended suspects of its death.

        Args:
            death: Identifier of the death.
            reason: How it was found, for the log.
            now: Current time.
        """
        undecided = self.undecided.pop(death, None)
        if undecided is None:
            return
        self.deaths[death] = now
        self.metrics.count("upstream_ended")
        logs.event(
            "upstream ended",
            death=death,
            engines=[engine.id for engine in undecided.upstream.engines],
            reason=reason,
            suspects=len(undecided.attempts),
        )
        self._add_crashes(undecided.upstream, undecided.attempts, now)

    def confirm_known(self, now: float) -> None:
        """Confirms the deaths that peers have found."""
        for death in set(self.undecided) & set(self.quarantine.suspects):
            self.confirm(death, "a peer found it", now)

    def _add_crashes(
        self, upstream: Upstream, attempts: list[EndedAttempt], now: float
    ) -> None:
        is_repeated = False
        for attempt in attempts:
            suspects = [
                suspect
                for suspect in attempt.suspects
                if not self.quarantine.is_protected(suspect, now)
            ]
            if not suspects:
                continue
            self.quarantine.add(
                quarantine_lib.Crash(suspect, upstream.death, now)
                for suspect in suspects
            )
            self.metrics.count("crash_suspect")
            is_repeated |= not self.quarantine.repeated.isdisjoint(suspects)
            logs.failure(
                "crash suspect",
                request=attempt.request_id,
                fingerprint=attempt.fingerprint,
                death=upstream.death,
                engine=upstream.engines[0].id,
                replica=upstream.key.replica if upstream.key else "",
                deaths=self._death_count(attempt.fingerprint, now),
                part_deaths={
                    part_id: self._death_count(suspect, now)
                    for part_id, suspect in attempt.part_fingerprints.items()
                },
                verdict=self.quarantine.verdict(
                    attempt.fingerprint,
                    now,
                    attempt.part_fingerprints.values(),
                ).value,
            )
        if is_repeated:
            self.on_repeated()

    def _death_count(self, suspect: str, now: float) -> int:
        return len(self.quarantine.counted_deaths(suspect, now))


def _ended_by_rows(
    undecided: _Undecided, engines: Mapping[str, model.EngineRecord]
) -> str:
    """Returns how the rows show an unannounced end; empty if they don't."""
    for engine in undecided.upstream.engines:
        row = engines.get(engine.id)
        if row is not None and row.incarnation == engine.incarnation:
            if row.is_leaving:
                undecided.leaving.add(engine.id)
        elif engine.id not in undecided.leaving:
            state = "disappeared" if row is None else "has another incarnation"
            return f"the row of {engine.id} {state}"
    return ""
