"""Limits that servers state, learnt from answers and from other routers."""

from dataclasses import replace

import pytest

from bilberryspring.connection.load_messages import hash_name
from bilberryspring.process import server_limits
from bilberryspring.process.server_limits import make_server_limits
from bilberryspring.request.tests.relay_fixtures import make_server

SERVER = make_server("a")
COUNT = 8


class Clock:
    now_s = 100.0

    def __call__(self):
        return self.now_s


@pytest.fixture
def clock():
    return Clock()


def test_answer_that_overtook_another_does_not_end_a_limit(clock):
    limits = make_server_limits(clock)
    limits.record_answer(SERVER, 5.0, sent_s=99.0)
    limits.record_answer(SERVER, None, sent_s=99.9)
    assert limits.find_rate_per_s(SERVER) == 5.0
    limits.record_answer(SERVER, None, sent_s=100.0)
    assert limits.find_rate_per_s(SERVER) is None


def test_answer_that_was_overtaken_neither_changes_nor_revives_a_limit(clock):
    limits = make_server_limits(clock)
    limits.record_answer(SERVER, 5.0, sent_s=99.0)
    limits.record_answer(SERVER, 9.0, sent_s=98.0)
    assert limits.find_rate_per_s(SERVER) == 5.0
    limits.record_answer(SERVER, 7.0, sent_s=99.5)
    assert limits.find_rate_per_s(SERVER) == 7.0
    limits.record_answer(SERVER, None, sent_s=100.5)
    limits.record_answer(SERVER, 7.0, sent_s=100.2)
    assert limits.find_rate_per_s(SERVER) is None


def test_later_start_of_a_server_has_no_limit(clock):
    limits = make_server_limits(clock)
    limits.record_answer(SERVER, 5.0, sent_s=99.0)
    assert limits.find_rate_per_s(replace(SERVER, started_at_ms=2)) is None


def test_limit_that_nobody_names_is_forgotten(clock):
    limits = make_server_limits(clock)
    limits.record_answer(SERVER, 5.0, sent_s=99.0)
    limits.record_answer(make_server("b"), 0.01, sent_s=99.0)
    clock.now_s += server_limits.STATEMENT_LIFETIME_S
    assert limits.find_rate_per_s(SERVER) is None
    # At this rate, an answer is due after 100 s.
    assert limits.find_rate_per_s(make_server("b")) == 0.01


def test_limit_that_ended_is_not_revived_by_a_router_that_missed_its_end(clock):
    first, second = make_server_limits(clock), make_server_limits(clock)
    first.record_answer(SERVER, 5.0, sent_s=99.0)
    second.merge(first.list_reports(COUNT), "first")
    assert second.find_rate_per_s(SERVER) == 5.0
    first.record_answer(SERVER, None, sent_s=100.0)
    clock.now_s += 0.2
    first.merge(second.list_reports(COUNT), "second")
    assert first.find_rate_per_s(SERVER) is None
    second.merge(first.list_reports(COUNT), "first")
    assert second.find_rate_per_s(SERVER) is None


def test_age_of_a_limit_stays_that_of_the_answer_as_routers_pass_it_on(clock):
    first, second = make_server_limits(clock), make_server_limits(clock)
    first.record_answer(SERVER, 5.0, sent_s=99.0)
    clock.now_s += 3.0
    second.merge(first.list_reports(COUNT), "first")
    clock.now_s += 2.0
    (report,) = second.list_reports(COUNT)
    assert report.received_age_s == 5.0
    assert report.sent_age_s == 6.0


def test_routers_that_repeat_a_limit_to_each_other_do_not_make_it_later(clock):
    first, second = make_server_limits(clock), make_server_limits(clock)
    first.record_answer(SERVER, 5.0, sent_s=99.0)
    for _ in range(50):
        for sender, receiver in ((first, second), (second, first)):
            reports = sender.list_reports(COUNT)
            clock.now_s += 0.03
            receiver.merge(reports, "other")
    (report,) = first.list_reports(COUNT)
    assert report.received_age_s == pytest.approx(clock.now_s - 100.0)


def report(limits):
    """List reports, and take them as sent."""
    reports = limits.list_reports(COUNT)
    limits.mark_reported(reports)
    return reports


def test_changes_are_announced_and_repetitions_are_not(clock):
    limits, news = make_server_limits(clock), []
    limits.news_callbacks.append(lambda: news.append(limits.find_rate_per_s(SERVER)))
    for sent_s, rate_per_s in [(99, 5.0), (99.5, 5.0), (99.6, 6.0), (100, None)]:
        limits.record_answer(SERVER, rate_per_s, float(sent_s))
    assert news == [5.0, 6.0, None]


def test_limits_take_turns_in_reports_after_changes(clock):
    limits = make_server_limits(clock)
    for number in range(3 * COUNT):
        limits.record_answer(make_server(f"s{number}"), 5.0, sent_s=99.0)
    while limits.has_news:
        report(limits)
    limits.record_answer(make_server("s3"), 6.0, sent_s=99.5)
    assert report(limits)[0].server == hash_name("s3")
    while limits.has_news:
        report(limits)
    reported = [each.server for _ in range(3) for each in report(limits)]
    assert len(set(reported)) == 3 * COUNT


def test_number_of_limits_is_bounded(monkeypatch, clock):
    monkeypatch.setattr(server_limits, "MAX_STATEMENTS", 3)
    limits = make_server_limits(clock)
    for number in range(5):
        limits.record_answer(make_server(f"s{number}"), 5.0, sent_s=99.0)
    assert len(limits) == 3
