"""An event loop on a virtual clock, which advances instead of waiting.

Code that reads the time from the loop runs hours of virtual time in seconds,
and every run is the same.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

__all__ = ["VirtualLoop", "run"]

T = TypeVar("T")


class _VirtualTimeSelector(selectors.DefaultSelector):  # type: ignore[misc, valid-type]
    """Advances the clock of a loop by the time that the loop would sleep.

    Attributes:
        loop: Event loop that uses the selector.
    """

    loop: "VirtualLoop"

    def select(self, timeout: float | None = None) -> list[Any]:
        """Returns the events that are ready, or advances the clock.

        Raises:
            RuntimeError: No event is ready and no timer is set, so that the
                loop would wait forever.
        """
        ready = super().select(0)
        if ready or timeout == 0:
            return ready
        if timeout is None:
            raise RuntimeError("deadlock: every task waits and no timer is set")
        self.loop.now += timeout
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on a virtual clock.

    Attributes:
        now: Virtual time, in seconds; it starts at 0.
    """

    def __init__(self) -> None:
        selector = _VirtualTimeSelector()
        super().__init__(selector)
        selector.loop = self
        self.now = 0.0

    def time(self) -> float:
        """Returns the virtual time, in seconds."""
        return self.now


def run(main: Coroutine[Any, Any, T]) -> T:
    """Runs a coroutine to completion on a virtual clock."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
