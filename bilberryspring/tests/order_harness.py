"""Fleet that runs orders under faults, and checks against the journals of its services.

An order is a request of the non-idempotent route of :func:`make_orders_document`, sent
with an idempotency key.
"""

import asyncio
import time
from collections import Counter

from bilberryspring.platform.keyvalue import (
    make_key_value_client,
)
from bilberryspring.process.accounting import ControlMechanism, make_ledger
from bilberryspring.request.claim_values import CLAIM_PREFIX, decode_claim_value
from bilberryspring.request.errors import Failure
from bilberryspring.request.idempotency import make_idempotency_key
from bilberryspring.standin.fleet import make_fleet
from bilberryspring.tests.documents import SERVICE_POOL, WORKSPACE_KEY, make_document

SERVICE_DEADLINE_S = 3.0
KEY_VALUE_TIMEOUT_S = 1.0
WAIT_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.02
RETRY_INTERVAL_S = 0.25
CALLER_TIMEOUT_S = 30.0
FINAL_ERROR_KINDS = {"outcome_unknown", "idempotency_key_expired"}


def make_orders_document():
    """Return the shared configuration document with short service deadlines."""
    document = make_document()
    for route in document["routes"]:
        if route["pool"] == SERVICE_POOL:
            route["deadline_s"] = SERVICE_DEADLINE_S
    return document


def read_error_kind(record):
    """Return the error kind of a record's problem document; empty if it has none."""
    return record.problem.get("type", "").rpartition(":")[2]


class OrderHarness:
    """Two routers, several agents with a plain service each, and the callers' records.

    :param fleet: fleet in which the processes run.
    :param agent_count: number of agents in the pool.
    :param proxied: links of the agents that get a fault-injecting proxy.
    :param agent_settings: settings of the agents that differ from the fleet's.
    :ivar records: record of every order sent, earliest end first.
    """

    def __init__(self, fleet, agent_count, proxied, agent_settings):
        self.fleet = fleet
        self.agent_count = agent_count
        self.proxied = proxied
        self.agent_settings = agent_settings
        self.agents = []
        self.routers = []
        self.records = []
        self._router_picks = 0

    async def start(self):
        await self.fleet.start_platform()
        await self.fleet.publish(make_orders_document())
        for _ in range(self.agent_count):
            agent = await self.fleet.add_service(
                SERVICE_POOL, "z", proxied=self.proxied, agent=self.agent_settings
            )
            self.agents.append(agent)
        for _ in range(2):
            self.routers.append(await self.fleet.add_router("z"))
        await self.fleet.wait_ready()

    async def send_order(self, key, router=None):
        """Send an order and return its record.

        :param key: idempotency key.
        :param router: router to use; None for each router in turn.
        """
        record = await self.fleet.call_service(
            router or self._next_router(),
            WORKSPACE_KEY,
            "orders",
            f"print order {key}".encode(),
            idempotency_key=key,
            timeout_s=CALLER_TIMEOUT_S,
        )
        self.records.append(record)
        return record

    def _next_router(self):
        self._router_picks += 1
        return self.routers[self._router_picks % len(self.routers)]

    async def call_status(self):
        """Send an idempotent request, which needs no claim."""
        return await self.fleet.call_service(
            self._next_router(), WORKSPACE_KEY, "status", b"", method="GET"
        )

    async def order_until_final(self, key):
        """Repeat an order with the same key until its outcome is final."""
        wait_until_s = time.monotonic() + WAIT_TIMEOUT_S
        while time.monotonic() < wait_until_s:
            record = await self.send_order(key)
            if record.status == 200 or read_error_kind(record) in FINAL_ERROR_KINDS:
                return record
            await asyncio.sleep(RETRY_INTERVAL_S)
        raise AssertionError(f"no final outcome after {WAIT_TIMEOUT_S} s: {record}")

    async def clear_faults(self):
        """End every fault and restart the agents that were killed."""
        await self.fleet.set_platform_faults()
        for agent in self.agents:
            agent.process.thaw()
            await self.fleet.set_faults(agent.backend)
            for proxy in agent.proxies.values():
                await self.fleet.set_faults(proxy)
            if not agent.process.is_running:
                agent.process.start()
        await self.fleet.wait_ready()

    async def set_proxy_faults(self, link, **faults):
        for agent in self.agents:
            await self.fleet.set_faults(agent.proxies[link], **faults)

    async def set_service_faults(self, **faults):
        for agent in self.agents:
            await self.fleet.set_faults(agent.backend, **faults)

    async def wait_for_claim(self, key):
        """Wait until a claim of a key exists and return its decoded value."""
        return decode_claim_value((await self.wait_for_claim_item(key)).value)

    async def wait_for_claim_item(self, key):
        """Wait until a claim of a key exists and return its key-value item."""
        client = make_key_value_client(
            [self.fleet.key_value_address], KEY_VALUE_TIMEOUT_S, make_ledger()
        )
        await client.start()
        try:
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                while True:
                    result = await client.get_prefix(
                        CLAIM_PREFIX, mechanism=ControlMechanism.CLAIMS
                    )
                    items = () if isinstance(result, Failure) else result.items
                    for item in items:
                        if item.key.endswith(key):
                            return item
                    await asyncio.sleep(POLL_INTERVAL_S)
        finally:
            await client.close()

    async def wait_for_run(self, key, *, finished):
        """Wait until the journals hold a run of a key and return the agent that ran it.

        :param key: idempotency key.
        :param finished: whether to wait until the run has finished.
        """
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                for agent in self.agents:
                    for run in self.fleet.read_runs(agent):
                        is_finished = run["finished_s"] is not None
                        if run["idempotency_key"] == key and is_finished >= finished:
                            return agent
                await asyncio.sleep(POLL_INTERVAL_S)

    def count_runs(self):
        """Return the number of runs of each idempotency key in the journals."""
        return Counter(run["idempotency_key"] for run in self._read_all_runs())

    def _read_all_runs(self):
        return [run for agent in self.agents for run in self.fleet.read_runs(agent)]

    def assert_outcomes_match_runs(self):
        """Check the callers' records against the services' journals.

        No key ran more than once, no request that was reported as not run has a run,
        and the key of every successful order has exactly one.
        """
        runs = self.count_runs()
        repeated = {key: count for key, count in runs.items() if key and count > 1}
        assert not repeated, "keys that ran more than once"
        ran_request_ids = {run["request_id"] for run in self._read_all_runs()}
        for record in self.records:
            if record.problem.get("outcome") == "not_run":
                assert record.request_id not in ran_request_ids, record
            if record.status == 200:
                assert runs[record.idempotency_key] == 1, record


def make_order_key():
    """Return a new idempotency key with the present time."""
    return make_idempotency_key(time.time())


def make_order_harness(
    directory, agent_count=2, proxied=("peer", "backend"), **agent_settings
):
    """Return a harness whose fleet has a short key-value timeout.

    :param directory: directory of the fleet; see :class:`OrderHarness` for the rest.
    """
    settings = {"key_value_timeout_s": KEY_VALUE_TIMEOUT_S}
    fleet = make_fleet(directory, settings=settings)
    return OrderHarness(fleet, agent_count, proxied, agent_settings)
