"""What the project asks of the platform, free of how it is asked."""

import dataclasses
from collections.abc import Mapping
from typing import Any, Protocol

from returns import result

from tamarackpier import codes

__all__ = [
    "Change",
    "Changes",
    "Check",
    "InstanceKind",
    "InstanceList",
    "ListedInstance",
    "Objects",
    "Row",
    "Table",
    "Transaction",
    "Watch",
    "Write",
]

Value = Mapping[str, Any]


@dataclasses.dataclass(frozen=True)
class Row:
    """A row as it was read.

    Attributes:
        key: The row's key.
        version: Rises with each write; 0 means that the row is absent.
        value: The row's JSON value; None when absent.
    """

    key: str
    version: int
    value: Value | None


@dataclasses.dataclass(frozen=True)
class Check:
    """A row must have this version, or nothing is written."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True)
class Write:
    """A row gets this value; None deletes it."""

    key: str
    value: Value | None


@dataclasses.dataclass(frozen=True)
class Transaction:
    """Checks and writes that take effect together or not at all."""

    checks: tuple[Check, ...]
    writes: tuple[Write, ...]


class Table(Protocol):
    """The transactional table service."""

    async def read(
        self, keys: tuple[str, ...]
    ) -> result.Result[dict[str, Row], codes.Fault]:
        """Reads rows at one instant; an absent row has version 0."""

    async def scan(
        self, prefix: str
    ) -> result.Result[dict[str, Row], codes.Fault]:
        """Reads all rows whose key has a prefix."""

    async def transact(
        self, transaction: Transaction
    ) -> result.Result[dict[str, int], codes.Fault]:
        """Commits a transaction and returns the new versions.

        A fault with `TABLE_ANSWER_LOST` leaves open whether it committed;
        every other fault says that it did not.
        """


@dataclasses.dataclass(frozen=True)
class Change:
    """A row as a watch saw it.

    Attributes:
        key: The row's key.
        version: Its version.
        data: Its bytes; None when the row was removed.
    """

    key: str
    version: int
    data: bytes | None


@dataclasses.dataclass(frozen=True)
class Changes:
    """Rows of one table, up to a version.

    Attributes:
        rows: The rows, oldest change first.
        version: Where to go on.
    """

    rows: tuple[Change, ...]
    version: int


class Watch(Protocol):
    """Rows of a table that others write, as they change."""

    async def snapshot(self, table: str) -> result.Result[Changes, codes.Fault]:
        """Returns all rows of a table."""

    async def changes(
        self, table: str, after: int, wait_s: float
    ) -> result.Result[Changes, codes.Fault]:
        """Returns what changed after a version, waiting for a first change.

        `TABLE_HISTORY_LOST` asks for a new snapshot.
        """


class Objects(Protocol):
    """The object store."""

    async def get(self, name: str) -> result.Result[bytes | None, codes.Fault]:
        """Returns an object's bytes, or None if there is none."""

    async def put(
        self, name: str, data: bytes
    ) -> result.Result[None, codes.Fault]:
        """Writes an object, replacing an older one."""


class InstanceKind:
    """What an instance on the list is."""

    ENTRY = "entry"
    ENGINE = "engine"


@dataclasses.dataclass(frozen=True)
class ListedInstance:
    """One entry of the platform's lagging list.

    Attributes:
        id: Name of the instance.
        kind: One of `InstanceKind`.
        availability_zone: Where it is.
        domain: Its fabric domain; empty for entry instances.
        address: Base URL of an engine, or caller address of an entry.
        peer_address: Where an entry instance hears its peers.
        is_leaving: Whether it is being taken away.
        checks_fencing: Whether an engine refuses old fencing numbers.
    """

    id: str
    kind: str
    availability_zone: str
    domain: str
    address: str
    peer_address: str = ""
    is_leaving: bool = False
    checks_fencing: bool = True


class InstanceList(Protocol):
    """The list of live and leaving instances."""

    async def list(
        self,
    ) -> result.Result[tuple[ListedInstance, ...], codes.Fault]:
        """Returns the list as the platform has it now."""
