"""Level and fields of the log lines that report the result of a request."""

from bilberryspring.request.errors import Failure

__all__ = ["WHOLE", "choose_level", "describe_result"]

# Value of the field result for a complete answer; other values are error kinds.
WHOLE = "whole"


def choose_level(result: object) -> str:
    """Return the log level for the result of a request.

    :param result: a failure; any other value means a complete answer.
    """
    return "WARNING" if isinstance(result, Failure) else "INFO"


def describe_result(result: object) -> dict[str, object]:
    """Return the log fields that describe the result of a request.

    :param result: a failure; any other value means a complete answer.

    >>> describe_result(object())
    {'result': 'whole'}
    """
    if not isinstance(result, Failure):
        return {"result": WHOLE}
    return {
        "result": result.kind,
        "outcome": result.outcome,
        "reason": result.reason,
        "retry_after_s": result.retry_after_s,
    }
