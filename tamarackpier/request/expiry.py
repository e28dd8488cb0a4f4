"""Deletes idempotency records after their retention period.

A record is kept for the service's `record_keep_s` after its last change, by
the wall clock, plus a margin for clock skew. Normally one entry instance
sweeps at a time. Concurrent sweeps are safe, because a row is deleted only at
the version that was read.
"""

import itertools
from collections.abc import Collection, Iterable, Mapping

from returns import pipeline

from tamarackpier import metrics, settings
from tamarackpier.platform import interfaces
from tamarackpier.request import records

__all__ = ["RecordSweeper", "expired_rows"]

# Allowance for clock skew between the instances that write and sweep records.
_CLOCK_MARGIN_S = 600.0
_MAX_DELETES_PER_SWEEP = 100


def expired_rows(
    rows: Iterable[interfaces.Row], keep_s: float, wall_s: float
) -> list[interfaces.Row]:
    """Returns the rows whose records are past their retention period.

    Args:
        rows: Rows of records.
        keep_s: Retention period in seconds.
        wall_s: Current wall-clock time in Unix seconds.
    """
    cutoff_s = wall_s - keep_s - _CLOCK_MARGIN_S
    expired = []
    for row in rows:
        record = records.record_from_row(row)
        if record is not None and record.written_at < cutoff_s:
            expired.append(row)
    return expired


class RecordSweeper:
    """Sweeps the records of one account and service at a time, in turn.

    Attributes:
        table: Table that stores the records.
        services: Settings of the services by name.
        metrics: Counters; deleted records are counted.
    """

    def __init__(
        self,
        table: interfaces.Table,
        accounts: Collection[str],
        services: Mapping[str, settings.ServiceSettings],
        counts: metrics.Metrics,
    ) -> None:
        self.table = table
        self.services = services
        self.metrics = counts
        self._pairs = itertools.cycle(
            [(account, name) for account in accounts for name in services]
        )

    async def sweep(self, wall_s: float) -> None:
        """Deletes expired records of the next account and service.

        Records that can't be read or deleted are left to a later sweep.

        Args:
            wall_s: Current wall-clock time in Unix seconds.
        """
        pair = next(self._pairs, None)
        if pair is None:
            return
        account, service_name = pair
        scan_result = await self.table.scan(f"call/{account}/{service_name}/")
        if not pipeline.is_successful(scan_result):
            return
        keep_s = self.services[service_name].record_keep_s
        expired = expired_rows(scan_result.unwrap().values(), keep_s, wall_s)
        for row in expired[:_MAX_DELETES_PER_SWEEP]:
            await self._delete(row)

    async def _delete(self, row: interfaces.Row) -> None:
        """Deletes a row, unless it has changed since it was read."""
        delete_result = await self.table.transact(
            interfaces.Transaction(
                (interfaces.Check(row.key, row.version),),
                (interfaces.Write(row.key, None),),
            )
        )
        if pipeline.is_successful(delete_result):
            self.metrics.count("record_expired")
