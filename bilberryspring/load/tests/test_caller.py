"""Simulated callers of a load run against a fake router."""

import asyncio
import json
import uuid

import pytest
from aiohttp import web

from bilberryspring.load.load_client import run_plan
from bilberryspring.load.records import CallOutcome
from bilberryspring.load.request_plans import (
    PlannedCall,
    PlannedChat,
    PlannedTurn,
    RequestPlan,
)
from bilberryspring.load.workload_mixes import ServiceWorkload, make_workspace_key
from bilberryspring.request.errors import ErrorKind, make_failure, make_problem

TURNS = (PlannedTurn(0.0, 4, 3), PlannedTurn(0.1, 5, 3))
CHAT_PLAN = RequestPlan(
    1.0, (PlannedChat("shop/urgent/0", "shop", "urgent", TURNS),), ()
)
CALL = PlannedCall(
    "shop/charge/0", 0.0, "shop", ServiceWorkload("charge", "urgent", 1.0, False)
)


def format_event(text, usage=None):
    event = {"choices": [{"index": 0, "delta": {"content": text}}]}
    if usage:
        event["usage"] = usage
    return b"id: 1\ndata: " + json.dumps(event).encode() + b"\n\n"


class FakeRouter:
    """HTTP server in place of a router, with a prepared handler for each request."""

    def __init__(self, *handlers):
        self.handlers = list(handlers)
        self.requests = []

    async def handle(self, request):
        self.requests.append((request.headers.copy(), await request.read()))
        return await self.handlers.pop(0)(request, len(self.requests))


async def stream(request, number, ending=b"data: [DONE]\n\n"):
    headers = {"Content-Type": "text/event-stream", "X-Request-Id": f"own-{number}"}
    response = web.StreamResponse(headers=headers)
    await response.prepare(request)
    await response.write(format_event(f"a{number} "))
    usage = {"prompt_tokens": 4, "prompt_tokens_details": {"cached_tokens": 2}}
    await response.write(format_event("b ", usage))
    await response.write(ending)
    return response


async def stream_cut(request, number):
    return await stream(request, number, b"")


async def stream_problem(request, number):
    problem = make_problem(make_failure(ErrorKind.ANSWER_INTERRUPTED))
    data = b"event: error\ndata: " + json.dumps(problem).encode() + b"\n\n"
    return await stream(request, number, data + b"data: [DONE]\n\n")


async def refuse(request, number):
    failure = make_failure(ErrorKind.OVERLOADED, retry_after_s=0.05)
    return web.json_response(make_problem(failure), status=503)


async def fail(request, number):
    problem = make_problem(make_failure(ErrorKind.BACKEND_CRASHED))
    return web.json_response(problem, status=502)


async def hang_up(request, number):
    request.transport.close()
    return web.Response()


async def accept(request, number):
    return web.json_response({"recorded": 1})


async def run_plan_against(plan, *handlers, **options):
    router = FakeRouter(*handlers)
    application = web.Application()
    application.router.add_route("*", "/{path:.*}", router.handle)
    runner = web.AppRunner(application)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    try:
        records = await run_plan(plan, [f"127.0.0.1:{port}"], "m", **options)
    finally:
        await runner.cleanup()
    return records, router


async def test_second_turn_sends_the_chat_history():
    records, router = await run_plan_against(CHAT_PLAN, stream, stream)
    first, second = records
    assert [r.request_id for r in records] == ["own-1", "own-2"]
    assert [r.outcome for r in records] == [CallOutcome.DONE] * 2
    assert (first.answer_tokens, first.cached_tokens, first.reusable_tokens) == (
        2,
        2,
        0,
    )
    assert second.reusable_tokens == first.prompt_tokens == 4
    assert second.intended_s == 0.1 <= second.sent_s <= second.first_token_s
    headers, body = router.requests[1]
    messages = json.loads(body)["messages"]
    assert [m["role"] for m in messages] == ["user", "assistant", "user"]
    assert messages[1]["content"] == "a1 b "
    assert len(messages[2]["content"].split()) == 5
    assert headers["Authorization"] == f"Bearer {make_workspace_key('shop')}"
    assert headers["X-Work-Rank"] == "urgent"


@pytest.mark.parametrize(
    ("behaviour", "outcome", "problem"),
    [
        (stream_cut, CallOutcome.TRUNCATED, ""),
        (stream_problem, CallOutcome.FAILED, "answer_interrupted"),
        (refuse, CallOutcome.REFUSED, "overloaded"),
        (fail, CallOutcome.FAILED, "backend_crashed"),
        (hang_up, CallOutcome.FAILED, "client:ServerDisconnectedError"),
    ],
)
async def test_failed_turn_is_recorded_but_left_out_of_history(
    behaviour, outcome, problem
):
    records, router = await run_plan_against(CHAT_PLAN, behaviour, stream)
    assert (records[0].outcome, records[0].problem) == (outcome, problem)
    assert records[1].outcome is CallOutcome.DONE
    assert len(json.loads(router.requests[1][1])["messages"]) == 1
    assert records[1].reusable_tokens == 0


async def test_rejected_call_is_retried_after_delay_with_same_key():
    plan = RequestPlan(1.0, (), (CALL,))
    records, router = await run_plan_against(
        plan, refuse, accept, follows_retry_after=True
    )
    assert (records[0].outcome, records[0].tries) == (CallOutcome.DONE, 2)
    assert records[0].finished_s - records[0].sent_s >= 0.05
    keys = {headers["Idempotency-Key"] for headers, _ in router.requests}
    assert len(keys) == 1 and uuid.UUID(keys.pop()).version == 7
    ids = {headers["X-Request-Id"] for headers, _ in router.requests}
    assert len(ids) == 2


async def test_request_is_sent_on_time_while_another_is_pending():
    arrived = asyncio.Event()

    async def wait_for_other(request, number):
        await arrived.wait()
        return await stream(request, number)

    async def release(request, number):
        arrived.set()
        return await accept(request, number)

    late_call = PlannedCall("late", 0.05, "shop", CALL.workload)
    chat = PlannedChat("shop/urgent/0", "shop", "urgent", TURNS[:1])
    records, _ = await run_plan_against(
        RequestPlan(1.0, (chat,), (late_call,)), wait_for_other, release
    )
    assert [record.outcome for record in records] == [CallOutcome.DONE] * 2
