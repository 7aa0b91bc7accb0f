import pytest

from bilberryspring.capability.routing import RunRule
from bilberryspring.process.clock import read_elapsed_s
from bilberryspring.request.crashes import make_crash_records
from bilberryspring.request.errors import ErrorKind, Outcome, make_failure
from bilberryspring.request.tests.relay_rig import lose, make_head, make_route, relay

LOOKUP = make_route(RunRule.REPEATABLE)
ORDER = make_route(RunRule.ONCE)
RESUMABLE = make_route(RunRule.STREAM, is_resumable=True)
STREAM = make_route(RunRule.STREAM)
WHOLE = [make_head(), b"answer", None]
UNREACHED = make_failure(ErrorKind.BACKEND_UNREACHABLE)


@pytest.mark.parametrize("route", [LOOKUP, ORDER, STREAM])
async def test_a_request_that_was_not_run_goes_to_another_server(route):
    answer, calls = await relay(
        route, [[make_head(503, was_not_run=True, is_own=False)], WHOLE]
    )
    assert answer.body == b"answer" and answer.is_finished
    assert len({server for server, _, _ in calls.sent}) == 2


@pytest.mark.parametrize("route", [ORDER, STREAM])
@pytest.mark.parametrize(
    "script", [[lose()], [make_head(is_own=False)], [make_head(), lose()]]
)
async def test_what_may_have_run_is_not_sent_again(route, script):
    answer, calls = await relay(route, [script, WHOLE])
    assert len(calls.sent) == 1
    if answer.failure is None:
        assert answer.is_broken and not answer.is_finished
    else:
        assert answer.failure.outcome is not Outcome.NOT_RUN


async def test_an_unreachable_server_costs_an_order_nothing():
    answer, calls = await relay(ORDER, [UNREACHED, WHOLE])
    assert answer.body == b"answer"
    assert len(calls.sent) == 1


async def test_an_order_refused_unrun_everywhere_says_so_with_a_time_to_return():
    refused = [make_head(503, was_not_run=True, is_own=False)]
    answer, _ = await relay(ORDER, [refused] * 3)
    assert answer.failure.outcome is Outcome.NOT_RUN
    assert answer.failure.retry_after_s > 0


async def test_a_lookup_whose_answer_was_lost_is_asked_again():
    answer, calls = await relay(LOOKUP, [[lose()], WHOLE])
    assert answer.body == b"answer"
    assert len(calls.sent) == 2


async def test_a_lookup_never_reaches_more_servers_than_its_route_allows():
    answer, calls = await relay(LOOKUP, [[lose()], [lose()], WHOLE])
    assert len(calls.sent) == 2
    assert answer.failure.outcome is Outcome.UNKNOWN


async def test_a_servers_failure_is_passed_on_when_nothing_else_may_be_tried():
    failed = [make_head(500), b"why", None]
    answer, calls = await relay(ORDER, [failed])
    assert answer.head.status == 500 and answer.body == b"why"
    answer, calls = await relay(LOOKUP, [failed, failed])
    assert answer.head.status == 500 and len(calls.sent) == 2


async def test_a_spent_budget_ends_the_tries():
    answer, calls = await relay(LOOKUP, [[lose()], WHOLE], extra=0)
    assert len(calls.sent) == 1
    assert answer.failure.kind is ErrorKind.BACKEND_FAILED


async def test_a_stream_goes_on_after_the_last_whole_event():
    first = [make_head(), b"id: 1\n\nid: 2\n\nid", lose()]
    second = [make_head(), b"id: 3\n\n", None]
    answer, calls = await relay(RESUMABLE, [first, second])
    assert answer.body == b"id: 1\n\nid: 2\n\nid: 3\n\n"
    assert answer.is_finished
    assert calls.sent[1][1] == "2"


async def test_a_stream_that_may_not_go_on_elsewhere_is_broken_off():
    first = [make_head(), b"id: 1\n\n", lose()]
    answer, calls = await relay(STREAM, [first, WHOLE])
    assert answer.is_broken and not answer.is_finished
    assert len(calls.sent) == 1


async def test_a_lookup_leaves_a_silent_server():
    answer, calls = await relay(LOOKUP, [[], WHOLE])
    assert answer.body == b"answer"
    assert calls.closed == 2


async def test_the_silence_of_a_server_does_not_end_an_order():
    answer, calls = await relay(ORDER, [[1.2, *WHOLE]])
    assert answer.body == b"answer"
    assert len(calls.sent) == 1


@pytest.mark.parametrize("route", [LOOKUP, ORDER, STREAM, RESUMABLE])
async def test_the_routes_time_limit_ends_a_request_at_once(route):
    route = make_route(
        route.rule, is_resumable=route.is_resumable, timeout_s=0.5, max_servers=1
    )
    begun_s = read_elapsed_s()
    answer, calls = await relay(route, [[]])
    assert 0.4 < answer.ended_s - begun_s < 0.75
    assert answer.failure.kind is ErrorKind.DEADLINE_EXCEEDED
    assert calls.sent[0][2] <= 0.5


async def test_an_answer_that_is_late_is_delivered_while_its_caller_waits():
    answer, _ = await relay(ORDER, [[0.6, *WHOLE]])
    assert answer.body == b"answer" and answer.is_finished


async def test_no_server_means_not_run_at_once():
    answer, _ = await relay(ORDER, [], servers=())
    assert answer.failure.kind is ErrorKind.NO_INSTANCE
    assert answer.failure.outcome is Outcome.NOT_RUN


async def test_a_content_that_crashed_two_servers_reaches_no_third():
    crashes = make_crash_records()
    for _ in range(3):
        answer, calls = await relay(
            ORDER, [[lose()]], servers=("a", "b"), down=("a", "b"), crashes=crashes
        )
        if not calls.sent:
            break
        crashes.learn(next(iter(crashes.list_recent(1)))[0], {"b/1"})
    assert answer.failure.kind is ErrorKind.REQUEST_QUARANTINED
    assert answer.failure.outcome is Outcome.NOT_RUN
    assert answer.failure.retry_after_s > 0


async def test_a_lookup_that_crashes_servers_is_not_sent_to_a_third():
    route = make_route(RunRule.REPEATABLE, max_servers=5)
    crashes = make_crash_records()
    answer, calls = await relay(
        route, [[lose()]] * 5, down=("a", "b", "c"), crashes=crashes
    )
    assert len(calls.sent) == 2
    answer, calls = await relay(route, [WHOLE], crashes=crashes)
    assert not calls.sent


async def test_answers_lost_by_servers_that_live_put_no_content_under_suspicion():
    crashes = make_crash_records()
    for _ in range(4):
        await relay(ORDER, [[lose()]], crashes=crashes)
    answer, _ = await relay(ORDER, [WHOLE], crashes=crashes)
    assert answer.is_finished


async def test_a_servers_failure_is_not_passed_on_as_the_rest_of_a_stream():
    first = [make_head(), b"id: 1\n\n", lose()]
    second = [make_head(500), b"why", None]
    answer, _ = await relay(RESUMABLE, [first, second])
    assert answer.body == b"id: 1\n\n"
    assert answer.is_broken and not answer.is_finished
