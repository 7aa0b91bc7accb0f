"""Decode the HTTP requests of callers and write the responses to them."""

import json
import math
from urllib.parse import unquote

from bilberryspring.capability.backend_calls import (
    NOT_RUN_STATUSES,
    BackendResponseHead,
)
from bilberryspring.capability.routing import (
    IncomingRequest,
    Prompt,
    PromptPart,
    RoutingTable,
    find_route,
)
from bilberryspring.connection.http_caller import CallerConnection, HttpRequest
from bilberryspring.identifiers import ModelName, RequestId
from bilberryspring.malformed_input import MALFORMED_ERRORS, require_int
from bilberryspring.platform import wire_names as wire
from bilberryspring.request.errors import (
    ERROR_RESPONSES,
    ErrorKind,
    Failure,
    Outcome,
    make_failure,
    make_problem,
)

__all__ = ["HttpCallerResponse", "decode_request", "make_http_caller_response"]

REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    421: "Misdirected Request",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
_BEARER_SCHEME = b"bearer "
# Callers that wait at most this long send no deadline header.
DEFAULT_DEADLINE_MS = 30_000
MAX_TOKENS = 2**31 - 1


class HttpCallerResponse:
    """The HTTP response to one request of a caller.

    :param connection: connection of the caller.
    :param request_id: id of the request, which a failure response repeats; empty if
        the request has none.
    """

    def __init__(self, connection: CallerConnection, request_id: str):
        self._connection = connection
        self._request_id = request_id
        self.status = 0

    @property
    def is_started(self) -> bool:
        """Whether the status line and the headers have been written."""
        return self._connection.is_response_started

    def start(self, head: BackendResponseHead, length_bytes: int | None) -> None:
        """Write the status line and the headers of a server's response.

        :param head: head of the server's response.
        :param length_bytes: length of the body; ``None`` if it is streamed.
        """
        self.status = head.status
        reason = REASON_PHRASES.get(head.status, "Answer")
        self._connection.start_response(head.status, reason, head.headers, length_bytes)

    async def write(self, data: bytes) -> None:
        """Write a chunk of the body.

        :param data: content of the chunk.
        """
        await self._connection.write(data)

    def finish(self) -> None:
        """Mark the response as complete."""
        self._connection.finish()

    async def refuse(self, failure: Failure) -> None:
        """Respond with a failure.

        The status tells the caller whether the request may have been executed.

        :param failure: why there is no response of a server.
        """
        self.status = _choose_status(failure)
        body = json.dumps({**make_problem(failure), "status": self.status}).encode()
        headers = [(b"Content-Type", b"application/problem+json")]
        if self._request_id:
            headers.append((b"Attempt-Id", self._request_id.encode("latin-1")))
        if failure.retry_after_s > 0 and self.status in NOT_RUN_STATUSES:
            headers.append((b"Retry-After", b"%.3f" % failure.retry_after_s))
        reason = REASON_PHRASES.get(self.status, "Failure")
        self._connection.start_response(self.status, reason, headers, len(body))
        await self._connection.write(body)
        self._connection.finish()

    def abort_response(self) -> None:
        """Close the connection so that the response is visibly incomplete."""
        self._connection.abort_response()


def _choose_status(failure: Failure) -> int:
    status = ERROR_RESPONSES[failure.kind].status
    if failure.kind is ErrorKind.REQUEST_QUARANTINED:
        # Callers take any other status as an error in their request, which was valid.
        return 503
    if failure.outcome is Outcome.NOT_RUN and status in (502, 504):
        return 503
    if failure.outcome is not Outcome.NOT_RUN and status in NOT_RUN_STATUSES:
        return 502
    return status


def make_http_caller_response(
    connection: CallerConnection, request_id: str
) -> HttpCallerResponse:
    """Return a response that has not been started.

    :param connection: connection of the caller.
    :param request_id: id of the request; empty if it could not be decoded.
    """
    return HttpCallerResponse(connection, request_id)


def decode_request(
    request: HttpRequest, table: RoutingTable
) -> IncomingRequest | Failure:
    """Decode a caller's request and resolve its route and workspace.

    :param request: HTTP request of the caller.
    :param table: current routing table.
    :returns: the decoded request, or a failure if it is refused.
    """
    header_values = {name.lower(): value for name, value in request.headers}
    request_id = header_values.get(wire.ATTEMPT_ID, b"").decode("latin-1")
    target = request.target.decode("latin-1")
    if not target.startswith("/"):
        return make_failure(
            ErrorKind.MALFORMED_REQUEST, "the request target is not a path"
        )
    host = header_values.get(b"host", b"").decode("latin-1")
    route = find_route(table, host, target.partition("?")[0])
    if route is None:
        return make_failure(ErrorKind.UNKNOWN_ROUTE)
    workspace, rank_order, workspace_regions = None, route.rank_order, None
    if table.keys is not None and not route.is_public:
        bearer_key = _parse_bearer_key(header_values.get(wire.AUTHORIZATION, b""))
        workspace_key = table.keys.get(bearer_key)
        if workspace_key is None:
            return make_failure(ErrorKind.UNAUTHENTICATED)
        workspace = workspace_key.workspace
        workspace_regions = workspace_key.allowed_regions
        if workspace_key.rank_order is not None:
            rank_order = workspace_key.rank_order
    if not request_id:
        return make_failure(ErrorKind.MALFORMED_REQUEST, "the request has no id header")
    try:
        deadline_ms = float(header_values.get(wire.DEADLINE_MS, DEFAULT_DEADLINE_MS))
        if not math.isfinite(deadline_ms):
            raise ValueError(f"the deadline {deadline_ms} is not finite")
        prompt = _decode_prompt(header_values)
    except MALFORMED_ERRORS as error:
        return make_failure(ErrorKind.MALFORMED_REQUEST, f"malformed header: {error}")
    return IncomingRequest(
        request_id=RequestId(request_id),
        method=request.method,
        target=target,
        headers=_filter_headers(request.headers, header_values.get(b"connection", b"")),
        body=request.body,
        route=route,
        workspace=workspace,
        rank_order=rank_order,
        received_s=request.received_s,
        deadline_s=request.received_s + deadline_ms / 1000,
        prompt=prompt,
        workspace_regions=workspace_regions,
    )


def _parse_bearer_key(value: bytes) -> str:
    if value[: len(_BEARER_SCHEME)].lower() != _BEARER_SCHEME:
        return ""
    return value[len(_BEARER_SCHEME) :].strip().decode("latin-1")


def _decode_prompt(headers: dict[bytes, bytes]) -> Prompt | None:
    counts = headers.get(wire.TOKEN_COUNTS)
    if counts is None:
        return None
    input_tokens, output_tokens = map(_parse_tokens, counts.split(b","))
    parts = []
    for part in filter(None, headers.get(wire.PROMPT_PREFIX, b"").split(b",")):
        part_id, _, tokens = part.strip().decode("latin-1").rpartition(":")
        parts.append(PromptPart(part_id, _parse_tokens(tokens)))
    length_hint = headers.get(wire.LENGTH_HINT, b"")
    return Prompt(
        model=ModelName(unquote(headers.get(wire.MODEL, b"").decode("latin-1"))),
        input_tokens=input_tokens,
        output_tokens=output_tokens,
        parts=tuple(parts),
        hinted_output_tokens=_parse_tokens(max(float(length_hint or 0), 0.0)),
    )


def _parse_tokens(value: str | bytes | float) -> int:
    """Return a number of tokens.

    :raises ValueError: if it is not a number of that range.
    :raises OverflowError: if it is infinite.
    """
    return require_int(int(value), "a number of tokens", 0, MAX_TOKENS)


def _filter_headers(
    headers: list[tuple[bytes, bytes]], connection_header: bytes
) -> list[tuple[bytes, bytes]]:
    connection_options = {
        part.strip().lower() for part in connection_header.split(b",")
    }
    dropped = wire.HOP_BY_HOP_HEADERS | wire.ROUTER_ONLY_HEADERS | connection_options
    return [header for header in headers if header[0].lower() not in dropped]
