"""Tests of callers' connections: their phases, time limits and closes."""

import asyncio
import socket
import time
import types
from unittest import mock

from tamarackpier import metrics, settings
from tamarackpier.daemon import main
from tamarackpier.platform import wire
from tamarackpier.routing import model as routing_model
from tamarackpier.traffic import caller_connection as connections
from tests import deployment_fixtures, ports

HALF_HEAD = b"POST /status/1 HTTP/1.1\r\nHost: a.exam"
HEAD_LIMIT_S = 0.5
# Time that a busy machine may add to a limit.
SLACK_S = 1.5


def _request(request_id):
    head = "POST /status/1 HTTP/1.1\r\nContent-Length: 2\r\n"
    for name, value in (
        ("Host", "a.example"),
        ("Authorization", "Token key-1"),
        (wire.Header.REQUEST_ID, request_id),
        (wire.Header.DEADLINE_MS, "5000"),
    ):
        head += f"{name}: {value}\r\n"
    return f"{head}\r\n{{}}".encode()


async def _connect(address):
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def _read_answer(reader):
    """Returns the status of an answer without chunks; None if none came."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                await reader.readexactly(int(line.partition(b":")[2]))
            if line.startswith(b"transfer-encoding:"):
                await reader.readuntil(b"0\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return int(head.split()[1])


async def _ask(connection, request_id):
    """Sends a request and returns the status of its answer, or None."""
    reader, writer = connection
    try:
        writer.write(_request(request_id))
        await writer.drain()
    except ConnectionError:
        return None
    return await _read_answer(reader)


class _Callers:
    """Connections to the one instance of a deployment.

    Attributes:
        deployment: The deployment.
        instance: Its instance.
        address: The address of the instance.
        version: The version of the configuration in force.
    """

    def __init__(self, deployment):
        self.deployment = deployment
        self.instance = deployment.instances[0]
        self.address = self.instance.settings.listen.callers
        self.version = 1

    async def set_limits(self, **limits):
        """Waits until the limits, in seconds, are in force."""
        self.version += 1
        self.deployment.platform.configure(
            deployment_fixtures.configuration(
                self.version, limits=routing_model.Limits(**limits)
            )
        )
        await self.deployment.until(
            lambda: self.instance.configuration.version == self.version
        )

    async def open_used(self, count):
        """Returns connections on which a request was answered."""
        used = [await _connect(self.address) for _ in range(count)]
        for index, connection in enumerate(used):
            assert await _ask(connection, f"first-{index}") == 200
        return used


def _run(check):
    async def run_check(deployment):
        callers = _Callers(deployment)
        platform = deployment.platform
        await deployment.until(
            lambda: callers.instance.configuration.version == 1
        )
        await deployment.until(
            lambda: any(
                engine.service == "orders"
                for engine in callers.instance.fleet.engines.values()
            )
        )
        await check(callers, platform)

    deployment_fixtures.run(run_check, count=1, engine_count=0)


async def _check_refused(reader, limit_s):
    began_at = time.monotonic()
    answer = await asyncio.wait_for(reader.read(), limit_s + SLACK_S)
    assert answer.startswith(b"HTTP/1.1 408 "), answer
    assert b"connection: close" in answer.lower()
    assert b"3012" in answer and b"has not run" in answer, answer
    assert time.monotonic() - began_at > 0.5 * limit_s


def test_a_head_that_falls_silent_does_not_hold_a_connection():
    async def check(callers, platform):
        await callers.set_limits(header_timeout_s=HEAD_LIMIT_S)
        reader, writer = await _connect(callers.address)
        writer.write(HALF_HEAD)
        await _check_refused(reader, HEAD_LIMIT_S)
        writer.close()
        text = callers.instance.metrics_text()
        assert 'connection_closed_total{reason="head_late"} 1' in text
        assert 'refused_total{reason="head_timeout"} 1' in text

    _run(check)


def test_a_head_sent_byte_by_byte_does_not_hold_a_connection():
    async def check(callers, platform):
        await callers.set_limits(header_timeout_s=HEAD_LIMIT_S)
        reader, writer = await _connect(callers.address)

        async def dribble():
            for index in range(len(HALF_HEAD)):
                writer.write(HALF_HEAD[index : index + 1])
                await asyncio.sleep(0.2)

        dribbling = asyncio.ensure_future(dribble())
        await _check_refused(reader, HEAD_LIMIT_S)
        dribbling.cancel()
        writer.close()

    _run(check)


def test_a_second_head_on_a_connection_is_limited_too():
    async def check(callers, platform):
        await callers.set_limits(header_timeout_s=HEAD_LIMIT_S)
        ((reader, writer),) = await callers.open_used(1)
        writer.write(HALF_HEAD)
        await _check_refused(reader, HEAD_LIMIT_S)
        writer.close()

    _run(check)


def test_the_head_limit_cuts_no_body_and_no_answer():
    async def check(callers, platform):
        await callers.set_limits(header_timeout_s=HEAD_LIMIT_S)
        platform.plain_answer_s = 1.4 * HEAD_LIMIT_S
        reader, writer = await _connect(callers.address)
        request = _request("slow body")
        writer.write(request[:-1])
        await asyncio.sleep(1.4 * HEAD_LIMIT_S)
        writer.write(request[-1:])
        assert await _read_answer(reader) == 200
        writer.close()

    _run(check)


def _run_on_own_face(check):
    """Runs a check with a connection to our own face and its counters."""

    async def app(scope, receive, send):
        raise AssertionError("no request arrived completely")

    async def run_check():
        port = ports.free_port()
        node = types.SimpleNamespace(
            settings=types.SimpleNamespace(
                instance=types.SimpleNamespace(
                    caller_address=f"127.0.0.1:{port}"
                ),
                limits=settings.LimitSettings(),
            ),
            metrics=metrics.Metrics(),
        )
        with mock.patch.object(main, "create_app", return_value=app):
            config = main._server_config(node, lambda: None)
        server = main._Server(config)
        serving = asyncio.ensure_future(server.serve())
        while not server.started:
            await asyncio.sleep(0.01)
        reader, writer = await _connect(f"127.0.0.1:{port}")
        try:
            await check(reader, writer, node.metrics.counters)
        finally:
            writer.close()
            server.should_exit = True
            await serving

    with mock.patch.object(main, "_HEAD_TIMEOUT_S", HEAD_LIMIT_S, create=True):
        asyncio.run(run_check())


def test_a_late_head_is_refused_on_the_own_face():
    async def check(reader, writer, counters):
        writer.write(HALF_HEAD)
        await _check_refused(reader, HEAD_LIMIT_S)
        assert counters["connection_closed:head_late"] == 1

    _run_on_own_face(check)


def test_a_head_without_end_takes_no_more_memory_on_the_own_face():
    async def check(reader, writer, counters):
        writer.write(HALF_HEAD + b"x" * (1 << 17))
        answer = await asyncio.wait_for(reader.readline(), SLACK_S)
        assert answer.startswith(b"HTTP/1.1 431 "), answer
        await asyncio.sleep(0.1)
        assert counters["connection_closed:head_too_large"] == 1

    _run_on_own_face(check)


def test_a_raised_idle_limit_closes_no_connection_by_the_older_one():
    async def check(callers, platform):
        await callers.set_limits(idle_timeout_s=1.0)
        used = await callers.open_used(10)
        await callers.set_limits(idle_timeout_s=4.0)
        await asyncio.sleep(0.8 * 4.0 - 0.2)
        statuses = [await _ask(item, f"r{i}") for i, item in enumerate(used)]
        assert statuses == [200] * len(used)
        for _, writer in used:
            writer.close()

    _run(check)


def test_a_lowered_idle_limit_holds_for_open_connections_once_it_is_known():
    async def check(callers, platform):
        await callers.set_limits(idle_timeout_s=30.0)
        used = await callers.open_used(10)
        await callers.set_limits(idle_timeout_s=0.5)
        lowered_at = time.monotonic()
        # Callers may go by the older limit for 2 s.
        await asyncio.sleep(1.9)
        assert await _ask(used[0], "again") == 200
        for reader, writer in used:
            data = await asyncio.wait_for(reader.read(), 0.6 + SLACK_S)
            assert data == b""
            writer.close()
        assert time.monotonic() - lowered_at > 2.0
        text = callers.instance.metrics_text()
        assert 'connection_closed_total{reason="idle"} 10' in text, text

    _run(check)


def test_a_raised_head_limit_holds_for_a_head_that_is_being_read():
    async def check(callers, platform):
        await callers.set_limits(header_timeout_s=2 * HEAD_LIMIT_S)
        connection = await _connect(callers.address)
        request = _request("slow head")
        connection[1].write(request[:20])
        await asyncio.sleep(0.2)
        await callers.set_limits(header_timeout_s=30.0)
        await asyncio.sleep(3 * HEAD_LIMIT_S)
        connection[1].write(request[20:])
        assert await _read_answer(connection[0]) == 200
        connection[1].close()

    _run(check)


async def _send_beside_timer(limit_s, sent, data):
    """Has data arrive in the same pass of the event loop as a timer ends.

    The loop has polled the sockets by then, and does so only after the timer.

    Args:
        limit_s: Time limit that ends; it began shortly before the call.
        sent: Socket from which the data is sent.
        data: The data.
    """
    loop = asyncio.get_running_loop()
    loop.call_later(limit_s - 0.3, time.sleep, 0.5)
    loop.call_later(limit_s - 0.2, sent.send, data)
    await asyncio.sleep(limit_s + 0.3)


def _raw_connection(address):
    host, _, port = address.rpartition(":")
    connection = socket.create_connection((host, int(port)))
    connection.setblocking(False)
    return connection


async def _receive(connection):
    """Returns what arrives within a second; empty after a close."""
    loop = asyncio.get_running_loop()
    try:
        return await asyncio.wait_for(loop.sock_recv(connection, 65_536), 1.0)
    except (ConnectionError, TimeoutError) as error:
        return repr(error).encode()


def test_an_idle_close_discards_no_request_that_has_arrived():
    async def check(callers, platform):
        await callers.set_limits(idle_timeout_s=1.0)
        # The older limit no longer counts.
        await asyncio.sleep(connections.CALLERS_KNOW_S)
        loop = asyncio.get_running_loop()
        connection = _raw_connection(callers.address)
        await loop.sock_sendall(connection, _request("first"))
        answer = await _receive(connection)
        assert answer.startswith(b"HTTP/1.1 200 "), answer
        await _send_beside_timer(1.0, connection, _request("second"))
        answer = await _receive(connection)
        assert answer.startswith(b"HTTP/1.1 200 "), answer
        connection.close()
        text = callers.instance.metrics_text()
        assert "tamarackpier_close_put_off_total" in text, text

    _run(check)


def test_a_head_whose_end_has_arrived_in_time_is_not_refused():
    async def check(callers, platform):
        await callers.set_limits(header_timeout_s=1.0)
        loop = asyncio.get_running_loop()
        connection = _raw_connection(callers.address)
        request = _request("first")
        await loop.sock_sendall(connection, request[:20])
        await asyncio.sleep(0.05)
        await _send_beside_timer(0.95, connection, request[20:])
        answer = await _receive(connection)
        assert answer.startswith(b"HTTP/1.1 200 "), answer
        connection.close()

    _run(check)


def test_a_close_that_crosses_a_request_is_counted():
    async def check(callers, platform):
        await callers.set_limits(idle_timeout_s=1.0)
        connection = _raw_connection(callers.address)
        await callers.deployment.until(
            lambda: callers.instance.caller_listener.state.connections
        )
        # The request arrives after the close was decided.
        callers.instance.caller_listener.close_idle()
        connection.send(_request("crossing"))
        answer = await _receive(connection)
        assert not answer.startswith(b"HTTP/1.1"), answer
        text = callers.instance.metrics_text()
        assert 'close_crossed_request_total{reason="stop"} 1' in text, text
        connection.close()

    _run(check)


def test_open_connections_are_told_by_phase():
    async def check(callers, platform):
        platform.plain_answer_s = 0.5
        waiting = await _connect(callers.address)
        reading = await _connect(callers.address)
        reading[1].write(HALF_HEAD)
        answering = await _connect(callers.address)
        answering[1].write(_request("a"))
        await asyncio.sleep(0.25)
        text = callers.instance.metrics_text()
        for phase, count in (
            ("waiting", 1),
            ("reading_head", 1),
            ("answering", 1),
            ("idle", 0),
        ):
            assert f"tamarackpier_connections_{phase} {count}\n" in text, text
        assert await _read_answer(answering[0]) == 200
        text = callers.instance.metrics_text()
        assert "tamarackpier_connections_idle 1\n" in text, text
        for _, writer in (waiting, reading, answering):
            writer.close()
        await callers.deployment.until(
            lambda: not callers.instance.caller_listener.state.connections
        )
        text = callers.instance.metrics_text()
        assert 'connection_closed_total{reason="caller"} 3' in text, text

    _run(check)


def _limits(**changes):
    values = {"idle_s": 5.0, "head_s": 1.0, "body_s": 2.0}
    return connections.Limits(**(values | changes))


def test_phases_follow_a_request_and_each_has_its_limit():
    limits = connections.TimeLimits(_limits())
    connection = connections.Connection(0.0)
    phase = connections.Phase
    assert (connection.phase, connection.due(limits)) == (phase.WAITING, 5.0)
    connection.receive(1.0)
    connection.begin_head(1.0)
    connection.receive(1.5)
    assert connection.phase is phase.READING_HEAD
    assert connection.due(limits) == 2.0
    assert connection.overdue(limits, 1.9) is None
    assert connection.overdue(limits, 2.0) is connections.Cause.HEAD_LATE
    connection.end_head(2.0)
    connection.receive(2.1)
    assert connection.phase is phase.READING_BODY
    assert connection.due(limits) is None
    connection.end_body(3.0)
    assert connection.phase is phase.ANSWERING
    assert connection.due(limits) is None
    connection.end_answer(9.0)
    assert (connection.phase, connection.due(limits)) == (phase.IDLE, 14.0)
    assert connection.overdue(limits, 14.0) is connections.Cause.IDLE
    connection.close(connections.Cause.IDLE, 14.0)
    connection.close(connections.Cause.CALLER, 14.1)
    assert connection.phase is phase.CLOSING
    assert connection.cause is connections.Cause.IDLE
    assert connection.due(limits) is None


def test_a_pipelined_head_has_its_limit_from_the_answer_before_it():
    limits = connections.TimeLimits(_limits())
    connection = connections.Connection(0.0)
    connection.receive(0.0)
    connection.end_head(0.0)
    connection.end_body(0.0)
    connection.receive(0.1)
    assert connection.phase is connections.Phase.ANSWERING
    assert connection.due(limits) is None
    connection.end_answer(3.0)
    assert connection.phase is connections.Phase.READING_HEAD
    assert connection.due(limits) == 4.0


def test_the_rest_of_a_body_after_its_answer_is_limited():
    limits = connections.TimeLimits(_limits())
    connection = connections.Connection(0.0)
    connection.receive(0.0)
    connection.end_head(0.0)
    connection.end_answer(3.0)
    connection.receive(4.0)
    assert connection.due(limits) == 5.0
    assert connection.overdue(limits, 5.0) is connections.Cause.BODY_LATE
    connection.end_body(4.5)
    assert connection.phase is connections.Phase.IDLE


def test_a_raised_limit_holds_at_once_and_a_lowered_one_once_it_is_known():
    known_s = connections.CALLERS_KNOW_S
    limits = connections.TimeLimits(_limits(idle_s=5.0))
    connection = connections.Connection(0.0)
    assert limits.change(_limits(idle_s=9.0), 1.0)
    assert connection.due(limits) == 9.0
    assert limits.change(_limits(idle_s=1.0), 2.0)
    assert connection.due(limits) == 2.0 + known_s
    assert connections.Connection(2.0).due(limits) == 2.0 + known_s
    later = 2.0 + known_s
    assert connections.Connection(later).due(limits) == later + 1.0
    assert not limits.change(_limits(idle_s=1.0), 20.0)
    assert connections.Connection(20.0).due(limits) == 21.0


def test_a_changed_head_limit_holds_at_once_for_an_open_head():
    limits = connections.TimeLimits(_limits(head_s=5.0))
    connection = connections.Connection(0.0)
    connection.receive(1.0)
    limits.change(_limits(head_s=2.0), 2.0)
    assert connection.due(limits) == 3.0
    limits.change(_limits(head_s=9.0), 2.5)
    assert connection.due(limits) == 10.0


def test_a_limit_lowered_twice_keeps_what_callers_may_go_by():
    limits = connections.TimeLimits(_limits(idle_s=5.0))
    limits.change(_limits(idle_s=2.0), 1.0)
    limits.change(_limits(idle_s=1.0), 2.0)
    # Until 3.5 callers may go by 5 s, and until 4.5 by 2 s.
    assert connections.Connection(0.5).due(limits) == 3.5
    assert connections.Connection(2.0).due(limits) == 4.0
    assert connections.Connection(3.0).due(limits) == 4.5
