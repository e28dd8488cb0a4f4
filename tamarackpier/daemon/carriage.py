"""Reaches engines through peers, for an instance without links to engines.

A peer calls the engine itself, so a call passes at most one peer.
"""

import asyncio
import collections
import random
from collections.abc import Awaitable, Callable
from typing import Any

import grpc
from returns import pipeline, result

from tamarackpier import codes, failures, logs, metrics, tasks
from tamarackpier.fleet import fleet_view, model
from tamarackpier.peer import roster as roster_lib
from tamarackpier.upstream import gateway
from tamarackpier.wire import carriage_pb2, carriage_pb2_grpc

__all__ = [
    "MAX_CARRIED",
    "CarriageService",
    "CarriedAnswer",
    "PeerEngines",
    "create_server",
]

# Time that a call through a peer takes in addition: two round trips between
# zones and the scheduling of both processes.
_HOP_S = 0.05
_MAX_ASK_S = 1.0  # Longest time for which a peer asks an engine.
# Requests that an instance carries at once. Each holds a body, and an instance
# with links must go on serving its own callers while most have lost theirs.
MAX_CARRIED = 128
# Peers that are offered a request before it is refused.
_MAX_OFFERS = 3
# Requests in flight that a peer in the own zone may have more than another.
_OWN_ZONE_ALLOWANCE = 4
# Largest message of a peer: the body of a request and its head.
_MAX_MESSAGE_BYTES = 16 << 20
# Consecutive failures after which a channel is replaced: it may be silent for
# good while a new one works.
_MAX_FAILURES_PER_CHANNEL = 2
# Time that calls on a replaced channel have to end.
_REPLACED_CHANNEL_GRACE_S = 30.0
# Bytes of an answer that wait here for a slow caller.
_WINDOW_BYTES = 1 << 16
# Part of the detail with which a call ends that found no connection.
_NEVER_SENT = "failed to connect to all addresses"
_CHANNEL_OPTIONS = (
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 500),
    ("grpc.enable_http_proxy", 0),
    ("grpc.use_local_subchannel_pool", 1),
    # A call must not reach an engine twice.
    ("grpc.enable_retries", 0),
    ("grpc.http2.bdp_probe", 0),
    ("grpc.http2.lookahead_bytes", _WINDOW_BYTES),
    ("grpc.max_receive_message_length", _MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", _MAX_MESSAGE_BYTES),
)


def create_server() -> grpc.aio.Server:
    """Returns a gRPC server that takes messages of the size allowed here."""
    return grpc.aio.server(
        options=(("grpc.max_receive_message_length", _MAX_MESSAGE_BYTES),)
    )


class CarriageService(carriage_pb2_grpc.CarriageServicer):
    """Calls engines for peers that have lost their links to them.

    Attributes:
        fleet: Local view of the engines; a peer can name only these.
        gateway: Client for direct calls to engines.
        confirm_links: Returns whether the silence of an engine that was asked
            at a time is not that of own links, which may be lost, too.
        carries: Returns whether requests may be carried.
        wait_s: Returns after how many seconds an engine may be sent requests.
        record_wait: Records the seconds for which an engine that answered a
            request wants no more, if it asked for that.
        metrics: Counters of this instance.
        clock: Returns the monotonic time, in seconds.
        running: Number of requests that are being carried.
    """

    def __init__(
        self,
        fleet: fleet_view.FleetView,
        engine_gateway: gateway.Gateway,
        confirm_links: Callable[[float], Awaitable[bool]],
        carries: Callable[[], bool],
        counts: metrics.Metrics,
        clock: Callable[[], float],
    ) -> None:
        self.fleet = fleet
        self.gateway = engine_gateway
        self.confirm_links = confirm_links
        self.carries = carries
        self.wait_s: Callable[[model.EngineRecord], float] = lambda engine: 0.0
        self.record_wait: Callable[
            [str, model.EngineRecord, float | None], object
        ] = lambda request_id, engine, wait_s: None
        self.metrics = counts
        self.clock = clock
        self.running = 0

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

    async def Carry(  # noqa: N802
        self,
        request: carriage_pb2.CarriedRequest,
        context: grpc.aio.ServicerContext,
    ) -> None:
        """Sends a request to an engine and passes the answer on."""
        engine = self.fleet.engines.get(request.engine)
        reason = self._refusal(request, engine)
        if reason or engine is None:
            self.metrics.count("carriage_refused")
            await context.write(_failure_part(reason, False, is_refusal=True))
            return
        self.metrics.count("carried")
        self.running += 1
        try:
            await self._carry(_request_from_wire(request, engine), context)
        except grpc.aio.BaseError:
            # The sender's connection has ended, and nothing can be told it.
            self.metrics.count("carriage_left")
        finally:
            self.running -= 1

    def _refusal(
        self,
        request: carriage_pb2.CarriedRequest,
        engine: model.EngineRecord | None,
    ) -> str:
        """Returns why a request is not carried; empty if it is."""
        if engine is None or engine.incarnation != request.incarnation:
            return "engine unknown"
        if engine.is_leaving:
            return "engine is leaving"
        if self.fleet.is_evacuated(engine):
            return "zone of the engine is evacuated"
        if not self.carries():
            return "has no links or is leaving"
        if self.wait_s(engine) > 0:
            return "engine asked to wait"
        if self.running >= MAX_CARRIED:
            return f"carries {self.running} requests"
        return ""

    async def _carry(
        self,
        forward: gateway.ForwardedRequest,
        context: grpc.aio.ServicerContext,
    ) -> None:
        """Passes on the parts of an answer, and a failure for missing ones.

        Raises:
            grpc.aio.BaseError: The connection to the sender has ended.
        """
        answer = None
        try:
            answer = await self.gateway.send(forward)
            if answer.matches_request:
                self.record_wait(
                    forward.request_id, forward.engine, answer.requested_wait_s
                )
            is_leaving = self.fleet.departures.applies_to(forward.engine)
            await context.write(_head_part(answer, is_leaving))
            while data := await answer.read():
                await context.write(carriage_pb2.CarriedPart(data=data))
            await context.write(carriage_pb2.CarriedPart(is_end=True))
        except gateway.AnswerBrokenError as error:
            await context.write(_failure_part(str(error), error.is_sent))
        finally:
            if answer is not None:
                answer.close()


class _Carriage:
    """A request that a peer carries."""

    def __init__(self, call: Any, on_closed: Callable[[], object]) -> None:
        self.call = call
        self.on_closed = on_closed
        self.is_closed = False

    async def read(self) -> carriage_pb2.CarriedPart:
        """Returns the next part; a failure only if the peer refused.

        Raises:
            gateway.AnswerBrokenError: The peer or its engine failed.
        """
        try:
            part = await self.call.read()
        except grpc.aio.AioRpcError as error:
            detail = error.details() or ""
            raise gateway.AnswerBrokenError(
                f"{error.code().name}: {detail}", _NEVER_SENT not in detail
            ) from error
        except asyncio.CancelledError as error:
            # Closing a channel cancels its calls, but not this task.
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            raise gateway.AnswerBrokenError(
                "connection to the peer closed", True
            ) from error
        if not isinstance(part, carriage_pb2.CarriedPart):
            raise gateway.AnswerBrokenError("the peer broke off", True)
        if part.HasField("failure") and not part.failure.is_refusal:
            raise gateway.AnswerBrokenError(
                part.failure.detail, part.failure.is_sent
            )
        return part

    def close(self) -> None:
        """Ends the call; the peer then closes its connection."""
        if not self.is_closed:
            self.is_closed = True
            self.call.cancel()
            self.on_closed()


class CarriedAnswer(gateway.Answer):
    """An engine's answer that a peer passes on.

    Attributes:
        says_leaving: Whether the engine said that it leaves.
    """

    def __init__(
        self, head: carriage_pb2.CarriedHead, carriage: _Carriage
    ) -> None:
        self.status = head.status
        self.headers = tuple(
            (field.name, field.value) for field in head.headers
        )
        self.has_proof = head.has_proof
        self.matches_request = head.matches_request
        self.is_not_run = head.is_not_run
        self.max_request_rate = (
            head.max_request_rate if head.HasField("max_request_rate") else None
        )
        self.requested_wait_s = (
            head.requested_wait_s if head.HasField("requested_wait_s") else None
        )
        self.is_framed = head.is_framed
        self.says_leaving = head.is_leaving
        self._carriage = carriage
        self._is_ended = False

    async def read(self) -> bytes:
        """Returns the next bytes of the body, or no bytes at its end.

        Raises:
            AnswerBrokenError: The engine's answer or its carriage broke off.
        """
        if self._is_ended:
            return b""
        part = await self._carriage.read()
        self._is_ended = part.is_end
        return bytes(part.data)

    def close(self) -> None:
        """Ends the carriage; the peer then closes its connection."""
        self._carriage.close()


class PeerEngines:
    """Client for calls to engines through peers.

    Attributes:
        candidates: Returns the peers that may reach engines.
        load_of: Returns the number of requests that a peer has in flight, as
            it reported.
        zone: Availability zone of this instance.
        metrics: Counters of this instance.
        rng: Source of the choice among equal peers.
        carried: Requests of this instance that each peer carries, by its ID.
        failures: Consecutive failures of calls to each peer, by its ID.
    """

    def __init__(
        self,
        candidates: Callable[[], list[roster_lib.Presence]],
        load_of: Callable[[str], int],
        zone: str,
        counts: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self.candidates = candidates
        self.load_of = load_of
        self.zone = zone
        self.metrics = counts
        self.rng = rng
        self.carried: collections.Counter[str] = collections.Counter()
        self.failures: collections.Counter[str] = collections.Counter()
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
            self._record_failure(peer_id)
            return failures.failure(
                codes.PEER_UNAVAILABLE, f"{peer_id}: {_describe(error)}"
            )
        self.failures.pop(peer_id, None)
        return _report_from_wire(engine.id, answer)

    async def report(
        self, engine: model.EngineRecord, timeout_s: float
    ) -> result.Result[model.EngineReport, codes.Fault]:
        """Asks an engine for a report through any peer."""
        peers = self.candidates()
        if not peers:
            return failures.failure(codes.PEER_UNAVAILABLE, "no peer has links")
        return await self.ask(self.rng.choice(peers).id, engine, timeout_s)

    async def send(self, forward: gateway.ForwardedRequest) -> CarriedAnswer:
        """Sends a request to its engine through a peer, at most once.

        Offers it to another peer only if one states that it didn't try.

        Raises:
            AnswerBrokenError: No peer can carry it, or no answer arrived.
        """
        reason = "no peer has links to engines"
        for peer in self._ranked()[:_MAX_OFFERS]:
            stub = self._stub(peer.id)
            if stub is None:
                continue
            logs.decision(
                "carried",
                request=forward.request_id,
                engine=forward.engine.id,
                peer=peer.id,
                peer_running=self.load_of(peer.id),
                carried=self.carried[peer.id],
            )
            carriage = self._start(peer.id, stub, forward)
            part = None
            try:
                part = await carriage.read()
                self.failures.pop(peer.id, None)
            except gateway.AnswerBrokenError:
                self._record_failure(peer.id)
                raise
            finally:
                if part is None or not part.HasField("head"):
                    carriage.close()
            if part.HasField("head"):
                return CarriedAnswer(part.head, carriage)
            reason = f"{peer.id} refuses: {part.failure.detail}"
        self.metrics.count("not_carried")
        raise gateway.AnswerBrokenError(reason, False)

    def _start(
        self,
        peer_id: str,
        stub: carriage_pb2_grpc.CarriageStub,
        forward: gateway.ForwardedRequest,
    ) -> _Carriage:
        """Starts to send a request through a peer.

        Raises:
            gateway.AnswerBrokenError: The channel to the peer is closed.
        """
        try:
            call = stub.Carry(
                _request_to_wire(forward), timeout=forward.timeout_s + _HOP_S
            )
        except grpc.aio.UsageError as error:
            raise gateway.AnswerBrokenError(
                failures.describe(error), False
            ) from error
        self.carried[peer_id] += 1

        def on_closed() -> None:
            self.carried[peer_id] -= 1
            if not self.carried[peer_id]:
                del self.carried[peer_id]

        return _Carriage(call, on_closed)

    def _ranked(self) -> list[roster_lib.Presence]:
        """Returns the peers, those with few requests in flight first."""
        peers = self.candidates()
        self.rng.shuffle(peers)

        def load(peer: roster_lib.Presence) -> int:
            is_other_zone = peer.availability_zone != self.zone
            return (
                self.load_of(peer.id)
                + self.carried[peer.id]
                + (_OWN_ZONE_ALLOWANCE if is_other_zone else 0)
            )

        return sorted(peers, key=load)

    def _record_failure(self, peer_id: str) -> None:
        """Replaces the channel to a peer after several failures in a row.

        Calls that run on it may still end.
        """
        self.failures[peer_id] += 1
        if self.failures[peer_id] < _MAX_FAILURES_PER_CHANNEL:
            return
        del self.failures[peer_id]
        for peer in self.candidates():
            channel = self._channels.get(peer.peer_address)
            if peer.id == peer_id and channel is not None:
                del self._channels[peer.peer_address]
                self.metrics.count("channel_replaced")
                self._tasks.start(channel.close(_REPLACED_CHANNEL_GRACE_S))

    def keep_only(self, live_addresses: set[str]) -> None:
        """Drops the channels to other addresses."""
        for address in set(self._channels) - live_addresses:
            channel = self._channels.pop(address)
            self._tasks.start(channel.close())

    async def close(self) -> None:
        """Closes all channels."""
        self._tasks.cancel()
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


def _request_to_wire(
    forward: gateway.ForwardedRequest,
) -> carriage_pb2.CarriedRequest:
    return carriage_pb2.CarriedRequest(
        request_id=forward.request_id,
        engine=forward.engine.id,
        incarnation=forward.engine.incarnation,
        method=forward.method,
        target=forward.target,
        host=forward.host,
        headers=_headers_to_wire(forward.headers),
        body=forward.body,
        timeout_ms=max(1, int(forward.timeout_s * 1e3)),
        account=forward.account,
        priority=forward.priority,
        last_event_id=forward.last_event_id,
    )


def _request_from_wire(
    request: carriage_pb2.CarriedRequest, engine: model.EngineRecord
) -> gateway.ForwardedRequest:
    return gateway.ForwardedRequest(
        request.request_id,
        engine,
        request.method,
        request.target,
        request.host,
        tuple((field.name, field.value) for field in request.headers),
        request.body,
        request.timeout_ms / 1e3,
        request.account,
        request.priority,
        request.last_event_id,
    )


def _headers_to_wire(
    headers: gateway.Headers,
) -> list[carriage_pb2.HeaderField]:
    return [
        carriage_pb2.HeaderField(name=name, value=value)
        for name, value in headers
    ]


def _head_part(
    answer: gateway.Answer, is_leaving: bool
) -> carriage_pb2.CarriedPart:
    return carriage_pb2.CarriedPart(
        head=carriage_pb2.CarriedHead(
            status=answer.status,
            headers=_headers_to_wire(answer.headers),
            has_proof=answer.has_proof,
            matches_request=answer.matches_request,
            is_not_run=answer.is_not_run,
            max_request_rate=answer.max_request_rate,
            is_framed=answer.is_framed,
            requested_wait_s=answer.requested_wait_s,
            is_leaving=is_leaving,
        )
    )


def _failure_part(
    detail: str, is_sent: bool, is_refusal: bool = False
) -> carriage_pb2.CarriedPart:
    return carriage_pb2.CarriedPart(
        failure=carriage_pb2.CarriedFailure(
            detail=detail, is_sent=is_sent, is_refusal=is_refusal
        )
    )
