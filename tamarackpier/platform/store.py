"""HTTP client of the row store: instances' leases, and other writers' rows."""

import base64
import json
from typing import Any

import aiohttp
from returns import pipeline, result

from tamarackpier import codes, failures
from tamarackpier.platform import decode, interfaces, wire

__all__ = ["RowStore"]

_OK = 200
_CONFLICT = 412
_GONE = 410
_TOO_MANY = 429
_PAGE_ROWS = 500  # Maximum number of rows in one response.
# Time beyond the requested wait after which a long poll has timed out.
_FEED_TIMEOUT_MARGIN_S = 1.5


class RowStore(interfaces.Table, interfaces.Watch):
    """Reads, writes and watches rows over HTTP.

    Keys have the form `TABLE/KEY`. The store's `part` field is always empty.

    Attributes:
        session: HTTP session with the connections to the store.
        url: Base URL of the store.
        timeout_s: Time limit of a call, in seconds; long polls have their own.
        calls: Number of calls made so far; the platform charges for each.
    """

    def __init__(
        self, session: aiohttp.ClientSession, address: str, timeout_s: float
    ) -> None:
        self.session = session
        self.url = f"http://{address}"
        self.timeout_s = timeout_s
        self.calls = 0

    async def read(
        self, keys: tuple[str, ...]
    ) -> result.Result[dict[str, interfaces.Row], codes.Fault]:
        """Reads rows one by one, so not as one consistent snapshot."""
        rows_by_key = {}
        for key in keys:
            table, _, name = key.partition("/")
            query = {"table": table, "part": "", "from": name, "limit": "1"}
            page_result = await self._get(
                wire.Path.ROWS_GET, query, self.timeout_s
            )
            if not pipeline.is_successful(page_result):
                return page_result
            try:
                rows = page_result.unwrap()["rows"]
                is_present = bool(rows) and rows[0]["key"] == name
                rows_by_key[key] = _decode_row(
                    key, rows[0] if is_present else None
                )
            except failures.MALFORMED as error:
                return _malformed_failure(error)
        return result.Success(rows_by_key)

    async def scan(
        self, prefix: str
    ) -> result.Result[dict[str, interfaces.Row], codes.Fault]:
        """Reads all rows whose key starts with a prefix `TABLE/START`."""
        table, _, start = prefix.partition("/")
        rows_result = await self._read_table(table)
        return rows_result.map(
            lambda rows_and_version: {
                f"{table}/{row['key']}": _decode_row(
                    f"{table}/{row['key']}", row
                )
                for row in rows_and_version[0]
                if row["key"].startswith(start)
            }
        )

    async def transact(
        self, transaction: interfaces.Transaction
    ) -> result.Result[dict[str, int], codes.Fault]:
        """Commits a transaction; returns the new versions of rows, by key."""
        body = _encode_transaction(transaction)
        self.calls += 1
        try:
            status, data = await self._call(
                "POST", wire.Path.ROWS_CHANGE, self.timeout_s, body=body
            )
        except aiohttp.ClientConnectorError as error:
            return failures.failure(codes.TABLE_UNAVAILABLE, str(error))
        except (TimeoutError, aiohttp.ClientError) as error:
            return failures.failure(
                codes.TABLE_ANSWER_LOST, failures.describe(error)
            )
        if status == _CONFLICT:
            return failures.failure(
                codes.TABLE_CONFLICT, data.decode(errors="replace")
            )
        parse_result = _parse_response(status, data)
        if not pipeline.is_successful(parse_result):
            return parse_result
        try:
            version = int(parse_result.unwrap()["ver"])
        except failures.MALFORMED as error:
            return failures.failure(
                codes.TABLE_ANSWER_LOST, failures.describe(error)
            )
        return result.Success(
            {write.key: version for write in transaction.writes}
        )

    async def snapshot(
        self, table: str
    ) -> result.Result[interfaces.Changes, codes.Fault]:
        """Returns all rows of a table."""
        rows_result = await self._read_table(table)
        return rows_result.bind(
            lambda rows_and_version: _decode_changes(
                {"rows": rows_and_version[0], "ver": rows_and_version[1]}
            )
        )

    async def changes(
        self, table: str, after: int, wait_s: float
    ) -> result.Result[interfaces.Changes, codes.Fault]:
        """Returns the rows changed after a version, by long polling.

        Waits up to `wait_s` seconds for the first change.
        """
        query = {
            "table": table,
            "after": str(after),
            "wait_ms": str(int(wait_s * 1e3)),
        }
        page_result = await self._get(
            wire.Path.ROWS_FEED, query, wait_s + _FEED_TIMEOUT_MARGIN_S
        )
        return page_result.bind(_decode_changes)

    async def _read_table(
        self, table: str
    ) -> result.Result[tuple[list[dict[str, Any]], int], codes.Fault]:
        """Returns all encoded rows of a table and the first page's version."""
        rows: list[dict[str, Any]] = []
        version = None
        start = ""
        while True:
            query = {
                "table": table,
                "part": "",
                "from": start,
                "limit": str(_PAGE_ROWS),
            }
            page_result = await self._get(
                wire.Path.ROWS_GET, query, self.timeout_s
            )
            if not pipeline.is_successful(page_result):
                return page_result
            document = page_result.unwrap()
            try:
                rows += document["rows"]
                # The first page's version is kept: changes made while later
                # pages are read are then delivered again by the feed.
                version = int(document["ver"]) if version is None else version
                if not document.get("has_more") or not document["rows"]:
                    return result.Success((rows, version))
                start = document["rows"][-1]["key"] + "\0"
            except failures.MALFORMED as error:
                return _malformed_failure(error)

    async def _get(
        self, path: str, query: dict[str, str], timeout_s: float
    ) -> result.Result[Any, codes.Fault]:
        self.calls += 1
        try:
            status, data = await self._call("GET", path, timeout_s, query=query)
        except (TimeoutError, aiohttp.ClientError) as error:
            return failures.failure(
                codes.TABLE_UNAVAILABLE, failures.describe(error)
            )
        return _parse_response(status, data)

    async def _call(
        self,
        method: str,
        path: str,
        timeout_s: float,
        query: dict[str, str] | None = None,
        body: bytes | None = None,
    ) -> tuple[int, bytes]:
        headers = {"Content-Type": "application/json"} if body else None
        async with self.session.request(
            method,
            self.url + path,
            params=query,
            data=body,
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=timeout_s),
        ) as response:
            return response.status, await response.read()


def _decode_changes(
    page: dict[str, Any],
) -> result.Result[interfaces.Changes, codes.Fault]:
    try:
        rows = tuple(_decode_change(row) for row in page["rows"])
        return result.Success(interfaces.Changes(rows, int(page["ver"])))
    except failures.MALFORMED as error:
        return _malformed_failure(error)


def _malformed_failure(error: Exception) -> result.Result[Any, codes.Fault]:
    return failures.failure(
        codes.TABLE_UNAVAILABLE,
        f"response has an unexpected shape: {failures.describe(error)}",
    )


def _parse_response(
    status: int, data: bytes
) -> result.Result[Any, codes.Fault]:
    if status == _GONE:
        return failures.failure(codes.TABLE_HISTORY_LOST, "HTTP 410")
    if status == _TOO_MANY:
        return failures.failure(codes.TABLE_THROTTLED, "HTTP 429")
    if status != _OK:
        return failures.failure(codes.TABLE_UNAVAILABLE, f"HTTP {status}")
    try:
        return result.Success(json.loads(data))
    except ValueError as error:
        return failures.failure(
            codes.TABLE_UNAVAILABLE, f"response is not valid JSON: {error}"
        )


def _encode_transaction(transaction: interfaces.Transaction) -> bytes:
    # `expected_rev` lists the expected version of each row; it is not one
    # condition on the whole operation.
    conditions = [
        {**_row_name(check.key), "ver": check.version}
        for check in transaction.checks
    ]
    puts = []
    removals = []
    for write in transaction.writes:
        if write.value is None:
            removals.append(_row_name(write.key))
        else:
            value = base64.b64encode(json.dumps(dict(write.value)).encode())
            puts.append({**_row_name(write.key), "value": value.decode()})
    return json.dumps(
        {"expected_rev": conditions, "puts": puts, "remove": removals}
    ).encode()


def _row_name(key: str) -> dict[str, str]:
    table, _, name = key.partition("/")
    return {"table": table, "part": "", "key": name}


def _decode_row(key: str, row: dict[str, Any] | None) -> interfaces.Row:
    if row is None:
        return interfaces.Row(key, 0, None)
    value = json.loads(decode.row_value(row["value"]))
    return interfaces.Row(key, int(row["ver"]), value)


def _decode_change(row: dict[str, Any]) -> interfaces.Change:
    if row.get("removed"):
        return interfaces.Change(row["key"], int(row["ver"]), None)
    # An invalid value becomes empty, so that the other rows are delivered.
    try:
        data = decode.row_value(row.get("value"))
    except ValueError:
        data = b""
    return interfaces.Change(row["key"], int(row["ver"]), data)
