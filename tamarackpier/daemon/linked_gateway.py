"""Client for calls to engines, directly or through peers.

Calls go through peers while own links to the engines are lost.
"""

import dataclasses
from collections.abc import Callable

from returns import pipeline, result

from tamarackpier import codes
from tamarackpier.daemon import carriage
from tamarackpier.fleet import departures, model
from tamarackpier.traffic import reach as reach_lib
from tamarackpier.upstream import gateway

__all__ = ["LinkedGateway", "is_answered"]

# Faults of a report that no engine has answered.
_UNANSWERED_CODES = (
    codes.CONNECTION_REFUSED,
    codes.PEER_UNAVAILABLE,
    codes.UPSTREAM_UNREACHABLE,
)


def is_answered(
    report_result: result.Result[model.EngineReport, codes.Fault],
) -> bool:
    """Returns whether an engine answered, even if it sent no valid report.

    Engines of plain services send none.
    """
    return (
        pipeline.is_successful(report_result)
        or report_result.failure().code not in _UNANSWERED_CODES
    )


class LinkedGateway(gateway.Gateway):
    """Calls engines, directly or through peers.

    Attributes:
        direct: Client for direct calls to engines.
        peers: Client for calls to engines through peers.
        reach: Decides which is used; gets the outcome of each direct call as
            evidence.
        clock: Returns the monotonic time, in seconds.
    """

    def __init__(
        self,
        direct: gateway.Gateway,
        peers: carriage.PeerEngines,
        reach: reach_lib.Reach,
        clock: Callable[[], float],
    ) -> None:
        self.direct = direct
        self.peers = peers
        self.reach = reach
        self.clock = clock

    @property
    def on_leaving(self) -> Callable[[departures.Departure, str], object]:
        """Called with each answer in which an engine says that it leaves."""
        return self.direct.on_leaving

    @on_leaving.setter
    def on_leaving(
        self, callback: Callable[[departures.Departure, str], object]
    ) -> None:
        self.direct.on_leaving = callback

    async def send(self, forward: gateway.ForwardedRequest) -> gateway.Answer:
        """Sends a request exactly once and returns the head of its answer.

        Raises:
            AnswerBrokenError: No answer arrived.
        """
        if self.reach.is_cut:
            carried = await self.peers.send(forward)
            if carried.matches_request and carried.says_leaving:
                engine = forward.engine
                self.on_leaving(
                    departures.Departure(engine.id, engine.incarnation),
                    forward.request_id,
                )
            return carried
        if self.reach.is_outage(self.clock()):
            raise gateway.AnswerBrokenError(
                "no engine answers this instance or its peers", False
            )
        contact = self.reach.begin(self.clock())
        is_reused = False

        def on_reused() -> None:
            # What is open may live on, or be silent, when links are lost or
            # work again, so that only new connections are evidence.
            nonlocal is_reused
            is_reused = True
            self.reach.abandon(contact)
            told()

        told = forward.on_reused
        if forward.is_repeatable:
            forward = dataclasses.replace(forward, on_reused=on_reused)
        try:
            answer = await self.direct.send(forward)
        except gateway.AnswerBrokenError:
            if not is_reused:
                self.reach.fail(contact)
            raise
        except BaseException:
            self.reach.abandon(contact)
            raise
        if not is_reused:
            self.reach.answer(contact)
        return answer

    async def report(
        self, engine: model.EngineRecord, timeout_s: float
    ) -> result.Result[model.EngineReport, codes.Fault]:
        """Asks an engine for a report of its state.

        Returns:
            The report or a fault; `PEER_UNAVAILABLE` if no peer could ask it.
        """
        if self.reach.is_cut:
            return await self.peers.report(engine, timeout_s)
        started_at = self.clock()
        report_result = await self.direct.report(engine, timeout_s)
        if is_answered(report_result):
            self.reach.answer(reach_lib.Contact(started_at))
        return report_result

    async def order(
        self, order: model.Order, timeout_s: float
    ) -> model.OrderOutcome:
        """Sends an order to an engine, always directly."""
        contact = self.reach.begin(self.clock())
        outcome = model.OrderOutcome.UNKNOWN
        try:
            outcome = await self.direct.order(order, timeout_s)
        finally:
            if outcome is model.OrderOutcome.UNKNOWN:
                self.reach.fail(contact)
            else:
                self.reach.answer(contact)
        return outcome
