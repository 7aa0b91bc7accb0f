"""Requests beside a server that states in its responses that it leaves.

Guards against new requests to it while the store still lists it as ready, and against
cutting off those that it has.
"""

import asyncio
import math
from dataclasses import replace

import pytest

from bilberryspring.capability.routing import ExecutionRule
from bilberryspring.process.clock import read_boot_time_s
from bilberryspring.process.server_table import make_server_table
from bilberryspring.request.dispatcher import make_dispatcher
from bilberryspring.request.fleet_budget import make_fleet_retry_budget
from bilberryspring.request.placement_decision import MAX_REQUESTS_PER_SLOT
from bilberryspring.request.relay import make_relay
from bilberryspring.request.suspect_contents import make_suspect_contents
from bilberryspring.request.tests.relay_fixtures import (
    SERVICE_POOL,
    RecordedAnswer,
    ScriptedBackendCalls,
    make_head,
    make_request,
    make_route,
    make_server,
)

ROUTE = make_route(ExecutionRule.ONCE)
COMPLETE = [make_head(), b"answer", None]


def make_leaving_head(**options):
    return replace(make_head(**options), is_leaving=True)


@pytest.fixture
def start_relay():
    """Start a relay to server a, which is preferred to other servers."""

    def start(*scripts):
        table = make_server_table()
        table.put(make_server("a", slots=8))
        calls = ScriptedBackendCalls(list(scripts))
        clock = asyncio.get_running_loop().time
        budget = make_fleet_retry_budget(0.0, 20, 10.0, clock)
        dispatcher = make_dispatcher(table, "z", 2.0)
        relay = make_relay(calls, dispatcher, table, budget, make_suspect_contents())
        return table, calls, dispatcher, relay

    return start


async def relay_request(relay, number):
    answer = RecordedAnswer()
    request = make_request(ROUTE, request_id=f"q{number}")
    await relay.relay(request, SERVICE_POOL, answer)
    return answer


@pytest.mark.parametrize(
    "script",
    [
        [make_leaving_head(), b"answer", None],
        [make_leaving_head(status=500), b"error", None],
        [make_leaving_head(status=503, was_not_run=True, is_own=False)],
    ],
    ids=["success", "error", "refusal"],
)
async def test_server_that_stated_its_leaving_gets_no_new_requests(start_relay, script):
    table, calls, _, relay = start_relay(COMPLETE, script, *[COMPLETE] * 20)
    table.put(make_server("b", slots=1))
    table.put(replace(make_server("b", slots=1), is_ready=False))
    await relay_request(relay, 0)
    first = asyncio.create_task(relay_request(relay, 1))
    await asyncio.sleep(0)
    table.put(make_server("b", slots=1))
    await first
    for number in range(2, 12):
        table.put(make_server("a", slots=8))
        assert (await relay_request(relay, number)).body == b"answer"
    sent = [server for server, *_ in calls.sent]
    assert sent[:2] == ["a", "a"] and set(sent[2:]) == {"b"}


async def test_request_that_was_sent_before_the_statement_ends(start_relay):
    long_response = [make_head(), b"answer", 0.2, b" end", None]
    short_response = [0.05, make_leaving_head(), b"answer", None]
    table, _, _, relay = start_relay(long_response, short_response)
    task = asyncio.create_task(relay_request(relay, 0))
    await asyncio.sleep(0)
    await relay_request(relay, 1)
    assert not table.list_ready("desk") and not task.done()
    assert (await task).body == b"answer end"


async def test_request_that_waits_goes_to_another_server(start_relay):
    table, _, dispatcher, _ = start_relay()
    record = table.records["a"]
    record.listed_s -= 100
    deadline_s = read_boot_time_s() + 2.0

    def acquire(number):
        request = make_request(ROUTE, request_id=f"q{number}")
        return dispatcher.acquire(request, SERVICE_POOL, deadline_s)

    held = [await acquire(i) for i in range(int(8 * MAX_REQUESTS_PER_SLOT))]
    waiting = asyncio.create_task(acquire(len(held)))
    await asyncio.sleep(0)
    assert not waiting.done()
    table.record_statement_of_leaving(record)
    table.put(make_server("b", slots=1))
    # An avoided server is chosen only if there is no other.
    table.records["b"].avoided_until_s = math.inf
    dispatcher.release(held[0], 0.01)
    assert (await waiting).record.server.server_id == "b"
