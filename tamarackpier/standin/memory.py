"""The platform's services in memory, with scripted faults."""

import asyncio
import dataclasses
import enum
from collections.abc import Callable

from returns import result

from tamarackpier import codes
from tamarackpier.platform import interfaces

__all__ = [
    "Faults",
    "MemoryInstanceList",
    "MemoryObjects",
    "MemoryTable",
    "TableFault",
]


class TableFault(enum.Enum):
    """Kind of fault that affects calls to a service."""

    NONE = "none"
    DOWN = "down"
    ANSWER_LOST = "answer_lost"
    THROTTLED = "throttled"


@dataclasses.dataclass
class Faults:
    """Faults in force, which services can share.

    Attributes:
        kind: Kind of fault that affects each call.
        delay_s: Delay of each call to a table, in seconds.
    """

    kind: TableFault = TableFault.NONE
    delay_s: float = 0.0


class MemoryTable(interfaces.Table):
    """A transactional table that counts its calls.

    Attributes:
        rows: Rows that are present, by key.
        faults: Faults in force.
        read_count: Number of reads and scans.
        write_count: Number of attempted transactions.
        on_commit: Functions called after each commit, so that tests can check
            every state of the table.
        last_version: Version of the most recent write.
    """

    def __init__(self, faults: Faults | None = None) -> None:
        self.rows: dict[str, interfaces.Row] = {}
        self.faults = faults if faults is not None else Faults()
        self.read_count = 0
        self.write_count = 0
        self.on_commit: list[Callable[[interfaces.Transaction], None]] = []
        self.last_version = 0

    async def read(
        self, keys: tuple[str, ...]
    ) -> result.Result[dict[str, interfaces.Row], codes.Fault]:
        """Reads a consistent snapshot of rows."""
        fault = await self._apply_faults()
        if fault is not None:
            return result.Failure(fault)
        self.read_count += 1
        return result.Success({key: self._row(key) for key in keys})

    async def scan(
        self, prefix: str
    ) -> result.Result[dict[str, interfaces.Row], codes.Fault]:
        """Reads all rows whose key starts with a prefix."""
        fault = await self._apply_faults()
        if fault is not None:
            return result.Failure(fault)
        self.read_count += 1
        return result.Success(
            {
                key: row
                for key, row in sorted(self.rows.items())
                if key.startswith(prefix)
            }
        )

    async def transact(
        self, transaction: interfaces.Transaction
    ) -> result.Result[dict[str, int], codes.Fault]:
        """Commits a transaction unless a check or a fault prevents it."""
        fault = await self._apply_faults()
        if fault is not None:
            return result.Failure(fault)
        answer = self.commit(transaction)
        if self.faults.kind is TableFault.ANSWER_LOST:
            return result.Failure(
                codes.fault(codes.TABLE_ANSWER_LOST, "the answer was dropped")
            )
        return answer

    def commit(
        self, transaction: interfaces.Transaction
    ) -> result.Result[dict[str, int], codes.Fault]:
        """Commits a transaction regardless of the faults in force."""
        self.write_count += 1
        for check in transaction.checks:
            if self._row(check.key).version != check.version:
                return result.Failure(
                    codes.fault(codes.TABLE_CONFLICT, check.key)
                )
        versions = {}
        for write in transaction.writes:
            versions[write.key] = self._write(write)
        for hook in self.on_commit:
            hook(transaction)
        return result.Success(versions)

    def _row(self, key: str) -> interfaces.Row:
        return self.rows.get(key, interfaces.Row(key, 0, None))

    def _write(self, write: interfaces.Write) -> int:
        if write.value is None:
            self.rows.pop(write.key, None)
            return 0
        # All rows share one version counter, so that a row that is deleted and
        # written again never gets a version that a stale reader still holds.
        self.last_version += 1
        self.rows[write.key] = interfaces.Row(
            write.key, self.last_version, write.value
        )
        return self.last_version

    async def _apply_faults(self) -> codes.Fault | None:
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.kind is TableFault.DOWN:
            return codes.fault(codes.TABLE_UNAVAILABLE, "down")
        if self.faults.kind is TableFault.THROTTLED:
            return codes.fault(codes.TABLE_THROTTLED, "rate limit")
        return None


class MemoryObjects(interfaces.Objects):
    """An object store in memory."""

    def __init__(self, faults: Faults | None = None) -> None:
        self.objects: dict[str, bytes] = {}
        self.faults = faults if faults is not None else Faults()

    async def get(self, name: str) -> result.Result[bytes | None, codes.Fault]:
        """Returns an object's bytes, or None if it does not exist."""
        if self.faults.kind is TableFault.DOWN:
            return result.Failure(
                codes.fault(codes.OBJECTS_UNAVAILABLE, "down")
            )
        return result.Success(self.objects.get(name))

    async def put(
        self, name: str, data: bytes
    ) -> result.Result[None, codes.Fault]:
        """Writes an object."""
        if self.faults.kind is TableFault.DOWN:
            return result.Failure(
                codes.fault(codes.OBJECTS_UNAVAILABLE, "down")
            )
        self.objects[name] = data
        return result.Success(None)


class MemoryInstanceList(interfaces.InstanceList):
    """A list of instances that a test or an operator edits."""

    def __init__(self) -> None:
        self.instances: dict[str, interfaces.ListedInstance] = {}

    async def list(
        self,
    ) -> result.Result[tuple[interfaces.ListedInstance, ...], codes.Fault]:
        """Returns the listed instances."""
        return result.Success(tuple(self.instances.values()))
