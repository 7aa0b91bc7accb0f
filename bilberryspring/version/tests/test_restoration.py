"""Configuration while the key-value service is restored from a copy."""

import asyncio

from bilberryspring.version.publish import MECHANISM
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
