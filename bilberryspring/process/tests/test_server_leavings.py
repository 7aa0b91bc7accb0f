"""Record of the servers that left, its bounds and what routers report of it."""

import sys
from dataclasses import replace

import pytest

from bilberryspring.connection.load_messages import hash_name
from bilberryspring.connection.router_reports import MAX_LEAVINGS, LeavingReport
from bilberryspring.identifiers import StoreEpoch
from bilberryspring.process import server_leavings
from bilberryspring.process.server_leavings import (
    LEAVING_LIFETIME_S,
    MAX_LAPSED_ENTRY_AGE_S,
    REPORTED_LIFETIME_S,
    make_server_leavings,
)
from bilberryspring.process.server_table import make_server_table
from bilberryspring.request.tests.relay_fixtures import make_server

FORMER, PRESENT = StoreEpoch(1), StoreEpoch(2)
# Memory that a router may spend on the record.
MAX_BYTES = 1_000_000


class Clock:
    now_s = 1000.0

    def __call__(self):
        return self.now_s


def make_leaving_server(name="a", number=7):
    return replace(make_server(name), report_number=number)


def test_ten_thousand_leavings_take_bounded_memory_and_reports():
    leavings = make_server_leavings(Clock())
    for number in range(10_000):
        leavings.record(make_leaving_server(f"s{number}"), FORMER)
    assert len(leavings) == server_leavings.MAX_LEAVINGS
    size_bytes = sys.getsizeof(leavings._leavings) + sum(
        sys.getsizeof(name) + sys.getsizeof(leaving) + sys.getsizeof(leaving.learnt_s)
        for name, leaving in leavings._leavings.items()
    )
    assert size_bytes <= MAX_BYTES
    assert leavings.is_bound(make_leaving_server("s9999"), PRESENT)
    assert not leavings.is_bound(make_leaving_server("s0"), PRESENT)
    assert len(leavings.list_reports(MAX_LEAVINGS, PRESENT)) == MAX_LEAVINGS


def test_every_leaving_is_reported_the_newest_first():
    leavings = make_server_leavings(Clock())
    for number in range(10):
        leavings.record(make_leaving_server(f"s{number}"), FORMER)
    sent = []
    for _ in range(5):
        sent += [each.server for each in leavings.list_reports(2, PRESENT)]
    assert sent == [hash_name(f"s{number}") for number in range(9, -1, -1)]
    assert leavings.list_reports(1, PRESENT)[0].server == hash_name("s9")


def test_leavings_of_the_present_history_are_not_reported():
    leavings = make_server_leavings(Clock())
    leavings.record(make_leaving_server(), PRESENT)
    assert leavings.list_reports(MAX_LEAVINGS, PRESENT) == ()
    assert leavings.list_reports(MAX_LEAVINGS, None) == ()


def test_reports_among_routers_keep_no_leaving_alive():
    clock = Clock()
    first, second = make_server_leavings(clock), make_server_leavings(clock)
    first.record(make_leaving_server(), FORMER)
    for _ in range(400):
        clock.now_s += 0.25
        for sender, receiver in ((first, second), (second, first)):
            receiver.merge(sender.list_reports(MAX_LEAVINGS, PRESENT))
            receiver.remove_expired()
    assert not len(first) and not len(second)


@pytest.mark.parametrize(
    ("is_heard", "lifetime_s"),
    [(False, LEAVING_LIFETIME_S), (True, REPORTED_LIFETIME_S)],
)
def test_leaving_is_bound_for_its_time_only(is_heard, lifetime_s):
    # A record is asked once, since a list that names the server for long ends it too.
    for age_s, is_bound in ((0.0, True), (lifetime_s - 0.1, True), (lifetime_s, False)):
        clock = Clock()
        own, heard = make_server_leavings(clock), make_server_leavings(clock)
        own.record(make_leaving_server(), FORMER)
        heard.merge(own.list_reports(1, PRESENT))
        clock.now_s += age_s
        asked = heard if is_heard else own
        assert asked.is_bound(make_leaving_server(), PRESENT) is is_bound


def test_sound_server_whose_entry_had_lapsed_is_held_until_its_entry_must_be_renewed():
    clock = Clock()
    table = make_server_table(read_clock=clock)
    table.put(make_leaving_server(), FORMER)
    table.remove("a", "its entry was removed", FORMER)
    clock.now_s += 5.0
    table.put(make_leaving_server(), PRESENT)
    assert not table.list_ready("desk")
    clock.now_s += MAX_LAPSED_ENTRY_AGE_S - 0.1
    assert not table.expire_leavings()
    clock.now_s += 0.1
    assert table.expire_leavings() and table.list_ready("desk")


def test_own_observation_is_not_replaced_by_an_older_report():
    clock = Clock()
    leavings = make_server_leavings(clock)
    leavings.record(make_leaving_server(number=9), FORMER)
    older = LeavingReport(hash_name("a"), 1, 8, FORMER, 1.0)
    assert leavings.merge([older]) == []
    assert leavings.is_bound(make_leaving_server(number=9), PRESENT)
    later = LeavingReport(hash_name("a"), 2, 0, FORMER, 1.0)
    assert leavings.merge([later]) == [hash_name("a")]


def test_server_that_stated_its_leaving_is_held_while_the_store_lists_it_as_ready():
    table = make_server_table(read_clock=Clock())
    table.put(make_leaving_server(number=7), PRESENT)
    running = table.records["a"]
    table.record_statement_of_leaving(running)
    assert table.records["a"] is running
    for number in (8, 9):
        table.put(make_leaving_server(number=number), PRESENT)
        assert not table.list_ready("desk")
    table.put(replace(make_leaving_server(number=10), is_ready=False), PRESENT)
    table.put(make_leaving_server(number=11), PRESENT)
    assert not table.list_ready("desk")
    table.put(replace(make_leaving_server(number=1), started_at_ms=2), PRESENT)
    assert table.list_ready("desk")


def test_late_response_of_the_former_start_does_not_hold_a_restarted_server():
    table = make_server_table(read_clock=Clock())
    table.put(make_leaving_server(), PRESENT)
    former = table.records["a"]
    table.put(replace(make_leaving_server(number=1), started_at_ms=2), PRESENT)
    table.record_statement_of_leaving(former)
    assert table.list_ready("desk")


def test_stated_leaving_that_a_router_reports_ends_with_a_later_entry_of_the_store():
    clock = Clock()
    first, second = (make_server_table(read_clock=clock) for _ in range(2))
    for table in (first, second):
        table.put(make_leaving_server(number=7), PRESENT)
    first.record_statement_of_leaving(first.records["a"])
    reports = first.leavings.list_reports(MAX_LEAVINGS, PRESENT)
    second.merge_leavings(reports)
    assert not second.list_ready("desk")
    assert second.digest == first.digest
    second.put(make_leaving_server(number=8), PRESENT)
    second.merge_leavings(reports)
    assert second.list_ready("desk")
    first.merge_leavings([replace(reports[0], report_number=99)])
    clock.now_s += REPORTED_LIFETIME_S
    assert not first.expire_leavings() and not first.list_ready("desk")
    assert first.leavings.list_reports(MAX_LEAVINGS, PRESENT) == ()
