"""Claims that other agents send keep every promise when such a batcher fails.

Three agents share batchers from the first one on, as the agents of a large pool do.
Each fault strikes the batcher of some keys, while they are ordered through both
routers, twice. The services' journals and the callers' records decide.
"""

import asyncio
import time

import aiohttp
import pytest
import pytest_asyncio

from bilberryspring.capability.instance_list import (
    Instance,
)
from bilberryspring.load.observation import read_metrics
from bilberryspring.request.claim_forwarding import SLOT_S, choose_batcher, find_shard
from bilberryspring.request.claim_values import CLAIM_PREFIX, make_claim_path
from bilberryspring.tests.orders import (
    KEY_VALUE_TIMEOUT_S,
    SERVICE_DEADLINE_S,
    make_order_harness,
    make_order_key,
)

pytestmark = [pytest.mark.asyncio(loop_scope="module"), pytest.mark.timeout(300)]

AGENTS = 3
KEYS = 4
# Orders start this long before the batchers change.
SLOT_REST_S = 1.0


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def harness(tmp_path_factory):
    harness = make_order_harness(
        tmp_path_factory.mktemp("batchers"),
        agent_count=AGENTS,
        proxied=("peer", "backend", "key_value"),
        max_direct_claim_agents=1,
    )
    async with harness.fleet:
        await harness.start()
        # The leases of the agents exist before the first fault.
        await asyncio.gather(
            *(harness.order_until_final(make_order_key()) for _ in range(12))
        )
        yield harness


async def choose_keys(harness, batcher):
    """Return new keys whose claims go through an agent for a while."""
    rest_s = SLOT_S - time.time() % SLOT_S
    if rest_s < SLOT_REST_S:
        await asyncio.sleep(rest_s)
    slot = int(time.time() // SLOT_S)
    instances = [Instance(**agent.entry) for agent in harness.agents]
    keys = []
    while len(keys) < KEYS:
        key = make_order_key()
        shard = find_shard(make_claim_path("orders", "first", key))
        chosen = choose_batcher(shard, slot, instances)
        if chosen.instance_id == batcher.instance_id:
            keys.append(key)
    return keys


async def order_all(harness, keys):
    await asyncio.gather(
        *(harness.send_order(key, router) for key in keys for router in harness.routers)
    )


async def work_undisturbed(harness, batcher, keys):
    await order_all(harness, keys)


async def hold_replies(harness, keys):
    """Return running orders whose claims took effect unknown to the batcher."""
    finding = asyncio.create_task(harness.wait_for_claim(keys[0]))
    while not finding.done():
        # An agent may still refuse claims after the fault before.
        await harness.fleet.set_platform_faults(
            hang_replies=2, reply_prefix=CLAIM_PREFIX
        )
        running = asyncio.create_task(order_all(harness, keys))
        await asyncio.wait((running, finding), return_when=asyncio.FIRST_COMPLETED)
    await finding
    return running


async def kill_batcher(harness, batcher, keys):
    running = await hold_replies(harness, keys)
    batcher.process.kill()
    await harness.fleet.set_platform_faults()
    await running


async def freeze_batcher_past_deadline(harness, batcher, keys):
    batcher.process.freeze()
    await order_all(harness, keys)
    await asyncio.sleep(SERVICE_DEADLINE_S)
    batcher.process.thaw()
    await order_all(harness, keys)


async def freeze_batcher_after_effect(harness, batcher, keys):
    running = await hold_replies(harness, keys)
    batcher.process.freeze()
    await harness.fleet.set_platform_faults()
    await running
    await asyncio.sleep(SERVICE_DEADLINE_S)
    batcher.process.thaw()
    await order_all(harness, keys)


async def set_proxy(harness, batcher, link, **faults):
    await harness.fleet.set_faults(batcher.proxies[link], **faults)


async def cut_batcher_from_key_value(harness, batcher, keys):
    await set_proxy(harness, batcher, "key_value", mode="cut")
    await order_all(harness, keys)


async def lose_replies_to_batcher(harness, batcher, keys):
    await set_proxy(harness, batcher, "key_value", mode="drop_downstream")
    await order_all(harness, keys)


async def delay_writes_of_batcher(harness, batcher, keys):
    delay_s = KEY_VALUE_TIMEOUT_S * 1.5
    await set_proxy(harness, batcher, "key_value", delay_s=delay_s)
    await order_all(harness, keys)
    await asyncio.sleep(delay_s)


async def cut_batcher_from_peers(harness, batcher, keys):
    await set_proxy(harness, batcher, "peer", mode="cut")
    await order_all(harness, keys)


async def silence_batcher(harness, batcher, keys):
    await set_proxy(harness, batcher, "peer", mode="silent")
    await order_all(harness, keys)


async def lose_replies_of_batcher(harness, batcher, keys):
    await set_proxy(harness, batcher, "peer", mode="drop_downstream")
    await order_all(harness, keys)


# Where an agent was killed or frozen, it may have held some of the keys itself.
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
    before = await count_batched(harness)
    keys = []
    for batcher in harness.agents[:2]:
        chosen = await choose_keys(harness, batcher)
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
        assert await count_batched(harness) - before >= KEYS


async def count_batched(harness):
    """Return how many claims the agents sent for others since they started."""
    total = 0
    async with aiohttp.ClientSession() as session:
        for agent in harness.agents:
            url = f"http://{agent.administration_address}/metrics"
            async with session.get(url) as reply:
                metrics = read_metrics(await reply.text())
            total += metrics["claims_sent_for_others"]
    return total
