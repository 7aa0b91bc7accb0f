"""Discrete-event simulation that replays an arrival trace on a virtual clock.

Only the backend servers and the load exchange are simulated. A backend server is a
number of slots, and a request occupies one of them for the service time that the trace
gives it. The loads of other agents are refreshed at a fixed interval, so they are as
stale as those that the load exchange delivers. All decisions are made by production
code: placement, load bound, queueing, rejection, retry times and retry budget.
"""

import asyncio
import random

from bilberryspring.capability.instance_list import (
    Instance,
    InstanceState,
    Role,
)
from bilberryspring.identifiers import (
    AvailabilityZone,
    ChatKey,
    InstanceId,
    PoolName,
    Region,
    RequestId,
)
from bilberryspring.load.replay_results import (
    ReplayRecord,
    ReplayResult,
    summarize_replay,
)
from bilberryspring.load.replay_trace import RANK_LOADS, Arrival, ArrivalTrace
from bilberryspring.load.virtual_clock import run_on_virtual_clock
from bilberryspring.policy.placement import rank_candidates
from bilberryspring.policy.retry_after import choose_retry_after
from bilberryspring.request.admission import Admission
from bilberryspring.request.admission_wait import (
    AdmissionWaitQueue,
    make_admission_wait_queue,
)
from bilberryspring.request.errors import ErrorKind, Failure
from bilberryspring.request.load_bound import MeanEstimate
from bilberryspring.request.preemption import StreamControls
from bilberryspring.request.retry import (
    RetryBudget,
    compute_retry_delay,
    is_exempt_from_budget,
    make_retry_budget,
)
from bilberryspring.request.ticket import Ticket, WorkItem
from bilberryspring.version.index import ConfigurationIndex, make_index
from bilberryspring.version.objects import (
    Configuration,
    Pool,
    PoolKind,
    WorkRank,
    Workspace,
)

__all__ = ["replay_trace"]

LOAD_SAMPLE_INTERVAL_S = 0.25
OVERDUE_SWEEP_INTERVAL_S = 0.25
# Interval at which a running request reports progress and checks for a pause.
RUN_STEP_S = 0.25
LAST_ATTEMPT_MAX_WAIT_S = 1.0
MAX_ATTEMPTS_PER_SUBMISSION = 4
RETRIES_PER_FIRST_ATTEMPT = 0.2
ROUTER_COUNT = 3
MAX_CALLER_SUBMISSIONS = 5
LOAD_FLOOR_TOKENS = 500.0
MAX_QUEUED_REQUESTS = 10_000
POOL_NAME = PoolName("replay")


class _RunningRequest:
    """A request that occupies a slot and can be paused and resumed.

    :param ticket: admission ticket of the request.
    :param service_s: time in seconds for which the request occupies the slot, without
        pauses.
    """

    def __init__(self, ticket: Ticket, service_s: float) -> None:
        self._ticket = ticket
        self._remaining_s = service_s
        self._cost_per_s = ticket.cost / service_s
        self._not_paused = asyncio.Event()
        self._not_paused.set()

    async def pause(self) -> bool:
        self._not_paused.clear()
        return True

    async def resume(self) -> bool:
        self._not_paused.set()
        return True

    async def run_to_completion(self) -> None:
        self._ticket.stream_controls = StreamControls(self.pause, self.resume)
        while self._remaining_s > 0:
            await self._not_paused.wait()
            step_s = min(self._remaining_s, RUN_STEP_S)
            await asyncio.sleep(step_s)
            self._remaining_s -= step_s
            self._ticket.report_progress(self._cost_per_s * step_s)


class _SimulatedServer:
    """A simulated backend server with the admission control of its agent.

    :param name: instance identifier of the agent.
    :param simulated_pool: pool that the server belongs to.
    :param index: index of the configuration in effect.
    """

    def __init__(
        self,
        name: InstanceId,
        simulated_pool: "_SimulatedPool",
        index: ConfigurationIndex,
    ):
        self.name = name
        self._pool = simulated_pool
        clock = asyncio.get_running_loop().time
        self.admission = Admission(simulated_pool.pool, index, self, clock)
        self.room_queue: AdmissionWaitQueue = make_admission_wait_queue(self.admission)

    def mean_load(self) -> MeanEstimate:
        """Return the mean load of the pool, from the loads last sampled."""
        loads = self._pool.known_loads | {self.name: self.admission.load}
        count = len(loads)
        return MeanEstimate(
            sum(loads.values()) / count, LOAD_SAMPLE_INTERVAL_S / 2, count
        )

    def least_loaded(self, count: int) -> list[InstanceId]:
        """Return up to ``count`` other servers with the lowest sampled loads."""
        others = [name for name in self._pool.known_loads if name != self.name]
        return sorted(others, key=self._pool.known_loads.__getitem__)[:count]


class _SimulatedPool:
    """The simulated servers, the retry budgets of the routers and the sampled loads.

    :param trace: arrivals, which also give the number of servers.
    :param pool: configuration of the pool.
    :param index: index of the configuration in effect.
    """

    def __init__(self, trace: ArrivalTrace, pool: Pool, index: ConfigurationIndex):
        self.pool = pool
        names = [InstanceId(f"server-{n}") for n in range(trace.server_count)]
        self.known_loads = dict.fromkeys(names, 0.0)
        self.servers = {name: _SimulatedServer(name, self, index) for name in names}
        self.instances = [_make_instance(name) for name in names]
        self._retry_budgets = [
            make_retry_budget(RETRIES_PER_FIRST_ATTEMPT) for _ in range(ROUTER_COUNT)
        ]

    def find_retry_budget(self, arrival: Arrival) -> RetryBudget:
        """Return the retry budget of the router that receives a request."""
        return self._retry_budgets[arrival.number % ROUTER_COUNT]

    async def run_load_sampling(self) -> None:
        """Sample the loads and reject overdue queued requests, until cancelled."""
        while True:
            await asyncio.sleep(LOAD_SAMPLE_INTERVAL_S)
            for name, server in self.servers.items():
                server.admission.refuse_overdue()
                self.known_loads[name] = server.admission.load


async def _route_request(
    simulated_pool: _SimulatedPool, record: ReplayRecord
) -> float | None:
    """Attempt a request on the ranked agents in turn, as a router does.

    :param simulated_pool: pool that serves the request.
    :param record: record of the request, updated in place.
    :returns: delay in seconds before the caller may submit the request again;
        ``None`` if the request was served.
    """
    arrival = record.arrival
    budget = simulated_pool.find_retry_budget(arrival)
    budget.record_first_attempt()
    ranked = rank_candidates(
        simulated_pool.pool.placement_policy or "bounded_rendezvous",
        ChatKey(str(arrival.number)),
        simulated_pool.instances,
        simulated_pool.known_loads,
    )[:MAX_ATTEMPTS_PER_SUBMISSION]
    failures = []
    for attempt, instance in enumerate(ranked, 1):
        server = simulated_pool.servers[instance.instance_id]
        record.attempts += 1
        failure = await _attempt_on_server(
            server, record, attempt, attempt == len(ranked)
        )
        if failure is None:
            return None
        failures.append(failure)
        if failure.kind not in (ErrorKind.LOAD_BOUND, ErrorKind.OVERLOADED):
            break
        if not is_exempt_from_budget(failure):
            if not budget.spend():
                break
            await asyncio.sleep(compute_retry_delay(attempt))
    return choose_retry_after(failures)


async def _attempt_on_server(
    server: _SimulatedServer, record: ReplayRecord, attempt: int, is_last: bool
) -> Failure | None:
    arrival = record.arrival
    item = WorkItem(
        request_id=RequestId(f"{arrival.number}-{record.submissions}"),
        workspace=arrival.workspace,
        rank=arrival.rank_load.name,
        cost=arrival.estimated_cost_tokens,
        deadline_monotonic_s=arrival.at_s + arrival.rank_load.deadline_s,
        retry_key=str(arrival.number),
        attempt=attempt,
    )
    ticket = await server.room_queue.submit(
        item, LAST_ATTEMPT_MAX_WAIT_S if is_last else 0.0
    )
    if isinstance(ticket, Failure):
        return ticket
    failure = await ticket.wait_for_slot()
    if failure is not None:
        return failure
    now_s = asyncio.get_running_loop().time
    record.started_s = now_s()
    await _RunningRequest(ticket, arrival.service_s).run_to_completion()
    record.finished_s = now_s()
    ticket.finish(completed=True)
    return None


async def _run_caller(simulated_pool: _SimulatedPool, record: ReplayRecord) -> None:
    """Submit a request until it is served or a further submission is not possible.

    After a rejection the caller waits for the stated delay. It gives up if that delay
    ends after the deadline, or after ``MAX_CALLER_SUBMISSIONS`` submissions.
    """
    arrival = record.arrival
    loop = asyncio.get_running_loop()
    while record.submissions < MAX_CALLER_SUBMISSIONS:
        record.submissions += 1
        retry_after_s = await _route_request(simulated_pool, record)
        if retry_after_s is None:
            return
        if loop.time() + retry_after_s >= arrival.at_s + arrival.rank_load.deadline_s:
            return
        await asyncio.sleep(retry_after_s)


async def _replay(
    trace: ArrivalTrace, pool: Pool, index: ConfigurationIndex
) -> list[ReplayRecord]:
    simulated_pool = _SimulatedPool(trace, pool, index)
    load_sampling = asyncio.create_task(simulated_pool.run_load_sampling())
    loop = asyncio.get_running_loop()
    records = [ReplayRecord(arrival) for arrival in trace.arrivals]
    caller_tasks = []
    for record in records:
        await asyncio.sleep(max(record.arrival.at_s - loop.time(), 0.0))
        caller_tasks.append(asyncio.create_task(_run_caller(simulated_pool, record)))
    await asyncio.gather(*caller_tasks)
    load_sampling.cancel()
    return records


def replay_trace(trace: ArrivalTrace, **pool_fields: object) -> ReplayResult:
    """Replay a trace and summarize the service of the requests in its event.

    :param trace: arrivals to replay.
    :param pool_fields: further fields of :class:`~bilberryspring.version.objects.Pool`,
        such as the names of its policies.
    :returns: summary of the requests that arrive during the event of the trace.
    """
    pool = Pool(
        name=POOL_NAME,
        kind=PoolKind.ENGINE,
        max_running=trace.slots_per_server,
        load_floor=LOAD_FLOOR_TOKENS,
        **pool_fields,
    )
    # Retry delays are drawn from the global random number generator, so it is seeded
    # for a reproducible replay and restored afterwards.
    state = random.getstate()
    random.seed(trace.name)
    try:
        records = run_on_virtual_clock(_replay(trace, pool, _make_index(trace)))
    finally:
        random.setstate(state)
    return summarize_replay(trace, records)


def _make_index(trace: ArrivalTrace) -> ConfigurationIndex:
    ranks = [
        WorkRank(
            name=load.name,
            order=order,
            minimum_share=load.minimum_share,
            target_wait_s=load.target_wait_s,
        )
        for order, load in enumerate(RANK_LOADS)
    ]
    names = sorted({arrival.workspace for arrival in trace.arrivals})
    workspaces = [
        Workspace(name=name, key_digests=[], max_queued=MAX_QUEUED_REQUESTS)
        for name in names
    ]
    return make_index(Configuration(work_ranks=ranks, workspaces=workspaces))


def _make_instance(name: InstanceId) -> Instance:
    return Instance(
        instance_id=name,
        role=Role.AGENT,
        pool=POOL_NAME,
        availability_zone=AvailabilityZone("zone"),
        region=Region("region"),
        address="127.0.0.1:1",
        state=InstanceState.LIVE,
        weight=1.0,
    )
