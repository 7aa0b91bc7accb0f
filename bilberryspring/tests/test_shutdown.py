"""A graceful shutdown or a drain cuts off no request.

Guards against chats and orders that are lost or run twice when routers and agents are
stopped by SIGTERM or drained by an operator under load, also in an outage of the
key-value service.
"""

import asyncio
import json
import time

import pytest
from aiohttp import ClientError
from cleo.testers.application_tester import ApplicationTester

from bilberryspring.process.operator import make_operator_program
from bilberryspring.request.idempotency import make_idempotency_key
from bilberryspring.standin.callers import find_answer_errors
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
LOAD_DURATION_S = 4.0
START_TIMEOUT_S = 20.0
CHAT_CALLER_COUNT = 6
ORDER_CALLER_COUNT = 4
CALL_PAUSE_S = 0.005
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


async def is_router_ready(fleet, router):
    url = f"http://{router.caller_address}/healthz"
    try:
        async with fleet.session.get(url) as response:
            return response.status == 200
    except ClientError:
        return False


async def track_ready_routers(fleet, ready_router_ids):
    """Keep the set of ready routers up to date, as the platform's load balancer does.

    :param ready_router_ids: instance ids of the ready routers, updated in place.
    """
    while True:
        for router in fleet.routers:
            (
                ready_router_ids.add
                if await is_router_ready(fleet, router)
                else ready_router_ids.discard
            )(router.instance_id)
        await asyncio.sleep(BALANCER_INTERVAL_S)


async def call_until(fleet, ready_router_ids, end_s, call):
    """Repeat a call at the ready routers until a time and return all records.

    :param ready_router_ids: instance ids of the ready routers.
    :param end_s: time of the event loop after which no call starts.
    :param call: sends a request to the given router and returns its record.
    """
    loop = asyncio.get_running_loop()
    records = []
    while loop.time() < end_s:
        ready_routers = [
            node for node in fleet.routers if node.instance_id in ready_router_ids
        ]
        records.append(await call(ready_routers[len(records) % len(ready_routers)]))
        await asyncio.sleep(CALL_PAUSE_S)
    return records


async def send_chat(fleet, number, router, max_tokens=ANSWER_TOKENS):
    messages = [{"role": "user", "content": f"roll {number} of the ward"}]
    return await fleet.chat(
        router, WORKSPACE_KEY, messages, model=MODEL, max_tokens=max_tokens
    )


async def wait_for_chats(fleet, agent):
    """Send chats until each router has sent one to an agent that is ready.

    Routers learn a moment later than the agent that its engine serves.
    """
    async with asyncio.timeout(START_TIMEOUT_S):
        for router in fleet.routers:
            runs_before = len(fleet.read_runs(agent))
            while len(fleet.read_runs(agent)) == runs_before:
                for number in range(CHAT_CALLER_COUNT):
                    await send_chat(fleet, number, router, max_tokens=1)


async def run_load(fleet):
    end_s = asyncio.get_running_loop().time() + LOAD_DURATION_S
    ready_router_ids = {router.instance_id for router in fleet.routers}
    tracking = asyncio.create_task(track_ready_routers(fleet, ready_router_ids))

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
            ready_router_ids,
            end_s,
            lambda router, number=number: send_chat(fleet, number, router),
        )
        for number in range(CHAT_CALLER_COUNT)
    ]
    orders = [
        call_until(fleet, ready_router_ids, end_s, send_order)
        for _ in range(ORDER_CALLER_COUNT)
    ]
    results = await asyncio.gather(*chats, *orders)
    tracking.cancel()
    return sum(results[:CHAT_CALLER_COUNT], []), sum(results[CHAT_CALLER_COUNT:], [])


STOPPED_NODES = {
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
@pytest.mark.parametrize("case", STOPPED_NODES)
async def test_sigterm_under_load_cuts_off_nothing(fleet, case, outage):
    load = asyncio.create_task(run_load(fleet))
    await asyncio.sleep(LOAD_DURATION_S / 4)
    if outage:
        await fleet.set_platform_faults(outage=True)
    stopping = [
        asyncio.create_task(node.process.stop(30.0))
        for node in STOPPED_NODES[case](fleet)
    ]
    chats, orders = await load
    assert await asyncio.gather(*stopping) == [0] * len(stopping)
    assert_nothing_cut_off(fleet, chats, orders, outage)


def assert_nothing_cut_off(fleet, chats, orders, outage=False):
    assert chats and orders
    for record in chats:
        assert find_answer_errors(record, MODEL, ENGINE_VERSION) == []
    runs = [run for node in fleet.services for run in fleet.read_runs(node)]
    ran_keys = {run["idempotency_key"] for run in runs}
    assert len(ran_keys) == len(runs)
    for record in orders:
        assert not record.error
        if outage and record.status == 503:
            assert record.outcome == "not_run"
            assert record.idempotency_key not in ran_keys
        else:
            assert record.status == 200, record
            assert record.idempotency_key in ran_keys


def run_drain_command(address, instance_id, settings):
    """Drain an instance with the operator program; return its exit code and output.

    :param address: administration address of the router that is asked.
    :param instance_id: instance to drain.
    :param settings: path at which the settings of the program are written.
    """
    document = {"administration_addresses": [address], "operator_key": OPERATOR_KEY}
    settings.write_text(json.dumps(document))
    tester = ApplicationTester(make_operator_program())
    code = tester.execute(f"drain {instance_id} --settings {settings}")
    return code, tester.io.fetch_output() + tester.io.fetch_error()


DRAIN_CASES = {
    "router": lambda fleet: (fleet.routers[0], fleet.routers[1]),
    "router that is asked": lambda fleet: (fleet.routers[0], fleet.routers[0]),
    "engine agent": lambda fleet: (fleet.engines[0], fleet.routers[0]),
    "service agent": lambda fleet: (fleet.services[0], fleet.routers[0]),
}


@pytest.mark.parametrize("case", DRAIN_CASES)
async def test_a_drain_by_an_operator_cuts_off_nothing(fleet, tmp_path, case):
    drained, asked_router = DRAIN_CASES[case](fleet)
    if drained in fleet.engines:
        await wait_for_chats(fleet, drained)
    started_s = time.monotonic()
    load = asyncio.create_task(run_load(fleet))
    await asyncio.sleep(LOAD_DURATION_S / 4)
    code, output = await asyncio.to_thread(
        run_drain_command,
        asked_router.administration_address,
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
    last_chat_end_s = max(record.finished_s for record in chats)
    if drained in fleet.engines:
        runs = fleet.read_runs(drained)
        # If no router has sent it a chat, only their logs tell the reason.
        lines = [node.process.read_log() for node in (*fleet.routers, drained)]
        assert any(run["received_s"] > started_s for run in runs), "\n".join(lines)
        last_run_end_s = max(run["finished_s"] for run in runs)
        assert last_run_end_s < last_chat_end_s - 1.0, (
            "a drained agent received new chats"
        )
