import asyncio

import pytest

from bilberryspring.capability.routing import RunRule
from bilberryspring.process.clock import read_elapsed_s
from bilberryspring.process.server_table import make_server_table
from bilberryspring.request.direct_plans import Place
from bilberryspring.request.direct_queue import (
    MAX_REQUESTS_PER_SLOT,
    RETRY_AFTER_SPREAD,
    make_dispatcher,
)
from bilberryspring.request.errors import ErrorKind, Outcome
from bilberryspring.request.tests.relay_rig import (
    ENGINE_POOL,
    SERVICE_POOL,
    make_prompt,
    make_request,
    make_route,
    make_server,
)

# Requests that a server of two slots takes.
FULL = int(2 * MAX_REQUESTS_PER_SLOT)
SYSTEM, SESSION = ("sys", 500), ("chat", 10_000)


def make_subject(servers):
    table = make_server_table()
    for server in servers:
        table.put(server)
    for record in table.records.values():
        record.listed_s -= 100
    return make_dispatcher(table, "z", 2.0), table


def place(dispatcher, request, pool=SERVICE_POOL):
    return dispatcher.place(request, pool, read_elapsed_s() + 2)


def ask(prompt):
    return make_request(make_route(RunRule.STREAM), prompt=prompt)


async def fill(dispatcher, count):
    return [
        await place(dispatcher, make_request(make_route(), request_id=str(i)))
        for i in range(count)
    ]


async def test_orders_spread_over_servers_and_come_back():
    dispatcher, table = make_subject([make_server("a"), make_server("b")])
    places = await fill(dispatcher, 6)
    assert sorted(r.requests for r in table.records.values()) == [3, 3]
    for each in places:
        dispatcher.release(each, 0.05)
    assert all(r.requests == 0 for r in table.records.values())


async def test_the_most_urgent_waiter_gets_the_first_free_place():
    dispatcher, _ = make_subject([make_server("a", slots=2)])
    places = await fill(dispatcher, FULL)
    waiting = {}
    for rank in (3, 1, 2):
        request = make_request(make_route(), rank_order=rank)
        waiting[rank] = asyncio.create_task(place(dispatcher, request))
        await asyncio.sleep(0)
    order = []
    for rank, task in waiting.items():
        task.add_done_callback(lambda _, rank=rank: order.append(rank))
    for each in places[:3]:
        dispatcher.release(each, 0.05)
        await asyncio.sleep(0.01)
    assert order == [1, 2, 3]


async def test_work_that_would_wait_too_long_is_refused_at_once():
    dispatcher, _ = make_subject([make_server("a", slots=2)])
    for each in await fill(dispatcher, FULL):
        dispatcher.release(each, 2.0)
    for _ in range(200):
        for each in await fill(dispatcher, 1):
            dispatcher.release(each, 2.0)
    await fill(dispatcher, FULL)
    begun_s = read_elapsed_s()
    refusal = await place(dispatcher, make_request(make_route()))
    assert read_elapsed_s() - begun_s < 0.05
    assert refusal.kind is ErrorKind.OVERLOADED
    assert refusal.outcome is Outcome.NOT_RUN
    # The requests that the server has, each of two seconds, end one after the other.
    wait_s = 2.0 / FULL
    assert 0.97 * wait_s < refusal.retry_after_s < wait_s * RETRY_AFTER_SPREAD


async def test_a_cancelled_waiter_takes_no_place():
    dispatcher, table = make_subject([make_server("a", slots=2)])
    places = await fill(dispatcher, FULL)
    task = asyncio.create_task(place(dispatcher, make_request(make_route())))
    await asyncio.sleep(0)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    for each in places:
        dispatcher.release(each)
    assert table.records["a"].requests == 0


async def test_a_place_given_in_the_moment_of_a_cancel_is_given_back():
    dispatcher, table = make_subject([make_server("a", slots=2)])
    places = await fill(dispatcher, FULL)
    task = asyncio.create_task(place(dispatcher, make_request(make_route())))
    await asyncio.sleep(0)
    dispatcher.release(places[0])
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    for each in places[1:]:
        dispatcher.release(each)
    assert table.records["a"].requests == 0


async def test_a_chat_stays_with_its_home_and_returns_there():
    servers = [make_server(name, "writers") for name in "abcde"]
    homes = set()
    for _ in range(3):
        dispatcher, _ = make_subject(servers)
        request = ask(make_prompt(SYSTEM, SESSION, ("own", 100)))
        found = await place(dispatcher, request, ENGINE_POOL)
        homes.add(found.record.server.server_id)
        assert request.fetch_from is None
    assert len(homes) == 1


async def test_a_chat_that_must_leave_its_home_brings_its_parts():
    servers = [make_server(name, "writers") for name in "abcde"]
    dispatcher, table = make_subject(servers)
    prompt = make_prompt(SYSTEM, SESSION, ("own", 100))
    home = (await place(dispatcher, ask(prompt), ENGINE_POOL)).record
    home.prompt_tokens += 200_000
    request = ask(prompt)
    found = await place(dispatcher, request, ENGINE_POOL)
    assert found.record is not home
    assert request.fetch_from == home.server
    assert found.prompt_tokens == 100


async def test_a_new_home_fetches_from_the_one_before():
    servers = [make_server(name, "writers") for name in "abcde"]
    dispatcher, table = make_subject(servers)
    prompt = make_prompt(SYSTEM, SESSION, ("own", 100))
    old = (await place(dispatcher, ask(prompt), ENGINE_POOL)).record
    for number in range(200):
        table.put(make_server(f"new-{number}", "writers"))
        request = ask(prompt)
        found = await place(dispatcher, request, ENGINE_POOL)
        dispatcher.release(found)
        if found.record is not old:
            assert request.fetch_from == old.server
            return
    pytest.fail("no new server became the home")


async def test_nothing_is_fetched_from_a_server_that_is_avoided():
    servers = [make_server(name, "writers") for name in "ab"]
    dispatcher, table = make_subject(servers)
    prompt = make_prompt(SYSTEM, SESSION, ("own", 100))
    home = (await place(dispatcher, ask(prompt), ENGINE_POOL)).record
    home.note_failure("refused", asyncio.get_running_loop().time(), is_down=True)
    request = ask(prompt)
    found = await place(dispatcher, request, ENGINE_POOL)
    assert found.record is not home
    assert request.fetch_from is None


async def test_an_engine_gets_no_more_than_its_memory_and_slots_hold():
    dispatcher, table = make_subject([make_server("a", "writers")])
    big = make_prompt(("own", 50_000))
    assert isinstance(await place(dispatcher, ask(big), ENGINE_POOL), Place)
    task = asyncio.create_task(place(dispatcher, ask(big), ENGINE_POOL))
    await asyncio.sleep(0.05)
    assert not task.done()
    task.cancel()
