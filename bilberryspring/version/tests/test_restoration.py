"""Configuration while the key-value service is restored from a copy."""

import asyncio

import pytest

from bilberryspring.request.errors import Failure, Outcome
from bilberryspring.standin.configurations import make_configuration
from bilberryspring.version.publish import (
    MECHANISM,
    make_token,
    publish_configuration,
    read_head,
    read_version,
    restore_version,
)
from bilberryspring.version.tests.follower_fleet import open_fleet
from bilberryspring.version.tests.key_value_fixture import open_key_value
from bilberryspring.version.tests.test_dissemination import (
    ADOPTION_TIMEOUT_S,
    START_TIMEOUT_S,
    publish,
)


async def restore(control):
    assert (await control.post("/standin/restore")).status == 200


async def copy(control):
    assert (await control.post("/standin/copy")).status == 200


async def test_every_node_learns_of_a_restoration():
    async with open_key_value() as (key_value, control), open_fleet(control) as fleet:
        await publish(key_value, 0)
        await fleet.start(18)
        assert not await fleet.wait_for_version(1, START_TIMEOUT_S)
        await copy(control)
        await restore(control)
        await key_value.get("/any", mechanism=MECHANISM)
        unaware = fleet.nodes
        async with asyncio.timeout(ADOPTION_TIMEOUT_S):
            while unaware:
                await asyncio.sleep(0.05)
                current_id = key_value.history.current_id
                unaware = [
                    node
                    for node in fleet.nodes
                    if node.key_value.history.current_id != current_id
                ]


@pytest.mark.parametrize("copied_version", [0, 1])
async def test_lost_version_is_accepted_again_and_its_number_is_not_reused(
    copied_version,
):
    async with open_key_value() as (key_value, control), open_fleet(control) as fleet:
        if not copied_version:
            await copy(control)
        await publish(key_value, 0)
        if copied_version:
            await copy(control)
        await publish(key_value, 1)
        await fleet.start(6)
        assert not await fleet.wait_for_version(2, START_TIMEOUT_S)
        await publish(key_value, 2)
        assert not await fleet.wait_for_version(3, ADOPTION_TIMEOUT_S)
        digest = fleet.nodes[0].follower.digest
        await restore(control)
        async with asyncio.timeout(ADOPTION_TIMEOUT_S):
            head = None
            while head is None or head.version < 3:
                await asyncio.sleep(0.05)
                head = await read_head(key_value)
        assert (head.version, head.digest) == (3, digest)
        late = fleet.add()
        await late.start()
        assert late.adopted_versions == [3]
        await publish(key_value, 3)
        assert not await fleet.wait_for_version(4, ADOPTION_TIMEOUT_S)
        assert all(
            node.adopted_versions == sorted(node.adopted_versions)
            for node in fleet.nodes
        )


@pytest.mark.parametrize("base_version", [1, 2])
async def test_publication_is_refused_while_the_active_version_is_lost(base_version):
    async with open_key_value() as (key_value, control):
        await publish(key_value, 0)
        await copy(control)
        await publish(key_value, 1)
        await restore(control)
        refused = await publish_configuration(
            key_value,
            base_version,
            make_configuration(weight=9),
            "ayse",
            make_token(),
            active_version=2,
        )
        assert isinstance(refused, Failure)
        assert refused.outcome is Outcome.NOT_RUN
        assert (await read_head(key_value)).version == 1


async def test_version_that_is_not_lost_is_not_written_again():
    async with open_key_value() as (key_value, _):
        await publish(key_value, 0)
        await publish(key_value, 1)
        for version in (1, 2):
            record = await read_version(key_value, version)
            assert await restore_version(key_value, record) is False
        assert (await read_head(key_value)).version == 2
