"""Conversion of a caller's HTTP request into the message for agents."""

import json
import secrets
from dataclasses import dataclass

import pydantic_core

from bilberryspring.connection.messages import Open
from bilberryspring.identifiers import (
    ChatKey,
    ModelName,
    PoolName,
    RankName,
    RequestId,
    RouteName,
    WorkspaceName,
    digest_content,
)
from bilberryspring.request.bearer import read_bearer_key
from bilberryspring.request.errors import ErrorKind, Failure, make_failure
from bilberryspring.request.headers import select_request_headers
from bilberryspring.request.idempotency import make_idempotency_key
from bilberryspring.version.index import ConfigurationIndex
from bilberryspring.version.objects import PoolKind, Route, Workspace

__all__ = [
    "CallerRequest",
    "ResolvedChat",
    "make_request_id",
    "find_workspace",
    "resolve_chat",
    "resolve_service",
]

ESTIMATED_BYTES_PER_TOKEN = 4
DEFAULT_MAX_TOKENS = 256
MAX_HEADER_LENGTH = 256
MAX_UINT32 = (1 << 32) - 1
# Members of the body that only the agent sets; a caller's values are removed.
AGENT_SET_MEMBERS = ("stream", "priority", "engine_version", "continue_from")


@dataclass(slots=True)
class CallerRequest:
    """Parts of an HTTP request that routing needs.

    :param method: HTTP method.
    :param path: path without the query.
    :param query: query without the question mark; empty for none.
    :param headers: header values by lower-case name.
    :param body: content of the body; empty if there is none.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class ResolvedChat:
    """A chat completion request for agents.

    :param open_message: message for agents; its body is a JSON object without the
        members that the agent sets.
    :param wants_stream: whether the caller requested the response as an event stream.
    """

    open_message: Open
    wants_stream: bool


def make_request_id() -> RequestId:
    """Return a random request id of 32 hexadecimal digits."""
    return RequestId(secrets.token_hex(16))


def find_workspace(
    index: ConfigurationIndex, request: CallerRequest
) -> Workspace | Failure:
    """Return the workspace whose key the caller presents.

    :param index: configuration in force.
    :param request: the caller's request.
    :returns: the workspace, or a failure that does not distinguish a missing key from a
        wrong one.
    """
    key = read_bearer_key(request.headers.get("authorization"))
    workspace = index.workspace_by_key(key) if key else None
    return workspace or make_failure(ErrorKind.UNAUTHENTICATED)


def resolve_chat(
    index: ConfigurationIndex, workspace: Workspace, request: CallerRequest
) -> ResolvedChat | Failure:
    """Convert a chat completion request.

    The body's ``model`` names a route, a model or an adapter.

    :param index: configuration in force.
    :param workspace: authenticated workspace.
    :param request: the caller's request.
    :returns: the message for agents, or a failure.
    """
    document = _parse_chat(request.body)
    if isinstance(document, Failure):
        return document
    route = _find_chat_route(index, document["model"])
    if route is None:
        return make_failure(ErrorKind.UNKNOWN_ROUTE, "no route serves this model")
    open_message = _make_open_message(index, workspace, request, route)
    if isinstance(open_message, Failure):
        return open_message
    if document["model"] in index.routes and route.model:
        document["model"] = route.model
    open_message.model = ModelName(document["model"])
    open_message.streaming = True
    open_message.path = "/v1/chat/completions"
    open_message.content_type = "application/json"
    wants_stream = document.get("stream", False)
    for member in AGENT_SET_MEMBERS:
        document.pop(member, None)
    open_message.body = pydantic_core.to_json(document)
    open_message.content_digest = digest_content(open_message.body)
    open_message.prompt_tokens = len(open_message.body) // ESTIMATED_BYTES_PER_TOKEN
    open_message.max_tokens = document.get("max_tokens") or DEFAULT_MAX_TOKENS
    open_message.chat_key = _make_chat_key(workspace, request, document)
    failure = _check_context_length(index, open_message)
    return failure or ResolvedChat(open_message, wants_stream)


def _check_context_length(
    index: ConfigurationIndex, open_message: Open
) -> Failure | None:
    adapter = index.adapters.get(open_message.model)
    model = index.models.get(adapter.model if adapter else open_message.model)
    if model is not None and open_message.prompt_tokens > model.max_context_tokens:
        reason = f"the model takes {model.max_context_tokens} tokens"
        return make_failure(ErrorKind.REQUEST_TOO_LARGE, reason)
    return None


def _parse_chat(body: bytes) -> dict | Failure:
    try:
        document = pydantic_core.from_json(body, allow_inf_nan=False)
    except ValueError:
        return make_failure(ErrorKind.MALFORMED_REQUEST, "the body is not valid JSON")
    if not isinstance(document, dict):
        return make_failure(
            ErrorKind.MALFORMED_REQUEST, "the body is not a JSON object"
        )
    reason = _find_chat_error(document)
    return make_failure(ErrorKind.MALFORMED_REQUEST, reason) if reason else document


def _find_chat_error(document: dict) -> str:
    if not isinstance(document.get("model"), str):
        return "model: expected a name"
    messages = document.get("messages")
    if not isinstance(messages, list) or not messages:
        return "messages: expected a list with at least one message"
    for number, message in enumerate(messages):
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            return f"messages.{number}: expected an object with a role"
        if not isinstance(message.get("content"), str):
            return f"messages.{number}.content: expected a text"
    max_tokens = document.get("max_tokens")
    if max_tokens is not None and (
        type(max_tokens) is not int or not 1 <= max_tokens <= MAX_UINT32
    ):
        return f"max_tokens: expected a number from 1 to {MAX_UINT32}"
    if type(document.get("stream", False)) is not bool:
        return "stream: expected true or false"
    return ""


def _find_chat_route(index: ConfigurationIndex, name: str) -> Route | None:
    route = index.routes.get(name)
    if route is not None:
        is_engine = index.pools[route.pool].kind is PoolKind.ENGINE
        return route if is_engine else None
    adapter = index.adapters.get(name)
    model = index.models.get(adapter.model if adapter else name)
    if model is None:
        return None
    serving = [route for route in index.routes.values() if route.model == model.name]
    anywhere = [
        route
        for route in index.routes.values()
        if route.model is None and route.pool == model.pool
    ]
    return next(iter(serving + anywhere), None)


def _make_chat_key(
    workspace: Workspace, request: CallerRequest, document: dict
) -> ChatKey:
    """Return a key that stays the same for all requests of a chat.

    Later turns of a chat do not change the messages up to the first user message.
    """
    requested_key = request.headers.get("x-chat-key", "")
    if requested_key:
        return ChatKey(digest_content(f"{workspace.name}\0{requested_key}".encode()))
    opening = []
    for message in document["messages"]:
        opening.append([message["role"], message["content"]])
        if message["role"] == "user":
            break
    content = json.dumps([workspace.name, document["model"], opening])
    return ChatKey(digest_content(content.encode()))


def resolve_service(
    index: ConfigurationIndex,
    workspace: Workspace,
    route_name: str,
    path: str,
    request: CallerRequest,
) -> Open | Failure:
    """Convert a request to a plain service.

    :param index: configuration in force.
    :param workspace: authenticated workspace.
    :param route_name: route name in the caller's path.
    :param path: rest of the path, which is forwarded to the service.
    :param request: the caller's request.
    :returns: the message for agents, or a failure.
    """
    route = index.routes.get(route_name)
    if route is None or index.pools[route.pool].kind is not PoolKind.SERVICE:
        return make_failure(ErrorKind.UNKNOWN_ROUTE)
    if request.method not in route.methods:
        reason = f"the route takes {', '.join(route.methods)}"
        return make_failure(ErrorKind.FORBIDDEN, reason)
    open_message = _make_open_message(index, workspace, request, route)
    if isinstance(open_message, Failure):
        return open_message
    open_message.method = request.method
    open_message.path = "/" + path + (f"?{request.query}" if request.query else "")
    open_message.content_type = request.headers.get("content-type", "")
    open_message.headers = select_request_headers(request.headers)
    open_message.body = request.body
    content = f"{open_message.method} {open_message.path}\n".encode() + request.body
    open_message.content_digest = digest_content(content)
    open_message.chat_key = ChatKey(open_message.request_id)
    return _set_idempotency_key(open_message, route, request)


def _set_idempotency_key(
    open_message: Open, route: Route, request: CallerRequest
) -> Open | Failure:
    open_message.idempotency_key = request.headers.get("idempotency-key", "").strip(
        '" '
    )
    if open_message.idempotency_key:
        return open_message
    if route.require_idempotency_key:
        reason = "the route needs an Idempotency-Key header"
        return make_failure(ErrorKind.INVALID_IDEMPOTENCY_KEY, reason)
    if not route.idempotent:
        # With a generated key the router can determine the outcome at a lost agent
        # without running the request a second time.
        open_message.idempotency_key = make_idempotency_key()
    return open_message


def _make_open_message(
    index: ConfigurationIndex,
    workspace: Workspace,
    request: CallerRequest,
    route: Route,
) -> Open | Failure:
    """Return a message with the fields that every kind of route sets."""
    if workspace.routes and route.name not in workspace.routes:
        return make_failure(ErrorKind.FORBIDDEN, "the workspace may not use the route")
    rank = _resolve_rank(index, route, request.headers.get("x-work-rank", ""))
    if isinstance(rank, Failure):
        return rank
    request_id = request.headers.get("x-request-id", "")
    if len(request_id) > MAX_HEADER_LENGTH:
        return make_failure(ErrorKind.MALFORMED_REQUEST, "X-Request-Id is too long")
    return Open(
        request_id=make_request_id(),
        idempotent=route.idempotent,
        workspace=WorkspaceName(workspace.name),
        rank=rank,
        route=RouteName(route.name),
        pool=PoolName(route.pool),
        traceparent=request.headers.get("traceparent", ""),
    )


def _resolve_rank(
    index: ConfigurationIndex, route: Route, requested_rank: str
) -> RankName | Failure:
    """Return the route's rank, or the less urgent one that the caller requests.

    :param requested_rank: value of the X-Work-Rank header; empty for none.
    """
    if not requested_rank or requested_rank == route.work_rank:
        return RankName(route.work_rank)
    rank = index.work_ranks.get(requested_rank)
    if rank is None:
        return make_failure(ErrorKind.MALFORMED_REQUEST, "X-Work-Rank: no such rank")
    if rank.order < index.work_ranks[route.work_rank].order:
        reason = f"the route allows rank {route.work_rank} and less urgent ones"
        return make_failure(ErrorKind.FORBIDDEN, reason)
    return RankName(rank.name)
