"""Stalls of the event loop are logged with their length, cause and function."""

import asyncio
import time

import pytest

from bilberryspring.process import loop_watch
from bilberryspring.process.loop_watch import (
    MIN_BUSY_SHARE,
    LoopWatch,
    StallCause,
    make_loop_watch,
)

STALL_S = 0.6


@pytest.fixture
def lines(monkeypatch):
    logged = []
    monkeypatch.setattr(
        loop_watch, "log_event", lambda event, **fields: logged.append((event, fields))
    )
    return logged


@pytest.fixture
async def watch(lines):
    watch = make_loop_watch()
    watch.start()
    await asyncio.sleep(0.15)
    yield watch
    watch.close()


def find_longest(lines):
    """Return the line of the longest stall; a busy machine may cause others."""
    return max(lines, key=lambda line: line[1]["stall_s"])


def spin(duration_s):
    until_s = time.thread_time() + duration_s
    while time.thread_time() < until_s:
        pass


@pytest.fixture
async def watch_in_processor_time(lines):
    """Return a watch whose clock stands still while the process gets no processor."""
    watch = LoopWatch(read_clock=time.process_time)
    watch.start()
    await asyncio.sleep(0.15)
    yield watch
    watch.close()


async def test_busy_loop_is_told_with_its_function(watch_in_processor_time, lines):
    watch = watch_in_processor_time
    spin(STALL_S)
    await asyncio.sleep(0.2)
    event, fields = find_longest(lines)
    assert event == "event_loop_stalled"
    assert fields["cause"] is StallCause.BUSY
    assert fields["stall_s"] > STALL_S / 2
    assert fields["cpu_s"] > STALL_S / 2
    assert fields["place"].startswith("test_loop_watch.spin from test_loop_watch.")
    assert watch.read_longest_s() == pytest.approx(fields["stall_s"])
    key = ("busy", "test_loop_watch.spin")
    assert watch.read_stalled_s()[key] >= fields["stall_s"]


async def test_busy_loop_is_told_by_the_share_of_the_processor_that_it_got(
    watch, lines
):
    began_s = time.monotonic()
    spin(STALL_S)
    share = STALL_S / (time.monotonic() - began_s)
    await asyncio.sleep(0.2)
    _, fields = find_longest(lines)
    if share > 1.2 * MIN_BUSY_SHARE:
        assert fields["cause"] is StallCause.BUSY
        assert fields["place"].startswith("test_loop_watch.spin from test_loop_watch.")
    elif share < 0.8 * MIN_BUSY_SHARE:
        # The machine is so busy that this thread waited for most of the time.
        assert fields["cause"] is StallCause.STOPPED
    assert fields["stall_s"] > STALL_S / 2
    assert fields["cpu_s"] > STALL_S / 2


async def test_stopped_process_is_not_taken_for_a_busy_loop(watch, lines):
    time.sleep(STALL_S)
    await asyncio.sleep(0.2)
    _, fields = find_longest(lines)
    assert fields["cause"] is StallCause.STOPPED
    assert fields["cpu_s"] < STALL_S / 2
    assert fields["place"] == ""


async def test_calm_loop_is_not_logged(watch, lines):
    await asyncio.sleep(0.5)
    assert all(fields["cause"] is StallCause.STOPPED for _, fields in lines)
    assert watch.read_longest_s() < STALL_S
