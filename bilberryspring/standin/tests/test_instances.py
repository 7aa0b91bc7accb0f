"""Instance list stand-in."""

import pytest
from aiohttp import ClientConnectionError
from aiohttp.test_utils import TestClient, TestServer

from bilberryspring.standin.instances import (
    InstanceListSettings,
    make_instance_list_application,
)

INSTANCE = {
    "instance_id": "agent-1",
    "role": "agent",
    "pool": "roll_writer",
    "availability_zone": "cankaya",
    "region": "ankara",
    "address": "127.0.0.1:7000",
}


@pytest.fixture
async def client():
    settings = InstanceListSettings(address="127.0.0.1:1")
    server = TestServer(make_instance_list_application(settings))
    async with TestClient(server) as client:
        yield client


async def test_unchanged_revision_gets_not_modified(client):
    await client.put("/standin/instances", json={"instances": [INSTANCE]})
    response = await client.get("/v1/instances")
    body = await response.json()
    assert body["instances"] == [INSTANCE | {"state": "live", "weight": 1.0}]
    entity_tag = response.headers["ETag"]
    assert entity_tag == f'"{body["revision"]}"'
    conditional_response = await client.get(
        "/v1/instances", headers={"If-None-Match": entity_tag}
    )
    assert conditional_response.status == 304


async def test_change_is_visible_only_after_its_lag(client):
    await client.put("/standin/instances", json={"instances": [INSTANCE]})
    await client.put("/standin/instances", json={"instances": [], "lag_s": 600})
    body = await (await client.get("/v1/instances")).json()
    assert len(body["instances"]) == 1


async def test_outage_resets_connections(client):
    await client.post("/standin/faults", json={"outage": True})
    with pytest.raises(ClientConnectionError):
        await client.get("/v1/instances")
    await client.post("/standin/faults", json={})
    assert (await client.get("/v1/instances")).status == 200


INVALID_LISTS = [
    b"{",
    b"[]",
    b'{"instances": [{}]}',
    b'{"instances": [], "colour": 1}',
    b'{"instances": [], "lag_s": -1}',
]


@pytest.mark.parametrize("body", INVALID_LISTS)
async def test_invalid_list_changes_nothing(client, body):
    before = await (await client.get("/v1/instances")).json()
    response = await client.put("/standin/instances", data=body)
    assert response.status == 400
    assert await (await client.get("/v1/instances")).json() == before
