"""Forwarding of requests by a router that calls backend servers directly.

A request that may have run is sent again only if it is repeatable, or if its stream can
resume after the last complete event. A server's response is relayed even when it is
late; a response that ends early is never presented as complete.
"""

import asyncio
from collections.abc import Callable

from bilberryspring.capability.backend_calls import (
    BackendCalls,
    BackendResponseHead,
    CallerResponse,
    Exchange,
)
from bilberryspring.capability.routing import (
    ExecutionRule,
    IncomingRequest,
    PoolLimits,
)
from bilberryspring.identifiers import digest_content
from bilberryspring.process.clock import read_boot_time_s
from bilberryspring.process.logs import log_event
from bilberryspring.process.router_metrics import RequestObservation
from bilberryspring.process.server_table import (
    SILENCE_TIMEOUT_S,
    ServerRecord,
    ServerTable,
)
from bilberryspring.request.crash_records import CrashRecords
from bilberryspring.request.dispatcher import Dispatcher
from bilberryspring.request.errors import ErrorKind, Failure, Outcome, make_failure
from bilberryspring.request.event_splitter import (
    MAX_EVENT_BYTES,
    EventSplitter,
    make_event_splitter,
)
from bilberryspring.request.fleet_budget import FleetRetryBudget
from bilberryspring.request.reservations import Reservation
from bilberryspring.request.response_progress import ResponseProgress

__all__ = ["Relay", "make_relay"]

# How often a pending read checks whether its server has become silent.
SILENCE_CHECK_INTERVAL_S = 0.25
MAX_BUFFERED_BODY_BYTES = 8_000_000
# A stream without a complete event for this multiple of its route's pause target is
# stalled. Prefills of other prompts and preemptions make some pauses long.
STALL_PAUSE_FACTOR = 4.0
MIN_STALL_S = 1.0
# A server that sends nothing at all for this multiple is silent.
SILENT_PAUSE_FACTOR = 2.0
_SUCCESS = None


class Relay:
    """Relays requests from callers to backend servers.

    :param calls: sends requests to servers.
    :param dispatcher: assigns requests to servers.
    :param servers: this router's view of the state of the servers.
    :param budget: retry budget that is shared with the other routers.
    :param crashes: digests of contents under which servers crashed.
    :param observe: called with the result and timing of each request.
    """

    def __init__(
        self,
        calls: BackendCalls,
        dispatcher: Dispatcher,
        servers: ServerTable,
        budget: FleetRetryBudget,
        crashes: CrashRecords,
        observe: Callable[[RequestObservation], None] = lambda _: None,
    ):
        self._calls = calls
        self._dispatcher = dispatcher
        self._servers = servers
        self._budget = budget
        self._crashes = crashes
        self._crash_checks: set[asyncio.Task[None]] = set()
        self._observe = observe

    async def relay(
        self, request: IncomingRequest, pool: PoolLimits, answer: CallerResponse
    ) -> Failure | None:
        """Handle one request until its response has ended.

        :param request: the request.
        :param pool: pool that its route selects.
        :param answer: response to the caller.
        :returns: the failure, ``None`` if the caller got a server's complete response.
        """
        arrived_s = request.received_s
        must_end_s = min(request.deadline_s, arrived_s + request.route.timeout_s)
        progress = ResponseProgress(answer, make_event_splitter())
        outcome: Failure | None = make_failure(ErrorKind.DEADLINE_EXCEEDED)
        try:
            async with asyncio.timeout(max(must_end_s - read_boot_time_s(), 0)):
                outcome = await self._try_servers(request, pool, progress, must_end_s)
        except TimeoutError:
            if request.attempts == 0:
                outcome = make_failure(
                    ErrorKind.OVERLOADED,
                    "no server had free capacity before the deadline",
                )
        now_s = read_boot_time_s()
        self._observe(
            RequestObservation(
                rank_order=request.rank_order,
                status=progress.status,
                kind="" if outcome is _SUCCESS else outcome.kind.value,
                attempts=request.attempts,
                first_part_s=progress.time_to_first_byte_s,
                total_s=now_s - arrived_s,
                is_complete=outcome is _SUCCESS,
            )
        )
        if outcome is _SUCCESS:
            return _SUCCESS
        log_fields = {
            "level": "WARNING",
            "request_id": request.request_id,
            "kind": outcome.kind,
            "outcome": outcome.outcome,
            "reason": outcome.reason,
            "route": request.route.name,
            "tries": request.attempts,
            "age_s": now_s - arrived_s,
            "left_s": must_end_s - now_s,
            "is_begun": answer.is_started,
        }
        if request.attempts == 0:
            log_event("request_refused", **log_fields)
        else:
            log_event("request_failed", **log_fields)
        if answer.is_started:
            answer.abort_response()
        else:
            await answer.refuse(outcome)
        return outcome

    async def _try_servers(
        self,
        request: IncomingRequest,
        pool: PoolLimits,
        progress: ResponseProgress,
        must_end_s: float,
    ) -> Failure | None:
        last_failure: Failure | None = None
        digest = _digest_request(request)
        while True:
            crash_verdict = self._crashes.check_quarantine(digest)
            if isinstance(crash_verdict, Failure):
                return last_failure or crash_verdict
            reservation = await self._dispatcher.acquire(request, pool, must_end_s)
            if isinstance(reservation, Failure):
                return last_failure or reservation
            if last_failure is None:
                self._budget.record_first_try()
            elif not self._budget.spend():
                self._dispatcher.release(reservation)
                log_event(
                    "try_failed",
                    level="WARNING",
                    request_id=request.request_id,
                    reason="the retry budget is exhausted",
                    kind=last_failure.kind,
                )
                return last_failure
            result = await self._try_server(request, reservation, progress, must_end_s)
            if not isinstance(result, Failure):
                self._crashes.clear(digest)
                return result
            crash_check = asyncio.create_task(
                self._check_for_crash(digest, reservation.record, result)
            )
            self._crash_checks.add(crash_check)
            crash_check.add_done_callback(self._crash_checks.discard)
            request.tried_server_ids.add(reservation.record.server.server_id)
            log_event(
                "try_failed",
                level="WARNING",
                request_id=request.request_id,
                server=reservation.record.server.server_id,
                kind=result.kind,
                outcome=result.outcome,
                reason=result.reason,
                tries=request.attempts,
            )
            may_have_run = result.outcome is not Outcome.NOT_RUN
            # A try that did not run the request must not hide an earlier one that may
            # have run it.
            if (
                last_failure is None
                or may_have_run
                or last_failure.outcome is Outcome.NOT_RUN
            ):
                last_failure = result
            if may_have_run and not request.route.is_repeatable:
                return last_failure
            if request.attempts >= request.route.max_servers and may_have_run:
                return last_failure
            if request.attempts >= request.route.max_servers + 1:
                return last_failure
            await crash_check

    async def _check_for_crash(
        self, digest: str, record: ServerRecord, failure: Failure
    ) -> None:
        """Record a crash of the server if that is why the request failed."""
        if failure.kind is not ErrorKind.BACKEND_FAILED:
            return
        server = record.server
        if failure.outcome is Outcome.UNKNOWN and await self._calls.is_down(server):
            now_s = asyncio.get_running_loop().time()
            record.record_failure("the server is down", now_s, is_down=True)
            crash_id = f"{server.server_id}/{server.started_at_ms}"
            self._crashes.add_crashes(digest, {crash_id})

    async def _try_server(
        self,
        request: IncomingRequest,
        reservation: Reservation,
        progress: ResponseProgress,
        must_end_s: float,
    ) -> Failure | None:
        record, loop = reservation.record, asyncio.get_running_loop()
        stream_token = object()
        sent_s = loop.time()
        exchange = None
        taken_s = None
        try:
            if progress.splitter.last_id is not None:
                request.resume_after = progress.splitter.last_id
            exchange = await self._calls.begin(
                record.server, request, must_end_s - read_boot_time_s()
            )
            if isinstance(exchange, Failure):
                is_down = exchange.kind is ErrorKind.BACKEND_UNREACHABLE
                record.record_failure(exchange.reason, loop.time(), is_down=is_down)
                return exchange
            request.attempts += 1
            record.record_sent(stream_token, request.prompt, loop.time())
            log_event(
                "request_sent",
                request_id=request.request_id,
                server=record.server.server_id,
                requests=record.requests,
                peers=record.peer_load.requests,
                slowness=record.slowness,
                expected_s=reservation.expected_s,
                prompt_tokens=reservation.prompt_tokens,
            )
            head = await self._read_unless_silent(
                exchange.read_head, request, reservation
            )
            if isinstance(head, Failure):
                record.record_failure(head.reason, loop.time())
                return head
            record.record_response(stream_token, loop.time())
            record.record_response_time(
                loop.time() - sent_s, reservation.expected_s, loop.time()
            )
            refusal = self._check_head(head, request, reservation, progress)
            if refusal is not None:
                return refusal
            if request.route.rule is ExecutionRule.STREAM and head.is_success:
                failure = await self._relay_stream(
                    exchange, head, request, reservation, progress, stream_token
                )
            else:
                failure = await self._relay_buffered(
                    exchange, head, request, reservation, progress, stream_token
                )
            if failure is None:
                record.record_success()
                taken_s = loop.time() - sent_s
            else:
                record.record_failure(failure.reason, loop.time())
            return failure
        finally:
            record.record_ended(stream_token)
            if exchange is not None and not isinstance(exchange, Failure):
                exchange.close()
            self._dispatcher.release(reservation, taken_s)

    def _check_head(
        self,
        head: BackendResponseHead,
        request: IncomingRequest,
        reservation: Reservation,
        progress: ResponseProgress,
    ) -> Failure | None:
        """Return why a response with this head is not relayed, ``None`` if it is."""
        record = reservation.record
        self._servers.update_server_load(record, head.load)
        if head.was_not_run:
            return make_failure(
                ErrorKind.OVERLOADED,
                f"{record.server.server_id} refused it with status {head.status}",
                retry_after_s=self._dispatcher.get_mean_service_s(record.server.pool),
            )
        if not head.is_verified:
            return make_failure(
                ErrorKind.BACKEND_FAILED,
                f"{record.server.server_id} sent {head.status} without proof of origin",
            )
        if head.is_unfounded_promise:
            return make_failure(
                ErrorKind.BACKEND_FAILED,
                f"{record.server.server_id} sent {head.status} without a statement"
                " that it did not run the request",
            )
        can_repeat = (
            request.route.is_repeatable and request.attempts < request.route.max_servers
        )
        if head.status >= 500 and can_repeat and self._budget.can_spend():
            return make_failure(
                ErrorKind.BACKEND_FAILED,
                f"{record.server.server_id} failed with status {head.status}",
                outcome=Outcome.RAN,
            )
        if progress.answer.is_started and not head.is_success:
            reason = f"{head.status} instead of the rest of the stream"
            return make_failure(ErrorKind.BACKEND_FAILED, reason)
        return None

    async def _relay_buffered(
        self,
        exchange: Exchange,
        head: BackendResponseHead,
        request: IncomingRequest,
        reservation: Reservation,
        progress: ResponseProgress,
        stream_token: object,
    ) -> Failure | None:
        parts: list[bytes] = []
        size_bytes = 0
        while True:
            chunk = await self._read_unless_silent(
                exchange.read_chunk, request, reservation
            )
            if isinstance(chunk, Failure):
                return chunk
            if chunk is None:
                break
            reservation.record.record_response(
                stream_token, asyncio.get_running_loop().time()
            )
            parts.append(chunk)
            size_bytes += len(chunk)
            if size_bytes > MAX_BUFFERED_BODY_BYTES:
                return make_failure(
                    ErrorKind.BACKEND_FAILED, "the response is too large"
                )
        progress.start(head, size_bytes, read_boot_time_s() - request.received_s)
        await progress.answer.write(b"".join(parts))
        progress.answer.finish()
        return _SUCCESS

    async def _relay_stream(
        self,
        exchange: Exchange,
        head: BackendResponseHead,
        request: IncomingRequest,
        reservation: Reservation,
        progress: ResponseProgress,
        stream_token: object,
    ) -> Failure | None:
        answer, splitter = progress.answer, progress.splitter
        splitter.begin_response()
        loop = asyncio.get_running_loop()
        while True:
            chunk = await self._read_unless_silent(
                exchange.read_chunk, request, reservation, stream_token
            )
            if isinstance(chunk, Failure):
                return chunk
            if chunk is None:
                truncation = _find_truncation(head, splitter)
                if truncation is not None:
                    return truncation
            if not answer.is_started:
                progress.start(head, None, read_boot_time_s() - request.received_s)
            if chunk is None:
                await answer.write(splitter.take_partial())
                answer.finish()
                return _SUCCESS
            reservation.mark_prefill_done()
            events = splitter.feed(chunk)
            if splitter.is_continuation_wrong:
                reason = f"its stream does not go on after event {splitter.last_id}"
                return make_failure(ErrorKind.BACKEND_FAILED, reason)
            if events:
                reservation.record.record_response(stream_token, loop.time())
            else:
                stall = self._find_stall(request, reservation.record, stream_token)
                if stall is not None:
                    return stall
            await answer.write(events)
            if splitter.is_event_too_long:
                reason = f"an event of more than {MAX_EVENT_BYTES} bytes"
                return make_failure(ErrorKind.BACKEND_FAILED, reason)

    def _find_stall(
        self, request: IncomingRequest, record: ServerRecord, stream_token: object
    ) -> Failure | None:
        """Return why a stream should go on at another server, ``None`` if it need not.

        Bytes without a complete event are no progress.
        """
        now_s = asyncio.get_running_loop().time()
        pause_s = now_s - record.awaited_since_s[stream_token]
        limit_s = max(MIN_STALL_S, STALL_PAUSE_FACTOR * request.route.pause_target_s)
        may_retry = (
            request.route.is_repeatable and request.attempts < request.route.max_servers
        )
        if pause_s < limit_s or not may_retry or not self._budget.can_spend():
            return None
        reason = f"{record.server.server_id} sent no event for {pause_s:.1f} s"
        return make_failure(ErrorKind.BACKEND_FAILED, reason)

    async def _read_unless_silent(
        self,
        read,
        request: IncomingRequest,
        reservation: Reservation,
        stream_token: object | None = None,
    ):
        """Read a part of a response.

        The read fails if the request may still be retried, and the server is silent or
        its stream, given by its token, is stalled.
        """
        record, loop = reservation.record, asyncio.get_running_loop()
        if not request.route.is_repeatable:
            return await read()
        while True:
            try:
                async with asyncio.timeout(SILENCE_CHECK_INTERVAL_S):
                    return await read()
            except TimeoutError:
                now_s = loop.time()
                may_retry = request.attempts < request.route.max_servers
                silence_s = SILENCE_TIMEOUT_S
                if stream_token is not None:
                    stall = self._find_stall(request, record, stream_token)
                    if stall is not None:
                        return stall
                    pause_s = SILENT_PAUSE_FACTOR * request.route.pause_target_s
                    silence_s = max(silence_s, pause_s)
                is_silent = record.is_silent(now_s, silence_s)
                if may_retry and is_silent and self._budget.can_spend():
                    reason = f"{record.server.server_id} is silent"
                    return make_failure(ErrorKind.BACKEND_FAILED, reason)


def _find_truncation(
    head: BackendResponseHead, splitter: EventSplitter
) -> Failure | None:
    """Return why a stream that has ended is incomplete, ``None`` if it is complete."""
    if splitter.is_inside_event:
        reason = "the stream ended inside an event"
    elif head.is_close_delimited and not splitter.has_events:
        reason = "the connection was closed before the first event"
    else:
        return None
    return make_failure(ErrorKind.BACKEND_FAILED, reason)


def _digest_request(request: IncomingRequest) -> str:
    """Return a digest that is the same for every try of a request."""
    content = f"{request.workspace} {request.method} {request.target}\n".encode()
    return digest_content(content + request.body)


def make_relay(
    calls: BackendCalls,
    dispatcher: Dispatcher,
    servers: ServerTable,
    budget: FleetRetryBudget,
    crashes: CrashRecords,
    observe: Callable[[RequestObservation], None] = lambda _: None,
) -> Relay:
    """Return a relay.

    :param calls: sends requests to servers.
    :param dispatcher: assigns requests to servers.
    :param servers: this router's view of the state of the servers.
    :param budget: retry budget that is shared with the other routers.
    :param crashes: digests of contents under which servers crashed.
    :param observe: called with the result and timing of each request.
    """
    return Relay(calls, dispatcher, servers, budget, crashes, observe)
