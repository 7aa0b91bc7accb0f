"""Suspicion of instances that do not respond.

Guards against the exclusion of an instance after a single observation, and against the
immediate use of a flapping instance that responds again.
"""

import pytest

from bilberryspring.capability.instance_list import (
    Instance,
    InstanceList,
    InstanceState,
    Role,
)
from bilberryspring.process import suspicion
from bilberryspring.process.membership import Members


class Clock:
    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


def make_list(count, leaving=()):
    return InstanceList(
        count,
        tuple(
            Instance(
                f"i{n}",
                Role.AGENT,
                "p",
                "z",
                "r",
                "127.0.0.1:1",
                InstanceState.LEAVING if n in leaving else InstanceState.LIVE,
            )
            for n in range(count)
        ),
    )


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def members(clock):
    made = Members("router-1", clock)
    made.adopt(make_list(5))
    return made


def list_usable_ids(members):
    return [node.instance_id for node in members.instances("p")]


def fail_twice(members, clock, name):
    members.report_refused(name)
    clock.now_s += 2 * suspicion.OBSERVATION_SPACING_S
    members.report_refused(name)


@pytest.mark.parametrize(
    ("observers", "spacing_s", "excluded"),
    [
        (["", ""], 0.0, False),
        (["", ""], 2 * suspicion.OBSERVATION_SPACING_S, True),
        (["", ""], suspicion.OBSERVATION_WINDOW_S + 1, False),
        (["router-2", "router-2"], 1.0, False),
        (["router-2", "router-3"], 0.0, True),
        (["", "router-2"], 0.0, True),
    ],
)
def test_suspicion_needs_two_observers_or_spaced_observations(
    members, clock, observers, spacing_s, excluded
):
    for observer in observers:
        members.report_silent("i1", observer)
        clock.now_s += spacing_s
    assert ("i1" not in list_usable_ids(members)) is excluded


def test_a_first_suspicion_ends_with_a_response_or_with_time(members, clock):
    fail_twice(members, clock, "i1")
    members.report_alive("i1")
    assert "i1" in list_usable_ids(members)
    fail_twice(members, clock, "i2")
    assert "i2" not in list_usable_ids(members)
    clock.now_s += suspicion.SUSPICION_S
    assert "i2" in list_usable_ids(members)


def test_a_flapping_instance_stays_suspected_in_spite_of_responses(members, clock):
    for _ in range(3):
        fail_twice(members, clock, "i1")
        members.report_alive("i1")
    assert "i1" not in list_usable_ids(members)
    clock.now_s += suspicion.MAX_SUSPICION_S
    assert "i1" in list_usable_ids(members)


def test_only_a_suspect_that_refuses_this_process_is_down(members, clock):
    members.report_refused("i1")
    assert not members.is_down("i1")
    members.report_refused("i1", observer="router-2")
    assert members.is_down("i1")
    members.report_silent("i1")
    assert not members.is_down("i1")
    for observer in ("router-2", "router-3"):
        members.report_refused("i2", observer=observer)
    assert members.is_suspected("i2") and not members.is_down("i2")
    fail_twice(members, clock, "i3")
    members.report_alive("i3")
    assert not members.is_down("i3")


def test_a_flapping_instance_that_responds_again_is_held_back(members, clock):
    for _ in range(2):
        fail_twice(members, clock, "i1")
        assert members.list_held_back("p") == []
        clock.now_s += 1.0
        members.report_alive("i1")
    assert "i1" not in list_usable_ids(members)
    assert [node.instance_id for node in members.list_held_back("p")] == ["i1"]
    members.report_refused("i1")
    assert members.list_held_back("p") == []
    clock.now_s += suspicion.MAX_SUSPICION_S
    assert "i1" in list_usable_ids(members) and members.list_held_back("p") == []


def test_suspicion_of_most_of_a_pool_is_ignored(members, clock):
    for name in ["i0", "i1", "i2"]:
        fail_twice(members, clock, name)
    assert len(list_usable_ids(members)) == 5


def make_regions(own, other):
    sizes = {"r": own, "lost": other}
    nodes = [
        Instance(f"{region}{n}", Role.AGENT, "p", "z", region, "127.0.0.1:1")
        for region, size in sizes.items()
        for n in range(size)
    ]
    router = Instance("router-1", Role.ROUTER, "", "z", "r", "127.0.0.1:1")
    return InstanceList(1, (router, *nodes))


@pytest.mark.parametrize(
    ("own", "other", "expected"),
    [(2, 3, ["r0", "r1"]), (0, 2, ["lost0", "lost1"])],
    ids=["lost", "no-other"],
)
def test_an_unreachable_region_is_not_used_whatever_its_size(
    members, clock, own, other, expected
):
    members.adopt(make_regions(own, other))
    for number in range(other):
        fail_twice(members, clock, f"lost{number}")
    assert list_usable_ids(members) == expected


def test_a_leaving_notice_outlasts_responses_and_the_lagging_list(members, clock):
    members.report_leaving("i1")
    members.report_alive("i1")
    members.adopt(make_list(5))
    assert "i1" not in list_usable_ids(members)
    members.report_serving("i1", clock.now_s - 1.0)
    assert "i1" not in list_usable_ids(members)
    members.report_serving("i1", clock.now_s + 1.0)
    assert "i1" in list_usable_ids(members)
    members.adopt(make_list(5, leaving=[1]))
    assert "i1" not in list_usable_ids(members)
