"""gRPC client and service for messages between entry instances.

State is pulled: an instance asks a few random peers for newer records, and
asks the watchers of the domains it uses for evidence. Only a newly accepted
sheet is pushed, to every live peer.
"""

import asyncio
import collections
from collections.abc import Callable, Iterable
from typing import Any, Protocol

import grpc

from tamarackpier import codes, metrics, tasks
from tamarackpier import quarantine as quarantine_lib
from tamarackpier.peer import ages, codec, crash_codec, membership
from tamarackpier.replica import gate as gate_lib
from tamarackpier.replica import model as replica_model
from tamarackpier.wire import peer_pb2, peer_pb2_grpc

__all__ = [
    "GrpcTransport",
    "PeerClient",
    "PeerService",
    "Transport",
    "UnavailableError",
]

_CALL_TIMEOUT_S = 1.0
_FETCH_TIMEOUT_S = 5.0
_MAX_CHANNELS = 48
_CHANNEL_OPTIONS = (
    ("grpc.keepalive_time_ms", 10_000),
    ("grpc.keepalive_timeout_ms", 3_000),
    ("grpc.max_reconnect_backoff_ms", 2_000),
    ("grpc.max_receive_message_length", 64 << 20),
    ("grpc.max_send_message_length", 64 << 20),
)


class UnavailableError(Exception):
    """A call to a peer failed or timed out."""


class Transport(Protocol):
    """Sends calls to peers."""

    async def call(
        self, address: str, method: str, request: Any, timeout_s: float
    ) -> Any:
        """Returns the peer's reply.

        Raises:
            UnavailableError: The call failed or timed out.
        """

    async def close(self) -> None:
        """Closes all connections."""


class GrpcTransport(Transport):
    """Sends calls over gRPC.

    Attributes:
        channels: Open channels by address, the least recently used first.
    """

    def __init__(self) -> None:
        self.channels: collections.OrderedDict[str, grpc.aio.Channel] = (
            collections.OrderedDict()
        )
        self._closing = tasks.Tasks()

    async def call(
        self, address: str, method: str, request: Any, timeout_s: float
    ) -> Any:
        """Returns the peer's reply."""
        if address not in self.channels:
            self.channels[address] = grpc.aio.insecure_channel(
                address, options=_CHANNEL_OPTIONS
            )
        self.channels.move_to_end(address)
        if len(self.channels) > _MAX_CHANNELS:
            _, oldest_channel = self.channels.popitem(last=False)
            self._closing.start(oldest_channel.close(grace=timeout_s))
        stub = peer_pb2_grpc.PeerStub(self.channels[address])
        try:
            return await getattr(stub, method)(request, timeout=timeout_s)
        except grpc.aio.AioRpcError as error:
            raise UnavailableError(error.code().name.lower()) from error

    async def close(self) -> None:
        """Closes all channels."""
        for channel in self.channels.values():
            await channel.close()


class PeerService(peer_pb2_grpc.PeerServicer):
    """Serves the calls of peers.

    Attributes:
        members: Known peers.
        quarantine: Requests that are suspected of crashing upstreams.
        evidence_of: Returns the evidence about a domain's replicas and the
            broken replicas; a call makes this instance watch the domain.
        sheet: Returns the sheet's version and bytes.
        announce: Applies a newly accepted sheet from a peer and returns the
            sheet version then in force.
        metrics: Counters of this instance.
        clock: Returns the monotonic time, in seconds.
    """

    def __init__(
        self,
        members: membership.Members,
        quarantine: quarantine_lib.Quarantine,
        evidence_of: Callable[
            [str], tuple[list[gate_lib.Evidence], list[replica_model.Replica]]
        ],
        sheet: Callable[[], tuple[int, bytes]],
        announce: Callable[[int, int, bytes], int],
        counts: metrics.Metrics,
        clock: Callable[[], float],
    ) -> None:
        self.members = members
        self.quarantine = quarantine
        self.evidence_of = evidence_of
        self.sheet = sheet
        self.announce = announce
        self.metrics = counts
        self.clock = clock

    async def Exchange(  # noqa: N802
        self,
        request: peer_pb2.ExchangeRequest,
        context: grpc.aio.ServicerContext,
    ) -> peer_pb2.ExchangeReply:
        """Merges the record of a peer and returns what that peer lacks."""
        now = self.clock()
        try:
            sender = codec.record_from_wire(request.sender)
            # The request was sent at most one call timeout ago. Subtracting the
            # timeout keeps crashes from being dated later than they were.
            crash_codec.merge_crashes(
                self.quarantine, request, now - _CALL_TIMEOUT_S
            )
        except ValueError as error:
            self.metrics.count("peer_refused", codes.PEER_BAD_MESSAGE.name)
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        self.members.merge([sender], now)
        self.members.record_message(sender.id, now)
        return self._reply(request, now)

    async def FetchSheet(  # noqa: N802
        self,
        request: peer_pb2.FetchSheetRequest,
        context: grpc.aio.ServicerContext,
    ) -> peer_pb2.FetchSheetReply:
        """Returns the sheet version, and the sheet if the sender's is older."""
        version, data = self.sheet()
        if version <= request.have_version:
            return peer_pb2.FetchSheetReply(version=version)
        return peer_pb2.FetchSheetReply(version=version, sheet=data)

    async def Announce(  # noqa: N802
        self,
        request: peer_pb2.Announcement,
        context: grpc.aio.ServicerContext,
    ) -> peer_pb2.AnnouncementReply:
        """Applies a newly accepted sheet; returns the version in force."""
        version = self.announce(
            request.version, request.base_version, request.patch
        )
        return peer_pb2.AnnouncementReply(sheet_version=version)

    def _reply(
        self, request: peer_pb2.ExchangeRequest, now: float
    ) -> peer_pb2.ExchangeReply:
        known = {
            peer.id: (peer.incarnation, peer.revision) for peer in request.known
        }
        reply = peer_pb2.ExchangeReply(
            records=[
                codec.record_to_wire(record)
                for record in self.members.newer_records(
                    known, request.is_full, now
                )
            ],
            sheet_version=self.sheet()[0],
        )
        for domain in request.domains:
            evidence, broken = self.evidence_of(domain)
            reply.evidence.extend(
                codec.evidence_to_wire(item, now) for item in evidence
            )
            reply.broken.extend(
                peer_pb2.Broken(
                    replica_id=replica.replica_id, fence=replica.fence, age_ms=0
                )
                for replica in broken
            )
        crash_codec.add_crashes(self.quarantine, reply, now)
        return reply


class PeerClient:
    """Sends calls to peers and merges their replies.

    Attributes:
        members: Known peers.
        gate: Gate to which received evidence is added.
        quarantine: Quarantine whose crashes are sent, and to which received
            crashes are added.
        transport: Transport of the calls.
        metrics: Counters of this instance.
        clock: Returns the monotonic time, in seconds.
        versions: Last reported sheet version of each peer, by address.
    """

    def __init__(
        self,
        members: membership.Members,
        gate: gate_lib.Gate,
        quarantine: quarantine_lib.Quarantine,
        transport: Transport,
        counts: metrics.Metrics,
        clock: Callable[[], float],
    ) -> None:
        self.members = members
        self.transport = transport
        self.gate = gate
        self.quarantine = quarantine
        self.metrics = counts
        self.clock = clock
        self.versions: dict[str, int] = {}

    async def exchange(
        self, address: str, domains: Iterable[str], is_full: bool
    ) -> bool:
        """Pulls state from a peer; returns whether a valid reply arrived.

        Args:
            address: Peer address to call.
            domains: Domains to request evidence about.
            is_full: Whether to request every newer record, and not only
                those that the peer learned recently.
        """
        asked_at = self.clock()
        request = peer_pb2.ExchangeRequest(
            sender=codec.record_to_wire(self.members.own_record),
            known=self._known_records(address, is_full, asked_at),
            domains=list(domains),
            is_full=is_full,
        )
        crash_codec.add_crashes(self.quarantine, request, asked_at)
        reply = await self._call(address, "Exchange", request, _CALL_TIMEOUT_S)
        if reply is None:
            return False
        self.metrics.count("peer_messages")
        self.metrics.count("peer_bytes_sent", amount=request.ByteSize())
        self.metrics.count("peer_bytes", amount=reply.ByteSize())
        try:
            self._merge_reply(reply, asked_at)
        except ValueError:
            self.metrics.count("peer_refused", codes.PEER_BAD_MESSAGE.name)
            return False
        self.versions[address] = reply.sheet_version
        for peer_id, peer in self.members.peers.items():
            if peer.record.peer_address == address:
                self.members.record_message(peer_id, self.clock())
        return True

    async def fetch_sheet(self, address: str, own_version: int) -> bytes:
        """Returns the encoded sheet of a peer.

        Args:
            address: Peer address to call.
            own_version: Version of the sheet in force on this instance.

        Returns:
            The sheet; empty if it is not newer or the call failed.
        """
        request = peer_pb2.FetchSheetRequest(have_version=own_version)
        reply = await self._call(
            address, "FetchSheet", request, _FETCH_TIMEOUT_S
        )
        return b"" if reply is None else reply.sheet

    async def announce(
        self,
        addresses: Iterable[str],
        version: int,
        base_version: int,
        patch: bytes,
    ) -> None:
        """Pushes an accepted sheet; peers that miss it pull it later.

        Args:
            addresses: Peer addresses to call.
            version: Version of the accepted sheet.
            base_version: Version of the sheet that the patch applies to.
            patch: The patch as CSV.
        """
        message = peer_pb2.Announcement(
            version=version, base_version=base_version, patch=patch
        )
        await asyncio.gather(
            *(
                self._call(address, "Announce", message, _CALL_TIMEOUT_S)
                for address in addresses
            )
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self.transport.close()

    def _known_records(
        self, address: str, is_full: bool, now: float
    ) -> list[peer_pb2.Known]:
        """Returns the record versions to report to a peer as known."""
        known = self.members.freshness_by_id()
        if not is_full:
            reported_ids = set(self.members.recent_freshness(now))
            reported_ids.update(
                peer_id
                for peer_id, peer in self.members.peers.items()
                if peer.record.peer_address == address
            )
            known = {peer_id: known[peer_id] for peer_id in reported_ids}
        return [
            peer_pb2.Known(
                id=peer_id, incarnation=incarnation, revision=revision
            )
            for peer_id, (incarnation, revision) in known.items()
        ]

    async def _call(
        self, address: str, method: str, request: Any, timeout_s: float
    ) -> Any:
        """Returns the reply; None if the call failed."""
        try:
            return await self.transport.call(
                address, method, request, timeout_s
            )
        except UnavailableError as error:
            self.metrics.count("peer_failed", str(error))
            return None

    def _merge_reply(
        self, reply: peer_pb2.ExchangeReply, asked_at: float
    ) -> None:
        records = [codec.record_from_wire(record) for record in reply.records]
        evidence = [
            codec.evidence_from_wire(item, asked_at) for item in reply.evidence
        ]
        crash_codec.merge_crashes(self.quarantine, reply, asked_at)
        self.members.merge(records, self.clock())
        for item in evidence:
            self.gate.add(item)
        for broken in reply.broken:
            broken_at = ages.local_time(broken.age_ms, asked_at)
            self.gate.close(broken.replica_id, broken.fence, broken_at)
