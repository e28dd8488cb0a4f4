"""An engine on loopback whose answers are written byte by byte.

Well-behaved servers can't be made to break off, to answer twice or to reset a
connection; here a script says what goes onto the socket.
"""

import asyncio
import contextlib
import dataclasses
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable

from tamarackpier.platform import wire

__all__ = ["Arrival", "Script", "serve_script", "encode_answer"]

_RESET = struct.pack("ii", 1, 0)


@dataclasses.dataclass
class Arrival:
    """A request as it arrived, and the way back.

    Attributes:
        head: The request line and headers.
        body: The body.
        reader: Sees the caller's end of the connection.
        writer: Takes the answer's bytes.
    """

    head: str
    body: bytes
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def header(self, name: str) -> str:
        """Returns a header; empty if it is absent."""
        for line in self.head.split("\r\n")[1:]:
            found, _, value = line.partition(":")
            if found.lower() == name.lower():
                return value.strip()
        return ""

    async def write(self, data: bytes) -> None:
        """Writes bytes of the answer."""
        self.writer.write(data)
        await self.writer.drain()

    def reset(self) -> None:
        """Resets the connection, as a crashed process does."""
        found = self.writer.get_extra_info("socket")
        found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self.writer.transport.abort()


Script = Callable[[Arrival], Awaitable[None]]


def encode_answer(
    arrival: Arrival,
    body: bytes,
    status: str = "200 OK",
    extra: str = "",
    length: int | None = None,
) -> bytes:
    """Returns an answer with the marks that callers look for."""
    size = len(body) if length is None else length
    name = wire.Header.REQUEST_ID
    return (
        f"HTTP/1.1 {status}\r\n"
        f"{name}: {arrival.header(name)}\r\n"
        f"{wire.Header.PROOF}: proof\r\n{extra}"
        f"Content-Length: {size}\r\n\r\n"
    ).encode() + body


@contextlib.asynccontextmanager
async def serve_script(
    script: Script,
) -> AsyncIterator[tuple[str, list[Arrival]]]:
    """Serves a script; yields its address and what has arrived."""
    arrivals: list[Arrival] = []

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            arrival = Arrival(head[:-4], b"", reader, writer)
            length = arrival.header("Content-Length")
            arrival.body = await reader.readexactly(int(length or 0))
            arrivals.append(arrival)
            await script(arrival)
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield f"127.0.0.1:{port}", arrivals
    finally:
        server.close()
