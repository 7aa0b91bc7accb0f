"""HTTP API for callers: chat completions, service calls, models and health."""

import json
import re
import time
from typing import Any

from sanic import HTTPResponse, Sanic
from sanic.request import Request
from sanic.response import json as json_response
from sanic.response import raw

from bilberryspring.connection.messages import Final, Open
from bilberryspring.identifiers import InstanceId
from bilberryspring.process.http_server import make_application
from bilberryspring.process.problem_responses import (
    convert_exception,
    make_problem_response,
)
from bilberryspring.process.traces import start_span
from bilberryspring.request.caller_requests import (
    CallerRequest,
    find_workspace,
    resolve_chat,
    resolve_service,
)
from bilberryspring.request.errors import (
    ErrorKind,
    Failure,
    make_failure,
    make_problem,
)
from bilberryspring.request.event_text import join_event_text, read_choice, read_event
from bilberryspring.request.forwarding_state import ForwardingState
from bilberryspring.request.headers import unpack_headers
from bilberryspring.request.request_forwarding import forward_request
from bilberryspring.request.response_receiver import attach_to_response
from bilberryspring.version.index import ConfigurationIndex
from bilberryspring.version.objects import Workspace

__all__ = ["make_caller_application", "parse_event_id"]

SERVICE_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
EVENT_STREAM_TYPE = "text/event-stream"
SEQUENCE_PATTERN = re.compile(r"[0-9]{1,9}")
RESUMED_STREAM_TIMEOUT_S = 3600.0


def make_event_id(instance_id: InstanceId, request_id: str, sequence: int) -> str:
    """Return the id of a server-sent event.

    A caller sends the id in ``Last-Event-ID`` to any router, which then resumes the
    stream after that event.

    :param instance_id: agent that retains the answer.
    :param request_id: id of the request.
    :param sequence: position of the event in the answer, from zero.

    >>> make_event_id(InstanceId("agent-1"), "0f", 7)
    'agent-1/0f/7'
    """
    return f"{instance_id}/{request_id}/{sequence}"


def parse_event_id(text: str) -> tuple[InstanceId, str, int] | Failure:
    """Parse an event id into instance id, request id and sequence number.

    :param text: value of a ``Last-Event-ID`` header.
    :returns: the three parts, or a failure if the value is malformed.

    >>> parse_event_id("agent-1/0f/7")
    ('agent-1', '0f', 7)
    >>> parse_event_id("x").kind.value
    'malformed_request'
    """
    parts = text.rsplit("/", 2)
    if len(parts) != 3 or not SEQUENCE_PATTERN.fullmatch(parts[2]):
        reason = "Last-Event-ID: expected an event id of this API"
        return make_failure(ErrorKind.MALFORMED_REQUEST, reason)
    return InstanceId(parts[0]), parts[1], int(parts[2])


class _EventSink:
    """Sink that sends chunks as server-sent events.

    The HTTP response starts with the first chunk.
    """

    def __init__(self, request: Request, request_id: str):
        self.request = request
        self.request_id = request_id
        self.response: HTTPResponse | None = None
        self.started_s = time.monotonic()
        self.first_chunk_s: float | None = None

    async def write(self, instance_id: InstanceId, sequence: int, data: bytes) -> None:
        if self.first_chunk_s is None:
            self.first_chunk_s = time.monotonic()
        await self.begin()
        event_id = make_event_id(instance_id, self.request_id, sequence)
        await self.send(b"id: %b\ndata: %b\n\n" % (event_id.encode(), data))

    async def begin(self) -> None:
        if self.response is None:
            headers = {"X-Request-Id": self.request_id, "Cache-Control": "no-store"}
            self.response = await self.request.respond(
                content_type=EVENT_STREAM_TYPE, headers=headers
            )

    async def send(self, text: bytes) -> None:
        await self.response.send(text)

    async def end(self, result: Final | Failure) -> HTTPResponse | None:
        """End the stream, or return a problem response if it failed before its start.

        :param result: final frame of the answer, or the failure that ended it.
        :returns: the problem response, or None if the stream had started.
        """
        if isinstance(result, Failure) and self.response is None:
            return make_problem_response(result, self.request_id)
        await self.begin()
        if isinstance(result, Failure):
            problem = json.dumps(make_problem(result)).encode()
            last_event = b"event: error\ndata: %b\n\n" % problem
        else:
            last_event = b"data: [DONE]\n\n"
        # Send the end of the body together with the last event: a caller that stops
        # reading at that event can reuse the connection only if the body is complete.
        await self.response.send(last_event, end_stream=True)
        return None


class _BufferingSink:
    """Sink that sends nothing; the chunks stay in the forwarding until the end.

    It only records when the first chunk arrives.
    """

    first_chunk_s: float | None = None

    async def write(self, instance_id: InstanceId, sequence: int, data: bytes) -> None:
        if self.first_chunk_s is None:
            self.first_chunk_s = time.monotonic()


def _read_caller_request(request: Request) -> CallerRequest | Failure:
    headers = {name.lower(): value for name, value in request.headers.items()}
    if fault := _describe_undecodable_header(headers):
        return make_failure(ErrorKind.MALFORMED_REQUEST, fault)
    return CallerRequest(
        method=request.method,
        path=request.path,
        query=request.query_string,
        headers=headers,
        body=request.body,
    )


def _describe_undecodable_header(headers: dict[str, str]) -> str:
    """Return an error message for the first header that is not UTF-8, or "" if none.

    The HTTP server decodes invalid bytes to surrogate escapes, which cannot be encoded.
    """
    for name, value in headers.items():
        try:
            value.encode()
        except UnicodeEncodeError:
            return f"{name}: expected UTF-8 text"
    return ""


def _authenticate(
    process: Any, caller_request: CallerRequest | Failure
) -> tuple[ConfigurationIndex, Workspace] | Failure:
    if isinstance(caller_request, Failure):
        return caller_request
    index = process.holder.index
    if index is None:
        return make_failure(ErrorKind.CONFIGURATION_UNAVAILABLE)
    workspace = find_workspace(index, caller_request)
    return workspace if isinstance(workspace, Failure) else (index, workspace)


def _make_forwarding(process: Any, open_message: Open, sink: Any) -> ForwardingState:
    index = process.holder.index
    pool = index.pools[open_message.pool]
    return ForwardingState(
        request=open_message,
        policy=pool.placement_policy or process.settings.placement_policy,
        deadline_s=time.monotonic() + index.routes[open_message.route].deadline_s,
        sink=sink,
    )


async def handle_chat_request(process: Any, request: Request) -> HTTPResponse | None:
    """Handle a chat completion request, streamed or complete.

    :param process: the router process.
    :param request: the caller's HTTP request.
    :returns: the response, or None if it was streamed.
    """
    caller_request = _read_caller_request(request)
    authenticated = _authenticate(process, caller_request)
    if isinstance(authenticated, Failure):
        return make_problem_response(authenticated)
    index, workspace = authenticated
    if "last-event-id" in caller_request.headers:
        return await _resume_chat(process, request, caller_request, workspace)
    chat = resolve_chat(index, workspace, caller_request)
    if isinstance(chat, Failure):
        return make_problem_response(chat)
    open_message = chat.open_message
    with start_span(
        "router.chat", open_message.traceparent, request_id=open_message.request_id
    ) as span:
        open_message.traceparent = span.traceparent
        if chat.wants_stream:
            return await _stream_chat(process, request, open_message)
        return await _complete_chat(process, open_message)


async def _stream_chat(
    process: Any, request: Request, open_message: Open
) -> HTTPResponse | None:
    sink = _EventSink(request, open_message.request_id)
    forwarding = _make_forwarding(process, open_message, sink)
    result = await _forward(process, forwarding, sink)
    return await sink.end(result)


async def _forward(
    process: Any, forwarding: ForwardingState, sink: Any
) -> Final | Failure:
    started_s = time.monotonic()
    result = await forward_request(process, forwarding)
    process.record_result(forwarding, result, started_s, sink.first_chunk_s)
    return result


async def _complete_chat(process: Any, open_message: Open) -> HTTPResponse:
    sink = _BufferingSink()
    forwarding = _make_forwarding(process, open_message, sink)
    result = await _forward(process, forwarding, sink)
    if isinstance(result, Failure):
        return make_problem_response(result, open_message.request_id)
    last_chunk = forwarding.chunks[-1] if forwarding.chunks else b""
    completion = {
        "id": open_message.request_id,
        "object": "chat.completion",
        "model": open_message.model,
        "choices": [
            {
                "index": 0,
                "message": {
                    "role": "assistant",
                    "content": join_event_text(forwarding.chunks),
                },
                "finish_reason": read_choice(last_chunk).get("finish_reason"),
            }
        ],
        "usage": read_event(last_chunk).get("usage"),
    }
    return json_response(completion, headers={"X-Request-Id": open_message.request_id})


async def _resume_chat(
    process: Any, request: Request, caller_request: CallerRequest, workspace: Workspace
) -> HTTPResponse | None:
    """Stream the rest of an answer after the last event that the caller received."""
    position = parse_event_id(caller_request.headers["last-event-id"])
    if isinstance(position, Failure):
        return make_problem_response(position)
    instance_id, request_id, sequence = position
    instance = process.members.find(instance_id)
    if instance is None:
        reason = "the instance that retained the answer is no longer in the fleet"
        return make_problem_response(make_failure(ErrorKind.UNKNOWN_ANSWER, reason))
    sink = _EventSink(request, request_id)
    forwarding = ForwardingState(
        request=Open(request_id, workspace=workspace.name, streaming=True),
        policy="",
        deadline_s=time.monotonic() + RESUMED_STREAM_TIMEOUT_S,
        sink=sink,
    )
    result = await attach_to_response(process, forwarding, instance, sequence + 1)
    return await sink.end(result)


async def handle_service_request(
    process: Any, request: Request, route: str, path: str
) -> HTTPResponse:
    """Handle a service call and return the complete response of the service.

    :param process: the router process.
    :param request: the caller's HTTP request.
    :param route: name of the route.
    :param path: path below the route, passed on to the service; may be empty.
    """
    caller_request = _read_caller_request(request)
    authenticated = _authenticate(process, caller_request)
    if isinstance(authenticated, Failure):
        return make_problem_response(authenticated)
    open_message = resolve_service(*authenticated, route, path, caller_request)
    if isinstance(open_message, Failure):
        return make_problem_response(open_message)
    with start_span(
        "router.service", open_message.traceparent, request_id=open_message.request_id
    ) as span:
        open_message.traceparent = span.traceparent
        sink = _BufferingSink()
        forwarding = _make_forwarding(process, open_message, sink)
        result = await _forward(process, forwarding, sink)
    if isinstance(result, Failure):
        return make_problem_response(result, open_message.request_id)
    headers = unpack_headers(result.headers)
    headers["X-Request-Id"] = open_message.request_id
    if open_message.idempotency_key:
        headers["Idempotency-Key"] = open_message.idempotency_key
    if result.replayed:
        headers["Idempotency-Replayed"] = "true"
    return raw(
        b"".join(forwarding.chunks),
        status=result.status,
        headers=headers,
        content_type=result.content_type,
    )


def make_caller_application(process: Any) -> Sanic:
    """Return the Sanic application that serves callers.

    :param process: the router process.
    """
    app = make_application(
        f"callers-{process.instance_id}", process.settings.max_body_bytes
    )

    @app.route("/v1/chat/completions", methods=["GET", "POST"])
    async def chat(request: Request) -> HTTPResponse | None:
        return await process.track_request(handle_chat_request(process, request))

    @app.route("/services/<route:str>", methods=SERVICE_METHODS, name="service_root")
    async def service_root(request: Request, route: str) -> HTTPResponse:
        return await process.track_request(
            handle_service_request(process, request, route, "")
        )

    @app.route("/services/<route:str>/<path:path>", methods=SERVICE_METHODS)
    async def service(request: Request, route: str, path: str) -> HTTPResponse:
        return await process.track_request(
            handle_service_request(process, request, route, path)
        )

    @app.get("/v1/models")
    async def models(request: Request) -> HTTPResponse:
        authenticated = _authenticate(process, _read_caller_request(request))
        if isinstance(authenticated, Failure):
            return make_problem_response(authenticated)
        index, _ = authenticated
        names = [*index.models, *index.adapters]
        data = [{"id": name, "object": "model"} for name in names]
        return json_response({"object": "list", "data": data})

    @app.get("/healthz")
    async def health(request: Request) -> HTTPResponse:
        ready = process.is_ready()
        return json_response({"ready": ready}, status=200 if ready else 503)

    @app.on_response
    async def disable_keep_alive_when_draining(
        request: Request, response: HTTPResponse
    ) -> None:
        # If a connection stayed open, the router could close it at the moment when its
        # next request arrives.
        if process.draining:
            request.stream.keep_alive = False

    @app.exception(Exception)
    async def respond_to_exception(request: Request, error: Exception) -> HTTPResponse:
        return make_problem_response(convert_exception(error))

    return app
