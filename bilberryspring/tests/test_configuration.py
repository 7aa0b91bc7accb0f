"""An accepted configuration is soon in force in every process and never reverts.

Guards against processes that keep an old version or go back to one during and after
outages, cut or silent connections, restarts and freezes, and against a publish request
that is lost, applied twice or accepted beside a concurrent one.
"""

import asyncio
import json
import time
from contextlib import asynccontextmanager

import pytest

from bilberryspring.platform.keyvalue import (
    make_key_value_client,
)
from bilberryspring.process.accounting import make_ledger
from bilberryspring.process.administration_client import (
    AdministrationResponse,
    OperatorSettings,
    make_administration_client,
)
from bilberryspring.standin.fleet import OPERATOR_KEY, make_fleet
from bilberryspring.tests.version_observer import VersionObserver
from bilberryspring.version.index import digest_key
from bilberryspring.version.publish import list_changes, make_token, read_head

IN_FORCE_LIMIT_S = 3.0
CATCH_UP_LIMIT_S = 10.0
START_TIMEOUT_S = 30.0
ZONES = ("cankaya", "yenimahalle", "kecioren")


def make_numbered_document(number: int) -> dict:
    """Return a document whose workspace key and weight depend on a number."""
    return {
        "pools": [
            {"name": "roll-writer", "kind": "engine"},
            {"name": "print-order-desk", "kind": "service"},
        ],
        "models": [{"name": "m", "pool": "roll-writer", "max_context_tokens": 100_000}],
        "work_ranks": [
            {"name": "urgent", "order": 0, "minimum_share": 0.5, "target_wait_s": 60}
        ],
        "routes": [
            {
                "name": "orders",
                "pool": "print-order-desk",
                "work_rank": "urgent",
                "idempotent": True,
                "deadline_s": 60,
            }
        ],
        "workspaces": [
            {"name": "clerks", "key_digests": [digest_key(f"key-{number}")]},
            {"name": "weighted", "key_digests": [], "weight": float(number)},
        ],
    }


@asynccontextmanager
async def open_fleet(tmp_path, *, proxied=(), routers=2):
    async with make_fleet(tmp_path) as fleet:
        await fleet.start_platform()
        await fleet.publish(make_numbered_document(1))
        nodes = [
            await fleet.add_router(ZONES[number], proxied=proxied)
            for number in range(routers)
        ]
        nodes.append(await fleet.add_engine("roll-writer", ZONES[1], proxied=proxied))
        nodes.append(
            await fleet.add_service("print-order-desk", ZONES[2], proxied=proxied)
        )
        await fleet.wait_ready(*nodes)
        async with VersionObserver(fleet) as observer:
            assert not await observer.wait_for_version(1, START_TIMEOUT_S)
            yield fleet, observer
            assert observer.list_reverts() == []


def list_routers(fleet):
    return [name for name in fleet.nodes if name.startswith("router")]


@asynccontextmanager
async def open_client(*addresses):
    settings = OperatorSettings(
        administration_addresses=list(addresses), operator_key=OPERATOR_KEY
    )
    client = make_administration_client(settings)
    await client.start()
    try:
        yield client
    finally:
        await client.close()


async def publish(
    fleet, number, base_version, router="router-1"
) -> AdministrationResponse:
    address = fleet.nodes[router].administration_address
    async with open_client(address) as client:
        document = json.dumps(make_numbered_document(number)).encode()
        answer = await client.publish(document, base_version, make_token())
    assert isinstance(answer, AdministrationResponse), answer
    return answer


async def publish_accepted(fleet, number, base_version, router="router-1"):
    answer = await publish(fleet, number, base_version, router)
    assert answer.document.get("version") == base_version + 1, answer.document


async def read_accepted_version(fleet):
    """Return the accepted version and the number of versions ever accepted."""
    client = make_key_value_client([fleet.key_value_address], 10.0, make_ledger())
    await client.start()
    try:
        head = await read_head(client)
        changes = await list_changes(client, head.version + 100, 1000)
    finally:
        await client.close()
    return head.version, len(changes)


async def call_orders_status(fleet, router, key):
    record = await fleet.call_service(fleet.nodes[router], key, "orders", b"{}")
    assert record.status, record.error
    return record.status


async def test_a_version_is_in_force_at_every_process_and_seen_by_callers(tmp_path):
    async with open_fleet(tmp_path) as (fleet, observer):
        for base_version in (1, 2):
            new, old = f"key-{base_version + 1}", f"key-{base_version}"
            for router in list_routers(fleet):
                assert await call_orders_status(fleet, router, new) == 401
                assert await call_orders_status(fleet, router, old) == 200
            await publish_accepted(fleet, base_version + 1, base_version)
            assert not await observer.wait_for_version(
                base_version + 1, IN_FORCE_LIMIT_S
            )
            for router in list_routers(fleet):
                assert await call_orders_status(fleet, router, new) == 200
                assert await call_orders_status(fleet, router, old) == 401


async def test_of_racing_operators_one_is_accepted(tmp_path):
    async with open_fleet(tmp_path) as (fleet, observer):
        for base_version in range(1, 4):
            numbers = (10 * base_version, 10 * base_version + 1)
            answers = await asyncio.gather(
                *(
                    publish(fleet, number, base_version, router)
                    for number, router in zip(numbers, list_routers(fleet), strict=True)
                )
            )
            assert sorted(answer.status for answer in answers) == [200, 409]
            refused = next(answer for answer in answers if answer.status == 409)
            assert refused.document["accepted_version"] == base_version + 1
            accepted_number = numbers[[answer.status for answer in answers].index(200)]
            assert not await observer.wait_for_version(
                base_version + 1, IN_FORCE_LIMIT_S
            )
            for number in numbers:
                expected = 200 if number == accepted_number else 401
                for router in list_routers(fleet):
                    key = f"key-{number}"
                    assert await call_orders_status(fleet, router, key) == expected
        assert await read_accepted_version(fleet) == (4, 4)


@pytest.mark.parametrize("fault", ["lose_replies", "hang_replies"])
async def test_a_reply_lost_after_its_effect_is_settled(tmp_path, fault):
    async with open_fleet(tmp_path) as (fleet, observer):
        prefix = "/bilberryspring/configuration/"
        await fleet.set_platform_faults(**{fault: 1}, reply_prefix=prefix)
        address = fleet.nodes["router-1"].administration_address
        async with open_client(address) as client:
            document = json.dumps(make_numbered_document(2)).encode()
            headers = {"If-Match": "1"}
            answer = await client.call("PUT", "/v1/configuration", document, headers)
        assert answer.document.get("version") == 2, answer.document
        assert not await observer.wait_for_version(2, IN_FORCE_LIMIT_S)
        assert await read_accepted_version(fleet) == (2, 2)


async def test_an_operator_whose_router_was_lost_repeats_it_at_another(tmp_path):
    async with open_fleet(tmp_path) as (fleet, observer):
        first, second = (fleet.nodes[name] for name in list_routers(fleet))
        proxy = fleet.start_proxy("operator-proxy", first.administration_address)
        await fleet.wait_ready(proxy)
        await fleet.set_faults(proxy, cut_after_bytes_down=1)
        addresses = (proxy.settings["address"], second.administration_address)
        async with open_client(*addresses) as client:
            document = json.dumps(make_numbered_document(2)).encode()
            answer = await client.publish(document, 1, make_token())
        assert answer.document["version"] == 2
        assert not await observer.wait_for_version(2, IN_FORCE_LIMIT_S)
        assert await read_accepted_version(fleet) == (2, 2)


async def test_an_outage_right_after_acceptance_stops_nothing(tmp_path):
    async with open_fleet(tmp_path, proxied=("key_value",)) as (fleet, observer):
        # The other processes lose the key-value service before the version is accepted.
        for name, node in fleet.nodes.items():
            if name != "router-1":
                await fleet.set_faults(node.proxies["key_value"], mode="cut")
        await publish_accepted(fleet, 2, 1)
        await fleet.set_platform_faults(outage=True)
        assert not await observer.wait_for_version(2, IN_FORCE_LIMIT_S)
        refused = await publish(fleet, 3, 2)
        assert refused.status == 503 and refused.document["outcome"] == "not_run"
        assert await call_orders_status(fleet, "router-2", "key-2") == 200


async def test_processes_restarted_in_an_outage_serve_the_accepted_version(tmp_path):
    async with open_fleet(tmp_path, routers=3) as (fleet, observer):
        frozen_process = fleet.nodes["agent-4"].process
        frozen_process.freeze()
        await publish_accepted(fleet, 2, 1)
        other_names = [name for name in fleet.nodes if name != "agent-4"]
        assert not await observer.wait_for_version(2, IN_FORCE_LIMIT_S, other_names)
        await fleet.set_platform_faults(outage=True)
        for name in ("router-2", "agent-5"):
            fleet.nodes[name].process.kill()
            fleet.nodes[name].process.start()
        frozen_process.thaw()
        assert not await observer.wait_for_version(2, START_TIMEOUT_S)
        for name in ("router-2", "agent-5"):
            assert set(observer.list_versions(name)) <= {0, 2}
        assert await call_orders_status(fleet, "router-2", "key-2") == 200
        assert await call_orders_status(fleet, "router-2", "key-1") == 401
        await fleet.set_platform_faults()
        await publish_accepted(fleet, 3, 2)
        assert not await observer.wait_for_version(3, IN_FORCE_LIMIT_S)


async def test_a_node_that_was_cut_off_catches_up(tmp_path):
    async with open_fleet(tmp_path, proxied=("peer", "key_value")) as (fleet, observer):
        cut_off = "agent-4"
        cut_proxies = [node.proxies["peer"] for node in fleet.nodes.values()]
        cut_proxies.append(fleet.nodes[cut_off].proxies["key_value"])
        for proxy in cut_proxies:
            await fleet.set_faults(proxy, mode="cut")
        await publish_accepted(fleet, 2, 1)
        await publish_accepted(fleet, 3, 2)
        other_names = [name for name in fleet.nodes if name != cut_off]
        assert not await observer.wait_for_version(3, IN_FORCE_LIMIT_S, other_names)
        assert observer.latest_version(cut_off) == 1
        for proxy in cut_proxies:
            await fleet.set_faults(proxy)
        assert not await observer.wait_for_version(3, CATCH_UP_LIMIT_S)


async def test_silent_connections_to_the_key_value_service_delay_nothing(tmp_path):
    async with open_fleet(tmp_path, proxied=("key_value",)) as (fleet, observer):
        for node in fleet.nodes.values():
            await fleet.set_faults(node.proxies["key_value"], mode="silent")
        await fleet.publish(make_numbered_document(2))
        assert not await observer.wait_for_version(2, IN_FORCE_LIMIT_S)


async def test_a_refused_document_changes_nothing(tmp_path):
    faulty = make_numbered_document(2)
    faulty["routes"][0]["pool"] = "none"
    faulty["work_ranks"][0]["minimum_share"] = 2
    async with open_fleet(tmp_path) as (fleet, observer):
        address = fleet.nodes["router-1"].administration_address
        async with open_client(address) as client:
            document = json.dumps(faulty).encode()
            answer = await client.publish(document, 1, make_token())
        assert answer.status == 422
        paths = {fault["path"] for fault in answer.document["faults"]}
        assert paths == {"routes[0].pool", "work_ranks[0].minimum_share"}
        assert (await publish(fleet, 2, 0)).status == 409
        assert await read_accepted_version(fleet) == (1, 1)
        for router in list_routers(fleet):
            assert await call_orders_status(fleet, router, "key-1") == 200
            assert await call_orders_status(fleet, router, "key-2") == 401
        assert {observer.latest_version(name) for name in fleet.nodes} == {1}


async def test_no_process_reverts_over_pauses_restarts_and_an_outage(tmp_path):
    async with open_fleet(tmp_path) as (fleet, observer):
        frozen_node, restarted_node = fleet.nodes["agent-3"], fleet.nodes["agent-4"]
        for base_version in range(1, 13):
            if base_version == 3:
                frozen_node.process.freeze()
            if base_version == 6:
                restarted_node.process.kill()
                restarted_node.process.start()
            if base_version == 9:
                frozen_node.process.thaw()
            await publish_accepted(
                fleet, base_version + 1, base_version, f"router-{1 + base_version % 2}"
            )
        await fleet.set_platform_faults(outage=True)
        assert not await observer.wait_for_version(13, CATCH_UP_LIMIT_S)
        await fleet.set_platform_faults()
        started_s = time.monotonic()
        await publish_accepted(fleet, 14, 13)
        assert not await observer.wait_for_version(14, IN_FORCE_LIMIT_S)
        assert time.monotonic() - started_s < START_TIMEOUT_S
