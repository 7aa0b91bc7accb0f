"""One admitted request: its place in the queue or at the backend server."""

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
    """One request as the queue sees it.

    :param cost: estimated tokens, or one for a plain service.
    :param deadline_monotonic_s: the queue gives the request up at this time.
    :param is_crash_suspect: a backend server crashed while it ran this request.
    :param return_key: recognises the request when its caller tries again later.
    :param is_continuation: its caller already has a part of the answer.
    :param attempt: one for the first instance that the router tries.
    """

    request_id: RequestId
    workspace: WorkspaceName
    rank: RankName
    cost: float
    deadline_monotonic_s: float
    is_crash_suspect: bool = False
    return_key: str = ""
    attempt: int = 1
    is_continuation: bool = False


class TicketState(Enum):
    """Where an admitted request is."""

    QUEUED = "queued"
    RUNNING = "running"
    PAUSED = "paused"
    FINISHED = "finished"
    REFUSED = "refused"


class TicketOwner(Protocol):
    """Queue that a ticket belongs to."""

    clock: Callable[[], float]
    load: float

    def finish(self, ticket: "Ticket", completed: bool) -> None:
        """End a queued or running ticket."""

    def forget(self, ticket: "Ticket") -> None:
        """Take a ticket that is not at the backend server out of the load."""


class Ticket:
    """Place of one admitted request in the queue or at the backend server.

    Whoever got the ticket calls :meth:`finish` in every case.

    :ivar predicted_wait_s: wait that was predicted when it was admitted.
    :ivar is_returning: its caller was refused before and came back when told.
    :ivar was_paused_long: it waited its time for more urgent work and is not paused
        again.
    :ivar controls: pauses and resumes the running request; ``None`` if it cannot be.
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
        self.controls: Any = None
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
        """Estimated work."""
        return self.item.cost

    @property
    def is_continuation(self) -> bool:
        """Whether its caller already has a part of the answer."""
        return self.item.is_continuation

    async def turn(self) -> Failure | None:
        """Wait until the request may be sent to the backend server.

        :returns: ``None`` when it may, else a failure; nothing was sent then.
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

    def progress(self, done_cost: float) -> None:
        """Note work that the backend server has done.

        :param done_cost: work done since the last call, in the pool's load unit.
        """
        done = min(done_cost, self.unfinished_cost)
        self.unfinished_cost -= done
        self._owner.load -= done

    def finish(self, *, completed: bool = False) -> None:
        """End the ticket: it ran, failed, or is given up. May be called twice.

        :param completed: whether the backend server did all of it. Otherwise the
            workspace gets back what no progress was noted for.
        """
        if self.state not in (TicketState.FINISHED, TicketState.REFUSED):
            self._owner.finish(self, completed)

    def start(self, now_s: float) -> None:
        """Let the request run."""
        self.state = TicketState.RUNNING
        self.started_s = now_s
        self._resolve_slot_future()

    def pause(self, now_s: float) -> None:
        """Note that the request gave its slot away."""
        self.state = TicketState.PAUSED
        self.paused_s = now_s

    def resume(self, now_s: float) -> None:
        """Note that the request has a slot again."""
        self.state = TicketState.RUNNING
        self.started_s += now_s - self.paused_s

    def refuse(self, failure: Failure) -> None:
        """Turn the queued request away."""
        self.state = TicketState.REFUSED
        self._refusal = failure
        self._resolve_slot_future()

    def _resolve_slot_future(self) -> None:
        if self._slot_future is not None and not self._slot_future.done():
            self._slot_future.set_result(None)
