"""No engine gets work beyond the bound, whatever the agents and routers know."""

import asyncio
import random
import time

import pytest

from bilberryspring.standin.fleet import make_fleet
from bilberryspring.tests.documents import (
    ENGINE_POOL,
    MODEL,
    WORKSPACE_KEY,
    make_document,
)
from bilberryspring.tests.load_checks import list_assignments, read_engine

pytestmark = pytest.mark.timed

FACTOR = 1.25
FLOOR_TOKENS = 200
PROMPT_TOKENS = 60
ANSWER_TOKENS = 40
REQUEST_TOKENS = PROMPT_TOKENS + ANSWER_TOKENS
ENGINES = 4
CHATS = 200
ARRIVALS_PER_S = 40.0
# Fewer would not show much of the bound.
MIN_ASSIGNMENTS = 80
# A hot chat is one in three of the requests.
HOT_SHARE = 1 / 3
ENGINE_SETTINGS = {
    "models": [MODEL],
    "decode_interval_s": 0.02,
    "max_batch": 4,
    "answer_tokens": 100_000_000,
}


def make_bounded_document(factor):
    pool = {
        "name": ENGINE_POOL,
        "kind": "engine",
        "load_bound": factor,
        "load_floor": FLOOR_TOKENS,
        # The queue is the engine's, so that its journal sees all of the load.
        "max_running": 10_000,
    }
    document = make_document()
    pools = [pool, *document["pools"][1:]]
    workspaces = [each | {"max_queued": 10_000} for each in document["workspaces"]]
    return document | {"pools": pools, "workspaces": workspaces}


class LoadedFleet:
    """Four engines, two routers, and open-loop callers."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.agents = []
        self.routers = []
        self.joined_s = {}
        self.left_s = {}
        self.away = {}

    async def start(self, factor):
        await self.fleet.start_platform()
        await self.fleet.publish(make_bounded_document(factor))
        for _ in range(ENGINES):
            self.agents.append(await self.add_engine())
        for _ in range(2):
            proxied = ("instances", "key_value")
            self.routers.append(await self.fleet.add_router("z", proxied=proxied))
        await self.fleet.wait_ready(*self.agents, *self.routers)
        # Every agent hears of every other one.
        await asyncio.sleep(1.5)

    async def add_engine(self):
        return await self.fleet.add_engine(ENGINE_POOL, "z", **ENGINE_SETTINGS)

    async def send_load(self, hot):
        rng = random.Random(11)
        tasks = []
        start_s = time.monotonic()
        for number in range(CHATS):
            await asyncio.sleep(start_s + number / ARRIVALS_PER_S - time.monotonic())
            key = "hot" if hot and rng.random() < HOT_SHARE else f"chat-{number}"
            router = self.routers[number % len(self.routers)]
            tasks.append(asyncio.create_task(self.send(router, number, key)))
        return await asyncio.gather(*tasks)

    async def send(self, router, number, chat_key):
        # Words this short make the agents' estimate, from bytes, nearly the engine's
        # count, so that both mean the same load.
        words = " ".join([f"{number:02x}"] * PROMPT_TOKENS)
        return await self.fleet.chat(
            router,
            WORKSPACE_KEY,
            [{"role": "user", "content": words}],
            model=MODEL,
            max_tokens=ANSWER_TOKENS,
            headers={"X-Chat-Key": chat_key},
        )

    async def list_assignments(self):
        engines = []
        for agent in self.agents:
            engine = await read_engine(self.fleet, agent)
            engine.from_s = self.joined_s.get(agent.instance_id, 0.0)
            engine.until_s = self.left_s.get(agent.instance_id, float("inf"))
            engine.away = self.away.get(agent.instance_id, [])
            engines.append(engine)
        return list_assignments(engines)


@pytest.fixture
async def loaded(tmp_path):
    async with make_fleet(tmp_path) as fleet:
        yield LoadedFleet(fleet)


async def no_fault(loaded):
    pass


async def join(loaded):
    await asyncio.sleep(1.0)
    agent = await loaded.add_engine()
    loaded.agents.append(agent)
    await loaded.fleet.wait_ready(agent)
    loaded.joined_s[agent.instance_id] = time.monotonic()


async def leave(loaded):
    await asyncio.sleep(1.5)
    agent = loaded.agents[0]
    loaded.left_s[agent.instance_id] = time.monotonic()
    await agent.process.stop()


async def flap(loaded):
    agent = loaded.agents[0]
    for _ in range(2):
        await asyncio.sleep(0.8)
        away_s = time.monotonic()
        agent.process.kill()
        await asyncio.sleep(0.3)
        agent.process.start()
        await loaded.fleet.wait_ready(agent.process)
        loaded.away.setdefault(agent.instance_id, []).append((away_s, time.monotonic()))


async def freeze_first(loaded, duration_s):
    await asyncio.sleep(1.5)
    agent = loaded.agents[0]
    agent.process.freeze()
    await asyncio.sleep(duration_s)
    agent.process.thaw()


async def stop_reports(loaded):
    """Freeze one agent, so that the others miss its reports and it misses theirs."""
    await freeze_first(loaded, 1.5)


async def stop_reports_for_longer(loaded):
    """Freeze one agent for longer than its last report counts in full."""
    await freeze_first(loaded, 2.5)


async def cut_off_one_router(loaded):
    """Keep one router at an old list while an engine joins and another leaves."""
    for proxy in loaded.routers[0].proxies.values():
        await loaded.fleet.set_faults(proxy, mode="cut")
    await asyncio.gather(join(loaded), leave(loaded))


FAULTS = [
    no_fault,
    join,
    leave,
    flap,
    stop_reports,
    stop_reports_for_longer,
    cut_off_one_router,
]


@pytest.mark.parametrize("fault", FAULTS)
async def test_no_assignment_takes_an_engine_over_the_bound(loaded, fault):
    await loaded.start(FACTOR)
    _, records = await asyncio.gather(fault(loaded), loaded.send_load(hot=True))
    assignments = await loaded.list_assignments()
    assert len(assignments) >= MIN_ASSIGNMENTS
    assert max(each.mean for each in assignments) > 1.5 * FLOOR_TOKENS
    beyond = [
        each
        for each in assignments
        if not each.is_within(FACTOR, FLOOR_TOKENS, REQUEST_TOKENS)
    ]
    assert beyond == []
    refused = {record.request_id for record in records if record.outcome == "not_run"}
    assert not refused & {each.request_id for each in assignments}


async def test_without_the_bound_a_hot_chat_overloads_its_engine(loaded):
    """The same load, with the mechanism switched off, breaks what is checked above."""
    await loaded.start(100.0)
    await loaded.send_load(hot=True)
    assignments = await loaded.list_assignments()
    assert not all(
        each.is_within(FACTOR, FLOOR_TOKENS, REQUEST_TOKENS) for each in assignments
    )
