"""Selection of the route of a request, and which routes permit a retry."""

from bilberryspring.capability.routing import (
    CallerLimits,
    DirectRoute,
    ExecutionRule,
    find_route,
    make_routing_table,
)
from bilberryspring.capability.store_position import StorePosition
from bilberryspring.identifiers import StoreEpoch


def make_route(name, host="a.example", prefix="/a/", **changes):
    values = {
        "name": name,
        "host": host,
        "path_prefix": prefix,
        "rule": ExecutionRule.ONCE,
        "pools": (("desk", 1.0),),
        "max_servers": 1,
        "timeout_s": 1.0,
        "target_s": 0.4,
        "pause_target_s": 0.0,
        "rank_order": 2,
        "is_public": False,
        "is_resumable": False,
    }
    return DirectRoute(**{**values, **changes})


def make_table(*routes):
    return make_routing_table(
        1, StorePosition(StoreEpoch(1), 1), list(routes), [], None, CallerLimits()
    )


def test_the_route_with_the_longest_matching_prefix_of_the_host_is_found():
    table = make_table(
        make_route("short"),
        make_route("long", prefix="/a/b/"),
        make_route("other", host="b.example"),
    )
    assert find_route(table, "a.example", "/a/b/c").name == "long"
    assert find_route(table, "A.example:8080", "/a/c").name == "short"
    assert find_route(table, "b.example", "/a/b/c").name == "other"


def test_a_path_outside_every_prefix_or_an_unknown_host_has_no_route():
    table = make_table(make_route("only"))
    assert find_route(table, "a.example", "/ab") is None
    assert find_route(table, "c.example", "/a/") is None


def test_only_repeatable_requests_and_resumable_streams_may_be_retried():
    assert make_route("r", rule=ExecutionRule.REPEATABLE).is_repeatable
    assert make_route("r", rule=ExecutionRule.STREAM, is_resumable=True).is_repeatable
    assert not make_route("r", rule=ExecutionRule.STREAM).is_repeatable
    # Here the rule is the default of make_route, ExecutionRule.ONCE.
    assert not make_route("r", is_resumable=True).is_repeatable
