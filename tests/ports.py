"""Free loopback ports for the servers that tests start.

Each process takes its ports from a block that no other process uses at the same
time: it holds a lock on the block's file until it ends.
"""

import contextlib
import fcntl
import itertools
import os
import pathlib
import random
import socket

# Linux assigns ports from 32768 on to outgoing connections. A connection of the
# test could take such a port before the server for it starts. A block has many
# more ports than a test needs: closed ports can't be used again for a minute.
_FIRST_PORT = 10_000
_BLOCK_PORTS = 900
_BLOCK_COUNT = 25
_LOCK_FOLDER = pathlib.Path("/tmp")


def _claim_block() -> int:
    """Returns the first port of a block that no other process uses.

    The lock is released when the process ends.
    """
    blocks = list(range(_BLOCK_COUNT))
    random.SystemRandom().shuffle(blocks)
    for block in blocks:
        path = _LOCK_FOLDER / f"tamarackpier-test-ports-{block}.lock"
        descriptor = os.open(path, os.O_CREAT | os.O_RDWR, 0o666)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(descriptor)
            continue
        return _FIRST_PORT + block * _BLOCK_PORTS
    raise RuntimeError(f"all {_BLOCK_COUNT} blocks of test ports are in use")


FIRST_PORT = _claim_block()
LAST_PORT = FIRST_PORT + _BLOCK_PORTS - 1
_candidates = itertools.cycle(range(FIRST_PORT, LAST_PORT + 1))


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
