"""Cost of a non-idempotent request at the key-value service."""

import asyncio
import time
from dataclasses import dataclass

from bilberryspring.identifiers import InstanceId, RouteName, WorkspaceName
from bilberryspring.load.key_value_rig import run_key_value_standin
from bilberryspring.process.accounting import ControlMechanism, make_ledger
from bilberryspring.request.at_most_once import (
    KeyedRequest,
    ServiceResponse,
    run_at_most_once,
)
from bilberryspring.request.claims import ClaimStore, make_claim_store
from bilberryspring.request.idempotency import make_idempotency_key

__all__ = ["ClaimCost", "measure_claims"]

RETENTION_S = 86_400.0
KEY_VALUE_TIMEOUT_S = 5.0
DEADLINE_S = 60.0
SERVICE_ANSWER = ServiceResponse(200, "application/json", b'{"recorded": 1}')


@dataclass(frozen=True, slots=True)
class ClaimCost:
    """Cost of the claims of one agent.

    :param concurrency: number of concurrent requests.
    :param requests: number of requests that ran.
    :param writes: write calls that the key-value service counted.
    :param reads: read calls that the key-value service counted.
    :param bytes_per_request: payload bytes sent and received per request.
    :param cpu_ms_per_request: CPU time of agent and stand-in per request.
    """

    concurrency: int
    requests: int
    writes: int
    reads: int
    bytes_per_request: float
    cpu_ms_per_request: float


async def measure_claims(concurrency: int, requests: int) -> ClaimCost:
    """Run non-idempotent requests against a stand-in in this process.

    :param concurrency: number of concurrent requests.
    :param requests: number of requests, each with its own idempotency key.
    """
    ledger = make_ledger()
    request_numbers = iter(range(requests))

    async def run_requests(store: ClaimStore) -> None:
        for _ in request_numbers:
            request = KeyedRequest(
                WorkspaceName("workspace"),
                RouteName("route"),
                make_idempotency_key(time.time()),
                "d" * 32,
                time.monotonic() + DEADLINE_S,
            )
            answer = await run_at_most_once(store, request, _send_to_service)
            assert answer == SERVICE_ANSWER, answer

    async with run_key_value_standin(ledger, KEY_VALUE_TIMEOUT_S) as (client, calls):
        store = make_claim_store(
            client, InstanceId("agent-1"), RETENTION_S, KEY_VALUE_TIMEOUT_S, ledger
        )
        await store.start()
        started_s = time.process_time()
        try:
            await asyncio.gather(*(run_requests(store) for _ in range(concurrency)))
        finally:
            await store.close()
    claim_traffic = ledger.by_mechanism[ControlMechanism.CLAIMS]
    total_bytes = claim_traffic.sent_bytes + claim_traffic.received_bytes
    cpu_s = time.process_time() - started_s
    return ClaimCost(
        concurrency,
        requests,
        calls["writes"],
        calls["reads"],
        total_bytes / requests,
        cpu_s / requests * 1000,
    )


async def _send_to_service() -> ServiceResponse:
    await asyncio.sleep(0)
    return SERVICE_ANSWER
