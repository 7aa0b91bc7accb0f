"""Short waits for room under the load bound, the most urgent request first.

The bound is judged against a mean that is up to a second old. While load rises
everywhere at once, every agent of a pool is above it for a moment, although the pool
as a whole has room. The last agent that a router asks therefore keeps the request
for about as long as the mean takes to arrive, and refuses it at once when that time
is over. A request that waits here is not part of the load: the backend server gets
it only once it fits.
"""

import asyncio
import bisect
import itertools
from dataclasses import dataclass, field

from bilberryspring.request.admission import Admission
from bilberryspring.request.errors import ErrorKind, Failure
from bilberryspring.request.ticket import Ticket, WorkItem

__all__ = ["RoomQueue", "make_room_queue"]

RETRY_INTERVAL_S = 0.02
_RETRIED_KINDS = {ErrorKind.LOAD_BOUND, ErrorKind.OVERLOADED}


@dataclass(order=True, slots=True)
class _WaitingRequest:
    """A request that waits, in the order of service."""

    is_new_request: bool
    rank_position: int
    sequence_number: int
    item: WorkItem = field(compare=False)
    wait_until_s: float = field(compare=False)
    refusal: Failure = field(compare=False)
    result: asyncio.Future[Ticket | Failure] = field(compare=False)


class RoomQueue:
    """Requests that wait for room at one agent, as many as it runs at once.

    :param admission: decides whether a request fits.
    """

    def __init__(self, admission: Admission):
        self._admission = admission
        self._waiting: list[_WaitingRequest] = []
        self._sequence_numbers = itertools.count()
        self._task: asyncio.Task[None] | None = None

    def __len__(self) -> int:
        return len(self._waiting)

    async def submit(self, item: WorkItem, wait_s: float) -> Ticket | Failure:
        """Admit a request, waiting for room if there is none.

        :param item: the request.
        :param wait_s: longest wait; zero answers at once.
        :returns: a ticket, or the failure with the outcome ``not_run``.
        """
        refusal = self._admission.submit(item)
        if isinstance(refusal, Ticket) or not self._may_wait(item, refusal, wait_s):
            return refusal
        loop = asyncio.get_running_loop()
        waiter = _WaitingRequest(
            not item.is_continuation,
            self._admission.get_rank_position(item.rank),
            next(self._sequence_numbers),
            item,
            min(self._admission.clock() + wait_s, item.deadline_monotonic_s),
            refusal,
            loop.create_future(),
        )
        bisect.insort(self._waiting, waiter)
        if self._task is None or self._task.done():
            self._task = loop.create_task(self._retry_periodically())
        try:
            return await waiter.result
        except asyncio.CancelledError:
            _finish_unclaimed_ticket(waiter)
            raise
        finally:
            if waiter in self._waiting:
                self._waiting.remove(waiter)

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
        """Admit the first request if it fits by now; refuse what waited too long.

        One at a time, because every agent of the pool acts on the same news of a risen
        mean. The first request holds up those behind it, so that small requests do not
        keep a large one out.
        """
        first = self._waiting[0]
        result = self._admission.submit(first.item)
        if isinstance(result, Ticket) or result.kind not in _RETRIED_KINDS:
            self._complete(first, result)
        else:
            first.refusal = result
        now_s = self._admission.clock()
        for waiter in [each for each in self._waiting if now_s >= each.wait_until_s]:
            self._complete(waiter, waiter.refusal)

    def _complete(self, waiter: _WaitingRequest, result: Ticket | Failure) -> None:
        self._waiting.remove(waiter)
        if not waiter.result.done():
            waiter.result.set_result(result)
        elif isinstance(result, Ticket):
            result.finish()


def _finish_unclaimed_ticket(waiter: _WaitingRequest) -> None:
    """Give back a place that was found just before the wait was cancelled."""
    if waiter.result.done() and not waiter.result.cancelled():
        result = waiter.result.result()
        if isinstance(result, Ticket):
            result.finish()


def make_room_queue(admission: Admission) -> RoomQueue:
    """Return an empty queue.

    :param admission: decides whether a request fits.
    """
    return RoomQueue(admission)
