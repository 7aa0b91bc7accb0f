"""Forwarding of claims through the batchers of other agents."""

from types import SimpleNamespace

import pytest

from bilberryspring.capability.instance_list import (
    Instance,
    InstanceState,
    Role,
)
from bilberryspring.capability.store import (
    Get,
    KeyRange,
    KeyValue,
    Put,
    Transaction,
    TransactionResult,
    key_absent,
)
from bilberryspring.connection.claim_messages import encode_key_transaction
from bilberryspring.process.accounting import make_ledger
from bilberryspring.request.claim_forwarding import (
    MAX_DIRECT_AGENTS,
    SHARD_COUNT,
    ClaimFleet,
    ClaimForwarder,
    choose_batcher,
    handle_forwarded_claim,
)
from bilberryspring.request.claim_values import CLAIM_PREFIX
from bilberryspring.request.errors import ErrorKind, Failure, Outcome, make_failure

PATH = CLAIM_PREFIX + "orders/cankaya/key"
CLAIM = Transaction((key_absent(PATH),), (Put(PATH, b"mine"),), (Get(PATH),))
EXISTING_CLAIM = TransactionResult(
    False, (KeyRange((KeyValue(PATH, b"other", 3, 4, 1),), 9),), 9
)


def make_instances(count):
    return [
        Instance(f"a{n}", Role.AGENT, "p", "z", "r", f"a{n}", InstanceState.LIVE)
        for n in range(count)
    ]


class RecordingBatcher:
    """Batcher that records the submitted transactions and returns a fixed result."""

    forwarded_transactions = 0

    def __init__(self, result):
        self.result = result
        self.sent = []

    async def submit(self, transaction, *, is_shared=False):
        self.sent.append(transaction)
        self.is_shared = is_shared
        return self.result


class BatcherPeers:
    """Peers that deliver every call to one batcher, or return a fixed failure."""

    def __init__(self, remote, failure=None):
        self.failure = failure
        self.called = []
        self.process = SimpleNamespace(
            claims=SimpleNamespace(batcher=remote), ledger=make_ledger()
        )

    async def call(self, address, method, payload, timeout_s):
        self.called.append(address)
        if self.failure is not None:
            return self.failure
        return await handle_forwarded_claim(self.process, payload, "agent")


def make_forwarder(count, peers, local, instance_id="nobody"):
    instances = make_instances(count)
    members = SimpleNamespace(instances=lambda pool: instances)
    fleet = ClaimFleet("p", members, peers)
    return ClaimForwarder(instance_id, fleet, local, 1.0, make_ledger())


async def test_agents_of_a_small_pool_send_claims_directly():
    local, peers = (
        RecordingBatcher(EXISTING_CLAIM),
        BatcherPeers(RecordingBatcher(EXISTING_CLAIM)),
    )
    forwarder = make_forwarder(MAX_DIRECT_AGENTS, peers, local)
    assert await forwarder.submit(CLAIM) == EXISTING_CLAIM
    assert (local.sent, peers.called) == ([CLAIM], [])
    assert not local.is_shared


async def test_batcher_sends_the_transaction_unchanged_and_returns_its_result():
    remote, local = RecordingBatcher(EXISTING_CLAIM), RecordingBatcher(None)
    forwarder = make_forwarder(MAX_DIRECT_AGENTS + 1, BatcherPeers(remote), local)
    result = await forwarder.submit(CLAIM)
    assert not result.succeeded
    [item] = result.responses[0].items
    assert (item.value, item.mod_revision) == (b"other", 4)
    assert (remote.sent, local.sent) == ([CLAIM], [])
    assert remote.is_shared and remote.forwarded_transactions == 1


@pytest.mark.parametrize(
    "failure, outcome",
    [
        (make_failure(ErrorKind.PEER_UNREACHABLE), None),
        (make_failure(ErrorKind.PEER_SILENT), None),
        (make_failure(ErrorKind.DEADLINE_EXCEEDED), Outcome.UNKNOWN),
        (make_failure(ErrorKind.PLATFORM_UNAVAILABLE), Outcome.UNKNOWN),
    ],
)
async def test_failed_batcher_counts_as_lost_reply_and_is_not_used_again(
    failure, outcome
):
    local = RecordingBatcher(EXISTING_CLAIM)
    peers = BatcherPeers(RecordingBatcher(EXISTING_CLAIM), failure)
    forwarder = make_forwarder(MAX_DIRECT_AGENTS + 1, peers, local)
    result = await forwarder.submit(CLAIM)
    if outcome is None:
        assert result == EXISTING_CLAIM
    else:
        assert isinstance(result, Failure) and result.outcome is outcome
    calls = len(peers.called)
    assert await forwarder.submit(CLAIM) == EXISTING_CLAIM
    assert len(peers.called) == calls or peers.called[-1] != peers.called[0]


def test_batcher_role_rotates_over_the_instances():
    instances = make_instances(100)
    chosen = {
        choose_batcher(shard, slot, instances).instance_id
        for shard in range(SHARD_COUNT)
        for slot in range(200)
    }
    assert len(chosen) > 90


@pytest.mark.parametrize(
    "payload",
    [
        b"",
        b"[]",
        b"{}",
        b'{"key": 1, "transaction": {}}',
        encode_key_transaction(CLAIM, PATH),
        encode_key_transaction(CLAIM, CLAIM_PREFIX)[:-1],
    ],
)
async def test_batcher_rejects_payloads_that_are_not_claims(payload):
    remote = RecordingBatcher(EXISTING_CLAIM)
    reply = await handle_forwarded_claim(BatcherPeers(remote).process, payload, "agent")
    assert reply.kind is ErrorKind.MALFORMED_REQUEST and remote.sent == []


async def test_malformed_reply_counts_as_lost_reply():
    peers = BatcherPeers(RecordingBatcher(EXISTING_CLAIM), b"\xff" * 9)
    forwarder = make_forwarder(
        MAX_DIRECT_AGENTS + 1, peers, RecordingBatcher(EXISTING_CLAIM)
    )
    result = await forwarder.submit(CLAIM)
    assert isinstance(result, Failure) and result.outcome is Outcome.UNKNOWN
