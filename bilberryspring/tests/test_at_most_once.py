"""A non-idempotent request runs at most once per key, also after faults.

Guards against a second run when a fault occurs while a request is claimed or sent or
while its outcome is recorded, and against an error response that says "not run" for a
request that ran. Each fault is injected twice with the same key; a fault that requires
a key without a claim is injected once for each of two keys. Then the faults end and the
caller repeats the order until its outcome is final. The test compares the runs in the
services' journals with the callers' records.
"""

import asyncio

import pytest
import pytest_asyncio

from bilberryspring.request.claim_values import CLAIM_PREFIX
from bilberryspring.tests.order_harness import (
    KEY_VALUE_TIMEOUT_S,
    POLL_INTERVAL_S,
    SERVICE_DEADLINE_S,
    make_order_harness,
    make_order_key,
)

pytestmark = [pytest.mark.asyncio(loop_scope="module"), pytest.mark.timeout(300)]

SERVICE_TIME_S = 0.7
CLAIM_WRITE_S = 1.0


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def harness(tmp_path_factory):
    harness = make_order_harness(tmp_path_factory.mktemp("orders"))
    async with harness.fleet:
        await harness.start()
        yield harness


async def order_through_both(harness, key):
    """Send an order twice through each of the two routers, all at the same time."""
    orders = [harness.send_order(key, router) for router in harness.routers * 2]
    await asyncio.gather(*orders)


async def lose_one_claim_reply(harness, key):
    await harness.fleet.set_platform_faults(lose_replies=1, reply_prefix=CLAIM_PREFIX)
    await order_through_both(harness, key)


async def lose_every_claim_reply(harness, key):
    await harness.fleet.set_platform_faults(lose_replies=99, reply_prefix=CLAIM_PREFIX)
    await order_through_both(harness, key)


async def hang_claim_replies(harness, key):
    await harness.fleet.set_platform_faults(hang_replies=2, reply_prefix=CLAIM_PREFIX)
    await order_through_both(harness, key)


async def stop_key_value(harness, key):
    await harness.fleet.set_platform_faults(outage=True)
    await order_through_both(harness, key)


async def hang_key_value(harness, key):
    await harness.fleet.set_platform_faults(hang=True)
    await order_through_both(harness, key)


async def slow_key_value(harness, key):
    await harness.fleet.set_platform_faults(delay_s=KEY_VALUE_TIMEOUT_S / 2)
    await order_through_both(harness, key)


async def slow_key_value_beyond_timeout(harness, key):
    await harness.fleet.set_platform_faults(delay_s=KEY_VALUE_TIMEOUT_S * 1.5)
    await order_through_both(harness, key)
    await asyncio.sleep(KEY_VALUE_TIMEOUT_S * 1.5)


async def start_order_held_after_claim(harness, key):
    """Return the task of an order whose claim has taken effect, and its claim holder.

    The reply to the claim is withheld, so the agent has not sent the order yet.
    """
    claim_search = asyncio.create_task(harness.wait_for_claim(key))
    while not claim_search.done():
        await asyncio.sleep(POLL_INTERVAL_S)
        # An agent may still refuse claims because of the previous fault.
        await harness.fleet.set_platform_faults(
            hang_replies=1, reply_prefix=CLAIM_PREFIX
        )
        order_task = asyncio.create_task(harness.send_order(key))
        await asyncio.wait(
            (order_task, claim_search), return_when=asyncio.FIRST_COMPLETED
        )
    return order_task, harness.fleet.nodes[claim_search.result().holder]


async def freeze_holder(harness, key, frozen_s):
    order_task, holder = await start_order_held_after_claim(harness, key)
    holder.process.freeze()
    await harness.fleet.set_platform_faults()
    await order_through_both(harness, key)
    await asyncio.sleep(frozen_s)
    holder.process.thaw()
    await order_through_both(harness, key)
    await order_task


async def freeze_holder_shortly(harness, key):
    """Freeze the claim holder and thaw it once the orders sent meanwhile have ended."""
    await freeze_holder(harness, key, 0.0)


async def freeze_holder_past_deadline(harness, key):
    await freeze_holder(harness, key, SERVICE_DEADLINE_S)


async def kill_holder_before_send(harness, key):
    order_task, holder = await start_order_held_after_claim(harness, key)
    holder.process.kill()
    await harness.fleet.set_platform_faults()
    await order_through_both(harness, key)
    await order_task


async def start_slow_order(harness, key):
    """Return the task of an order and the agent whose service is running it."""
    await harness.set_service_faults(service_time_s=SERVICE_TIME_S)
    run_search = asyncio.create_task(harness.wait_for_run(key, finished=False))
    while not run_search.done():
        await asyncio.sleep(POLL_INTERVAL_S)
        order_task = asyncio.create_task(harness.send_order(key))
        await asyncio.wait(
            (order_task, run_search), return_when=asyncio.FIRST_COMPLETED
        )
    return order_task, run_search.result()


async def kill_holder_before_record(harness, key):
    order_task, holder = await start_slow_order(harness, key)
    await harness.fleet.set_platform_faults(hang=True)
    await harness.wait_for_run(key, finished=True)
    holder.process.kill()
    await harness.fleet.set_platform_faults()
    await order_through_both(harness, key)
    await order_task


async def kill_service(harness, key):
    order_task, holder = await start_slow_order(harness, key)
    holder.backend.kill()
    await order_task
    holder.backend.start()
    await harness.fleet.wait_ready(holder.backend)


async def drop_lease(harness, key):
    """Drop the lease to which the claim of a key is attached, if any."""
    item = await harness.wait_for_claim_item(key)
    await harness.fleet.set_platform_faults(drop_lease=item.lease_id)


async def drop_lease_of_running_order(harness, key):
    order_task, _ = await start_slow_order(harness, key)
    await drop_lease(harness, key)
    await order_through_both(harness, key)
    await order_task


async def drop_lease_of_unknown_outcome(harness, key):
    order_task, holder = await start_slow_order(harness, key)
    holder.backend.kill()
    await order_task
    holder.backend.start()
    await harness.fleet.wait_ready(holder.backend)
    await asyncio.sleep(CLAIM_WRITE_S)
    await drop_lease(harness, key)
    await order_through_both(harness, key)


async def drop_lease_of_recorded_answer(harness, key):
    await harness.order_until_final(key)
    await asyncio.sleep(CLAIM_WRITE_S)
    await drop_lease(harness, key)
    await order_through_both(harness, key)


async def cut_agents_before_send(harness, key):
    await harness.set_proxy_faults("peer", mode="cut")
    await order_through_both(harness, key)


async def cut_agents_between_claim_and_send(harness, key):
    order_task, _ = await start_order_held_after_claim(harness, key)
    await harness.set_proxy_faults("peer", mode="cut")
    await harness.set_proxy_faults("peer", mode="pass")
    await order_through_both(harness, key)
    await order_task


async def cut_agents_after_send(harness, key):
    order_task, _ = await start_slow_order(harness, key)
    await harness.set_proxy_faults("peer", mode="cut")
    await harness.set_proxy_faults("peer", mode="pass")
    await order_through_both(harness, key)
    await order_task


async def silence_agents_after_send(harness, key):
    order_task, _ = await start_slow_order(harness, key)
    await harness.set_proxy_faults("peer", mode="silent")
    await order_through_both(harness, key)
    await order_task


async def lose_answers_of_agents(harness, key):
    await harness.set_proxy_faults("peer", mode="drop_downstream")
    orders_task = asyncio.create_task(order_through_both(harness, key))
    await asyncio.sleep(SERVICE_TIME_S)
    await harness.set_proxy_faults("peer", mode="pass")
    await orders_task


async def refuse_service_connections(harness, key):
    proxies = [agent.proxies["backend"] for agent in harness.agents]
    for proxy in proxies:
        proxy.kill()
    await order_through_both(harness, key)
    for proxy in proxies:
        proxy.start()
    await harness.fleet.wait_ready(*proxies)


async def reset_service_connections(harness, key):
    await harness.set_proxy_faults("backend", mode="refuse")
    await order_through_both(harness, key)


async def cut_service_before_first_byte(harness, key):
    await harness.set_proxy_faults("backend", cut_after_bytes_up=0)
    await order_through_both(harness, key)


async def cut_service_during_send(harness, key):
    await harness.set_proxy_faults("backend", cut_after_bytes_up=40)
    await order_through_both(harness, key)


async def cut_service_before_answer(harness, key):
    await harness.set_proxy_faults("backend", cut_after_bytes_down=1)
    await order_through_both(harness, key)


async def lose_answer_of_service(harness, key):
    await harness.set_proxy_faults("backend", mode="drop_downstream")
    await order_through_both(harness, key)


# Each fault with the permitted numbers of runs per key.
FAULTS = [
    (order_through_both, {1}),
    (lose_one_claim_reply, {1}),
    (lose_every_claim_reply, {1}),
    (hang_claim_replies, {1}),
    (stop_key_value, {1}),
    (hang_key_value, {1}),
    (slow_key_value, {1}),
    (slow_key_value_beyond_timeout, {1}),
    (freeze_holder_shortly, {0, 1}),
    (freeze_holder_past_deadline, {0, 1}),
    (kill_holder_before_send, {0}),
    (kill_holder_before_record, {1}),
    (kill_service, {1}),
    (drop_lease_of_running_order, {1}),
    (drop_lease_of_unknown_outcome, {1}),
    (drop_lease_of_recorded_answer, {1}),
    (cut_agents_before_send, {1}),
    (cut_agents_between_claim_and_send, {1}),
    (cut_agents_after_send, {1}),
    (silence_agents_after_send, {1}),
    (lose_answers_of_agents, {1}),
    (refuse_service_connections, {1}),
    (reset_service_connections, {0, 1}),
    (cut_service_before_first_byte, {0, 1}),
    (cut_service_during_send, {0, 1}),
    (cut_service_before_answer, {1}),
    (lose_answer_of_service, {1}),
]

# These faults need an order that has not been claimed yet, so each use takes a new key.
NEEDS_UNCLAIMED_KEY = {
    freeze_holder_shortly,
    freeze_holder_past_deadline,
    kill_holder_before_send,
    kill_holder_before_record,
    kill_service,
    drop_lease_of_running_order,
    drop_lease_of_unknown_outcome,
    cut_agents_between_claim_and_send,
    cut_agents_after_send,
    silence_agents_after_send,
}


@pytest.mark.parametrize("fault, runs", FAULTS, ids=[f.__name__ for f, _ in FAULTS])
async def test_a_key_runs_at_most_once(harness, fault, runs):
    keys = [make_order_key()] * 2
    if fault in NEEDS_UNCLAIMED_KEY:
        keys = [make_order_key(), make_order_key()]
    for key in keys:
        await fault(harness, key)
        await harness.clear_faults()
    for key in set(keys):
        await harness.order_until_final(key)
        assert harness.count_runs()[key] in runs
    harness.assert_outcomes_match_runs()
