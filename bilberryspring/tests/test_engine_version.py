"""An answer never mixes the text of two engine versions.

Guards against an answer that continues at an engine of another version after its engine
was lost, also if the vendor changed the version without reporting it.
"""

import asyncio

import pytest

from bilberryspring.standin.callers import find_answer_errors
from bilberryspring.standin.engine_text import digest_request, make_expected_text
from bilberryspring.standin.fleet import make_fleet
from bilberryspring.tests.documents import (
    ENGINE_POOL,
    MODEL,
    WORKSPACE_KEY,
    make_document,
)

pytestmark = pytest.mark.timed

ANSWER_TOKENS = 120
LONGEST_ANSWER_TOKENS = 100_000_000
MESSAGES = [{"role": "user", "content": "spell the names of the ward"}]


@pytest.fixture
async def fleet(tmp_path):
    async with make_fleet(tmp_path) as fleet:
        await fleet.start_platform()
        await fleet.publish(make_document())
        fleet.router = await fleet.add_router("zone-1")
        yield fleet


async def add_ready_engine(fleet, version, checks_continuation=True, **agent):
    node = await fleet.add_engine(
        ENGINE_POOL,
        "zone-1",
        models=[MODEL],
        engine_version=version,
        checks_continuation=checks_continuation,
        decode_interval_s=0.02,
        answer_tokens=LONGEST_ANSWER_TOKENS,
        agent=agent,
    )
    await fleet.wait_ready(node, fleet.router)
    return node


async def stream_and_kill_engine(fleet, agents):
    """Stream a chat and kill the engine that runs it after some events.

    :param agents: agents of the engines; nothing is killed once one engine is down.
    """

    async def kill_running_engine(event):
        if event.event_id.endswith("/20") and all(
            agent.backend.is_running for agent in agents
        ):
            instance_id = event.event_id.split("/")[0]
            fleet.nodes[instance_id].backend.kill()

    return await fleet.chat(
        fleet.router,
        WORKSPACE_KEY,
        MESSAGES,
        model=MODEL,
        max_tokens=ANSWER_TOKENS,
        on_event=kill_running_engine,
    )


async def test_an_answer_goes_on_at_an_engine_of_the_same_version(fleet):
    agents = [await add_ready_engine(fleet, "v1"), await add_ready_engine(fleet, "v1")]
    record = await stream_and_kill_engine(fleet, agents)
    assert find_answer_errors(record, MODEL, "v1") == []
    assert len({event.event_id.split("/")[0] for event in record.events}) == 2


@pytest.mark.parametrize("checks", [True, False], ids=["checks", "takes any"])
async def test_an_answer_does_not_go_on_at_an_engine_of_another_version(fleet, checks):
    agents = [
        await add_ready_engine(fleet, version, checks) for version in ("v1", "v2")
    ]
    record = await stream_and_kill_engine(fleet, agents)
    assert not record.is_whole
    assert record.problem["type"].endswith("answer_interrupted")
    assert record.outcome == "ran"
    (version,) = {
        agent.backend.settings["engine_version"]
        for agent in agents
        if not agent.backend.is_running
    }
    digest = digest_request(MODEL, "", MESSAGES)
    assert record.text == make_expected_text(digest, version, len(record.events))


async def wait_for_log(agent, text):
    for _ in range(200):
        if text in agent.process.read_log():
            return
        await asyncio.sleep(0.1)
    raise AssertionError(agent.process.read_log())


async def test_the_agent_notices_a_change_without_a_request(fleet):
    agent = await add_ready_engine(fleet, "v1")
    await fleet.set_faults(agent.backend, engine_version="v2")
    await wait_for_log(agent, "engine_version_changed version=v2")


@pytest.mark.parametrize("checks", [True, False], ids=["checks", "takes any"])
async def test_an_unreported_change_ends_an_answer_instead_of_mixing_it(fleet, checks):
    agents = [
        await add_ready_engine(
            fleet, "v1", checks, fingerprint_interval_s=0.3, engine_probe_s=0.1
        )
        for _ in range(2)
    ]
    for agent in agents:
        await wait_for_log(agent, "version=v1+")

    async def change_other_engine_then_kill(event):
        if not event.event_id.endswith("/20"):
            return
        running_agent = fleet.nodes[event.event_id.split("/")[0]]
        (other_agent,) = [agent for agent in agents if agent is not running_agent]
        await fleet.set_faults(
            other_agent.backend, engine_version="v2", report_version=False
        )
        await wait_for_log(other_agent, "engine_version_changed version=v1+")
        running_agent.backend.kill()

    record = await fleet.chat(
        fleet.router,
        WORKSPACE_KEY,
        MESSAGES,
        model=MODEL,
        max_tokens=1_000,
        on_event=change_other_engine_then_kill,
    )
    assert not record.is_whole
    assert record.problem["type"].endswith("answer_interrupted")
    digest = digest_request(MODEL, "", MESSAGES)
    assert record.text == make_expected_text(digest, "v1", len(record.events))
