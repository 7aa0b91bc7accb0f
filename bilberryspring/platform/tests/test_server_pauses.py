"""Servers that refuse requests and state for how long they want none."""

import asyncio
import time

import aiohttp
import pytest

from bilberryspring.platform.tests.platform_standin import ServerStandin
from bilberryspring.platform.tests.test_front_router import (
    deployment,
    make_headers,
    send_request,
)
from bilberryspring.platform.tests.test_router_log_timelines import wait_for_timeline

__all__ = ["deployment"]

PAUSE_S = 1.6
RETRY_AFTER = {"Retry-After": str(PAUSE_S)}
# Requests that are sent before the first refusal arrives are excused.
ON_THEIR_WAY_S = 0.1
PATHS = ("/orders/x", "/drafts/x", "/open/x")


@pytest.fixture
async def sound_server(deployment):
    """Add a second server, which executes all requests."""
    server = ServerStandin("s2")
    await server.start()
    await deployment.store.put("servers/s2", server.make_entry())
    yield server
    await server.close()


async def start_router(deployment):
    router = await deployment.add_router()
    await router.wait_ready()
    return router


async def send_for(session, router, duration_s, interval_s=0.02):
    """Send requests of all kinds for some time; return their statuses."""
    tasks, begun_s, number = [], time.monotonic(), 0
    while time.monotonic() - begun_s < duration_s:
        path = PATHS[number % len(PATHS)]
        tasks.append(
            asyncio.create_task(
                send_request(session, router, path, request_id=f"p{number}")
            )
        )
        number += 1
        await asyncio.sleep(interval_s)
    return [status for status, _, _ in await asyncio.gather(*tasks)]


def count_in_pause(server):
    """Count the requests that arrived after the first refusal and before its time."""
    begin_s = server.refused_at_s[0]
    arrived_s = server.refused_at_s + server.executed_at_s
    return sum(
        begin_s + ON_THEIR_WAY_S < at_s < begin_s + PAUSE_S for at_s in arrived_s
    )


@pytest.mark.parametrize("more", [{}, {"Server-Leaving": "1"}])
async def test_server_that_wants_no_requests_gets_none_before_its_time(
    deployment, sound_server, more
):
    deployment.server.refusal_headers = {**RETRY_AFTER, **more}
    router = await start_router(deployment)
    async with aiohttp.ClientSession() as session:
        statuses = await send_for(session, router, PAUSE_S)
    assert deployment.server.refused_at_s
    assert count_in_pause(deployment.server) == 0
    assert set(statuses) == {200}


async def test_server_gets_requests_again_after_its_time(deployment, sound_server):
    deployment.server.refusal_headers = RETRY_AFTER
    # One server alone has a higher predicted wait than two.
    sound_server.delay_s = 0.1
    router = await start_router(deployment)
    async with aiohttp.ClientSession() as session:
        await send_for(session, router, PAUSE_S - 0.3)
        deployment.server.refusal_headers = None
        await send_for(session, router, 1.5)
    assert count_in_pause(deployment.server) == 0
    assert deployment.server.executed


async def test_entry_that_is_listed_again_does_not_end_a_pause(
    deployment, sound_server
):
    deployment.server.refusal_headers = RETRY_AFTER
    router = await start_router(deployment)
    async with aiohttp.ClientSession() as session:
        await send_for(session, router, 0.3)
        assert deployment.server.refused_at_s
        await deployment.store.put("servers/s1", None)
        await send_for(session, router, 0.5)
        await deployment.store.put("servers/s1", deployment.server.make_entry(seq=2))
        await send_for(session, router, 0.5)
    assert count_in_pause(deployment.server) == 0


async def test_caller_is_refused_at_once_while_every_server_wants_no_requests(
    deployment,
):
    deployment.server.refusal_headers = RETRY_AFTER
    router = await start_router(deployment)
    url = f"{router.url}/open/x"
    async with aiohttp.ClientSession() as session:
        for request_id in ("a1", "a2"):
            begun_s = time.monotonic()
            headers = make_headers(request_id)
            async with session.post(url, headers=headers) as response:
                await response.read()
            taken_s = time.monotonic() - begun_s
            assert response.status == 503
            assert taken_s < 0.3
            # The server is free again not later than the caller comes back.
            free_s = deployment.server.refused_at_s[0] + PAUSE_S
            back_s = asyncio.get_running_loop().time()
            back_s += float(response.headers["Retry-After"])
            assert free_s - 0.05 <= back_s <= free_s + PAUSE_S
    assert len(deployment.server.refused_at_s) == 1
    timeline = await wait_for_timeline(router, "a2")
    assert timeline.cause.event == "request_refused"
    assert "s1" in timeline.cause.fields["reason"]
    paused = [line for line in timeline.context if line.event == "server_paused"]
    assert paused[0].fields["server"] == "s1"


async def test_timeline_names_the_server_that_was_passed_over(deployment, sound_server):
    deployment.server.refusal_headers = RETRY_AFTER
    router = await start_router(deployment)
    async with aiohttp.ClientSession() as session:
        await send_for(session, router, 0.4)
        await send_request(session, router, "/open/x", request_id="a1")
    timeline = await wait_for_timeline(router, "a1")
    sent = [line for line in timeline.lines if line.event == "request_sent"]
    assert sent[0].fields["server"] == "s2"
    assert sent[0].fields["paused_servers"].startswith("s1 for")


async def test_retry_after_of_another_status_is_no_pause(deployment):
    deployment.server.refusal_status = 429
    deployment.server.refusal_headers = RETRY_AFTER
    router = await start_router(deployment)
    async with aiohttp.ClientSession() as session:
        await send_request(session, router, "/open/x", request_id="a1")
        deployment.server.refusal_headers = None
        status, _, _ = await send_request(session, router, "/open/x", request_id="a2")
    assert status == 200
