"""Retry time that a router derives from several refusals."""

import pytest

from bilberryspring.policy.retry_after import choose_retry_after
from bilberryspring.request.errors import ErrorKind, Outcome, make_failure


def refuse(kind, retry_after_s, outcome=Outcome.NOT_RUN):
    return make_failure(kind, outcome=outcome, retry_after_s=retry_after_s)


@pytest.mark.parametrize(
    ("refusals", "expected_s"),
    [
        ([refuse(ErrorKind.LOAD_BOUND, 0.4)], 0.4),
        ([refuse(ErrorKind.LOAD_BOUND, 0.2), refuse(ErrorKind.LOAD_BOUND, 0.4)], 0.2),
        ([refuse(ErrorKind.OVERLOADED, 9.0), refuse(ErrorKind.LOAD_BOUND, 0.4)], 0.4),
        ([refuse(ErrorKind.LOAD_BOUND, 0.4), refuse(ErrorKind.OVERLOADED, 9.0)], 9.0),
        ([refuse(ErrorKind.BACKEND_FAILED, 0.1, Outcome.UNKNOWN)], 0.1),
        (
            [
                refuse(ErrorKind.BACKEND_FAILED, 0.1, Outcome.UNKNOWN),
                refuse(ErrorKind.LOAD_BOUND, 0.4),
            ],
            0.4,
        ),
        ([refuse(ErrorKind.FORBIDDEN, 0.0)], 0.0),
    ],
)
def test_retry_time_follows_from_the_refusals(refusals, expected_s):
    assert choose_retry_after(refusals) == expected_s
