"""Membership and failure detection among entry instances.

Instances form a ring ordered by the hash of their ID. Each is monitored by its
next few successors, which exchange messages with it anyway. A monitor lists an
instance that does not answer as silent in its own record, and records are
spread only when they change. The idle traffic of an instance therefore does not
grow with the number of instances. (Monitoring by a few peers and spreading only
changes follows SWIM; Das, Gupta and Motivala, 2002.) The clocks of different
instances are never compared.
"""

import dataclasses
import enum
from collections.abc import Iterable, Mapping

import xxhash

__all__ = [
    "AccountDemand",
    "DomainStatus",
    "Liveness",
    "Members",
    "PeerRecord",
    "rendezvous",
]

_MONITORS = 3  # Number of peers that monitor each instance.
_SUSPICION_QUORUM = 2  # Monitors that must agree to suspect a peer.
_GONE_FACTOR = 3  # Multiple of `suspect_s` after which a suspect is gone.
_RECENT_S = 6.0  # Maximum age of a recently received record.


class Liveness(enum.Enum):
    """State of a peer according to failure detection."""

    LIVE = "live"
    SUSPECTED = "suspected"
    LEAVING = "leaving"
    GONE = "gone"


@dataclasses.dataclass(frozen=True)
class AccountDemand:
    """Demand of a client account at one entry instance.

    Attributes:
        tokens_per_s: Smoothed rate of requested tokens, per second.
        requests_per_s: Smoothed rate of requests, per second.
    """

    tokens_per_s: float
    requests_per_s: float


@dataclasses.dataclass(frozen=True)
class DomainStatus:
    """Status of a fabric domain, as its planner reports it.

    Attributes:
        domain: Name of the fabric domain.
        availability_zone: Availability zone of the domain.
        listed: Number of instances on the platform's list.
        usable: Number of instances that can be relied on.
        holding: Number of open replicas by model, version and span (number of
            engines in a replica).
        lease_number: Fencing number of the planner's lease.
    """

    domain: str
    availability_zone: str
    listed: int
    usable: int
    holding: Mapping[tuple[str, str, int], int]
    lease_number: int


@dataclasses.dataclass(frozen=True)
class PeerRecord:
    """State that an entry instance publishes to its peers.

    Attributes:
        id: ID of the instance.
        incarnation: Number that increases with each start of the instance.
        revision: Number that increases with each change of the record.
        availability_zone: Availability zone of the instance.
        region: Region of the instance.
        caller_address: Address at which it accepts callers.
        peer_address: Address at which it accepts peers.
        is_leaving: Whether it is shutting down.
        sheet_version: Version of the sheet that it has in force.
        demand: Demand at the instance, by client account.
        domains: Status of each domain that it plans.
        leaving_engines: IDs of the engines that are leaving according to the
            platform's list, as the instance last read it.
        silent: Names (`PeerRecord.name`) of the peers that the instance
            monitors and that do not answer it.
    """

    id: str
    incarnation: int
    revision: int
    availability_zone: str
    region: str
    caller_address: str
    peer_address: str
    is_leaving: bool = False
    sheet_version: int = 0
    demand: Mapping[str, AccountDemand] = dataclasses.field(
        default_factory=dict
    )
    domains: tuple[DomainStatus, ...] = ()
    leaving_engines: frozenset[str] = frozenset()
    silent: frozenset[str] = frozenset()

    @property
    def name(self) -> str:
        """ID and incarnation of the instance, as used in `silent`."""
        return f"{self.id}@{self.incarnation}"

    @property
    def freshness(self) -> tuple[int, int]:
        """Incarnation and revision, which order records of one instance."""
        return (self.incarnation, self.revision)


@dataclasses.dataclass(frozen=True)
class _KnownPeer:
    """A peer's record, as this instance last received it.

    Attributes:
        record: The record.
        received_at: Monotonic time of receipt, in seconds.
    """

    record: PeerRecord
    received_at: float


class Members:
    """The peers that an entry instance knows, and their liveness.

    Attributes:
        own_record: Record of this instance.
        suspect_s: Time without an answer after which a monitored peer is
            reported as silent, in seconds.
        peers: Records of the peers, by ID.
        last_message_at: Time in seconds of the last request or reply from each
            monitored peer, by ID.
        silent: Names (`PeerRecord.name`) of the monitored peers that do not
            answer.
        suspected_at: Time in seconds since which a peer has been suspected,
            by ID.
        listed_leaving: IDs of peers that are leaving according to the
            platform's list.
        statuses: Latest known status of each fabric domain. It is kept when
            the planner leaves, so that a change of planner does not look like a
            domain without capacity.
    """

    def __init__(self, own_record: PeerRecord, suspect_s: float) -> None:
        self.own_record = own_record
        self.suspect_s = suspect_s
        self.peers: dict[str, _KnownPeer] = {}
        self.last_message_at: dict[str, float] = {}
        self.silent: frozenset[str] = frozenset()
        self.suspected_at: dict[str, float] = {}
        self.listed_leaving: frozenset[str] = frozenset()
        self.statuses: dict[str, DomainStatus] = {}
        self._ring: list[str] = []
        self._silence_reporters: dict[str, set[str]] = {}

    def update_own_record(self, record: PeerRecord) -> None:
        """Replaces this instance's record."""
        self.own_record = record
        self.note_statuses(record.domains)

    def note_statuses(self, statuses: Iterable[DomainStatus]) -> None:
        """Stores statuses, unless one with a higher lease number is known."""
        for status in statuses:
            known_status = self.statuses.get(status.domain)
            if (
                known_status is None
                or status.lease_number >= known_status.lease_number
            ):
                self.statuses[status.domain] = status

    def merge(self, records: Iterable[PeerRecord], now: float) -> None:
        """Stores the records that are newer than the known ones."""
        for record in records:
            if record.id == self.own_record.id:
                continue
            known_peer = self.peers.get(record.id)
            if (
                known_peer is None
                or record.freshness > known_peer.record.freshness
            ):
                self._update_silence_reporters(
                    known_peer.record if known_peer else None, record
                )
                self.peers[record.id] = _KnownPeer(record, now)
                self.note_statuses(record.domains)
                if known_peer is None:
                    self._ring = []

    def record_message(self, peer_id: str, now: float) -> None:
        """Records that a request or reply from a peer arrived."""
        self.last_message_at[peer_id] = now

    def monitored(self) -> list[str]:
        """Returns the IDs of the peers that this instance monitors."""
        ring = self._ordered_ring()
        position = ring.index(self.own_record.id)
        count = min(_MONITORS, len(ring) - 1)
        return [ring[position - step] for step in range(1, count + 1)]

    def update_liveness(self, now: float, was_paused: bool = False) -> None:
        """Updates which peers are silent or suspected; removes gone peers.

        Args:
            now: Monotonic time in seconds.
            was_paused: Whether this process was paused. Messages of peers may
                then have been missed, so the time of silence starts anew.
        """
        monitored = self.monitored()
        self.last_message_at = {
            peer_id: now
            if was_paused
            else self.last_message_at.get(peer_id, now)
            for peer_id in monitored
        }
        self.silent = frozenset(
            self.peers[peer_id].record.name
            for peer_id in monitored
            if now - self.last_message_at[peer_id] > self.suspect_s
        )
        suspected = {
            peer_id for peer_id in self.peers if self._is_suspected(peer_id)
        }
        self.suspected_at = {
            peer_id: self.suspected_at.get(peer_id, now)
            for peer_id in suspected
        }
        for peer_id in suspected:
            if self.liveness(peer_id, now) is Liveness.GONE:
                self._remove(peer_id)

    def liveness(self, peer_id: str, now: float) -> Liveness:
        """Returns the state of a peer, as of the last `update_liveness`."""
        known_peer = self.peers.get(peer_id)
        if known_peer is None:
            return Liveness.GONE
        suspected_at = self.suspected_at.get(peer_id)
        if suspected_at is not None:
            is_gone = now - suspected_at > _GONE_FACTOR * self.suspect_s
            return Liveness.GONE if is_gone else Liveness.SUSPECTED
        if known_peer.record.is_leaving or peer_id in self.listed_leaving:
            return Liveness.LEAVING
        return Liveness.LIVE

    def live(self, now: float) -> list[PeerRecord]:
        """Returns the records of the live peers, in order of ID."""
        return [
            peer.record
            for peer_id, peer in sorted(self.peers.items())
            if self.liveness(peer_id, now) is Liveness.LIVE
        ]

    def leaving_engines(self, now: float) -> frozenset[str]:
        """Returns the IDs of engines that a live peer reports as leaving."""
        engine_ids = (record.leaving_engines for record in self.live(now))
        return frozenset().union(*engine_ids)

    def serving(self, now: float) -> list[PeerRecord]:
        """Returns the records of the instances that accept new callers.

        This instance is among them unless it is leaving.
        """
        records = self.live(now)
        if not self.own_record.is_leaving:
            records.append(self.own_record)
        return sorted(records, key=lambda record: record.id)

    def freshness_by_id(self) -> dict[str, tuple[int, int]]:
        """Returns the freshness of all records, by ID, this instance's too."""
        freshness = {
            peer_id: peer.record.freshness
            for peer_id, peer in self.peers.items()
        }
        freshness[self.own_record.id] = self.own_record.freshness
        return freshness

    def recent_freshness(self, now: float) -> dict[str, tuple[int, int]]:
        """Returns the freshness of recently received records, by ID."""
        return {
            peer_id: peer.record.freshness
            for peer_id, peer in self.peers.items()
            if now - peer.received_at <= _RECENT_S
        }

    def newer_records(
        self,
        known: Mapping[str, tuple[int, int]],
        is_full: bool,
        now: float,
    ) -> list[PeerRecord]:
        """Returns the records that a peer lacks or has in an older revision.

        Args:
            known: Freshness of the peer's records, by ID.
            is_full: Whether `known` lists all records of the peer. If not,
                only this instance's own record and recently received records
                are considered, as the peer may lack these.
            now: Monotonic time in seconds.
        """
        candidates = [
            peer.record
            for peer in self.peers.values()
            if is_full or now - peer.received_at <= _RECENT_S
        ]
        candidates.append(self.own_record)
        return [
            record
            for record in candidates
            if record.freshness > known.get(record.id, (-1, -1))
        ]

    def _ordered_ring(self) -> list[str]:
        if not self._ring:
            self._ring = sorted(
                [*self.peers, self.own_record.id],
                key=lambda instance_id: (
                    xxhash.xxh64_intdigest(instance_id.encode()),
                    instance_id,
                ),
            )
        return self._ring

    def _monitors_of(self, peer_id: str) -> list[str]:
        ring = self._ordered_ring()
        position = ring.index(peer_id)
        count = min(_MONITORS, len(ring) - 1)
        return [
            ring[(position + step) % len(ring)] for step in range(1, count + 1)
        ]

    def _update_silence_reporters(
        self, previous: PeerRecord | None, record: PeerRecord
    ) -> None:
        for name in previous.silent if previous else ():
            self._silence_reporters.get(name, set()).discard(record.id)
        for name in record.silent:
            self._silence_reporters.setdefault(name, set()).add(record.id)

    def _silence_reporters_of(self, peer_id: str) -> set[str]:
        name = self.peers[peer_id].record.name
        reporters = set(self._silence_reporters.get(name, ()))
        if name in self.silent:
            reporters.add(self.own_record.id)
        return reporters

    def _is_suspected(self, peer_id: str) -> bool:
        """Returns whether enough of a peer's monitors report it as silent.

        Two must agree, since the silence that a single monitor observes may be
        due to its own connection. Monitors that are themselves reported as
        silent may never report, so their agreement is not required.
        """
        reporters = self._silence_reporters_of(peer_id)
        if not reporters:
            return False
        answering_monitors = [
            monitor
            for monitor in self._monitors_of(peer_id)
            if monitor == self.own_record.id
            or not self._silence_reporters_of(monitor)
        ]
        return len(reporters) >= min(
            _SUSPICION_QUORUM, max(1, len(answering_monitors))
        )

    def _remove(self, peer_id: str) -> None:
        peer = self.peers.pop(peer_id)
        for name in peer.record.silent:
            self._silence_reporters.get(name, set()).discard(peer_id)
        self._silence_reporters.pop(peer.record.name, None)
        self.last_message_at.pop(peer_id, None)
        self.suspected_at.pop(peer_id, None)
        self._ring = []


def rendezvous(key: str, ids: Iterable[str]) -> list[str]:
    """Returns IDs in descending order of preference for a key.

    The relative order of the other IDs does not change when one is added or
    removed (highest random weight hashing; Thaler and Ravishankar, 1998).
    """
    seed = key.encode() + b"\0"
    return sorted(
        ids,
        key=lambda candidate: (
            -xxhash.xxh64_intdigest(seed + candidate.encode()),
            candidate,
        ),
    )
