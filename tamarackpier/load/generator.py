"""An open-loop load generator: arrivals do not wait for answers.

A closed loop slows down with the system that it measures and so hides queueing
delays. Here each request is sent at its scheduled time, regardless of the
outcomes of the others, and its latency counts from when it is sent.
"""

import asyncio
import dataclasses
import random
import time
from collections.abc import Awaitable, Callable, Iterator

from tamarackpier import codes, metrics
from tamarackpier.load import client as client_lib

__all__ = ["CURVE_PERCENTILES", "Arrival", "LoadReport", "arrivals", "run"]

# Percentiles at which the latency curves of a report are evaluated.
CURVE_PERCENTILES = (1, 5, 10, 25, 50, 75, 90, 95, 99, 99.9, 100)


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One scheduled request.

    Attributes:
        at_s: Seconds from the start of the load to sending the request.
        index: Index of the request, from 0.
    """

    at_s: float
    index: int


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """Result of a load.

    Attributes:
        sent: Number of drafts sent.
        whole: Number of drafts with a complete answer, which also has the
            expected text where that is known.
        wrong: Number of drafts with a complete answer but another text than
            expected.
        by_code: Number of failed drafts by number of the result code; the
            number 0 counts failures without a reported code.
        first_piece: Quantiles of the times to the first piece; None if no
            piece was received.
        between_pieces: Quantiles of the times between pieces; None if no
            draft received two pieces.
        tokens_per_s: Pieces received per second.
        curves: For each latency, its values in seconds at
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
    """Yields the arrivals of a Poisson process.

    Args:
        rate_per_s: Mean number of arrivals per second.
        duration_s: Time after which no request arrives, in seconds.
        rng: Source of randomness.
    """
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
    create_messages: Callable[[int], list[dict[str, str]]],
    expected_text: Callable[[list[dict[str, str]], int], str] | None = None,
    deadline_s: float = 30.0,
) -> LoadReport:
    """Sends drafts at their scheduled times and waits for all results.

    Args:
        clients: Clients of the callers, used in turn.
        model: Name of the model.
        schedule: Arrivals in ascending order of their times.
        max_tokens: Maximum number of tokens in an answer.
        create_messages: Returns the messages of the draft with an index.
        expected_text: Returns the correct answer to messages with a maximum
            number of tokens; None if it is not known.
        deadline_s: Time for all attempts of one draft, in seconds.

    Returns:
        The report, once the last draft has its result.
    """
    collector = _Collector(expected_text, max_tokens)
    started_at = time.monotonic()
    tasks = []
    for arrival in schedule:
        delay_s = started_at + arrival.at_s - time.monotonic()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        client = clients[arrival.index % len(clients)]
        messages = create_messages(arrival.index)
        pending_result = client.draft(model, messages, max_tokens, deadline_s)
        tasks.append(
            asyncio.ensure_future(collector.collect(pending_result, messages))
        )
    await asyncio.gather(*tasks)
    return collector.report(time.monotonic() - started_at)


class _Collector:
    """Counts the results of drafts.

    Attributes:
        expected_text: Returns the correct answer; None if it is not known.
        max_tokens: Maximum number of tokens in an answer.
        metrics: Histograms of the latencies.
        by_code: Number of failed drafts by number of the result code; the
            number 0 counts failures without a reported code.
        sent: Number of drafts sent.
        whole: Number of drafts with a complete and correct answer.
        wrong: Number of drafts with a complete but incorrect answer.
        pieces: Number of pieces received.
    """

    def __init__(
        self,
        expected_text: Callable[[list[dict[str, str]], int], str] | None,
        max_tokens: int,
    ) -> None:
        self.expected_text = expected_text
        self.max_tokens = max_tokens
        self.metrics = metrics.Metrics()
        self.by_code: dict[int, int] = {}
        self.sent = 0
        self.whole = 0
        self.wrong = 0
        self.pieces = 0

    async def collect(
        self,
        pending_result: Awaitable[client_lib.DraftResult],
        messages: list[dict[str, str]],
    ) -> None:
        """Waits for the result of one draft and counts it."""
        self.sent += 1
        result = await pending_result
        if result.first_piece_s is not None:
            self.metrics.record("first_piece", result.first_piece_s)
        for gap_s in result.gaps_s:
            self.metrics.record("between_pieces", gap_s)
        self.pieces += len(result.gaps_s) + 1
        if result.outcome is not codes.Outcome.COMPLETE:
            self.by_code[result.code] = self.by_code.get(result.code, 0) + 1
        elif self._is_correct(result, messages):
            self.whole += 1
        else:
            self.wrong += 1

    def report(self, elapsed_s: float) -> LoadReport:
        """Returns the report of a load that took `elapsed_s` seconds."""
        return LoadReport(
            self.sent,
            self.whole,
            self.wrong,
            dict(sorted(self.by_code.items())),
            self.metrics.quantiles("first_piece"),
            self.metrics.quantiles("between_pieces"),
            self.pieces / max(elapsed_s, 1e-9),
            {
                name: self.metrics.percentile_values(name, CURVE_PERCENTILES)
                for name in self.metrics.histograms
            },
        )

    def _is_correct(
        self, result: client_lib.DraftResult, messages: list[dict[str, str]]
    ) -> bool:
        if self.expected_text is None:
            return True
        return result.text == self.expected_text(messages, self.max_tokens)
