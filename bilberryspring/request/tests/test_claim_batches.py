"""Batches of claims: interval between calls, and latency after an idle interval."""

import asyncio

import pytest

from bilberryspring.capability.store import (
    Put,
    PutResult,
    Transaction,
    TransactionResult,
    key_absent,
)
from bilberryspring.request.claim_batches import (
    MIN_BATCH_INTERVAL_S,
    MIN_SHARED_BATCH_INTERVAL_S,
    TransactionBatcher,
)

DONE = TransactionResult(True, (PutResult(1),), 1)


class RecordingService:
    """Key-value service that records the time and size of every call."""

    def __init__(self):
        self.calls = []

    async def transact(self, compares, success, failure=(), *, mechanism):
        self.calls.append((asyncio.get_running_loop().time(), len(success)))
        if compares:
            return DONE
        return TransactionResult(True, (DONE,) * len(success), 1)


def make_transaction(number):
    key = f"/c/{number}"
    return Transaction((key_absent(key),), (Put(key, b"v"),))


@pytest.mark.parametrize(
    "is_shared, interval_s",
    [(False, MIN_BATCH_INTERVAL_S), (True, MIN_SHARED_BATCH_INTERVAL_S)],
)
async def test_calls_start_at_least_an_interval_apart(is_shared, interval_s):
    service = RecordingService()
    batcher = TransactionBatcher(service, 5.0)
    await batcher.start()
    running = []
    for number in range(60):
        submission = batcher.submit(make_transaction(number), is_shared=is_shared)
        running.append(asyncio.create_task(submission))
        await asyncio.sleep(0.01)
    assert await asyncio.gather(*running) == [DONE] * 60
    await batcher.close()
    times_s = [at_s for at_s, _ in service.calls]
    gaps_s = [b - a for a, b in zip(times_s, times_s[1:], strict=False)]
    assert min(gaps_s) >= interval_s * 0.9
    assert sum(size for _, size in service.calls) == 60


async def test_claim_after_an_idle_interval_is_sent_immediately():
    service = RecordingService()
    batcher = TransactionBatcher(service, 5.0)
    await batcher.start()
    async with asyncio.timeout(MIN_SHARED_BATCH_INTERVAL_S / 2):
        await batcher.submit(make_transaction(1), is_shared=True)
    await batcher.close()
