"""What routers hold after callers left at any moment."""

import asyncio
import random

import aiohttp

from bilberryspring.platform.tests.rest_check import find_unrest
from bilberryspring.platform.tests.test_front_router import (  # noqa: F401
    deployment,
    make_headers,
    send_request,
)

CALLERS = 400
MAX_STAY_S = 0.02
PATHS = ("/orders/x", "/open/x", "/drafts/x")
SERVER_DELAY_S = 0.01


async def leave(session, router, number, rng):
    headers = make_headers(f"leaves-{number}")
    url = router.url + rng.choice(PATHS)
    # Most leave while the router connects to a server.
    stay_s = MAX_STAY_S * rng.random() ** 4
    try:
        async with asyncio.timeout(stay_s):
            async with session.post(url, data=b"x" * 100, headers=headers) as response:
                await response.read()
    except (TimeoutError, aiohttp.ClientError):
        return


# Guards against connections, requests, reservations and bytes that count for good after
# a caller left, until the router refuses all callers.
async def test_nothing_is_held_after_callers_left(deployment):  # noqa: F811
    rng = random.Random(55)
    deployment.server.delay_s = SERVER_DELAY_S
    router = await deployment.add_router()
    await router.wait_ready()
    async with aiohttp.ClientSession() as session:
        async with asyncio.TaskGroup() as group:
            for number in range(CALLERS):
                group.create_task(leave(session, router, number, rng))
                await asyncio.sleep(0.002)
        deployment.server.delay_s = 0.0
        status, _, _ = await send_request(session, router, "/orders/x")
    assert status == 200
    assert not await find_unrest(router, {f"127.0.0.1:{deployment.server.port}"})
