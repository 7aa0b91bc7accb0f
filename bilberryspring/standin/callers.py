"""Client calls to a router that record every event and response they receive."""

import json
import time
from dataclasses import dataclass, field

import aiohttp

from bilberryspring.standin.engine_text import (
    Message,
    digest_request,
    make_expected_text,
)
from bilberryspring.standin.event_stream import ServerEvent, read_server_events

__all__ = [
    "ChatEvent",
    "ChatRecord",
    "ServiceCallRecord",
    "send_chat",
    "resume_chat",
    "call_service",
    "find_answer_errors",
]

CALL_TIMEOUT_S = 60.0
LINE_LIMIT_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class ChatEvent:
    """One event of a streamed chat response.

    :param event_id: id of the event; empty if it has none.
    :param text: text that the event adds to the answer.
    :param finish_reason: why the answer ends with this event; empty if it goes on.
    :param received_s: time of receipt in seconds, on the monotonic clock.
    """

    event_id: str
    text: str
    finish_reason: str
    received_s: float


@dataclass(slots=True)
class ChatRecord:
    """What a caller received for one chat.

    :param messages: messages of the request.
    :param request_id: id that the router gave the request; empty before a response.
    :param status: HTTP status of the last response; zero before a response.
    :param events: events received, including those after a resumption.
    :param usage: token usage that the answer reports; empty until it does.
    :param is_whole: whether the end-of-stream marker was received.
    :param problem: problem document of a refused request or an interrupted stream;
        empty if there is none.
    :param retry_after_s: ``Retry-After`` of the response in seconds; zero for none.
    :param error: exception that ended the connection, as text; empty for none.
    :param started_s: time of the request, on the monotonic clock.
    :param finished_s: time at which the last response ended, on the monotonic clock.
    """

    messages: list[Message]
    request_id: str = ""
    status: int = 0
    events: list[ChatEvent] = field(default_factory=list)
    usage: dict = field(default_factory=dict)
    is_whole: bool = False
    problem: dict = field(default_factory=dict)
    retry_after_s: float = 0.0
    error: str = ""
    started_s: float = 0.0
    finished_s: float = 0.0

    @property
    def text(self) -> str:
        """Text received so far."""
        return "".join(event.text for event in self.events)

    @property
    def last_event_id(self) -> str:
        """Id of the last event; empty if no event was received."""
        return self.events[-1].event_id if self.events else ""

    @property
    def first_event_s(self) -> float | None:
        """Receive time of the first event; None if no event was received."""
        return self.events[0].received_s if self.events else None

    @property
    def outcome(self) -> str:
        """Outcome that the problem document states; empty if it states none."""
        return self.problem.get("outcome", "")


@dataclass(slots=True)
class ServiceCallRecord:
    """What a caller received for one call to a plain service.

    :param idempotency_key: key that was sent; empty for none.
    :param request_id: id that the router gave the request; empty before a response.
    :param status: HTTP status; zero if no response was received.
    :param body: body of the response.
    :param headers: headers of the response.
    :param problem: problem document of an error response; empty for a success.
    :param retry_after_s: ``Retry-After`` of the response in seconds; zero for none.
    :param error: exception that ended the connection, as text; empty for none.
    :param started_s: time of the request, on the monotonic clock.
    :param finished_s: time at which the response ended, on the monotonic clock.
    """

    idempotency_key: str
    request_id: str = ""
    status: int = 0
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    problem: dict = field(default_factory=dict)
    retry_after_s: float = 0.0
    error: str = ""
    started_s: float = 0.0
    finished_s: float = 0.0

    @property
    def outcome(self) -> str:
        """Outcome that the problem document states; empty if it states none."""
        return self.problem.get("outcome", "")

    @property
    def document(self) -> dict:
        """Response body parsed as JSON."""
        return json.loads(self.body)


async def send_chat(
    session: aiohttp.ClientSession,
    address: str,
    workspace_key: str,
    messages: list[Message],
    *,
    model: str,
    max_tokens: int = 32,
    headers: dict[str, str] | None = None,
    stop_after_events: int | None = None,
    timeout_s: float = CALL_TIMEOUT_S,
    on_event=None,
) -> ChatRecord:
    """Send a chat request and read the streamed response.

    A failed connection raises nothing; the record holds the error.

    :param session: HTTP session.
    :param address: caller address of a router.
    :param workspace_key: API key of the workspace.
    :param messages: messages of the conversation.
    :param model: name of a model, an adapter or a route.
    :param max_tokens: limit on the tokens of the answer.
    :param headers: additional request headers.
    :param stop_after_events: close the connection after this many events; None to
        read to the end.
    :param timeout_s: time limit for the whole response.
    :param on_event: coroutine function called with each event; None for none.
    :returns: record of what was received.
    """
    record = ChatRecord(list(messages), started_s=time.monotonic())
    body = {"model": model, "messages": messages, "max_tokens": max_tokens}
    request = session.post(
        f"http://{address}/v1/chat/completions",
        json=body | {"stream": True},
        headers={"Authorization": f"Bearer {workspace_key}", **(headers or {})},
        timeout=aiohttp.ClientTimeout(total=timeout_s),
    )
    await _receive(record, request, stop_after_events, on_event)
    return record


async def resume_chat(
    session: aiohttp.ClientSession,
    address: str,
    workspace_key: str,
    record: ChatRecord,
    *,
    stop_after_events: int | None = None,
    timeout_s: float = CALL_TIMEOUT_S,
    on_event=None,
) -> ChatRecord:
    """Resume an interrupted stream and append the remaining events to its record.

    :param session: HTTP session.
    :param address: caller address of any router.
    :param workspace_key: API key of the workspace.
    :param record: record of the interrupted stream.
    :param stop_after_events: close the connection after this many further events;
        None to read to the end.
    :param timeout_s: time limit for the rest of the stream.
    :param on_event: coroutine function called with each event; None for none.
    :returns: the same record.
    """
    headers = {
        "Authorization": f"Bearer {workspace_key}",
        "Last-Event-ID": record.last_event_id,
    }
    record.status, record.error, record.problem = 0, "", {}
    request = session.get(
        f"http://{address}/v1/chat/completions",
        headers=headers,
        timeout=aiohttp.ClientTimeout(total=timeout_s),
    )
    await _receive(record, request, stop_after_events, on_event)
    return record


async def _receive(record, request, stop_after_events, on_event) -> None:
    try:
        async with request as response:
            _record_response(record, response)
            if response.status == 200:
                await _read_events(record, response, stop_after_events, on_event)
            else:
                record.problem = _parse_problem(await response.read())
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        record.error = repr(error)
    record.finished_s = time.monotonic()


def _record_response(
    record: ChatRecord | ServiceCallRecord, response: aiohttp.ClientResponse
) -> None:
    record.status = response.status
    record.request_id = response.headers.get("X-Request-Id", record.request_id)
    record.retry_after_s = float(response.headers.get("Retry-After", 0))


async def _read_events(
    record: ChatRecord,
    response: aiohttp.ClientResponse,
    stop_after_events: int | None,
    on_event,
) -> None:
    remaining_events = stop_after_events
    async for server_event in read_server_events(response.content):
        event = _parse_chat_event(record, server_event)
        if event is None:
            continue
        record.events.append(event)
        if on_event is not None:
            await on_event(event)
        remaining_events = None if remaining_events is None else remaining_events - 1
        if remaining_events == 0:
            response.close()
            return


def _parse_chat_event(record: ChatRecord, event: ServerEvent) -> ChatEvent | None:
    if event.is_error:
        record.problem = _parse_problem(event.data)
        return None
    if event.is_end:
        record.is_whole = True
        return None
    document = json.loads(event.data)
    choice = document["choices"][0]
    record.usage = document.get("usage") or record.usage
    return ChatEvent(
        event_id=event.event_id,
        text=choice["delta"].get("content", ""),
        finish_reason=choice.get("finish_reason") or "",
        received_s=time.monotonic(),
    )


def _parse_problem(body: bytes) -> dict:
    try:
        problem = json.loads(body)
    except ValueError:
        return {"detail": body.decode(errors="replace")}
    return problem if isinstance(problem, dict) else {"detail": problem}


async def call_service(
    session: aiohttp.ClientSession,
    address: str,
    workspace_key: str,
    route: str,
    body: bytes,
    idempotency_key: str = "",
    *,
    method: str = "POST",
    path: str = "",
    headers: dict[str, str] | None = None,
    timeout_s: float = CALL_TIMEOUT_S,
) -> ServiceCallRecord:
    """Call a plain service through a router.

    A failed connection raises nothing; the record holds the error.

    :param session: HTTP session.
    :param address: caller address of a router.
    :param workspace_key: API key of the workspace.
    :param route: name of the route.
    :param body: request body.
    :param idempotency_key: value of the ``Idempotency-Key`` header; empty to send no
        such header.
    :param method: HTTP method.
    :param path: path after the name of the route; empty for none.
    :param headers: additional request headers.
    :param timeout_s: time limit for the whole response.
    :returns: record of what was received.
    """
    record = ServiceCallRecord(idempotency_key, started_s=time.monotonic())
    sent_headers = {"Authorization": f"Bearer {workspace_key}", **(headers or {})}
    if idempotency_key:
        sent_headers["Idempotency-Key"] = idempotency_key
    url = f"http://{address}/services/{route}"
    try:
        async with session.request(
            method,
            f"{url}/{path}" if path else url,
            data=body,
            headers=sent_headers,
            timeout=aiohttp.ClientTimeout(total=timeout_s),
        ) as response:
            _record_response(record, response)
            record.headers = dict(response.headers)
            record.body = await response.read()
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        record.error = repr(error)
    if record.status >= 400:
        record.problem = _parse_problem(record.body)
    record.finished_s = time.monotonic()
    return record


def find_answer_errors(
    record: ChatRecord, model: str, engine_version: str, adapter: str = ""
) -> list[str]:
    """Compare a record with the answer that the engine stand-in generates.

    :param record: what the caller received.
    :param model: model that the engine ran.
    :param engine_version: version of the engine.
    :param adapter: adapter that the engine applied; empty for none.
    :returns: a description of each difference; empty if the answer is complete and
        correct.
    """
    digest = digest_request(model, adapter, record.messages)
    expected = make_expected_text(digest, engine_version, len(record.events))
    event_ids = [event.event_id for event in record.events]
    completion_tokens = record.usage.get("completion_tokens")
    expectations = {
        f"status {record.status}": record.status == 200,
        f"error {record.error}": not record.error,
        f"problem {record.problem}": not record.problem,
        "the end-of-stream marker is missing": record.is_whole,
        "the text differs from the engine's": record.text == expected,
        "an event id is missing or duplicated": len(set(event_ids)) == len(event_ids)
        and all(event_ids),
        f"{len(record.events)} events of {completion_tokens}": len(record.events)
        == completion_tokens,
    }
    return [difference for difference, holds in expectations.items() if not holds]
