"""Replay of a fleet whose metadata store comes back from a copy.

Routers follow a model of the store with the production watcher of the server list, and
exchange production reports and snapshots over the network of the fleet replay, on a
virtual clock. In the seconds that the store loses, servers leave, join and restart.
"""

import asyncio
import functools
import json
import math
import random
from collections import Counter
from dataclasses import dataclass, field
from types import SimpleNamespace
from unittest import mock

from bilberryspring.capability.store_position import StorePosition
from bilberryspring.connection.router_reports import (
    StoreSnapshot,
    decode_report,
    decode_snapshot,
    encode_snapshot,
)
from bilberryspring.identifiers import StoreEpoch
from bilberryspring.load.virtual_clock import run_on_virtual_clock
from bilberryspring.platform import server_list_watcher
from bilberryspring.platform.metadata_messages import (
    HistoryReplaced,
    StoreChanges,
    StoreItem,
    StoreListing,
)
from bilberryspring.platform.server_list_watcher import ServerListWatcher
from bilberryspring.policy.tests.fleet_replay import (
    NETWORK_DELAY_S,
    PORT,
    Network,
    seeded,
)
from bilberryspring.process import router_peers
from bilberryspring.process.router_peers import make_router_peers
from bilberryspring.process.server_table import make_server_table
from bilberryspring.request.errors import ErrorKind, make_failure
from bilberryspring.request.suspect_contents import make_suspect_contents

POOL = "desk"
START_S = 1_700_000_000.0
BORN_MS = 1_700_000_000_000
# Time after which a server that left must receive no more requests.
DRAIN_GRACE_S = 2.0
CALL_TIMEOUT_S = 0.3
SAMPLE_INTERVAL_S = 0.1
# Bytes of reports are averaged over so many seconds.
BYTES_WINDOW_S = 5
ADDRESS_INTERVAL_S = 5.0
COPIED_S = 1.5
LEFT_S = (1.8, 2.3)
DOWN_S = 3.0
RESTORED_S = 3.8
# Servers write their entries again within this time of the store's return.
REWRITE_S = 2.0
# Entries that no server writes again lapse this long after the store's return.
LAPSE_S = 2.5
# Routers that were cut off reach store and routers again at this time.
REJOIN_S = 4.5
END_S = 8.5


@dataclass(frozen=True)
class RestorationFleet:
    """Sizes of a fleet whose store is restored.

    :param routers: number of routers.
    :param servers: number of servers at the start.
    :param draining: servers that report in the lost seconds that they leave.
    :param removed: servers whose entries are removed in these.
    :param joining: servers that join in these.
    :param restarting: servers that restart in these under the same id.
    :param storeless: routers that do not reach the store from before these on.
    :param isolated: routers that reach neither the store nor other routers.
    """

    routers: int
    servers: int
    draining: int = 1
    removed: int = 1
    joining: int = 1
    restarting: int = 1
    storeless: int = 1
    isolated: int = 1


@dataclass
class RestorationResult:
    """Measurements of a replay.

    :param late_s: for each router and server that left, the time for which the router
        would have sent it requests after it had learnt of the leaving.
    :param unaware_s: for each router and server that left, the time for which the
        router would have sent it requests after the latest of the end of the grace,
        the time at which some router learnt of the leaving, and its own rejoining.
    :param missing_s: for each router that reaches others and each sound server, the
        longest time for which the router sent it no requests although the store had
        its entry.
    :param agreed_s: time from which all routers have one list of one epoch.
    :param ready: servers that each router has as ready at the end.
    :param sound: servers that are sound at the end.
    :param worst_bytes_per_s: highest number of bytes a second of reports that a router
        sent in any window.
    :param snapshots: number of snapshots that routers requested.
    """

    late_s: Counter = field(default_factory=Counter)
    unaware_s: Counter = field(default_factory=Counter)
    missing_s: Counter = field(default_factory=Counter)
    agreed_s: float = 0.0
    ready: list = field(default_factory=list)
    sound: set = field(default_factory=set)
    worst_bytes_per_s: float = 0.0
    snapshots: int = 0


def make_entry(state, number, born_ms=BORN_MS):
    """Return the entry of a server, as bytes."""
    entry = {
        "service": POOL,
        "address": "10.9.0.1:8000",
        "zone": "z",
        "slots": 4,
        "state": state,
        "seq": number,
        "born": born_ms,
    }
    return json.dumps(entry).encode()


class _Store:
    def __init__(self):
        self.epoch = StoreEpoch(1)
        self.revision = 0
        self.items = {}
        self.changes = []
        self.is_up = True
        self.is_changed = asyncio.Event()

    @property
    def position(self):
        return StorePosition(self.epoch, self.revision)

    def put(self, server_id, value):
        if not self.is_up:
            return
        self.revision += 1
        key = f"servers/{server_id}"
        item = StoreItem(key, value, self.position)
        if value is None and self.items.pop(key, None) is None:
            return
        if value is not None:
            self.items[key] = item
        self.changes.append(item)
        self.is_changed.set()
        self.is_changed = asyncio.Event()

    def copy(self):
        return dict(self.items), self.revision

    def restore(self, copy):
        self.epoch = StoreEpoch(self.epoch + 1)
        self.items, self.revision = dict(copy[0]), copy[1]
        self.changes.clear()
        self.is_up = True


class _Client:
    """Client of one router; calls fail while the router does not reach the store."""

    def __init__(self, store):
        self.store = store
        self.is_cut = False
        self.failed_s = -math.inf

    async def _check(self):
        if self.is_cut:
            await asyncio.sleep(CALL_TIMEOUT_S)
        await asyncio.sleep(2 * NETWORK_DELAY_S)
        if self.is_cut or not self.store.is_up:
            self.failed_s = asyncio.get_running_loop().time()
            return make_failure(ErrorKind.PLATFORM_UNAVAILABLE, "store unreachable")
        return None

    async def list_prefix(self, prefix):
        failure = await self._check()
        if failure is not None:
            return failure
        items = tuple(
            StoreItem(
                item.key,
                item.value,
                StorePosition(self.store.epoch, item.position.revision),
            )
            for item in self.store.items.values()
        )
        return StoreListing(items, self.store.position)

    async def watch_prefix(self, prefix, position, max_wait_s):
        failure = await self._check()
        if failure is not None:
            return failure
        store = self.store
        if position.epoch == store.epoch and position.revision >= store.revision:
            try:
                async with asyncio.timeout(max_wait_s):
                    await store.is_changed.wait()
            except TimeoutError:
                pass
            failure = await self._check()
            if failure is not None:
                return failure
        if position.epoch != store.epoch:
            return HistoryReplaced()
        changes = [
            each for each in store.changes if each.position.revision > position.revision
        ]
        return StoreChanges(tuple(changes), store.position)


class _Router:
    def __init__(self, number, replay):
        loop = asyncio.get_running_loop()
        self.replay = replay
        self.ip = f"10.0.{number // 256}.{number % 256}"
        self.is_isolated = False
        self.client = _Client(replay.store)
        self.table = make_server_table(read_clock=loop.time)
        self.watcher = ServerListWatcher(
            self.client, self.table, lambda: None, DRAIN_GRACE_S
        )
        self.peers = make_router_peers(
            f"r{number}",
            self.ip,
            PORT,
            self.table,
            lambda: 1,
            lambda _: self.make_snapshot(),
            self.watcher,
            self.apply_snapshot,
            make_suspect_contents(loop.time),
            read_clock=loop.time,
        )
        self.watcher.is_store_watcher = self.peers.is_watcher
        self.peers._transport = replay.network.make_transport(self.ip)
        replay.network.peers[self.ip] = self

    def datagram_received(self, data, address):
        sender = self.replay.routers_by_ip[address[0]]
        if not self.is_isolated and not sender.is_isolated:
            self.peers.datagram_received(data, address)

    def make_snapshot(self):
        return StoreSnapshot(
            tuple(self.watcher.entries.values()),
            self.watcher.age_s,
            self.watcher.store_epoch,
        )

    def apply_snapshot(self, snapshot):
        self.watcher.apply_peer_entries(
            snapshot.entries, snapshot.servers_age_s, snapshot.store_epoch
        )

    async def add_addresses(self):
        while True:
            self.peers.add_addresses([each.ip for each in self.replay.routers])
            await asyncio.sleep(ADDRESS_INTERVAL_S)

    def list_ready(self):
        return {record.server.server_id for record in self.table.list_ready(POOL)}


class _Replay:
    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.store = _Store()
        self.network = Network(self.rng)
        self.result = RestorationResult()
        self.routers = [_Router(number, self) for number in range(fleet.routers)]
        self.routers_by_ip = {router.ip: router for router in self.routers}
        cut = self.rng.sample(self.routers, fleet.storeless + fleet.isolated)
        self.storeless = cut[: fleet.storeless]
        self.isolated = cut[fleet.storeless :]
        self.numbers = Counter()
        self.left_s = {}
        self.written_s = {}
        self.learnt = set()
        self.first_learnt_s = {}
        self.missing_from_s = {}

    async def fetch_snapshot(self, ip, port, with_configuration):
        self.result.snapshots += 1
        await asyncio.sleep(4 * NETWORK_DELAY_S)
        sender = self.routers_by_ip[ip]
        if sender.is_isolated:
            return make_failure(ErrorKind.PEER_UNREACHABLE, "isolated")
        data = encode_snapshot(sender.make_snapshot())
        return decode_snapshot(data)

    def write(self, server_id, state="ready", born_ms=BORN_MS):
        self.numbers[server_id] += 1
        self.store.put(server_id, make_entry(state, self.numbers[server_id], born_ms))
        if state == "ready" and self.store.is_up:
            self.written_s.setdefault(server_id, self.loop.time())

    def leave(self, server_id, state):
        self.left_s.setdefault(server_id, self.loop.time())
        self.written_s.pop(server_id, None)
        if state is None:
            self.store.put(server_id, None)
        else:
            self.write(server_id, state)

    async def run(self):
        fleet, rng, at = self.fleet, self.rng, self.loop.call_at
        ids = [f"s{number}" for number in range(fleet.servers)]
        draining = ids[: fleet.draining]
        removed = ids[fleet.draining : fleet.draining + fleet.removed]
        restarting = ids[len(ids) - fleet.restarting :]
        joining = [f"j{number}" for number in range(fleet.joining)]
        for server_id in ids:
            self.write(server_id)
        copies = []
        at(COPIED_S, lambda: copies.append(self.store.copy()))
        for server_id in draining:
            at(rng.uniform(*LEFT_S), self.leave, server_id, "draining")
        for server_id in removed:
            at(rng.uniform(*LEFT_S), self.leave, server_id, None)
        for server_id in joining:
            at(rng.uniform(*LEFT_S), self.write, server_id)
        for server_id in restarting:
            at(rng.uniform(*LEFT_S), self.restart, server_id)
        at(COPIED_S, self.set_cut, True)
        at(REJOIN_S, self.set_cut, False)
        at(DOWN_S, setattr, self.store, "is_up", False)
        at(RESTORED_S, lambda: self.restore(copies[0], joining))
        # Some draining servers write again at once, others exit without a word.
        for server_id in draining[::2]:
            at(
                RESTORED_S + rng.uniform(0.1, REWRITE_S),
                self.leave,
                server_id,
                "draining",
            )
        for server_id in [*draining, *removed]:
            at(RESTORED_S + LAPSE_S, self.store.put, server_id, None)
        for server_id in joining:
            at(RESTORED_S + rng.uniform(0.1, REWRITE_S), self.write, server_id)
        for server_id in restarting:
            at(RESTORED_S + rng.uniform(0.1, REWRITE_S), self.restart, server_id)
        self.result.sound = {*ids, *joining} - {*draining, *removed}
        tasks = []
        for router in self.routers:
            tasks += [
                asyncio.create_task(each)
                for each in (
                    router.peers.run(),
                    router.watcher.run(),
                    router.watcher.run_expiry(),
                    router.add_addresses(),
                )
            ]
        await self.sample()
        for task in tasks:
            task.cancel()
        results = await asyncio.gather(*tasks, return_exceptions=True)
        failures = [each for each in results if isinstance(each, Exception)]
        assert not failures, failures
        for router in self.routers:
            router.peers._transport = None
        return self.result

    def restart(self, server_id):
        self.write(server_id, born_ms=BORN_MS + 1000)

    def restore(self, copy, joining):
        self.store.restore(copy)
        for server_id in joining:
            self.written_s.pop(server_id, None)
        self.missing_from_s.clear()

    def set_cut(self, is_cut):
        for router in [*self.storeless, *self.isolated]:
            router.client.is_cut = is_cut
        for router in self.isolated:
            router.is_isolated = is_cut

    async def sample(self):
        sent = []
        while self.loop.time() < END_S:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            now_s = self.loop.time()
            for router in self.routers:
                self.sample_router(router, now_s)
            sent.append(Counter(self.network.sent_bytes))
            states = {
                (each.table.digest, each.watcher.store_epoch) for each in self.routers
            }
            if len(states) > 1 or states.pop()[1] != self.store.epoch:
                self.result.agreed_s = now_s
        length = round(BYTES_WINDOW_S / SAMPLE_INTERVAL_S)
        windows = zip(sent[length:], sent, strict=False)
        worst_bytes = max(max((end - begin).values()) for end, begin in windows)
        self.result.worst_bytes_per_s = worst_bytes / BYTES_WINDOW_S
        self.result.ready = [router.list_ready() for router in self.routers]

    def sample_router(self, router, now_s):
        result, ready = self.result, router.list_ready()
        for server_id, left_s in self.left_s.items():
            key = router.ip, server_id
            if server_id not in ready:
                self.learnt.add(key)
                self.first_learnt_s.setdefault(server_id, now_s)
            elif key in self.learnt:
                result.late_s[key] += SAMPLE_INTERVAL_S
            else:
                rejoined_s = REJOIN_S if router in self.isolated else 0.0
                known_s = self.first_learnt_s.get(server_id, math.inf)
                if now_s > max(left_s + DRAIN_GRACE_S, rejoined_s, known_s):
                    result.unaware_s[key] += SAMPLE_INTERVAL_S
        if now_s < COPIED_S or router in self.isolated and now_s < REJOIN_S:
            return
        for server_id, written_s in self.written_s.items():
            key = router.ip, server_id
            if server_id in ready:
                self.missing_from_s.pop(key, None)
                continue
            from_s = self.missing_from_s.setdefault(key, max(written_s, COPIED_S))
            result.missing_s[key] = max(result.missing_s[key], now_s - from_s)


def replay_restoration(fleet, seed):
    """Replay one random trace.

    :param fleet: sizes of the fleet, and what happens in the lost seconds.
    :param seed: seed of all random draws.
    :returns: the measurements.
    """

    async def run():
        loop = asyncio.get_running_loop()
        clock = SimpleNamespace(monotonic=loop.time)
        with mock.patch.object(server_list_watcher, "time", clock):
            replay = _Replay(fleet, seed)
            fetch = replay.fetch_snapshot
            with mock.patch.object(router_peers, "fetch_snapshot", fetch):
                return await replay.run()

    decode_once = functools.lru_cache(maxsize=8192)(decode_report)
    with (
        seeded(seed),
        mock.patch.object(router_peers, "decode_report", decode_once),
        mock.patch.object(router_peers.time, "time", lambda: START_S),
    ):
        return run_on_virtual_clock(run())
