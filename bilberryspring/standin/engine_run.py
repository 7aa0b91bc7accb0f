"""One run of a chat on the model engine stand-in."""

import asyncio
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from bilberryspring.identifiers import digest_content
from bilberryspring.standin.engine_text import make_word

__all__ = ["RunState", "RunRecord", "Token", "Run"]


class RunState(Enum):
    """State of a run in the scheduler."""

    QUEUED = "queued"
    RUNNING = "running"
    PAUSED = "paused"
    FINISHED = "finished"
    CANCELLED = "cancelled"


@dataclass(slots=True)
class RunRecord:
    """Journal entry of one run.

    Times are in seconds on the machine's monotonic clock. An entry without
    ``finished_s`` belongs to a run that is in flight or that a crash interrupted.

    :param number: position in the journal, from one.
    :param request_id: ``X-Request-Id`` of the request; empty for none.
    :param workspace: ``X-Workspace`` of the request; empty for none.
    :param traceparent: trace context of the request; empty for none.
    :param digest: digest of model, adapter and messages.
    :param model: model or adapter that the request names.
    :param priority: scheduling priority; lower runs first.
    :param engine_version: engine version that generates the text.
    :param prompt_tokens: tokens of the prompt.
    :param cached_tokens: prompt tokens that were found in the prefix cache.
    :param first_token: index of the first token that this run generates; above zero
        for a continuation.
    :param tokens: index after the last token that it generated; zero before its end.
    :param text_digest: digest of the answer's text from token zero; empty before the
        end of the run.
    :param state: value of the :class:`RunState`.
    :param received_s: when the request was received.
    :param started_s: when the run entered the batch; None while it is queued.
    :param first_token_s: when the first token was generated; None before that.
    :param finished_s: when the run ended; None before that.
    :param prefix_digests: digest of each prefix of the prompt, shortest first.
    """

    number: int
    request_id: str
    workspace: str
    traceparent: str
    digest: str
    model: str
    priority: int
    engine_version: str
    prompt_tokens: int
    cached_tokens: int = 0
    first_token: int = 0
    tokens: int = 0
    text_digest: str = ""
    state: str = RunState.QUEUED.value
    received_s: float = 0.0
    started_s: float | None = None
    first_token_s: float | None = None
    finished_s: float | None = None
    prefix_digests: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Token:
    """One generated token.

    :param index: index of the token in the answer.
    :param word: text of the token.
    :param finish_reason: why the answer ends with this token; empty unless it is the
        last.
    """

    index: int
    word: str
    finish_reason: str


@dataclass(slots=True, eq=False)
class Run:
    """State of one run.

    :param record: journal entry of the run.
    :param prefix_digests: digest of each prefix of the prompt, shortest first.
    :param message_tokens: tokens of each message, in order.
    :param total_answer_tokens: tokens of the complete answer.
    :param finish_reason: why the answer ends after that many tokens.
    :param crashes: whether the engine crashes when the run starts.
    :param state: state in the scheduler.
    :param prefill_tokens_left: tokens left to prefill; fractional within a step.
    :param is_cache_checked: whether the prefix cache was consulted.
    :param words: text of each token of the answer so far.
    :param tokens: generated tokens that are not sent yet.
    :param changed: set when tokens are added or the run ends.
    """

    record: RunRecord
    prefix_digests: list[str]
    message_tokens: list[int]
    total_answer_tokens: int
    finish_reason: str
    crashes: bool = False
    state: RunState = RunState.QUEUED
    prefill_tokens_left: float = 0.0
    is_cache_checked: bool = False
    words: list[str] = field(default_factory=list)
    tokens: deque[Token] = field(default_factory=deque)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def unfinished_tokens(self) -> int:
        """Tokens left to prefill and to decode."""
        remaining_answer_tokens = self.total_answer_tokens - len(self.words)
        if not self.is_cache_checked:
            return self.record.prompt_tokens + remaining_answer_tokens
        return int(self.prefill_tokens_left) + remaining_answer_tokens

    @property
    def has_ended(self) -> bool:
        """Whether the run has finished or was cancelled."""
        return self.state in (RunState.FINISHED, RunState.CANCELLED)

    def generate(self) -> None:
        """Generate the next token."""
        index = len(self.words)
        word = make_word(self.record.digest, self.record.engine_version, index)
        self.words.append(word)
        is_last = len(self.words) >= self.total_answer_tokens
        reason = self.finish_reason if is_last else ""
        self.tokens.append(Token(index, word, reason))
        self.changed.set()

    def end(self, state: RunState, at_s: float) -> None:
        """End the run and complete its journal entry.

        :param state: final state.
        :param at_s: time of the end, on the monotonic clock.
        """
        self.state = state
        self.record.state = state.value
        self.record.finished_s = at_s
        self.record.tokens = len(self.words)
        self.record.text_digest = digest_content("".join(self.words).encode())
        self.changed.set()
