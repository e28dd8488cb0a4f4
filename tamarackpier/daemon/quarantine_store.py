"""Keeps what requests are refused for in the platform's store.

The instances tell one another about crashes, but a restart of all of them would
forget a request that crashes upstreams.
"""

from collections.abc import Callable

from returns import pipeline

from tamarackpier import failures, logs, metrics
from tamarackpier import quarantine as quarantine_lib
from tamarackpier.platform import decode, interfaces

__all__ = ["QuarantineStore"]

_TABLE = "quarantine"
_DEATHS_FIELD = "deaths_at_unix_s"
# Rows kept in the store. More requests than that are refused only by the
# instances that know them.
_MAX_ROWS = 256
_MAX_LOGGED = 200  # Characters of an error about a row that are logged.
_RETRY_S = 2.0  # Calls to the store are charged.


class QuarantineStore:
    """Loads suspects at the start, and keeps the store up to date.

    Attributes:
        quarantine: Requests that are suspected of crashing upstreams.
        rows: The store.
        metrics: Counters of this instance.
        clock: Returns the monotonic time, in seconds.
        wall_clock: Returns the Unix time, in seconds.
        stored: Number of deaths in the row of each suspect that is in the
            store, by fingerprint.
        is_loaded: Whether the store has been read.
    """

    def __init__(
        self,
        quarantine: quarantine_lib.Quarantine,
        rows: interfaces.Table,
        counts: metrics.Metrics,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ) -> None:
        self.quarantine = quarantine
        self.rows = rows
        self.metrics = counts
        self.clock = clock
        self.wall_clock = wall_clock
        self.stored: dict[str, int] = {}
        self.is_loaded = False
        self._next_call_at = float("-inf")

    def forget_stored(self) -> None:
        """Reads the store again, and writes what it has lost."""
        self.stored.clear()
        self.is_loaded = False

    async def update(self) -> None:
        """Expires old deaths, and reads or writes what the store lacks."""
        now = self.clock()
        self.quarantine.expire(now)
        if now < self._next_call_at:
            return
        if not self.is_loaded:
            self.is_loaded = await self._load()
        suspects = set(self.quarantine.lasting_suspects(now))
        for fingerprint in suspects:
            count = len(self.quarantine.crashes.get(fingerprint, ()))
            if not count:
                continue  # It was dropped while another row was written.
            has_row = fingerprint in self.stored
            if (
                has_row
                and self.stored[fingerprint] < count
                or (not has_row and len(self.stored) < _MAX_ROWS)
            ):
                await self._write(fingerprint, self._value(fingerprint))
        for fingerprint in set(self.stored) - suspects:
            verdict = self.quarantine.verdict(fingerprint, now)
            if verdict is quarantine_lib.Verdict.RUN:
                await self._write(fingerprint, None)

    async def _load(self) -> bool:
        """Reads the suspects; returns whether that succeeded."""
        scan_result = await self.rows.scan(f"{_TABLE}/")
        if not pipeline.is_successful(scan_result):
            self._record_failure(scan_result.failure().code.name)
            return False
        for key, row in scan_result.unwrap().items():
            self._load_row(key.partition("/")[2], row)
        return True

    def _load_row(self, fingerprint: str, row: interfaces.Row) -> None:
        now, unix_now = self.clock(), self.wall_clock()
        try:
            deaths = decode.times_by_name((row.value or {})[_DEATHS_FIELD])
        except failures.MALFORMED as error:
            logs.event(
                "quarantine row unreadable",
                fingerprint=fingerprint,
                detail=failures.describe(error)[:_MAX_LOGGED],
            )
            return
        crashes = [
            quarantine_lib.Crash(
                fingerprint, death, now - max(0.0, unix_now - at)
            )
            for death, at in deaths.items()
        ]
        self.quarantine.add(crashes)
        self.stored[fingerprint] = len(crashes)
        logs.event(
            "quarantine loaded", fingerprint=fingerprint, deaths=len(crashes)
        )

    def _value(self, fingerprint: str) -> interfaces.Value:
        """Returns the value of the row of a suspect."""
        offset = self.wall_clock() - self.clock()
        deaths = self.quarantine.crashes[fingerprint]
        return {
            _DEATHS_FIELD: {death: at + offset for death, at in deaths.items()}
        }

    async def _write(
        self, fingerprint: str, value: interfaces.Value | None
    ) -> None:
        """Writes the row of a fingerprint; the value None deletes it."""
        write = interfaces.Write(f"{_TABLE}/{fingerprint}", value)
        write_result = await self.rows.transact(
            interfaces.Transaction((), (write,))
        )
        if not pipeline.is_successful(write_result):
            self._record_failure(write_result.failure().code.name)
        elif value is not None:
            self.stored[fingerprint] = len(value[_DEATHS_FIELD])
            logs.event("quarantined", fingerprint=fingerprint, **value)
        else:
            self.stored.pop(fingerprint, None)
            logs.event("released", fingerprint=fingerprint)

    def _record_failure(self, reason: str) -> None:
        self._next_call_at = self.clock() + _RETRY_S
        self.metrics.count("quarantine_store_failed", reason)
