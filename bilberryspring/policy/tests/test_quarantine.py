"""Choice of the contents that are quarantined after crashes of servers.

Guards against requests that crash one server after the other because they are only
alike in one part of their prompt, and against the refusal of sound requests that share
the other parts.
"""

from bilberryspring.policy.quarantine import (
    AMBIGUOUS_TEST_DELAY_S,
    MAX_TEST_DELAY_S,
    TEST_DELAY_FACTOR,
    TEST_DELAY_S,
    Content,
    Evidence,
    compute_test_delay,
    find_quarantined,
)

INSTRUCTIONS, SUBJECT, DEADLY = (Content(number, False) for number in (1, 2, 3))
REQUEST = Content(4, True)


def make_crashes(*times_s):
    return {round(time_s * 1000): time_s for time_s in times_s}


def find(evidence, now_s=10.0):
    return set(find_quarantined(evidence, now_s))


def test_one_crash_quarantines_nothing():
    assert not find({DEADLY: Evidence(make_crashes(1.0))})


def test_part_of_two_crashes_without_an_answer_is_quarantined():
    assert find({DEADLY: Evidence(make_crashes(1.0, 2.0))}) == {DEADLY}


def test_part_that_was_answered_before_needs_more_crashes():
    crashes = make_crashes(1.0, 2.0, 3.0)
    assert not find({INSTRUCTIONS: Evidence(crashes, is_proven=True)})
    crashes = make_crashes(1.0, 2.0, 3.0, 4.0)
    assert find({INSTRUCTIONS: Evidence(crashes, is_proven=True)}) == {INSTRUCTIONS}


def test_part_that_was_answered_before_is_observed_for_a_while():
    crashes = make_crashes(1.0, 1.1, 1.2, 1.3)
    evidence = {INSTRUCTIONS: Evidence(crashes, is_proven=True)}
    assert not find(evidence, now_s=2.0)
    assert find(evidence, now_s=3.5)


def test_parts_beside_the_one_of_all_crashes_are_not_quarantined():
    evidence = {
        INSTRUCTIONS: Evidence(make_crashes(1.0, 2.0, 3.0, 4.0, 5.0), is_proven=True),
        SUBJECT: Evidence(make_crashes(2.0, 4.0)),
        DEADLY: Evidence(make_crashes(1.0, 2.0, 3.0, 4.0, 5.0)),
        REQUEST: Evidence(make_crashes(1.0, 2.0)),
    }
    assert find(evidence) == {DEADLY}


def test_part_that_turned_deadly_explains_crashes_before_its_last_answer():
    crashes = make_crashes(1.0, 2.0, 3.0, 4.0)
    evidence = {
        SUBJECT: Evidence(make_crashes(0.2, 0.5)),
        DEADLY: Evidence(crashes, True, make_crashes(0.2, 0.5)),
    }
    assert find(evidence) == {DEADLY}


def test_two_deadly_parts_are_both_quarantined():
    evidence = {
        DEADLY: Evidence(make_crashes(1.0, 2.0, 3.0)),
        SUBJECT: Evidence(make_crashes(3.0, 4.0, 5.0)),
    }
    assert find(evidence) == {DEADLY, SUBJECT}


def test_parts_of_the_same_crashes_are_soon_told_apart_by_a_test():
    evidence = {
        DEADLY: Evidence(make_crashes(1.0, 2.0)),
        SUBJECT: Evidence(make_crashes(1.0, 2.0)),
    }
    quarantined = find_quarantined(evidence, 2.0)
    assert set(quarantined) == {DEADLY, SUBJECT}
    delays_s = {compute_test_delay(each) for each in quarantined.values()}
    assert delays_s == {AMBIGUOUS_TEST_DELAY_S}
    evidence[DEADLY] = Evidence(make_crashes(1.0, 2.0, 3.0))
    assert find(evidence) == {DEADLY}


def test_a_part_is_tested_ever_more_rarely():
    delays_s = []
    for count in range(2, 9):
        crashes = make_crashes(*range(count))
        quarantine = find_quarantined({DEADLY: Evidence(crashes)}, 10.0)[DEADLY]
        delays_s.append(compute_test_delay(quarantine))
    assert delays_s == sorted(delays_s)
    assert delays_s[0] >= 10.0 and delays_s[3] == delays_s[-1] == MAX_TEST_DELAY_S


def test_part_in_use_when_a_pool_crashed_at_once_is_tested_after_the_first_delay():
    crashes = make_crashes(1.0, 1.1, 1.2, 1.3, 1.4, 1.5)
    evidence = {INSTRUCTIONS: Evidence(crashes, is_proven=True)}
    quarantine = find_quarantined(evidence, 10.0)[INSTRUCTIONS]
    assert compute_test_delay(quarantine) == TEST_DELAY_S
    evidence = {INSTRUCTIONS: Evidence(crashes | {7: 20.0}, is_proven=True)}
    quarantine = find_quarantined(evidence, 30.0)[INSTRUCTIONS]
    assert compute_test_delay(quarantine) == TEST_DELAY_S * TEST_DELAY_FACTOR
