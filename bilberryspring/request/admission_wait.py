"""Short waits for capacity under the load bound, the most urgent request first.

The load bound is relative to a mean load that is up to a second old. While the load of
a pool rises everywhere, every agent is briefly above the bound, although the pool as a
whole has capacity. The last agent that a router tries therefore holds the request for
about as long as an update of the mean takes to arrive, and refuses it when that time is
over. A request that waits here does not count in the load: it is admitted only once it
fits.
"""

import asyncio
import bisect
import itertools
from dataclasses import dataclass, field

from bilberryspring.request.admission import Admission
from bilberryspring.request.errors import ErrorKind, Failure
from bilberryspring.request.ticket import Ticket, WorkItem

__all__ = ["AdmissionWaitQueue", "make_admission_wait_queue"]

RETRY_INTERVAL_S = 0.02
_RETRIED_KINDS = {ErrorKind.LOAD_BOUND, ErrorKind.OVERLOADED}


@dataclass(order=True, slots=True)
class _WaitingRequest:
    """A request that waits; instances sort in the order in which they are served.

    :param is_new_request: whether the caller has no part of the response yet.
    :param rank_position: position of its work rank, zero for the most urgent.
    :param sequence_number: order of arrival.
    :param item: the request.
    :param wait_until_s: monotonic time at which the wait ends.
    :param refusal: latest refusal by admission, returned when the wait ends.
    :param result: the ticket or the final refusal.
    """

    is_new_request: bool
    rank_position: int
    sequence_number: int
    item: WorkItem = field(compare=False)
    wait_until_s: float = field(compare=False)
    refusal: Failure = field(compare=False)
    result: asyncio.Future[Ticket | Failure] = field(compare=False)


class AdmissionWaitQueue:
    """Queue of requests that wait for capacity under one agent's load bound.

    New requests wait only while fewer wait than the backend server runs concurrently;
    continuations are not limited.

    :param admission: admission control that each waiting request is submitted to.
    """

    def __init__(self, admission: Admission):
        self._admission = admission
        self._waiting: list[_WaitingRequest] = []
        self._sequence_numbers = itertools.count()
        self._task: asyncio.Task[None] | None = None

    def __len__(self) -> int:
        return len(self._waiting)

    async def submit(self, item: WorkItem, wait_s: float) -> Ticket | Failure:
        """Admit a request, waiting for capacity if there is none.

        :param item: the request.
        :param wait_s: longest wait in seconds; zero returns a refusal immediately.
        :returns: a ticket, or a failure with the outcome ``not_run``.
        """
        refusal = self._admission.submit(item)
        if isinstance(refusal, Ticket) or not self._may_wait(item, refusal, wait_s):
            return refusal
        loop = asyncio.get_running_loop()
        waiting = _WaitingRequest(
            not item.is_continuation,
            self._admission.get_rank_position(item.rank),
            next(self._sequence_numbers),
            item,
            min(self._admission.clock() + wait_s, item.deadline_monotonic_s),
            refusal,
            loop.create_future(),
        )
        bisect.insort(self._waiting, waiting)
        if self._task is None or self._task.done():
            self._task = loop.create_task(self._retry_periodically())
        try:
            return await waiting.result
        except asyncio.CancelledError:
            _finish_unclaimed_ticket(waiting)
            raise
        finally:
            if waiting in self._waiting:
                self._waiting.remove(waiting)

    def _may_wait(self, item: WorkItem, refusal: Failure, wait_s: float) -> bool:
        if wait_s <= 0.0:
            return False
        if item.is_continuation:
            return refusal.kind in _RETRIED_KINDS
        is_full = len(self._waiting) >= self._admission.slots
        return refusal.kind is ErrorKind.LOAD_BOUND and not is_full

    async def _retry_periodically(self) -> None:
        while self._waiting:
            await asyncio.sleep(RETRY_INTERVAL_S)
            self.retry()

    def retry(self) -> None:
        """Admit the first request if it fits now, and refuse expired ones.

        Only one request is admitted per call, because every agent of the pool reacts to
        the same update of the mean. Requests behind the first one wait for it, so that
        small requests do not starve a large one.
        """
        first = self._waiting[0]
        result = self._admission.submit(first.item)
        if isinstance(result, Ticket) or result.kind not in _RETRIED_KINDS:
            self._complete(first, result)
        else:
            first.refusal = result
        now_s = self._admission.clock()
        for waiting in [each for each in self._waiting if now_s >= each.wait_until_s]:
            self._complete(waiting, waiting.refusal)

    def _complete(self, waiting: _WaitingRequest, result: Ticket | Failure) -> None:
        self._waiting.remove(waiting)
        if not waiting.result.done():
            waiting.result.set_result(result)
        elif isinstance(result, Ticket):
            result.finish()


def _finish_unclaimed_ticket(waiting: _WaitingRequest) -> None:
    """Finish a ticket that was issued just before the wait was cancelled."""
    if waiting.result.done() and not waiting.result.cancelled():
        result = waiting.result.result()
        if isinstance(result, Ticket):
            result.finish()


def make_admission_wait_queue(admission: Admission) -> AdmissionWaitQueue:
    """Return an empty queue.

    :param admission: admission control that each waiting request is submitted to.
    """
    return AdmissionWaitQueue(admission)
