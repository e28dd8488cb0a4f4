"""Tests of the limits of what callers' connections hold."""

import asyncio
import contextlib
import itertools
import socket

import hypothesis
import uvicorn
from hypothesis import strategies
from uvicorn import server as uvicorn_server

from tamarackpier import metrics
from tamarackpier.daemon import caller_memory, serving
from tamarackpier.traffic import caller_connection

GET = b"GET /%d HTTP/1.1\r\n\r\n"
POST = b"POST /%d HTTP/1.1\r\nContent-Length: %d\r\n\r\n"
CHUNKED = b"POST /0 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
WAIT_S = 10.0


class _App:
    """An ASGI application that records requests and answers them.

    Attributes:
        owner: Owner of the connections.
        answer: Body of its answers; None to answer only after a disconnect.
        requests: Targets and sizes of the bodies of requests that were read.
        headers: Headers of the last request.
        gone: Number of requests whose caller went away.
        largest: Largest number of bytes that connections held.
    """

    def __init__(self, owner, answer=b"ok"):
        self.owner = owner
        self.answer = answer
        self.requests = []
        self.headers = []
        self.gone = 0
        self.largest = 0

    async def __call__(self, scope, receive, send):
        size = 0
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                self.gone += 1
                return
            size += len(message["body"])
            self.largest = max(self.largest, self.owner.memory.total)
            if not message["more_body"]:
                break
        self.requests.append((scope["state"][serving.TARGET_KEY], size))
        self.headers = scope["headers"]
        length = b"%d" % len(self.answer or b"")
        if self.answer is not None:
            await send(
                {
                    "type": "http.response.start",
                    "status": 200,
                    "headers": [(b"content-length", length)],
                }
            )
            await send({"type": "http.response.body", "body": self.answer})
        if (await receive())["type"] == "http.disconnect":
            self.gone += 1


@contextlib.asynccontextmanager
async def _serve(answer=b"ok", memory=1 << 25, unread_s=15.0, **options):
    """Yields an application that is served, and its port."""
    counts = metrics.Metrics()
    owner = serving.ConnectionOwner(
        caller_connection.Limits(60.0, unread_s=unread_s),
        counts,
        memory=caller_memory.CallerMemory(memory, counts),
        **options,
    )
    app = _App(owner, answer)
    config = uvicorn.Config(app, ws="none", lifespan="off", log_config=None)
    config.load()
    state = uvicorn_server.ServerState()
    server = await asyncio.get_running_loop().create_server(
        lambda: owner.create_protocol(config, state, {}), "127.0.0.1", 0
    )
    async with server:
        yield app, server.sockets[0].getsockname()[1]
        for connection in list(owner.connections):
            connection.transport.abort()
        await _until(lambda: not owner.connections)
        assert (owner.memory.total, owner.memory.sizes) == (0, {})


async def _until(check):
    async with asyncio.timeout(WAIT_S):
        while not check():
            await asyncio.sleep(0.01)


async def _connect(port):
    return await asyncio.open_connection("127.0.0.1", port)


async def _status(reader):
    """Returns the status of an answer with a length; None after a close."""
    try:
        async with asyncio.timeout(WAIT_S):
            head = await reader.readuntil(b"\r\n\r\n")
            length = head.lower().partition(b"content-length: ")[2].split()[0]
            await reader.readexactly(int(length))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return int(head.split()[1])


def _limited(app):
    """Returns how often each limit was applied."""
    prefix = "caller_limit:"
    return {
        name.removeprefix(prefix): count
        for name, count in app.owner.metrics.counters.items()
        if name.startswith(prefix)
    }


def test_requests_sent_ahead_are_all_answered_to_a_caller_that_reads():
    """Guards against bytes behind a request that are forgotten or refused."""

    async def check():
        async with _serve() as (app, port):
            reader, writer = await _connect(port)
            numbers = range(3000)
            parts = (
                (GET % number, POST % (number, 50) + b"\r\n\r\n" + b"x" * 46)
                for number in numbers
            )
            writer.write(b"".join(part[i % 2] for i, part in enumerate(parts)))
            for _ in numbers:
                assert await _status(reader) == 200
            assert app.requests == [
                (b"/%d" % number, 50 * (number % 2)) for number in numbers
            ]
            assert app.largest < 1 << 17 and not _limited(app)
            writer.close()

    asyncio.run(check())


@hypothesis.settings(max_examples=60, deadline=None)
@hypothesis.given(
    chunks=strategies.lists(strategies.binary(max_size=40), max_size=5),
    trailers=strategies.integers(0, 3),
    cuts=strategies.lists(strategies.integers(0, 600), max_size=6),
)
def test_chunked_requests_in_any_pieces_are_read_as_sent(
    chunks, trailers, cuts
):
    """Ends of chunks and trailers at borders of packets change nothing."""
    body = b"".join(b"%x\r\n%s\r\n" % (len(c), c) for c in chunks if c)
    one = CHUNKED + body + b"0\r\n" + b"x-t: 1\r\n" * trailers + b"\r\n"
    data = one * 2 + GET % 1

    async def check():
        async with _serve() as (app, port):
            reader, writer = await _connect(port)
            for start, end in itertools.pairwise(
                [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
            ):
                writer.write(data[start:end])
                await writer.drain()
                await asyncio.sleep(0)
            for _ in range(3):
                assert await _status(reader) == 200
            size = sum(map(len, chunks))
            assert app.requests == [(b"/0", size)] * 2 + [(b"/1", 0)]
            writer.close()

    asyncio.run(check())


def test_trailers_are_bounded_and_are_no_headers():
    async def check():
        async with _serve() as (app, port):
            limit = 1 << 16
            few = b"2\r\nhi\r\n0\r\nauthorization: x\r\n\r\n"
            reader, writer = await _connect(port)
            writer.write(CHUNKED + few)
            assert await _status(reader) == 200
            assert b"authorization" not in dict(app.headers)
            many = b"a: 1\r\n" * (limit // 6 + 1000)
            long = b"a: " + b"x" * 2 * limit
            extension = b"2;" + b"x" * 2 * limit
            for ends in (b"0\r\n" + many + b"\r\n", b"0\r\n" + long, extension):
                reader, writer = await _connect(port)
                writer.write(CHUNKED + ends)
                assert await _status(reader) in (431, None)
                writer.close()
            assert len(app.requests) == 1
            assert sum(_limited(app).values()) == 3, _limited(app)

    asyncio.run(check())


def test_headers_up_to_the_limit_are_served_and_larger_ones_refused():
    """The request line doesn't count; a line without end is refused, too."""

    async def check():
        async with _serve() as (app, port):
            limit = 1 << 16
            line = b"GET /" + b"y" * 20_000 + b" HTTP/1.1\r\n"
            served = b"a: " + b"x" * (limit - 7) + b"\r\n\r\n"
            larger = b"a: " + b"x" * limit + b"\r\n\r\n"
            endless = b"GET /" + b"y" * (3 * limit)
            for head, status in (
                (line + served, 200),
                (line + larger, 431),
                (endless, 431),
            ):
                for cut in (1, 30, 40_000, len(head)):
                    reader, writer = await _connect(port)
                    writer.write(head[:cut])
                    await asyncio.sleep(0.02)
                    writer.write(head[cut:])
                    assert await _status(reader) in (status, None)
                    writer.close()
            assert len(app.requests) == 4

    asyncio.run(check())


def test_a_body_in_chunks_of_one_byte_is_served():
    async def check():
        async with _serve() as (app, port):
            reader, writer = await _connect(port)
            writer.write(CHUNKED + b"0001\r\nx\r\n" * 100_000 + b"0\r\n\r\n")
            assert await _status(reader) == 200
            assert app.requests == [(b"/0", 100_000)]
            writer.close()

    asyncio.run(check())


def test_bodies_beyond_the_memory_of_all_are_refused_and_small_ones_served():
    async def check():
        async with _serve(memory=1 << 20) as (app, port):
            size = 350_000
            crowd = [await _connect(port) for _ in range(6)]
            for _, writer in crowd:
                writer.write(POST % (0, size) + b"x" * (size - 1))
            await _until(lambda: sum(_limited(app).values()) >= 4)
            reader, writer = await _connect(port)
            writer.write(POST % (1, 9) + b"x" * 9)
            assert await _status(reader) == 200
            statuses = []
            for reader, writer in crowd:
                with contextlib.suppress(ConnectionError):
                    writer.write(b"x")
                statuses.append(await _status(reader))
            # A reset may discard the answer of a refused request.
            assert statuses.count(200) == 2
            assert set(statuses) <= {200, 503, None}
            assert len(app.requests) == 3
            assert app.largest < 1 << 20

    asyncio.run(check())


def test_an_answer_that_is_not_read_is_closed_and_its_request_ends():
    async def check():
        async with _serve(b"x" * (1 << 24), unread_s=0.3) as (app, port):
            reader, writer = await _connect(port)
            writer.transport.pause_reading()
            writer.write(GET % 0 * 100)
            await _until(lambda: _limited(app) == {"unread": 1})
            await _until(lambda: not app.owner.connections)
            assert len(app.requests) == 1
            writer.close()

    asyncio.run(check())


def test_an_answer_that_is_read_slowly_is_sent_whole():
    async def check():
        answer = b"x" * (1 << 23)
        async with _serve(answer, unread_s=0.6) as (app, port):
            loop = asyncio.get_running_loop()
            with socket.socket() as caller:
                caller.setblocking(False)
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 18)
                await loop.sock_connect(caller, ("127.0.0.1", port))
                await loop.sock_sendall(caller, GET % 0)
                size = 0
                while size < len(answer):
                    size += len(await loop.sock_recv(caller, 1 << 18))
                    await asyncio.sleep(0.05)
            assert not _limited(app)

    asyncio.run(check())


def test_unread_answers_count_and_the_largest_are_closed():
    async def check():
        async with _serve(b"x" * (1 << 23), memory=1 << 24) as (app, port):
            crowd = [await _connect(port) for _ in range(4)]
            for _, writer in crowd:
                writer.transport.pause_reading()
                writer.write(GET % 0)
            await _until(lambda: len(app.requests) == 4)
            await _until(lambda: _limited(app).get("memory", 0) >= 3)
            assert app.owner.memory.total <= 1 << 24
            for _, writer in crowd:
                writer.close()

    asyncio.run(check())


def test_a_connection_beyond_the_number_takes_the_place_of_an_idle_one():
    async def check():
        async with _serve(None, max_connections=2) as (app, port):
            first, second = [await _connect(port) for _ in range(2)]
            second[1].write(GET % 0)
            await _until(lambda: len(app.requests) == 1)
            third = await _connect(port)
            third[1].write(GET % 1)
            assert await _status(first[0]) is None
            await _until(lambda: len(app.requests) == 2)
            fourth = await _connect(port)
            assert await _status(fourth[0]) is None
            assert _limited(app) == {"connections": 2}

    asyncio.run(check())


class _Holder:
    def __init__(self, is_refusable):
        self.is_refusable = is_refusable


def test_the_largest_gives_up_and_one_that_can_be_refused_comes_first():
    memory = caller_memory.CallerMemory(1000)
    running, arriving, small = _Holder(False), _Holder(True), _Holder(True)
    memory.update(running, 500)
    memory.update(small, 10)
    assert memory.victim(small) is None
    # A large one is refused while there is room for small ones.
    memory.update(arriving, 300)
    assert memory.victim(arriving) is arriving
    assert memory.victim(small) is None
    memory.update(running, 700)
    assert memory.victim(running) is running
    memory.update(arriving, 400)
    assert memory.victim(running) is arriving
    memory.update(arriving, 0)
    assert memory.total == 710


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 9), strategies.integers(0, 900)
        )
    )
)
def test_what_all_hold_stays_within_the_limit(changes):
    memory = caller_memory.CallerMemory(1000)
    holders = [_Holder(index % 2 == 0) for index in range(10)]
    for index, size in changes:
        memory.update(holders[index], size)
        while (victim := memory.victim(holders[index])) is not None:
            memory.update(victim, 0)
        assert memory.total == sum(memory.sizes.values()) <= 1000


def test_the_limit_has_room_for_the_largest_request_that_is_allowed():
    memory = caller_memory.CallerMemory(1000, most_bytes=4000)
    request = _Holder(True)
    for request_bytes, max_bytes in ((600, 1000), (900, 1200), (9000, 4000)):
        memory.fit(request_bytes)
        assert memory.max_bytes == max_bytes
        memory.update(request, min(request_bytes, 3000))
        assert memory.victim(request) is None
    memory.fit(600)
    assert memory.max_bytes == 1000
    assert memory.victim(request) is request


def test_a_caller_that_reads_slowly_is_no_caller_that_does_not_read():
    unread = caller_connection.UnreadAnswer(1000)
    looks = [1000, 1000, 999, 999, 998, 998, 998, 998]
    assert [unread.is_given_up(size) for size in looks] == [
        *[False] * 7,
        True,
    ]


def test_the_limit_follows_the_memory_of_the_instance():
    assert caller_memory.max_bytes(0) == caller_memory.max_bytes(200)
    assert caller_memory.max_bytes(600, 0.25) == 150_000_000
    by_descriptors = caller_memory.max_connections()
    assert caller_memory.max_connections(2, 1 << 20) == by_descriptors
    assert caller_memory.max_connections(2, 16) == 125
