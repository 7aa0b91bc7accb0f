"""Orders and configuration of a fleet whose key-value service is restored from a copy.

Guards against a second run of an order whose claim or record the copy lacks. The
services' journals are compared with the callers' records.
"""

import asyncio

import pytest
import pytest_asyncio

from bilberryspring.tests.order_harness import make_order_harness, make_order_key

pytestmark = [pytest.mark.asyncio(loop_scope="module"), pytest.mark.timeout(300)]

SERVICE_TIME_S = 2.0


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def harness(tmp_path_factory):
    harness = make_order_harness(tmp_path_factory.mktemp("restored"), agent_count=3)
    async with harness.fleet:
        await harness.start()
        yield harness


async def control(harness, action):
    url = f"http://{harness.fleet.key_value_address}/standin/{action}"
    async with harness.fleet.session.post(url) as response:
        assert response.status == 200


@pytest.mark.parametrize("is_running", [False, True])
async def test_an_order_runs_once_though_the_store_has_lost_it(harness, is_running):
    key = make_order_key()
    service_time_s = SERVICE_TIME_S if is_running else 0.0
    await harness.set_service_faults(service_time_s=service_time_s)
    await control(harness, "copy")
    order = asyncio.create_task(harness.send_order(key))
    await harness.wait_for_run(key, finished=not is_running)
    if not is_running:
        await order
    await control(harness, "restore")
    repeated = (harness.send_order(key, router) for router in harness.routers * 3)
    await asyncio.gather(*repeated)
    final = await harness.order_until_final(key)
    await order
    assert final.status == 200
    assert harness.count_runs()[key] == 1
    other = await harness.order_until_final(make_order_key())
    assert other.status == 200
    harness.assert_outcomes_match_runs()
