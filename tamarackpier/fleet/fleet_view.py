"""This instance's view of the engines and replicas."""

import collections
import dataclasses
import math
from collections.abc import Callable, Iterable, Mapping

from tamarackpier.fleet import (
    cold_engines,
    departures,
    evacuations,
    model,
)
from tamarackpier.routing import model as routing_model

__all__ = ["Answer", "FleetView", "Observation", "Suspension"]

# Time for which rows may be stale after the store is reachable again; by
# requirement, they are back within 2 s.
STORE_RETURN_GRACE_S = 2.5
# Default of the time in which requests must stop reaching an engine whose row
# is gone.
_DRAIN_S = 2.0
# Time for which an observation overrides a row; spans several probes.
OBSERVATION_KEEP_S = 1.5
# Maximum age of an observation for a decision about the engine.
OBSERVATION_FRESH_S = 0.8
# Maximum age of an answer for an order to join. A probe takes 0.13 s at most,
# and on a slow machine twice as long.
ANSWER_FRESH_S = 0.3
_MAX_SUSPENSIONS = 4096
# Time for which it is kept that a replica's members answered, since peers may
# pass on an older suspension. Outlasts all copies of one.
HEALTHY_KEEP_S = 5.0
_MAX_GONE_ENGINES = 4096


@dataclasses.dataclass(frozen=True)
class Suspension:
    """Excludes a replica from requests for a limited time.

    Attributes:
        key: Key of the replica.
        until: End of the suspension, in seconds on the monotonic clock.
        silent: IDs of the members that did not answer.
        reason: Reason for the suspension, for the log.
        silent_at: Time at which members were asked that did not answer, if
            only their silence speaks against the replica, in seconds on the
            monotonic clock; later answers of all members end the suspension.
            None if nothing ends it early.
    """

    key: model.ReplicaKey
    until: float
    silent: tuple[str, ...]
    reason: str
    silent_at: float | None = None


@dataclasses.dataclass
class Observation:
    """The answers of an engine to probes while its row may be stale.

    Attributes:
        observed_at: Time of the latest answer, in seconds on the monotonic
            clock.
        initial_row: Row of the engine when it was first probed.
        later_row: Latest row received since, which takes effect when the
            observation expires; None if there is none.
        kept_until: Time until which the engine's state is kept even without
            an answer, in seconds on the monotonic clock.
    """

    observed_at: float
    initial_row: model.EngineRecord
    later_row: model.EngineRecord | None = None
    kept_until: float = -math.inf


@dataclasses.dataclass(frozen=True)
class Answer:
    """What an engine last said of its place in a replica.

    Attributes:
        asked_at: Time of the question, in seconds on the monotonic clock.
        membership: Place in its replica; None if it is in none.
    """

    asked_at: float
    membership: model.Membership | None


class FleetView:
    """Engines by their rows, and observations that override the rows.

    Rows come from the platform's store. While the store is unreachable they
    may be stale, and an engine's own answer overrides its row.

    Attributes:
        engines: Known engines by ID.
        pending_removals: Time at which each engine is removed whose row
            disappeared while rows may have been stale, by ID, in seconds on
            the monotonic clock.
        suspended: Suspensions by replica.
        healthy: Time at which the members of each replica were last asked that
            all answered that they are well, after a silence of theirs, in
            seconds on the monotonic clock.
        silent: Time since which each engine that does not answer probes has
            been silent, by ID, in seconds on the monotonic clock.
        spans: Number of members of a complete replica, by service and model.
        drain_s: Seconds in which requests must stop reaching an engine whose
            row is gone.
        rows_fresh_from: Time from which rows are reliable again, in seconds on
            the monotonic clock.
        rows_back_by: Time by which the rows are back that lapsed while the
            store was away, in seconds on the monotonic clock; until then an
            engine without a row is kept.
        store_unreachable_for: Names of the components that cannot reach the
            store; while there is one, rows may be stale.
        observations: Observations by engine ID, made while rows may be stale.
        answers: Latest answers of the engines to this instance, by ID.
        gone: Incarnation of each engine that was removed last, by ID.
        doubtful_rows: Rows in a restored store of engines that are gone, by ID;
            they take effect when rows are reliable again.
        restored_until: Time until which rows may be those of a copy from which
            the store was restored, in seconds on the monotonic clock.
        departures: Engines that said that they leave, whatever their rows say.
        evacuations: Availability zones whose engines get no requests.
        cold: Engines that take few requests for a while.
        services: Services of the configuration, by name.
        served_since: Returns the time since which the store has answered some
            instance, in seconds on the monotonic clock; infinity if unknown.
    """

    def __init__(self, drain_s: float = _DRAIN_S) -> None:
        self.drain_s = drain_s
        self.served_since: Callable[[], float] = lambda: math.inf
        self.rows_back_by = -math.inf
        self.engines: dict[str, model.EngineRecord] = {}
        self.pending_removals: dict[str, float] = {}
        self.suspended: dict[model.ReplicaKey, Suspension] = {}
        self.healthy: dict[model.ReplicaKey, float] = {}
        self.silent: dict[str, float] = {}
        self.spans: dict[tuple[str, str], int] = {}
        self.rows_fresh_from = 0.0
        self.store_unreachable_for: set[str] = set()
        self.observations: dict[str, Observation] = {}
        self.answers: dict[str, Answer] = {}
        self.gone: dict[str, int] = {}
        self.doubtful_rows: dict[str, model.EngineRecord] = {}
        self.restored_until = -math.inf
        self.departures = departures.Departures()
        self.evacuations = evacuations.Evacuations()
        self.cold = cold_engines.ColdEngines()
        self.services: Mapping[str, routing_model.ServiceSpec] = {}
        self._replicas: dict[model.ReplicaKey, model.Replica] | None = None
        self._open: dict[tuple[str, str], list[model.Replica]] | None = None
        self._by_service: dict[str, list[model.EngineRecord]] | None = None
        self._zones: dict[str, set[str]] | None = None

    def set_services(
        self, services: Mapping[str, routing_model.ServiceSpec]
    ) -> None:
        """Sets the services and the spans of their models."""
        self.services = services
        self.spans = {
            (service.name, spec.name): spec.span
            for service in services.values()
            if service.engine is not None
            for spec in service.engine.models
        }
        self._invalidate_caches()

    def mark_store_unreachable(self, component: str) -> None:
        """Records that a component cannot reach the store."""
        self.store_unreachable_for.add(component)

    def mark_store_reachable(
        self, component: str, now: float, returned_at: float | None = None
    ) -> None:
        """Records that a component can reach the store again.

        Rows may be stale for another `STORE_RETURN_GRACE_S`.

        Args:
            component: Name of the component.
            now: Current time.
            returned_at: Time since which the store is known to answer; None
                for the current time.
        """
        if component in self.store_unreachable_for:
            self.store_unreachable_for.remove(component)
            since = now if returned_at is None else min(now, returned_at)
            self.rows_fresh_from = max(
                self.rows_fresh_from, since + STORE_RETURN_GRACE_S
            )
            self.keep_engines_without_row(since)

    def mark_rows_stale(self, now: float) -> None:
        """Records that rows may show an earlier state of the engines.

        A row that is gone is that of an engine that is gone all the same.
        """
        self.rows_fresh_from = max(
            self.rows_fresh_from, now + STORE_RETURN_GRACE_S
        )

    def keep_engines_without_row(self, since: float) -> None:
        """Keeps engines whose row lapsed while the store was away.

        An instance may notice late that the store is back, or may have been
        alone in not reaching it; rows are back since it answered others.

        Args:
            since: Time since which the store is known to answer this instance,
                in seconds on the monotonic clock.
        """
        self._keep_until_rows_are_back(min(since, self.served_since()))

    def mark_rows_restored(self, now: float) -> None:
        """Records that the store was restored, so that rows may be older.

        What is known of the engines is kept until rows are reliable again;
        engines write them again.
        """
        self.mark_rows_stale(now)
        self._keep_until_rows_are_back(now)
        self.restored_until = self.rows_fresh_from
        for engine_id, engine in self.engines.items():
            observation = self.observations.setdefault(
                engine_id, Observation(-math.inf, engine)
            )
            observation.kept_until = self.rows_fresh_from

    def _keep_until_rows_are_back(self, since: float) -> None:
        self.rows_back_by = max(
            self.rows_back_by,
            since + min(self.drain_s, STORE_RETURN_GRACE_S),
        )

    def may_be_stale(self, now: float) -> bool:
        """Returns whether rows may be stale."""
        return bool(self.store_unreachable_for) or now < self.rows_fresh_from

    def is_current(self, engine_id: str, now: float) -> bool:
        """Returns whether the present state of an engine is known.

        That is so while rows are reliable, and for engines with a fresh
        observation.
        """
        if not self.may_be_stale(now):
            return True
        observation = self.observations.get(engine_id)
        return (
            observation is not None
            and now - observation.observed_at < OBSERVATION_FRESH_S
        )

    def observe(self, report: model.EngineReport, at: float) -> None:
        """Applies an engine's report, unless it is of another incarnation.

        Reports are some 100 ms old, so the weights in a reliable row are newer.

        Args:
            report: Answer of the engine.
            at: Time of the answer, in seconds on the monotonic clock; an
                answer older than the latest is ignored.
        """
        engine = self.engines.get(report.id)
        if engine is None or report.incarnation != engine.incarnation:
            return
        observation = self.observations.get(report.id)
        if observation is None:
            observation = Observation(at, engine)
            self.observations[report.id] = observation
        elif at < observation.observed_at:
            return
        observation.observed_at = at
        engine = dataclasses.replace(engine, membership=report.membership)
        if self.may_be_stale(at):
            engine = dataclasses.replace(
                engine, model=report.model, staged=report.staged
            )
        self.engines[report.id] = engine
        self._invalidate_caches()

    def record_answer(
        self,
        report: model.EngineReport,
        asked_at: float,
        known: model.EngineRecord,
    ) -> None:
        """Records an engine's answer to a question of this instance.

        The answer also counts as an observation, unless a row that may be
        newer has come meanwhile.

        Args:
            report: The answer.
            asked_at: Time of the question, in seconds on the monotonic clock.
            known: The engine as it was known when it was asked.
        """
        engine = self.engines.get(report.id)
        if engine is None or report.incarnation != engine.incarnation:
            return
        self.answers[report.id] = Answer(asked_at, report.membership)
        if engine == known or self.may_be_stale(asked_at):
            self.observe(report, asked_at)

    def has_answered_free(
        self,
        engine_id: str,
        since: float,
        now: float,
        max_age_s: float = ANSWER_FRESH_S,
    ) -> bool:
        """Returns whether an engine has just said that it is in no replica.

        A row doesn't show that: an engine that can't reach the store has
        written nothing since, and one that has left may have joined again by
        an order that it carried out late.

        Args:
            engine_id: ID of the engine.
            since: Time after which it must have been asked, in seconds on the
                monotonic clock.
            now: Current time, in seconds on the monotonic clock.
            max_age_s: Age from which the answer no longer counts, in seconds.
        """
        answer = self.answers.get(engine_id)
        return (
            answer is not None
            and answer.membership is None
            and answer.asked_at > since
            and now - answer.asked_at < max_age_s
        )

    def engines_newer_than_rows(self) -> list[tuple[model.EngineRecord, float]]:
        """Returns engines whose observed state differs from their initial row.

        Returns:
            Pairs of engine and time of its answer, in seconds on the monotonic
            clock.
        """
        return [
            (self.engines[engine_id], observation.observed_at)
            for engine_id, observation in self.observations.items()
            if self.engines[engine_id] != observation.initial_row
            and observation.observed_at > -math.inf
        ]

    def put(self, record: model.EngineRecord) -> None:
        """Stores an engine's row, unless it is of an earlier incarnation."""
        engine = self.engines.get(record.id)
        if engine is not None and record.incarnation < engine.incarnation:
            return
        record = self._with_departure(record)
        if engine is not None and record.incarnation > engine.incarnation:
            self.silent.pop(record.id, None)
            self.observations.pop(record.id, None)
            self.answers.pop(record.id, None)
        self.pending_removals.pop(record.id, None)
        self.doubtful_rows.pop(record.id, None)
        self.gone.pop(record.id, None)
        observation = self.observations.get(record.id)
        if engine is not None and observation is not None:
            observation.later_row = record
            was_restored = observation.kept_until > observation.observed_at
            record = dataclasses.replace(
                record,
                is_leaving=record.is_leaving
                or (was_restored and engine.is_leaving),
                model=engine.model,
                staged=engine.staged,
                membership=engine.membership,
            )
        self.engines[record.id] = record
        self._invalidate_caches()

    def record_departure(self, departure: departures.Departure) -> bool:
        """Records that an engine said that it leaves.

        Returns:
            Whether that is new.
        """
        if not self.departures.record(departure):
            return False
        engine = self.engines.get(departure.engine_id)
        if engine is not None:
            self.engines[engine.id] = self._with_departure(engine)
            self._invalidate_caches()
        return True

    def departures_to_send(self) -> list[departures.Departure]:
        """Returns the departures that a message to a peer carries."""
        return self.departures.latest_of(self.engines)

    def remove(self, engine_id: str, now: float) -> None:
        """Records that an engine's row is gone.

        The engine is removed at once, or by when rows are back that lapsed
        while the store was away.
        """
        self.doubtful_rows.pop(engine_id, None)
        if engine_id not in self.engines:
            return
        if now < self.rows_back_by:
            self.pending_removals.setdefault(engine_id, self.rows_back_by)
            return
        self._remove_engine(engine_id)

    def replace(
        self, records: Iterable[model.EngineRecord], now: float
    ) -> None:
        """Replaces all rows; engines that are not among them are removed.

        In a restored store, an engine that is gone may have a row again. It
        counts only if the engine writes it again, or keeps it.
        """
        present_ids = set()
        for record in records:
            present_ids.add(record.id)
            is_gone = self.gone.get(record.id) == record.incarnation
            if is_gone and now < self.restored_until:
                self.doubtful_rows[record.id] = record
            else:
                self.put(record)
        known_ids = {*self.engines, *self.doubtful_rows}
        for engine_id in sorted(known_ids - present_ids):
            self.remove(engine_id, now)

    def expire(self, now: float) -> list[str]:
        """Drops expired suspensions and observations, and engines that are due.

        An engine is due at its time in `pending_removals`.

        Returns:
            IDs of the engines that were removed.
        """
        removed = [
            engine_id
            for engine_id, due_at in self.pending_removals.items()
            if due_at <= now
        ]
        for engine_id in removed:
            self._remove_engine(engine_id)
        if self.doubtful_rows and now >= self.restored_until:
            for record in list(self.doubtful_rows.values()):
                self.put(record)
        expired_keys = [
            key
            for key, suspension in self.suspended.items()
            if suspension.until <= now
        ]
        for key in expired_keys:
            del self.suspended[key]
        expired_keys = [
            key
            for key, asked_at in self.healthy.items()
            if asked_at + HEALTHY_KEEP_S <= now
        ]
        for key in expired_keys:
            del self.healthy[key]
        self._expire_observations(now)
        return removed

    def suspend(self, suspension: Suspension) -> bool:
        """Suspends a replica, or extends its suspension.

        A silence from before the last answers of all members has no effect.

        Returns:
            Whether a suspension began; False if the replica was suspended
            before, or if too many replicas are suspended to add it.
        """
        key = suspension.key
        healthy_at = self.healthy.get(key, -math.inf)
        if suspension.silent_at is not None and (
            suspension.silent_at <= healthy_at
        ):
            return False
        previous = self.suspended.get(key)
        if previous is not None:
            self.suspended[key] = _merge(previous, suspension)
            return False
        if len(self.suspended) >= _MAX_SUSPENSIONS:
            return False
        self.suspended[key] = suspension
        return True

    def record_healthy(self, key: model.ReplicaKey, asked_at: float) -> bool:
        """Records that all members of a replica answered that they are well.

        Ends a suspension for an earlier silence.

        Args:
            key: Key of the replica.
            asked_at: Time at which they were asked, in seconds on the
                monotonic clock.

        Returns:
            Whether a suspension ended.
        """
        if key in self.healthy or len(self.healthy) < _MAX_SUSPENSIONS:
            self.healthy[key] = max(asked_at, self.healthy.get(key, -math.inf))
        suspension = self.suspended.get(key)
        if (
            suspension is None
            or suspension.silent_at is None
            or suspension.silent_at >= asked_at
        ):
            return False
        del self.suspended[key]
        return True

    def replicas(self) -> Mapping[model.ReplicaKey, model.Replica]:
        """Returns the replicas that any engine is a member of, by key."""
        if self._replicas is None:
            self._replicas = self._assemble_replicas()
        return self._replicas

    def serving(self, service: str, model_name: str) -> list[model.Replica]:
        """Returns the replicas of a model that may receive requests."""
        return [
            replica
            for replica in self._open_replicas().get((service, model_name), [])
            if replica.key not in self.suspended
            and not self.is_evacuated(replica.members[0][1])
            and not any(
                engine.id in self.silent for _, engine in replica.members
            )
        ]

    def is_evacuated(self, engine: model.EngineRecord) -> bool:
        """Returns whether an engine gets no requests as its zone is evacuated.

        All members of a replica are in one zone.
        """
        return engine.availability_zone in self.evacuations.zones()

    def engines_of_service(self, service: str) -> list[model.EngineRecord]:
        """Returns the engines of a service that may receive requests.

        Those that leave, or are in an evacuated zone, are left out.
        """
        engines = self.staying_engines(service)
        if not self.evacuations.zones():
            return engines
        return [engine for engine in engines if not self.is_evacuated(engine)]

    def mark_returned_cold(self, zone: str, now: float) -> None:
        """Records that a zone's engines are cold, as its evacuation ended."""
        for engine in self.engines.values():
            service = self.services.get(engine.service)
            if engine.availability_zone == zone and service is not None:
                self.cold.record(
                    engine.id, engine.incarnation, service.cold_s, now
                )

    def staying_engines(self, service: str) -> list[model.EngineRecord]:
        """Returns the engines of a service that are not leaving."""
        if self._by_service is None:
            by_service = collections.defaultdict(list)
            for engine in self.engines.values():
                if not engine.is_leaving:
                    by_service[engine.service].append(engine)
            self._by_service = by_service
        return self._by_service.get(service, [])

    def zones_of_service(self, service: str) -> set[str]:
        """Returns the availability zones with an engine of a service."""
        if self._zones is None:
            zones = collections.defaultdict(set)
            for engine in self.engines.values():
                zones[engine.service].add(engine.availability_zone)
            self._zones = zones
        return self._zones.get(service, set())

    def _open_replicas(
        self,
    ) -> Mapping[tuple[str, str], list[model.Replica]]:
        """Returns the open replicas by service and model."""
        if self._open is None:
            by_model = collections.defaultdict(list)
            for replica in self.replicas().values():
                lead = replica.lead
                if lead is not None and replica.is_open:
                    by_model[lead.service, replica.model].append(replica)
            self._open = by_model
        return self._open

    def _assemble_replicas(self) -> dict[model.ReplicaKey, model.Replica]:
        members: dict[model.ReplicaKey, dict[int, model.EngineRecord]] = {}
        for engine in self.engines.values():
            if engine.membership is not None:
                by_rank = members.setdefault(engine.membership.key, {})
                by_rank[engine.membership.rank] = engine
        replicas = {}
        for key, by_rank in members.items():
            first = by_rank[min(by_rank)]
            span = self.spans.get((first.service, first.model), 0)
            replicas[key] = model.Replica(
                key, first.model, span, tuple(sorted(by_rank.items()))
            )
        return replicas

    def _expire_observations(self, now: float) -> None:
        """Ends observations that are too old, or all if rows are reliable.

        The engine's later row takes effect; without one, its observed state
        stays.
        """
        may_be_stale = self.may_be_stale(now)
        expired_ids = [
            engine_id
            for engine_id, observation in self.observations.items()
            if not may_be_stale
            or now
            > max(
                observation.observed_at + OBSERVATION_KEEP_S,
                observation.kept_until,
            )
        ]
        for engine_id in expired_ids:
            row = self.observations.pop(engine_id).later_row
            if row is not None:
                self.engines[engine_id] = self._with_departure(row)
        if expired_ids:
            self._invalidate_caches()

    def _with_departure(self, record: model.EngineRecord) -> model.EngineRecord:
        """Returns a record that says so if its engine said that it leaves."""
        if record.is_leaving or not self.departures.applies_to(record):
            return record
        return dataclasses.replace(record, is_leaving=True)

    def _remove_engine(self, engine_id: str) -> None:
        engine = self.engines.pop(engine_id, None)
        if engine is not None:
            self.gone[engine_id] = engine.incarnation
            if len(self.gone) > _MAX_GONE_ENGINES:
                del self.gone[next(iter(self.gone))]
        self.observations.pop(engine_id, None)
        self.answers.pop(engine_id, None)
        self.pending_removals.pop(engine_id, None)
        self.silent.pop(engine_id, None)
        self._invalidate_caches()

    def _invalidate_caches(self) -> None:
        self._replicas = None
        self._open = None
        self._by_service = None
        self._zones = None


def _merge(previous: Suspension, suspension: Suspension) -> Suspension:
    """Returns the suspension that two of one replica amount to."""
    lasting = [one for one in (previous, suspension) if one.silent_at is None]
    later = max(previous, suspension, key=lambda one: one.until)
    if lasting:
        return dataclasses.replace(lasting[0], until=later.until)
    silent_at = max(previous.silent_at or 0.0, suspension.silent_at or 0.0)
    return dataclasses.replace(later, silent_at=silent_at)
