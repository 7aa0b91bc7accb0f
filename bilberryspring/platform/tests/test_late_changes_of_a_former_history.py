"""Changes of a former history that arrive after another router's list of the next.

Guards against a server that left and gets work again, because its leaving counts as one
of the restored history.
"""

import asyncio

import pytest
from aiohttp import web

from bilberryspring.identifiers import StoreEpoch
from bilberryspring.platform.tests.test_leavings_after_restoration import (
    READY,
    is_ready,
)
from bilberryspring.platform.tests.test_store_watchers import (
    WatcherHarness,
    make_snapshot_entry,
    wait_for,
)


@pytest.fixture
async def harness():
    harness = WatcherHarness()
    await harness.start()
    yield harness
    await harness.close()


async def test_leaving_read_late_holds_in_the_restored_history(harness):
    for name in ("s1", "s2"):
        await harness.store.put(f"servers/{name}", READY)
    await wait_for(lambda: is_ready(harness) and is_ready(harness, "s2"))
    # The next watch is on its way.
    await asyncio.sleep(0.5)
    copy = harness.store.copy()
    entries = [make_snapshot_entry(name, READY, 2) for name in ("s1", "s2")]
    harness.server_watcher.apply_peer_entries(entries, 0.0, StoreEpoch(2))
    leaving = {**READY, "state": "draining", "seq": 12}
    await harness.store.put("servers/s1", leaving)
    await wait_for(lambda: not is_ready(harness))
    await harness.store.restore(copy)
    await wait_for(lambda: harness.client.epoch == 2)
    await asyncio.sleep(0.3)
    assert is_ready(harness, "s2")
    assert not is_ready(harness)


async def test_late_response_does_not_confirm_the_list_of_another_router(harness):
    await harness.store.put("servers/s1", READY)
    await wait_for(lambda: is_ready(harness))
    await asyncio.sleep(0.5)
    entries = [make_snapshot_entry("s1", READY, 2)]
    harness.server_watcher.apply_peer_entries(entries, 5.0, StoreEpoch(2))
    harness.store.fault = lambda request: web.Response(status=503)
    # The watch that waits is answered, and no call after it.
    await harness.store.put("servers/s2", READY)
    await wait_for(lambda: is_ready(harness, "s2"))
    assert harness.server_watcher.age_s > 4.5
