"""Tests of the choice of ports for servers that tests start."""

import pathlib
import socket

from tests import ports

_EPHEMERAL_RANGE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


def test_ports_are_not_those_of_outgoing_connections():
    """Guards against a port that a connection takes before its server."""
    first, last = map(int, _EPHEMERAL_RANGE.read_text().split())
    chosen = ports.free_ports(200)
    assert not [port for port in chosen if first <= port <= last]
    assert len(set(chosen)) == len(chosen)


def test_ports_in_use_are_passed_over():
    with socket.socket() as server:
        server.bind(("127.0.0.1", ports.free_port()))
        server.listen()
        taken = server.getsockname()[1]
        assert not ports.is_free(taken)
        cycle = ports.free_ports(ports.LAST_PORT - ports.FIRST_PORT)
        assert taken not in cycle


def test_consecutive_ports_follow_each_other():
    first = ports.free_port()
    with socket.socket() as server:
        server.bind(("127.0.0.1", first + 2))
        chosen = ports.consecutive_free_ports(3)
    assert chosen == list(range(chosen[0], chosen[0] + 3))
    assert first + 2 not in chosen
