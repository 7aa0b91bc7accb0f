"""Forwarding of requests by a router that calls backend servers directly.

A request that may have run is sent again only if it is repeatable, or if its stream can
resume after the last complete event. A server's response is relayed even when it is
late; a response that ends early is never presented as complete.
"""

import asyncio
import math
from collections.abc import Callable

from bilberryspring.capability.backend_calls import (
    BackendCalls,
    BackendResponseHead,
    CallerResponse,
    Excess,
    Exchange,
    Reachability,
)
from bilberryspring.capability.routing import (
    BackendServer,
    ExecutionRule,
    IncomingRequest,
    PoolLimits,
)
from bilberryspring.connection.collected_bytes import CollectedBytes
from bilberryspring.policy.quarantine import Content
from bilberryspring.process.clock import read_boot_time_s
from bilberryspring.process.logs import log_event
from bilberryspring.process.router_metrics import RequestObservation
from bilberryspring.process.server_table import (
    SILENCE_TIMEOUT_S,
    ServerRecord,
    ServerTable,
)
from bilberryspring.request.dispatcher import Dispatcher
from bilberryspring.request.errors import ErrorKind, Failure, Outcome, make_failure
from bilberryspring.request.event_splitter import (
    MAX_BYTES_WITHOUT_EVENT,
    MAX_EVENT_BYTES,
    EventSplitter,
    make_event_splitter,
)
from bilberryspring.request.fleet_budget import FleetRetryBudget
from bilberryspring.request.reservations import Reservation
from bilberryspring.request.response_progress import Attempt, ResponseProgress
from bilberryspring.request.suspect_contents import (
    SuspectContents,
    hash_crash,
    list_contents,
)

__all__ = ["Relay", "make_relay"]

# How often a pending read checks whether its server has become silent.
SILENCE_CHECK_INTERVAL_S = 0.25
# A check that comes later than this shows that the event loop was held up. It may run
# before what the server sent meanwhile has been handled.
MAX_CHECK_DELAY_S = 0.1
# Longest time for which two servers work on a request while one takes over.
MAX_OVERLAP_S = 0.3
MAX_BUFFERED_BODY_BYTES = 8_000_000
# The body of a failure only explains it.
MAX_FAILURE_BODY_BYTES = 1_000_000
# A stream without a complete event for this multiple of its route's pause target is
# stalled. Prefills of other prompts and preemptions make some pauses long.
STALL_PAUSE_FACTOR = 4.0
MIN_STALL_S = 1.0
# A server that sends nothing at all for this multiple is silent.
SILENT_PAUSE_FACTOR = 2.0
# A request that may have crashed a server waits for reports of other crashes before it
# is sent to another.
SUSPECT_RETRY_DELAY_S = 0.3
# Another router can serve a request at once that this one refuses before its stop.
LEAVING_RETRY_AFTER_S = 0.05
EVENT_SEPARATOR = b"\n\n"
_SUCCESS = None


class Relay:
    """Relays requests from callers to backend servers.

    :param calls: sends requests to servers.
    :param dispatcher: assigns requests to servers.
    :param servers: this router's view of the state of the servers.
    :param budget: retry budget that is shared with the other routers.
    :param suspects: evidence on contents of requests that may crash servers.
    :param observe: called with the result and timing of each request.
    """

    def __init__(
        self,
        calls: BackendCalls,
        dispatcher: Dispatcher,
        servers: ServerTable,
        budget: FleetRetryBudget,
        suspects: SuspectContents,
        observe: Callable[[RequestObservation], None] = lambda _: None,
    ):
        self._calls = calls
        self._dispatcher = dispatcher
        self._servers = servers
        self._budget = budget
        self._suspects = suspects
        self._crash_checks: set[asyncio.Task[None]] = set()
        self._observe = observe
        self._stop_s = math.inf
        self._last_start_s = math.inf
        self._timeouts: set[asyncio.Timeout] = set()
        self._first_waits: dict[asyncio.Timeout, IncomingRequest] = {}

    def stop_by(self, stop_s: float, last_start_s: float) -> None:
        """End all requests, those in progress too, by a time.

        :param stop_s: boot time of the end, after which no response can be sent.
        :param last_start_s: boot time from which no request is sent that may last until
            then, unless it may be repeated. A stream that is broken off has no complete
            response, and a caller can't know whether a request without one has run.
        """
        self._stop_s, self._last_start_s = stop_s, last_start_s
        loop = asyncio.get_running_loop()
        loop_stop_s = loop.time() + stop_s - read_boot_time_s()
        for timeout in self._timeouts:
            if not timeout.expired():
                timeout.reschedule(min(timeout.when(), loop_stop_s))
        for wait, request in self._first_waits.items():
            if not wait.expired():
                self._bound_first_wait(wait, request)

    def _bound_first_wait(
        self, wait: asyncio.Timeout, request: IncomingRequest
    ) -> None:
        """End a wait for the first reservation when it is too late to send."""
        left_s = self._find_last_start_s(request) - read_boot_time_s()
        if left_s < math.inf:
            wait.reschedule(asyncio.get_running_loop().time() + left_s)

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
        must_end_s = min(
            request.deadline_s, arrived_s + request.route.timeout_s, self._stop_s
        )
        progress = ResponseProgress(
            answer,
            make_event_splitter(),
            pool,
            must_end_s,
            contents=list_contents(request),
        )
        outcome: Failure | None = make_failure(ErrorKind.DEADLINE_EXCEEDED)
        timeout = asyncio.timeout(max(must_end_s - read_boot_time_s(), 0))
        try:
            async with timeout:
                self._timeouts.add(timeout)
                outcome = self._refuse_before_stop(request) or await self._try_servers(
                    request, progress
                )
        except TimeoutError:
            if request.attempts == 0:
                outcome = make_failure(
                    ErrorKind.OVERLOADED,
                    "no server had free capacity before the deadline",
                )
        finally:
            self._timeouts.discard(timeout)
            if progress.replacement is not None:
                self._end_attempt(progress.replacement)
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

    def _find_last_start_s(self, request: IncomingRequest) -> float:
        """Return when it is too late to send a request, because of a stop.

        A request that may not be repeated must not be left unanswered.
        """
        limit_s = min(request.deadline_s, request.received_s + request.route.timeout_s)
        if request.route.rule is ExecutionRule.REPEATABLE or limit_s <= self._stop_s:
            return math.inf
        return self._last_start_s

    def _refuse_before_stop(self, request: IncomingRequest) -> Failure | None:
        """Refuse a request that the stop of this router could leave unanswered."""
        if read_boot_time_s() < self._find_last_start_s(request):
            return None
        return self._make_stop_refusal()

    def _make_stop_refusal(self) -> Failure:
        reason = f"this router stops in {self._stop_s - read_boot_time_s():.2f} s"
        return make_failure(
            ErrorKind.LEAVING, reason, retry_after_s=LEAVING_RETRY_AFTER_S
        )

    async def _try_servers(
        self,
        request: IncomingRequest,
        progress: ResponseProgress,
    ) -> Failure | None:
        last_failure: Failure | None = None
        while True:
            replacement = progress.replacement
            if replacement is not None:
                reservation = replacement.reservation
            else:
                reservation = await self._reserve(request, progress)
            if isinstance(reservation, Failure):
                return last_failure or reservation
            if request.attempts == 0:
                # The request may have waited for the reservation.
                refusal = self._refuse_before_stop(request)
                if refusal is not None:
                    self._dispatcher.release(reservation)
                    return refusal
            if last_failure is None:
                self._budget.record_first_try(progress.pool.name)
            elif replacement is None and not self._budget.spend(progress.pool.name):
                self._dispatcher.release(reservation)
                log_event(
                    "try_failed",
                    level="WARNING",
                    request_id=request.request_id,
                    reason="the retry budget is exhausted",
                    kind=last_failure.kind,
                )
                return last_failure
            result = await self._try_server(request, reservation, progress)
            if not isinstance(result, Failure):
                # The end of a longer stream says nothing on crashes since it began.
                if not progress.is_proven and progress.status < 500:
                    self._suspects.record_answer(progress.contents)
                return result
            crash_check = self._start_crash_check(progress, reservation.record, result)
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
            if progress.replacement is not None:
                continue
            if may_have_run and not request.route.is_repeatable:
                return last_failure
            if request.attempts >= request.route.max_servers and may_have_run:
                return last_failure
            if request.attempts >= request.route.max_servers + 1:
                return last_failure
            # A request that ends meanwhile must not cancel the check.
            await asyncio.wait([crash_check])
            if self._suspects.is_unproven_suspect(progress.contents):
                await asyncio.sleep(SUSPECT_RETRY_DELAY_S)

    async def _reserve(
        self, request: IncomingRequest, progress: ResponseProgress
    ) -> Reservation | Failure:
        """Reserve capacity for a request unless its contents may crash the server."""
        refusal = self._suspects.find_refusal(progress.contents)
        if refusal is not None:
            return refusal
        reservation = await self._acquire(request, progress)
        while isinstance(reservation, Reservation) and self._servers.is_evacuated(
            reservation.record
        ):
            # The zone was evacuated after a waiting request got its reservation.
            self._dispatcher.release(reservation)
            reservation = await self._acquire(request, progress)
        if isinstance(reservation, Failure):
            return reservation
        # A crash may have become known while the request waited.
        refusal = self._suspects.admit(progress.contents)
        if refusal is not None:
            self._dispatcher.release(reservation)
            return refusal
        return reservation

    async def _acquire(
        self, request: IncomingRequest, progress: ResponseProgress
    ) -> Reservation | Failure:
        """Wait for capacity, but before the first send no longer than a stop allows."""
        acquire = self._dispatcher.acquire
        if request.attempts > 0:
            return await acquire(request, progress.pool, progress.must_end_s)
        wait = asyncio.timeout(None)
        try:
            async with wait:
                self._first_waits[wait] = request
                self._bound_first_wait(wait, request)
                return await acquire(request, progress.pool, progress.must_end_s)
        except TimeoutError:
            return self._make_stop_refusal()
        finally:
            self._first_waits.pop(wait, None)

    def _start_crash_check(
        self, progress: ResponseProgress, record: ServerRecord, failure: Failure
    ) -> asyncio.Task[None]:
        suspects = () if progress.is_proven else progress.contents
        crash_check = asyncio.create_task(
            self._check_for_crash(suspects, record, record.server, failure)
        )
        self._crash_checks.add(crash_check)
        crash_check.add_done_callback(self._crash_checks.discard)
        return crash_check

    async def _check_for_crash(
        self,
        suspects: tuple[Content, ...],
        record: ServerRecord,
        server: BackendServer,
        failure: Failure,
    ) -> None:
        """Record a crash of the server if that is why the request failed.

        :param suspects: contents of the request; none if the server had answered.
        :param record: record of the server.
        :param server: the server as it was listed when the request failed.
        :param failure: the failure of the request.
        """
        if (
            failure.kind is not ErrorKind.BACKEND_FAILED
            or failure.outcome is not Outcome.UNKNOWN
            or self._servers.is_evacuated(record)
        ):
            return
        reachability = await self._calls.check_reachability(server)
        if reachability is Reachability.REACHABLE:
            return
        now_s = asyncio.get_running_loop().time()
        record.record_failure("the server is down", now_s, is_down=True)
        # The process of a server that sends nothing may still run behind a cut.
        if suspects and reachability is Reachability.REFUSED:
            crash = hash_crash(server.server_id, server.started_at_ms)
            log_event(
                "server_crashed",
                level="WARNING",
                server=server.server_id,
                crash=f"{crash:08x}",
                contents=",".join(f"{each.content_hash:016x}" for each in suspects),
            )
            self._suspects.record_crash(crash, suspects)

    async def _send(
        self,
        request: IncomingRequest,
        reservation: Reservation,
        progress: ResponseProgress,
    ) -> Attempt | Failure:
        """Send a request to the server that is reserved for it.

        The reservation is released if nothing was sent.
        """
        record, loop = reservation.record, asyncio.get_running_loop()
        attempt = None
        try:
            if progress.splitter.last_id is not None:
                request.resume_after = progress.splitter.last_id
            sent_s = loop.time()
            exchange = await self._calls.begin(
                record.server, request, progress.must_end_s - read_boot_time_s()
            )
            if isinstance(exchange, Failure):
                is_down = exchange.kind is ErrorKind.BACKEND_UNREACHABLE
                record.record_failure(exchange.reason, loop.time(), is_down=is_down)
                return exchange
            attempt = Attempt(reservation, exchange, sent_s)
            reservation.is_sent = True
        finally:
            if attempt is None:
                self._dispatcher.release(reservation)
        request.attempts += 1
        record.record_sent(attempt, request.prompt, loop.time())
        if reservation.fetch_from is not None:
            self._servers.cached_parts.count_fetch(is_known=reservation.is_source_known)
        log_event(
            "request_sent",
            request_id=request.request_id,
            server=record.server.server_id,
            requests=record.requests,
            peers=record.peer_load.requests,
            mean_requests=reservation.mean_requests,
            servers_without_room=reservation.servers_without_room,
            waited_s=read_boot_time_s() - request.received_s,
            slowness=record.slowness,
            expected_s=reservation.expected_s,
            prompt_tokens=reservation.prompt_tokens,
            fetch_from=reservation.describe_source(),
            paused_servers=reservation.paused_servers,
            limited_servers=reservation.limited_servers,
        )
        return attempt

    def _end_attempt(self, attempt: Attempt, taken_s: float | None = None) -> None:
        if attempt.is_ended:
            return
        attempt.is_ended = True
        attempt.reservation.record.record_ended(attempt)
        attempt.exchange.close()
        self._dispatcher.release(attempt.reservation, taken_s)

    async def _try_server(
        self,
        request: IncomingRequest,
        reservation: Reservation,
        progress: ResponseProgress,
    ) -> Failure | None:
        attempt, progress.replacement = progress.replacement, None
        progress.begin_try()
        if attempt is None:
            attempt = await self._send(request, reservation, progress)
        if isinstance(attempt, Failure):
            return attempt
        record, loop = reservation.record, asyncio.get_running_loop()
        exchange = attempt.exchange
        taken_s = None
        try:
            head = attempt.head or await self._read_unless_silent(
                exchange.read_head, request, reservation, progress
            )
            if isinstance(head, Failure):
                record.record_failure(head.reason, loop.time())
                return head
            record.record_response(attempt, loop.time())
            if not head.pause_s:
                start_s = loop.time() - attempt.sent_s
                record.record_response_time(
                    start_s, reservation.expected_s, loop.time()
                )
                if head.is_success:
                    self._dispatcher.record_start(request, reservation, start_s)
            refusal = self._check_head(head, request, attempt, progress)
            if refusal is not None and not (
                # The server's own failure is an answer unless there is a better one.
                refusal.outcome is Outcome.RAN
                and not progress.answer.is_started
                and not await self._replace(
                    request, reservation, progress, allows_avoided=True
                )
            ):
                return refusal
            if request.route.rule is ExecutionRule.STREAM and head.is_success:
                failure = await self._relay_stream(
                    exchange, head, request, reservation, progress, attempt
                )
            else:
                failure = await self._relay_buffered(
                    exchange, head, request, reservation, progress, attempt
                )
            if failure is None:
                record.record_success()
                taken_s = loop.time() - attempt.sent_s
                if head.is_success:
                    self._dispatcher.record_answer(
                        request,
                        reservation,
                        progress.pool,
                        progress.event_count,
                        taken_s,
                    )
            else:
                record.record_failure(failure.reason, loop.time())
            return failure
        finally:
            # A server that sent too much was running when this side closed.
            progress.is_proven = progress.is_proven or exchange.is_given_up
            self._end_attempt(attempt, taken_s)

    def _check_head(
        self,
        head: BackendResponseHead,
        request: IncomingRequest,
        attempt: Attempt,
        progress: ResponseProgress,
    ) -> Failure | None:
        """Return why a response with this head is not relayed, ``None`` if it is."""
        reservation = attempt.reservation
        record = reservation.record
        self._servers.update_server_load(record, head.load)
        if head.tells_limit:
            self._servers.limits.record_answer(
                record.server, head.limit_per_s, attempt.sent_s
            )
        self._servers.cold.record_answer(
            record.server, head.cold_remaining_s, attempt.sent_s
        )
        if head.is_leaving:
            self._servers.record_statement_of_leaving(record)
        self._servers.pause(record, head.pause_s)
        reservation.settle_trial(is_accepted=head.is_verified and not head.was_not_run)
        if head.was_not_run:
            wish = f" and wants none for {head.pause_s:.2f} s" if head.pause_s else ""
            return make_failure(
                ErrorKind.OVERLOADED,
                f"{record.server.server_id} refused it with status {head.status}{wish}",
                retry_after_s=self._dispatcher.predict_return_s(record.server.pool),
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
        pool_name = progress.pool.name
        if head.status >= 500 and can_repeat and self._budget.can_spend(pool_name):
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
        attempt: Attempt,
    ) -> Failure | None:
        body = CollectedBytes()
        limit_bytes = (
            MAX_BUFFERED_BODY_BYTES if head.is_success else MAX_FAILURE_BODY_BYTES
        )
        while True:
            chunk = await self._read_unless_silent(
                exchange.read_chunk, request, reservation, progress
            )
            if isinstance(chunk, Failure):
                return chunk
            if chunk is None:
                break
            reservation.record.record_response(
                attempt, asyncio.get_running_loop().time()
            )
            body.append(chunk)
            if len(body) > limit_bytes:
                reason = f"a body of more than {limit_bytes} bytes"
                return exchange.give_up(Excess.BODY, reason)
            exchange.keep_bytes(len(body))
        progress.start(head, len(body), read_boot_time_s() - request.received_s)
        data = body.join()
        body.clear()
        # A caller that reads slowly keeps no capacity of the server.
        taken_s = asyncio.get_running_loop().time() - attempt.sent_s
        self._end_attempt(attempt, taken_s)
        await progress.answer.write(data)
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
                exchange.read_chunk, request, reservation, progress, stream_token
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
            if reservation.mark_prefill_done() and reservation.shares_parts:
                self._servers.record_cached_parts(
                    reservation.record, request.prompt, reservation.is_home
                )
            events = splitter.feed(chunk)
            progress.event_count += events.count(EVENT_SEPARATOR)
            if splitter.is_continuation_wrong:
                reason = f"its stream does not go on after event {splitter.last_id}"
                return make_failure(ErrorKind.BACKEND_FAILED, reason)
            exchange.keep_bytes(splitter.partial_bytes)
            if splitter.has_progressed:
                reservation.record.record_response(stream_token, loop.time())
                if progress.record_events(loop.time()):
                    self._suspects.record_answer(progress.contents)
            await answer.write(events)
            if splitter.is_event_too_long:
                reason = f"an event of more than {MAX_EVENT_BYTES} bytes"
                return exchange.give_up(Excess.EVENT, reason)
            if splitter.is_without_event:
                reason = f"over {MAX_BYTES_WITHOUT_EVENT} bytes without an event"
                return exchange.give_up(Excess.NO_EVENT, reason)

    def _find_stall(
        self, request: IncomingRequest, record: ServerRecord, stream_token: object
    ) -> Failure | None:
        """Return why a stream should go on at another server, ``None`` if it need not.

        Bytes without a complete event are no progress.
        """
        now_s = asyncio.get_running_loop().time()
        pause_s = now_s - record.awaited_since_s[stream_token]
        limit_s = max(MIN_STALL_S, STALL_PAUSE_FACTOR * request.route.pause_target_s)
        if pause_s < limit_s:
            return None
        reason = f"{record.server.server_id} sent no event for {pause_s:.1f} s"
        return make_failure(ErrorKind.BACKEND_FAILED, reason)

    def _find_silence(
        self, request: IncomingRequest, record: ServerRecord, is_stream: bool
    ) -> Failure | None:
        """Return why a response is not expected soon, ``None`` if it may be."""
        silence_s = SILENCE_TIMEOUT_S
        if is_stream:
            pause_s = SILENT_PAUSE_FACTOR * request.route.pause_target_s
            silence_s = max(silence_s, pause_s)
        if not record.is_silent(asyncio.get_running_loop().time(), silence_s):
            return None
        reason = f"{record.server.server_id} is silent"
        return make_failure(ErrorKind.BACKEND_FAILED, reason)

    async def _read_unless_silent(
        self,
        read,
        request: IncomingRequest,
        reservation: Reservation,
        progress: ResponseProgress,
        stream_token: object | None = None,
    ):
        """Read a part of a response.

        If the server is silent, or its stream, given by its token, is stalled, the
        request is sent to another server. The read fails once that one has taken over
        and not before, since a silent server may go on.
        """
        record, loop = reservation.record, asyncio.get_running_loop()
        is_stream = stream_token is not None
        stall = self._find_stall(request, record, stream_token) if is_stream else None
        if stall is not None and await self._replace(request, reservation, progress):
            return stall
        while (
            request.route.is_repeatable and request.attempts < request.route.max_servers
        ):
            checked_s = loop.time()
            try:
                async with asyncio.timeout(SILENCE_CHECK_INTERVAL_S):
                    return await read()
            except TimeoutError:
                delay_s = loop.time() - checked_s - SILENCE_CHECK_INTERVAL_S
            if delay_s > MAX_CHECK_DELAY_S:
                continue
            failure = self._find_silence(request, record, is_stream)
            if failure is None and is_stream:
                failure = self._find_stall(request, record, stream_token)
            if failure is not None and await self._replace(
                request, reservation, progress
            ):
                return failure
        return await read()

    async def _replace(
        self,
        request: IncomingRequest,
        reservation: Reservation,
        progress: ResponseProgress,
        allows_avoided: bool = False,
    ) -> bool:
        """Send a request to another server before its present one is given up.

        :returns: whether the other server has taken over: it has begun a response that
            can be relayed, or has not refused the request for as long as both may work
            on it.
        """
        may_retry = (
            request.route.is_repeatable and request.attempts < request.route.max_servers
        )
        pool_name = progress.pool.name
        if not may_retry or not self._budget.can_spend(pool_name):
            return False
        refusal = self._suspects.find_refusal(progress.contents)
        if refusal is not None or self._suspects.is_unproven_suspect(progress.contents):
            return False
        request.tried_server_ids.add(reservation.record.server.server_id)
        spare = self._dispatcher.acquire_now(request, progress.pool, allows_avoided)
        if isinstance(spare, Failure):
            return False
        self._budget.spend(pool_name)
        request.tried_server_ids.add(spare.record.server.server_id)
        attempt = await self._send(request, spare, progress)
        failure = attempt if isinstance(attempt, Failure) else None
        if isinstance(attempt, Attempt):
            progress.replacement = attempt
            failure = await self._read_replacement_head(request, attempt, progress)
        if failure is None:
            return True
        self._start_crash_check(progress, spare.record, failure)
        log_event(
            "try_failed",
            level="WARNING",
            request_id=request.request_id,
            server=spare.record.server.server_id,
            kind=failure.kind,
            outcome=failure.outcome,
            reason=failure.reason,
            tries=request.attempts,
            is_replacement=True,
        )
        return False

    async def _read_replacement_head(
        self, request: IncomingRequest, attempt: Attempt, progress: ResponseProgress
    ) -> Failure | None:
        """Read the head of a replacement's response, and end one that can't take over.

        :returns: why it can't take over, ``None`` if it does.
        """
        record = attempt.reservation.record
        try:
            async with asyncio.timeout(MAX_OVERLAP_S):
                head = await attempt.exchange.read_head()
        except TimeoutError:
            return None
        if isinstance(head, Failure):
            record.record_failure(head.reason, asyncio.get_running_loop().time())
            failure = head
        else:
            failure = self._check_head(head, request, attempt, progress)
            attempt.head = head
        if failure is not None:
            progress.replacement = None
            self._end_attempt(attempt)
        return failure


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


def make_relay(
    calls: BackendCalls,
    dispatcher: Dispatcher,
    servers: ServerTable,
    budget: FleetRetryBudget,
    suspects: SuspectContents,
    observe: Callable[[RequestObservation], None] = lambda _: None,
) -> Relay:
    """Return a relay.

    :param calls: sends requests to servers.
    :param dispatcher: assigns requests to servers.
    :param servers: this router's view of the state of the servers.
    :param budget: retry budget that is shared with the other routers.
    :param suspects: evidence on contents of requests that may crash servers.
    :param observe: called with the result and timing of each request.
    """
    return Relay(calls, dispatcher, servers, budget, suspects, observe)
