"""Scheduling of retries of refused requests, spread over time.

If all refused callers retried as soon as the queue has capacity, most would be refused
again. Each refusal therefore reserves the service time that its request needs, and the
next refused caller of the rank gets a later retry time. A caller that retries on time
is recognised by its key and may wait a little longer than a new one; no slot is kept
free for it.
"""

from collections import OrderedDict
from dataclasses import dataclass

from bilberryspring.identifiers import RankName

__all__ = ["RetrySchedule"]

MAX_SCHEDULED_RETRIES = 4096
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 300.0
EARLY_TOLERANCE_S = 0.05
LATE_TOLERANCE_S = 5.0
# Share of a rank's service rate that is scheduled for retries.
RESERVED_RATE_SHARE = 0.75


@dataclass(frozen=True, slots=True)
class _ScheduledRetry:
    """A retry time that a caller was given.

    :param due_s: monotonic time of the retry.
    """

    due_s: float


class RetrySchedule:
    """Scheduled retries of the refused requests of one queue."""

    def __init__(self):
        self._reserved_until_s: dict[RankName, float] = {}
        self._scheduled_retries: OrderedDict[str, _ScheduledRetry] = OrderedDict()

    def schedule(
        self,
        retry_key: str,
        rank: RankName,
        excess_s: float,
        service_s: float,
        now_s: float,
    ) -> float:
        """Schedule the retry of a refused request.

        :param retry_key: key that identifies the request when it is retried; empty if
            it cannot be recognised.
        :param rank: rank of the request.
        :param excess_s: time until the queue is short enough for the request.
        :param service_s: time in which the rank is served the request's cost.
        :param now_s: monotonic time.
        :returns: seconds until the retry; a caller that retries early gets the same
            time again.
        """
        scheduled = self._scheduled_retries.get(retry_key) if retry_key else None
        if scheduled is not None and scheduled.due_s > now_s:
            return max(scheduled.due_s - now_s, MIN_RETRY_AFTER_S)
        start_s = max(self._reserved_until_s.get(rank, 0.0), now_s + excess_s)
        latest_s = now_s + MAX_RETRY_AFTER_S
        due_s = min(max(start_s, now_s + MIN_RETRY_AFTER_S), latest_s)
        self._reserved_until_s[rank] = min(
            due_s + service_s / RESERVED_RATE_SHARE, latest_s
        )
        if retry_key:
            self._store(retry_key, _ScheduledRetry(due_s))
        return due_s - now_s

    def is_scheduled_retry(self, retry_key: str, now_s: float) -> bool:
        """Return whether a request is retried at its scheduled time.

        :param retry_key: key of the request; empty if it cannot be recognised.
        :param now_s: monotonic time.
        """
        scheduled = self._scheduled_retries.get(retry_key) if retry_key else None
        if scheduled is None:
            return False
        early_s = scheduled.due_s - EARLY_TOLERANCE_S
        return early_s <= now_s <= scheduled.due_s + LATE_TOLERANCE_S

    def forget(self, retry_key: str) -> None:
        """Remove the scheduled retry of a request that was admitted."""
        self._scheduled_retries.pop(retry_key, None)

    def _store(self, retry_key: str, scheduled: _ScheduledRetry) -> None:
        self._scheduled_retries[retry_key] = scheduled
        self._scheduled_retries.move_to_end(retry_key)
        if len(self._scheduled_retries) > MAX_SCHEDULED_RETRIES:
            self._scheduled_retries.popitem(last=False)
