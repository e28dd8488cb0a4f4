"""Command-line program of an entry instance on the platform."""

import asyncio
import os
import pathlib
import signal
import socket
import sys

import aiohttp
import click
from returns import pipeline, result

from tamarackpier import features, hosted_settings, logs
from tamarackpier.daemon import hosted as hosted_lib
from tamarackpier.daemon import process
from tamarackpier.platform import contracts, engines
from tamarackpier.upstream import kept_connections

__all__ = ["main"]

_SETTINGS_VARIABLE = "TAMARACKPIER_SETTINGS"
# Keep-alive settings that detect a silent connection to the store within 3 s.
_KEEPALIVE_S = 1
_KEEPALIVE_PROBES = 2
_STORE_CONNECTIONS = 16
_MS_PER_S = 1000


def _store_socket(info: aiohttp.AddrInfoType) -> socket.socket:
    """Returns a socket that detects a silent connection by keep-alive."""
    family, socket_type, protocol, _, _ = info
    store_socket = socket.socket(family, socket_type, protocol)
    store_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    store_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_S
    )
    store_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_S
    )
    store_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES
    )
    store_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2 * _MS_PER_S
    )
    return store_socket


async def _serve(path: pathlib.Path) -> None:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    store_session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=_STORE_CONNECTIONS, socket_factory=_store_socket
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
    )
    settings = _load(path)
    requested = contracts.features(settings.instance.contracts)
    policy = None
    if features.Feature.KEPT_CONNECTIONS in requested:
        policy = kept_connections.default_policy()
    async with store_session, engines.create_session(policy) as engine_session:
        hosted = hosted_lib.create_instance(
            settings, store_session, engine_session
        )

        def reload() -> None:
            load_result = hosted_settings.load(path)
            if pipeline.is_successful(load_result):
                hosted.reload(load_result.unwrap())
            else:
                logs.event(
                    "settings refused",
                    faults=str(load_result.failure()),
                )

        loop.add_signal_handler(signal.SIGHUP, reload)
        # A SIGHUP that arrived before its handler was installed was ignored, so
        # the settings may have changed since they were loaded.
        if hosted_settings.load(path) != result.Success(settings):
            reload()
        await hosted.start()
        await stop.wait()
        await hosted.leave()
        await hosted.close()


def _load(path: pathlib.Path) -> hosted_settings.HostedSettings:
    """Returns the settings, or exits with the status of their first fault."""
    load_result = hosted_settings.load(path)
    if not pipeline.is_successful(load_result):
        faults = load_result.failure()
        for fault in faults:
            click.echo(str(fault), err=True)
        sys.exit(faults[0].code.exit_status)
    return load_result.unwrap()


@click.command()
@click.option(
    "--settings",
    "path",
    type=click.Path(path_type=pathlib.Path),
    help=f"INI file with the settings; default: ${_SETTINGS_VARIABLE}.",
)
@click.option(
    "--check-settings", is_flag=True, help="Check the settings and exit."
)
def main(path: pathlib.Path | None, check_settings: bool) -> None:
    """Serves one entry instance on the platform until SIGTERM."""
    settings_path = path or pathlib.Path(os.environ.get(_SETTINGS_VARIABLE, ""))
    settings = _load(settings_path)
    if check_settings:
        click.echo(f"{settings_path}: settings are valid")
        return
    logs.configure(settings.instance.id, settings.instance.log_level)
    process.run(_serve(settings_path))


if __name__ == "__main__":
    main()
