"""Event loop with a virtual clock that advances to the next timer without waiting.

Coroutines that sleep run unchanged, and a simulated hour takes only as long as the
computation in it. Coroutines on this loop must not wait for a socket or another thread.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

__all__ = ["run_on_virtual_clock"]

T = TypeVar("T")


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Selector that advances a virtual clock by the requested timeout."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("deadlock: no timer is scheduled on the virtual clock")
        self.now_s += max(timeout, 0.0)
        return super().select(0)


class _VirtualTimeEventLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        return self._virtual_selector.now_s


def run_on_virtual_clock(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to completion on a virtual clock that starts at zero.

    :param main: coroutine to run; it reads the virtual time with the loop's ``time``.
    :returns: its result.
    :raises RuntimeError: if every task waits for an event that no timer can trigger.

    >>> async def sleep_for_an_hour():
    ...     await asyncio.sleep(3600)
    ...     return asyncio.get_running_loop().time()
    >>> run_on_virtual_clock(sleep_for_an_hour())
    3600.0
    """
    loop = _VirtualTimeEventLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        loop.close()
