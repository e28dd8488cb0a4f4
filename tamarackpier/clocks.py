"""Clock readings that the monotonic clock does not provide."""

import time

__all__ = ["suspended_s"]


def suspended_s() -> float:
    """Returns the seconds that the machine has been suspended since boot.

    The monotonic clock stops during a suspension; the clocks of other
    machines do not.
    """
    since_boot_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    return since_boot_s - time.monotonic()
