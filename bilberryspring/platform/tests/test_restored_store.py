"""Routers whose metadata store comes back from a copy that is some seconds old.

Revisions and lease ids are given out again, and writes that the store had acknowledged
are gone.
"""

import asyncio
import json

import pytest
from aiohttp import web

from bilberryspring.capability.store_position import StorePosition
from bilberryspring.identifiers import InstanceId, StoreEpoch
from bilberryspring.platform import router_discovery
from bilberryspring.platform.metadata_messages import HistoryReplaced, StoreConflict
from bilberryspring.platform.metadata_store import make_metadata_store
from bilberryspring.platform.router_discovery import make_router_discovery
from bilberryspring.platform.tests.platform_standin import CONFIGURATION, StoreStandin
from bilberryspring.platform.tests.test_store_watchers import (
    SERVER_ENTRY,
    WatcherHarness,
    make_snapshot_entry,
    wait_for,
)
from bilberryspring.process.router_peers import is_fresher_list
from bilberryspring.request.errors import Failure


@pytest.fixture
async def store():
    store = StoreStandin()
    await store.start()
    yield store
    await store.close()


@pytest.fixture
async def client(store):
    client = make_metadata_store(store.address)
    yield client
    client.close()


@pytest.fixture
async def harness():
    harness = WatcherHarness()
    await harness.start()
    yield harness
    await harness.close()


async def restore_unseen(store, copy, later_writes):
    """Restore a store and let its revision pass the former one before it is called."""
    former_revision = store.revision
    store.fault = lambda request: web.Response(status=503)
    await asyncio.sleep(0.3)
    await store.restore(copy)
    for key, value in later_writes:
        await store.put(key, value)
    while store.revision <= former_revision:
        await store.put("op/unrelated", b"x")
    store.fault = lambda request: None


@pytest.mark.parametrize("refuses_later_revisions", [True, False])
async def test_removal_before_the_revision_passed_the_former_one_is_seen(
    harness, refuses_later_revisions
):
    store = harness.store
    store.refuses_later_revisions = refuses_later_revisions
    copy = store.copy()
    await store.put("servers/s1", SERVER_ENTRY)
    await store.put("servers/s2", SERVER_ENTRY)
    await wait_for(lambda: harness.is_listed("s2"))
    await restore_unseen(store, copy, [("servers/s2", SERVER_ENTRY)])
    await wait_for(lambda: not harness.is_listed(), 4.0)
    assert harness.is_listed("s2")


async def test_configuration_written_before_the_revision_passed_is_seen(harness):
    store = harness.store
    copy = store.copy()
    await store.put("op/config", CONFIGURATION)
    await store.put("servers/s1", SERVER_ENTRY)
    await wait_for(lambda: harness.applied_tables)
    newer = {**CONFIGURATION, "version": 4}
    await restore_unseen(store, copy, [("op/config", newer)])
    await wait_for(lambda: harness.applied_tables[-1].version == 4)


async def test_waiting_watch_ends_when_another_call_shows_the_restoration(
    store, client
):
    await store.put("op/config", b"1")
    copy = store.copy()
    await store.put("op/config", b"2")
    listing = await client.list_prefix("op/")
    store.fault = lambda request: "silent" if request.path == "/kv-watch" else None
    watch = asyncio.create_task(client.watch_prefix("op/", listing.position, 30.0))
    await asyncio.sleep(0.1)
    await store.restore(copy)
    assert (await client.read_key("op/config")).value == b"1"
    async with asyncio.timeout(0.5):
        assert isinstance(await watch, Failure)
    later = await client.watch_prefix("op/", listing.position, 0.1)
    assert isinstance(later, HistoryReplaced)


async def test_pages_of_two_histories_are_not_one_list(store, client):
    copy = store.copy()
    for number in range(5):
        await store.put(f"servers/{number}", b"{}")

    def restore_before_second_page(request):
        if "sinceRev" in request.query:
            store.fault = lambda request: None
            store.items, store.epoch = dict(copy.items), store.epoch + 1

    store.fault = restore_before_second_page
    assert isinstance(await client.list_prefix("servers/"), Failure)
    assert (await client.list_prefix("servers/")).items == ()


async def test_condition_on_a_revision_that_was_given_out_again_fails(store, client):
    copy = store.copy()
    position = await client.commit({"k": b"own"})
    await store.restore(copy)
    await store.put("k", b"of another writer")
    assert store.revision == position.revision
    await client.list_prefix("k")
    result = await client.commit({"k": b"own"}, expected_positions={"k": position})
    assert isinstance(result, StoreConflict)
    assert (await client.read_key("k")).value == b"of another writer"


async def test_lease_that_was_given_out_again_is_not_renewed(store, client):
    copy = store.copy()
    lease = await client.grant_lease(5.0)
    await store.restore(copy)
    other = make_metadata_store(store.address)
    assert (await other.grant_lease(5.0)).lease_id == lease.lease_id
    other.close()
    assert await client.renew_lease(lease) is False
    assert isinstance(await client.commit({"k": b"x"}, lease=lease), Failure)


@pytest.mark.parametrize(
    "value", ["", "-1", "1.5", "two", "1" * 400, "\u0663"], ids=repr
)
async def test_malformed_epoch_is_a_failure(store, client, value):
    store.epoch = value
    assert isinstance(await client.list_prefix("a/"), Failure)
    store.epoch = 2
    assert (await client.list_prefix("a/")).items == ()


async def test_response_without_an_epoch_is_a_failure_once_one_was_stated(
    store, client
):
    store.epoch = None
    position = (await client.list_prefix("a/")).position
    assert position == StorePosition(StoreEpoch(0), store.revision)
    store.epoch = 4
    assert (await client.list_prefix("a/")).position.epoch == 4
    store.epoch = None
    assert isinstance(await client.list_prefix("a/"), Failure)


async def test_late_response_of_the_former_history_is_discarded(store, client):
    await client.list_prefix("a/")
    answer_now = asyncio.Event()

    async def answer_late(request):
        await answer_now.wait()
        body = {"items": [], "currentRev": 9}
        return web.json_response(body, headers={"Store-Era": "1"})

    app = web.Application()
    app.router.add_get("/kv-range", answer_late)
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    client.close()
    address = client._port
    client._port = runner.addresses[0][1]
    late = asyncio.create_task(client.list_prefix("a/"))
    await asyncio.sleep(0.1)
    client._port = address
    store.epoch = 2
    connection = next(iter(client._opened_s))
    client._opened_s.clear()
    await client.read_key("k")
    answer_now.set()
    assert isinstance(await late, Failure)
    assert client.epoch == 2
    connection.close()
    await runner.cleanup()


def is_registered(store, name):
    return f"routers/{name}" in store.items


@pytest.fixture
async def registered_routers(store, monkeypatch):
    monkeypatch.setattr(router_discovery, "REFRESH_INTERVAL_S", 0.1)
    monkeypatch.setattr(router_discovery, "FIRST_LIST_DELAY_S", 0.05)
    clients, discoveries, tasks = [], {}, []
    for name in ("a", "b"):
        client = make_metadata_store(store.address)
        discovery = make_router_discovery(
            client, InstanceId(name), "127.0.0.1", lambda ips: None
        )
        clients.append(client)
        discoveries[name] = discovery
        tasks.append(asyncio.create_task(discovery.run()))
    await wait_for(lambda: is_registered(store, "a") and is_registered(store, "b"))
    yield discoveries
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for client in clients:
        client.close()


async def test_routers_whose_lease_was_given_out_again_are_all_registered(
    store, registered_routers
):
    lease_ids = list(store.leases)
    await store.restore(StoreStandin().copy())
    for name, lease_id in zip(("c", "d"), lease_ids, strict=True):
        store.leases[lease_id] = set()
        await store.put(f"routers/{name}", b"127.0.0.9", lease_id)
    await wait_for(lambda: is_registered(store, "a") and is_registered(store, "b"))
    assert sorted(map(len, store.leases.values())) == [1, 1, 1, 1]


async def test_router_that_stops_keeps_the_entry_of_another_that_has_its_lease(
    store, registered_routers
):
    own = registered_routers["a"]
    lease_id = own._registration.lease.lease_id
    await store.restore(StoreStandin().copy())
    store.leases[lease_id] = set()
    await store.put("routers/c", b"127.0.0.9", lease_id)
    await own.unregister()
    assert is_registered(store, "c")


async def test_router_that_is_not_listed_registers_again(
    store, registered_routers, monkeypatch
):
    monkeypatch.setattr(router_discovery, "MAX_LIST_AGE_S", 0.2)
    await asyncio.sleep(0.3)
    await store.put("routers/a", None)
    await wait_for(lambda: is_registered(store, "a"))


@pytest.mark.parametrize(
    ("epoch", "age_s", "is_fresher"),
    [
        (1, 0.1, False),
        (2, 0.1, True),
        (2, 0.9, False),
        (3, 0.9, True),
        (None, 0.1, True),
    ],
)
def test_list_of_a_former_history_is_never_fresher(epoch, age_s, is_fresher):
    assert is_fresher_list(epoch, age_s, StoreEpoch(2), 0.5) is is_fresher


async def test_list_from_before_the_restoration_does_not_replace_a_later_one(harness):
    await harness.store.put("servers/s1", SERVER_ENTRY)
    await wait_for(harness.is_listed)
    await harness.store.restore(harness.store.copy())
    watcher = harness.server_watcher
    await wait_for(lambda: watcher.store_epoch == 2)
    harness.store.fault = lambda request: web.Response(status=503)
    await wait_for(lambda: watcher.age_s > 0.3)
    watcher.apply_peer_entries(
        [make_snapshot_entry("s2", SERVER_ENTRY)], 0.05, StoreEpoch(1)
    )
    assert harness.is_listed() and not harness.is_listed("s2")
    watcher.apply_peer_entries(
        [make_snapshot_entry("s2", SERVER_ENTRY, 3)], 5.0, StoreEpoch(3)
    )
    assert harness.is_listed("s2")


async def test_sound_server_that_the_copy_lacks_stays_until_it_writes_again(harness):
    copy = harness.store.copy()
    await harness.store.put("servers/s1", SERVER_ENTRY)
    await wait_for(harness.is_listed)
    await harness.store.restore(copy)
    await wait_for(lambda: harness.server_watcher.store_epoch == 2)
    assert harness.is_listed()
    await harness.store.put("servers/s1", SERVER_ENTRY)
    await asyncio.sleep(2.0)
    assert harness.is_listed()


async def test_older_configuration_of_the_copy_does_not_come_into_force(harness):
    await harness.store.put("op/config", CONFIGURATION)
    copy = harness.store.copy()
    newer = {**CONFIGURATION, "version": 5}
    await harness.store.put("op/config", newer)
    await wait_for(
        lambda: harness.applied_tables[-1:] and harness.applied_tables[-1].version == 5
    )
    await harness.store.restore(copy)
    await wait_for(lambda: harness.client.epoch == 2)
    await asyncio.sleep(0.2)
    assert harness.applied_tables[-1].version == 5
    assert json.loads(harness.configuration_watcher.entry.value) == newer
