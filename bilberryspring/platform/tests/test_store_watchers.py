"""Watchers that follow the configuration and the server list in the metadata store.

Guards against servers that leave the list during a store outage or stay in it after
their entries have expired.
"""

import asyncio
import json
import random
import time

import pytest
from aiohttp import web

from bilberryspring.capability.store_position import StorePosition
from bilberryspring.connection.router_reports import SnapshotEntry
from bilberryspring.identifiers import StoreEpoch
from bilberryspring.load.virtual_clock import run_on_virtual_clock
from bilberryspring.platform import metadata_store
from bilberryspring.platform.configuration_watcher import ConfigurationWatcher
from bilberryspring.platform.metadata_messages import StoreItem, StoreListing
from bilberryspring.platform.metadata_store import make_metadata_store
from bilberryspring.platform.server_list_watcher import ServerListWatcher
from bilberryspring.platform.tests.platform_standin import (
    CONFIGURATION,
    ServerStandin,
    StoreStandin,
)
from bilberryspring.process.server_table import make_server_table
from bilberryspring.request.errors import ErrorKind, make_failure

SERVER_ENTRY = ServerStandin().make_entry()


async def wait_for(condition, timeout_s=3.0):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


def make_position(revision, epoch=1):
    return StorePosition(StoreEpoch(epoch), revision)


def make_snapshot_entry(server_id, entry, epoch=1):
    value = json.dumps(entry).encode()
    return SnapshotEntry(f"servers/{server_id}", value, make_position(9, epoch))


class WatcherHarness:
    """Metadata store stand-in and the two watchers that follow it.

    :ivar applied_tables: routing tables applied from the configuration, in order.
    :ivar servers: table of servers that the server list watcher updates.
    """

    def __init__(self):
        self.store = StoreStandin()
        self.applied_tables = []
        self.servers = make_server_table()
        self.tasks = []

    async def start(self):
        await self.store.start()
        self.client = make_metadata_store(self.store.address)
        self.configuration_watcher = ConfigurationWatcher(
            self.client, self.applied_tables.append
        )
        self.server_watcher = ServerListWatcher(
            self.client, self.servers, lambda: None, 2.0
        )
        for run_task in (
            self.configuration_watcher.run,
            self.server_watcher.run,
            self.server_watcher.run_expiry,
        ):
            self.tasks.append(asyncio.create_task(run_task()))

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.client.close()
        await self.store.close()

    def is_listed(self, server_id="s1"):
        return server_id in self.servers.records


@pytest.fixture
async def harness():
    harness = WatcherHarness()
    await harness.start()
    yield harness
    await harness.close()


async def test_newer_configuration_is_applied_and_older_one_is_ignored(harness):
    await harness.store.put("op/config", CONFIGURATION)
    await wait_for(lambda: harness.applied_tables)
    await harness.store.put("op/config", {**CONFIGURATION, "version": 2})
    await harness.store.put("op/config", b"not a document")
    await harness.store.put("op/config", {**CONFIGURATION, "version": 8})
    await wait_for(lambda: len(harness.applied_tables) == 2)
    assert [table.version for table in harness.applied_tables] == [3, 8]


async def test_configuration_of_another_router_is_applied_if_it_is_newer(harness):
    await harness.store.put("op/config", CONFIGURATION)
    await wait_for(lambda: harness.applied_tables)
    for version in (2, 9):
        value = json.dumps({**CONFIGURATION, "version": version}).encode()
        harness.configuration_watcher.apply_entry(
            SnapshotEntry("op/config", value, make_position(50))
        )
    assert [table.version for table in harness.applied_tables] == [3, 9]


async def test_server_is_added_drained_and_removed(harness):
    await harness.store.put("servers/s1", SERVER_ENTRY)
    await wait_for(lambda: harness.servers.list_ready("desk"))
    await harness.store.put("servers/s1", {**SERVER_ENTRY, "state": "draining"})
    await wait_for(lambda: not harness.servers.list_ready("desk"))
    assert harness.is_listed()
    await harness.store.put("servers/s1", None)
    await wait_for(lambda: not harness.is_listed())


async def test_malformed_entry_removes_only_its_own_server(harness):
    await harness.store.put("servers/s1", SERVER_ENTRY)
    await harness.store.put("servers/s2", SERVER_ENTRY)
    await wait_for(lambda: harness.is_listed("s2"))
    await harness.store.put("servers/s1", b"\xff")
    await wait_for(lambda: not harness.is_listed())
    assert harness.is_listed("s2")


async def test_compacted_history_leads_to_a_full_list(harness):
    await harness.store.put("servers/s1", SERVER_ENTRY)
    await wait_for(harness.is_listed)
    harness.store.oldest_revision = 10**6
    harness.store.items.clear()
    await wait_for(lambda: not harness.is_listed())


async def start_outage(harness, duration_s=2.0):
    await harness.store.put("servers/s1", SERVER_ENTRY)
    await wait_for(harness.is_listed)
    harness.store.fault = lambda request: web.Response(status=503)
    await wait_for(lambda: harness.server_watcher._is_store_unavailable)
    await asyncio.sleep(duration_s)


async def test_servers_stay_listed_during_a_store_outage(harness):
    await start_outage(harness)
    await harness.store.put("servers/s1", None)
    await asyncio.sleep(0.5)
    assert harness.is_listed()


async def test_server_stays_listed_if_its_expired_entry_is_written_again(harness):
    await start_outage(harness)
    await harness.store.put("servers/s1", None)
    harness.store.fault = lambda request: None
    await wait_for(lambda: harness.server_watcher._missing_entries)
    await asyncio.sleep(0.8)
    assert harness.is_listed()
    await harness.store.put("servers/s1", SERVER_ENTRY)
    await asyncio.sleep(2.0)
    assert harness.is_listed()


async def test_server_with_expired_entry_is_removed_within_the_grace_period(harness):
    await start_outage(harness)
    harness.store.fault = lambda request: None
    await wait_for(lambda: not harness.server_watcher._is_store_unavailable)
    await asyncio.sleep(0.3)
    started_s = asyncio.get_running_loop().time()
    await harness.store.put("servers/s1", None)
    await wait_for(lambda: not harness.is_listed())
    assert asyncio.get_running_loop().time() - started_s < 2.0


# Guards against a sound server that is given up after an outage because its entry was
# written again after the last list that this router got.
async def test_server_is_not_removed_by_a_list_from_before_its_entry_was_due(harness):
    watcher = harness.server_watcher
    watcher.set_drain_grace(3.0)
    await start_outage(harness)
    await harness.store.put("servers/s1", None)
    harness.store.fault = lambda request: None
    await wait_for(lambda: watcher._missing_entries)
    for task in harness.tasks:
        task.cancel()
    await asyncio.gather(*harness.tasks, return_exceptions=True)
    (missing,) = watcher._missing_entries.values()
    watcher.remove_expired(missing.due_s + 0.1)
    assert harness.is_listed()
    watcher._record_confirmation(missing.due_s + 0.05)
    watcher.remove_expired(missing.due_s + 0.1)
    assert not harness.is_listed()


# Guards against a server that left in an outage and is kept while no list is confirmed.
async def test_server_is_removed_soon_after_its_entry_was_due_without_a_list(harness):
    watcher = harness.server_watcher
    watcher.set_drain_grace(3.0)
    await start_outage(harness)
    await harness.store.put("servers/s1", None)
    harness.store.fault = lambda request: None
    await wait_for(lambda: watcher._missing_entries)
    (missing,) = watcher._missing_entries.values()
    assert missing.latest_s <= watcher._store_recovered_s + 2.4
    watcher.remove_expired(missing.latest_s)
    assert not harness.is_listed()


async def test_server_removed_long_after_an_outage_gets_no_grace_period(harness):
    await start_outage(harness)
    harness.store.fault = lambda request: None
    await wait_for(lambda: not harness.server_watcher._is_store_unavailable)
    harness.server_watcher._store_recovered_s -= 10
    started_s = asyncio.get_running_loop().time()
    await harness.store.put("servers/s1", None)
    await wait_for(lambda: not harness.is_listed())
    assert asyncio.get_running_loop().time() - started_s < 0.8


async def test_disconnected_router_does_not_restore_servers_that_peers_removed(harness):
    await start_outage(harness, 0.5)
    value = json.dumps(SERVER_ENTRY).encode()
    # The entry is written and removed while only this router cannot reach the store.
    await harness.store.put("servers/s1", {**SERVER_ENTRY, "seq": 9})
    await harness.store.put("servers/s1", None)
    harness.server_watcher.apply_peer_entries(
        [SnapshotEntry("servers/s2", value, make_position(2))], 0.1
    )
    assert not harness.is_listed()
    await harness.store.put("servers/s2", SERVER_ENTRY)
    listed = []
    harness.servers.put = lambda server: listed.append(server.server_id)
    harness.store.fault = lambda request: None
    await wait_for(lambda: not harness.server_watcher._is_store_unavailable)
    await asyncio.sleep(0.5)
    assert "s1" not in listed


async def test_router_that_only_peers_inform_gives_no_grace_period(harness):
    await harness.store.put("servers/s2", SERVER_ENTRY)
    await start_outage(harness, 0.0)
    entries = [make_snapshot_entry(name, SERVER_ENTRY) for name in ("s1", "s2")]
    for _ in range(20):
        harness.server_watcher.apply_peer_entries(entries, 0.05)
        await asyncio.sleep(0.1)
    harness.store.fault = lambda request: None
    await wait_for(lambda: not harness.server_watcher._is_store_unavailable)
    started_s = asyncio.get_running_loop().time()
    await harness.store.put("servers/s1", None)
    await wait_for(lambda: not harness.is_listed())
    assert asyncio.get_running_loop().time() - started_s < 0.8


async def test_process_pause_does_not_count_as_a_store_outage(harness):
    await harness.store.put("servers/s1", SERVER_ENTRY)
    await harness.store.put("servers/s2", SERVER_ENTRY)
    await wait_for(lambda: harness.is_listed("s2"))
    time.sleep(2.2)
    started_s = asyncio.get_running_loop().time()
    await harness.store.put("servers/s1", None)
    await wait_for(lambda: not harness.is_listed())
    assert asyncio.get_running_loop().time() - started_s < 0.8


async def test_disconnected_router_applies_a_more_recent_list_of_a_peer(harness):
    await start_outage(harness, 1.0)
    harness.server_watcher.is_store_watcher = lambda: False
    assert not harness.server_watcher.may_skip_watching()
    entries = [make_snapshot_entry("s2", SERVER_ENTRY)]
    harness.server_watcher.apply_peer_entries(entries, harness.server_watcher.age_s + 5)
    assert not harness.is_listed("s2")
    harness.server_watcher.apply_peer_entries(entries, 0.2)
    assert harness.is_listed("s2") and not harness.is_listed("s1")


async def test_router_skips_watching_while_peers_confirm_the_list(harness):
    await harness.store.put("servers/s1", SERVER_ENTRY)
    await wait_for(harness.is_listed)
    harness.server_watcher.is_store_watcher = lambda: False
    end_s = asyncio.get_running_loop().time() + 1.5
    await asyncio.sleep(0.5)
    watched = []
    harness.store.fault = lambda request: watched.append(request.query.get("prefix"))
    while asyncio.get_running_loop().time() < end_s:
        harness.server_watcher.confirm(0.1)
        await asyncio.sleep(0.05)
    assert watched.count("servers/") <= 1


async def test_router_watches_the_store_once_the_peer_confirmation_is_old(harness):
    await harness.store.put("servers/s1", SERVER_ENTRY)
    await wait_for(harness.is_listed)
    harness.server_watcher.is_store_watcher = lambda: False
    await harness.store.put("servers/s1", None)
    started_s = asyncio.get_running_loop().time()
    await wait_for(lambda: not harness.is_listed())
    assert asyncio.get_running_loop().time() - started_s < 2.0


async def test_item_of_another_key_is_not_applied_as_configuration(harness):
    harness.configuration_watcher._apply_item(
        StoreItem("op/configuration", b"{}", make_position(3))
    )
    assert not harness.applied_tables


class FailingStore:
    """A store whose calls fail until it is back; counts the calls."""

    def __init__(self):
        self.calls = 0
        self.is_back = False

    async def list_prefix(self, prefix):
        self.calls += 1
        await asyncio.sleep(0)
        if self.is_back:
            return StoreListing((), make_position(1))
        return make_failure(ErrorKind.OVERLOADED, "the store is away")

    async def watch_prefix(self, prefix, position, max_wait_s):
        await asyncio.sleep(max_wait_s)
        return StoreListing((), position)


async def _follow_through_outage(outage_s, is_store_watcher):
    store = FailingStore()
    watcher = ConfigurationWatcher(store, lambda _: None)
    watcher.is_store_watcher = lambda: is_store_watcher
    following = asyncio.create_task(watcher.run())
    await asyncio.sleep(outage_s)
    calls, store.is_back = store.calls, True
    back_s = asyncio.get_running_loop().time()
    while store.calls == calls:
        await asyncio.sleep(0.01)
    following.cancel()
    await asyncio.gather(following, return_exceptions=True)
    return calls, asyncio.get_running_loop().time() - back_s


@pytest.mark.parametrize("seed", range(5))
def test_calls_in_an_outage_grow_little_with_the_number_of_routers(seed):
    random.seed(seed)
    calls, until_called_s = run_on_virtual_clock(_follow_through_outage(10.0, False))
    assert calls <= 14
    assert until_called_s <= 2.0


def test_routers_that_watch_for_all_notice_the_end_of_an_outage_at_once():
    calls, until_called_s = run_on_virtual_clock(_follow_through_outage(10.0, True))
    assert calls > 40
    assert until_called_s <= 0.25


async def test_odd_entry_beside_sound_ones_ends_no_watcher(harness):
    await harness.store.put("servers/s1", SERVER_ENTRY)
    await harness.store.put("servers/s2", b"[" * 100_000)
    await harness.store.put("op/config", CONFIGURATION)
    await wait_for(lambda: harness.is_listed() and harness.applied_tables)
    await harness.store.put("op/config", b"[" * 100_000)
    await harness.store.put("servers/s1", b"[" * 100_000)
    await wait_for(lambda: not harness.is_listed())
    await harness.store.put("servers/s3", SERVER_ENTRY)
    await harness.store.put("op/config", {**CONFIGURATION, "version": 8})
    await wait_for(lambda: harness.is_listed("s3") and len(harness.applied_tables) == 2)
    assert not any(task.done() for task in harness.tasks)


# Guards against the silence of a connection that is taken for an outage of the store.
async def test_silent_connection_does_not_count_as_a_store_outage(harness, monkeypatch):
    monkeypatch.setattr(metadata_store, "READ_PATIENCE_S", 2.0)
    monkeypatch.setattr(metadata_store, "CALL_TIMEOUT_S", 4.0)
    for name in ("s1", "s2"):
        await harness.store.put(f"servers/{name}", SERVER_ENTRY)
    await wait_for(lambda: harness.is_listed("s2"))
    silenced = []

    def silence_first_watch(request):
        if silenced or request.query.get("prefix") != "servers/":
            return None
        silenced.append(request)
        return "silent"

    harness.store.fault = silence_first_watch
    await harness.store.put("servers/s2", {**SERVER_ENTRY, "seq": 2})
    await wait_for(lambda: silenced)
    confirmed_s = harness.server_watcher._confirmed_s
    await harness.store.put("servers/s1", None)
    await wait_for(lambda: harness.server_watcher._confirmed_s > confirmed_s + 2.5, 6.0)
    await asyncio.sleep(0.1)
    assert not harness.is_listed("s1")
    assert harness.is_listed("s2")
