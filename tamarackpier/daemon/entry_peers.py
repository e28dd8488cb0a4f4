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

__all__ = ["EntryPeers", "EntryService"]

_CALL_S = 0.4
_FETCH_S = 1.0
_FOLLOW_SLACK_S = 0.3  # Beyond the wait itself.
_MOST_WAIT_S = 5.0
_TIMEOUTS_UNTIL_NEW_CHANNEL = 2
_CLOSED = "CHANNEL_CLOSED"
_IDLE_S = 10.0  # A channel that was not used for so long is closed.
_OPTIONS = (
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 500),
    ("grpc.enable_http_proxy", 0),
    ("grpc.use_local_subchannel_pool", 1),
)

T = TypeVar("T")


class EntryService(entry_pb2_grpc.EntryServicer):
    """Answers peers.

    Attributes:
        book: Makes and takes messages.
        configuration: The configuration in force.
        engines: The engines' rows.
        is_doubtful: Returns whether rows may be out of date.
    """

    def __init__(
        self,
        book: peer_status.PeerStatuses,
        configuration: row_cache.ConfigurationCache,
        engines: row_cache.EngineRowCache,
        is_doubtful: Callable[[], bool],
    ) -> None:
        self.statuses = book
        self.configuration = configuration
        self.engines = engines
        self.is_doubtful = is_doubtful

    async def Exchange(  # noqa: N802
        self,
        request: entry_pb2.EntryStatus,
        context: grpc.aio.ServicerContext,
    ) -> entry_pb2.EntryStatus:
        """Takes a peer's state and returns this instance's."""
        self.statuses.receive(request)
        return self.statuses.build_status()

    async def FetchEngines(  # noqa: N802
        self,
        request: entry_pb2.FetchEnginesRequest,
        context: grpc.aio.ServicerContext,
    ) -> entry_pb2.FetchEnginesReply:
        """Returns all rows of engines, if they are newer."""
        version = self.engines.version
        if version <= request.have_version:
            return entry_pb2.FetchEnginesReply(version=version)
        rows = [
            entry_pb2.EngineRow(id=name, data=data)
            for name, data in self.engines.rows.items()
        ]
        return entry_pb2.FetchEnginesReply(version=version, rows=rows)

    async def FollowEngines(  # noqa: N802
        self,
        request: entry_pb2.FollowEnginesRequest,
        context: grpc.aio.ServicerContext,
    ) -> entry_pb2.FollowEnginesReply:
        """Returns the rows of engines that changed, once any has."""
        wait_s = min(_MOST_WAIT_S, request.wait_ms / 1e3)
        is_waiting = self.engines.version <= request.after_version
        if is_waiting and not self.is_doubtful():
            await self.engines.wait(wait_s)
        found = self.engines.changes_after(request.after_version)
        return entry_pb2.FollowEnginesReply(
            version=self.engines.version,
            rows=[
                entry_pb2.EngineRow(
                    id=each.key,
                    data=each.data or b"",
                    is_removed=each.data is None,
                    version=each.version,
                )
                for each in (found.rows if found else ())
            ],
            is_history_lost=found is None,
            is_doubtful=self.is_doubtful(),
        )

    async def FetchConfiguration(  # noqa: N802
        self,
        request: entry_pb2.FetchConfigurationRequest,
        context: grpc.aio.ServicerContext,
    ) -> entry_pb2.FetchConfigurationReply:
        """Returns the configuration in force, if it is newer."""
        data = b""
        if self.configuration.version > request.have_version:
            data = self.configuration.data
        return entry_pb2.FetchConfigurationReply(configuration=data)


@dataclasses.dataclass
class _Link:
    channel: grpc.aio.Channel
    stub: entry_pb2_grpc.EntryStub
    used_at: float
    timeouts: int = 0
    busy: bool = False


class EntryPeers:
    """Calls peers.

    Attributes:
        book: Makes and takes messages.
        contacts: Addresses to try while nobody is known.
    """

    def __init__(
        self,
        book: peer_status.PeerStatuses,
        contacts: tuple[str, ...],
        counts: metrics.Metrics,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.statuses = book
        self.contacts = contacts
        self.metrics = counts
        self.clock = clock
        self.rng = rng
        self._round_number = rng.randrange(1 << 16)
        self._links: dict[str, _Link] = {}
        self._tasks = tasks.Tasks()

    def round(self, is_urgent: bool = False) -> None:
        """Starts exchanges with some peers, or with all of a few."""
        roster = self.statuses.roster
        now = self.clock()
        names = {
            each.peer_address: name for name, (each, _) in roster.others.items()
        }
        self._round_number += 1
        chosen = partners.choose(
            roster.own,
            roster.live(now),
            {*names, *self.contacts},
            self._round_number,
            is_urgent,
            self.rng,
        )
        for address in sorted(chosen):
            link = self._link(address)
            if not link.busy:
                self._tasks.start(
                    self._exchange(address, names.get(address, ""), link)
                )
        old = [
            address
            for address, link in self._links.items()
            if now - link.used_at > _IDLE_S
        ]
        for address in old:
            self._tasks.start(self._links.pop(address).channel.close())

    async def fetch_configuration(
        self, name: str
    ) -> result.Result[bytes, codes.Fault]:
        """Fetches the configuration from a peer."""
        request = entry_pb2.FetchConfigurationRequest(
            have_version=self.statuses.version()
        )
        found = await self._call(
            name,
            lambda stub: stub.FetchConfiguration(request, timeout=_FETCH_S),
        )
        return found.map(lambda reply: bytes(reply.configuration))

    async def fetch_engines(
        self, name: str, have_version: int
    ) -> result.Result[interfaces.Changes, codes.Fault]:
        """Fetches all rows of engines from a peer."""
        request = entry_pb2.FetchEnginesRequest(have_version=have_version)
        found = await self._call(
            name, lambda stub: stub.FetchEngines(request, timeout=_FETCH_S)
        )
        return found.map(
            lambda reply: interfaces.Changes(
                tuple(
                    interfaces.Change(each.id, reply.version, each.data)
                    for each in reply.rows
                ),
                reply.version,
            )
        )

    async def follow_engines(
        self, name: str, after: int, wait_s: float
    ) -> result.Result[interfaces.Changes, codes.Fault]:
        """Returns rows of engines that changed, from a peer that is sure."""
        request = entry_pb2.FollowEnginesRequest(
            after_version=after, wait_ms=int(wait_s * 1e3)
        )
        limit_s = wait_s + _FOLLOW_SLACK_S
        found = await self._call(
            name, lambda stub: stub.FollowEngines(request, timeout=limit_s)
        )
        return found.bind(lambda reply: _followed(name, reply))

    async def close(self) -> None:
        """Ends all exchanges and closes all channels."""
        self._tasks.cancel()
        for link in self._links.values():
            await link.channel.close()
        self._links.clear()

    async def _call(
        self,
        name: str,
        call: Callable[[Any], Awaitable[T]],
    ) -> result.Result[T, codes.Fault]:
        known = self.statuses.roster.others.get(name)
        if known is None:
            return failures.failure(codes.PEER_UNAVAILABLE, name)
        link = self._link(known[0].peer_address)
        try:
            return result.Success(await call(link.stub))
        except grpc.aio.AioRpcError as error:
            reason = error.code().name
        except grpc.aio.UsageError:
            reason = _CLOSED
        except asyncio.CancelledError:
            # A channel that closes cancels its calls; that is not our end.
            if _is_cancelled():
                raise
            reason = _CLOSED
        return failures.failure(codes.PEER_UNAVAILABLE, f"{name}: {reason}")

    def _link(self, address: str) -> _Link:
        now = self.clock()
        found = self._links.get(address)
        if found is None:
            channel = grpc.aio.insecure_channel(address, options=_OPTIONS)
            found = _Link(channel, entry_pb2_grpc.EntryStub(channel), now)
            self._links[address] = found
        found.used_at = now
        return found

    async def _exchange(self, address: str, name: str, link: _Link) -> None:
        link.busy = True
        try:
            reply = await link.stub.Exchange(
                self.statuses.build_status(), timeout=_CALL_S
            )
            link.timeouts = 0
            self.statuses.receive(reply)
        except grpc.aio.UsageError:
            self.metrics.count("peer_error", _CLOSED)
        except grpc.aio.AioRpcError as error:
            self.metrics.count("peer_error", error.code().name)
            details = (error.details() or "").lower()
            if name and "refused" in details:
                self._note_refusal(name)
            link.timeouts += 1
            if link.timeouts >= _TIMEOUTS_UNTIL_NEW_CHANNEL:
                # An open connection that went silent never recovers by itself.
                self._links.pop(address, None)
                await link.channel.close()
        finally:
            link.busy = False

    def _note_refusal(self, name: str) -> None:
        roster = self.statuses.roster
        if name not in roster.refused:
            logs.event("peer refuses connections", peer=name)
        roster.refuse(name, self.clock())


def _is_cancelled() -> bool:
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def _followed(
    name: str, reply: entry_pb2.FollowEnginesReply
) -> result.Result[interfaces.Changes, codes.Fault]:
    if reply.is_doubtful:
        return failures.failure(codes.PEER_UNAVAILABLE, f"{name} has old rows")
    if reply.is_history_lost:
        return failures.failure(codes.TABLE_HISTORY_LOST, name)
    rows = tuple(
        interfaces.Change(
            each.id, each.version, None if each.is_removed else each.data
        )
        for each in reply.rows
    )
    return result.Success(interfaces.Changes(rows, reply.version))
