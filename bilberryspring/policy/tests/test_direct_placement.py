"""Placement of requests on engines and servers, in samples and replays."""

import math
from dataclasses import replace

import pytest

from bilberryspring.policy import direct_placement
from bilberryspring.policy.direct_placement import (
    ServerCandidate,
    choose_server,
    compute_load_limit,
    rank_homes,
)
from bilberryspring.policy.tests.direct_replay import replay
from bilberryspring.policy.tests.fleet_replay import CHAT_KINDS, Fleet, replay_fleet
from bilberryspring.request import placement_decision
from bilberryspring.request.dispatcher import Dispatcher

SEEDS = (1, 2, 3)


def count_late(result, target_s=0.4):
    return sum(each_s > target_s for each_s in result.first_token_s)


def sum_recomputed_tokens(results):
    return sum(result.recomputed_tokens for result in results)


def choose(views, load_factor, other_requests=(), failing_requests=()):
    usable = [view.requests for view in views] + list(other_requests)
    limit = compute_load_limit(load_factor, usable, failing_requests)
    chosen = choose_server("shortest_start", views, limit)
    return chosen and chosen.server_id


def test_a_server_above_the_load_bound_is_not_chosen():
    views = [ServerCandidate("a", 12, 0.1, True), ServerCandidate("b", 1, 0.5, True)]
    assert choose(views, 1.5) == "b"
    assert choose(views[:1], 1.5) == "a"
    assert choose(views[:1], 1.5, [1, 1]) is None
    assert choose([], 1.5) is None


def test_servers_that_accept_no_requests_count_in_the_mean_of_the_load_bound():
    views = [
        ServerCandidate("a", 6, 0.1, True),
        ServerCandidate("b", 4, 0.2, True),
    ]
    assert choose(views, 1.0) == "a"
    assert choose(views, 1.0, failing_requests=[0, 0]) == "b"
    assert choose(views, 1.0, [0, 0]) == "b"


def test_server_with_room_is_not_sent_beyond_the_mean_of_all_servers():
    views = [ServerCandidate("a", 15, 0.1, True), ServerCandidate("b", 15, 0.1, True)]
    assert choose(views, 2.0, [1, 1, 1, 1]) is None


def test_servers_left_by_a_failure_of_most_are_bounded_by_their_own_mean():
    views = [ServerCandidate("a", 9, 0.1, True), ServerCandidate("b", 7, 0.2, True)]
    assert choose(views, 1.0, failing_requests=[0, 0, 0]) == "a"


def test_servers_that_all_fail_are_bounded_by_their_own_mean():
    assert compute_load_limit(1.0, [], [9, 7]) == compute_load_limit(1.0, [9, 7])


def test_removing_a_server_moves_only_the_chats_with_their_home_there():
    server_ids = [f"s{number}" for number in range(8)]
    keys = [f"chat-{number}" for number in range(400)]
    before = {key: rank_homes(key, server_ids) for key in keys}
    after = {key: rank_homes(key, server_ids[1:]) for key in keys}
    for key in keys:
        if before[key][0] == "s0":
            assert after[key][0] == before[key][1]
        else:
            assert after[key][0] == before[key][0]
    moved = sum(before[key][0] == "s0" for key in keys)
    assert 20 < moved < 90


@pytest.mark.parametrize("seed", SEEDS)
def test_a_burst_of_multi_turn_chats_recomputes_few_tokens(seed):
    placed = replay(seed, burst_factor=3.0)
    baseline = replay(seed, burst_factor=3.0, policy="least_requests")
    assert placed.recomputed_tokens < 0.2 * baseline.recomputed_tokens
    assert count_late(placed) <= count_late(baseline)
    assert placed.refused == 0


@pytest.mark.parametrize("seed", SEEDS)
def test_engines_that_fetch_cached_parts_recompute_fewer_tokens(seed):
    with_fetch = replay(seed, burst_factor=3.0)
    without_fetch = replay(seed, burst_factor=3.0, can_fetch=False)
    assert with_fetch.recomputed_tokens < without_fetch.recomputed_tokens


@pytest.mark.parametrize("seed", SEEDS)
def test_requests_avoid_a_slow_engine_before_they_miss_their_target(seed):
    placed = replay(seed, slowdown=6.0)
    baseline = replay(seed, slowdown=6.0, policy="least_requests")
    assert count_late(placed) < count_late(baseline)
    assert count_late(placed) <= 0.05 * len(placed.first_token_s)


def test_off_home_penalty_reduces_recomputation_when_memory_is_scarce(monkeypatch):
    options = {"burst_factor": 3.0, "memory_tokens": 200_000}
    placed = [replay(seed, **options) for seed in SEEDS]
    monkeypatch.setattr(direct_placement, "OFF_HOME_TOKENS_PER_S", math.inf)
    without_penalty = [replay(seed, **options) for seed in SEEDS]
    assert sum_recomputed_tokens(placed) < 0.8 * sum_recomputed_tokens(without_penalty)
    assert sum(map(count_late, placed)) <= sum(map(count_late, without_penalty))


# A third of a fleet of 38 engines, with a third of its chats.
LARGE_CHATS = Fleet(
    routers=20,
    servers=13,
    slots=16,
    queued=8,
    is_engine=True,
    deadline_s=8.0,
    chat_kinds=tuple(replace(kind, chats=kind.chats // 3) for kind in CHAT_KINDS),
)
NEARLY_FULL_PER_S, OVERLOAD_PER_S = 375.0, 480.0


def replay_chats(arrivals_per_s, seed=1, **changes):
    fleet = replace(LARGE_CHATS, arrivals_per_s=arrivals_per_s, **changes)
    return replay_fleet(fleet, seed, 4.0)


def count_kind_in_time(result, number):
    target_s = CHAT_KINDS[number].target_s
    times_s = result.all.first_token_s.get(number, [])
    return sum(each_s <= target_s for each_s in times_s)


def test_chats_wait_for_their_homes_instead_of_copying_their_parts(monkeypatch):
    waiting = replay_chats(NEARLY_FULL_PER_S)
    monkeypatch.setattr(direct_placement, "HOME_WAIT_SLACK_SHARE", 0.0)
    monkeypatch.setattr(placement_decision, "PREFERRED_HOMES", 3)
    copying = replay_chats(NEARLY_FULL_PER_S)
    assert waiting.reread_tokens < 0.5 * copying.reread_tokens
    for number in range(len(CHAT_KINDS)):
        assert count_kind_in_time(waiting, number) >= 0.97 * len(
            waiting.all.first_token_s[number]
        )


def test_engines_keep_room_for_the_chats_of_their_home_in_an_overload(monkeypatch):
    shedding = replay_chats(OVERLOAD_PER_S)
    monkeypatch.setattr(Dispatcher, "_shed_load", lambda *_: None)
    filling = replay_chats(OVERLOAD_PER_S)
    assert shedding.reread_tokens < 0.7 * filling.reread_tokens
    # Drafts, the kind worth most, are served in time more often.
    assert count_kind_in_time(shedding, 1) > count_kind_in_time(filling, 1)


def test_a_turn_of_the_mix_neither_delays_rolls_nor_starves_short_checks():
    rolls, drafts, checks = LARGE_CHATS.chat_kinds
    turned = (replace(rolls, weight=130.0), replace(drafts, weight=50.0), checks)
    drafts_first = (replace(rolls, weight=20.0), replace(drafts, weight=190.0), checks)
    result = replay_chats(250.0, chat_kinds=turned, mix_turn=(1.5, drafts_first))
    for number in range(len(CHAT_KINDS)):
        answered = result.all.first_token_s[number]
        assert count_kind_in_time(result, number) >= 0.95 * len(answered) > 0
    assert len(result.all.refused_after_s) <= 0.02 * result.all.total
