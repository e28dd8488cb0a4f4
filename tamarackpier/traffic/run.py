"""A request on its way, and the errors that end it or an attempt at it."""

import dataclasses

from tamarackpier import codes
from tamarackpier.routing import model as routing_model
from tamarackpier.traffic import model

__all__ = ["AttemptFailedError", "RefusedError", "Run", "refusal"]


class RefusedError(Exception):
    """Ends a request with an answer of our own.

    Attributes:
        fault: Why.
    """

    def __init__(self, fault: codes.Fault) -> None:
        super().__init__(str(fault))
        self.fault = fault


@dataclasses.dataclass(eq=False)
class Run:
    """A request on its way.

    Attributes:
        request: The request.
        route: Its route.
        service: The service that runs it.
        account: What engines are told of the caller.
        priority: 0 is the most urgent.
        body: Its body.
        ends_at: When it gets its final answer at the latest.
        version: Version of the configuration that decided.
        tried: Upstreams that it was sent to.
        counted: Of these, the ones that may have run it and still live.
        unproved: Sends of which it is not proved that they did not run.
        has_begun: Whether the last attempt at a stream brought any event.
        last: What the last attempt came to, for the log.
    """

    request: model.Request
    route: routing_model.Route
    service: str
    account: str
    priority: int
    body: bytes
    ends_at: float
    version: int
    tried: list[str] = dataclasses.field(default_factory=list)
    counted_attempts: int = 0
    possibly_run: int = 0
    has_received_data: bool = False
    last_failure: str = ""

    @property
    def may_have_run(self) -> bool:
        """Whether any engine may have run it."""
        return self.possibly_run > 0


class AttemptFailedError(Exception):
    """An attempt that gives the caller nothing.

    Attributes:
        reason: For counters.
        is_not_run: Whether it is proved that the engine did not run it.
    """

    def __init__(self, reason: str, detail: str, is_not_run: bool) -> None:
        super().__init__(f"{reason}: {detail}")
        self.reason = reason
        self.is_not_run = is_not_run


def refusal(
    code: codes.ResultCode, detail: str, retry_after_s: float
) -> RefusedError:
    """Returns the error of a refusal with a time to come back."""
    return RefusedError(codes.fault(code, detail, retry_after_s=retry_after_s))
