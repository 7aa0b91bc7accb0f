"""Claims that a killed agent leaves are deleted, but not before their keys expire.

Guards against claims that stay in the key-value service for good, and against a second
run of a key whose claim was deleted too early.
"""

import asyncio
import time

import pytest

from bilberryspring.platform.keyvalue import (
    make_key_value_client,
)
from bilberryspring.process.accounting import ControlMechanism, make_ledger
from bilberryspring.request.errors import Failure
from bilberryspring.request.idempotency import MAX_CLOCK_SKEW_S, make_idempotency_key
from bilberryspring.tests.order_harness import (
    KEY_VALUE_TIMEOUT_S,
    POLL_INTERVAL_S,
    make_order_harness,
    make_order_key,
)

pytestmark = [pytest.mark.asyncio, pytest.mark.timeout(120)]

# With this retention a sweep is due every two seconds.
RETENTION_S = 24.0
SWEEP_TIMEOUT_S = 30.0
SERVICE_TIME_S = 3.0


async def leave_claim_of_killed_agent(harness, key):
    """Kill an agent that runs an order and return the key-value item of its claim."""
    await harness.set_service_faults(service_time_s=SERVICE_TIME_S)
    order_task = asyncio.create_task(harness.send_order(key))
    holder = await harness.wait_for_run(key, finished=False)
    holder.process.kill()
    await order_task
    await harness.clear_faults()
    return await harness.wait_for_claim_item(key)


async def wait_until_deleted(client, paths):
    async with asyncio.timeout(SWEEP_TIMEOUT_S):
        for path in paths:
            while await client.get(path, mechanism=ControlMechanism.CLAIMS) is not None:
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
        left_claim = await leave_claim_of_killed_agent(harness, key)
        old_key = make_idempotency_key(
            time.time() - RETENTION_S - MAX_CLOCK_SKEW_S - 60
        )
        old_paths = [
            left_claim.key.replace(key, old_key),
            left_claim.key.replace(key, old_key).replace("/orders/", "/former-route/"),
        ]
        for path in old_paths:
            put_result = await client.put(
                path, left_claim.value, mechanism=ControlMechanism.CLAIMS
            )
            assert not isinstance(put_result, Failure)
        await harness.fleet.set_platform_faults(outage=outage_s > 0)
        await asyncio.sleep(outage_s)
        await harness.fleet.set_platform_faults()
        await wait_until_deleted(client, old_paths)
        await client.close()
        assert (
            await harness.wait_for_claim_item(key)
        ).mod_revision == left_claim.mod_revision
        await harness.order_until_final(key)
        for path in old_paths:
            record = await harness.send_order(path.rpartition("/")[2])
            assert record.status == 409
        assert harness.count_runs()[key] == 1
        assert harness.count_runs()[old_key] == 0
        harness.assert_outcomes_match_runs()
