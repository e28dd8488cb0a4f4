"""Starts an entry instance; run as `python3 -m` with this module's name.

A SIGHUP that arrives before its handler is installed would end the process,
and importing the program takes some tenths of a second. It can be ignored
during that time, because the settings are read afterwards.
"""

import importlib
import signal

__all__ = ["main"]


def main() -> None:
    """Ignores SIGHUP until the program handles it, and runs the program."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    importlib.import_module("tamarackpier.daemon.hosted_main").main()


if __name__ == "__main__":
    main()
