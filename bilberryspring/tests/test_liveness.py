"""Connections that go silent for good, lose one direction, or are read slowly."""

import asyncio
import itertools
import socket
import time

import aiohttp
import pytest

from bilberryspring.request.follow import WINDOW_CHUNKS
from bilberryspring.request.idempotency import make_idempotency_key
from bilberryspring.standin.callers import find_answer_faults, send_chat
from bilberryspring.standin.fleet import make_fleet
from bilberryspring.tests.documents import (
    ENGINE_POOL,
    MODEL,
    SERVICE_POOL,
    WORKSPACE_KEY,
    make_document,
)

pytestmark = pytest.mark.timed

ENGINE_VERSION = "engine-1"
ZONE = "zone-1"
CHATS = 4
ANSWER_TOKENS = 150
DECODE_INTERVAL_S = 0.02
# Answers stop by themselves far beyond the limit that the callers set.
LONGEST_ANSWER_TOKENS = 100_000_000
# A caller sees its answer go on within seconds of the loss.
STALL_LIMIT_S = 10.0
# An accepted configuration is in force everywhere within this time.
IN_FORCE_LIMIT_S = 3.0
STREAMING_LIMIT_S = 30.0
# A service that takes this long still runs when its connection is lost.
RESULT_S = 5.0
# Longer than a quiet connection is trusted.
IDLE_S = 1.5

LOSSES = ["silent", "drop_upstream", "drop_downstream"]
LINKS = ["peer", "backend"]


@pytest.fixture
async def fleet(tmp_path):
    async with make_fleet(tmp_path) as fleet:
        await fleet.start_platform()
        await fleet.publish(make_document())
        yield fleet


async def add_engine(fleet, **options):
    knobs = {
        "models": [MODEL],
        "decode_interval_s": DECODE_INTERVAL_S,
        "answer_tokens": LONGEST_ANSWER_TOKENS,
    }
    return await fleet.add_engine(ENGINE_POOL, ZONE, **knobs | options)


async def chat(fleet, router, number=1, **options):
    messages = [{"role": "user", "content": f"compose the roll of ward {number}"}]
    options = {"model": MODEL, "max_tokens": ANSWER_TOKENS} | options
    return await fleet.chat(router, WORKSPACE_KEY, messages, **options)


def find_longest_stall(record):
    """Return the longest time between two successive events, in seconds."""
    times_s = [record.started_s, *(event.received_s for event in record.events)]
    return max(after - before for before, after in itertools.pairwise(times_s))


def assert_whole(record):
    assert find_answer_faults(record, MODEL, ENGINE_VERSION) == []
    assert find_longest_stall(record) < STALL_LIMIT_S


async def set_link_faults(fleet, nodes, link, mode):
    await asyncio.gather(
        *(
            fleet.set_faults(node.proxies[link], mode=mode, only_existing=True)
            for node in nodes
        )
    )


async def start_chats(fleet, router):
    """Start chats and return once each of them receives."""
    streaming = [asyncio.Event() for _ in range(CHATS)]

    async def run(number):
        async def note(_event):
            streaming[number].set()

        return await chat(fleet, router, number, on_event=note)

    tasks = [asyncio.create_task(run(number)) for number in range(CHATS)]
    async with asyncio.timeout(STREAMING_LIMIT_S):
        await asyncio.gather(*(event.wait() for event in streaming))
    return tasks


@pytest.mark.parametrize("mode", LOSSES)
@pytest.mark.parametrize("link", LINKS)
async def test_streams_go_on_when_their_connections_fall_silent(fleet, link, mode):
    agents = [await add_engine(fleet, proxied=(link,)) for _ in range(2)]
    router = await fleet.add_router(ZONE)
    await fleet.wait_ready()
    tasks = await start_chats(fleet, router)
    await set_link_faults(fleet, agents, link, mode)
    for record in await asyncio.gather(*tasks):
        assert_whole(record)


@pytest.mark.parametrize("mode", LOSSES)
@pytest.mark.parametrize("link", LINKS)
async def test_a_chat_is_served_though_idle_connections_fell_silent(fleet, link, mode):
    agents = [await add_engine(fleet, proxied=(link,)) for _ in range(2)]
    router = await fleet.add_router(ZONE)
    await fleet.wait_ready()
    for number in range(CHATS):
        assert_whole(await chat(fleet, router, number, max_tokens=2))
    await asyncio.sleep(IDLE_S)
    await set_link_faults(fleet, agents, link, mode)
    records = await asyncio.gather(
        *(chat(fleet, router, number, max_tokens=2) for number in range(CHATS))
    )
    for record in records:
        assert_whole(record)


async def wait_for_run(fleet, agent):
    async with asyncio.timeout(STREAMING_LIMIT_S):
        while not fleet.read_runs(agent):
            await asyncio.sleep(0.01)


async def record_order(fleet, router, key, **options):
    return await fleet.call_service(
        router, WORKSPACE_KEY, "orders", b"120 copies", idempotency_key=key, **options
    )


@pytest.mark.parametrize("mode", LOSSES)
async def test_an_order_runs_once_when_the_router_loses_the_agent(fleet, mode):
    agent = await fleet.add_service(
        SERVICE_POOL, ZONE, proxied=("peer",), service_time_s=1.0
    )
    router = await fleet.add_router(ZONE)
    await fleet.wait_ready()
    key = make_idempotency_key(time.time())
    call = asyncio.create_task(record_order(fleet, router, key))
    await wait_for_run(fleet, agent)
    await set_link_faults(fleet, [agent], "peer", mode)
    record = await call
    assert record.status == 200, record
    assert record.finished_s - record.started_s < STALL_LIMIT_S
    assert len(fleet.read_runs(agent)) == 1


@pytest.mark.parametrize("mode", ["silent", "drop_downstream"])
async def test_an_order_whose_result_is_lost_is_never_called_not_run(fleet, mode):
    agent = await fleet.add_service(
        SERVICE_POOL, ZONE, proxied=("backend",), service_time_s=RESULT_S
    )
    router = await fleet.add_router(ZONE)
    await fleet.wait_ready()
    key = make_idempotency_key(time.time())
    call = asyncio.create_task(record_order(fleet, router, key))
    await wait_for_run(fleet, agent)
    await set_link_faults(fleet, [agent], "backend", mode)
    [run] = fleet.read_runs(agent)
    assert run["finished_s"] is None, "the result came before its connection was lost"
    first = await call
    again = await record_order(fleet, router, key)
    assert first.status >= 400 and again.status >= 400
    assert (first.outcome, again.outcome) == ("unknown", "unknown")
    assert len(fleet.read_runs(agent)) == 1


@pytest.mark.parametrize("mode", LOSSES)
async def test_a_repeatable_call_is_answered_though_its_connection_fell_silent(
    fleet, mode
):
    agent = await fleet.add_service(
        SERVICE_POOL, ZONE, proxied=("backend",), service_time_s=1.0
    )
    router = await fleet.add_router(ZONE)
    await fleet.wait_ready()
    call = asyncio.create_task(
        fleet.call_service(router, WORKSPACE_KEY, "status", b"", method="GET", path="7")
    )
    await wait_for_run(fleet, agent)
    await set_link_faults(fleet, [agent], "backend", mode)
    record = await call
    assert record.status == 200, record
    assert record.finished_s - record.started_s < STALL_LIMIT_S
    assert len(fleet.read_runs(agent)) <= 2


async def test_a_slow_service_is_called_once_more_at_most(fleet):
    agent = await fleet.add_service(SERVICE_POOL, ZONE, service_time_s=5.0)
    router = await fleet.add_router(ZONE)
    await fleet.wait_ready()
    calls = [
        fleet.call_service(
            router, WORKSPACE_KEY, "status", b"", method="GET", path=str(number)
        )
        for number in range(4)
    ]
    records = await asyncio.gather(*calls)
    assert [record.status for record in records] == [200] * 4
    runs = len(fleet.read_runs(agent))
    assert runs <= 8
    again = await fleet.call_service(router, WORKSPACE_KEY, "status", b"", method="GET")
    assert again.status == 200
    assert len(fleet.read_runs(agent)) == runs + 1, "its pace is known now"


@pytest.mark.parametrize("mode", LOSSES)
async def test_orders_go_on_when_the_key_value_connection_falls_silent(fleet, mode):
    agent = await fleet.add_service(SERVICE_POOL, ZONE, proxied=("key_value",))
    router = await fleet.add_router(ZONE)
    await fleet.wait_ready()
    first = await record_order(fleet, router, make_idempotency_key(time.time()))
    assert first.status == 200, first
    await set_link_faults(fleet, [agent], "key_value", mode)
    key = make_idempotency_key(time.time())
    started_s = time.monotonic()
    record = await record_order(fleet, router, key)
    while record.outcome == "not_run":
        await asyncio.sleep(min(record.retry_after_s, 1.0))
        record = await record_order(fleet, router, key)
    assert record.status == 200, record
    assert time.monotonic() - started_s < STALL_LIMIT_S
    keys = [run["idempotency_key"] for run in fleet.read_runs(agent)]
    assert keys.count(key) == 1


async def test_a_version_is_in_force_though_every_watch_fell_silent(fleet):
    nodes = [await add_engine(fleet, proxied=("key_value",)) for _ in range(2)]
    nodes.append(await fleet.add_router(ZONE, proxied=("key_value",)))
    await fleet.wait_ready()
    await set_link_faults(fleet, nodes, "key_value", "silent")
    version = await fleet.publish(make_document(adapters=[]))
    accepted_s = time.monotonic()
    in_force = {}
    while len(in_force) < len(nodes):
        for node in nodes:
            health = await fleet.read_health(node)
            if health["configuration_version"] >= version:
                in_force.setdefault(node.instance_id, time.monotonic() - accepted_s)
        assert time.monotonic() - accepted_s < STREAMING_LIMIT_S, in_force
        await asyncio.sleep(0.05)
    assert max(in_force.values()) < IN_FORCE_LIMIT_S


async def test_the_instance_list_is_read_anew_when_its_connection_fell_silent(fleet):
    first = await add_engine(fleet)
    router = await fleet.add_router(ZONE, proxied=("instances",))
    await fleet.wait_ready()
    assert_whole(await chat(fleet, router, max_tokens=2))
    await set_link_faults(fleet, [router], "instances", "silent")
    second = await add_engine(fleet)
    await fleet.wait_ready(second)
    first.process.kill()
    first.backend.kill()
    started_s = time.monotonic()
    record = await chat(fleet, router, max_tokens=2)
    while record.outcome == "not_run" and time.monotonic() - started_s < STALL_LIMIT_S:
        await asyncio.sleep(0.1)
        record = await chat(fleet, router, max_tokens=2)
    assert_whole(record)
    assert fleet.read_runs(second)


SLOW_ANSWER_TOKENS = 4_000


async def test_a_slow_reader_holds_up_nobody(fleet):
    agent = await add_engine(fleet, decode_interval_s=0.001)
    router = await fleet.add_router(ZONE)
    await fleet.wait_ready()
    may_read = asyncio.Event()
    begun = asyncio.Event()

    async def read_late(_event):
        begun.set()
        await may_read.wait()

    slow = asyncio.create_task(
        chat(
            fleet,
            router,
            1,
            max_tokens=SLOW_ANSWER_TOKENS,
            on_event=read_late,
            timeout_s=100,
        )
    )
    await begun.wait()
    for number in (2, 3):
        assert_whole(await chat(fleet, router, number))
    while any(run["finished_s"] is None for run in fleet.read_runs(agent)):
        await asyncio.sleep(0.05)
    assert not slow.done()
    may_read.set()
    record = await slow
    assert find_answer_faults(record, MODEL, ENGINE_VERSION) == []


UNREAD_ANSWER_TOKENS = 40_000
RECEIVE_BUFFER_BYTES = 4_096
STEADY_S = 1.0


def open_small_socket(address_info):
    family, kind, protocol, *_ = address_info
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    return opened


async def read_gauge(fleet, node, name):
    url = f"http://{node.administration_address}/metrics"
    async with fleet.session.get(url) as response:
        lines = (await response.text()).splitlines()
    (value,) = [line.split()[-1] for line in lines if line.startswith(f"{name} ")]
    return float(value)


async def test_a_router_holds_a_window_of_an_unread_answer(fleet):
    agent = await add_engine(fleet, decode_interval_s=0.0002)
    router = await fleet.add_router(ZONE)
    await fleet.wait_ready()
    may_read = asyncio.Event()
    begun = asyncio.Event()

    async def read_late(_event):
        begun.set()
        await may_read.wait()

    connector = aiohttp.TCPConnector(socket_factory=open_small_socket)
    async with aiohttp.ClientSession(connector=connector, read_bufsize=1_024) as slow:
        unread = asyncio.create_task(
            send_chat(
                slow,
                router.caller_address,
                WORKSPACE_KEY,
                [{"role": "user", "content": "compose every roll"}],
                model=MODEL,
                max_tokens=UNREAD_ANSWER_TOKENS,
                on_event=read_late,
                timeout_s=100,
            )
        )
        await begun.wait()
        while any(run["finished_s"] is None for run in fleet.read_runs(agent)):
            await asyncio.sleep(0.05)
        await asyncio.sleep(STEADY_S)
        queued = await read_gauge(fleet, router, "bilberryspring_queued_events")
        assert 0 < queued <= WINDOW_CHUNKS
        assert_whole(await chat(fleet, router, 2))
        assert not unread.done()
        may_read.set()
        record = await unread
    assert find_answer_faults(record, MODEL, ENGINE_VERSION) == []
    assert len(record.events) == UNREAD_ANSWER_TOKENS
