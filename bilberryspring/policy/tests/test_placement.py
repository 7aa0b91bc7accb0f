"""Placement policies that rank the instances of a pool for a chat."""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bilberryspring.capability.instance_list import (
    Instance,
    Role,
)
from bilberryspring.identifiers import ChatKey, Region
from bilberryspring.policy.placement import (
    PLACEMENT_POLICIES,
    rank_by_rendezvous,
    rank_candidates,
    rank_own_region_first,
)

CHATS = [ChatKey(f"chat-{number}") for number in range(2000)]


def make_instances(count, weight=1.0):
    return [
        Instance(
            f"i{n}", Role.AGENT, "p", "z", "r", f"127.0.0.1:{n + 1}", weight=weight
        )
        for n in range(count)
    ]


@pytest.mark.parametrize("policy", sorted(PLACEMENT_POLICIES))
def test_every_policy_ranks_each_instance_once_and_accepts_an_empty_pool(policy):
    instances = make_instances(7)
    ranked = rank_candidates(policy, CHATS[0], instances, {"i1": 5.0})
    assert sorted(each.instance_id for each in ranked) == [f"i{n}" for n in range(7)]
    assert rank_candidates(policy, CHATS[0], [], {}) == []


@settings(deadline=None, derandomize=True)
@given(st.integers(2, 30), st.data())
def test_removing_an_instance_moves_only_its_own_chats(count, data):
    instances = make_instances(count)
    removed = data.draw(st.sampled_from(instances))
    remaining = [each for each in instances if each is not removed]
    for chat in CHATS[:50]:
        before = rank_by_rendezvous(chat, instances)
        expected = [each for each in before if each is not removed]
        assert rank_by_rendezvous(chat, remaining)[: len(expected)] == expected


def test_homes_are_distributed_in_proportion_to_the_weights():
    heavy = Instance("heavy", Role.AGENT, "p", "z", "r", "127.0.0.1:1", weight=3.0)
    instances = [*make_instances(3), heavy]
    homes = [rank_by_rendezvous(chat, instances, 1)[0].instance_id for chat in CHATS]
    assert 0.45 < homes.count("heavy") / len(homes) < 0.55


def test_the_less_loaded_of_the_next_two_instances_follows_the_home():
    instances = make_instances(6)
    home, second, third, *_ = rank_by_rendezvous(CHATS[1], instances)
    loads = {home.instance_id: 99.0, second.instance_id: 10.0}
    ranked = rank_candidates("bounded_rendezvous", CHATS[1], instances, loads)
    assert ranked[:3] == [home, third, second]


def test_least_loaded_puts_the_lowest_load_first():
    loads = {"i0": 5.0, "i1": 1.0, "i2": 3.0}
    ranked = rank_candidates("least_loaded", CHATS[0], make_instances(3), loads)
    assert [each.instance_id for each in ranked] == ["i1", "i2", "i0"]


@pytest.mark.parametrize("policy", sorted(PLACEMENT_POLICIES))
def test_instances_of_the_router_region_rank_first(policy):
    instances = [
        replace(each, region=("east", "west")[number % 2])
        for number, each in enumerate(make_instances(8))
    ]
    for region in ("east", "west"):
        ranked = rank_own_region_first(policy, CHATS[0], instances, {}, Region(region))
        assert [each.region == region for each in ranked] == [True] * 4 + [False] * 4
    ranked = rank_own_region_first(policy, CHATS[0], instances, {}, Region("north"))
    assert len(ranked) == 8


def test_a_chat_keeps_its_home_when_the_other_region_is_unreachable():
    instances = [
        replace(each, region=("east", "west")[number % 2])
        for number, each in enumerate(make_instances(20))
    ]
    east = [each for each in instances if each.region == "east"]
    for chat in CHATS[:200]:
        homes = [
            rank_own_region_first(
                "bounded_rendezvous", chat, listed, {}, Region("east")
            )[0]
            for listed in (instances, east)
        ]
        assert homes[0] is homes[1]
