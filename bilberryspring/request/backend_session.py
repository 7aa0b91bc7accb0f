"""HTTP session of an agent that records for each call whether anything was sent.

A trace callback of the HTTP client runs just before the first byte of a request is
written.
"""

import asyncio
from functools import partial
from types import SimpleNamespace

import aiohttp
from aiohttp.client_proto import ResponseHandler

from bilberryspring.connection.input_turns import (
    DIRECT_BYTES,
    SLICE_BYTES,
    find_input_turns,
)
from bilberryspring.request.backend_call import CONNECT_TIMEOUT_S, BackendCall
from bilberryspring.request.errors import Outcome

__all__ = ["BackendResponse", "SecondSendError", "make_backend_session"]

# A connection that was idle for longer may have lost its network path or be closing.
KEEP_ALIVE_S = 1.0
# Body that the HTTP client holds of a response before it stops reading.
READ_BUFFER_BYTES = 64 * 1024


class BackendProtocol(ResponseHandler):
    """Connection that parses large reads in turns with the others of its loop.

    :param loop: event loop of the connection.
    :ivar parse_time_s: time in seconds that turns took since the connection began.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        super().__init__(loop)
        self._unparsed = bytearray()
        self._is_in_turns = False
        self.parse_time_s = 0.0

    def data_received(self, data: bytes) -> None:
        """Parse received bytes at once if they are few, else in turns.

        :param data: bytes that follow those received before; none to go on with what
            the parser holds.
        """
        if not data or (not self._unparsed and len(data) <= DIRECT_BYTES):
            super().data_received(data)
            return
        self._unparsed += data
        self._take_turns()

    def _take_turns(self) -> None:
        if not self._is_in_turns:
            self._is_in_turns = True
            find_input_turns().add(self)
            self.update_reading()

    def parse_slice(self) -> bool:
        """Parse a slice of the received bytes, unless the body waits to be read.

        :returns: whether the connection takes another turn.
        """
        self._is_in_turns = False
        if self._reading_paused or not self._unparsed:
            return False
        data = bytes(self._unparsed[:SLICE_BYTES])
        del self._unparsed[:SLICE_BYTES]
        super().data_received(data)
        self._is_in_turns = bool(self._unparsed) and not self._reading_paused
        return self._is_in_turns

    def update_reading(self) -> None:
        """Pause reading while bytes wait, else resume it."""
        if self._unparsed and not self._buffer_paused:
            self._pause_reading_for_buffer()
        elif not self._unparsed and self._buffer_paused:
            self._resume_reading_for_buffer()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Go on with the bytes that wait, once the body has been read.

        :param resume_parser: whether the parser goes on with what it holds.
        """
        super().resume_reading(resume_parser)
        if self._unparsed and not self._reading_paused:
            self._take_turns()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Parse the bytes that wait, since no more will be received."""
        rest = bytes(self._unparsed)
        self._unparsed.clear()
        if rest:
            super().data_received(rest)
        super().connection_lost(exc)

    @property
    def should_close(self) -> bool:
        """Whether the connection cannot carry another request."""
        return bool(self._unparsed) or super().should_close


class BackendResponse(aiohttp.ClientResponse):
    """Response that fails if its body ends with a reset of the connection.

    The HTTP client takes the loss of a connection for the end of a body that has
    neither a length nor chunks, whatever the cause.
    """

    async def start(
        self, connection: aiohttp.connector.Connection
    ) -> "BackendResponse":
        """Start to read the response.

        :param connection: connection that the request was sent over.
        """
        self._reading_protocol = connection.protocol
        await super().start(connection)
        return self

    def raise_for_reset(self) -> None:
        """Raise the error that ended the body, if only the connection's end ended it.

        :raises aiohttp.ClientOSError: if the connection was reset.
        """
        has_body = self.method != "HEAD" and self.status not in (204, 304)
        is_framed = (
            "Content-Length" in self.headers or "Transfer-Encoding" in self.headers
        )
        error = self._reading_protocol.exception()
        if has_body and not is_framed and isinstance(error, aiohttp.ClientOSError):
            raise error


class BackendConnector(aiohttp.TCPConnector):
    """Connector that does not reuse connections with unread bytes.

    The HTTP client would take a late copy of an earlier response, received while the
    connection was idle, for the response to the next request.

    :param options: options of the base class.
    """

    def __init__(self, **options: object):
        super().__init__(**options)
        self._factory = partial(BackendProtocol, loop=self._loop)

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list,
        timeout: aiohttp.ClientTimeout,
    ) -> aiohttp.connector.Connection:
        """Return an idle connection without unread bytes, or a new connection.

        :param req: request to send.
        :param traces: traces of the session.
        :param timeout: limits of the session.
        """
        while True:
            connection = await super().connect(req, traces, timeout)
            if not connection.protocol.should_close:
                return connection
            connection.close()


class SecondSendError(Exception):
    """The HTTP client tried to send the same request again by itself."""


async def _record_send(
    session: aiohttp.ClientSession, context: SimpleNamespace, params: object
) -> None:
    call: BackendCall | None = context.trace_request_ctx
    if call is None:
        return  # not a call for a caller's request
    # The client retries methods that are idempotent in HTTP, but the method does not
    # determine whether a call of this pool may be repeated.
    if call.sent:
        raise SecondSendError
    call.sent = True
    call.answer.outcome = Outcome.UNKNOWN


def make_backend_session() -> aiohttp.ClientSession:
    """Return the HTTP session of an agent; the caller closes it."""
    trace = aiohttp.TraceConfig()
    trace.on_request_headers_sent.append(_record_send)
    return aiohttp.ClientSession(
        connector=BackendConnector(limit=0, keepalive_timeout=KEEP_ALIVE_S),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        trace_configs=[trace],
        response_class=BackendResponse,
        auto_decompress=False,
        read_bufsize=READ_BUFFER_BYTES,
    )
