"""HTTP client of the row store: instances' leases, and other writers' rows."""

import asyncio
import base64
import dataclasses
import json
import time
from collections.abc import Callable
from typing import Any

import aiohttp
from returns import pipeline, result

from tamarackpier import codes, failures, logs
from tamarackpier.platform import decode, interfaces, wire

__all__ = ["RowStore"]

_OK = 200
_CONFLICT = 412
_GONE = 410
_TOO_MANY = 429
# Statuses by which the store shows that it works.
_SERVED_STATUSES = frozenset((_OK, _CONFLICT, _GONE))
_PAGE_ROWS = 500  # Maximum number of rows in one response.
_MAX_LOGGED = 200  # Characters of an error about a row that are logged.


@dataclasses.dataclass(frozen=True)
class _Response:
    """A response of the store.

    Attributes:
        status: HTTP status.
        body: The complete body.
        era: Number of restores before it.
    """

    status: int
    body: bytes
    era: int


@dataclasses.dataclass(frozen=True)
class _Page:
    """The JSON document of a successful response, and the store's era."""

    document: Any
    era: int


class RowStore(interfaces.Table, interfaces.Watch):
    """Reads, writes and watches rows over HTTP.

    Keys have the form `TABLE/KEY`. The store's `part` field is always empty.

    The store may come back from an older copy of itself. Each response shows
    its era, the number of restores so far; versions of an earlier era aren't
    used in a later one.

    Attributes:
        session: HTTP session with the connections to the store.
        url: Base URL of the store.
        timeout_s: Time limit of a call, in seconds; long polls have their own.
        clock: Returns the monotonic time, in seconds.
        calls: Number of calls made so far; the platform charges for each.
        era: Latest era seen; None before the first response.
        on_restored: Called when the store has been restored.
        on_answered: Called with the send time of each call that the store
            answered, in seconds on the monotonic clock.
        on_failed: The same for each call that it did not serve.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        timeout_s: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.session = session
        self.url = f"http://{address}"
        self.timeout_s = timeout_s
        self.clock = clock
        self.calls = 0
        self.era: int | None = None
        self.on_restored: Callable[[], None] = lambda: None
        self.on_answered: Callable[[float], None] = lambda sent_at: None
        self.on_failed: Callable[[float], None] = lambda sent_at: None
        self._restored = asyncio.Event()

    def observe_era(self, era: int) -> None:
        """Records the era of a response, or of rows that a peer has read."""
        if self.era is not None and era <= self.era:
            return
        is_restored = self.era is not None
        self.era = era
        if is_restored:
            self._restored.set()
            self._restored = asyncio.Event()
            self.on_restored()

    async def read(
        self, keys: tuple[str, ...]
    ) -> result.Result[dict[str, interfaces.Row], codes.Fault]:
        """Reads rows one by one, so not as one consistent snapshot.

        A value that can't be decoded is returned as an empty one.
        """
        rows_by_key = {}
        for key in keys:
            table, _, name = key.partition("/")
            query = {"table": table, "part": "", "from": name, "limit": "1"}
            page_result = await self._get(
                wire.Path.ROWS_GET, query, self.timeout_s
            )
            if not pipeline.is_successful(page_result):
                return result.Failure(page_result.failure())
            page = page_result.unwrap()
            try:
                rows = page.document["rows"]
                is_present = bool(rows) and rows[0]["key"] == name
                rows_by_key[key] = _decode_row_or_empty(
                    key, rows[0] if is_present else None, page.era
                )
            except failures.MALFORMED as error:
                return _malformed_failure(error)
        return result.Success(rows_by_key)

    async def scan(
        self, prefix: str
    ) -> result.Result[dict[str, interfaces.Row], codes.Fault]:
        """Reads all rows whose key starts with a prefix `TABLE/START`.

        Rows whose key or value can't be decoded are left out.
        """
        table, _, start = prefix.partition("/")
        page_result = await self._read_table(table)
        return page_result.bind(lambda page: _decode_table(table, start, page))

    async def transact(
        self, transaction: interfaces.Transaction
    ) -> result.Result[dict[str, int], codes.Fault]:
        """Commits a transaction; returns the new versions of rows, by key.

        A condition on a version of an earlier era has failed, even if the row
        has that version again.
        """
        eras = {
            interfaces.era_of(check.version)
            for check in transaction.checks
            if check.version
        }
        if self.era is not None and eras - {self.era}:
            return failures.failure(
                codes.TABLE_CONFLICT,
                f"the condition is on eras {sorted(eras)}, and the store is in"
                f" era {self.era}",
            )
        self.calls += 1
        try:
            response = await self._call(
                "POST",
                wire.Path.ROWS_CHANGE,
                self.timeout_s,
                body=_encode_transaction(transaction),
            )
        except aiohttp.ClientConnectorError as error:
            return failures.failure(codes.TABLE_UNAVAILABLE, str(error))
        except (TimeoutError, aiohttp.ClientError) as error:
            return failures.failure(
                codes.TABLE_ANSWER_LOST, failures.describe(error)
            )
        if response.status == _CONFLICT:
            return failures.failure(
                codes.TABLE_CONFLICT, response.body.decode(errors="replace")
            )
        page_result = _parse_response(response)
        if not pipeline.is_successful(page_result):
            return result.Failure(page_result.failure())
        if eras - {response.era} or response.era != self.era:
            return failures.failure(
                codes.TABLE_ANSWER_LOST,
                f"written in era {response.era} on a condition on eras"
                f" {sorted(eras)}; the store is in era {self.era}",
            )
        try:
            version = interfaces.position(
                response.era, int(page_result.unwrap().document["ver"])
            )
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
        page_result = await self._read_table(table)
        return page_result.bind(_decode_changes)

    async def changes(
        self, table: str, after: int, wait_s: float
    ) -> result.Result[interfaces.Changes, codes.Fault]:
        """Returns the rows changed after a version, by long polling.

        Waits up to `wait_s` seconds for the first change, but no longer than
        until any response shows that the store was restored.
        """
        era = interfaces.era_of(after)
        if self.era is not None and era != self.era:
            return _other_era_failure(era, self.era)
        query = {
            "table": table,
            "after": str(interfaces.store_version(after)),
            "wait_ms": str(int(wait_s * 1e3)),
        }
        poll = asyncio.ensure_future(
            self._get(
                wire.Path.ROWS_FEED,
                query,
                wait_s + interfaces.FEED_TIMEOUT_MARGIN_S,
            )
        )
        restored = asyncio.ensure_future(self._restored.wait())
        try:
            await asyncio.wait(
                (poll, restored), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            restored.cancel()
            is_answered = poll.done()
            poll.cancel()
        if not is_answered:
            return _other_era_failure(era, self.era)
        page_result = poll.result()
        if pipeline.is_successful(page_result):
            page = page_result.unwrap()
            if page.era != era:
                return _other_era_failure(era, page.era)
        return page_result.bind(_decode_changes)

    async def _read_table(
        self, table: str
    ) -> result.Result[_Page, codes.Fault]:
        """Returns all encoded rows of a table and the first page's version."""
        rows: list[dict[str, Any]] = []
        first_page: _Page | None = None
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
            page = page_result.unwrap()
            first_page = first_page or page
            if page.era != first_page.era:
                return _other_era_failure(first_page.era, page.era)
            try:
                rows += page.document["rows"]
                # The first page's version is kept: changes made while later
                # pages are read are then delivered again by the feed.
                version = int(first_page.document["ver"])
                is_last = (
                    not page.document.get("has_more")
                    or not page.document["rows"]
                )
                if is_last:
                    document = {"rows": rows, "ver": version}
                    return result.Success(_Page(document, page.era))
                start = page.document["rows"][-1]["key"] + "\0"
            except failures.MALFORMED as error:
                return _malformed_failure(error)

    async def _get(
        self, path: str, query: dict[str, str], timeout_s: float
    ) -> result.Result[_Page, codes.Fault]:
        self.calls += 1
        try:
            response = await self._call("GET", path, timeout_s, query=query)
        except (TimeoutError, aiohttp.ClientError) as error:
            return failures.failure(
                codes.TABLE_UNAVAILABLE, failures.describe(error)
            )
        if self.era is not None and response.era < self.era:
            return _other_era_failure(response.era, self.era)
        return _parse_response(response)

    async def _call(
        self,
        method: str,
        path: str,
        timeout_s: float,
        query: dict[str, str] | None = None,
        body: bytes | None = None,
    ) -> _Response:
        sent_at = self.clock()
        try:
            response = await self._send(method, path, timeout_s, query, body)
        except (TimeoutError, aiohttp.ClientError):
            self.on_failed(sent_at)
            raise
        self.observe_era(response.era)
        if response.status in _SERVED_STATUSES:
            self.on_answered(sent_at)
        elif response.status != _TOO_MANY:
            self.on_failed(sent_at)
        return response

    async def _send(
        self,
        method: str,
        path: str,
        timeout_s: float,
        query: dict[str, str] | None,
        body: bytes | None,
    ) -> _Response:
        headers = {"Content-Type": "application/json"} if body else None
        async with self.session.request(
            method,
            self.url + path,
            params=query,
            data=body,
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=timeout_s),
        ) as response:
            data = await response.read()
            try:
                era = decode.store_era(
                    response.headers.get(wire.Header.STORE_ERA)
                )
            except ValueError as error:
                raise aiohttp.ClientError(str(error)) from error
            return _Response(response.status, data, era)


def _decode_table(
    table: str, start: str, page: _Page
) -> result.Result[dict[str, interfaces.Row], codes.Fault]:
    """Returns the rows of a table whose keys start with `start`."""
    rows = {}
    try:
        for document in page.document["rows"]:
            if not _has_valid_key(document):
                continue
            if not document["key"].startswith(start):
                continue
            key = f"{table}/{document['key']}"
            try:
                rows[key] = _decode_row(key, document, page.era)
            except failures.MALFORMED as error:
                logs.decision(
                    "row unreadable",
                    key=key,
                    detail=failures.describe(error)[:_MAX_LOGGED],
                )
    except failures.MALFORMED as error:
        return _malformed_failure(error)
    return result.Success(rows)


def _has_valid_key(row: dict[str, Any]) -> bool:
    """Returns whether a row's key can be encoded; logs it if not."""
    try:
        decode.row_key(row["key"])
    except ValueError as error:
        logs.decision(
            "row key unreadable", detail=failures.describe(error)[:_MAX_LOGGED]
        )
        return False
    return True


def _decode_changes(
    page: _Page,
) -> result.Result[interfaces.Changes, codes.Fault]:
    try:
        rows = tuple(
            _decode_change(row, page.era)
            for row in page.document["rows"]
            if _has_valid_key(row)
        )
        version = interfaces.position(page.era, int(page.document["ver"]))
    except failures.MALFORMED as error:
        return _malformed_failure(error)
    return result.Success(interfaces.Changes(rows, version))


def _other_era_failure(
    era: int, present_era: int | None
) -> result.Result[Any, codes.Fault]:
    return failures.failure(
        codes.TABLE_HISTORY_LOST,
        f"versions of era {era} don't hold in era {present_era}",
    )


def _malformed_failure(error: Exception) -> result.Result[Any, codes.Fault]:
    return failures.failure(
        codes.TABLE_UNAVAILABLE,
        f"response has an unexpected shape: {failures.describe(error)}",
    )


def _parse_response(response: _Response) -> result.Result[_Page, codes.Fault]:
    status = response.status
    if status == _GONE:
        return failures.failure(codes.TABLE_HISTORY_LOST, "HTTP 410")
    if status == _TOO_MANY:
        return failures.failure(codes.TABLE_THROTTLED, "HTTP 429")
    if status != _OK:
        return failures.failure(codes.TABLE_UNAVAILABLE, f"HTTP {status}")
    try:
        document = json.loads(response.body)
    except failures.MALFORMED as error:
        return failures.failure(
            codes.TABLE_UNAVAILABLE, f"response is not valid JSON: {error}"
        )
    return result.Success(_Page(document, response.era))


def _encode_transaction(transaction: interfaces.Transaction) -> bytes:
    # `expected_rev` lists the expected version of each row; it is not one
    # condition on the whole operation.
    conditions = [
        {
            **_row_name(check.key),
            "ver": interfaces.store_version(check.version),
        }
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


def _decode_row(
    key: str, row: dict[str, Any] | None, era: int
) -> interfaces.Row:
    if row is None:
        return interfaces.Row(key, 0, None)
    value = json.loads(decode.row_value(row["value"]))
    version = interfaces.position(era, int(row["ver"]))
    return interfaces.Row(key, version, value)


def _decode_row_or_empty(
    key: str, row: dict[str, Any] | None, era: int
) -> interfaces.Row:
    """Returns a row; its value is empty if it can't be decoded."""
    try:
        return _decode_row(key, row, era)
    except failures.MALFORMED as error:
        if row is None:
            raise
        logs.decision(
            "row unreadable",
            key=key,
            detail=failures.describe(error)[:_MAX_LOGGED],
        )
        version = interfaces.position(era, int(row["ver"]))
        return interfaces.Row(key, version, {})


def _decode_change(row: dict[str, Any], era: int) -> interfaces.Change:
    version = interfaces.position(era, int(row["ver"]))
    if row.get("removed"):
        return interfaces.Change(row["key"], version, None)
    # An invalid value becomes empty, so that the other rows are delivered.
    try:
        data = decode.row_value(row.get("value"))
    except ValueError:
        data = b""
    return interfaces.Change(row["key"], version, data)
