"""State of one request at a router, across its tries."""

import time
from dataclasses import dataclass, field, replace
from typing import Any, Protocol

from bilberryspring.connection.messages import Open
from bilberryspring.identifiers import EngineVersion, InstanceId
from bilberryspring.request.answer_text import join_text
from bilberryspring.request.errors import Failure

__all__ = ["ChunkSink", "Forwarding", "make_open"]


# An agent's view of the mean load is up to this much older than a rise of the load.
ROOM_WAIT_MS = 1000


class ChunkSink(Protocol):
    """Where the answer goes, event by event."""

    async def write(self, instance_id: InstanceId, sequence: int, data: bytes) -> None:
        """Take one chunk; returns when the caller is ready for the next.

        :param instance_id: agent that keeps the answer.
        :param sequence: position in the answer that this agent keeps.
        :param data: bytes of the chunk.
        """


@dataclass(slots=True)
class Forwarding:
    """State of one request across its tries.

    :param request: what each try sends, but for its own fields.
    :param policy: placement policy.
    :param deadline_s: monotonic time by which the caller has its answer.
    :param sink: receives the chunks.
    :param chunks: everything delivered so far.
    :param base: chunks that earlier agents delivered.
    :param next_sequence: next chunk of the current agent.
    :param started_s: monotonic time at which the request arrived.
    :param excluded: agents that were sent the request.
    :param deprioritized: agents that could not be sent it or were at their load bound;
        they are tried again after the others.
    :param is_accepted: whether the current agent is known to have the request.
    :param free_tries: tries that ended without cost, at a load bound or a leaving agent.
    :param is_last_try: whether no other try can follow the current one.
    :param not_run: whether every try so far surely did not run the request.
    :param try_failures: why each failed try failed, in order.
    """

    request: Open
    policy: str
    deadline_s: float
    sink: ChunkSink
    chunks: list[bytes] = field(default_factory=list)
    base: int = 0
    next_sequence: int = 0
    engine_version: EngineVersion = EngineVersion("")
    not_run: bool = True
    try_failures: list[Failure] = field(default_factory=list)
    agent_lost: bool = False
    is_accepted: bool = True
    tries: int = 0
    free_tries: int = 0
    is_last_try: bool = False
    started_s: float = field(default_factory=time.monotonic)
    excluded: set[InstanceId] = field(default_factory=set)
    deprioritized: set[InstanceId] = field(default_factory=set)

    @property
    def counted_tries(self) -> int:
        """Tries that count against the limit of failed ones."""
        return self.tries - self.free_tries

    @property
    def remaining_s(self) -> float:
        """Time left before the deadline."""
        return self.deadline_s - time.monotonic()


def make_open(process: Any, forwarding: Forwarding, traceparent: str) -> Open:
    """Return the frame that hands the request to the next agent.

    :param process: the router.
    :param forwarding: the request; chunks that the caller already has are named.
    :param traceparent: trace context of the try.
    """
    resume_text = join_text(forwarding.chunks) if forwarding.base else ""
    return replace(
        forwarding.request,
        attempt=forwarding.tries,
        crash_ids=" ".join(process.crashes.find(forwarding.request.content_digest)),
        deadline_ms=max(int(forwarding.remaining_s * 1000), 1),
        traceparent=traceparent,
        config_version=process.holder.version,
        engine_version=forwarding.engine_version if forwarding.base else "",
        resume_events=forwarding.base,
        resume_text=resume_text,
        room_wait_ms=ROOM_WAIT_MS if forwarding.is_last_try else 0,
    )
