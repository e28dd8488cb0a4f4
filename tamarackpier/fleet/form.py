"""Forms, retires and stages the replicas of one availability zone.

A planner keeps nothing that it could not derive again from the engines' rows:
a successor adopts whole replicas, takes back incomplete ones and goes on. What
makes that safe is the fencing number: it rises with every replica and with
every planner, so an engine refuses whatever is older than what it has seen.
"""

import collections
import dataclasses
from collections.abc import Iterable, Mapping

from tamarackpier.fleet import beliefs, model
from tamarackpier.routing import model as routing_model

__all__ = ["FormTiming", "ZonePlanner"]

_RESERVE = 2  # Free engines that a domain keeps while the load is covered.
_HEADROOM = 1.8  # Slots for each running request; full replicas are slow.
_LEAST_SHARE_OF_REPLICAS = 4.0  # Replicas to have while nothing runs yet.
_PEAK_HALF_LIFE_S = 10.0


@dataclasses.dataclass(frozen=True)
class FormTiming:
    """Times of a planner, in seconds.

    Attributes:
        resend_s: Between two sends of an order without effect.
        adopt_s: How long a replica that this planner did not start may stay
            incomplete.
        join_slack_s: What joining may take beyond the model's own time.
        drain_s: Longest wait for a lead to finish its requests.
        leave_s: How long a replica serves on after a member has announced
            that it leaves; the platform grants 10 s while there is work.
        stage_s: Longest wait for weights before they are ordered again.
    """

    resend_s: float = 0.4
    adopt_s: float = 1.5
    join_slack_s: float = 3.0
    drain_s: float = 6.0
    stage_s: float = 40.0
    leave_s: float = 6.0


@dataclasses.dataclass
class _Forming:
    """A replica on its way."""

    key: model.Key
    spec: routing_model.ModelSpec
    members: tuple[str, ...]
    incarnations: tuple[int, ...]
    since: float
    loads: int
    limit_s: float
    opened: bool = False
    sent: dict[tuple[str, model.OrderKind], float] = dataclasses.field(
        default_factory=dict
    )
    accepted: set[tuple[str, model.OrderKind]] = dataclasses.field(
        default_factory=set
    )


@dataclasses.dataclass
class _Retiring:
    """A replica whose members are taken back."""

    replica: model.Replica
    reason: str
    since: float
    is_graceful: bool
    lead_left: bool = False
    sent: dict[tuple[str, model.OrderKind], float] = dataclasses.field(
        default_factory=dict
    )


class ZonePlanner:
    """Decides on the replicas of one service in one availability zone.

    Attributes:
        service: The service.
        zone: The availability zone.
        spec: How its engines work.
        next_fence: The fencing number of the next replica.
        forming: Replicas on their way, by key.
        retiring: Replicas that are taken back, by key.
        staging: Engines that load weights, with the model and since when.
        confirmed: Replicas whose silence this planner has confirmed.
        peaks: Highest number of requests by model, fading.
    """

    def __init__(
        self,
        service: str,
        zone: str,
        spec: routing_model.EngineSpec,
        holder: str,
        first_fence: int,
        planner_count: int,
        timing: FormTiming,
        now: float,
    ) -> None:
        self.service = service
        self.zone = zone
        self.spec = spec
        self.holder = holder
        self.next_fence = first_fence
        self.planner_count = max(1, planner_count)
        self.timing = timing
        self.forming: dict[model.Key, _Forming] = {}
        self.retiring: dict[model.Key, _Retiring] = {}
        self.staging: dict[str, tuple[str, float]] = {}
        self.confirmed: set[model.Key] = set()
        self.peaks: dict[str, float] = {}
        self._peaks_at = now
        self._released: dict[str, model.Key] = {}
        self._incomplete_since: dict[model.Key, float] = {}
        self._leaving_since: dict[model.Key, float] = {}
        self._load_tokens = self._most_load_tokens()
        self._tokens_at = now

    def tick(
        self,
        fleet: beliefs.Fleet,
        running: Mapping[str, int],
        now: float,
    ) -> list[model.Order]:
        """Returns the orders to send now.

        Args:
            fleet: What is known of engines.
            running: Requests that run, by model, over all instances.
            now: The monotonic clock.
        """
        self._note_load(running, now)
        self._refill(now)
        orders: list[model.Order] = []
        mine = self._own_replicas(fleet)
        for replica in mine.values():
            self._review(replica, fleet, now)
        for retiring in list(self.retiring.values()):
            orders += self._retire(retiring, fleet, now)
        for forming in list(self.forming.values()):
            orders += self._advance(forming, fleet, now)
        free = self._free(fleet)
        for domain in sorted(free):
            orders += self._form(free[domain], fleet, now)
        self._forget_loads(fleet, now)
        for domain in sorted(free, key=lambda each: self._urgency(free[each])):
            orders += self._stage(domain, free[domain], mine, fleet, now)
        return orders

    def summary(self, fleet: beliefs.Fleet) -> dict[str, object]:
        """Returns what the zone has, for the log."""
        serving: collections.Counter[str] = collections.Counter()
        for key, replica in self._own_replicas(fleet).items():
            if replica.is_open and key not in self.retiring:
                serving[replica.model] += 1
        free = self._free(fleet)
        return {
            "serving": dict(serving),
            "forming": [each.spec.name for each in self.forming.values()],
            "retiring": [each.reason for each in self.retiring.values()],
            "free": {
                domain: [each.staged[-1] if each.staged else "" for each in own]
                for domain, own in sorted(free.items())
            },
            "silent": len(fleet.silent),
        }

    def settle(
        self, order: model.Order, outcome: model.OrderOutcome, now: float
    ) -> None:
        """Takes what became of an order."""
        accepted = outcome is model.OrderOutcome.ACCEPTED
        if order.key is None:
            if not accepted and outcome is not model.OrderOutcome.UNKNOWN:
                self.staging.pop(order.engine.id, None)
            return
        forming = self.forming.get(order.key)
        if forming is not None:
            self._settle_forming(forming, order, outcome, now)
        retiring = self.retiring.get(order.key)
        if retiring is None:
            return
        is_lead = retiring.replica.lead is not None and (
            retiring.replica.lead.id == order.engine.id
        )
        done = accepted or outcome in (
            model.OrderOutcome.OTHER_ENGINE,
            model.OrderOutcome.SUPERSEDED,
        )
        if order.kind is model.OrderKind.LEAVE and done:
            self._released[order.engine.id] = order.key
            retiring.lead_left = retiring.lead_left or is_lead

    def confirm(self, key: model.Key) -> None:
        """Notes that a replica was found not to be whole."""
        self.confirmed.add(key)

    def _settle_forming(
        self,
        forming: _Forming,
        order: model.Order,
        outcome: model.OrderOutcome,
        now: float,
    ) -> None:
        if outcome is model.OrderOutcome.ACCEPTED:
            forming.accepted.add((order.engine.id, order.kind))
            if order.kind is model.OrderKind.OPEN:
                forming.opened = True
        elif order.kind is model.OrderKind.JOIN and outcome in (
            model.OrderOutcome.SUPERSEDED,
            model.OrderOutcome.OTHER_ENGINE,
            model.OrderOutcome.REFUSED,
        ):
            self._give_up(forming, now, f"join {outcome.value}")

    def _own_replicas(
        self, fleet: beliefs.Fleet
    ) -> dict[model.Key, model.Replica]:
        found = {}
        for key, replica in fleet.replicas().items():
            first = replica.members[0][1]
            if self._is_own(first):
                found[key] = replica
        return found

    def _is_own(self, engine: model.EngineRecord) -> bool:
        return (
            engine.service == self.service
            and engine.availability_zone == self.zone
        )

    def _review(
        self, replica: model.Replica, fleet: beliefs.Fleet, now: float
    ) -> None:
        """Decides whether a replica is to be taken back."""
        key = replica.key
        if key in self.retiring or key in self.forming:
            return
        if all(
            self._released.get(each.id) == key for _, each in replica.members
        ):
            return
        if replica.is_open and key not in self.confirmed:
            self._incomplete_since.pop(key, None)
            if replica.leaving and self._may_end(replica, fleet, now):
                self._start_retiring(replica, "a member is leaving", now, True)
            return
        if key in self.confirmed:
            self._start_retiring(replica, "a member does not answer", now)
            return
        if replica.lead_state is model.MemberState.BROKEN:
            self._start_retiring(replica, "broken", now)
            return
        if replica.is_lasting and (
            replica.lead_state is model.MemberState.READY
        ):
            self._adopt(replica, now)
            return
        if replica.leaving and replica.is_complete:
            self._start_retiring(replica, "a member is leaving", now, True)
            return
        if replica.lead_state in (
            model.MemberState.OPEN,
            model.MemberState.CLOSING,
        ):
            if not replica.is_complete:
                self._start_retiring(replica, "a member is gone", now)
            elif replica.lead_state is model.MemberState.CLOSING:
                self._start_retiring(replica, "closing", now, True)
            return
        since = self._incomplete_since.setdefault(key, now)
        if now - since > self.timing.adopt_s + self._joining_s(replica):
            self._start_retiring(replica, "stays incomplete", now)

    def _may_end(
        self, replica: model.Replica, fleet: beliefs.Fleet, now: float
    ) -> bool:
        """Decides whether a replica with a leaving member is ended now.

        It serves on until another can stand in its place, or until the member
        may stop.
        """
        since = self._leaving_since.setdefault(replica.key, now)
        if now - since > self.timing.leave_s:
            return True
        domain = replica.members[0][1].domain
        spares = [
            each
            for each in self._free(fleet).get(domain, [])
            if replica.model in each.staged
        ]
        return len(spares) >= len(replica.leaving)

    def _joining_s(self, replica: model.Replica) -> float:
        spec = self.spec.model(replica.model)
        if spec is None or not replica.is_complete:
            return 0.0
        return spec.warm_s

    def _adopt(self, replica: model.Replica, now: float) -> None:
        spec = self.spec.model(replica.model)
        if spec is None:
            return
        engines = [each for _, each in replica.members]
        self.forming[replica.key] = _Forming(
            replica.key,
            spec,
            tuple(each.id for each in engines),
            tuple(each.incarnation for each in engines),
            now,
            0,
            self.timing.join_slack_s,
            accepted={(each.id, model.OrderKind.JOIN) for each in engines},
        )

    def _start_retiring(
        self,
        replica: model.Replica,
        reason: str,
        now: float,
        is_graceful: bool = False,
    ) -> None:
        self.retiring[replica.key] = _Retiring(
            replica, reason, now, is_graceful
        )

    def _retire(
        self, retiring: _Retiring, fleet: beliefs.Fleet, now: float
    ) -> list[model.Order]:
        key = retiring.replica.key
        lead = retiring.replica.lead
        if retiring.lead_left or self._has_left(lead, key, fleet):
            return self._release_members(retiring, fleet)
        current = self._current(lead, key, fleet)
        if current is None or current.id in fleet.silent:
            return self._leave_one_by_one(retiring, fleet, now)
        if key in self.confirmed:
            retiring.is_graceful = False
        membership = current.membership
        state = membership.state if membership else None
        is_patient = (
            retiring.is_graceful
            and now - retiring.since < self.timing.drain_s
            and state in (model.MemberState.OPEN, model.MemberState.CLOSING)
        )
        if is_patient:
            if state is model.MemberState.OPEN:
                return self._send(
                    retiring.sent,
                    model.Order(
                        model.OrderKind.CLOSE, current, retiring.reason, key
                    ),
                    now,
                )
            return []
        order = model.Order(
            model.OrderKind.LEAVE, current, retiring.reason, key
        )
        return self._send(retiring.sent, order, now)

    def _has_left(
        self,
        lead: model.EngineRecord | None,
        key: model.Key,
        fleet: beliefs.Fleet,
    ) -> bool:
        """Returns whether a lead itself says that it is in the replica no more.

        A row that is gone says nothing: its engine may live, cut off from the
        store, with its replica open.
        """
        found = fleet.engines.get(lead.id) if lead else None
        if found is None or found.id in fleet.silent:
            return False
        return found.membership is None or found.membership.key != key

    def _leave_one_by_one(
        self, retiring: _Retiring, fleet: beliefs.Fleet, now: float
    ) -> list[model.Order]:
        """Has each member leave whose lead can't be told to."""
        key = retiring.replica.key
        staying = [
            each
            for each in self._survivors(retiring, fleet)
            if self._released.get(each.id) != key
        ]
        if not staying:
            return self._release_members(retiring, fleet)
        orders = []
        for each in staying:
            order = model.Order(
                model.OrderKind.LEAVE, each, retiring.reason, key
            )
            orders += self._send(retiring.sent, order, now)
        return orders

    def _release_members(
        self, retiring: _Retiring, fleet: beliefs.Fleet
    ) -> list[model.Order]:
        """Frees the members of a replica that its lead, or each, has left."""
        key = retiring.replica.key
        for _, member in retiring.replica.members:
            current = self._current(member, key, fleet)
            if current is not None and current.id not in fleet.silent:
                self._released[member.id] = key
        del self.retiring[key]
        self.confirmed.discard(key)
        self._incomplete_since.pop(key, None)
        self._leaving_since.pop(key, None)
        return []

    def _survivors(
        self, retiring: _Retiring, fleet: beliefs.Fleet
    ) -> list[model.EngineRecord]:
        found = []
        for _, member in retiring.replica.members:
            engine = self._current(member, retiring.replica.key, fleet)
            if engine is not None and engine.id not in fleet.silent:
                found.append(engine)
        return found

    def _current(
        self,
        engine: model.EngineRecord | None,
        key: model.Key,
        fleet: beliefs.Fleet,
    ) -> model.EngineRecord | None:
        """Returns an engine's row while it is still in that replica."""
        found = fleet.engines.get(engine.id) if engine else None
        if found is None or found.membership is None:
            return None
        return found if found.membership.key == key else None

    def _advance(
        self, forming: _Forming, fleet: beliefs.Fleet, now: float
    ) -> list[model.Order]:
        engines = [fleet.engines.get(each) for each in forming.members]
        lost = [
            name
            for name, engine, incarnation in zip(
                forming.members, engines, forming.incarnations, strict=True
            )
            if engine is None
            or engine.is_leaving
            or engine.incarnation != incarnation
            or name in fleet.silent
        ]
        present = [each for each in engines if each is not None]
        if lost or now - forming.since > forming.limit_s:
            self._give_up(forming, now, f"lost {lost}" if lost else "too slow")
            return []
        states = [self._state(each, forming.key) for each in present]
        if states[0] is model.MemberState.OPEN:
            del self.forming[forming.key]
            return []
        orders: list[model.Order] = []
        if all(each is model.MemberState.READY for each in states):
            order = model.Order(
                model.OrderKind.OPEN, present[0], "all ready", forming.key
            )
            return self._send(forming.sent, order, now)
        for engine, state in zip(present, states, strict=True):
            token = (engine.id, model.OrderKind.JOIN)
            if state is None and token not in forming.accepted:
                order = model.Order(
                    model.OrderKind.JOIN,
                    engine,
                    "forming",
                    forming.key,
                    forming.spec.name,
                    forming.members,
                )
                orders += self._send(forming.sent, order, now)
        return orders

    def _state(
        self, engine: model.EngineRecord, key: model.Key
    ) -> model.MemberState | None:
        membership = engine.membership
        if membership is None or membership.key != key:
            return None
        return membership.state

    def _send(
        self,
        sent: dict[tuple[str, model.OrderKind], float],
        order: model.Order,
        now: float,
    ) -> list[model.Order]:
        token = (order.engine.id, order.kind)
        if now - sent.get(token, -1e9) < self.timing.resend_s:
            return []
        sent[token] = now
        return [order]

    def _give_up(self, forming: _Forming, now: float, reason: str) -> None:
        """Ends an attempt to form a replica.

        Its members are free at once if it was never told to open; otherwise
        the lead has to leave first, as with any replica.
        """
        self.forming.pop(forming.key, None)
        lead = (forming.members[0], model.OrderKind.OPEN)
        if lead not in forming.sent:
            for engine_id in forming.members:
                self._released[engine_id] = forming.key
        self._incomplete_since[forming.key] = now

    def _free(
        self, fleet: beliefs.Fleet
    ) -> dict[str, list[model.EngineRecord]]:
        """Returns the engines of each domain that no replica has."""
        busy = {name for each in self.forming.values() for name in each.members}
        free = collections.defaultdict(list)
        for engine in fleet.engines.values():
            if not self._is_own(engine) or engine.is_leaving:
                continue
            if engine.id in busy or engine.id in fleet.silent:
                continue
            if not engine.domain or engine.id in fleet.lapsed:
                continue
            membership = engine.membership
            released = self._released.get(engine.id)
            if membership is not None and membership.key != released:
                continue
            free[engine.domain].append(engine)
        return free

    def _form(
        self,
        free: list[model.EngineRecord],
        fleet: beliefs.Fleet,
        now: float,
    ) -> list[model.Order]:
        orders: list[model.Order] = []
        while True:
            chosen = self._choose(free, fleet)
            if chosen is None:
                return orders
            spec, engines, loads = chosen
            self._load_tokens -= loads
            key = model.Key(
                f"{self.zone}-{self.holder}-{self.next_fence}", self.next_fence
            )
            self.next_fence += 1
            limit_s = self.timing.join_slack_s + spec.warm_s
            if loads:
                limit_s += spec.load_s * self._load_slowdown(fleet)
            forming = _Forming(
                key,
                spec,
                tuple(each.id for each in engines),
                tuple(each.incarnation for each in engines),
                now,
                loads,
                limit_s,
            )
            self.forming[key] = forming
            for each in engines:
                free.remove(each)
                self.staging.pop(each.id, None)
            orders += self._advance(forming, fleet, now)

    def _choose(
        self, free: list[model.EngineRecord], fleet: beliefs.Fleet
    ) -> tuple[routing_model.ModelSpec, list[model.EngineRecord], int] | None:
        """Returns the model to form next and its engines, lead first."""
        is_idle = not any(self.peaks.values())
        is_cold = is_idle and not any(
            each.staged or each.id in self.staging for each in free
        )
        for spec in self._wanted(fleet):
            ranked = sorted(
                free, key=lambda each: (_readiness(each, spec.name), each.id)
            )[: spec.span]
            if len(ranked) < spec.span:
                continue
            is_short = self._coverage(spec, fleet) < 1
            if len(free) - spec.span < _RESERVE and not is_short:
                continue
            loads = sum(1 for each in ranked if spec.name not in each.staged)
            if loads and not (is_cold and not self._cold_joins()):
                continue
            return spec, ranked, loads
        return None

    def _coverage(
        self, spec: routing_model.ModelSpec, fleet: beliefs.Fleet
    ) -> float:
        """Returns a model's replicas over those that its load needs."""
        count = sum(
            1
            for key, replica in fleet.replicas().items()
            if replica.model == spec.name
            and replica.is_lasting
            and key not in self.retiring
            and key not in self.forming
            and key not in fleet.suspended
        )
        count += sum(
            1 for each in self.forming.values() if each.spec.name == spec.name
        )
        running = self.peaks.get(spec.name, 0.0)
        needed = max(
            _LEAST_SHARE_OF_REPLICAS * spec.share,
            _HEADROOM * running / max(1, self.spec.slots),
        )
        return count / needed

    def _wanted(self, fleet: beliefs.Fleet) -> list[routing_model.ModelSpec]:
        """Returns the models, the one that lacks most first."""
        return sorted(
            self.spec.models,
            key=lambda each: (self._coverage(each, fleet), -each.share),
        )

    def _stage(
        self,
        domain: str,
        free: Iterable[model.EngineRecord],
        mine: Mapping[model.Key, model.Replica],
        fleet: beliefs.Fleet,
        now: float,
    ) -> list[model.Order]:
        """Has free engines load the weights that their domain lacks."""
        engines = list(free)
        if self._cold_joins():
            return []
        wishes = self._completions(engines, fleet)
        wishes += self._spares(domain, engines, wishes, mine)
        orders = []
        for engine, name in wishes:
            if self._load_tokens < 1 or len(self.staging) >= self._at_once():
                break
            self._load_tokens -= 1
            self.staging[engine.id] = (name, now)
            orders.append(
                model.Order(model.OrderKind.STAGE, engine, "spare", model=name)
            )
        return orders

    def _forget_loads(self, fleet: beliefs.Fleet, now: float) -> None:
        """Drops loads that ended, and those that nothing is heard of."""
        for name, (model_name, since) in list(self.staging.items()):
            engine = fleet.engines.get(name)
            if (
                engine is None
                or name in fleet.silent
                or model_name in engine.staged
                or now - since > self.timing.stage_s
            ):
                del self.staging[name]

    def _urgency(self, free: list[model.EngineRecord]) -> tuple[int, int]:
        """Ranks domains by how few loads let them form a replica."""
        missing = [
            spec.span
            - sum(1 for each in free if self._weights(each) == spec.name)
            for spec in self.spec.models
            if spec.span <= len(free)
        ]
        needed = [each for each in missing if each > 0]
        return (min(needed, default=99), -len(free))

    def _weights(self, engine: model.EngineRecord) -> str:
        """Returns the model that an engine has, or is loading."""
        pending = self.staging.get(engine.id)
        if pending is not None:
            return pending[0]
        return engine.staged[-1] if engine.staged else ""

    def _completions(
        self, engines: list[model.EngineRecord], fleet: beliefs.Fleet
    ) -> list[tuple[model.EngineRecord, str]]:
        """Returns the loads that let the free engines form a replica."""
        best: tuple[int, list[tuple[model.EngineRecord, str]]] | None = None
        for spec in self._wanted(fleet):
            if len(engines) < spec.span:
                continue
            have = [
                each for each in engines if self._weights(each) == spec.name
            ]
            missing = spec.span - len(have)
            if missing <= 0:
                return []
            others = sorted(
                (
                    each
                    for each in engines
                    if each not in have and each.id not in self.staging
                ),
                key=lambda each: (bool(each.staged), each.id),
            )[:missing]
            if len(others) < missing:
                continue
            loads = [(each, spec.name) for each in others]
            if best is None or missing < best[0]:
                best = (missing, loads)
        return best[1] if best is not None else []

    def _spares(
        self,
        domain: str,
        engines: list[model.EngineRecord],
        wishes: list[tuple[model.EngineRecord, str]],
        mine: Mapping[model.Key, model.Replica],
    ) -> list[tuple[model.EngineRecord, str]]:
        """Returns the loads that give the domain's replicas spares."""
        exposed: collections.Counter[str] = collections.Counter()
        for replica in mine.values():
            if replica.members[0][1].domain == domain:
                exposed[replica.model] += len(replica.members)
        for forming in self.forming.values():
            exposed[forming.spec.name] += forming.spec.span
        if not exposed:
            return []
        taken = {each.id for each, _ in wishes}
        held = collections.Counter(self._weights(each) for each in engines)
        held.update(name for _, name in wishes)
        found = []
        for each in engines:
            if self._weights(each) or each.id in taken:
                continue
            name = max(
                exposed, key=lambda name: exposed[name] / (1 + held[name])
            )
            held[name] += 1
            found.append((each, name))
        return found

    def _at_once(self) -> int:
        """Returns how many loads this planner keeps under way.

        More at a time would only slow each other down, and finish no sooner.
        """
        return max(1, self.spec.loads_at_once // self.planner_count)

    def _cold_joins(self) -> bool:
        return any(each.loads for each in self.forming.values())

    def _load_slowdown(self, fleet: beliefs.Fleet) -> float:
        most = max(1, self.spec.loads_at_once)
        return max(1.0, len(fleet.engines) / most)

    def _most_load_tokens(self) -> float:
        return max(2.0, self.spec.loads_per_s)

    def _note_load(self, running: Mapping[str, int], now: float) -> None:
        """Keeps the highest load of each model, fading."""
        fade = 0.5 ** ((now - self._peaks_at) / _PEAK_HALF_LIFE_S)
        self._peaks_at = now
        for spec in self.spec.models:
            faded = self.peaks.get(spec.name, 0.0) * fade
            self.peaks[spec.name] = max(faded, running.get(spec.name, 0))

    def _refill(self, now: float) -> None:
        rate = self.spec.loads_per_s / self.planner_count
        passed = now - self._tokens_at
        self._tokens_at = now
        self._load_tokens = min(
            self._most_load_tokens(), self._load_tokens + passed * rate
        )


def _readiness(engine: model.EngineRecord, name: str) -> int:
    """Ranks an engine by how soon it can join a replica of a model."""
    if engine.model == name and name in engine.staged:
        return 0
    if name in engine.staged:
        return 1
    return 2 if not engine.staged else 3
