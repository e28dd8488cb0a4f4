"""Rate-limited, non-blocking JSON log lines on standard output.

Every line is one event: a start, a stop, a change in the instance's view of
the system, or a decision that affects a request. Lines about failures have a
rate limit of their own, so a flood of routine lines never displaces them. The
next line written under a rate limit carries the number of lines that this limit
dropped before it.
"""

import collections
import json
import logging as std_logging
import os
import sys
import threading
import time

from absl import logging

__all__ = [
    "JsonFormatter",
    "configure",
    "decision",
    "event",
    "failure",
    "flush",
]

ROUTINE_LINES_PER_S = 150.0
FAILURE_LINES_PER_S = 300.0
# Capacity of a token bucket, as the time in seconds in which it refills.
_BURST_S = 2.0
_MAX_BUFFERED_LINES = 5000
# Time in which lines gather before they are written together, in seconds.
_FLUSH_DELAY_S = 0.1


class JsonFormatter(std_logging.Formatter):
    """Writes a record as one JSON object on one line."""

    def __init__(self, instance_id: str) -> None:
        super().__init__()
        self.instance_id = instance_id

    def format(self, record: std_logging.LogRecord) -> str:
        """Returns the record as JSON."""
        line: dict[str, object] = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "instance": self.instance_id,
            "message": record.getMessage(),
        }
        line.update(getattr(record, "fields", {}))
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str, ensure_ascii=False)


class LineRateLimiter:
    """A token bucket for log lines.

    Attributes:
        rate: Limit in lines per second.
        tokens: Number of lines that may be written now.
        dropped: Number of lines dropped since the last one written.
    """

    def __init__(self, rate: float, now: float) -> None:
        self.rate = rate
        self.tokens = rate * _BURST_S
        self.dropped = 0
        self._refilled_at = now

    def take(self, now: float) -> bool:
        """Takes a token and returns whether a line may be written."""
        capacity = self.rate * _BURST_S
        self.tokens = min(
            capacity, self.tokens + (now - self._refilled_at) * self.rate
        )
        self._refilled_at = now
        if self.tokens < 1:
            self.dropped += 1
            return False
        self.tokens -= 1
        return True


class BufferedHandler(std_logging.Handler):
    """Writes lines in a thread, so that a full pipe never blocks a caller.

    Attributes:
        descriptor: File descriptor that lines are written to.
        lines: Buffered lines.
        dropped_lines: Number of lines dropped because the buffer was full;
            the oldest line is dropped first.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.lines: collections.deque[str] = collections.deque(
            maxlen=_MAX_BUFFERED_LINES
        )
        self.dropped_lines = 0
        self._has_lines = threading.Event()
        self._thread = threading.Thread(target=self._write, daemon=True)
        self._thread.start()

    def emit(self, record: std_logging.LogRecord) -> None:
        """Buffers a record."""
        if len(self.lines) == _MAX_BUFFERED_LINES:
            self.dropped_lines += 1
        self.lines.append(self.format(record))
        self._has_lines.set()

    def drain(self) -> None:
        """Writes all buffered lines."""
        batch = []
        while self.lines:
            batch.append(self.lines.popleft())
        data = "".join(f"{line}\n" for line in batch).encode()
        while data:
            data = data[os.write(self.descriptor, data) :]

    def _write(self) -> None:
        while True:
            self._has_lines.wait()
            time.sleep(_FLUSH_DELAY_S)
            self._has_lines.clear()
            try:
                self.drain()
            except OSError:
                return


_routine_limiter = LineRateLimiter(ROUTINE_LINES_PER_S, time.monotonic())
_failure_limiter = LineRateLimiter(FAILURE_LINES_PER_S, time.monotonic())


def configure(instance_id: str, level: str = "info") -> None:
    """Makes absl's logger write JSON lines to standard output.

    Args:
        instance_id: Identifier of the instance, which each line carries.
        level: Lowest level that is logged: debug, info, warning or error.
    """
    sys.stdout.flush()
    handler = BufferedHandler(sys.stdout.fileno())
    handler.setFormatter(JsonFormatter(instance_id))
    absl_logger = logging.get_absl_logger()
    absl_logger.handlers = [handler]
    absl_logger.propagate = False
    logging.set_verbosity(level)


def flush() -> None:
    """Writes all buffered lines; called at the end of a process."""
    for handler in logging.get_absl_logger().handlers:
        if isinstance(handler, BufferedHandler):
            handler.drain()


def event(message: str, **fields: object) -> None:
    """Logs a message at level info, without a rate limit.

    Args:
        message: Text of the event.
        **fields: Identifiers and values, written as separate JSON fields.
    """
    logging.get_absl_logger().info(message, extra={"fields": fields})


def decision(message: str, **fields: object) -> None:
    """Logs a routine decision, within the rate limit for routine lines."""
    _log_limited(_routine_limiter, std_logging.INFO, message, fields)


def failure(message: str, **fields: object) -> None:
    """Logs the failure of a request, within the rate limit for failures."""
    _log_limited(_failure_limiter, std_logging.WARNING, message, fields)


def _log_limited(
    limiter: LineRateLimiter,
    level: int,
    message: str,
    fields: dict[str, object],
) -> None:
    if not limiter.take(time.monotonic()):
        return
    if limiter.dropped:
        fields["left_out_before"] = limiter.dropped
        limiter.dropped = 0
    logging.get_absl_logger().log(level, message, extra={"fields": fields})
