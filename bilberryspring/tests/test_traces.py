"""The spans of a request's router, attempt and agent form one trace with the caller's.

Guards against a trace context that is not passed on from caller to router, agent and
backend server.
"""

import json

from bilberryspring.standin.fleet import make_fleet
from bilberryspring.tests.documents import (
    ENGINE_POOL,
    MODEL,
    WORKSPACE_KEY,
    make_document,
)

TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
TRACEPARENT = f"00-{TRACE_ID}-b7ad6b7169203331-01"


async def test_router_and_agent_join_the_callers_trace(tmp_path):
    traces = {name: tmp_path / f"{name}.traces" for name in ("agent", "router")}
    async with make_fleet(tmp_path) as fleet:
        await fleet.start_platform()
        await fleet.publish(make_document())
        agent = await fleet.add_engine(
            ENGINE_POOL,
            "zone-1",
            models=[MODEL],
            agent={"trace_path": str(traces["agent"])},
        )
        router = await fleet.add_router("zone-1", trace_path=str(traces["router"]))
        await fleet.wait_ready(agent, router)
        messages = [{"role": "user", "content": "spell"}]
        record = await fleet.chat(
            router,
            WORKSPACE_KEY,
            messages,
            model=MODEL,
            headers={"traceparent": TRACEPARENT},
        )
        assert record.is_whole
        (run,) = fleet.read_runs(agent)
        for node in (agent, router):
            assert await node.process.stop() == 0
    spans = {
        span["name"]: span
        for path in traces.values()
        for span in map(json.loads, path.read_text().splitlines())
    }
    assert set(spans) == {"router.chat", "router.try", "agent.request"}
    assert {span["trace_id"] for span in spans.values()} == {TRACE_ID}
    parent_ids = {name: span["parent_id"] for name, span in spans.items()}
    assert parent_ids["router.try"] == spans["router.chat"]["span_id"]
    assert parent_ids["agent.request"] == spans["router.try"]["span_id"]
    assert run["traceparent"].split("-")[1] == TRACE_ID
