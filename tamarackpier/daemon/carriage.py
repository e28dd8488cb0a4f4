"""Reaches engines through peers, for an instance without links to engines.

A peer calls the engine itself, so a call passes at most one peer.
"""

from collections.abc import Awaitable, Callable

import grpc
from returns import pipeline, result

from tamarackpier import codes, failures, metrics, tasks
from tamarackpier.fleet import fleet_view, model
from tamarackpier.peer import roster as roster_lib
from tamarackpier.upstream import gateway
from tamarackpier.wire import carriage_pb2, carriage_pb2_grpc

__all__ = ["CarriageService", "PeerEngines"]

# Time that a call through a peer takes in addition: two round trips between
# zones and the scheduling of both processes.
_HOP_S = 0.05
_MAX_ASK_S = 1.0  # Longest time for which a peer asks an engine.
_CHANNEL_OPTIONS = (
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 500),
    ("grpc.enable_http_proxy", 0),
    ("grpc.use_local_subchannel_pool", 1),
    # A call must not reach an engine twice.
    ("grpc.enable_retries", 0),
)


class CarriageService(carriage_pb2_grpc.CarriageServicer):
    """Calls engines for peers that have lost their links to them.

    Attributes:
        fleet: Local view of the engines; a peer can name only these.
        gateway: Client for direct calls to engines.
        confirm_links: Returns whether the silence of an engine that was asked
            at a time is not that of own links, which may be lost, too.
        clock: Returns the monotonic time, in seconds.
    """

    def __init__(
        self,
        fleet: fleet_view.FleetView,
        engine_gateway: gateway.Gateway,
        confirm_links: Callable[[float], Awaitable[bool]],
        clock: Callable[[], float],
    ) -> None:
        self.fleet = fleet
        self.gateway = engine_gateway
        self.confirm_links = confirm_links
        self.clock = clock

    async def Ask(  # noqa: N802
        self,
        request: carriage_pb2.EngineQuestion,
        context: grpc.aio.ServicerContext,
    ) -> carriage_pb2.EngineAnswer:
        """Asks an engine for a report of its state."""
        engine = self.fleet.engines.get(request.engine)
        if engine is None or engine.incarnation != request.incarnation:
            return _fault_to_wire(
                codes.fault(codes.PEER_UNAVAILABLE, "engine unknown")
            )
        started_at = self.clock()
        report_result = await self.gateway.report(
            engine, min(_MAX_ASK_S, request.timeout_ms / 1e3)
        )
        if not pipeline.is_successful(report_result):
            fault = report_result.failure()
            if not await self.confirm_links(started_at):
                fault = codes.fault(codes.PEER_UNAVAILABLE, "links lost")
            return _fault_to_wire(fault)
        return _report_to_wire(report_result.unwrap())


class PeerEngines:
    """Client for calls to engines through peers.

    Attributes:
        candidates: Returns the peers that may reach engines.
        metrics: Counters of this instance.
    """

    def __init__(
        self,
        candidates: Callable[[], list[roster_lib.Presence]],
        counts: metrics.Metrics,
    ) -> None:
        self.candidates = candidates
        self.metrics = counts
        self._channels: dict[str, grpc.aio.Channel] = {}
        self._tasks = tasks.Tasks()

    async def ask(
        self, peer_id: str, engine: model.EngineRecord, timeout_s: float
    ) -> result.Result[model.EngineReport, codes.Fault]:
        """Asks an engine for a report through a peer.

        Args:
            peer_id: ID of the peer.
            engine: Engine to ask.
            timeout_s: Maximum time that the engine may take, in seconds.

        Returns:
            The report or the fault that the peer got; `PEER_UNAVAILABLE` if
            the peer asked nothing or didn't answer.
        """
        stub = self._stub(peer_id)
        if stub is None:
            return failures.failure(codes.PEER_UNAVAILABLE, peer_id)
        question = carriage_pb2.EngineQuestion(
            engine=engine.id,
            incarnation=engine.incarnation,
            timeout_ms=int(timeout_s * 1e3),
        )
        try:
            answer = await stub.Ask(question, timeout=timeout_s + _HOP_S)
        except (grpc.aio.AioRpcError, grpc.aio.UsageError) as error:
            self.metrics.count("peer_error", "ask")
            return failures.failure(
                codes.PEER_UNAVAILABLE, f"{peer_id}: {_describe(error)}"
            )
        return _report_from_wire(engine.id, answer)

    def keep_only(self, live_addresses: set[str]) -> None:
        """Drops the channels to other addresses."""
        for address in set(self._channels) - live_addresses:
            channel = self._channels.pop(address)
            self._tasks.start(channel.close())

    async def close(self) -> None:
        """Closes all channels."""
        for channel in self._channels.values():
            await channel.close()
        self._channels.clear()

    def _stub(self, peer_id: str) -> "carriage_pb2_grpc.CarriageStub | None":
        address = next(
            (
                peer.peer_address
                for peer in self.candidates()
                if peer.id == peer_id
            ),
            None,
        )
        if address is None:
            return None
        channel = self._channels.get(address)
        if channel is None:
            channel = grpc.aio.insecure_channel(
                address, options=_CHANNEL_OPTIONS
            )
            self._channels[address] = channel
        return carriage_pb2_grpc.CarriageStub(channel)


def _describe(error: Exception) -> str:
    if isinstance(error, grpc.aio.AioRpcError):
        return str(error.code().name)
    return failures.describe(error)


def _fault_to_wire(fault: codes.Fault) -> carriage_pb2.EngineAnswer:
    return carriage_pb2.EngineAnswer(
        fault=fault.code.number, detail=fault.detail
    )


def _report_to_wire(report: model.EngineReport) -> carriage_pb2.EngineAnswer:
    answer = carriage_pb2.EngineAnswer(
        incarnation=report.incarnation,
        model=report.model,
        staged=report.staged,
        running=report.running,
        queued=report.queued,
        pace=report.pace,
    )
    if report.membership is not None:
        answer.replica = report.membership.key.replica
        answer.fence = report.membership.key.fence
        answer.rank = report.membership.rank
        answer.state = report.membership.state.value
    return answer


def _report_from_wire(
    engine_id: str, answer: carriage_pb2.EngineAnswer
) -> result.Result[model.EngineReport, codes.Fault]:
    if answer.fault:
        code = codes.by_number(answer.fault) or codes.PEER_UNAVAILABLE
        return failures.failure(code, answer.detail)
    membership = None
    if answer.replica:
        try:
            state = model.MemberState(answer.state)
        except ValueError:
            return failures.failure(
                codes.PEER_UNAVAILABLE, f"unknown state {answer.state!r}"
            )
        membership = model.Membership(
            model.ReplicaKey(answer.replica, answer.fence), answer.rank, state
        )
    return result.Success(
        model.EngineReport(
            engine_id,
            membership,
            answer.running,
            answer.queued,
            answer.pace,
            answer.incarnation,
            answer.model,
            tuple(answer.staged),
        )
    )
