"""Reports that routers exchange about loads, suspicions and the server list.

Guards against outdated or malformed reports that are applied, and against traffic that
grows with the number of routers.
"""

import asyncio
import socket
import time

import pytest

from bilberryspring.capability.backend_calls import ServerLoad
from bilberryspring.capability.store_position import StorePosition
from bilberryspring.connection.load_messages import hash_name
from bilberryspring.connection.router_reports import (
    RouterLoad,
    RouterReport,
    ServerStatement,
    SnapshotEntry,
    StoreSnapshot,
    SuspectReport,
    encode_report,
)
from bilberryspring.connection.tests.stream_server import make_stream_server
from bilberryspring.identifiers import StoreEpoch
from bilberryspring.policy.quarantine import Content
from bilberryspring.process.router_peers import (
    DATAGRAM_HEADER_BYTES,
    MAX_FANOUT,
    PEER_TIMEOUT_S,
    WATCHER_COUNT,
    make_router_peers,
)
from bilberryspring.process.server_table import PeerLoad, make_server_table
from bilberryspring.request.errors import Failure
from bilberryspring.request.suspect_contents import make_suspect_contents
from bilberryspring.request.tests.relay_fixtures import make_server


class Feed:
    def __init__(self, age_s=0.0):
        self.age_s = age_s
        self.store_epoch = StoreEpoch(3)

    def confirm(self, age_s):
        self.age_s = age_s


class Node:
    """One router with its server table and peer exchange."""

    def __init__(
        self,
        name="me",
        ip="127.0.0.1",
        port=0,
        version=1,
        age_s=0.0,
        has_fast_link=True,
        read_clock=time.monotonic,
    ):
        self.servers = make_server_table()
        self.servers.put(make_server("a"))
        self.version = version
        self.feed = Feed(age_s)
        self.applied_snapshots = []
        self.suspects = make_suspect_contents()
        self.peers = make_router_peers(
            name,
            ip,
            port,
            self.servers,
            lambda: self.version,
            self.make_snapshot,
            self.feed,
            self.applied_snapshots.append,
            self.suspects,
            has_fast_link,
            read_clock,
        )

    def make_snapshot(self, with_configuration):
        position = StorePosition(self.feed.store_epoch, 1)
        entry = SnapshotEntry("op/config", b"{}", position)
        return StoreSnapshot((entry,), self.feed.age_s, self.feed.store_epoch)

    def receive_report(self, sender, ip, loads=(), peers=2, sequence=1, **fields):
        report = RouterReport(sender, 1, sequence, 1, peers, tuple(loads), **fields)
        self.peers.datagram_received(encode_report(report), (ip, 9))

    def update_loads(self):
        self.peers._update_peer_loads(time.monotonic())


def make_load(requests, **fields):
    return RouterLoad(hash_name("a"), requests, 100, 200, **fields)


def test_the_loads_of_other_routers_are_summed():
    node = Node()
    node.receive_report("x", "127.0.0.2", [make_load(3)], peers=3)
    node.receive_report("y", "127.0.0.3", [make_load(4)], peers=3)
    node.update_loads()
    peers = node.servers.records["a"].peer_load
    assert (peers.requests, peers.prompt_tokens, peers.held_tokens) == (7, 200, 400)


def test_loads_are_extrapolated_to_routers_without_a_report():
    node = Node()
    node.receive_report("x", "127.0.0.2", [make_load(3)], peers=11)
    node.update_loads()
    assert node.servers.records["a"].peer_load.requests == 30


def test_a_late_older_report_is_ignored():
    node = Node()
    node.receive_report("x", "127.0.0.2", [make_load(3)], sequence=5)
    node.receive_report("x", "127.0.0.2", [make_load(9)], sequence=4)
    node.update_loads()
    assert node.servers.records["a"].peer_load.requests == 3


def test_the_load_of_an_unresponsive_router_expires():
    node = Node()
    node.receive_report("x", "127.0.0.2", [make_load(3)])
    node.receive_report("y", "127.0.0.3", [])
    node.peers._peer_views["127.0.0.2"].report_received_s -= 60
    node.update_loads()
    assert node.servers.records["a"].peer_load.requests == 0


def test_a_server_that_another_router_suspects_is_avoided_for_a_while():
    node = Node()
    record = node.servers.records["a"]
    node.receive_report("x", "127.0.0.2", [make_load(3, is_suspected=True)])
    node.update_loads()
    assert record.is_avoided(time.monotonic())
    assert not record.is_avoided(time.monotonic() + 1.1)
    assert not record.is_suspected_locally(time.monotonic())


def test_routers_do_not_repeat_a_suspicion_that_only_others_report():
    node = Node()
    record = node.servers.records["a"]
    failed_s = time.monotonic() - 10.0
    for _ in range(3):
        record.record_failure("down", failed_s, is_down=True)
    assert not record.is_avoided(time.monotonic())
    node.receive_report("x", "127.0.0.2", [make_load(3, is_suspected=True)])
    node.update_loads()
    assert record.is_avoided(time.monotonic())
    assert not record.is_suspected_locally(time.monotonic())


def test_a_reported_suspicion_is_ignored_if_the_server_just_responded():
    node = Node()
    record = node.servers.records["a"]
    record.last_response_s = time.monotonic()
    node.receive_report("x", "127.0.0.2", [make_load(3, is_suspected=True)])
    node.update_loads()
    assert not record.is_avoided(time.monotonic())


def test_crashes_reported_by_another_router_are_recorded():
    node = Node()
    reported = SuspectReport(7, False, ((1, 0.5), (2, 0.1)), None)
    node.receive_report("x", "127.0.0.2", suspects=(reported,))
    assert isinstance(node.suspects.admit([Content(7, False)]), Failure)


def test_malformed_reports_are_ignored():
    node = Node()
    node.peers.datagram_received(b"\xff\x00noise", ("127.0.0.2", 9))
    assert node.peers.count_routers() == 1


def test_a_bounded_number_of_routers_watches_the_server_list():
    names = [f"front-{number}" for number in range(12)]
    watching = 0
    for name in names:
        node = Node(name)
        for number, other in enumerate(names):
            if other != name:
                node.receive_report(other, f"127.0.1.{number}", peers=12)
        watching += node.peers.is_watcher()
    assert watching == WATCHER_COUNT


def test_routers_with_fast_links_are_preferred_as_watchers():
    names = [f"front-{number}" for number in range(6)]
    watching = []
    for name in names:
        node = Node(name, has_fast_link=name in names[:2])
        for number, other in enumerate(names):
            if other != name:
                fast = other in names[:2]
                node.receive_report(
                    other, f"127.0.1.{number}", peers=6, has_fast_link=fast
                )
        if node.peers.is_watcher():
            watching.append(name)
    assert watching == names[:2]


def test_a_statement_of_the_server_outweighs_reports_of_few_routers():
    node = Node()
    record = node.servers.records["a"]
    node.receive_report("x", "127.0.0.2", [make_load(3)], peers=101)
    node.update_loads()
    assert record.peer_load.requests == 300
    node.servers.update_server_load(record, ServerLoad(9, 1, 4))
    assert 10 <= record.peer_load.requests < 11
    assert record.peer_load.prompt_tokens == 10_000


def test_a_statement_counts_less_as_it_ages_and_not_after_its_lifetime():
    node = Node()
    record = node.servers.records["a"]
    node.servers.update_server_load(record, ServerLoad(9, 1, 4))
    estimates = []
    for age_s in (0.0, 0.5, 1.1):
        now_s = record.statement.stated_s + age_s
        record.update_peer_load(PeerLoad(4.0), 0.5, now_s)
        estimates.append(record.peer_load.requests)
    assert 10 > estimates[0] > estimates[1] > estimates[2] == 4.0


def test_own_requests_at_the_time_of_a_statement_are_not_counted_twice():
    node = Node()
    record = node.servers.records["a"]
    now_s = time.monotonic()
    for _ in range(3):
        record.change_requests(1, now_s - 0.2)
    record.change_requests(1, now_s)
    record.heard_share = 0.001
    node.servers.add_statement(record, 10, age_s=0.1)
    assert record.peer_load.requests == pytest.approx(7, abs=0.1)
    assert record.total_requests == pytest.approx(11, abs=0.1)


def test_statements_are_passed_on_with_their_age():
    first, second, third = Node("x"), Node("y"), Node("z")
    first.servers.update_server_load(first.servers.records["a"], ServerLoad(9, 1, 4))
    for sender, receiver in ((first, second), (second, third)):
        statements = sender.peers._list_statements(time.monotonic() + 0.2)
        receiver.receive_report(
            sender.peers._instance_id, "127.0.0.2", statements=statements
        )
    statement = third.servers.records["a"].statement
    assert statement.requests == 10
    assert time.monotonic() - statement.stated_s == pytest.approx(0.4, abs=0.1)
    assert not third.peers._list_statements(time.monotonic() + 0.7)


def test_an_older_statement_that_arrives_late_is_ignored():
    node = Node()
    record = node.servers.records["a"]
    node.servers.update_server_load(record, ServerLoad(9, 1, 4))
    hash_of_a = hash_name("a")
    node.receive_report(
        "x", "127.0.0.2", statements=(ServerStatement(hash_of_a, 2, 0.5),)
    )
    assert record.statement.requests == 10


def test_a_router_without_reports_is_a_watcher():
    assert Node().peers.is_watcher()


def test_a_fresher_confirmation_of_the_same_list_is_adopted():
    node = Node(age_s=5.0)
    node.receive_report(
        "x", "127.0.0.2", servers_digest=node.servers.digest, servers_age_s=0.2
    )
    recent = node.peers._list_recent_views(time.monotonic(), 5.0)
    assert node.peers._find_fresher_peers(recent, time.monotonic()) == []
    assert node.feed.age_s < 0.5


def test_another_list_is_requested_only_if_its_confirmation_is_fresher():
    node = Node(age_s=1.0)
    node.receive_report("x", "127.0.0.2", servers_digest=5, servers_age_s=3.0)
    node.receive_report("y", "127.0.0.3", servers_digest=5, servers_age_s=0.1)
    recent = node.peers._list_recent_views(time.monotonic(), 5.0)
    fresher = node.peers._find_fresher_peers(recent, time.monotonic())
    assert [view.report.sender for view in fresher] == ["y"]


def test_a_report_goes_to_a_bounded_number_of_routers():
    node = Node()
    sent = []

    class Transport:
        def sendto(self, data, address):
            sent.append(address)

        def is_closing(self):
            return False

    node.peers._transport = Transport()
    node.peers.add_addresses([f"127.0.2.{number}" for number in range(100)])
    node.peers._send_report(time.monotonic())
    assert len(set(sent)) == len(sent) == MAX_FANOUT


def test_news_of_crashes_are_sent_within_the_byte_budget():
    node = Node()
    sent_bytes = []

    class Transport:
        def sendto(self, data, address):
            sent_bytes.append(len(data) + DATAGRAM_HEADER_BYTES)

        def is_closing(self):
            return False

    for content in range(6):
        for crash in range(8):
            node.suspects.record_crash(crash, [Content(content << 50, False)])
    node.peers._transport = Transport()
    node.peers.add_addresses([f"127.0.2.{number}" for number in range(100)])
    # News come all the time, beside the regular reports.
    begin_s = time.monotonic()
    for step in range(50):
        node.peers._read_clock = lambda step=step: begin_s + 0.1 * step
        node.peers._report_news()
        if step % 2 == 0:
            node.peers._send_report(begin_s + 0.1 * step)
    assert 5_000 * 5 <= sum(sent_bytes) <= 10_000 * 5


def find_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


@pytest.mark.parametrize("behind", ["configuration", "servers"])
async def test_a_router_that_is_behind_applies_a_snapshot(behind):
    port = find_port()
    ahead = Node("ahead", "127.0.0.1", port, version=7)
    late = Node("late", "127.0.0.2", port, version=7, age_s=9.0)
    if behind == "configuration":
        late.version = 3
    else:
        ahead.servers.put(make_server("b"))
    tasks = []
    for node in (ahead, late):
        await node.peers.start()
        tasks.append(asyncio.create_task(node.peers.run()))
    ahead.peers.add_addresses(["127.0.0.2"])
    async with asyncio.timeout(3):
        while not late.applied_snapshots:
            await asyncio.sleep(0.05)
    assert late.applied_snapshots[0].entries[0].key == "op/config"
    assert not ahead.applied_snapshots
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for node in (ahead, late):
        node.peers.close()


async def test_reports_continue_while_a_snapshot_request_is_open():
    port = find_port()
    node = Node(ip="127.0.0.1", port=port, age_s=9.0)
    silent = make_stream_server(lambda reader, _: reader.read())
    await silent.start("127.0.0.2", port)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as listener:
        listener.bind(("127.0.0.2", port))
        listener.setblocking(False)
        await node.peers.start()
        node.receive_report("x", "127.0.0.2", servers_digest=5, servers_age_s=0.1)
        running = asyncio.create_task(node.peers.run())
        await asyncio.sleep(0.9)
        reports = 0
        try:
            while listener.recv(2000):
                reports += 1
        except BlockingIOError:
            pass
        running.cancel()
        node.peers.close()
    await silent.close()
    assert reports >= 2
    assert not node.applied_snapshots


@pytest.mark.parametrize("age_s", [-1.0, 0.0, 3.0])
def test_number_of_routers_that_another_was_told_keeps_its_age(age_s):
    now_s = 100.0
    node = Node(read_clock=lambda: now_s)
    node.receive_report("x", "127.0.0.2", peers=9, router_count_age_s=age_s)
    assert node.peers.count_routers() == 9
    now_s += PEER_TIMEOUT_S - max(age_s, 0.0) - 0.1
    assert node.peers.count_routers() == 9
    now_s += 0.2
    assert node.peers.count_routers() <= 2
