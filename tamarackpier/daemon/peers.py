"""Speaks with other entry instances over gRPC.

Everything is pulled: an instance asks a few random peers for newer records,
and asks the watchers of the domains it uses for evidence. Only a newly
accepted sheet is pushed, to every live peer.
"""

import asyncio
import collections
from collections.abc import Callable, Iterable
from typing import Any, Protocol

import grpc

from tamarackpier import codes, metrics, tasks
from tamarackpier.peer import codec, membership
from tamarackpier.replica import gate as gate_lib
from tamarackpier.replica import model as replica_model
from tamarackpier.request import quarantine as quarantine_lib
from tamarackpier.wire import peer_pb2, peer_pb2_grpc

__all__ = [
    "GrpcTransport",
    "PeerClient",
    "PeerService",
    "Transport",
    "UnavailableError",
]

_CALL_S = 1.0
_FETCH_S = 5.0
_MOST_CHANNELS = 48
_OPTIONS = (
    ("grpc.keepalive_time_ms", 10_000),
    ("grpc.keepalive_timeout_ms", 3_000),
    ("grpc.max_reconnect_backoff_ms", 2_000),
    ("grpc.max_receive_message_length", 64 << 20),
    ("grpc.max_send_message_length", 64 << 20),
)


class UnavailableError(Exception):
    """A peer gave no answer."""


class Transport(Protocol):
    """Carries one call to a peer."""

    async def call(
        self, address: str, method: str, request: Any, timeout_s: float
    ) -> Any:
        """Returns the peer's reply.

        Raises:
            UnavailableError: There was none.
        """

    async def close(self) -> None:
        """Closes all connections."""


class GrpcTransport(Transport):
    """Calls over gRPC.

    Attributes:
        channels: Open channels by address, the longest unused first.
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
                address, options=_OPTIONS
            )
        self.channels.move_to_end(address)
        if len(self.channels) > _MOST_CHANNELS:
            _, unused = self.channels.popitem(last=False)
            self._closing.start(unused.close(grace=timeout_s))
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
    """Answers peers.

    Attributes:
        members: The peers.
        quarantine: Requests that crash upstreams.
        evidence_of: Returns what a watched domain's replicas are; asking
            for a domain makes this instance watch it.
        sheet: Returns the sheet's version and bytes.
        announce: Takes a newly accepted sheet from a peer.
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
        """Takes the caller's record and returns what it lacks."""
        now = self.clock()
        try:
            sender = codec.record_from_wire(request.sender)
            # The request was sent at most one time limit ago, so what it says
            # is dated no later than it was.
            take_crashes(self.quarantine, request, now - _CALL_S)
        except ValueError as error:
            self.metrics.count("peer_refused", codes.PEER_BAD_MESSAGE.name)
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        self.members.merge([sender], now)
        self.members.hear(sender.id, now)
        return self._reply(request, now)

    async def FetchSheet(  # noqa: N802
        self,
        request: peer_pb2.FetchSheetRequest,
        context: grpc.aio.ServicerContext,
    ) -> peer_pb2.FetchSheetReply:
        """Returns the sheet, if it is newer than the caller's."""
        version, data = self.sheet()
        if version <= request.have_version:
            return peer_pb2.FetchSheetReply(version=version)
        return peer_pb2.FetchSheetReply(version=version, sheet=data)

    async def Announce(  # noqa: N802
        self,
        request: peer_pb2.Announcement,
        context: grpc.aio.ServicerContext,
    ) -> peer_pb2.AnnouncementReply:
        """Takes a newly accepted sheet."""
        version = self.announce(
            request.version, request.base_version, request.patch
        )
        return peer_pb2.AnnouncementReply(sheet_version=version)

    def _reply(
        self, request: peer_pb2.ExchangeRequest, now: float
    ) -> peer_pb2.ExchangeReply:
        known = {
            each.id: (each.incarnation, each.revision) for each in request.known
        }
        reply = peer_pb2.ExchangeReply(
            records=[
                codec.record_to_wire(record)
                for record in self.members.lacking(known, request.is_full, now)
            ],
            sheet_version=self.sheet()[0],
        )
        for domain in request.domains:
            whole, broken = self.evidence_of(domain)
            reply.evidence.extend(
                codec.evidence_to_wire(each, now) for each in whole
            )
            reply.broken.extend(
                peer_pb2.Broken(
                    replica_id=each.replica_id, fence=each.fence, age_ms=0
                )
                for each in broken
            )
        put_crashes(self.quarantine, reply, now)
        return reply


class PeerClient:
    """Asks peers.

    Attributes:
        members: The peers.
        gate: Takes the evidence.
        quarantine: Takes and gives crashes.
        transport: Carries the calls.
        versions: The sheet version of each peer, as last heard.
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
        """Pulls from one peer; returns whether it answered.

        Args:
            address: Where the peer hears others.
            domains: Domains to ask evidence of.
            is_full: Whether to ask for everything that is newer, and not
                only for what the peer learned lately.
        """
        asked_at = self.clock()
        request = peer_pb2.ExchangeRequest(
            sender=codec.record_to_wire(self.members.own),
            known=self._known(address, is_full, asked_at),
            domains=list(domains),
            is_full=is_full,
        )
        put_crashes(self.quarantine, request, asked_at)
        reply = await self._call(address, "Exchange", request, _CALL_S)
        if reply is None:
            return False
        self.metrics.count("peer_messages")
        self.metrics.count("peer_bytes_sent", amount=request.ByteSize())
        self.metrics.count("peer_bytes", amount=reply.ByteSize())
        try:
            self._take(reply, asked_at)
        except ValueError:
            self.metrics.count("peer_refused", codes.PEER_BAD_MESSAGE.name)
            return False
        self.versions[address] = reply.sheet_version
        for peer_id, each in self.members.seen.items():
            if each.record.peer_address == address:
                self.members.hear(peer_id, self.clock())
        return True

    async def fetch_sheet(self, address: str, have: int) -> bytes:
        """Returns a peer's sheet if it is newer; empty otherwise."""
        request = peer_pb2.FetchSheetRequest(have_version=have)
        reply = await self._call(address, "FetchSheet", request, _FETCH_S)
        return b"" if reply is None else reply.sheet

    async def announce(
        self, addresses: Iterable[str], version: int, base: int, patch: bytes
    ) -> None:
        """Tells peers of an accepted sheet; those missed pull it later."""
        message = peer_pb2.Announcement(
            version=version, base_version=base, patch=patch
        )
        await asyncio.gather(
            *(
                self._call(address, "Announce", message, _CALL_S)
                for address in addresses
            )
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self.transport.close()

    def _known(
        self, address: str, is_full: bool, now: float
    ) -> list[peer_pb2.Known]:
        """Returns what to tell a peer that is known already."""
        known = self.members.known()
        if not is_full:
            told = set(self.members.recent_freshness(now))
            told.update(
                peer_id
                for peer_id, each in self.members.seen.items()
                if each.record.peer_address == address
            )
            known = {peer_id: known[peer_id] for peer_id in told}
        return [
            peer_pb2.Known(
                id=peer_id, incarnation=incarnation, revision=revision
            )
            for peer_id, (incarnation, revision) in known.items()
        ]

    async def _call(
        self, address: str, method: str, request: Any, timeout_s: float
    ) -> Any:
        """Returns the reply; None if there was none."""
        try:
            return await self.transport.call(
                address, method, request, timeout_s
            )
        except UnavailableError as error:
            self.metrics.count("peer_failed", str(error))
            return None

    def _take(self, reply: peer_pb2.ExchangeReply, asked_at: float) -> None:
        records = [codec.record_from_wire(each) for each in reply.records]
        evidence = [
            codec.evidence_from_wire(each, asked_at) for each in reply.evidence
        ]
        take_crashes(self.quarantine, reply, asked_at)
        self.members.merge(records, self.clock())
        for each in evidence:
            self.gate.add(each)
        for broken in reply.broken:
            at = codec.local_time(broken.age_ms, asked_at)
            self.gate.close(broken.replica_id, broken.fence, at)


def put_crashes(
    quarantine: quarantine_lib.Quarantine,
    message: peer_pb2.ExchangeRequest | peer_pb2.ExchangeReply,
    now: float,
) -> None:
    """Adds what is known of crashes to a message."""
    message.crashes.extend(
        codec.crash_to_wire(each, now) for each in quarantine.all_crashes()
    )
    message.cleared.extend(
        peer_pb2.Cleared(fingerprint=each, age_ms=codec.age_ms(at, now))
        for each, at in quarantine.cleared.items()
    )


def take_crashes(
    quarantine: quarantine_lib.Quarantine,
    message: peer_pb2.ExchangeRequest | peer_pb2.ExchangeReply,
    asked_at: float,
) -> None:
    """Takes what a message says of crashes.

    Raises:
        ValueError: It is malformed.
    """
    crashes = [
        codec.crash_from_wire(each, asked_at) for each in message.crashes
    ]
    quarantine.add(crashes)
    for each in message.cleared:
        quarantine.clear(
            each.fingerprint, codec.local_time(each.age_ms, asked_at)
        )
