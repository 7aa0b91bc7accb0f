"""Level and fields of the log lines that report the result of a request."""

from bilberryspring.request.errors import Failure

__all__ = ["COMPLETE_RESULT", "choose_log_level", "make_result_fields"]

# Value of the field result for a complete answer; other values are error kinds.
COMPLETE_RESULT = "whole"


def choose_log_level(result: object) -> str:
    """Return the log level for the result of a request.

    :param result: a failure; any other value means a complete answer.
    """
    return "WARNING" if isinstance(result, Failure) else "INFO"


def make_result_fields(result: object) -> dict[str, object]:
    """Return the log fields that describe the result of a request.

    :param result: a failure; any other value means a complete answer.

    >>> make_result_fields(object())
    {'result': 'whole'}
    """
    if not isinstance(result, Failure):
        return {"result": COMPLETE_RESULT}
    return {
        "result": result.kind,
        "outcome": result.outcome,
        "reason": result.reason,
        "retry_after_s": result.retry_after_s,
    }
