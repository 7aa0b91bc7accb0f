"""Detection of pauses of the process, to date its state correctly afterwards.

After a pause, such as a stopped process or a blocked event loop, the process works with
the state from before the pause until it has read what arrived on its connections
meanwhile. Until then its own load and the messages that it reads are older than they
seem.
"""

import asyncio
import time
from collections.abc import Callable

__all__ = ["PauseWatch", "make_pause_watch"]

TICK_INTERVAL_S = 0.1
# A gap between ticks above this counts as a pause. It is much longer than an iteration
# of a busy event loop, and short compared with the age up to which loads count in full.
MIN_PAUSE_S = 0.25


class PauseWatch:
    """Detector of pauses by late ticks of a periodic task.

    :param clock: monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self._clock = clock
        self._last_tick_s: float | None = None
        self._pause_began_s: float | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start ticking."""
        self.tick()
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop ticking."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None

    def tick(self) -> None:
        """Record that the event loop ran, and read its connections, up to now."""
        now_s = self._clock()
        self._pause_began_s = self._last_tick_s if self._is_late(now_s) else None
        self._last_tick_s = now_s

    def find_current_until_s(self) -> float:
        """Return the monotonic time up to which the connections are known to be read.

        This is the current time, except during a pause and for one tick after it.

        >>> now = [0.0]
        >>> watch = PauseWatch(lambda: now[0])
        >>> now[0] = 0.1; watch.tick(); watch.find_current_until_s()
        0.1
        >>> now[0] = 3.0; watch.find_current_until_s()
        0.1
        >>> watch.tick(); watch.find_current_until_s()
        0.1
        >>> now[0] = 3.1; watch.tick(); watch.find_current_until_s()
        3.1
        """
        now_s = self._clock()
        if self._is_late(now_s):
            return self._last_tick_s
        return now_s if self._pause_began_s is None else self._pause_began_s

    def _is_late(self, now_s: float) -> bool:
        return self._last_tick_s is not None and now_s - self._last_tick_s > MIN_PAUSE_S

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.tick()


def make_pause_watch(clock: Callable[[], float] = time.monotonic) -> PauseWatch:
    """Return a watch that is not started.

    :param clock: monotonic time in seconds.
    """
    return PauseWatch(clock)
