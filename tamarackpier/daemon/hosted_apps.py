"""The listeners of a hosted instance, and its applications beside callers'."""

from collections.abc import Callable
from typing import Any

import falcon.asgi

from tamarackpier import hosted_settings, metrics
from tamarackpier.daemon import caller_memory, http, serving
from tamarackpier.platform import edge
from tamarackpier.traffic import caller_connection

__all__ = ["address_app", "create_listeners", "metrics_app", "ready_app"]

# Time without a request before a configuration is known, in seconds.
_IDLE_TIMEOUT_S = 60.0
# Part of the process's descriptors for the connections of each listener beside
# the callers', whose connections have a half.
_DESCRIPTOR_DIVISOR = 32


def create_listeners(
    settings: hosted_settings.HostedSettings,
    caller_app: Any,
    is_ready: Callable[[], bool],
    addresses: Callable[[], list[str]],
    keep_s: Callable[[], float],
    text: Callable[[], str],
    counts: metrics.Metrics,
) -> tuple[serving.HttpListener, ...]:
    """Returns the listeners of an instance, that of callers first.

    What the connections of all of them hold in memory is bounded together.

    Args:
        settings: Settings of the instance.
        caller_app: Application that serves callers.
        is_ready: Returns whether the instance is ready.
        addresses: Returns the addresses that callers may connect to.
        keep_s: Returns for how many seconds callers may keep an address.
        text: Returns all metrics.
        counts: Counters.
    """
    callers = settings.callers
    listen = settings.listen
    memory = caller_memory.CallerMemory(
        caller_memory.max_bytes(
            settings.instance.memory_mb, callers.memory_share
        ),
        counts,
        caller_memory.most_bytes(settings.instance.memory_mb),
    )

    def listener(
        app: Any, address: str, max_connections: int, is_counted: bool = False
    ) -> serving.HttpListener:
        owner_counts = counts if is_counted else None
        limits = caller_connection.Limits(
            _IDLE_TIMEOUT_S, unread_s=callers.unread_s
        )
        owner = serving.ConnectionOwner(
            limits,
            owner_counts,
            memory=memory,
            max_connections=max_connections,
        )
        return serving.HttpListener(
            app, address, _IDLE_TIMEOUT_S, owner_counts, owner
        )

    few = caller_memory.max_connections(_DESCRIPTOR_DIVISOR)
    return (
        listener(
            caller_app,
            listen.callers,
            callers.max_connections
            or caller_memory.max_connections(
                memory_mb=settings.instance.memory_mb
            ),
            is_counted=True,
        ),
        listener(ready_app(is_ready), listen.readiness, few),
        listener(address_app(addresses, keep_s), listen.addresses, few),
        listener(
            metrics_app(text),
            f"{settings.instance.ip}:{listen.first_internal_port + 1}",
            few,
        ),
    )


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
