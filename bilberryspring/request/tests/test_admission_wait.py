"""Wait of requests for admission at an agent whose load exceeds its bound."""

import asyncio

import pytest

from bilberryspring.request.admission_wait import make_admission_wait_queue
from bilberryspring.request.errors import ErrorKind, Failure
from bilberryspring.request.load_bound import MeanEstimate
from bilberryspring.request.tests.test_admission import AdmissionHarness, FixedLoad
from bilberryspring.request.ticket import Ticket, WorkItem

FAR_DEADLINE_S = 1e9
LOW_MEAN = MeanEstimate(100.0, total_weight=4.0)
HIGH_MEAN = MeanEstimate(200.0, total_weight=4.0)


class AdmissionWaitHarness:
    """Wait queue of an agent above its load bound; a test sets the known mean load."""

    def __init__(self, max_running=4):
        self.pool_load = FixedLoad(LOW_MEAN)
        self.admission_harness = AdmissionHarness(
            max_running, self.pool_load, load_bound=1.25, load_floor=50.0
        )
        self.admission = self.admission_harness.admission
        self.admission.load = 150.0
        self.wait_queue = make_admission_wait_queue(self.admission)

    def start(self, name, rank="standard", wait_s=1.0, **fields):
        cost = fields.pop("cost", 20.0)
        item = WorkItem(name, "small", rank, cost, FAR_DEADLINE_S, **fields)
        return asyncio.create_task(self.wait_queue.submit(item, wait_s))

    async def settle(self):
        await asyncio.sleep(0)
        if len(self.wait_queue):
            self.wait_queue.retry()
        await asyncio.sleep(0)


@pytest.fixture
def harness():
    return AdmissionWaitHarness()


async def test_zero_wait_returns_the_refusal_immediately(harness):
    result = await harness.start("a", wait_s=0.0)
    assert result.kind is ErrorKind.LOAD_BOUND


async def test_request_is_admitted_once_the_mean_has_risen(harness):
    waiting = harness.start("a")
    await harness.settle()
    assert not waiting.done()
    assert harness.admission.load == 150.0
    harness.pool_load.mean = HIGH_MEAN
    await harness.settle()
    assert isinstance(waiting.result(), Ticket)
    assert harness.admission.load == 170.0
    assert len(harness.wait_queue) == 0


async def test_request_is_refused_when_its_wait_ends(harness):
    waiting = harness.start("a", wait_s=1.0)
    await harness.settle()
    harness.admission_harness.clock.now_s += 0.9
    await harness.settle()
    assert not waiting.done()
    harness.admission_harness.clock.now_s += 0.1
    await harness.settle()
    assert waiting.result().kind is ErrorKind.LOAD_BOUND


async def test_continuations_and_urgent_requests_are_admitted_first(harness):
    harness.admission.load = 190.0
    late = harness.start("background", "background")
    urgent = harness.start("urgent", "urgent")
    begun = harness.start("begun", "background", is_continuation=True)
    await harness.settle()
    harness.pool_load.mean = MeanEstimate(170.0, total_weight=4.0)
    await harness.settle()
    assert isinstance(begun.result(), Ticket)
    assert not urgent.done() and not late.done()
    harness.pool_load.mean = MeanEstimate(185.0, total_weight=4.0)
    await harness.settle()
    assert isinstance(urgent.result(), Ticket)
    assert not late.done()
    late.cancel()


async def test_one_request_is_admitted_at_a_time(harness):
    tasks = [harness.start(f"r{number}") for number in range(2)]
    await harness.settle()
    harness.pool_load.mean = HIGH_MEAN
    await harness.settle()
    assert [task.done() for task in tasks] == [True, False]
    await harness.settle()
    assert isinstance(tasks[1].result(), Ticket)


async def test_small_request_does_not_overtake_a_large_one(harness):
    large = harness.start("large", cost=100.0)
    await asyncio.sleep(0)
    small = harness.start("small", cost=20.0)
    await asyncio.sleep(0)
    harness.pool_load.mean = MeanEstimate(149.0, total_weight=4.0)
    await harness.settle()
    assert not large.done() and not small.done()
    large.cancel()
    small.cancel()


async def test_draining_agent_refuses_waiting_requests_immediately(harness):
    waiting = harness.start("a")
    await harness.settle()
    harness.admission.drain()
    await harness.settle()
    assert waiting.result().kind is ErrorKind.LEAVING


async def test_number_of_waiting_requests_is_limited_to_the_slots():
    harness = AdmissionWaitHarness(max_running=2)
    tasks = [harness.start(f"r{number}") for number in range(3)]
    await harness.settle()
    assert [task.done() for task in tasks] == [False, False, True]
    assert isinstance(tasks[2].result(), Failure)
    tasks[0].cancel()
    tasks[1].cancel()


async def test_cancelled_wait_leaves_no_load(harness):
    waiting = harness.start("a")
    await harness.settle()
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    harness.pool_load.mean = HIGH_MEAN
    await harness.settle()
    assert len(harness.wait_queue) == 0
    assert harness.admission.load == 150.0


async def test_ticket_issued_just_before_a_cancellation_is_finished(harness):
    waiting = harness.start("a")
    await asyncio.sleep(0)
    harness.pool_load.mean = HIGH_MEAN
    harness.wait_queue.retry()
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    assert harness.admission.running == 0
