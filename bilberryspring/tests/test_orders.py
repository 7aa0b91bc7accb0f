"""An engine carries out no operator order that is older than one it has carried out.

Guards against a delayed or repeated order that undoes a newer one, also if its agent
was restarted in between.
"""

import json

import pytest

from bilberryspring.connection.peers import make_peer_pool
from bilberryspring.process.accounting import make_ledger
from bilberryspring.process.settings import ProcessSettings
from bilberryspring.request.errors import ErrorKind, Failure
from bilberryspring.standin.fleet import FLEET_SECRET, OPERATOR_KEY, make_fleet
from bilberryspring.tests.documents import ENGINE_POOL, MODEL, make_document


class OrderSender:
    """Process of the fleet that sends orders with a given fencing number to agents."""

    def __init__(self, fleet):
        self.ledger = make_ledger()
        settings = ProcessSettings(
            instance_id="router-9",
            availability_zone="zone-1",
            region="ankara",
            fleet_secret=FLEET_SECRET,
            key_value_addresses=[fleet.key_value_address],
            instance_list_address=fleet.instance_list_address,
        )
        self.peers = make_peer_pool(settings, self)

    async def send(self, agent, target, fencing):
        order = {
            "order": "load_adapter",
            "target": target,
            "operator": "op",
            "token": "t",
            "fencing": fencing,
        }
        return await self.peers.call(
            agent.entry["address"], "orders.obey", json.dumps(order).encode(), 10.0
        )


async def submit_order(fleet, agent, target):
    url = (
        f"http://{fleet.router.administration_address}/v1/instances/"
        f"{agent.instance_id}/orders"
    )
    async with fleet.session.post(
        url,
        json={"order": "load_adapter", "target": target},
        headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
    ) as response:
        return response.status, await response.json(content_type=None)


async def list_accepted_orders(fleet, agent):
    journal = await fleet.read_journal(agent)
    return [
        (each["target"], each["fencing"])
        for each in journal["orders"]
        if each["accepted"]
    ]


@pytest.fixture
async def fleet(tmp_path):
    async with make_fleet(tmp_path) as fleet:
        await fleet.start_platform()
        await fleet.publish(make_document())
        fleet.router = await fleet.add_router("zone-1")
        yield fleet


@pytest.mark.parametrize("checks_fencing", [True, False])
async def test_an_old_order_is_not_obeyed(fleet, checks_fencing):
    agent = await fleet.add_engine(
        ENGINE_POOL, "zone-1", models=[MODEL], checks_fencing=checks_fencing
    )
    await fleet.wait_ready(agent, fleet.router)
    _, first = await submit_order(fleet, agent, "first")
    _, second = await submit_order(fleet, agent, "second")
    assert first["fencing"] < second["fencing"]
    sender = OrderSender(fleet)
    late_reply = await sender.send(agent, "first", first["fencing"])
    assert isinstance(late_reply, Failure) and late_reply.kind is ErrorKind.STALE_ORDER
    agent.process.kill()
    await agent.process.wait_ended()
    agent.process.start()
    await fleet.wait_ready(agent)
    late_reply = await sender.send(agent, "first", first["fencing"])
    assert isinstance(late_reply, Failure) and late_reply.kind is ErrorKind.STALE_ORDER
    await sender.peers.close()
    accepted = await list_accepted_orders(fleet, agent)
    assert accepted == [("first", first["fencing"]), ("second", second["fencing"])]


async def test_orders_without_the_key_value_service_are_refused(fleet):
    agent = await fleet.add_engine(ENGINE_POOL, "zone-1", models=[MODEL])
    await fleet.wait_ready(agent, fleet.router)
    await fleet.set_platform_faults(outage=True)
    status, problem = await submit_order(fleet, agent, "first")
    assert status == 503 and problem["type"].endswith("platform_unavailable")
    assert await list_accepted_orders(fleet, agent) == []


@pytest.mark.parametrize("body", [{"order": "x"}, [], {"order": 1, "target": "y"}])
async def test_a_malformed_order_is_refused(fleet, body):
    agent = await fleet.add_engine(ENGINE_POOL, "zone-1", models=[MODEL])
    await fleet.wait_ready(agent, fleet.router)
    url = f"http://{fleet.router.administration_address}/v1/instances/agent-2/orders"
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    async with fleet.session.post(url, json=body, headers=headers) as response:
        assert response.status == 400
    assert await list_accepted_orders(fleet, agent) == []
