"""Restarts of background tasks that an exception ended."""

import asyncio
import time
import traceback
from collections.abc import Awaitable, Callable

from bilberryspring.malformed_input import describe_error
from bilberryspring.process.logs import log_event

__all__ = ["run_with_restarts"]

MIN_RESTART_DELAY_S = 0.5
MAX_RESTART_DELAY_S = 2.0
# A task that ran for this long has coped with the input that it starts with.
STABLE_RUN_S = 10.0


async def run_with_restarts(
    run_task: Callable[[], Awaitable[None]],
    min_delay_s: float = MIN_RESTART_DELAY_S,
    max_delay_s: float = MAX_RESTART_DELAY_S,
) -> None:
    """Run a task, and restart it after an exception until it returns.

    The pause before a restart doubles while the task fails soon after each start.

    :param run_task: starts the task.
    :param min_delay_s: first pause before a restart, in seconds.
    :param max_delay_s: longest pause before a restart, in seconds.
    """
    failures = 0
    while True:
        started_s = time.monotonic()
        try:
            return await run_task()
        except Exception as error:
            if time.monotonic() - started_s >= STABLE_RUN_S:
                failures = 0
            failures += 1
            log_event(
                "task_failed",
                level="ERROR",
                task=getattr(run_task, "__qualname__", repr(run_task)),
                error=describe_error(error),
                place=describe_place(error),
                failures=failures,
            )
        doublings = min(failures - 1, 16)
        await asyncio.sleep(min(min_delay_s * 2.0**doublings, max_delay_s))


def describe_place(error: BaseException) -> str:
    """Return the file, line and function in which an exception was raised.

    :param error: an exception that was raised.
    """
    *_, frame = traceback.extract_tb(error.__traceback__)
    return f"{frame.filename.rpartition('/')[2]}:{frame.lineno} {frame.name}"
