"""Placement of requests on servers, and reservation of the servers' capacity."""

import asyncio
from dataclasses import replace

import pytest

from bilberryspring.capability.routing import ExecutionRule
from bilberryspring.policy.direct_placement import LOAD_LIMIT_MARGIN_REQUESTS
from bilberryspring.policy.request_cost import StartTerms
from bilberryspring.policy.server_eligibility import Exclusion
from bilberryspring.process.clock import read_boot_time_s
from bilberryspring.process.server_table import make_server_table
from bilberryspring.request.dispatcher import make_dispatcher
from bilberryspring.request.errors import ErrorKind, Outcome
from bilberryspring.request.placement_decision import (
    MAX_REQUESTS_PER_SLOT,
    RETRY_AFTER_SPREAD,
)
from bilberryspring.request.reservations import Reservation
from bilberryspring.request.tests.relay_fixtures import (
    ENGINE,
    ENGINE_POOL,
    SERVICE_POOL,
    make_prompt,
    make_request,
    make_route,
    make_server,
)

# Maximum number of requests at a plain server of two slots.
MAX_SERVER_REQUESTS = int(2 * MAX_REQUESTS_PER_SLOT)
# Parts of a prompt, each with its number of tokens, that other requests may share. The
# last part of a prompt, here ("own", 100), belongs to one request and is not shared.
SYSTEM_PART, SESSION_PART = ("sys", 500), ("chat", 10_000)


def make_dispatcher_and_table(servers):
    table = make_server_table()
    for server in servers:
        table.put(server)
    for record in table.records.values():
        record.listed_s -= 100
    return make_dispatcher(table, "z", 2.0), table


def acquire(dispatcher, request, pool=SERVICE_POOL):
    return dispatcher.acquire(request, pool, read_boot_time_s() + 2)


def make_prompt_request(prompt):
    return make_request(make_route(ExecutionRule.STREAM), prompt=prompt)


async def fill(dispatcher, count):
    return [
        await acquire(dispatcher, make_request(make_route(), request_id=str(i)))
        for i in range(count)
    ]


async def test_requests_spread_over_servers_and_are_released():
    dispatcher, table = make_dispatcher_and_table([make_server("a"), make_server("b")])
    reservations = await fill(dispatcher, 6)
    assert sorted(r.requests for r in table.records.values()) == [3, 3]
    for each in reservations:
        dispatcher.release(each, 0.05)
    assert all(r.requests == 0 for r in table.records.values())


async def test_most_urgent_request_gets_capacity_first():
    dispatcher, _ = make_dispatcher_and_table([make_server("a", slots=2)])
    reservations = await fill(dispatcher, MAX_SERVER_REQUESTS)
    waiting = {}
    for rank in (3, 1, 2):
        request = make_request(make_route(), rank_order=rank)
        waiting[rank] = asyncio.create_task(acquire(dispatcher, request))
        await asyncio.sleep(0)
    order = []
    for rank, task in waiting.items():
        task.add_done_callback(lambda _, rank=rank: order.append(rank))
    for each in reservations[:3]:
        dispatcher.release(each, 0.05)
        await asyncio.sleep(0.01)
    assert order == [1, 2, 3]


async def test_excessive_predicted_wait_is_refused_immediately():
    dispatcher, _ = make_dispatcher_and_table([make_server("a", slots=2)])
    for each in await fill(dispatcher, MAX_SERVER_REQUESTS):
        dispatcher.release(each, 2.0)
    for _ in range(200):
        for each in await fill(dispatcher, 1):
            dispatcher.release(each, 2.0)
    await fill(dispatcher, MAX_SERVER_REQUESTS)
    begun_s = read_boot_time_s()
    refusal = await acquire(dispatcher, make_request(make_route()))
    assert read_boot_time_s() - begun_s < 0.05
    assert refusal.kind is ErrorKind.OVERLOADED
    assert refusal.outcome is Outcome.NOT_RUN
    # The requests at the server, two seconds each, end evenly spaced over that time.
    wait_s = 2.0 / MAX_SERVER_REQUESTS
    assert 0.97 * wait_s < refusal.retry_after_s < wait_s * RETRY_AFTER_SPREAD


async def test_cancelled_request_reserves_no_capacity():
    dispatcher, table = make_dispatcher_and_table([make_server("a", slots=2)])
    reservations = await fill(dispatcher, MAX_SERVER_REQUESTS)
    task = asyncio.create_task(acquire(dispatcher, make_request(make_route())))
    await asyncio.sleep(0)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    for each in reservations:
        dispatcher.release(each)
    assert table.records["a"].requests == 0


async def test_reservation_made_just_before_a_cancellation_is_released():
    dispatcher, table = make_dispatcher_and_table([make_server("a", slots=2)])
    reservations = await fill(dispatcher, MAX_SERVER_REQUESTS)
    task = asyncio.create_task(acquire(dispatcher, make_request(make_route())))
    await asyncio.sleep(0)
    dispatcher.release(reservations[0])
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    for each in reservations[1:]:
        dispatcher.release(each)
    assert table.records["a"].requests == 0


async def test_chat_is_placed_on_the_same_home_engine_by_each_dispatcher():
    servers = [make_server(name, "writers") for name in "abcde"]
    homes = set()
    for _ in range(3):  # One dispatcher for each of three routers.
        dispatcher, _ = make_dispatcher_and_table(servers)
        request = make_prompt_request(
            make_prompt(SYSTEM_PART, SESSION_PART, ("own", 100))
        )
        found = await acquire(dispatcher, request, ENGINE_POOL)
        homes.add(found.record.server.server_id)
        assert request.fetch_from is None
    assert len(homes) == 1


async def test_chat_placed_away_from_its_home_fetches_its_shared_parts():
    servers = [make_server(name, "writers") for name in "abcde"]
    dispatcher, table = make_dispatcher_and_table(servers)
    prompt = make_prompt(SYSTEM_PART, SESSION_PART, ("own", 100))
    home = (await acquire(dispatcher, make_prompt_request(prompt), ENGINE_POOL)).record
    home.prompt_tokens += 200_000
    request = make_prompt_request(prompt)
    found = await acquire(dispatcher, request, ENGINE_POOL)
    assert found.record is not home
    assert request.fetch_from == home.server
    assert found.prompt_tokens == 100  # The last part is not fetched.


async def test_new_home_fetches_from_the_previous_one():
    servers = [make_server(name, "writers") for name in "abcde"]
    dispatcher, table = make_dispatcher_and_table(servers)
    prompt = make_prompt(SYSTEM_PART, SESSION_PART, ("own", 100))
    old = (await acquire(dispatcher, make_prompt_request(prompt), ENGINE_POOL)).record
    for number in range(200):
        table.put(make_server(f"new-{number}", "writers"))
        request = make_prompt_request(prompt)
        found = await acquire(dispatcher, request, ENGINE_POOL)
        dispatcher.release(found)
        if found.record is not old:
            assert request.fetch_from == old.server
            return
    pytest.fail("no new server became the home")


async def test_home_fetches_from_the_engine_that_another_router_named():
    servers = [make_server(name, "writers") for name in "abcde"]
    dispatcher, table = make_dispatcher_and_table(servers)
    _, other = make_dispatcher_and_table(servers)
    prompt = make_prompt(SYSTEM_PART, SESSION_PART, ("own", 100))
    request = make_prompt_request(prompt)
    home = (await acquire(dispatcher, request, ENGINE_POOL)).record
    assert request.fetch_from is None
    holder = next(each for each in other.records.values() if each.server != home.server)
    other.record_cached_parts(holder, prompt)
    table.cached_parts.merge(other.cached_parts.list_reports(9))
    request = make_prompt_request(replace(prompt))
    found = await acquire(dispatcher, request, ENGINE_POOL)
    assert found.record is home and found.is_source_known
    assert request.fetch_from == holder.server


async def test_engine_that_restarted_is_no_source():
    servers = [make_server(name, "writers") for name in "abcde"]
    dispatcher, table = make_dispatcher_and_table(servers)
    prompt = make_prompt(SYSTEM_PART, SESSION_PART, ("own", 100))
    home = (await acquire(dispatcher, make_prompt_request(prompt), ENGINE_POOL)).record
    holder = next(each for each in table.records.values() if each is not home)
    table.record_cached_parts(holder, prompt)
    table.put(replace(holder.server, started_at_ms=5000))
    request = make_prompt_request(replace(prompt))
    found = await acquire(dispatcher, request, ENGINE_POOL)
    assert found.record is home and request.fetch_from is None


async def test_source_of_a_short_part_gives_way_to_the_home_of_the_long_one():
    servers = [make_server(name, "writers") for name in "abcde"]
    dispatcher, table = make_dispatcher_and_table(servers)
    prompt = make_prompt(SYSTEM_PART, SESSION_PART, ("own", 100))
    home = (await acquire(dispatcher, make_prompt_request(prompt), ENGINE_POOL)).record
    home.prompt_tokens += 200_000
    request = make_prompt_request(prompt)
    reserved = await acquire(dispatcher, request, ENGINE_POOL)
    dispatcher.release(reserved)
    holder = next(
        each
        for each in table.records.values()
        if each is not home and each is not reserved.record
    )
    other_chat = make_prompt(SYSTEM_PART, ("other", 9000), ("own", 100))
    table.record_cached_parts(holder, other_chat)
    request = make_prompt_request(replace(prompt))
    assert (await acquire(dispatcher, request, ENGINE_POOL)).record is reserved.record
    assert request.fetch_from == home.server


async def test_nothing_is_fetched_from_an_avoided_server():
    servers = [make_server(name, "writers") for name in "ab"]
    dispatcher, table = make_dispatcher_and_table(servers)
    prompt = make_prompt(SYSTEM_PART, SESSION_PART, ("own", 100))
    home = (await acquire(dispatcher, make_prompt_request(prompt), ENGINE_POOL)).record
    home.record_failure("refused", asyncio.get_running_loop().time(), is_down=True)
    request = make_prompt_request(prompt)
    found = await acquire(dispatcher, request, ENGINE_POOL)
    assert found.record is not home
    assert request.fetch_from is None


async def test_engine_gets_no_more_than_its_memory_and_slots_hold():
    dispatcher, table = make_dispatcher_and_table([make_server("a", "writers")])
    big = make_prompt(("own", 50_000))
    assert isinstance(
        await acquire(dispatcher, make_prompt_request(big), ENGINE_POOL), Reservation
    )
    task = asyncio.create_task(
        acquire(dispatcher, make_prompt_request(big), ENGINE_POOL)
    )
    await asyncio.sleep(0.05)
    assert not task.done()
    task.cancel()


async def test_waiting_request_is_not_sent_to_a_server_that_wants_none():
    servers = [make_server("a", slots=2), make_server("b", slots=2)]
    dispatcher, table = make_dispatcher_and_table(servers)
    reservations = await fill(dispatcher, 2 * MAX_SERVER_REQUESTS)
    task = asyncio.create_task(acquire(dispatcher, make_request(make_route())))
    await asyncio.sleep(0)
    table.pause(table.records["a"], 5.0)
    for each in reservations:
        if each.record.server.server_id == "a":
            dispatcher.release(each, 0.05)
    await asyncio.sleep(0.05)
    assert not task.done()
    dispatcher.release(
        next(r for r in reservations if r.record.server.server_id == "b")
    )
    assert (await task).record.server.server_id == "b"


async def test_all_waiting_requests_are_refused_at_once_when_no_server_wants_any():
    dispatcher, table = make_dispatcher_and_table([make_server("a", slots=2)])
    await fill(dispatcher, MAX_SERVER_REQUESTS)
    tasks = [
        asyncio.create_task(
            acquire(dispatcher, make_request(make_route(), request_id=f"w{number}"))
        )
        for number in range(4)
    ]
    await asyncio.sleep(0)
    table.pause(table.records["a"], 0.8)
    dispatcher.dispatch_all_waiting()
    async with asyncio.timeout(0.1):
        refusals = await asyncio.gather(*tasks)
    assert {each.outcome for each in refusals} == {Outcome.NOT_RUN}
    assert all(each.retry_after_s >= 0.75 for each in refusals)
    # Callers that are refused together come back one after another.
    assert len({each.retry_after_s for each in refusals}) == len(refusals)


@pytest.mark.parametrize("allows_avoided", [False, True])
async def test_replacement_is_not_sent_to_a_server_that_wants_none(allows_avoided):
    dispatcher, table = make_dispatcher_and_table([make_server("a"), make_server("b")])
    request = make_request(make_route(ExecutionRule.REPEATABLE))
    request.tried_server_ids.add("b")
    table.pause(table.records["a"], 5.0)
    found = dispatcher.acquire_now(request, SERVICE_POOL, allows_avoided)
    assert found.kind is ErrorKind.NO_INSTANCE
    assert table.records["a"].requests == 0


async def test_return_to_a_server_does_not_release_all_waiting_requests_at_once():
    dispatcher, table = make_dispatcher_and_table([make_server("a")])
    record = table.records["a"]
    table.pause(record, 0.01)
    record.pause.until_s = 0.0
    tasks = [
        asyncio.create_task(
            acquire(dispatcher, make_request(make_route(), request_id=f"w{number}"))
        )
        for number in range(4)
    ]
    await asyncio.sleep(0.05)
    assert record.requests == 1
    dispatcher.release(next(t for t in tasks if t.done()).result(), 0.05)
    await asyncio.sleep(0.05)
    assert record.requests == 2
    for task in tasks:
        task.cancel()


async def test_chat_whose_home_wants_no_requests_goes_elsewhere_without_its_cache():
    servers = [make_server(name, "writers") for name in "abcde"]
    dispatcher, table = make_dispatcher_and_table(servers)
    prompt = make_prompt(SYSTEM_PART, SESSION_PART, ("own", 100))
    home = (await acquire(dispatcher, make_prompt_request(prompt), ENGINE_POOL)).record
    home.record_sent(object(), prompt, 0.0)
    table.pause(home, 5.0)
    request = make_prompt_request(prompt)
    found = await acquire(dispatcher, request, ENGINE_POOL)
    assert found.record is not home
    assert request.fetch_from is not home.server


async def test_overload_of_servers_that_want_no_requests_is_not_that_of_the_pool():
    names = "abcd"
    dispatcher, table = make_dispatcher_and_table([make_server(n) for n in names])
    for name in "ab":
        table.records[name].peer_load.requests = 40.0
        table.pause(table.records[name], 5.0)
    found = [
        await acquire(dispatcher, make_request(make_route(), request_id=f"q{number}"))
        for number in range(4)
    ]
    assert {each.record.server.server_id for each in found} == {"c", "d"}


def make_partly_full_pool():
    """Return a dispatcher for two loaded engines with room and four without any."""
    engine = replace(ENGINE, slots=64)
    servers = [make_server(name, "writers", slots=64) for name in "abcdef"]
    dispatcher, table = make_dispatcher_and_table(servers)
    for name, record in table.records.items():
        record.peer_load.requests = 15.0
        if name in "cdef":
            # A few requests of many tokens fill the memory.
            record.peer_load.requests = 0.0
            record.requests, record.held_tokens = 1, engine.cache_tokens
    return dispatcher, table, replace(ENGINE_POOL, engine=engine)


async def test_server_with_room_gets_nothing_beyond_the_bound_of_the_whole_pool():
    dispatcher, table, pool = make_partly_full_pool()
    request = make_prompt_request(make_prompt(("own", 1000)))
    task = asyncio.create_task(acquire(dispatcher, request, pool))
    await asyncio.sleep(0.05)
    assert not task.done()
    assert all(table.records[name].requests == 0 for name in "ab")
    table.records["b"].peer_load.requests = 9.0
    async with asyncio.timeout(0.1):
        assert (await task).record is table.records["b"]


async def test_request_is_refused_at_once_if_the_load_bound_holds_it_for_long():
    dispatcher, table, pool = make_partly_full_pool()
    service_s = 20.0
    dispatcher._mean_service_s["writers"] = service_s
    route = make_route(ExecutionRule.STREAM, timeout_s=60.0)
    request = make_request(route, prompt=make_prompt(("own", 1000)))
    async with asyncio.timeout(0.1):
        refusal = await dispatcher.acquire(request, pool, read_boot_time_s() + 60)
    assert refusal.outcome is Outcome.NOT_RUN
    # The bound is twice the mean of 34 / 6 requests, and a margin.
    excess_share = (15 - 2 * 34 / 6 - LOAD_LIMIT_MARGIN_REQUESTS) / 15
    wait_s = service_s * excess_share
    assert 0.99 * wait_s < refusal.retry_after_s < wait_s * RETRY_AFTER_SPREAD


async def test_repeated_request_that_must_wait_does_not_hold_up_others():
    servers = [make_server("a", slots=2), make_server("b", slots=2)]
    dispatcher, table = make_dispatcher_and_table(servers)
    reservations = await fill(dispatcher, 2 * MAX_SERVER_REQUESTS)
    repeated = make_request(make_route(), request_id="r")
    repeated.tried_server_ids.add("b")
    tasks = [
        asyncio.create_task(acquire(dispatcher, request))
        for request in (repeated, make_request(make_route(), request_id="n"))
    ]
    await asyncio.sleep(0)
    for each in reservations:
        if each.record.server.server_id == "b":
            dispatcher.release(each, 0.05)
    async with asyncio.timeout(0.1):
        assert (await tasks[1]).record is table.records["b"]
    tasks[0].cancel()


def shed_all(dispatcher, monkeypatch, share):
    shedder = dispatcher._shedders["desk"]
    shedder.admitted_share = share
    monkeypatch.setattr(shedder, "admits", lambda *_: False)
    monkeypatch.setattr(shedder, "is_due", lambda _: False)
    return shedder


def make_patient_request(target_s=0.1):
    return make_request(make_route(target_s=target_s, timeout_s=2.0))


async def test_shed_request_is_deferred_until_the_load_falls(monkeypatch):
    dispatcher, _ = make_dispatcher_and_table([make_server("a", SERVICE_POOL.name)])
    shedder = shed_all(dispatcher, monkeypatch, 0.5)
    waiting = asyncio.create_task(acquire(dispatcher, make_patient_request()))
    await asyncio.sleep(0.1)
    assert not waiting.done()
    shedder.admitted_share = 1.0
    assert isinstance(await waiting, Reservation)


async def test_deferred_request_is_refused_in_time_for_another_try(monkeypatch):
    dispatcher, _ = make_dispatcher_and_table([make_server("a", SERVICE_POOL.name)])
    shed_all(dispatcher, monkeypatch, 0.5)
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    found = await acquire(dispatcher, make_patient_request())
    assert found.kind is ErrorKind.OVERLOADED
    assert 0.3 < loop.time() - began_s < 1.5
    # The next one would wait in vain as well.
    began_s = loop.time()
    found = await acquire(dispatcher, make_patient_request())
    assert found.kind is ErrorKind.OVERLOADED
    assert loop.time() - began_s < 0.3
    assert not dispatcher._waiting["desk"]


async def test_request_without_spare_time_is_not_deferred(monkeypatch):
    dispatcher, _ = make_dispatcher_and_table([make_server("a", SERVICE_POOL.name)])
    shed_all(dispatcher, monkeypatch, 0.5)
    request = make_patient_request(target_s=1.5)
    began_s = asyncio.get_running_loop().time()
    assert (await acquire(dispatcher, request)).kind is ErrorKind.OVERLOADED
    assert asyncio.get_running_loop().time() - began_s < 0.3


async def test_decision_names_the_reason_of_each_server_and_reserves_nothing():
    names = ("tried", "paused", "suspected", "full", "free")
    dispatcher, table = make_dispatcher_and_table([make_server(each) for each in names])
    loop = asyncio.get_running_loop()
    table.pause(table.records["paused"], 5.0)
    table.records["suspected"].avoided_until_s = loop.time() + 5.0
    table.records["full"].requests = 4 * MAX_REQUESTS_PER_SLOT
    request = make_request(make_route())
    request.tried_server_ids.add("tried")
    before = {name: record.requests for name, record in table.records.items()}
    decision = dispatcher.decide(request, SERVICE_POOL)
    assert decision.exclusions == {
        "tried": Exclusion.TRIED,
        "paused": Exclusion.PAUSED,
        "suspected": Exclusion.SUSPECTED,
        "full": Exclusion.NO_ROOM,
    }
    assert [each.server_id for each in decision.candidates] == ["free"]
    assert decision.reservation.record.server.server_id == "free"
    assert {name: each.requests for name, each in table.records.items()} == before
    assert not dispatcher._planner.usage["desk"].get_usage(None, loop.time())


async def test_decision_names_servers_beyond_the_load_bound():
    dispatcher, table = make_dispatcher_and_table([make_server("a"), make_server("b")])
    dispatcher.set_load_factor(0.1)
    for record in table.records.values():
        record.requests = 5
    decision = dispatcher.decide(make_request(make_route()), SERVICE_POOL)
    assert decision.failure.kind is ErrorKind.LOAD_BOUND
    assert set(decision.exclusions.values()) == {Exclusion.LOAD_BOUND}


async def test_start_of_an_engine_is_predicted_from_what_it_still_has_to_read():
    dispatcher, table = make_dispatcher_and_table(
        [make_server("busy", ENGINE_POOL.name), make_server("idle", ENGINE_POOL.name)]
    )
    table.records["busy"].peer_load.prompt_tokens = 30_000
    request = make_prompt_request(make_prompt(("own", 100)))
    slow_s, terms = 1.0, StartTerms(100, 10_000, 0)
    for _ in range(50):
        dispatcher.costs.record_start(request, ENGINE_POOL.name, terms, slow_s)
    decision = dispatcher.decide(request, ENGINE_POOL)
    start_s = {each.server_id: each.predicted_start_s for each in decision.candidates}
    assert start_s["busy"] - start_s["idle"] > 1.0
