"""Clock for deadlines that stays correct while the machine is suspended."""

import time

__all__ = ["read_boot_time_s"]


def read_boot_time_s() -> float:
    """Return the seconds since the machine booted, including suspended time.

    The monotonic clock stops while a machine is suspended, but a caller's timeout keeps
    running, so deadlines of callers use this clock.

    >>> read_boot_time_s() > 0
    True
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
