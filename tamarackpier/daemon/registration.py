"""Registers an instance in the store, where it finds its first peers."""

import asyncio
import random
from collections.abc import Callable

from returns import pipeline

from tamarackpier import failures, logs
from tamarackpier.peer import roster as roster_lib
from tamarackpier.platform import decode, interfaces

__all__ = ["Registration"]

_INSTANCES_TABLE = "instance"
_PEER_ADDRESS_FIELD = "peer_address"
_MAX_LOGGED = 200  # Characters of an error about a row that are logged.


class Registration:
    """Registers this instance and reads who else is registered.

    Attributes:
        presence: Presence of this instance.
        rows: The store.
        rng: Source of the pauses between tries.
        on_registered: Called with the peer addresses of all instances.
        count: Number of registered instances; 0 before the store answered.
    """

    def __init__(
        self,
        presence: roster_lib.Presence,
        rows: interfaces.Table,
        rng: random.Random,
        on_registered: Callable[[set[str]], None],
    ) -> None:
        self.presence = presence
        self.rows = rows
        self.rng = rng
        self.on_registered = on_registered
        self.count = 0
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Registers this instance, also if it did so before."""
        self.close()
        self._task = asyncio.ensure_future(self._register())

    def close(self) -> None:
        """Ends the tries."""
        if self._task is not None:
            self._task.cancel()

    async def _register(self) -> None:
        """Registers this instance; tries until the store answers."""
        key = f"{_INSTANCES_TABLE}/{self.presence.id}"
        value = {_PEER_ADDRESS_FIELD: self.presence.peer_address}
        write = interfaces.Transaction((), (interfaces.Write(key, value),))
        while True:
            write_result = await self.rows.transact(write)
            scan_result = await self.rows.scan(f"{_INSTANCES_TABLE}/")
            if pipeline.is_successful(write_result) and pipeline.is_successful(
                scan_result
            ):
                break
            await asyncio.sleep(self.rng.uniform(0.2, 0.6))
        registered = {
            _registered_address(row) for row in scan_result.unwrap().values()
        } - {""}
        self.count = len(registered)
        self.on_registered(registered)


def _registered_address(row: interfaces.Row) -> str:
    """Returns the peer address in a registration; empty if it has none."""
    try:
        return decode.address((row.value or {})[_PEER_ADDRESS_FIELD])
    except failures.MALFORMED as error:
        logs.event(
            "registration unreadable",
            key=row.key,
            detail=failures.describe(error)[:_MAX_LOGGED],
        )
        return ""
