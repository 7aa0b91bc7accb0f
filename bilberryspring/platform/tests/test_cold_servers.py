"""Cold servers, through whole router processes of which one is killed."""

import asyncio
import time

import aiohttp
import pytest

from bilberryspring.platform.tests.platform_standin import CONFIGURATION
from bilberryspring.platform.tests.test_front_router import deployment
from bilberryspring.platform.tests.test_server_limits import (
    routers,
    send_for,
    sound_server,
)

__all__ = ["deployment", "routers", "sound_server"]

COLD_S, COLD_PER_S = 6.0, 8.0
# Bound of the routers' settings on the requests in any second.
BOUND = 1.5 * COLD_PER_S + 5
# Until all routers have read an entry of the store.
LEARNING_S = 1.0


async def read_cold_count(router):
    url = f"http://{router.ip}:{router.ready_port}/metrics"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        lines = (await response.text()).splitlines()
    (line,) = [each for each in lines if "servers_cold" in each and each[0] != "#"]
    return float(line.rpartition(" ")[2])


@pytest.fixture
async def cold_entry(deployment):
    """Let the first server be cold; return when it is warm."""
    service = {
        **CONFIGURATION["services"][0],
        "coldStartS": COLD_S,
        "coldPerS": COLD_PER_S,
    }
    configuration = {**CONFIGURATION, "version": 9, "services": [service]}
    await deployment.store.put("op/config", configuration)

    async def write(remaining_s, number):
        entry = deployment.server.make_entry(
            coldRemainingMs=round(remaining_s * 1000), seq=number
        )
        await deployment.store.put("servers/s1", entry)

    return write


async def test_cold_server_gets_its_rate_while_a_router_is_killed(
    deployment, sound_server, cold_entry, routers
):
    # Without its rate, the faster one of two servers is preferred.
    deployment.server.delay_s, sound_server.delay_s = 0.02, 0.2
    await cold_entry(COLD_S, 2)
    begun_s = time.monotonic()
    await asyncio.sleep(LEARNING_S)
    assert await read_cold_count(routers[0]) == 1
    killed, *others = routers
    killed.process.kill()
    results = await send_for(others, COLD_S - 2 * LEARNING_S, interval_s=0.03)
    assert {status for status, _ in results} == {200}
    arrived_s = list(deployment.server.executed_at_s)
    assert time.monotonic() - begun_s < COLD_S
    for first_s in arrived_s:
        assert sum(first_s <= at_s <= first_s + 1.0 for at_s in arrived_s) <= BOUND
    assert len(arrived_s) >= 0.5 * COLD_PER_S * (COLD_S - 2 * LEARNING_S)
    await cold_entry(0.0, 3)
    await asyncio.sleep(LEARNING_S + 1.5)
    deployment.server.executed_at_s.clear()
    results = await send_for(others, 2.0)
    assert len(deployment.server.executed_at_s) > 0.5 * len(results)
    log = others[0].log_path.read_text()
    assert "event=server_cold server=s1" in log
    assert "event=server_warm server=s1" in log
