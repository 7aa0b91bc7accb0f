"""Capacity figures for a target size, and the message sizes that they assume."""

from dataclasses import asdict, replace

import pytest

from bilberryspring.connection.frames import encode_frame
from bilberryspring.connection.instance_list_messages import encode_list_state
from bilberryspring.connection.load_messages import encode_load_message
from bilberryspring.connection.messages import Call, Ping, Reply
from bilberryspring.load import capacity, capacity_lists, measure_commands
from bilberryspring.load.capacity import (
    Target,
    derive_figures,
    derive_rollout_figures,
    format_figures,
)
from bilberryspring.load.slope_cases import (
    make_instance_list_document,
    make_large_configuration,
)
from bilberryspring.load.slope_cases_exchange import make_load_message
from bilberryspring.load.slope_cases_lists import make_list_state
from bilberryspring.load.slope_cases_versions import make_small_change
from bilberryspring.load.slopes import CPU_CASES, MEMORY_CASES, Slope
from bilberryspring.version.delta import compare_configurations, encode_delta
from bilberryspring.version.updates import Announcement, encode_announcement

assert measure_commands.SLOPE_CASE_MODULES


@pytest.fixture
def slopes():
    names = [*MEMORY_CASES, *CPU_CASES, "connection, both ends"]
    return {name: Slope(name, "i", "u", ((1, 1.0),), 10.0, 100.0) for name in names}


def find_total(figures, role, resource):
    return sum(f.value for f in figures if (f.role, f.resource) == (role, resource))


def test_figures_grow_with_the_target(slopes):
    usual = derive_figures(slopes, Target())
    twice = replace(Target(), requests_per_s=8_000.0, tokens_per_s=3e6)
    larger = derive_figures(slopes, twice)
    for role in ("router", "agent"):
        for resource in ("memory", "control bytes/s", "control CPU"):
            total = find_total(usual, role, resource)
            assert 0 < total <= find_total(larger, role, resource)
    page = format_figures(usual)
    assert page.count("**total**") == page.count("**limit**") == 3
    assert "256 MB" in page


def test_fleet_size_does_not_change_exchange_traffic(slopes):
    sizes = (Target(), replace(Target(), routers=800, agents=1_760))
    found = [
        [
            figure
            for figure in derive_figures(slopes, size)
            if figure.mechanism == "load exchange"
        ]
        for size in sizes
    ]
    assert [asdict(f) for f in found[0]] == [asdict(f) for f in found[1]]


def test_rollout_at_target_size_stays_within_byte_budget(slopes):
    figures = derive_rollout_figures(slopes, Target())
    assert {figure.role for figure in figures} == {"router", "agent"}
    for figure in figures:
        limit = capacity.LIMITS[figure.resource]
        assert figure.resource != "control bytes/s" or 0 < figure.value < limit / 2


def test_message_sizes_match_the_codecs():
    base = make_large_configuration(3_400)
    delta = compare_configurations(base, 1, make_small_change(base), 2)
    announcement = Announcement(2_600, history_id=2 * "1234567890")
    call = Call(7, "load.exchange", b"x" * 200)
    state_bytes = len(encode_list_state(make_list_state(1_280, 0)))
    changed_bytes = len(encode_list_state(make_list_state(1_280, 2)))
    lengths = {
        "CALL_OVERHEAD_BYTES": len(encode_frame(call)) - 200,
        "REPLY_OVERHEAD_BYTES": len(encode_frame(Reply(7, b"x" * 248))) - 248,
        "EXCHANGE_REQUEST_BYTES": len(encode_load_message(make_load_message(1))),
        "ROUTER_REQUEST_BYTES": len(encode_load_message(make_load_message(0))),
        "EXCHANGE_REPLY_BYTES": len(encode_load_message(make_load_message(7))),
        "PING_BYTES": len(encode_frame(Ping(7))),
        "DELTA_BYTES": len(encode_delta(delta)),
        "ANNOUNCEMENT_BYTES": len(encode_announcement(announcement)),
    }
    for name, length in lengths.items():
        assert getattr(capacity, name) == pytest.approx(length, rel=0.1), name
    entry_bytes = len(str(make_instance_list_document(1_280)).encode())
    assert pytest.approx(entry_bytes, rel=0.1) == capacity_lists.INSTANCE_LIST_BYTES
    lists = {
        "LIST_STATE_BYTES": state_bytes,
        "LIST_CHANGE_BYTES": (changed_bytes - state_bytes) / 2,
        "CALL_BYTES": lengths["CALL_OVERHEAD_BYTES"] + lengths["REPLY_OVERHEAD_BYTES"],
    }
    for name, length in lists.items():
        assert getattr(capacity_lists, name) == pytest.approx(length, rel=0.1), name
