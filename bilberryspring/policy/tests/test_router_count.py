"""Number of routers that each router knows, in a fleet that grows and shrinks.

Each router uses a part of what all may do together, such as retries. Guards against a
number that routers keep each other from forgetting, so that parts never grow again
after routers were lost.
"""

import asyncio
import random

import pytest

from bilberryspring.load.virtual_clock import run_on_virtual_clock
from bilberryspring.policy.tests.fleet_replay import PORT, Network, seeded
from bilberryspring.process.router_peers import PEER_TIMEOUT_S, make_router_peers
from bilberryspring.process.server_table import make_server_table
from bilberryspring.request.suspect_contents import make_suspect_contents

ADDRESS_INTERVAL_S = 4.0
KNOWN_S = 8.0
# The time for which a lost router counts, and that for which others pass it on.
FORGOTTEN_S = 2 * PEER_TIMEOUT_S + 1.0


class Feed:
    age_s = 0.0
    store_epoch = None

    def confirm(self, age_s):
        pass


class Fleet:
    def __init__(self, seed):
        self.network = Network(random.Random(seed))
        self.peers, self.tasks = {}, {}

    def add(self, number):
        loop = asyncio.get_running_loop()
        ip = f"10.0.0.{number}"
        peers = make_router_peers(
            f"r{number}",
            ip,
            PORT,
            make_server_table(read_clock=loop.time),
            lambda: 1,
            lambda _: None,
            Feed(),
            lambda _: None,
            make_suspect_contents(loop.time),
            read_clock=loop.time,
        )
        peers._transport = self.network.make_transport(ip)
        self.peers[ip] = self.network.peers[ip] = peers
        self.tasks[ip] = asyncio.create_task(peers.run())

    def remove(self, count):
        for ip in list(self.peers)[:count]:
            self.tasks.pop(ip).cancel()
            del self.peers[ip], self.network.peers[ip]

    async def run(self, duration_s):
        end_s = asyncio.get_running_loop().time() + duration_s
        while asyncio.get_running_loop().time() < end_s:
            for peers in self.peers.values():
                peers.add_addresses(list(self.peers))
            await asyncio.sleep(min(ADDRESS_INTERVAL_S, duration_s))

    def count(self):
        return {peers.count_routers() for peers in self.peers.values()}


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(("routers", "lost", "joined"), [(5, 3, 2), (40, 25, 5)])
def test_number_of_routers_follows_losses_and_joins(routers, lost, joined, seed):
    async def play():
        fleet = Fleet(seed)
        for number in range(routers):
            fleet.add(number)
        await fleet.run(KNOWN_S)
        assert fleet.count() == {routers}
        fleet.remove(lost)
        # Their retries may be in the window still.
        await fleet.run(PEER_TIMEOUT_S - ADDRESS_INTERVAL_S)
        assert min(fleet.count()) == routers
        await fleet.run(FORGOTTEN_S)
        assert fleet.count() == {routers - lost}
        for number in range(routers, routers + joined):
            fleet.add(number)
        await fleet.run(KNOWN_S)
        assert fleet.count() == {routers - lost + joined}
        for task in fleet.tasks.values():
            task.cancel()

    with seeded(seed):
        run_on_virtual_clock(play())
