"""A call of a claimed key ends at its time limit, with an unknown outcome.

Guards against a service that never answers and so occupies its agent for good, and
against an answer that is lost because it comes after the caller's deadline.
"""

import asyncio
import time

import pytest

from bilberryspring.request.claim_values import ClaimState
from bilberryspring.tests.order_harness import (
    SERVICE_DEADLINE_S,
    make_order_harness,
    make_order_key,
    read_error_kind,
)

CLAIMED_CALL_LIMIT_S = 1.0
CLAIM_WRITE_S = 1.0

pytestmark = pytest.mark.timeout(120)


async def test_a_call_without_answer_is_given_up_at_its_limit(tmp_path):
    harness = make_order_harness(tmp_path, max_claimed_call_s=CLAIMED_CALL_LIMIT_S)
    async with harness.fleet:
        await harness.start()
        key = make_order_key()
        # The service answers only after the deadline of the caller.
        await harness.set_service_faults(service_time_s=2 * SERVICE_DEADLINE_S)
        started_s = time.monotonic()
        record = await harness.send_order(key)
        assert time.monotonic() - started_s < SERVICE_DEADLINE_S
        assert read_error_kind(record) == "deadline_exceeded"
        assert record.problem["outcome"] == "unknown"
        await asyncio.sleep(CLAIM_WRITE_S)
        assert (await harness.wait_for_claim(key)).state is ClaimState.UNKNOWN
        for router in harness.routers:
            assert (
                read_error_kind(await harness.send_order(key, router))
                == "outcome_unknown"
            )
        assert harness.count_runs()[key] == 1
        harness.assert_outcomes_match_runs()


async def test_an_answer_within_the_limit_is_stored_after_the_deadline(tmp_path):
    harness = make_order_harness(tmp_path, max_claimed_call_s=4 * SERVICE_DEADLINE_S)
    async with harness.fleet:
        await harness.start()
        key = make_order_key()
        await harness.set_service_faults(service_time_s=SERVICE_DEADLINE_S + 1.0)
        record = await harness.send_order(key)
        assert record.problem["outcome"] == "unknown"
        await asyncio.sleep(1.0 + CLAIM_WRITE_S)
        replayed = await harness.order_until_final(key)
        assert replayed.status == 200
        assert harness.count_runs()[key] == 1
