"""Keeps the sheet in force and announces accepted sheets to peers."""

import asyncio
from collections.abc import Callable

from returns import pipeline, result

from tamarackpier import codes, invariants, logs, metrics, tasks
from tamarackpier.sheet import change, codec, model, parse, store

__all__ = ["SheetKeeper"]


class SheetKeeper:
    """Holds the sheet that one entry instance has in force.

    Attributes:
        store: The store of accepted sheets.
        sheet: The sheet in force.
        encoded: The sheet in force, encoded for peers.
        in_force_at: Time at which the sheet came into force on this instance,
            in seconds since the epoch.
        announce: Announces an accepted sheet to the live peers; takes its
            version, the version of its base, and the patch between them.
        on_change: Callback that runs after each change of the sheet.
        metrics: The counters of the instance.
        invariants: The runtime checks of the instance.
        wall_clock: Returns the wall-clock time, in seconds since the epoch.
    """

    def __init__(
        self,
        sheet_store: store.SheetStore,
        announce: Callable[[int, int, bytes], "asyncio.Future[None]"],
        on_change: Callable[[], None],
        counts: metrics.Metrics,
        checks: invariants.Invariants,
        wall_clock: Callable[[], float],
    ) -> None:
        self.store = sheet_store
        self.announce = announce
        self.on_change = on_change
        self.metrics = counts
        self.invariants = checks
        self.wall_clock = wall_clock
        self.sheet = model.empty()
        self.encoded = codec.encode(self.sheet)
        self.in_force_at = wall_clock()
        self._announcements = tasks.Tasks()

    def adopt(self, sheet: model.Sheet) -> bool:
        """Puts a sheet in force if it is newer than the current one.

        Returns:
            Whether the sheet was newer.
        """
        if sheet.version <= self.sheet.version:
            return False
        self.invariants.hold(
            "version_never_falls",
            sheet.version > self.sheet.version,
            lambda: f"{self.sheet.version} to {sheet.version}",
        )
        self.sheet = sheet
        self.encoded = codec.encode(sheet)
        self.in_force_at = self.wall_clock()
        self.metrics.count("sheet_adopted")
        logs.event("sheet in force", sheet_version=sheet.version)
        self.on_change()
        return True

    async def submit(
        self,
        data: bytes,
        operator: str,
        base_version: int | None,
        is_patch: bool,
    ) -> result.Result[store.Acceptance, tuple[codes.Fault, ...]]:
        """Submits a sheet or patch, puts the result in force and announces it.

        Args:
            data: The sheet or patch as CSV.
            operator: The operator who submits it.
            base_version: The version that the submission must replace or
                change; None for any.
            is_patch: Whether the data is a patch.

        Returns:
            The acceptance, or the faults for which it was refused.
        """
        accept = self.store.patch if is_patch else self.store.submit
        submit_result = await accept(data, operator, base_version)
        if not pipeline.is_successful(submit_result):
            for fault in submit_result.failure()[:1]:
                self.metrics.count("sheet_refused", fault.code.name)
            return submit_result
        acceptance = submit_result.unwrap()
        self.adopt(acceptance.sheet)
        if acceptance.base is not None:
            self._start_announcement(acceptance, acceptance.base)
        return submit_result

    def handle_announcement(
        self, version: int, base_version: int, patch: bytes
    ) -> int:
        """Applies a patch that a peer announced, if it fits the sheet in force.

        Args:
            version: The version that the patch leads to.
            base_version: The version that the patch applies to.
            patch: The patch as CSV.

        Returns:
            The version in force afterwards.
        """
        if version <= self.sheet.version or base_version != self.sheet.version:
            return self.sheet.version
        parse_result = parse.parse(patch, None, is_patch=True)
        sheet_result = parse_result.bind(
            lambda changes: change.apply(self.sheet, changes)
        )
        if pipeline.is_successful(sheet_result):
            sheet = sheet_result.unwrap()
            self.adopt(model.Sheet(version, sheet.rows))
        else:
            self.metrics.count("peer_refused", "bad_patch")
        return self.sheet.version

    async def poll(self) -> None:
        """Loads the latest accepted sheet if it is newer than the current."""
        version_result = await self.store.head_version()
        if not pipeline.is_successful(version_result):
            self.metrics.count(
                "sheet_poll_failed", version_result.failure().code.name
            )
            return
        if version_result.unwrap() > self.sheet.version:
            load_result = await self.store.load()
            if pipeline.is_successful(load_result):
                self.adopt(load_result.unwrap())

    def adopt_encoded(self, data: bytes) -> bool:
        """Puts a sheet that a peer sent in force, if it is valid and newer.

        Returns:
            Whether the sheet was put in force.
        """
        try:
            return self.adopt(codec.decode(data))
        except ValueError:
            self.metrics.count("peer_refused", "bad_sheet")
            return False

    def _start_announcement(
        self, acceptance: store.Acceptance, base: model.Sheet
    ) -> None:
        patch = parse.patch_csv(
            (row_change.key, row_change.after)
            for row_change in change.diff(base, acceptance.sheet)
        )
        self._announcements.start(
            self.announce(acceptance.sheet.version, base.version, patch)
        )
