"""Claims against the key-value stand-in, with injected faults."""

import asyncio
import time
from dataclasses import replace
from types import SimpleNamespace

import pytest
from aiohttp.test_utils import TestServer

from bilberryspring.capability.instance_list import (
    Instance,
    InstanceState,
    Role,
)
from bilberryspring.identifiers import digest_content
from bilberryspring.platform.keyvalue import (
    make_key_value_client,
)
from bilberryspring.process.accounting import ControlMechanism, make_ledger
from bilberryspring.request.at_most_once import (
    KeyedRequest,
    ServiceResponse,
    run_at_most_once,
)
from bilberryspring.request.claim_forwarding import ClaimFleet
from bilberryspring.request.claim_values import (
    CLAIM_PREFIX,
    MAX_STORED_BODY_BYTES,
    decode_claim_value,
)
from bilberryspring.request.claims import Claim, StoredResponse, make_claim_store
from bilberryspring.request.errors import ErrorKind, Failure, Outcome, make_failure
from bilberryspring.request.idempotency import make_idempotency_key
from bilberryspring.standin.key_value import (
    STANDIN,
    KeyValueFaults,
    KeyValueSettings,
    make_key_value_application,
)

RETENTION_S = 3600.0
CALL_TIMEOUT_S = 0.5
DEADLINE_S = 30.0
FINAL_WRITE_TIMEOUT_S = 10.0


class ClaimHarness:
    """Key-value stand-in and the claim stores of several agents."""

    def __init__(self, application, address):
        self.standin = application[STANDIN]
        self.address = address
        self.opened = []

    async def open_store(self, name="agent-1", fleet=None):
        client = make_key_value_client([self.address], CALL_TIMEOUT_S, make_ledger())
        await client.start()
        store = make_claim_store(
            client, name, RETENTION_S, CALL_TIMEOUT_S, make_ledger(), fleet
        )
        await store.start()
        self.opened += [store, client]
        return store

    def set_faults(self, **faults):
        self.standin.faults = KeyValueFaults(**faults)

    async def read_values(self):
        client = self.opened[1]
        found = await client.get_prefix(CLAIM_PREFIX, mechanism=ControlMechanism.CLAIMS)
        return [decode_claim_value(item.value) for item in found.items]

    async def read_states(self):
        return [value.state.value for value in await self.read_values()]


@pytest.fixture
async def harness():
    settings = KeyValueSettings(address="127.0.0.1:1", writes_per_s=1e6)
    application = make_key_value_application(settings)
    server = TestServer(application)
    await server.start_server()
    harness = ClaimHarness(application, f"{server.host}:{server.port}")
    yield harness
    harness.set_faults()
    for each in harness.opened:
        await each.close()
    await server.close()


def make_request(key=None, content=b"1"):
    return KeyedRequest(
        "cankaya",
        "orders",
        key or make_idempotency_key(time.time()),
        digest_content(content),
        time.monotonic() + DEADLINE_S,
    )


async def claim(store, request):
    return await store.claim(
        request.workspace,
        request.route,
        request.key,
        request.content_digest,
        request.deadline_monotonic_s,
    )


async def wait_for_final_writes(store):
    async with asyncio.timeout(FINAL_WRITE_TIMEOUT_S):
        while store.pending_final_writes:
            await asyncio.sleep(0.01)


def drop_leases(harness):
    for lease_id in list(harness.standin.store.leases):
        harness.standin.store.revoke_lease(lease_id)


@pytest.mark.parametrize("same_agent", [True, False])
async def test_second_request_with_a_key_gets_the_state_of_the_first(
    harness, same_agent
):
    first = await harness.open_store("agent-1")
    second = first if same_agent else await harness.open_store("agent-2")
    request = make_request()
    held = await claim(first, request)
    assert isinstance(held, Claim)
    assert (await claim(second, request)).kind is ErrorKind.REQUEST_IN_PROGRESS
    other = make_request(request.key, content=b"2")
    assert (await claim(second, other)).kind is ErrorKind.IDEMPOTENCY_KEY_REUSED
    assert first.begin_send(held) is None
    await first.record(held, 201, "text/plain", b"order 7")
    await wait_for_final_writes(first)
    expected = StoredResponse(201, "text/plain", b"order 7")
    assert await claim(second, request) == expected
    assert (await claim(second, other)).kind is ErrorKind.IDEMPOTENCY_KEY_REUSED


@pytest.mark.parametrize(
    "faults",
    [
        {"lose_replies": 1, "reply_prefix": CLAIM_PREFIX},
        {"lose_replies": 2, "reply_prefix": CLAIM_PREFIX},
        {"delay_s": CALL_TIMEOUT_S / 4},
    ],
)
async def test_claim_succeeds_after_lost_or_delayed_replies(harness, faults):
    store = await harness.open_store()
    await claim(store, make_request())
    harness.set_faults(**faults)
    assert isinstance(await claim(store, make_request()), Claim)


@pytest.mark.parametrize(
    "faults",
    [
        {"outage": True},
        {"unavailable": True},
        {"hang": True},
        {"lose_replies": 9, "reply_prefix": CLAIM_PREFIX},
        {"hang_replies": 9, "reply_prefix": CLAIM_PREFIX},
    ],
)
async def test_claim_refused_in_an_outage_did_not_run_and_frees_its_key(
    harness, faults
):
    store = await harness.open_store("agent-1")
    other = await harness.open_store("agent-2")
    await claim(store, make_request())
    harness.set_faults(**faults)
    request = make_request()
    refusal = await claim(store, request)
    assert refusal.kind is ErrorKind.CLAIM_STORE_UNAVAILABLE
    assert refusal.outcome is Outcome.NOT_RUN
    assert refusal.retry_after_s > 0
    immediate = await claim(store, make_request())
    assert immediate.kind is ErrorKind.CLAIM_STORE_UNAVAILABLE
    harness.set_faults()
    await wait_for_final_writes(store)
    assert isinstance(await claim(other, request), Claim)


async def test_response_recorded_in_an_outage_is_stored_afterwards(harness):
    store = await harness.open_store("agent-1")
    other = await harness.open_store("agent-2")
    request = make_request()
    held = await claim(store, request)
    assert store.begin_send(held) is None
    harness.set_faults(outage=True)
    await store.record(held, 200, "text/plain", b"done")
    await asyncio.sleep(0.3)
    expected = StoredResponse(200, "text/plain", b"done")
    assert await claim(store, request) == expected
    harness.set_faults()
    await wait_for_final_writes(store)
    assert await claim(other, request) == expected


@pytest.mark.parametrize(
    "answer, then",
    [
        (make_failure(ErrorKind.BACKEND_UNREACHABLE), "runs"),
        (make_failure(ErrorKind.BACKEND_CRASHED), ErrorKind.OUTCOME_UNKNOWN),
        (
            ServiceResponse(200, "text/plain", b"x" * (MAX_STORED_BODY_BYTES + 1)),
            ErrorKind.UNKNOWN_ANSWER,
        ),
        (
            ServiceResponse(200, "text/plain", b""),
            StoredResponse(200, "text/plain", b""),
        ),
    ],
)
async def test_retry_depends_on_the_outcome_of_the_first_attempt(harness, answer, then):
    store = await harness.open_store()
    request = make_request()
    sent = []

    async def send():
        sent.append(1)
        return answer

    assert await run_at_most_once(store, request, send) == answer
    await wait_for_final_writes(store)
    retried = await run_at_most_once(store, request, send)
    if then == "runs":
        assert len(sent) == 2
        assert retried == answer
    elif isinstance(then, ErrorKind):
        assert len(sent) == 1
        assert isinstance(retried, Failure) and retried.kind is then
    else:
        assert len(sent) == 1
        assert retried == then


async def test_cancelled_request_keeps_its_claim_only_if_it_was_sent(harness):
    store = await harness.open_store()

    async def never():
        await asyncio.Event().wait()

    sent = make_request()
    running = asyncio.create_task(run_at_most_once(store, sent, never))
    while not store.held:
        await asyncio.sleep(0.01)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    harness.set_faults(delay_s=CALL_TIMEOUT_S / 4)
    unsent = make_request()
    running = asyncio.create_task(run_at_most_once(store, unsent, never))
    await asyncio.sleep(CALL_TIMEOUT_S / 8)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    harness.set_faults()
    await wait_for_final_writes(store)
    assert (await claim(store, sent)).kind is ErrorKind.OUTCOME_UNKNOWN
    assert isinstance(await claim(store, unsent), Claim)


async def test_concurrent_claims_are_sent_in_batches(harness):
    store = await harness.open_store()
    await claim(store, make_request())
    before = harness.standin.calls["writes"]
    request = make_request()
    requests = [make_request() for _ in range(40)] + [request, request]
    results = await asyncio.gather(*(claim(store, each) for each in requests))
    assert sum(isinstance(each, Claim) for each in results) == 41
    assert harness.standin.calls["writes"] - before <= 6
    assert (await harness.read_states()) == ["claimed"] * 42


class UnresponsivePeers:
    """Peers that accept a call and never respond."""

    async def call(self, address, method, payload, timeout_s):
        await asyncio.sleep(timeout_s)
        return make_failure(ErrorKind.DEADLINE_EXCEEDED)


async def test_claim_succeeds_although_the_batcher_does_not_respond(harness):
    batcher = Instance("b", Role.AGENT, "p", "z", "r", "b", InstanceState.LIVE)
    members = SimpleNamespace(instances=lambda pool: [batcher])
    fleet = ClaimFleet("p", members, UnresponsivePeers(), max_direct_agents=0)
    store = await harness.open_store(fleet=fleet)
    held = await claim(store, make_request())
    assert isinstance(held, Claim)


async def test_claim_is_in_progress_until_its_holder_could_release_it(harness):
    holder = await harness.open_store("agent-1")
    other = await harness.open_store("agent-2")
    request = replace(make_request(), deadline_monotonic_s=time.monotonic() + 0.3)
    held = await claim(holder, request)
    assert isinstance(held, Claim)
    await asyncio.sleep(0.4)
    repeated = replace(request, deadline_monotonic_s=time.monotonic() + DEADLINE_S)
    assert (await claim(other, repeated)).kind is ErrorKind.REQUEST_IN_PROGRESS
    assert holder.begin_send(held).kind is ErrorKind.DEADLINE_EXCEEDED
    await wait_for_final_writes(holder)
    assert isinstance(await claim(other, repeated), Claim)


async def test_claim_and_its_outcome_survive_dropped_leases(harness):
    store = await harness.open_store("agent-1")
    other = await harness.open_store("agent-2")
    request = make_request()
    held = await claim(store, request)
    assert store.begin_send(held) is None
    drop_leases(harness)
    assert (await claim(other, request)).kind is ErrorKind.REQUEST_IN_PROGRESS
    await store.record(held, 200, "text/plain", b"done")
    await wait_for_final_writes(store)
    drop_leases(harness)
    expected = StoredResponse(200, "text/plain", b"done")
    assert await claim(other, request) == expected
    assert isinstance(await claim(store, make_request()), Claim)


async def test_unknown_outcome_survives_dropped_leases(harness):
    store = await harness.open_store()
    request = make_request()
    held = await claim(store, request)
    assert store.begin_send(held) is None
    await store.record_unknown(held)
    await wait_for_final_writes(store)
    drop_leases(harness)
    assert (await claim(store, request)).kind is ErrorKind.OUTCOME_UNKNOWN


@pytest.mark.parametrize(
    "age_s, kind",
    [
        (RETENTION_S + 10, ErrorKind.IDEMPOTENCY_KEY_EXPIRED),
        (-120, ErrorKind.INVALID_IDEMPOTENCY_KEY),
    ],
)
async def test_expired_or_future_key_is_refused(harness, age_s, kind):
    store = await harness.open_store()
    request = make_request(make_idempotency_key(time.time() - age_s))
    assert (await claim(store, request)).kind is kind
