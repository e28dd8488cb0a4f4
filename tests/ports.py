"""Ports of the loopback address for the servers that tests start."""

import contextlib
import itertools
import random
import socket

# Linux takes the ports of outgoing connections from 32768 on. A server that
# is started later would find such a port taken by a connection of the test.
FIRST_PORT = 10_000
LAST_PORT = 19_999

# Runs beside each other begin at different places.
_candidates = itertools.cycle(range(FIRST_PORT, LAST_PORT + 1))
for _ in range(random.randrange(LAST_PORT - FIRST_PORT)):
    next(_candidates)


def free_port() -> int:
    """Returns a port that is free.

    A port is not returned again before all others have been.
    """
    return next(port for port in _candidates if is_free(port))


def free_ports(count: int) -> list[int]:
    """Returns `count` different ports that are free."""
    return [free_port() for _ in range(count)]


def consecutive_free_ports(count: int) -> list[int]:
    """Returns `count` free ports that follow each other."""
    ports = free_ports(count)
    while ports[-1] - ports[0] != count - 1:
        ports = [*ports[1:], free_port()]
    return ports


def is_free(port: int) -> bool:
    """Returns whether a server can be bound to a port."""
    with contextlib.suppress(OSError), socket.socket() as probe:
        probe.bind(("127.0.0.1", port))
        return True
    return False
