"""Splitting of event streams at event boundaries.

Guards against events that are held back until the end of their stream.
"""

import time

import pytest

from bilberryspring.request.event_splitter import make_event_splitter

MAX_CPU_S = 0.5


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n"])
@pytest.mark.parametrize("size", [1, 2, 3, 7, 1000])
def test_events_are_delivered_when_their_last_byte_arrives(line_end, size):
    events = [
        line_end.join([b"id: %d" % number, b"data: a", b"", b""])
        for number in range(1, 4)
    ]
    stream = b"".join(events) + b"id: 4"
    splitter = make_event_splitter()
    received = b""
    for start in range(0, len(stream), size):
        received += splitter.feed(stream[start : start + size])
        complete = [
            event
            for number, event in enumerate(events)
            if len(b"".join(events[: number + 1])) <= start + size
        ]
        assert received == b"".join(complete)
    assert splitter.last_id == "3"
    assert splitter.is_inside_event


@pytest.mark.parametrize(
    ("first_id", "is_wrong"),
    [
        (b"8", True),
        (b"9", True),
        (b"009", True),
        (b"10", False),
        (b"9" * 5000, False),
        (b"", True),
        (b"x", False),
    ],
)
def test_continuation_must_go_on_after_the_last_event(first_id, is_wrong):
    splitter = make_event_splitter()
    splitter.begin_response()
    splitter.feed(b"id: 9\ndata: a\n\nid: 10\n")
    splitter.begin_response()
    event = b"id: %b\ndata: b\n\n" % first_id
    assert splitter.feed(event) == (b"" if is_wrong else event)
    assert splitter.is_continuation_wrong == is_wrong


@pytest.mark.parametrize("part", [b"x" * 16, b"a\n" * 8, b"id:id:id:id:id:a"])
def test_work_is_linear_in_the_length_of_an_event(part):
    splitter = make_event_splitter()
    started_s = time.thread_time()
    for _ in range(16_384):
        assert splitter.feed(part) == b""
    assert splitter.feed(b"\n\n") == part * 16_384 + b"\n\n"
    assert time.thread_time() - started_s < MAX_CPU_S


@pytest.mark.parametrize("events", [b"\n\n", b":\n\n", b"data: a\n\n", b"id: 1\n\n"])
def test_work_is_linear_in_the_number_of_events(events):
    splitter = make_event_splitter()
    started_s = time.thread_time()
    assert splitter.feed(events * 100_000) == events * 100_000
    assert time.thread_time() - started_s < MAX_CPU_S


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
def test_first_event_of_a_continuation_may_follow_comments(line_end):
    splitter = make_event_splitter()
    splitter.begin_response()
    splitter.feed(b"id: 9\ndata: a\n\n")
    splitter.begin_response()
    lines = [b": note", b"id: 10", b": id: 3", b"data: id: 2"]
    event = b": hi\n\n\n" + line_end.join(lines) + b"\n\n"
    assert splitter.feed(event) == event
    assert not splitter.is_continuation_wrong
    assert splitter.last_id == "10"
