"""Tests of requests that reach a router process while it stops."""

import asyncio
import signal

import aiohttp
import pytest

from bilberryspring.platform.tests.platform_standin import CONFIGURATION
from bilberryspring.platform.tests.test_front_router import deployment, send_request

__all__ = ["deployment"]

KEPT_CONNECTIONS = 12
SEND_INTERVAL_S = 0.1


def make_configuration(time_limit_s):
    orders, *others = CONFIGURATION["routes"]
    orders = {**orders, "timeoutMs": int(time_limit_s * 1000)}
    return {**CONFIGURATION, "version": 4, "routes": [orders, *others]}


async def send_or_find_closed(session, router, request_id):
    """Return the status of a response and its headers, zero if there was none."""
    try:
        status, headers, _ = await send_request(
            session, router, "/orders/x", request_id=request_id
        )
    except aiohttp.ClientError:
        return 0, {}
    return status, headers


async def send_on_kept_connection(router, number, pause_s):
    async with aiohttp.ClientSession() as session:
        await send_or_find_closed(session, router, f"first{number}")
        await asyncio.sleep(pause_s)
        return await send_or_find_closed(session, router, f"kept{number}")


@pytest.mark.parametrize(
    ("grace_s", "time_limit_s", "service_s", "served_s"),
    [(6.0, 3.0, 0.05, 2.0), (6.0, 3.0, 1.0, 2.0), (6.0, 3.0, 2.7, 2.0)]
    + [(3.4, 1.5, 1.2, 1.0)],
)
async def test_once_request_late_in_a_stop_runs_only_if_it_is_answered(
    deployment, grace_s, time_limit_s, service_s, served_s
):
    # A server's answer after the stop leaves callers without knowing that it ran.
    await deployment.store.put("op/config", make_configuration(time_limit_s))
    entry = deployment.server.make_entry(slots=200)
    await deployment.store.put("servers/s1", entry)
    router = await deployment.add_router(grace_s=grace_s)
    await router.wait_ready()
    kept = [
        asyncio.create_task(
            send_on_kept_connection(router, n, 0.5 + n * grace_s / KEPT_CONNECTIONS)
        )
        for n in range(KEPT_CONNECTIONS)
    ]
    await asyncio.sleep(0.5)
    deployment.server.delay_s = service_s
    router.process.send_signal(signal.SIGTERM)
    new = []
    for number in range(int(grace_s / SEND_INTERVAL_S)):

        async def send_on_new_connection(number=number):
            async with aiohttp.ClientSession() as session:
                return await send_or_find_closed(session, router, f"new{number}")

        new.append(asyncio.create_task(send_on_new_connection()))
        await asyncio.sleep(SEND_INTERVAL_S)
    responses = {}
    for name, tasks in (("kept", kept), ("new", new)):
        for number, (status, headers) in enumerate(await asyncio.gather(*tasks)):
            responses[f"{name}{number}"] = status, headers
    executed = {
        request.headers["Attempt-Id"] for request, _ in deployment.server.executed
    }
    executed -= {f"first{n}" for n in range(KEPT_CONNECTIONS)}
    answered = {each for each, (status, _) in responses.items() if status == 200}
    assert executed == answered, responses
    assert {status for status, _ in responses.values()} <= {0, 200, 503}
    refusals = [headers for status, headers in responses.values() if status == 503]
    assert all(float(headers["Retry-After"]) < 1.0 for headers in refusals)
    # Requests are served while others still come from the load balancer.
    served_count = int(served_s / SEND_INTERVAL_S)
    assert {f"new{n}" for n in range(served_count)} <= answered
    async with asyncio.timeout(5):
        assert await router.process.wait() == 0
