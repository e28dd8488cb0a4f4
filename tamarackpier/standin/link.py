"""A loopback link between two processes that can be made to misbehave."""

import asyncio
import contextlib
import enum
import socket
import struct

__all__ = ["Link", "LinkMode"]

_CHUNK_BYTES = 1 << 16
_RESET = struct.pack("ii", 1, 0)


class LinkMode(enum.Enum):
    """What becomes of bytes on a link."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    DEAF = "deaf"
    MUTE = "mute"
    RESET = "reset"


class Link:
    """Passes connections on to an address, as its mode says.

    Attributes:
        target: Host and port that connections are passed on to.
        address: Where it listens.
        mode: What becomes of bytes: `SILENT` holds all back, `DEAF` what goes
            to the target and `MUTE` what comes from it; `RESET` ends every
            connection.
        delay_s: How late bytes arrive in mode `DELAY`.
    """

    def __init__(self, target: str, address: str) -> None:
        self.target = target
        self.address = address
        self.mode = LinkMode.PASS
        self.delay_s = 0.2
        self._server: asyncio.Server | None = None
        self._pairs: set[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = (
            set()
        )
        self._changed = asyncio.Event()

    async def open(self) -> None:
        """Begins to listen."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(
            self._connected, host, int(port)
        )

    def set_mode(self, mode: LinkMode) -> None:
        """Changes what becomes of bytes from now on."""
        self.mode = mode
        self._changed.set()
        self._changed = asyncio.Event()
        if mode is LinkMode.RESET:
            self.reset()

    def reset(self) -> None:
        """Ends all open connections abruptly."""
        for pair in list(self._pairs):
            for writer in pair:
                found = writer.get_extra_info("socket")
                with contextlib.suppress(OSError):
                    found.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, _RESET
                    )
                writer.transport.abort()

    async def close(self) -> None:
        """Ends everything."""
        if self._server is not None:
            self._server.close()
        self.reset()

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is LinkMode.RESET:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        try:
            out_reader, out = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, out)
        self._pairs.add(pair)
        try:
            await asyncio.gather(
                self._pump(reader, out, LinkMode.DEAF),
                self._pump(out_reader, writer, LinkMode.MUTE),
            )
        finally:
            self._pairs.discard(pair)
            for each in pair:
                each.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        blocked_in: LinkMode,
    ) -> None:
        """Passes bytes on until one side ends; an abrupt end ends both."""
        try:
            while data := await reader.read(_CHUNK_BYTES):
                if self.mode is LinkMode.DELAY:
                    await asyncio.sleep(self.delay_s)
                while self.mode in (LinkMode.SILENT, blocked_in):
                    await self._changed.wait()
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except (OSError, RuntimeError):
            writer.transport.abort()
