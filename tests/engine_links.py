"""Cuts the links of one hosted instance to all engines."""

import asyncio
import errno

import aiohttp

MODES = ("hang", "reset", "refuse")


class EngineLinks:
    """The connections of one instance to engines.

    While they are cut, new connections hang or are refused. Those that are open
    fall silent, are reset, or live on.

    Attributes:
        mode: `hang`, `reset` or `refuse`; None while the links work.
        opened: Number of connections that were opened.
    """

    def __init__(self, session):
        self.mode = None
        self.opened = 0
        self._open = session.connector._create_connection
        self._protocols = set()
        session.connector._create_connection = self._connect

    def cut(self, mode):
        """Cuts the links."""
        self.mode = mode
        for transport in self._transports():
            if mode == "hang":
                transport.pause_reading()
            elif mode == "reset":
                transport.abort()

    def restore(self):
        """Restores the links; what was in flight arrives."""
        self.mode = None
        for transport in self._transports():
            transport.resume_reading()

    def open_count(self):
        """Returns the number of open connections."""
        return len(self._transports())

    def _transports(self):
        self._protocols = {
            protocol
            for protocol in self._protocols
            if protocol.transport is not None
            and not protocol.transport.is_closing()
        }
        return [protocol.transport for protocol in self._protocols]

    async def _connect(self, request, traces, timeout):
        if self.mode == "hang":
            await asyncio.sleep(timeout.sock_connect)
            raise aiohttp.ConnectionTimeoutError("no answer")
        if self.mode is not None:
            raise aiohttp.ClientConnectorError(
                request.connection_key,
                ConnectionRefusedError(errno.ECONNREFUSED, "refused"),
            )
        protocol = await self._open(request, traces, timeout)
        self.opened += 1
        self._protocols.add(protocol)
        return protocol
