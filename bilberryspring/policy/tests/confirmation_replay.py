"""Replay of a fleet that follows the metadata store, with its calls counted.

Routers run the production watchers and exchange production reports on a virtual clock.
The store answers at once and counts the calls for each prefix.
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
from bilberryspring.connection.router_reports import StoreSnapshot, decode_report
from bilberryspring.identifiers import StoreEpoch
from bilberryspring.load.virtual_clock import run_on_virtual_clock
from bilberryspring.platform import server_list_watcher, store_follower
from bilberryspring.platform.configuration_watcher import ConfigurationWatcher
from bilberryspring.platform.evacuation_watcher import EvacuationWatcher
from bilberryspring.platform.metadata_messages import (
    StoreChanges,
    StoreItem,
    StoreListing,
)
from bilberryspring.platform.server_list_watcher import ServerListWatcher
from bilberryspring.platform.tests.platform_standin import CONFIGURATION
from bilberryspring.policy.tests.fleet_replay import PORT, Network, seeded
from bilberryspring.policy.tests.restoration_replay import make_entry
from bilberryspring.process import router_peers
from bilberryspring.process.confirmation_age import make_confirmation_age
from bilberryspring.process.router_peers import make_router_peers
from bilberryspring.process.server_table import make_server_table
from bilberryspring.request.errors import ErrorKind, make_failure
from bilberryspring.request.suspect_contents import make_suspect_contents

__all__ = ["BOUNDS_S", "ConfirmationResult", "replay_confirmations"]

APPLY_S, DRAIN_S, EVACUATE_S = 2.0, 2.0, 5.0
BOUNDS_S = {"op/config": APPLY_S, "op/evacuate/": EVACUATE_S, "servers/": DRAIN_S}
STORE_DELAY_S, CALL_TIMEOUT_S = 0.004, 1.5
HEARTBEAT_S, SERVERS = 1.2, 12
ADDRESS_INTERVAL_S, AGE_INTERVAL_S = 4.0, 0.05
WARM_UP_S, CUT_S, END_S = 5.0, 10.0, 18.0
# Time after the cut from which ages count: whoever knew the watching routers' news
# notices their silence.
NOTICED_S = 3.0


@dataclass
class ConfirmationResult:
    """What a replay measured, for each prefix.

    :param calm_calls_per_s: calls of all routers while the watching ones reach the
        store.
    :param cut_calls_per_s: calls after these were cut off from it.
    :param calm_age_s: greatest age at any router of the store's confirmation.
    :param cut_age_s: greatest age at routers that reach the store, after the cut.
    """

    calm_calls_per_s: Counter = field(default_factory=Counter)
    cut_calls_per_s: Counter = field(default_factory=Counter)
    calm_age_s: Counter = field(default_factory=Counter)
    cut_age_s: Counter = field(default_factory=Counter)


class _Store:
    def __init__(self):
        self.revision = 1
        self.items = {}
        self.changes = []
        self.calls = []
        self.is_changed = asyncio.Event()
        self.put("op/config", json.dumps(CONFIGURATION).encode())

    @property
    def position(self):
        return StorePosition(StoreEpoch(1), self.revision)

    def put(self, key, value):
        self.revision += 1
        self.items[key] = StoreItem(key, value, self.position)
        self.changes.append(self.items[key])
        del self.changes[:-500]
        self.is_changed.set()
        self.is_changed = asyncio.Event()

    async def write_entries(self):
        numbers = [0] * SERVERS
        while True:
            for server in range(SERVERS):
                numbers[server] += 1
                self.put(f"servers/s{server}", make_entry("ready", numbers[server]))
                await asyncio.sleep(HEARTBEAT_S / SERVERS)


class _Client:
    def __init__(self, store):
        self.store = store
        self.is_cut = False
        self.failed_s = -math.inf

    async def _call(self, prefix):
        self.store.calls.append((asyncio.get_running_loop().time(), prefix))
        await asyncio.sleep(CALL_TIMEOUT_S if self.is_cut else STORE_DELAY_S)
        if self.is_cut:
            self.failed_s = asyncio.get_running_loop().time()
            return make_failure(ErrorKind.PLATFORM_UNAVAILABLE, "cut off")
        return None

    async def list_prefix(self, prefix):
        failure = await self._call(prefix)
        if failure is not None:
            return failure
        items = [
            item for key, item in self.store.items.items() if key.startswith(prefix)
        ]
        return StoreListing(tuple(items), self.store.position)

    async def watch_prefix(self, prefix, position, max_wait_s):
        failure = await self._call(prefix)
        if failure is not None:
            return failure
        store, end_s = self.store, asyncio.get_running_loop().time() + max_wait_s
        while True:
            changes = [
                item
                for item in store.changes
                if item.key.startswith(prefix)
                and item.position.revision > position.revision
            ]
            left_s = end_s - asyncio.get_running_loop().time()
            if changes or left_s <= 0:
                return StoreChanges(tuple(changes), store.position)
            try:
                async with asyncio.timeout(left_s):
                    await store.is_changed.wait()
            except TimeoutError:
                pass
            if self.is_cut:
                # The bytes of a waiting watch are held up as well.
                await asyncio.sleep(max_wait_s + CALL_TIMEOUT_S)
                return make_failure(ErrorKind.PLATFORM_UNAVAILABLE, "cut off")


class _Router:
    def __init__(self, number, store, network):
        loop = asyncio.get_running_loop()
        self.ip = f"10.0.{number // 256}.{number % 256}"
        self.client = _Client(store)
        self.table = make_server_table(read_clock=loop.time)
        self.version = -1
        self.configuration = ConfigurationWatcher(self.client, self.apply_table)
        self.servers = ServerListWatcher(self.client, self.table, lambda: None, DRAIN_S)
        self.evacuations = EvacuationWatcher(self.client, self.table.evacuations)
        self.peers = make_router_peers(
            f"r{number}",
            self.ip,
            PORT,
            self.table,
            lambda: self.version,
            self.make_snapshot,
            self.servers,
            self.apply_snapshot,
            make_suspect_contents(loop.time),
            read_clock=loop.time,
        )
        self.peers._transport = network.make_transport(self.ip)
        for watcher, bound_s in (
            (self.configuration, APPLY_S),
            (self.evacuations, EVACUATE_S),
        ):
            watcher.confirmation = make_confirmation_age(bound_s, loop.time)
            watcher.confirmation.is_store_watcher = self.peers.is_watcher
            watcher.is_store_watcher = self.peers.is_watcher
        self.servers.is_store_watcher = self.peers.is_watcher
        self.peers.configuration_confirmation = self.configuration.confirmation
        self.peers.evacuations_confirmation = self.evacuations.confirmation

    def apply_table(self, table):
        self.version = table.version

    def make_snapshot(self, with_configuration):
        entries = [*self.servers.entries.values()]
        if with_configuration and self.configuration.entry is not None:
            entries.append(self.configuration.entry)
        return StoreSnapshot(
            tuple(entries), self.servers.age_s, self.servers.store_epoch
        )

    def apply_snapshot(self, snapshot):
        self.servers.apply_peer_entries(
            [entry for entry in snapshot.entries if entry.key != "op/config"],
            snapshot.servers_age_s,
            snapshot.store_epoch,
        )

    def list_ages_s(self):
        return {
            "op/config": self.configuration.confirmation.age_s,
            "op/evacuate/": self.evacuations.confirmation.age_s,
            "servers/": self.servers.age_s,
        }

    def run(self):
        runs = (
            self.configuration.run(),
            self.evacuations.run(),
            self.servers.run(),
            self.peers.run(),
        )
        return [asyncio.create_task(each) for each in runs]


async def _run(router_count, seed, end_s):
    rng, loop = random.Random(seed), asyncio.get_running_loop()
    store, network = _Store(), Network(rng)
    routers = [_Router(number, store, network) for number in range(router_count)]
    by_ip = {router.ip: router for router in routers}
    network.peers = {router.ip: router.peers for router in routers}
    result = ConfirmationResult()

    async def fetch_snapshot(ip, port, with_configuration):
        await asyncio.sleep(0.004)
        return by_ip[ip].make_snapshot(with_configuration)

    async def add_addresses():
        while True:
            for router in routers:
                router.peers.add_addresses([each.ip for each in routers])
            await asyncio.sleep(ADDRESS_INTERVAL_S)

    tasks = [asyncio.create_task(store.write_entries())]
    tasks.append(asyncio.create_task(add_addresses()))
    with mock.patch.object(router_peers, "fetch_snapshot", fetch_snapshot):
        for router in routers:
            tasks += router.run()
        cut = []
        while loop.time() < end_s:
            await asyncio.sleep(AGE_INTERVAL_S)
            if loop.time() >= CUT_S and not cut:
                cut = [router for router in routers if router.peers.is_watcher()]
                for router in cut:
                    router.client.is_cut = True
            is_noticed = loop.time() >= CUT_S + NOTICED_S
            if loop.time() < WARM_UP_S or (cut and not is_noticed):
                continue
            ages_s = result.cut_age_s if cut else result.calm_age_s
            for router in routers:
                if router in cut:
                    continue
                for prefix, age_s in router.list_ages_s().items():
                    ages_s[prefix] = max(ages_s[prefix], age_s)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for at_s, prefix in store.calls:
        if WARM_UP_S <= at_s < CUT_S:
            result.calm_calls_per_s[prefix] += 1 / (min(end_s, CUT_S) - WARM_UP_S)
        elif at_s >= CUT_S + NOTICED_S:
            result.cut_calls_per_s[prefix] += 1 / (end_s - CUT_S - NOTICED_S)
    return result


def replay_confirmations(router_count, seed, end_s=END_S):
    """Replay a calm time, then one in which the watching routers are cut off.

    :param router_count: number of routers.
    :param seed: seed of all random draws.
    :param end_s: virtual time in seconds at which the replay ends.
    :returns: the measurements.
    """

    async def run():
        clock = SimpleNamespace(monotonic=asyncio.get_running_loop().time)
        with (
            mock.patch.object(server_list_watcher, "time", clock),
            mock.patch.object(store_follower, "time", clock),
        ):
            return await _run(router_count, seed, end_s)

    decode_once = functools.lru_cache(maxsize=8192)(decode_report)
    with seeded(seed), mock.patch.object(router_peers, "decode_report", decode_once):
        return run_on_virtual_clock(run())
