"""State of the model engine stand-in: models, version, orders, runs and journal."""

import os
import time
from dataclasses import asdict, dataclass

from bilberryspring.request.errors import ErrorKind, Failure, make_failure
from bilberryspring.standin.cache_journal import CacheJournal, find_cache_journal
from bilberryspring.standin.engine_cache import CachedPrefix, PrefixCache
from bilberryspring.standin.engine_run import Run, RunRecord, RunState
from bilberryspring.standin.engine_scheduler import CRASH_EXIT_CODE, Scheduler
from bilberryspring.standin.engine_settings import (
    CacheExport,
    ChatRequest,
    EngineFaults,
    EngineOrder,
    EngineSettings,
    ExportedPrefix,
    OrderKind,
)
from bilberryspring.standin.engine_text import (
    Message,
    compute_answer_length,
    count_tokens,
    digest_prefixes,
    digest_request,
    make_expected_text,
)
from bilberryspring.standin.journal import Journal

__all__ = ["CRASH_MARKER", "OrderRecord", "EngineStandin"]

CRASH_MARKER = "!crash!"


@dataclass(frozen=True, slots=True)
class OrderRecord:
    """Journal entry of one order.

    :param order: kind of the order, see :class:`OrderKind`.
    :param target: model, adapter, version or role that the order names.
    :param fencing: fencing number of the order.
    :param accepted: whether the order was executed.
    :param at_s: time of receipt in seconds, on the monotonic clock.
    """

    order: str
    target: str
    fencing: int
    accepted: bool
    at_s: float


class EngineStandin:
    """State of one model engine stand-in.

    :param settings: settings of the stand-in.
    """

    def __init__(self, settings: EngineSettings):
        self.settings = settings
        self.faults = EngineFaults()
        self.models = set(settings.models)
        self.adapters = set(settings.adapters)
        self.role = "both"
        self.engine_version = settings.engine_version
        self.reported_version = settings.engine_version
        self.orders: list[OrderRecord] = []
        self.highest_fencing = 0
        self.journal = Journal(RunRecord, settings.journal_path)
        self.cache_journal = CacheJournal(find_cache_journal(settings.journal_path))
        self.cache = PrefixCache(
            settings.cache_tokens,
            settings.cache_event_lag_s,
            settings.cache_event_loss,
            settings.seed,
            time.monotonic,
            self.cache_journal.record,
        )
        self.scheduler = Scheduler(
            settings.max_batch,
            settings.decode_interval_s,
            settings.prefill_tokens_per_s,
            self.cache,
            self._record_change,
        )
        self._conversations: dict[int, tuple[ChatRequest, list[Message]]] = {}

    async def start(self, _application: object = None) -> None:
        """Start the scheduler."""
        await self.scheduler.start()

    async def close(self, _application: object = None) -> None:
        """Cancel every run, stop the scheduler and close the journals."""
        for run in self.scheduler.inflight:
            self.scheduler.cancel(run)
        await self.scheduler.close()
        self.journal.close()
        self.cache_journal.close()

    def submit_chat(
        self, chat: ChatRequest, request_id: str, workspace: str, traceparent: str
    ) -> Run | Failure:
        """Queue a chat, or return why it cannot run.

        :param chat: validated request body.
        :param request_id: ``X-Request-Id`` of the request; empty for none.
        :param workspace: ``X-Workspace`` of the request; empty for none.
        :param traceparent: trace context of the request; empty for none.
        :returns: the queued run, or the failure to report.
        """
        failure = self._check_chat(chat)
        if failure is not None:
            return failure
        messages = [message.model_dump() for message in chat.messages]
        run = self._make_run(chat, messages)
        failure = self._restore_continuation(run, chat)
        if failure is not None:
            return failure
        run.record.request_id = request_id
        run.record.workspace = workspace
        run.record.traceparent = traceparent
        run.record.received_s = time.monotonic()
        self._conversations[run.record.number] = (chat, messages)
        self.journal.record(run.record)
        self.scheduler.submit(run)
        return run

    def find_run(self, request_id: str) -> Run | None:
        """Return the latest unfinished run of a request.

        :param request_id: id of the request.
        :returns: the run; None if no run of the request is in flight.
        """
        matching_runs = [
            run
            for run in self.scheduler.inflight
            if run.record.request_id == request_id
        ]
        return max(matching_runs, key=lambda run: run.record.number, default=None)

    def execute_order(self, order: EngineOrder) -> Failure | None:
        """Execute an order, or refuse it if its fencing number is stale.

        :param order: the order.
        :returns: the failure to report; None if the order was executed.
        """
        is_stale = order.fencing < self.highest_fencing
        accepted = not (is_stale and self.settings.checks_fencing)
        self.orders.append(
            OrderRecord(
                order=order.order.value,
                target=order.target,
                fencing=order.fencing,
                accepted=accepted,
                at_s=time.monotonic(),
            )
        )
        if not accepted:
            return make_failure(ErrorKind.STALE_ORDER)
        self.highest_fencing = max(self.highest_fencing, order.fencing)
        self._apply_order(order)
        return None

    def set_faults(self, faults: EngineFaults) -> None:
        """Replace the injected faults.

        :param faults: faults from now on.
        """
        self.faults = faults
        if faults.crash:
            os._exit(CRASH_EXIT_CODE)
        if faults.engine_version:
            self.change_version(faults.engine_version, faults.report_version)
        self.scheduler.decode_interval_s = (
            faults.decode_interval_s or self.settings.decode_interval_s
        )
        self.scheduler.set_hang(faults.hang)

    def change_version(self, engine_version: str, is_reported: bool) -> None:
        """Switch to another engine version for new chats and clear the cache.

        :param engine_version: the new version.
        :param is_reported: whether the engine reports the new version.
        """
        self.engine_version = engine_version
        if is_reported:
            self.reported_version = engine_version
        self.cache.clear()

    def export_cache(self, prefix_digest: str) -> CacheExport | Failure:
        """Return the KV cache of a prefix, or a failure if the prefix is not cached.

        :param prefix_digest: digest of the prefix.
        """
        cached_prefixes = self.cache.export(prefix_digest)
        if not cached_prefixes:
            return make_failure(ErrorKind.UNKNOWN_ANSWER, "the prefix is not cached")
        prefixes = [
            ExportedPrefix(prefix_digest=each.prefix_digest, own_tokens=each.own_tokens)
            for each in cached_prefixes
        ]
        return CacheExport(engine_version=self.engine_version, prefixes=prefixes)

    def import_cache(self, export: CacheExport) -> Failure | None:
        """Store a KV cache that another engine exported.

        :param export: the exported KV cache.
        :returns: the failure to report if the engine versions differ; None otherwise.
        """
        if export.engine_version != self.engine_version:
            return make_failure(ErrorKind.ENGINE_VERSION_CHANGED)
        cached_prefixes = [
            CachedPrefix(each.prefix_digest, "", each.own_tokens, 0)
            for each in export.prefixes
        ]
        self.cache.import_prefixes(cached_prefixes)
        return None

    def export_journal(self) -> dict:
        """Return the recorded runs, orders, load samples and cache usage."""
        return {
            "runs": self.journal.export(),
            "orders": [asdict(order) for order in self.orders],
            "samples": self.scheduler.history.samples,
            "cache": {
                "used_tokens": self.cache.used_tokens,
                "evicted_tokens": self.cache.evicted_tokens,
            },
        }

    def _check_chat(self, chat: ChatRequest) -> Failure | None:
        if chat.model not in self.models | self.adapters:
            return make_failure(ErrorKind.UNKNOWN_ROUTE, f"unknown model {chat.model}")
        if chat.adapter and chat.adapter not in self.adapters:
            return make_failure(
                ErrorKind.UNKNOWN_ROUTE, f"unknown adapter {chat.adapter}"
            )
        is_continuation_checked = self.settings.checks_continuation
        if is_continuation_checked and chat.engine_version not in (
            "",
            self.engine_version,
        ):
            return make_failure(ErrorKind.ENGINE_VERSION_CHANGED)
        messages = [message.model_dump() for message in chat.messages]
        if count_tokens(messages) > self.settings.max_context_tokens:
            return make_failure(ErrorKind.REQUEST_TOO_LARGE, "the context is too long")
        return None

    def _make_run(self, chat: ChatRequest, messages: list[Message]) -> Run:
        digest = digest_request(chat.model, chat.adapter, messages)
        natural_tokens = compute_answer_length(digest, self.settings.answer_tokens)
        record = RunRecord(
            number=self.journal.next_number,
            request_id="",
            workspace="",
            traceparent="",
            digest=digest,
            model=chat.model,
            priority=chat.priority,
            engine_version=self.engine_version,
            prompt_tokens=count_tokens(messages),
            prefix_digests=self._digest_prefixes(chat, messages),
        )
        return Run(
            record=record,
            prefix_digests=record.prefix_digests,
            message_tokens=[count_tokens([message]) for message in messages],
            total_answer_tokens=min(natural_tokens, chat.max_tokens),
            finish_reason="stop" if natural_tokens <= chat.max_tokens else "length",
            crashes=any(CRASH_MARKER in each["content"] for each in messages),
        )

    def _digest_prefixes(self, chat: ChatRequest, messages: list[Message]) -> list[str]:
        return digest_prefixes(chat.model, chat.adapter, self.engine_version, messages)

    def _restore_continuation(self, run: Run, chat: ChatRequest) -> Failure | None:
        if chat.continue_from is None:
            return None
        events = chat.continue_from.events
        if events >= run.total_answer_tokens:
            return make_failure(ErrorKind.MALFORMED_REQUEST, "the answer is complete")
        text = make_expected_text(run.record.digest, self.engine_version, events)
        is_continuation_checked = self.settings.checks_continuation
        if is_continuation_checked and chat.continue_from.text != text:
            return make_failure(
                ErrorKind.ENGINE_VERSION_CHANGED,
                "the text to continue differs from this version's answer",
            )
        run.words = [word + " " for word in text.split()]
        run.record.first_token = events
        return None

    def _apply_order(self, order: EngineOrder) -> None:
        if order.order is OrderKind.LOAD_MODEL:
            self.models.add(order.target)
        elif order.order is OrderKind.UNLOAD_MODEL:
            self.models.discard(order.target)
        elif order.order is OrderKind.LOAD_ADAPTER:
            self.adapters.add(order.target)
        elif order.order is OrderKind.UNLOAD_ADAPTER:
            self.adapters.discard(order.target)
        elif order.order is OrderKind.LOAD_VERSION:
            self.change_version(order.target, is_reported=True)
        else:
            self.role = order.target

    def _record_change(self, run: Run) -> None:
        self.journal.record(run.record)
        if not run.has_ended:
            return
        chat, messages = self._conversations.pop(run.record.number)
        is_current = run.record.engine_version == self.engine_version
        if run.state is RunState.FINISHED and is_current:
            answer = {"role": "assistant", "content": "".join(run.words)}
            run.prefix_digests = self._digest_prefixes(chat, [*messages, answer])
            run.message_tokens.append(len(run.words))
            self.cache.store(run.prefix_digests, run.message_tokens)
