"""Admission control of one backend server, run by its agent.

Only the agent has the complete load of its backend server, so only the agent enforces
the load bound, the workspaces' queue limits and the work ranks' latency targets. It
rejects a request immediately, before anything is sent, or queues it and sends it to the
backend server in queue order, at most ``max_running`` requests at a time.
"""

import asyncio
import time
from collections.abc import Callable, Mapping
from typing import Protocol

from bilberryspring.identifiers import (
    InstanceId,
    RankName,
    WorkspaceName,
)
from bilberryspring.policy.waiting import (
    DEFAULT_WAITING_POLICY,
    RETURNING_WAIT_EXTENSION,
    WAITING_POLICIES,
    NewRequest,
)
from bilberryspring.request.errors import ErrorKind, Failure, Outcome, make_failure
from bilberryspring.request.load_bound import (
    LoadBound,
    MeanEstimate,
    compute_excess_load,
)
from bilberryspring.request.preemption import make_rank_positions
from bilberryspring.request.retry_schedule import RetrySchedule
from bilberryspring.request.slots import make_slots
from bilberryspring.request.ticket import Ticket, TicketState, WorkItem
from bilberryspring.request.work_queue import WorkQueue
from bilberryspring.version.index import ConfigurationIndex
from bilberryspring.version.objects import Pool

__all__ = [
    "WorkItem",
    "TicketState",
    "Ticket",
    "PoolLoad",
    "Admission",
    "make_admission",
]

DEFAULT_MAX_QUEUED = 64
OVERDUE_TARGET_FACTOR = 1.5
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 300.0


class PoolLoad(Protocol):
    """View of the load of the pool's other agents."""

    def mean_load(self) -> MeanEstimate:
        """Return the estimated mean load of the pool."""

    def least_loaded(self, count: int) -> list[InstanceId]:
        """Return up to ``count`` instances with the lowest known loads."""


class Admission:
    """Queue and admission control of one backend server.

    :param pool: pool of the backend server.
    :param index: configuration in force.
    :param pool_load: view of the load of the pool's other agents.
    :param clock: monotonic time in seconds.
    :ivar load: estimated cost of admitted work that is unfinished, in the pool's load
        unit.
    :ivar is_draining: whether new work is refused because the agent is leaving.
    :ivar is_suspended: whether new work is refused because the backend server is down.
    """

    def __init__(
        self,
        pool: Pool,
        index: ConfigurationIndex,
        pool_load: PoolLoad,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.clock = clock
        self.load = 0.0
        self.is_draining = False
        self.is_backend_down = False
        self._pool = pool
        self._index = index
        self._pool_load = pool_load
        self._queue = WorkQueue(index, clock, pool.order_policy)
        rank_positions = make_rank_positions(index, self._queue.ranks_by_urgency)
        self._slots = make_slots(self._queue, pool.max_running, rank_positions, clock)
        self._retry_schedule = RetrySchedule()
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def running(self) -> int:
        """Number of requests at the backend server."""
        return self._slots.running

    @property
    def paused(self) -> int:
        """Number of requests paused in favour of more urgent ones."""
        return self._slots.paused

    @property
    def queued(self) -> int:
        """Number of requests in the queue."""
        return len(self._queue)

    @property
    def queued_by_rank(self) -> dict[RankName, int]:
        """Number of queued requests of each rank."""
        return self._queue.count_by_rank()

    @property
    def service_rate(self) -> float | None:
        """Cost per second with every slot in use, ``None`` until it is measured."""
        return self._slots.service_rate

    @property
    def drain_rate(self) -> float:
        """Cost per second that the backend server finishes with the slots now in use.

        Zero until the service rate is measured.
        """
        return self._slots.drain_rate

    def reconfigure(self, pool: Pool, index: ConfigurationIndex) -> None:
        """Apply another version of the configuration.

        :param pool: the agent's pool.
        :param index: configuration in force.
        """
        self._pool = pool
        self._index = index
        self._queue.reconfigure(index, pool.order_policy)
        rank_positions = make_rank_positions(index, self._queue.ranks_by_urgency)
        self._slots.reconfigure(pool.max_running, rank_positions)

    @property
    def slots(self) -> int:
        """Number of requests that the backend server runs concurrently."""
        return self._pool.max_running

    def get_rank_position(self, rank: RankName) -> int:
        """Return the position of a work rank; zero is the most urgent.

        :param rank: name of the rank; the least urgent one if it is not configured.
        """
        return self._slots.rank_positions[self._queue.resolve_rank(rank)].position

    def submit(self, item: WorkItem) -> Ticket | Failure:
        """Admit a request or refuse it immediately.

        :param item: the request.
        :returns: the ticket of the queued request, or a failure with the outcome
            ``not_run``.
        """
        ticket = Ticket(item, self)
        ticket.is_scheduled_retry = self._retry_schedule.is_scheduled_retry(
            item.retry_key, self.clock()
        )
        refusal = (
            self._check_availability(item)
            or self._check_workspace_limit(ticket)
            or self._check_load_bound(item)
            or self._check_wait(ticket)
        )
        if refusal is not None:
            return refusal
        self._retry_schedule.forget(item.retry_key)
        self.load += item.cost
        self._idle.clear()
        self._queue.push(ticket)
        self._slots.dispatch()
        return ticket

    def describe(self) -> dict[str, object]:
        """Return the inputs of admission decisions and their age, as log fields."""
        mean = self._pool_load.mean_load()
        return {
            "load": self.load,
            "mean_load": mean.value,
            "mean_age_s": mean.age_s,
            "queued": self.queued,
            "running": self.running,
            "slots": self.slots,
            "service_rate": self.service_rate or 0.0,
        }

    def drain(self) -> None:
        """Refuse new and queued work; running work continues."""
        self.is_draining = True
        for ticket in self._queue.drain():
            ticket.refuse(
                make_failure(
                    ErrorKind.LEAVING, hint=self._choose_alternative_instance()
                )
            )
            self.forget(ticket)

    def refuse_overdue(self) -> None:
        """Refuse queued requests that waited well beyond their rank's target.

        The wait predicted at admission reflects only the load of that moment, so some
        admitted requests turn out not to be served in time.
        """
        while overdue := [
            t for t in self._queue.list_oldest_entries() if self._is_overdue(t)
        ]:
            for ticket in overdue:
                waited_s = self.clock() - ticket.queued_s
                reason = f"{waited_s:.1f} s in the queue exceed the rank's target"
                retry_after_s = self._schedule_retry(
                    ticket, self._predict_wait_s(ticket)
                )
                ticket.refuse(
                    self._make_refusal(ErrorKind.OVERLOADED, reason, retry_after_s)
                )
                self.forget(ticket)

    def _is_overdue(self, ticket: Ticket) -> bool:
        if ticket.item.is_continuation:
            return False
        limit_s = OVERDUE_TARGET_FACTOR * self._queue.get_target_wait(ticket.rank)
        if ticket.is_scheduled_retry:
            limit_s *= 1 + RETURNING_WAIT_EXTENSION
        return self.clock() - ticket.queued_s > limit_s

    def mark_backend_down(self) -> None:
        """Refuse new and queued work because the backend server is down."""
        self.is_backend_down = True
        for ticket in self._queue.drain():
            ticket.refuse(self._make_suspended_refusal())
            self.forget(ticket)

    def mark_backend_up(self) -> None:
        """Admit work again because the backend server is up."""
        self.is_backend_down = False

    @property
    def is_available(self) -> bool:
        """Whether new work is admitted at all."""
        return not (self.is_draining or self.is_backend_down)

    def _make_suspended_refusal(self) -> Failure:
        reason = "the backend server is down"
        return make_failure(
            ErrorKind.BACKEND_UNREACHABLE,
            reason,
            hint=self._choose_alternative_instance(),
        )

    async def wait_idle(self) -> None:
        """Wait until nothing is queued or running."""
        await self._idle.wait()

    def list_usage(self, limit: int) -> list[tuple[WorkspaceName, float]]:
        """Return the workspaces with the highest usage here, as cost per second."""
        return self._queue.list_usage(limit)

    def charge_remote_usage(
        self, usage_rates: Mapping[WorkspaceName, float], elapsed_s: float
    ) -> None:
        """Charge workspaces for their usage of the pool's other backend servers.

        Nothing is charged until the service rate here is measured.

        :param usage_rates: cost per second of each workspace on the others.
        :param elapsed_s: time since the last charge.
        """
        rate = self.service_rate
        if rate is not None:
            self._queue.charge_remote_usage(usage_rates, elapsed_s, rate)

    def finish(self, ticket: Ticket, completed: bool) -> None:
        """End a queued, running or paused ticket; see :meth:`Ticket.finish`."""
        if ticket.state in (TicketState.RUNNING, TicketState.PAUSED):
            self._slots.release(ticket, completed)
        else:
            self._queue.remove(ticket)
        ticket.state = TicketState.FINISHED
        self.forget(ticket)
        self._slots.dispatch()

    def forget(self, ticket: Ticket) -> None:
        """Remove a ticket that is not at the backend server from the load."""
        if ticket.state is TicketState.REFUSED:
            self._queue.remove(ticket)
        self.load -= ticket.unfinished_cost
        ticket.unfinished_cost = 0.0
        if not (self.running or self.paused or len(self._queue)):
            self.load = 0.0
            self._idle.set()

    def _check_availability(self, item: WorkItem) -> Failure | None:
        if self.is_draining:
            return make_failure(
                ErrorKind.LEAVING, hint=self._choose_alternative_instance()
            )
        if self.is_backend_down:
            return self._make_suspended_refusal()
        return None

    def _check_workspace_limit(self, ticket: Ticket) -> Failure | None:
        item = ticket.item
        configured = self._index.workspaces.get(item.workspace)
        limit = configured.max_queued if configured is not None else DEFAULT_MAX_QUEUED
        if self._queue.count_queued(item.workspace) < limit:
            return None
        reason = f"{limit} requests of the workspace are queued"
        retry_after_s = self._predict_wait_s(ticket) / limit
        return self._make_refusal(ErrorKind.WORKSPACE_LIMIT, reason, retry_after_s)

    def _check_load_bound(self, item: WorkItem) -> Failure | None:
        bound = LoadBound(self._pool.load_bound, self._pool.load_floor)
        mean = self._pool_load.mean_load()
        excess = compute_excess_load(self.load, item.cost, mean, bound)
        if excess <= 0.0:
            return None
        rate = self.service_rate
        retry_after_s = excess / rate if rate else MIN_RETRY_AFTER_S
        reason = f"load {self.load:.0f} is at the bound over mean {mean.value:.0f}"
        return self._make_refusal(ErrorKind.LOAD_BOUND, reason, retry_after_s)

    def _check_wait(self, ticket: Ticket) -> Failure | None:
        wait_s = ticket.predicted_wait_s = self._predict_wait_s(ticket)
        if wait_s <= 0.0:
            return None
        item = ticket.item
        decide = WAITING_POLICIES[self._pool.waiting_policy or DEFAULT_WAITING_POLICY]
        refusal = decide(
            NewRequest(
                predicted_wait_s=wait_s,
                predicted_service_s=self._predict_service_s(item),
                target_wait_s=self._queue.get_target_wait(item.rank),
                remaining_s=item.deadline_monotonic_s - self.clock(),
                is_scheduled_retry=ticket.is_scheduled_retry,
                queued_requests=len(self._queue),
            )
        )
        if refusal is None:
            return None
        retry_after_s = self._schedule_retry(ticket, wait_s)
        return self._make_refusal(ErrorKind.OVERLOADED, refusal.reason, retry_after_s)

    def _schedule_retry(self, ticket: Ticket, wait_s: float) -> float:
        """Return the time after which a refused caller should retry, in seconds.

        :param ticket: the refused request.
        :param wait_s: its predicted wait.
        """
        item = ticket.item
        excess_s = max(wait_s - self._queue.get_target_wait(item.rank), 0.0)
        # Only the first instance that the router tries schedules the retry, because the
        # caller receives the retry time of that instance.
        key = item.retry_key if item.attempt <= 1 else ""
        service_s = 0.0
        if key and self.service_rate:
            rate = self._queue.compute_rank_rate(item.rank, self.service_rate)
            service_s = item.cost / rate
        return self._retry_schedule.schedule(
            key, item.rank, excess_s, service_s, self.clock()
        )

    def _predict_service_s(self, item: WorkItem) -> float:
        """Return the predicted time in a slot, zero until the rate is measured."""
        rate = self.service_rate
        return item.cost * self._pool.max_running / rate if rate else 0.0

    def _predict_wait_s(self, ticket: Ticket) -> float:
        """Return the predicted wait for a slot, zero until the rate is measured."""
        if not len(self._queue) and self.running < self._pool.max_running:
            return 0.0
        rate = self.service_rate
        if not rate:
            return 0.0
        slot_wait_s = self._slots.predict_wait(rate)
        predicted_s = slot_wait_s + self._queue.predict_wait(ticket, rate)
        return max(predicted_s, self._measure_wait_ahead_s(ticket))

    def _measure_wait_ahead_s(self, ticket: Ticket) -> float:
        """Return the longest wait so far of a request that is served before this one.

        The predicted wait covers only what is queued now, but later requests of smaller
        workspaces are served first as well.
        """
        queued_s = (each.queued_s for each in self._queue.list_entries_ahead(ticket))
        return self.clock() - min(queued_s, default=self.clock())

    def _make_refusal(
        self, kind: ErrorKind, reason: str, retry_after_s: float
    ) -> Failure:
        clamped_s = min(max(retry_after_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        return make_failure(
            kind,
            reason,
            outcome=Outcome.NOT_RUN,
            retry_after_s=clamped_s,
            hint=self._choose_alternative_instance(),
        )

    def _choose_alternative_instance(self) -> str:
        return next(iter(self._pool_load.least_loaded(1)), "")


def make_admission(
    pool: Pool, index: ConfigurationIndex, pool_load: PoolLoad
) -> Admission:
    """Return the admission control of one backend server.

    :param pool: pool of the backend server.
    :param index: configuration in force.
    :param pool_load: view of the load of the pool's other agents, such as a load
        exchange.
    """
    return Admission(pool, index, pool_load)
