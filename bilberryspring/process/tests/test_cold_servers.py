"""Cold servers, learnt from the store, from responses and from other routers."""

from dataclasses import replace

import pytest

from bilberryspring.capability.routing import PoolLimits
from bilberryspring.connection.load_messages import hash_name
from bilberryspring.policy.cold_rates import RAMP_S
from bilberryspring.process import cold_servers
from bilberryspring.process.cold_servers import (
    FIRST_LISTING_S,
    MAX_COLD_S,
    MAX_OBSERVATIONS,
    make_cold_servers,
)
from bilberryspring.process.server_limits import make_server_limits
from bilberryspring.process.server_rates import make_server_rates
from bilberryspring.process.server_table import make_server_table
from bilberryspring.request.tests.relay_fixtures import make_server

RATE_PER_S = 8.0
POOL = PoolLimits("desk", 10, None, cold_start_s=3.0, cold_per_s=RATE_PER_S)
SERVER = replace(make_server("a"), report_number=5)
KEY = hash_name("a"), SERVER.started_at_ms


class Clock:
    now_s = 100.0

    def __call__(self):
        return self.now_s


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def lines(monkeypatch):
    found = []
    monkeypatch.setattr(
        cold_servers,
        "log_event",
        lambda event, **fields: found.append((event, fields)),
    )
    return found


@pytest.fixture
def cold(clock):
    return make_cold(clock)


def make_cold(clock):
    cold = make_cold_servers(clock)
    cold.set_pools({POOL.name: POOL})
    cold.set_bound(1.5, 5.0)
    return cold


def make_entry(remaining_s, report_number=5, **changes):
    return replace(
        SERVER,
        cold_remaining_s=remaining_s,
        report_number=report_number,
        **changes,
    )


def test_entry_tells_for_how_long_a_server_is_cold(clock, cold, lines):
    cold.record_entry(make_entry(3.0))
    assert cold.find_rate_per_s(SERVER) == RATE_PER_S
    assert cold.get_start_factor(SERVER) > 1.0 and cold.count_cold() == 1
    assert cold.find_rate_per_s(replace(SERVER, started_at_ms=2)) is None
    clock.now_s += 3.0 + RAMP_S / 2
    assert cold.find_rate_per_s(SERVER) > RATE_PER_S
    clock.now_s += RAMP_S / 2
    assert cold.find_rate_per_s(SERVER) is None and cold.count_cold() == 0
    cold.remove_expired()
    cold.remove_expired()
    assert [event for event, _ in lines] == ["server_cold", "server_warm"]
    clock.now_s += cold_servers.HISTORY_S
    cold.remove_expired()
    assert len(cold) == 0


def test_entry_that_says_so_ends_the_cold_time(clock, cold, lines):
    cold.record_entry(make_entry(3.0))
    clock.now_s += 1.0
    cold.record_entry(make_entry(2.0, 6))
    assert len(lines) == 1
    cold.record_entry(make_entry(0.0, 7))
    clock.now_s += RAMP_S
    assert cold.find_rate_per_s(SERVER) is None
    assert [event for event, _ in lines] == ["server_cold", "server_warm"]


def test_warm_server_keeps_no_state(cold):
    cold.record_entry(make_entry(0.0), is_new_start=True)
    cold.record_answer(SERVER, None, 99.0)
    cold.record_answer(SERVER, 0.0, 99.0)
    assert len(cold) == 0


def test_entry_that_is_read_late_does_not_make_a_server_cold_again(clock, cold):
    cold.record_entry(make_entry(3.0))
    cold.record_entry(make_entry(0.0, 8))
    clock.now_s += RAMP_S
    cold.record_entry(make_entry(2.0, 6))
    cold.record_entry(make_entry(2.0, 6), is_from_router=True)
    assert cold.find_rate_per_s(SERVER) is None
    cold.record_entry(make_entry(2.0, 9))
    assert cold.find_rate_per_s(SERVER) == RATE_PER_S


def test_entry_of_a_restored_store_does_not_end_a_cold_time(clock, cold):
    cold.record_entry(make_entry(3.0, 30), epoch=1)
    cold.record_entry(make_entry(0.0, 5), is_new_start=True, epoch=2)
    assert cold.is_cold(SERVER)
    cold.record_entry(make_entry(0.0, 31), epoch=2)
    clock.now_s += RAMP_S
    assert cold.find_rate_per_s(SERVER) is None


def test_server_that_is_listed_again_is_cold_until_its_entry_says_otherwise(clock):
    table = make_server_table(read_clock=clock)
    table.cold.set_pools({POOL.name: POOL})
    there = make_server("there")
    table.put(there)
    clock.now_s += 0.5 * FIRST_LISTING_S
    table.put(SERVER)
    assert not table.cold.is_cold(there) and not table.cold.is_cold(SERVER)
    clock.now_s += FIRST_LISTING_S
    table.remove("a", "its entry was removed")
    table.put(SERVER)
    assert table.cold.is_cold(SERVER)
    restarted = replace(there, started_at_ms=2)
    table.put(restarted)
    assert table.cold.is_cold(restarted)
    table.put(make_entry(0.0, 6))
    assert not table.cold.is_cold(SERVER)


def test_response_holds_against_an_entry_that_was_written_before_it(clock, cold):
    cold.record_answer(SERVER, 2.0, 99.9)
    clock.now_s += 0.5
    cold.record_entry(make_entry(0.0, 6))
    assert cold.is_cold(SERVER)
    cold.record_answer(SERVER, 0.0, 99.0)
    assert cold.is_cold(SERVER)
    cold.record_answer(SERVER, 0.0, 100.4)
    assert not cold.is_cold(SERVER)


@pytest.mark.parametrize("report_number", [0, 5])
def test_other_routers_learn_it_and_pass_it_on_with_its_age(
    clock, cold, lines, report_number
):
    cold.record_entry(make_entry(3.0, report_number))
    clock.now_s += 0.5
    second, third = make_cold_servers(clock), make_cold_servers(clock)
    news = []
    second.news_callbacks.append(lambda: news.append(1))
    reports = cold.list_reports(8)
    second.merge(reports, "front-1")
    assert news and second.find_rate_by_key(*KEY) is not None
    assert lines[-1][1]["reported_by"] == "front-1"
    assert lines[-1][1]["age_s"] == pytest.approx(0.5)
    clock.now_s += 1.0
    (passed_on,) = second.list_reports(8)
    assert passed_on.age_s == pytest.approx(1.5)
    assert passed_on.observation_id == reports[0].observation_id
    third.merge([passed_on], "front-2")
    # Hearing of it again, later, does not make it last longer.
    clock.now_s += 1.0
    second.merge([replace(passed_on, age_s=1.5)], "front-3")
    clock.now_s += 0.5 + RAMP_S
    assert second.find_rate_by_key(*KEY) is third.find_rate_by_key(*KEY) is None


def test_entries_that_other_routers_read_later_do_not_extend_a_cold_time(clock, cold):
    cold.record_entry(make_entry(3.0, 6))
    slow = make_cold(clock)
    clock.now_s += 2.0
    slow.record_entry(make_entry(3.0, 6))
    cold.merge(slow.list_reports(8), "front-2")
    clock.now_s += 1.1
    assert not cold.is_cold(SERVER)


def test_news_come_first_in_reports(clock, cold):
    for number in range(20):
        cold.record_entry(replace(make_entry(3.0), server_id=f"s{number}"))
    names = set()
    for _ in range(3):
        reports = cold.list_reports(8)
        names |= {report.server for report in reports}
        cold.mark_reported(reports)
    assert len(names) == 20 and cold.has_news


@pytest.mark.parametrize("remaining_s", [-1.0, 1e9])
def test_odd_cold_time_is_told_once_and_bounded(clock, cold, lines, remaining_s):
    for number in range(1, 5):
        cold.record_entry(make_entry(remaining_s, number))
        cold.record_answer(SERVER, 1e9, clock.now_s)
    odd = [fields for event, fields in lines if event == "cold_figures_odd"]
    assert len(odd) == len({fields["problem"] for fields in odd}) <= 2
    clock.now_s += MAX_COLD_S + RAMP_S
    assert cold.find_rate_per_s(SERVER) is None


def test_cold_server_of_a_pool_without_a_rate_is_told_and_not_limited(cold, lines):
    odd = replace(POOL, cold_per_s=0.0, cold_problem="a cold time without a rate")
    for _ in range(2):
        cold.set_pools({POOL.name: odd})
        cold.record_entry(make_entry(3.0))
        cold.record_entry(make_entry(3.0, 6))
    assert cold.find_rate_per_s(SERVER) is None
    assert sum(event == "cold_figures_odd" for event, _ in lines) == 2
    assert not cold.list_reports(8) and not cold.has_news


def test_number_of_observations_is_bounded(cold):
    for number in range(MAX_OBSERVATIONS + 10):
        cold.record_entry(replace(make_entry(3.0), server_id=f"s{number}"))
    assert len(cold) == MAX_OBSERVATIONS


@pytest.mark.parametrize(("limit_per_s", "expected"), [(3.0, 3.0), (50.0, RATE_PER_S)])
def test_lower_rate_of_a_limited_cold_server_holds(clock, cold, limit_per_s, expected):
    limits = make_server_limits(clock)
    rates = make_server_rates(limits, cold)
    assert len(rates) == 0
    limits.record_answer(SERVER, limit_per_s, 99.0)
    cold.record_entry(make_entry(3.0))
    assert rates.find_rate_per_s(SERVER) == rates.find_rate_by_key(*KEY) == expected
