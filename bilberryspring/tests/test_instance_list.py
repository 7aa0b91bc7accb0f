"""Every process receives a new instance list within seconds, though few fetch it.

Guards against routers that place chats by an old list because the process that fetches
it is lost or its connection fails, and against too many fetches. The instance list
stand-in counts the fetches and the engines' journals show where chats were placed.
"""

import asyncio
import time

import pytest

from bilberryspring.platform.instances import (
    parse_instance_list,
)
from bilberryspring.process.list_partners import ProcessLocation, find_fetch_turn
from bilberryspring.standin.callers import find_answer_errors
from bilberryspring.standin.fleet import make_fleet
from bilberryspring.tests.documents import (
    ENGINE_POOL,
    MODEL,
    WORKSPACE_KEY,
    make_document,
)

pytestmark = pytest.mark.timed

ENGINE_VERSION = "engine-1"
ZONE = "z"
FETCH_SLOT_S = 1.0
NOTICE_LIMIT_S = 3.0
# A process without a partner considers its list old after 8 s and then polls every
# second.
OLD_LIST_WAIT_S = 12.0
CALLS_PER_S = 20.0
LOAD_BEFORE_S = 1.5
LOAD_AFTER_S = 7.0
CHAT_COUNT = 40
ANSWER_TOKENS = 2
ROLL_OUT_CHANGES = 20
ROLL_OUT_INTERVAL_S = 0.5


class ListFleet:
    """Engines behind two routers that callers use and a third that they do not."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.engines = []
        self.routers = []
        self.unused_router = None
        self.joining_engine = None
        self.records = []

    async def start(self):
        await self.fleet.start_platform()
        await self.fleet.publish(make_document())
        self.engines = [await self._add_engine() for _ in range(3)]
        self.fleet.unlisted.add(f"agent-{len(self.fleet.nodes) + 1}")
        self.joining_engine = await self._add_engine()
        links = ("peer", "instances")
        routers = [await self.fleet.add_router(ZONE, proxied=links) for _ in range(3)]
        *self.routers, self.unused_router = routers
        await self.fleet.wait_ready()

    async def _add_engine(self):
        return await self.fleet.add_engine(
            ENGINE_POOL,
            ZONE,
            proxied=("peer", "instances"),
            models=[MODEL],
            answer_tokens=100_000_000,
        )

    @property
    def leaving_engine(self):
        return self.engines[0]

    def make_list(self):
        nodes = self.fleet.nodes.values()
        listed_nodes = [n for n in nodes if n.instance_id not in self.fleet.unlisted]
        entries = [node.entry for node in listed_nodes]
        return parse_instance_list({"revision": 1, "instances": entries})

    def is_fetcher(self, node, slot):
        entry = node.entry
        location = ProcessLocation(
            entry["instance_id"], entry["availability_zone"], entry["region"]
        )
        return find_fetch_turn(location, self.make_list(), slot) == 0

    async def wait_for_turn(self, node):
        """Wait until shortly before a time slot in which a node fetches the list.

        Another node of its zone fetches in the slot after that.
        """
        while True:
            slot = int(time.time() / FETCH_SLOT_S) + 1
            if self.is_fetcher(node, slot) and not self.is_fetcher(node, slot + 1):
                await asyncio.sleep((slot - 0.3) * FETCH_SLOT_S - time.time())
                return
            await asyncio.sleep((slot + 0.1) * FETCH_SLOT_S - time.time())

    async def change_list(self):
        """Mark one engine as leaving and list another one; return the time of that."""
        self.leaving_engine.entry["state"] = "leaving"
        self.fleet.unlisted.clear()
        await self.fleet.update_instance_list()
        return time.monotonic()

    async def send_load(self, duration_s):
        tasks = []
        start_s = time.monotonic()
        for number in range(int(duration_s * CALLS_PER_S)):
            await asyncio.sleep(start_s + number / CALLS_PER_S - time.monotonic())
            tasks.append(asyncio.create_task(self._send(number)))
        self.records += await asyncio.gather(*tasks)

    async def _send(self, number):
        return await self.fleet.chat(
            self.routers[number % 2],
            WORKSPACE_KEY,
            [{"role": "user", "content": f"roll {number}"}],
            model=MODEL,
            max_tokens=ANSWER_TOKENS,
            headers={"X-Chat-Key": f"chat-{number % CHAT_COUNT}"},
        )

    def list_received_times(self, node):
        return [run["received_s"] for run in self.fleet.read_runs(node)]

    async def read_list_report(self):
        return await self.fleet.read_report(self.fleet.processes["instances"], "calls")

    async def set_link_mode(self, nodes, link, mode):
        for node in nodes:
            await self.fleet.set_faults(node.proxies[link], mode=mode)

    async def read_revisions(self, nodes):
        health = [await self.fleet.read_health(node) for node in nodes]
        return [each["instance_list_revision"] for each in health]


@pytest.fixture
async def list_fleet(tmp_path):
    async with make_fleet(tmp_path) as fleet:
        list_fleet = ListFleet(fleet)
        await list_fleet.start()
        yield list_fleet


async def disturb_nothing(list_fleet):
    pass


async def kill_fetcher(list_fleet):
    await list_fleet.wait_for_turn(list_fleet.unused_router)
    list_fleet.unused_router.process.kill()


async def freeze_fetcher(list_fleet):
    await list_fleet.wait_for_turn(list_fleet.unused_router)
    list_fleet.unused_router.process.freeze()


async def cut_routers_from_list(list_fleet):
    await list_fleet.set_link_mode(list_fleet.routers, "instances", "cut")


async def silence_list_to_routers(list_fleet):
    await list_fleet.set_link_mode(list_fleet.routers, "instances", "silent")


async def silence_list_to_all(list_fleet):
    """Silence every open connection to the list; new connections work."""
    nodes = [
        *list_fleet.engines,
        list_fleet.joining_engine,
        *list_fleet.routers,
        list_fleet.unused_router,
    ]
    await list_fleet.set_link_mode(nodes, "instances", "silent")


FAULTS = [
    disturb_nothing,
    kill_fetcher,
    freeze_fetcher,
    cut_routers_from_list,
    silence_list_to_routers,
    silence_list_to_all,
]
# Time after which a fetch over a silent connection fails.
FETCH_TIMEOUT_S = 2.0


@pytest.mark.parametrize("fault", FAULTS)
async def test_routers_place_by_the_latest_list(list_fleet, fault):
    await list_fleet.send_load(LOAD_BEFORE_S)
    assert len(list_fleet.list_received_times(list_fleet.leaving_engine)) > 3, (
        "the engine got no requests before it left"
    )
    await fault(list_fleet)
    changed_s = await list_fleet.change_list()
    await list_fleet.send_load(LOAD_AFTER_S)
    if fault is freeze_fetcher:
        # The thawed router sends its partners the old list.
        list_fleet.unused_router.process.thaw()
        await list_fleet.send_load(LOAD_AFTER_S)
    notice_until_s = changed_s + NOTICE_LIMIT_S
    if fault is silence_list_to_all:
        notice_until_s += FETCH_TIMEOUT_S
    late_s = [
        s
        for s in list_fleet.list_received_times(list_fleet.leaving_engine)
        if s > notice_until_s
    ]
    assert [s - changed_s for s in late_s] == []
    assert (
        min(list_fleet.list_received_times(list_fleet.joining_engine)) < notice_until_s
    )
    for record in list_fleet.records:
        assert find_answer_errors(record, MODEL, ENGINE_VERSION) == []


async def test_few_fetch_while_the_list_changes_all_the_time(list_fleet):
    report_before = await list_fleet.read_list_report()
    started_s = time.monotonic()
    for number in range(ROLL_OUT_CHANGES):
        list_fleet.leaving_engine.entry["weight"] = 1.0 + number
        await list_fleet.fleet.update_instance_list()
        await asyncio.sleep(ROLL_OUT_INTERVAL_S)
    elapsed_s = time.monotonic() - started_s
    report_after = await list_fleet.read_list_report()
    nodes = list_fleet.fleet.nodes.values()
    await asyncio.sleep(NOTICE_LIMIT_S - ROLL_OUT_INTERVAL_S)
    assert set(await list_fleet.read_revisions(nodes)) == {report_after["revision"]}
    fetched = report_after["whole_replies"] - report_before["whole_replies"]
    # One fetch per zone and slot, and one more if the processes disagree on the slot.
    assert fetched <= 2 * (elapsed_s / FETCH_SLOT_S + 1), (
        "more than two fetches per slot"
    )
    assert fetched < len(nodes) * elapsed_s / FETCH_SLOT_S / 2


async def test_each_fetches_where_no_partner_is_reached(list_fleet):
    nodes = [*list_fleet.engines, *list_fleet.routers]
    await list_fleet.set_link_mode(nodes, "peer", "cut")
    await list_fleet.set_link_mode(
        [list_fleet.joining_engine, list_fleet.unused_router], "peer", "cut"
    )
    await list_fleet.change_list()
    await asyncio.sleep(OLD_LIST_WAIT_S)
    report = await list_fleet.read_list_report()
    assert set(await list_fleet.read_revisions(nodes)) == {report["revision"]}


async def test_an_outage_of_the_list_is_survived_and_its_end_noticed(list_fleet):
    instances = list_fleet.fleet.processes["instances"]
    await list_fleet.fleet.set_faults(instances, outage=True)
    await list_fleet.change_list()
    await list_fleet.send_load(OLD_LIST_WAIT_S)
    assert list_fleet.list_received_times(list_fleet.joining_engine) == []
    await list_fleet.fleet.set_faults(instances, outage=False)
    outage_ended_s = time.monotonic()
    await list_fleet.send_load(LOAD_AFTER_S)
    late_s = [
        s
        for s in list_fleet.list_received_times(list_fleet.leaving_engine)
        if s > outage_ended_s
    ]
    assert [
        s - outage_ended_s for s in late_s if s > outage_ended_s + NOTICE_LIMIT_S
    ] == []
    assert (
        min(list_fleet.list_received_times(list_fleet.joining_engine))
        < outage_ended_s + NOTICE_LIMIT_S
    )
    for record in list_fleet.records:
        assert find_answer_errors(record, MODEL, ENGINE_VERSION) == []
