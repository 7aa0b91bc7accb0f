"""Exchange of loads between agents that call each other directly in one process.

Guards against an estimate of the mean load that exceeds it, also when agents fail, do
not respond or are partitioned, and against traffic that grows with the fleet.
"""

import asyncio
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bilberryspring.capability.instance_list import (
    Instance,
    InstanceList,
    Role,
)
from bilberryspring.connection.load_messages import (
    LoadMessage,
    LoadSample,
    decode_load_message,
    encode_load_message,
    hash_name,
)
from bilberryspring.process import load_table
from bilberryspring.process.accounting import ControlMechanism, make_ledger
from bilberryspring.process.exchange import LoadExchange
from bilberryspring.process.load_table import LoadTable, PoolSize, estimate_mean
from bilberryspring.process.membership import Members
from bilberryspring.process.remote_usage import RemoteUsage
from bilberryspring.request.errors import ErrorKind, Failure, make_failure
from bilberryspring.version.holder import make_holder
from bilberryspring.version.objects import Configuration, Pool, Workspace


class Clock:
    now_s = 1000.0

    def __call__(self):
        return self.now_s


class FixedAdmission:
    def __init__(self, load):
        self.load = load
        self.drain_rate = 0.0
        self.is_available = True
        self.charged = {}

    def list_usage(self, limit):
        return [("large", self.load), ("small", 1.0)][:limit]

    def charge_remote_usage(self, rates, elapsed_s):
        for name, rate in rates.items():
            self.charged[name] = self.charged.get(name, 0.0) + rate * elapsed_s


class Follower:
    def __init__(self):
        self.holder = make_holder()
        self.learned_versions = []

    def learn_version(self, version, from_instance):
        self.learned_versions.append((version, from_instance))


class Settings:
    exchange_interval_s = 0.25

    def __init__(self, instance_id):
        self.instance_id = instance_id


class Fleet:
    """Exchanges of one pool, which call each other directly with encoded messages."""

    def __init__(self, loads, far=0):
        self.clock = Clock()
        self.unreachable = set()
        self.unresponsive = set()
        near = len(loads) - far
        nodes = [make_node(n, "r" if n < near else "far") for n in range(len(loads))]
        listed = InstanceList(1, tuple(nodes))
        self.exchanges = []
        self.admissions = [FixedAdmission(load) for load in loads]
        for number, admission in enumerate(self.admissions):
            self.exchanges.append(
                self.make_exchange(f"i{number}", "p", listed, admission)
            )
        self.router = self.make_exchange("router-1", "", listed, None)

    def make_exchange(self, name, pool, listed, admission):
        members = Members(name, self.clock)
        members.adopt(listed)
        follower = Follower()
        configuration = Configuration(
            pools=[Pool(name="p", kind="engine")],
            workspaces=[Workspace(name=n, key_digests=[]) for n in ("large", "small")],
        )
        follower.holder.adopt(1, configuration)
        return LoadExchange(
            Settings(name),
            pool,
            members,
            FleetPeers(self, name),
            follower,
            make_ledger(),
            lambda: admission,
            self.clock,
        )

    async def run(self, rounds, interval_s=0.25):
        for _ in range(rounds):
            self.clock.now_s += interval_s
            for exchange in random.sample(self.exchanges, len(self.exchanges)):
                await exchange.exchange_once()
                exchange._charge_usage()
            await self.router.exchange_once()


class FleetPeers:
    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name

    async def call(self, address, method, payload, timeout_s):
        number = int(address.split(":")[1]) - 1
        if (
            f"i{number}" in self.fleet.unreachable
            or self.name in self.fleet.unreachable
        ):
            return make_failure(ErrorKind.PEER_UNREACHABLE)
        if (
            f"i{number}" in self.fleet.unresponsive
            or self.name in self.fleet.unresponsive
        ):
            return make_failure(ErrorKind.PEER_SILENT)
        return self.fleet.exchanges[number].handle_call(payload, self.name)


def make_node(number, region="r"):
    address = f"127.0.0.1:{number + 1}"
    return Instance(f"i{number}", Role.AGENT, "p", "z", region, address)


@pytest.fixture(autouse=True)
def seeded():
    random.seed(3)


@pytest.mark.parametrize("count", [3, 6, 60, 300])
async def test_every_agent_estimates_the_mean_without_exceeding_it(count):
    loads = [random.uniform(50.0, 150.0) for _ in range(count)]
    fleet = Fleet(loads)
    await fleet.run(40)
    mean = sum(loads) / count
    for exchange in fleet.exchanges:
        assert 0.75 * mean < exchange.mean_load().value < 1.1 * mean
    known = fleet.router.loads("p")
    assert all(known[name] == pytest.approx(loads[int(name[1:])]) for name in known)
    assert len(known) >= min(count, 3)


async def test_bytes_and_state_do_not_grow_with_the_fleet():
    sent_bytes = {}
    for count in (20, 300):
        fleet = Fleet([100.0] * count)
        await fleet.run(20)
        spendings = [
            exchange._ledger.by_mechanism[ControlMechanism.LOAD_EXCHANGE]
            for exchange in fleet.exchanges
        ]
        total = sum(s.sent_bytes + s.received_bytes for s in spendings)
        sent_bytes[count] = total / count
        assert all(
            len(exchange._get_table("p")) <= load_table.MAX_SAMPLES
            for exchange in fleet.exchanges
        )
    assert sent_bytes[300] < 1.1 * sent_bytes[20]


@given(
    st.lists(
        st.tuples(st.floats(0, 1000), st.floats(0, 100), st.floats(0, 10)),
        min_size=1,
        max_size=20,
    ),
    st.floats(0, 1000),
)
@settings(deadline=None, derandomize=True)
def test_an_estimate_does_not_exceed_the_mean_of_a_second_ago(reports, own_load):
    table = LoadTable()
    now_s = 100.0
    true_total = own_load
    for number, (load, drain_rate, age_s) in enumerate(reports):
        sample = LoadSample(hash_name(f"i{number}"), load, drain_rate, int(age_s * 1e3))
        table.merge(sample, now_s)
        # Lower bound of the load a second ago.
        drained_s = max(0.0, age_s - load_table.FRESH_AGE_S)
        true_total += max(0.0, load - drain_rate * drained_s)
    size = PoolSize({hash_name(f"i{n}"): 1.0 for n in range(len(reports))}, 1.0)
    mean = estimate_mean(table, size, own_load, now_s)
    # Messages carry ages in whole milliseconds.
    slack = 1e-3 * sum(drain_rate for _, drain_rate, _ in reports) + 1e-6
    assert mean.value <= true_total / (len(reports) + 1) + slack


async def test_a_partitioned_agent_counts_the_others_as_idle():
    fleet = Fleet([100.0] * 6)
    await fleet.run(10)
    fleet.unreachable.add("i0")
    await fleet.run(40)
    assert fleet.exchanges[0].mean_load().value == pytest.approx(100.0 / 6)


async def test_a_failed_agent_is_removed_from_the_mean_and_the_hints():
    fleet = Fleet([100.0] * 5 + [0.0])
    await fleet.run(20)
    assert fleet.exchanges[0].least_loaded(1)
    fleet.unreachable.add("i5")
    await fleet.run(40)
    assert "i5" not in fleet.exchanges[0].least_loaded(6)
    assert fleet.exchanges[0].mean_load().value == pytest.approx(100.0)


async def test_an_agent_that_refuses_connections_is_removed_within_two_seconds():
    fleet = Fleet([100.0] * 5 + [0.0])
    await fleet.run(20)
    assert fleet.exchanges[0].mean_load().value == pytest.approx(500 / 6, rel=0.1)
    fleet.unreachable.add("i5")
    await fleet.run(8)
    assert fleet.exchanges[0].mean_load().value == pytest.approx(100.0)


async def test_an_unresponsive_agent_counts_as_idle_until_its_samples_expire():
    """It may still be working, so it must not be removed from the mean at once."""
    fleet = Fleet([100.0] * 5 + [0.0])
    await fleet.run(20)
    fleet.unresponsive.add("i5")
    await fleet.run(12)
    assert fleet.exchanges[0]._members.is_suspected("i5")
    assert fleet.exchanges[0].mean_load().value == pytest.approx(500 / 6, rel=0.01)
    await fleet.run(28)
    assert fleet.exchanges[0].mean_load().value == pytest.approx(100.0)


async def test_an_unresponsive_zone_stays_out_of_the_mean_after_its_suspicion():
    """Counted as idle, it would lower the mean, and the others would refuse requests
    that they have capacity for.
    """
    fleet = Fleet([100.0] * 6)
    await fleet.run(20)
    fleet.unresponsive |= {"i4", "i5"}
    await fleet.run(40)
    for _ in range(200):
        await fleet.run(1)
        for exchange in fleet.exchanges[:4]:
            assert exchange.mean_load().value == pytest.approx(100.0, rel=0.01)


async def test_an_unresponsive_agent_counts_again_once_it_responds():
    fleet = Fleet([100.0] * 5 + [0.0])
    await fleet.run(20)
    fleet.unresponsive.add("i5")
    await fleet.run(80)
    assert fleet.exchanges[0].mean_load().value == pytest.approx(100.0)
    fleet.unresponsive.clear()
    await fleet.run(80)
    assert fleet.exchanges[0].mean_load().value == pytest.approx(500 / 6, rel=0.01)


async def test_halves_that_suspect_each_other_exchange_loads_again_soon():
    fleet = Fleet([100.0, 100.0, 0.0, 0.0])
    await fleet.run(20)
    halves = (fleet.exchanges[:2], fleet.exchanges[2:])
    for half, others in (halves, halves[::-1]):
        for exchange in half:
            for other in others:
                for _ in range(2):
                    exchange._members.report_silent(other._own_id)
                    fleet.clock.now_s += 0.1
            assert len(exchange._members.instances("p")) == 2
    await fleet.run(12)
    for exchange in fleet.exchanges:
        assert len(exchange._members.instances("p")) == 4


async def test_messages_carry_versions_and_leaving_notices():
    fleet = Fleet([100.0] * 6)
    fleet.exchanges[2]._follower.holder.adopt(7, Configuration())
    fleet.admissions[3].is_available = False
    await fleet.run(30)
    assert {
        version for version, _ in fleet.exchanges[0]._follower.learned_versions
    } == {7}
    for exchange in [*fleet.exchanges, fleet.router]:
        names = {node.instance_id for node in exchange._members.instances("p")}
        assert exchange._own_id == "i3" or "i3" not in names


async def test_a_workspace_is_charged_for_its_usage_at_other_agents():
    fleet = Fleet([100.0] * 6)
    await fleet.run(12)
    before = dict(fleet.admissions[0].charged)
    await fleet.run(8)
    charged = fleet.admissions[0].charged["large"] - before["large"]
    assert charged == pytest.approx(8 * 0.25 * 5 * 100.0, rel=0.01)


def test_reports_without_usage_are_extrapolated_to_no_usage():
    usage = RemoteUsage()
    message = LoadMessage(1, 1)
    assert usage.estimate(10, 0.0) == {}
    usage.receive("i1", decode_load_message(encode_load_message(message)).usage, 0.0)
    assert usage.estimate(10, 0.0) == {}


@given(st.binary(max_size=200))
@settings(deadline=None, derandomize=True)
def test_any_bytes_decode_to_a_message_or_a_failure(payload):
    assert isinstance(decode_load_message(payload), LoadMessage | Failure)


async def test_the_mean_is_that_of_the_own_region_soon_after_a_region_partition():
    fleet = Fleet([100.0] * 6, far=3)
    for admission in fleet.admissions:
        admission.drain_rate = 50.0
    await fleet.run(40)
    assert fleet.exchanges[0].mean_load().value == pytest.approx(100.0, rel=0.05)
    fleet.unreachable = {"i3", "i4", "i5"}
    await fleet.run(12)
    assert fleet.exchanges[0].mean_load().value == pytest.approx(100.0, rel=0.05)


class UnresponsivePeers:
    """Peers of which one never responds and the others refuse connections."""

    def __init__(self, unresponsive_address):
        self.unresponsive_address = unresponsive_address
        self.calls = []

    async def call(self, address, method, payload, timeout_s):
        self.calls.append(address)
        if address == self.unresponsive_address:
            await asyncio.sleep(timeout_s)
            return make_failure(ErrorKind.DEADLINE_EXCEEDED)
        return make_failure(ErrorKind.PEER_UNREACHABLE)


async def test_an_unresponsive_partner_does_not_delay_calls_to_others():
    fleet = Fleet([1.0, 1.0, 1.0])
    exchange = fleet.exchanges[0]
    exchange._peers = peers = UnresponsivePeers(make_node(1).address)
    exchange._interval_s = 0.01
    await exchange.start()
    await asyncio.sleep(0.5)
    await exchange.close()
    assert peers.calls.count(peers.unresponsive_address) == 1
    assert len(peers.calls) > 15


class DelayedPeers(FleetPeers):
    """Peers whose replies are delayed."""

    def __init__(self, fleet, name, delay_s):
        super().__init__(fleet, name)
        self.delay_s = delay_s

    async def call(self, address, method, payload, timeout_s):
        reply = await super().call(address, method, payload, timeout_s)
        self.fleet.clock.now_s += self.delay_s
        return reply


def compute_sample_age_s(exchange, name):
    known = exchange._get_table("p").find(hash_name(name))
    return exchange._clock() - known.taken_s


async def test_the_age_of_a_reply_counts_from_the_start_of_the_call():
    fleet = Fleet([100.0] * 3)
    exchange = fleet.exchanges[0]
    exchange._peers = DelayedPeers(fleet, "i0", 0.8)
    await exchange._exchange_with("p", make_node(1))
    assert compute_sample_age_s(exchange, "i1") == pytest.approx(0.8)


async def test_the_load_of_an_agent_after_a_pause_counts_from_before_the_pause():
    fleet = Fleet([100.0] * 3)
    asking, stopped, other = fleet.exchanges
    stopped._pause_watch.tick()
    fleet.clock.now_s += 2.0
    await asking._exchange_with("p", make_node(1))
    assert compute_sample_age_s(asking, "i1") == pytest.approx(2.0, abs=0.01)
    stopped._pause_watch.tick()
    await other._exchange_with("p", make_node(1))
    assert compute_sample_age_s(other, "i1") == pytest.approx(2.0, abs=0.01)
    # The callers' loads may have been unread during the pause, so they are as old.
    assert compute_sample_age_s(stopped, "i2") == pytest.approx(2.0, abs=0.01)
    fleet.clock.now_s += 0.1
    stopped._pause_watch.tick()
    await asking._exchange_with("p", make_node(1))
    assert compute_sample_age_s(asking, "i1") == pytest.approx(0.0, abs=0.01)
