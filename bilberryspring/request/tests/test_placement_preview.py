"""Previews tell what the dispatcher would do, and change nothing."""

import asyncio

from bilberryspring.capability.store_position import StorePosition
from bilberryspring.process.server_table import make_server_table
from bilberryspring.request.dispatcher import make_dispatcher
from bilberryspring.request.placement_preview import make_placement_preview
from bilberryspring.request.reservations import Reservation
from bilberryspring.request.tests.relay_fixtures import (
    ENGINE_POOL,
    make_prompt,
    make_request,
    make_route,
    make_server,
)

PROMPT = make_prompt(("shared", 3000), ("own", 200))


class Fleet:
    """Three engines in two availability zones, and the dispatcher of a router."""

    def __init__(self):
        self.table = make_server_table()
        for server_id, zone in (("s1", "z"), ("s2", "z"), ("s3", "y")):
            self.table.put(make_server(server_id, ENGINE_POOL.name, zone=zone))
        self.dispatcher = make_dispatcher(self.table, "z", 2.0)
        self.request = make_request(
            make_route(pools=((ENGINE_POOL.name, 1.0),)), prompt=PROMPT
        )

    def preview(self):
        request = self.request
        return make_placement_preview(
            request,
            ENGINE_POOL,
            self.dispatcher.decide(request, ENGINE_POOL, may_ask=True),
            self.dispatcher.forecast_queue(request, ENGINE_POOL, request.deadline_s),
            self.table,
            3,
            asyncio.get_running_loop().time(),
        )


async def test_preview_names_the_server_that_then_gets_the_request():
    fleet = Fleet()
    for _ in range(6):
        previewed = fleet.preview()
        reserved = fleet.dispatcher.acquire_now(fleet.request, ENGINE_POOL)
        assert isinstance(reserved, Reservation)
        assert previewed.choice == reserved.record.server.server_id
        assert previewed.servers[0].is_chosen
        assert previewed.reserved_tokens == reserved.held_tokens


async def test_preview_changes_nothing():
    fleet = Fleet()
    first = fleet.preview()
    for _ in range(20):
        assert fleet.preview().choice == first.choice
    for record in fleet.table.records.values():
        assert (record.requests, record.held_tokens, record.prompt_tokens) == (0, 0, 0)


async def test_each_server_that_is_passed_over_has_its_reason():
    fleet = Fleet()
    records = fleet.table.records
    fleet.table.pause(records["s1"], 5.0)
    fleet.table.evacuations.record_change("y", StorePosition(0, 7), True)
    fleet.request.tried_server_ids.add("s2")
    preview = fleet.preview()
    assert preview.choice is None and preview.failure is not None
    found = {each.server: each.exclusion for each in preview.servers}
    assert found == {"s1": "paused", "s2": "tried", "s3": "evacuated"}
    evacuated = next(each for each in preview.servers if each.server == "s3")
    assert "by store" in evacuated.reason


async def test_engine_without_room_is_named():
    fleet = Fleet()
    for record in fleet.table.records.values():
        record.change_requests(ENGINE_POOL.engine.slots, 0.0)
    preview = fleet.preview()
    assert preview.choice is None
    assert {each.exclusion for each in preview.servers} == {"no_room"}
    assert preview.queue.allowed_wait_s > 0
