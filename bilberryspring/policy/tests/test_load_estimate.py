"""Estimates of the load of servers, in replays of fleets of several sizes."""

from dataclasses import replace

import pytest

from bilberryspring.policy.tests.fleet_replay import CHAT_KINDS, Fleet, replay_fleet
from bilberryspring.process import router_peers
from bilberryspring.process.server_table import ServerRecord

ENGINES = Fleet(
    servers=38,
    slots=16,
    queued=8,
    service_s=0.9,
    utilization=0.45,
    is_engine=True,
    target_s=1.2,
    deadline_s=8.0,
)


SEEDS = (1, 2)


def sum_errors(fleet, estimator):
    return sum(
        replay_fleet(fleet, seed, 3.0, estimator).compute_rms_load_error()
        for seed in SEEDS
    )


@pytest.mark.parametrize("routers", [5, 40])
def test_statements_of_servers_reduce_the_error_of_their_load(monkeypatch, routers):
    fleet = replace(ENGINES, routers=routers)
    with_statements = sum_errors(fleet, "weighted")
    monkeypatch.setattr(router_peers, "MAX_STATEMENTS", 0)
    assert with_statements < 0.9 * sum_errors(fleet, "highest")


def test_error_of_the_load_grows_little_with_the_number_of_routers():
    errors = [
        replay_fleet(replace(ENGINES, routers=n), 1, 2.0).compute_rms_load_error()
        for n in (20, 120)
    ]
    assert errors[1] < 1.5 * errors[0]


def test_reports_stay_within_the_bytes_of_a_node():
    assert replay_fleet(ENGINES, 1, 1.0).report_bytes_per_s < 10_000


@pytest.mark.parametrize("seed", [1, 2])
def test_a_burst_beside_joining_servers_keeps_the_load_bound(seed):
    fleet = replace(ENGINES, burst=(0.5, 4.0, 2.2), joining=(4.0, 11))
    assert replay_fleet(fleet, seed, 4.0).compute_share_beyond_bound() <= 0.03


def test_servers_on_busy_machines_get_less_work(monkeypatch):
    fleet = Fleet(
        routers=5, servers=3, service_s=0.045, utilization=0.4, busy_ratio=2.5
    )
    late_s = 0.1

    def count_late():
        late = 0
        for seed in (1, 2, 3):
            outcomes = replay_fleet(fleet, seed, 20.0).all
            late += outcomes.total - outcomes.count_in_time(late_s)
        return late

    with_ratio = count_late()
    monkeypatch.setattr(ServerRecord, "predict_work_time_ratio", lambda *_: 1.0)
    assert with_ratio < 0.85 * count_late()


@pytest.mark.parametrize("routers", [30, 68])
def test_routers_do_not_all_send_to_a_server_that_joins_a_loaded_pool(routers):
    fleet = Fleet(
        routers=routers,
        servers=20,
        slots=64,
        queued=192,
        is_engine=True,
        chat_kinds=CHAT_KINDS,
        memory_tokens=244_000,
        arrivals_per_s=1400.0,
        joining=(7.5, 1),
        deadline_s=8.0,
    )
    assert replay_fleet(fleet, 1, 3.0).compute_share_beyond_bound() <= 0.03
