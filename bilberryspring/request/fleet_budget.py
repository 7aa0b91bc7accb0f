"""Retry budget that bounds the retries of all routers together."""

from collections import deque
from collections.abc import Callable

__all__ = ["FleetRetryBudget", "make_fleet_retry_budget"]

# Part of the configured ratio and extra that the routers use; the rest is a margin for
# routers that join or return before the others know of them.
USABLE_SHARE = 0.7


class FleetRetryBudget:
    """Bounds this router's retries in a sliding window.

    :param ratio: allowed retries per request, over all routers.
    :param extra: allowed retries per window beyond the ratio, over all routers.
    :param window_s: length of the window.
    :param read_clock: returns monotonic time in seconds.
    :ivar routers: number of routers that share the budget.
    """

    def __init__(
        self,
        ratio: float,
        extra: float,
        window_s: float,
        read_clock: Callable[[], float],
    ):
        self.set_limits(ratio, extra, window_s)
        self._read_clock = read_clock
        self._first_try_times_s: deque[float] = deque()
        self._retry_times_s: deque[float] = deque()
        self.router_count = 1

    def set_limits(self, ratio: float, extra: float, window_s: float) -> None:
        """Set the limits; earlier requests and retries still count.

        :param ratio: allowed retries per request, over all routers.
        :param extra: allowed retries per window beyond the ratio, over all routers.
        :param window_s: length of the window.
        """
        self._ratio = ratio * USABLE_SHARE
        self._extra = extra * USABLE_SHARE
        self._window_s = window_s

    def record_first_try(self) -> None:
        """Count a request that is sent for the first time."""
        self._first_try_times_s.append(self._read_clock())

    def can_spend(self) -> bool:
        """Return whether one more retry is within the budget."""
        since_s = self._read_clock() - self._window_s
        for times_s in (self._first_try_times_s, self._retry_times_s):
            while times_s and times_s[0] < since_s:
                times_s.popleft()
        allowed = (
            self._ratio * len(self._first_try_times_s) + self._extra / self.router_count
        )
        return len(self._retry_times_s) + 1 <= allowed

    def spend(self) -> bool:
        """Count one more retry.

        :returns: whether the budget allows it; if not, nothing is counted.

        >>> budget = make_fleet_retry_budget(0.5, 2, 10.0, lambda: 0.0)
        >>> budget.record_first_try()
        >>> [budget.spend(), budget.spend()]
        [True, False]
        """
        if not self.can_spend():
            return False
        self._retry_times_s.append(self._read_clock())
        return True


def make_fleet_retry_budget(
    ratio: float, extra: float, window_s: float, read_clock: Callable[[], float]
) -> FleetRetryBudget:
    """Return an unused budget.

    :param ratio: allowed retries per request, over all routers.
    :param extra: allowed retries per window beyond the ratio, over all routers.
    :param window_s: length of the window.
    :param read_clock: returns monotonic time in seconds.
    """
    return FleetRetryBudget(ratio, extra, window_s, read_clock)
