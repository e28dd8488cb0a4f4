"""Tells whether a deployment starts, and which engines have yet to appear.

While a deployment starts, its engines appear one by one, all without weights,
and loads of weights are quick and unlimited until the first request.
"""

import math
from collections.abc import Sequence

from tamarackpier.fleet import packing
from tamarackpier.routing import model as routing_model

__all__ = ["DeploymentStart"]

# Time without a new engine after which the engines count as complete.
_SETTLE_S = 1.0
# Longest wait of a planner for that; its own first engine may appear last.
_MAX_SETTLE_S = 4.0


class DeploymentStart:
    """The start of a deployment, as a zone's planner sees it.

    Having heard of no request says little, as the planner may be cut off from
    its peers. So a deployment starts only if the zone's engines held no weights
    when the planner first saw some.

    Attributes:
        zone: Availability zone of the planner.
        is_starting: Whether the deployment starts.
    """

    def __init__(self, zone: str, now: float) -> None:
        self.zone = zone
        self.is_starting = False
        self._has_seen_engines = False
        self._created_at = now
        self._engine_count = 0
        # Time at which an engine last appeared.
        self._grown_at = now

    def update(
        self,
        domains: Sequence[packing.Domain],
        is_before_first_request: bool,
        models: Sequence[routing_model.ModelSpec],
        now: float,
    ) -> None:
        """Updates the phase, and adds the expected engines to domains.

        Args:
            domains: Domains of all zones; changed.
            is_before_first_request: Whether no request is known to have run.
            models: Models of the service.
            now: Current time, in seconds on the monotonic clock.
        """
        count = sum(domain.size for domain in domains)
        if count > self._engine_count:
            self._grown_at = now
        self._engine_count = count
        own = [domain for domain in domains if domain.zone == self.zone]
        if own and not self._has_seen_engines:
            self._has_seen_engines = True
            self.is_starting = all(domain.is_blank for domain in own)
        if not is_before_first_request:
            self.is_starting = False
        if self.is_starting and now - self._grown_at < _SETTLE_S:
            _expect_engines(domains, models)

    def awaits_engines(self, now: float) -> bool:
        """Returns whether to load no weights yet, as engines still appear.

        Planners that see different engines would pack them differently, and
        weights that are loaded already would keep it so.
        """
        return (
            self.is_starting
            and now - self._grown_at < _SETTLE_S
            and now - self._created_at < _MAX_SETTLE_S
        )


def _expect_engines(
    domains: Sequence[packing.Domain],
    models: Sequence[routing_model.ModelSpec],
) -> None:
    """Adds the engines that domains lack to the largest one's size.

    Domains count as large as the widest replica with its spares at least.
    """
    widest = max((spec.span for spec in models), default=0)
    full = widest + math.ceil(widest / packing.ENGINES_PER_SPARE)
    largest = max((domain.size for domain in domains), default=0)
    for domain in domains:
        domain.expected = max(full, largest) - domain.size
