"""Return times told to refused callers, spread so that they can be met.

Callers that all return when the queue has room again would mostly be refused again.
So each refusal books the capacity that its request needs, and the next refused caller
of the rank is told a later time. A caller that returns on time is recognised by its
return key and may wait a little longer than a new one; capacity itself is not held
back for it.
"""

from collections import OrderedDict
from dataclasses import dataclass

from bilberryspring.identifiers import RankName

__all__ = ["ReturnTimes"]

MAX_PROMISES = 4096
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 300.0
EARLY_TOLERANCE_S = 0.05
LATE_TOLERANCE_S = 5.0
# Part of a rank's rate that is told to returning callers.
RESERVED_RATE_SHARE = 0.75


@dataclass(frozen=True, slots=True)
class _ScheduledRetry:
    due_s: float


class ReturnTimes:
    """Promised return times of one queue."""

    def __init__(self):
        self._reserved_until_s: dict[RankName, float] = {}
        self._scheduled_retries: OrderedDict[str, _ScheduledRetry] = OrderedDict()

    def book(
        self,
        return_key: str,
        rank: RankName,
        excess_s: float,
        service_s: float,
        now_s: float,
    ) -> float:
        """Return after how long a refused caller should try again.

        :param return_key: identifies the caller's request; empty if nothing does.
        :param rank: rank of the request.
        :param excess_s: time until the queue is short enough for it.
        :param service_s: time that the rank needs for the request's cost.
        :param now_s: monotonic time.
        :returns: seconds; the same time again for a caller that returns early.
        """
        promise = self._scheduled_retries.get(return_key) if return_key else None
        if promise is not None and promise.due_s > now_s:
            return max(promise.due_s - now_s, MIN_RETRY_AFTER_S)
        start_s = max(self._reserved_until_s.get(rank, 0.0), now_s + excess_s)
        latest_s = now_s + MAX_RETRY_AFTER_S
        due_s = min(max(start_s, now_s + MIN_RETRY_AFTER_S), latest_s)
        self._reserved_until_s[rank] = min(
            due_s + service_s / RESERVED_RATE_SHARE, latest_s
        )
        if return_key:
            self._store(return_key, _ScheduledRetry(due_s))
        return due_s - now_s

    def is_scheduled_retry(self, return_key: str, now_s: float) -> bool:
        """Return whether a caller comes back at the time it was told."""
        promise = self._scheduled_retries.get(return_key) if return_key else None
        if promise is None:
            return False
        early_s = promise.due_s - EARLY_TOLERANCE_S
        return early_s <= now_s <= promise.due_s + LATE_TOLERANCE_S

    def forget(self, return_key: str) -> None:
        """Drop the promise of a caller that was accepted."""
        self._scheduled_retries.pop(return_key, None)

    def _store(self, return_key: str, promise: _ScheduledRetry) -> None:
        self._scheduled_retries[return_key] = promise
        self._scheduled_retries.move_to_end(return_key)
        if len(self._scheduled_retries) > MAX_PROMISES:
            self._scheduled_retries.popitem(last=False)
