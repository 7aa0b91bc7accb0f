import asyncio
import json
import time

import pytest
from aiohttp import web

from bilberryspring.connection.router_reports import SnapshotEntry
from bilberryspring.platform.feeds import ConfigurationWatcher, ServerListWatcher
from bilberryspring.platform.metadata_messages import StoreItem
from bilberryspring.platform.metadata_store import make_metadata_store
from bilberryspring.platform.tests.platform_standin import (
    CONFIGURATION,
    ServerStandin,
    StoreStandin,
)
from bilberryspring.process.server_table import make_server_table

ENTRY = ServerStandin().describe()


async def wait_for(condition, timeout_s=3.0):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


class Rig:
    def __init__(self):
        self.store = StoreStandin()
        self.tables = []
        self.servers = make_server_table()
        self.tasks = []

    async def start(self):
        await self.store.start()
        self.client = make_metadata_store(self.store.address)
        self.configuration = ConfigurationWatcher(self.client, self.tables.append)
        self.feed = ServerListWatcher(self.client, self.servers, lambda: None, 2.0)
        for run in (
            self.configuration.run,
            self.feed.run,
            self.feed.run_expiry,
        ):
            self.tasks.append(asyncio.create_task(run()))

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.client.close()
        await self.store.close()

    def lists(self, server_id="s1"):
        return server_id in self.servers.records


@pytest.fixture
async def rig():
    rig = Rig()
    await rig.start()
    yield rig
    await rig.close()


async def test_a_configuration_is_adopted_and_never_an_older_one(rig):
    await rig.store.put("op/config", CONFIGURATION)
    await wait_for(lambda: rig.tables)
    await rig.store.put("op/config", {**CONFIGURATION, "version": 2})
    await rig.store.put("op/config", b"not a document")
    await rig.store.put("op/config", {**CONFIGURATION, "version": 8})
    await wait_for(lambda: len(rig.tables) == 2)
    assert [table.version for table in rig.tables] == [3, 8]


async def test_a_configuration_of_another_router_is_adopted_if_it_is_newer(rig):
    await rig.store.put("op/config", CONFIGURATION)
    await wait_for(lambda: rig.tables)
    for version in (2, 9):
        value = json.dumps({**CONFIGURATION, "version": version}).encode()
        rig.configuration.apply_entry(SnapshotEntry("op/config", value, 50))
    assert [table.version for table in rig.tables] == [3, 9]


async def test_servers_come_leave_and_go(rig):
    await rig.store.put("servers/s1", ENTRY)
    await wait_for(lambda: rig.servers.list_ready("desk"))
    await rig.store.put("servers/s1", {**ENTRY, "state": "draining"})
    await wait_for(lambda: not rig.servers.list_ready("desk"))
    assert rig.lists()
    await rig.store.put("servers/s1", None)
    await wait_for(lambda: not rig.lists())


async def test_an_entry_that_cannot_be_read_names_no_server(rig):
    await rig.store.put("servers/s1", ENTRY)
    await rig.store.put("servers/s2", ENTRY)
    await wait_for(lambda: rig.lists("s2"))
    await rig.store.put("servers/s1", b"\xff")
    await wait_for(lambda: not rig.lists())
    assert rig.lists("s2")


async def test_dropped_history_leads_to_a_whole_list(rig):
    await rig.store.put("servers/s1", ENTRY)
    await wait_for(rig.lists)
    rig.store.oldest = 10**6
    rig.store.items.clear()
    await wait_for(lambda: not rig.lists())


async def outage(rig, duration_s=2.0):
    await rig.store.put("servers/s1", ENTRY)
    await wait_for(rig.lists)
    rig.store.fault = lambda request: web.Response(status=503)
    await wait_for(lambda: rig.feed._is_store_unavailable)
    await asyncio.sleep(duration_s)


async def test_servers_stay_listed_while_the_store_is_away(rig):
    await outage(rig)
    await rig.store.put("servers/s1", None)
    await asyncio.sleep(0.5)
    assert rig.lists()


async def test_a_lapsed_entry_that_comes_back_was_never_gone(rig):
    await outage(rig)
    await rig.store.put("servers/s1", None)
    rig.store.fault = lambda request: None
    await wait_for(lambda: rig.feed._removal_deadlines_s)
    await asyncio.sleep(0.8)
    assert rig.lists()
    await rig.store.put("servers/s1", ENTRY)
    await asyncio.sleep(2.0)
    assert rig.lists()


async def test_a_lapsed_entry_that_stays_away_is_gone_within_the_bound(rig):
    await outage(rig)
    rig.store.fault = lambda request: None
    await wait_for(lambda: not rig.feed._is_store_unavailable)
    await asyncio.sleep(0.3)
    begun_s = asyncio.get_running_loop().time()
    await rig.store.put("servers/s1", None)
    await wait_for(lambda: not rig.lists())
    assert asyncio.get_running_loop().time() - begun_s < 2.0


async def test_a_server_that_leaves_long_after_an_outage_goes_at_once(rig):
    await outage(rig)
    rig.store.fault = lambda request: None
    await wait_for(lambda: not rig.feed._is_store_unavailable)
    rig.feed._store_recovered_s -= 10
    begun_s = asyncio.get_running_loop().time()
    await rig.store.put("servers/s1", None)
    await wait_for(lambda: not rig.lists())
    assert asyncio.get_running_loop().time() - begun_s < 0.8


async def test_a_cut_router_does_not_list_again_what_others_saw_leave(rig):
    await outage(rig, 0.5)
    value = json.dumps(ENTRY).encode()
    # The entry is written once more, and is gone while only this router is cut.
    await rig.store.put("servers/s1", {**ENTRY, "seq": 9})
    await rig.store.put("servers/s1", None)
    rig.feed.apply_peer_entries([SnapshotEntry("servers/s2", value, 2)], 0.1)
    assert not rig.lists()
    await rig.store.put("servers/s2", ENTRY)
    listed = []
    rig.servers.put = lambda server: listed.append(server.server_id)
    rig.store.fault = lambda request: None
    await wait_for(lambda: not rig.feed._is_store_unavailable)
    await asyncio.sleep(0.5)
    assert "s1" not in listed


async def test_a_cut_router_gives_no_grace_to_what_left_meanwhile(rig):
    await rig.store.put("servers/s2", ENTRY)
    await outage(rig, 0.0)
    entries = [
        SnapshotEntry(f"servers/{name}", json.dumps(ENTRY).encode(), 2)
        for name in ("s1", "s2")
    ]
    for _ in range(20):
        rig.feed.apply_peer_entries(entries, 0.05)
        await asyncio.sleep(0.1)
    rig.store.fault = lambda request: None
    await wait_for(lambda: not rig.feed._is_store_unavailable)
    begun_s = asyncio.get_running_loop().time()
    await rig.store.put("servers/s1", None)
    await wait_for(lambda: not rig.lists())
    assert asyncio.get_running_loop().time() - begun_s < 0.8


async def test_a_pause_of_the_process_is_no_outage_of_the_store(rig):
    await rig.store.put("servers/s1", ENTRY)
    await rig.store.put("servers/s2", ENTRY)
    await wait_for(lambda: rig.lists("s2"))
    time.sleep(2.2)
    begun_s = asyncio.get_running_loop().time()
    await rig.store.put("servers/s1", None)
    await wait_for(lambda: not rig.lists())
    assert asyncio.get_running_loop().time() - begun_s < 0.8


async def test_a_router_takes_the_servers_of_one_that_the_store_answers(rig):
    await outage(rig, 1.0)
    rig.feed.is_store_watcher = lambda: False
    assert not rig.feed.may_skip_watching()
    entries = [SnapshotEntry("servers/s2", json.dumps(ENTRY).encode(), 9)]
    rig.feed.apply_peer_entries(entries, rig.feed.age_s + 5)
    assert not rig.lists("s2")
    rig.feed.apply_peer_entries(entries, 0.2)
    assert rig.lists("s2") and not rig.lists("s1")


async def test_a_router_rests_while_the_word_of_others_is_fresh(rig):
    await rig.store.put("servers/s1", ENTRY)
    await wait_for(rig.lists)
    rig.feed.is_store_watcher = lambda: False
    until_s = asyncio.get_running_loop().time() + 1.5
    await asyncio.sleep(0.5)
    calls = rig.store.calls.count("/kv-watch")
    while asyncio.get_running_loop().time() < until_s:
        rig.feed.confirm(0.1)
        await asyncio.sleep(0.05)
    assert rig.store.calls.count("/kv-watch") <= calls + 1


async def test_a_resting_router_asks_itself_once_the_word_is_old(rig):
    await rig.store.put("servers/s1", ENTRY)
    await wait_for(rig.lists)
    rig.feed.is_store_watcher = lambda: False
    await rig.store.put("servers/s1", None)
    begun_s = asyncio.get_running_loop().time()
    await wait_for(lambda: not rig.lists())
    assert asyncio.get_running_loop().time() - begun_s < 2.0


async def test_an_item_of_another_key_is_no_configuration(rig):
    rig.configuration._apply_item(StoreItem("op/configuration", b"{}", 3))
    assert not rig.tables
