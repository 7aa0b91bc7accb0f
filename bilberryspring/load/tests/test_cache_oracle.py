"""Comparison of cache reuse with an oracle that knows the caches of all engines."""

import pytest

from bilberryspring.load.cache_oracle import (
    CacheTimeline,
    EngineRecords,
    measure_oracle_reuse,
)
from bilberryspring.load.records import CallOutcome, CallRecord
from bilberryspring.standin.cache_journal import (
    CacheChange,
    CacheChangeKind,
    read_cache_journal,
)
from bilberryspring.standin.engine import EngineSettings
from bilberryspring.standin.engine_state import EngineStandin

OPENED, STORED, EVICTED = CacheChangeKind
CHANGES = [
    CacheChange(0.0, OPENED),
    CacheChange(1.0, STORED, "a", 100),
    CacheChange(1.0, STORED, "ab", 300),
    CacheChange(3.0, EVICTED, "ab", 300),
    CacheChange(9.0, OPENED),
]


def make_record(at_s, cached_tokens):
    record = CallRecord("chat/1", "r", "w", "urgent", "chat", at_s)
    record.outcome, record.last_try_at_s = CallOutcome.DONE, at_s
    record.prompt_tokens, record.reusable_tokens = 350, 320
    record.cached_tokens = cached_tokens
    return record


@pytest.mark.parametrize(
    ("at_s", "held_tokens"),
    [(0.5, 0), (1.0, 300), (2.9, 300), (3.0, 100), (4.9, 100), (5.0, 0), (9.5, 0)],
)
def test_timeline_counts_tokens_held_by_a_live_engine(at_s, held_tokens):
    timeline = CacheTimeline(EngineRecords(CHANGES, [], [5.0]))
    assert timeline.count_held_tokens(["a", "ab", "abc"], at_s) == held_tokens


def test_gap_counts_tokens_held_elsewhere_but_not_served():
    run = {"request_id": "r", "prefix_digests": ["a", "ab", "abc"]}
    engines = {
        "holder": EngineRecords(CHANGES, [], []),
        "chosen": EngineRecords([], [run], []),
    }
    reuse = measure_oracle_reuse([make_record(2.0, 100)], engines)
    assert (reuse.reusable_tokens, reuse.held_tokens) == (320, 300)
    assert reuse.gap_points == 62.5
    (miss,) = reuse.misses
    assert (miss.holder, miss.chosen, miss.cached_tokens) == ("holder", "chosen", 100)


def test_cache_journal_survives_restart_and_truncated_line(tmp_path):
    path = str(tmp_path / "engine.journal")
    settings = EngineSettings(
        address="127.0.0.1:1", journal_path=path, cache_tokens=10, cache_event_loss=1
    )
    EngineStandin(settings).cache.store(["a", "b"], [6, 6])
    EngineStandin(settings)
    with open(path + ".cache", "a", encoding="utf-8") as file:
        file.write('{"at_s": ')
    changes = read_cache_journal(path + ".cache")
    assert [change.kind for change in changes] == [OPENED, STORED, OPENED]
