"""Every process knows the platform's list in seconds, though few fetch it.

The instance list stand-in counts what it served, the engines' journals tell where the
routers placed chats, and the callers keep every answer.
"""

import asyncio
import time

import pytest

from bilberryspring.platform.instances import (
    parse_instance_list,
)
from bilberryspring.process.list_partners import ListPlace, find_fetch_turn
from bilberryspring.standin.callers import find_answer_faults
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
SLOT_S = 1.0
FEW_SECONDS_S = 3.0
# With no partner a list counts as old after 8 s, and is then polled every second.
ALONE_S = 12.0
CALLS_PER_S = 20.0
BEFORE_S = 1.5
AFTER_S = 7.0
CHATS = 40
ANSWER_TOKENS = 2
ROLL_OUT_CHANGES = 20
ROLL_OUT_INTERVAL_S = 0.5


class ListFleet:
    """Engines behind two routers that callers use and one that they do not."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.engines = []
        self.routers = []
        self.spare = None
        self.joining = None
        self.sent = []

    async def start(self):
        await self.fleet.start_platform()
        await self.fleet.publish(make_document())
        self.engines = [await self._add_engine() for _ in range(3)]
        self.fleet.unlisted.add(f"agent-{len(self.fleet.nodes) + 1}")
        self.joining = await self._add_engine()
        links = ("peer", "instances")
        routers = [await self.fleet.add_router(ZONE, proxied=links) for _ in range(3)]
        *self.routers, self.spare = routers
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
    def leaving(self):
        return self.engines[0]

    def make_list(self):
        nodes = self.fleet.nodes.values()
        listed = [n for n in nodes if n.instance_id not in self.fleet.unlisted]
        entries = [node.entry for node in listed]
        return parse_instance_list({"revision": 1, "instances": entries})

    def is_fetcher(self, node, slot):
        entry = node.entry
        place = ListPlace(
            entry["instance_id"], entry["availability_zone"], entry["region"]
        )
        return find_fetch_turn(place, self.make_list(), slot) == 0

    async def await_turn_of(self, node):
        """Wait until shortly before a slot of a node that another one follows."""
        while True:
            slot = int(time.time() / SLOT_S) + 1
            if self.is_fetcher(node, slot) and not self.is_fetcher(node, slot + 1):
                await asyncio.sleep((slot - 0.3) * SLOT_S - time.time())
                return
            await asyncio.sleep((slot + 0.1) * SLOT_S - time.time())

    async def change_list(self):
        """Let one engine leave and another one join, by the list alone."""
        self.leaving.entry["state"] = "leaving"
        self.fleet.unlisted.clear()
        await self.fleet.push_list()
        return time.monotonic()

    async def send_load(self, duration_s):
        tasks = []
        start_s = time.monotonic()
        for number in range(int(duration_s * CALLS_PER_S)):
            await asyncio.sleep(start_s + number / CALLS_PER_S - time.monotonic())
            tasks.append(asyncio.create_task(self._send(number)))
        self.sent += await asyncio.gather(*tasks)

    async def _send(self, number):
        return await self.fleet.chat(
            self.routers[number % 2],
            WORKSPACE_KEY,
            [{"role": "user", "content": f"roll {number}"}],
            model=MODEL,
            max_tokens=ANSWER_TOKENS,
            headers={"X-Chat-Key": f"chat-{number % CHATS}"},
        )

    def read_starts(self, node):
        return [run["received_s"] for run in self.fleet.read_runs(node)]

    async def read_list_report(self):
        return await self.fleet.read_report(self.fleet.processes["instances"], "calls")

    async def set_link(self, nodes, link, mode):
        for node in nodes:
            await self.fleet.set_faults(node.proxies[link], mode=mode)

    async def read_revisions(self, nodes):
        health = [await self.fleet.read_health(node) for node in nodes]
        return [each["instance_list_revision"] for each in health]


@pytest.fixture
async def listed(tmp_path):
    async with make_fleet(tmp_path) as fleet:
        listed = ListFleet(fleet)
        await listed.start()
        yield listed


async def disturb_nothing(listed):
    pass


async def kill_fetcher(listed):
    await listed.await_turn_of(listed.spare)
    listed.spare.process.kill()


async def freeze_fetcher(listed):
    await listed.await_turn_of(listed.spare)
    listed.spare.process.freeze()


async def cut_routers_from_list(listed):
    await listed.set_link(listed.routers, "instances", "cut")


async def silence_list_to_routers(listed):
    await listed.set_link(listed.routers, "instances", "silent")


async def silence_list_to_all(listed):
    """Every open connection is silent for good; new ones work."""
    nodes = [*listed.engines, listed.joining, *listed.routers, listed.spare]
    await listed.set_link(nodes, "instances", "silent")


FAULTS = [
    disturb_nothing,
    kill_fetcher,
    freeze_fetcher,
    cut_routers_from_list,
    silence_list_to_routers,
    silence_list_to_all,
]
# A fetch over a silent connection is given up after this.
FETCH_TIMEOUT_S = 2.0


@pytest.mark.parametrize("fault", FAULTS)
async def test_routers_place_by_the_latest_list(listed, fault):
    await listed.send_load(BEFORE_S)
    assert len(listed.read_starts(listed.leaving)) > 3, "it had no work before"
    await fault(listed)
    changed_s = await listed.change_list()
    await listed.send_load(AFTER_S)
    if fault is freeze_fetcher:
        # It tells its partners the old list.
        listed.spare.process.thaw()
        await listed.send_load(AFTER_S)
    known_s = changed_s + FEW_SECONDS_S
    if fault is silence_list_to_all:
        known_s += FETCH_TIMEOUT_S
    late = [s for s in listed.read_starts(listed.leaving) if s > known_s]
    assert [s - changed_s for s in late] == []
    assert min(listed.read_starts(listed.joining)) < known_s
    for record in listed.sent:
        assert find_answer_faults(record, MODEL, ENGINE_VERSION) == []


async def test_few_fetch_while_the_list_changes_all_the_time(listed):
    before = await listed.read_list_report()
    started_s = time.monotonic()
    for number in range(ROLL_OUT_CHANGES):
        listed.leaving.entry["weight"] = 1.0 + number
        await listed.fleet.push_list()
        await asyncio.sleep(ROLL_OUT_INTERVAL_S)
    elapsed_s = time.monotonic() - started_s
    after = await listed.read_list_report()
    nodes = listed.fleet.nodes.values()
    await asyncio.sleep(FEW_SECONDS_S - ROLL_OUT_INTERVAL_S)
    assert set(await listed.read_revisions(nodes)) == {after["revision"]}
    fetched = after["whole_replies"] - before["whole_replies"]
    # One a zone and slot, and one more where processes differ about the slot.
    assert fetched <= 2 * (elapsed_s / SLOT_S + 1), "each would fetch every second"
    assert fetched < len(nodes) * elapsed_s / SLOT_S / 2


async def test_each_fetches_where_no_partner_is_reached(listed):
    nodes = [*listed.engines, *listed.routers]
    await listed.set_link(nodes, "peer", "cut")
    await listed.set_link([listed.joining, listed.spare], "peer", "cut")
    await listed.change_list()
    await asyncio.sleep(ALONE_S)
    report = await listed.read_list_report()
    assert set(await listed.read_revisions(nodes)) == {report["revision"]}


async def test_an_outage_of_the_list_is_survived_and_its_end_noticed(listed):
    instances = listed.fleet.processes["instances"]
    await listed.fleet.set_faults(instances, outage=True)
    await listed.change_list()
    await listed.send_load(ALONE_S)
    assert listed.read_starts(listed.joining) == []
    await listed.fleet.set_faults(instances, outage=False)
    healed_s = time.monotonic()
    await listed.send_load(AFTER_S)
    late = [s for s in listed.read_starts(listed.leaving) if s > healed_s]
    assert [s - healed_s for s in late if s > healed_s + FEW_SECONDS_S] == []
    assert min(listed.read_starts(listed.joining)) < healed_s + FEW_SECONDS_S
    for record in listed.sent:
        assert find_answer_faults(record, MODEL, ENGINE_VERSION) == []
