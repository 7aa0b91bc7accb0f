"""Dissemination of the instance list among processes that call each other directly.

Guards against processes that miss a change because another one fails, against too many
fetches, and against an old or wrong list of a partner.
"""

import asyncio
from dataclasses import replace

import pytest

from bilberryspring.capability.instance_list import (
    Instance,
    InstanceList,
    InstanceState,
    Role,
)
from bilberryspring.connection.instance_list_messages import (
    decode_list_state,
    encode_list_state,
)
from bilberryspring.process import list_follower, list_trust
from bilberryspring.process.accounting import ControlMechanism, make_ledger
from bilberryspring.process.list_follower import ListFollower
from bilberryspring.process.list_history import digest_instances
from bilberryspring.process.list_partners import find_fetch_turn
from bilberryspring.process.membership import Members
from bilberryspring.request.errors import ErrorKind, make_failure

ZONES = ("z1", "z2", "z3")
# Upper limits of the time in which a change reaches every process, and in which a wrong
# list is corrected.
PROPAGATION_S = 3
CORRECTION_S = 10


class Clock:
    now_s = 1000.0

    def __call__(self):
        return self.now_s


def make_node(number, state=InstanceState.LIVE):
    zone = ZONES[number % len(ZONES)]
    return Instance(f"i{number}", Role.AGENT, "p", zone, "r", f"a:{number}", state)


class Platform:
    """The platform's list and a record of its fetches."""

    def __init__(self, nodes):
        self.listed = InstanceList(10, tuple(nodes), "tag-10")
        self.fetches = []
        self.full_fetches = []
        self.unreachable_for = set()
        self.is_down = False

    def show(self, nodes, revision=None):
        revision = revision or self.listed.revision + 1
        self.listed = InstanceList(revision, tuple(nodes), f"tag-{revision}")


class Client:
    def __init__(self, platform, name):
        self.platform = platform
        self.name = name

    async def start(self):
        pass

    async def close(self):
        pass

    async def fetch(self, entity_tag=""):
        platform = self.platform
        if platform.is_down or self.name in platform.unreachable_for:
            return make_failure(ErrorKind.PLATFORM_UNAVAILABLE)
        platform.fetches.append(self.name)
        if entity_tag == platform.listed.entity_tag:
            return None
        platform.full_fetches.append(self.name)
        return platform.listed


class Settings:
    instance_list_poll_s = 1.0

    def __init__(self, node):
        self.instance_id = node.instance_id
        self.availability_zone = node.availability_zone
        self.region = node.region


class FleetPeers:
    """Peer pool of one process that calls the other followers with encoded messages."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name

    async def call(self, address, method, payload, timeout_s):
        called = f"i{address.partition(':')[2]}"
        follower = self.fleet.followers.get(called)
        unresponsive = self.fleet.unresponsive
        if follower is None or called in unresponsive or self.name in unresponsive:
            return make_failure(ErrorKind.PEER_UNREACHABLE)
        reply = follower.receive(decode_list_state(payload), self.name)
        return encode_list_state(reply)


class Fleet:
    def __init__(self, count):
        self.clock = Clock()
        self.unresponsive = set()
        self.followers = {}
        self.nodes = [make_node(number) for number in range(count)]
        self.platform = Platform(self.nodes)

    def add(self, node):
        members = Members(node.instance_id, self.clock)
        made = ListFollower(
            Settings(node),
            Client(self.platform, node.instance_id),
            members,
            FleetPeers(self, node.instance_id),
            make_ledger(),
            self.clock,
        )
        self.followers[node.instance_id] = made
        return made

    async def start(self):
        await asyncio.gather(*(self.add(node).fetch() for node in self.nodes))
        await self.settle()
        await self.run(list_follower.COMPARE_INTERVAL_S)
        self.platform.fetches.clear()
        self.platform.full_fetches.clear()

    async def settle(self):
        while any(follower._tasks for follower in self.followers.values()):
            await asyncio.sleep(0)

    async def run(self, duration_s):
        for _ in range(int(duration_s)):
            self.clock.now_s += 1.0
            turns = {
                name: follower.begin_slot(int(self.clock.now_s))
                for name, follower in self.followers.items()
                if name not in self.unresponsive
            }
            await self.settle()
            begun_s = self.clock.now_s
            self.clock.now_s += list_follower.BACKUP_FETCH_SLOT_SHARE
            for name, follower in self.followers.items():
                if name not in self.unresponsive:
                    follower.continue_slot(turns[name], begun_s)
            self.clock.now_s = begun_s
            await self.settle()

    def revisions(self):
        return {
            follower.history.listed.revision
            for name, follower in self.followers.items()
            if name not in self.unresponsive
        }

    def sees(self, name, instance):
        return self.followers[name]._members.find(instance) is not None


@pytest.fixture
async def fleet():
    fleet = Fleet(60)
    await fleet.start()
    return fleet


async def test_a_change_reaches_all_with_few_fetches(fleet):
    for _ in range(20):
        fleet.nodes[7] = replace(fleet.nodes[7], weight=fleet.nodes[7].weight + 1)
        fleet.platform.show(fleet.nodes)
        await fleet.run(1)
        assert fleet.revisions() == {fleet.platform.listed.revision}
    assert len(fleet.platform.fetches) <= 20 * len(ZONES)
    # The fetching process changes from slot to slot.
    assert max(map(fleet.platform.fetches.count, fleet.platform.fetches)) <= 5
    expected = digest_instances({node.instance_id: node for node in fleet.nodes})
    for follower in fleet.followers.values():
        assert follower.history.digest == expected
        assert follower.ledger.by_mechanism[ControlMechanism.INSTANCE_LIST].sent_bytes


@pytest.mark.parametrize("lost", [1, 30, 59])
async def test_a_change_reaches_all_while_many_are_unresponsive(fleet, lost):
    fleet.unresponsive = {f"i{number}" for number in range(lost)}
    fleet.platform.show([make_node(n, InstanceState.LEAVING) for n in range(60)])
    await fleet.run(CORRECTION_S)
    assert fleet.revisions() == {fleet.platform.listed.revision}


async def test_the_backup_fetches_if_the_first_process_is_unresponsive(fleet):
    for _ in range(5):
        fleet.unresponsive = {
            name
            for name, follower in fleet.followers.items()
            if find_fetch_turn(
                follower._location, fleet.platform.listed, int(fleet.clock.now_s) + 1
            )
            == 0
        }
        assert len(fleet.unresponsive) == len(ZONES)
        fleet.platform.show(fleet.nodes)
        await fleet.run(1)
        assert fleet.revisions() == {fleet.platform.listed.revision}
        fleet.unresponsive = set()
        # Until then their partners skip them.
        await fleet.run(list_follower.PARTNER_BACKOFF_S + PROPAGATION_S)


async def test_a_process_without_partners_fetches_the_list_itself(fleet):
    class UnreachablePeers:
        async def call(self, *args):
            return make_failure(ErrorKind.PEER_UNREACHABLE)

    alone = fleet.followers.pop("i3")
    alone._peers = UnreachablePeers()
    fleet.followers["alone"] = alone
    fleet.platform.show(fleet.nodes[:50])
    await fleet.run(CORRECTION_S)
    assert not fleet.sees("alone", "i55")


async def test_a_process_cut_off_from_the_platform_learns_from_partners(fleet):
    fleet.platform.unreachable_for = {f"i{number}" for number in range(59)}
    fleet.platform.show(fleet.nodes[:50])
    await fleet.run(CORRECTION_S)
    assert fleet.revisions() == {fleet.platform.listed.revision}


async def test_the_list_is_kept_during_an_outage_and_updated_after_it(fleet):
    fleet.platform.is_down = True
    fleet.platform.show(fleet.nodes[:50])
    await fleet.run(60)
    assert fleet.sees("i0", "i55")
    fleet.platform.is_down = False
    await fleet.run(PROPAGATION_S)
    assert fleet.revisions() == {fleet.platform.listed.revision}


async def test_an_old_list_of_a_partner_restores_no_entries(fleet):
    fleet.unresponsive = {"i4"}
    fleet.platform.show(fleet.nodes[:50])
    await fleet.run(60)
    fleet.unresponsive = set()
    for _ in range(CORRECTION_S):
        await fleet.run(1)
        assert not any(fleet.sees(f"i{n}", "i55") for n in range(50) if n != 4)
    assert not fleet.sees("i4", "i55")


def make_partner_state(fleet, kept, revision):
    """Return a consistent state of a partner whose entries are the given ones.

    They may differ from those of the platform, as with a faulty partner.
    """
    held_state = fleet.followers["i1"]._make_state(0)
    entries = {node.instance_id: node for node in kept}
    platform_entries = {
        node.instance_id: node for node in fleet.platform.listed.instances
    }
    return replace(
        held_state,
        revision=revision,
        digest=digest_instances(entries),
        base_revision=held_state.revision,
        changed=tuple(
            node for name, node in entries.items() if name not in platform_entries
        ),
        removed=tuple(platform_entries.keys() - entries.keys()),
    )


@pytest.mark.parametrize("ahead", [1, 1000])
async def test_a_wrong_list_of_a_partner_is_corrected(fleet, ahead):
    fleet.platform.show(fleet.nodes[:50])
    await fleet.run(PROPAGATION_S)
    for name in [f"i{number}" for number in range(50, 60)]:
        del fleet.followers[name]
    held = fleet.platform.listed.revision
    wrong = [*fleet.nodes[:20], fleet.nodes[55]]
    wrong_state = make_partner_state(fleet, wrong, held + ahead)
    fleet.followers["i2"].receive(wrong_state, "i3")
    assert fleet.sees("i2", "i55") and not fleet.sees("i2", "i30")
    await fleet.run(CORRECTION_S)
    for name in fleet.followers:
        assert not fleet.sees(name, "i55") and fleet.sees(name, "i30")
    fleet.platform.show(fleet.nodes[:40])
    await fleet.run(CORRECTION_S)
    assert fleet.revisions() == {fleet.platform.listed.revision}
    assert not fleet.sees("i2", "i45")


async def test_other_entries_at_the_same_revision_are_not_applied(fleet):
    held = fleet.platform.listed.revision
    wrong_state = make_partner_state(fleet, fleet.nodes[:20], held)
    fleet.followers["i2"].receive(wrong_state, "i3")
    assert fleet.sees("i2", "i30")
    await fleet.run(CORRECTION_S)
    assert fleet.sees("i2", "i30")


async def test_the_list_of_another_region_is_not_applied(fleet):
    far = replace(make_node(70), region="elsewhere")
    fleet.platform.show([*fleet.nodes, far])
    await fleet.run(PROPAGATION_S)
    wrong_state = make_partner_state(
        fleet, fleet.nodes[:20], fleet.platform.listed.revision + 1
    )
    fleet.followers["i2"].receive(wrong_state, far.instance_id)
    assert fleet.sees("i2", "i30")


async def test_changes_with_a_wrong_digest_are_refused_and_the_list_is_fetched(fleet):
    held = fleet.platform.listed.revision
    wrong_state = replace(
        make_partner_state(fleet, fleet.nodes[:20], held + 1), digest=1
    )
    fleet.followers["i2"].receive(wrong_state, "i3")
    assert fleet.sees("i2", "i30")
    fleet.platform.fetches.clear()
    await fleet.run(1)
    assert "i2" in fleet.platform.full_fetches


async def test_a_platform_whose_revisions_restart_is_followed(fleet):
    fleet.platform.show(fleet.nodes[:50], revision=2)
    await fleet.run(CORRECTION_S)
    assert fleet.revisions() == {2}
    fleet.platform.show(fleet.nodes[:40])
    await fleet.run(CORRECTION_S)
    assert fleet.revisions() == {3}


async def test_a_late_response_of_the_platform_does_not_replace_a_newer_list(fleet):
    follower = fleet.followers["i2"]
    old = fleet.platform.listed
    fleet.platform.show(fleet.nodes[:50])
    newer = make_partner_state(fleet, fleet.nodes[:50], old.revision + 1)

    class LateClient(Client):
        async def fetch(self, entity_tag=""):
            told = replace(newer, base_revision=old.revision, removed=removed)
            follower.receive(told, "i3")
            return old

    removed = tuple(node.instance_id for node in fleet.nodes[50:])
    follower._client = LateClient(fleet.platform, "i2")
    await follower.fetch()
    assert follower.history.listed.revision == old.revision + 1
    await fleet.settle()


async def test_failed_fetches_keep_the_last_list():
    fleet = Fleet(3)
    outage = make_failure(ErrorKind.PLATFORM_UNAVAILABLE)
    replies = [
        InstanceList(3, tuple(fleet.nodes)),
        outage,
        None,
        InstanceList(2, tuple(fleet.nodes[:2])),
    ]
    follower = fleet.add(fleet.nodes[0])

    class ScriptedClient(Client):
        async def fetch(self, entity_tag=""):
            return replies.pop(0)

    follower._client = ScriptedClient(fleet.platform, "i0")
    counts = []
    for _ in range(4):
        await follower.fetch()
        counts.append(len(follower._members.instances("p")))
        await fleet.settle()
    assert counts == [3, 3, 3, 2]


def test_a_distrusted_process_is_trusted_again_after_the_period():
    trust = list_trust.ListTrust()
    trust.distrust("i1", 10.0)
    assert not trust.is_trusted("i1", 10.0 + list_trust.DISTRUST_PERIOD_S / 2)
    assert trust.is_trusted("i1", 10.0 + list_trust.DISTRUST_PERIOD_S)
