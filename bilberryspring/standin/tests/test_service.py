"""Service stand-in: journal and injected faults."""

import asyncio

import pytest
from aiohttp import ClientConnectionError
from aiohttp.test_utils import TestClient, TestServer

from bilberryspring.identifiers import digest_content
from bilberryspring.standin.service import ServiceSettings, make_service_application


@pytest.fixture
async def client():
    settings = ServiceSettings(address="127.0.0.1:1", service_time_s=0)
    server = TestServer(make_service_application(settings))
    async with TestClient(server) as client:
        yield client


async def read_runs(client):
    return (await (await client.get("/standin/journal")).json())["runs"]


@pytest.mark.parametrize("method", ["GET", "POST", "PUT", "PATCH", "DELETE"])
async def test_each_call_is_answered_and_journalled(client, method):
    headers = {"Idempotency-Key": "k1", "X-Request-Id": "r1"}
    path = "/orders/7?copy=2"
    response = await client.request(method, path, data=b"roll", headers=headers)
    digest = digest_content(b"roll")
    assert await response.json() == {"recorded": 1, "echo_digest": digest}
    (run,) = await read_runs(client)
    assert (run["method"], run["path"]) == (method, path)
    assert (run["idempotency_key"], run["request_id"]) == ("k1", "r1")
    assert run["body_digest"] == digest
    assert run["received_s"] <= run["started_s"] <= run["finished_s"]


async def test_service_runs_each_call_with_the_same_idempotency_key(client):
    for _ in range(2):
        await client.post("/orders", headers={"Idempotency-Key": "k1"})
    assert len(await read_runs(client)) == 2


async def test_every_concurrent_call_is_journalled(client):
    request_ids = [f"r{number}" for number in range(50)]
    responses = await asyncio.gather(
        *(
            client.post("/orders", headers={"X-Request-Id": request_id})
            for request_id in request_ids
        )
    )
    assert {response.status for response in responses} == {200}
    runs = await read_runs(client)
    assert sorted(run["request_id"] for run in runs) == sorted(request_ids)
    assert sorted(run["number"] for run in runs) == list(range(1, 51))


FAULTS = [
    ({"refuse_next": 1}, 503, 0),
    ({"fail_next": 1}, 500, 1),
    ({"cut_next": 1}, None, 1),
]


@pytest.mark.parametrize("faults, status, runs", FAULTS)
async def test_faults_determine_the_response_and_whether_the_call_runs(
    client, faults, status, runs
):
    await client.post("/standin/faults", json=faults)
    if status is None:
        with pytest.raises(ClientConnectionError):
            await client.post("/orders")
    else:
        assert (await client.post("/orders")).status == status
    assert len(await read_runs(client)) == runs


async def test_call_runs_to_its_end_when_its_client_disconnects(client):
    await client.post("/standin/faults", json={"service_time_s": 0.2})
    call = asyncio.create_task(client.post("/orders"))
    while not await read_runs(client):
        await asyncio.sleep(0.005)
    call.cancel()
    while (await read_runs(client))[0]["finished_s"] is None:
        await asyncio.sleep(0.02)


async def test_truncated_body_does_not_run(client):
    host, port = client.host, client.port
    _, writer = await asyncio.open_connection(host, port)
    writer.write(b"POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nroll")
    await writer.drain()
    writer.close()
    await writer.wait_closed()
    assert (await client.post("/orders")).status == 200
    assert len(await read_runs(client)) == 1


async def test_journal_file_survives_a_restart(tmp_path):
    settings = ServiceSettings(
        address="127.0.0.1:1", journal_path=str(tmp_path / "journal")
    )
    for expected in (1, 2):
        server = TestServer(make_service_application(settings))
        async with TestClient(server) as client:
            answer = await (await client.post("/orders")).json()
            assert answer["recorded"] == expected
