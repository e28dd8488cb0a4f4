"""Free loopback ports for the servers that tests start."""

import contextlib
import itertools
import random
import socket

# Linux assigns ports from 32768 on to outgoing connections. A connection of the
# test could take such a port before the server for it starts.
FIRST_PORT = 10_000
LAST_PORT = 19_999

# The search begins at a random port, so that concurrent test runs rarely try
# the same ports.
_candidates = itertools.cycle(range(FIRST_PORT, LAST_PORT + 1))
for _ in range(random.randrange(LAST_PORT - FIRST_PORT)):
    next(_candidates)


def free_port() -> int:
    """Returns a port that is free.

    A port is returned again only after all other ports have been tried.
    """
    return next(port for port in _candidates if is_free(port))


def free_ports(count: int) -> list[int]:
    """Returns `count` different ports that are free."""
    return [free_port() for _ in range(count)]


def consecutive_free_ports(count: int) -> list[int]:
    """Returns `count` free ports with consecutive numbers."""
    ports = free_ports(count)
    while ports[-1] - ports[0] != count - 1:
        ports = [*ports[1:], free_port()]
    return ports


def is_free(port: int) -> bool:
    """Returns whether a server can bind to a port now."""
    with contextlib.suppress(OSError), socket.socket() as server:
        server.bind(("127.0.0.1", port))
        return True
    return False
