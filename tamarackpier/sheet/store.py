"""Stores accepted sheets on the platform and reads the last accepted one.

Each version is stored as an object, either a whole sheet or a patch of the
previous version. One table row, the head, names the accepted version and the
objects that it consists of; it changes only by a conditional write. The object
is written first, so that the head never names an object that does not exist.
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
# Number of objects of a version, from which the next patch is stored as a
# whole sheet.
_MAX_OBJECTS = 32
_MAX_PATCH_ATTEMPTS = 8

Faults = tuple[codes.Fault, ...]


@dataclasses.dataclass(frozen=True)
class Acceptance:
    """Result of submitting a sheet or a patch that was accepted.

    Attributes:
        sheet: Accepted sheet.
        base: Sheet that it replaced; None if this submission replaced none.
        is_repeat: Whether the accepted sheet already had the submitted rows.
    """

    sheet: model.Sheet
    base: model.Sheet | None
    is_repeat: bool


@dataclasses.dataclass(frozen=True)
class _Head:
    """The table row that names the accepted version.

    Attributes:
        version: Accepted version; 0 if no sheet has been accepted.
        objects: Names of the objects that it consists of: a whole sheet, then
            patches in the order of their versions.
        nonce: Value that is unique to the acceptance.
        operator: Operator who submitted the version.
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
    """Store of the accepted sheets.

    Attributes:
        table: Table with the head row.
        objects: Object store with the sheets and patches.
        accounts: Configured client accounts.
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
        """Returns the accepted version; 0 if no sheet has been accepted."""
        head = await self._head()
        return head.map(lambda row: row.version)

    async def load(self) -> result.Result[model.Sheet, codes.Fault]:
        """Returns the accepted sheet; empty if no sheet has been accepted."""
        head = await self._head()
        if not pipeline.is_successful(head):
            return result.Failure(head.failure())
        return await self._load(head.unwrap())

    async def submit(
        self, data: bytes, operator: str, base_version: int | None = None
    ) -> result.Result[Acceptance, Faults]:
        """Replaces the accepted sheet.

        Args:
            data: Contents of the CSV file with the whole sheet.
            operator: Operator who submits the sheet.
            base_version: Version that it must replace; None for any.

        Returns:
            The acceptance, or every fault of the sheet.
        """
        parse_result = parse.parse(data, self.accounts)
        if not pipeline.is_successful(parse_result):
            return result.Failure(parse_result.failure())
        accepted_result = await self._read_accepted(base_version)
        if not pipeline.is_successful(accepted_result):
            return result.Failure(accepted_result.failure())
        head, base = accepted_result.unwrap()
        sheet = change.replace(base, parse_result.unwrap())
        if head.version and codec.digest(sheet) == codec.digest(base):
            return result.Success(Acceptance(base, None, True))
        return await self._accept(head, base, sheet, operator, None)

    async def patch(
        self, data: bytes, operator: str, base_version: int | None = None
    ) -> result.Result[Acceptance, Faults]:
        """Changes some rows of the accepted sheet.

        A patch that loses a race against another change is applied to the new
        sheet, unless `base_version` names the version that it must change.

        Args:
            data: Contents of the CSV file with the patch.
            operator: Operator who submits the patch.
            base_version: Version that it must change; None for any.

        Returns:
            The acceptance, or every fault of the patch.
        """
        parse_result = parse.parse(data, self.accounts, is_patch=True)
        if not pipeline.is_successful(parse_result):
            return result.Failure(parse_result.failure())
        for _ in range(_MAX_PATCH_ATTEMPTS):
            acceptance = await self._patch_once(
                parse_result.unwrap(), data, operator, base_version
            )
            if pipeline.is_successful(acceptance) or base_version is not None:
                return acceptance
            if acceptance.failure()[0].code is not codes.SHEET_CONFLICT:
                return acceptance
        return acceptance

    async def _patch_once(
        self,
        changes: tuple[parse.Change, ...],
        data: bytes,
        operator: str,
        base_version: int | None,
    ) -> result.Result[Acceptance, Faults]:
        accepted_result = await self._read_accepted(base_version)
        if not pipeline.is_successful(accepted_result):
            return result.Failure(accepted_result.failure())
        head, base = accepted_result.unwrap()
        apply_result = change.apply(base, changes)
        if not pipeline.is_successful(apply_result):
            return result.Failure(apply_result.failure())
        sheet = apply_result.unwrap()
        if sheet.rows == base.rows:
            return result.Success(Acceptance(base, None, True))
        return await self._accept(head, base, sheet, operator, data)

    async def _read_accepted(
        self, base_version: int | None
    ) -> result.Result[tuple[_Head, model.Sheet], Faults]:
        """Reads the head and the accepted sheet.

        Returns:
            Both, or a conflict if `base_version` is not the accepted version,
            or the fault of the platform.
        """
        read_result = await self._head()
        if not pipeline.is_successful(read_result):
            return result.Failure((read_result.failure(),))
        head = read_result.unwrap()
        if base_version is not None and base_version != head.version:
            return result.Failure((_conflict_fault(head, base_version),))
        load_result = await self._load(head)
        if not pipeline.is_successful(load_result):
            return result.Failure((load_result.failure(),))
        return result.Success((head, load_result.unwrap()))

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
        stores_patch = (
            patch is not None and 0 < len(head.objects) < _MAX_OBJECTS
        )
        body = (
            patch if stores_patch and patch is not None else codec.encode(sheet)
        )
        put_result = await self.objects.put(name, body)
        if not pipeline.is_successful(put_result):
            return result.Failure((put_result.failure(),))
        object_names = (*head.objects, name) if stores_patch else (name,)
        new_head = _Head(sheet.version, object_names, nonce, operator, 0)
        fault = await self._write_head(head, new_head)
        if fault is not None:
            return result.Failure((fault,))
        return result.Success(Acceptance(sheet, base, False))

    async def _write_head(
        self, old_head: _Head, new_head: _Head
    ) -> codes.Fault | None:
        commit_result = await self.table.transact(
            interfaces.Transaction(
                (interfaces.Check(HEAD_KEY, old_head.row_version),),
                (interfaces.Write(HEAD_KEY, new_head.value()),),
            )
        )
        if pipeline.is_successful(commit_result):
            return None
        fault = commit_result.failure()
        if fault.code not in (codes.TABLE_CONFLICT, codes.TABLE_ANSWER_LOST):
            return fault
        return await self._resolve_write(old_head, new_head, fault)

    async def _resolve_write(
        self, old_head: _Head, new_head: _Head, fault: codes.Fault
    ) -> codes.Fault | None:
        """Reads the head to find out whether a write took effect.

        Args:
            old_head: Head that the write was to replace.
            new_head: Head that was written.
            fault: Fault of the write, a conflict or a lost answer.

        Returns:
            None if the write took effect, or else the fault to report.
        """
        read_result = await self._head()
        if not pipeline.is_successful(read_result):
            return codes.fault(
                codes.SHEET_NOT_SETTLED,
                "the accepted version could not be read; submit the same sheet "
                "again to learn whether it was accepted",
                retry_after_s=2.0,
            )
        head = read_result.unwrap()
        if head.nonce == new_head.nonce:
            return None
        if head.version > old_head.version:
            return _conflict_fault(head, old_head.version)
        if fault.code is codes.TABLE_ANSWER_LOST:
            return codes.fault(
                codes.SHEET_NOT_SETTLED,
                "the write may still take effect; submit the same sheet again",
                retry_after_s=2.0,
            )
        return fault

    async def _head(self) -> result.Result[_Head, codes.Fault]:
        read_result = await self.table.read((HEAD_KEY,))
        if not pipeline.is_successful(read_result):
            return result.Failure(read_result.failure())
        row = read_result.unwrap()[HEAD_KEY]
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
        """Reads a whole sheet and applies the patches that follow it."""
        sheet = model.empty()
        for index, name in enumerate(head.objects):
            read_result = await self.objects.get(name)
            if not pipeline.is_successful(read_result):
                return result.Failure(read_result.failure())
            data = read_result.unwrap()
            if data is None:
                return _damaged_object_failure(name)
            if index == 0:
                sheet = codec.decode(data)
                continue
            parse_result = parse.parse(data, None, is_patch=True)
            apply_result = parse_result.bind(
                lambda changes, base=sheet: change.apply(base, changes)  # type: ignore[misc]
            )
            if not pipeline.is_successful(apply_result):
                return _damaged_object_failure(name)
            sheet = apply_result.unwrap()
        return result.Success(sheet)


def _damaged_object_failure(
    name: str,
) -> result.Result[model.Sheet, codes.Fault]:
    detail = f"sheet object {name} is missing or damaged"
    return result.Failure(codes.fault(codes.OBJECTS_UNAVAILABLE, detail))


def _conflict_fault(head: _Head, base_version: int) -> codes.Fault:
    return codes.fault(
        codes.SHEET_CONFLICT,
        f"version {head.version}, submitted by {head.operator}, was accepted "
        f"first; this submission is based on version {base_version}",
    )
