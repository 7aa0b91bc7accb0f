"""Order policies of a queue, in samples and in replays of an overload."""

import pytest

from bilberryspring.policy.ordering import ORDER_POLICIES, QueuedRequest
from bilberryspring.policy.tests.overload_replays import SEEDS, mean_over_seeds, replay

SMALL = QueuedRequest(cost=10.0, waited_s=0.5, target_wait_s=2.0)
LARGE = QueuedRequest(cost=90.0, waited_s=1.5, target_wait_s=2.0)
LATE = QueuedRequest(cost=1.0, waited_s=2.5, target_wait_s=2.0)
RETURNING = QueuedRequest(50.0, 0.1, 2.0, is_scheduled_retry=True)
BEGUN = QueuedRequest(99.0, 0.0, 2.0, has_response_started=True)
EARLIER_RETURNING = QueuedRequest(70.0, 0.4, 2.0, is_scheduled_retry=True)


@pytest.mark.parametrize(
    ("name", "expected"),
    [
        ("first_come", [LATE, LARGE, SMALL, EARLIER_RETURNING, RETURNING, BEGUN]),
        ("shortest_in_time", [SMALL, RETURNING, EARLIER_RETURNING, LARGE, BEGUN, LATE]),
        (
            "returning_favoured",
            [BEGUN, SMALL, RETURNING, EARLIER_RETURNING, LARGE, LATE],
        ),
        ("returning_first", [BEGUN, EARLIER_RETURNING, RETURNING, SMALL, LARGE, LATE]),
    ],
)
def test_each_policy_sorts_a_sample_queue(name, expected):
    queued = [SMALL, LARGE, LATE, RETURNING, EARLIER_RETURNING, BEGUN]
    assert sorted(queued, key=ORDER_POLICIES[name]) == expected


@pytest.mark.parametrize("seed", SEEDS)
def test_a_pool_without_overload_serves_everything_in_time(seed):
    ranks = replay("calm", seed).ranks
    assert [rank.in_time for rank in ranks.values()] == [1.0, 1.0, 1.0]


@pytest.mark.parametrize("overload", ["normal-x4", "urgent-x25"])
def test_an_overloaded_rank_is_in_time_more_often_than_in_order_of_arrival(overload):
    """Arrivals of one rank exceed capacity for half of the trace."""
    overloaded, _ = overload.split("-")

    def read(result):
        return result.ranks[overloaded].in_time

    first_come = mean_over_seeds(overload, read, order_policy="first_come")
    assert mean_over_seeds(overload, read) > 1.2 * first_come


@pytest.mark.parametrize("overload", ["background-x6", "normal-x4", "urgent-x25"])
def test_small_workspaces_fare_no_worse_than_in_order_of_arrival(overload):
    def read(result):
        return result.small_in_time

    first_come = mean_over_seeds(overload, read, order_policy="first_come")
    assert mean_over_seeds(overload, read) >= first_come


@pytest.mark.parametrize("overload", ["background-x6", "normal-x4"])
def test_ranks_above_the_overloaded_one_are_served_in_time(overload):
    for seed in SEEDS:
        assert replay(overload, seed).ranks["urgent"].in_time >= 0.95


def test_an_overload_of_urgent_requests_leaves_other_ranks_their_minimum_share():
    """The minimum share is a third to a half of a rank's load without overload."""
    for rank in ("normal", "background"):
        served = mean_over_seeds(
            "urgent-x25", lambda each, r=rank: each.ranks[r].served
        )
        assert served >= 0.7


@pytest.mark.parametrize("overload", ["background-x6", "normal-x4"])
def test_most_retries_at_the_advised_time_are_served(overload):
    overloaded, _ = overload.split("-")
    served = mean_over_seeds(
        overload, lambda result: result.ranks[overloaded].served_at_return
    )
    assert served > 0.5
