"""Slots of one backend server: dispatch, pausing and resumption of requests.

At most ``max_running`` requests run concurrently. A free slot goes to the head of the
queue or to a paused request. While more urgent work is queued, less urgent running work
is paused to free a slot.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine, Mapping
from typing import Any

from bilberryspring.identifiers import RankName
from bilberryspring.request.preemption import (
    MAX_PAUSE_S,
    RankPosition,
    choose_ticket_to_pause,
    choose_ticket_to_resume,
    count_guaranteed_slots,
)
from bilberryspring.request.ticket import Ticket, TicketState
from bilberryspring.request.wait_prediction import ServiceRate
from bilberryspring.request.work_queue import WorkQueue

__all__ = ["Slots", "make_slots"]

MAX_RESUME_TRIES = 20
RESUME_RETRY_INTERVAL_S = 0.1


class Slots:
    """Running and paused requests of one backend server.

    :param queue: requests that wait for a slot.
    :param max_running: number of slots.
    :param rank_positions: position and minimum share of every rank.
    :param clock: monotonic time in seconds.
    """

    def __init__(
        self,
        queue: WorkQueue,
        max_running: int,
        rank_positions: Mapping[RankName, RankPosition],
        clock: Callable[[], float],
    ):
        self.max_running = max_running
        self.rank_positions = rank_positions
        self._queue = queue
        self._clock = clock
        self._running: set[Ticket] = set()
        self._pausing: set[Ticket] = set()
        self._paused: list[Ticket] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._service_rate = ServiceRate()

    @property
    def running(self) -> int:
        """Number of requests at the backend server."""
        return len(self._running)

    @property
    def paused(self) -> int:
        """Number of requests paused in favour of more urgent ones."""
        return len(self._paused)

    @property
    def service_rate(self) -> float | None:
        """Cost per second with every slot in use, ``None`` until it is measured."""
        return self._service_rate.estimate(self.max_running, self._clock())

    @property
    def drain_rate(self) -> float:
        """Cost per second that the backend server finishes with the slots now in use.

        Zero until the service rate is measured.
        """
        return (self.service_rate or 0.0) * self.running / self.max_running

    def predict_wait(self, service_rate: float) -> float:
        """Return the predicted time until the next slot is free, in seconds.

        :param service_rate: cost per second with every slot in use.
        """
        running_cost = sum(ticket.unfinished_cost for ticket in self._running)
        return running_cost / service_rate / (self.running + 1)

    def reconfigure(
        self, max_running: int, rank_positions: Mapping[RankName, RankPosition]
    ) -> None:
        """Apply limits of another version of the configuration.

        :param max_running: number of slots.
        :param rank_positions: position and minimum share of every rank.
        """
        self.max_running = max_running
        self.rank_positions = rank_positions
        self.dispatch()

    def dispatch(self) -> None:
        """Fill the free slots, then start to pause a request for more urgent work."""
        while self.running < self.max_running:
            satisfied_ranks = self._list_satisfied_ranks()
            ticket = self._queue.peek(satisfied_ranks)
            queued_rank = (
                None if ticket is None else self._queue.resolve_rank(ticket.rank)
            )
            resumed = choose_ticket_to_resume(
                self._paused, queued_rank, self.rank_positions, self._clock()
            )
            if resumed is not None:
                self._resume(resumed)
                continue
            if ticket is None or not self._may_start(ticket):
                return
            self._queue.dequeue(ticket)
            self._running.add(ticket)
            ticket.start(self._clock())
        self._pause_for_urgent_work()

    def release(self, ticket: Ticket, completed: bool) -> None:
        """Remove a request that ended.

        :param ticket: a running or paused request.
        :param completed: whether the backend server finished all of it. Otherwise the
            workspace is refunded the cost for which no progress was recorded.
        """
        if ticket.state is TicketState.RUNNING:
            self._running.discard(ticket)
        else:
            self._paused.remove(ticket)
            completed = False
        used = ticket.cost - ticket.unfinished_cost
        if completed:
            # The rate is measured in estimated cost, the unit of all values compared
            # with it.
            now_s = self._clock()
            self._service_rate.record(ticket.cost, now_s - ticket.started_s, now_s)
            used = used or ticket.cost
        if used < ticket.cost:
            self._queue.refund(ticket, ticket.cost - used)

    def _list_satisfied_ranks(self) -> set[RankName]:
        """Return the ranks that hold at least their minimum share of the slots.

        Credit from earlier dispatches does not put these ranks before more urgent work.
        """
        counts = Counter(self._queue.resolve_rank(each.rank) for each in self._running)
        return {
            rank
            for rank, count in counts.items()
            if count
            >= count_guaranteed_slots(self.rank_positions[rank], self.max_running)
        }

    def _pause_for_urgent_work(self) -> None:
        """Start to pause a running request if more urgent work is queued."""
        ticket = self._queue.peek(self._list_satisfied_ranks())
        if ticket is None or ticket.item.is_crash_suspect:
            return
        rank = self._queue.resolve_rank(ticket.rank)
        if len(self._pausing) >= self._queue.count_by_rank()[rank]:
            return
        preempted = choose_ticket_to_pause(
            self._running - self._pausing, rank, self.rank_positions, self.max_running
        )
        if preempted is not None:
            self._pausing.add(preempted)
            self._start_task(self._pause(preempted))

    async def _pause(self, ticket: Ticket) -> None:
        is_paused = await ticket.stream_controls.pause()
        self._pausing.discard(ticket)
        if not is_paused:
            ticket.stream_controls = None
        elif ticket.state is TicketState.RUNNING:
            self._running.discard(ticket)
            self._paused.append(ticket)
            ticket.pause(self._clock())
        self.dispatch()

    def _resume(self, ticket: Ticket) -> None:
        self._paused.remove(ticket)
        self._running.add(ticket)
        now_s = self._clock()
        ticket.has_reached_pause_limit = now_s - ticket.paused_s > MAX_PAUSE_S
        ticket.resume(now_s)
        self._start_task(self._resume_stream(ticket))

    async def _resume_stream(self, ticket: Ticket) -> None:
        # A stream that stays paused would hold its slot until its deadline.
        for _ in range(MAX_RESUME_TRIES):
            if (
                await ticket.stream_controls.resume()
                or ticket.state is TicketState.FINISHED
            ):
                return
            await asyncio.sleep(RESUME_RETRY_INTERVAL_S)

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _may_start(self, ticket: Ticket) -> bool:
        """Return whether a ticket may start now.

        A request that is suspected of crashing the backend server runs alone.
        """
        if not self._running and not self._paused:
            return True
        if ticket.item.is_crash_suspect:
            return False
        return not any(running.item.is_crash_suspect for running in self._running)


def make_slots(
    queue: WorkQueue,
    max_running: int,
    rank_positions: Mapping[RankName, RankPosition],
    clock: Callable[[], float],
) -> Slots:
    """Return slots without requests.

    :param queue: requests that wait for a slot.
    :param max_running: number of slots.
    :param rank_positions: position and minimum share of every rank.
    :param clock: monotonic time in seconds.
    """
    return Slots(queue, max_running, rank_positions, clock)
