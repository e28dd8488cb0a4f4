"""Probes upstreams that may have ended, and shares and keeps what it shows."""

from collections.abc import Callable

from returns import pipeline

from tamarackpier import logs, metrics, tasks
from tamarackpier import quarantine as quarantine_lib
from tamarackpier.daemon import probing
from tamarackpier.fleet import fleet_view, model
from tamarackpier.platform import interfaces
from tamarackpier.traffic import crash_watch

__all__ = ["CrashChecker"]

_TABLE = "quarantine"
# Rows kept in the store. More requests than that are refused only by the
# instances that know them.
_MAX_ROWS = 256
_DEATHS_FIELD = "deaths_at_unix_s"
_WRITE_RETRY_S = 2.0  # Calls to the store are charged.


class CrashChecker:
    """Decides what became of upstreams at which attempts failed.

    Refused fingerprints are kept in the store, so that they outlive a restart
    of all instances.

    Attributes:
        watch: Attempts whose upstream may have ended.
        quarantine: Requests that are suspected of crashing upstreams.
        fleet: The local view of engines.
        prober: Probes engines and replicas.
        rows: Store for refused fingerprints.
        metrics: Counters of this instance.
        clock: Returns the monotonic time, in seconds.
        wall_clock: Returns the Unix time, in seconds.
        stored: Refused fingerprints that are in the store.
    """

    def __init__(
        self,
        watch: crash_watch.CrashWatch,
        fleet: fleet_view.FleetView,
        prober: probing.Prober,
        rows: interfaces.Table,
        counts: metrics.Metrics,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ) -> None:
        self.watch = watch
        self.quarantine = watch.quarantine
        self.fleet = fleet
        self.prober = prober
        self.rows = rows
        self.metrics = counts
        self.clock = clock
        self.wall_clock = wall_clock
        self.stored: set[str] = set()
        self._tasks = tasks.Tasks()
        self._probing: set[str] = set()  # While a probe runs.
        self._writing: set[str] = set()  # While a write runs.
        self._next_write_at = 0.0
        prober.on_probed = self._apply_replica_probe

    def tick(self) -> None:
        """Runs the checks that are due."""
        now = self.clock()
        self.watch.confirm_known(now)
        self.watch.check_rows(self.fleet.engines, now)
        for upstream in self.watch.due_for_probe(now):
            if upstream.key is not None:
                self.prober.probe(upstream.key, "an attempt broke off")
            else:
                self._tasks.start(self._probe_engine(upstream))

    def update_store(self) -> None:
        """Drops deaths that no longer count, and updates the store."""
        now = self.clock()
        self.quarantine.expire(now)
        if now >= self._next_write_at:
            self._store_refused(now)

    async def load(self) -> bool:
        """Reads the refused fingerprints; returns whether that succeeded."""
        scan_result = await self.rows.scan(f"{_TABLE}/")
        if not pipeline.is_successful(scan_result):
            return False
        for key, row in scan_result.unwrap().items():
            self._load_row(key.partition("/")[2], row)
        return True

    def _load_row(self, fingerprint: str, row: interfaces.Row) -> None:
        deaths = (row.value or {}).get(_DEATHS_FIELD)
        now, unix_now = self.clock(), self.wall_clock()
        if not isinstance(deaths, dict):
            logs.event("quarantine row unreadable", fingerprint=fingerprint)
            return
        crashes = [
            quarantine_lib.Crash(
                fingerprint, str(death), now - max(0.0, unix_now - float(at))
            )
            for death, at in deaths.items()
            if isinstance(at, int | float)
        ]
        self.quarantine.add(crashes)
        self.stored.add(fingerprint)
        logs.event(
            "quarantine loaded", fingerprint=fingerprint, deaths=len(crashes)
        )

    def _apply_replica_probe(
        self,
        key: model.ReplicaKey,
        probe_result: probing.ProbeResult,
        started_at: float,
    ) -> None:
        self.watch.apply_probe(
            crash_watch.replica_death(key),
            probe_result.ended,
            not probe_result.silent and not probe_result.ended,
            started_at,
            self.clock(),
        )

    async def _probe_engine(self, upstream: crash_watch.Upstream) -> None:
        engine = upstream.engines[0]
        if engine.id in self._probing:
            return
        self._probing.add(engine.id)
        started_at = self.clock()
        try:
            report_result = await self.prober.probe_engine(engine)
        finally:
            self._probing.discard(engine.id)
        has_ended = probing.has_ended(engine, report_result)
        self.watch.apply_probe(
            upstream.death,
            (engine.id,) if has_ended else (),
            pipeline.is_successful(report_result) and not has_ended,
            started_at,
            self.clock(),
        )

    def _store_refused(self, now: float) -> None:
        """Starts the writes that keep the store equal to what is refused."""
        refused = set(self.quarantine.refused_fingerprints(now))
        for fingerprint in (refused - self.stored) - self._writing:
            if len(self.stored) < _MAX_ROWS:
                self._start_write(fingerprint, is_refused=True)
        for fingerprint in (self.stored - refused) - self._writing:
            verdict = self.quarantine.verdict(fingerprint, now)
            if verdict is quarantine_lib.Verdict.RUN:
                self._start_write(fingerprint, is_refused=False)

    def _start_write(self, fingerprint: str, is_refused: bool) -> None:
        self._writing.add(fingerprint)
        self._tasks.start(self._write(fingerprint, is_refused))

    async def _write(self, fingerprint: str, is_refused: bool) -> None:
        now, unix_now = self.clock(), self.wall_clock()
        value = None
        if is_refused:
            deaths = self.quarantine.crashes[fingerprint]
            value = {
                _DEATHS_FIELD: {
                    death: unix_now - (now - at) for death, at in deaths.items()
                }
            }
        write = interfaces.Write(f"{_TABLE}/{fingerprint}", value)
        try:
            write_result = await self.rows.transact(
                interfaces.Transaction((), (write,))
            )
        finally:
            self._writing.discard(fingerprint)
        if not pipeline.is_successful(write_result):
            self._next_write_at = self.clock() + _WRITE_RETRY_S
            self.metrics.count(
                "quarantine_write_failed", write_result.failure().code.name
            )
            return
        if is_refused:
            self.stored.add(fingerprint)
        else:
            self.stored.discard(fingerprint)
        logs.event(
            "quarantined" if is_refused else "released",
            fingerprint=fingerprint,
            deaths=sorted(self.quarantine.crashes.get(fingerprint, ())),
        )
