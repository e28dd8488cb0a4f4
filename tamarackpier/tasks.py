"""Keeps references to background tasks that no caller awaits."""

import asyncio
from collections.abc import Awaitable
from typing import Any

__all__ = ["Tasks"]


class Tasks:
    """Background tasks; the event loop itself holds only weak references.

    Attributes:
        running: The tasks that have not finished.
    """

    def __init__(self) -> None:
        self.running: set[asyncio.Future[Any]] = set()

    def start(self, awaitable: Awaitable[Any]) -> None:
        """Starts an awaitable as a background task."""
        task = asyncio.ensure_future(awaitable)
        self.running.add(task)
        task.add_done_callback(self.running.discard)

    def cancel(self) -> None:
        """Cancels all running tasks."""
        for task in self.running:
            task.cancel()
