"""Key-value stand-in and client, shared by the tests of this package."""

from contextlib import asynccontextmanager

from aiohttp.test_utils import TestClient, TestServer

from bilberryspring.platform.keyvalue import (
    make_key_value_client,
)
from bilberryspring.process.accounting import make_ledger
from bilberryspring.standin.key_value import (
    KeyValueSettings,
    make_key_value_application,
)


@asynccontextmanager
async def open_key_value(timeout_s=5.0):
    """Yield a client of a key-value stand-in, and a test client that controls it.

    :param timeout_s: timeout of the client's calls, in seconds.
    """
    settings = KeyValueSettings(
        address="127.0.0.1:1", writes_per_s=100_000, reads_per_s=100_000
    )
    server = TestServer(make_key_value_application(settings))
    async with TestClient(server) as control:
        address = f"{server.host}:{server.port}"
        client = make_key_value_client([address], timeout_s, make_ledger())
        await client.start()
        try:
            yield client, control
        finally:
            await client.close()
