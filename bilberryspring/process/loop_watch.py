"""Measurement of how long the event loop stood still, and in which function.

While the event loop runs one callback, it reads no connection and no timer fires. The
processor time of its thread tells a callback that takes too long from a process that
was stopped or got no processor. A thread samples the function that is running.
"""

import asyncio
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from enum import Enum
from types import FrameType

from bilberryspring.process.logs import log_event

__all__ = ["LoopWatch", "StallCause", "make_loop_watch"]

TICK_INTERVAL_S = 0.1
# A tick that comes later than this shows a stall.
MIN_STALL_S = 0.1
SAMPLE_INTERVAL_S = 0.1
# Share of a stall that its thread spent on the processor if a callback caused it.
MIN_BUSY_SHARE = 0.5
# Bounds the label values of the metric.
MAX_PLACES = 64
OTHER_PLACE = "other"
PACKAGE = __name__.partition(".")[0] + "."


class StallCause(Enum):
    """Why the event loop stood still."""

    BUSY = "busy"
    """A callback ran for too long."""
    STOPPED = "stopped"
    """The process was stopped, waited in a system call or got no processor."""


class LoopWatch:
    """Detector of stalls of the event loop that it is started in.

    :param read_clock: monotonic time in seconds.
    :param read_cpu: processor time of the calling thread in seconds.
    :ivar longest_s: length of the longest stall in seconds.
    :ivar stalled_s: total length of the stalls in seconds, by cause and place.
    """

    def __init__(
        self,
        read_clock: Callable[[], float] = time.monotonic,
        read_cpu: Callable[[], float] = time.thread_time,
    ):
        self._read_clock = read_clock
        self._read_cpu = read_cpu
        self._due_s = 0.0
        self._ticked_cpu_s = 0.0
        self._samples: Counter[str] = Counter()
        self._thread_id = 0
        self._timer: asyncio.TimerHandle | None = None
        self._is_closed = threading.Event()
        self._sampler: threading.Thread | None = None
        self.longest_s = 0.0
        self.stalled_s: dict[tuple[str, str], float] = {}

    def start(self) -> None:
        """Start to watch the running event loop, from its thread."""
        self._thread_id = threading.get_ident()
        self._schedule()
        self._sampler = threading.Thread(
            target=self._run_sampler, name="loop-watch", daemon=True
        )
        self._sampler.start()

    def close(self) -> None:
        """Stop watching."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._is_closed.set()
        if self._sampler is not None:
            self._sampler.join()
            self._sampler = None

    def read_longest_s(self) -> float:
        """Return the length of the longest stall in seconds."""
        return self.longest_s

    def read_stalled_s(self) -> dict[tuple[str, str], float]:
        """Return the total length of the stalls in seconds, by cause and place."""
        return self.stalled_s

    def _schedule(self) -> None:
        self._due_s = self._read_clock() + TICK_INTERVAL_S
        self._ticked_cpu_s = self._read_cpu()
        self._timer = asyncio.get_running_loop().call_later(TICK_INTERVAL_S, self._tick)

    def _tick(self) -> None:
        late_s = self._read_clock() - self._due_s
        if late_s >= MIN_STALL_S:
            self._record(late_s, self._read_cpu() - self._ticked_cpu_s)
        self._samples.clear()
        self._schedule()

    def _record(self, stall_s: float, cpu_s: float) -> None:
        """Log and count a stall.

        :param stall_s: its length in seconds.
        :param cpu_s: processor time of the thread since the last tick in seconds.
        """
        is_busy = cpu_s >= MIN_BUSY_SHARE * stall_s
        cause = StallCause.BUSY if is_busy else StallCause.STOPPED
        place = ""
        if is_busy:
            common = self._samples.most_common(1)
            place = common[0][0] if common else OTHER_PLACE
        self.longest_s = max(self.longest_s, stall_s)
        key = cause.value, place.partition(" ")[0]
        if key not in self.stalled_s and len(self.stalled_s) >= MAX_PLACES:
            key = cause.value, OTHER_PLACE
        self.stalled_s[key] = self.stalled_s.get(key, 0.0) + stall_s
        log_event(
            "event_loop_stalled",
            level="WARNING",
            stall_s=stall_s,
            cpu_s=cpu_s,
            cause=cause,
            place=place,
        )

    def _run_sampler(self) -> None:
        while not self._is_closed.wait(SAMPLE_INTERVAL_S):
            if self._read_clock() - self._due_s < MIN_STALL_S / 2:
                continue
            frame = sys._current_frames().get(self._thread_id)
            if frame is not None:
                self._samples[describe_place(frame)] += 1


def describe_place(frame: FrameType | None) -> str:
    """Return the innermost function of this package in a stack, and its caller.

    :param frame: innermost frame of the stack.
    :returns: such as ``"a.Splitter.feed from b.Relay.relay"``.
    """
    names: list[str] = []
    while frame is not None and len(names) < 2:
        module = frame.f_globals.get("__name__", "")
        if module.startswith(PACKAGE):
            names.append(f"{module.rpartition('.')[2]}.{frame.f_code.co_qualname}")
        frame = frame.f_back
    return " from ".join(names) or OTHER_PLACE


def make_loop_watch() -> LoopWatch:
    """Return a watch that is not started."""
    return LoopWatch()
