"""Breakdown of the bytes of one non-idempotent request at the key-value service.

A relay between the production client and the stand-in records the traffic, including
HTTP headers. Run ``python -m bilberryspring.load.claim_parts`` for the table.
"""

import asyncio
import os
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

from bilberryspring.capability.store import (
    Put,
    Transaction,
)
from bilberryspring.connection.claim_messages import encode_key_transaction
from bilberryspring.identifiers import (
    IdempotencyKey,
    InstanceId,
    RouteName,
    WorkspaceName,
    digest_content,
)
from bilberryspring.platform.keyvalue import (
    make_key_value_client,
)
from bilberryspring.platform.keyvalue_messages import (
    encode_bytes,
)
from bilberryspring.process.accounting import make_ledger
from bilberryspring.request.claim_values import CLAIM_PREFIX
from bilberryspring.request.claims import Claim, ClaimStore, make_claim_store
from bilberryspring.request.idempotency import make_idempotency_key
from bilberryspring.standin.key_value import (
    KeyValueSettings,
    make_key_value_application,
)
from bilberryspring.standin.serving import start_site

__all__ = ["ClaimPart", "measure_claim_parts", "main"]

RETENTION_S = 86_400.0
KEY_VALUE_TIMEOUT_S = 5.0
DEADLINE_S = 60.0
HEADER_END = b"\r\n\r\n"


@dataclass(frozen=True, slots=True)
class ClaimPart:
    """Size of one part of a key-value call.

    :param call: ``claim`` or ``record``.
    :param part: description of the part.
    :param size_bytes: size of the part.
    """

    call: str
    part: str
    size_bytes: int


@dataclass(slots=True)
class _RecordingRelay:
    """TCP relay that records the traffic of its connections in each direction.

    :param target: host and port to connect to.
    :param sent: bytes sent to the target.
    :param received: bytes received from the target.
    """

    target: tuple[str, int]
    sent: bytearray = field(default_factory=bytearray)
    received: bytearray = field(default_factory=bytearray)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target_reader, target_writer = await asyncio.open_connection(*self.target)
        await asyncio.gather(
            _copy_and_record(reader, target_writer, self.sent),
            _copy_and_record(target_reader, writer, self.received),
        )


async def _copy_and_record(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, recorded: bytearray
) -> None:
    while chunk := await reader.read(65_536):
        recorded += chunk
        writer.write(chunk)
    writer.close()


async def measure_claim_parts(body: bytes) -> list[ClaimPart]:
    """Claim a key, record a response, and return the sizes of both calls by part.

    :param body: response body to record.
    """
    host = f"127.{150 + os.getpid() // 256 % 50}.{os.getpid() % 256}.1"
    settings = KeyValueSettings(address=f"{host}:9000")
    runner = await start_site(make_key_value_application(settings), settings.address)
    relay = _RecordingRelay((host, 9000))
    server = await asyncio.start_server(relay.serve, host, 9001)
    ledger = make_ledger()
    client = make_key_value_client([f"{host}:9001"], KEY_VALUE_TIMEOUT_S, ledger)
    store = make_claim_store(
        client, InstanceId("print-desk-17"), RETENTION_S, KEY_VALUE_TIMEOUT_S, ledger
    )
    await client.start()
    await store.start()
    try:
        return await _run_calls(store, relay, body)
    finally:
        await store.close()
        await client.close()
        server.close()
        await runner.cleanup()


async def _run_calls(
    store: ClaimStore, relay: _RecordingRelay, body: bytes
) -> list[ClaimPart]:
    transactions: list[Transaction] = []
    submit = store.batcher.submit

    async def record_transaction(transaction: Transaction) -> object:
        transactions.append(transaction)
        return await submit(transaction)

    store._submit = store.held.final_writer._submit = record_transaction
    parts: list[ClaimPart] = []
    await _claim(store, make_idempotency_key(time.time()))
    for call in ("claim", "record"):
        relay.sent.clear()
        relay.received.clear()
        if call == "claim":
            claim = await _claim(store, make_idempotency_key(time.time()))
            store.begin_send(claim)
        else:
            await store.record(claim, 200, "application/json", body)
        parts += _split_call(call, relay, transactions[-1])
    return parts


async def _claim(store: ClaimStore, key: IdempotencyKey) -> Claim:
    claim = await store.claim(
        WorkspaceName("cankaya"),
        RouteName("print-orders"),
        key,
        digest_content(key.encode()),
        time.monotonic() + DEADLINE_S,
    )
    assert isinstance(claim, Claim), claim
    return claim


def _split_call(
    call: str, relay: _RecordingRelay, transaction: Transaction
) -> Iterator[ClaimPart]:
    head, _, payload = bytes(relay.sent).partition(HEADER_END)
    reply_head, _, reply = bytes(relay.received).partition(HEADER_END)
    key_text = encode_bytes(transaction.compares[0].key).encode()
    key_bytes = payload.count(key_text) * len(key_text)
    value_bytes = sum(
        len(text) * payload.count(text) for text in set(_encode_values(transaction))
    )
    other_bytes = len(payload) - key_bytes - value_bytes
    yield ClaimPart(call, "request headers", len(head) + len(HEADER_END))
    yield ClaimPart(call, "request, key in base64", key_bytes)
    yield ClaimPart(call, "request, stored values in base64", value_bytes)
    yield ClaimPart(call, "request, the rest", other_bytes)
    yield ClaimPart(call, "reply headers", len(reply_head) + len(HEADER_END))
    yield ClaimPart(call, "reply", len(reply))
    forwarded = encode_key_transaction(transaction, CLAIM_PREFIX)
    yield ClaimPart(call, "to a batcher", len(forwarded))


def _encode_values(transaction: Transaction) -> Iterator[bytes]:
    """Yield each value of a transaction in its encoding on the wire."""
    for compare in transaction.compares:
        if isinstance(compare.operand, bytes):
            yield encode_bytes(compare.operand).encode()
    for operation in transaction.success:
        if isinstance(operation, Put):
            yield encode_bytes(operation.value).encode()


def main() -> None:
    """Measure both calls and print a table."""
    parts = asyncio.run(measure_claim_parts(b'{"recorded": 1, "copies": 3}'))
    print("| call | part | bytes |\n|---|---|---|")
    for part in parts:
        print(f"| {part.call} | {part.part} | {part.size_bytes} |")


if __name__ == "__main__":
    main()
