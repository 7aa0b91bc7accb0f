"""Evacuations of availability zones, as news of them arrive late or out of order.

Guards against an evacuation that a restored store, a late answer or an old report ends
or brings back.
"""

import itertools

import pytest

from bilberryspring.capability.store_position import StorePosition
from bilberryspring.connection.limit_messages import LimitReport
from bilberryspring.connection.load_messages import hash_name
from bilberryspring.connection.router_reports import (
    MAX_EVACUATIONS,
    MAX_LIMITS,
    MAX_LOADS,
    MAX_REPORT_BYTES,
    MAX_STATEMENTS,
    RouterLoad,
    RouterReport,
    ServerStatement,
    decode_report,
    encode_report,
)
from bilberryspring.identifiers import StoreEpoch
from bilberryspring.process import zone_evacuations
from bilberryspring.process.server_table import make_server_table
from bilberryspring.process.zone_evacuations import (
    MAX_UNKNOWN_LINES,
    MAX_ZONES,
    RETURN_LIFETIME_S,
    UNLISTED_LIFETIME_S,
    make_zone_evacuations,
)
from bilberryspring.request.tests.relay_fixtures import make_server


def at(revision, epoch=1):
    return StorePosition(StoreEpoch(epoch), revision)


class Clock:
    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def make_record(clock):
    return lambda: make_zone_evacuations(clock, lambda zone: 3)


@pytest.fixture
def record(make_record):
    return make_record()


def tell(sender, receiver):
    reports = sender.list_reports(MAX_EVACUATIONS)
    receiver.merge(reports, "front-9")
    sender.mark_reported(reports)


@pytest.fixture
def logged(monkeypatch):
    lines = []
    monkeypatch.setattr(
        zone_evacuations,
        "log_event",
        lambda event, **fields: lines.append((event, fields)),
    )
    return lines


def test_zone_is_evacuated_until_the_store_removes_its_entry(record):
    record.record_listing({"a": at(5)}, at(9))
    assert record.is_evacuated("a") and not record.is_evacuated("b")
    record.record_change("a", at(12), is_evacuated=False)
    assert not record.is_evacuated("a") and record.count_in_force() == 0


def test_list_without_a_zone_ends_only_an_evacuation_that_it_is_later_than(record):
    record.record_change("a", at(10), is_evacuated=True)
    record.record_listing({}, at(9))
    assert record.is_evacuated("a")
    record.record_listing({}, at(11))
    assert not record.is_evacuated("a")


def test_changes_of_one_history_count_in_its_order_whatever_arrives_first(make_record):
    changes = [(at(5), True), (at(6), False), (at(7), True), (at(8), False)]
    for count in (1, 2, 3, 4):
        for order in itertools.permutations(changes[:count]):
            record = make_record()
            for position, is_evacuated in order:
                record.record_change("a", position, is_evacuated)
            assert record.is_evacuated("a") == (count % 2 == 1), order


def test_late_answer_does_not_bring_back_an_evacuation(record):
    record.record_change("a", at(5), is_evacuated=True)
    record.record_change("a", at(8), is_evacuated=False)
    record.record_listing({"a": at(5)}, at(6))
    assert not record.is_evacuated("a")


@pytest.mark.parametrize("is_end_first", [True, False])
def test_report_that_is_older_than_the_end_changes_nothing(make_record, is_end_first):
    sender, late, receiver = make_record(), make_record(), make_record()
    for each in (sender, late):
        each.record_change("a", at(5), is_evacuated=True)
    sender.record_change("a", at(8), is_evacuated=False)
    for each in (sender, late) if is_end_first else (late, sender):
        tell(each, receiver)
    assert not receiver.is_evacuated("a")


def test_router_that_missed_the_end_is_told_by_one_that_never_knew_the_zone(
    make_record,
):
    late, fresh = make_record(), make_record()
    late.record_change("a", at(5), is_evacuated=True)
    fresh.record_listing({}, at(9))
    news = []
    fresh.news_callbacks.append(lambda: news.append(True))
    tell(late, fresh)
    assert not fresh.is_evacuated("a") and news
    tell(fresh, late)
    assert not late.is_evacuated("a")


def test_report_of_a_later_change_than_was_read_is_believed(make_record):
    sender, receiver = make_record(), make_record()
    receiver.record_listing({}, at(9))
    sender.record_change("a", at(10), is_evacuated=True)
    tell(sender, receiver)
    assert receiver.is_evacuated("a")
    assert receiver.describe("a")[0] == "front-9"


def test_what_others_reported_keeps_its_age_and_is_no_own_observation(
    make_record, clock
):
    routers = [make_record() for _ in range(3)]
    routers[0].record_change("a", at(5), is_evacuated=True)
    for sender, receiver in itertools.pairwise(routers):
        clock.now_s += 2.0
        tell(sender, receiver)
    assert routers[2].describe("a") == ("front-9", 4.0, 1)
    assert routers[0].describe("a") == ("store", 4.0, 1)


def test_restored_store_does_not_end_an_evacuation_that_it_lost(record, clock, logged):
    record.record_change("a", at(50), is_evacuated=True)
    for revision in (40, 45):
        record.record_listing({}, at(revision, epoch=2))
    assert record.is_evacuated("a")
    assert [event for event, _ in logged].count("zone_evacuation_lost") == 1
    clock.now_s += UNLISTED_LIFETIME_S - 1.0
    record.remove_expired()
    assert record.is_evacuated("a")
    clock.now_s += 2.0
    record.remove_expired()
    assert not record.is_evacuated("a")


def test_operator_ends_an_evacuation_that_the_restored_store_lost(record):
    record.record_change("a", at(50), is_evacuated=True)
    record.record_listing({}, at(40, epoch=2))
    record.record_change("a", at(41, epoch=2), is_evacuated=True)
    assert record.is_evacuated("a")
    record.record_change("a", at(42, epoch=2), is_evacuated=False)
    assert not record.is_evacuated("a")


def test_restored_store_does_not_bring_back_an_evacuation_that_ended(record):
    record.record_change("a", at(50), is_evacuated=True)
    record.record_change("a", at(60), is_evacuated=False)
    record.record_listing({"a": at(50, epoch=2)}, at(55, epoch=2))
    assert not record.is_evacuated("a")


def test_revision_that_a_restored_store_gives_out_again_is_a_new_evacuation(
    make_record,
):
    first, second = make_record(), make_record()
    for each in (first, second):
        each.record_change("a", at(50), is_evacuated=True)
        each.record_change("a", at(60), is_evacuated=False)
    first.record_change("a", at(50, epoch=2), is_evacuated=True)
    assert first.is_evacuated("a")
    tell(first, second)
    assert second.is_evacuated("a")


@pytest.mark.parametrize("is_end_first", [True, False])
def test_router_that_read_only_the_restored_store_learns_what_had_ended(
    make_record, is_end_first
):
    knowing, fresh = make_record(), make_record()
    knowing.record_change("a", at(50), is_evacuated=True)
    knowing.record_change("a", at(60), is_evacuated=False)
    if is_end_first:
        tell(knowing, fresh)
    fresh.record_listing({"a": at(50, epoch=2)}, at(55, epoch=2))
    tell(fresh, knowing)
    tell(knowing, fresh)
    assert not knowing.is_evacuated("a") and not fresh.is_evacuated("a")


def test_router_that_read_only_the_restored_store_learns_what_it_lost(make_record):
    knowing, fresh = make_record(), make_record()
    knowing.record_change("a", at(50), is_evacuated=True)
    fresh.record_listing({}, at(40, epoch=2))
    tell(knowing, fresh)
    assert fresh.is_evacuated("a")


def test_answers_of_a_former_history_change_nothing(record):
    record.record_change("a", at(7, epoch=2), is_evacuated=True)
    record.record_change("a", at(90), is_evacuated=False)
    record.record_listing({}, at(90))
    assert record.is_evacuated("a")


def test_end_is_remembered_longer_than_late_news_travel(make_record, clock):
    record, late = make_record(), make_record()
    for each in (record, late):
        each.record_change("a", at(5), is_evacuated=True)
    record.record_change("a", at(8), is_evacuated=False)
    clock.now_s += RETURN_LIFETIME_S - 1.0
    record.remove_expired()
    tell(late, record)
    assert not record.is_evacuated("a")
    clock.now_s += 2.0
    record.remove_expired()
    assert len(record) == 0


def test_ten_thousand_zones_leave_those_with_servers_in_force(clock, logged):
    known = {hash_name(f"z{number}") for number in (0, 4_000, 9_999)}
    record = make_zone_evacuations(clock, lambda zone: int(zone in known))
    listed = {f"z{number}": at(number + 2) for number in range(10_000)}
    for _ in range(2):
        record.record_listing(listed, at(20_000))
    assert all(record.is_evacuated(f"z{number}") for number in (0, 4_000, 9_999))
    assert len(record) == MAX_ZONES
    record.record_change("z0", at(20_001), is_evacuated=False)
    assert not record.is_evacuated("z0")
    assert len(logged) <= MAX_UNKNOWN_LINES + 3 + 1 + 2
    reported = {report.zone for report in record.list_reports(MAX_EVACUATIONS)}
    assert known <= reported


def test_zone_with_servers_gets_the_place_of_one_without(clock):
    record = make_zone_evacuations(clock, lambda zone: int(zone == hash_name("a")))
    for number in range(MAX_ZONES + 5):
        record.record_change(f"z{number}", at(number + 2), is_evacuated=True)
    record.record_change("a", at(9_000), is_evacuated=True)
    assert record.is_evacuated("a") and len(record) == MAX_ZONES


def test_table_leaves_out_servers_of_evacuated_zones_and_takes_them_back():
    table = make_server_table()
    for name, zone in (("a", "z1"), ("b", "z2")):
        table.put(make_server(name, zone=zone))
    pool = table.records["a"].server.pool

    def list_ready():
        return {record.server.server_id for record in table.list_ready(pool)}

    assert list_ready() == {"a", "b"}
    table.evacuations.record_change("z1", at(5), is_evacuated=True)
    assert list_ready() == {"b"}
    assert len(table.list_all(pool)) == 2
    assert not table.records["a"].accepts_work and table.records["b"].accepts_work
    table.put(make_server("c", zone="z1"))
    assert list_ready() == {"b"}
    table.evacuations.record_change("z1", at(6), is_evacuated=False)
    assert list_ready() == {"a", "b", "c"}


def test_full_report_with_evacuations_fits_into_a_datagram(record):
    for number in range(MAX_EVACUATIONS):
        zone = f"zone-{number}"
        record.record_change(zone, at(2**40 + 7919 * number, 77), is_evacuated=True)
        if number % 2:
            position = at(2**41 + 104_729 * number, 77)
            record.record_change(zone, position, is_evacuated=False)
    reports = record.list_reports(MAX_EVACUATIONS)
    report = RouterReport(
        "front-1",
        2**40 + 12_345,
        99_999,
        12_345,
        68,
        tuple(
            RouterLoad(hash_name(f"s{number}"), 40 + number, 20_000, 90_000)
            for number in range(MAX_LOADS)
        ),
        servers_digest=2**63 + 5,
        servers_age_s=0.3,
        statements=tuple(
            ServerStatement(hash_name(f"s{number}"), 30 + number, 0.2)
            for number in range(MAX_STATEMENTS)
        ),
        store_epoch=StoreEpoch(77),
        limits=(LimitReport(2**63 + 9, 2**40, 5.37, 0.2, 0.1, 2**31 + 9),) * MAX_LIMITS,
        evacuations=reports,
    )
    encoded = encode_report(report)
    assert len(encoded) <= MAX_REPORT_BYTES
    decoded = decode_report(encoded)
    assert decoded.evacuations == tuple(reports)
    assert decoded.loads
