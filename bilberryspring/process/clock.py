"""Clocks that deadlines are measured on."""

import time

__all__ = ["read_elapsed_s"]


def read_elapsed_s() -> float:
    """Return seconds since the machine's start, suspended time included.

    The monotonic clock stands still while a machine is suspended; callers go on
    waiting, so their deadlines need a clock that does not.

    >>> read_elapsed_s() > 0
    True
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
