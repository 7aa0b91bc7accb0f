"""Quarantine of requests that crashed backend servers."""

import pytest

from bilberryspring.request.crash_records import make_crash_records
from bilberryspring.request.errors import ErrorKind, Failure

FIRST, SECOND = "agent-1/a/1", "agent-2/b/1"


@pytest.mark.parametrize(
    ("crash_ids", "kind"),
    [
        ([], None),
        ([FIRST], None),
        ([FIRST, FIRST], None),
        ([FIRST, SECOND], ErrorKind.REQUEST_QUARANTINED),
    ],
)
def test_two_different_crashes_quarantine_a_digest(crash_ids, kind):
    records = make_crash_records()
    for crash_id in crash_ids:
        records.add_crashes("digest", [crash_id])
    verdict = records.check_quarantine("digest")
    if kind is None:
        assert verdict is bool(crash_ids)
    else:
        assert isinstance(verdict, Failure) and verdict.kind is kind
        assert verdict.retry_after_s > 0


def test_complete_response_between_two_crashes_clears_the_first():
    records = make_crash_records()
    records.add_crashes("digest", [FIRST])
    records.clear("digest")
    records.add_crashes("digest", [SECOND])
    assert records.check_quarantine("digest") is True


def test_callback_runs_once_per_new_crash_and_digests_are_independent():
    records, reported = make_crash_records(), []
    records.crash_callbacks.append(lambda digest, crash_ids: reported.append(digest))
    for digest in ("one", "one", "two", ""):
        records.add_crashes(digest, [FIRST])
    assert reported == ["one", "two"]
    assert records.check_quarantine("three") is False
