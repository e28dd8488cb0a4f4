"""Counters by reason and latency histograms, kept in one process."""

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
    """A summary of one latency.

    Attributes:
        count: How many values were recorded.
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
        counters: Counts by name; a reason is part of the name, after a colon.
        gauges: What is so now, by name.
        histograms: Latency histograms by name, in microseconds.
    """

    def __init__(self) -> None:
        self.counters: collections.Counter[str] = collections.Counter()
        self.gauges: dict[str, float] = {}
        self.histograms: dict[str, histogram.HdrHistogram] = {}

    def count(self, name: str, reason: str = "", amount: int = 1) -> None:
        """Adds to a counter."""
        self.counters[f"{name}:{reason}" if reason else name] += amount

    def record(self, name: str, seconds: float) -> None:
        """Records one latency; values out of range are clamped."""
        found = self.histograms.get(name)
        if found is None:
            found = histogram.HdrHistogram(
                _LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS
            )
            self.histograms[name] = found
        value = int(seconds * _US_PER_S)
        found.record_value(min(max(value, _LOWEST_US), _HIGHEST_US))

    def gauge(self, name: str, value: float) -> None:
        """Sets what is so now."""
        self.gauges[name] = value

    def text(self) -> str:
        """Returns all values in the usual text format."""
        lines = []
        for name, amount in sorted(self.counters.items()):
            base, _, reason = name.partition(":")
            label = f'{{reason="{reason}"}}' if reason else ""
            lines.append(f"tamarackpier_{base}_total{label} {amount}")
        for name, value in sorted(self.gauges.items()):
            lines.append(f"tamarackpier_{name} {value}")
        for name in sorted(self.histograms):
            found = self.quantiles(name)
            if found is None:
                continue
            base = f"tamarackpier_{name}_seconds"
            for label, seconds in (
                ("0.5", found.p50_s),
                ("0.95", found.p95_s),
                ("0.99", found.p99_s),
                ("1", found.max_s),
            ):
                lines.append(f'{base}{{quantile="{label}"}} {seconds:.6f}')
            lines.append(f"{base}_count {found.count}")
        return "\n".join(lines) + "\n"

    def quantiles(self, name: str) -> Quantiles | None:
        """Returns the summary of one histogram, or None if it is empty."""
        found = self.histograms.get(name)
        if found is None:
            return None

        def at(percent: float) -> float:
            return found.get_value_at_percentile(percent) / _US_PER_S

        return Quantiles(
            found.get_total_count(),
            at(50),
            at(95),
            at(99),
            found.get_max_value() / _US_PER_S,
        )

    def curve(self, name: str, percentiles: Sequence[float]) -> list[float]:
        """Returns a histogram's values in seconds at some percentiles."""
        found = self.histograms[name]
        return [
            found.get_value_at_percentile(each) / _US_PER_S
            for each in percentiles
        ]

    def snapshot(self) -> dict[str, object]:
        """Returns all values in a form that can be written as JSON."""
        latencies = {}
        for name in sorted(self.histograms):
            found = self.quantiles(name)
            if found is not None:
                latencies[name] = dataclasses.asdict(found)
        return {
            "counters": dict(sorted(self.counters.items())),
            "latencies": latencies,
        }
