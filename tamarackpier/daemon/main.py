"""Entry point of the daemon, `tamarackpierd`."""

import asyncio
import contextlib
import pathlib
import signal
import sys
from collections.abc import Callable, Iterator

import aiohttp
import click
import falcon
import falcon.asgi
import grpc
import uvicorn
from absl import logging
from returns import pipeline

from tamarackpier import codes, logs
from tamarackpier import settings as settings_lib
from tamarackpier.daemon import (
    caller_memory,
    callers,
    http,
    operators,
    process,
    serving,
)
from tamarackpier.daemon import node as node_lib
from tamarackpier.traffic import caller_connection
from tamarackpier.upstream import bounded_http
from tamarackpier.wire import peer_pb2_grpc

__all__ = ["create_app", "main", "serve"]

# Time for which the gRPC server completes calls when it stops.
_GRPC_STOP_S = 1.0
# Largest number of connections that wait to be accepted.
_BACKLOG = 2048
# Time limits of callers' connections.
_IDLE_TIMEOUT_S = 30.0
_HEAD_TIMEOUT_S = 10.0
# Largest bodies that callers' connections may hold together.
_BODIES_HELD = 8


@click.command()
@click.option(
    "--settings",
    "path",
    type=click.Path(path_type=pathlib.Path),
    required=True,
    help="INI file with the settings.",
)
@click.option(
    "--check-settings", is_flag=True, help="Check the settings and exit."
)
def main(path: pathlib.Path, check_settings: bool) -> None:
    """Serves one entry instance until SIGTERM, then leaves gracefully."""
    load_result = settings_lib.load(path)
    if not pipeline.is_successful(load_result):
        faults = load_result.failure()
        for fault in faults:
            click.echo(str(fault), err=True)
        sys.exit(faults[0].code.exit_status)
    settings = load_result.unwrap()
    if check_settings:
        click.echo(f"{path}: settings are valid")
        return
    logs.configure(settings.instance.id, settings.instance.log_level)
    process.run(serve(settings))


async def serve(settings: settings_lib.Settings) -> None:
    """Serves one entry instance until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    pooled = bounded_http.BoundedConnector(limit=0, keepalive_timeout=30)
    unpooled = bounded_http.BoundedConnector(limit=0, force_close=True)
    no_timeout = aiohttp.ClientTimeout(total=None)
    async with (
        aiohttp.ClientSession(connector=pooled, timeout=no_timeout) as session,
        aiohttp.ClientSession(
            connector=unpooled, timeout=no_timeout
        ) as unpooled_session,
    ):
        node = node_lib.create_node(settings, session, unpooled_session)
        await _serve_node(node, stop)


async def _serve_node(node: node_lib.Node, stop: asyncio.Event) -> None:
    instance = node.settings.instance
    peer_server = grpc.aio.server()
    peer_pb2_grpc.add_PeerServicer_to_server(node.peer_service, peer_server)
    peer_server.add_insecure_port(instance.peer_address)
    await peer_server.start()
    server = _Server(_server_config(node, stop.set))
    serve_task = asyncio.ensure_future(server.serve())
    node.start()
    logs.event("serving", address=instance.caller_address)
    stop_task = asyncio.ensure_future(stop.wait())
    await asyncio.wait(
        (serve_task, stop_task), return_when=asyncio.FIRST_COMPLETED
    )
    if not serve_task.done():
        await node.leave()
    server.should_exit = True
    await serve_task
    await node.stop()
    await peer_server.stop(_GRPC_STOP_S)
    logs.event("stopped")


def _server_config(
    node: node_lib.Node, stop: Callable[[], None]
) -> uvicorn.Config:
    host, _, port = node.settings.instance.caller_address.rpartition(":")
    owner = serving.ConnectionOwner(
        caller_connection.Limits(
            _IDLE_TIMEOUT_S,
            _HEAD_TIMEOUT_S,
            node.settings.limits.body_timeout_s,
        ),
        node.metrics,
        http.fault_body,
        # Settings may allow bodies that are large beside the default.
        caller_memory.CallerMemory(
            max(
                caller_memory.max_bytes(0),
                _BODIES_HELD * node.settings.limits.max_body_bytes,
            ),
            node.metrics,
        ),
    )
    node.connections_by_phase = owner.count_by_phase
    return uvicorn.Config(
        http.DisconnectMiddleware(create_app(node, stop)),
        host=host.strip("[]"),
        port=int(port),
        http=owner.create_protocol,  # type: ignore[arg-type]
        loop="asyncio",
        lifespan="off",
        log_level="error",
        access_log=False,
        backlog=_BACKLOG,
        timeout_graceful_shutdown=30,
        server_header=False,
        proxy_headers=False,
    )


class _Server(uvicorn.Server):
    """Uvicorn server without signal handlers; the daemon installs its own."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leaves the signal handlers unchanged."""
        yield


def create_app(
    node: node_lib.Node, stop: Callable[[], None] = lambda: None
) -> falcon.asgi.App:
    """Returns the HTTP application of a node.

    Args:
        node: The entry instance.
        stop: Begins a graceful shutdown.
    """
    app = falcon.asgi.App()
    callers.add_routes(app, node)
    operators.add_routes(app, node, stop)
    app.add_sink(_raise_no_such_path)
    app.add_error_handler(Exception, _on_error)
    app.add_error_handler(http.FaultError, _on_fault)
    app.add_error_handler(falcon.HTTPError, _on_http_error)
    return app


async def _raise_no_such_path(
    request: falcon.asgi.Request, response: falcon.asgi.Response
) -> None:
    fault = codes.fault(codes.NO_SUCH_PATH, f"no endpoint at {request.path!r}")
    raise http.FaultError(fault)


async def _on_fault(
    request: falcon.asgi.Request,
    response: falcon.asgi.Response,
    error: http.FaultError,
    params: dict[str, object],
) -> None:
    http.write_fault(response, error)


async def _on_http_error(
    request: falcon.asgi.Request,
    response: falcon.asgi.Response,
    error: falcon.HTTPError,
    params: dict[str, object],
) -> None:
    detail = f"{error.status}: {error.description or error.title or ''}"
    fault = codes.fault(codes.BAD_BODY, detail)
    http.write_fault(response, http.FaultError(fault))
    response.status = error.status


async def _on_error(
    request: falcon.asgi.Request,
    response: falcon.asgi.Response,
    error: Exception,
    params: dict[str, object],
) -> None:
    logging.exception("request to %s failed", request.path)
    detail = "internal error; the request may or may not have run"
    fault = codes.fault(codes.OUTCOME_UNKNOWN, detail)
    http.write_fault(response, http.FaultError(fault))


if __name__ == "__main__":
    main()
