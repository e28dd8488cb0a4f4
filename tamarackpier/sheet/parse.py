"""Parses and writes sheets as CSV.

Accepts CSV as exported from spreadsheets: UTF-8 with or without a byte-order
mark; commas, semicolons or tabs between cells; decimal points or commas; local
times with the IANA name of their time zone. A local time that a clock change
skips or repeats is a fault, since it does not denote a single point in time.
Parsing reports every fault of a file, not only the first.
"""

import csv
import dataclasses
import datetime
import io
import re
import zoneinfo
from collections.abc import Callable, Collection, Iterable
from typing import Any

from returns import result

from tamarackpier import codes
from tamarackpier.sheet import model

__all__ = ["COLUMNS", "Change", "ParsedRow", "parse", "patch_csv", "to_csv"]

COLUMNS = (
    "event",
    "start",
    "time_zone",
    "minutes",
    "model",
    "version",
    "replicas",
    "instances",
    "account",
    "tokens_per_s",
    "requests_per_s",
    "priority",
)
_CHANGE_COLUMN = "change"
_KEY_COLUMNS = ("event", "model", "account")
_MAX_ROWS = 100_000
_NAME = re.compile(r"[^\s,;\"'/\x00-\x1f][^,;\"'/\x00-\x1f]{0,63}")
_TIME_FORMATS = (
    "%Y-%m-%d %H:%M",
    "%Y-%m-%dT%H:%M",
    "%Y-%m-%d %H:%M:%S",
    "%Y-%m-%dT%H:%M:%S",
    "%d.%m.%Y %H:%M",
)
_SECONDS_PER_MINUTE = 60
_FIRST_YEAR = 2000
_LAST_YEAR = 2199

Faults = tuple[codes.Fault, ...]


@dataclasses.dataclass(frozen=True)
class Change:
    """A change of one row of the sheet.

    Attributes:
        key: Key of the row.
        row: New row; None if the row is removed.
        row_number: Number of the row in the file, for faults that are found
            later; the header is row 1.
    """

    key: model.RowKey
    row: model.SheetRow | None
    row_number: int


@dataclasses.dataclass(frozen=True)
class ParsedRow:
    """Cells of one row of the file.

    Attributes:
        row_number: Number of the row in the file; the header is row 1.
        cells: Text of each cell, by column.
    """

    row_number: int
    cells: dict[str, str]


def parse(
    data: bytes,
    accounts: Collection[str] | None = None,
    is_patch: bool = False,
) -> result.Result[tuple[Change, ...], Faults]:
    """Parses a whole sheet or a patch.

    Args:
        data: Contents of the CSV file.
        accounts: Configured client accounts; None skips the check of accounts.
        is_patch: Whether the file is a patch, which has a column `change` with
            `set` or `remove` in each row.

    Returns:
        One change per row, or every fault that was found.
    """
    return _Parser(accounts, is_patch).parse(data)


def to_csv(sheet: model.Sheet) -> str:
    """Returns a sheet as CSV that `parse` accepts, with times in UTC."""
    out = io.StringIO()
    writer = csv.writer(out, lineterminator="\n")
    writer.writerow(COLUMNS)
    for row in sheet.rows:
        writer.writerow(_format_row(row))
    return out.getvalue()


def patch_csv(
    changes: Iterable[tuple[model.RowKey, model.SheetRow | None]],
) -> bytes:
    """Returns a patch as CSV that `parse` accepts.

    Args:
        changes: Key and new row of each change; None removes the row.
    """
    out = io.StringIO()
    writer = csv.writer(out, lineterminator="\n")
    writer.writerow((_CHANGE_COLUMN, *COLUMNS))
    for key, row in changes:
        if row is not None:
            writer.writerow(("set", *_format_row(row)))
            continue
        key_cells = dict(zip(_KEY_COLUMNS, key, strict=True))
        cells = (key_cells.get(column, "") for column in COLUMNS)
        writer.writerow(("remove", *cells))
    return out.getvalue().encode()


def _format_row(row: model.SheetRow) -> tuple[object, ...]:
    start = datetime.datetime.fromtimestamp(row.starts_at, datetime.UTC)
    minutes = (row.ends_at - row.starts_at) / _SECONDS_PER_MINUTE
    return (
        row.event,
        start.strftime(_TIME_FORMATS[2]),
        "UTC",
        repr(minutes),
        row.model,
        row.version,
        row.replicas,
        row.span,
        row.account,
        repr(row.tokens_per_s),
        repr(row.requests_per_s),
        row.priority,
    )


class _Parser:
    """Parses one file and collects its faults.

    Attributes:
        accounts: Configured client accounts; None skips the check of accounts.
        is_patch: Whether the file is a patch.
        faults: Faults found so far.
    """

    def __init__(
        self, accounts: Collection[str] | None, is_patch: bool
    ) -> None:
        self.accounts = accounts
        self.is_patch = is_patch
        self.faults: list[codes.Fault] = []

    def parse(self, data: bytes) -> result.Result[tuple[Change, ...], Faults]:
        rows = self._read_rows(data)
        changes = []
        for row in rows:
            fault_count = len(self.faults)
            change = self._parse_change(row)
            if change is not None and len(self.faults) == fault_count:
                changes.append(change)
        self._check_duplicates(changes)
        self._check_consistency(changes)
        if self.faults:
            return result.Failure(tuple(self.faults))
        return result.Success(tuple(changes))

    def _read_rows(self, data: bytes) -> list[ParsedRow]:
        try:
            text = data.decode("utf-8-sig")
        except UnicodeDecodeError as error:
            self._add_fault(
                codes.SHEET_NOT_TEXT, f"byte {error.start}: {error.reason}"
            )
            return []
        if "\x00" in text:
            self._add_fault(
                codes.SHEET_NOT_TEXT, "the file contains NUL characters"
            )
            return []
        try:
            records = list(
                csv.reader(io.StringIO(text), delimiter=_detect_delimiter(text))
            )
        except csv.Error as error:
            self._add_fault(codes.SHEET_NOT_TEXT, str(error))
            return []
        return self._read_table(records)

    def _read_table(self, records: list[list[str]]) -> list[ParsedRow]:
        if not records:
            self._add_fault(codes.SHEET_EMPTY, "expected a header row")
            return []
        header = [cell.strip().lower() for cell in records[0]]
        if not self._check_header(header):
            return []
        rows = []
        for row_number, cells in enumerate(records[1:], start=2):
            if not any(cell.strip() for cell in cells):
                continue
            if len(cells) != len(header):
                self._add_fault(
                    codes.SHEET_RAGGED_ROW,
                    f"expected {len(header)} cells, found {len(cells)}",
                    row_number,
                )
                continue
            cell_texts = (cell.strip() for cell in cells)
            rows.append(
                ParsedRow(
                    row_number, dict(zip(header, cell_texts, strict=True))
                )
            )
        if not rows and not self.faults:
            self._add_fault(codes.SHEET_EMPTY, "expected rows below the header")
        if len(rows) > _MAX_ROWS:
            self._add_fault(
                codes.SHEET_TOO_LARGE, f"expected at most {_MAX_ROWS} rows"
            )
            return []
        return rows

    def _check_header(self, header: list[str]) -> bool:
        allowed_columns = COLUMNS + ((_CHANGE_COLUMN,) if self.is_patch else ())
        required_columns = (
            _KEY_COLUMNS + (_CHANGE_COLUMN,) if self.is_patch else COLUMNS
        )
        for name in required_columns:
            if name not in header:
                self._add_fault(
                    codes.SHEET_MISSING_COLUMN,
                    "the column is required",
                    1,
                    name,
                )
        for position, name in enumerate(header, start=1):
            if name not in allowed_columns:
                detail = (
                    f"at position {position}; expected one of "
                    f"{', '.join(allowed_columns)}"
                )
                self._add_fault(
                    codes.SHEET_UNKNOWN_COLUMN, detail, 1, name or "?"
                )
            elif header.index(name) != position - 1:
                self._add_fault(
                    codes.SHEET_UNKNOWN_COLUMN,
                    "the column appears more than once",
                    1,
                    name,
                )
        return not self.faults

    def _parse_change(self, row: ParsedRow) -> Change | None:
        if self.is_patch:
            action = row.cells[_CHANGE_COLUMN]
            if action not in ("set", "remove"):
                self._add_value_fault(row, _CHANGE_COLUMN, "set or remove")
                return None
            if action == "remove":
                return self._parse_removal(row)
        missing_columns = [name for name in COLUMNS if name not in row.cells]
        for name in missing_columns:
            self._add_fault(
                codes.SHEET_MISSING_COLUMN,
                "the column is required to set a row",
                row.row_number,
                name,
            )
        if missing_columns:
            return None
        sheet_row = self._parse_sheet_row(row)
        return (
            None
            if sheet_row is None
            else Change(sheet_row.key, sheet_row, row.row_number)
        )

    def _parse_removal(self, row: ParsedRow) -> Change:
        key = [self._parse_name(row, column) for column in _KEY_COLUMNS]
        return Change((key[0], key[1], key[2]), None, row.row_number)

    def _parse_sheet_row(self, row: ParsedRow) -> model.SheetRow | None:
        fault_count = len(self.faults)
        starts_at = self._parse_start(row)
        minutes = self._parse_number(row, "minutes", 1, 7 * 24 * 60)
        values: dict[str, Any] = {
            "event": self._parse_name(row, "event"),
            "model": self._parse_name(row, "model"),
            "version": self._parse_name(row, "version"),
            "replicas": self._parse_integer(row, "replicas", 1, 10_000),
            "span": self._parse_integer(row, "instances", 1, 1024),
            "account": self._parse_account(row),
            "tokens_per_s": self._parse_number(row, "tokens_per_s", 0, 1e9),
            "requests_per_s": self._parse_number(row, "requests_per_s", 0, 1e9),
            "priority": self._parse_integer(row, "priority", 0, 9),
        }
        if len(self.faults) > fault_count:
            return None
        ends_at = starts_at + minutes * _SECONDS_PER_MINUTE
        return model.SheetRow(starts_at=starts_at, ends_at=ends_at, **values)

    def _parse_name(self, row: ParsedRow, column: str) -> str:
        text = row.cells[column]
        if not _NAME.fullmatch(text):
            self._add_value_fault(row, column, "a name of 1 to 64 characters")
        return text

    def _parse_account(self, row: ParsedRow) -> str:
        name = self._parse_name(row, "account")
        if self.accounts is not None and name not in self.accounts:
            self._add_fault(
                codes.SHEET_UNKNOWN_ACCOUNT,
                f"client account {name!r} is not configured",
                row.row_number,
                "account",
            )
        return name

    def _parse_number(
        self, row: ParsedRow, column: str, low: float, high: float
    ) -> float:
        return self._parse_bounded(row, column, _parse_decimal, low, high)

    def _parse_integer(
        self, row: ParsedRow, column: str, low: int, high: int
    ) -> int:
        return self._parse_bounded(row, column, int, low, high)

    def _parse_bounded(
        self,
        row: ParsedRow,
        column: str,
        convert: Callable[[str], Any],
        low: float,
        high: float,
    ) -> Any:
        """Returns the number in a cell.

        Adds a fault if the cell holds no number within the bounds, and returns
        `low` in its place, so that the rest of the row is still checked.
        """
        try:
            value = convert(row.cells[column])
        except ValueError:
            value = None
        if value is None or not low <= value <= high:
            kind = "a whole number" if convert is int else "a number"
            self._add_value_fault(
                row, column, f"{kind} from {low:g} to {high:g}"
            )
            return low
        return value

    def _parse_start(self, row: ParsedRow) -> float:
        """Returns the start of the event, in seconds since the Unix epoch.

        Adds a fault if the start or its time zone is invalid, and returns 0.
        """
        local_time = _parse_local_time(row.cells["start"])
        if (
            local_time is None
            or not _FIRST_YEAR <= local_time.year <= _LAST_YEAR
        ):
            self._add_value_fault(
                row, "start", "a local time such as 2026-12-04 08:30"
            )
            return 0.0
        name = row.cells["time_zone"]
        try:
            zone = zoneinfo.ZoneInfo(name)
        except (KeyError, ValueError, OSError):
            self._add_time_fault(
                row, "time_zone", f"{name!r} is not an IANA time zone"
            )
            return 0.0
        return self._convert_local_time(row, local_time, zone)

    def _convert_local_time(
        self,
        row: ParsedRow,
        local_time: datetime.datetime,
        zone: zoneinfo.ZoneInfo,
    ) -> float:
        """Returns a local time in seconds since the Unix epoch.

        Adds a fault if a clock change skips or repeats the local time.
        """
        earlier = local_time.replace(tzinfo=zone, fold=0)
        later = local_time.replace(tzinfo=zone, fold=1)
        # The offsets differ exactly if a clock change skips or repeats the
        # local time; conversion to UTC and back alters only a skipped one.
        if earlier.utcoffset() != later.utcoffset():
            round_trip = earlier.astimezone(datetime.UTC).astimezone(zone)
            exists = round_trip.replace(tzinfo=None) == local_time
            problem = "occurs twice" if exists else "does not exist"
            self._add_time_fault(
                row,
                "start",
                f"{local_time} {problem} in {zone.key} (clock change)",
            )
        return earlier.timestamp()

    def _check_duplicates(self, changes: list[Change]) -> None:
        row_numbers: dict[model.RowKey, int] = {}
        for change in changes:
            first_row_number = row_numbers.setdefault(
                change.key, change.row_number
            )
            if first_row_number != change.row_number:
                self._add_fault(
                    codes.SHEET_DUPLICATE_ROW,
                    f"{'/'.join(change.key)} is already defined in row "
                    f"{first_row_number} of the file",
                    change.row_number,
                )

    def _check_consistency(self, changes: list[Change]) -> None:
        rows = [
            (f"row {change.row_number}", change.row)
            for change in changes
            if change.row is not None
        ]
        self.faults.extend(find_inconsistencies(rows))

    def _add_time_fault(self, row: ParsedRow, column: str, detail: str) -> None:
        self._add_fault(codes.SHEET_BAD_TIME, detail, row.row_number, column)

    def _add_value_fault(
        self, row: ParsedRow, column: str, expected: str
    ) -> None:
        detail = f"expected {expected}, found {row.cells[column]!r}"
        self._add_fault(codes.SHEET_BAD_VALUE, detail, row.row_number, column)

    def _add_fault(
        self,
        code: codes.ResultCode,
        detail: str,
        row_number: int = 0,
        column: str = "",
    ) -> None:
        where = f"row {row_number}" if row_number else "sheet"
        if column:
            where = f"{where}, column {column}"
        self.faults.append(codes.fault(code, detail, where))


def find_inconsistencies(
    rows: list[tuple[str, model.SheetRow]],
) -> list[codes.Fault]:
    """Returns a fault for each row that contradicts an earlier one.

    Rows of one event must have the same times. Rows of one event and model
    must also have the same version, number of replicas and number of engine
    instances per replica.

    Args:
        rows: Location of each row, as faults report it, and the row.
    """
    faults = []
    first_by_event: dict[str, model.SheetRow] = {}
    first_by_model: dict[tuple[str, str], model.SheetRow] = {}
    for location, row in rows:
        event_row = first_by_event.setdefault(row.event, row)
        if (event_row.starts_at, event_row.ends_at) != (
            row.starts_at,
            row.ends_at,
        ):
            detail = (
                f"event {row.event!r} has different times in an earlier row"
            )
            faults.append(
                codes.fault(codes.SHEET_INCONSISTENT_EVENT, detail, location)
            )
        model_row = first_by_model.setdefault((row.event, row.model), row)
        if (model_row.version, model_row.replicas, model_row.span) != (
            row.version,
            row.replicas,
            row.span,
        ):
            detail = (
                f"model {row.model!r} has a different version, number of "
                "replicas or number of instances in an earlier row"
            )
            faults.append(
                codes.fault(codes.SHEET_INCONSISTENT_EVENT, detail, location)
            )
    return faults


def _detect_delimiter(text: str) -> str:
    header = text.split("\n", 1)[0]
    return max(",;\t", key=header.count)


def _parse_decimal(text: str) -> float:
    value = float(text.replace(",", "."))
    if value != value or value in (float("inf"), float("-inf")):
        raise ValueError(text)
    return value


def _parse_local_time(text: str) -> datetime.datetime | None:
    for time_format in _TIME_FORMATS:
        try:
            return datetime.datetime.strptime(text, time_format)
        except ValueError:
            continue
    return None
