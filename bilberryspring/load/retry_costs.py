"""Amplification of requests by retries: attempts and runs for each request.

A retry consumes the budget of the router, unless the rejection only redirected the
request to another agent. With a retry ratio ``r`` and a burst ``b``, a router makes at
most ``r`` budgeted retries for each first attempt and ``b`` more. Only budgeted retries
can run at another backend server, hence
``runs <= first attempts * (1 + r) + b * routers``.
"""

import re
from collections import Counter
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from bilberryspring.load.records import CallOutcome, CallRecord
from bilberryspring.request.errors import ErrorKind, make_failure
from bilberryspring.request.retry import BURST_RETRIES, is_exempt_from_budget

__all__ = ["RetryCosts", "RouterRecords", "compute_max_runs", "measure_retries"]

CHAT_ROUTE = "chat"
FAILED_ATTEMPT_PATTERN = re.compile(
    r"event=try_failed request_id=(\S+) to=\S+ kind=(\w+)"
)


@dataclass(frozen=True, slots=True)
class RouterRecords:
    """Logs and configuration of the routers of a run.

    :param logs: log text of each router.
    :param retry_ratio: retries that the budget allows for each first attempt.
    """

    logs: Collection[str]
    retry_ratio: float


@dataclass(frozen=True, slots=True)
class RetryCosts:
    """Attempts and runs of a set of requests.

    :param requests: number of requests, of chats and plain services.
    :param tries: attempts at agents, including those that only redirected a request.
    :param charged_tries: of these, first attempts and retries that may consume budget.
    :param chats: number of chat requests.
    :param runs: runs of chat requests in the journals of the engines.
    :param most_runs: upper bound of the runs that the retry budgets allow.
    :param failed_tries: number of failed attempts by error kind.
    """

    requests: int
    tries: int
    charged_tries: int
    chats: int
    runs: int
    most_runs: int
    failed_tries: dict[str, int] = field(default_factory=dict)

    @property
    def tries_per_request(self) -> float:
        """Attempts that may consume budget for each request; zero without requests."""
        return self.charged_tries / self.requests if self.requests else 0.0

    @property
    def runs_per_chat(self) -> float:
        """Runs at engines for each chat request; zero without chat requests."""
        return self.runs / self.chats if self.chats else 0.0


def compute_max_runs(requests: int, routers: int, retry_ratio: float) -> int:
    """Return the maximum number of runs that the retry budgets of routers allow.

    :param requests: number of first attempts at the routers.
    :param routers: number of routers.
    :param retry_ratio: retries that a budget allows for each first attempt.

    >>> compute_max_runs(100, 1, 0.2)
    140
    """
    return int(requests * (1 + retry_ratio) + routers * BURST_RETRIES)


def measure_retries(
    records: Iterable[CallRecord],
    routers: RouterRecords,
    run_ids: Iterable[str],
) -> RetryCosts:
    """Count the attempts and runs of requests that their callers sent once.

    :param records: records of the requests.
    :param routers: logs and configuration of the routers.
    :param run_ids: request identifier of every run in the journals of the engines.
    """
    records_by_id = {record.request_id: record for record in records}
    failed_attempts = Counter(
        kind
        for log in routers.logs
        for request_id, kind in FAILED_ATTEMPT_PATTERN.findall(log)
        if request_id in records_by_id
    )
    done = sum(record.outcome is CallOutcome.DONE for record in records_by_id.values())
    uncharged_attempts = sum(
        count
        for kind, count in failed_attempts.items()
        if is_exempt_from_budget(make_failure(ErrorKind(kind)))
    )
    attempts = done + failed_attempts.total()
    chat_ids = {
        name for name, record in records_by_id.items() if record.route == CHAT_ROUTE
    }
    return RetryCosts(
        requests=len(records_by_id),
        tries=attempts,
        charged_tries=attempts - uncharged_attempts,
        chats=len(chat_ids),
        runs=sum(request_id in chat_ids for request_id in run_ids),
        most_runs=compute_max_runs(
            len(records_by_id), len(routers.logs), routers.retry_ratio
        ),
        failed_tries=dict(sorted(failed_attempts.items())),
    )
