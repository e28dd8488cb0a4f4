"""The platform's services over HTTP, as docs/PLATFORM.md describes them."""

import dataclasses
import json
from typing import Any

import aiohttp
from returns import result

from tamarackpier import codes, failures
from tamarackpier.platform import interfaces

__all__ = ["HttpInstanceList", "HttpObjects", "HttpTable"]

_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409
_TOO_MANY = 429
_UNAVAILABLE = 503


@dataclasses.dataclass(frozen=True)
class _Response:
    """The status and the complete body of an HTTP response."""

    status: int
    body: bytes


class _Client:
    """Calls one service of the platform, with a time limit on each call."""

    def __init__(
        self, session: aiohttp.ClientSession, url: str, timeout_s: float
    ) -> None:
        self.session = session
        self.url = url.rstrip("/")
        self.timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def call(
        self, method: str, path: str, body: bytes | None = None
    ) -> _Response:
        async with self.session.request(
            method, self.url + path, data=body, timeout=self.timeout
        ) as response:
            return _Response(response.status, await response.read())


class HttpTable(interfaces.Table):
    """The table service over HTTP."""

    def __init__(
        self, session: aiohttp.ClientSession, url: str, timeout_s: float
    ) -> None:
        self.client = _Client(session, url, timeout_s)

    async def read(
        self, keys: tuple[str, ...]
    ) -> result.Result[dict[str, interfaces.Row], codes.Fault]:
        """Returns a consistent snapshot of rows, by key."""
        return await self._rows("/table/read", {"keys": keys})

    async def scan(
        self, prefix: str
    ) -> result.Result[dict[str, interfaces.Row], codes.Fault]:
        """Returns all rows whose key starts with a prefix, by key."""
        return await self._rows("/table/scan", {"prefix": prefix})

    async def transact(
        self, transaction: interfaces.Transaction
    ) -> result.Result[dict[str, int], codes.Fault]:
        """Commits a transaction; returns the new versions of rows, by key."""
        body = json.dumps(dataclasses.asdict(transaction)).encode()
        try:
            response = await self.client.call("POST", "/table/transact", body)
        except aiohttp.ClientConnectorError as error:
            return failures.failure(codes.TABLE_UNAVAILABLE, str(error))
        except (TimeoutError, aiohttp.ClientError) as error:
            return failures.failure(
                codes.TABLE_ANSWER_LOST, failures.describe(error)
            )
        if response.status == _OK:
            return result.Success(json.loads(response.body)["versions"])
        if response.status == _CONFLICT:
            return failures.failure(
                codes.TABLE_CONFLICT, response.body.decode()
            )
        return _table_failure(response)

    async def _rows(
        self, path: str, query: dict[str, Any]
    ) -> result.Result[dict[str, interfaces.Row], codes.Fault]:
        try:
            response = await self.client.call(
                "POST", path, json.dumps(query).encode()
            )
        except (TimeoutError, aiohttp.ClientError) as error:
            return failures.failure(
                codes.TABLE_UNAVAILABLE, failures.describe(error)
            )
        if response.status != _OK:
            return _table_failure(response)
        rows = json.loads(response.body)["rows"]
        return result.Success(
            {
                key: interfaces.Row(key, row["version"], row["value"])
                for key, row in rows.items()
            }
        )


class HttpObjects(interfaces.Objects):
    """The object store over HTTP."""

    def __init__(
        self, session: aiohttp.ClientSession, url: str, timeout_s: float
    ) -> None:
        self.client = _Client(session, url, timeout_s)

    async def get(self, name: str) -> result.Result[bytes | None, codes.Fault]:
        """Returns an object's bytes, or None if there is none."""
        try:
            response = await self.client.call("GET", f"/objects/{name}")
        except (TimeoutError, aiohttp.ClientError) as error:
            return failures.failure(
                codes.OBJECTS_UNAVAILABLE, failures.describe(error)
            )
        if response.status == _NOT_FOUND:
            return result.Success(None)
        if response.status != _OK:
            return failures.failure(
                codes.OBJECTS_UNAVAILABLE, f"HTTP {response.status}"
            )
        return result.Success(response.body)

    async def put(
        self, name: str, data: bytes
    ) -> result.Result[None, codes.Fault]:
        """Writes an object, replacing any object of the same name."""
        try:
            response = await self.client.call("PUT", f"/objects/{name}", data)
        except (TimeoutError, aiohttp.ClientError) as error:
            return failures.failure(
                codes.OBJECTS_UNAVAILABLE, failures.describe(error)
            )
        if response.status != _OK:
            return failures.failure(
                codes.OBJECTS_UNAVAILABLE, f"HTTP {response.status}"
            )
        return result.Success(None)


class HttpInstanceList(interfaces.InstanceList):
    """The list of instances over HTTP."""

    def __init__(
        self, session: aiohttp.ClientSession, url: str, timeout_s: float
    ) -> None:
        self.client = _Client(session, url, timeout_s)

    async def list(
        self,
    ) -> result.Result[tuple[interfaces.ListedInstance, ...], codes.Fault]:
        """Returns the instances that the platform lists now."""
        try:
            response = await self.client.call("GET", "/instances")
        except (TimeoutError, aiohttp.ClientError) as error:
            return failures.failure(
                codes.INSTANCES_UNAVAILABLE, failures.describe(error)
            )
        if response.status != _OK:
            return failures.failure(
                codes.INSTANCES_UNAVAILABLE, f"HTTP {response.status}"
            )
        entries = json.loads(response.body)["instances"]
        return result.Success(
            tuple(interfaces.ListedInstance(**entry) for entry in entries)
        )


def _table_failure(response: _Response) -> result.Result[Any, codes.Fault]:
    if response.status == _TOO_MANY:
        return failures.failure(
            codes.TABLE_THROTTLED, "rate limit exceeded: HTTP 429"
        )
    return failures.failure(codes.TABLE_UNAVAILABLE, f"HTTP {response.status}")
