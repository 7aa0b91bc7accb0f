"""Group commit of claims: concurrent claims share one call to the key-value service.

Each claim is a separate transaction, nested in the call's transaction, and succeeds or
fails independently of the others. Transactions accumulate in the queue while the
maximum number of calls is in flight. Batches start at least a minimum interval apart.
The interval is longer in a pool whose agents share batchers, because all batchers use
the write capacity of one service. A claim that arrives after an idle interval is sent
immediately.
"""

import asyncio
import time
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

from bilberryspring.capability.store import (
    Put,
    Store,
    Transaction,
    TransactionResult,
)
from bilberryspring.process.accounting import ControlMechanism
from bilberryspring.request.errors import (
    ErrorKind,
    Failure,
    Outcome,
    make_failure,
)

__all__ = ["SubmitTransaction", "TransactionBatcher"]

SubmitTransaction = Callable[[Transaction], Awaitable[TransactionResult | Failure]]

MAX_BATCH_TRANSACTIONS = 64
MAX_BATCH_BYTES = 262_144
MAX_CALLS_IN_FLIGHT = 2
MIN_BATCH_INTERVAL_S = 0.025
MIN_SHARED_BATCH_INTERVAL_S = 0.25
LEASE_NOT_FOUND_TEXT = "lease not found"


@dataclass(slots=True)
class _QueuedTransaction:
    transaction: Transaction
    result: asyncio.Future[TransactionResult | Failure]
    interval_s: float
    is_sent: bool = False


class TransactionBatcher:
    """Queue that sends single-key transactions in batches.

    :param key_value: client of the key-value service.
    :param timeout_s: longest wait for the result of one transaction, including the
        time in the queue.
    """

    def __init__(self, key_value: Store, timeout_s: float) -> None:
        self._key_value = key_value
        self._timeout_s = timeout_s
        self._queue: deque[_QueuedTransaction] = deque()
        self._queue_filled = asyncio.Event()
        self._next_batch_s = 0.0
        self._senders: list[asyncio.Task[None]] = []
        self.forwarded_transactions = 0

    async def start(self) -> None:
        """Start the sender tasks."""
        self._senders = [
            asyncio.create_task(self._send_batches())
            for _ in range(MAX_CALLS_IN_FLIGHT)
        ]

    async def close(self) -> None:
        """Stop the sender tasks and fail the queued transactions as not run."""
        for sender in self._senders:
            sender.cancel()
        await asyncio.gather(*self._senders, return_exceptions=True)
        self._senders = []
        for queued in self._queue:
            _resolve(
                queued, _make_store_failure("the batcher is closed", Outcome.NOT_RUN)
            )
        self._queue.clear()

    async def submit(
        self, transaction: Transaction, *, is_shared: bool = False
    ) -> TransactionResult | Failure:
        """Queue one transaction and wait for its result.

        :param transaction: a transaction on one key, which its first compare names.
        :param is_shared: whether this batcher also sends the claims of other agents,
            so that the longer batch interval applies.
        :returns: the result of this transaction; a ``PLATFORM_UNAVAILABLE`` failure if
            the batcher is closed, the call fails or the timeout expires.
        """
        if not self._senders:
            return _make_store_failure("the batcher is closed", Outcome.NOT_RUN)
        interval_s = MIN_SHARED_BATCH_INTERVAL_S if is_shared else MIN_BATCH_INTERVAL_S
        result = asyncio.get_running_loop().create_future()
        queued = _QueuedTransaction(transaction, result, interval_s)
        self._queue.append(queued)
        self._queue_filled.set()
        try:
            return await asyncio.wait_for(queued.result, self._timeout_s)
        except TimeoutError:
            outcome = Outcome.UNKNOWN if queued.is_sent else Outcome.NOT_RUN
            return _make_store_failure(
                "no reply from the key-value service before the timeout", outcome
            )

    async def _send_batches(self) -> None:
        while True:
            await self._queue_filled.wait()
            now_s = time.monotonic()
            if now_s < self._next_batch_s:
                await asyncio.sleep(self._next_batch_s - now_s)
                continue
            batch = self._take_batch()
            if not self._queue:
                self._queue_filled.clear()
            if batch:
                interval_s = max(queued.interval_s for queued in batch)
                self._next_batch_s = now_s + interval_s
                await self._send_batch(batch)

    def _take_batch(self) -> list[_QueuedTransaction]:
        """Remove the next batch from the queue.

        The service rejects a call that writes one key twice, so a second transaction
        on a key stays in the queue.
        """
        batch: list[_QueuedTransaction] = []
        keys: set[str] = set()
        postponed: list[_QueuedTransaction] = []
        batch_bytes = 0
        while self._queue and len(batch) < MAX_BATCH_TRANSACTIONS:
            queued = self._queue.popleft()
            key = _get_key(queued.transaction)
            if queued.result.done():
                continue
            if key in keys:
                postponed.append(queued)
                continue
            batch_bytes += _estimate_bytes(queued.transaction)
            if batch and batch_bytes > MAX_BATCH_BYTES:
                postponed.append(queued)
                break
            keys.add(key)
            queued.is_sent = True
            batch.append(queued)
        self._queue.extendleft(reversed(postponed))
        return batch

    async def _send_or_split(
        self, transactions: list[Transaction]
    ) -> list[TransactionResult | Failure]:
        """Send a batch; if a lease in it does not exist, send each transaction alone.

        Agents of the previous version write the final states of claims on leases, and
        one expired lease makes the service reject the whole call.
        """
        results = await send_transactions(self._key_value, transactions)
        if len(transactions) == 1 or not _is_lease_not_found(results[0]):
            return results
        return [
            (await send_transactions(self._key_value, [transaction]))[0]
            for transaction in transactions
        ]

    async def _send_batch(self, batch: list[_QueuedTransaction]) -> None:
        transactions = [queued.transaction for queued in batch]
        try:
            results = await self._send_or_split(transactions)
        except asyncio.CancelledError:
            for queued in batch:
                _resolve(
                    queued,
                    _make_store_failure("the batcher is closed", Outcome.UNKNOWN),
                )
            raise
        for queued, result in zip(batch, results, strict=True):
            _resolve(queued, result)


def _is_lease_not_found(result: TransactionResult | Failure) -> bool:
    """Return whether the service rejected a call because a lease does not exist."""
    return isinstance(result, Failure) and LEASE_NOT_FOUND_TEXT in result.reason


async def send_transactions(
    key_value: Store, transactions: list[Transaction]
) -> list[TransactionResult | Failure]:
    """Send transactions in one call; each succeeds or fails independently.

    :param key_value: client of the key-value service.
    :param transactions: transactions on different keys, at least one.
    :returns: the result of each transaction, in the same order.
    """
    if len(transactions) == 1:
        return [await _send_single(key_value, transactions[0])]
    reply = await key_value.transact(
        (), transactions, mechanism=ControlMechanism.CLAIMS
    )
    if isinstance(reply, Failure):
        return [reply] * len(transactions)
    results = list(reply.responses)
    is_complete = len(results) == len(transactions) and all(
        isinstance(result, TransactionResult) for result in results
    )
    if not is_complete:
        return [_make_store_failure("the reply is incomplete", Outcome.UNKNOWN)] * len(
            transactions
        )
    return [replace(result, history_id=reply.history_id) for result in results]


async def _send_single(
    key_value: Store, transaction: Transaction
) -> TransactionResult | Failure:
    """Send one transaction without nesting it in another one."""
    return await key_value.transact(
        transaction.compares,
        transaction.success,
        transaction.failure,
        mechanism=ControlMechanism.CLAIMS,
    )


def _get_key(transaction: Transaction) -> str:
    return transaction.compares[0].key


def _estimate_bytes(transaction: Transaction) -> int:
    """Return the approximate size of the values in a transaction, in bytes."""
    return sum(
        len(operation.value) if isinstance(operation, Put) else 0
        for operation in transaction.success
    ) + sum(
        len(compare.operand) if isinstance(compare.operand, bytes) else 0
        for compare in transaction.compares
    )


def _resolve(queued: _QueuedTransaction, result: TransactionResult | Failure) -> None:
    if not queued.result.done():
        queued.result.set_result(result)


def _make_store_failure(reason: str, outcome: Outcome) -> Failure:
    return make_failure(ErrorKind.PLATFORM_UNAVAILABLE, reason, outcome=outcome)
