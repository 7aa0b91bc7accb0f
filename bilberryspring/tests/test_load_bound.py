"""No request takes an engine over the load bound, even with stale loads or membership.

Guards against engines that are overloaded by one often used chat while instances join,
leave, restart or freeze, or while a router has an old instance list.
"""

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
from bilberryspring.tests.load_bound_checks import list_assignments, read_engine_history

pytestmark = pytest.mark.timed

LOAD_BOUND_FACTOR = 1.25
LOAD_FLOOR_TOKENS = 200
PROMPT_TOKENS = 60
ANSWER_TOKENS = 40
REQUEST_TOKENS = PROMPT_TOKENS + ANSWER_TOKENS
ENGINE_COUNT = 4
REQUEST_COUNT = 200
ARRIVALS_PER_S = 40.0
# Fewer assignments would hardly test the bound.
MIN_ASSIGNMENTS = 80
# Share of the requests that belong to one chat.
HOT_CHAT_SHARE = 1 / 3
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
        "load_floor": LOAD_FLOOR_TOKENS,
        # Requests queue inside the engine, so that its journal shows the whole load.
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
        self.join_times_s = {}
        self.leave_times_s = {}
        self.absences = {}

    async def start(self, factor):
        await self.fleet.start_platform()
        await self.fleet.publish(make_bounded_document(factor))
        for _ in range(ENGINE_COUNT):
            self.agents.append(await self.add_engine())
        for _ in range(2):
            proxied = ("instances", "key_value")
            self.routers.append(await self.fleet.add_router("z", proxied=proxied))
        await self.fleet.wait_ready(*self.agents, *self.routers)
        # Every agent receives the loads of all others in this time.
        await asyncio.sleep(1.5)

    async def add_engine(self):
        return await self.fleet.add_engine(ENGINE_POOL, "z", **ENGINE_SETTINGS)

    async def send_load(self, with_hot_chat):
        rng = random.Random(11)
        tasks = []
        start_s = time.monotonic()
        for number in range(REQUEST_COUNT):
            await asyncio.sleep(start_s + number / ARRIVALS_PER_S - time.monotonic())
            key = (
                "hot"
                if with_hot_chat and rng.random() < HOT_CHAT_SHARE
                else f"chat-{number}"
            )
            router = self.routers[number % len(self.routers)]
            tasks.append(asyncio.create_task(self.send(router, number, key)))
        return await asyncio.gather(*tasks)

    async def send(self, router, number, chat_key):
        # With words this short the agents' token estimate, which is made from bytes, is
        # close to the engine's count, so both measure the same load.
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
            engine = await read_engine_history(self.fleet, agent)
            engine.joined_s = self.join_times_s.get(agent.instance_id, 0.0)
            engine.left_s = self.leave_times_s.get(agent.instance_id, float("inf"))
            engine.absences = self.absences.get(agent.instance_id, [])
            engines.append(engine)
        return list_assignments(engines)


@pytest.fixture
async def loaded_fleet(tmp_path):
    async with make_fleet(tmp_path) as fleet:
        yield LoadedFleet(fleet)


async def no_fault(loaded_fleet):
    pass


async def join(loaded_fleet):
    await asyncio.sleep(1.0)
    agent = await loaded_fleet.add_engine()
    loaded_fleet.agents.append(agent)
    await loaded_fleet.fleet.wait_ready(agent)
    loaded_fleet.join_times_s[agent.instance_id] = time.monotonic()


async def leave(loaded_fleet):
    await asyncio.sleep(1.5)
    agent = loaded_fleet.agents[0]
    loaded_fleet.leave_times_s[agent.instance_id] = time.monotonic()
    await agent.process.stop()


async def flap(loaded_fleet):
    agent = loaded_fleet.agents[0]
    for _ in range(2):
        await asyncio.sleep(0.8)
        killed_s = time.monotonic()
        agent.process.kill()
        await asyncio.sleep(0.3)
        agent.process.start()
        await loaded_fleet.fleet.wait_ready(agent.process)
        loaded_fleet.absences.setdefault(agent.instance_id, []).append(
            (killed_s, time.monotonic())
        )


async def freeze_first_agent(loaded_fleet, duration_s):
    await asyncio.sleep(1.5)
    agent = loaded_fleet.agents[0]
    agent.process.freeze()
    await asyncio.sleep(duration_s)
    agent.process.thaw()


async def stop_reports(loaded_fleet):
    """Freeze one agent, so that it neither sends nor receives load reports."""
    await freeze_first_agent(loaded_fleet, 1.5)


async def stop_reports_for_longer(loaded_fleet):
    """Freeze one agent beyond the time in which its last report counts in full."""
    await freeze_first_agent(loaded_fleet, 2.5)


async def cut_off_one_router(loaded_fleet):
    """Leave one router with an old list while one engine joins and another leaves."""
    for proxy in loaded_fleet.routers[0].proxies.values():
        await loaded_fleet.fleet.set_faults(proxy, mode="cut")
    await asyncio.gather(join(loaded_fleet), leave(loaded_fleet))


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
async def test_no_assignment_takes_an_engine_over_the_bound(loaded_fleet, fault):
    await loaded_fleet.start(LOAD_BOUND_FACTOR)
    _, records = await asyncio.gather(
        fault(loaded_fleet), loaded_fleet.send_load(with_hot_chat=True)
    )
    assignments = await loaded_fleet.list_assignments()
    assert len(assignments) >= MIN_ASSIGNMENTS
    assert (
        max(assignment.mean_load_tokens for assignment in assignments)
        > 1.5 * LOAD_FLOOR_TOKENS
    )
    beyond_bound = [
        assignment
        for assignment in assignments
        if not assignment.is_within_bound(
            LOAD_BOUND_FACTOR, LOAD_FLOOR_TOKENS, REQUEST_TOKENS
        )
    ]
    assert beyond_bound == []
    refused = {record.request_id for record in records if record.outcome == "not_run"}
    assert not refused & {assignment.request_id for assignment in assignments}


async def test_without_the_bound_a_hot_chat_overloads_its_engine(loaded_fleet):
    """Check that the load above breaks the bound if the bound is not enforced."""
    await loaded_fleet.start(100.0)
    await loaded_fleet.send_load(with_hot_chat=True)
    assignments = await loaded_fleet.list_assignments()
    assert not all(
        assignment.is_within_bound(LOAD_BOUND_FACTOR, LOAD_FLOOR_TOKENS, REQUEST_TOKENS)
        for assignment in assignments
    )
