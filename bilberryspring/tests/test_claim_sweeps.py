"""The claims that killed agents leave behind are removed, and no sooner than is safe.

The key-value service and the services' journals decide.
"""

import asyncio
import time

import pytest

from bilberryspring.platform.keyvalue import (
    make_key_value_client,
)
from bilberryspring.process.accounting import Mechanism, make_ledger
from bilberryspring.request.errors import Failure
from bilberryspring.request.idempotency import CLOCK_MARGIN_S, make_idempotency_key
from bilberryspring.tests.orders import (
    KEY_VALUE_TIMEOUT_S,
    POLL_INTERVAL_S,
    make_order_harness,
    make_order_key,
)

pytestmark = [pytest.mark.asyncio, pytest.mark.timeout(120)]

# A sweep is due every two seconds then.
RETENTION_S = 24.0
SWEPT_WITHIN_S = 30.0
RUNNING_S = 3.0


async def leave_claim_of_killed_agent(harness, key):
    """Kill an agent that runs an order; return what the service holds for the key."""
    await harness.set_service_faults(service_time_s=RUNNING_S)
    running = asyncio.create_task(harness.send_order(key))
    holder = await harness.wait_for_run(key, finished=False)
    holder.process.kill()
    await running
    await harness.clear_faults()
    return await harness.wait_for_claim_item(key)


async def wait_until_gone(client, paths):
    async with asyncio.timeout(SWEPT_WITHIN_S):
        for path in paths:
            while await client.get(path, mechanism=Mechanism.CLAIMS) is not None:
                await asyncio.sleep(POLL_INTERVAL_S)


@pytest.mark.parametrize("outage_s", [0.0, 3.0])
async def test_only_claims_past_their_time_are_swept(tmp_path, outage_s):
    harness = make_order_harness(tmp_path, claim_retention_s=RETENTION_S)
    async with harness.fleet:
        await harness.start()
        client = make_key_value_client(
            [harness.fleet.key_value_address], KEY_VALUE_TIMEOUT_S, make_ledger()
        )
        await client.start()
        key = make_order_key()
        left = await leave_claim_of_killed_agent(harness, key)
        old_key = make_idempotency_key(time.time() - RETENTION_S - CLOCK_MARGIN_S - 60)
        old = [
            left.key.replace(key, old_key),
            left.key.replace(key, old_key).replace("/orders/", "/former-route/"),
        ]
        for path in old:
            made = await client.put(path, left.value, mechanism=Mechanism.CLAIMS)
            assert not isinstance(made, Failure)
        await harness.fleet.set_platform_faults(outage=outage_s > 0)
        await asyncio.sleep(outage_s)
        await harness.fleet.set_platform_faults()
        await wait_until_gone(client, old)
        await client.close()
        assert (
            await harness.wait_for_claim_item(key)
        ).mod_revision == left.mod_revision
        await harness.order_until_final(key)
        for path in old:
            record = await harness.send_order(path.rpartition("/")[2])
            assert record.status == 409
        assert harness.count_runs()[key] == 1
        assert harness.count_runs()[old_key] == 0
        harness.assert_outcomes_match_runs()
