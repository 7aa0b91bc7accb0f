"""A leaving backend server gets no new work after a few seconds, and loses none."""

import asyncio
import signal
import time

import pytest

from bilberryspring.standin.callers import find_answer_faults
from bilberryspring.standin.fleet import make_fleet
from bilberryspring.tests.documents import (
    ENGINE_POOL,
    MODEL,
    WORKSPACE_KEY,
    make_document,
)

pytestmark = pytest.mark.timed

ENGINE_VERSION = "engine-1"
FEW_SECONDS_S = 3.0
CALLS_PER_S = 20.0
LOAD_S = 7.0
NOTICE_AFTER_S = 1.5
CHATS = 40
ANSWER_TOKENS = 5
# Keeps the leaving agent serving until the load has ended.
LONG_ANSWER_TOKENS = 500
LIST_LAG_S = 1.0


class LeavingFleet:
    """Three engines behind two routers, one of the engines held by a long answer."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.agents = []
        self.routers = []

    async def start(self):
        await self.fleet.start_platform()
        await self.fleet.publish(make_document())
        for _ in range(3):
            agent = await self.fleet.add_engine(
                ENGINE_POOL,
                "z",
                models=[MODEL],
                decode_interval_s=0.02,
                answer_tokens=100_000_000,
            )
            self.agents.append(agent)
        self.routers = [await self.fleet.add_router("z") for _ in range(2)]
        await self.fleet.wait_ready(*self.agents, *self.routers)

    async def send(self, number, chat, max_tokens=ANSWER_TOKENS):
        return await self.fleet.chat(
            self.routers[number % 2],
            WORKSPACE_KEY,
            [{"role": "user", "content": f"roll {number}"}],
            model=MODEL,
            max_tokens=max_tokens,
            headers={"X-Chat-Key": f"chat-{chat}"},
        )

    async def find_busy_agent(self):
        """Return the agent whose engine runs the long answer."""
        deadline_s = time.monotonic() + 20
        while time.monotonic() < deadline_s:
            for agent in self.agents:
                if self.fleet.read_runs(agent):
                    return agent
            await asyncio.sleep(0.05)
        raise AssertionError("the long answer did not start")

    async def send_load(self):
        tasks = []
        start_s = time.monotonic()
        for number in range(int(LOAD_S * CALLS_PER_S)):
            await asyncio.sleep(start_s + number / CALLS_PER_S - time.monotonic())
            tasks.append(asyncio.create_task(self.send(number, number % CHATS)))
        return await asyncio.gather(*tasks)


@pytest.fixture
async def leaving(tmp_path):
    async with make_fleet(tmp_path) as fleet:
        yield LeavingFleet(fleet)


async def tell_agent(leaving, agent):
    """The list goes on showing the instance as live."""
    agent.process.send_signal(signal.SIGTERM)


async def tell_agent_in_list_outage(leaving, agent):
    instances = leaving.fleet.processes["instances"]
    await leaving.fleet.set_faults(instances, outage=True)
    agent.process.send_signal(signal.SIGTERM)


async def tell_lagging_list(leaving, agent):
    """Only the list says it, and late."""
    agent.entry["state"] = "leaving"
    await leaving.fleet.push_list(lag_s=LIST_LAG_S)


async def tell_agent_while_a_router_is_frozen(leaving, agent):
    router = leaving.routers[1]
    router.process.freeze()
    await asyncio.sleep(0.2)
    agent.process.send_signal(signal.SIGTERM)
    await asyncio.sleep(2.0)
    router.process.thaw()


NOTICES = [
    tell_agent,
    tell_agent_in_list_outage,
    tell_lagging_list,
    tell_agent_while_a_router_is_frozen,
]


@pytest.mark.parametrize("notice", NOTICES)
async def test_a_leaving_backend_server_gets_no_new_work(leaving, notice):
    await leaving.start()
    long_answer = asyncio.create_task(leaving.send(0, "long", LONG_ANSWER_TOKENS))
    agent = await leaving.find_busy_agent()
    load = asyncio.create_task(leaving.send_load())
    await asyncio.sleep(NOTICE_AFTER_S)
    told_s = time.monotonic()
    await notice(leaving, agent)
    records = [*await load, await long_answer]
    received_s = [run["received_s"] for run in leaving.fleet.read_runs(agent)]
    assert sum(each_s < told_s for each_s in received_s) > 3, "it had no work before"
    assert [each_s for each_s in received_s if each_s > told_s + FEW_SECONDS_S] == []
    for record in records:
        assert find_answer_faults(record, MODEL, ENGINE_VERSION) == []
