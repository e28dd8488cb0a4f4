"""Runs a program to its end and then ends its process."""

import asyncio
import os
import sys
from collections.abc import Coroutine
from typing import Any, NoReturn

from tamarackpier import logs

__all__ = ["run"]


def run(program: Coroutine[Any, Any, None]) -> NoReturn:
    """Runs a program; its process ends with status 0 when it returns.

    The interpreter is not torn down: that waits for threads of libraries, and
    all that is to be closed has been.

    Args:
        program: The program. What it raises ends the process as usual.
    """
    asyncio.run(program)
    logs.flush()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(0)
