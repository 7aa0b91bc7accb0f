import asyncio
import time

import pytest
from aiohttp import web

from bilberryspring.platform import metadata_store
from bilberryspring.platform.metadata_messages import HistoryCompacted, StoreConflict
from bilberryspring.platform.metadata_store import make_metadata_store
from bilberryspring.platform.tests.platform_standin import StoreStandin
from bilberryspring.request.errors import ErrorKind, Failure


@pytest.fixture
async def pair():
    standin = StoreStandin()
    await standin.start()
    client = make_metadata_store(standin.address)
    yield standin, client
    client.close()
    await standin.close()


async def test_values_come_back_as_they_were_written(pair):
    _, client = pair
    revision = await client.commit({"k": b"\x00\xff"})
    item = await client.read_key("k")
    assert (item.value, item.revision) == (b"\x00\xff", revision)
    assert await client.read_key("absent") is None


async def test_a_list_is_read_page_by_page(pair):
    standin, client = pair
    for number in range(5):
        await standin.put(f"servers/{number}", b"{}")
    await standin.put("other", b"{}")
    listing = await client.list_prefix("servers/")
    assert [item.key for item in listing.items] == [f"servers/{n}" for n in range(5)]


async def test_a_condition_that_does_not_hold_changes_nothing(pair):
    standin, client = pair
    await client.commit({"k": b"1"})
    found = await client.commit({"k": b"2"}, expected_revisions={"k": 0})
    assert isinstance(found, StoreConflict)
    assert (await client.read_key("k")).value == b"1"


async def test_a_watch_ends_with_the_first_change(pair):
    standin, client = pair
    task = asyncio.create_task(client.watch_prefix("a/", standin.revision, 2.0))
    await asyncio.sleep(0.1)
    begun_s = time.monotonic()
    await standin.put("a/1", b"x")
    changes = await task
    assert time.monotonic() - begun_s < 0.3
    assert [item.key for item in changes.items] == ["a/1"]
    await standin.put("a/1", None)
    changes = await client.watch_prefix("a/", changes.revision, 2.0)
    assert changes.items[0].value is None


async def test_lost_history_is_told_apart_from_no_change(pair):
    standin, client = pair
    standin.oldest = 5
    assert isinstance(await client.watch_prefix("a/", 1, 0.1), HistoryCompacted)


async def test_leases_that_have_ended_are_told(pair):
    _, client = pair
    lease = await client.grant_lease(5.0)
    assert (lease.lease_id, lease.duration_s) == (7, 5.0)
    assert await client.renew_lease(7) is True
    assert await client.renew_lease(8) is False


@pytest.mark.parametrize(
    "answer",
    [
        web.Response(status=503),
        web.Response(status=429),
        web.Response(body=b"{"),
        web.Response(body=b"[]"),
        web.Response(body=b"{}"),
        web.Response(body=b'{"items": [{"key": 1}], "currentRev": 1}'),
        web.Response(body=b'{"items": [{"key": "k", "value": "%", "revision": 1}]}'),
        web.Response(body=b'{"items": [], "currentRev": "1"}'),
    ],
)
async def test_an_answer_that_cannot_be_read_is_a_failure_not_an_empty_list(
    pair, answer
):
    standin, client = pair
    standin.fault = lambda request: answer
    found = await client.list_prefix("servers/")
    assert isinstance(found, Failure)
    assert found.kind is ErrorKind.PLATFORM_UNAVAILABLE and found.reason


async def test_a_silent_connection_is_left_and_the_next_call_uses_a_new_one(
    pair, monkeypatch
):
    standin, client = pair
    monkeypatch.setattr(metadata_store, "CALL_TIMEOUT_S", 0.2)
    await client.list_prefix("a/")
    standin.fault = lambda request: "silent"
    found = await client.read_key("k")
    assert isinstance(found, Failure)
    standin.fault = lambda request: None
    assert await client.read_key("k") is None


async def test_a_silent_call_ends_a_watch_that_waits(pair, monkeypatch):
    standin, client = pair
    monkeypatch.setattr(metadata_store, "CALL_TIMEOUT_S", 0.2)
    standin.fault = lambda request: "silent"
    watching = asyncio.create_task(client.watch_prefix("a/", 1, 30.0))
    await asyncio.sleep(0.05)
    assert isinstance(await client.read_key("k"), Failure)
    async with asyncio.timeout(0.2):
        assert isinstance(await watching, Failure)


async def test_a_store_that_is_down_is_a_failure():
    client = make_metadata_store("127.0.0.1:1")
    assert isinstance(await client.read_key("k"), Failure)
