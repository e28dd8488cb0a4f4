"""Builds and processes the status messages that entry instances exchange."""

import dataclasses
import functools
import math
from collections.abc import Callable, Iterable, Iterator

from tamarackpier import logs
from tamarackpier.daemon import probing, store_contact, zone_controller
from tamarackpier.fleet import departures, fleet_view, model
from tamarackpier.peer import (
    account_codec,
    ages,
    contacts,
    crash_codec,
    evacuation_codec,
    limit_codec,
    load_codec,
    pulls,
    zone_claims,
)
from tamarackpier.peer import roster as roster_lib
from tamarackpier.traffic import relay
from tamarackpier.wire import entry_pb2

__all__ = ["Claim", "PeerStatuses", "incarnation_hash"]

# Longest time for which a message from a peer suspends a replica.
_MAX_RECEIVED_SUSPENSION_S = 1.5
# Number of peers that a message introduces in rotation.
_INTRODUCED_COUNT = 8
# Maximum number of availability zones with a stored fencing number.
_MAX_ZONES = 1000
# Time from the first contact with a peer during which every message introduces
# it.
_NEW_PEER_S = 2.0


@dataclasses.dataclass(frozen=True)
class Claim:
    """What a peer last reported about itself.

    Attributes:
        configuration_version: Version of the configuration in force.
        engines_version: Version up to which it has read engine rows.
        engines_change: Version of the latest change of an engine row that it
            has read; `engines_version` for a peer of an earlier build.
        planned_zones: Availability zones that it plans.
        overtime_zones: Subset of `planned_zones` whose lease has lapsed
            because the store does not answer.
        has_links: Whether it has links to engines.
    """

    configuration_version: int
    engines_version: int
    engines_change: int
    planned_zones: tuple[str, ...]
    overtime_zones: tuple[str, ...]
    has_links: bool = True


class PeerStatuses:
    """Builds status messages and keeps what those of peers report.

    Attributes:
        roster: Known peers.
        relay: Relay of this instance, with the loads of all instances.
        fleet: View of the engines.
        prober: Suspends the replicas that peers report as suspended.
        version: Returns the version of the configuration in force.
        engines_version: Returns the store version up to which engine rows
            were read.
        engines_change: Returns the version of the latest change among them.
        active_zones: Returns the controllers of the availability zones that
            this instance plans.
        clock: Returns the monotonic time, in seconds.
        has_links: Returns whether this instance has links to engines.
        return_to_tell: Returns the latest return of the store; None if there
            was none lately.
        on_return: Called with the return of the store that a peer tells of,
            and the peer's ID.
        service_to_tell: Returns the time in which the store has answered; None
            if it has not lately.
        on_service: Called with the one that a peer tells of.
        on_news: Called when a message says that a peer has a configuration or
            a change of the engine rows that this instance lacks.
        on_evacuations: Called with the evacuations that a peer knows of, and
            its ID.
        claims: The last claim of each peer, by ID.
        states: The last state message of each peer, by ID, for forwarding.
        fences: Highest reported fencing number, by zone.
        loads: Converts the loads in state messages.
        first_seen: ID of each peer and time in seconds of the first contact
            with it, by the hash of its incarnation.
        contacts: Which peers answer this instance.
        heard_at: Time of the last message of a peer, in seconds on the
            monotonic clock.
    """

    def __init__(
        self,
        roster: roster_lib.Roster,
        request_relay: relay.Relay,
        fleet: fleet_view.FleetView,
        prober: probing.Prober,
        version: Callable[[], int],
        engines_version: Callable[[], int],
        active_zones: Callable[[], list[zone_controller.ZoneController]],
        clock: Callable[[], float],
    ) -> None:
        self.roster = roster
        self.relay = request_relay
        self.fleet = fleet
        self.prober = prober
        self.version = version
        self.engines_version = engines_version
        self.active_zones = active_zones
        self.clock = clock
        self.has_links: Callable[[], bool] = lambda: True
        self.return_to_tell: Callable[[], store_contact.StoreReturn | None] = (
            lambda: None
        )
        self.on_return: Callable[[store_contact.StoreReturn, str], None] = (
            lambda store_return, peer_id: None
        )
        self.service_to_tell: Callable[
            [], store_contact.StoreService | None
        ] = lambda: None
        self.on_service: Callable[[store_contact.StoreService], None] = (
            lambda service: None
        )
        self.on_evacuations: Callable[
            [Iterable[entry_pb2.Evacuation], str], None
        ] = lambda evacuations, peer_id: None
        self.on_news: Callable[[], None] = lambda: None
        self.engines_change: Callable[[], int] = lambda: 0
        self.claims: dict[str, Claim] = {}
        self.states: dict[str, entry_pb2.EntryState] = {}
        self.fences: dict[str, int] = {}
        self.first_seen: dict[int, tuple[str, float]] = {}
        self.contacts = contacts.PeerContacts()
        self.heard_at = -math.inf
        self._rotation_start = 0
        self.loads = load_codec.LoadCodec(request_relay, fleet)

    def build_request(self) -> entry_pb2.EntryStatus:
        """Returns the status message that asks a peer for newer states.

        It names the states that this instance has.
        """
        live_peers = self.roster.live(self.clock())
        status = self._build_status(live_peers, [])
        known_states = [status.states[0], *self._states_of(live_peers)]
        status.known_instances.extend(state.instance for state in known_states)
        status.known_beats.extend(state.beat for state in known_states)
        return status

    def build_reply(
        self, request: entry_pb2.EntryStatus
    ) -> entry_pb2.EntryStatus:
        """Returns the answer to a peer's status message.

        It has the states that the peer lacks, and all if the request names
        none.
        """
        live_peers = self.roster.live(self.clock())
        known_beats = dict(
            zip(request.known_instances, request.known_beats, strict=False)
        )
        return self._build_status(
            live_peers,
            [
                state
                for state in self._states_of(live_peers)
                if state.beat > known_beats.get(state.instance, -1)
            ],
        )

    def _states_of(
        self, peers: list[roster_lib.Presence]
    ) -> list[entry_pb2.EntryState]:
        """Returns the states of the peers whose state is known."""
        return [
            self.states[peer.id] for peer in peers if peer.id in self.states
        ]

    def _build_status(
        self,
        live_peers: list[roster_lib.Presence],
        states: list[entry_pb2.EntryState],
    ) -> entry_pb2.EntryStatus:
        """Returns a status message with this instance's state and others."""
        now = self.clock()
        status = entry_pb2.EntryStatus(
            sender=_presence_to_wire(self.roster.own_presence),
            introduced=[
                _presence_to_wire(peer)
                for peer in self._peers_to_introduce(live_peers)
            ],
            states=[self._own_state(), *states],
            suspended=[
                entry_pb2.Suspended(
                    replica=suspension.key.replica,
                    fence=suspension.key.fence,
                    left_ms=max(0, int((suspension.until - now) * 1e3)),
                    silent=suspension.silent,
                    reason=suspension.reason,
                    silent_ms=(
                        0
                        if suspension.silent_at is None
                        else ages.age_ms(suspension.silent_at, now)
                    ),
                )
                for suspension in self.fleet.suspended.values()
                if suspension.silent or suspension.reason
            ],
            observed=[
                _observed_to_wire(engine, now - observed_at)
                for engine, observed_at in self.fleet.engines_newer_than_rows()
            ],
        )
        status.healthy.extend(
            entry_pb2.Healthy(
                replica=key.replica,
                fence=key.fence,
                age_ms=ages.age_ms(asked_at, now),
            )
            for key, asked_at in self.fleet.healthy.items()
        )
        crash_codec.add_crashes(self.relay.quarantine, status, now)
        limit_codec.add_limits(self.relay.limits, status, now)
        limit_codec.add_cold(self.fleet.cold, status, now)
        status.evacuations.extend(
            evacuation_codec.to_wire(self.fleet.evacuations)
        )
        status.departures.extend(
            entry_pb2.Departure(
                engine=departure.engine_id, incarnation=departure.incarnation
            )
            for departure in self.fleet.departures_to_send()
        )
        service = self.service_to_tell()
        if service is not None:
            status.store_service.CopyFrom(_service_to_wire(service, now))
        store_return = self.return_to_tell()
        if store_return is not None:
            status.store_return.CopyFrom(_return_to_wire(store_return, now))
        return status

    def receive(self, status: entry_pb2.EntryStatus) -> None:
        """Processes the status message of a peer.

        Suspensions come last and together: they move streams, which must go by
        all that the message says.
        """
        now = self.clock()
        self.heard_at = now
        presences = [
            _presence_from_wire(presence)
            for presence in (status.sender, *status.introduced)
            if _is_valid(presence)
        ]
        self.roster.merge(presences, now)
        for presence in presences:
            self._record_first_seen(presence, now)
        sender_hash = incarnation_hash(
            status.sender.id, status.sender.incarnation
        )

        self.on_evacuations(status.evacuations, status.sender.id)
        if status.HasField("store_service"):
            self.on_service(_service_from_wire(status.store_service, now))
        if status.HasField("store_return"):
            self.on_return(
                _return_from_wire(status.store_return, now), status.sender.id
            )
        for state in status.states:
            self._receive_state(state, state.instance == sender_hash, now)
        engines_version = self.engines_version()
        version = self.version()
        if any(
            state.engines_change > engines_version
            or state.configuration_version > version
            for state in status.states
        ):
            self.on_news()
        for healthy in status.healthy:
            self._receive_healthy(healthy, status.sender.id, now)
        if self.fleet.may_be_stale(now):
            for observed in status.observed:
                self._receive_observation(observed, now)
        limit_codec.merge_limits(
            self.relay.limits, self.fleet.engines, status, now
        )
        limit_codec.merge_cold(self.fleet.cold, self.fleet.engines, status, now)
        for departure in status.departures[: departures.MAX_SENT]:
            self.relay.record_departure(
                departures.Departure(departure.engine, departure.incarnation),
                f"peer {status.sender.id}",
            )
        try:
            crash_codec.merge_crashes(self.relay.quarantine, status, now)
        except ValueError as error:
            logs.decision(
                "crashes unreadable", peer=status.sender.id, detail=str(error)
            )
        suspensions = [
            self._suspension(suspended, now)
            for suspended in status.suspended
            if model.ReplicaKey(suspended.replica, suspended.fence)
            in self.fleet.replicas()
        ]
        self.prober.receive_suspensions(suspensions, status.sender.id)

    def expire(self) -> None:
        """Drops the records of peers that are no longer known."""
        for records in (self.claims, self.states):
            for peer_id in [
                known_id for known_id in records if not self._is_known(known_id)
            ]:
                del records[peer_id]
        self.contacts.keep_only(self.roster.others)
        expired = [
            key
            for key, (peer_id, _) in self.first_seen.items()
            if not self._is_known(peer_id)
        ]
        for key in expired:
            del self.first_seen[key]

    def zone_claims(self) -> zone_claims.ZoneClaims:
        """Returns the planning claims of all live peers."""
        live_ids = {peer.id for peer in self.roster.live(self.clock())}
        planned: set[str] = set()
        overtime: set[str] = set()
        for peer_id, claim in self.claims.items():
            if peer_id in live_ids:
                planned.update(claim.planned_zones)
                overtime.update(claim.overtime_zones)
        return zone_claims.ZoneClaims(
            frozenset(planned - overtime),
            frozenset(overtime),
            self.fences,
            self.instances_without_links(),
        )

    def instances_without_links(self) -> frozenset[str]:
        """Returns the IDs of the live instances without links to engines.

        Returns none if no instance has links.
        """
        if self.has_links():
            without_links = set()
        elif self.peers_with_links():
            without_links = {self.roster.own_presence.id}
        else:
            return frozenset()
        without_links |= {
            peer.id
            for peer in self.roster.live(self.clock())
            if peer.id in self.claims and not self.claims[peer.id].has_links
        }
        return frozenset(without_links)

    def peers_with_links(self) -> list[roster_lib.Presence]:
        """Returns the live peers that serve and have links to engines."""
        return [
            peer
            for peer in self.roster.live(self.clock())
            if peer.is_ready
            and not peer.is_leaving
            and peer.id in self.claims
            and self.claims[peer.id].has_links
        ]

    def requests_in_flight(self, peer_id: str) -> int:
        """Returns the number of a peer's requests at engines, as reported."""
        state = self.states.get(peer_id)
        if state is None:
            return 0
        return sum(state.running) + sum(state.engines_running)

    def _is_known(self, peer_id: str) -> bool:
        return peer_id in self.roster.others

    def newest_configuration_version(self) -> int:
        """Returns the newest configuration of a live peer; 0 for none."""
        return self._newest(
            contacts.News.CONFIGURATION,
            lambda claim: claim.configuration_version,
        )

    def newest_engines_version(self) -> int:
        """Returns the newest version up to which a live peer has read rows.

        Returns 0 if there is none.
        """
        return self._newest(
            contacts.News.ENGINE_ROWS, lambda claim: claim.engines_version
        )

    def newest_engines_change(self) -> int:
        """Returns the version of the newest change that a live peer has read.

        Returns 0 if there is none.
        """
        return self._newest(
            contacts.News.ENGINE_ROWS, lambda claim: claim.engines_change
        )

    def configuration_holders(self, version: int) -> list[pulls.Holder]:
        """Returns the live peers that have a configuration or a newer one."""
        return self._holders(
            contacts.News.CONFIGURATION,
            lambda claim: claim.configuration_version >= version,
        )

    def engines_holders(self, version: int) -> list[pulls.Holder]:
        """Returns the live peers that have read rows up to a version."""
        return self._holders(
            contacts.News.ENGINE_ROWS,
            lambda claim: claim.engines_version >= version,
        )

    def _newest(
        self, news: contacts.News, version_of: Callable[[Claim], int]
    ) -> int:
        return max(
            (version_of(claim) for _, claim in self._live_claims(news)),
            default=0,
        )

    def _holders(
        self, news: contacts.News, has_it: Callable[[Claim], bool]
    ) -> list[pulls.Holder]:
        now = self.clock()
        own_zone = self.roster.own_presence.availability_zone
        return [
            pulls.Holder(
                peer.id,
                self.contacts.standing(peer.id, now),
                peer.availability_zone == own_zone,
            )
            for peer, claim in self._live_claims(news)
            if has_it(claim)
        ]

    def _live_claims(
        self, news: contacts.News
    ) -> Iterator[tuple[roster_lib.Presence, Claim]]:
        """Yields the live peers whose claims count, and their claims."""
        now = self.clock()
        distrusted = self.contacts.distrusted(news, now)
        for peer in self.roster.live(now):
            claim = self.claims.get(peer.id)
            if claim is not None and peer.id not in distrusted:
                yield peer, claim

    def _own_state(self) -> entry_pb2.EntryState:
        presence = self.roster.own_presence
        controllers = self.active_zones()
        state = entry_pb2.EntryState(
            instance=_presence_hash(presence),
            beat=presence.beat,
            is_ready=presence.is_ready,
            is_leaving=presence.is_leaving,
            configuration_version=self.version(),
            engines_version=self.engines_version(),
            engines_change=self.engines_change(),
            planned_zones=[controller.zone for controller in controllers],
            overtime_zones=[
                controller.zone
                for controller in controllers
                if controller.is_overtime
            ],
            planned_fences=[
                controller.next_fence for controller in controllers
            ],
            lacks_links=not self.has_links(),
            **account_codec.fields(self.relay.admission),
        )
        self.loads.add_loads(state, self.clock())
        return state

    def _peers_to_introduce(
        self, live_peers: list[roster_lib.Presence]
    ) -> list[roster_lib.Presence]:
        """Returns peers that are new, and some of the others in rotation."""
        now = self.clock()
        new_ids = {
            peer_id
            for peer_id, seen_at in self.first_seen.values()
            if now - seen_at < _NEW_PEER_S
        }
        start = self._rotation_start
        self._rotation_start = (start + _INTRODUCED_COUNT) % max(
            1, len(live_peers)
        )
        rotation_ids = {
            peer.id
            for peer in (live_peers + live_peers)[
                start : start + _INTRODUCED_COUNT
            ]
        }
        return [
            peer for peer in live_peers if peer.id in new_ids | rotation_ids
        ]

    def _record_first_seen(
        self, presence: roster_lib.Presence, now: float
    ) -> None:
        if presence.id in self.roster.others:
            self.first_seen.setdefault(
                _presence_hash(presence), (presence.id, now)
            )

    def _receive_state(
        self, state: entry_pb2.EntryState, is_direct: bool, now: float
    ) -> None:
        """Processes a peer's state, unless a newer one is known.

        Args:
            state: The state, received directly or forwarded by another peer.
            is_direct: Whether the message came from the peer itself.
            now: Monotonic time in seconds.
        """
        peer_id, _ = self.first_seen.get(state.instance, ("", 0.0))
        known_peer = self.roster.others.get(peer_id)
        if (
            known_peer is None
            or _presence_hash(known_peer[0]) != state.instance
        ):
            return
        previous = self.states.get(peer_id)
        if previous and previous.instance == state.instance:
            # A peer's state can change between two beats, so a state that
            # comes from the peer itself is accepted with an equal beat.
            outdated_beat = previous.beat - 1 if is_direct else previous.beat
            if state.beat <= outdated_beat:
                return
        self.states[peer_id] = state
        self.roster.record_beat(
            peer_id, state.beat, state.is_ready, state.is_leaving, now
        )
        self.claims[peer_id] = Claim(
            state.configuration_version,
            state.engines_version,
            state.engines_change or state.engines_version,
            tuple(state.planned_zones),
            tuple(state.overtime_zones),
            not state.lacks_links,
        )
        planned = zip(state.planned_zones, state.planned_fences, strict=False)
        for zone, fence in planned:
            if zone not in self.fences and len(self.fences) >= _MAX_ZONES:
                continue
            self.fences[zone] = max(fence, self.fences.get(zone, 0))
        self.loads.receive(peer_id, state, now)
        account_codec.receive(self.relay.admission, peer_id, state, now)

    def _suspension(
        self, suspended: entry_pb2.Suspended, now: float
    ) -> fleet_view.Suspension:
        remaining_s = min(_MAX_RECEIVED_SUSPENSION_S, suspended.left_ms / 1e3)
        return fleet_view.Suspension(
            model.ReplicaKey(suspended.replica, suspended.fence),
            now + remaining_s,
            tuple(suspended.silent),
            suspended.reason,
            ages.local_time(suspended.silent_ms, now)
            if suspended.silent_ms
            else None,
        )

    def _receive_healthy(
        self, healthy: entry_pb2.Healthy, sender: str, now: float
    ) -> None:
        key = model.ReplicaKey(healthy.replica, healthy.fence)
        asked_at = ages.local_time(healthy.age_ms, now)
        if (
            key in self.fleet.replicas()
            and now - asked_at < fleet_view.HEALTHY_KEEP_S
        ):
            self.prober.receive_healthy(key, asked_at, sender)

    def _receive_observation(
        self, observed: entry_pb2.Observed, now: float
    ) -> None:
        membership = None
        if observed.replica:
            try:
                state = model.MemberState(observed.state)
            except ValueError:
                logs.decision(
                    "observation unreadable",
                    engine=observed.engine,
                    state=observed.state,
                )
                return
            key = model.ReplicaKey(observed.replica, observed.fence)
            membership = model.Membership(key, observed.rank, state)
        # Peers do not pass on an engine's load, so it is reported as none.
        report = model.EngineReport(
            observed.engine,
            membership,
            0,
            0,
            1.0,
            observed.incarnation,
            observed.model,
            tuple(observed.staged),
        )
        self.fleet.observe(report, now - observed.age_ms / 1e3)


def _presence_hash(presence: roster_lib.Presence) -> int:
    return incarnation_hash(presence.id, presence.incarnation)


@functools.lru_cache(maxsize=4096)
def incarnation_hash(instance_id: str, incarnation: int) -> int:
    """Returns the hash that names an incarnation of an instance."""
    return load_codec.hash_of(f"{instance_id}/{incarnation}")


def _return_to_wire(
    store_return: store_contact.StoreReturn, now: float
) -> entry_pb2.StoreReturn:
    return entry_pb2.StoreReturn(
        observer=store_return.observer,
        count=store_return.count,
        age_ms=ages.age_ms(store_return.at, now),
        away_ms=min(ages.MAX_AGE_MS, int(store_return.away_s * 1e3)),
    )


def _return_from_wire(
    message: entry_pb2.StoreReturn, now: float
) -> store_contact.StoreReturn:
    return store_contact.StoreReturn(
        message.observer,
        message.count,
        ages.local_time(message.age_ms, now),
        message.away_ms / 1e3,
    )


def _service_to_wire(
    service: store_contact.StoreService, now: float
) -> entry_pb2.StoreService:
    return entry_pb2.StoreService(
        observer=service.observer,
        count=service.count,
        since_age_ms=ages.age_ms(service.since, now),
        age_ms=ages.age_ms(service.at, now),
    )


def _service_from_wire(
    message: entry_pb2.StoreService, now: float
) -> store_contact.StoreService:
    return store_contact.StoreService(
        message.observer,
        message.count,
        ages.local_time(message.since_age_ms, now),
        ages.local_time(message.age_ms, now),
    )


def _observed_to_wire(
    engine: model.EngineRecord, age_s: float
) -> entry_pb2.Observed:
    observed = entry_pb2.Observed(
        engine=engine.id,
        incarnation=engine.incarnation,
        age_ms=min(ages.MAX_AGE_MS, max(0, int(age_s * 1e3))),
        model=engine.model,
        staged=engine.staged,
    )
    membership = engine.membership
    if membership is not None:
        observed.replica = membership.key.replica
        observed.fence = membership.key.fence
        observed.rank = membership.rank
        observed.state = membership.state.value
    return observed


def _presence_to_wire(presence: roster_lib.Presence) -> entry_pb2.Presence:
    return entry_pb2.Presence(
        id=presence.id,
        incarnation=presence.incarnation,
        beat=presence.beat,
        availability_zone=presence.availability_zone,
        caller_address=presence.caller_address,
        peer_address=presence.peer_address,
        is_ready=presence.is_ready,
        is_leaving=presence.is_leaving,
    )


def _is_valid(presence: entry_pb2.Presence) -> bool:
    """Returns whether the ID is set and the peer address has a port."""
    port = presence.peer_address.rpartition(":")[2]
    return bool(presence.id) and port.isdigit()


def _presence_from_wire(presence: entry_pb2.Presence) -> roster_lib.Presence:
    return roster_lib.Presence(
        presence.id,
        presence.incarnation,
        presence.beat,
        presence.availability_zone,
        presence.caller_address,
        presence.peer_address,
        presence.is_ready,
        presence.is_leaving,
    )
