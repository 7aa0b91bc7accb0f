"""Time for which a server wants no requests, and the return after it."""

from dataclasses import replace

from bilberryspring.process.server_pauses import (
    MAX_RETURN_REQUESTS,
    RETURN_SPREAD_S,
    ServerPause,
)
from bilberryspring.process.server_table import make_server_table
from bilberryspring.request.tests.relay_fixtures import make_server


def count_allowed(pause, now_s):
    """Reserve requests until no more is allowed; return their trials."""
    trials = []
    while pause.allows_request(now_s) and len(trials) < 100:
        trials.append(pause.reserve_trial())
    return trials


def test_shorter_pause_does_not_end_a_longer_one():
    pause = ServerPause()
    pause.begin(3.0, 10.0)
    pause.begin(0.5, 10.1)
    assert pause.is_active(12.9)
    assert not pause.is_active(13.0 + RETURN_SPREAD_S)


def test_routers_that_were_told_the_same_time_do_not_return_together():
    pauses = [ServerPause() for _ in range(50)]
    for pause in pauses:
        pause.begin(1.0, 0.0)
    assert not any(pause.allows_request(0.999) for pause in pauses)
    returned = sum(pause.allows_request(1.0 + RETURN_SPREAD_S / 5) for pause in pauses)
    assert 0 < returned < 25


def test_server_gets_one_request_first_and_more_as_they_are_accepted():
    pause = ServerPause()
    pause.begin(1.0, 0.0)
    counts = []
    while len(counts) < 10:
        trials = count_allowed(pause, 2.0)
        counts.append(len(trials))
        if trials[-1] is None:
            break
        for trial in trials:
            pause.settle_trial(trial, is_accepted=True)
    assert counts[:3] == [1, 2, 4]
    assert counts[-1] == 100 and counts[-2] <= MAX_RETURN_REQUESTS


def test_requests_that_fail_neither_widen_nor_block_the_return():
    pause = ServerPause()
    pause.begin(1.0, 0.0)
    for _ in range(20):
        trials = count_allowed(pause, 2.0)
        assert len(trials) == 1
        pause.settle_trial(trials[0], is_accepted=False)


def test_answer_from_before_a_pause_does_not_widen_the_return_after_it():
    pause = ServerPause()
    pause.begin(1.0, 0.0)
    (early,) = count_allowed(pause, 2.0)
    pause.begin(1.0, 2.0)
    pause.settle_trial(early, is_accepted=True)
    assert len(count_allowed(pause, 4.0)) == 1


def test_pause_ends_with_a_later_start_of_the_server_and_not_with_its_entry():
    table = make_server_table(read_clock=lambda: 10.0)
    server = make_server("a")
    table.put(server)
    table.pause(table.records["a"], 5.0)
    table.remove("a", "its entry expired")
    table.put(server)
    assert table.records["a"].pause.is_active(14.0)
    table.put(replace(server, started_at_ms=2))
    assert not table.records["a"].pause.is_active(14.0)
