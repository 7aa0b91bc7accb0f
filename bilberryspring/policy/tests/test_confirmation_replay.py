"""Age of the copies of the store at all routers, and what it costs in calls of it.

Guards against copies whose age nobody watches, and against calls that grow with the
fleet beyond what the store allows.
"""

import pytest

from bilberryspring.policy.tests.confirmation_replay import (
    BOUNDS_S,
    replay_confirmations,
)

# Calls that the store allows to small fleets; larger ones may make three times as many.
READS_PER_S = 2_000
# A read over a connection that turns out to be silent, and its repetition.
READ_AGAIN_S = 0.6


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("routers", [5, 68])
def test_copies_are_confirmed_in_time_also_without_watching_routers(routers, seed):
    result = replay_confirmations(routers, seed)
    for prefix, bound_s in BOUNDS_S.items():
        assert result.calm_age_s[prefix] + READ_AGAIN_S < bound_s
        assert result.cut_age_s[prefix] + READ_AGAIN_S < bound_s
    assert result.calm_calls_per_s.total() < 0.05 * READS_PER_S
    assert result.cut_calls_per_s.total() < 0.2 * READS_PER_S


def test_calls_of_a_large_fleet_are_a_small_part_of_what_the_store_allows():
    result = replay_confirmations(404, 1, end_s=8.0)
    for prefix, bound_s in BOUNDS_S.items():
        assert result.calm_age_s[prefix] + READ_AGAIN_S < bound_s
    assert result.calm_calls_per_s.total() < 0.2 * READS_PER_S
