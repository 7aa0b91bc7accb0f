"""Handling of single requests: errors, placement, admission, retries and claims."""

from bilberryspring.request.errors import (
    ERROR_RESPONSES,
    ErrorKind,
    Failure,
    Outcome,
    make_failure,
    make_problem,
)
from bilberryspring.request.load_bound import LoadBound, MeanEstimate
from bilberryspring.request.retry import make_retry_budget, may_retry_elsewhere

__all__ = [
    "ERROR_RESPONSES",
    "ErrorKind",
    "Failure",
    "LoadBound",
    "MeanEstimate",
    "Outcome",
    "make_failure",
    "make_problem",
    "make_retry_budget",
    "may_retry_elsewhere",
]
