"""Holder of the configuration version in force."""

import asyncio

from bilberryspring.version.holder import make_holder
from bilberryspring.version.objects import Configuration


async def test_wait_ends_at_its_version_and_callbacks_run_at_each_change():
    holder, seen = make_holder(), []
    holder.on_change(lambda version, index: seen.append(version))
    waiter = asyncio.create_task(holder.wait_for(3, timeout_s=60))
    for version in (1, 3, 2, 3):
        await asyncio.sleep(0)
        holder.adopt(version, Configuration())
    assert await waiter
    assert seen == [1, 3]
    assert not await holder.wait_for(4, timeout_s=0.01)
