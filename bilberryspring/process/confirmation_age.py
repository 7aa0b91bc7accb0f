"""Age of the store's last confirmation of what a router holds.

A router holds copies of what the store contains, each with a bound on the time within
which a change must be in force. The copy of one prefix is confirmed only by a response
of the store on that prefix, here or at another router that holds the same: neither the
watch of another prefix nor the absence of news shows that it is still current.
"""

import time
from collections.abc import Callable

__all__ = ["ConfirmationAge", "make_confirmation_age"]

# Fractions of the time within which a change must be in force. A copy is read again
# once its confirmation is older; the rest of the time is for a read over a connection
# that turns out to be silent, and for its repetition. Routers that watch for all others
# come first, so that these seldom read.
WATCHER_SHARE = 0.35
OTHERS_SHARE = 0.6


class ConfirmationAge:
    """The time since the store last confirmed a copy.

    :param bound_s: time in seconds within which a change must be in force.
    :param read_clock: monotonic clock, in seconds.
    :ivar is_store_watcher: returns whether this router reads the store for others too.
    """

    def __init__(
        self, bound_s: float, read_clock: Callable[[], float] = time.monotonic
    ):
        self.bound_s = bound_s
        self.is_store_watcher: Callable[[], bool] = lambda: True
        self._read_clock = read_clock
        self._confirmed_s: float | None = None

    @property
    def age_s(self) -> float:
        """Seconds since the store confirmed the copy; negative if it never did."""
        if self._confirmed_s is None:
            return -1.0
        return self._read_clock() - self._confirmed_s

    @property
    def is_due(self) -> bool:
        """Whether this router must ask the store itself whether the copy is current."""
        if 0 <= self.age_s < self.bound_s * WATCHER_SHARE:
            return False
        share = WATCHER_SHARE if self.is_store_watcher() else OTHERS_SHARE
        return not 0 <= self.age_s < self.bound_s * share

    def confirm(self, age_s: float = 0.0) -> None:
        """Record that the store confirmed the copy, here or at another router.

        An earlier confirmation than the latest known one changes nothing.

        :param age_s: seconds since it did; negative if it never did.
        """
        if age_s < 0:
            return
        confirmed_s = self._read_clock() - age_s
        if self._confirmed_s is None or confirmed_s > self._confirmed_s:
            self._confirmed_s = confirmed_s


def make_confirmation_age(
    bound_s: float, read_clock: Callable[[], float] = time.monotonic
) -> ConfirmationAge:
    """Return the age of a copy that was never confirmed.

    :param bound_s: time in seconds within which a change must be in force.
    :param read_clock: monotonic clock, in seconds.

    >>> age = make_confirmation_age(2.0, lambda: 10.0)
    >>> age.is_due
    True
    >>> age.confirm(0.4)
    >>> age.is_due, round(age.age_s, 1)
    (False, 0.4)
    """
    return ConfirmationAge(bound_s, read_clock)
