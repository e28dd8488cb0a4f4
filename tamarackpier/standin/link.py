"""A loopback proxy between two processes that can simulate network faults."""

import asyncio
import contextlib
import enum
import socket
import struct

__all__ = ["Link", "LinkMode"]

_CHUNK_BYTES = 1 << 16
# Values of SO_LINGER with which closing a socket sends a TCP reset.
_LINGER_RESET = struct.pack("ii", 1, 0)


class LinkMode(enum.Enum):
    """How a link treats the bytes that it receives."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    DEAF = "deaf"
    MUTE = "mute"
    RESET = "reset"


class Link:
    """Forwards connections to an address, as its mode determines.

    Attributes:
        target: Host and port that connections are forwarded to.
        address: Host and port on which the link listens.
        mode: How bytes are treated: `PASS` forwards them, `DELAY` forwards
            them late, `SILENT` holds all of them back, `DEAF` holds back those
            to the target and `MUTE` those from it; `RESET` aborts every
            connection.
        delay_s: Delay in mode `DELAY`, in seconds.
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
        """Starts listening."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(
            self._connected, host, int(port)
        )

    def set_mode(self, mode: LinkMode) -> None:
        """Changes how bytes are treated from now on."""
        self.mode = mode
        self._changed.set()
        self._changed = asyncio.Event()
        if mode is LinkMode.RESET:
            self.reset()

    def reset(self) -> None:
        """Resets all open connections."""
        for pair in list(self._pairs):
            for writer in pair:
                connection_socket = writer.get_extra_info("socket")
                with contextlib.suppress(OSError):
                    connection_socket.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
                    )
                writer.transport.abort()

    async def close(self) -> None:
        """Stops listening and resets all open connections."""
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
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, target_writer)
        self._pairs.add(pair)
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, LinkMode.DEAF),
                self._forward(target_reader, writer, LinkMode.MUTE),
            )
        finally:
            self._pairs.discard(pair)
            for end in pair:
                end.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        blocking_mode: LinkMode,
    ) -> None:
        """Forwards bytes until the reader ends; an error aborts the writer."""
        try:
            while data := await reader.read(_CHUNK_BYTES):
                if self.mode is LinkMode.DELAY:
                    await asyncio.sleep(self.delay_s)
                while self.mode in (LinkMode.SILENT, blocking_mode):
                    await self._changed.wait()
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except (OSError, RuntimeError):
            writer.transport.abort()
