"""HTTP/1.1 client connections to backend servers.

A server may close the connection during a response, send a second response, send the
response to an earlier request late, or send bytes that are not HTTP. A connection
returns the responses in the order in which it receives them. The caller of
:meth:`BackendConnection.read_head` must use the headers to check that a response
belongs to its request.
"""

import asyncio
import re
from collections import deque
from dataclasses import dataclass, replace
from enum import Enum

import httptools

from bilberryspring.capability.backend_calls import Excess
from bilberryspring.connection.input_turns import TurnProtocol
from bilberryspring.connection.response_ends import (
    RESET_WAIT_S,
    has_reset,
    is_status,
)
from bilberryspring.process.memory_bound import MemoryBound, MessageKind

__all__ = [
    "BackendConnection",
    "ConnectionFailure",
    "ConnectionFailureKind",
    "ResponseHead",
    "open_connection",
]

READ_HIGH_WATER_BYTES = 64 * 1024
# Bytes of a response besides its body: status lines, headers, chunk sizes, trailers. A
# chunk of one byte has five bytes of framing.
MAX_OVERHEAD_BYTES = 64 * 1024
MAX_OVERHEAD_PER_BODY_BYTE = 8
# Headers of a response, with those of interim responses; each takes much more memory
# than its bytes.
MAX_HEADERS = 512
HEADER_OVERHEAD_BYTES = 160
# Unread bytes of an earlier response that are discarded before a connection counts as
# broken.
MAX_DISCARDED_BYTES = 1024 * 1024
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] \d{3}")


class ConnectionFailureKind(Enum):
    """Cause of the failure of a connection."""

    UNREACHABLE = "unreachable"
    """The connection was not established, so no request was sent."""
    CLOSED = "closed"
    RESET = "reset"
    MALFORMED = "garbled"
    """The server sent bytes that are not an HTTP response."""


@dataclass(frozen=True, slots=True)
class ConnectionFailure:
    """Result of a connection attempt or a read that failed.

    :param kind: cause of the failure.
    :param reason: description of the failure for logs.
    :param has_response_started: whether any byte was received after the latest request
        was sent.
    :param is_refused: whether the server's machine refused the connection.
    :param excess: bound that the response exceeded; ``None`` for another cause.
    """

    kind: ConnectionFailureKind
    reason: str
    has_response_started: bool = False
    is_refused: bool = False
    excess: Excess | None = None


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response.

    :param status: HTTP status code.
    :param headers: names and values in the order received.
    :param is_self_delimited: whether the body has a length or a chunked encoding, or is
        always empty; otherwise the close of the connection ends it.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    is_self_delimited: bool

    def find_header(self, lower_name: bytes) -> bytes | None:
        """Return the first value of a header.

        :param lower_name: name of the header in lower case.
        :returns: value, or ``None`` if the response does not have the header.
        """
        for name, value in self.headers:
            if name.lower() == lower_name:
                return value
        return None


_END_OF_RESPONSE = object()


class BackendConnection(TurnProtocol):
    """Connection to a backend server, used for one request at a time.

    Parts of the body that are not read yet are joined.

    :param memory: bound on the memory of all responses; ``None`` for no bound.
    :param sender: name of the server.
    :param connections: open connections, which this one leaves when it ends.
    """

    def __init__(
        self,
        memory: MemoryBound | None = None,
        sender: str = "",
        connections: set["BackendConnection"] | None = None,
    ) -> None:
        super().__init__()
        self._connections = set() if connections is None else connections
        self._parser = httptools.HttpResponseParser(self)
        self._holder = (
            None if memory is None else memory.make_holder(sender, self._give_up)
        )
        self._kept_bytes = 0
        self._header_count = 0
        self._header_bytes = 0
        self._excess: Excess | None = None
        self._received_parts: deque[object] = deque()
        self._read_ready = asyncio.Event()
        self._write_ready = asyncio.Event()
        self._write_ready.set()
        self._reason_phrase = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._is_parsing_message = False
        self._is_informational = False
        self._is_close_delimited = False
        self._is_reading_body = False
        self._buffered_bytes = 0
        self._failure: ConnectionFailure | None = None
        self._keeps_alive = True
        self._has_response_started = False
        self._overhead_bytes = 0
        self._body_bytes = 0
        self._is_idle = False
        self.idle_since_s = 0.0
        self.keep_alive_timeout_s: float | None = None

    # Callbacks of the asyncio transport.

    def data_received(self, data: bytes) -> None:
        """Receive bytes, unless no response is outstanding."""
        self._has_response_started = True
        if self._failure is not None:
            return
        if self._is_idle:
            reason = "bytes arrived on an idle connection"
            self._fail(ConnectionFailureKind.MALFORMED, reason)
            return
        super().data_received(data)

    def parse(self, data: bytes) -> None:
        """Feed received bytes to the parser.

        :param data: bytes that follow those parsed before.
        """
        if self._failure is not None:
            return
        body_bytes = self._body_bytes
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(
                ConnectionFailureKind.MALFORMED, str(error) or type(error).__name__
            )
            return
        self._overhead_bytes += len(data) - (self._body_bytes - body_bytes)
        allowed_bytes = MAX_OVERHEAD_BYTES + MAX_OVERHEAD_PER_BODY_BYTE * (
            self._body_bytes
        )
        if self._overhead_bytes > allowed_bytes:
            self._excess = Excess.HEAD
            reason = f"{self._overhead_bytes} bytes of a response besides its body"
            self._fail(ConnectionFailureKind.MALFORMED, reason)
        self._update_held_bytes()

    def may_read(self) -> bool:
        """Return whether little enough of the body waits to be read."""
        limit_bytes = READ_HIGH_WATER_BYTES
        if self._is_reading_paused:
            limit_bytes //= 2
        return self._buffered_bytes <= limit_bytes

    def eof_received(self) -> bool:
        """Begin to end a close-delimited body.

        Only the server's end of data ends it: after a reset or a close by this side it
        is incomplete, and so it is until the whole request has been sent.

        :returns: whether the transport stays open for now.
        """
        self.parse_rest()
        if self._failure is not None or not self._is_reading_body:
            return False
        if not self._is_close_delimited or self._transport is None:
            return False
        loop = asyncio.get_running_loop()
        loop.call_later(RESET_WAIT_S, self._end_close_delimited_body)
        return True

    def _end_close_delimited_body(self) -> None:
        if self._failure is not None or self._transport is None:
            return
        if self._transport.get_write_buffer_size():
            # The server may still read the rest of the request, or reset it.
            loop = asyncio.get_running_loop()
            loop.call_later(RESET_WAIT_S, self._end_close_delimited_body)
            return
        if has_reset(self._transport):
            self._fail(ConnectionFailureKind.RESET, "reset after the end of its data")
            return
        self._is_reading_body = False
        self._keeps_alive = False
        self._enqueue(_END_OF_RESPONSE)
        self._transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail pending reads."""
        kind = (
            ConnectionFailureKind.CLOSED if exc is None else ConnectionFailureKind.RESET
        )
        self._connections.discard(self)
        self.parse_rest()
        self._fail(kind, "closed by the server" if exc is None else str(exc))

    def pause_writing(self) -> None:
        """Mark the write buffer as full."""
        self._write_ready.clear()

    def resume_writing(self) -> None:
        """Mark the write buffer as drained."""
        self._write_ready.set()

    # Callbacks of the HTTP parser.

    def on_message_begin(self) -> None:
        """Reset the head for the next response."""
        self._reason_phrase = b""
        self._headers = []
        self._is_parsing_message = True

    def on_status(self, part: bytes) -> None:
        """Append a part of the reason phrase."""
        self._reason_phrase += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header.

        :raises ValueError: if there are too many.
        """
        self._header_count += 1
        self._header_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES
        if self._header_count > MAX_HEADERS:
            self._excess = Excess.HEAD
            raise ValueError(f"over {MAX_HEADERS} headers")
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Queue the head of a response, unless its status is 1xx.

        :raises ValueError: if the status is none, or if the head contains the start of
            another response, which follows when the server breaks a response off and
            sends the next.
        """
        head_parts = (self._reason_phrase, *(value for _, value in self._headers))
        if any(_STATUS_LINE.search(part) for part in head_parts):
            raise ValueError("a response began in the head of another")
        status = self._parser.get_status_code()
        if not is_status(status):
            raise ValueError(f"{status:03d} is no status")
        self._is_informational = 100 <= status < 200
        if self._is_informational:
            return
        header_names = {name.lower() for name, _ in self._headers}
        is_self_delimited = bool(
            header_names & {b"content-length", b"transfer-encoding"}
        )
        is_self_delimited = is_self_delimited or status in (204, 304)
        self._is_close_delimited = not is_self_delimited
        self._is_reading_body = True
        if self._holder is not None:
            self._holder.kind = _find_message_kind(status, header_names)
        self._enqueue(ResponseHead(status, tuple(self._headers), is_self_delimited))

    def on_body(self, body: bytes) -> None:
        """Queue a part of the body, joined to the preceding one."""
        self._body_bytes += len(body)
        self._buffered_bytes += len(body)
        if self._received_parts and isinstance(self._received_parts[-1], bytearray):
            self._received_parts[-1] += body
        else:
            self._enqueue(bytearray(body))

    def on_message_complete(self) -> None:
        """Queue the end of a response, unless its status is 1xx."""
        self._is_parsing_message = False
        if self._is_informational:
            return
        self._is_reading_body = False
        if not self._parser.should_keep_alive():
            self._keeps_alive = False
        self._enqueue(_END_OF_RESPONSE)

    def _enqueue(self, part: object) -> None:
        self._received_parts.append(part)
        self._read_ready.set()

    def _fail(self, kind: ConnectionFailureKind, reason: str) -> None:
        if self._failure is None:
            self._failure = ConnectionFailure(kind, reason, excess=self._excess)
        self._unparsed.clear()
        self._update_held_bytes()
        self._read_ready.set()
        self._write_ready.set()
        if self._transport is not None and not self._transport.is_closing():
            self._transport.abort()

    def _give_up(self) -> None:
        self._excess = Excess.MEMORY
        self._received_parts.clear()
        self._buffered_bytes = self._kept_bytes = 0
        reason = "responses without end take the memory of this process"
        self._fail(ConnectionFailureKind.MALFORMED, reason)

    def _update_held_bytes(self) -> None:
        if self._holder is not None:
            self._holder.set_size(
                len(self._unparsed)
                + self._buffered_bytes
                + self._header_bytes
                + self._kept_bytes
            )

    # Public interface.

    def begin_opening(self) -> None:
        """Count as an open connection, since opening takes a socket."""
        self._connections.add(self)

    def give_up_opening(self) -> None:
        """Stop counting as an open connection, and close it.

        An event loop that is to stop opening after the socket is connected closes it
        and need not call :meth:`connection_lost`.
        """
        self._connections.discard(self)
        self.close()

    def keep_bytes(self, size_bytes: int) -> None:
        """Record what the caller of :meth:`read_chunk` keeps of the response.

        :param size_bytes: memory in bytes, zero once it keeps nothing.
        """
        self._kept_bytes = size_bytes
        self._update_held_bytes()

    def send(self, data: bytes) -> None:
        """Write a complete request without waiting; the transport buffers it.

        :param data: head and body of the request.
        """
        self._has_response_started = False
        self._overhead_bytes = self._body_bytes = 0
        self._header_count = self._header_bytes = 0
        self.parse_time_s = 0.0
        if self._holder is not None:
            self._holder.kind = MessageKind.WITHOUT_LENGTH
        self._is_idle = False
        if self._transport is not None and self._failure is None:
            self._transport.write(data)

    async def read_head(self) -> ResponseHead | ConnectionFailure:
        """Wait for the head of the next response.

        Unread parts of the preceding response are discarded.

        :returns: the head, or the failure of the connection.
        """
        discarded_bytes = 0
        while True:
            part = await self._read_part()
            if isinstance(part, ResponseHead | ConnectionFailure):
                return part
            if isinstance(part, bytearray):
                discarded_bytes += len(part)
            if discarded_bytes > MAX_DISCARDED_BYTES:
                reason = f"over {MAX_DISCARDED_BYTES} bytes of another response"
                self._fail(ConnectionFailureKind.MALFORMED, reason)
                self._received_parts.clear()

    async def read_chunk(self) -> bytes | None | ConnectionFailure:
        """Wait for the next part of the response body.

        The part is all that has been parsed, so the next read lets other tasks run.

        :returns: bytes, ``None`` at the end of the response, or the failure of the
            connection.
        """
        part = await self._read_part()
        if part is _END_OF_RESPONSE:
            return None
        if isinstance(part, bytearray):
            return bytes(part)
        if isinstance(part, ConnectionFailure):
            return part
        return ConnectionFailure(
            ConnectionFailureKind.MALFORMED,
            "a response began before the preceding one ended",
        )

    async def _read_part(self) -> object:
        while not self._received_parts:
            if self._failure is not None:
                failure = self._failure
                return replace(failure, has_response_started=self._has_response_started)
            self._read_ready.clear()
            await self._read_ready.wait()
        part = self._received_parts.popleft()
        if isinstance(part, bytearray):
            self._buffered_bytes -= len(part)
            self._update_held_bytes()
            self.update_reading()
        return part

    @property
    def is_reusable(self) -> bool:
        """Whether the connection can carry another request.

        It is open and kept alive, and has no unread response data and no unsent request
        data.
        """
        return (
            self._failure is None
            and self._keeps_alive
            and not self._received_parts
            and not self._unparsed
            and not self._is_parsing_message
            and self._transport is not None
            and not self._transport.is_closing()
            and self._transport.get_write_buffer_size() == 0
        )

    def set_idle(self, now_s: float) -> None:
        """Mark that no response is outstanding until the next request.

        Bytes that arrive while the connection is idle close it.

        :param now_s: monotonic time.
        """
        self._is_idle = True
        self.idle_since_s = now_s
        self._headers, self._header_bytes, self._kept_bytes = [], 0, 0
        self._update_held_bytes()

    def close(self) -> None:
        """Abort the connection; the server then drops a request in progress."""
        self._received_parts.clear()
        self._buffered_bytes = self._header_bytes = self._kept_bytes = 0
        self._fail(ConnectionFailureKind.CLOSED, "closed by this side")
        if self._transport is not None:
            self._transport.abort()


def _find_message_kind(status: int, header_names: set[bytes]) -> MessageKind:
    if status >= 300:
        return MessageKind.FAILURE
    if b"content-length" in header_names:
        return MessageKind.ANSWER
    return MessageKind.WITHOUT_LENGTH


async def open_connection(
    host: str,
    port: int,
    timeout_s: float,
    memory: MemoryBound | None = None,
    sender: str = "",
    connections: set[BackendConnection] | None = None,
) -> BackendConnection | ConnectionFailure:
    """Connect to a backend server.

    :param host: IP address of the server.
    :param port: TCP port of the server.
    :param timeout_s: timeout in seconds for establishing the connection.
    :param memory: bound on the memory of all responses; ``None`` for no bound.
    :param sender: name of the server.
    :param connections: open connections, to which this one is added.
    :returns: the connection, or an ``UNREACHABLE`` failure.
    """
    connection = BackendConnection(memory, sender, connections)
    connection.begin_opening()
    is_open = False
    try:
        async with asyncio.timeout(timeout_s):
            await asyncio.get_running_loop().create_connection(
                lambda: connection, host, port
            )
        is_open = True
    except TimeoutError:
        reason = f"connecting timed out after {timeout_s:.2f} s"
        return ConnectionFailure(ConnectionFailureKind.UNREACHABLE, reason)
    except ConnectionRefusedError as error:
        kind = ConnectionFailureKind.UNREACHABLE
        return ConnectionFailure(kind, str(error), is_refused=True)
    except OSError as error:
        return ConnectionFailure(ConnectionFailureKind.UNREACHABLE, str(error))
    finally:
        if not is_open:
            connection.give_up_opening()
    return connection
