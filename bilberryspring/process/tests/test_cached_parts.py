"""Engines that hold parts of prompts, learnt from responses and other routers."""

from dataclasses import replace

import pytest

from bilberryspring.connection.load_messages import hash_name
from bilberryspring.policy.cached_parts import ENOUGH_HOLDERS, REPEAT_INTERVAL_S
from bilberryspring.process import cached_parts
from bilberryspring.process.cached_parts import make_cached_parts
from bilberryspring.process.server_table import make_server_table
from bilberryspring.request.tests.relay_fixtures import make_prompt, make_server

COUNT = 12
PROMPT = make_prompt(("base", 500), ("chat", 9000), ("own", 100))


class Clock:
    now_s = 100.0

    def __call__(self):
        return self.now_s


@pytest.fixture
def clock():
    return Clock()


def record(parts, server_id, prompt=PROMPT):
    parts.record_response(make_server(server_id), prompt)


def find(parts, prompt=PROMPT):
    return dict(parts.find_holders(replace(prompt)))


def test_engine_holds_the_parts_before_one_that_it_holds(clock):
    parts = make_cached_parts(clock)
    record(parts, "a")
    other = make_prompt(("base", 500), ("other chat", 3000), ("own", 100))
    record(parts, "b", other)
    assert find(parts) == {hash_name("a"): 9500, hash_name("b"): 500}
    # The part of the request itself is not shared.
    assert len(parts) == 3


def test_router_learns_holders_and_passes_them_on_with_their_age(clock):
    first, second, third = (make_cached_parts(clock) for _ in range(3))
    record(first, "a")
    clock.now_s += 3.0
    second.merge(first.list_reports(COUNT))
    clock.now_s += 3.0
    reports = second.list_reports(COUNT)
    assert [report.age_s for report in reports] == [6.0, 6.0]
    third.merge(reports)
    assert find(third) == find(first)
    assert third.learned_count == 2
    clock.now_s = 100.0 + cached_parts.HOLDING_LIFETIME_S
    assert not find(first) and not find(third)
    third.merge(reports[:0] + first.list_reports(COUNT))
    assert not find(third)


def test_each_observation_is_put_into_few_reports_longest_parts_first(clock):
    parts = make_cached_parts(clock)
    record(parts, "a")
    for _ in range(cached_parts.OWN_NEWS_REPORTS):
        reports = parts.list_reports(1)
        assert reports[0].tokens == 9000
        parts.mark_reported(reports)
    assert parts.list_reports(1)[0].tokens == 500
    for _ in range(cached_parts.OWN_NEWS_REPORTS):
        parts.mark_reported(parts.list_reports(COUNT))
    assert parts.list_reports(COUNT) == ()
    clock.now_s += 1.0
    record(parts, "a")
    assert parts.list_reports(COUNT) == ()
    clock.now_s += REPEAT_INTERVAL_S
    record(parts, "a")
    assert len(parts.list_reports(COUNT)) == 2


def test_part_that_many_engines_hold_is_no_news(clock):
    parts = make_cached_parts(clock)
    for number in range(10):
        clock.now_s += 0.1
        record(parts, f"s{number}")
    assert len(parts.list_reports(100)) == 2 * ENOUGH_HOLDERS


def test_state_is_bounded(clock, monkeypatch):
    monkeypatch.setattr(cached_parts, "MAX_PARTS", 20)
    monkeypatch.setattr(cached_parts, "MAX_NEWS", 10)
    parts = make_cached_parts(clock)
    for number in range(100):
        record(parts, f"s{number}")
        tokens = 1000 + number
        record(parts, "a", make_prompt((f"chat{number}", tokens), ("own", 1)))
    assert len(parts) == 20
    assert len(parts.find_holders(PROMPT)) <= 2 * cached_parts.MAX_HOLDERS
    reported_tokens = [each.tokens for each in parts.list_reports(100)]
    assert len(reported_tokens) == 10 and min(reported_tokens) >= 1090


def test_server_that_restarts_or_leaves_holds_nothing(clock):
    table = make_server_table(read_clock=clock)
    other = make_cached_parts(clock)
    servers = [make_server("a"), make_server("b")]
    for server in servers:
        table.put(server)
        table.record_cached_parts(table.records[server.server_id], PROMPT)
    reports = table.cached_parts.list_reports(COUNT)
    other.merge(reports)
    held_before = table.records["a"]
    clock.now_s += 1.0
    table.put(replace(servers[0], started_at_ms=5000))
    table.remove("b", "it left")
    assert not table.find_part_holders(PROMPT, clock()).tokens
    # Neither a response of the former start nor a report of it counts afterwards.
    table.record_cached_parts(held_before, PROMPT)
    table.cached_parts.merge(other.list_reports(COUNT))
    assert not table.find_part_holders(replace(PROMPT), clock()).tokens
    clock.now_s += 1.0
    table.record_cached_parts(table.records["a"], PROMPT)
    found = table.find_part_holders(replace(PROMPT), clock())
    assert found.tokens == {"a": 9500} and found.source is table.records["a"]
