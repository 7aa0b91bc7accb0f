"""HTTP session of an agent, which notes for each call whether anything was sent.

The HTTP client reports the moment before the first byte of a request is written.
"""

from types import SimpleNamespace

import aiohttp

from bilberryspring.request.backend_call import CONNECT_TIMEOUT_S, BackendCall
from bilberryspring.request.errors import Outcome

__all__ = ["SecondSendError", "make_backend_session"]

# A connection that was idle for longer may have lost its path, or be closing.
KEEP_ALIVE_S = 1.0


class SecondSendError(Exception):
    """The HTTP client was about to send the same request again."""


async def _record_send(
    session: aiohttp.ClientSession, context: SimpleNamespace, params: object
) -> None:
    call: BackendCall | None = context.trace_request_ctx
    if call is None:
        return  # not a request of a caller
    # The client repeats methods that HTTP calls idempotent; the pool's calls may not be
    # repeated whatever their method is.
    if call.sent:
        raise SecondSendError
    call.sent = True
    call.answer.outcome = Outcome.UNKNOWN


def make_backend_session() -> aiohttp.ClientSession:
    """Return the HTTP session of an agent; the caller closes it."""
    trace = aiohttp.TraceConfig()
    trace.on_request_headers_sent.append(_record_send)
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEP_ALIVE_S),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        trace_configs=[trace],
        auto_decompress=False,
        read_bufsize=1 << 20,
    )
