"""Typed messages of the protocol between the processes of the fleet."""

from dataclasses import dataclass

from bilberryspring.identifiers import (
    ChatKey,
    ConfigVersion,
    EngineVersion,
    InstanceId,
    ModelName,
    PoolName,
    RankName,
    RequestId,
    RouteName,
    WorkspaceName,
)

__all__ = [
    "Hello",
    "Ping",
    "Pong",
    "Open",
    "Accepted",
    "Chunk",
    "Final",
    "Refused",
    "Cancel",
    "Attach",
    "Credit",
    "Call",
    "Reply",
    "Leaving",
    "Message",
]


@dataclass(slots=True)
class Hello:
    """First message in each direction; see :mod:`connection.authentication`.

    :param incarnation: differs for each start of a process of the same instance.
    """

    instance_id: InstanceId
    nonce: bytes = b""
    proof: bytes = b""
    incarnation: str = ""


@dataclass(slots=True)
class Ping:
    """Asks whether the other end still hears this connection."""

    number: int


@dataclass(slots=True)
class Pong:
    """Answers the ping of the same number."""

    number: int


@dataclass(slots=True)
class Open:
    """Hands a request to an agent.

    :param attempt: number of this try, from one.
    :param streaming: whether the answer is a stream of events.
    :param crash_ids: crashes of backend servers that ran this content, by spaces.
    :param deadline_ms: time left for the whole answer.
    :param resume_events: events that the caller already has, produced elsewhere.
    :param resume_text: text of these events.
    :param cache_source: instance that probably holds the KV cache of the chat.
    :param room_wait_ms: how long the agent may wait for room under its load bound.
    """

    request_id: RequestId
    attempt: int = 1
    streaming: bool = False
    idempotent: bool = True
    crash_ids: str = ""
    workspace: WorkspaceName = WorkspaceName("")
    rank: RankName = RankName("")
    route: RouteName = RouteName("")
    pool: PoolName = PoolName("")
    model: ModelName = ModelName("")
    chat_key: ChatKey = ChatKey("")
    idempotency_key: str = ""
    method: str = "POST"
    path: str = "/"
    content_type: str = ""
    body: bytes = b""
    content_digest: str = ""
    prompt_tokens: int = 0
    max_tokens: int = 0
    deadline_ms: int = 0
    traceparent: str = ""
    config_version: ConfigVersion = ConfigVersion(0)
    engine_version: EngineVersion = EngineVersion("")
    resume_events: int = 0
    resume_text: str = ""
    cache_source: InstanceId = InstanceId("")
    headers: str = ""
    room_wait_ms: int = 0


@dataclass(slots=True)
class Accepted:
    """Tells that the backend server started to answer."""

    request_id: RequestId
    engine_version: EngineVersion = EngineVersion("")
    config_version: ConfigVersion = ConfigVersion(0)


@dataclass(slots=True)
class Chunk:
    """One piece of an answer; sequences count from zero."""

    request_id: RequestId
    sequence: int
    data: bytes


@dataclass(slots=True)
class Final:
    """Ends a whole answer with the count and digest of all its chunks."""

    request_id: RequestId
    status: int
    content_type: str
    chunk_count: int
    digest: int
    replayed: bool = False
    headers: str = ""


@dataclass(slots=True)
class Refused:
    """Ends a request without a whole answer.

    :param crash_ids: crashes of backend servers that ran this content, by spaces.
    """

    request_id: RequestId
    kind: str
    reason: str
    outcome: str
    retry_after_s: float = 0.0
    hint: InstanceId = InstanceId("")
    config_version: ConfigVersion = ConfigVersion(0)
    crash_ids: str = ""


@dataclass(slots=True)
class Cancel:
    """Tells that nobody waits for the answer any more."""

    request_id: RequestId


@dataclass(slots=True)
class Attach:
    """Asks for a retained answer from a sequence on."""

    request_id: RequestId
    workspace: WorkspaceName
    next_sequence: int


@dataclass(slots=True)
class Credit:
    """Allows chunks up to, not including, a sequence."""

    request_id: RequestId
    until_sequence: int


@dataclass(slots=True)
class Call:
    """Calls a registered method of the other process."""

    call_id: int
    method: str
    payload: bytes


@dataclass(slots=True)
class Reply:
    """Answers a call; a kind other than the empty string is a failure."""

    call_id: int
    payload: bytes
    kind: str = ""
    reason: str = ""


@dataclass(slots=True)
class Leaving:
    """Tells that the sender refuses new work from now on."""

    instance_id: InstanceId


Message = (
    Hello
    | Ping
    | Pong
    | Open
    | Accepted
    | Chunk
    | Final
    | Refused
    | Cancel
    | Attach
    | Credit
    | Call
    | Reply
    | Leaving
)
