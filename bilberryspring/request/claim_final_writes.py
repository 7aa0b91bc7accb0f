"""Background writer of the final states of claims, with unlimited retries.

Without retries, a claim that is released or recorded while the key-value service is
down would block its key for the whole retention. Each write is therefore retried until
it succeeds, the key expires or the process ends. When too many writes are pending, the
claim store refuses new claims instead of dropping pending writes.
"""

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from bilberryspring.capability.store import (
    Transaction,
    TransactionResult,
)
from bilberryspring.process.logs import log_event
from bilberryspring.request.claim_batches import SubmitTransaction
from bilberryspring.request.errors import Failure

__all__ = ["FinalWrite", "FinalWriter"]

MIN_DELAY_S = 0.1
MAX_DELAY_S = 5.0
MAX_CONCURRENT_WRITES = 64


@dataclass(slots=True, eq=False)
class FinalWrite:
    """Pending write of the final state of a claim.

    :param path: key in the key-value service.
    :param transaction: writes the final state; it is idempotent and has no effect
        when it is applied late.
    :param expires_s: time since the epoch after which every agent refuses the key for
        its age, so that a failed write is not retried.
    :param continue_after: returns the transaction to send after a result, ``None`` if
        the write is complete; by default it is.
    :param completed: set when the write was acknowledged or has expired.
    """

    path: str
    transaction: Transaction
    expires_s: float
    continue_after: Callable[[TransactionResult], Transaction | None] = lambda _: None
    completed: asyncio.Event = field(default_factory=asyncio.Event)


class FinalWriter:
    """Retry queue for the final states of claims.

    :param submit: sends one transaction to the key-value service.
    :param on_written: called with each write that was acknowledged or has expired.
    :param wall_clock: returns the seconds since the epoch.
    """

    def __init__(
        self,
        submit: SubmitTransaction,
        on_written: Callable[[FinalWrite], None],
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._submit = submit
        self._on_written = on_written
        self._wall_clock = wall_clock
        self._pending: list[FinalWrite] = []
        self._pending_added = asyncio.Event()
        self._drained = asyncio.Event()
        self._drained.set()
        self._worker: asyncio.Task[None] | None = None

    @property
    def pending(self) -> tuple[FinalWrite, ...]:
        """Writes that are not acknowledged yet, oldest first."""
        return tuple(self._pending)

    async def start(self) -> None:
        """Start the background task."""
        self._worker = asyncio.create_task(self._work())

    async def close(self, timeout_s: float) -> None:
        """Wait until no write is pending, then stop the background task.

        :param timeout_s: longest wait; writes that are pending then are lost.
        """
        if self._worker is None:
            return
        try:
            async with asyncio.timeout(timeout_s):
                await self._drained.wait()
        except TimeoutError:
            log_event("claims_left", level="WARNING", pending=len(self._pending))
        self._worker.cancel()
        await asyncio.gather(self._worker, return_exceptions=True)
        self._worker = None

    def add(self, final_write: FinalWrite) -> None:
        """Queue a write of a final state."""
        self._pending.append(final_write)
        self._drained.clear()
        self._pending_added.set()

    async def _work(self) -> None:
        delay_s = MIN_DELAY_S
        while True:
            await self._pending_added.wait()
            self._pending_added.clear()
            while self._pending:
                if await self._write_pending():
                    delay_s = MIN_DELAY_S
                    continue
                await asyncio.sleep(delay_s * random.uniform(0.5, 1.0))
                delay_s = min(delay_s * 2, MAX_DELAY_S)
            self._drained.set()

    async def _write_pending(self) -> bool:
        batch = self._pending[:MAX_CONCURRENT_WRITES]
        return all(await asyncio.gather(*map(self.write, batch)))

    async def write(self, final_write: FinalWrite) -> bool:
        """Try once to perform a pending write.

        :param final_write: a pending write.
        :returns: whether the write is completed: the service acknowledged it,
            whichever branch of its transaction was applied, or the key has expired.
        """
        result = await self._submit(final_write.transaction)
        is_expired = self._wall_clock() > final_write.expires_s
        if not is_expired:
            if isinstance(result, Failure):
                return False
            following = final_write.continue_after(result)
            if following is not None:
                final_write.transaction = following
                return False
        self._pending.remove(final_write)
        final_write.completed.set()
        self._on_written(final_write)
        return True
