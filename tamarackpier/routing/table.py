"""Looks up the route and the client account of a request."""

import collections
import random

from returns import result

from tamarackpier import codes, failures
from tamarackpier.routing import model

__all__ = ["RoutingTable", "create_routing", "pick_service"]


class RoutingTable:
    """Index of a configuration to look up routes and client accounts.

    Attributes:
        configuration: Configuration that is indexed.
    """

    def __init__(self, configuration: model.Configuration) -> None:
        self.configuration = configuration
        self._by_host: dict[str, list[model.Route]] = collections.defaultdict(
            list
        )
        for route in configuration.routes:
            self._by_host[route.host.lower()].append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: -len(route.prefix))

    @property
    def version(self) -> int:
        """The version of the configuration."""
        return self.configuration.version

    def match(
        self, host: str, path: str
    ) -> result.Result[model.Route, codes.Fault]:
        """Returns the route with the longest matching path prefix.

        Args:
            host: Host name in the request; may include a port.
            path: Path of the request.

        Returns:
            The route, or the fault `NO_ROUTE`.
        """
        name = host.lower()
        if name not in self._by_host:
            name = name.rpartition(":")[0]
        routes = self._by_host.get(name, [])
        for route in routes:
            if path.startswith(route.prefix):
                return result.Success(route)
        return failures.failure(
            codes.NO_ROUTE,
            f"no route matches host {host!r} and path {path!r} "
            f"in configuration version {self.version}",
        )

    def account(
        self, route: model.Route, key: str | None
    ) -> result.Result[model.Account | None, codes.Fault]:
        """Returns the client account of a key.

        Args:
            route: Route of the request.
            key: Key in the request; None if it carries none.

        Returns:
            The client account; None if the configuration has no accounts, or
            if the route is public and the key is missing or unknown. Otherwise
            the fault `NO_KEY` for a missing key or `UNKNOWN_KEY`.
        """
        accounts = self.configuration.accounts
        if accounts is None:
            return result.Success(None)
        account = accounts.get(key) if key is not None else None
        if account is not None or route.is_public:
            return result.Success(account)
        if key is None:
            return failures.failure(codes.NO_KEY, "request carries no key")
        return failures.failure(
            codes.UNKNOWN_KEY,
            f"key does not exist in configuration version {self.version}",
        )


def create_routing(configuration: model.Configuration) -> RoutingTable:
    """Returns the index of a configuration."""
    return RoutingTable(configuration)


def pick_service(route: model.Route, rng: random.Random) -> str:
    """Returns a random service of a route, by the weights of its choices."""
    if len(route.choices) == 1:
        return route.choices[0].service
    weights = [choice.weight for choice in route.choices]
    return rng.choices(route.choices, weights)[0].service
