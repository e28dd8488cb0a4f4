"""Finds the route and the account of a request."""

import collections
import random

from returns import result

from tamarackpier import codes, failures
from tamarackpier.routing import model

__all__ = ["Routing", "create_routing", "pick_service"]


class Routing:
    """A configuration, indexed for looking up requests.

    Attributes:
        configuration: What is in force.
    """

    def __init__(self, configuration: model.Configuration) -> None:
        self.configuration = configuration
        self._by_host: dict[str, list[model.Route]] = collections.defaultdict(
            list
        )
        for route in configuration.routes:
            self._by_host[route.host.lower()].append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda each: -len(each.prefix))

    @property
    def version(self) -> int:
        """The version in force."""
        return self.configuration.version

    def match(
        self, host: str, path: str
    ) -> result.Result[model.Route, codes.Fault]:
        """Returns the route with the longest prefix of a path."""
        name = host.lower()
        if name not in self._by_host:
            name = name.rpartition(":")[0]
        routes = self._by_host.get(name, [])
        for route in routes:
            if path.startswith(route.prefix):
                return result.Success(route)
        return failures.failure(
            codes.NO_ROUTE,
            f"no route for {host!r} {path!r} in version {self.version}",
        )

    def account(
        self, route: model.Route, key: str | None
    ) -> result.Result[model.Account | None, codes.Fault]:
        """Returns the account that holds a key; None where none is needed."""
        accounts = self.configuration.accounts
        if accounts is None:
            return result.Success(None)
        found = accounts.get(key) if key is not None else None
        if found is not None or route.is_public:
            return result.Success(found)
        if key is None:
            return failures.failure(codes.NO_KEY, "expected a key")
        return failures.failure(
            codes.UNKNOWN_KEY, f"not among the keys of version {self.version}"
        )


def create_routing(configuration: model.Configuration) -> Routing:
    """Returns the index of a configuration."""
    return Routing(configuration)


def pick_service(route: model.Route, rng: random.Random) -> str:
    """Returns a service of a route by the weights of its choices."""
    if len(route.choices) == 1:
        return route.choices[0].service
    weights = [each.weight for each in route.choices]
    return rng.choices(route.choices, weights)[0].service
