"""A non-idempotent request runs at most once for its key, and "not run" is true.

The services' journals and the callers' records decide. Each fault strikes twice on
one key; then everything heals and the caller repeats the order until its outcome is
known.
"""

import asyncio

import pytest
import pytest_asyncio

from bilberryspring.request.claim_values import CLAIM_PREFIX
from bilberryspring.tests.orders import (
    KEY_VALUE_TIMEOUT_S,
    POLL_INTERVAL_S,
    SERVICE_DEADLINE_S,
    make_order_harness,
    make_order_key,
)

pytestmark = [pytest.mark.asyncio(loop_scope="module"), pytest.mark.timeout(300)]

RUNNING_S = 0.7
RECORD_S = 1.0


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def harness(tmp_path_factory):
    harness = make_order_harness(tmp_path_factory.mktemp("orders"))
    async with harness.fleet:
        await harness.start()
        yield harness


async def order_through_both(harness, key):
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


async def hold_between_claim_and_send(harness, key):
    """Return a running order whose claim took effect, and the agent that holds it."""
    finding = asyncio.create_task(harness.wait_for_claim(key))
    while not finding.done():
        await asyncio.sleep(POLL_INTERVAL_S)
        # An agent may still refuse claims after the spell before.
        await harness.fleet.set_platform_faults(
            hang_replies=1, reply_prefix=CLAIM_PREFIX
        )
        running = asyncio.create_task(harness.send_order(key))
        await asyncio.wait((running, finding), return_when=asyncio.FIRST_COMPLETED)
    return running, harness.fleet.nodes[finding.result().holder]


async def freeze_holder(harness, key, frozen_s):
    running, holder = await hold_between_claim_and_send(harness, key)
    holder.process.freeze()
    await harness.fleet.set_platform_faults()
    await order_through_both(harness, key)
    await asyncio.sleep(frozen_s)
    holder.process.thaw()
    await order_through_both(harness, key)
    await running


async def freeze_holder_shortly(harness, key):
    await freeze_holder(harness, key, 0.0)


async def freeze_holder_past_deadline(harness, key):
    await freeze_holder(harness, key, SERVICE_DEADLINE_S)


async def kill_holder_before_send(harness, key):
    running, holder = await hold_between_claim_and_send(harness, key)
    holder.process.kill()
    await harness.fleet.set_platform_faults()
    await order_through_both(harness, key)
    await running


async def start_long_order(harness, key):
    """Return a running order and the agent whose service runs it."""
    await harness.set_service_faults(service_time_s=RUNNING_S)
    finding = asyncio.create_task(harness.wait_for_run(key, finished=False))
    while not finding.done():
        await asyncio.sleep(POLL_INTERVAL_S)
        running = asyncio.create_task(harness.send_order(key))
        await asyncio.wait((running, finding), return_when=asyncio.FIRST_COMPLETED)
    return running, finding.result()


async def kill_holder_before_record(harness, key):
    running, holder = await start_long_order(harness, key)
    await harness.fleet.set_platform_faults(hang=True)
    await harness.wait_for_run(key, finished=True)
    holder.process.kill()
    await harness.fleet.set_platform_faults()
    await order_through_both(harness, key)
    await running


async def kill_service(harness, key):
    running, holder = await start_long_order(harness, key)
    holder.backend.kill()
    await running
    holder.backend.start()
    await harness.fleet.wait_ready(holder.backend)


async def drop_lease(harness, key):
    """End the lease that the claim of a key is on, if it is on one."""
    item = await harness.wait_for_claim_item(key)
    await harness.fleet.set_platform_faults(drop_lease=item.lease_id)


async def drop_lease_of_running_order(harness, key):
    running, _ = await start_long_order(harness, key)
    await drop_lease(harness, key)
    await order_through_both(harness, key)
    await running


async def drop_lease_of_unknown_outcome(harness, key):
    running, holder = await start_long_order(harness, key)
    holder.backend.kill()
    await running
    holder.backend.start()
    await harness.fleet.wait_ready(holder.backend)
    await asyncio.sleep(RECORD_S)
    await drop_lease(harness, key)
    await order_through_both(harness, key)


async def drop_lease_of_recorded_answer(harness, key):
    await harness.order_until_final(key)
    await asyncio.sleep(RECORD_S)
    await drop_lease(harness, key)
    await order_through_both(harness, key)


async def cut_agents_before_send(harness, key):
    await harness.set_proxy_faults("peer", mode="cut")
    await order_through_both(harness, key)


async def cut_agents_between_claim_and_send(harness, key):
    running, _ = await hold_between_claim_and_send(harness, key)
    await harness.set_proxy_faults("peer", mode="cut")
    await harness.set_proxy_faults("peer", mode="pass")
    await order_through_both(harness, key)
    await running


async def cut_agents_after_send(harness, key):
    running, _ = await start_long_order(harness, key)
    await harness.set_proxy_faults("peer", mode="cut")
    await harness.set_proxy_faults("peer", mode="pass")
    await order_through_both(harness, key)
    await running


async def silence_agents_after_send(harness, key):
    running, _ = await start_long_order(harness, key)
    await harness.set_proxy_faults("peer", mode="silent")
    await order_through_both(harness, key)
    await running


async def lose_answers_of_agents(harness, key):
    await harness.set_proxy_faults("peer", mode="drop_downstream")
    running = asyncio.create_task(order_through_both(harness, key))
    await asyncio.sleep(RUNNING_S)
    await harness.set_proxy_faults("peer", mode="pass")
    await running


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

# These put the fault between claim and send, so they need a key that is not claimed.
ONCE_PER_KEY = {
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
    if fault in ONCE_PER_KEY:
        keys = [make_order_key(), make_order_key()]
    for key in keys:
        await fault(harness, key)
        await harness.clear_faults()
    for key in set(keys):
        await harness.order_until_final(key)
        assert harness.count_runs()[key] in runs
    harness.assert_outcomes_match_runs()
