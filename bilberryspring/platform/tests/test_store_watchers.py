import asyncio
import json
import time

import pytest
from aiohttp import web

from bilberryspring.connection.router_reports import SnapshotEntry
from bilberryspring.platform.metadata_messages import StoreItem
from bilberryspring.platform.metadata_store import make_metadata_store
from bilberryspring.platform.store_watchers import (
    ConfigurationWatcher,
    ServerListWatcher,
)
from bilberryspring.platform.tests.platform_standin import (
    CONFIGURATION,
    ServerStandin,
    StoreStandin,
)
from bilberryspring.process.server_table import make_server_table

SERVER_ENTRY = ServerStandin().make_entry()


async def wait_for(condition, timeout_s=3.0):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


class WatcherRig:
    """A store with the two watchers that follow it."""

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
async def rig():
    rig = WatcherRig()
    await rig.start()
    yield rig
    await rig.close()


async def test_newer_configuration_is_applied_and_older_one_is_ignored(rig):
    await rig.store.put("op/config", CONFIGURATION)
    await wait_for(lambda: rig.applied_tables)
    await rig.store.put("op/config", {**CONFIGURATION, "version": 2})
    await rig.store.put("op/config", b"not a document")
    await rig.store.put("op/config", {**CONFIGURATION, "version": 8})
    await wait_for(lambda: len(rig.applied_tables) == 2)
    assert [table.version for table in rig.applied_tables] == [3, 8]


async def test_configuration_of_another_router_is_applied_if_it_is_newer(rig):
    await rig.store.put("op/config", CONFIGURATION)
    await wait_for(lambda: rig.applied_tables)
    for version in (2, 9):
        value = json.dumps({**CONFIGURATION, "version": version}).encode()
        rig.configuration_watcher.apply_entry(SnapshotEntry("op/config", value, 50))
    assert [table.version for table in rig.applied_tables] == [3, 9]


async def test_server_is_added_drained_and_removed(rig):
    await rig.store.put("servers/s1", SERVER_ENTRY)
    await wait_for(lambda: rig.servers.list_ready("desk"))
    await rig.store.put("servers/s1", {**SERVER_ENTRY, "state": "draining"})
    await wait_for(lambda: not rig.servers.list_ready("desk"))
    assert rig.is_listed()
    await rig.store.put("servers/s1", None)
    await wait_for(lambda: not rig.is_listed())


async def test_malformed_entry_removes_only_its_own_server(rig):
    await rig.store.put("servers/s1", SERVER_ENTRY)
    await rig.store.put("servers/s2", SERVER_ENTRY)
    await wait_for(lambda: rig.is_listed("s2"))
    await rig.store.put("servers/s1", b"\xff")
    await wait_for(lambda: not rig.is_listed())
    assert rig.is_listed("s2")


async def test_compacted_history_leads_to_a_full_list(rig):
    await rig.store.put("servers/s1", SERVER_ENTRY)
    await wait_for(rig.is_listed)
    rig.store.oldest_revision = 10**6
    rig.store.items.clear()
    await wait_for(lambda: not rig.is_listed())


async def start_outage(rig, duration_s=2.0):
    await rig.store.put("servers/s1", SERVER_ENTRY)
    await wait_for(rig.is_listed)
    rig.store.fault = lambda request: web.Response(status=503)
    await wait_for(lambda: rig.server_watcher._is_store_unavailable)
    await asyncio.sleep(duration_s)


async def test_servers_stay_listed_during_a_store_outage(rig):
    await start_outage(rig)
    await rig.store.put("servers/s1", None)
    await asyncio.sleep(0.5)
    assert rig.is_listed()


async def test_server_stays_listed_if_its_expired_entry_is_written_again(rig):
    await start_outage(rig)
    await rig.store.put("servers/s1", None)
    rig.store.fault = lambda request: None
    await wait_for(lambda: rig.server_watcher._removal_deadlines_s)
    await asyncio.sleep(0.8)
    assert rig.is_listed()
    await rig.store.put("servers/s1", SERVER_ENTRY)
    await asyncio.sleep(2.0)
    assert rig.is_listed()


async def test_server_with_expired_entry_is_removed_within_the_grace_period(rig):
    await start_outage(rig)
    rig.store.fault = lambda request: None
    await wait_for(lambda: not rig.server_watcher._is_store_unavailable)
    await asyncio.sleep(0.3)
    started_s = asyncio.get_running_loop().time()
    await rig.store.put("servers/s1", None)
    await wait_for(lambda: not rig.is_listed())
    assert asyncio.get_running_loop().time() - started_s < 2.0


async def test_server_removed_long_after_an_outage_gets_no_grace_period(rig):
    await start_outage(rig)
    rig.store.fault = lambda request: None
    await wait_for(lambda: not rig.server_watcher._is_store_unavailable)
    rig.server_watcher._store_recovered_s -= 10
    started_s = asyncio.get_running_loop().time()
    await rig.store.put("servers/s1", None)
    await wait_for(lambda: not rig.is_listed())
    assert asyncio.get_running_loop().time() - started_s < 0.8


async def test_disconnected_router_does_not_restore_servers_that_peers_removed(rig):
    await start_outage(rig, 0.5)
    value = json.dumps(SERVER_ENTRY).encode()
    # The entry is written and removed while only this router cannot reach the store.
    await rig.store.put("servers/s1", {**SERVER_ENTRY, "seq": 9})
    await rig.store.put("servers/s1", None)
    rig.server_watcher.apply_peer_entries([SnapshotEntry("servers/s2", value, 2)], 0.1)
    assert not rig.is_listed()
    await rig.store.put("servers/s2", SERVER_ENTRY)
    listed = []
    rig.servers.put = lambda server: listed.append(server.server_id)
    rig.store.fault = lambda request: None
    await wait_for(lambda: not rig.server_watcher._is_store_unavailable)
    await asyncio.sleep(0.5)
    assert "s1" not in listed


async def test_router_that_only_peers_inform_gives_no_grace_period(
    rig,
):
    await rig.store.put("servers/s2", SERVER_ENTRY)
    await start_outage(rig, 0.0)
    entries = [
        SnapshotEntry(f"servers/{name}", json.dumps(SERVER_ENTRY).encode(), 2)
        for name in ("s1", "s2")
    ]
    for _ in range(20):
        rig.server_watcher.apply_peer_entries(entries, 0.05)
        await asyncio.sleep(0.1)
    rig.store.fault = lambda request: None
    await wait_for(lambda: not rig.server_watcher._is_store_unavailable)
    started_s = asyncio.get_running_loop().time()
    await rig.store.put("servers/s1", None)
    await wait_for(lambda: not rig.is_listed())
    assert asyncio.get_running_loop().time() - started_s < 0.8


async def test_process_pause_does_not_count_as_a_store_outage(rig):
    await rig.store.put("servers/s1", SERVER_ENTRY)
    await rig.store.put("servers/s2", SERVER_ENTRY)
    await wait_for(lambda: rig.is_listed("s2"))
    time.sleep(2.2)
    started_s = asyncio.get_running_loop().time()
    await rig.store.put("servers/s1", None)
    await wait_for(lambda: not rig.is_listed())
    assert asyncio.get_running_loop().time() - started_s < 0.8


async def test_disconnected_router_applies_a_more_recent_list_of_a_peer(rig):
    await start_outage(rig, 1.0)
    rig.server_watcher.is_store_watcher = lambda: False
    assert not rig.server_watcher.may_skip_watching()
    entries = [SnapshotEntry("servers/s2", json.dumps(SERVER_ENTRY).encode(), 9)]
    rig.server_watcher.apply_peer_entries(entries, rig.server_watcher.age_s + 5)
    assert not rig.is_listed("s2")
    rig.server_watcher.apply_peer_entries(entries, 0.2)
    assert rig.is_listed("s2") and not rig.is_listed("s1")


async def test_router_skips_watching_while_peers_confirm_the_list(rig):
    await rig.store.put("servers/s1", SERVER_ENTRY)
    await wait_for(rig.is_listed)
    rig.server_watcher.is_store_watcher = lambda: False
    end_s = asyncio.get_running_loop().time() + 1.5
    await asyncio.sleep(0.5)
    watch_calls = rig.store.called_paths.count("/kv-watch")
    while asyncio.get_running_loop().time() < end_s:
        rig.server_watcher.confirm(0.1)
        await asyncio.sleep(0.05)
    assert rig.store.called_paths.count("/kv-watch") <= watch_calls + 1


async def test_router_watches_the_store_once_the_peer_confirmation_is_old(rig):
    await rig.store.put("servers/s1", SERVER_ENTRY)
    await wait_for(rig.is_listed)
    rig.server_watcher.is_store_watcher = lambda: False
    await rig.store.put("servers/s1", None)
    started_s = asyncio.get_running_loop().time()
    await wait_for(lambda: not rig.is_listed())
    assert asyncio.get_running_loop().time() - started_s < 2.0


async def test_item_of_another_key_is_not_applied_as_configuration(rig):
    rig.configuration_watcher._apply_item(StoreItem("op/configuration", b"{}", 3))
    assert not rig.applied_tables
