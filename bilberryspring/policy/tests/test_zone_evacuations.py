"""Evacuations of availability zones, in replays of whole fleets.

Only the routers that watch the store for all hear of an evacuation from it. The others
learn it from reports, over a network that loses one datagram in a hundred.
"""

import asyncio
import random

import pytest

from bilberryspring.capability.store_position import StorePosition
from bilberryspring.identifiers import StoreEpoch
from bilberryspring.load.virtual_clock import run_on_virtual_clock
from bilberryspring.policy.tests.fleet_replay import (
    DATAGRAM_LOSS,
    WARM_UP_S,
    Network,
    Router,
    seeded,
)
from bilberryspring.process.router_peers import REPORT_INTERVAL_S, WATCHER_COUNT
from bilberryspring.request.tests.relay_fixtures import make_server

# Changes are news, which arrive sooner than the next regular reports.
MAX_LEARNING_S = REPORT_INTERVAL_S
# A restarted router has to be heard of before others report to it.
MAX_RESTARTED_S = 1.0
MAX_BYTES_PER_S = 10_000
LISTING_INTERVAL_S = 1.0
IN_FORCE_S = 2.0
ZONES = ("z0", "z1", "z2")
SERVERS = 26


class EvacuationReplay:
    """Routers with servers in three zones, some of which restart.

    :param count: number of routers.
    :param seed: seed of all random draws.
    """

    def __init__(self, count, seed):
        self.network = Network(random.Random(seed))
        assert self.network.datagram_loss == DATAGRAM_LOSS == 0.01
        self.routers = {number: self._make_router(number) for number in range(count)}
        self.tasks = {}
        self.revision = 10

    def _make_router(self, number):
        router = Router(number, self.network)
        for server in range(SERVERS):
            zone = ZONES[server % len(ZONES)]
            router.table.put(make_server(f"s{server}", zone=zone))
        return router

    async def _run_router(self, router):
        listing = asyncio.create_task(self._list_routers(router))
        try:
            await router.run()
        finally:
            listing.cancel()

    async def _list_routers(self, router):
        while True:
            router.peers.add_addresses([each.ip for each in self.routers.values()])
            await asyncio.sleep(LISTING_INTERVAL_S)

    def start(self, number):
        router = self.routers[number]
        self.tasks[number] = asyncio.create_task(self._run_router(router))

    def restart_without_store(self, number):
        """Restart a router that the store then rejects."""
        self.tasks[number].cancel()
        self.routers[number] = self._make_router(number)
        self.start(number)

    def tell_watchers(self, is_evacuated):
        """Let the routers that watch the store hear of a change."""
        self.revision += 1
        position = StorePosition(StoreEpoch(1), self.revision)
        watchers = [each for each in self.routers.values() if each.peers.is_watcher()]
        assert len(watchers) >= WATCHER_COUNT
        for router in watchers[:WATCHER_COUNT]:
            router.table.evacuations.record_change("z0", position, is_evacuated)

    async def wait_for_all(self, is_evacuated):
        """Return the time in seconds until all routers hold the same."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        while any(
            router.table.evacuations.is_evacuated("z0") != is_evacuated
            for router in self.routers.values()
        ):
            if loop.time() - began_s > 10.0:
                return float("inf")
            await asyncio.sleep(0.005)
        return loop.time() - began_s

    async def run(self):
        """Evacuate a zone and take it back; return the times until all know each."""
        loop = asyncio.get_running_loop()
        for number in self.routers:
            self.start(number)
        await asyncio.sleep(WARM_UP_S)
        self.network.sent_bytes.clear()
        began_s = loop.time()
        times_s = []
        for is_evacuated in (True, False):
            self.tell_watchers(is_evacuated)
            times_s.append(await self.wait_for_all(is_evacuated))
            await asyncio.sleep(IN_FORCE_S / 2)
            for number in list(self.routers)[:2]:
                self.restart_without_store(number)
            times_s.append(await self.wait_for_all(is_evacuated))
            await asyncio.sleep(IN_FORCE_S / 2)
        most_bytes = max(self.network.sent_bytes.values())
        bytes_per_s = most_bytes / (loop.time() - began_s)
        for task in self.tasks.values():
            task.cancel()
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)
        return times_s, bytes_per_s


async def _replay(count, seed):
    return await EvacuationReplay(count, seed).run()


@pytest.mark.parametrize(("routers", "seed"), [(5, 1), (5, 2), (30, 1), (68, 1)])
def test_all_routers_learn_from_those_that_watch_the_store(routers, seed):
    with seeded(seed):
        times_s, bytes_per_s = run_on_virtual_clock(_replay(routers, seed))
    known_s, restarted_s, ended_s, _ = times_s
    assert max(known_s, ended_s) <= MAX_LEARNING_S
    assert restarted_s <= MAX_RESTARTED_S
    assert bytes_per_s <= MAX_BYTES_PER_S
