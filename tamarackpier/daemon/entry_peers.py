"""Calls between entry instances, over gRPC."""

import asyncio
import dataclasses
import random
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import grpc
from returns import result

from tamarackpier import codes, failures, logs, metrics, tasks
from tamarackpier.daemon import peer_status, row_cache
from tamarackpier.peer import partners
from tamarackpier.platform import interfaces
from tamarackpier.wire import entry_pb2, entry_pb2_grpc

__all__ = ["EntryPeers", "EntryService", "Followed"]

_EXCHANGE_TIMEOUT_S = 0.4
_FOLLOW_HEADROOM_S = 0.3  # Call timeout minus the requested wait.
_MAX_WAIT_S = 5.0  # Longest time for which a call waits for a change.
_MAX_FAILURES_PER_CHANNEL = 2  # Consecutive failures that close a channel.
_CLOSED = "CHANNEL_CLOSED"
_MAX_CHANNEL_IDLE_S = 10.0  # Channels that are idle for longer are closed.
_CHANNEL_OPTIONS = (
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 500),
    ("grpc.enable_http_proxy", 0),
    ("grpc.use_local_subchannel_pool", 1),
)

T = TypeVar("T")
_Reply = TypeVar(
    "_Reply", entry_pb2.FollowEnginesReply, entry_pb2.FetchConfigurationReply
)


@dataclasses.dataclass(frozen=True)
class Followed:
    """What a peer that is followed has passed on.

    Attributes:
        changes: Changes of the engine rows.
        configuration_version: Version of its configuration in force; 0 if it
            passes none on, as one of an earlier build.
        configuration: The configuration as encoded by the operator; empty if
            this instance has it.
    """

    changes: interfaces.Changes
    configuration_version: int
    configuration: bytes


class EntryService(entry_pb2_grpc.EntryServicer):
    """Serves the calls of peers.

    Attributes:
        statuses: Builds and processes status messages.
        configuration: Cache of the configuration in force.
        engines: Cache of the engine rows.
        is_doubtful: Returns whether engine rows may be stale.
        has_updates: Returns whether there is something that a caller may have
            missed, so that it should not wait for changes.
        evacuations: Returns the evacuations that this instance knows of.
    """

    def __init__(
        self,
        statuses: peer_status.PeerStatuses,
        configuration: row_cache.ConfigurationCache,
        engines: row_cache.EngineRowCache,
        is_doubtful: Callable[[], bool],
    ) -> None:
        self.statuses = statuses
        self.configuration = configuration
        self.engines = engines
        self.is_doubtful = is_doubtful
        self.has_updates: Callable[[], bool] = lambda: False
        self.evacuations: Callable[[], list[entry_pb2.Evacuation]] = lambda: []

    async def Exchange(  # noqa: N802
        self,
        request: entry_pb2.EntryStatus,
        context: grpc.aio.ServicerContext,
    ) -> entry_pb2.EntryStatus:
        """Processes a peer's status and returns that of this instance."""
        self.statuses.receive(request)
        return self.statuses.build_reply(request)

    async def FetchEngines(  # noqa: N802
        self,
        request: entry_pb2.FetchEnginesRequest,
        context: grpc.aio.ServicerContext,
    ) -> entry_pb2.FetchEnginesReply:
        """Returns all engine rows, or none if the peer's are not older."""
        version = self.engines.version
        if version <= request.have_version:
            return entry_pb2.FetchEnginesReply(version=version)
        rows = [
            entry_pb2.EngineRow(id=engine_id, data=data)
            for engine_id, data in self.engines.rows.items()
        ]
        return entry_pb2.FetchEnginesReply(version=version, rows=rows)

    async def FollowEngines(  # noqa: N802
        self,
        request: entry_pb2.FollowEnginesRequest,
        context: grpc.aio.ServicerContext,
    ) -> entry_pb2.FollowEnginesReply:
        """Returns what changed at this instance, after waiting for it.

        That is engine rows, evacuations, and a configuration that the caller
        lacks. A caller of an earlier build names no configuration, and can't
        take one.
        """
        wait_s = min(_MAX_WAIT_S, request.wait_ms / 1e3)

        def has_newer_configuration() -> bool:
            known_version = request.configuration_version
            return 0 < known_version < self.configuration.version

        is_waiting = (
            self.engines.version <= request.after_version
            and not has_newer_configuration()
            and not self.has_updates()
        )
        if is_waiting and not self.is_doubtful():
            await self.engines.wait_for_change(wait_s)
        changes = self.engines.changes_after(request.after_version)
        return entry_pb2.FollowEnginesReply(
            version=self.engines.version,
            rows=[
                entry_pb2.EngineRow(
                    id=change.key,
                    data=change.data or b"",
                    is_removed=change.data is None,
                    version=change.version,
                )
                for change in (changes.rows if changes else ())
            ],
            is_history_lost=changes is None,
            is_doubtful=self.is_doubtful(),
            configuration_version=self.configuration.version,
            configuration=(
                self.configuration.data if has_newer_configuration() else b""
            ),
            evacuations=self.evacuations(),
        )

    async def FetchConfiguration(  # noqa: N802
        self,
        request: entry_pb2.FetchConfigurationRequest,
        context: grpc.aio.ServicerContext,
    ) -> entry_pb2.FetchConfigurationReply:
        """Returns the configuration; empty if the peer's is not older."""
        data = b""
        if self.configuration.version > request.have_version:
            data = self.configuration.data
        return entry_pb2.FetchConfigurationReply(
            configuration=data, evacuations=self.evacuations()
        )


@dataclasses.dataclass
class _Link:
    """A connection to one peer address.

    Attributes:
        channel: Channel to the address.
        stub: Client stub on the channel.
        used_at: Monotonic time of the last use, in seconds.
        failed_calls: Number of consecutive failed status exchanges.
        is_busy: Whether a status exchange is in flight.
    """

    channel: grpc.aio.Channel
    stub: entry_pb2_grpc.EntryStub
    used_at: float
    failed_calls: int = 0
    is_busy: bool = False


class EntryPeers:
    """Client for calls to peers.

    Attributes:
        statuses: Builds and processes status messages.
        contacts: Configured addresses at which peers may listen.
        metrics: Counters of this instance.
        clock: Returns the monotonic time, in seconds.
        rng: Source of the random choice of peers.
        open_channel: Returns a channel to an address.
    """

    def __init__(
        self,
        statuses: peer_status.PeerStatuses,
        contacts: tuple[str, ...],
        counts: metrics.Metrics,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.statuses = statuses
        self.contacts = contacts
        self.metrics = counts
        self.clock = clock
        self.rng = rng
        self.open_channel: Callable[[str], grpc.aio.Channel] = _open_channel
        self._round_number = rng.randrange(1 << 16)
        self._links: dict[str, _Link] = {}
        self._tasks = tasks.Tasks()

    def start_exchanges(self, is_urgent: bool = False) -> None:
        """Starts status exchanges with some of the peers.

        A small fleet exchanges with all peers in each round; a large one with
        a few. Idle channels are closed.

        Args:
            is_urgent: Whether the status should spread at once.
        """
        roster = self.statuses.roster
        now = self.clock()
        peer_ids_by_address = {
            presence.peer_address: peer_id
            for peer_id, (presence, _) in roster.others.items()
        }
        self._round_number += 1
        addresses = partners.choose(
            roster.own_presence,
            roster.live(now),
            {*peer_ids_by_address, *self.contacts},
            self._round_number,
            is_urgent,
            self.rng,
        )
        for address in sorted(addresses):
            link = self._link(address)
            if not link.is_busy:
                self._tasks.start(
                    self._exchange(
                        address, peer_ids_by_address.get(address, ""), link
                    )
                )
        idle_addresses = [
            address
            for address, link in self._links.items()
            if now - link.used_at > _MAX_CHANNEL_IDLE_S
        ]
        for address in idle_addresses:
            self._tasks.start(self._links.pop(address).channel.close())

    async def fetch_configuration(
        self, peer_id: str, limit_s: float
    ) -> result.Result[bytes, codes.Fault]:
        """Fetches a peer's configuration; empty if it is not newer.

        Args:
            peer_id: ID of the peer.
            limit_s: Time for which to wait for the answer, in seconds.
        """
        request = entry_pb2.FetchConfigurationRequest(
            have_version=self.statuses.version()
        )
        self._record_call(peer_id)
        reply_result = await self._call(
            peer_id,
            lambda stub: stub.FetchConfiguration(request, timeout=limit_s),
        )
        return reply_result.map(
            lambda reply: bytes(
                self._with_evacuations(reply, peer_id).configuration
            )
        )

    async def fetch_engines(
        self, peer_id: str, have_version: int, limit_s: float
    ) -> result.Result[interfaces.Changes, codes.Fault]:
        """Fetches all engine rows of a peer; none if they are not newer.

        Args:
            peer_id: ID of the peer.
            have_version: Store version of the rows that this instance has.
            limit_s: Time for which to wait for the answer, in seconds.
        """
        request = entry_pb2.FetchEnginesRequest(have_version=have_version)
        self._record_call(peer_id)
        reply_result = await self._call(
            peer_id, lambda stub: stub.FetchEngines(request, timeout=limit_s)
        )
        return reply_result.map(
            lambda reply: interfaces.Changes(
                tuple(
                    interfaces.Change(row.id, reply.version, row.data)
                    for row in reply.rows
                ),
                reply.version,
            )
        )

    async def fetch_engine_changes(
        self, peer_id: str, after: int, limit_s: float
    ) -> result.Result[Followed, codes.Fault]:
        """Fetches the engine rows that changed at a peer, without a wait.

        Unlike `follow_engines`, it takes rows that the peer itself doubts: they
        are newer than those of this instance.

        Args:
            peer_id: ID of the peer.
            after: Store version after which the rows changed.
            limit_s: Time for which to wait for the answer, in seconds.

        Returns:
            The changes, or a fault if the call failed or the peer's history
            does not reach back to `after`.
        """
        request = entry_pb2.FollowEnginesRequest(
            after_version=after, configuration_version=self.statuses.version()
        )
        self._record_call(peer_id)
        reply_result = await self._call(
            peer_id, lambda stub: stub.FollowEngines(request, timeout=limit_s)
        )
        return reply_result.bind(
            lambda reply: _decode_rows(
                peer_id, self._with_evacuations(reply, peer_id)
            )
        )

    async def follow_engines(
        self, peer_id: str, after: int, wait_s: float
    ) -> result.Result[Followed, codes.Fault]:
        """Fetches the engine rows that changed at a peer.

        Args:
            peer_id: ID of the peer.
            after: Store version after which the rows changed.
            wait_s: Time for which the peer waits for a first change, in
                seconds.

        Returns:
            The changes, or a fault if the call failed, the peer's rows may be
            stale, or its history does not reach back to `after`.
        """
        request = entry_pb2.FollowEnginesRequest(
            after_version=after,
            wait_ms=int(wait_s * 1e3),
            configuration_version=self.statuses.version(),
        )
        timeout_s = wait_s + _FOLLOW_HEADROOM_S
        reply_result = await self._call(
            peer_id, lambda stub: stub.FollowEngines(request, timeout=timeout_s)
        )
        return reply_result.bind(
            lambda reply: _decode_reply(
                peer_id, self._with_evacuations(reply, peer_id)
            )
        )

    def _with_evacuations(self, reply: _Reply, peer_id: str) -> _Reply:
        """Applies the evacuations in a reply before its other parts.

        They also hold if the peer's rows may be stale.
        """
        self.statuses.on_evacuations(reply.evacuations, peer_id)
        return reply

    async def close(self) -> None:
        """Ends all exchanges and closes all channels."""
        self._tasks.cancel()
        for link in self._links.values():
            await link.channel.close()
        self._links.clear()

    async def _call(
        self,
        peer_id: str,
        call: Callable[[Any], Awaitable[T]],
    ) -> result.Result[T, codes.Fault]:
        known_peer = self.statuses.roster.others.get(peer_id)
        if known_peer is None:
            return failures.failure(codes.PEER_UNAVAILABLE, peer_id)
        link = self._link(known_peer[0].peer_address)
        contacts = self.statuses.contacts
        try:
            reply = await call(link.stub)
        except grpc.aio.AioRpcError as error:
            reason = error.code().name
        except grpc.aio.UsageError:
            reason = _CLOSED
        except asyncio.CancelledError:
            # Closing a channel cancels its calls, which does not mean that
            # this task was cancelled.
            if _is_cancelled():
                raise
            reason = _CLOSED
        else:
            contacts.record_answer(peer_id, self.clock())
            return result.Success(reply)
        contacts.record_failure(peer_id, self.clock())
        return failures.failure(codes.PEER_UNAVAILABLE, f"{peer_id}: {reason}")

    def _record_call(self, peer_id: str) -> None:
        self.statuses.contacts.record_call(peer_id, self.clock())

    def _link(self, address: str) -> _Link:
        now = self.clock()
        link = self._links.get(address)
        if link is None:
            channel = self.open_channel(address)
            link = _Link(channel, entry_pb2_grpc.EntryStub(channel), now)
            self._links[address] = link
        link.used_at = now
        return link

    async def _exchange(self, address: str, peer_id: str, link: _Link) -> None:
        link.is_busy = True
        contacts = self.statuses.contacts
        if peer_id:
            self._record_call(peer_id)
        try:
            reply = await link.stub.Exchange(
                self.statuses.build_request(), timeout=_EXCHANGE_TIMEOUT_S
            )
            link.failed_calls = 0
            if peer_id:
                contacts.record_answer(peer_id, self.clock())
            self.statuses.receive(reply)
        except grpc.aio.UsageError:
            self.metrics.count("peer_error", _CLOSED)
        except grpc.aio.AioRpcError as error:
            self.metrics.count("peer_error", error.code().name)
            if peer_id:
                contacts.record_failure(peer_id, self.clock())
            details = (error.details() or "").lower()
            if peer_id and "refused" in details:
                self._record_refusal(peer_id)
            link.failed_calls += 1
            if link.failed_calls >= _MAX_FAILURES_PER_CHANNEL:
                # A connection that went silent does not recover by itself.
                self._links.pop(address, None)
                await link.channel.close()
        finally:
            link.is_busy = False

    def _record_refusal(self, peer_id: str) -> None:
        roster = self.statuses.roster
        if peer_id not in roster.refused:
            logs.event("peer refuses connections", peer=peer_id)
        roster.refuse(peer_id, self.clock())


def _open_channel(address: str) -> grpc.aio.Channel:
    return grpc.aio.insecure_channel(address, options=_CHANNEL_OPTIONS)


def _is_cancelled() -> bool:
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def _decode_reply(
    peer_id: str, reply: entry_pb2.FollowEnginesReply
) -> result.Result[Followed, codes.Fault]:
    if reply.is_doubtful:
        return failures.failure(
            codes.PEER_UNAVAILABLE, f"{peer_id} has old rows"
        )
    return _decode_rows(peer_id, reply)


def _decode_rows(
    peer_id: str, reply: entry_pb2.FollowEnginesReply
) -> result.Result[Followed, codes.Fault]:
    if reply.is_history_lost:
        return failures.failure(codes.TABLE_HISTORY_LOST, peer_id)
    rows = tuple(
        interfaces.Change(
            row.id, row.version, None if row.is_removed else row.data
        )
        for row in reply.rows
    )
    return result.Success(
        Followed(
            interfaces.Changes(rows, reply.version),
            reply.configuration_version,
            bytes(reply.configuration),
        )
    )
