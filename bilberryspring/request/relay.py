"""One request's way through a router that calls backend servers itself.

A request that may have run is sent again only if it is repeatable, or if a stream can
be continued after the last whole event. An answer that a server made is passed on,
also when it is late; one that breaks off never looks complete.
"""

import asyncio
from collections.abc import Callable

from bilberryspring.capability.backend_calls import (
    AnswerHead,
    BackendCalls,
    CallerAnswer,
    Exchange,
)
from bilberryspring.capability.routing import (
    IncomingRequest,
    PoolLimits,
    RunRule,
)
from bilberryspring.identifiers import digest_content
from bilberryspring.process.clock import read_elapsed_s
from bilberryspring.process.logs import log_event
from bilberryspring.process.router_metrics import Observation
from bilberryspring.process.server_table import ServerRecord, ServerTable
from bilberryspring.request.answer_progress import AnswerProgress
from bilberryspring.request.crashes import CrashRecords
from bilberryspring.request.direct_plans import Place
from bilberryspring.request.direct_queue import Dispatcher
from bilberryspring.request.errors import ErrorKind, Failure, Outcome, make_failure
from bilberryspring.request.event_splitter import make_event_splitter
from bilberryspring.request.fleet_budget import FleetRetryBudget

__all__ = ["Relay", "make_relay"]

# How often a request that waits for a server asks whether that server fell silent.
SILENCE_CHECK_INTERVAL_S = 0.25
MAX_BUFFERED_BODY_BYTES = 8_000_000
_SUCCESS = None


class Relay:
    """Relays requests.

    :param calls: sends requests to servers.
    :param dispatcher: gives places at servers.
    :param servers: what is known of the servers.
    :param budget: bounds further sends over all routers.
    :param crashes: contents that crashed servers.
    :param observe: takes what became of each request.
    """

    def __init__(
        self,
        calls: BackendCalls,
        dispatcher: Dispatcher,
        servers: ServerTable,
        budget: FleetRetryBudget,
        crashes: CrashRecords,
        observe: Callable[[Observation], None] = lambda _: None,
    ):
        self._calls = calls
        self._dispatcher = dispatcher
        self._servers = servers
        self._budget = budget
        self._crashes = crashes
        self._crash_checks: set[asyncio.Task[None]] = set()
        self._observe = observe

    async def relay(
        self, request: IncomingRequest, pool: PoolLimits, answer: CallerAnswer
    ) -> Failure | None:
        """Answer one request.

        :param request: the request.
        :param pool: pool that its route leads to.
        :param answer: the caller's answer.
        :returns: why the caller got no whole answer of a server, ``None`` if it did.
        """
        begun_s = request.received_s
        must_end_s = min(request.deadline_s, begun_s + request.route.timeout_s)
        progress = AnswerProgress(answer, make_event_splitter())
        outcome: Failure | None = make_failure(ErrorKind.DEADLINE_EXCEEDED)
        try:
            async with asyncio.timeout(max(must_end_s - read_elapsed_s(), 0)):
                outcome = await self._try_servers(request, pool, progress, must_end_s)
        except TimeoutError:
            if request.tries == 0:
                outcome = make_failure(
                    ErrorKind.OVERLOADED, "no server had room before the deadline"
                )
        now_s = read_elapsed_s()
        self._observe(
            Observation(
                rank_order=request.rank_order,
                status=progress.status,
                kind="" if outcome is _SUCCESS else outcome.kind.value,
                tries=request.tries,
                first_s=progress.first_s,
                whole_s=now_s - begun_s,
                is_complete=outcome is _SUCCESS,
            )
        )
        if outcome is _SUCCESS:
            return _SUCCESS
        facts = {
            "level": "WARNING",
            "request_id": request.request_id,
            "kind": outcome.kind,
            "outcome": outcome.outcome,
            "reason": outcome.reason,
            "route": request.route.name,
            "tries": request.tries,
            "age_s": now_s - begun_s,
            "left_s": must_end_s - now_s,
            "is_begun": answer.is_started,
        }
        if request.tries == 0:
            log_event("request_refused", **facts)
        else:
            log_event("request_failed", **facts)
        if answer.is_started:
            answer.break_off()
        else:
            await answer.refuse(outcome)
        return outcome

    async def _try_servers(
        self,
        request: IncomingRequest,
        pool: PoolLimits,
        progress: AnswerProgress,
        must_end_s: float,
    ) -> Failure | None:
        last: Failure | None = None
        digest = _digest_request(request)
        while True:
            verdict = self._crashes.judge(digest)
            if isinstance(verdict, Failure):
                return last or verdict
            place = await self._dispatcher.place(request, pool, must_end_s)
            if isinstance(place, Failure):
                return last or place
            if last is None:
                self._budget.record_first_try()
            elif not self._budget.spend():
                self._dispatcher.release(place)
                log_event(
                    "try_failed",
                    level="WARNING",
                    request_id=request.request_id,
                    reason="the budget for further tries is spent",
                    kind=last.kind,
                )
                return last
            found = await self._try_server(request, place, progress, must_end_s)
            if not isinstance(found, Failure):
                self._crashes.clear(digest)
                return found
            examining = asyncio.create_task(
                self._check_for_crash(digest, place.record, found)
            )
            self._crash_checks.add(examining)
            examining.add_done_callback(self._crash_checks.discard)
            request.tried.add(place.record.server.server_id)
            log_event(
                "try_failed",
                level="WARNING",
                request_id=request.request_id,
                server=place.record.server.server_id,
                kind=found.kind,
                outcome=found.outcome,
                reason=found.reason,
                tries=request.tries,
            )
            may_have_run = found.outcome is not Outcome.NOT_RUN
            # A success on one try hides nothing: what may have run once stays so.
            if last is None or may_have_run or last.outcome is Outcome.NOT_RUN:
                last = found
            if may_have_run and not request.route.is_repeatable:
                return last
            if request.tries >= request.route.max_servers and may_have_run:
                return last
            if request.tries >= request.route.max_servers + 1:
                return last
            await examining

    async def _check_for_crash(
        self, digest: str, record: ServerRecord, failure: Failure
    ) -> None:
        """Note a crash of the server, if that is why a request that ran failed."""
        if failure.kind is not ErrorKind.BACKEND_FAILED:
            return
        server = record.server
        if failure.outcome is Outcome.UNKNOWN and await self._calls.is_down(server):
            now_s = asyncio.get_running_loop().time()
            record.note_failure("it is down", now_s, is_down=True)
            crash_id = f"{server.server_id}/{server.started_at_ms}"
            self._crashes.learn(digest, {crash_id})

    async def _try_server(
        self,
        request: IncomingRequest,
        place: Place,
        progress: AnswerProgress,
        must_end_s: float,
    ) -> Failure | None:
        record, loop = place.record, asyncio.get_running_loop()
        token = object()
        sent_s = loop.time()
        exchange = None
        taken_s = None
        try:
            if progress.splitter.last_id is not None:
                request.resume_after = progress.splitter.last_id
            exchange = await self._calls.begin(
                record.server, request, must_end_s - read_elapsed_s()
            )
            if isinstance(exchange, Failure):
                is_down = exchange.kind is ErrorKind.BACKEND_UNREACHABLE
                record.note_failure(exchange.reason, loop.time(), is_down=is_down)
                return exchange
            request.tries += 1
            record.note_sent(token, request.prompt, loop.time())
            log_event(
                "request_sent",
                request_id=request.request_id,
                server=record.server.server_id,
                requests=record.requests,
                peers=record.peers.requests,
                slowness=record.slowness,
                expected_s=place.expected_s,
                prompt_tokens=place.prompt_tokens,
            )
            head = await self._read_unless_silent(exchange.read_head, request, place)
            if isinstance(head, Failure):
                record.note_failure(head.reason, loop.time())
                return head
            record.note_heard(token, loop.time())
            record.note_time(loop.time() - sent_s, place.expected_s, loop.time())
            refusal = self._check_head(head, request, place, progress)
            if refusal is not None:
                return refusal
            if request.route.rule is RunRule.STREAM and head.is_success:
                failure = await self._relay_stream(
                    exchange, head, request, place, progress, token
                )
            else:
                failure = await self._relay_buffered(
                    exchange, head, request, place, progress, token
                )
            if failure is None:
                record.note_success()
                taken_s = loop.time() - sent_s
            else:
                record.note_failure(failure.reason, loop.time())
            return failure
        finally:
            record.note_ended(token)
            if exchange is not None and not isinstance(exchange, Failure):
                exchange.close()
            self._dispatcher.release(place, taken_s)

    def _check_head(
        self,
        head: AnswerHead,
        request: IncomingRequest,
        place: Place,
        progress: AnswerProgress,
    ) -> Failure | None:
        """Return why an answer with this head is not passed on, if it is not."""
        record = place.record
        self._servers.note_load(record, head.load)
        if head.was_not_run:
            return make_failure(
                ErrorKind.OVERLOADED,
                f"{record.server.server_id} refused it with {head.status}",
                retry_after_s=self._dispatcher.get_mean_service_s(record.server.pool),
            )
        if not head.is_own:
            return make_failure(
                ErrorKind.BACKEND_FAILED,
                f"{record.server.server_id} answered {head.status} without its proof",
            )
        can_repeat = (
            request.route.is_repeatable and request.tries < request.route.max_servers
        )
        if head.status >= 500 and can_repeat and self._budget.can_spend():
            return make_failure(
                ErrorKind.BACKEND_FAILED,
                f"{record.server.server_id} failed with {head.status}",
                outcome=Outcome.RAN,
            )
        if progress.answer.is_started and not head.is_success:
            reason = f"{head.status} instead of the rest of a stream"
            return make_failure(ErrorKind.BACKEND_FAILED, reason)
        return None

    async def _relay_buffered(
        self,
        exchange: Exchange,
        head: AnswerHead,
        request: IncomingRequest,
        place: Place,
        progress: AnswerProgress,
        token: object,
    ) -> Failure | None:
        parts: list[bytes] = []
        size_bytes = 0
        while True:
            chunk = await self._read_unless_silent(exchange.read_chunk, request, place)
            if isinstance(chunk, Failure):
                return chunk
            if chunk is None:
                break
            place.record.note_heard(token, asyncio.get_running_loop().time())
            parts.append(chunk)
            size_bytes += len(chunk)
            if size_bytes > MAX_BUFFERED_BODY_BYTES:
                return make_failure(ErrorKind.BACKEND_FAILED, "the answer is too large")
        progress.start(head, size_bytes, read_elapsed_s() - request.received_s)
        await progress.answer.write(b"".join(parts))
        progress.answer.finish()
        return _SUCCESS

    async def _relay_stream(
        self,
        exchange: Exchange,
        head: AnswerHead,
        request: IncomingRequest,
        place: Place,
        progress: AnswerProgress,
        token: object,
    ) -> Failure | None:
        answer, splitter = progress.answer, progress.splitter
        splitter.drop_rest()
        loop = asyncio.get_running_loop()
        while True:
            chunk = await self._read_unless_silent(exchange.read_chunk, request, place)
            if isinstance(chunk, Failure):
                return chunk
            if not answer.is_started:
                progress.start(head, None, read_elapsed_s() - request.received_s)
            if chunk is None:
                await answer.write(splitter.take_rest())
                answer.finish()
                return _SUCCESS
            place.begin()
            place.record.note_heard(token, loop.time())
            await answer.write(splitter.feed(chunk))

    async def _read_unless_silent(self, read, request: IncomingRequest, place: Place):
        """Wait for a part of an answer; leave a silent server if that loses nothing."""
        record, loop = place.record, asyncio.get_running_loop()
        if not request.route.is_repeatable:
            return await read()
        while True:
            try:
                async with asyncio.timeout(SILENCE_CHECK_INTERVAL_S):
                    return await read()
            except TimeoutError:
                now_s = loop.time()
                others = request.tries < request.route.max_servers
                if others and record.is_silent(now_s) and self._budget.can_spend():
                    reason = f"{record.server.server_id} is silent"
                    return make_failure(ErrorKind.BACKEND_FAILED, reason)


def _digest_request(request: IncomingRequest) -> str:
    """Return what the same request has in common at each of its tries."""
    content = f"{request.workspace} {request.method} {request.target}\n".encode()
    return digest_content(content + request.body)


def make_relay(
    calls: BackendCalls,
    dispatcher: Dispatcher,
    servers: ServerTable,
    budget: FleetRetryBudget,
    crashes: CrashRecords,
    observe: Callable[[Observation], None] = lambda _: None,
) -> Relay:
    """Return a relay.

    :param calls: sends requests to servers.
    :param dispatcher: gives places at servers.
    :param servers: what is known of the servers.
    :param budget: bounds further sends over all routers.
    :param crashes: contents that crashed servers.
    :param observe: takes what became of each request.
    """
    return Relay(calls, dispatcher, servers, budget, crashes, observe)
