"""Requests while the availability zones of servers are evacuated.

Guards against a request, a copy or a probe that reaches a server of such a zone.
"""

import asyncio
import time

import pytest

from bilberryspring.capability.routing import ExecutionRule
from bilberryspring.capability.store_position import StorePosition
from bilberryspring.identifiers import StoreEpoch
from bilberryspring.policy.server_eligibility import (
    MAX_EVACUATION_RETRY_S,
    MIN_EVACUATION_RETRY_S,
    Exclusion,
    compute_evacuation_retry_s,
    find_exclusion,
)
from bilberryspring.process.clock import read_boot_time_s
from bilberryspring.process.server_table import make_server_table
from bilberryspring.request.dispatcher import make_dispatcher
from bilberryspring.request.errors import ErrorKind, Outcome
from bilberryspring.request.reservations import Reservation, rank_home_engines
from bilberryspring.request.server_exclusions import RETRY_AFTER_SPREAD, view_server
from bilberryspring.request.tests.relay_fixtures import (
    ENGINE_POOL,
    SERVICE_POOL,
    ScriptedBackendCalls,
    make_head,
    make_lost_connection,
    make_prompt,
    make_request,
    make_route,
    make_server,
    relay,
)

COMPLETE = [make_head(), b"answer", None]
REPEATABLE = make_route(ExecutionRule.REPEATABLE, max_servers=3)


class Zones:
    """A table whose evacuations the test decides."""

    def __init__(self, servers, pool="desk", slots=4):
        self.passed_s = 0.0
        self.table = make_server_table(
            read_clock=lambda: time.monotonic() + self.passed_s
        )
        for name, zone in servers.items():
            self.table.put(make_server(name, pool, slots, zone=zone))
        self.dispatcher = make_dispatcher(self.table, "z", 2.0)
        self.table.evacuations.change_callbacks.append(
            self.dispatcher.dispatch_all_waiting
        )
        self.revision = 1

    def change(self, zone, is_evacuated):
        self.revision += 1
        position = StorePosition(StoreEpoch(1), self.revision)
        self.table.evacuations.record_change(zone, position, is_evacuated)

    def evacuate(self, *zones):
        for zone in zones:
            self.change(zone, True)

    async def acquire(self, pool=SERVICE_POOL, **options):
        request = make_request(make_route(target_s=2.0), **options)
        request.received_s = read_boot_time_s()
        return await self.dispatcher.acquire(request, pool, read_boot_time_s() + 2)


async def test_no_request_is_placed_in_an_evacuated_zone_until_it_returns():
    zones = Zones({"a": "z1", "b": "z2"})
    zones.evacuate("z1")
    places = [await zones.acquire(request_id=f"q{number}") for number in range(8)]
    assert {place.record.server.server_id for place in places} == {"b"}
    zones.change("z1", False)
    place = await zones.acquire(request_id="q8")
    assert place.record.server.server_id == "a"


async def test_load_bound_and_capacity_count_the_servers_that_are_left():
    zones = Zones({"a": "z1", "b": "z2", "c": "z2"})
    zones.evacuate("z1")
    place = await zones.acquire()
    zones.dispatcher.release(place)
    view = zones.dispatcher._view_queue(
        make_request(make_route()), SERVICE_POOL, (0, 0, False), read_boot_time_s() + 2
    )
    assert view.pool_slots == 8


@pytest.mark.parametrize("evacuated", [("z1", "z2"), ("z1",)])
async def test_request_without_a_server_left_is_refused_at_once(evacuated):
    zones = Zones({"a": "z1"} if evacuated == ("z1",) else {"a": "z1", "b": "z2"})
    zones.evacuate(*evacuated)
    began_s = read_boot_time_s()
    refusal = await zones.acquire()
    assert read_boot_time_s() - began_s < 0.05
    assert (refusal.kind, refusal.outcome) == (ErrorKind.NO_INSTANCE, Outcome.NOT_RUN)
    assert "evacuated (by store" in refusal.reason
    most_s = MIN_EVACUATION_RETRY_S * RETRY_AFTER_SPREAD
    assert MIN_EVACUATION_RETRY_S <= refusal.retry_after_s <= most_s


def test_callers_stay_away_longer_the_longer_an_evacuation_lasts():
    times_s = [compute_evacuation_retry_s(age_s) for age_s in (0.0, 1.0, 3.0, 900.0)]
    assert times_s == [MIN_EVACUATION_RETRY_S, 1.0, 3.0, MAX_EVACUATION_RETRY_S]


async def test_refusal_counts_how_long_the_evacuation_has_lasted():
    zones = Zones({"a": "z1"})
    zones.evacuate("z1")
    zones.passed_s = 3.0
    refusal = await zones.acquire()
    assert 3.0 <= refusal.retry_after_s <= 3.1 * RETRY_AFTER_SPREAD


async def test_waiting_requests_are_refused_when_their_last_servers_are_evacuated():
    zones = Zones({"a": "z1"}, slots=1)
    held = [await zones.acquire(request_id=f"h{number}") for number in range(3)]
    waiting = [
        asyncio.create_task(zones.acquire(request_id=f"q{number}")) for number in (1, 2)
    ]
    await asyncio.sleep(0.01)
    assert not any(task.done() for task in waiting)
    zones.evacuate("z1")
    results = await asyncio.gather(*waiting)
    assert {result.kind for result in results} == {ErrorKind.NO_INSTANCE}
    # Running work goes on.
    assert zones.table.records["a"].requests == len(held)


async def test_chats_move_to_their_next_home_and_come_back():
    servers = {f"s{number}": f"z{number % 2}" for number in range(8)}
    zones = Zones(servers, ENGINE_POOL.name)
    prompt = make_prompt(("chat", 5_000), ("own", 100))
    ranked = rank_home_engines(prompt, zones.table.list_all(ENGINE_POOL.name))
    home = ranked[0].server
    zones.evacuate(home.availability_zone)
    next_home = next(
        record
        for record in ranked
        if record.server.availability_zone != home.availability_zone
    )
    place = await zones.acquire(ENGINE_POOL, prompt=prompt)
    assert place.record is next_home
    assert place.fetch_from is None or not place.fetch_from.is_evacuated
    zones.change(home.availability_zone, False)
    place = await zones.acquire(ENGINE_POOL, prompt=prompt, request_id="q2")
    assert place.record.server is home


async def test_next_homes_are_preferred_while_the_first_ones_are_evacuated():
    servers = {f"s{number}": f"z{number % 4}" for number in range(24)}
    for chat in range(200):
        prompt = make_prompt((f"chat{chat}", 50_000), ("own", 100))
        zones = Zones(servers, ENGINE_POOL.name)
        ranked = rank_home_engines(prompt, zones.table.list_all(ENGINE_POOL.name))
        first, second, third, _ = (home.server.availability_zone for home in ranked)
        if third not in (first, second):
            break
    zones.evacuate(first, second)
    began_s = read_boot_time_s()
    for number in range(8):
        place = await zones.acquire(ENGINE_POOL, prompt=prompt, request_id=f"q{number}")
        assert place.record is ranked[2]
        zones.dispatcher.release(place)
    # No request waits for room at its evacuated homes.
    assert read_boot_time_s() - began_s < 0.1


async def test_nothing_is_fetched_from_an_evacuated_zone():
    zones = Zones({"a": "z1", "b": "z2"}, ENGINE_POOL.name)
    prompt = make_prompt(("chat", 50_000), ("own", 100))
    zones.table.records["a"].record_sent("q0", prompt, 1.0)
    zones.table.records["a"].record_ended("q0")
    for record in zones.table.records.values():
        record.listed_s -= 100
    zones.evacuate("z1")
    place = await zones.acquire(ENGINE_POOL, prompt=prompt)
    assert place.record.server.server_id == "b"
    assert place.fetch_from is None


async def test_reservation_made_before_the_evacuation_is_not_used(monkeypatch):
    zones, places = Zones({"a": "z1", "b": "z2"}), []
    acquire = type(zones.dispatcher).acquire

    async def acquire_then_evacuate(dispatcher, *args):
        place = await acquire(dispatcher, *args)
        places.append(place.record.server)
        if len(places) == 1:
            zones.evacuate(place.record.server.availability_zone)
        return place

    monkeypatch.setattr(type(zones.dispatcher), "acquire", acquire_then_evacuate)
    answer, calls = await relay(REPEATABLE, [COMPLETE], table=zones.table)
    assert answer.body == b"answer"
    first, second = (server.server_id for server in places)
    assert first != second
    assert [server for server, _, _ in calls.sent] == [second]
    assert all(record.requests == 0 for record in zones.table.records.values())


async def test_failed_request_is_not_sent_again_to_an_evacuated_zone(monkeypatch):
    zones = Zones({"a": "z1", "b": "z2", "c": "z1"})
    probed = []

    async def check(calls, server):
        probed.append(server.server_id)

    monkeypatch.setattr(ScriptedBackendCalls, "check_reachability", check)
    begin = ScriptedBackendCalls.begin

    async def begin_then_evacuate(calls, server, request, time_left_s):
        exchange = await begin(calls, server, request, time_left_s)
        if len(calls.sent) == 1:
            zones.evacuate(server.availability_zone)
        return exchange

    monkeypatch.setattr(ScriptedBackendCalls, "begin", begin_then_evacuate)
    _, calls = await relay(
        REPEATABLE,
        [[make_lost_connection()], COMPLETE, COMPLETE],
        table=zones.table,
    )
    sent = [zones.table.records[server].server for server, _, _ in calls.sent]
    assert all(
        server.availability_zone != sent[0].availability_zone for server in sent[1:]
    )
    assert sent[0].server_id not in probed


def test_exclusion_names_source_age_and_history():
    zones = Zones({"a": "z1", "b": "z2"})
    zones.evacuate("z1")
    finding = find_exclusion(view_server(zones.table.records["a"], zones.table))
    assert finding.exclusion is Exclusion.EVACUATED
    assert "by store" in finding.reason and "history 1" in finding.reason
    assert find_exclusion(view_server(zones.table.records["b"], zones.table)) is None


async def test_reservation_of_a_sound_zone_is_kept():
    zones = Zones({"a": "z1"})
    zones.evacuate("z9")
    assert isinstance(await zones.acquire(), Reservation)
