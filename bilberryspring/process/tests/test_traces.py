"""Trace spans and the propagation of their context."""

import json

import pytest

from bilberryspring.process.traces import make_tracing, parse_traceparent, start_span

SAMPLED = "00-" + "ab" * 16 + "-" + "cd" * 8 + "-01"
UNSAMPLED = SAMPLED[:-1] + "0"


@pytest.mark.parametrize(
    "text",
    [
        "",
        "00",
        "01-" + SAMPLED[3:],
        SAMPLED.upper(),
        SAMPLED + "-x",
        "00-" + "0" * 32 + SAMPLED[35:],
        SAMPLED[:36] + "0" * 16 + "-01",
    ],
)
def test_invalid_traceparent_is_ignored(text):
    assert parse_traceparent(text) is None
    assert start_span("hop", text).traceparent != text


@pytest.mark.parametrize(
    ("ratio", "parent", "lines"),
    [(0.0, "", 0), (1.0, "", 2), (0.0, SAMPLED, 2), (1.0, UNSAMPLED, 0)],
)
def test_parent_decides_sampling_and_the_ratio_applies_without_one(
    tmp_path, ratio, parent, lines
):
    path = tmp_path / "spans.jsonl"
    tracing = make_tracing("router-1", "router", str(path), ratio)
    tracing.start()
    with start_span("outer", parent, rank="urgent") as outer:
        with start_span("inner", outer.traceparent) as inner:
            inner.add_event("first_chunk", size_bytes=3)
            inner.mark_failed("leaving")
    tracing.close()
    spans = {line["name"]: line for line in map(json.loads, path.open())}
    assert len(spans) == lines
    if lines:
        assert spans["inner"]["parent_id"] == spans["outer"]["span_id"]
        assert spans["inner"]["trace_id"] == spans["outer"]["trace_id"]
        assert spans["inner"]["failed"] == "leaving"
        assert spans["inner"]["events"][0]["size_bytes"] == 3
        assert spans["outer"]["attributes"] == {"rank": "urgent"}
        assert spans["outer"]["instance"] == "router-1"
    if parent:
        assert outer.traceparent[:35] == parent[:35]
    if parent == UNSAMPLED:
        assert outer.traceparent == inner.traceparent == parent


def test_span_records_an_exception_and_propagates_it(tmp_path):
    path = tmp_path / "spans.jsonl"
    tracing = make_tracing("agent-1", "agent", str(path), 1.0)
    tracing.start()
    with pytest.raises(KeyError), start_span("agent.run"):
        raise KeyError("x")
    tracing.close()
    assert json.loads(path.read_text())["failed"] == "KeyError"
    assert start_span("after").traceparent.endswith("-00")
