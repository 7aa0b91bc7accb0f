"""Servers that limit the rate of requests, through whole router processes."""

import asyncio
import itertools
import time

import aiohttp
import pytest

from bilberryspring.platform.tests.platform_standin import ServerStandin
from bilberryspring.platform.tests.test_front_router import (
    deployment,
    find_router_ports,
    make_headers,
    send_request,
)
from bilberryspring.platform.tests.test_router_log_timelines import wait_for_timeline
from bilberryspring.standin.addresses import make_address_block

__all__ = ["deployment"]

LIMIT_PER_S = 5.0
LEARNING_S = 0.5
# What a server may get: this multiple of its limit, and a few more.
ALLOWED_FACTOR, ALLOWED_EXTRA = 1.2, 3
# Until a line that was logged is in the file.
LOG_DELAY_S = 0.5
PATHS = ("/orders/x", "/drafts/x", "/open/x")


@pytest.fixture
async def sound_server(deployment):
    """Add a second server, which states no limit."""
    server = ServerStandin("s2")
    await server.start()
    await deployment.store.put("servers/s2", server.make_entry())
    yield server
    await server.close()


@pytest.fixture
async def routers(deployment):
    addresses = make_address_block()
    ips = [addresses.take_host() for _ in range(3)]
    ports = find_router_ports()[0]
    routers = [await deployment.add_router(ip=ip, ports=ports, seeds=ips) for ip in ips]
    for router in routers:
        await router.wait_ready()
    # Each router registers in the store, and lists the others.
    await asyncio.sleep(2.0)
    yield routers
    addresses.close()


async def send_for(routers, duration_s, interval_s=0.02):
    """Send requests to all routers for some time; return status and time of each."""
    results, tasks, begun_s = [], [], time.monotonic()

    async def send(session, number):
        sent_s = time.monotonic()
        status, _, _ = await send_request(
            session,
            routers[number % len(routers)],
            PATHS[number % len(PATHS)],
            request_id=f"p{number}-{sent_s}",
        )
        results.append((status, time.monotonic() - sent_s))

    async with aiohttp.ClientSession() as session:
        while time.monotonic() - begun_s < duration_s:
            tasks.append(asyncio.create_task(send(session, len(tasks))))
            await asyncio.sleep(interval_s)
        await asyncio.gather(*tasks)
    return results


def list_sent_lines(router):
    lines = router.log_path.read_text().splitlines()
    return [line for line in lines if " event=request_sent " in line]


async def test_server_gets_no_more_than_its_limit_from_all_routers(
    deployment, sound_server, routers
):
    deployment.server.limit = str(LIMIT_PER_S)
    results = await send_for(routers, 5.0)
    assert {status for status, _ in results} == {200}
    arrived_s = deployment.server.executed_at_s
    counted_s = [at_s for at_s in arrived_s if at_s > arrived_s[0] + LEARNING_S]
    measured_s = 5.0 - LEARNING_S
    allowed = LIMIT_PER_S * measured_s
    assert len(counted_s) <= ALLOWED_FACTOR * allowed + ALLOWED_EXTRA
    assert len(counted_s) >= 0.6 * allowed


async def test_limit_that_ends_is_forgotten_by_all_routers(
    deployment, sound_server, routers
):
    # A router prefers the faster one of two idle servers, unless this has a limit.
    deployment.server.delay_s, sound_server.delay_s = 0.05, 0.15
    deployment.server.limit = str(LIMIT_PER_S)
    await send_for(routers, 1.5)
    deployment.server.limit = None
    await send_for(routers, 1.0)
    await asyncio.sleep(LOG_DELAY_S)
    earlier_lines = [len(list_sent_lines(router)) for router in routers]
    deployment.server.executed_at_s.clear()
    results = await send_for(routers, 2.0)
    assert len(deployment.server.executed_at_s) > 0.25 * len(results)
    await asyncio.sleep(LOG_DELAY_S)
    for router, count in zip(routers, earlier_lines, strict=True):
        lines = list_sent_lines(router)[count:]
        assert len(lines) >= len(results) // len(routers)
        assert all('limited_servers=""' in line for line in lines)
        assert any(" server=s1 " in line for line in lines)


async def test_requests_beyond_the_limits_of_all_servers_are_refused_at_once(
    deployment, routers
):
    deployment.server.limit = str(LIMIT_PER_S)
    await send_for(routers, 1.5)
    arrived = len(deployment.server.executed_at_s)
    url = f"{routers[0].url}/orders/x"
    refused = []
    async with aiohttp.ClientSession() as session:
        loop_begun_s = time.monotonic()
        for number in itertools.count():
            await asyncio.sleep(0.02)
            begun_s = time.monotonic()
            if begun_s - loop_begun_s > 3.0:
                break
            request_id = f"r{number}"
            headers = make_headers(request_id)
            async with session.post(url, headers=headers) as response:
                await response.read()
            if response.status == 503:
                taken_s = time.monotonic() - begun_s
                refused.append(
                    (request_id, taken_s, float(response.headers["Retry-After"]))
                )
    assert refused
    # The target of this route is a quarter of a second.
    assert all(taken_s < 1.0 for _, taken_s, _ in refused)
    assert all(retry_after_s > 0.02 for _, _, retry_after_s in refused)
    served = len(deployment.server.executed_at_s) - arrived
    assert 1 <= served <= ALLOWED_FACTOR * 3.0 * LIMIT_PER_S + ALLOWED_EXTRA
    timeline = await wait_for_timeline(routers[0], refused[-1][0])
    assert timeline.cause.event == "request_refused"
    assert "s1 at 5.00/s" in timeline.cause.fields["reason"]


async def test_timeline_names_the_server_that_was_passed_over_for_its_limit(
    deployment, sound_server, routers
):
    deployment.server.limit = "0.2"
    await send_for(routers, 1.5)
    async with aiohttp.ClientSession() as session:
        await send_request(session, routers[0], "/open/x", request_id="a1")
    timeline = await wait_for_timeline(routers[0], "a1")
    sent = [line for line in timeline.lines if line.event == "request_sent"]
    assert sent[0].fields["server"] == "s2"
    assert sent[0].fields["limited_servers"] == "s1 at 0.20/s"
