"""An open-loop load: arrivals do not wait for answers.

A closed loop slows down with the system it measures and so hides the
waiting; here each request is sent at its own time, whatever came of the
others, and its latency counts from that time.
"""

import asyncio
import dataclasses
import random
import time
from collections.abc import Awaitable, Callable, Iterator

from tamarackpier import codes, metrics
from tamarackpier.load import client as client_lib

__all__ = ["CURVE_PERCENTILES", "Arrival", "LoadReport", "arrivals", "run"]

CURVE_PERCENTILES = (1, 5, 10, 25, 50, 75, 90, 95, 99, 99.9, 100)


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One request to send.

    Attributes:
        at_s: When, from the start of the load.
        index: Its number.
    """

    at_s: float
    index: int


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """What came of a load.

    Attributes:
        sent: Drafts sent.
        whole: Drafts answered whole, and as expected where that is known.
        wrong: Drafts answered whole with another text than expected.
        by_code: Drafts that failed, by result code.
        first_piece: Time to the first piece.
        between_pieces: Time between pieces.
        tokens_per_s: Pieces delivered a second.
        curves: For each latency its value in seconds at each percentile of
            `CURVE_PERCENTILES`.
    """

    sent: int
    whole: int
    wrong: int
    by_code: dict[int, int]
    first_piece: metrics.Quantiles | None
    between_pieces: metrics.Quantiles | None
    tokens_per_s: float
    curves: dict[str, list[float]]


def arrivals(
    rate_per_s: float, duration_s: float, rng: random.Random
) -> Iterator[Arrival]:
    """Yields the arrivals of a Poisson process."""
    at_s = 0.0
    index = 0
    while True:
        at_s += rng.expovariate(rate_per_s)
        if at_s >= duration_s:
            return
        yield Arrival(at_s, index)
        index += 1


async def run(
    clients: list[client_lib.Client],
    model: str,
    schedule: Iterator[Arrival],
    max_tokens: int,
    prompt_of: Callable[[int], list[dict[str, str]]],
    expected: Callable[[list[dict[str, str]], int], str] | None = None,
    deadline_s: float = 30.0,
) -> LoadReport:
    """Sends drafts at their times and waits for all of them.

    Args:
        clients: The callers, used in turn.
        model: The model to ask.
        schedule: When to send.
        max_tokens: Tokens to ask for.
        prompt_of: The messages of each draft, by number.
        expected: The right answer, where it is known.
        deadline_s: Deadline of each draft.
    """
    collector = _Collector(expected, max_tokens)
    began = time.monotonic()
    tasks = []
    for arrival in schedule:
        delay_s = began + arrival.at_s - time.monotonic()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        client = clients[arrival.index % len(clients)]
        messages = prompt_of(arrival.index)
        send = client.draft(model, messages, max_tokens, deadline_s)
        tasks.append(asyncio.ensure_future(collector.take(send, messages)))
    await asyncio.gather(*tasks)
    return collector.report(time.monotonic() - began)


class _Collector:
    """Collects results as they come."""

    def __init__(
        self,
        expected: Callable[[list[dict[str, str]], int], str] | None,
        max_tokens: int,
    ) -> None:
        self.expected = expected
        self.max_tokens = max_tokens
        self.metrics = metrics.Metrics()
        self.by_code: dict[int, int] = {}
        self.sent = 0
        self.whole = 0
        self.wrong = 0
        self.pieces = 0

    async def take(
        self,
        send: Awaitable[client_lib.DraftResult],
        messages: list[dict[str, str]],
    ) -> None:
        """Waits for one result and counts it."""
        self.sent += 1
        found = await send
        if found.first_piece_s is not None:
            self.metrics.record("first_piece", found.first_piece_s)
        for gap_s in found.gaps_s:
            self.metrics.record("between_pieces", gap_s)
        self.pieces += len(found.gaps_s) + 1
        if found.outcome is not codes.Outcome.COMPLETE:
            self.by_code[found.code] = self.by_code.get(found.code, 0) + 1
        elif self._is_right(found, messages):
            self.whole += 1
        else:
            self.wrong += 1

    def report(self, passed_s: float) -> LoadReport:
        """Returns what came of it all."""
        return LoadReport(
            self.sent,
            self.whole,
            self.wrong,
            dict(sorted(self.by_code.items())),
            self.metrics.quantiles("first_piece"),
            self.metrics.quantiles("between_pieces"),
            self.pieces / max(passed_s, 1e-9),
            {
                name: self.metrics.percentile_values(name, CURVE_PERCENTILES)
                for name in self.metrics.histograms
            },
        )

    def _is_right(
        self, found: client_lib.DraftResult, messages: list[dict[str, str]]
    ) -> bool:
        if self.expected is None:
            return True
        return found.text == self.expected(messages, self.max_tokens)
