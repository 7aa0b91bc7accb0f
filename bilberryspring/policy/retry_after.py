"""Retry time for a caller whose request was refused by every agent that was tried.

Load pattern: load rises on all instances at once, so several agents in a row refuse a
request, and each of them gives a different retry time.
"""

from collections.abc import Sequence

from bilberryspring.request.errors import ErrorKind, Failure, Outcome

__all__ = ["choose_retry_after"]

_NO_CAPACITY_KINDS = (ErrorKind.LOAD_BOUND, ErrorKind.NO_INSTANCE)


def choose_retry_after(refusals: Sequence[Failure]) -> float:
    """Return the time after which a refused caller should retry.

    The time that the last agent gave applies, unless that agent had no capacity. An
    agent at its load bound gives the time until its own load has fallen, and any agent
    of the pool can accept the request then, so the shortest time of all attempts that
    did not run applies. An overloaded agent, by contrast, has reserved capacity for the
    caller at the time that it gave.

    :param refusals: failure of each attempt, in order; not empty.
    :returns: time in seconds; zero if no agent gave one.

    >>> from bilberryspring.request.errors import make_failure
    >>> short = make_failure(ErrorKind.LOAD_BOUND, retry_after_s=0.1)
    >>> long = make_failure(ErrorKind.LOAD_BOUND, retry_after_s=0.4)
    >>> choose_retry_after([short, long])
    0.1
    >>> choose_retry_after([short, make_failure(ErrorKind.OVERLOADED, retry_after_s=4)])
    4
    """
    last = refusals[-1]
    if last.kind not in _NO_CAPACITY_KINDS:
        return last.retry_after_s
    retry_times_s = [
        each.retry_after_s
        for each in refusals
        if each.retry_after_s and each.outcome is Outcome.NOT_RUN
    ]
    return min(retry_times_s, default=last.retry_after_s)
