"""Keeps the sheet in force and spreads newly accepted ones."""

import asyncio
from collections.abc import Callable

from returns import pipeline, result

from tamarackpier import codes, invariants, logs, metrics, tasks
from tamarackpier.sheet import change, codec, model, parse, store

__all__ = ["SheetKeeper"]


class SheetKeeper:
    """The sheet that one entry instance has in force.

    Attributes:
        store: The accepted sheets.
        sheet: The sheet in force.
        encoded: Its bytes, for peers.
        in_force_at: Wall-clock time since which it is in force here.
        spread: Tells live peers of an acceptance: version, base, patch.
        on_change: Called after each change of the sheet.
    """

    def __init__(
        self,
        sheets: store.SheetStore,
        spread: Callable[[int, int, bytes], "asyncio.Future[None]"],
        on_change: Callable[[], None],
        counts: metrics.Metrics,
        checks: invariants.Invariants,
        wall: Callable[[], float],
    ) -> None:
        self.store = sheets
        self.spread = spread
        self.on_change = on_change
        self.metrics = counts
        self.invariants = checks
        self.wall = wall
        self.sheet = model.empty()
        self.encoded = codec.encode(self.sheet)
        self.in_force_at = wall()
        self._spreading = tasks.Tasks()

    def adopt(self, sheet: model.Sheet) -> bool:
        """Puts a sheet in force if it is newer; returns whether it is."""
        if sheet.version <= self.sheet.version:
            return False
        self.invariants.hold(
            "version_never_falls",
            sheet.version > self.sheet.version,
            lambda: f"{self.sheet.version} to {sheet.version}",
        )
        self.sheet = sheet
        self.encoded = codec.encode(sheet)
        self.in_force_at = self.wall()
        self.metrics.count("sheet_adopted")
        logs.event("sheet in force", sheet_version=sheet.version)
        self.on_change()
        return True

    async def submit(
        self, data: bytes, operator: str, base: int | None, is_patch: bool
    ) -> result.Result[store.Acceptance, tuple[codes.Fault, ...]]:
        """Has a sheet or patch accepted, puts it in force and spreads it."""
        accept = self.store.patch if is_patch else self.store.submit
        done = await accept(data, operator, base)
        if not pipeline.is_successful(done):
            for fault in done.failure()[:1]:
                self.metrics.count("sheet_refused", fault.code.name)
            return done
        accepted = done.unwrap()
        self.adopt(accepted.sheet)
        if accepted.base is not None:
            self._start_spread(accepted, accepted.base)
        return done

    def handle_announcement(self, version: int, base: int, patch: bytes) -> int:
        """Takes a peer's announcement; returns the version in force."""
        if version <= self.sheet.version or base != self.sheet.version:
            return self.sheet.version
        parsed = parse.parse(patch, None, is_patch=True)
        applied = parsed.bind(lambda found: change.apply(self.sheet, found))
        if pipeline.is_successful(applied):
            sheet = applied.unwrap()
            self.adopt(model.Sheet(version, sheet.rows))
        else:
            self.metrics.count("peer_refused", "bad_patch")
        return self.sheet.version

    async def poll(self) -> None:
        """Reads the accepted version, and the sheet if it is newer."""
        head = await self.store.head_version()
        if not pipeline.is_successful(head):
            self.metrics.count("sheet_poll_failed", head.failure().code.name)
            return
        if head.unwrap() > self.sheet.version:
            loaded = await self.store.load()
            if pipeline.is_successful(loaded):
                self.adopt(loaded.unwrap())

    def adopt_encoded(self, data: bytes) -> bool:
        """Takes a sheet that a peer sent; returns whether it is in force."""
        try:
            return self.adopt(codec.decode(data))
        except ValueError:
            self.metrics.count("peer_refused", "bad_sheet")
            return False

    def _start_spread(
        self, accepted: store.Acceptance, base: model.Sheet
    ) -> None:
        patch = parse.patch_csv(
            (each.key, each.after) for each in change.diff(base, accepted.sheet)
        )
        self._spreading.start(
            self.spread(accepted.sheet.version, base.version, patch)
        )
