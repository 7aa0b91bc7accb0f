"""Addresses of routers that are none, as another writer may leave them in the store."""

import pytest

from bilberryspring.process import router_peers
from bilberryspring.process.tests.test_router_peers import Node

ODD_ADDRESSES = [
    "",
    "\ufffd",
    "a" * 100,
    "a..b",
    "example.com",
    "127.0.0.1:80",
    "::1%\ufffd",
    "127.0.0.1\x00",
    "0.0.0.0",
    "224.0.0.1",
    "9" * 5_000,
]


@pytest.mark.parametrize("odd", ODD_ADDRESSES)
async def test_odd_address_is_named_once_and_ends_no_reports(monkeypatch, odd):
    lines = []
    monkeypatch.setattr(
        router_peers, "log_event", lambda event, **fields: lines.append(fields)
    )
    node = Node()
    await node.peers.start()
    try:
        for _ in range(3):
            node.peers.add_addresses([odd, "127.0.0.2"])
        node.peers._send_report(node.peers._read_clock())
        assert set(node.peers._address_added_s) == {"127.0.0.2"}
        assert not node.peers._transport.is_closing()
        (line,) = lines
        assert len(line["reason"]) < 400
    finally:
        node.peers.close()


@pytest.mark.parametrize("odd", ["\ufffd", "a..b", "::1%\ufffd", "127.0.0.1\x00"])
async def test_reports_are_sent_after_an_odd_address(odd):
    # An exception other than OSError in sendto closes the transport.
    node = Node()
    await node.peers.start()
    try:
        node.peers.add_addresses([odd])
        node.peers._send_report(node.peers._read_clock())
        assert not node.peers._transport.is_closing()
    finally:
        node.peers.close()
