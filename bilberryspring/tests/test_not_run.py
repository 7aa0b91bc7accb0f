"""An order reported as not run has no run; an outage refuses only what needs a claim.

Guards against an error response that says "not run" for a request that ran, against
refusals that wait for a timeout or name no time for a retry, and against the refusal of
requests that need no claim.
"""

import asyncio
import random

import pytest
import pytest_asyncio

from bilberryspring.tests.order_harness import (
    KEY_VALUE_TIMEOUT_S,
    make_order_harness,
    make_order_key,
    read_error_kind,
)

pytestmark = [pytest.mark.asyncio(loop_scope="module"), pytest.mark.timeout(300)]

CALLER_COUNT = 6
FAULT_DURATION_S = 0.6
FAULT_ROUNDS = 5


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def harness(tmp_path_factory):
    harness = make_order_harness(tmp_path_factory.mktemp("orders"))
    async with harness.fleet:
        await harness.start()
        yield harness


@pytest.mark.parametrize(
    "faults",
    [{"outage": True}, {"unavailable": True}, {"hang": True}],
    ids=lambda faults: next(iter(faults)),
)
async def test_an_outage_refuses_only_what_needs_a_claim(harness, faults):
    for _ in range(2):
        await harness.fleet.set_platform_faults(**faults)
        # The first order at each agent may time out; later ones are refused at once.
        await asyncio.gather(*(harness.send_order(make_order_key()) for _ in range(16)))
        refused = []
        for _ in range(6):
            refused.append(await harness.send_order(make_order_key()))
            assert (await harness.call_status()).status == 200
        durations_s = sorted(r.finished_s - r.started_s for r in refused)
        assert durations_s[len(refused) // 2] < KEY_VALUE_TIMEOUT_S
        for record in refused:
            assert read_error_kind(record) == "claim_store_unavailable"
            assert record.problem["outcome"] == "not_run"
            assert record.retry_after_s > 0
        await harness.clear_faults()
        for record in refused:
            await harness.order_until_final(record.idempotency_key)
            assert harness.count_runs()[record.idempotency_key] == 1
    harness.assert_outcomes_match_runs()


async def lose_claim_replies(harness):
    await harness.fleet.set_platform_faults(lose_replies=9)


async def hang_key_value(harness):
    await harness.fleet.set_platform_faults(hang=True)


async def stop_key_value(harness):
    await harness.fleet.set_platform_faults(outage=True)


async def freeze_agent(harness):
    harness.agents[0].process.freeze()


async def kill_agent(harness):
    harness.agents[1].process.kill()


async def cut_agents(harness):
    await harness.set_proxy_faults("peer", mode="cut")
    await harness.set_proxy_faults("peer", mode="pass")


async def silence_agents(harness):
    await harness.set_proxy_faults("peer", mode="silent")


async def cut_services(harness):
    await harness.set_proxy_faults("backend", cut_after_bytes_up=40)


async def lose_answers_of_services(harness):
    await harness.set_proxy_faults("backend", cut_after_bytes_down=1)


async def reset_services(harness):
    await harness.set_proxy_faults("backend", mode="refuse")


FAULTS = [
    lose_claim_replies,
    hang_key_value,
    stop_key_value,
    freeze_agent,
    kill_agent,
    cut_agents,
    silence_agents,
    cut_services,
    lose_answers_of_services,
    reset_services,
]


async def keep_ordering(harness, stop_event):
    """Send each order three times with the same key, until stopped."""
    while not stop_event.is_set():
        key = make_order_key()
        for _ in range(3):
            await harness.send_order(key)
            await asyncio.sleep(0.02)


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_two_faults_at_once_under_load(harness, seed):
    rng = random.Random(seed)
    stop_event = asyncio.Event()
    callers = [
        asyncio.create_task(keep_ordering(harness, stop_event))
        for _ in range(CALLER_COUNT)
    ]
    for _ in range(FAULT_ROUNDS):
        for fault in rng.sample(FAULTS, 2):
            await fault(harness)
        await asyncio.sleep(FAULT_DURATION_S)
        await harness.clear_faults()
        await asyncio.sleep(FAULT_DURATION_S)
    stop_event.set()
    await asyncio.gather(*callers)
    harness.assert_outcomes_match_runs()
    assert any(record.status == 200 for record in harness.records)


async def test_a_repeated_order_gets_the_stored_answer(harness):
    key = make_order_key()
    first = await harness.order_until_final(key)
    second = await harness.order_until_final(key)
    assert (first.status, second.status) == (200, 200)
    assert second.body == first.body
    assert second.headers["Idempotency-Replayed"] == "true"
    assert harness.count_runs()[key] == 1
