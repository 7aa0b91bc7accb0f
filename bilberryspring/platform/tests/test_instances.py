"""Client of the platform's instance list."""

import pytest
from aiohttp import web

from bilberryspring.capability.instance_list import (
    InstanceList,
)
from bilberryspring.platform.instances import (
    make_instance_list_client,
    parse_instance_list,
)
from bilberryspring.process.accounting import ControlMechanism, make_ledger
from bilberryspring.request.errors import Failure

INSTANCE_ENTRY = {
    "instance_id": "agent-1",
    "role": "agent",
    "pool": "roll-writer",
    "availability_zone": "cankaya",
    "region": "ankara",
    "address": "127.0.0.1:7000",
    "state": "live",
}


@pytest.mark.parametrize(
    "change",
    [{"role": "cook"}, {"state": 3}, {"weight": -1}, {"address": None, "role": None}],
)
def test_invalid_entry_makes_the_list_a_failure(change):
    document = {"revision": 1, "instances": [{**INSTANCE_ENTRY, **change}]}
    assert isinstance(parse_instance_list(document), Failure)


async def test_unchanged_list_is_not_sent_again_and_an_outage_is_a_failure():
    served = {"revision": 1, "instances": [INSTANCE_ENTRY]}

    async def respond(request):
        if request.headers.get("If-None-Match") == str(served["revision"]):
            return web.Response(status=304)
        if served["revision"] == 3:
            return web.Response(status=200, text="{")
        headers = {"ETag": str(served["revision"])}
        return web.json_response(served, headers=headers)

    app = web.Application()
    app.router.add_get("/v1/instances", respond)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = runner.addresses[0][1]
    ledger = make_ledger()
    client = make_instance_list_client(f"127.0.0.1:{port}", 5.0, ledger)
    await client.start()
    try:
        first = await client.fetch()
        assert isinstance(first, InstanceList)
        assert first.instances[0].pool == "roll-writer"
        assert first.entity_tag == "1"
        assert await client.fetch(first.entity_tag) is None
        served["revision"] = 3
        assert isinstance(await client.fetch(first.entity_tag), Failure)
        await runner.cleanup()
        assert isinstance(await client.fetch(), Failure)
    finally:
        await client.close()
    assert ledger.by_mechanism[ControlMechanism.INSTANCE_LIST].calls == 3
