"""Restarts of a background task into input that ends it each time."""

import asyncio
from itertools import pairwise

from bilberryspring.load.virtual_clock import run_on_virtual_clock
from bilberryspring.process import task_restarts
from bilberryspring.process.task_restarts import run_with_restarts


def run_failing_task(monkeypatch, run_s, duration_s=30.0):
    starts, lines = [], []
    monkeypatch.setattr(
        task_restarts, "log_event", lambda event, **fields: lines.append(fields)
    )

    async def fail():
        loop = asyncio.get_running_loop()
        starts.append(loop.time())
        await asyncio.sleep(run_s)
        raise ValueError("x" * 10_000)

    async def main():
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(task_restarts, "time", loop)
        loop.monotonic = loop.time
        task = asyncio.create_task(run_with_restarts(fail))
        await asyncio.sleep(duration_s)
        task.cancel()

    run_on_virtual_clock(main())
    return [later - earlier for earlier, later in pairwise(starts)], lines


def test_task_that_fails_at_each_start_is_restarted_less_and_less_often(monkeypatch):
    pauses_s, lines = run_failing_task(monkeypatch, 0.0)
    assert [round(pause_s, 3) for pause_s in pauses_s[:5]] == [0.5, 1, 2, 2, 2]
    assert lines[1]["failures"] == 2 and len(lines[0]["error"]) < 300
    assert lines[0]["place"].startswith("test_task_restarts.py:")
    assert lines[0]["place"].endswith(" fail") and "fail" in lines[0]["task"]


def test_task_that_fails_after_long_is_restarted_at_once(monkeypatch):
    pauses_s, _ = run_failing_task(monkeypatch, 11.0, 60.0)
    assert [round(pause_s, 3) for pause_s in pauses_s[:3]] == [11.5, 11.5, 11.5]
