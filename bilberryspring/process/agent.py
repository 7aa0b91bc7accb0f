"""The agent program, which proxies every request to its backend server."""

import asyncio
import sys
import time

from bilberryspring.capability.instance_list import (
    Role,
)
from bilberryspring.connection.link import Link
from bilberryspring.connection.messages import (
    Attach,
    Cancel,
    Credit,
    Leaving,
    Message,
    Open,
)
from bilberryspring.connection.peers import INCARNATION, make_peer_server
from bilberryspring.identifiers import ConfigVersion, EngineVersion, PoolName, RequestId
from bilberryspring.process.administration import make_agent_application
from bilberryspring.process.answer_store import make_answer_store
from bilberryspring.process.backend_watch import BackendState, make_backend_watch
from bilberryspring.process.exchange import make_exchange
from bilberryspring.process.http_server import make_http_server
from bilberryspring.process.logs import log_event
from bilberryspring.process.memory_bound import make_memory_bound
from bilberryspring.process.node import Node
from bilberryspring.process.orders import make_order_fence
from bilberryspring.process.program import run_program
from bilberryspring.process.result_fields import (
    COMPLETE_RESULT,
    choose_log_level,
    make_result_fields,
)
from bilberryspring.process.settings import AgentSettings
from bilberryspring.request.admission import Admission, make_admission
from bilberryspring.request.admission_wait import (
    AdmissionWaitQueue,
    make_admission_wait_queue,
)
from bilberryspring.request.backends import BackendResult, make_backend_session
from bilberryspring.request.buffered_response import (
    BufferedResponse,
    make_buffered_response,
    make_refused_message,
)
from bilberryspring.request.cache_transfers import make_cache_transfers
from bilberryspring.request.claim_forwarding import ClaimFleet
from bilberryspring.request.claim_protocol import StoredResponse
from bilberryspring.request.claim_sweeps import list_claim_groups
from bilberryspring.request.claims import make_claim_store
from bilberryspring.request.crash_records import make_crash_tracker
from bilberryspring.request.errors import ErrorKind, Failure, Outcome, make_failure
from bilberryspring.request.hedging import make_hedging_policy
from bilberryspring.request.request_execution import serve_request
from bilberryspring.request.ticket import Ticket
from bilberryspring.version.index import ConfigurationIndex

__all__ = ["AgentProcess", "make_agent", "main"]

SWEEP_INTERVAL_S = 0.25
# Memory of all responses that have not ended.
MAX_UNFINISHED_RESPONSES_BYTES = 64 * 1024 * 1024
# A caller whose router failed may reattach for this long; then its request is
# cancelled.
REATTACH_GRACE_S = 10.0
# A draining agent keeps a completed but undelivered answer for this long.
DELIVERY_GRACE_S = 5.0
DRAIN_POLL_S = 0.02


class AgentProcess(Node):
    """One agent: admission, running requests, retained answers and its components."""

    def __init__(self, settings: AgentSettings):
        super().__init__(settings, Role.AGENT)
        self.response_memory = make_memory_bound(MAX_UNFINISHED_RESPONSES_BYTES)
        self.answers = make_answer_store(
            settings.retained_answers_bytes, settings.retained_answer_s
        )
        self.claims = make_claim_store(
            self.key_value,
            self.instance_id,
            settings.claim_retention_s,
            settings.key_value_timeout_s,
            self.ledger,
            ClaimFleet(
                PoolName(settings.pool),
                self.members,
                self.peers,
                settings.max_direct_claim_agents,
            ),
            lambda: list_claim_groups(self.holder.index),
        )
        self.admission: Admission | None = None
        self.admission_wait_queue: AdmissionWaitQueue | None = None
        self.hedging = make_hedging_policy()
        self.crash_watch = make_crash_tracker(f"{self.instance_id}/{INCARNATION}")
        self.exchange = make_exchange(
            settings,
            PoolName(settings.pool),
            self.members,
            self.peers,
            self.follower,
            self.ledger,
            lambda: self.admission,
        )
        self.backend = make_backend_watch(
            settings.backend_address,
            settings.engine_probe_s,
            settings.fingerprint_interval_s,
            self.ledger,
            self._apply_backend_state,
            self._handle_version_change,
        )
        self.orders = make_order_fence(self)
        self.cache_moves = make_cache_transfers(self)
        self.holder.on_change(self._reconfigure)
        self.server = make_peer_server(
            settings, settings.peer_address, self, self.handle_request_frame
        )
        self.administration_server = make_http_server(
            make_agent_application(self), settings.administration_address
        )
        self.request_latency = self.metrics.add_latency_histogram(
            "request_seconds", "Requests at this agent", "rank", "result"
        )
        self.queue_wait_latency = self.metrics.add_latency_histogram(
            "queue_wait_seconds", "Time from admission to the slot", "rank"
        )
        self.wait_prediction_error = self.metrics.add_latency_histogram(
            "wait_prediction_error_seconds",
            "Difference between the predicted and the real wait",
            "rank",
            "sign",
        )
        self.refusals = self.metrics.add_counter(
            "refusals", "Requests that admission refused", "rank", "kind"
        )
        self.metrics.add_gauge(
            "mean_load_age_seconds", "Age of the pool's loads", self.read_mean_load_age
        )
        self.metrics.add_gauge(
            "claims_sent_for_others",
            "Claims that this agent sent as a batcher",
            lambda: self.claims.batcher.forwarded_transactions,
        )
        self.metrics.add_gauge("load", "Unfinished work", self.read_load)
        self.metrics.add_gauge(
            "retained_answer_bytes", "Kept answers", lambda: self.answers.retained_bytes
        )

    async def start(self) -> None:
        """Start serving.

        :raises OSError: if an address cannot be bound.
        """
        self.session = make_backend_session()
        await self.server.start()
        await self.start_node()
        await self.claims.start()
        await self.exchange.start()
        await self.backend.start()
        await self.cache_moves.start()
        await self.administration_server.start()
        self.start_task(self._sweep())

    async def drain(self) -> None:
        """Refuse new requests, return queued ones, and finish the running ones."""
        self.draining = True
        if self.admission is not None:
            self.admission.drain()
        for link in self.server.links:
            link.send(Leaving(self.instance_id))
        deadline_s = time.monotonic() + self.settings.drain_timeout_s
        while time.monotonic() < deadline_s and self._has_pending_answers():
            await asyncio.sleep(DRAIN_POLL_S)

    def is_ready(self) -> bool:
        """Return whether the agent accepts requests and its backend server is up."""
        return super().is_ready() and self.backend.state is BackendState.SERVING

    def read_load(self) -> float:
        """Return the unfinished work at this agent, in the pool's load unit."""
        return self.admission.load if self.admission is not None else 0.0

    def read_mean_load_age(self) -> float:
        """Return the mean age of the loads that the load bound uses, in seconds."""
        return self.exchange.mean_load().age_s if self.admission is not None else 0.0

    def _reconfigure(self, version: ConfigVersion, index: ConfigurationIndex) -> None:
        pool = index.pools.get(self.settings.pool)
        if pool is None:
            return
        if self.admission is None:
            self.admission = make_admission(pool, index, self.exchange)
            self.admission_wait_queue = make_admission_wait_queue(self.admission)
            self.backend.kind = pool.kind
            models = (m.name for m in index.models.values() if m.pool == pool.name)
            self.backend.model = next(models, "")
            self._apply_backend_state(self.backend.state)
        else:
            self.admission.reconfigure(pool, index)

    def _apply_backend_state(self, state: BackendState) -> None:
        if self.admission is None:
            return
        if state is BackendState.DOWN:
            self.admission.mark_backend_down()
        else:
            self.admission.mark_backend_up()

    def _handle_version_change(self, version: EngineVersion) -> None:
        log_event("engine_version_changed", level="WARNING", version=version)
        self.cache_moves.index.directory.remove_other_versions(version)

    def _has_pending_answers(self) -> bool:
        since_s = time.monotonic() - DELIVERY_GRACE_S
        return bool(self.answers.list_unfinished()) or any(
            (answer.ended_s or 0.0) > since_s
            for answer in self.answers.list_undelivered()
        )

    async def close(self) -> None:
        """Close all components without waiting for open requests."""
        await self.administration_server.close()
        await self.backend.close()
        await self.cache_moves.close()
        await self.exchange.close()
        await self.claims.close()
        await self.server.close()
        await self.close_node()
        await self.session.close()

    def handle_request_frame(self, link: Link, message: Message) -> None:
        """Handle a frame that opens, resumes, paces or cancels a request.

        :param link: connection on which the frame arrived.
        :param message: the frame.
        """
        match message:
            case Open():
                self._open(link, message)
            case Attach():
                self._attach(link, message)
            case Credit():
                answer = self.answers.find(RequestId(message.request_id))
                if answer is not None:
                    answer.add_credit(link, message.until_sequence)
            case Cancel():
                answer = self.answers.find(RequestId(message.request_id))
                if answer is not None:
                    answer.detach(link)
            case _:
                super().handle_request_frame(link, message)

    def _open(self, link: Link, request: Open) -> None:
        request_id = RequestId(request.request_id)
        answer = self.answers.find(request_id)
        if answer is not None and not answer.can_be_replaced(request.attempt):
            # The same frame may arrive late over an abandoned connection.
            if not answer.is_attached_after(link):
                answer.attach(link, 0)
            return
        outcome = self.answers.find_outcome(request_id)
        if outcome is not None:
            failure = make_failure(ErrorKind.UNKNOWN_ANSWER, outcome=outcome)
            self._refuse(link, request_id, failure)
            return
        if self.draining:
            self.answers.record_outcome(request_id, Outcome.NOT_RUN)
            self._refuse(link, request_id, make_failure(ErrorKind.LEAVING))
            return
        answer = make_buffered_response(
            request_id,
            request.workspace,
            self.settings.window_chunks,
            request.attempt,
            self.response_memory,
        )
        self.answers.add(answer)
        answer.task = self.start_task(serve_request(self, request, answer))
        answer.cancellable = request.idempotent
        answer.attach(link, 0)

    def _attach(self, link: Link, request: Attach) -> None:
        request_id = RequestId(request.request_id)
        answer = self.answers.find(request_id)
        if answer is not None and answer.workspace == request.workspace:
            answer.attach(link, request.next_sequence)
            return
        outcome = self.answers.find_outcome(request_id)
        if outcome is None:
            # The request may still arrive over an abandoned connection; recording the
            # outcome keeps it from running, so that NOT_RUN stays true.
            outcome = Outcome.NOT_RUN
            self.answers.record_outcome(request_id, outcome)
        failure = make_failure(ErrorKind.UNKNOWN_ANSWER, outcome=outcome)
        self._refuse(link, request_id, failure)

    def _refuse(self, link: Link, request_id: RequestId, failure: Failure) -> None:
        link.send(make_refused_message(request_id, failure, self.holder.version))

    async def _sweep(self) -> None:
        """Periodically cancel abandoned requests, evict answers, and check the list."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now_s = time.monotonic()
            if not self.draining and self.members.is_leaving(self.instance_id):
                log_event("listed_as_leaving")
                self.start_task(self.drain())
            for answer in self.answers.list_unfinished():
                answer.deliver()
                if self._is_abandoned(answer, now_s):
                    log_event("request_abandoned", request_id=answer.request_id)
                    answer.task.cancel()
            self.answers.evict_expired(now_s)
            if self.admission is not None:
                self.admission.refuse_overdue()

    def _is_abandoned(self, answer: BufferedResponse, now_s: float) -> bool:
        return (
            answer.cancellable
            and answer.detached_s is not None
            and now_s - answer.detached_s > REATTACH_GRACE_S
        )

    def record_queue_wait(self, ticket: Ticket) -> None:
        """Record a started request's queue wait and the error of its prediction.

        :param ticket: ticket of the request.
        """
        waited_s = ticket.started_s - ticket.queued_s
        error_s = waited_s - ticket.predicted_wait_s
        self.queue_wait_latency.observe(waited_s, ticket.rank)
        sign = "longer" if error_s > 0 else "shorter"
        self.wait_prediction_error.observe(abs(error_s), ticket.rank, sign)

    def record_result(
        self,
        request: Open,
        result: BackendResult | StoredResponse | Failure,
        duration_s: float,
    ) -> None:
        """Record the latency and the result of a completed request, and log it.

        :param request: the request.
        :param result: its result, the stored outcome, or a failure.
        :param duration_s: time since its arrival.
        """
        label = result.kind.value if isinstance(result, Failure) else COMPLETE_RESULT
        self.request_latency.observe(duration_s, request.rank, label)
        log_event(
            "request_ended",
            level=choose_log_level(result),
            request_id=request.request_id,
            attempt=request.attempt,
            idempotency_key=request.idempotency_key,
            backend_state=self.backend.state,
            engine_version=self.backend.engine_version,
            duration_s=duration_s,
            **make_result_fields(result),
        )


def make_agent(settings: AgentSettings) -> AgentProcess:
    """Return an agent that is not started.

    :param settings: validated settings.
    """
    return AgentProcess(settings)


def main() -> int:
    """Run the agent program."""
    return run_program("bilberryspring-agent", AgentSettings, make_agent)


if __name__ == "__main__":
    sys.exit(main())
