"""Servers that limit the rate of requests, in replays of whole fleets."""

import math
from dataclasses import replace

import pytest

from bilberryspring.policy.tests.limit_replay import LimitedFleet, replay_limits

FLEET = LimitedFleet()
# The keeper of the credit of the first server.
KEEPER = -1
MIN_USED_SHARE = 0.9


@pytest.mark.parametrize(
    ("routers", "rate_per_s"),
    [(5, 0.1), (5, 5.0), (5, 100.0), (68, 0.1), (68, 5.0), (68, 100.0), (404, 5.0)],
)
def test_routers_together_send_what_a_server_takes(routers, rate_per_s):
    demand_per_s = 2.5 * rate_per_s * FLEET.servers + 20.0
    fleet = replace(
        FLEET,
        routers=routers,
        limits=((0.0, rate_per_s),),
        demand_per_s=demand_per_s,
    )
    duration_s = 7.0 if rate_per_s > 1 else 25.0
    result = replay_limits(fleet, 1, duration_s)
    assert result.find_excess() <= 0.0
    begin_s = 1.5
    if rate_per_s > 1:
        assert result.compute_used_share(begin_s, duration_s) >= MIN_USED_SHARE
    assert result.sent_bytes_per_s < 10_000 + 200 * rate_per_s


@pytest.mark.parametrize("routers", [5, 68])
@pytest.mark.parametrize("down_s", [1.0, math.inf])
def test_limit_holds_while_routers_are_killed_restarted_and_join(routers, down_s):
    fleet = replace(
        FLEET,
        routers=routers,
        restarts=((2.0, KEEPER, down_s), (5.0, KEEPER, down_s), (5.0, 2, down_s)),
        joins=(3.0, 3.5, 7.0, 7.1),
    )
    result = replay_limits(fleet, 1, 12.0)
    assert result.find_excess() <= 0.0
    # Without its keeper, the credit of a server is not given for a second or two.
    assert result.compute_used_share(1.5, 12.0) >= 0.8


@pytest.mark.parametrize("routers", [5, 68])
def test_limit_holds_as_it_begins_changes_and_ends(routers):
    limits = ((1.0, 8.0), (5.0, 2.0), (9.0, 6.0), (13.0, None), (15.0, 5.0))
    fleet = replace(FLEET, routers=routers, limits=limits, limited=3, demand_per_s=200)
    result = replay_limits(fleet, 1, 20.0)
    assert result.find_excess() <= 0.0
    assert result.compute_used_share(2.5, 5.0) >= MIN_USED_SHARE
    assert result.compute_used_share(10.0, 13.0) >= 0.8
    # A server without a limit has a sixth of the demand.
    after_s = [at_s for at_s in result.arrivals["s0"] if 14.0 <= at_s < 15.0]
    assert len(after_s) >= 0.5 * 200 / 6


@pytest.mark.parametrize("routers", [5, 68])
def test_what_limited_servers_cannot_serve_is_refused_at_once(routers):
    fleet = replace(FLEET, routers=routers, demand_per_s=120.0)
    result = replay_limits(fleet, 1, 8.0)
    assert result.find_excess() <= 0.0
    # Three quarters of the demand are beyond the limits.
    assert len(result.refused) >= 0.6 * (len(result.refused) + len(result.served_s))
    waits_s = sorted(waited_s for waited_s, _ in result.refused)
    assert waits_s[len(waits_s) // 2] <= 0.05
    assert waits_s[-1] <= fleet.target_s + 0.1
    assert max(result.served_s) <= fleet.target_s + 0.1
    # A caller that comes back then is served, if the others do not come before it.
    mean_return_s = sum(each for _, each in result.refused) / len(result.refused)
    assert mean_return_s >= 0.5 / (FLEET.servers * 5.0 / routers)
