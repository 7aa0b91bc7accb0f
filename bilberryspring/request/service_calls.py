"""Adapter for calls of a plain service."""

import asyncio
import time
from dataclasses import replace

import aiohttp

from bilberryspring.process.logs import log_event
from bilberryspring.request.backend_call import (
    BackendCall,
    BackendResult,
    make_common_headers,
    register_backend,
)
from bilberryspring.request.backend_session import (
    SecondSendError,
    make_backend_session,
)
from bilberryspring.request.buffered_response import (
    BufferedResponse,
    make_buffered_response,
)
from bilberryspring.request.errors import ErrorKind, Failure, make_failure
from bilberryspring.request.headers import select_response_headers, unpack_headers
from bilberryspring.version.objects import PoolKind

__all__ = ["call_service"]

CHUNK_BYTES = 1 << 16
HEDGED_CALL_ERRORS = (aiohttp.ClientError, OSError, TimeoutError, SecondSendError)


@register_backend(PoolKind.SERVICE)
async def call_service(call: BackendCall) -> BackendResult | Failure:
    """Send a request to a plain service and store its complete response.

    A repeatable call is sent a second time when its connection becomes silent.

    :param call: the call; its response is appended to ``call.answer``.
    :returns: how the response ended, or a failure.
    """
    if not call.request.idempotent:
        return await _send_call(call)
    call.hedging_policy.record_call()
    return await _call_with_hedge(call)


async def _call_with_hedge(call: BackendCall) -> BackendResult | Failure:
    first = asyncio.ensure_future(_send_call(call))
    try:
        if (
            not await _becomes_silent(call, first)
            or not call.hedging_policy.try_spend_hedge()
        ):
            return await first
        log_event("service_call_silent", request_id=call.request.request_id)
        return await _race_hedged_call(call, first)
    finally:
        if not first.done():
            first.cancel()
            await asyncio.gather(first, return_exceptions=True)


async def _becomes_silent(
    call: BackendCall, sending: asyncio.Future[BackendResult | Failure]
) -> bool:
    """Return whether no data arrives for the silence timeout before the end."""
    while True:
        received_chunks = len(call.answer.chunks)
        done, _ = await asyncio.wait(
            (sending,), timeout=call.hedging_policy.silence_timeout_s
        )
        if done:
            return False
        if len(call.answer.chunks) == received_chunks:
            return True


async def _race_hedged_call(
    call: BackendCall, first: asyncio.Future[BackendResult | Failure]
) -> BackendResult | Failure:
    """Send a silent call again and return the response that is complete first."""
    answer = call.answer
    second_answer = make_buffered_response(
        answer.request_id,
        answer.workspace,
        answer.window_chunks,
        memory=answer.memory,
    )
    second = asyncio.ensure_future(_call_on_new_connection(call, second_answer))
    try:
        await asyncio.wait((first, second), return_when=asyncio.FIRST_COMPLETED)
        if first.done() and first.exception() is None:
            return first.result()
        result = await second
        if not isinstance(result, BackendResult):
            return await first
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        return _adopt_hedged_response(call, second_answer) or result
    finally:
        second.cancel()
        await asyncio.gather(second, return_exceptions=True)
        second_answer.discard()


async def _call_on_new_connection(
    call: BackendCall, second_answer: BufferedResponse
) -> BackendResult | Failure:
    """Send the call again over a connection that no other call has used."""
    session = make_backend_session()
    second_call = replace(call, session=session, answer=second_answer, sent=False)
    try:
        return await _send_call(second_call)
    except HEDGED_CALL_ERRORS as error:
        return make_failure(ErrorKind.BACKEND_FAILED, repr(error))
    finally:
        await session.close()


def _adopt_hedged_response(
    call: BackendCall, second_answer: BufferedResponse
) -> Failure | None:
    """Complete the first response from the second, which must start with it."""
    received, complete = b"".join(call.answer.chunks), b"".join(second_answer.chunks)
    if not complete.startswith(received):
        reason = (
            "the connection became silent, and the response to the repeated call "
            "does not start with the data received before"
        )
        return make_failure(ErrorKind.BACKEND_FAILED, reason)
    call.answer.accept(second_answer.engine_version, call.config_version)
    if len(complete) > len(received):
        call.answer.append(complete[len(received) :])
    return None


async def _send_call(call: BackendCall) -> BackendResult | Failure:
    request = call.request
    started_s = time.monotonic()
    headers = unpack_headers(request.headers) | make_common_headers(call)
    if request.idempotency_key:
        headers["Idempotency-Key"] = request.idempotency_key
    if request.content_type:
        headers["Content-Type"] = request.content_type
    # A reused connection may be closing; with a new one it is more certain whether the
    # request was sent.
    if not request.idempotent:
        headers["Connection"] = "close"
    async with call.session.request(
        request.method,
        f"http://{call.address}{request.path}",
        data=request.body or None,
        headers=headers,
        allow_redirects=False,
        trace_request_ctx=call,
    ) as response:
        call.answer.accept(call.on_response_start(""), call.config_version)
        async for data in response.content.iter_chunked(CHUNK_BYTES):
            call.answer.append(data)
        response.raise_for_reset()
        content_type = response.headers.get("Content-Type", "application/octet-stream")
        packed_headers = select_response_headers(response.headers)
        call.hedging_policy.record_response(time.monotonic() - started_s)
        return BackendResult(response.status, content_type, packed_headers)
