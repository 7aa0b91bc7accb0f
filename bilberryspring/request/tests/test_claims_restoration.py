"""Claims while the key-value service is restored from a copy."""

import asyncio
from types import SimpleNamespace

import pytest

from bilberryspring.capability.instance_list import Instance, InstanceState, Role
from bilberryspring.process.accounting import ControlMechanism, make_ledger
from bilberryspring.request import claims, remembered_claims
from bilberryspring.request.claim_forwarding import (
    ClaimFleet,
    handle_forwarded_claim,
)
from bilberryspring.request.claims import Claim, StoredResponse
from bilberryspring.request.errors import ErrorKind, Outcome
from bilberryspring.request.tests.test_claims import (
    claim,
    harness,
    make_request,
    wait_for_final_writes,
)

__all__ = ["harness"]

CLAIMS = ControlMechanism.CLAIMS
GRACE_S = 0.5


async def test_claim_of_a_reused_revision_is_not_overwritten(harness):
    first = await harness.open_store("agent-1")
    second = await harness.open_store("agent-2")
    other = await harness.open_store("agent-3")
    request = make_request()
    harness.standin.make_copy()
    await first.release(await claim(first, request))
    await wait_for_final_writes(first)
    released_revision = harness.standin.store.revision
    submit = second._submit
    others_claims = []

    async def restore_before_the_second_try(transaction):
        if not others_claims and transaction.compares[0].operand:
            harness.standin.restore()
            client = harness.opened[1]
            while harness.standin.store.revision < released_revision - 1:
                await client.put("/filler", b"", mechanism=CLAIMS)
            others_claims.append(await claim(other, request))
            assert harness.standin.store.revision == released_revision
        return await submit(transaction)

    second._submit = restore_before_the_second_try
    result = await claim(second, request)
    assert others_claims
    assert not (isinstance(result, Claim) and isinstance(others_claims[0], Claim))
    [stored] = await harness.read_values()
    assert stored.holder == "agent-3"


@pytest.fixture(autouse=True)
def short_grace(monkeypatch):
    monkeypatch.setattr(claims, "RESTORATION_GRACE_S", GRACE_S, raising=False)


async def observe(harness):
    """Let every agent read the store once, so that it learns of a restoration."""
    for client in harness.opened[1::2]:
        await client.get("/any", mechanism=CLAIMS)


async def wait_for_trust(*stores):
    await asyncio.sleep(GRACE_S)
    for store in stores:
        await wait_for_final_writes(store)


async def claim_and_send(store, request):
    held = await claim(store, request)
    assert store.begin_send(held) is None
    return held


@pytest.mark.parametrize("copied", ["nothing", "claim", "release of another claim"])
@pytest.mark.parametrize("has_response", [True, False])
async def test_order_whose_record_was_lost_does_not_run_again(
    harness, copied, has_response
):
    first = await harness.open_store("agent-1")
    second = await harness.open_store("agent-2")
    request = make_request()
    if copied == "release of another claim":
        await second.release(await claim(second, request))
        await wait_for_final_writes(second)
    await observe(harness)
    if copied != "claim":
        harness.standin.make_copy()
    held = await claim_and_send(first, request)
    if copied == "claim":
        harness.standin.make_copy()
    if has_response:
        await first.record(held, 201, "text/plain", b"order 7")
    else:
        await first.record_unknown(held)
    await wait_for_final_writes(first)
    harness.standin.restore()
    await observe(harness)
    refused = await claim(second, request)
    assert refused.kind is ErrorKind.CLAIM_STORE_UNAVAILABLE
    assert refused.outcome is Outcome.NOT_RUN
    await wait_for_trust(first, second)
    result = await claim(second, request)
    if has_response:
        assert result == StoredResponse(201, "text/plain", b"order 7")
    else:
        assert result.kind is ErrorKind.OUTCOME_UNKNOWN


async def test_running_order_whose_claim_was_lost_does_not_run_again(harness):
    first = await harness.open_store("agent-1")
    second = await harness.open_store("agent-2")
    request = make_request()
    await observe(harness)
    harness.standin.make_copy()
    held = await claim_and_send(first, request)
    harness.standin.restore()
    # The second agent learns of the restoration from the reply to its own claim.
    refused = await claim(second, request)
    assert refused.kind is ErrorKind.CLAIM_STORE_UNAVAILABLE
    assert refused.outcome is Outcome.NOT_RUN
    await wait_for_final_writes(second)
    await observe(harness)
    await wait_for_trust(first, second)
    assert (await claim(second, request)).kind is ErrorKind.REQUEST_IN_PROGRESS
    await first.record(held, 200, "text/plain", b"done")
    await wait_for_final_writes(first)
    assert await claim(second, request) == StoredResponse(200, "text/plain", b"done")


async def test_order_is_not_sent_on_a_claim_of_a_former_history(harness):
    first = await harness.open_store("agent-1")
    second = await harness.open_store("agent-2")
    request = make_request()
    await observe(harness)
    harness.standin.make_copy()
    held = await claim(first, request)
    harness.standin.restore()
    await observe(harness)
    await wait_for_trust(second)
    assert isinstance(await claim(second, request), Claim)
    refused = first.begin_send(held)
    assert refused.kind is ErrorKind.CLAIM_STORE_UNAVAILABLE
    assert refused.outcome is Outcome.NOT_RUN
    await wait_for_final_writes(first)
    assert await harness.read_states() == ["claimed"]


async def test_holder_answers_from_memory_before_it_learns_of_the_restoration(harness):
    first = await harness.open_store("agent-1")
    request = make_request()
    await observe(harness)
    harness.standin.make_copy()
    await first.record(await claim_and_send(first, request), 200, "text/plain", b"done")
    await wait_for_final_writes(first)
    harness.standin.restore()
    assert await claim(first, request) == StoredResponse(200, "text/plain", b"done")
    other = make_request(request.key, content=b"2")
    assert (await claim(first, other)).kind is ErrorKind.IDEMPOTENCY_KEY_REUSED


async def test_remembered_claims_are_bounded(harness, monkeypatch):
    monkeypatch.setattr(remembered_claims, "MAX_CLAIMS", 3)
    monkeypatch.setattr(remembered_claims, "MAX_BYTES", 20_000)
    store = await harness.open_store()
    for size in (0, 0, 0, 0, 16_000, 16_000):
        held = await claim_and_send(store, make_request())
        await store.record(held, 200, "text/plain", b"x" * size)
        assert 1 <= len(store.remembered) <= 3
    assert len(store.remembered) == 1


class BatcherPeers:
    """Peers whose calls reach the batcher of one agent."""

    def __init__(self, store):
        self.process = SimpleNamespace(claims=store, ledger=make_ledger())

    async def call(self, address, method, payload, timeout_s):
        return await handle_forwarded_claim(self.process, payload, "agent-1")


@pytest.mark.parametrize("concurrent", [1, 3])
async def test_agent_learns_of_a_restoration_from_a_forwarded_claim(
    harness, concurrent
):
    batcher = await harness.open_store("agent-2")
    member = Instance("agent-2", Role.AGENT, "p", "z", "r", "b", InstanceState.LIVE)
    members = SimpleNamespace(instances=lambda pool: [member])
    fleet = ClaimFleet("p", members, BatcherPeers(batcher), max_direct_agents=0)
    store = await harness.open_store("agent-1", fleet)
    await observe(harness)
    harness.standin.make_copy()
    held = await claim_and_send(store, make_request())
    harness.standin.restore()
    requests = [make_request() for _ in range(concurrent)]
    results = await asyncio.gather(*(claim(store, each) for each in requests))
    for refused in results:
        assert refused.kind is ErrorKind.CLAIM_STORE_UNAVAILABLE
    await wait_for_trust(store, batcher)
    assert "claimed" in await harness.read_states()
    await store.record(held, 200, "text/plain", b"done")


async def test_order_does_not_run_again_after_two_restorations(harness):
    first = await harness.open_store("agent-1")
    second = await harness.open_store("agent-2")
    request = make_request()
    await observe(harness)
    harness.standin.make_copy()
    held = await claim_and_send(first, request)
    harness.standin.restore()
    await observe(harness)
    await first.record(held, 200, "text/plain", b"done")
    await wait_for_final_writes(first)
    harness.standin.restore()
    await observe(harness)
    await wait_for_trust(first, second)
    assert await claim(second, request) == StoredResponse(200, "text/plain", b"done")
