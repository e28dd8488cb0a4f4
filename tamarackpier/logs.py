"""JSON lines on standard output, bounded and never blocking.

Every line is one event: a start, a stop, a change of belief, or a decision
that touches a request. Lines about failures have a bound of their own, so a
flood of routine lines never displaces them; what was left out is counted in
the next line that gets through.
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
_BURST_S = 2.0
_MOST_BUFFERED_LINES = 5000
_FLUSH_S = 0.1


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


class LineBound:
    """A token bucket for lines.

    Attributes:
        rate: Lines a second.
        left: Lines that may be written now.
        left_out: Lines left out since the last one that got through.
    """

    def __init__(self, rate: float, now: float) -> None:
        self.rate = rate
        self.left = rate * _BURST_S
        self.left_out = 0
        self._at = now

    def take(self, now: float) -> bool:
        """Returns whether a line may be written."""
        most = self.rate * _BURST_S
        self.left = min(most, self.left + (now - self._at) * self.rate)
        self._at = now
        if self.left < 1:
            self.left_out += 1
            return False
        self.left -= 1
        return True


class BufferedHandler(std_logging.Handler):
    """Hands lines to a thread, so that a full pipe holds up nobody.

    Attributes:
        lines: Lines that wait to be written.
        lost: Lines that the full buffer dropped.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.lines: collections.deque[str] = collections.deque(
            maxlen=_MOST_BUFFERED_LINES
        )
        self.lost = 0
        self._wake = threading.Event()
        self._thread = threading.Thread(target=self._write, daemon=True)
        self._thread.start()

    def emit(self, record: std_logging.LogRecord) -> None:
        """Buffers a record."""
        if len(self.lines) == _MOST_BUFFERED_LINES:
            self.lost += 1
        self.lines.append(self.format(record))
        self._wake.set()

    def drain(self) -> None:
        """Writes what is buffered."""
        batch = []
        while self.lines:
            batch.append(self.lines.popleft())
        data = "".join(f"{line}\n" for line in batch).encode()
        while data:
            data = data[os.write(self.descriptor, data) :]

    def _write(self) -> None:
        while True:
            self._wake.wait()
            time.sleep(_FLUSH_S)
            self._wake.clear()
            try:
                self.drain()
            except OSError:
                return


_routine = LineBound(ROUTINE_LINES_PER_S, time.monotonic())
_failures = LineBound(FAILURE_LINES_PER_S, time.monotonic())


def configure(instance_id: str, level: str = "info") -> None:
    """Sends absl's log to standard output as JSON lines."""
    sys.stdout.flush()
    handler = BufferedHandler(sys.stdout.fileno())
    handler.setFormatter(JsonFormatter(instance_id))
    absl_logger = logging.get_absl_logger()
    absl_logger.handlers = [handler]
    absl_logger.propagate = False
    logging.set_verbosity(level)


def flush() -> None:
    """Writes what is buffered; for the end of a process."""
    for handler in logging.get_absl_logger().handlers:
        if isinstance(handler, BufferedHandler):
            handler.drain()


def event(message: str, **fields: object) -> None:
    """Logs a message at level info with identifiers as fields of their own."""
    logging.get_absl_logger().info(message, extra={"fields": fields})


def decision(message: str, **fields: object) -> None:
    """Logs a routine decision, within the bound for such lines."""
    _bounded(_routine, std_logging.INFO, message, fields)


def failure(message: str, **fields: object) -> None:
    """Logs the end of a request that failed, within a bound of its own."""
    _bounded(_failures, std_logging.WARNING, message, fields)


def _bounded(
    bound: LineBound, level: int, message: str, fields: dict[str, object]
) -> None:
    if not bound.take(time.monotonic()):
        return
    if bound.left_out:
        fields["left_out_before"] = bound.left_out
        bound.left_out = 0
    logging.get_absl_logger().log(level, message, extra={"fields": fields})
