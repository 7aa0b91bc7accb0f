"""Execution of a request at an agent, from admission to the end of its response."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from bilberryspring.connection.messages import Open
from bilberryspring.identifiers import EngineVersion
from bilberryspring.process.backend_watch import extract_reported_version
from bilberryspring.process.logs import log_event
from bilberryspring.process.traces import Span, start_span
from bilberryspring.request.at_most_once import (
    KeyedRequest,
    ServiceResponse,
    run_at_most_once,
)
from bilberryspring.request.backends import (
    BackendCall,
    BackendResult,
    call_backend,
    control_stream,
)
from bilberryspring.request.buffered_response import (
    BufferedResponse,
    ResponseTooLargeError,
)
from bilberryspring.request.claim_protocol import StoredResponse
from bilberryspring.request.engine_control import StreamAction
from bilberryspring.request.errors import ErrorKind, Failure, Outcome, make_failure
from bilberryspring.request.event_text import read_event
from bilberryspring.request.idempotency import parse_idempotency_key
from bilberryspring.request.preemption import StreamControls
from bilberryspring.request.ticket import Ticket, TicketState, WorkItem
from bilberryspring.version.index import ConfigurationIndex
from bilberryspring.version.objects import Pool, PoolKind

__all__ = ["serve_request"]

CONFIGURATION_WAIT_S = 1.0
_BACKEND_LOST_KINDS = {ErrorKind.BACKEND_CRASHED, ErrorKind.BACKEND_UNREACHABLE}
CONTINUATION_WAIT_S = 5.0


async def serve_request(process: Any, request: Open, answer: BufferedResponse) -> None:
    """Execute a request and complete its response, whatever the result.

    :param process: the agent.
    :param request: the request as the router sent it.
    :param answer: receives the chunks and the final status or failure.
    """
    started_s = time.monotonic()
    with start_span(
        "agent.request", request.traceparent, request_id=request.request_id
    ) as span:
        try:
            result = await _run(process, request, answer, span)
        except asyncio.CancelledError:
            result = make_failure(ErrorKind.CANCELLED, outcome=answer.outcome)
        except Exception as error:  # any error must end in a response to the caller
            log_event("request_failed", level="ERROR", error=repr(error))
            result = make_failure(ErrorKind.INTERNAL, outcome=Outcome.UNKNOWN)
        if isinstance(result, StoredResponse):
            try:
                answer.append(result.body)
            except ResponseTooLargeError as error:
                reason = str(error)
                result = make_failure(
                    ErrorKind.INTERNAL, reason, outcome=Outcome.UNKNOWN
                )
        if isinstance(result, Failure):
            result = _attach_crash_ids(process, request, result)
            span.mark_failed(result.reason)
            answer.refuse(result, process.holder.version)
        elif isinstance(result, StoredResponse):
            answer.finish(result.status, result.content_type, replayed=True)
        else:
            answer.finish(result.status, result.content_type, headers=result.headers)
    process.record_result(request, result, time.monotonic() - started_s)


async def _run(
    process: Any, request: Open, answer: BufferedResponse, span: Span
) -> BackendResult | StoredResponse | Failure:
    deadline_s = time.monotonic() + request.deadline_ms / 1000
    index = await _wait_for_configuration(process, request)
    if isinstance(index, Failure):
        return index
    pool = index.pools.get(process.settings.pool)
    if pool is None:
        return make_failure(ErrorKind.NO_INSTANCE, "the agent's pool is not configured")
    process.crashes.add_crashes(request.content_digest, request.crash_ids.split())
    crash_verdict = process.crashes.check_quarantine(request.content_digest)
    if isinstance(crash_verdict, Failure):
        return crash_verdict
    if request.engine_version not in ("", process.backend.engine_version):
        return make_failure(ErrorKind.ENGINE_VERSION_CHANGED)
    cost = _estimate_cost(process, pool, request)
    item = WorkItem(
        request_id=request.request_id,
        workspace=request.workspace,
        rank=request.rank,
        cost=cost,
        deadline_monotonic_s=deadline_s,
        is_crash_suspect=crash_verdict,
        retry_key=request.content_digest,
        attempt=request.attempt,
        is_continuation=bool(request.resume_events),
    )
    if process.admission is None:
        return make_failure(ErrorKind.CONFIGURATION_UNAVAILABLE)
    ticket = await _admit(process, request, item)
    _log_admission(process, item, ticket)
    if isinstance(ticket, Failure):
        return ticket
    try:
        result = await _run_admitted(
            process, request, answer, span, pool, index, ticket
        )
        ticket.finish(completed=not isinstance(result, Failure))
        return result
    finally:
        ticket.finish()


async def _wait_for_configuration(
    process: Any, request: Open
) -> ConfigurationIndex | Failure:
    """Wait for an index at least as recent as the router's; return it or a failure."""
    holder = process.holder
    if holder.version < request.config_version:
        process.follower.learn_version(request.config_version, "")
        if not await holder.wait_for(request.config_version, CONFIGURATION_WAIT_S):
            return make_failure(ErrorKind.STALE_CONFIGURATION)
    if holder.index is None:
        return make_failure(ErrorKind.CONFIGURATION_UNAVAILABLE)
    return holder.index


async def _admit(process: Any, request: Open, item: WorkItem) -> Ticket | Failure:
    """Submit a request; a continuation waits longer for capacity.

    A refused continuation would leave its caller with an incomplete response, which the
    caller could not complete by a later retry.
    """
    wait_s = request.room_wait_ms / 1000
    if item.is_continuation:
        wait_s = max(wait_s, CONTINUATION_WAIT_S)
    return await process.admission_wait_queue.submit(item, wait_s)


def _log_admission(process: Any, item: WorkItem, result: Ticket | Failure) -> None:
    """Log the admission decision with its inputs."""
    fields = {
        "request_id": item.request_id,
        "attempt": item.attempt,
        "workspace": item.workspace,
        "rank": item.rank,
        "cost": item.cost,
        "remaining_s": item.deadline_monotonic_s - time.monotonic(),
        **process.admission.describe(),
    }
    if isinstance(result, Ticket):
        log_event("request_admitted", **fields)
    else:
        fields |= {
            "kind": result.kind,
            "reason": result.reason,
            "retry_after_s": result.retry_after_s,
            "hint": result.hint,
        }
        log_event("request_refused", level="WARNING", **fields)
        process.refusals.add(item.rank, result.kind.value)


def _estimate_cost(process: Any, pool: Pool, request: Open) -> float:
    if pool.kind is PoolKind.SERVICE:
        return 1.0
    cached = process.cache_moves.index.estimate_cached_tokens(request)
    return float(max(request.prompt_tokens - cached + request.max_tokens, 1))


async def _run_admitted(
    process: Any,
    request: Open,
    answer: BufferedResponse,
    span: Span,
    pool: Pool,
    index: ConfigurationIndex,
    ticket: Ticket,
) -> BackendResult | StoredResponse | Failure:
    call = BackendCall(
        session=process.session,
        address=process.settings.backend_address,
        request=request,
        answer=answer,
        config_version=process.holder.version,
        priority=_get_priority(index, request),
        on_progress=_make_progress_callback(process, request, ticket),
        traceparent=span.traceparent,
        on_response_start=lambda version: _record_response_start(process, version),
        engine_version=extract_reported_version(request.engine_version),
        crash_check_context=process.crash_watch.track_suspect(request.content_digest),
        hedging_policy=process.hedging,
    )
    run = _call_repeatable if request.idempotent else _call_at_most_once
    result = await run(process, pool, ticket, call)
    _record_cached_chat(process, pool, request, answer, result)
    if isinstance(result, Failure):
        _record_crash(process, request, result)
    elif isinstance(result, BackendResult):
        process.crashes.clear(request.content_digest)
    return result


def _make_progress_callback(
    process: Any, request: Open, ticket: Ticket
) -> Callable[[int], None]:
    """Return a callback that records progress, excluding cached prompt tokens."""
    prefill_tokens = max(int(ticket.cost) - request.max_tokens, 0)
    is_prefill_done = False

    def record_progress(done_tokens: int) -> None:
        nonlocal is_prefill_done
        if is_prefill_done:
            ticket.report_progress(done_tokens)
            return
        is_prefill_done = True
        ticket.report_progress(prefill_tokens)
        duration_s = time.monotonic() - ticket.started_s
        process.cache_moves.record_prefill(prefill_tokens, duration_s)

    return record_progress


def _record_cached_chat(
    process: Any,
    pool: Pool,
    request: Open,
    answer: BufferedResponse,
    result: BackendResult | StoredResponse | Failure,
) -> None:
    """Report to the chat's home that this engine now holds its KV cache."""
    if pool.kind is not PoolKind.ENGINE or not isinstance(result, BackendResult):
        return
    if not (answer.chunks and request.chat_key):
        return
    usage = read_event(answer.chunks[-1]).get("usage")
    if not isinstance(usage, dict):
        usage = {}
    process.start_task(process.cache_moves.report_computed(request, usage))


def _record_response_start(process: Any, reported: str) -> EngineVersion:
    """Record that a response began; return the version to compare engines by."""
    process.crash_watch.record_response()
    return process.backend.record_version(reported)


async def _wait_for_slot(process: Any, ticket: Ticket, request: Open) -> Failure | None:
    """Wait for a slot; return a failure if the request must not be sent."""
    failure = await ticket.wait_for_slot() or _recheck_crash_history(
        process, request, ticket
    )
    if failure is None and time.monotonic() >= ticket.item.deadline_monotonic_s:
        return make_failure(ErrorKind.DEADLINE_EXCEEDED, outcome=Outcome.NOT_RUN)
    if failure is None:
        log_event(
            "request_sent",
            request_id=request.request_id,
            waited_s=ticket.started_s - ticket.queued_s,
            predicted_wait_s=ticket.predicted_wait_s,
            running=process.admission.running,
        )
        process.record_queue_wait(ticket)
    return failure


async def _wait_for_slot_and_cache(
    process: Any, pool: Pool, ticket: Ticket, request: Open
) -> Failure | None:
    """Wait for a slot while a copy of the chat's KV cache is fetched."""
    if pool.kind is not PoolKind.ENGINE:
        return await _wait_for_slot(process, ticket, request)
    cache_fetch = asyncio.create_task(process.cache_moves.fetch(request))
    try:
        failure = await _wait_for_slot(process, ticket, request)
        if failure is None:
            await cache_fetch
        return failure
    finally:
        cache_fetch.cancel()


async def _call_repeatable(
    process: Any, pool: Pool, ticket: Ticket, call: BackendCall
) -> BackendResult | Failure:
    """Call the backend server once the request has a slot, up to its deadline."""
    failure = await _wait_for_slot_and_cache(process, pool, ticket, call.request)
    if failure is not None:
        return failure
    if pool.kind is PoolKind.ENGINE:
        call.is_paused = lambda: ticket.state is TicketState.PAUSED
        ticket.stream_controls = StreamControls(
            lambda: control_stream(call, StreamAction.PAUSE),
            lambda: control_stream(call, StreamAction.RESUME),
        )
    try:
        deadline_s = _to_loop_time(ticket.item.deadline_monotonic_s)
        async with asyncio.timeout_at(deadline_s):
            return await call_backend(pool.kind, call)
    except TimeoutError:
        outcome = Outcome.UNKNOWN if call.may_have_run else Outcome.NOT_RUN
        return make_failure(ErrorKind.DEADLINE_EXCEEDED, outcome=outcome)


async def _call_at_most_once(
    process: Any, pool: Pool, ticket: Ticket, call: BackendCall
) -> BackendResult | StoredResponse | Failure:
    """Call the backend server under a claim on the request's idempotency key.

    The call may outlast the caller's deadline, because its outcome is stored for later
    requests with the key. After ``max_claimed_call_s`` it is stored as unknown.
    """
    request = call.request
    key = parse_idempotency_key(
        request.idempotency_key, time.time(), process.settings.claim_retention_s
    )
    if isinstance(key, Failure):
        return key

    headers = ""

    async def send() -> ServiceResponse | Failure:
        nonlocal headers
        limit_s = process.settings.max_claimed_call_s
        result = await _call_with_time_limit(limit_s, pool, call)
        if isinstance(result, Failure):
            return result
        headers = result.headers
        body = b"".join(call.answer.chunks)
        return ServiceResponse(result.status, result.content_type, body)

    result = await run_at_most_once(
        process.claims,
        KeyedRequest(
            request.workspace,
            request.route,
            key,
            request.content_digest,
            ticket.item.deadline_monotonic_s,
        ),
        send,
        lambda: _wait_for_slot(process, ticket, request),
    )
    if isinstance(result, ServiceResponse):
        return BackendResult(result.status, result.content_type, headers)
    return result


async def _call_with_time_limit(
    limit_s: float, pool: Pool, call: BackendCall
) -> BackendResult | Failure:
    try:
        async with asyncio.timeout(limit_s):
            return await call_backend(pool.kind, call)
    except TimeoutError:
        outcome = Outcome.UNKNOWN if call.may_have_run else Outcome.NOT_RUN
        reason = f"the backend server did not answer in {limit_s:g} s"
        return make_failure(ErrorKind.DEADLINE_EXCEEDED, reason, outcome=outcome)


def _to_loop_time(monotonic_s: float) -> float:
    return asyncio.get_running_loop().time() + monotonic_s - time.monotonic()


def _get_priority(index: ConfigurationIndex, request: Open) -> int:
    rank = index.work_ranks.get(request.rank)
    return 0 if rank is None else rank.order


def _recheck_crash_history(
    process: Any, request: Open, ticket: Ticket
) -> Failure | None:
    """Refuse a request whose content crashed a backend server while it was queued."""
    crash_verdict = process.crashes.check_quarantine(request.content_digest)
    if isinstance(crash_verdict, Failure):
        return crash_verdict
    if crash_verdict and not ticket.item.is_crash_suspect:
        return make_failure(ErrorKind.LOAD_BOUND, "the request must run alone")
    return None


def _record_crash(process: Any, request: Open, failure: Failure) -> None:
    """Record a lost backend server and, if it crashed, the request's content."""
    if failure.kind in _BACKEND_LOST_KINDS:
        process.backend.request_probe()
    if failure.kind is ErrorKind.BACKEND_CRASHED:
        crash_id = process.crash_watch.record_crash()
        process.crashes.add_crashes(request.content_digest, [crash_id])


def _attach_crash_ids(process: Any, request: Open, failure: Failure) -> Failure:
    """Add the ids of crashes under the request's content to a failure.

    The router may send the request next to an agent that has no record of them.
    """
    digest = request.content_digest
    crash_ids = process.crashes.find(digest) | process.crash_watch.find_suspected_crash(
        digest
    )
    return replace(failure, crash_ids=" ".join(sorted(crash_ids)))
