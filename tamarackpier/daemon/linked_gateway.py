"""Client for calls to engines that records whether own links work."""

import asyncio
from collections.abc import Callable

from returns import pipeline, result

from tamarackpier import codes
from tamarackpier.fleet import model
from tamarackpier.traffic import reach as reach_lib
from tamarackpier.upstream import gateway

__all__ = ["LinkedGateway"]


class LinkedGateway(gateway.Gateway):
    """Calls engines and records which calls were answered.

    Attributes:
        direct: Client for direct calls to engines.
        reach: Receives the outcome of each call as evidence.
        clock: Returns the monotonic time, in seconds.
    """

    def __init__(
        self,
        direct: gateway.Gateway,
        reach: reach_lib.Reach,
        clock: Callable[[], float],
    ) -> None:
        self.direct = direct
        self.reach = reach
        self.clock = clock

    async def send(self, forward: gateway.ForwardedRequest) -> gateway.Answer:
        """Sends a request exactly once and returns the head of its answer.

        Raises:
            AnswerBrokenError: No answer arrived.
        """
        contact = self.reach.begin(self.clock())
        try:
            answer = await self.direct.send(forward)
        except gateway.AnswerBrokenError:
            self.reach.fail(contact)
            raise
        except asyncio.CancelledError:
            self.reach.abandon(contact)
            raise
        self.reach.answer(contact)
        return answer

    async def report(
        self, engine: model.EngineRecord, timeout_s: float
    ) -> result.Result[model.EngineReport, codes.Fault]:
        """Asks an engine for a report of its state."""
        started_at = self.clock()
        report_result = await self.direct.report(engine, timeout_s)
        if pipeline.is_successful(report_result):
            self.reach.answer(reach_lib.Contact(started_at))
        return report_result

    async def order(
        self, order: model.Order, timeout_s: float
    ) -> model.OrderOutcome:
        """Sends an order to an engine."""
        return await self.direct.order(order, timeout_s)
