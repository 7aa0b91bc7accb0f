"""Group commit across agents: in a large pool a few agents send the claims of all.

An agent that makes only a few claims per second cannot fill batches. Above a pool size,
agents therefore forward their transactions to a batcher agent. Rendezvous hashing
selects the batcher from the pool for each shard of the keys and each time slot, so that
the batching load rotates over the agents. A batcher takes no decisions: each
transaction carries its own compare, so a failed batcher, or two agents that both act as
batcher, have the same effect as a lost reply.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

import xxhash

from bilberryspring.capability.instance_list import (
    Instance,
)
from bilberryspring.capability.store import (
    Transaction,
    TransactionResult,
)
from bilberryspring.capability.store_history import StoreHistory
from bilberryspring.connection.calls import register_call_handler
from bilberryspring.connection.claim_messages import (
    decode_key_transaction,
    decode_key_transaction_result,
    encode_key_transaction,
    encode_key_transaction_result,
)
from bilberryspring.identifiers import InstanceId, PoolName
from bilberryspring.process.accounting import ControlMechanism, Ledger
from bilberryspring.request.claim_batches import TransactionBatcher
from bilberryspring.request.claim_values import CLAIM_PREFIX
from bilberryspring.request.errors import (
    CONNECTION_FAILURES,
    ErrorKind,
    Failure,
    Outcome,
    make_failure,
)

__all__ = [
    "FORWARD_CALL_NAME",
    "MAX_DIRECT_AGENTS",
    "TIME_SLOT_S",
    "ClaimFleet",
    "ClaimForwarder",
    "choose_batcher",
    "compute_shard",
]

FORWARD_CALL_NAME = "claims.transact"
SHARD_COUNT = 64
TIME_SLOT_S = 2.0
MAX_DIRECT_AGENTS = 32
FAILED_BATCHER_COOLDOWN_S = 5.0
# The remaining part of the timeout is reserved for sending the claim directly.
FORWARD_TIMEOUT_RATIO = 0.5


class PeerCalls(Protocol):
    """Interface of the peer connection pool that this module needs."""

    async def call(
        self, address: str, method: str, payload: bytes, timeout_s: float
    ) -> bytes | Failure:
        """Call a method of the process at an address."""


class PoolMembers(Protocol):
    """Interface of the membership that this module needs."""

    def instances(self, pool: PoolName) -> list[Instance]:
        """Return the usable instances of a pool."""


@dataclass(frozen=True, slots=True)
class ClaimFleet:
    """Pool of an agent, and the means to reach the other agents in it.

    :param pool: name of the pool.
    :param members: membership of the pool.
    :param peers: connections to the other agents.
    :param max_direct_agents: largest pool size, in agents, at which each agent sends
        its claims directly; zero forwards them in a pool of any size.
    """

    pool: PoolName
    members: PoolMembers
    peers: PeerCalls
    max_direct_agents: int = MAX_DIRECT_AGENTS


def compute_shard(key: str) -> int:
    """Return the shard of a key of the key-value service, from 0.

    :param key: key of the claim.
    """
    return xxhash.xxh3_64_intdigest(key.encode()) % SHARD_COUNT


def choose_batcher(shard: int, slot: int, instances: list[Instance]) -> Instance:
    """Return the instance that sends the claims of a shard in a time slot.

    :param shard: shard of the keys.
    :param slot: number of the time slot; agents whose clocks differ may use different
        batchers, which makes batches smaller and has no other effect.
    :param instances: usable instances of the pool, at least one.
    """

    def compute_weight(instance: Instance) -> int:
        name = f"{shard}/{slot}/{instance.instance_id}"
        return xxhash.xxh3_64_intdigest(name.encode())

    return max(instances, key=compute_weight)


class ClaimForwarder:
    """Sender of claims through the current batcher agent, or directly.

    :param instance_id: this agent.
    :param fleet: the other agents of the pool; ``None`` sends every claim directly.
    :param local: batcher of this agent.
    :param timeout_s: longest duration of one call to the key-value service; half of it
        is the longest wait for another agent.
    :param ledger: counts calls and bytes.
    :param clock: returns monotonic seconds.
    :param wall_clock: returns the seconds since the epoch; it determines the time slot.
    :param history: history of the key-value service, which forwarded results also tell;
        ``None`` to take every result.
    """

    def __init__(
        self,
        instance_id: InstanceId,
        fleet: ClaimFleet | None,
        local: TransactionBatcher,
        timeout_s: float,
        ledger: Ledger,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
        history: StoreHistory | None = None,
    ) -> None:
        self._instance_id = instance_id
        self._fleet = fleet
        self._local = local
        self._forward_timeout_s = timeout_s * FORWARD_TIMEOUT_RATIO
        self._ledger = ledger
        self._clock = clock
        self._wall_clock = wall_clock
        self._history = history or StoreHistory()
        self._cooldown_until_s: dict[InstanceId, float] = {}
        self._batcher_by_shard: dict[int, tuple[int, Instance]] = {}

    async def submit(self, transaction: Transaction) -> TransactionResult | Failure:
        """Send one transaction and return its result.

        A batcher that fails is not used again until its cooldown has passed. The
        transaction is sent directly if the batcher could not be connected to;
        otherwise the outcome of the transaction is unknown.

        :param transaction: a transaction on one key, which its first compare names.
        """
        if self._sends_directly():
            return await self._local.submit(transaction)
        batcher = self._find_batcher(transaction)
        if batcher is None:
            return await self._local.submit(transaction, is_shared=True)
        reply = await self._forward(batcher, transaction)
        if not isinstance(reply, Failure):
            return reply
        self._start_cooldown(batcher.instance_id)
        if reply.kind in CONNECTION_FAILURES:
            return await self._local.submit(transaction, is_shared=True)
        return _make_lost_reply_failure(reply.reason)

    def _sends_directly(self) -> bool:
        if self._fleet is None:
            return True
        instances = self._fleet.members.instances(self._fleet.pool)
        return len(instances) <= self._fleet.max_direct_agents

    def _find_batcher(self, transaction: Transaction) -> Instance | None:
        instances = self._fleet.members.instances(self._fleet.pool)
        batcher = self._get_batcher(transaction.compares[0].key, instances)
        is_cooling_down = (
            self._cooldown_until_s.get(batcher.instance_id, 0.0) > self._clock()
        )
        if is_cooling_down or batcher.instance_id == self._instance_id:
            return None
        return batcher

    def _get_batcher(self, key: str, instances: list[Instance]) -> Instance:
        """Return the batcher of a key; it is computed once per shard and time slot."""
        shard = compute_shard(key)
        slot = int(self._wall_clock() // TIME_SLOT_S)
        cached = self._batcher_by_shard.get(shard)
        if cached is None or cached[0] != slot:
            cached = (slot, choose_batcher(shard, slot, instances))
            self._batcher_by_shard[shard] = cached
        return cached[1]

    async def _forward(
        self, batcher: Instance, transaction: Transaction
    ) -> TransactionResult | Failure:
        payload = encode_key_transaction(transaction, CLAIM_PREFIX)
        self._ledger.count(ControlMechanism.CLAIMS, sent_bytes=len(payload))
        reply = await self._fleet.peers.call(
            batcher.address, FORWARD_CALL_NAME, payload, self._forward_timeout_s
        )
        if isinstance(reply, Failure):
            return reply
        self._ledger.count(ControlMechanism.CLAIMS, calls=0, received_bytes=len(reply))
        result = decode_key_transaction_result(reply)
        if isinstance(result, Failure):
            return _make_lost_reply_failure(result.reason)
        if not self._history.observe(result.history_id):
            return _make_lost_reply_failure("the result is of a former history")
        return result

    def _start_cooldown(self, instance_id: InstanceId) -> None:
        now_s = self._clock()
        self._cooldown_until_s = {
            batcher_id: until_s
            for batcher_id, until_s in self._cooldown_until_s.items()
            if until_s > now_s
        }
        self._cooldown_until_s[instance_id] = now_s + FAILED_BATCHER_COOLDOWN_S


def _make_lost_reply_failure(reason: str) -> Failure:
    return make_failure(ErrorKind.PLATFORM_UNAVAILABLE, reason, outcome=Outcome.UNKNOWN)


@register_call_handler(FORWARD_CALL_NAME)
async def handle_forwarded_claim(
    process: Any, payload: bytes, caller: InstanceId
) -> bytes | Failure:
    """Add a transaction that another agent forwarded to the batches of this agent.

    :param process: this agent.
    :param payload: transaction as :func:`encode_key_transaction` encodes it.
    :param caller: agent that makes the claim.
    :returns: the encoded result; ``MALFORMED_REQUEST`` if the payload is not a
        transaction on a claim.
    """
    transaction = decode_key_transaction(payload, CLAIM_PREFIX)
    if isinstance(transaction, Failure):
        return transaction
    process.ledger.count(ControlMechanism.CLAIMS, calls=0, received_bytes=len(payload))
    process.claims.batcher.forwarded_transactions += 1
    result = await process.claims.batcher.submit(transaction, is_shared=True)
    if isinstance(result, Failure):
        return result
    reply = encode_key_transaction_result(result)
    process.ledger.count(ControlMechanism.CLAIMS, calls=0, sent_bytes=len(reply))
    return reply
