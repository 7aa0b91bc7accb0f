"""Tests of the administration API and the operator program with real processes."""

import asyncio
import json
from pathlib import Path

import pytest
from cleo.testers.application_tester import ApplicationTester

from bilberryspring.process.operator import make_operator_program
from bilberryspring.standin.fleet import FLEET_SECRET, OPERATOR_KEY, make_fleet

EXAMPLE_DOCUMENT = Path(__file__).parents[2] / "examples" / "printing-works.json"
INVALID_DOCUMENT = (
    b'{"pools": [{"name": "p", "kind": "x"}], "adapters": [{"name": "a"}]}'
)
WRONG_KEYS = [None, "", "Bearer", "Bearer x", "Bearer " + FLEET_SECRET, "Basic eDp4"]
ENDPOINTS = [
    ("GET", "/v1/status"),
    ("GET", "/v1/configuration"),
    ("PUT", "/v1/configuration"),
    ("POST", "/v1/instances/agent-2/drain"),
    ("GET", "/v1/none"),
    ("DELETE", "/v1/configuration"),
]
MALFORMED_REQUESTS = [
    ("PUT", "/v1/configuration", b"{}", {}, 400),
    ("PUT", "/v1/configuration", b"{}", {"If-Match": "x"}, 400),
    ("PUT", "/v1/configuration", INVALID_DOCUMENT, {"If-Match": "1"}, 422),
    ("PUT", "/v1/configuration", b"{", {"If-Match": "1"}, 422),
    ("PUT", "/v1/configuration", b" " * 1_500_000, {"If-Match": "1"}, 422),
    ("PUT", "/v1/configuration", b" " * 3_000_000, {"If-Match": "1"}, 413),
    ("PUT", "/v1/configuration", b"{}", {"If-Match": "0"}, 409),
    ("PUT", "/v1/configuration", b"{}", {"If-Match": "7"}, 409),
    ("GET", "/v1/configuration/versions/9", b"", {}, 404),
    ("GET", "/v1/configuration/history?limit=x", b"", {}, 400),
    ("POST", "/v1/instances/none/drain", b"", {}, 400),
    ("POST", "/v1/explain-placement", b"[]", {}, 400),
    ("POST", "/v1/explain-placement", b'{"workspace": "x", "chat": {}}', {}, 400),
    ("GET", "/v1/none", b"", {}, 404),
]


@pytest.fixture
async def fleet(tmp_path):
    async with make_fleet(tmp_path) as fleet:
        await fleet.start_platform()
        await fleet.publish(EXAMPLE_DOCUMENT.read_bytes())
        nodes = [
            await fleet.add_router("cankaya"),
            await fleet.add_engine("roll-writer", "yenimahalle"),
            await fleet.add_service("print-order-desk", "kecioren"),
        ]
        await fleet.wait_ready(*nodes)
        yield fleet


async def call_api(fleet, method, path, body=b"", headers=None, node="router-1"):
    address = fleet.nodes[node].administration_address
    sent_headers = {"Authorization": f"Bearer {OPERATOR_KEY}"} | (headers or {})
    sent_headers = {name: value for name, value in sent_headers.items() if value}
    async with fleet.session.request(
        method, f"http://{address}{path}", data=body, headers=sent_headers
    ) as reply:
        return reply.status, await reply.read()


async def test_a_wrong_key_learns_nothing(fleet):
    answers = set()
    for key in WRONG_KEYS:
        for method, path in ENDPOINTS:
            answers.add(
                await call_api(fleet, method, path, headers={"Authorization": key})
            )
    assert {status for status, _ in answers} == {401}
    assert len(answers) == 1
    for key in (None, f"Bearer {OPERATOR_KEY}"):
        headers = {"Authorization": key}
        status, _ = await call_api(fleet, "GET", "/v1/state", b"", headers, "agent-2")
        assert status == 401
    for path in ("/healthz", "/metrics"):
        assert (await call_api(fleet, "GET", path, headers={"Authorization": None}))[
            0
        ] == 200


async def test_malformed_calls_are_explained_and_change_nothing(fleet):
    for method, path, body, headers, expected in MALFORMED_REQUESTS:
        status, answer = await call_api(fleet, method, path, body, headers)
        assert status == expected, (path, answer)
        problem = json.loads(answer)
        assert problem["detail"]
    status, answer = await call_api(
        fleet, "PUT", "/v1/configuration", INVALID_DOCUMENT, {"If-Match": "1"}
    )
    faults = json.loads(answer)["faults"]
    paths = {fault["path"] for fault in faults}
    assert paths == {"pools[0].kind", "adapters[0].model"}
    _, answer = await call_api(fleet, "GET", "/v1/status")
    status = json.loads(answer)
    assert {node["state"]["configuration_version"] for node in status["nodes"]} == {1}
    fleet_headers = {"Authorization": f"Bearer {FLEET_SECRET}"}
    _, state = await call_api(fleet, "GET", "/v1/state", b"", fleet_headers, "agent-2")
    assert json.loads(state)["configuration_version"] == 1


def run_operator_program(arguments):
    tester = ApplicationTester(make_operator_program())
    code = tester.execute(arguments)
    return code, tester.io.fetch_output() + tester.io.fetch_error()


async def test_the_operators_program_publishes_explains_and_drains(fleet, tmp_path):
    async def run_command(command):
        return await asyncio.to_thread(
            run_operator_program, f"{command} --settings {settings}"
        )

    settings = tmp_path / "operator.json"
    address = fleet.nodes["router-1"].administration_address
    settings.write_text(
        json.dumps(
            {
                "administration_addresses": ["127.0.0.1:1", address],
                "operator_key": OPERATOR_KEY,
            }
        )
    )
    changed = tmp_path / "changed.json"
    text = EXAMPLE_DOCUMENT.read_text(encoding="utf-8")
    changed.write_text(text.replace('"load_floor": 8', '"load_floor": 9'))
    chat = tmp_path / "chat.json"
    body = {"model": "chat", "messages": [{"role": "user", "content": "roll"}]}
    chat.write_text(json.dumps(body))

    code, output = await run_command(f"diff {changed}")
    assert code == 0, output
    expected = "~ pools/print-order-desk (load_floor: 8.0 -> 9.0)"
    assert output.splitlines() == ["base version: 1", expected]
    code, output = await run_command(f"publish {changed} --base 1 --wait")
    assert (code, output.splitlines()) == (
        0,
        ["accepted as version 2", "in force at 3 nodes"],
    )
    code, output = await run_command(f"publish {changed} --base 1")
    assert code == 4, output
    assert "version 2 by operator is accepted" in output
    code, output = await run_command("history")
    assert code == 0, output
    assert "pools 1 changed 0 removed" in output
    code, output = await run_command(f"explain-placement order-desk {chat}")
    assert code == 1, output
    assert "may not use the route" in output
    code, output = await run_command(f"explain-placement jury-panels {chat}")
    assert code == 0, output
    assert "1      agent-2   yenimahalle" in output
    code, output = await run_command("drain agent-2")
    assert code == 0, output
    code, output = await run_command("status")
    assert code == 0, output
    lines = {line.split()[0]: line for line in output.splitlines()}
    assert lines["agent-2"].endswith("draining")
    assert lines["agent-3"].endswith("live")
