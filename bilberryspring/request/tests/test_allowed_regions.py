"""Requests that only servers of some regions may get.

Guards against a request that runs in a region that its route or its workspace does not
allow.
"""

from dataclasses import replace

import pytest

from bilberryspring.process.clock import read_boot_time_s
from bilberryspring.process.server_table import make_server_table
from bilberryspring.request.dispatcher import make_dispatcher
from bilberryspring.request.errors import ErrorKind, Outcome
from bilberryspring.request.reservations import Reservation
from bilberryspring.request.tests.relay_fixtures import (
    ENGINE_POOL,
    SERVICE_POOL,
    make_prompt,
    make_request,
    make_route,
    make_server,
)

REGIONS = {"z1": "north", "z2": "south", "z3": "east"}
SERVERS = {"a": "z1", "b": "z2", "c": "z3", "d": "unnamed"}


def make_fleet(pool="desk"):
    table = make_server_table()
    table.regions = REGIONS
    for name, zone in SERVERS.items():
        table.put(make_server(name, pool, zone=zone))
    return make_dispatcher(table, "z1", 2.0), table


async def find_servers(route_regions, workspace_regions, pool=SERVICE_POOL, **options):
    """Return the servers that sixteen requests run at, and those they copy from."""
    dispatcher, _ = make_fleet(pool.name)
    used, sources = set(), set()
    for number in range(16):
        allowed = None if route_regions is None else frozenset(route_regions)
        route = replace(make_route(), allowed_regions=allowed)
        request = make_request(route, request_id=f"q{number}", **options)
        if workspace_regions is not None:
            request.workspace_regions = frozenset(workspace_regions)
        place = await dispatcher.acquire(request, pool, read_boot_time_s() + 2)
        if not isinstance(place, Reservation):
            assert (place.kind, place.outcome) == (
                ErrorKind.NO_INSTANCE,
                Outcome.NOT_RUN,
            )
            assert "its region is not allowed" in place.reason
            continue
        used.add(place.record.server.server_id)
        if place.fetch_from is not None:
            sources.add(place.fetch_from.server.server_id)
        dispatcher.release(place)
    return used, sources


@pytest.mark.parametrize(
    ("route_regions", "workspace_regions", "expected"),
    [
        (None, None, {"a", "b", "c", "d"}),
        (["north", "south"], None, {"a", "b"}),
        (None, ["east"], {"c"}),
        (["north", "south"], ["south", "east"], {"b"}),
        (["north"], ["east"], set()),
        (["west"], None, set()),
    ],
)
async def test_regions_of_route_and_workspace_both_bind(
    route_regions, workspace_regions, expected
):
    used, _ = await find_servers(route_regions, workspace_regions)
    assert used <= expected
    if len(expected) == 1 or not expected:
        assert used == expected


async def test_chat_has_its_homes_and_copies_in_allowed_regions():
    prompt = make_prompt(("chat", 50_000), ("own", 100))
    used, sources = await find_servers(
        ["north", "south"], None, ENGINE_POOL, prompt=prompt
    )
    assert used and used | sources <= {"a", "b"}


async def test_request_is_not_tried_again_in_another_region():
    dispatcher, _ = make_fleet()
    request = make_request(replace(make_route(), allowed_regions=frozenset({"north"})))
    request.tried_server_ids.add("a")
    found = dispatcher.acquire_now(request, SERVICE_POOL)
    assert found.kind is ErrorKind.NO_INSTANCE
