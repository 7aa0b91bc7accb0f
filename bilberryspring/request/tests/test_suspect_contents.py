"""Evidence on contents that crash servers, as routers keep and exchange it.

Guards against a sound content that stays quarantined, and against evidence that grows
without bound or never comes to rest between routers.
"""

import pytest

from bilberryspring.connection.router_reports import MAX_CRASHES_PER_SUSPECT
from bilberryspring.policy.quarantine import (
    AMBIGUOUS_TEST_DELAY_S,
    TEST_DELAY_S,
    TEST_SPREAD,
    Content,
)
from bilberryspring.request import suspect_contents
from bilberryspring.request.errors import ErrorKind
from bilberryspring.request.suspect_contents import (
    MAX_CRASHES_PER_RECORD,
    MAX_RECORDS,
    NEWS_LIFETIME_S,
    RECORD_TTL_S,
    hash_crash,
    list_contents,
    make_suspect_contents,
)
from bilberryspring.request.tests.relay_fixtures import (
    make_prompt,
    make_request,
    make_route,
)

DEADLY, SHARED = Content(1, False), Content(2, False)
REQUEST = Content(3, True)
LAST_TEST_DELAY_S = TEST_DELAY_S * (1 + TEST_SPREAD)


class Clock:
    now_s = 100.0

    def __call__(self):
        return self.now_s


@pytest.fixture
def clock():
    return Clock()


def exchange(*routers):
    """Let routers report to each other until none has news; return the rounds."""
    for count in range(10):
        news = []
        for router in routers:
            router.news_callbacks = [lambda news=news: news.append(1)]
        for sender in routers:
            for receiver in routers:
                if sender is not receiver:
                    receiver.merge(sender.list_reports(6))
        if not news:
            return count
    return None


def test_contents_are_the_request_and_the_shared_parts_of_its_prompt():
    prompt = make_prompt(("system", 100), ("subject", 50), ("own", 10))
    first = list_contents(make_request(make_route(), prompt=prompt))
    prompt = make_prompt(("system", 100), ("subject", 50), ("other", 10))
    second = list_contents(make_request(make_route(), prompt=prompt, target="/y"))
    assert [each.is_request for each in first] == [True, False, False]
    assert first[1:] == second[1:] and first[0] != second[0]


def test_crashes_of_one_server_start_count_once(clock):
    suspects = make_suspect_contents(clock)
    for _ in range(3):
        suspects.record_crash(hash_crash("a", 1), [DEADLY])
    assert suspects.admit([DEADLY]) is None
    suspects.record_crash(hash_crash("a", 2), [DEADLY])
    assert suspects.admit([DEADLY]).kind is ErrorKind.REQUEST_QUARANTINED


def test_an_answer_clears_earlier_crashes_only(clock):
    suspects = make_suspect_contents(clock)
    suspects.record_crash(1, [DEADLY])
    suspects.record_crash(2, [DEADLY])
    clock.now_s += 1
    suspects.record_answer([DEADLY])
    assert suspects.admit([DEADLY]) is None
    for crash in range(3, 7):
        clock.now_s += 1
        suspects.record_crash(crash, [DEADLY])
    assert suspects.admit([DEADLY]) is not None


def test_part_answered_at_one_router_is_not_quarantined_at_the_others(clock):
    first, second, third = (make_suspect_contents(clock) for _ in range(3))
    second.record_answer([SHARED])
    clock.now_s += 1
    first.record_crash(1, [SHARED, DEADLY])
    first.record_crash(2, [SHARED, DEADLY])
    assert first.admit([SHARED]) is not None
    exchange(first, second, third)
    for router in (first, second, third):
        assert router.admit([SHARED]) is None
        assert router.admit([DEADLY]) is not None


def test_evidence_of_several_routers_adds_up(clock):
    routers = [make_suspect_contents(clock) for _ in range(3)]
    routers[0].record_crash(1, [SHARED])
    routers[1].record_crash(1, [DEADLY])
    routers[0].record_crash(2, [SHARED])
    routers[2].record_crash(2, [DEADLY])
    routers[2].record_crash(3, [DEADLY])
    exchange(*routers)
    for router in routers:
        assert router.admit([SHARED]) is None
        assert router.admit([DEADLY]) is not None


def test_part_is_not_quarantined_for_crashes_of_a_part_that_had_many_before(clock):
    suspects = make_suspect_contents(clock)
    count = 3 * MAX_CRASHES_PER_SUSPECT
    for crash in range(1, count + 1):
        clock.now_s += 0.1
        suspects.record_crash(
            crash, [DEADLY, SHARED] if crash > count - 3 else [DEADLY]
        )
    assert suspects.admit([DEADLY]) is not None
    assert suspects.admit([SHARED]) is None


def test_news_come_to_rest(clock):
    routers = [make_suspect_contents(clock) for _ in range(4)]
    routers[3].record_answer([SHARED])
    clock.now_s += 1
    routers[0].record_crash(1, [SHARED, DEADLY, REQUEST])
    routers[1].record_crash(2, [SHARED, DEADLY, REQUEST])
    assert exchange(*routers) <= 4
    clock.now_s += 2 * NEWS_LIFETIME_S
    assert exchange(*routers) == 0


def test_a_router_that_starts_later_learns_of_quarantines(clock):
    first, second = make_suspect_contents(clock), make_suspect_contents(clock)
    first.record_crash(1, [DEADLY])
    first.record_crash(2, [DEADLY])
    clock.now_s += 2 * NEWS_LIFETIME_S
    second.merge(first.list_reports(6))
    assert second.admit([DEADLY]) is not None


def test_one_request_of_a_router_tests_a_content_at_a_time(clock):
    suspects = make_suspect_contents(clock)
    suspects.record_crash(1, [DEADLY])
    suspects.record_crash(2, [DEADLY])
    assert suspects.admit([DEADLY]).retry_after_s > LAST_TEST_DELAY_S
    clock.now_s += LAST_TEST_DELAY_S
    assert suspects.find_refusal([DEADLY]) is None
    assert suspects.admit([DEADLY]) is None
    assert suspects.find_refusal([DEADLY]).retry_after_s > LAST_TEST_DELAY_S
    assert suspects.admit([DEADLY]).retry_after_s > LAST_TEST_DELAY_S
    suspects.record_crash(3, [DEADLY])
    assert suspects.find_refusal([DEADLY]) is not None


def test_routers_test_a_content_at_different_times(clock):
    routers = [make_suspect_contents(clock) for _ in range(50)]
    for router in routers:
        router.record_crash(1, [DEADLY])
        router.record_crash(2, [DEADLY])
    begun_s, counts = clock.now_s, []
    for delay_s in (0, TEST_DELAY_S, (TEST_DELAY_S + LAST_TEST_DELAY_S) / 2):
        clock.now_s = begun_s + delay_s
        counts.append(sum(router.find_refusal([DEADLY]) is None for router in routers))
    assert counts[0] == counts[1] == 0 < counts[2] < 50
    clock.now_s = begun_s + LAST_TEST_DELAY_S
    assert all(router.find_refusal([DEADLY]) is None for router in routers)


def test_test_that_is_answered_releases_the_content(clock):
    suspects = make_suspect_contents(clock)
    suspects.record_crash(1, [DEADLY])
    suspects.record_crash(2, [DEADLY])
    clock.now_s += LAST_TEST_DELAY_S
    assert suspects.admit([DEADLY]) is None
    suspects.record_answer([DEADLY])
    assert suspects.admit([DEADLY]) is None and suspects.count_quarantined() == 0


def test_parts_of_the_same_crashes_are_tested_by_requests_with_one_of_them(clock):
    suspects = make_suspect_contents(clock)
    suspects.record_crash(1, [SHARED, DEADLY])
    suspects.record_crash(2, [SHARED, DEADLY])
    assert suspects.admit([SHARED]) is not None
    clock.now_s += AMBIGUOUS_TEST_DELAY_S * (1 + TEST_SPREAD)
    assert suspects.admit([SHARED, DEADLY]) is not None
    assert suspects.admit([SHARED]) is None
    suspects.record_answer([SHARED])
    assert suspects.admit([SHARED]) is None
    assert suspects.admit([SHARED, DEADLY]) is not None


def test_evidence_is_forgotten_after_a_while(clock):
    suspects = make_suspect_contents(clock)
    suspects.record_crash(1, [DEADLY])
    suspects.record_crash(2, [DEADLY])
    clock.now_s += RECORD_TTL_S + 1
    assert suspects.admit([DEADLY]) is None and not suspects._records


def test_evidence_is_bounded(clock, monkeypatch):
    monkeypatch.setattr(suspect_contents, "MAX_ANSWERED_PARTS", 50)
    suspects = make_suspect_contents(clock)
    suspects.record_crash(1, [DEADLY])
    suspects.record_crash(2, [DEADLY])
    for number in range(10, 10 + 2 * MAX_RECORDS):
        suspects.record_crash(number, [Content(number, False), DEADLY])
        suspects.record_answer([Content(number, False)])
    assert len(suspects._records) <= MAX_RECORDS
    assert len(suspects._records[DEADLY].crashed_s) <= MAX_CRASHES_PER_RECORD
    assert len(suspects._answered_parts_s) <= 50
    assert suspects.admit([DEADLY]) is not None
    assert len(suspects.list_reports(6)) == 6


def test_quarantines_that_fill_the_memory_do_not_break_later_evidence(
    clock, monkeypatch
):
    monkeypatch.setattr(suspect_contents, "MAX_RECORDS", 2)
    suspects = make_suspect_contents(clock)
    for content in (DEADLY, SHARED, Content(4, False)):
        suspects.record_crash(1, [content])
        suspects.record_crash(2, [content])
        assert suspects.admit([content]) is not None
    assert len(suspects._records) <= 2
    assert suspects.admit([DEADLY]) is None


def test_routers_do_not_keep_a_quarantine_alive_by_reports_to_each_other(clock):
    routers = [make_suspect_contents(clock) for _ in range(2)]
    for crash in (1, 2):
        routers[0].record_crash(crash, [DEADLY])
    clock.now_s += 60
    routers[1].merge(routers[0].list_reports(6))
    for _ in range(round(3 * RECORD_TTL_S / 7)):
        clock.now_s += 7
        routers[0].merge(routers[1].list_reports(6))
        clock.now_s += 0.25
        routers[1].merge(routers[0].list_reports(6))
    assert not any(router.count_quarantined() for router in routers)
