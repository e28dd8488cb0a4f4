"""Keeps what requests are refused for in the platform's store.

The instances tell one another about crashes, but a restart of all of them would
forget a request that crashes upstreams. So the instance that finds a death
writes it before the suspect runs again anywhere; others write what they hear of
later, if the store doesn't have it by then. Trials of a suspect are claimed in
the store, so that each happens once.

Each write is on condition of the row's version, so that no instance overwrites
what it hasn't read.
"""

from collections.abc import Callable, Collection

from returns import pipeline

from tamarackpier import codes, failures, logs, metrics
from tamarackpier import quarantine as quarantine_lib
from tamarackpier.platform import decode, interfaces

__all__ = ["QuarantineStore"]

_TABLE = "quarantine"
_DEATHS_FIELD = "deaths_at_unix_s"
_TRIALS_FIELD = "trials"
_COUNT_FIELD = "count"
_LAST_FIELD = "last_at_unix_s"
# Rows kept in the store. More requests than that are refused only by the
# instances that know them.
_MAX_ROWS = 256
# Writes of one round; the rest follows in the next rounds.
_MAX_WRITES = 16
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
        found_deaths: Returns the recent deaths that this instance found.
        stored: Number of deaths in the row of each suspect that is in the
            store, by fingerprint.
        versions: Version of the row of each suspect, by fingerprint.
        claimed: Number of trials of each suspect that are in the store, by
            fingerprint, the last one claimed by this instance.
        is_loaded: Whether the store has been read.
        was_loaded: Whether it has ever been read.
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
        self.found_deaths: Callable[[], Collection[str]] = tuple
        self.stored: dict[str, int] = {}
        self.versions: dict[str, int] = {}
        self.claimed: dict[str, int] = {}
        self.is_loaded = False
        self.was_loaded = False
        self._next_call_at = float("-inf")
        self._sought: set[str] = set()
        quarantine.has_claim = self.has_claim

    def is_kept(self, suspect: str) -> bool:
        """Returns whether the store has a suspect, or has no room for it."""
        return suspect in self.stored or len(self.stored) >= _MAX_ROWS

    def has_claim(self, suspect: str) -> bool:
        """Returns whether this instance has claimed the next trial."""
        return self.claimed.get(suspect, 0) > self.quarantine.trial_count(
            suspect
        )

    def forget_stored(self) -> None:
        """Reads the store again, and writes what it has lost."""
        self.stored.clear()
        self.versions.clear()
        self._sought.clear()
        self.is_loaded = False

    async def update(self) -> None:
        """Expires old deaths, and reads or writes what the store lacks."""
        now = self.clock()
        self.quarantine.expire(now)
        if now < self._next_call_at:
            return
        suspects = self._suspects_to_keep(now)
        # Another instance may have written those that were found elsewhere.
        self._sought &= set(suspects)
        unsought = set(suspects) - set(self.stored) - self._sought
        if not self.is_loaded or unsought - self._found_here(now):
            self.is_loaded = await self._load()
            if not self.is_loaded:
                return
            self._sought |= unsought
        writes = [
            *(suspect for suspect in suspects if self._lacks(suspect)),
            *(
                suspect
                for suspect in self.quarantine.due_trials(now)
                if not self.has_claim(suspect)
            ),
        ]
        for suspect in dict.fromkeys(writes[:_MAX_WRITES]):
            if self.quarantine.crashes.get(suspect):
                await self._keep(suspect)
        for suspect in set(self.stored) - set(suspects):
            verdict = self.quarantine.verdict(suspect, now)
            if verdict is quarantine_lib.Verdict.RUN:
                await self._write(suspect, None)

    def _suspects_to_keep(self, now: float) -> list[str]:
        found_here = self._found_here(now)
        lasting = self.quarantine.lasting_suspects(now)
        return sorted({*lasting, *found_here})

    def _found_here(self, now: float) -> set[str]:
        """Returns the suspects of enough deaths of which one was found here."""
        found = set(self.found_deaths())
        return {
            suspect
            for suspect in self.quarantine.grave_suspects(now)
            if found & self.quarantine.counted_deaths(suspect, now)
        }

    def _lacks(self, suspect: str) -> bool:
        """Returns whether the store lacks a death, and has room for it."""
        if suspect not in self.stored:
            return len(self.stored) < _MAX_ROWS
        return self.stored[suspect] < len(
            self.quarantine.crashes.get(suspect, ())
        )

    async def _load(self) -> bool:
        """Reads the suspects; returns whether that succeeded."""
        scan_result = await self.rows.scan(f"{_TABLE}/")
        if not pipeline.is_successful(scan_result):
            self._record_failure(scan_result.failure().code.name)
            return False
        rows = {
            key.partition("/")[2]: row
            for key, row in scan_result.unwrap().items()
            if row.value is not None
        }
        self.versions = {name: row.version for name, row in rows.items()}
        self.stored = {}
        for fingerprint, row in rows.items():
            self._load_row(fingerprint, row)
        self.was_loaded = True
        return True

    def _load_row(self, fingerprint: str, row: interfaces.Row) -> None:
        now, unix_now = self.clock(), self.wall_clock()
        value = row.value or {}
        try:
            deaths = decode.times_by_name(value[_DEATHS_FIELD])
            trials = decode.times_by_name(value.get(_TRIALS_FIELD, {}))
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
        count = int(trials.get(_COUNT_FIELD, 0))
        if count > self.claimed.get(fingerprint, 0):
            age_s = max(0.0, unix_now - trials.get(_LAST_FIELD, unix_now))
            self.quarantine.record_trials(fingerprint, count, now - age_s)
        logs.event(
            "quarantine loaded",
            fingerprint=fingerprint,
            deaths=len(crashes),
            trials=count,
        )

    async def _keep(self, suspect: str) -> None:
        """Writes a suspect with its deaths, and claims a trial that is due."""
        now = self.clock()
        offset = self.wall_clock() - now
        deaths = self.quarantine.crashes[suspect]
        value: dict[str, dict[str, float]] = {
            _DEATHS_FIELD: {death: at + offset for death, at in deaths.items()}
        }
        known = self.quarantine.trials.get(suspect)
        count = max(self.claimed.get(suspect, 0), known.count if known else 0)
        last_at = known.last_at if known else now
        is_claim = suspect in self.quarantine.due_trials(
            now
        ) and not self.has_claim(suspect)
        if is_claim:
            count, last_at = count + 1, now
        if count:
            value[_TRIALS_FIELD] = {
                _COUNT_FIELD: count,
                _LAST_FIELD: last_at + offset,
            }
        if await self._write(suspect, value) and is_claim:
            self.claimed[suspect] = count

    async def _write(
        self, fingerprint: str, value: interfaces.Value | None
    ) -> bool:
        """Writes the row of a fingerprint; the value None deletes it.

        Returns:
            Whether it was written.
        """
        key = f"{_TABLE}/{fingerprint}"
        check = interfaces.Check(key, self.versions.get(fingerprint, 0))
        write_result = await self.rows.transact(
            interfaces.Transaction((check,), (interfaces.Write(key, value),))
        )
        if not pipeline.is_successful(write_result):
            code = write_result.failure().code
            if code is codes.TABLE_CONFLICT:
                self.is_loaded = False
            else:
                self._record_failure(code.name)
            return False
        if value is not None:
            self.versions[fingerprint] = write_result.unwrap()[key]
            self.stored[fingerprint] = len(value[_DEATHS_FIELD])
            logs.event("quarantined", fingerprint=fingerprint, **value)
        else:
            self.versions.pop(fingerprint, None)
            self.stored.pop(fingerprint, None)
            logs.event("released", fingerprint=fingerprint)
        return True

    def _record_failure(self, reason: str) -> None:
        # What was written before an answer was lost is not known.
        self.is_loaded = False
        self._next_call_at = self.clock() + _RETRY_S
        self.metrics.count("quarantine_store_failed", reason)
