"""Selection of the processes that fetch the instance list, and of their partners."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bilberryspring.capability.instance_list import (
    Instance,
    InstanceList,
    InstanceState,
    Role,
)
from bilberryspring.process.list_partners import (
    ProcessLocation,
    choose_list_partners,
    find_fetch_turn,
)


def make_node(number, zone="z0", region="r", state=InstanceState.LIVE):
    return Instance(f"i{number}", Role.AGENT, "p", zone, region, "a:1", state)


def make_location(node):
    return ProcessLocation(node.instance_id, node.availability_zone, node.region)


def make_fleet(count, zones):
    return InstanceList(1, tuple(make_node(n, f"z{n % zones}") for n in range(count)))


def choose(node, listed, silent=()):
    return choose_list_partners(make_location(node), listed, silent)


@given(st.integers(1, 60), st.integers(1, 4), st.integers())
def test_one_process_of_each_zone_fetches_in_a_slot(count, zones, slot):
    listed = make_fleet(count, zones)
    by_zone = {}
    for node in listed.instances:
        turn = find_fetch_turn(make_location(node), listed, slot)
        by_zone.setdefault(node.availability_zone, []).append(turn)
    for turns in by_zone.values():
        assert turns.count(0) == 1
        assert turns.count(1) == min(len(turns) - 1, 1)


def test_turns_are_spread_over_all_processes():
    listed = make_fleet(20, 1)
    turns = Counter(
        node.instance_id
        for slot in range(2_000)
        for node in listed.instances
        if find_fetch_turn(make_location(node), listed, slot) == 0
    )
    assert len(turns) == 20
    assert max(turns.values()) < 2 * 2_000 / 20


@pytest.mark.parametrize("zones", [1, 2, 4])
@pytest.mark.parametrize("count", [2, 5, 40, 300])
def test_a_change_reaches_all_from_any_process(count, zones):
    listed = make_fleet(count, zones)
    edges = {node: choose(node, listed) for node in listed.instances}
    for start in listed.instances[:10]:
        reached, newly_reached = {start}, [start]
        while newly_reached:
            notified = [partner for node in newly_reached for partner in edges[node]]
            newly_reached = list(set(notified) - reached)
            reached.update(notified)
        assert len(reached) == count


def test_no_process_is_partner_of_many():
    listed = make_fleet(600, 3)
    notifications = Counter(
        p for node in listed.instances for p in choose(node, listed)
    )
    assert max(notifications.values()) <= 4


def test_unresponsive_leaving_and_remote_instances_are_skipped():
    local = [make_node(n) for n in range(4)]
    leaving = make_node(7, state=InstanceState.LEAVING)
    remote = make_node(8, region="elsewhere")
    listed = InstanceList(1, (*local, leaving, remote))
    silent = {"i1"}
    chosen = choose(local[0], listed, silent)
    assert {node.instance_id for node in chosen} == {"i2", "i3"}
    assert find_fetch_turn(make_location(leaving), listed, 3) is None
    alone = InstanceList(1, (local[0], leaving, remote))
    assert choose(local[0], alone) == []
