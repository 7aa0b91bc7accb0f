"""A leaving backend server gets no new requests after a few seconds and loses none.

Guards against routers that go on placing chats at an engine after its agent or the
instance list says that it leaves, and against answers cut off by its leaving.
"""

import asyncio
import signal
import time

import pytest

from bilberryspring.standin.callers import find_answer_errors
from bilberryspring.standin.fleet import make_fleet
from bilberryspring.tests.documents import (
    ENGINE_POOL,
    MODEL,
    WORKSPACE_KEY,
    make_document,
)

pytestmark = pytest.mark.timed

ENGINE_VERSION = "engine-1"
NOTICE_LIMIT_S = 3.0
CALLS_PER_S = 20.0
LOAD_DURATION_S = 7.0
LOAD_BEFORE_NOTICE_S = 1.5
CHAT_COUNT = 40
ANSWER_TOKENS = 5
# Long enough to keep the leaving agent serving until the load has ended.
LONG_ANSWER_TOKENS = 500
LIST_LAG_S = 1.0


class LeavingFleet:
    """Three engines behind two routers; a long answer keeps one engine running."""

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

    async def send(self, number, chat_name, max_tokens=ANSWER_TOKENS):
        return await self.fleet.chat(
            self.routers[number % 2],
            WORKSPACE_KEY,
            [{"role": "user", "content": f"roll {number}"}],
            model=MODEL,
            max_tokens=max_tokens,
            headers={"X-Chat-Key": f"chat-{chat_name}"},
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
        for number in range(int(LOAD_DURATION_S * CALLS_PER_S)):
            await asyncio.sleep(start_s + number / CALLS_PER_S - time.monotonic())
            tasks.append(asyncio.create_task(self.send(number, number % CHAT_COUNT)))
        return await asyncio.gather(*tasks)


@pytest.fixture
async def leaving_fleet(tmp_path):
    async with make_fleet(tmp_path) as fleet:
        yield LeavingFleet(fleet)


async def tell_agent(leaving_fleet, agent):
    """Send SIGTERM to the agent, while the list still shows the instance as live."""
    agent.process.send_signal(signal.SIGTERM)


async def tell_agent_in_list_outage(leaving_fleet, agent):
    instances = leaving_fleet.fleet.processes["instances"]
    await leaving_fleet.fleet.set_faults(instances, outage=True)
    agent.process.send_signal(signal.SIGTERM)


async def tell_lagging_list(leaving_fleet, agent):
    """Mark the instance as leaving in the list only, which shows it with a delay."""
    agent.entry["state"] = "leaving"
    await leaving_fleet.fleet.update_instance_list(lag_s=LIST_LAG_S)


async def tell_agent_while_a_router_is_frozen(leaving_fleet, agent):
    router = leaving_fleet.routers[1]
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
async def test_a_leaving_backend_server_gets_no_new_work(leaving_fleet, notice):
    await leaving_fleet.start()
    long_answer = asyncio.create_task(leaving_fleet.send(0, "long", LONG_ANSWER_TOKENS))
    agent = await leaving_fleet.find_busy_agent()
    load = asyncio.create_task(leaving_fleet.send_load())
    await asyncio.sleep(LOAD_BEFORE_NOTICE_S)
    notice_s = time.monotonic()
    await notice(leaving_fleet, agent)
    records = [*await load, await long_answer]
    received_s = [run["received_s"] for run in leaving_fleet.fleet.read_runs(agent)]
    assert sum(time_s < notice_s for time_s in received_s) > 3, (
        "the engine got no requests before the notice"
    )
    assert [time_s for time_s in received_s if time_s > notice_s + NOTICE_LIMIT_S] == []
    for record in records:
        assert find_answer_errors(record, MODEL, ENGINE_VERSION) == []
