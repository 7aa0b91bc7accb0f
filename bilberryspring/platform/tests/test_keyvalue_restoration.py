"""The key-value client while its store is restored from a copy."""

import asyncio

import pytest
from aiohttp.test_utils import TestServer

from bilberryspring.capability.store import WatchEvent, WatchReset
from bilberryspring.platform.keyvalue import make_key_value_client
from bilberryspring.process.accounting import ControlMechanism, make_ledger
from bilberryspring.request.errors import Failure
from bilberryspring.standin.key_value import (
    STANDIN,
    KeyValueSettings,
    make_key_value_application,
)

CLAIMS = ControlMechanism.CLAIMS
WAIT_S = 5.0


@pytest.fixture
async def restored():
    application = make_key_value_application(KeyValueSettings(address="127.0.0.1:1"))
    server = TestServer(application)
    await server.start_server()
    address = f"{server.host}:{server.port}"
    client = make_key_value_client([address], 2.0, make_ledger())
    await client.start()
    yield application[STANDIN], client
    await client.close()
    await server.close()


async def test_watch_misses_no_change_of_a_restored_store(restored):
    standin, client = restored
    await client.put("/a", b"kept", mechanism=CLAIMS)
    standin.make_copy()
    await client.put("/a", b"lost", mechanism=CLAIMS)
    revision = await client.put("/b", b"lost", mechanism=CLAIMS)
    seen, messages = asyncio.Event(), []

    async def follow():
        async for message in client.watch("/", revision + 1, mechanism=CLAIMS):
            messages.append(message)
            if isinstance(message, WatchReset):
                # The first write of the new history has the number of a lost one.
                await client.put("/a", b"first", mechanism=CLAIMS)
            if isinstance(message, WatchEvent):
                seen.set()

    following = asyncio.create_task(follow())
    while not standin.watches:
        await asyncio.sleep(0.01)
    standin.restore()
    try:
        async with asyncio.timeout(WAIT_S):
            await seen.wait()
    finally:
        following.cancel()
        await asyncio.gather(following, return_exceptions=True)
    values = [each.item.value for each in messages if isinstance(each, WatchEvent)]
    assert values == [b"first"]


async def test_late_reply_of_a_former_history_is_not_taken(restored):
    standin, client = restored
    await client.put("/a", b"kept", mechanism=CLAIMS)
    standin.make_copy()
    await client.put("/b", b"lost", mechanism=CLAIMS)
    former_id = standin.store.cluster_id
    standin.restore()
    assert await client.get("/b", mechanism=CLAIMS) is None
    new_id, standin.store.cluster_id = standin.store.cluster_id, former_id
    late = await client.get("/a", mechanism=CLAIMS)
    assert isinstance(late, Failure)
    assert "former cluster" in late.reason
    standin.store.cluster_id = new_id
    assert (await client.get("/a", mechanism=CLAIMS)).value == b"kept"


async def test_changes_of_history_are_told_once(restored):
    standin, client = restored
    changes = []
    client.history.change_callbacks.append(lambda: changes.append(1))
    standin.make_copy()
    await client.get("/a", mechanism=CLAIMS)
    assert changes == []
    for _ in range(2):
        standin.restore()
        await client.get("/a", mechanism=CLAIMS)
        await client.get("/a", mechanism=CLAIMS)
    assert changes == [1, 1]
