"""Rules for retries: which failures are retried, where, and after which delay."""

import random

from bilberryspring.identifiers import PoolName
from bilberryspring.request.errors import (
    CONNECTION_FAILURES,
    ErrorKind,
    Failure,
    Outcome,
)

__all__ = [
    "RetryBudget",
    "make_pool_retry_budgets",
    "make_retry_budget",
    "compute_retry_delay",
    "may_retry_elsewhere",
    "is_exempt_from_budget",
]

BASE_DELAY_S = 0.02
MAX_DELAY_S = 1.0
BURST_RETRIES = 20.0

_RETRYABLE_IF_NOT_RUN = {
    ErrorKind.LOAD_BOUND,
    ErrorKind.LEAVING,
    ErrorKind.OVERLOADED,
    ErrorKind.BACKEND_UNREACHABLE,
    *CONNECTION_FAILURES,
    ErrorKind.STALE_CONFIGURATION,
    ErrorKind.CONFIGURATION_UNAVAILABLE,
    ErrorKind.NO_INSTANCE,
    ErrorKind.UNKNOWN_ANSWER,
    ErrorKind.ENGINE_VERSION_CHANGED,
    ErrorKind.CANCELLED,
}
_RETRYABLE_IF_IDEMPOTENT = {
    ErrorKind.BACKEND_CRASHED,
    ErrorKind.BACKEND_FAILED,
    ErrorKind.OUTCOME_UNKNOWN,
    ErrorKind.ANSWER_INTERRUPTED,
    ErrorKind.UNKNOWN_ANSWER,
    ErrorKind.CANCELLED,
}
_BUDGET_EXEMPT = {ErrorKind.LOAD_BOUND, ErrorKind.LEAVING}


class RetryBudget:
    """Token bucket that limits retries to a ratio of first attempts.

    The limit keeps retries from multiplying the load during an outage. A burst of
    ``BURST_RETRIES`` is available at the start.

    :param ratio: retries allowed for each first attempt.
    """

    def __init__(self, ratio: float):
        self.ratio = ratio
        self._tokens = BURST_RETRIES

    def record_first_attempt(self) -> None:
        """Add the ratio of one first attempt to the budget, up to the burst."""
        self._tokens = min(self._tokens + self.ratio, BURST_RETRIES)

    def spend(self) -> bool:
        """Take one retry from the budget.

        :returns: whether the budget allows the retry.

        >>> budget = make_retry_budget(0.5)
        >>> sum(budget.spend() for _ in range(100))
        20
        >>> budget.record_first_attempt(); budget.record_first_attempt(); budget.spend()
        True
        """
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    @property
    def is_whole(self) -> bool:
        """Whether the whole burst is available."""
        return self._tokens >= BURST_RETRIES


class PoolRetryBudgets:
    """Retry budgets of one process, one for each pool.

    First attempts at one pool pay for no retry at another.

    :param ratio: retries allowed for each first attempt.
    """

    def __init__(self, ratio: float):
        self._ratio = ratio
        # Pools whose budget is not whole; any other pool has the whole burst.
        self._budgets: dict[PoolName, RetryBudget] = {}

    def record_first_attempt(self, pool: PoolName) -> None:
        """Add the ratio of one first attempt to the budget of a pool.

        :param pool: pool that the attempt is for.
        """
        budget = self._budgets.get(pool)
        if budget is not None:
            budget.record_first_attempt()
            if budget.is_whole:
                del self._budgets[pool]

    def spend(self, pool: PoolName) -> bool:
        """Take one retry from the budget of a pool.

        :param pool: pool that the retry is for.
        :returns: whether the budget allows the retry.

        >>> budgets = make_pool_retry_budgets(0.5)
        >>> sum(budgets.spend("desk") for _ in range(100))
        20
        >>> budgets.record_first_attempt("other"); budgets.spend("desk")
        False
        """
        return self._budgets.setdefault(pool, make_retry_budget(self._ratio)).spend()


def make_retry_budget(ratio: float) -> RetryBudget:
    """Return a budget with the whole burst available.

    :param ratio: retries allowed for each first attempt.
    """
    return RetryBudget(ratio)


def make_pool_retry_budgets(ratio: float) -> PoolRetryBudgets:
    """Return budgets with the whole burst available for each pool.

    :param ratio: retries allowed for each first attempt.
    """
    return PoolRetryBudgets(ratio)


def compute_retry_delay(attempt: int) -> float:
    """Return the delay before a retry, by exponential backoff with full jitter.

    :param attempt: number of attempts so far, from one.
    :returns: delay in seconds.

    >>> all(0 <= compute_retry_delay(n) <= MAX_DELAY_S for n in range(1, 60))
    True
    """
    ceiling_s = min(BASE_DELAY_S * 2 ** min(attempt, 10), MAX_DELAY_S)
    return random.uniform(0, ceiling_s)


def may_retry_elsewhere(
    failure: Failure, *, idempotent: bool, agent_lost: bool
) -> bool:
    """Return whether a request may be retried on another backend server.

    A request that is not idempotent is retried only if it certainly did not run, or if
    the connection to its agent was lost: then the claim on its idempotency key decides
    whether the retry runs.

    :param failure: failure of the last attempt.
    :param idempotent: whether the request may run more than once.
    :param agent_lost: whether the router lost the agent, so that the failure does not
        come from the agent.

    >>> from bilberryspring.request.errors import make_failure
    >>> crashed = make_failure(ErrorKind.BACKEND_CRASHED)
    >>> may_retry_elsewhere(crashed, idempotent=False, agent_lost=False)
    False
    """
    if failure.outcome is Outcome.NOT_RUN:
        return failure.kind in _RETRYABLE_IF_NOT_RUN
    if idempotent:
        return failure.kind in _RETRYABLE_IF_IDEMPOTENT
    return agent_lost


def is_exempt_from_budget(failure: Failure) -> bool:
    """Return whether the next attempt is exempt from the retry budget.

    Refusals at the load bound or by a leaving instance only direct the request to
    another instance. The number of attempts limits them.

    :param failure: failure of the last attempt.
    """
    return failure.kind in _BUDGET_EXEMPT
