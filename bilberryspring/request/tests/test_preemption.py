"""Pausing of running streams in favour of more urgent requests."""

import asyncio

import pytest

from bilberryspring.request.admission import TicketState
from bilberryspring.request.preemption import MAX_PAUSE_S, StreamControls
from bilberryspring.request.tests.test_admission import AdmissionHarness


class Engine:
    """Engine that records the actions it receives for one stream."""

    def __init__(self, accepts=True):
        self.accepts = accepts
        self.actions = []

    async def pause(self):
        self.actions.append("pause")
        return self.accepts

    async def resume(self):
        self.actions.append("resume")
        return self.accepts


def submit(harness, rank, accepts=True, pausable=True):
    ticket = harness.submit(rank=rank)
    ticket.engine = Engine(accepts)
    if pausable:
        ticket.stream_controls = StreamControls(
            ticket.engine.pause, ticket.engine.resume
        )
    return ticket


async def settle():
    for _ in range(10):
        await asyncio.sleep(0)


async def test_urgent_work_pauses_the_least_urgent_request_that_started_last():
    harness = AdmissionHarness(3)
    standard = submit(harness, "standard")
    first = submit(harness, "background")
    harness.clock.now_s += 1.0
    last = submit(harness, "background")
    urgent = submit(harness, "urgent")
    await settle()
    assert urgent.state is TicketState.RUNNING
    assert last.state is TicketState.PAUSED and last.engine.actions == ["pause"]
    assert {standard.state, first.state} == {TicketState.RUNNING}
    urgent.finish(completed=True)
    await settle()
    assert last.state is TicketState.RUNNING
    assert last.engine.actions == ["pause", "resume"]


async def test_rank_keeps_its_minimum_share_of_the_slots():
    harness = AdmissionHarness(4)
    running = [submit(harness, "standard") for _ in range(4)]
    urgent = [submit(harness, "urgent") for _ in range(6)]
    await settle()
    states = [ticket.state for ticket in running]
    # A fifth of four slots is one.
    assert states.count(TicketState.RUNNING) == 1
    assert sum(ticket.state is TicketState.RUNNING for ticket in urgent) == 3


async def test_credit_of_a_rank_that_holds_all_slots_does_not_delay_urgent_work():
    harness = AdmissionHarness(2)
    urgent = submit(harness, "urgent")
    low = [submit(harness, "background") for _ in range(4)]
    for _ in range(6):
        urgent.finish(completed=True)
        urgent = submit(harness, "urgent")
        await settle()
    urgent.finish(completed=True)
    await settle()
    assert [t.state for t in low].count(TicketState.RUNNING) == 2
    urgent = submit(harness, "urgent")
    await settle()
    assert urgent.state is TicketState.RUNNING


@pytest.mark.parametrize("fault", ["cannot", "refuses"])
async def test_request_that_cannot_be_paused_keeps_its_slot(fault):
    harness = AdmissionHarness(2)
    running = [
        submit(harness, "background", accepts=False, pausable=fault == "refuses")
        for _ in range(2)
    ]
    urgent = submit(harness, "urgent")
    await settle()
    assert [ticket.state for ticket in running] == [TicketState.RUNNING] * 2
    assert urgent.state is TicketState.QUEUED
    running[0].finish(completed=True)
    assert urgent.state is TicketState.RUNNING


async def test_request_paused_for_too_long_resumes_before_urgent_work():
    harness = AdmissionHarness(2)
    low = [submit(harness, "background") for _ in range(2)]
    urgent = [submit(harness, "urgent") for _ in range(3)]
    await settle()
    (paused,) = [ticket for ticket in low if ticket.state is TicketState.PAUSED]
    harness.clock.now_s += MAX_PAUSE_S + 1
    urgent[0].finish(completed=True)
    await settle()
    assert paused.state is TicketState.RUNNING


async def test_paused_request_can_end_and_its_load_is_removed():
    harness = AdmissionHarness(2)
    low = [submit(harness, "background") for _ in range(2)]
    urgent = submit(harness, "urgent")
    await settle()
    (paused,) = [ticket for ticket in low if ticket.state is TicketState.PAUSED]
    paused.finish()
    for ticket in (urgent, *low):
        ticket.finish(completed=True)
    assert (harness.admission.paused, harness.admission.running) == (0, 0)
    assert harness.admission.load == 0.0
