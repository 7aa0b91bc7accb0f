"""Calls of a plain service."""

import asyncio
import time
from dataclasses import replace

import aiohttp

from bilberryspring.process.logs import log_event
from bilberryspring.request.answer import Answer, make_answer
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
from bilberryspring.request.errors import ErrorKind, Failure, make_failure
from bilberryspring.request.headers import select_response_headers, unpack_headers
from bilberryspring.version.objects import PoolKind

__all__ = ["call_service"]

CHUNK_BYTES = 1 << 16
HEDGED_CALL_ERRORS = (aiohttp.ClientError, OSError, TimeoutError, SecondSendError)


@register_backend(PoolKind.SERVICE)
async def call_service(call: BackendCall) -> BackendResult | Failure:
    """Send a request to a plain service and keep its whole answer.

    A call that may be repeated is sent once more when its connection is silent.
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
    """Return whether nothing arrives for as long as the pace tells, before the end."""
    while True:
        seen_count = len(call.answer.chunks)
        done, _ = await asyncio.wait(
            (sending,), timeout=call.hedging_policy.silence_timeout_s
        )
        if done:
            return False
        if len(call.answer.chunks) == seen_count:
            return True


async def _race_hedged_call(
    call: BackendCall, first: asyncio.Future[BackendResult | Failure]
) -> BackendResult | Failure:
    """Return the first whole answer of a silent call and a second one."""
    answer = call.answer
    copy = make_answer(answer.request_id, answer.workspace, answer.window_chunks)
    second = asyncio.ensure_future(_call_on_new_connection(call, copy))
    try:
        await asyncio.wait((first, second), return_when=asyncio.FIRST_COMPLETED)
        if first.done() and first.exception() is None:
            return first.result()
        result = await second
        if not isinstance(result, BackendResult):
            return await first
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        return _adopt_hedged_response(call, copy) or result
    finally:
        second.cancel()
        await asyncio.gather(second, return_exceptions=True)


async def _call_on_new_connection(
    call: BackendCall, copy: Answer
) -> BackendResult | Failure:
    """Make the call again over a connection that no other call has used."""
    session = make_backend_session()
    again = replace(call, session=session, answer=copy, sent=False)
    try:
        return await _send_call(again)
    except HEDGED_CALL_ERRORS as error:
        return make_failure(ErrorKind.BACKEND_FAILED, repr(error))
    finally:
        await session.close()


def _adopt_hedged_response(call: BackendCall, copy: Answer) -> Failure | None:
    """Put the second answer in place of the first, or after the same beginning."""
    begun, whole = b"".join(call.answer.chunks), b"".join(copy.chunks)
    if not whole.startswith(begun):
        reason = "the connection went silent, and the second answer differs"
        return make_failure(ErrorKind.BACKEND_FAILED, reason)
    call.answer.accept(copy.engine_version, call.config_version)
    if len(whole) > len(begun):
        call.answer.append(whole[len(begun) :])
    return None


async def _send_call(call: BackendCall) -> BackendResult | Failure:
    request = call.request
    started_s = time.monotonic()
    headers = unpack_headers(request.headers) | make_common_headers(call)
    if request.idempotency_key:
        headers["Idempotency-Key"] = request.idempotency_key
    if request.content_type:
        headers["Content-Type"] = request.content_type
    # A reused connection may be closing; a fresh one tells more surely what was sent.
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
        content_type = response.headers.get("Content-Type", "application/octet-stream")
        kept = select_response_headers(response.headers)
        call.hedging_policy.record_response(time.monotonic() - started_s)
        return BackendResult(response.status, content_type, kept)
