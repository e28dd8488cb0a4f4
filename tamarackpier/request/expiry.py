"""Deletes records of calls whose time to be kept is over.

The rule: a record is kept for the service's `record_keep_s` after its last
change, on the wall clock, plus a margin for clocks that differ. One entry
instance sweeps at a time as a rule, but nothing breaks if two do, since a row
is deleted only at the version that was read.
"""

import itertools
from collections.abc import Collection, Iterable, Mapping

from returns import pipeline

from tamarackpier import metrics, settings
from tamarackpier.platform import interfaces
from tamarackpier.request import records

__all__ = ["RecordSweeper", "expired_rows"]

_CLOCK_MARGIN_S = 600.0
_MOST_DELETES = 100


def expired_rows(
    rows: Iterable[interfaces.Row], keep_s: float, wall_s: float
) -> list[interfaces.Row]:
    """Returns the rows whose records are no longer kept."""
    oldest = wall_s - keep_s - _CLOCK_MARGIN_S
    found = []
    for row in rows:
        record = records.record_from_row(row)
        if record is not None and record.written_at < oldest:
            found.append(row)
    return found


class RecordSweeper:
    """Goes round the accounts and services, one pair at a time.

    Attributes:
        table: Where records are kept.
        services: The services by name.
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
        """Deletes what has expired of the next account and service."""
        pair = next(self._pairs, None)
        if pair is None:
            return
        account, name = pair
        scanned = await self.table.scan(f"call/{account}/{name}/")
        if not pipeline.is_successful(scanned):
            return
        keep_s = self.services[name].record_keep_s
        old = expired_rows(scanned.unwrap().values(), keep_s, wall_s)
        for row in old[:_MOST_DELETES]:
            await self._delete(row)

    async def _delete(self, row: interfaces.Row) -> None:
        deleted = await self.table.transact(
            interfaces.Transaction(
                (interfaces.Check(row.key, row.version),),
                (interfaces.Write(row.key, None),),
            )
        )
        if pipeline.is_successful(deleted):
            self.metrics.count("record_expired")
