"""HTTP applications for readiness, addresses and metrics."""

from collections.abc import Callable
from typing import Any

import falcon.asgi

from tamarackpier.daemon import http
from tamarackpier.platform import edge

__all__ = ["address_app", "metrics_app", "ready_app"]


def ready_app(is_ready: Callable[[], bool]) -> Any:
    """Returns the application that reports readiness to the platform.

    It answers 200 if the instance is ready, else 503.
    """

    class Readiness:
        async def on_get(
            self,
            request: falcon.asgi.Request,
            response: falcon.asgi.Response,
        ) -> None:
            response.status = 200 if is_ready() else 503

    app = falcon.asgi.App()
    app.add_route(edge.READY_PATH, Readiness())
    return app


def address_app(
    addresses: Callable[[], list[str]], keep_s: Callable[[], float]
) -> Any:
    """Returns the application that tells callers the instance addresses.

    Args:
        addresses: Returns the addresses that callers may connect to.
        keep_s: Returns for how many seconds callers may keep an address.
    """

    class Addresses:
        async def on_get(
            self,
            request: falcon.asgi.Request,
            response: falcon.asgi.Response,
        ) -> None:
            live_addresses = addresses()
            if not live_addresses:
                response.status = 503
                return
            http.write_json(
                response, edge.address_answer(live_addresses, keep_s())
            )

    app = falcon.asgi.App()
    app.add_route(edge.RESOLVE_PATH, Addresses())
    return app


def metrics_app(text: Callable[[], str]) -> Any:
    """Returns the application that exposes the metrics.

    Args:
        text: Returns all metrics in the Prometheus text format.
    """

    class Metrics:
        async def on_get(
            self,
            request: falcon.asgi.Request,
            response: falcon.asgi.Response,
        ) -> None:
            response.content_type = "text/plain; version=0.0.4"
            response.text = text()

    app = falcon.asgi.App()
    app.add_route("/metrics", Metrics())
    return app
