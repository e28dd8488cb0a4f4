"""How the nodes of a world reach what lies outside them.

Every message waits until its process runs, travels for a while, and may meet
a cut. A process that is paused is paused here, between a check and a sending
as well as between an answer and what follows it.
"""

import asyncio
import dataclasses
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import TYPE_CHECKING, Any, TypeVar

from returns import result

from tamarackpier import codes
from tamarackpier.daemon import peers
from tamarackpier.platform import interfaces
from tamarackpier.replica import model as replica_model
from tamarackpier.request import model as request_model
from tamarackpier.standin import engine, memory, spec
from tamarackpier.upstream import engine as engine_client
from tamarackpier.upstream import service as service_client

if TYPE_CHECKING:
    from tamarackpier.standin import world as world_lib

__all__ = [
    "ENGINES",
    "FakeStream",
    "Link",
    "LinkedEngines",
    "LinkedList",
    "LinkedPeers",
    "LinkedServices",
    "LinkedTable",
    "PLATFORM",
]

T = TypeVar("T")

PLATFORM = "platform"
ENGINES = "engines"
_TABLE_TIMEOUT_S = 2.0
_OPEN_WAIT_S = 1.0
_PAUSED_S = 0.1
_STREAM_BUFFER = 64


@dataclasses.dataclass(frozen=True)
class Link:
    """An entry instance's way to everything outside it."""

    world: "world_lib.World"
    entry: "world_lib.Entry"

    async def leave(self) -> None:
        """Waits until the process runs and its message has travelled."""
        await self.wake()
        await asyncio.sleep(self.world.spec.latency_s)

    async def arrive(self) -> None:
        """Waits until an answer has travelled and the process runs."""
        await asyncio.sleep(self.world.spec.latency_s)
        await self.wake()

    async def wake(self) -> None:
        """Waits until the process runs; for ever if it was killed."""
        self.world.ledger.steps += 1
        await self.entry.awake.wait()

    def reaches(self, other: str) -> bool:
        """Returns whether messages get to another process."""
        return not self.world.is_cut(self.entry.name, other)


@dataclasses.dataclass(frozen=True)
class LinkedTable(interfaces.Table):
    """The table as one entry instance reaches it."""

    link: Link

    async def read(
        self, keys: tuple[str, ...]
    ) -> result.Result[dict[str, interfaces.Row], codes.Fault]:
        """Reads rows."""
        return await self._call(lambda table: table.read(keys), False)

    async def scan(
        self, prefix: str
    ) -> result.Result[dict[str, interfaces.Row], codes.Fault]:
        """Reads rows by prefix."""
        return await self._call(lambda table: table.scan(prefix), False)

    async def transact(
        self, transaction: interfaces.Transaction
    ) -> result.Result[dict[str, int], codes.Fault]:
        """Commits a transaction."""
        return await self._call(lambda table: table.transact(transaction), True)

    async def _call(
        self,
        ask: Callable[
            [memory.MemoryTable],
            Awaitable[result.Result[T, codes.Fault]],
        ],
        is_write: bool,
    ) -> result.Result[T, codes.Fault]:
        link = self.link
        await link.leave()
        if not link.reaches(PLATFORM):
            await asyncio.sleep(_TABLE_TIMEOUT_S)
            await link.wake()
            return result.Failure(codes.fault(codes.TABLE_UNAVAILABLE, "cut"))
        asking = asyncio.ensure_future(ask(link.world.table))
        done, _ = await asyncio.wait({asking}, timeout=_TABLE_TIMEOUT_S)
        await link.arrive()
        if done and link.reaches(PLATFORM):
            return asking.result()
        # The service goes on with what it was asked.
        code = codes.TABLE_ANSWER_LOST if is_write else codes.TABLE_UNAVAILABLE
        return result.Failure(codes.fault(code, "no answer in time"))


@dataclasses.dataclass(frozen=True)
class LinkedList(interfaces.InstanceList):
    """The list of instances as one entry instance reaches it."""

    link: Link

    async def list(
        self,
    ) -> result.Result[tuple[interfaces.ListedInstance, ...], codes.Fault]:
        """Returns the list as it is shown."""
        await self.link.leave()
        world = self.link.world
        await self.link.arrive()
        if not self.link.reaches(PLATFORM):
            fault = codes.fault(codes.INSTANCES_UNAVAILABLE, "cut")
            return result.Failure(fault)
        if world.frozen_list is not None:
            return result.Success(world.frozen_list)
        return await world.listed.list()


class FakeStream(engine_client.EngineStream):
    """An answer on its way from an engine."""

    def __init__(self, pieces: AsyncIterator[bytes], link: Link) -> None:
        self.link = link
        self.is_mute = False
        self.queue: asyncio.Queue[bytes | None] = asyncio.Queue(_STREAM_BUFFER)
        self.is_closed = asyncio.Event()
        self.pump = asyncio.ensure_future(self._pump(pieces))

    async def _pump(self, pieces: AsyncIterator[bytes]) -> None:
        end: bytes | None = b""
        try:
            async for piece in pieces:
                if not self.is_mute:
                    await self.queue.put(piece)
        except ConnectionResetError:
            end = None
        if not self.is_mute:
            await self.queue.put(end)

    async def read(self) -> bytes:
        """Returns the next piece."""
        await self.link.wake()
        getting = asyncio.ensure_future(self.queue.get())
        closing = asyncio.ensure_future(self.is_closed.wait())
        try:
            await asyncio.wait(
                (getting, closing), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            closing.cancel()
            if not getting.done():
                getting.cancel()
        await self.link.wake()
        if not getting.done() or getting.cancelled():
            raise engine_client.BrokenStreamError("closed")
        found = getting.result()
        if found is None:
            raise engine_client.BrokenStreamError("reset")
        return found

    def close(self) -> None:
        """Drops the connection."""
        self.is_closed.set()
        self.pump.cancel()
        if self in self.link.world.streams:
            self.link.world.streams.remove(self)


@dataclasses.dataclass(frozen=True)
class LinkedEngines(engine_client.EngineClient):
    """The engines as one entry instance reaches them."""

    link: Link

    async def report(
        self, address: str, instance_id: str, now: float
    ) -> result.Result[replica_model.EngineReport, codes.Fault]:
        """Asks an engine how it is."""
        found = await self._reach(address, spec.timing().probe_period_s * 2)
        if found is None:
            return _unreachable()
        world = self.link.world
        report = found.report(now, world.clock())
        if world.spec.report_lag_s:
            running = world.lagging_load(report)
            report = dataclasses.replace(report, running=running)
        await self.link.arrive()
        return result.Success(report)

    async def order(
        self, order: replica_model.Order
    ) -> result.Result[None, codes.Fault]:
        """Gives an engine an order."""
        world = self.link.world
        target = world.farm.engines[order.address]
        if target.health is engine.Health.PAUSED:
            # The order waits in the machine's socket until it goes on.
            world_task = asyncio.ensure_future(self._deliver_late(order))
            self.link.world.keep(world_task)
        found = await self._reach(order.address, spec.timing().order_flight_s)
        if found is None:
            return _unreachable()
        is_taken = found.order(order, world.clock())
        await self.link.arrive()
        if not is_taken:
            return result.Failure(codes.fault(codes.ORDER_REFUSED, "old"))
        return result.Success(None)

    async def open(
        self, address: str, dispatch: engine_client.Dispatch
    ) -> result.Result[engine_client.EngineStream, codes.Fault]:
        """Starts a call."""
        world = self.link.world
        decided_at = world.clock()
        found = await self._reach(address, _OPEN_WAIT_S)
        if found is None:
            return _unreachable()
        if world.clock() - decided_at <= _PAUSED_S:
            world.note_dispatch(
                self.link.entry.name, found, dispatch.replica_id
            )
        else:
            # The process was paused between its check and the sending, which
            # nothing on its side can undo. Engines that check numbers refuse
            # such a call; the others run it only if their group is whole.
            world.ledger.late_dispatches += 1
        status = world.farm.refusal_status(
            found, dispatch.replica_id, dispatch.fence, world.clock()
        )
        if world.rng.random() < world.failing_share:
            return result.Failure(codes.fault(codes.UPSTREAM_FAILED, "fails"))
        if status == engine.STATUS_CONFLICT:
            return result.Failure(codes.fault(codes.REPLICA_NOT_WHOLE, ""))
        if status:
            return result.Failure(codes.fault(codes.UPSTREAM_REFUSED, ""))
        call = dispatch.call
        job = engine.GenerationRequest(
            call.request_id,
            call.kind is request_model.CallKind.CHAT,
            call.content,
            call.max_tokens,
            dispatch.delivered_pieces,
        )
        pieces = world.farm.generate(found, job, world.clock)
        stream = FakeStream(pieces, self.link)
        world.streams.append(stream)
        return result.Success(stream)

    async def cancel(self, address: str, request_id: str) -> None:
        """Tells a lead that nobody waits for a call any more."""
        await self.link.leave()
        self.link.world.farm.cancelled.add(request_id)

    async def _reach(
        self, address: str, timeout_s: float
    ) -> engine.FakeEngine | None:
        link = self.link
        await link.leave()
        found = link.world.farm.engines[address]
        is_answering = found.health is engine.Health.UP
        if is_answering and link.reaches(ENGINES):
            return found
        if found.health is not engine.Health.CRASHED:
            await asyncio.sleep(timeout_s)
        await link.wake()
        return None

    async def _deliver_late(self, order: replica_model.Order) -> None:
        world = self.link.world
        await self.link.leave()
        target = world.farm.engines[order.address]
        while target.health is engine.Health.PAUSED:
            await asyncio.sleep(0.05)
        if target.health is engine.Health.UP:
            target.order(order, world.clock())


@dataclasses.dataclass(frozen=True)
class LinkedServices(service_client.ServiceClient):
    """The plain service as one entry instance reaches it."""

    link: Link

    async def call(
        self, address: str, call: request_model.ServiceCall, timeout_s: float
    ) -> result.Result[service_client.ServiceAnswer, codes.Fault]:
        """Sends a call once."""
        world = self.link.world
        await self.link.leave()
        mode = world.service_mode
        if mode == "down" or not self.link.reaches(ENGINES):
            await self.link.arrive()
            return _unreachable()
        reference = call.body.decode(errors="replace")
        world.ledger.service_runs[reference] += 1
        await asyncio.sleep(0.02)
        if mode == "loses-answers":
            await asyncio.sleep(timeout_s)
            await self.link.arrive()
            return result.Failure(codes.fault(codes.OUTCOME_UNKNOWN, "lost"))
        await self.link.arrive()
        return result.Success(
            service_client.ServiceAnswer(201, "text/plain", call.body)
        )


class _Context:
    """Stands in for gRPC's context."""

    async def abort(self, code: object, details: str) -> None:
        """Refuses a call."""
        raise peers.UnavailableError("invalid_argument")


@dataclasses.dataclass(frozen=True)
class LinkedPeers(peers.Transport):
    """The other entry instances as one reaches them."""

    link: Link

    async def call(
        self, address: str, method: str, request: Any, timeout_s: float
    ) -> Any:
        """Returns the peer's reply."""
        link = self.link
        await link.leave()
        name = address.removesuffix(":peer")
        target = link.world.entries.get(name)
        if target is None or target.is_killed:
            raise peers.UnavailableError("unavailable")
        if not link.reaches(name) or not target.awake.is_set():
            await asyncio.sleep(timeout_s)
            await link.wake()
            raise peers.UnavailableError("deadline_exceeded")
        handler = getattr(target.node.peer_service, method)
        reply = await handler(request, _Context())
        await link.arrive()
        return reply

    async def close(self) -> None:
        """Closes nothing."""


def _unreachable() -> result.Result[Any, codes.Fault]:
    return result.Failure(codes.fault(codes.UPSTREAM_UNREACHABLE, "no answer"))
