"""The ASGI application that serves the requests of callers."""

import asyncio
import time
from collections.abc import Callable

from absl import logging
from returns import pipeline

from tamarackpier import codes, logs, metrics
from tamarackpier.daemon import http, serving
from tamarackpier.platform import edge
from tamarackpier.traffic import model, relay

__all__ = ["CallerApp"]


class CallerApp:
    """Serves the requests of callers.

    Attributes:
        relay: Runs requests.
        metrics: Counters and latencies of requests.
        clock: Returns the monotonic time, in seconds.
        closes_connections: Whether answers ask callers to close the
            connection, because the instance stops.
    """

    def __init__(
        self,
        requests: relay.Relay,
        counts: metrics.Metrics,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.relay = requests
        self.metrics = counts
        self.clock = clock
        self.closes_connections = False

    async def __call__(
        self, scope: http.Scope, receive: http.Receive, send: http.Send
    ) -> None:
        """Serves one request."""
        target = scope["state"][serving.TARGET_KEY]
        request = edge.decode_request(scope, target, self.clock())
        caller = serving.AsgiCaller(
            scope, receive, send, lambda: self.closes_connections
        )
        self.metrics.count("request")
        answer_task = asyncio.ensure_future(self._answer(request, caller))
        disconnect_task = asyncio.ensure_future(
            self._cancel_on_disconnect(caller, answer_task)
        )
        try:
            await answer_task
        except asyncio.CancelledError:
            self.metrics.count("caller_gone")
            logs.decision(
                "caller gone",
                request=request.id,
                after_s=round(self.clock() - request.arrived_at, 4),
            )
        finally:
            disconnect_task.cancel()

    async def _cancel_on_disconnect(
        self, caller: serving.AsgiCaller, answer_task: "asyncio.Task[None]"
    ) -> None:
        """Cancels a request whose caller disconnects before the answer ends."""
        await caller.body_read.wait()
        await caller.wait_closed()
        if not caller.is_ended:
            answer_task.cancel()

    async def _answer(
        self, request: model.Request, caller: serving.AsgiCaller
    ) -> None:
        try:
            if self.relay.refuses_requests:
                fault = codes.fault(
                    codes.LEAVING,
                    "instance is shutting down; resolve the addresses again",
                    retry_after_s=relay.LEAVING_RETRY_AFTER_S,
                )
                await self._refuse(request, caller, fault)
                return
            try:
                edge.check_forwardable(caller.scope, request.target)
            except ValueError as error:
                fault = codes.fault(codes.REQUEST_UNREADABLE, str(error))
                await self._refuse(request, caller, fault)
                return
            outcome = await self.relay.handle(request, caller)
        except http.FaultError as error:
            await self._refuse(request, caller, error.faults[0])
            return
        except asyncio.CancelledError:
            raise
        except Exception:
            self.metrics.count("internal_error")
            logging.exception("request %s failed", request.id)
            detail = "internal error; it is not known whether the request ran"
            fault = codes.fault(codes.OUTCOME_UNKNOWN, detail)
            await self._refuse(request, caller, fault)
            return
        if not pipeline.is_successful(outcome):
            await self._refuse(request, caller, outcome.failure())
            return
        latency_s = self.clock() - request.arrived_at
        self.metrics.record("answer", latency_s)
        logs.decision(
            "answered",
            request=request.id,
            status=caller.status,
            took_s=round(latency_s, 4),
        )

    async def _refuse(
        self,
        request: model.Request,
        caller: serving.AsgiCaller,
        fault: codes.Fault,
    ) -> None:
        """Sends a fault to the caller, unless an answer has already begun.

        An answer that has begun is left incomplete.
        """
        self.metrics.count("refused", fault.code.name)
        logs.failure(
            "not answered",
            request=request.id,
            code=fault.code.number,
            name=fault.code.name,
            detail=fault.detail,
            retry_after_s=fault.retry_after_s,
            after_s=round(self.clock() - request.arrived_at, 4),
            left_s=round(request.deadline - self.clock(), 4),
            began=caller.is_started,
        )
        if caller.is_started:
            return
        body = edge.fault_answer(fault)
        headers = edge.answer_headers(request.id, fault.retry_after_s)
        headers.append((b"content-length", b"%d" % len(body)))
        await caller.start(fault.code.status, tuple(headers))
        await caller.write(body)
        await caller.end()
