"""Decodes callers' requests, and writes answers in the form that they expect."""

import json
from urllib.parse import unquote

from bilberryspring.capability.backend_calls import AnswerHead
from bilberryspring.capability.routing import (
    IncomingRequest,
    Prompt,
    PromptPart,
    RoutingTable,
    find_route,
)
from bilberryspring.connection.http_caller import CallerConnection, HttpRequest
from bilberryspring.identifiers import ModelName, RequestId
from bilberryspring.platform import wire_names as wire
from bilberryspring.request.errors import (
    ANSWERS,
    ErrorKind,
    Failure,
    Outcome,
    make_failure,
    make_problem,
)

__all__ = ["EdgeAnswer", "decode_request", "make_edge_answer"]

REASONS = {
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
_SCHEME = b"bearer "
# Statuses that promise callers that a request did not run and never will.
_PROMISING = (408, 421, 429, 503)
# A caller that waits no longer than this tells nothing of when it gives up.
DEFAULT_DEADLINE_MS = 30_000


class EdgeAnswer:
    """The answer to one caller.

    :param connection: the caller's connection.
    :param request_id: id of the request, repeated in the answer.
    """

    def __init__(self, connection: CallerConnection, request_id: str):
        self._connection = connection
        self._request_id = request_id
        self.status = 0

    @property
    def is_started(self) -> bool:
        """Whether its head was written."""
        return self._connection.is_started

    def start(self, head: AnswerHead, length_bytes: int | None) -> None:
        """Write the head of a server's answer."""
        self.status = head.status
        reason = REASONS.get(head.status, "Answer")
        self._connection.start_answer(head.status, reason, head.headers, length_bytes)

    async def write(self, data: bytes) -> None:
        """Write a part of the body."""
        await self._connection.write(data)

    def finish(self) -> None:
        """End it as complete."""
        self._connection.finish()

    async def refuse(self, failure: Failure) -> None:
        """Answer with a failure, in the status that tells callers what they may do."""
        self.status = _choose_status(failure)
        body = json.dumps({**make_problem(failure), "status": self.status}).encode()
        headers = [(b"Content-Type", b"application/problem+json")]
        if self._request_id:
            headers.append((b"Attempt-Id", self._request_id.encode("latin-1")))
        if failure.retry_after_s > 0 and self.status in _PROMISING:
            headers.append((b"Retry-After", b"%.3f" % failure.retry_after_s))
        reason = REASONS.get(self.status, "Failure")
        self._connection.start_answer(self.status, reason, headers, len(body))
        await self._connection.write(body)
        self._connection.finish()

    def break_off(self) -> None:
        """End it so that it does not look complete."""
        self._connection.break_off()


def _choose_status(failure: Failure) -> int:
    status = ANSWERS[failure.kind].status
    if failure.kind is ErrorKind.REQUEST_QUARANTINED:
        # It was well formed, and callers read other statuses as their own fault.
        return 503
    if failure.outcome is Outcome.NOT_RUN and status in (502, 504):
        return 503
    if failure.outcome is not Outcome.NOT_RUN and status in _PROMISING:
        return 502
    return status


def make_edge_answer(connection: CallerConnection, request_id: str) -> EdgeAnswer:
    """Return an answer that has not begun.

    :param connection: the caller's connection.
    :param request_id: id of the request, empty if it could not be read.
    """
    return EdgeAnswer(connection, request_id)


def decode_request(
    request: HttpRequest, table: RoutingTable
) -> IncomingRequest | Failure:
    """Find the route and the workspace of a request, and decode its headers.

    :param request: what the caller sent.
    :param table: configuration in force.
    :returns: the request, or why it is refused.
    """
    fields = {name.lower(): value for name, value in request.headers}
    request_id = fields.get(wire.ATTEMPT_ID, b"").decode("latin-1")
    target = request.target.decode("latin-1")
    if not target.startswith("/"):
        return make_failure(ErrorKind.MALFORMED_REQUEST, "the target is not a path")
    host = fields.get(b"host", b"").decode("latin-1")
    route = find_route(table, host, target.partition("?")[0])
    if route is None:
        return make_failure(ErrorKind.UNKNOWN_ROUTE)
    workspace, rank_order = None, route.rank_order
    if table.keys is not None and not route.is_public:
        key = _read_key(fields.get(wire.AUTHORIZATION, b""))
        holder = table.keys.get(key)
        if holder is None:
            return make_failure(ErrorKind.UNAUTHENTICATED)
        workspace = holder.workspace
        if holder.rank_order is not None:
            rank_order = holder.rank_order
    if not request_id:
        return make_failure(ErrorKind.MALFORMED_REQUEST, "the request has no id")
    try:
        deadline_ms = float(fields.get(wire.DEADLINE_MS, DEFAULT_DEADLINE_MS))
        prompt = _decode_prompt(fields)
    except ValueError as error:
        return make_failure(ErrorKind.MALFORMED_REQUEST, f"a header is wrong: {error}")
    return IncomingRequest(
        request_id=RequestId(request_id),
        method=request.method,
        target=target,
        headers=_select_headers(request.headers, fields.get(b"connection", b"")),
        body=request.body,
        route=route,
        workspace=workspace,
        rank_order=rank_order,
        received_s=request.received_s,
        deadline_s=request.received_s + deadline_ms / 1000,
        prompt=prompt,
    )


def _read_key(value: bytes) -> str:
    if value[: len(_SCHEME)].lower() != _SCHEME:
        return ""
    return value[len(_SCHEME) :].strip().decode("latin-1")


def _decode_prompt(fields: dict[bytes, bytes]) -> Prompt | None:
    counts = fields.get(wire.TOKEN_COUNTS)
    if counts is None:
        return None
    input_tokens, output_tokens = (int(part) for part in counts.split(b","))
    parts = []
    for part in filter(None, fields.get(wire.PROMPT_PREFIX, b"").split(b",")):
        part_id, _, tokens = part.strip().decode("latin-1").rpartition(":")
        parts.append(PromptPart(part_id, int(tokens)))
    hint = fields.get(wire.LENGTH_HINT, b"")
    return Prompt(
        model=ModelName(unquote(fields.get(wire.MODEL, b"").decode("latin-1"))),
        input_tokens=input_tokens,
        output_tokens=output_tokens,
        parts=tuple(parts),
        hinted_tokens=int(float(hint)) if hint else 0,
    )


def _select_headers(
    headers: list[tuple[bytes, bytes]], connection: bytes
) -> list[tuple[bytes, bytes]]:
    named = {part.strip().lower() for part in connection.split(b",")}
    dropped = wire.HOP_HEADERS | wire.OWN_HEADERS | named
    return [each for each in headers if each[0].lower() not in dropped]
