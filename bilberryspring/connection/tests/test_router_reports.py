"""Encoding of the reports and snapshots that routers exchange."""

import time
from dataclasses import replace

from hypothesis import example, given
from hypothesis import strategies as st

from bilberryspring.capability.store_position import StorePosition
from bilberryspring.connection import router_reports
from bilberryspring.connection.cold_messages import ColdReport
from bilberryspring.connection.router_reports import (
    MAX_COLD_SERVERS,
    MAX_CRASHES_PER_SUSPECT,
    MAX_LEAVINGS,
    MAX_LOADS,
    MAX_REPORT_BYTES,
    MAX_STATEMENTS,
    MAX_SUSPECTS,
    LeavingReport,
    RouterLoad,
    RouterReport,
    ServerStatement,
    SnapshotEntry,
    StoreSnapshot,
    SuspectReport,
    decode_report,
    decode_snapshot,
    encode_report,
    encode_snapshot,
)
from bilberryspring.identifiers import StoreEpoch
from bilberryspring.request.errors import Failure


def make_report(loads):
    return RouterReport("front-1", 1_700_000_000_000, 7, 12, 5, tuple(loads))


def test_reports_round_trip():
    report = replace(
        make_report([RouterLoad(2**63, 3, 4000, 5000, True)]),
        statements=(ServerStatement(2**62, 17, 0.25),),
        suspects=(
            SuspectReport(2**63 + 1, False, ((2**31, 0.25), (7, 600.0)), 0.0),
            SuspectReport(5, True, ((9, 0.001),), None),
        ),
        store_epoch=StoreEpoch(0),
        leavings=(
            LeavingReport(2**63 + 5, 1_700_000_000_000, 7, StoreEpoch(0), 0.5),
            LeavingReport(3, 0, 0, None, 29.0),
        ),
        cold_servers=(
            ColdReport(2**63 + 7, 1_700_000_000_000, 12.5, 3.0, 0.25, 8, 2**31, True),
            ColdReport(3, 0, 1e6, 0.0, 29.0),
        ),
    )
    assert decode_report(encode_report(report)) == report


def test_report_of_the_former_build_decodes_without_leavings():
    data = encode_report(make_report([RouterLoad(1, 2, 3, 4)]))
    message = router_reports._schema.RouterReport.from_bytes_packed(data)
    former = message.as_builder().to_dict()
    del former["leavings"]
    message = router_reports._schema.RouterReport.new_message(**former)
    assert decode_report(message.to_bytes_packed()).leavings == ()


def test_report_with_too_many_loads_fits_into_one_datagram():
    loads = [
        RouterLoad(2**64 - 1 - i, 60_000, 2**31, 2**31, True)
        for i in range(MAX_LOADS * 2)
    ]
    statements = tuple(
        ServerStatement(2**64 - 1 - i, 60_000, 60.0) for i in range(MAX_STATEMENTS * 2)
    )
    crashes = tuple((2**32 - 1 - i, 1e6) for i in range(MAX_CRASHES_PER_SUSPECT * 2))
    suspects = tuple(
        SuspectReport(2**64 - 1 - i, True, crashes, 1e6)
        for i in range(MAX_SUSPECTS * 2)
    )
    report = replace(
        make_report(loads),
        statements=statements,
        suspects=suspects,
        store_epoch=StoreEpoch(2**63),
        leavings=tuple(
            LeavingReport(2**64 - 1 - i, 2**70, 2**32 - 1, StoreEpoch(2**63), 1e6)
            for i in range(MAX_LEAVINGS * 2)
        ),
    )
    assert len(encode_report(report)) <= MAX_REPORT_BYTES
    cold = ColdReport(
        2**64 - 1, 2**64 - 1, 1e9 / 3, 299.9, 4e6, 2**32 - 1, 2**32 - 1, True
    )
    report = replace(report, cold_servers=(cold,) * MAX_COLD_SERVERS * 2)
    assert len(encode_report(report)) <= MAX_REPORT_BYTES


def test_snapshots_round_trip():
    entries = (SnapshotEntry("op/config", b"{}", StorePosition(StoreEpoch(3), 9)),)
    snapshot = StoreSnapshot(entries, 1.5, StoreEpoch(4))
    assert decode_snapshot(encode_snapshot(snapshot)) == snapshot


@given(st.binary(max_size=300))
def test_arbitrary_bytes_decode_to_a_message_or_a_failure(data):
    assert isinstance(decode_report(data), RouterReport | Failure)
    assert isinstance(decode_snapshot(data), StoreSnapshot | Failure)


@given(st.integers(0, 200), st.binary(min_size=1, max_size=8))
@example(offset=35, noise=b"\x0b")
def test_corrupted_report_decodes_to_a_report_or_a_failure(offset, noise):
    data = bytearray(encode_report(make_report([RouterLoad(1, 2, 3, 4)])))
    data[offset : offset + len(noise)] = noise
    assert isinstance(decode_report(bytes(data)), RouterReport | Failure)


def test_list_lengths_are_checked_before_an_entry_is_read():
    message = router_reports._schema.RouterReport.new_message(loads=[{}] * 40_000)
    data = message.to_bytes_packed()
    assert len(data) <= MAX_REPORT_BYTES
    begun_s = time.perf_counter()
    decoded = decode_report(data)
    assert time.perf_counter() - begun_s < 0.02
    assert isinstance(decoded, Failure)
    assert "40000 loads" in decoded.reason
