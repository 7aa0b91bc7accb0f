"""Registered log events, and the log buffer.

Guards against a blocked or closed output that delays the callers of the log.
"""

import ast
import os
import subprocess
import sys
import threading
import time
from pathlib import Path

import pytest

import bilberryspring
from bilberryspring.process import log_buffer
from bilberryspring.process.events import EVENTS, EventClass
from bilberryspring.process.log_buffer import LogBuffer

PACKAGE = Path(bilberryspring.__file__).parent
OPERATIONS = (PACKAGE.parent / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
WAIT_S = 20.0
ROUTINE, FAILED, STATE = EventClass.ROUTINE, EventClass.FAILED, EventClass.STATE


def list_logged_events():
    """Yield the first argument of every ``log_event`` call outside of tests."""
    for path in PACKAGE.rglob("*.py"):
        if "tests" in path.parts:
            continue
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Name):
                continue
            if node.func.id == "log_event":
                yield node.args[0].value


def test_every_logged_event_is_registered_and_every_registered_event_is_logged():
    written_by_buffer = {"lines_left_out"}
    assert set(list_logged_events()) | written_by_buffer == EVENTS.keys()


@pytest.mark.parametrize("event", EVENTS)
def test_operations_manual_documents_every_event(event):
    assert f"| `{event}` | {EVENTS[event].event_class.value} |" in OPERATIONS


class Stream:
    """Output stream that can be made to block or to fail with a broken pipe."""

    def __init__(self):
        self.data = b""
        self.is_closed = False
        self.may_write = threading.Event()
        self.may_write.set()

    def write(self, data):
        self.may_write.wait(WAIT_S)
        if self.is_closed:
            raise BrokenPipeError
        self.data += data

    @property
    def lines(self):
        return self.data.decode().splitlines()


@pytest.fixture
def stream():
    return Stream()


@pytest.fixture
def buffer(stream, monkeypatch):
    monkeypatch.setattr(log_buffer, "REPORT_INTERVAL_S", 0.05)
    log = LogBuffer(stream.write, lambda dropped: f"dropped {dropped}\n", 10_000)
    log.start()
    yield log
    stream.may_write.set()
    log.close(WAIT_S)


def wait_until(condition):
    deadline_s = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline_s
        time.sleep(0.01)


def test_close_writes_all_queued_lines_in_order(buffer, stream):
    for number in range(50):
        buffer.put(f"line {number}\n", "ready", STATE)
    buffer.close(WAIT_S)
    assert stream.lines == [f"line {number}" for number in range(50)]


def test_blocked_stream_blocks_no_caller_and_drops_routine_lines_first(buffer, stream):
    stream.may_write.clear()
    buffer.put("first\n", "ready", STATE)
    wait_until(lambda: not buffer._lines)
    for number in range(150):
        buffer.put(f"routine {number} {'x' * 80}\n", "try_started", ROUTINE)
    for number in range(60):
        buffer.put(f"failed {number} {'x' * 80}\n", "try_failed", FAILED)
    stream.may_write.set()
    wait_until(lambda: any("dropped" in line for line in stream.lines))
    failed = [line for line in stream.lines if line.startswith("failed")]
    routine = [line for line in stream.lines if line.startswith("routine")]
    assert len(failed) == 60
    assert 0 < len(routine) < 40
    dropped = 150 - len(routine)
    assert f"dropped {{'try_started': {dropped}}}" in stream.lines


def test_closed_stream_blocks_no_caller_and_lost_lines_are_reported_later(
    buffer, stream
):
    stream.is_closed = True
    buffer.put("lost\n", "ready", STATE)
    wait_until(lambda: buffer._dropped_by_event)
    stream.is_closed = False
    buffer.put("kept\n", "ready", STATE)
    wait_until(lambda: any("unwritten" in line for line in stream.lines))
    assert "kept" in stream.lines
    assert "lost" not in stream.lines


def test_routine_lines_are_rate_limited_and_dropped_lines_are_counted(buffer, stream):
    admitted = [buffer.admit("try_started", ROUTINE, f"{n}") for n in range(10_000)]
    kept = sum(admitted)
    assert kept < 200 + 10_000 * 0.1 + 200
    wait_until(lambda: any("dropped" in line for line in stream.lines))
    assert all(buffer.admit("ready", STATE, "") for _ in range(10_000))


def test_share_of_sampled_requests_and_line_rate_are_bounded():
    """Sampling is by request id, so all processes keep the same requests' lines."""
    requests = [f"request-{number}" for number in range(5_000)]
    kept = {name: log_buffer._is_sampled(name) for name in requests}
    share = sum(kept.values()) / len(requests)
    assert 0.03 < share < 0.1
    limiter = log_buffer.LineRateLimiter(200.0)
    assert sum(limiter.try_acquire(step / 1_000) for step in range(3_000)) <= 200 * 4


def test_process_exits_in_time_if_its_output_is_not_read():
    """The pipe fills up long before all lines are written, so writes block."""
    code = (
        "from bilberryspring.process.logs import *\n"
        "configure_logs('INFO', instance='i')\n"
        "for number in range(20_000):\n"
        "    log_event('ready', number=number)\n"
        "close_logs()\n"
    )
    reading, writing = os.pipe()
    process = subprocess.Popen(
        [sys.executable, "-c", code], stdout=writing, cwd=PACKAGE.parent
    )
    os.close(writing)
    try:
        assert process.wait(WAIT_S) == 0
    finally:
        process.kill()
        os.close(reading)
