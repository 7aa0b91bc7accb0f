"""Engine stand-in: texts, cache, streams and injected faults."""

import asyncio
import json

import pytest
from aiohttp import ClientConnectionError, ClientPayloadError
from aiohttp.test_utils import TestClient, TestServer

from bilberryspring.identifiers import digest_content
from bilberryspring.standin.engine import EngineSettings, make_engine_application
from bilberryspring.standin.engine_text import digest_request, make_expected_text

MESSAGES = [{"role": "user", "content": "compose the roll of ward seven"}]


class Engine:
    """Test client of an engine stand-in."""

    def __init__(self, client):
        self.client = client

    async def open_chat(self, messages=MESSAGES, request_id="r1", **fields):
        body = {"model": "model", "messages": messages, "stream": True, **fields}
        headers = {"X-Request-Id": request_id}
        return await self.client.post(
            "/v1/chat/completions", json=body, headers=headers
        )

    async def chat(self, messages=MESSAGES, request_id="r1", **fields):
        response = await self.open_chat(messages, request_id, **fields)
        assert response.status == 200, await response.text()
        return await read_events(response)

    async def post(self, path, message, status=200):
        response = await self.client.post(path, json=message)
        assert response.status == status, await response.text()
        return await response.json()

    async def get(self, path):
        return await (await self.client.get(path)).json()

    async def runs(self):
        return (await self.get("/standin/journal"))["runs"]


async def read_events(response):
    events = []
    async for line in response.content:
        if line.startswith(b"data: ") and b"[DONE]" not in line:
            events.append(json.loads(line[6:]))
    return events


def join_text(events):
    return "".join(each["choices"][0]["delta"]["content"] for each in events)


def make_expected_answer(messages, tokens, version="engine-1"):
    return make_expected_text(digest_request("model", "", messages), version, tokens)


async def make_engine(**settings_fields):
    settings = EngineSettings(
        **{"address": "127.0.0.1:1", "decode_interval_s": 0.001, **settings_fields}
    )
    server = TestServer(make_engine_application(settings))
    client = TestClient(server)
    await client.start_server()
    return Engine(client)


@pytest.fixture
async def engine():
    engine = await make_engine(load_lag_s=0, cache_event_lag_s=0)
    yield engine
    await engine.client.close()


async def test_stream_has_the_expected_text_and_usage_in_the_last_event(engine):
    events = await engine.chat(max_tokens=8)
    assert join_text(events) == make_expected_answer(MESSAGES, 8)
    assert [each["choices"][0]["finish_reason"] for each in events[:-1]] == [None] * 7
    assert events[-1]["choices"][0]["finish_reason"] == "length"
    assert events[-1]["usage"]["prompt_tokens"] == 6
    assert events[-1]["usage"]["completion_tokens"] == 8
    run = (await engine.runs())[0]
    assert (run["request_id"], run["tokens"], run["state"]) == ("r1", 8, "finished")
    assert run["text_digest"] == digest_content(
        make_expected_answer(MESSAGES, 8).encode()
    )


async def test_unstreamed_answer_has_the_same_text(engine):
    response = await engine.open_chat(max_tokens=5, stream=False)
    body = await response.json()
    assert body["choices"][0]["message"]["content"] == make_expected_answer(MESSAGES, 5)


async def test_continuation_generates_the_remaining_tokens(engine):
    text = make_expected_answer(MESSAGES, 3)
    events = await engine.chat(max_tokens=8, continue_from={"events": 3, "text": text})
    assert text + join_text(events) == make_expected_answer(MESSAGES, 8)
    assert (await engine.runs())[0]["first_token"] == 3


async def test_prompt_and_answer_of_a_finished_chat_are_cached(engine):
    answer = join_text(await engine.chat(max_tokens=8))
    follow_up = [{"role": "user", "content": "and ward eight"}]
    history = [*MESSAGES, {"role": "assistant", "content": answer.strip()}, *follow_up]
    events = await engine.chat(history, max_tokens=2)
    usage = events[-1]["usage"]
    assert usage["prompt_tokens"] == 6 + 8 + 3
    assert usage["prompt_tokens_details"]["cached_tokens"] == 6 + 8


async def test_cache_evicts_least_recently_used_prefixes_at_capacity():
    engine = await make_engine(cache_tokens=20, cache_event_lag_s=0)
    chats = [[{"role": "user", "content": f"chat{number} " * 9}] for number in range(3)]
    for chat in chats:
        await engine.chat(chat, max_tokens=1)
    events = (await engine.get("/v1/cache/events?after=0"))["events"]
    assert sum(each["kind"] == "evicted" for each in events) == 2
    assert [each["sequence"] for each in events] == list(range(1, len(events) + 1))
    again = await engine.chat(chats[0], max_tokens=1)
    assert again[-1]["usage"]["prompt_tokens_details"]["cached_tokens"] == 0
    cache = (await engine.get("/standin/journal"))["cache"]
    assert cache["used_tokens"] <= 20
    await engine.client.close()


async def test_lost_cache_events_leave_gaps_in_the_sequence():
    engine = await make_engine(cache_event_loss=0.5, cache_event_lag_s=0, seed=3)
    for number in range(20):
        await engine.chat([{"role": "user", "content": f"chat{number}"}], max_tokens=1)
    events = (await engine.get("/v1/cache/events?after=0"))["events"]
    assert 0 < len(events) < 40
    assert events[-1]["sequence"] > len(events)
    await engine.client.close()


async def test_delayed_cache_events_are_not_listed_yet():
    engine = await make_engine(cache_event_lag_s=600)
    await engine.chat(max_tokens=1)
    assert (await engine.get("/v1/cache/events?after=0"))["events"] == []
    await engine.client.close()


async def test_kv_cache_transfers_only_between_engines_of_one_version(engine):
    digest = (await engine.chat(max_tokens=4))[-1]["usage"]["prefix_digest"]
    export = await engine.post("/v1/kv/export", {"prefix_digest": digest})
    other = await make_engine()
    await other.post("/v1/kv/import", export)
    events = await other.chat(max_tokens=1)
    assert events[-1]["usage"]["prompt_tokens_details"]["cached_tokens"] == 6
    await other.post("/standin/faults", {"engine_version": "engine-2"})
    await other.post("/v1/kv/import", export, status=409)
    await engine.post("/v1/kv/export", {"prefix_digest": "missing"}, status=404)
    await other.client.close()


async def test_urgent_chats_start_first():
    engine = await make_engine(max_batch=1)
    blocker = await engine.open_chat(request_id="blocker", max_tokens=200)
    tasks = []
    for number, priority in enumerate([2, 1, 0]):
        chat = engine.chat(request_id=f"p{priority}", max_tokens=1, priority=priority)
        tasks.append(asyncio.create_task(chat))
        while len(await engine.runs()) < number + 2:
            await asyncio.sleep(0)
    await read_events(blocker)
    await asyncio.gather(*tasks)
    runs = sorted(await engine.runs(), key=lambda run: run["started_s"])
    assert [run["request_id"] for run in runs] == ["blocker", "p0", "p1", "p2"]
    await engine.client.close()


async def test_paused_stream_continues_after_resume(engine):
    response = await engine.open_chat(max_tokens=50)
    await response.content.readline()
    paused = await engine.post("/v1/streams/r1/pause", {})
    assert paused["state"] == "paused"
    assert (await engine.get("/v1/load"))["running"] == 0
    await engine.post("/v1/streams/r1/resume", {})
    rest = await response.content.read()
    assert rest.endswith(b"data: [DONE]\n\n")
    assert (await engine.runs())[0]["tokens"] == 50


async def test_resuming_a_running_stream_only_returns_its_state(engine):
    response = await engine.open_chat(max_tokens=200)
    await response.content.readline()
    report = await engine.post("/v1/streams/r1/resume", {})
    assert report["state"] == "running"
    assert (await response.content.read()).endswith(b"data: [DONE]\n\n")
    (run,) = await engine.runs()
    assert (run["tokens"], run["state"]) == (200, "finished")
    await engine.post("/v1/streams/r1/resume", {}, status=404)


async def test_cancelled_stream_ends_with_a_connection_error(engine):
    response = await engine.open_chat(max_tokens=5000)
    await response.content.readline()
    await engine.post("/v1/streams/r1/cancel", {})
    with pytest.raises((ClientPayloadError, ClientConnectionError)):
        await response.content.read()
    assert (await engine.runs())[0]["state"] == "cancelled"
    await engine.post("/v1/streams/r1/cancel", {}, status=404)


async def test_run_is_cancelled_when_its_client_disconnects(engine):
    response = await engine.open_chat(max_tokens=1_000_000)
    response.close()
    while (await engine.runs())[0]["finished_s"] is None:
        await asyncio.sleep(0.01)
    assert (await engine.runs())[0]["state"] == "cancelled"


async def test_reported_load_lags():
    engine = await make_engine(load_lag_s=600)
    response = await engine.open_chat(max_tokens=5000)
    await response.content.readline()
    assert (await engine.get("/v1/load"))["unfinished_tokens"] == 0
    assert len((await engine.get("/standin/inflight"))["runs"]) == 1
    samples = (await engine.get("/standin/journal"))["samples"]
    assert samples[-1][1] == 1
    response.close()
    await engine.client.close()


ORDER = {"order": "load_adapter", "target": "summons"}


@pytest.mark.parametrize("checks_fencing, status", [(True, 409), (False, 200)])
async def test_stale_order_is_refused_only_if_fencing_is_checked(
    checks_fencing, status
):
    engine = await make_engine(checks_fencing=checks_fencing)
    await engine.post("/v1/orders", {**ORDER, "fencing": 5})
    await engine.post("/v1/orders", {**ORDER, "target": "old", "fencing": 4}, status)
    adapters = (await engine.get("/v1/version"))["adapters"]
    assert ("old" in adapters) is not checks_fencing
    orders = (await engine.get("/standin/journal"))["orders"]
    assert [each["accepted"] for each in orders] == [True, not checks_fencing]
    await engine.client.close()


@pytest.mark.parametrize("report_version", [True, False])
async def test_unannounced_version_change_changes_the_text(engine, report_version):
    faults = {"engine_version": "engine-2", "report_version": report_version}
    await engine.post("/standin/faults", faults)
    assert join_text(await engine.chat(max_tokens=4)) == make_expected_answer(
        MESSAGES, 4, "engine-2"
    )
    reported = (await engine.get("/v1/version"))["engine_version"]
    assert reported == ("engine-2" if report_version else "engine-1")
    response = await engine.open_chat(engine_version="engine-1")
    assert response.status == 409


async def test_refuse_and_cut_faults_apply_to_one_chat_each(engine):
    await engine.post("/standin/faults", {"refuse_next": 1, "cut_after_events": 3})
    assert (await engine.open_chat()).status == 503
    assert await engine.runs() == []
    response = await engine.open_chat(max_tokens=9)
    with pytest.raises((ClientPayloadError, ClientConnectionError)):
        await response.content.read()
    assert len(await engine.chat(max_tokens=9)) == 9


INVALID_CHATS = [
    (b"{", 400),
    (b"[]", 400),
    (b'{"model": "model"}', 400),
    (b'{"model": "model", "messages": []}', 400),
    (b'{"model": "model", "messages": [{"role": "x", "content": ""}]}', 400),
    (b'{"model": "none", "messages": [{"role": "user", "content": ""}]}', 404),
    (
        b'{"model": "model", "messages": [{"role": "user", "content": ""}],'
        b' "continue_from": {"events": 1, "text": "other "}}',
        409,
    ),
]


@pytest.mark.parametrize("body, status", INVALID_CHATS)
async def test_invalid_chat_gets_an_error_and_does_not_run(engine, body, status):
    response = await engine.client.post("/v1/chat/completions", data=body)
    assert response.status == status
    assert (await response.json())["error"]["message"]
    assert await engine.runs() == []


INVALID_CALLS = [
    ("/v1/orders", {"order": "sing", "target": "x", "fencing": 1}),
    ("/v1/orders", {"order": "set_role", "target": "x"}),
    ("/v1/kv/import", {"engine_version": "engine-1", "prefixes": []}),
    ("/v1/kv/export", {}),
    ("/standin/faults", {"colour": 1}),
]


@pytest.mark.parametrize("path, message", INVALID_CALLS)
async def test_invalid_call_gets_an_error(engine, path, message):
    answer = await engine.post(path, message, status=400)
    assert answer["error"]["message"]
