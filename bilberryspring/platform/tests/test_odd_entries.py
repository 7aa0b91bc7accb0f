"""Entries of the store that nobody can read, beside sound ones.

The sound entries hold, one line names the odd one, and other routers agree.
"""

import json

import pytest

from bilberryspring.capability.store_position import StorePosition
from bilberryspring.connection.router_reports import (
    SnapshotEntry,
    StoreSnapshot,
    decode_snapshot,
    encode_snapshot,
)
from bilberryspring.identifiers import StoreEpoch
from bilberryspring.platform import server_list_watcher
from bilberryspring.platform.document_decoders import (
    decode_server,
)
from bilberryspring.platform.metadata_messages import (
    StoreItem,
    StoreListing,
)
from bilberryspring.platform.server_list_watcher import ServerListWatcher
from bilberryspring.platform.tests.platform_standin import ServerStandin
from bilberryspring.process.server_table import make_server_table
from bilberryspring.request.errors import Failure

POSITION = StorePosition(StoreEpoch(1), 9)
SERVER_ENTRY = {**ServerStandin().make_entry(), "address": "127.0.0.1:80"}


def make_odd_server(**changes):
    return json.dumps({**SERVER_ENTRY, **changes}).encode()


ODD_SERVERS = {
    "nested": b"[" * 100_000,
    "nested_member": b'{"service":' + b'{"a":' * 100_000,
    "long_number": make_odd_server().replace(
        b'"slots": 8', b'"slots": ' + b"9" * 10**4
    ),
    "large_number": make_odd_server(slots=10**400),
    "infinite_number": make_odd_server().replace(b'"slots": 8', b'"slots": 1e999'),
    "not_a_number": make_odd_server(slots=float("nan")),
    "truth": make_odd_server(slots=True),
    "port_out_of_range": make_odd_server(address="127.0.0.1:99999"),
    "port_zero": make_odd_server(address="127.0.0.1:0"),
    "host_name": make_odd_server(address="example.com:80"),
    "scope": make_odd_server(address="[::1%\x00]:80"),
    "lone_surrogate": make_odd_server(zone="\ud800"),
    "repeated_member": make_odd_server()[:-1] + b', "slots": 9}',
    "large": make_odd_server(note="x" * 3_000_000),
    "list": b"[1]",
    "empty": b"",
    "bytes": b"\xff\xfe{",
    "unhashable_state": make_odd_server(state=[]),
}


def make_watcher(monkeypatch):
    lines = []
    monkeypatch.setattr(
        server_list_watcher,
        "log_event",
        lambda event, **fields: lines.append((event, fields)),
    )
    return ServerListWatcher(None, make_server_table(), lambda: None, 2.0), lines


def make_listing(odd):
    values = {"a": make_odd_server(), "b": odd, "c": make_odd_server()}
    return StoreListing(
        tuple(StoreItem(f"servers/{k}", v, POSITION) for k, v in values.items()),
        POSITION,
    )


@pytest.mark.parametrize("odd", ODD_SERVERS.values(), ids=ODD_SERVERS)
def test_odd_entry_is_named_once_and_hides_no_sound_server(monkeypatch, odd):
    watcher, lines = make_watcher(monkeypatch)
    for _ in range(3):
        watcher._record_availability(True)
        watcher._apply_listing(make_listing(odd))
    assert set(watcher._servers.records) == {"a", "c"}
    (line,) = lines
    assert line[0] == "update_refused" and "server 'b'" in line[1]["reason"]
    assert len(line[1]["reason"]) < 400 and line[1]["reason"].isascii()


def test_entry_that_becomes_odd_again_is_named_again(monkeypatch):
    watcher, lines = make_watcher(monkeypatch)
    for odd in (b"{", b"{", make_odd_server(), b"{"):
        watcher._apply_listing(make_listing(odd))
    assert len(lines) == 2 and set(watcher._servers.records) == {"a", "c"}


@pytest.mark.parametrize("odd", ODD_SERVERS.values(), ids=ODD_SERVERS)
def test_odd_entry_reaches_no_other_router_and_all_agree(monkeypatch, odd):
    watcher, _ = make_watcher(monkeypatch)
    watcher._record_availability(True)
    watcher._apply_listing(make_listing(odd))
    entries = tuple(watcher.entries.values())
    snapshot = decode_snapshot(encode_snapshot(StoreSnapshot(entries, 0.1)))
    # Routers of the former build refuse an empty value as well.
    assert [entry.value for entry in snapshot.entries if entry.key == "servers/b"] in (
        [[b""], [odd]] if odd == b"" else [[b""]]
    )
    other, _ = make_watcher(monkeypatch)
    other.apply_peer_entries(snapshot.entries, snapshot.servers_age_s)
    assert other._servers.digest == watcher._servers.digest
    assert set(other._servers.records) == {"a", "c"}


@pytest.mark.parametrize("odd", ODD_SERVERS.values(), ids=ODD_SERVERS)
def test_odd_entry_of_a_former_build_s_snapshot_hides_no_server(monkeypatch, odd):
    watcher, lines = make_watcher(monkeypatch)
    entries = [
        SnapshotEntry(item.key, item.value, POSITION)
        for item in make_listing(odd).items
    ]
    watcher.apply_peer_entries(entries, 0.1)
    assert set(watcher._servers.records) == {"a", "c"} and len(lines) == 1


@pytest.mark.parametrize("key", ["servers/\ud800", "\udfff"])
def test_server_id_that_cannot_be_encoded_is_refused(key):
    assert isinstance(decode_server(key, make_odd_server()), Failure)


def test_sound_entry_is_read():
    assert not isinstance(decode_server("a", make_odd_server()), Failure)
