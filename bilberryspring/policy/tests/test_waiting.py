"""Waiting policies, which refuse requests that would wait too long."""

from dataclasses import replace

import pytest

from bilberryspring.policy.tests.overload_replays import SEEDS, mean_over_seeds, replay
from bilberryspring.policy.waiting import WAITING_POLICIES, NewRequest

IN_TIME = NewRequest(
    predicted_wait_s=1.0,
    predicted_service_s=3.0,
    target_wait_s=2.0,
    remaining_s=10.0,
    is_scheduled_retry=False,
    queued_requests=5,
)
LATE = replace(IN_TIME, predicted_wait_s=2.5)
LATE_RETURNING = replace(LATE, is_scheduled_retry=True)
LATE_END = replace(IN_TIME, predicted_service_s=9.5)
FULL = replace(IN_TIME, queued_requests=200)


@pytest.mark.parametrize(
    ("name", "refused"),
    [
        ("queue_length", [FULL]),
        ("predicted_wait", [LATE]),
        ("predicted_finish", [LATE, LATE_END]),
    ],
)
def test_each_policy_refuses_the_expected_requests(name, refused):
    requests = [IN_TIME, LATE, LATE_RETURNING, LATE_END, FULL]
    assert [
        each for each in requests if WAITING_POLICIES[name](each) is not None
    ] == refused


def test_a_refusal_reports_the_predicted_end_and_the_deadline():
    assert WAITING_POLICIES["predicted_finish"](LATE_END).reason == (
        "predicted end in 10.5 s is after the deadline in 10.0 s"
    )


def test_refusal_by_predicted_end_wastes_less_slot_time_on_late_responses():
    """Normal requests arrive at four times the usual rate; some miss the deadline."""

    def read(result):
        return result.wasted

    by_wait = mean_over_seeds(
        "normal-x4", read, waiting_policy="predicted_wait", order_policy="first_come"
    )
    by_finish = mean_over_seeds("normal-x4", read, order_policy="first_come")
    assert by_finish < by_wait


def test_waits_under_overload_are_shorter_than_with_a_queue_of_fixed_length():
    def read(result):
        return result.ranks["urgent"].wait_p95_s

    by_length = mean_over_seeds(
        "urgent-x25", read, waiting_policy="queue_length", order_policy="first_come"
    )
    assert mean_over_seeds("urgent-x25", read) < 0.7 * by_length


@pytest.mark.parametrize("seed", SEEDS)
def test_replays_of_one_seed_give_the_same_results(seed):
    replay.cache_clear()
    first = replay("normal-x4", seed)
    replay.cache_clear()
    assert replay("normal-x4", seed).ranks == first.ranks
