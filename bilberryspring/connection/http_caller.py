"""HTTP/1.1 server connections, over which callers send their requests.

One task per connection handles its requests sequentially. A request is read completely
before it is handled, so that it can be resent from memory.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

import httptools

from bilberryspring.connection.caller_policy import CallerPolicy
from bilberryspring.connection.collected_bytes import CollectedBytes
from bilberryspring.connection.input_turns import (
    RECEIVE_BUFFER_BYTES,
    SLICE_BYTES,
    TurnProtocol,
)
from bilberryspring.policy.caller_room import CallerState, CallerView
from bilberryspring.process.caller_room import CallerRoom
from bilberryspring.process.clock import read_boot_time_s
from bilberryspring.process.logs import log_event
from bilberryspring.process.memory_bound import MemoryBound, MessageKind

__all__ = ["CallerConnection", "CallerGoneError", "HttpRequest"]

# During a shutdown, a new connection stays open this long for its first request.
FIRST_REQUEST_GRACE_S = 0.5
# Writing pauses while more than this is buffered for a caller that reads too slowly.
WRITE_HIGH_WATER_BYTES = 64 * 1024
# Each header takes much more memory than its bytes.
MAX_HEADERS = 512
HEADER_OVERHEAD_BYTES = 160
# Requests of less than this are not counted towards the bound on memory.
MIN_COUNTED_BYTES = 8 * 1024
# Reading pauses while more requests than this are queued.
MAX_PIPELINED_REQUESTS = 8
# After a refusal, what a caller still sends is read and discarded for this long.
DISCARD_TIME_S = 1.0
_CHUNKED_HEADER = (b"Transfer-Encoding", b"chunked")


class CallerGoneError(ConnectionError):
    """The caller closed the connection."""


@dataclass(slots=True)
class HttpRequest:
    """Request of a caller, read completely or rejected.

    :param method: HTTP method.
    :param target: request target, as sent.
    :param headers: names and values in the order received.
    :param body: complete body, without chunked encoding.
    :param received_s: when its first bytes were read, in seconds since the machine
        started.
    :param error_status: HTTP status with which to reject a request that could not be
        read; zero for a complete request.
    :param closes_connection: whether the connection closes after the response.
    :param held_bytes: memory of the request.
    """

    method: str
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    received_s: float
    error_status: int = 0
    closes_connection: bool = False
    held_bytes: int = 0


Handler = Callable[[HttpRequest, "CallerConnection"], Awaitable[None]]


class CallerConnection(TurnProtocol):
    """Connection of a caller: parses its requests and writes the responses.

    :param handle: coroutine function that writes the response to one request.
    :param policy: limits and shutdown state, read again for each request.
    :param room: open connections of the process; this one adds and removes itself.
    :param memory: bound on the memory of all requests, and of responses that callers
        do not read; ``None`` for no bound.
    """

    def __init__(
        self,
        handle: Handler,
        policy: CallerPolicy,
        room: CallerRoom,
        memory: MemoryBound | None = None,
    ):
        super().__init__()
        self._handle = handle
        self._policy = policy
        self._room = room
        self._parser = httptools.HttpRequestParser(self)
        self._upload_holder = self._queue_holder = None
        self._request_holder = self._response_holder = None
        if memory is not None:
            name = str(id(self))
            self._upload_holder = memory.make_holder(name, self._give_up_upload)
            self._queue_holder = memory.make_holder(name, self._give_up_queue)
            self._request_holder = memory.make_holder(name, lambda: None)
            self._request_holder.kind = MessageKind.ACCEPTED
            self._response_holder = memory.make_holder(name, self._abort)
            self._response_holder.kind = MessageKind.UNREAD
        self._handled_bytes = 0
        self._fruitless_bytes = 0
        self._is_advanced = False
        self._content_length: int | None = None
        self._requests: list[HttpRequest] = []
        self._request_available = asyncio.Event()
        self._write_ready = asyncio.Event()
        self._write_ready.set()
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._is_disconnected = False
        self._is_input_rejected = False
        self._is_chunked = False
        self._is_response_started = False
        self._must_close = False
        self._is_handling = False
        self._is_response_aborted = False
        self._caller = ""
        self._opened_s = 0.0
        self._wait_started_s = 0.0
        self._unread_since_s = 0.0
        self._is_discarding = False
        self._has_sent_many_ahead = False
        self._has_received = False
        self._reset_message()

    def _reset_message(self) -> None:
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_bytes = self._head_memory_bytes = 0
        self._content_length = None
        self._body = CollectedBytes()
        self._receive_started_s = 0.0
        self._has_head = False
        self._error_status = 0

    # Callbacks of the asyncio transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the task and the idle timeout of the connection."""
        super().connection_made(transport)
        # A caller that has already left has no name.
        peer = transport.get_extra_info("peername")
        self._caller = f"{peer[0]}:{peer[1]}" if peer else ""
        self._opened_s = asyncio.get_running_loop().time()
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        if not self._room.admit(self):
            self._is_disconnected = True
            transport.abort()
            return
        self._task = asyncio.get_running_loop().create_task(self._serve())
        self._restart_timer()

    def data_received(self, data: bytes) -> None:
        """Receive bytes, unless the connection's input was rejected."""
        self._has_received = True
        if self._is_input_rejected or self._is_disconnected:
            return
        if not self._receive_started_s:
            self._receive_started_s = read_boot_time_s()
            self._restart_timer()
        super().data_received(data)
        if self._unparsed:
            self._update_held_bytes()

    def parse(self, data: bytes) -> None:
        """Feed received bytes to the parser, and reject malformed input.

        :param data: bytes that follow those parsed before.
        """
        if self._is_input_rejected or self._is_disconnected:
            return
        self._is_advanced = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject_input(400)
        except httptools.HttpParserError:
            self._reject_input(self._error_status or 400)
        self._bound_fruitless_bytes(len(data))
        self._update_held_bytes()

    def _bound_fruitless_bytes(self, size_bytes: int) -> None:
        """Reject a field or a chunk size without end, which the parser collects."""
        if self._is_advanced:
            self._fruitless_bytes = 0
            return
        self._fruitless_bytes += size_bytes
        limit_bytes = self._policy.limits.max_header_bytes + SLICE_BYTES
        if self._fruitless_bytes > limit_bytes and not self._is_input_rejected:
            self._reject_input(400 if self._has_head else 431)
            # The parser keeps what it has collected.
            self._parser = None
            self._fruitless_bytes = 0

    def may_read(self) -> bool:
        """Return whether few enough requests are queued."""
        if self._is_reading_paused:
            return not self._requests
        if len(self._requests) <= MAX_PIPELINED_REQUESTS:
            return True
        self._has_sent_many_ahead = True
        return False

    def eof_received(self) -> bool:
        """Return False, so that the transport closes this side too.

        Callers do not half-close a connection while they wait for a response.
        """
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress."""
        open_requests = len(self._requests) + self._is_handling
        if open_requests and not self._must_close:
            log_event(
                "caller_disconnected",
                caller=self._caller,
                requests=open_requests,
                is_begun=self._is_response_started,
                error=str(exc or ""),
            )
        self._is_disconnected = True
        self._requests.clear()
        self._unparsed.clear()
        self._body.clear()
        self._update_held_bytes()
        self._release_response()
        self._write_ready.set()
        self._room.remove(self)
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Mark the write buffer as full."""
        self._write_ready.clear()
        self._unread_since_s = asyncio.get_running_loop().time()

    def resume_writing(self) -> None:
        """Mark the write buffer as drained."""
        self._release_response()
        self._write_ready.set()

    # Interface for the room that callers share.

    def view(self) -> CallerView:
        """Return what the connection waits for."""
        now_s = asyncio.get_running_loop().time()
        if self._is_discarding:
            return CallerView(CallerState.REFUSED, now_s - self._wait_started_s)
        if not self._write_ready.is_set():
            return CallerView(CallerState.UNREAD, now_s - self._unread_since_s)
        if self._has_sent_many_ahead:
            return CallerView(CallerState.AHEAD, now_s - self._opened_s)
        if self._is_handling or self._requests:
            return CallerView(CallerState.WORKING, 0.0)
        if self._receive_started_s:
            waited_s = read_boot_time_s() - self._receive_started_s
            return CallerView(CallerState.RECEIVING, waited_s)
        if not self._has_received:
            return CallerView(CallerState.UNUSED, now_s - self._opened_s)
        return CallerView(CallerState.IDLE, now_s - self._wait_started_s)

    def end(self) -> None:
        """Close the connection for want of room."""
        self._must_close = True
        self._abort()

    def _abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    # Callbacks of the HTTP parser.

    def on_message_begin(self) -> None:
        """Reset the state for the next request."""
        self._reset_message()
        self._is_advanced = True
        self.parse_time_s = 0.0
        self._receive_started_s = read_boot_time_s()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._url += url
        self._add_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header.

        :raises ValueError: if there are too many, or too many bytes of them.
        """
        self._is_advanced = True
        if len(self._headers) >= MAX_HEADERS:
            self._error_status = 431
            raise ValueError(f"over {MAX_HEADERS} headers")
        self._headers.append((name, value))
        self._add_header_bytes(len(name) + len(value) + 4)

    def _add_header_bytes(self, size_bytes: int) -> None:
        self._header_bytes += size_bytes
        self._head_memory_bytes += size_bytes + HEADER_OVERHEAD_BYTES
        if self._header_bytes > self._policy.limits.max_header_bytes:
            self._error_status = 431
            raise ValueError("the request line and headers are too large")

    def on_headers_complete(self) -> None:
        """Check how the body is delimited, and reply to ``Expect: 100-continue``."""
        self._has_head = True
        self._restart_timer()
        content_lengths = set(self._find_header_values(b"content-length"))
        transfer_codings = self._find_header_values(b"transfer-encoding")
        if (
            len(content_lengths) > 1
            or (content_lengths and transfer_codings)
            or len(transfer_codings) > 1
        ):
            raise ValueError("the length of the body is ambiguous")
        if transfer_codings and transfer_codings[0].strip().lower() != b"chunked":
            raise ValueError("the transfer coding of the body is not supported")
        for length in content_lengths:
            self._content_length = int(length)
            if int(length) > self._policy.limits.max_body_bytes:
                self._error_status = 413
                raise ValueError("the body is too large")
        if self._find_header_values(b"expect"):
            if not self._requests and not self._is_handling:
                self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _find_header_values(self, lower_name: bytes) -> list[bytes]:
        return [value for name, value in self._headers if name.lower() == lower_name]

    def on_body(self, body: bytes) -> None:
        """Store a part of the body, and check the size limit."""
        self._is_advanced = True
        self._body.append(body)
        if len(self._body) > self._policy.limits.max_body_bytes:
            self._error_status = 413
            raise ValueError("the body is too large")

    def on_message_complete(self) -> None:
        """Queue the complete request for the connection's task."""
        request = HttpRequest(
            method=self._parser.get_method().decode("ascii"),
            target=self._url,
            headers=self._headers,
            body=self._body.join(),
            received_s=self._receive_started_s,
            closes_connection=not self._parser.should_keep_alive(),
            held_bytes=len(self._body) + self._head_memory_bytes,
        )
        self._reset_message()
        if self._timer is not None:
            self._timer.cancel()
        self._enqueue(request)

    def _enqueue(self, request: HttpRequest) -> None:
        self._requests.append(request)
        self._request_available.set()

    def _give_up_upload(self) -> None:
        """Refuse the request that is being received, for want of memory."""
        if self._is_input_rejected or self._is_disconnected:
            return
        self._reject_input(503)
        self._unparsed.clear()
        self._body.clear()
        self._headers = []
        self._head_memory_bytes = self._fruitless_bytes = 0

    def _give_up_queue(self) -> None:
        """Refuse the requests that were sent ahead, for want of memory."""
        if self._is_disconnected:
            return
        self._requests.clear()
        if self._is_input_rejected:
            self._enqueue(_make_rejected_request(503))
        self._give_up_upload()

    def _update_held_bytes(self) -> None:
        if self._upload_holder is None:
            return
        upload_bytes = len(self._unparsed) + len(self._body)
        upload_bytes += self._head_memory_bytes + self._fruitless_bytes
        if self._is_reading_paused:
            upload_bytes += self._estimate_unread_bytes()
        for holder, size_bytes in (
            # A complete request is counted once: it leaves the upload first.
            (self._upload_holder, upload_bytes),
            (self._queue_holder, sum(each.held_bytes for each in self._requests)),
            (self._request_holder, self._handled_bytes),
        ):
            holder.set_size(size_bytes if size_bytes >= MIN_COUNTED_BYTES else 0)

    def _estimate_unread_bytes(self) -> int:
        """Return what the kernel may hold while this side does not read."""
        if self._content_length is None:
            return RECEIVE_BUFFER_BYTES
        received_bytes = len(self._body) + len(self._unparsed)
        left_bytes = max(self._content_length - received_bytes, 0)
        return min(left_bytes, RECEIVE_BUFFER_BYTES)

    def _release_response(self) -> None:
        if self._response_holder is not None:
            self._response_holder.release()

    def _reject_input(self, status: int) -> None:
        self._is_input_rejected = True
        log_event(
            "request_unreadable",
            level="WARNING",
            status=status,
            caller=self._caller,
            has_head=self._has_head,
            body_bytes=len(self._body),
        )
        self._enqueue(_make_rejected_request(status))

    # Task of the connection.

    async def _serve(self) -> None:
        try:
            while True:
                await self._request_available.wait()
                request = self._requests.pop(0)
                if not self._requests:
                    self._request_available.clear()
                    self.update_reading()
                self._is_response_started = False
                self._is_handling = True
                self._must_close = self._must_close or request.closes_connection
                self._handled_bytes = request.held_bytes
                await self._handle_or_fail(request)
                # Responses without a body are not waited for when written.
                await self._write_ready.wait()
                del request
                self._is_handling = False
                self._handled_bytes = 0
                self._update_held_bytes()
                # A response that began before a shutdown has not announced the close;
                # the next request may be on its way.
                if self._must_close:
                    break
                if not self._requests:
                    self._restart_timer()
            if self._is_input_rejected:
                await self._discard_input()
        except asyncio.CancelledError:
            if not self._is_disconnected:
                raise
        except CallerGoneError:
            pass
        finally:
            self._handled_bytes = 0
            self._update_held_bytes()
            self._release_response()
            self._log_unanswered()
            if self._transport is not None and not self._transport.is_closing():
                self._transport.close()

    async def _discard_input(self) -> None:
        """Give a caller that is still sending time to read its refusal.

        Bytes that arrive after a close reset the connection, and the refusal is lost.
        """
        if self._transport is not None and not self._transport.is_closing():
            self._is_discarding = True
            self._wait_started_s = asyncio.get_running_loop().time()
            self._transport.write_eof()
            await asyncio.sleep(DISCARD_TIME_S)

    async def _handle_or_fail(self, request: HttpRequest) -> None:
        """Handle a request; one whose handler raises still gets a response."""
        try:
            await self._handle(request, self)
        except CallerGoneError:
            raise
        except Exception as error:
            log_event("handler_failed", level="ERROR", error=repr(error))
            if self._is_response_started:
                self.abort_response()
            else:
                self.start_response(500, "Internal Server Error", [], 0)

    def _log_unanswered(self) -> None:
        """Log requests that were read and get no complete response."""
        is_cut = self._is_handling or self._is_response_aborted
        if self._is_disconnected or not (is_cut or self._requests):
            return
        log_event(
            "requests_unanswered",
            level="WARNING",
            caller=self._caller,
            requests=len(self._requests) + is_cut,
            is_begun=is_cut and self._is_response_started,
            is_shutting_down=self._policy.is_shutting_down,
        )

    def _restart_timer(self) -> None:
        self._wait_started_s = asyncio.get_running_loop().time()
        self._set_timer(self._get_time_limit_s())

    def _set_timer(self, delay_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._handle_timeout)

    def _get_time_limit_s(self) -> float:
        """Return how long the connection may wait for what it receives next."""
        limits = self._policy.limits
        is_reading_head = self._receive_started_s and not self._has_head
        return limits.header_timeout_s if is_reading_head else limits.idle_timeout_s

    def _handle_timeout(self) -> None:
        if self._is_handling or self._requests or self._is_input_rejected:
            return
        waited_s = asyncio.get_running_loop().time() - self._wait_started_s
        left_s = self._get_time_limit_s() - waited_s
        if left_s > 0:
            # The limit has grown. One that has shrunk holds from the next wait on:
            # the caller may not know it yet.
            self._set_timer(left_s)
        elif self._receive_started_s:
            self._reject_input(408)
        else:
            self._close_idle()

    def _close_idle(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        idle_s = asyncio.get_running_loop().time() - self._wait_started_s
        log_event(
            "idle_caller_closed",
            caller=self._caller,
            idle_s=idle_s,
            has_received=self._has_received,
            is_shutting_down=self._policy.is_shutting_down,
        )
        self._transport.close()

    # Interface for request handlers.

    @property
    def is_response_started(self) -> bool:
        """Whether the head of the current response has been written."""
        return self._is_response_started

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read or handled."""
        return (
            self._is_handling
            or bool(self._requests)
            or bool(self._receive_started_s)
            or bool(self._unparsed)
        )

    def start_response(
        self,
        status: int,
        reason: str,
        headers: Sequence[tuple[bytes, bytes]],
        length_bytes: int | None,
    ) -> None:
        """Write the head of a response.

        :param status: HTTP status code.
        :param reason: HTTP reason phrase.
        :param headers: names and values; ``Content-Length``, ``Transfer-Encoding`` and
            ``Connection`` are added here.
        :param length_bytes: length of the body, ``None`` for chunked encoding.
        :raises CallerGoneError: if the caller closed the connection.
        """
        has_next = bool(self._requests or self._receive_started_s or self._unparsed)
        if self._policy.is_shutting_down and not has_next:
            self._must_close = True
        lines = [f"HTTP/1.1 {status} {reason}\r\n".encode("latin-1")]
        lines += [b"%b: %b\r\n" % field for field in headers]
        self._is_chunked = length_bytes is None
        if length_bytes is None:
            lines.append(b"%b: %b\r\n" % _CHUNKED_HEADER)
        else:
            lines.append(b"Content-Length: %d\r\n" % length_bytes)
        if self._must_close:
            lines.append(b"Connection: close\r\n")
        lines.append(b"\r\n")
        self._is_response_started = True
        self._write(b"".join(lines))

    async def write(self, data: bytes) -> None:
        """Write a part of the body, and wait while the write buffer is full.

        :param data: bytes of the body, without chunked encoding.
        :raises CallerGoneError: if the caller closed the connection.
        """
        if not data:
            return
        if self._is_chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._write(data)
        if not self._write_ready.is_set() and self._response_holder is not None:
            # The buffer keeps all bytes of a write until the last one is sent.
            self._response_holder.set_size(len(data) + WRITE_HIGH_WATER_BYTES)
        await self._write_ready.wait()

    def finish(self) -> None:
        """End a complete response.

        :raises CallerGoneError: if the caller closed the connection.
        """
        if self._is_chunked:
            self._write(b"0\r\n\r\n")

    def abort_response(self) -> None:
        """Abort the connection, so that the caller detects an incomplete response."""
        self._must_close = True
        self._is_response_aborted = True
        if self._transport is not None:
            self._transport.abort()

    def close_if_idle(self) -> None:
        """Close the connection if no request is being read or handled.

        A caller that has just connected is given time to send its first request.
        """
        loop = asyncio.get_running_loop()
        may_still_send = (
            not self._has_received
            and loop.time() - self._opened_s < FIRST_REQUEST_GRACE_S
        )
        if not self.is_busy and not may_still_send:
            # Reads first what arrived while the event loop was held up.
            loop.call_soon(self._close_unless_busy)

    def _close_unless_busy(self) -> None:
        if not self.is_busy:
            self._close_idle()

    def _write(self, data: bytes) -> None:
        if self._is_disconnected or self._transport is None:
            raise CallerGoneError("the caller closed the connection")
        self._transport.write(data)


def _make_rejected_request(status: int) -> HttpRequest:
    return HttpRequest("", b"", [], b"", read_boot_time_s(), status, True)
