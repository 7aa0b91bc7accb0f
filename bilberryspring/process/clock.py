"""Clock for deadlines that stays correct while the machine is suspended."""

import time

__all__ = ["read_elapsed_s"]


def read_elapsed_s() -> float:
    """Return the seconds since the machine booted, including suspended time.

    The monotonic clock stops while a machine is suspended, but a caller's timeout keeps
    running, so deadlines of callers use this clock.

    >>> read_elapsed_s() > 0
    True
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
