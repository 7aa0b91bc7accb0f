"""Timeline of a request and the cause of its failure, read from log lines."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bilberryspring.process.logs import format_pairs
from bilberryspring.process.request_timeline import (
    build_request_timeline,
    parse_log_line,
)
from bilberryspring.process.tests.test_operator import run, write

LINE_PREFIX = "time=2026-12-04T08:00:{:06.3f}+00:00 level=INFO instance={} "


def line(at_s, instance, event, **fields):
    return LINE_PREFIX.format(at_s, instance) + format_pairs({"event": event, **fields})


REFUSED = [
    line(1.0, "router-1", "try_started", request_id="a", to="agent-1", attempt=1),
    line(1.1, "agent-1", "request_refused", request_id="a", attempt=1, reason="bound"),
    line(1.2, "router-1", "try_failed", request_id="a", attempt=1, kind="load_bound"),
    line(1.3, "router-1", "try_started", request_id="a", to="agent-2", attempt=2),
    line(1.4, "agent-2", "request_refused", request_id="a", attempt=2, reason="wait"),
    line(1.5, "router-1", "try_failed", request_id="a", attempt=2, kind="overloaded"),
    line(1.6, "router-1", "request_answered", request_id="a", result="overloaded"),
]
DEPENDENCY_LOST = line(0.5, "router-1", "dependency_lost", dependency="key_value")
OTHER_REQUEST = line(
    1.0, "router-1", "try_started", request_id="b", to="agent-1", attempt=1
)


def test_timeline_has_the_lines_of_the_request_in_order_and_state_events_as_context():
    timeline = build_request_timeline(
        "a", [*reversed(REFUSED), OTHER_REQUEST, DEPENDENCY_LOST, "Traceback", ""]
    )
    assert [each.text for each in timeline.lines] == REFUSED
    assert [each.event for each in timeline.context] == ["dependency_lost"]


def test_cause_is_the_innermost_failure_of_the_last_attempt():
    assert build_request_timeline("a", REFUSED).cause.text == REFUSED[4]


def test_request_with_a_complete_answer_has_no_cause():
    answered = line(2.0, "router-1", "request_answered", request_id="a", result="whole")
    assert build_request_timeline("a", [*REFUSED[:3], answered]).cause is None


def test_cause_is_the_result_at_the_agent_if_no_inner_failure_was_logged():
    lines = [
        line(1.0, "agent-1", "request_sent", request_id="a"),
        line(
            1.1,
            "agent-1",
            "request_ended",
            request_id="a",
            attempt=1,
            result="backend_failed",
        ),
        line(1.2, "router-1", "request_answered", request_id="a", result="unknown"),
    ]
    assert build_request_timeline("a", lines).cause.text == lines[1]


@given(st.text())
def test_any_field_value_is_restored_by_parsing(text):
    written = line(1.0, "i", "ready", detail=text)
    assert "\n" not in written
    assert parse_log_line(written).fields["detail"] == text


@given(st.text())
def test_parsing_any_text_does_not_raise(text):
    parse_log_line(text)
    parse_log_line(f"time=2026-12-04T08:00:00.000+00:00 event=ready {text}")


def test_explain_prints_the_cause_as_text_and_as_json(tmp_path):
    path = write(tmp_path, "router.log", "\n".join(REFUSED))
    code, output, _ = run(f"explain a {path}")
    assert code == 0
    assert output.splitlines()[-2:] == ["cause of failure:", f"  {REFUSED[4]}"]
    code, output, _ = run(f"explain a {path} --json")
    assert json.loads(output)["deciding"]["reason"] == "wait"


@pytest.mark.parametrize(
    ("arguments", "code", "message"),
    [
        ("explain c {path}", 1, "the logs contain no line of request c"),
        ("explain a {path}.gone", 2, "No such file"),
    ],
)
def test_explain_reports_an_unknown_request_or_a_missing_file(
    tmp_path, arguments, code, message
):
    path = write(tmp_path, "router.log", "\n".join(REFUSED))
    exit_code, _, errors = run(arguments.format(path=path))
    assert exit_code == code
    assert message in errors
