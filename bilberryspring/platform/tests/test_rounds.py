"""Days of the operators' benchmark, and decoding of their reports."""

import json
import stat

import pytest

from bilberryspring.platform.rounds import (
    DayResult,
    decode_report,
    format_table,
    run_day,
)

REPORT = {
    "G": 0.5,
    "served": 0.9,
    "refused": 0.0,
    "failed": 0.1,
    "fault": None,
    "short": [],
    "breaks": {"DRAIN": 2},
    "classes": [{"name": "a", "worth": 0.7}],
    "nodes": [{"cpu_mean": 0.1, "mem_peak_mb": 24.0}],
}


def write_bench_script(tmp_path, body):
    bench = tmp_path / "bench"
    bench.write_text(f"#!/bin/sh\n{body}\n")
    bench.chmod(bench.stat().st_mode | stat.S_IXUSR)
    return bench


def run_quiet_day(tmp_path, bench, seed=""):
    return run_day(bench, tmp_path / "s", tmp_path, tmp_path, "quiet", seed, "tree")


def test_report_is_decoded_into_a_day_result():
    day = decode_report("tree", "quiet", "", REPORT)
    assert (day.worth, day.rules, day.by_kind) == (0.5, {"DRAIN": 2}, {"a": 0.7})
    assert "DRAIN 2" in format_table([day])
    assert "mean worth 0.500" in format_table([day])


def test_report_without_a_field_raises_key_error():
    with pytest.raises(KeyError):
        decode_report("tree", "quiet", "", {})


@pytest.mark.parametrize("breaks", [{}, {"LIMIT": 1}])
def test_output_of_a_day_is_kept_only_if_a_rule_was_broken(tmp_path, breaks):
    report = json.dumps({**REPORT, "breaks": breaks})
    bench = write_bench_script(tmp_path, f"echo said; echo '{report}' > $5")
    assert isinstance(run_quiet_day(tmp_path, bench), DayResult)
    assert (tmp_path / "tree-quiet.log").exists() == bool(breaks)


def test_day_without_a_report_returns_a_message_and_keeps_its_output(tmp_path):
    bench = write_bench_script(tmp_path, "echo broken; exit 3")
    message = run_quiet_day(tmp_path, bench, seed="7")
    assert "no report" in message
    assert (tmp_path / "tree-quiet-7.log").read_text() == "broken\n"
