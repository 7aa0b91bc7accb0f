"""Evacuations of availability zones in the store, and at routers that it rejects."""

import asyncio
import time

import aiohttp
import pytest
from aiohttp import web

from bilberryspring.identifiers import StoreEpoch
from bilberryspring.platform import evacuation_watcher
from bilberryspring.platform.evacuation_watcher import EvacuationWatcher
from bilberryspring.platform.metadata_store import make_metadata_store
from bilberryspring.platform.tests.platform_standin import ServerStandin, StoreStandin
from bilberryspring.platform.tests.test_front_router import (
    Router,
    deployment,
    find_router_ports,
    send_request,
)
from bilberryspring.platform.tests.test_store_watchers import wait_for
from bilberryspring.process.zone_evacuations import make_zone_evacuations
from bilberryspring.standin.addresses import make_address_block
from bilberryspring.standin.proxy import Proxy, ProxySettings
from bilberryspring.standin.proxy_faults import ProxyFaults, ProxyMode

__all__ = ["deployment"]

# Time within which a router must know of a change, of the 5 s that operators allow.
LEARNING_S = 2.0
# At once; so many that no server gets all of them.
REQUESTS = 12


class Harness:
    """A store and a watcher of its evacuations."""

    async def start(self):
        self.store = StoreStandin()
        await self.store.start()
        self.client = make_metadata_store(self.store.address)
        self.evacuations = make_zone_evacuations(count_servers=lambda zone: 1)
        self.watcher = EvacuationWatcher(self.client, self.evacuations)
        self.task = asyncio.create_task(self.watcher.run())

    async def close(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        self.client.close()
        await self.store.close()

    async def put(self, zone, value=b""):
        await self.store.put(f"op/evacuate/{zone}", value)

    async def begin_outage(self):
        """Refuse calls, and end the watch that waits already with a change."""
        self.store.fault = lambda request: web.Response(status=503)
        await self.put("last")
        await self.wait_for("last")

    async def wait_for(self, zone, is_evacuated=True, timeout_s=3.0):
        await wait_for(
            lambda: self.evacuations.is_evacuated(zone) == is_evacuated, timeout_s
        )


@pytest.fixture
async def harness():
    harness = Harness()
    await harness.start()
    yield harness
    await harness.close()


async def test_zone_is_evacuated_while_its_key_exists(harness):
    await harness.put("z1")
    await harness.wait_for("z1")
    await harness.put("z1", None)
    await harness.wait_for("z1", False)


@pytest.mark.parametrize("value", [b"", b"[" * 9_000, b"\xff\xfe", b"false", b"null"])
async def test_key_alone_asks_whatever_its_value(harness, value):
    await harness.put("z1", value)
    await harness.wait_for("z1")


async def test_odd_names_get_one_line_and_sound_ones_hold(harness, monkeypatch):
    lines = []
    monkeypatch.setattr(
        evacuation_watcher, "log_event", lambda event, **fields: lines.append(event)
    )
    for _ in range(3):
        await harness.put("", b"x")
    for name in ("no such zone", "a/b", "\x00\n", "é" * 90):
        await harness.put(name)
    await harness.put("z1")
    await harness.wait_for("z1")
    assert lines == ["update_refused"]
    assert not harness.task.done()


async def test_evacuation_lasts_through_an_outage_and_its_end_is_seen_after_it(harness):
    await harness.put("z1")
    await harness.wait_for("z1")
    await harness.begin_outage()
    await harness.put("z1", None)
    await harness.put("z2")
    await asyncio.sleep(0.4)
    assert harness.evacuations.is_evacuated("z1")
    harness.store.fault = lambda request: None
    await harness.wait_for("z1", False)
    await harness.wait_for("z2")


async def test_compacted_history_loses_and_revives_nothing(harness):
    await harness.put("z1")
    await harness.put("z2")
    await harness.wait_for("z2")
    await harness.begin_outage()
    await harness.put("z2", None)
    harness.store.oldest_revision = harness.store.revision
    harness.store.fault = lambda request: None
    await harness.wait_for("z2", False)
    assert harness.evacuations.is_evacuated("z1")


@pytest.mark.parametrize("is_in_copy", [True, False])
async def test_restored_store_neither_loses_nor_revives_an_evacuation(
    harness, is_in_copy
):
    if not is_in_copy:
        copy = harness.store.copy()
    await harness.put("z1")
    await harness.wait_for("z1")
    if is_in_copy:
        copy = harness.store.copy()
        await harness.put("z1", None)
        await harness.wait_for("z1", False)
    await harness.store.restore(copy)
    await wait_for(lambda: harness.client.epoch == StoreEpoch(2))
    await asyncio.sleep(0.2)
    assert harness.evacuations.is_evacuated("z1") is not is_in_copy
    # What the store writes in its new history counts.
    await harness.put("z1")
    await harness.wait_for("z1")
    await harness.put("z1", None)
    await harness.wait_for("z1", False)


async def test_removal_right_after_a_restoration_is_told_from_a_lost_entry(harness):
    await harness.put("z1")
    await harness.put("z2")
    await harness.wait_for("z2")
    copy = harness.store.copy()
    await harness.begin_outage()
    await harness.store.restore(copy)
    await harness.put("z1", None)
    harness.store.fault = lambda request: None
    # Any other call notices the restoration.
    await harness.client.read_key("op/config")
    await harness.wait_for("z1", False)
    assert harness.evacuations.is_evacuated("z2")


async def test_router_reads_the_store_once_while_others_watch(harness):
    await harness.put("z0")
    await harness.wait_for("z0")
    harness.watcher.may_skip_watching = lambda: True
    await harness.put("z1")
    await harness.wait_for("z1")
    calls = len(harness.store.called_paths)
    await harness.put("z2")
    await asyncio.sleep(0.5)
    assert len(harness.store.called_paths) == calls
    harness.watcher.may_skip_watching = lambda: False
    await harness.wait_for("z2")


async def count_requests(session, router, servers):
    """Send requests at once; return how many of them each server executed."""
    before = {name: len(server.executed) for name, server in servers.items()}
    sent = [
        send_request(session, router, "/open/x", request_id=f"q{time.monotonic_ns()}")
        for _ in range(REQUESTS)
    ]
    assert {status for status, _, _ in await asyncio.gather(*sent)} == {200}
    return {name: len(each.executed) - before[name] for name, each in servers.items()}


@pytest.fixture
async def away_server(deployment):
    """Add a second server, in a zone of its own."""
    server = ServerStandin("s2")
    await server.start()
    for name, each, zone in (("s1", deployment.server, "z"), ("s2", server, "away")):
        each.delay_s = 0.05
        await deployment.store.put(f"servers/{name}", each.make_entry(zone=zone))
    yield server
    await server.close()


@pytest.fixture
async def store_proxy(deployment):
    addresses = make_address_block()
    proxy = Proxy(
        ProxySettings(
            address=f"{addresses.take_host()}:9000",
            upstream_address=deployment.store.address,
            control_address="127.0.0.1:1",
        )
    )
    await proxy.start()
    yield proxy
    await proxy.close()
    addresses.close()


async def test_router_that_the_store_rejects_holds_an_evacuation(
    deployment, away_server, store_proxy
):
    """The store serves one router and rejects the other, then it is down for both."""
    servers = {"s1": deployment.server, "s2": away_server}
    addresses = make_address_block()
    ips = [addresses.take_host() for _ in range(2)]
    ports = find_router_ports()[0]
    sound = await deployment.add_router(ip=ips[0], ports=ports, seeds=ips)
    rejected = Router(
        deployment.tmp_path,
        store_proxy.settings.address,
        ip=ips[1],
        ports=ports,
        seeds=ips,
    )
    deployment.routers.append(rejected)
    await rejected.start()
    async with aiohttp.ClientSession() as session:
        for router in (sound, rejected):
            await router.wait_ready()
        counts = await count_requests(session, rejected, servers)
        assert min(counts.values()) > 0
        store_proxy.set_faults(ProxyFaults(mode=ProxyMode.CUT))
        await deployment.store.put("op/evacuate/away", b"")
        await asyncio.sleep(LEARNING_S)
        for router in (sound, rejected):
            assert (await count_requests(session, router, servers))["s2"] == 0
    # It starts anew, and hears of the evacuation from the other alone.
    await rejected.close()
    await rejected.start()
    await rejected.wait_ready()
    async with aiohttp.ClientSession() as session:
        assert (await count_requests(session, rejected, servers))["s2"] == 0
        deployment.store.fault = lambda request: web.Response(status=503)
        # Watches that wait already end with this change.
        await deployment.store.put("op/evacuate/other", b"")
        await asyncio.sleep(0.2)
        await deployment.store.put("op/evacuate/away", None)
        await asyncio.sleep(0.5)
        for router in (sound, rejected):
            assert (await count_requests(session, router, servers))["s2"] == 0
        deployment.store.fault = lambda request: None
        await asyncio.sleep(LEARNING_S)
        for router in (sound, rejected):
            assert (await count_requests(session, router, servers))["s2"] > 0
    log = rejected.log_path.read_text()
    assert "event=zone_evacuated zone=away servers=1 source=router" in log
    assert "event=zone_returned zone=away servers=1 source=router" in log
    addresses.close()
