"""Settings, faults and messages of the model engine stand-in."""

from enum import Enum

from pydantic import BaseModel, ConfigDict, Field

from bilberryspring.process.settings import Address

__all__ = [
    "EngineSettings",
    "EngineFaults",
    "ChatMessage",
    "Continuation",
    "ChatRequest",
    "OrderKind",
    "EngineOrder",
    "ExportRequest",
    "ExportedPrefix",
    "CacheExport",
]


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class EngineSettings(_StrictModel):
    """Settings of the model engine stand-in.

    :param address: IP address and port to serve on.
    :param models: names of the models that are loaded at the start.
    :param adapters: names of the adapters that are loaded at the start.
    :param engine_version: version at the start.
    :param prefill_tokens_per_s: prompt tokens prefilled per second, over all runs.
    :param decode_interval_s: duration of one step, in which each running answer gets
        one token.
    :param max_batch: limit on the requests that run at once.
    :param cache_tokens: capacity of the prefix cache in tokens; zero for no cache.
    :param answer_tokens: limit on the length of an answer that ends by itself.
    :param max_context_tokens: limit on the tokens of a prompt.
    :param load_lag_s: age of the reported load.
    :param cache_event_lag_s: delay until a cache event is published.
    :param cache_event_loss: probability that a cache event is never published.
    :param kv_transfer_tokens_per_s: rate of KV cache export and import.
    :param checks_fencing: whether to refuse orders with a stale fencing number.
    :param checks_continuation: whether to refuse a chat that names another engine
        version, or that continues a text which this version does not generate.
    :param seed: seed of the random loss of cache events.
    :param journal_path: path of the journal file, which survives a crash; empty to
        write no file.
    """

    address: Address
    models: list[str] = Field(default=["model"], min_length=1)
    adapters: list[str] = []
    engine_version: str = Field(default="engine-1", min_length=1)
    prefill_tokens_per_s: float = Field(default=20_000.0, gt=0)
    decode_interval_s: float = Field(default=0.01, gt=0, le=10)
    max_batch: int = Field(default=16, ge=1)
    cache_tokens: int = Field(default=100_000, ge=0)
    answer_tokens: int = Field(default=4096, ge=1)
    max_context_tokens: int = Field(default=1_000_000, ge=1)
    load_lag_s: float = Field(default=0.2, ge=0)
    cache_event_lag_s: float = Field(default=0.2, ge=0)
    cache_event_loss: float = Field(default=0.0, ge=0, le=1)
    kv_transfer_tokens_per_s: float = Field(default=1_000_000.0, gt=0)
    checks_fencing: bool = False
    checks_continuation: bool = True
    seed: int = 0
    journal_path: str = ""


class EngineFaults(_StrictModel):
    """Injected faults; a field that a message omits returns to its default.

    :param engine_version: version to switch to without notice, which clears the
        cache; empty for no change.
    :param report_version: whether the engine reports the new version.
    :param hang: whether to stop generating tokens.
    :param decode_interval_s: duration of one step; None for the value of the settings.
    :param refuse_next: number of chats to answer with status 503 without running them.
    :param cut_after_events: reset the next stream after this many events; None for no
        reset.
    :param cut_each_after_events: reset every stream after this many events; None for
        no reset.
    :param crash: whether to exit the process at once.
    """

    engine_version: str = ""
    report_version: bool = True
    hang: bool = False
    decode_interval_s: float | None = Field(default=None, gt=0)
    refuse_next: int = Field(default=0, ge=0)
    cut_after_events: int | None = Field(default=None, ge=0)
    cut_each_after_events: int | None = Field(default=None, ge=0)
    crash: bool = False


class ChatMessage(BaseModel):
    """One message of a conversation.

    :param role: role of the author.
    :param content: text of the message.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)

    role: str = Field(pattern="^(system|user|assistant|tool)$")
    content: str


class Continuation(_StrictModel):
    """Part of an answer that the caller already has.

    :param events: number of events received, one per token.
    :param text: text received.
    """

    events: int = Field(ge=0)
    text: str


class ChatRequest(BaseModel):
    """Body of a chat completion request.

    :param model: name of a model or an adapter.
    :param messages: messages of the conversation.
    :param stream: whether to stream the answer.
    :param max_tokens: limit on the tokens of the answer.
    :param priority: scheduling priority; lower runs first.
    :param adapter: adapter to apply; empty for none.
    :param continue_from: part of the answer to continue after; None to start at the
        beginning.
    :param engine_version: version that must generate the answer; empty for any.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)

    model: str
    messages: list[ChatMessage] = Field(min_length=1)
    stream: bool = False
    max_tokens: int = Field(default=256, ge=1, le=1_000_000)
    priority: int = Field(default=0, ge=0, le=1000)
    adapter: str = ""
    continue_from: Continuation | None = None
    engine_version: str = ""


class OrderKind(Enum):
    """Kind of an order to an engine."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    LOAD_VERSION = "load_version"
    SET_ROLE = "set_role"


class EngineOrder(_StrictModel):
    """Order to change models, adapters, version or role.

    :param order: kind of the order.
    :param target: model, adapter, version or role that the order names.
    :param fencing: fencing number of the sender; a lower one than the highest seen is
        stale.
    """

    order: OrderKind
    target: str = Field(min_length=1)
    fencing: int = Field(ge=0)


class ExportRequest(_StrictModel):
    """Request to export the KV cache of a prefix.

    :param prefix_digest: digest of the prefix.
    """

    prefix_digest: str


class ExportedPrefix(_StrictModel):
    """One prefix of an exported KV cache.

    :param prefix_digest: digest of the prefix.
    :param own_tokens: tokens of the last message of the prefix.
    """

    prefix_digest: str
    own_tokens: int = Field(ge=0)


class CacheExport(_StrictModel):
    """Exported KV cache of a prefix and of its shorter prefixes.

    :param engine_version: version that computed the KV cache.
    :param prefixes: the prefixes, shortest first.
    """

    engine_version: str
    prefixes: list[ExportedPrefix] = Field(min_length=1)
