"""An engine on loopback that sends exactly the bytes that a script writes.

An HTTP server library can't be made to truncate an answer, to answer twice or
to reset a connection. Here a script, which is a coroutine function of a test,
controls the socket.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable

from tamarackpier.platform import wire

__all__ = ["ReceivedRequest", "Script", "encode_answer", "serve_script"]

# Values of SO_LINGER with which closing a socket sends a TCP reset.
_LINGER_RESET = struct.pack("ii", 1, 0)


@dataclasses.dataclass
class ReceivedRequest:
    """A request as received, with the connection on which to answer it.

    Attributes:
        head: Request line and headers.
        body: Body of the request.
        reader: Stream of the bytes after the body; its end shows that the
            caller disconnected.
        writer: Stream that sends the answer.
        connection: Number of the connection, in the order of their opening.
    """

    head: str
    body: bytes
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    connection: int = 0

    def header(self, name: str) -> str:
        """Returns the value of a header; empty if it is absent."""
        for line in self.head.split("\r\n")[1:]:
            field, _, value = line.partition(":")
            if field.lower() == name.lower():
                return value.strip()
        return ""

    async def write(self, data: bytes) -> None:
        """Sends bytes of the answer."""
        self.writer.write(data)
        await self.writer.drain()

    def reset(self) -> None:
        """Resets the connection, as a crashed process does."""
        connection_socket = self.writer.get_extra_info("socket")
        connection_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
        )
        self.writer.transport.abort()


# Answers one request by writing to its connection, or by breaking it.
Script = Callable[[ReceivedRequest], Awaitable[None]]


def encode_answer(
    request: ReceivedRequest,
    body: bytes,
    status: str = "200 OK",
    extra_headers: str = "",
    length: int | None = None,
) -> bytes:
    """Returns the bytes of an answer, with the headers that an engine adds.

    The headers are the request's ID and the proof that an engine answered.

    Args:
        request: Request that is answered.
        body: Body of the answer.
        status: HTTP status code and reason.
        extra_headers: Header lines to add, each ending with CRLF.
        length: Value of `Content-Length`; by default the body's length.
    """
    content_length = len(body) if length is None else length
    id_header = wire.Header.REQUEST_ID
    return (
        f"HTTP/1.1 {status}\r\n"
        f"{id_header}: {request.header(id_header)}\r\n"
        f"{wire.Header.PROOF}: proof\r\n{extra_headers}"
        f"Content-Length: {content_length}\r\n\r\n"
    ).encode() + body


@contextlib.asynccontextmanager
async def serve_script(
    script: Script,
    keeps_connections: bool = False,
) -> AsyncIterator[tuple[str, list[ReceivedRequest]]]:
    """Serves a script on loopback until the context is left.

    Args:
        script: Answers each request.
        keeps_connections: Whether further requests on a connection are read;
            else it is closed when the script returns.

    Yields:
        Host and port of the server, and the list to which each request is added
        when its body has arrived.
    """
    requests: list[ReceivedRequest] = []
    connections = itertools.count()

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = next(connections)
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request = ReceivedRequest(
                    head[:-4].decode("latin-1"), b"", reader, writer, connection
                )
                length = request.header("Content-Length")
                request.body = await reader.readexactly(int(length or 0))
                requests.append(request)
                await script(request)
                if not keeps_connections or writer.is_closing():
                    break
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield f"127.0.0.1:{port}", requests
    finally:
        server.close()
