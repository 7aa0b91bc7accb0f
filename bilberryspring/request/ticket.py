"""Tickets: the state of admitted requests in the queue and at the backend server."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from bilberryspring.identifiers import RankName, RequestId, WorkspaceName
from bilberryspring.request.errors import ErrorKind, Failure, Outcome, make_failure

__all__ = ["WorkItem", "TicketState", "TicketOwner", "Ticket"]


@dataclass(frozen=True, slots=True)
class WorkItem:
    """Attributes of a request that admission and the queue use.

    :param request_id: id of the request.
    :param workspace: workspace that is charged.
    :param rank: work rank that the request is queued in.
    :param cost: estimated work in the pool's load unit: tokens, or one for a request to
        a plain service.
    :param deadline_monotonic_s: monotonic time at which the request leaves the queue
        with a failure.
    :param is_crash_suspect: whether a backend server crashed while it ran a request
        with this content.
    :param retry_key: key that identifies the request when its caller retries it; empty
        if it cannot be recognised.
    :param is_continuation: whether its caller already received a part of the response.
    :param attempt: number of the router's try, one for the first instance.
    """

    request_id: RequestId
    workspace: WorkspaceName
    rank: RankName
    cost: float
    deadline_monotonic_s: float
    is_crash_suspect: bool = False
    retry_key: str = ""
    attempt: int = 1
    is_continuation: bool = False


class TicketState(Enum):
    """State of an admitted request."""

    QUEUED = "queued"
    RUNNING = "running"
    PAUSED = "paused"
    FINISHED = "finished"
    REFUSED = "refused"


class TicketOwner(Protocol):
    """Admission control that a ticket belongs to.

    :ivar clock: monotonic time in seconds.
    :ivar load: estimated cost of admitted work that is unfinished.
    """

    clock: Callable[[], float]
    load: float

    def finish(self, ticket: "Ticket", completed: bool) -> None:
        """End a queued, running or paused ticket."""

    def forget(self, ticket: "Ticket") -> None:
        """Remove a ticket that is not at the backend server from the load."""


class Ticket:
    """An admitted request in the queue or at the backend server.

    Its holder calls :meth:`finish` in every case.

    :param item: the request.
    :param owner: admission control that issued the ticket.
    :ivar state: current state.
    :ivar unfinished_cost: part of the cost for which no progress was recorded.
    :ivar queued_s: monotonic time at which the request entered the queue.
    :ivar started_s: monotonic time at which it got a slot, shifted by the duration of
        each pause; zero before that.
    :ivar paused_s: monotonic time of the latest pause, zero if there was none.

    :ivar predicted_wait_s: wait in the queue that was predicted at admission.
    :ivar is_scheduled_retry: whether the request was refused before and is retried at
        the time it was given.
    :ivar has_reached_pause_limit: whether it was paused for longer than the limit; it
        is then not paused again.
    :ivar controls: callbacks that pause and resume the running request, ``None`` if it
        cannot be paused.
    """

    def __init__(self, item: WorkItem, owner: TicketOwner):
        self.item = item
        self.state = TicketState.QUEUED
        self.unfinished_cost = item.cost
        self.queued_s = owner.clock()
        self.started_s = 0.0
        self.paused_s = 0.0
        self.predicted_wait_s = 0.0
        self.is_scheduled_retry = False
        self.stream_controls: Any = None
        self.has_reached_pause_limit = False
        self._owner = owner
        self._slot_future: asyncio.Future[Failure | None] | None = None
        self._refusal: Failure | None = None

    @property
    def workspace(self) -> WorkspaceName:
        """Workspace that is charged."""
        return self.item.workspace

    @property
    def rank(self) -> RankName:
        """Work rank that the request is queued in."""
        return self.item.rank

    @property
    def cost(self) -> float:
        """Estimated work in the pool's load unit."""
        return self.item.cost

    @property
    def has_partial_response(self) -> bool:
        """Whether its caller already received a part of the response."""
        return self.item.is_continuation

    async def wait_for_slot(self) -> Failure | None:
        """Wait for a slot at the backend server.

        :returns: ``None`` once the request may be sent; otherwise the failure, and the
            request must not be sent.
        """
        if self.state is TicketState.QUEUED:
            self._slot_future = asyncio.get_running_loop().create_future()
            remaining_s = self.item.deadline_monotonic_s - self._owner.clock()
            await asyncio.wait([self._slot_future], timeout=max(remaining_s, 0.0))
        if self.state is TicketState.QUEUED:
            self.refuse(
                make_failure(
                    ErrorKind.DEADLINE_EXCEEDED,
                    "the deadline passed in the queue",
                    outcome=Outcome.NOT_RUN,
                )
            )
            self._owner.forget(self)
        return self._refusal

    def report_progress(self, done_cost: float) -> None:
        """Record work that the backend server has done.

        :param done_cost: work done since the last call, in the pool's load unit.
        """
        done = min(done_cost, self.unfinished_cost)
        self.unfinished_cost -= done
        self._owner.load -= done

    def finish(self, *, completed: bool = False) -> None:
        """End the ticket of a request that ran, failed or was abandoned.

        Further calls have no effect.

        :param completed: whether the backend server finished all of it. Otherwise the
            workspace is refunded the cost for which no progress was recorded.
        """
        if self.state not in (TicketState.FINISHED, TicketState.REFUSED):
            self._owner.finish(self, completed)

    def start(self, now_s: float) -> None:
        """Give the request a slot."""
        self.state = TicketState.RUNNING
        self.started_s = now_s
        self._resolve_slot_future()

    def pause(self, now_s: float) -> None:
        """Record that the request was paused and lost its slot."""
        self.state = TicketState.PAUSED
        self.paused_s = now_s

    def resume(self, now_s: float) -> None:
        """Record that the request has a slot again."""
        self.state = TicketState.RUNNING
        self.started_s += now_s - self.paused_s

    def refuse(self, failure: Failure) -> None:
        """Refuse the queued request."""
        self.state = TicketState.REFUSED
        self._refusal = failure
        self._resolve_slot_future()

    def _resolve_slot_future(self) -> None:
        if self._slot_future is not None and not self._slot_future.done():
            self._slot_future.set_result(None)
