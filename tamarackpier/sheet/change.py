"""Applies changes to a sheet and compares sheets."""

import dataclasses
from collections.abc import Iterable

from returns import result

from tamarackpier import codes
from tamarackpier.sheet import model, parse

__all__ = ["Difference", "apply", "diff", "replace"]


@dataclasses.dataclass(frozen=True)
class Difference:
    """One row that differs between two sheets.

    Attributes:
        key: Key of the row.
        before: Row of the first sheet; None if the row was added.
        after: Row of the second sheet; None if the row was removed.
    """

    key: model.RowKey
    before: model.SheetRow | None
    after: model.SheetRow | None


def replace(base: model.Sheet, changes: Iterable[parse.Change]) -> model.Sheet:
    """Returns the sheet after `base`, with the rows of `changes` only."""
    rows = [change.row for change in changes if change.row is not None]
    return base.with_rows(base.version + 1, rows)


def apply(
    base: model.Sheet, changes: Iterable[parse.Change]
) -> result.Result[model.Sheet, tuple[codes.Fault, ...]]:
    """Returns the sheet after `base`, with a patch applied.

    Args:
        base: Sheet to change.
        changes: Changes of the patch.

    Returns:
        The sheet with the next version number, or every fault of the patch.
    """
    rows = {row.key: row for row in base.rows}
    faults = []
    for change in changes:
        if change.row is not None:
            rows[change.key] = change.row
        elif rows.pop(change.key, None) is None:
            faults.append(
                codes.fault(
                    codes.SHEET_UNKNOWN_ROW,
                    f"{'/'.join(change.key)} does not exist in sheet version "
                    f"{base.version}",
                    f"row {change.row_number}",
                )
            )
    sheet = base.with_rows(base.version + 1, rows.values())
    located_rows = [("/".join(row.key), row) for row in sheet.rows]
    faults.extend(parse.find_inconsistencies(located_rows))
    if faults:
        return result.Failure(tuple(faults))
    return result.Success(sheet)


def diff(before: model.Sheet, after: model.Sheet) -> tuple[Difference, ...]:
    """Returns the rows that differ, sorted by key."""
    old_rows = {row.key: row for row in before.rows}
    new_rows = {row.key: row for row in after.rows}
    return tuple(
        Difference(key, old_rows.get(key), new_rows.get(key))
        for key in sorted(old_rows.keys() | new_rows.keys())
        if old_rows.get(key) != new_rows.get(key)
    )
