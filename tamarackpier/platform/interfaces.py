"""Interfaces of the platform's services, independent of the transport."""

import dataclasses
from collections.abc import Mapping
from typing import Any, Protocol

from returns import result

from tamarackpier import codes

__all__ = [
    "Change",
    "Changes",
    "Check",
    "FEED_TIMEOUT_MARGIN_S",
    "InstanceKind",
    "InstanceList",
    "ListedInstance",
    "MAX_ERA",
    "Objects",
    "Row",
    "Table",
    "Transaction",
    "Watch",
    "Write",
    "era_of",
    "position",
    "store_version",
]

Value = Mapping[str, Any]

# Time beyond the requested wait after which a wait for changes has failed, in
# seconds.
FEED_TIMEOUT_MARGIN_S = 1.5

# A store that is restored from a copy gives out its versions again, so versions
# are compared together with the number of restores, in their upper bits.
_STORE_VERSION_BITS = 48
MAX_ERA = (1 << (63 - _STORE_VERSION_BITS)) - 1  # Versions fit into 63 bits.


def position(era: int, version: int) -> int:
    """Returns a version that is comparable across restores of the store.

    Args:
        era: Number of restores so far.
        version: Version as the store gave it out in this era.
    """
    return era << _STORE_VERSION_BITS | version


def era_of(version: int) -> int:
    """Returns the number of restores before a version was given out."""
    return version >> _STORE_VERSION_BITS


def store_version(version: int) -> int:
    """Returns a version as the store gave it out."""
    return version & ((1 << _STORE_VERSION_BITS) - 1)


@dataclasses.dataclass(frozen=True)
class Row:
    """A row of the table at one version.

    Attributes:
        key: Key of the row.
        version: Version, which rises with each write, also across restores
            of the store; 0 when the row is absent.
        value: JSON value of the row; None when the row is absent.
    """

    key: str
    version: int
    value: Value | None


@dataclasses.dataclass(frozen=True)
class Check:
    """A condition: the row has this version, else nothing is written."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True)
class Write:
    """A write of a row's value; the value None deletes the row."""

    key: str
    value: Value | None


@dataclasses.dataclass(frozen=True)
class Transaction:
    """Checks and writes that are applied atomically."""

    checks: tuple[Check, ...]
    writes: tuple[Write, ...]


class Table(Protocol):
    """The transactional table service."""

    async def read(
        self, keys: tuple[str, ...]
    ) -> result.Result[dict[str, Row], codes.Fault]:
        """Reads a consistent snapshot of rows; an absent row has version 0."""

    async def scan(
        self, prefix: str
    ) -> result.Result[dict[str, Row], codes.Fault]:
        """Reads all rows whose key starts with a prefix."""

    async def transact(
        self, transaction: Transaction
    ) -> result.Result[dict[str, int], codes.Fault]:
        """Commits a transaction; returns the new versions of rows, by key.

        After a fault with `TABLE_ANSWER_LOST` the transaction may or may not
        have committed; after any other fault it has not.
        """


@dataclasses.dataclass(frozen=True)
class Change:
    """A change of one row, as a watch delivers it.

    Attributes:
        key: Key of the row.
        version: Version of the row after the change.
        data: Bytes of the row; None when the row was removed.
    """

    key: str
    version: int
    data: bytes | None


@dataclasses.dataclass(frozen=True)
class Changes:
    """Changed rows of one table, up to a version.

    Attributes:
        rows: Changed rows, oldest change first.
        version: Version after which the next call to `changes` continues.
    """

    rows: tuple[Change, ...]
    version: int


class Watch(Protocol):
    """Watches tables that other writers change."""

    async def snapshot(self, table: str) -> result.Result[Changes, codes.Fault]:
        """Returns all rows of a table and the version to continue from."""

    async def changes(
        self, table: str, after: int, wait_s: float
    ) -> result.Result[Changes, codes.Fault]:
        """Returns the rows changed after a version; none if the wait ends.

        After a fault with `TABLE_HISTORY_LOST` the caller must take a new
        snapshot.

        Args:
            table: Name of the table.
            after: Version up to which the caller knows the table.
            wait_s: Longest wait for the first change, in seconds.
        """


class Objects(Protocol):
    """The object store."""

    async def get(self, name: str) -> result.Result[bytes | None, codes.Fault]:
        """Returns an object's bytes, or None if there is none."""

    async def put(
        self, name: str, data: bytes
    ) -> result.Result[None, codes.Fault]:
        """Writes an object, replacing any object of the same name."""


class InstanceKind:
    """Kinds of listed instances."""

    ENTRY = "entry"
    ENGINE = "engine"


@dataclasses.dataclass(frozen=True)
class ListedInstance:
    """One entry of the platform's instance list, which may be stale.

    Attributes:
        id: Unique name of the instance.
        kind: Kind of the instance, one of `InstanceKind`.
        availability_zone: Availability zone in which the instance runs.
        domain: Fabric domain of an engine; empty for entry instances.
        address: Base URL of an engine, or the address at which an entry
            instance serves callers.
        peer_address: Address at which an entry instance receives messages
            from its peers.
        is_leaving: Whether the instance is being removed.
        checks_fencing: Whether an engine rejects stale fencing numbers.
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
        """Returns the platform's current list."""
