"""HTTP session of an agent that records for each call whether anything was sent.

A trace callback of the HTTP client runs just before the first byte of a request is
written.
"""

from types import SimpleNamespace

import aiohttp

from bilberryspring.connection.response_ends import is_status
from bilberryspring.connection.turn_client import TurnConnector
from bilberryspring.request.backend_call import CONNECT_TIMEOUT_S, BackendCall
from bilberryspring.request.errors import Outcome

__all__ = ["BackendResponse", "SecondSendError", "make_backend_session"]

# A connection that was idle for longer may have lost its network path or be closing.
KEEP_ALIVE_S = 1.0
# Body that the HTTP client holds of a response before it stops reading.
READ_BUFFER_BYTES = 64 * 1024


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
        :raises aiohttp.ClientPayloadError: if the status is none.
        """
        self._reading_protocol = connection.protocol
        await super().start(connection)
        if not is_status(self.status):
            raise aiohttp.ClientPayloadError(f"{self.status:03d} is no status")
        return self

    def raise_for_reset(self) -> None:
        """Raise the error that ended the body, if only the connection's end ended it.

        :raises aiohttp.ClientOSError: if the connection was reset.
        """
        has_body = self.method != "HEAD" and self.status not in (204, 304)
        is_framed = (
            "Content-Length" in self.headers or "Transfer-Encoding" in self.headers
        )
        if not has_body or is_framed:
            return
        error = self._reading_protocol.exception()
        if isinstance(error, aiohttp.ClientOSError):
            raise error
        if self._reading_protocol.is_reset:
            raise aiohttp.ClientOSError("reset after the end of its data")


class BackendConnector(TurnConnector):
    """Connector that does not reuse connections with unread bytes.

    The HTTP client would take a late copy of an earlier response, received while the
    connection was idle, for the response to the next request.
    """

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
