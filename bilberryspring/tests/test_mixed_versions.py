"""Nodes of the present version and of another one serve in one fleet.

The other version is the former or a later one, as during a roll-out. Guards against
messages and claims that nodes of one version cannot read when nodes of the other one
wrote them. Such a fault shows as a truncated answer, a failed resumption or a second
run of a key. A router, an engine's agent and a service's agent of each version run in
the fleet.
"""

import asyncio

import pytest

from bilberryspring.standin.callers import find_answer_errors
from bilberryspring.tests.documents import (
    ENGINE_POOL,
    MODEL,
    SERVICE_POOL,
    WORKSPACE_KEY,
)
from bilberryspring.tests.order_harness import (
    make_order_harness,
    make_order_key,
    make_orders_document,
)
from bilberryspring.tests.other_version import PROGRAM_MODULE, VERSIONS

pytestmark = [pytest.mark.asyncio, pytest.mark.timeout(180)]

CHAT_COUNT = 8
ORDER_COUNT = 8
ANSWER_TOKENS = 60
DECODE_INTERVAL_S = 0.02
WAIT_TIMEOUT_S = 40.0


class MixedFleet:
    """Fleet with a router and two agents of the present version and of another one."""

    def __init__(self, directory, version):
        # No agent sends claims directly, so batchers of both versions send all of them.
        self.harness = make_order_harness(directory, proxied=())
        self.fleet = self.harness.fleet
        self.version = version
        self.engines = []

    async def start(self):
        fleet, harness = self.fleet, self.harness
        await fleet.start_platform()
        await fleet.publish(make_orders_document())
        present_programs = dict(fleet.programs)
        other_programs = {
            role: (PROGRAM_MODULE, [self.version, role]) for role in present_programs
        }
        for programs in (present_programs, other_programs):
            fleet.programs = programs
            harness.routers.append(await fleet.add_router("z"))
            agent_settings = {"max_direct_claim_agents": 0}
            service = await fleet.add_service(SERVICE_POOL, "z", agent=agent_settings)
            harness.agents.append(service)
            engine = await fleet.add_engine(
                ENGINE_POOL,
                "z",
                models=[MODEL],
                decode_interval_s=DECODE_INTERVAL_S,
                answer_tokens=100_000_000,
            )
            self.engines.append(engine)
        await fleet.wait_ready()
        await self.warm_up()

    async def warm_up(self):
        """Send chats until both engines have served one.

        A slow first answer could be taken for a lost agent.
        """
        number = CHAT_COUNT
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not all(self.count_runs(self.engines)):
                await self.chat(number)
                number += 1

    async def chat(self, number, **options):
        return await self.fleet.chat(
            self.harness.routers[number % 2],
            WORKSPACE_KEY,
            [{"role": "user", "content": f"compose the roll of ward {number} " * 4}],
            model=MODEL,
            max_tokens=ANSWER_TOKENS,
            **options,
        )

    def count_runs(self, agents):
        return [len(self.fleet.read_runs(agent)) for agent in agents]


@pytest.fixture(params=VERSIONS)
async def mixed_fleet(request, tmp_path):
    mixed_fleet = MixedFleet(tmp_path, request.param)
    async with mixed_fleet.fleet:
        await mixed_fleet.start()
        yield mixed_fleet


def assert_complete(records):
    for record in records:
        assert find_answer_errors(record, MODEL, "engine-1") == []
        assert len(record.events) == ANSWER_TOKENS


async def test_streams_are_whole_and_resumed_across_versions(mixed_fleet):
    runs_before = mixed_fleet.count_runs(mixed_fleet.engines)
    records = await asyncio.gather(*map(mixed_fleet.chat, range(CHAT_COUNT)))
    assert_complete(records)
    runs_after = mixed_fleet.count_runs(mixed_fleet.engines)
    assert all(b > a for a, b in zip(runs_before, runs_after, strict=True)), (
        runs_before,
        runs_after,
    )
    for number in range(2):
        record = await mixed_fleet.chat(number, stop_after_events=7)
        # The router of the other version resumes the stream.
        await mixed_fleet.fleet.resume(
            mixed_fleet.harness.routers[1 - number], WORKSPACE_KEY, record
        )
        assert_complete([record])


async def test_a_lost_agent_leaves_answers_whole_across_versions(mixed_fleet):
    lost_agent = mixed_fleet.engines[0]
    runs_before = mixed_fleet.count_runs([lost_agent])
    chats = [
        asyncio.create_task(mixed_fleet.chat(number)) for number in range(CHAT_COUNT)
    ]
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while mixed_fleet.count_runs([lost_agent]) == runs_before:
            await asyncio.sleep(DECODE_INTERVAL_S)
    lost_agent.process.kill()
    assert_complete(await asyncio.gather(*chats))


async def test_a_key_runs_at_most_once_across_versions(mixed_fleet):
    harness = mixed_fleet.harness
    keys = [make_order_key() for _ in range(ORDER_COUNT)]
    orders = [
        harness.send_order(key, router) for key in keys for router in harness.routers
    ]
    await asyncio.gather(*orders)
    for router in harness.routers:
        await asyncio.gather(*(harness.send_order(key, router) for key in keys))
    for key in keys:
        await harness.order_until_final(key)
    runs = harness.count_runs()
    assert [runs[key] for key in keys] == [1] * ORDER_COUNT
    assert all(mixed_fleet.count_runs(harness.agents))
    harness.assert_outcomes_match_runs()
