"""Dissemination of configuration versions to the nodes of a fleet.

Few nodes watch the key-value service; the others learn a version from announcements of
their peers. Guards against nodes that miss or lag behind a version, also when they
start during an outage of the service, and against too many watchers.
"""

import asyncio

import pytest

from bilberryspring.standin.configurations import make_configuration
from bilberryspring.version import startup
from bilberryspring.version.delta import compare_configurations, encode_delta
from bilberryspring.version.partners import is_watcher
from bilberryspring.version.publish import make_token, publish_configuration
from bilberryspring.version.tests.follower_fleet import StaticInstanceList, open_fleet
from bilberryspring.version.tests.key_value_fixture import open_key_value
from bilberryspring.version.updates import Announcement, DeltaLog

ADOPTION_TIMEOUT_S = 3.0
START_TIMEOUT_S = 10.0


async def publish(key_value, base):
    configuration = make_configuration(weight=base + 1)
    result = await publish_configuration(
        key_value, base, configuration, "ayse", make_token()
    )
    assert result.version == base + 1


async def test_every_node_follows_while_a_fixed_number_of_nodes_watch():
    async with open_key_value() as (key_value, control), open_fleet(control) as fleet:
        await publish(key_value, 0)
        await fleet.start(18)
        # wait_for_version returns the nodes that have not adopted the version in time.
        assert not await fleet.wait_for_version(1, START_TIMEOUT_S)
        for base in (1, 2, 3):
            await publish(key_value, base)
            assert not await fleet.wait_for_version(base + 1, ADOPTION_TIMEOUT_S)
        nodes = fleet.instance_list.all_nodes()
        watchers = [
            node
            for node in nodes
            if is_watcher(node.instance_id, node.availability_zone, nodes)
        ]
        assert len(watchers) == 6
        assert all(
            node.adopted_versions == sorted(node.adopted_versions)
            for node in fleet.nodes
        )
        digests = {node.follower.digest for node in fleet.nodes}
        assert len(digests) == 1


async def test_a_node_without_announcements_learns_the_version_from_its_partner():
    async with open_key_value() as (key_value, control), open_fleet(control) as fleet:
        await publish(key_value, 0)
        await fleet.start(6)
        assert not await fleet.wait_for_version(1, START_TIMEOUT_S)
        visible = StaticInstanceList()
        visible.nodes = [fleet.nodes[0].instance]
        late = fleet.add(visible)
        fleet.instance_list.nodes.remove(late.instance)
        await late.start()
        await publish(key_value, 1)
        assert not await fleet.wait_for_version(2, ADOPTION_TIMEOUT_S)


async def test_a_node_fetches_a_version_announced_without_a_delta():
    async with open_key_value() as (key_value, control), open_fleet(control) as fleet:
        await publish(key_value, 0)
        await fleet.start(2)
        for base in (1, 2, 3):
            await publish(key_value, base)
        for node in fleet.nodes:
            node.follower.learn_version(4, "nobody")
        assert not await fleet.wait_for_version(4, ADOPTION_TIMEOUT_S)


@pytest.mark.parametrize("version_of_peers", [0, 1, 2])
async def test_a_node_started_in_an_outage_adopts_the_version_of_its_peers_if_any(
    monkeypatch, version_of_peers
):
    monkeypatch.setattr(startup, "PROPAGATION_TIME_S", 0.3)
    async with open_key_value() as (key_value, control), open_fleet(control) as fleet:
        if version_of_peers:
            await publish(key_value, 0)
        await fleet.start(6)
        if version_of_peers == 2:
            await publish(key_value, 1)
        if version_of_peers:
            assert not await fleet.wait_for_version(version_of_peers, START_TIMEOUT_S)
        await control.post("/standin/faults", json={"outage": True})
        late = fleet.add()
        await late.start()
        if version_of_peers:
            assert await late.holder.wait_for(1, START_TIMEOUT_S)
        assert late.adopted_versions == ([version_of_peers] if version_of_peers else [])
        if not version_of_peers:
            await control.post("/standin/faults", json={})
            await publish(key_value, 0)
            assert not await fleet.wait_for_version(1, START_TIMEOUT_S)


async def test_a_start_during_an_outage_activates_the_highest_version_of_its_peers(
    monkeypatch,
):
    monkeypatch.setattr(startup, "PROPAGATION_TIME_S", 0.1)
    async with open_key_value() as (key_value, control), open_fleet(control) as fleet:
        await publish(key_value, 0)
        await fleet.start(6)
        assert not await fleet.wait_for_version(1, START_TIMEOUT_S)
        for node in fleet.nodes[:4]:  # stay at version 1 but respond to calls
            await node.follower.close()
            node.follower.handle_announcement = lambda announcement, caller: 1
        await publish(key_value, 1)
        for node in fleet.nodes[4:]:
            assert await node.holder.wait_for(2, ADOPTION_TIMEOUT_S)
        await control.post("/standin/faults", json={"outage": True})
        late = fleet.add()
        await late.start()
        assert await late.holder.wait_for(1, START_TIMEOUT_S)
        assert late.adopted_versions == [2]


async def test_a_start_during_an_outage_waits_for_a_version_that_is_propagating():
    async with open_key_value() as (key_value, control), open_fleet(control) as fleet:
        await publish(key_value, 0)
        await fleet.start(6)
        assert not await fleet.wait_for_version(1, START_TIMEOUT_S)
        await control.post("/standin/faults", json={"outage": True})
        late = fleet.add()
        starting = asyncio.create_task(late.start())
        await asyncio.sleep(1.0)
        before, after = make_configuration(weight=1), make_configuration(weight=2)
        delta = encode_delta(compare_configurations(before, 1, after, 2))
        fleet.nodes[0].follower.handle_announcement(Announcement(2, delta), "publisher")
        await starting
        assert await late.holder.wait_for(1, START_TIMEOUT_S)
        assert late.adopted_versions == [2]


async def test_a_start_during_an_outage_requires_replies_of_half_of_the_polled_nodes(
    monkeypatch,
):
    monkeypatch.setattr(startup, "PROPAGATION_TIME_S", 0.1)
    async with open_key_value() as (key_value, control), open_fleet(control) as fleet:
        await publish(key_value, 0)
        await fleet.start(6)
        assert not await fleet.wait_for_version(1, START_TIMEOUT_S)
        await control.post("/standin/faults", json={"outage": True})
        await asyncio.gather(*(node.server.close() for node in fleet.nodes[:4]))
        late = fleet.add()
        await late.start()
        assert not await late.holder.wait_for(1, 2.0)
        await control.post("/standin/faults", json={})
        assert await late.holder.wait_for(1, START_TIMEOUT_S)


async def test_outdated_and_invalid_announcements_do_not_change_the_version():
    async with open_key_value() as (key_value, control), open_fleet(control) as fleet:
        await publish(key_value, 0)
        await fleet.start(1)
        node = fleet.nodes[0]
        assert not await fleet.wait_for_version(1, START_TIMEOUT_S)
        await publish(key_value, 1)
        assert not await fleet.wait_for_version(2, ADOPTION_TIMEOUT_S)
        base, other = make_configuration(weight=2), make_configuration(seed=5)
        wrong_base = compare_configurations(other, 2, base, 3)
        announcements = [
            Announcement(1),
            Announcement(3, b"{"),
            Announcement(3, encode_delta(wrong_base)),
            Announcement(10**9),
        ]
        for announcement in announcements:
            assert node.follower.handle_announcement(announcement, "peer") == 2
        await publish(key_value, 2)
        assert not await fleet.wait_for_version(3, ADOPTION_TIMEOUT_S)
        assert node.adopted_versions == [1, 2, 3]


def test_the_delta_log_keeps_consecutive_deltas_within_its_size_limit():
    log = DeltaLog(max_bytes=30)
    for version in range(2, 8):
        log.append(version, b"x" * 10)
        log.append(version, b"x" * 10)
    assert len(log.select(4, 7)) == 3
    assert log.select(3, 7) == ()
    log.append(9, b"y")
    assert log.select(6, 9) == ()
    assert log.select(8, 9) == (b"y",)


async def test_a_watch_is_reopened_after_an_unexpected_exception(monkeypatch):
    async with open_key_value() as (key_value, control), open_fleet(control) as fleet:
        await publish(key_value, 0)
        node = fleet.add()
        watch, calls = node.key_value.watch, []

        def fail_once(*arguments, **options):
            calls.append(len(calls))
            if len(calls) == 1:
                raise KeyError("defect")
            return watch(*arguments, **options)

        monkeypatch.setattr(node.key_value, "watch", fail_once)
        await node.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            while len(calls) < 2:
                await asyncio.sleep(0.05)
        await publish(key_value, 1)
        assert not await fleet.wait_for_version(2, ADOPTION_TIMEOUT_S)
