"""A key runs at most once although the agent that batches its claims fails.

Guards against second runs and false "not run" reports when a batcher, the agent that
sends claims to the key-value service for other agents, is lost before or after a claim
takes effect. Three agents forward claims to batchers, as in a large pool. The
fault is injected twice, at the batcher of newly made keys, while these are ordered
through both routers. The runs in the services' journals are compared with the callers'
records.
"""

import asyncio
import time

import aiohttp
import pytest
import pytest_asyncio

from bilberryspring.capability.instance_list import (
    Instance,
)
from bilberryspring.load.observation import parse_metrics
from bilberryspring.request.claim_forwarding import (
    TIME_SLOT_S,
    choose_batcher,
    compute_shard,
)
from bilberryspring.request.claim_values import CLAIM_PREFIX, make_claim_path
from bilberryspring.tests.order_harness import (
    KEY_VALUE_TIMEOUT_S,
    SERVICE_DEADLINE_S,
    make_order_harness,
    make_order_key,
)

pytestmark = [pytest.mark.asyncio(loop_scope="module"), pytest.mark.timeout(300)]

AGENT_COUNT = 3
KEYS_PER_BATCHER = 4
# Least time left in a slot when orders start, as batchers change at the end of a slot.
MIN_SLOT_REMAINDER_S = 1.0


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def harness(tmp_path_factory):
    harness = make_order_harness(
        tmp_path_factory.mktemp("batchers"),
        agent_count=AGENT_COUNT,
        proxied=("peer", "backend", "key_value"),
        max_direct_claim_agents=1,
    )
    async with harness.fleet:
        await harness.start()
        # Each agent gets its lease before the first fault.
        await asyncio.gather(
            *(harness.order_until_final(make_order_key()) for _ in range(12))
        )
        yield harness


async def make_keys_batched_by(harness, batcher):
    """Return new keys whose claims one agent batches during the present time slot."""
    remainder_s = TIME_SLOT_S - time.time() % TIME_SLOT_S
    if remainder_s < MIN_SLOT_REMAINDER_S:
        await asyncio.sleep(remainder_s)
    slot = int(time.time() // TIME_SLOT_S)
    instances = [Instance(**agent.entry) for agent in harness.agents]
    keys = []
    while len(keys) < KEYS_PER_BATCHER:
        key = make_order_key()
        shard = compute_shard(make_claim_path("orders", "first", key))
        chosen = choose_batcher(shard, slot, instances)
        if chosen.instance_id == batcher.instance_id:
            keys.append(key)
    return keys


async def send_all_orders(harness, keys):
    await asyncio.gather(
        *(harness.send_order(key, router) for key in keys for router in harness.routers)
    )


async def work_undisturbed(harness, batcher, keys):
    await send_all_orders(harness, keys)


async def start_orders_with_held_replies(harness, keys):
    """Start orders whose claims take effect without a reply to the batcher."""
    claim_search = asyncio.create_task(harness.wait_for_claim(keys[0]))
    while not claim_search.done():
        # An agent may still refuse claims because of the previous fault.
        await harness.fleet.set_platform_faults(
            hang_replies=2, reply_prefix=CLAIM_PREFIX
        )
        orders_task = asyncio.create_task(send_all_orders(harness, keys))
        await asyncio.wait(
            (orders_task, claim_search), return_when=asyncio.FIRST_COMPLETED
        )
    await claim_search
    return orders_task


async def kill_batcher(harness, batcher, keys):
    orders_task = await start_orders_with_held_replies(harness, keys)
    batcher.process.kill()
    await harness.fleet.set_platform_faults()
    await orders_task


async def freeze_batcher_past_deadline(harness, batcher, keys):
    batcher.process.freeze()
    await send_all_orders(harness, keys)
    await asyncio.sleep(SERVICE_DEADLINE_S)
    batcher.process.thaw()
    await send_all_orders(harness, keys)


async def freeze_batcher_after_effect(harness, batcher, keys):
    orders_task = await start_orders_with_held_replies(harness, keys)
    batcher.process.freeze()
    await harness.fleet.set_platform_faults()
    await orders_task
    await asyncio.sleep(SERVICE_DEADLINE_S)
    batcher.process.thaw()
    await send_all_orders(harness, keys)


async def set_proxy(harness, batcher, link, **faults):
    await harness.fleet.set_faults(batcher.proxies[link], **faults)


async def cut_batcher_from_key_value(harness, batcher, keys):
    await set_proxy(harness, batcher, "key_value", mode="cut")
    await send_all_orders(harness, keys)


async def lose_replies_to_batcher(harness, batcher, keys):
    await set_proxy(harness, batcher, "key_value", mode="drop_downstream")
    await send_all_orders(harness, keys)


async def delay_writes_of_batcher(harness, batcher, keys):
    delay_s = KEY_VALUE_TIMEOUT_S * 1.5
    await set_proxy(harness, batcher, "key_value", delay_s=delay_s)
    await send_all_orders(harness, keys)
    await asyncio.sleep(delay_s)


async def cut_batcher_from_peers(harness, batcher, keys):
    await set_proxy(harness, batcher, "peer", mode="cut")
    await send_all_orders(harness, keys)


async def silence_batcher(harness, batcher, keys):
    await set_proxy(harness, batcher, "peer", mode="silent")
    await send_all_orders(harness, keys)


async def lose_replies_of_batcher(harness, batcher, keys):
    await set_proxy(harness, batcher, "peer", mode="drop_downstream")
    await send_all_orders(harness, keys)


# A batcher that is killed or frozen may itself have claimed some of the keys, which may
# then have no run.
FAULTS = [
    (work_undisturbed, {1}),
    (kill_batcher, {0, 1}),
    (freeze_batcher_past_deadline, {0, 1}),
    (freeze_batcher_after_effect, {0, 1}),
    (cut_batcher_from_key_value, {1}),
    (lose_replies_to_batcher, {1}),
    (delay_writes_of_batcher, {1}),
    (cut_batcher_from_peers, {1}),
    (silence_batcher, {1}),
    (lose_replies_of_batcher, {1}),
]


@pytest.mark.parametrize("fault, runs", FAULTS, ids=[f.__name__ for f, _ in FAULTS])
async def test_a_key_runs_at_most_once(harness, fault, runs):
    before = await count_forwarded_claims(harness)
    keys = []
    for batcher in harness.agents[:2]:
        chosen = await make_keys_batched_by(harness, batcher)
        await fault(harness, batcher, chosen)
        await harness.clear_faults()
        keys += chosen
    for key in keys:
        await harness.order_until_final(key)
    counts = harness.count_runs()
    assert {counts[key] for key in keys} <= runs
    assert any(counts[key] for key in keys)
    harness.assert_outcomes_match_runs()
    if fault is work_undisturbed:
        assert await count_forwarded_claims(harness) - before >= KEYS_PER_BATCHER


async def count_forwarded_claims(harness):
    """Return the number of claims that the agents have sent for other agents."""
    total = 0
    async with aiohttp.ClientSession() as session:
        for agent in harness.agents:
            url = f"http://{agent.administration_address}/metrics"
            async with session.get(url) as reply:
                metrics = parse_metrics(await reply.text())
            total += metrics["claims_sent_for_others"]
    return total
