"""Attempts and runs per request, counted in the routers' logs and the journals."""

from bilberryspring.load.records import CallOutcome, CallRecord
from bilberryspring.load.retry_costs import RouterRecords, measure_retries
from bilberryspring.process.logs import format_pairs
from bilberryspring.request.errors import ErrorKind, Outcome


def make_record(request_id, outcome):
    record = CallRecord("n", request_id, "w", "urgent", "chat", 1.0)
    record.outcome = outcome
    return record


def format_failed_try(request_id, kind):
    # Log line of a router, as `request/forward.py` writes it.
    line = format_pairs(
        {
            "event": "try_failed",
            "request_id": request_id,
            "to": "agent-1",
            "kind": kind,
            "outcome": Outcome.UNKNOWN,
            "reason": "it said kind=none",
        }
    )
    return f"time=2026 level=INFO process=router {line}\n"


def test_redirecting_attempts_are_not_charged():
    log = format_failed_try("a", ErrorKind.BACKEND_FAILED)
    log += format_failed_try("a", ErrorKind.LOAD_BOUND)
    log += format_failed_try("other", ErrorKind.BACKEND_FAILED)
    records = [
        make_record("a", CallOutcome.DONE),
        make_record("b", CallOutcome.DONE),
    ]
    costs = measure_retries(
        records, RouterRecords([log, ""], 0.5), ["a", "a", "b", "other"]
    )
    assert (costs.requests, costs.tries, costs.charged_tries) == (2, 4, 3)
    assert (costs.tries_per_request, costs.runs_per_chat) == (1.5, 1.5)
    assert costs.failed_tries == {"backend_failed": 1, "load_bound": 1}
    assert costs.most_runs == 2 * 1.5 + 2 * 20
