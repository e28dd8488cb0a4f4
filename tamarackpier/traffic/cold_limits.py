"""The limit on the requests that a cold engine may get in a second."""

from tamarackpier.fleet import fleet_view, model
from tamarackpier.traffic import rate_limits

__all__ = ["cold_limit"]


def cold_limit(
    fleet: fleet_view.FleetView,
    overrun: float,
    slack: float,
    engine: model.EngineRecord,
    now: float,
) -> rate_limits.Limit | None:
    """Returns the limit of a cold engine; None if it has none.

    Args:
        fleet: View of the engines.
        overrun: Ratio of the requests that the engine may get in a second to
            its rate.
        slack: Requests that it may get in addition in that second.
        engine: The engine.
        now: Current time, in seconds on the monotonic clock.
    """
    service = fleet.services.get(engine.service)
    if service is None or service.cold_rate <= 0:
        return None
    if fleet.cold.left_s(engine, now) <= 0:
        return None
    return rate_limits.Limit(
        engine.id,
        engine.incarnation,
        service.cold_rate,
        now,
        service.cold_rate * overrun + slack,
    )
