"""Invalid input gets an error of a documented kind, and no process stops.

Guards against invalid requests and raw bytes that reach a backend server, end a process
or leave an unhandled exception in its log.
"""

import asyncio
import json

import pytest

from bilberryspring.process.settings import split_address
from bilberryspring.standin.fleet import make_fleet
from bilberryspring.tests.documents import (
    ENGINE_POOL,
    MODEL,
    SERVICE_POOL,
    WORKSPACE_KEY,
    make_document,
)

MAX_BODY_BYTES = 100_000
CHAT_PATH = "/v1/chat/completions"
VALID_CHAT = {"model": MODEL, "messages": [{"role": "user", "content": "spell"}]}
# A refusal waits for nothing, so this only covers the time that a busy machine needs to
# read and answer a request.
REFUSAL_LIMIT_S = 2.0

INVALID_REQUESTS = {
    "not JSON": (CHAT_PATH, b"{", {}, 400, "malformed_request"),
    "not an object": (CHAT_PATH, b"[1]", {}, 400, "malformed_request"),
    "deep JSON": (CHAT_PATH, b"[" * 40_000, {}, 400, "malformed_request"),
    "no model": (CHAT_PATH, b'{"messages": []}', {}, 400, "malformed_request"),
    "no messages": (CHAT_PATH, {"model": MODEL}, {}, 400, "malformed_request"),
    "message without role": (
        CHAT_PATH,
        VALID_CHAT | {"messages": [{"content": "x"}]},
        {},
        400,
        "malformed_request",
    ),
    "content not a text": (
        CHAT_PATH,
        VALID_CHAT | {"messages": [{"role": "user", "content": 7}]},
        {},
        400,
        "malformed_request",
    ),
    "negative tokens": (
        CHAT_PATH,
        VALID_CHAT | {"max_tokens": -1},
        {},
        400,
        "malformed_request",
    ),
    "tokens beyond a frame": (
        CHAT_PATH,
        VALID_CHAT | {"max_tokens": 1 << 32},
        {},
        400,
        "malformed_request",
    ),
    "half of a character": (
        CHAT_PATH,
        VALID_CHAT | {"messages": [{"role": "user", "content": "\ud800"}]},
        {},
        400,
        "malformed_request",
    ),
    "tokens not a number": (
        CHAT_PATH,
        VALID_CHAT | {"max_tokens": True},
        {},
        400,
        "malformed_request",
    ),
    "stream not a boolean": (
        CHAT_PATH,
        VALID_CHAT | {"stream": 3},
        {},
        400,
        "malformed_request",
    ),
    "unknown model": (
        CHAT_PATH,
        VALID_CHAT | {"model": "none"},
        {},
        404,
        "unknown_route",
    ),
    "service route as model": (
        CHAT_PATH,
        VALID_CHAT | {"model": "orders"},
        {},
        404,
        "unknown_route",
    ),
    "too large": (CHAT_PATH, b"x" * (MAX_BODY_BYTES + 1), {}, 413, "request_too_large"),
    "unknown rank": (
        CHAT_PATH,
        VALID_CHAT,
        {"X-Work-Rank": "now"},
        400,
        "malformed_request",
    ),
    "long request id": (
        CHAT_PATH,
        VALID_CHAT,
        {"X-Request-Id": "x" * 257},
        400,
        "malformed",
    ),
    "bad event id": (
        CHAT_PATH,
        VALID_CHAT,
        {"Last-Event-ID": "x"},
        400,
        "malformed_request",
    ),
    "event id of nobody": (
        CHAT_PATH,
        VALID_CHAT,
        {"Last-Event-ID": "a/b/1"},
        410,
        "unknown_ans",
    ),
    "no key": (CHAT_PATH, VALID_CHAT, {"Authorization": ""}, 401, "unauthenticated"),
    "wrong key": (
        CHAT_PATH,
        VALID_CHAT,
        {"Authorization": "Bearer x"},
        401,
        "unauthenticated",
    ),
    "wrong scheme": (
        CHAT_PATH,
        VALID_CHAT,
        {"Authorization": f"Basic {WORKSPACE_KEY}"},
        401,
        "unauth",
    ),
    "unknown route": ("/services/none/x", b"", {}, 404, "unknown_route"),
    "engine route as service": ("/services/chat/x", b"", {}, 404, "unknown_route"),
    "wrong method": ("/services/status/x", b"", {}, 403, "forbidden"),
    "unknown path": ("/v2/chat", b"", {}, 404, "unknown_route"),
    "bad idempotency key": (
        "/services/orders/x",
        b"",
        {"Idempotency-Key": "order-1"},
        400,
        "invalid_idempotency_key",
    ),
}


@pytest.fixture
async def fleet(tmp_path):
    async with make_fleet(tmp_path) as fleet:
        await fleet.start_platform()
        await fleet.publish(make_document())
        fleet.engine = await fleet.add_engine(ENGINE_POOL, "zone-1", models=[MODEL])
        fleet.service = await fleet.add_service(SERVICE_POOL, "zone-1")
        fleet.router = await fleet.add_router("zone-1", max_body_bytes=MAX_BODY_BYTES)
        await fleet.wait_ready(fleet.engine, fleet.service, fleet.router)
        yield fleet


async def post(fleet, path, body, headers):
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    async with fleet.session.post(
        f"http://{fleet.router.caller_address}{path}",
        data=data,
        headers={"Authorization": f"Bearer {WORKSPACE_KEY}"} | headers,
    ) as response:
        return response.status, await response.json(content_type=None)


async def assert_serving(fleet):
    for node in (fleet.engine, fleet.service, fleet.router):
        assert node.process.is_running
        log = node.process.read_log()
        assert "ERROR" not in log
        assert "Traceback" not in log
    status, completion = await post(
        fleet, CHAT_PATH, VALID_CHAT | {"max_tokens": 3}, {}
    )
    assert status == 200, completion
    assert completion["choices"][0]["message"]["content"]


async def test_each_fault_has_its_answer_at_once_and_reaches_no_backend(fleet):
    loop = asyncio.get_running_loop()
    for name, (path, body, headers, status, error_kind) in INVALID_REQUESTS.items():
        started_s = loop.time()
        received_status, problem = await post(fleet, path, body, headers)
        assert loop.time() - started_s < REFUSAL_LIMIT_S, name
        assert received_status == status, (name, problem)
        assert problem["type"].startswith(f"urn:bilberryspring:error:{error_kind}"), (
            name
        )
        assert problem["status"] == status and problem["detail"], name
        assert problem["outcome"] == ("unknown" if status == 410 else "not_run"), name
    assert fleet.read_runs(fleet.engine) == []
    assert fleet.read_runs(fleet.service) == []
    await assert_serving(fleet)


async def test_a_wrong_key_learns_nothing_about_routes(fleet):
    headers = {"Authorization": "Bearer wrong"}
    answers = [
        await post(fleet, path, b"{}", headers)
        for path in (CHAT_PATH, "/services/orders/x", "/services/none/x")
    ]
    assert answers[0] == answers[1] == answers[2]


@pytest.mark.parametrize("path", [CHAT_PATH, "/services/orders/x"])
@pytest.mark.parametrize("name", ["X-Chat-Key", "Idempotency-Key", "Content-Type"])
async def test_a_header_that_is_no_text_is_refused(fleet, path, name):
    body = json.dumps(VALID_CHAT).encode()
    request_head = (
        f"POST {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        f"Authorization: Bearer {WORKSPACE_KEY}\r\n"
        f"Content-Length: {len(body)}\r\n{name}: "
    )
    address = split_address(fleet.router.caller_address)
    reader, writer = await asyncio.open_connection(*address)
    writer.write(request_head.encode() + b"a\xff\xfe\r\n\r\n" + body)
    answer = await asyncio.wait_for(reader.read(), REFUSAL_LIMIT_S)
    writer.close()
    assert answer.startswith(b"HTTP/1.1 400 "), answer
    problem = json.loads(answer.partition(b"\r\n\r\n")[2])
    assert problem["type"] == "urn:bilberryspring:error:malformed_request"
    assert problem["outcome"] == "not_run"
    assert fleet.read_runs(fleet.engine) == fleet.read_runs(fleet.service) == []
    await assert_serving(fleet)


RAW_INPUTS = {
    "truncated body": (
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
        + WORKSPACE_KEY.encode()
        + b'\r\nContent-Length: 500\r\n\r\n{"model"'
    ),
    "not HTTP": b"\x00\x01\x02\xff" * 50,
    "bad length": b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n",
    "long header": b"GET / HTTP/1.1\r\nX: " + b"y" * 70_000 + b"\r\n\r\n",
    "frame too long": b"\xff\xff\xff\xff" + b"z" * 100,
    "frame of zeros": b"\x08\x00\x00\x00" + b"\x00" * 8,
    "frame of noise": b"\x10\x00\x00\x00" + b"\xff" * 16,
    "half a frame": b"\x40\x00\x00\x00abc",
    "nothing": b"",
}


@pytest.mark.parametrize("port", ["caller", "administration", "peer"])
async def test_raw_bytes_at_each_port_stop_no_process(fleet, port):
    addresses = {
        "caller": [fleet.router.caller_address],
        "administration": [
            fleet.router.administration_address,
            fleet.engine.administration_address,
        ],
        "peer": [fleet.router.entry["address"], fleet.engine.entry["address"]],
    }
    for address in addresses[port]:
        for data in RAW_INPUTS.values():
            _, writer = await asyncio.open_connection(*split_address(address))
            writer.write(data)
            await writer.drain()
            writer.close()
    await assert_serving(fleet)
    assert [run["request_id"] for run in fleet.read_runs(fleet.service)] == []
