"""A request that crashes backend servers crashes a bounded number of them.

Guards against a crashing request that its callers or the routers' retries send to one
engine after the other, until none is left.
"""

import asyncio

import pytest

from bilberryspring.standin.callers import find_answer_errors
from bilberryspring.standin.fleet import make_fleet
from bilberryspring.tests.documents import (
    ENGINE_POOL,
    MODEL,
    WORKSPACE_KEY,
    make_document,
)

ENGINE_VERSION = "engine-1"
ENGINE_COUNT = 6
ANSWER_TOKENS = 80
LONGEST_ANSWER_TOKENS = 100_000_000
# docs/OPERATIONS.md states this number: after the first crash the request's digest is
# suspected, after the second it is quarantined.
MAX_CRASHES = 2
CRASHING_MESSAGES = [{"role": "user", "content": "print !crash! every summons"}]


@pytest.fixture
async def fleet(tmp_path):
    async with make_fleet(tmp_path) as fleet:
        await fleet.start_platform()
        await fleet.publish(make_document())
        fleet.engines = [
            await fleet.add_engine(
                ENGINE_POOL,
                "zone-1",
                models=[MODEL],
                decode_interval_s=0.02,
                answer_tokens=LONGEST_ANSWER_TOKENS,
            )
            for _ in range(ENGINE_COUNT)
        ]
        fleet.routers = [await fleet.add_router("zone-1") for _ in range(3)]
        await fleet.wait_ready(*fleet.engines, *fleet.routers)
        yield fleet


def count_crashed_engines(fleet):
    return sum(not node.backend.is_running for node in fleet.engines)


async def send_crashing_chat(fleet, router):
    return await fleet.chat(
        router, WORKSPACE_KEY, CRASHING_MESSAGES, model=MODEL, max_tokens=8
    )


async def test_a_resent_crashing_request_stops_at_the_stated_number(fleet):
    records = []
    for turn in range(4):
        for router in fleet.routers:
            records.append(await send_crashing_chat(fleet, router))
        assert count_crashed_engines(fleet) <= MAX_CRASHES, turn
    assert count_crashed_engines(fleet) == MAX_CRASHES
    assert all(record.status >= 400 for record in records)
    last_record = records[-1]
    assert last_record.problem["type"].endswith("request_quarantined")
    assert last_record.retry_after_s > 0


async def test_copies_sent_at_once_stop_at_the_stated_number(fleet):
    records = await asyncio.gather(
        *[
            send_crashing_chat(fleet, router)
            for router in fleet.routers
            for _ in range(4)
        ]
    )
    assert all(record.status >= 400 for record in records)
    await send_crashing_chat(fleet, fleet.routers[0])
    assert count_crashed_engines(fleet) == MAX_CRASHES


async def test_requests_beside_a_crashing_one_are_answered_whole(fleet):
    async def send_other_chat(number):
        return await fleet.chat(
            fleet.routers[number % 3],
            WORKSPACE_KEY,
            [{"role": "user", "content": f"spell the names of ward {number}"}],
            model=MODEL,
            max_tokens=ANSWER_TOKENS,
        )

    other_chats = [asyncio.create_task(send_other_chat(number)) for number in range(24)]
    await asyncio.sleep(0.5)
    crashing = await send_crashing_chat(fleet, fleet.routers[0])
    assert crashing.status >= 400
    for record in await asyncio.gather(*other_chats):
        assert find_answer_errors(record, MODEL, ENGINE_VERSION) == []
    assert count_crashed_engines(fleet) == MAX_CRASHES
