import asyncio
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bilberryspring.request.admission import Admission, Ticket, TicketState, WorkItem
from bilberryspring.request.errors import ErrorKind, Outcome
from bilberryspring.request.load_bound import MeanEstimate
from bilberryspring.version.index import make_index
from bilberryspring.version.objects import Configuration, Pool, WorkRank, Workspace

FAR_S = 1e9


class Clock:
    def __init__(self):
        self.now_s = 1000.0

    def __call__(self):
        return self.now_s


class FixedLoad:
    def __init__(self, mean=MeanEstimate(1e12, total_weight=6.0)):  # noqa: B008
        self.mean = mean

    def mean_load(self):
        return self.mean

    def least_loaded(self, count):
        return ["agent-2"]


def make_configuration(shares=(0.5, 0.2, 0.1), targets_s=(2.0, 15.0, 8e4)):
    names = ("urgent", "standard", "background")
    return make_index(
        Configuration(
            work_ranks=[
                WorkRank(name=n, order=o, minimum_share=s, target_wait_s=t)
                for o, (n, s, t) in enumerate(
                    zip(names, shares, targets_s, strict=True)
                )
            ],
            workspaces=[
                Workspace(name="small", key_digests=[], max_queued=10_000),
                Workspace(name="large", key_digests=[], max_queued=10_000),
                Workspace(name="heavy", key_digests=[], weight=3.0, max_queued=10_000),
                Workspace(name="tight", key_digests=[], max_queued=2),
            ],
        )
    )


class Bench:
    """An admission whose backend server finishes requests one at a time."""

    def __init__(self, max_running=1, pool_load=None, index=None, **pool):
        self.clock = Clock()
        self.pool = Pool(name="p", kind="engine", max_running=max_running, **pool)
        index = index or make_configuration()
        self.admission = Admission(
            self.pool, index, pool_load or FixedLoad(), self.clock
        )
        self.count = 0

    def submit(self, rank="standard", workspace="small", cost=10.0, **fields):
        self.count += 1
        deadline_s = fields.pop("deadline_monotonic_s", FAR_S)
        name = f"r{self.count}"
        item = WorkItem(name, workspace, rank, cost, deadline_s, **fields)
        return self.admission.submit(item)

    def run_next(self, tickets, duration_s=1.0):
        """Finish the earliest started ticket; return it."""
        running = [t for t in tickets if t.state is TicketState.RUNNING]
        ticket = min(running, key=lambda t: t.started_s)
        self.clock.now_s += duration_s
        ticket.finish(completed=True)
        return ticket


async def serve(bench, tickets, count):
    return [bench.run_next(tickets) for _ in range(count)]


@given(
    factor=st.floats(1.05, 3.0),
    floor=st.floats(0.0, 500.0),
    steps=st.lists(
        st.tuples(st.floats(1.0, 200.0), st.floats(0.0, 400.0), st.booleans()),
        max_size=80,
    ),
)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_no_assignment_exceeds_the_bound_by_more_than_one_request(factor, floor, steps):
    shared = FixedLoad()
    bench = Bench(4, shared, load_bound=factor, load_floor=floor)
    tickets = []
    for cost, mean, finishes in steps:
        shared.mean = MeanEstimate(mean, total_weight=6.0)
        # Of the least urgent rank: its target lets the bound alone decide.
        ticket = bench.submit("background", cost=cost)
        if isinstance(ticket, Ticket):
            tickets.append(ticket)
            mean_after = max(mean + cost / 6.0, floor)
            load = bench.admission.load
            level = max(mean, floor)
            assert load <= max(factor * mean_after, level + cost) + 1e-6
        else:
            assert ticket.kind is ErrorKind.LOAD_BOUND
            assert ticket.outcome is Outcome.NOT_RUN
            assert ticket.hint == "agent-2"
        if finishes and bench.admission.running:
            bench.run_next(tickets)


@pytest.mark.parametrize("flood", ["urgent", "standard", "background"])
@pytest.mark.parametrize("keeps_shares", [True, False])
async def test_each_rank_keeps_its_share_under_a_flood(flood, keeps_shares):
    shares = (0.5, 0.2, 0.1) if keeps_shares else (0.0, 0.0, 0.0)
    bench = Bench(index=make_configuration(shares, (8e4, 8e4, 8e4)))
    ranks = ["urgent", "standard", "background"]
    tickets = [bench.submit(rank=rank) for rank in ranks * 60]
    tickets += [bench.submit(rank=flood) for _ in range(500)]
    served = Counter(t.rank for t in await serve(bench, tickets, 100))
    expected = {"urgent": 0.5, "standard": 0.2, "background": 0.1}
    if flood != "urgent":
        # The others' queues run empty; what counts is that they did not wait.
        assert served["urgent"] >= 50
    kept = [served[rank] >= 100 * share - 1 for rank, share in expected.items()]
    assert all(kept) is keeps_shares


async def test_an_urgent_request_goes_ahead_of_a_flood_of_the_least_urgent():
    bench = Bench()
    tickets = [bench.submit(rank="background", workspace="large") for _ in range(50)]
    await serve(bench, tickets, 5)
    urgent = bench.submit(rank="urgent")
    served = await serve(bench, [*tickets, urgent], 3)
    assert urgent in served


@pytest.mark.parametrize(("rival", "at_most"), [("large", 11), ("heavy", 40)])
async def test_a_small_workspace_is_served_beside_a_large_one(rival, at_most):
    bench = Bench()
    tickets = [bench.submit("background", rival, cost=20.0) for _ in range(300)]
    small = [bench.submit("background", "small", cost=20.0) for _ in range(5)]
    position = 0
    while any(ticket.state is not TicketState.FINISHED for ticket in small):
        bench.run_next([*tickets, *small])
        position += 1
    assert position <= at_most


async def test_use_of_other_backend_servers_counts_here():
    bench = Bench()
    spread = [bench.submit("background", "large") for _ in range(40)]
    small = [bench.submit("background", "small") for _ in range(40)]
    await serve(bench, [*spread, *small], 4)
    for _ in range(10):
        bench.admission.charge_remote_usage({"large": 10.0}, 1.0)
    _already_running, *served = await serve(bench, [*spread, *small], 9)
    assert Counter(t.workspace for t in served)["small"] == 8


async def test_a_wait_above_the_target_is_refused_and_the_told_time_is_true():
    bench = Bench(4)
    tickets = []
    refused = {}
    for number in range(200):
        ticket = bench.submit("urgent", cost=10.0, return_key=f"chat-{number}")
        if isinstance(ticket, Ticket):
            tickets.append(ticket)
        else:
            assert ticket.kind is ErrorKind.OVERLOADED
            assert ticket.outcome is Outcome.NOT_RUN
            refused[f"chat-{number}"] = bench.clock.now_s + ticket.retry_after_s
        if number == 10:
            for _ in range(4):
                bench.run_next(tickets, 0.25)
    assert len(refused) > 50
    assert len(set(refused.values())) > 0.9 * len(refused)
    accepted = 0
    # The backend server serves four in a second; new callers keep the flood up.
    for key, due_s in sorted(refused.items(), key=lambda entry: entry[1])[:50]:
        while bench.clock.now_s < due_s and bench.admission.running:
            bench.run_next(tickets, 0.25)
            fresh = bench.submit("urgent")
            tickets += [fresh] if isinstance(fresh, Ticket) else []
        bench.clock.now_s = max(bench.clock.now_s, due_s)
        ticket = bench.submit("urgent", return_key=key)
        accepted += isinstance(ticket, Ticket)
        tickets += [ticket] if isinstance(ticket, Ticket) else []
    assert accepted >= 40


async def test_limits_state_and_deadline_refuse_with_a_true_not_run():
    bench = Bench()
    running = bench.submit()
    queued = [bench.submit(workspace="tight") for _ in range(2)]
    limited = bench.submit(workspace="tight")
    assert limited.kind is ErrorKind.WORKSPACE_LIMIT
    late = bench.submit(deadline_monotonic_s=bench.clock.now_s)
    refusal = await late.turn()
    assert refusal.kind is ErrorKind.DEADLINE_EXCEEDED
    assert refusal.outcome is Outcome.NOT_RUN
    turns = [asyncio.create_task(ticket.turn()) for ticket in queued]
    await asyncio.sleep(0)
    bench.admission.drain()
    assert [(await turn).kind for turn in turns] == [ErrorKind.LEAVING] * 2
    assert bench.submit().kind is ErrorKind.LEAVING
    assert bench.admission.load == running.cost
    assert await running.turn() is None
    running.finish()
    await asyncio.wait_for(bench.admission.wait_idle(), 5.0)
    assert bench.admission.load == 0.0


@given(
    st.lists(st.sampled_from(["submit", "finish", "cancel", "suspect"]), max_size=60)
)
def test_every_ticket_ends_once_and_drain_loses_none(steps):
    bench = Bench(3)
    tickets = []
    for step in steps:
        if step in ("submit", "suspect"):
            ticket = bench.submit(is_crash_suspect=step == "suspect")
            tickets += [ticket] if isinstance(ticket, Ticket) else []
        elif step == "finish" and bench.admission.running:
            bench.run_next(tickets)
        elif step == "cancel" and tickets:
            tickets[len(tickets) // 2].finish()
        running = [t for t in tickets if t.state is TicketState.RUNNING]
        assert len(running) == bench.admission.running <= 3
        assert len(running) <= 1 or not any(t.item.is_crash_suspect for t in running)
        unfinished = sum(t.unfinished_cost for t in tickets)
        assert bench.admission.load == pytest.approx(unfinished)
    bench.admission.drain()
    while bench.admission.running:
        bench.run_next(tickets)
    ends = {TicketState.FINISHED, TicketState.REFUSED}
    assert {ticket.state for ticket in tickets} <= ends
    assert (bench.admission.load, bench.admission.queued) == (0.0, 0)


async def test_a_suspect_waits_until_it_is_alone_and_nothing_joins_it():
    bench = Bench(3)
    tickets = [bench.submit() for _ in range(2)]
    suspect = bench.submit(is_crash_suspect=True)
    second = bench.submit(is_crash_suspect=True)
    later = bench.submit()
    assert later.state is TicketState.QUEUED
    await serve(bench, tickets, 2)
    assert suspect.state is TicketState.RUNNING
    assert later.state is TicketState.QUEUED
    suspect.finish()
    assert second.state is TicketState.RUNNING
    assert later.state is TicketState.QUEUED
    second.finish()
    assert later.state is TicketState.RUNNING


async def test_what_was_given_up_may_wait_longer_when_it_returns_as_told():
    bench = Bench(1)
    bench.run_next([bench.submit("urgent", cost=1.0)])
    running = bench.submit("urgent", cost=1.0)
    tickets = [bench.submit("urgent", cost=1.0, return_key=f"k{n}") for n in range(2)]
    bench.clock.now_s += 3.1
    bench.admission.give_up_overdue()
    refusals = [await ticket.turn() for ticket in tickets]
    # The callers come back one after the other.
    assert refusals[0].retry_after_s + 1.0 < refusals[1].retry_after_s
    bench.clock.now_s += refusals[0].retry_after_s
    returned = bench.submit("urgent", cost=1.0, return_key="k0")
    other = bench.submit("urgent", "large", cost=1.0)
    bench.clock.now_s += 3.1
    bench.admission.give_up_overdue()
    assert returned.state is TicketState.QUEUED
    assert other.state is TicketState.REFUSED
    bench.clock.now_s += 1.5
    bench.admission.give_up_overdue()
    assert returned.state is TicketState.REFUSED
    running.finish(completed=True)


async def test_a_request_in_time_goes_ahead_of_one_beyond_its_target():
    bench = Bench(1)
    running = bench.submit("urgent", cost=1.0)
    bench.run_next([running])
    running = bench.submit("urgent", cost=1.0)
    late = bench.submit("urgent", cost=0.01)
    bench.clock.now_s += 2.1
    in_time = bench.submit("urgent", cost=0.5)
    bench.run_next([running], 0.1)
    assert in_time.state is TicketState.RUNNING
    assert late.state is TicketState.QUEUED


async def test_nobody_is_queued_behind_one_that_waits_beyond_its_target():
    """Requests of smaller workspaces that came later go ahead of both."""
    bench = Bench(1, order_policy="first_come")
    running = bench.submit("urgent", "large", cost=1.0)
    bench.run_next([running])
    assert isinstance(bench.submit("urgent", "large", cost=1.0), Ticket)
    assert isinstance(bench.submit("urgent", "large", cost=1.0), Ticket)
    bench.clock.now_s += 1.9
    assert isinstance(bench.submit("urgent", "large", cost=0.01), Ticket)
    bench.clock.now_s += 0.2
    refusal = bench.submit("urgent", "large", cost=0.01)
    assert refusal.kind is ErrorKind.OVERLOADED
    assert isinstance(bench.submit("urgent", "small", cost=0.01), Ticket)
    assert isinstance(bench.submit("standard", "large", cost=0.01), Ticket)


async def test_what_waits_well_beyond_its_target_is_refused_at_once():
    bench = Bench(1)
    running = bench.submit("urgent")
    tickets = [bench.submit("urgent") for _ in range(3)]
    continued = bench.submit("urgent", is_continuation=True)
    later = bench.submit("background")
    bench.clock.now_s += 2.9
    bench.admission.give_up_overdue()
    assert {ticket.state for ticket in tickets} == {TicketState.QUEUED}
    bench.clock.now_s += 0.2
    bench.admission.give_up_overdue()
    assert {ticket.state for ticket in tickets} == {TicketState.REFUSED}
    refusal = await tickets[0].turn()
    assert (refusal.kind, refusal.outcome) == (ErrorKind.OVERLOADED, Outcome.NOT_RUN)
    assert refusal.retry_after_s > 0
    assert continued.state is later.state is TicketState.QUEUED
    for ticket in (running, continued, later):
        ticket.finish(completed=True)
    assert bench.admission.load == 0.0


class RunningClock(Clock):
    """Goes on a little at each look, as a real one does."""

    def __call__(self):
        self.now_s += 0.01
        return self.now_s


async def test_what_starts_leaves_the_queue_though_the_order_changes_meanwhile():
    """A request may pass its target between the choice and the start."""
    for step in range(100):
        bench = Bench(1)
        running = bench.submit("urgent", cost=1.0)
        waiting = [bench.submit("urgent", cost=0.1)]
        bench.clock.now_s += 1.0
        waiting.append(bench.submit("urgent", cost=0.5))
        bench.clock.now_s += 0.9 + step / 1_000
        bench.admission.clock = bench.admission._queue._clock = RunningClock()
        bench.admission.clock.now_s = bench.clock.now_s
        bench.admission._slots._clock = bench.admission.clock
        running.finish()
        states = Counter(ticket.state for ticket in waiting)
        assert states == {TicketState.RUNNING: 1, TicketState.QUEUED: 1}
        assert bench.admission.queued == 1
        queued = next(t for t in waiting if t.state is TicketState.QUEUED)
        assert bench.admission._queue.list_oldest_entries() == [queued]


async def test_an_answer_that_has_begun_goes_first():
    bench = Bench(1)
    running = bench.submit("urgent", cost=1.0)
    small = bench.submit("urgent", cost=0.1)
    continued = bench.submit("urgent", cost=9.0, is_continuation=True)
    running.finish()
    assert continued.state is TicketState.RUNNING
    assert small.state is TicketState.QUEUED
