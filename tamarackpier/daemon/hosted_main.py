"""The program of an entry instance on the platform."""

import asyncio
import os
import pathlib
import signal
import socket
import sys

import aiohttp
import click
from returns import pipeline, result

from tamarackpier import hosted_settings, logs
from tamarackpier.daemon import hosted as hosted_lib
from tamarackpier.platform import engines

__all__ = ["main"]

_SETTINGS_VARIABLE = "TAMARACKPIER_SETTINGS"
_KEEPALIVE_S = 1  # Finds a silent connection to the store within 3 s.
_KEEPALIVE_PROBES = 2
_STORE_CONNECTIONS = 16
_MS_PER_S = 1000


def _store_socket(info: aiohttp.AddrInfoType) -> socket.socket:
    """Returns a socket that notices a silent connection by itself."""
    family, kind, protocol, _, _ = info
    found = socket.socket(family, kind, protocol)
    found.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    found.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_S)
    found.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_S)
    found.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    found.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2 * _MS_PER_S)
    return found


async def _serve(path: pathlib.Path) -> None:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, stop.set)
    store_session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=_STORE_CONNECTIONS, socket_factory=_store_socket
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
    )
    settings = _load(path)
    async with store_session, engines.create_session() as engine_session:
        hosted = hosted_lib.create_instance(
            settings, store_session, engine_session
        )

        def reload() -> None:
            found = hosted_settings.load(path)
            if pipeline.is_successful(found):
                hosted.reload(found.unwrap())
            else:
                logs.event("settings refused", faults=str(found.failure()))

        loop.add_signal_handler(signal.SIGHUP, reload)
        if hosted_settings.load(path) != result.Success(settings):
            reload()
        await hosted.start()
        await stop.wait()
        await hosted.leave()
        await hosted.close()
    logs.flush()


def _load(path: pathlib.Path) -> hosted_settings.HostedSettings:
    loaded = hosted_settings.load(path)
    if not pipeline.is_successful(loaded):
        faults = loaded.failure()
        for fault in faults:
            click.echo(str(fault), err=True)
        sys.exit(faults[0].code.exit_status)
    return loaded.unwrap()


@click.command()
@click.option(
    "--settings",
    "path",
    type=click.Path(path_type=pathlib.Path),
    help=f"INI file with the settings; else what ${_SETTINGS_VARIABLE} names.",
)
@click.option(
    "--check-settings", is_flag=True, help="Check the settings and stop."
)
def main(path: pathlib.Path | None, check_settings: bool) -> None:
    """Serves one entry instance on the platform until SIGTERM."""
    named = path or pathlib.Path(os.environ.get(_SETTINGS_VARIABLE, ""))
    settings = _load(named)
    if check_settings:
        click.echo(f"{named}: settings are good")
        return
    logs.configure(settings.instance.id, settings.instance.log_level)
    asyncio.run(_serve(named))


if __name__ == "__main__":
    main()
