"""Continuous batching scheduler of the model engine stand-in."""

import asyncio
import os
import time
from collections.abc import Callable

from sortedcontainers import SortedKeyList

from bilberryspring.standin.engine_cache import PrefixCache
from bilberryspring.standin.engine_run import Run, RunState
from bilberryspring.standin.journal import InflightHistory, InflightSample

__all__ = ["CRASH_EXIT_CODE", "Scheduler"]

CRASH_EXIT_CODE = 70


def _get_queue_key(run: Run) -> tuple[int, int]:
    return run.record.priority, run.record.number


class Scheduler:
    """Scheduler that runs a batch of requests, in order of priority.

    Each step prefills prompts of the batch in order of priority, up to a token budget,
    then decodes one token of every run whose prompt is complete.

    :param max_batch: limit on the runs in the batch.
    :param decode_interval_s: duration of one step.
    :param prefill_tokens_per_s: prompt tokens prefilled per second, over all runs.
    :param cache: prefix cache that reduces the tokens to prefill.
    :param on_change: function called with each run that started or ended.
    """

    def __init__(
        self,
        max_batch: int,
        decode_interval_s: float,
        prefill_tokens_per_s: float,
        cache: PrefixCache,
        on_change: Callable[[Run], None],
    ):
        self.max_batch = max_batch
        self.decode_interval_s = decode_interval_s
        self.prefill_tokens_per_s = prefill_tokens_per_s
        self.hangs = False
        self.history = InflightHistory()
        self.running: list[Run] = []
        self.paused: set[Run] = set()
        self._queued: SortedKeyList = SortedKeyList(key=_get_queue_key)
        self._cache = cache
        self._on_change = on_change
        self._wake_up = asyncio.Event()
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start the scheduling loop."""
        self._task = asyncio.create_task(self._run_loop())

    async def close(self) -> None:
        """Stop the scheduling loop."""
        if self._task is not None:
            self._task.cancel()

    @property
    def inflight(self) -> list[Run]:
        """Every run that has not ended: running, queued and paused."""
        return [*self.running, *self._queued, *self.paused]

    def submit(self, run: Run) -> None:
        """Queue a run.

        :param run: a run that is not queued.
        """
        self._queued.add(run)
        self._wake_up.set()
        self._record_sample()

    def pause(self, run: Run) -> None:
        """Remove a run from the batch or the queue and keep what it has generated.

        :param run: a run that has not ended.
        """
        self._remove(run)
        run.state = RunState.PAUSED
        self.paused.add(run)
        self._record_sample()

    def resume(self, run: Run) -> None:
        """Queue a paused run again.

        :param run: the run; nothing happens if it is not paused.
        """
        if run in self.paused:
            self.paused.discard(run)
            run.state = RunState.QUEUED
            self.submit(run)

    def cancel(self, run: Run) -> None:
        """Cancel a run.

        :param run: the run; nothing happens if it has ended.
        """
        if not run.has_ended:
            self._remove(run)
            self._end_run(run, RunState.CANCELLED)

    def _remove(self, run: Run) -> None:
        self._queued.discard(run)
        self.paused.discard(run)
        if run in self.running:
            self.running.remove(run)

    def _end_run(self, run: Run, state: RunState) -> None:
        run.end(state, time.monotonic())
        self._on_change(run)
        self._record_sample()

    def _record_sample(self) -> None:
        inflight = self.inflight
        total_unfinished_tokens = sum(run.unfinished_tokens for run in inflight)
        running = len(self.running)
        queued = len(inflight) - running
        now_s = time.monotonic()
        self.history.add(
            InflightSample(now_s, running, queued, total_unfinished_tokens)
        )

    async def _run_loop(self) -> None:
        next_step_s = time.monotonic()
        while True:
            if self.hangs or not (self.running or self._queued):
                await self._wait_for_work()
                next_step_s = time.monotonic()
            self._fill_batch()
            next_step_s = max(next_step_s + self.decode_interval_s, time.monotonic())
            await asyncio.sleep(next_step_s - time.monotonic())
            if not self.hangs:
                self._run_step()

    async def _wait_for_work(self) -> None:
        self._wake_up.clear()
        while self.hangs or not (self.running or self._queued):
            await self._wake_up.wait()
            self._wake_up.clear()

    def set_hang(self, hangs: bool) -> None:
        """Stop or resume token generation.

        :param hangs: whether to generate nothing from now on.
        """
        self.hangs = hangs
        self._wake_up.set()

    def _fill_batch(self) -> None:
        while self._queued and len(self.running) < self.max_batch:
            run = self._queued.pop(0)
            run.state = RunState.RUNNING
            self.running.append(run)
            self._start_run(run)

    def _start_run(self, run: Run) -> None:
        if run.record.started_s is None:
            run.record.started_s = time.monotonic()
            run.record.state = RunState.RUNNING.value
            cached_prompt_tokens = self._cache.count_cached(run.prefix_digests)
            run.record.cached_tokens = cached_prompt_tokens
            # The last prompt token is prefilled even if the whole prompt is cached.
            prompt_tokens_left = max(run.record.prompt_tokens - cached_prompt_tokens, 1)
            run.prefill_tokens_left = prompt_tokens_left + len(run.words)
            run.is_cache_checked = True
            self._on_change(run)
        if run.crashes:
            os._exit(CRASH_EXIT_CODE)
        self._record_sample()

    def _run_step(self) -> None:
        self._prefill()
        for run in list(self.running):
            if run.prefill_tokens_left <= 0:
                self._decode(run)

    def _prefill(self) -> None:
        budget_tokens = self.prefill_tokens_per_s * self.decode_interval_s
        for run in sorted(self.running, key=_get_queue_key):
            if run.prefill_tokens_left <= 0:
                continue
            prefilled_tokens = min(budget_tokens, run.prefill_tokens_left)
            run.prefill_tokens_left -= prefilled_tokens
            budget_tokens -= prefilled_tokens
            if run.prefill_tokens_left <= 0:
                self._cache.store(run.prefix_digests, run.message_tokens)
            if budget_tokens <= 0:
                return

    def _decode(self, run: Run) -> None:
        if run.record.first_token_s is None:
            run.record.first_token_s = time.monotonic()
        run.generate()
        if len(run.words) >= run.total_answer_tokens:
            self.running.remove(run)
            self._end_run(run, RunState.FINISHED)
