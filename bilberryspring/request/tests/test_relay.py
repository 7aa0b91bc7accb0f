"""Relay of a request to servers whose responses the test scripts.

Guards against a second run of a request that may have run, and against a stream that
continues with the wrong events.
"""

import asyncio
import math
import re
import time
from dataclasses import replace

import pytest

from bilberryspring.capability.backend_calls import Excess
from bilberryspring.capability.routing import ExecutionRule
from bilberryspring.process.clock import read_boot_time_s
from bilberryspring.process.server_table import make_server_table
from bilberryspring.request.errors import ErrorKind, Outcome, make_failure
from bilberryspring.request.event_splitter import MAX_BYTES_WITHOUT_EVENT
from bilberryspring.request.placement_decision import RETRY_AFTER_SPREAD
from bilberryspring.request.relay import (
    MAX_BUFFERED_BODY_BYTES,
    MAX_FAILURE_BODY_BYTES,
    MIN_STALL_S,
    STALL_PAUSE_FACTOR,
)
from bilberryspring.request.suspect_contents import (
    list_contents,
    make_suspect_contents,
)
from bilberryspring.request.tests.relay_fixtures import (
    RecordedAnswer,
    ScriptedBackendCalls,
    make_head,
    make_lost_connection,
    make_prompt,
    make_request,
    make_route,
    make_server,
    relay,
)

REPEATABLE_ROUTE = make_route(ExecutionRule.REPEATABLE)
ONCE_ROUTE = make_route(ExecutionRule.ONCE)
RESUMABLE_ROUTE = make_route(ExecutionRule.STREAM, is_resumable=True)
STREAM_ROUTE = make_route(ExecutionRule.STREAM)
COMPLETE_RESPONSE = [make_head(), b"answer", None]
COMPLETE_STREAM = [make_head(), b"id: 1\ndata: answer\n\n", None]
COMPLETE_STREAM = [make_head(), b"id: 1\n\n", None]
UNREACHABLE = make_failure(ErrorKind.BACKEND_UNREACHABLE)


@pytest.mark.parametrize(
    ("route", "complete"),
    [
        (REPEATABLE_ROUTE, COMPLETE_RESPONSE),
        (ONCE_ROUTE, COMPLETE_RESPONSE),
        (STREAM_ROUTE, COMPLETE_STREAM),
    ],
)
async def test_request_that_was_not_run_is_sent_to_another_server(route, complete):
    answer, calls = await relay(
        route, [[make_head(503, was_not_run=True, is_own=False)], complete]
    )
    assert answer.body == complete[1] and answer.is_finished
    assert len({server for server, _, _ in calls.sent}) == 2


@pytest.mark.parametrize("route", [ONCE_ROUTE, STREAM_ROUTE])
@pytest.mark.parametrize(
    "script",
    [
        [make_lost_connection()],
        [make_head(is_own=False)],
        [make_head(), make_lost_connection()],
    ],
)
async def test_request_that_may_have_run_is_not_sent_again(route, script):
    answer, calls = await relay(route, [script, COMPLETE_RESPONSE])
    assert len(calls.sent) == 1
    if answer.failure is None:
        assert answer.is_broken and not answer.is_finished
    else:
        assert answer.failure.outcome is not Outcome.NOT_RUN


async def test_unreachable_server_does_not_count_as_a_try():
    answer, calls = await relay(ONCE_ROUTE, [UNREACHABLE, COMPLETE_RESPONSE])
    assert answer.body == b"answer"
    assert len(calls.sent) == 1


async def test_request_refused_by_all_servers_is_not_run_with_a_retry_time():
    refused = [make_head(503, was_not_run=True, is_own=False)]
    answer, _ = await relay(ONCE_ROUTE, [refused] * 3)
    assert answer.failure.outcome is Outcome.NOT_RUN
    assert answer.failure.retry_after_s > 0


async def test_repeatable_request_is_retried_after_a_lost_response():
    answer, calls = await relay(
        REPEATABLE_ROUTE, [[make_lost_connection()], COMPLETE_RESPONSE]
    )
    assert answer.body == b"answer"
    assert len(calls.sent) == 2


async def test_repeatable_request_reaches_at_most_the_servers_its_route_allows():
    answer, calls = await relay(
        REPEATABLE_ROUTE,
        [[make_lost_connection()], [make_lost_connection()], COMPLETE_RESPONSE],
    )
    assert len(calls.sent) == 2
    assert answer.failure.outcome is Outcome.UNKNOWN


async def test_server_error_is_relayed_when_no_retry_is_allowed():
    failed = [make_head(500), b"why", None]
    answer, calls = await relay(ONCE_ROUTE, [failed])
    assert answer.head.status == 500 and answer.body == b"why"
    answer, calls = await relay(REPEATABLE_ROUTE, [failed, failed])
    assert answer.head.status == 500 and len(calls.sent) == 2


async def test_exhausted_retry_budget_ends_the_tries():
    answer, calls = await relay(
        REPEATABLE_ROUTE, [[make_lost_connection()], COMPLETE_RESPONSE], extra=0
    )
    assert len(calls.sent) == 1
    assert answer.failure.kind is ErrorKind.BACKEND_FAILED


async def test_resumable_stream_continues_after_the_last_complete_event():
    first = [make_head(), b"id: 1\n\nid: 2\n\nid", make_lost_connection()]
    second = [make_head(), b"id: 3\n\n", None]
    answer, calls = await relay(RESUMABLE_ROUTE, [first, second])
    assert answer.body == b"id: 1\n\nid: 2\n\nid: 3\n\n"
    assert answer.is_finished
    assert calls.sent[1][1] == "2"


async def test_stream_that_cannot_resume_is_aborted():
    first = [make_head(), b"id: 1\n\n", make_lost_connection()]
    answer, calls = await relay(STREAM_ROUTE, [first, COMPLETE_RESPONSE])
    assert answer.is_broken and not answer.is_finished
    assert len(calls.sent) == 1


async def test_repeatable_request_is_retried_when_a_server_is_silent():
    answer, calls = await relay(REPEATABLE_ROUTE, [[], COMPLETE_RESPONSE])
    assert answer.body == b"answer"
    assert calls.closed == 2


async def test_silent_server_does_not_end_a_request_that_is_not_repeatable():
    answer, calls = await relay(ONCE_ROUTE, [[1.2, *COMPLETE_RESPONSE]])
    assert answer.body == b"answer"
    assert len(calls.sent) == 1


@pytest.mark.parametrize(
    "route", [REPEATABLE_ROUTE, ONCE_ROUTE, STREAM_ROUTE, RESUMABLE_ROUTE]
)
async def test_route_timeout_ends_a_request_promptly(route):
    route = make_route(
        route.rule, is_resumable=route.is_resumable, timeout_s=0.5, max_servers=1
    )
    begun_s = read_boot_time_s()
    answer, calls = await relay(route, [[]])
    assert 0.4 < answer.ended_s - begun_s < 0.75
    assert answer.failure.kind is ErrorKind.DEADLINE_EXCEEDED
    assert calls.sent[0][2] <= 0.5


async def test_late_response_is_delivered_before_the_deadline():
    answer, _ = await relay(ONCE_ROUTE, [[0.6, *COMPLETE_RESPONSE]])
    assert answer.body == b"answer" and answer.is_finished


async def test_request_without_any_server_is_not_run():
    answer, _ = await relay(ONCE_ROUTE, [], servers=())
    assert answer.failure.kind is ErrorKind.NO_INSTANCE
    assert answer.failure.outcome is Outcome.NOT_RUN


async def test_content_that_crashed_two_servers_is_quarantined():
    suspects = make_suspect_contents()
    for down in ("a", "b"):
        answer, calls = await relay(
            ONCE_ROUTE,
            [[make_lost_connection()]],
            servers=(down,),
            down=(down,),
            suspects=suspects,
        )
        assert len(calls.sent) == 1
    answer, calls = await relay(ONCE_ROUTE, [COMPLETE_RESPONSE], suspects=suspects)
    assert not calls.sent
    assert answer.failure.kind is ErrorKind.REQUEST_QUARANTINED
    assert answer.failure.outcome is Outcome.NOT_RUN
    assert answer.failure.retry_after_s > 0


async def test_repeatable_request_that_crashes_servers_is_not_sent_to_a_third():
    route = make_route(ExecutionRule.REPEATABLE, max_servers=5)
    suspects = make_suspect_contents()
    answer, calls = await relay(
        route, [[make_lost_connection()]] * 5, down=("a", "b", "c"), suspects=suspects
    )
    assert len(calls.sent) == 2
    answer, calls = await relay(route, [COMPLETE_RESPONSE], suspects=suspects)
    assert not calls.sent


async def test_lost_responses_of_live_servers_do_not_count_as_crashes():
    suspects = make_suspect_contents()
    for _ in range(4):
        await relay(ONCE_ROUTE, [[make_lost_connection()]], suspects=suspects)
    answer, _ = await relay(ONCE_ROUTE, [COMPLETE_RESPONSE], suspects=suspects)
    assert answer.is_finished


async def crash_servers(suspects, servers, *parts):
    """Send a request with the given prompt parts to each server, which crashes."""
    for server in servers:
        await relay(
            STREAM_ROUTE,
            [[make_lost_connection()]],
            servers=(server,),
            down=(server,),
            suspects=suspects,
            prompt=make_prompt(*[(part, 100) for part in parts], (f"own-{server}", 10)),
            target=f"/{server}",
        )


async def relay_prompt(suspects, *parts):
    prompt = make_prompt(*[(part, 100) for part in parts], ("own", 10))
    return await relay(
        STREAM_ROUTE, [COMPLETE_STREAM], suspects=suspects, prompt=prompt
    )


async def test_prompt_part_that_crashes_servers_reaches_no_third_server():
    suspects = make_suspect_contents()
    await relay_prompt(suspects, "instructions")
    await crash_servers(suspects, ("a", "b"), "instructions", "deadly")
    answer, calls = await relay_prompt(suspects, "instructions", "deadly")
    assert not calls.sent
    assert answer.failure.kind is ErrorKind.REQUEST_QUARANTINED
    assert answer.failure.outcome is Outcome.NOT_RUN
    answer, _ = await relay_prompt(suspects, "instructions", "other")
    assert answer.is_finished


async def test_request_that_was_being_answered_is_no_suspect_of_a_crash():
    suspects = make_suspect_contents()
    for server in ("a", "b", "c"):
        await relay(
            STREAM_ROUTE,
            [[make_head(), b"id: 1\n\n", 0.3, b"id: 2\n\n", make_lost_connection()]],
            servers=(server,),
            down=(server,),
            suspects=suspects,
            prompt=make_prompt(("shared", 100), ("own", 10)),
        )
    answer, _ = await relay_prompt(suspects, "shared")
    assert answer.is_finished


async def test_request_that_waited_while_its_content_was_quarantined_is_refused():
    suspects = make_suspect_contents()
    prompt = make_prompt(("deadly", 100), ("own", 10))
    admit = suspects.admit

    def learn_and_admit(contents):
        for crash in (1, 2):
            suspects.record_crash(crash, contents)
        return admit(contents)

    suspects.admit = learn_and_admit
    answer, calls = await relay(
        STREAM_ROUTE, [COMPLETE_STREAM], suspects=suspects, prompt=prompt
    )
    assert not calls.sent
    assert answer.failure.kind is ErrorKind.REQUEST_QUARANTINED


async def test_server_error_is_not_relayed_as_the_rest_of_a_stream():
    first = [make_head(), b"id: 1\n\n", make_lost_connection()]
    second = [make_head(500), b"why", None]
    answer, _ = await relay(RESUMABLE_ROUTE, [first, second])
    assert answer.body == b"id: 1\n\n"
    assert answer.is_broken and not answer.is_finished


async def test_event_without_end_breaks_the_stream_off():
    route = make_route(ExecutionRule.STREAM)
    endless = [make_head(), b"id: 1\ndata: a\n\n", *[b"x" * 65_536] * 40]
    answer, calls = await relay(route, [endless])
    assert answer.is_broken and not answer.is_finished
    assert answer.body == b"id: 1\ndata: a\n\n"
    assert calls.closed == 1


@pytest.mark.parametrize("comments", [b"\n\n", b": hi\n\n"])
async def test_comments_without_end_break_the_stream_off(comments):
    route = make_route(ExecutionRule.STREAM)
    endless = [make_head(), *[comments * 16_384] * 40]
    answer, calls = await relay(route, [endless])
    assert answer.is_broken and not answer.is_finished
    assert calls.given_up == [Excess.NO_EVENT]
    assert calls.closed == 1


async def test_comments_between_events_do_not_break_a_stream_off():
    comments = b": hi\n\n" * (MAX_BYTES_WITHOUT_EVENT // 8)
    stream = [make_head(), *[comments, b"data: a\n\n"] * 8, None]
    answer, calls = await relay(STREAM_ROUTE, [stream])
    assert answer.is_finished and not calls.given_up


async def test_event_without_end_is_counted_as_memory():
    stream = [make_head(), b"data: ", b"x" * 1000, b"\n\n", None]
    answer, calls = await relay(STREAM_ROUTE, [stream])
    assert answer.is_finished
    assert calls.kept_bytes == [6, 1006, 0]


@pytest.mark.parametrize(
    ("status", "limit_bytes"),
    [(200, MAX_BUFFERED_BODY_BYTES), (500, MAX_FAILURE_BODY_BYTES)],
)
async def test_body_up_to_its_limit_is_relayed_whole(status, limit_bytes):
    body = b"x" * 1000
    response = [make_head(status), *[body] * (limit_bytes // 1000), None]
    answer, calls = await relay(ONCE_ROUTE, [response])
    assert answer.body == body * (limit_bytes // 1000)
    assert answer.is_finished and not calls.given_up
    endless = [make_head(status), *[body] * (limit_bytes // 1000 + 1)]
    answer, calls = await relay(ONCE_ROUTE, [endless])
    assert answer.head is None
    assert calls.given_up == [Excess.BODY]


async def test_parts_of_a_prompt_are_not_blamed_for_bytes_without_end():
    suspects = make_suspect_contents()
    prompt = make_prompt(("a", 10), ("b", 10))
    for _ in range(6):
        endless = [make_head(), *[b"x" * 65_536] * 40]
        answer, _ = await relay(
            STREAM_ROUTE,
            [endless],
            suspects=suspects,
            prompt=prompt,
            down=("a", "b", "c"),
        )
        assert answer.is_broken
    assert suspects.count_quarantined() == 0
    assert not suspects.list_reports(8)


def make_dribble(seconds, data=b"x"):
    """Return a script that sends a few bytes without an event each 0.1 s."""
    return [item for _ in range(int(seconds / 0.1)) for item in (0.1, data)]


@pytest.mark.parametrize("data", [b"x", b"", b"id: 2\nda", b": hi\n\n", b"\n\n"])
async def test_stalled_stream_that_sends_bytes_now_and_then_goes_on_elsewhere(data):
    route = make_route(ExecutionRule.STREAM, is_resumable=True, timeout_s=8.0)
    stalled = [make_head(), b"id: 1\n\n", *make_dribble(6.0, data)]
    whole = [make_head(), b"id: 2\n\n", None]
    started_s = asyncio.get_running_loop().time()
    answer, calls = await relay(route, [stalled, whole], deadline_s=8.0)
    body = answer.body
    if data.endswith(b"\n\n"):
        body = re.sub(rb"(?m)^(:.*)?\n\n", b"", body)
    assert body == b"id: 1\n\nid: 2\n\n"
    assert answer.is_finished
    assert calls.sent[1][1] == "1"
    limit_s = max(MIN_STALL_S, STALL_PAUSE_FACTOR * route.pause_target_s)
    assert asyncio.get_running_loop().time() - started_s < limit_s + 0.6


@pytest.mark.parametrize("is_resumable", [True, False])
async def test_slow_but_sound_stream_is_never_cut(is_resumable):
    route = make_route(
        ExecutionRule.STREAM,
        is_resumable=is_resumable,
        pause_target_s=1.0,
        timeout_s=8.0,
    )
    events = [b"id: %d\n\n" % number for number in range(4)]
    slow = [make_head(), *[item for event in events for item in (0.9, event)], None]
    answer, calls = await relay(route, [slow], deadline_s=8.0)
    assert answer.body == b"".join(events)
    assert answer.is_finished and len(calls.sent) == 1


async def test_stalled_stream_that_cannot_resume_ends_at_its_deadline():
    route = make_route(ExecutionRule.STREAM, timeout_s=1.5)
    stalled = [make_head(), b"id: 1\n\n", *make_dribble(6.0)]
    started_s = asyncio.get_running_loop().time()
    answer, calls = await relay(route, [stalled])
    assert answer.is_broken and len(calls.sent) == 1
    assert asyncio.get_running_loop().time() - started_s < 1.8


# A server that is silent for a second and then goes on.
PAUSED_STREAM = [make_head(), b"id: 1\n\n", 1.1, b"id: 2\n\n", None]
REFUSED = [make_head(503, was_not_run=True, is_own=False)]


@pytest.mark.parametrize(
    ("servers", "others", "extra"),
    [
        (("a",), [], 20),
        (("a", "b"), [UNREACHABLE], 20),
        (("a", "b"), [REFUSED], 20),
        (("a", "b"), [[make_head(500), b"why", None]], 20),
        (("a", "b"), [[make_lost_connection()]], 20),
        (("a", "b"), [], 0),
    ],
    ids=["no-other", "unreachable", "refused", "failed", "lost", "no-budget"],
)
async def test_silence_does_not_end_a_stream_that_no_other_server_takes_over(
    servers, others, extra
):
    answer, calls = await relay(
        RESUMABLE_ROUTE, [PAUSED_STREAM, *others], servers=servers, extra=extra
    )
    assert answer.body == b"id: 1\n\nid: 2\n\n"
    assert answer.is_finished and not answer.is_broken
    assert calls.closed == len(calls.sent)


@pytest.mark.parametrize(
    ("servers", "others"),
    [(("a",), []), (("a", "b"), [UNREACHABLE]), (("a", "b"), [REFUSED])],
    ids=["no-other", "unreachable", "refused"],
)
async def test_silence_does_not_fail_a_request_that_no_other_server_takes_over(
    servers, others
):
    answer, calls = await relay(
        REPEATABLE_ROUTE, [[1.1, *COMPLETE_RESPONSE], *others], servers=servers
    )
    assert answer.body == b"answer" and answer.is_finished
    assert calls.closed == len(calls.sent)


async def test_stall_does_not_end_a_stream_that_no_other_server_takes_over():
    stalled = [make_head(), b"id: 1\n\n", *make_dribble(1.6, b""), b"id: 2\n\n", None]
    for servers, others in ((("a",), []), (("a", "b"), [REFUSED])):
        answer, _ = await relay(RESUMABLE_ROUTE, [stalled, *others], servers=servers)
        assert answer.body == b"id: 1\n\nid: 2\n\n"
        assert answer.is_finished and not answer.is_broken


async def test_stream_is_not_run_by_two_servers_after_one_has_taken_over():
    route = make_route(ExecutionRule.STREAM, is_resumable=True, timeout_s=8.0)
    silent = [make_head(), b"id: 1\n\n"]
    slow = [1.5, make_head(), b"id: 2\n\n", None]
    answer, calls = await relay(route, [silent, slow], deadline_s=8.0)
    assert answer.body == b"id: 1\n\nid: 2\n\n" and answer.is_finished
    assert calls.sent[1][1] == "1"
    assert calls.closed_at_s[0] - calls.sent_at_s[1] < 0.4


async def test_pause_of_the_router_does_not_count_as_silence_of_a_server():
    events = [b"id: %d\n\n" % number for number in range(12)]
    steady = [make_head(), *[item for event in events for item in (0.1, event)], None]
    asyncio.get_running_loop().call_later(0.35, time.sleep, 0.8)
    answer, calls = await relay(RESUMABLE_ROUTE, [steady, COMPLETE_RESPONSE])
    assert answer.body == b"".join(events) and answer.is_finished
    assert len(calls.sent) == 1


async def test_request_is_never_sent_again_to_the_server_that_refused_it():
    refused = [make_head(503, was_not_run=True, is_own=False)]
    answer, calls = await relay(
        REPEATABLE_ROUTE, [refused, COMPLETE_RESPONSE], servers=("a",)
    )
    assert len(calls.sent) == 1
    assert answer.failure.outcome is Outcome.NOT_RUN


@pytest.mark.parametrize("status", [408, 429, 503])
@pytest.mark.parametrize("route", [ONCE_ROUTE, STREAM_ROUTE, REPEATABLE_ROUTE])
async def test_status_that_promises_not_run_is_not_relayed_without_a_statement(
    status, route
):
    script = [make_head(status), b"busy", None]
    answer, calls = await relay(route, [script, script])
    assert answer.head is None
    assert answer.failure.kind is ErrorKind.BACKEND_FAILED
    assert answer.failure.outcome is Outcome.UNKNOWN
    assert len(calls.sent) == (2 if route.is_repeatable else 1)


PARTIAL_EVENTS = [b"id: 2", b"id: 2\n", b"id: 2\ndata: b", b"id: 2\ndata: b\n", b": hi"]


@pytest.mark.parametrize("partial", PARTIAL_EVENTS)
@pytest.mark.parametrize("has_complete_event", [True, False])
async def test_stream_that_ends_inside_an_event_does_not_look_complete(
    partial, has_complete_event
):
    events = b"id: 1\ndata: a\n\n" if has_complete_event else b""
    script = [make_head(), events + partial, None]
    answer, calls = await relay(STREAM_ROUTE, [script])
    assert answer.is_broken and not answer.is_finished
    assert answer.body == events
    assert len(calls.sent) == 1


@pytest.mark.parametrize("partial", PARTIAL_EVENTS)
async def test_stream_that_ends_inside_an_event_resumes_elsewhere(partial):
    first = [make_head(), b"id: 1\ndata: a\n\n", partial, None]
    second = [make_head(), b"id: 2\ndata: b\n\n", None]
    answer, calls = await relay(RESUMABLE_ROUTE, [first, second])
    assert answer.body == b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
    assert answer.is_finished
    assert calls.sent[1][1] == "1"


async def test_line_ends_after_the_last_event_belong_to_a_complete_stream():
    body = b"id: 1\ndata: a\n\n\n"
    answer, _ = await relay(STREAM_ROUTE, [[make_head(), body, None]])
    assert answer.body == body and answer.is_finished


BEGUN_STREAM = [make_head(), b"id: 9\ndata: a\n\nid: 10\nda", make_lost_connection()]
# Responses that do not go on after event 10.
WRONG_CONTINUATIONS = {
    "from-the-start": [make_head(), b"id: 1\ndata: a\n\n", b"id: 2\ndata\n\n", None],
    "last-event-again": [make_head(), b"id: 9\ndata: a\n\nid: 10\ndata\n\n", None],
    "without-ids": [make_head(), b"data: b\n\n", None],
    "comment-first": [make_head(), b": hi\n\n", b"id: 9\ndata: a\n\n", None],
    "text": [make_head(), b"<p>busy</p>\n\n<p>later</p>\n\n", None],
    "json": [make_head(), b'{"error": "busy"}', None],
    "unsealed": [make_head(is_own=False), b"id: 10\ndata: b\n\n", None],
    "unsealed-error": [make_head(500, is_own=False), b"why\n\n", None],
    **{
        str(status): [make_head(status), b"why\n\n", None]
        for status in (302, 400, 404, 429, 500, 503, 504)
    },
    "refusal": [make_head(503, was_not_run=True, is_own=False), b"full\n\n", None],
    "not-http": [make_lost_connection("garbled")],
}


@pytest.mark.parametrize("name", WRONG_CONTINUATIONS)
@pytest.mark.parametrize("max_servers", [2, 3])
async def test_begun_stream_is_never_joined_to_another_answer(name, max_servers):
    route = make_route(ExecutionRule.STREAM, is_resumable=True, max_servers=max_servers)
    wrong = WRONG_CONTINUATIONS[name]
    answer, calls = await relay(
        route, [BEGUN_STREAM, wrong, wrong, wrong], servers=("a", "b", "c", "d")
    )
    assert answer.head.status == 200
    assert answer.body.replace(b": hi\n\n", b"") == b"id: 9\ndata: a\n\n"
    assert answer.is_broken and not answer.is_finished
    assert answer.failure is None
    assert all(after == "9" for _, after, _ in calls.sent[1:])


@pytest.mark.parametrize("name", WRONG_CONTINUATIONS)
async def test_begun_stream_goes_on_at_the_server_after_one_with_another_answer(name):
    route = make_route(ExecutionRule.STREAM, is_resumable=True, max_servers=3)
    right = [make_head(), b": hi\n\n", b"id: 10\ndata: b\n\n", None]
    answer, _ = await relay(route, [BEGUN_STREAM, WRONG_CONTINUATIONS[name], right])
    events = answer.body.replace(b": hi\n\n", b"")
    assert events == b"id: 9\ndata: a\n\nid: 10\ndata: b\n\n"
    assert answer.is_finished


async def test_stream_that_broke_off_after_comments_begins_again_elsewhere():
    first = [make_head(), b": hi\n\n", b"id: 1\nda", make_lost_connection()]
    second = [make_head(), b"id: 1\ndata: a\n\n", None]
    answer, _ = await relay(RESUMABLE_ROUTE, [first, second])
    assert answer.body == b": hi\n\nid: 1\ndata: a\n\n" and answer.is_finished


@pytest.mark.parametrize(
    ("servers", "others"),
    [(("a",), []), (("a", "b"), [UNREACHABLE]), (("a", "b"), [REFUSED])],
    ids=["no-other", "unreachable", "refused"],
)
async def test_server_error_is_relayed_when_no_other_server_takes_over(servers, others):
    failed = [make_head(500), b"why", None]
    answer, calls = await relay(REPEATABLE_ROUTE, [failed, *others], servers=servers)
    assert answer.failure is None
    assert answer.head.status == 500 and answer.body == b"why" and answer.is_finished
    assert calls.closed == len(calls.sent)


@pytest.mark.parametrize("route", [STREAM_ROUTE, RESUMABLE_ROUTE])
@pytest.mark.parametrize("stop_in_s", [0.15, 1.5])
async def test_stream_that_a_stop_could_break_off_is_not_begun(route, stop_in_s):
    stream = [make_head(), b"id: 1\n\n", 1.8, b"id: 2\n\n", None]
    answer, calls = await relay(route, [stream], stop_in_s=stop_in_s)
    assert not answer.is_broken and not calls.sent
    assert answer.failure.kind is ErrorKind.LEAVING
    assert answer.failure.outcome is Outcome.NOT_RUN


@pytest.mark.parametrize("route", [ONCE_ROUTE, STREAM_ROUTE])
async def test_request_that_waits_until_late_in_a_stop_is_not_sent(route):
    answer, calls = await relay(
        route, [[make_head(), b"x", None]], stop_in_s=1.5, start_in_s=0.1, wait_s=0.2
    )
    assert not calls.sent
    assert answer.failure.kind is ErrorKind.LEAVING
    assert answer.failure.outcome is Outcome.NOT_RUN


@pytest.mark.parametrize("route", [ONCE_ROUTE, STREAM_ROUTE])
async def test_wait_for_capacity_ends_when_a_stop_makes_it_useless(route):
    started_s = read_boot_time_s()
    answer, calls = await relay(
        route, [[make_head(), b"x", None]], stop_in_s=1.5, start_in_s=0.1, wait_s=1.0
    )
    assert answer.failure.kind is ErrorKind.LEAVING and not calls.sent
    assert answer.ended_s - started_s < 0.5


async def test_repeatable_request_late_in_a_stop_is_served():
    script = [make_head(), b"x", None]
    answer, _ = await relay(REPEATABLE_ROUTE, [script], stop_in_s=1.5)
    assert answer.is_finished


async def test_stream_that_ends_before_a_stop_is_served():
    stream = [make_head(), b"id: 1\n\n", 0.3, b"id: 2\n\n", None]
    answer, _ = await relay(STREAM_ROUTE, [stream], stop_in_s=2.5)
    assert answer.is_finished


@pytest.mark.parametrize("route", [ONCE_ROUTE, REPEATABLE_ROUTE])
async def test_body_without_end_fails_and_closes_the_connection(route):
    endless = [make_head(), *[b"x" * 65_536] * (MAX_BUFFERED_BODY_BYTES // 65_536 + 9)]
    answer, calls = await relay(route, [endless, endless])
    assert answer.head is None
    assert answer.failure.kind is ErrorKind.BACKEND_FAILED
    assert answer.failure.outcome is Outcome.UNKNOWN
    assert calls.closed == len(calls.sent) == (2 if route.is_repeatable else 1)


@pytest.mark.parametrize("is_begun", [True, False])
@pytest.mark.parametrize("parts", [[], [b": hi\n\n"]])
async def test_stream_that_is_closed_before_an_event_does_not_look_complete(
    is_begun, parts
):
    first = BEGUN_STREAM if is_begun else [make_lost_connection()]
    closed = [replace(make_head(), is_close_delimited=True), *parts, None]
    answer, _ = await relay(RESUMABLE_ROUTE, [first, closed])
    assert not answer.is_finished
    if is_begun or parts:
        assert answer.is_broken
    else:
        assert answer.failure.kind is ErrorKind.BACKEND_FAILED


async def test_crash_is_recorded_although_its_request_meets_its_deadline(monkeypatch):
    check = ScriptedBackendCalls.check_reachability

    async def check_slowly(calls, server):
        await asyncio.sleep(0.2)
        return await check(calls, server)

    monkeypatch.setattr(ScriptedBackendCalls, "check_reachability", check_slowly)
    suspects = make_suspect_contents()
    route = make_route(ExecutionRule.REPEATABLE, max_servers=5)
    prompt = make_prompt(("deadly", 100), ("own", 10))
    for server in ("a", "b"):
        await relay(
            route,
            [[make_lost_connection()]],
            servers=(server,),
            down=(server,),
            suspects=suspects,
            prompt=prompt,
            deadline_s=0.1,
        )
    assert suspects.count_quarantined() > 0


async def test_error_of_a_server_does_not_clear_a_prompt_part_that_crashes_servers():
    suspects = make_suspect_contents()
    prompt = make_prompt(("deadly", 100), ("own", 10))
    await crash_servers(suspects, ("a",), "deadly")
    answer, _ = await relay(
        ONCE_ROUTE, [[make_head(500), b"why", None]], suspects=suspects, prompt=prompt
    )
    assert answer.is_finished
    await crash_servers(suspects, ("b",), "deadly")
    _, calls = await relay_prompt(suspects, "deadly")
    assert not calls.sent


async def test_end_of_a_stream_does_not_clear_crashes_since_it_began():
    suspects = make_suspect_contents()
    stream = [make_head(), b"id: 1\n\n", 0.3, b"id: 2\n\n", 0.3, None]
    prompt = make_prompt(("deadly", 100), ("own", 10))
    running = asyncio.create_task(
        relay(STREAM_ROUTE, [stream], suspects=suspects, prompt=prompt)
    )
    await asyncio.sleep(0.45)
    crashed = make_prompt(("deadly", 100), ("other", 10))
    contents = list_contents(make_request(STREAM_ROUTE, prompt=crashed))
    suspects.record_crash(1, contents)
    await running
    reported = [each for each in suspects.list_reports(6) if not each.is_request]
    assert reported[0].answer_age_s > 0.2


SHEDDING = [make_head(503, was_not_run=True, is_own=False, pause_s=5.0)]


@pytest.mark.parametrize("route", [REPEATABLE_ROUTE, ONCE_ROUTE])
async def test_request_refused_by_servers_that_want_none_returns_after_their_time(
    route,
):
    answer, calls = await relay(route, [SHEDDING] * 3, servers=("a", "b"))
    assert len(calls.sent) == 2
    assert answer.failure.outcome is Outcome.NOT_RUN
    assert 4.9 < answer.failure.retry_after_s < 5.5 * RETRY_AFTER_SPREAD
    assert "wants none for 5.00 s" in answer.failure.reason


async def test_server_that_wants_no_requests_counts_neither_as_dead_nor_as_sound():
    table = make_server_table()
    for server_id in ("a", "b"):
        table.put(make_server(server_id))
    record = table.records["a"]
    record.consecutive_failures, record.slowness = 1, 3.0
    record.slowness_sampled_s = asyncio.get_running_loop().time()
    record.failure_rate, failed_until_s = 0.3, record.avoided_until_s
    table.records["b"].avoided_until_s = math.inf
    answer, calls = await relay(
        REPEATABLE_ROUTE, [SHEDDING, COMPLETE_RESPONSE], table=table
    )
    assert [server for server, _, _ in calls.sent] == ["a", "b"]
    assert answer.is_finished
    assert (record.consecutive_failures, record.failure_rate) == (1, 0.3)
    assert (record.slowness, record.avoided_until_s) == (3.0, failed_until_s)


async def test_repeat_of_a_silent_request_is_not_sent_to_a_server_that_wants_none():
    table = make_server_table()
    for server_id in ("a", "b", "c"):
        table.put(make_server(server_id))
    for server_id in ("b", "c"):
        table.pause(table.records[server_id], 5.0)
    _, calls = await relay(REPEATABLE_ROUTE, [[]], table=table)
    assert [server for server, _, _ in calls.sent] == ["a"]


async def test_slow_reader_of_a_whole_response_keeps_no_capacity(monkeypatch):
    table = make_server_table()
    table.put(make_server("a"))
    record = table.records["a"]
    requests_while_writing = []

    async def write(answer, data):
        requests_while_writing.append(record.requests)
        await asyncio.sleep(0)

    monkeypatch.setattr(RecordedAnswer, "write", write)
    await relay(ONCE_ROUTE, [COMPLETE_RESPONSE], table=table)
    assert requests_while_writing == [0]
    assert record.requests == 0
