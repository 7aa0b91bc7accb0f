"""Adapter for calls of a model engine, whose responses are event streams."""

import asyncio
import json
from collections.abc import AsyncIterator

import aiohttp

from bilberryspring.connection.separated_parts import PartTooLongError, read_parts
from bilberryspring.request.backend_call import (
    BackendCall,
    BackendResult,
    diagnose_connection_loss,
    make_common_headers,
    register_backend,
)
from bilberryspring.request.buffered_response import BufferedResponse
from bilberryspring.request.errors import ErrorKind, Failure, Outcome, make_failure
from bilberryspring.request.event_text import join_event_text, read_choice
from bilberryspring.request.stream_liveness import wait_until_stream_lost
from bilberryspring.version.objects import PoolKind

__all__ = ["MAX_EVENT_BYTES", "call_engine", "read_events"]

EVENT_PREFIX = b"data: "
END_OF_STREAM = b"[DONE]"
EVENT_STREAM = "text/event-stream"
MAX_EVENT_BYTES = 1 << 20
MAX_ERROR_BYTES = 500
STREAM_CLOSE_TIMEOUT_S = 0.05


@register_backend(PoolKind.ENGINE)
async def call_engine(call: BackendCall) -> BackendResult | Failure:
    """Send a request to a model engine and store the events of its response.

    A repeatable call is abandoned when its connection becomes silent;
    ``call.is_silent`` is then set.

    :param call: the call; its events are appended to ``call.answer``.
    :returns: how a complete response ended, or a failure.
    """
    if not call.request.idempotent:
        return await _stream_answer(call)
    streaming = asyncio.ensure_future(_stream_answer(call))
    watching = asyncio.ensure_future(
        wait_until_stream_lost(
            call.address,
            call.request.request_id,
            call.request.prompt_tokens,
            lambda: len(call.answer.chunks),
            lambda: call.is_paused(),
        )
    )
    try:
        await asyncio.wait((streaming, watching), return_when=asyncio.FIRST_COMPLETED)
        if streaming.done():
            return streaming.result()
        call.is_silent = True
        reason = "the connection to the engine became silent"
        return make_failure(ErrorKind.BACKEND_FAILED, reason)
    finally:
        for task in (streaming, watching):
            task.cancel()
        await asyncio.gather(streaming, watching, return_exceptions=True)


async def _stream_answer(call: BackendCall) -> BackendResult | Failure:
    request = call.request
    if _is_finished(call.answer):
        return BackendResult(200, EVENT_STREAM)
    body = _make_engine_body(call)
    if isinstance(body, Failure):
        return body
    headers = {"Content-Type": "application/json"} | make_common_headers(call)
    async with call.session.post(
        f"http://{call.address}/v1/chat/completions",
        data=body,
        headers=headers,
        trace_request_ctx=call,
    ) as response:
        if response.status != 200:
            return await _make_refusal(response)
        reported = response.headers.get("X-Engine-Version", "")
        if call.engine_version not in ("", reported):
            return make_failure(ErrorKind.ENGINE_VERSION_CHANGED)
        call.engine_version = reported
        version = call.on_response_start(reported)
        if call.answer.chunks and version != call.answer.engine_version:
            return make_failure(ErrorKind.ENGINE_VERSION_CHANGED)
        call.answer.accept(version, call.config_version)
        async for event in read_events(response.content):
            if event == END_OF_STREAM:
                await _read_to_end(response.content)
                return BackendResult(200, EVENT_STREAM)
            if not call.answer.chunks:
                call.on_progress(request.prompt_tokens)
            call.answer.append(event)
            call.on_progress(1)
    return await diagnose_connection_loss(call, EOFError("the stream ended early"))


async def _read_to_end(content: aiohttp.StreamReader) -> None:
    """Read to the end of the body, so that the connection can be reused."""
    try:
        async with asyncio.timeout(STREAM_CLOSE_TIMEOUT_S):
            await content.readany()
    except (aiohttp.ClientError, OSError, TimeoutError):
        pass  # the response is complete without it


def _is_finished(answer: BufferedResponse) -> bool:
    """Return whether only the end marker is missing from a response."""
    if not answer.chunks:
        return False
    return bool(read_choice(answer.chunks[-1]).get("finish_reason"))


def _make_engine_body(call: BackendCall) -> bytes | Failure:
    """Return the router's JSON body plus the agent's members, without parsing it."""
    request = call.request
    if not request.body.endswith(b"}"):
        return make_failure(ErrorKind.MALFORMED_REQUEST, "body: expected an object")
    members: dict[str, object] = {"stream": True, "priority": call.priority}
    if call.engine_version:
        members["engine_version"] = call.engine_version
    event_count = request.resume_events + len(call.answer.chunks)
    if event_count:
        text = request.resume_text + join_event_text(call.answer.chunks)
        members["continue_from"] = {"events": event_count, "text": text}
    separator = b"" if request.body == b"{}" else b","
    return request.body[:-1] + separator + json.dumps(members)[1:].encode()


async def _make_refusal(response: aiohttp.ClientResponse) -> Failure:
    text = (await response.content.read(MAX_ERROR_BYTES)).decode(errors="replace")
    if response.status == 409:
        return make_failure(ErrorKind.ENGINE_VERSION_CHANGED, text)
    if response.status in (400, 413, 422):
        return make_failure(ErrorKind.MALFORMED_REQUEST, text)
    reason = f"the engine answered {response.status}: {text}"
    return make_failure(ErrorKind.BACKEND_FAILED, reason, outcome=Outcome.UNKNOWN)


async def read_events(content: aiohttp.StreamReader) -> AsyncIterator[bytes]:
    """Yield the data of each server-sent event.

    :param content: body of the response.
    :raises aiohttp.ClientPayloadError: if an event exceeds ``MAX_EVENT_BYTES``.
    """
    pieces = _replace_line_ends(content.iter_any())
    try:
        async for event in read_parts(pieces, b"\n\n", MAX_EVENT_BYTES):
            if data := _join_data(event):
                yield data
    except PartTooLongError as error:
        raise aiohttp.ClientPayloadError(f"an event is too large: {error}") from error


async def _replace_line_ends(pieces: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Yield a stream in pieces, with LF in place of CRLF."""
    held = b""
    async for piece in pieces:
        piece = held + piece
        held = b"\r" if piece.endswith(b"\r") else b""
        yield piece.removesuffix(b"\r").replace(b"\r\n", b"\n")


def _join_data(event: bytes) -> bytes:
    if event.startswith(EVENT_PREFIX) and b"\n" not in event:
        return event[len(EVENT_PREFIX) :]
    return b"\n".join(
        line[len(EVENT_PREFIX) :]
        for line in event.split(b"\n")
        if line.startswith(EVENT_PREFIX)
    )
