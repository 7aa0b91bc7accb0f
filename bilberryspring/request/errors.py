"""Closed list of error kinds and the table of their error responses.

Functions that may fail in an expected way return a :class:`Failure` instead of
raising an exception; callers check for it with ``isinstance``.
"""

from dataclasses import dataclass
from enum import Enum

__all__ = [
    "PROBLEM_TYPE_PREFIX",
    "Outcome",
    "ErrorKind",
    "ErrorResponse",
    "ERROR_RESPONSES",
    "CONNECTION_FAILURES",
    "Failure",
    "parse_error_kind",
    "make_failure",
    "make_problem",
]

PROBLEM_TYPE_PREFIX = "urn:bilberryspring:error:"


class Outcome(Enum):
    """Whether a request that got an error response has run."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class ErrorKind(Enum):
    """Every kind of error that a caller or another process can receive."""

    MALFORMED_REQUEST = "malformed_request"
    REQUEST_TOO_LARGE = "request_too_large"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_ROUTE = "unknown_route"
    UNKNOWN_ANSWER = "unknown_answer"
    INVALID_IDEMPOTENCY_KEY = "invalid_idempotency_key"
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"
    IDEMPOTENCY_KEY_EXPIRED = "idempotency_key_expired"
    REQUEST_IN_PROGRESS = "request_in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    WORKSPACE_LIMIT = "workspace_limit"
    OVERLOADED = "overloaded"
    LOAD_BOUND = "load_bound"
    LEAVING = "leaving"
    NO_INSTANCE = "no_instance"
    CLAIM_STORE_UNAVAILABLE = "claim_store_unavailable"
    CONFIGURATION_UNAVAILABLE = "configuration_unavailable"
    CONFIGURATION_INVALID = "configuration_invalid"
    CONFIGURATION_CONFLICT = "configuration_conflict"
    STALE_CONFIGURATION = "stale_configuration"
    ENGINE_VERSION_CHANGED = "engine_version_changed"
    STALE_ORDER = "stale_order"
    REQUEST_QUARANTINED = "request_quarantined"
    BACKEND_CRASHED = "backend_crashed"
    BACKEND_UNREACHABLE = "backend_unreachable"
    BACKEND_FAILED = "backend_failed"
    ANSWER_INTERRUPTED = "answer_interrupted"
    PEER_UNREACHABLE = "peer_unreachable"
    PEER_SILENT = "peer_silent"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    CANCELLED = "cancelled"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """Error response that a caller receives for one error kind.

    :param status: HTTP status code.
    :param title: one-line summary for people.
    :param outcome: default outcome of a failure of this kind.
    :param retry_after_s: default delay before a retry; zero means that a retry of the
        same request will not succeed.
    """

    status: int
    title: str
    outcome: Outcome
    retry_after_s: float = 0.0


_NOT_RUN = Outcome.NOT_RUN
_UNKNOWN = Outcome.UNKNOWN

ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.MALFORMED_REQUEST: ErrorResponse(
        400, "The request is malformed", _NOT_RUN
    ),
    ErrorKind.REQUEST_TOO_LARGE: ErrorResponse(
        413, "The request is too large", _NOT_RUN
    ),
    ErrorKind.UNAUTHENTICATED: ErrorResponse(401, "Authentication failed", _NOT_RUN),
    ErrorKind.FORBIDDEN: ErrorResponse(403, "The key does not allow this", _NOT_RUN),
    ErrorKind.UNKNOWN_ROUTE: ErrorResponse(404, "No such route", _NOT_RUN),
    ErrorKind.UNKNOWN_ANSWER: ErrorResponse(
        410, "The answer is not kept any more", _UNKNOWN
    ),
    ErrorKind.INVALID_IDEMPOTENCY_KEY: ErrorResponse(
        400, "The idempotency key is not a version 7 UUID", _NOT_RUN
    ),
    ErrorKind.IDEMPOTENCY_KEY_REUSED: ErrorResponse(
        422, "The idempotency key belongs to another request", _NOT_RUN
    ),
    ErrorKind.IDEMPOTENCY_KEY_EXPIRED: ErrorResponse(
        409, "The idempotency key is older than its retention", _UNKNOWN
    ),
    ErrorKind.REQUEST_IN_PROGRESS: ErrorResponse(
        409, "A request with this idempotency key is running", _UNKNOWN, 1.0
    ),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(
        409, "It is not known whether the request ran", _UNKNOWN
    ),
    ErrorKind.WORKSPACE_LIMIT: ErrorResponse(
        429, "The workspace is at its limit", _NOT_RUN, 1.0
    ),
    ErrorKind.OVERLOADED: ErrorResponse(503, "The pool is overloaded", _NOT_RUN, 1.0),
    ErrorKind.LOAD_BOUND: ErrorResponse(
        503, "The backend server is at its load bound", _NOT_RUN, 1.0
    ),
    ErrorKind.LEAVING: ErrorResponse(503, "The instance is leaving", _NOT_RUN, 1.0),
    ErrorKind.NO_INSTANCE: ErrorResponse(
        503, "The pool has no live instance", _NOT_RUN, 2.0
    ),
    ErrorKind.CLAIM_STORE_UNAVAILABLE: ErrorResponse(
        503, "The idempotency key cannot be claimed now", _NOT_RUN, 5.0
    ),
    ErrorKind.CONFIGURATION_UNAVAILABLE: ErrorResponse(
        503, "No accepted configuration is known yet", _NOT_RUN, 1.0
    ),
    ErrorKind.CONFIGURATION_INVALID: ErrorResponse(
        422, "The configuration is invalid", _NOT_RUN
    ),
    ErrorKind.CONFIGURATION_CONFLICT: ErrorResponse(
        409, "A newer configuration was accepted", _NOT_RUN
    ),
    ErrorKind.STALE_CONFIGURATION: ErrorResponse(
        503, "The configuration is out of date", _NOT_RUN, 1.0
    ),
    ErrorKind.ENGINE_VERSION_CHANGED: ErrorResponse(
        503, "The engine runs another version", _NOT_RUN, 1.0
    ),
    ErrorKind.STALE_ORDER: ErrorResponse(409, "A newer order was given", _NOT_RUN),
    ErrorKind.REQUEST_QUARANTINED: ErrorResponse(
        422, "The request crashed backend servers", _NOT_RUN, 600.0
    ),
    ErrorKind.BACKEND_CRASHED: ErrorResponse(
        502, "The backend server crashed", _UNKNOWN
    ),
    ErrorKind.BACKEND_UNREACHABLE: ErrorResponse(
        502, "The backend server refused the connection", _NOT_RUN, 1.0
    ),
    ErrorKind.BACKEND_FAILED: ErrorResponse(502, "The backend server failed", _UNKNOWN),
    ErrorKind.ANSWER_INTERRUPTED: ErrorResponse(
        502, "The answer was interrupted", Outcome.RAN, 1.0
    ),
    ErrorKind.PEER_UNREACHABLE: ErrorResponse(
        503, "The instance cannot be reached", _NOT_RUN, 1.0
    ),
    ErrorKind.PEER_SILENT: ErrorResponse(
        503, "The instance does not answer", _NOT_RUN, 1.0
    ),
    ErrorKind.PLATFORM_UNAVAILABLE: ErrorResponse(
        503, "The key-value service is unavailable", _NOT_RUN, 5.0
    ),
    ErrorKind.DEADLINE_EXCEEDED: ErrorResponse(
        504, "The deadline has passed", _UNKNOWN
    ),
    ErrorKind.CANCELLED: ErrorResponse(
        499, "The caller cancelled the request", _UNKNOWN
    ),
    ErrorKind.INTERNAL: ErrorResponse(500, "Internal error", _UNKNOWN),
}

# Kinds of failures to connect to another process, to which nothing was sent.
CONNECTION_FAILURES = frozenset({ErrorKind.PEER_UNREACHABLE, ErrorKind.PEER_SILENT})


@dataclass(frozen=True, slots=True)
class Failure:
    """Error value that a function returns in place of a result.

    :param kind: member of the closed list of error kinds.
    :param reason: what happened, for people; never contains a secret.
    :param outcome: whether the request ran.
    :param retry_after_s: delay before a retry; zero if a retry will not succeed.
    :param hint: instance to try next; empty if there is none.
    :param crash_ids: ids of the crashes of backend servers that ran the request,
        separated by spaces; empty if there are none.
    """

    kind: ErrorKind
    reason: str
    outcome: Outcome
    retry_after_s: float
    hint: str = ""
    crash_ids: str = ""


def parse_error_kind(name: str) -> ErrorKind:
    """Return the error kind with a name.

    :param name: value of an error kind, possibly of another version of the program.
    :returns: the error kind; ``INTERNAL`` for an unknown name.

    >>> parse_error_kind("a_kind_of_a_later_version")
    <ErrorKind.INTERNAL: 'internal'>
    """
    try:
        return ErrorKind(name)
    except ValueError:
        return ErrorKind.INTERNAL


def make_failure(
    kind: ErrorKind,
    reason: str = "",
    *,
    outcome: Outcome | None = None,
    retry_after_s: float | None = None,
    hint: str = "",
) -> Failure:
    """Build a failure, with the defaults of its kind for omitted values.

    :param kind: member of the closed list of error kinds.
    :param reason: what happened; empty for the kind's title.
    :param outcome: whether the request ran; ``None`` for the kind's outcome.
    :param retry_after_s: delay before a retry; ``None`` for the kind's delay, zero if a
        retry will not succeed.
    :param hint: instance to try next; empty if there is none.

    >>> make_failure(ErrorKind.LEAVING).outcome.value
    'not_run'
    """
    response = ERROR_RESPONSES[kind]
    return Failure(
        kind=kind,
        reason=reason or response.title,
        outcome=outcome or response.outcome,
        retry_after_s=response.retry_after_s
        if retry_after_s is None
        else retry_after_s,
        hint=hint,
    )


def make_problem(failure: Failure) -> dict[str, object]:
    """Return the RFC 9457 problem document of a failure.

    :param failure: the failure to report.
    :returns: members ``type``, ``title``, ``status``, ``detail``, ``outcome`` and, if
        a retry may succeed, ``retry_after_s``.

    >>> make_problem(make_failure(ErrorKind.LEAVING))["outcome"]
    'not_run'

    .. seealso:: RFC 9457, Problem Details for HTTP APIs.
    """
    response = ERROR_RESPONSES[failure.kind]
    problem: dict[str, object] = {
        "type": PROBLEM_TYPE_PREFIX + failure.kind.value,
        "title": response.title,
        "status": response.status,
        "detail": failure.reason,
        "outcome": failure.outcome.value,
    }
    if failure.retry_after_s > 0:
        problem["retry_after_s"] = round(failure.retry_after_s, 3)
    return problem
