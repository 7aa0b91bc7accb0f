"""Servers that shed load and state for how long, in replays of whole fleets."""

import functools
from dataclasses import replace

import pytest

from bilberryspring.policy.tests.fleet_replay import Fleet, replay_fleet

# A tenth of the servers shed for a second each.
FLEET = Fleet(servers=20, utilization=0.6, shedding_share=0.1, shedding_s=1.0)
DURATION_S = 2.5
# Share of the requests that may be lost against a player who knows the servers' times.
MAX_LOSS = 0.02


@functools.cache
def replay(routers, seed=1, **changes):
    return replay_fleet(replace(FLEET, routers=routers, **changes), seed, DURATION_S)


def compute_served_share(result):
    outcomes = result.all
    return outcomes.count_in_time(FLEET.target_s) / outcomes.total


@pytest.mark.parametrize("routers", [5, 68, 404])
def test_server_that_sheds_gets_nothing_in_its_time_and_no_rush_after_it(routers):
    result = replay(routers)
    assert result.all.server_refusals > 0
    assert result.sent_in_pause == 0
    assert result.returned
    assert result.returned_refusals <= MAX_LOSS * len(result.returned)


@pytest.mark.parametrize("routers", [5, 68, 404])
def test_routers_that_learn_of_shedding_serve_as_many_as_if_they_knew(routers):
    served = compute_served_share(replay(routers))
    best = compute_served_share(replay(routers, are_pauses_known=True))
    assert served >= best - MAX_LOSS
