"""Tests that callers without self-restraint don't exhaust an instance.

Each test runs the process of an instance on loopback, beside the platform
stand-in, and a few callers that send as much as the instance takes, up to a
bound. The sets of callers and the bounds follow from the smallest instances,
which have 200 MB and some 4,100 descriptors. Neither the callers nor the bounds
are to be changed.
"""

import asyncio
import pathlib
import socket

from tamarackpier.routing import model as routing_model
from tests import process_fixtures, process_soak

CONNECTIONS = 12
# A connection that takes no byte for this long isn't written to any more.
STALLED_S = 3.0
# A process whose peak of memory stays the same for this long has settled, or
# is given up waiting for.
SETTLED_S = 2.0
SETTLE_TIMEOUT_S = 20.0
# Ordinary requests that are sent before the process counts as hung.
ATTEMPTS = 6
# Two thirds of the memory of the smallest instances; the rest is for the rows
# of a large fleet and for answers of engines.
MAX_MEMORY_BYTES = 133 << 20
# Descriptors beside those of the callers' connections that may come up
# meanwhile, such as connections to engines and to the store.
MAX_OTHER_DESCRIPTORS = 64
# A receive buffer this small is soon full of answers that aren't read.
RECEIVE_BUFFER_BYTES = 4096
# Least size of a block that is sent at once.
BLOCK_BYTES = 65_536
ENGINES = 4
SEED = 71
# A limit of bodies that is near that of all callers' connections by default.
LARGE_BODY_BYTES = 28_000_000
SMALLEST_MEMORY_BYTES = 200_000_000
# Longest time until the instance has the configuration that allows it.
LIMIT_KNOWN_S = 10.0

CHUNKED_HEAD = (
    b"POST /order/1 HTTP/1.1\r\n"
    + b"".join(
        b"%s: %s\r\n" % (name.encode(), value.encode())
        for name, value in process_fixtures.headers("trailers").items()
    )
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + b"2\r\n{}\r\n0\r\n"
)


def _body_head(size):
    lines = [
        f"{name}: {value}"
        for name, value in process_fixtures.headers("body").items()
    ]
    head = "\r\n".join(
        ["POST /order/1 HTTP/1.1", *lines, f"Content-Length: {size}"]
    )
    return head.encode() + b"\r\n\r\n"


def _memory_peak(pid):
    """Returns the largest resident size of a process so far, in bytes."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(
        line for line in status.splitlines() if line.startswith("VmHWM:")
    )
    return int(line.split()[1]) << 10


def _descriptor_count(pid):
    return sum(1 for _ in pathlib.Path(f"/proc/{pid}/fd").iterdir())


async def _send(connection, first, following, max_bytes):
    """Sends bytes until the bound, the end of the connection or a stall."""
    loop = asyncio.get_running_loop()
    block = following * max(1, BLOCK_BYTES // len(following))
    size = 0
    try:
        await asyncio.wait_for(loop.sock_sendall(connection, first), STALLED_S)
        while size < max_bytes:
            part = block[: max_bytes - size]
            await asyncio.wait_for(
                loop.sock_sendall(connection, part), STALLED_S
            )
            size += len(part)
    except (OSError, TimeoutError):
        pass


async def _settle(pid):
    """Waits until the peak of a process's memory stays the same."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + SETTLE_TIMEOUT_S
    peak = 0
    while loop.time() < ends_at and peak != (peak := _memory_peak(pid)):
        await asyncio.sleep(SETTLED_S)


async def _is_served(soak):
    """Returns whether an ordinary request is answered."""
    address = soak.entries[0].caller_address
    for _ in range(ATTEMPTS):
        if await soak.send("/order/", address):
            return True
    return False


async def _crowd(entry, port, first, following, max_bytes, count):
    """Has callers send bytes at once and returns their open connections."""
    loop = asyncio.get_running_loop()
    connections = []
    for _ in range(count):
        connection = socket.socket()
        connection.setblocking(False)
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        connections.append(connection)
        await loop.sock_connect(connection, (entry.host, entry.ports[port]))
    await asyncio.gather(
        *(
            _send(connection, first, following, max_bytes)
            for connection in connections
        )
    )
    return connections


def _check(
    following,
    max_bytes,
    first=b"",
    port=process_fixtures.CALLER_PORT,
    count=CONNECTIONS,
):
    """Checks a process while callers send to it and don't read.

    Args:
        following: What each caller sends again and again.
        max_bytes: How much of it a caller sends at most, in bytes.
        first: What each sends before.
        port: Index of the port.
        count: Number of callers.
    """
    seen = {}

    async def play():
        async with process_soak.single_instance(SEED, ENGINES) as soak:
            entry = soak.entries[0]
            pid = entry.process.pid
            descriptors = _descriptor_count(pid)
            seen["memory_before"] = _memory_peak(pid)
            connections = await _crowd(
                entry, port, first, following, max_bytes, count
            )
            await _settle(pid)
            seen["is_served"] = await _is_served(soak)
            seen["is_alive"] = entry.process.poll() is None
            if seen["is_alive"]:
                seen["memory"] = _memory_peak(pid)
                seen["descriptors"] = _descriptor_count(pid) - descriptors
            for connection in connections:
                connection.close()

    asyncio.run(play())
    assert seen["is_alive"], seen
    assert seen["memory"] < MAX_MEMORY_BYTES, seen
    assert seen["descriptors"] <= count + MAX_OTHER_DESCRIPTORS, seen
    assert seen["is_served"], seen


def test_trailers_without_end_exhaust_no_memory():
    """Guards against trailers that are kept as headers without a limit."""
    _check(b"a: 1\r\n", 2 << 20, first=CHUNKED_HEAD)


def test_requests_sent_ahead_without_headers_exhaust_no_memory():
    """Guards against one read that becomes thousands of requests."""
    _check(b"GET / HTTP/1.1\r\n\r\n", 1 << 20)


def test_requests_sent_ahead_for_readiness_exhaust_no_memory():
    """Guards against a listener beside the callers' without the limits."""
    _check(
        b"GET /ready HTTP/1.1\r\n\r\n",
        1 << 20,
        port=process_fixtures.READY_PORT,
    )


def test_bodies_of_many_callers_exhaust_no_memory():
    """Guards against bodies, each within its limit, that sum up."""
    size = 4 << 20
    _check(b"x", size - 1, first=_body_head(size), count=24)


def test_heads_with_bodies_sent_ahead_exhaust_no_memory():
    """Guards against bodies that wait behind an answer nobody reads."""
    _check(
        b"POST / HTTP/1.1\r\nContent-Length: 64\r\n\r\n" + b"x" * 64, 2 << 20
    )


def test_a_single_request_of_the_largest_size_is_served():
    """Guards against a limit of all callers that refuses one that is alone."""
    limits = routing_model.Limits(body_bytes=LARGE_BODY_BYTES)
    body = b"x" * LARGE_BODY_BYTES

    async def status(soak):
        async with soak.client.post(
            f"http://{soak.entries[0].caller_address}/order/1",
            headers=process_fixtures.headers("large"),
            data=body,
        ) as response:
            return response.status

    async def play():
        async with process_soak.single_instance(SEED, ENGINES) as soak:
            soak.configure(limits=limits)
            async with asyncio.timeout(LIMIT_KNOWN_S):
                while not await soak.serves_version(
                    soak.entries[0], soak.version
                ):
                    await asyncio.sleep(0.1)
            answered = await status(soak)
            return answered, _memory_peak(soak.entries[0].process.pid)

    answered, memory_bytes = asyncio.run(play())
    assert answered == 200, answered
    assert memory_bytes < SMALLEST_MEMORY_BYTES, memory_bytes
