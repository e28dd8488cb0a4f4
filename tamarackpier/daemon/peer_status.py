"""What entry instances tell one another, as messages and back."""

import binascii
import dataclasses
import functools
from collections.abc import Callable

from tamarackpier import logs
from tamarackpier.daemon import probing, zone_controller
from tamarackpier.fleet import beliefs, model
from tamarackpier.peer import roster as roster_lib
from tamarackpier.peer import zone_claims
from tamarackpier.traffic import load, relay
from tamarackpier.wire import entry_pb2

__all__ = ["Claim", "PeerStatuses", "incarnation_hash"]

_MOST_RECEIVED_SUSPEND_S = 1.5
_INTRODUCED = 8  # Peers that each message introduces, in turn.
_MOST_ZONES = 1000
_NEW_S = 2.0  # How long everyone is told of a peer that is new.


@dataclasses.dataclass(frozen=True)
class Claim:
    """What a peer last said of itself.

    Attributes:
        configuration_version: Version that it has in force.
        engines_version: Version up to which it has read engines' rows.
        planned_zones: Zones that it plans.
        overtime_zones: Those of them that it plans without the store.
    """

    configuration_version: int
    engines_version: int
    planned_zones: tuple[str, ...]
    overtime_zones: tuple[str, ...]


class PeerStatuses:
    """Turns what this instance believes into messages, and back.

    Attributes:
        claims: What peers last said, by id.
        states: The same as they said it, to be passed on.
        fences: Highest fencing number heard of, by zone.
        met: Since when each start of a peer is known.
    """

    def __init__(
        self,
        roster: roster_lib.Roster,
        requests: relay.Relay,
        fleet: beliefs.Fleet,
        prober: probing.Prober,
        version: Callable[[], int],
        engines_version: Callable[[], int],
        holding: Callable[[], list[zone_controller.ZoneController]],
        clock: Callable[[], float],
    ) -> None:
        self.roster = roster
        self.relay = requests
        self.fleet = fleet
        self.prober = prober
        self.version = version
        self.engines_version = engines_version
        self.active_zones = holding
        self.clock = clock
        self.claims: dict[str, Claim] = {}
        self.states: dict[str, entry_pb2.EntryState] = {}
        self.fences: dict[str, int] = {}
        self.first_seen: dict[int, tuple[str, float]] = {}
        self._next_introduced = 0
        self._hashed: object = None
        self._keys: dict[int, model.Key] = {}
        self._names: dict[int, str] = {}

    def build_status(self) -> entry_pb2.EntryStatus:
        """Returns what is to be told to a peer."""
        now = self.clock()
        live = self.roster.live(now)
        states = [self._own_state()]
        for each in live:
            state = self.states.get(each.id)
            if state is not None:
                states.append(state)
        return entry_pb2.EntryStatus(
            sender=_presence(self.roster.own),
            introduced=[_presence(each) for each in self._introduced(live)],
            states=states,
            suspended=[
                entry_pb2.Suspended(
                    replica=each.key.replica,
                    fence=each.key.fence,
                    left_ms=max(0, int((each.until - now) * 1e3)),
                    silent=each.silent,
                    reason=each.reason,
                )
                for each in self.fleet.suspended.values()
                if each.silent or each.reason
            ],
            observed=[
                _observed(engine, now - at) for engine, at in self.fleet.news()
            ],
        )

    def receive(self, status: entry_pb2.EntryStatus) -> None:
        """Takes what a peer told."""
        now = self.clock()
        introduced = [
            _from_presence(each)
            for each in (status.sender, *status.introduced)
            if _is_reachable(each)
        ]
        self.roster.merge(introduced, now)
        for each in introduced:
            self._meet(each, now)
        sender = incarnation_hash(status.sender.id, status.sender.incarnation)

        for state in status.states:
            self._take_state(state, state.instance == sender, now)
        for told in status.suspended:
            self._take_suspended(told, status.sender.id, now)
        if self.fleet.is_doubtful(now):
            for answer in status.observed:
                self._take_observed(answer, now)

    def expire(self) -> None:
        """Forgets what was said by peers that are not known any more."""
        for table in (self.claims, self.states):
            for name in [each for each in table if not self._knows(each)]:
                del table[name]
        gone = [
            key
            for key, (name, _) in self.first_seen.items()
            if not self._knows(name)
        ]
        for key in gone:
            del self.first_seen[key]

    def zone_claims(self) -> zone_claims.ZoneClaims:
        """Returns which zones live peers plan."""
        live = {each.id for each in self.roster.live(self.clock())}
        planned: set[str] = set()
        overtime: set[str] = set()
        for name, claim in self.claims.items():
            if name in live:
                planned.update(claim.planned_zones)
                overtime.update(claim.overtime_zones)
        return zone_claims.ZoneClaims(
            frozenset(planned - overtime), frozenset(overtime), self.fences
        )

    def newer_configuration_peer(self, version: int) -> str | None:
        """Returns a live peer with a newer configuration, or None."""
        return self._newest(version, lambda each: each.configuration_version)

    def newer_engines_peer(self, version: int) -> str | None:
        """Returns a live peer with newer rows of engines, or None."""
        return self._newest(version, lambda each: each.engines_version)

    def _knows(self, name: str) -> bool:
        return name in self.roster.others

    def newest_engines_version(self) -> int:
        """Returns the version up to which any live peer has read rows."""
        name = self.newer_engines_peer(0)
        return self.claims[name].engines_version if name else 0

    def _newest(self, version: int, of: Callable[[Claim], int]) -> str | None:
        live = {each.id for each in self.roster.live(self.clock())}
        found = [
            (of(claim), name)
            for name, claim in self.claims.items()
            if name in live and of(claim) > version
        ]
        return max(found)[1] if found else None

    def _own_state(self) -> entry_pb2.EntryState:
        own = self.roster.own
        replicas = self.relay.replica_loads.own
        engines = self.relay.engine_loads.own
        holding = self.active_zones()
        return entry_pb2.EntryState(
            instance=_instance_hash(own),
            beat=own.beat,
            is_ready=own.is_ready,
            is_leaving=own.is_leaving,
            configuration_version=self.version(),
            engines_version=self.engines_version(),
            planned_zones=[each.zone for each in holding],
            overtime_zones=[each.zone for each in holding if each.is_overtime],
            planned_fences=[each.next_fence for each in holding],
            replicas=[_key_hash(key) for key in replicas],
            running=[max(0, each.running) for each in replicas.values()],
            reading_tokens=[
                max(0, each.reading_tokens) for each in replicas.values()
            ],
            engines=[_hash(name) for name in engines],
            engines_running=[max(0, each.running) for each in engines.values()],
        )

    def _introduced(
        self, live: list[roster_lib.Presence]
    ) -> list[roster_lib.Presence]:
        """Returns peers that are new, and some of the others in turn."""
        now = self.clock()
        recent = {
            name
            for name, since in self.first_seen.values()
            if now - since < _NEW_S
        }
        begin = self._next_introduced
        self._next_introduced = (begin + _INTRODUCED) % max(1, len(live))
        turn = {each.id for each in (live + live)[begin : begin + _INTRODUCED]}
        return [each for each in live if each.id in recent | turn]

    def _meet(self, each: roster_lib.Presence, now: float) -> None:
        if each.id in self.roster.others:
            self.first_seen.setdefault(_instance_hash(each), (each.id, now))

    def _take_state(
        self, state: entry_pb2.EntryState, is_direct: bool, now: float
    ) -> None:
        """Takes a peer's state, unless a newer one is known."""
        name, _ = self.first_seen.get(state.instance, ("", 0.0))
        known = self.roster.others.get(name)
        if known is None or _instance_hash(known[0]) != state.instance:
            return
        before = self.states.get(name)
        if before and before.instance == state.instance:
            # A peer's own word may be newer than its last beat.
            newest = before.beat - 1 if is_direct else before.beat
            if state.beat <= newest:
                return
        self.states[name] = state
        self.roster.hear(
            name, state.beat, state.is_ready, state.is_leaving, now
        )
        self.claims[name] = Claim(
            state.configuration_version,
            state.engines_version,
            tuple(state.planned_zones),
            tuple(state.overtime_zones),
        )
        planned = zip(state.planned_zones, state.planned_fences, strict=False)
        for zone, fence in planned:
            if zone not in self.fences and len(self.fences) >= _MOST_ZONES:
                continue
            self.fences[zone] = max(fence, self.fences.get(zone, 0))
        self._take_usage(name, state, now)

    def _take_usage(
        self, name: str, state: entry_pb2.EntryState, now: float
    ) -> None:
        self._hash_fleet()
        keys = self._keys
        replicas = zip(
            state.replicas, state.running, state.reading_tokens, strict=False
        )
        self.relay.replica_loads.peer(
            name,
            {
                keys[found]: load.Usage(running, reading)
                for found, running, reading in replicas
                if found in keys
            },
            now,
        )
        if state.engines or name in self.relay.engine_loads.peers:
            names = self._names
            engines = zip(state.engines, state.engines_running, strict=False)
            self.relay.engine_loads.peer(
                name,
                {
                    names[found]: load.Usage(running)
                    for found, running in engines
                    if found in names
                },
                now,
            )

    def _hash_fleet(self) -> None:
        """Finds out how messages name what is known now, if that changed."""
        replicas = self.fleet.replicas()
        if self._hashed is replicas:
            return
        self._hashed = replicas
        self._keys = {_key_hash(key): key for key in replicas}
        self._names = {
            _hash(each.id): each.id
            for each in self.fleet.engines.values()
            if not each.domain
        }

    def _take_suspended(
        self, told: entry_pb2.Suspended, sender: str, now: float
    ) -> None:
        key = model.Key(told.replica, told.fence)
        if key not in self.fleet.replicas():
            return
        left_s = min(_MOST_RECEIVED_SUSPEND_S, told.left_ms / 1e3)
        suspension = beliefs.Suspension(
            key, now + left_s, tuple(told.silent), told.reason
        )
        self.prober.suspend(suspension, f"peer {sender}")

    def _take_observed(self, told: entry_pb2.Observed, now: float) -> None:
        membership = None
        if told.replica:
            try:
                state = model.MemberState(told.state)
            except ValueError:
                logs.decision(
                    "observation unreadable",
                    engine=told.engine,
                    state=told.state,
                )
                return
            key = model.Key(told.replica, told.fence)
            membership = model.Membership(key, told.rank, state)
        report = model.EngineReport(
            told.engine,
            membership,
            0,
            0,
            1.0,
            told.incarnation,
            told.model,
            tuple(told.staged),
        )
        self.fleet.observe(report, now - told.age_ms / 1e3)


def _hash(text: str) -> int:
    return binascii.crc32(text.encode())


def _instance_hash(each: roster_lib.Presence) -> int:
    return incarnation_hash(each.id, each.incarnation)


@functools.lru_cache(maxsize=4096)
def incarnation_hash(instance_id: str, incarnation: int) -> int:
    """Returns how messages name one start of an instance."""
    return _hash(f"{instance_id}/{incarnation}")


def _key_hash(key: model.Key) -> int:
    return _hash(f"{key.replica}/{key.fence}")


def _observed(engine: model.EngineRecord, age_s: float) -> entry_pb2.Observed:
    found = entry_pb2.Observed(
        engine=engine.id,
        incarnation=engine.incarnation,
        age_ms=max(0, int(age_s * 1e3)),
        model=engine.model,
        staged=engine.staged,
    )
    membership = engine.membership
    if membership is not None:
        found.replica = membership.key.replica
        found.fence = membership.key.fence
        found.rank = membership.rank
        found.state = membership.state.value
    return found


def _presence(each: roster_lib.Presence) -> entry_pb2.Presence:
    return entry_pb2.Presence(
        id=each.id,
        incarnation=each.incarnation,
        beat=each.beat,
        availability_zone=each.availability_zone,
        caller_address=each.caller_address,
        peer_address=each.peer_address,
        is_ready=each.is_ready,
        is_leaving=each.is_leaving,
    )


def _is_reachable(each: entry_pb2.Presence) -> bool:
    port = each.peer_address.rpartition(":")[2]
    return bool(each.id) and port.isdigit()


def _from_presence(each: entry_pb2.Presence) -> roster_lib.Presence:
    return roster_lib.Presence(
        each.id,
        each.incarnation,
        each.beat,
        each.availability_zone,
        each.caller_address,
        each.peer_address,
        each.is_ready,
        each.is_leaving,
    )
