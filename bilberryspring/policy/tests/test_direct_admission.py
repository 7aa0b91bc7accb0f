"""Replays of many routers that share a few servers, below and above their capacity."""

import asyncio
import random
from dataclasses import dataclass, field

import pytest

from bilberryspring.load.virtual_clock import run_on_virtual_clock
from bilberryspring.process.server_table import PeerLoad, make_server_table
from bilberryspring.request.dispatcher import make_dispatcher
from bilberryspring.request.reservations import Reservation
from bilberryspring.request.tests.relay_fixtures import (
    SERVICE_POOL,
    make_request,
    make_route,
    make_server,
)

SEEDS = (1, 2, 3)
ROUTERS = 20
SERVERS = 4
SLOTS = 6
SERVICE_S = 0.09
TARGET_S = 0.4
DEADLINE_S = 3.0
REPORT_S = 0.25
DURATION_S = 10.0
# Workspaces besides the one that sends the flood.
SMALL_WORKSPACES = 8
CAPACITY_PER_S = SERVERS * SLOTS / SERVICE_S


@dataclass
class Outcomes:
    """Latencies of the requests, by outcome.

    :param response_s: time in seconds from arrival to the end of the response.
    :param refused_after_s: time in seconds from arrival to the refusal.
    """

    response_s: list = field(default_factory=list)
    refused_after_s: list = field(default_factory=list)

    def count_in_time(self):
        return sum(each_s <= TARGET_S for each_s in self.response_s)


class Fleet:
    """Routers that exchange load reports at the interval of a production fleet."""

    def __init__(self, servers, is_router_count_known=True):
        self.routers = []
        loop = asyncio.get_running_loop()
        for _ in range(ROUTERS):
            table = make_server_table()
            for server in servers:
                table.put(server)
            dispatcher = make_dispatcher(table, "z", 2.0, read_clock=loop.time)
            dispatcher.router_count = ROUTERS if is_router_count_known else 1
            self.routers.append((dispatcher, table))

    async def report(self):
        while True:
            await asyncio.sleep(REPORT_S)
            tables = [table for _, table in self.routers]
            for server_id in tables[0].records:
                records = [table.records[server_id] for table in tables]
                for record in records:
                    others = [each for each in records if each is not record]
                    record.update_peer_load(
                        PeerLoad(
                            sum(each.requests for each in others),
                            sum(each.prompt_tokens for each in others),
                            sum(each.held_tokens for each in others),
                        ),
                        1.0,
                        asyncio.get_running_loop().time(),
                    )


async def _run(
    seed, arrivals_per_s, duration_s, is_router_count_known, flood_share=0.0
):
    rng = random.Random(seed)
    loop = asyncio.get_running_loop()
    servers = [make_server(f"s{number}", slots=SLOTS) for number in range(SERVERS)]
    fleet = Fleet(servers, is_router_count_known)
    slots = {server.server_id: asyncio.Semaphore(SLOTS) for server in servers}
    others, flood = Outcomes(), Outcomes()

    async def run(number):
        is_flood = rng.random() < flood_share
        outcomes = flood if is_flood else others
        arrival_s = loop.time()
        dispatcher, _ = fleet.routers[rng.randrange(ROUTERS)]
        route = make_route(target_s=TARGET_S, timeout_s=DEADLINE_S)
        request = make_request(route, request_id=f"q{number}")
        request.workspace = "flood" if is_flood else f"w{number % SMALL_WORKSPACES}"
        place = await dispatcher.acquire(request, SERVICE_POOL, arrival_s + DEADLINE_S)
        if not isinstance(place, Reservation):
            outcomes.refused_after_s.append(loop.time() - arrival_s)
            return
        sent_s = loop.time()
        async with slots[place.record.server.server_id]:
            await asyncio.sleep(SERVICE_S * rng.uniform(0.5, 1.5))
        dispatcher.release(place, loop.time() - sent_s)
        outcomes.response_s.append(loop.time() - arrival_s)

    reporting = asyncio.create_task(fleet.report())
    tasks = []
    while loop.time() < duration_s:
        await asyncio.sleep(rng.expovariate(arrivals_per_s))
        tasks.append(asyncio.create_task(run(len(tasks))))
    await asyncio.gather(*tasks)
    reporting.cancel()
    return others, flood


def replay(seed, arrivals_per_s, is_router_count_known=True):
    """Return the outcomes of a trace in which no workspace sends a flood.

    :param seed: seed of the random arrivals.
    :param arrivals_per_s: mean arrival rate, in requests per second.
    :param is_router_count_known: whether each router knows how many routers share the
        servers; otherwise it assumes that it is the only one.
    """
    run = _run(seed, arrivals_per_s, DURATION_S, is_router_count_known)
    return run_on_virtual_clock(run)[0]


def replay_flood(seed, arrivals_per_s, flood_share):
    """Return the outcomes of the other workspaces, and of the one that sends a flood.

    :param seed: seed of the random arrivals.
    :param arrivals_per_s: mean arrival rate, in requests per second.
    :param flood_share: fraction of the requests that belong to the flood.
    """
    return run_on_virtual_clock(
        _run(seed, arrivals_per_s, DURATION_S, True, flood_share)
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_most_capacity_serves_requests_in_time_under_overload(seed):
    outcomes = replay(seed, 1.6 * CAPACITY_PER_S)
    assert outcomes.count_in_time() >= 0.75 * CAPACITY_PER_S * DURATION_S
    assert outcomes.count_in_time() >= 0.75 * len(outcomes.response_s)


@pytest.mark.parametrize("seed", SEEDS)
def test_excess_requests_are_refused_immediately_under_overload(seed):
    outcomes = replay(seed, 1.6 * CAPACITY_PER_S)
    immediate = sum(after_s < 0.05 for after_s in outcomes.refused_after_s)
    assert immediate >= 0.95 * len(outcomes.refused_after_s) > 0


@pytest.mark.parametrize("seed", SEEDS)
def test_routers_that_ignore_other_routers_serve_fewer_requests_in_time(seed):
    unaware = replay(seed, 1.6 * CAPACITY_PER_S, is_router_count_known=False)
    aware = replay(seed, 1.6 * CAPACITY_PER_S)
    assert aware.count_in_time() > unaware.count_in_time()


@pytest.mark.parametrize("seed", SEEDS)
def test_nearly_all_requests_are_served_in_time_below_capacity(seed):
    outcomes = replay(seed, 0.85 * CAPACITY_PER_S)
    total = len(outcomes.response_s) + len(outcomes.refused_after_s)
    assert outcomes.count_in_time() >= 0.97 * total


@pytest.mark.parametrize("seed", SEEDS)
def test_no_request_is_refused_or_late_at_half_capacity(seed):
    outcomes = replay(seed, 0.5 * CAPACITY_PER_S)
    assert not outcomes.refused_after_s
    assert outcomes.count_in_time() == len(outcomes.response_s)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_flood_of_one_workspace_costs_the_others_few_requests(seed):
    others, flood = replay_flood(seed, 1.6 * CAPACITY_PER_S, 0.6)
    total = len(others.response_s) + len(others.refused_after_s)
    assert others.count_in_time() >= 0.8 * total
    assert flood.count_in_time() > 0
