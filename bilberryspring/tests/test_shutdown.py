"""A graceful shutdown cuts off no request."""

import asyncio
import json
import time

import pytest
from aiohttp import ClientError
from cleo.testers.application_tester import ApplicationTester

from bilberryspring.process.operator import make_operator_program
from bilberryspring.request.idempotency import make_idempotency_key
from bilberryspring.standin.callers import find_answer_faults
from bilberryspring.standin.fleet import OPERATOR_KEY, make_fleet
from bilberryspring.tests.documents import (
    ENGINE_POOL,
    MODEL,
    SERVICE_POOL,
    WORKSPACE_KEY,
    make_document,
)

ENGINE_VERSION = "engine-1"
ANSWER_TOKENS = 100
DECODE_INTERVAL_S = 0.02
LONGEST_ANSWER_TOKENS = 100_000_000
SERVICE_TIME_S = 1.0
LOAD_S = 4.0
START_S = 20.0
CHAT_CALLERS = 6
ORDER_CALLERS = 4
PAUSE_S = 0.005
BALANCER_INTERVAL_S = 0.05


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
                decode_interval_s=DECODE_INTERVAL_S,
                answer_tokens=LONGEST_ANSWER_TOKENS,
            )
            for _ in range(3)
        ]
        fleet.services = [
            await fleet.add_service(
                SERVICE_POOL, "zone-1", service_time_s=SERVICE_TIME_S
            )
            for _ in range(3)
        ]
        fleet.routers = [await fleet.add_router("zone-1") for _ in range(2)]
        await fleet.wait_ready(*fleet.engines, *fleet.services, *fleet.routers)
        yield fleet


async def is_ready(fleet, router):
    url = f"http://{router.caller_address}/healthz"
    try:
        async with fleet.session.get(url) as response:
            return response.status == 200
    except ClientError:
        return False


async def balance(fleet, ready):
    """Do what the platform's balancer does: follow the health of each router."""
    while True:
        for router in fleet.routers:
            (ready.add if await is_ready(fleet, router) else ready.discard)(
                router.instance_id
            )
        await asyncio.sleep(BALANCER_INTERVAL_S)


async def call_until(fleet, ready, end_s, call):
    """Repeat a call at routers that report ready; return all records."""
    loop = asyncio.get_running_loop()
    records = []
    while loop.time() < end_s:
        usable = [node for node in fleet.routers if node.instance_id in ready]
        records.append(await call(usable[len(records) % len(usable)]))
        await asyncio.sleep(PAUSE_S)
    return records


async def send_chat(fleet, number, router, max_tokens=ANSWER_TOKENS):
    messages = [{"role": "user", "content": f"roll {number} of the ward"}]
    return await fleet.chat(
        router, WORKSPACE_KEY, messages, model=MODEL, max_tokens=max_tokens
    )


async def wait_for_chats(fleet, agent):
    """Wait until each router sends chats to an agent that is ready.

    Routers learn that its engine serves a moment after the agent does.
    """
    async with asyncio.timeout(START_S):
        for router in fleet.routers:
            known = len(fleet.read_runs(agent))
            while len(fleet.read_runs(agent)) == known:
                for number in range(CHAT_CALLERS):
                    await send_chat(fleet, number, router, max_tokens=1)


async def run_load(fleet):
    end_s = asyncio.get_running_loop().time() + LOAD_S
    ready = {router.instance_id for router in fleet.routers}
    balancing = asyncio.create_task(balance(fleet, ready))

    async def send_order(router):
        return await fleet.call_service(
            router,
            WORKSPACE_KEY,
            "orders",
            b"order",
            idempotency_key=make_idempotency_key(),
        )

    chats = [
        call_until(
            fleet,
            ready,
            end_s,
            lambda router, number=number: send_chat(fleet, number, router),
        )
        for number in range(CHAT_CALLERS)
    ]
    orders = [call_until(fleet, ready, end_s, send_order) for _ in range(ORDER_CALLERS)]
    results = await asyncio.gather(*chats, *orders)
    balancing.cancel()
    return sum(results[:CHAT_CALLERS], []), sum(results[CHAT_CALLERS:], [])


CASES = {
    "router": lambda fleet: [fleet.routers[0]],
    "engine agent": lambda fleet: [fleet.engines[0]],
    "service agent": lambda fleet: [fleet.services[0]],
    "two engine agents": lambda fleet: fleet.engines[:2],
    "router and agents": lambda fleet: [
        fleet.routers[0],
        fleet.engines[0],
        fleet.services[0],
    ],
}


@pytest.mark.parametrize("outage", [False, True], ids=["", "key-value outage"])
@pytest.mark.parametrize("case", CASES)
async def test_sigterm_under_load_cuts_off_nothing(fleet, case, outage):
    load = asyncio.create_task(run_load(fleet))
    await asyncio.sleep(LOAD_S / 4)
    if outage:
        await fleet.set_platform_faults(outage=True)
    stopping = [
        asyncio.create_task(node.process.stop(30.0)) for node in CASES[case](fleet)
    ]
    chats, orders = await load
    assert await asyncio.gather(*stopping) == [0] * len(stopping)
    assert_nothing_cut_off(fleet, chats, orders, outage)


def assert_nothing_cut_off(fleet, chats, orders, outage=False):
    assert chats and orders
    for record in chats:
        assert find_answer_faults(record, MODEL, ENGINE_VERSION) == []
    runs = [run for node in fleet.services for run in fleet.read_runs(node)]
    ran = {run["idempotency_key"] for run in runs}
    assert len(ran) == len(runs)
    for record in orders:
        assert not record.error
        if outage and record.status == 503:
            assert record.outcome == "not_run"
            assert record.idempotency_key not in ran
        else:
            assert record.status == 200, record
            assert record.idempotency_key in ran


def drain(address, instance_id, settings):
    """Run the operators' program; return its exit code and output."""
    document = {"administration_addresses": [address], "operator_key": OPERATOR_KEY}
    settings.write_text(json.dumps(document))
    tester = ApplicationTester(make_operator_program())
    code = tester.execute(f"drain {instance_id} --settings {settings}")
    return code, tester.io.fetch_output() + tester.io.fetch_error()


DRAINS = {
    "router": lambda fleet: (fleet.routers[0], fleet.routers[1]),
    "router that is asked": lambda fleet: (fleet.routers[0], fleet.routers[0]),
    "engine agent": lambda fleet: (fleet.engines[0], fleet.routers[0]),
    "service agent": lambda fleet: (fleet.services[0], fleet.routers[0]),
}


@pytest.mark.parametrize("case", DRAINS)
async def test_a_drain_by_an_operator_cuts_off_nothing(fleet, tmp_path, case):
    drained, asked = DRAINS[case](fleet)
    if drained in fleet.engines:
        await wait_for_chats(fleet, drained)
    started_s = time.monotonic()
    load = asyncio.create_task(run_load(fleet))
    await asyncio.sleep(LOAD_S / 4)
    code, output = await asyncio.to_thread(
        drain,
        asked.administration_address,
        drained.instance_id,
        tmp_path / "operator.json",
    )
    assert code == 0, output
    chats, orders = await load
    assert_nothing_cut_off(fleet, chats, orders)
    assert drained.process.is_running
    health = await fleet.read_health(drained)
    assert not health["ready"], health
    assert await drained.process.stop(30.0) == 0
    last_s = max(record.finished_s for record in chats)
    if drained in fleet.engines:
        runs = fleet.read_runs(drained)
        # Why the routers passed it over is known from their logs alone.
        lines = [node.process.read_log() for node in (*fleet.routers, drained)]
        assert any(run["received_s"] > started_s for run in runs), "\n".join(lines)
        ended_s = max(run["finished_s"] for run in runs)
        assert ended_s < last_s - 1.0, "a drained agent went on with new chats"
