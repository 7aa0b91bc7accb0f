"""HTTP/1.1 connections to a server, with what its answers leave in doubt made plain.

A server may break off, answer twice, send an answer of an earlier request late, or send
bytes that are no answer. A connection gives the messages that it reads in order, each
with its head; who waits for one decides by the head whether it is the one.
"""

import asyncio
from collections import deque
from dataclasses import dataclass
from enum import Enum

import httptools

__all__ = [
    "BackendConnection",
    "BrokenConnection",
    "BreakKind",
    "ResponseHead",
    "open_connection",
]

READ_BUFFER_BYTES = 256 * 1024


class BreakKind(Enum):
    """How a connection ended."""

    UNREACHABLE = "unreachable"
    """No connection was made, so nothing was sent."""
    CLOSED = "closed"
    RESET = "reset"
    GARBLED = "garbled"
    """The bytes were no answer."""


@dataclass(frozen=True, slots=True)
class BrokenConnection:
    """Sentinel value for a connection that ended before the answer did.

    :param has_answer_begun: a byte of an answer was read since the request was sent.
    """

    kind: BreakKind
    reason: str
    has_answer_begun: bool = False


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Head of one answer.

    :param is_framed: the body has a length or is in chunks; else it ends with the
        connection.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    is_framed: bool

    def find(self, lower_name: bytes) -> bytes | None:
        """Return the value of a header.

        :param lower_name: its name in lower case.
        """
        for name, value in self.headers:
            if name.lower() == lower_name:
                return value
        return None


_END = object()


class BackendConnection(asyncio.Protocol):
    """One connection, used for one request at a time."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._items: deque[object] = deque()
        self._arrived = asyncio.Event()
        self._may_write = asyncio.Event()
        self._may_write.set()
        self._headers: list[tuple[bytes, bytes]] = []
        self._is_informational = False
        self._is_unframed_body = False
        self._in_body = False
        self._buffered_bytes = 0
        self._break: BrokenConnection | None = None
        self._keeps_alive = True
        self._has_begun = False
        self.idle_since_s = 0.0
        self.keep_alive_s: float | None = None

    # The transport's calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse what the server sent."""
        self._has_begun = True
        if self._break is not None:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._end(BreakKind.GARBLED, str(error) or type(error).__name__)

    def eof_received(self) -> bool:
        """Close as well."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end."""
        if exc is None and self._in_body and self._is_unframed_body:
            self._in_body = False
            self._keeps_alive = False
            self._push(_END)
        kind = BreakKind.CLOSED if exc is None else BreakKind.RESET
        self._end(kind, "closed by the server" if exc is None else str(exc))

    def pause_writing(self) -> None:
        """Hold back the writer."""
        self._may_write.clear()

    def resume_writing(self) -> None:
        """Let the writer go on."""
        self._may_write.set()

    # The parser's calls.

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Give the head to the reader."""
        status = self._parser.get_status_code()
        self._is_informational = 100 <= status < 200
        if self._is_informational:
            return
        names = {name.lower() for name, _ in self._headers}
        is_framed = bool(names & {b"content-length", b"transfer-encoding"})
        is_framed = is_framed or status in (204, 304)
        self._is_unframed_body = not is_framed
        self._in_body = True
        self._push(ResponseHead(status, tuple(self._headers), is_framed))

    def on_body(self, body: bytes) -> None:
        """Give a part of the body to the reader."""
        self._buffered_bytes += len(body)
        if self._buffered_bytes > READ_BUFFER_BYTES and self._transport is not None:
            self._transport.pause_reading()
        self._push(body)

    def on_message_complete(self) -> None:
        """Give the end to the reader."""
        if self._is_informational:
            return
        self._in_body = False
        if not self._parser.should_keep_alive():
            self._keeps_alive = False
        self._push(_END)

    def _push(self, item: object) -> None:
        self._items.append(item)
        self._arrived.set()

    def _end(self, kind: BreakKind, reason: str) -> None:
        if self._break is None:
            self._break = BrokenConnection(kind, reason)
        self._arrived.set()
        self._may_write.set()
        if self._transport is not None and not self._transport.is_closing():
            self._transport.abort()

    # What callers of the connection use.

    def send(self, data: bytes) -> None:
        """Begin to write a whole request; what the socket does not take waits.

        :param data: head and body.
        """
        self._has_begun = False
        if self._transport is not None and self._break is None:
            self._transport.write(data)

    async def read_head(self) -> ResponseHead | BrokenConnection:
        """Wait for the next answer's head; leftovers of the one before are skipped.

        :returns: the head, or why there will be none.
        """
        while True:
            item = await self._next()
            if isinstance(item, ResponseHead | BrokenConnection):
                return item

    async def read_chunk(self) -> bytes | None | BrokenConnection:
        """Wait for the next part of the body.

        :returns: bytes, ``None`` at the end, or why the body was broken off.
        """
        item = await self._next()
        if item is _END:
            return None
        if isinstance(item, bytes | BrokenConnection):
            return item
        return BrokenConnection(BreakKind.GARBLED, "an answer began inside another")

    async def _next(self) -> object:
        while not self._items:
            if self._break is not None:
                broken = self._break
                return BrokenConnection(broken.kind, broken.reason, self._has_begun)
            self._arrived.clear()
            await self._arrived.wait()
        item = self._items.popleft()
        if isinstance(item, bytes):
            self._buffered_bytes -= len(item)
            if self._buffered_bytes <= READ_BUFFER_BYTES // 2 and self._transport:
                self._transport.resume_reading()
        return item

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent: nothing unread, unsent or unclear."""
        return (
            self._break is None
            and self._keeps_alive
            and not self._items
            and not self._in_body
            and self._transport is not None
            and not self._transport.is_closing()
            and self._transport.get_write_buffer_size() == 0
        )

    def close(self) -> None:
        """Close at once; the server drops a request that it still works on."""
        if self._transport is not None:
            self._transport.abort()


async def open_connection(
    host: str, port: int, timeout_s: float
) -> BackendConnection | BrokenConnection:
    """Connect to a server.

    :param host: IP number.
    :param port: its port.
    :param timeout_s: longest wait for the connection.
    :returns: the connection, or why there is none.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, protocol = await loop.create_connection(BackendConnection, host, port)
    except TimeoutError:
        reason = f"no connection within {timeout_s:.2f} s"
        return BrokenConnection(BreakKind.UNREACHABLE, reason)
    except OSError as error:
        return BrokenConnection(BreakKind.UNREACHABLE, str(error))
    return protocol
