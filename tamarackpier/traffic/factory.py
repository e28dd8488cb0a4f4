"""Creates the request pipeline."""

import random
from collections.abc import Callable

from tamarackpier import metrics
from tamarackpier.fleet import fleet_view

# Importing plain and stream registers their strategies.
from tamarackpier.traffic import plain as plain
from tamarackpier.traffic import relay
from tamarackpier.traffic import stream as stream
from tamarackpier.upstream import gateway

__all__ = ["create_relay"]


def create_relay(
    settings: relay.RelaySettings,
    fleet: fleet_view.FleetView,
    engine_gateway: gateway.Gateway,
    counts: metrics.Metrics,
    rng: random.Random,
    clock: Callable[[], float],
) -> relay.Relay:
    """Returns a relay with the strategies of all kinds of routes."""
    return relay.Relay(settings, fleet, engine_gateway, counts, rng, clock)
