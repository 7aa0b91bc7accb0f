"""Choice of an engine to fetch cached parts from, alone and in whole fleets."""

from dataclasses import replace

import pytest

from bilberryspring.policy.cached_parts import PartHolder, choose_fetch_source
from bilberryspring.policy.tests import fleet_replay
from bilberryspring.policy.tests.fleet_replay import CHAT_KINDS, Fleet, replay_fleet
from bilberryspring.process.cached_parts import CachedParts

# Chats with long shared parts, many of which are read off their homes, on engines to
# which others are added before the measurement.
BUSY_CHATS = Fleet(
    servers=6,
    slots=16,
    queued=8,
    is_engine=True,
    deadline_s=8.0,
    chat_kinds=tuple(replace(kind, chats=kind.chats // 6) for kind in CHAT_KINDS),
    arrivals_per_s=175.0,
    joining=(4.0, 2),
)


def test_longest_prefix_of_a_usable_holder_is_fetched():
    holders = [PartHolder("a", 500), PartHolder("b", 9500), PartHolder("c", 9500)]
    assert choose_fetch_source(holders).server_id == "b"
    avoided = [replace(each, is_usable=each.tokens < 600) for each in holders]
    assert choose_fetch_source(avoided).server_id == "a"
    assert choose_fetch_source([]) is None


@pytest.mark.parametrize("routers", [5, 30, 68])
def test_parts_that_another_engine_holds_are_fetched(routers, monkeypatch):
    fleet = replace(BUSY_CHATS, routers=routers)
    sharing = replay_fleet(fleet, 1, 3.0)
    monkeypatch.setattr(CachedParts, "record_response", lambda *_: None)
    guessing = replay_fleet(fleet, 1, 3.0)
    print(
        "XX",
        routers,
        *[
            (
                r.reread_tokens,
                r.fetched_tokens,
                r.report_bytes_per_s,
                len(r.all.refused_after_s),
            )
            for r in (sharing, guessing)
        ],
    )
    assert sharing.reread_tokens < 0.5 * guessing.reread_tokens
    assert sharing.report_bytes_per_s < 9_000
    assert not sharing.all.refused_after_s


def test_requests_are_answered_where_no_report_arrives(monkeypatch):
    monkeypatch.setattr(fleet_replay._Transport, "sendto", lambda *_: None)
    result = replay_fleet(replace(BUSY_CHATS, routers=5, arrivals_per_s=120.0), 1, 2.0)
    assert len(result.all.response_s) == result.all.total > 150
