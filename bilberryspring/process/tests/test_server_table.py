"""Records of backend servers: silence, failures, slowness and restarts."""

from bilberryspring.process.server_table import (
    MAX_AVOIDANCE_S,
    SILENCE_TIMEOUT_S,
    make_server_table,
)
from bilberryspring.request.tests.relay_fixtures import make_prompt, make_server


def make_record():
    table = make_server_table()
    table.put(make_server("a"))
    return table, table.records["a"]


def test_a_server_is_silent_only_with_requests_in_flight():
    _, record = make_record()
    assert not record.is_silent(100.0)
    record.record_sent("t", None, 100.0)
    assert not record.is_silent(100.0 + SILENCE_TIMEOUT_S / 2)
    assert record.is_silent(100.01 + SILENCE_TIMEOUT_S)
    record.record_response("t", 101.0)
    assert record.is_silent(101.01 + SILENCE_TIMEOUT_S)
    record.record_ended("t")
    assert not record.is_silent(200.0)


def test_a_response_to_another_request_ends_the_silence():
    _, record = make_record()
    record.record_sent("long", None, 100.0)
    record.record_sent("short", None, 100.0)
    record.record_response("short", 101.0)
    record.record_ended("short")
    assert not record.is_silent(101.0 + SILENCE_TIMEOUT_S / 2)
    assert record.is_silent(101.01 + SILENCE_TIMEOUT_S)


def test_consecutive_failures_extend_the_avoidance_up_to_a_bound():
    _, record = make_record()
    for _ in range(10):
        record.record_failure("reset", 100.0)
    assert record.is_avoided(100.0 + MAX_AVOIDANCE_S * 0.9)
    assert not record.is_avoided(100.0 + MAX_AVOIDANCE_S)
    record.record_success()
    assert not record.is_avoided(100.0)


def test_isolated_failures_do_not_make_a_server_avoided():
    _, record = make_record()
    for number in range(200):
        if number % 20 == 7:
            record.record_failure("reset", 100.0)
            assert not record.is_avoided(100.0)
        else:
            record.record_success()


def test_a_server_that_fails_twice_in_a_row_or_is_down_is_avoided():
    _, record = make_record()
    record.record_failure("reset", 100.0)
    record.record_failure("reset", 100.0)
    assert record.is_avoided(100.0)
    _, record = make_record()
    record.record_failure("refused", 100.0, is_down=True)
    assert record.is_avoided(100.0)


def test_slowness_is_sampled_and_decays_without_samples():
    _, record = make_record()
    for _ in range(20):
        record.record_response_time(1.0, 0.1, 100.0)
    assert record.compute_slowness(100.0) > 8
    assert record.compute_slowness(130.0) < 1.1


def test_a_server_that_restarts_under_its_id_gets_a_new_record():
    table, record = make_record()
    record.record_sent("t", make_prompt(("p", 10)), 100.0)
    table.put(make_server("a", started_at_ms=2))
    again = table.records["a"]
    assert again is not record
    assert again.count_cached_tokens(make_prompt(("p", 10))) == 0


def test_a_leaving_server_keeps_its_record_but_gets_no_requests():
    table, record = make_record()
    record.requests = 1
    table.put(make_server("a", slots=9))
    assert table.records["a"] is record
    leaving = make_server("a")
    table.put(
        type(leaving)(*[getattr(leaving, n) for n in leaving.__slots__[:6]], False, 1)
    )
    assert table.records["a"] is record
    assert table.list_ready("desk") == []
