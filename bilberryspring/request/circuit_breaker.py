"""Circuit breaker for a service, with probes in the background."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

from bilberryspring.process.logs import log_event

__all__ = ["CircuitBreaker"]

MIN_DELAY_S = 0.25
MAX_DELAY_S = 5.0


class CircuitBreaker:
    """Circuit breaker that opens when a call fails and closes when a probe succeeds.

    No caller waits for a probe, so calls are refused without waiting for a timeout of
    the service.

    :param name: name of the service in the logs.
    :param probe: calls the service once and returns whether it responded.
    :param clock: returns monotonic seconds.
    """

    def __init__(
        self,
        name: str,
        probe: Callable[[], Awaitable[bool]],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._name = name
        self._probe = probe
        self._clock = clock
        self._next_probe_s = 0.0
        self._probe_task: asyncio.Task[None] | None = None

    def get_retry_after_s(self) -> float | None:
        """Return the time until a call should be retried, in seconds.

        :returns: ``None`` if the breaker is closed and a call is allowed now.
        """
        if self._probe_task is None or self._probe_task.done():
            return None
        return max(self._next_probe_s - self._clock(), MIN_DELAY_S)

    def report_failure(self) -> float:
        """Open the breaker after a failed call.

        :returns: time until a call should be retried, in seconds.
        """
        if self._probe_task is None or self._probe_task.done():
            log_event("dependency_lost", level="WARNING", dependency=self._name)
            self._probe_task = asyncio.create_task(self._probe_until_recovered())
        return max(self._next_probe_s - self._clock(), MIN_DELAY_S)

    async def close(self) -> None:
        """Stop the probes."""
        if self._probe_task is not None:
            self._probe_task.cancel()
            await asyncio.gather(self._probe_task, return_exceptions=True)
            self._probe_task = None

    async def _probe_until_recovered(self) -> None:
        delay_s = MIN_DELAY_S
        opened_s = self._clock()
        while True:
            # Jitter spreads the probes of all agents, which would otherwise call the
            # service at the same time.
            wait_s = delay_s * random.uniform(0.5, 1.0)
            self._next_probe_s = self._clock() + wait_s
            await asyncio.sleep(wait_s)
            if await self._probe():
                log_event(
                    "dependency_regained",
                    dependency=self._name,
                    lost_s=self._clock() - opened_s,
                )
                return
            delay_s = min(delay_s * 2, MAX_DELAY_S)
