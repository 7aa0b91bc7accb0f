"""Link: an authenticated connection between two processes.

A single task reads the connection. On the side that opened a request, it puts the
frames of the request into the queue of its stream; on the other side, it passes them
to the request handler of the process. Both sides can call methods of the other.
"""

import asyncio
import itertools
import time
from collections.abc import Callable
from typing import Any

from bilberryspring.connection.calls import handle_call
from bilberryspring.connection.frames import (
    MAX_FRAMES_PER_TURN,
    read_frame,
    write_frame,
)
from bilberryspring.connection.messages import (
    Accepted,
    Call,
    Chunk,
    Final,
    Hello,
    Message,
    Ping,
    Pong,
    Refused,
    Reply,
)
from bilberryspring.identifiers import RequestId
from bilberryspring.process.accounting import ControlMechanism, Ledger
from bilberryspring.process.budget import measure_control_cpu
from bilberryspring.process.logs import log_event
from bilberryspring.request.errors import (
    ErrorKind,
    Failure,
    make_failure,
    parse_error_kind,
)

__all__ = ["LINK_LOST", "Link", "LinkLost", "StreamEvent", "make_link"]

RequestHandler = Callable[["Link", Message], None]


class LinkLost:
    """Event that a stream receives when its connection ends."""

    __slots__ = ()


LINK_LOST = LinkLost()
StreamEvent = Accepted | Chunk | Final | Refused | LinkLost


class Link:
    """Authenticated connection to a peer, read by the task that runs :meth:`run`.

    :param reader: stream from the peer, after the handshake.
    :param writer: stream to the peer, after the handshake.
    :param hello: authenticated hello of the peer.
    :param process: process object, which is passed to call handlers.
    :param ledger: traffic counters of this process.
    :param on_request: handler of all frames that belong to neither a call nor a stream,
        such as ``Open``, ``Cancel`` and ``Leaving``; if ``None``, such frames are
        logged and dropped.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        hello: Hello,
        process: Any,
        ledger: Ledger,
        on_request: RequestHandler | None = None,
    ):
        self.reader = reader
        self.writer = writer
        self.peer_id = hello.instance_id
        self.incarnation = hello.incarnation
        self.process = process
        self.ledger = ledger
        self.on_request = on_request
        self.stream_queues: dict[RequestId, asyncio.Queue[StreamEvent]] = {}
        self.pending_calls: dict[int, asyncio.Future[bytes | Failure]] = {}
        self.attached_requests: set[RequestId] = set()
        self.is_closed = False
        self.opened_s = time.monotonic()
        self.last_received_s = self.opened_s
        self.last_sent_s = self.last_received_s
        self.last_ping_s = self.last_received_s
        self._call_ids = itertools.count(1)
        self._ping_numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self._frame_received = asyncio.Event()

    @property
    def is_lost(self) -> bool:
        """Whether the connection can no longer send.

        The transport closes some event loop iterations before the reading task detects
        the loss.
        """
        return self.is_closed or self.writer.is_closing()

    @property
    def outstanding_count(self) -> int:
        """Number of open streams and pending calls."""
        return len(self.stream_queues) + len(self.pending_calls)

    @property
    def queued_events(self) -> int:
        """Number of events in the queues of all streams."""
        return sum(queue.qsize() for queue in self.stream_queues.values())

    def restart_silence_timer_if_idle(self) -> None:
        """Restart the silence timeout of the peer if nothing was outstanding."""
        if not self.outstanding_count:
            self.last_received_s = time.monotonic()

    def send(self, message: Message) -> int:
        """Write a message to the buffer of the connection, unless the link is lost.

        :param message: message to send.
        :returns: size of the frame in bytes, zero if the link is lost.
        """
        if self.is_lost:
            return 0
        self.last_sent_s = time.monotonic()
        return write_frame(self.writer, message)

    def ping(self) -> None:
        """Send a ping; the pong updates ``last_received_s``."""
        self.last_ping_s = time.monotonic()
        sent_bytes = self.send(Ping(next(self._ping_numbers)))
        self.ledger.count(ControlMechanism.LIVENESS, sent_bytes=sent_bytes)

    async def probe(self, timeout_s: float) -> bool:
        """Ping the peer and wait for any frame from it.

        :param timeout_s: timeout in seconds.
        :returns: whether a frame arrived in time and the link is open.
        """
        self._frame_received.clear()
        self.ping()
        try:
            async with asyncio.timeout(timeout_s):
                await self._frame_received.wait()
        except TimeoutError:
            return False
        return not self.is_closed

    async def call(
        self, method: str, payload: bytes, timeout_s: float
    ) -> bytes | Failure:
        """Call a registered method of the peer.

        :param method: name under which the peer registered the handler.
        :param payload: request payload.
        :param timeout_s: timeout in seconds for the reply.
        :returns: reply payload or a failure. If no reply arrives after sending, the
            failure leaves open whether the peer ran the handler.
        """
        if self.is_lost:
            return make_failure(
                ErrorKind.PEER_UNREACHABLE, f"{self.peer_id}: link closed"
            )
        self.restart_silence_timer_if_idle()
        call_id = next(self._call_ids)
        future = asyncio.get_running_loop().create_future()
        self.pending_calls[call_id] = future
        self.send(Call(call_id, method, payload))
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            reason = f"{self.peer_id}: no reply to {method} in {timeout_s} s"
            return make_failure(ErrorKind.DEADLINE_EXCEEDED, reason)
        finally:
            self.pending_calls.pop(call_id, None)

    async def run(self) -> None:
        """Read and dispatch frames until the connection ends, then abort the link."""
        try:
            for number in itertools.count(1):
                if self.is_closed:
                    break
                if number % MAX_FRAMES_PER_TURN == 0:
                    await asyncio.sleep(0)
                message = await read_frame(self.reader, skip_unknown=True)
                if message is None:
                    break
                if isinstance(message, Failure):
                    log_event("bad_frame", peer=self.peer_id, reason=message.reason)
                    break
                self.last_received_s = time.monotonic()
                self._frame_received.set()
                self._dispatch(message)
        except OSError as error:
            log_event(
                "link_broken", level="DEBUG", peer=self.peer_id, error=repr(error)
            )
        finally:
            self.disconnect()

    def disconnect(self) -> None:
        """Abort the connection; streams receive ``LINK_LOST`` and pending calls fail.

        Does nothing if the link is already closed.
        """
        if self.is_closed:
            return
        self.is_closed = True
        self._frame_received.set()
        self.writer.transport.abort()
        for queue in self.stream_queues.values():
            queue.put_nowait(LINK_LOST)
        self.stream_queues.clear()
        reason = f"{self.peer_id}: connection lost"
        failure = make_failure(ErrorKind.OUTCOME_UNKNOWN, reason)
        for future in self.pending_calls.values():
            if not future.done():
                future.set_result(failure)
        self.pending_calls.clear()

    def _dispatch(self, message: Message) -> None:
        match message:
            case Chunk() | Accepted() | Final() | Refused():
                queue = self.stream_queues.get(message.request_id)
                if queue is not None:
                    queue.put_nowait(message)
            case Ping():
                self.send(Pong(message.number))
            case Pong():
                pass
            case Call():
                self._start_task(
                    measure_control_cpu(self.ledger, self._handle_call(message))
                )
            case Reply():
                self._resolve_call(message)
            case _ if self.on_request is not None:
                self.on_request(self, message)
            case _:
                log_event(
                    "unexpected_frame", peer=self.peer_id, frame=type(message).__name__
                )

    def _start_task(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _handle_call(self, call: Call) -> None:
        result = await handle_call(
            self.process, call.method, call.payload, self.peer_id
        )
        if isinstance(result, Failure):
            reply = Reply(call.call_id, b"", result.kind.value, result.reason)
        else:
            reply = Reply(call.call_id, result)
        self.send(reply)

    def _resolve_call(self, reply: Reply) -> None:
        future = self.pending_calls.get(reply.call_id)
        if future is None or future.done():
            return
        if reply.kind:
            future.set_result(make_failure(parse_error_kind(reply.kind), reply.reason))
        else:
            future.set_result(reply.payload)


def make_link(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    hello: Hello,
    process: Any,
    on_request: RequestHandler | None = None,
) -> Link:
    """Return a link over an authenticated connection.

    :param reader: stream from the peer, after the handshake.
    :param writer: stream to the peer, after the handshake.
    :param hello: authenticated hello of the peer.
    :param process: process object, which is passed to call handlers; its ledger counts
        the traffic.
    :param on_request: handler of frames that belong to neither a call nor a stream;
        ``None`` drops them.
    :returns: link whose :meth:`Link.run` has not been started.
    """
    return Link(reader, writer, hello, process, process.ledger, on_request)
