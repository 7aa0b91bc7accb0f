"""State of a process stays bounded while instances are replaced."""

import gc
import types
from types import SimpleNamespace

import pytest

from bilberryspring.capability.instance_list import (
    Instance,
    InstanceList,
    Role,
)
from bilberryspring.capability.store import (
    Put,
    Transaction,
    key_absent,
)
from bilberryspring.connection.cache_directory_messages import CacheLocation
from bilberryspring.connection.load_messages import (
    LoadMessage,
    LoadSample,
    WorkspaceUsage,
    encode_load_message,
    hash_name,
)
from bilberryspring.process.accounting import make_ledger
from bilberryspring.process.exchange import LoadExchange
from bilberryspring.process.membership import Members
from bilberryspring.process.partner_set import PartnerSet
from bilberryspring.process.suspicion import Suspicion
from bilberryspring.request.cache_directory import MAX_ENTRIES, CacheDirectory
from bilberryspring.request.claim_forwarding import ClaimFleet, ClaimForwarder
from bilberryspring.request.claim_values import CLAIM_PREFIX
from bilberryspring.request.crash_records import make_crash_records
from bilberryspring.request.errors import ErrorKind, make_failure
from bilberryspring.request.retry_schedule import MAX_SCHEDULED_RETRIES, RetrySchedule
from bilberryspring.version.holder import make_holder

# Instances listed at a time; each step replaces the oldest one.
LISTED_COUNT = 40
STEP_S = 1.0
SAMPLE_STEPS = 500
SHARED_TYPES = (type, types.FunctionType, types.ModuleType, types.MethodType)


class Clock:
    now_s = 1_000.0

    def __call__(self):
        return self.now_s


def count_entries(root):
    """Return the total size of all containers reachable from an object."""
    seen, pending, total = set(), [root], 0
    while pending:
        current = pending.pop()
        if id(current) in seen or isinstance(current, SHARED_TYPES):
            continue
        seen.add(id(current))
        if isinstance(current, dict | set | list):
            total += len(current)
        pending += gc.get_referents(current)
    return total


def make_node(number):
    name, address = f"i{number}", f"127.0.0.1:{number}"
    return Instance(name, Role.AGENT, "p", "z", "r", address)


def list_nodes(number):
    return [
        make_node(node_number) for node_number in range(number, number + LISTED_COUNT)
    ]


def churn_partners(clock):
    partners = PartnerSet()

    def step(number):
        partners.choose(list_nodes(number), clock.now_s)

    return partners, step


def observe_members(members, clock, number):
    members.adopt(InstanceList(number + 1, tuple(list_nodes(number))))
    failing = f"i{number + 1}"
    members.report_refused(failing)
    for observer in range(number, number + 3):
        members.report_silent(failing, f"i{observer}")
    members.report_leaving(f"i{number + 2}")
    members.report_leaving(f"i{number + LISTED_COUNT}")
    members.instances("p")
    members.list_held_back("p")
    members.list_own_suspects(4)


def churn_members(clock):
    members = Members("router-1", clock)
    return members, lambda number: observe_members(members, clock, number)


def churn_observers(clock):
    suspicion = Suspicion("router-1")
    return suspicion, lambda number: suspicion.observe(f"i{number}", True, clock.now_s)


def churn_exchange(clock):
    members = Members("agent-1", clock)
    admission = SimpleNamespace(
        load=1.0,
        drain_rate=1.0,
        is_available=True,
        list_usage=lambda limit: [],
        charge_remote_usage=lambda rates, elapsed_s: None,
    )
    exchange = LoadExchange(
        SimpleNamespace(instance_id="agent-1", exchange_interval_s=0.25),
        "p",
        members,
        None,
        SimpleNamespace(holder=make_holder()),
        make_ledger(),
        lambda: admission,
        clock,
    )

    def step(number):
        observe_members(members, clock, number)
        sender = f"i{number}"
        message = LoadMessage(
            hash_name("p"),
            0,
            (LoadSample(hash_name(sender), 1.0, 1.0, 0),),
            (WorkspaceUsage(hash_name(f"workspace-{number}"), 1.0),),
            (hash_name(f"i{number + 3}"),),
        )
        exchange.handle_call(encode_load_message(message), sender)
        exchange.mean_load()
        exchange.least_loaded(3)
        exchange.loads("p")

    return exchange, step


def churn_directory(clock):
    directory = CacheDirectory()

    def step(number):
        location = CacheLocation(f"c{number}", f"i{number}", "d", 1, "e", 9, "v")
        directory.put(location)

    return directory, step


def churn_return_times(clock):
    returns = RetrySchedule()

    def step(number):
        returns.schedule(f"i{number}/key", "urgent", 1.0, 0.1, clock.now_s)

    return returns, step


def churn_crashes(clock):
    records = make_crash_records()
    return records, lambda number: records.add_crashes("digest", {f"i{number}/1"})


class UnreachablePeers:
    async def call(self, address, method, payload, timeout_s):
        return make_failure(ErrorKind.PEER_UNREACHABLE)


class LocalBatcher:
    async def submit(self, transaction, *, is_shared=False):
        return None


def churn_batchers(clock):
    members = SimpleNamespace(nodes=[])
    members.instances = lambda pool: members.nodes
    forwarder = ClaimForwarder(
        "agent-1",
        ClaimFleet("p", members, UnreachablePeers()),
        LocalBatcher(),
        1.0,
        make_ledger(),
        clock,
        clock,
    )

    def step(number):
        members.nodes = list_nodes(number)
        key = f"{CLAIM_PREFIX}orders/cankaya/{number}"
        claim = Transaction((key_absent(key),), (Put(key, b"mine"),), ())
        with pytest.raises(StopIteration):
            forwarder.submit(claim).send(None)

    return forwarder, step


@pytest.mark.parametrize(
    ("make_churn", "steps"),
    [
        (churn_partners, 3_000),
        (churn_members, 3_000),
        (churn_observers, 3_000),
        (churn_exchange, 3_000),
        (churn_directory, MAX_ENTRIES + 500),
        (churn_return_times, MAX_SCHEDULED_RETRIES + 500),
        (churn_crashes, 3_000),
        (churn_batchers, 3_000),
    ],
)
def test_state_does_not_grow_with_replaced_instances(make_churn, steps):
    clock = Clock()
    state, step = make_churn(clock)

    def run(numbers):
        largest = 0
        for number in numbers:
            clock.now_s += STEP_S
            step(number)
            if number % SAMPLE_STEPS == 0:
                largest = max(largest, count_entries(state))
        return max(largest, count_entries(state))

    first = run(range(steps))
    # The tolerance covers how much is kept at the moments of the samples.
    assert run(range(steps, 2 * steps)) <= first + LISTED_COUNT
