"""What this instance holds to be true of engines and replicas."""

import collections
import dataclasses
from collections.abc import Iterable, Mapping

from tamarackpier.fleet import model
from tamarackpier.routing import model as routing_model

__all__ = ["FleetView", "Observation", "Suspension"]

STORE_RETURN_GRACE_S = 2.5  # The users' request: entries are back within 2 s.
OBSERVATION_KEEP_S = (
    1.5  # How long an answer goes before a row; several questions.
)
OBSERVATION_FRESH_S = (
    0.8  # An engine is joined on an answer of this age at most.
)
_MOST_SUSPENSIONS = 4096


@dataclasses.dataclass(frozen=True)
class Suspension:
    """Says that a replica gets no requests for a while.

    Attributes:
        key: The replica.
        until: End on the monotonic clock.
        silent: Members that did not answer.
        reason: Why, for the log.
    """

    key: model.ReplicaKey
    until: float
    silent: tuple[str, ...]
    reason: str


@dataclasses.dataclass
class Observation:
    """What an engine said itself, while rows may be out of date.

    Attributes:
        at: When, on the monotonic clock.
        before: The engine by its row, when it was first asked.
        row: A row that has come since; it counts once the answer is old.
    """

    at: float
    before: model.EngineRecord
    row: model.EngineRecord | None = None


class FleetView:
    """Engines by their rows, and evidence that goes before the rows.

    Attributes:
        engines: Known engines by id.
        lapsed: Engines whose row went while the store was not to be trusted,
            with when they count as gone.
        suspended: Replicas that stopped moving.
        silent: Engines that did not answer when asked, with since when.
        span_of: Span by service and model.
        trusted_from: When rows are to be trusted again.
        doubters: Who cannot reach the store: rows may be out of date.
        observed: Engines that were asked while rows were doubtful.
    """

    def __init__(self) -> None:
        self.engines: dict[str, model.EngineRecord] = {}
        self.pending_removals: dict[str, float] = {}
        self.suspended: dict[model.ReplicaKey, Suspension] = {}
        self.silent: dict[str, float] = {}
        self.spans: dict[tuple[str, str], int] = {}
        self.rows_fresh_from = 0.0
        self.store_unreachable_for: set[str] = set()
        self.observed: dict[str, Observation] = {}
        self._replicas: dict[model.ReplicaKey, model.Replica] | None = None
        self._open: dict[tuple[str, str], list[model.Replica]] | None = None
        self._by_service: dict[str, list[model.EngineRecord]] | None = None

    def set_services(
        self, services: Mapping[str, routing_model.ServiceSpec]
    ) -> None:
        """Takes the spans of models from a configuration."""
        self.spans = {
            (service.name, each.name): each.span
            for service in services.values()
            if service.engine is not None
            for each in service.engine.models
        }
        self._forget_views()

    def mark_store_unreachable(self, doubter: str) -> None:
        """Notes that the store does not answer somebody."""
        self.store_unreachable_for.add(doubter)

    def mark_store_reachable(self, doubter: str, now: float) -> None:
        """Notes that the store answers again after it did not."""
        if doubter in self.store_unreachable_for:
            self.store_unreachable_for.remove(doubter)
            self.rows_fresh_from = now + STORE_RETURN_GRACE_S

    def mark_rows_stale(self, now: float) -> None:
        """Notes that the store may have been away without our knowing."""
        self.rows_fresh_from = max(
            self.rows_fresh_from, now + STORE_RETURN_GRACE_S
        )

    def may_be_stale(self, now: float) -> bool:
        """Returns whether rows may say what is no longer so."""
        return bool(self.store_unreachable_for) or now < self.rows_fresh_from

    def is_current(self, engine_id: str, now: float) -> bool:
        """Returns whether an engine's present state is known for sure."""
        if not self.may_be_stale(now):
            return True
        observation = self.observed.get(engine_id)
        return (
            observation is not None
            and now - observation.at < OBSERVATION_FRESH_S
        )

    def observe(self, report: model.EngineReport, at: float) -> None:
        """Takes what an engine said itself, unless it is another start."""
        known = self.engines.get(report.id)
        if known is None or report.incarnation != known.incarnation:
            return
        observation = self.observed.get(report.id)
        if observation is None:
            observation = Observation(at, known)
            self.observed[report.id] = observation
        elif at < observation.at:
            return
        observation.at = at
        self.engines[report.id] = dataclasses.replace(
            known,
            model=report.model,
            staged=report.staged,
            membership=report.membership,
        )
        self._forget_views()

    def newer_than_rows(self) -> list[tuple[model.EngineRecord, float]]:
        """Returns engines whose rows are out of date, with when each said."""
        return [
            (self.engines[name], each.at)
            for name, each in self.observed.items()
            if self.engines[name] != each.before
        ]

    def put(self, record: model.EngineRecord) -> None:
        """Takes an engine's row, unless it tells of an earlier life."""
        known = self.engines.get(record.id)
        if known is not None and record.incarnation < known.incarnation:
            return
        if known is not None and record.incarnation > known.incarnation:
            self.silent.pop(record.id, None)
            self.observed.pop(record.id, None)
        self.pending_removals.pop(record.id, None)
        observation = self.observed.get(record.id)
        if known is not None and observation is not None:
            observation.row = record
            record = dataclasses.replace(
                record,
                model=known.model,
                staged=known.staged,
                membership=known.membership,
            )
        self.engines[record.id] = record
        self._forget_views()

    def remove(self, engine_id: str, now: float) -> None:
        """Notes that an engine's row is gone."""
        if engine_id not in self.engines:
            return
        if now < self.rows_fresh_from:
            self.pending_removals.setdefault(engine_id, self.rows_fresh_from)
            return
        self._drop(engine_id)

    def replace(
        self, records: Iterable[model.EngineRecord], now: float
    ) -> None:
        """Takes all rows at once; engines without one are gone."""
        present = set()
        for record in records:
            present.add(record.id)
            self.put(record)
        for engine_id in [each for each in self.engines if each not in present]:
            self.remove(engine_id, now)

    def expire(self, now: float) -> list[str]:
        """Ends what has had its time; returns engines that are now gone."""
        gone = [each for each, at in self.pending_removals.items() if at <= now]
        for engine_id in gone:
            self._drop(engine_id)
        ended = [
            key for key, each in self.suspended.items() if each.until <= now
        ]
        for key in ended:
            del self.suspended[key]
        self._forget_answers(now)
        return gone

    def suspend(self, suspension: Suspension) -> bool:
        """Keeps requests from a replica; returns whether that is news."""
        known = self.suspended.get(suspension.key)
        if known is not None and known.until >= suspension.until:
            return False
        if known is None and len(self.suspended) >= _MOST_SUSPENSIONS:
            return False
        self.suspended[suspension.key] = suspension
        return known is None

    def replicas(self) -> Mapping[model.ReplicaKey, model.Replica]:
        """Returns all replicas that any engine names."""
        if self._replicas is None:
            self._replicas = self._assemble()
        return self._replicas

    def serving(self, service: str, name: str) -> list[model.Replica]:
        """Returns the replicas of a model that requests may go to."""
        return [
            each
            for each in self._open_replicas().get((service, name), [])
            if each.key not in self.suspended
            and not any(member.id in self.silent for _, member in each.members)
        ]

    def engines_of_service(self, service: str) -> list[model.EngineRecord]:
        """Returns a service's engines that are not leaving."""
        if self._by_service is None:
            found = collections.defaultdict(list)
            for each in self.engines.values():
                if not each.is_leaving:
                    found[each.service].append(each)
            self._by_service = found
        return self._by_service.get(service, [])

    def _open_replicas(
        self,
    ) -> Mapping[tuple[str, str], list[model.Replica]]:
        if self._open is None:
            found = collections.defaultdict(list)
            for each in self.replicas().values():
                lead = each.lead
                if lead is not None and each.is_open:
                    found[lead.service, each.model].append(each)
            self._open = found
        return self._open

    def _assemble(self) -> dict[model.ReplicaKey, model.Replica]:
        members: dict[model.ReplicaKey, dict[int, model.EngineRecord]] = {}
        for each in self.engines.values():
            if each.membership is not None:
                ranks = members.setdefault(each.membership.key, {})
                ranks[each.membership.rank] = each
        found = {}
        for key, ranks in members.items():
            first = ranks[min(ranks)]
            span = self.spans.get((first.service, first.model), 0)
            found[key] = model.Replica(
                key, first.model, span, tuple(sorted(ranks.items()))
            )
        return found

    def _forget_answers(self, now: float) -> None:
        """Lets rows count again: trusted ones, and where an answer is old."""
        is_doubtful = self.may_be_stale(now)
        old = [
            name
            for name, each in self.observed.items()
            if not is_doubtful or now - each.at > OBSERVATION_KEEP_S
        ]
        for name in old:
            row = self.observed.pop(name).row
            if row is not None:
                self.engines[name] = row
        if old:
            self._forget_views()

    def _drop(self, engine_id: str) -> None:
        self.engines.pop(engine_id, None)
        self.observed.pop(engine_id, None)
        self.pending_removals.pop(engine_id, None)
        self.silent.pop(engine_id, None)
        self._forget_views()

    def _forget_views(self) -> None:
        self._replicas = None
        self._open = None
        self._by_service = None
