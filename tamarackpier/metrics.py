"""Counters, gauges and latency histograms of one process."""

import collections
import dataclasses
from collections.abc import Sequence

from hdrh import histogram

__all__ = ["Metrics", "Quantiles"]

_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 2
_US_PER_S = 1e6


@dataclasses.dataclass(frozen=True)
class Quantiles:
    """Summary of one latency histogram.

    Attributes:
        count: Number of recorded values.
        p50_s: Median in seconds.
        p95_s: 95th percentile in seconds.
        p99_s: 99th percentile in seconds.
        max_s: Largest value in seconds.
    """

    count: int
    p50_s: float
    p95_s: float
    p99_s: float
    max_s: float


class Metrics:
    """All counters and histograms of a process.

    Attributes:
        counters: Counts by name; a reason follows the name after a colon.
        gauges: Current values by name.
        histograms: Latency histograms by name, in microseconds.
    """

    def __init__(self) -> None:
        self.counters: collections.Counter[str] = collections.Counter()
        self.gauges: dict[str, float] = {}
        self.histograms: dict[str, histogram.HdrHistogram] = {}

    def count(self, name: str, reason: str = "", amount: int = 1) -> None:
        """Adds an amount to the counter of a name and, if given, a reason."""
        self.counters[f"{name}:{reason}" if reason else name] += amount

    def record(self, name: str, seconds: float) -> None:
        """Records one latency; values out of range are clamped.

        The range is 1 microsecond to 1 hour.
        """
        hdr_histogram = self.histograms.get(name)
        if hdr_histogram is None:
            hdr_histogram = histogram.HdrHistogram(
                _LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS
            )
            self.histograms[name] = hdr_histogram
        value_us = int(seconds * _US_PER_S)
        hdr_histogram.record_value(min(max(value_us, _LOWEST_US), _HIGHEST_US))

    def gauge(self, name: str, value: float) -> None:
        """Sets the current value of a gauge."""
        self.gauges[name] = value

    def text(self) -> str:
        """Returns all values in the Prometheus text format."""
        lines = []
        for name, count in sorted(self.counters.items()):
            base, _, reason = name.partition(":")
            label = f'{{reason="{reason}"}}' if reason else ""
            lines.append(f"tamarackpier_{base}_total{label} {count}")
        for name, value in sorted(self.gauges.items()):
            lines.append(f"tamarackpier_{name} {value}")
        for name in sorted(self.histograms):
            summary = self.quantiles(name)
            if summary is None:
                continue
            base = f"tamarackpier_{name}_seconds"
            for quantile, seconds in (
                ("0.5", summary.p50_s),
                ("0.95", summary.p95_s),
                ("0.99", summary.p99_s),
                ("1", summary.max_s),
            ):
                lines.append(f'{base}{{quantile="{quantile}"}} {seconds:.6f}')
            lines.append(f"{base}_count {summary.count}")
        return "\n".join(lines) + "\n"

    def quantiles(self, name: str) -> Quantiles | None:
        """Returns the summary of a histogram; None if it has no values."""
        hdr_histogram = self.histograms.get(name)
        if hdr_histogram is None:
            return None

        def value_s(percent: float) -> float:
            return hdr_histogram.get_value_at_percentile(percent) / _US_PER_S

        return Quantiles(
            hdr_histogram.get_total_count(),
            value_s(50),
            value_s(95),
            value_s(99),
            hdr_histogram.get_max_value() / _US_PER_S,
        )

    def percentile_values(
        self, name: str, percentiles: Sequence[float]
    ) -> list[float]:
        """Returns a histogram's values at the given percentiles, in seconds."""
        hdr_histogram = self.histograms[name]
        return [
            hdr_histogram.get_value_at_percentile(percent) / _US_PER_S
            for percent in percentiles
        ]

    def snapshot(self) -> dict[str, object]:
        """Returns counters and latency summaries, ready for JSON."""
        latencies = {}
        for name in sorted(self.histograms):
            summary = self.quantiles(name)
            if summary is not None:
                latencies[name] = dataclasses.asdict(summary)
        return {
            "counters": dict(sorted(self.counters.items())),
            "latencies": latencies,
        }
