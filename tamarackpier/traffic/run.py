"""State of an admitted request, and the errors that end it or an attempt."""

import dataclasses
from collections.abc import Mapping

from tamarackpier import codes
from tamarackpier.routing import model as routing_model
from tamarackpier.traffic import model

__all__ = ["AttemptFailedError", "RefusedError", "Run", "refusal"]


class RefusedError(Exception):
    """Ends a request with a fault instead of an engine's answer.

    Attributes:
        fault: Result code and detail to send to the caller.
    """

    def __init__(self, fault: codes.Fault) -> None:
        super().__init__(str(fault))
        self.fault = fault


@dataclasses.dataclass(eq=False)
class Run:
    """State of an admitted request, from its admission to its final answer.

    Attributes:
        request: The request.
        route: Route that matched the request.
        service: Name of the service that runs it.
        account: Name of the client account, as sent to engines; empty for
            none.
        priority: Priority; 0 is the most urgent.
        body: Complete body of the request.
        fingerprint: Hash of the account and of what was asked, equal for all
            retries of the request by its caller.
        part_fingerprints: Hash of the account and of each part of the prompt
            that other requests may share, by the part's ID.
        ends_at: Time at which the caller gets a final answer at the latest,
            in seconds on the relay's clock.
        version: Version of the configuration that admitted the request.
        tried: IDs of the upstreams that it was sent to.
        left: Those that it was moved from although they may go on. It may be
            sent to them again.
        counted_attempts: Number of attempts that count against the route's
            `max_attempts`: those that may have run the request, except at a
            replica that had already lost a member.
        possible_runs: Number of attempts in which an engine may have run the
            request.
        is_isolated: Whether the next attempt may not run beside other suspects
            of upstream deaths.
        has_reserved_retry: Whether the next retry has been taken from the
            retry budget already.
        last_failure: Engine ID and error of the last failed attempt, for logs
            and faults.
    """

    request: model.Request
    route: routing_model.Route
    service: str
    account: str
    priority: int
    body: bytes
    fingerprint: str
    part_fingerprints: Mapping[str, str]
    ends_at: float
    version: int
    tried: list[str] = dataclasses.field(default_factory=list)
    left: set[str] = dataclasses.field(default_factory=set)
    counted_attempts: int = 0
    possible_runs: int = 0
    is_isolated: bool = False
    has_reserved_retry: bool = False
    last_failure: str = ""

    @property
    def may_have_run(self) -> bool:
        """Whether any engine may have run the request."""
        return self.possible_runs > 0

    @property
    def may_reuse(self) -> bool:
        """Whether the present attempt may use a kept connection.

        Only a first attempt may, which can be repeated: a connection that was
        open for some time may have closed, or be silent for good.
        """
        return (
            self.route.is_repeatable
            and self.route.max_attempts > 1
            and len(self.tried) <= 1
        )


class AttemptFailedError(Exception):
    """An attempt failed without a complete answer for the caller.

    Attributes:
        reason: Short name of the failure, for counters.
        is_not_run: Whether it is proved that the engine did not run the
            request.
    """

    def __init__(self, reason: str, detail: str, is_not_run: bool) -> None:
        super().__init__(f"{reason}: {detail}")
        self.reason = reason
        self.is_not_run = is_not_run


def refusal(
    code: codes.ResultCode, detail: str, retry_after_s: float
) -> RefusedError:
    """Returns the error that refuses a request.

    Args:
        code: Result code of the fault.
        detail: Detail of the fault.
        retry_after_s: Time after which the caller should retry, in seconds.
    """
    return RefusedError(codes.fault(code, detail, retry_after_s=retry_after_s))
