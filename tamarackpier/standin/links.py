"""Links between the nodes of a simulated world and the fakes outside of them.

Every message waits until its process runs, is delayed by the latency of the
network, and is lost if the two processes are cut off from each other. The
links are also where a paused process stops: between a check and the sending
that follows it, as well as between an answer and its handling.
"""

import asyncio
import dataclasses
import json
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
_OPEN_TIMEOUT_S = 1.0
# Delay between the decision to send a call and its sending above which the
# process counts as paused in between.
_MAX_SEND_DELAY_S = 0.1
_STREAM_BUFFER_PIECES = 64


@dataclasses.dataclass(frozen=True)
class Link:
    """Connects one entry instance to the processes outside of it.

    Attributes:
        world: World of the instance.
        entry: The entry instance.
    """

    world: "world_lib.World"
    entry: "world_lib.Entry"

    async def delay_request(self) -> None:
        """Waits until the process runs, then for the latency of its message."""
        await self.wait_until_running()
        await asyncio.sleep(self.world.spec.latency_s)

    async def delay_answer(self) -> None:
        """Waits for the latency of an answer, then until the process runs."""
        await asyncio.sleep(self.world.spec.latency_s)
        await self.wait_until_running()

    async def wait_until_running(self) -> None:
        """Waits until the process runs; forever if it was killed."""
        self.world.ledger.steps += 1
        await self.entry.runnable.wait()

    def reaches(self, process: str) -> bool:
        """Returns whether messages arrive at another process."""
        return not self.world.is_cut(self.entry.name, process)


@dataclasses.dataclass(frozen=True)
class LinkedTable(interfaces.Table):
    """The table as one entry instance reaches it.

    Attributes:
        link: Link of the instance.
    """

    link: Link

    async def read(
        self, keys: tuple[str, ...]
    ) -> result.Result[dict[str, interfaces.Row], codes.Fault]:
        """Reads rows at one instant."""
        return await self._call(lambda table: table.read(keys), False)

    async def scan(
        self, prefix: str
    ) -> result.Result[dict[str, interfaces.Row], codes.Fault]:
        """Reads all rows whose key has a prefix."""
        return await self._call(lambda table: table.scan(prefix), False)

    async def transact(
        self, transaction: interfaces.Transaction
    ) -> result.Result[dict[str, int], codes.Fault]:
        """Commits a transaction, unless a check fails."""
        return await self._call(lambda table: table.transact(transaction), True)

    async def _call(
        self,
        operation: Callable[
            [memory.MemoryTable],
            Awaitable[result.Result[T, codes.Fault]],
        ],
        is_write: bool,
    ) -> result.Result[T, codes.Fault]:
        link = self.link
        await link.delay_request()
        if not link.reaches(PLATFORM):
            await asyncio.sleep(_TABLE_TIMEOUT_S)
            await link.wait_until_running()
            return result.Failure(codes.fault(codes.TABLE_UNAVAILABLE, "cut"))
        operation_task = asyncio.ensure_future(operation(link.world.table))
        done, _ = await asyncio.wait({operation_task}, timeout=_TABLE_TIMEOUT_S)
        await link.delay_answer()
        if done and link.reaches(PLATFORM):
            return operation_task.result()
        # The table still completes an operation whose answer does not arrive.
        code = codes.TABLE_ANSWER_LOST if is_write else codes.TABLE_UNAVAILABLE
        return result.Failure(codes.fault(code, "no answer in time"))


@dataclasses.dataclass(frozen=True)
class LinkedList(interfaces.InstanceList):
    """The list of instances as one entry instance reaches it.

    Attributes:
        link: Link of the instance.
    """

    link: Link

    async def list(
        self,
    ) -> result.Result[tuple[interfaces.ListedInstance, ...], codes.Fault]:
        """Returns the list as the platform shows it, which may be outdated."""
        await self.link.delay_request()
        world = self.link.world
        await self.link.delay_answer()
        if not self.link.reaches(PLATFORM):
            fault = codes.fault(codes.INSTANCES_UNAVAILABLE, "cut")
            return result.Failure(fault)
        if world.frozen_list is not None:
            return result.Success(world.frozen_list)
        return await world.listed.list()


class FakeStream(engine_client.EngineStream):
    """An answer that is being transferred from an engine.

    Attributes:
        link: Link of the instance that reads the answer.
        is_silent: Whether further pieces, and the end, are dropped on the way.
        queue: Pieces that were not read yet; empty bytes stand for the end,
            None for a reset of the connection.
        is_closed: Set when the reader has closed the connection.
        transfer_task: Task that moves pieces from the engine to the queue.
    """

    def __init__(self, pieces: AsyncIterator[bytes], link: Link) -> None:
        self.link = link
        self.is_silent = False
        self.queue: asyncio.Queue[bytes | None] = asyncio.Queue(
            _STREAM_BUFFER_PIECES
        )
        self.is_closed = asyncio.Event()
        self.transfer_task = asyncio.ensure_future(self._transfer(pieces))

    async def _transfer(self, pieces: AsyncIterator[bytes]) -> None:
        end: bytes | None = b""
        try:
            async for piece in pieces:
                if not self.is_silent:
                    await self.queue.put(piece)
        except ConnectionResetError:
            end = None
        if not self.is_silent:
            await self.queue.put(end)

    async def read(self) -> bytes:
        """Returns the next piece; empty at the end.

        Raises:
            BrokenStreamError: The connection was reset or closed.
        """
        await self.link.wait_until_running()
        get_task = asyncio.ensure_future(self.queue.get())
        close_task = asyncio.ensure_future(self.is_closed.wait())
        try:
            await asyncio.wait(
                (get_task, close_task), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            close_task.cancel()
            if not get_task.done():
                get_task.cancel()
        await self.link.wait_until_running()
        if not get_task.done() or get_task.cancelled():
            raise engine_client.BrokenStreamError("closed")
        piece = get_task.result()
        if piece is None:
            raise engine_client.BrokenStreamError("reset")
        return piece

    def close(self) -> None:
        """Closes the connection; a pending read raises."""
        self.is_closed.set()
        self.transfer_task.cancel()
        if self in self.link.world.streams:
            self.link.world.streams.remove(self)


@dataclasses.dataclass(frozen=True)
class LinkedEngines(engine_client.EngineClient):
    """The engines as one entry instance reaches them.

    Attributes:
        link: Link of the instance.
    """

    link: Link

    async def report(
        self, address: str, instance_id: str, now: float
    ) -> result.Result[replica_model.EngineReport, codes.Fault]:
        """Asks an engine for a report of its state."""
        target = await self._reach(
            address,
            engine_client.PROBE_TIMEOUT_PERIODS * spec.timing().probe_period_s,
        )
        if target is None:
            return _unreachable()
        world = self.link.world
        report = target.report(now, world.clock())
        if world.spec.report_lag_s:
            running = world.delayed_load(report)
            report = dataclasses.replace(report, running=running)
        await self.link.delay_answer()
        return result.Success(report)

    async def order(
        self, order: replica_model.Order
    ) -> result.Result[None, codes.Fault]:
        """Sends an order to an engine."""
        world = self.link.world
        target = world.farm.engines[order.address]
        if target.health is engine.Health.PAUSED:
            # The order stays in the socket buffer until the engine resumes.
            delivery_task = asyncio.ensure_future(
                self._deliver_after_pause(order)
            )
            self.link.world.retain_task(delivery_task)
        fake_engine = await self._reach(
            order.address, spec.timing().order_flight_s
        )
        if fake_engine is None:
            return _unreachable()
        is_accepted = fake_engine.order(order, world.clock())
        await self.link.delay_answer()
        if not is_accepted:
            return result.Failure(codes.fault(codes.ORDER_REFUSED, "old"))
        return result.Success(None)

    async def open(
        self, address: str, dispatch: engine_client.Dispatch
    ) -> result.Result[engine_client.EngineStream, codes.Fault]:
        """Starts a call; a fault's outcome says whether it may have run."""
        world = self.link.world
        decided_at = world.clock()
        if await self._crashes_after_pause(address):
            return result.Failure(codes.fault(codes.UPSTREAM_FAILED, "reset"))
        lead = await self._reach(address, _OPEN_TIMEOUT_S)
        if lead is None:
            return _unreachable()
        if world.clock() - decided_at <= _MAX_SEND_DELAY_S:
            world.record_dispatch(
                self.link.entry.name, lead, dispatch.replica_id
            )
        else:
            # The process was paused between its check and the sending, which
            # it cannot prevent. Engines that check fencing numbers refuse such
            # a call; other engines run it only if their replica is whole.
            world.ledger.late_dispatches += 1
        status = world.farm.refusal_status(
            lead, dispatch.replica_id, dispatch.fence, world.clock()
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
        if engine.EARLY_CRASH_MARKER in json.dumps(call.content):
            lead.crash(world.clock())
            world.farm.on_crash(lead)
            return result.Failure(codes.fault(codes.UPSTREAM_FAILED, "crashed"))
        pieces = world.farm.generate(lead, job, world.clock)
        stream = FakeStream(pieces, self.link)
        world.streams.append(stream)
        return result.Success(stream)

    async def cancel(self, address: str, request_id: str) -> None:
        """Tells a lead that no caller waits for a call any more."""
        await self.link.delay_request()
        self.link.world.farm.cancelled.add(request_id)

    async def _reach(
        self, address: str, timeout_s: float
    ) -> engine.FakeEngine | None:
        """Returns an engine if a message reaches it, or else None.

        A crashed engine refuses the connection at once. A paused engine and
        one that is cut off do not answer within the timeout.
        """
        link = self.link
        await link.delay_request()
        target = link.world.farm.engines[address]
        is_answering = target.health is engine.Health.UP
        if is_answering and link.reaches(ENGINES):
            return target
        if target.health is not engine.Health.CRASHED:
            await asyncio.sleep(timeout_s)
        await link.wait_until_running()
        return None

    async def _crashes_after_pause(self, address: str) -> bool:
        """Waits while a call stays in the socket buffer of a paused engine.

        Returns:
            Whether the engine crashed instead of resuming.
        """
        target = self.link.world.farm.engines[address]
        if target.health is not engine.Health.PAUSED:
            return False
        while target.health is engine.Health.PAUSED and self.link.reaches(
            ENGINES
        ):
            await asyncio.sleep(0.05)
        return target.health is engine.Health.CRASHED

    async def _deliver_after_pause(self, order: replica_model.Order) -> None:
        """Delivers an order when a paused engine resumes, unless it crashes."""
        world = self.link.world
        await self.link.delay_request()
        target = world.farm.engines[order.address]
        while target.health is engine.Health.PAUSED:
            await asyncio.sleep(0.05)
        if target.health is engine.Health.UP:
            target.order(order, world.clock())


@dataclasses.dataclass(frozen=True)
class LinkedServices(service_client.ServiceClient):
    """The plain service as one entry instance reaches it.

    Attributes:
        link: Link of the instance.
    """

    link: Link

    async def has_ended(self, address: str) -> bool:
        """Returns whether nothing listens at the address of a service."""
        return self.link.world.service_mode == "down"

    async def call(
        self, address: str, call: request_model.ServiceCall, timeout_s: float
    ) -> result.Result[service_client.ServiceAnswer, codes.Fault]:
        """Sends a call once, without a retry."""
        world = self.link.world
        await self.link.delay_request()
        mode = world.service_mode
        if mode == "down" or not self.link.reaches(ENGINES):
            await self.link.delay_answer()
            return _unreachable()
        reference = call.body.decode(errors="replace")
        world.ledger.service_runs[reference] += 1
        await asyncio.sleep(0.02)
        if mode == "loses-answers":
            await asyncio.sleep(timeout_s)
            await self.link.delay_answer()
            return result.Failure(codes.fault(codes.OUTCOME_UNKNOWN, "lost"))
        await self.link.delay_answer()
        return result.Success(
            service_client.ServiceAnswer(201, "text/plain", call.body)
        )


class _Context:
    """Replaces the context that gRPC passes to a handler."""

    async def abort(self, code: object, details: str) -> None:
        """Refuses a call.

        Raises:
            UnavailableError: Always.
        """
        raise peers.UnavailableError("invalid_argument")


@dataclasses.dataclass(frozen=True)
class LinkedPeers(peers.Transport):
    """The other entry instances as one entry instance reaches them.

    Attributes:
        link: Link of the instance.
    """

    link: Link

    async def call(
        self, address: str, method: str, request: Any, timeout_s: float
    ) -> Any:
        """Returns the reply of a peer.

        Raises:
            UnavailableError: The peer could not be reached or refused the
                call.
        """
        link = self.link
        await link.delay_request()
        name = address.removesuffix(":peer")
        target = link.world.entries.get(name)
        if target is None or target.is_killed:
            raise peers.UnavailableError("unavailable")
        if not link.reaches(name) or not target.runnable.is_set():
            await asyncio.sleep(timeout_s)
            await link.wait_until_running()
            raise peers.UnavailableError("deadline_exceeded")
        handler = getattr(target.node.peer_service, method)
        reply = await handler(request, _Context())
        await link.delay_answer()
        return reply

    async def close(self) -> None:
        """Does nothing; a link has no connection to close."""


def _unreachable() -> result.Result[Any, codes.Fault]:
    return result.Failure(codes.fault(codes.UPSTREAM_UNREACHABLE, "no answer"))
