"""Retry budgets that bound the retries of all routers at each service."""

import math
from collections import deque
from collections.abc import Callable

from bilberryspring.identifiers import PoolName

__all__ = ["FleetRetryBudget", "make_fleet_retry_budget"]

# Part of the configured ratio and extra that the routers use; the rest is a margin for
# routers that join or return before the others know of them.
USABLE_SHARE = 0.7
# Parts of the ratio and of the extra that a router uses in its first window. The same
# machine may have spent a whole part right before the start, which this process does
# not know. Where each machine starts once, both lives stay within the whole.
FIRST_RATIO_SHARE = 0.4
FIRST_EXTRA_SHARE = 0.35
# A router that has just started does not know yet with how many it shares the extra.
COUNTING_S = 2.0


class _ServiceWindow:
    """First tries and retries at one service in a sliding window."""

    def __init__(self) -> None:
        self.first_try_times_s: deque[float] = deque()
        self.retry_times_s: deque[float] = deque()

    def remove_before(self, since_s: float) -> None:
        for times_s in (self.first_try_times_s, self.retry_times_s):
            while times_s and times_s[0] < since_s:
                times_s.popleft()


class FleetRetryBudget:
    """Bounds this router's retries at each service in a sliding window.

    A retry at one service is paid for by requests for that service alone. Each router
    uses an equal part of the extra. A lost router's part is given to the others once
    its retries have left the window.

    :param ratio: allowed retries per request, over all routers.
    :param extra: allowed retries per window and service beyond the ratio, over all
        routers.
    :param window_s: length of the window.
    :param read_clock: returns monotonic time in seconds.
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
        self._started_s = self._counted_s = -math.inf
        self._services: dict[PoolName, _ServiceWindow] = {}
        # Numbers of routers with the time at which each was last known, highest first.
        self._router_counts: deque[tuple[int, float]] = deque()

    def set_limits(self, ratio: float, extra: float, window_s: float) -> None:
        """Set the limits; earlier requests and retries still count.

        :param ratio: allowed retries per request, over all routers.
        :param extra: allowed retries per window and service beyond the ratio, over all
            routers.
        :param window_s: length of the window.
        """
        self._ratio = ratio * USABLE_SHARE
        self._extra = extra * USABLE_SHARE
        self._window_s = window_s

    def start(self, has_others: bool) -> None:
        """Begin the first window of this process.

        :param has_others: whether other routers may run.
        """
        self._started_s = self._read_clock()
        self._counted_s = self._started_s + (COUNTING_S if has_others else 0.0)

    def record_router_count(self, count: int) -> None:
        """Record the number of routers that share the budget.

        :param count: number of routers that are known now, with this one.
        """
        while self._router_counts and self._router_counts[-1][0] <= count:
            self._router_counts.pop()
        self._router_counts.append((count, self._read_clock()))

    @property
    def router_count(self) -> int:
        """Highest number of routers that was known within the window."""
        since_s = self._read_clock() - self._window_s
        while len(self._router_counts) > 1 and self._router_counts[0][1] < since_s:
            self._router_counts.popleft()
        return self._router_counts[0][0] if self._router_counts else 1

    def record_first_try(self, pool: PoolName) -> None:
        """Count a request that is sent for the first time.

        :param pool: service that it is for.
        """
        window = self._services.setdefault(pool, _ServiceWindow())
        window.first_try_times_s.append(self._read_clock())

    def can_spend(self, pool: PoolName) -> bool:
        """Return whether one more retry is within the budget.

        :param pool: service that the retry is for.
        """
        now_s = self._read_clock()
        window = self._services.setdefault(pool, _ServiceWindow())
        window.remove_before(now_s - self._window_s)
        earned = self._ratio * len(window.first_try_times_s)
        extra = self._extra / self.router_count if now_s >= self._counted_s else 0.0
        if now_s - self._started_s < self._window_s:
            earned *= FIRST_RATIO_SHARE
            extra *= FIRST_EXTRA_SHARE
        return len(window.retry_times_s) + 1 <= earned + extra

    def spend(self, pool: PoolName) -> bool:
        """Count one more retry.

        :param pool: service that the retry is for.
        :returns: whether the budget allows it; if not, nothing is counted.

        >>> budget = make_fleet_retry_budget(0.5, 2, 10.0, lambda: 0.0)
        >>> budget.record_first_try("desk")
        >>> [budget.spend("desk"), budget.spend("desk")]
        [True, False]
        """
        if not self.can_spend(pool):
            return False
        self._services[pool].retry_times_s.append(self._read_clock())
        return True

    def remove_expired(self) -> None:
        """Forget what has left the window, and services without requests in it."""
        since_s = self._read_clock() - self._window_s
        for pool, window in list(self._services.items()):
            window.remove_before(since_s)
            if not window.first_try_times_s and not window.retry_times_s:
                del self._services[pool]


def make_fleet_retry_budget(
    ratio: float, extra: float, window_s: float, read_clock: Callable[[], float]
) -> FleetRetryBudget:
    """Return an unused budget of a process that has run for longer than a window.

    :param ratio: allowed retries per request, over all routers.
    :param extra: allowed retries per window and service beyond the ratio, over all
        routers.
    :param window_s: length of the window.
    :param read_clock: returns monotonic time in seconds.
    """
    return FleetRetryBudget(ratio, extra, window_s, read_clock)
