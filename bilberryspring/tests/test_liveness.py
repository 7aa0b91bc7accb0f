"""Requests succeed although connections go silent, one way or both, or are read slowly.

Guards against waits for a timeout of the operating system, or for good, when a
connection stays open but carries no more bytes, and against a slow reader that delays
other callers or fills the router's memory.
"""

import asyncio
import itertools
import socket
import time

import aiohttp
import pytest

from bilberryspring.request.idempotency import make_idempotency_key
from bilberryspring.request.response_receiver import WINDOW_CHUNKS
from bilberryspring.standin.callers import find_answer_errors, send_chat
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
CHAT_COUNT = 4
ANSWER_TOKENS = 150
DECODE_INTERVAL_S = 0.02
# Longest answer of an engine, far above the limits that the callers set.
LONGEST_ANSWER_TOKENS = 100_000_000
# Longest time without an event that a caller may see, also after a loss.
STALL_LIMIT_S = 10.0
# Longest time until an accepted configuration is in force in every process.
IN_FORCE_LIMIT_S = 3.0
WAIT_LIMIT_S = 30.0
# Long enough that the service is still running when its connection is lost.
SLOW_SERVICE_TIME_S = 5.0
# Longer than an idle connection is used without a check.
IDLE_S = 1.5

LOSS_MODES = ["silent", "drop_upstream", "drop_downstream"]
LINKS = ["peer", "backend"]


@pytest.fixture
async def fleet(tmp_path):
    async with make_fleet(tmp_path) as fleet:
        await fleet.start_platform()
        await fleet.publish(make_document())
        yield fleet


async def add_engine(fleet, **options):
    engine_settings = {
        "models": [MODEL],
        "decode_interval_s": DECODE_INTERVAL_S,
        "answer_tokens": LONGEST_ANSWER_TOKENS,
    }
    return await fleet.add_engine(ENGINE_POOL, ZONE, **engine_settings | options)


async def chat(fleet, router, number=1, **options):
    messages = [{"role": "user", "content": f"compose the roll of ward {number}"}]
    options = {"model": MODEL, "max_tokens": ANSWER_TOKENS} | options
    return await fleet.chat(router, WORKSPACE_KEY, messages, **options)


def find_longest_stall(record):
    """Return the longest time without an event, in seconds."""
    times_s = [record.started_s, *(event.received_s for event in record.events)]
    return max(after - before for before, after in itertools.pairwise(times_s))


def assert_complete(record):
    assert find_answer_errors(record, MODEL, ENGINE_VERSION) == []
    assert find_longest_stall(record) < STALL_LIMIT_S


async def set_link_faults(fleet, nodes, link, mode):
    await asyncio.gather(
        *(
            fleet.set_faults(node.proxies[link], mode=mode, only_existing=True)
            for node in nodes
        )
    )


async def start_chats(fleet, router):
    """Start chats and return their tasks once each has received an event."""
    stream_started = [asyncio.Event() for _ in range(CHAT_COUNT)]

    async def run(number):
        async def set_started(_event):
            stream_started[number].set()

        return await chat(fleet, router, number, on_event=set_started)

    tasks = [asyncio.create_task(run(number)) for number in range(CHAT_COUNT)]
    async with asyncio.timeout(WAIT_LIMIT_S):
        await asyncio.gather(*(event.wait() for event in stream_started))
    return tasks


@pytest.mark.parametrize("mode", LOSS_MODES)
@pytest.mark.parametrize("link", LINKS)
async def test_streams_go_on_when_their_connections_fall_silent(fleet, link, mode):
    agents = [await add_engine(fleet, proxied=(link,)) for _ in range(2)]
    router = await fleet.add_router(ZONE)
    await fleet.wait_ready()
    tasks = await start_chats(fleet, router)
    await set_link_faults(fleet, agents, link, mode)
    for record in await asyncio.gather(*tasks):
        assert_complete(record)


@pytest.mark.parametrize("mode", LOSS_MODES)
@pytest.mark.parametrize("link", LINKS)
async def test_a_chat_is_served_though_idle_connections_fell_silent(fleet, link, mode):
    agents = [await add_engine(fleet, proxied=(link,)) for _ in range(2)]
    router = await fleet.add_router(ZONE)
    await fleet.wait_ready()
    for number in range(CHAT_COUNT):
        assert_complete(await chat(fleet, router, number, max_tokens=2))
    await asyncio.sleep(IDLE_S)
    await set_link_faults(fleet, agents, link, mode)
    records = await asyncio.gather(
        *(chat(fleet, router, number, max_tokens=2) for number in range(CHAT_COUNT))
    )
    for record in records:
        assert_complete(record)


async def wait_for_run(fleet, agent):
    async with asyncio.timeout(WAIT_LIMIT_S):
        while not fleet.read_runs(agent):
            await asyncio.sleep(0.01)


async def send_order(fleet, router, key, **options):
    return await fleet.call_service(
        router, WORKSPACE_KEY, "orders", b"120 copies", idempotency_key=key, **options
    )


@pytest.mark.parametrize("mode", LOSS_MODES)
async def test_an_order_runs_once_when_the_router_loses_the_agent(fleet, mode):
    agent = await fleet.add_service(
        SERVICE_POOL, ZONE, proxied=("peer",), service_time_s=1.0
    )
    router = await fleet.add_router(ZONE)
    await fleet.wait_ready()
    key = make_idempotency_key(time.time())
    call_task = asyncio.create_task(send_order(fleet, router, key))
    await wait_for_run(fleet, agent)
    await set_link_faults(fleet, [agent], "peer", mode)
    record = await call_task
    assert record.status == 200, record
    assert record.finished_s - record.started_s < STALL_LIMIT_S
    assert len(fleet.read_runs(agent)) == 1


@pytest.mark.parametrize("mode", ["silent", "drop_downstream"])
async def test_an_order_whose_result_is_lost_is_never_called_not_run(fleet, mode):
    agent = await fleet.add_service(
        SERVICE_POOL, ZONE, proxied=("backend",), service_time_s=SLOW_SERVICE_TIME_S
    )
    router = await fleet.add_router(ZONE)
    await fleet.wait_ready()
    key = make_idempotency_key(time.time())
    call_task = asyncio.create_task(send_order(fleet, router, key))
    await wait_for_run(fleet, agent)
    await set_link_faults(fleet, [agent], "backend", mode)
    [run] = fleet.read_runs(agent)
    assert run["finished_s"] is None, (
        "the service finished before its connection was lost"
    )
    first = await call_task
    repeated = await send_order(fleet, router, key)
    assert first.status >= 400 and repeated.status >= 400
    assert (first.outcome, repeated.outcome) == ("unknown", "unknown")
    assert len(fleet.read_runs(agent)) == 1


@pytest.mark.parametrize("mode", LOSS_MODES)
async def test_a_repeatable_call_is_answered_though_its_connection_fell_silent(
    fleet, mode
):
    agent = await fleet.add_service(
        SERVICE_POOL, ZONE, proxied=("backend",), service_time_s=1.0
    )
    router = await fleet.add_router(ZONE)
    await fleet.wait_ready()
    call_task = asyncio.create_task(
        fleet.call_service(router, WORKSPACE_KEY, "status", b"", method="GET", path="7")
    )
    await wait_for_run(fleet, agent)
    await set_link_faults(fleet, [agent], "backend", mode)
    record = await call_task
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
    repeated = await fleet.call_service(
        router, WORKSPACE_KEY, "status", b"", method="GET"
    )
    assert repeated.status == 200
    assert len(fleet.read_runs(agent)) == runs + 1, (
        "the service's pace is known, so it is not called a second time"
    )


@pytest.mark.parametrize("mode", LOSS_MODES)
async def test_orders_go_on_when_the_key_value_connection_falls_silent(fleet, mode):
    agent = await fleet.add_service(SERVICE_POOL, ZONE, proxied=("key_value",))
    router = await fleet.add_router(ZONE)
    await fleet.wait_ready()
    first = await send_order(fleet, router, make_idempotency_key(time.time()))
    assert first.status == 200, first
    await set_link_faults(fleet, [agent], "key_value", mode)
    key = make_idempotency_key(time.time())
    started_s = time.monotonic()
    record = await send_order(fleet, router, key)
    while record.outcome == "not_run":
        await asyncio.sleep(min(record.retry_after_s, 1.0))
        record = await send_order(fleet, router, key)
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
    in_force_after_s = {}
    while len(in_force_after_s) < len(nodes):
        for node in nodes:
            health = await fleet.read_health(node)
            if health["configuration_version"] >= version:
                in_force_after_s.setdefault(
                    node.instance_id, time.monotonic() - accepted_s
                )
        assert time.monotonic() - accepted_s < WAIT_LIMIT_S, in_force_after_s
        await asyncio.sleep(0.05)
    assert max(in_force_after_s.values()) < IN_FORCE_LIMIT_S


async def test_the_instance_list_is_read_anew_when_its_connection_fell_silent(fleet):
    first = await add_engine(fleet)
    router = await fleet.add_router(ZONE, proxied=("instances",))
    await fleet.wait_ready()
    assert_complete(await chat(fleet, router, max_tokens=2))
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
    assert_complete(record)
    assert fleet.read_runs(second)


SLOW_ANSWER_TOKENS = 4_000


async def test_a_slow_reader_holds_up_nobody(fleet):
    agent = await add_engine(fleet, decode_interval_s=0.001)
    router = await fleet.add_router(ZONE)
    await fleet.wait_ready()
    reading_allowed = asyncio.Event()
    first_event_received = asyncio.Event()

    async def block_reading(_event):
        first_event_received.set()
        await reading_allowed.wait()

    slow_chat = asyncio.create_task(
        chat(
            fleet,
            router,
            1,
            max_tokens=SLOW_ANSWER_TOKENS,
            on_event=block_reading,
            timeout_s=100,
        )
    )
    await first_event_received.wait()
    for number in (2, 3):
        assert_complete(await chat(fleet, router, number))
    while any(run["finished_s"] is None for run in fleet.read_runs(agent)):
        await asyncio.sleep(0.05)
    assert not slow_chat.done()
    reading_allowed.set()
    record = await slow_chat
    assert find_answer_errors(record, MODEL, ENGINE_VERSION) == []


UNREAD_ANSWER_TOKENS = 40_000
RECEIVE_BUFFER_BYTES = 4_096
BUFFER_SETTLE_S = 1.0


def open_small_socket(address_info):
    family, kind, protocol, *_ = address_info
    small_socket = socket.socket(family, kind, protocol)
    small_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    return small_socket


async def read_metric(fleet, node, name):
    url = f"http://{node.administration_address}/metrics"
    async with fleet.session.get(url) as response:
        lines = (await response.text()).splitlines()
    (value,) = [line.split()[-1] for line in lines if line.startswith(f"{name} ")]
    return float(value)


async def test_a_router_holds_a_window_of_an_unread_answer(fleet):
    agent = await add_engine(fleet, decode_interval_s=0.0002)
    router = await fleet.add_router(ZONE)
    await fleet.wait_ready()
    reading_allowed = asyncio.Event()
    first_event_received = asyncio.Event()

    async def block_reading(_event):
        first_event_received.set()
        await reading_allowed.wait()

    connector = aiohttp.TCPConnector(socket_factory=open_small_socket)
    async with aiohttp.ClientSession(
        connector=connector, read_bufsize=1_024
    ) as slow_session:
        unread_chat = asyncio.create_task(
            send_chat(
                slow_session,
                router.caller_address,
                WORKSPACE_KEY,
                [{"role": "user", "content": "compose every roll"}],
                model=MODEL,
                max_tokens=UNREAD_ANSWER_TOKENS,
                on_event=block_reading,
                timeout_s=100,
            )
        )
        await first_event_received.wait()
        while any(run["finished_s"] is None for run in fleet.read_runs(agent)):
            await asyncio.sleep(0.05)
        await asyncio.sleep(BUFFER_SETTLE_S)
        queued = await read_metric(fleet, router, "bilberryspring_queued_events")
        assert 0 < queued <= WINDOW_CHUNKS
        assert_complete(await chat(fleet, router, 2))
        assert not unread_chat.done()
        reading_allowed.set()
        record = await unread_chat
    assert find_answer_errors(record, MODEL, ENGINE_VERSION) == []
    assert len(record.events) == UNREAD_ANSWER_TOKENS
