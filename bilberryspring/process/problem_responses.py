"""Problem responses (RFC 9457), shared by the caller and the administration API."""

import math

from sanic import HTTPResponse
from sanic.exceptions import PayloadTooLarge, SanicException
from sanic.response import json as json_response

from bilberryspring.process.logs import log_event
from bilberryspring.request.errors import (
    ERROR_RESPONSES,
    ErrorKind,
    Failure,
    make_failure,
    make_problem,
)

__all__ = ["make_problem_response", "convert_exception"]

PROBLEM_TYPE = "application/problem+json"


def make_problem_response(
    failure: Failure, request_id: str = "", **members: object
) -> HTTPResponse:
    """Return the HTTP response that reports a failure as a problem document.

    :param failure: failure to report.
    :param request_id: id of the request; empty if it has none.
    :param members: extension members of the problem document.
    """
    headers = {}
    if failure.retry_after_s > 0:
        headers["Retry-After"] = str(math.ceil(failure.retry_after_s))
    if failure.kind is ErrorKind.UNAUTHENTICATED:
        headers["WWW-Authenticate"] = "Bearer"
    if request_id:
        headers["X-Request-Id"] = request_id
    return json_response(
        make_problem(failure) | members,
        status=ERROR_RESPONSES[failure.kind].status,
        headers=headers,
        content_type=PROBLEM_TYPE,
    )


def convert_exception(error: Exception) -> Failure:
    """Convert an exception from the HTTP server to a failure.

    An exception that is not the caller's error is logged as ``handler_failed`` and
    becomes an internal error.

    :param error: exception raised by Sanic or by a request handler.
    """
    if isinstance(error, PayloadTooLarge):
        return make_failure(ErrorKind.REQUEST_TOO_LARGE)
    if isinstance(error, SanicException) and error.status_code == 404:
        return make_failure(ErrorKind.UNKNOWN_ROUTE, "the path does not exist")
    if isinstance(error, SanicException) and error.status_code < 500:
        return make_failure(ErrorKind.MALFORMED_REQUEST, str(error))
    log_event("handler_failed", level="ERROR", error=repr(error))
    return make_failure(ErrorKind.INTERNAL)
