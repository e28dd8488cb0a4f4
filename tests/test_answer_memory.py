"""Tests that many answers without end take up little memory together."""

import asyncio
import itertools
import tracemalloc

import hypothesis
from hypothesis import strategies
from returns import pipeline

from tamarackpier.platform import wire
from tamarackpier.standin import rough_engine
from tamarackpier.upstream import answer_memory
from tests import endless, relay_fixtures

REQUESTS = 60
PART = b"x" * 65_536
# What the sockets, the HTTP library and the engines of the test take up.
OVERHEAD_BYTES = 24 << 20


def test_answers_without_end_to_many_requests_leave_room_for_sound_ones():
    """An engine sends to each request a bit less than one answer may have."""

    async def check():
        is_over = asyncio.Event()
        head = endless.STREAM_HEAD + endless.UNFRAMED

        async def script(arrival):
            request_id = arrival.header(wire.Header.REQUEST_ID)
            if request_id.startswith("sound"):
                await arrival.write(rough_engine.encode_answer(arrival, b"ok"))
                return
            await arrival.write(head.format(id=request_id).encode())
            for _ in range(60):
                await arrival.write(PART)
                await asyncio.sleep(0)
            await is_over.wait()

        async with (
            rough_engine.serve_script(script) as (address, _),
            relay_fixtures.serve_relay(
                [
                    relay_fixtures.plain_engine(f"o{index}", address)
                    for index in range(20)
                ]
            ) as relay,
        ):
            tracemalloc.start()
            tasks = [
                asyncio.ensure_future(
                    relay.handle(
                        relay_fixtures.request("/order/1", id=f"bad-{index}"),
                        relay_fixtures.RecordingCaller(),
                    )
                )
                for index in range(REQUESTS)
            ]
            peak_bytes = 0
            for _ in range(30):
                await asyncio.sleep(0.1)
                peak_bytes = max(peak_bytes, tracemalloc.get_traced_memory()[1])
            caller = relay_fixtures.RecordingCaller()
            outcome = await relay.handle(
                relay_fixtures.request("/status/1", id="sound"), caller
            )
            tracemalloc.stop()
            is_over.set()
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        assert pipeline.is_successful(outcome)
        assert caller.data == b"ok"
        assert peak_bytes < answer_memory.MAX_BYTES + OVERHEAD_BYTES, peak_bytes

    asyncio.run(check())


def test_a_small_answer_is_not_given_up_for_large_ones():
    memory = answer_memory.AnswerMemory(1000, 2000)
    with memory.hold() as small, memory.hold() as first:
        first.add(b"x" * 1000)
        with memory.hold() as second:
            small.add(b"ok")
            try:
                second.add(b"x" * 999)
            except answer_memory.TooLargeError:
                pass
            else:
                raise AssertionError("the limit of all answers was exceeded")
            small.add(b"!")
        assert small.body() == b"ok!"
    assert (memory.size, memory.count) == (0, 0)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 9), strategies.integers(0, 400)
        ),
        max_size=200,
    )
)
def test_unfinished_answers_never_exceed_the_limit_by_more_than_parts(parts):
    memory = answer_memory.AnswerMemory(1000, 2000)
    contexts = {}
    for index, size in parts:
        if index not in contexts:
            contexts[index] = memory.hold()
            contexts[index] = (contexts[index], contexts[index].__enter__())
        context, held = contexts[index]
        try:
            held.add(b"x" * size)
        except answer_memory.TooLargeError:
            context.__exit__(None, None, None)
            del contexts[index]
        sizes = [held.size for _, held in contexts.values()]
        assert memory.size == sum(sizes)
        assert memory.size <= 2000 + 400 * len(contexts)
    assert memory.count == len(contexts)
    for context, _ in itertools.chain(contexts.values()):
        context.__exit__(None, None, None)
    assert (memory.size, memory.count) == (0, 0)
