"""State of one request at a router, across its tries."""

import time
from dataclasses import dataclass, field, replace
from typing import Any, Protocol

from bilberryspring.connection.messages import Open
from bilberryspring.identifiers import EngineVersion, InstanceId
from bilberryspring.request.errors import Failure
from bilberryspring.request.event_text import join_event_text

__all__ = ["ChunkSink", "ForwardingState", "make_open_message"]


# Maximum delay between a rise of the pool's load and its effect on an agent's estimate
# of the mean load.
ROOM_WAIT_MS = 1000


class ChunkSink(Protocol):
    """Receiver of the chunks of a response, such as the caller's connection."""

    async def write(self, instance_id: InstanceId, sequence: int, data: bytes) -> None:
        """Write one chunk; return when the caller is ready for the next one.

        :param instance_id: agent that stores the response.
        :param sequence: position of the chunk in the response of this agent.
        :param data: bytes of the chunk.
        """


@dataclass(slots=True)
class ForwardingState:
    """State of one request across its tries.

    :param request: message that each try sends, with some fields set per try.
    :param policy: registered name of the placement policy.
    :param deadline_s: monotonic time by which the response must end.
    :param sink: receives the chunks.
    :param chunks: all chunks delivered so far.
    :param prior_chunk_count: number of chunks that earlier agents delivered.
    :param next_sequence: position of the current agent's next chunk.
    :param engine_version: version of the engine that began the response; empty before.
    :param was_agent_lost: whether the connection to the current agent was lost.
    :param tries: number of tries so far.
    :param started_s: monotonic time at which the request arrived.
    :param excluded: agents that received the request and are not tried again.
    :param deprioritized: agents that could not be reached or were at their load bound;
        they are tried again only after all others.
    :param is_accepted: whether the current agent confirmed that it has the request.
    :param free_tries: tries that ended at a load bound or a leaving agent. They spend
        no retry budget and are limited separately.
    :param is_last_try: whether no other try can follow the current one.
    :param is_surely_not_run: whether certainly no try so far has run the request.
    :param try_failures: failures of the tries so far, in order.
    """

    request: Open
    policy: str
    deadline_s: float
    sink: ChunkSink
    chunks: list[bytes] = field(default_factory=list)
    prior_chunk_count: int = 0
    next_sequence: int = 0
    engine_version: EngineVersion = EngineVersion("")
    is_surely_not_run: bool = True
    try_failures: list[Failure] = field(default_factory=list)
    was_agent_lost: bool = False
    is_accepted: bool = True
    tries: int = 0
    free_tries: int = 0
    is_last_try: bool = False
    started_s: float = field(default_factory=time.monotonic)
    excluded: set[InstanceId] = field(default_factory=set)
    deprioritized: set[InstanceId] = field(default_factory=set)

    @property
    def charged_tries(self) -> int:
        """Number of tries other than free ones."""
        return self.tries - self.free_tries

    @property
    def remaining_s(self) -> float:
        """Time until the deadline; negative once it has passed."""
        return self.deadline_s - time.monotonic()


def make_open_message(
    process: Any, forwarding: ForwardingState, traceparent: str
) -> Open:
    """Return the message that sends the request to the next agent.

    :param process: the router.
    :param forwarding: state of the request. The message states what the caller already
        received, so that the agent can continue the response.
    :param traceparent: trace context of the try.
    """
    resume_text = (
        join_event_text(forwarding.chunks) if forwarding.prior_chunk_count else ""
    )
    return replace(
        forwarding.request,
        attempt=forwarding.tries,
        crash_ids=" ".join(process.crashes.find(forwarding.request.content_digest)),
        deadline_ms=max(int(forwarding.remaining_s * 1000), 1),
        traceparent=traceparent,
        config_version=process.holder.version,
        engine_version=forwarding.engine_version
        if forwarding.prior_chunk_count
        else "",
        resume_events=forwarding.prior_chunk_count,
        resume_text=resume_text,
        room_wait_ms=ROOM_WAIT_MS if forwarding.is_last_try else 0,
    )
