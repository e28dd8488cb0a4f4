"""Runs all tests and prints the failed ones and the totals.

Failures of tests that KNOWN-RED.txt lists are printed as known and do not fail
the run. The file has one line `test: NAME` for each of these tests.
"""

import pathlib
import sys

import nose2

from tests import counts

_KNOWN_RED_PATH = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
_NAME_PREFIX = "test: "


def _known_red() -> set[str]:
    """Returns the names of the tests that are known to fail."""
    if not _KNOWN_RED_PATH.exists():
        return set()
    lines = _KNOWN_RED_PATH.read_text().splitlines()
    return {
        line.removeprefix(_NAME_PREFIX).strip()
        for line in lines
        if line.startswith(_NAME_PREFIX)
    }


def main() -> int:
    """Runs the tests; returns the exit status."""
    test_result = nose2.discover(
        argv=["nose2", "-s", "tests", "-t", "."],
        plugins=["tests.counts"],
        exit=False,
    ).result
    known_red = _known_red()
    known_failures = [name for name in counts.FAILED if name in known_red]
    unexpected_failures = [
        name for name in counts.FAILED if name not in known_red
    ]
    for name in known_failures:
        print(f"known red: {name}")
    for name in unexpected_failures:
        print(f"failed: {name}")
    passed = len(counts.RAN) - len(counts.FAILED)
    print(f"{passed} passed, {len(unexpected_failures)} failed")
    has_failed = not counts.RAN or unexpected_failures
    has_failed = has_failed or (
        not test_result.wasSuccessful() and not known_failures
    )
    return 1 if has_failed else 0


if __name__ == "__main__":
    sys.exit(main())
