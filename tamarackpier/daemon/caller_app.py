"""The ASGI application that callers' requests come to."""

import asyncio
import dataclasses
import time
from collections.abc import Callable

from absl import logging
from returns import pipeline

from tamarackpier import codes, logs, metrics
from tamarackpier.daemon import http, serving
from tamarackpier.platform import edge
from tamarackpier.traffic import model, relay

__all__ = ["CallerApp"]

_LEAVING_RETRY_S = 0.05  # Another instance takes the request at once.


@dataclasses.dataclass
class StopState:
    """How far a planned stop is.

    Attributes:
        closes: Whether answers ask callers to close the connection.
        refuses: Whether new requests are refused.
    """

    closes_connections: bool = False
    refuses_requests: bool = False


class CallerApp:
    """Answers callers.

    Attributes:
        relay: Runs their requests.
        metrics: Counts and times.
        state: How far a planned stop is.
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
        self.state = StopState()

    async def __call__(
        self, scope: http.Scope, receive: http.Receive, send: http.Send
    ) -> None:
        """Serves one request."""
        target = scope["state"][serving.TARGET_KEY]
        request = edge.decode_request(scope, target, self.clock())
        caller = serving.AsgiCaller(
            scope, receive, send, lambda: self.state.closes_connections
        )
        self.metrics.count("request")
        work = asyncio.ensure_future(self._answer(request, caller))
        watch = asyncio.ensure_future(self._watch(caller, work))
        try:
            await work
        except asyncio.CancelledError:
            self.metrics.count("caller_gone")
            logs.decision(
                "caller gone",
                request=request.id,
                after_s=round(self.clock() - request.arrived_at, 4),
            )
        finally:
            watch.cancel()

    async def _watch(
        self, caller: serving.AsgiCaller, work: "asyncio.Task[None]"
    ) -> None:
        """Ends the work when the caller goes."""
        await caller.body_read.wait()
        await caller.wait_closed()
        if not caller.is_ended:
            work.cancel()

    async def _answer(
        self, request: model.Request, caller: serving.AsgiCaller
    ) -> None:
        try:
            if self.state.refuses_requests:
                fault = codes.fault(
                    codes.LEAVING,
                    "this instance stops; ask for addresses again",
                    retry_after_s=_LEAVING_RETRY_S,
                )
                await self._refuse(request, caller, fault)
                return
            found = await self.relay.handle(request, caller)
        except http.FaultError as error:
            await self._refuse(request, caller, error.faults[0])
            return
        except asyncio.CancelledError:
            raise
        except Exception:
            self.metrics.count("internal_error")
            logging.exception("request %s failed", request.id)
            detail = "an internal error; whether the request ran is not known"
            fault = codes.fault(codes.OUTCOME_UNKNOWN, detail)
            await self._refuse(request, caller, fault)
            return
        if not pipeline.is_successful(found):
            await self._refuse(request, caller, found.failure())
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
        """Tells the caller of a fault; breaks off an answer that began."""
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
