"""Response to one request, buffered by the agent until the caller has received it.

Chunks stay in memory until the answer store drops the response, so a router or a
connection may fail at any time: a receiver that attaches again states the sequence
number of the first chunk that it still needs. Credit from the receiver limits how many
chunks are sent ahead.
"""

import asyncio
import time
from dataclasses import dataclass, field

import xxhash

from bilberryspring.connection.link import Link
from bilberryspring.connection.messages import Accepted, Chunk, Final, Refused
from bilberryspring.identifiers import (
    ConfigVersion,
    EngineVersion,
    RequestId,
    WorkspaceName,
)
from bilberryspring.process.memory_bound import MemoryBound
from bilberryspring.request.errors import Failure, Outcome

__all__ = [
    "BufferedResponse",
    "Attachment",
    "ChunkDigest",
    "ResponseTooLargeError",
    "make_buffered_response",
    "make_refused_message",
]

DIGEST_MASK = (1 << 64) - 1
# Memory of one response.
MAX_RESPONSE_BYTES = 32 * 1024 * 1024
# Memory of a chunk besides its bytes.
CHUNK_OVERHEAD_BYTES = 48


class ResponseTooLargeError(Exception):
    """The memory of a response, or of all responses of the process, is too large."""


class ChunkDigest:
    """Digest of consecutive chunks that can start at any sequence number.

    It is the sum of the chunks' hashes modulo 2**64, each hash seeded with the sequence
    number of its chunk. The sum depends on the order and on every byte, and needs no
    state from chunks before the first one that is added.

    :ivar value: digest of the chunks added so far.
    """

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value = 0

    def add(self, sequence: int, data: bytes) -> None:
        """Add a chunk.

        :param sequence: sequence number of the chunk in its response, from zero.
        :param data: bytes of the chunk.

        >>> digest = ChunkDigest()
        >>> digest.add(0, b"a"); digest.add(1, b"b")
        >>> swapped = ChunkDigest()
        >>> swapped.add(0, b"b"); swapped.add(1, b"a")
        >>> digest.value == swapped.value
        False
        """
        chunk_hash = xxhash.xxh3_64_intdigest(data, seed=sequence)
        self.value = (self.value + chunk_hash) & DIGEST_MASK


@dataclass(slots=True)
class Attachment:
    """Connection that receives a response, and its progress.

    :param link: connection of the receiver.
    :param next_sequence: sequence number of the next chunk to send.
    :param until_sequence: first sequence number that the receiver's credit does not
        cover.
    :param digest: digest of the chunks sent over this connection.
    :param accepted_sent: whether the ``Accepted`` message was sent.
    """

    link: Link
    next_sequence: int
    until_sequence: int
    digest: ChunkDigest = field(default_factory=ChunkDigest)
    accepted_sent: bool = False


@dataclass(slots=True)
class _Completion:
    status: int
    content_type: str
    replayed: bool
    headers: str


class BufferedResponse:
    """Buffered chunks of one response and its final state.

    :param request_id: request that the response belongs to.
    :param workspace: workspace of the request; only it may attach.
    :param window_chunks: initial credit of a new attachment.
    :param attempt: number of the router's attempt that this response belongs to, from
        one.
    :param memory: bound on the memory of all responses that have not ended; ``None``
        for no bound.
    :ivar is_given_up: whether it exceeded a bound; its chunks are incomplete then.
    :ivar chunks: chunks received from the backend server so far.
    :ivar size_bytes: total size of the chunks.
    :ivar outcome: whether the request has run.
    :ivar ended_s: monotonic time at which the response ended; ``None`` before.
    :ivar detached_s: monotonic time since which no receiver is attached; ``None`` while
        one is.
    :ivar delivered: whether the end of the response was sent to a receiver.
    :ivar task: task that produces the response.
    :ivar cancellable: whether the task may be cancelled when no receiver is attached.
    """

    def __init__(
        self,
        request_id: RequestId,
        workspace: WorkspaceName,
        window_chunks: int,
        attempt: int = 1,
        memory: MemoryBound | None = None,
    ):
        self.memory = memory
        self._holder = None if memory is None else memory.make_holder("", self._give_up)
        self.is_given_up = False
        self.request_id = request_id
        self.attempt = attempt
        self.workspace = workspace
        self.window_chunks = window_chunks
        self.chunks: list[bytes] = []
        self.size_bytes = 0
        self.outcome = Outcome.NOT_RUN
        self.ended_s: float | None = None
        self.detached_s: float | None = time.monotonic()
        self.delivered = False
        self.task: asyncio.Task[None] | None = None
        self.cancellable = False
        self._accepted: Accepted | None = None
        self._completion: _Completion | None = None
        self._refused: Refused | None = None
        self._attachment: Attachment | None = None

    @property
    def ended(self) -> bool:
        """Whether the response is complete or refused."""
        return self.ended_s is not None

    def can_be_replaced(self, attempt: int) -> bool:
        """Return whether a later attempt may replace this response.

        It may if this attempt was refused without running. A router starts a later
        attempt only after it has received that refusal.

        :param attempt: number of the later attempt.
        """
        is_refused = self._refused is not None and self.outcome is Outcome.NOT_RUN
        return is_refused and attempt > self.attempt

    @property
    def engine_version(self) -> EngineVersion:
        """Version of the engine; empty until the backend server starts to respond."""
        return self._accepted.engine_version if self._accepted else EngineVersion("")

    def accept(
        self, engine_version: EngineVersion, config_version: ConfigVersion
    ) -> None:
        """Record that the backend server started to respond.

        The ``Accepted`` message is sent together with the first chunk in one write: the
        receiver cannot use it earlier, and a separate write would wake the receiver
        once more.

        :param engine_version: version that the engine reported.
        :param config_version: version of the configuration in force at this agent.
        """
        self._accepted = Accepted(self.request_id, engine_version, config_version)
        self.outcome = Outcome.RAN

    def append(self, data: bytes) -> None:
        """Add the next chunk.

        :param data: bytes of the chunk.
        :raises ResponseTooLargeError: if the response exceeded a bound.
        """
        self.chunks.append(data)
        self.size_bytes += len(data)
        held_bytes = self.size_bytes + CHUNK_OVERHEAD_BYTES * len(self.chunks)
        if held_bytes > MAX_RESPONSE_BYTES:
            self._give_up()
        elif self._holder is not None and not self.ended:
            self._holder.set_size(held_bytes)
        if self.is_given_up:
            self.chunks.clear()
            raise ResponseTooLargeError("the response takes too much memory")
        self.deliver()

    def _give_up(self) -> None:
        self.is_given_up = True
        self.chunks.clear()
        self.size_bytes = 0
        self.discard()

    def finish(
        self,
        status: int,
        content_type: str,
        *,
        replayed: bool = False,
        headers: str = "",
    ) -> None:
        """Mark the response as complete.

        :param status: HTTP status code from the backend server.
        :param content_type: media type of the response.
        :param replayed: whether the response of an earlier run was returned.
        :param headers: packed headers of a plain service's response; empty if there
            are none.
        """
        self._completion = _Completion(status, content_type, replayed, headers)
        self.outcome = Outcome.RAN
        self._end()

    def refuse(self, failure: Failure, config_version: ConfigVersion) -> None:
        """End the response with a failure.

        :param failure: the failure to send to the caller.
        :param config_version: version of the configuration in force at this agent.
        """
        self._refused = make_refused_message(self.request_id, failure, config_version)
        self.outcome = failure.outcome
        self._end()

    def discard(self) -> None:
        """Record that the response is not needed any more."""
        if self._holder is not None:
            self._holder.release()

    def _end(self) -> None:
        self.discard()
        self.ended_s = time.monotonic()
        self.deliver()

    def attach(self, link: Link, next_sequence: int) -> None:
        """Start to send the response over a connection.

        The new attachment replaces an older one.

        :param link: connection of the receiver.
        :param next_sequence: sequence number of the first chunk that the receiver
            needs.
        """
        if self._attachment is not None:
            self._attachment.link.attached_requests.discard(self.request_id)
        until = next_sequence + self.window_chunks
        self._attachment = Attachment(link, next_sequence, until)
        self.detached_s = None
        link.attached_requests.add(self.request_id)
        self.deliver()

    def is_attached_after(self, link: Link) -> bool:
        """Return whether the response is attached to a newer connection.

        :param link: connection to compare with.
        """
        attachment = self._attachment
        if attachment is None or attachment.link.is_lost:
            return False
        return attachment.link.opened_s > link.opened_s

    def detach(self, link: Link) -> None:
        """Stop sending the response over a connection.

        :param link: connection that the receiver no longer uses.
        """
        if self._attachment is not None and self._attachment.link is link:
            self._attachment = None
            self.detached_s = time.monotonic()
        link.attached_requests.discard(self.request_id)

    def add_credit(self, link: Link, until_sequence: int) -> None:
        """Extend the credit of the attached receiver.

        :param link: connection over which the credit arrived; credit from any other
            connection than the attached one is ignored.
        :param until_sequence: first sequence number that the credit does not cover.
        """
        attachment = self._attachment
        if attachment is not None and attachment.link is link:
            attachment.until_sequence = max(attachment.until_sequence, until_sequence)
            self.deliver()

    def deliver(self) -> None:
        """Send the chunks that the credit allows, and the end of the response."""
        attachment = self._attachment
        if attachment is None:
            return
        if attachment.link.is_lost:
            self.detach(attachment.link)
            return
        if self.chunks or self.ended:
            self._send_accepted(attachment)
        self._send_chunks(attachment)
        if self.ended and attachment.next_sequence >= len(self.chunks):
            self._send_final(attachment)

    def _send_accepted(self, attachment: Attachment) -> None:
        if self._accepted is not None and not attachment.accepted_sent:
            attachment.link.send(self._accepted)
            attachment.accepted_sent = True

    def _send_chunks(self, attachment: Attachment) -> None:
        limit = min(attachment.until_sequence, len(self.chunks))
        while attachment.next_sequence < limit:
            sequence = attachment.next_sequence
            data = self.chunks[sequence]
            attachment.link.send(Chunk(self.request_id, sequence, data))
            attachment.digest.add(sequence, data)
            attachment.next_sequence += 1

    def _send_final(self, attachment: Attachment) -> None:
        if self._refused is not None:
            attachment.link.send(self._refused)
        elif self._completion is not None:
            attachment.link.send(
                Final(
                    self.request_id,
                    self._completion.status,
                    self._completion.content_type,
                    len(self.chunks),
                    attachment.digest.value,
                    self._completion.replayed,
                    self._completion.headers,
                )
            )
        self.delivered = True
        self.detach(attachment.link)


def make_refused_message(
    request_id: RequestId, failure: Failure, config_version: ConfigVersion
) -> Refused:
    """Return the message that reports a failure to the router.

    :param request_id: request that ends with the failure.
    :param failure: the failure to report.
    :param config_version: version of the configuration in force at this agent.
    """
    return Refused(
        request_id,
        failure.kind.value,
        failure.reason,
        failure.outcome.value,
        failure.retry_after_s,
        failure.hint,
        config_version,
        failure.crash_ids,
    )


def make_buffered_response(
    request_id: RequestId,
    workspace: WorkspaceName,
    window_chunks: int,
    attempt: int = 1,
    memory: MemoryBound | None = None,
) -> BufferedResponse:
    """Return a response without chunks.

    :param request_id: request that the response belongs to.
    :param workspace: workspace of the request.
    :param window_chunks: initial credit of a new attachment.
    :param attempt: number of the router's attempt, from one.
    :param memory: bound on the memory of all responses that have not ended.
    """
    return BufferedResponse(request_id, workspace, window_chunks, attempt, memory)
