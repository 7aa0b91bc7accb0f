"""Key-value stand-in and client in one process, for measuring the cost of calls."""

import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from bilberryspring.capability.store import (
    Store,
)
from bilberryspring.platform.keyvalue import (
    make_key_value_client,
)
from bilberryspring.process.accounting import Ledger
from bilberryspring.standin.key_value import (
    STANDIN,
    KeyValueSettings,
    make_key_value_application,
)
from bilberryspring.standin.serving import start_site

__all__ = ["run_key_value_standin"]


@asynccontextmanager
async def run_key_value_standin(
    ledger: Ledger, timeout_s: float
) -> AsyncIterator[tuple[Store, dict[str, int]]]:
    """Run a key-value stand-in with rate limits that are never reached, and a client.

    :param ledger: ledger for the traffic of the client.
    :param timeout_s: timeout of a call in seconds.
    :returns: the client, and the number of calls by kind that the stand-in updates.
    """
    address = f"127.{200 + os.getpid() // 256 % 50}.{os.getpid() % 256}.1:9000"
    settings = KeyValueSettings(address=address, writes_per_s=1e6, reads_per_s=1e6)
    application = make_key_value_application(settings)
    runner = await start_site(application, address)
    client = make_key_value_client([address], timeout_s, ledger)
    await client.start()
    try:
        yield client, application[STANDIN].calls
    finally:
        await client.close()
        await runner.cleanup()
