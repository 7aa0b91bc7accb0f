"""The logs alone explain why a request failed, given its request id.

Guards against a refused or interrupted request whose log lines on the router and the
agent name no cause, instance or outcome.
"""

import asyncio

import pytest

from bilberryspring.process.request_timeline import build_request_timeline
from bilberryspring.standin.fleet import make_fleet
from bilberryspring.tests.documents import (
    ENGINE_POOL,
    MODEL,
    WORKSPACE_KEY,
    make_document,
)
from bilberryspring.tests.order_harness import (
    SERVICE_DEADLINE_S,
    make_order_harness,
    make_order_key,
)

pytestmark = pytest.mark.timeout(120)

LOG_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.1
CHAT_COUNT = 12
FINAL_LOG_EVENTS = {"request_answered", "request_ended"}


async def wait_for_timeline(fleet, request_id):
    """Return the log timeline of a request once its last lines are written.

    The agent writes its last line only after it has answered the router.
    """
    async with asyncio.timeout(LOG_TIMEOUT_S):
        while True:
            log_lines = []
            for node in fleet.nodes.values():
                log_lines += node.process.read_log().splitlines()
            timeline = build_request_timeline(request_id, log_lines)
            if FINAL_LOG_EVENTS <= {line.event for line in timeline.lines}:
                return timeline
            await asyncio.sleep(POLL_INTERVAL_S)


async def start_one_slot_engine(fleet, **options):
    document = make_document()
    document["pools"][0] |= {"max_running": 1}
    document["work_ranks"][0] |= {"target_wait_s": 0.2}
    await fleet.start_platform()
    await fleet.publish(document)
    agent = await fleet.add_engine(ENGINE_POOL, "z", models=[MODEL], **options)
    router = await fleet.add_router("z")
    await fleet.wait_ready()
    return agent, router


async def read_metrics(fleet, node):
    url = f"http://{node.administration_address}/metrics"
    async with fleet.session.get(url) as response:
        return await response.text()


def send_chat(fleet, router, number):
    messages = [{"role": "user", "content": f"roll of ward {number}"}]
    return fleet.chat(router, WORKSPACE_KEY, messages, model=MODEL, max_tokens=20)


async def test_a_refusal_though_capacity_seemed_free(tmp_path):
    async with make_fleet(tmp_path) as fleet:
        agent, router = await start_one_slot_engine(fleet, decode_interval_s=0.05)
        await send_chat(fleet, router, 0)
        records = await asyncio.gather(
            *(send_chat(fleet, router, number) for number in range(1, CHAT_COUNT))
        )
        refused = next(each for each in records if each.status == 503)
        timeline = await wait_for_timeline(fleet, refused.request_id)
        metrics = await read_metrics(fleet, agent)
    assert timeline.cause.event in ("request_refused", "request_ended")
    assert timeline.cause.fields["instance"] == agent.instance_id
    assert refused.problem["detail"] == timeline.cause.fields["reason"]
    count = sum(each.status == 503 for each in records)
    refusals = 'bilberryspring_refusals_total{kind="overloaded",rank="urgent"}'
    assert f"{refusals} {count:.1f}" in metrics
    assert 'bilberryspring_queue_wait_seconds_count{rank="urgent"}' in metrics


async def test_an_answer_that_was_broken_off_after_its_server_was_lost(tmp_path):
    async with make_fleet(tmp_path) as fleet:
        agent, router = await start_one_slot_engine(fleet)
        await fleet.set_faults(agent.backend, cut_each_after_events=2)
        record = await send_chat(fleet, router, 0)
        timeline = await wait_for_timeline(fleet, record.request_id)
    assert not record.is_whole
    assert timeline.cause.event == "request_ended"
    assert timeline.cause.fields["instance"] == agent.instance_id
    assert timeline.cause.fields["result"].startswith("backend_")


async def test_an_order_whose_outcome_is_unknown(tmp_path):
    harness = make_order_harness(tmp_path, max_claimed_call_s=1.0)
    async with harness.fleet as fleet:
        await harness.start()
        await harness.set_service_faults(service_time_s=2 * SERVICE_DEADLINE_S)
        key = make_order_key()
        record = await harness.send_order(key)
        timeline = await wait_for_timeline(fleet, record.request_id)
    assert record.problem["outcome"] == "unknown"
    assert timeline.cause.event == "request_ended"
    assert timeline.cause.fields["idempotency_key"] == key
    assert timeline.cause.fields["outcome"] == "unknown"
    assert "did not answer in 1 s" in timeline.cause.fields["reason"]
