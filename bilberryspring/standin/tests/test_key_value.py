"""Key-value stand-in behind its JSON interface, which follows that of etcd."""

import base64
import json

import pytest
from aiohttp import ClientConnectionError
from aiohttp.test_utils import TestClient, TestServer

from bilberryspring.standin.key_value import (
    KeyValueSettings,
    make_key_value_application,
)


def encode(text):
    return base64.b64encode(text.encode()).decode()


def make_put_request(key, value, **fields):
    return {"key": encode(key), "value": encode(value), **fields}


def make_absence_condition(key):
    return {"key": encode(key), "target": "CREATE", "create_revision": "0"}


def make_create_transaction(key, value):
    return {
        "compare": [make_absence_condition(key)],
        "success": [{"request_put": make_put_request(key, value)}],
        "failure": [{"request_range": {"key": encode(key)}}],
    }


@pytest.fixture
async def client():
    settings = KeyValueSettings(
        address="127.0.0.1:1", writes_per_s=1000, reads_per_s=1000
    )
    server = TestServer(make_key_value_application(settings))
    async with TestClient(server) as client:
        yield client


async def call(client, path, message, status=200):
    response = await client.post(path, json=message)
    assert response.status == status, await response.text()
    return await response.json()


async def read_values(client, key):
    answer = await call(client, "/v3/kv/range", {"key": encode(key)})
    return [base64.b64decode(each["value"]).decode() for each in answer.get("kvs", [])]


async def test_revisions_and_versions_increase_as_in_etcd(client):
    await call(client, "/v3/kv/put", make_put_request("a", "1"))
    answer = await call(client, "/v3/kv/put", make_put_request("a", "2", prev_kv=True))
    assert answer["prev_kv"]["value"] == encode("1")
    range_response = await call(client, "/v3/kv/range", {"key": encode("a")})
    stored = range_response["kvs"][0]
    assert range_response["count"] == "1"
    assert (stored["create_revision"], stored["mod_revision"]) == ("2", "3")
    assert stored["version"] == "2"
    delete_response = await call(client, "/v3/kv/deleterange", {"key": encode("a")})
    assert delete_response["deleted"] == "1"
    assert "kvs" not in await call(client, "/v3/kv/range", {"key": encode("a")})


async def test_range_selects_a_prefix_and_applies_the_limit(client):
    for key in ("p/1", "p/2", "p/3", "q"):
        await call(client, "/v3/kv/put", make_put_request(key, key))
    # "0" follows "/" in ASCII, so this range contains every key with the prefix "p/".
    message = {"key": encode("p/"), "range_end": encode("p0"), "limit": "2"}
    answer = await call(client, "/v3/kv/range", message)
    assert [each["key"] for each in answer["kvs"]] == [encode("p/1"), encode("p/2")]
    # The count is that of all keys in the range, whatever the limit.
    assert (answer["count"], answer["more"]) == ("3", True)


async def test_create_only_transaction_succeeds_once(client):
    first = await call(client, "/v3/kv/txn", make_create_transaction("claim", "one"))
    second = await call(client, "/v3/kv/txn", make_create_transaction("claim", "two"))
    assert first["succeeded"] is True
    assert "succeeded" not in second
    range_response = second["responses"][0]["response_range"]["kvs"][0]
    assert range_response["value"] == encode("one")


async def test_nested_conditions_are_evaluated_before_any_effect(client):
    nested = [
        {"request_txn": make_create_transaction("a", "1")},
        {"request_txn": make_create_transaction("b", "1")},
    ]
    answer = await call(client, "/v3/kv/txn", {"success": nested})
    inner = [each["response_txn"]["succeeded"] for each in answer["responses"]]
    assert inner == [True, True]
    answer = await call(client, "/v3/kv/txn", {"success": nested})
    assert all("succeeded" not in each["response_txn"] for each in answer["responses"])


COMPARISONS = [
    ({"target": "VALUE", "value": encode("1")}, True),
    ({"target": "VALUE", "value": encode("2")}, False),
    ({"target": "MOD", "mod_revision": "2"}, True),
    ({"target": "MOD", "result": "LESS", "mod_revision": "2"}, False),
    ({"target": "VERSION", "result": "GREATER", "version": 0}, True),
    ({"target": "CREATE", "result": "NOT_EQUAL", "create_revision": "0"}, True),
]


@pytest.mark.parametrize("compare, holds", COMPARISONS)
async def test_comparison_decides_whether_a_transaction_succeeds(
    client, compare, holds
):
    await call(client, "/v3/kv/put", make_put_request("a", "1"))
    message = {"compare": [{"key": encode("a"), **compare}]}
    answer = await call(client, "/v3/kv/txn", message)
    assert answer.get("succeeded", False) is holds


INVALID_CALLS = [
    ("/v3/kv/range", {}, 400),
    ("/v3/kv/range", {"key": "!"}, 400),
    ("/v3/kv/put", {"key": encode("a"), "colour": 1}, 400),
    ("/v3/kv/put", make_put_request("a", "x" * 1_000_001), 400),
    ("/v3/kv/put", make_put_request("a", "x" * 2_000_001), 400),
    ("/v3/kv/put", make_put_request("a", "1", lease="5"), 404),
    ("/v3/kv/txn", {"success": [{"request_put": make_put_request("a", "1")}] * 2}, 400),
    ("/v3/kv/txn", {"success": [{"request_range": {"key": "YQ=="}}] * 129}, 400),
    ("/v3/kv/txn", {"success": [{}]}, 400),
    ("/v3/lease/grant", {"TTL": "0"}, 400),
    ("/v3/lease/revoke", {"ID": "9"}, 404),
    ("/v3/watch", {}, 400),
]


@pytest.mark.parametrize("path, message, status", INVALID_CALLS)
async def test_invalid_calls_change_nothing(client, path, message, status):
    answer = await call(client, path, message, status)
    assert answer["message"]
    assert await read_values(client, "a") == []


@pytest.mark.parametrize("body", [b"{", b"[]", b"\xff", b'{"key": "YQ=='])
async def test_malformed_bodies_get_an_error(client, body):
    response = await client.post("/v3/kv/put", data=body)
    assert response.status == 400
    assert (await response.json())["code"] == 3


async def test_keys_are_deleted_with_their_lease(client):
    grant_response = await call(client, "/v3/lease/grant", {"TTL": "60"})
    await call(
        client, "/v3/kv/put", make_put_request("a", "1", lease=grant_response["ID"])
    )
    keep_alive_response = await call(
        client, "/v3/lease/keepalive", {"ID": grant_response["ID"]}
    )
    assert keep_alive_response["result"]["TTL"] == "60"
    faults = {"drop_lease": int(grant_response["ID"])}
    await call(client, "/standin/faults", faults)
    assert await read_values(client, "a") == []
    keep_alive_response = await call(
        client, "/v3/lease/keepalive", {"ID": grant_response["ID"]}
    )
    assert "TTL" not in keep_alive_response["result"]


async def test_expiry_of_a_lease_deletes_its_keys(client):
    grant_response = await call(client, "/v3/lease/grant", {"TTL": "1"})
    await call(
        client, "/v3/kv/put", make_put_request("a", "1", lease=grant_response["ID"])
    )
    watch = {"key": encode("a"), "start_revision": "3"}
    response = await client.post("/v3/watch", json={"create_request": watch})
    assert json.loads(await response.content.readline())["result"]["created"]
    event = json.loads(await response.content.readline())["result"]["events"][0]
    assert event["type"] == "DELETE"
    assert await read_values(client, "a") == []


async def test_watch_delivers_past_and_then_new_events(client):
    await call(client, "/v3/kv/put", make_put_request("p/1", "1"))
    watch = {"key": encode("p/"), "range_end": encode("p0"), "start_revision": "2"}
    response = await client.post("/v3/watch", json={"create_request": watch})
    await response.content.readline()
    await call(client, "/v3/kv/put", make_put_request("other", "x"))
    await call(client, "/v3/kv/put", make_put_request("p/2", "2"))
    for key in ("p/1", "p/2"):
        result = json.loads(await response.content.readline())["result"]
        assert result["events"][0]["kv"]["key"] == encode(key)
    calls = await (await client.get("/standin/calls")).json()
    assert calls["watches_open"] == 1


EFFECT_FAULTS = [
    ({"outage": True}, False),
    ({"unavailable": True}, False),
    ({"lose_replies": 1}, True),
    ({"lose_replies": 1, "reply_prefix": "other"}, True),
]


@pytest.mark.parametrize("faults, applied", EFFECT_FAULTS)
async def test_faults_before_or_after_the_effect_of_a_write(client, faults, applied):
    await call(client, "/standin/faults", faults)
    try:
        response = await client.post("/v3/kv/put", json=make_put_request("a", "1"))
        answered = response.status == 200
    except ClientConnectionError:
        answered = False
    assert answered is ("reply_prefix" in faults)
    await call(client, "/standin/faults", {})
    assert (await read_values(client, "a") == ["1"]) is applied


async def test_calls_above_the_rate_limit_are_refused():
    settings = KeyValueSettings(address="127.0.0.1:1", writes_per_s=5, reads_per_s=5)
    async with TestClient(TestServer(make_key_value_application(settings))) as client:
        statuses = []
        for _ in range(50):
            response = await client.post("/v3/kv/put", json=make_put_request("a", "1"))
            statuses.append(response.status)
        calls = await (await client.get("/standin/calls")).json()
    assert statuses[:5] == [200] * 5
    assert 429 in statuses
    assert calls["writes"] == 50
    assert calls["refused"] == statuses.count(429)


async def test_restored_store_gives_revisions_and_leases_out_again(client):
    assert (await client.post("/standin/restore")).status == 409
    await call(client, "/v3/kv/put", make_put_request("kept", "1"))
    assert (await client.post("/standin/copy")).status == 200
    before = await call(client, "/v3/kv/put", make_put_request("lost", "1"))
    lease = await call(client, "/v3/lease/grant", {"TTL": "60", "ID": "0"})
    assert (await client.post("/standin/restore")).status == 200
    assert await read_values(client, "kept") == ["1"]
    assert await read_values(client, "lost") == []
    after = await call(client, "/v3/kv/put", make_put_request("other", "1"))
    assert after["header"]["revision"] == before["header"]["revision"]
    assert after["header"]["cluster_id"] != before["header"]["cluster_id"]
    again = await call(client, "/v3/lease/grant", {"TTL": "60", "ID": "0"})
    assert again["ID"] == lease["ID"]


async def test_restored_store_reports_only_changes_from_the_revision_of_a_watch(client):
    await client.post("/standin/copy")
    for number in range(3):
        await call(client, "/v3/kv/put", make_put_request("a", str(number)))
    await client.post("/standin/restore")
    watch = {"create_request": {"key": encode("a"), "start_revision": "4"}}
    async with client.post("/v3/watch", json=watch) as stream:
        await stream.content.readline()
        for number in range(3):
            await call(client, "/v3/kv/put", make_put_request("a", f"new {number}"))
        [event] = json.loads(await stream.content.readline())["result"]["events"]
    assert event["kv"]["value"] == encode("new 2")
