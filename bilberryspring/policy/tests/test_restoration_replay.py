"""Replays of fleets whose metadata store comes back from a copy.

Guards against requests to servers that left in the lost seconds, against sound servers
that stay out, and against routers that keep different lists.
"""

import math
import tracemalloc

import pytest

from bilberryspring.capability.store_position import StorePosition
from bilberryspring.connection.router_reports import SnapshotEntry
from bilberryspring.identifiers import StoreEpoch
from bilberryspring.platform.server_list_watcher import ServerListWatcher
from bilberryspring.policy.quarantine import Content, CrashHash
from bilberryspring.policy.tests.restoration_replay import (
    LAPSE_S,
    RESTORED_S,
    RestorationFleet,
    make_entry,
    replay_restoration,
)
from bilberryspring.process.server_table import make_server_table
from bilberryspring.request.suspect_contents import make_suspect_contents

FLEETS = {
    "5": RestorationFleet(5, 6),
    "5, many leave": RestorationFleet(5, 30, draining=10, removed=10, joining=3),
    "5, all without the store": RestorationFleet(5, 6, storeless=5, isolated=0),
    "68": RestorationFleet(
        68, 30, draining=4, removed=3, joining=3, storeless=5, isolated=5
    ),
    # Few servers keep the snapshots, and so the replay, small.
    "404": RestorationFleet(
        404, 14, draining=3, removed=3, joining=2, storeless=30, isolated=20
    ),
}
# Bounds of the rules.
MAX_BYTES_PER_S = 10_000
# Routers learn what happened within this time, as in the replays of crashes.
MAX_SPREAD_S = 2.0
# A change is in force within this time.
MAX_RETURN_S = 3.0
# Servers or contents that a router sees in its life, and memory for what it keeps.
SEEN = 10_000
MAX_KEPT_BYTES = 16_000_000


@pytest.mark.parametrize(
    "size, seed",
    [
        ("5", 1),
        ("5", 23),
        ("5", 30),
        ("5, many leave", 8),
        ("5, all without the store", 4),
        ("5, all without the store", 16),
        ("68", 1),
        ("404", 1),
    ],
)
def test_servers_that_left_in_lost_seconds_get_no_requests(size, seed):
    result = replay_restoration(FLEETS[size], seed)
    assert result.late_s == {}
    assert max(result.unaware_s.values(), default=0.0) <= MAX_SPREAD_S
    assert max(result.missing_s.values(), default=0.0) <= MAX_RETURN_S
    assert all(ready == result.sound for ready in result.ready)
    assert result.agreed_s <= RESTORED_S + LAPSE_S + MAX_SPREAD_S
    assert result.worst_bytes_per_s <= MAX_BYTES_PER_S


@pytest.fixture
def count_kept_bytes():
    tracemalloc.start()
    yield lambda: tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()


def test_ten_thousand_servers_of_many_histories_take_bounded_memory(count_kept_bytes):
    servers = make_server_table()
    watcher = ServerListWatcher(None, servers, lambda: None, 2.0)
    listed = 100
    for begin in range(0, SEEN, listed):
        epoch = StoreEpoch(begin // listed)
        entries = [
            SnapshotEntry(
                f"servers/s{number}",
                make_entry("ready", number),
                StorePosition(epoch, number),
            )
            for number in range(begin, begin + listed)
        ]
        watcher.apply_peer_entries(entries, 0.0, epoch)
        servers.update_peer_loads({}, 1.0)
        watcher.remove_expired(math.inf)
        assert f"s{begin}" in servers.records
    assert len(watcher.entries) == len(servers.records) == listed
    assert count_kept_bytes() <= MAX_KEPT_BYTES


def test_crashes_of_ten_thousand_contents_take_bounded_memory(count_kept_bytes):
    suspects = make_suspect_contents()
    for number in range(SEEN):
        contents = [Content(number, False), Content(number, True)]
        suspects.record_crash(CrashHash(number), contents)
        suspects.record_answer([Content(SEEN + number, False)])
    assert count_kept_bytes() <= MAX_KEPT_BYTES
