"""Decoding of configuration documents and server entries.

An invalid document is a failure as a whole, and no input raises an exception.
"""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bilberryspring.capability.routing import (
    BackendServer,
    ExecutionRule,
    RoutingTable,
    find_route,
)
from bilberryspring.capability.store_position import StorePosition
from bilberryspring.identifiers import StoreEpoch
from bilberryspring.platform.document_decoders import (
    decode_routing_table,
    decode_server,
)
from bilberryspring.platform.tests.platform_standin import CONFIGURATION
from bilberryspring.request.errors import Failure

SERVER_ENTRY = {
    "service": "desk",
    "address": "127.0.0.1:80",
    "zone": "z",
    "slots": 4,
    "state": "ready",
    "seq": 1,
}


def test_configuration_is_decoded_into_project_units():
    table = decode_routing_table(
        json.dumps(CONFIGURATION).encode(), StorePosition(StoreEpoch(1), 9)
    )
    drafts_route = find_route(table, "a.example", "/drafts/x")
    assert drafts_route.rule is ExecutionRule.STREAM and drafts_route.is_resumable
    assert (
        drafts_route.timeout_s,
        drafts_route.target_s,
        drafts_route.pause_target_s,
    ) == (4.0, 0.4, 0.3)
    assert table.keys["k2"].workspace == "ward" and table.keys["k2"].rank_order == 1
    assert table.limits.idle_timeout_s == 5.0
    assert (table.version, table.position.revision) == (3, 9)


@pytest.mark.parametrize("tenants", [None, {}, "", 0, False])
def test_tenants_that_are_no_list_are_refused_by_name(tenants):
    document = json.dumps({**CONFIGURATION, "tenants": tenants}).encode()
    failure = decode_routing_table(document, StorePosition(StoreEpoch(1), 1))
    assert isinstance(failure, Failure) and "tenants" in failure.reason


def test_only_a_document_without_tenants_needs_no_keys():
    position = StorePosition(StoreEpoch(1), 1)
    document = {**CONFIGURATION, "tenants": []}
    assert decode_routing_table(json.dumps(document).encode(), position).keys == {}
    del document["tenants"]
    assert decode_routing_table(json.dumps(document).encode(), position).keys is None


def decode_with_regions(**fields):
    """Decode a configuration in which a route or a workspace states its regions."""
    route, tenant = CONFIGURATION["routes"][0], CONFIGURATION["tenants"][0]
    if "of_route" in fields:
        route = {**route, "allowedRegions": fields["of_route"]}
    if "of_tenant" in fields:
        tenant = {**tenant, "allowedRegions": fields["of_tenant"]}
    document = {**CONFIGURATION, "routes": [route], "tenants": [tenant]}
    return decode_routing_table(
        json.dumps(document).encode(), StorePosition(StoreEpoch(1), 9)
    )


def test_allowed_regions_of_routes_and_workspaces_are_decoded():
    table = decode_with_regions(of_route=["north", "south"], of_tenant=["south"])
    route = find_route(table, "a.example", "/orders/x")
    assert route.allowed_regions == {"north", "south"}
    assert table.keys["k1"].allowed_regions == {"south"}
    table = decode_with_regions()
    assert find_route(table, "a.example", "/orders/x").allowed_regions is None
    assert table.keys["k1"].allowed_regions is None


# Guards against an empty list of regions being read as a missing one, which allowed
# all of them.
def test_empty_list_of_regions_allows_none():
    table = decode_with_regions(of_route=[], of_tenant=[])
    route = find_route(table, "a.example", "/orders/x")
    assert route.allowed_regions == table.keys["k1"].allowed_regions == frozenset()


@pytest.mark.parametrize(
    "names", ["north", [""], [7], {"north": 1}, True, [None], None]
)
def test_malformed_regions_are_a_failure(names):
    for field in ("of_route", "of_tenant"):
        failure = decode_with_regions(**{field: names})
        assert isinstance(failure, Failure) and "allowedRegions" in failure.reason


def test_engine_of_a_pool_is_decoded():
    engine = {"slots": 64, "kvTokens": 1000, "stride": 9, "moves": True}
    document = {**CONFIGURATION, "services": [{"name": "e", "engine": engine}]}
    table = decode_routing_table(
        json.dumps(document).encode(), StorePosition(StoreEpoch(1), 1)
    )
    decoded_engine = table.pools["e"].engine
    assert (
        decoded_engine.slots,
        decoded_engine.cache_tokens,
        decoded_engine.chunk_tokens,
    ) == (64, 1000, 9)
    assert decoded_engine.can_fetch


@pytest.mark.parametrize(
    "change",
    [
        {"routes": [{"name": "x"}]},
        {"routes": [{**CONFIGURATION["routes"][0], "kind": "other"}]},
        {"version": "x"},
        {"services": [{}]},
        {"limits": {"idleTimeoutMs": "soon"}},
    ],
)
def test_configuration_with_one_invalid_part_is_refused(change):
    document = json.dumps({**CONFIGURATION, **change}).encode()
    assert isinstance(
        decode_routing_table(document, StorePosition(StoreEpoch(1), 1)), Failure
    )


@pytest.mark.parametrize(
    "change",
    [
        {"state": "resting"},
        {"slots": "4"},
        {"slots": 0},
        {"slots": True},
        {"service": 3},
        {"address": "nowhere"},
        {"address": "example.com:80"},
        {"zone": None},
    ],
)
def test_server_entry_with_an_invalid_field_is_refused(change):
    value = json.dumps({**SERVER_ENTRY, **change}).encode()
    assert isinstance(decode_server("i-1", value), Failure)


def test_server_entry_is_decoded():
    server = decode_server("i-1", json.dumps({**SERVER_ENTRY, "born": 5}).encode())
    assert (server.server_id, server.host, server.port) == ("i-1", "127.0.0.1", 80)
    assert server.is_ready and server.started_at_ms == 5
    draining = decode_server(
        "i", json.dumps({**SERVER_ENTRY, "state": "draining"}).encode()
    )
    assert not draining.is_ready


@given(st.binary(max_size=200))
def test_any_bytes_are_decoded_or_refused(value):
    assert isinstance(
        decode_routing_table(value, StorePosition(StoreEpoch(1), 1)),
        RoutingTable | Failure,
    )
    assert isinstance(decode_server("i", value), BackendServer | Failure)


JSON_DOCUMENTS = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from([*SERVER_ENTRY, *CONFIGURATION]), inner, max_size=4
        )
    ),
)


@given(JSON_DOCUMENTS)
def test_any_document_is_decoded_or_refused(document):
    value = json.dumps(document).encode()
    assert isinstance(
        decode_routing_table(value, StorePosition(StoreEpoch(1), 1)),
        RoutingTable | Failure,
    )
    assert isinstance(decode_server("i", value), BackendServer | Failure)


def decode_service(**figures):
    service = {**CONFIGURATION["services"][0], **figures}
    document = {**CONFIGURATION, "services": [service]}
    position = StorePosition(StoreEpoch(1), 1)
    return decode_routing_table(json.dumps(document).encode(), position)


def decode_pool(**figures):
    return decode_service(**figures).pools["desk"]


def test_figures_of_cold_servers_are_decoded():
    pool = decode_pool(coldStartS=3.0, coldPerS=13)
    assert (pool.cold_start_s, pool.cold_per_s, pool.cold_problem) == (3.0, 13.0, "")
    pool = decode_pool(coldStartS=0.0, coldPerS=0.0)
    assert (pool.cold_start_s, pool.cold_per_s, pool.cold_problem) == (0.0, 0.0, "")
    assert decode_pool().cold_per_s == 0.0


# Guards against an odd rate being read as a missing one, which does not limit the
# requests to cold servers.
@pytest.mark.parametrize(
    ("start_s", "per_s", "field"),
    [
        (-1, 13.0, "coldStartS"),
        ("soon", 13.0, "coldStartS"),
        (True, 13.0, "coldStartS"),
        (None, 13.0, "coldStartS"),
        (3.0, -5, "coldPerS"),
        (3.0, [13], "coldPerS"),
        (3.0, 0, "coldPerS"),
        (3.0, None, "coldPerS"),
        (1e300, 13.0, "coldStartS"),
        (3.0, 1e300, "coldPerS"),
    ],
)
def test_odd_figures_of_cold_servers_are_refused_by_name(start_s, per_s, field):
    failure = decode_service(coldStartS=start_s, coldPerS=per_s)
    assert isinstance(failure, Failure) and field in failure.reason


def test_cold_time_without_a_rate_is_told():
    pool = decode_pool(coldStartS=3.0)
    assert (pool.cold_start_s, pool.cold_per_s) == (3.0, 0.0) and pool.cold_problem


@pytest.mark.parametrize(("remaining_ms", "expected_s"), [(1500, 1.5), (0, 0.0)])
def test_cold_time_of_an_entry_is_decoded(remaining_ms, expected_s):
    entry = {**SERVER_ENTRY, "coldRemainingMs": remaining_ms}
    server = decode_server("a", json.dumps(entry).encode())
    without_time = decode_server("a", json.dumps(SERVER_ENTRY).encode())
    assert server.cold_remaining_s == expected_s
    assert without_time.cold_remaining_s is None and server == without_time


# Guards against an odd cold time, start or report number being read as a missing one,
# with which a cold server or one that left gets requests.
@pytest.mark.parametrize("field", ["coldRemainingMs", "born", "seq"])
@pytest.mark.parametrize("value", [None, -1, "x", "", True, [], {}])
def test_entry_with_an_odd_optional_field_is_refused_by_name(field, value):
    failure = decode_server("a", json.dumps({**SERVER_ENTRY, field: value}).encode())
    assert isinstance(failure, Failure) and field in failure.reason
