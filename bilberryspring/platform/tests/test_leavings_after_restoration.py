"""Servers that left before their metadata store was restored from a copy.

Guards against requests to a server that the copy lists as ready although it had left.
"""

import asyncio

import pytest
from aiohttp import web

from bilberryspring.connection.load_messages import hash_name
from bilberryspring.connection.router_reports import LeavingReport
from bilberryspring.identifiers import StoreEpoch
from bilberryspring.platform.document_decoders import decode_server
from bilberryspring.platform.tests.test_store_watchers import (
    SERVER_ENTRY,
    WatcherHarness,
    make_snapshot_entry,
    wait_for,
)
from bilberryspring.process import server_leavings
from bilberryspring.process.server_leavings import LeavingSource
from bilberryspring.process.server_table import make_server_table

READY = {**SERVER_ENTRY, "seq": 10}
BORN_MS = SERVER_ENTRY["born"]


@pytest.fixture
async def harness():
    harness = WatcherHarness()
    await harness.start()
    yield harness
    await harness.close()


def is_ready(harness, server_id="s1"):
    ready = harness.servers.list_ready("desk")
    return server_id in {record.server.server_id for record in ready}


async def leave(harness, how):
    """Let s1 leave in the store; return a copy that lists it as ready."""
    await harness.store.put("servers/s1", READY)
    await harness.store.put("servers/s2", READY)
    await wait_for(lambda: is_ready(harness) and is_ready(harness, "s2"))
    copy = harness.store.copy()
    entry = {**READY, "state": "draining", "seq": 12} if how == "draining" else None
    await harness.store.put("servers/s1", entry)
    await wait_for(lambda: not is_ready(harness))
    return copy


async def restore(harness, copy):
    await harness.store.restore(copy)
    await wait_for(lambda: harness.server_watcher.store_epoch == 2)
    await asyncio.sleep(0.1)


@pytest.mark.parametrize("how", ["draining", "removed"])
async def test_server_that_left_gets_no_work_again_after_a_restoration(harness, how):
    copy = await leave(harness, how)
    await restore(harness, copy)
    assert not is_ready(harness)
    assert is_ready(harness, "s2")
    await harness.store.put("servers/s1", {**READY, "state": "draining", "seq": 13})
    await harness.store.put("servers/s2", {**READY, "seq": 11})
    await asyncio.sleep(0.6)
    assert not is_ready(harness)
    assert is_ready(harness, "s2")


@pytest.mark.parametrize(
    "changes",
    [{"seq": 13}, {"born": BORN_MS + 1, "seq": 1}],
    ids=["later report", "later start"],
)
async def test_server_that_reports_again_after_a_restoration_gets_work(
    harness, changes
):
    copy = await leave(harness, "draining")
    await restore(harness, copy)
    await harness.store.put("servers/s1", {**READY, **changes})
    await wait_for(lambda: is_ready(harness))


@pytest.mark.parametrize(
    "changes",
    [{"born": BORN_MS - 1, "seq": 99}, {"seq": None}, {"seq": True}, {"seq": -5}],
    ids=["earlier start", "no number", "bool", "negative"],
)
async def test_entry_that_cannot_be_later_than_the_leaving_is_not_believed(
    harness, changes
):
    copy = await leave(harness, "draining")
    await restore(harness, copy)
    await harness.store.put("servers/s1", {**READY, **changes})
    await asyncio.sleep(0.6)
    assert not is_ready(harness)


async def test_order_of_the_store_decides_within_one_history(harness):
    await leave(harness, "draining")
    await harness.store.put("servers/s1", {**READY, "seq": 3})
    await wait_for(lambda: is_ready(harness))


async def test_server_that_was_held_returns_when_the_leaving_expires(
    harness, monkeypatch
):
    copy = await leave(harness, "removed")
    await restore(harness, copy)
    assert not is_ready(harness)
    monkeypatch.setitem(server_leavings._LIFETIMES_S, LeavingSource.STORE, 0.1)
    await wait_for(lambda: is_ready(harness))


async def test_restarted_server_is_not_replaced_by_its_entry_in_the_copy(harness):
    await harness.store.put("servers/s1", READY)
    copy = harness.store.copy()
    restarted = {**READY, "born": BORN_MS + 5, "seq": 1, "slots": 3}
    await harness.store.put("servers/s1", restarted)
    await wait_for(
        lambda: (
            harness.is_listed()
            and harness.servers.records["s1"].server.started_at_ms == BORN_MS + 5
        )
    )
    await restore(harness, copy)
    assert is_ready(harness)
    assert harness.servers.records["s1"].server.slots == 3


async def test_snapshot_of_a_router_brings_no_server_back_that_left(harness):
    await leave(harness, "draining")
    harness.server_watcher.apply_peer_entries(
        [make_snapshot_entry("s1", READY, 2)], 5.0, StoreEpoch(2)
    )
    assert harness.is_listed() and not is_ready(harness)


async def test_digest_stays_that_of_the_list_while_a_leaving_is_held(harness):
    copy = await leave(harness, "draining")
    await restore(harness, copy)
    other = make_server_table()
    for server_id in ("s1", "s2"):
        entry = make_snapshot_entry(server_id, {**READY, "seq": 44})
        other.put(decode_server(server_id, entry.value), StoreEpoch(2))
    assert other.digest == harness.servers.digest


async def test_leaving_that_another_router_reports_is_held_after_a_restoration(
    harness,
):
    await harness.store.put("servers/s1", READY)
    await harness.store.put("servers/s2", READY)
    await wait_for(lambda: is_ready(harness, "s2"))
    report = LeavingReport(hash_name("s1"), BORN_MS, 12, StoreEpoch(1), 2.0)
    harness.servers.merge_leavings([report])
    await restore(harness, harness.store.copy())
    assert not is_ready(harness) and is_ready(harness, "s2")
    await harness.store.put("servers/s1", {**READY, "seq": 13})
    await wait_for(lambda: is_ready(harness))
    harness.servers.merge_leavings([report])
    assert is_ready(harness)


async def test_router_that_keeps_a_missing_server_confirms_no_list_with_it(harness):
    store = harness.store
    await store.put("servers/s1", READY)
    await store.put("servers/s2", READY)
    await wait_for(lambda: is_ready(harness, "s2"))
    former_digest = harness.servers.digest
    await restore(harness, store.copy())
    await store.put("servers/s1", None)
    await wait_for(lambda: "s1" not in harness.server_watcher.entries)
    assert harness.is_listed()
    assert harness.servers.digest != former_digest
    expected = make_server_table()
    entry = make_snapshot_entry("s2", READY)
    expected.put(decode_server("s2", entry.value))
    assert harness.servers.digest == expected.digest


@pytest.mark.parametrize("how", ["draining", "removed"])
async def test_snapshot_confirmed_by_a_late_response_brings_no_server_back(
    harness, how
):
    await leave(harness, how)
    watcher = harness.server_watcher
    harness.store.fault = lambda request: web.Response(status=503)
    await wait_for(lambda: watcher.age_s > 0.1)
    entries = [make_snapshot_entry(name, READY) for name in ("s1", "s2")]
    watcher.apply_peer_entries(entries, 0.0, StoreEpoch(1))
    assert not is_ready(harness) and is_ready(harness, "s2")
    await wait_for(lambda: watcher.age_s > 0.1)
    entries[0] = make_snapshot_entry("s1", {**READY, "seq": 13})
    watcher.apply_peer_entries(entries, 0.0, StoreEpoch(1))
    assert is_ready(harness)
