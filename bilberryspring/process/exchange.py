"""Gossip of load samples among the processes of the fleet, at constant cost.

Each process calls one partner per interval. Request and reply carry a bounded number
of load samples, so bytes and calls do not grow with the fleet. Partners come from a
small set that changes slowly, so connections do not grow either. The same messages
carry the configuration version, the usage of the largest workspaces, and suspicions.
Agents exchange samples within their pool; routers only receive them, from one pool
after the other.
"""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any, Protocol

from bilberryspring.capability.instance_list import (
    Instance,
)
from bilberryspring.connection.calls import register_call_handler
from bilberryspring.connection.load_messages import (
    LoadMessage,
    LoadSample,
    NameHash,
    WorkspaceUsage,
    decode_load_message,
    encode_load_message,
    hash_name,
)
from bilberryspring.connection.peers import PeerPool
from bilberryspring.identifiers import InstanceId, PoolName
from bilberryspring.process.accounting import ControlMechanism, Ledger
from bilberryspring.process.budget import measure_control_cpu
from bilberryspring.process.load_table import LoadTable, PoolSize, estimate_mean
from bilberryspring.process.membership import Members
from bilberryspring.process.partner_set import PartnerSet
from bilberryspring.process.pause_detection import make_pause_watch
from bilberryspring.process.pool_size import compute_pool_size
from bilberryspring.process.remote_usage import RemoteUsage
from bilberryspring.process.settings import ProcessSettings
from bilberryspring.request.admission import Admission
from bilberryspring.request.errors import ErrorKind, Failure, make_failure
from bilberryspring.request.load_bound import MeanEstimate
from bilberryspring.version.holder import ConfigurationHolder

__all__ = ["LoadExchange", "make_exchange"]

EXCHANGE_METHOD = "load.exchange"
CALL_TIMEOUT_S = 1.0
MAX_FORWARDED_SAMPLES = 6
MAX_USAGE_ENTRIES = 4
MAX_SUSPECTS = 4
UNRESPONSIVE_KINDS = {
    ErrorKind.PEER_SILENT,
    ErrorKind.DEADLINE_EXCEEDED,
    ErrorKind.OUTCOME_UNKNOWN,
}
# Without calls to suspected agents, two working agents that suspect each other would
# exchange nothing until the suspicions expire.
SUSPECT_PROBE_PROBABILITY = 0.25
# For how long a computed pool size is reused.
POOL_SIZE_LIFETIME_S = 0.1


class VersionFollower(Protocol):
    """Interface that the exchange uses of the configuration follower."""

    holder: ConfigurationHolder

    def learn_version(self, version: int, from_instance: str) -> None:
        """Handle a configuration version seen at another process.

        :param version: active configuration version of the other process.
        :param from_instance: instance id of the other process.
        """


class LoadExchange:
    """Load samples of one pool in an agent, or of every pool in a router.

    :param settings: settings of the process.
    :param pool: the agent's pool; empty for a router.
    :param members: the fleet's instances.
    :param peers: connections to other processes.
    :param follower: configuration follower.
    :param ledger: ledger that counts the traffic.
    :param get_admission: returns the agent's admission; ``None`` in a router and before
        the first configuration.
    :param clock: monotonic time in seconds.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        pool: PoolName,
        members: Members,
        peers: PeerPool,
        follower: VersionFollower,
        ledger: Ledger,
        get_admission: Callable[[], Admission | None] = lambda: None,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._own_id = InstanceId(settings.instance_id)
        self._interval_s = settings.exchange_interval_s
        self._pool = pool
        self._members = members
        self._peers = peers
        self._follower = follower
        self._ledger = ledger
        self._get_admission = get_admission
        self._clock = clock
        self._pause_watch = make_pause_watch(clock)
        self._tables: dict[PoolName, LoadTable] = {}
        self._partners: dict[PoolName, PartnerSet] = {}
        self._remote_usage = RemoteUsage()
        self._last_charged_s = clock()
        self._pool_turn = 0
        self._nodes_by_hash: dict[NameHash, Instance] = {}
        self._nodes_by_hash_revision = -1
        self._pool_size: PoolSize | None = None
        self._pool_size_until_s = 0.0
        self._task: asyncio.Task[None] | None = None
        self._calls: dict[InstanceId, asyncio.Task[None]] = {}

    async def start(self) -> None:
        """Start the periodic exchange."""
        await self._pause_watch.start()
        self._task = asyncio.create_task(measure_control_cpu(self._ledger, self._run()))

    async def close(self) -> None:
        """Stop the periodic exchange and cancel open calls."""
        if self._task is None:
            return
        tasks = [self._task, *self._calls.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._pause_watch.close()
        self._task = None

    def mean_load(self) -> MeanEstimate:
        """Return an estimate of the own pool's mean load that does not exceed it."""
        admission = self._get_admission()
        load = admission.load if admission is not None else 0.0
        return estimate_mean(
            self._get_table(self._pool), self._measure_pool(), load, self._clock()
        )

    def least_loaded(self, count: int) -> list[InstanceId]:
        """Return other agents of the own pool with low loads.

        :param count: maximum number of agents. They are drawn at random from twice as
            many, so that agents do not all choose the same one.
        """
        loads = self.loads(self._pool)
        members = self._members
        usable = [
            node
            for node in [
                *members.instances(self._pool),
                *members.list_held_back(self._pool),
            ]
            if node.instance_id in loads and node.instance_id != self._own_id
        ]
        usable.sort(key=lambda node: loads[node.instance_id] / node.weight)
        chosen = usable[: 2 * count]
        random.shuffle(chosen)
        return [node.instance_id for node in chosen[:count]]

    def loads(self, pool: PoolName) -> dict[InstanceId, float]:
        """Return the fresh load samples of a pool's agents that are not leaving.

        :param pool: name of the pool.
        :returns: load by instance.
        """
        table = self._get_table(pool)
        fresh_loads = {}
        for name in table.list_fresh(self._clock()):
            node = self._find_by_hash(name)
            if node is not None and not table.find(name).leaving:
                fresh_loads[node.instance_id] = table.find(name).load
        return fresh_loads

    def handle_call(self, payload: bytes, caller: InstanceId) -> bytes | Failure:
        """Merge a peer's samples and reply with the own ones.

        :param payload: encoded message of the caller.
        :param caller: authenticated instance that called.
        :returns: encoded reply, or a failure for a malformed message or another pool.
        """
        message = decode_load_message(payload)
        if isinstance(message, Failure):
            return message
        if message.pool != hash_name(self._pool):
            return make_failure(
                ErrorKind.MALFORMED_REQUEST, "load message is for another pool"
            )
        self._merge_message(
            self._pool, message, caller, self._pause_watch.find_current_until_s()
        )
        reply = encode_load_message(
            self._make_message(self._pool, MAX_FORWARDED_SAMPLES)
        )
        self._ledger.count(
            ControlMechanism.LOAD_EXCHANGE,
            sent_bytes=len(reply),
            received_bytes=len(payload),
        )
        return reply

    async def exchange_once(self) -> None:
        """Call one partner and merge its samples."""
        pool = self._choose_pool()
        partner = self._choose_partner(pool) if pool is not None else None
        if partner is not None:
            await self._exchange_with(pool, partner)

    async def _exchange_with(self, pool: PoolName, partner: Instance) -> None:
        payload = encode_load_message(self._make_message(pool, 0))
        asked_s = self._clock()
        reply = await self._peers.call(
            partner.address, EXCHANGE_METHOD, payload, CALL_TIMEOUT_S
        )
        received_bytes = 0 if isinstance(reply, Failure) else len(reply)
        self._ledger.count(
            ControlMechanism.LOAD_EXCHANGE,
            sent_bytes=len(payload),
            received_bytes=received_bytes,
        )
        if isinstance(reply, Failure):
            self._report_failure(partner.instance_id, reply)
            return
        self._members.report_alive(partner.instance_id)
        message = decode_load_message(reply)
        if isinstance(message, LoadMessage):
            # The reply may date from the start of the call, so ages count from then.
            self._merge_message(pool, message, partner.instance_id, asked_s)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(self._interval_s * random.uniform(0.8, 1.2))
            self._start_exchange()
            self._charge_usage()

    def _start_exchange(self) -> None:
        """Call one partner without waiting for calls that are still open.

        So partners that do not respond do not delay calls to the others.
        """
        pool = self._choose_pool()
        partner = self._choose_partner(pool) if pool is not None else None
        if partner is None:
            return
        name = partner.instance_id
        call = self._exchange_with(pool, partner)
        self._calls[name] = asyncio.create_task(measure_control_cpu(self._ledger, call))
        self._calls[name].add_done_callback(lambda _: self._calls.pop(name, None))

    def _merge_message(
        self, pool: PoolName, message: LoadMessage, sender: InstanceId, sent_s: float
    ) -> None:
        own = hash_name(self._own_id)
        table = self._get_table(pool)
        for sample in message.samples:
            if sample.instance != own and table.merge(sample, sent_s):
                self._update_member(sample, sent_s)
        # Routers report no usage, so only messages with a sample of the sender count.
        if any(sample.instance == hash_name(sender) for sample in message.samples):
            self._remote_usage.receive(sender, message.usage, self._clock())
        for suspect in message.suspects:
            node = self._find_by_hash(suspect)
            if node is not None and node.instance_id != self._own_id:
                self._members.report_refused(node.instance_id, observer=sender)
        if message.config_version > self._follower.holder.version:
            self._follower.learn_version(message.config_version, sender)

    def _update_member(self, sample: LoadSample, sent_s: float) -> None:
        node = self._find_by_hash(sample.instance)
        if node is None:
            return
        if sample.is_leaving:
            self._members.report_leaving(node.instance_id)
        else:
            seen_s = sent_s - sample.age_ms / 1000
            self._members.report_serving(node.instance_id, seen_s)

    def _report_failure(self, partner: InstanceId, failure: Failure) -> None:
        if failure.kind is ErrorKind.PEER_UNREACHABLE:
            self._members.report_refused(partner)
        elif failure.kind in UNRESPONSIVE_KINDS:
            self._members.report_silent(partner)

    def _make_message(self, pool: PoolName, forwarded: int) -> LoadMessage:
        now_s = self._clock()
        admission = self._get_admission()
        samples = self._get_table(pool).select(forwarded, now_s)
        usage: tuple[WorkspaceUsage, ...] = ()
        if admission is not None:
            samples.insert(0, self._make_own_sample(admission))
            usage = tuple(
                WorkspaceUsage(hash_name(workspace), rate)
                for workspace, rate in admission.list_usage(MAX_USAGE_ENTRIES)
            )
        suspects = self._members.list_own_suspects(MAX_SUSPECTS)
        return LoadMessage(
            hash_name(pool),
            self._follower.holder.version,
            tuple(samples),
            usage,
            tuple(hash_name(suspect) for suspect in suspects),
        )

    def _make_own_sample(self, admission: Admission) -> LoadSample:
        return LoadSample(
            hash_name(self._own_id),
            admission.load,
            admission.drain_rate,
            int((self._clock() - self._pause_watch.find_current_until_s()) * 1000),
            not admission.is_available,
        )

    def _charge_usage(self) -> None:
        admission = self._get_admission()
        index = self._follower.holder.index
        now_s = self._clock()
        elapsed_s, self._last_charged_s = now_s - self._last_charged_s, now_s
        if admission is not None and index is not None:
            other_agents = max(len(self._members.list_staying(self._pool)) - 1, 0)
            self._remote_usage.charge(admission, index, other_agents, elapsed_s, now_s)

    def _choose_pool(self) -> PoolName | None:
        if self._pool:
            return self._pool
        index = self._follower.holder.index
        if index is None or not index.pools:
            return None
        pools = list(index.pools)
        self._pool_turn += 1
        return PoolName(pools[self._pool_turn % len(pools)])

    def _choose_partner(self, pool: PoolName) -> Instance | None:
        suspected = self._members.list_suspected(pool)
        if suspected and random.random() < SUSPECT_PROBE_PROBABILITY:
            node = random.choice(suspected)
            return None if node.instance_id in self._calls else node
        usable = [
            node
            for node in self._members.instances(pool)
            if node.instance_id != self._own_id
        ]
        partners = self._partners.setdefault(pool, PartnerSet())
        return partners.choose(usable, self._clock(), self._calls.keys())

    def _measure_pool(self) -> PoolSize:
        now_s = self._clock()
        if self._pool_size is None or now_s >= self._pool_size_until_s:
            table = self._get_table(self._pool)
            own_id, members = self._own_id, self._members
            self._pool_size = compute_pool_size(
                self._pool, own_id, members, table, now_s
            )
            self._pool_size_until_s = now_s + POOL_SIZE_LIFETIME_S
        return self._pool_size

    def _get_table(self, pool: PoolName) -> LoadTable:
        return self._tables.setdefault(pool, LoadTable())

    def _find_by_hash(self, name: NameHash) -> Instance | None:
        if self._nodes_by_hash_revision != self._members.revision:
            nodes = self._members.all_nodes()
            self._nodes_by_hash = {hash_name(node.instance_id): node for node in nodes}
            self._nodes_by_hash_revision = self._members.revision
        return self._nodes_by_hash.get(name)


@register_call_handler(EXCHANGE_METHOD)
async def answer_exchange(
    process: Any, payload: bytes, caller: InstanceId
) -> bytes | Failure:
    """Handle a load exchange call; see :meth:`LoadExchange.answer`.

    :param process: the agent.
    :param payload: encoded message of the caller.
    :param caller: authenticated instance that called.
    """
    return process.exchange.handle_call(payload, caller)


def make_exchange(
    settings: ProcessSettings,
    pool: PoolName,
    members: Members,
    peers: PeerPool,
    follower: VersionFollower,
    ledger: Ledger,
    get_admission: Callable[[], Admission | None] = lambda: None,
) -> LoadExchange:
    """Return an exchange that is not started.

    :param settings: settings of the process.
    :param pool: the agent's pool; empty for a router.
    :param members: the fleet's instances.
    :param peers: connections to other processes.
    :param follower: configuration follower, notified of newer versions at peers.
    :param ledger: ledger that counts the traffic.
    :param get_admission: returns the agent's admission; ``None`` in a router and before
        the first configuration.
    """
    return LoadExchange(settings, pool, members, peers, follower, ledger, get_admission)
