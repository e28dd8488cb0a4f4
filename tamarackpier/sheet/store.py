"""Accepts sheets through the platform, and reads the accepted one.

Each version is an object; one row names the accepted version, and it changes
only by a conditional write. The object is written first, so that the row
never names what is not there.
"""

import dataclasses
import secrets
from collections.abc import Collection
from typing import Any

from returns import pipeline, result

from tamarackpier import codes
from tamarackpier.platform import interfaces
from tamarackpier.sheet import change, codec, model, parse

__all__ = ["Acceptance", "HEAD_KEY", "SheetStore"]

HEAD_KEY = "sheet/head"
_MOST_CHAIN = 32
_PATCH_TRIES = 8

Faults = tuple[codes.Fault, ...]


@dataclasses.dataclass(frozen=True)
class Acceptance:
    """A sheet that was accepted.

    Attributes:
        sheet: The whole sheet.
        base: The sheet it replaced, when this call replaced it.
        is_repeat: Whether the same sheet had been accepted before.
    """

    sheet: model.Sheet
    base: model.Sheet | None
    is_repeat: bool


@dataclasses.dataclass(frozen=True)
class _Head:
    """The row that names the accepted version.

    Attributes:
        version: The accepted version.
        objects: The objects that make it up: a whole sheet, then patches.
        nonce: Unique to the acceptance.
        operator: Who submitted it.
        row_version: Version of the row.
    """

    version: int
    objects: tuple[str, ...]
    nonce: str
    operator: str
    row_version: int

    def value(self) -> dict[str, Any]:
        return {
            "version": self.version,
            "objects": list(self.objects),
            "nonce": self.nonce,
            "operator": self.operator,
        }


class SheetStore:
    """The accepted sheets.

    Attributes:
        table: Holds the head row.
        objects: Holds the sheets.
        accounts: Known client accounts.
    """

    def __init__(
        self,
        table: interfaces.Table,
        objects: interfaces.Objects,
        accounts: Collection[str],
    ) -> None:
        self.table = table
        self.objects = objects
        self.accounts = accounts

    async def head_version(self) -> result.Result[int, codes.Fault]:
        """Returns the accepted version; 0 before the first."""
        head = await self._head()
        return head.map(lambda found: found.version)

    async def load(self) -> result.Result[model.Sheet, codes.Fault]:
        """Returns the accepted sheet."""
        head = await self._head()
        if not pipeline.is_successful(head):
            return result.Failure(head.failure())
        return await self._load(head.unwrap())

    async def submit(
        self, data: bytes, operator: str, base_version: int | None = None
    ) -> result.Result[Acceptance, Faults]:
        """Replaces the sheet by an exported one.

        Args:
            data: The sheet as exported.
            operator: Who submits it.
            base_version: The version that it must replace; None for any.
        """
        parsed = parse.parse(data, self.accounts)
        if not pipeline.is_successful(parsed):
            return result.Failure(parsed.failure())
        current = await self._current(base_version)
        if not pipeline.is_successful(current):
            return result.Failure(current.failure())
        head, base = current.unwrap()
        sheet = change.replace(base, parsed.unwrap())
        if head.version and codec.digest(sheet) == codec.digest(base):
            return result.Success(Acceptance(base, None, True))
        return await self._accept(head, base, sheet, operator, None)

    async def patch(
        self, data: bytes, operator: str, base_version: int | None = None
    ) -> result.Result[Acceptance, Faults]:
        """Changes some rows of the sheet.

        A patch that loses a race is applied to the winner's sheet, unless it
        was made for one version.
        """
        parsed = parse.parse(data, self.accounts, is_patch=True)
        if not pipeline.is_successful(parsed):
            return result.Failure(parsed.failure())
        for _ in range(_PATCH_TRIES):
            done = await self._patch_once(
                parsed.unwrap(), data, operator, base_version
            )
            if pipeline.is_successful(done) or base_version is not None:
                return done
            if done.failure()[0].code is not codes.SHEET_CONFLICT:
                return done
        return done

    async def _patch_once(
        self,
        changes: tuple[parse.Change, ...],
        data: bytes,
        operator: str,
        base_version: int | None,
    ) -> result.Result[Acceptance, Faults]:
        current = await self._current(base_version)
        if not pipeline.is_successful(current):
            return result.Failure(current.failure())
        head, base = current.unwrap()
        applied = change.apply(base, changes)
        if not pipeline.is_successful(applied):
            return result.Failure(applied.failure())
        sheet = applied.unwrap()
        if sheet.rows == base.rows:
            return result.Success(Acceptance(base, None, True))
        return await self._accept(head, base, sheet, operator, data)

    async def _current(
        self, base_version: int | None
    ) -> result.Result[tuple[_Head, model.Sheet], Faults]:
        found = await self._head()
        if not pipeline.is_successful(found):
            return result.Failure((found.failure(),))
        head = found.unwrap()
        if base_version is not None and base_version != head.version:
            return result.Failure((_conflict(head, base_version),))
        loaded = await self._load(head)
        if not pipeline.is_successful(loaded):
            return result.Failure((loaded.failure(),))
        return result.Success((head, loaded.unwrap()))

    async def _accept(
        self,
        head: _Head,
        base: model.Sheet,
        sheet: model.Sheet,
        operator: str,
        patch: bytes | None,
    ) -> result.Result[Acceptance, Faults]:
        nonce = secrets.token_hex(8)
        name = f"sheets/{sheet.version}-{nonce}"
        is_patch = patch is not None and 0 < len(head.objects) < _MOST_CHAIN
        body = patch if is_patch and patch is not None else codec.encode(sheet)
        put = await self.objects.put(name, body)
        if not pipeline.is_successful(put):
            return result.Failure((put.failure(),))
        chain = (*head.objects, name) if is_patch else (name,)
        after = _Head(sheet.version, chain, nonce, operator, 0)
        fault = await self._write_head(head, after)
        if fault is not None:
            return result.Failure((fault,))
        return result.Success(Acceptance(sheet, base, False))

    async def _write_head(
        self, before: _Head, after: _Head
    ) -> codes.Fault | None:
        written = await self.table.transact(
            interfaces.Transaction(
                (interfaces.Check(HEAD_KEY, before.row_version),),
                (interfaces.Write(HEAD_KEY, after.value()),),
            )
        )
        if pipeline.is_successful(written):
            return None
        fault = written.failure()
        if fault.code not in (codes.TABLE_CONFLICT, codes.TABLE_ANSWER_LOST):
            return fault
        return await self._settle(before, after, fault)

    async def _settle(
        self, before: _Head, after: _Head, fault: codes.Fault
    ) -> codes.Fault | None:
        """Reads back who won, or whether an unanswered write was done."""
        found = await self._head()
        if not pipeline.is_successful(found):
            return codes.fault(
                codes.SHEET_NOT_SETTLED,
                "submit the same sheet again to learn whether it counts",
                retry_after_s=2.0,
            )
        head = found.unwrap()
        if head.nonce == after.nonce:
            return None
        if head.version > before.version:
            return _conflict(head, before.version)
        if fault.code is codes.TABLE_ANSWER_LOST:
            return codes.fault(
                codes.SHEET_NOT_SETTLED,
                "the write may still arrive; submit the same sheet again",
                retry_after_s=2.0,
            )
        return fault

    async def _head(self) -> result.Result[_Head, codes.Fault]:
        read = await self.table.read((HEAD_KEY,))
        if not pipeline.is_successful(read):
            return result.Failure(read.failure())
        row = read.unwrap()[HEAD_KEY]
        if row.value is None:
            return result.Success(_Head(0, (), "", "", 0))
        return result.Success(
            _Head(
                row.value["version"],
                tuple(row.value["objects"]),
                row.value["nonce"],
                row.value["operator"],
                row.version,
            )
        )

    async def _load(
        self, head: _Head
    ) -> result.Result[model.Sheet, codes.Fault]:
        sheet = model.empty()
        for index, name in enumerate(head.objects):
            got = await self.objects.get(name)
            if not pipeline.is_successful(got):
                return result.Failure(got.failure())
            data = got.unwrap()
            if data is None:
                return _lost_object(name)
            if index == 0:
                sheet = codec.decode(data)
                continue
            changes = parse.parse(data, None, is_patch=True)
            applied = changes.bind(
                lambda found, base=sheet: change.apply(base, found)  # type: ignore[misc]
            )
            if not pipeline.is_successful(applied):
                return _lost_object(name)
            sheet = applied.unwrap()
        return result.Success(sheet)


def _lost_object(name: str) -> result.Result[model.Sheet, codes.Fault]:
    detail = f"object {name} is missing or damaged"
    return result.Failure(codes.fault(codes.OBJECTS_UNAVAILABLE, detail))


def _conflict(head: _Head, base_version: int) -> codes.Fault:
    return codes.fault(
        codes.SHEET_CONFLICT,
        f"version {head.version} by {head.operator} was accepted first; this "
        f"one was made for version {base_version}",
    )
