"""Lookup of the engine that holds a chat's KV cache, and estimates of its content."""

import heapq
import itertools
import json
import random
from types import SimpleNamespace

import pytest

from bilberryspring.capability.instance_list import (
    Instance,
    InstanceState,
    Role,
)
from bilberryspring.policy.placement import rank_by_rendezvous
from bilberryspring.process.accounting import make_ledger
from bilberryspring.request.cache_directory import CacheDirectory
from bilberryspring.request.cache_transfers import make_cache_transfers
from bilberryspring.request.errors import ErrorKind, make_failure
from bilberryspring.request.home_agents import MAX_LEAVING_QUERIED
from bilberryspring.standin.engine_cache import PrefixCache


def make_agents(count, leaving):
    return [
        Instance(
            f"agent-{number}",
            Role.AGENT,
            "p",
            "z",
            "r",
            f"agent-{number}",
            InstanceState.LEAVING if number < leaving else InstanceState.LIVE,
            1.0 + number % 3,
        )
        for number in range(count)
    ]


class FixedMembers:
    """Membership with a fixed list of agents, some of which are leaving."""

    def __init__(self, nodes):
        self.nodes = nodes
        self.list_calls = 0

    def all_nodes(self):
        self.list_calls += 1
        return self.nodes

    def instances(self, pool):
        return [node for node in self.nodes if node.state is InstanceState.LIVE]

    def is_leaving(self, instance_id):
        [node] = [node for node in self.nodes if node.instance_id == instance_id]
        return node.state is InstanceState.LEAVING


class RecordingPeers:
    """Peers that know no chat, and that record the addresses called."""

    def __init__(self):
        self.called_addresses = []

    async def call(self, address, method, payload, timeout_s):
        self.called_addresses.append(address)
        return make_failure(ErrorKind.UNKNOWN_ANSWER)


def make_transfers(members, instance_id="nobody"):
    settings = SimpleNamespace(instance_id=instance_id, pool="p")
    process = SimpleNamespace(
        settings=settings,
        members=members,
        peers=RecordingPeers(),
        ledger=make_ledger(),
        backend=SimpleNamespace(engine_version="v"),
    )
    return make_cache_transfers(process), process.peers


def make_request(chat_key, contents=(), tokens=1_000):
    messages = [{"role": "user", "content": content} for content in contents]
    return SimpleNamespace(
        chat_key=chat_key,
        prompt_tokens=tokens,
        request_id=f"{chat_key}/{len(messages)}",
        body=json.dumps({"messages": messages}).encode(),
    )


@pytest.mark.parametrize("leaving", [0, 1, 5, 20])
async def test_leaving_homes_are_queried_before_current_ones(leaving):
    members = FixedMembers(make_agents(20, leaving))
    transfers, peers = make_transfers(members)
    for number in range(50):
        chat_key = f"chat-{number}"
        ranked = rank_by_rendezvous(chat_key, members.nodes, len(members.nodes))
        former = itertools.takewhile(
            lambda node: node.state is InstanceState.LEAVING, ranked
        )
        staying = [node for node in ranked if node.state is InstanceState.LIVE]
        expected = [*list(former)[:MAX_LEAVING_QUERIED], *staying[:2]]
        peers.called_addresses.clear()
        assert not await transfers.fetch(make_request(chat_key))
        assert peers.called_addresses == [node.address for node in expected]


async def test_lookups_use_a_cached_list_of_leaving_agents():
    members = FixedMembers(make_agents(20, 2))
    transfers, _ = make_transfers(members)
    for number in range(50):
        await transfers.fetch(make_request(f"chat-{number}"))
    assert members.list_calls <= 2


class Clock:
    now_s = 0.0

    def __call__(self):
        return self.now_s


CHATS = 300
TIME_S = 3 * 3_600
LEARNING_S = 3_600
SHORT_PAUSE_S, LONG_PAUSE_S = 120, 7_200
# Maximum total error of the estimates, as a fraction of the computed prompt tokens.
MAX_ERROR = 0.1


@pytest.mark.parametrize(
    ("cache_tokens", "long_pauses", "is_lost", "engine_share"),
    [
        (150_000, 0.2, False, 1.0),
        (450_000, 0.2, False, 1.0),
        (450_000, 0.2, True, 1.0),
        (150_000, 0.02, False, 1.0),
        (10_000_000, 0.2, False, 1.0),
        # The engine counts fewer or more tokens than the router estimates.
        (450_000, 0.2, False, 0.3),
        (450_000, 0.2, False, 2.5),
    ],
)
async def test_estimates_match_the_content_of_a_small_cache(
    cache_tokens, long_pauses, is_lost, engine_share
):
    """Most chats return within minutes, some after hours, when the cache is full."""
    clock, chance = Clock(), random.Random(7)
    transfers, _ = make_transfers(FixedMembers(make_agents(1, 0)), "agent-0")
    transfers.index.directory = CacheDirectory(clock=clock)
    cache = PrefixCache(cache_tokens, 0.0, 1.0, 7, clock, lambda event: None)
    chats = [[chance.randint(500, 6_000)] for _ in range(CHATS)]
    due = [(chance.expovariate(1 / LONG_PAUSE_S), chat) for chat in range(CHATS)]
    heapq.heapify(due)
    wrong = computed = 0
    while clock.now_s < TIME_S:
        clock.now_s, chat = heapq.heappop(due)
        if is_lost and clock.now_s > TIME_S / 2:
            cache.clear()
            is_lost = False
        own_tokens = chats[chat]
        digests = [f"{chat}/{each}" for each in range(len(own_tokens))]
        request = make_request(f"chat-{chat}", digests, sum(own_tokens))
        cached = cache.count_cached(digests)
        estimate = transfers.index.estimate_cached_tokens(request)
        if clock.now_s > LEARNING_S:
            wrong += abs(estimate - cached)
            computed += request.prompt_tokens - cached
        cache.store(digests, own_tokens)
        usage = {
            "prefix_digest": digests[-1],
            "prompt_tokens": int(request.prompt_tokens * engine_share),
            "prompt_tokens_details": {"cached_tokens": int(cached * engine_share)},
        }
        await transfers.report_computed(request, usage)
        own_tokens.append(chance.randint(20, 300))
        mean_s = LONG_PAUSE_S if chance.random() < long_pauses else SHORT_PAUSE_S
        heapq.heappush(due, (clock.now_s + chance.expovariate(1 / mean_s), chat))
    assert wrong <= MAX_ERROR * computed
