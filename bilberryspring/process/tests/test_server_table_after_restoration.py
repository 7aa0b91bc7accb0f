"""Servers whose entries differ between two histories of the metadata store.

Guards against a server that stays wrong at a router without end.
"""

from dataclasses import replace

from bilberryspring.identifiers import StoreEpoch
from bilberryspring.process.server_table import make_server_table
from bilberryspring.request.tests.relay_fixtures import make_server

FORMER, PRESENT = StoreEpoch(1), StoreEpoch(2)


def make_started_server(started_at_ms, port, number):
    return replace(
        make_server("a"),
        started_at_ms=started_at_ms,
        port=port,
        report_number=number,
        is_ready=True,
    )


def test_server_that_restarted_with_an_earlier_clock_is_used_after_a_restoration():
    servers = make_server_table()
    servers.put(make_started_server(2000, 7001, 9), FORMER)
    # The copy may hold the entry of an earlier start.
    servers.put(make_started_server(1000, 7000, 4), PRESENT)
    assert servers.records["a"].server.port == 7001
    # Whatever is written in the new history is of a server that runs.
    for number in range(1, 4):
        servers.put(make_started_server(1500, 7002, number), PRESENT)
    assert servers.records["a"].server.port == 7002


def test_unlisted_server_that_states_that_it_leaves_gets_no_new_requests():
    servers = make_server_table()
    server = make_started_server(2000, 7001, 9)
    servers.put(server, FORMER)
    record = servers.records["a"]
    servers.mark_unlisted(server.server_id)
    servers.record_statement_of_leaving(record)
    assert not servers.list_ready(server.pool)
