"""Two versions of the nodes serve in one fleet, as during a roll-out.

One router, one engine's agent and one service's agent of the present version stand
beside those of the former or of a later one. Callers' records and the stand-ins'
journals decide.
"""

import asyncio

import pytest

from bilberryspring.standin.callers import find_answer_faults
from bilberryspring.tests.documents import (
    ENGINE_POOL,
    MODEL,
    SERVICE_POOL,
    WORKSPACE_KEY,
)
from bilberryspring.tests.orders import (
    make_order_harness,
    make_order_key,
    make_orders_document,
)
from bilberryspring.tests.other_version import PROGRAM_MODULE, VERSIONS

pytestmark = [pytest.mark.asyncio, pytest.mark.timeout(180)]

CHATS = 8
ORDERS = 8
ANSWER_TOKENS = 60
DECODE_INTERVAL_S = 0.02
PATIENCE_S = 40.0


class MixedFleet:
    """A router and agents of the present version, and the same of another one."""

    def __init__(self, directory, version):
        # Without direct claims every claim goes through a batcher of either version.
        self.harness = make_order_harness(directory, proxied=())
        self.fleet = self.harness.fleet
        self.version = version
        self.engines = []

    async def start(self):
        fleet, harness = self.fleet, self.harness
        await fleet.start_platform()
        await fleet.publish(make_orders_document())
        present = dict(fleet.programs)
        other = {role: (PROGRAM_MODULE, [self.version, role]) for role in present}
        for programs in (present, other):
            fleet.programs = programs
            harness.routers.append(await fleet.add_router("z"))
            agent = {"max_direct_claim_agents": 0}
            service = await fleet.add_service(SERVICE_POOL, "z", agent=agent)
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
        """Chat until both engines have served: a slow start looks like a loss."""
        number = CHATS
        async with asyncio.timeout(PATIENCE_S):
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
async def mixed(request, tmp_path):
    mixed = MixedFleet(tmp_path, request.param)
    async with mixed.fleet:
        await mixed.start()
        yield mixed


def assert_whole(records):
    for record in records:
        assert find_answer_faults(record, MODEL, "engine-1") == []
        assert len(record.events) == ANSWER_TOKENS


async def test_streams_are_whole_and_resumed_across_versions(mixed):
    before = mixed.count_runs(mixed.engines)
    records = await asyncio.gather(*map(mixed.chat, range(CHATS)))
    assert_whole(records)
    after = mixed.count_runs(mixed.engines)
    assert all(b > a for a, b in zip(before, after, strict=True)), (before, after)
    for number in range(2):
        record = await mixed.chat(number, stop_after_events=7)
        await mixed.fleet.resume(
            mixed.harness.routers[1 - number], WORKSPACE_KEY, record
        )
        assert_whole([record])


async def test_a_lost_agent_leaves_answers_whole_across_versions(mixed):
    lost = mixed.engines[0]
    before = mixed.count_runs([lost])
    chats = [asyncio.create_task(mixed.chat(number)) for number in range(CHATS)]
    async with asyncio.timeout(PATIENCE_S):
        while mixed.count_runs([lost]) == before:
            await asyncio.sleep(DECODE_INTERVAL_S)
    lost.process.kill()
    assert_whole(await asyncio.gather(*chats))


async def test_a_key_runs_at_most_once_across_versions(mixed):
    harness = mixed.harness
    keys = [make_order_key() for _ in range(ORDERS)]
    both = [
        harness.send_order(key, router) for key in keys for router in harness.routers
    ]
    await asyncio.gather(*both)
    for router in harness.routers:
        await asyncio.gather(*(harness.send_order(key, router) for key in keys))
    for key in keys:
        await harness.order_until_final(key)
    runs = harness.count_runs()
    assert [runs[key] for key in keys] == [1] * ORDERS
    assert all(mixed.count_runs(harness.agents))
    harness.assert_outcomes_match_runs()
